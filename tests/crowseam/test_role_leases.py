"""Role leases: at most one controller holds a role while controllers start, fail, freeze and are partitioned."""

import heapq
import unittest
from random import Random
from unittest import mock

from crowseam.controller.lease_service import LeaseService
from crowseam.membership.role_context import RoleLeaseTiming
from crowseam.membership.role_holders import preferred_holder
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.role_messages import RoleLeaseGrant, RoleLeaseRejection, RoleLeaseRelease, RoleLeaseRequest

KEY = "quota/0"
TERMS = RoleLeaseTiming(term_s=2.0, renew_interval_s=0.5, hand_back_delay_s=1.0)


class Cluster:
    """Controllers on a simulated network with delays; each column of a timeline is one controller.

    Words in a timeline: `up` (starts), `die` (loses power), `cut` and `join` (its links go down and up again), `stop`
    (releases its roles, then ends), `freeze` and `thaw` (its process is suspended and resumed), `holds` and `not`
    (expected: it holds the role, or not), `.` (nothing).
    """

    def __init__(self, names, seed=1, drift=0.0, loss_rate=0.0, voters=None):
        self.rng = Random(seed)
        self.names, self.voters = names, set(voters or names)
        self.clock_rates = {name: 1 + self.rng.uniform(-drift, drift) for name in names}
        self.loss_rate, self.now, self.message_count = loss_rate, 0.0, 0
        self.nodes, self.partitioned, self.frozen, self.in_flight = {}, set(), {}, []
        self.fencing_tokens, self.token_owners = [], {}

    def clock(self, name):
        return 1000.0 + self.now * self.clock_rates[name]

    def up(self, name):
        self.nodes[name] = RoleLeases(name, Random(self.rng.random()), self.clock(name), [KEY], TERMS)

    def die(self, name):
        self.nodes.pop(name, None)

    def stop(self, name):
        self.send(name, self.nodes[name].release_all(self.clock(name)))
        self.die(name)

    def send(self, sender, messages):
        for recipient, message in messages:
            if not (self.partitioned & {sender, recipient}) and self.rng.random() >= self.loss_rate:
                self.message_count += 1
                time = self.now + self.rng.uniform(0.001, 0.02)
                heapq.heappush(self.in_flight, (time, self.message_count, sender, recipient, message))

    def step(self, until):
        """Advance to `until` seconds, with ten ticks per second on each controller."""
        while self.now < until - 1e-9:
            tick = min(until, self.now + 0.1)
            while self.in_flight and self.in_flight[0][0] <= tick:
                self.now, _, sender, recipient, message = heapq.heappop(self.in_flight)
                if (
                    recipient in self.nodes
                    and recipient not in self.frozen
                    and not (self.partitioned & {sender, recipient})
                ):
                    self.send(recipient, self.nodes[recipient].handle(sender, message, self.clock(recipient)))
                    self.check()
            self.now = tick
            for name, node in list(self.nodes.items()):
                if name not in self.frozen:
                    live = {name}
                    if name not in self.partitioned:
                        live |= set(self.nodes) - self.partitioned - set(self.frozen)
                    self.send(name, node.tick(self.clock(name), live, self.voters))
                    self.check()

    def check(self):
        """At most one controller holds the role, and no two holders share a fencing token."""
        holders = {
            name: fencing_token
            for name, node in self.nodes.items()
            if (fencing_token := node.held_fencing_token(KEY, self.clock(name))) is not None
        }
        assert len(holders) <= 1, f"{self.now}: {holders}"
        for name, fencing_token in holders.items():
            assert self.token_owners.setdefault(fencing_token, name) == name, "two holders share a fencing token"
            if not self.fencing_tokens or self.fencing_tokens[-1] != fencing_token:
                self.fencing_tokens.append(fencing_token)

    def play(self, case, timeline):
        head, *lines = [line.split() for line in timeline.strip().splitlines()]
        for time, *words in lines:
            self.step(float(time))
            for name, word in zip(head[1:], words, strict=True):
                if word in ("holds", "not"):
                    fencing_token = self.nodes[name].held_fencing_token(KEY, self.clock(name))
                    case.assertEqual(fencing_token is not None, word == "holds", f"{name} at {time}")
                elif word == "cut":
                    self.partitioned.add(name)
                elif word == "join":
                    self.partitioned.discard(name)
                elif word == "freeze":
                    self.frozen[name] = True
                elif word == "thaw":
                    del self.frozen[name]
                elif word != ".":
                    getattr(self, word)(name)


def ranked(count):
    """Addresses of controllers, in order of preference for the role."""
    remaining, names = [f"10.1.0.{i}:8407" for i in range(count)], []
    while remaining:
        names.append(preferred_holder(KEY, remaining))
        remaining.remove(names[-1])
    return names


class TimelineTest(unittest.TestCase):
    def run_timeline(self, timeline, count=3, **options):
        cluster = Cluster(ranked(count), **options)
        columns = timeline.strip().splitlines()[0].split()[1:]
        names = dict(zip(columns, cluster.names, strict=True))
        for column, name in names.items():
            timeline = timeline.replace(column, name)
        cluster.play(self, timeline)
        self.assertEqual(cluster.fencing_tokens, sorted(cluster.fencing_tokens))
        return cluster

    def test_after_a_start_nobody_holds_for_a_term_then_the_preferred_one_does(self):
        self.run_timeline("""
            time  r1     r2   r3
            0     up     up   up
            1.9   not    not  not
            3.5   holds  not  not
            9     holds  not  not
        """)

    def test_a_dead_holder_is_replaced_after_its_lease_and_gets_the_role_back(self):
        cluster = self.run_timeline("""
            time  r1     r2     r3
            0     up     up     up
            4     holds  not    not
            5     die    .      .
            6     .      not    not
            8.5   .      holds  not
            9     up     .      .
            14    holds  not    not
        """)
        self.assertEqual(len(cluster.fencing_tokens), 3)

    def test_a_partitioned_holder_ends_before_the_next_one_begins(self):
        self.run_timeline("""
            time  r1     r2     r3
            0     up     up     up
            4     holds  .      .
            5     cut    .      .
            7.2   not    .      .
            9     not    holds  not
            10    join   .      .
            13.5  holds  not    not
        """)

    def test_a_frozen_holder_resumes_without_the_role(self):
        self.run_timeline("""
            time  r1      r2     r3
            0     up      up     up
            4     freeze  .      .
            7.5   not     holds  .
            8     thaw    .      .
            8     not     holds  .
            12    holds   not    not
        """)

    def test_a_released_role_is_taken_over_at_once(self):
        self.run_timeline("""
            time  r1     r2     r3
            0     up     up     up
            4     holds  not    not
            5     stop   .      .
            5.4   .      holds  not
        """)

    def test_after_all_voters_fail_a_holder_gets_a_different_fencing_token(self):
        cluster = Cluster(ranked(3))
        for name in cluster.names:
            cluster.up(name)
        cluster.step(4)
        before = cluster.fencing_tokens[-1]
        for name in cluster.names:
            cluster.die(name)
            cluster.up(name)
        cluster.step(8)
        after, holder = cluster.fencing_tokens[-1], cluster.names[0]
        self.assertNotEqual(before, after)
        # A receiver reports that it has accepted a much higher token.
        cluster.send(
            holder, cluster.nodes[holder].observe_fencing_token(KEY, before + (5 << 20), cluster.clock(holder))
        )
        self.assertIsNone(cluster.nodes[holder].held_fencing_token(KEY, cluster.clock(holder)))
        cluster.step(8.3)
        self.assertGreater(cluster.nodes[holder].held_fencing_token(KEY, cluster.clock(holder)), before + (5 << 20))

    def test_controllers_without_a_vote_hold_nothing_and_learn_who_does(self):
        names = ranked(5)
        cluster = Cluster(names, voters=names[2:])
        for name in names:
            cluster.up(name)
        cluster.step(4)
        for name in names:
            self.assertEqual(cluster.nodes[name].holder(KEY, cluster.clock(name)), names[2])

    def test_after_all_voters_restarted_only_the_previous_holder_is_granted_at_once(self):
        # t    a (held)   b          c
        # 0    restarted  restarted  restarted, all with their grants on disk
        # 0.1  requests   grants     grants
        # 0.2             requests: rejected until a term has passed
        names = ["10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"]
        saved_notes = {KEY: names[0]}
        nodes = {name: RoleLeases(name, Random(1), 0.0, [KEY], TERMS, saved_notes) for name in names}
        request = RoleLeaseRequest(KEY, 7, 0, 2.0)
        for name in names[1:]:
            self.assertIsInstance(nodes[name].handle(names[0], request, 0.1)[0][1], RoleLeaseGrant)
            other = names[3 - names.index(name)]
            self.assertIsInstance(nodes[name].handle(other, request, 0.2)[0][1], RoleLeaseRejection)
        without_disk = RoleLeases(names[2], Random(1), 0.0, [KEY], TERMS)
        self.assertIsInstance(without_disk.handle(names[0], request, 0.1)[0][1], RoleLeaseRejection)

    def test_after_a_restart_of_all_the_previous_holder_requests_though_another_is_preferred(self):
        names = ranked(3)
        nodes = {n: RoleLeases(n, Random(1), 0.0, [KEY], TERMS, {KEY: names[2]}) for n in names}
        requests = {n: nodes[n].tick(0.1, set(names), set(names)) for n in names}
        self.assertTrue(any(isinstance(message, RoleLeaseRequest) for _, message in requests[names[2]]))

    def test_a_voter_that_may_not_grant_yet_learns_who_holds_the_role(self):
        holder = ranked(3)[1]
        for name, fencing_token, known in (
            ("a holder", 5 << 20, holder),
            ("a candidate", 0, None),
            ("a late one", 1, None),
        ):
            voter = RoleLeases(
                "10.9.0.1:8407", Random(1), 0.0, [KEY], TERMS, saved_notes={KEY: f"10.9.0.1:8407 {4 << 20}"}
            )
            ((_, answer),) = voter.handle(holder, RoleLeaseRequest(KEY, 1, fencing_token, 2.0), 0.5)
            self.assertIsInstance(answer, RoleLeaseRejection)
            self.assertEqual(voter.holder(KEY, 1.0), known, name)

    def test_a_new_holder_must_be_on_disk_before_its_grant_is_sent(self):
        node = RoleLeases("10.1.0.1:1", Random(1), 0.0, [KEY], TERMS, saved_notes={})
        node.handle("10.1.0.2:1", RoleLeaseRequest(KEY, 7, 0, 2.0), 0.1)
        self.assertEqual(node.unsaved, {KEY: "10.1.0.2:1"})
        node.unsaved.clear()
        node.handle("10.1.0.2:1", RoleLeaseRequest(KEY, 8, 0, 2.0), 0.6)
        self.assertEqual(node.unsaved, {})


class RandomTest(unittest.TestCase):
    def test_never_two_holders(self):
        """Random failures, partitions and freezes, with 1% clock drift and 5% loss; checked after each message."""
        for seed in range(12):
            cluster = Cluster(ranked(3 + seed % 3), seed=seed, drift=0.01, loss_rate=0.05)
            held = steps = 0
            for name in cluster.names:
                cluster.up(name)
            while cluster.now < 40:
                cluster.step(cluster.now + cluster.rng.uniform(0.2, 2.0))
                name = cluster.rng.choice(cluster.names)
                match cluster.rng.randrange(6):
                    case 0:
                        cluster.die(name)
                        cluster.frozen.pop(name, None)
                    case 1:
                        cluster.partitioned = {name}
                    case 2:
                        cluster.partitioned = set()
                    case 3 if name in cluster.nodes:
                        cluster.frozen = {name: True}
                    case 4:
                        cluster.frozen = {}
                    case 5:
                        for other in set(cluster.names) - set(cluster.nodes):
                            cluster.up(other)
                steps += 1
                held += any(node.held_fencing_token(KEY, cluster.clock(n)) for n, node in cluster.nodes.items())
            self.assertEqual(len(cluster.fencing_tokens), len(set(cluster.fencing_tokens)))
            cluster.partitioned, cluster.frozen = set(), {}
            for other in set(cluster.names) - set(cluster.nodes):
                cluster.up(other)
            cluster.loss_rate = 0.0
            cluster.step(cluster.now + 5)
            self.assertIsNotNone(
                cluster.nodes[cluster.names[0]].held_fencing_token(KEY, cluster.clock(cluster.names[0]))
            )


class VoterTest(unittest.TestCase):
    def setUp(self):
        self.voter = RoleLeases("v", Random(1), 0.0, [KEY], TERMS)
        self.voter.tick(0.0, {"v"}, {"v", "a", "b"})

    def test_a_voter_grants_nothing_in_its_first_term(self):
        ((_, answer),) = self.voter.handle("a", RoleLeaseRequest(KEY, 1, 0, 2.0), 1.9)
        self.assertIsInstance(answer, RoleLeaseRejection)
        ((_, answer),) = self.voter.handle("a", RoleLeaseRequest(KEY, 1, 0, 2.0), 2.2)
        self.assertIsInstance(answer, RoleLeaseGrant)

    def test_a_late_release_of_an_earlier_process_frees_nothing(self):
        self.voter.handle("a", RoleLeaseRequest(KEY, (7 << 32) + 3, 0, 2.0), 3.0)
        self.voter.handle("a", RoleLeaseRelease(KEY, (6 << 32) + 9), 3.1)
        ((_, answer),) = self.voter.handle("b", RoleLeaseRequest(KEY, 1, 0, 2.0), 3.2)
        self.assertEqual(answer.holder, "a")
        self.voter.handle("a", RoleLeaseRelease(KEY, (7 << 32) + 3), 3.3)
        ((_, answer),) = self.voter.handle("b", RoleLeaseRequest(KEY, 1, 0, 2.0), 3.4)
        self.assertIsInstance(answer, RoleLeaseGrant)

    def test_keys_spread_and_move_only_with_their_controller(self):
        names = {f"10.0.{i}.1:80" for i in range(6)}
        keys = [f"quota/{i}" for i in range(200)]
        before = {key: preferred_holder(key, names) for key in keys}
        self.assertEqual(set(before.values()), names)
        gone = min(names)
        for key in keys:
            if before[key] != gone:
                self.assertEqual(preferred_holder(key, names - {gone}), before[key])


class SeatTest(unittest.TestCase):
    """Grants of a voter while senders may know other voters than there are."""

    def setUp(self):
        self.voter = RoleLeases("v", Random(1), 0.0, [KEY], TERMS)
        self.voter.set_voters(frozenset("vab"), 0.0, log_slot=7, voters_slot=3)

    def request(self, now, slot=7):
        ((_, answer),) = self.voter.handle("a", RoleLeaseRequest(KEY, 1, 0, 2.0, slot), now)
        return type(answer)

    def test_a_newcomer_is_silent_from_the_message_on_that_lets_it_in(self):
        self.voter.set_voters(frozenset("zab"), 10.0, log_slot=8, voters_slot=8)
        self.assertIs(self.request(20.0, 8), RoleLeaseRejection)  # not a voter
        self.voter.set_voters(frozenset("vab"), 30.0, log_slot=9, voters_slot=9)
        self.assertIs(self.request(30.0, 9), RoleLeaseRejection)
        self.assertIs(self.request(32.0, 9), RoleLeaseRejection)
        self.assertIs(self.request(32.2, 9), RoleLeaseGrant)

    def test_nothing_is_granted_while_a_change_of_voters_is_open(self):
        self.voter.set_voters(frozenset("vab"), 5.0, log_slot=7, voters_slot=3, is_changing_voters=True)
        self.assertIs(self.request(5.0), RoleLeaseRejection)
        self.voter.set_voters(frozenset("vab"), 5.1, log_slot=8, voters_slot=3)
        self.assertIs(self.request(5.1), RoleLeaseGrant)

    def test_who_may_not_know_the_voters_is_refused(self):
        self.assertIs(self.request(5.0, 2), RoleLeaseRejection)
        self.assertIs(self.request(5.1, 3), RoleLeaseGrant)
        self.assertIs(self.request(5.2, -1), RoleLeaseGrant)  # an earlier version sends no slot

    def test_a_newcomer_grants_nothing_before_it_has_been_told_the_fences(self):
        self.voter.awaits_fencing_tokens = True
        self.assertIs(self.request(5.0), RoleLeaseRejection)
        self.voter.adopt_fencing_tokens({KEY: 9 << 20})
        self.voter.awaits_fencing_tokens = False
        ((_, answer),) = self.voter.handle("a", RoleLeaseRequest(KEY, 1, 0, 2.0, 7), 5.1)
        self.assertEqual(answer.highest_fencing_token, 9 << 20)


class FencingTokenOnDiskTest(unittest.TestCase):
    def test_fencing_tokens_survive_a_restart_of_all(self):
        names, seen = ranked(3), []
        nodes = {name: RoleLeases(name, Random(1), 0.0, [KEY], TERMS, saved_notes={}) for name in names}
        disks = {name: {} for name in names}
        for started_at in (0.0, 100.0, 200.0):
            now = started_at
            while now < started_at + 5.0:
                now += 0.1
                queue = [(n, *each) for n in names for each in nodes[n].tick(now, set(names), set(names))]
                while queue:
                    sender, recipient, message = queue.pop(0)
                    queue += [(recipient, *each) for each in nodes[recipient].handle(sender, message, now)]
                for name in names:
                    disks[name] |= nodes[name].take_unsaved()
            seen += [fencing_token for n in names if (fencing_token := nodes[n].held_fencing_token(KEY, now))]
            nodes = {n: RoleLeases(n, Random(1), now + 9.0, [KEY], TERMS, dict(disks[n])) for n in names}
        self.assertEqual((len(seen), seen), (3, sorted(set(seen))))

    def test_a_note_of_an_earlier_version_holds_only_the_holder(self):
        node = RoleLeases("v", Random(1), 0.0, [KEY], TERMS, saved_notes={KEY: "10.1.0.2:1"})
        ((_, answer),) = node.handle("10.1.0.2:1", RoleLeaseRequest(KEY, 7, 0, 2.0), 0.1)
        self.assertEqual((type(answer), answer.highest_fencing_token), (RoleLeaseGrant, 0))


class BorrowersTest(unittest.TestCase):
    """Three voters and the borrowers announced to them; messages from and to `unreachable` are dropped."""

    def setUp(self):
        self.names, self.now, self.unreachable, self.sent = ranked(3), 0.0, set(), []
        self.nodes = {name: RoleLeases(name, Random(1), 0.0, [KEY], TERMS, saved_notes={}) for name in self.names}
        self.run_for(4.0)

    def deliver(self, sender, messages):
        queue = [(sender, recipient, message) for recipient, message in messages]
        while queue:
            sender, recipient, message = queue.pop(0)
            self.sent.append(message)
            if not {sender, recipient} & self.unreachable:
                queue += [(recipient, *each) for each in self.nodes[recipient].handle(sender, message, self.now)]

    def run_for(self, span):
        for _ in range(round(span * 10)):
            self.now += 0.1
            live = set(self.names) - self.unreachable
            for name in sorted(live):
                self.deliver(name, self.nodes[name].tick(self.now, live, set(self.names)))

    def holder(self):
        (name,) = (
            n for n in self.names if n not in self.unreachable and self.nodes[n].held_fencing_token(KEY, self.now)
        )
        return name, self.nodes[name]

    def start_list(self):
        name, node = self.holder()
        known = node.earlier_borrowers(KEY)
        node.start_borrower_list(KEY, known or (), self.now, is_partial=known is None)
        return name, node, known

    def test_a_borrower_is_confirmed_by_a_majority_and_known_to_the_next_holder(self):
        name, node, known = self.start_list()
        self.assertEqual(known, set())
        self.unreachable = set(self.names) - {name}
        self.deliver(name, node.announce_borrowers(KEY, ["d1"], self.now))
        self.assertFalse(node.is_borrower_confirmed(KEY, "d1"))
        self.unreachable = {self.names[2]}
        self.run_for(0.6)  # included in the next renewal
        self.assertTrue(node.is_borrower_confirmed(KEY, "d1"))
        self.deliver(name, node.announce_borrowers(KEY, ["d2"], self.now))  # sent at once
        self.assertTrue(node.is_borrower_confirmed(KEY, "d2"))
        self.unreachable = {name}
        self.run_for(6.0)
        self.assertEqual(self.start_list()[2], {"d1", "d2"})
        self.assertTrue(self.holder()[1].is_borrower_confirmed(KEY, "d1"))

    def test_ended_borrowers_are_removed_and_requests_stay_short(self):
        name, node, _ = self.start_list()
        for number in range(300):
            self.deliver(name, node.announce_borrowers(KEY, [f"d{number}"], self.now))
            node.keep_borrowers(KEY, {f"d{number}"}, self.now)
            self.run_for(0.1)
        self.run_for(1.0)
        self.unreachable, self.sent = {name}, []
        self.run_for(6.0)
        self.assertEqual(self.start_list()[2], {"d299"})
        self.sent = []
        self.run_for(2.0)
        self.assertEqual(
            max(len(request.list_changes) for request in self.sent if isinstance(request, RoleLeaseRequest)), 1
        )

    def test_many_borrowers_are_announced_with_one_request(self):
        name, node, _ = self.start_list()
        messages = node.announce_borrowers(KEY, ["d0"], self.now)
        self.assertEqual([node.announce_borrowers(KEY, [f"d{n}"], self.now) for n in range(1, 510)], [[]] * 509)
        self.sent = []
        self.deliver(name, messages)
        self.assertTrue(all(node.is_borrower_confirmed(KEY, f"d{n}") for n in range(510)))
        self.assertEqual(sum(isinstance(message, RoleLeaseRequest) for message in self.sent), 4)

    def test_recently_started_voters_are_no_majority_that_knows_the_borrowers(self):
        name, node, _ = self.start_list()
        self.deliver(name, node.announce_borrowers(KEY, ["d1"], self.now))
        others = [other for other in self.names if other != name]
        for other in others:
            self.nodes[other] = RoleLeases(other, Random(1), self.now, [KEY], TERMS, {KEY: f"{name} 1"})
        self.unreachable = {name}
        self.run_for(5.0)
        self.assertIsNone(self.start_list()[2])
        self.run_for(9.0)
        for other in others:  # every earlier lease has expired by now
            self.assertIsNotNone(
                self.nodes[other].voter._update_borrowers(
                    self.nodes[other].voter.roles[KEY],
                    RoleLeaseRequest(KEY, 1, 1 << 60, 2.0, list_number=0),
                    self.now + 9.5,
                )[1]
            )

    def test_voters_that_take_a_list_with_gaps_do_not_know_all_borrowers(self):
        # t    what
        # 4    the holder starts its list; c restarts, and its list is incomplete until 13
        # 8    the holder leases to d1, which only the holder and b have listed
        # 8.1  the holder fails; of the others only b knows d1, so the next holder's list lacks d1
        # 13.1 a third holder asks b and c, whose restarts are long past; the lease of d1 lasts until 16
        name, node, _ = self.start_list()
        voter_b, voter_c = (other for other in self.names if other != name)
        self.nodes[voter_c] = RoleLeases(voter_c, Random(1), self.now, [KEY], TERMS, {KEY: f"{name} 1"})
        started = self.now
        self.run_for(4.0)
        self.unreachable = {voter_c}
        self.deliver(name, node.announce_borrowers(KEY, ["d1"], self.now))
        self.assertTrue(node.is_borrower_confirmed(KEY, "d1"))
        self.unreachable = {name}
        while not (holding := [n for n in (voter_b, voter_c) if self.nodes[n].held_fencing_token(KEY, self.now)]):
            self.run_for(0.1)
        self.assertLess(self.now, started + 9.0)
        self.assertIsNone(self.start_list()[2])
        self.run_for(started + 9.1 - self.now)
        second = self.nodes[holding[0]]
        self.deliver(holding[0], second._claims[KEY].give_up(self.now))
        while not any(self.nodes[other].held_fencing_token(KEY, self.now) for other in (voter_b, voter_c)):
            self.run_for(0.1)
        self.assertLess(self.now, started + 12.0)
        self.assertIsNone(self.start_list()[2])

    def test_a_version_without_borrower_lists_leaves_the_list_of_a_voter_incomplete(self):
        voter = self.nodes[self.names[2]]
        voter.handle("old", RoleLeaseRequest(KEY, 1, 1 << 61, 2.0), 50.0)
        ((_, answer),) = voter.handle("new", RoleLeaseRequest(KEY, 1, 1 << 62, 2.0, list_number=0), 55.0)
        self.assertIsNone(answer.earlier_borrowers)
        ((_, answer),) = voter.handle("new", RoleLeaseRequest(KEY, 2, 1 << 62, 2.0, list_number=0), 60.0)
        self.assertEqual(answer.earlier_borrowers, [])


class GrantOnDiskTest(unittest.TestCase):
    """A role message waits for the disk only if a grant depends on it.

    time     disk          message from a   sent
    0        hangs         request          nothing: the grant is being written
    1        hangs         request again    nothing: the first write is pending
    2        fails both    request          nothing, but it is written again
    3        writes        -                the grant
    """

    def setUp(self):
        self.voter = RoleLeases("v", Random(1), 0.0, [KEY], TERMS)
        self.voter.tick(3.0, {"v"}, {"v", "a", "b"})
        self.writes, self.messages = [], []
        peers = mock.Mock(post_all=self.messages.extend)
        store = mock.Mock(write=lambda records, done: self.writes.append((records, done)))
        self.lease_service = LeaseService(self.voter, mock.Mock(config=mock.Mock(items={})), None, None, peers, store)

    def request(self, token, now):
        self.lease_service.on_role_message("a", RoleLeaseRequest(KEY, token, 0, 2.0), now)

    def grants(self):
        return [message for _, message in self.messages if isinstance(message, RoleLeaseGrant)]

    def test_a_grant_waits_for_writes_before_it_and_is_written_again_after_a_refusal(self):
        self.request(1, 3.0)
        self.request(2, 4.0)
        self.assertEqual((self.grants(), [len(records) for records, _ in self.writes]), ([], [1, 0]))
        for _, done in self.writes:
            done(False)
        self.request(3, 5.0)
        self.assertEqual(self.grants(), [])
        records, done = self.writes[2]
        self.assertEqual([record.value for record in records], [b"a"])
        done(True)
        self.assertEqual([grant.token for grant in self.grants()], [3])

    def test_what_grants_nothing_does_not_wait(self):
        self.request(1, 3.0)
        self.lease_service.on_role_message("b", RoleLeaseRequest(KEY, 1, 0, 2.0), 3.1)
        self.assertEqual([type(message) for _, message in self.messages], [RoleLeaseRejection])


if __name__ == "__main__":
    unittest.main()
