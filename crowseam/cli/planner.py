"""Capacity planning by simulation: a deployment as it is, and with zones lost, servers retired or load increased."""

from __future__ import annotations

from typing import Any

import msgspec

from crowseam.cli.errors import BadInputError
from crowseam.cli.experiment import Job
from crowseam.simulator.scenario.day import Day, DayError, with_changes


def build_cases(
    day: Day,
    lost_zones: list[str],
    retired_servers: list[tuple[str, int]],
    doubled_tenants: list[str],
    load_factors: list[float],
) -> dict[str, Day]:
    """Return a scenario per case: unchanged and with each requested change. The scenario's own faults are left out.

    Without any request, there is a case for the loss of each zone and for each tenant with doubled load.
    Raises BadInputError.
    """
    deployment = day.deployment
    known_names = {
        "--lose-zone": [zone.name for zone in deployment.zones],
        "--retire": [service.name for service in deployment.services],
        "--double": [tenant.name for tenant in deployment.tenants],
    }
    for option, names in (
        ("--lose-zone", lost_zones),
        ("--retire", [name for name, _ in retired_servers]),
        ("--double", doubled_tenants),
    ):
        if unknown := [name for name in names if name not in known_names[option]]:
            raise BadInputError(option, f"{unknown[0]!r} is none of {', '.join(known_names[option])}")
    if not (lost_zones or retired_servers or doubled_tenants or load_factors):
        lost_zones, doubled_tenants = known_names["--lose-zone"], known_names["--double"]
    whole_run_s = day.length + day.after + 100.0
    changes_by_case: dict[str, dict[str, Any]] = {"as it is": {"faults": []}}
    for zone in lost_zones:
        changes_by_case[f"zone {zone} lost"] = {
            "faults": [{"kind": "lose_zone", "at": 0.0, "target": zone, "span": whole_run_s}]
        }
    for service, count in retired_servers:
        changes_by_case[f"{count} of {service} retired"] = {
            "faults": [{"kind": "retire", "at": 0.0, "target": service, "count": count}]
        }
    for tenant in doubled_tenants:
        changes_by_case[f"{tenant} doubled"] = {
            "faults": [{"kind": "load", "at": 0.0, "target": tenant, "amount": 2.0, "span": whole_run_s}]
        }
    for factor in load_factors:
        changes_by_case[f"load x {factor:g}"] = {"faults": [], "load": day.load * factor}
    try:
        return {name: with_changes(day, changes) for name, changes in changes_by_case.items()}
    except DayError as error:
        raise BadInputError("DAY", str(error)) from None


def make_jobs(days: dict[str, Day], seeds: list[int]) -> list[Job]:
    """Return the simulation runs for all cases and seeds."""
    return [Job(name, seed, msgspec.to_builtins(day)) for name, day in days.items() for seed in seeds]


def summarize_cases(jobs: list[Job], results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return one row per case: offered and served load per second, shares, latencies, and losses by route."""
    by_case: dict[str, list[tuple[Job, dict[str, Any]]]] = {}
    for job, metrics in zip(jobs, results, strict=True):
        by_case.setdefault(job.variant, []).append((job, metrics))
    rows = []
    for name, runs in by_case.items():
        count = len(runs)

        def mean(field: str, runs: list = runs, count: int = count) -> float:
            return sum(metrics[field] for _, metrics in runs) / count

        duration_s = runs[0][0].day["length"]
        row = {
            "case": name,
            "owed_per_s": mean("asks") / duration_s,
            "carried_per_s": mean("served") / duration_s,
            "share": mean("share"),
            "worth": mean("worth"),
            "worst": mean("worst"),
            "p50_s": mean("p50"),
            "p99_s": mean("p99"),
        }
        routes = {route: [metrics["kinds"].get(route) for _, metrics in runs] for route in runs[0][1]["kinds"]}
        lost = {
            route: sum(1.0 - kind["served"] / kind["asks"] for kind in kinds if kind) / count
            for route, kinds in routes.items()
        }
        row["lost_by_route"] = {route: round(fraction, 4) for route, fraction in lost.items() if fraction > 0.0005}
        row["broken"] = sum(sum(metrics["rules"].values()) for _, metrics in runs)
        rows.append(row)
    return rows
