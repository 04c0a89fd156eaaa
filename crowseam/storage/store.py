"""The store of a controller: identity, promises, votes, chosen entries, notes, members and keyed operations.

A corrupt chosen entry is dropped, because other machines have it too. If identity, promises, votes or operations are
corrupt, the file is quarantined and the machine starts with an empty disk and a new id.
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
from crowseam.storage.database import CorruptionError, Database, sync_directory
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
_OPTIONAL_TABLES = frozenset({"operations"})
# Keys in the table `identity`.
_ID_KEY = "id"
_HIGHEST_CHOSEN_KEY = "floor"
_DIGEST_BYTES = 32  # SHA-256 digest at the start of a snapshot file


class _StoreCopy(msgspec.Struct):
    """Content of a snapshot file. Promises and votes are left out, as they bind only the machine that made them."""

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
    """The store in the file `path`. Calls block on disk I/O and may come from any thread, but not concurrently."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        self._database = Database(Path(path), _TABLES, _CRITICAL_TABLES, self._check_identity, _OPTIONAL_TABLES)

    @property
    def path(self) -> Path:
        """Path of the database file."""
        return self._database.path

    @property
    def was_quarantined(self) -> bool:
        """Whether a corrupt file was quarantined when this store was opened."""
        return self._database.was_quarantined

    def open(self) -> None:
        """Open the store, or create an empty one if it is missing or corrupt. Raises StoreError on an I/O error."""
        self._database.open()

    def close(self) -> None:
        """Close the file. All earlier writes are already durable."""
        self._database.close()

    def _check_identity(self) -> None:
        has_id = _ID_KEY in dict(self._database.rows("identity"))
        if not has_id and any(next(self._database.rows(table), None) for table in ("promises", "votes")):
            raise CorruptionError("found promises or votes without a voter id")

    # Reading

    def load(self) -> DurableState:
        """Read the consensus state.

        If it has no id, `crowseam.consensus.voter_selection.assign_identity` must assign one before it is used.

        Raises
        ------
        StoreError
            If the state cannot be read.
        """
        try:
            return self._load()
        except (sqlite3.Error, msgspec.DecodeError, CorruptionError, ValueError) as error:
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
        """Return the intact notes by key. Raises StoreError."""
        return self._readable_rows("notes")

    def members(self) -> dict[str, bytes]:
        """Return the intact members by name. Raises StoreError."""
        return self._readable_rows("members")

    def operations(self) -> list[bytes]:
        """Return the encoded records of keyed operations. Raises StoreError."""
        try:
            return [body for _, body in self._database.rows("operations")]
        except (sqlite3.Error, UnicodeDecodeError, CorruptionError) as error:
            raise StoreError(f"cannot read the operations of the store: {error}") from error

    def _readable_rows(self, table: str) -> dict[str, bytes]:
        try:
            return dict(self._database.rows(table, skip_damaged=True))
        except (sqlite3.Error, UnicodeDecodeError) as error:
            raise StoreError(f"cannot read the {table} of the store: {error}") from error

    # Writing

    def write(self, records: Iterable[Record | Note | Member | OperationRow]) -> None:
        """Write all records in one transaction, which is durable on return.

        Raises
        ------
        StoreError
            On an I/O error; none of the records is then written.
        """
        try:
            with self._database.transaction():
                for record in records:
                    self._write(record)
        except (sqlite3.Error, UnicodeDecodeError) as error:
            raise StoreError(f"cannot write to the store: {error}") from error

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

    # Snapshot files

    def snapshot(self, file: str | os.PathLike[str]) -> str:
        """Write a snapshot file without promises and votes; return its digest (hexadecimal).

        Raises
        ------
        StoreError
            If the store cannot be read or the file cannot be written.
        """
        durable = self.load()
        copy = _StoreCopy(durable.highest_chosen_slot, durable.chosen, durable.snapshot, self.notes(), self.members())
        body = _encode(copy)
        digest = hashlib.sha256(body)
        target = Path(file)
        temporary = target.with_name(target.name + ".draft")
        try:
            with temporary.open("wb") as out:
                out.write(digest.digest() + body)
                out.flush()
                os.fsync(out.fileno())
            temporary.replace(target)
            sync_directory(target.parent)
        except OSError as error:
            raise StoreError(f"cannot write the snapshot file {target}: {error}") from error
        return digest.hexdigest()

    def restore(self, file: str | os.PathLike[str], voters: list[Voter] | None = None) -> str:
        """Restore a snapshot file into this store, which must be empty; return the digest of the file.

        The restored store has no id and no promises. `voters` replaces the voters, in case the earlier ones are
        permanently lost; each of the new voters must then start from the same file.

        Raises
        ------
        StoreError
            If the snapshot file cannot be read or is corrupt, or the store is not empty.
        """
        copy, digest = _read_copy(Path(file))
        if not all(self._database.is_empty(table) for table in _TABLES):
            raise StoreError("the store is not empty")
        self.write(_records_to_restore(copy, voters))
        return digest


def _read_copy(file: Path) -> tuple[_StoreCopy, str]:
    """Return the content of a snapshot file and its digest (hexadecimal)."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise StoreError(f"cannot read the snapshot file: {error}") from error
    digest = hashlib.sha256(data[_DIGEST_BYTES:])
    if data[:_DIGEST_BYTES] != digest.digest():
        raise StoreError("the snapshot file is corrupt: its digest does not match")
    try:
        return _decode_copy(data[_DIGEST_BYTES:]), digest.hexdigest()
    except msgspec.DecodeError as error:
        raise StoreError(f"cannot decode the snapshot file: {error}") from error


def _records_to_restore(copy: _StoreCopy, voters: list[Voter] | None) -> list[Record | Note | Member]:
    """Return the records to restore from a snapshot file; `voters`, if given, replaces all voters in it."""
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
