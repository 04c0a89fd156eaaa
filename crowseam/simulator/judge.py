"""The judge: checks the rules as invariants, on what clients and servers observe, and computes a day's metrics."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, deque
from math import inf
from typing import Protocol

import msgspec

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.configurations import SentConfiguration
from crowseam.simulator.actors.requests import ServerRequest, SimulatedRequest, seal
from crowseam.simulator.metrics import Metrics, add_requests
from crowseam.simulator.observations import (
    Arrival,
    Attempt,
    Bucket,
    Delivery,
    Drain,
    Outage,
    ProvenVersion,
    Run,
)
from crowseam.simulator.scenario.day import Day, Deployment, Service
from crowseam.simulator.world.loop import World

DENIED_MOST, DENIED_PART = 5, 1 / 500  # requests that may be denied: a few, and a part of all tries
VIOLATIONS_KEPT = 40  # violations that are kept with their text
PROMISES = frozenset((429, 503, 408, 421))  # statuses of requests that no server has run


class JudgedServer(Protocol):
    """What the judge asks of a server."""

    id: str
    service: Service


class JudgedSimulation(Protocol):
    """What the judge asks of the simulation."""

    day: Day
    deployment: Deployment
    world: World
    begins: float
    machines: list

    def machine_at(self, address: str) -> str | None:
        """The name of the machine with this address (with or without a port)."""

    def life_of(self, name: str, at: float) -> int:
        """Which life of the gateway of a machine it was at a time."""


class Judge:
    """Checks the rules on everything that clients, servers and operators observe."""

    def __init__(self, simulation: JudgedSimulation) -> None:
        self.simulation, self.world, self.bounds = simulation, simulation.world, simulation.deployment.bounds
        self.asks: list[SimulatedRequest] = []
        self.sents: dict[str, Attempt] = {}
        self.rules: Counter[str] = Counter()
        self.violations: list[str] = []
        self.versions: list[SentConfiguration] = []
        self.outages: list[Outage] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.firsts: list[tuple[float, str]] = []  # when a client sent an attempt, and for which service
        self.deliveries: dict[str, list[Delivery]] = {}  # by tenant
        self.drains: dict[str, Drain] = {}  # by server
        self.leaves: dict[str, float] = {}  # when a server began to leave
        self.leave_acks: list[float] = []
        self.denied = 0  # proper requests that got 3xx or 4xx
        self.buckets: dict[str, Bucket] = {}  # by tenant
        self.ready_at: dict[str, float] = {}
        self.connections = 0
        self.turned_away = 0
        self.begun: dict[tuple[str, int], Counter[str]] = {}  # by service and second: runs of each server

    @property
    def told(self) -> list[str]:
        """The violations, under the name by which the model checks know them."""
        return self.violations

    def broken(self, rule: str, text: str) -> None:
        """A rule was broken: count it, and keep the text of the first few."""
        self.rules[rule] += 1
        if len(self.violations) < VIOLATIONS_KEPT:
            self.violations.append(f"t={self.world.now - self.simulation.begins:.3f} {rule}: {text}")

    # What went wrong, and when

    def trouble(self, machines: list[str], since: float, until: float) -> None:
        """These machines (all, if none is named) are not in touch then."""
        for name in machines or [""]:
            self.outages.append(Outage(since, until, name))

    def in_touch(self, machine: str, since: float, until: float | None = None) -> bool:
        """Whether the machine was in touch all the time, `contact` before included."""
        until = since if until is None else until
        begun = since - self.bounds.contact
        return all(each.since > until or each.until < begun for each in self.outages if each.machine in ("", machine))

    # Clients

    def born(self, ask: SimulatedRequest) -> None:
        """A client makes a request; one beyond its tenant's quota is not owed."""
        self.asks.append(ask)
        tenant = ask.tenant
        if tenant is not None and tenant.rate > 0.0 and not ask.route.public:
            rate, burst = self.quota_of(tenant.name, tenant.rate, tenant.burst)
            level, at = self.buckets.get(tenant.name, Bucket(burst, self.world.now))
            level = min(burst, level + rate * (self.world.now - at))
            ask.owed = level >= 1.0
            self.buckets[tenant.name] = Bucket(level - ask.owed, self.world.now)

    def quota_of(self, tenant: str, rate: float, burst: float) -> tuple[float, float]:
        """The terms of the tenant in the newest acknowledged version."""
        for version in reversed(self.versions):
            if version.acked_at is not None and tenant in version.rates:
                return version.rates[tenant]
        return rate, burst

    def sent(self, ask: SimulatedRequest, attempt: str, machine: str, path: str, method: str, body: bytes) -> None:
        """A client sends an attempt of a request."""
        self.sents[attempt] = Attempt(ask, machine, path, method, body, self.world.now)
        for service in ask.route.services():
            self.firsts.append((self.world.now, service))

    def answered(
        self, ask: SimulatedRequest, attempt: str, machine: str, answer: http_client.Answer | None, read: bool = True
    ) -> None:
        """A try has ended; with no answer where the connection closed. `read`: the ingress had its bytes."""
        sent, now = self.sents[attempt], self.world.now
        if answer is None:
            sent.status = 0
            if (
                read
                and not sent.broke_off
                and now < ask.ends - 0.02
                and self.in_touch(machine, sent.at, now)
                and self.simulation.life_of(machine, sent.at) == self.simulation.life_of(machine, now)
            ):
                self.broken("LOST", f"{attempt} to {machine}: closed without an answer")
            return
        status = sent.status = answer.status
        if 200 <= status < 300:
            stamped = answer.headers.get(b"x-server-seal", b"").decode("latin-1")
            server = stamped.partition(".")[0]
            ran = [each for each in (ask.attempts if ask.operation else [attempt]) if self.sents[each].ran]
            is_sealed = any(stamped == seal(server, each, answer.body) for each in ran or [attempt])
            if not is_sealed or b"content-encoding" in answer.headers:
                self.broken("MIXED", f"{attempt}: a success that is not the server's ({stamped!r})")
            elif not ran:
                self.broken("MIXED", f"{attempt}: a success, though no server ran it")
            elif ask.operation and ask.success not in ("", stamped):
                self.broken("MIXED", f"{attempt}: a repeat gets another answer than the first")
            elif not ask.success:
                ask.success, ask.answered_at = stamped, now
                late = now - ask.born > ask.route.target
                ask.earned = ask.route.late if late else ask.route.worth
        elif status in PROMISES:
            ask.refused = True
            if ask.route.kind != "safe" and sent.ran:
                self.broken("REFUSED", f"{attempt}: answered {status}, but it has run")
        elif 300 <= status < 500 and status != 409 and self.allowed(ask, sent.at):
            if not self.in_touch(machine, now):
                return
            self.denied += 1
            if status in (401, 403, 404):
                self.broken("CONFIG", f"{attempt}: {machine} answers {status} by an older version")

    def allowed(self, ask: SimulatedRequest, at: float) -> bool:
        """Whether every version that may be in force allows the request."""
        return all(
            ask.route.name in v.routes and (ask.route.public or not v.keys or ask.key in v.keys)
            for v in self.in_force(at)
        )

    def in_force(self, at: float, within: float | None = None) -> list[SentConfiguration]:
        """Versions that a machine in touch may go by at a time."""
        within = self.bounds.apply if within is None else within
        first = 0
        for place, version in enumerate(self.versions):
            if version.acked_at is not None and version.acked_at + within < at:
                first = place
        return [v for v in self.versions[first:] if v.sent_at <= at and not v.refused]

    # Servers

    def arrived(self, server: JudgedServer, job: ServerRequest) -> None:
        """A server has an attempt: it must be as it was sent, and not come after the drain."""
        sent, now = self.sents.get(job.attempt), self.world.now
        if sent is None:
            return self.broken("UNASKED", f"{server.id} has {job.attempt}, which nobody sent")
        sent.arrived += 1
        self.arrivals.append(Arrival(now, server.service.name, sent.arrived > 1))
        fields, ask = job.fields, sent.ask
        if (job.method, job.path, job.body) != (sent.method, sent.path, sent.body):
            self.broken("UNASKED", f"{job.attempt} was changed on its way")
        if b"authorization" in fields:
            self.broken("UNASKED", f"{job.attempt}: the key was passed on")
        named = fields.get(b"x-tenant", b"").decode()
        if ask.key and not any(v.keys.get(ask.key) == named for v in self.versions):
            self.broken("UNASKED", f"{job.attempt}: tenant {named!r} does not hold the key")
        self._check_drain(server, sent, job)

    def _check_drain(self, server: JudgedServer, attempt: Attempt, job: ServerRequest) -> None:
        """A server that leaves gets nothing new from gateways in touch once the time for that is over."""
        drain, now = self.drains.get(server.id), self.world.now
        gateway = self.simulation.machine_at(job.connection.transport.remote)
        if drain is None or gateway is None:
            return
        late = attempt.at > drain.at and now > drain.at + self.bounds.drain
        if late and self.in_touch(gateway, now) and self.in_touch(drain.machine, drain.at):
            after = f"{now - drain.at:.2f} s after its acknowledgement"
            self.broken("DRAIN", f"{server.id} has {job.attempt} from {gateway} {after}")

    def ran(self, server: JudgedServer, job: ServerRequest) -> None:
        """A server begins to run an attempt: unsafe ones once, and by a service of the route."""
        sent, now = self.sents.get(job.attempt), self.world.now
        if sent is None:
            return
        sent.ran += 1
        ask, service = sent.ask, server.service.name
        if ask.route.kind != "safe":
            # A day is shorter than the window of a key.
            runs = sum(self.sents[each].ran for each in ask.attempts if each in self.sents)
            if (runs if ask.operation else sent.ran) > 1:
                self.broken("TWICE", f"{ask.operation or job.attempt} has run {max(runs, sent.ran)} times")
            if sent.status in PROMISES:
                self.broken("REFUSED", f"{job.attempt} runs after an answer {sent.status}")
        if not any(service in v.routes.get(ask.route.name, ()) for v in self.versions):
            self.broken("ROUTE", f"{job.attempt} of {ask.route.name} is run by {service}")
        if ask.tenant is not None and ask.key:
            self.deliveries.setdefault(ask.tenant.name, []).append(Delivery(sent.at, now))
        self.begun.setdefault((service, int(now)), Counter())[server.id] += 1
        gateway = self.simulation.machine_at(job.connection.transport.remote) or ""
        self.runs.append(Run(now, sent, service, gateway))

    def broke_off(self, job: ServerRequest) -> None:
        """A server gives no answer to what it has."""
        if (sent := self.sents.get(job.attempt)) is not None:
            sent.broke_off = True

    def opened(self) -> None:
        """A gateway has opened a connection to a server."""
        self.connections += 1

    def leaving(self, server: JudgedServer) -> None:
        """A server begins to leave."""
        self.leaves[server.id] = self.world.now

    def drained(self, server: JudgedServer, at: str) -> None:
        """The controller at `at` has acknowledged that a server leaves."""
        machine = self.simulation.machine_at(at) or ""
        self.drains[server.id] = Drain(self.world.now, machine)
        self.leave_acks.append(self.world.now - self.leaves[server.id])

    def said_ready(self, machine: str) -> None:
        """The gateway of a machine says that it is ready."""
        self.ready_at.setdefault(machine, self.world.now)

    # At the end

    def finish(self, read_back: bytes | None) -> None:
        """Look at what can only be seen over the whole day."""
        self._check_config(read_back)
        self._check_acks()
        self._check_budget()
        self._check_quotas()
        if self.denied > DENIED_MOST + len(self.sents) * DENIED_PART:
            self.broken("DENIED", f"{self.denied} proper requests got 3xx or 4xx")

    def _check_config(self, read_back: bytes | None) -> None:
        proven: dict[tuple[str, int], ProvenVersion] = {}  # by life of a gateway
        for run in self.runs:
            if run.gateway:
                self._check_version(run, proven)
        acked = [v for v in self.versions if v.acked_at is not None]
        for parent, count in Counter(v.parent for v in acked).items():
            if count > 1:
                self.broken("CONFIG", f"{count} changes on top of {parent:08x} were acknowledged")
        if not acked:
            self.broken("ACK", "no configuration was acknowledged")
        elif read_back is None:
            self.broken("LOST", "the configuration can't be read at the end of the day")
        else:
            self._check_read_back(acked[-1].ver, read_back)

    def _check_version(self, run: Run, proven: dict[tuple[str, int], ProvenVersion]) -> None:
        """By what it was run for, a gateway neither lags behind nor goes back."""
        ask, sent_at = run.attempt.ask, run.attempt.at
        allowing = [
            v.ver
            for v in self.versions
            if run.service in v.routes.get(ask.route.name, ())
            and (not ask.key or not v.keys or ask.key in v.keys)
            and not v.refused
        ]
        if not allowing:
            self.broken("CONFIG", f"{ask.route.name} was run by {run.service}, which no version allows")
            return
        newest, oldest = max(allowing), min(allowing)
        due = [v for v in self.versions if v.acked_at is not None and v.acked_at + self.bounds.apply < sent_at]
        if due and newest < due[-1].ver and self.in_touch(run.gateway, sent_at, run.at):
            self.broken(
                "CONFIG",
                f"{run.gateway} handles {ask.route.name} as only {newest:08x} allows, "
                f"{sent_at - due[-1].acked_at:.2f} s after {due[-1].ver:08x} was acknowledged",
            )
        life = (run.gateway, self.simulation.life_of(run.gateway, sent_at))
        known = proven.get(life)
        if known is not None and sent_at > known.at + self.bounds.revert and newest < known.version:
            self.broken("CONFIG", f"{run.gateway} goes back from {known.version:08x} to {newest:08x}")
        if known is None or oldest > known.version:
            proven[life] = ProvenVersion(oldest, run.at)

    def _check_read_back(self, acknowledged: int, read_back: bytes) -> None:
        """What is read at the end is the newest that was acknowledged, or a newer one that was sent."""
        ver = int(msgspec.json.decode(read_back)["ver"], 16)
        if ver < acknowledged:
            self.broken("LOST", f"{ver:08x} is read at the end, {acknowledged:08x} was acknowledged")
        known = next((v for v in self.versions if v.ver == ver), None)
        if known is None or known.refused:
            self.broken("CONFIG", f"{ver:08x} is read at the end, which was never taken")
        elif known.differs(read_back):
            self.broken("CONFIG", f"{ver:08x} differs from what was sent under its number")

    def _check_acks(self) -> None:
        for v in self.versions:
            until = v.sent_at + self.bounds.ack
            waits = v.acked_at is None and not v.refused and until < self.world.now
            if (waits or (v.acked_at or 0.0) > until) and self.in_touch("", v.sent_at, until):
                self.broken("ACK", f"{v.ver:08x} was not acknowledged within {self.bounds.ack:g} s of calm")

    def _check_budget(self) -> None:
        bounds, self.most_budget = self.bounds, 0.0
        width = bounds.retry_window
        for name in {service for _, service, _ in self.arrivals}:
            firsts = [at for at, service in self.firsts if service == name]
            beyond = [at for at, service, again in self.arrivals if service == name and again]
            window: deque[float] = deque()
            for at in beyond:
                window.append(at)
                while window[0] <= at - width:
                    window.popleft()
                begins = window[0]
                asked = max(
                    bisect_right(firsts, begins + width - back) - bisect_left(firsts, begins - back)
                    for back in (0.0, width, width / 2)
                )
                used = len(window) / (bounds.retry_ratio * asked + bounds.retry_slack)
                self.most_budget = max(self.most_budget, used)
            if self.most_budget > 1.0:
                self.broken("BUDGET", f"{name}: {self.most_budget:.2f} of the budget of a window was used")

    def _check_quotas(self) -> None:
        bounds, self.most_quota = self.bounds, 0.0
        width = bounds.quota_window
        for tenant in self.simulation.deployment.tenants:
            if not tenant.rate:
                continue
            times = sorted(self.deliveries.get(tenant.name, ()))
            terms = [v.rates[tenant.name] for v in self.versions if tenant.name in v.rates]
            rate = max([rate for rate, _ in terms] or [tenant.rate])
            burst = max([burst for _, burst in terms] or [tenant.burst])
            most = (rate * width + burst) * (1.0 + bounds.quota_excess) + bounds.quota_slack
            # Those that were both sent and arrived within the window.
            for place, (begins, _) in enumerate(times):
                end = bisect_right(times, (begins + width, inf))
                if end - place > most * self.most_quota:
                    count = sum(arrived <= begins + width for _, arrived in times[place:end])
                    self.most_quota = max(self.most_quota, count / most)
            if self.most_quota > 1.0:
                self.broken("QUOTA", f"{tenant.name}: {self.most_quota:.2f} of its quota ran in a window")

    def _busiest(self) -> float:
        """How uneven the load is: the mean over seconds and services of the busiest server over the mean."""
        servers = {service.name: service.servers for service in self.simulation.deployment.services}
        ratios = [
            max(counts.values()) * servers[name] / sum(counts.values()) for (name, _), counts in self.begun.items()
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

    def metrics(self) -> Metrics:
        """The day in numbers. Requests beyond a tenant's quota are not owed."""
        simulation = self.simulation
        metrics = Metrics(simulation.day.name, self.world.seed)
        add_requests(metrics, [ask for ask in self.asks if ask.owed], simulation.deployment.routes, simulation.begins)
        metrics.turned_away = self.turned_away / max(1, len(self.arrivals))
        metrics.busiest = self._busiest()
        metrics.rules, metrics.violations = dict(sorted(self.rules.items())), self.violations
        metrics.acks = [v.acked_at - v.sent_at for v in self.versions if v.acked_at is not None]
        metrics.unacked = sum(v.acked_at is None and not v.refused for v in self.versions)
        metrics.leave_acks = max(self.leave_acks, default=0.0)
        metrics.budget, metrics.quota = self.most_budget, self.most_quota
        metrics.again = sum(arrival.again for arrival in self.arrivals) / max(1, len(self.sents))
        metrics.connections = self.connections
        ready = sorted(self.ready_at.values())
        half = len(simulation.machines) // 2
        metrics.ready = min(ready[half] if len(ready) > half else inf, self.world.now)
        return metrics
