"""Servers of a service that are reserved for short requests.

A short request that finds all slots of a server taken waits for a long one to end, which may exceed its whole
target time; a long request is hardly delayed by a short one.  So where the service times of a service's requests
differ much, a share of its servers is reserved for the short ones. This is a preference: either kind uses the
other's servers if the expected cost, including a penalty, is lower there.  The reserved share follows the share of
the work that short requests bring, with headroom, so that they find a free slot.

All gateways reserve the same servers without coordination: servers are ranked by a hash of their ids within each
zone, so that each zone has its own, and a server that is added or removed moves the boundary by at most one.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Protocol

SHORT_WORK_RATIO = 0.5  # of the mean service time of a service: requests below are short
RESERVE_HEADROOM = 2.5  # reserved share of servers relative to the share of work that short requests bring
MAX_RESERVED_SHARE = 0.5
MIN_RESERVED_SHARE = 0.04  # below this no servers are reserved
MIN_EWMA_WEIGHT = 0.005  # minimum weight of a request in the moving average of the share of work
MIN_REQUESTS = 12  # of a service before servers are reserved
HYSTERESIS = 0.25  # relative change of the target share that is acted on, so that servers do not flap


class Reservable(Protocol):
    """What is needed of a server; `rank` is its position in its zone, 0 to 1."""

    id: str
    az: str
    usable: bool
    rank: float


class ReservedServers:
    """The reserved shares of all services, as one gateway sees them."""

    def __init__(self) -> None:
        """Start with no server reserved."""
        self._short_work_share: dict[str, float] = {}  # share of a service's work that short requests bring
        self._request_counts: dict[str, int] = {}
        self._reserved_share: dict[str, float] = {}

    def rank_servers(self, servers: Iterable[Reservable]) -> None:
        """Rank the servers of one service."""
        zones: dict[str, list[Reservable]] = {}
        for server in servers:
            if server.usable:
                zones.setdefault(server.az, []).append(server)
        for zone_servers in zones.values():
            zone_servers.sort(key=lambda server: (zlib.crc32(server.id.encode()), server.id))
            for position, server in enumerate(zone_servers):
                server.rank = (position + 0.5) / len(zone_servers)

    def classify(self, svc: str, work_s: float, mean_work_s: float) -> bool:
        """Count a request, and return whether it is short for a service whose mean service time is `mean_work_s`."""
        is_short = work_s < SHORT_WORK_RATIO * mean_work_s
        request_count = self._request_counts[svc] = self._request_counts.get(svc, 0) + 1
        short_work_share = self._short_work_share.get(svc, 0.0)
        short_work_share += max(MIN_EWMA_WEIGHT, 1.0 / request_count) * (
            (work_s / mean_work_s if is_short else 0.0) - short_work_share
        )
        self._short_work_share[svc] = short_work_share
        target_share, reserved_share = (
            min(MAX_RESERVED_SHARE, RESERVE_HEADROOM * short_work_share),
            self._reserved_share.get(svc, 0.0),
        )
        if request_count >= MIN_REQUESTS and abs(target_share - reserved_share) > HYSTERESIS * max(
            reserved_share, MIN_RESERVED_SHARE
        ):
            self._reserved_share[svc] = target_share
        return is_short

    def reserved_share(self, svc: str) -> float:
        """The share of servers that is reserved for short requests: those with a rank below it."""
        reserved_share = self._reserved_share.get(svc, 0.0)
        return reserved_share if reserved_share >= MIN_RESERVED_SHARE else 0.0
