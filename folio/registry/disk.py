"""The one thread that waits on the disk, so that the loop never does."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable

from folio import logs
from folio.vault.errors import StoreError
from folio.vault.store import Store

SLOW = 0.5      # s after which a write that is still out is told of


class Disk:
    """Writes records in the order given; what waits behind one write goes into the next transaction."""

    def __init__(self, loop: asyncio.AbstractEventLoop, store: Store) -> None:
        self.loop, self.store = loop, store
        self.jobs: queue.SimpleQueue = queue.SimpleQueue()
        self.since: float | None = None     # when the oldest write that is out was asked for
        self.out = 0
        self.asked_in = self.broken_in = 0  # writes asked for before a failure is known fail with it
        threading.Thread(target=self._run, daemon=True, name="disk").start()

    def write(self, records: list, done: Callable[[bool], None]) -> None:
        """`done(ok)` is called on the loop once the records are synced, or could not be written."""
        if self.out == 0:
            self.since = self.loop.time()
        self.out += 1
        self.jobs.put((self.asked_in, records, done))

    def stuck(self) -> float:
        """Seconds that the oldest write has been out beyond what is usual; 0 if none has."""
        late = 0.0 if self.since is None else self.loop.time() - self.since
        return late if late > SLOW else 0.0

    def close(self) -> None:
        self.jobs.put(None)

    def _run(self) -> None:
        while True:
            jobs = [self.jobs.get()]
            while not self.jobs.empty():
                jobs.append(self.jobs.get())
            wanted = [job for job in jobs if job is not None]
            if wanted:
                # What was asked for behind a write that failed may rest on it, so it must not be kept either.
                late = [job for job in wanted if job[0] < self.broken_in]
                good = [job for job in wanted if job[0] >= self.broken_in]
                ok = not good or self._write([record for _, records, _ in good for record in records])
                if not ok:
                    self.broken_in += 1
                self.loop.call_soon_threadsafe(self._done, late, False, 0)
                self.loop.call_soon_threadsafe(self._done, good, ok, self.broken_in)
            if len(wanted) < len(jobs):
                return

    def _write(self, records: list) -> bool:
        try:
            self.store.write(records)
            return True
        except StoreError as error:
            logs.say("disk_refuses", error=error)
            return False

    def _done(self, jobs: list, ok: bool, broken_in: int) -> None:
        self.asked_in = max(self.asked_in, broken_in)
        self.out -= len(jobs)
        self.since = self.loop.time() if self.out else None
        for _, _, done in jobs:
            done(ok)
