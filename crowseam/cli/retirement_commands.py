"""The commands retire and retiring, which take servers out of service."""

import sys
import time
from typing import Any

import msgspec

from crowseam.cli.calls import call, decode_json, make_client
from crowseam.cli.console import Args, positive_number, print_json, print_text
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.retirement_wait import RetirementWait
from crowseam.cli.tables import cell, rows, table


def retire(args: Args) -> int:
    """Retire servers, or with --undo put them back in service."""
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
    max_wait_s = positive_number(args, "--most", float)
    answer = call(args, "retire", msgspec.json.encode(body))
    data = decode_json(answer) if answer.body.strip() else {}
    if not args["--json"]:
        print_text(("back in use" if body["undo"] else "retired") + f": {cell(data)}\n")
    if args["--wait"]:
        data["servers"] = _wait_until_safe(args, data.get("found") or [], max_wait_s)
    if args["--json"]:
        print_json(data)
    return DONE


def _wait_until_safe(args: Args, server_ids: list[str], max_wait_s: float) -> list[dict[str, Any]]:
    """Wait up to `max_wait_s` until servers are safe to switch off. Raises CommandError."""
    client = make_client(args)

    def query_status(item_id: str) -> dict[str, Any]:
        result = client.call("retiring", item_id=item_id)
        if result.is_error():
            raise result.error
        return decode_json(result.ok)

    def print_progress(line: str) -> None:
        print(line, file=sys.stderr, flush=True)

    safe = RetirementWait(query_status, time.monotonic, time.sleep, print_progress).until_safe(server_ids, max_wait_s)
    if not args["--json"]:
        print_text(f"safe to switch off: {cell([row['id'] for row in safe])}\n")
    return safe


def retiring(args: Args) -> int:
    """Print retiring servers and the gateways with requests in flight there; with --wait, wait until there are none."""
    max_wait_s = positive_number(args, "--most", float)
    if args["--wait"]:
        servers = _wait_until_safe(args, [args["ID"]] if args["ID"] else [], max_wait_s)
        if args["--json"]:
            print_json({"servers": servers})
        return DONE
    result = make_client(args).call("retiring", item_id=args["ID"] or "")
    if result.is_error():
        raise result.error
    data = decode_json(result.ok)
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
