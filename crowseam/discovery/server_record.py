"""A server's record: groups of fields that merge independently, so that copies can be merged in any order.

The phase only moves towards `gone`, the description follows the higher `seq`, the operator's retirement the higher
epoch. Times are sent as ages because the monotonic clocks of two machines are not comparable; each copy tracks them
by its own clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec

Phase = Literal["up", "draining", "gone"]
PHASE_ORDER: dict[str, int] = {"up": 0, "draining": 1, "gone": 2}
MS_PER_S = 1000


class ServerRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one incarnation of a server. Fields have the names of the control API.

    `svc` is its service, `addr` its address, `az` its zone, `ver` its software version, `slots` how many requests it
    processes concurrently, `seq` the number of its newest report. `warm` (remaining ms of its slow start), `born` (ms
    since its first report) and `quiet` (ms since its last report, or since it was gone) are ages as of when this copy
    was made. `retired` counts the operator's changes: odd while the server is retired.
    """

    id: str
    svc: str = ""
    addr: str = ""
    az: str = ""
    ver: str = ""
    slots: int = 0
    phase: Phase = "up"
    seq: int = 0
    warm: int = 0
    retired: int = 0
    born: int = 0
    quiet: int = 0

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to it."""
        return self.phase == "up" and not self.is_retired

    @property
    def is_retired(self) -> bool:
        """Whether an operator has taken it out of service."""
        return self.retired % 2 == 1

    @property
    def must_be_remembered(self) -> bool:
        """Whether the record contains state that must not be lost: draining, gone, or changed by an operator."""
        return self.phase != "up" or self.retired > 0

    @property
    def silence_s(self) -> float:
        """Seconds since its last report, or since it was gone."""
        return self.quiet / MS_PER_S


class ReplicatedFields(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The fields of a record whose changes are replicated."""

    id: str
    svc: str
    addr: str
    az: str
    ver: str
    slots: int
    phase: Phase
    retired: int


def replicated_fields(record: ServerRecord) -> ReplicatedFields:
    """Return the fields of a record whose changes are replicated."""
    return ReplicatedFields(
        record.id, record.svc, record.addr, record.az, record.ver, record.slots, record.phase, record.retired
    )


def _description(record: ServerRecord) -> tuple[int, str, str, str, str, int]:
    return (record.seq, record.svc, record.addr, record.az, record.ver, record.slots)


def later_phase(one: Phase, other: Phase) -> Phase:
    """Return the later of two phases of a server's life cycle."""
    return max(one, other, key=PHASE_ORDER.__getitem__)


def merge(one: ServerRecord, other: ServerRecord) -> ServerRecord:
    """Merge two copies of a record taken at the same moment. Commutative, associative and idempotent."""
    newer = max(one, other, key=_description)
    if (one.phase == "gone") == (other.phase == "gone"):
        quiet = min(one.quiet, other.quiet)
    else:  # the age of a tombstone counts from the end, not from earlier reports
        quiet = one.quiet if one.phase == "gone" else other.quiet
    return ServerRecord(
        id=newer.id,
        svc=newer.svc,
        addr=newer.addr,
        az=newer.az,
        ver=newer.ver,
        slots=newer.slots,
        phase=later_phase(one.phase, other.phase),
        seq=newer.seq,
        # The end of a slow start is never postponed: some servers report the remaining time, others always the total.
        warm=min(one.warm, other.warm),
        retired=max(one.retired, other.retired),
        born=max(one.born, other.born),
        quiet=quiet,
    )


def aged(record: ServerRecord, seconds: float) -> ServerRecord:
    """Return the record as it is `seconds` later."""
    ms = int(seconds * MS_PER_S)
    if ms <= 0:
        return record
    return msgspec.structs.replace(
        record, warm=max(0, record.warm - ms), born=record.born + ms, quiet=record.quiet + ms
    )
