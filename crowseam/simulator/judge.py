"""Checks the system's guarantees as invariants on what clients and servers observe, and computes a day's metrics."""

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

MAX_DENIED, MAX_DENIED_SHARE = 5, 1 / 500  # of valid requests; the share is of all attempts
MAX_VIOLATION_TEXTS = 40  # violations whose text is kept
NOT_RUN_STATUSES = frozenset((429, 503, 408, 421))  # these guarantee that no server ran the request


class JudgedServer(Protocol):
    """What the judge needs from a server."""

    id: str
    service: Service


class JudgedSimulation(Protocol):
    """What the judge needs from the simulation."""

    day: Day
    deployment: Deployment
    world: World
    load_begins: float
    machines: list

    def machine_at(self, address: str) -> str | None:
        """Return the name of the machine with this address (with or without a port)."""

    def incarnation_of(self, name: str, at: float) -> int:
        """Return the incarnation number of a machine's gateway at a time."""


class Judge:
    """Records observations of clients, servers and operators, and checks them against the rules."""

    def __init__(self, simulation: JudgedSimulation) -> None:
        self.simulation, self.world, self.bounds = simulation, simulation.world, simulation.deployment.bounds
        self.requests: list[SimulatedRequest] = []
        self.attempts: dict[str, Attempt] = {}
        self.violation_counts: Counter[str] = Counter()
        self.violations: list[str] = []
        self.versions: list[SentConfiguration] = []
        self.outages: list[Outage] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.client_sends: list[tuple[float, str]] = []  # time of each attempt sent by a client, and its services
        self.deliveries: dict[str, list[Delivery]] = {}  # by tenant
        self.drains: dict[str, Drain] = {}  # by server
        self.leaving_since: dict[str, float] = {}  # when a server began to leave
        self.leave_acks: list[float] = []
        self.denied = 0  # valid requests answered 3xx or 4xx
        self.buckets: dict[str, Bucket] = {}  # by tenant
        self.ready_at: dict[str, float] = {}
        self.connections = 0
        self.turned_away = 0
        self.runs_by_second: dict[tuple[str, int], Counter[str]] = {}  # by service and second: runs of each server

    @property
    def violation_texts(self) -> list[str]:
        """Texts of the violations, as read by the model checks."""
        return self.violations

    def record_violation(self, rule: str, text: str) -> None:
        """Count the violation of a rule, and keep its text up to MAX_VIOLATION_TEXTS."""
        self.violation_counts[rule] += 1
        if len(self.violations) < MAX_VIOLATION_TEXTS:
            self.violations.append(f"t={self.world.now - self.simulation.load_begins:.3f} {rule}: {text}")

    # Outages

    def record_outage(self, machines: list[str], since: float, until: float) -> None:
        """Note that machines (all if the list is empty) may be out of touch from `since` to `until`."""
        for name in machines or [""]:
            self.outages.append(Outage(since, until, name))

    def in_touch(self, machine: str, since: float, until: float | None = None) -> bool:
        """Whether a machine was in touch throughout the period and for `contact` before it."""
        until = since if until is None else until
        window_start = since - self.bounds.contact
        return all(
            each.since > until or each.until < window_start for each in self.outages if each.machine in ("", machine)
        )

    # Clients

    def record_request(self, request: SimulatedRequest) -> None:
        """Record a new request; it is owed an answer if it is within its tenant's quota."""
        self.requests.append(request)
        tenant = request.tenant
        if tenant is not None and tenant.rate > 0.0 and not request.route.public:
            rate, burst = self.current_quota(tenant.name, tenant.rate, tenant.burst)
            level, at = self.buckets.get(tenant.name, Bucket(burst, self.world.now))
            level = min(burst, level + rate * (self.world.now - at))
            request.owed = level >= 1.0
            self.buckets[tenant.name] = Bucket(level - request.owed, self.world.now)

    def current_quota(self, tenant: str, rate: float, burst: float) -> tuple[float, float]:
        """Return (rate, burst) of a tenant in the newest acknowledged version, else the given values."""
        for version in reversed(self.versions):
            if version.acked_at is not None and tenant in version.rates:
                return version.rates[tenant]
        return rate, burst

    def record_attempt(
        self, request: SimulatedRequest, attempt: str, machine: str, path: str, method: str, body: bytes
    ) -> None:
        """Record an attempt sent by a client."""
        self.attempts[attempt] = Attempt(request, machine, path, method, body, self.world.now)
        for service in request.route.services():
            self.client_sends.append((self.world.now, service))

    def record_answer(
        self,
        request: SimulatedRequest,
        attempt: str,
        machine: str,
        answer: http_client.Answer | None,
        was_read: bool = True,
    ) -> None:
        """Record the end of an attempt; no `answer`: the connection closed; `was_read`: the gateway had the request."""
        record, now = self.attempts[attempt], self.world.now
        if answer is None:
            record.status = 0
            if (
                was_read
                and not record.answer_dropped
                and now < request.deadline_at - 0.02
                and self.in_touch(machine, record.sent_at, now)
                and self.simulation.incarnation_of(machine, record.sent_at)
                == self.simulation.incarnation_of(machine, now)
            ):
                self.record_violation("LOST", f"{attempt} to {machine}: closed without an answer")
            return
        status = record.status = answer.status
        if 200 <= status < 300:
            response_seal = answer.headers.get(b"x-server-seal", b"").decode("latin-1")
            server = response_seal.partition(".")[0]
            run_attempts = [
                each for each in (request.attempts if request.operation else [attempt]) if self.attempts[each].run_count
            ]
            is_sealed = any(response_seal == seal(server, each, answer.body) for each in run_attempts or [attempt])
            if not is_sealed or b"content-encoding" in answer.headers:
                self.record_violation("MIXED", f"{attempt}: a success whose seal does not match ({response_seal!r})")
            elif not run_attempts:
                self.record_violation("MIXED", f"{attempt}: a success, though no server ran it")
            elif request.operation and request.success_seal not in ("", response_seal):
                self.record_violation("MIXED", f"{attempt}: a repeat got a different answer than the first success")
            elif not request.success_seal:
                request.success_seal, request.answered_at = response_seal, now
                is_late = now - request.created_at > request.route.target
                request.earned = request.route.late if is_late else request.route.worth
        elif status in NOT_RUN_STATUSES:
            request.refused = True
            if request.route.kind != "safe" and record.run_count:
                self.record_violation("REFUSED", f"{attempt}: answered {status}, but it has run")
        elif 300 <= status < 500 and status != 409 and self.is_allowed(request, record.sent_at):
            if not self.in_touch(machine, now):
                return
            self.denied += 1
            if status in (401, 403, 404):
                self.record_violation("CONFIG", f"{attempt}: {machine} answers {status} by an older version")

    def is_allowed(self, request: SimulatedRequest, at: float) -> bool:
        """Whether all versions that may be in force allow the request."""
        return all(
            request.route.name in v.routes and (request.route.public or not v.keys or request.key in v.keys)
            for v in self.versions_in_force(at)
        )

    def versions_in_force(self, at: float, within: float | None = None) -> list[SentConfiguration]:
        """Return the versions that a machine in touch may apply at a time."""
        within = self.bounds.apply if within is None else within
        first = 0
        for index, version in enumerate(self.versions):
            if version.acked_at is not None and version.acked_at + within < at:
                first = index
        return [v for v in self.versions[first:] if v.sent_at <= at and not v.refused]

    # Servers

    def record_arrival(self, server: JudgedServer, server_request: ServerRequest) -> None:
        """Record the arrival of an attempt at a server; it must be unchanged and must not come after a drain."""
        record, now = self.attempts.get(server_request.attempt), self.world.now
        if record is None:
            return self.record_violation("UNASKED", f"{server.id} has {server_request.attempt}, which no client sent")
        record.arrival_count += 1
        self.arrivals.append(Arrival(now, server.service.name, record.arrival_count > 1))
        fields, request = server_request.fields, record.request
        if (server_request.method, server_request.path, server_request.body) != (
            record.method,
            record.path,
            record.body,
        ):
            self.record_violation("UNASKED", f"{server_request.attempt} was changed in transit")
        if b"authorization" in fields:
            self.record_violation("UNASKED", f"{server_request.attempt}: the API key was forwarded")
        tenant_header = fields.get(b"x-tenant", b"").decode()
        if request.key and not any(v.keys.get(request.key) == tenant_header for v in self.versions):
            self.record_violation(
                "UNASKED", f"{server_request.attempt}: tenant {tenant_header!r} does not hold the key"
            )
        self._check_drain(server, record, server_request)

    def _check_drain(self, server: JudgedServer, attempt: Attempt, server_request: ServerRequest) -> None:
        """A gateway in touch must not send new attempts to a draining server after the `drain` bound."""
        drain, now = self.drains.get(server.id), self.world.now
        gateway = self.simulation.machine_at(server_request.connection.transport.remote)
        if drain is None or gateway is None:
            return
        is_late = attempt.sent_at > drain.at and now > drain.at + self.bounds.drain
        if is_late and self.in_touch(gateway, now) and self.in_touch(drain.machine, drain.at):
            after = f"{now - drain.at:.2f} s after its acknowledgement"
            self.record_violation("DRAIN", f"{server.id} has {server_request.attempt} from {gateway} {after}")

    def record_run(self, server: JudgedServer, server_request: ServerRequest) -> None:
        """Record the start of a run: unsafe requests run at most once, and only at a service of the route."""
        record, now = self.attempts.get(server_request.attempt), self.world.now
        if record is None:
            return
        record.run_count += 1
        request, service = record.request, server.service.name
        if request.route.kind != "safe":
            # A day is shorter than the key window.
            runs = sum(self.attempts[each].run_count for each in request.attempts if each in self.attempts)
            if (runs if request.operation else record.run_count) > 1:
                self.record_violation(
                    "TWICE",
                    f"{request.operation or server_request.attempt} has run {max(runs, record.run_count)} times",
                )
            if record.status in NOT_RUN_STATUSES:
                self.record_violation("REFUSED", f"{server_request.attempt} runs after an answer {record.status}")
        if not any(service in v.routes.get(request.route.name, ()) for v in self.versions):
            self.record_violation("ROUTE", f"{server_request.attempt} of {request.route.name} is run by {service}")
        if request.tenant is not None and request.key:
            self.deliveries.setdefault(request.tenant.name, []).append(Delivery(record.sent_at, now))
        self.runs_by_second.setdefault((service, int(now)), Counter())[server.id] += 1
        gateway = self.simulation.machine_at(server_request.connection.transport.remote) or ""
        self.runs.append(Run(now, record, service, gateway))

    def record_dropped_answer(self, server_request: ServerRequest) -> None:
        """Note that a server does not answer a request that it has received."""
        if (record := self.attempts.get(server_request.attempt)) is not None:
            record.answer_dropped = True

    def record_connection(self) -> None:
        """Count a connection opened by a gateway to a server."""
        self.connections += 1

    def record_leaving(self, server: JudgedServer) -> None:
        """Record the start of a drain."""
        self.leaving_since[server.id] = self.world.now

    def record_drain(self, server: JudgedServer, controller: str) -> None:
        """Record the acknowledgement of a drain by the controller at an address."""
        machine = self.simulation.machine_at(controller) or ""
        self.drains[server.id] = Drain(self.world.now, machine)
        self.leave_acks.append(self.world.now - self.leaving_since[server.id])

    def record_ready(self, machine: str) -> None:
        """Record when the gateway of a machine was first ready."""
        self.ready_at.setdefault(machine, self.world.now)

    # Checks at the end of the day

    def finish(self, read_back: bytes | None) -> None:
        """Run the checks that need the observations of the whole day."""
        self._check_config(read_back)
        self._check_acks()
        self._check_budget()
        self._check_quotas()
        if self.denied > MAX_DENIED + len(self.attempts) * MAX_DENIED_SHARE:
            self.record_violation("DENIED", f"{self.denied} valid requests were answered 3xx or 4xx")

    def _check_config(self, read_back: bytes | None) -> None:
        proven_versions: dict[tuple[str, int], ProvenVersion] = {}  # by incarnation of a gateway
        for run in self.runs:
            if run.gateway:
                self._check_version(run, proven_versions)
        acked = [v for v in self.versions if v.acked_at is not None]
        for parent, count in Counter(v.parent for v in acked).items():
            if count > 1:
                self.record_violation("CONFIG", f"{count} changes on top of {parent:08x} were acknowledged")
        if not acked:
            self.record_violation("ACK", "no configuration was acknowledged")
        elif read_back is None:
            self.record_violation("LOST", "the configuration could not be read at the end of the day")
        else:
            self._check_read_back(acked[-1].ver, read_back)

    def _check_version(self, run: Run, proven_versions: dict[tuple[str, int], ProvenVersion]) -> None:
        """The version by which a gateway routed a run must be neither outdated nor older than one it had before."""
        request, sent_at = run.attempt.request, run.attempt.sent_at
        allowing = [
            v.ver
            for v in self.versions
            if run.service in v.routes.get(request.route.name, ())
            and (not request.key or not v.keys or request.key in v.keys)
            and not v.refused
        ]
        if not allowing:
            self.record_violation("CONFIG", f"{request.route.name} was run by {run.service}, which no version allows")
            return
        newest, oldest = max(allowing), min(allowing)
        due = [v for v in self.versions if v.acked_at is not None and v.acked_at + self.bounds.apply < sent_at]
        if due and newest < due[-1].ver and self.in_touch(run.gateway, sent_at, run.at):
            self.record_violation(
                "CONFIG",
                f"{run.gateway} handles {request.route.name} as only {newest:08x} allows, "
                f"{sent_at - due[-1].acked_at:.2f} s after {due[-1].ver:08x} was acknowledged",
            )
        incarnation = (run.gateway, self.simulation.incarnation_of(run.gateway, sent_at))
        known = proven_versions.get(incarnation)
        if known is not None and sent_at > known.at + self.bounds.revert and newest < known.version:
            self.record_violation("CONFIG", f"{run.gateway} goes back from {known.version:08x} to {newest:08x}")
        if known is None or oldest > known.version:
            proven_versions[incarnation] = ProvenVersion(oldest, run.at)

    def _check_read_back(self, acknowledged: int, read_back: bytes) -> None:
        """The version read at the end is the newest acknowledged one, or a newer one that was sent."""
        ver = int(msgspec.json.decode(read_back)["ver"], 16)
        if ver < acknowledged:
            self.record_violation("LOST", f"{ver:08x} was read at the end, but {acknowledged:08x} was acknowledged")
        known = next((v for v in self.versions if v.ver == ver), None)
        if known is None or known.refused:
            self.record_violation("CONFIG", f"{ver:08x} was read at the end, but was never accepted")
        elif known.differs_from(read_back):
            self.record_violation("CONFIG", f"{ver:08x} differs from what was sent as this version")

    def _check_acks(self) -> None:
        for version in self.versions:
            until = version.sent_at + self.bounds.ack
            is_overdue = version.acked_at is None and not version.refused and until < self.world.now
            if (is_overdue or (version.acked_at or 0.0) > until) and self.in_touch("", version.sent_at, until):
                self.record_violation(
                    "ACK", f"{version.ver:08x} was not acknowledged within {self.bounds.ack:g} s without faults"
                )

    def _check_budget(self) -> None:
        bounds, self.peak_budget_use = self.bounds, 0.0
        window_s = bounds.retry_window
        for name in {service for _, service, _ in self.arrivals}:
            client_send_times = [at for at, service in self.client_sends if service == name]
            retry_times = [at for at, service, is_retry in self.arrivals if service == name and is_retry]
            window: deque[float] = deque()
            for at in retry_times:
                window.append(at)
                while window[0] <= at - window_s:
                    window.popleft()
                window_start = window[0]
                client_sends_in_window = max(
                    bisect_right(client_send_times, window_start + window_s - shift)
                    - bisect_left(client_send_times, window_start - shift)
                    for shift in (0.0, window_s, window_s / 2)
                )
                used = len(window) / (bounds.retry_ratio * client_sends_in_window + bounds.retry_slack)
                self.peak_budget_use = max(self.peak_budget_use, used)
            if self.peak_budget_use > 1.0:
                self.record_violation(
                    "BUDGET", f"{name}: {self.peak_budget_use:.2f} of the budget of a window was used"
                )

    def _check_quotas(self) -> None:
        bounds, self.peak_quota_use = self.bounds, 0.0
        window_s = bounds.quota_window
        for tenant in self.simulation.deployment.tenants:
            if not tenant.rate:
                continue
            times = sorted(self.deliveries.get(tenant.name, ()))
            quotas = [v.rates[tenant.name] for v in self.versions if tenant.name in v.rates]
            rate = max([rate for rate, _ in quotas] or [tenant.rate])
            burst = max([burst for _, burst in quotas] or [tenant.burst])
            limit = (rate * window_s + burst) * (1.0 + bounds.quota_excess) + bounds.quota_slack
            # Requests that were both sent and run within the window.
            for index, (window_start, _) in enumerate(times):
                end = bisect_right(times, (window_start + window_s, inf))
                if end - index > limit * self.peak_quota_use:
                    count = sum(arrived <= window_start + window_s for _, arrived in times[index:end])
                    self.peak_quota_use = max(self.peak_quota_use, count / limit)
            if self.peak_quota_use > 1.0:
                self.record_violation("QUOTA", f"{tenant.name}: {self.peak_quota_use:.2f} of its quota ran in a window")

    def _busiest(self) -> float:
        """Return the runs at the busiest server relative to the mean, averaged over seconds and services."""
        servers = {service.name: service.servers for service in self.simulation.deployment.services}
        ratios = [
            max(counts.values()) * servers[name] / sum(counts.values())
            for (name, _), counts in self.runs_by_second.items()
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

    def metrics(self) -> Metrics:
        """Compute the metrics of the day; requests beyond a tenant's quota are not counted as owed."""
        simulation = self.simulation
        metrics = Metrics(simulation.day.name, self.world.seed)
        add_requests(
            metrics,
            [request for request in self.requests if request.owed],
            simulation.deployment.routes,
            simulation.load_begins,
        )
        metrics.turned_away = self.turned_away / max(1, len(self.arrivals))
        metrics.busiest = self._busiest()
        metrics.rules, metrics.violations = dict(sorted(self.violation_counts.items())), self.violations
        metrics.acks = [v.acked_at - v.sent_at for v in self.versions if v.acked_at is not None]
        metrics.unacked = sum(v.acked_at is None and not v.refused for v in self.versions)
        metrics.leave_acks = max(self.leave_acks, default=0.0)
        metrics.budget, metrics.quota = self.peak_budget_use, self.peak_quota_use
        metrics.again = sum(arrival.is_retry for arrival in self.arrivals) / max(1, len(self.attempts))
        metrics.connections = self.connections
        ready = sorted(self.ready_at.values())
        half = len(simulation.machines) // 2
        metrics.ready = min(ready[half] if len(ready) > half else inf, self.world.now)
        return metrics
