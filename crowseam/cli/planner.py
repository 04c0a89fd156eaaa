"""What a deployment carries, and what it would with something lost, taken away or grown: by running it."""

from __future__ import annotations

from typing import Any

import msgspec

from crowseam.cli.errors import BadInputError
from crowseam.cli.experiment import Job
from crowseam.simulator.scenario.day import Day, DayError, changed


def cases(
    day: Day, zones: list[str], retired: list[tuple[str, int]], doubled: list[str], loads: list[float]
) -> dict[str, Day]:
    """The day by case: as it is, and with each thing that is asked about; the day's own faults are left out.

    Asked nothing, every zone is lost in turn and every tenant doubled. Raises BadInputError.
    """
    deployment = day.deployment
    known = {
        "--lose-zone": [zone.name for zone in deployment.zones],
        "--retire": [service.name for service in deployment.services],
        "--double": [tenant.name for tenant in deployment.tenants],
    }
    for option, asked in (("--lose-zone", zones), ("--retire", [name for name, _ in retired]), ("--double", doubled)):
        if unknown := [name for name in asked if name not in known[option]]:
            raise BadInputError(option, f"{unknown[0]!r} is none of {', '.join(known[option])}")
    if not (zones or retired or doubled or loads):
        zones, doubled = known["--lose-zone"], known["--double"]
    long = day.length + day.after + 100.0
    cases: dict[str, dict[str, Any]] = {"as it is": {"faults": []}}
    for zone in zones:
        cases[f"zone {zone} lost"] = {"faults": [{"kind": "lose_zone", "at": 0.0, "target": zone, "span": long}]}
    for service, count in retired:
        cases[f"{count} of {service} retired"] = {
            "faults": [{"kind": "retire", "at": 0.0, "target": service, "count": count}]
        }
    for tenant in doubled:
        cases[f"{tenant} doubled"] = {
            "faults": [{"kind": "load", "at": 0.0, "target": tenant, "amount": 2.0, "span": long}]
        }
    for factor in loads:
        cases[f"load x {factor:g}"] = {"faults": [], "load": day.load * factor}
    try:
        return {name: changed(day, changes) for name, changes in cases.items()}
    except DayError as error:
        raise BadInputError("DAY", str(error)) from None


def jobs(days: dict[str, Day], seeds: list[int]) -> list[Job]:
    """The runs that answer the cases."""
    return [Job(name, seed, msgspec.to_builtins(day)) for name, day in days.items() for seed in seeds]


def summed(jobs: list[Job], found: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """One row for each case: what was owed and carried a second, the parts of it, the slowness by route."""
    by_case: dict[str, list[tuple[Job, dict[str, Any]]]] = {}
    for job, metrics in zip(jobs, found, strict=True):
        by_case.setdefault(job.variant, []).append((job, metrics))
    rows = []
    for name, runs in by_case.items():
        count = len(runs)

        def mean(field: str, runs: list = runs, count: int = count) -> float:
            return sum(metrics[field] for _, metrics in runs) / count

        length = runs[0][0].day["length"]
        row = {
            "case": name,
            "owed_per_s": mean("asks") / length,
            "carried_per_s": mean("served") / length,
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
        row["lost_by_route"] = {route: round(part, 4) for route, part in lost.items() if part > 0.0005}
        row["broken"] = sum(sum(metrics["rules"].values()) for _, metrics in runs)
        rows.append(row)
    return rows
