"""The commands that run the simulator; loaded only for them."""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec

from crowseam.cli import experiment as experiments
from crowseam.cli import planner
from crowseam.cli.console import Args, number, print_json, print_text, read_file, write_file
from crowseam.cli.errors import DONE, FAILED, BadInputError
from crowseam.cli.tables import table
from crowseam.simulator import simulation
from crowseam.simulator.scenario import replay
from crowseam.simulator.scenario.day import Day, DayError, changed, parse

NAMES = ("simulate", "experiment", "plan", "replay")


def steady() -> None:
    """Begin this command anew with Python's hashes fixed, so that sets are gone through in the same order."""
    # Only where the process is this command: nobody else's is to be replaced.
    if sys.flags.hash_randomization and sys.argv[1:2] and sys.argv[1] in NAMES:
        os.environ["PYTHONHASHSEED"] = "0"
        sys.stdout.flush()
        os.execv(sys.executable, sys.orig_argv)


def _day(path: str, field: str) -> Day:
    try:
        return parse(read_file(path, field))
    except DayError as error:
        raise BadInputError(field, f"{path}: {error}") from None


def _constants(args: Args) -> dict[str, str]:
    constants = {}
    for each in filter(None, (args["--set"] or "").split(",")):
        name, equals, value = each.partition("=")
        if not equals:
            raise BadInputError("--set", f"{each!r} is not module:NAME=VALUE")
        constants[name.strip()] = value.strip()
    return constants


def _seeds(args: Args) -> list[int]:
    return list(range(1, number(args, "--runs", int) + 1))


def _jobs(args: Args) -> int:
    return number(args, "--jobs", int) if args["--jobs"] else os.cpu_count() or 1


def _summary(metrics: simulation.Metrics) -> str:
    """The figures of one run for people."""
    head = {
        name: getattr(metrics, name)
        for name in (
            "asks",
            "served",
            "share",
            "worth",
            "worst",
            "refused",
            "failed",
            "p50",
            "p99",
            "again",
            "budget",
            "quota",
            "connections",
            "between_kb",
            "processor",
            "syncs",
            "took",
        )
    }
    lines = [table([{"figure": name, "value": value} for name, value in head.items()])]
    kinds = [{"name": name} | msgspec.to_builtins(kind) for name, kind in metrics.kinds.items()]
    lines.append(table(kinds))
    lines += [f"BROKEN {line}\n" for line in metrics.violations]
    lines += [f"FAILURE {line.strip().splitlines()[-1]}\n" for line in metrics.failures]
    return "\n".join(lines[:2]) + "".join(lines[2:])


def _played(args: Args, day: Day) -> int:
    try:
        with experiments.settings(_constants(args)):
            metrics, lines = simulation.play(day, number(args, "--seed", int), bool(args["--log"]))
    except ValueError as error:
        raise BadInputError("--set", str(error)) from None
    if args["--log"]:
        write_file(args["--log"], "".join(f"{line}\n" for line in lines).encode(), "--log")
    if args["--json"]:
        print_json(msgspec.to_builtins(metrics))
    else:
        print_text(_summary(metrics))
    return FAILED if metrics.rules or metrics.failures else DONE


def simulate(args: Args) -> int:
    """Play one day. FAILED when a rule was broken."""
    return _played(args, _day(args["DAY"], "DAY"))


def again(args: Args) -> int:
    """Play what was asked on a day, by its logs, in the deployment of another."""
    day = _day(args["--day"], "--day")
    logs = [read_file(path, "LOG").decode("utf-8", "replace").splitlines() for path in args["LOG"]]
    try:
        asked = replay.trace(logs, number(args, "--seed", int))
    except replay.ReplayError as error:
        raise BadInputError("LOG", str(error)) from None
    known = {route.name for route in day.deployment.routes}
    if not known & {route for _, route, _ in asked}:
        raise BadInputError("--day", "its deployment has none of the routes in the logs")
    length = asked[-1][0] + 0.001
    return _played(args, changed(day, {"trace": [list(one) for one in asked], "length": length}))


def experiment(args: Args) -> int:
    """Play the variants of an experiment side by side, and print what differs."""
    described, jobs = experiments.load(args["FILE"][0])
    found = experiments.run(jobs, _jobs(args))
    values = experiments.gather(jobs, found)
    base = next(iter(values.values()))
    rows = experiments.compare(values, base, described.measures)
    earlier: list[dict[str, Any]] = []
    if args["--keep"]:
        kept = experiments.keep(args["--keep"], described.name, jobs, values)
        earlier = experiments.since(values, kept, described.measures)
    broken = [
        f"{job.variant}, seed {job.seed}: {line}"
        for job, metrics in zip(jobs, found, strict=True)
        for line in [*metrics["violations"], *metrics["failures"]]
    ]
    if args["--report"]:
        from crowseam.cli import report

        spans: dict[str, list[list[float]]] = {}
        for job, metrics in zip(jobs, found, strict=True):
            spans.setdefault(job.variant, []).append(metrics["spans"])
        drawings = [] if args["--no-plots"] else report.plots(values, spans, described.measures)
        report.write(args["--report"], described.name, rows, earlier, broken[:60], drawings)
    if args["--json"]:
        print_json({"experiment": described.name, "rows": rows, "earlier": earlier, "broken": broken})
    else:
        print_text(table(rows))
        if earlier:
            print_text("\nAgainst the results kept last:\n" + table(earlier))
        print_text("".join(f"BROKEN {line}\n" for line in broken[:20]))
    return FAILED if broken else DONE


def plan(args: Args) -> int:
    """Print what a deployment carries as it is, and with something lost, retired or doubled."""

    def listed(name: str) -> list[str]:
        return [each.strip() for each in (args[name] or "").split(",") if each.strip()]

    retired = []
    for each in listed("--retire"):
        service, _, count = each.partition(":")
        if not count.isdigit() or not int(count):
            raise BadInputError("--retire", f"{each!r} is not SERVICE:COUNT")
        retired.append((service, int(count)))
    try:
        loads = [float(each) for each in listed("--load")]
    except ValueError:
        raise BadInputError("--load", f"{args['--load']!r} is not a list of factors") from None
    days = planner.cases(_day(args["DAY"], "DAY"), listed("--lose-zone"), retired, listed("--double"), loads)
    jobs = planner.jobs(days, _seeds(args))
    rows = planner.summed(jobs, experiments.run(jobs, _jobs(args)))
    if args["--json"]:
        print_json(rows)
    else:
        print_text(table(rows))
    return DONE
