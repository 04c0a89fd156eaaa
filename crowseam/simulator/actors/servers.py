"""Simulated backend servers with slots, a queue, varying speed, cold starts, and faults."""

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

HEARTBEAT_TIMEOUT_S = 1.0  # for calls to controllers
MAX_DRAIN_WAIT_S = 8.0  # after which a draining server ends without acknowledgement
SERVE_AFTER_DRAIN_S = 1.0  # for which a server keeps serving after its drain time
WORK_TIME_SIGMA = 0.25  # of the logarithm of the service time
FAST_FAILURE_S = 0.004  # service time of a request that fails by a gray failure
CLOSE_CHANCE = 0.002  # probability that an answer closes its connection


class Connection(asyncio.Protocol):
    """Server side of a connection from a gateway."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.request: ServerRequest | None = None
        self.mute = False
        self.last_used_at = 0.0
        self._reset_message()

    def _reset_message(self) -> None:
        self.url, self.fields, self.body = b"", {}, []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept a connection, or reset it if the server is down or at its connection limit."""
        self.transport = transport
        self.last_used_at = self.server.world.now
        server = self.server
        server.simulation.judge.record_connection()
        if not server.up or len(server.connections) >= server.service.maxconn:
            transport.reset_on_close = True
            return transport.abort()
        server.connections[self] = None
        server.loop.call_later(server.service.idle, self._check_idle)

    def _check_idle(self) -> None:
        if self.transport.is_closing():
            return
        idle_left_s = self.last_used_at + self.server.service.idle - self.server.world.now
        if self.request is None and idle_left_s <= 0.0:
            self.transport.close()
        else:
            self.server.loop.call_later(max(idle_left_s, 0.5), self._check_idle)

    def data_received(self, data: bytes) -> None:
        """Parse received data, unless the server ignores this connection."""
        if self.mute:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.server.simulation.judge.record_violation("UNASKED", f"{self.server.id} can't read a request")
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Parser callback: the start of a request."""
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header field."""
        self.fields[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: a complete request."""
        self.last_used_at = self.server.world.now
        self.server.handle_request(
            self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.fields, b"".join(self.body)
        )

    def eof_received(self) -> None:
        """Let the transport close at end of stream."""
        return None

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a lost connection."""
        self.server.connections.pop(self, None)
        if self.request is not None:
            self.server.cancel_request(self.request)

    def answer(self, status: int, fields: list[tuple[str, str]], body: bytes, closes: bool = False) -> None:
        """Write an answer; if `closes`, close the connection afterwards."""
        if self.transport.is_closing():
            return
        self.last_used_at = self.server.world.now
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in fields)]
        kept = f"Keep-Alive: timeout={max(1, int(self.server.service.idle))}"
        lines.append("Connection: close" if closes else kept)
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        if closes:
            self.transport.close()


class Server:
    """One incarnation of a server."""

    def __init__(
        self,
        simulation: SimulationContext,
        service: Service,
        number: int,
        zone: str,
        ip: str,
        version: str = "v1",
        is_warm: bool = False,
    ) -> None:
        self.simulation, self.service, self.zone, self.version = simulation, service, zone, version
        self.world = simulation.world
        self.rng = self.world.random(f"server/{service.name}/{number}")
        self.id = f"i-{service.name}-{number:04d}"
        self.ip, self.addr = ip, f"{ip}:8080"
        self.process: Process = simulation.network.process(self.id, ip)
        self.loop = self.process.loop
        self.work_factor = exp(self.rng.gauss(0.0, service.spread))
        self.started_at = self.world.now
        self.cold_until = self.started_at + (0.0 if is_warm else service.cold)
        self.connections: dict[Connection, None] = {}
        self.running: dict[ServerRequest, None] = {}
        self.queue: deque[ServerRequest] = deque()
        self.up = True
        self.phase = "up"
        self.seq = 0
        self.slowdown = 1.0  # factor on service times
        self.lost_answer_chance = self.garbled_answer_chance = 0.0  # per answer
        self.failure_chance = 0.0  # gray failure: requests fail, heartbeats and load look healthy
        self.heartbeat_controller = ""  # address that acknowledged the last heartbeat
        self.drained_at: float | None = None  # when a controller acknowledged the drain
        self.leaving_since: float | None = None
        self.gone_acked = False
        self.listener = simulation.network.listen(self.process, lambda: Connection(self), ip, 8080)
        self.loop.call_later(self.rng.random() * 0.5, self._heartbeat_timer)

    # Requests

    def handle_request(
        self, connection: Connection, method: str, path: str, fields: dict[bytes, bytes], body: bytes
    ) -> None:
        """Run a request, queue it, or reject it."""
        attempt = fields.get(b"x-attempt-id", b"").decode("latin-1")
        if fields.get(b"x-target-instance", self.id.encode()) != self.id.encode():
            return connection.answer(421, [("X-Not-Run", "1"), ("X-Attempt-Id", attempt)], b"")
        if not attempt:
            return connection.answer(400, [("X-Not-Run", "1")], b"")
        time_left_s = int(fields.get(b"x-time-left", b"30000")) / 1000.0
        request = ServerRequest(connection, attempt, path, method, fields, body, self.world.now + time_left_s)
        self.simulation.judge.record_arrival(self, request)
        connection.request = request
        if len(self.running) < self.service.slots:
            self._start_request(request)
        elif len(self.queue) < self.service.queue:
            self.queue.append(request)
        else:
            self._reject_when_full(request)

    def _reject_when_full(self, request: ServerRequest) -> None:
        """Reject a request for which there is neither a slot nor room in the queue."""
        connection = request.connection
        self.simulation.judge.turned_away += 1
        if self.service.full == "reset":
            connection.request = None
            self.simulation.judge.record_dropped_answer(request)
            connection.transport.reset_on_close = True
            connection.transport.abort()
        elif self.service.full == "silent":
            connection.request, connection.mute = None, True
            self.simulation.judge.record_dropped_answer(request)
        else:
            self._send_refusal(request)

    def _send_refusal(self, request: ServerRequest) -> None:
        connection, request.connection.request = request.connection, None
        connection.answer(503, [("X-Not-Run", "1"), ("X-Attempt-Id", request.attempt), *self._load_header()], b"")

    def _load_header(self) -> list[tuple[str, str]]:
        if not self.service.tells_load:
            return []
        return [("X-Server-Load", f"{len(self.running)},{len(self.queue)},{self.service.slots}")]

    def _start_request(self, request: ServerRequest) -> None:
        now = self.world.now
        self.running[request] = None
        request.is_running = True
        work = (
            self.simulation.service_time(request.path)
            * exp(self.rng.gauss(0.0, WORK_TIME_SIGMA))
            * self.work_factor
            * self.slowdown
        )
        if now < self.cold_until:
            work *= self.service.cold_by
        if len(self.running) >= self.service.slots:
            work *= 1.0 + self.service.steep
        self.simulation.judge.record_run(self, request)
        request.fails = self.failure_chance > 0.0 and self.rng.random() < self.failure_chance
        if request.fails:
            work = FAST_FAILURE_S
        self.loop.call_later(
            min(work, max(0.0, request.deadline_at - now)),
            self._finish_request,
            request,
            now + work <= request.deadline_at,
        )

    def _finish_request(self, request: ServerRequest, in_time: bool) -> None:
        if request not in self.running:
            return
        connection = request.connection
        if not request.is_dropped:
            connection.request = None
            fields = [("X-Attempt-Id", request.attempt), *self._load_header()]
            draw = self.rng.random()
            if draw < self.lost_answer_chance + self.garbled_answer_chance:
                self.simulation.judge.record_dropped_answer(request)
            if draw < self.lost_answer_chance:
                connection.transport.abort()
            elif draw < self.lost_answer_chance + self.garbled_answer_chance:
                connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n\x00\x01garbled")
                connection.transport.close()
            elif request.fails:
                connection.answer(500, fields, b"")
            elif not in_time:
                connection.answer(504, fields, b"")
            else:
                body = self.simulation.answer_body(request.path, self.id, request.attempt)
                fields.append(("X-Server-Seal", seal(self.id, request.attempt, body)))
                connection.answer(200, fields, body, self.phase == "draining" or self.rng.random() < CLOSE_CHANCE)
        self._release_slot(request)

    def _release_slot(self, request: ServerRequest) -> None:
        self.running.pop(request, None)
        while self.queue and len(self.running) < self.service.slots:
            next_request = self.queue.popleft()
            if self.world.now >= next_request.deadline_at:
                self._send_refusal(next_request)
            else:
                self._start_request(next_request)

    def cancel_request(self, request: ServerRequest) -> None:
        """Cancel a request whose connection was closed."""
        request.is_dropped = True
        if request.is_running:
            if self.up:
                self._release_slot(request)
        elif request in self.queue:
            self.queue.remove(request)

    # Heartbeats

    def _heartbeat_timer(self) -> None:
        if not self.up:
            return
        self._send_heartbeat()
        self.loop.call_later(self.simulation.deployment.hb * (0.95 + 0.1 * self.rng.random()), self._heartbeat_timer)

    def _send_heartbeat(self, tries: int = 0, started_trying_at: float | None = None) -> None:
        """Send a heartbeat to a controller; retry with another one if it does not answer."""
        now = self.world.now
        started_trying_at = now if started_trying_at is None else started_trying_at
        if not self.up or now - started_trying_at > 2.0 * self.simulation.deployment.hb:
            return
        self.seq += 1
        controller = self.heartbeat_controller or self.simulation.pick_controller(self.rng)
        phase = self.phase
        cold_s = max(0.0, self.cold_until - self.started_at)
        body = msgspec.json.encode(
            {
                "addr": self.addr,
                "summary": {
                    "svc": self.service.name,
                    "ver": self.version,
                    "az": self.zone,
                    "slots": self.service.slots,
                },
                "stat": {"phase": phase, "seq": self.seq, "warmup_time": f"{int(cold_s * 1000)}ms"},
            }
        )

        def on_answer(answer: http_client.Answer | None) -> None:
            if answer is not None and 200 <= answer.status < 300 and len(answer.body) <= 4096:
                self.heartbeat_controller = controller
                if phase == "draining":
                    self._on_drain_acknowledged(controller)
            else:
                self.heartbeat_controller = ""
                self.loop.call_later(0.05 + 0.1 * tries, self._send_heartbeat, tries + 1, started_trying_at)

        data = http_client.request(
            "PUT", controller, f"/-/backends/{self.id}", [("Content-Type", "application/json")], body
        )
        http_client.fetch(self.process, controller, data, HEARTBEAT_TIMEOUT_S, on_answer)

    # Leaving

    def drain(self) -> None:
        """Start draining: announce it in heartbeats and leave once it is acknowledged."""
        if self.up and self.phase == "up":
            self.phase, self.leaving_since = "draining", self.world.now
            self.simulation.judge.record_leaving(self)
            self._send_heartbeat()
            self.loop.call_later(MAX_DRAIN_WAIT_S, self._on_drain_timeout)

    def _on_drain_acknowledged(self, controller: str) -> None:
        if self.drained_at is None:
            self.drained_at = self.world.now
            self.simulation.judge.record_drain(self, controller)
            self.loop.call_later(self.simulation.deployment.bounds.drain + SERVE_AFTER_DRAIN_S, self._deregister, 0)

    def _on_drain_timeout(self) -> None:
        if self.drained_at is None:
            self.end()

    def _deregister(self, tries: int) -> None:
        if not self.up:
            return
        controller = self.simulation.pick_controller(self.rng)

        def on_answer(answer: http_client.Answer | None) -> None:
            if (answer is not None and answer.status < 300) or tries >= 4:
                self.end()
            else:
                self.loop.call_later(0.3, self._deregister, tries + 1)

        data = http_client.request("DELETE", controller, f"/-/backends/{self.id}", [])
        http_client.fetch(self.process, controller, data, HEARTBEAT_TIMEOUT_S, on_answer)

    def end(self) -> None:
        """End the process at once."""
        if self.up:
            self.up = False
            for request in [*self.running, *self.queue]:
                self.simulation.judge.record_dropped_answer(request)
            self.simulation.network.process_ended(self.process)
            self.running.clear()
            self.queue.clear()
            self.simulation.server_ended(self)
