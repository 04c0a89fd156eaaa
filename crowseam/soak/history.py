"""Recorded history of a soak test: client calls, runs at servers, process events and configuration changes."""

from __future__ import annotations

from enum import Enum

import msgspec

DISCONNECTED = 0  # in place of a status: the connection closed before a complete response
TIMED_OUT = -1  # in place of a status: no complete response within the client's timeout


class Kind(Enum):
    """Kind of a request: safe, unsafe (runs at most once), or idempotent by its key."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    KEYED = "idem"


class Call(msgspec.Struct):
    """One attempt of a client and its outcome. Times are in s of the monotonic clock."""

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
    """One run of an attempt at a server. `broke_off`: the server closed the connection without a complete response."""

    attempt: str
    key: str
    seal: str
    body: str
    began_at: float
    broke_off: bool
    is_body_intact: bool = True  # of the request, as far as it was read
    is_early: bool = False  # began before the whole body was read


class ProcessAction(Enum):
    """An event in the life of a process: a start, a signal sent to it, or its exit."""

    START = "start"
    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    THAW = "thaw"
    RELOAD = "reload"
    EXPECTED_EXIT = "end"  # exited after it was told to
    UNEXPECTED_EXIT = "own_end"  # exited on its own


class ProcessEvent(msgspec.Struct):
    """An event of one incarnation of a process."""

    process: str
    incarnation: int
    act: ProcessAction
    at: float
    detail: str = ""
    exit_code: int | None = None  # of an exit; negative: the signal that ended the process


class Change(msgspec.Struct):
    """A configuration change sent by the operator. `outcome`: the final status, or 0 if none was received."""

    version: int
    parent: int
    outcome: int
    ended_at: float


class History(msgspec.Struct):
    """The whole history of one soak test."""

    seed: int
    calls: list[Call] = []
    runs: list[Run] = []
    events: list[ProcessEvent] = []
    changes: list[Change] = []
    final_version: int | None = None
    calm_since: float = float("inf")  # time after which no faults are injected
