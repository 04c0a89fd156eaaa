"""The figures of a day."""

from __future__ import annotations

import msgspec

WORTH_SPAN = 5.0  # s of the windows of which the worst is told


class KindFigures(msgspec.Struct):
    """Of one route."""

    owed: float
    earned: float
    asks: int
    served: int
    refused: int
    failed: int
    p50: float
    p99: float
    outside: float = 0.0  # part of the requests that were not served within their aim


class Metrics(msgspec.Struct):
    """What a day came to. Times in s; `worth` and `share` are parts of what was owed or asked."""

    name: str
    seed: int
    asks: int = 0
    served: int = 0
    share: float = 0.0
    worth: float = 0.0
    worst: float = 0.0
    worst_kind: float = 0.0
    outside: float = 0.0  # part of the requests that were not served within their aim
    outside_short: float = 0.0  # of the kind with the shortest aim
    turned_away: float = 0.0  # part of the arrivals that a server had no room for
    busiest: float = 0.0  # requests begun in a second at the busiest server of a service, over the mean
    refused: int = 0
    failed: int = 0
    p50: float = 0.0
    p99: float = 0.0
    kinds: dict[str, KindFigures] = {}
    rules: dict[str, int] = {}
    violations: list[str] = []  # the first of the broken rules, with what broke them
    acks: list[float] = []
    unacked: int = 0
    leave_acks: float = 0.0
    budget: float = 0.0  # most that was used of the retry budget of a window
    quota: float = 0.0  # most that was used of a quota with its excess
    again: float = 0.0  # arrivals beyond the first, of all requests
    connections: int = 0  # opened to servers
    between_kb: float = 0.0
    processor: float = 0.0  # s, of gateways and controllers
    syncs: int = 0
    ready: float = 0.0  # s until the majority of gateways was ready; the day's end if never
    events: dict[str, int] = {}
    failures: list[str] = []
    spans: list[float] = []  # worth of each span of WORTH_SPAN s
    fired: int = 0
    took: float = 0.0  # s of the real clock


def quantile(values: list[float], part: float) -> float:
    """The value below which this part of the sorted values lies; 0 of none."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0
