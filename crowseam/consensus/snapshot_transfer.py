"""Chunked transfer of large snapshots: a cache of compressed snapshots, and the state of a download.

The receiver keeps only a few chunk requests in flight, so that other messages on the link are not delayed for long.
Chunks are identified by the digest of the compressed snapshot and may come from different sources; the assembled
snapshot is used only if it matches that digest.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable

import msgspec

from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import Snapshot, SnapshotChunk, SnapshotChunkRequest, decode, encode

MAX_CACHED_SNAPSHOTS = 2
MAX_SNAPSHOT_BYTES = 64 << 20  # limit of both the compressed and the uncompressed size

_NEVER = float("inf")


class CompressedSnapshot(msgspec.Struct):
    """A snapshot in transfer form; `last_used_at` is the time of the last request for one of its chunks (s)."""

    slot: int
    digest: bytes
    data: bytes
    last_used_at: float


def snapshot_with_digest(slot: int, data: bytes, now: float) -> CompressedSnapshot:
    """Return `data`, the state after `slot`, with its SHA-256 digest."""
    return CompressedSnapshot(slot, hashlib.sha256(data).digest(), data, now)


def compress_snapshot(snapshot: Snapshot, level: int, now: float) -> CompressedSnapshot:
    """Compress a snapshot, including slot and voters, with the given zlib level; deterministic on all machines."""
    return snapshot_with_digest(snapshot.slot, zlib.compress(encode(snapshot), level), now)


def decompress_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot that `compress_snapshot` compressed.

    Raises
    ------
    ConsensusError
        If `data` is not a valid compressed snapshot.
    """
    try:
        message = decode(zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES))
    except zlib.error as error:
        raise ConsensusError(f"cannot decompress a snapshot: {error}") from error
    if not isinstance(message, Snapshot):
        raise ConsensusError(f"decompressed a {type(message).__name__} instead of a Snapshot")
    return message


class SnapshotCache:
    """The compressed snapshots of one machine.

    A snapshot stays unchanged while its chunks are being requested, and expires `retention_s` after the last request.
    """

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.snapshots: list[CompressedSnapshot] = []

    def find(self, slot: int, digest: bytes, now: float) -> CompressedSnapshot | None:
        """Return the snapshot with this slot and digest and update its last use, or None."""
        for snapshot in self.snapshots:
            if (snapshot.slot, snapshot.digest) == (slot, digest):
                snapshot.last_used_at = now
                return snapshot
        return None

    def newest(self, first_log_slot: int, after_slot: int, now: float) -> CompressedSnapshot | None:
        """Return the newest snapshot after `after_slot` that the kept log follows on, and update its last use."""
        oldest = max(first_log_slot - 1, after_slot + 1 if after_slot else 0)
        usable = [snapshot for snapshot in self.snapshots if snapshot.slot >= oldest]
        best = max(usable, key=lambda snapshot: snapshot.slot, default=None)
        if best is not None:
            best.last_used_at = now
        return best

    def find_or_create(
        self,
        request: SnapshotChunkRequest,
        first_log_slot: int,
        last_slot: int,
        create: Callable[[], CompressedSnapshot],
        now: float,
    ) -> CompressedSnapshot | None:
        """Return the snapshot that a chunk request refers to, or None.

        `create` makes the snapshot of `last_slot`. It is called if no cached one is usable, or if the request names
        `last_slot`, because every machine creates the same bytes.
        """
        if not request.digest:
            if request.slot >= last_slot:
                return None
            return self.newest(first_log_slot, request.slot, now) or self.add(create())
        if all(snapshot.slot != request.slot for snapshot in self.snapshots) and request.slot == last_slot:
            self.add(create())
        return self.find(request.slot, request.digest, now)

    def add(self, snapshot: CompressedSnapshot) -> CompressedSnapshot:
        """Add a snapshot, evicting the least recently used one if the cache is full."""
        while len(self.snapshots) >= MAX_CACHED_SNAPSHOTS:
            self.snapshots.remove(min(self.snapshots, key=lambda each: each.last_used_at))
        self.snapshots.append(snapshot)
        return snapshot

    def expire(self, now: float) -> None:
        """Drop snapshots that have not been requested for `retention_s`."""
        self.snapshots = [each for each in self.snapshots if now < each.last_used_at + self.retention_s]

    def next_expiry(self) -> float:
        """Return the time of the next expiry (s)."""
        return min((each.last_used_at + self.retention_s for each in self.snapshots), default=_NEVER)

    def oldest_slot(self) -> float:
        """Return the slot of the oldest cached snapshot, infinite if there is none."""
        return min((each.slot for each in self.snapshots), default=_NEVER)


class SnapshotDownload:
    """State of a snapshot download.

    `source` is the address that chunks are requested from, and `newer_than` the slot that the snapshot has to be
    newer than. `offers` maps the addresses that offered a snapshot to the time of the offer, and
    `sources_without_snapshot` has those that no longer have this snapshot. `began_at` is the start of the download,
    `progress_checked_at` the time of the last chunk or change of source, and `last_new_chunk_at` that of the last
    new chunk (seconds, monotonic clock).
    """

    def __init__(self, source: str, newer_than: int, chunk_bytes: int, window: int, now: float) -> None:
        self.source = source
        self.newer_than = newer_than
        self.chunk_bytes = chunk_bytes
        self.window = window
        self.slot = 0
        self.size = 0
        self.digest = b""
        self.chunks: dict[int, bytes] = {}
        self.requested: set[int] = set()
        self.offers: dict[str, float] = {source: now}
        self.sources_without_snapshot: set[str] = set()
        self.began_at = self.progress_checked_at = self.last_new_chunk_at = now

    def next_requests(self) -> list[SnapshotChunkRequest]:
        """Return the requests that fit into the window, and count them as in flight."""
        if not self.size:
            if self.requested:
                return []
            self.requested.add(0)
            return [SnapshotChunkRequest(self.newer_than, b"", 0, self.chunk_bytes)]
        requests = []
        for offset in range(0, self.size, self.chunk_bytes):
            if len(self.requested) >= self.window:
                break
            if offset not in self.chunks and offset not in self.requested:
                self.requested.add(offset)
                requests.append(SnapshotChunkRequest(self.slot, self.digest, offset, self.chunk_bytes))
        return requests

    def add_chunk(self, chunk: SnapshotChunk, now: float) -> bool:
        """Add a chunk; return whether it is a valid part of this snapshot. The first chunk determines the snapshot."""
        if not self.size:
            if chunk.slot < self.newer_than + (self.newer_than > 0) or chunk.size > MAX_SNAPSHOT_BYTES:
                return False
            self.slot, self.digest, self.size = chunk.slot, chunk.digest, chunk.size
        if not self.belongs_to_snapshot(chunk):
            return False
        if chunk.offset % self.chunk_bytes or len(chunk.data) != min(self.chunk_bytes, self.size - chunk.offset):
            return False
        self.progress_checked_at = now
        self.requested.discard(chunk.offset)
        if chunk.offset not in self.chunks:
            self.last_new_chunk_at = now
            self.chunks[chunk.offset] = bytes(chunk.data)
        return True

    def belongs_to_snapshot(self, chunk: SnapshotChunk) -> bool:
        """Whether this chunk is part of the snapshot being downloaded."""
        return (chunk.slot, chunk.digest, chunk.size) == (self.slot, self.digest, self.size)

    def assemble(self) -> bytes | None:
        """Return the complete compressed snapshot, or None while chunks are missing."""
        if not self.size or len(self.chunks) * self.chunk_bytes < self.size:
            return None
        return b"".join(data for _, data in sorted(self.chunks.items()))

    def is_intact(self, data: bytes) -> bool:
        """Whether `data` matches the digest of the snapshot."""
        return hashlib.sha256(data).digest() == self.digest

    def switch_source(self, now: float) -> None:
        """Request the remaining chunks from another source: the latest offer that may still be available."""
        others = [addr for addr in self.offers if addr != self.source and addr not in self.sources_without_snapshot]
        self.requested.clear()
        self.progress_checked_at = now
        if others:
            self.source = max(others, key=self.offers.__getitem__)

    def recent_offer(self, now: float, max_age_s: float) -> str | None:
        """Return the address of the latest offer within `max_age_s`, preferring others to the current source."""
        recent = [addr for addr, offered_at in self.offers.items() if now - offered_at <= max_age_s]
        return max(recent, key=lambda addr: (addr != self.source, self.offers[addr]), default=None)
