"""Loads, counting and fits of scale runs, and hollow gateways on real sockets."""

import asyncio
import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from random import Random

import msgspec

from crowseam.capacity import loads, page, procfs
from crowseam.capacity.hollow_gateways import HollowGatewayGroup
from crowseam.capacity.hollow_link import HollowLink, Traffic
from crowseam.capacity.hollow_protocol import Command, Job, MessageCount
from crowseam.capacity.hollow_servers import ControllerConnection, HollowServer
from crowseam.capacity.page import exclusion_reason, fill_tables, fit_points
from crowseam.capacity.scale_record import RunRecord, Spread, spread, summed_counts
from crowseam.capacity.tenant_requests import TenantRequests
from crowseam.cli.dispatch import run
from crowseam.cli.errors import BadInputError
from crowseam.configuration.model import Configuration, parse_change
from crowseam.transport.links import frame
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    CloseSession,
    ConfigurationState,
    GatewayReport,
    OpenSession,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
    SilentServers,
)

SMALL = loads.Load(servers=6, services=2, routes=4, tenants=50, zones=2, requests=5100.0)


class LoadTest(unittest.TestCase):
    def test_an_invalid_load_names_its_field(self):
        for text, field in (
            (b"gateways = [0]", "gateways[0]"),
            (b'heartbeat = "x"', "heartbeat"),
            (b"heartbeat = =", "FILE"),
            (b"servres = 3", "servres"),
            (b"services = 9\nroutes = 5", "services"),
        ):
            with self.assertRaises(BadInputError) as raised:
                loads.parse(text)
            self.assertEqual(raised.exception.field, field)

    def test_the_example_load_has_the_target_size(self):
        load = loads.parse((Path(__file__).parents[2] / "examples" / "scale-run.toml").read_bytes())
        body = loads.configuration(load)
        self.assertTrue(3.5e6 < len(body) < 4.0e6, len(body))
        self.assertEqual((load.gateways[-1], load.servers, load.services), (510, 4600, 230))
        self.assertAlmostEqual(load.requests_per_gateway(), 88.2, delta=0.1)

    def test_changes_depend_on_the_seed_and_each_advances_the_version(self):
        self.assertEqual(loads.configuration(SMALL), loads.configuration(SMALL))
        config = Configuration.from_put(loads.configuration(SMALL))
        for number in range(1, 8):
            body = msgspec.json.encode(loads.change_patch(SMALL, number))
            self.assertEqual(parse_change("PATCH", body).parent, config.ver)
            config = config.patched(body)
            self.assertEqual(config.ver, number + 1)
            self.assertEqual(len(config.items), 2 + 4 + 50)

    def test_tenants_are_sampled_by_weight(self):
        weights = loads.tenant_weights(SMALL)
        self.assertAlmostEqual(sum(weights), 1.0)
        drawn = loads.TenantSampler(SMALL).sample(Random(1), 20_000)
        heaviest = max(range(50), key=weights.__getitem__)
        self.assertAlmostEqual(drawn.count(loads.tenant_name(heaviest)) / 20_000, weights[heaviest], delta=0.02)

    def test_hollow_gateways_are_split_evenly_after_real_ones_are_subtracted(self):
        load = loads.Load(real_gateways=2, gateways_a_process=170)
        self.assertEqual(loads.split_gateways(load, 510), [170, 169, 169])
        self.assertEqual(loads.split_gateways(load, 2), [])


class CountingTest(unittest.TestCase):
    def test_demand_decays_and_requests_without_a_lease_need_a_draw(self):
        tenant_requests = TenantRequests({"t": 10.0})
        self.assertFalse(tenant_requests.admit("t", 0.0, 100.0))
        self.assertAlmostEqual(tenant_requests.demand_rates(100.0)["t"], 0.347, delta=0.001)
        tenant_requests.mark_reserve_exhausted("t", 105.0)
        self.assertTrue(tenant_requests.is_reserve_exhausted("t", 104.0))
        # The bucket was empty; its capacity is one second of the leased rate.
        self.assertEqual([tenant_requests.admit("t", 0.5, 104.0) for _ in range(6)], [True] * 5 + [False])
        self.assertEqual(tenant_requests.demand_rates(200.0), {})

    def test_a_link_counts_by_type_and_skips_unknown_messages(self):
        traffic, heard = Traffic(), []
        link = HollowLink(lambda link, message: heard.append(message), lambda link: None, traffic)
        link.transport = type("Open", (), {"is_closing": lambda self: False})()
        new = msgspec.msgpack.encode(["newer", 1, 2])
        data = frame(SilentServers([])) + len(new).to_bytes(4, "big") + new + frame(CloseSession())
        link.data_received(data[:9])
        link.data_received(data[9:])
        self.assertEqual(heard, [SilentServers([]), CloseSession()])
        counts = traffic.counts()
        self.assertEqual(
            {what: count.messages for what, count in counts.items()},
            {"in SilentServers": 1, "in newer": 1, "in CloseSession": 1},
        )
        self.assertEqual(sum(count.bytes for count in counts.values()), len(data))

    def test_responses_of_controllers_are_matched_in_order(self):
        class Group:
            traffic, answers, lost_servers = Traffic(), [], []

            def handle_answer(self, server, method, status, body):
                self.answers.append((server, method, status, body))

            def handle_lost_call(self, server):
                self.lost_servers.append(server)

        group = Group()
        connection = ControllerConnection(group, "127.0.0.1:1")
        connection.connection_made(type("Out", (), {"write": lambda self, data: None})())
        servers = [HollowServer(n, 0, SMALL) for n in range(3)]
        for server in servers:
            connection.call(server, "PUT", server.body(), 0.0)
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
        for byte in data:
            connection.data_received(bytes([byte]))
        connection.connection_lost(None)
        self.assertEqual(group.answers, [(servers[0], "PUT", 200, b"{}"), (servers[1], "PUT", 503, b"")])
        self.assertEqual(group.lost_servers, servers[2:])

    def test_usage_is_read_from_proc(self):
        with tempfile.TemporaryDirectory() as folder:
            process_dir = Path(folder) / "7"
            (process_dir / "fd").mkdir(parents=True)
            (process_dir / "fd" / "0").touch()
            (process_dir / "stat").write_text("7 (a b) c) S " + " ".join(["0"] * 10) + " 150 50 0 0")
            (process_dir / "statm").write_text("900 10 3")
            (process_dir / "io").write_text("rchar: 11\nwchar: 12\nwrite_bytes: 13\n")
            used = procfs.usage(7, Path(folder))
            self.assertEqual(
                (used.cpu, used.rss, used.files), (200 / procfs.CLOCK_TICKS_PER_S, 10 * procfs.PAGE_BYTES, 1)
            )
            self.assertEqual((used.read, used.written, used.disk), (11, 12, 13))
            self.assertIsNone(procfs.usage(8, Path(folder)))

    def test_quantiles_and_sums_of_counts(self):
        self.assertEqual(spread([0.001 * n for n in range(1, 101)]), Spread(100, 50.0, 99.0, 100.0))
        self.assertEqual(spread([]).worst, None)
        counts = [{"a": MessageCount(1, 2)}, {"a": MessageCount(3, 4), "b": MessageCount(1, 1)}]
        self.assertEqual(summed_counts(counts), {"a": MessageCount(4, 6), "b": MessageCount(1, 1)})


class FitTest(unittest.TestCase):
    def test_a_line_is_extrapolated_and_a_curve_is_detected(self):
        line = fit_points([(50, 15.0), (100, 25.0), (200, 45.0), (510, 107.0)], 1000)
        self.assertTrue(line.line)
        self.assertAlmostEqual(line.at, 205.0)
        self.assertAlmostEqual(line.residue, 0.0, places=6)
        square = fit_points([(x, 3.0 + 0.01 * x * x) for x in (50, 100, 200, 510)], 1000)
        self.assertFalse(square.line)
        self.assertAlmostEqual(square.at, 10_003.0, delta=1.0)
        rough = fit_points([(50, 10.0), (100, 30.0), (200, 35.0), (510, 100.0)], 1000)
        self.assertTrue(rough.line)
        self.assertGreater(rough.residue, 1.0)

    def test_one_size_has_no_fit(self):
        self.assertIsNone(fit_points([(50, 1.0)], 510))
        self.assertIsNone(fit_points([(50, 1.0), (50, 2.0)], 510))

    def test_invalid_runs_are_excluded_with_a_reason(self):
        good = {"calm": {"events": {}, "hollow_late_s": {"mean": 0.01}}, "mass_start": {"done": True}}

        def why(**changes):
            return exclusion_reason(msgspec.convert(good | changes, RunRecord))

        self.assertEqual(why(), "")
        self.assertIn("late", why(calm={"events": {}, "hollow_late_s": {"mean": 0.2}}))
        self.assertIn("silent", why(calm=good["calm"] | {"events": {"left silent": 2}}))
        self.assertIn("came up", why(mass_start={"done": False}))
        self.assertIn("ended", exclusion_reason(RunRecord()))

    def test_tables_replace_only_the_text_between_their_markers(self):
        text = "a\n<!-- capacity runs begin -->\nold\n<!-- capacity runs end -->\nb\n"
        filled = fill_tables(text, {"runs": page.markdown([{"x": 1, "y": "a|b"}])})
        self.assertEqual(
            filled,
            "a\n<!-- capacity runs begin -->\n| x | y |\n| --- | --- |\n| 1 | a/b |\n"
            "<!-- capacity runs end -->\nb\n",
        )
        self.assertEqual(fill_tables(filled, {}), filled)
        with self.assertRaises(BadInputError):
            fill_tables(text, {"gateway": ""})

    def test_sweeps_and_goals_become_table_rows(self):
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "goals.toml").write_text(
                '[size]\ngateways = 510\n[[rows]]\nrow = "gateway: cores"\nmost = 0.01\nmechanism = "one loop"\n'
            )
            Path(folder, "sweep-bench.toml").write_text(
                'name = "bench"\nsource = "journal"\nby = "gateways"\n[[rows]]\nrole = "gateway"\n'
                'quantity = "cores"\nunit = "cores"\nvalues = { 10 = 0.01, 20 = 0.02, 60 = 0.06 }\n'
                '[[rows]]\nrole = "gateway"\nquantity = "MB"\nunit = "MB"\n'
                "values = { 10 = 80, 20 = 82, 50 = 79 }\n"
                '[[rows]]\nrole = "gateway"\nquantity = "files"\nunit = "files"\nvalues = { 10 = 1, 20 = 2 }\n'
            )
            rows = page.build_tables(*page.read_records(Path(folder)))["gateway"]
            self.assertEqual(
                [row["at the size to come"] for row in rows],
                ["0.51 (beyond)", "80.3, far: measured to 50", "not carried on from 2 sizes"],
            )
            self.assertEqual(rows[0]["how"], "bench")
            Path(folder, "sweep-bad.toml").write_text("name = 3")
            with contextlib.redirect_stderr(io.StringIO()) as stderr:
                self.assertEqual(run(["capacity", f"--records={folder}"]), 2)
            self.assertIn("sweep-bad.toml", stderr.getvalue())


class PageTest(unittest.TestCase):
    def test_the_page_matches_the_records(self):
        root = Path(__file__).parents[2] / "docs"
        text = (root / "CAPACITY.md").read_text()
        found = page.build_tables(*page.read_records(root / "capacity"))
        self.assertEqual(fill_tables(text, {name: page.markdown(table) for name, table in found.items()}), text)


class HollowTest(unittest.TestCase):
    def test_hollow_gateways_open_sessions_and_report(self):
        """Uses a fake controller on loopback, which ends the test after some reports."""

        async def play():
            loop, opened, reported, done = asyncio.get_running_loop(), [], [], asyncio.Event()

            def heard(link, message):
                if isinstance(message, OpenSession):
                    opened.append(message)
                    link.send(
                        SessionOpened("127.0.0.1:8407", [], PROTOCOL_VERSION),
                        ServerUpdate("r", 1, True, []),
                        ConfigurationState(3, b"-"),
                        SessionHeartbeat(2, 3, True),
                    )
                elif isinstance(message, GatewayReport):
                    reported.append(message)
                    if len(reported) > 6:
                        done.set()

            from crowseam.transport.links import Link

            server = await loop.create_server(lambda: Link(heard, lambda link: None), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            group = HollowGatewayGroup(loop, Job(SMALL, ["127.0.0.1:8407"], port, 0, 2))
            await asyncio.wait_for(done.wait(), 8.0)
            report = group.execute(Command("tell"))
            server.close()
            for gateway in group.gateways:
                gateway.link.close()
            return opened, reported, report

        opened, reported, counted = asyncio.run(play())
        self.assertEqual({message.gateway for message in opened}, {"hollow-0000", "hollow-0001"})
        self.assertEqual((counted.whole, counted.slot), (2, 3))
        self.assertTrue(any(report.demand for report in reported))
        self.assertEqual(counted.traffic["in ConfigurationState"].messages, 2)
