"""The command `crowseam scale`: control traffic at one size, or with --curve all costs by size."""

from __future__ import annotations

from pathlib import Path

import msgspec

from crowseam.capacity.code_measures import measure_memory, measure_processor_times
from crowseam.capacity.curve_drawings import draw_curves
from crowseam.capacity.curves import SIZES, row
from crowseam.capacity.message_costs import Costs, Deployment, costs
from crowseam.cli import report
from crowseam.cli.console import Args, positive_number, print_json, print_text, write_file
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.tables import table
from crowseam.controller.gateway_sessions import LEASE_LIFETIME_S

DEFAULT_COUNT = "96"  # of an option that is missing
MAX_COUNT = 100_000
PART_TITLES = {
    "gateway": "one gateway, kB/s",
    "controller": "one controller, kB/s",
    "fleet": "all together, kB/s",
    "between": "between zones, kB/s",
    "start": "a gateway at its start, kB",
}


def scale(args: Args) -> int:
    """Print the costs at one size or, with --curve, at all sizes. Raises BadInputError."""
    return _print_curve(args) if args["--curve"] else _print_one_size(args)


def _print_one_size(args: Args) -> int:
    costs_by_part = costs(_deployment(args))
    if args["--json"]:
        print_json(costs_by_part)
        return DONE
    print_text("".join(f"{line}\n" for line in _lines(costs_by_part)))
    print_text(f"a failed gateway holds its leases for {LEASE_LIFETIME_S:g} s at most\n")
    return DONE


def _deployment(args: Args) -> Deployment:
    """Return the deployment size given by the options. Raises BadInputError."""
    values: dict[str, float] = {}
    for name in ("gateways", "servers", "tenants", "controllers", "heartbeat"):
        text = args[f"--{name}"] or DEFAULT_COUNT
        try:
            values[name] = float(text) if name == "heartbeat" else int(text)
        except ValueError:
            values[name] = 0
        if not 0 < values[name] <= MAX_COUNT:
            raise BadInputError(f"--{name}", f"{text!r} is not a number from 1 to {MAX_COUNT}")
    return Deployment(**values)


def _lines(costs_by_part: Costs) -> list[str]:
    lines = []
    for part, title in PART_TITLES.items():
        costs_of_part = getattr(costs_by_part, part)
        lines.append(f"{title:<24} {sum(costs_of_part.values()) / 1000:>10.2f}")
        for name, each in sorted(costs_of_part.items(), key=lambda pair: -pair[1]):
            lines.append(f"    {name:<20} {each / 1000:>10.2f}")
    return lines


def _print_curve(args: Args) -> int:
    """Print the tables of all sizes, and write plots to --plot. Raises BadInputError."""
    heartbeat = positive_number(args, "--heartbeat", float)
    if args["--plot"]:
        report.curve("", "", {"": [(1.0, 1.0)]})  # fails before the long measurement if plots can't be drawn
    rows = [row(msgspec.structs.replace(size, heartbeat=heartbeat)) for size in SIZES]
    processor_times, memory_rows = measure_processor_times(), measure_memory()
    if args["--plot"]:
        _draw(Path(args["--plot"]), draw_curves(rows, processor_times))
    if args["--json"]:
        print_json({"sizes": rows, "processor": [each.row() for each in processor_times], "memory": memory_rows})
        return DONE
    times = [each.row() | {"us": round(each.microseconds, 1)} for each in processor_times]
    for records in (rows, times, memory_rows):
        print_text(table(records) + "\n")
    return DONE


def _draw(folder: Path, files: dict[str, str]) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise BadInputError("--plot", f"{folder}: {error.strerror}") from None
    for name, drawing in files.items():
        write_file(str(folder / f"{name}.svg"), drawing.encode(), "--plot")
