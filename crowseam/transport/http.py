"""A small HTTP/1.1 server for control calls (RFC 9112). Bodies are buffered completely; there is no streaming."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import cast
from urllib.parse import unquote

import httptools

MAX_BODY_BYTES = 16 * 1024 * 1024  # of one call, including its head
MAX_PIPELINED_CALLS = 64  # queued calls per connection
IDLE_TIMEOUT_S = 30.0  # time without received data after which an idle connection is closed
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class Call:
    """A control call, which is answered exactly once."""

    __slots__ = ("body", "connection", "is_answered", "keep_alive", "method", "path")

    def __init__(self, connection: HttpConnection, method: str, path: str, body: bytes, keep_alive: bool) -> None:
        self.connection = connection
        self.method = method
        self.path = path
        self.body = body
        self.keep_alive = keep_alive
        self.is_answered = False

    def reply(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/json",
        fields: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send the response; a second response is ignored."""
        if self.is_answered:
            return
        self.is_answered = True
        lines = [f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Answer')}", f"Content-Length: {len(body)}"]
        if body:
            lines.append(f"Content-Type: {content_type}")
        lines += [f"{name}: {value}" for name, value in fields]
        if not self.keep_alive:
            lines.append("Connection: close")
        self.connection.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body, self.keep_alive)


class HttpConnection(asyncio.Protocol):
    """A client connection; `serve` is called for one call at a time, in order of arrival."""

    def __init__(self, serve: Callable[[Call], None], max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.serve = serve
        self.max_body_bytes = max_body_bytes
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.queued: list[Call] = []
        self.is_serving = False
        self.received_bytes = 0
        self.ignores_input = False
        self.idle_timer: asyncio.TimerHandle | None = None
        self.has_received = False  # since the idle timer was last set
        self._begin_call()

    def _begin_call(self) -> None:
        self.url = b""
        self.body_parts: list[bytes] = []
        self.expects_continue = False
        self.has_body = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timer (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self._check_idle()

    def _check_idle(self) -> None:
        """Close the connection if no data arrived since the last check and no call is being served."""
        is_idle = not (self.has_received or self.is_serving) and self.idle_timer is not None
        if is_idle and self.transport is not None:
            self.transport.close()
            return
        self.has_received = False
        self.idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self._check_idle)

    def connection_lost(self, _: Exception | None) -> None:
        """Stop the idle timer and drop queued calls (asyncio)."""
        self.ignores_input = True
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.parser = None
        self.queued.clear()

    def data_received(self, data: bytes) -> None:
        """Parse received data; after invalid data, reply with an error and ignore the rest (asyncio)."""
        if self.ignores_input:
            return
        self.has_received = True
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes:
            self._reject(413, "the call is too large")
            return
        try:
            while data:
                data = self._feed(data)
        except httptools.HttpParserError:
            self._reject(400, "the call can't be read")

    def _feed(self, data: bytes) -> bytes:
        """Parse data and return the unparsed rest."""
        if self.parser is None:
            return b""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not supported: ignore the offer and go on with HTTP/1.1.
            if not self.ignores_input:
                self.parser = httptools.HttpRequestParser(self)
                return data[upgrade.args[0] :]
        return b""

    def _reject(self, status: int, text: str) -> None:
        if not self.ignores_input:
            self.ignores_input = True
            self.queued.append(Call(self, "", "", f"{status} {text}".encode(), False))
            self._serve_next()

    def on_message_begin(self) -> None:
        """Reset the parse state for a new call (httptools)."""
        self._begin_call()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (httptools)."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header field (httptools)."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif name in (b"content-length", b"transfer-encoding"):
            self.has_body = True

    def on_headers_complete(self) -> None:
        """Process the end of the head (httptools)."""
        if self.parser is None:
            return
        if self.has_body and self.parser.should_upgrade():
            # The parser would not read the body, which would then be parsed as the next call.
            self._reject(400, "a call with a body can't change the protocol")
            return
        is_first = not (self.is_serving or self.queued or self.ignores_input)
        if self.expects_continue and is_first and self.transport is not None:
            # Only if no earlier call is unanswered, as the client would take this for the response to that call.
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (httptools)."""
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete call (httptools)."""
        self.received_bytes = 0
        if self.ignores_input or self.parser is None:
            return
        if len(self.queued) >= MAX_PIPELINED_CALLS:
            self._reject(503, "too many calls at once")
            return
        path = unquote(self.url.partition(b"?")[0].decode("latin-1"))
        method = self.parser.get_method().decode()
        self.queued.append(Call(self, method, path, b"".join(self.body_parts), self.parser.should_keep_alive()))
        self._serve_next()

    def _serve_next(self) -> None:
        while self.queued and not self.is_serving:
            call = self.queued.pop(0)
            self.is_serving = True
            if not call.method:
                status, _, text = call.body.decode().partition(" ")
                call.reply(int(status), b'{"error":"%s"}' % text.encode())
            else:
                self.serve(call)

    def write(self, data: bytes, keep_alive: bool) -> None:
        """Write the response to the current call; then serve the next call, or close unless `keep_alive`."""
        self.is_serving = False
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if not keep_alive:
            self.ignores_input = True
            self.queued.clear()
            self.transport.close()
        elif self.queued:
            asyncio.get_running_loop().call_soon(self._serve_next)
