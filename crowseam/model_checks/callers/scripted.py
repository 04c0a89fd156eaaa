"""Scripted peers of the model check of callers: servers, clients, callers, a gateway's controller and a gateway.

Their random decisions come from the schedule's seed. Times are seconds of virtual time.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from hashlib import blake2s
from random import Random
from typing import Any

import httptools
import msgspec

from crowseam.discovery.server_record import ServerRecord
from crowseam.model_checks.schedules import Violation
from crowseam.quotas.lease_messages import SHARE_UNITS, QuotaLease
from crowseam.quotas.shards import shard_of
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.transport.codec import encode, pack
from crowseam.transport.links import Link
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    ConfigurationState,
    GatewayReport,
    InFlightCountRequest,
    InFlightCounts,
    LeaseUpdate,
    Message,
    OpenSession,
    ReserveDraw,
    ReserveDrawReply,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
)

MAX_TRIES = 3  # of each route
CLIENT_TIME_LEFT_S = 1.0  # sent as X-Time-Left
LINK_DELAY_S = 0.001  # one way
HOST = "callers.example"
GATEWAY, CONTROLLER = "10.0.0.1", "10.0.0.2"
SERVERS = ("i-1", "i-2", "i-3")
TENANTS = ("north", "south")
BODY_PREFIXES = (b"safe-", b"once-", b"long-", b"kept-", b"none")  # of answers by servers
UNSAFE_KINDS = ("once", "long")  # of routes whose requests run at most once for each attempt
LONG_TIMEOUT_MS = 4000  # of the routes for slow uploads
NOT_RUN_STATUSES = frozenset((429, 503, 408, 421))
FAULTS = ("reset", "close", "rest late", "garbage", "silence")
GARBAGE = b"\x00\x16 no answer\r\n\r\nHTTP/9"
LARGE_BODY_BYTES = 70_000  # too large to be buffered


def content_seal(attempt: str, body: bytes) -> str:
    """The seal of a scripted server's answer: the attempt id and a digest of the body."""
    return f"{attempt}.{blake2s(body, digest_size=6).hexdigest()}"


def configuration() -> bytes:
    """The configuration: routes, a service and tenants."""

    def item(group: str, name: str, **spec: Any) -> dict:
        return {"type": group, "meta": {"name": name}, "spec": spec}

    common = {"vhost": HOST, "timeout": "1000ms", "target_time": "200ms", "tries": MAX_TRIES, "svc": "s"}
    slow = common | {"timeout": f"{LONG_TIMEOUT_MS}ms"}
    objs = [
        item("svcs", "s", hc_path="/", maxconn=0),
        item("routes", "safe", prefix="/safe/", kind="safe", public=True, **common),
        item("routes", "once", prefix="/once/", kind="unsafe", public=True, **common),
        item("routes", "kept", prefix="/kept/", kind="safe", **common),
        item("routes", "long", prefix="/long/", kind="unsafe", public=True, **slow),
        item("routes", "idem", prefix="/idem/", kind="idem", public=True, **slow),
    ]
    objs += [item("tenants", name, apikeys=[f"key-{name}"], rate_per_s=1.0, burst=1.0) for name in TENANTS]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


class ScriptedWorld(World):
    """Virtual time, links, and the observations of the scripted peers."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.outcomes: Counter = Counter()
        self.network = Network(self, lambda a, b: LINK_DELAY_S, lambda ip: "")
        self.environment.loop.network = self.network
        self.faults: list[str] = []
        self.server_receipts: dict[str, list[tuple[str, bool]]] = {}  # by attempt: server, whether it ran the request
        self.client_statuses: dict[str, list[int]] = {}  # by attempt: statuses of complete answers
        self.operation_runs: dict[str, list[str]] = {}  # by key of a keyed operation: attempts that ran
        self.corrupted: set[str] = set()  # attempts with a body corrupted within valid framing
        self.attempt_count = 0

    @property
    def events(self) -> int:
        """The number of callbacks run so far."""
        return self.callbacks_run

    def report_fault(self, text: str) -> None:
        """Record a violation; only the first is raised."""
        self.faults.append(f"at {self.now:.4f}s {text}")

    def on_log_event(self, event: str, **fields: object) -> None:
        """Handle a log event of the code under check: internal failures are violations."""
        if event.endswith("_failed"):
            self.report_fault(f"{event}: {fields.get('trace')}")

    def new_attempt_id(self, kind: str) -> str:
        """Return a new attempt id, which begins with the kind of its route."""
        self.attempt_count += 1
        return f"{kind}-{self.attempt_count:04d}-{self.rng.getrandbits(24):06x}"

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call `callback` in `delay` seconds, outside of all simulated processes."""
        self.schedule(self.now + delay, self.environment, callback, args)

    def check_rules(self) -> None:
        """Check the observations against the rules; raises Violation."""
        for attempt, receipts in self.server_receipts.items():
            ran = [name for name, run in receipts if run]
            if attempt.startswith(UNSAFE_KINDS) and len(ran) > 1:
                self.report_fault(f"{attempt} ran at {', '.join(ran)}")
            if len(receipts) > MAX_TRIES:
                self.report_fault(f"{attempt} was received by servers {len(receipts)} times")
            if ran and NOT_RUN_STATUSES.intersection(self.client_statuses.get(attempt, ())):
                self.report_fault(f"{attempt} ran, and its client was answered {self.client_statuses[attempt]}")
        for key, attempts in self.operation_runs.items():
            if len(attempts) > 1:
                self.report_fault(f"the operation {key} ran {len(attempts)} times, as {', '.join(attempts)}")
        for attempt, statuses in self.client_statuses.items():
            if len(statuses) > 1:
                self.report_fault(f"{attempt} was answered {statuses}")
        if self.faults or self.failures:
            raise Violation([*self.faults, *self.failures][0])


# A server


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


# A client


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


# The gateway's controller


class ScriptedController:
    """The gateway's controller: sends servers and the configuration, leases quotas, grants reserve draws at random."""

    def __init__(self, world: ScriptedWorld) -> None:
        self.world, self.rng = world, world.random("registrar")
        self.process = world.network.process("controller", CONTROLLER)
        self.link: Link | None = None
        self.draws: list[tuple[int, ReserveDraw]] = []  # with the gateway's incarnation
        self.replies: dict[tuple[int, int], tuple[str, int]] = {}  # by (incarnation, number): tenant, largest grant
        self.incarnation = 0
        self.previous: bytes = b""
        world.network.listen(self.process, lambda: Link(self._on_message, self._on_close), CONTROLLER, 7660)
        self._send_heartbeats()

    def _on_close(self, link: Link) -> None:
        if self.link is link:
            self.link = None

    def _send_heartbeats(self) -> None:
        if self.link is not None:
            self.link.send(SessionHeartbeat(1, 1, True))
        self.process.loop.call_later(0.25, self._send_heartbeats)

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, OpenSession):
            self.link, self.incarnation = link, message.incarnation
            records = [ServerRecord(name, "s", f"10.1.0.{at + 1}:8080", "z", "v", 8) for at, name in enumerate(SERVERS)]
            link.send(
                SessionOpened(f"{CONTROLLER}:8407", [f"{CONTROLLER}:8407"], PROTOCOL_VERSION),
                ServerUpdate("r", 1, True, records),
                ConfigurationState(1, pack(configuration())),
                SessionHeartbeat(1, 1, True),
            )
        elif isinstance(message, GatewayReport) and link is self.link:
            for key, held in message.held.items():
                shares = {tenant: SHARE_UNITS // 100 for tenant in TENANTS if shard_of(tenant) == key}
                link.send(LeaseUpdate(key, QuotaLease(held.incarnation, held.sent_at, 1, held.epoch + 1, 8.0, shares)))
        elif isinstance(message, ReserveDraw):
            self._draw(message)

    def _draw(self, draw: ReserveDraw) -> None:
        rng = self.rng
        granted = rng.choice((0, 1, 1))
        self.draws.append((self.incarnation, draw))
        older = [each for each in self.draws if each[0] != self.incarnation]
        actions = ("once", "once", "twice", "late", "never", "old", "break")
        action = rng.choice(actions + ("old",) * 4 * bool(older))
        if action in ("once", "twice", "late"):
            self.world.later(
                rng.choice((0.0, 0.01, 0.04)) if action != "late" else rng.uniform(0.05, 0.3),
                self._reply,
                self.incarnation,
                draw,
                granted,
            )
        if action == "twice":
            self.world.later(rng.choice((0.0, 0.01, 0.1)), self._reply, self.incarnation, draw, granted)
        elif action == "old":
            # The reply to another draw, possibly of an earlier incarnation of the gateway.
            self._reply(*rng.choice(older or self.draws), 1)
        elif action == "break":
            self.world.later(rng.uniform(0.0, 0.02), self.drop_session)

    def _reply(self, incarnation: int, draw: ReserveDraw, granted: int) -> None:
        # Like a controller, send to the current session of the gateway with this name.
        _, before = self.replies.get((incarnation, draw.number), ("", 0))
        self.replies[incarnation, draw.number] = draw.tenant, max(before, granted)
        if self.link is not None:
            self.link.send(ReserveDrawReply(draw.gateway, draw.number, granted, 0.1))

    def granted_units(self, incarnation: int, tenant: str) -> int:
        """Requests of a tenant that were granted to an incarnation of the gateway."""
        return sum(
            granted for (each, _), (name, granted) in self.replies.items() if (each, name) == (incarnation, tenant)
        )

    def drop_session(self) -> None:
        """Close the session in the middle of a message."""
        if self.link is not None and self.link.open:
            complete = encode(ReserveDrawReply("d", 1, 1, 0.1))
            self.link.write(complete[: self.rng.randrange(len(complete))])
            self.link.transport.reset_on_close = self.rng.random() < 0.5
            self.link.close()


# Callers and a gateway, for schedules of the controllers


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
