"""The types that the decision module takes and gives: settings, events and actions.

A host builds one `fennelpoint.control.Controller` from `Settings`, passes it every event with the time
at which it happened, and carries out the returned actions in order. Times are in seconds; ids are opaque
and only compared. A zero or empty optional setting means that the site does not have the feature.

A request costs a number of units, the quantity that quotas are counted in. A backend that has just
started is cold: it has only a share of its capacity at first and warms up over the ramp time (slow start).
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum
from math import inf


class Effect(Enum):
    """Whether a request of a class may run more than once; `KEYED` ones carry an idempotency key."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The backends among which repeats of a keyed request are recognized and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(Enum):
    """How an attempt, a probe or a counter call ended.

    `FULL`: rejected by a backend without capacity. `NOT_SENT`: the host did not send the attempt.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_SENT)


class BackendState(Enum):
    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class RosterKind(Enum):
    """What a roster holds: changes, the whole list, a cached list, or nothing because discovery failed."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class RequestClass:
    """A kind of request: an answer within `latency_target` has its full worth, one after `deadline` none."""

    name: str
    latency_target: float
    deadline: float
    worth: float
    effect: Effect
    scope: DedupScope = DedupScope.ALL
    dedup_span: float = 0.0  # how long backends recognize the repeats of a keyed request
    late_worth: float = 0.0
    latency_target_stretch: float = 0.0
    streamed: bool = False


@dataclass(slots=True)
class Plan:
    """Quotas of each customer of the plan, over all ingresses together; a rate of 0 means no quota.

    With an `excess_worth` over 0, requests beyond the quota are sent while there is capacity; the ceiling
    limits all requests, within and beyond the quota. `excess_cost` is the cost of a request sent beyond it.
    """

    name: str
    price: float
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: int = 0
    excess_worth: float = 0.0
    excess_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True)
class Settings:
    ingress_index: int  # of this ingress, from 0
    ingresses: int  # how many there are
    zone: int
    classes: list[RequestClass]
    plans: list[Plan]
    max_attempts: int
    drain_grace: float
    cold_share: float  # of its capacity that a backend has right after its start
    ramp_time: float  # from a backend's start until it is warm
    tip_multiple: float
    fall_span: float
    answer_slack: float
    tick: float  # resolution of the host's timers
    report_fields: list[str] = field(default_factory=list)
    report_via: str = "none"
    discovery: str = "push"
    poll_interval: float = 0.0
    weights: str = "none"
    has_counter: bool = False
    counter_timeout: float = 0.0
    counter_fee: float = 0.0
    meter_period: float = 0.0
    corrects_units: bool = False
    max_units: float = 0.0  # of one request
    may_probe: bool = False
    may_message_peers: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    may_set_retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    idle_timeout: float = 0.0  # after which a backend closes an idle connection
    zones: list[str] = field(
        default_factory=list
    )  # names; zones and kinds are indexes into these lists elsewhere
    kinds: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Reject invalid settings with a `ValueError` that names the field."""
        if not self.classes:
            raise ValueError("classes: there must be one at least")
        if not self.plans:
            raise ValueError("plans: there must be one at least")
        for name in ("ingresses", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)} is under 1")
        parts = [
            ("", self),
            *((f"classes[{i}].", cls) for i, cls in enumerate(self.classes)),
            *((f"plans[{i}].", plan) for i, plan in enumerate(self.plans)),
        ]
        for prefix, part in parts:
            for item in fields(part):
                value = getattr(part, item.name)
                if isinstance(value, int | float) and not 0.0 <= value < inf:
                    raise ValueError(f"{prefix}{item.name}: {value} is not a finite figure of 0 or more")
        for i, cls in enumerate(self.classes):
            if not 0.0 < cls.latency_target <= cls.deadline:
                raise ValueError(
                    f"classes[{i}].latency_target: {cls.latency_target} is not between 0 and"
                    f" the deadline {cls.deadline}"
                )


@dataclass(slots=True)
class BackendEntry:
    """One backend as service discovery lists it."""

    backend: object
    state: BackendState
    started_at: float = 0.0  # 0: not known, the backend counts as warm
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0


# Events


@dataclass(slots=True)
class Roster:
    """The list of backends from service discovery, or changes to it."""

    kind: RosterKind
    version: int
    entries: list[BackendEntry]


@dataclass(slots=True)
class Request:
    """A client's request. `cls` and `plan` are indexes into the settings.

    `spread` is the number of ingresses that the customer's requests arrive at, `first_ingress` the first.
    """

    request_id: int
    cls: int
    plan: int
    customer: int
    time_left: float
    units: float
    spread: float
    first_ingress: float
    is_retry: bool = False
    is_write: bool = False
    is_uploading: bool = (
        False  # the body is still being received and will not be buffered: see `BodyReceived`
    )


@dataclass(slots=True)
class Outcome:
    request_id: int
    attempt: int
    backend: object
    status: Status
    latency: float
    request_ended: bool
    metered_units: int = 0
    actual_units: float = 0.0  # to be charged in place of the request's estimate; 0: not known
    report: list[float] = field(default_factory=list)
    can_resend: bool = True  # the request's body is still buffered


@dataclass(slots=True)
class BodyReceived:
    """The body of a request that was uploading is complete; its time limits start now."""

    request_id: int


@dataclass(slots=True)
class StreamStarted:
    """The first bytes of a large answer went to the client: the attempt is final, its outcome comes later."""

    request_id: int
    attempt: int
    backend: object
    latency: float


@dataclass(slots=True)
class ClientGone:
    request_id: int


@dataclass(slots=True)
class TimerDue:
    token: int


@dataclass(slots=True)
class ProbeResult:
    backend: object
    status: Status
    latency: float
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(slots=True)
class CounterReply:
    key: int
    status: Status
    total: float
    latency: float


@dataclass(slots=True)
class Withdraw:
    """An operator takes a backend out of use, whatever the roster says, until `Restore`."""

    backend: object


@dataclass(slots=True)
class Restore:
    """An operator puts a backend back; as it may have been restarted, it counts as cold."""

    backend: object


@dataclass(slots=True)
class ProcessShare:
    """This process's share of its ingress's limits: under 1 while a second process of the ingress runs."""

    share: float


Event = (
    Roster
    | Request
    | BodyReceived
    | Outcome
    | StreamStarted
    | ClientGone
    | TimerDue
    | ProbeResult
    | PeerMessage
    | CounterReply
    | Withdraw
    | Restore
    | ProcessShare
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; with a timeout of 0 it lasts until the client's deadline."""

    request_id: int
    backend: object
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    """Answer that the request was not run and may be sent again, after `retry_after` if that is not 0."""

    request_id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Answer with an error: the request may have run."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a backend for its load report."""

    backend: object


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a backend."""

    backend: object


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one other ingress, or to all when `peer` is None."""

    body: bytes
    peer: int | None = None


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True)
class Subscribe:
    """Start or stop the delivery of rosters."""

    enabled: bool = True


@dataclass(slots=True)
class FetchRoster:
    pass


@dataclass(slots=True)
class CounterAdd:
    """Add an amount to a counter that the ingresses share; it is reset once `ttl` has passed."""

    key: int
    amount: float
    ttl: float


Action = (
    Send
    | Refuse
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | CloseIdle
    | SendPeerMessage
    | Log
    | Subscribe
    | FetchRoster
    | CounterAdd
)
