"""Management API for operators on a separate address: one call per connection.

Handles sockets and HTTP only; the calls themselves are implemented by an `OperatorCalls` object.
"""

from __future__ import annotations

import asyncio
from typing import Protocol
from urllib.parse import unquote

import httptools

from fennelpoint.net import figures
from fennelpoint.net.notice import log

MAX_CALLERS = 16  # connections at a time; silent ones stay open until the call timeout
CALL_TIMEOUT_S = 2.0  # for a call to arrive completely, and for the caller to close after the answer
MAX_CALL_BYTES = 16 * 1024
SERVERS_PATH = "/v1/menu-servers/"
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


class OperatorCalls(Protocol):
    """Calls that operators can make; commands return whether they were carried out."""

    def takes_clients(self) -> bool: ...
    def metrics(self) -> bytes: ...
    def suspend(self, backend: str) -> bool: ...
    def resume(self, backend: str) -> bool: ...
    def drain(self) -> bool: ...
    def activate(self) -> bool: ...


class OperatorConnection(asyncio.Protocol):
    """Connection of an operator: one call and its answer."""

    def __init__(self, operators: OperatorServer) -> None:
        self.operators = operators
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.url, self.received_bytes = b"", 0
        self.answered = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.timer = self.operators.loop.call_later(CALL_TIMEOUT_S, self._time_out)
        self.operators.add_caller(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return  # only one call per connection
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, "it can't be read\n")
        if self.received_bytes > MAX_CALL_BYTES:
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
        """Send the answer, once. The write side is closed after it; the caller closes the connection."""
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

    def _time_out(self) -> None:
        if not self.answered and self.received_bytes:
            self.answer(408, "it has not come whole in time\n")
        self.transport.close()

    def eof_received(self) -> bool:
        """Close when the caller has closed its side; a written answer is still delivered."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.operators.callers.pop(self, None)
        self.answered = True
        self.parser = None  # breaks the reference cycle between parser and protocol


class OperatorServer:
    """Listens on the management address and serves calls; `callers` holds the oldest first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: OperatorCalls) -> None:
        self.loop, self.calls = loop, calls
        self.callers: dict[OperatorConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.fixed_calls = {
            "/v1/readyz": ("GET", self._readyz),
            "/v1/metrics": ("GET", self._metrics),
            "/v1/ingress/drain": ("POST", lambda: self._report_order(calls.drain(), "drain")),
            "/v1/ingress/activate": ("POST", lambda: self._report_order(calls.activate(), "activate")),
        }
        self.server_calls = {"suspend": calls.suspend, "resume": calls.resume}

    async def listen(self, address: tuple[str, int]) -> None:
        self.listener = await self.loop.create_server(
            lambda: OperatorConnection(self), *address, backlog=128, reuse_address=True
        )

    def add_caller(self, caller: OperatorConnection) -> None:
        """Register a connection; above the limit the oldest is closed: only silent callers stay for long."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            next(iter(self.callers)).transport.abort()

    def serve(self, caller: OperatorConnection, method: str, url: bytes) -> None:
        """Route and answer a call."""
        path = url.partition(b"?")[0].decode("latin-1")
        server, _, verb = path.removeprefix(SERVERS_PATH).rpartition("/")
        try:
            if path in self.fixed_calls:
                expected_method, run = self.fixed_calls[path]
            elif path.startswith(SERVERS_PATH) and server and "/" not in server and verb in self.server_calls:
                expected_method, run = "POST", lambda: self._ban(verb, unquote(server))
            else:
                return caller.answer(404, "there is no such call\n")
            if method != expected_method:
                return caller.answer(
                    405, f"this call is a {expected_method}\n", f"Allow: {expected_method}\r\n"
                )
            caller.answer(*run())
        except Exception:
            # A failing call must not affect the ingress.
            log.exception("operator call failed: %s %s", method, path)
            caller.answer(500, "it failed\n")

    def _readyz(self) -> Reply:
        return (200, "ready\n") if self.calls.takes_clients() else (503, "not ready\n")

    def _metrics(self) -> tuple[int, bytes, str]:
        return 200, self.calls.metrics(), f"Content-Type: {figures.CONTENT_TYPE.decode()}\r\n"

    def _report_order(self, done: bool, order: str) -> Reply:
        log.info("operators: %s%s", order, "" if done else ", rejected: the ingress is stopping")
        return (200, "done\n") if done else (409, "the ingress is stopping\n")

    def _ban(self, verb: str, server: str) -> Reply:
        is_known = self.server_calls[verb](server)
        log.info("operators: %s %s%s", verb, server, "" if is_known else ", rejected: unknown server")
        return (200, "done\n") if is_known else (404, "no list has named this menu server\n")

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            caller.transport.abort()
