"""Simulated disk: synced records survive crashes, others may be lost; it may be slow, hang, be full or be wiped."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from crowseam.consensus.records import (
    ChosenRecord,
    DurableState,
    IdentityRecord,
    PromiseRecord,
    SlotVote,
    SnapshotRecord,
    VoteRecord,
)
from crowseam.simulator.world.loop import ProcessLoop
from crowseam.storage.errors import StoreError
from crowseam.storage.records import Member, Note, OperationRow

SYNC_S = 0.002  # duration of a sync
SLOW_WRITE_S = 0.5  # after which a pending write counts as overdue
MAX_BATCH_RECORDS = 4096  # in one transaction


class DiskImage:
    """Persistent content of a machine's disk, which outlives its processes."""

    def __init__(self, rng: Random, sync_s: float = SYNC_S) -> None:
        self.rng, self.sync_s = rng, sync_s
        self.slow = 1.0  # factor on the duration of a sync
        self.hangs_until = 0.0  # virtual time, in s
        self.full = False
        self.syncs = 0
        self.wipe()

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.identity: dict[str, object] = {}
        self.promises: dict[int, object] = {}
        self.votes: dict[int, tuple] = {}
        self.chosen: dict[int, object] = {}
        self.snapshot: SnapshotRecord | None = None
        self.notes: dict[str, bytes] = {}
        self.members: dict[str, bytes] = {}
        self.operations: dict[str, bytes] = {}

    def commit(self, records: Iterable[object]) -> None:
        """Persist the records of one transaction."""
        for record in records:
            self._apply(record)

    def _apply(self, record: object) -> None:
        match record:
            case IdentityRecord(id=name):
                self.identity["id"] = name
            case PromiseRecord(slot=slot, ballot=ballot):
                self.promises[slot] = ballot
            case VoteRecord(slot=slot, ballot=ballot, entry=entry):
                self.votes[slot] = (ballot, entry)
                self.promises[slot] = ballot
            case ChosenRecord(slot=slot, entry=entry):
                self.chosen[slot] = entry
                self.promises.pop(slot, None)
                self.votes.pop(slot, None)
                self._raise_highest_chosen_slot(slot)
            case SnapshotRecord(slot=slot, first_kept_slot=first_kept_slot):
                self.snapshot = record
                self.chosen = {at: entry for at, entry in self.chosen.items() if at >= first_kept_slot}
                self.promises = {at: ballot for at, ballot in self.promises.items() if at > slot}
                self.votes = {at: vote for at, vote in self.votes.items() if at > slot}
                self._raise_highest_chosen_slot(slot)
            case Note(key=key, value=value):
                _set(self.notes, key, value)
            case Member(name=name, value=value):
                _set(self.members, name, value)
            case OperationRow(key=key, value=value):
                _set(self.operations, key, value)
            case _:
                raise TypeError(f"no record: {record!r}")

    def _raise_highest_chosen_slot(self, slot: int) -> None:
        self.identity["floor"] = max(slot, self.identity.get("floor", 0))

    def durable_state(self) -> DurableState:
        """State that a voter restores after a restart."""
        durable_state = DurableState(
            id=self.identity.get("id"),
            highest_chosen_slot=self.identity.get("floor", 0),
            snapshot=self.snapshot,
            chosen=dict(sorted(self.chosen.items())),
        )
        for slot, ballot in sorted(self.promises.items()):
            durable_state.votes[slot] = SlotVote(promised=ballot)
        for slot, (ballot, entry) in sorted(self.votes.items()):
            promised = durable_state.votes.get(slot, SlotVote()).promised
            durable_state.votes[slot] = SlotVote(ballot if promised is None else max(ballot, promised), ballot, entry)
        return durable_state


def _set(values: dict[str, bytes], key: str, value: bytes | None) -> None:
    if value is None:
        values.pop(key, None)
    else:
        values[key] = value


class MemoryStore:
    """Replacement for `crowseam.storage.store.Store` on a disk image; `write` persists at once."""

    was_quarantined = False

    def __init__(self, disk_image: DiskImage) -> None:
        self.disk_image = disk_image

    def open(self) -> None:
        """Open the store. Raises StoreError if the disk is full."""
        if self.disk_image.full:
            raise StoreError("the disk is full")

    def load(self) -> DurableState:
        """State that a voter restores after a restart."""
        return self.disk_image.durable_state()

    def write(self, records: Iterable[object]) -> None:
        """Write records in one transaction. Raises StoreError if the disk is full."""
        if self.disk_image.full:
            raise StoreError("the disk is full")
        self.disk_image.commit(records)

    def notes(self) -> dict[str, bytes]:
        """Stored notes, by key."""
        return dict(self.disk_image.notes)

    def members(self) -> dict[str, bytes]:
        """Stored members, by name."""
        return dict(self.disk_image.members)

    def operations(self) -> list[bytes]:
        """Stored records of keyed operations."""
        return list(self.disk_image.operations.values())

    def close(self) -> None:
        """Do nothing: there is no file to close."""
        pass


class MemoryDisk:
    """Replacement for `crowseam.controller.durable_state.DiskWriter` on virtual time: one batch is synced at a time."""

    def __init__(self, loop: ProcessLoop, store: MemoryStore) -> None:
        self.loop, self.store, self.disk_image = loop, store, store.disk_image
        self.queued: list[tuple[list, Callable[[bool], None]]] = []
        self.in_flight: list[tuple[list, Callable[[bool], None]]] = []
        self.pending_since: float | None = None
        self.open = True

    @property
    def pending_count(self) -> int:
        """Number of writes that are queued or in flight."""
        return len(self.queued) + len(self.in_flight)

    def write(self, records: list, done: Callable[[bool], None]) -> None:
        """Write records; `done(ok)` is called on the loop once they are synced or the write has failed."""
        if not self.pending_count:
            self.pending_since = self.loop.time()
        self.queued.append((records, done))
        if not self.in_flight:
            self._start_batch()

    def _start_batch(self) -> None:
        world, disk_image = self.loop.world, self.disk_image
        self.in_flight, self.queued = self.queued[:MAX_BATCH_RECORDS], self.queued[MAX_BATCH_RECORDS:]
        duration = disk_image.sync_s * disk_image.slow * (0.8 + 0.4 * disk_image.rng.random())
        world.schedule(max(world.now, disk_image.hangs_until) + duration, world.environment, self._finish_sync)

    def _finish_sync(self) -> None:
        if not self.in_flight:
            return
        ok = not self.disk_image.full
        if ok:
            self.disk_image.syncs += 1
            self.disk_image.commit([record for records, _ in self.in_flight for record in records])
        writes, self.in_flight = self.in_flight, []
        self.loop.call_soon(self._notify, writes, ok)
        if self.queued:
            self._start_batch()

    def _notify(self, writes: list, ok: bool) -> None:
        self.pending_since = self.loop.time() if self.pending_count else None
        for _, done in writes:
            done(ok)

    def crash(self) -> None:
        """Drop pending writes after a crash; the batch in flight is persisted either completely or not at all."""
        if self.in_flight and not self.disk_image.full and self.disk_image.rng.random() < 0.5:
            self.disk_image.commit([record for records, _ in self.in_flight for record in records])
        self.in_flight, self.queued = [], []

    def overdue_s(self) -> float:
        """Age in s of the oldest pending write if it exceeds SLOW_WRITE_S, else 0."""
        overdue = 0.0 if self.pending_since is None else self.loop.time() - self.pending_since
        return overdue if overdue > SLOW_WRITE_S else 0.0

    def close(self) -> None:
        """Mark the writer as closed."""
        self.open = False
