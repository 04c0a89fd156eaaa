"""Upstream connections: pools, attempts, probes, and what each exchange's end proves.

An exchange is one request on one connection and its whole answer.  It ends exactly once, in one of the
outcomes of the protocol's table, and is never sent again from here.  What is too large to hold goes through
in pieces, either way.
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
from fennelpoint.net.flow import Budget, Upload, Waiting
from fennelpoint.net.notice import complain

STALLED, STALLED_SHARE = 0.5, 0.25  # s with no byte amid an answer: no more will come; of the least aim
OWN_SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
CONNECT_TIMEOUT = 0.25  # s, where the settings tell none
IDLE_SHARE, IDLE_MOST = 0.5, 30.0  # of the settings' idle time: well before the backend closes; s at most
KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")
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
    """A backend's whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Receiver(Protocol):
    """Takes a large answer in pieces; its end is the exchange's."""

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """The answer's head and what is held of its body; `length` is None where it comes in chunks."""

    def piece(self, data: bytes) -> None:
        """More of its body."""


class Dialect:
    """What an answer says, in the words of the backends that are spoken to."""

    def verdict(self, answer: Answer, whole: bool) -> Status:
        """How the attempt ended, by its whole answer; `whole`: the backend has the whole request."""
        if answer.status in (503, 504) and (b"x-turned-away", b"1") in answer.headers:
            return Status.FULL
        if not whole:
            return Status.CONNECT_FAILED  # it answers what it has not got whole, so it has not run
        return Status.OK if answer.status == 200 else Status.ERROR

    def doubt(self, status: int, headers: list[tuple[bytes, bytes]], until_close: bool) -> str:
        """What is wrong with an answer that begins so; nothing where it may be taken."""
        return ""

    def alien(self, headers: list[tuple[bytes, bytes]], echo: bytes | None) -> bool:
        """Whether an answer that begins so belongs to another request, which was over before."""
        return False

    def nameless(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether an answer that begins so doesn't say whose it is, in dialects whose answers do."""
        return False


class Exchange:
    """One request to one backend, from the wish to send it until its outcome."""

    __slots__ = (
        "render",
        "done",
        "sent",
        "upload",
        "receiver",
        "connection",
        "connecting",
        "ended",
        "echo",
        "idle",
        "silent",
        "send_until",
    )

    def __init__(
        self,
        render: Callable[[], bytes],
        done: Callable[[Status, Answer | None], None],
        sent: Callable[[], None] = lambda: None,
        upload: Upload | None = None,
        receiver: Receiver | None = None,
        echo: bytes | None = None,
        idle: tuple[float, float] | None = None,
        silent: Callable[[], None] | None = None,
        send_until: float = math.inf,
    ) -> None:
        """`render` gives the request's bytes once they can be written; `done` is told the outcome."""
        self.echo = echo  # the id that its answer names, in dialects that have one
        self.idle = idle  # s that a connection which is used again may have stood: least and most
        self.render = render  # the bytes to send, made when they can be written
        self.done = done  # told the outcome, once; with no answer where that was passed on in pieces
        self.sent = sent  # told that the last byte is written
        self.silent = (
            silent  # told that an answer falls silent midway, which ends the exchange where there is none
        )
        self.send_until = send_until  # when it may not be sent any more (steady clock, s)
        self.upload = upload  # what follows these bytes as it comes
        self.receiver = receiver  # who takes an answer too large to hold
        self.connection: UpstreamConnection | None = None
        self.connecting: asyncio.Task | None = None
        self.ended = False

    def end(self, status: Status, answer: Answer | None = None) -> None:
        """Tell the outcome, unless that was done before."""
        if not self.ended:
            self.ended = True
            self.connection = self.connecting = None
            self.done(status, answer)

    def give_up(self, status: Status) -> None:
        """Stop waiting: the connection is closed, so that the backend sees it and no late answer is read.

        What was not written whole can't have run, whatever made us stop.
        """
        connection, connecting = self.connection, self.connecting
        if connecting is not None:
            connecting.cancel()
        if connection is None or not connection.written:
            status = Status.CONNECT_FAILED
        if connection is not None:
            connection.give_up()
        self.end(status)


@dataclass(slots=True, eq=False)
class Upstream:
    """One start of one backend at one address, as discovery told it; its connections belong to it."""

    host: str
    port: int
    started: float
    state: BackendState
    idle: list[UpstreamConnection] = field(default_factory=list)  # the most recently used last
    retired: bool = False  # replaced by a newer start or address: nothing is to be reused
    withdrawn: bool = False  # taken out by an operator

    @property
    def open(self) -> bool:
        """Whether new requests may go there."""
        return self.state is BackendState.READY and not (self.retired or self.withdrawn)


class UpstreamConnection(asyncio.BufferedProtocol):
    """A kept-alive connection that carries one exchange at a time."""

    __slots__ = (
        "pool",
        "upstream",
        "transport",
        "exchange",
        "first",
        "parser",
        "flushed",
        "finished",
        "idle_since",
        "poll",
        "status",
        "headers",
        "length",
        "in_head",
        "until_close",
        "body",
        "body_size",
        "counted",
        "size",
        "complete",
        "excess",
        "keep",
        "closed",
        "heard",
        "moved",
        "doubt",
        "begun",
        "passing",
        "reading",
        "waiting",
        "alien",
        "tainted",
        "used",
        "lasts",
        "__weakref__",
    )

    def __init__(self, pool: Backends, upstream: Upstream, first: Exchange) -> None:
        """`first`: the exchange that it is opened for."""
        self.pool, self.upstream, self.first = pool, upstream, first
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.flushed = self.finished = self.reading = True
        self.closed, self.idle_since = False, 0.0
        self.alien = self.tainted = False  # the answer at hand is to a request that was over; one was
        self.used = False  # another request was answered here before
        self.lasts = math.inf  # s that the backend keeps it open unused, by its word
        self.waiting: Waiting | None = None  # what an upload has waiting here
        self.counted = 0
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the first exchange, if the backend is still open."""
        self.transport = transport
        # With no room in the buffer, pause_writing and resume_writing tell whether all is written.
        transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pool.all.add(self)
        # Guards the rule on drains: the backend may have begun to drain while the connection came up.
        first, self.first = self.first, None
        # Guards the time to send: a process that stood still hears of its connection before its timers.
        is_late = time.monotonic() >= first.send_until
        if first.ended or is_late or not self.upstream.open:
            self.close()
            first.end(Status.CONNECT_FAILED)
        else:
            self.start(first)

    def start(self, exchange: Exchange) -> None:
        """Send an exchange."""
        self.exchange, exchange.connection, exchange.connecting = exchange, self, None
        self._reset()
        upload = exchange.upload
        self.flushed, self.finished = True, upload is None  # flushed unless pause_writing says otherwise
        self.transport.write(exchange.render())
        if upload is not None:
            self.waiting, self.moved = Waiting(self.pool.budget, self.transport), time.monotonic()
            self.pool.flowing.add(self)
            upload.start(self)
            self._look()
        elif self.flushed:
            exchange.sent()

    def _reset(self) -> None:
        self.status, self.headers, self.length, self.in_head = 0, [], None, True
        self.body, self.body_size, self.size = [], 0, 0
        self.begun = self.complete = self.excess = self.keep = self.until_close = self.passing = False
        self.heard, self.moved, self.doubt = 0.0, 0.0, ""

    @property
    def written(self) -> bool:
        """Whether the last byte of the request is."""
        return self.finished and self.flushed

    def stale(self) -> bool:
        """Whether the peer has closed its side, or said something unasked, since the last answer."""
        return self.closed or self.transport.is_closing() or bool(self.poll.poll(0))

    # An upload on its way.

    def pass_on(self, data: bytes) -> None:
        """Write a part of a large body."""
        if self.exchange.upload.length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.transport.write(data)
        self._look()

    def finish(self) -> None:
        """The client's last byte has come."""
        if self.exchange.upload.length is None:
            self.transport.write(b"0\r\n\r\n")
        self.finished = True
        if self.flushed:
            self._sent()

    def _look(self) -> None:
        """Read on from the client where little waits here."""
        if self.waiting is not None:
            self.exchange.upload.read_on(self.waiting.look() <= self.pool.budget.mark() or self.flushed)

    def _sent(self) -> None:
        if self.waiting is not None:
            self._end_upload()
        self.exchange.sent()

    def _end_upload(self) -> None:
        self.waiting.end()
        self.waiting = None
        self.exchange.upload.leave(self)
        if not self.passing:
            self.pool.flowing.discard(self)

    def pause_writing(self) -> None:
        """Bytes wait to be written."""
        self.flushed = False

    def resume_writing(self) -> None:
        """All bytes are written."""
        self.flushed = True
        if self.exchange is None:
            return
        if self.finished:
            self._sent()
        elif self.waiting is not None:
            self.moved = time.monotonic()
            self._look()

    # The answer.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes are read to; all connections share it."""
        return self.pool.budget.buffer[: self.pool.budget.piece()]

    def buffer_updated(self, count: int) -> None:
        """Bytes of an answer have come."""
        data = bytes(self.pool.budget.buffer[:count])
        if self.exchange is None:
            return self.close()  # unasked: an answer to nothing
        self.size += count
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                return self._spoilt(f"can't be read ({error})")
            self.excess = True
        if self.exchange is None:
            return  # given up by who took the answer
        if self.complete and not self.doubt:
            self._answered()
        elif self.doubt:
            self._spoilt(self.doubt)
        elif self.size > flow.MOST_OVERHEAD + flow.FRAMING * self.body_size:
            self._spoilt("is too large")
        elif self.passing:
            self.moved = time.monotonic()
        elif self.begun:
            self.heard = time.monotonic()
            self.pool.loop.call_later(self.pool.stalled, self.stalled)

    # What the parser reads.

    def on_message_begin(self) -> None:
        """An answer begins; a second one to the same request is in excess."""
        self.excess, self.begun = self.excess or self.complete, True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head."""
        if self.in_head and not self.complete:  # else a trailer: too late to count
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Judge the head: whose it is, and whether it may be taken."""
        if self.complete:
            return
        self.in_head, self.status = False, self.parser.get_status_code()
        if self.status < 200:
            return
        dialect, echo = self.pool.dialect, self.exchange.echo if self.exchange is not None else None
        if self.exchange is not None and dialect.alien(self.headers, echo):
            self.alien = self.tainted = True
            return
        length = next((value for name, value in self.headers if name == b"content-length"), None)
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        self.length = int(length) if length is not None and not chunked else None
        self.until_close = length is None and not chunked and self.status not in (204, 304)
        if self.length is not None and self.length > flow.MOST_LARGE:
            self.doubt = "is too large"
        elif (self.used or self.tainted) and dialect.nameless(self.headers):
            # Guards who is answered, and what may run once: it may be one more answer to the request before,
            # so neither its bytes nor its word that nothing has run are this request's.
            self.doubt = "does not say whose it is"
        else:
            self.doubt = dialect.doubt(self.status, self.headers, self.until_close)

    def on_body(self, body: bytes) -> None:
        """Hold a part of the body, or pass it on where it is too large."""
        if self.complete or self.doubt or self.alien or self.exchange is None:
            return
        self.body_size += len(body)
        if self.body_size > flow.MOST_LARGE:
            self.doubt = "is too large"  # guards the client: one that never ends
        elif self.passing:
            self.exchange.receiver.piece(body)
        else:
            self.body.append(body)
            self.counted += len(body)
            self.pool.budget.used += len(body)
            if max(self.body_size, self.length or 0) > flow.HELD:
                self._begin_passing()

    def _begin_passing(self) -> None:
        """The answer is too large to hold: what there is of it goes out now, the rest as it comes."""
        if not 200 <= self.status < 300 or not self.written or self.exchange.receiver is None:
            self.doubt = "is too large"
            return
        self.passing, self.moved = True, time.monotonic()
        self.pool.flowing.add(self)
        body = self._held()
        self.exchange.receiver.begin(Answer(self.status, self.headers, body), self.length, self)

    def _held(self) -> bytes:
        """What is held of the answer, which is not from now on."""
        body, self.body = b"".join(self.body), []
        self.pool.budget.used -= self.counted
        self.counted = 0
        return body

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was an interim one or another request's."""
        if self.complete:
            return
        if self.alien:
            self.alien = False  # the answer that counts may follow
            self.headers, self.in_head, self.begun, self.heard = [], True, False, 0.0
        elif 100 <= self.status < 200:
            self.headers.clear()  # an interim answer; the one that counts follows
            self.in_head, self.begun, self.heard = True, False, 0.0  # which may take its time
        else:
            # Asked here, as the parser has forgotten it once it returns: guards the reuse of connections.
            self.complete, self.keep = True, self.parser.should_keep_alive()

    def read_on(self, on: bool) -> None:
        """Whether there is room for more of the answer."""
        if self.reading != on and not self.closed:
            self.reading, self.moved = on, time.monotonic()
            self.transport.resume_reading() if on else self.transport.pause_reading()

    def _answered(self) -> None:
        exchange, whole, passed = self.exchange, self.written, self.passing
        self.used = True
        self._leave_exchange()
        answer = Answer(self.status, self.headers, self._held())
        for name, value in self.headers:
            if name == b"keep-alive" and (told := KEEP_ALIVE.search(value)):
                self.lasts = IDLE_SHARE * int(told[1])
        if (
            self.excess
            or self.tainted
            or not whole
            or not self.keep
            or self.until_close
            or not self.upstream.open
        ):
            self.close()
        else:
            self.read_on(True)
            self.idle_since = time.monotonic()
            self.upstream.idle.append(self)
        if passed:
            return exchange.end(Status.OK)
        exchange.end(self.pool.dialect.verdict(answer, whole), answer)

    def _leave_exchange(self) -> None:
        """The exchange is over here, whatever has become of it."""
        if self.waiting is not None:
            self._end_upload()
        self.exchange, self.passing = None, False
        self.pool.flowing.discard(self)

    def give_up(self) -> None:
        """Close, and tell nobody."""
        if self.exchange is not None:
            self._leave_exchange()
        self.close()

    def _spoilt(self, what: str) -> None:
        """An answer that is none: the request may have run, and the connection is of no further use."""
        complain("upstream", "an answer of %s:%d %s", self.upstream.host, self.upstream.port, what)
        exchange, whole = self.exchange, self.written
        self.give_up()
        exchange.end(Status.ERROR if whole else Status.CONNECT_FAILED)

    def stalled(self) -> None:
        """Guards the request's time: a length over what was sent would hold it until its deadline."""
        if (
            self.exchange is not None
            and not self.passing
            and 0.0 < self.heard <= time.monotonic() - 0.99 * self.pool.stalled
        ):
            if self.exchange.silent is not None:
                self.exchange.silent()
            else:
                self._spoilt("does not come whole")

    def overdue(self, now: float) -> None:
        """A large body that neither comes nor goes is given up; while we don't read, the backend may wait."""
        if self.waiting is not None:
            before = self.waiting.size
            if self.waiting.look() < before or self.flushed:
                self.moved = now
        patient = self.passing and self.exchange.silent is not None
        if self.reading and not patient and now - self.moved > flow.STALLED:
            self._spoilt("does not come whole" if self.passing else "comes before its request is taken")

    def eof_received(self) -> None:
        """The end of an answer that lasts until the close.  Otherwise, a half-closed connection takes no more
        requests; returning nothing closes our side too."""
        if self.exchange is not None and self.until_close and not self.doubt:
            self._answered()

    def connection_lost(self, error: Exception | None) -> None:
        """The exchange ends by whether the backend had the whole request."""
        written, exchange = self.written, self.exchange
        self.give_up()
        self.pool.all.discard(self)
        self._held()
        self.parser = self.poll = None  # parser and protocol hold each other, and collections are rare
        if exchange is not None:
            exchange.end(Status.RESET if written else Status.CONNECT_FAILED)

    def close(self) -> None:
        """Close at once, and be used no more."""
        if not self.closed:
            self.closed = True
            if self in self.upstream.idle:
                self.upstream.idle.remove(self)
            self.transport.abort()


class Backends:
    """The connections to every backend that discovery has named, within one bound."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        connect_timeout: float,
        idle_close: float,
        aim: float,
        budget: Budget,
        dialect: Dialect | None = None,
    ) -> None:
        """`most` connections; times in seconds, `aim` the least that a request's answer may take."""
        self.loop, self.most, self.budget = loop, most, budget
        self.dialect = dialect or Dialect()
        # Soon against the aim: guards the time that another attempt needs.
        self.stalled = min(STALLED, STALLED_SHARE * aim)
        self.connect_timeout = connect_timeout or CONNECT_TIMEOUT
        self.idle_most = min(IDLE_MOST, idle_close * IDLE_SHARE) if idle_close else IDLE_MOST
        self.upstreams: dict[str, Upstream] = {}
        self.all: set[UpstreamConnection] = set()
        self.flowing: set[UpstreamConnection] = set()  # with a large body on its way
        self.connecting: dict[asyncio.Task, Exchange] = {}
        self.withdrawn: set[str] = set()  # ids that operators took out

    def follow(self, roster: Roster, addresses: dict[str, tuple[str, int]]) -> None:
        """Take in what discovery told: a new start or address gets connections of its own."""
        if roster.kind is not RosterKind.CHANGES:
            named = {e.backend for e in roster.entries}
            for key in [k for k in self.upstreams if k not in named]:
                self._retire(self.upstreams.pop(key))
        for entry in roster.entries:
            old = self.upstreams.get(entry.backend)
            if entry.state is BackendState.GONE:
                if old is not None:
                    self._retire(self.upstreams.pop(entry.backend))
                continue
            host, port = addresses[entry.backend]
            if old is not None and (old.host, old.port, old.started) == (host, port, entry.started_at):
                old.state = entry.state
                if entry.state is not BackendState.READY:
                    self.close_idle(entry.backend)
                continue
            if old is not None:
                self._retire(old)
            self.upstreams[entry.backend] = Upstream(
                host, port, entry.started_at, entry.state, withdrawn=entry.backend in self.withdrawn
            )

    def withdraw(self, backend: str) -> None:
        """Nothing more goes there, not even what is about to: its idle connections are closed."""
        self.withdrawn.add(backend)
        if (upstream := self.upstreams.get(backend)) is not None:
            upstream.withdrawn = True
            self.close_idle(backend)

    def restore(self, backend: str) -> None:
        """An operator lets a backend take part again."""
        self.withdrawn.discard(backend)
        if (upstream := self.upstreams.get(backend)) is not None:
            upstream.withdrawn = False

    def _retire(self, upstream: Upstream) -> None:
        upstream.retired = True
        for connection in list(upstream.idle):
            connection.close()

    def begin(self, exchange: Exchange, backend: str) -> None:
        """Send an exchange on the connection used last, or on a new one."""
        upstream = self.upstreams.get(backend)
        if upstream is None or not upstream.open:
            return exchange.end(Status.CONNECT_FAILED)
        now = time.monotonic()
        least, most = exchange.idle or (0.0, self.idle_most)
        for connection in reversed(list(upstream.idle)):  # the one used last first
            idle = now - connection.idle_since
            if idle > min(self.idle_most, connection.lasts) or connection.stale():
                connection.close()
            elif least <= idle <= most:
                upstream.idle.remove(connection)
                return connection.start(exchange)
        if len(self.all) + len(self.connecting) >= self.most and not self._evict():
            # Guards the backend's name: the shortage is our own, so this must not look like its fault.
            complain("upstream", "all %d connections are in use", self.most)
            return exchange.end(Status.MOOT)
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
                # Running out of descriptors is an OSError like a refusal, but no fault of the backend.
                short = not task.cancelled() and getattr(error, "errno", None) in OWN_SHORTAGE
                if not task.cancelled() and not isinstance(error, OSError):
                    complain("upstream", "connecting failed: %r", error)
                if exchange.connection is None:
                    exchange.end(Status.MOOT if short else Status.CONNECT_FAILED)

        task.add_done_callback(connected)

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest, to make room for another backend's."""
        idle = [u.idle[0] for u in self.upstreams.values() if u.idle]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).close()
        return bool(idle)

    def close_idle(self, backend: str) -> None:
        """Close the unused connections to a backend."""
        if (upstream := self.upstreams.get(backend)) is not None:
            for connection in list(upstream.idle):
                connection.close()

    def sweep(self) -> None:
        """Drop what has been idle for long, before the backend does while a request is on its way.

        Also what is too much, where the bound was lowered meanwhile.
        """
        for _ in range(len(self.all) - self.most):  # those that are closed leave a moment later
            self._evict()
        now = time.monotonic()
        for connection in list(self.flowing):
            connection.overdue(now)
        oldest = now - self.idle_most
        for upstream in self.upstreams.values():
            for connection in list(upstream.idle):
                if connection.idle_since < oldest or now - connection.idle_since > connection.lasts:
                    connection.close()

    def close(self) -> None:
        """Close all connections at once."""
        for task in list(self.connecting):
            task.cancel()
        for connection in list(self.all):
            connection.close()


def load_report(data: bytes, fields: list[str]) -> list[float]:
    """The values of a load report in the order of the settings; nothing where it can't be read whole."""
    try:
        told = json.loads(data)
        values = [float(told[name]) for name in fields]
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        complain("report", "a load report can't be read")
        return []
    return values if all(0.0 <= v < 1e9 for v in values) else []
