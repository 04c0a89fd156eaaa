"""Which gateways still have requests in flight at leaving servers, and when it is safe to switch these off.

A leaving server is draining, gone, or retired by an operator.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from crowseam.discovery.service_registry import LeavingServer

LOST_GATEWAY_RETENTION_S = 60.0  # how long a lost gateway prevents servers from being reported as safe


class DrainedServer(msgspec.Struct, frozen=True):
    """The status of a leaving server as shown to an operator. Fields have the names of the control API."""

    id: str
    svc: str
    addr: str
    az: str
    ver: str
    state: str
    since: float
    for_s: float
    silent_s: float
    under_way: dict[str, int]
    unconfirmed: list[str]
    safe: bool


class DrainStatusQuery:
    """Collects the requests in flight at leaving servers from all gateways.

    `own_gateways` are queried directly, `controllers` are queried for their gateways, and `other_gateways` are known
    to be connected to those. `in_flight` holds each gateway's answer, by server; None until it has answered.
    `lost_gateways` maps gateways without a session to the seconds since then, and `ages_s` holds for how long servers
    have been leaving.
    """

    def __init__(
        self, own_gateways: Iterable[str], controllers: Iterable[str] = (), other_gateways: Iterable[str] = ()
    ) -> None:
        self.waiting_gateways = set(own_gateways)
        self.waiting_controllers = set(controllers)
        self.in_flight: dict[str, dict[str, int] | None] = dict.fromkeys((*self.waiting_gateways, *other_gateways))
        self.lost_gateways: dict[str, float] = {}
        self.ages_s: dict[str, float] = {}

    def add_gateway(self, name: str, in_flight: dict[str, int]) -> None:
        """Record the answer of a gateway that knows of the leaving servers: requests in flight by server, if any."""
        self.in_flight[name] = in_flight
        self.waiting_gateways.discard(name)

    def add_controller(
        self,
        addr: str,
        in_flight: Mapping[str, dict[str, int] | None],
        lost_gateways: Mapping[str, float],
        ages_s: Mapping[str, float],
    ) -> None:
        """Merge what another controller has collected."""
        self.waiting_controllers.discard(addr)
        for gateway, requests in in_flight.items():
            if requests is not None or gateway not in self.in_flight:
                self.in_flight[gateway] = requests
        for gateway, lost_s in lost_gateways.items():
            self.lost_gateways[gateway] = min(lost_s, self.lost_gateways.get(gateway, lost_s))
        for ident, age_s in ages_s.items():
            self.ages_s[ident] = max(age_s, self.ages_s.get(ident, age_s))

    @property
    def is_complete(self) -> bool:
        """Whether all queried gateways and controllers have answered."""
        return not (self.waiting_gateways or self.waiting_controllers)

    def missing_gateways(self) -> dict[str, float]:
        """Return the lost gateways with the seconds since then, without those that have answered."""
        return {
            gateway: lost_s
            for gateway, lost_s in sorted(self.lost_gateways.items())
            if gateway not in self.in_flight and lost_s < LOST_GATEWAY_RETENTION_S
        }

    def report(
        self, leaving: Iterable[LeavingServer], is_majority_reachable: bool, wall_time: float
    ) -> list[DrainedServer]:
        """Return the status of each server; `wall_time` is the time of day in seconds.

        A server is safe to switch off when every gateway that may know it has confirmed that it is leaving, and none
        has a request in flight there.
        """
        unconfirmed = sorted(gateway for gateway, requests in self.in_flight.items() if requests is None)
        all_confirmed = is_majority_reachable and not unconfirmed and not self.missing_gateways()
        return [self._server_status(server, unconfirmed, all_confirmed, wall_time) for server in leaving]

    def _server_status(
        self, server: LeavingServer, unconfirmed: list[str], all_confirmed: bool, wall_time: float
    ) -> DrainedServer:
        record = server.record
        age_s = max(server.age_s, self.ages_s.get(record.id, 0.0))
        in_flight = {
            gateway: requests[record.id]
            for gateway, requests in sorted(self.in_flight.items())
            if requests is not None and requests.get(record.id)
        }
        return DrainedServer(
            id=record.id,
            svc=record.svc,
            addr=record.addr,
            az=record.az,
            ver=record.ver,
            state="retired" if record.is_retired else "draining",
            since=round(wall_time - age_s, 3),
            for_s=round(age_s, 3),
            silent_s=round(record.silence_s, 3),
            under_way=in_flight,
            unconfirmed=unconfirmed,
            safe=all_confirmed and not in_flight,
        )
