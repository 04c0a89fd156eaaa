"""The command `operations`: records of idempotent operations that the controllers hold."""

from __future__ import annotations

import sys
from typing import Any

from crowseam.cli.calls import decode_json, make_client
from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.cli.tables import table
from crowseam.operations.identity import operation_digest


def operations(args: Args) -> int:
    """Print a summary per controller, or the records of one operation. FAILED if no controller answers."""
    operation_id = ""
    if args["--key"] is not None:
        operation_id = operation_digest(args["--tenant"] or "", args["--key"].encode()).hex()
    records: list[dict[str, Any]] = []
    any_answered = False
    for address, result in sorted(make_client(args).call_all("operations", operation_id), key=lambda item: item[0]):
        try:
            if result.is_error():
                raise result.error
            data = decode_json(result.ok)
        except CommandError as error:
            sys.stderr.write(f"{address}: {error}\n")
            continue
        any_answered = True
        records += [{"addr": address} | item for item in (data if isinstance(data, list) else [data])]
    if args["--json"]:
        print_json(records)
    elif records:
        print_text(table(records))
    elif any_answered:
        print_text("no controller that was asked has a record of this operation\n")
    return DONE if any_answered else FAILED
