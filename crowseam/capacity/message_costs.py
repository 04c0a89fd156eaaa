"""Bytes a second of control traffic against the size of a deployment: the real messages, filled for the size.

Nothing is sent.  The figures hold for calm times: changes of configuration, servers and sessions come
on top, and heartbeats and pulses come as often as the daemons send them.
"""

from __future__ import annotations

from msgspec import Struct

from crowseam.capacity.sample_configuration import configuration
from crowseam.controller.daemon import REPAIR_INTERVAL_S, UPDATE_INTERVAL_S
from crowseam.controller.peers import HEARTBEAT_INTERVAL_S
from crowseam.discovery.anti_entropy import DigestOffer
from crowseam.discovery.server_record import ServerRecord
from crowseam.membership.role_context import RoleLeaseTiming
from crowseam.membership.role_messages import RoleLeaseGrant, RoleLeaseRequest
from crowseam.membership.sessions import SessionUpdate
from crowseam.quotas.lease_messages import LeaseReport, QuotaLease
from crowseam.quotas.shards import ROLE_KEYS, shard_of
from crowseam.transport.codec import pack
from crowseam.transport.links import frame
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    ConfigurationState,
    EjectedServers,
    ForwardedLease,
    ForwardedLeaseReport,
    GatewayReport,
    HeardReports,
    LeaseUpdate,
    Message,
    OpenSession,
    PeerHeartbeat,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
    SilentServers,
)

REPORTS = 1.0 / 0.5  # a second, of each gateway
HEARTBEAT_CALL = 420  # bytes of a heartbeat and its answer with their heads, as servers send them
ASKING_TENANTS = 8  # tenants that a gateway is asked by at a time: those of its clients
SHARE = 123_456  # a share as large as most
ZONES = 3  # over which controllers are spread; gateways have their session within their own
GATEWAY = "edge-somewhere-a-12"  # a name as long as most

Bytes = dict[str, float]  # by message


class Deployment(Struct, frozen=True):
    """The size of a deployment; `heartbeat`: s between two heartbeats of a server."""

    gateways: int
    servers: int
    tenants: int
    controllers: int
    heartbeat: float


class Costs(Struct, frozen=True):
    """Bytes a second by process and message, in and out together, but for `start`.

    Draws from the reserve come on top, by the request.
    """

    gateway: Bytes  # of one gateway
    controller: Bytes  # of one controller
    fleet: Bytes  # of all, each message counted once
    between: Bytes  # what goes from zone to zone, but for the servers' calls, whose way is theirs to choose
    start: Bytes  # of one gateway's opening of a session, not by the second


def _size(*messages: Message) -> int:
    """Bytes of messages with their frames."""
    return sum(len(frame(message)) for message in messages)


class Leases:
    """The leases that a gateway holds, of the tenants with requests there."""

    def __init__(self, names: list[str]) -> None:
        self.asks = {name: 1.25 for name in names}
        shares = {key: {name: SHARE for name in names if shard_of(name) == key} for key in ROLE_KEYS}
        self.held = {key: LeaseReport(1, 1.0, 1 << 20, 99_999, 7.5, shares[key]) for key in ROLE_KEYS}
        self.lent = {key: QuotaLease(1, 1.0, 1 << 20, 99_999, 8.0, shares[key]) for key in ROLE_KEYS}

    def slices(self) -> int:
        """Bytes of the slices that a controller sends to one gateway."""
        return _size(*(LeaseUpdate(key, lease) for key, lease in self.lent.items()))

    def relayed(self) -> int:
        """Bytes of what one controller asks another for one gateway, and is lent."""
        asks = [
            ForwardedLeaseReport(GATEWAY, key, dict.fromkeys(held.shares, 1.25), held)
            for key, held in self.held.items()
        ]
        return _size(*asks, *(ForwardedLease(GATEWAY, key, lease) for key, lease in self.lent.items()))


def costs(size: Deployment, asked: int = ASKING_TENANTS) -> Costs:
    """What control costs at this size, where each gateway is asked by `asked` tenants."""
    addresses = [f"10.{n % 4 + 1}.0.{n + 10}:8407" for n in range(size.controllers)]
    leases = Leases([f"t-{n:05d}" for n in range(min(size.tenants, asked))])
    gateway = {
        "reports": REPORTS * _size(GatewayReport(leases.asks, leases.held)),
        "slices": REPORTS * leases.slices(),
        "pulses": _size(SessionHeartbeat(size.gateways, 10, True)) / HEARTBEAT_INTERVAL_S,
    }
    pair = _between_controllers(size, addresses, leases)
    heartbeats = size.servers / size.heartbeat * HEARTBEAT_CALL
    controller = {name: size.gateways / size.controllers * each for name, each in gateway.items()} | pair
    controller["heartbeats"] = heartbeats / size.controllers
    fleet = {name: size.gateways * each for name, each in gateway.items()}
    fleet |= {name: size.controllers * each / 2 for name, each in pair.items()} | {"heartbeats": heartbeats}
    apart = _apart(size.controllers)
    between = {name: apart * fleet[name] for name in pair}
    return Costs(gateway, controller, fleet, between, _start(size, addresses))


def _between_controllers(size: Deployment, addresses: list[str], leases: Leases) -> Bytes:
    """What one controller sends to the others and receives from them."""
    others = size.controllers - 1
    away = others / size.controllers  # part of the duties that another controller holds
    heard_per_update = size.servers / size.heartbeat * UPDATE_INTERVAL_S / size.controllers
    heard = [("i-0123456789", 1000)] * max(1, round(heard_per_update))
    renewal = _size(
        RoleLeaseRequest(ROLE_KEYS[0], 1 << 40, 1 << 20, 1.4), RoleLeaseGrant(ROLE_KEYS[0], 1 << 40, 1 << 20)
    )
    duties = len(ROLE_KEYS) / RoleLeaseTiming().renew_interval_s * others * renewal
    gateways = size.gateways / size.controllers
    return {
        "pings": 2 * others * _size(PeerHeartbeat(1.0, 1.0, 10, addresses)) / HEARTBEAT_INTERVAL_S,
        "sessions": 2 * others * _size(SessionUpdate(addresses[0], "x" * 24, 9, 9, [], [])) / UPDATE_INTERVAL_S,
        "heard": 2 * others * _size(HeardReports(heard)) / UPDATE_INTERVAL_S,
        "digests": 2 * _size(DigestOffer([b"12345678"])) / REPAIR_INTERVAL_S,
        "duties": 2 * duties / size.controllers,
        "relayed leases": 2 * gateways * REPORTS * away * leases.relayed(),
    }


def _apart(controllers: int) -> float:
    """The part of all pairs of controllers that are in different zones."""
    in_zone = [len(range(zone, controllers, ZONES)) for zone in range(ZONES)]
    return (controllers**2 - sum(n * n for n in in_zone)) / max(1, controllers * (controllers - 1))


def _start(size: Deployment, addresses: list[str]) -> Bytes:
    """Bytes of one gateway's opening of a session."""
    record = ServerRecord("i-0123456789", "service-a", "10.1.64.200:8080", "zone-a", "v1", 4, "up", 99_999)
    greetings = (
        OpenSession(GATEWAY, 1 << 50, 9, "zone-a", -1, "", 0, True, PROTOCOL_VERSION),
        SessionOpened(addresses[0], addresses, PROTOCOL_VERSION),
        SilentServers([]),
        EjectedServers([]),
        SessionHeartbeat(size.gateways, 10, True),
    )
    return {
        "servers": float(_size(ServerUpdate("x" * 24, 9, True, [record] * size.servers))),
        "configuration": float(_size(ConfigurationState(9, pack(configuration(size.tenants))))),
        "greetings": float(_size(*greetings)),
    }
