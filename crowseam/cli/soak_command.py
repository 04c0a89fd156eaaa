"""The command `soak`: runs real processes on loopback with seeded faults and checks the call history."""

from __future__ import annotations

import multiprocessing
import sys
from pathlib import Path
from typing import Any

import msgspec

from crowseam.cli.console import positive_number
from crowseam.cli.errors import DONE, FAILED, CommandError
from crowseam.soak.fleet import AddressInUseError
from crowseam.soak.soak import Plan, Result, run

FIRST_SUBNET = 64  # second octet of the first soak's loopback addresses; parallel soaks use the next
CLIENTS_PER_MACHINE = 6
MAX_CLIENTS = 120
MAX_VIOLATIONS_SHOWN = 10
MIN_LARGE_FLEET = 12  # machines; from this size on there are six controllers instead of three


def soak(args: dict[str, Any]) -> int:
    """Run soaks. FAILED if an invariant was violated in any."""
    first_seed = int(args["--from"]) if args["--from"].isdigit() else 0
    seeds = range(first_seed, first_seed + positive_number(args, "--seeds", int))
    machines = positive_number(args, "--machines", int)
    seconds = positive_number(args, "--seconds", float)
    jobs = 1 if args["--jobs"] is None else positive_number(args, "--jobs", int)
    output_directory = Path(args["--out"]) if args["--out"] else None
    plans = [
        Plan(
            machines=machines,
            controllers=6 if machines >= MIN_LARGE_FLEET else 3,
            clients=min(MAX_CLIENTS, CLIENTS_PER_MACHINE * machines),
            seconds=seconds,
            network=FIRST_SUBNET + index % jobs,
        )
        for index in range(len(seeds))
    ]
    soaks = list(zip(seeds, plans, [output_directory] * len(seeds), strict=True))
    failed_soaks = 0
    # Soaks in the same subnet run one after the other, since they reuse its addresses.
    batches = [soaks[index::jobs] for index in range(jobs)]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        try:
            for results in pool.imap_unordered(_run_batch, batches):
                for result in results:
                    failed_soaks += bool(result.violations)
                    _print_result(result, bool(args["--json"]))
        except AddressInUseError as error:
            raise CommandError(f"another soak or demonstration runs here: {error}") from error
    sys.stdout.write(f"{len(seeds)} soaks, {failed_soaks} with a broken promise\n")
    return FAILED if failed_soaks else DONE


def _run_batch(soaks: list[tuple[int, Plan, Path | None]]) -> list[Result]:
    return [run(*arguments) for arguments in soaks]


def _print_result(result: Result, as_json: bool) -> None:
    if as_json:
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        return
    statuses = ", ".join(f"{status}: {count}" for status, count in sorted(result.statuses.items()))
    fault_counts = ", ".join(f"{count} {fault}" for fault, count in sorted(result.acts.items()))
    runs = f"{result.runs} runs, {result.early_runs} of them early, {result.repeats} repeats"
    sys.stdout.write(f"seed {result.seed}: {runs}; {statuses}; {fault_counts}\n")
    for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
        sys.stdout.write(f"seed {result.seed}: VIOLATION {violation}\n")
    if result.violations:
        sys.stdout.write(f"seed {result.seed}: {len(result.violations)} violations; {result.folder or 'not kept'}\n")
    sys.stdout.flush()
