"""Three controllers and a gateway's session over in-memory links, on a virtual clock.

Each test is a timeline, a table with one column per actor. Cells contain steps, separated by semicolons:

- ``events``: ``cut NAME`` (partition a controller from the other controllers and the gateway), ``heal``,
  ``kill NAME``, ``start NAME``, ``disk NAME S`` (the disk hangs for S seconds), ``wipe NAME``, ``upgrade NAME``
  (restart a controller, or switch the gateway, with the next protocol version).
- Controllers: the calls ``put VER PARENT``, ``bad VER PARENT`` (invalid), ``keyed VER PARENT`` (with a route of keyed
  operations), ``get``, ``heartbeat ID PHASE SEQ`` and ``delete ID``; ``?STATUS [VER]`` or ``?none`` checks the answer
  to the latest call.
- ``gateway``: checks of what it follows: ``?ver N``, ``?usable ID ...`` (the complete set), ``?at NAME`` (its
  controller), ``?ready``.
"""

import itertools
import json
import unittest
from random import Random

from crowseam import settings as settings_file
from crowseam.configuration.model import Configuration
from crowseam.gateway.controller_session import ControllerSession
from crowseam.quotas.shards import ROLE_KEYS
from crowseam.simulator.actors import http_client
from crowseam.simulator.memory_controller import MemoryController
from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.simulator.world.patches import simulated_environment
from crowseam.transport.messages import PROTOCOL_VERSION

IPS = {"r1": "10.1.0.5", "r2": "10.2.0.5", "r3": "10.3.0.5", "gateway": "10.1.0.9"}
CONTROLLERS = ("r1", "r2", "r3")
CONTROL_ADDRS = {name: f"{IPS[name]}:8407" for name in CONTROLLERS}
CALLBACK_COST_S = 0.0002  # virtual processor time of each callback


def config(ver, parent, prefix="/loans/", kind="safe"):
    return json.dumps(
        {
            "ver": f"{ver:08x}",
            "parent": f"{parent:08x}",
            "objs": [
                {
                    "type": "routes",
                    "meta": {"name": "r"},
                    "spec": {
                        "vhost": "gateway.example",
                        "prefix": prefix,
                        "kind": kind,
                        "timeout": "1500ms",
                        "svc": "s",
                    },
                },
                {"type": "svcs", "meta": {"name": "s"}, "spec": {"hc_path": "/healthz"}},
            ],
        }
    ).encode()


def heartbeat(ident, phase, seq):
    return json.dumps(
        {
            "addr": f"10.9.0.{ident[2:]}:80",
            "summary": {"svc": "s", "ver": "v", "az": "z", "slots": 4},
            "stat": {"phase": phase, "seq": int(seq), "warmup_time": "0ms"},
        }
    ).encode()


class SimulatedCluster:
    def __init__(self, seed):
        self.world = World(seed)
        self.network = Network(self.world, lambda a, b: 0.002, lambda ip: ip.rsplit(".", 2)[0])
        self.caller = self.network.process("caller", "10.250.0.1")
        self.disk_images = {name: DiskImage(self.world.random(name)) for name in CONTROLLERS}
        self.processes, self.controllers, self.answers, self.call_numbers, self.incarnations = {}, {}, {}, {}, {}
        self.logged_events, self.versions = [], {}
        for name in CONTROLLERS:
            self.start(name, True)
        process = self.network.process("gateway", IPS["gateway"], CALLBACK_COST_S)
        self.table, self.servers = None, {}
        self.controller_session = ControllerSession(
            process.loop,
            self.settings("gateway", False),
            Random(1),
            self.on_table,
            self.on_servers,
            lambda ids: None,
            dict,
        )
        process.loop.call_soon(self.controller_session.start)

    def settings(self, name, bootstrap):
        return settings_file.Settings(
            hostname=name,
            ip=IPS[name],
            az="z",
            port_range=(7660, 7675),
            seeds=list(CONTROL_ADDRS.values()),
            bind=settings_file.Bind(ctl=CONTROL_ADDRS.get(name, "")),
            bootstrap=bootstrap,
            voting=name in CONTROL_ADDRS,
            datadir="memory" if name in CONTROL_ADDRS else "",
        )

    def start(self, name, bootstrap=False):
        incarnation = self.incarnations[name] = self.incarnations.get(name, 0) + 1
        process = self.processes[name] = self.network.process(
            f"{name}/{incarnation}", IPS[name], CALLBACK_COST_S, offset=100.0 * incarnation + 7.0 * ord(name[1])
        )

        def begin():
            controller = self.controllers[name] = MemoryController(
                process, self.settings(name, bootstrap), self.disk_images[name], Random(f"{name}/{incarnation}")
            )
            for part in (controller.peers, controller.gateways):
                part.protocol_check.ours = self.versions.get(name, PROTOCOL_VERSION)
            process.loop.create_task(controller.start())

        process.loop.call_soon(begin)

    def kill(self, name):
        self.network.process_ended(self.processes[name])
        self.controllers[name].disk.crash()

    def upgrade(self, name):
        self.versions[name] = PROTOCOL_VERSION + 1
        if name == "gateway":
            self.controller_session.protocol_check.ours = PROTOCOL_VERSION + 1
            return
        self.kill(name)
        self.start(name)

    def cut(self, name):
        others = frozenset(ip for other, ip in IPS.items() if other != name)
        self.network.link_faults.append(LinkFault(frozenset([IPS[name]]), others, cut=True))

    def heal(self):
        self.network.link_faults.clear()
        self.network.resume_links()

    def disk(self, name, span):
        self.disk_images[name].hangs_until = self.world.now + float(span)

    def wipe(self, name):
        self.disk_images[name].wipe()

    def held_roles(self):
        """The roles that some controller holds."""
        times = {name: process.clock(self.world.now) for name, process in self.processes.items()}
        return {
            key
            for key in ROLE_KEYS
            if any(
                controller.role_leases.held_fencing_token(key, times[name])
                for name, controller in self.controllers.items()
            )
        }

    def on_table(self, table):
        self.table = table

    def on_servers(self, records, is_complete):
        if is_complete:
            self.servers.clear()
        self.servers.update((record.id, record) for record in records)

    def call(self, name, method, path, body=b""):
        self.call_numbers[name] = number = self.call_numbers.get(name, 0) + 1
        self.answers[name] = None

        def answered(answer):
            if self.call_numbers[name] == number:
                self.answers[name] = answer

        http_client.fetch(
            self.caller,
            CONTROL_ADDRS[name],
            http_client.request(method, CONTROL_ADDRS[name], path, [], body),
            2.0,
            answered,
        )


class TimelineTestCase(unittest.TestCase):
    def play(self, text, seed=1):
        lines = [[cell.strip() for cell in line.split("|")] for line in text.splitlines() if line.strip()]
        names = lines[0][1:]
        system = SimulatedCluster(seed)

        def record_event(event, **fields):
            self.assertFalse(event.endswith("failed"), fields)
            system.logged_events.append((event, fields))

        with simulated_environment(system.world, record_event):
            for time, *cells in lines[1:]:
                system.world.run(float(time))
                line = " | ".join([time, *cells])
                for name, cell in zip(names, cells, strict=False):
                    for step in filter(None, (part.strip() for part in cell.split(";"))):
                        verb, *args = step.split()
                        if name == "events":
                            getattr(system, verb)(*args)
                        elif name == "gateway":
                            self.check_gateway(system, verb, args, line)
                        elif verb.startswith("?"):
                            self.check_answer(system.answers[name], verb[1:], args, line)
                        else:
                            self.call(system, name, verb, args)
            self.assertEqual(system.world.failures, [])
        return system

    def call(self, system, name, verb, args):
        if verb in ("put", "bad", "keyed"):
            ver, parent = map(int, args)
            prefix = f"/loans/{ver}/" if verb != "bad" else "no-slash"
            kind = "idem" if verb == "keyed" else "safe"
            system.call(name, "PUT", "/-/config", config(ver, parent, prefix, kind))
        elif verb == "get":
            system.call(name, "GET", "/-/config")
        elif verb == "heartbeat":
            system.call(name, "PUT", f"/-/backends/{args[0]}", heartbeat(*args))
        elif verb == "delete":
            system.call(name, "DELETE", f"/-/backends/{args[0]}")
        else:
            raise ValueError(verb)

    def check_answer(self, answer, status, args, line):
        self.assertEqual("none" if answer is None else str(answer.status), status, line)
        if args:
            self.assertEqual(Configuration.from_put(answer.body).ver, int(args[0]), line)

    def check_gateway(self, system, verb, args, line):
        if verb == "?ver":
            self.assertEqual(system.table.ver if system.table else 0, int(args[0]), line)
        elif verb == "?usable":
            self.assertEqual(sorted(r.id for r in system.servers.values() if r.usable), args, line)
        elif verb == "?at":
            self.assertEqual(system.controller_session.controller_addr, CONTROL_ADDRS[args[0]], line)
        elif verb == "?ready":
            self.assertTrue(system.controller_session.is_caught_up, line)
        else:
            raise ValueError(verb)


class Configurations(TimelineTestCase):
    def test_accepted_change_is_read_at_other_controllers_and_sent_to_gateways(self):
        self.play("""
            time | events | r1        | r2     | r3      | gateway
            2    |        | put 1 0   |        |         | ?ver 0
            2.3  |        | ?200; get | get    | get     | ?ver 1; ?ready
            2.6  |        | ?200 1    | ?200 1 | ?200 1  |
            3    |        |           |        | put 4 1 |
            3.1  |        |           |        | ?200    |
            3.3  |        | get       | get    | put 4 1 | ?ver 4
            3.6  |        | ?200 4    | ?200 4 | ?200    |
            """)

    def test_one_of_two_concurrent_changes_wins(self):
        for seed in range(5):
            system = self.play(
                """
                time | events | r1      | r2      | r3 | gateway
                2    |        | put 1 0 |         |    |
                3    |        | put 2 1 | put 3 1 |    |
                """,
                seed,
            )
            with simulated_environment(system.world, lambda event, **fields: None):
                system.world.run(4.0)
            self.assertEqual(sorted(system.answers[name].status for name in ("r1", "r2")), [200, 412])
            winner = 2 if system.answers["r1"].status == 200 else 3
            self.assertEqual(system.table.ver, winner)

    def test_rejected_change_takes_effect_nowhere(self):
        self.play("""
            time | events | r1      | r2      | r3      | gateway
            2    |        | put 5 0 |         |         |
            3    |        | bad 6 5 | put 5 5 | put 9 0 |
            3.5  |        | ?400    | ?400    | ?412    | ?ver 5
            3.6  |        | get     | get     | get     |
            4    |        | ?200 5  | ?200 5  | ?200 5  |
            """)

    def test_change_with_a_keyed_route_is_accepted(self):
        self.play("""
            time | events | r1        | r2 | r3 | gateway
            2    |        | keyed 1 0 |    |    | ?ver 0
            2.3  |        | ?200; get |    |    | ?ver 1; ?ready
            2.6  |        | ?200 1    |    |    |
            """)

    def test_invalid_change_is_logged_with_its_field(self):
        system = self.play("""
            time | events | r1      | r2 | r3 | gateway
            2    |        | bad 1 0 |    |    |
            2.3  |        | ?400    |    |    | ?ver 0
            """)
        rejected = [fields for event, fields in system.logged_events if event == "change_rejected"]
        self.assertEqual([fields["status"] for fields in rejected], [400])
        self.assertIn("objs[0].spec.prefix", str(rejected[0]["reason"]))

    def test_minority_serves_neither_changes_nor_reads_and_catches_up(self):
        self.play("""
            time | events | r1      | r2     | r3      | gateway
            2    |        | put 1 0 |        |         |
            3    | cut r3 |         |        |         |
            3.1  |        | put 2 1 |        | put 3 1 |
            3.5  |        | ?200    | get    |         | ?ver 2
            4.2  |        |         | ?200 2 | ?503    |
            4.3  |        |         |        | get     |
            5.3  |        |         |        | ?503    |
            6    | heal   |         |        |         |
            9    |        |         |        | get     | ?ver 2
            9.5  |        |         |        | ?200 2  | ?ver 2
            """)

    def test_acknowledged_change_survives_a_restart_of_all_controllers(self):
        self.play("""
            time | events                       | r1      | r2  | r3      | gateway
            2    |                              | put 1 0 |     |         |
            2.4  | kill r1; kill r2; kill r3    | ?200    |     |         |
            3    | start r1; start r2; start r3 |         |     |         | ?ver 1
            6    |                              | get     | get | put 2 1 |
            6.5  |                              | ?200 1  |     | ?200    | ?ver 2
            """)

    def test_role_leases_are_held_100_ms_after_a_majority_is_back(self):
        for first, second, third in itertools.permutations(CONTROLLERS):
            system = self.play(f"""
                time | events
                3    | kill r1; kill r2; kill r3
                4    | start {first}
                4.4  | start {second}
                4.42 | start {third}
                4.52 |
                """)
            self.assertEqual(system.held_roles(), set(ROLE_KEYS), first)

    def test_controller_that_lost_its_disk_votes_again_under_a_new_id(self):
        system = self.play("""
            time | events           | r1      | r2     | r3      | gateway
            2    |                  | put 1 0 |        |         |
            3    | kill r2; wipe r2 |         |        |         |
            3.5  | start r2         |         |        |         |
            10   | kill r1          |         | get    |         |
            11   |                  |         | ?200 1 | put 2 1 |
            12   |                  |         |        | ?200    | ?ver 2
            """)
        self.assertEqual(len(system.controllers["r2"].node.voters), 3)

    def test_hanging_disk_delays_neither_other_controllers_nor_heartbeats(self):
        self.play("""
            time | events    | r1      | r2                 | r3 | gateway
            2    |           | put 1 0 |                    |    |
            3    | disk r2 4 |         |                    |    |
            3.1  |           | put 2 1 | heartbeat i-1 up 1 |    |
            3.8  |           | ?200    | ?200               |    | ?ver 2; ?usable i-1
            """)


class Reports(TimelineTestCase):
    def test_gateway_learns_of_servers_that_report_to_any_controller(self):
        self.play("""
            time | events | r1                 | r2                       | r3                 | gateway
            2    |        | heartbeat i-1 up 1 | heartbeat i-2 up 1       | heartbeat i-3 up 1 | ?usable
            2.2  |        | ?200               | ?200                     | ?200               | ?usable i-1 i-2 i-3
            2.5  |        | heartbeat i-2 up 3 | heartbeat i-1 draining 4 | delete i-3         |
            2.7  |        | ?200               | ?200                     | ?200               | ?usable i-2
            2.8  |        | heartbeat i-1 up 3 |                          | heartbeat i-3 up 9 |
            3    |        | ?200               |                          | ?200               | ?usable i-2
            """)

    def test_partitioned_controller_does_not_acknowledge_that_a_server_leaves(self):
        self.play("""
            time | events | r1                       | r2                 | r3                       | gateway
            2    |        | heartbeat i-1 up 1       | heartbeat i-2 up 1 |                          |
            3    | cut r3 |                          |                    |                          | ?usable i-1 i-2
            3.05 |        |                          |                    | heartbeat i-1 draining 2 |
            3.1  |        |                          |                    | ?none                    |
            4    |        |                          |                    | ?503                     | ?usable i-1 i-2
            4.1  |        |                          |                    | delete i-2               |
            4.2  |        |                          |                    | ?503                     |
            4.3  |        |                          |                    | heartbeat i-3 up 1       |
            4.4  |        | heartbeat i-1 draining 3 |                    | ?503                     |
            4.6  |        | ?200                     |                    |                          | ?usable i-2
            6    | heal   |                          |                    |                          |
            9    |        |                          |                    |                          | ?usable i-3
            """)

    def test_acknowledged_leave_survives_a_power_loss_of_all_controllers(self):
        for after in ("3.25", "3.5", "3.75", "4.1"):  # the whole registry is saved every second
            with self.subTest(after=after):
                system = self.play(f"""
                    time    | events                       | r1                       | r2                 | r3
                    2       |                              | heartbeat i-1 up 1       | heartbeat i-2 up 1 |
                    3.1     |                              | heartbeat i-1 draining 2 | delete i-2         |
                    3.2     |                              | ?200                     | ?200               |
                    {after} | kill r1; kill r2; kill r3    |                          |                    |
                    4.5     | start r1; start r2; start r3 |                          |                    |
                    5       |                              |                          |                    |
                    """)
                for name, controller in system.controllers.items():
                    usable = [r.id for r in controller.registry.records(controller.now()) if r.usable]
                    self.assertEqual(usable, [], name)

    def test_acknowledged_leave_survives_the_loss_of_any_controller(self):
        for lost in CONTROLLERS:
            self.play(f"""
                time | events      | r1                       | r2                 | r3 | gateway
                2    |             | heartbeat i-1 up 1       | heartbeat i-2 up 1 |    |
                3    |             | heartbeat i-1 draining 2 |                    |    | ?usable i-1 i-2
                3.1  | kill {lost} | ?200                     |                    |    |
                6    |             |                          |                    |    | ?usable i-2
                """)


class Sessions(TimelineTestCase):
    def test_gateway_fails_over_when_its_controller_ends(self):
        self.play("""
            time | events  | r1      | r2      | r3                 | gateway
            2    |         | put 1 0 |         | heartbeat i-1 up 1 | ?at r1
            2.5  | kill r1 |         |         |                    | ?ver 1
            4    |         |         | put 2 1 | heartbeat i-2 up 1 |
            4.5  |         |         | ?200    |                    | ?ver 2; ?usable i-1 i-2
            """)

    def test_gateway_leaves_a_partitioned_controller(self):
        # r1 and the gateway are in the same zone, but r1 is partitioned: the link stays open without messages.
        self.play("""
            time | events | r1      | r2      | r3 | gateway
            2    |        | put 1 0 |         |    | ?at r1
            3    | cut r1 |         |         |    |
            3.1  |        |         | put 2 1 |    |
            5.5  |        |         | ?200    |    | ?ver 2
            """)

    def test_session_is_open_and_known_everywhere_before_the_first_configuration(self):
        system = self.play("""
            time | events | r1 | r2 | r3 | gateway
            2    |        |    |    |    | ?at r1
            6    |        |    |    |    | ?at r1
            """)
        self.assertEqual(system.controller_session.session_number, 1)
        with simulated_environment(system.world, lambda event, **fields: None):
            for name in CONTROLLERS:
                system.world.enter(system.processes[name])
                controller = system.controllers[name]
                self.assertEqual(list(controller.session_table.members(controller.now())), ["gateway"])

    def test_different_protocol_versions_reject_each_other_until_they_are_equal(self):
        system = self.play("""
            time | events          | r1      | r2      | r3     | gateway
            2    |                 | put 1 0 |         |        |
            2.5  | upgrade r1      |         |         |        | ?ver 1
            6    |                 | get     | put 2 1 |        |
            7    |                 | ?503    | ?200    |        | ?ver 2
            7.1  | upgrade r2      |         |         |        |
            11   |                 | get     |         | get    |
            12   |                 | ?200 2  |         | ?503   | ?ver 2
            12.1 |                 | put 3 2 |         |        |
            13   | upgrade r3      | ?200    |         |        | ?ver 2
            18   |                 |         |         | get    |
            19   | upgrade gateway |         |         | ?200 3 | ?ver 2
            25   |                 |         |         |        | ?ver 3; ?ready
            """)
        mismatches = [tuple(fields.values()) for event, fields in system.logged_events if event == "protocol_mismatch"]
        ours, theirs = PROTOCOL_VERSION, PROTOCOL_VERSION + 1
        self.assertLessEqual(
            {(CONTROL_ADDRS["r1"], ours, theirs), (CONTROL_ADDRS["r3"], theirs, ours), ("gateway", theirs, ours)},
            set(mismatches),
        )
        # Each process logs the mismatch once per peer.
        self.assertLessEqual(len(mismatches), 16)

    def test_call_numbers_are_not_reused_after_a_restart(self):
        # Replies to an earlier incarnation may arrive later, and are matched by the call number only.
        timeline = """
            time | events            | r1
            2    |                   |
            2.1  | kill r1; start r1 |
            2.2  |                   |
            """
        controller = self.play("time | events\n2 |", 3).controllers["r1"]
        first = [controller.pending_calls.next_number() for _ in range(1000)]
        later = self.play(timeline, 3).controllers["r1"].pending_calls.next_number()
        self.assertGreater(later, first[-1])


if __name__ == "__main__":
    unittest.main()
