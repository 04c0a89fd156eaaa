"""Resource usage of a process, read from proc(5)."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(msgspec.Struct, frozen=True):
    """Usage of one process since its start: `cpu` in seconds, `files` in descriptors, the rest in bytes.

    `read` and `written` count sockets and files together; `disk` counts bytes written to disk.
    """

    cpu: float
    rss: int
    files: int
    read: int
    written: int
    disk: int


def usage(pid: int, root: Path = Path("/proc")) -> Usage | None:
    """Return the usage of a process; None if it doesn't exist or is a zombie."""
    process_dir = root / str(pid)
    try:
        # The program name in parentheses may contain spaces.
        fields = (process_dir / "stat").read_text().rpartition(")")[2].split()
        if fields[0] == "Z":
            return None
        pages = int((process_dir / "statm").read_text().split()[1])
        io = dict(line.split(": ") for line in (process_dir / "io").read_text().splitlines())
        files = len(os.listdir(process_dir / "fd"))
    except (OSError, IndexError, ValueError):
        return None
    return Usage(
        (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S,
        pages * PAGE_BYTES,
        files,
        int(io["rchar"]),
        int(io["wchar"]),
        int(io["write_bytes"]),
    )


def memory_total(root: Path = Path("/proc")) -> int:
    """Return the machine's memory in bytes."""
    for line in (root / "meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    return 0
