"""Creates write effects and retries failed writes."""

from __future__ import annotations

from collections.abc import Sequence

from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Persist, Send
from crowseam.consensus.records import ChosenRecord, Record, SnapshotRecord

NEVER = float("inf")


class RecordWriter:
    """Creates the `Persist` effects of a node and includes records that an earlier one failed to write.

    Promises and votes that could not be written were never sent to their proposer, so they may be dropped. Chosen
    entries and snapshots are already applied, so they are written again with the next effect.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.unsaved: list[Record] = []
        self.retry_at = NEVER
        self.failures = 0

    def persist(self, records: Sequence[Record], then: Sequence[Send] = ()) -> Persist:
        """Return the effect that writes `records`, after those that are still unsaved."""
        effect = Persist([*self.unsaved, *records], list(then))
        self.unsaved = []
        self.retry_at = NEVER
        return effect

    def persist_failed(self, persist: Persist) -> None:
        """Record that `persist` could not be written."""
        self.failures += 1
        self.unsaved += [record for record in persist.records if isinstance(record, ChosenRecord | SnapshotRecord)]
        snapshots_at = [at for at, record in enumerate(self.unsaved) if isinstance(record, SnapshotRecord)]
        if snapshots_at:
            self.unsaved = self.unsaved[snapshots_at[-1] :]
        if self.unsaved:
            self.retry_at = self._context.now + self._context.timing.max_retransmit_interval_s

    def retry(self) -> list[Persist]:
        """Return a write of the unsaved records if a retry is due."""
        if self.unsaved and self._context.now >= self.retry_at:
            return [self.persist([])]
        return []
