"""A SQLite database whose tables have a key, a body and a checksum in each row.

Corruption is detected on open: of pages by SQLite's own check, of rows by their checksums. A file with corrupt pages
or corrupt rows in a critical table is quarantined: it is renamed and replaced with an empty database.
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
# Substrings of the messages of `sqlite3.OperationalError` that indicate a corrupt file.
_CORRUPTION_MESSAGES = ("malformed", "not a database", "no such", "has no column")


class CorruptionError(Exception):
    """Pages, or rows of a critical table, are corrupt or missing."""


class Database:
    """The database file at `path`. Calls block on disk I/O and may come from any thread, but not concurrently.

    `tables` maps table names to the SQL type of their key. `critical_tables` are those in which no row may be lost.
    `optional_tables` are missing from files of earlier versions and are created in them. `check` may raise
    CorruptionError if the rows are inconsistent. After `open`, `was_quarantined` tells whether a corrupt file was
    quarantined.
    """

    def __init__(
        self,
        path: Path,
        tables: Mapping[str, str],
        critical_tables: tuple[str, ...],
        check: Callable[[], None],
        optional_tables: frozenset[str] = frozenset(),
    ) -> None:
        self.path = path
        self.was_quarantined = False
        self._tables = tables
        self._critical_tables = critical_tables
        self._check = check
        self._optional_tables = optional_tables
        self._connection: sqlite3.Connection | None = None

    def open(self) -> None:
        """Open the database, or create an empty one if it is missing or corrupt.

        Raises
        ------
        StoreError
            On an I/O error.
        """
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            try:
                self._connect()
            except (sqlite3.DatabaseError, UnicodeDecodeError, CorruptionError) as error:
                # SQLite error messages that quote corrupt names may not be valid UTF-8.
                if isinstance(error, sqlite3.OperationalError) and not _is_corruption(error):
                    raise
                self._quarantine()
                self._connect()
        except (sqlite3.Error, UnicodeDecodeError, OSError, CorruptionError) as error:
            self.close()
            raise StoreError(f"cannot open {self.path}: {error}") from error

    def close(self) -> None:
        """Close the file. All earlier writes are already durable."""
        self._disconnect()
        if self.path.parent.exists():
            with contextlib.suppress(OSError):
                sync_directory(self.path.parent)

    def _connect(self) -> None:
        is_new = not self.path.exists()
        if is_new and self._write_ahead_log().exists():
            raise CorruptionError("found a write-ahead log without its database file")
        connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=0.0)
        self._connection = connection
        connection.text_factory = lambda text: text.decode(errors="replace")
        # Set before the first access, so that SQLite keeps the index of the write-ahead log out of shared memory.
        connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute(f"PRAGMA wal_autocheckpoint={_CHECKPOINT_PAGES}")
        connection.execute("PRAGMA cache_size=-2048")
        connection.execute("PRAGMA temp_store=MEMORY")
        if connection.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise CorruptionError("SQLite quick_check found corrupt pages")
        self._create_tables(connection)
        for table in self._critical_tables:
            for _ in self.rows(table):
                pass
        self._check()
        # New files are durable only once their directory is synced.
        sync_directory(self.path.parent)

    def _create_tables(self, connection: sqlite3.Connection) -> None:
        found = {name for (name,) in connection.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if found and not found.issuperset(self._tables.keys() - self._optional_tables):
            raise CorruptionError("a required table is missing")
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
            On an I/O error.
        """
        if self._connection is None:
            raise StoreError("the database is not open")
        return self._connection.execute(sql, values)

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Commit and sync all writes made in the context, or roll them back on an exception."""
        self.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.execute("COMMIT")
        except BaseException:
            if self._connection is not None and self._connection.in_transaction:
                self.execute("ROLLBACK")
            raise

    def rows(self, table: str, skip_damaged: bool = False) -> Iterator[tuple[Any, bytes]]:
        """Yield key and body of each row, in key order.

        Raises
        ------
        CorruptionError
            If a row is corrupt and `skip_damaged` is not set.
        """
        for key, body, checksum in self.execute(f"SELECT key, body, sum FROM {table} ORDER BY key"):
            if isinstance(body, bytes) and checksum == _checksum(table, key, body):
                yield key, body
            elif not skip_damaged:
                raise CorruptionError(f"checksum mismatch in a row of table {table}")

    def is_empty(self, table: str) -> bool:
        """Whether a table has no intact row."""
        return next(self.rows(table, skip_damaged=True), None) is None

    def put(self, table: str, key: int | str, body: bytes) -> None:
        """Insert or replace a row."""
        row = (key, body, _checksum(table, key, body))
        self.execute(f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?)", row)

    def remove(self, table: str, key: int | str) -> None:
        """Remove a row if it exists."""
        self.execute(f"DELETE FROM {table} WHERE key = ?", (key,))

    def put_or_remove(self, table: str, key: str, body: bytes | None) -> None:
        """Insert or replace a row, or remove it if `body` is None."""
        if body is None:
            self.remove(table, key)
        else:
            self.put(table, key, body)


def sync_directory(directory: Path) -> None:
    """Sync a directory, which makes the creation and renaming of files in it durable. Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _checksum(table: str, key: int | str, body: bytes) -> bytes:
    return hashlib.blake2s(f"{table}\0{key}\0".encode() + body, digest_size=_CHECKSUM_BYTES).digest()


def _is_corruption(error: sqlite3.OperationalError) -> bool:
    return any(message in str(error) for message in _CORRUPTION_MESSAGES)
