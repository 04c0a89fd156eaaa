"""Load balancing, retries and hedging of requests, from admission to the answer.

Clock-free: callers pass events with their times and carry out the actions that are returned.  A request is
sent to a server of its route's service. One that has not run is retried on another server; one that may have
run is retried only if it is safe. Both are bounded by the tries of the route and by the retry budget. A
request that is not retried is answered at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.reserved_servers import ReservedServers
from crowseam.gateway.subsetting import Subsets
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget
from fennelpoint.interface import Status

# Estimates learned from answers
INITIAL_WORK_FRACTION = 0.3  # of a route's target time: assumed service time before the first answer
WORK_EWMA_WEIGHT, SLOWNESS_EWMA_WEIGHT = 0.15, 0.2  # weight of one answer
MEAN_WORK_EWMA_WEIGHT = 0.03  # weight of one request in its service's mean service time
MIN_SLOWNESS, MAX_SLOWNESS = 0.4, 4.0  # bounds of a server's service time relative to the other servers
LOAD_HALF_LIFE_S = 0.25  # half-life of a load that a server has reported

# Failures
RECENT_SUCCESS_WINDOW_S = 1.0  # failures are reported only this soon after a success: the fault may be the gateway's
PROBE_INTERVAL_S = 0.7  # mean time between two probes of an ejected server by the whole fleet
OVERDUE_TAIL_FACTOR = 1.5  # tail latencies without an answer that count as a failure
LOST_TAIL_FACTOR = 2.0  # tail latencies after which an attempt that lost a hedge counts as failed
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.25, 4.0  # backoff of a server, doubled with each failure in a row
FULL_BACKOFF_S = 0.05  # backoff of a server that rejected a request

# Cost of a server. Penalties are fractions of the request's service time.
WARM_UP_SLOWNESS = 2.0  # factor on the slowness of a server that is warming up
CROSS_ZONE_PENALTY = 0.7
COST_JITTER = 0.05  # random part of a cost, so that gateways with the same view choose differently
LONG_ON_RESERVED_PENALTY, SHORT_ON_SHARED_PENALTY = 1.0, 0.3
OCCUPANCY_PENALTY = 0.5  # for each request that the server already holds, also where a slot is free
MAX_QUEUED_PER_SERVER = 6  # estimated queue length at which a server gets no further requests

# Hedges and retries
HEDGE = 3.0  # service times without an answer after which a repeatable request is hedged
TAIL_STEP, TAIL_FRACTION = 0.05, 0.04  # step of the tail estimate, and the share of slower answers it settles at
MIN_RETRY_TIME_LEFT_S = 0.02  # time left below which a retry is useless
NOT_EXECUTED_STATUSES = frozenset((429, 503, 408, 421))  # promise that the request has not run and never will
MIN_RETRY_AFTER_S = 0.05


@dataclass(slots=True, eq=False)
class Server:
    """What this gateway knows of one server."""

    id: str
    svc: str
    addr: str
    az: str
    slots: int
    warm_at: float  # when it has warmed up, as it announced
    usable: bool = True
    is_silent: bool = False  # the controllers receive no heartbeats from it
    in_flight: int = 0  # requests from this gateway
    reported_load: float = 0.0  # requests it reported, without those of this gateway
    reported_at: float = -inf
    slowness: float = 1.0  # its service time relative to the other servers
    is_ejected: bool = False  # by outlier detection of the fleet
    rank: float = 1.0  # position within its zone, 0 to 1 (see `reserved_servers`)
    probe_at: float = inf  # when an ejected server is probed with a request
    consecutive_failures: int = 0
    failed_at: float = -inf
    overdue_reported_at: float = -inf  # when it was last reported as overdue
    backoff_until: float = 0.0  # set by failures
    full_until: float = 0.0  # set when it rejects a request
    last_success_at: float = -inf


@dataclass(slots=True, eq=False)
class LatencyEstimate:
    """Estimated latency of one route's requests at one service."""

    work_s: float  # service time, without queueing
    tail_s: float  # latency that a share of TAIL_FRACTION of the answers exceeds


@dataclass(slots=True, eq=False)
class RequestState:
    """A client's request that is not answered yet."""

    id: int
    route: Route
    tenant: str
    arrived_at: float
    deadline: float
    svc: str
    in_flight: dict[int, tuple[Server, float]] = field(default_factory=dict)  # by attempt: server, sent at
    tried_servers: list[str] = field(default_factory=list)
    attempt_count: int = 0
    may_have_run: bool = False
    has_reached_server: bool = False
    hedge_at: float = inf
    last_failure: object = None  # newest error answer of a server, which is forwarded if no try succeeds
    outcomes: list[Status] = field(default_factory=list)  # of the attempts that have ended, in that order


# Actions


@dataclass(slots=True)
class Send:
    """Send the request to a server, then call `on_outcome` with the number of the attempt."""

    id: int
    attempt: int
    server: Server


@dataclass(slots=True)
class Respond:
    """Answer the client with a server's answer, or with a status of the gateway's own."""

    id: int
    status: int
    retry_after_s: float = 0.0
    answer: object = None
    reason: str = ""
    outcomes: list[Status] = field(default_factory=list)  # of the attempts that have ended, in that order


@dataclass(slots=True)
class DrawFromReserve:
    """Draw one request of the tenant from the grantor's reserve, then call `on_request` again with the result."""

    id: int
    tenant: str


@dataclass(slots=True)
class StartHedgeTimer:
    """Call `on_hedge_timer` for this request at this time."""

    id: int
    at: float


class LoadBalancer:
    """The decisions of one gateway; the caller carries out the actions that methods return."""

    def __init__(self, az: str, admission: Admission, budget: RetryBudget, rng: Random, name: str = "") -> None:
        """`az`: the gateway's zone; `name`: its host name, by which it ranks the servers of large services."""
        self.az, self.admission, self.budget, self.rng = az, admission, budget, rng
        self.servers: dict[str, Server] = {}
        self.services: dict[str, list[Server]] = {}
        self.subsets = Subsets(name, az)
        self.estimates: dict[tuple[str, str], LatencyEstimate] = {}
        self.reserved_servers = ReservedServers()
        self.mean_work_s: dict[str, float] = {}  # mean service time, by service
        self.requests: dict[int, RequestState] = {}
        self.outlier_counts: dict[str, int] = {}
        self.gateway_count = 1
        self.last_success_at = -inf  # of any server
        self.reserve_empty_until: dict[str, float] = {}  # by tenant

    # News from the controllers

    def update_servers(self, records: list[ServerRecord], is_complete: bool, now: float) -> None:
        """Apply records of servers: all there are (`is_complete`), or the changed ones."""
        changed_services: set[str] = set()
        if is_complete:
            listed_ids = {record.id for record in records}
            for removed_id in [server_id for server_id in self.servers if server_id not in listed_ids]:
                changed_services.add(self.servers[removed_id].svc)
                self._remove_server(removed_id)
        for record in records:
            server = self.servers.get(record.id)
            if server is None or (server.usable, server.az) != (record.usable, record.az):
                changed_services.add(record.svc)
            if record.phase == "gone":
                self._remove_server(record.id)
                continue
            if server is None or (server.addr, server.svc) != (record.addr, record.svc):
                self._remove_server(record.id)
                server = self.servers[record.id] = Server(
                    record.id, record.svc, record.addr, record.az, max(1, record.slots), now + record.warm / 1000.0
                )
                servers = self.services.setdefault(record.svc, [])
                servers.append(server)
                self.subsets.add(server, servers)
            elif server.az != record.az:
                self.subsets.remove(server, self.services[server.svc])
                server.az = record.az
                self.subsets.add(server, self.services[server.svc])
            server.usable = record.usable
        self.subsets.invalidate()
        for svc in changed_services:
            self.reserved_servers.rank_servers(self.services.get(svc, ()))

    def _remove_server(self, server_id: str) -> None:
        if (server := self.servers.pop(server_id, None)) is not None:
            server.usable = False
            servers = self.services[server.svc]
            servers.remove(server)
            self.subsets.remove(server, servers)

    def set_ejected(self, ids: list[str], now: float) -> None:
        """Set the complete list of ejected servers."""
        ejected_ids = set(ids)
        for server in self.servers.values():
            if server.id in ejected_ids and not server.is_ejected:
                self._schedule_probe(server, now)
            server.is_ejected = server.id in ejected_ids
        self.subsets.invalidate()

    def _schedule_probe(self, server: Server, now: float) -> None:
        """Schedule so that one of the gateways that consider the server probes it each PROBE_INTERVAL_S on average."""
        mean_interval_s = (
            PROBE_INTERVAL_S * self.gateway_count * self.subsets.considering_share(self.services[server.svc])
        )
        server.probe_at = now + self.rng.expovariate(1.0 / mean_interval_s)

    def take_outlier_counts(self, now: float) -> dict[str, int]:
        """Failures by server since the last call; below 0: successes of ejected servers."""
        self._report_overdue(now)
        counts, self.outlier_counts = self.outlier_counts, {}
        return counts

    def _report_overdue(self, now: float) -> None:
        """Report servers that have not succeeded since they were sent a request that is overdue."""
        for request in self.requests.values():
            for server, sent_at in request.in_flight.values():
                if (
                    max(server.last_success_at, server.overdue_reported_at) < sent_at
                    and now - sent_at > OVERDUE_TAIL_FACTOR * self.estimate(request.svc, request.route).tail_s
                ):
                    server.overdue_reported_at = now
                    server.backoff_until = max(server.backoff_until, now + MIN_BACKOFF_S)
                    self._report_failure(server, now)

    def _report_failure(self, server: Server, now: float) -> None:
        """Count a failure for the outlier detection of the fleet: one gateway alone sees few requests of a server."""
        if now - self.last_success_at < RECENT_SUCCESS_WINDOW_S:
            self.outlier_counts[server.id] = max(0, self.outlier_counts.get(server.id, 0)) + 1

    def set_silent(self, ids: list[str]) -> None:
        """Set the complete list of servers that send no heartbeats."""
        silent_ids = set(ids)
        for server in self.servers.values():
            server.is_silent = server.id in silent_ids
        self.subsets.invalidate()

    def in_flight_on_draining(self) -> dict[str, int]:
        """Requests of this gateway in flight at servers that get no new ones, by id of the server, if there are any."""
        return {
            server.id: server.in_flight for server in self.servers.values() if server.in_flight and not server.usable
        }

    # Requests

    def on_request(
        self,
        request_id: int,
        route: Route,
        tenant: str,
        time_left_s: float,
        now: float,
        reserve_wait_s: float | None = None,
    ) -> list:
        """A request is complete.  `reserve_wait_s`: the reserve has been asked, and told to wait so long."""
        decision = self.admission.admit(tenant, 1.0 / (1.0 + route.prio), now, is_recheck=reserve_wait_s is not None)
        if not decision.is_admitted:
            if (
                decision.reason == "quota"
                and reserve_wait_s is None
                and now >= self.reserve_empty_until.get(tenant, 0.0)
            ):
                return [DrawFromReserve(request_id, tenant)]
            if reserve_wait_s is not None:
                self.reserve_empty_until[tenant] = now + reserve_wait_s
            status = 429 if decision.reason == "quota" else 503
            wait_s = decision.wait_s if reserve_wait_s is None else min(decision.wait_s, reserve_wait_s)
            return [Respond(request_id, status, max(MIN_RETRY_AFTER_S, wait_s), reason=decision.reason)]
        svc = route.pick(self.rng.random())
        request = self.requests[request_id] = RequestState(request_id, route, tenant, now, now + time_left_s, svc)
        actions = self._send(request, now)
        if actions is None:
            self.admission.refund(tenant, now)
            return self._refuse(request, now, "no_room")
        return actions

    def _send(self, request: RequestState, now: float) -> list | None:
        """Send it to the best server; None if there is none."""
        server = self._choose_server(request, now)
        if server is None:
            return None
        attempt, request.attempt_count = request.attempt_count, request.attempt_count + 1
        estimate = self.estimate(request.svc, request.route)
        request.in_flight[attempt] = (server, now)
        request.tried_servers.append(server.id)
        server.in_flight += 1
        if self._has_tenant(request):
            self.admission.record_sent(request.tenant, estimate.work_s, attempt == 0)
        if attempt == 0:
            self.budget.record_first_attempt(request.svc, now)
        actions: list = [Send(request.id, attempt, server)]
        if request.route.safe and request.attempt_count < request.route.tries:
            request.hedge_at = now + max(HEDGE * estimate.work_s, 1.5 * estimate.tail_s)
            if request.hedge_at < request.deadline - MIN_RETRY_TIME_LEFT_S:
                actions.append(StartHedgeTimer(request.id, request.hedge_at))
        return actions

    def estimate(self, svc: str, route: Route) -> LatencyEstimate:
        """The estimate for a route at a service; a guess before the first answer."""
        estimate = self.estimates.get((svc, route.name))
        if estimate is None:
            guess = INITIAL_WORK_FRACTION * route.target
            estimate = self.estimates[svc, route.name] = LatencyEstimate(guess, 2.5 * guess)
        return estimate

    def _choose_server(self, request: RequestState, now: float) -> Server | None:
        """The server with the lowest expected cost among those that this gateway considers."""
        estimate = self.estimate(request.svc, request.route)
        mean_work_s = self.mean_work_s.get(request.svc, estimate.work_s)
        is_short = self.reserved_servers.classify(request.svc, estimate.work_s, mean_work_s)
        for candidates in self.subsets.candidates(request.svc, self.services.get(request.svc, [])):
            if (
                server := self._cheapest_server(candidates, request, estimate.work_s, mean_work_s, is_short, now)
            ) is not None:
                return server
        return None

    def _cheapest_server(
        self,
        candidates: list[Server],
        request: RequestState,
        work_s: float,
        mean_work_s: float,
        is_short: bool,
        now: float,
    ) -> Server | None:
        eligible = [server for server in candidates if server.usable and server.id not in request.tried_servers]
        if not eligible:
            return None
        eligible = [server for server in eligible if now >= server.full_until]
        if request.route.safe and request.attempt_count == 0 and request.route.tries > 1:
            for server in eligible:
                if server.is_ejected and now >= server.probe_at:
                    self._schedule_probe(server, now)
                    return server  # a repeatable request probes it
        healthy = [
            server for server in eligible if now >= server.backoff_until and not (server.is_silent or server.is_ejected)
        ]
        if not healthy:
            # All are in backoff, silent or ejected: repeatable requests probe them.
            healthy = [server for server in eligible if not server.is_silent] or eligible
            if not request.route.safe:
                healthy = [server for server in healthy if server.consecutive_failures <= 1] or healthy
        reserved_share = self.reserved_servers.reserved_share(request.svc)
        penalty = (SHORT_ON_SHARED_PENALTY if is_short else LONG_ON_RESERVED_PENALTY) * work_s
        best, best_cost = None, inf
        for server in healthy:
            load = self.estimated_load(server, now)
            if load >= server.slots + MAX_QUEUED_PER_SERVER and now - server.reported_at < 1.0:
                continue
            cost = self._expected_cost(server, load, work_s, mean_work_s, now)
            if reserved_share and (server.rank < reserved_share) != is_short:
                cost += penalty
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def estimated_load(self, server: Server, now: float) -> float:
        """Requests that a server holds: the load it reported, which decays, and the requests of this gateway.

        In-flight counts of the whole fleet would make all gateways see the same idle server and choose it at once.
        """
        return max(
            server.in_flight,
            server.reported_load * 0.5 ** ((now - server.reported_at) / LOAD_HALF_LIFE_S) + server.in_flight,
        )

    def _expected_cost(self, server: Server, load: float, work_s: float, mean_work_s: float, now: float) -> float:
        """Expected latency at a server, plus penalties. A queued request counts with the mean service time."""
        slowness = server.slowness * (WARM_UP_SLOWNESS if now < server.warm_at else 1.0)
        queued = max(0.0, load + 1.0 - server.slots)
        # Other gateways may choose a nearly full server at the same time.
        wait_s = mean_work_s * (queued + OCCUPANCY_PENALTY * load) / server.slots
        cost = slowness * (work_s + wait_s) + (CROSS_ZONE_PENALTY * work_s if server.az != self.az else 0.0)
        return cost * (1.0 + COST_JITTER * self.rng.random())

    def on_outcome(
        self,
        request_id: int,
        attempt: int,
        status: Status,
        answer: object,
        now: float,
        load: tuple[int, int, int] | None = None,
    ) -> list:
        """An attempt has ended.

        OK: a complete success. ERROR: an error answer of the server, which ran it. FULL: the server states that
        it did not run it. CONNECT_FAILED, NOT_SENT: nothing of the request was sent to a server. RESET, TIMEOUT: it
        may have run.
        """
        request = self.requests.get(request_id)
        if request is None or attempt not in request.in_flight:
            return []
        server, sent_at = request.in_flight.pop(attempt)
        server.in_flight -= 1
        request.outcomes.append(status)
        self._update_estimates(request, server, sent_at, status, load, now)
        if status is Status.OK:
            self._record_answer(request, now - request.arrived_at, now)
            for other, other_sent_at in request.in_flight.values():  # their outcomes are not reported any more
                other.in_flight -= 1
                ratio = min(MAX_SLOWNESS, (now - other_sent_at) / self.estimate(request.svc, request.route).work_s)
                other.slowness = max(other.slowness, other.slowness + SLOWNESS_EWMA_WEIGHT * (ratio - other.slowness))
                if (
                    now - other_sent_at > LOST_TAIL_FACTOR * self.estimate(request.svc, request.route).tail_s
                    and other_sent_at >= other.failed_at
                ):
                    self._record_failure(other, other_sent_at, now)
            del self.requests[request_id]
            return [Respond(request_id, 0, answer=answer)]
        if status not in (Status.CONNECT_FAILED, Status.NOT_SENT):
            request.has_reached_server = True
        if status in (Status.ERROR, Status.RESET, Status.TIMEOUT):
            request.may_have_run = True
            if status is Status.ERROR:
                request.last_failure = answer
        if request.in_flight:
            return []  # another attempt is in flight
        return self._retry_or_respond(request, status, now)

    def _retry_or_respond(self, request: RequestState, status: Status, now: float) -> list:
        tries_used = request.attempt_count
        if not request.has_reached_server:
            # Being moved away from a server that has left does not count as a try.
            tries_used -= sum(
                server_id not in self.servers or not self.servers[server_id].usable
                for server_id in request.tried_servers
            )
        can_retry = (
            tries_used < request.route.tries
            and now + MIN_RETRY_TIME_LEFT_S < request.deadline
            and (request.route.safe or not request.may_have_run)
        )
        if can_retry:
            # Only retries of what has reached a server spend the retry budget.
            if not request.has_reached_server or self.budget.may_retry(request.svc, now):
                actions = self._send(request, now)
                if actions is not None:
                    if request.has_reached_server:
                        self.budget.try_spend(request.svc, now)
                    return actions
        if not request.may_have_run:
            if self._has_tenant(request):
                self.admission.refund(request.tenant, now)
            return self._refuse(request, now, status.value)
        del self.requests[request.id]
        self._record_answer(request, max(now - request.arrived_at, request.route.target * 1.5), now)
        if request.last_failure is not None and request.last_failure.status not in NOT_EXECUTED_STATUSES:
            return [Respond(request.id, 0, answer=request.last_failure)]
        code = 504 if now >= request.deadline - MIN_RETRY_TIME_LEFT_S else 502
        return [Respond(request.id, code, reason=status.value, outcomes=request.outcomes)]

    def _refuse(self, request: RequestState, now: float, reason: str) -> list:
        """Answer 503 at once, with a Retry-After: the request has not run and will not."""
        self.requests.pop(request.id, None)
        wait_s = max(MIN_RETRY_AFTER_S, 0.5 * self.estimate(request.svc, request.route).work_s)
        return [Respond(request.id, 503, wait_s, reason=reason, outcomes=request.outcomes)]

    def on_hedge_timer(self, request_id: int, now: float) -> list:
        """Hedge a repeatable request that has waited long, within the retry budget."""
        request = self.requests.get(request_id)
        if (
            request is None
            or not request.in_flight
            or now < request.hedge_at - 0.001
            or request.attempt_count >= request.route.tries
        ):
            return []
        if (
            len(request.in_flight) > 1
            or now + MIN_RETRY_TIME_LEFT_S > request.deadline
            or not self.budget.may_retry(request.svc, now)
        ):
            return []
        actions = self._send(request, now)
        if actions is None:
            return []
        self.budget.try_spend(request.svc, now)
        return actions

    def on_stalled_answer(self, request_id: int, attempt: int, now: float) -> list:
        """The answer of this attempt has stalled: report the server, and hedge the request."""
        request = self.requests.get(request_id)
        if request is None or attempt not in request.in_flight:
            return []
        server, sent_at = request.in_flight[attempt]
        if sent_at > server.overdue_reported_at:
            server.overdue_reported_at = now
            self._report_failure(server, now)
        if not request.route.safe:
            return []
        request.hedge_at = min(request.hedge_at, now)
        return self.on_hedge_timer(request_id, now)

    def on_deadline(self, request_id: int, now: float) -> list:
        """The client's deadline has passed."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return []
        self._release_attempts(request, now)
        self._record_answer(request, now - request.arrived_at, now)
        return [Respond(request_id, 504, reason="deadline", outcomes=request.outcomes)]

    def on_stream_end(self, request_id: int, attempt: int, status: Status, now: float) -> None:
        """A large answer, which was streamed to the client, has ended.

        OK: complete.  TIMEOUT: aborted by the gateway after the deadline.  Otherwise the server broke off.
        """
        request = self.requests.pop(request_id, None)
        if request is None or attempt not in request.in_flight:
            return
        server, sent_at = request.in_flight.pop(attempt)
        server.in_flight -= 1
        self._release_attempts(request, now)
        if status is Status.OK:
            server.consecutive_failures, server.last_success_at = 0, now
            self._record_answer(request, now - request.arrived_at, now)
        elif status is not Status.TIMEOUT and sent_at >= server.failed_at:
            self._record_failure(server, sent_at, now)  # a timeout may be due to a client that reads slowly

    def on_attempt_sent(self, request_id: int, attempt: int, now: float) -> None:
        """An attempt is sent only now, as its operation had to be claimed first."""
        request = self.requests.get(request_id)
        if request is not None and attempt in request.in_flight:
            server, _ = request.in_flight[attempt]
            request.in_flight[attempt] = (server, now)

    def cancel_unsent(self, request_id: int, now: float) -> None:
        """Forget a request whose only attempt was not sent, and refund its quota."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return
        for server, _ in request.in_flight.values():
            server.in_flight -= 1
        if self._has_tenant(request):
            self.admission.refund(request.tenant, now)

    def may_have_run(self, request_id: int) -> bool:
        """Whether an attempt that has ended may have run."""
        request = self.requests.get(request_id)
        return request is not None and request.may_have_run

    def on_client_gone(self, request_id: int, now: float) -> None:
        """The client has disconnected."""
        if (request := self.requests.pop(request_id, None)) is not None:
            self._release_attempts(request, now)

    def _release_attempts(self, request: RequestState, now: float) -> None:
        for server, sent_at in request.in_flight.values():
            server.in_flight -= 1
            # Without an answer for longer than the tail latency: counts as a failure.
            if now - sent_at > self.estimate(request.svc, request.route).tail_s:
                self._record_failure(server, sent_at, now)

    def _has_tenant(self, request: RequestState) -> bool:
        """Whether the current configuration still has its tenant, which may be removed while a request is in flight."""
        return request.tenant in self.admission.tenants

    def _record_answer(self, request: RequestState, latency_s: float, now: float) -> None:
        """Report to admission control that the request was answered `latency_s` after it came."""
        if self._has_tenant(request):
            self.admission.record_answer(request.tenant, latency_s, request.route.target)

    # Estimates from answers

    def _update_estimates(
        self,
        request: RequestState,
        server: Server,
        sent_at: float,
        status: Status,
        load: tuple[int, int, int] | None,
        now: float,
    ) -> None:
        if load is not None:
            # The server still counts the answered request as running.
            server.reported_load, server.reported_at, server.slots = (
                max(0, load[0] + load[1] - 1 - server.in_flight),
                now,
                max(1, load[2]),
            )
        if status is Status.OK:
            estimate, latency_s = self.estimate(request.svc, request.route), now - sent_at
            server.consecutive_failures, server.last_success_at, server.is_silent, self.last_success_at = (
                0,
                now,
                False,
                now,
            )
            if server.is_ejected and self.outlier_counts.get(server.id, 0) <= 0:
                self.outlier_counts[server.id] = self.outlier_counts.get(server.id, 0) - 1
            mean_work_s = self.mean_work_s.get(request.svc, estimate.work_s)
            self.mean_work_s[request.svc] = mean_work_s + MEAN_WORK_EWMA_WEIGHT * (estimate.work_s - mean_work_s)
            is_above_tail = latency_s > estimate.tail_s
            estimate.tail_s *= 1.0 + TAIL_STEP * (is_above_tail - TAIL_FRACTION)
            estimate.tail_s = max(estimate.tail_s, estimate.work_s)
            is_busy = load is not None and load[1] > 0
            if now >= server.warm_at and not is_busy:
                ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, latency_s / estimate.work_s))
                server.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - server.slowness)
                estimate.work_s += WORK_EWMA_WEIGHT * (
                    min(latency_s / server.slowness, 3.0 * estimate.work_s) - estimate.work_s
                )
        elif status is Status.FULL:
            server.full_until = now + FULL_BACKOFF_S
            server.reported_load, server.reported_at = (
                max(server.reported_load, float(server.slots + MAX_QUEUED_PER_SERVER)),
                now,
            )
        elif status in (Status.RESET, Status.TIMEOUT, Status.CONNECT_FAILED):
            if sent_at >= server.failed_at:  # requests sent before the last failure add no information
                self._record_failure(server, sent_at, now)
        elif status is Status.ERROR:
            self._report_failure(server, now)

    def _record_failure(self, server: Server, sent_at: float, now: float) -> None:
        """A request that was sent at `sent_at` has failed."""
        self.subsets.invalidate()
        server.consecutive_failures, server.failed_at = server.consecutive_failures + 1, now
        if sent_at > server.overdue_reported_at:
            self._report_failure(server, now)
        server.backoff_until = now + min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** (server.consecutive_failures - 1))
