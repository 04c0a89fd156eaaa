"""Hollow servers: they send heartbeats to controllers and leave in order, but serve nothing."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from random import Random
from typing import NamedTuple

import msgspec

from crowseam import clock
from crowseam.capacity.hollow_link import Traffic
from crowseam.capacity.hollow_protocol import Job, Order, ServersReport
from crowseam.capacity.loads import Load
from crowseam.settings import parse_address

CONNECTIONS = 16  # of the servers to each controller
WAITING_MOST = 40  # calls that wait on one of them
ANSWER_TIMEOUT = 3.0  # s after which a server gives up on an answer
SERVER_PORT = 8080


class PendingCall(NamedTuple):
    """A call that waits for its answer; `sent_at` by the steady clock."""

    server: HollowServer
    method: str
    sent_at: float


class ControllerConnection(asyncio.Protocol):
    """A connection of the servers to a controller; answers come in the order of the calls."""

    def __init__(self, crowd: Servers, addr: str) -> None:
        self.crowd, self.addr = crowd, addr
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.waiting: deque[PendingCall] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection is up."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone: all calls on it are lost."""
        self.transport = None
        for pending in self.waiting:
            self.crowd.lost(pending.server)
        self.waiting.clear()

    def call(self, server: HollowServer, method: str, body: bytes, now: float) -> None:
        """Send the call of a server."""
        head = (
            f"{method} /-/backends/{server.id} HTTP/1.1\r\nHost: {self.addr}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        self.transport.write(head + body)
        self.waiting.append(PendingCall(server, method, now))
        self.crowd.traffic.add(f"out {method}", len(head) + len(body))

    def data_received(self, data: bytes) -> None:
        """Hand on each whole answer."""
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            body, self.buffer = self.buffer[end + 4 : end + 4 + length], self.buffer[end + 4 + length :]
            pending = self.waiting.popleft()
            self.crowd.traffic.add(f"in answer to {pending.method}", end + 4 + length)
            self.crowd.answered(pending.server, pending.method, int(head[9:12]), body)


class HollowServer:
    """One server: its reports, and its end."""

    def __init__(self, number: int, born: int, load: Load) -> None:
        self.id = f"i-{number:05d}-{born:04d}"
        self.number, self.born, self.seq, self.phase = number, born, 0, "up"
        self.home = ""  # the controller that an answer named for its next calls
        self.asked_at = 0.0  # when it first said that it leaves
        service, zone = number % load.services, number % load.zones
        # Each life has an address of its own: a used one is taken over only after a while.
        self._body = (
            f'{{"addr":"10.{zone + 1}.{born % 200}.{number % 250 + 1}:{SERVER_PORT + number // 250}",'
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
        self.connections: dict[str, list[ControllerConnection]] = {addr: [] for addr in job.seeds}
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
        for addr, connections in self.connections.items():
            connections[:] = [connection for connection in connections if connection.transport is not None]
            for connection in connections:
                if connection.waiting and now - connection.waiting[0].sent_at > ANSWER_TIMEOUT:
                    connection.transport.abort()
            if len(connections) < CONNECTIONS:
                self.loop.create_task(self._dial(addr, CONNECTIONS - len(connections)))
        self.loop.call_later(1.0, self._connect)

    async def _dial(self, addr: str, count: int) -> None:
        host, port = parse_address(addr)
        for _ in range(count):
            try:
                async with asyncio.timeout(0.5):
                    _, connection = await self.loop.create_connection(
                        lambda: ControllerConnection(self, addr), host, port
                    )
            except (OSError, TimeoutError):
                return
            if connection.transport is not None:
                self.connections[addr].append(connection)

    def _free_connection(self, server: HollowServer) -> ControllerConnection | None:
        places = [server.home] if server.home in self.connections else []
        for addr in (*places, *self.rng.sample(self.seeds, len(self.seeds))):
            free = [
                connection
                for connection in self.connections[addr]
                if connection.transport is not None and len(connection.waiting) < WAITING_MOST
            ]
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
        """Send a heartbeat, or the removal of the server, over a free connection."""
        if (connection := self._free_connection(server)) is not None:
            connection.call(server, method, server.body() if method == "PUT" else b"", now)
        else:
            self.lost(server)

    def lost(self, server: HollowServer) -> None:
        """No answer came: one that leaves says so again."""
        self.lost_calls += 1
        if server.phase == "draining":
            self.loop.call_later(0.1, lambda: self.call(server, "PUT", clock.monotonic()))

    def answered(self, server: HollowServer, method: str, status: int, body: bytes) -> None:
        """A controller has answered a call."""
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
            if addr in self.connections:
                server.home = addr

    def order(self, order: Order) -> ServersReport:
        """Do what is ordered, and report what has been counted."""
        if order.do == "leave":
            up = [server for _, server in self.due if server.phase == "up"]
            for server in self.rng.sample(up, order.count):
                server.phase, server.asked_at = "draining", clock.monotonic()
                self.call(server, "PUT", clock.monotonic())
        if order.do == "reset":
            self.traffic, self.leave_acks, self.late_most, self.lost_calls = Traffic(), [], 0.0, 0
            self.statuses.clear()
        return ServersReport(
            servers=len(self.due),
            traffic=self.traffic.counts(),
            statuses=dict(self.statuses),
            leave_acks=self.leave_acks,
            lost_calls=self.lost_calls,
            late_most=self.late_most,
            connections={addr: len(connections) for addr, connections in self.connections.items()},
        )
