"""The checks on the observations of a demonstration."""

from collections import Counter
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from crowseam.cli import demo_files

MIN_SERVED_FRACTION = 0.95  # of the requests of `kitchen`, which stays within its quota


class RequestCounts(Struct):
    """Outcomes of a tenant's requests; retries of a request are not counted separately."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0


class Observations(Struct):
    """What clients and servers observed. Times are in seconds of the monotonic clock."""

    tenants: dict[str, RequestCounts] = {}
    served_at: dict[str, list[float]] = {}
    runs: Counter[str] = msgspec.field(default_factory=Counter)  # executions of each order, by attempt id
    late_at_left: int = 0  # requests at a server that left, after the drain time
    served_while_down: int = 0
    versions: list[str] = []  # configuration version at each controller
    new_route: list[int] = []  # status of the added route at each gateway


class Check(Struct, frozen=True):
    """The result of one check, and a description of what was observed."""

    ok: bool
    what: str


def max_in_window(times: Iterable[float], window_s: float) -> int:
    """Return the largest number of `times` in any window of `window_s` seconds."""
    times = sorted(times)
    largest = first = 0
    for last, time in enumerate(times):
        while time - times[first] >= window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


def verdict(observations: Observations) -> list[Check]:
    """Return the result of each check of the demonstration."""
    kitchen, machines = observations.tenants["kitchen"], len(demo_files.MACHINES)
    repeated = sum(count > 1 for count in observations.runs.values())
    return [
        Check(
            kitchen.served >= MIN_SERVED_FRACTION * kitchen.asked > 0.0,
            f"within its quota: {kitchen.served} of {kitchen.asked} requests of kitchen were served",
        ),
        _check_quota(observations),
        Check(
            bool(observations.runs) and not repeated,
            f"orders: {len(observations.runs)} run, {repeated} of them more than once",
        ),
        Check(
            observations.served_while_down > 0,
            f"machine killed: {observations.served_while_down} requests served by the others until it was back",
        ),
        Check(
            len(observations.versions) == machines
            and set(observations.versions) == {demo_files.configuration_patch()["ver"]},
            f"configuration: {', '.join(observations.versions)} at the controllers",
        ),
        Check(
            observations.new_route == [200] * machines,
            f"added route: answered with {', '.join(map(str, observations.new_route))} by the gateways",
        ),
        Check(
            observations.late_at_left == 0,
            f"server taken out: {observations.late_at_left} requests reached it "
            f"more than {demo_files.DRAIN_S:g} s after",
        ),
    ]


def _check_quota(observations: Observations) -> Check:
    pantry, window_s = observations.tenants["pantry"], demo_files.QUOTA_WINDOW_S
    peak = max_in_window(observations.served_at.get("pantry", ()), window_s)
    quota = demo_files.PANTRY_RATE_PER_S * window_s + demo_files.PANTRY_BURST
    bound = quota * (1.0 + demo_files.QUOTA_EXCESS) + demo_files.QUOTA_SLACK
    return Check(
        pantry.served > 0 and pantry.refused > 0 and peak <= bound,
        f"beyond its quota: at most {peak} of pantry in {window_s:g} s, where the rule allows {bound:g}; "
        f"{pantry.refused} refused",
    )
