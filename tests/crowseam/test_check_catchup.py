"""The model check of catch-up: a fixed set of schedules, and each mutant at its seed."""

import unittest
from random import Random

from crowseam.consensus.effects import Send
from crowseam.consensus.messages import ChosenEntries, ConfigurationEntry, JoinRequest, Voter, encode
from crowseam.consensus.node import Node
from crowseam.consensus.records import SnapshotRecord
from crowseam.consensus.timing import Timing
from crowseam.model_checks.agreement.check import Disk, ModelStateMachine
from crowseam.model_checks.catchup.check import MUTANTS, run

SEEDS = (0, 2, 4, 7)


class Check(unittest.TestCase):
    def test_a_fixed_set_of_schedules_has_no_violations(self):
        report = run(SEEDS)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.outcomes["slots"], 1000)
        self.assertGreater(report.outcomes["bytes of changes"], 100_000)

    def test_each_mutant_is_found_at_its_seed(self):
        for mutant in MUTANTS:
            with self.subTest(mutant.guard):
                if mutant.seed is None:
                    self.assertTrue(mutant.why, "a mutant without a seed needs a reason")
                else:
                    self.assertTrue(mutant.run([mutant.seed]).violations)


class Behind(unittest.TestCase):
    def test_a_member_far_behind_sends_no_request_that_every_voter_answers_with_the_log(self):
        # A call waits at a member that lacks 189 slots.  See docs/incidents/log-from-all.md.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(voters[0], disk.load(), ModelStateMachine(), Random(1), Timing(poll_all_voters=False))
        node.observe_slot("b", 189, 1.0)
        effects = node.read("call", 1.01)
        self.assertEqual([type(effect.message) for effect in effects if isinstance(effect, Send)], [])

    def test_an_unrequested_reply_is_short(self):
        # A request to join goes to all voters, and each voter ahead of the new member answers with a part of the log.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        timing = Timing(poll_all_voters=False)
        node = Node(voters[0], disk.load(), ModelStateMachine(), Random(1), timing)
        entries = [ConfigurationEntry(f"t{n}", n, n - 1, True, b"x" * 1000, f"{n}") for n in range(1, 41)]
        node.handle("b", ChosenEntries(1, entries, 40), 1.0)
        effects = node.handle("new", JoinRequest(Voter("new", "new"), 1), 1.01)
        (reply,) = [effect.message for effect in effects if isinstance(effect, Send) and effect.addr == "new"]
        size = len(encode(reply))
        self.assertGreater(len(reply.entries), 0)
        self.assertLessEqual(size, timing.max_run_bytes // 4)
