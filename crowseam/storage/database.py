"""A SQLite file of tables with a key, a body and a checksum in each row.

Damage shows at once: pages by SQLite's own check, rows by their checksums. A file with damage in a critical table
is quarantined: renamed, and a new one begun.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import sqlite3
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

from crowseam.storage.errors import StoreError

_CHECKPOINT_PAGES = 512
_CHECKSUM_BYTES = 16
# What messages of errors with many causes contain where the cause is the content of the file.
_DAMAGE_SIGNS = ("malformed", "not a database", "no such", "has no column")


class DamagedRowsError(Exception):
    """Rows or pages that may not be lost are damaged."""


class Database:
    """One file at `path`; calls block until the disk has answered. Any thread, one at a time.

    `tables` has the SQL type of the key of each table, and `critical` names those of which no row may be lost.
    `added` names those that files of earlier versions lack: they are created there.
    `check` may raise DamagedRowsError for what the rows say together. `was_quarantined` tells after `open`
    whether a damaged file was put aside.
    """

    def __init__(
        self,
        path: Path,
        tables: Mapping[str, str],
        critical: tuple[str, ...],
        check: Callable[[], None],
        added: frozenset[str] = frozenset(),
    ) -> None:
        self.path = path
        self.was_quarantined = False
        self._tables = tables
        self._critical = critical
        self._check = check
        self._added = added
        self._connection: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open the database, or begin a new one if it is missing or damaged.

        Raises
        ------
        StoreError
            If the disk refuses.
        """
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            try:
                self._connect()
            except (sqlite3.DatabaseError, UnicodeDecodeError, DamagedRowsError) as error:
                # Messages of errors that quote damaged names cannot even be decoded.
                if isinstance(error, sqlite3.OperationalError) and not _is_about_content(error):
                    raise
                self._quarantine()
                self._connect()
        except (sqlite3.Error, UnicodeDecodeError, OSError, DamagedRowsError) as error:
            self.close()
            raise StoreError(f"cannot open {self.path}: {error}") from error

    def close(self) -> None:
        """Let go of the file; everything written before is already safe."""
        self._disconnect()
        if self.path.parent.exists():
            with contextlib.suppress(OSError):
                sync_directory(self.path.parent)

    def _connect(self) -> None:
        is_new = not self.path.exists()
        if is_new and self._write_ahead_log().exists():
            raise DamagedRowsError("a write-ahead log without its database")
        connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self._connection = connection
        connection.text_factory = lambda text: text.decode(errors="replace")
        # Exclusive before the first access: the index of the write-ahead log then stays off shared memory.
        connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute(f"PRAGMA wal_autocheckpoint={_CHECKPOINT_PAGES}")
        connection.execute("PRAGMA cache_size=-2048")
        connection.execute("PRAGMA temp_store=MEMORY")
        if connection.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise DamagedRowsError("pages do not fit together")
        self._create_tables(connection)
        for table in self._critical:
            for _ in self.rows(table):
                pass
        self._check()
        # The names of the files last only once the directory is synced.
        sync_directory(self.path.parent)

    def _create_tables(self, connection: sqlite3.Connection) -> None:
        found = {name for (name,) in connection.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if found and not found.issuperset(self._tables.keys() - self._added):
            raise DamagedRowsError("a table is missing")
        schema = "".join(
            f"CREATE TABLE IF NOT EXISTS {name} (key {key_type} PRIMARY KEY, body BLOB NOT NULL, sum BLOB NOT NULL);"
            for name, key_type in self._tables.items()
        )
        connection.executescript(f"BEGIN IMMEDIATE;{schema}COMMIT;")

    def _write_ahead_log(self) -> Path:
        return self.path.with_name(self.path.name + "-wal")

    def _quarantine(self) -> None:
        self._disconnect()
        self.was_quarantined = True
        for path in (self.path, self._write_ahead_log(), self.path.with_name(self.path.name + "-shm")):
            if path.exists():
                path.replace(path.with_name(path.name + ".damaged"))
        sync_directory(self.path.parent)

    def _disconnect(self) -> None:
        if self._connection is not None:
            with contextlib.suppress(sqlite3.Error):
                self._connection.close()
            self._connection = None

    # Rows

    def execute(self, sql: str, values: tuple[Any, ...] = ()) -> sqlite3.Cursor:
        """Run one statement.

        Raises
        ------
        StoreError
            If the database is not open.
        sqlite3.Error
            If the disk refuses.
        """
        if self._connection is None:
            raise StoreError("the store is not open")
        return self._connection.execute(sql, values)

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Commit what is written inside, synced when this returns; nothing of it is kept after an error."""
        self.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.execute("COMMIT")
        except BaseException:
            if self._connection is not None and self._connection.in_transaction:
                self.execute("ROLLBACK")
            raise

    def rows(self, table: str, skip_damaged: bool = False) -> Iterator[tuple[Any, bytes]]:
        """Yield key and body of each row, in the order of the keys.

        Raises
        ------
        DamagedRowsError
            If a row is damaged, unless such rows are skipped.
        """
        for key, body, checksum in self.execute(f"SELECT key, body, sum FROM {table} ORDER BY key"):
            if isinstance(body, bytes) and checksum == _checksum(table, key, body):
                yield key, body
            elif not skip_damaged:
                raise DamagedRowsError(f"a row of {table}")

    def is_empty(self, table: str) -> bool:
        """Whether a table has no readable row."""
        return next(self.rows(table, skip_damaged=True), None) is None

    def put(self, table: str, key: int | str, body: bytes) -> None:
        """Insert a row, or replace it."""
        row = (key, body, _checksum(table, key, body))
        self.execute(f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)", row)

    def remove(self, table: str, key: int | str) -> None:
        """Remove a row if it is there."""
        self.execute(f"DELETE FROM {table} WHERE key = ?", (key,))

    def put_or_remove(self, table: str, key: str, body: bytes | None) -> None:
        """Insert or replace a row, or remove it where `body` is None."""
        if body is None:
            self.remove(table, key)
        else:
            self.put(table, key, body)


def sync_directory(directory: Path) -> None:
    """Make the names of files in `directory` durable. Raises OSError."""
    handle = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _checksum(table: str, key: int | str, body: bytes) -> bytes:
    return hashlib.blake2s(f"{table}\0{key}\0".encode() + body, digest_size=_CHECKSUM_BYTES).digest()


def _is_about_content(error: sqlite3.OperationalError) -> bool:
    return any(sign in str(error) for sign in _DAMAGE_SIGNS)
