"""HTTP/1.1 client of simulated clients, servers and operators; answers are parsed by `httptools`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from crowseam.simulator.world.loop import Process


@dataclass(slots=True)
class Answer:
    """A complete answer; `is_reusable`: whether its connection can be reused."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_reusable: bool


class ClientConnection(asyncio.Protocol):
    """A client connection with one request at a time; `on_answer` gets the answer, or None if it is incomplete."""

    def __init__(self) -> None:
        self.transport = None
        self.on_answer: Callable[[Answer | None], None] | None = None
        self.unsolicited = 0  # bytes received without a pending request
        self.parser = None
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    @property
    def is_usable(self) -> bool:
        """Whether the connection can take another request."""
        return self.transport is not None and not self.transport.is_closing() and not self.transport.end_received

    def send_request(self, data: bytes, on_answer: Callable[[Answer | None], None]) -> None:
        """Send a request; `on_answer` gets the answer."""
        self.on_answer = on_answer
        self.parser, self.headers, self.body = httptools.HttpResponseParser(self), {}, []
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse received data; unsolicited data closes the connection."""
        if self.on_answer is None:
            self.unsolicited += len(data)
            return self.transport.close()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._finish(None)
            self.transport.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header field."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: a complete answer; interim answers (1xx) are ignored."""
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        is_reusable = self.parser.should_keep_alive()
        self._finish(Answer(status, self.headers, b"".join(self.body), is_reusable))

    def _finish(self, answer: Answer | None) -> None:
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer)

    def eof_received(self) -> None:
        """Let the transport close at end of stream."""
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Report None for a request that is still pending."""
        self._finish(None)

    def abort(self) -> None:
        """Close at once, without reporting an answer."""
        self.on_answer = None
        if self.transport is not None:
            self.transport.abort()


def fetch(
    process: Process, address: str, data: bytes, timeout: float, on_answer: Callable[[Answer | None], None]
) -> None:
    """Send one request on a new connection; `on_answer` gets the answer, or None on a failure or after `timeout` s."""
    host, _, port = address.rpartition(":")
    loop, connection, is_finished = process.loop, ClientConnection(), False

    def finish(answer: Answer | None) -> None:
        nonlocal is_finished
        if not is_finished:
            is_finished = True
            timer.cancel()
            connected.cancel()
            connection.abort()
            on_answer(answer)

    def on_connected(connected: asyncio.Future) -> None:
        if is_finished:
            return
        if connected.cancelled() or connected.exception() is not None:
            return finish(None)
        connection.send_request(data, finish)

    connected = loop.create_future()
    timer = loop.call_later(timeout, finish, None)
    connected.add_done_callback(on_connected)
    loop.network.dial(process, lambda: connection, host, int(port), connected)


def request(method: str, host: str, path: str, fields: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Serialize a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in fields)]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
