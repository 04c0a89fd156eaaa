"""Experiments: compare variants of a simulated scenario or of the code over the same seeds.

An experiment is a TOML file.  Each variant is run with each seed.  Differences to the first variant are reported
with a confidence interval, paired by seed because results vary more between seeds than between variants.
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
from crowseam.simulator.scenario.day import Day, DayError, read, with_changes

BOOTSTRAP_SAMPLES = 2000
CONFIDENCE = 0.9  # level of the bootstrap intervals
# Measure -> whether a higher value is better.
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
PLOTTED_MEASURES = ("worth", "share", "worst", "p99", "broken")


class Variant(msgspec.Struct, forbid_unknown_fields=True):
    """One variant of an experiment.

    `set` overrides constants of the code by `module:NAME`; `day` overrides scenario values by dotted path;
    `faults` adds faults; `source` is the root of another source tree of this program that runs the variant.
    """

    name: str
    set: dict[str, float | int | str | bool] = {}
    day: dict[str, Any] = {}
    faults: list[dict[str, Any]] = []
    source: str = ""


class Experiment(msgspec.Struct, forbid_unknown_fields=True):
    """An experiment file. `day` is the scenario file, relative to the experiment's directory."""

    name: str
    day: str
    seeds: list[int] | int = 8
    variants: list[Variant] = []
    measures: list[str] = msgspec.field(default_factory=lambda: list(PLOTTED_MEASURES))

    def seed_list(self) -> list[int]:
        """Return the seeds with which each variant is run."""
        return self.seeds if isinstance(self.seeds, list) else list(range(1, self.seeds + 1))


class Job(msgspec.Struct):
    """One simulation run: a variant with a seed."""

    variant: str
    seed: int
    day: dict[str, Any]
    set: dict[str, Any] = {}
    source: str = ""


def load_experiment(path: str) -> tuple[Experiment, list[Job]]:
    """Read an experiment file and return the experiment and its runs. Raises BadInputError."""
    try:
        experiment = msgspec.toml.decode(Path(path).read_bytes(), type=Experiment)
    except OSError as error:
        raise BadInputError("FILE", f"{path}: {error.strerror}") from None
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadInputError("FILE", f"{path}: {error}") from None
    if not experiment.variants:
        experiment.variants = [Variant("as it is")]
    names = [variant.name for variant in experiment.variants]
    if len(set(names)) != len(names) or not experiment.seed_list():
        raise BadInputError("variants", "a name is given twice, or there are no seeds")
    if unknown_measures := [name for name in experiment.measures if name not in MEASURES]:
        raise BadInputError("measures", f"{unknown_measures[0]} is none of {', '.join(MEASURES)}")
    folder = Path(path).parent
    try:
        day = read(folder / experiment.day)
        jobs = []
        for variant in experiment.variants:
            values = msgspec.to_builtins(apply_variant(day, variant))
            source = str((folder / variant.source).resolve()) if variant.source else ""
            for setting in {} if source else variant.set:
                _resolve_constant(setting)
            jobs += [Job(variant.name, seed, values, variant.set, source) for seed in experiment.seed_list()]
    except DayError as error:
        raise BadInputError("day", str(error)) from None
    return experiment, jobs


def apply_variant(day: Day, variant: Variant) -> Day:
    """Return the scenario with the changes of a variant applied. Raises DayError."""
    changes = dict(variant.day)
    if variant.faults:
        changes["faults"] = msgspec.to_builtins(day.faults) + variant.faults
    return with_changes(day, changes)


def _resolve_constant(setting: str) -> tuple[Any, str, Any]:
    """Return owner, name and value of the constant `module:NAME` or `module:Class.NAME`."""
    module, _, name = setting.partition(":")
    *owners, constant = name.split(".")
    if module.partition(".")[0] not in ("crowseam", "fennelpoint"):
        raise BadInputError(setting, "is no constant of this program")
    try:
        owner = importlib.import_module(module)
        for owner_name in owners:
            owner = getattr(owner, owner_name)
        value = getattr(owner, constant)
    except (ImportError, AttributeError):
        raise BadInputError(setting, "is no constant of this program") from None
    if not isinstance(value, float | int | str | bool):
        raise BadInputError(setting, "is no plain value")
    return owner, constant, value


@contextmanager
def override_constants(values: dict[str, Any]) -> Iterator[None]:
    """Override constants of the code while the context is active, also in modules that import them by name."""
    overridden = []
    try:
        for setting, value in values.items():
            owner, name, old = _resolve_constant(setting)
            owners = [owner] + [
                module
                for key, module in list(sys.modules.items())
                if key.startswith(("crowseam.", "fennelpoint."))
                and module is not owner
                and vars(module).get(name) is old
                and "." not in setting.partition(":")[2]
            ]
            for target in owners:
                overridden.append((target, name, old))
                setattr(target, name, type(old)(value))
        yield
    finally:
        for owner, name, old in reversed(overridden):
            setattr(owner, name, old)


def run_job(job: Job) -> dict[str, Any]:
    """Run one job, here or in another source tree, and return its metrics as builtins."""
    if job.source:
        return _run_in_source_tree(job)
    from crowseam.simulator import simulation
    from crowseam.simulator.scenario.day import build

    with override_constants(job.set):
        metrics, _ = simulation.run_day(build(job.day), job.seed)
    return msgspec.to_builtins(metrics)


def _run_in_source_tree(job: Job) -> dict[str, Any]:
    path = os.pathsep.join([job.source, str(Path(job.source) / "target" / "deps"), *filter(None, sys.path)])
    process = subprocess.run(
        [sys.executable, "-m", "crowseam", "simulate", "-", f"--seed={job.seed}", "--json"],
        input=msgspec.json.encode(job.day),
        capture_output=True,
        cwd=job.source,
        check=False,
        env=os.environ | {"PYTHONPATH": path},
    )
    try:
        return msgspec.json.decode(process.stdout)
    except msgspec.DecodeError:
        last_line = (process.stderr.decode("utf-8", "replace").strip().splitlines() or ["it says nothing"])[-1]
        raise CommandError(f"{job.source} can't play {job.variant}: {last_line}") from None


def run_jobs(jobs: list[Job], processes: int) -> list[dict[str, Any]]:
    """Run the jobs in up to `processes` processes and return their metrics in order."""
    if processes <= 1 or len(jobs) == 1:
        return [run_job(job) for job in jobs]
    with multiprocessing.get_context("spawn").Pool(min(processes, len(jobs)), maxtasksperchild=8) as pool:
        return pool.map(run_job, jobs, chunksize=1)


def comparable_measures(metrics: dict[str, Any]) -> dict[str, float]:
    """Return the compared measures of one run."""
    values = {name: float(metrics[name]) for name in MEASURES if name in metrics}
    values["broken"] = float(sum(metrics["rules"].values()) + len(metrics["failures"]))
    values["ack"] = max(metrics["acks"], default=0.0)
    return values


Values = dict[str, dict[int, dict[str, float]]]  # variant, seed, measure


def group_by_variant(jobs: list[Job], results: list[dict[str, Any]]) -> Values:
    """Return the measures of all runs by variant and seed."""
    values: Values = {}
    for job, metrics in zip(jobs, results, strict=True):
        values.setdefault(job.variant, {})[job.seed] = comparable_measures(metrics)
    return values


def bootstrap_interval(differences: list[float]) -> tuple[float, float]:
    """Return a bootstrap confidence interval of the mean; the resampling is deterministic."""
    rng = random.Random(len(differences))
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences))) for _ in range(BOOTSTRAP_SAMPLES))
    tail = int((1.0 - CONFIDENCE) / 2 * BOOTSTRAP_SAMPLES)
    return means[tail], means[-1 - tail]


def compare(values: Values, base: dict[int, dict[str, float]], measures: list[str]) -> list[dict[str, Any]]:
    """Return one row per variant and measure: mean, standard deviation, and difference to `base` with its interval.

    `clear` is "better" or "worse" if the interval of at least three pairs excludes 0, else empty.
    """
    rows = []
    for variant, runs in values.items():
        for name in measures:
            samples = [run[name] for run in runs.values()]
            row = {
                "variant": variant,
                "measure": name,
                "runs": len(samples),
                "mean": statistics.fmean(samples),
                "spread": statistics.stdev(samples) if len(samples) > 1 else 0.0,
                "difference": None,
                "low": None,
                "high": None,
                "clear": "",
            }
            pairs = [runs[seed][name] - base[seed][name] for seed in runs if seed in base]
            if pairs and runs is not base:
                low, high = bootstrap_interval(pairs)
                row |= {"difference": statistics.fmean(pairs), "low": low, "high": high}
                if len(pairs) >= 3 and (low > 0.0 or high < 0.0):
                    row["clear"] = "better" if (low > 0.0) == MEASURES[name] else "worse"
            rows.append(row)
    return rows


# Stored results

_SCHEMA = """CREATE TABLE IF NOT EXISTS results (experiment TEXT, at REAL, days TEXT, variant TEXT,
seed INTEGER, measure TEXT, value REAL, PRIMARY KEY (experiment, at, variant, seed, measure))"""


def scenarios_digest(jobs: list[Job]) -> str:
    """Return a digest of the scenarios of all jobs, equal for two runs of an experiment with the same scenarios."""
    scenarios = {(job.variant, job.seed): job.day for job in jobs}
    return hashlib.sha256(msgspec.json.encode(sorted(scenarios.items()), order="sorted")).hexdigest()[:16]


def store_results(path: str, experiment: str, jobs: list[Job], values: Values, now: float | None = None) -> Values:
    """Store the results in `path` (SQLite) and return the previous results for the same scenarios, if any.

    Raises BadInputError.
    """
    digest, now = scenarios_digest(jobs), time.time() if now is None else now
    try:
        with sqlite3.connect(path) as store:
            store.execute(_SCHEMA)
            last_at = store.execute(
                "SELECT max(at) FROM results WHERE experiment = ? AND days = ? AND at < ?", (experiment, digest, now)
            ).fetchone()[0]
            earlier: Values = {}
            for variant, seed, name, value in store.execute(
                "SELECT variant, seed, measure, value FROM results WHERE experiment = ? AND at = ?",
                (experiment, last_at),
            ):
                earlier.setdefault(variant, {}).setdefault(seed, {})[name] = value
            store.executemany(
                "INSERT OR REPLACE INTO results VALUES (?, ?, ?, ?, ?, ?, ?)",
                [
                    (experiment, now, digest, variant, seed, name, value)
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


def compare_with_earlier(values: Values, earlier: Values, measures: list[str]) -> list[dict[str, Any]]:
    """Compare each variant with its own earlier results."""
    rows = []
    for variant, runs in values.items():
        if variant in earlier:
            rows += compare(
                {variant: runs},
                earlier[variant],
                [measure for measure in measures if all(measure in run for run in earlier[variant].values())],
            )
    return rows
