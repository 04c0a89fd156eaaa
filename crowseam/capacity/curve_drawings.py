"""Drawings of the curves, as SVG."""

from __future__ import annotations

from crowseam.capacity.code_measures import ProcessorTime
from crowseam.capacity.curves import SPEEDS, Row
from crowseam.cli import report

Line = list[tuple[float, float]]
# Which measures a drawing of processor time shows.
PROCESSOR = {
    "choose": ("choose", "choose of all"),
    "news": ("leave and come",),
    "snapshot": ("snapshot", "take a snapshot"),
    "digest": ("digest after a change", "digest, no change", "look over servers"),
    "lender": ("lender's report",),
    "members": ("members", "count of members"),
    "slices-time": ("slices of a gateway",),
}
# Title of the upright axis, and the lines by column and name, of the drawings by number of gateways.
BY_GATEWAYS = {
    "gateway-bytes": ("kB/s of one gateway", {"gateway_kB_s": "gateway"}),
    "controller-bytes": ("kB/s of one controller", {"controller_kB_s": "controller"}),
    "between-zones": ("kB/s between zones, all together", {"between_kB_s": "between"}),
    "mass-start-bytes": ("kB that a controller sends", {"mass_start_kB": "sent"}),
    "mass-start-seconds": (
        "s until all gateways have all",
        {f"mass_start_s_{speed:g}": f"{speed:g} Mbit/s a controller" for speed in SPEEDS},
    ),
    "connections-gateway": (
        "connections to servers of a gateway",
        {"gateway_most": "at most", "gateway_open": "open at 20 requests/s"},
    ),
    "connections-server": (
        "gateways that may connect to one server",
        {"server_gateways": "mean, with the subset", "server_gateways_all": "all servers considered"},
    ),
    "slice": ("requests/s lent of a quota of 50", {"slice": "slice"}),
}


def drawings(rows: list[Row], spent: list[ProcessorTime]) -> dict[str, str]:
    """SVG by the name of its file. Raises BadInputError."""

    def line(column: str) -> Line:
        return [(row["gateways"], row[column]) for row in rows if row[column] > 0]

    found = {
        name: report.curve("gateways", title, {label: line(column) for column, label in columns.items()})
        for name, (title, columns) in BY_GATEWAYS.items()
    }
    return found | {name: _processor(whats, spent) for name, whats in PROCESSOR.items()}


def _processor(whats: tuple[str, ...], spent: list[ProcessorTime]) -> str:
    lines = {what: [(each.size, each.microseconds) for each in spent if each.what == what] for what in whats}
    across = next(each.by for each in spent if each.what == whats[0])
    return report.curve(across, "µs" if len(whats) > 1 else f"µs, {whats[0]}", lines)
