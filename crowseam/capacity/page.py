"""Slopes of cost against size, from kept records, extrapolated to the size to come: the tables of CAPACITY.md.

Records are those of `crowseam scale-run` (scale-run-*.json), the figures of `crowseam scale --curve --json`
(curves.json), and sweeps of the bench (sweep-*.toml, as `Sweep` has it), all in one directory; goals.toml
there has the size to come, and the allowance and the mechanism of each row.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from crowseam.capacity.scale_record import RunRecord, summary
from crowseam.cli.console import Args, print_json, print_text, write_file
from crowseam.cli.errors import DONE, BadInputError

LATE_MOST = 0.05  # s by which hollow looks may be late on average: beyond, the run measured itself
SATURATED = 0.9  # cores of a controller, which has one thread, from which on its times say little
BETTER = 4.0  # times that a curve's residue is smaller than a line's where it is no line
LOOSE = 0.1  # of the mean, the residue from which on a line is said not to fit
FEWEST = 3  # sizes from which on a line is carried to the size to come
FAR = 10.0  # times the largest size measured, beyond which that is said to be far


class Goal(Struct, frozen=True, forbid_unknown_fields=True):
    """What may be used of something at the size to come, and by what it is carried."""

    row: str
    most: float | None = None
    mechanism: str = ""


class Goals(Struct, frozen=True, forbid_unknown_fields=True):
    """The size to come by what things grow with, and the rows."""

    size: dict[str, float]
    rows: list[Goal]


class SweepRow(Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity of a sweep: `values` by size, the sizes as text ("50")."""

    role: str
    quantity: str
    unit: str
    values: dict[str, float]


class Sweep(Struct, frozen=True, forbid_unknown_fields=True):
    """A sweep of sizes that something else has played. `by`: what the sizes count, a key of Goals.size."""

    name: str
    source: str
    by: str
    rows: list[SweepRow]


class Fit(Struct, frozen=True):
    """`at` = a + b x + c x**2 at the size to come; c is 0 for a line.

    `residue`: the root of the mean square of what a line leaves, in the unit of the values.
    `line`: whether one describes them.
    """

    a: float
    b: float
    c: float
    residue: float
    line: bool
    at: float


class Series(Struct, frozen=True):
    """A quantity at several sizes."""

    role: str
    quantity: str
    unit: str
    by: str
    points: list[tuple[float, float]]
    how: str = "measured"

    @property
    def name(self) -> str:
        """What goals.toml knows it by."""
        return f"{self.role}: {self.quantity}"


def _solve(rows: list[list[float]]) -> list[float] | None:
    """The solution of a small system of equations, its right side last in each row; None if it has none."""
    count = len(rows)
    rows = [list(each) for each in rows]
    for place in range(count):
        best = max(range(place, count), key=lambda at: abs(rows[at][place]))
        if abs(rows[best][place]) < 1e-12:
            return None
        rows[place], rows[best] = rows[best], rows[place]
        for other in range(count):
            if other != place:
                factor = rows[other][place] / rows[place][place]
                rows[other] = [x - factor * y for x, y in zip(rows[other], rows[place], strict=True)]
    return [rows[place][count] / rows[place][place] for place in range(count)]


def _least_squares(points: list[tuple[float, float]], degree: int) -> tuple[list[float], float] | None:
    """Coefficients from the constant on, and the root of the mean square of the residue."""
    scale = max(abs(x) for x, _ in points) or 1.0  # keeps the sums of powers alike in size
    scaled = [(x / scale, y) for x, y in points]
    rows = [
        [sum(x ** (i + j) for x, _ in scaled) for j in range(degree + 1)] + [sum(y * x**i for x, y in scaled)]
        for i in range(degree + 1)
    ]
    found = _solve(rows)
    if found is None:
        return None
    left = sum((y - sum(c * x**i for i, c in enumerate(found))) ** 2 for x, y in scaled)
    return [c / scale**i for i, c in enumerate(found)], (left / len(scaled)) ** 0.5


def fit(points: list[tuple[float, float]], size: float) -> Fit | None:
    """A line through the points by least squares, carried to `size`; None of less than two sizes.

    With four sizes or more a parabola is tried: where it leaves a BETTER-th of the residue, and the line
    leaves more than LOOSE of the mean, it is no line, and the parabola is carried on.
    """
    if len({x for x, _ in points}) < 2:
        return None
    (a, b), residue = _least_squares(points, 1)
    mean = sum(abs(y) for _, y in points) / len(points)
    if len({x for x, _ in points}) >= 4 and residue > LOOSE * mean:
        curve = _least_squares(points, 2)
        if curve is not None and curve[1] * BETTER <= residue:
            (ca, cb, cc), _ = curve
            return Fit(ca, cb, cc, residue, False, ca + cb * size + cc * size * size)
    return Fit(a, b, 0.0, residue, True, a + b * size)


def unfit(record: RunRecord) -> str:
    """Why a run gives no slopes; empty if it does."""
    if record.calm is None:
        return "ended before its calm time"
    if silent := record.calm.events.get("left silent", 0):
        return f"sessions left as silent in calm ({silent})"
    if record.calm.hollow_late_s.mean > LATE_MOST:
        return f"the hollow gateways were late themselves ({record.calm.hollow_late_s.mean} s on average)"
    if record.mass_start is None or not record.mass_start.done:
        return "not all gateways came up"
    return ""


def _at(record: RunRecord, path: str) -> float | None:
    """The value at a dotted path of attributes; None where a part was not reached."""
    value: Any = record
    for name in path.split("."):
        value = getattr(value, name, None)
    return value


TIMES = (
    ("change acknowledged, p50", "ms", "changes.ack_ms.p50"),
    ("change acknowledged, worst", "ms", "changes.ack_ms.worst"),
    ("change at a gateway after that, p50", "ms", "changes.to_gateways_ms.p50"),
    ("change at the last gateway after that, worst", "ms", "changes.to_last_gateway_ms.worst"),
    ("leave acknowledged, p50", "ms", "leaves.ack_ms.p50"),
    ("leave acknowledged, worst", "ms", "leaves.ack_ms.worst"),
    ("gateway started anew: whole, worst", "s", "gateway_restarts.catch_up_s.worst"),
    ("draw answered, p50", "ms", "calm.draw_wait_ms.p50"),
    ("draw answered, p99", "ms", "calm.draw_wait_ms.p99"),
    ("controller killed: gateways elsewhere", "s", "controller_restart.gateways_elsewhere_s"),
    ("controller killed: up to date again", "s", "controller_restart.catch_up_s"),
)
USES = (
    ("cores", "cores"),
    ("memory", "MB"),
    ("files", "descriptors"),
    ("read", "kB/s in"),
    ("written", "kB/s out"),
    ("disk", "kB/s to disk"),
)


class SeriesKey(NamedTuple):
    """What sets one series apart from the others."""

    role: str
    quantity: str
    unit: str
    by: str = "gateways"
    how: str = "measured"


class Points:
    """Values by size, collected by series."""

    def __init__(self) -> None:
        self._points: dict[SeriesKey, list[tuple[float, float]]] = {}

    def add(self, key: SeriesKey, size: float, value: float | None) -> None:
        """Add a value; None is none."""
        if value is not None:
            self._points.setdefault(key, []).append((float(size), float(value)))

    def series(self) -> list[Series]:
        """All series, in the order in which they came."""
        return [
            Series(key.role, key.quantity, key.unit, key.by, sorted(points), key.how)
            for key, points in self._points.items()
        ]


def series(records: list[RunRecord], curves: dict[str, Any] | None, sweeps: list[Sweep]) -> list[Series]:
    """All quantities of the records, by role."""
    points = Points()
    for record in records:
        if not unfit(record):
            _add_run(points, record)
    for each in (curves or {}).get("processor", ()):
        by = "servers_of_a_service" if each["by"] == "servers of a service" else each["by"]
        points.add(SeriesKey("code", each["what"], "µs", by, "trial"), each["size"], each["us"])
    for sweep in sweeps:
        for row in sweep.rows:
            for size, value in row.values.items():
                points.add(SeriesKey(row.role, row.quantity, row.unit, sweep.by, sweep.name), float(size), value)
    return points.series()


def _add_run(points: Points, record: RunRecord) -> None:
    """Add what one run has measured."""
    size, calm = record.gateways, record.calm
    for role in ("gateway", "controller"):
        used = [each for name, each in calm.processes.items() if name.startswith(f"{role}-")]
        for key, unit in USES if used else ():
            mean = sum(getattr(each, key) for each in used) / len(used)
            points.add(SeriesKey(role, f"calm, {unit}", unit), size, mean)
    points.add(SeriesKey("controller", "disk held", "MB"), size, max(record.disk.values(), default=None))
    hollow, role = max(1, calm.open), "hollow gateway"
    points.add(SeriesKey(role, "calm, all messages", "kB/s"), size, calm.gateway_kilobytes)
    points.add(SeriesKey(role, "tenants named in a report", "tenants"), size, calm.tenants_named)
    points.add(SeriesKey(role, "draws wanted", "a second"), size, calm.draws_wanted_s / hollow)
    for what, rate in calm.traffic.items():
        points.add(SeriesKey(role, what, "kB/s"), size, rate.kilobytes / hollow)
    for quantity, unit, path in TIMES:
        points.add(SeriesKey("times", quantity, unit), size, _at(record, path))
    if not record.load.get("ramp"):
        points.add(SeriesKey("times", "mass start, worst", "s"), size, _at(record, "mass_start.catch_up_s.worst"))


def number(value: float) -> str:
    """A figure with as many digits as it bears."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def rows(found: list[Series], goals: Goals) -> list[dict[str, str]]:
    """A row of the table for each series: the measured values, the slope, and the value at the size to come."""
    known = {goal.row: goal for goal in goals.rows}
    return [_row(each, known.get(each.name, Goal(each.name)), goals.size.get(each.by)) for each in found]


def _row(each: Series, goal: Goal, size: float | None) -> dict[str, str]:
    slope, at = _carried(each, goal, size)
    return {
        "role": each.role,
        "quantity": f"{each.quantity} ({each.unit})",
        "measured": ", ".join(f"{x:,.0f}: {number(y)}" for x, y in each.points),
        "slope": slope,
        "at the size to come": at,
        "allowance": "-" if goal.most is None else number(goal.most),
        "how": each.how,
        "mechanism": goal.mechanism or "-",
    }


def _carried(each: Series, goal: Goal, size: float | None) -> tuple[str, str]:
    """The slope of a series, and its value at the size to come, as text."""
    found = None if size is None else fit(each.points, size)
    if found is None:
        return "one size only", "-"
    values = [y for _, y in each.points]
    mean = sum(values) / len(values)
    slope = f"{number(found.b)} each, residue {number(found.residue)}"
    if not found.line:
        slope = f"no line: {number(found.b)} and {number(found.c)} by the square"
    if each.role == "times":
        return slope, "as measured, while no controller is full"  # beyond that no line leads anywhere
    if len(each.points) < FEWEST:
        return slope, f"not carried on from {len(each.points)} sizes"
    value = found.at
    if max(values) - min(values) <= LOOSE * mean or found.line and found.b <= 0.0:
        slope, value = f"{slope}: does not grow", mean
    at = number(value)
    if goal.most is not None:
        at += " (within)" if value <= goal.most else " (beyond)"
    if size > FAR * each.points[-1][0]:
        at += f", far: measured to {each.points[-1][0]:,.0f}"
    return slope, at


def markdown(table: list[dict[str, Any]]) -> str:
    """A table of a page."""
    if not table:
        return "None yet.\n"
    names = list(dict.fromkeys(name for each in table for name in each))
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += [
        "| " + " | ".join("-" if each.get(name) is None else str(each[name]).replace("|", "/") for name in names) + " |"
        for each in table
    ]
    return "\n".join(lines) + "\n"


def fill(page: str, tables: dict[str, str]) -> str:
    """The page with each table between its markers. Raises BadInputError where markers are missing."""
    for name, text in tables.items():
        begin, end = f"<!-- capacity {name} begin -->\n", f"<!-- capacity {name} end -->"
        before, found, rest = page.partition(begin)
        _, closed, after = rest.partition(end)
        if not found or not closed:
            raise BadInputError("--page", f"the markers of the table {name!r} are missing")
        page = f"{before}{begin}{text}{end}{after}"
    return page


def _toml(file: Path, kind: type) -> Any:
    try:
        return msgspec.toml.decode(file.read_bytes(), type=kind)
    except OSError as error:
        raise BadInputError("--records", f"{file}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadInputError(file.name, str(error)) from None


def _json(file: Path, kind: type) -> Any:
    try:
        return msgspec.json.decode(file.read_bytes(), type=kind)
    except (msgspec.MsgspecError, OSError, ValueError) as error:
        raise BadInputError(file.name, str(error)) from None


def read(folder: Path) -> tuple[list[RunRecord], dict[str, Any] | None, list[Sweep], Goals]:
    """The records, curves, sweeps and goals of a directory. Raises BadInputError naming the file."""
    goals = _toml(folder / "goals.toml", Goals)
    files = folder.glob("scale-run-*.json")
    records = sorted((_json(file, RunRecord) for file in files), key=lambda record: record.gateways)
    curves = folder / "curves.json"
    sweeps = [_toml(file, Sweep) for file in sorted(folder.glob("sweep-*.toml"))]
    return records, _json(curves, dict[str, Any]) if curves.exists() else None, sweeps, goals


def runs(records: list[RunRecord]) -> list[dict[str, Any]]:
    """A row for each run: what it found, how busy the machine was, and whether it counts."""
    found = []
    for record in records:
        before, after = record.machine.load_average_before[0], record.machine.load_average_after[0]
        row = {name: value for name, value in summary(record).items() if name != "failed"}
        row |= {
            "load average": f"{before:g} to {after:g}",
            "failed": "; ".join(record.failed) or "nothing",
            "no slopes, as": unfit(record) or "-",
        }
        found.append(row)
    return found


def tables(
    records: list[RunRecord], curves: dict[str, Any] | None, sweeps: list[Sweep], goals: Goals
) -> dict[str, list[dict[str, Any]]]:
    """All tables of the page by name."""
    found = rows(series(records, curves, sweeps), goals)
    parts: dict[str, list[dict[str, Any]]] = {"runs": runs(records)}
    for name, roles in (
        ("gateway", ("gateway", "hollow gateway")),
        ("controller", ("controller",)),
        ("times", ("times",)),
        ("code", ("code",)),
    ):
        parts[name] = [each for each in found if each["role"] in roles]
    known = {each["role"] for part in parts.values() for each in part if "role" in each}
    parts["sweeps"] = [each for each in found if each["role"] not in known]
    return parts


def capacity(args: Args) -> int:
    """`crowseam capacity`: print the tables, or write them into a page. Raises BadInputError."""
    found = tables(*read(Path(args["--records"])))
    if args["--json"]:
        print_json(found)
        return DONE
    if args["--page"]:
        try:
            page = Path(args["--page"]).read_text(encoding="utf-8")
        except OSError as error:
            raise BadInputError("--page", f"{args['--page']}: {error.strerror}") from None
        texts = {name: markdown(table) for name, table in found.items()}
        write_file(args["--page"], fill(page, texts).encode(), "--page")
        return DONE
    for name, table in found.items():
        print_text(f"{name}\n{markdown(table)}\n")
    return DONE
