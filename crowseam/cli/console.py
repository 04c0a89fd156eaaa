"""Argument, file and output helpers shared by the commands."""

import sys
from pathlib import Path
from typing import Any

import msgspec

from crowseam.cli.errors import BadInputError

Args = dict[str, Any]  # the result of docopt


def print_text(text: str) -> None:
    """Write to standard output."""
    sys.stdout.write(text)


def print_json(data: Any) -> None:
    """Write data as JSON to standard output."""
    print_text(msgspec.json.format(msgspec.json.encode(data), indent=2).decode() + "\n")


def read_file(path: str, field: str) -> bytes:
    """Return the content of a file, or of standard input for "-". Raises BadInputError naming `field`."""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        raise BadInputError(field, f"{path}: {error.strerror or error}") from None


def write_file(path: str, body: bytes, field: str) -> None:
    """Write a file. Raises BadInputError naming `field`."""
    try:
        Path(path).write_bytes(body)
    except OSError as error:
        raise BadInputError(field, f"{path}: {error.strerror or error}") from None


def positive_number(args: Args, name: str, kind: type) -> Any:
    """Parse an option as a number greater than 0. Raises BadInputError."""
    try:
        value = kind(args[name])
    except ValueError:
        raise BadInputError(name, f"{args[name]!r} is not a number") from None
    if not 0 < value < 1e9:
        raise BadInputError(name, f"{args[name]} is not above 0")
    return value
