"""The commands that run the simulator: simulate, experiment, plan and replay."""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec

from crowseam.cli import experiment as experiments
from crowseam.cli import planner
from crowseam.cli.console import Args, positive_number, print_json, print_text, read_file, write_file
from crowseam.cli.errors import DONE, FAILED, BadInputError
from crowseam.cli.tables import table
from crowseam.simulator import simulation
from crowseam.simulator.scenario import replay
from crowseam.simulator.scenario.day import Day, DayError, parse, with_changes

SIMULATION_COMMANDS = ("simulate", "experiment", "plan", "replay")


def ensure_fixed_hash_seed() -> None:
    """Re-execute the command with a fixed PYTHONHASHSEED, so that set iteration order is reproducible."""
    # Only in a `crowseam` process, never in a program that calls this code, such as a test runner.
    if sys.flags.hash_randomization and sys.argv[1:2] and sys.argv[1] in SIMULATION_COMMANDS:
        os.environ["PYTHONHASHSEED"] = "0"
        sys.stdout.flush()
        os.execv(sys.executable, sys.orig_argv)


def _read_scenario(path: str, field: str) -> Day:
    try:
        return parse(read_file(path, field))
    except DayError as error:
        raise BadInputError(field, f"{path}: {error}") from None


def _parse_constants(args: Args) -> dict[str, str]:
    constants = {}
    for assignment in filter(None, (args["--set"] or "").split(",")):
        name, equals, value = assignment.partition("=")
        if not equals:
            raise BadInputError("--set", f"{assignment!r} is not module:NAME=VALUE")
        constants[name.strip()] = value.strip()
    return constants


def _seeds(args: Args) -> list[int]:
    return list(range(1, positive_number(args, "--runs", int) + 1))


def _job_count(args: Args) -> int:
    return positive_number(args, "--jobs", int) if args["--jobs"] else os.cpu_count() or 1


def _summary(metrics: simulation.Metrics) -> str:
    """Format the metrics of one run as text."""
    figures = {
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
    lines = [table([{"figure": name, "value": value} for name, value in figures.items()])]
    kinds = [{"name": name} | msgspec.to_builtins(kind) for name, kind in metrics.kinds.items()]
    lines.append(table(kinds))
    lines += [f"BROKEN {line}\n" for line in metrics.violations]
    lines += [f"FAILURE {line.strip().splitlines()[-1]}\n" for line in metrics.failures]
    return "\n".join(lines[:2]) + "".join(lines[2:])


def _run_and_print(args: Args, day: Day) -> int:
    try:
        with experiments.override_constants(_parse_constants(args)):
            metrics, lines = simulation.run_day(day, positive_number(args, "--seed", int), bool(args["--log"]))
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
    """Simulate one scenario. FAILED if an invariant was violated."""
    return _run_and_print(args, _read_scenario(args["DAY"], "DAY"))


def replay_logs(args: Args) -> int:
    """Replay the requests found in logs against the deployment of a scenario."""
    day = _read_scenario(args["--day"], "--day")
    logs = [read_file(path, "LOG").decode("utf-8", "replace").splitlines() for path in args["LOG"]]
    try:
        requests = replay.read_trace(logs, positive_number(args, "--seed", int))
    except replay.ReplayError as error:
        raise BadInputError("LOG", str(error)) from None
    known_routes = {route.name for route in day.deployment.routes}
    if not known_routes & {route for _, route, _ in requests}:
        raise BadInputError("--day", "its deployment has none of the routes in the logs")
    length = requests[-1][0] + 0.001
    return _run_and_print(args, with_changes(day, {"trace": [list(request) for request in requests], "length": length}))


def experiment(args: Args) -> int:
    """Run the variants of an experiment and print the differences."""
    definition, jobs = experiments.load_experiment(args["FILE"][0])
    results = experiments.run_jobs(jobs, _job_count(args))
    values = experiments.group_by_variant(jobs, results)
    base = next(iter(values.values()))
    rows = experiments.compare(values, base, definition.measures)
    earlier: list[dict[str, Any]] = []
    if args["--keep"]:
        stored = experiments.store_results(args["--keep"], definition.name, jobs, values)
        earlier = experiments.compare_with_earlier(values, stored, definition.measures)
    violations = [
        f"{job.variant}, seed {job.seed}: {line}"
        for job, metrics in zip(jobs, results, strict=True)
        for line in [*metrics["violations"], *metrics["failures"]]
    ]
    if args["--report"]:
        from crowseam.cli import report

        worth_series: dict[str, list[list[float]]] = {}
        for job, metrics in zip(jobs, results, strict=True):
            worth_series.setdefault(job.variant, []).append(metrics["spans"])
        drawings = [] if args["--no-plots"] else report.plots(values, worth_series, definition.measures)
        report.write_report(args["--report"], definition.name, rows, earlier, violations[:60], drawings)
    if args["--json"]:
        print_json({"experiment": definition.name, "rows": rows, "earlier": earlier, "broken": violations})
    else:
        print_text(table(rows))
        if earlier:
            print_text("\nAgainst the results kept last:\n" + table(earlier))
        print_text("".join(f"BROKEN {line}\n" for line in violations[:20]))
    return FAILED if violations else DONE


def plan(args: Args) -> int:
    """Print the capacity of a deployment as it is, and with zones lost, servers retired or load increased."""

    def split_list(name: str) -> list[str]:
        return [item.strip() for item in (args[name] or "").split(",") if item.strip()]

    retired = []
    for item in split_list("--retire"):
        service, _, count = item.partition(":")
        if not count.isdigit() or not int(count):
            raise BadInputError("--retire", f"{item!r} is not SERVICE:COUNT")
        retired.append((service, int(count)))
    try:
        loads = [float(item) for item in split_list("--load")]
    except ValueError:
        raise BadInputError("--load", f"{args['--load']!r} is not a list of factors") from None
    days = planner.build_cases(
        _read_scenario(args["DAY"], "DAY"), split_list("--lose-zone"), retired, split_list("--double"), loads
    )
    jobs = planner.make_jobs(days, _seeds(args))
    rows = planner.summarize_cases(jobs, experiments.run_jobs(jobs, _job_count(args)))
    if args["--json"]:
        print_json(rows)
    else:
        print_text(table(rows))
    return DONE
