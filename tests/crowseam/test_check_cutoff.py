"""Partitioned controllers: their answers, the sessions of gateways, and the model check."""

import json
import unittest
from random import Random
from unittest import mock

from crowseam import clock
from crowseam.cli import model_check
from crowseam.gateway.controller_session import ControllerSession
from crowseam.model_checks.cutoff import check
from crowseam.settings import Bind, Settings
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment
from crowseam.transport.messages import PeerHeartbeat, SessionHeartbeat, SilentServers
from tests.crowseam import test_controller
from tests.crowseam.test_controller import CONTROL_ADDRS, IPS, heartbeat


class Apart(unittest.TestCase):
    """Three controllers and a gateway; r1 is partitioned from the other two, or only receives from them."""

    def setUp(self):
        self.system = system = test_controller.SimulatedCluster(1)
        self.enterContext(simulated_environment(system.world, lambda event, **fields: None))
        system.world.run(3.0)
        self.call("r2", "PUT", "/-/backends/i-1", heartbeat("i-1", "up", 1))

    def call(self, name, method, path, body=b"", span_s=0.9):
        self.system.call(name, method, path, body)
        self.system.world.run(self.system.world.now + span_s)
        return self.system.answers[name]

    def partition(self, way="both", isolated="r1"):
        others = frozenset(ip for name, ip in IPS.items() if name in CONTROL_ADDRS and name != isolated)
        self.system.network.link_faults.append(LinkFault(frozenset([IPS[isolated]]), others, cut=True, direction=way))

    def test_nothing_is_confirmed_or_refused_and_status_pages_tell_their_age(self):
        for way in ("out", "in", "both"):
            with self.subTest(way=way):
                self.partition(way)
                cut_at = self.system.world.now
                for method, path, body in (
                    ("GET", "/-/config", b""),
                    ("DELETE", "/-/backends/i-9", b""),
                    ("PUT", "/-/backends/i-1", heartbeat("i-1", "draining", 2)),
                    ("POST", "/-/retire", b'{"id": "never-heard-of"}'),
                    ("POST", "/-/retire", b'{"id": "i-1"}'),
                ):
                    answer = self.call("r1", method, path, body)
                    self.assertEqual(answer.status, 503, path)
                    self.assertIn(b"retry-after", answer.headers, path)
                for path in ("history", "servers", "members", "duties", "status", "retiring"):
                    since, answer = self.system.world.now - cut_at, self.call("r1", "GET", f"/-/{path}")
                    self.assertEqual(answer.status, 200)
                    self.assertTrue(since - 1.0 <= int(answer.headers[b"age"]) <= since + 1.0, path)
                    self.assertEqual(self.call("r2", "GET", f"/-/{path}").headers[b"age"], b"0")
                self.assertFalse(json.loads(self.call("r1", "GET", "/-/status").body)["in_touch"])
                self.system.heal()
                self.system.world.run(self.system.world.now + 5.0)

    def test_a_refusal_waits_for_a_majority_in_touch_since_the_call(self):
        self.assertEqual(self.call("r1", "POST", "/-/retire", b'{"id": "never-heard-of"}').status, 404)
        self.assertEqual(self.call("r1", "POST", "/-/retire", b'{"id": "i-1"}').status, 409)
        self.partition()  # its failure detector has yet to notice
        self.assertEqual(self.call("r1", "POST", "/-/retire", b'{"id": "never-heard-of"}').status, 503)

    def test_an_answer_to_an_earlier_call_acknowledges_no_leave(self):
        # The voters freeze; r1's messages are lost before the second call; then the voters answer the first call.
        voters = [self.system.processes[name] for name in ("r2", "r3")]
        for voter in voters:
            voter.frozen = True
        self.call("r1", "DELETE", "/-/backends/i-1", span_s=0.65)
        self.partition("out")
        self.call("r1", "DELETE", "/-/backends/i-1", span_s=0.2)
        for voter in voters:
            voter.thaw()
        self.system.world.run(self.system.world.now + 0.7)
        self.assertEqual(self.system.answers["r1"].status, 503)

    def test_a_leave_is_acknowledged_although_disks_take_longer_than_a_call_waits(self):
        for name in ("r2", "r3"):
            self.system.disk_images[name].sync_s = 1.0
        answers = [self.call("r1", "DELETE", "/-/backends/i-1", span_s=1.0).status for _ in range(4)]
        self.assertEqual((answers[0], answers[-1]), (503, 200))

    def test_a_server_heartbeats_elsewhere_before_it_is_considered_silent(self):
        def heartbeat_status():
            return self.call("r1", "PUT", "/-/backends/i-1", heartbeat("i-1", "up", 9)).status

        self.assertEqual(heartbeat_status(), 200)
        self.partition()
        self.system.world.run(self.system.world.now + 2.1)
        self.assertEqual(heartbeat_status(), 503)
        self.system.heal()
        self.system.world.run(self.system.world.now + 4.0)
        self.assertEqual(heartbeat_status(), 200)

    def test_a_controller_that_was_partitioned_reports_no_server_silent_until_it_has_listened_for_as_long(self):
        silent_reports = []
        r1 = self.system.controllers["r1"]
        original_broadcast = r1.gateways.broadcast

        def broadcast(message):
            if isinstance(message, SilentServers):
                silent_reports.append(message.ids)
            original_broadcast(message)

        r1.gateways.broadcast = broadcast
        self.partition()
        for seq in range(10, 34):
            self.call("r2", "PUT", "/-/backends/i-1", heartbeat("i-1", "up", seq))
            if seq == 25:
                self.system.heal()
        self.assertEqual(silent_reports, [])
        self.system.world.run(self.system.world.now + 5.0)
        self.assertEqual(silent_reports, [["i-1"]])  # i-1 has stopped sending heartbeats

    def test_no_server_is_called_safe_on_the_word_of_its_own_gateways_alone(self):
        (at,) = (name for name, controller in self.system.controllers.items() if controller.gateways.sessions)
        self.call(at, "PUT", "/-/backends/i-1", heartbeat("i-1", "draining", 2))
        for partitioned, safe in ((False, True), (True, False)):
            if partitioned:
                # Its failure detector has yet to notice, and the only gateway is connected to it.
                self.partition(isolated=at)
            (row,) = json.loads(self.call(at, "GET", "/-/retiring").body)["servers"]
            self.assertEqual((row["unconfirmed"], row["safe"]), ([], safe))

    def test_who_hears_of_a_newer_slot_does_not_tell_gateways_that_it_is_current(self):
        peers, now = self.system.controllers["r1"].peers, self.system.controllers["r1"].now()
        self.assertTrue(peers.is_majority_reachable(now) and peers.is_current(now))
        peers.on_heartbeat(CONTROL_ADDRS["r2"], PeerHeartbeat(now, now, peers.node.last_slot + 1), now)
        self.assertTrue(peers.is_majority_reachable(now))
        self.assertFalse(peers.is_current(now))


class ControllerChoice(unittest.TestCase):
    def test_a_controller_elsewhere_is_tried_after_two_in_the_own_zone_did_not_answer(self):
        settings = Settings(
            "edge-1", "10.1.0.9", "z", (7660, 7675), ["10.1.0.1:8407", "10.1.0.2:8407", "10.2.0.1:8407"], Bind()
        )
        controller_session = ControllerSession(mock.Mock(), settings, Random(1), None, None, None, dict)
        now, tried = 0.0, []
        with mock.patch.object(clock, "monotonic", lambda: now):
            while len(tried) < 6:
                if (addr := controller_session._pick_controller(now)) is not None:
                    tried.append(addr.partition(":")[0])
                    now += 1.1
                    controller_session._record_failure(addr, 1.0)
                now += 0.1
            self.assertEqual(sorted(tried[:2]), ["10.1.0.1", "10.1.0.2"])
            self.assertEqual(tried[2], "10.2.0.1")
            link = controller_session.link = mock.Mock(buffer=bytearray())
            controller_session._on_message(link, SessionHeartbeat(3, 0, True))
            self.assertTrue(controller_session._pick_controller(now + 9.0).startswith("10.1."))


class Check(unittest.TestCase):
    def test_schedules_have_no_violations(self):
        report = check.run(range(4))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.cut_calls, 40)
        self.assertLess(max(report.moves), check.MAX_REJOIN_S)

    def test_each_mutant_is_found_at_its_seed(self):
        for mutant, violations in model_check.run_known_mutants("cutoff"):
            with self.subTest(guard=mutant.guard):
                self.assertTrue(violations)
        for mutant in check.MUTANTS:
            self.assertTrue(mutant.seed is not None or mutant.why, mutant.guard)
