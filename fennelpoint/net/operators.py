"""The second address, for operators only: one call for each connection, answered at once.

Sockets and syntax only: what a call does is up to the `Calls` it is given.
"""

from __future__ import annotations

import asyncio
from typing import Protocol
from urllib.parse import unquote

import httptools

from fennelpoint.net import figures
from fennelpoint.net.notice import log

MOST_CALLERS = 16  # connections at a time; those that say nothing stay for seconds
CALL_TIMEOUT = 2.0  # s for a call to come whole, and for its caller to leave after the answer
MOST_CALL = 16 * 1024  # bytes of a call
SERVERS = "/v1/menu-servers/"
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

Reply = tuple[int, str]


class Calls(Protocol):
    """What operators may ask for; each says whether it was done."""

    def takes_clients(self) -> bool: ...
    def metrics(self) -> bytes: ...
    def suspend(self, backend: str) -> bool: ...
    def resume(self, backend: str) -> bool: ...
    def drain(self) -> bool: ...
    def activate(self) -> bool: ...


class Caller(asyncio.Protocol):
    """One operator's connection: a call, its answer, the end."""

    def __init__(self, operators: Operators) -> None:
        self.operators = operators
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url, self.size = b"", 0
        self.answered = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = self.operators.loop.call_later(CALL_TIMEOUT, self._late)
        self.operators.stand(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # one call for each connection
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, "it can't be read\n")
        if self.size > MOST_CALL:
            self.answer(413, "it has no end\n")

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and value.lower() == b"100-continue" and not self.answered:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        if not self.answered:
            self.operators.serve(self, self.parser.get_method().decode(), self.url)

    def answer(self, status: int, text: str | bytes, fields: str = "") -> None:
        """The one answer; our side is closed after it, and the connection when the caller has left."""
        if self.answered:
            return
        self.answered = True
        body = text if isinstance(text, bytes) else text.encode()
        self.transport.write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\n{fields}Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + body
        )
        self.transport.write_eof()

    def _late(self) -> None:
        if not self.answered and self.size:
            self.answer(408, "it has not come whole in time\n")
        self.transport.close()

    def eof_received(self) -> bool:
        """The caller has said all it will: nothing more is owed where the answer is written."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.operators.callers.pop(self, None)
        self.answered = True
        self.parser = None  # parser and protocol hold each other, and collections are rare


class Operators:
    """The listening socket of the second address and its callers, the oldest first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Calls) -> None:
        self.loop, self.calls = loop, calls
        self.callers: dict[Caller, None] = {}
        self.listener: asyncio.Server | None = None
        self.fixed = {
            "/v1/readyz": ("GET", self._readyz),
            "/v1/metrics": ("GET", self._metrics),
            "/v1/ingress/drain": ("POST", lambda: self._order(calls.drain(), "drain")),
            "/v1/ingress/activate": ("POST", lambda: self._order(calls.activate(), "activate")),
        }
        self.of_servers = {"suspend": calls.suspend, "resume": calls.resume}

    async def listen(self, address: tuple[str, int]) -> None:
        self.listener = await self.loop.create_server(
            lambda: Caller(self), *address, backlog=128, reuse_address=True
        )

    def stand(self, caller: Caller) -> None:
        """Take one in; beyond the cap the oldest goes, as only those that say nothing stand for long."""
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            next(iter(self.callers)).transport.abort()

    def serve(self, caller: Caller, method: str, url: bytes) -> None:
        """Do what a whole call asks for, and answer it."""
        path = url.partition(b"?")[0].decode("latin-1")
        server, _, verb = path.removeprefix(SERVERS).rpartition("/")
        try:
            if path in self.fixed:
                wanted, run = self.fixed[path]
            elif path.startswith(SERVERS) and server and "/" not in server and verb in self.of_servers:
                wanted, run = "POST", lambda: self._ban(verb, unquote(server))
            else:
                return caller.answer(404, "there is no such call\n")
            if method != wanted:
                return caller.answer(405, f"this call is a {wanted}\n", f"Allow: {wanted}\r\n")
            caller.answer(*run())
        except Exception:
            # Guards the ingress: a defect here costs the call at hand.
            log.exception("an operator's call failed: %s %s", method, path)
            caller.answer(500, "it failed\n")

    def _readyz(self) -> Reply:
        return (200, "ready\n") if self.calls.takes_clients() else (503, "not ready\n")

    def _metrics(self) -> tuple[int, bytes, str]:
        return 200, self.calls.metrics(), f"Content-Type: {figures.CONTENT_TYPE.decode()}\r\n"

    def _order(self, done: bool, word: str) -> Reply:
        log.info("operators: %s%s", word, "" if done else ", which can't be: it is stopping")
        return (200, "done\n") if done else (409, "the ingress is stopping\n")

    def _ban(self, verb: str, server: str) -> Reply:
        known = self.of_servers[verb](server)
        log.info("operators: %s %s%s", verb, server, "" if known else ", which no list has named")
        return (200, "done\n") if known else (404, "no list has named this menu server\n")

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            caller.transport.abort()
