"""Large configurations over slow links, with daemons on a virtual clock, and compatibility with earlier versions."""

import hashlib
import random
import unittest
from unittest import mock

import msgspec

from crowseam.consensus import messages as wire
from crowseam.consensus.effects import Send
from crowseam.consensus.messages import Snapshot, SnapshotChunk, SnapshotOffer, Voter
from crowseam.consensus.node import Node
from crowseam.consensus.records import DurableState, SnapshotRecord
from crowseam.consensus.snapshot_transfer import (
    SnapshotCache,
    SnapshotDownload,
    compress_snapshot,
    decompress_snapshot,
    snapshot_with_digest,
)
from crowseam.consensus.timing import Timing
from crowseam.gateway.controller_session import ControllerSession
from crowseam.model_checks.agreement.check import ChangeRequest, ModelStateMachine
from crowseam.model_checks.catchup.check import PaddedLedger
from crowseam.settings import Bind, Settings
from crowseam.simulator.slow_links import LINK_BANDWIDTH, NEW_CONTROLLER, SEEDS, SlowLinks, configuration
from crowseam.simulator.world.patches import simulated_environment
from crowseam.transport.codec import decode, pack
from crowseam.transport.messages import FollowingLog, OpenSession

BODY = configuration(430, 1700, 23)  # 340 kB, 85 kB compressed


def quiet(event, **fields):
    """Discard log lines."""


class Daemons(unittest.TestCase):
    def test_an_empty_controller_and_gateway_catch_up_while_changes_continue(self):
        scenario = SlowLinks(1, BODY, 0.5)
        took = scenario.measure()
        for name, one in took.items():
            self.assertIsNotNone(one.seconds, name)
            self.assertLess(one.seconds, 3.0, name)
            self.assertLess(one.bytes, 250_000, name)
            self.assertLess(one.gap, 0.7, name)
        self.assertEqual(
            (took["gateway"].left, scenario.messages_received["ConfigurationState"], scenario.world.failures),
            (0, 0, []),
        )

    def test_a_reconnecting_gateway_gets_only_the_steps_it_missed(self):
        scenario = SlowLinks(1, BODY, 0.2)
        scenario.measure()
        with simulated_environment(scenario.world, quiet):
            for span in (0.5, 3.0):
                scenario.controller_session.link.close()
                before, slot = scenario.messages_received.copy(), scenario.controller_session.slot
                scenario.run(span)
                scenario.world.run(scenario.world.now + 1.0)
                self.assertGreater(scenario.controller_session.slot, slot)
                self.assertEqual(scenario.controller_session.config.ver, scenario.ver)
                for kind in ("ConfigurationState", "SnapshotOffer", "SnapshotChunk"):
                    self.assertEqual(scenario.messages_received[kind], before[kind], kind)

    def test_a_full_configuration_delays_heartbeats_on_a_slow_link_only_by_its_compressed_size(self):
        scenario = SlowLinks(1, configuration(20, 20, 2), 0.5)
        body = configuration(1300, 5100, 70, 2, 1)
        transfer_s = len(pack(body)) / LINK_BANDWIDTH
        with simulated_environment(scenario.world, quiet):
            scenario.world.run(2.0)
            scenario.send_change()
            scenario.start(NEW_CONTROLLER)
            scenario.world.run(6.0)
            self.assertIn(f"{NEW_CONTROLLER}:8407", scenario.controllers[SEEDS[0]].peers.voters())
            scenario.body, scenario.ver = body, 0
            scenario.send_change()
            scenario.world.run(20.0)
        self.assertEqual(scenario.controllers[NEW_CONTROLLER].machine.config.ver, 2)
        heartbeat_times = scenario.heartbeat_times[NEW_CONTROLLER].values()
        gaps = [b - a for times in heartbeat_times for a, b in zip(times, times[1:], strict=False)]
        self.assertLess(transfer_s, max(gaps))
        self.assertLess(max(gaps), transfer_s + 0.8)

    def test_a_download_continues_from_another_controller_when_the_first_one_stops(self):
        scenario = SlowLinks(2, configuration(1300, 5100, 70), 0.5)
        with simulated_environment(scenario.world, quiet):
            scenario.world.run(2.0)
            scenario.send_change()
            scenario.world.run(4.0)
            scenario.start_gateway()
            while not (
                scenario.controller_session
                and scenario.controller_session.download
                and len(scenario.controller_session.download.chunks) >= 4
            ):
                scenario.world.run(scenario.world.now + 0.05)
            first, parts = scenario.controller_session.controller_addr, scenario.messages_received["SnapshotChunk"]
            ip = first.partition(":")[0]
            scenario.network.process_ended(scenario.controllers[ip].loop.process)
            scenario.world.run(scenario.world.now + 6.0)
        self.assertEqual(scenario.controller_session.config.ver, 1)
        self.assertNotEqual(scenario.controller_session.controller_addr, first)
        size = len(pack(scenario.controllers[next(s for s in SEEDS if s != ip)].machine.config.dump()))
        self.assertLessEqual(scenario.messages_received["SnapshotChunk"], -(-size // (32 << 10)) + 2, parts)


class Gateway(unittest.TestCase):
    def controller_session(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        controller_session = ControllerSession(mock.Mock(), settings, random.Random(1), mock.Mock(), None, None, dict)
        controller_session.link = mock.Mock(buffer=bytearray())
        return controller_session

    def feed(self, controller_session, body, digest):
        link = controller_session.link
        controller_session._on_message(link, SnapshotOffer(7))
        for offset in range(0, len(body), 32 << 10):
            part = body[offset : offset + (32 << 10)]
            controller_session._on_message(link, SnapshotChunk(7, digest, len(body), offset, part))
        return [call.args[-1] for call in link.send.call_args_list]

    def test_it_applies_a_configuration_only_if_it_is_complete_and_matches_its_digest(self):
        body = pack(configuration(700, 3000, 23))
        digest = hashlib.sha256(body).digest()
        controller_session = self.controller_session()
        wrong = body[:50_000] + bytes([body[50_000] ^ 1]) + body[50_001:]
        self.assertEqual(self.feed(controller_session, wrong, digest)[-1], FollowingLog(-1))
        self.assertEqual((controller_session.slot, controller_session.table), (-1, None))
        self.assertEqual(self.feed(controller_session, body, digest)[-1], FollowingLog(7))
        self.assertEqual((controller_session.slot, controller_session.config.ver), (7, 1))

    def test_a_part_of_another_state_is_passed_over(self):
        download = SnapshotDownload("a", 0, 4, 2, 0.0)
        self.assertEqual([r.offset for r in download.next_requests()], [0])
        self.assertTrue(download.add_chunk(SnapshotChunk(5, b"x", 10, 0, b"0123"), 1.0))
        self.assertEqual([r.offset for r in download.next_requests()], [4, 8])
        self.assertFalse(download.add_chunk(SnapshotChunk(5, b"y", 10, 4, b"4567"), 1.0))
        self.assertFalse(download.add_chunk(SnapshotChunk(6, b"x", 10, 4, b"4567"), 1.0))
        self.assertFalse(download.add_chunk(SnapshotChunk(5, b"x", 10, 4, b"456"), 1.0))
        self.assertTrue(download.add_chunk(SnapshotChunk(5, b"x", 10, 8, b"89"), 1.0))
        self.assertIsNone(download.assemble())
        self.assertTrue(download.add_chunk(SnapshotChunk(5, b"x", 10, 4, b"4567"), 1.0))
        self.assertEqual(download.assemble(), b"0123456789")
        self.assertFalse(download.is_intact(download.assemble()))


class FormerVersions(unittest.TestCase):
    """Messages of processes of an earlier version, and the replies to them."""

    def node(self, size):
        ledger = PaddedLedger(ModelStateMachine(), size)
        state = ledger.snapshot()
        durable = DurableState("a", 5, {}, {}, SnapshotRecord(5, state, [Voter("a", "a")], 6))
        return Node(Voter("a", "a"), durable, ledger, random.Random(1), Timing()), state

    def replies_to(self, node, data):
        return [e.message for e in node.handle("b", wire.decode(data), 1.0) if isinstance(e, Send)]

    def test_a_controller_that_knows_no_chunks_gets_a_snapshot_in_one_message(self):
        node, state = self.node(300_000)
        asked = msgspec.msgpack.encode(["c.behind", 0])
        self.assertEqual(self.replies_to(node, asked), [Snapshot(5, state, [Voter("a", "a")])])
        self.assertEqual(self.replies_to(node, wire.encode(wire.CatchUpRequest(0, True))), [SnapshotOffer(5)])

    def test_a_small_state_is_sent_in_one_message(self):
        node, state = self.node(20_000)
        expected = [Snapshot(5, state, [Voter("a", "a")])]
        self.assertEqual(self.replies_to(node, wire.encode(wire.CatchUpRequest(0, True))), expected)

    def test_a_gateway_that_does_not_mention_chunks_is_understood(self):
        opened = decode(msgspec.msgpack.encode(["open", "edge-1", 1, 1, "z", 3, "r", 0]))
        self.assertEqual(opened, OpenSession("edge-1", 1, 1, "z", 3, "r", 0, False))


class SnapshotCaching(unittest.TestCase):
    def test_a_cached_snapshot_stays_unchanged_until_it_expires(self):
        source = SnapshotCache(10.0)
        made = []

        def make():
            made.append(snapshot_with_digest(7 + len(made), b"state" * 10, 0.0))
            return made[-1]

        first = source.find_or_create(wire.SnapshotChunkRequest(0, b"", 0, 4), 1, 7, make, 0.0)
        self.assertIs(source.find_or_create(wire.SnapshotChunkRequest(0, b"", 0, 4), 1, 9, make, 5.0), first)
        self.assertIs(source.find_or_create(wire.SnapshotChunkRequest(7, first.digest, 4, 4), 1, 9, make, 6.0), first)
        self.assertEqual((len(made), source.oldest_slot()), (1, 7))
        self.assertIsNone(source.find_or_create(wire.SnapshotChunkRequest(6, b"no", 4, 4), 1, 9, make, 6.0))
        source.expire(source.next_expiry())
        self.assertEqual((source.snapshots, source.oldest_slot()), ([], float("inf")))

    def test_compression_of_a_snapshot_is_deterministic_and_reversible(self):
        snapshot = Snapshot(3, b"s" * 1000, [Voter("a", "a")])
        one, other = compress_snapshot(snapshot, 1, 0.0), compress_snapshot(snapshot, 1, 5.0)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(decompress_snapshot(one.data), snapshot)

    def test_the_log_after_a_snapshot_that_is_being_downloaded_is_kept(self):
        ledger = PaddedLedger(ModelStateMachine(), 100_000)
        durable = DurableState("a", 0, {}, {}, SnapshotRecord(0, b"", [Voter("a", "a")], 1))
        node = Node(Voter("a", "a"), durable, ledger, random.Random(1), Timing(kept_slots=8, max_kept_slots=32))

        def change(ver):
            effects = node.submit(ver, ChangeRequest(ver, ver - 1).builder(f"t{ver}"), float(ver))
            while effects:
                effect = effects.pop(0)
                if isinstance(effect, Send) and effect.addr == "a":
                    effects += node.handle("a", effect.message, float(ver))
                else:
                    effects += getattr(effect, "then", [])

        for ver in range(1, 70):
            change(ver)
        self.assertGreater(node.first_slot, 20)
        node.handle("b", wire.SnapshotChunkRequest(0, b"", 0, 4), 69.5)
        for ver in range(70, 110):
            change(ver)
        self.assertLessEqual(node.first_slot, 70)
        self.assertEqual(len(node.entries_from(70)), 40)
