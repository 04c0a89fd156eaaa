"""The replicated log: chosen entries, the state machine that applies them, and the current voters."""

from __future__ import annotations

from crowseam.consensus.context import NodeContext
from crowseam.consensus.messages import ConfigurationEntry, Entry, Snapshot, Voter, VotersEntry
from crowseam.consensus.records import DurableState, SnapshotRecord
from crowseam.consensus.snapshot_transfer import CompressedSnapshot, SnapshotCache, compress_snapshot
from crowseam.consensus.state_machine import StateMachine

_ENTRY_OVERHEAD_BYTES = 200
_FAR_BEHIND_SLOTS = 8


class ReplicatedLog:
    """Applies chosen entries in slot order and compacts the log into snapshots.

    `last_slot` is the newest slot known to be chosen, `first_slot` the oldest slot whose entry is kept. `voters`
    are those for the slot after `last_slot`; `voters_slot` is a slot since which they have not changed.
    `highest_known_slot` is the newest slot that any node is known to have. `state_size_bound` is an upper bound of
    the size of the state in bytes. Nodes may be downloading the snapshots in `snapshot_caches`, and then need the
    log entries that follow on them.
    """

    def __init__(self, context: NodeContext, state_machine: StateMachine, cache: SnapshotCache) -> None:
        self._context = context
        self.state_machine = state_machine
        self.snapshot_caches = [cache]
        self.last_slot = 0
        self.first_slot = 1
        self.voters: list[Voter] = []
        self.voters_slot = 0
        self.highest_known_slot = 0
        self.state_size_bound = 0
        self.size_bytes = 0
        self._entries: dict[int, Entry] = {}
        self._snapshot_slot = 0
        self._bytes_since_snapshot = 0
        self._cached_state: tuple[int, bytes] | None = None

    def recover(self, durable: DurableState) -> None:
        """Restore the log from the records read from disk."""
        snapshot = durable.snapshot
        if snapshot is None:
            return
        self.state_machine.restore(snapshot.state)
        self.last_slot = self._snapshot_slot = self.voters_slot = snapshot.slot
        self.state_size_bound = len(snapshot.state)
        self.first_slot = snapshot.slot + 1
        self.voters = list(snapshot.voters)
        # Entries before the snapshot are kept for nodes that are slightly behind.
        while self.first_slot - 1 in durable.chosen:
            self.first_slot -= 1
            self._store(self.first_slot, durable.chosen[self.first_slot])
        while self.last_slot + 1 in durable.chosen:
            self.append(durable.chosen[self.last_slot + 1])

    def append(self, entry: Entry) -> int:
        """Apply the entry chosen at the next slot and return the slot."""
        slot = self.last_slot + 1
        self._store(slot, entry)
        self.last_slot = slot
        self._bytes_since_snapshot += entry_size(entry)
        self.state_machine.apply(slot, entry)
        if isinstance(entry, VotersEntry):
            self.voters = list(entry.voters)
            self.voters_slot = slot
        elif isinstance(entry, ConfigurationEntry):
            self.state_size_bound = len(entry.body) + (0 if entry.whole else self.state_size_bound)
        return slot

    def _store(self, slot: int, entry: Entry) -> None:
        self._entries[slot] = entry
        self.size_bytes += entry_size(entry)

    def install(self, snapshot: Snapshot) -> SnapshotRecord:
        """Replace the state with a newer snapshot and return the record to be written."""
        self.state_machine.restore(snapshot.state)
        self.last_slot = self._snapshot_slot = self.voters_slot = snapshot.slot
        self.first_slot = snapshot.slot + 1
        self._entries = {}
        self.size_bytes = 0
        self._cached_state = None
        self.state_size_bound = len(snapshot.state)
        self._bytes_since_snapshot = 0
        self.voters = list(snapshot.voters)
        return SnapshotRecord(self.last_slot, snapshot.state, self.voters, self.first_slot)

    # Progress of other nodes

    def observe_slot(self, slot: int) -> None:
        """Record that another node knows the slots up to `slot`."""
        self.highest_known_slot = max(self.highest_known_slot, slot)

    def is_far_behind(self) -> bool:
        """Whether other nodes are known to be many slots ahead."""
        return self.highest_known_slot - self.last_slot > _FAR_BEHIND_SLOTS

    # Entries

    def entry_at(self, slot: int) -> Entry | None:
        """Return the entry chosen at `slot` if it is still kept."""
        return self._entries.get(slot)

    def entries_from(self, slot: int) -> list[Entry] | None:
        """Return the entries from `slot` on, or None if some of them are no longer kept."""
        if slot < self.first_slot:
            return None
        return [self._entries[at] for at in range(slot, self.last_slot + 1)]

    def run_from(self, slot: int, max_bytes: int, at_least_one: bool) -> list[Entry]:
        """Return consecutive entries from `slot` on that fit into `max_bytes`."""
        run: list[Entry] = []
        size = 0
        for at in range(slot, self.last_slot + 1):
            size += entry_size(self._entries[at])
            if size > max_bytes and (run or not at_least_one):
                break
            run.append(self._entries[at])
        return run

    def is_longer_than_state(self, slot: int) -> bool:
        """Whether the log from `slot` on is larger than a snapshot."""
        bound = max(self.state_size_bound, 4 * self._context.timing.max_run_bytes)
        if self.size_bytes <= bound:
            return False
        return sum(entry_size(self._entries[at]) for at in range(slot, self.last_slot + 1)) > bound

    # Snapshots

    def state(self) -> bytes:
        """Return the serialized state after `last_slot`."""
        if self._cached_state is not None and self._cached_state[0] == self.last_slot:
            return self._cached_state[1]
        state = self.state_machine.snapshot()
        self.state_size_bound = len(state)
        # Only a small state is cached, because several nodes may request it at the same time.
        self._cached_state = (self.last_slot, state) if len(state) <= self._context.timing.chunk_bytes else None
        return state

    def is_state_large(self) -> bool:
        """Whether the state is transferred in chunks. Recomputes a small size bound exactly first."""
        if self.state_size_bound <= 4 * self._context.timing.chunk_bytes:
            self.state()
        return self.state_size_bound > self._context.timing.chunk_bytes

    def snapshot(self) -> Snapshot:
        """Return the state and the voters as a message."""
        return Snapshot(self.last_slot, self.state(), self.voters)

    def compressed_snapshot(self) -> CompressedSnapshot:
        """Return the snapshot in the compressed form that is transferred in chunks."""
        return compress_snapshot(self.snapshot(), self._context.timing.compression_level, self._context.now)

    def compact(self) -> list[SnapshotRecord]:
        """Compact the log and return a snapshot to be written, if the log has grown enough since the last one.

        A large state is written only once the log has grown by a quarter of its size, to limit write amplification.
        """
        timing = self._context.timing
        grown_slots = self.last_slot - self._snapshot_slot
        is_short = grown_slots < timing.kept_slots // 2 or (
            self._bytes_since_snapshot < self.state_size_bound // 4 and grown_slots < timing.max_kept_slots // 2
        )
        if is_short and self.size_bytes <= timing.max_log_bytes:
            return []
        while self.first_slot <= self.last_slot and self._may_drop_oldest():
            self.size_bytes -= entry_size(self._entries.pop(self.first_slot))
            self.first_slot += 1
        self._snapshot_slot = self.last_slot
        self._bytes_since_snapshot = 0
        return [SnapshotRecord(self.last_slot, self.state(), self.voters, self.first_slot)]

    def _may_drop_oldest(self) -> bool:
        """Whether the oldest log entry may be dropped.

        The limits are higher for entries after a cached snapshot, because nodes that download it need them next.
        """
        timing = self._context.timing
        kept_slots = self.last_slot - self.first_slot
        if self.first_slot > min(cache.oldest_slot() for cache in self.snapshot_caches):
            return self.size_bytes > timing.max_log_bytes or kept_slots >= 2 * timing.max_kept_slots
        return (
            self.size_bytes > timing.max_log_bytes // 2
            or kept_slots >= timing.max_kept_slots
            or (kept_slots >= timing.kept_slots and self.size_bytes > self.state_size_bound // 2)
        )


def entry_size(entry: Entry) -> int:
    """Return the approximate size of an entry in bytes, in memory and on the wire."""
    return _ENTRY_OVERHEAD_BYTES + (len(entry.body) if isinstance(entry, ConfigurationEntry) else 0)
