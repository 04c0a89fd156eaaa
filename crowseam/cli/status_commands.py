"""The commands servers, members, duties and status."""

from typing import Any

from crowseam.cli.calls import decode_json, make_client, print_listing
from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.cli.tables import cell, table

MAX_PROBLEMS_SHOWN = 20


def servers(args: Args) -> int:
    """Print the known servers."""
    return print_listing(args, "servers")


def members(args: Args) -> int:
    """Print the known machines."""
    return print_listing(args, "members")


def duties(args: Args) -> int:
    """Print which machine holds which duty, with its fencing token."""
    return print_listing(args, "duties")


def status_problems(status: dict[str, Any]) -> list[str]:
    """Return the problems in one controller's status; missing fields are ignored."""
    problems = []
    if status.get("in_touch") is False:
        problems.append("reaches no majority of the voters")
    if status.get("voter") is False and status.get("voting") is True:
        problems.append("has a disk and no vote")
    if delay_s := status.get("disk_late_s"):
        problems.append(f"its disk has not written for {delay_s:.1f} s")
    if silent := status.get("silent"):
        problems.append(f"servers that give no sign of life: {', '.join(map(str, silent))}")
    problems += [f"knows of no {kind}" for kind in ("gateways", "servers") if status.get(kind) == 0]
    return problems


def merge_statuses(answers: list[tuple[str, Any]]) -> dict[str, Any]:
    """Merge the status of several addresses into `wrong` (problem lines) and `at` (status by address).

    answers: (address, Result of an Answer). Problems are those in each status, addresses that do not answer, and
    differing configuration versions.
    """
    problems: dict[str, None] = {}
    by_address: dict[str, Any] = {}
    versions: dict[str, list[str]] = {}
    for address, result in answers:
        if result.is_error():
            problems[f"{address} does not answer: {result.error}"] = None
            continue
        try:
            status = decode_json(result.ok)
        except CommandError as error:
            problems[f"{address}: {error}"] = None
            continue
        if not isinstance(status, dict):
            problems[f"{address}: the answer is no object"] = None
            continue
        by_address[address] = status
        for line in status_problems(status):
            problems[f"{address}: {line}"] = None
        if "ver" in status:
            versions.setdefault(cell(status["ver"]), []).append(address)
    if len(versions) > 1:
        problems[
            "versions differ: "
            + "; ".join(f"{ver} at {', '.join(addresses)}" for ver, addresses in sorted(versions.items()))
        ] = None
    return {"wrong": list(problems), "at": by_address}


def status(args: Args) -> int:
    """Print the current problems and a status table. FAILED if there is a problem."""
    view = merge_statuses(sorted(make_client(args).call_all("status"), key=lambda item: item[0]))
    if args["--json"]:
        print_json(view)
    else:
        print_text("".join(f"WRONG {line}\n" for line in view["wrong"][:MAX_PROBLEMS_SHOWN]) or "nothing is wrong\n")
        if len(view["wrong"]) > MAX_PROBLEMS_SHOWN:
            print_text(f"and {len(view['wrong']) - MAX_PROBLEMS_SHOWN} more\n")
        records = [
            {"addr": address} | {name: value for name, value in item.items() if name != "wrong"}
            for address, item in view["at"].items()
        ]
        if records:
            print_text("\n" + table(records))
    return FAILED if view["wrong"] else DONE
