"""Resource usage of a process: processor time, memory, descriptors, bytes. Source: proc(5)."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Usage(msgspec.Struct, frozen=True):
    """What one process has used since its start: `cpu` in seconds, the rest in bytes but for `files`.

    `read` and `written` are of all calls, sockets and files together; `disk` is what went to a disk.
    """

    cpu: float
    rss: int
    files: int
    read: int
    written: int
    disk: int


def usage(pid: int, root: Path = Path("/proc")) -> Usage | None:
    """What the process has used; None if it is gone, or gone but not yet waited for."""
    place = root / str(pid)
    try:
        # The name of the program, in brackets, may hold blanks.
        fields = (place / "stat").read_text().rpartition(")")[2].split()
        if fields[0] == "Z":
            return None
        pages = int((place / "statm").read_text().split()[1])
        io = dict(line.split(": ") for line in (place / "io").read_text().splitlines())
        files = len(os.listdir(place / "fd"))
    except (OSError, IndexError, ValueError):
        return None
    return Usage(
        (int(fields[11]) + int(fields[12])) / TICKS,
        pages * PAGE,
        files,
        int(io["rchar"]),
        int(io["wchar"]),
        int(io["write_bytes"]),
    )


def memory_total(root: Path = Path("/proc")) -> int:
    """Bytes of memory of this machine."""
    for line in (root / "meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    return 0
