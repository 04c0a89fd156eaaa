"""Connection pool to the backends: attempts, probes, and what the end of each exchange proves.

An exchange is one request on one connection and its complete answer. It ends exactly once with a `Status`,
and is never retried here. Bodies too large to buffer are streamed in both directions.
"""

from __future__ import annotations

import asyncio
import errno
import json
import math
import re
import select
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from fennelpoint.interface import BackendState, Roster, RosterKind, Status
from fennelpoint.net import flow
from fennelpoint.net.flow import BufferBudget, Upload, WriteBufferAccount
from fennelpoint.net.notice import warn_rate_limited

# An answer without data for this time, or this share of the shortest latency target, has stalled.
ANSWER_STALL_TIMEOUT_S, STALL_SHARE_OF_TARGET = 0.5, 0.25
LOCAL_EXHAUSTION_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
CONNECT_TIMEOUT_S = 0.25  # default, if the settings have none
# Idle connections are closed after this share of the backend's idle timeout, so before the backend does.
IDLE_TIMEOUT_SHARE, MAX_IDLE_S = 0.5, 30.0
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,6})")
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


@dataclass(slots=True)
class Answer:
    """A backend's complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Receiver(Protocol):
    """Receives a large answer while it arrives; its end is reported by the exchange."""

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """Start with the head and the buffered part of the body; `length` is None if it is not known."""

    def write_body(self, data: bytes) -> None:
        """Take more of the body."""


class Dialect:
    """Interpretation of answers, specific to the protocol of the backends."""

    # Whether a backend may run a request before it has received all of it.
    may_run_incomplete_requests = False

    def classify(self, answer: Answer, request_complete: bool) -> Status:
        """Outcome of an attempt by its answer; `request_complete`: the whole request was written."""
        if answer.status in (503, 504) and (b"x-turned-away", b"1") in answer.headers:
            return Status.FULL
        if not request_complete:
            return Status.CONNECT_FAILED  # a request that was not received completely cannot have run
        return Status.OK if answer.status == 200 else Status.ERROR

    def find_defect(self, status: int, headers: list[tuple[bytes, bytes]], ends_at_close: bool) -> str:
        """Describe what is wrong with an answer by its head; empty if it is acceptable."""
        return ""

    def is_for_other_request(self, headers: list[tuple[bytes, bytes]], expected_id: bytes | None) -> bool:
        """Whether the answer belongs to an earlier request that had already ended."""
        return False

    def lacks_request_id(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the answer lacks the id of its request, in protocols whose answers carry one."""
        return False


class Exchange:
    """One attempt to send a request to a backend, until its outcome."""

    __slots__ = (
        "render",
        "on_done",
        "on_sent",
        "upload",
        "receiver",
        "connection",
        "connecting",
        "ended",
        "expected_id",
        "idle_range_s",
        "on_stall",
        "send_until",
    )

    def __init__(
        self,
        render: Callable[[], bytes],
        on_done: Callable[[Status, Answer | None], None],
        on_sent: Callable[[], None] = lambda: None,
        upload: Upload | None = None,
        receiver: Receiver | None = None,
        expected_id: bytes | None = None,
        idle_range_s: tuple[float, float] | None = None,
        on_stall: Callable[[], None] | None = None,
        send_until: float = math.inf,
    ) -> None:
        """`render` returns the bytes to send; `on_done` is called with the outcome."""
        self.expected_id = expected_id  # the request id that the answer must carry, if the protocol has one
        self.idle_range_s = idle_range_s  # minimum and maximum idle time of a connection to reuse
        self.render = render  # called when the request can be written
        self.on_done = on_done  # called once; the answer is None if it was streamed
        self.on_sent = on_sent  # called when the last byte is written
        self.on_stall = on_stall  # called when an answer stalls; without it, a stall ends the exchange
        self.send_until = send_until  # latest time to send (monotonic clock, s)
        self.upload = upload  # rest of the request, streamed after the rendered bytes
        self.receiver = receiver  # receives an answer too large to buffer
        self.connection: UpstreamConnection | None = None
        self.connecting: asyncio.Task | None = None
        self.ended = False

    def end(self, status: Status, answer: Answer | None = None) -> None:
        """Report the outcome, unless it was reported before."""
        if not self.ended:
            self.ended = True
            self.connection = self.connecting = None
            self.on_done(status, answer)

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have run the request, as far as what it was sent tells."""
        return self.connection is not None and self.connection.may_have_run

    def give_up(self, status: Status) -> None:
        """Stop waiting, and close the connection so that the backend notices and a late answer is not read.

        A request that cannot have run ends as CONNECT_FAILED whatever `status` says.
        """
        connection, connecting = self.connection, self.connecting
        if connecting is not None:
            connecting.cancel()
        if not self.may_have_run:
            status = Status.CONNECT_FAILED
        if connection is not None:
            connection.give_up()
        self.end(status)


@dataclass(slots=True, eq=False)
class Upstream:
    """One backend process at one address, as listed by discovery, and its connections."""

    host: str
    port: int
    started_at: float
    state: BackendState
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last
    retired: bool = False  # replaced by a newer process or address: connections are not reused
    withdrawn: bool = False  # taken out of use by an operator

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent."""
        return self.state is BackendState.READY and not (self.retired or self.withdrawn)


class UpstreamConnection(asyncio.BufferedProtocol):
    """A keep-alive connection that carries one exchange at a time."""

    __slots__ = (
        "pool",
        "upstream",
        "transport",
        "exchange",
        "first_exchange",
        "parser",
        "flushed",
        "body_finished",
        "idle_since",
        "poll",
        "status",
        "headers",
        "length",
        "in_head",
        "ends_at_close",
        "body",
        "body_bytes",
        "charged_bytes",
        "received_bytes",
        "complete",
        "has_excess",
        "keep_alive",
        "closed",
        "last_data_at",
        "progress_at",
        "defect",
        "has_begun",
        "is_streaming",
        "is_reading",
        "write_account",
        "is_skipping",
        "has_skipped",
        "has_answered",
        "max_idle_s",
        "__weakref__",
    )

    def __init__(self, pool: BackendPool, upstream: Upstream, first_exchange: Exchange) -> None:
        """`first_exchange`: the exchange that the connection is opened for."""
        self.pool, self.upstream, self.first_exchange = pool, upstream, first_exchange
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.flushed = self.body_finished = self.is_reading = True
        self.closed, self.idle_since = False, 0.0
        # Whether the current answer is, or an earlier one was, for a request that had already ended.
        self.is_skipping = self.has_skipped = False
        self.has_answered = False  # an earlier request was answered here
        self.max_idle_s = math.inf  # idle time that the backend announced, reduced by a margin
        self.write_account: WriteBufferAccount | None = None  # of an upload
        self.charged_bytes = 0
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the first exchange, unless the backend has gone out of use in the meantime."""
        self.transport = transport
        # With a high-water mark of 0, pause_writing and resume_writing tell whether all is written.
        transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pool.connections.add(self)
        # The backend may have begun to drain while the connection was being opened.
        exchange, self.first_exchange = self.first_exchange, None
        # After a pause of the process, this may run before overdue timers do.
        is_late = time.monotonic() >= exchange.send_until
        if exchange.ended or is_late or not self.upstream.accepts_requests:
            self.close()
            exchange.end(Status.CONNECT_FAILED)
        else:
            self.start(exchange)

    def start(self, exchange: Exchange) -> None:
        """Send an exchange."""
        self.exchange, exchange.connection, exchange.connecting = exchange, self, None
        self._reset()
        upload = exchange.upload
        self.flushed, self.body_finished = True, upload is None  # pause_writing may reset `flushed`
        self.transport.write(exchange.render())
        if upload is not None:
            self.write_account, self.progress_at = (
                WriteBufferAccount(self.pool.budget, self.transport),
                time.monotonic(),
            )
            self.pool.streaming.add(self)
            upload.attach(self)
            self._update_backpressure()
        elif self.flushed:
            exchange.on_sent()

    def _reset(self) -> None:
        self.status, self.headers, self.length, self.in_head = 0, [], None, True
        self.body, self.body_bytes, self.received_bytes = [], 0, 0
        self.has_begun = self.complete = self.has_excess = self.keep_alive = self.ends_at_close = (
            self.is_streaming
        ) = False
        self.last_data_at, self.progress_at, self.defect = 0.0, 0.0, ""

    @property
    def written(self) -> bool:
        """Whether the request is completely written."""
        return self.body_finished and self.flushed

    @property
    def may_have_run(self) -> bool:
        """Whether the backend may have run the request, of which it may have only a part."""
        return self.written or self.pool.dialect.may_run_incomplete_requests

    def is_stale(self) -> bool:
        """Whether the peer has closed its side or sent unexpected data since the last answer."""
        return self.closed or self.transport.is_closing() or bool(self.poll.poll(0))

    # Upload

    def write_body(self, data: bytes) -> None:
        """Write a part of an upload."""
        if self.exchange.upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)
        self._update_backpressure()

    def finish(self) -> None:
        """End an upload: the client has sent its last byte."""
        if self.exchange.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        self.body_finished = True
        if self.flushed:
            self._request_sent()

    def _update_backpressure(self) -> None:
        """Resume or pause reading from the client by the size of the write buffer."""
        if self.write_account is not None:
            self.exchange.upload.set_reading(
                self.write_account.update() <= self.pool.budget.high_water_mark() or self.flushed
            )

    def _request_sent(self) -> None:
        if self.write_account is not None:
            self._end_upload()
        self.exchange.on_sent()

    def _end_upload(self) -> None:
        self.write_account.release()
        self.write_account = None
        self.exchange.upload.detach(self)
        if not self.is_streaming:
            self.pool.streaming.discard(self)

    def pause_writing(self) -> None:
        """Data is waiting in the write buffer."""
        self.flushed = False

    def resume_writing(self) -> None:
        """The write buffer is empty."""
        self.flushed = True
        if self.exchange is None:
            return
        if self.body_finished:
            self._request_sent()
        elif self.write_account is not None:
            self.progress_at = time.monotonic()
            self._update_backpressure()

    # Answer

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer, which all connections share."""
        return self.pool.budget.read_buffer[: self.pool.budget.read_size()]

    def buffer_updated(self, count: int) -> None:
        """Process data of an answer."""
        data = bytes(self.pool.budget.read_buffer[:count])
        if self.exchange is None:
            return self.close()  # data without a request
        self.received_bytes += count
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                return self._reject_answer(f"is invalid ({error})")
            self.has_excess = True
        if self.exchange is None:
            return  # cancelled by the receiver of the answer
        if self.complete and not self.defect:
            self._finish_answer()
        elif self.defect:
            self._reject_answer(self.defect)
        elif self.received_bytes > flow.MAX_OVERHEAD_BYTES + flow.MAX_FRAMING_FACTOR * self.body_bytes:
            self._reject_answer("is too large")
        elif self.is_streaming:
            self.progress_at = time.monotonic()
        elif self.has_begun:
            self.last_data_at = time.monotonic()
            self.pool.loop.call_later(self.pool.answer_stall_timeout_s, self.check_answer_stall)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; a second final answer to the same request is excess data."""
        self.has_excess, self.has_begun = self.has_excess or self.complete, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        if self.in_head and not self.complete:  # trailers are ignored
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head: which request it answers, and whether it is acceptable."""
        if self.complete:
            return
        self.in_head, self.status = False, self.parser.get_status_code()
        if self.status < 200:
            return
        dialect, expected_id = (
            self.pool.dialect,
            self.exchange.expected_id if self.exchange is not None else None,
        )
        if self.exchange is not None and dialect.is_for_other_request(self.headers, expected_id):
            self.is_skipping = self.has_skipped = True
            return
        length = next((value for name, value in self.headers if name == b"content-length"), None)
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.length = int(length) if length is not None and not chunked else None
        self.ends_at_close = length is None and not chunked and self.status not in (204, 304)
        if self.length is not None and self.length > flow.MAX_BODY_BYTES:
            self.defect = "is too large"
        elif (self.has_answered or self.has_skipped) and dialect.lacks_request_id(self.headers):
            # It may be a second answer to the previous request, so neither its body nor its statement that
            # the request has not run can be trusted.
            self.defect = "carries no request id"
        else:
            self.defect = dialect.find_defect(self.status, self.headers, self.ends_at_close)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, or stream it if it is large."""
        if self.complete or self.defect or self.is_skipping or self.exchange is None:
            return
        self.body_bytes += len(body)
        if self.body_bytes > flow.MAX_BODY_BYTES:
            self.defect = "is too large"  # it may never end
        elif self.is_streaming:
            self.exchange.receiver.write_body(body)
        else:
            self.body.append(body)
            self.charged_bytes += len(body)
            self.pool.budget.used += len(body)
            if max(self.body_bytes, self.length or 0) > flow.MAX_BUFFERED_BODY_BYTES:
                self._begin_streaming()

    def _begin_streaming(self) -> None:
        """Start streaming an answer that is too large to buffer."""
        if not 200 <= self.status < 300 or not self.may_have_run or self.exchange.receiver is None:
            self.defect = "is too large"
            return
        self.is_streaming, self.progress_at = True, time.monotonic()
        self.pool.streaming.add(self)
        body = self._take_buffered()
        self.exchange.receiver.begin(Answer(self.status, self.headers, body), self.length, self)

    def _take_buffered(self) -> bytes:
        """Take the buffered part of the body out of the buffer."""
        body, self.body = b"".join(self.body), []
        self.pool.budget.used -= self.charged_bytes
        self.charged_bytes = 0
        return body

    def on_message_complete(self) -> None:
        """End an answer; interim answers and answers to earlier requests are skipped."""
        if self.complete:
            return
        if self.is_skipping:
            self.is_skipping = False  # the answer to the current request may follow
            self.headers, self.in_head, self.has_begun, self.last_data_at = [], True, False, 0.0
        elif 100 <= self.status < 200:
            self.headers.clear()  # interim answer
            # The final answer may take its time.
            self.in_head, self.has_begun, self.last_data_at = True, False, 0.0
        else:
            # Must be asked here: the parser forgets it on return.
            self.complete, self.keep_alive = True, self.parser.should_keep_alive()

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading the answer."""
        if self.is_reading != enabled and not self.closed:
            self.is_reading, self.progress_at = enabled, time.monotonic()
            self.transport.resume_reading() if enabled else self.transport.pause_reading()

    def _finish_answer(self) -> None:
        exchange, request_complete, was_streamed = self.exchange, self.written, self.is_streaming
        self.has_answered = True
        self._detach_exchange()
        answer = Answer(self.status, self.headers, self._take_buffered())
        for name, value in self.headers:
            if name == b"keep-alive" and (match := KEEP_ALIVE_TIMEOUT.search(value)):
                self.max_idle_s = IDLE_TIMEOUT_SHARE * int(match[1])
        if (
            self.has_excess
            or self.has_skipped
            or not request_complete
            or not self.keep_alive
            or self.ends_at_close
            or not self.upstream.accepts_requests
        ):
            self.close()
        else:
            self.set_reading(True)
            self.idle_since = time.monotonic()
            self.upstream.idle.append(self)
        if was_streamed:
            return exchange.end(Status.OK)
        exchange.end(self.pool.dialect.classify(answer, request_complete), answer)

    def _detach_exchange(self) -> None:
        """Detach the exchange from this connection."""
        if self.write_account is not None:
            self._end_upload()
        self.exchange, self.is_streaming = None, False
        self.pool.streaming.discard(self)

    def give_up(self) -> None:
        """Close without reporting an outcome."""
        if self.exchange is not None:
            self._detach_exchange()
        self.close()

    def _reject_answer(self, reason: str) -> None:
        """Reject an invalid answer: the request may have run, and the connection cannot be reused."""
        exchange, may_have_run = self.exchange, self.may_have_run
        suffix = "" if self.written else ", before its request was completely written"
        warn_rate_limited(
            "upstream", "an answer of %s:%d %s%s", self.upstream.host, self.upstream.port, reason, suffix
        )
        self.give_up()
        exchange.end(Status.ERROR if may_have_run else Status.CONNECT_FAILED)

    def check_answer_stall(self) -> None:
        """Detect a stalled answer, for instance one with a wrong length, before the request's deadline."""
        if (
            self.exchange is not None
            and not self.is_streaming
            and 0.0 < self.last_data_at <= time.monotonic() - 0.99 * self.pool.answer_stall_timeout_s
        ):
            if self.exchange.on_stall is not None:
                self.exchange.on_stall()
            else:
                self._reject_answer("is incomplete")

    def check_stream_stall(self, now: float) -> None:
        """Give up a streamed body that makes no progress, unless reading is paused on this side."""
        if self.write_account is not None:
            previous_size = self.write_account.size
            if self.write_account.update() < previous_size or self.flushed:
                self.progress_at = now
        may_stall = self.is_streaming and self.exchange.on_stall is not None
        if self.is_reading and not may_stall and now - self.progress_at > flow.STREAM_STALL_TIMEOUT_S:
            self._reject_answer(
                "is incomplete" if self.is_streaming else "is missing: the backend does not read the request"
            )

    def eof_received(self) -> None:
        """End an answer that lasts until the close; otherwise close our side too."""
        if self.exchange is not None and self.ends_at_close and not self.defect:
            self._finish_answer()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the outcome, depending on whether the request may have run."""
        may_have_run, exchange = self.may_have_run, self.exchange
        self.give_up()
        self.pool.connections.discard(self)
        self._take_buffered()
        self.parser = self.poll = None  # breaks the reference cycle between parser and protocol
        if exchange is not None:
            exchange.end(Status.RESET if may_have_run else Status.CONNECT_FAILED)

    def close(self) -> None:
        """Close at once."""
        if not self.closed:
            self.closed = True
            if self in self.upstream.idle:
                self.upstream.idle.remove(self)
            self.transport.abort()


class BackendPool:
    """Connections to all backends listed by discovery, limited in number."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout: float,
        idle_close: float,
        latency_target: float,
        budget: BufferBudget,
        dialect: Dialect | None = None,
    ) -> None:
        """`latency_target`: the shortest one of all request classes; times are in seconds."""
        self.loop, self.max_connections, self.budget = loop, max_connections, budget
        self.dialect = dialect or Dialect()
        # Early enough to leave time for another attempt.
        self.answer_stall_timeout_s = min(ANSWER_STALL_TIMEOUT_S, STALL_SHARE_OF_TARGET * latency_target)
        self.connect_timeout = connect_timeout or CONNECT_TIMEOUT_S
        self.max_idle_s = min(MAX_IDLE_S, idle_close * IDLE_TIMEOUT_SHARE) if idle_close else MAX_IDLE_S
        self.upstreams: dict[str, Upstream] = {}
        self.connections: set[UpstreamConnection] = set()
        self.streaming: set[UpstreamConnection] = set()  # with a large body in progress
        self.connecting: dict[asyncio.Task, Exchange] = {}
        self.withdrawn: set[str] = set()  # ids of backends withdrawn by operators

    def apply_roster(self, roster: Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Apply a list from discovery; a new process or address gets connections of its own."""
        if roster.kind is not RosterKind.CHANGES:
            named = {listed.backend for listed in roster.entries}
            for key in [k for k in self.upstreams if k not in named]:
                self._retire(self.upstreams.pop(key))
        for entry in roster.entries:
            known = self.upstreams.get(entry.backend)
            if entry.state is BackendState.GONE:
                if known is not None:
                    self._retire(self.upstreams.pop(entry.backend))
                continue
            host, port = addresses[entry.backend]
            if known is not None and (known.host, known.port, known.started_at) == (
                host,
                port,
                entry.started_at,
            ):
                known.state = entry.state
                if entry.state is not BackendState.READY:
                    self.close_idle(entry.backend)
                continue
            if known is not None:
                self._retire(known)
            self.upstreams[entry.backend] = Upstream(
                host, port, entry.started_at, entry.state, withdrawn=entry.backend in self.withdrawn
            )

    def withdraw(self, backend: str) -> None:
        """Take a backend out of use, including exchanges about to be sent, and close its idle connections."""
        self.withdrawn.add(backend)
        if (upstream := self.upstreams.get(backend)) is not None:
            upstream.withdrawn = True
            self.close_idle(backend)

    def restore(self, backend: str) -> None:
        """Allow a backend to be used again."""
        self.withdrawn.discard(backend)
        if (upstream := self.upstreams.get(backend)) is not None:
            upstream.withdrawn = False

    def _retire(self, upstream: Upstream) -> None:
        upstream.retired = True
        for connection in list(upstream.idle):
            connection.close()

    def begin(self, exchange: Exchange, backend: str) -> None:
        """Send an exchange on the most recently used idle connection, or on a new one."""
        upstream = self.upstreams.get(backend)
        if upstream is None or not upstream.accepts_requests:
            return exchange.end(Status.CONNECT_FAILED)
        now = time.monotonic()
        min_idle_s, max_idle_s = exchange.idle_range_s or (0.0, self.max_idle_s)
        for connection in reversed(list(upstream.idle)):  # the most recently used first
            idle_s = now - connection.idle_since
            if idle_s > min(self.max_idle_s, connection.max_idle_s) or connection.is_stale():
                connection.close()
            elif min_idle_s <= idle_s <= max_idle_s:
                upstream.idle.remove(connection)
                return connection.start(exchange)
        if len(self.connections) + len(self.connecting) >= self.max_connections and not self._evict_idle():
            # A local shortage of connections must not count against the backend.
            warn_rate_limited("upstream", "all %d connections are in use", self.max_connections)
            return exchange.end(Status.NOT_SENT)
        self._connect(upstream, exchange)

    def _connect(self, upstream: Upstream, exchange: Exchange) -> None:
        task = self.loop.create_task(
            self.loop.create_connection(
                lambda: UpstreamConnection(self, upstream, exchange), upstream.host, upstream.port
            )
        )
        exchange.connecting, self.connecting[task] = task, exchange
        timer = self.loop.call_later(self.connect_timeout, task.cancel)

        def connected(task: asyncio.Task) -> None:
            timer.cancel()
            self.connecting.pop(task, None)
            if task.cancelled() or (error := task.exception()) is not None:
                # Running out of descriptors is an OSError like a refused connection, but is not the backend's
                # fault.
                is_exhausted = (
                    not task.cancelled() and getattr(error, "errno", None) in LOCAL_EXHAUSTION_ERRNOS
                )
                if not task.cancelled() and not isinstance(error, OSError):
                    warn_rate_limited("upstream", "connection attempt failed: %r", error)
                if exchange.connection is None:
                    exchange.end(Status.NOT_SENT if is_exhausted else Status.CONNECT_FAILED)

        task.add_done_callback(connected)

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; returns whether there was one."""
        idle = [upstream.idle[0] for upstream in self.upstreams.values() if upstream.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        """Close the idle connections to a backend."""
        if (upstream := self.upstreams.get(backend)) is not None:
            for connection in list(upstream.idle):
                connection.close()

    def sweep(self) -> None:
        """Close idle connections before the backend does, and streams that make no progress.

        Also closes idle connections above the limit, if that was lowered.
        """
        # Closed connections leave the set later, so their number is computed once.
        for _ in range(len(self.connections) - self.max_connections):
            self._evict_idle()
        now = time.monotonic()
        for connection in list(self.streaming):
            connection.check_stream_stall(now)
        oldest = now - self.max_idle_s
        for upstream in self.upstreams.values():
            for connection in list(upstream.idle):
                if connection.idle_since < oldest or now - connection.idle_since > connection.max_idle_s:
                    connection.close()

    def close(self) -> None:
        """Close all connections at once."""
        for task in list(self.connecting):
            task.cancel()
        for connection in list(self.connections):
            connection.close()


def parse_load_report(data: bytes, fields: list[str]) -> list[float]:
    """Values of a load report in the order of `fields`; empty if the report is invalid."""
    try:
        report = json.loads(data)
        values = [float(report[name]) for name in fields]
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        warn_rate_limited("report", "invalid load report")
        return []
    return values if all(0.0 <= value < 1e9 for value in values) else []
