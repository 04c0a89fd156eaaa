"""Keeps gateways up to date with the configuration: by log entries as steps, or by its state, chunked if large."""

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

CHUNK_BYTES = 32 << 10  # largest packed configuration sent whole; also the limit of steps sent at a time
MAX_SMALL_STEPS_BYTES = 4 << 10  # steps up to this size are always preferred to a state
SNAPSHOT_RETENTION_S = 10.0  # after the last request for one of its chunks
_ENTRY_OVERHEAD_BYTES = 20
_MAX_COMPRESSION_RATIO = 10  # a state that is larger by this factor than a chunk cannot be packed into one


class LogFollower:
    """How far a gateway has followed the log.

    `accepts_chunks`: it can download a configuration in chunks. `is_downloading`: it is doing so, and is sent no steps
    meanwhile. `is_behind`: it lacks steps, which are sent a few at a time.
    """

    __slots__ = ("accepts_chunks", "is_behind", "is_downloading", "link", "slot")

    def __init__(self, link: Link, slot: int, accepts_chunks: bool) -> None:
        self.link = link
        self.slot = slot
        self.accepts_chunks = accepts_chunks
        self.is_downloading = False
        self.is_behind = False


class _PackedState(NamedTuple):
    """The packed configuration as of a slot, or b"" if it exceeds a chunk."""

    slot: int
    body: bytes


class ConfigurationFeed:
    """Sends gateways the configuration up to the newest slot of the log."""

    def __init__(self, node: Node, machine: ConfigurationStateMachine) -> None:
        self.node = node
        self.machine = machine
        self.cache = SnapshotCache(SNAPSHOT_RETENTION_S)
        node.snapshot_caches.append(self.cache)
        self._packed = _PackedState(-1, b"")

    def send_entry(self, followers: list[LogFollower], slot: int, entry: Entry | None) -> None:
        """Send the entry chosen at `slot` to the gateways that know all earlier slots; None: the state was replaced."""
        step = None if entry is None else _encode_step(slot, entry)
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
        """Bring a gateway to our slot: by log entries if they are available and small, else by the state.

        More than a chunk is not sent at once, because heartbeats and leases would be delayed behind it.
        """
        follower.is_behind = False
        if follower.is_downloading or follower.slot >= self.node.last_slot:
            return
        if self._send_steps_if_small(follower):
            return
        if not follower.accepts_chunks:
            self._send_state(follower, pack(self.machine.config.dump()))
        elif (small_state := self._small_state()) is not None:
            self._send_state(follower, small_state)
        else:
            follower.is_downloading = True
            follower.link.send(SnapshotOffer(self.node.last_slot))

    def _send_state(self, follower: LogFollower, body: bytes) -> None:
        follower.slot = self.node.last_slot
        follower.link.send(ConfigurationState(self.node.last_slot, body))

    def _send_steps_if_small(self, follower: LogFollower) -> bool:
        """Send the entries that a gateway lacks, if they are smaller than the state; return whether they were sent."""
        entries = self.node.entries_from(follower.slot + 1)
        limit = max(MAX_SMALL_STEPS_BYTES, self.node.state_size_bound // 4)
        if entries is None or sum(map(_entry_bytes, entries)) > limit:
            return False
        steps = [_encode_step(slot, entry) for slot, entry in enumerate(entries, follower.slot + 1)]
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
        """Return the packed configuration, if it fits into one message."""
        last_slot = self.node.last_slot
        if self._packed.slot != last_slot:
            # A large state is not packed here: compression cannot make it small enough.
            is_large = self.node.state_size_bound > _MAX_COMPRESSION_RATIO * CHUNK_BYTES
            body = b"" if is_large else pack(self.machine.config.dump())
            self._packed = _PackedState(last_slot, body if len(body) <= CHUNK_BYTES else b"")
        return self._packed.body or None

    def on_chunk_request(self, follower: LogFollower, request: SnapshotChunkRequest, now: float) -> None:
        """Answer the request of a gateway for a chunk of a large configuration."""

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
        """Handle the notice that a gateway has finished or abandoned a download."""
        follower.is_downloading = False
        follower.slot = message.slot
        self.catch_up(follower)


def _encode_step(slot: int, entry: Entry) -> bytes:
    if isinstance(entry, ConfigurationEntry):
        return frame(ConfigurationStep(slot, entry.whole, pack(entry.body)))
    return frame(ConfigurationStep(slot))


def _entry_bytes(entry: Entry) -> int:
    return _ENTRY_OVERHEAD_BYTES + (len(entry.body) if isinstance(entry, ConfigurationEntry) else 0)
