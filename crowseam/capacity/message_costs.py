"""Bytes per second of control traffic by deployment size, computed by encoding real messages of that size.

Nothing is sent. The figures are for the steady state: changes of the configuration, servers and sessions add to them.
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

REPORTS_PER_S = 1.0 / 0.5  # of one gateway
HEARTBEAT_CALL_BYTES = 420  # of a server's heartbeat request and its response with headers
ACTIVE_TENANTS = 8  # tenants with requests at one gateway at a time
SAMPLE_SHARE = 123_456  # encodes to a typical size
ZONES = 3  # with controllers in each; gateways connect within their own zone
GATEWAY_NAME = "edge-somewhere-a-12"  # of typical length

BytesByMessage = dict[str, float]  # by type of message


class Deployment(Struct, frozen=True):
    """The size of a deployment. `heartbeat`: interval in s between heartbeats of a server."""

    gateways: int
    servers: int
    tenants: int
    controllers: int
    heartbeat: float


class Costs(Struct, frozen=True):
    """Bytes per second by process and type of message, sent and received together; `start` is in bytes.

    Draws from the reserve are not included, since they depend on the requests.
    """

    gateway: BytesByMessage  # of one gateway
    controller: BytesByMessage  # of one controller
    fleet: BytesByMessage  # of all processes, each message counted once
    between: BytesByMessage  # cross-zone traffic, without the servers' calls
    start: BytesByMessage  # bytes to open one gateway session


def _framed_bytes(*messages: Message) -> int:
    """Return the bytes of messages including frames."""
    return sum(len(frame(message)) for message in messages)


class SampleLeases:
    """The leases and lease reports of one gateway for the tenants with requests there."""

    def __init__(self, names: list[str]) -> None:
        self.demand = {name: 1.25 for name in names}
        shares = {key: {name: SAMPLE_SHARE for name in names if shard_of(name) == key} for key in ROLE_KEYS}
        self.lease_reports = {key: LeaseReport(1, 1.0, 1 << 20, 99_999, 7.5, shares[key]) for key in ROLE_KEYS}
        self.leases = {key: QuotaLease(1, 1.0, 1 << 20, 99_999, 8.0, shares[key]) for key in ROLE_KEYS}

    def lease_update_bytes(self) -> int:
        """Return the bytes of the lease updates that a controller sends to one gateway."""
        return _framed_bytes(*(LeaseUpdate(key, lease) for key, lease in self.leases.items()))

    def forwarded_bytes(self) -> int:
        """Return the bytes of the lease reports and leases of one gateway that one controller forwards to another."""
        requests = [
            ForwardedLeaseReport(GATEWAY_NAME, key, dict.fromkeys(report.shares, 1.25), report)
            for key, report in self.lease_reports.items()
        ]
        return _framed_bytes(
            *requests, *(ForwardedLease(GATEWAY_NAME, key, lease) for key, lease in self.leases.items())
        )


def costs(deployment: Deployment, active_tenants: int = ACTIVE_TENANTS) -> Costs:
    """Return the control traffic of a deployment whose gateways each have requests of `active_tenants` tenants."""
    addresses = [f"10.{n % 4 + 1}.0.{n + 10}:8407" for n in range(deployment.controllers)]
    leases = SampleLeases([f"t-{n:05d}" for n in range(min(deployment.tenants, active_tenants))])
    gateway = {
        "reports": REPORTS_PER_S * _framed_bytes(GatewayReport(leases.demand, leases.lease_reports)),
        "slices": REPORTS_PER_S * leases.lease_update_bytes(),
        "pulses": _framed_bytes(SessionHeartbeat(deployment.gateways, 10, True)) / HEARTBEAT_INTERVAL_S,
    }
    controller_pair = _between_controllers(deployment, addresses, leases)
    heartbeats = deployment.servers / deployment.heartbeat * HEARTBEAT_CALL_BYTES
    controller = {
        name: deployment.gateways / deployment.controllers * each for name, each in gateway.items()
    } | controller_pair
    controller["heartbeats"] = heartbeats / deployment.controllers
    fleet = {name: deployment.gateways * each for name, each in gateway.items()}
    fleet |= {name: deployment.controllers * each / 2 for name, each in controller_pair.items()} | {
        "heartbeats": heartbeats
    }
    cross_zone_share = _cross_zone_share(deployment.controllers)
    between = {name: cross_zone_share * fleet[name] for name in controller_pair}
    return Costs(gateway, controller, fleet, between, _session_start_bytes(deployment, addresses))


def _between_controllers(deployment: Deployment, addresses: list[str], leases: SampleLeases) -> BytesByMessage:
    """Return the bytes per second that one controller exchanges with its peers."""
    peers = deployment.controllers - 1
    remote_share = peers / deployment.controllers  # share of the roles held by another controller
    heard_per_update = deployment.servers / deployment.heartbeat * UPDATE_INTERVAL_S / deployment.controllers
    heard_reports = [("i-0123456789", 1000)] * max(1, round(heard_per_update))
    renewal_bytes = _framed_bytes(
        RoleLeaseRequest(ROLE_KEYS[0], 1 << 40, 1 << 20, 1.4), RoleLeaseGrant(ROLE_KEYS[0], 1 << 40, 1 << 20)
    )
    role_renewal_bytes = len(ROLE_KEYS) / RoleLeaseTiming().renew_interval_s * peers * renewal_bytes
    gateways = deployment.gateways / deployment.controllers
    return {
        "pings": 2 * peers * _framed_bytes(PeerHeartbeat(1.0, 1.0, 10, addresses)) / HEARTBEAT_INTERVAL_S,
        "sessions": 2 * peers * _framed_bytes(SessionUpdate(addresses[0], "x" * 24, 9, 9, [], [])) / UPDATE_INTERVAL_S,
        "heard": 2 * peers * _framed_bytes(HeardReports(heard_reports)) / UPDATE_INTERVAL_S,
        "digests": 2 * _framed_bytes(DigestOffer([b"12345678"])) / REPAIR_INTERVAL_S,
        "duties": 2 * role_renewal_bytes / deployment.controllers,
        "relayed leases": 2 * gateways * REPORTS_PER_S * remote_share * leases.forwarded_bytes(),
    }


def _cross_zone_share(controllers: int) -> float:
    """Return the share of controller pairs that are in different zones."""
    in_zone = [len(range(zone, controllers, ZONES)) for zone in range(ZONES)]
    return (controllers**2 - sum(n * n for n in in_zone)) / max(1, controllers * (controllers - 1))


def _session_start_bytes(deployment: Deployment, addresses: list[str]) -> BytesByMessage:
    """Return the bytes to open one gateway session."""
    record = ServerRecord("i-0123456789", "service-a", "10.1.64.200:8080", "zone-a", "v1", 4, "up", 99_999)
    opening_messages = (
        OpenSession(GATEWAY_NAME, 1 << 50, 9, "zone-a", -1, "", 0, True, PROTOCOL_VERSION),
        SessionOpened(addresses[0], addresses, PROTOCOL_VERSION),
        SilentServers([]),
        EjectedServers([]),
        SessionHeartbeat(deployment.gateways, 10, True),
    )
    return {
        "servers": float(_framed_bytes(ServerUpdate("x" * 24, 9, True, [record] * deployment.servers))),
        "configuration": float(_framed_bytes(ConfigurationState(9, pack(configuration(deployment.tenants))))),
        "greetings": float(_framed_bytes(*opening_messages)),
    }
