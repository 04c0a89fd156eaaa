"""The owner of the balancer: sockets' events in, its decisions out; every request gets exactly one answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from math import inf
from random import Random

from crowseam import clock, logs
from crowseam.configuration.routing import Table
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.counters import RequestCounters
from crowseam.gateway.http_dialect import ServerDialect, load_of
from crowseam.gateway.in_flight import DepartedClient, InFlightRequest, StreamedAnswer
from crowseam.gateway.keyed_requests import KeyedRequests
from crowseam.gateway.load_balancer import RETURN_LEAST, Draw, Give, LoadBalancer, Send, Wake
from crowseam.gateway.request_reader import Asked
from crowseam.metrics.latency import Recorder
from crowseam.operations.claims import GrantedClaim, OperationClaims
from crowseam.operations.messages import ClaimDecision, ClaimOutcome, KeptAnswer, OperationEnd, OperationWithdrawal
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget, SlidingMaximum
from crowseam.quotas.unleased_allowance import unleased_allowance
from crowseam.settings import Settings, seconds
from fennelpoint.interface import BackendEntry, BackendState, Roster, RosterKind, Status
from fennelpoint.net.backends import HOP_BY_HOP, Answer, Backends, Exchange
from fennelpoint.net.flow import Budget

CONNECT_TIMEOUT = 0.3  # s for a server to take a connection
IDLE_MOST = 4.0  # s that a connection to a server is kept unused: the servers close theirs some time
UNSAFE_IDLE = (0.03, 1.0)  # s that a connection for what may run once only has stood unused: young enough
# not to have been forgotten, old enough for a second answer to have shown
LATELY = 60.0  # s for which the highest number of gateways told counts, where something is cut evenly
UNKNOWN = 96  # gateways reckoned with until a number is told
YOUNG = 2.0  # s from its start in which a gateway is lent its first slices
SETTLED = 0.6  # s, least told to come back after then: all who were cut off come back at the same
# time, and buckets begin empty
NOT_RUN = frozenset((429, 503, 408, 421))  # a promise: it has not run and never will
REASON = b"x-refused-by"
ATTEMPT_ID = b"x-attempt-id"
# What a repeat of a keyed operation gets that is neither granted nor answered from memory: status and reason.
REPEATS = {
    ClaimOutcome.AT_WORK: (409, "key_at_work"),
    ClaimOutcome.UNKNOWN: (504, "outcome_unknown"),
    ClaimOutcome.OTHER_REQUEST: (422, "x-op-key_reused"),
    ClaimOutcome.CONTENDED: (503, "key_contended"),
    ClaimOutcome.NO_QUORUM: (503, "no_quorum"),
    ClaimOutcome.FULL: (503, "operations_full"),
}
FULL_RETRY_AFTER_S = 1.0  # where there is no space for another key
OVERTIME = 0.2  # s past a request's time that a large answer which is on its way may take to end


class Gateway:
    """What `fennelpoint.net.server` calls its host: takes requests, gives answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, rng: Random, connections: int) -> None:
        """`connections`: the most that may be open to servers at a time."""
        self.loop, self.settings, self.rng = loop, settings, rng
        now = clock.monotonic()
        bounds = settings.bounds
        self.admission = Admission(now, rng)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            seconds(bounds.retry_window, "retry_window"),
            bounds.retry_slack,
            now,
            UNKNOWN,
            had_predecessor=not settings.bootstrap,
        )
        self.balancer = LoadBalancer(settings.az, self.admission, self.budget, rng, settings.hostname)
        self.backends = Backends(
            loop, connections, CONNECT_TIMEOUT, 2 * IDLE_MOST, 4.0, Budget(settings.limits.mem_mb), ServerDialect()
        )
        self.table: Table | None = None
        self.counters = RequestCounters()
        self.tickets: dict[int, InFlightRequest] = {}
        self.begun = now
        self.open_ids: set[bytes] = set()
        self.last_id = 0
        self.reserve = lambda tenant, count, done: done(0, 0.1)  # how the grantor's reserve is asked
        self.share = lambda tenant, now: None  # the part of a tenant's quota that is lent to us
        self.left = lambda tenant, now: 0.0  # and for how many seconds more
        # Tenants whose leases have changed since the last look; None where that isn't known.
        self.relent: Callable[[float], Iterable[str] | None] = lambda now: None
        self.cut_for = 0  # the number of gateways that buckets are cut for
        self.members = 0
        self.most = SlidingMaximum(LATELY)
        self.metrics = Recorder()
        claims = OperationClaims(settings.hostname, 0)
        self.keyed_requests = KeyedRequests(loop, rng, claims, lambda message: None)

    # What the controllers tell

    def follow(self, records: list[ServerRecord], whole: bool) -> None:
        """Servers, all or those changed: the sockets keep to it from now on."""
        self.balancer.follow(records, whole, clock.monotonic())
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
        self.backends.follow(Roster(RosterKind.FULL if whole else RosterKind.CHANGES, 0, entries), addresses)
        if self.backends.connecting:
            self._move()

    def _move(self) -> None:
        """What waits for a connection to a server that leaves goes elsewhere."""
        for ticket in list(self.tickets.values()):
            tried = self.balancer.tries.get(ticket.id)
            for number, exchange in list(ticket.out.items()):
                if (
                    exchange.connecting is not None
                    and tried is not None
                    and number in tried.out
                    and not tried.out[number][0].usable
                ):
                    exchange.give_up(Status.CONNECT_FAILED)

    def configure(self, table: Table) -> None:
        """Take a new version of the configuration."""
        now = clock.monotonic()
        changed = None
        if self.table is not None:  # a table keeps the very objects of what is unchanged
            before, after = self.table.tenants, table.tenants
            changed = [name for name, tenant in after.items() if before.get(name) is not tenant]
            changed += [name for name in before if name not in after]
        self.table = table
        self.metrics.follow(table.routes)
        self.admission.configure(table.tenants, now, changed)
        self.slices(now, changed)

    def slices(self, now: float, changed: Iterable[str] | None = ()) -> None:
        """What each tenant's bucket here is filled by, from the leases.

        `changed`: tenants to be looked at beside those lent anew; None: all of them.  Buckets fill by
        themselves: to go through 17,000 of them each 0.1 s took more than half a core.
        """
        bounds = self.settings.bounds
        if self.members:  # until then both reckon with UNKNOWN, but don't remember it
            self.budget.set_gateways(self.members, now)
            # Gateways that are cut off still reckon with the number of before.
            self.most.observe(self.members, now)
        gateways = self.most.get(now, UNKNOWN)
        window = seconds(bounds.quota_window, "quota_window")
        tenants = self.table.tenants if self.table else {}
        relent = self.relent(now)
        names: Iterable[str] = tenants
        if relent is not None and changed is not None and gateways == self.cut_for:
            names = {name for name in (*relent, *changed) if name in tenants}
        self.cut_for = gateways
        for name in names:
            tenant = tenants[name]
            if tenant.rate > 0.0:
                floor, extra = unleased_allowance(
                    tenant.rate, tenant.burst, window, bounds.quota_excess, bounds.quota_slack, gateways
                )
                self.admission.set_share(
                    name, self.share(name, now), now, floor, extra=extra, expires_at=now + self.left(name, now)
                )

    def asks(self) -> dict[str, float]:
        """Asks a second by tenant, for the slices; only of tenants that ask and have a quota."""
        asked = self.admission.demand(clock.monotonic())
        tenants = self.table.tenants if self.table else {}
        return {name: round(rate, 3) for name, rate in asked.items() if name in tenants and tenants[name].rate > 0.0}

    # What the server of clients calls

    def admit(self, client: object, asked: Asked) -> int:
        """Take a request; its id, for `gone`."""
        self.last_id += 1
        now = clock.monotonic()
        ticket = InFlightRequest(self.last_id, asked, client, now + asked.time_left)
        self.tickets[ticket.id] = ticket
        self.open_ids.add(asked.txn)
        self.counters.add(asked.route.name, asked.tenant)
        if asked.tenant and asked.tenant not in self.admission.tenants:
            # The configuration that knew the key is not the one in force any more.
            self._finish(ticket, lambda c: c.answered(401, [], b"the key is not known\n"), 401, "key")
            return ticket.id
        ticket.timer = self.loop.call_later(asked.time_left, self._expire, ticket)
        self._do(self.balancer.arrive(ticket.id, asked.route, asked.tenant, asked.time_left, now))
        return ticket.id

    def is_open(self, txn: bytes) -> bool:
        """Whether a request of this id has no answer yet, or may still be with a server."""
        return txn in self.open_ids

    def doubled(self, asked: Asked) -> None:
        """A second request came under an id that is open."""
        logs.say("doubled", id=asked.txn.decode("latin-1"))

    def gone(self, request: int) -> None:
        """The client has closed its connection."""
        ticket = self.tickets.get(request)
        if ticket is None or ticket.client is None:
            return
        self.metrics.gone += 1
        if ticket.claim is not None and ticket.asked.upload is None:
            # Its operation may run already: its end is kept for when the client comes again.
            ticket.client = DepartedClient()
            return
        self._end_without_answer(ticket)
        self.balancer.gone(request, clock.monotonic())
        self._finish(ticket, lambda client: None, 0)
        for exchange in list(ticket.out.values()):
            exchange.give_up(Status.CANCELLED)

    # Decisions

    def _do(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Give):
                self._give(action)
            elif isinstance(action, Draw):
                self._draw(action)
            elif isinstance(action, Wake):
                self.loop.call_at(self.loop.time() + action.at - clock.monotonic(), self._wake, action.id)

    def _draw(self, draw: Draw) -> None:
        def done(given: int, wait: float) -> None:
            ticket = self.tickets.get(draw.id)
            now = clock.monotonic()
            if given and draw.tenant in self.admission.tenants:
                self.admission.add_reserve_grant(draw.tenant, given)
            if ticket is None or ticket.client is None:
                return
            ticket.drawing = False
            if draw.tenant not in self.admission.tenants:
                return self._finish(ticket, lambda c: c.answered(401, [], b"the key is not known\n"), 401, "key")
            self._do(
                self.balancer.arrive(
                    ticket.id, ticket.asked.route, draw.tenant, ticket.deadline - now, now, 0.0 if given else wait
                )
            )

        self.tickets[draw.id].drawing = True
        self.reserve(draw.tenant, 1, done)

    def lent(self) -> None:
        """A first slice is here: buckets fill from now on, and what was dry need not be."""
        self.slices(clock.monotonic())
        self.balancer.dry.clear()

    def _wake(self, request: int) -> None:
        if request in self.tickets:
            self._do(self.balancer.late(request, clock.monotonic()))

    def _send(self, send: Send) -> None:
        ticket = self.tickets[send.id]
        asked, server, number = ticket.asked, send.server, send.number
        ticket.svc = server.svc
        if asked.route.keyed and not self._may_send(ticket, send):
            return None
        if asked.upload is not None and asked.upload.held is None:
            # A part of its body is gone with the attempt before.
            return self._outcome(ticket, number, Status.MOOT, None)
        passing = StreamedAnswer(ticket, number)

        def done(status: Status, answer: Answer | None) -> None:
            ticket.out.pop(number, None)
            self._outcome(ticket, number, status, answer, passing)

        exchange = Exchange(
            lambda: asked.render(ticket.deadline - clock.monotonic(), server.id),
            done,
            upload=asked.upload,
            receiver=passing,
            echo=asked.txn,
            idle=None if asked.route.safe else UNSAFE_IDLE,
            silent=lambda: self._silent(ticket, number),
            send_until=inf if ticket.claim is None else ticket.claim.send_until,
        )
        ticket.out[number] = exchange
        self.backends.begin(exchange, server.id)

    def _may_send(self, ticket: InFlightRequest, send: Send) -> bool:
        """Whether a try of a keyed operation has the right to be sent now; it is claimed if it has none yet."""
        now = clock.monotonic()
        if ticket.claim is None:
            self._claim(ticket, send)
            return False
        if now >= ticket.claim.send_until:
            self._outcome(ticket, send.number, Status.MOOT, None)
            return False
        return True

    def _claim(self, ticket: InFlightRequest, send: Send) -> None:
        def done(outcome: ClaimOutcome, decision: ClaimDecision | None, granted: GrantedClaim | None) -> None:
            if ticket.client is None:
                if granted is not None:
                    self.keyed_requests.withdraw(granted)
                return
            if granted is None:
                self._answer_repeat(ticket, outcome, decision)
                return
            ticket.claim = granted
            self.balancer.sent(ticket.id, send.number, clock.monotonic())
            self._send(send)

        asked = ticket.asked
        time_left = ticket.deadline - clock.monotonic()
        self.keyed_requests.claim(asked.operation, time_left, asked.route.target, done)

    def _answer_repeat(self, ticket: InFlightRequest, outcome: ClaimOutcome, decision: ClaimDecision | None) -> None:
        """Answer a try of a keyed operation that is not sent: it gives back its unit of the quota."""
        asked = ticket.asked
        self.balancer.unsent(ticket.id, clock.monotonic())
        if decision is not None and decision.answer is not None:
            answer = decision.answer
            fields = [field for field in answer.headers if field[0] != ATTEMPT_ID]
            fields.append((ATTEMPT_ID, asked.txn))
            return self._finish(ticket, lambda c: c.answered(answer.status, fields, answer.body), answer.status)
        status, reason = REPEATS[outcome]
        wait = 0.0
        if outcome is ClaimOutcome.FULL:
            wait = FULL_RETRY_AFTER_S
        elif outcome is not ClaimOutcome.UNKNOWN and outcome is not ClaimOutcome.OTHER_REQUEST:
            wait = max(RETURN_LEAST, 0.5 * self.balancer.kind(ticket.svc, asked.route).work)
        ticket.claim_outcome = outcome
        if status not in NOT_RUN:
            logs.say("operation_repeated", id=asked.txn.decode("latin-1"), status=status, reason=reason)
        self._respond(Give(ticket.id, status, wait, reason=reason))

    def _settlement(self, ticket: InFlightRequest, give: Give) -> OperationEnd | OperationWithdrawal:
        """What the voters are told of an operation whose try is answered so."""
        claim, now = ticket.claim.claim, clock.monotonic()
        if give.answer is not None:
            answer = give.answer
            fields = [each for each in answer.headers if each[0] not in HOP_BY_HOP]
            kept = KeptAnswer(answer.status, fields, bytes(answer.body))
            return self.keyed_requests.claims.end(OperationEnd(claim, kept), now)
        return self.keyed_requests.claims.withdraw(claim, now)

    def _end_without_answer(self, ticket: InFlightRequest) -> None:
        """Have it kept that an operation may have run, and that its answer is not known or too large to keep."""
        claim, ticket.claim = ticket.claim, None
        if claim is not None:
            end = self.keyed_requests.claims.end(OperationEnd(claim.claim, None), clock.monotonic())
            self.keyed_requests.send(end)

    def _silent(self, ticket: InFlightRequest, number: int) -> None:
        """An answer has fallen silent midway: another server may be asked, but this one is still waited for."""
        if ticket.client is not None:
            self._do(self.balancer.silent_amid(ticket.id, number, clock.monotonic()))

    def _outcome(
        self,
        ticket: InFlightRequest,
        number: int,
        status: Status,
        answer: Answer | None,
        passing: StreamedAnswer | None = None,
    ) -> None:
        if ticket.client is not None and ticket.passing is not None and ticket.passing is passing:
            self.balancer.passed(ticket.id, number, status, clock.monotonic())
            self._end_without_answer(ticket)
            if status is Status.OK:
                self._finish(ticket, lambda c: c.finish(), 200)
            else:
                self._finish(ticket, lambda c: c.broken(), 200, "broken")
        elif ticket.client is not None and ticket.passing is None:
            load = load_of(answer) if answer is not None else None
            self._do(self.balancer.outcome(ticket.id, number, status, answer, clock.monotonic(), load))
        self._forget(ticket)

    def _give(self, give: Give) -> None:
        ticket = self.tickets[give.id]
        if ticket.claim is None:
            return self._respond(give)
        if give.answer is None and give.status not in NOT_RUN:
            self._end_without_answer(ticket)
            return self._respond(give)
        # What was answered can be had again, and what has not run can be tried again: that is on disk first.
        number = ticket.claim.claim.name.number
        settlement = self._settlement(ticket, give)
        ticket.claim, ticket.answering = None, give
        self.keyed_requests.settle(settlement, number, lambda: self._respond(give))

    def _respond(self, give: Give) -> None:
        ticket = self.tickets.get(give.id)
        if ticket is None or ticket.client is None:
            return
        answer = give.answer
        if answer is not None:
            fields = [each for each in answer.headers if each[0] not in HOP_BY_HOP]
            return self._finish(ticket, lambda c: c.answered(answer.status, fields, answer.body), answer.status)
        fields = {}
        if give.reason == "quota":
            held = self.admission.states(clock.monotonic())[ticket.asked.tenant]
            fields = {
                "tenant": ticket.asked.tenant,
                "share": -1.0 if held.share is None else held.share,
                "rate": self.table.tenants[ticket.asked.tenant].rate,
            }
        if ticket.claim_outcome is None or give.status in NOT_RUN:
            logs.say(
                "refused" if give.status in NOT_RUN else "failed",
                id=ticket.asked.txn.decode("latin-1"),
                status=give.status,
                reason=give.reason,
                route=ticket.asked.route.name,
                **fields,
            )
        fields = [(REASON, give.reason.encode())]
        wait = give.retry_after
        if give.reason == "quota" and clock.monotonic() < self.begun + YOUNG:
            wait = max(wait, SETTLED)
        if wait > 0.0:
            fields.append((b"retry-after", b"%.3f" % wait))
        self._finish(
            ticket, lambda c: c.answered(give.status, fields, b"%b\n" % give.reason.encode()), give.status, give.reason
        )

    def _finish(self, ticket: InFlightRequest, answer, status: int, reason: str = "") -> None:
        """`status`: what the client gets, 0 if it has left; `reason`: why it is no server's whole answer."""
        client, ticket.client = ticket.client, None
        if client is None:
            return
        if ticket.asked.upload is not None:
            ticket.asked.upload.drop()
        self._forget(ticket)
        span = clock.monotonic() - ticket.deadline + ticket.asked.time_left
        answer(client)
        if status:  # counted once the answer is out, which waits for nothing here
            self.metrics.ended(ticket.asked.route, ticket.svc, status, reason, span)

    def _forget(self, ticket: InFlightRequest) -> None:
        if ticket.client is None and not ticket.out and self.tickets.pop(ticket.id, None) is not None:
            self.open_ids.discard(ticket.asked.txn)
            if ticket.timer is not None:
                ticket.timer.cancel()

    def _expire(self, ticket: InFlightRequest) -> None:
        """The client's time is up: it is answered, unless it has been or a large answer is on its way."""
        if ticket.answering is not None:
            self._respond(ticket.answering)
        elif ticket.client is not None and ticket.passing is None:
            self._time_out(ticket)
        elif ticket.client is not None:
            self.loop.call_later(OVERTIME, self._break_off, ticket)
        # Guards the connections: what was slower than the answer may never end by itself.
        for number, exchange in list(ticket.out.items()):
            if ticket.passing is None or number != ticket.passing.number:
                exchange.give_up(Status.TIMEOUT)

    @staticmethod
    def _break_off(ticket: InFlightRequest) -> None:
        """End a large answer that is still on its way: its client sees that it isn't whole."""
        if ticket.client is not None and (exchange := ticket.out.get(ticket.passing.number)) is not None:
            exchange.give_up(Status.TIMEOUT)

    def _time_out(self, ticket: InFlightRequest) -> None:
        """Answer a request that has waited as long as its client does: refused, if it came to no server."""
        for exchange in list(ticket.out.values()):
            if exchange.connection is None:
                exchange.give_up(Status.TIMEOUT)
        self._do(self.balancer.over(ticket.id, clock.monotonic()))
        if ticket.client is not None and ticket.drawing:
            # It waits for the reserve: no server has had it.
            self._finish(ticket, lambda c: c.answered(429, [(REASON, b"quota")], b"quota\n"), 429, "quota")
        if ticket.client is not None:
            # Guards against a decision that has lost a request: its answer must not wait for it.
            logs.say("lost_track", id=ticket.asked.txn.decode("latin-1"))
            self._finish(ticket, lambda c: c.answered(504, [], b"out of time\n"), 504, "lost_track")

    # Upkeep

    @property
    def under_way(self) -> int:
        """Requests without an answer, attempts that are still out, and ends that no majority has on disk."""
        return len(self.tickets) + self.keyed_requests.claims.unsettled
