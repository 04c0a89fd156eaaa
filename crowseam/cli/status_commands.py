"""Commands that show the running system: servers, members, duties and status."""

from typing import Any

from crowseam.cli.calls import caller, data_of, print_listing
from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.cli.tables import cell, table

WRONG_MOST = 20  # lines of what is wrong that are printed


def servers(args: Args) -> int:
    """Print the servers that are known."""
    return print_listing(args, "servers")


def members(args: Args) -> int:
    """Print the machines that are known."""
    return print_listing(args, "members")


def duties(args: Args) -> int:
    """Print which machine does which duty, and under which fence."""
    return print_listing(args, "duties")


def faults(status: dict[str, Any]) -> list[str]:
    """Return what one controller's status shows to be wrong; a field that is missing shows nothing."""
    found = []
    if status.get("in_touch") is False:
        found.append("reaches no majority of the voters")
    if status.get("voter") is False and status.get("voting") is True:
        found.append("has a disk and no vote")
    if late := status.get("disk_late_s"):
        found.append(f"its disk has not written for {late:.1f} s")
    if silent := status.get("silent"):
        found.append(f"servers that give no sign of life: {', '.join(map(str, silent))}")
    found += [f"knows of no {what}" for what in ("gateways", "servers") if status.get(what) == 0]
    return found


def summed(answers: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return one view out of the status of several addresses: `wrong` (lines) and `at` (by address).

    answers: (address, Result of an Answer). Listed are what the status of each address shows to be wrong,
    addresses that do not answer, and versions of the configuration that differ.
    """
    wrong: dict[str, None] = {}
    at: dict[str, Any] = {}
    versions: dict[str, list[str]] = {}
    for address, result in answers:
        if result.is_error():
            wrong[f"{address} does not answer: {result.error}"] = None
            continue
        try:
            status = data_of(result.ok)
        except CommandError as error:
            wrong[f"{address}: {error}"] = None
            continue
        if not isinstance(status, dict):
            wrong[f"{address}: the answer is no object"] = None
            continue
        at[address] = status
        for line in faults(status):
            wrong[f"{address}: {line}"] = None
        if "ver" in status:
            versions.setdefault(cell(status["ver"]), []).append(address)
    if len(versions) > 1:
        wrong[
            "versions differ: " + "; ".join(f"{ver} at {', '.join(where)}" for ver, where in sorted(versions.items()))
        ] = None
    return {"wrong": list(wrong), "at": at}


def status(args: Args) -> int:
    """Print, on one screen, what is wrong now. FAILED when anything is."""
    view = summed(sorted(caller(args).each("status"), key=lambda each: each[0]))
    if args["--json"]:
        print_json(view)
    else:
        print_text("".join(f"WRONG {line}\n" for line in view["wrong"][:WRONG_MOST]) or "nothing is wrong\n")
        if len(view["wrong"]) > WRONG_MOST:
            print_text(f"and {len(view['wrong']) - WRONG_MOST} more\n")
        records = [
            {"addr": address} | {name: value for name, value in each.items() if name != "wrong"}
            for address, each in view["at"].items()
        ]
        if records:
            print_text("\n" + table(records))
    return FAILED if view["wrong"] else DONE
