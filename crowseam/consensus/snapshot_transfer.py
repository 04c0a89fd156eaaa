"""A large snapshot on its way: sealed and kept unchanged where it is, fetched in parts where it is missing.

The receiver asks for each part, a few at a time, so that what else goes over the link is never behind more
than those few.  A sealed snapshot has a digest; parts are joined only under one digest, whoever sent them,
and the whole is believed only when it has that digest.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable

import msgspec

from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import PartRequest, Snapshot, SnapshotPart, decode, encode

KEPT = 2  # sealed snapshots that are kept at most
MOST = 64 << 20  # bytes that a sealed snapshot may have, and what is in it


class Sealed(msgspec.Struct):
    """A snapshot as it travels; `used` is when a part of it was last asked for (s)."""

    slot: int
    digest: bytes
    data: bytes
    used: float


def sealed(slot: int, data: bytes, now: float) -> Sealed:
    """`data`, the state after `slot`, under its digest (SHA-256)."""
    return Sealed(slot, hashlib.sha256(data).digest(), data, now)


def seal(snapshot: Snapshot, level: int, now: float) -> Sealed:
    """Pack a snapshot, its slot and voters included, with zlib's `level`; the same bytes on every machine."""
    return sealed(snapshot.slot, zlib.compress(encode(snapshot), level), now)


def unseal(data: bytes) -> Snapshot:
    """The snapshot that `seal` packed; ConsensusError where there is none."""
    try:
        unpacker = zlib.decompressobj()
        message = decode(unpacker.decompress(data, MOST))
    except zlib.error as error:
        raise ConsensusError(f"a sealed snapshot: {error}") from None
    if not isinstance(message, Snapshot):
        raise ConsensusError("what was sealed is no snapshot")
    return message


class Source:
    """The sealed snapshots of a machine: unchanged while their parts are asked for, gone `hold` s after."""

    def __init__(self, hold: float) -> None:
        self.hold = hold
        self.kept: list[Sealed] = []

    def find(self, slot: int, digest: bytes, now: float) -> Sealed | None:
        """The one of this slot and digest, which then counts as asked for."""
        for sealed in self.kept:
            if (sealed.slot, sealed.digest) == (slot, digest):
                sealed.used = now
                return sealed
        return None

    def current(self, first: int, newer: int, now: float) -> Sealed | None:
        """The newest one after slot `newer` that the log from slot `first` on leads on from."""
        able = [s for s in self.kept if s.slot >= max(first - 1, newer + 1 if newer else 0)]
        best = max(able, key=lambda sealed: sealed.slot, default=None)
        if best is not None:
            best.used = now
        return best

    def sealed_for(
        self, asked: PartRequest, first: int, last: int, make: Callable[[], Sealed], now: float
    ) -> Sealed | None:
        """What `asked` is about, made by `make` where there is none or it can be made as it was elsewhere.

        The log here goes from slot `first` to `last`; `make` gives the state after `last`.
        """
        if not asked.digest:
            if asked.slot >= last:
                return None
            return self.current(first, asked.slot, now) or self.add(make())
        if all(sealed.slot != asked.slot for sealed in self.kept) and asked.slot == last:
            self.add(make())
        return self.find(asked.slot, asked.digest, now)

    def add(self, sealed: Sealed) -> Sealed:
        """Keep one more, in place of the one that was asked for the longest ago."""
        while len(self.kept) >= KEPT:
            self.kept.remove(min(self.kept, key=lambda each: each.used))
        self.kept.append(sealed)
        return sealed

    def expire(self, now: float) -> None:
        """Let go of what nobody asks for any more."""
        self.kept = [sealed for sealed in self.kept if now < sealed.used + self.hold]

    def due(self) -> float:
        """When `expire` has something to do, in s."""
        return min((sealed.used + self.hold for sealed in self.kept), default=float("inf"))

    def pinned(self) -> float:
        """The oldest slot that someone may have to go on from; infinite where there is none."""
        return min((sealed.slot for sealed in self.kept), default=float("inf"))


class Fetch:
    """One snapshot being fetched: what of it is here, what is asked for, and who else could send it.

    `part` is in bytes, `window` in parts. `heard_at` is when a part came or the source changed,
    `moved_at` when the last new part came (s).
    """

    def __init__(self, source: str, newer: int, part: int, window: int, now: float) -> None:
        self.source, self.newer, self.part, self.window = source, newer, part, window
        self.slot = self.size = 0
        self.digest = b""
        self.parts: dict[int, bytes] = {}
        self.asked: set[int] = set()
        self.offers: dict[str, float] = {source: now}  # who has a large state, by when it said so
        self.lacking: set[str] = set()  # who no longer has this one
        self.began = self.heard_at = self.moved_at = now

    def requests(self) -> list[PartRequest]:
        """What may be asked for now."""
        if not self.size:
            if self.asked:
                return []
            self.asked.add(0)
            return [PartRequest(self.newer, b"", 0, self.part)]
        out = []
        for offset in range(0, self.size, self.part):
            if len(self.asked) >= self.window:
                break
            if offset not in self.parts and offset not in self.asked:
                self.asked.add(offset)
                out.append(PartRequest(self.slot, self.digest, offset, self.part))
        return out

    def take(self, part: SnapshotPart, now: float) -> bool:
        """Take a part; whether it is one of this snapshot, in its place."""
        if not self.size:
            if part.slot < self.newer + (self.newer > 0) or part.size > MOST:
                return False
            self.slot, self.digest, self.size = part.slot, part.digest, part.size
        if not self.belongs(part):
            return False
        if part.offset % self.part or len(part.data) != min(self.part, self.size - part.offset):
            return False
        self.heard_at = now
        self.asked.discard(part.offset)
        if part.offset not in self.parts:
            self.moved_at = now
            self.parts[part.offset] = bytes(part.data)
        return True

    def belongs(self, part: SnapshotPart) -> bool:
        """Whether this part is of the snapshot that is being fetched."""
        return (part.slot, part.digest, part.size) == (self.slot, self.digest, self.size)

    def whole(self) -> bytes | None:
        """All of it, once it is here."""
        if not self.size or len(self.parts) * self.part < self.size:
            return None
        return b"".join(data for _, data in sorted(self.parts.items()))

    def sound(self, data: bytes) -> bool:
        """Whether this is what the digest names."""
        return hashlib.sha256(data).digest() == self.digest

    def move(self, now: float) -> None:
        """Turn to another source: one that may have it, else any that has a state."""
        others = [addr for addr in self.offers if addr != self.source and addr not in self.lacking]
        self.asked.clear()
        self.heard_at = now
        if others:
            self.source = max(others, key=self.offers.__getitem__)

    def other(self, now: float, within: float) -> str | None:
        """Who has offered a state of its own in the last `within` s, to begin anew with."""
        able = [addr for addr, at in self.offers.items() if now - at <= within]
        return max(able, key=lambda addr: (addr != self.source, self.offers[addr]), default=None)
