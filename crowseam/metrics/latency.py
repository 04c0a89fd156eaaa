"""Latencies and outcomes of a gateway's requests, in sketches of `ddsketch`.

Latencies are in seconds. Clock-free: callers measure. The number of series is bounded: a route gets its own series
with its first request, and requests beyond MAX_SERIES series, or on a route that the configuration does not have any
more, count under OTHER.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crowseam.configuration.routing import Route

SERVED, LATE, REFUSED, FAILED = "served", "late", "refused", "failed"
OUTCOMES = (SERVED, LATE, REFUSED, FAILED)
OTHER = "(other)"
MAX_SERIES = 300  # besides OTHER; a series takes 5 to 11 KB, and 23 KB if its latencies fill every bin
MAX_BUFFERED = 2000  # requests that are kept until the library is loaded
# Latencies are clamped to these, which bounds the bins of a sketch to 703.
MIN_LATENCY_S, MAX_LATENCY_S = 1e-4, 120.0
RELATIVE_ACCURACY = 0.01  # of any quantile
# Fine enough that the p99 of a sum over gateways, between 2 ms and 10 s, is accurate within 30%.
BUCKET_BOUNDS_S = tuple(
    each / 1000.0
    for each in (
        2,
        3,
        5,
        7,
        10,
        15,
        20,
        30,
        50,
        70,
        100,
        150,
        200,
        300,
        500,
        700,
        1000,
        1500,
        2000,
        3000,
        5000,
        7000,
        10000,
        30000,
    )
)

SeriesKey = tuple[str, str, str]  # route, service ("" where none was chosen), outcome


def load_sketch_type() -> Callable[[], object]:
    """Import `ddsketch`, which is slow, and return the type of a sketch."""
    from ddsketch.ddsketch import BaseDDSketch
    from ddsketch.mapping import LogarithmicMapping
    from ddsketch.store import DenseStore

    mapping = LogarithmicMapping(RELATIVE_ACCURACY)  # stateless, so shared by all sketches

    class Sketch(BaseDDSketch):
        """A sketch that exposes its store, since the library cannot count the values below a bound."""

        def __init__(self) -> None:
            self.store = DenseStore()
            super().__init__(mapping, self.store, DenseStore(), 0.0)

        def copy(self) -> Sketch:
            other = Sketch()
            other.merge(self)
            return other

        def cumulative_counts(self, bounds: tuple[float, ...]) -> list[float]:
            """Count the values up to each of the rising bounds, which are accurate within 2%."""
            store, counts, start, count = self.store, [], 0, 0.0
            for bound in bounds:
                end = max(0, min(len(store.bins), mapping.key(bound) - store.offset + 1))
                count += sum(store.bins[start:end])
                start = max(start, end)
                counts.append(count)
            return counts

    return Sketch


class RequestRecorder:
    """Counts and latencies of a gateway's requests since its start. It is given each request and each configuration."""

    def __init__(self) -> None:
        self.sketch_type: Callable[[], object] | None = None  # None until the library is loaded
        self.buffered: list[tuple[SeriesKey, float]] = []
        self.skipped = 0  # requests without a latency, as too many came before the library was loaded
        self.series: dict[SeriesKey, object] = {}
        self.routes: Mapping[str, Route] = {}
        self.answers: dict[int, int] = {}  # by the first digit of the status
        self.reasons: dict[tuple[str, str], int] = {}  # by outcome and reason
        self.disconnected_clients = 0

    def use_sketch_type(self, sketch_type: Callable[[], object]) -> None:
        """The library is loaded: record the buffered requests."""
        self.sketch_type = sketch_type
        buffered, self.buffered = self.buffered, []
        for key, latency_s in buffered:
            self._series_for(key, latency_s).add(latency_s)

    def set_routes(self, routes: Mapping[str, Route]) -> None:
        """Set the routes of the current configuration; series of removed routes are dropped."""
        self.routes = routes
        for key in [key for key in self.series if key[0] != OTHER and not self._is_configured(key)]:
            del self.series[key]

    def _is_configured(self, key: SeriesKey) -> bool:
        route = self.routes.get(key[0])
        return route is not None and (not key[1] or any(name == key[1] for name, _ in route.split))

    def record(self, route: Route, service: str, status: int, reason: str, latency_s: float) -> None:
        """Record a request that was answered with `status`, `latency_s` seconds after it was complete.

        reason: why the gateway answered itself or aborted the answer; empty for a server's answer.
        """
        status_class = status // 100
        self.answers[status_class] = self.answers.get(status_class, 0) + 1
        if not reason and status < 500:
            outcome = SERVED if latency_s <= route.target else LATE
        else:
            # Of the gateway's own answers, 502, 504 and aborted ones are failures, others are refusals.
            outcome = REFUSED if reason and (status_class == 4 or status == 503) else FAILED
            failure = (outcome, reason or "server")
            self.reasons[failure] = self.reasons.get(failure, 0) + 1
            if not service and len(route.split) == 1:
                service = route.split[0][0]  # the only service of the route
        latency_s = (
            MIN_LATENCY_S if latency_s < MIN_LATENCY_S else MAX_LATENCY_S if latency_s > MAX_LATENCY_S else latency_s
        )
        key = (route.name, service, outcome)
        series = self.series.get(key)
        if series is None and (series := self._series_for(key, latency_s)) is None:
            return
        series.add(latency_s)

    def _series_for(self, key: SeriesKey, latency_s: float) -> object | None:
        """Return the series for a key without one; None before the library is loaded, when the latency is buffered."""
        if self.sketch_type is None:
            if len(self.buffered) < MAX_BUFFERED:
                self.buffered.append((key, latency_s))
            else:
                self.skipped += 1
            return None
        if len(self.series) >= MAX_SERIES or not self._is_configured(key):
            key = (OTHER, "", key[2])
        series = self.series.get(key)
        if series is None:
            series = self.series[key] = self.sketch_type()
        return series

    def copy_series(self) -> list[tuple[SeriesKey, object]]:
        """Return copies of the series, for rendering in another thread."""
        return [(key, series.copy()) for key, series in sorted(self.series.items())]
