"""What a controller keeps on its disk, and the one thread that waits on it, so that the loop never does."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import NamedTuple

from crowseam import logs
from crowseam.consensus.records import DurableState, Record
from crowseam.consensus.voter_selection import assign_identity
from crowseam.settings import Settings
from crowseam.storage.errors import StoreError
from crowseam.storage.records import Member, Note, OperationRow
from crowseam.storage.store import Store

SLOW_WRITE_S = 0.5  # after which a write that is still out is reported
# Keys of notes in the store.
COMPLETE_MEMBERS_KEY = "known/whole"  # the gateways on disk are all that may hold leases
COUNTED_VOTER_KEY = "counted"  # this voter has learned all that the voters before it knew
COUNTED_FOR_OPERATIONS_KEY = "operations/counted"  # the same of keyed operations
ROLE_KEY_PREFIX = "duty/"  # before the key of a role: to whom it was granted last
DATABASE_FILE = "crowseam.db"

StoredRecord = Record | Note | Member | OperationRow
WriteCallback = Callable[[bool], None]


class _Write(NamedTuple):
    """A write, and how many failures were known when it was requested."""

    known_failures: int
    records: Sequence[StoredRecord]
    done: WriteCallback


class DiskWriter:
    """Writes records in the order given; what waits behind one write goes into the next transaction."""

    def __init__(self, loop: asyncio.AbstractEventLoop, store: Store) -> None:
        self.loop = loop
        self.store = store
        self._writes: queue.SimpleQueue[_Write | None] = queue.SimpleQueue()
        self._pending_since: float | None = None  # when the oldest write that is out was requested
        self._pending = 0
        # Writes requested before a failure is known fail with it.
        self._known_failures = 0  # as the loop knows
        self._failures = 0  # as the thread knows
        threading.Thread(target=self._run, daemon=True, name="disk").start()

    def write(self, records: Sequence[StoredRecord], done: WriteCallback) -> None:
        """Call `done(ok)` on the loop once the records are synced, or could not be written."""
        if self._pending == 0:
            self._pending_since = self.loop.time()
        self._pending += 1
        self._writes.put(_Write(self._known_failures, records, done))

    def overdue_s(self) -> float:
        """Return for how many seconds the oldest write has been out beyond what is usual; 0 if none has."""
        waited = 0.0 if self._pending_since is None else self.loop.time() - self._pending_since
        return waited if waited > SLOW_WRITE_S else 0.0

    def close(self) -> None:
        """End the thread once it has written what waits."""
        self._writes.put(None)

    def _run(self) -> None:
        is_closing = False
        while not is_closing:
            batch = [self._writes.get()]
            while not self._writes.empty():
                batch.append(self._writes.get())
            writes = [write for write in batch if write is not None]
            is_closing = len(writes) < len(batch)
            if writes:
                self._write_batch(writes)

    def _write_batch(self, writes: list[_Write]) -> None:
        # What was requested behind a write that failed may rest on it, so it must not be kept either.
        stale = [write for write in writes if write.known_failures < self._failures]
        valid = [write for write in writes if write.known_failures >= self._failures]
        ok = not valid or self._store([record for write in valid for record in write.records])
        if not ok:
            self._failures += 1
        self.loop.call_soon_threadsafe(self._finish, stale, False, 0)
        self.loop.call_soon_threadsafe(self._finish, valid, ok, self._failures)

    def _store(self, records: list[StoredRecord]) -> bool:
        try:
            self.store.write(records)
        except StoreError as error:
            logs.say("disk_write_failed", error=error)
            return False
        return True

    def _finish(self, writes: list[_Write], ok: bool, failures: int) -> None:
        self._known_failures = max(self._known_failures, failures)
        self._pending -= len(writes)
        self._pending_since = self.loop.time() if self._pending else None
        for write in writes:
            write.done(ok)


class ControllerStore:
    """What this controller keeps over restarts, on its disk if it has one.

    `durable` is the voter's part as read back; `writer` is None without a directory for data. `has_counted`: this
    voter had learned what those before it knew. `has_complete_members`: `members` are all that may hold a lease.

    Raises
    ------
    crowseam.storage.errors.StoreError
        If the store can't be opened.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        rng: Random,
        store_type: Callable[[str], Store] = Store,
        writer_type: Callable[[asyncio.AbstractEventLoop, Store], DiskWriter] = DiskWriter,
    ) -> None:
        self.writer: DiskWriter | None = None
        self.has_counted = False
        self.has_counted_for_operations = False
        self.has_complete_members = settings.bootstrap
        self._may_have_forgotten_grants = True
        me = settings.bind.ctl
        if not settings.datadir:
            # A seed without a disk is a founder all the same, until machines with disks have replaced it.
            self.durable = DurableState()
            assign_identity(self.durable, me, settings.seeds, settings.bootstrap, rng)
            return
        store = store_type(str(Path(settings.datadir) / DATABASE_FILE))
        store.open()
        self.durable = durable = store.load()
        notes = store.notes()
        self.has_complete_members = settings.bootstrap or COMPLETE_MEMBERS_KEY in notes
        is_new_disk = durable.id is None or store.was_quarantined
        self._may_have_forgotten_grants = is_new_disk and not settings.bootstrap
        records = assign_identity(durable, me, settings.seeds, settings.bootstrap, rng)
        founder_id = f"genesis/{me}"
        self.has_counted = durable.id in (notes.get(COUNTED_VOTER_KEY, b"").decode(), founder_id)
        operations_id = notes.get(COUNTED_FOR_OPERATIONS_KEY, b"").decode()
        self.has_counted_for_operations = durable.id in (operations_id, founder_id)
        if records:
            store.write(records)
        logs.say(
            "store_opened",
            id=durable.id,
            highest_slot=durable.highest_chosen_slot,
            quarantined=store.was_quarantined,
        )
        self.writer = writer_type(loop, store)

    def notes(self) -> dict[str, bytes]:
        """Return what was kept under keys before the start."""
        return {} if self.writer is None else self.writer.store.notes()

    def members(self) -> set[str]:
        """Return the gateways that may hold a lease, as of before the start."""
        return set() if self.writer is None else set(self.writer.store.members())

    def operations(self) -> list[bytes]:
        """Return the records of keyed operations, as of before the start."""
        return [] if self.writer is None else self.writer.store.operations()

    def granted_roles(self) -> dict[str, str] | None:
        """Return the note of each role that this voter granted; None if its disk has lost that."""
        granted = {
            key.removeprefix(ROLE_KEY_PREFIX): value.decode()
            for key, value in self.notes().items()
            if key.startswith(ROLE_KEY_PREFIX)
        }
        is_known = self.has_complete_members and not self._may_have_forgotten_grants
        return granted if granted or is_known else None

    def write(self, records: Sequence[StoredRecord], done: WriteCallback) -> None:
        """Call `done(ok)` on the loop once the records are synced, or could not be written.

        Without a disk it is called at once: such a controller does not vote, so nothing that others rely on
        depends on what it keeps.
        """
        if self.writer is None:
            done(True)
        else:
            self.writer.write(records, done)

    def overdue_s(self) -> float:
        """Return for how many seconds the oldest write has been out beyond what is usual; 0 if none has."""
        return 0.0 if self.writer is None else self.writer.overdue_s()

    def close(self) -> None:
        """Write what waits, and end."""
        if self.writer is not None:
            self.writer.close()
