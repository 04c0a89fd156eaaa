"""A gateway's session with its controller. Timelines: time, `heartbeat` or the received bytes of an incomplete message,
and whether the session is `open` or `left`."""

import random
import unittest
from unittest import mock

from crowseam import clock
from crowseam.gateway.controller_session import ControllerSession
from crowseam.settings import Bind, Settings
from crowseam.transport.codec import pack
from crowseam.transport.messages import (
    ConfigurationState,
    ConfigurationStep,
    GatewayReport,
    OpenSession,
    ReserveDrawReply,
    SessionHeartbeat,
)


class OpenTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_report_follows_the_opening_and_intervals_are_short_while_leases_are_missing(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        loop = mock.Mock(create_connection=mock.AsyncMock())
        controller_session = ControllerSession(loop, settings, random.Random(1), None, None, None, dict)
        with mock.patch("crowseam.gateway.controller_session.Link") as made:
            await controller_session._connect(0.0)
        sent = [type(call.args[0]) for call in made.return_value.send.call_args_list]
        self.assertEqual(sent, [OpenSession, GatewayReport])
        for members, least, most in ((0, 0.13, 0.17), (12, 0.04, 0.06), (96, 0.12, 0.155)):
            controller_session.gateway_count = members
            controller_session._report()
            self.assertTrue(least < loop.call_later.call_args.args[0] < most, members)


class DrawTest(unittest.TestCase):
    def test_a_reply_to_an_earlier_incarnation_is_ignored(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        numbers, granted_counts = [], []
        for life in (1_700_000_000_000_000, 1_700_000_000_001_000):
            with mock.patch.object(clock, "time_ns", lambda life=life: life * 1000):
                controller_session = ControllerSession(mock.Mock(), settings, random.Random(1), None, None, None, dict)
            link = controller_session.link = mock.Mock()
            for _ in range(3):
                controller_session.draw_reserve("north", 1, lambda granted, wait: granted_counts.append(granted))
            numbers.append([call.args[0].number for call in link.send.call_args_list])
        self.assertEqual(set(numbers[0]) & set(numbers[1]), set())
        for number in (*numbers[0], numbers[1][0], numbers[1][0]):  # late ones, then its own, then a duplicate
            controller_session._on_message(link, ReserveDrawReply("edge-1", number, 1, 0.0))
        self.assertEqual(granted_counts, [1])


class ActTest(unittest.TestCase):
    def test_a_version_is_applied_once_whatever_its_slot(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        applied = []
        controller_session = ControllerSession(
            mock.Mock(), settings, random.Random(1), lambda table: applied.append(table.ver), None, None, dict
        )
        controller_session.link = link = mock.Mock()

        def state(slot, ver):
            body = f'{{"ver":"{ver:08x}","parent":"00000000","objs":[]}}'.encode()
            controller_session._on_message(link, ConfigurationState(slot, pack(body)))

        for slot, ver in ((3, 1), (5, 1), (7, 2), (6, 1), (8, 2)):
            state(slot, ver)
        controller_session._on_message(link, ConfigurationStep(9))
        self.assertEqual((applied, controller_session.slot), ([1, 2], 9))


class SilenceTest(unittest.TestCase):
    def play(self, timeline):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407", "10.2.0.1:8407"], Bind())
        controller_session = ControllerSession(mock.Mock(), settings, random.Random(1), None, None, None, dict)
        controller_session._connect = mock.Mock()
        link = controller_session.link = mock.Mock(buffer=bytearray())
        controller_session.controller_addr = settings.seeds[0]
        with mock.patch.object(clock, "monotonic", lambda: now):
            for line in filter(None, map(str.strip, timeline.splitlines())):
                time_text, event, state = line.split()
                now = float(time_text)
                if event == "heartbeat":
                    link.buffer.clear()
                    controller_session._on_message(link, SessionHeartbeat(3, 0, True))
                else:
                    link.buffer[:] = bytes(int(event))
                controller_session._tick()
                self.assertEqual(controller_session.link is not None, state == "open", line)

    def test_bytes_of_a_large_message_keep_the_session_open_and_silence_ends_it(self):
        self.play("""
            0.0  heartbeat  open
            1.0  100000     open
            2.0  200000     open
            3.0  300000     open
            3.5  heartbeat  open
            4.0  0          open
            4.7  0          left
        """)
        self.play("""
            0.0  heartbeat  open
            0.5  100000     open
            1.5  100000     open
            1.7  100000     left
        """)
