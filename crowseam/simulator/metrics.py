"""Metrics of a simulated day."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from crowseam.simulator.actors.requests import SimulatedRequest
from crowseam.simulator.scenario.day import Route

WORTH_SPAN_S = 5.0  # length of the windows whose worst is reported


class KindFigures(msgspec.Struct):
    """Metrics of one route."""

    owed: float
    earned: float
    asks: int
    served: int
    refused: int
    failed: int
    p50: float
    p99: float
    outside: float = 0.0  # share of requests not served within the target time


class Metrics(msgspec.Struct):
    """Metrics of a day. Times are in s; `worth` is the earned share of the owed worth, `share` the share served."""

    name: str
    seed: int
    asks: int = 0
    served: int = 0
    share: float = 0.0
    worth: float = 0.0
    worst: float = 0.0
    worst_kind: float = 0.0
    outside: float = 0.0  # share of requests not served within the target time
    outside_short: float = 0.0  # `outside` of the route with the shortest target time
    turned_away: float = 0.0  # share of arrivals that a server had no room for
    busiest: float = 0.0  # runs per second at the busiest server of a service, relative to the mean
    refused: int = 0
    failed: int = 0
    p50: float = 0.0
    p99: float = 0.0
    kinds: dict[str, KindFigures] = {}
    rules: dict[str, int] = {}
    violations: list[str] = []  # texts of the first violations
    acks: list[float] = []
    unacked: int = 0
    leave_acks: float = 0.0
    budget: float = 0.0  # largest share of the retry budget used in a window
    quota: float = 0.0  # largest share of a quota, with its permitted excess, used in a window
    again: float = 0.0  # repeated arrivals per attempt
    connections: int = 0  # connections opened to servers
    between_kb: float = 0.0
    processor: float = 0.0  # processor time of gateways and controllers
    syncs: int = 0
    ready: float = 0.0  # time until most gateways were ready; the end of the day if never
    events: dict[str, int] = {}
    failures: list[str] = []
    spans: list[float] = []  # `worth` of each window of WORTH_SPAN_S
    fired: int = 0
    took: float = 0.0  # elapsed real time


def quantile(values: list[float], fraction: float) -> float:
    """Return the quantile of sorted values, or 0 if there are none."""
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else 0.0


def add_requests(metrics: Metrics, owed: list[SimulatedRequest], routes: list[Route], load_begins: float) -> None:
    """Fill in the metrics of the requests that were owed an answer; the load began at `load_begins` (s)."""
    metrics.asks, metrics.served = len(owed), sum(request.answered_at is not None for request in owed)
    latencies = _latencies(owed)
    metrics.p50, metrics.p99 = quantile(latencies, 0.5), quantile(latencies, 0.99)
    worth = sum(request.route.worth for request in owed)
    metrics.share = metrics.served / len(owed) if owed else 0.0
    metrics.worth = sum(request.earned for request in owed) / worth if worth else 0.0
    metrics.refused = sum(request.refused and request.answered_at is None for request in owed)
    metrics.failed = len(owed) - metrics.served - metrics.refused
    for route in routes:
        if requests := [request for request in owed if request.route is route]:
            metrics.kinds[route.name] = _route_figures(route, requests)
    kinds = metrics.kinds
    metrics.outside = sum(kind.outside * kind.asks for kind in kinds.values()) / max(1, len(owed))
    shortest_target_route = min(
        (route for route in routes if route.name in kinds), key=lambda route: route.target, default=None
    )
    metrics.outside_short = kinds[shortest_target_route.name].outside if shortest_target_route is not None else 0.0
    metrics.worst_kind = min((kind.earned / kind.owed for kind in kinds.values() if kind.owed), default=0.0)
    metrics.spans = _worth_of_spans(owed, load_begins)
    metrics.worst = min(metrics.spans, default=0.0)


def _latencies(requests: Iterable[SimulatedRequest]) -> list[float]:
    """Return the sorted latencies in s of the requests that were served."""
    return sorted(request.answered_at - request.created_at for request in requests if request.answered_at is not None)


def _route_figures(route: Route, requests: list[SimulatedRequest]) -> KindFigures:
    latencies = _latencies(requests)
    refused = sum(request.refused and request.answered_at is None for request in requests)
    return KindFigures(
        owed=len(requests) * route.worth,
        earned=sum(request.earned for request in requests),
        asks=len(requests),
        served=len(latencies),
        refused=refused,
        failed=len(requests) - len(latencies) - refused,
        p50=quantile(latencies, 0.5),
        p99=quantile(latencies, 0.99),
        outside=1.0 - sum(latency <= route.target for latency in latencies) / len(requests),
    )


def _worth_of_spans(requests: list[SimulatedRequest], load_begins: float) -> list[float]:
    """Return the share of the owed worth that was earned, by windows of WORTH_SPAN_S."""
    earned: dict[int, float] = {}
    owed: dict[int, float] = {}
    for request in requests:
        span = int((request.created_at - load_begins) / WORTH_SPAN_S)
        earned[span] = earned.get(span, 0.0) + request.earned
        owed[span] = owed.get(span, 0.0) + request.route.worth
    return [earned[span] / owed[span] for span in sorted(owed)]
