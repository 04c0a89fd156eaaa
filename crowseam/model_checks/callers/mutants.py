"""The code that the model check of callers plays, without one of its guards at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from crowseam.controller.pending_calls import RETRY_AFTER, PendingCalls
from crowseam.gateway import controller_session, gateway, http_dialect
from crowseam.gateway import load_balancer as balancers
from crowseam.gateway.http_dialect import ServerDialect
from crowseam.gateway.in_flight import InFlightRequest, StreamedAnswer
from crowseam.model_checks.schedules import Mutant, Report
from crowseam.transport.http import Call, HttpConnection
from crowseam.transport.links import Link
from crowseam.transport.messages import Message, ReserveDrawReply
from fennelpoint.interface import Status
from fennelpoint.net import backends
from fennelpoint.net import server as fronts


@contextmanager
def without(*changes: tuple[object, str, object]) -> Iterator[None]:
    """Within this, attributes of classes or modules are others: (owner, name, value)."""
    before = [(owner, name, vars(owner)[name]) for owner, name, _ in changes]
    for owner, name, value in changes:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in before:
            setattr(owner, name, value)


def _outcome_of_none(kinds: tuple[Status, ...]) -> Callable:
    """`LoadBalancer.on_outcome` that takes such an end for one before the server had the request."""
    told = balancers.LoadBalancer.on_outcome

    def outcome(self: balancers.LoadBalancer, number: int, attempt: int, status: Status, *more: Any) -> list:
        return told(self, number, attempt, Status.CONNECT_FAILED if status in kinds else status, *more)

    return outcome


def _hedge_all(
    self: balancers.LoadBalancer, t: balancers.RequestState, now: float, told: Callable = balancers.LoadBalancer._send
) -> list | None:
    out = told(self, t, now)
    if out is not None and not t.route.safe and t.attempt_count < t.route.tries:
        t.hedge_at = now + 0.2
        out.append(balancers.StartHedgeTimer(t.id, t.hedge_at))
    return out


def _refuse_all(
    self: balancers.LoadBalancer,
    t: balancers.RequestState,
    status: Status,
    now: float,
    told: Callable = balancers.LoadBalancer._retry_or_respond,
) -> list:
    # What ran and may not be sent again is told that it has not run.
    if t.may_have_run and not t.route.safe:
        return self._refuse(t, now, status.value)
    return told(self, t, status, now)


def _endless(
    self: ServerDialect, status: int, headers: list, until_close: bool, told: Callable = ServerDialect.find_defect
) -> str:
    return told(self, status, headers, False)


def _take_cut(self: backends.UpstreamConnection) -> None:
    if self.exchange is not None and self.status >= 200 and not (self.in_head or self.defect or self.is_skipping):
        self._finish_answer()


def _spoilt_unrun(self: backends.UpstreamConnection, what: str) -> None:
    exchange = self.exchange
    self.give_up()
    exchange.end(Status.CONNECT_FAILED)


def _keep_all(self: backends.UpstreamConnection, told: Callable = backends.UpstreamConnection._finish_answer) -> None:
    self.has_excess = self.has_skipped = False
    told(self)


def _hear_all(
    self: backends.UpstreamConnection, count: int, told: Callable = backends.UpstreamConnection.buffer_updated
) -> None:
    if self.exchange is not None:
        told(self, count)


def _passing_begin(self: StreamedAnswer, answer: Any, length: int | None, source: Any) -> None:
    ticket = self.request
    if ticket.client is None:
        return
    if ticket.streamed_answer is not None:
        return ticket.client.write_body(answer.body)
    ticket.streamed_answer = self
    if ticket.timer is not None:
        ticket.timer.cancel()
    ticket.client.begin(answer, length, source)


def _passing_piece(self: StreamedAnswer, data: bytes) -> None:
    if self.request.client is not None:
        self.request.client.write_body(data)


def _draw_any(
    self: controller_session.ControllerSession,
    link: Link,
    message: Message,
    told: Callable = controller_session.ControllerSession._on_message,
) -> None:
    if isinstance(message, ReserveDrawReply) and self.pending_draws and link is self.link:
        message = msgspec.structs.replace(message, number=next(iter(self.pending_draws)))
    told(self, link, message)


def _draw_kept(
    self: controller_session.ControllerSession,
    link: Link,
    message: Message,
    told: Callable = controller_session.ControllerSession._on_message,
) -> None:
    done = self.pending_draws.get(message.number) if isinstance(message, ReserveDrawReply) else None
    told(self, link, message)
    if done is not None:
        self.pending_draws[message.number] = done


def _from_one(
    self: controller_session.ControllerSession,
    *args: Any,
    told: Callable = controller_session.ControllerSession.__init__,
) -> None:
    told(self, *args)
    self.last_draw_number = 0


def _out_of_turn(self: HttpConnection) -> None:
    while self.queued:
        call = self.queued.pop(0)
        self.is_serving = True
        if call.method:
            self.serve(call)
        else:
            call.reply(400)


def _same_ticket(self: PendingCalls) -> int:
    return 1


def _pending_calls_from_one(self: PendingCalls, first: int = 0, told: Callable = PendingCalls.__init__) -> None:
    told(self, 0)


def _go_on_at_once(self: HttpConnection, told: Callable = HttpConnection.on_headers_complete) -> None:
    if self.expects_continue:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def _keep_call(self: PendingCalls, ticket: object, status: int, body: bytes) -> None:
    if (call := self._waiting.get(ticket)) is not None:
        call.reply(status, body, fields=RETRY_AFTER if status == 503 else ())


def _reply_again(self: Call, *args: Any, told: Callable = Call.reply, **fields: Any) -> None:
    self.is_answered = False
    told(self, *args, **fields)


def _finish_broken(self: fronts.ClientConnection) -> None:
    self.finish()


def _front_out_of_turn(self: fronts.ClientConnection, told: Callable = fronts.ClientConnection._serve_next) -> None:
    self.open_request = None
    told(self)


def _expire_answered(self: gateway.Gateway, ticket: InFlightRequest, told: Callable = gateway.Gateway._expire) -> None:
    if ticket.client is not None:
        told(self, ticket)


def _refuse_sent(self: gateway.Gateway, ticket: InFlightRequest, told: Callable = gateway.Gateway._time_out) -> None:
    # What a server has had is refused at its timeout as if none had.
    for exchange in list(ticket.exchanges.values()):
        if exchange.connection is not None:
            exchange.connection.give_up()
            exchange.end(Status.CONNECT_FAILED)
    told(self, ticket)


CONNECTION = backends.UpstreamConnection


def mutants(run: Callable[[Iterable[int]], Report]) -> tuple[Mutant, ...]:
    """Each guard left out, by changes of attributes for as long as `run` plays."""

    def mutant(guard: str, seed: int | None, *changes: tuple[object, str, object], why: str = "") -> Mutant:
        def play_it(seeds: Iterable[int]) -> Report:
            with without(*changes):
                return run(seeds)

        return Mutant(guard, play_it, seed, why)

    return (
        mutant("the id of an answer compared", 2, (ServerDialect, "is_for_other_request", lambda *_: False)),
        mutant(
            "an answer without an id refused on a used connection",
            2,
            (ServerDialect, "lacks_request_id", lambda *_: False),
        ),
        mutant("an answer that names two refused", 6, (http_dialect, "SINGLE_VALUED_HEADERS", ())),
        mutant("an answer refused that does not say where it ends", 2, (ServerDialect, "find_defect", _endless)),
        mutant("an answer cut short taken for none", 4, (CONNECTION, "eof_received", _take_cut)),
        mutant("a large answer cut short shown to be", 27, (fronts.ClientConnection, "abort", _finish_broken)),
        mutant("a connection closed after extra bytes", 3, (CONNECTION, "_finish_answer", _keep_all)),
        mutant(
            "a connection closed where bytes come unasked",
            None,
            (CONNECTION, "buffer_updated", _hear_all),
            why="by hand: test_dialect.OtherBytes; "
            "nobody is answered wrongly: what follows is no answer, or another's, or nameless",
        ),
        mutant(
            "a connection looked at before it is used again",
            None,
            (CONNECTION, "is_stale", lambda self: self.closed),
            why="by hand: test_dialect.OtherBytes; "
            "nobody is answered wrongly: what meets a close may have run, and fails",
        ),
        mutant(
            "no unsafe request sent again after a reset",
            0,
            (balancers.LoadBalancer, "on_outcome", _outcome_of_none((Status.RESET,))),
        ),
        mutant(
            "no unsafe request sent again after an answer that is none",
            2,
            (CONNECTION, "_reject_answer", _spoilt_unrun),
        ),
        mutant(
            "no unsafe request sent again after a failure",
            2,
            (balancers.LoadBalancer, "on_outcome", _outcome_of_none((Status.ERROR,))),
        ),
        mutant("no unsafe request sent again after silence", 16, (balancers.LoadBalancer, "_send", _hedge_all)),
        mutant("no 503 for what may have run", 0, (balancers.LoadBalancer, "_retry_or_respond", _refuse_all)),
        mutant(
            "a server's promise passed on only with X-Not-Run", 7, (balancers, "NOT_EXECUTED_STATUSES", frozenset())
        ),
        mutant("one attempt's large answer begun", 27, (StreamedAnswer, "begin", _passing_begin)),
        mutant("one attempt's pieces passed on", 27, (StreamedAnswer, "write_body", _passing_piece)),
        mutant("requests of a client served in turn", 3, (fronts.ClientConnection, "_serve_next", _front_out_of_turn)),
        mutant("the number of a draw compared", 6, (controller_session.ControllerSession, "_on_message", _draw_any)),
        mutant("a draw's answer counted once", 3, (controller_session.ControllerSession, "_on_message", _draw_kept)),
        mutant(
            "numbers of draws begun with the life", 30, (controller_session.ControllerSession, "__init__", _from_one)
        ),
        mutant("calls of a connection served in turn", 1, (HttpConnection, "_serve_next", _out_of_turn)),
        mutant("each ticket given out once", 21, (PendingCalls, "next_number", _same_ticket)),
        mutant(
            "a call taken off with its answer",
            None,
            (PendingCalls, "reply", _keep_call),
            why="by hand: test_check_callers.Tickets; "
            "a second answer is dropped all the same, but who stops would wait for the call",
        ),
        mutant(
            "a second answer to a call dropped",
            None,
            (Call, "reply", _reply_again),
            why="by hand: test_transport.Calls; "
            "a call is taken off with its answer, so that none comes by the ways that are played",
        ),
        mutant(
            "tickets begun with the life of the controller",
            None,
            (PendingCalls, "__init__", _pending_calls_from_one),
            why="by hand: test_controller.Sessions; "
            "an answer of another controller has to meet a look of a later life with the same number",
        ),
        mutant("100 Continue told in a call's turn only", 5, (HttpConnection, "on_headers_complete", _go_on_at_once)),
        mutant("a slower attempt given up at the deadline", 70, (gateway.Gateway, "_expire", _expire_answered)),
        mutant("only what came to no server refused at its timeout", 2, (gateway.Gateway, "_time_out", _refuse_sent)),
        mutant(
            "a body that waits behind let go of",
            6,
            (fronts.ClientConnection, "_discard_body", staticmethod(lambda turn: None)),
        ),
        mutant(
            "an answer kept from who has left",
            None,
            (gateway.Gateway, "client_gone", lambda *_: None),
            why="by hand: test_check_callers.Leaving; "
            "nobody is answered wrongly: a lost connection writes nothing more",
        ),
    )
