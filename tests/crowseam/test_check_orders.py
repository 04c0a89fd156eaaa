"""Orders: what the state remembers of taken changes, and the model check that plays operators."""

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


def order(ver, parent, name="a"):
    objs = f'[{{"type":"svcs","meta":{{"name":"{name}"}},"spec":{{}}}}]'
    body = f'{{"ver":"{ver:08x}","parent":"{parent:08x}","objs":{objs}}}'
    return parse_change("PUT", body.encode())


def taking(machine, count, first=1):
    """Have a machine take so many changes, one on the other."""
    for ver in range(first, first + count):
        entry = machine.propose(order(ver, ver - 1), f"t{ver}")
        machine.apply(ver, entry)
    return machine


class StateBefore(msgspec.Struct, array_like=True):
    """What the version before keeps on disks and sends as a snapshot."""

    whole: bytes
    taken: list[AppliedChange]


class MemoryTest(unittest.TestCase):
    """Verdicts on orders that come again. Told as letters: A again, F forgotten, U unknown parent, else the status."""

    def told(self, machine, *orders):
        letters = {AlreadyApplied: "A", OutcomeForgotten: "F", UnknownParent: "U", ConfigurationEntry: "taken"}
        outcomes = [machine.propose(one, "t") for one in orders]
        return " ".join(
            str(one.status) if isinstance(one, ConfigurationError) else letters[type(one)] for one in outcomes
        )

    def test_an_order_taken_hundreds_of_changes_ago_is_acknowledged_again(self):
        machine = taking(ConfigurationStateMachine(), 600)
        self.assertEqual(self.told(machine, order(1, 0), order(300, 299), order(600, 599)), "A A A")
        self.assertEqual(self.told(machine, order(300, 299, "b"), order(600, 600), order(601, 600)), "412 400 taken")

    def test_the_memory_goes_with_the_state(self):
        after = ConfigurationStateMachine()
        after.restore(taking(ConfigurationStateMachine(), 600).snapshot())
        self.assertEqual(self.told(after, order(1, 0), order(600, 599), order(1, 0, "b")), "A A 412")

    def test_what_was_forgotten_gets_no_clear_answer_unless_it_never_was_valid(self):
        machine = taking(ConfigurationStateMachine(max_recent=2, max_earlier=3), 10)
        self.assertEqual(machine.highest_forgotten_ver, 5)
        self.assertEqual(self.told(machine, *(order(ver, ver - 1) for ver in (1, 5, 6, 10))), "F F A A")
        self.assertEqual(
            self.told(machine, order(5, 4, "b"), order(6, 5, "b"), order(5, 10), order(5, 5)), "F 412 400 412"
        )

    def test_an_order_on_a_version_to_come_is_not_refused_as_a_delayed_copy_may_be_taken_later(self):
        machine = taking(ConfigurationStateMachine(), 3)
        ahead = order(6, 5)
        self.assertEqual(self.told(machine, ahead), "U")
        machine.apply(4, machine.propose(order(5, 3), "t"))
        self.assertEqual(self.told(machine, ahead), "taken")

    def test_an_order_on_a_version_to_come_is_refused_where_it_never_can_be_taken(self):
        machine = taking(ConfigurationStateMachine(), 3)
        orders = (order(5, 5), order(5, 6))
        self.assertEqual(self.told(machine, *orders), "412 412")

    def test_the_memory_is_bounded(self):
        machine = ConfigurationStateMachine()
        for ver in range(1, MAX_RECENT_CHANGES + MAX_EARLIER_CHANGES + 11):
            one = order(ver, ver - 1)
            machine.apply(ver, ConfigurationEntry("t", ver, ver - 1, True, one.body, one.digest))
        self.assertEqual((len(machine.recent), len(machine.earlier)), (MAX_RECENT_CHANGES, MAX_EARLIER_CHANGES))
        self.assertEqual(machine.highest_forgotten_ver, 10)
        self.assertLess(len(machine.snapshot()), MAX_RECENT_CHANGES * 90 + MAX_EARLIER_CHANGES * 20 + 200)

    def test_a_state_of_the_version_before_is_read_and_the_other_way_round(self):
        now = taking(ConfigurationStateMachine(), 300)
        before = StateBefore(now.config.dump(), list(now.recent.values()))
        machine = ConfigurationStateMachine()
        machine.restore(msgspec.msgpack.encode(before))
        # It kept the last 256, so nobody knows of those up to 44.
        self.assertEqual(self.told(machine, order(44, 43), order(45, 44), order(300, 299)), "F A A")
        self.assertEqual(msgspec.msgpack.decode(now.snapshot(), type=StateBefore), before)
        young = StateBefore(order(3, 2).body, list(taking(ConfigurationStateMachine(), 3).recent.values()))
        machine.restore(msgspec.msgpack.encode(young))
        self.assertEqual(self.told(machine, order(1, 0, "b"), order(1, 0)), "412 A")

    def test_a_state_that_is_cut_short_is_not_taken(self):
        with self.assertRaises(msgspec.DecodeError):
            ConfigurationStateMachine().restore(msgspec.msgpack.encode((order(1, 0).body, [], b"short", 0)))


class NodeTest(unittest.TestCase):
    def test_an_entry_that_cannot_be_read_is_left_out(self):
        # One that a process of another version proposed.
        machine = taking(ConfigurationStateMachine(), 1)
        try:
            machine.apply(2, ConfigurationEntry("t2", 2, 1, True, b"{", "ab" * 32))
        except ConfigurationError:
            self.fail("the entry was not left out")
        self.assertEqual(machine.config.ver, 1)
        self.assertEqual(taking(machine, 1, first=2).config.ver, 2)

    def test_a_proposal_that_may_lie_behind_a_snapshot_is_unclear(self):
        # The entry may be among those skipped, and have no digest that is known later.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(voters[0], disk.load(), ConfigurationStateMachine(), Random(1))
        node.submit("call", lambda machine: NoOpEntry("t"), 1.0)
        for name in "ab":
            node.handle(name, Promise(1, node._proposer.round.ballot, name), 1.01)
        effects = node.handle("c", Snapshot(5, taking(ConfigurationStateMachine(), 3).snapshot(), voters), 1.02)
        self.assertIn(CompleteRequest("call", OutcomeUnknown()), effects)

    def test_a_refusal_waits_for_the_word_of_a_majority(self):
        # What is refused here may be allowed by an entry that only the others know.
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(voters[0], disk.load(), ConfigurationStateMachine(), Random(1))
        refused = ConfigurationError(412, "parent", "not current")
        effects = node.submit("call", lambda machine: refused, 1.0)
        self.assertNotIn(CompleteRequest("call", refused), effects)
        (asked,) = (each.message for each in effects if isinstance(each, Send) and each.addr == "b")
        for name, told in (("a", False), ("b", True)):
            effects = node.handle(name, QuorumReadReply(asked.slot, asked.nonce, name, False), 1.01)
            self.assertEqual(CompleteRequest("call", refused) in effects, told)


class StepTest(unittest.TestCase):
    def test_a_step_that_leaves_one_out_is_not_taken(self):
        settings = Settings("edge-1", "10.1.0.1", "z", (7660, 7675), ["10.1.0.1:8407"], Bind())
        session = ControllerSession(mock.Mock(), settings, Random(1), mock.Mock(), None, None, dict)
        session.link = link = mock.Mock()
        session._on_message(link, ConfigurationState(7, pack(order(1, 0).body)))
        session._on_message(link, ConfigurationStep(9, True, pack(order(3, 2).body)))
        self.assertEqual((session.slot, session.config.ver, session.link), (7, 1, None))


class DayTest(unittest.TestCase):
    def test_operators_race_on_a_day_whose_answers_get_lost(self):
        day = read(Path(__file__).parents[2] / "examples" / "racing-operators.toml")
        day.length = 14.0
        day.faults = [fault for fault in day.faults if fault.at < 12.0]
        told, _ = simulation.run_day(day, 1)
        self.assertEqual((told.rules, told.failures, told.unacked), ({}, [], 0))
        self.assertGreaterEqual(len(told.acks), 6)


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
