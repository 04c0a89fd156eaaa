"""Hand-over between two processes of one ingress during an upgrade, by files in a shared folder.

Each process holds a lock on a file of its own that contains its state. The lock ends with the process, so a
file that is not locked is stale. Bans (backends taken out by operators) are kept in one file, which is
replaced atomically. If the folder cannot be used, a process acts as if it were alone.
"""

from __future__ import annotations

import fcntl
import json
import os
import tempfile
from enum import Enum
from pathlib import Path
from urllib.parse import quote

from fennelpoint.net.notice import log, warn_rate_limited

MAX_BANS_BYTES = 1024 * 1024  # a larger file is rejected as invalid


class State(Enum):
    """State of a process, as stored in its file; values have equal length, so that a write replaces one."""

    STARTING = "start"
    RUNNING = "runs."
    STOPPING = "stops"


class Handover:
    """Access to the state files of this and other processes, and to the file of bans."""

    def __init__(self, folder: str | None, name: str) -> None:
        self.folder = Path(folder) if folder else None
        self.name = quote(name, safe="")  # may contain any character, including slashes
        self.own_path: Path | None = None
        self.lock_fd: int | None = None
        # Identifies the version of the bans file that was last read or written.
        self.bans_version: tuple[int, int, int] | None = None

    def register(self) -> None:
        """Publish this process; its file is locked before it is renamed, so it is never seen as stale."""
        if self.folder is None:
            return
        try:
            self.lock_fd, path = tempfile.mkstemp(prefix=f"{self.name}.", suffix=".new", dir=self.folder)
            fcntl.flock(self.lock_fd, fcntl.LOCK_EX)
            os.write(self.lock_fd, State.STARTING.value.encode())
            self.own_path = Path(path).with_suffix(".alive")
            os.rename(path, self.own_path)
        except OSError as error:
            log.warning("cannot register with other processes of this ingress: %s", error)

    def publish_state(self, state: State) -> None:
        if self.lock_fd is None:
            return
        try:
            os.pwrite(self.lock_fd, state.value.encode(), 0)
        except OSError as error:  # the process stops even if its file cannot be written
            log.warning("cannot publish state %s to other processes: %s", state.name.lower(), error)

    def other_states(self) -> list[State]:
        """Return the states of the other running processes of this ingress."""
        if self.folder is None:
            return []
        found = []
        try:
            paths = [
                p
                for p in self.folder.iterdir()
                if p.suffix == ".alive" and p != self.own_path and p.name.rsplit(".", 2)[0] == self.name
            ]
        except OSError as error:
            warn_rate_limited("handover", "cannot read %s: %s", self.folder, error)
            return []
        for path in paths:
            try:
                with open(path, "rb") as file:
                    if _is_locked(file.fileno()):
                        found.append(_parse_state(file.read(16)))
                    else:
                        path.unlink(missing_ok=True)  # its process has ended
            except OSError:
                continue  # it was removed in the meantime
        return found

    # Bans

    @property
    def _bans_path(self) -> Path:
        return self.folder / f"{self.name}.bans.json"

    def read_changed_bans(self) -> set[str] | None:
        """Return the banned ids if the file has changed since it was last read or written here, else None."""
        if self.folder is None:
            return None
        try:
            with open(self._bans_path, "rb") as file:
                if (version := _file_version(file.fileno())) == self.bans_version:
                    return None
                self.bans_version, data = version, file.read(MAX_BANS_BYTES + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            warn_rate_limited("handover", "cannot read the bans: %s", error)
            return None
        try:
            ids = json.loads(data)["bans"]
            if not isinstance(ids, list) or not all(isinstance(ban, str) for ban in ids):
                raise ValueError("bans is not a list of strings")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("bans file is invalid and ignored: %s", error)
            return None
        return set(ids)

    def write_bans(self, ids: set[str]) -> None:
        if self.folder is None:
            return
        try:
            handle, path = tempfile.mkstemp(prefix=f"{self.name}.", suffix=".new", dir=self.folder)
            with open(handle, "w") as file:
                json.dump({"bans": sorted(ids)}, file)
                file.flush()
                self.bans_version = _file_version(file.fileno())
                os.rename(path, self._bans_path)
        except OSError as error:
            log.error("cannot write the bans, they apply to this process only: %s", error)

    def unregister(self) -> None:
        """Withdraw this process; the bans stay for its successor."""
        if self.lock_fd is not None:
            if self.own_path is not None:
                self.own_path.unlink(missing_ok=True)
            os.close(self.lock_fd)
            self.lock_fd = self.own_path = None


def _is_locked(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    return False


def _parse_state(data: bytes) -> State:
    """Parse a state; an invalid one counts as running, so that its share of the allowances is left to it."""
    try:
        return State(data.decode())
    except ValueError:
        return State.RUNNING


def _file_version(descriptor: int) -> tuple[int, int, int]:
    status = os.fstat(descriptor)
    return status.st_ino, status.st_mtime_ns, status.st_size
