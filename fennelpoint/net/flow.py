"""Bodies too large to hold: pieces that go on as they come, within one budget for all that waits.

Nothing is read from one side while more than a piece waits to be written to the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

HELD = 64 * 1024  # bytes of a body that are held, so that it can be sent again or checked whole
MOST_LARGE = 32 * 1024 * 1024  # bytes of any body
PIECE, SMALL_PIECE = 64 * 1024, 4 * 1024  # bytes read at a time; with little room left
MEGABYTE = 1024 * 1024
PROCESS = 20 * MEGABYTE  # what a process needs without any bodies; there may be two
USED, LEAST = 0.75, 2 * MEGABYTE  # of what is left, for the loop and the parsers have copies; at the least
FRAMING = 16  # bytes of framing that may come with one of the body, as in chunks of a byte each
MOST_OVERHEAD = 128 * 1024  # and without any: heads, trailers, extensions of chunks
STALLED = 5.0  # s without a byte read or written, after which the peer of a large body is given up


class Budget:
    """Bytes that wait in this process, of all bodies together."""

    def __init__(self, memory_mb: float) -> None:
        """`memory_mb`: what the process may use."""
        left = memory_mb * MEGABYTE - 2 * PROCESS
        self.total = max(LEAST, int(left / 2 * USED))
        self.used = 0
        self.buffer = memoryview(bytearray(PIECE))  # everyone reads into it, one after the other

    @property
    def full(self) -> bool:
        """Whether nothing more may wait."""
        return self.used >= self.total

    def piece(self) -> int:
        """How much to read at a time."""
        return PIECE if self.used < self.total // 2 else SMALL_PIECE

    def mark(self) -> int:
        """How much may wait to be written before its source is left unread."""
        return 0 if self.full else self.piece()


class Waiting:
    """What waits in one transport's buffer, as far as it counts against the budget."""

    __slots__ = ("budget", "transport", "size")

    def __init__(self, budget: Budget, transport: asyncio.Transport) -> None:
        """Count what waits in `transport` against `budget`."""
        self.budget, self.transport, self.size = budget, transport, 0

    def look(self) -> int:
        """The bytes that wait at present."""
        size = self.transport.get_write_buffer_size()
        self.budget.used += size - self.size
        self.size = size
        return size

    def end(self) -> None:
        """Nothing of it counts any more."""
        self.budget.used -= self.size
        self.size = 0


class Sink(Protocol):
    """Where an upload's bytes go."""

    def pass_on(self, data: bytes) -> None:
        """Take more of the body."""

    def finish(self) -> None:
        """The body is whole."""


class Upload:
    """A request's large body: held in part until a backend takes it, then passed on as it comes."""

    __slots__ = ("budget", "read_on", "length", "held", "size", "whole", "sink", "on_whole")

    def __init__(
        self, budget: Budget, length: int | None, read_on: Callable[[bool], None], pieces: list[bytes]
    ) -> None:
        """`pieces`: what has come of the body; `read_on` tells the client's side whether to read."""
        self.budget = budget
        self.length = length  # none where it comes in chunks
        self.read_on = read_on  # tells the client's side whether to read
        self.held: list[bytes] | None = pieces  # all that came; none once a part was passed on
        self.size = sum(map(len, pieces))
        self.whole = False
        self.sink: Sink | None = None
        self.on_whole: Callable[[], None] = lambda: None
        budget.used += self.size
        read_on(False)

    def feed(self, data: bytes) -> None:
        """More has come: it goes on, or is held."""
        self.size += len(data)
        if self.sink is not None:
            self.sink.pass_on(data)
        elif self.held is not None:
            self.held.append(data)
            self.budget.used += len(data)

    def end(self) -> None:
        """The last byte has come."""
        self.whole = True
        self.read_on(True)
        self.on_whole()
        if self.sink is not None:
            self.sink.finish()

    def start(self, sink: Sink) -> None:
        """Pass on what is held; from now on it is not any more."""
        pieces, self.sink = self.held or [], sink
        self.drop()
        for piece in pieces:
            sink.pass_on(piece)
        if self.whole:
            sink.finish()

    def leave(self, sink: Sink) -> None:
        """That backend takes no more of it."""
        if self.sink is sink:
            self.sink = None

    def drop(self) -> None:
        """Hold nothing any more."""
        if self.held is not None:
            self.budget.used -= sum(map(len, self.held))
            self.held = None
