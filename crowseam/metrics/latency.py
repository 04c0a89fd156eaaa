"""Latencies and ends of a gateway's requests, in sketches of `ddsketch`.

All spans are in seconds. Clock-free: who records measures. The number of series has a bound, whatever the
configuration: a route begins to count by itself with its first request, and what ends beyond SERIES_MOST series, or
on a route that the configuration has no more, counts under OTHER.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crowseam.configuration.routing import Route

SERVED, LATE, REFUSED, FAILED = "served", "late", "refused", "failed"
OUTCOMES = (SERVED, LATE, REFUSED, FAILED)
OTHER = "(other)"
SERIES_MOST = 300  # series of their own; each holds 5 to 11 KB, and 23 KB if its latencies fill every bin
EARLY_MOST = 2000  # ends that are kept until the library is here
SHORTEST, LONGEST = 1e-4, 120.0  # s; spans beyond count as these, which bounds the bins of a sketch to 703
ACCURACY = 0.01  # of any quantile, as a part of it
# s; steps so small that a sum over gateways still tells a p99 between 2 ms and 10 s within 30%.
BOUNDS = tuple(
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

Key = tuple[str, str, str]  # route, service ("" where none was chosen), outcome


def library() -> Callable[[], object]:
    """Import `ddsketch`, which takes 10 ms, and return what makes an empty sketch."""
    from ddsketch.ddsketch import BaseDDSketch
    from ddsketch.mapping import LogarithmicMapping
    from ddsketch.store import DenseStore

    mapping = LogarithmicMapping(ACCURACY)  # holds no state of a sketch, so all share it

    class Sketch(BaseDDSketch):
        """A sketch that keeps hold of its store, since the library counts no values below a bound."""

        def __init__(self) -> None:
            self.store = DenseStore()
            super().__init__(mapping, self.store, DenseStore(), 0.0)

        def copy(self) -> Sketch:
            other = Sketch()
            other.merge(self)
            return other

        def below(self, bounds: tuple[float, ...]) -> list[float]:
            """How many values are at most each of the rising bounds, which may be 2% off."""
            store, counts, place, count = self.store, [], 0, 0.0
            for bound in bounds:
                end = max(0, min(len(store.bins), mapping.key(bound) - store.offset + 1))
                count += sum(store.bins[place:end])
                place = max(place, end)
                counts.append(count)
            return counts

    return Sketch


class Recorder:
    """What a gateway has counted since it began. Give it each request's end and each configuration's routes."""

    def __init__(self) -> None:
        self.make: Callable[[], object] | None = None  # none until the library is here
        self.early: list[tuple[Key, float]] = []
        self.skipped = 0  # ends without a latency, as too many came before the library
        self.series: dict[Key, object] = {}
        self.routes: Mapping[str, Route] = {}
        self.answers: dict[int, int] = {}  # by the first digit of the status
        self.reasons: dict[tuple[str, str], int] = {}  # by outcome and reason
        self.gone = 0  # clients that left before their answer

    def use(self, make: Callable[[], object]) -> None:
        """The library is here: take in what has ended until now."""
        self.make = make
        early, self.early = self.early, []
        for key, span in early:
            self._begin(key, span).add(span)

    def follow(self, routes: Mapping[str, Route]) -> None:
        """The routes of the configuration in force; series of those that are gone are dropped."""
        self.routes = routes
        for key in [key for key in self.series if key[0] != OTHER and not self._has(key)]:
            del self.series[key]

    def _has(self, key: Key) -> bool:
        route = self.routes.get(key[0])
        return route is not None and (not key[1] or any(name == key[1] for name, _ in route.split))

    def ended(self, route: Route, service: str, status: int, reason: str, span: float) -> None:
        """A request was answered with `status`, `span` seconds after it had come whole.

        reason: why we answered it ourselves or broke its answer off; empty for a server's answer.
        """
        kind = status // 100
        self.answers[kind] = self.answers.get(kind, 0) + 1
        if not reason and status < 500:
            outcome = SERVED if span <= route.target else LATE
        else:
            # Broken off, 502 and 504 are failures; all else we say ourselves is a refusal.
            outcome = REFUSED if reason and (kind == 4 or status == 503) else FAILED
            why = (outcome, reason or "server")
            self.reasons[why] = self.reasons.get(why, 0) + 1
            if not service and len(route.split) == 1:
                service = route.split[0][0]  # it would have gone there
        span = SHORTEST if span < SHORTEST else LONGEST if span > LONGEST else span
        key = (route.name, service, outcome)
        series = self.series.get(key)
        if series is None and (series := self._begin(key, span)) is None:
            return
        series.add(span)

    def _begin(self, key: Key, span: float) -> object | None:
        """The series that a key without one counts in; none before the library is here."""
        if self.make is None:
            if len(self.early) < EARLY_MOST:
                self.early.append((key, span))
            else:
                self.skipped += 1
            return None
        if len(self.series) >= SERIES_MOST or not self._has(key):
            key = (OTHER, "", key[2])
        series = self.series.get(key)
        if series is None:
            series = self.series[key] = self.make()
        return series

    def copies(self) -> list[tuple[Key, object]]:
        """The series as they stand, for whoever renders them in another thread."""
        return [(key, series.copy()) for key, series in sorted(self.series.items())]
