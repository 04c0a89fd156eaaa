"""Runs the model checks: seeded random fault schedules, and mutants of the code that they must detect.

A part is a module with `run(seeds, steps) -> Report`, `STEPS` (default number of steps per schedule), `MUTANTS`,
and optionally `metrics(report)`.  Schedules are distributed over processes; a seed gives the same schedule in each.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
import time
from importlib import import_module
from typing import Any

from crowseam.cli.console import positive_number
from crowseam.cli.errors import DONE, FAILED, BadInputError
from crowseam.model_checks.schedules import Mutant, Report

Args = dict[str, Any]

PARTS = {
    "agreement": "crowseam.model_checks.agreement.check",
    "quotas": "crowseam.model_checks.quotas.check",
    "callers": "crowseam.model_checks.callers.check",
    "handover": "crowseam.model_checks.handover.check",
    "catchup": "crowseam.model_checks.catchup.check",
    "membership": "crowseam.model_checks.membership.check",
    "orders": "crowseam.model_checks.orders.check",
    "cutoff": "crowseam.model_checks.cutoff.check",
    "operations": "crowseam.model_checks.operations.mutants",
}
GROUPS = {"both": ("agreement", "quotas"), "all": tuple(PARTS)}
SEEDS_PER_CHUNK = 8  # unit of work of a worker process


def model_check(args: Args) -> int:
    """Run schedules or mutants. FAILED if an invariant is violated or a mutant is not detected."""
    part = args["--part"]
    if part not in PARTS and part not in GROUPS:
        raise BadInputError("--part", f"{part!r} is none of {', '.join((*PARTS, *GROUPS))}")
    seeds, first = positive_number(args, "--seeds", int), int(args["--from"]) if args["--from"].isdigit() else -1
    if first < 0:
        raise BadInputError("--from", f"{args['--from']!r} is no number from 0 on")
    steps = None if args["--steps"] is None else positive_number(args, "--steps", int)
    jobs = (os.cpu_count() or 1) if args["--jobs"] is None else positive_number(args, "--jobs", int)
    failed = False
    for name in GROUPS.get(part, (part,)):
        if args["--guards"]:
            sys.stdout.writelines(f"{line}\n" for line in guard_rows(name))
        elif args["--mutants"]:
            failed |= _run_mutants(name, first, seeds)
        else:
            failed |= _run_schedules(name, range(first, first + seeds), steps, jobs)
    return FAILED if failed else DONE


def _run_schedules(part: str, seeds: range, steps: int | None, jobs: int) -> bool:
    """Run schedules, print the results, and return whether an invariant was violated."""
    started_at = time.monotonic()
    module = import_module(PARTS[part])
    chunks = [(part, seeds[start : start + SEEDS_PER_CHUNK], steps) for start in range(0, len(seeds), SEEDS_PER_CHUNK)]
    if jobs == 1 or len(chunks) == 1:
        reports = map(_run_chunk, chunks)
        total = _merge_reports(reports)
    else:
        with multiprocessing.get_context("spawn").Pool(min(jobs, len(chunks))) as pool:
            total = _merge_reports(pool.imap_unordered(_run_chunk, chunks))
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(total.outcomes.items()))
    sys.stdout.write(
        f"{part}: {total.schedules} schedules, {total.events} events, "
        f"{time.monotonic() - started_at:.1f} s, {outcomes or 'no outcome'}\n"
    )
    extra_metrics = getattr(module, "metrics", None)
    for line in [
        *(extra_metrics(total) if extra_metrics else []),
        *(f"VIOLATION {line}" for line in sorted(total.violations)),
    ]:
        sys.stdout.write(f"{line}\n")
    sys.stdout.flush()
    return bool(total.violations)


def _run_chunk(chunk: tuple[str, range, int | None]) -> Report:
    part, seeds, steps = chunk
    module = import_module(PARTS[part])
    return module.run(seeds, module.STEPS if steps is None else steps)


def _merge_reports(reports: Any) -> Report:
    total = None
    for report in reports:
        if total is None:
            total = report
        else:
            total.merge(report)
    return total


def _run_mutants(part: str, first: int, seeds: int) -> bool:
    """Print how many schedules it takes to detect each mutant; return whether any unexplained one is not detected."""
    any_undetected = False
    for mutant in getattr(import_module(PARTS[part]), "MUTANTS", ()):
        detecting_seed = next((seed for seed in range(first, first + seeds) if mutant.run([seed]).violations), None)
        if detecting_seed is None:
            result = f"not found in {seeds} schedules" + (f": {mutant.why}" if mutant.why else "")
        else:
            result = f"seed {detecting_seed}, {detecting_seed - first + 1} schedules"
        any_undetected |= detecting_seed is None and not mutant.why
        sys.stdout.write(f"{part}: without {mutant.guard}: {result}\n")
        sys.stdout.flush()
    return any_undetected


def guard_rows(part: str) -> list[str]:
    """Return a table row for each guard of a part: the seed that detects its removal, or why none does."""
    mutants = getattr(import_module(PARTS[part]), "MUTANTS", ())
    return [
        f"| {part} | {mutant.guard} | {'-' if mutant.seed is None else mutant.seed} | {mutant.why} |"
        for mutant in mutants
    ]


def run_known_mutants(part: str) -> list[tuple[Mutant, list[str]]]:
    """Run each mutant of a part that has a known seed with that seed; return it with the violations found."""
    mutants = getattr(import_module(PARTS[part]), "MUTANTS", ())
    return [(mutant, mutant.run([mutant.seed]).violations) for mutant in mutants if mutant.seed is not None]
