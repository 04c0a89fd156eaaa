"""The command `crowseam scale`: bytes of control at one size, or with --curve all costs against size."""

from __future__ import annotations

from pathlib import Path

import msgspec

from crowseam.capacity.code_measures import memory, processor
from crowseam.capacity.curve_drawings import drawings
from crowseam.capacity.curves import SIZES, row
from crowseam.capacity.message_costs import Costs, Deployment, costs
from crowseam.cli import report
from crowseam.cli.console import Args, positive_number, print_json, print_text, write_file
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.tables import table
from crowseam.controller.gateway_sessions import LEASE_LIFETIME_S

GATEWAYS = "96"  # unless said otherwise
COUNT_MOST = 100_000
TITLES = {
    "gateway": "one gateway, kB/s",
    "controller": "one controller, kB/s",
    "fleet": "all together, kB/s",
    "between": "between zones, kB/s",
    "start": "a gateway at its start, kB",
}


def scale(args: Args) -> int:
    """Print the costs at one size, or along the curve. Raises BadInputError."""
    return _curve(args) if args["--curve"] else _one_size(args)


def _one_size(args: Args) -> int:
    found = costs(_size(args))
    if args["--json"]:
        print_json(found)
        return DONE
    print_text("".join(f"{line}\n" for line in _lines(found)))
    print_text(f"a gateway that is gone holds its slices for {LEASE_LIFETIME_S:g} s at most\n")
    return DONE


def _size(args: Args) -> Deployment:
    """The size that the options say. Raises BadInputError."""
    values: dict[str, float] = {}
    for name in ("gateways", "servers", "tenants", "controllers", "heartbeat"):
        text = args[f"--{name}"] or GATEWAYS
        try:
            values[name] = float(text) if name == "heartbeat" else int(text)
        except ValueError:
            values[name] = 0
        if not 0 < values[name] <= COUNT_MOST:
            raise BadInputError(f"--{name}", f"{text!r} is not a number from 1 to {COUNT_MOST}")
    return Deployment(**values)


def _lines(found: Costs) -> list[str]:
    lines = []
    for part, title in TITLES.items():
        costs_of_part = getattr(found, part)
        lines.append(f"{title:<24} {sum(costs_of_part.values()) / 1000:>10.2f}")
        for name, each in sorted(costs_of_part.items(), key=lambda pair: -pair[1]):
            lines.append(f"    {name:<20} {each / 1000:>10.2f}")
    return lines


def _curve(args: Args) -> int:
    """Print the tables of all sizes, and draw them into --plot. Raises BadInputError."""
    heartbeat = positive_number(args, "--heartbeat", float)
    if args["--plot"]:
        report.curve("", "", {"": [(1.0, 1.0)]})  # says now whether it can, as measuring takes a while
    rows = [row(msgspec.structs.replace(size, heartbeat=heartbeat)) for size in SIZES]
    spent, kept = processor(), memory()
    if args["--plot"]:
        _draw(Path(args["--plot"]), drawings(rows, spent))
    if args["--json"]:
        print_json({"sizes": rows, "processor": [each.row() for each in spent], "memory": kept})
        return DONE
    times = [each.row() | {"us": round(each.microseconds, 1)} for each in spent]
    for records in (rows, times, kept):
        print_text(table(records) + "\n")
    return DONE


def _draw(folder: Path, files: dict[str, str]) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise BadInputError("--plot", f"{folder}: {error.strerror}") from None
    for name, drawing in files.items():
        write_file(str(folder / f"{name}.svg"), drawing.encode(), "--plot")
