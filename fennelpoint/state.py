"""What one ingress remembers: plain records, which the modules that decide fill and read.
Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from fennelpoint.interface import BackendEntry, BackendState, Request
from fennelpoint.regions import Flow


@dataclass(slots=True, eq=False)
class Backend:
    entry: BackendEntry
    rank: float  # our place in its order of the ingresses: see `upkeep.place`
    slow_at: float  # when its slowness was last brought up to date
    out: dict[int, tuple[float, float, float, Customer]] = field(default_factory=dict)
    # attempts out, by request: work, sent at, aim, customer
    load: float = 0.0  # work out
    slow: float = 1.0  # latency over the class's typical one; failures add to it
    reported: float = 0.0  # requests it holds, by its own word
    reported_at: float = -1e9
    fails: int = 0  # attempts in a row that failed
    failed_at: float = -1e9  # when the last of them ended; what was sent before tells no more
    rest_until: float = 0.0  # nothing is sent before
    withdrawn: bool = False  # by an operator
    restored_at: float = 0.0  # it counts as started then, as an operator put it back

    @property
    def usable(self) -> bool:
        """Whether the roster and the operators let us send to it."""
        return self.entry.state is BackendState.READY and not self.withdrawn


@dataclass(slots=True, eq=False)
class Customer(Flow):
    plan: int
    width: float  # ingresses that its requests come through
    share: float  # of the quota, held here
    level: float  # units in the bucket
    store: float  # units in the quota's store of all ingresses, as far as the counter tells
    filled: float
    total_at: float  # when the last total came
    count_at: float  # when the counter may be called next
    total: float | None = None
    window: float = 0.0  # s that a sparse customer's asks are counted over; 0: it is not sparse
    met: bool = False  # here within that time, before the request at hand
    told: bool | None = None  # whether the window had room, by the last answer
    told_at: float = 0.0
    asking: list[tuple[Try, float]] = field(default_factory=list)  # tries whose call is out, and its amount
    fails: int = 0  # calls in a row without an answer
    fresh: float = 0.0  # taken from the quota since the last call
    own: float = 0.0  # taken since the last total
    granted: float = 0.0  # units in the bucket at the last total
    spared: float = 0.0  # asked and not taken since the last call
    sparing: float | None = None  # told of that by the call that is out, if one is
    spare_at: float = 0.0  # when that may be told next
    spared_total: float | None = None  # what all ingresses have told of it
    short_at: float = -1e9  # when units were last missing
    ours: float = 0.0  # asked here, fading
    alls: float = 0.0  # asked everywhere, fading
    calling: float | None = None  # told by the call that is out, if one is
    spans: float = 0.0  # s that these were asked in, fading alike
    ceiling: float = 0.0  # units under the ceiling
    open: int = 0  # attempts out
    held: float = 0.0  # units waiting


@dataclass(slots=True, eq=False)
class Try:
    ask: Request
    customer: Customer
    aim_at: float
    ends: float
    worth: float
    kind: int = 0  # what the odds go by: 0, the first one here for a while; 1, another; 2, a repeat
    half: float = inf  # when half of its time is up
    attempts: int = 0
    reached: bool = False  # an attempt came to a backend
    charged: bool = False  # its units were taken
    inside: bool | None = None  # the quota, by the answer of its own counter call
    ran_at: float | None = None  # send time of the first attempt that may have run
    ran_on: BackendEntry | None = None
    not_before: float = 0.0
    last: float = 0.0  # when it is ended if it still waits
    picked: list[Backend] | None = None  # backends probed for it
    draw_at: float = 0.0  # when it may draw a cold backend again
    begun_at: float | None = None  # when its large answer began to go out
