"""The store of a controller: identity, promises, votes, chosen entries, notes and members.

A damaged chosen entry is dropped, since other machines know it too. After any damage to what this machine
promised, the whole file is quarantined and the machine starts as one with an empty disk, under a new id.
"""

from __future__ import annotations

import hashlib
import os
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from typing import assert_never

import msgspec

from crowseam.consensus.messages import Ballot, Entry, NoOpEntry, Voter, VotersEntry
from crowseam.consensus.records import (
    ChosenRecord,
    DurableState,
    IdentityRecord,
    PromiseRecord,
    Record,
    SlotVote,
    SnapshotRecord,
    VoteRecord,
)
from crowseam.storage.database import DamagedRowsError, Database, sync_directory
from crowseam.storage.errors import StoreError
from crowseam.storage.records import Member, Note, OperationRow

_TABLES = {
    "identity": "TEXT",
    "promises": "INTEGER",
    "votes": "INTEGER",
    "chosen": "INTEGER",
    "saved": "INTEGER",
    "notes": "TEXT",
    "members": "TEXT",
    "operations": "TEXT",
}
_CRITICAL_TABLES = ("identity", "promises", "votes", "operations")
_ADDED_TABLES = frozenset({"operations"})
# Keys of the table `identity`.
_ID_KEY = "id"
_HIGHEST_CHOSEN_KEY = "floor"
_DIGEST_BYTES = 32  # of a copy of the store, before its body (SHA-256)


class _StoreCopy(msgspec.Struct):
    """What an exported file holds; promises and votes stay with the machine that gave them."""

    highest_chosen_slot: int = msgspec.field(name="floor")
    chosen: dict[int, Entry]
    snapshot: SnapshotRecord | None = msgspec.field(name="saved")
    notes: dict[str, bytes]
    members: dict[str, bytes]


_encode = msgspec.msgpack.Encoder().encode
_decode_ballot = msgspec.msgpack.Decoder(Ballot).decode
_decode_vote = msgspec.msgpack.Decoder(tuple[Ballot, Entry]).decode
_decode_entry: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_decode_snapshot = msgspec.msgpack.Decoder(SnapshotRecord).decode
_decode_copy = msgspec.msgpack.Decoder(_StoreCopy).decode


class Store:
    """One database file at `path`; calls block until the disk has answered. Any thread, one at a time."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self._database = Database(Path(path), _TABLES, _CRITICAL_TABLES, self._check_identity, _ADDED_TABLES)

    @property
    def path(self) -> Path:
        """The file of the database."""
        return self._database.path

    @property
    def was_quarantined(self) -> bool:
        """Whether a damaged file was put aside as this store was opened."""
        return self._database.was_quarantined

    def open(self) -> None:
        """Open the store, or begin a new one if it is missing or damaged. Raises StoreError if the disk refuses."""
        self._database.open()

    def close(self) -> None:
        """Let go of the file; everything written before is already safe."""
        self._database.close()

    def _check_identity(self) -> None:
        has_id = _ID_KEY in dict(self._database.rows("identity"))
        if not has_id and any(next(self._database.rows(table), None) for table in ("promises", "votes")):
            raise DamagedRowsError("promises without an id")

    # Reading

    def load(self) -> DurableState:
        """Return what the disk holds.

        Without an id, `crowseam.consensus.voter_selection.assign_identity` has to give one first.

        Raises
        ------
        StoreError
            If it cannot be read.
        """
        try:
            return self._load()
        except (sqlite3.Error, msgspec.DecodeError, DamagedRowsError, ValueError) as error:
            raise StoreError(f"cannot read the store: {error}") from error

    def _load(self) -> DurableState:
        identity = dict(self._database.rows("identity"))
        durable = DurableState(
            id=str(identity[_ID_KEY], "utf-8") if _ID_KEY in identity else None,
            highest_chosen_slot=int(identity.get(_HIGHEST_CHOSEN_KEY, b"0")),
        )
        for slot, body in self._database.rows("promises"):
            durable.votes[slot] = SlotVote(promised=_decode_ballot(body))
        for slot, body in self._database.rows("votes"):
            ballot, entry = _decode_vote(body)
            promised = durable.votes.get(slot, SlotVote()).promised
            promised = ballot if promised is None else max(ballot, promised)
            durable.votes[slot] = SlotVote(promised, ballot, entry)
        chosen = self._database.rows("chosen", skip_damaged=True)
        durable.chosen = {slot: _decode_entry.decode(body) for slot, body in chosen}
        for _, body in self._database.rows("saved", skip_damaged=True):
            durable.snapshot = _decode_snapshot(body)
        return durable

    def notes(self) -> dict[str, bytes]:
        """Return all notes that are not damaged, by key. Raises StoreError."""
        return self._undamaged("notes")

    def members(self) -> dict[str, bytes]:
        """Return all members that are not damaged, by name. Raises StoreError."""
        return self._undamaged("members")

    def operations(self) -> list[bytes]:
        """Return the records of keyed operations. Raises StoreError."""
        try:
            return [body for _, body in self._database.rows("operations")]
        except (sqlite3.Error, UnicodeDecodeError, DamagedRowsError) as error:
            raise StoreError(f"cannot read the operations of the store: {error}") from error

    def _undamaged(self, table: str) -> dict[str, bytes]:
        try:
            return dict(self._database.rows(table, skip_damaged=True))
        except (sqlite3.Error, UnicodeDecodeError) as error:
            raise StoreError(f"cannot read the {table} of the store: {error}") from error

    # Writing

    def write(self, records: Iterable[Record | Note | Member | OperationRow]) -> None:
        """Write all records in one transaction; they are synced when this returns.

        Raises
        ------
        StoreError
            If the disk refuses; nothing of them is then kept.
        """
        try:
            with self._database.transaction():
                for record in records:
                    self._write(record)
        except (sqlite3.Error, UnicodeDecodeError) as error:
            raise StoreError(f"cannot write: {error}") from error

    def _write(self, record: Record | Note | Member | OperationRow) -> None:
        put = self._database.put
        match record:
            case IdentityRecord(id=voter_id):
                put("identity", _ID_KEY, voter_id.encode())
            case PromiseRecord(slot=slot, ballot=ballot):
                put("promises", slot, _encode(ballot))
            case VoteRecord(slot=slot, ballot=ballot, entry=entry):
                put("votes", slot, _encode((ballot, entry)))
                put("promises", slot, _encode(ballot))
            case ChosenRecord(slot=slot, entry=entry):
                put("chosen", slot, _encode(entry))
                self._database.remove("promises", slot)
                self._database.remove("votes", slot)
                self._raise_highest_chosen(slot)
            case SnapshotRecord():
                self._write_snapshot(record)
            case Note(key=key, value=value):
                self._database.put_or_remove("notes", key, value)
            case Member(name=name, value=value):
                self._database.put_or_remove("members", name, value)
            case OperationRow(key=key, value=value):
                self._database.put_or_remove("operations", key, value)
            case _:
                assert_never(record)

    def _write_snapshot(self, record: SnapshotRecord) -> None:
        execute = self._database.execute
        execute("DELETE FROM saved")
        self._database.put("saved", record.slot, _encode(record))
        execute("DELETE FROM chosen WHERE key < ?", (record.first_kept_slot,))
        execute("DELETE FROM promises WHERE key <= ?", (record.slot,))
        execute("DELETE FROM votes WHERE key <= ?", (record.slot,))
        self._raise_highest_chosen(record.slot)

    def _raise_highest_chosen(self, slot: int) -> None:
        row = self._database.execute("SELECT body FROM identity WHERE key = ?", (_HIGHEST_CHOSEN_KEY,)).fetchone()
        if row is None or int(row[0]) < slot:
            self._database.put("identity", _HIGHEST_CHOSEN_KEY, str(slot).encode())

    # Copies

    def snapshot(self, file: str | os.PathLike[str]) -> str:
        """Copy all but promises and votes into `file`; returns its digest (hexadecimal).

        Raises
        ------
        StoreError
            If the store cannot be read or the file not be written.
        """
        durable = self.load()
        copy = _StoreCopy(durable.highest_chosen_slot, durable.chosen, durable.snapshot, self.notes(), self.members())
        body = _encode(copy)
        digest = hashlib.sha256(body)
        target = Path(file)
        draft = target.with_name(target.name + ".draft")
        try:
            with draft.open("wb") as out:
                out.write(digest.digest() + body)
                out.flush()
                os.fsync(out.fileno())
            draft.replace(target)
            sync_directory(target.parent)
        except OSError as error:
            raise StoreError(f"cannot write the copy {target}: {error}") from error
        return digest.hexdigest()

    def restore(self, file: str | os.PathLike[str], voters: list[Voter] | None = None) -> str:
        """Fill this store, which must be empty, from a copy; returns the digest of the copy.

        The machine keeps no old id and no promises. With `voters` these vote from now on, for when the
        earlier ones are gone for good; every one of them must then start from the same copy.

        Raises
        ------
        StoreError
            If the copy cannot be read or is damaged, or the store is not empty.
        """
        copy, digest = _read_copy(Path(file))
        if not all(self._database.is_empty(table) for table in _TABLES):
            raise StoreError("the store is not empty")
        self.write(_records_of(copy, voters))
        return digest


def _read_copy(file: Path) -> tuple[_StoreCopy, str]:
    """Return the content of a copy, and its digest (hexadecimal)."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise StoreError(f"cannot read the copy: {error}") from error
    digest = hashlib.sha256(data[_DIGEST_BYTES:])
    if data[:_DIGEST_BYTES] != digest.digest():
        raise StoreError("the copy is damaged")
    try:
        return _decode_copy(data[_DIGEST_BYTES:]), digest.hexdigest()
    except msgspec.DecodeError as error:
        raise StoreError(f"the copy cannot be read: {error}") from error


def _records_of(copy: _StoreCopy, voters: list[Voter] | None) -> list[Record | Note | Member]:
    """Return what a copy writes into a store; with `voters` these take the place of all that it names."""
    records: list[Record | Note | Member] = []
    if copy.snapshot is not None:
        snapshot = copy.snapshot if voters is None else msgspec.structs.replace(copy.snapshot, voters=voters)
        records.append(snapshot)
    for slot, entry in copy.chosen.items():
        is_replaced = voters is not None and isinstance(entry, VotersEntry)
        records.append(ChosenRecord(slot, NoOpEntry(entry.proposal_id) if is_replaced else entry))
    records += [Note(key, value) for key, value in copy.notes.items()]
    records += [Member(name, value) for name, value in copy.members.items()]
    return records
