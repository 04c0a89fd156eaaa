"""Subsetting: the servers of a large service that one gateway considers, which bounds the cost of a choice.

Every gateway ranks the servers by a hash of its own name and theirs (rendezvous hashing, as in
`crowseam.membership.role_leases`). This needs no coordination, the ranks differ from gateway to gateway, and a
server that is added or removed does not change the order of the others. A gateway considers the first SUBSET_SIZE
healthy servers, and up to as many unhealthy ones that rank among them, so that their recovery is noticed. The
subset is selected again after a change, by the first request that needs it. Clock-free.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from math import log
from typing import Protocol

SUBSETTING_THRESHOLD = 160  # servers of a service up to which all are considered
SUBSET_SIZE = 48  # healthy servers; the best of so many is as good as the best of all
LOCAL_ZONE_WEIGHT = 4.0  # of servers in the gateway's zone: with three equal zones they are two thirds of a subset
_HASH_RANGE = 2.0**64


class Server(Protocol):
    """What subsetting needs of a `crowseam.gateway.load_balancer.Server`."""

    id: str
    svc: str
    az: str
    usable: bool
    is_silent: bool
    is_ejected: bool
    consecutive_failures: int


class Subsets:
    """The subsets of a gateway, by service."""

    def __init__(self, gateway: str, az: str) -> None:
        """`gateway`: the host name that ranks the servers; `az`: its zone."""
        self.gateway, self.az = gateway, az
        self._ranks: dict[str, list[tuple[float, str, Server]]] = {}  # of services with more than SUBSETTING_THRESHOLD
        self._selected: dict[str, tuple[list[Server], ...]] = {}

    def _rank(self, server: Server) -> tuple[float, str, Server]:
        """Lower comes first.  The weight is the server's relative chance of a place (weighted rendezvous hashing)."""
        digest = hashlib.blake2b(f"{self.gateway}|{server.id}".encode(), digest_size=8).digest()
        weight = LOCAL_ZONE_WEIGHT if server.az == self.az else 1.0
        return -log((int.from_bytes(digest) + 1.0) / _HASH_RANGE) / weight, server.id, server

    def add(self, server: Server, servers: list[Server]) -> None:
        """Add a server, which is already among the `servers` of its service."""
        ranks = self._ranks.get(server.svc)
        if ranks is not None:
            insort(ranks, self._rank(server))
        elif len(servers) > SUBSETTING_THRESHOLD:
            self._ranks[server.svc] = sorted(map(self._rank, servers))
        self._selected.pop(server.svc, None)

    def remove(self, server: Server, servers: list[Server]) -> None:
        """Remove a server, still in the zone of its `add`, which is no longer among the `servers` of its service."""
        ranks = self._ranks.get(server.svc)
        if ranks is None:
            return
        if len(servers) <= SUBSETTING_THRESHOLD:
            del self._ranks[server.svc]  # few enough to consider all again
        else:
            del ranks[bisect_left(ranks, self._rank(server)[:2], key=lambda rank: rank[:2])]
        self._selected.pop(server.svc, None)

    def invalidate(self) -> None:
        """Drop the selected subsets: the state of some server has changed."""
        self._selected.clear()

    def candidates(self, svc: str, servers: list[Server]) -> tuple[list[Server], ...]:
        """Lists of servers to try in this order; just `servers`, all of the service, if they are few.

        The second list is for when all of the first are full.  The first list has SUBSET_SIZE healthy servers, or
        as many as there are; it is empty only if no server may get a request.
        """
        ranks = self._ranks.get(svc)
        if ranks is None:
            return (servers,)
        selected = self._selected.get(svc)
        if selected is None:
            selected = self._selected[svc] = self._select(ranks)
        return selected

    @staticmethod
    def considering_share(servers: list[Server]) -> float:
        """The mean share of gateways that consider one of `servers`."""
        return min(1.0, SUBSET_SIZE / len(servers)) if len(servers) > SUBSETTING_THRESHOLD else 1.0

    @staticmethod
    def _select(ranks: list[tuple[float, str, Server]]) -> tuple[list[Server], ...]:
        first, second, healthy, unhealthy = [], [], 0, 0
        for _, _, server in ranks:
            if not server.usable:
                continue
            if server.is_silent or server.is_ejected or server.consecutive_failures:
                unhealthy += 1
                if unhealthy <= SUBSET_SIZE and healthy < SUBSET_SIZE:
                    first.append(server)
                continue
            (first if healthy < SUBSET_SIZE else second).append(server)
            healthy += 1
            if healthy == 2 * SUBSET_SIZE:
                break
        return first, second
