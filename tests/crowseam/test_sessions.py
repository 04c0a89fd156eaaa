"""Session table and failure detector.

Timelines have one column for each controller. A cell holds actions, separated by semicolons: ``open GATEWAY
INCARNATION [NUMBER]``, ``renew GATEWAY ...``, ``close GATEWAY INCARNATION``, ``tick``, ``tell CONTROLLER ...`` (sends
it an update: the changes, or all sessions if it needs them), ``restart INCARNATION``, and expectations: ``?members
GATEWAY=CONTROLLER ...``, ``?count N``.
"""

import math
import random
import unittest

import msgspec

from crowseam.membership.failure_detector import FailureDetector
from crowseam.membership.sessions import SessionTable, SessionUpdate


class Timeline:
    def __init__(self, case, text):
        lines = [line for line in text.splitlines() if line.strip()]
        self.case = case
        self.names = [name.strip() for name in lines[0].split("|")[1:]]
        self.tables = {name: SessionTable(name, "1") for name in self.names}
        self.acked_counters = {}  # (sender, receiver) -> counter of the last applied update
        for line in lines[1:]:
            time, *cells = (cell.strip() for cell in line.split("|"))
            for name, cell in zip(self.names, cells, strict=False):
                for step in filter(None, (part.strip() for part in cell.split(";"))):
                    self.step(name, step.split(), float(time), line)

    def step(self, name, words, now, line):
        session_table, (action, *args) = self.tables[name], words
        if action == "open":
            session_table.open(args[0], args[1], now, int((args[2:] or [0])[0]))
        elif action == "renew":
            for gateway in args:
                session_table.renew(gateway, now)
        elif action == "close":
            session_table.close(args[0], args[1], now)
        elif action == "tick":
            session_table.tick(now)
        elif action == "tell":
            for other in args:
                self.send_update(session_table, other, now)
        elif action == "restart":
            self.tables[name] = SessionTable(name, args[0])
            self.acked_counters = {pair: at for pair, at in self.acked_counters.items() if name not in pair}
        elif action == "?members":
            members = [f"{gateway}={controller}" for gateway, controller in sorted(session_table.members(now).items())]
            self.case.assertEqual(members, args, line)
        elif action == "?count":
            self.case.assertEqual(session_table.count(now), int(args[0]), line)
        else:
            raise ValueError(line)

    def send_update(self, session_table, other, now):
        for since_counter in (self.acked_counters.get((session_table.me, other), 0), 0):
            update = msgspec.msgpack.decode(
                msgspec.msgpack.encode(session_table.update_since(since_counter, now)), type=SessionUpdate
            )
            if self.tables[other].apply_update(update, now):
                self.acked_counters[session_table.me, other] = update.counter
                return
        self.case.fail("a complete update must be accepted")


class Membership(unittest.TestCase):
    def test_a_gateway_that_moves_is_one_member(self):
        Timeline(
            self,
            """
            time | r1                       | r2
            0    | open d 7 1; open e 1     |
            0.5  | renew e; tell r2         | ?members d=r1 e=r1
            1    | renew e; close d 7       | ?count 2; open d 7 2; tell r1
            1.1  | ?members d=r2 e=r1; ?count 2; tell r2 | ?members d=r2 e=r1
            """,
        )

    def test_an_abandoned_session_does_not_replace_a_newer_one(self):
        # r1 has not noticed that d has left it; d's newer session is with r2, although r2 reported it first.
        Timeline(
            self,
            """
            time | r1                       | r2           | r3
            0    | open d 7 1               |
            1    |                          | open d 7 2; tell r3
            2    | renew d; tell r3         |              | ?members d=r2
            3    | close d 7; tell r3       |              | ?members d=r2
            4    |                          | renew d; open d 8 1; tell r1 r3 | ?members d=r2
            """,
        )

    def test_a_session_opened_late_by_a_slow_controller_does_not_replace_a_newer_one(self):
        Timeline(
            self,
            """
            time | r1                  | r2
            1    |                     | open d 7 2
            1.2  | open d 7 1; tell r2 | ?members d=r2
            """,
        )

    def test_updates_with_a_gap_are_rejected_until_it_is_filled(self):
        owner, other = SessionTable("r1", "1"), SessionTable("r2", "1")
        owner.open("d", "1", 0.0)
        first = owner.update_since(0, 0.0)
        owner.open("e", "1", 0.1)
        second = owner.update_since(1, 0.1)
        owner.open("f", "1", 0.2)
        self.assertFalse(other.apply_update(second, 0.2))
        self.assertTrue(other.apply_update(first, 0.3))
        self.assertFalse(other.apply_update(owner.update_since(2, 0.3), 0.3))
        self.assertTrue(other.apply_update(second, 0.3))
        self.assertTrue(other.apply_update(owner.update_since(2, 0.3), 0.3))
        self.assertTrue(other.apply_update(first, 0.4))
        self.assertEqual(sorted(other.members(0.4)), ["d", "e", "f"])

    def test_sessions_that_are_not_renewed_end(self):
        Timeline(
            self,
            """
            time | r1                        | r2
            0    | open d 1; open e 1; tick  |
            0.9  | renew d e; tick           |
            1.8  | renew d; tick             |
            2.6  | renew d; tick             |
            3.4  | renew d; tick; tell r2    | ?members d=r1 e=r1
            3.5  | tick; ?members d=r1; ?count 2; tell r2 | ?members d=r1; ?count 2
            7    | ?count 1                  | ?count 1
            """,
        )

    def test_a_suspended_controller_ends_no_sessions(self):
        Timeline(
            self,
            """
            time | r1
            0    | open d 1; tick
            0.5  | renew d; tick
            9    | tick; ?members d=r1
            9.5  | renew d; tick; ?members d=r1
            """,
        )

    def test_the_sessions_of_a_silent_controller_expire_after_a_while(self):
        Timeline(
            self,
            """
            time | r1                    | r2
            0    | open d 1; open e 1; tell r2 | tick
            0.9  |                       | tick
            1.8  |                       | tick
            2.7  |                       | tick
            3    |                       | open d 1 2; ?members d=r2 e=r1; tick
            3.9  |                       | renew d; tick
            4.8  |                       | renew d; tick
            5.7  |                       | renew d; tick
            6.6  |                       | renew d; tick
            7.5  |                       | renew d; tick; ?members d=r2 e=r1
            8.1  |                       | renew d; tick; ?members d=r2
            9    | renew e; tell r2      | ?members d=r2 e=r1
            """,
        )

    def test_a_new_incarnation_of_a_controller_starts_empty(self):
        timeline = Timeline(
            self,
            """
            time | r1                    | r2
            0    | open d 1; open e 1; tell r2 | ?members d=r1 e=r1
            1    | restart 2; open d 1 2; tell r2 | ?members d=r1; ?count 2
            """,
        )
        late = SessionUpdate("r1", "1", 0, 2, [], [])
        self.assertTrue(timeline.tables["r2"].apply_update(late, 1.5))
        self.assertEqual(timeline.tables["r2"].members(1.5), {"d": "r1"})

    def test_copies_converge_to_the_owners_state_under_loss_and_reordering(self):
        for seed in range(60):
            rng = random.Random(seed)
            owner, other, now, in_flight, acked = SessionTable("r1", "1"), SessionTable("r2", "1"), 0.0, [], 0
            for _ in range(200):
                now += 0.01
                gateway = f"d{rng.randrange(8)}"
                kind = rng.random()
                if kind < 0.2:
                    owner.open(gateway, str(rng.randrange(2)), now)
                elif kind < 0.4:
                    owner.close(gateway, str(rng.randrange(2)), now)
                elif kind < 0.5:
                    owner.renew(gateway, now, {"t": rng.randrange(3)})
                elif kind < 0.8:
                    in_flight.append(owner.update_since(acked, now))
                elif in_flight:
                    update = in_flight.pop(rng.randrange(len(in_flight)))
                    if rng.random() < 0.7:
                        acked = other._peers["r1"].counter if other.apply_update(update, now) else 0
            while not other.apply_update(owner.update_since(acked, now), now):
                acked = 0
            self.assertEqual(other.members(now), owner.members(now), seed)
            ours, theirs = owner._newest(now), other._newest(now)
            demand = {gateway: stored.session.demand for gateway, (_, stored) in ours.items()}
            self.assertEqual({gateway: stored.session.demand for gateway, (_, stored) in theirs.items()}, demand)


def heartbeat_arrivals(rng, jitter, loss, seconds):
    """Arrival times of heartbeats sent each 250 ms, with exponential delays and random loss."""
    times = [0.25 * number + rng.expovariate(1 / jitter) for number in range(int(seconds * 4)) if rng.random() >= loss]
    return sorted(times)


class Detection(unittest.TestCase):
    def test_time_to_detect_and_false_alarms_by_jitter(self):
        # mean delay (s), loss rate, longest time until detection (s), largest fraction of the time that it is wrongly
        # considered dead, and suspect
        table = (
            (0.005, 0.0, 1.1, 0.0, 0.0),
            (0.02, 0.02, 1.3, 0.0002, 0.002),
            (0.1, 0.02, 1.7, 0.0002, 0.002),
            (0.25, 0.05, 2.3, 0.0005, 0.005),
            (0.5, 0.05, 3.0, 0.001, 0.015),
        )
        for jitter, loss, max_detection_s, max_dead_fraction, max_suspect_fraction in table:
            with self.subTest(jitter=jitter, loss=loss):
                dead = suspect = checks = 0
                detection_times = []
                for seed in range(12):
                    detector, now = FailureDetector(), 2.0
                    for at in heartbeat_arrivals(random.Random(seed), jitter, loss, 60):
                        while now < at:
                            state = detector.state("p", now)
                            checks += 1
                            dead += state == "dead"
                            suspect += state == "suspect"
                            now += 0.05
                        detector.record_heartbeat("p", at)
                    last = now = at
                    while detector.state("p", now) != "dead":
                        now += 0.02
                    detection_times.append(now - last)
                self.assertLessEqual(max(detection_times), max_detection_s)
                self.assertGreaterEqual(min(detection_times), 0.8)
                self.assertLessEqual(dead / checks, max_dead_fraction)
                self.assertLessEqual(suspect / checks, max_suspect_fraction)

    def test_slow_is_not_dead(self):
        detector = FailureDetector()
        for number in range(100):
            detector.record_heartbeat("late", number * 0.6)
            detector.record_heartbeat("far", number * 0.25, round_trip_s=0.9)
            detector.record_heartbeat("well", number * 0.25, round_trip_s=0.01)
        self.assertEqual(detector.state("late", 99 * 0.6 + 0.5), "slow")
        self.assertEqual(detector.state("far", 99 * 0.25 + 0.2), "slow")
        self.assertEqual(detector.state("well", 99 * 0.25 + 0.2), "alive")
        for number in range(60):  # a peer is no longer slow once it is regular again
            detector.record_heartbeat("late", 60 + number * 0.25)
        self.assertEqual(detector.state("late", 75.0), "alive")

    def test_a_local_pause_does_not_count_as_silence_of_peers(self):
        detector = FailureDetector()
        for number in range(40):
            detector.record_heartbeat("p", number * 0.25)
            detector.tick(number * 0.25)
        self.assertEqual(detector.state("p", 14.0), "dead")
        self.assertGreater(detector.tick(14.0), 3.0)
        self.assertNotEqual(detector.state("p", 14.0), "dead")
        for number in range(1, 9):  # without further heartbeats it is dead all the same
            detector.tick(14.0 + number * 0.25)
        self.assertEqual(detector.state("p", 16.0), "dead")

    def test_a_long_outage_does_not_slow_the_next_detection(self):
        detector = FailureDetector()
        for start in (0.0, 20.0):
            for number in range(40):
                detector.record_heartbeat("p", start + number * 0.25)
        self.assertEqual(detector.state("p", 29.75 + 1.1), "dead")

    def test_majority_reachable_means_more_than_half(self):
        detector = FailureDetector()
        for number in range(20):
            for peer in ("r2", "r3"):
                detector.record_heartbeat(peer, number * 0.25, round_trip_s=0.01)
        detector.watch("r4", 4.75)
        self.assertTrue(detector.is_majority_reachable(5.0, ["r1", "r2", "r3", "r4", "r5"], "r1"))
        self.assertFalse(detector.is_majority_reachable(5.0, ["r2", "r3", "r4", "r5"], "r1"))
        self.assertFalse(detector.is_majority_reachable(9.0, ["r1", "r2", "r3"], "r1"))
        self.assertTrue(detector.is_majority_reachable(9.0, ["r1"], "r1"))
        self.assertFalse(detector.is_majority_reachable(5.0, [], "r1"))

    def test_a_peer_that_is_heard_but_answers_nothing_is_not_reachable(self):
        detector = FailureDetector()
        for number in range(41):  # r2 receives our messages until 5.0, r3 never does
            detector.record_heartbeat("r2", number * 0.25, round_trip_s=0.01 if number <= 20 else None)
            detector.record_heartbeat("r3", number * 0.25)
            detector.tick(number * 0.25)
        self.assertEqual([detector.state(peer, 10.0) for peer in ("r2", "r3")], ["alive", "alive"])
        self.assertEqual(detector.reachable(6.4, ["r2", "r3"]), {"r2"})
        self.assertEqual(detector.reachable(6.6, ["r2", "r3"]), set())
        self.assertAlmostEqual(detector.majority_answered_at(10.0, ["r1", "r2", "r3"], "r1"), 4.99)
        self.assertEqual(detector.majority_answered_at(10.0, ["r1", "r2", "r3", "r4"], "r1"), -math.inf)
        self.assertEqual(detector.majority_answered_at(10.0, ["r1"], "r1"), 10.0)

    def test_after_a_suspension_no_majority_is_reachable_until_a_new_answer(self):
        detector = FailureDetector()
        for number in range(40):
            detector.record_heartbeat("r2", number * 0.25, round_trip_s=0.01)
            detector.tick(number * 0.25)
        detector.tick(29.75)
        self.assertNotEqual(detector.state("r2", 29.75), "dead")
        self.assertFalse(detector.is_majority_reachable(29.75, ["r1", "r2"], "r1"))
        detector.record_heartbeat("r2", 29.76, round_trip_s=20.01)  # answers a message from before the suspension
        self.assertFalse(detector.is_majority_reachable(29.76, ["r1", "r2"], "r1"))
        detector.record_heartbeat("r2", 29.80, round_trip_s=0.02)
        self.assertTrue(detector.is_majority_reachable(29.80, ["r1", "r2"], "r1"))


if __name__ == "__main__":
    unittest.main()
