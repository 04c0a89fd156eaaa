"""Streaming of large bodies: data is forwarded as it arrives, within one buffer budget per process.

Backpressure: reading from one side stops while more than one read's worth of data is waiting to be written to
the other.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

# A body up to this size is kept in memory, so that it can be sent again or checked whole.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024  # limit for any body
# Per read; the small size is used once half of the budget is spent.
READ_BYTES, SMALL_READ_BYTES = 64 * 1024, 4 * 1024
MEGABYTE = 1024 * 1024
# Memory of a process without bodies; two processes run during a hand-over.
PROCESS_BASE_BYTES = 20 * MEGABYTE
# Share of the remaining memory; the event loop and the parsers hold copies of the data.
BODY_MEMORY_SHARE, MIN_BUDGET_BYTES = 0.75, 2 * MEGABYTE
MAX_FRAMING_FACTOR = 16  # bytes of chunk framing allowed per body byte (chunks of one byte)
MAX_OVERHEAD_BYTES = 128 * 1024  # for heads, trailers and chunk extensions
# After this time without a byte read or written, the peer of a streamed body is given up.
STREAM_STALL_TIMEOUT_S = 5.0


class BufferBudget:
    """Memory budget for all buffered body data of this process."""

    def __init__(self, memory_mb: float) -> None:
        """`memory_mb`: memory available to the ingress."""
        available = memory_mb * MEGABYTE - 2 * PROCESS_BASE_BYTES
        self.total = max(MIN_BUDGET_BYTES, int(available / 2 * BODY_MEMORY_SHARE))
        self.used = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))  # shared by all connections

    @property
    def is_full(self) -> bool:
        """Whether the budget is spent."""
        return self.used >= self.total

    def read_size(self) -> int:
        """Number of bytes to read at a time."""
        return READ_BYTES if self.used < self.total // 2 else SMALL_READ_BYTES

    def high_water_mark(self) -> int:
        """Number of bytes that may wait to be written before reading from the source stops."""
        return 0 if self.is_full else self.read_size()


class WriteBufferAccount:
    """Charges the write buffer of one transport to the budget."""

    __slots__ = ("budget", "transport", "size")

    def __init__(self, budget: BufferBudget, transport: asyncio.Transport) -> None:
        """Charge the write buffer of `transport` to `budget`."""
        self.budget, self.transport, self.size = budget, transport, 0

    def update(self) -> int:
        """Bring the charge up to date; returns the current size of the write buffer."""
        size = self.transport.get_write_buffer_size()
        self.budget.used += size - self.size
        self.size = size
        return size

    def release(self) -> None:
        """Remove the charge from the budget."""
        self.budget.used -= self.size
        self.size = 0


class BodySink(Protocol):
    """Destination of an upload."""

    def write_body(self, data: bytes) -> None:
        """Write more of the body."""

    def finish(self) -> None:
        """End the body."""


class Upload:
    """A large request body: buffered until a backend connection is attached, then streamed."""

    __slots__ = ("budget", "set_reading", "length", "buffered", "size", "is_complete", "sink", "on_complete")

    def __init__(
        self,
        budget: BufferBudget,
        length: int | None,
        set_reading: Callable[[bool], None],
        pieces: list[bytes],
    ) -> None:
        """`pieces`: the data received so far; `set_reading` pauses and resumes reading from the client."""
        self.budget = budget
        self.length = length  # None for chunked transfer encoding
        self.set_reading = set_reading
        # All data received so far; None once any of it has been forwarded.
        self.buffered: list[bytes] | None = pieces
        self.size = sum(map(len, pieces))
        self.is_complete = False
        self.sink: BodySink | None = None
        self.on_complete: Callable[[], None] = lambda: None
        budget.used += self.size
        set_reading(False)

    def feed(self, data: bytes) -> None:
        """Forward or buffer more data of the body."""
        self.size += len(data)
        if self.sink is not None:
            self.sink.write_body(data)
        elif self.buffered is not None:
            self.buffered.append(data)
            self.budget.used += len(data)

    def feed_eof(self) -> None:
        """End the body: the client has sent its last byte."""
        self.is_complete = True
        self.set_reading(True)
        self.on_complete()
        if self.sink is not None:
            self.sink.finish()

    def attach(self, sink: BodySink) -> None:
        """Send the buffered data to `sink`; later data goes there directly."""
        pieces, self.sink = self.buffered or [], sink
        self.discard_buffer()
        for piece in pieces:
            sink.write_body(piece)
        if self.is_complete:
            sink.finish()

    def detach(self, sink: BodySink) -> None:
        """Stop sending to `sink`."""
        if self.sink is sink:
            self.sink = None

    def discard_buffer(self) -> None:
        """Discard the buffered data; the body can no longer be sent from the start."""
        if self.buffered is not None:
            self.budget.used -= sum(map(len, self.buffered))
            self.buffered = None
