"""Keeps a gateway from forgetting that servers are leaving.

A gateway may switch from a controller that knows of a retirement to one that does not know it yet. It therefore
remembers the leaving servers that it was told about, and ignores older information.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

import msgspec

from crowseam.discovery.server_record import ServerRecord, later_phase
from crowseam.discovery.service_registry import FORGET_AFTER_S, RETIRED_RETENTION_S, TOMBSTONE_RETENTION_S

MIN_REPORT_AFTER_END_S = 1.0  # a report this long after its end proves that a server had not ended
SWEEP_INTERVAL_S = 10.0


class _KnownServer(NamedTuple):
    record: ServerRecord
    received_at: float


class LeavingServers:
    """Leaving servers as reported to a gateway; outlives the gateway's sessions."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownServer] = {}
        self._swept_at = -inf

    def __len__(self) -> int:
        return len(self._known)

    def apply(self, records: Iterable[ServerRecord], is_complete: bool, now: float) -> list[ServerRecord]:
        """Merge a controller's records (all, or those changed) with what is known, and return the result."""
        corrected = [self._merge_known(record, now) for record in records]
        if is_complete or now - self._swept_at >= SWEEP_INTERVAL_S:
            self._sweep({record.id for record in corrected} if is_complete else None, now)
        return corrected

    def _sweep(self, listed_ids: set[str] | None, now: float) -> None:
        """Drop what is no longer needed; `listed_ids` are all servers of a controller that sent a complete list."""
        self._swept_at = now
        for ident, known in list(self._known.items()):
            # A server that is missing from the list may be unknown to that controller, so it is kept for a while.
            is_gone = known.record.phase == "gone"
            retention_s = TOMBSTONE_RETENTION_S if is_gone else RETIRED_RETENTION_S
            is_unlisted = listed_ids is not None and ident not in listed_ids
            if now - known.received_at > retention_s and (is_gone or is_unlisted):
                del self._known[ident]

    def _merge_known(self, record: ServerRecord, now: float) -> ServerRecord:
        known = self._known.get(record.id)
        if known is not None:
            phase = known.record.phase
            if _was_wrongly_declared_gone(known, record, now):
                phase = "up"
            record = msgspec.structs.replace(
                record,
                phase=later_phase(phase, record.phase),
                retired=max(known.record.retired, record.retired),
            )
        if not record.must_be_remembered:
            self._known.pop(record.id, None)
        elif known is None or (known.record.phase, known.record.retired) != (record.phase, record.retired):
            self._known[record.id] = _KnownServer(record, now)
        return record


def _was_wrongly_declared_gone(known: _KnownServer, record: ServerRecord, now: float) -> bool:
    """Return whether a server was only presumed dead, and has reported since.

    A server that announced its own end never returns. A controller that was suspended may still read an old heartbeat
    of it and take that for a new one. Only a server that was dropped because of its silence can turn out to be alive.
    """
    if known.record.phase != "gone" or record.phase == "gone" or known.record.silence_s < FORGET_AFTER_S:
        return False
    ended_at = known.received_at - known.record.silence_s
    return now - record.silence_s > ended_at + MIN_REPORT_AFTER_END_S
