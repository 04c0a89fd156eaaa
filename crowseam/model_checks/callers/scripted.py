"""Scripted peers of the model check of callers: servers, clients, callers, a gateway's controller and a gateway.

What they do by chance they draw from the schedule's seed.  Times are seconds of virtual time.
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

TRIES = 3  # of each route
LEFT = 1.0  # s that a client waits
DELAY = 0.001  # s, one way
HOST = "callers.example"
GATEWAY, CONTROLLER = "10.0.0.1", "10.0.0.2"
SERVERS = ("i-1", "i-2", "i-3")
TENANTS = ("north", "south")
KINDS = (b"safe-", b"once-", b"kept-", b"none")  # how a server's body begins
PROMISES = frozenset((429, 503, 408, 421))
FAULTS = ("reset", "close", "rest late", "garbage", "silence")
NOISE = b"\x00\x16 no answer\r\n\r\nHTTP/9"
LARGE = 70_000  # bytes of a body that is not held


def stamp(attempt: str, body: bytes) -> str:
    """What a scripted server stamps an answer with: it names whose it is, and the bytes."""
    return f"{attempt}.{blake2s(body, digest_size=6).hexdigest()}"


def configuration() -> bytes:
    """The routes and tenants in force."""

    def item(group: str, name: str, **spec: Any) -> dict:
        return {"type": group, "meta": {"name": name}, "spec": spec}

    common = {"vhost": HOST, "timeout": "1000ms", "target_time": "200ms", "tries": TRIES, "svc": "s"}
    objs = [
        item("svcs", "s", hc_path="/", maxconn=0),
        item("routes", "safe", prefix="/safe/", kind="safe", public=True, **common),
        item("routes", "once", prefix="/once/", kind="unsafe", public=True, **common),
        item("routes", "kept", prefix="/kept/", kind="safe", **common),
    ]
    objs += [item("tenants", name, apikeys=[f"key-{name}"], rate_per_s=1.0, burst=1.0) for name in TENANTS]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


class Scene(World):
    """Time, links, and what the scripts have seen."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.outcomes: Counter = Counter()
        self.network = Network(self, lambda a, b: DELAY, lambda ip: "")
        self.environment.loop.network = self.network
        self.faults: list[str] = []
        self.got: dict[str, list[tuple[str, bool]]] = {}  # attempt: servers that had it whole, and ran it
        self.given: dict[str, list[int]] = {}  # attempt: statuses that its client had whole
        self.garbled: set[str] = set()  # attempts whose body a server has spoilt within its frame
        self.named = 0

    @property
    def events(self) -> int:
        """Callbacks that were run."""
        return self.callbacks_run

    def wrong(self, text: str) -> None:
        """Note what must not happen; only the first counts."""
        self.faults.append(f"at {self.now:.4f}s {text}")

    def say(self, event: str, **fields: object) -> None:
        """What the code under check logs: its own failures are faults."""
        if event.endswith("_failed"):
            self.wrong(f"{event}: {fields.get('trace')}")

    def name(self, kind: str) -> str:
        """The id of a new try, which tells its route."""
        self.named += 1
        return f"{kind}-{self.named:04d}-{self.rng.getrandbits(24):06x}"

    def later(self, delay: float, what: Callable, *args: object) -> None:
        """Have `what` done outside of all processes."""
        self.schedule(self.now + delay, self.environment, what, args)

    def settle(self) -> None:
        """Hold what was seen against the rules. Raises Violation."""
        for attempt, got in self.got.items():
            ran = [name for name, run in got if run]
            if attempt.startswith("once") and len(ran) > 1:
                self.wrong(f"{attempt} ran at {', '.join(ran)}")
            if len(got) > TRIES:
                self.wrong(f"{attempt} came to servers {len(got)} times")
            if ran and PROMISES.intersection(self.given.get(attempt, ())):
                self.wrong(f"{attempt} ran, and its client was told {self.given[attempt]}")
        for attempt, given in self.given.items():
            if len(given) > 1:
                self.wrong(f"{attempt} was answered {given}")
        if self.faults or self.failures:
            raise Violation([*self.faults, *self.failures][0])


# A server


class Plan(msgspec.Struct):
    """What a server does with one request."""

    act: str = "whole"
    after: float = 0.0  # s until it answers
    again: float = 0.0  # s after which what belongs to nobody follows
    cut: int = 0  # byte at which the fault strikes
    fault: str = "reset"
    chunked: bool = False
    size: int = 0  # bytes of the body beyond its words
    pieces: int = 1  # in which it is written
    pause: float = 0.003  # s between them
    next: str = ""  # what meets the next request on the connection


ACTS = ("whole",) * 6 + (
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
NEXT = ("",) * 6 + ("slam", "slam reset", "stray", "stray", "foreign", "half")
MOMENTS = (0.0, 0.0, 0.0005, 0.002, 0.004, 0.01, 0.03, 0.06)


def drawn(rng: Random) -> Plan:
    """A plan by chance."""
    act = rng.choice(ACTS)
    return Plan(
        act,
        rng.choice((0.0, 0.0, 0.0, 0.002, 0.02, 0.25, 0.5, 1.2)),
        rng.choice(MOMENTS),
        rng.randrange(rng.choice((260, 260, 2 * LARGE))),
        rng.choice(FAULTS),
        rng.random() < 0.3,
        rng.choice((0, 0, 0, 40, LARGE, 2 * LARGE)),
        rng.choice((1, 1, 2, 5)),
        rng.choice((0.003, 0.003, 0.15)),
        rng.choice(NEXT),
    )


class ServerEnd(asyncio.Protocol):
    """A connection that the gateway has opened to a scripted server."""

    def __init__(self, scene: Scene, name: str, plan: Callable[[str, str], Plan]) -> None:
        self.scene, self.name, self.plan = scene, name, plan
        self.transport: Any = None
        self.parser = httptools.HttpRequestParser(self)
        self.last = ""  # the attempt before
        self.next = ""
        self.mute = self.spoilt = False
        self.rest = b""
        self.amid = 0  # parts of an answer that are still to be written
        self.url, self.fields, self.body = b"", {}, []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.mute:
            return
        meets, self.next = self.next, ""
        if self.rest:
            self.write(self.rest)
            self.rest = b""
        if meets == "half":
            # What comes of both is one answer, by its framing: only its stamp tells, which clients check.
            self.write(self.stray(self.last)[:60])
            self.spoilt = True
        if meets.startswith("slam"):
            return self.end(meets == "slam reset")
        if meets == "stray":
            self.write(self.stray(self.last))
        elif meets == "foreign":
            self.write(self.answer(self.last, self.last))
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.scene.wrong(f"{self.name} was sent what is no request: {data[:60]!r}")

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
            # Turned away before its body has come, and never run.
            self.mute = True
            self.write(self.answer(attempt, attempt, 503, run=False))
            self.scene.later(0.002, self.end, False)

    def on_message_complete(self) -> None:
        if self.mute:
            return
        scene, attempt = self.scene, self.fields.get(b"x-attempt-id", b"").decode()
        if self.fields.get(b"x-target-instance") != self.name.encode():
            scene.wrong(f"{attempt} came to {self.name} in place of another")
        if attempt not in scene.garbled and b"".join(self.body).replace(attempt.encode(), b""):
            scene.wrong(f"{attempt} came with the body of another")
        if self.spoilt:
            scene.garbled.add(attempt)
        plan = self.plan(self.name, attempt)
        scene.got.setdefault(attempt, []).append((self.name, plan.act != "refuse"))
        scene.later(plan.after, self._answer, attempt, plan)

    # What is said

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
        """The bytes of an answer to `attempt` that names `named`; of none of them where that is empty."""
        words = f"{attempt} ".encode()
        body = words * (1 + size // len(words))
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"X-Attempt-Id: {named}"] if named else []
        lines += [f"X-Server-Seal: {stamp(attempt, body)}"] if 200 <= status < 300 else []
        lines += [] if run else ["X-Not-Run: 1"]
        if chunked:
            half = len(body) // 2
            body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:], b""))
            lines.append("Transfer-Encoding: chunked")
        elif framed:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def stray(self, attempt: str) -> bytes:
        """An answer to nobody: an older try's, and it names none."""
        status = self.scene.rng.choice((500, 503, 503, 200, 404))
        return self.answer(attempt or "none", "", status, status != 503)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def extra(self, data: bytes) -> None:
        """Write what belongs to no request; not into an answer, whose bytes it would then be."""
        if not self.amid:
            self.write(data)

    def end(self, reset: bool = False) -> None:
        """Close, with a reset or in order."""
        self.mute, self.transport.reset_on_close = True, reset
        self.transport.abort()

    def _answer(self, attempt: str, plan: Plan) -> None:
        scene, last = self.scene, self.last
        self.last, self.next = attempt, plan.next
        whole = self.answer(attempt, attempt, chunked=plan.chunked, size=plan.size)
        match plan.act:
            case "whole" | "early":
                self._pieces(whole, plan)
            case "close":
                self._pieces(whole, plan)
                scene.later(plan.again + 0.01, self.end)
            case "twice":
                self.write(whole)
                scene.later(plan.again, self.extra, whole)
            case "foreign first":
                self.write(self.answer(last or "none", last or "none"))
                scene.later(plan.again, self.write, whole)
            case "foreign only":
                self.write(self.answer("none", "none"))
            case "stray":
                self.write(whole)
                scene.later(plan.again, self.extra, self.stray(attempt))
            case "cut":
                self._cut(attempt, whole, plan)
            case "noise first":
                self.write(NOISE + whole)
            case "noise after":
                self.write(whole)
                scene.later(plan.again, self.extra, NOISE)
            case "refuse":
                self.write(self.answer(attempt, attempt, scene.rng.choice((503, 429, 400)), run=False))
            case "error":
                status = scene.rng.choice((400, 404, 500))
                self._pieces(self.answer(attempt, attempt, status, size=plan.size), plan)
            case "bare":
                # It ran, and says what elsewhere is a promise.
                self.write(self.answer(attempt, attempt, scene.rng.choice((503, 429, 408))))
            case "endless":
                # An error without a length: only a close tells its end, in order or not.
                self.write(self.answer(attempt, attempt, 500, size=300, framed=False)[: plan.cut or 1])
                scene.later(0.003, self.end)
            case "astride":
                # The first bytes of what belongs to nobody come with the answer, the rest amid the next.
                stray = self.stray(attempt)
                self.rest = stray[plan.cut % len(stray) :]
                self.write(whole + stray[: -len(self.rest)])
            case "two names":
                # Two heads that ran into one another: the body is that of either.
                other = self.answer(last or "none", last or "none")
                self.write(whole[: whole.index(b"\r\nX-S") + 2] + other[other.index(b"X-A") :])
            case "nameless":
                self.write(self.answer(attempt, "", scene.rng.choice((200, 500, 503))))

    def _pieces(self, data: bytes, plan: Plan) -> None:
        size = -(-len(data) // plan.pieces)
        self.amid += plan.pieces
        for number in range(plan.pieces):
            self.scene.later(plan.pause * number, self._part, data[number * size : (number + 1) * size])

    def _part(self, data: bytes) -> None:
        self.amid -= 1
        self.write(data)

    def _cut(self, attempt: str, whole: bytes, plan: Plan) -> None:
        head = whole[: plan.cut]
        self.amid += 1
        if plan.fault == "garbage":
            self.scene.garbled.add(attempt)
            head += NOISE
        self.write(head)
        if plan.fault in ("reset", "close"):
            # With what was written, or a moment after it has come.
            self.scene.later(plan.again, self.end, plan.fault == "reset")
        elif plan.fault == "rest late":
            self.scene.later(0.1 + plan.again * 10, self._part, whole[plan.cut :])


# A client


class ClientEnd(asyncio.Protocol):
    """A client's connection; its requests are answered in turn."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.asked: deque[str] = deque()
        self.held: deque[bytes] = deque()  # bodies that wait to be asked for
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.answered: Callable[[bool], None] = lambda keep: None
        self.left = self.noisy = False  # it sends what is no request

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    @property
    def usable(self) -> bool:
        return not (self.left or self.transport is None or self.transport.closed or self.transport.end_received)

    def data_received(self, data: bytes) -> None:
        if self.left:
            return
        if not self.asked and not self.noisy:
            self.scene.wrong(f"a client that asked nothing was sent {data[:60]!r}")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            whose = self.asked[0] if self.asked else "nothing"
            self.scene.wrong(f"the client of {whose} was sent what is no answer: {data[:60]!r}")
            self.leave()

    def on_message_begin(self) -> None:
        self.fields, self.body = {}, []

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status, scene = self.parser.get_status_code(), self.scene
        if 100 <= status < 200:
            if self.held:
                self.transport.write(self.held.popleft())
            return
        if not self.asked:
            if not self.noisy:
                scene.wrong(f"an answer {status} to nobody")
            return
        attempt, body = self.asked.popleft(), b"".join(self.body)
        self.held.clear()
        scene.given.setdefault(attempt, []).append(status)
        scene.outcomes[str(status)] += 1
        named = self.fields.get(b"x-attempt-id", b"").decode()
        if 200 <= status < 300:
            self._success(attempt, named, body)
        elif body.startswith(KINDS) and body.replace(f"{attempt} ".encode(), b""):
            # A server's failure is passed on whole as well, and says whose it is.
            scene.wrong(f"{attempt} was answered {status} with {body[:60]!r}")
        self.answered(self.parser.should_keep_alive())

    def _success(self, attempt: str, named: str, body: bytes) -> None:
        scene, told = self.scene, self.fields.get(b"x-server-seal", b"").decode()
        if not scene.got.get(attempt):
            scene.wrong(f"{attempt} had a success, and no server has had it")
        if named != attempt:
            scene.wrong(f"{attempt} was answered with what is to {named or 'nobody'}")
        elif told != stamp(attempt, body) and attempt not in scene.garbled:
            scene.wrong(f"{attempt} had a success that is not whole: {len(body)} bytes")

    def eof_received(self) -> None:
        return None

    def connection_lost(self, error: Exception | None) -> None:
        self.scene.outcomes["no answer"] += len(self.asked)
        if not self.left:
            self.left = True
            self.answered(False)

    def write(self, data: bytes) -> None:
        """Send, unless the connection is closed."""
        if self.usable:
            self.transport.write(data)

    def leave(self, reset: bool = False) -> None:
        """Go without waiting for anything."""
        self.left = True
        if self.transport is not None:
            self.transport.reset_on_close = reset
            self.transport.abort()


def request(
    attempt: str, left: float = LEFT, framing: str = "length", size: int = 0, expect: bool = False
) -> tuple[bytes, bytes]:
    """Head and body of a request."""
    kind, _, rest = attempt.partition("-")
    lines = [
        f"{'POST' if kind == 'once' else 'GET'} /{kind}/{rest} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt}",
        f"X-Time-Left: {int(left * 1000)}",
    ]
    if kind == "kept":
        lines.append(f"Authorization: Bearer key-{TENANTS[int(rest[:4]) % 2]}")
    body = b""
    if kind == "once":
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


class Registrar:
    """A scripted controller: tells the gateway its servers, lends slices, hands out of the reserve at its whim."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.rng = scene, scene.random("registrar")
        self.process = scene.network.process("controller", CONTROLLER)
        self.link: Link | None = None
        self.draws: list[tuple[int, ReserveDraw]] = []  # with the life that asked
        self.said: dict[tuple[int, int], tuple[str, int]] = {}  # by (life, number): tenant, most handed out
        self.life = 0
        self.last: bytes = b""
        scene.network.listen(self.process, lambda: Link(self._heard, self._ended), CONTROLLER, 7660)
        self._pulse()

    def _ended(self, link: Link) -> None:
        if self.link is link:
            self.link = None

    def _pulse(self) -> None:
        if self.link is not None:
            self.link.send(SessionHeartbeat(1, 1, True))
        self.process.loop.call_later(0.25, self._pulse)

    def _heard(self, link: Link, message: Message) -> None:
        if isinstance(message, OpenSession):
            self.link, self.life = link, message.incarnation
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
        given = rng.choice((0, 1, 1))
        self.draws.append((self.life, draw))
        older = [each for each in self.draws if each[0] != self.life]
        acts = ("once", "once", "twice", "late", "never", "old", "break")
        act = rng.choice(acts + ("old",) * 4 * bool(older))
        if act in ("once", "twice", "late"):
            self.scene.later(
                rng.choice((0.0, 0.01, 0.04)) if act != "late" else rng.uniform(0.05, 0.3),
                self._say,
                self.life,
                draw,
                given,
            )
        if act == "twice":
            self.scene.later(rng.choice((0.0, 0.01, 0.1)), self._say, self.life, draw, given)
        elif act == "old":
            # The answer to another draw, which may be of an earlier life of the gateway.
            self._say(*rng.choice(older or self.draws), 1)
        elif act == "break":
            self.scene.later(rng.uniform(0.0, 0.02), self.drop)

    def _say(self, life: int, draw: ReserveDraw, given: int) -> None:
        # By the name of the gateway, as controllers do: to whatever session it has now.
        _, before = self.said.get((life, draw.number), ("", 0))
        self.said[life, draw.number] = draw.tenant, max(before, given)
        if self.link is not None:
            self.link.send(ReserveDrawReply(draw.gateway, draw.number, given, 0.1))

    def units(self, life: int, tenant: str) -> int:
        """Requests of a tenant that were handed to a life of the gateway."""
        return sum(given for (each, _), (name, given) in self.said.items() if (each, name) == (life, tenant))

    def drop(self) -> None:
        """The session ends amid a message."""
        if self.link is not None and self.link.open:
            whole = encode(ReserveDrawReply("d", 1, 1, 0.1))
            self.link.write(whole[: self.rng.randrange(len(whole))])
            self.link.transport.reset_on_close = self.rng.random() < 0.5
            self.link.close()


# Before the control side


class CallerEnd(asyncio.Protocol):
    """A caller's connection; each call knows what may be answered to it."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.transport: Any = None
        self.parser = httptools.HttpResponseParser(self)
        self.asked: deque[Asking] = deque()
        self.body: list[bytes] = []
        self.noisy = False
        self.over: Callable[[], None] = lambda: None

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
            self.scene.wrong(f"a caller was sent what is no answer: {data[:60]!r}")
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.body = []

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            if not self.asked or not self.asked[0].expects:
                self.scene.wrong(f"a {status} to a call that did not wait for it")
            return
        if not self.asked:
            if not self.noisy:
                self.scene.wrong(f"an answer {status} to nobody")
            return
        asking = self.asked.popleft()
        self.scene.outcomes[f"{asking.name} {status}"] += 1
        if not (self.noisy and status == 400):
            asking.check(status, b"".join(self.body))
        if not self.asked:
            self.over()

    def eof_received(self) -> None:
        return None

    def connection_lost(self, error: Exception | None) -> None:
        self.scene.outcomes["no answer"] += len(self.asked)
        self.over()


class Asking(msgspec.Struct):
    """A call, and the check of its answer."""

    name: str
    data: bytes
    check: Callable[[int, bytes], None]
    expects: bool = False


class Teller(asyncio.Protocol):
    """A scripted gateway with a session at one controller, which has requests under way at servers that leave."""

    def __init__(self, scene: Scene, name: str, ip: str, life: int, busy: dict[str, int]) -> None:
        self.scene, self.name, self.life, self.busy = scene, name, life, busy
        self.process = scene.network.process(name, ip)
        self.servers = ("", 0)
        self.open("10.0.0.1")

    def open(self, at: str) -> None:
        """Begin a session."""
        made = self.process.loop.create_future()
        link = Link(self._heard, lambda link: self.process.loop.call_later(0.2, self.open, at))
        made.add_done_callback(lambda f: self._made(link, at, f.exception() is None))
        self.scene.network.dial(self.process, lambda: link, at, 7660, made)

    def _made(self, link: Link, at: str, up: bool) -> None:
        if not up:
            self.process.loop.call_later(0.2, self.open, at)
            return
        link.send(OpenSession(self.name, self.life, 1, "z", -1, "", 0, protocol=PROTOCOL_VERSION))
        self._report(link)

    def _report(self, link: Link) -> None:
        if link.open:
            link.send(GatewayReport({}, {}))
            self.process.loop.call_later(0.4, self._report, link)

    def _heard(self, link: Link, message: Message) -> None:
        if isinstance(message, ServerUpdate):
            self.servers = message.registry, message.position
        elif isinstance(message, InFlightCountRequest):
            link.send(InFlightCounts(message.number, *self.servers, dict(self.busy)))
