"""Orders: what the replicated state remembers of applied changes, and the model check of operators."""

import unittest
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

from crowseam.cli.model_check import run_known_mutants
from crowseam.configuration.model import ConfigurationError, parse_change
from crowseam.consensus.effects import CompleteRequest, Send
from crowseam.consensus.messages import ConfigurationEntry, NoOpEntry, Promise, QuorumReadReply, Snapshot, Voter
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import OutcomeUnknown
from crowseam.consensus.records import SnapshotRecord
from crowseam.controller.state_machine import (
    MAX_EARLIER_CHANGES,
    MAX_RECENT_CHANGES,
    AlreadyApplied,
    AppliedChange,
    ConfigurationStateMachine,
    OutcomeForgotten,
    UnknownParent,
)
from crowseam.gateway.controller_session import ControllerSession
from crowseam.model_checks.agreement.check import Disk
from crowseam.model_checks.orders import check
from crowseam.settings import Bind, Settings
from crowseam.simulator import simulation
from crowseam.simulator.scenario.day import read
from crowseam.transport.codec import pack
from crowseam.transport.messages import ConfigurationState, ConfigurationStep


def change(ver, parent, name="a"):
    objs = f'[{{"type":"svcs","meta":{{"name":"{name}"}},"spec":{{}}}}]'
    body = f'{{"ver":"{ver:08x}","parent":"{parent:08x}","objs":{objs}}}'
    return parse_change("PUT", body.encode())


def apply_changes(machine, count, first=1):
    """Apply `count` changes in succession."""
    for ver in range(first, first + count):
        entry = machine.propose(change(ver, ver - 1), f"t{ver}")
        machine.apply(ver, entry)
    return machine


class PreviousFormat(msgspec.Struct, array_like=True):
    """The snapshot format of the previous version."""

    whole: bytes
    taken: list[AppliedChange]


class MemoryTest(unittest.TestCase):
    """Outcomes of repeated changes: A already applied, F forgotten, U unknown parent, else the status."""

    def outcomes(self, machine, *changes):
        codes = {AlreadyApplied: "A", OutcomeForgotten: "F", UnknownParent: "U", ConfigurationEntry: "taken"}
        outcomes = [machine.propose(one, "t") for one in changes]
        return " ".join(
            str(one.status) if isinstance(one, ConfigurationError) else codes[type(one)] for one in outcomes
        )

    def test_an_order_taken_hundreds_of_changes_ago_is_acknowledged_again(self):
        machine = apply_changes(ConfigurationStateMachine(), 600)
        self.assertEqual(self.outcomes(machine, change(1, 0), change(300, 299), change(600, 599)), "A A A")
        self.assertEqual(
            self.outcomes(machine, change(300, 299, "b"), change(600, 600), change(601, 600)), "412 400 taken"
        )

    def test_the_memory_goes_with_the_state(self):
        after = ConfigurationStateMachine()
        after.restore(apply_changes(ConfigurationStateMachine(), 600).snapshot())
        self.assertEqual(self.outcomes(after, change(1, 0), change(600, 599), change(1, 0, "b")), "A A 412")

    def test_what_was_forgotten_gets_no_clear_answer_unless_it_never_was_valid(self):
        machine = apply_changes(ConfigurationStateMachine(max_recent=2, max_earlier=3), 10)
        self.assertEqual(machine.highest_forgotten_ver, 5)
        self.assertEqual(self.outcomes(machine, *(change(ver, ver - 1) for ver in (1, 5, 6, 10))), "F F A A")
        self.assertEqual(
            self.outcomes(machine, change(5, 4, "b"), change(6, 5, "b"), change(5, 10), change(5, 5)), "F 412 400 412"
        )

    def test_an_order_on_a_version_to_come_is_not_refused_as_a_delayed_copy_may_be_taken_later(self):
        machine = apply_changes(ConfigurationStateMachine(), 3)
        ahead = change(6, 5)
        self.assertEqual(self.outcomes(machine, ahead), "U")
        machine.apply(4, machine.propose(change(5, 3), "t"))
        self.assertEqual(self.outcomes(machine, ahead), "taken")

    def test_an_order_on_a_version_to_come_is_refused_where_it_never_can_be_taken(self):
        machine = apply_changes(ConfigurationStateMachine(), 3)
        changes = (change(5, 5), change(5, 6))
        self.assertEqual(self.outcomes(machine, *changes), "412 412")

    def test_the_memory_is_bounded(self):
        machine = ConfigurationStateMachine()
        for ver in range(1, MAX_RECENT_CHANGES + MAX_EARLIER_CHANGES + 11):
            one = change(ver, ver - 1)
            machine.apply(ver, ConfigurationEntry("t", ver, ver - 1, True, one.body, one.digest))
        self.assertEqual((len(machine.recent), len(machine.earlier)), (MAX_RECENT_CHANGES, MAX_EARLIER_CHANGES))
        self.assertEqual(machine.highest_forgotten_ver, 10)
        self.assertLess(len(machine.snapshot()), MAX_RECENT_CHANGES * 90 + MAX_EARLIER_CHANGES * 20 + 200)

    def test_a_state_of_the_version_before_is_read_and_the_other_way_round(self):
        now = apply_changes(ConfigurationStateMachine(), 300)
        before = PreviousFormat(now.config.dump(), list(now.recent.values()))
        machine = ConfigurationStateMachine()
        machine.restore(msgspec.msgpack.encode(before))
        # The previous version kept the last 256 changes, so those up to 44 are forgotten.
        self.assertEqual(self.outcomes(machine, change(44, 43), change(45, 44), change(300, 299)), "F A A")
        self.assertEqual(msgspec.msgpack.decode(now.snapshot(), type=PreviousFormat), before)
        young = PreviousFormat(change(3, 2).body, list(apply_changes(ConfigurationStateMachine(), 3).recent.values()))
        machine.restore(msgspec.msgpack.encode(young))
        self.assertEqual(self.outcomes(machine, change(1, 0, "b"), change(1, 0)), "412 A")

    def test_a_state_that_is_cut_short_is_not_taken(self):
        with self.assertRaises(msgspec.DecodeError):
            ConfigurationStateMachine().restore(msgspec.msgpack.encode((change(1, 0).body, [], b"short", 0)))


class NodeTest(unittest.TestCase):
    def test_an_entry_that_cannot_be_read_is_left_out(self):
        # An entry proposed by a process of another version.
        machine = apply_changes(ConfigurationStateMachine(), 1)
        try:
            machine.apply(2, ConfigurationEntry("t2", 2, 1, True, b"{", "ab" * 32))
        except ConfigurationError:
            self.fail("the entry was not left out")
        self.assertEqual(machine.config.ver, 1)
        self.assertEqual(apply_changes(machine, 1, first=2).config.ver, 2)

    def test_a_proposal_that_may_lie_behind_a_snapshot_is_unclear(self):
        # The entry may be one of those skipped, and its digest may be unknown later.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(voters[0], disk.load(), ConfigurationStateMachine(), Random(1))
        node.submit("call", lambda machine: NoOpEntry("t"), 1.0)
        for name in "ab":
            node.handle(name, Promise(1, node._proposer.round.ballot, name), 1.01)
        effects = node.handle("c", Snapshot(5, apply_changes(ConfigurationStateMachine(), 3).snapshot(), voters), 1.02)
        self.assertIn(CompleteRequest("call", OutcomeUnknown()), effects)

    def test_a_refusal_waits_for_the_word_of_a_majority(self):
        # An entry that only the other voters know may allow a change that is refused here.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(voters[0], disk.load(), ConfigurationStateMachine(), Random(1))
        refused = ConfigurationError(412, "parent", "not current")
        effects = node.submit("call", lambda machine: refused, 1.0)
        self.assertNotIn(CompleteRequest("call", refused), effects)
        (asked,) = (each.message for each in effects if isinstance(each, Send) and each.addr == "b")
        for name, is_confirmed in (("a", False), ("b", True)):
            effects = node.handle(name, QuorumReadReply(asked.slot, asked.nonce, name, False), 1.01)
            self.assertEqual(CompleteRequest("call", refused) in effects, is_confirmed)


class StepTest(unittest.TestCase):
    def test_a_step_that_leaves_one_out_is_not_taken(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        session = ControllerSession(mock.Mock(), settings, Random(1), mock.Mock(), None, None, dict)
        session.link = link = mock.Mock()
        session._on_message(link, ConfigurationState(7, pack(change(1, 0).body)))
        session._on_message(link, ConfigurationStep(9, True, pack(change(3, 2).body)))
        self.assertEqual((session.slot, session.config.ver, session.link), (7, 1, None))


class ScenarioTest(unittest.TestCase):
    def test_concurrent_operators_in_a_scenario_with_lost_answers(self):
        day = read(Path(__file__).parents[2] / "examples" / "racing-operators.toml")
        day.length = 14.0
        day.faults = [fault for fault in day.faults if fault.at < 12.0]
        record, _ = simulation.run_day(day, 1)
        self.assertEqual((record.rules, record.failures, record.unacked), ({}, [], 0))
        self.assertGreaterEqual(len(record.acks), 6)


class CheckTest(unittest.TestCase):
    def test_nothing_breaks(self):
        report = check.run(range(20, 26))
        self.assertEqual(report.violations, [])
        for outcome in ("taken", "again", "unclear", "refused 400", "refused 412", "read"):
            self.assertGreater(report.outcomes[outcome], 10, outcome)

    def test_nothing_breaks_with_orders_on_versions_to_come(self):
        self.assertEqual(check.run((9, 19, 29)).violations, [])

    def test_each_known_mutant_is_found_at_its_seed(self):
        for mutant, violations in run_known_mutants("orders"):
            self.assertTrue(violations, mutant.guard)

    def test_a_mutant_without_a_seed_says_why(self):
        for mutant in check.MUTANTS:
            self.assertTrue(mutant.seed is not None or mutant.why, mutant.guard)


if __name__ == "__main__":
    unittest.main()
