"""A small HTTP/1.1 server for calls: whole bodies in, whole answers out, no streaming."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

import httptools

MOST_BODY = 16 * 1024 * 1024  # bytes of a call; a configuration of 20,000 routes has half of it
MOST_WAITING = 64  # calls written behind one another on one connection
IDLE = 30.0  # s without a byte after which a caller's connection is closed
_PHRASE = {status.value: status.phrase for status in HTTPStatus}


class Call:
    """One call and its one answer."""

    __slots__ = ("connection", "method", "path", "body", "keep", "answered")

    def __init__(self, connection: Caller, method: str, path: str, body: bytes, keep: bool) -> None:
        self.connection, self.method, self.path = connection, method, path
        self.body, self.keep, self.answered = body, keep, False

    def reply(
        self, status: int, body: bytes = b"", kind: str = "application/json", fields: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Answer; a second answer is dropped."""
        if self.answered:
            return
        self.answered = True
        lines = [f"HTTP/1.1 {status} {_PHRASE.get(status, 'Answer')}", f"Content-Length: {len(body)}"]
        if body:
            lines.append(f"Content-Type: {kind}")
        lines += [f"{name}: {value}" for name, value in fields]
        if not self.keep:
            lines.append("Connection: close")
        self.connection.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body, self.keep)


class Caller(asyncio.Protocol):
    """A caller's connection; its calls are served in turn."""

    def __init__(self, serve: Callable[[Call], None], most: int = MOST_BODY) -> None:
        self.serve, self.most = serve, most
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: list[Call] = []
        self.busy = False
        self.size = 0
        self.deaf = False
        self.timer: asyncio.TimerHandle | None = None
        self.heard = False  # since the timer was last set
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.parts, self.expects, self.framed = b"", [], False, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection is up (asyncio)."""
        self.transport = transport
        self._stand()

    def _stand(self) -> None:
        """Close it if nothing is heard for a while and nothing is owed."""
        if not (self.heard or self.busy) and self.timer is not None:
            return self.transport.close()
        self.heard = False
        self.timer = asyncio.get_running_loop().call_later(IDLE, self._stand)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone (asyncio)."""
        self.deaf = True
        if self.timer is not None:
            self.timer.cancel()
        self.parser = None
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        """Read calls from what came; what can't be read is answered once, and nothing after it is read (asyncio)."""
        if self.deaf:
            return
        self.heard = True
        self.size += len(data)
        if self.size > self.most:
            return self._fault(413, "the call is too large")
        try:
            while data:
                data = self._feed(data)
        except httptools.HttpParserError:
            self._fault(400, "the call can't be read")

    def _feed(self, data: bytes) -> bytes:
        """Read, and give back what is left."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Only HTTP is spoken here, and whoever offers more has to do with that.
            if not self.deaf:
                self.parser = httptools.HttpRequestParser(self)
                return data[upgrade.args[0] :]
        return b""

    def _fault(self, status: int, text: str) -> None:
        if not self.deaf:
            self.deaf = True
            self.waiting.append(Call(self, "", "", f"{status} {text}".encode(), False))
            self._next()

    def on_message_begin(self) -> None:
        """A call begins (httptools)."""
        self._fresh()

    def on_url(self, url: bytes) -> None:
        """A part of its target has come (httptools)."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One of its headers has come (httptools)."""
        name = name.lower()
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects = True
        elif name in (b"content-length", b"transfer-encoding"):
            self.framed = True

    def on_headers_complete(self) -> None:
        """Its head is whole (httptools)."""
        if self.framed and self.parser.should_upgrade():
            # The parser leaves such a body unread, and it must not be taken for the next call.
            return self._fault(400, "a call with a body can't change the protocol")
        if self.expects and not (self.busy or self.waiting or self.deaf):
            # Not before the answers to earlier calls, as it would be read as one of theirs.
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """A part of its body has come (httptools)."""
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """It is whole: serve it in its turn (httptools)."""
        self.size = 0
        if self.deaf:
            return
        if len(self.waiting) >= MOST_WAITING:
            return self._fault(503, "too many calls at once")
        path = unquote(self.url.partition(b"?")[0].decode("latin-1"))
        method = self.parser.get_method().decode()
        self.waiting.append(Call(self, method, path, b"".join(self.parts), self.parser.should_keep_alive()))
        self._next()

    def _next(self) -> None:
        while self.waiting and not self.busy:
            call = self.waiting.pop(0)
            self.busy = True
            if not call.method:
                status, _, text = call.body.decode().partition(" ")
                call.reply(int(status), b'{"error":"%s"}' % text.encode())
            else:
                self.serve(call)

    def write(self, data: bytes, keep: bool) -> None:
        """Write the answer to the call that is served; close unless `keep`, else go on with the next call."""
        self.busy = False
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(data)
        if not keep:
            self.deaf = True
            self.waiting.clear()
            self.transport.close()
        elif self.waiting:
            asyncio.get_running_loop().call_soon(self._next)
