"""The checks of a demonstration: whether each promise held."""

from collections import Counter
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from crowseam.cli import demo_files

LEAST_SERVED = 0.95  # of what `kitchen` asks, which is within its quota


class Count(Struct):
    """What became of a tenant's requests, each with all of its tries."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0


class Observations(Struct):
    """The observations that the verdict is based on. Times are seconds of the steady clock."""

    tenants: dict[str, Count] = {}
    served_at: dict[str, list[float]] = {}
    runs: Counter[str] = msgspec.field(default_factory=Counter)  # of each order, by its id
    late_at_left: int = 0  # requests at the server that left, beyond the time allowed
    served_while_down: int = 0
    versions: list[str] = []  # of the configuration, at each controller
    new_route: list[int] = []  # status of the route that was added, at each gateway


class Check(Struct, frozen=True):
    """Whether one promise held, and in words what was seen of it."""

    ok: bool
    what: str


def most_within(times: Iterable[float], span: float) -> int:
    """Return how many of `times` lie in the fullest window of `span` seconds."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= span:
            first += 1
        most = max(most, last - first + 1)
    return most


def verdict(seen: Observations) -> list[Check]:
    """Return whether each thing that the day was to show held."""
    kitchen, machines = seen.tenants["kitchen"], len(demo_files.MACHINES)
    twice = sum(count > 1 for count in seen.runs.values())
    return [
        Check(
            kitchen.served >= LEAST_SERVED * kitchen.asked > 0.0,
            f"within its quota: {kitchen.served} of {kitchen.asked} requests of kitchen were served",
        ),
        _quota(seen),
        Check(bool(seen.runs) and not twice, f"orders: {len(seen.runs)} run, {twice} of them more than once"),
        Check(
            seen.served_while_down > 0,
            f"machine killed: {seen.served_while_down} requests served by the others until it was back",
        ),
        Check(
            len(seen.versions) == machines and set(seen.versions) == {demo_files.change()["ver"]},
            f"configuration: {', '.join(seen.versions)} at the controllers",
        ),
        Check(
            seen.new_route == [200] * machines,
            f"added route: answered with {', '.join(map(str, seen.new_route))} by the gateways",
        ),
        Check(
            seen.late_at_left == 0,
            f"server taken out: {seen.late_at_left} requests reached it more than {demo_files.DRAIN_S:g} s after",
        ),
    ]


def _quota(seen: Observations) -> Check:
    pantry, span = seen.tenants["pantry"], demo_files.QUOTA_WINDOW_S
    most = most_within(seen.served_at.get("pantry", ()), span)
    quota = demo_files.RATE * span + demo_files.BURST
    bound = quota * (1.0 + demo_files.QUOTA_EXCESS) + demo_files.QUOTA_SLACK
    return Check(
        pantry.served > 0 and pantry.refused > 0 and most <= bound,
        f"beyond its quota: at most {most} of pantry in {span:g} s, where the rule allows {bound:g}; "
        f"{pantry.refused} refused",
    )
