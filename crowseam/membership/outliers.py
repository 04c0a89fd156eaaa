"""Servers that fail, as known by outcomes over the whole fleet: each ingress meets each server seldom.

A gateway tells each failure it sees while others serve it well: an error of the server, an answer that broke
off, a silence that is long overdue.  A controller passes on what its gateways say, so that all come to the same.
A server with several failures within a short span, seen by two gateways at the least, is shunned by all: the
span is short, so that a server which loses some answers among many good ones is not taken for an ill one.
Gateways try what is shunned now and then, and tell of each success; some in a row end it.  Of a service no more
than a third is shunned: where more fails, it is hardly the servers' fault alone.  Times are seconds of a
steady clock.
"""

from collections import deque
from collections.abc import Callable, Mapping

ENOUGH, DESKS = 3, 2  # failures that shun a server, and the gateways that have to have seen them
SPAN = 1.5  # s within which they have to come
GOOD = 3  # successes in a row that end it
LASTS = 8.0  # s after which it ends where nobody tells anything
MOST = 1.0 / 3.0  # of a service's servers


class _Case:
    """What is known against one server."""

    __slots__ = ("bad", "ill", "good", "heard")

    def __init__(self) -> None:
        self.bad: deque[tuple[float, str, int]] = deque()  # when, seen by whom, how many
        self.ill = False
        self.good = 0  # in a row since it was found ill
        self.heard = 0.0


class OutlierDetector:
    """What is told of servers, and which are to be shunned."""

    def __init__(self) -> None:
        self._cases: dict[str, _Case] = {}

    def tell(self, gateway: str, news: Mapping[str, int], now: float) -> None:
        """A gateway has seen so many failures of servers, or (below 0) so many successes of shunned ones."""
        for server, count in news.items():
            case = self._cases.get(server)
            if count > 0:
                if case is None:
                    case = self._cases[server] = _Case()
                case.bad.append((now, gateway, min(count, ENOUGH - 1)))
                case.good, case.heard = 0, now
            elif case is not None and count < 0 and case.ill:
                case.good, case.heard = case.good - count, now

    def shunned(self, service_of: Callable[[str], str | None], size_of: Callable[[str], int], now: float) -> list[str]:
        """The servers to shun, sorted; of each service the worst ones, as far as allowed.

        `service_of` gives a server's service (None: it is gone), `size_of` how many servers a service has.
        """
        found: dict[str, list[str]] = {}
        for server, case in list(self._cases.items()):
            while case.bad and now - case.bad[0][0] > SPAN:
                case.bad.popleft()
            if not case.ill:
                case.ill = (
                    sum(count for _, _, count in case.bad) >= ENOUGH
                    and len({gateway for _, gateway, _ in case.bad}) >= DESKS
                )
            elif case.good >= GOOD or now - case.heard > LASTS:
                case.ill = False
                case.bad.clear()
            service = service_of(server) if case.ill else None
            if service is not None:
                found.setdefault(service, []).append(server)
            elif case.ill or not case.bad:
                del self._cases[server]
        worst: list[str] = []
        for service, servers in found.items():
            servers.sort(key=lambda server: (self._cases[server].good, server))
            worst += servers[: int(size_of(service) * MOST)]
        return sorted(worst)
