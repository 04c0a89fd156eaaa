"""Client connections: reads requests, refuses what can't be trusted, writes each request's one answer.

Requests of one connection are served in turn.  Nothing that is malformed reaches a backend: the parser
is strict, and what the routing goes by is checked here before the host hears of a request.  A body too large
to hold goes on as it comes, and so does an answer.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from itertools import takewhile
from typing import TYPE_CHECKING

import httptools

from fennelpoint.net import flow
from fennelpoint.net.backends import HOP_BY_HOP, Answer, UpstreamConnection
from fennelpoint.net.flow import Upload, Waiting
from fennelpoint.net.request_fields import BadRequest, RequestReader

if TYPE_CHECKING:
    from fennelpoint.net.host import Asked, Host

MOST_HEAD = 16 * 1024  # bytes of request line and fields together
MOST_TAKEN = 512 * 1024  # bytes of one request as it comes, beyond its body and that one's usual framing
MOST_WAITING = 16  # requests written behind one another on one connection
MOST_BEHIND = 64 * 1024  # bytes of their bodies
WAITED_LEAST = 0.001  # s that a request has waited behind another before it is taken off its time
MOST_UNREAD = 128 * 1024  # bytes of answers that a client leaves unread before it is served no more
HEAD_TIMEOUT = 2.5  # s for a head to come whole, from the connect or its first byte; for a small body
BODY_SPAN, BODY_LEAST = 2.0, 16 * 1024  # of a large body: in so many s, so many bytes
IDLE_TIMEOUT = 5.0  # s that a connection may stand with nothing open
LINGER = 0.5  # s to read on after an error, so that its answer is not lost with a reset
LONG_LINGER = 3.0  # s after an answer that came before its request was whole
MOST_DRAINED = 1024 * 1024  # bytes read and dropped meanwhile, of what is no request
YOUNG = 0.25  # s that a new connection has to send its request before it may have to make room
TURN_AWAY = 1.0  # s after a drain before unused connections are closed: the front turns away meanwhile
DRAINED_IDLE = 0.5  # s that one has stood unused by then
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # as SO_LINGER

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Bounds:
    """What a client may send, and how long it may take over it."""

    head_bytes: int = MOST_HEAD
    body_bytes: int | None = None  # none: what any body may have
    head_time: float = HEAD_TIMEOUT  # s
    idle_time: float = IDLE_TIMEOUT  # s


@dataclass(slots=True, eq=False)
class Turn:
    """What is to be answered in its turn: a request, a fault, or the path that asks whether we are ready."""

    what: Asked | BadRequest | bytes
    keep: bool  # the connection stays after it
    old: bool = False  # its client knows no chunks
    since: float = 0.0  # when it was read; its time runs while it waits behind another


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client or front."""

    __slots__ = (
        "server",
        "budget",
        "transport",
        "parser",
        "waiting",
        "open",
        "deaf",
        "turn",
        "since",
        "head_size",
        "taken",
        "fresh",
        "method_url",
        "headers",
        "length",
        "body",
        "body_size",
        "upload",
        "uploading",
        "expects",
        "in_head",
        "in_body",
        "lost",
        "choked",
        "reading",
        "place",
        "patience",
        "source",
        "passing",
        "chunked",
        "framed",
        "moved",
        "moved_size",
        "__weakref__",
    )

    def __init__(self, server: Server) -> None:
        """A connection that `server` has accepted."""
        self.server, self.budget = server, server.host.backends.budget
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[Turn] = deque()
        self.open: int | None = None  # the id of the request that is being served
        self.deaf = False  # nothing more is read: an error was found, or the end announced
        self.turn: Turn | None = None  # the request at hand
        self.uploading: Turn | None = None  # the one whose large body is on its way
        self.lost = False
        self.choked = False  # the client does not read what it was sent
        self.reading = True
        self.source: UpstreamConnection | None = None  # of a large answer
        self.passing: Waiting | None = None  # what waits here of it
        self.chunked = False  # it goes out in chunks
        self.framed = True  # its end is told apart from the connection's
        self.moved, self.moved_size = 0.0, 0  # when a large body last got on, and how far
        self.patience = LINGER  # s that it is read on once it is told that it is closed
        self.place: dict[ClientConnection, None] | None = None  # the server's line that it stands in
        self.since = time.monotonic()  # when it fell idle, or the request at hand began
        self.in_head = self.in_body = False
        self._begin()

    def _begin(self) -> None:
        self.head_size = self.body_size = self.taken = 0
        self.length: int | None = None
        self.upload: Upload | None = None
        self.expects = False  # the client waits to be told to go on
        self.method_url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stand in line with those whose request is to come, and make room if there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MOST_UNREAD)
        self.server.connections.add(self)
        self._stand(self.server.coming)
        self.server.make_room()

    def _stand(self, place: dict[ClientConnection, None] | None) -> None:
        """Move to the end of the line for those in the same state: each is in the order of `since`."""
        if self.place is not None:
            self.place.pop(self, None)
        self.place = place
        if place is not None:
            self.since = time.monotonic()
            place[self] = None

    def pause_writing(self) -> None:
        """The client does not read what it was sent."""
        self.choked = True

    def resume_writing(self) -> None:
        """It reads again: serve on."""
        self.choked = False
        if self.passing is not None:
            self._look()
        self._next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next bytes are read to; all connections share it."""
        size = self.budget.piece()
        if self.in_body and self.upload is None:
            size = min(size, max(1, flow.HELD + 1 - self.body_size))  # no more of it is held
        return self.budget.buffer[:size]

    def buffer_updated(self, count: int) -> None:
        """Bytes of the client have come."""
        self.data_received(bytes(self.budget.buffer[:count]))

    def read_on(self, on: bool) -> None:
        """Whether there is room for more of the body."""
        if self.reading != on and not self.lost:
            self.reading = on
            self._mark()
            self.transport.resume_reading() if on else self.transport.pause_reading()

    def _mark(self) -> None:
        """A large body gets on, or it is not its peer that it waits for."""
        self.moved, self.moved_size = time.monotonic(), self.body_size

    def data_received(self, data: bytes) -> None:
        """Parse the bytes, and serve what is whole."""
        if self.deaf:
            self.taken += len(data)
            if (
                self.taken > (MOST_DRAINED if self.patience == LINGER else flow.MOST_LARGE)
                and self.place is self.server.leaving
            ):
                self.transport.abort()  # the answer is written; the rest is not worth the reading
            return
        self.fresh = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Only this protocol is spoken here, and whoever offers another has to do with that.
            if not self.deaf:
                self.parser = httptools.HttpRequestParser(self)
                return self.data_received(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self._fault(BadRequest(f"it can't be read: {error}"))
        if (self.in_head or self.in_body) and not self.fresh:  # a fresh one began within these bytes
            # Guards the memory: a field or trailer without an end is gathered by the parser, unseen here.
            self.taken += len(data)
            if self.in_head and self.taken > self.server.bounds.head_bytes:
                self._fault(BadRequest("the head is too long", 431))
            elif self.taken > MOST_TAKEN + flow.FRAMING * self.body_size:
                self._fault(BadRequest("it has no end", 413))
        if (self.in_head or self.in_body) and self.place is self.server.idle:
            self._stand(self.server.coming)  # its time to come whole runs from now
        self._next()

    # What the parser reads.  A fault found here ends the reading, but not before earlier requests' turn.

    def on_message_begin(self) -> None:
        """A request begins."""
        self._begin()
        self.in_head = self.fresh = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self.method_url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head."""
        if self.in_body or self.deaf:
            return  # a trailer: too late to count
        self.head_size += len(name) + len(value)
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check how the body is framed, and whether it may be so large."""
        self.in_head, self.in_body = False, True
        if self.deaf:
            return
        if self.head_size + len(self.method_url) > self.server.bounds.head_bytes:
            return self._fault(BadRequest("the head is too long", 431))
        length = coding = None
        for name, value in self.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                coding = value
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects = self.parser.get_http_version() == "1.1"
        if (coding is not None or length is not None) and self.parser.should_upgrade():
            # Guards the body: the parser would take none, and what follows for another protocol's bytes.
            return self._fault(BadRequest("its body comes with the wish for another protocol"))
        if coding is not None and (
            length is not None or coding.lower() != b"chunked" or self.parser.get_http_version() != "1.1"
        ):
            # Guards against a second request hidden in a body whose end others see elsewhere.
            return self._fault(BadRequest("its framing is ambiguous"))
        if length is not None and (not length.isdigit() or len(length) > 18):
            return self._fault(BadRequest("its length is none"))
        self.length = int(length) if length is not None else None
        if self.length is not None and self.length > self.server.most_body:
            return self._fault(BadRequest("its body is too large", 413))
        if self.place is self.server.coming:
            self._stand(self.server.coming)  # its body has a time of its own
        self._continue()

    def _continue(self) -> None:
        """Tell a client that waits for it to send its body, once no other answer is due before."""
        if self.expects and self.in_body and self.open is None and not (self.waiting or self.deaf):
            self.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Hold a part of the body, or pass it on where it is too large."""
        if self.deaf:
            return
        self.body_size += len(body)
        if self.body_size > self.server.most_body:
            return self._fault(BadRequest("its body is too large", 413))
        if self.upload is not None:
            return self.upload.feed(body)
        self.body.append(body)
        if self.body_size > flow.HELD:
            self._begin_upload()

    def _begin_upload(self) -> None:
        """The body is too large to hold: it goes on as it comes."""
        if self.budget.full:
            return self._fault(BadRequest("there is no room for its body now", 503))
        self.upload = Upload(self.budget, self.length, self.read_on, self.body)
        self.body = []
        try:
            asked = self.server.reader.read(
                self.parser.get_method(), self.method_url, self.headers, self.upload
            )
        except BadRequest as fault:
            self.upload.drop()
            self.read_on(True)
            return self._fault(fault)
        self.uploading = self._wait(Turn(asked, False, self._old()))

    def _old(self) -> bool:
        return self.parser.get_http_version() == "1.0"

    def on_message_complete(self) -> None:
        """The request is whole: it is served in its turn."""
        self.in_body = False
        if self.deaf:
            return
        keep, method = self.parser.should_keep_alive(), self.parser.get_method()
        if self.upload is not None:
            turn, self.uploading = self.uploading, None
            turn.keep = keep  # until now an answer would have been the last
            self.server.flowing.discard(self)
            self.upload.end()
        elif self.method_url == self.server.reader.ready_path and method == b"GET":
            self._wait(Turn(self.method_url, keep))
        else:
            try:
                asked = self.server.reader.read(method, self.method_url, self.headers, b"".join(self.body))
            except BadRequest as fault:
                return self._fault(fault)
            self._wait(Turn(asked, keep, self._old()))

    def _wait(self, turn: Turn) -> Turn:
        """It is served in its turn."""
        turn.since = time.monotonic()
        self.waiting.append(turn)
        if self.open is None and len(self.waiting) <= 1:
            return turn  # the usual client: one at a time
        behind = sum(len(t.what.body) for t in self.waiting if not isinstance(t.what, BadRequest | bytes))
        if len(self.waiting) > MOST_WAITING or behind > MOST_BEHIND:
            self.waiting.pop()
            self._drop(turn)
            self._fault(BadRequest("too many requests at once"))
        return turn

    def _fault(self, fault: BadRequest) -> None:
        if self.deaf:
            return
        self.deaf = True
        if (turn := self.uploading) is not None:
            # Its request is no request: what a backend has of it is not whole, and will never be.
            self.uploading = None
            turn.what.upload.drop()
            self.server.flowing.discard(self)
            self.read_on(True)
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn is self.turn and self.open is not None:
                request, self.open = self.open, None
                self.server.host.gone(request)
        self.waiting.append(Turn(fault, False))

    # Answers

    def _next(self) -> None:
        """Serve the next request, once the one before has its answer."""
        while self.waiting and self.open is None and not (self.lost or self.choked):
            self.turn = self.waiting.popleft()
            what = self.turn.what
            if isinstance(what, BadRequest):
                self._write(what.status, what.headers, f"{what}\n".encode(), keep=False)
            elif isinstance(what, bytes):
                status, text = (200, b"ready\n") if self.server.ready else (503, b"not ready\n")
                self._write(status, (), text, self.turn.keep)
            elif not self._has_time(what, time.monotonic() - self.turn.since):
                # It was never passed on, and won't be.
                self._drop(self.turn)
                self._write(503, (), b"its time was up before its turn\n", self.turn.keep)
            elif self.server.host.is_open(what.txn):
                # Guards against a second copy in another's name: an id is new with every request.
                self.server.host.doubled(what)
                self._write(409, (), b"this id is open\n", keep=False)
            else:
                self._stand(None)
                if self.turn is self.uploading:
                    self.server.flowing.add(self)
                    self._mark()
                self.open = -1  # in case the answer comes before the id is known
                request = self.server.host.admit(self, what)
                self.open = request if self.open == -1 else self.open
        self._continue()

    @staticmethod
    def _has_time(asked: Asked, waited: float) -> bool:
        """Take off the seconds that a request waited behind others; whether some of its time is left."""
        if waited >= WAITED_LEAST:
            asked.time_left -= waited
        return asked.time_left > 0.0

    def answered(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """The answer, as it is to go out."""
        self._answer(status, headers, body)

    def served(self, answer: Answer) -> None:
        """Answer with a backend's success."""
        self._answer(200, [f for f in answer.headers if f[0] not in HOP_BY_HOP], answer.body)

    def refused(self, retry_after: float) -> None:
        """Answer that it has not run, and when to come back (s; 0: not told)."""
        advice = [(b"retry-after", b"%.3f" % retry_after)] if retry_after > 0.0 else []
        self._answer(503, advice, b"refused: trying again is harmless\n")

    def failed(self) -> None:
        """Answer that it may have run, with no good answer."""
        self._answer(502, [], b"failed\n")

    def _answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.open = None
        if not self.lost:
            self._write(status, headers, body, self.turn.keep)
            self._then()

    def _then(self) -> None:
        if self.waiting:
            # Not at once: a line of requests that are refused in turn would nest ever deeper.
            self.server.loop.call_soon(self._next)
        self._continue()

    # A large answer, as it comes.

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """Write the head of a large answer, and what there is of its body."""
        self.source, self.passing = source, Waiting(self.budget, self.transport)
        self.chunked = length is None and not self.turn.old
        self.framed = self.chunked or length is not None
        if self._ends_here() or not self.framed:
            self.turn.keep = False  # where no length can be told, the end is the connection's
        lines = [b"HTTP/1.1 %d %b" % (answer.status, REASONS.get(answer.status, b"Answer"))]
        lines += [name + b": " + value for name, value in answer.headers if name not in HOP_BY_HOP]
        if self.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif length is not None:
            lines.append(b"content-length: %d" % length)
        if not self.turn.keep:
            lines.append(b"connection: close")
        self.server.flowing.add(self)
        self._mark()
        self.transport.set_write_buffer_limits(high=0)  # what waits is counted to the byte
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        self.piece(answer.body)

    def piece(self, data: bytes) -> None:
        """Write a part of a large answer."""
        if not self.lost:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)
            self._look()

    def _look(self) -> None:
        """Read on from the backend where little waits here."""
        before, waits = self.passing.size, self.passing.look()
        if waits < before or not self.choked:
            self._mark()
        self.source.read_on(waits <= self.budget.mark() or not self.choked)

    def finish(self) -> None:
        """A large answer is whole."""
        if not self.lost:
            if self.chunked:
                self.transport.write(b"0\r\n\r\n")
            keep = self.turn.keep and not self._ends_here() and not self.deaf
            self._leave_answer()
            self._settle(keep)
            self._then()

    def broken(self) -> None:
        """The rest of the answer won't come: the client sees that it ends too soon."""
        if not self.lost:
            self._leave_answer()
            if not self.framed:
                # A close alone might be the end of it: only a reset tells that it is not.
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                return self.transport.abort()
            self.deaf = True
            self._drop_waiting()
            self._stand(self.server.leaving)
            self.transport.close()

    def _leave_answer(self) -> None:
        self.open = None
        if self.passing is not None:
            self.passing.end()
            self.passing = self.source = None
            self.server.flowing.discard(self)
            self.transport.set_write_buffer_limits(high=MOST_UNREAD)

    def _write(self, status: int, headers, body: bytes, keep: bool) -> None:
        keep = keep and not self._ends_here()
        lines = [b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Answer"))]
        lines += [name + b": " + value for name, value in headers]
        lines.append(b"content-length: %d" % len(body))
        if not keep:
            lines.append(b"connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._settle(keep)

    def _ends_here(self) -> bool:
        """Whether the server drains and each request that was read here has its answer with this one."""
        return self.server.draining and not self.waiting

    def _settle(self, keep: bool) -> None:
        """An answer is written: wait for the next request, or leave."""
        if keep:
            self._stand(self.server.coming if self.in_head or self.in_body else self.server.idle)
        else:
            self._end()

    def _end(self) -> None:
        """Close after what is written; what still comes in is read and dropped for a while.

        Guards the answer: closing with unread bytes would reset the connection and take it along.
        """
        self.deaf, self.taken = True, 0
        if self.uploading is not None:  # what it still sends is dropped
            self.uploading, self.patience = None, LONG_LINGER
            self.server.flowing.discard(self)
        self.read_on(True)
        self._drop_waiting()
        self.headers, self.body = [], []
        self._stand(self.server.leaving)
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _drop_waiting(self) -> None:
        """Nothing more is served here; what is at hand, the host drops."""
        for turn in self.waiting:
            self._drop(turn)
        self.waiting.clear()

    @staticmethod
    def _drop(turn: Turn) -> None:
        """Hold nothing of its body, which counts for the memory of all."""
        if not isinstance(turn.what, BadRequest | bytes) and turn.what.upload is not None:
            turn.what.upload.drop()

    def eof_received(self) -> bool:
        """The client has closed its side: gone, and owed nothing more."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The client has left: drop what waits, and tell the host."""
        self.lost = self.deaf = True
        self.server.connections.discard(self)
        self.server.flowing.discard(self)
        self._stand(None)
        self._drop_waiting()
        if self.passing is not None:
            self.passing.end()
            self.passing = self.source = None
        if self.open is not None and self.open > 0:
            self.server.host.gone(self.open)
        self.open = None
        # Guards the memory: parser and protocol hold each other, and collections are rare.
        self.parser = None

    # Upkeep

    def unread(self) -> bool:
        """Whether something has come that the loop has not read yet: closing now would lose it."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def overdue(self) -> None:
        """A request that doesn't come whole is told off; nobody waits for one that never began."""
        if self.place is self.server.leaving and time.monotonic() - self.since < self.patience:
            return
        if self.choked or self.deaf:
            self.transport.abort()  # it does not read, so there is no telling it
        elif not (self.in_head or self.in_body):
            self.transport.close()
        else:
            self._fault(BadRequest("it has not come whole in time", 408))
            self._next()

    def check(self, now: float) -> None:
        """A large body that does not get on: its peer is given up, unless it is we who don't read."""
        if self.passing is not None:
            self._look()
            if now - self.moved > flow.STALLED:
                self.transport.abort()
        elif self.uploading is not None:
            if not self.reading or self.body_size - self.moved_size >= BODY_LEAST:
                self._mark()
            elif now - self.moved > BODY_SPAN:
                self._fault(BadRequest("it has not come whole in time", 408))
                self._next()


class Server:
    """The listening socket and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        most: int,
        reader: RequestReader,
        bounds: Bounds | None = None,
    ) -> None:
        """`most`: connections at a time; `reader` turns requests into what `host` is asked."""
        self.loop, self.host, self.most = loop, host, most
        self.reader, self.bounds = reader, bounds or Bounds()
        self.connections: set[ClientConnection] = set()
        # Those without a request that is open, in three lines, the oldest first; the others stand in none.
        self.coming: dict[ClientConnection, None] = {}  # new, or a request has begun to come
        self.idle: dict[ClientConnection, None] = {}  # answered, and kept
        self.leaving: dict[ClientConnection, None] = {}  # told that they are closed
        self.flowing: set[ClientConnection] = set()  # with a large body on its way
        self.stopping = False  # the process is about to end
        self.drained_at: float | None = None  # when operators sent the clients away
        self.listener: asyncio.Server | None = None

    @property
    def most_body(self) -> int:
        """The most bytes that a request's body may have."""
        return self.bounds.body_bytes or flow.MOST_LARGE

    @property
    def draining(self) -> bool:
        """Whether each answer is the last of its connection."""
        return self.stopping or self.drained_at is not None

    @property
    def ready(self) -> bool:
        """Whether the front may send clients here."""
        return self.listener is not None and self.host.ready and not self.draining

    async def listen(self, where: tuple[str, int] | socket.socket) -> None:
        """Accept at an address, or on a socket that listens already."""
        at = (
            {"sock": where}
            if isinstance(where, socket.socket)
            else {"host": where[0], "port": where[1], "reuse_address": True}
        )
        self.listener = await self.loop.create_server(lambda: ClientConnection(self), backlog=1024, **at)

    def make_room(self) -> None:
        """Close one connection when there are too many: one that is owed nothing, the oldest of its kind.

        Those that say nothing go before those that are kept, as they come by hundreds; one just opened has
        a moment to send its request.
        """
        if len(self.connections) <= self.most:
            return
        oldest = next(iter(self.coming))
        if self.leaving:
            next(iter(self.leaving)).transport.abort()
        elif oldest.since < time.monotonic() - YOUNG or not self.idle:
            oldest.transport.abort()
        else:
            next(iter(self.idle)).transport.close()

    def sweep(self) -> None:
        """Give up connections that have taken too long; to be called about twice a second."""
        now = time.monotonic()
        for connection in list(self.flowing):
            connection.check(now)
        for line, most in (
            (self.coming, self.bounds.head_time),
            (self.idle, self.bounds.idle_time),
            (self.leaving, LINGER),
        ):
            for connection in list(takewhile(lambda c: c.since < now - most, line)):  # noqa: B023
                connection.overdue()
        if self.drained_at is not None and now - self.drained_at >= TURN_AWAY:
            self.close_unused(now - DRAINED_IDLE)

    def drain(self) -> None:
        """Send the clients away; what is open is finished, and `activate` undoes it."""
        if self.drained_at is None:
            self.drained_at = time.monotonic()

    def activate(self) -> None:
        """Undo `drain`."""
        self.drained_at = None

    def close_unused(self, before: float) -> None:
        """Close the connections without a request that have stood since then or longer."""
        for line in (self.idle, self.coming):
            for connection in list(takewhile(lambda c: c.since < before, line)):
                if not (connection.in_head or connection.in_body or connection.unread()):
                    connection.transport.close()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Close all connections at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()
