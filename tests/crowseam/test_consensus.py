"""Consensus: scripted timelines with one column per machine, the model check, and malformed messages."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from crowseam.consensus import messages as wire
from crowseam.consensus.effects import NotifyApplied, Persist, Send
from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import Ballot, ConfigurationEntry, Voter, VotersEntry, decode, encode
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed, OutcomeUnknown, ReadReady
from crowseam.consensus.records import ChosenRecord, DurableState, SlotVote, SnapshotRecord, VoteRecord
from crowseam.consensus.timing import Timing
from crowseam.consensus.voter_selection import assign_identity, next_voters
from crowseam.model_checks.agreement.check import ChangeRequest, Disk, ModelStateMachine, World, run
from crowseam.model_checks.agreement.exhaustive import explore
from crowseam.model_checks.agreement.mutants import (
    ChangesVotersUnproven,
    KeepsChangesAfterPause,
    RecoversVotesWithoutVoters,
)
from crowseam.model_checks.agreement.parts import node_with
from crowseam.model_checks.schedules import Violation

TIMING = Timing(suspect_after_s=0.7, replace_after_s=1.2, evict_after_s=2.0)
OUTCOMES = {"taken": Committed, "fresh": ReadReady, "unclear": OutcomeUnknown, "stale": "stale", "same": "same"}


class Timeline:
    """Plays a timeline drawn as a table: one row per time (s), one column per machine.

    Actions:
    put V/P         an operator submits version V with parent P
    read            an operator reads
    start, crash    the machine starts or crashes; wipe: it crashes and loses its disk
    cut, join       its links are cut or restored
    jam, free       its disk fails all writes, or works again

    Checks:
    votes, out      the machine is a voter, or is not
    open            the last put or read has no outcome yet
    taken, stale, same, fresh, unclear   its outcome, see `OUTCOMES`
    settled         the put was taken, stale or same
    """

    def __init__(self, drawing: str, seed: int = 1, timing: Timing | None = None, founders: int = 3) -> None:
        rows = [[cell.strip() for cell in line.split("|")] for line in drawing.strip().splitlines()]
        self.machines = rows[0][1:]
        self.world = World(seed, self.machines[:founders], timing=timing)
        self.request_ids: dict[str, str] = {}
        for moment, *cells in rows[1:]:
            self.world.run_until(float(moment))
            for machine, cell in zip(self.machines, cells, strict=True):
                for act in cell.split(", ") if cell else ():
                    self._do(float(moment), machine, *act.split())

    def _do(self, moment: float, machine: str, act: str, *details: str) -> None:
        world = self.world
        links = {frozenset((machine, other)) for other in self.machines if other != machine}
        match act:
            case "put":
                ver, parent = map(int, details[0].split("/"))
                self.request_ids[machine] = f"{machine}@{moment}"
                world.submit(machine, self.request_ids[machine], ChangeRequest(ver, parent))
            case "read":
                self.request_ids[machine] = f"{machine}@{moment}"
                world.read(machine, self.request_ids[machine])
            case "start":
                world.start(machine)
            case "crash" | "wipe":
                world.crash(machine, lose_disk=act == "wipe")
            case "cut":
                world.cut |= links
            case "join":
                world.cut -= links
            case "jam" | "free":
                world.hosts[machine].disk.fails_writes = act == "jam"
            case "votes" | "out":
                voters = world.voters[max(world.chosen, default=0)]
                name = world.hosts[machine].disk.content.id
                assert (Voter(name, machine) in voters) is (act == "votes"), (moment, machine, voters)
            case _:
                self._check_outcome(moment, machine, act, world.answers.get(self.request_ids[machine]))

    def _check_outcome(self, moment: float, machine: str, act: str, outcome: object) -> None:
        where = f"{machine} at {moment}: {outcome}, not {act}"
        if act == "open":
            assert outcome is None, where
        elif act == "settled":
            assert isinstance(outcome, Committed) or outcome in ("stale", "same"), where
        else:
            wanted = OUTCOMES[act]
            assert outcome == wanted if isinstance(wanted, str) else isinstance(outcome, wanted), where


class Timelines(unittest.TestCase):
    def test_a_change_takes_two_round_trips_and_is_read_everywhere(self):
        Timeline("""
            time | m0      | m1    | m2
            1.0  | put 1/0 |       |
            1.03 | taken   | read  | read
            1.05 |         | fresh | fresh
        """)

    def test_of_two_concurrent_changes_one_is_chosen_and_both_are_answered(self):
        for seed in range(20):
            line = Timeline(
                """
                time  | m0      | m1 | m2
                1.0   | put 5/0 |    | put 7/0
                1.2   | settled |    | settled
            """,
                seed,
            )
            self.assertEqual(sorted(line.world.outcomes.items()), [("stale", 1), ("taken", 1)])

    def test_only_the_majority_side_of_a_partition_accepts_changes(self):
        Timeline("""
            time | m0           | m1      | m2
            1.0  | cut          |         |
            1.1  | put 1/0      | put 2/0 |
            1.2  | open         | taken   |
            2.0  | join         |         |
            2.9  | stale, read  |         |
            3.0  | fresh        |         |
        """)

    def test_a_ballot_of_a_crashed_proposer_is_finished_by_the_others(self):
        line = Timeline(
            """
            time  | m0           | m1   | m2
            1.0   | put 1/0      |      |
            1.012 | crash        |      |
            1.7   |              |      |
        """,
            seed=3,
        )
        for machine in ("m1", "m2"):
            self.assertEqual(line.world.hosts[machine].state_machine.ver, 1)
        self.assertEqual(line.world.answers, {})

    def test_a_change_retried_at_another_machine_is_chosen_once(self):
        line = Timeline("""
            time  | m0      | m1      | m2
            1.0   | put 1/0 |         |
            1.002 |         | put 1/0 |
            1.3   | settled | settled | put 1/0
            1.4   |         |         | same
        """)
        changes = [entry for entry in line.world.chosen.values() if isinstance(entry, ConfigurationEntry)]
        self.assertEqual(len(changes), 1)

    def test_an_acknowledged_change_survives_a_crash_of_all(self):
        Timeline("""
            time | m0      | m1    | m2
            1.0  | put 1/0 |       |
            1.03 | taken   |       |
            1.03 | crash   | crash | crash
            2.0  | start   | start | start
            2.1  | read    | read  | read
            2.5  | fresh   | fresh | fresh
        """)

    def test_an_acknowledged_change_survives_a_lost_disk_and_a_crash_of_all(self):
        Timeline("""
            time | m0      | m1    | m2
            1.0  | put 1/0 |       |
            1.03 | taken   |       |
            1.03 | wipe    | crash | crash
            2.0  | start   | start | start
            2.1  | read    | read  | read
            2.9  | fresh, votes | fresh | fresh, put 2/1
            3.0  |         |       | taken
        """)

    def test_a_machine_that_lost_its_disk_comes_back_under_a_new_id(self):
        line = Timeline("""
            time | m0      | m1   | m2
            1.0  | put 1/0 | wipe |
            1.1  | taken   |      |
            1.5  |         | start |
            2.5  |         | votes | wipe
            3.0  | put 2/1 |       |
            3.5  | taken   |       | start
            4.5  |         | read  | votes
            4.6  |         | fresh |
        """)
        names = [voter.id for voter in line.world.hosts["m0"].node.voters]
        self.assertEqual(len(names), 3)
        self.assertNotIn("genesis/m1", names)

    def test_a_new_machine_replaces_a_failed_one(self):
        line = Timeline("""
            time | m0   | m1      | m2 | m3
            1.0  | wipe |         |    |
            3.0  |      | put 1/0 |    | start
            3.5  |      | taken   |    | votes
        """)
        self.assertEqual(
            [v.addr for v in sorted(line.world.hosts["m1"].node.voters, key=lambda v: v.addr)], ["m1", "m2", "m3"]
        )

    def test_a_fourth_machine_is_added_and_a_failed_one_removed(self):
        Timeline("""
            time | m0    | m1 | m2   | m3
            1.0  |       |    |      | start
            1.8  | votes | votes | votes | votes
            2.0  |       |    | wipe |
            5.5  |       |    | out  | votes
            5.6  | crash |    |      | put 1/0
            5.9  |       |    |      | taken
        """)

    def test_a_removed_voter_comes_back_after_a_partition(self):
        Timeline("""
            time | m0    | m1   | m2   | m3
            1.0  |       |      |      | start
            2.0  |       |      | cut  | votes
            5.5  |       | put 1/0 | out  |
            6.0  |       | taken   | join |
            7.5  |       |      | votes, read |
            7.6  |       |      | fresh |
        """)

    def test_a_machine_whose_disk_fails_acknowledges_nothing(self):
        Timeline("""
            time | m0      | m1      | m2
            1.0  | jam     |         |
            1.1  | put 1/0 |         |
            1.2  | taken   |         |
            1.3  |         | jam     |
            1.4  |         | put 2/1 |
            5.5  |         | unclear |
            5.6  |         | free    |
            6.9  |         | put 3/1 |
            7.5  |         | settled |
            7.6  | crash   | crash   | crash
            8.0  | free, start | start | start
            8.1  | read    |         |
            8.9  | fresh   |         |
        """)

    def test_a_machine_far_behind_gets_a_snapshot_instead_of_the_log(self):
        puts = "\n".join(f"{2 + n / 10} | put {n}/{n - 1} | |" for n in range(1, 21))
        line = Timeline(
            f"""
            time | m0 | m1 | m2
            1.0  |    |    | crash
            {puts}
            5.0  | taken | | start
            6.0  |    |    | read
            6.1  |    |    | fresh
        """,
            timing=Timing(kept_slots=4),
        )
        self.assertEqual(line.world.hosts["m2"].state_machine.ver, 20)
        self.assertLessEqual(len(line.world.hosts["m0"].node.entries_from(line.world.hosts["m0"].node.first_slot)), 8)


class VoterSelection(unittest.TestCase):
    def test_one_change_at_a_time(self):
        a, b, c, d, new = (Voter(name, name) for name in ("a", "b", "c", "d", "new"))
        restarted = Voter("a2", "a")
        cases = [
            ("nothing to do", [a, b, c], [], {}, [], None),
            ("added", [a, b, c], [new], {}, [], [a, b, c, new]),
            ("its earlier incarnation is replaced", [a, b, c], [restarted], {}, [], [restarted, b, c]),
            ("in place of one without contact", [a, b, c], [new], {"c": 1.5}, [], [a, b, new]),
            ("too few to remove one", [a, b, c], [], {"c": 9}, [], None),
            ("removed", [a, b, c, d], [], {"d": 9}, [], [a, b, c]),
            ("not without contact for long enough", [a, b, c, d], [], {"d": 1.9}, [], None),
            ("not added beside a suspected one", [a, b, c], [new], {"c": 1.0}, [], None),
            ("no majority", [a, b, c, d], [new], {"c": 9, "d": 9}, [], None),
            ("one that leaves", [a, b, c, d], [], {}, ["b"], [a, c, d]),
            ("in place of one that leaves", [a, b, c], [new], {}, ["b"], [a, c, new]),
            ("the last three stay", [a, b, c], [], {}, ["b"], None),
        ]
        for name, voters, joining, silent, leaving, wanted in cases:
            with self.subTest(name):
                got = next_voters(voters, joining, leaving, lambda x, s=silent: s.get(x, 0.0), 1, TIMING)
                self.assertEqual(got, sorted(wanted) if wanted else None)
        five = [a, b, c, d, new]
        self.assertIsNone(next_voters(five, [], [], lambda x: 9.0 * (x == "d"), 2, TIMING))

    def test_voters_without_a_disk_are_replaced(self):
        for diskless in (["m1"], ["m0", "m1", "m2"]):
            world = World(5, ["m0", "m1", "m2"])
            for addr in diskless:
                world.hosts[addr].node.voting = False
            newcomers = [f"m{3 + n}" for n in range(len(diskless))]
            for addr in newcomers:
                world.start(addr)
            world.run_until(4.0)
            wanted = {"m0", "m1", "m2"} - set(diskless) | set(newcomers)
            self.assertEqual({voter.addr for voter in world.hosts["m0"].node.voters}, wanted)

    def test_a_machine_without_a_disk_asks_to_remove_its_earlier_incarnation(self):
        world = World(5, ["m0", "m1", "m2"])
        world.start("m3")
        world.run_until(1.0)
        world.crash("m1", lose_disk=True)
        world.start("m1")
        world.hosts["m1"].node.voting = False
        world.run_until(3.0)
        self.assertEqual({voter.addr for voter in world.hosts["m0"].node.voters}, {"m0", "m2", "m3"})

    def test_only_an_empty_disk_at_the_first_start_makes_a_founder(self):
        seeds = ["b", "a", "c"]
        for bootstrap, addr, founder in ((True, "a", True), (False, "a", False), (True, "d", False)):
            disk = Disk()
            durable = disk.load()
            disk.write(assign_identity(durable, addr, seeds, bootstrap, Random(1)))
            self.assertEqual(disk.load().id == f"genesis/{addr}", founder)
            self.assertEqual(disk.load().snapshot is not None, founder)
            self.assertEqual(assign_identity(disk.load(), addr, seeds, bootstrap, Random(2)), [])


class Failures(unittest.TestCase):
    def _node(self) -> Node:
        disk = Disk()
        durable = disk.load()
        disk.write(assign_identity(durable, "a", ["a", "b", "c"], True, Random(1)))
        return Node(Voter(durable.id, "a"), durable, ModelStateMachine(), Random(2))

    def test_chosen_entries_that_could_not_be_written_go_with_the_next_write(self):
        node = self._node()
        entry = ConfigurationEntry("t", 1, 0, True, b"", "d")
        (lost,) = [e for e in node.handle("b", wire.ChosenEntries(1, [entry], 1), 1.0) if isinstance(e, Persist)]
        node.persist_failed(lost, 1.0)
        (vote,) = [e for e in node.handle("b", wire.Prepare(2, Ballot(1, "b")), 1.1) if isinstance(e, Persist)]
        self.assertEqual(vote.records[0], ChosenRecord(1, entry))
        self.assertEqual([type(send.message) for send in vote.then], [wire.Promise])

    def test_a_lost_entry_is_not_voted_on_again(self):
        disk = Disk()
        disk.write([SnapshotRecord(0, b"", [Voter(x, x) for x in "abc"], 1), ChosenRecord(1, wire.NoOpEntry("t"))])
        durable = disk.load()
        durable.chosen.clear()
        node = Node(Voter("a", "a"), durable, ModelStateMachine(), Random(2))
        effects = node.handle("b", wire.Prepare(1, Ballot(9, "b")), 1.0)
        self.assertEqual([e.message for e in effects if isinstance(e, Send)], [wire.CatchUpRequest(1, True)])

    def test_promises_under_an_id_that_is_no_voter_do_not_count(self):
        node = self._node()
        node.submit("x", ChangeRequest(1, 0).builder("t"), 1.0)
        ballot = node._proposer.round.ballot
        for stranger in ("genesis/z", "0123"):
            node.handle("b", wire.Promise(1, ballot, stranger), 1.01)
        self.assertIsInstance(node._proposer.round.message, wire.Prepare)

    def test_after_a_pause_of_the_process_no_voter_is_removed(self):
        world = World(1, ["m0", "m1", "m2"])
        world.start("m3")
        world.run_until(2.0)
        node = world.hosts["m0"].node
        node.tick(60.0)
        self.assertIsNone(node._reconfiguration._wanted_voters())


class StandStills(unittest.TestCase):
    """Requests queued while a voter was paused do not prove that their senders are alive."""

    def _newcomer_during_pause(self, node_class: type[Node] = Node) -> World:
        """m1 is paused while m0, and later the newcomer m3, lose their disks and do not come back."""
        world = World(1, ["m0", "m1", "m2"], node_class)
        world.run_until(0.2)
        world.freeze("m1")
        world.run_until(1.0)
        world.crash("m0", lose_disk=True)
        world.run_until(2.0)
        world.start("m3")
        world.run_until(4.0)
        world.crash("m3", lose_disk=True)
        world.run_until(4.5)
        world.thaw("m1")
        return world

    def _pause_during_change(self, node_class: type[Node] = Node) -> World:
        """m1 is paused while it proposes to replace m0 with m3, and m3 fails in the meantime."""
        world = World(1, ["m0", "m1", "m2"], node_class)
        world.run_until(1.0)
        world.crash("m0", lose_disk=True)
        world.start("m3")
        while not world.hosts["m1"].node._requests.has_internal():
            self.assertLess(world.now, 5.0)
            world.run_until(world.now + 0.0005)
        world.freeze("m1")
        world.crash("m3", lose_disk=True)
        world.run_until(world.now + 1.5)
        world.thaw("m1")
        return world

    def _all_voters_so_far(self, world: World) -> set[str]:
        return {voter.addr for voters in world.voters.values() for voter in voters}

    def test_a_newcomer_that_asked_during_the_pause_and_failed_is_not_added(self):
        for play in (self._newcomer_during_pause, self._pause_during_change):
            with self.subTest(play.__name__):
                world = play()
                world.run_until(world.now + 2.0)
                self.assertNotIn("m3", self._all_voters_so_far(world))
                world.start("m4")
                world.run_until(world.now + 4.0)
                self.assertIn("m4", self._all_voters_so_far(world))
                world.submit("m1", "put", ChangeRequest(1, 0))
                world.run_until(world.now + 1.0)
                self.assertIsInstance(world.answers["put"], Committed)

    def test_without_the_guards_such_a_newcomer_is_added(self):
        for play, node_class in (
            (self._newcomer_during_pause, node_with(ChangesVotersUnproven)),
            (self._pause_during_change, KeepsChangesAfterPause),
        ):
            with self.subTest(node_class.__name__):
                world = play(node_class)
                world.run_until(world.now + 2.0)
                self.assertIn("m3", self._all_voters_so_far(world))

    def test_a_newcomer_that_receives_nothing_does_not_block_another(self):
        world = World(1, ["m0", "m1", "m2"])
        world.run_until(1.0)
        world.crash("m0", lose_disk=True)
        world.start("m3")
        world.run_until(1.5)
        world.one_way.update({("m1", "m3"), ("m2", "m3")})
        world.start("m4")
        world.run_until(8.0)
        self.assertNotIn("m3", self._all_voters_so_far(world))
        self.assertIn("m4", self._all_voters_so_far(world))


class Timers(unittest.TestCase):
    def _events_without_voters(self, node_class: type[Node] = Node) -> int:
        """Count the events when m0 restarts with an open vote but without the records that name the voters."""
        world = World(1, ["m0", "m1", "m2"], node_class)
        world.run_until(1.0)
        disk = world.hosts["m0"].disk
        disk.write([VoteRecord(1, Ballot(1, "m1~0"), ConfigurationEntry("t", 1, 0, True, b"", "d1"))])
        world.crash("m0")
        disk.damage(0, state=True)
        world.cut.update({frozenset(("m0", "m1")), frozenset(("m0", "m2"))})
        before = world.events
        world.start("m0")
        world.run_until(3.0)
        return world.events - before

    def test_a_vote_of_a_node_that_knows_no_voters_sets_no_timer(self):
        self.assertLess(self._events_without_voters(), 200)

    def test_without_the_guard_it_sets_a_timer(self):
        with self.assertRaises(Violation):
            self._events_without_voters(RecoversVotesWithoutVoters)


class MissingState(unittest.TestCase):
    """A machine that lost its snapshot but not its vote at the first slot."""

    def test_it_applies_no_entry_before_it_has_a_state(self):
        ballot, entry = Ballot(1, "b~0"), ConfigurationEntry("t", 1, 0, True, b"", "d1")
        durable = DurableState(id="a", votes={1: SlotVote(ballot, ballot, entry)})
        node = Node(Voter("a", "a"), durable, ModelStateMachine(), Random(1), bootstrap_addrs=["b"])
        node.tick(1.0)
        effects = node.handle("b", wire.ChosenBallot(1, ballot), 1.1)
        self.assertEqual([effect for effect in effects if isinstance(effect, NotifyApplied)], [])
        self.assertEqual(node.last_slot, 0)


class IgnoresPromises(Node):
    """Votes for a ballot although it has promised a higher one."""

    def _dispatch(self, sender, message):
        if isinstance(message, wire.Accept) and (vote := self._acceptor.vote_at(message.slot)) is not None:
            vote.promised = None
        return super()._dispatch(sender, message)


class SendsBeforeWriting(Node):
    """Sends promises and votes before they are durable."""

    def _finish(self, effects):
        early = [send for each in effects if isinstance(each, Persist) for send in each.then]
        late = [Persist(each.records, []) if isinstance(each, Persist) else each for each in effects]
        return super()._finish([*early, *late])


class ReadsWithoutQuorum(Node):
    """Completes requests without asking a quorum."""

    def _enqueue(self, request_id, build, now, timeout_s):
        effects = super()._enqueue(request_id, build, now, timeout_s)
        self._requests.confirm_through(self._requests.last_sequence)
        return effects


class ModelCheck(unittest.TestCase):
    def test_random_schedules(self):
        report = run(range(120), 30)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.outcomes["taken"], 400)
        self.assertGreater(report.outcomes["stale"], 300)

    def test_all_orders_of_a_small_case(self):
        walk = explore(depth=9, timers=0)
        self.assertEqual((walk.violations, walk.complete), ([], True))
        walk = explore(depth=6, timers=1, losses=1, crashes=1)
        self.assertEqual((walk.violations, walk.complete), ([], True))

    def test_injected_faults_are_found(self):
        self.assertTrue(explore(depth=8, timers=0, node_class=IgnoresPromises).violations)
        for faulty, seeds in ((IgnoresPromises, 10), (SendsBeforeWriting, 60), (ReadsWithoutQuorum, 10)):
            with self.subTest(faulty.__name__):
                self.assertTrue(run(range(seeds), 30, faulty).violations)


ENTRY = ConfigurationEntry("t", 3, 2, False, b"{}", "d")
BALLOT = Ballot(2, "n")
SAMPLES = [
    wire.Prepare(1, BALLOT),
    wire.Promise(1, BALLOT, "genesis/b", Ballot(1, "m"), ENTRY),
    wire.Reject(1, BALLOT, "genesis/b", Ballot(5, "m")),
    wire.Accept(1, BALLOT, VotersEntry("t", [Voter("a", "b")])),
    wire.Accepted(1, BALLOT, "genesis/b"),
    wire.ChosenBallot(1, BALLOT),
    wire.ChosenEntries(1, [wire.NoOpEntry("t"), VotersEntry("v", [Voter("a", "a")])], 2),
    wire.CatchUpRequest(1, True),
    wire.Snapshot(4, b"", [Voter("a", "b")]),
    wire.SnapshotOffer(4),
    wire.SnapshotChunkRequest(4, b"digest", 32, 16),
    wire.SnapshotChunk(4, b"digest", 40, 32, b"12345678"),
    wire.QuorumRead(1, 7),
    wire.QuorumReadReply(1, 7, "genesis/b", True),
    wire.JoinRequest(Voter("x", "y"), 0),
    wire.LeaveRequest(Voter("x", "y")),
]


class Noise(unittest.TestCase):
    def test_every_message_comes_back_as_it_went(self):
        self.assertEqual([decode(encode(sample)) for sample in SAMPLES], SAMPLES)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=60))
    def test_random_bytes(self, data):
        self._take(data)

    @settings(max_examples=1200, deadline=None, derandomize=True, database=None)
    @given(st.sampled_from(SAMPLES), st.integers(0, 10**6), st.integers(0, 7), st.booleans())
    def test_damaged_messages_harm_no_one(self, sample, place, bit, shorten):
        data = bytearray(encode(sample))
        place %= len(data)
        if shorten:
            del data[place:]
        else:
            data[place] ^= 1 << bit
        self._take(bytes(data))

    def _take(self, data: bytes) -> None:
        try:
            message = decode(data)
        except ConsensusError:
            return
        node = Failures()._node()
        node.state_machine.apply = lambda slot, entry: None
        node.state_machine.restore = lambda state: None
        node.submit("x", lambda _: ENTRY, 1.0)
        try:
            node.handle("b", message, 1.01)
            node.tick(3.0)
        except ConsensusError:
            pass


if __name__ == "__main__":
    unittest.main()
