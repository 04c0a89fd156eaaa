"""Runs the decision module: owns its clock, timers and request ids.

Socket events are translated into `interface` events, and the actions that the module returns are carried out
in order. The host makes sure that every request gets exactly one answer; all routing and admission decisions
are made by the module.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.net.backends import Answer, BackendPool, Exchange, UpstreamConnection, parse_load_report
from fennelpoint.net.counter import CounterClient
from fennelpoint.net.figures import RequestMetrics
from fennelpoint.net.flow import Upload
from fennelpoint.net.notice import log, warn_rate_limited

TIMER_TOLERANCE_S = 0.0005  # a timer may fire this much early


class Clock:
    """Monotonic Unix time: the wall clock is read once, so that later clock steps have no effect."""

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return time.monotonic() + self.offset


class Client(Protocol):
    """Receives the answer to a request."""

    def send_success(self, answer: Answer) -> None: ...
    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None: ...
    def write_body(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def abort(self) -> None: ...
    def send_refusal(self, retry_after: float) -> None: ...
    def send_failure(self) -> None: ...


@dataclass(slots=True)
class ParsedRequest:
    """A parsed request: the fields that the module decides by, and the bytes to forward."""

    txn: bytes
    cls: int
    plan: int
    customer: int
    time_left: float
    units: float
    width: float
    first: float
    is_repeat: bool
    is_write: bool
    head: bytes  # request line and end-to-end fields, without the remaining time
    body: bytes
    upload: Upload | None = None  # replaces `body` if that is too large to buffer

    def render(self, time_left: float) -> bytes:
        """Return the bytes to send to a backend, with `time_left` in seconds."""
        return b"%bX-Remaining-Ms: %d\r\n\r\n%b" % (self.head, max(1, int(time_left * 1000)), self.body)


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request in flight, until it is answered and all its attempts have ended."""

    id: int
    parsed: ParsedRequest
    client: Client | None  # None once it is answered or the client has left
    deadline: float
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    exchanges: dict[int, Exchange] = field(default_factory=dict)
    stream: StreamedAnswer | None = None  # its large answer, while it is streamed to the client
    is_incomplete: bool = False  # its body has not arrived completely


@dataclass(slots=True, eq=False)
class StreamedAnswer:
    """Streams a large answer to the client; from its first bytes on no other attempt can be made."""

    host: Host
    request: InFlightRequest
    attempt: int
    backend: str
    sent_at: float
    timer: asyncio.TimerHandle | None = None  # timeout of the attempt
    latency: float = 0.0  # until the first bytes
    head: Answer | None = None

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        self.latency, self.request.stream = self.host.clock() - self.sent_at, self
        self.head = Answer(answer.status, answer.headers, b"")
        for timer in (self.timer, self.request.timer):  # the timeouts apply up to the first bytes only
            if timer is not None:
                timer.cancel()
        self.request.client.begin(answer, length, source)
        self.host.post(api.StreamStarted(self.request.id, self.attempt, self.backend, self.latency))

    def write_body(self, data: bytes) -> None:
        if self.request.client is not None:
            self.request.client.write_body(data)


class Host:
    """Feeds socket events to the decision module and carries out its actions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: api.Settings,
        seed: int,
        backends: BackendPool,
        counter: CounterClient | None,
    ) -> None:
        self.loop, self.settings, self.backends, self.counter = loop, settings, backends, counter
        self.clock = Clock()
        self.metrics = RequestMetrics(request_class.name for request_class in settings.classes)
        self.in_flight: dict[int, InFlightRequest] = {}
        self.open_ids: set[bytes] = set()  # client-supplied ids of the requests in flight
        self.unanswered = 0  # requests without an answer yet
        self.incomplete = 0  # unanswered requests whose body has not arrived completely
        self.last_id = 0
        self.allowance_share = 1.0  # share of the ingress's allowances that this process may use
        self.ready = False  # whether a list of backends is known
        self._events: deque[api.Event] = deque()
        self._delivering = False
        self._action_handlers: dict[type, Callable] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel,
            api.SetTimer: self._set_timer,
            api.Probe: self._probe,
            api.CounterAdd: self._count,
            api.CloseIdle: lambda action: self.backends.close_idle(action.backend),
            api.Log: lambda action: log.info("%s", action.text),
            # The discovery watch is permanent and fetches the full list by itself after a gap.
            api.Subscribe: lambda action: None,
            api.FetchRoster: lambda action: None,
        }
        self.controller = Controller(settings, seed, self.clock())
        self._carry_out(self.controller.start(self.clock()))

    # Events

    def post(self, event: api.Event) -> None:
        """Pass an event to the module; events posted while one is being handled are queued."""
        self._events.append(event)
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._events:
                self._deliver(self._events.popleft())
        finally:
            self._delivering = False

    def _deliver(self, event: api.Event) -> None:
        try:
            actions = self.controller.handle(event, self.clock())
        except Exception:
            # A defect in the module must fail only the request at hand, not the process.
            log.exception("the decision module failed on %r", event)
            request = self.in_flight.get(getattr(event, "request_id", -1))
            if request is not None and not request.exchanges:
                self._finish_failed(request)
            return
        self._carry_out(actions)

    def _carry_out(self, actions: list[api.Action]) -> None:
        for action in actions:
            if (handler := self._action_handlers.get(type(action))) is not None:
                handler(action)
            else:
                warn_rate_limited(
                    "host", "unsupported action of the decision module: %s", type(action).__name__
                )

    def apply_roster(self, roster: api.Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply a list from discovery: to the connection pool first, then to the module."""
        self.backends.apply_roster(roster, addresses)
        self.post(roster)

    @property
    def withdrawn(self) -> set[str]:
        """The backends withdrawn by operators."""
        return self.backends.withdrawn

    def is_known(self, backend: str) -> bool:
        """Whether a backend was ever listed by discovery or named by an operator."""
        return self.controller.knows(backend)

    def withdraw(self, backend: str) -> None:
        """Take a backend out of use on behalf of an operator, whatever discovery says."""
        self.backends.withdraw(backend)
        self.post(api.Withdraw(backend))

    def restore(self, backend: str) -> None:
        self.backends.restore(backend)
        self.post(api.Restore(backend))

    def set_allowance_share(self, share: float) -> None:
        """Set the share of the ingress's allowances that belongs to this process."""
        if share != self.allowance_share:
            self.allowance_share = share
            self.post(api.ProcessShare(share))

    def render_metrics(self) -> bytes:
        # A request counts as taken once its last byte has arrived.
        return self.metrics.render(
            self.unanswered - self.incomplete, *self.controller.backend_counts(self.clock())
        )

    def admit(self, client: Client, parsed: ParsedRequest) -> int:
        """Accept a request; returns its id for `client_gone`."""
        self.last_id += 1
        is_incomplete = parsed.upload is not None and not parsed.upload.is_complete
        request = InFlightRequest(self.last_id, parsed, client, inf, is_incomplete=is_incomplete)
        self.in_flight[request.id] = request
        self.open_ids.add(parsed.txn)
        self.unanswered += 1
        self.incomplete += is_incomplete
        if is_incomplete:
            parsed.upload.on_complete = lambda: self._on_body_complete(request)
        else:
            self._start_deadline(request)
        self.post(
            api.Request(
                request.id,
                parsed.cls,
                parsed.plan,
                parsed.customer,
                parsed.time_left,
                parsed.units,
                parsed.width,
                parsed.first,
                parsed.is_repeat,
                parsed.is_write,
                is_incomplete,
            )
        )
        return request.id

    def _start_deadline(self, request: InFlightRequest) -> None:
        """Start the deadline timer; the time counts from the last byte of the request."""
        request.deadline = self.clock() + request.parsed.time_left
        request.timer = self.loop.call_later(request.parsed.time_left, self._expire, request)

    def _on_body_complete(self, request: InFlightRequest) -> None:
        if request.client is not None:
            self._mark_complete(request)
            self._start_deadline(request)
            self.post(api.BodyReceived(request.id))

    def _mark_complete(self, request: InFlightRequest) -> None:
        """Record that the rest of the body is no longer awaited."""
        self.incomplete -= request.is_incomplete
        request.is_incomplete = False

    def is_open(self, txn: bytes) -> bool:
        """Whether a request with this id is unanswered or may still be running at a backend."""
        return txn in self.open_ids

    def report_duplicate(self, parsed: ParsedRequest) -> None:
        """Count a request rejected because its id is already in flight."""
        self.metrics.errored[parsed.cls] += 1

    def may_have_run(self, request_id: int) -> bool:
        """Whether a backend may have run an open request."""
        request = self.in_flight.get(request_id)
        return request is not None and any(exchange.may_have_run for exchange in request.exchanges.values())

    def client_gone(self, request_id: int) -> None:
        """Handle the disconnect of a client: no answer is sent."""
        request = self.in_flight.get(request_id)
        if request is not None and request.client is not None:
            self._finish(request, None, lambda client: None)
            if request.stream is not None or request.parsed.upload is not None:
                # A body that is being streamed, either way, has lost its peer.
                for exchange in list(request.exchanges.values()):
                    exchange.give_up(api.Status.CANCELLED)
            self.post(api.ClientGone(request_id))

    def _finish(
        self, request: InFlightRequest, counts: list[int] | None, send: Callable[[Client], None]
    ) -> None:
        """Answer a request once; later outcomes are ignored."""
        client, request.client = request.client, None
        if client is not None:
            self.unanswered -= 1
            self._mark_complete(request)
            if counts is not None:
                counts[request.parsed.cls] += 1
            if request.parsed.upload is not None:
                request.parsed.upload.discard_buffer()
            self._remove_if_done(request)
            send(client)

    def _finish_failed(self, request: InFlightRequest) -> None:
        # An answer that is being streamed can only be aborted: another one would be taken as part of it.
        self._finish(
            request,
            self.metrics.errored,
            lambda client: client.abort() if request.stream else client.send_failure(),
        )

    def _remove_if_done(self, request: InFlightRequest) -> None:
        if (
            request.client is None
            and not request.exchanges
            and self.in_flight.pop(request.id, None) is not None
        ):
            if request.timer is not None:
                request.timer.cancel()
            self.open_ids.discard(request.parsed.txn)

    def _expire(self, request: InFlightRequest) -> None:
        """Handle the expiry of a request's deadline: cancel its attempts and make sure it is answered."""
        for exchange in list(request.exchanges.values()):
            exchange.give_up(api.Status.TIMEOUT)
        if request.client is not None:
            # The module has lost the request: answer it here.
            warn_rate_limited("host", "request %d was unanswered at its deadline", request.id)
            self._finish_failed(request)

    def fail_all(self) -> None:
        """Fail all open requests because the process is about to end."""
        for request in list(self.in_flight.values()):
            self._finish_failed(request)

    # Actions

    def _send(self, send: api.Send) -> None:
        request, now = self.in_flight.get(send.request_id), self.clock()
        attempt = request.attempts if request is not None else 0
        upload = request.parsed.upload if request is not None else None
        if (
            request is None
            or request.client is None
            or now >= request.deadline
            or send.timeout < 0.0
            or attempt >= self.settings.max_attempts
            or upload is not None
            and upload.buffered is None
        ):
            return self.post(
                api.Outcome(
                    send.request_id,
                    attempt,
                    send.backend,
                    api.Status.NOT_SENT,
                    0.0,
                    request is None or request.client is None,
                )
            )
        request.attempts += 1
        wait_until = min(request.deadline, now + send.timeout) if send.timeout else request.deadline
        parsed, stream = request.parsed, StreamedAnswer(self, request, attempt, send.backend, now)

        def done(status: api.Status, answer: Answer | None) -> None:
            if stream.timer is not None:
                stream.timer.cancel()
            request.exchanges.pop(attempt, None)
            latency = self.clock() - stream.sent_at
            if request.stream is stream:
                latency = stream.latency
                if status is api.Status.OK:
                    self._finish(request, self.metrics.answered, lambda client: client.finish())
                else:
                    self._finish_failed(request)
            elif status is api.Status.OK:
                self._finish(request, self.metrics.answered, lambda client: client.send_success(answer))
            self._remove_if_done(request)
            self.post(
                api.Outcome(
                    send.request_id,
                    attempt,
                    send.backend,
                    status,
                    latency,
                    request.client is None,
                    report=self._report(answer or stream.head),
                    can_resend=upload is None or upload.buffered is not None,
                )
            )

        def sent() -> None:
            self.metrics.sends[parsed.cls] += 1
            if upload is not None:
                # The time that the client took for its upload is not the backend's latency.
                stream.sent_at = self.clock()

        def render() -> bytes:
            return parsed.render(wait_until - self.clock() if wait_until < inf else parsed.time_left)

        exchange = Exchange(render, done, sent, upload, stream)
        request.exchanges[attempt] = exchange
        if wait_until < request.deadline:  # otherwise the timer of the request applies
            stream.timer = self.loop.call_later(wait_until - now, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, send.backend)

    def _report(self, answer: Answer | None) -> list[float]:
        if answer is None or self.settings.report_via != "answers":
            return []
        report = next((value for name, value in answer.headers if name == b"x-pressure"), None)
        return parse_load_report(report, self.settings.report_fields) if report is not None else []

    def _refuse(self, refuse: api.Refuse) -> None:
        if (request := self.in_flight.get(refuse.request_id)) is not None:
            self._finish(
                request, self.metrics.deferred, lambda client: client.send_refusal(refuse.retry_after)
            )

    def _fail(self, fail: api.Fail) -> None:
        if (request := self.in_flight.get(fail.request_id)) is not None:
            self._finish_failed(request)

    def _cancel(self, cancel: api.CancelAttempt) -> None:
        request = self.in_flight.get(cancel.request_id)
        if request is not None and (exchange := request.exchanges.get(cancel.attempt)) is not None:
            exchange.give_up(api.Status.CANCELLED)

    def _set_timer(self, timer: api.SetTimer) -> None:
        self.loop.call_later(timer.delay, self._fire_timer, self.clock() + timer.delay, timer.token)

    def _fire_timer(self, due_at: float, token: int) -> None:
        # The event loop has a resolution of one millisecond.
        if (remaining := due_at - self.clock()) > TIMER_TOLERANCE_S:
            self.loop.call_later(remaining, self._fire_timer, due_at, token)
        else:
            self.post(api.TimerDue(token))

    def _probe(self, probe: api.Probe) -> None:
        sent = self.clock()

        def done(status: api.Status, answer: Answer | None) -> None:
            timer.cancel()
            report = (
                parse_load_report(answer.body, self.settings.report_fields)
                if (status is api.Status.OK and self.settings.report_via != "none")
                else []
            )
            self.post(api.ProbeResult(probe.backend, status, self.clock() - sent, report))

        exchange = Exchange(lambda: b"GET /status/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", done)
        timer = self.loop.call_later(self.backends.connect_timeout, exchange.give_up, api.Status.TIMEOUT)
        self.backends.begin(exchange, probe.backend)

    def _count(self, count: api.CounterAdd) -> None:
        if self.counter is not None:
            return self.counter.call(count.key, count.amount, count.ttl, self.post)
        self.post(api.CounterReply(count.key, api.Status.CONNECT_FAILED, 0.0, 0.0))
