"""HTML report of an experiment: tables, and plots if matplotlib is installed."""

from __future__ import annotations

import html
import io
from math import floor, log10
from typing import Any

from crowseam.cli.errors import BadInputError

STYLE = """body{font:15px/1.5 sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}
.better{color:#06682d}.worse{color:#a3121f}svg{max-width:100%;height:auto}"""
COLUMNS = ("variant", "measure", "runs", "mean", "spread", "difference", "low", "high", "clear")


def _cell(value: Any) -> str:
    return "" if value is None else f"{value:.4g}" if isinstance(value, float) else html.escape(str(value))


def _table(rows: list[dict[str, Any]]) -> str:
    head = "".join(f"<th>{name}</th>" for name in COLUMNS)
    lines = []
    for row in rows:
        cells = "".join(f"<td>{_cell(row[name])}</td>" for name in COLUMNS)
        lines.append(f'<tr class="{row["clear"]}">{cells}</tr>')
    return f"<table><tr>{head}</tr>{''.join(lines)}</table>"


def _svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def _figure_type(option: str, alternative: str) -> Any:
    """Import matplotlib and return its Figure class. Raises BadInputError naming the option that needs it."""
    try:
        import matplotlib

        matplotlib.use("svg")
        matplotlib.rcParams["svg.hashsalt"] = "crowseam"  # makes the output reproducible
        from matplotlib.figure import Figure
    except ImportError:
        raise BadInputError(
            option, f"plots need what requirements-tools.txt lists; install it, or {alternative}"
        ) from None
    return Figure


def curve(x_label: str, y_label: str, lines: dict[str, list[tuple[float, float]]]) -> str:
    """Return an SVG of named lines on logarithmic axes; the axis labels include the units.

    Raises BadInputError, which names --plot.
    """
    new_figure = _figure_type("--plot", "leave --plot out")
    import matplotlib

    # Text stays text instead of glyph outlines, which makes the file smaller.
    with matplotlib.rc_context({"svg.fonttype": "none", "font.sans-serif": ["DejaVu Sans"]}):
        figure = new_figure(figsize=(5.2, 3.2), layout="constrained")
        axes = figure.subplots()
        for name, points in lines.items():
            axes.plot(*zip(*points, strict=True), "o-", markersize=4, label=name)
        axes.set_xscale("log")
        axes.set_yscale("log")
        ticks = sorted({x for points in lines.values() for x, _ in points})
        axes.set_xticks(ticks, [f"{tick:,.0f}" for tick in ticks])
        values = [value for points in lines.values() for _, value in points]
        axes.set_ylim(10.0 ** floor(log10(min(values))), 10.0 ** (floor(log10(max(values))) + 1))
        axes.yaxis.set_major_formatter(lambda value, _: f"{value:,g}")
        axes.minorticks_off()
        axes.grid(True, alpha=0.3)
        axes.set_xlabel(x_label)
        axes.set_ylabel(y_label)
        if len(lines) > 1:
            axes.legend(fontsize="small")
        return _svg(figure)


def plots(values: dict, worth_series: dict[str, list[list[float]]], measures: list[str]) -> list[str]:
    """Return SVGs: a plot per measure with a dot per seed, and the worth over time. Raises BadInputError."""
    new_figure = _figure_type("--report", "give --no-plots")
    names = list(values)
    drawings = []
    for name in measures:
        figure = new_figure(figsize=(7, 0.9 + 0.45 * len(names)), layout="constrained")
        axes = figure.subplots()
        for position, variant in enumerate(names):
            samples = [run[name] for run in values[variant].values()]
            axes.plot(samples, [position] * len(samples), "o", alpha=0.5, color="tab:blue")
            axes.plot([sum(samples) / len(samples)], [position], "|", markersize=18, color="black")
        axes.set_yticks(range(len(names)), names)
        axes.set_ylim(len(names) - 0.5, -0.5)
        axes.set_xlabel(name)
        drawings.append(_svg(figure))
    figure = new_figure(figsize=(8, 3.2), layout="constrained")
    axes = figure.subplots()
    for variant, runs in worth_series.items():
        length = min(map(len, runs))
        means = [sum(run[index] for run in runs) / len(runs) for index in range(length)]
        axes.plot([5.0 * index for index in range(length)], means, label=variant)
    axes.set_xlabel("s of the load")
    axes.set_ylabel("worth earned / owed")
    axes.legend(fontsize="small")
    return [*drawings, _svg(figure)]


def write_report(
    path: str,
    title: str,
    rows: list[dict[str, Any]],
    earlier: list[dict[str, Any]],
    violations: list[str],
    drawings: list[str],
) -> None:
    """Write the HTML file. Raises BadInputError."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(title)}</h1>",
        "<p>Differences are against the first variant, by pairs of the same seed; low and high hold the "
        "mean difference in nine cases of ten.</p>",
        _table(rows),
    ]
    if earlier:
        parts += ["<h2>Against the results kept last</h2>", _table(earlier)]
    if violations:
        parts += ["<h2>Broken rules</h2><ul>", *(f"<li>{html.escape(line)}</li>" for line in violations), "</ul>"]
    parts += drawings
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(parts) + "\n")
    except OSError as error:
        raise BadInputError("--report", f"{path}: {error.strerror}") from None
