"""Scripted clients of the model check of callers, which check each answer."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from crowseam.model_checks.callers.scripted_world import (
    BODY_PREFIXES,
    CLIENT_TIME_LEFT_S,
    HOST,
    TENANTS,
    ScriptedWorld,
    content_seal,
)


class ClientConnection(asyncio.Protocol):
    """A client's connection; its requests are answered in order."""

    def __init__(self, world: ScriptedWorld) -> None:
        self.world = world
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.outstanding: deque[str] = deque()
        self.pending_bodies: deque[bytes] = deque()  # to be sent after 100 Continue
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.on_answer: Callable[[bool], None] = lambda keep: None
        self.has_left = self.sends_garbage = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    @property
    def usable(self) -> bool:
        return not (self.has_left or self.transport is None or self.transport.closed or self.transport.end_received)

    def data_received(self, data: bytes) -> None:
        if self.has_left:
            return
        if not self.outstanding and not self.sends_garbage:
            self.world.report_fault(f"a client without a request received {data[:60]!r}")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            whose = self.outstanding[0] if self.outstanding else "nothing"
            self.world.report_fault(f"the client of {whose} received an invalid answer: {data[:60]!r}")
            self.disconnect()

    def on_message_begin(self) -> None:
        self.fields, self.body = {}, []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status, world = self.parser.get_status_code(), self.world
        if 100 <= status < 200:
            if self.pending_bodies:
                self.transport.write(self.pending_bodies.popleft())
            return
        if not self.outstanding:
            if not self.sends_garbage:
                world.report_fault(f"answer {status} without a request")
            return
        attempt, body = self.outstanding.popleft(), b"".join(self.body)
        self.pending_bodies.clear()
        world.client_statuses.setdefault(attempt, []).append(status)
        world.outcomes[str(status)] += 1
        named = self.fields.get(b"x-attempt-id", b"").decode()
        if 200 <= status < 300:
            self._check_success(attempt, named, body)
        elif body.startswith(BODY_PREFIXES) and body.replace(f"{attempt} ".encode(), b""):
            # A server's error is also forwarded unchanged, and its body must be that of this attempt.
            world.report_fault(f"{attempt} was answered {status} with {body[:60]!r}")
        self.on_answer(self.parser.should_keep_alive())

    def _check_success(self, attempt: str, named: str, body: bytes) -> None:
        world, seal = self.world, self.fields.get(b"x-server-seal", b"").decode()
        if attempt.startswith("idem"):
            attempt_that_ran = seal.partition(".")[0]  # an earlier attempt of the operation, for a repeat
            if named != attempt or seal != content_seal(attempt_that_ran, body):
                world.report_fault(f"{attempt} received the answer to {named} with the seal {seal}")
            return
        if not world.server_receipts.get(attempt):
            world.report_fault(f"{attempt} succeeded, and no server has received it")
        if named != attempt:
            world.report_fault(f"{attempt} received the answer to {named or 'no attempt'}")
        elif seal != content_seal(attempt, body) and attempt not in world.corrupted:
            world.report_fault(f"{attempt} succeeded with a truncated or altered body of {len(body)} bytes")

    def eof_received(self) -> None:
        return None

    def connection_lost(self, error: Exception | None) -> None:
        self.world.outcomes["no answer"] += len(self.outstanding)
        if not self.has_left:
            self.has_left = True
            self.on_answer(False)

    def write(self, data: bytes) -> None:
        """Send, unless the connection is closed."""
        if self.usable:
            self.transport.write(data)

    def disconnect(self, reset: bool = False) -> None:
        """Close or reset the connection without waiting for answers."""
        self.has_left = True
        if self.transport is not None:
            self.transport.reset_on_close = reset
            self.transport.abort()


def build_request(
    attempt: str,
    time_left_s: float = CLIENT_TIME_LEFT_S,
    framing: str = "length",
    size: int = 0,
    expect: bool = False,
    key: str = "",
    has_body: bool = False,
) -> tuple[bytes, bytes]:
    """Return the head and the body of a request; `key`: of a keyed operation, `has_body`: though its kind has none."""
    kind, _, rest = attempt.partition("-")
    has_body = has_body or kind == "once"
    lines = [
        f"{'POST' if has_body else 'GET'} /{kind}/{rest} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Time-Left: {int(time_left_s * 1000)}",
    ]
    if kind == "kept":
        lines.append(f"Authorization: Bearer key-{TENANTS[int(rest[:4]) % 2]}")
    if key:
        lines.append(f"X-Op-Key: {key}")
    body = b""
    if has_body:
        body = attempt.encode() * (1 + size // len(attempt))
        if framing == "chunked":
            third = max(1, len(body) // 3)
            parts = [body[at : at + third] for at in range(0, len(body), third)]
            lines.append("Transfer-Encoding: chunked")
            body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in [*parts, b""])
        else:
            lines.append(f"Content-Length: {len(body)}")
        if expect:
            lines.append("Expect: 100-continue")
    return "\r\n".join(lines).encode() + b"\r\n\r\n", body
