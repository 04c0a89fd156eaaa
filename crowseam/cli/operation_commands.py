"""The command `operations`: what the controllers keep of keyed operations, and what became of one."""

from __future__ import annotations

import sys
from typing import Any

from crowseam.cli.calls import caller, data_of
from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.cli.tables import table
from crowseam.operations.identity import operation_digest


def operations(args: Args) -> int:
    """Print a record for each controller, or for each claim of one operation. FAILED if no controller answers."""
    ident = ""
    if args["--key"] is not None:
        ident = operation_digest(args["--tenant"] or "", args["--key"].encode()).hex()
    records: list[dict[str, Any]] = []
    is_answered = False
    for address, result in sorted(caller(args).each("operations", ident), key=lambda each: each[0]):
        try:
            if result.is_error():
                raise result.error
            found = data_of(result.ok)
        except CommandError as error:
            sys.stderr.write(f"{address}: {error}\n")
            continue
        is_answered = True
        records += [{"addr": address} | each for each in (found if isinstance(found, list) else [found])]
    if args["--json"]:
        print_json(records)
    elif records:
        print_text(table(records))
    elif is_answered:
        print_text("no controller that was asked has a record of this operation\n")
    return DONE if is_answered else FAILED
