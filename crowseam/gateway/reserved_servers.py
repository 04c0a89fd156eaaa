"""Which servers of a service are kept for short requests: the short-loan menu of a service.

A short request that finds all slots of a server taken waits for a long one to end, which may take longer
than its whole aim; a long request hardly minds a short one.  So where the requests of a service differ much
in the work they bring, a part of its servers is kept for the short ones: long ones go there only when the
wait elsewhere is worth it, and short ones go elsewhere when theirs are taken.  The part follows the share of
the work that short requests bring, with room to spare, as they are to find a free slot and not a short line.

All ingresses come to the same servers without a word: the order is by a hash of their ids, zone by zone, so
that each zone has its own, and a server that comes or goes moves the edge by no more than one.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Protocol

SHORT = 0.5  # of the mean work of a service: requests with less are short
ROOM = 2.5  # servers kept, against the share of the work that short requests bring
MOST = 0.5  # of a service's servers
LEAST = 0.04  # part below which none are kept
FOLLOW = 0.005  # weight of a request in the share, at the least: the first ones count alike
FIRST = 12  # requests of a service before its servers are parted
STEADY = 0.25  # of the part: the change from which on it is followed, so that no server goes to and fro


class Reservable(Protocol):
    """A server, as far as it matters here; `rank` is its place in its zone, 0 to 1."""

    id: str
    az: str
    usable: bool
    rank: float


class ReservedServers:
    """The parts of all services, as one ingress sees them."""

    def __init__(self) -> None:
        """Start with no server reserved."""
        self._share: dict[str, float] = {}  # of a service's work that short requests bring
        self._asked: dict[str, int] = {}
        self._part: dict[str, float] = {}

    def order(self, servers: Iterable[Reservable]) -> None:
        """Rank the servers of one service anew, as some have come, gone or moved."""
        zones: dict[str, list[Reservable]] = {}
        for server in servers:
            if server.usable:
                zones.setdefault(server.az, []).append(server)
        for group in zones.values():
            group.sort(key=lambda server: (zlib.crc32(server.id.encode()), server.id))
            for place, server in enumerate(group):
                server.rank = (place + 0.5) / len(group)

    def ask(self, svc: str, work: float, mean: float) -> bool:
        """A request of `work` s goes to a service whose requests take `mean` s: whether it is short."""
        short = work < SHORT * mean
        asked = self._asked[svc] = self._asked.get(svc, 0) + 1
        share = self._share.get(svc, 0.0)
        share += max(FOLLOW, 1.0 / asked) * ((work / mean if short else 0.0) - share)
        self._share[svc] = share
        wanted, part = min(MOST, ROOM * share), self._part.get(svc, 0.0)
        if asked >= FIRST and abs(wanted - part) > STEADY * max(part, LEAST):
            self._part[svc] = wanted
        return short

    def part(self, svc: str) -> float:
        """The part of a service's servers that is kept for short requests: those with a rank below it."""
        part = self._part.get(svc, 0.0)
        return part if part >= LEAST else 0.0
