"""SVG plots of the curves."""

from __future__ import annotations

from crowseam.capacity.code_measures import ProcessorTime
from crowseam.capacity.curves import LINK_SPEEDS_MBIT_S, Row
from crowseam.cli import report

Points = list[tuple[float, float]]
# Measures shown by each plot of processor time, by file name.
PROCESSOR_DRAWINGS = {
    "choose": ("choose", "choose of all"),
    "news": ("leave and come",),
    "snapshot": ("snapshot", "take a snapshot"),
    "digest": ("digest after a change", "digest, no change", "look over servers"),
    "lender": ("lender's report",),
    "members": ("members", "count of members"),
    "slices-time": ("slices of a gateway",),
}
# Plots by number of gateways: title of the y axis, and label of each line by column.
GATEWAY_DRAWINGS = {
    "gateway-bytes": ("kB/s of one gateway", {"gateway_kB_s": "gateway"}),
    "controller-bytes": ("kB/s of one controller", {"controller_kB_s": "controller"}),
    "between-zones": ("kB/s between zones, all together", {"between_kB_s": "between"}),
    "mass-start-bytes": ("kB that a controller sends", {"mass_start_kB": "sent"}),
    "mass-start-seconds": (
        "s until all gateways have all",
        {f"mass_start_s_{speed:g}": f"{speed:g} Mbit/s a controller" for speed in LINK_SPEEDS_MBIT_S},
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


def draw_curves(rows: list[Row], processor_times: list[ProcessorTime]) -> dict[str, str]:
    """Return SVG plots by file name. Raises BadInputError."""

    def points(column: str) -> Points:
        return [(row["gateways"], row[column]) for row in rows if row[column] > 0]

    by_gateways = {
        name: report.curve("gateways", title, {label: points(column) for column, label in columns.items()})
        for name, (title, columns) in GATEWAY_DRAWINGS.items()
    }
    return by_gateways | {
        name: _draw_processor_times(measure_names, processor_times)
        for name, measure_names in PROCESSOR_DRAWINGS.items()
    }


def _draw_processor_times(measure_names: tuple[str, ...], processor_times: list[ProcessorTime]) -> str:
    lines = {
        name: [(each.size, each.microseconds) for each in processor_times if each.what == name]
        for name in measure_names
    }
    x_title = next(each.by for each in processor_times if each.what == measure_names[0])
    return report.curve(x_title, "µs" if len(measure_names) > 1 else f"µs, {measure_names[0]}", lines)
