"""Clients, and the platform that routes their connections to gateways that report ready."""

from __future__ import annotations

import zlib
from typing import NamedTuple

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.requests import SimulatedRequest
from crowseam.simulator.context import GatewayMachine, SimulationContext
from crowseam.simulator.scenario.day import Route, Tenant

CONNECT_TIMEOUT = 1.0  # s that a connection is given to come up
READINESS_INTERVAL = 1.0  # s between two looks at a gateway
MISSES = 2  # looks without 200 after which it gets no new connections
KEPT = 64  # connections that a zone's clients keep
KEEP_MOST = 4.0  # s that a kept connection is used again after
OLD_KEY = 0.03  # part of the requests that come with a key that was taken away
FINAL = frozenset((400, 401, 404, 413, 431))  # statuses after which no client tries again
PROMISES = frozenset((429, 503, 408, 421))  # statuses of requests that no server has run
LEFT_LEAST = 0.005  # s that a try has to have left
RETRY_PAUSE, RETRY_RANDOM = 0.02, 0.05  # s until the next try: at least, and at random for each try before
REPEATED = 0.1  # part of the keyed operations that are sent again after a good answer
PATIENCE = 0.05  # s beyond its deadline that a client waits for an answer


class KeptConnection(NamedTuple):
    """An open connection to a gateway that is used again; `since` is world time, in s."""

    connection: http_client.ClientConnection
    machine: GatewayMachine
    since: float


class Platform:
    """Which gateways get new connections."""

    def __init__(self, simulation: SimulationContext) -> None:
        self.simulation, self.world = simulation, simulation.world
        self.misses: dict[str, int] = {}
        self.ready: dict[str, bool] = {machine.name: False for machine in simulation.machines}
        self.by_zone: dict[str, list[GatewayMachine]] = {}
        for machine in simulation.machines:
            self.by_zone.setdefault(machine.zone, []).append(machine)
        self.process = simulation.network.process("platform", "10.250.0.1")
        for number, machine in enumerate(simulation.machines):
            self.process.loop.call_later(READINESS_INTERVAL * number / len(simulation.machines), self._look, machine)

    def _look(self, machine: GatewayMachine) -> None:
        def done(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.misses[machine.name], self.ready[machine.name] = 0, True
                self.simulation.judge.said_ready(machine.name)
            else:
                self.misses[machine.name] = self.misses.get(machine.name, 0) + 1
                if self.misses[machine.name] >= MISSES:
                    self.ready[machine.name] = False

        self.process.loop.call_later(READINESS_INTERVAL, self._look, machine)
        http_client.fetch(
            self.process,
            machine.readyz,
            http_client.request("GET", machine.readyz, "/-/readyz", []),
            READINESS_INTERVAL,
            done,
        )

    def pick(self, zone: str, client: int, tries: int) -> GatewayMachine:
        """The gateway for a new connection: by a hash of the client, and another one for each further try."""
        machines = [m for m in self.by_zone[zone] if self.ready[m.name]]
        if not machines:
            elsewhere = [m for m in self.simulation.machines if self.ready[m.name]]
            machines = elsewhere or self.by_zone[zone]
        elif 2 * len(machines) < len(self.by_zone[zone]):
            machines = self.by_zone[zone]
        return machines[(zlib.crc32(b"%d" % client) + tries) % len(machines)]


class ZoneClients:
    """The clients of one zone: `number` of the zone, and its `share` of all requests."""

    def __init__(self, simulation: SimulationContext, platform: Platform, name: str, number: int, share: float) -> None:
        self.platform = platform
        self.simulation, self.world, self.name, self.share = simulation, simulation.world, name, share
        self.rng = self.world.random(f"clients/{name}")
        # Of its own, so that what becomes of requests changes nothing of what is asked.
        self.arrivals = {
            route.name: self.world.random(f"arrivals/{name}/{route.name}") for route in simulation.deployment.routes
        }
        self.process = simulation.network.process(f"clients-{name}", f"10.240.{number}.1")
        self.loop = self.process.loop
        self.kept: list[KeptConnection] = []

    def begin(self) -> None:
        """The load begins: arrivals are Poisson, by route."""
        if self.simulation.day.trace:
            return
        for route in self.simulation.deployment.routes:
            if route.rate > 0.0:
                self._next(route)

    def _next(self, route: Route) -> None:
        most = route.rate * self.share * self.simulation.day.load * self.simulation.most_factor
        if most <= 0.0:
            return
        self.loop.call_later(self.arrivals[route.name].expovariate(most), self._arrive, route)

    def _arrive(self, route: Route) -> None:
        if self.world.now >= self.simulation.load_ends:
            return
        self._next(route)
        rng = self.arrivals[route.name]
        tenant = self.simulation.draw_tenant(rng)
        # Arrivals are drawn for the most that the day ever brings, and thinned.
        if rng.random() * self.simulation.most_factor < self.simulation.factor(route, tenant):
            self.ask(route, tenant)

    def ask(self, route: Route, tenant: Tenant | None) -> None:
        """A client makes a request; the first attempt is sent at once."""
        simulation = self.simulation
        key = old = ""
        if tenant is not None and not route.public:
            key, old = simulation.keys[tenant.name], simulation.old_keys.get(tenant.name, "")
        rng = self.arrivals[route.name]
        ask = SimulatedRequest(route, tenant, self.name, rng.getrandbits(24), self.world.now, key)
        if old and rng.random() < OLD_KEY:
            ask.key, ask.owed = old, False
        else:
            simulation.judge.born(ask)
        self._try(ask)

    # Tries

    def _try(self, ask: SimulatedRequest) -> None:
        now = self.world.now
        if now >= ask.ends - LEFT_LEAST:
            return
        attempt = f"{self.rng.getrandbits(64):016x}"
        ask.tries += 1
        ask.attempts.append(attempt)
        sending = _Sending(self, ask, attempt)
        if ask.tries == 1 and self.rng.random() < self.simulation.deployment.clients.keep:
            while self.kept:
                connection, machine, since = self.kept.pop()
                if connection.unsolicited:
                    self.simulation.judge.broken("MIXED", f"bytes without a request from {machine.name}")
                if connection.usable and now - since < KEEP_MOST:
                    sending.machine, sending.connection = machine, connection
                    return sending.send()
                connection.abort()
        sending.machine = self.platform.pick(self.name, ask.client, ask.tries - 1)
        sending.open()

    def succeeded(self, ask: SimulatedRequest) -> None:
        """A try has brought success; some operations are sent once more all the same."""
        if ask.operation and self.rng.random() < REPEATED:
            self.loop.call_later(self.rng.uniform(0.0, ask.ends - self.world.now), self._try, ask)

    def failed(self, ask: SimulatedRequest, answer: http_client.Answer | None, read: bool) -> None:
        """A try has brought no success; `read`: the ingress may have read the request."""
        now, route = self.world.now, ask.route
        status = answer.status if answer is not None else 0
        impatient = (ask.client & 0xFF) < 256 * self.simulation.deployment.clients.impatient
        repeats = route.repeats * (2 if impatient else 1)
        may = status not in FINAL and (route.kind != "unsafe" or status in PROMISES or not read)
        if not may or ask.tries > repeats or now >= ask.ends:
            return
        wait = RETRY_PAUSE + RETRY_RANDOM * self.rng.random() * ask.tries
        retry_after = answer.headers.get(b"retry-after") if answer is not None else None
        if retry_after is not None and not impatient:
            try:
                wait = max(wait, min(float(retry_after), (ask.ends - now) / 3.0))
            except ValueError:
                self.simulation.judge.broken("MIXED", "Retry-After is no number")
        self.loop.call_later(wait, self._try, ask)


class _Sending:
    """One try of a request, which ends once."""

    __slots__ = ("zone", "ask", "attempt", "machine", "connection", "timer", "sent", "made", "over")

    def __init__(self, zone: ZoneClients, ask: SimulatedRequest, attempt: str) -> None:
        self.zone, self.ask, self.attempt = zone, ask, attempt
        self.machine: GatewayMachine | None = None
        self.connection: http_client.ClientConnection | None = None
        self.timer = self.made = None
        self.sent = self.over = False

    def open(self) -> None:
        zone = self.zone
        host, _, port = self.machine.http.rpartition(":")
        self.made = zone.loop.create_future()
        self.made.add_done_callback(self._up)
        connection = self.connection = http_client.ClientConnection()
        self.timer = zone.loop.call_later(min(CONNECT_TIMEOUT, self.ask.ends - zone.world.now), self.made.cancel)
        zone.loop.network.dial(zone.process, lambda: connection, host, int(port), self.made)

    def _up(self, made: object) -> None:
        self.timer.cancel()
        if made.cancelled() or made.exception() is not None:
            return self._fail(None, False)
        self.send()

    def send(self) -> None:
        zone, ask = self.zone, self.ask
        now = zone.world.now
        left = max(1, int((ask.ends - now) * 1000))
        fields = [("X-Attempt-Id", self.attempt), ("X-Time-Left", str(left))]
        if ask.key:
            fields.append(("Authorization", f"Bearer {ask.key}"))
        if ask.operation:
            fields.append(("X-Op-Key", ask.operation))
        simulation = zone.simulation
        # All tries of an operation are one request.
        named = ask.attempts[0] if ask.operation else self.attempt
        path = f"/{ask.route.name}/{named[:6]}"
        safe = ask.route.kind == "safe"
        body = b"" if safe else named.encode() * (ask.route.bytes_in // 16 + 1)
        simulation.judge.sent(ask, self.attempt, self.machine.name, path, "GET" if safe else "POST", body)
        self.sent = True
        self.timer = zone.loop.call_later(ask.ends - now + PATIENCE, self._late)
        data = http_client.request("GET" if safe else "POST", simulation.host, path, fields, body)
        self.connection.ask(data, self._done)

    def _late(self) -> None:
        """The client waits no longer."""
        if not self.over:
            self.over = True
            self.connection.abort()

    def _done(self, answer: http_client.Answer | None) -> None:
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        zone, judge = self.zone, self.zone.simulation.judge
        if self.connection.unsolicited:
            judge.broken("MIXED", f"bytes without a request from {self.machine.name}")
        transport = self.connection.transport
        read = answer is not None or transport is None or not transport.refused
        judge.answered(self.ask, self.attempt, self.machine.name, answer, read)
        if answer is not None and answer.keep and len(zone.kept) < KEPT:
            zone.kept.append(KeptConnection(self.connection, self.machine, zone.world.now))
        else:
            self.connection.abort()
        if answer is not None and 200 <= answer.status < 300:
            zone.succeeded(self.ask)
            return
        zone.failed(self.ask, answer, read)

    def _fail(self, answer: http_client.Answer | None, read: bool) -> None:
        if not self.over:
            self.over = True
            self.zone.failed(self.ask, answer, read)
