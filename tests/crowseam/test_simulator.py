"""Tests of the simulator: network, clocks and disks, whole days, and the detection of defects by its judge.

Link timelines have one column for each end and one for the link.  An end can ``dial``, ``listen``, ``send TEXT``, set
``timeout S`` (its TCP user timeout) and ``close``.  Checks of an end are ``?TEXT`` (all data received so far),
``?open``, ``?end`` (end of stream) and ``?lost`` (an error); checks of a pending connection are ``?up``, ``?dialling``
and ``?refused``.  The link can be ``cut`` in both directions, or only to (``cut_in``) or from (``cut_out``) the right
end, and ``restored``.  ``kill`` ends the process on the right, ``off`` and ``on`` switch the power of its machine.
"""

import asyncio
import io
import random
import tempfile
import unittest
from unittest import mock

import msgspec

from crowseam.cli import dispatch, experiment, planner, report
from crowseam.cli.errors import BadInputError
from crowseam.consensus.messages import Ballot, ConfigurationEntry, Voter
from crowseam.consensus.records import ChosenRecord, IdentityRecord, PromiseRecord, SnapshotRecord, VoteRecord
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.load_balancer import LoadBalancer
from crowseam.quotas.admission import Admission, AdmissionDecision
from crowseam.quotas.retry_budget import RetryBudget
from crowseam.simulator import machine, simulation
from crowseam.simulator.scenario import replay
from crowseam.simulator.scenario.day import FAULT_KINDS, DayError, build, parse, with_changes
from crowseam.simulator.scenario.faults import KINDS
from crowseam.simulator.world.disk import DiskImage, MemoryDisk, MemoryStore
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.storage.records import Member, Note
from crowseam.storage.store import Store


class RecordingProtocol(asyncio.Protocol):
    def __init__(self):
        self.received, self.ended, self.error, self.transport = b"", False, None, None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.ended = True

    def connection_lost(self, error):
        self.ended, self.error = True, error


class LinkTimeline:
    """Runs the steps and checks of a timeline for two ends of a connection."""

    def __init__(self, case, text):
        self.case, self.world = case, World(1)
        self.network = Network(self.world, lambda a, b: 0.01, lambda ip: ip)
        self.left = self.network.process("left", "10.0.0.1", 0.0001)
        self.right = self.network.process("right", "10.0.0.2", 0.0001)
        self.ends = {"left": None, "right": None}
        self.connected, self.link_fault = None, LinkFault(frozenset(["10.0.0.2"]), cut=True)
        for line in [line for line in text.splitlines() if line.strip()][1:]:
            time, *cells = (part.strip() for part in line.split("|"))
            self.world.run(float(time))
            for name, words in zip(("left", "right", "link"), cells, strict=False):
                for step in filter(None, (part.strip() for part in words.split(";"))):
                    self.step(name, step.split(), line)
        self.world.leave()
        case.assertEqual(self.world.failures, [])

    def accept(self):
        self.ends["right"] = RecordingProtocol()
        return self.ends["right"]

    def step(self, name, words, line):
        case, end, (verb, *rest) = self.case, self.ends.get(name), words
        if verb == "listen":
            self.network.listen(self.right, self.accept, "10.0.0.2", 80)
        elif verb == "dial":
            self.ends["left"] = RecordingProtocol()
            self.connected = self.left.loop.create_future()
            self.network.dial(self.left, lambda: self.ends["left"], "10.0.0.2", 80, self.connected)
        elif verb == "send":
            end.transport.write(rest[0].encode())
        elif verb == "timeout":
            end.transport.user_timeout = float(rest[0])
        elif verb == "close":
            end.transport.close()
        elif verb in ("cut", "cut_in", "cut_out", "restored"):
            self.link_fault.direction = {"cut_in": "in", "cut_out": "out"}.get(verb, "both")
            (self.network.link_faults.remove if verb == "restored" else self.network.link_faults.append)(
                self.link_fault
            )
            self.network.resume_links()
        elif verb == "kill":
            self.network.process_ended(self.right)
        elif verb == "off":
            self.network.process_ended(self.right, silently=True)
            self.network.powered_off.add("10.0.0.2")
        elif verb == "on":
            self.network.powered_off.clear()
            self.network.resume_links()
        elif verb == "?up":
            case.assertTrue(self.connected.done() and self.connected.exception() is None, line)
        elif verb == "?dialling":
            case.assertFalse(self.connected.done(), line)
        elif verb == "?refused":
            case.assertIsInstance(self.connected.exception(), ConnectionRefusedError, line)
        elif verb == "?end":
            case.assertTrue(end.ended, line)
        elif verb == "?lost":
            case.assertIsInstance(end.error, OSError, line)
        elif verb == "?open":
            case.assertFalse(end.ended, line)
        else:
            case.assertEqual(end.received.decode(), verb[1:], line)


class TestNetwork(unittest.TestCase):
    def test_data_arrives_in_order_before_the_end(self):
        LinkTimeline(
            self,
            """
            time | left           | right            | link
            0.00 |                | listen           |
            0.01 | dial           |                  |
            0.10 | ?up; send a    |                  |
            0.10 | send b; close  | ?                |
            0.20 | ?end           | ?ab; ?end        |
        """,
        )

    def test_a_connection_without_listener_is_refused(self):
        LinkTimeline(
            self,
            """
            time | left     | right | link
            0.00 | dial     |       |
            0.10 | ?refused |       |
        """,
        )

    def test_a_cut_is_silent_and_held_data_arrives_after_it(self):
        LinkTimeline(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | cut
            0.20 | send a     |         |
            2.00 | send b     | ?; ?open |
            2.10 | ?open      |         | restored
            5.00 |            | ?ab     |
        """,
        )

    def test_held_data_does_not_pass_a_second_cut(self):
        # The retransmission falls 0.2 s to 0.25 s after the first cut, during the second one.
        LinkTimeline(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | cut
            0.20 | send a     |         | restored
            0.30 | send b     |         | cut
            0.40 | send c     |         |
            1.00 |            | ?       | restored
            1.10 | send d     | ?       |
            5.00 | ?open      | ?abcd   |
        """,
        )

    def test_the_user_timeout_continues_over_cuts_until_data_has_passed(self):
        LinkTimeline(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | timeout 1.5        |         | cut
            0.10 | send a             |         |
            1.00 |                    |         | restored
            1.10 |                    |         | cut
            1.55 | ?open              |         |
            1.75 | ?lost              | ?       |
        """,
        )
        LinkTimeline(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | timeout 1.5        |         | cut
            0.10 | send a             |         |
            1.00 |                    |         | restored
            1.10 |                    |         | cut
            1.15 |                    |         | restored
            3.00 | ?open              | ?a      |
        """,
        )

    def test_the_user_timeout_ends_only_its_own_side_of_a_cut_link(self):
        LinkTimeline(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | timeout 1.5        |         | cut
            0.20 | send a             |         |
            1.60 | ?open              |         |
            1.80 | ?lost              | ?open   |
            2.00 |                    |         | restored
            4.00 |                    | ?       |
        """,
        )

    def test_a_cut_in_one_direction_lets_the_other_pass_until_it_times_out_unacknowledged(self):
        LinkTimeline(
            self,
            """
            time | left               | right            | link
            0.00 | dial               | listen           |
            0.10 | timeout 1.5        | timeout 1.5      | cut_out
            0.20 | send a             | send x           |
            0.30 | ?                  | ?a               |
            1.60 | ?open              | ?open            |
            1.80 | ?lost              | ?lost            |
        """,
        )
        LinkTimeline(
            self,
            """
            time | left               | right            | link
            0.00 | dial               | listen           |
            0.10 | timeout 1.5        |                  | cut_in
            0.20 | send a             | send x           |
            0.30 | ?x                 | ?                |
            1.00 |                    |                  | restored
            3.00 | ?open              | ?a               |
        """,
        )
        for way in ("cut_in", "cut_out"):
            LinkTimeline(
                self,
                f"""
                time | left       | right   | link
                0.00 |            | listen  | {way}
                0.10 | dial       |         |
                1.50 | ?dialling  |         | restored
                4.00 | ?up        |         |
            """,
            )

    def test_a_connection_opened_into_a_cut_comes_up_after_it(self):
        LinkTimeline(
            self,
            """
            time | left       | right   | link
            0.00 |            | listen  | cut
            0.10 | dial       |         |
            1.50 | ?dialling  |         | restored
            4.00 | ?up        |         |
        """,
        )

    def test_a_killed_process_closes_and_a_machine_without_power_is_silent_until_it_is_back(self):
        LinkTimeline(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | kill
            0.20 | ?end       |         |
        """,
        )
        LinkTimeline(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | send a     |         | off
            3.00 | ?open      |         | on
            6.00 | ?lost      |         |
        """,
        )

    def test_a_receiver_that_does_not_read_blocks_the_sender(self):
        network = Network(World(1), lambda a, b: 0.01, lambda ip: ip)
        world, ends, paused = network.world, [], []
        one, two = network.process("one", "10.0.0.1"), network.process("two", "10.0.0.2")
        network.listen(two, lambda: ends.append(RecordingProtocol()) or ends[-1], "10.0.0.2", 80)
        mine = RecordingProtocol()
        mine.pause_writing, mine.resume_writing = lambda: paused.append(1), lambda: paused.append(0)
        network.dial(one, lambda: mine, "10.0.0.2", 80, one.loop.create_future())
        world.run(0.1)
        ends[0].transport.pause_reading()
        mine.transport.write(b"x" * 200_000)
        world.run(1.0)
        self.assertEqual((paused, mine.transport.get_write_buffer_size()), ([1], 200_000 - 65536))
        ends[0].transport.resume_reading()
        world.run(2.0)
        world.leave()
        self.assertEqual((paused, len(ends[0].received)), ([1, 0], 200_000))


class TestProcess(unittest.TestCase):
    def test_a_slow_or_frozen_process_falls_behind_in_order(self):
        world = World(1)
        process = Network(world, lambda a, b: 0.0, lambda ip: ip).process("p", "10.0.0.1", 0.1, offset=50.0)
        seen = []
        for number in range(4):
            process.loop.call_soon(lambda number=number: seen.append((number, round(world.now, 3))))
        world.run(0.25)
        process.frozen = True
        world.run(1.0)
        self.assertEqual(seen, [(0, 0.0), (1, 0.1), (2, 0.2)])
        process.thaw()
        world.run(2.0)
        world.leave()
        self.assertEqual(seen[3:], [(3, 1.0)])
        self.assertAlmostEqual(process.processor_time_s, 0.4)
        self.assertAlmostEqual(process.loop.time(), 52.0)

    def test_timeouts_and_tasks_of_asyncio_run_on_virtual_time(self):
        world = World(1)
        process, timed_out_at = Network(world, lambda a, b: 0.0, lambda ip: ip).process("p", "10.0.0.1", 0.0001), []

        async def wait():
            try:
                async with asyncio.timeout(5.0):
                    await asyncio.sleep(60.0)
            except TimeoutError:
                timed_out_at.append(round(world.now, 1))

        process.loop.create_task(wait())
        world.run(10.0)
        world.leave()
        self.assertEqual((timed_out_at, world.failures), ([5.0], []))


def random_records(rng):
    """Return random transactions as a voter writes them."""
    slot, transactions = 0, [[IdentityRecord("v1")]]
    for _ in range(40):
        ballot = Ballot(rng.randrange(1, 9), "a")
        entry = ConfigurationEntry(f"t{slot}", slot + 1, slot, True, b"body", "digest")
        draw = rng.randrange(6)
        if draw == 0:
            transactions.append([PromiseRecord(slot + 1, ballot)])
        elif draw == 1:
            transactions.append([VoteRecord(slot + 1, ballot, entry)])
        elif draw in (2, 3):
            slot += 1
            transactions.append([ChosenRecord(slot, entry), Note("n", b"%d" % slot)])
        elif draw == 4 and slot:
            transactions.append([SnapshotRecord(slot, b"state", [Voter("v1", "10.1.0.5:1")], max(1, slot - 2))])
        else:
            transactions.append([Member(f"m{rng.randrange(4)}", rng.choice([b"", None]))])
    return transactions


class TestDisk(unittest.TestCase):
    def test_it_stores_the_same_as_the_store_on_a_real_disk(self):
        for seed in range(3):
            disk_image = DiskImage(random.Random(seed))
            memory = MemoryStore(disk_image)
            with tempfile.TemporaryDirectory() as folder:
                store = Store(f"{folder}/crowseam.db")
                store.open()
                for records in random_records(random.Random(seed)):
                    store.write(records)
                    memory.write(records)
                self.assertEqual(memory.load(), store.load())
                self.assertEqual((memory.notes(), memory.members()), (store.notes(), store.members()))
                store.close()

    def test_an_unsynced_transaction_is_kept_whole_or_not_at_all(self):
        kept = set()
        for seed in range(8):
            world = World(seed)
            process = Network(world, lambda a, b: 0.0, lambda ip: ip).process("p", "10.0.0.1", 0.0001)
            disk_image, results = DiskImage(random.Random(seed)), []
            disk = MemoryDisk(process.loop, MemoryStore(disk_image))
            disk.write([Note("a", b"1")], results.append)
            world.run(0.1)
            disk.write([Note("b", b"1"), Note("c", b"1")], results.append)
            world.run(0.1005)
            disk.crash()
            process.end()
            world.run(1.0)
            world.leave()
            self.assertEqual(results, [True])
            kept.add(tuple(sorted(disk_image.notes)))
        self.assertEqual(kept, {("a",), ("a", "b", "c")})


def small_day(length=6.0, **more):
    """Return a day with three machines in three zones, which is simulated within about a second."""
    values = {
        "name": "small",
        "length": length,
        "settle": 4.0,
        "after": 3.5,
        "deployment": {
            "hb": 1.0,
            "zones": [{"name": zone, "machines": 1, "controllers": 1} for zone in ("n", "s", "w")],
            "services": [{"name": "maps", "servers": 4}, {"name": "loans", "servers": 3}],
            "routes": [
                {"name": "look-up", "svc": "maps", "rate": 20.0, "work": 0.05},
                {"name": "borrow", "svc": "loans", "rate": 10.0, "work": 0.08, "kind": "unsafe"},
            ],
            "tenants": [
                {"name": "north", "weight": 2.0, "rate": 60.0, "burst": 60.0},
                {"name": "south", "rate": 20.0, "burst": 20.0},
            ],
        },
    }
    values["deployment"] |= more.pop("deployment", {})
    return build(values | more)


class TestDays(unittest.TestCase):
    def test_the_file_format_names_the_faults_that_there_are(self):
        self.assertEqual(set(FAULT_KINDS), set(KINDS))

    def test_a_day_without_faults_is_served_and_reproducible(self):
        one, two = simulation.run_day(small_day(), 3)[0], simulation.run_day(small_day(), 3)[0]
        self.assertEqual((one.rules, one.failures, one.share, one.unacked), ({}, [], 1.0, 0))
        self.assertGreater(one.asks, 120)
        one.took = two.took = 0.0
        self.assertEqual(one, two)
        self.assertNotEqual(simulation.run_day(small_day(), 4)[0].asks, one.asks)

    def test_a_day_of_faults_breaks_no_rule(self):
        faults = [
            {"kind": "kill", "at": 0.5, "target": "n-1", "role": "controller", "span": 1.0},
            {"kind": "config_shift", "at": 1.0, "target": "look-up", "to": "loans"},
            {"kind": "config_race", "at": 3.0, "target": "look-up", "to": "maps"},
            {"kind": "lost_answers", "at": 2.0, "target": "loans", "amount": 0.2, "span": 3.0},
            {"kind": "retire", "at": 4.0, "target": "maps", "count": 1},
            {"kind": "load", "at": 4.0, "target": "south", "amount": 8.0, "span": 3.0},
            {"kind": "wipe", "at": 8.0, "target": "s-1", "span": 1.0},
        ]
        metrics = simulation.run_day(small_day(10.0, faults=faults), 1)[0]
        self.assertEqual((metrics.rules, metrics.failures), ({}, []))
        self.assertEqual((len(metrics.acks), metrics.events["change_rejected"]), (3, 1))
        self.assertGreater(metrics.share, 0.6)

    def test_changes_are_acknowledged_only_with_a_majority(self):
        faults = [
            {"kind": "cut", "at": 0.0, "target": "*", "to": "*", "span": 3.0},
            {"kind": "config_shift", "at": 0.5, "target": "look-up", "to": "loans"},
        ]
        metrics = simulation.run_day(small_day(6.0, faults=faults), 2)[0]
        self.assertEqual((metrics.rules, len(metrics.acks)), ({}, 2))
        self.assertGreater(metrics.acks[1], 2.4)

    def test_a_lost_zone_costs_little_once_its_clients_use_other_zones(self):
        lost = [{"kind": "lose_zone", "at": 2.0, "target": "w", "span": 30.0}]
        metrics = simulation.run_day(small_day(8.0, faults=lost), 1)[0]
        self.assertEqual(metrics.rules, {})
        self.assertGreater(metrics.spans[-1], 0.9)


def keyed_day(length, **more):
    """Return the small day with keyed orders in place of unsafe ones."""
    orders = {"name": "borrow", "svc": "loans", "rate": 15.0, "work": 0.08, "kind": "idem"}
    look_ups = {"name": "look-up", "svc": "maps", "rate": 10.0, "work": 0.05}
    return small_day(length, deployment={"routes": [look_ups, orders]}, **more)


class TestKeyedDays(unittest.TestCase):
    def test_a_day_without_faults_is_served_and_repeats_are_answered(self):
        metrics = simulation.run_day(keyed_day(6.0), 3)[0]
        self.assertEqual((metrics.rules, metrics.failures, metrics.share), ({}, [], 1.0))

    def test_a_day_of_faults_breaks_no_rule(self):
        faults = [
            {"kind": "lost_answers", "at": 0.5, "target": "loans", "amount": 0.1, "span": 3.0},
            {"kind": "kill", "at": 1.0, "target": "n-1", "role": "controller", "span": 1.0},
            {"kind": "kill", "at": 3.0, "target": "s-1", "role": "gateway", "span": 0.5},
            {"kind": "wipe", "at": 5.0, "target": "s-1", "span": 1.0},
        ]
        metrics = simulation.run_day(keyed_day(9.0, faults=faults), 1)[0]
        self.assertEqual((metrics.rules, metrics.failures), ({}, []))
        self.assertGreater(metrics.share, 0.8)


class TestJudge(unittest.TestCase):
    """A defect patched into the daemons must be reported as a violation of the corresponding rule."""

    def broken(self, day, *defects):
        for target, name, value in defects:
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        return simulation.run_day(day, 1)[0].rules

    def test_twice_and_refused(self):
        lost = [{"kind": "lost_answers", "at": 0.0, "target": "loans", "amount": 0.4, "span": 6.0}]
        again = LoadBalancer._retry_or_respond

        def forgetful(balancer, t, status, now):
            t.may_have_run = False
            return again(balancer, t, status, now)

        rules = self.broken(small_day(4.0, faults=lost), (LoadBalancer, "_retry_or_respond", forgetful))
        self.assertTrue(rules.get("TWICE") and rules.get("REFUSED"), rules)

    def test_twice_and_mixed_of_keyed_operations(self):
        sends = (Gateway, "_may_send", lambda *args: True)
        self.assertEqual(set(self.broken(keyed_day(4.0), sends)), {"TWICE", "MIXED"})

    def test_quota(self):
        hot = [{"kind": "load", "at": 0.0, "target": "south", "amount": 12.0, "span": 6.0}]
        passes = (Admission, "admit", lambda *a, **k: AdmissionDecision(True))
        self.assertTrue(self.broken(small_day(5.0, faults=hot), passes).get("QUOTA"))

    def test_budget(self):
        tight = {"bounds": {"retry_slack": 4, "retry_ratio": 0.02}}
        lost = [{"kind": "lost_answers", "at": 0.0, "target": "maps", "amount": 0.5, "span": 6.0}]
        rules = self.broken(small_day(5.0, faults=lost, deployment=tight), (RetryBudget, "may_retry", lambda *a: True))
        self.assertEqual(set(rules), {"BUDGET"})

    def test_drain_and_stale_configuration(self):
        faults = [
            {"kind": "retire", "at": 0.5, "target": "maps", "count": 2},
            {"kind": "config_shift", "at": 1.0, "target": "borrow", "to": "maps"},
        ]
        rules = self.broken(
            small_day(6.0, faults=faults),
            (Gateway, "update_servers", _first_servers),
            (machine.GatewayDaemon, "_on_table", _first_table),
        )
        self.assertTrue(rules.get("DRAIN") and rules.get("CONFIG"), rules)


def _first_servers(gateway, records, whole, follow=Gateway.update_servers):
    up = [record for record in records if record.phase == "up"]
    follow(gateway, up, False)


def _first_table(gateway, table):
    if gateway.reader.table is None:
        gateway.reader.table = table
        gateway.gateway.configure(table)


class TestFiles(unittest.TestCase):
    def test_an_invalid_field_of_a_day_is_named(self):
        for text, place in (
            (b"name = 1", "name"),
            (b"nonsense", "key/value"),
            (
                msgspec.json.encode(msgspec.to_builtins(small_day()) | {"faults": [{"kind": "fire", "at": 1.0}]}),
                "faults[0].kind",
            ),
        ):
            with self.assertRaisesRegex(DayError, place.replace("[", r"\[")):
                parse(text)
        day = with_changes(small_day(), {"deployment.routes.borrow.rate": 3.0, "load": 2.0})
        self.assertEqual((day.deployment.routes[1].rate, day.load), (3.0, 2.0))
        with self.assertRaisesRegex(DayError, "no such place"):
            with_changes(day, {"deployment.routes.lend.rate": 3.0})

    def test_requests_can_be_replayed_from_the_logs(self):
        metrics, lines = simulation.run_day(small_day(6.0), 1, lines=True)
        asked = replay.read_trace([lines], 1)
        self.assertEqual(len(asked), metrics.asks)
        again = simulation.run_day(
            with_changes(small_day(6.0), {"trace": [list(one) for one in asked], "length": asked[-1][0] + 0.1}), 2
        )[0]
        self.assertEqual((again.asks, again.share), (metrics.asks, 1.0))
        self.assertEqual(
            {name: kind.asks for name, kind in again.kinds.items()},
            {name: kind.asks for name, kind in metrics.kinds.items()},
        )
        with self.assertRaises(replay.ReplayError):
            replay.read_trace([["level=INFO event=started t=1"]])

    def test_plans_vary_the_load_as_requested(self):
        days = planner.build_cases(small_day(), [], [("loans", 2)], ["south"], [1.5])
        self.assertEqual(list(days), ["as it is", "2 of loans retired", "south doubled", "load x 1.5"])
        jobs = planner.make_jobs({name: days[name] for name in ("as it is", "south doubled")}, [1])
        rows = planner.summarize_cases(jobs, experiment.run_jobs(jobs, 1))
        self.assertEqual([row["share"] for row in rows], [1.0, rows[1]["share"]])
        self.assertGreater(rows[1]["owed_per_s"], rows[0]["owed_per_s"])
        with self.assertRaises(BadInputError):
            planner.build_cases(small_day(), ["nowhere"], [], [], [])


STREAMS_OF_A_ZONE = (("clients", ""), ("arrivals", "/look-up"), ("arrivals", "/borrow"))


class TestRandomStreams(unittest.TestCase):
    """Model checks rely on recorded seeds, so the names and draws of the random streams must not change."""

    def test_streams_have_their_names_and_draws(self):
        names = []

        def random_stream(world, name, made=World.random):
            names.append(name)
            return made(world, name)

        with mock.patch.object(World, "random", random_stream):
            simulation.Simulation(small_day(), 1)
        arrivals = [f"{kind}/{zone}{route}" for zone in "nsw" for kind, route in STREAMS_OF_A_ZONE]
        servers = [
            f"server/{service}/{n}" for service, count in (("maps", 4), ("loans", 3)) for n in range(1, count + 1)
        ]
        machines = ["machine/n-1", "machine/s-1", "machine/w-1"]
        self.assertEqual(names, ["faults", "network", *machines, *servers, *arrivals, "operator", "start", "trace"])
        self.assertAlmostEqual(World(7).random("arrivals/n/look-up").random(), 0.5151615675893104)


class TestExperiments(unittest.TestCase):
    def test_plots_are_drawn(self):
        drawn = report.curve("gateways", "kB/s", {"one": [(1.0, 2.0), (10.0, 30.0)], "two": [(1.0, 1.0)]})
        self.assertTrue(drawn.startswith("<svg") and "gateways" in drawn)
        plots = report.plots({"a": {1: {"worth": 0.5}}}, {"a": [[0.5, 0.6]]}, ["worth"])
        self.assertEqual([plot.startswith("<svg") for plot in plots], [True, True])

    def test_an_experiment_file_is_run_and_reported(self):
        day = small_day(2.0)
        text = """name = "<tries>"
            day = "day.json"
            seeds = [1]
            measures = ["worth", "broken"]
            [[variants]]
            name = "as it is"
            [[variants]]
            name = "slow"
            set = {"crowseam.gateway.load_balancer:HEDGE" = 9}
            [[variants.faults]]
            kind = "server_slow"
            at = 0.0
            amount = 40.0
            span = 9.0"""
        with tempfile.TemporaryDirectory() as folder:
            for name, body in (("day.json", msgspec.json.encode(day)), ("e.toml", text.encode())):
                with open(f"{folder}/{name}", "wb") as file:
                    file.write(body)
            with mock.patch("sys.stdout", io.StringIO()) as out:
                code = dispatch.run(
                    ["experiment", f"{folder}/e.toml", "--jobs=1", "--no-plots", "--json", f"--report={folder}/r.html"]
                )
            with open(f"{folder}/r.html", encoding="utf-8") as file:
                page = file.read()
        rows = msgspec.json.decode(out.getvalue())["rows"]
        self.assertEqual((code, [row["variant"] for row in rows]), (0, ["as it is"] * 2 + ["slow"] * 2))
        self.assertLess(rows[2]["difference"], -0.2)
        self.assertIn("&lt;tries&gt;", page)

    def test_constants_are_set_where_they_are_used_and_restored(self):
        from crowseam.gateway import daemon
        from crowseam.quotas import admission

        before = admission.PERIOD_S
        with experiment.override_constants({"crowseam.quotas.admission:PERIOD_S": "0.7"}):
            self.assertEqual((admission.PERIOD_S, daemon.PERIOD_S), (0.7, 0.7))
        self.assertEqual((admission.PERIOD_S, daemon.PERIOD_S), (before, before))
        for wrong in ("os:sep", "crowseam.gateway.load_balancer:NONE", "crowseam.gateway.load_balancer:LoadBalancer"):
            with self.assertRaises(BadInputError), experiment.override_constants({wrong: 1}):
                pass

    def test_differences_are_paired_and_have_a_spread(self):
        values = {
            "a": {s: {"worth": 0.5 + 0.04 * s} for s in range(6)},
            "b": {s: {"worth": 0.52 + 0.04 * s + 0.001 * (s % 2)} for s in range(6)},
            "c": {s: {"worth": 0.5 + 0.04 * (s + (-1) ** s)} for s in range(6)},
        }
        rows = {row["variant"]: row for row in experiment.compare(values, values["a"], ["worth"])}
        self.assertEqual([rows[name]["clear"] for name in "abc"], ["", "better", ""])
        self.assertAlmostEqual(rows["b"]["difference"], 0.0205)
        self.assertGreater(rows["a"]["spread"], 0.05)  # larger than the difference, which only shows in pairs
        self.assertTrue(0.0195 < rows["b"]["low"] <= rows["b"]["high"] < 0.0215)

    def test_results_are_stored_and_compared_with_those_of_the_same_days(self):
        jobs = [experiment.Job("a", seed, {"day": 1}) for seed in (1, 2, 3)]
        old = {"a": {seed: {"p99": 0.2} for seed in (1, 2, 3)}}
        new = {"a": {seed: {"p99": 0.3} for seed in (1, 2, 3)}}
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/kept.db"
            self.assertEqual(experiment.store_results(path, "e", jobs, old, 1.0), {})
            kept = experiment.store_results(path, "e", jobs, new, 2.0)
            self.assertEqual(kept, old)
            (row,) = experiment.compare_with_earlier(new, kept, ["p99"])
            self.assertEqual((row["clear"], round(row["difference"], 3)), ("worse", 0.1))
            other = [experiment.Job("a", 1, {"day": 2})]
            self.assertEqual(experiment.store_results(path, "e", other, new, 3.0), {})
