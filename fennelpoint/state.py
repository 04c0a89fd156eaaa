"""The state of one ingress: plain records that the deciding modules read and write."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from fennelpoint.interface import BackendEntry, BackendState, Request
from fennelpoint.regions import Flow


@dataclass(slots=True, eq=False)
class Backend:
    entry: BackendEntry
    rank: float  # of this ingress in the backend's order of ingresses: see `upkeep.rank_for`
    slowness_at: float  # when `slowness` was last updated
    attempts: dict[int, tuple[float, float, float, Customer]] = field(default_factory=dict)
    # in flight, by request id: work, time sent, latency target, customer
    work_in_flight: float = 0.0
    slowness: float = 1.0  # latency over the class's typical one, raised by failures
    load: float = 0.0  # requests that it holds by its own report
    reported_at: float = -1e9
    failures: int = 0  # attempts that failed in a row
    failed_at: float = -1e9  # failures of attempts sent before do not count
    paused_until: float = 0.0  # nothing is sent before
    withdrawn: bool = False  # by an operator
    restored_at: float = 0.0  # by an operator; counts as a start

    @property
    def usable(self) -> bool:
        """Whether the roster and the operators allow sending to it."""
        return self.entry.state is BackendState.READY and not self.withdrawn


@dataclass(slots=True, eq=False)
class Customer(Flow):
    """A customer's buckets and its part of the shared quota."""

    # The shared bucket is the quota's over all ingresses, by the counter's totals. Untaken units were refused
    # or sent beyond the quota. Requests of a sparse customer, too rare for a bucket, are checked one by one.

    plan: int
    spread: float  # ingresses that its requests arrive at
    share: float  # of the quota, held here
    level: float  # units in the own bucket
    shared_level: float  # units in the shared bucket
    filled_at: float
    total_at: float  # when the counter's last total came
    count_at: float  # earliest time of the next counter call
    last_total: float | None = None
    window: float = 0.0  # s over which a sparse customer's requests are counted; 0: it is not sparse
    seen: bool = False  # a request came here within the window before the current one
    had_room: bool | None = None  # whether the window had room, by the counter's last answer
    had_room_at: float = 0.0
    checks: list[tuple[Task, float]] = field(default_factory=list)  # with amounts counted
    errors: int = 0  # counter calls that failed in a row
    taken: float = 0.0  # units, from the quota, since the last call
    own: float = 0.0  # units taken here since the last total
    granted_level: float = 0.0  # units in the bucket at the last total
    untaken: float = 0.0  # units, since the last call
    untaken_count: float | None = None  # untaken units in the call that is in flight, if one is
    untaken_at: float = 0.0  # earliest time of the next call with untaken units
    untaken_total: float | None = None  # of all ingresses
    short_at: float = -1e9  # when the quota last lacked units
    own_demand: float = 0.0  # units requested here, with exponential decay
    demand: float = 0.0  # units requested at all ingresses, with the same decay
    count: float | None = None  # units taken, in the call that is in flight, if one is
    demand_span: float = 0.0  # s over which the demand was summed, with the same decay
    ceiling: float = 0.0  # units in the ceiling's bucket
    attempts: int = 0  # that are open
    held: float = 0.0  # units of requests that wait


@dataclass(slots=True, eq=False)
class Task:
    """A request that has no final answer yet."""

    request: Request
    customer: Customer
    target_at: float  # end of its latency target
    latest_at: float  # of an answer that is in time
    worth: float
    kind: int = 0  # index into `Quotas.room_odds`: first request here for a while, a later one, a retry
    half_at: float = inf  # when half of its time has passed
    attempts: int = 0
    tried: bool = False  # at a backend that it reached
    is_charged: bool = False  # its units were taken
    in_quota: bool | None = None  # by the answer to its own counter call
    ran_at: float | None = None  # when the first attempt that may have run was sent
    ran_on: BackendEntry | None = None
    earliest: float = 0.0  # time of the next attempt
    ends_at: float = 0.0  # when it is ended if it still waits
    probed: list[Backend] | None = None  # backends probed for it
    draw_at: float = 0.0  # when it may draw a cold backend again
    stream_at: float | None = None  # when its streamed answer began
