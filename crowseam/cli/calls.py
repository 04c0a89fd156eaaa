"""Calls that the commands make to the running system, and what they print of the answers."""

import os
import random
import time
from typing import Any

import msgspec

from crowseam.cli import control_client
from crowseam.cli.console import Args, number, print_json, print_text, read_file
from crowseam.cli.errors import DONE, BadInputError, UnclearError
from crowseam.cli.tables import rows, table


def _addresses(args: Args) -> list[str]:
    listed, field = args["--at"], "--at"
    if listed is not None:
        addresses = [each.strip() for each in listed.split(",") if each.strip()]
    else:
        path = os.environ.get("CROWSEAM_BOOT")
        if not path:
            raise BadInputError("--at", "is missing, and CROWSEAM_BOOT names no settings file")
        field = "seeds"
        try:
            addresses = msgspec.json.decode(read_file(path, "CROWSEAM_BOOT"))["seeds"]
        except (msgspec.DecodeError, KeyError, TypeError):
            raise BadInputError("seeds", f"cannot be read from {path}") from None
    for address in addresses:
        host, colon, port = str(address).rpartition(":")
        if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
            raise BadInputError(field, f"{address!r} is not an address such as 10.1.0.5:8407")
    if not addresses:
        raise BadInputError(field, "names no address")
    return addresses


def caller(args: Args) -> control_client.Caller:
    """Return what makes the calls of one command. Raises BadInputError."""
    rng = random.Random()
    addresses = _addresses(args)
    rng.shuffle(addresses)
    return control_client.Caller(
        addresses, number(args, "--within", float), control_client.send, time.monotonic, time.sleep, rng
    )


def call(args: Args, name: str, body: bytes = b"") -> control_client.Answer:
    """Make a call, and return its answer. Raises CommandError."""
    result = caller(args).call(name, body)
    if result.is_error():
        raise result.error
    return result.ok


def data_of(answer: control_client.Answer) -> Any:
    """What an answer says in JSON. Raises UnclearError."""
    try:
        return msgspec.json.decode(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise UnclearError("the answer is not JSON") from None


def print_listing(args: Args, name: str) -> int:
    """Make a call, and print the records in its answer."""
    data = data_of(call(args, name))
    if args["--json"]:
        print_json(data)
    else:
        print_text(table(rows(data, name)))
    return DONE
