"""Scripted servers of the model check of callers, which answer late, twice, partially or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import httptools
import msgspec

from crowseam.model_checks.callers.scripted_world import (
    FAULTS,
    GARBAGE,
    LARGE_BODY_BYTES,
    ScriptedWorld,
    content_seal,
)


class Plan(msgspec.Struct):
    """How a server handles one request."""

    act: str = "whole"
    after: float = 0.0  # seconds until it answers
    again: float = 0.0  # seconds until unsolicited bytes, or a close, follow
    cut: int = 0  # byte at which the fault occurs
    fault: str = "reset"
    chunked: bool = False
    size: int = 0  # minimum size of the body in bytes
    pieces: int = 1  # writes per answer
    pause: float = 0.003  # seconds between them
    next: str = ""  # action when the next request arrives on the connection


SERVER_ACTIONS = ("whole",) * 6 + (
    "twice",
    "foreign first",
    "foreign only",
    "stray",
    "stray",
    "cut",
    "cut",
    "cut",
    "noise first",
    "noise after",
    "refuse",
    "refuse",
    "error",
    "bare",
    "nameless",
    "early",
    "close",
    "endless",
    "two names",
    "astride",
)
NEXT_REQUEST_ACTIONS = ("",) * 6 + ("slam", "slam reset", "stray", "stray", "foreign", "half")
FOLLOW_UP_DELAYS_S = (0.0, 0.0, 0.0005, 0.002, 0.004, 0.01, 0.03, 0.06)


def random_plan(rng: Random) -> Plan:
    """Return a random plan."""
    act = rng.choice(SERVER_ACTIONS)
    return Plan(
        act,
        rng.choice((0.0, 0.0, 0.0, 0.002, 0.02, 0.25, 0.5, 1.2)),
        rng.choice(FOLLOW_UP_DELAYS_S),
        rng.randrange(rng.choice((260, 260, 2 * LARGE_BODY_BYTES))),
        rng.choice(FAULTS),
        rng.random() < 0.3,
        rng.choice((0, 0, 0, 40, LARGE_BODY_BYTES, 2 * LARGE_BODY_BYTES)),
        rng.choice((1, 1, 2, 5)),
        rng.choice((0.003, 0.003, 0.15)),
        rng.choice(NEXT_REQUEST_ACTIONS),
    )


class ServerConnection(asyncio.Protocol):
    """A connection that the gateway has opened to a scripted server."""

    def __init__(self, world: ScriptedWorld, name: str, plan: Callable[[str, str], Plan]) -> None:
        self.world, self.name, self.plan = world, name, plan
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.previous = ""  # the previous attempt
        self.next = ""
        self.ignores_input = self.is_corrupted = False
        self.pending_bytes = b""
        self.unsent_parts = 0  # pieces of answers still to be written
        self.url, self.fields, self.body = b"", {}, []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.ignores_input:
            return
        next_action, self.next = self.next, ""
        if self.pending_bytes:
            self.write(self.pending_bytes)
            self.pending_bytes = b""
        if next_action == "half":
            # By its framing, the combination with the next answer is one answer; only the seal reveals it.
            self.write(self.unsolicited_answer(self.previous)[:60])
            self.is_corrupted = True
        if next_action.startswith("slam"):
            return self.close(next_action == "slam reset")
        if next_action == "stray":
            self.write(self.unsolicited_answer(self.previous))
        elif next_action == "foreign":
            self.write(self.answer(self.previous, self.previous))
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.world.report_fault(f"{self.name} received an invalid request: {data[:60]!r}")

    def on_message_begin(self) -> None:
        self.url, self.fields, self.body = b"", {}, []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_headers_complete(self) -> None:
        attempt = self.fields.get(b"x-attempt-id", b"").decode()
        if self.parser.get_method() == b"POST" and self.plan(self.name, attempt).act == "early":
            # Refused before its body has arrived, and never run.
            self.ignores_input = True
            self.write(self.answer(attempt, attempt, 503, run=False))
            self.world.later(0.002, self.close, False)

    def on_message_complete(self) -> None:
        if self.ignores_input:
            return
        world, attempt = self.world, self.fields.get(b"x-attempt-id", b"").decode()
        if self.fields.get(b"x-target-instance") != self.name.encode():
            world.report_fault(f"{attempt} for another server was received by {self.name}")
        if attempt not in world.corrupted and b"".join(self.body).replace(attempt.encode(), b""):
            world.report_fault(f"{attempt} was received with the body of another request")
        if self.is_corrupted:
            world.corrupted.add(attempt)
        plan = self.plan(self.name, attempt)
        world.server_receipts.setdefault(attempt, []).append((self.name, plan.act != "refuse"))
        world.later(plan.after, self._answer, attempt, plan)

    # Answers

    def answer(
        self,
        attempt: str,
        named: str,
        status: int = 200,
        run: bool = True,
        chunked: bool = False,
        size: int = 0,
        framed: bool = True,
    ) -> bytes:
        """The bytes of an answer to `attempt` with the attempt id `named`, or without one if that is empty."""
        prefix = f"{attempt} ".encode()
        body = prefix * (1 + size // len(prefix))
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"X-Attempt-Id: {named}"] if named else []
        lines += [f"X-Server-Seal: {content_seal(attempt, body)}"] if 200 <= status < 300 else []
        lines += [] if run else ["X-Not-Run: 1"]
        if chunked:
            half = len(body) // 2
            body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:], b""))
            lines.append("Transfer-Encoding: chunked")
        elif framed:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def unsolicited_answer(self, attempt: str) -> bytes:
        """An answer without an attempt id, to an earlier attempt."""
        status = self.world.rng.choice((500, 503, 503, 200, 404))
        return self.answer(attempt or "none", "", status, status != 503)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def write_unsolicited(self, data: bytes) -> None:
        """Write bytes that belong to no request, unless an answer is being written, of which they would become part."""
        if not self.unsent_parts:
            self.write(data)

    def close(self, reset: bool = False) -> None:
        """Close or reset the connection."""
        self.ignores_input, self.transport.reset_on_close = True, reset
        self.transport.abort()

    def _answer(self, attempt: str, plan: Plan) -> None:
        world, previous = self.world, self.previous
        self.previous, self.next = attempt, plan.next
        complete = self.answer(attempt, attempt, chunked=plan.chunked, size=plan.size)
        match plan.act:
            case "whole" | "early":
                self._write_pieces(complete, plan)
            case "close":
                self._write_pieces(complete, plan)
                world.later(plan.again + 0.01, self.close)
            case "twice":
                self.write(complete)
                world.later(plan.again, self.write_unsolicited, complete)
            case "foreign first":
                self.write(self.answer(previous or "none", previous or "none"))
                world.later(plan.again, self.write, complete)
            case "foreign only":
                self.write(self.answer("none", "none"))
            case "stray":
                self.write(complete)
                world.later(plan.again, self.write_unsolicited, self.unsolicited_answer(attempt))
            case "cut":
                self._write_with_fault(attempt, complete, plan)
            case "noise first":
                self.write(GARBAGE + complete)
            case "noise after":
                self.write(complete)
                world.later(plan.again, self.write_unsolicited, GARBAGE)
            case "refuse":
                self.write(self.answer(attempt, attempt, world.rng.choice((503, 429, 400)), run=False))
            case "error":
                status = world.rng.choice((400, 404, 500))
                self._write_pieces(self.answer(attempt, attempt, status, size=plan.size), plan)
            case "bare":
                # The request ran; without X-Not-Run these statuses do not say otherwise.
                self.write(self.answer(attempt, attempt, world.rng.choice((503, 429, 408))))
            case "endless":
                # An error without a length, which only the close of the connection ends.
                self.write(self.answer(attempt, attempt, 500, size=300, framed=False)[: plan.cut or 1])
                world.later(0.003, self.close)
            case "astride":
                # The start of an unsolicited answer follows this answer, the rest precedes the next one.
                unsolicited_answer = self.unsolicited_answer(attempt)
                self.pending_bytes = unsolicited_answer[plan.cut % len(unsolicited_answer) :]
                self.write(complete + unsolicited_answer[: -len(self.pending_bytes)])
            case "two names":
                # Two merged answer heads, with the body of the second.
                other = self.answer(previous or "none", previous or "none")
                self.write(complete[: complete.index(b"\r\nX-S") + 2] + other[other.index(b"X-A") :])
            case "nameless":
                self.write(self.answer(attempt, "", world.rng.choice((200, 500, 503))))

    def _write_pieces(self, data: bytes, plan: Plan) -> None:
        size = -(-len(data) // plan.pieces)
        self.unsent_parts += plan.pieces
        for number in range(plan.pieces):
            self.world.later(plan.pause * number, self._write_part, data[number * size : (number + 1) * size])

    def _write_part(self, data: bytes) -> None:
        self.unsent_parts -= 1
        self.write(data)

    def _write_with_fault(self, attempt: str, complete: bytes, plan: Plan) -> None:
        head = complete[: plan.cut]
        self.unsent_parts += 1
        if plan.fault == "garbage":
            self.world.corrupted.add(attempt)
            head += GARBAGE
        self.write(head)
        if plan.fault in ("reset", "close"):
            # Together with the data, or after it has been received.
            self.world.later(plan.again, self.close, plan.fault == "reset")
        elif plan.fault == "rest late":
            self.world.later(0.1 + plan.again * 10, self._write_part, complete[plan.cut :])
