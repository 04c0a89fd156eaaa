"""The messages between the system's own processes, in one union for the decoder.

All are arrays on the wire, so fields keep their order; new ones come last, with a default.
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

# The version of the protocol between the system's processes. To be raised with each change that a process of the
# version before would misread. The fields of the greetings (PeerGreeting, OpenSession, SessionOpened) stay where they
# are for good, so that any two versions read each other's greeting.
PROTOCOL_VERSION = 3
UNVERSIONED = 1  # the version of processes whose greetings do not name one


# Between controllers


class PeerGreeting(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """The first message of a connection between controllers: whose it is, and which protocol version it speaks.

    It is sent back only to a controller that speaks another version, before its connection is closed.
    """

    addr: str
    incarnation: str
    protocol: int = UNVERSIONED


class PeerHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """A heartbeat between controllers.

    `sent_at` is the sender's clock (s), `echo` the peer's newest `sent_at`, `last_slot` the newest slot of the log
    known here, `controllers` those heard lately. `wants_reply`: the peer is to send its own at once.
    """

    sent_at: float
    echo: float
    last_slot: int
    controllers: list[str] = []
    wants_reply: bool = False


class ChangedServers(msgspec.Struct, array_like=True, frozen=True, tag="rows"):
    """Records of servers that have just changed."""

    records: list[ServerRecord]


class HeardReports(msgspec.Struct, array_like=True, frozen=True, tag="heard"):
    """Servers of which a report has come."""

    reports: list[HeardReport]


class ForwardedLeaseReport(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A gateway's report for one role, forwarded to its holder. `demand` is in requests a second by tenant."""

    gateway: str
    key: str
    demand: dict[str, float]
    held: LeaseReport


class ForwardedLease(msgspec.Struct, array_like=True, frozen=True, tag="lent"):
    """The answer to `ForwardedLeaseReport`, to be passed on to the gateway."""

    gateway: str
    key: str
    lease: QuotaLease


class ReserveDraw(msgspec.Struct, array_like=True, frozen=True, tag="draw"):
    """A gateway whose share is used up asks for `count` requests of a tenant from the grantor's reserve."""

    gateway: str
    tenant: str
    count: int
    number: int


class ReserveDrawReply(msgspec.Struct, array_like=True, frozen=True, tag="drawn"):
    """The answer to `ReserveDraw`: how many may pass, and the seconds until one more may."""

    gateway: str
    number: int
    granted: int
    wait_s: float


class InFlightQuery(msgspec.Struct, array_like=True, frozen=True, tag="watch"):
    """Asks for what the peer's gateways have in flight at these servers, which leave."""

    number: int
    records: list[ServerRecord]


class InFlightReply(msgspec.Struct, array_like=True, frozen=True, tag="watched"):
    """The answer to `InFlightQuery`.

    `gateways` has requests by server of each gateway (None: it has not answered); `lost_gateways` those lost from
    sight and `ages_s` servers that leave, each by seconds.
    """

    number: int
    gateways: dict[str, dict[str, int] | None]
    lost_gateways: dict[str, float]
    ages_s: dict[str, float]


class OutlierReport(msgspec.Struct, array_like=True, frozen=True, tag="ill"):
    """Failures of servers that a gateway has seen, or (below 0) successes of ejected ones, by id."""

    gateway: str
    outcomes: dict[str, int]


class EjectedServers(msgspec.Struct, array_like=True, frozen=True, tag="shun"):
    """All servers that the fleet ejects."""

    ids: list[str]


# Between a gateway and its controller


class OpenSession(msgspec.Struct, array_like=True, frozen=True, tag="open"):
    """A gateway opens its session, and says up to where it knows the log and the registry.

    `session_number` counts within the gateway's incarnation; `registry` and `position` name a place in the log of
    one copy of the registry. `accepts_chunks`: a large configuration may come in chunks, which earlier versions do
    not know.
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
    """Demand at a gateway by tenant (requests a second), and what it holds of each role's quotas."""

    demand: dict[str, float]
    held: dict[str, LeaseReport]


class InFlightCounts(msgspec.Struct, array_like=True, frozen=True, tag="leaving"):
    """The answer to `InFlightCountRequest`: requests in flight at servers that leave, by id.

    `registry` and `position` say up to where the gateway has followed the registry.
    """

    number: int
    registry: str
    position: int
    in_flight: dict[str, int]


class FollowingLog(msgspec.Struct, array_like=True, frozen=True, tag="following"):
    """A gateway has the configuration after `slot` and follows the log from there; -1: it has none."""

    slot: int


class CloseSession(msgspec.Struct, array_like=True, frozen=True, tag="bye"):
    """The gateway stops."""


class SessionOpened(msgspec.Struct, array_like=True, frozen=True, tag="welcome"):
    """The session stands, unless `protocol` is unlike the gateway's: then the connection is closed.

    `controllers`: where else one may be opened.
    """

    addr: str
    controllers: list[str]
    protocol: int = UNVERSIONED


class ConfigurationState(msgspec.Struct, array_like=True, frozen=True, tag="state"):
    """The configuration after `slot`, complete; the body is packed (see `codec.pack`)."""

    slot: int
    body: bytes


class ConfigurationStep(msgspec.Struct, array_like=True, frozen=True, tag="step"):
    """What slot `slot` did: a configuration (`whole`) or a patch (packed), or nothing for a gateway (no body)."""

    slot: int
    whole: bool = False
    body: bytes = b""


class ServerUpdate(msgspec.Struct, array_like=True, frozen=True, tag="servers"):
    """Records of servers, all (`is_complete`) or those changed, and the position to follow on from."""

    registry: str
    position: int
    is_complete: bool
    records: list[ServerRecord]


class SilentServers(msgspec.Struct, array_like=True, frozen=True, tag="quiet"):
    """All servers of which nothing has been heard for a while."""

    ids: list[str]


class SessionHeartbeat(msgspec.Struct, array_like=True, frozen=True, tag="pulse"):
    """A heartbeat to a gateway: how many gateways there are, the newest slot, and whether a majority is in touch."""

    members: int
    slot: int
    is_in_touch: bool


class InFlightCountRequest(msgspec.Struct, array_like=True, frozen=True, tag="count"):
    """Asks a gateway what it has in flight at servers that leave. Sent only while an operator looks."""

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
