"""Slopes: cost against size from the kept records, carried to the size to come: the tables of CAPACITY.md.

Records are those of `crowseam scale-run` (scale-run-*.json), the figures of `crowseam scale --curve --json`
(curves.json), and sweeps of the bench (sweep-*.toml, as `Sweep` has it), all in one directory; goals.toml
there has the size to come, and the allowance and the mechanism of each row.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from crowseam.capacity.scale_run import row as _summary
from crowseam.cli.commands import Args, _json, _out, _write
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
    told = [(x / scale, y) for x, y in points]
    rows = [
        [sum(x ** (i + j) for x, _ in told) for j in range(degree + 1)] + [sum(y * x**i for x, y in told)]
        for i in range(degree + 1)
    ]
    found = _solve(rows)
    if found is None:
        return None
    left = sum((y - sum(c * x**i for i, c in enumerate(found))) ** 2 for x, y in told)
    return [c / scale**i for i, c in enumerate(found)], (left / len(told)) ** 0.5


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


def trouble(record: dict[str, Any]) -> str:
    """Why a run gives no slopes; empty if it does."""
    calm = record.get("calm")
    if calm is None:
        return "ended before its calm time"
    if calm["events"].get("left silent", 0):
        return f"sessions left as silent in calm ({calm['events']['left silent']})"
    if calm["hollow_late_s"]["mean"] > LATE_MOST:
        return f"the hollow gateways were late themselves ({calm['hollow_late_s']['mean']} s on average)"
    if not record.get("mass_start", {}).get("done"):
        return "not all gateways came up"
    return ""


def _deep(record: dict[str, Any], path: str) -> float | None:
    told: Any = record
    for name in path.split("."):
        told = told.get(name) if isinstance(told, dict) else None
    return told


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
    ("rss_MB", "MB"),
    ("files", "descriptors"),
    ("in_kB_s", "kB/s in"),
    ("out_kB_s", "kB/s out"),
    ("disk_kB_s", "kB/s to disk"),
)


def series(records: list[dict[str, Any]], curves: dict[str, Any] | None, sweeps: list[Sweep]) -> list[Series]:
    """All quantities of the records, by role."""
    found: dict[tuple[str, str, str, str, str], list[tuple[float, float]]] = {}

    def add(
        role: str,
        quantity: str,
        unit: str,
        size: float,
        value: float | None,
        by: str = "gateways",
        how: str = "measured",
    ) -> None:
        if value is not None:
            found.setdefault((role, quantity, unit, by, how), []).append((float(size), float(value)))

    for record in records:
        if trouble(record):
            continue
        size, calm = record["gateways"], record["calm"]
        hollow = max(1, calm["open"])
        for role in ("gateway", "controller"):
            used = [each for name, each in calm["processes"].items() if name.startswith(f"{role}-")]
            for key, unit in USES if used else ():
                add(role, f"calm, {unit}", unit, size, sum(each[key] for each in used) / len(used))
        add("controller", "disk held", "MB", size, max(record["disk_MB"].values(), default=None))
        add("hollow gateway", "calm, all messages", "kB/s", size, calm["gateway_kB_s"])
        add("hollow gateway", "tenants named in a report", "tenants", size, calm["tenants_named"])
        add("hollow gateway", "draws wanted", "a second", size, calm["draws_wanted_s"] / hollow)
        for what, told in calm["traffic"].items():
            add("hollow gateway", what, "kB/s", size, told["kB_s"] / hollow)
        for quantity, unit, path in TIMES:
            add("times", quantity, unit, size, _deep(record, path))
        if not record["load"].get("ramp"):
            add("times", "mass start, worst", "s", size, _deep(record, "mass_start.catch_up_s.worst"))
    for each in (curves or {}).get("processor", ()):
        by = "servers_of_a_service" if each["by"] == "servers of a service" else each["by"]
        add("code", each["what"], "µs", each["size"], each["us"], by, "trial")
    for sweep in sweeps:
        for each in sweep.rows:
            for size, value in each.values.items():
                add(each.role, each.quantity, each.unit, float(size), value, sweep.by, sweep.name)
    return [
        Series(role, quantity, unit, by, sorted(points), how)
        for (role, quantity, unit, by, how), points in found.items()
    ]


def number(value: float) -> str:
    """A figure with as many digits as it bears."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def rows(told: list[Series], goals: Goals) -> list[dict[str, str]]:
    """A row of the table for each series: what was measured, its slope, and where that leads."""
    known = {goal.row: goal for goal in goals.rows}
    out = []
    for each in told:
        size = goals.size.get(each.by)
        found = None if size is None else fit(each.points, size)
        goal = known.get(each.name, Goal(each.name))
        slope, at, value = "one size only", "-", None
        if found is not None:
            values = [y for _, y in each.points]
            mean = sum(values) / len(values)
            slope = f"{number(found.b)} each, residue {number(found.residue)}"
            if not found.line:
                slope = f"no line: {number(found.b)} and {number(found.c)} by the square"
            if each.role == "times":
                at = "as measured, while no controller is full"  # beyond that no line leads anywhere
            elif len(each.points) < FEWEST:
                at = f"not carried on from {len(each.points)} sizes"
            elif max(values) - min(values) <= LOOSE * mean or found.line and found.b <= 0.0:
                slope, value = f"{slope}: does not grow", mean
            else:
                value = found.at
        if value is not None:
            at = number(value)
            if goal.most is not None:
                at += " (within)" if value <= goal.most else " (beyond)"
            if size > FAR * each.points[-1][0]:
                at += f", far: measured to {each.points[-1][0]:,.0f}"
        out.append(
            {
                "role": each.role,
                "quantity": f"{each.quantity} ({each.unit})",
                "measured": ", ".join(f"{x:,.0f}: {number(y)}" for x, y in each.points),
                "slope": slope,
                "at the size to come": at,
                "allowance": "-" if goal.most is None else number(goal.most),
                "how": each.how,
                "mechanism": goal.mechanism or "-",
            }
        )
    return out


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


def _record(file: Path) -> Any:
    try:
        return msgspec.json.decode(file.read_bytes())
    except (msgspec.MsgspecError, OSError, ValueError) as error:
        raise BadInputError(file.name, str(error)) from None


def read(folder: Path) -> tuple[list[dict[str, Any]], dict[str, Any] | None, list[Sweep], Goals]:
    """The records, curves, sweeps and goals of a directory. Raises BadInputError naming the file."""
    goals = _toml(folder / "goals.toml", Goals)
    records = sorted((_record(file) for file in folder.glob("scale-run-*.json")), key=lambda record: record["gateways"])
    curves = folder / "curves.json"
    sweeps = [_toml(file, Sweep) for file in sorted(folder.glob("sweep-*.toml"))]
    return records, _record(curves) if curves.exists() else None, sweeps, goals


def runs(records: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row for each run: what it found, how busy the machine was, and whether it counts."""
    found = []
    for record in records:
        summary = {name: value for name, value in _summary(record).items() if name != "failed"}
        found.append(
            summary
            | {
                "load average": f"{record['machine']['load_average_before'][0]:g} to "
                f"{record['machine']['load_average_after'][0]:g}",
                "failed": "; ".join(record["failed"]) or "nothing",
                "no slopes, as": trouble(record) or "-",
            }
        )
    return found


def tables(
    records: list[dict[str, Any]], curves: dict[str, Any] | None, sweeps: list[Sweep], goals: Goals
) -> dict[str, list[dict[str, Any]]]:
    """All tables of the page by name."""
    told = rows(series(records, curves, sweeps), goals)
    parts: dict[str, list[dict[str, Any]]] = {"runs": runs(records)}
    for name, roles in (
        ("gateway", ("gateway", "hollow gateway")),
        ("controller", ("controller",)),
        ("times", ("times",)),
        ("code", ("code",)),
    ):
        parts[name] = [each for each in told if each["role"] in roles]
    known = {each["role"] for part in parts.values() for each in part if "role" in each}
    parts["sweeps"] = [each for each in told if each["role"] not in known]
    return parts


def capacity(args: Args) -> int:
    """`crowseam capacity`: print the tables, or write them into a page. Raises BadInputError."""
    found = tables(*read(Path(args["--records"])))
    if args["--json"]:
        _json(found)
        return DONE
    if args["--page"]:
        try:
            page = Path(args["--page"]).read_text(encoding="utf-8")
        except OSError as error:
            raise BadInputError("--page", f"{args['--page']}: {error.strerror}") from None
        told = {name: markdown(table) for name, table in found.items()}
        _write(args["--page"], fill(page, told).encode(), "--page")
        return DONE
    for name, table in found.items():
        _out(f"{name}\n{markdown(table)}\n")
    return DONE
