"""Experiments: variants of a day or of the code, side by side over the same seeds on all cores.

An experiment is a file (TOML).  Each variant is played with each seed; what differs between a variant and
the first one is reported with its spread, by pairs of the same seed, since days differ more than variants do.
"""

from __future__ import annotations

import hashlib
import importlib
import multiprocessing
import os
import random
import sqlite3
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from crowseam.cli.errors import BadInputError, CommandError
from crowseam.simulator.scenario.day import Day, DayError, changed, read

DRAWS = 2000  # of the bootstrap
SURE = 0.9  # part of the draws that an interval holds
# The figures of each run, and whether more is better.
MEASURES = {
    "worth": True,
    "share": True,
    "worst": True,
    "worst_kind": True,
    "p50": False,
    "p99": False,
    "refused": False,
    "failed": False,
    "broken": False,
    "budget": False,
    "quota": False,
    "again": False,
    "connections": False,
    "between_kb": False,
    "processor": False,
    "ack": False,
    "leave_acks": False,
    "outside": False,
    "outside_short": False,
    "turned_away": False,
    "busiest": False,
}
CHIEF = ("worth", "share", "worst", "p99", "broken")  # of which plots are drawn


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """What is varied.

    `set`: constants of the code by `module:NAME`; `day`: values of the day by dotted path; `faults`: more of
    them; `source`: the root of another version of this program, which plays the variant.
    """

    name: str
    set: dict[str, float | int | str | bool] = {}
    day: dict[str, Any] = {}
    faults: list[dict[str, Any]] = []
    source: str = ""


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """What is compared: `day` is a file, looked for beside the experiment's own."""

    name: str
    day: str
    seeds: list[int] | int = 8
    variants: list[Variant] = []
    measures: list[str] = msgspec.field(default_factory=lambda: list(CHIEF))

    def numbers(self) -> list[int]:
        """The seeds that each variant is played with."""
        return self.seeds if isinstance(self.seeds, list) else list(range(1, self.seeds + 1))


class Job(msgspec.Struct):
    """One run."""

    variant: str
    seed: int
    day: dict[str, Any]
    set: dict[str, Any] = {}
    source: str = ""


def load(path: str) -> tuple[Experiment, list[Job]]:
    """The experiment in a file, and its runs. Raises BadInputError."""
    try:
        experiment = msgspec.toml.decode(Path(path).read_bytes(), type=Experiment)
    except OSError as error:
        raise BadInputError("FILE", f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadInputError("FILE", f"{path}: {error}") from None
    if not experiment.variants:
        experiment.variants = [Variant("as it is")]
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) != len(names) or not experiment.numbers():
        raise BadInputError("variants", "a name is given twice, or there are no seeds")
    if unknown := [name for name in experiment.measures if name not in MEASURES]:
        raise BadInputError("measures", f"{unknown[0]} is none of {', '.join(MEASURES)}")
    folder = Path(path).parent
    try:
        day = read(folder / experiment.day)
        jobs = []
        for variant in experiment.variants:
            values = msgspec.to_builtins(varied(day, variant))
            source = str((folder / variant.source).resolve()) if variant.source else ""
            for setting in {} if source else variant.set:
                _place(setting)
            jobs += [Job(variant.name, seed, values, variant.set, source) for seed in experiment.numbers()]
    except DayError as error:
        raise BadInputError("day", str(error)) from None
    return experiment, jobs


def varied(day: Day, variant: Variant) -> Day:
    """The day as a variant has it. Raises DayError."""
    changes = dict(variant.day)
    if variant.faults:
        changes["faults"] = msgspec.to_builtins(day.faults) + variant.faults
    return changed(day, changes)


def _place(setting: str) -> tuple[Any, str, Any]:
    """The owner, the name and the value of a constant `module:NAME` or `module:Class.NAME`."""
    module, _, name = setting.partition(":")
    *owners, last = name.split(".")
    if module.partition(".")[0] not in ("crowseam", "fennelpoint"):
        raise BadInputError(setting, "is no constant of this program")
    try:
        owner = importlib.import_module(module)
        for each in owners:
            owner = getattr(owner, each)
        value = getattr(owner, last)
    except (ImportError, AttributeError):
        raise BadInputError(setting, "is no constant of this program") from None
    if not isinstance(value, float | int | str | bool):
        raise BadInputError(setting, "is no plain value")
    return owner, last, value


@contextmanager
def settings(values: dict[str, Any]) -> Iterator[None]:
    """Within this, constants of the code have these values, also where other modules have imported them."""
    before = []
    try:
        for setting, value in values.items():
            owner, name, old = _place(setting)
            owners = [owner] + [
                module
                for key, module in list(sys.modules.items())
                if key.startswith(("crowseam.", "fennelpoint."))
                and module is not owner
                and vars(module).get(name) is old
                and "." not in setting.partition(":")[2]
            ]
            for each in owners:
                before.append((each, name, old))
                setattr(each, name, type(old)(value))
        yield
    finally:
        for owner, name, old in reversed(before):
            setattr(owner, name, old)


def play(job: Job) -> dict[str, Any]:
    """One run, here or by another version of the program; its figures in plain values."""
    if job.source:
        return _elsewhere(job)
    from crowseam.simulator import simulation
    from crowseam.simulator.scenario.day import build

    with settings(job.set):
        metrics, _ = simulation.play(build(job.day), job.seed)
    return msgspec.to_builtins(metrics)


def _elsewhere(job: Job) -> dict[str, Any]:
    path = os.pathsep.join([job.source, str(Path(job.source) / "target" / "deps"), *filter(None, sys.path)])
    finished = subprocess.run(
        [sys.executable, "-m", "crowseam", "simulate", "-", f"--seed={job.seed}", "--json"],
        input=msgspec.json.encode(job.day),
        capture_output=True,
        cwd=job.source,
        check=False,
        env=os.environ | {"PYTHONPATH": path},
    )
    try:
        return msgspec.json.decode(finished.stdout)
    except msgspec.DecodeError:
        last = (finished.stderr.decode("utf-8", "replace").strip().splitlines() or ["it says nothing"])[-1]
        raise CommandError(f"{job.source} can't play {job.variant}: {last}") from None


def run(jobs: list[Job], processes: int) -> list[dict[str, Any]]:
    """The figures of each job, in their order, on so many cores."""
    if processes <= 1 or len(jobs) == 1:
        return [play(job) for job in jobs]
    with multiprocessing.get_context("spawn").Pool(min(processes, len(jobs)), maxtasksperchild=8) as pool:
        return pool.map(play, jobs, chunksize=1)


def measure(metrics: dict[str, Any]) -> dict[str, float]:
    """The numbers that are compared, of one run."""
    values = {name: float(metrics[name]) for name in MEASURES if name in metrics}
    values["broken"] = float(sum(metrics["rules"].values()) + len(metrics["failures"]))
    values["ack"] = max(metrics["acks"], default=0.0)
    return values


Values = dict[str, dict[int, dict[str, float]]]  # variant, seed, measure


def gather(jobs: list[Job], found: list[dict[str, Any]]) -> Values:
    """The numbers of all runs by variant and seed."""
    values: Values = {}
    for job, metrics in zip(jobs, found, strict=True):
        values.setdefault(job.variant, {})[job.seed] = measure(metrics)
    return values


def interval(differences: list[float]) -> tuple[float, float]:
    """Where the mean of such differences lies, in SURE of the cases (bootstrap, the same draws each time)."""
    rng = random.Random(len(differences))
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences))) for _ in range(DRAWS))
    cut = int((1.0 - SURE) / 2 * DRAWS)
    return means[cut], means[-1 - cut]


def compare(values: Values, base: dict[int, dict[str, float]], measures: list[str]) -> list[dict[str, Any]]:
    """One row for each variant and measure: mean, spread, and the difference to `base` with its interval.

    `clear` is better, worse or empty: whether the interval leaves out 0, of three pairs at the least.
    """
    rows = []
    for variant, runs in values.items():
        for name in measures:
            figures = [run[name] for run in runs.values()]
            row = {
                "variant": variant,
                "measure": name,
                "runs": len(figures),
                "mean": statistics.fmean(figures),
                "spread": statistics.stdev(figures) if len(figures) > 1 else 0.0,
                "difference": None,
                "low": None,
                "high": None,
                "clear": "",
            }
            pairs = [runs[seed][name] - base[seed][name] for seed in runs if seed in base]
            if pairs and runs is not base:
                low, high = interval(pairs)
                row |= {"difference": statistics.fmean(pairs), "low": low, "high": high}
                if len(pairs) >= 3 and (low > 0.0 or high < 0.0):
                    row["clear"] = "better" if (low > 0.0) == MEASURES[name] else "worse"
            rows.append(row)
    return rows


# Kept results

_SCHEMA = """CREATE TABLE IF NOT EXISTS results (experiment TEXT, at REAL, days TEXT, variant TEXT,
seed INTEGER, measure TEXT, value REAL, PRIMARY KEY (experiment, at, variant, seed, measure))"""


def digest(jobs: list[Job]) -> str:
    """A digest that is the same for two runs of an experiment if they have played the same days."""
    days = {(job.variant, job.seed): job.day for job in jobs}
    return hashlib.sha256(msgspec.json.encode(sorted(days.items()), order="sorted")).hexdigest()[:16]


def keep(path: str, experiment: str, jobs: list[Job], values: Values, now: float | None = None) -> Values:
    """Put the results away in `path` (sqlite3); return those kept last for the same days, or none.

    Raises BadInputError.
    """
    days, now = digest(jobs), time.time() if now is None else now
    try:
        with sqlite3.connect(path) as store:
            store.execute(_SCHEMA)
            last = store.execute(
                "SELECT max(at) FROM results WHERE experiment = ? AND days = ? AND at < ?", (experiment, days, now)
            ).fetchone()[0]
            earlier: Values = {}
            for variant, seed, name, value in store.execute(
                "SELECT variant, seed, measure, value FROM results WHERE experiment = ? AND at = ?", (experiment, last)
            ):
                earlier.setdefault(variant, {}).setdefault(seed, {})[name] = value
            store.executemany(
                "INSERT OR REPLACE INTO results VALUES (?, ?, ?, ?, ?, ?, ?)",
                [
                    (experiment, now, days, variant, seed, name, value)
                    for variant, runs in values.items()
                    for seed, run in runs.items()
                    for name, value in run.items()
                ],
            )
    except sqlite3.Error as error:
        raise BadInputError("--keep", f"{path}: {error}") from None
    finally:
        if "store" in locals():
            store.close()
    return earlier


def since(values: Values, earlier: Values, measures: list[str]) -> list[dict[str, Any]]:
    """As `compare`, each variant against itself as it was kept."""
    rows = []
    for variant, runs in values.items():
        if variant in earlier:
            rows += compare(
                {variant: runs},
                earlier[variant],
                [m for m in measures if all(m in run for run in earlier[variant].values())],
            )
    return rows
