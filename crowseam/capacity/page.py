"""Cost by size, fitted to stored records and extrapolated to the target size: the tables of CAPACITY.md.

One directory holds the records of `crowseam scale-run` (scale-run-*.json), the output of
`crowseam scale --curve --json` (curves.json), benchmark sweeps (sweep-*.toml, see `Sweep`), and goals.toml with the
target size and the limit and mechanism of each row. The tables call the target size "the size to come".
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from crowseam.capacity.scale_record import RunRecord, summary
from crowseam.cli.console import Args, print_json, print_text, write_file
from crowseam.cli.errors import DONE, BadInputError

MAX_MEAN_DELAY_S = 0.05  # of hollow gateways' checks; above it, the load generator was overloaded
SATURATED_CORES = 0.9  # of a single-threaded controller; above it, response times are unreliable
MIN_RESIDUE_RATIO = 4.0  # of line to parabola, from which the parabola is used
MAX_RELATIVE_RESIDUE = 0.1  # residue of a good line fit, relative to the mean
MIN_SIZES = 3  # needed for an extrapolation
MAX_EXTRAPOLATION_RATIO = 10.0  # of the target to the largest measured size; marked as far beyond it


class Goal(Struct, frozen=True, forbid_unknown_fields=True):
    """Limit of a quantity at the target size, and the mechanism that bounds it."""

    row: str
    most: float | None = None
    mechanism: str = ""


class Goals(Struct, frozen=True, forbid_unknown_fields=True):
    """The target size by dimension, and the goals of the rows."""

    size: dict[str, float]
    rows: list[Goal]


class SweepRow(Struct, frozen=True, forbid_unknown_fields=True):
    """One quantity of a sweep: `values` by size, the sizes as text ("50")."""

    role: str
    quantity: str
    unit: str
    values: dict[str, float]


class Sweep(Struct, frozen=True, forbid_unknown_fields=True):
    """A sweep over sizes measured by another tool. `by`: the dimension of the sizes, a key of Goals.size."""

    name: str
    source: str
    by: str
    rows: list[SweepRow]


class Fit(Struct, frozen=True):
    """A least squares fit: `at` = a + b x + c x**2 at the target size x; c is 0 for a line.

    `residue`: root mean square error of the line, in the unit of the values. `line`: whether the line fits.
    """

    a: float
    b: float
    c: float
    residue: float
    line: bool
    at: float


class Series(Struct, frozen=True):
    """The values of a quantity at several sizes."""

    role: str
    quantity: str
    unit: str
    by: str
    points: list[tuple[float, float]]
    how: str = "measured"

    @property
    def name(self) -> str:
        """Return the name of the series in goals.toml."""
        return f"{self.role}: {self.quantity}"


def _solve(rows: list[list[float]]) -> list[float] | None:
    """Solve linear equations, with the right side last in each row; None if the system is singular."""
    count = len(rows)
    rows = [list(each) for each in rows]
    for column in range(count):
        pivot = max(range(column, count), key=lambda index: abs(rows[index][column]))
        if abs(rows[pivot][column]) < 1e-12:
            return None
        rows[column], rows[pivot] = rows[pivot], rows[column]
        for other in range(count):
            if other != column:
                factor = rows[other][column] / rows[column][column]
                rows[other] = [x - factor * y for x, y in zip(rows[other], rows[column], strict=True)]
    return [rows[column][count] / rows[column][column] for column in range(count)]


def _least_squares(points: list[tuple[float, float]], degree: int) -> tuple[list[float], float] | None:
    """Return the coefficients in ascending order, and the root mean square error."""
    scale = max(abs(x) for x, _ in points) or 1.0  # keeps the sums of powers similar in magnitude
    scaled = [(x / scale, y) for x, y in points]
    rows = [
        [sum(x ** (i + j) for x, _ in scaled) for j in range(degree + 1)] + [sum(y * x**i for x, y in scaled)]
        for i in range(degree + 1)
    ]
    coefficients = _solve(rows)
    if coefficients is None:
        return None
    squares = sum((y - sum(c * x**i for i, c in enumerate(coefficients))) ** 2 for x, y in scaled)
    return [c / scale**i for i, c in enumerate(coefficients)], (squares / len(scaled)) ** 0.5


def fit_points(points: list[tuple[float, float]], size: float) -> Fit | None:
    """Fit a line to the points and extrapolate it to `size`; None with fewer than two sizes.

    With four sizes or more, a parabola is used instead if the line's residue exceeds MAX_RELATIVE_RESIDUE of the mean
    and the parabola's is smaller by a factor of MIN_RESIDUE_RATIO.
    """
    if len({x for x, _ in points}) < 2:
        return None
    (intercept, slope), residue = _least_squares(points, 1)
    mean = sum(abs(y) for _, y in points) / len(points)
    if len({x for x, _ in points}) >= 4 and residue > MAX_RELATIVE_RESIDUE * mean:
        curve = _least_squares(points, 2)
        if curve is not None and curve[1] * MIN_RESIDUE_RATIO <= residue:
            (constant, linear, quadratic), _ = curve
            return Fit(constant, linear, quadratic, residue, False, constant + linear * size + quadratic * size * size)
    return Fit(intercept, slope, 0.0, residue, True, intercept + slope * size)


def exclusion_reason(record: RunRecord) -> str:
    """Return why a run is excluded from the fits; empty if it isn't."""
    if record.calm is None:
        return "ended before its calm time"
    if silent_sessions := record.calm.events.get("left silent", 0):
        return f"sessions left as silent in calm ({silent_sessions})"
    if record.calm.hollow_late_s.mean > MAX_MEAN_DELAY_S:
        return f"the hollow gateways were late themselves ({record.calm.hollow_late_s.mean} s on average)"
    if record.mass_start is None or not record.mass_start.done:
        return "not all gateways came up"
    return ""


def _value_at(record: RunRecord, path: str) -> float | None:
    """Return the value at a dotted path of attributes; None if the run did not reach that phase."""
    value: Any = record
    for name in path.split("."):
        value = getattr(value, name, None)
    return value


TIME_SERIES = (
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
USAGE_SERIES = (
    ("cores", "cores"),
    ("memory", "MB"),
    ("files", "descriptors"),
    ("read", "kB/s in"),
    ("written", "kB/s out"),
    ("disk", "kB/s to disk"),
)


class SeriesKey(NamedTuple):
    """Identifies a series."""

    role: str
    quantity: str
    unit: str
    by: str = "gateways"
    how: str = "measured"


class SeriesBuilder:
    """Collects values by series and size."""

    def __init__(self) -> None:
        self._points: dict[SeriesKey, list[tuple[float, float]]] = {}

    def add(self, key: SeriesKey, size: float, value: float | None) -> None:
        """Add a value; None is ignored."""
        if value is not None:
            self._points.setdefault(key, []).append((float(size), float(value)))

    def build_series(self) -> list[Series]:
        """Return all series in order of first use."""
        return [
            Series(key.role, key.quantity, key.unit, key.by, sorted(points), key.how)
            for key, points in self._points.items()
        ]


def build_series(records: list[RunRecord], curves: dict[str, Any] | None, sweeps: list[Sweep]) -> list[Series]:
    """Return the series of all records, curves and sweeps."""
    points = SeriesBuilder()
    for record in records:
        if not exclusion_reason(record):
            _add_run(points, record)
    for each in (curves or {}).get("processor", ()):
        by = "servers_of_a_service" if each["by"] == "servers of a service" else each["by"]
        points.add(SeriesKey("code", each["what"], "µs", by, "trial"), each["size"], each["us"])
    for sweep in sweeps:
        for row in sweep.rows:
            for size, value in row.values.items():
                points.add(SeriesKey(row.role, row.quantity, row.unit, sweep.by, sweep.name), float(size), value)
    return points.build_series()


def _add_run(points: SeriesBuilder, record: RunRecord) -> None:
    """Add the values of one run."""
    size, calm = record.gateways, record.calm
    for role in ("gateway", "controller"):
        usages = [each for name, each in calm.processes.items() if name.startswith(f"{role}-")]
        for key, unit in USAGE_SERIES if usages else ():
            mean = sum(getattr(each, key) for each in usages) / len(usages)
            points.add(SeriesKey(role, f"calm, {unit}", unit), size, mean)
    points.add(SeriesKey("controller", "disk held", "MB"), size, max(record.disk.values(), default=None))
    hollow_count, role = max(1, calm.open), "hollow gateway"
    points.add(SeriesKey(role, "calm, all messages", "kB/s"), size, calm.gateway_kilobytes)
    points.add(SeriesKey(role, "tenants named in a report", "tenants"), size, calm.tenants_named)
    points.add(SeriesKey(role, "draws wanted", "a second"), size, calm.draws_wanted_s / hollow_count)
    for message_type, rate in calm.traffic.items():
        points.add(SeriesKey(role, message_type, "kB/s"), size, rate.kilobytes / hollow_count)
    for quantity, unit, path in TIME_SERIES:
        points.add(SeriesKey("times", quantity, unit), size, _value_at(record, path))
    if not record.load.get("ramp"):
        points.add(SeriesKey("times", "mass start, worst", "s"), size, _value_at(record, "mass_start.catch_up_s.worst"))


def format_number(value: float) -> str:
    """Format with three significant digits, or as an integer from 100."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def rows(all_series: list[Series], goals: Goals) -> list[dict[str, str]]:
    """Return a table row for each series: measured values, slope, and value at the target size."""
    known = {goal.row: goal for goal in goals.rows}
    return [_row(each, known.get(each.name, Goal(each.name)), goals.size.get(each.by)) for each in all_series]


def _row(each: Series, goal: Goal, size: float | None) -> dict[str, str]:
    slope, at = _extrapolate(each, goal, size)
    return {
        "role": each.role,
        "quantity": f"{each.quantity} ({each.unit})",
        "measured": ", ".join(f"{x:,.0f}: {format_number(y)}" for x, y in each.points),
        "slope": slope,
        "at the size to come": at,
        "allowance": "-" if goal.most is None else format_number(goal.most),
        "how": each.how,
        "mechanism": goal.mechanism or "-",
    }


def _extrapolate(each: Series, goal: Goal, size: float | None) -> tuple[str, str]:
    """Return the slope of a series and its value at the target size as text."""
    fit = None if size is None else fit_points(each.points, size)
    if fit is None:
        return "one size only", "-"
    values = [y for _, y in each.points]
    mean = sum(values) / len(values)
    slope = f"{format_number(fit.b)} each, residue {format_number(fit.residue)}"
    if not fit.line:
        slope = f"no line: {format_number(fit.b)} and {format_number(fit.c)} by the square"
    if each.role == "times":
        # The response times of a saturated controller can't be extrapolated.
        return slope, "as measured, while no controller is full"
    if len(each.points) < MIN_SIZES:
        return slope, f"not carried on from {len(each.points)} sizes"
    value = fit.at
    if max(values) - min(values) <= MAX_RELATIVE_RESIDUE * mean or fit.line and fit.b <= 0.0:
        slope, value = f"{slope}: does not grow", mean
    at = format_number(value)
    if goal.most is not None:
        at += " (within)" if value <= goal.most else " (beyond)"
    if size > MAX_EXTRAPOLATION_RATIO * each.points[-1][0]:
        at += f", far: measured to {each.points[-1][0]:,.0f}"
    return slope, at


def markdown(table: list[dict[str, Any]]) -> str:
    """Return a table in Markdown."""
    if not table:
        return "None yet.\n"
    names = list(dict.fromkeys(name for each in table for name in each))
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += [
        "| " + " | ".join("-" if each.get(name) is None else str(each[name]).replace("|", "/") for name in names) + " |"
        for each in table
    ]
    return "\n".join(lines) + "\n"


def fill_tables(page: str, tables: dict[str, str]) -> str:
    """Return the page with each table put between its markers. Raises BadInputError if a marker is missing."""
    for name, text in tables.items():
        begin, end = f"<!-- capacity {name} begin -->\n", f"<!-- capacity {name} end -->"
        before, begin_found, rest = page.partition(begin)
        _, end_found, after = rest.partition(end)
        if not begin_found or not end_found:
            raise BadInputError("--page", f"no markers for the table {name!r}")
        page = f"{before}{begin}{text}{end}{after}"
    return page


def _read_toml(file: Path, kind: type) -> Any:
    try:
        return msgspec.toml.decode(file.read_bytes(), type=kind)
    except OSError as error:
        raise BadInputError("--records", f"{file}: {error.strerror}") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadInputError(file.name, str(error)) from None


def _read_json(file: Path, kind: type) -> Any:
    try:
        return msgspec.json.decode(file.read_bytes(), type=kind)
    except (msgspec.MsgspecError, OSError, ValueError) as error:
        raise BadInputError(file.name, str(error)) from None


def read_records(folder: Path) -> tuple[list[RunRecord], dict[str, Any] | None, list[Sweep], Goals]:
    """Read the records, curves, sweeps and goals of a directory. Raises BadInputError naming the file."""
    goals = _read_toml(folder / "goals.toml", Goals)
    files = folder.glob("scale-run-*.json")
    records = sorted((_read_json(file, RunRecord) for file in files), key=lambda record: record.gateways)
    curves = folder / "curves.json"
    sweeps = [_read_toml(file, Sweep) for file in sorted(folder.glob("sweep-*.toml"))]
    return records, _read_json(curves, dict[str, Any]) if curves.exists() else None, sweeps, goals


def run_rows(records: list[RunRecord]) -> list[dict[str, Any]]:
    """Return a row for each run with its results, the machine's load average, and why it is excluded."""
    table = []
    for record in records:
        before, after = record.machine.load_average_before[0], record.machine.load_average_after[0]
        row = {name: value for name, value in summary(record).items() if name != "failed"}
        row |= {
            "load average": f"{before:g} to {after:g}",
            "failed": "; ".join(record.failed) or "nothing",
            "no slopes, as": exclusion_reason(record) or "-",
        }
        table.append(row)
    return table


def build_tables(
    records: list[RunRecord], curves: dict[str, Any] | None, sweeps: list[Sweep], goals: Goals
) -> dict[str, list[dict[str, Any]]]:
    """Return all tables of the page by name."""
    all_rows = rows(build_series(records, curves, sweeps), goals)
    parts: dict[str, list[dict[str, Any]]] = {"runs": run_rows(records)}
    for name, roles in (
        ("gateway", ("gateway", "hollow gateway")),
        ("controller", ("controller",)),
        ("times", ("times",)),
        ("code", ("code",)),
    ):
        parts[name] = [each for each in all_rows if each["role"] in roles]
    known = {each["role"] for part in parts.values() for each in part if "role" in each}
    parts["sweeps"] = [each for each in all_rows if each["role"] not in known]
    return parts


def capacity(args: Args) -> int:
    """`crowseam capacity`: print the tables, or write them into a page. Raises BadInputError."""
    tables = build_tables(*read_records(Path(args["--records"])))
    if args["--json"]:
        print_json(tables)
        return DONE
    if args["--page"]:
        try:
            page = Path(args["--page"]).read_text(encoding="utf-8")
        except OSError as error:
            raise BadInputError("--page", f"{args['--page']}: {error.strerror}") from None
        texts = {name: markdown(table) for name, table in tables.items()}
        write_file(args["--page"], fill_tables(page, texts).encode(), "--page")
        return DONE
    for name, table in tables.items():
        print_text(f"{name}\n{markdown(table)}\n")
    return DONE
