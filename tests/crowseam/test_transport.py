"""Links between processes, control calls and settings, with data that is split arbitrarily or invalid."""

import asyncio
import json
import random
import re
import struct
import unittest
import zlib
from types import SimpleNamespace
from unittest import mock

import msgspec

from crowseam import control_calls, settings
from crowseam.consensus.messages import Accept, Ballot, ConfigurationEntry
from crowseam.controller.api import ControlApi
from crowseam.discovery.server_record import ServerRecord
from crowseam.transport import codec, links
from crowseam.transport.codec import COMPRESS_BODY_FROM_BYTES, COMPRESS_ENTRY_FROM_BYTES, decode, encode, pack, unpack
from crowseam.transport.http import IDLE_TIMEOUT_S, MAX_PIPELINED_CALLS, HttpConnection
from crowseam.transport.links import Link, frame
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    ChangedServers,
    CloseSession,
    ConfigurationState,
    ConfigurationStep,
    HeardReports,
    PeerGreeting,
    PeerHeartbeat,
    ReserveDraw,
    ReserveDrawReply,
    SessionHeartbeat,
    SilentServers,
)

MESSAGES = [
    PeerGreeting("10.0.0.1:80", "life", PROTOCOL_VERSION),
    PeerHeartbeat(1.5, 0.0, 7, ["10.0.0.2:80"]),
    CloseSession(),
    ChangedServers([]),
    ChangedServers([ServerRecord("i-1", "s", "10.0.0.3:80", "z", "v", 4)]),
    HeardReports([("i-1", 3)]),
    ConfigurationState(3, pack(b"x" * 5000)),
    ConfigurationStep(4, True, pack(b"y")),
    SilentServers(["i-1"]),
    SessionHeartbeat(3, 4, True),
    ReserveDraw("d", "t", 1, 2),
    ReserveDrawReply("d", 2, 1, 0.5),
]


class Transport:
    def __init__(self):
        self.written, self.closed, self.unread = b"", False, 0

    def get_extra_info(self, name):
        return SimpleNamespace(setsockopt=lambda *args: None)

    def get_write_buffer_size(self):
        return self.unread

    def is_closing(self):
        return self.closed

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = close


def pieces(data, rng):
    while data:
        size = rng.choice([1, 2, 5, 100, 10_000])
        yield data[:size]
        data = data[size:]


class Links(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(links.logs, "emit")
        self.say = patch.start()
        self.addCleanup(patch.stop)

    def link(self):
        self.heard = []
        link = Link(lambda link, message: self.heard.append(message), lambda link: None)
        link.connection_made(Transport())
        return link

    def test_a_peer_with_another_version_is_redialled_with_growing_delays(self):
        loop = mock.Mock(create_task=lambda dial: dial.close())
        dialer = links.Dialer(loop, "10.0.0.2", 7660, None, lambda link: None)
        delays = []
        for mismatches in (6, 2):
            for _ in range(mismatches):
                link = self.link()
                dialer._on_connected(link)
                dialer.on_version_mismatch()
                self.assertFalse(link.open)
                dialer._on_closed(link)
                delays.append(round(loop.call_later.call_args.args[0], 2))
            dialer.on_version_match()
        self.assertEqual(delays, [0.24, 0.38, 0.61, 0.98, 1.57, 2.0, 0.24, 0.38])

    def test_messages_arrive_complete_and_in_order_however_they_are_split(self):
        data = b"".join(map(frame, MESSAGES))
        for size in (1, 3, 4, 5, 7, 64, 4096, len(data)):
            link = self.link()
            for at in range(0, len(data), size):
                link.data_received(data[at : at + size])
            self.assertEqual((self.heard, link.buffer), (MESSAGES, b""), size)

    def test_an_undecodable_message_closes_the_link_and_is_counted(self):
        def framed(body):
            return struct.pack(">I", len(body)) + body

        good = frame(MESSAGES[1])
        for bad in (
            framed(b""),
            framed(b"\xc1"),
            framed(encode(["none"])),
            framed(encode(["ping", "x", 0, 1])),
            framed(encode({"a": 1})),
            framed(b"\x91" * 50_000),
            framed(encode(["ping"]) + b"\x00"),
            struct.pack(">I", links.MAX_FRAME_BYTES + 1),
            framed(b"\x92\xa5hello\xa2\xff\xfe"),
        ):
            link, before = self.link(), Link.unreadable_messages
            link.data_received(good + bad + good)
            self.assertEqual((len(self.heard), link.open, Link.unreadable_messages - before), (1, False, 1), bad[:30])

    def test_random_bytes_are_decoded_or_close_the_link(self):
        rng = random.Random(7)
        for _ in range(800):
            data = bytearray(b"".join(frame(rng.choice(MESSAGES)) for _ in range(3)))
            for _ in range(rng.randint(0, 3)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            del data[rng.randrange(1, len(data) + 1) :]
            link = self.link()
            for piece in pieces(bytes(data), rng):
                if link.open:
                    link.data_received(piece)
            self.assertLessEqual(len(self.heard), 3)

    def test_a_link_closed_by_its_message_handler_delivers_no_more(self):
        link = Link(lambda link, message: (heard.append(message), link.close()), lambda link: None)
        heard = []
        link.connection_made(Transport())
        link.data_received(frame(MESSAGES[0]) * 2)
        self.assertEqual(len(heard), 1)

    def test_a_peer_that_does_not_read_is_disconnected(self):
        link = self.link()
        link.send(MESSAGES[0])
        self.assertEqual(link.transport.written, frame(MESSAGES[0]))
        link.transport.unread = links.MAX_UNREAD_BYTES + 1
        link.send(MESSAGES[0])
        self.assertEqual((link.transport.written, link.open), (frame(MESSAGES[0]), False))

    def test_only_large_log_entries_are_compressed(self):
        ballot, body = Ballot(1, "a"), b"x" * COMPRESS_ENTRY_FROM_BYTES
        accept = Accept(1, ballot, ConfigurationEntry("t", 1, 0, True, body, "d"))
        packed = encode(accept)
        self.assertEqual((packed[:1], decode(memoryview(packed))), (b"z", accept))
        self.assertLess(len(packed), 2000)
        for plain in (Accept(1, ballot, ConfigurationEntry("t", 1, 0, True, b"x", "d")), ConfigurationState(1, body)):
            self.assertEqual(encode(plain), msgspec.msgpack.encode(plain))
        bomb = b"z" + zlib.compress(bytes(2000))
        with mock.patch.object(codec, "MAX_DECOMPRESSED_BYTES", 1000):
            for bad in (bomb, packed):
                self.assertRaisesRegex(ValueError, "cut short or too large", decode, bad)
        for bad in (b"", b"z", b"zjunk", packed[:-9], b"z" + zlib.compress(b"junk")):
            with self.assertRaises((ValueError, msgspec.MsgspecError)):
                decode(bad)

    def test_packed_bodies(self):
        for body in (b"", b"x", b"x" * COMPRESS_BODY_FROM_BYTES, random.Random(1).randbytes(9000)):
            self.assertEqual(unpack(pack(body)), body)
        for bad in (b"", b"q", b"z", b"zjunk", pack(b"x" * 9000)[:-9]):
            with self.assertRaises(ValueError):
                unpack(bad)


class Calls(unittest.TestCase):
    """Control calls over HTTP; `held` has the calls that are not answered yet."""

    def setUp(self):
        self.soon, self.timers = [], []
        loop = SimpleNamespace(call_soon=self.soon.append, call_later=self.later)
        patch = mock.patch.object(asyncio, "get_running_loop", lambda: loop)
        patch.start()
        self.addCleanup(patch.stop)

    def later(self, delay, call):
        self.timers.append(call)
        return SimpleNamespace(cancel=lambda: None)

    def caller(self, max_body_bytes=1000, immediately=True):
        self.held, self.seen = [], []

        def serve(call):
            self.seen.append((call.method, call.path, call.body))
            call.reply(200, call.body) if immediately else self.held.append(call)

        caller = HttpConnection(serve, max_body_bytes)
        caller.connection_made(Transport())
        return caller

    def run_callbacks(self):
        while self.soon:
            self.soon.pop(0)()

    def statuses(self, caller):
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", caller.transport.written)]

    def test_calls_behind_one_another_are_answered_in_turn(self):
        data = (
            b"PUT /-/backends/i%2D1?x=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
            b"GET /-/config HTTP/1.1\r\n\r\n"
            b"PATCH /-/config HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
        )
        expected = [("PUT", "/-/backends/i-1", b"abc"), ("GET", "/-/config", b""), ("PATCH", "/-/config", b"de")]
        for size in (1, 10, len(data)):
            caller = self.caller(immediately=False)
            for at in range(0, len(data), size):
                caller.data_received(data[at : at + size])
            for count in range(3):
                self.assertEqual(len(self.seen), count + 1)
                self.held[-1].reply(200 + count)
                self.held[-1].reply(500)  # a second response is ignored
                self.run_callbacks()
            self.assertEqual((self.seen, self.statuses(caller)), (expected, [200, 201, 202]))
            self.assertFalse(caller.transport.closed)

    def test_100_continue_is_sent_only_when_no_earlier_call_is_open(self):
        expects_continue = b"PUT /3 HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        caller = self.caller(immediately=False)
        caller.data_received(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        self.held[0].reply(200)
        caller.data_received(expects_continue)  # the second call is still queued
        self.run_callbacks()
        self.held[1].reply(200)
        self.assertEqual(self.statuses(caller), [200, 200])
        caller = self.caller()
        caller.data_received(expects_continue + b"x")
        self.assertEqual(self.statuses(caller), [100, 200])

    def test_a_connection_is_closed_if_the_client_asks_for_it(self):
        for head in (b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", b"GET / HTTP/1.0\r\n\r\n"):
            caller = self.caller()
            caller.data_received(head + b"GET /again HTTP/1.1\r\n\r\n")
            self.run_callbacks()
            self.assertEqual((len(self.seen), self.statuses(caller)), (1, [200]))
            self.assertTrue(caller.transport.closed)
            self.assertIn(b"Connection: close", caller.transport.written)

    def test_an_invalid_or_too_large_call_is_rejected_after_earlier_calls(self):
        first = b"GET /first HTTP/1.1\r\n\r\n"
        for bad, status in (
            (b"PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"x" * 2000, 413),
            (b"PUT / HTTP/1.1\r\nX: " + b"y" * 2000, 413),
            (b"noise\r\n\r\n", 400),
            (b"PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400),
        ):
            caller = self.caller(immediately=False)
            caller.data_received(first)
            caller.data_received(bad)
            caller.data_received(first)
            self.assertEqual(self.statuses(caller), [])
            self.held[0].reply(200)
            self.run_callbacks()
            self.assertEqual((self.statuses(caller), len(self.seen)), ([200, status], 1), bad[:40])
            self.assertTrue(caller.transport.closed)

    def test_an_offer_to_upgrade_the_protocol_is_ignored(self):
        upgrade = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        caller = self.caller()
        for _ in range(4):
            caller.data_received((b"GET / HTTP/1.1\r\n" + upgrade + b"\r\n") * 10)
        caller.data_received(b"GET /next HTTP/1.1\r\n\r\n")
        self.assertEqual(self.statuses(caller), [200] * 41)
        caller.data_received(b"PUT / HTTP/1.1\r\n" + upgrade + b"Content-Length: 3\r\n\r\n" b"GET / HTTP/1.1\r\n\r\n")
        self.assertEqual((self.statuses(caller)[41:], len(self.seen)), ([400], 41))

    def test_too_many_pipelined_calls_are_rejected(self):
        caller = self.caller(10_000, immediately=False)
        caller.data_received(b"GET / HTTP/1.1\r\n\r\n" * (2 * MAX_PIPELINED_CALLS))
        for _ in range(MAX_PIPELINED_CALLS + 1):
            self.held.pop().reply(200)
            self.run_callbacks()
        self.assertEqual(self.statuses(caller), [200] * (MAX_PIPELINED_CALLS + 1) + [503])

    def test_responses_after_a_disconnect_are_dropped(self):
        caller = self.caller(immediately=False)
        caller.data_received(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
        caller.transport.close()
        caller.connection_lost(None)
        self.held[0].reply(200)
        self.run_callbacks()
        self.assertEqual((caller.transport.written, len(self.seen)), (b"", 1))

    def test_an_idle_connection_is_closed_unless_a_call_is_open(self):
        caller = self.caller(immediately=False)
        caller.data_received(b"GET / HTTP/1.1\r\n\r\n")
        for _ in range(3):
            self.timers.pop()()
        self.held[0].reply(200)
        self.assertFalse(caller.transport.closed)
        self.timers.pop()()
        self.assertTrue(caller.transport.closed)
        self.assertGreater(IDLE_TIMEOUT_S, 5.0)

    def test_random_bytes_get_one_response_per_call_and_at_most_one_rejection(self):
        rng = random.Random(11)
        parts = [
            b"GET / HTTP/1.1\r\n\r\n",
            b"PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
            b"\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            b"GET / HT",
            b"Expect: 100-continue\r\n",
            b"HTTP/1.1\r\n",
            b"Upgrade: x\r\nConnection: upgrade\r\n",
            b"CONNECT a:1 ",
            b"\x00",
            b"\r\n\r\n",
        ]
        for _ in range(1500):
            caller = self.caller(immediately=rng.random() < 0.5)
            for piece in pieces(b"".join(rng.choices(parts, k=rng.randint(1, 6))), rng):
                caller.data_received(piece)
            for call in self.held:
                call.reply(200)
                self.run_callbacks()
            responses = [status for status in self.statuses(caller) if status != 100]
            self.assertIn(len(responses) - len(self.seen), (0, 1))
            self.assertEqual(responses[: len(self.seen)], [200] * len(self.seen))


class ControlCallTable(unittest.TestCase):
    def test_each_call_has_its_handler(self):
        for method, path, name in control_calls.TABLE:
            ident = "i-1" if path.endswith("/") else ""
            self.assertEqual(control_calls.find(method, path + ident), (name, ident))
            self.assertTrue(callable(getattr(ControlApi, f"call_{name}")), name)

    def test_unknown_calls(self):
        for method, path, status in (
            ("GET", "/-/none", 404),
            ("PUT", "/-/backends/a/b", 404),
            ("GET", "", 404),
            ("PUT", "/-/config/", 404),
            ("", "/", 404),
            ("POST", "/-/config", 405),
            ("GET", "/-/backends/i", 405),
            ("get", "/-/config", 405),
        ):
            self.assertEqual(control_calls.find(method, path), status, (method, path))


class Settings(unittest.TestCase):
    GOOD = {
        "hostname": "edge-1",
        "ip": "10.0.0.1",
        "az": "a",
        "port_range": [7000, 7010],
        "seeds": ["10.0.0.1:8000"],
        "bind": {"ctl": "10.0.0.1:8000"},
        "limits": {"nofile": 900},
    }

    def test_errors_name_the_field(self):
        for change, field in (
            ({"seeds": ["x"]}, "seeds"),
            ({"bind": {"http": "a:70000"}}, "bind.http"),
            ({"port_range": [5, 4]}, "port_range"),
            ({"hb": "1"}, "hb"),
            ({"ip": 4}, "ip"),
            ({"bounds": {"drain": "2m"}}, "bounds.drain"),
            ({"limits": {"nofile": "x"}}, "nofile"),
        ):
            with self.assertRaises(settings.SettingsError) as raised:
                settings.parse(json.dumps({**self.GOOD, **change}).encode())
            self.assertIn(field, str(raised.exception))

    def test_null_and_unknown_fields_are_ignored(self):
        more = {"role": None, "more": {"x": 1}, "bounds": {"drain": None}}
        parsed = settings.parse(json.dumps({**self.GOOD, **more}).encode())
        self.assertEqual((parsed.role, parsed.bounds.drain, parsed.limits.nofile), ("", "2500ms", 900))

    def test_random_bytes_are_settings_or_a_settings_error(self):
        rng = random.Random(13)
        good = json.dumps({**self.GOOD, "hb": "1s", "bounds": {"grace": "6s"}}).encode()
        values = [b"null", b"-1", b"[]", b"{}", b'""', b'"\xff"', b"1e999", b"9" * 40, b'"\\ud800"', b"true"]
        cases = [b"[" * 100_000, b'{"a":' * 100_000, b"", b"\xff\xfe", b"null"]
        for _ in range(2000):
            data = bytearray(good)
            for _ in range(rng.randint(1, 3)):
                at = rng.randrange(len(data))
                data[at : at + rng.randint(0, 12)] = rng.choice([b"", rng.choice(values), rng.randbytes(1)])
            cases.append(bytes(data))
        for data in cases:
            try:
                self.assertIsInstance(settings.parse(data), settings.Settings)
            except settings.SettingsError as error:
                self.assertTrue(str(error))


if __name__ == "__main__":
    unittest.main()
