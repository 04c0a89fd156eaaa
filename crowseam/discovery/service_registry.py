"""The registry of servers, whose copies can be merged in any order (see `server_record`)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from crowseam.discovery.heartbeat import Heartbeat
from crowseam.discovery.server_record import MS_PER_S, ServerRecord, aged, merge, replicated_fields

FORGET_AFTER_S = 30.0  # of silence, after which a server that never announced its end is dropped
TOMBSTONE_RETENTION_S = 60.0  # how long a server that is gone is remembered
RETIRED_RETENTION_S = 600.0  # of silence, after which a retired server is dropped
_MIN_RETENTION_S = min(FORGET_AFTER_S, TOMBSTONE_RETENTION_S, RETIRED_RETENTION_S)
MAX_REPORT_GAP_S = 5.0  # a longer gap without any report is attributed to this machine
SUCCESSOR_SILENCE_MS = 1000  # of silence of an older server, after which a newer one takes over its address
ADDRESS_TAKEOVER_SILENCE_MS = 10_000  # of silence, after which any reporting server takes over the address


class HeartbeatResult(NamedTuple):
    """The record after a report, and whether the change must be replicated."""

    record: ServerRecord
    is_changed: bool


class HeardReport(NamedTuple):
    """The number of the newest report of a server that any controller has received."""

    id: str
    seq: int


class LeavingServer(NamedTuple):
    """A server that gets no new requests, and for how many seconds this has been known here."""

    record: ServerRecord
    age_s: float


class ServiceCapacity(NamedTuple):
    """Slots of a service: in use after a change, in use now, and of all servers that are not gone."""

    after: int
    before: int
    total: int


class LogPosition(NamedTuple):
    """A position in the change log of the copy of the registry named `incarnation`."""

    incarnation: str
    number: int


class _Entry:
    """A stored record. Times are monotonic seconds.

    `copied_at` is when the copy was made, `heard_seq` the highest `seq` that any controller has received, and
    `was_relayed` whether that was learned from another copy. `leaving_since` is since when, as known here, the server
    gets no new requests.
    """

    __slots__ = ("copied_at", "heard_at", "heard_seq", "leaving_since", "record", "was_relayed")

    def __init__(self, record: ServerRecord, now: float) -> None:
        self.record = record
        self.copied_at = now
        self.heard_seq = record.seq
        self.heard_at = now
        self.was_relayed = True
        self.leaving_since: float | None = None

    def as_of(self, now: float) -> ServerRecord:
        return aged(self.record, now - self.copied_at)

    def silence_s(self, now: float) -> float:
        return self.record.quiet / MS_PER_S + (now - self.copied_at)

    def set_heard(self, seq: int, heard_at: float, was_relayed: bool) -> None:
        self.heard_seq = seq
        self.heard_at = heard_at
        self.was_relayed = was_relayed


class _Forgotten(NamedTuple):
    record: ServerRecord
    forgotten_at: float


class ServiceRegistry:
    """One copy of the registry of servers, with a log of its changes.

    `incarnation` names this copy: log positions are valid only within one incarnation. `version` increases with every
    change that affects digests.
    """

    def __init__(self, incarnation: str, now: float = 0.0) -> None:
        self.incarnation = incarnation
        self.version = 0
        self._entries: dict[str, _Entry] = {}
        self._servers_at_address: dict[str, set[str]] = {}
        self._change_numbers: dict[str, int] = {}  # id -> number of its latest change, in increasing order
        self._forgotten: dict[str, _Forgotten] = {}  # still reported to sessions as gone
        self._last_number = 0
        self._pruned_number = 0  # changes up to this number are no longer listed
        self._listening_since = now  # since when reports have arrived without a long gap
        self._last_heard_at = now

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ident: str) -> bool:
        return ident in self._entries

    @property
    def position(self) -> LogPosition:
        """The position of the latest change."""
        return LogPosition(self.incarnation, self._last_number)

    # Reports of servers and changes by the operator

    def record_heartbeat(self, ident: str, heartbeat: Heartbeat, now: float) -> HeartbeatResult:
        """Apply a server's report. Late reports, and reports of a server that is gone, are ignored."""
        self._note_listening(now)
        reported = ServerRecord(
            ident,
            heartbeat.svc,
            heartbeat.addr,
            heartbeat.az,
            heartbeat.ver,
            heartbeat.slots,
            heartbeat.phase,
            heartbeat.seq,
            heartbeat.warm,
        )
        entry = self._entries.get(ident)
        if entry is None:
            entry, is_changed = self._put(ident, reported, now), True
            entry.was_relayed = False
        elif entry.record.phase == "gone" or heartbeat.seq < entry.record.seq:
            return HeartbeatResult(entry.as_of(now), False)
        else:
            is_changed = self._merge_report(entry, reported, now)
        self._end_predecessors(entry.record, now)
        return HeartbeatResult(entry.record, is_changed)

    def _merge_report(self, entry: _Entry, reported: ServerRecord, now: float) -> bool:
        before = entry.as_of(now)
        is_late = reported.seq <= entry.heard_seq
        if is_late:  # another copy has received a newer one, of which only the number is known here
            reported = msgspec.structs.replace(reported, quiet=before.quiet)
        merged = merge(before, reported)
        is_changed = replicated_fields(merged) != replicated_fields(before)
        if is_changed:
            self._put(reported.id, merged, now)
        else:
            entry.record = merged
            entry.copied_at = now
        if not is_late:
            entry.set_heard(reported.seq, now, was_relayed=False)
        return is_changed

    def leave(self, ident: str, now: float) -> ServerRecord:
        """Mark a server as gone, at its own request or because it has ended. It never returns under this id."""
        entry = self._entries.get(ident)
        if entry is not None and entry.record.phase == "gone":
            return entry.as_of(now)
        before = entry.as_of(now) if entry is not None else ServerRecord(ident)
        return self._put(ident, msgspec.structs.replace(before, phase="gone", quiet=0), now).record

    def retire(self, idents: Iterable[str], is_retired: bool, now: float) -> list[ServerRecord]:
        """Retire servers for the operator, or restore them. Returns the records that changed."""
        changed = []
        for ident in idents:
            entry = self._entries.get(ident)
            if entry is None or entry.record.phase == "gone" or entry.record.is_retired == is_retired:
                continue
            record = entry.as_of(now)
            record = msgspec.structs.replace(record, retired=record.retired + 1)
            changed.append(self._put(ident, record, now).record)
        return changed

    def capacity(
        self, idents: Iterable[str], is_retired: bool, silent: Iterable[str] = ()
    ) -> dict[str, ServiceCapacity]:
        """Return the capacity of the services of these servers, before and after they are retired or restored.

        The total includes leaving servers except those that are gone; in use are servers that get new requests and
        are not among the `silent`.
        """
        chosen, silent_ids = set(idents), set(silent)
        services = sorted({self._entries[ident].record.svc for ident in chosen if ident in self._entries})
        after, before, total = (dict.fromkeys(services, 0) for _ in range(3))
        for ident, entry in self._entries.items():
            record = entry.record
            if record.svc not in total or record.phase == "gone":
                continue
            total[record.svc] += record.slots
            if record.phase == "up" and ident not in silent_ids:
                before[record.svc] += 0 if record.is_retired else record.slots
                will_be_retired = is_retired if ident in chosen else record.is_retired
                after[record.svc] += 0 if will_be_retired else record.slots
        return {service: ServiceCapacity(after[service], before[service], total[service]) for service in services}

    def leaving(self, now: float) -> list[LeavingServer]:
        """Return the servers that get no new requests, except those that are gone."""
        return [
            LeavingServer(entry.as_of(now), now - entry.leaving_since)
            for _, entry in sorted(self._entries.items())
            if entry.leaving_since is not None and entry.record.phase != "gone"
        ]

    def matching(self, **fields: str) -> list[str]:
        """Return the ids of servers, not gone, whose fields (svc, addr, az, ver, id, phase) have the given values."""
        return sorted(
            ident
            for ident, entry in self._entries.items()
            if entry.record.phase != "gone"
            and all(getattr(entry.record, name) == value for name, value in fields.items())
        )

    # Updates from other copies

    def merge(self, record: ServerRecord, now: float) -> bool:
        """Merge another copy's record, and return whether sessions here must be told about a change."""
        entry = self._entries.get(record.id)
        if entry is None:
            if record.silence_s >= _retention_s(record):
                return False  # the other copy is about to drop it too; adding it again would keep it forever
            self._put(record.id, record, now)
            return True
        before = entry.as_of(now)
        merged = merge(before, record)
        if replicated_fields(merged) != replicated_fields(before):
            self._put(record.id, merged, now)
            return True
        entry.record = merged
        entry.copied_at = now
        if record.seq > entry.heard_seq:
            entry.set_heard(record.seq, now - record.silence_s, was_relayed=True)
        return False

    def _record_relayed(self, ident: str, seq: int, now: float) -> bool:
        """Record that another copy has received report `seq` of a server. False if the server is unknown here."""
        entry = self._entries.get(ident)
        if entry is None:
            return False
        # Only a higher number is new: an echo of what this copy has sent must not keep a dead server alive.
        if seq > entry.heard_seq and entry.record.phase != "gone":
            self._note_listening(now)
            entry.record = msgspec.structs.replace(entry.as_of(now), quiet=0)
            entry.copied_at = now
            entry.set_heard(seq, now, was_relayed=True)
        return True

    def heard_since(self, moment: float, include_relayed: bool = False) -> list[HeardReport]:
        """Return the servers that reported after `moment`: to this copy, or with `include_relayed` to any copy."""
        return [
            HeardReport(ident, entry.heard_seq)
            for ident, entry in self._entries.items()
            if entry.heard_at > moment and (include_relayed or not entry.was_relayed) and entry.record.phase != "gone"
        ]

    def apply_heard(self, reports: Iterable[tuple[str, int]], now: float) -> list[str]:
        """Apply another copy's `heard_since`. Returns the ids that are unknown here."""
        return [ident for ident, seq in reports if not self._record_relayed(ident, seq, now)]

    # Time

    def silent(self, now: float, after_s: float) -> list[str]:
        """Return the servers, not gone, for which no copy has received a heartbeat for `after_s`."""
        return sorted(
            ident
            for ident, entry in self._entries.items()
            if entry.record.phase != "gone" and entry.silence_s(now) >= after_s
        )

    def expire(self, now: float) -> list[str]:
        """Drop old tombstones and silent servers; returns the ids of the latter.

        While this copy receives no reports at all, or has only just begun to, the silence of a server proves nothing.
        """
        is_quiet = now - self._last_heard_at > MAX_REPORT_GAP_S
        is_listening = not is_quiet and now - self._listening_since >= FORGET_AFTER_S
        forgotten = []
        for ident, entry in list(self._entries.items()):
            record = entry.record
            silence_s = entry.silence_s(now)
            if silence_s < _MIN_RETENTION_S or silence_s < _retention_s(record):
                continue
            if record.phase == "gone":
                self._drop(ident)
                self._pruned_number = max(self._pruned_number, self._change_numbers.pop(ident))
            elif is_listening:
                self._drop(ident)
                tombstone = msgspec.structs.replace(entry.as_of(now), phase="gone")
                self._forgotten[ident] = _Forgotten(tombstone, now)
                self._log_change(ident)
                forgotten.append(ident)
        for ident, old in list(self._forgotten.items()):
            if now - old.forgotten_at >= TOMBSTONE_RETENTION_S:
                del self._forgotten[ident]
                self._pruned_number = max(self._pruned_number, self._change_numbers.pop(ident))
        return forgotten

    # Queries

    def get(self, ident: str, now: float) -> ServerRecord | None:
        """Return one record, gone or not."""
        entry = self._entries.get(ident)
        return None if entry is None else entry.as_of(now)

    def records(self, now: float) -> list[ServerRecord]:
        """Return all records, including tombstones."""
        return [entry.as_of(now) for entry in self._entries.values()]

    def snapshot(self, now: float) -> list[ServerRecord]:
        """Return all servers that are not gone; it represents the state at `position`."""
        return [entry.as_of(now) for entry in self._entries.values() if entry.record.phase != "gone"]

    def changes_since(self, incarnation: str, number: int, now: float) -> list[ServerRecord] | None:
        """Return the records changed after this position, oldest first; None if it is of another copy or too old.

        A session replaces its record of each server; a server that was dropped is reported as gone.
        """
        if incarnation != self.incarnation or not self._pruned_number <= number <= self._last_number:
            return None
        found = []
        for ident in reversed(self._change_numbers):
            if self._change_numbers[ident] <= number:
                break
            entry = self._entries.get(ident)
            found.append(entry.as_of(now) if entry is not None else self._forgotten[ident].record)
        found.reverse()
        return found

    def service_of(self, ident: str) -> str | None:
        """Return the service of a usable server; None if there is no such server."""
        entry = self._entries.get(ident)
        return entry.record.svc if entry is not None and entry.record.usable else None

    def size_of(self, service: str) -> int:
        """Return the number of usable servers of a service."""
        return sum(entry.record.svc == service and entry.record.usable for entry in self._entries.values())

    # Changes

    def _note_listening(self, now: float) -> None:
        if now - self._last_heard_at > MAX_REPORT_GAP_S:
            self._listening_since = now
        self._last_heard_at = now

    def _put(self, ident: str, record: ServerRecord, now: float) -> _Entry:
        entry = self._entries.get(ident)
        if entry is None:
            entry = self._entries[ident] = _Entry(record, now)
            entry.heard_at = now - record.silence_s
            self._forgotten.pop(ident, None)
        else:
            self._servers_at_address.get(entry.record.addr, set()).discard(ident)
            entry.record = record
            entry.copied_at = now
            if record.seq > entry.heard_seq:
                entry.set_heard(record.seq, now - record.silence_s, was_relayed=True)
        if record.usable:
            entry.leaving_since = None
        elif entry.leaving_since is None:
            entry.leaving_since = now
        self._servers_at_address.setdefault(record.addr, set()).add(ident)
        self._log_change(ident)
        return entry

    def _drop(self, ident: str) -> None:
        entry = self._entries.pop(ident)
        servers_here = self._servers_at_address.get(entry.record.addr)
        if servers_here is not None:
            servers_here.discard(ident)
            if not servers_here:
                del self._servers_at_address[entry.record.addr]
        self.version += 1

    def _log_change(self, ident: str) -> None:
        self._last_number += 1
        self.version += 1
        self._change_numbers.pop(ident, None)
        self._change_numbers[ident] = self._last_number

    def _end_predecessors(self, record: ServerRecord, now: float) -> None:
        """Mark other servers at the address of this report as gone, because addresses are reused."""
        servers_here = self._servers_at_address.get(record.addr, set())
        for ident in sorted(servers_here - {record.id}):
            other = self._entries[ident].as_of(now)
            if other.phase == "gone":
                continue
            # A delayed report may come from a server that has ended already, hence both conditions.
            is_successor = other.born > record.born and other.quiet >= SUCCESSOR_SILENCE_MS
            if is_successor or other.quiet >= ADDRESS_TAKEOVER_SILENCE_MS:
                self.leave(ident, now)


def _retention_s(record: ServerRecord) -> float:
    """Return after how much silence a record is dropped."""
    if record.phase == "gone":
        return TOMBSTONE_RETENTION_S
    return RETIRED_RETENTION_S if record.is_retired else FORGET_AFTER_S
