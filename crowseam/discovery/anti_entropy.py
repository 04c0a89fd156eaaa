"""Anti-entropy between two copies of the registry: compares digests, then sends the records that differ.

A round costs one short digest while the copies agree. A peer that sees a difference answers with digests over ranges
of ids. The other one answers with its records of the differing ranges, and receives those that it lacks or has older.
Records are merged, so no copy can revert another one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from crowseam.discovery.server_record import ServerRecord, replicated_fields
from crowseam.discovery.service_registry import ServiceRegistry

RANGES = 16
MAX_RANGES = 1024  # accepted in a peer's message
_MAX_CACHED = 4
_DIGEST_BYTES = 8
_HASH_BYTES = 4
_encode = msgspec.msgpack.Encoder().encode


class DigestOffer(msgspec.Struct, frozen=True, array_like=True, tag="digests"):
    """Digests over equal ranges of the ids, in order; a single one covers the whole registry."""

    ranges: list[bytes]


class RangeRecords(msgspec.Struct, frozen=True, array_like=True, tag="range"):
    """All of the sender's records in the given ones of `count` ranges. `reply` asks for what the sender lacks."""

    count: int
    ranges: list[int]
    records: list[ServerRecord]
    reply: bool


class RoundStep(NamedTuple):
    """The messages to send back to a peer, and how many records changed here."""

    replies: list[DigestOffer | RangeRecords]
    changed: int


class _CachedDigests(NamedTuple):
    version: int
    digests: list[bytes]


def range_of(ident: str, count: int) -> int:
    """Return the range of an id, 0 to `count` - 1."""
    return int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=_HASH_BYTES).digest()) * count >> 32


def digests(records: Iterable[ServerRecord], count: int = RANGES) -> list[bytes]:
    """Return one digest for each range, over the replicated fields of its records."""
    hashes = [hashlib.blake2b(digest_size=_DIGEST_BYTES) for _ in range(count)]
    for record in sorted(records, key=lambda each: each.id):
        hashes[range_of(record.id, count)].update(_encode(replicated_fields(record)))
    return [each.digest() for each in hashes]


def differing_ranges(ours: list[bytes], theirs: list[bytes]) -> list[int]:
    """Return the ranges that differ. Raises ValueError for lists of different lengths."""
    return [number for number, (one, other) in enumerate(zip(ours, theirs, strict=True)) if one != other]


class AntiEntropy:
    """Synchronizes one registry with those of other controllers; each is sent an offer about once a second."""

    def __init__(self, registry: ServiceRegistry) -> None:
        self._registry = registry
        self._cache: dict[int, _CachedDigests] = {}  # by number of ranges

    def offer(self, now: float) -> DigestOffer:
        """Return the message that starts a round with a peer."""
        return DigestOffer(self._digests(1, now))

    def handle(self, message: DigestOffer | RangeRecords, now: float) -> RoundStep:
        """Handle a peer's message."""
        if isinstance(message, DigestOffer):
            return RoundStep(self._compare(message, now), 0)
        changed = sum(self._registry.merge(record, now) for record in message.records)
        if not message.reply:
            return RoundStep([], changed)
        theirs = {record.id: replicated_fields(record) for record in message.records}
        newer = [
            record
            for record in self._records_in(message.ranges, message.count, now)
            if theirs.get(record.id) != replicated_fields(record)
        ]
        replies: list[DigestOffer | RangeRecords] = []
        if newer:
            replies.append(RangeRecords(message.count, message.ranges, newer, False))
        return RoundStep(replies, changed)

    def _compare(self, offer: DigestOffer, now: float) -> list[DigestOffer | RangeRecords]:
        count = len(offer.ranges)
        if not 1 <= count <= MAX_RANGES:
            return []
        differing = differing_ranges(self._digests(count, now), offer.ranges)
        if not differing:
            return []
        if count == 1:
            return [DigestOffer(self._digests(RANGES, now))]
        return [RangeRecords(count, differing, self._records_in(differing, count, now), True)]

    def _records_in(self, ranges: list[int], count: int, now: float) -> list[ServerRecord]:
        wanted = set(ranges)
        return [record for record in self._registry.records(now) if range_of(record.id, count) in wanted]

    def _digests(self, count: int, now: float) -> list[bytes]:
        cached = self._cache.get(count)
        if cached is None or cached.version != self._registry.version:
            if len(self._cache) > _MAX_CACHED:
                self._cache.clear()
            cached = _CachedDigests(self._registry.version, digests(self._registry.records(now), count))
            self._cache[count] = cached
        return cached.digests
