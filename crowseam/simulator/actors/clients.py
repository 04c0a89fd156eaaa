"""Simulated clients, and the platform that routes their connections to gateways that report ready."""

from __future__ import annotations

import zlib
from typing import NamedTuple

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.requests import SimulatedRequest
from crowseam.simulator.context import GatewayMachine, SimulationContext
from crowseam.simulator.scenario.day import Route, Tenant

CONNECT_TIMEOUT_S = 1.0  # to establish a connection
READINESS_INTERVAL_S = 1.0  # between two readiness probes of a gateway
UNREADY_AFTER_MISSES = 2  # failed probes after which a gateway gets no new connections
MAX_IDLE_CONNECTIONS = 64  # of the clients of one zone
MAX_IDLE_S = 4.0  # after which an idle connection is not reused
PREVIOUS_KEY_SHARE = 0.03  # share of requests that still use a revoked key
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))  # after which no client retries
NOT_RUN_STATUSES = frozenset((429, 503, 408, 421))  # these guarantee that no server ran the request
MIN_TIME_LEFT_S = 0.005  # before the deadline, for an attempt to be sent
MIN_RETRY_PAUSE_S, RETRY_JITTER_S = 0.02, 0.05  # before a retry; the jitter grows with each attempt
REPEAT_CHANCE = 0.1  # that a keyed operation is sent again after a success
ANSWER_GRACE_S = 0.05  # after the deadline, for which a client still waits


class IdleConnection(NamedTuple):
    """An open connection to a gateway that can be reused; `idle_since` is virtual time, in s."""

    connection: http_client.ClientConnection
    machine: GatewayMachine
    idle_since: float


class Platform:
    """Probes the readiness of gateways and picks the gateway for each new connection."""

    def __init__(self, simulation: SimulationContext) -> None:
        self.simulation, self.world = simulation, simulation.world
        self.misses: dict[str, int] = {}
        self.ready: dict[str, bool] = {machine.name: False for machine in simulation.machines}
        self.by_zone: dict[str, list[GatewayMachine]] = {}
        for machine in simulation.machines:
            self.by_zone.setdefault(machine.zone, []).append(machine)
        self.process = simulation.network.process("platform", "10.250.0.1")
        for number, machine in enumerate(simulation.machines):
            self.process.loop.call_later(READINESS_INTERVAL_S * number / len(simulation.machines), self._probe, machine)

    def _probe(self, machine: GatewayMachine) -> None:
        def on_answer(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.misses[machine.name], self.ready[machine.name] = 0, True
                self.simulation.judge.record_ready(machine.name)
            else:
                self.misses[machine.name] = self.misses.get(machine.name, 0) + 1
                if self.misses[machine.name] >= UNREADY_AFTER_MISSES:
                    self.ready[machine.name] = False

        self.process.loop.call_later(READINESS_INTERVAL_S, self._probe, machine)
        http_client.fetch(
            self.process,
            machine.readyz,
            http_client.request("GET", machine.readyz, "/-/readyz", []),
            READINESS_INTERVAL_S,
            on_answer,
        )

    def pick_gateway(self, zone: str, client: int, attempt_index: int) -> GatewayMachine:
        """Pick the gateway for a new connection by a hash of the client; each further attempt uses the next gateway."""
        machines = [m for m in self.by_zone[zone] if self.ready[m.name]]
        if not machines:
            ready_elsewhere = [m for m in self.simulation.machines if self.ready[m.name]]
            machines = ready_elsewhere or self.by_zone[zone]
        elif 2 * len(machines) < len(self.by_zone[zone]):
            machines = self.by_zone[zone]
        return machines[(zlib.crc32(b"%d" % client) + attempt_index) % len(machines)]


class ZoneClients:
    """The clients of one zone, which send a `share` of all requests."""

    def __init__(self, simulation: SimulationContext, platform: Platform, name: str, number: int, share: float) -> None:
        self.platform = platform
        self.simulation, self.world, self.name, self.share = simulation, simulation.world, name, share
        self.rng = self.world.random(f"clients/{name}")
        # Separate streams, so that the outcome of requests does not change later arrivals.
        self.arrivals = {
            route.name: self.world.random(f"arrivals/{name}/{route.name}") for route in simulation.deployment.routes
        }
        self.process = simulation.network.process(f"clients-{name}", f"10.240.{number}.1")
        self.loop = self.process.loop
        self.idle_connections: list[IdleConnection] = []

    def start_load(self) -> None:
        """Start the load: Poisson arrivals for each route."""
        if self.simulation.day.trace:
            return
        for route in self.simulation.deployment.routes:
            if route.rate > 0.0:
                self._schedule_arrival(route)

    def _schedule_arrival(self, route: Route) -> None:
        max_rate = route.rate * self.share * self.simulation.day.load * self.simulation.max_load_factor
        if max_rate <= 0.0:
            return
        self.loop.call_later(self.arrivals[route.name].expovariate(max_rate), self._arrive, route)

    def _arrive(self, route: Route) -> None:
        if self.world.now >= self.simulation.load_ends:
            return
        self._schedule_arrival(route)
        rng = self.arrivals[route.name]
        tenant = self.simulation.draw_tenant(rng)
        # Arrivals are drawn at the maximum rate of the day and thinned to the current rate.
        if rng.random() * self.simulation.max_load_factor < self.simulation.load_factor(route, tenant):
            self.send_new_request(route, tenant)

    def send_new_request(self, route: Route, tenant: Tenant | None) -> None:
        """Create a request and send its first attempt at once."""
        simulation = self.simulation
        key = previous_key = ""
        if tenant is not None and not route.public:
            key, previous_key = simulation.keys[tenant.name], simulation.previous_keys.get(tenant.name, "")
        rng = self.arrivals[route.name]
        request = SimulatedRequest(route, tenant, self.name, rng.getrandbits(24), self.world.now, key)
        if previous_key and rng.random() < PREVIOUS_KEY_SHARE:
            request.key, request.owed = previous_key, False
        else:
            simulation.judge.record_request(request)
        self._send_attempt(request)

    # Attempts

    def _send_attempt(self, request: SimulatedRequest) -> None:
        now = self.world.now
        if now >= request.deadline_at - MIN_TIME_LEFT_S:
            return
        attempt = f"{self.rng.getrandbits(64):016x}"
        request.attempt_count += 1
        request.attempts.append(attempt)
        sender = _AttemptSender(self, request, attempt)
        if request.attempt_count == 1 and self.rng.random() < self.simulation.deployment.clients.keep:
            while self.idle_connections:
                connection, machine, idle_since = self.idle_connections.pop()
                if connection.unsolicited:
                    self.simulation.judge.record_violation("MIXED", f"bytes without a request from {machine.name}")
                if connection.is_usable and now - idle_since < MAX_IDLE_S:
                    sender.machine, sender.connection = machine, connection
                    return sender.send()
                connection.abort()
        sender.machine = self.platform.pick_gateway(self.name, request.client, request.attempt_count - 1)
        sender.connect()

    def attempt_succeeded(self, request: SimulatedRequest) -> None:
        """Handle a successful attempt; some keyed operations are repeated."""
        if request.operation and self.rng.random() < REPEAT_CHANCE:
            self.loop.call_later(
                self.rng.uniform(0.0, request.deadline_at - self.world.now), self._send_attempt, request
            )

    def attempt_failed(self, request: SimulatedRequest, answer: http_client.Answer | None, was_read: bool) -> None:
        """Handle a failed attempt, with a retry where allowed; `was_read`: the gateway may have read the request."""
        now, route = self.world.now, request.route
        status = answer.status if answer is not None else 0
        is_impatient = (request.client & 0xFF) < 256 * self.simulation.deployment.clients.impatient
        repeats = route.repeats * (2 if is_impatient else 1)
        may_retry = status not in FINAL_STATUSES and (
            route.kind != "unsafe" or status in NOT_RUN_STATUSES or not was_read
        )
        if not may_retry or request.attempt_count > repeats or now >= request.deadline_at:
            return
        pause = MIN_RETRY_PAUSE_S + RETRY_JITTER_S * self.rng.random() * request.attempt_count
        retry_after = answer.headers.get(b"retry-after") if answer is not None else None
        if retry_after is not None and not is_impatient:
            try:
                pause = max(pause, min(float(retry_after), (request.deadline_at - now) / 3.0))
            except ValueError:
                self.simulation.judge.record_violation("MIXED", "Retry-After is no number")
        self.loop.call_later(pause, self._send_attempt, request)


class _AttemptSender:
    """Sends one attempt of a request and reports its outcome once."""

    __slots__ = ("zone", "request", "attempt", "machine", "connection", "timer", "sent", "connected", "is_finished")

    def __init__(self, zone: ZoneClients, request: SimulatedRequest, attempt: str) -> None:
        self.zone, self.request, self.attempt = zone, request, attempt
        self.machine: GatewayMachine | None = None
        self.connection: http_client.ClientConnection | None = None
        self.timer = self.connected = None
        self.sent = self.is_finished = False

    def connect(self) -> None:
        zone = self.zone
        host, _, port = self.machine.http.rpartition(":")
        self.connected = zone.loop.create_future()
        self.connected.add_done_callback(self._on_connected)
        connection = self.connection = http_client.ClientConnection()
        self.timer = zone.loop.call_later(
            min(CONNECT_TIMEOUT_S, self.request.deadline_at - zone.world.now), self.connected.cancel
        )
        zone.loop.network.dial(zone.process, lambda: connection, host, int(port), self.connected)

    def _on_connected(self, connected: object) -> None:
        self.timer.cancel()
        if connected.cancelled() or connected.exception() is not None:
            return self._fail(None, False)
        self.send()

    def send(self) -> None:
        zone, request = self.zone, self.request
        now = zone.world.now
        time_left_ms = max(1, int((request.deadline_at - now) * 1000))
        fields = [("X-Attempt-Id", self.attempt), ("X-Time-Left", str(time_left_ms))]
        if request.key:
            fields.append(("Authorization", f"Bearer {request.key}"))
        if request.operation:
            fields.append(("X-Op-Key", request.operation))
        simulation = zone.simulation
        # All attempts of a keyed operation have the same path and body.
        content_id = request.attempts[0] if request.operation else self.attempt
        path = f"/{request.route.name}/{content_id[:6]}"
        is_safe = request.route.kind == "safe"
        body = b"" if is_safe else content_id.encode() * (request.route.bytes_in // 16 + 1)
        simulation.judge.record_attempt(
            request, self.attempt, self.machine.name, path, "GET" if is_safe else "POST", body
        )
        self.sent = True
        self.timer = zone.loop.call_later(request.deadline_at - now + ANSWER_GRACE_S, self._on_deadline)
        data = http_client.request("GET" if is_safe else "POST", simulation.host, path, fields, body)
        self.connection.send_request(data, self._on_answer)

    def _on_deadline(self) -> None:
        """Stop waiting for the answer."""
        if not self.is_finished:
            self.is_finished = True
            self.connection.abort()

    def _on_answer(self, answer: http_client.Answer | None) -> None:
        if self.is_finished:
            return
        self.is_finished = True
        self.timer.cancel()
        zone, judge = self.zone, self.zone.simulation.judge
        if self.connection.unsolicited:
            judge.record_violation("MIXED", f"bytes without a request from {self.machine.name}")
        transport = self.connection.transport
        was_read = answer is not None or transport is None or not transport.data_refused
        judge.record_answer(self.request, self.attempt, self.machine.name, answer, was_read)
        if answer is not None and answer.is_reusable and len(zone.idle_connections) < MAX_IDLE_CONNECTIONS:
            zone.idle_connections.append(IdleConnection(self.connection, self.machine, zone.world.now))
        else:
            self.connection.abort()
        if answer is not None and 200 <= answer.status < 300:
            zone.attempt_succeeded(self.request)
            return
        zone.attempt_failed(self.request, answer, was_read)

    def _fail(self, answer: http_client.Answer | None, was_read: bool) -> None:
        if not self.is_finished:
            self.is_finished = True
            self.zone.attempt_failed(self.request, answer, was_read)
