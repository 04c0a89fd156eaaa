"""The command `soak`: real processes on loopback, seeded faults, and what the history shows."""

from __future__ import annotations

import multiprocessing
import sys
from pathlib import Path
from typing import Any

import msgspec

from crowseam.cli.console import number
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.soak.fleet import AddressInUseError
from crowseam.soak.soak import Plan, Result, run

FIRST_NETWORK = 64  # second number of the loopback addresses of the first soak; others at the same time have the next
CLIENTS_A_MACHINE = 6
MAX_CLIENTS = 120
MAX_LINES = 10  # violations of a soak that are printed
LARGE_FROM = 12  # machines, from which on six of them have a controller


def soak(args: dict[str, Any]) -> int:
    """Play soaks; FAILED if a promise was broken in any."""
    first = int(args["--from"]) if args["--from"].isdigit() else 0
    seeds = range(first, first + number(args, "--seeds", int))
    machines = number(args, "--machines", int)
    seconds = number(args, "--seconds", float)
    jobs = 1 if args["--jobs"] is None else number(args, "--jobs", int)
    keep = Path(args["--out"]) if args["--out"] else None
    plans = [
        Plan(
            machines=machines,
            controllers=6 if machines >= LARGE_FROM else 3,
            clients=min(MAX_CLIENTS, CLIENTS_A_MACHINE * machines),
            seconds=seconds,
            network=FIRST_NETWORK + place % jobs,
        )
        for place in range(len(seeds))
    ]
    work = list(zip(seeds, plans, [keep] * len(seeds), strict=True))
    broken = 0
    # One after the other on each network, whose addresses the next soak takes over.
    lanes = [work[place::jobs] for place in range(jobs)]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        try:
            for results in pool.imap_unordered(_lane, lanes):
                for result in results:
                    broken += bool(result.violations)
                    _write(result, bool(args["--json"]))
        except AddressInUseError as error:
            raise CommandError(f"another soak or demonstration runs here: {error}") from error
    sys.stdout.write(f"{len(seeds)} soaks, {broken} with a broken promise\n")
    return FAILED if broken else DONE


def _lane(work: list[tuple[int, Plan, Path | None]]) -> list[Result]:
    return [run(*each) for each in work]


def _write(result: Result, as_json: bool) -> None:
    if as_json:
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        return
    statuses = ", ".join(f"{status}: {count}" for status, count in sorted(result.statuses.items()))
    acts = ", ".join(f"{count} {act}" for act, count in sorted(result.acts.items()))
    sys.stdout.write(f"seed {result.seed}: {result.runs} runs, {result.repeats} repeats; {statuses}; {acts}\n")
    for violation in result.violations[:MAX_LINES]:
        sys.stdout.write(f"seed {result.seed}: VIOLATION {violation}\n")
    if result.violations:
        sys.stdout.write(f"seed {result.seed}: {len(result.violations)} violations; {result.folder or 'not kept'}\n")
    sys.stdout.flush()
