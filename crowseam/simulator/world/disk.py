"""A disk in memory: what is synced lasts, what is not may be lost, and the disk may be slow, full or gone."""

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

SYNC = 0.002  # s that a sync takes
SLOW = 0.5  # s after which a pending write counts as stuck
BATCH_MOST = 4096  # records in one transaction


class DiskImage:
    """What a machine's disk holds, whatever becomes of the processes on it."""

    def __init__(self, rng: Random, sync: float = SYNC) -> None:
        self.rng, self.sync = rng, sync
        self.slow = 1.0  # how many times slower than usual
        self.hangs_until = 0.0  # world time
        self.full = False
        self.syncs = 0
        self.wipe()

    def wipe(self) -> None:
        """The disk is lost; an empty one is in its place."""
        self.identity: dict[str, object] = {}
        self.promises: dict[int, object] = {}
        self.votes: dict[int, tuple] = {}
        self.chosen: dict[int, object] = {}
        self.saved: SnapshotRecord | None = None
        self.notes: dict[str, bytes] = {}
        self.members: dict[str, bytes] = {}
        self.operations: dict[str, bytes] = {}

    def keep(self, records: Iterable[object]) -> None:
        """Take in one transaction, which is synced from now on."""
        for record in records:
            self._keep(record)

    def _keep(self, record: object) -> None:
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
                self._raise_floor(slot)
            case SnapshotRecord(slot=slot, first_kept_slot=keep):
                self.saved = record
                self.chosen = {at: entry for at, entry in self.chosen.items() if at >= keep}
                self.promises = {at: ballot for at, ballot in self.promises.items() if at > slot}
                self.votes = {at: vote for at, vote in self.votes.items() if at > slot}
                self._raise_floor(slot)
            case Note(key=key, value=value):
                _set(self.notes, key, value)
            case Member(name=name, value=value):
                _set(self.members, name, value)
            case OperationRow(key=key, value=value):
                _set(self.operations, key, value)
            case _:
                raise TypeError(f"no record: {record!r}")

    def _raise_floor(self, slot: int) -> None:
        self.identity["floor"] = max(slot, self.identity.get("floor", 0))

    def durable(self) -> DurableState:
        """What a voter reads back after a start."""
        durable = DurableState(
            id=self.identity.get("id"),
            highest_chosen_slot=self.identity.get("floor", 0),
            snapshot=self.saved,
            chosen=dict(sorted(self.chosen.items())),
        )
        for slot, ballot in sorted(self.promises.items()):
            durable.votes[slot] = SlotVote(promised=ballot)
        for slot, (ballot, entry) in sorted(self.votes.items()):
            promised = durable.votes.get(slot, SlotVote()).promised
            durable.votes[slot] = SlotVote(ballot if promised is None else max(ballot, promised), ballot, entry)
        return durable


def _set(values: dict[str, bytes], key: str, value: bytes | None) -> None:
    if value is None:
        values.pop(key, None)
    else:
        values[key] = value


class MemoryStore:
    """`crowseam.storage.store.Store` over a disk image. Writing before the start of the loop takes no time."""

    was_quarantined = False

    def __init__(self, disk_image: DiskImage) -> None:
        self.disk_image = disk_image

    def open(self) -> None:
        """Open the store. Raises StoreError where the disk is full."""
        if self.disk_image.full:
            raise StoreError("the disk is full")

    def load(self) -> DurableState:
        """What a voter reads back after a start."""
        return self.disk_image.durable()

    def write(self, records: Iterable[object]) -> None:
        """Write records in one transaction. Raises StoreError where the disk is full."""
        if self.disk_image.full:
            raise StoreError("the disk is full")
        self.disk_image.keep(records)

    def notes(self) -> dict[str, bytes]:
        """The notes that are kept, by key."""
        return dict(self.disk_image.notes)

    def members(self) -> dict[str, bytes]:
        """The members that are kept, by name."""
        return dict(self.disk_image.members)

    def operations(self) -> list[bytes]:
        """The records of keyed operations that are kept."""
        return list(self.disk_image.operations.values())

    def close(self) -> None:
        """Nothing is to be closed."""
        pass


class MemoryDisk:
    """`crowseam.controller.durable_state.DiskWriter` on the virtual clock: one transaction at a time, synced later."""

    def __init__(self, loop: ProcessLoop, store: MemoryStore) -> None:
        self.loop, self.store, self.disk_image = loop, store, store.disk_image
        self.waiting: list[tuple[list, Callable[[bool], None]]] = []
        self.under_way: list[tuple[list, Callable[[bool], None]]] = []
        self.since: float | None = None
        self.open = True

    @property
    def out(self) -> int:
        """Writes that wait or are under way."""
        return len(self.waiting) + len(self.under_way)

    def write(self, records: list, done: Callable[[bool], None]) -> None:
        """`done(ok)` is called on the loop once the records are synced, or could not be written."""
        if not self.out:
            self.since = self.loop.time()
        self.waiting.append((records, done))
        if not self.under_way:
            self._begin()

    def _begin(self) -> None:
        world, disk_image = self.loop.world, self.disk_image
        self.under_way, self.waiting = self.waiting[:BATCH_MOST], self.waiting[BATCH_MOST:]
        duration = disk_image.sync * disk_image.slow * (0.8 + 0.4 * disk_image.rng.random())
        world.at(max(world.now, disk_image.hangs_until) + duration, world.outside, self._synced)

    def _synced(self) -> None:
        if not self.under_way:
            return
        ok = not self.disk_image.full
        if ok:
            self.disk_image.syncs += 1
            self.disk_image.keep([record for records, _ in self.under_way for record in records])
        jobs, self.under_way = self.under_way, []
        self.loop.call_soon(self._done, jobs, ok)
        if self.waiting:
            self._begin()

    def _done(self, jobs: list, ok: bool) -> None:
        self.since = self.loop.time() if self.out else None
        for _, done in jobs:
            done(ok)

    def cut_short(self) -> None:
        """The process or the power is gone: what was under way is on the disk whole, or not at all."""
        if self.under_way and not self.disk_image.full and self.disk_image.rng.random() < 0.5:
            self.disk_image.keep([record for records, _ in self.under_way for record in records])
        self.under_way, self.waiting = [], []

    def overdue_s(self) -> float:
        """Seconds that the oldest write has been out beyond what is usual; 0 if none has."""
        late = 0.0 if self.since is None else self.loop.time() - self.since
        return late if late > SLOW else 0.0

    def close(self) -> None:
        """No more is written."""
        self.open = False
