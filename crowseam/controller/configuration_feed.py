"""What gateways are sent of the configuration: entries of the log as steps, or the state, in chunks if large."""

from __future__ import annotations

from typing import NamedTuple

from crowseam.consensus.messages import (
    ConfigurationEntry,
    Entry,
    SnapshotChunk,
    SnapshotChunkRequest,
    SnapshotOffer,
)
from crowseam.consensus.node import Node
from crowseam.consensus.snapshot_transfer import CompressedSnapshot, SnapshotCache, snapshot_with_digest
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.transport.codec import pack
from crowseam.transport.links import Link, frame
from crowseam.transport.messages import ConfigurationState, ConfigurationStep, FollowingLog

CHUNK_BYTES = 32 << 10  # of a packed configuration, from which on it goes in chunks; and of steps at a time
MAX_SMALL_STEPS_BYTES = 4 << 10  # of steps that are sent rather than any configuration
SNAPSHOT_RETENTION_S = 10.0  # after a chunk of it was last requested
_ENTRY_OVERHEAD_BYTES = 20
_MAX_PACKING_FACTOR = 10  # a state larger by this than a chunk is not packed to see whether it fits


class LogFollower:
    """Up to where a gateway knows the log.

    `accepts_chunks`: the gateway can download a configuration; `is_downloading`: it does, and is sent no steps until
    it has it; `is_behind`: it is sent those that it lacks a few at a time.
    """

    __slots__ = ("accepts_chunks", "is_behind", "is_downloading", "link", "slot")

    def __init__(self, link: Link, slot: int, accepts_chunks: bool) -> None:
        self.link = link
        self.slot = slot
        self.accepts_chunks = accepts_chunks
        self.is_downloading = False
        self.is_behind = False


class _PackedState(NamedTuple):
    """A slot, and the packed configuration after it if that is small, else b""."""

    slot: int
    body: bytes


class ConfigurationFeed:
    """Keeps gateways at the newest slot of the log."""

    def __init__(self, node: Node, machine: ConfigurationStateMachine) -> None:
        self.node = node
        self.machine = machine
        self.cache = SnapshotCache(SNAPSHOT_RETENTION_S)
        node.snapshot_caches.append(self.cache)
        self._packed = _PackedState(-1, b"")

    def send_entry(self, followers: list[LogFollower], slot: int, entry: Entry | None) -> None:
        """Send what was chosen at `slot` to each gateway that knows the slots before; None: the state was replaced."""
        step = None if entry is None else _step(slot, entry)
        for follower in followers:
            if step is not None and self._may_send_step(follower, slot, step):
                follower.link.write(step)
                follower.slot = slot
            elif not follower.is_behind:
                self.catch_up(follower)

    def _may_send_step(self, follower: LogFollower, slot: int, step: bytes) -> bool:
        is_next = follower.slot == slot - 1 and not follower.is_downloading
        return is_next and (len(step) <= CHUNK_BYTES or not follower.accepts_chunks)

    def catch_up(self, follower: LogFollower) -> None:
        """Bring a gateway to our slot: by the log where that is kept and little, else by a state.

        What is more than a chunk comes a little at a time, for heartbeats and leases wait behind it.
        """
        follower.is_behind = False
        if follower.is_downloading or follower.slot >= self.node.last_slot:
            return
        if self._send_steps_if_little(follower):
            return
        if not follower.accepts_chunks:
            self._send_state(follower, pack(self.machine.config.dump()))
        elif (small := self._small_state()) is not None:
            self._send_state(follower, small)
        else:
            follower.is_downloading = True
            follower.link.send(SnapshotOffer(self.node.last_slot))

    def _send_state(self, follower: LogFollower, body: bytes) -> None:
        follower.slot = self.node.last_slot
        follower.link.send(ConfigurationState(self.node.last_slot, body))

    def _send_steps_if_little(self, follower: LogFollower) -> bool:
        """Send the entries that a gateway lacks, if they are fewer than the state; whether that was done."""
        entries = self.node.entries_from(follower.slot + 1)
        limit = max(MAX_SMALL_STEPS_BYTES, self.node.state_size_bound // 4)
        if entries is None or sum(map(_size, entries)) > limit:
            return False
        steps = [_step(slot, entry) for slot, entry in enumerate(entries, follower.slot + 1)]
        if max(map(len, steps)) > CHUNK_BYTES and follower.accepts_chunks:
            return False
        sent = 0
        for step in steps:
            if sent and sent + len(step) > CHUNK_BYTES:
                follower.is_behind = True
                break
            follower.link.write(step)
            follower.slot += 1
            sent += len(step)
        return True

    def _small_state(self) -> bytes | None:
        """Return the packed configuration, if it goes in one message."""
        last_slot = self.node.last_slot
        if self._packed.slot != last_slot:
            # A large one is not packed for this: a tenth of its size at the least is left.
            is_large = self.node.state_size_bound > _MAX_PACKING_FACTOR * CHUNK_BYTES
            body = b"" if is_large else pack(self.machine.config.dump())
            self._packed = _PackedState(last_slot, body if len(body) <= CHUNK_BYTES else b"")
        return self._packed.body or None

    def on_chunk_request(self, follower: LogFollower, request: SnapshotChunkRequest, now: float) -> None:
        """Answer a gateway that downloads a large configuration."""

        def create() -> CompressedSnapshot:
            return snapshot_with_digest(self.node.last_slot, pack(self.machine.config.dump()), now)

        node = self.node
        snapshot = self.cache.find_or_create(request, node.first_slot, node.last_slot, create, now)
        if snapshot is None:
            chunk = SnapshotChunk(request.slot, request.digest, 0, request.offset, b"")
        else:
            data = snapshot.data[request.offset : request.offset + min(request.length, CHUNK_BYTES)]
            chunk = SnapshotChunk(snapshot.slot, snapshot.digest, len(snapshot.data), request.offset, data)
        follower.link.send(chunk)

    def on_following(self, follower: LogFollower, message: FollowingLog) -> None:
        """Note that a gateway has downloaded a configuration, or given it up."""
        follower.is_downloading = False
        follower.slot = message.slot
        self.catch_up(follower)


def _step(slot: int, entry: Entry) -> bytes:
    if isinstance(entry, ConfigurationEntry):
        return frame(ConfigurationStep(slot, entry.whole, pack(entry.body)))
    return frame(ConfigurationStep(slot))


def _size(entry: Entry) -> int:
    return _ENTRY_OVERHEAD_BYTES + (len(entry.body) if isinstance(entry, ConfigurationEntry) else 0)
