"""Servers that an operator retires: all gateways stop using them together.

Timelines have a column for external events (``cut NAME``, ``heal``, ``kill NAME``, ``start NAME``, ``disk NAME S``:
its disk hangs for S seconds, ``behind ID NAME ...``: these controllers forget the retirement of the server), one for
each controller and one for each of the gateways ``a`` and ``b``.

Cells of controllers hold calls: ``heartbeat ID SEQ [SVC ADDR]``, ``delete ID``, ``retire ID|FIELD=VALUE [force]``,
``undo ID|FIELD=VALUE``, ``look [ID]`` (queries the status); the expected answer to the newest call: ``?STATUS`` or
``?none``; the expected content of a status: ``?safe ID``, ``?busy ID GATEWAY=COUNT ...`` (requests in flight),
``?late GATEWAY ...`` (not confirmed), ``?away GATEWAY ...``, ``?is ID STATE``; and ``?knows ID``: the controller
knows that the server is retired. Cells of gateways hold ``busy ID COUNT`` (sets the requests in flight there) and
``?use ID ...`` (all servers that get new requests).
"""

import contextlib
import io
import json
import random
import unittest
from unittest import mock

import msgspec

from crowseam.cli import control_client, retirement_wait
from crowseam.cli.dispatch import run
from crowseam.cli.errors import CommandError, RefusedError, UnclearError
from crowseam.discovery import replication
from crowseam.discovery.heartbeat import Heartbeat
from crowseam.discovery.leaving_servers import LeavingServers
from crowseam.discovery.replication import ReplicationAck
from crowseam.discovery.retirement_call import RetirementCall, services_below_minimum
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.gateway.controller_session import ControllerSession
from crowseam.gateway.gateway import Gateway
from crowseam.simulator import simulation
from crowseam.simulator.actors import http_client
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment
from tests.crowseam import test_controller
from tests.crowseam.test_controller import CALLBACK_COST_S, CONTROLLERS
from tests.crowseam.test_load_balancer import ROUTES
from tests.crowseam.test_simulator import small_day

IPS = test_controller.IPS | {"a": "10.1.0.21", "b": "10.3.0.22"}


class System(test_controller.SimulatedCluster):
    """Three controllers and two gateways that record the server updates they receive."""

    def __init__(self, seed):
        super().__init__(seed)
        self.servers_seen, self.in_flight, self.sessions, self.updates_seen, self.seqs = (
            {},
            {},
            {},
            {"a": [], "b": []},
            {},
        )
        for name in ("a", "b"):
            self.start_gateway(name)

    def start_gateway(self, name):
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        process = self.processes[name] = self.network.process(f"{name}/{incarnation}", IPS[name], CALLBACK_COST_S)
        servers = self.servers_seen[name] = {}
        self.in_flight[name] = {}

        def on_servers(records, is_complete):
            if is_complete:
                servers.clear()
            servers.update((record.id, record) for record in records)
            self.updates_seen[name].append((self.world.now, {r.id for r in servers.values() if r.usable}))

        settings = msgspec.structs.replace(self.settings("gateway", False), hostname=name, ip=IPS[name])
        self.sessions[name] = ControllerSession(
            process.loop,
            settings,
            random.Random(incarnation),
            lambda table: None,
            on_servers,
            lambda ids: None,
            dict,
            lambda: dict(self.in_flight[name]),
        )
        process.loop.call_soon(self.sessions[name].start)

    def start(self, *names):
        is_first_start = names[1:] == (True,)  # as the constructor calls it
        for name in names[:1] if is_first_start else names:
            if name in ("a", "b"):
                self.start_gateway(name)
            else:
                super().start(name, is_first_start)

    def kill(self, *names):
        for name in names:
            if name in ("a", "b"):
                self.network.process_ended(self.processes[name])
            else:
                super().kill(name)

    def cut(self, name):
        others = frozenset(ip for other, ip in IPS.items() if other != name)
        self.network.link_faults.append(LinkFault(frozenset([IPS[name]]), others, cut=True))

    def behind(self, ident, *names):
        for name in names:
            entry = self.controllers[name].registry._entries[ident]
            entry.record = msgspec.structs.replace(entry.record, retired=0)


class Case(unittest.TestCase):
    def play(self, text, seed=1):
        lines = [[part.strip() for part in line.split("|")] for line in text.splitlines() if line.strip()]
        system = System(seed)
        with simulated_environment(
            system.world, lambda event, **fields: self.assertFalse(event.endswith("failed"), fields)
        ):
            for time, *cells in lines[1:]:
                system.world.run(float(time))
                for name, words in zip(lines[0][1:], cells, strict=False):
                    for step in filter(None, (part.strip() for part in words.split(";"))):
                        with self.subTest(seed=seed, line=" | ".join([time, *cells])):
                            self.step(system, name, *step.split())
        self.assertEqual(system.world.failures, [])
        return system

    def step(self, system, name, action, *args):
        if name == "events":
            getattr(system, action)(*args)
        elif name in ("a", "b"):
            if action == "busy":
                system.in_flight[name] = {args[0]: int(args[1])} if int(args[1]) else {}
            else:
                usable = sorted(r.id for r in system.servers_seen[name].values() if r.usable)
                self.assertEqual(usable, list(args))
        elif action == "?knows":
            self.assertEqual(system.controllers[name].registry._entries[args[0]].record.retired, 1)
        elif action.startswith("?"):
            self.check_answer(system.answers[name], action[1:], args)
        else:
            self.call(system, name, action, args)

    def call(self, system, name, action, args):
        if action == "heartbeat":
            ident, seq, svc, addr = (*args, "s", f"10.9.0.{args[0][1:]}:80")[:4] if len(args) == 2 else args
            body = {
                "addr": addr,
                "summary": {"svc": svc, "ver": "v1", "az": "z", "slots": 4},
                "stat": {"phase": "up", "seq": int(seq), "warmup_time": "0ms"},
            }
            system.call(name, "PUT", f"/-/backends/{ident}", json.dumps(body).encode())
        elif action == "delete":
            system.call(name, "DELETE", f"/-/backends/{args[0]}")
        elif action == "look":
            system.call(name, "GET", "/-/retiring" + "".join(f"/{ident}" for ident in args))
        else:
            body = dict(arg.split("=") if "=" in arg else ("id", arg) for arg in args if arg != "force")
            body |= {"undo": action == "undo", "force": "force" in args}
            system.call(name, "POST", "/-/retire", json.dumps(body).encode())

    def check_answer(self, answer, expectation, args):
        if expectation == "none" or expectation.isdigit():
            return self.assertEqual("none" if answer is None else str(answer.status), expectation, answer)
        view = json.loads(answer.body)
        if expectation == "away":
            return self.assertEqual(sorted(view["away"]), list(args))
        rows = {row["id"]: row for row in view["servers"]}
        if expectation == "late":
            unconfirmed_gateways = {gateway for row in rows.values() for gateway in row["unconfirmed"]}
            return self.assertEqual(sorted(unconfirmed_gateways), list(args))
        row = rows[args[0]]
        if expectation == "safe":
            self.assertEqual((row["safe"], row.get("under_way", {})), (True, {}), view)
        elif expectation == "busy":
            in_flight = {gateway: int(count) for gateway, count in (each.split("=") for each in args[1:])}
            self.assertEqual((row["under_way"], row["safe"]), (in_flight, False))
        else:
            self.assertEqual((expectation, row["state"]), ("is", args[1]))


class Together(Case):
    def test_all_gateways_leave_it_at_once_and_the_operator_sees_requests_in_flight(self):
        self.play("""
            time | events | r1           | r2                    | r3        | a             | b
            2    |        | heartbeat i1 1    | heartbeat i2 1             | heartbeat i3 1 | ?use          | ?use
            2.5  |        |              | look                  |           | busy i1 2     | ?use i1 i2 i3
            2.6  |        | retire i1    |                       |           | ?use i1 i2 i3 |
            2.7  |        | ?200         | ?200; look            |           | ?use i2 i3    | ?use i2 i3
            2.8  |        |              | ?busy i1 a=2; ?late   |           | busy i1 0     | busy i1 1
            2.9  |        | look i1      | look i2               | look i9   |               |
            3    |        | ?busy i1 b=1 | ?is i2 in_use         | ?404      |               | busy i1 0
            3.1  |        | look         | heartbeat i1 2             | delete i1 |               |
            3.2  |        | ?safe i1     | ?200; look i1         | ?200      |               |
            3.3  |        |              | ?is i1 gone; ?safe i1 |           | ?use i2 i3    | ?use i2 i3
            """)

    def test_a_version_or_a_zone_is_retired_unless_too_little_capacity_is_left(self):
        system = self.play("""
            time | events | r1                    | r2          | r3           | a             | b
            2    |        | heartbeat i1 1             | heartbeat i2 1   | heartbeat i3 1    |               |
            2.5  |        | retire ver=v1         | retire az=y | retire svc=s |               |
            2.8  |        | ?409                  | ?404        | ?400         | ?use i1 i2 i3 |
            2.9  |        | retire i1             |             |              |               |
            3.1  |        | ?200                  | retire i2   |              |               | ?use i2 i3
            3.3  |        | retire i3             | ?200        | retire i2    |               | ?use i3
            3.5  |        | ?409; retire i3 force |             | ?200         | ?use i3       |
            3.7  |        | ?200                  | undo az=z   |              | ?use          | ?use
            3.9  |        | retire i1             | ?200        |              | ?use i1 i2 i3 |
            """)
        self.assertEqual(json.loads(system.answers["r2"].body)["room"], {"s": 1.0})

    def test_without_a_majority_nothing_is_retired(self):
        self.play("""
            time | events | r1        | r2        | r3        | a          | b
            2    |        | heartbeat i1 1 | heartbeat i2 1 |           |            |
            3    | cut r3 |           |           |           |            |
            5.5  |        |           |           | retire i1 |            |
            6.5  | heal   |           |           | ?503      | ?use i1 i2 |
            9    |        |           | look      |           | ?use i1 i2 | ?use i1 i2
            9.5  |        |           | ?200      |           |            |
            """)

    def test_a_retirement_is_acknowledged_only_once_it_is_on_disks(self):
        self.play("""
            time | events               | r1        | r2        | r3 | a       | b
            2    |                      | heartbeat i1 1 | heartbeat i2 1 |    |         |
            3    | disk r2 2; disk r3 2 | retire i1 |           |    |         |
            3.6  |                      | ?none     |           |    |         |
            3.9  |                      | ?503      |           |    |         |
            5.5  |                      | retire i1 |           |    |         |
            5.6  |                      | ?200      |           |    | ?use i2 | ?use i2
            """)


class Faults(Case):
    def test_a_gateway_that_reconnects_learns_of_the_retirement_at_once(self):
        system = self.play("""
            time | events | r1                | r2                  | r3 | a       | b
            2    |        | heartbeat i1 1         | heartbeat i2 1           |    |         |
            3    | cut b  |                   |                     |    |         | busy i1 3
            3.1  |        | retire i1         |                     |    |         |
            3.3  |        | ?200; look        |                     |    | ?use i2 | ?use i1 i2
            4    |        | ?late b; ?busy i1 |                     |    |         |
            8    |        |                   | look i1             |    |         |
            8.7  |        |                   | ?busy i1; ?away b   |    |         | ?use i1 i2
            10   | heal   |                   |                     |    |         |
            13   |        |                   | look                |    |         | ?use i2
            13.7 |        |                   | ?busy i1 b=3; ?away |    |         |
            """)
        controller_session, (back_at, usable) = system.sessions["b"], system.updates_seen["b"][-1]
        self.assertEqual(usable, {"i2"})
        self.assertGreater(controller_session.session_number, 1)
        self.assertGreater(back_at, 10.0)
        self.assertEqual([each for at, each in system.updates_seen["b"] if 3.0 < at < back_at], [])

    def test_a_controller_that_ends_just_after_the_acknowledgement(self):
        for lost in CONTROLLERS:
            for seed in (1, 2):
                self.play(
                    f"""
                    time | events       | r1        | r2                       | r3 | a       | b
                    2    |              | heartbeat i1 1 | heartbeat i2 1                |    |         |
                    3    |              | retire i1 |                          |    |         |
                    3.02 | kill {lost}  |           |                          |    |         |
                    3.3  |              | ?200      |                          |    | ?use i2 | ?use i2
                    8    | start {lost} |           |                          |    |         |
                    12   |              | heartbeat i1 9 | look                     |    |         |
                    12.5 |              |           | ?is i1 retired; ?safe i1 |    | ?use i2 | ?use i2
                    """,
                    seed,
                )

    def test_a_controller_that_missed_it_learns_of_it_when_its_partition_ends(self):
        for seed in range(4):
            for healed, known in ((3.4, 3.85), (6.0, 6.7)):  # a long cut has ended the links
                self.play(
                    f"""
                    time     | events  | r1        | r2             | r3             | a       | b
                    2        |         | heartbeat i1 1 | heartbeat i2 1      |                |         |
                    3        | cut r3  |           |                |                |         |
                    3.1      |         | retire i1 |                |                |         |
                    3.2      | kill r1 | ?200      |                |                |         |
                    {healed} | heal    |           |                |                |         |
                    {known}  |         |           |                | ?knows i1      | ?use i2 | ?use i2
                    8        |         |           | look           | look i1        | ?use i2 | ?use i2
                    8.7      |         |           | ?is i1 retired | ?is i1 retired |         |
                    """,
                    seed,
                )

    def test_a_gateway_that_connects_to_an_outdated_controller_keeps_what_it_knows(self):
        for seed in range(3):
            self.play(
                """
                time | events                   | r1        | r2        | r3 | a       | b
                2    |                          | heartbeat i1 1 | heartbeat i2 1 |    |         |
                3    |                          | retire i1 |           |    |         |
                3.2  | behind i1 r2 r3; kill r1 |           |           |    | ?use i2 | ?use i2
                5.5  |                          |           |           |    | ?use i2 | ?use i2
                """,
                seed,
            )

    def test_a_retirement_survives_the_restart_of_all(self):
        for seed in range(6):
            self.play(
                """
                time | events           | r1        | r2        | r3       | a          | b
                2    |                  | heartbeat i1 1 | heartbeat i2 1 |          |            |
                4.9  |                  | retire i1 |           |          |            |
                4.95 | kill r1 r2 r3 b  | ?200      |           |          | ?use i2    |
                5.5  | start r1 r2 r3 b |           |           |          |            |
                9    |                  | heartbeat i2 8 | heartbeat i1 9 | look     | ?use i2    | ?use i2
                9.7  |                  |           |           | ?safe i1 |            |
                9.8  |                  |           |           | undo i1  |            |
                9.85 | kill r1 r2 r3    |           |           | ?200     |            |
                10   | start r1 r2 r3   |           |           |          |            |
                14   |                  |           | heartbeat i1 9 |          | ?use i1 i2 | ?use i1 i2
                """,
                seed,
            )

    def test_its_address_is_reused_by_a_server_of_another_service(self):
        self.play("""
            time | events | r1        | r2                      | r3              | a          | b
            2    |        | heartbeat i1 1 | heartbeat i2 1               |                 |            |
            3    |        | retire i1 |                         |                 |            |
            5    |        |           | heartbeat j1 1 t 10.9.0.1:80 |                 | busy i1 1  |
            5.2  |        |           | look i1                 |                 | ?use i2 j1 | ?use i2 j1
            6.5  |        | look i1   | ?is i1 gone; retire j1  | undo i1         |            |
            6.7  |        | ?safe i1  | ?409                    | ?404; heartbeat i1 7 |            |
            7    |        |           |                         | ?200            | ?use i2 j1 | ?use i2 j1
            """)

    def test_a_retired_server_that_fails_with_requests_in_flight(self):
        # It sends no more reports; its requests in flight end at the gateway.
        self.play("""
            time | events | r1        | r2           | r3 | a         | b
            2    |        | heartbeat i1 1 | heartbeat i2 1    |    | busy i1 2 |
            3    |        | retire i1 |              |    |           |
            9    |        |           | look         |    |           |
            9.5  |        |           | ?busy i1 a=2 |    | busy i1 0 |
            9.6  |        |           | look         |    |           |
            10   |        |           | ?safe i1     |    | ?use i2   | ?use i2
            """)

    def test_a_retirement_is_undone_also_where_it_was_unknown(self):
        self.play("""
            time | events       | r1        | r2                       | r3        | a          | b
            2    |              | heartbeat i1 1 | heartbeat i2 1                |           |            |
            3    |              | retire i1 |                          |           |            |
            3.2  | behind i1 r3 |           |                          | undo i1   | ?use i2    | ?use i2
            3.4  |              |           | look i1                  | ?200      | ?use i1 i2 | ?use i1 i2
            3.6  |              |           | ?is i1 in_use; retire i1 |           |            |
            3.8  | behind i1 r3 |           | ?200                     | retire i1 |            | ?use i2
            4.1  |              |           |                          | ?200      | ?use i2    |
            """)

    def test_concurrent_opposite_calls_converge(self):
        for seed in range(4):
            system = self.play(
                """
                time | events | r1        | r2        | r3   | a | b
                2    |        | heartbeat i1 1 | heartbeat i2 1 |      |   |
                3    |        | retire i1 |           |      |   |
                3.5  |        | retire i1 | undo i1   | look |   |
                6    |        |           |           |      |   |
                """,
                seed,
            )
            self.assertEqual({system.answers[name].status for name in ("r1", "r2")} - {200, 409}, set())
            epochs = {system.controllers[name].registry.get("i1", 0.0).retired for name in CONTROLLERS}
            epochs |= {system.servers_seen[name]["i1"].retired for name in ("a", "b")}
            self.assertEqual(len(epochs), 1)


class GatewayMemory(unittest.TestCase):
    """What a gateway remembers of leaving servers across controllers."""

    def test_what_a_gateway_knows_is_not_undone_by_an_outdated_controller(self):
        # received records (id, phase, retired, quiet in ms) -> expected phase and retired
        memory = LeavingServers()
        for time, records_received, is_complete, expected in (
            (0.0, [("a", "up", 0, 100), ("b", "up", 0, 100)], True, [("up", 0), ("up", 0)]),
            (1.0, [("a", "up", 1, 100)], False, [("up", 1)]),
            (2.0, [("b", "gone", 0, 0)], False, [("gone", 0)]),
            (3.0, [("a", "up", 0, 100), ("b", "up", 0, 2000)], True, [("up", 1), ("gone", 0)]),
            (4.0, [("a", "up", 2, 100)], False, [("up", 2)]),
            (5.0, [("a", "draining", 1, 100)], True, [("draining", 2)]),
            (6.0, [("a", "up", 2, 100)], False, [("draining", 2)]),
            # It announced its own end: a suspended controller has read an old heartbeat.
            (7.0, [("b", "up", 0, 0)], False, [("gone", 0)]),
            # It was only dropped after 30 s of silence, and now it reports again.
            (40.0, [("c", "gone", 0, 30_000)], False, [("gone", 0)]),
            (41.0, [("c", "up", 0, 31_500)], False, [("gone", 0)]),
            (42.0, [("c", "up", 0, 500)], False, [("up", 0)]),
        ):
            records = [
                ServerRecord(ident, phase=phase, retired=retired, quiet=quiet)
                for ident, phase, retired, quiet in records_received
            ]
            states = [(record.phase, record.retired) for record in memory.apply(records, is_complete, time)]
            self.assertEqual(states, expected, time)
        memory.apply([ServerRecord("z")], True, 2000.0)
        self.assertEqual(len(memory), 0)

    def test_capacity_counts_servers_in_use_that_report(self):
        registry = ServiceRegistry("x")
        for ident, svc, slots in (("a", "s", 4), ("b", "s", 4), ("c", "s", 4), ("d", "t", 2)):
            registry.record_heartbeat(
                ident, Heartbeat(svc, f"10.0.0.{ord(ident)}:80", "z", "v", slots, "up", 1, 0), 0.0
            )
        self.assertEqual(registry.capacity(["a"], True), {"s": (8, 12, 12)})
        self.assertEqual(registry.capacity(["a", "d"], True, ["b"]), {"s": (4, 8, 12), "t": (0, 2, 2)})
        self.assertEqual(services_below_minimum(registry.capacity(["a", "d"], True, ["b"])), ["t"])
        self.assertEqual(services_below_minimum(registry.capacity(["a"], True, ["b", "c"])), ["s"])
        # Retiring a server that is silent anyway removes no capacity.
        self.assertEqual(services_below_minimum(registry.capacity(["a"], True, ["a", "b", "c"])), [])
        registry.retire(["a"], True, 1.0)
        registry.record_heartbeat("d", Heartbeat("t", "10.0.0.100:80", "z", "v", 2, "draining", 2, 0), 3.0)
        self.assertEqual([(r.id, age) for r, age in registry.leaving(5.0)], [("a", 4.0), ("d", 2.0)])
        registry.retire(["a"], False, 6.0)
        registry.leave("d", 6.0)
        self.assertEqual(registry.leaving(7.0), [])

    def test_a_retirement_counts_once_it_is_on_disks_and_a_later_change_is_detected(self):
        pending, record = replication.PendingAcknowledgements("r1"), ServerRecord("a", retired=1)
        messages = pending.start("t", record, ["r1", "r2", "r3"], 0.0)
        self.assertEqual([to for to, _ in messages], ["r1", "r2", "r3"])
        self.assertEqual(pending.confirm("r2", ReplicationAck("a", "up")), [])
        self.assertEqual(pending.confirm("r2", ReplicationAck("a", "up", 1)), [])
        self.assertEqual(pending.confirm("r1", ReplicationAck("a", "up", 1)), ["t"])
        pending.start("v", record, ["r1", "r2", "r3"], 1.0)
        self.assertEqual(pending.confirm("r1", ReplicationAck("a", "up", 1)), [])
        retirement = RetirementCall(["a", "b"], True)
        self.assertTrue(retirement.needs_rewrite("a", ServerRecord("a", retired=2)))
        self.assertFalse(retirement.needs_rewrite("a", ServerRecord("a", retired=3)))
        self.assertFalse(retirement.needs_rewrite("b", ServerRecord("b", phase="gone")))
        self.assertEqual(retirement.pending, set())


MAX_DAYS = 30  # days simulated until a status shows a request in flight


class RequestsInFlight(unittest.TestCase):
    def test_a_request_waiting_for_a_connection_moves_at_once_and_that_is_no_retry(self):
        system = test_controller.SimulatedCluster(1)
        server = system.network.process("i-2", "10.9.0.2")
        received = []

        class ReceivingProtocol(http_client.asyncio.Protocol):
            def data_received(self, data):
                received.append((system.world.now, data))

        system.network.listen(server, ReceivingProtocol, "10.9.0.2", 80)
        system.network.powered_off.add("10.9.0.1")  # connections there are neither established nor refused
        process = system.network.process("x", "10.1.0.30")
        with simulated_environment(system.world, lambda event, **fields: None):
            system.world.enter(process)
            gateway = Gateway(process.loop, system.settings("gateway", False), random.Random(1), 100)
            first, second = (ServerRecord(f"i-{n}", "s", f"10.9.0.{n}:80", "z", "v", 4) for n in (1, 2))
            gateway.update_servers([first], True)
            client = mock.Mock()
            request = mock.Mock(txn=b"1", route=ROUTES["once"], tenant="", time_left=2.0, upload=None)
            request.render = lambda left, ident: ident.encode()
            gateway.admit(client, request)
            system.world.run(0.1)
            system.world.enter(process)
            gateway.update_servers([second], False)
            self.assertEqual(received, [])
            gateway.update_servers([ServerRecord("i-1", "s", "10.9.0.1:80", "z", "v", 4, retired=1)], False)
            self.assertEqual(gateway.balancer.in_flight_on_draining(), {})
            system.world.run(0.15)
        self.assertEqual([data for _, data in received], [b"i-2"])
        client.send_answer.assert_not_called()

    def retire(self, seed, command):
        """Simulate a day on which `command` is given; the servers are switched off as soon as that is safe."""
        day = small_day(8.0)
        simulated = simulation.Simulation(day, seed)
        started_at, replies, ended_servers, views = simulated.load_begins + 1.0, [], [], []

        def call(address, method, path, body, done):
            data = http_client.request(method, address, path, [], body)
            http_client.fetch(simulated.operator.process, address, data, 1.0, done)

        def send_command():
            call(simulated.control_machines[0].ctl, "POST", "/-/retire", json.dumps(command).encode(), on_reply)

        def on_reply(answer):
            replies.append((simulated.world.now, answer.status))
            query_status()

        def query_status():
            call(simulated.control_machines[-1].ctl, "GET", "/-/retiring", b"", on_status)

        def on_status(answer):
            rows = json.loads(answer.body)["servers"]
            views.append(rows)
            if rows and all(row["safe"] for row in rows):
                for row in rows:
                    ended_servers.append(row["id"])
                    simulated.servers[row["id"]].end()
            else:
                simulated.later(0.05, query_status)

        simulated.world.schedule(started_at, simulated.world.environment, send_command)
        return simulated.run(), replies, ended_servers, views

    def test_servers_switched_off_once_that_is_safe_fail_no_request(self):
        for command in ({"id": "i-maps-0001"}, {"az": "w", "svc": "loans"}, {"az": "w"}):
            # Most status queries find no requests in flight: days are simulated until one does, all with the same
            # checks.
            seen_in_flight = 0
            for seed in range(1, MAX_DAYS + 1):
                metrics, replies, ended_servers, views = self.retire(seed, command)
                self.assertEqual((metrics.rules, metrics.failures, metrics.failed), ({}, [], 0), (command, seed))
                self.assertEqual([status for _, status in replies], [200])
                self.assertTrue(ended_servers)
                self.assertGreater(metrics.share, 0.97)
                seen_in_flight += sum(bool(row["under_way"]) for rows in views for row in rows)
                if seen_in_flight:
                    break
            self.assertGreater(seen_in_flight, 0, f"no status showed a request in flight: {command}")


class WaitUntilSafe(unittest.TestCase):
    """The waiting command. Each line is the answer to one status query."""

    def until(self, idents, answers, timeout_s=60.0):
        now, messages, answers = [0.0], [], iter(answers)

        def query_status(ident):
            view = next(answers)
            if isinstance(view, Exception):
                raise view
            rows = [{"id": name, "state": "retired", "safe": False} | row for name, row in view.items()]
            return {"in_touch": True, "away": {}, "servers": rows}

        def sleep(seconds):
            now[0] += seconds

        wait = retirement_wait.RetirementWait(query_status, lambda: now[0], sleep, messages.append)
        try:
            return [row["id"] for row in wait.until_safe(idents, timeout_s)], messages
        except CommandError as error:
            return error, messages

    def test_it_ends_when_all_servers_are_safe(self):
        result, messages = self.until(
            ["i-1", "i-2"],
            [
                {"i-1": {"under_way": {"a": 2, "b": 1}}, "i-2": {"safe": True}},
                UnclearError("silence"),
                {"i-1": {"safe": True}, "i-2": {"unconfirmed": ["b"]}},
                {"i-1": {"safe": True}},
                {"i-2": {"state": "gone", "safe": True}},
            ],
        )
        self.assertEqual(
            (result, messages),
            (
                ["i-1", "i-2"],
                [
                    "1 not yet safe (i-1); 3 requests under way at a, b",
                    "silence",
                    "1 not yet safe (i-2); not confirmed by b",
                ],
            ),
        )

    def test_it_fails_when_a_retirement_is_undone_or_unknown_or_takes_too_long(self):
        back = {"i-1": {"state": "in_use"}}
        error, _ = self.until(["i-1"], [{}, back, {}, back, {}, back])
        self.assertEqual((error.code, "taken back" in str(error)), (1, True))
        error, _ = self.until(["i-1"], [{}, RefusedError(404, "")] * 3)
        self.assertEqual((error.code, error.status), (3, 404))
        error, _ = self.until(["i-1"], [{"i-1": {"under_way": {"a": 1}}}] * 9, 2.0)
        self.assertIsInstance(error, UnclearError)

    def crowseam(self, *words, answers):
        out, err, calls = io.StringIO(), io.StringIO(), []

        def send(address, method, path, body, timeout):
            calls.append((method, path, json.loads(body or b"null")))
            return control_client.Answer(*answers.pop(0))

        with (
            mock.patch.object(control_client, "send", send),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            return run([*words, "--at", "h:1"]), out.getvalue(), err.getvalue(), calls

    def test_commands_and_exit_codes(self):
        safe = json.dumps({"in_touch": True, "servers": [{"id": "i-1", "state": "retired", "safe": True}]}).encode()
        code, out, err, calls = self.crowseam(
            "retire",
            "--server",
            "i-1",
            "--wait",
            "--force",
            answers=[(200, "", b'{"found":["i-1"],"changed":["i-1"],"room":{"s":0.5}}'), (200, "", safe)],
        )
        self.assertEqual((code, err, calls[0][2]), (0, "", {"undo": False, "id": "i-1", "force": True}))
        self.assertIn("safe to switch off: i-1", out)
        code, out, err, calls = self.crowseam(
            "retire", "--zone", "z", answers=[(409, "", b'{"error":"s would keep 0% of its slots"}')]
        )
        self.assertEqual((code, out, "s would keep 0%" in err), (3, "", True))
        code, out, _, calls = self.crowseam("retiring", "i-1", answers=[(200, "", safe)])
        self.assertEqual(
            (code, calls[0][1], out.splitlines()[1].split()), (0, "/-/retiring/i-1", ["i-1", "retired", "yes"])
        )
        code, out, _, _ = self.crowseam("retiring", "--wait", "--json", answers=[(200, "", safe)])
        self.assertEqual((code, json.loads(out)["servers"][0]["id"]), (0, "i-1"))
        self.assertEqual(self.crowseam("retire", "--zone", "z", "--undo", "--wait", answers=[])[0], 2)
        self.assertEqual(self.crowseam("retiring", "--wait", "--most", "0", answers=[])[0], 2)


if __name__ == "__main__":
    unittest.main()
