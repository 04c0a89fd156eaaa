"""What two processes of one ingress know of each other while a new version takes over: files in a folder.

Each process holds a lock on a file of its own that says what it is about; the lock ends with the process,
so a file without one is stale.  The bans stand in one file that whoever changes it renames into place.
Where the folder can't be used, a process acts as if it were alone.
"""

from __future__ import annotations

import fcntl
import json
import os
import tempfile
from enum import Enum
from pathlib import Path
from urllib.parse import quote

from fennelpoint.net.notice import complain, log

MOST_BANS = 1024 * 1024  # bytes of the file of bans; a larger one is none of ours


class State(Enum):
    """What a process is about; the words are of one length, so that one replaces another whole."""

    STARTING = "start"
    RUNNING = "runs."
    STOPPING = "stops"


class Handover:
    """This process's own file, the others', and the bans."""

    def __init__(self, folder: str | None, name: str) -> None:
        self.folder = Path(folder) if folder else None
        self.name = quote(name, safe="")  # it may hold anything, a slash too
        self.own: Path | None = None
        self.lock: int | None = None
        self.bans_seen: tuple[int, int, int] | None = None  # which file of bans was read last

    def appear(self) -> None:
        """Be seen by the others from now on; the file is locked before it has its name, so never stale."""
        if self.folder is None:
            return
        try:
            self.lock, path = tempfile.mkstemp(prefix=f"{self.name}.", suffix=".new", dir=self.folder)
            fcntl.flock(self.lock, fcntl.LOCK_EX)
            os.write(self.lock, State.STARTING.value.encode())
            self.own = Path(path).with_suffix(".alive")
            os.rename(path, self.own)
        except OSError as error:
            log.warning("no other process will see this one: %s", error)

    def say(self, state: State) -> None:
        if self.lock is None:
            return
        try:
            os.pwrite(self.lock, state.value.encode(), 0)
        except OSError as error:  # a stop goes on whatever becomes of its file
            log.warning("other processes will not see that this one %s: %s", state.name.lower(), error)

    def others(self) -> list[State]:
        """What the other living processes of this ingress are about."""
        if self.folder is None:
            return []
        found = []
        try:
            paths = [
                p
                for p in self.folder.iterdir()
                if p.suffix == ".alive" and p != self.own and p.name.rsplit(".", 2)[0] == self.name
            ]
        except OSError as error:
            complain("handover", "%s can't be read: %s", self.folder, error)
            return []
        for path in paths:
            try:
                with open(path, "rb") as file:
                    if _locked(file.fileno()):
                        found.append(_state(file.read(16)))
                    else:
                        path.unlink(missing_ok=True)  # its process is gone
            except OSError:
                continue  # it went just now
        return found

    # Bans

    @property
    def _bans(self) -> Path:
        return self.folder / f"{self.name}.bans.json"

    def changed_bans(self) -> set[str] | None:
        """The ids that are out, if that was changed since it was last read or written here."""
        if self.folder is None:
            return None
        try:
            with open(self._bans, "rb") as file:
                if (seen := _mark(file.fileno())) == self.bans_seen:
                    return None
                self.bans_seen, data = seen, file.read(MOST_BANS + 1)
        except FileNotFoundError:
            return None
        except OSError as error:
            complain("handover", "the bans can't be read: %s", error)
            return None
        try:
            ids = json.loads(data)["bans"]
            if not isinstance(ids, list) or not all(isinstance(i, str) for i in ids):
                raise ValueError("bans is not a list of names")
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            log.error("the file of bans can't be read, so none is taken from it: %s", error)
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
                self.bans_seen = _mark(file.fileno())
                os.rename(path, self._bans)
        except OSError as error:
            log.error("the bans hold in this process alone, they can't be written: %s", error)

    def leave(self) -> None:
        """Be seen no more; the bans stay for whoever comes next."""
        if self.lock is not None:
            if self.own is not None:
                self.own.unlink(missing_ok=True)
            os.close(self.lock)
            self.lock = self.own = None


def _locked(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    return False


def _state(word: bytes) -> State:
    """One that can't be read counts as running: its part is left to it."""
    try:
        return State(word.decode())
    except ValueError:
        return State.RUNNING


def _mark(descriptor: int) -> tuple[int, int, int]:
    status = os.fstat(descriptor)
    return status.st_ino, status.st_mtime_ns, status.st_size
