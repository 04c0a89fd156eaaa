"""Hollow gateways and servers, hundreds to a process: the real sessions and calls, with nothing behind them.

A hollow gateway opens its session, reports what it was asked for, draws, takes in what it is told and follows
the log by slot, but reads no configuration and carries no request.  A hollow server heartbeats and leaves.
`python -m crowseam.capacity.hollow_peers` is one such process: a job on the first line of its input, then orders,
one JSON object a line, each answered with one line.  It ends with its input.  Times: seconds, steady.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, deque
from math import exp
from random import Random
from typing import Any

import msgspec
import uvloop

from crowseam import clock
from crowseam.capacity.loads import Clients, Load
from crowseam.consensus.messages import SnapshotOffer, SnapshotPart
from crowseam.consensus.snapshot_transfer import Fetch
from crowseam.gateway import controller_session
from crowseam.quotas.admission import FADE, FEWEST_ASKS
from crowseam.quotas.leases import Holdings
from crowseam.quotas.shards import KEYS, duty_of
from crowseam.settings import SettingsError, address
from crowseam.transport import links
from crowseam.transport import messages as m

LOOK = 0.1  # s between looks at a session
FORGET = 60.0  # s after which a tenant that asks no more is forgotten
LATE_MOST = 0.3  # s by which a look may come late and still judge a controller
PIPES = 16  # connections of the servers to each controller
OUT_MOST = 40  # calls that wait on one of them
ANSWER_IN = 3.0  # s after which a server gives up on an answer
PORT = 8080


class Job(msgspec.Struct):
    """What one process is to do: `count` hollow gateways from number `first`, or all servers (no gateways)."""

    load: Load
    seeds: list[str]
    peer_port: int
    first: int = 0
    count: int = 0


class Traffic:
    """Messages and bytes by type and direction."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def add(self, what: str, size: int, count: int = 1) -> None:
        """Count messages of `size` bytes together, their frames included."""
        self.counts[what] += count
        self.bytes[what] += size

    def told(self) -> dict[str, list[int]]:
        """(messages, bytes) by type."""
        return {what: [self.counts[what], self.bytes[what]] for what in sorted(self.counts)}


def name_of(body: bytes) -> str:
    """The type of a message that this code can't read, as the wire has it."""
    try:
        return str(msgspec.msgpack.decode(body)[0])
    except (msgspec.MsgspecError, IndexError, TypeError, KeyError):
        return "unreadable"


class HollowLink(links.Link):
    """A link that counts, and passes over messages that it doesn't know: the wire grows with the code."""

    def __init__(self, heard, ended, traffic: Traffic) -> None:
        super().__init__(heard, ended)
        self.traffic = traffic
        self.touched = clock.monotonic()

    def data_received(self, data: bytes) -> None:
        self.touched = clock.monotonic()
        buffer = self.buffer
        buffer += data
        at = 0
        while len(buffer) - at >= 4:
            size = int.from_bytes(buffer[at : at + 4], "big")
            if len(buffer) - at < 4 + size:
                break
            body = bytes(memoryview(buffer)[at + 4 : at + 4 + size])
            at += 4 + size
            try:
                message = m.decode(body)
            except (msgspec.MsgspecError, ValueError):
                self.traffic.add(f"in {name_of(body)}", 4 + size)
                continue
            self.traffic.add(f"in {type(message).__name__}", 4 + size)
            self.heard(self, message)
            if not self.open:
                return
        if at:
            del buffer[:at]

    def send(self, *messages: m.Message) -> None:
        for message in messages:
            frame = links.frame(message)
            self.traffic.add(f"out {type(message).__name__}", len(frame))
            self.write(frame)


class Asked:
    """Asks and buckets of the tenants that ask at one gateway; a tenant costs nothing until it does."""

    def __init__(self, rates: dict[str, float]) -> None:
        self._rates = rates
        self._asks: dict[str, tuple[float, float]] = {}  # asks, fading, and as of when; only those told
        self._buckets: dict[str, list[float]] = {}  # level, as of when; until when the reserve is used up
        self._swept = 0.0

    def ask(self, tenant: str, share: float, now: float) -> bool:
        """One request; whether it passes by the slice, 0 to 1 of the quota. If not, it is to be drawn."""
        asks, at = self._asks.get(tenant, (0.0, now))
        self._asks[tenant] = (asks * exp(-FADE * (now - at)) + 1.0, now)
        rate = self._rates[tenant] * share
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = [0.0, now, 0.0]
        # The burst is one second's: loads.configuration says so.
        bucket[0], bucket[1] = min(rate, bucket[0] + rate * (now - bucket[1])), now
        if bucket[0] >= 1.0:
            bucket[0] -= 1.0
            return True
        return False

    def dry(self, tenant: str, until: float) -> None:
        """The reserve is used up until then."""
        if (bucket := self._buckets.get(tenant)) is not None:
            bucket[2] = until

    def is_dry(self, tenant: str, now: float) -> bool:
        """Whether the reserve has said that it is used up for now."""
        return now < self._buckets[tenant][2]

    def report(self, now: float) -> dict[str, float]:
        """Asks a second by tenant, as a gateway tells them."""
        told = {
            tenant: round(rate, 3)
            for tenant, (asks, at) in self._asks.items()
            if (rate := FADE * asks * exp(-FADE * (now - at))) >= FEWEST_ASKS
        }
        if len(told) < len(self._asks):
            self._asks = {tenant: self._asks[tenant] for tenant in told}
        if now - self._swept > FORGET:
            self._swept = now
            self._buckets = {tenant: bucket for tenant, bucket in self._buckets.items() if now - bucket[1] < FORGET}
        return told


class HollowGateway:
    """One gateway's session, as `crowseam.gateway.controller_session` keeps it."""

    def __init__(self, crowd: Gateways, number: int) -> None:
        self.crowd, self.number = crowd, number
        self.rng = Random(crowd.load.seed * 7919 + number)
        self.name = f"hollow-{number:04d}"
        self.asked = Asked(crowd.clients.rates)
        self.starts = crowd.begun + crowd.load.ramp * self.rng.random()
        self.begin()
        self.begun = self.starts

    def begin(self) -> None:
        """A fresh life: nothing is known."""
        self.life = clock.time_ns() // 1000
        self.hop = 0
        self.slot, self.registry, self.place = -1, "", 0
        self.told_slot = -1
        self.known = dict.fromkeys(self.crowd.seeds, 0.0)
        self.holdings = {key: Holdings(self.life) for key in KEYS}
        self.link: HollowLink | None = None
        self.at = ""
        self.alone_since: float | None = None
        self.members = 0
        self.leased_at = self.reported = self.asked_at = clock.monotonic()
        self.next_report = 0.0
        self.begun = self.leased_at
        self.caught_up: float | None = None  # s from its begin to servers and configuration, both whole
        self.leased: float | None = None  # and to all its leases
        self.have_servers = False
        self.fetch: Fetch | None = None  # a large configuration on its way, which outlives a session
        self.dialling = False

    def restart(self) -> None:
        """Killed, and started again with nothing kept."""
        link, self.link = self.link, None
        if link is not None:
            link.close()
        self.begin()
        self.look(clock.monotonic(), 0.0)

    def look(self, now: float, late: float) -> None:
        """Keep the session standing, and report what is due; `late`: s by which this look comes late."""
        link = self.link
        # What this process was too slow to read is no silence of the controller.
        if link is not None and late < LATE_MOST:
            if now - link.touched > controller_session.SILENT:
                self._leave(now, 1.0, "left silent")
            elif self.alone_since is not None and now - self.alone_since > controller_session.ALONE:
                self._leave(now, controller_session.ALONE_AGAIN, "left alone")
        if self.link is None and not self.dialling:
            self.dialling = True
            self.crowd.loop.create_task(self._dial(now))
        fetch = self.fetch
        if fetch is not None and self.link is not None and now - fetch.heard_at > controller_session.PART_WAIT:
            self._fetch_on(now)
        if now >= self.next_report:
            self._report(now)

    def _leave(self, now: float, again: float, why: str) -> None:
        self.crowd.events[why] += 1
        self.known[self.at] = now + again
        link, self.link = self.link, None
        link.close()

    async def _dial(self, now: float) -> None:
        able = [addr for addr, at in self.known.items() if at <= now]
        try:
            if not able:
                return
            addr = self.rng.choice(able)
            self.known[addr] = now + self.rng.uniform(0.3, 0.6)
            link = HollowLink(self._heard, self._ended, self.crowd.traffic)
            async with asyncio.timeout(controller_session.CONNECT):
                await self.crowd.loop.create_connection(lambda: link, addr.rpartition(":")[0], self.crowd.peer_port)
            self.link, self.at, self.alone_since = link, addr, None
            link.peer = addr
            link.touched = clock.monotonic()
            self.hop += 1
            link.send(
                m.Open(
                    self.name,
                    self.life,
                    self.hop,
                    f"zone-{self.number % self.crowd.load.zones}",
                    self.slot,
                    self.registry,
                    self.place,
                    True,
                )
            )
            self._send_report(clock.monotonic())
        except (OSError, TimeoutError):
            self.crowd.events["dial failed"] += 1
            self.known[addr] = clock.monotonic() + 0.4
        finally:
            self.dialling = False

    def _ended(self, link: links.Link) -> None:
        if self.link is link:
            self.link = None
            self.known[self.at] = clock.monotonic() + 0.3
            self.crowd.events["session lost"] += 1

    def _heard(self, link: links.Link, message: m.Message) -> None:
        if link is not self.link:
            return
        now = clock.monotonic()
        kind = type(message)
        if kind is m.Slice:
            if self.holdings[message.key].take(message.lease, now):
                self._send_report(now)
            if self.leased is None and all(each.left(now) > 0.0 for each in self.holdings.values()):
                self.leased = now - self.begun
                self.crowd.leased.append(self.leased)
        elif kind is m.Drawn:
            self.crowd.drawn(self, message, now)
        elif kind is m.Pulse:
            self.members, self.told_slot = message.members, message.slot
            if message.in_touch:
                self.alone_since = None
            elif self.alone_since is None:
                self.alone_since = now
        elif kind is m.Servers:
            self.registry, self.place, self.have_servers = message.registry, message.place, True
            self._whole(now)
        elif kind is m.State or kind is m.Step:
            if kind is m.Step and message.slot > self.slot + 1:
                self.crowd.events["gap"] += 1
                return self._leave(now, 0.0, "left for a gap")
            if message.slot > self.slot:
                self.slot = message.slot
                if self.fetch is not None and self.fetch.slot <= self.slot:
                    self.fetch = None
                self.crowd.arrived(message.slot, now)
                self._whole(now)
        elif kind is SnapshotOffer:
            if message.last <= self.slot:
                link.send(m.Following(self.slot))
            elif self.fetch is None:
                self._fetch_anew(now)
            else:
                self._fetch_on(now)
        elif kind is SnapshotPart:
            self._part(link, message, now)
        elif kind is m.Count:
            link.send(m.Leaving(message.number, self.registry, self.place, {}))
        elif kind is m.Welcome:
            for addr in message.controllers:
                try:
                    address(addr)
                except SettingsError:
                    continue
                self.known.setdefault(addr, 0.0)

    def _fetch_anew(self, now: float) -> None:
        self.fetch = Fetch(self.at, max(self.slot, 0), controller_session.PART, controller_session.WINDOW, now)
        self.link.send(*self.fetch.requests())

    def _fetch_on(self, now: float) -> None:
        self.fetch.asked.clear()
        self.fetch.heard_at = now
        self.link.send(*self.fetch.requests())

    def _part(self, link: links.Link, message: SnapshotPart, now: float) -> None:
        """A part of a configuration; it is fetched as a real gateway does, and then not read."""
        fetch = self.fetch
        if fetch is None:
            return
        if not message.size:
            if message.digest != fetch.digest:
                return
            if fetch.digest:
                return self._fetch_anew(now)
            self.fetch = None
            return link.send(m.Following(self.slot))
        if not fetch.take(message, now):
            return
        if (body := fetch.whole()) is None:
            return link.send(*fetch.requests())
        self.fetch = None
        if fetch.sound(body) and fetch.slot > self.slot:
            self.slot = fetch.slot
            self.crowd.arrived(self.slot, now)
            self._whole(now)
        link.send(m.Following(self.slot))

    def _whole(self, now: float) -> None:
        if self.caught_up is None and self.have_servers and self.slot > 0:
            self.caught_up = now - self.begun
            self.crowd.caught_up.append(self.caught_up)

    def _report(self, now: float) -> None:
        self._ask(now)
        self._send_report(now)
        if not all(each.left(now) > 0.0 for each in self.holdings.values()):
            self.leased_at = now
        pause = controller_session.REPORT
        if now - self.leased_at < controller_session.YOUNG:
            pause = (
                controller_session.REPORT_SOON
                if not self.members
                else min(
                    controller_session.REPORT_SOON,
                    controller_session.SOON_LEAST + controller_session.SOON_EACH * self.members,
                )
            )
        self.next_report = now + pause * self.rng.uniform(0.9, 1.1)

    def _send_report(self, now: float) -> None:
        if self.link is None:
            return
        asks = self.asked.report(now)
        self.crowd.named += len(asks)
        self.crowd.reports += 1
        self.link.send(m.Report(asks, {key: each.to_report(now) for key, each in self.holdings.items()}))

    def _ask(self, now: float) -> None:
        """The requests since the last look."""
        crowd, rng = self.crowd, self.rng
        span, self.asked_at = min(1.0, now - self.asked_at), now
        expected = crowd.load.requests_a_gateway() * span
        count = int(expected) + (rng.random() < expected % 1.0)
        may = crowd.load.draws_most * span
        may = int(may) + (rng.random() < may % 1.0)
        for tenant in crowd.clients.draw(rng, count):
            share = self.holdings[crowd.duties[tenant]].share(tenant, now) or 0.0
            if self.asked.ask(tenant, share, now):
                crowd.passed += 1
            elif not self.asked.is_dry(tenant, now):
                crowd.wanted += 1
                if may > 0 and self.link is not None:
                    may -= 1
                    crowd.draw(self, tenant, now)
            else:
                crowd.refused += 1


class Gateways:
    """All hollow gateways of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, job: Job) -> None:
        self.loop, self.load, self.seeds, self.peer_port = loop, job.load, job.seeds, job.peer_port
        self.clients = Clients(job.load)
        self.duties = {tenant: duty_of(tenant) for tenant in self.clients.rates}
        self.traffic = Traffic()
        self.events: Counter[str] = Counter()
        self.slots: dict[int, list[float]] = {}  # when each gateway was told of a slot
        self.caught_up: list[float] = []
        self.leased: list[float] = []
        self.named = self.reports = self.passed = self.wanted = self.refused = self.given = 0
        self.waits: list[float] = []
        self.draws: dict[int, tuple[str, float]] = {}
        self.last_draw = 0
        self.late_most = self.late_sum = 0.0  # s by which looks came late: this process has no more to give
        self.looks = 0
        self.begun = clock.monotonic()
        self.gateways = [HollowGateway(self, job.first + place) for place in range(job.count)]
        self.at = clock.monotonic()
        self._look()

    def _look(self) -> None:
        now = clock.monotonic()
        late = max(0.0, now - self.at)
        self.late_most, self.late_sum = max(self.late_most, late), self.late_sum + late
        self.looks += 1
        for gateway in self.gateways:
            if now >= gateway.starts:
                gateway.look(now, late)
        self.at = now + LOOK
        self.loop.call_later(LOOK, self._look)

    def arrived(self, slot: int, now: float) -> None:
        """A gateway has been told of a slot."""
        self.slots.setdefault(slot, []).append(now)

    def draw(self, gateway: HollowGateway, tenant: str, now: float) -> None:
        """Send one draw, and remember what for."""
        self.last_draw += 1
        self.draws[self.last_draw] = (tenant, now)
        gateway.link.send(m.Draw(gateway.name, tenant, 1, self.last_draw))
        if len(self.draws) > 100_000:
            self.draws.clear()  # a bound: answers that were lost are never asked for again

    def drawn(self, gateway: HollowGateway, message: m.Drawn, now: float) -> None:
        """The answer to a draw."""
        tenant, at = self.draws.pop(message.number, ("", now))
        if len(self.waits) < 200_000:
            self.waits.append(now - at)
        self.given += message.given
        if tenant and not message.given:
            gateway.asked.dry(tenant, now + message.wait)

    def order(self, told: dict[str, Any]) -> dict[str, Any]:
        """Do what is asked, and tell what has been counted."""
        if told["do"] == "restart":
            for gateway in self.gateways[: told["count"]]:
                gateway.restart()
        if told["do"] == "reset":
            self.traffic, self.waits = Traffic(), []
            for gateway in self.gateways:
                if gateway.link is not None:
                    gateway.link.traffic = self.traffic
            self.named = self.reports = self.passed = self.wanted = self.refused = self.given = 0
            self.late_most = self.late_sum = 0.0
            self.looks = 0
            self.events.clear()
        if told["do"] in ("reset", "restart"):
            self.caught_up, self.leased, self.slots = [], [], {}
        return {
            "gateways": len(self.gateways),
            "open": sum(gateway.link is not None for gateway in self.gateways),
            "whole": sum(gateway.caught_up is not None for gateway in self.gateways),
            "slot": min((gateway.slot for gateway in self.gateways), default=-1),
            "traffic": self.traffic.told(),
            "events": dict(self.events),
            "slots": self.slots,
            "caught_up": self.caught_up,
            "leased": self.leased,
            "named": self.named,
            "reports": self.reports,
            "passed": self.passed,
            "wanted": self.wanted,
            "refused": self.refused,
            "given": self.given,
            "draw_waits": sorted(self.waits)[:: max(1, len(self.waits) // 200)],
            "late_most": self.late_most,
            "late_mean": self.late_sum / max(1, self.looks),
        }


class Pipe(asyncio.Protocol):
    """A connection of the servers to a controller; answers come in the order of the calls."""

    def __init__(self, crowd: Servers, addr: str) -> None:
        self.crowd, self.addr = crowd, addr
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.waiting: deque[tuple[HollowServer, str, float]] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        for server, _, _ in self.waiting:
            self.crowd.lost(server)
        self.waiting.clear()

    def call(self, server: HollowServer, method: str, body: bytes, now: float) -> None:
        head = (
            f"{method} /-/backends/{server.id} HTTP/1.1\r\nHost: {self.addr}\r\n" f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        self.transport.write(head + body)
        self.waiting.append((server, method, now))
        self.crowd.traffic.add(f"out {method}", len(head) + len(body))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            body, self.buffer = self.buffer[end + 4 : end + 4 + length], self.buffer[end + 4 + length :]
            server, method, sent = self.waiting.popleft()
            self.crowd.traffic.add(f"in answer to {method}", end + 4 + length)
            self.crowd.answered(server, method, int(head[9:12]), body, sent)


class HollowServer:
    """One server: its reports, and its end."""

    def __init__(self, number: int, born: int, load: Load) -> None:
        self.id = f"i-{number:05d}-{born:04d}"
        self.number, self.born, self.seq, self.phase = number, born, 0, "up"
        self.home = ""  # the controller that it was told to call
        self.asked_at = 0.0  # when it first said that it leaves
        service, zone = number % load.services, number % load.zones
        # Each life has an address of its own: a used one is taken over only after a while.
        self._body = (
            f'{{"addr":"10.{zone + 1}.{born % 200}.{number % 250 + 1}:{PORT + number // 250}",'
            f'"summary":{{"svc":"service-{service:03d}","ver":"v1","az":"zone-{zone}","slots":8}},'
            f'"stat":{{"phase":"%s","seq":%d,"warmup_time":"0ms"}}}}'
        )

    def body(self) -> bytes:
        """The next report."""
        self.seq += 1
        return (self._body % (self.phase, self.seq)).encode()


class Servers:
    """All hollow servers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, job: Job) -> None:
        self.loop, self.load, self.seeds = loop, job.load, job.seeds
        self.rng = Random(job.load.seed + 17)
        self.traffic = Traffic()
        self.statuses: Counter[str] = Counter()
        self.pipes: dict[str, list[Pipe]] = {addr: [] for addr in job.seeds}
        self.lost_calls = 0
        self.leave_acks: list[float] = []
        self.born = 0
        now = clock.monotonic()
        self.due: deque[tuple[float, HollowServer]] = deque()
        for number in range(job.load.servers):
            server = HollowServer(number, 0, job.load)
            self.due.append((now + job.load.heartbeat * number / job.load.servers, server))
        self.late_most = 0.0
        self._connect()
        self._heartbeat()

    def _connect(self) -> None:
        now = clock.monotonic()
        for addr, pipes in self.pipes.items():
            pipes[:] = [pipe for pipe in pipes if pipe.transport is not None]
            for pipe in pipes:
                if pipe.waiting and now - pipe.waiting[0][2] > ANSWER_IN:
                    pipe.transport.abort()
            if len(pipes) < PIPES:
                self.loop.create_task(self._dial(addr, PIPES - len(pipes)))
        self.loop.call_later(1.0, self._connect)

    async def _dial(self, addr: str, count: int) -> None:
        host, port = address(addr)
        for _ in range(count):
            try:
                async with asyncio.timeout(0.5):
                    _, pipe = await self.loop.create_connection(lambda: Pipe(self, addr), host, port)
            except (OSError, TimeoutError):
                return
            if pipe.transport is not None:
                self.pipes[addr].append(pipe)

    def _pipe(self, server: HollowServer) -> Pipe | None:
        places = [server.home] if server.home in self.pipes else []
        for addr in (*places, *self.rng.sample(self.seeds, len(self.seeds))):
            free = [pipe for pipe in self.pipes[addr] if pipe.transport is not None and len(pipe.waiting) < OUT_MOST]
            if free:
                return self.rng.choice(free)
        return None

    def _heartbeat(self) -> None:
        now = clock.monotonic()
        due = self.due
        while due and due[0][0] <= now:
            at, server = due.popleft()
            self.late_most = max(self.late_most, now - at)
            if server.phase == "gone":
                continue
            if server.phase == "up":
                self.call(server, "PUT", now)
            due.append((max(at, now - self.load.heartbeat) + self.load.heartbeat, server))
        self.loop.call_later(0.01, self._heartbeat)

    def call(self, server: HollowServer, method: str, now: float) -> None:
        """Report, or say goodbye, where a connection stands."""
        if (pipe := self._pipe(server)) is not None:
            pipe.call(server, method, server.body() if method == "PUT" else b"", now)
        else:
            self.lost(server)

    def lost(self, server: HollowServer) -> None:
        """No answer came: one that leaves says so again."""
        self.lost_calls += 1
        if server.phase == "draining":
            self.loop.call_later(0.1, lambda: self.call(server, "PUT", clock.monotonic()))

    def answered(self, server: HollowServer, method: str, status: int, body: bytes, sent: float) -> None:
        """A controller has answered."""
        self.statuses[f"{method} {status}"] += 1
        now = clock.monotonic()
        if server.phase == "draining" and method == "PUT":
            if status != 200:
                return self.lost(server)
            self.leave_acks.append(now - server.asked_at)
            server.phase = "gone"
            self.call(server, "DELETE", now)
            self.due.append((now, HollowServer(server.number, server.born + 1, self.load)))
        elif b"beat_url" in body:
            try:
                url = msgspec.json.decode(body).get("beat_url", "")
            except (msgspec.DecodeError, AttributeError):
                return
            addr = url.partition("//")[2].partition("/")[0]
            if addr in self.pipes:
                server.home = addr

    def order(self, told: dict[str, Any]) -> dict[str, Any]:
        """Do what is asked, and tell what has been counted."""
        if told["do"] == "leave":
            up = [server for _, server in self.due if server.phase == "up"]
            for server in self.rng.sample(up, told["count"]):
                server.phase, server.asked_at = "draining", clock.monotonic()
                self.call(server, "PUT", clock.monotonic())
        if told["do"] == "reset":
            self.traffic, self.leave_acks, self.late_most, self.lost_calls = Traffic(), [], 0.0, 0
            self.statuses.clear()
        return {
            "servers": len(self.due),
            "traffic": self.traffic.told(),
            "statuses": dict(self.statuses),
            "leave_acks": self.leave_acks,
            "lost_calls": self.lost_calls,
            "late_most": self.late_most,
            "pipes": {addr: len(pipes) for addr, pipes in self.pipes.items()},
        }


async def serve() -> None:
    """Take the job and the orders from the input until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    job = msgspec.json.decode(await reader.readline(), type=Job)
    crowd = Gateways(loop, job) if job.count else Servers(loop, job)
    loop.call_later(job.load.seconds_most, loop.stop)  # ends by itself, whoever has started it
    while line := await reader.readline():
        told = crowd.order(msgspec.json.decode(line))
        sys.stdout.buffer.write(msgspec.json.encode(told) + b"\n")
        sys.stdout.buffer.flush()


def main() -> int:
    """Run one process of hollow ends; the exit code."""
    try:
        uvloop.run(serve())
    except (msgspec.MsgspecError, RuntimeError) as error:
        print(f"hollow: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
