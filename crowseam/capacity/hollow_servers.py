"""Hollow servers: backends that send heartbeats to controllers and leave gracefully, but serve no requests."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from random import Random
from typing import NamedTuple

import msgspec

from crowseam import clock
from crowseam.capacity.hollow_link import Traffic
from crowseam.capacity.hollow_protocol import Command, Job, ServersReport
from crowseam.capacity.loads import Load
from crowseam.settings import parse_address

CONNECTIONS_PER_CONTROLLER = 16
MAX_PENDING_CALLS = 40  # per connection
ANSWER_TIMEOUT_S = 3.0  # after which a connection is aborted
SERVER_PORT = 8080


class PendingCall(NamedTuple):
    """A call without a response yet; `sent_at` is on the monotonic clock."""

    server: HollowServer
    method: str
    sent_at: float


class ControllerConnection(asyncio.Protocol):
    """A connection shared by servers to a controller; responses arrive in the order of the calls."""

    def __init__(self, group: HollowServerGroup, addr: str) -> None:
        self.group, self.addr = group, addr
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.pending_calls: deque[PendingCall] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport (asyncio)."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Report all pending calls as lost (asyncio)."""
        self.transport = None
        for pending in self.pending_calls:
            self.group.handle_lost_call(pending.server)
        self.pending_calls.clear()

    def call(self, server: HollowServer, method: str, body: bytes, now: float) -> None:
        """Send a server's call."""
        head = (
            f"{method} /-/backends/{server.id} HTTP/1.1\r\nHost: {self.addr}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        self.transport.write(head + body)
        self.pending_calls.append(PendingCall(server, method, now))
        self.group.traffic.add(f"out {method}", len(head) + len(body))

    def data_received(self, data: bytes) -> None:
        """Pass each complete response to the group (asyncio)."""
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end].lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.buffer) < end + 4 + length:
                return
            body, self.buffer = self.buffer[end + 4 : end + 4 + length], self.buffer[end + 4 + length :]
            pending = self.pending_calls.popleft()
            self.group.traffic.add(f"in answer to {pending.method}", end + 4 + length)
            self.group.handle_answer(pending.server, pending.method, int(head[9:12]), body)


class HollowServer:
    """One server with its heartbeat state."""

    def __init__(self, number: int, incarnation: int, load: Load) -> None:
        self.id = f"i-{number:05d}-{incarnation:04d}"
        self.number, self.incarnation, self.seq, self.phase = number, incarnation, 0, "up"
        self.preferred_controller = ""  # named by a response, for the next calls
        self.leave_started_at = 0.0
        service, zone = number % load.services, number % load.zones
        # Each incarnation has its own address, since a used address can be reused only after some time.
        self._body_template = (
            f'{{"addr":"10.{zone + 1}.{incarnation % 200}.{number % 250 + 1}:{SERVER_PORT + number // 250}",'
            f'"summary":{{"svc":"service-{service:03d}","ver":"v1","az":"zone-{zone}","slots":8}},'
            f'"stat":{{"phase":"%s","seq":%d,"warmup_time":"0ms"}}}}'
        )

    def body(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.seq += 1
        return (self._body_template % (self.phase, self.seq)).encode()


class HollowServerGroup:
    """All hollow servers of a run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, job: Job) -> None:
        self.loop, self.load, self.seeds = loop, job.load, job.seeds
        self.rng = Random(job.load.seed + 17)
        self.traffic = Traffic()
        self.statuses: Counter[str] = Counter()
        self.connections: dict[str, list[ControllerConnection]] = {addr: [] for addr in job.seeds}
        self.lost_calls = 0
        self.leave_acks: list[float] = []
        self.incarnation = 0
        now = clock.monotonic()
        self.schedule: deque[tuple[float, HollowServer]] = deque()
        for number in range(job.load.servers):
            server = HollowServer(number, 0, job.load)
            self.schedule.append((now + job.load.heartbeat * number / job.load.servers, server))
        self.max_delay_s = 0.0
        self._maintain_connections()
        self._send_heartbeats()

    def _maintain_connections(self) -> None:
        now = clock.monotonic()
        for addr, connections in self.connections.items():
            connections[:] = [connection for connection in connections if connection.transport is not None]
            for connection in connections:
                if connection.pending_calls and now - connection.pending_calls[0].sent_at > ANSWER_TIMEOUT_S:
                    connection.transport.abort()
            if len(connections) < CONNECTIONS_PER_CONTROLLER:
                self.loop.create_task(self._dial(addr, CONNECTIONS_PER_CONTROLLER - len(connections)))
        self.loop.call_later(1.0, self._maintain_connections)

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
        preferred = [server.preferred_controller] if server.preferred_controller in self.connections else []
        for addr in (*preferred, *self.rng.sample(self.seeds, len(self.seeds))):
            available = [
                connection
                for connection in self.connections[addr]
                if connection.transport is not None and len(connection.pending_calls) < MAX_PENDING_CALLS
            ]
            if available:
                return self.rng.choice(available)
        return None

    def _send_heartbeats(self) -> None:
        now = clock.monotonic()
        schedule = self.schedule
        while schedule and schedule[0][0] <= now:
            due_at, server = schedule.popleft()
            self.max_delay_s = max(self.max_delay_s, now - due_at)
            if server.phase == "gone":
                continue
            if server.phase == "up":
                self.call(server, "PUT", now)
            schedule.append((max(due_at, now - self.load.heartbeat) + self.load.heartbeat, server))
        self.loop.call_later(0.01, self._send_heartbeats)

    def call(self, server: HollowServer, method: str, now: float) -> None:
        """Send a heartbeat or the removal of the server over an available connection."""
        if (connection := self._free_connection(server)) is not None:
            connection.call(server, method, server.body() if method == "PUT" else b"", now)
        else:
            self.handle_lost_call(server)

    def handle_lost_call(self, server: HollowServer) -> None:
        """Count a call without a response; a server that is leaving retries."""
        self.lost_calls += 1
        if server.phase == "draining":
            self.loop.call_later(0.1, lambda: self.call(server, "PUT", clock.monotonic()))

    def handle_answer(self, server: HollowServer, method: str, status: int, body: bytes) -> None:
        """Handle a controller's response to a call."""
        self.statuses[f"{method} {status}"] += 1
        now = clock.monotonic()
        if server.phase == "draining" and method == "PUT":
            if status != 200:
                return self.handle_lost_call(server)
            self.leave_acks.append(now - server.leave_started_at)
            server.phase = "gone"
            self.call(server, "DELETE", now)
            self.schedule.append((now, HollowServer(server.number, server.incarnation + 1, self.load)))
        elif b"beat_url" in body:
            try:
                url = msgspec.json.decode(body).get("beat_url", "")
            except (msgspec.DecodeError, AttributeError):
                return
            addr = url.partition("//")[2].partition("/")[0]
            if addr in self.connections:
                server.preferred_controller = addr

    def execute(self, command: Command) -> ServersReport:
        """Execute a command and return a report of the counts."""
        if command.do == "leave":
            running = [server for _, server in self.schedule if server.phase == "up"]
            for server in self.rng.sample(running, command.count):
                server.phase, server.leave_started_at = "draining", clock.monotonic()
                self.call(server, "PUT", clock.monotonic())
        if command.do == "reset":
            self.traffic, self.leave_acks, self.max_delay_s, self.lost_calls = Traffic(), [], 0.0, 0
            self.statuses.clear()
        return ServersReport(
            servers=len(self.schedule),
            traffic=self.traffic.counts(),
            statuses=dict(self.statuses),
            leave_acks=self.leave_acks,
            lost_calls=self.lost_calls,
            late_most=self.max_delay_s,
            connections={addr: len(connections) for addr, connections in self.connections.items()},
        )
