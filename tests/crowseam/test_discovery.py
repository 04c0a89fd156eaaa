"""The registry of servers: merge, anti-entropy between copies, changes for sessions, and acknowledgements.

Timelines have one column for each controller. A cell holds what happens there at that time, separated by semicolons:
``heartbeat ID SEQ ADDR [draining]``, ``leave ID``, ``retire ID`` / ``back ID`` (restores it), ``expire``, ``heard X``
(applies X's list of servers heard within 2 s), ``repair X`` (a round of anti-entropy with X), ``hum START`` (another
server has reported every second since START); and what is expected then: ``?ID PHASE`` (PHASE ``-`` for unknown),
``?usable ID ...``, ``?forgot ID ...`` (dropped by the last ``expire``).
"""

import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from crowseam.discovery import replication
from crowseam.discovery.anti_entropy import AntiEntropy, DigestOffer, RangeRecords, differing_ranges, digests, range_of
from crowseam.discovery.errors import DiscoveryError
from crowseam.discovery.heartbeat import Heartbeat, parse_heartbeat
from crowseam.discovery.replication import ReplicationAck
from crowseam.discovery.server_record import ServerRecord, aged, merge, replicated_fields
from crowseam.discovery.service_registry import ServiceRegistry

VALID_REPORT = {
    "addr": "10.128.0.9:8080",
    "summary": {"svc": "huvo11a", "ver": "v1", "az": "hall", "slots": 4},
    "stat": {"phase": "up", "seq": 4, "warmup_time": "1.3s"},
}


def heartbeat(seq, addr="10.0.0.1:80", phase="up", warm=0, svc="s"):
    return Heartbeat(svc, addr, "z", "v1", 2, phase, seq, warm)


def repair(one, other, now):
    """A complete round of anti-entropy started by ``one``; returns how many records were sent."""
    sent = 0
    queue = [(other, one, one.offer(now))]
    while queue:
        recipient, sender, message = queue.pop()
        message = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=DigestOffer | RangeRecords)
        if isinstance(message, RangeRecords):
            sent += len(message.records)
        queue += [(sender, recipient, answer) for answer in recipient.handle(message, now)[0]]
    return sent


class Timeline:
    def __init__(self, case, text):
        lines = [line for line in text.splitlines() if line.strip()]
        names = [name.strip() for name in lines[0].split("|")[1:]]
        self.case = case
        self.registries = {name: ServiceRegistry(name) for name in names}
        self.repairs = {name: AntiEntropy(registry) for name, registry in self.registries.items()}
        self.dropped = {name: [] for name in names}
        for line in lines[1:]:
            time, *cells = (cell.strip() for cell in line.split("|"))
            for name, cell in zip(names, cells, strict=False):
                for step in filter(None, (part.strip() for part in cell.split(";"))):
                    self.step(name, step, float(time), line)

    def step(self, name, step, now, line):
        registry, (action, *args) = self.registries[name], step.split()
        assert_equal = self.case.assertEqual
        if action == "heartbeat":
            registry.record_heartbeat(args[0], heartbeat(int(args[1]), args[2], *args[3:]), now)
        elif action == "leave":
            registry.leave(args[0], now)
        elif action in ("retire", "back"):
            registry.retire(args, action == "retire", now)
        elif action == "expire":
            self.dropped[name] = registry.expire(now)
        elif action == "heard":
            registry.apply_heard(self.registries[args[0]].heard_since(now - 2, include_relayed=True), now)
        elif action == "repair":
            repair(self.repairs[name], self.repairs[args[0]], now)
        elif action == "hum":  # another server has reported here every second until now
            for second in range(int(args[0]), int(now) + 1):
                registry.record_heartbeat("hum", heartbeat(second, "10.0.0.99:80"), float(second))
        elif action == "?usable":
            usable = [
                r.id for r in sorted(registry.records(now), key=lambda r: (r.svc, r.id)) if r.usable and r.id != "hum"
            ]
            assert_equal(usable, args, line)
        elif action == "?forgot":
            assert_equal(self.dropped[name], args, line)
        elif action.startswith("?"):
            record = registry.get(action[1:], now)
            assert_equal("-" if record is None else record.phase, args[0], line)
        else:
            raise ValueError(step)


class ParsingReports(unittest.TestCase):
    def test_a_valid_report_is_parsed(self):
        parsed = parse_heartbeat("i-7f3a91c2", msgspec.json.encode(VALID_REPORT))
        self.assertEqual(parsed, Heartbeat("huvo11a", "10.128.0.9:8080", "hall", "v1", 4, "up", 4, 1300))

    def test_the_invalid_field_is_named(self):
        for field, value in (
            ("addr", "10.1.1.1"),
            ("addr", "10.1.1.1:0"),
            ("addr", "host:80"),
            ("summary.svc", ""),
            ("summary.slots", 0),
            ("summary.slots", "4"),
            ("stat.phase", "gone"),
            ("stat.seq", -1),
            ("stat.warmup_time", "5"),
            ("stat.warmup_time", "5m"),
        ):
            with self.subTest(field=field, value=value):
                report = msgspec.json.decode(msgspec.json.encode(VALID_REPORT))
                *outer, last = field.split(".")
                (report[outer[0]] if outer else report)[last] = value
                with self.assertRaises(DiscoveryError) as caught:
                    parse_heartbeat("i-1", msgspec.json.encode(report))
                self.assertEqual(caught.exception.field, field)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=40), st.integers(0, 200), st.integers(0, 40))
    def test_damaged_reports_raise_nothing_else(self, junk, at, cut):
        valid_body = msgspec.json.encode(VALID_REPORT)
        for body in (junk, valid_body[:at] + junk + valid_body[at + cut :]):
            try:
                parse_heartbeat("i-1", body)
            except DiscoveryError:
                pass


records = st.builds(
    ServerRecord,
    st.just("i-1"),
    st.sampled_from(["a", "b"]),
    st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
    slots=st.integers(1, 2),
    phase=st.sampled_from(["up", "draining", "gone"]),
    seq=st.integers(0, 3),
    warm=st.integers(0, 3),
    retired=st.integers(0, 3),
    born=st.integers(0, 3),
    quiet=st.integers(0, 3),
)


class Merging(unittest.TestCase):
    @settings(max_examples=500, deadline=None, derandomize=True, database=None)
    @given(records, records, records)
    def test_merge_is_commutative_associative_idempotent(self, a, b, c):
        self.assertEqual(merge(a, b), merge(b, a))
        self.assertEqual(merge(merge(a, b), c), merge(a, merge(b, c)))
        self.assertEqual(merge(a, a), a)
        self.assertEqual(merge(aged(a, 2), aged(b, 2)), aged(merge(a, b), 2))

    def test_copies_with_different_reports_converge(self):
        for seed in range(60):
            rng = random.Random(seed)
            registries = [ServiceRegistry(str(n)) for n in range(3)]
            repairs = [AntiEntropy(registry) for registry in registries]
            now, seqs = 0.0, {}
            for _ in range(120):
                now += rng.uniform(0, 0.2)
                ident, registry = f"i-{rng.randrange(12)}", rng.choice(registries)
                seqs[ident] = seqs.get(ident, 0) + rng.randrange(-1, 3)
                kind = rng.random()
                if kind < 0.85:
                    phase = "draining" if rng.random() < 0.05 else "up"
                    registry.record_heartbeat(
                        ident, heartbeat(max(0, seqs[ident]), f"10.0.0.{ident[2:]}:80", phase), now
                    )
                elif kind < 0.9:
                    registry.leave(ident, now)
                elif kind < 0.97:
                    registry.retire([ident], rng.random() < 0.5, now)
                else:
                    repair(*rng.sample(repairs, 2), now)
            for one, other in ((0, 1), (1, 2), (0, 1)):
                repair(repairs[one], repairs[other], now)
            states = [sorted(map(replicated_fields, registry.records(now))) for registry in registries]
            self.assertEqual(states[0], states[1], seed)
            self.assertEqual(states[0], states[2], seed)
            self.assertEqual(repair(repairs[0], repairs[2], now), 0)

    def test_repair_sends_only_the_ranges_that_differ(self):
        one, other = ServiceRegistry("1"), ServiceRegistry("2")
        for n in range(200):
            one.record_heartbeat(f"i-{n}", heartbeat(1, f"10.0.{n}.1:80"), 0.0)
            # A different seq alone is no difference.
            other.record_heartbeat(f"i-{n}", heartbeat(7, f"10.0.{n}.1:80"), 0.5)
        self.assertEqual(repair(AntiEntropy(one), AntiEntropy(other), 1.0), 0)
        other.record_heartbeat("i-5", heartbeat(9, "10.0.5.1:80", "draining"), 1.0)
        differ = differing_ranges(digests(one.records(1.0)), digests(other.records(1.0)))
        self.assertEqual(differ, [range_of("i-5", 16)])
        self.assertLess(repair(AntiEntropy(one), AntiEntropy(other), 1.0), 40)
        self.assertEqual(one.get("i-5", 1.0).phase, "draining")


class Timelines(unittest.TestCase):
    def test_late_reports_change_nothing(self):
        Timeline(
            self,
            """
            time | r1                          | r2
            0    | heartbeat a 4 10.0.0.1:80        | heartbeat a 3 10.0.0.1:80
            1    | heartbeat a 6 10.0.0.1:80 draining
            1.1  | heartbeat a 5 10.0.0.1:80; ?a draining
            2    |                             | repair r1; ?a draining
            3    |                             | heartbeat a 9 10.0.0.1:80; ?a draining; leave a; ?a gone
            4    | heartbeat a 10 10.0.0.1:80       | heartbeat a 11 10.0.0.1:80; ?a gone
            5    | repair r2; ?a gone
            """,
        )

    def test_the_end_of_an_unknown_server_is_kept(self):
        Timeline(
            self,
            """
            time | r1                          | r2
            0    | leave a                     | heartbeat a 8 10.0.0.1:80
            1    | heartbeat a 7 10.0.0.1:80; ?a gone
            2    |                             | repair r1; ?a gone; ?usable
            """,
        )

    def test_an_address_passes_to_its_newer_server(self):
        Timeline(
            self,
            """
            time | r1                              | r2
            0    | heartbeat old 1 10.0.0.1:80
            1    | heartbeat old 2 10.0.0.1:80          | repair r1
            4    |                                 | heartbeat new 1 10.0.0.1:80; ?old gone; ?usable new
            5    | ?usable old; repair r2; ?usable new
            """,
        )

    def test_a_delayed_report_does_not_end_a_live_server(self):
        # Both controllers have restarted without state; the old server's last report arrives after the new one's.
        Timeline(
            self,
            """
            time | r1                                          | r2
            0    | heartbeat new 1 10.0.0.1:80
            0.5  |                                             | heartbeat old 9 10.0.0.1:80
            1    |                                             | repair r1; ?usable new old
            1.3  | heartbeat new 2 10.0.0.1:80                      | heard r1; ?new up
            2.6  | heartbeat new 3 10.0.0.1:80; ?new up
            9.1  | heartbeat new 8 10.0.0.1:80; ?old up
            12   | heartbeat new 9 10.0.0.1:80; ?old gone; ?new up  | repair r1; ?usable new
            """,
        )

    def test_another_server_at_the_address_does_not_end_one_that_reports(self):
        Timeline(
            self,
            """
            time | r1
            0    | heartbeat live 1 10.0.0.1:80
            1.3  | heartbeat live 2 10.0.0.1:80
            1.9  | heartbeat ghost 9 10.0.0.1:80; ?live up
            2.6  | heartbeat live 3 10.0.0.1:80; ?live up
            """,
        )

    def test_retirement_follows_the_operators_latest_change(self):
        Timeline(
            self,
            """
            time | r1                             | r2
            0    | heartbeat a 1 10.0.0.1:80; retire a
            1    | ?usable                        | repair r1; ?usable; back a; ?usable a
            2    | heartbeat a 2 10.0.0.1:80; ?usable  | heartbeat a 3 10.0.0.1:80
            3    | repair r2; ?usable a
            """,
        )

    def test_silent_servers_are_dropped_and_not_restored_by_other_copies(self):
        Timeline(
            self,
            """
            time | r1                              | r2
            0    | heartbeat a 1 10.0.0.1:80            | heartbeat hum 0 10.0.0.99:80
            1    | hum 0                           | repair r1; hum 1; heard r1
            25   | hum 2; expire; ?a up            | hum 2; heard r1
            31   | hum 26; expire; ?forgot a       | hum 26; ?a up
            31.1 | repair r2; ?a -                 | ?a up; expire; ?a -
            32   | repair r2; ?a -                 | heartbeat a 2 10.0.0.1:80; ?a up
            33   | repair r2; ?a up
            """,
        )

    def test_relayed_reports_keep_live_servers_but_not_dead_ones(self):
        timeline = Timeline(
            self,
            """
            time | r1                    | r2                   | r3
            0    | heartbeat a 1 10.0.0.1:80; heartbeat b 1 10.0.0.2:80
            0.1  |                       | repair r1            | repair r1
            1    | heartbeat a 2 10.0.0.1:80  | heard r1
            2    | heard r3              | heard r1             | heard r2
            3    | heard r3              | heartbeat a 3 10.0.0.1:80 | heard r2
            4    | heard r3              | heard r3             | heard r2
            5    | heard r3              | heard r3             | heard r2
            """,
        )
        for registry in timeline.registries.values():
            self.assertEqual(registry.silent(6.0, 4.0), ["b"])
            self.assertEqual(registry.silent(8.0, 4.0), ["a", "b"])

    def test_a_partitioned_controller_drops_no_servers(self):
        Timeline(
            self,
            """
            time | r1
            0    | heartbeat a 1 10.0.0.1:80; heartbeat b 1 10.0.0.2:80
            60   | expire; ?forgot
            60.5 | heartbeat a 40 10.0.0.1:80; expire; ?forgot; ?usable a b
            85   | hum 61; expire; ?forgot
            91   | hum 86; expire; ?forgot a b
            """,
        )


class ChangesSince(unittest.TestCase):
    def test_a_controller_session_has_what_the_registry_has(self):
        for seed in range(40):
            rng = random.Random(seed)
            registry, session_records, position, snapshots = ServiceRegistry("x"), {}, ("", 0), 0
            now = 0.0
            for n in range(400):
                now += rng.choice((0.05, 0.3, 1.0))
                ident = f"i-{rng.randrange(n // 20, n // 20 + 6)}"
                if rng.random() < 0.9:
                    registry.record_heartbeat(ident, heartbeat(n, f"10.0.0.{ident[2:]}:80", warm=500), now)
                else:
                    registry.leave(ident, now)
                registry.expire(now)
                if rng.random() < 0.1:
                    changes = registry.changes_since(*position, now)
                    if changes is None:
                        snapshots += 1
                        session_records, changes = {}, registry.snapshot(now)
                    session_records.update((record.id, replicated_fields(record)) for record in changes)
                    position = registry.position
                    expected = sorted(map(replicated_fields, registry.snapshot(now)))
                    self.assertEqual(sorted(m for m in session_records.values() if m.phase != "gone"), expected)
            self.assertEqual(snapshots, 1, "sessions that keep up need the snapshot only once")
            self.assertIsNone(registry.changes_since("y", position[1], now))
            self.assertIsNone(registry.changes_since("x", registry.position.number + 1, now))

    def test_a_controller_session_that_missed_an_end_needs_a_snapshot(self):
        registry = ServiceRegistry("x")
        registry.record_heartbeat("a", heartbeat(1), 0.0)
        position = registry.position
        registry.leave("a", 1.0)
        self.assertEqual([r.phase for r in registry.changes_since(*position, 2.0)], ["gone"])
        registry.expire(62.0)
        self.assertIsNone(registry.changes_since(*position, 62.0))
        self.assertEqual(registry.changes_since(*registry.position, 62.0), [])

    def test_a_server_that_returns_after_it_was_dropped_is_reported(self):
        registry = ServiceRegistry("x")
        registry.record_heartbeat("a", heartbeat(1), 0.0)
        for second in range(140):
            registry.record_heartbeat("hum", heartbeat(second, "10.0.0.9:80"), float(second))
            if second >= 40:
                registry.record_heartbeat("a", heartbeat(second), float(second))
            if registry.expire(float(second)):
                position = registry.position
        self.assertEqual([(r.id, r.phase) for r in registry.changes_since(*position, 140.0)], [("a", "up")])

    def test_slow_start_ends_on_time_however_it_is_reported(self):
        registry = ServiceRegistry("x")
        for at in (0.0, 1.0, 2.0):  # this server always reports the total duration
            registry.record_heartbeat("a", heartbeat(int(at) + 1, warm=3000), at)
        self.assertEqual(registry.get("a", 2.5).warm, 500)
        other = ServiceRegistry("y")
        other.merge(registry.get("a", 2.5), 102.5)  # the other machine's clock is different
        self.assertEqual((other.get("a", 103.0).warm, other.get("a", 103.0).born), (0, 3000))


class Acknowledging(unittest.TestCase):
    def setUp(self):
        self.record = ServerRecord("a", phase="draining", seq=4)
        self.pending = replication.PendingAcknowledgements("r1")
        self.voters = ["r1", "r2", "r3", "r4", "r5"]

    def test_only_a_majority_acknowledges(self):
        messages = self.pending.start("t", self.record, self.voters, 0.0)
        self.assertEqual([addr for addr, _ in messages], self.voters)
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining")), [])
        self.assertEqual(self.pending.confirm("r2", ReplicationAck("a", "draining")), [])
        self.assertEqual(self.pending.confirm("r2", ReplicationAck("a", "draining")), [])
        self.assertEqual(self.pending.confirm("r9", ReplicationAck("a", "draining")), [])
        self.assertEqual(self.pending.confirm("r3", ReplicationAck("a", "up")), [])
        self.assertEqual([addr for addr, _ in self.pending.retransmit(0.2)], ["r3", "r4", "r5"])
        self.assertEqual(self.pending.confirm("r3", ReplicationAck("a", "gone")), ["t"])
        self.assertEqual((len(self.pending), self.pending.expire(9.0)), (0, []))

    def test_without_a_majority_the_call_times_out(self):
        self.pending.start("t", self.record, self.voters, 0.0)
        self.pending.confirm("r1", ReplicationAck("a", "draining"))
        self.pending.confirm("r2", ReplicationAck("a", "draining"))
        self.assertEqual(self.pending.expire(0.6), [])
        self.assertEqual(self.pending.expire(0.7), ["t"])
        self.assertEqual(self.pending.confirm("r3", ReplicationAck("a", "draining")), [])
        # Confirmations from before the server's next call prove nothing about those voters now.
        self.assertEqual(len(self.pending.start("u", self.record, self.voters, 0.9)), 5)

    def test_a_confirmation_counts_for_waiting_calls_and_no_later_one(self):
        voters = ["r1", "r2", "r3"]
        self.pending.start("t", self.record, voters, 0.0)
        self.pending.start("u", self.record, voters, 0.1)
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining")), [])
        self.assertEqual(sorted(self.pending.confirm("r2", ReplicationAck("a", "draining"))), ["t", "u"])
        # r2 may lose its disk or become unreachable here: its earlier confirmation no longer counts towards a majority.
        self.pending.start("v", self.record, voters, 1.3)
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining")), [])

    def test_a_confirmation_counts_for_no_call_started_after_its_request(self):
        voters = ["r1", "r2", "r3"]
        pending = replication.PendingAcknowledgements("r1", 40)
        (_, first), *_ = pending.start("t", self.record, voters, 0.0)
        (_, second), *_ = pending.start("u", self.record, voters, 0.1)
        registry = ServiceRegistry("r2")
        early, late = (replication.acknowledge(request, registry, 0.2) for request in (first, second))
        self.assertEqual(pending.confirm("r1", ReplicationAck("a", "draining", call_number=late.call_number)), [])
        self.assertEqual(pending.confirm("r2", ReplicationAck("a", "draining", call_number=early.call_number)), ["t"])
        # The number 40 is of an earlier incarnation.
        self.assertEqual(pending.confirm("r2", ReplicationAck("a", "draining", call_number=40)), [])
        self.assertEqual(pending.confirm("r2", ReplicationAck("a", "draining", call_number=late.call_number)), ["u"])
        pending.start("v", self.record, voters, 0.3)
        pending.start("w", ServerRecord("b", phase="gone"), voters, 0.3)
        # A retransmission covers all waiting calls.
        self.assertEqual({request.call_number for _, request in pending.retransmit(0.6)}, {44})

    def test_without_a_reachable_majority_a_call_is_rejected_at_once(self):
        for voters, reachable in ((self.voters, ["r2"]), (self.voters, ["r1", "r2"]), ([], ["r2"])):
            with self.assertRaises(replication.NoMajorityError):
                self.pending.start("t", self.record, voters, 0.0, reachable)
        self.assertEqual([addr for addr, _ in self.pending.start("t", self.record, ["r1"], 0.0, [])], ["r1"])
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining")), ["t"])

    def test_our_own_copy_counts_no_sooner_than_that_of_another_voter(self):
        self.pending.start("t", self.record, ["r1", "r2", "r3"], 0.0)
        self.assertEqual(self.pending.confirm("r2", ReplicationAck("a", "draining")), [])
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining")), ["t"])

    def test_a_confirmation_is_that_of_an_id_not_of_an_address(self):
        voters = {"r1": "x", "r2": "y", "r3": "z"}
        self.pending.start("t", self.record, voters, 0.0)
        self.pending.confirm("r2", ReplicationAck("a", "draining", voter_id="y"))
        self.pending.set_voters(voters | {"r2": "new"}, 7)  # r2 has lost its disk and joined again
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining", voter_id="x")), [])
        self.assertEqual(self.pending.confirm("r2", ReplicationAck("a", "draining", voter_id="y")), [])
        self.assertEqual(self.pending.confirm("r2", ReplicationAck("a", "draining", voter_id="new")), ["t"])

    def test_a_change_of_voters_concerns_what_waits(self):
        self.pending.start("t", self.record, {"r1": "x", "r2": "y", "r3": "z"}, 0.0)
        self.pending.confirm("r3", ReplicationAck("a", "draining", voter_id="z"))
        self.pending.set_voters({"r1": "x", "r2": "y", "r4": "w"}, 7)
        self.assertEqual(self.pending.confirm("r1", ReplicationAck("a", "draining", voter_id="x")), [])
        self.assertEqual([addr for addr, _ in self.pending.retransmit(0.3)], ["r2", "r4"])
        self.assertEqual(self.pending.confirm("r4", ReplicationAck("a", "draining", voter_id="w")), ["t"])

    def test_a_sender_that_may_not_know_the_voters_gets_no_confirmation(self):
        registry = ServiceRegistry("r2")
        self.assertIsNone(
            replication.acknowledge(replication.ReplicationRequest(self.record, 6), registry, 0.1, "y", 7)
        )
        self.assertEqual(registry.get("a", 0.1).phase, "draining")
        self.assertEqual(
            replication.acknowledge(replication.ReplicationRequest(self.record, 7), registry, 0.1, "y", 7).voter_id, "y"
        )
        self.assertIsNotNone(
            replication.acknowledge(replication.ReplicationRequest(self.record), registry, 0.1, "y", 7)
        )

    def test_a_voter_confirms_its_current_state(self):
        registry = ServiceRegistry("r2")
        registry.record_heartbeat("a", heartbeat(9), 0.0)
        ack = replication.acknowledge(replication.ReplicationRequest(self.record), registry, 0.1)
        self.assertEqual(ack, replication.ReplicationAck("a", "draining"))
        registry.leave("a", 0.2)
        self.assertEqual(
            replication.acknowledge(replication.ReplicationRequest(self.record), registry, 0.3).phase, "gone"
        )


if __name__ == "__main__":
    unittest.main()
