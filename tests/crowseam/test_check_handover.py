"""What a new voter learns, and the model check of the state that a majority keeps outside the log."""

import unittest
from unittest import mock

import msgspec

from crowseam.cli import model_check
from crowseam.consensus.messages import Voter
from crowseam.controller.leaving_records import LeavingRecords
from crowseam.discovery.heartbeat import Heartbeat
from crowseam.discovery.replication import ReplicationRequest
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.discovery.voter_catch_up import (
    MAX_WAIT_S,
    RETRANSMIT_INTERVAL_S,
    StateTransferReply,
    StateTransferRequest,
    VoterCatchUp,
)
from crowseam.model_checks.handover.check import run

OLD = {"a": "1", "b": "2", "c": "3"}  # voter ids by address
NEW = {"a": "1", "b": "2", "n": "9"}  # the new voter has replaced c


class CheckTest(unittest.TestCase):
    def test_schedules_have_no_violations(self):
        report = run(range(10))
        self.assertEqual(report.violations, [])
        for outcome in ("acknowledged", "changes of voters", "newcomers", "hands", "replace", "wipe", "torn"):
            self.assertGreater(report.outcomes[outcome], 0, outcome)

    def test_a_seed_is_deterministic(self):
        one, other = run([2], 8), run([2], 8)
        self.assertEqual((one.events, one.outcomes), (other.events, other.outcomes))

    def test_mutants_are_found(self):
        found = model_check.run_known_mutants("handover")
        self.assertGreaterEqual(len(found), 10)
        for mutant, violations in found:
            with self.subTest(without=mutant.guard):
                self.assertEqual(len(violations), 1)


class LearningTest(unittest.TestCase):
    def requests(self, handover, now, slot=5, since=0):
        return {addr: request for addr, request in handover.tick(now, slot, since)}

    def answer(self, handover, request, *idents):
        return [handover.apply_reply(StateTransferReply(request.number, ident, [], {})) for ident in idents]

    def test_a_founder_has_nothing_to_learn(self):
        handover = VoterCatchUp("1", True)
        handover.set_voters(OLD, 0.0)
        self.assertEqual((self.requests(handover, 0.1), handover.ready, handover.is_caught_up), ({}, True, True))

    def test_a_newcomer_learns_before_it_is_let_in_and_once_more(self):
        # t (s) event
        # 0     the new machine learns of the voters, and sends a request to all three
        # 0.1   b replies, which is not a majority
        # 0.2   a replies too; once this is on disk the machine may ask to join
        # 1     it has replaced c: it sends a request to the former voters, c included, and does not count yet
        # 1.2   a and c have replied
        handover = VoterCatchUp("9", False)
        handover.set_voters({}, 0.0)
        self.assertEqual(self.requests(handover, 0.0), {})
        handover.set_voters(OLD, 0.0)
        request = self.requests(handover, 0.0)["a"]
        self.assertEqual(self.answer(handover, request, "2", "2", "9"), [False] * 3)
        self.assertEqual(list(self.requests(handover, RETRANSMIT_INTERVAL_S)), ["a", "c"])
        self.assertEqual((self.answer(handover, request, "1"), handover.ready), ([True], False))
        handover.reply_saved(request.number)
        self.assertEqual((handover.ready, handover.is_caught_up, handover.is_catching_up), (True, False, False))
        handover.set_voters(NEW, 1.0)
        self.assertEqual((handover.ready, handover.is_catching_up), (False, True))
        self.assertEqual(self.answer(handover, request, "1", "2"), [False, False])  # late replies to the first request
        second_requests = self.requests(handover, 1.0)
        self.assertEqual(list(second_requests), ["a", "b", "c"])
        self.assertEqual(self.answer(handover, second_requests["a"], "1", "3"), [False, True])
        handover.reply_saved(request.number)
        self.assertTrue(handover.is_catching_up)
        handover.reply_saved(second_requests["a"].number)
        self.assertEqual((handover.is_caught_up, handover.is_catching_up, handover.timed_out), (True, False, False))

    def test_other_voters_before_it_is_let_in_are_asked_anew(self):
        handover = VoterCatchUp("9", False)
        handover.set_voters(OLD, 0.0)
        request = self.requests(handover, 0.0)["a"]
        self.assertTrue(self.answer(handover, request, "1", "2")[1])
        handover.reply_saved(request.number)
        handover.set_voters({"a": "1", "b": "2", "d": "4"}, 0.5)
        self.assertEqual((handover.ready, list(self.requests(handover, 0.5))), (False, ["a", "b", "d"]))

    def test_where_no_majority_answers_it_counts_after_a_while(self):
        handover = VoterCatchUp("9", False)
        handover.set_voters(OLD, 0.0)
        self.requests(handover, MAX_WAIT_S - 0.1)
        self.assertFalse(handover.ready)
        self.requests(handover, MAX_WAIT_S)
        self.assertEqual((handover.ready, handover.timed_out), (True, True))

    def test_only_who_counts_answers_and_both_know_of_the_same_change(self):
        registry = ServiceRegistry("a")
        registry.record_heartbeat("up", Heartbeat("s", "10.0.0.1:80", "z", "v", 1, "up", 1, 0), 0.0)
        registry.record_heartbeat("out", Heartbeat("s", "10.0.0.2:80", "z", "v", 1, "draining", 1, 0), 0.0)
        voter = VoterCatchUp("1", True)
        voter.set_voters(OLD, 0.0)
        reply = voter.answer(StateTransferRequest(4, 7, 6), registry, {"k": 3}, 7, 6, 0.1)
        self.assertEqual(
            (reply.number, reply.voter_id, [r.id for r in reply.records], reply.fencing_tokens),
            (4, "1", ["out"], {"k": 3}),
        )
        self.assertIsNone(voter.answer(StateTransferRequest(4, 5, 2), registry, {}, 7, 6, 0.1))  # requester behind
        self.assertIsNone(voter.answer(StateTransferRequest(4, 9, 8), registry, {}, 7, 6, 0.1))  # voter behind
        voter.set_voters({"b": "2", "c": "3", "n": "9"}, 1.0)  # it was replaced, but knows what it confirmed
        self.assertIsNotNone(voter.answer(StateTransferRequest(4, 8, 8), registry, {}, 8, 8, 1.0))
        newcomer = VoterCatchUp("9", False)
        newcomer.set_voters(OLD, 0.0)
        newcomer.set_voters(NEW, 1.0)
        self.assertIsNone(newcomer.answer(StateTransferRequest(4, 8, 8), registry, {}, 8, 8, 1.0))


class NotesTest(unittest.TestCase):
    def test_what_was_learned_does_not_undo_what_was_confirmed_since(self):
        # A reply of a voter arrives, then the server drains and that is confirmed, then a majority has replied.
        written = []
        peers = mock.Mock(node=mock.Mock(me=Voter("9", "n"), voters_slot=0))
        store = mock.Mock(write=lambda records, done: written.extend(records))
        records = LeavingRecords(ServiceRegistry("n"), peers, mock.Mock(), store)
        learned = records.learn([ServerRecord("out", phase="up", seq=1, retired=1)], 1.0)
        drained = ServerRecord("out", phase="draining", seq=2, retired=1)
        records.on_replication_request("b", ReplicationRequest(drained), 1.1)
        written += records.notes(learned, 1.2)
        phases = [msgspec.msgpack.decode(note.value, type=ServerRecord).phase for note in written]
        self.assertEqual(phases, ["draining", "draining"])


class ConfirmingTest(unittest.TestCase):
    def test_a_voter_does_not_confirm_to_who_may_not_know_the_voters(self):
        # The requester knows slots up to 4; the voters have changed at slot 5.
        posted = []
        node = mock.Mock(me=Voter("1", "a"), voters_slot=5)
        peers = mock.Mock(node=node, post=lambda addr, message: posted.append(message))
        store = mock.Mock(write=lambda records, done: done(True))
        records = LeavingRecords(ServiceRegistry("a"), peers, mock.Mock(), store)
        record = ServerRecord("out", phase="draining", seq=1)
        for slot, confirmed in ((4, 0), (5, 1)):
            records.on_replication_request("b", ReplicationRequest(record, slot), 1.0)
            self.assertEqual(len(posted), confirmed)


if __name__ == "__main__":
    unittest.main()
