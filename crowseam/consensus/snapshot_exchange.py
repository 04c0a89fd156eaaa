"""Serves and downloads large snapshots for a node."""

from __future__ import annotations

import msgspec

from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.messages import Snapshot, SnapshotChunk, SnapshotChunkRequest, SnapshotOffer
from crowseam.consensus.replicated_log import ReplicatedLog
from crowseam.consensus.snapshot_transfer import (
    CompressedSnapshot,
    SnapshotCache,
    SnapshotDownload,
    decompress_snapshot,
)

_ABANDON_FACTOR = 8  # times `download_timeout_s` without a new chunk, after which a download is abandoned


class ReceivedSnapshot(msgspec.Struct, frozen=True):
    """A completely downloaded snapshot and the address that sent its last chunk."""

    snapshot: Snapshot
    source: str


class SnapshotExchange:
    """Serves chunks of this node's snapshots, and downloads at most one snapshot at a time."""

    download_type = SnapshotDownload

    def __init__(self, context: NodeContext, log: ReplicatedLog, cache: SnapshotCache) -> None:
        self._context = context
        self._log = log
        self.cache = cache
        self.download: SnapshotDownload | None = None
        self.corrupt_downloads = 0

    # Sending

    def on_chunk_request(self, sender: str, request: SnapshotChunkRequest) -> list[Effect]:
        """Reply with the chunk, or with an empty one if the snapshot is not available."""
        snapshot = self._requested_snapshot(request) if self._log.voters else None
        if snapshot is None:
            return [Send(sender, SnapshotChunk(request.slot, request.digest, 0, request.offset, b""))]
        end = request.offset + min(request.length, 2 * self._context.timing.chunk_bytes)
        data = snapshot.data[request.offset : end]
        return [Send(sender, SnapshotChunk(snapshot.slot, snapshot.digest, len(snapshot.data), request.offset, data))]

    def _requested_snapshot(self, request: SnapshotChunkRequest) -> CompressedSnapshot | None:
        log = self._log
        return self.cache.find_or_create(
            request, log.first_slot, log.last_slot, log.compressed_snapshot, self._context.now
        )

    # Receiving

    def on_offer(self, sender: str, offer: SnapshotOffer) -> list[Effect]:
        """Start a download, or record the sender as an additional source of the current one."""
        self._log.observe_slot(offer.last_slot)
        if self._log.voters and offer.last_slot <= self._log.last_slot:
            return []
        if self.download is None:
            return self._begin(sender)
        self.download.offers[sender] = self._context.now
        return []

    def on_chunk(self, sender: str, chunk: SnapshotChunk) -> list[Effect] | ReceivedSnapshot:
        """Add a chunk; return the snapshot once it is complete, else the next requests."""
        download = self.download
        if download is None:
            return []
        if not chunk.size:
            is_from_source = sender == download.source and chunk.digest == download.digest
            return self._on_chunk_unavailable(download) if is_from_source else []
        if not download.add_chunk(chunk, self._context.now):
            return []
        data = download.assemble()
        if data is None:
            return self._request(download)
        self.download = None
        if not download.is_intact(data):
            self.corrupt_downloads += 1
            return []  # the next offer starts a new download
        return ReceivedSnapshot(decompress_snapshot(data), download.source)

    def abandon_if_overtaken(self, highest_known_slot: int) -> None:
        """Abandon the download if log entries are arriving instead, or the log has passed its slot."""
        if self.download is None:
            return
        if self.download.slot <= self._log.last_slot or highest_known_slot > self._log.last_slot:
            self.download = None

    def abandon_if_installed(self) -> None:
        """Abandon the download of a snapshot that is no newer than the installed state."""
        if self.download is not None and self.download.slot <= self._log.last_slot:
            self.download = None

    def check_progress(self) -> list[Effect]:
        """Switch to another source, or abandon the download, if no chunk has arrived for too long."""
        download, timing, now = self.download, self._context.timing, self._context.now
        if download is None or now < download.progress_checked_at + timing.chunk_timeout_s:
            return []
        stalled_s = now - download.last_new_chunk_at
        other = download.recent_offer(now, 2 * timing.chunk_timeout_s)
        if stalled_s >= timing.download_timeout_s and other is not None and other != download.source:
            return self._begin(other)
        if stalled_s >= _ABANDON_FACTOR * timing.download_timeout_s:
            self.download = None
            return []
        download.switch_source(now)
        return self._request(download)

    def next_check(self) -> float | None:
        """Return the time of the next progress check (s), or None without a download."""
        if self.download is None:
            return None
        return self.download.progress_checked_at + self._context.timing.chunk_timeout_s

    def _begin(self, source: str) -> list[Effect]:
        timing = self._context.timing
        newer_than = self._log.last_slot if self._log.voters else 0
        offers = self.download.offers if self.download is not None else {}
        download = self.download_type(source, newer_than, timing.chunk_bytes, timing.chunk_window, self._context.now)
        download.offers = {**offers, **download.offers}
        self.download = download
        return self._request(download)

    def _request(self, download: SnapshotDownload) -> list[Effect]:
        return [Send(download.source, request) for request in download.next_requests()]

    def _on_chunk_unavailable(self, download: SnapshotDownload) -> list[Effect]:
        """The source no longer has the snapshot: switch to another source, or download another snapshot."""
        download.sources_without_snapshot.add(download.source)
        if not set(download.offers) <= download.sources_without_snapshot:
            download.switch_source(self._context.now)
            return self._request(download)
        if not download.digest:
            self.download = None
            return []
        return self._begin(max(download.offers, key=download.offers.__getitem__))
