"""Calls from commands to the control interface of the running system, and printing of the answers."""

import os
import random
import time
from typing import Any

import msgspec

from crowseam.cli import control_client
from crowseam.cli.console import Args, positive_number, print_json, print_text, read_file
from crowseam.cli.errors import DONE, BadInputError, UnclearError
from crowseam.cli.tables import rows, table


def _control_addresses(args: Args) -> list[str]:
    address_list, field = args["--at"], "--at"
    if address_list is not None:
        addresses = [item.strip() for item in address_list.split(",") if item.strip()]
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
        host, separator, port = str(address).rpartition(":")
        if not (separator and host and port.isdigit() and 0 < int(port) < 65536):
            raise BadInputError(field, f"{address!r} is not an address such as 10.1.0.5:8407")
    if not addresses:
        raise BadInputError(field, "names no address")
    return addresses


def make_client(args: Args) -> control_client.ControlClient:
    """Return a client for the control addresses that the arguments name. Raises BadInputError."""
    rng = random.Random()
    addresses = _control_addresses(args)
    rng.shuffle(addresses)
    return control_client.ControlClient(
        addresses, positive_number(args, "--within", float), control_client.send, time.monotonic, time.sleep, rng
    )


def call(args: Args, name: str, body: bytes = b"") -> control_client.Answer:
    """Make a call and return its answer. Raises CommandError."""
    result = make_client(args).call(name, body)
    if result.is_error():
        raise result.error
    return result.ok


def decode_json(answer: control_client.Answer) -> Any:
    """Decode the JSON body of an answer. Raises UnclearError."""
    try:
        return msgspec.json.decode(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise UnclearError("the answer is not JSON") from None


def print_listing(args: Args, name: str) -> int:
    """Make a call and print the records in its answer."""
    data = decode_json(call(args, name))
    if args["--json"]:
        print_json(data)
    else:
        print_text(table(rows(data, name)))
    return DONE
