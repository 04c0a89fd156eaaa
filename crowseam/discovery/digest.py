"""Repair between two copies of the registry: digests over ranges of ids, then the records that differ.

A round costs one short digest while the copies agree.  The one that sees a difference answers with digests
over ranges, the other with its records of the ranges that differ, and gets back only those it lacks or has
older.  Records are merged, so that no copy can take another back.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from crowseam.discovery.service_registry import Record, ServiceRegistry, material

RANGES = 16
_encode = msgspec.msgpack.Encoder().encode


class DigestOffer(msgspec.Struct, frozen=True, array_like=True, tag="digests"):
    """Digests over equal parts of the ids, in order; a single one stands for the whole registry."""

    ranges: list[bytes]


class RangeRecords(msgspec.Struct, frozen=True, array_like=True, tag="range"):
    """All the sender's records in some of ``count`` ranges. ``reply`` asks for what the sender lacks."""

    count: int
    ranges: list[int]
    records: list[Record]
    reply: bool


def range_of(ident: str, count: int) -> int:
    """The range, 0 to ``count`` - 1, an id falls into."""
    return int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=4).digest()) * count >> 32


def digests(records: Iterable[Record], count: int = RANGES) -> list[bytes]:
    """One digest for each range, over what is material of its records."""
    hashes = [hashlib.blake2b(digest_size=8) for _ in range(count)]
    for record in sorted(records, key=lambda r: r.id):
        hashes[range_of(record.id, count)].update(_encode(material(record)))
    return [one.digest() for one in hashes]


def compare(ours: list[bytes], theirs: list[bytes]) -> list[int]:
    """The ranges that differ. Lists of different length cannot be compared: raises ValueError."""
    return [n for n, (one, other) in enumerate(zip(ours, theirs, strict=True)) if one != other]


class Repair:
    """Keeps one registry alike with those of others; an offer goes to each of them about once a second."""

    def __init__(self, registry: ServiceRegistry):
        self._registry = registry
        self._cache: dict[int, tuple[int, list[bytes]]] = {}

    def offer(self, now: float) -> DigestOffer:
        """What to send to a peer to begin a round."""
        return DigestOffer(self._digests(1, now))

    def take(self, message: DigestOffer | RangeRecords, now: float) -> tuple[list[DigestOffer | RangeRecords], int]:
        """Handle a peer's message: (what to send back to it, how many records changed here)."""
        if isinstance(message, DigestOffer):
            return self._compared(message, now), 0
        changed = sum([self._registry.join(record, now) for record in message.records])
        if not message.reply:
            return [], changed
        theirs = {record.id: material(record) for record in message.records}
        newer = [
            record
            for record in self._of(message.ranges, message.count, now)
            if theirs.get(record.id) != material(record)
        ]
        back = [RangeRecords(message.count, message.ranges, newer, False)] if newer else []
        return back, changed

    def _compared(self, offer: DigestOffer, now: float) -> list[DigestOffer | RangeRecords]:
        count = len(offer.ranges)
        if not 1 <= count <= 1024:
            return []
        differ = compare(self._digests(count, now), offer.ranges)
        if not differ:
            return []
        if count == 1:
            return [DigestOffer(self._digests(RANGES, now))]
        return [RangeRecords(count, differ, self._of(differ, count, now), True)]

    def _of(self, ranges: list[int], count: int, now: float) -> list[Record]:
        wanted = set(ranges)
        return [r for r in self._registry.records(now) if range_of(r.id, count) in wanted]

    def _digests(self, count: int, now: float) -> list[bytes]:
        cached = self._cache.get(count)
        if cached is None or cached[0] != self._registry.version:
            if len(self._cache) > 4:
                self._cache.clear()
            cached = (self._registry.version, digests(self._registry.records(now), count))
            self._cache[count] = cached
        return cached[1]
