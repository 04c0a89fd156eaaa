"""The model checks: seeded random schedules of faults, and mutants of the code that they have to find.

A part is a module with `run(seeds, steps) -> Report`, `STEPS` (acts of a schedule where none are asked for),
`MUTANTS`, and `metrics(report)` where there is more to tell.  Schedules are spread over processes; a seed
plays the same in each.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
import time
from importlib import import_module
from typing import Any

from crowseam.cli.console import number
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
CHUNK = 8  # schedules that a process plays before it is given more


def model_check(args: Args) -> int:
    """Play schedules, or seek mutants; FAILED if an invariant breaks, or a mutant stays unseen."""
    part = args["--part"]
    if part not in PARTS and part not in GROUPS:
        raise BadInputError("--part", f"{part!r} is none of {', '.join((*PARTS, *GROUPS))}")
    seeds, first = number(args, "--seeds", int), int(args["--from"]) if args["--from"].isdigit() else -1
    if first < 0:
        raise BadInputError("--from", f"{args['--from']!r} is no number from 0 on")
    steps = None if args["--steps"] is None else number(args, "--steps", int)
    jobs = (os.cpu_count() or 1) if args["--jobs"] is None else number(args, "--jobs", int)
    failed = False
    for name in GROUPS.get(part, (part,)):
        if args["--guards"]:
            sys.stdout.writelines(f"{line}\n" for line in guards(name))
        elif args["--mutants"]:
            failed |= _seek(name, first, seeds)
        else:
            failed |= _play(name, range(first, first + seeds), steps, jobs)
    return FAILED if failed else DONE


def _play(part: str, seeds: range, steps: int | None, jobs: int) -> bool:
    """Play schedules and write what came of them; whether an invariant broke."""
    began = time.monotonic()
    module = import_module(PARTS[part])
    work = [(part, seeds[at : at + CHUNK], steps) for at in range(0, len(seeds), CHUNK)]
    if jobs == 1 or len(work) == 1:
        reports = map(_chunk, work)
        total = _sum(reports)
    else:
        with multiprocessing.get_context("spawn").Pool(min(jobs, len(work))) as pool:
            total = _sum(pool.imap_unordered(_chunk, work))
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(total.outcomes.items()))
    sys.stdout.write(
        f"{part}: {total.schedules} schedules, {total.events} events, "
        f"{time.monotonic() - began:.1f} s, {outcomes or 'no outcome'}\n"
    )
    more = getattr(module, "metrics", None)
    for line in [*(more(total) if more else []), *(f"VIOLATION {line}" for line in sorted(total.violations))]:
        sys.stdout.write(f"{line}\n")
    sys.stdout.flush()
    return bool(total.violations)


def _chunk(work: tuple[str, range, int | None]) -> Report:
    part, seeds, steps = work
    module = import_module(PARTS[part])
    return module.run(seeds, module.STEPS if steps is None else steps)


def _sum(reports: Any) -> Report:
    total = None
    for report in reports:
        if total is None:
            total = report
        else:
            total.merge(report)
    return total


def _seek(part: str, first: int, seeds: int) -> bool:
    """For each mutant of a part, how many schedules it takes until one finds it; whether any goes unseen."""
    unseen = False
    for mutant in getattr(import_module(PARTS[part]), "MUTANTS", ()):
        found = next((seed for seed in range(first, first + seeds) if mutant.run([seed]).violations), None)
        if found is None:
            result = f"not found in {seeds} schedules" + (f": {mutant.why}" if mutant.why else "")
        else:
            result = f"seed {found}, {found - first + 1} schedules"
        unseen |= found is None and not mutant.why
        sys.stdout.write(f"{part}: without {mutant.guard}: {result}\n")
        sys.stdout.flush()
    return unseen


def guards(part: str) -> list[str]:
    """A row of a table for each guard of a part: the seed that finds its absence, or why none does."""
    mutants = getattr(import_module(PARTS[part]), "MUTANTS", ())
    return [f"| {part} | {one.guard} | {'-' if one.seed is None else one.seed} | {one.why} |" for one in mutants]


def known(part: str) -> list[tuple[Mutant, list[str]]]:
    """Each mutant of a part that has a seed, with the violations which that seed brings about."""
    mutants = getattr(import_module(PARTS[part]), "MUTANTS", ())
    return [(one, one.run([one.seed]).violations) for one in mutants if one.seed is not None]
