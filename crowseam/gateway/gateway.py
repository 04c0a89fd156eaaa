"""Carries out the load balancer's decisions on sockets and timers; every request gets exactly one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from math import inf
from random import Random

from crowseam import clock, logs
from crowseam.configuration.routing import Table
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.counters import RequestCounters
from crowseam.gateway.http_dialect import ServerDialect, parse_server_load
from crowseam.gateway.in_flight import DisconnectedClient, InFlightRequest, StreamedAnswer
from crowseam.gateway.keyed_requests import KeyedRequests
from crowseam.gateway.load_balancer import (
    MIN_RETRY_AFTER_S,
    DrawFromReserve,
    LoadBalancer,
    Respond,
    Send,
    StartHedgeTimer,
)
from crowseam.gateway.request_reader import ParsedRequest
from crowseam.metrics.latency import RequestRecorder
from crowseam.operations.claims import GrantedClaim, OperationClaims
from crowseam.operations.messages import ClaimDecision, ClaimOutcome, OperationEnd, OperationWithdrawal, StoredAnswer
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget, SlidingMaximum
from crowseam.quotas.unleased_allowance import unleased_allowance
from crowseam.settings import Settings, parse_duration_s
from fennelpoint.interface import BackendEntry, BackendState, Roster, RosterKind, Status
from fennelpoint.net.backends import HOP_BY_HOP, Answer, BackendPool, Exchange
from fennelpoint.net.flow import BufferBudget

CONNECT_TIMEOUT_S = 0.3
MAX_IDLE_S = 4.0  # idle time after which a connection to a server is not reused: servers close theirs eventually
# Idle time of a connection that may be reused for an unsafe request: long enough for excess bytes of the last answer
# to have arrived, and short enough that the server has not closed it.
UNSAFE_IDLE_RANGE_S = (0.03, 1.0)
GATEWAY_COUNT_WINDOW_S = 60.0  # window of the maximum gateway count, by which allowances are divided
DEFAULT_GATEWAY_COUNT = 96  # assumed until a controller reports the number
STARTUP_PERIOD_S = 2.0  # after the start, while first leases are pending
# Clients of a restarted gateway come back at the same time, and its buckets start empty.
MIN_STARTUP_RETRY_AFTER_S = 0.6
NOT_EXECUTED_STATUSES = frozenset((429, 503, 408, 421))  # promise that the request has not run and never will
REFUSED_BY_HEADER = b"x-refused-by"
ATTEMPT_ID_HEADER = b"x-attempt-id"
# Status and reason for a repeat of a keyed operation that is neither granted nor answered with a stored answer.
REPEAT_RESPONSES = {
    ClaimOutcome.AT_WORK: (409, "key_at_work"),
    ClaimOutcome.UNKNOWN: (504, "outcome_unknown"),
    ClaimOutcome.OTHER_REQUEST: (422, "x-op-key_reused"),
    ClaimOutcome.CONTENDED: (503, "key_contended"),
    ClaimOutcome.NO_QUORUM: (503, "no_quorum"),
    ClaimOutcome.FULL: (503, "operations_full"),
}
FULL_RETRY_AFTER_S = 1.0  # when there is no space for another key
STREAM_GRACE_S = 0.2  # time after the deadline in which a streamed answer may still end


class Gateway:
    """The host of `fennelpoint.net.server`: takes requests and answers them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, rng: Random, max_connections: int) -> None:
        """`max_connections`: limit of open connections to servers."""
        self.loop, self.settings, self.rng = loop, settings, rng
        now = clock.monotonic()
        bounds = settings.bounds
        self.admission = Admission(now, rng)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            parse_duration_s(bounds.retry_window, "retry_window"),
            bounds.retry_slack,
            now,
            DEFAULT_GATEWAY_COUNT,
            had_predecessor=not settings.bootstrap,
        )
        self.balancer = LoadBalancer(settings.az, self.admission, self.budget, rng, settings.hostname)
        self.backends = BackendPool(
            loop,
            max_connections,
            CONNECT_TIMEOUT_S,
            2 * MAX_IDLE_S,
            4.0,
            BufferBudget(settings.limits.mem_mb),
            ServerDialect(),
        )
        self.table: Table | None = None
        self.counters = RequestCounters()
        self.in_flight: dict[int, InFlightRequest] = {}
        self.started_at = now
        self.open_ids: set[bytes] = set()
        self.last_request_id = 0
        self.draw_reserve = lambda tenant, count, done: done(0, 0.1)  # draws from the grantor's reserve
        self.lease_share = lambda tenant, now: None  # share of a tenant's quota that is leased here
        self.lease_remaining_s = lambda tenant, now: 0.0  # remaining time of that lease
        # Returns the tenants whose leases have changed since the last call; None if that is unknown.
        self.take_lease_changes: Callable[[float], Iterable[str] | None] = lambda now: None
        self.last_gateway_count = 0  # by which buckets were last divided
        self.gateway_count = 0
        self.peak_gateway_count = SlidingMaximum(GATEWAY_COUNT_WINDOW_S)
        self.metrics = RequestRecorder()
        claims = OperationClaims(settings.hostname, 0)
        self.keyed_requests = KeyedRequests(loop, rng, claims, lambda message: None)

    # News from the controllers

    def update_servers(self, records: list[ServerRecord], is_complete: bool) -> None:
        """Apply records of servers: all there are (`is_complete`), or the changed ones."""
        self.balancer.update_servers(records, is_complete, clock.monotonic())
        entries, addresses = [], {}
        for record in records:
            state = (
                BackendState.GONE
                if record.phase == "gone"
                else BackendState.READY
                if record.usable
                else BackendState.DRAINING
            )
            entries.append(BackendEntry(record.id, state))
            host, _, port = record.addr.rpartition(":")
            addresses[record.id] = (host, int(port or 0))
        self.backends.apply_roster(
            Roster(RosterKind.FULL if is_complete else RosterKind.CHANGES, 0, entries), addresses
        )
        if self.backends.connecting:
            self._reassign_connecting()

    def _reassign_connecting(self) -> None:
        """Move requests that wait for a connection to a leaving server to other servers."""
        for request in list(self.in_flight.values()):
            state = self.balancer.requests.get(request.id)
            for attempt, exchange in list(request.exchanges.items()):
                if (
                    exchange.connecting is not None
                    and state is not None
                    and attempt in state.in_flight
                    and not state.in_flight[attempt][0].usable
                ):
                    exchange.give_up(Status.CONNECT_FAILED)

    def configure(self, table: Table) -> None:
        """Apply a new version of the configuration."""
        now = clock.monotonic()
        changed = None
        if self.table is not None:  # unchanged tenants keep their objects
            before, after = self.table.tenants, table.tenants
            changed = [name for name, tenant in after.items() if before.get(name) is not tenant]
            changed += [name for name in before if name not in after]
        self.table = table
        self.metrics.set_routes(table.routes)
        self.admission.configure(table.tenants, now, changed)
        self.update_shares(now, changed)

    def update_shares(self, now: float, changed: Iterable[str] | None = ()) -> None:
        """Set the refill rates of the tenants' buckets from the leases.

        `changed`: tenants to update besides those with new leases; None: all.  Other buckets are skipped: they fill by
        themselves, and visiting 17,000 of them every 0.1 s takes more than half a core.
        """
        bounds = self.settings.bounds
        if self.gateway_count:  # until then both use DEFAULT_GATEWAY_COUNT
            self.budget.set_gateway_count(self.gateway_count, now)
            # Gateways that are cut off still use the previous number.
            self.peak_gateway_count.observe(self.gateway_count, now)
        gateways = self.peak_gateway_count.get(now, DEFAULT_GATEWAY_COUNT)
        window = parse_duration_s(bounds.quota_window, "quota_window")
        tenants = self.table.tenants if self.table else {}
        lease_changes = self.take_lease_changes(now)
        names: Iterable[str] = tenants
        if lease_changes is not None and changed is not None and gateways == self.last_gateway_count:
            names = {name for name in (*lease_changes, *changed) if name in tenants}
        self.last_gateway_count = gateways
        for name in names:
            tenant = tenants[name]
            if tenant.rate > 0.0:
                floor, extra = unleased_allowance(
                    tenant.rate, tenant.burst, window, bounds.quota_excess, bounds.quota_slack, gateways
                )
                self.admission.set_share(
                    name,
                    self.lease_share(name, now),
                    now,
                    floor,
                    extra=extra,
                    expires_at=now + self.lease_remaining_s(name, now),
                )

    def demand(self) -> dict[str, float]:
        """Requests per second by tenant, for the leases; only of active tenants with a quota."""
        demand = self.admission.demand(clock.monotonic())
        tenants = self.table.tenants if self.table else {}
        return {name: round(rate, 3) for name, rate in demand.items() if name in tenants and tenants[name].rate > 0.0}

    # Called by the HTTP server

    def admit(self, client: object, parsed: ParsedRequest) -> int:
        """Take a request, and return its id for `client_gone`."""
        self.last_request_id += 1
        now = clock.monotonic()
        request = InFlightRequest(self.last_request_id, parsed, client, now + parsed.time_left)
        self.in_flight[request.id] = request
        self.open_ids.add(parsed.txn)
        self.counters.add(parsed.route.name, parsed.tenant)
        if parsed.tenant and parsed.tenant not in self.admission.tenants:
            # The current configuration does not have the tenant any more.
            self._finish(request, lambda c: c.send_answer(401, [], b"the key is not known\n"), 401, "key")
            return request.id
        request.timer = self.loop.call_later(parsed.time_left, self._expire, request)
        self._execute(self.balancer.on_request(request.id, parsed.route, parsed.tenant, parsed.time_left, now))
        return request.id

    def is_open(self, txn: bytes) -> bool:
        """Whether a request with this attempt id is unanswered, or may still be at a server."""
        return txn in self.open_ids

    def report_duplicate(self, parsed: ParsedRequest) -> None:
        """A second request with the id of an open one was rejected."""
        logs.emit("doubled", id=parsed.txn.decode("latin-1"))

    def may_have_run(self, request_id: int) -> bool:
        """Whether a server may have run an open request; a granted claim counts, as the key stays reserved."""
        request = self.in_flight.get(request_id)
        if request is None:
            return False
        if request.claim is not None or any(exchange.may_have_run for exchange in request.exchanges.values()):
            return True
        has_answer = request.pending_response is not None and request.pending_response.answer is not None
        return has_answer or self.balancer.may_have_run(request_id)

    def client_gone(self, request_id: int) -> None:
        """The client has closed its connection."""
        request = self.in_flight.get(request_id)
        if request is None or request.client is None:
            return
        self.metrics.disconnected_clients += 1
        if request.claim is not None and request.parsed.upload is None:
            # Its operation may run already: the answer is stored for the client's next try.
            request.client = DisconnectedClient()
            return
        self._end_without_answer(request)
        self.balancer.on_client_gone(request_id, clock.monotonic())
        self._finish(request, lambda client: None, 0)
        for exchange in list(request.exchanges.values()):
            exchange.give_up(Status.CANCELLED)

    # Decisions

    def _execute(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Respond):
                self._settle_and_respond(action)
            elif isinstance(action, DrawFromReserve):
                self._draw_from_reserve(action)
            elif isinstance(action, StartHedgeTimer):
                self.loop.call_at(self.loop.time() + action.at - clock.monotonic(), self._on_hedge_timer, action.id)

    def _draw_from_reserve(self, draw: DrawFromReserve) -> None:
        def done(granted: int, wait_s: float) -> None:
            request = self.in_flight.get(draw.id)
            now = clock.monotonic()
            if granted and draw.tenant in self.admission.tenants:
                self.admission.add_reserve_grant(draw.tenant, granted)
            if request is None or request.client is None:
                return
            request.is_awaiting_reserve = False
            if draw.tenant not in self.admission.tenants:
                return self._finish(request, lambda c: c.send_answer(401, [], b"the key is not known\n"), 401, "key")
            self._execute(
                self.balancer.on_request(
                    request.id,
                    request.parsed.route,
                    draw.tenant,
                    request.deadline - now,
                    now,
                    0.0 if granted else wait_s,
                )
            )

        self.in_flight[draw.id].is_awaiting_reserve = True
        self.draw_reserve(draw.tenant, 1, done)

    def on_lease_granted(self) -> None:
        """A missing lease has been granted: buckets fill from now on, and the reserve may be asked again."""
        self.update_shares(clock.monotonic())
        self.balancer.reserve_empty_until.clear()

    def _on_hedge_timer(self, request_id: int) -> None:
        if request_id in self.in_flight:
            self._execute(self.balancer.on_hedge_timer(request_id, clock.monotonic()))

    def _send(self, send: Send) -> None:
        request = self.in_flight[send.id]
        parsed, server, attempt = request.parsed, send.server, send.attempt
        request.svc = server.svc
        if parsed.route.keyed and not self._may_send(request, send):
            return None
        if parsed.upload is not None and parsed.upload.buffered is None:
            # The previous attempt has consumed a part of the streamed body.
            return self._on_outcome(request, attempt, Status.NOT_SENT, None)
        streamed_answer = StreamedAnswer(request, attempt)

        def done(status: Status, answer: Answer | None) -> None:
            request.exchanges.pop(attempt, None)
            self._on_outcome(request, attempt, status, answer, streamed_answer)

        exchange = Exchange(
            lambda: parsed.render(request.deadline - clock.monotonic(), server.id),
            done,
            upload=parsed.upload,
            receiver=streamed_answer,
            expected_id=parsed.txn,
            idle_range_s=None if parsed.route.safe else UNSAFE_IDLE_RANGE_S,
            on_stall=lambda: self._on_stalled_answer(request, attempt),
            send_until=inf if request.claim is None else request.claim.send_until,
        )
        request.exchanges[attempt] = exchange
        self.backends.begin(exchange, server.id)

    def _may_send(self, request: InFlightRequest, send: Send) -> bool:
        """Whether an attempt of a keyed operation may be sent now; claims the operation first if it has no claim."""
        now = clock.monotonic()
        if request.claim is None:
            self._claim(request, send)
            return False
        if now >= request.claim.send_until:
            self._on_outcome(request, send.attempt, Status.NOT_SENT, None)
            return False
        return True

    def _claim(self, request: InFlightRequest, send: Send) -> None:
        def done(outcome: ClaimOutcome, decision: ClaimDecision | None, granted: GrantedClaim | None) -> None:
            if request.client is None:
                if granted is not None:
                    self.keyed_requests.withdraw(granted)
                return
            if granted is None:
                self._answer_repeat(request, outcome, decision)
                return
            request.claim = granted
            self.balancer.on_attempt_sent(request.id, send.attempt, clock.monotonic())
            self._send(send)

        parsed = request.parsed
        time_left = request.deadline - clock.monotonic()
        self.keyed_requests.claim(parsed.operation, time_left, parsed.route.target, done)

    def _answer_repeat(self, request: InFlightRequest, outcome: ClaimOutcome, decision: ClaimDecision | None) -> None:
        """Answer a keyed request whose operation was not granted, and refund its quota."""
        parsed = request.parsed
        self.balancer.cancel_unsent(request.id, clock.monotonic())
        if decision is not None and decision.answer is not None:
            answer = decision.answer
            fields = [field for field in answer.headers if field[0] != ATTEMPT_ID_HEADER]
            fields.append((ATTEMPT_ID_HEADER, parsed.txn))
            return self._finish(request, lambda c: c.send_answer(answer.status, fields, answer.body), answer.status)
        status, reason = REPEAT_RESPONSES[outcome]
        wait_s = 0.0
        if outcome is ClaimOutcome.FULL:
            wait_s = FULL_RETRY_AFTER_S
        elif outcome is not ClaimOutcome.UNKNOWN and outcome is not ClaimOutcome.OTHER_REQUEST:
            wait_s = max(MIN_RETRY_AFTER_S, 0.5 * self.balancer.estimate(request.svc, parsed.route).work_s)
        request.claim_outcome = outcome
        if status not in NOT_EXECUTED_STATUSES:
            logs.emit("operation_repeated", id=parsed.txn.decode("latin-1"), status=status, reason=reason)
        self._respond(Respond(request.id, status, wait_s, reason=reason))

    def _settlement(self, request: InFlightRequest, response: Respond) -> OperationEnd | OperationWithdrawal:
        """Return the message to the voters about an operation whose request gets this response."""
        claim, now = request.claim.claim, clock.monotonic()
        if response.answer is not None:
            answer = response.answer
            fields = [each for each in answer.headers if each[0] not in HOP_BY_HOP]
            kept = StoredAnswer(answer.status, fields, bytes(answer.body))
            return self.keyed_requests.claims.end(OperationEnd(claim, kept), now)
        return self.keyed_requests.claims.withdraw(claim, now)

    def _end_without_answer(self, request: InFlightRequest) -> None:
        """Record that an operation may have run, and that its answer is unknown or too large to store."""
        claim, request.claim = request.claim, None
        if claim is not None:
            end = self.keyed_requests.claims.end(OperationEnd(claim.claim, None), clock.monotonic())
            self.keyed_requests.send(end)

    def _on_stalled_answer(self, request: InFlightRequest, attempt: int) -> None:
        """An answer has stalled: the request may be hedged, while this attempt goes on."""
        if request.client is not None:
            self._execute(self.balancer.on_stalled_answer(request.id, attempt, clock.monotonic()))

    def _on_outcome(
        self,
        request: InFlightRequest,
        attempt: int,
        status: Status,
        answer: Answer | None,
        streamed_answer: StreamedAnswer | None = None,
    ) -> None:
        if (
            request.client is not None
            and request.streamed_answer is not None
            and request.streamed_answer is streamed_answer
        ):
            self.balancer.on_stream_end(request.id, attempt, status, clock.monotonic())
            self._end_without_answer(request)
            if status is Status.OK:
                self._finish(request, lambda c: c.finish(), 200)
            else:
                self._finish(request, lambda c: c.abort(), 200, "broken")
        elif request.client is not None and request.streamed_answer is None:
            load = parse_server_load(answer) if answer is not None else None
            self._execute(self.balancer.on_outcome(request.id, attempt, status, answer, clock.monotonic(), load))
        self._forget(request)

    def _settle_and_respond(self, response: Respond) -> None:
        request = self.in_flight[response.id]
        if request.claim is None:
            return self._respond(response)
        if response.answer is None and response.status not in NOT_EXECUTED_STATUSES:
            self._end_without_answer(request)
            return self._respond(response)
        # The stored answer, or the permission to try again, must be on disk before the client is answered.
        claim_number = request.claim.claim.name.number
        settlement = self._settlement(request, response)
        request.claim, request.pending_response = None, response
        self.keyed_requests.settle(settlement, claim_number, lambda: self._respond(response))

    def _respond(self, response: Respond) -> None:
        request = self.in_flight.get(response.id)
        if request is None or request.client is None:
            return
        answer = response.answer
        if answer is not None:
            fields = [each for each in answer.headers if each[0] not in HOP_BY_HOP]
            return self._finish(request, lambda c: c.send_answer(answer.status, fields, answer.body), answer.status)
        fields = {}
        if response.reason == "quota":
            bucket = self.admission.states(clock.monotonic())[request.parsed.tenant]
            fields = {
                "tenant": request.parsed.tenant,
                "share": -1.0 if bucket.share is None else bucket.share,
                "rate": self.table.tenants[request.parsed.tenant].rate,
            }
        if response.outcomes:
            fields["attempts"] = ",".join(outcome.value for outcome in response.outcomes)
        if request.claim_outcome is None or response.status in NOT_EXECUTED_STATUSES:
            logs.emit(
                "refused" if response.status in NOT_EXECUTED_STATUSES else "failed",
                id=request.parsed.txn.decode("latin-1"),
                status=response.status,
                reason=response.reason,
                route=request.parsed.route.name,
                **fields,
            )
        fields = [(REFUSED_BY_HEADER, response.reason.encode())]
        retry_after_s = response.retry_after_s
        if response.reason == "quota" and clock.monotonic() < self.started_at + STARTUP_PERIOD_S:
            retry_after_s = max(retry_after_s, MIN_STARTUP_RETRY_AFTER_S)
        if retry_after_s > 0.0:
            fields.append((b"retry-after", b"%.3f" % retry_after_s))
        self._finish(
            request,
            lambda c: c.send_answer(response.status, fields, b"%b\n" % response.reason.encode()),
            response.status,
            response.reason,
        )

    def _finish(self, request: InFlightRequest, respond, status: int, reason: str = "") -> None:
        """`status`: of the answer, 0 if the client has disconnected; `reason`: empty for a server's complete answer."""
        client, request.client = request.client, None
        if client is None:
            return
        if request.parsed.upload is not None:
            request.parsed.upload.discard_buffer()
        self._forget(request)
        latency_s = clock.monotonic() - request.deadline + request.parsed.time_left
        respond(client)
        if status:  # recorded after the answer, so as not to delay it
            self.metrics.record(request.parsed.route, request.svc, status, reason, latency_s)

    def _forget(self, request: InFlightRequest) -> None:
        if request.client is None and not request.exchanges and self.in_flight.pop(request.id, None) is not None:
            self.open_ids.discard(request.parsed.txn)
            if request.timer is not None:
                request.timer.cancel()

    def _expire(self, request: InFlightRequest) -> None:
        """The client's deadline has passed: answer it, unless it is answered or an answer is being streamed."""
        if request.pending_response is not None:
            self._respond(request.pending_response)
        elif request.client is not None and request.streamed_answer is None:
            self._time_out(request)
        elif request.client is not None:
            self.loop.call_later(STREAM_GRACE_S, self._abort_streamed_answer, request)
        # An attempt that was slower than the answered one may never end by itself.
        for attempt, exchange in list(request.exchanges.items()):
            if request.streamed_answer is None or attempt != request.streamed_answer.attempt:
                exchange.give_up(Status.TIMEOUT)

    @staticmethod
    def _abort_streamed_answer(request: InFlightRequest) -> None:
        """Abort a streamed answer; the client sees that it is incomplete."""
        if (
            request.client is not None
            and (exchange := request.exchanges.get(request.streamed_answer.attempt)) is not None
        ):
            exchange.give_up(Status.TIMEOUT)

    def _time_out(self, request: InFlightRequest) -> None:
        """Answer a request at its deadline; it is refused if it has reached no server."""
        for exchange in list(request.exchanges.values()):
            if exchange.connection is None:
                exchange.give_up(Status.TIMEOUT)
        self._execute(self.balancer.on_deadline(request.id, clock.monotonic()))
        if request.client is not None and request.is_awaiting_reserve:
            # It waits for a draw from the reserve, so no server has had it.
            self._finish(
                request, lambda c: c.send_answer(429, [(REFUSED_BY_HEADER, b"quota")], b"quota\n"), 429, "quota"
            )
        if request.client is not None:
            # The load balancer has no state of the request: answer it nevertheless.
            logs.emit("lost_track", id=request.parsed.txn.decode("latin-1"))
            self._finish(request, lambda c: c.send_answer(504, [], b"out of time\n"), 504, "lost_track")

    # Counters

    @property
    def in_flight_count(self) -> int:
        """Requests in flight, and ends and withdrawals of operations that no majority has on disk."""
        return len(self.in_flight) + self.keyed_requests.claims.unsettled
