"""Answers of servers, as bytes that are fed to a connection without a socket."""

import os
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from crowseam.gateway.gateway import UNSAFE_IDLE_RANGE_S
from crowseam.gateway.http_dialect import ServerDialect, parse_server_load
from fennelpoint.interface import BackendEntry, BackendState, Roster, RosterKind, Status
from fennelpoint.net import backends, flow
from fennelpoint.net.backends import BackendPool, Dialect, Exchange

BODY = b"the server's bytes"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def answer(status=200, txn=b"one", body=BODY, fields=b"", seal=True, framing=None):
    framing = b"Content-Length: %d\r\n" % len(body) if framing is None else framing
    return b"HTTP/1.1 %d Answer\r\nX-Attempt-Id: %b\r\n%b%b%b\r\n%b" % (
        status,
        txn,
        b"X-Server-Seal: s.1\r\n" if seal else b"",
        fields,
        framing,
        body,
    )


class Transport:
    """Records what is written and whether it is closed; with `slow`, writes stay in the buffer."""

    def __init__(self, fd, slow):
        self.fd, self.slow, self.written, self.closed, self.protocol = fd, slow, b"", False, None

    def set_write_buffer_limits(self, high):
        pass

    def get_extra_info(self, name):
        return SimpleNamespace(fileno=lambda: self.fd)

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data
        if self.slow:
            self.protocol.pause_writing()

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = True

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class Task:
    """A connection that is being established."""

    def __init__(self, factory):
        self.factory, self.done = factory, None

    def add_done_callback(self, done):
        self.done = done

    def cancel(self):
        pass

    def cancelled(self):
        return False

    def exception(self):
        return None


class Loop:
    """Connections are established and timers fire when the test says so."""

    def __init__(self):
        self.coming, self.timers = [], []

    def create_connection(self, factory, host, port):
        return factory

    def create_task(self, factory):
        self.coming.append(Task(factory))
        return self.coming[-1]

    def call_later(self, delay, call, *args):
        self.timers.append((delay, call, args))
        return SimpleNamespace(cancel=lambda: None)


class Case(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        clock = SimpleNamespace(monotonic=lambda: self.now)
        for patch in (mock.patch.object(backends, "time", clock), mock.patch.object(backends, "warn_rate_limited")):
            patch.start()
            self.addCleanup(patch.stop)
        self.ready_fd, self.ready_write_fd = os.pipe()  # stands in for the socket when its readiness is checked
        self.addCleanup(os.close, self.ready_fd)
        self.addCleanup(os.close, self.ready_write_fd)
        self.loop = Loop()
        self.pool = BackendPool(self.loop, 4, 0.3, 8.0, 4.0, flow.BufferBudget(128), ServerDialect())
        self.state(BackendState.READY)
        self.ended = []

    def state(self, state):
        self.pool.apply_roster(Roster(RosterKind.CHANGES, 0, [BackendEntry("s", state)]), {"s": ("10.0.0.1", 80)})

    def begin(self, txn=b"one", unsafe=False, receiver=None, upload=None, silent=None):
        exchange = Exchange(
            lambda: b"GET / HTTP/1.1\r\n\r\n",
            lambda *ended: self.ended.append(ended),
            upload=upload,
            receiver=receiver,
            expected_id=txn,
            idle_range_s=UNSAFE_IDLE_RANGE_S if unsafe else None,
            on_stall=silent,
        )
        self.pool.begin(exchange, "s")
        return exchange

    def connect(self, slow=False):
        """Establish the connection that was requested last."""
        task = self.loop.coming.pop()
        transport = Transport(self.ready_fd, slow)
        transport.protocol = connection = task.factory()
        connection.connection_made(transport)
        task.done(task)
        return connection

    def feed(self, connection, *pieces):
        for data in pieces:
            if connection.transport.closed:
                return
            connection.get_buffer(-1)[: len(data)] = data
            connection.buffer_updated(len(data))

    def exchange(self, *pieces, **options):
        """Send a request on a new connection, and feed its answer."""
        for old in list(self.pool.connections):
            old.close()
            old.connection_lost(None)
        self.begin(**options)
        connection = self.connect()
        self.feed(connection, *pieces)
        return connection

    def lose(self, connection):
        if not connection.transport.closed:
            connection.eof_received()
        connection.connection_lost(None)

    def outcome(self):
        self.assertEqual(len(self.ended), 1)
        status, got = self.ended.pop()
        return status, got.body if got is not None else None

    @property
    def kept(self):
        return len(self.pool.upstreams["s"].idle)


class Verdicts(Case):
    def test_outcome_of_an_answer(self):
        def coded(status, fields=b""):
            return answer(status, fields=fields, seal=False, body=b"x")

        cases = [
            (answer(), Status.OK, BODY),
            (answer(201, body=b""), Status.OK, b""),
            (answer(framing=CHUNKED, body=b"5\r\nwhole\r\n0\r\n\r\n"), Status.OK, b"whole"),
            (b"HTTP/1.1 100 Continue\r\n\r\n" + answer(), Status.OK, BODY),
            (answer(seal=False), Status.ERROR, None),
            (answer(fields=b"Content-Encoding: gzip\r\n"), Status.ERROR, None),
            (answer(framing=b""), Status.ERROR, None),
            (answer(302), Status.ERROR, None),
            (coded(500), Status.ERROR, b"x"),
            (coded(503), Status.ERROR, b"x"),
            (coded(503, b"X-Not-Run: 1\r\n"), Status.FULL, b"x"),
            (coded(429, b"X-NOT-RUN: full\r\n"), Status.FULL, b"x"),
            (coded(400, b"X-Not-Run: \r\n"), Status.FULL, b"x"),
            (coded(421), Status.FULL, b"x"),
            (b"no answer at all\r\n\r\n", Status.ERROR, None),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", Status.ERROR, None),
            (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Status.ERROR, None),
            (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 60_000 + b"z" * 60_000 + b"y" * 60_000, Status.ERROR, None),
        ]
        for data, status, body in cases:
            with self.subTest(data[:90]):
                self.exchange(*(data[at : at + 50_000] for at in range(0, len(data), 50_000)))
                self.assertEqual(self.outcome(), (status, body))

    def test_an_answer_before_the_request_is_written_proves_what_it_says(self):
        """Guards against a failure in place of an early answer, and a promise that its request has not run."""
        # The protocol of menu servers says that they start on a request once they have all of it.
        for data, status, status_of_menu_server in (
            (answer(), Status.OK, Status.CONNECT_FAILED),
            (answer(seal=False), Status.ERROR, Status.CONNECT_FAILED),
            (answer(500), Status.ERROR, Status.CONNECT_FAILED),
            (answer(503, fields=b"X-Not-Run: 1\r\n"), Status.FULL, Status.CONNECT_FAILED),
            (answer(503, fields=b"X-Turned-Away: 1\r\n"), Status.ERROR, Status.FULL),
            (b"noise\r\n\r\n", Status.ERROR, Status.CONNECT_FAILED),
        ):
            for dialect, expected in ((ServerDialect(), status), (Dialect(), status_of_menu_server)):
                with self.subTest(data[:40], dialect=type(dialect).__name__):
                    self.pool.dialect = dialect
                    self.begin()
                    connection = self.connect(slow=True)
                    self.feed(connection, data)
                    self.assertEqual(self.outcome()[0], expected)
                    self.assertTrue(connection.transport.closed)
                    connection.connection_lost(None)

    def test_a_truncated_answer_is_a_reset(self):
        whole = answer()
        chunked = answer(framing=CHUNKED, body=b"5\r\nwhole\r\n0\r\n\r\n")
        for data in (whole, chunked, answer(500), answer(503, fields=b"X-Not-Run: 1\r\n")):
            for at in range(len(data)):
                self.lose(self.exchange(data[:at]))
                self.assertEqual(self.outcome(), (Status.RESET, None), data[:at])

    def test_a_stalled_answer_fails_before_the_deadline(self):
        self.exchange(answer()[:-1])
        self.now += self.pool.answer_stall_timeout_s
        delay, call, args = self.loop.timers[-1]
        call(*args)
        self.assertEqual((self.outcome(), delay), ((Status.ERROR, None), self.pool.answer_stall_timeout_s))

    def test_a_stalled_answer_is_reported_and_still_accepted_if_its_owner_decides(self):
        silent = mock.Mock()
        connection = self.exchange(answer()[:-1], silent=silent)
        self.now += self.pool.answer_stall_timeout_s
        _, call, args = self.loop.timers[-1]
        call(*args)
        silent.assert_called_once_with()
        self.assertEqual(self.ended, [])
        self.feed(connection, answer()[-1:])
        self.assertEqual(self.outcome(), (Status.OK, BODY))

    def test_a_request_that_was_not_written_completely_may_have_run(self):
        """Guards against a promise that a request has not run of which a server has a part, as it may run already."""
        # The protocol of menu servers says that they start on a request once they have all of it.
        for dialect, lost, given_up in (
            (ServerDialect(), Status.RESET, Status.TIMEOUT),
            (Dialect(), Status.CONNECT_FAILED, Status.CONNECT_FAILED),
        ):
            self.pool.dialect = dialect
            self.begin()
            self.lose(self.connect(slow=True))
            self.assertEqual(self.outcome()[0], lost)
            exchange = self.begin()
            self.connect(slow=True)
            exchange.give_up(Status.TIMEOUT)
            self.assertEqual(self.outcome()[0], given_up)

    def test_a_request_without_a_connection_never_ran(self):
        exchange = self.begin()
        exchange.give_up(Status.TIMEOUT)
        self.assertEqual(self.outcome()[0], Status.CONNECT_FAILED)

    def test_a_completely_written_request_ends_as_it_was_given_up(self):
        exchange = self.begin()
        connection = self.connect()
        exchange.give_up(Status.TIMEOUT)
        self.assertEqual((self.outcome()[0], connection.transport.closed), (Status.TIMEOUT, True))

    def test_load(self):
        for header, load in (
            (b"3,0,8", (3, 0, 8)),
            (b" 3 , 1 , 8 ", (3, 1, 8)),
            (b"3,0", None),
            (b"3,-1,8", None),
            (b"3,0,8,1", None),
            (b"a,b,c", None),
            (b"1,2,99999999999", None),
            (b"", None),
        ):
            self.assertEqual(parse_server_load(backends.Answer(200, [(b"x-server-load", header)], b"")), load, header)
        self.assertIsNone(parse_server_load(backends.Answer(200, [], b"")))


class OtherBytes(Case):
    def test_the_answer_to_an_abandoned_request_is_skipped(self):
        chunked = answer(txn=b"old", framing=CHUNKED, body=b"3\r\nold\r\n0\r\n\r\n")
        for old in (
            answer(txn=b"old", body=b"old"),
            answer(500, b"old"),
            chunked,
            answer(503, b"old", fields=b"X-Not-Run: 1\r\n"),
            answer(204, b"old", b"", framing=b""),
        ):
            data = old + answer()
            for at in range(1, len(data), 3):
                connection = self.exchange(data[:at], data[at:])
                self.assertEqual(self.outcome(), (Status.OK, BODY), (old, at))
                self.assertTrue(connection.transport.closed)  # not reused after a mismatch

    def test_an_answer_without_an_id_counts_only_on_an_unused_connection(self):
        for data, status in (
            (answer(500), Status.ERROR),
            (answer(421), Status.FULL),
            (answer(503, fields=b"X-Not-Run: 1\r\n"), Status.FULL),
        ):
            data = data.replace(b"X-Attempt-Id: one\r\n", b"")
            with self.subTest(data[:30]):
                self.exchange(data)
                self.assertEqual(self.outcome(), (status, BODY))
                connection = self.exchange(answer())
                self.outcome()
                self.begin(b"two")
                self.feed(connection, data)
                self.assertEqual((self.outcome(), connection.transport.closed), ((Status.ERROR, None), True))
                self.exchange(answer(txn=b"old") + data)
                self.assertEqual(self.outcome(), (Status.ERROR, None))

    def test_an_answer_with_two_ids_or_seals_is_an_error(self):
        for data in (
            answer(fields=b"X-Attempt-Id: two\r\n"),
            answer(fields=b"X-Server-Seal: s.2\r\n"),
            answer(503, fields=b"X-Not-Run: 1\r\nX-Attempt-Id: two\r\n"),
        ):
            self.exchange(data)
            self.assertEqual(self.outcome(), (Status.ERROR, None), data)

    def test_an_error_answer_without_a_length_may_be_truncated(self):
        self.lose(self.exchange(answer(500, framing=b"")))
        self.assertEqual(self.outcome(), (Status.ERROR, None))

    def test_without_an_answer_of_its_own_a_request_may_have_run(self):
        self.lose(self.exchange(answer(txn=b"old")))
        self.assertEqual(self.outcome(), (Status.RESET, None))

    def test_excess_bytes_after_an_answer_close_the_connection(self):
        for more in (b"x", answer(), answer(txn=b"two"), b"\r\n\r\nnoise", answer(500)[:20]):
            connection = self.exchange(answer() + more)
            self.assertEqual(self.outcome(), (Status.OK, BODY), more)
            self.assertEqual((self.kept, connection.transport.closed), (0, True))

    def test_unsolicited_bytes_on_an_idle_connection_close_it(self):
        connection = self.exchange(answer())
        self.outcome()
        self.assertEqual(self.kept, 1)
        self.feed(connection, answer(txn=b"two"))
        self.assertEqual((self.kept, connection.transport.closed), (0, True))

    def test_unread_bytes_are_noticed_before_a_connection_is_reused(self):
        connection = self.exchange(answer())
        self.outcome()
        os.write(self.ready_write_fd, b"x")
        self.begin()
        self.assertEqual((connection.transport.closed, len(self.loop.coming)), (True, 1))

    def test_random_bytes_have_one_outcome_and_a_success_has_the_whole_body(self):
        rng = random.Random(5)
        parts = [
            answer(),
            answer(txn=b"old"),
            answer(500),
            answer(503, fields=b"X-Not-Run: 1\r\n"),
            b"\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"\x00\xff",
            answer(seal=False),
            answer()[:70],
            answer(framing=CHUNKED, body=b"12\r\n" + BODY + b"\r\n0\r\nX: y\r\n\r\n"),
        ]
        for _ in range(1500):
            data = b"".join(rng.choices(parts, k=rng.randint(1, 4)))
            if rng.random() < 0.5:
                data = data[: rng.randrange(len(data))]
            pieces = []
            while data:
                size = rng.choice([1, 3, 40, 1000])
                pieces.append(data[:size])
                data = data[size:]
            connection = self.exchange(*pieces)
            self.lose(connection)
            status, body = self.outcome()
            if status is Status.OK:
                self.assertEqual(body, BODY)
            self.assertEqual((len(self.pool.connections), self.kept, self.pool.budget.used), (0, 0, 0))


class Large(Case):
    def test_a_large_answer_is_streamed_and_its_end_is_the_outcome(self):
        body = bytes(range(256)) * 1000
        for cut, status in ((len(body), Status.OK), (len(body) - 1, Status.RESET)):
            with self.subTest(cut):
                got = []
                receiver = SimpleNamespace(
                    begin=lambda head, length, source, got=got: got.append(head.body), write_body=got.append
                )
                connection = self.exchange(receiver=receiver)
                data = answer(body=body[:cut], framing=b"Content-Length: %d\r\n" % len(body))
                self.feed(connection, *(data[at : at + 4096] for at in range(0, len(data), 4096)))
                if status is not Status.OK:
                    self.assertEqual(self.ended, [])
                    self.lose(connection)
                self.assertEqual((self.outcome(), b"".join(got)), ((status, None), body[:cut]))
                self.assertEqual(self.pool.budget.used, 0)

    def test_a_stalled_large_answer_is_given_up_unless_its_owner_decides(self):
        body = bytes(200_000)
        for silent, ended in ((None, [(Status.ERROR, None)]), (mock.Mock(), [])):
            self.ended.clear()
            data = answer(body=body[:-1], framing=b"Content-Length: %d\r\n" % len(body))
            connection = self.exchange(receiver=mock.Mock(), silent=silent)
            self.feed(connection, *(data[at : at + 4096] for at in range(0, len(data), 4096)))
            self.now += flow.STREAM_STALL_TIMEOUT_S + 0.1
            self.pool.sweep()
            self.assertEqual(self.ended, ended)

    def test_a_streamed_body_keeps_its_framing(self):
        for length, sent in ((None, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"), (5, b"abcde")):
            upload = flow.Upload(self.pool.budget, length, lambda on: None, [b"abc"])
            connection = self.exchange(upload=upload)
            upload.feed(b"de")
            upload.feed_eof()
            self.feed(connection, answer())
            self.assertEqual(connection.transport.written, b"GET / HTTP/1.1\r\n\r\n" + sent)
            self.assertEqual((self.outcome(), self.pool.budget.used), ((Status.OK, BODY), 0))

    def test_a_request_whose_body_is_not_read_any_more_may_have_run(self):
        for dialect, status in ((ServerDialect(), Status.ERROR), (Dialect(), Status.CONNECT_FAILED)):
            self.pool.dialect = dialect
            connection = self.exchange(upload=flow.Upload(self.pool.budget, 5, lambda on: None, [b"abc"]))
            connection.pause_writing()
            self.now += flow.STREAM_STALL_TIMEOUT_S + 0.1
            self.pool.sweep()
            self.assertEqual((self.outcome(), self.pool.budget.used), ((status, None), 0))

    def test_a_connection_lost_within_the_request_body_may_have_run_it(self):
        for dialect, status in ((ServerDialect(), Status.RESET), (Dialect(), Status.CONNECT_FAILED)):
            self.pool.dialect = dialect
            upload = flow.Upload(self.pool.budget, 5, lambda on: None, [b"abc"])
            self.lose(self.exchange(upload=upload))
            self.assertEqual((self.outcome(), self.pool.budget.used), ((status, None), 0))


class Connections(Case):
    def used_again(self, idle_s, unsafe=False, **options):
        """Return whether a connection is reused after `idle` seconds, and whether it is closed."""
        connection = self.exchange(answer(**options))
        self.outcome()
        self.now += idle_s
        self.begin(unsafe=unsafe)
        is_reused = connection.exchange is not None
        self.assertEqual(len(self.loop.coming), 0 if is_reused else 1)
        closed = connection.transport.closed
        if is_reused:
            self.lose(connection)
        self.loop.coming.clear()
        self.pool.connecting.clear()
        self.ended.clear()
        return is_reused, closed

    def test_how_long_an_idle_connection_is_reused(self):
        used, left, closed = (True, False), (False, False), (False, True)
        for idle, unsafe, fields, expected in (
            (0.0, False, b"", used),
            (3.9, False, b"", used),
            (4.1, False, b"", closed),
            (0.4, False, b"Keep-Alive: timeout=1\r\n", used),
            (0.6, False, b"Keep-Alive: timeout=1\r\n", closed),
            (0.6, False, b"Keep-Alive: max=9, timeout=5\r\n", used),
            (0.1, False, b"Keep-Alive: timeout=0\r\n", closed),
            (0.0, False, b"Connection: close\r\n", closed),
            # Unsafe requests: neither on a connection that the server may have closed, nor on one so recently used
            # that excess bytes may still arrive.
            (0.01, True, b"", left),
            (0.5, True, b"", used),
            (1.2, True, b"", left),
            (0.6, True, b"Keep-Alive: timeout=1\r\n", closed),
        ):
            with self.subTest(idle=idle, unsafe=unsafe, fields=fields):
                self.assertEqual(self.used_again(idle, unsafe, fields=fields), expected)

    def test_idle_connections_of_a_draining_server_are_closed_and_it_gets_no_request(self):
        connection = self.exchange(answer())
        self.outcome()
        self.state(BackendState.DRAINING)
        self.assertTrue(connection.transport.closed)
        self.begin()
        self.assertEqual((self.outcome()[0], self.loop.coming), (Status.CONNECT_FAILED, []))

    def test_a_server_that_leaves_while_a_connection_is_established_gets_no_request(self):
        for state in (BackendState.DRAINING, BackendState.GONE):
            self.state(BackendState.READY)
            self.begin()
            self.state(state)
            connection = self.connect()
            self.assertEqual((connection.transport.written, self.outcome()[0]), (b"", Status.CONNECT_FAILED))

    def test_a_removed_server_finishes_its_request(self):
        self.begin()
        connection = self.connect()
        self.state(BackendState.GONE)
        self.feed(connection, answer())
        self.assertEqual((self.outcome(), connection.transport.closed), ((Status.OK, BODY), True))

    def test_the_gateways_connection_limit_is_not_a_failure_of_the_server(self):
        for _ in range(4):
            self.begin()
            self.connect()
        self.begin()
        self.assertEqual(self.outcome()[0], Status.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
