"""Client of the shared counter: pipelined calls over one persistent connection.

Replies carry no id and arrive in the order of the calls. A reply that arrives after its call has timed out
must therefore still be consumed, and a reply that cannot be parsed closes the connection.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from fennelpoint.interface import CounterReply, Status
from fennelpoint.net.notice import warn_rate_limited

CALL_TIMEOUT_S = 0.05  # default, if the settings have none
CONNECT_TIMEOUT_S = 0.25
SILENT_TIMEOUTS = 4.0  # call timeouts without a due reply, after which the connection is considered dead
IDLE_TIMEOUT_S = 3.0  # shorter than the idle timeout of the counter
RECONNECT_DELAY_S = 0.1  # after a failed connection attempt
MAX_LINE_BYTES, MAX_PENDING_CALLS = 256, 10_000

ReplyCallback = Callable[[CounterReply], None]


@dataclass(slots=True, eq=False)
class Call:
    name: int
    request_line: bytes
    started_at: float
    on_reply: ReplyCallback | None  # None once the outcome has been reported

    def end(self, status: Status, total: float = 0.0) -> None:
        if (on_reply := self.on_reply) is not None:
            self.on_reply = None
            on_reply(CounterReply(self.name, status, total, time.monotonic() - self.started_at))


def format_amount(amount: float) -> bytes:
    """Format as a plain decimal number: the counter does not accept exponents."""
    return f"{amount:.6f}".rstrip("0").rstrip(".").encode()


class CounterClient:
    """Client of the shared counter, with one connection at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, host: str, port: int, timeout: float) -> None:
        self.loop, self.host, self.port, self.timeout = loop, host, port, timeout or CALL_TIMEOUT_S
        self.connection: CounterConnection | None = None
        # Connections to the previous address that still have calls in flight.
        self.draining: set[CounterConnection] = set()
        self.connecting: asyncio.Task | None = None
        self.reconnect_at = 0.0
        self.unsent: deque[Call] = deque()
        self.pending: deque[Call] = deque()  # all calls in the order they were made, for their timeouts
        self.timer: asyncio.TimerHandle | None = None

    def call(self, name: int, amount: float, forget_after: float, on_reply: ReplyCallback) -> None:
        """Add an amount to the counter `name`; `on_reply` is called once, within the timeout."""
        ttl_ms = min(60_000, max(1, round(forget_after * 1000)))
        call = Call(
            name, b"tally %d %b %d\r\n" % (name, format_amount(amount), ttl_ms), time.monotonic(), on_reply
        )
        if len(self.pending) >= MAX_PENDING_CALLS:
            return call.end(Status.CONNECT_FAILED)
        if (
            self.connection is None or self.connection.address != (self.host, self.port)
        ) and self.connecting is None:
            self._connect()
        # No attempt to connect is in progress: report the failure at once.
        if self.connection is None and self.connecting is None:
            return call.end(Status.CONNECT_FAILED)
        self.pending.append(call)
        if self.timer is None:
            self.timer = self.loop.call_later(self.timeout, self._expire_calls)
        if self.connection is not None and not self.connection.paused:
            self.connection.send(call)
        else:
            self.unsent.append(call)

    def _expire_calls(self) -> None:
        """Time out calls. A call that was never sent has not been counted."""
        self.timer, now = None, time.monotonic()
        while self.pending and (
            self.pending[0].on_reply is None or self.pending[0].started_at + self.timeout <= now
        ):
            call = self.pending.popleft()
            if call in self.unsent:
                self.unsent.remove(call)
                call.end(Status.CONNECT_FAILED)
            else:
                call.end(Status.TIMEOUT)
        self._close_if_silent(now)
        if self.pending and self.timer is None:
            self.timer = self.loop.call_later(
                max(0.001, self.pending[0].started_at + self.timeout - now), self._expire_calls
            )

    def _connect(self) -> None:
        if time.monotonic() < self.reconnect_at:
            return
        address = (self.host, self.port)
        task = self.connecting = self.loop.create_task(
            self.loop.create_connection(lambda: CounterConnection(self, address), *address)
        )
        timer = self.loop.call_later(CONNECT_TIMEOUT_S, task.cancel)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            is_current = self.connecting is task
            if is_current:
                self.connecting = None
            if not task.cancelled() and task.exception() is None or not is_current:
                return
            warn_rate_limited("counter", "cannot connect to %s:%d", *address)
            self.reconnect_at = time.monotonic() + RECONNECT_DELAY_S
            if self.connection is None:
                self._fail_unsent()

        task.add_done_callback(connected)

    def set_address(self, host: str, port: int) -> None:
        """Switch to another address; calls go to the old one until the new connection is open."""
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        self.reconnect_at = 0.0
        self._connect()

    def on_connected(self, connection: CounterConnection) -> None:
        previous, self.connection, self.connecting = self.connection, connection, None
        if previous is not None:
            # The previous connection stays open until its calls in flight are answered or have timed out.
            self.draining.add(previous)
            previous.drain()
        self.flush(connection)

    def flush(self, connection: CounterConnection) -> None:
        while connection is self.connection and self.unsent and not connection.paused:
            connection.send(self.unsent.popleft())

    def on_disconnected(self, connection: CounterConnection) -> None:
        self.draining.discard(connection)
        if self.connection is connection:
            self.connection = None
            self._fail_unsent()

    def _fail_unsent(self) -> None:
        calls, self.unsent = self.unsent, deque()
        for call in calls:
            call.end(Status.CONNECT_FAILED)

    def sweep(self) -> None:
        """Close connections that are silent or idle; the next call opens a new one."""
        now = time.monotonic()
        for connection in [
            connection
            for connection in self.draining
            if now - connection.last_sent_at > SILENT_TIMEOUTS * self.timeout
        ]:
            connection.close()
        self._close_if_silent(now)
        if (
            self.connection is not None
            and not self.connection.calls
            and now - self.connection.last_sent_at > IDLE_TIMEOUT_S
        ):
            self.connection.close()

    def _close_if_silent(self, now: float) -> None:
        """Close the connection if a reply is overdue: calls behind a lost reply would all time out.

        A slow counter still replies to some calls, and its connection is kept.
        """
        connection, silent_since = self.connection, now - SILENT_TIMEOUTS * self.timeout
        if (
            connection is not None
            and connection.calls
            and max(connection.calls[0].started_at, connection.last_reply_at) < silent_since
        ):
            warn_rate_limited("counter", "reply overdue, closing the connection")
            connection.close()

    def close(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()
        for connection in [*self.draining, *([self.connection] if self.connection is not None else [])]:
            connection.close()


class CounterConnection(asyncio.Protocol):
    """One connection and its calls in flight."""

    def __init__(self, client: CounterClient, address: tuple[str, int]) -> None:
        self.client, self.address = client, address
        self.is_draining = False  # to be closed after the reply to its last call
        self.calls: deque[Call] = deque()
        self.unparsed = b""
        self.paused = False  # the last call is not completely written; no other may follow
        self.last_reply_at = self.last_sent_at = time.monotonic()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that pause_writing tells of any unwritten byte
        self.client.on_connected(self)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.client.flush(self)

    def send(self, call: Call) -> None:
        self.calls.append(call)
        self.last_sent_at = time.monotonic()
        self.transport.write(call.request_line)

    def data_received(self, data: bytes) -> None:
        self.last_reply_at = time.monotonic()
        *lines, self.unparsed = (self.unparsed + data).split(b"\r\n")
        for line in lines:
            if not self.calls or not self._handle_reply(self.calls.popleft(), line):
                warn_rate_limited("counter", "invalid reply: %r", line[:64])
                return self.close()
        if self.is_draining and not self.calls:
            self.close()
        if len(self.unparsed) > MAX_LINE_BYTES:
            warn_rate_limited("counter", "reply too long")
            self.close()

    def _handle_reply(self, call: Call, line: bytes) -> bool:
        """Report the outcome of a call; returns whether the reply could be parsed."""
        word, _, value = line.partition(b" ")
        try:
            total = float(value) if word == b"ok" else 0.0
        except ValueError:
            total = math.nan
        if not math.isfinite(total) or word not in (b"ok", b"busy", b"error"):
            call.end(Status.TIMEOUT)  # it may have been counted
            return False
        call.end({b"ok": Status.OK, b"busy": Status.FULL}.get(word, Status.CONNECT_FAILED), total)
        return True

    def drain(self) -> None:
        """Send no new calls here, and close once all calls are answered."""
        self.is_draining = True
        if not self.calls:
            self.close()

    def close(self) -> None:
        self.transport.abort()
        self._fail_calls()

    def connection_lost(self, error: Exception | None) -> None:
        self._fail_calls()

    def _fail_calls(self) -> None:
        """Fail the calls in flight; those that were completely written may have been counted: TIMEOUT."""
        calls, self.calls = self.calls, deque()
        self.client.on_disconnected(self)
        if self.paused and calls:
            self.paused = False
            calls.pop().end(Status.CONNECT_FAILED)
        for call in calls:
            call.end(Status.TIMEOUT)
