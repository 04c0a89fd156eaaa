"""Simulated servers: slots, a queue, different speeds, cold starts, and faults."""

from __future__ import annotations

import asyncio
from collections import deque
from math import exp

import httptools
import msgspec

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.requests import ServerRequest, seal
from crowseam.simulator.context import SimulationContext
from crowseam.simulator.scenario.day import Service
from crowseam.simulator.world.loop import Process

BEAT_TIMEOUT = 1.0  # s for the answer to a heartbeat
LEAVE_MOST = 8.0  # s after which a server that is leaving ends unacknowledged
LAST_WORK = 1.0  # s that one goes on serving after its drain
NOISE = 0.25  # sigma of the logarithm of the time that a piece of work takes
FAILS_WITHIN = 0.004  # s that a request takes which a grey server fails
STRAY_CLOSE = 0.002  # chance that an answer is the last of its connection


class Connection(asyncio.Protocol):
    """A connection that a gateway has opened to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.job: ServerRequest | None = None
        self.mute = False
        self.used_at = 0.0
        self._fresh()

    def _fresh(self) -> None:
        self.url, self.fields, self.body = b"", {}, []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """A gateway has connected; it is reset where the server is down or has too many connections."""
        self.transport = transport
        self.used_at = self.server.world.now
        server = self.server
        server.simulation.judge.opened()
        if not server.up or len(server.connections) >= server.service.maxconn:
            transport.resets = True
            return transport.abort()
        server.connections[self] = None
        server.loop.call_later(server.service.idle, self._idle)

    def _idle(self) -> None:
        if self.transport.is_closing():
            return
        left = self.used_at + self.server.service.idle - self.server.world.now
        if self.job is None and left <= 0.0:
            self.transport.close()
        else:
            self.server.loop.call_later(max(left, 0.5), self._idle)

    def data_received(self, data: bytes) -> None:
        """Parse what the gateway sends."""
        if self.mute:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.server.simulation.judge.broken("UNASKED", f"{self.server.id} can't read a request")
            self.transport.abort()

    def on_message_begin(self) -> None:
        """The parser has found the begin of a request."""
        self._fresh()

    def on_url(self, url: bytes) -> None:
        """The parser has read a part of the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """The parser has read a header field."""
        self.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """The parser has read a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """The parser has read a whole request: the server takes it."""
        self.used_at = self.server.world.now
        self.server.take(
            self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.fields, b"".join(self.body)
        )

    def eof_received(self) -> None:
        """The gateway sends no more; the transport is to close."""
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone: the server drops its request."""
        self.server.connections.pop(self, None)
        if self.job is not None:
            self.server.drop(self.job)

    def answer(self, status: int, fields: list[tuple[str, str]], body: bytes, last: bool = False) -> None:
        """Write an answer; `last`: and close the connection."""
        if self.transport.is_closing():
            return
        self.used_at = self.server.world.now
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in fields)]
        kept = f"Keep-Alive: timeout={max(1, int(self.server.service.idle))}"
        lines.append("Connection: close" if last else kept)
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if last:
            self.transport.close()


class Server:
    """One life of a server."""

    def __init__(
        self,
        simulation: SimulationContext,
        service: Service,
        number: int,
        zone: str,
        ip: str,
        version: str = "v1",
        warm: bool = False,
    ) -> None:
        self.simulation, self.service, self.zone, self.version = simulation, service, zone, version
        self.world = simulation.world
        self.rng = self.world.random(f"server/{service.name}/{number}")
        self.id = f"i-{service.name}-{number:04d}"
        self.ip, self.addr = ip, f"{ip}:8080"
        self.process: Process = simulation.network.process(self.id, ip)
        self.loop = self.process.loop
        self.speed = exp(self.rng.gauss(0.0, service.spread))
        self.born = self.world.now
        self.cold_until = self.born + (0.0 if warm else service.cold)
        self.connections: dict[Connection, None] = {}
        self.running: dict[ServerRequest, None] = {}
        self.queue: deque[ServerRequest] = deque()
        self.up = True
        self.phase = "up"
        self.seq = 0
        self.factor = 1.0  # how many times slower than usual
        self.lose = self.garble = 0.0  # chances that an answer is lost, or is no answer
        self.grey = 0.0  # chance that a request fails at once, while heartbeats and load say all is well
        self.heartbeat_at = ""  # where the last heartbeat was acknowledged
        self.drained_at: float | None = None  # when a controller acknowledged that it is leaving
        self.leaving_since: float | None = None
        self.gone_acked = False
        self.listener = simulation.network.listen(self.process, lambda: Connection(self), ip, 8080)
        self.loop.call_later(self.rng.random() * 0.5, self._heartbeat)

    # Requests

    def take(self, connection: Connection, method: str, path: str, fields: dict[bytes, bytes], body: bytes) -> None:
        """A request has come: run it, queue it, or refuse it."""
        attempt = fields.get(b"x-attempt-id", b"").decode("latin-1")
        if fields.get(b"x-target-instance", self.id.encode()) != self.id.encode():
            return connection.answer(421, [("X-Not-Run", "1"), ("X-Attempt-Id", attempt)], b"")
        if not attempt:
            return connection.answer(400, [("X-Not-Run", "1")], b"")
        left = int(fields.get(b"x-time-left", b"30000")) / 1000.0
        job = ServerRequest(connection, attempt, path, method, fields, body, self.world.now + left)
        self.simulation.judge.arrived(self, job)
        connection.job = job
        if len(self.running) < self.service.slots:
            self._run(job)
        elif len(self.queue) < self.service.queue:
            self.queue.append(job)
        else:
            self._full(job)

    def _full(self, job: ServerRequest) -> None:
        """What a server does with a request that it has no room for."""
        connection = job.connection
        self.simulation.judge.turned_away += 1
        if self.service.full == "reset":
            connection.job = None
            self.simulation.judge.broke_off(job)
            connection.transport.resets = True
            connection.transport.abort()
        elif self.service.full == "silent":
            connection.job, connection.mute = None, True
            self.simulation.judge.broke_off(job)
        else:
            self._refuse(job)

    def _refuse(self, job: ServerRequest) -> None:
        connection, job.connection.job = job.connection, None
        connection.answer(503, [("X-Not-Run", "1"), ("X-Attempt-Id", job.attempt), *self._load()], b"")

    def _load(self) -> list[tuple[str, str]]:
        if not self.service.tells_load:
            return []
        return [("X-Server-Load", f"{len(self.running)},{len(self.queue)},{self.service.slots}")]

    def _run(self, job: ServerRequest) -> None:
        now = self.world.now
        self.running[job] = None
        job.running = True
        work = self.simulation.work_of(job.path) * exp(self.rng.gauss(0.0, NOISE)) * self.speed * self.factor
        if now < self.cold_until:
            work *= self.service.cold_by
        if len(self.running) >= self.service.slots:
            work *= 1.0 + self.service.steep
        self.simulation.judge.ran(self, job)
        job.fails = self.grey > 0.0 and self.rng.random() < self.grey
        if job.fails:
            work = FAILS_WITHIN
        self.loop.call_later(min(work, max(0.0, job.ends - now)), self._ran, job, now + work <= job.ends)

    def _ran(self, job: ServerRequest, whole: bool) -> None:
        if job not in self.running:
            return
        connection = job.connection
        if not job.dropped:
            connection.job = None
            fields = [("X-Attempt-Id", job.attempt), *self._load()]
            draw = self.rng.random()
            if draw < self.lose + self.garble:
                self.simulation.judge.broke_off(job)
            if draw < self.lose:
                connection.transport.abort()
            elif draw < self.lose + self.garble:
                connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n\x00\x01garbled")
                connection.transport.close()
            elif job.fails:
                connection.answer(500, fields, b"")
            elif not whole:
                connection.answer(504, fields, b"")
            else:
                body = self.simulation.body_of(job.path, self.id, job.attempt)
                fields.append(("X-Server-Seal", seal(self.id, job.attempt, body)))
                connection.answer(200, fields, body, self.phase == "draining" or self.rng.random() < STRAY_CLOSE)
        self._free(job)

    def _free(self, job: ServerRequest) -> None:
        self.running.pop(job, None)
        while self.queue and len(self.running) < self.service.slots:
            following = self.queue.popleft()
            if self.world.now >= following.ends:
                self._refuse(following)
            else:
                self._run(following)

    def drop(self, job: ServerRequest) -> None:
        """Its connection has closed."""
        job.dropped = True
        if job.running:
            if self.up:
                self._free(job)
        elif job in self.queue:
            self.queue.remove(job)

    # Heartbeats

    def _heartbeat(self) -> None:
        if not self.up:
            return
        self._report()
        self.loop.call_later(self.simulation.deployment.hb * (0.95 + 0.1 * self.rng.random()), self._heartbeat)

    def _report(self, tries: int = 0, since: float | None = None) -> None:
        """Send a heartbeat to a controller; to another one, where that one doesn't answer."""
        now = self.world.now
        since = now if since is None else since
        if not self.up or now - since > 2.0 * self.simulation.deployment.hb:
            return
        self.seq += 1
        at = self.heartbeat_at or self.simulation.a_controller(self.rng)
        phase = self.phase
        warm = max(0.0, self.cold_until - self.born)
        body = msgspec.json.encode(
            {
                "addr": self.addr,
                "summary": {
                    "svc": self.service.name,
                    "ver": self.version,
                    "az": self.zone,
                    "slots": self.service.slots,
                },
                "stat": {"phase": phase, "seq": self.seq, "warmup_time": f"{int(warm * 1000)}ms"},
            }
        )

        def done(answer: http_client.Answer | None) -> None:
            if answer is not None and 200 <= answer.status < 300 and len(answer.body) <= 4096:
                self.heartbeat_at = at
                if phase == "draining":
                    self._drained(at)
            else:
                self.heartbeat_at = ""
                self.loop.call_later(0.05 + 0.1 * tries, self._report, tries + 1, since)

        data = http_client.request("PUT", at, f"/-/backends/{self.id}", [("Content-Type", "application/json")], body)
        http_client.fetch(self.process, at, data, BEAT_TIMEOUT, done)

    # Ends

    def drain(self) -> None:
        """Leave in order."""
        if self.up and self.phase == "up":
            self.phase, self.leaving_since = "draining", self.world.now
            self.simulation.judge.leaving(self)
            self._report()
            self.loop.call_later(LEAVE_MOST, self._unheard)

    def _drained(self, at: str) -> None:
        if self.drained_at is None:
            self.drained_at = self.world.now
            self.simulation.judge.drained(self, at)
            self.loop.call_later(self.simulation.deployment.bounds.drain + LAST_WORK, self._delete, 0)

    def _unheard(self) -> None:
        if self.drained_at is None:
            self.end()

    def _delete(self, tries: int) -> None:
        if not self.up:
            return
        at = self.simulation.a_controller(self.rng)

        def done(answer: http_client.Answer | None) -> None:
            if (answer is not None and answer.status < 300) or tries >= 4:
                self.end()
            else:
                self.loop.call_later(0.3, self._delete, tries + 1)

        data = http_client.request("DELETE", at, f"/-/backends/{self.id}", [])
        http_client.fetch(self.process, at, data, BEAT_TIMEOUT, done)

    def end(self) -> None:
        """The process ends; nothing more is said."""
        if self.up:
            self.up = False
            for job in [*self.running, *self.queue]:
                self.simulation.judge.broke_off(job)
            self.simulation.network.ended(self.process)
            self.running.clear()
            self.queue.clear()
            self.simulation.left(self)
