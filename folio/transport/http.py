"""A small HTTP/1.1 server for calls: whole bodies in, whole answers out, no streaming."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import unquote

import httptools

MOST_BODY = 16 * 1024 * 1024    # bytes of a call; a configuration of 20,000 routes has half of it
IDLE = 30.0     # s that a caller's connection may stand
_PHRASE = {status.value: status.phrase for status in HTTPStatus}


class Call:
    """One call and its one answer."""

    __slots__ = ("connection", "method", "path", "body", "keep", "answered")

    def __init__(self, connection: Caller, method: str, path: str, body: bytes, keep: bool) -> None:
        self.connection, self.method, self.path = connection, method, path
        self.body, self.keep, self.answered = body, keep, False

    def reply(self, status: int, body: bytes = b"", kind: str = "application/json",
              fields: tuple[tuple[str, str], ...] = ()) -> None:
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
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.parts, self.expects = b"", [], False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.deaf = True
        self.parser = None
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.size += len(data)
        try:
            if self.size > self.most:
                return self._fault(413, "the call is too large")
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault(400, "the call can't be read")

    def _fault(self, status: int, text: str) -> None:
        if not self.deaf:
            self.deaf = True
            self.waiting.append(Call(self, "", "", f"{status} {text}".encode(), False))
            self._next()

    def on_message_begin(self) -> None:
        self._fresh()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects = True

    def on_headers_complete(self) -> None:
        if self.expects and not self.busy:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.size = 0
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
