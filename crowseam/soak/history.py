"""What is seen during a soak: each call of each client, each run at each server, and what was done to processes."""

from __future__ import annotations

from enum import Enum

import msgspec

CUT = 0  # in place of a status: the connection ended without a whole answer
TIMED_OUT = -1  # in place of a status: no answer within the client's time


class Kind(Enum):
    """How often a request may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    KEYED = "idem"


class Call(msgspec.Struct):
    """One try of a client, from the last byte sent to the end of its answer (s of one clock)."""

    attempt: str
    kind: Kind
    key: str
    gateway: str
    incarnation: int
    sent_at: float
    ended_at: float
    status: int
    answer_attempt: str = ""
    seal: str = ""
    body: str = ""


class Run(msgspec.Struct):
    """One run of a request at a server. `broke_off`: the server closed the connection without an answer."""

    attempt: str
    key: str
    seal: str
    body: str
    began_at: float
    broke_off: bool


class Act(Enum):
    """What is done to a process."""

    START = "start"
    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    THAW = "thaw"
    RELOAD = "reload"
    END = "end"  # it has ended after it was told to
    OWN_END = "own_end"  # it has ended though nobody told it to


class ProcessEvent(msgspec.Struct):
    """One act, at one incarnation of a process."""

    process: str
    incarnation: int
    act: Act
    at: float
    detail: str = ""


class Change(msgspec.Struct):
    """A change of the configuration that an operator sent. `outcome`: a status, 0 where no clear answer came."""

    version: int
    parent: int
    outcome: int
    ended_at: float


class History(msgspec.Struct):
    """All of one soak."""

    seed: int
    calls: list[Call] = []
    runs: list[Run] = []
    events: list[ProcessEvent] = []
    changes: list[Change] = []
    final_version: int | None = None
    calm_since: float = float("inf")  # from then on nothing is done to the fleet
