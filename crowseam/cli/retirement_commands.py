"""Commands that take servers out of use: retire and retiring."""

import sys
import time
from typing import Any

import msgspec

from crowseam.cli.calls import call, caller, data_of
from crowseam.cli.console import Args, number, print_json, print_text
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.retirement_wait import Wait
from crowseam.cli.tables import cell, rows, table


def retire(args: Args) -> int:
    """Take servers out of use, or put them back."""
    body: dict[str, Any] = {"undo": bool(args["--undo"])}
    for option, field in (("--server", "id"), ("--version", "ver"), ("--zone", "az"), ("--svc", "svc")):
        if args[option] is not None:
            if not args[option]:
                raise BadInputError(option, "is empty")
            body[field] = args[option]
    if "id" in body and "svc" in body:
        raise BadInputError("--svc", "does not go with --server, whose id says it all")
    if args["--wait"] and body["undo"]:
        raise BadInputError("--wait", "does not go with --undo")
    if args["--force"]:
        body["force"] = True
    most = number(args, "--most", float)
    answer = call(args, "retire", msgspec.json.encode(body))
    data = data_of(answer) if answer.body.strip() else {}
    if not args["--json"]:
        print_text(("back in use" if body["undo"] else "retired") + f": {cell(data)}\n")
    if args["--wait"]:
        data["servers"] = _until_safe(args, data.get("found") or [], most)
    if args["--json"]:
        print_json(data)
    return DONE


def _until_safe(args: Args, idents: list[str], most: float) -> list[dict[str, Any]]:
    """Wait, `most` s at the longest, until servers are safe to switch off. Raises CommandError."""
    ask = caller(args)

    def look(ident: str) -> dict[str, Any]:
        result = ask.call("retiring", ident=ident)
        if result.is_error():
            raise result.error
        return data_of(result.ok)

    def say(line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    safe = Wait(look, time.monotonic, time.sleep, say).until_safe(idents, most)
    if not args["--json"]:
        print_text(f"safe to switch off: {cell([row['id'] for row in safe])}\n")
    return safe


def retiring(args: Args) -> int:
    """Print servers that leave and who still has requests under way there; with --wait, until none has."""
    most = number(args, "--most", float)
    if args["--wait"]:
        found = _until_safe(args, [args["ID"]] if args["ID"] else [], most)
        if args["--json"]:
            print_json({"servers": found})
        return DONE
    result = caller(args).call("retiring", ident=args["ID"] or "")
    if result.is_error():
        raise result.error
    data = data_of(result.ok)
    if args["--json"]:
        print_json(data)
        return DONE
    print_text(table(rows(data, "servers")))
    for name in ("away", "silent"):
        if data.get(name):
            print_text(f"{name}: {cell(data[name])}\n")
    if not data.get("in_touch"):
        print_text("the controller asked has no majority\n")
    return DONE
