"""Scripted callers and a scripted gateway of the real controllers in the model check of callers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools
import msgspec

from crowseam.model_checks.callers.scripted_world import (
    ScriptedWorld,
)
from crowseam.transport.links import Link
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    GatewayReport,
    InFlightCountRequest,
    InFlightCounts,
    Message,
    OpenSession,
    ServerUpdate,
)


class CallerConnection(asyncio.Protocol):
    """A caller's connection; each call checks its own answer."""

    def __init__(self, world: ScriptedWorld) -> None:
        self.world = world
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.outstanding: deque[Call] = deque()
        self.body: list[bytes] = []
        self.sends_garbage = False
        self.on_all_answered: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    @property
    def usable(self) -> bool:
        return not (self.transport is None or self.transport.closed or self.transport.end_received)

    def write(self, data: bytes) -> None:
        """Send, unless the connection is closed."""
        if self.usable:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.world.report_fault(f"a caller received an invalid answer: {data[:60]!r}")
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.body = []

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            if not self.outstanding or not self.outstanding[0].expects:
                self.world.report_fault(f"interim answer {status} to a call that did not request it")
            return
        if not self.outstanding:
            if not self.sends_garbage:
                self.world.report_fault(f"answer {status} without a call")
            return
        call = self.outstanding.popleft()
        self.world.outcomes[f"{call.name} {status}"] += 1
        if not (self.sends_garbage and status == 400):
            call.check(status, b"".join(self.body))
        if not self.outstanding:
            self.on_all_answered()

    def eof_received(self) -> None:
        return None

    def connection_lost(self, error: Exception | None) -> None:
        self.world.outcomes["no answer"] += len(self.outstanding)
        self.on_all_answered()


class Call(msgspec.Struct):
    """A call and the check of its answer."""

    name: str
    data: bytes
    check: Callable[[int, bytes], None]
    expects: bool = False


class ScriptedGateway(asyncio.Protocol):
    """A gateway with a session to one controller, which reports requests in flight at leaving servers."""

    def __init__(self, world: ScriptedWorld, name: str, ip: str, incarnation: int, busy: dict[str, int]) -> None:
        self.world, self.name, self.incarnation, self.busy = world, name, incarnation, busy
        self.process = world.network.process(name, ip)
        self.servers = ("", 0)
        self.open("10.0.0.1")

    def open(self, at: str) -> None:
        """Open a session."""
        made = self.process.loop.create_future()
        link = Link(self._on_message, lambda link: self.process.loop.call_later(0.2, self.open, at))
        made.add_done_callback(lambda f: self._on_connected(link, at, f.exception() is None))
        self.world.network.dial(self.process, lambda: link, at, 7660, made)

    def _on_connected(self, link: Link, at: str, up: bool) -> None:
        if not up:
            self.process.loop.call_later(0.2, self.open, at)
            return
        link.send(OpenSession(self.name, self.incarnation, 1, "z", -1, "", 0, protocol=PROTOCOL_VERSION))
        self._report(link)

    def _report(self, link: Link) -> None:
        if link.open:
            link.send(GatewayReport({}, {}))
            self.process.loop.call_later(0.4, self._report, link)

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, ServerUpdate):
            self.servers = message.registry, message.position
        elif isinstance(message, InFlightCountRequest):
            link.send(InFlightCounts(message.number, *self.servers, dict(self.busy)))
