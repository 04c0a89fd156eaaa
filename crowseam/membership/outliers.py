"""Outlier detection: ejects failing servers based on outcomes reported by the whole fleet.

A single gateway sends too few requests to a server to judge it alone. Gateways therefore report the failures that
they see while other servers succeed: an error of the server, an aborted response, or a response that is long overdue.
Controllers forward the reports of their gateways to each other, so that all reach the same result. A server with
several failures within a short window, seen by at least two gateways, is ejected by all gateways. The window is short
so that a server with occasional failures among many successes stays in use. Gateways probe ejected servers from time
to time and report each success; several in a row end the ejection. At most a third of a service's servers is ejected:
if more of them fail, the cause is probably not the individual servers. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping

from msgspec import Struct

MIN_FAILURES = 3
MIN_GATEWAYS = 2  # that must have seen failures
WINDOW_S = 1.5  # for counting failures
SUCCESSES_TO_RETURN = 3  # consecutive
MAX_SILENT_EJECTION_S = 8.0  # an ejection without further reports ends after this time
MAX_EJECTED_FRACTION = 1.0 / 3.0  # of a service's servers


class _Failures(Struct, frozen=True):
    """A number of failures reported by one gateway at one time (s)."""

    reported_at: float
    gateway: str
    count: int


class _ServerOutcomes:
    """Outcomes reported for one server."""

    __slots__ = ("failures", "is_ejected", "reported_at", "successes")

    def __init__(self) -> None:
        self.failures: deque[_Failures] = deque()
        self.is_ejected = False
        self.successes = 0  # consecutive, since it was ejected
        self.reported_at = 0.0

    def update(self, now: float) -> None:
        """Start or end the ejection based on the reports so far."""
        while self.failures and now - self.failures[0].reported_at > WINDOW_S:
            self.failures.popleft()
        if not self.is_ejected:
            total = sum(failures.count for failures in self.failures)
            gateways = {failures.gateway for failures in self.failures}
            self.is_ejected = total >= MIN_FAILURES and len(gateways) >= MIN_GATEWAYS
        elif self.successes >= SUCCESSES_TO_RETURN or now - self.reported_at > MAX_SILENT_EJECTION_S:
            self.is_ejected = False
            self.failures.clear()


class OutlierDetector:
    """Collects reported outcomes and decides which servers are ejected."""

    def __init__(self) -> None:
        self._records: dict[str, _ServerOutcomes] = {}

    def report(self, gateway: str, outcomes: Mapping[str, int], now: float) -> None:
        """Record a gateway's outcomes by server: failures, or if negative, successes of ejected servers."""
        for server, count in outcomes.items():
            record = self._records.get(server)
            if count > 0:
                if record is None:
                    record = self._records[server] = _ServerOutcomes()
                # Capped so that one gateway alone never ejects a server.
                record.failures.append(_Failures(now, gateway, min(count, MIN_FAILURES - 1)))
                record.successes = 0
                record.reported_at = now
            elif record is not None and count < 0 and record.is_ejected:
                record.successes -= count
                record.reported_at = now

    def ejected(self, service_of: Callable[[str], str | None], size_of: Callable[[str], int], now: float) -> list[str]:
        """Return the ejected servers, sorted; if a service exceeds its limit, those with the fewest successes.

        `service_of` returns a server's service (None: the server is gone), `size_of` the number of servers of a
        service.
        """
        by_service: dict[str, list[str]] = {}
        for server, record in list(self._records.items()):
            record.update(now)
            service = service_of(server) if record.is_ejected else None
            if service is not None:
                by_service.setdefault(service, []).append(server)
            elif record.is_ejected or not record.failures:
                del self._records[server]
        worst: list[str] = []
        for service, servers in by_service.items():
            servers.sort(key=lambda server: (self._records[server].successes, server))
            worst += servers[: int(size_of(service) * MAX_EJECTED_FRACTION)]
        return sorted(worst)
