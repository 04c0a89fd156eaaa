"""The durable state of a controller, and the writer thread that keeps disk writes off the event loop."""

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

SLOW_WRITE_S = 0.5  # age of a pending write above which it is reported as overdue
# Keys of notes in the store.
COMPLETE_MEMBERS_KEY = "known/whole"  # the gateways on disk are all those that may hold leases
CAUGHT_UP_VOTER_KEY = "counted"  # id under which this voter has caught up (see `majority_catch_up`)
CAUGHT_UP_ON_OPERATIONS_KEY = "operations/counted"  # the same for keyed operations
ROLE_KEY_PREFIX = "duty/"  # followed by the key of a role: its last grant
DATABASE_FILE = "crowseam.db"

StoredRecord = Record | Note | Member | OperationRow
WriteCallback = Callable[[bool], None]


class _Write(NamedTuple):
    """A write, and the number of failed batches known when it was requested."""

    known_failures: int
    records: Sequence[StoredRecord]
    done: WriteCallback


class DiskWriter:
    """Writes records in order, in a thread. Writes that arrive during a transaction are batched into the next one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, store: Store) -> None:
        self.loop = loop
        self.store = store
        self._writes: queue.SimpleQueue[_Write | None] = queue.SimpleQueue()
        self._pending_since: float | None = None  # when the oldest pending write was requested
        self._pending = 0
        # A write that was requested before the event loop knew of a failure fails too.
        self._known_failures = 0  # as seen by the event loop
        self._failures = 0  # as seen by the thread
        threading.Thread(target=self._run, daemon=True, name="disk").start()

    def write(self, records: Sequence[StoredRecord], done: WriteCallback) -> None:
        """Call `done(ok)` on the loop once the records are synced, or could not be written."""
        if self._pending == 0:
            self._pending_since = self.loop.time()
        self._pending += 1
        self._writes.put(_Write(self._known_failures, records, done))

    def overdue_s(self) -> float:
        """Return the age of the oldest pending write, or 0 if it is not overdue."""
        waited = 0.0 if self._pending_since is None else self.loop.time() - self._pending_since
        return waited if waited > SLOW_WRITE_S else 0.0

    def close(self) -> None:
        """End the thread after the pending writes."""
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
        # A write requested after a failed one may depend on it, so it must not be stored.
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
            logs.emit("disk_write_failed", error=error)
            return False
        return True

    def _finish(self, writes: list[_Write], ok: bool, failures: int) -> None:
        self._known_failures = max(self._known_failures, failures)
        self._pending -= len(writes)
        self._pending_since = self.loop.time() if self._pending else None
        for write in writes:
            write.done(ok)


class ControllerStore:
    """The state of this controller that survives restarts, if it has a disk.

    `durable` is the consensus state as of the start; `writer` is None without a data directory. `was_caught_up`: this
    voter was caught up before the start. `has_complete_members`: `members` are all gateways that may hold a lease.

    Raises
    ------
    crowseam.storage.errors.StoreError
        If the store cannot be opened.
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
        self.was_caught_up = False
        self.was_caught_up_on_operations = False
        self.has_complete_members = settings.bootstrap
        self._may_have_forgotten_grants = True
        me = settings.bind.ctl
        if not settings.datadir:
            # A seed without a disk is a founding voter too, until controllers with disks have replaced it.
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
        self.was_caught_up = durable.id in (notes.get(CAUGHT_UP_VOTER_KEY, b"").decode(), founder_id)
        operations_id = notes.get(CAUGHT_UP_ON_OPERATIONS_KEY, b"").decode()
        self.was_caught_up_on_operations = durable.id in (operations_id, founder_id)
        if records:
            store.write(records)
        logs.emit(
            "store_opened",
            id=durable.id,
            highest_slot=durable.highest_chosen_slot,
            quarantined=store.was_quarantined,
        )
        self.writer = writer_type(loop, store)

    def notes(self) -> dict[str, bytes]:
        """Return the notes stored before the start, by key."""
        return {} if self.writer is None else self.writer.store.notes()

    def members(self) -> set[str]:
        """Return the gateways that may hold a lease, as stored before the start."""
        return set() if self.writer is None else set(self.writer.store.members())

    def operations(self) -> list[bytes]:
        """Return the records of keyed operations, as stored before the start."""
        return [] if self.writer is None else self.writer.store.operations()

    def granted_roles(self) -> dict[str, str] | None:
        """Return the note of each role that this voter granted; None if the disk may have lost some."""
        granted = {
            key.removeprefix(ROLE_KEY_PREFIX): value.decode()
            for key, value in self.notes().items()
            if key.startswith(ROLE_KEY_PREFIX)
        }
        is_known = self.has_complete_members and not self._may_have_forgotten_grants
        return granted if granted or is_known else None

    def write(self, records: Sequence[StoredRecord], done: WriteCallback) -> None:
        """Call `done(ok)` on the loop once the records are synced, or could not be written.

        Without a disk it is called at once: such a controller does not vote, so others do not depend on its records.
        """
        if self.writer is None:
            done(True)
        else:
            self.writer.write(records, done)

    def overdue_s(self) -> float:
        """Return the age of the oldest pending write, or 0 if it is not overdue."""
        return 0.0 if self.writer is None else self.writer.overdue_s()

    def close(self) -> None:
        """Finish the pending writes and end the thread."""
        if self.writer is not None:
            self.writer.close()
