"""Records of leaving servers on this controller's disk; a voter confirms a record only once it is stored."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec

from crowseam.controller.durable_state import ControllerStore
from crowseam.controller.peers import Peers
from crowseam.discovery import replication
from crowseam.discovery.replication import ReplicationRequest
from crowseam.discovery.server_record import PHASE_ORDER, ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.storage.records import Note

NOTE_KEY_PREFIX = "retired/"  # followed by a server id: its record, until the whole registry is next written


class _SavedProgress(NamedTuple):
    """The order of a server's phase and its retirement epoch, as stored on disk."""

    phase: int
    epoch: int


class RegistryFeed(Protocol):
    """The server feed, as used here."""

    def push_changes(self, now: float) -> None:
        """Send each gateway the changes of the registry."""


class LeavingRecords:
    """Saves individual records of draining, gone or retired servers between writes of the whole registry.

    Times are seconds of the monotonic clock.
    """

    def __init__(
        self, registry: ServiceRegistry, peers: Peers, server_feed: RegistryFeed, store: ControllerStore
    ) -> None:
        self.registry = registry
        self.peers = peers
        self.server_feed = server_feed
        self.store = store
        self.saved_progress: dict[str, _SavedProgress] = {}
        self._note_keys: set[str] = set()  # keys of the notes on disk

    def restore(self, notes: dict[str, bytes]) -> list[ServerRecord]:
        """Return the records saved since the registry was last written. Raises msgspec.DecodeError."""
        self._note_keys = {key for key in notes if key.startswith(NOTE_KEY_PREFIX)}
        return [msgspec.msgpack.decode(notes[key], type=ServerRecord) for key in sorted(self._note_keys)]

    def on_replication_request(self, addr: str, request: ReplicationRequest, now: float) -> None:
        """Merge a record and confirm it; one that must be remembered only once it is on our disk."""
        node = self.peers.node
        ack = replication.acknowledge(request, self.registry, now, node.me.id, node.voters_slot)
        record = self.registry.get(request.record.id, now)
        if ack is not None:
            confirmation = ack

            def confirm() -> None:
                self.peers.post(addr, confirmation)

            if record is None or not record.must_be_remembered or self._is_on_disk(record):
                confirm()
            else:
                self._save(record, confirm)
        self.server_feed.push_changes(now)

    def learn(self, records: list[ServerRecord], now: float) -> set[str]:
        """Merge the records of leaving servers that another voter knows; return the ids of those to be saved."""
        for record in records:
            self.registry.merge(record, now)
        self.server_feed.push_changes(now)
        merged = [self.registry.get(received.id, now) for received in records]
        return {
            record.id
            for record in merged
            if record is not None and record.must_be_remembered and not self._is_on_disk(record)
        }

    def notes(self, idents: set[str], now: float) -> list[Note]:
        """Return the notes to save for these servers, with their current records.

        Older records might overwrite what was confirmed in the meantime.
        """
        current = [self.registry.get(ident, now) for ident in sorted(idents)]
        leaving = [record for record in current if record is not None and record.must_be_remembered]
        notes = [Note(NOTE_KEY_PREFIX + record.id, msgspec.msgpack.encode(record)) for record in leaving]
        self._note_keys.update(note.key for note in notes)
        return notes

    def _is_on_disk(self, record: ServerRecord) -> bool:
        """Whether our disk has this state of the server, or a later one."""
        phase, epoch = self.saved_progress.get(record.id, _SavedProgress(0, 0))
        return phase >= PHASE_ORDER[record.phase] and epoch >= record.retired

    def _save(self, record: ServerRecord, on_saved: Callable[[], None]) -> None:
        key = NOTE_KEY_PREFIX + record.id
        self._note_keys.add(key)

        def done(ok: bool) -> None:
            if ok:
                phase, epoch = self.saved_progress.get(record.id, _SavedProgress(0, 0))
                self.saved_progress[record.id] = _SavedProgress(
                    max(phase, PHASE_ORDER[record.phase]), max(epoch, record.retired)
                )
                on_saved()

        self.store.write([Note(key, msgspec.msgpack.encode(record))], done)

    def superseded_notes(self) -> list[Note]:
        """Return the deletions of all notes, to be written together with the whole registry, which supersedes them."""
        self.saved_progress = {
            ident: progress for ident, progress in self.saved_progress.items() if ident in self.registry
        }
        notes = [Note(key, None) for key in self._note_keys]
        self._note_keys.clear()
        return notes
