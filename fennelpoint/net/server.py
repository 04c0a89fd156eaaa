"""HTTP server for clients: parses and validates requests, and writes exactly one answer to each.

Requests of one connection are served in order. The parser is strict, and the fields used for routing are
validated before the host sees a request, so nothing malformed reaches a backend. Bodies too large to buffer
are streamed in both directions.
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
from fennelpoint.net.flow import Upload, WriteBufferAccount
from fennelpoint.net.request_fields import BadRequest, RequestReader

if TYPE_CHECKING:
    from fennelpoint.net.host import Host, ParsedRequest

MAX_HEAD_BYTES = 16 * 1024  # request line and header fields together
MAX_REQUEST_OVERHEAD_BYTES = 512 * 1024  # of one request, beyond its body and its framing
MAX_PIPELINED_REQUESTS = 16  # waiting on one connection
MAX_PIPELINED_BODY_BYTES = 64 * 1024  # of all pipelined requests together
MIN_QUEUE_WAIT_S = 0.001  # a shorter wait in the pipeline is not deducted from the request's time
MAX_UNSENT_BYTES = 128 * 1024  # unsent answer data at which a connection is not served further
HEAD_TIMEOUT_S = 2.5  # for a head or a small body to arrive, from the connect or the first byte
# Minimum progress of a large body per interval.
BODY_PROGRESS_INTERVAL_S, MIN_BODY_PROGRESS_BYTES = 2.0, 16 * 1024
IDLE_TIMEOUT_S = 5.0  # without an open request
LINGER_S = 0.5  # to read on after an error: closing at once could reset the connection and lose the answer
INCOMPLETE_LINGER_S = 3.0  # after an answer that was sent before the request had arrived completely
MAX_DISCARDED_BYTES = 1024 * 1024  # while lingering after an error
NEW_CONNECTION_GRACE_S = 0.25  # for a new connection to send its request before it may be evicted
# After a drain, the load balancer has this long to redirect clients before unused connections are closed.
DRAIN_CLOSE_DELAY_S = 1.0
DRAIN_MIN_IDLE_S = 0.5  # minimum idle time of connections closed by a drain
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER
TIMEOUT_STATUS = 408  # promises, like a refusal, that the request has not run
FAILED_STATUS = 502  # the request may have run

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class ClientLimits:
    """Limits for requests of clients."""

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int | None = None  # None: the limit for any body
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request waiting for its turn, or an error or a readiness check to answer in its turn."""

    content: ParsedRequest | BadRequest | bytes
    keep_alive: bool  # whether the connection stays open after the answer
    is_http_1_0: bool = False  # the client does not support chunked encoding
    queued_at: float = 0.0  # the request's time runs while it waits behind another


class ClientConnection(asyncio.BufferedProtocol):
    """Connection of a client, or of a load balancer in front of the ingress."""

    __slots__ = (
        "server",
        "budget",
        "transport",
        "parser",
        "queue",
        "open_request",
        "is_input_closed",
        "current",
        "state_since",
        "head_bytes",
        "received_bytes",
        "began_in_this_read",
        "target",
        "headers",
        "length",
        "body",
        "body_bytes",
        "upload",
        "uploading",
        "expects_continue",
        "in_head",
        "in_body",
        "is_lost",
        "is_write_paused",
        "is_reading",
        "state_list",
        "linger_s",
        "source",
        "write_account",
        "is_chunked",
        "has_framing",
        "progress_at",
        "progress_bytes",
        "__weakref__",
    )

    def __init__(self, server: Server) -> None:
        """`server`: the server that has accepted the connection."""
        self.server, self.budget = server, server.host.backends.budget
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[QueuedRequest] = deque()
        self.open_request: int | None = None  # id of the request being served
        self.is_input_closed = False  # no further input is parsed, after an error or an announced close
        self.current: QueuedRequest | None = None  # the request being served
        self.uploading: QueuedRequest | None = None  # the request whose large body is arriving
        self.is_lost = False
        self.is_write_paused = False  # the client does not read its answers
        self.is_reading = True
        self.source: UpstreamConnection | None = None  # connection of the streamed answer
        self.write_account: WriteBufferAccount | None = None  # of the streamed answer
        self.is_chunked = False  # the streamed answer uses chunked encoding
        self.has_framing = True  # the end of the answer does not depend on the close of the connection
        # Time of the last progress of a large body, and its size at that time.
        self.progress_at, self.progress_bytes = 0.0, 0
        self.linger_s = LINGER_S  # time to read on after the final answer
        # The list of the server that the connection is in, if any.
        self.state_list: dict[ClientConnection, None] | None = None
        self.state_since = time.monotonic()  # when it entered its list
        self.in_head = self.in_body = False
        self._reset_request()

    def _reset_request(self) -> None:
        self.head_bytes = self.body_bytes = self.received_bytes = 0
        self.length: int | None = None
        self.upload: Upload | None = None
        self.expects_continue = False  # the client waits for 100 Continue
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection, and close another one if there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.server.connections.add(self)
        self._move_to(self.server.receiving)
        self.server.evict_excess()

    def _move_to(self, state_list: dict[ClientConnection, None] | None) -> None:
        """Move to the end of a list of the server; each list is ordered by `state_since`."""
        if self.state_list is not None:
            self.state_list.pop(self, None)
        self.state_list = state_list
        if state_list is not None:
            self.state_since = time.monotonic()
            state_list[self] = None

    def pause_writing(self) -> None:
        """The write buffer is full: the client does not read."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """The client reads again: continue serving."""
        self.is_write_paused = False
        if self.write_account is not None:
            self._update_backpressure()
        self._serve_next()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the read buffer, which all connections share."""
        size = self.budget.read_size()
        if self.in_body and self.upload is None:
            # A larger body is streamed.
            size = min(size, max(1, flow.MAX_BUFFERED_BODY_BYTES + 1 - self.body_bytes))
        return self.budget.read_buffer[:size]

    def buffer_updated(self, count: int) -> None:
        """Process data of the client."""
        self.data_received(bytes(self.budget.read_buffer[:count]))

    def set_reading(self, enabled: bool) -> None:
        """Resume or pause reading the body."""
        if self.is_reading != enabled and not self.is_lost:
            self.is_reading = enabled
            self._mark_progress()
            self.transport.resume_reading() if enabled else self.transport.pause_reading()

    def _mark_progress(self) -> None:
        """Record progress of a large body, or that the delay is not its peer's fault."""
        self.progress_at, self.progress_bytes = time.monotonic(), self.body_bytes

    def data_received(self, data: bytes) -> None:
        """Parse data, and serve complete requests."""
        if self.is_input_closed:
            self.received_bytes += len(data)
            if (
                self.received_bytes
                > (MAX_DISCARDED_BYTES if self.linger_s == LINGER_S else flow.MAX_BODY_BYTES)
                and self.state_list is self.server.lingering
            ):
                self.transport.abort()  # the answer is written; further input is not worth reading
            return
        self.began_in_this_read = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # Upgrades are not supported and are ignored.
            if not self.is_input_closed:
                self.parser = httptools.HttpRequestParser(self)
                return self.data_received(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self._reject(BadRequest(f"it can't be read: {error}"))
        if (self.in_head or self.in_body) and not self.began_in_this_read:
            # The parser buffers endless fields and trailers without telling, so its input is limited. Data in
            # which the request began is not counted: some of it may belong to the previous request.
            self.received_bytes += len(data)
            if self.in_head and self.received_bytes > self.server.limits.head_bytes:
                self._reject(BadRequest("the head is too long", 431))
            elif self.received_bytes > MAX_REQUEST_OVERHEAD_BYTES + flow.MAX_FRAMING_FACTOR * self.body_bytes:
                self._reject(BadRequest("it has no end", 413))
        if (self.in_head or self.in_body) and self.state_list is self.server.idle:
            self._move_to(self.server.receiving)  # the time limit for the request starts now
        self._serve_next()

    # Parser callbacks. An error found here ends parsing, but is answered after the earlier requests.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_request()
        self.in_head = self.began_in_this_read = True

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field."""
        if self.in_body or self.is_input_closed:
            return  # trailers are ignored
        self.head_bytes += len(name) + len(value)
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the framing and the size of the body."""
        self.in_head, self.in_body = False, True
        if self.is_input_closed:
            return
        if self.head_bytes + len(self.target) > self.server.limits.head_bytes:
            return self._reject(BadRequest("the head is too long", 431))
        length = coding = None
        for name, value in self.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                coding = value
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = self.parser.get_http_version() == "1.1"
        if (coding is not None or length is not None) and self.parser.should_upgrade():
            # The parser would skip the body and treat it as data of the other protocol.
            return self._reject(BadRequest("its body comes with the wish for another protocol"))
        if coding is not None and (
            length is not None or coding.lower() != b"chunked" or self.parser.get_http_version() != "1.1"
        ):
            # Prevents request smuggling: recipients may disagree on where the body ends.
            return self._reject(BadRequest("its framing is ambiguous"))
        if length is not None and (not length.isdigit() or len(length) > 18):
            return self._reject(BadRequest("its length is none"))
        self.length = int(length) if length is not None else None
        if self.length is not None and self.length > self.server.max_body_bytes:
            return self._reject(BadRequest("its body is too large", 413))
        if self.state_list is self.server.receiving:
            self._move_to(self.server.receiving)  # the body has a time limit of its own
        self._send_continue()

    def _send_continue(self) -> None:
        """Send 100 Continue if the client expects it and no earlier answer is outstanding."""
        if (
            self.expects_continue
            and self.in_body
            and self.open_request is None
            and not (self.queue or self.is_input_closed)
        ):
            self.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, or stream it if it is large."""
        if self.is_input_closed:
            return
        self.body_bytes += len(body)
        if self.body_bytes > self.server.max_body_bytes:
            return self._reject(BadRequest("its body is too large", 413))
        if self.upload is not None:
            return self.upload.feed(body)
        self.body.append(body)
        if self.body_bytes > flow.MAX_BUFFERED_BODY_BYTES:
            self._begin_upload()

    def _begin_upload(self) -> None:
        """Start streaming a body that is too large to buffer."""
        if self.budget.is_full:
            return self._reject(BadRequest("there is no room for its body now", 503))
        self.upload = Upload(self.budget, self.length, self.set_reading, self.body)
        self.body = []
        try:
            parsed = self.server.reader.read(self.parser.get_method(), self.target, self.headers, self.upload)
        except BadRequest as fault:
            self.upload.discard_buffer()
            self.set_reading(True)
            return self._reject(fault)
        self.uploading = self._enqueue(QueuedRequest(parsed, False, self._is_http_1_0()))

    def _is_http_1_0(self) -> bool:
        return self.parser.get_http_version() == "1.0"

    def on_message_complete(self) -> None:
        """The request is complete: queue it."""
        self.in_body = False
        if self.is_input_closed:
            return
        keep_alive, method = self.parser.should_keep_alive(), self.parser.get_method()
        if self.upload is not None:
            queued, self.uploading = self.uploading, None
            if not (queued is self.current and self.is_streaming_answer):
                # Until now, an answer would have closed the connection, as the body was incomplete.
                queued.keep_alive = keep_alive
            if not self.is_streaming_answer:
                self.server.streaming.discard(self)
            self.upload.feed_eof()
        elif self.target == self.server.reader.ready_path and method == b"GET":
            self._enqueue(QueuedRequest(self.target, keep_alive))
        else:
            try:
                parsed = self.server.reader.read(method, self.target, self.headers, b"".join(self.body))
            except BadRequest as fault:
                return self._reject(fault)
            self._enqueue(QueuedRequest(parsed, keep_alive, self._is_http_1_0()))

    def _enqueue(self, queued: QueuedRequest) -> QueuedRequest:
        """Queue a request; too many pipelined requests are an error."""
        queued.queued_at = time.monotonic()
        self.queue.append(queued)
        if self.open_request is None and len(self.queue) <= 1:
            return queued  # the usual case: no pipelining
        queued_bytes = sum(
            len(waiting.content.body)
            for waiting in self.queue
            if not isinstance(waiting.content, BadRequest | bytes)
        )
        if len(self.queue) > MAX_PIPELINED_REQUESTS or queued_bytes > MAX_PIPELINED_BODY_BYTES:
            self.queue.pop()
            self._discard_body(queued)
            self._reject(BadRequest("too many requests at once"))
        return queued

    def _reject(self, fault: BadRequest) -> None:
        if self.is_input_closed:
            return
        self.is_input_closed = True
        if (queued := self.uploading) is not None:
            # The request is aborted: a backend has received only a part of it.
            self.uploading = None
            queued.content.upload.discard_buffer()
            self.set_reading(True)
            if queued is self.current and self.is_streaming_answer:
                return  # its answer goes on, and the connection is closed after it
            self.server.streaming.discard(self)
            if queued in self.queue:
                self.queue.remove(queued)
            elif queued is self.current and self.open_request is not None:
                request_id, self.open_request = self.open_request, None
                if fault.status == TIMEOUT_STATUS and self.server.host.may_have_run(request_id):
                    fault = BadRequest(str(fault), FAILED_STATUS)
                self.server.host.client_gone(request_id)
        self.queue.append(QueuedRequest(fault, False))

    # Answers

    def _serve_next(self) -> None:
        """Serve the next request, once the previous one is answered."""
        while self.queue and self.open_request is None and not (self.is_lost or self.is_write_paused):
            self.current = self.queue.popleft()
            content = self.current.content
            if isinstance(content, BadRequest):
                self._write_answer(content.status, content.headers, f"{content}\n".encode(), keep_alive=False)
            elif isinstance(content, bytes):
                status, text = (200, b"ready\n") if self.server.ready else (503, b"not ready\n")
                self._write_answer(status, (), text, self.current.keep_alive)
            elif not self._subtract_wait(content, time.monotonic() - self.current.queued_at):
                # It was never forwarded.
                self._discard_body(self.current)
                self._write_answer(503, (), b"its time was up before its turn\n", self.current.keep_alive)
            elif self.server.host.is_open(content.txn):
                # Request ids must be unique: this may be a duplicate sent by someone else.
                self.server.host.report_duplicate(content)
                self._write_answer(409, (), b"this id is open\n", keep_alive=False)
            else:
                self._move_to(None)
                if self.current is self.uploading:
                    self.server.streaming.add(self)
                    self._mark_progress()
                self.open_request = -1  # the answer may come before `admit` returns
                request_id = self.server.host.admit(self, content)
                self.open_request = request_id if self.open_request == -1 else self.open_request
        self._send_continue()

    @staticmethod
    def _subtract_wait(parsed: ParsedRequest, waited_s: float) -> bool:
        """Deduct the waiting time in the pipeline; returns whether any time is left."""
        if waited_s >= MIN_QUEUE_WAIT_S:
            parsed.time_left -= waited_s
        return parsed.time_left > 0.0

    def send_answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send an answer."""
        self._answer_current(status, headers, body)

    def send_success(self, answer: Answer) -> None:
        """Forward a backend's successful answer."""
        self._answer_current(
            200, [field for field in answer.headers if field[0] not in HOP_BY_HOP], answer.body
        )

    def send_refusal(self, retry_after: float) -> None:
        """Answer that the request has not run; `retry_after` in seconds, 0 for none."""
        headers = [(b"retry-after", b"%.3f" % retry_after)] if retry_after > 0.0 else []
        self._answer_current(503, headers, b"refused: trying again is harmless\n")

    def send_failure(self) -> None:
        """Answer that the request failed and may have run."""
        self._answer_current(502, [], b"failed\n")

    def _answer_current(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.open_request = None
        if not self.is_lost:
            self._write_answer(status, headers, body, self.current.keep_alive)
            self._continue_serving()

    def _continue_serving(self) -> None:
        if self.queue:
            # Not directly: many refused requests in a row would recurse deeply.
            self.server.loop.call_soon(self._serve_next)
        self._send_continue()

    # Streamed answers

    @property
    def is_streaming_answer(self) -> bool:
        """Whether the answer to the current request is being streamed."""
        return self.write_account is not None

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """Send the head of a streamed answer and the first part of its body."""
        self.source, self.write_account = source, WriteBufferAccount(self.budget, self.transport)
        self.is_chunked = length is None and not self.current.is_http_1_0
        self.has_framing = self.is_chunked or length is not None
        if self._is_last_answer() or not self.has_framing:
            self.current.keep_alive = False  # without known length, the close ends the answer
        lines = [b"HTTP/1.1 %d %b" % (answer.status, REASON_PHRASES.get(answer.status, b"Answer"))]
        lines += [name + b": " + value for name, value in answer.headers if name not in HOP_BY_HOP]
        if self.is_chunked:
            lines.append(b"transfer-encoding: chunked")
        elif length is not None:
            lines.append(b"content-length: %d" % length)
        if not self.current.keep_alive:
            lines.append(b"connection: close")
        self.server.streaming.add(self)
        self._mark_progress()
        self.transport.set_write_buffer_limits(high=0)  # the write buffer is charged exactly
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        self.write_body(answer.body)

    def write_body(self, data: bytes) -> None:
        """Write a part of a streamed answer."""
        if not self.is_lost:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self.is_chunked else data)
            self._update_backpressure()

    def _update_backpressure(self) -> None:
        """Resume or pause reading from the backend by the size of the write buffer."""
        previous_size, size = self.write_account.size, self.write_account.update()
        if size < previous_size or not self.is_write_paused:
            self._mark_progress()
        self.source.set_reading(size <= self.budget.high_water_mark() or not self.is_write_paused)

    def finish(self) -> None:
        """End a streamed answer."""
        if not self.is_lost:
            if self.is_chunked:
                self.transport.write(b"0\r\n\r\n")
            keep_alive = self.current.keep_alive and not self._is_last_answer() and not self.is_input_closed
            self._end_stream()
            self._await_next_or_close(keep_alive)
            self._continue_serving()

    def abort(self) -> None:
        """Abort a streamed answer, so that the client can tell that it is incomplete."""
        if not self.is_lost:
            self._end_stream()
            if not self.has_framing:
                # A normal close would look like the end of the answer; a reset does not.
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                return self.transport.abort()
            self.is_input_closed = True
            self._discard_queue()
            self._move_to(self.server.lingering)
            self.transport.close()

    def _end_stream(self) -> None:
        self.open_request = None
        if self.write_account is not None:
            self.write_account.release()
            self.write_account = self.source = None
            self.server.streaming.discard(self)
            self.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def _write_answer(self, status: int, headers, body: bytes, keep_alive: bool) -> None:
        keep_alive = keep_alive and not self._is_last_answer()
        lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b"Answer"))]
        lines += [name + b": " + value for name, value in headers]
        lines.append(b"content-length: %d" % len(body))
        if not keep_alive:
            lines.append(b"connection: close")
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._await_next_or_close(keep_alive)

    def _is_last_answer(self) -> bool:
        """Whether the server is draining and this is the answer to the last request received."""
        return self.server.draining and not self.queue

    def _await_next_or_close(self, keep_alive: bool) -> None:
        """After an answer: wait for the next request, or shut down."""
        if keep_alive:
            self._move_to(self.server.receiving if self.in_head or self.in_body else self.server.idle)
        else:
            self._shut_down()

    def _shut_down(self) -> None:
        """Close after the pending data is written; further input is read and discarded for a while.

        Closing with unread input would reset the connection, and the client could lose the answer.
        """
        self.is_input_closed, self.received_bytes = True, 0
        if self.uploading is not None:  # the rest of the upload is discarded
            self.uploading, self.linger_s = None, INCOMPLETE_LINGER_S
            self.server.streaming.discard(self)
        self.set_reading(True)
        self._discard_queue()
        self.headers, self.body = [], []
        self._move_to(self.server.lingering)
        if self.transport.can_write_eof():
            self.transport.write_eof()

    def _discard_queue(self) -> None:
        """Discard the queued requests; the host handles the one being served."""
        for queued in self.queue:
            self._discard_body(queued)
        self.queue.clear()

    @staticmethod
    def _discard_body(queued: QueuedRequest) -> None:
        """Release the buffered body of a request."""
        if not isinstance(queued.content, BadRequest | bytes) and queued.content.upload is not None:
            queued.content.upload.discard_buffer()

    def eof_received(self) -> bool:
        """Close when the client has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Clean up, and tell the host that the client has left."""
        self.is_lost = self.is_input_closed = True
        self.server.connections.discard(self)
        self.server.streaming.discard(self)
        self._move_to(None)
        self._discard_queue()
        if self.write_account is not None:
            self.write_account.release()
            self.write_account = self.source = None
        if self.open_request is not None and self.open_request > 0:
            self.server.host.client_gone(self.open_request)
        self.open_request = None
        # Breaks the reference cycle between parser and protocol.
        self.parser = None

    # Maintenance

    def has_unread_bytes(self) -> bool:
        """Whether input has arrived that the event loop has not read yet; closing now would lose it."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def time_out(self) -> None:
        """Time out: answer 408 to an incomplete request, close a connection without one."""
        if self.state_list is self.server.lingering and time.monotonic() - self.state_since < self.linger_s:
            return
        if self.is_write_paused or self.is_input_closed:
            self.transport.abort()  # the client does not read, so no answer can be sent
        elif not (self.in_head or self.in_body):
            self.transport.close()
        else:
            self._reject(BadRequest("it has not come whole in time", TIMEOUT_STATUS))
            self._serve_next()

    def check_progress(self, now: float) -> None:
        """Give up a large body that makes no progress, unless reading is paused on this side."""
        if self.write_account is not None:
            self._update_backpressure()
            if now - self.progress_at > flow.STREAM_STALL_TIMEOUT_S:
                self.transport.abort()
        elif self.uploading is not None:
            if not self.is_reading or self.body_bytes - self.progress_bytes >= MIN_BODY_PROGRESS_BYTES:
                self._mark_progress()
            elif now - self.progress_at > BODY_PROGRESS_INTERVAL_S:
                self._reject(BadRequest("it has not come whole in time", TIMEOUT_STATUS))
                self._serve_next()


class Server:
    """Listening socket and client connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        max_connections: int,
        reader: RequestReader,
        limits: ClientLimits | None = None,
    ) -> None:
        """`max_connections`: open at a time; `reader` parses requests for `host`."""
        self.loop, self.host, self.max_connections = loop, host, max_connections
        self.reader, self.limits = reader, limits or ClientLimits()
        self.connections: set[ClientConnection] = set()
        # Connections without an open request are in one of these lists, the oldest first.
        # New connections, and those with a request arriving:
        self.receiving: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}  # waiting for the next request
        # Final answer sent, reading on until the client closes:
        self.lingering: dict[ClientConnection, None] = {}
        self.streaming: set[ClientConnection] = set()  # with a large body in progress
        self.stopping = False  # the process is about to end
        self.drained_at: float | None = None  # when operators drained the ingress
        self.listener: asyncio.Server | None = None

    @property
    def max_body_bytes(self) -> int:
        """Size limit for request bodies."""
        return self.limits.body_bytes or flow.MAX_BODY_BYTES

    @property
    def draining(self) -> bool:
        """Whether each answer closes its connection."""
        return self.stopping or self.drained_at is not None

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send clients here."""
        return self.listener is not None and self.host.ready and not self.draining

    async def listen(self, address_or_socket: tuple[str, int] | socket.socket) -> None:
        """Accept connections at an address or on a listening socket."""
        arguments = (
            {"sock": address_or_socket}
            if isinstance(address_or_socket, socket.socket)
            else {"host": address_or_socket[0], "port": address_or_socket[1], "reuse_address": True}
        )
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), backlog=1024, **arguments
        )

    def evict_excess(self) -> None:
        """Close one connection if there are too many, the oldest of a kind that has no open request.

        Silent connections are closed before kept-alive ones, as they may come in masses; a new connection
        gets some time to send its request.
        """
        if len(self.connections) <= self.max_connections:
            return
        oldest = next(iter(self.receiving))
        if self.lingering:
            next(iter(self.lingering)).transport.abort()
        elif oldest.state_since < time.monotonic() - NEW_CONNECTION_GRACE_S or not self.idle:
            oldest.transport.abort()
        else:
            next(iter(self.idle)).transport.close()

    def sweep(self) -> None:
        """Time out connections; to be called about twice a second."""
        now = time.monotonic()
        for connection in list(self.streaming):
            connection.check_progress(now)
        for group, limit_s in (
            (self.receiving, self.limits.head_timeout_s),
            (self.idle, self.limits.idle_timeout_s),
            (self.lingering, LINGER_S),
        ):
            for connection in list(takewhile(lambda each: each.state_since < now - limit_s, group)):  # noqa: B023
                connection.time_out()
        if self.drained_at is not None and now - self.drained_at >= DRAIN_CLOSE_DELAY_S:
            self.close_unused(now - DRAIN_MIN_IDLE_S)

    def drain(self) -> None:
        """Ask clients to leave; open requests are finished. Can be undone by `activate`."""
        if self.drained_at is None:
            self.drained_at = time.monotonic()

    def activate(self) -> None:
        """Undo `drain`."""
        self.drained_at = None

    def close_unused(self, unused_since: float) -> None:
        """Close connections without a request that have been unused since `unused_since`."""
        for connections in (self.idle, self.receiving):
            for connection in list(takewhile(lambda each: each.state_since < unused_since, connections)):
                if not (connection.in_head or connection.in_body or connection.has_unread_bytes()):
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
