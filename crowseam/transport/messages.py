"""All messages between the processes of the system, and their union for the decoder.

All messages are encoded as arrays, so the order of their fields is fixed and new fields are appended with a default.
"""

from __future__ import annotations

import msgspec

from crowseam.consensus import messages as consensus
from crowseam.discovery.anti_entropy import DigestOffer, RangeRecords
from crowseam.discovery.replication import ReplicationAck, ReplicationRequest
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import HeardReport
from crowseam.discovery.voter_catch_up import StateTransferReply, StateTransferRequest
from crowseam.membership import role_messages
from crowseam.membership.sessions import SessionUpdate
from crowseam.operations import messages as operations
from crowseam.quotas.lease_messages import LeaseReport, QuotaLease

# Version of the protocol between processes. Raise it with every change that a process of the previous version would
# misread. The fields of the greetings (PeerGreeting, OpenSession, SessionOpened) must never move, so that any two
# versions can read each other's greeting.
PROTOCOL_VERSION = 3
UNVERSIONED = 1  # version of processes whose greetings contain none


# Between controllers


class PeerGreeting(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """The first message from the controller that opens a connection to another one.

    The other controller replies with its own greeting only if the protocol versions differ, and then closes the
    connection.
    """

    addr: str
    incarnation: str
    protocol: int = UNVERSIONED


class PeerHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """A heartbeat between controllers.

    `sent_at` is the sender's clock (s), `echo` the latest `sent_at` received from the peer, `last_slot` the newest
    log slot known to the sender, and `controllers` the addresses that it heard from recently. `wants_reply` asks the
    peer for an immediate heartbeat.
    """

    sent_at: float
    echo: float
    last_slot: int
    controllers: list[str] = []
    wants_reply: bool = False


class ChangedServers(msgspec.Struct, array_like=True, frozen=True, tag="rows"):
    """Server records that have just changed."""

    records: list[ServerRecord]


class HeardReports(msgspec.Struct, array_like=True, frozen=True, tag="heard"):
    """Servers that have sent a report to the sender."""

    reports: list[HeardReport]


class ForwardedLeaseReport(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A gateway's report for one role, forwarded to the holder of the role. `demand`: requests/s by tenant."""

    gateway: str
    key: str
    demand: dict[str, float]
    held: LeaseReport


class ForwardedLease(msgspec.Struct, array_like=True, frozen=True, tag="lent"):
    """The reply to `ForwardedLeaseReport`, to be forwarded to the gateway."""

    gateway: str
    key: str
    lease: QuotaLease


class ReserveDraw(msgspec.Struct, array_like=True, frozen=True, tag="draw"):
    """Asks for `count` requests from the grantor's reserve for a tenant whose share at the gateway is used up."""

    gateway: str
    tenant: str
    count: int
    number: int


class ReserveDrawReply(msgspec.Struct, array_like=True, frozen=True, tag="drawn"):
    """The reply to `ReserveDraw`: the number of admitted requests, and the seconds until one more is available."""

    gateway: str
    number: int
    granted: int
    wait_s: float


class InFlightQuery(msgspec.Struct, array_like=True, frozen=True, tag="watch"):
    """Asks how many requests the peer's gateways have in flight at these leaving servers."""

    number: int
    records: list[ServerRecord]


class InFlightReply(msgspec.Struct, array_like=True, frozen=True, tag="watched"):
    """The reply to `InFlightQuery`.

    `gateways` has the in-flight requests by server for each gateway (None if it has not replied). `lost_gateways`
    has the seconds since each lost gateway was last a member, `ages_s` those since each leaving server began to leave.
    """

    number: int
    gateways: dict[str, dict[str, int] | None]
    lost_gateways: dict[str, float]
    ages_s: dict[str, float]


class OutlierReport(msgspec.Struct, array_like=True, frozen=True, tag="ill"):
    """Failure counts of servers seen by a gateway, by id; negative numbers count successes of ejected servers."""

    gateway: str
    outcomes: dict[str, int]


class EjectedServers(msgspec.Struct, array_like=True, frozen=True, tag="shun"):
    """The ids of all servers that are ejected fleet-wide."""

    ids: list[str]


# Between a gateway and its controller


class OpenSession(msgspec.Struct, array_like=True, frozen=True, tag="open"):
    """Opens a gateway's session and tells its position in the log and in the server registry.

    `session_number` counts sessions within the gateway's incarnation. `registry` and `position` identify a position
    in the change log of one replica of the registry. `accepts_chunks`: the gateway can receive a large configuration
    in chunks, which earlier versions cannot.
    """

    gateway: str
    incarnation: int
    session_number: int
    az: str
    slot: int
    registry: str
    position: int
    accepts_chunks: bool = False
    protocol: int = UNVERSIONED


class GatewayReport(msgspec.Struct, array_like=True, frozen=True, tag="report"):
    """Demand at a gateway by tenant (requests/s), and the quota leases that it holds by role."""

    demand: dict[str, float]
    held: dict[str, LeaseReport]


class InFlightCounts(msgspec.Struct, array_like=True, frozen=True, tag="leaving"):
    """The reply to `InFlightCountRequest`: requests in flight at leaving servers, by server id.

    `registry` and `position` are the gateway's current position in the registry.
    """

    number: int
    registry: str
    position: int
    in_flight: dict[str, int]


class FollowingLog(msgspec.Struct, array_like=True, frozen=True, tag="following"):
    """The gateway has the configuration after `slot` and follows the log from there; -1 if it has none."""

    slot: int


class CloseSession(msgspec.Struct, array_like=True, frozen=True, tag="bye"):
    """Closes the session because the gateway is shutting down."""


class SessionOpened(msgspec.Struct, array_like=True, frozen=True, tag="welcome"):
    """Confirms the session; if `protocol` differs from the gateway's, the connection is closed instead.

    `controllers` are other controllers to which a session can be opened.
    """

    addr: str
    controllers: list[str]
    protocol: int = UNVERSIONED


class ConfigurationState(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """The full configuration after `slot`; the body is packed (see `codec.pack`)."""

    slot: int
    body: bytes


class ConfigurationStep(msgspec.Struct, array_like=True, frozen=True, tag="step"):
    """The effect of `slot`: a packed full configuration (`whole`) or patch, or no body if nothing changed."""

    slot: int
    whole: bool = False
    body: bytes = b""


class ServerUpdate(msgspec.Struct, array_like=True, frozen=True, tag="servers"):
    """All server records (`is_complete`) or the changed ones, and the registry position after them."""

    registry: str
    position: int
    is_complete: bool
    records: list[ServerRecord]


class SilentServers(msgspec.Struct, array_like=True, frozen=True, tag="quiet"):
    """The ids of all servers that have sent no report for some time."""

    ids: list[str]


class SessionHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag="pulse"):
    """A heartbeat to a gateway: the number of gateways, the newest slot, and whether a quorum is reachable."""

    members: int
    slot: int
    is_in_touch: bool


class InFlightCountRequest(msgspec.Struct, array_like=True, frozen=True, tag="count"):
    """Asks a gateway for its in-flight requests at leaving servers. Sent only while an operator queries them."""

    number: int


class LeaseUpdate(msgspec.Struct, array_like=True, frozen=True, tag="slice"):
    """A lease of the quotas of one role."""

    key: str
    lease: QuotaLease


Message = (
    consensus.Message
    | role_messages.Message
    | ReplicationRequest
    | ReplicationAck
    | DigestOffer
    | RangeRecords
    | SessionUpdate
    | PeerGreeting
    | PeerHeartbeat
    | ChangedServers
    | HeardReports
    | ForwardedLeaseReport
    | ForwardedLease
    | OpenSession
    | GatewayReport
    | CloseSession
    | SessionOpened
    | ConfigurationState
    | ConfigurationStep
    | ServerUpdate
    | SilentServers
    | SessionHeartbeat
    | LeaseUpdate
    | OutlierReport
    | EjectedServers
    | ReserveDraw
    | ReserveDrawReply
    | InFlightQuery
    | InFlightReply
    | InFlightCountRequest
    | InFlightCounts
    | StateTransferRequest
    | StateTransferReply
    | FollowingLog
    | operations.Message
)
