"""The report of an experiment: one HTML file with its tables, and plots where matplotlib is there."""

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


def _figure_type(option: str, instead: str) -> Any:
    """The class of matplotlib's figures. Raises BadInputError naming the option that asked for them."""
    try:
        import matplotlib

        matplotlib.use("svg")
        matplotlib.rcParams["svg.hashsalt"] = "crowseam"  # the same file for the same results
        from matplotlib.figure import Figure
    except ImportError:
        raise BadInputError(option, f"plots need what requirements-tools.txt lists; install it, or {instead}") from None
    return Figure


def curve(across: str, up: str, lines: dict[str, list[tuple[float, float]]]) -> str:
    """SVG of lines by name, both axes by powers of ten; `across` and `up` say what is on them, with units.

    Raises BadInputError, which names --plot.
    """
    new_figure = _figure_type("--plot", "leave --plot out")
    import matplotlib

    # Words stay words, in any plain letters: a third of the size.
    with matplotlib.rc_context({"svg.fonttype": "none", "font.sans-serif": ["DejaVu Sans"]}):
        figure = new_figure(figsize=(5.2, 3.2), layout="constrained")
        axes = figure.subplots()
        for name, points in lines.items():
            axes.plot(*zip(*points, strict=True), "o-", markersize=4, label=name)
        axes.set_xscale("log")
        axes.set_yscale("log")
        marks = sorted({place for points in lines.values() for place, _ in points})
        axes.set_xticks(marks, [f"{mark:,.0f}" for mark in marks])
        values = [value for points in lines.values() for _, value in points]
        axes.set_ylim(10.0 ** floor(log10(min(values))), 10.0 ** (floor(log10(max(values))) + 1))
        axes.yaxis.set_major_formatter(lambda value, _: f"{value:,g}")
        axes.minorticks_off()
        axes.grid(True, alpha=0.3)
        axes.set_xlabel(across)
        axes.set_ylabel(up)
        if len(lines) > 1:
            axes.legend(fontsize="small")
        return _svg(figure)


def plots(values: dict, spans: dict[str, list[list[float]]], measures: list[str]) -> list[str]:
    """SVG: each measure by variant, a dot a seed, and the worth along the day. Raises BadInputError."""
    new_figure = _figure_type("--report", "give --no-plots")
    names = list(values)
    drawn = []
    for name in measures:
        figure = new_figure(figsize=(7, 0.9 + 0.45 * len(names)), layout="constrained")
        axes = figure.subplots()
        for place, variant in enumerate(names):
            figures = [run[name] for run in values[variant].values()]
            axes.plot(figures, [place] * len(figures), "o", alpha=0.5, color="tab:blue")
            axes.plot([sum(figures) / len(figures)], [place], "|", markersize=18, color="black")
        axes.set_yticks(range(len(names)), names)
        axes.set_ylim(len(names) - 0.5, -0.5)
        axes.set_xlabel(name)
        drawn.append(_svg(figure))
    figure = new_figure(figsize=(8, 3.2), layout="constrained")
    axes = figure.subplots()
    for variant, runs in spans.items():
        length = min(map(len, runs))
        means = [sum(run[at] for run in runs) / len(runs) for at in range(length)]
        axes.plot([5.0 * at for at in range(length)], means, label=variant)
    axes.set_xlabel("s of the load")
    axes.set_ylabel("worth earned / owed")
    axes.legend(fontsize="small")
    return [*drawn, _svg(figure)]


def write(
    path: str,
    title: str,
    rows: list[dict[str, Any]],
    earlier: list[dict[str, Any]],
    broken: list[str],
    drawings: list[str],
) -> None:
    """Write the report. Raises BadInputError."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(title)}</h1>",
        "<p>Differences are against the first variant, by pairs of the same seed; low and high hold the "
        "mean difference in nine cases of ten.</p>",
        _table(rows),
    ]
    if earlier:
        parts += ["<h2>Against the results kept last</h2>", _table(earlier)]
    if broken:
        parts += ["<h2>Broken rules</h2><ul>", *(f"<li>{html.escape(line)}</li>" for line in broken), "</ul>"]
    parts += drawings
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(parts) + "\n")
    except OSError as error:
        raise BadInputError("--report", f"{path}: {error.strerror}") from None
