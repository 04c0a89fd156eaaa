"""Changes of voters: single rules, and the model check with its mutants."""

from __future__ import annotations

import unittest
from random import Random

from crowseam.cli.model_check import run_known_mutants
from crowseam.consensus import messages as wire
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.messages import Voter, VotersEntry
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed
from crowseam.consensus.records import ChosenRecord, SnapshotRecord
from crowseam.consensus.timing import Timing
from crowseam.consensus.voter_selection import next_voters
from crowseam.model_checks.agreement.check import ChangeRequest, Disk, ModelStateMachine, World
from crowseam.model_checks.membership.check import MUTANTS, run


def voting(world: World) -> list[str]:
    """Return the addresses of the current voters."""
    return sorted(voter.addr for voter in world.voters[max(world.chosen, default=0)])


class Asking(unittest.TestCase):
    def test_one_that_is_not_ready_does_not_ask_to_join(self):
        world = World(1, ["m0", "m1", "m2"], Node)
        world.start("m3")
        node = world.hosts["m3"].node
        node.ready_to_vote = False
        world.run_until(5.0)
        self.assertEqual(voting(world), ["m0", "m1", "m2"])
        self.assertEqual(node.last_slot, max(world.chosen, default=0))
        node.ready_to_vote = True
        world.run_until(7.0)
        self.assertEqual(voting(world), ["m0", "m1", "m2", "m3"])


class Leaving(unittest.TestCase):
    def _four(self) -> World:
        world = World(1, ["m0", "m1", "m2"], Node, timing=Timing(kept_slots=4))
        world.start("m3")
        world.run_until(2.0)
        self.assertEqual(voting(world), ["m0", "m1", "m2", "m3"])
        return world

    def _leave(self, world: World, addr: str) -> Node:
        node = world.hosts[addr].node
        world._run_effects(world.hosts[addr], node.leave(world.now))
        return node

    def test_one_that_leaves_serves_until_the_others_know(self):
        # time | m0    | m1   | m2   | m3
        # 2.0  | leave |      |      |
        #      | removed by its own vote, m3's and one more; the change may be known to m0 alone
        #      | the next entry is accepted by two of m1, m2, m3: m0 has left
        world = self._four()
        node = self._leave(world, "m0")
        self.assertTrue(node.should_wait_to_leave)
        while not node.has_left:
            world.run_until(world.now + 0.001)
        self.assertFalse(node.should_wait_to_leave)
        self.assertLess(world.now, 3.0)
        removal_slot = next(
            slot for slot, entry in sorted(world.chosen.items(), reverse=True) if isinstance(entry, VotersEntry)
        )
        self.assertEqual(voting(world), ["m1", "m2", "m3"])
        informed = [a for a in ("m1", "m2", "m3") if removal_slot in world.hosts[a].disk.content.chosen]
        self.assertGreaterEqual(len(informed), 2)

    def test_a_second_loss_as_the_leaver_has_gone_is_borne(self):
        # time | m0          | m1    | m2        | m3
        # 2.0  | leave, gone | crash | put, read |
        world = self._four()
        node = self._leave(world, "m0")
        while not node.has_left:
            world.run_until(world.now + 0.001)
        world.crash("m0")
        world.crash("m1")
        world.submit("m2", "put", ChangeRequest(1, 0))
        world.run_until(world.now + 1.0)
        self.assertIsInstance(world.answers["put"], Committed)

    def test_of_three_none_is_struck_off_without_a_successor(self):
        world = World(1, ["m0", "m1", "m2"], Node)
        world.run_until(1.0)
        node = self._leave(world, "m0")
        world.run_until(3.0)
        self.assertFalse(node.has_left or node.should_wait_to_leave)
        self.assertEqual(voting(world), ["m0", "m1", "m2"])
        world.start("m3")
        world.run_until(5.0)
        self.assertTrue(node.has_left)
        self.assertEqual(voting(world), ["m1", "m2", "m3"])

    def test_a_newcomer_takes_the_place_of_one_that_left_in_haste(self):
        # time  | m2    | m3
        # 1.0   | leave | start, not ready
        # t=2.5 | crash, heard until then, asked to leave 0.3 s before
        # t+0.6 |       | ready: m2 has been silent too briefly to count as gone, but it has asked to leave
        world = World(1, ["m0", "m1", "m2"], Node)
        world.run_until(1.0)
        world.start("m3")
        newcomer = world.hosts["m3"].node
        newcomer.ready_to_vote = False
        node = self._leave(world, "m2")
        world.run_until(2.5)
        world.run_until(node._reconfiguration._next_request_at - 0.005)
        for addr in ("m0", "m1"):
            world.hosts[addr].node.record_contact("m2", world.now)
        world.crash("m2")
        world.run_until(world.now + 0.6)
        newcomer.ready_to_vote = True
        world._run_effects(world.hosts["m3"], newcomer.tick(world.now))
        # At once, long before the silence of m2 would suffice; and no further change later.
        for until in (world.now + 0.3, 6.0):
            world.run_until(until)
            voter_sets = [entry.voters for entry in world.chosen.values() if isinstance(entry, VotersEntry)]
            self.assertEqual([[voter.addr for voter in voters] for voters in voter_sets], [["m3", "m0", "m1"]])

    def test_a_leaver_is_kept_while_another_may_be_gone(self):
        voters = [Voter(name, name) for name in "abcde"]
        silence = {"b": 1.0}

        def wanted() -> list[Voter] | None:
            return next_voters(
                voters,
                [Voter("f", "f")],
                {"a"},
                lambda addr: silence.get(addr, 0.0),
                tolerated_failures=2,
                timing=Timing(suspect_after_s=0.75, replace_after_s=1.2, evict_after_s=2.0),
            )

        self.assertIsNone(wanted())
        silence["b"] = 1.3
        self.assertEqual([voter.addr for voter in wanted()], ["a", "c", "d", "e", "f"])
        silence["b"] = 0.1
        self.assertEqual([voter.addr for voter in wanted()], ["b", "c", "d", "e", "f"])


class Requests(unittest.TestCase):
    def _node(self) -> Node:
        voters = [Voter(name, name) for name in "abc"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1), ChosenRecord(1, wire.NoOpEntry("t"))])
        node = Node(Voter("a", "a"), disk.load(), ModelStateMachine(), Random(2), Timing(poll_all_voters=False))
        node.tick(1.0)
        return node

    def _hear(self, node: Node, now: float, *others: str) -> None:
        for other in others:
            node.record_contact(other, now)

    def test_the_word_of_a_lost_disk_that_waited_lets_nobody_in(self):
        # b lost its disk, asked to join as "old", lost it again, and was admitted as "new"; a was frozen, and
        # receives the request of "old" only now.
        node = self._node()
        self._hear(node, 1.1, "b", "c")
        node.handle("b", wire.JoinRequest(Voter("old", "b"), 1), 1.1)
        self.assertIsNotNone(node._reconfiguration._wanted_voters())
        new = VotersEntry("v", [Voter("a", "a"), Voter("new", "b"), Voter("c", "c")])
        node.handle("c", wire.ChosenEntries(2, [new], 2), 1.11)
        self.assertIsNone(node._reconfiguration._wanted_voters())
        node.handle("b", wire.JoinRequest(Voter("third", "b"), 2), 1.12)
        self.assertEqual([voter.id for voter in node._reconfiguration._wanted_voters()], ["a", "c", "third"])

    def test_one_far_behind_is_told_and_not_let_in(self):
        node = self._node()
        self._hear(node, 1.1, "b", "c")
        node.handle("c", wire.ChosenEntries(2, [wire.NoOpEntry(f"n{at}") for at in range(6)], 7), 1.1)
        effects = node.handle("d", wire.JoinRequest(Voter("d", "d"), 2), 1.11)
        self.assertIsNone(node._reconfiguration._wanted_voters())
        told = [e.message for e in effects if isinstance(e, Send) and e.addr == "d"]
        self.assertEqual([(message.slot, message.last_slot) for message in told], [(3, 7)])
        node.handle("d", wire.JoinRequest(Voter("d", "d"), 3), 1.12)
        self.assertEqual(len(node._reconfiguration._wanted_voters()), 4)

    def test_one_that_was_deaf_strikes_off_nobody_it_has_yet_to_hear(self):
        # time | a receives from
        # 1.0  | b c d
        # 4.0  | none: a is partitioned, not the others
        # 4.2  | b c     the link to d is not restored yet
        # 6.3  | b c     d has been silent for long enough
        node = self._node()
        node.handle("c", wire.ChosenEntries(2, [VotersEntry("v", [Voter(name, name) for name in "abcd"])], 2), 1.0)
        self._hear(node, 1.0, "b", "c", "d")
        for at in range(11, 41):
            node.tick(at / 10)
        self._hear(node, 4.2, "b", "c")
        self.assertIsNone(node._reconfiguration._wanted_voters())
        for at in range(42, 64):
            self._hear(node, at / 10, "b", "c")
            node.tick(at / 10)
        self.assertEqual([voter.addr for voter in node._reconfiguration._wanted_voters()], ["a", "b", "c"])

    def test_one_that_stood_still_strikes_off_nobody_whose_word_still_waits(self):
        # time | a
        # 1.0  | receives from b c d
        # 1.1  | freezes
        # 30.0 | reads the messages of b and c; those of d are queued behind them
        node = self._node()
        node.handle("c", wire.ChosenEntries(2, [VotersEntry("v", [Voter(name, name) for name in "abcd"])], 2), 1.0)
        self._hear(node, 1.0, "b", "c", "d")
        for other in "bc":
            node.observe_slot(other, 2, 30.0)
        self.assertIsNone(node._reconfiguration._wanted_voters())

    def test_a_newcomer_that_fell_silent_is_not_let_in(self):
        # d asks to join while the link to c is down, and stops; no voter is added until c is heard again.  The request
        # expires at 2.86 s, without a failed request to d.
        node = self._node()
        node.tick(2.0)
        self._hear(node, 2.05, "b")
        node.handle("d", wire.JoinRequest(Voter("d", "d"), 1), 2.1)
        self.assertIsNone(node._reconfiguration._wanted_voters())
        for at in range(22, 31):
            self._hear(node, at / 10, "b", "c")
            node.tick(at / 10)
            if at == 29:
                self.assertIsNone(node._reconfiguration._wanted_voters())
        self.assertIsNone(node._reconfiguration._wanted_voters())

    def _answer(self, node: Node, effects: list[Effect], now: float) -> list[Effect]:
        """Answer all quorum reads of the node before its proposal; return the effects."""
        out: list[Effect] = []
        for asked in effects:
            if isinstance(asked, Send) and isinstance(asked.message, wire.QuorumRead):
                answer = wire.QuorumReadReply(asked.message.slot, asked.message.nonce, asked.addr, False)
                out += node.handle(asked.addr, answer, now)
        return out

    def test_while_a_change_of_its_own_is_under_way_it_proposes_no_other(self):
        node = self._node()
        for at in range(11, 16):
            self._hear(node, at / 10, "b", "c")
            asked = node.handle("d", wire.JoinRequest(Voter("d", "d"), 1), at / 10) + node.tick(at / 10)
            self._answer(node, asked, at / 10)
        self.assertEqual(len(node._requests), 1)

    def test_a_turn_outlasts_other_entries(self):
        # c, which proposes after a and b, has its turn 0.4 s to 0.5 s after the request, whatever is chosen.
        voters = [Voter(name, name) for name in "abcd"]
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", voters, 1)])
        node = Node(Voter("c", "c"), disk.load(), ModelStateMachine(), Random(2), Timing(poll_all_voters=False))
        node.tick(1.0)
        proposed = []
        for at in range(1, 12):
            now = 1.0 + at / 20
            self._hear(node, now, "a", "b", "d")
            effects = node.handle("d", wire.LeaveRequest(voters[3]), now)
            effects += node.handle("a", wire.ChosenEntries(at, [wire.NoOpEntry(f"n{at}")], at), now) + node.tick(now)
            effects += self._answer(node, effects, now)
            proposed += [now for e in effects if isinstance(e, Send) and isinstance(e.message, wire.Prepare)]
        self.assertTrue(proposed)
        self.assertGreater(min(proposed), 1.4)


class ModelCheck(unittest.TestCase):
    def test_random_schedules(self):
        report = run(range(24))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.outcomes["voters"], 100)
        self.assertGreater(report.outcomes["left"], 8)

    def test_known_mutants_are_found(self):
        for mutant, violations in run_known_mutants("membership"):
            with self.subTest(mutant.guard):
                self.assertTrue(violations)

    def test_each_mutant_has_a_seed_or_a_reason(self):
        for mutant in MUTANTS:
            self.assertTrue(mutant.seed is not None or mutant.why, mutant.guard)
