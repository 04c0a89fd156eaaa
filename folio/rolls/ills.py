"""Servers that fail, as known by outcomes over the whole fleet: each ingress meets each server seldom.

A desk complains of a server after failures in a row while others serve it well, and says so when the server
has served it again.  A registry passes on what its desks say, so that all come to the same: a server of which
two desks complain is shunned by all, until one has been served by it.  Of a service no more than a third is
shunned: where more fails, it is hardly the servers' fault alone.  Times are seconds of a steady clock.
"""

from collections.abc import Iterable, Mapping

ENOUGH = 2          # desks that have to complain
LASTS = 8.0         # s for which a complaint counts that nobody repeats
MOST = 1.0 / 3.0    # of a service's servers


class Ills:
    """What is complained of, by server and desk."""

    def __init__(self) -> None:
        self._said: dict[str, dict[str, float]] = {}  # server -> desk -> when it last complained

    def tell(self, desk: str, news: Mapping[str, bool], now: float) -> None:
        """A desk complains of servers (True), or has been served by them (False)."""
        for server, ill in news.items():
            if ill:
                self._said.setdefault(server, {})[desk] = now
            else:
                self._said.pop(server, None)

    def shunned(self, services: Mapping[str, Iterable[str]], now: float) -> list[str]:
        """The servers to shun of those that each service has: the most complained of, as far as allowed."""
        for server, said in list(self._said.items()):
            for desk in [desk for desk, at in said.items() if now - at > LASTS]:
                del said[desk]
            if not said:
                del self._said[server]
        found: list[str] = []
        if self._said:
            for servers in services.values():
                servers = list(servers)
                ill = [s for s in servers if len(self._said.get(s, ())) >= ENOUGH]
                ill.sort(key=lambda s: (-len(self._said[s]), s))
                found += ill[:int(len(servers) * MOST)]
        return sorted(found)
