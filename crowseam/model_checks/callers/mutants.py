"""Mutants for the model check of callers: the code under check with one guard removed at a time."""

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
def patched_attributes(*changes: tuple[object, str, object]) -> Iterator[None]:
    """Replace attributes of classes or modules, given as (owner, name, value), for the duration of the context."""
    originals = [(owner, name, vars(owner)[name]) for owner, name, _ in changes]
    for owner, name, value in changes:
        setattr(owner, name, value)
    try:
        yield
    finally:
        for owner, name, value in originals:
            setattr(owner, name, value)


def _treat_as_not_sent(statuses: tuple[Status, ...]) -> Callable:
    """Return a `LoadBalancer.on_outcome` that treats these statuses as failures before the request was sent."""
    original = balancers.LoadBalancer.on_outcome

    def outcome(self: balancers.LoadBalancer, number: int, attempt: int, status: Status, *more: Any) -> list:
        return original(self, number, attempt, Status.CONNECT_FAILED if status in statuses else status, *more)

    return outcome


def _hedge_unsafe(
    self: balancers.LoadBalancer,
    t: balancers.RequestState,
    now: float,
    original: Callable = balancers.LoadBalancer._send,
) -> list | None:
    out = original(self, t, now)
    if out is not None and not t.route.safe and t.attempt_count < t.route.tries:
        t.hedge_at = now + 0.2
        out.append(balancers.StartHedgeTimer(t.id, t.hedge_at))
    return out


def _refuse_after_run(
    self: balancers.LoadBalancer,
    t: balancers.RequestState,
    status: Status,
    now: float,
    original: Callable = balancers.LoadBalancer._retry_or_respond,
) -> list:
    # Answers that a request has not run when it may have and is not retried.
    if t.may_have_run and not t.route.safe:
        return self._refuse(t, now, status.value)
    return original(self, t, status, now)


def _allow_unframed_body(
    self: ServerDialect, status: int, headers: list, until_close: bool, original: Callable = ServerDialect.find_defect
) -> str:
    return original(self, status, headers, False)


def _accept_truncated(self: backends.UpstreamConnection) -> None:
    if self.exchange is not None and self.status >= 200 and not (self.in_head or self.defect or self.is_skipping):
        self._finish_answer()


def _treat_rejected_as_not_sent(self: backends.UpstreamConnection, what: str) -> None:
    exchange = self.exchange
    self.give_up()
    exchange.end(Status.CONNECT_FAILED)


def _keep_after_excess(
    self: backends.UpstreamConnection, original: Callable = backends.UpstreamConnection._finish_answer
) -> None:
    self.has_excess = self.has_skipped = False
    original(self)


def _ignore_unsolicited(
    self: backends.UpstreamConnection, count: int, original: Callable = backends.UpstreamConnection.buffer_updated
) -> None:
    if self.exchange is not None:
        original(self, count)


def _begin_interleaved(self: StreamedAnswer, answer: Any, length: int | None, source: Any) -> None:
    ticket = self.request
    if ticket.client is None:
        return
    if ticket.streamed_answer is not None:
        return ticket.client.write_body(answer.body)
    ticket.streamed_answer = self
    if ticket.timer is not None:
        ticket.timer.cancel()
    ticket.client.begin(answer, length, source)


def _write_interleaved(self: StreamedAnswer, data: bytes) -> None:
    if self.request.client is not None:
        self.request.client.write_body(data)


def _accept_any_draw(
    self: controller_session.ControllerSession,
    link: Link,
    message: Message,
    original: Callable = controller_session.ControllerSession._on_message,
) -> None:
    if isinstance(message, ReserveDrawReply) and self.pending_draws and link is self.link:
        message = msgspec.structs.replace(message, number=next(iter(self.pending_draws)))
    original(self, link, message)


def _keep_answered_draw(
    self: controller_session.ControllerSession,
    link: Link,
    message: Message,
    original: Callable = controller_session.ControllerSession._on_message,
) -> None:
    callback = self.pending_draws.get(message.number) if isinstance(message, ReserveDrawReply) else None
    original(self, link, message)
    if callback is not None:
        self.pending_draws[message.number] = callback


def _number_draws_from_one(
    self: controller_session.ControllerSession,
    *args: Any,
    original: Callable = controller_session.ControllerSession.__init__,
) -> None:
    original(self, *args)
    self.last_draw_number = 0


def _serve_out_of_order(self: HttpConnection) -> None:
    while self.queued:
        call = self.queued.pop(0)
        self.is_serving = True
        if call.method:
            self.serve(call)
        else:
            call.reply(400)


def _constant_ticket(self: PendingCalls) -> int:
    return 1


def _pending_calls_from_one(self: PendingCalls, first: int = 0, original: Callable = PendingCalls.__init__) -> None:
    original(self, 0)


def _continue_at_once(self: HttpConnection, original: Callable = HttpConnection.on_headers_complete) -> None:
    if self.expects_continue:
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def _keep_answered_call(self: PendingCalls, ticket: object, status: int, body: bytes) -> None:
    if (call := self._waiting.get(ticket)) is not None:
        call.reply(status, body, fields=RETRY_AFTER if status == 503 else ())


def _reply_again(self: Call, *args: Any, original: Callable = Call.reply, **fields: Any) -> None:
    self.is_answered = False
    original(self, *args, **fields)


def _finish_broken(self: fronts.ClientConnection) -> None:
    self.finish()


def _serve_client_out_of_order(
    self: fronts.ClientConnection, original: Callable = fronts.ClientConnection._serve_next
) -> None:
    self.open_request = None
    original(self)


def _skip_expiry_once_answered(
    self: gateway.Gateway, ticket: InFlightRequest, original: Callable = gateway.Gateway._expire
) -> None:
    if ticket.client is not None:
        original(self, ticket)


def _refuse_after_send(
    self: gateway.Gateway, ticket: InFlightRequest, original: Callable = gateway.Gateway._time_out
) -> None:
    # Answers at the timeout as if no server had received the request.
    for exchange in list(ticket.exchanges.values()):
        if exchange.connection is not None:
            exchange.connection.give_up()
            exchange.end(Status.CONNECT_FAILED)
    original(self, ticket)


CONNECTION = backends.UpstreamConnection


def mutants(run: Callable[[Iterable[int]], Report]) -> tuple[Mutant, ...]:
    """Return a mutant for each guard, which is removed by patching attributes while `run` runs."""

    def mutant(guard: str, seed: int | None, *changes: tuple[object, str, object], why: str = "") -> Mutant:
        def run_mutant(seeds: Iterable[int]) -> Report:
            with patched_attributes(*changes):
                return run(seeds)

        return Mutant(guard, run_mutant, seed, why)

    return (
        mutant("the id of an answer compared", 2, (ServerDialect, "is_for_other_request", lambda *_: False)),
        mutant(
            "an answer without an id refused on a used connection",
            2,
            (ServerDialect, "lacks_request_id", lambda *_: False),
        ),
        mutant("an answer that names two refused", 6, (http_dialect, "SINGLE_VALUED_HEADERS", ())),
        mutant(
            "an answer refused that does not say where it ends", 2, (ServerDialect, "find_defect", _allow_unframed_body)
        ),
        mutant("an answer cut short taken for none", 4, (CONNECTION, "eof_received", _accept_truncated)),
        mutant("a large answer cut short shown to be", 27, (fronts.ClientConnection, "abort", _finish_broken)),
        mutant("a connection closed after extra bytes", 3, (CONNECTION, "_finish_answer", _keep_after_excess)),
        mutant(
            "a connection closed where bytes come unasked",
            None,
            (CONNECTION, "buffer_updated", _ignore_unsolicited),
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
            (balancers.LoadBalancer, "on_outcome", _treat_as_not_sent((Status.RESET,))),
        ),
        mutant(
            "no unsafe request sent again after an answer that is none",
            2,
            (CONNECTION, "_reject_answer", _treat_rejected_as_not_sent),
        ),
        mutant(
            "no unsafe request sent again after a failure",
            2,
            (balancers.LoadBalancer, "on_outcome", _treat_as_not_sent((Status.ERROR,))),
        ),
        mutant("no unsafe request sent again after silence", 16, (balancers.LoadBalancer, "_send", _hedge_unsafe)),
        mutant(
            "what a server has a part of taken for what may have run",
            15,
            (ServerDialect, "may_run_incomplete_requests", False),
        ),
        mutant("no 408 for what may have run", 95, (gateway.Gateway, "may_have_run", lambda *_: False)),
        mutant("no 503 for what may have run", 0, (balancers.LoadBalancer, "_retry_or_respond", _refuse_after_run)),
        mutant(
            "a server's promise passed on only with X-Not-Run", 7, (balancers, "NOT_EXECUTED_STATUSES", frozenset())
        ),
        mutant("one attempt's large answer begun", 27, (StreamedAnswer, "begin", _begin_interleaved)),
        mutant("one attempt's pieces passed on", 27, (StreamedAnswer, "write_body", _write_interleaved)),
        mutant(
            "requests of a client served in turn",
            3,
            (fronts.ClientConnection, "_serve_next", _serve_client_out_of_order),
        ),
        mutant(
            "the number of a draw compared", 6, (controller_session.ControllerSession, "_on_message", _accept_any_draw)
        ),
        mutant(
            "a draw's answer counted once",
            3,
            (controller_session.ControllerSession, "_on_message", _keep_answered_draw),
        ),
        mutant(
            "numbers of draws begun with the life",
            30,
            (controller_session.ControllerSession, "__init__", _number_draws_from_one),
        ),
        mutant("calls of a connection served in turn", 1, (HttpConnection, "_serve_next", _serve_out_of_order)),
        mutant("each ticket given out once", 21, (PendingCalls, "next_number", _constant_ticket)),
        mutant(
            "a call taken off with its answer",
            None,
            (PendingCalls, "reply", _keep_answered_call),
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
        mutant(
            "100 Continue told in a call's turn only", 5, (HttpConnection, "on_headers_complete", _continue_at_once)
        ),
        mutant(
            "a slower attempt given up at the deadline", 70, (gateway.Gateway, "_expire", _skip_expiry_once_answered)
        ),
        mutant(
            "only what came to no server refused at its timeout", 2, (gateway.Gateway, "_time_out", _refuse_after_send)
        ),
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
