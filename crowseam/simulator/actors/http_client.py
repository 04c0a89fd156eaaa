"""HTTP as clients, servers and operators of the simulator speak it: real bytes, parsed by a library."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from crowseam.simulator.world.loop import Process


@dataclass(slots=True)
class Answer:
    """A whole answer; `keep`: whether its connection can be used again."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool


class ClientConnection(asyncio.Protocol):
    """A connection that asks, one request at a time; `done` gets the answer, None where none came whole."""

    def __init__(self) -> None:
        self.transport = None
        self.done: Callable[[Answer | None], None] | None = None
        self.unsolicited = 0  # bytes that belong to no request
        self.parser = None
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection is up."""
        self.transport = transport

    @property
    def usable(self) -> bool:
        """Whether another request can be sent on the connection."""
        return self.transport is not None and not self.transport.is_closing() and not self.transport.ended

    def ask(self, data: bytes, done: Callable[[Answer | None], None]) -> None:
        """Send a request; `done` gets the answer."""
        self.done = done
        self.parser, self.headers, self.body = httptools.HttpResponseParser(self), {}, []
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse what has come; bytes without a request close the connection."""
        if self.done is None:
            self.unsolicited += len(data)
            return self.transport.close()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._over(None)
            self.transport.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser has read a header field."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """The parser has read a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """The parser has read a whole answer; interim ones (1xx) are passed over."""
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        keep = self.parser.should_keep_alive()
        self._over(Answer(status, self.headers, b"".join(self.body), keep))

    def _over(self, answer: Answer | None) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(answer)

    def eof_received(self) -> None:
        """The other end sends no more; the transport is to close."""
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone: what was asked gets no answer."""
        self._over(None)

    def abort(self) -> None:
        """Close without waiting for anything."""
        self.done = None
        if self.transport is not None:
            self.transport.abort()


def fetch(process: Process, address: str, data: bytes, timeout: float, done: Callable[[Answer | None], None]) -> None:
    """One call on a connection of its own; `done` gets the answer, or None after a failure or `timeout` s."""
    host, _, port = address.rpartition(":")
    loop, connection, over = process.loop, ClientConnection(), False

    def end(answer: Answer | None) -> None:
        nonlocal over
        if not over:
            over = True
            timer.cancel()
            made.cancel()
            connection.abort()
            done(answer)

    def up(made: asyncio.Future) -> None:
        if over:
            return
        if made.cancelled() or made.exception() is not None:
            return end(None)
        connection.ask(data, end)

    made = loop.create_future()
    timer = loop.call_later(timeout, end, None)
    made.add_done_callback(up)
    loop.network.dial(process, lambda: connection, host, int(port), made)


def request(method: str, host: str, path: str, fields: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """The bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in fields)]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
