"""The simulator: links, clocks and disks in memory, whole days, and a judge that sees defects.

Timelines of links have a column for each end and one for the link itself.  An end's cells hold ``dial``,
``send TEXT``, ``patience S`` (what is not acknowledged for so long is given up), ``close``; and what it has
by now: ``?TEXT`` (all that came), ``?open``, ``?end``, ``?lost`` (it ended in an error), and of the dialling
``?up``, ``?dialling`` or ``?refused``.  The link is ``cut``, or it ``heals``; ``kill`` ends the process on
the right, ``off`` takes its power, ``on`` gives it back.  ``deaf`` and ``mute`` cut one way only: what the
right end is sent is lost, or what it sends.
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
from crowseam.simulator.scenario.day import FAULT_KINDS, DayError, build, changed, parse
from crowseam.simulator.scenario.faults import KINDS
from crowseam.simulator.world.disk import DiskImage, MemoryDisk, MemoryStore
from crowseam.simulator.world.link_faults import Trouble
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.storage.records import Member, Note
from crowseam.storage.store import Store


class End(asyncio.Protocol):
    def __init__(self):
        self.heard, self.ended, self.error, self.transport = b"", False, None, None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.heard += data

    def eof_received(self):
        self.ended = True

    def connection_lost(self, error):
        self.ended, self.error = True, error


class Links:
    """Plays a timeline of two ends."""

    def __init__(self, case, text):
        self.case, self.world = case, World(1)
        self.network = Network(self.world, lambda a, b: 0.01, lambda ip: ip)
        self.left = self.network.process("left", "10.0.0.1", 0.0001)
        self.right = self.network.process("right", "10.0.0.2", 0.0001)
        self.ends = {"left": None, "right": None}
        self.made, self.cut = None, Trouble(frozenset(["10.0.0.2"]), cut=True)
        for line in [line for line in text.splitlines() if line.strip()][1:]:
            time, *simulations = (part.strip() for part in line.split("|"))
            self.world.run(float(time))
            for name, words in zip(("left", "right", "link"), simulations, strict=False):
                for step in filter(None, (part.strip() for part in words.split(";"))):
                    self.step(name, step.split(), line)
        self.world.leave()
        case.assertEqual(self.world.failures, [])

    def accept(self):
        self.ends["right"] = End()
        return self.ends["right"]

    def step(self, name, words, line):
        case, end, (verb, *rest) = self.case, self.ends.get(name), words
        if verb == "listen":
            self.network.listen(self.right, self.accept, "10.0.0.2", 80)
        elif verb == "dial":
            self.ends["left"] = End()
            self.made = self.left.loop.create_future()
            self.network.dial(self.left, lambda: self.ends["left"], "10.0.0.2", 80, self.made)
        elif verb == "send":
            end.transport.write(rest[0].encode())
        elif verb == "patience":
            end.transport.user_timeout = float(rest[0])
        elif verb == "close":
            end.transport.close()
        elif verb in ("cut", "deaf", "mute", "heals"):
            self.cut.way = {"deaf": "in", "mute": "out"}.get(verb, "both")
            (self.network.troubles.remove if verb == "heals" else self.network.troubles.append)(self.cut)
            self.network.look()
        elif verb == "kill":
            self.network.ended(self.right)
        elif verb == "off":
            self.network.ended(self.right, silently=True)
            self.network.off.add("10.0.0.2")
        elif verb == "on":
            self.network.off.clear()
            self.network.look()
        elif verb == "?up":
            case.assertTrue(self.made.done() and self.made.exception() is None, line)
        elif verb == "?dialling":
            case.assertFalse(self.made.done(), line)
        elif verb == "?refused":
            case.assertIsInstance(self.made.exception(), ConnectionRefusedError, line)
        elif verb == "?end":
            case.assertTrue(end.ended, line)
        elif verb == "?lost":
            case.assertIsInstance(end.error, OSError, line)
        elif verb == "?open":
            case.assertFalse(end.ended, line)
        else:
            case.assertEqual(end.heard.decode(), verb[1:], line)


class TestLinks(unittest.TestCase):
    def test_in_order_and_to_the_end(self):
        Links(
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

    def test_nobody_listens(self):
        Links(
            self,
            """
            time | left     | right | link
            0.00 | dial     |       |
            0.10 | ?refused |       |
        """,
        )

    def test_a_cut_is_silent_and_what_waited_comes_after_it(self):
        Links(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | cut
            0.20 | send a     |         |
            2.00 | send b     | ?; ?open |
            2.10 | ?open      |         | heals
            5.00 |            | ?ab     |
        """,
        )

    def test_what_waited_does_not_pass_a_second_cut(self):
        # It is sent again 0.2 s to 0.25 s after the first cut, when the second one holds.
        Links(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | cut
            0.20 | send a     |         | heals
            0.30 | send b     |         | cut
            0.40 | send c     |         |
            1.00 |            | ?       | heals
            1.10 | send d     | ?       |
            5.00 | ?open      | ?abcd   |
        """,
        )

    def test_patience_goes_on_over_cuts_until_something_has_passed(self):
        Links(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | patience 1.5       |         | cut
            0.10 | send a             |         |
            1.00 |                    |         | heals
            1.10 |                    |         | cut
            1.55 | ?open              |         |
            1.75 | ?lost              | ?       |
        """,
        )
        Links(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | patience 1.5       |         | cut
            0.10 | send a             |         |
            1.00 |                    |         | heals
            1.10 |                    |         | cut
            1.15 |                    |         | heals
            3.00 | ?open              | ?a      |
        """,
        )

    def test_patience_ends_a_cut_link_on_one_side_only(self):
        Links(
            self,
            """
            time | left               | right   | link
            0.00 | dial               | listen  |
            0.10 | patience 1.5       |         | cut
            0.20 | send a             |         |
            1.60 | ?open              |         |
            1.80 | ?lost              | ?open   |
            2.00 |                    |         | heals
            4.00 |                    | ?       |
        """,
        )

    def test_a_cut_one_way_lets_the_other_through_until_nobody_acknowledges_it(self):
        Links(
            self,
            """
            time | left               | right            | link
            0.00 | dial               | listen           |
            0.10 | patience 1.5       | patience 1.5     | mute
            0.20 | send a             | send x           |
            0.30 | ?                  | ?a               |
            1.60 | ?open              | ?open            |
            1.80 | ?lost              | ?lost            |
        """,
        )
        Links(
            self,
            """
            time | left               | right            | link
            0.00 | dial               | listen           |
            0.10 | patience 1.5       |                  | deaf
            0.20 | send a             | send x           |
            0.30 | ?x                 | ?                |
            1.00 |                    |                  | heals
            3.00 | ?open              | ?a               |
        """,
        )
        for way in ("deaf", "mute"):
            Links(
                self,
                f"""
                time | left       | right   | link
                0.00 |            | listen  | {way}
                0.10 | dial       |         |
                1.50 | ?dialling  |         | heals
                4.00 | ?up        |         |
            """,
            )

    def test_a_connection_opened_into_a_cut_comes_up_after_it(self):
        Links(
            self,
            """
            time | left       | right   | link
            0.00 |            | listen  | cut
            0.10 | dial       |         |
            1.50 | ?dialling  |         | heals
            4.00 | ?up        |         |
        """,
        )

    def test_a_killed_process_closes_and_a_dark_machine_says_nothing_until_it_is_back(self):
        Links(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | ?up        |         | kill
            0.20 | ?end       |         |
        """,
        )
        Links(
            self,
            """
            time | left       | right   | link
            0.00 | dial       | listen  |
            0.10 | send a     |         | off
            3.00 | ?open      |         | on
            6.00 | ?lost      |         |
        """,
        )

    def test_who_does_not_read_holds_up_the_writer(self):
        network = Network(World(1), lambda a, b: 0.01, lambda ip: ip)
        world, ends, paused = network.world, [], []
        one, two = network.process("one", "10.0.0.1"), network.process("two", "10.0.0.2")
        network.listen(two, lambda: ends.append(End()) or ends[-1], "10.0.0.2", 80)
        mine = End()
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
        self.assertEqual((paused, len(ends[0].heard)), ([1, 0], 200_000))


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
        self.assertAlmostEqual(process.used, 0.4)
        self.assertAlmostEqual(process.loop.time(), 52.0)

    def test_timeouts_and_tasks_of_asyncio_run_on_virtual_time(self):
        world = World(1)
        process, told = Network(world, lambda a, b: 0.0, lambda ip: ip).process("p", "10.0.0.1", 0.0001), []

        async def wait():
            try:
                async with asyncio.timeout(5.0):
                    await asyncio.sleep(60.0)
            except TimeoutError:
                told.append(round(world.now, 1))

        process.loop.create_task(wait())
        world.run(10.0)
        world.leave()
        self.assertEqual((told, world.failures), ([5.0], []))


def random_records(rng):
    """Some transactions as a voter writes them."""
    slot, told = 0, [[IdentityRecord("v1")]]
    for _ in range(40):
        ballot = Ballot(rng.randrange(1, 9), "a")
        entry = ConfigurationEntry(f"t{slot}", slot + 1, slot, True, b"body", "digest")
        draw = rng.randrange(6)
        if draw == 0:
            told.append([PromiseRecord(slot + 1, ballot)])
        elif draw == 1:
            told.append([VoteRecord(slot + 1, ballot, entry)])
        elif draw in (2, 3):
            slot += 1
            told.append([ChosenRecord(slot, entry), Note("n", b"%d" % slot)])
        elif draw == 4 and slot:
            told.append([SnapshotRecord(slot, b"state", [Voter("v1", "10.1.0.5:1")], max(1, slot - 2))])
        else:
            told.append([Member(f"m{rng.randrange(4)}", rng.choice([b"", None]))])
    return told


class TestDisk(unittest.TestCase):
    def test_it_keeps_what_the_store_on_a_real_disk_keeps(self):
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

    def test_what_is_not_synced_is_there_whole_or_not_at_all(self):
        kept = set()
        for seed in range(8):
            world = World(seed)
            process = Network(world, lambda a, b: 0.0, lambda ip: ip).process("p", "10.0.0.1", 0.0001)
            disk_image, told = DiskImage(random.Random(seed)), []
            disk = MemoryDisk(process.loop, MemoryStore(disk_image))
            disk.write([Note("a", b"1")], told.append)
            world.run(0.1)
            disk.write([Note("b", b"1"), Note("c", b"1")], told.append)
            world.run(0.1005)
            disk.cut_short()
            process.die()
            world.run(1.0)
            world.leave()
            self.assertEqual(told, [True])
            kept.add(tuple(sorted(disk_image.notes)))
        self.assertEqual(kept, {("a",), ("a", "b", "c")})


def small(length=6.0, **more):
    """A day of three machines in three zones, served within a second."""
    told = {
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
    told["deployment"] |= more.pop("deployment", {})
    return build(told | more)


class TestDays(unittest.TestCase):
    def test_the_file_format_names_the_faults_that_there_are(self):
        self.assertEqual(set(FAULT_KINDS), set(KINDS))

    def test_a_quiet_day_is_served_and_the_same_each_time(self):
        one, two = simulation.play(small(), 3)[0], simulation.play(small(), 3)[0]
        self.assertEqual((one.rules, one.failures, one.share, one.unacked), ({}, [], 1.0, 0))
        self.assertGreater(one.asks, 120)
        one.took = two.took = 0.0
        self.assertEqual(one, two)
        self.assertNotEqual(simulation.play(small(), 4)[0].asks, one.asks)

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
        told = simulation.play(small(10.0, faults=faults), 1)[0]
        self.assertEqual((told.rules, told.failures), ({}, []))
        self.assertEqual((len(told.acks), told.events["change_rejected"]), (3, 1))
        self.assertGreater(told.share, 0.6)

    def test_without_a_majority_nothing_is_acknowledged_and_with_it_again_all_is(self):
        faults = [
            {"kind": "cut", "at": 0.0, "target": "*", "to": "*", "span": 3.0},
            {"kind": "config_shift", "at": 0.5, "target": "look-up", "to": "loans"},
        ]
        told = simulation.play(small(6.0, faults=faults), 2)[0]
        self.assertEqual((told.rules, len(told.acks)), ({}, 2))
        self.assertGreater(told.acks[1], 2.4)

    def test_a_lost_zone_costs_little_once_its_clients_go_elsewhere(self):
        lost = [{"kind": "lose_zone", "at": 2.0, "target": "w", "span": 30.0}]
        told = simulation.play(small(8.0, faults=lost), 1)[0]
        self.assertEqual(told.rules, {})
        self.assertGreater(told.spans[-1], 0.9)


def keyed(length, **more):
    """The small day with orders that run once by their key."""
    orders = {"name": "borrow", "svc": "loans", "rate": 15.0, "work": 0.08, "kind": "idem"}
    look_ups = {"name": "look-up", "svc": "maps", "rate": 10.0, "work": 0.05}
    return small(length, deployment={"routes": [look_ups, orders]}, **more)


class TestKeyedDays(unittest.TestCase):
    def test_a_quiet_day_is_served_and_repeats_are_answered(self):
        told = simulation.play(keyed(6.0), 3)[0]
        self.assertEqual((told.rules, told.failures, told.share), ({}, [], 1.0))

    def test_a_day_of_faults_breaks_no_rule(self):
        faults = [
            {"kind": "lost_answers", "at": 0.5, "target": "loans", "amount": 0.1, "span": 3.0},
            {"kind": "kill", "at": 1.0, "target": "n-1", "role": "controller", "span": 1.0},
            {"kind": "kill", "at": 3.0, "target": "s-1", "role": "gateway", "span": 0.5},
            {"kind": "wipe", "at": 5.0, "target": "s-1", "span": 1.0},
        ]
        told = simulation.play(keyed(9.0, faults=faults), 1)[0]
        self.assertEqual((told.rules, told.failures), ({}, []))
        self.assertGreater(told.share, 0.8)


class TestJudge(unittest.TestCase):
    """A defect put into the daemons' code is seen as the rule that it breaks."""

    def broken(self, day, *defects):
        for target, name, value in defects:
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        return simulation.play(day, 1)[0].rules

    def test_twice_and_refused(self):
        lost = [{"kind": "lost_answers", "at": 0.0, "target": "loans", "amount": 0.4, "span": 6.0}]
        again = LoadBalancer._retry_or_respond

        def forgetful(balancer, t, status, now):
            t.may_have_run = False
            return again(balancer, t, status, now)

        rules = self.broken(small(4.0, faults=lost), (LoadBalancer, "_retry_or_respond", forgetful))
        self.assertTrue(rules.get("TWICE") and rules.get("REFUSED"), rules)

    def test_twice_and_mixed_of_keyed_operations(self):
        sends = (Gateway, "_may_send", lambda *args: True)
        self.assertEqual(set(self.broken(keyed(4.0), sends)), {"TWICE", "MIXED"})

    def test_quota(self):
        hot = [{"kind": "load", "at": 0.0, "target": "south", "amount": 12.0, "span": 6.0}]
        passes = (Admission, "admit", lambda *a, **k: AdmissionDecision(True))
        self.assertTrue(self.broken(small(5.0, faults=hot), passes).get("QUOTA"))

    def test_budget(self):
        tight = {"bounds": {"retry_slack": 4, "retry_ratio": 0.02}}
        lost = [{"kind": "lost_answers", "at": 0.0, "target": "maps", "amount": 0.5, "span": 6.0}]
        rules = self.broken(small(5.0, faults=lost, deployment=tight), (RetryBudget, "may_retry", lambda *a: True))
        self.assertEqual(set(rules), {"BUDGET"})

    def test_drain_and_stale_configuration(self):
        faults = [
            {"kind": "retire", "at": 0.5, "target": "maps", "count": 2},
            {"kind": "config_shift", "at": 1.0, "target": "borrow", "to": "maps"},
        ]
        rules = self.broken(
            small(6.0, faults=faults),
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
    def test_what_is_wrong_with_a_day_is_named(self):
        for text, place in (
            (b"name = 1", "name"),
            (b"nonsense", "key/value"),
            (
                msgspec.json.encode(msgspec.to_builtins(small()) | {"faults": [{"kind": "fire", "at": 1.0}]}),
                "faults[0].kind",
            ),
        ):
            with self.assertRaisesRegex(DayError, place.replace("[", r"\[")):
                parse(text)
        day = changed(small(), {"deployment.routes.borrow.rate": 3.0, "load": 2.0})
        self.assertEqual((day.deployment.routes[1].rate, day.load), (3.0, 2.0))
        with self.assertRaisesRegex(DayError, "no such place"):
            changed(day, {"deployment.routes.lend.rate": 3.0})

    def test_what_was_asked_can_be_played_from_the_logs(self):
        told, lines = simulation.play(small(6.0), 1, lines=True)
        asked = replay.trace([lines], 1)
        self.assertEqual(len(asked), told.asks)
        again = simulation.play(
            changed(small(6.0), {"trace": [list(one) for one in asked], "length": asked[-1][0] + 0.1}), 2
        )[0]
        self.assertEqual((again.asks, again.share), (told.asks, 1.0))
        self.assertEqual(
            {name: kind.asks for name, kind in again.kinds.items()},
            {name: kind.asks for name, kind in told.kinds.items()},
        )
        with self.assertRaises(replay.ReplayError):
            replay.trace([["level=INFO event=started t=1"]])

    def test_plans_ask_what_they_are_told_to(self):
        days = planner.cases(small(), [], [("loans", 2)], ["south"], [1.5])
        self.assertEqual(list(days), ["as it is", "2 of loans retired", "south doubled", "load x 1.5"])
        jobs = planner.jobs({name: days[name] for name in ("as it is", "south doubled")}, [1])
        rows = planner.summed(jobs, experiment.run(jobs, 1))
        self.assertEqual([row["share"] for row in rows], [1.0, rows[1]["share"]])
        self.assertGreater(rows[1]["owed_per_s"], rows[0]["owed_per_s"])
        with self.assertRaises(BadInputError):
            planner.cases(small(), ["nowhere"], [], [], [])


STREAMS_OF_A_ZONE = (("clients", ""), ("arrivals", "/look-up"), ("arrivals", "/borrow"))


class TestRandomStreams(unittest.TestCase):
    """Model checks keep seeds that find something: the streams' names and what they draw may not change."""

    def test_streams_have_their_names_and_draws(self):
        names = []

        def random_stream(world, name, made=World.random):
            names.append(name)
            return made(world, name)

        with mock.patch.object(World, "random", random_stream):
            simulation.Simulation(small(), 1)
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

    def test_a_file_is_played_and_reported(self):
        day = small(2.0)
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

    def test_constants_are_set_where_they_are_used_and_put_back(self):
        from crowseam.gateway import daemon
        from crowseam.quotas import admission

        before = admission.PERIOD_S
        with experiment.settings({"crowseam.quotas.admission:PERIOD_S": "0.7"}):
            self.assertEqual((admission.PERIOD_S, daemon.PERIOD_S), (0.7, 0.7))
        self.assertEqual((admission.PERIOD_S, daemon.PERIOD_S), (before, before))
        for wrong in ("os:sep", "crowseam.gateway.load_balancer:NONE", "crowseam.gateway.load_balancer:LoadBalancer"):
            with self.assertRaises(BadInputError), experiment.settings({wrong: 1}):
                pass

    def test_differences_go_by_pairs_and_tell_their_spread(self):
        values = {
            "a": {s: {"worth": 0.5 + 0.04 * s} for s in range(6)},
            "b": {s: {"worth": 0.52 + 0.04 * s + 0.001 * (s % 2)} for s in range(6)},
            "c": {s: {"worth": 0.5 + 0.04 * (s + (-1) ** s)} for s in range(6)},
        }
        rows = {row["variant"]: row for row in experiment.compare(values, values["a"], ["worth"])}
        self.assertEqual([rows[name]["clear"] for name in "abc"], ["", "better", ""])
        self.assertAlmostEqual(rows["b"]["difference"], 0.0205)
        self.assertGreater(rows["a"]["spread"], 0.05)  # which alone would hide the difference
        self.assertTrue(0.0195 < rows["b"]["low"] <= rows["b"]["high"] < 0.0215)

    def test_results_are_kept_and_compared_with_those_of_the_same_days(self):
        jobs = [experiment.Job("a", seed, {"day": 1}) for seed in (1, 2, 3)]
        old = {"a": {seed: {"p99": 0.2} for seed in (1, 2, 3)}}
        new = {"a": {seed: {"p99": 0.3} for seed in (1, 2, 3)}}
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/kept.db"
            self.assertEqual(experiment.keep(path, "e", jobs, old, 1.0), {})
            kept = experiment.keep(path, "e", jobs, new, 2.0)
            self.assertEqual(kept, old)
            (row,) = experiment.since(new, kept, ["p99"])
            self.assertEqual((row["clear"], round(row["difference"], 3)), ("worse", 0.1))
            other = [experiment.Job("a", 1, {"day": 2})]
            self.assertEqual(experiment.keep(path, "e", other, new, 3.0), {})
