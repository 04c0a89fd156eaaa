"""The metrics of gateways and controllers, and their sums over several gateways."""

import contextlib
import io
import json
import subprocess
import sys
import types
import unittest
from random import Random
from unittest import mock

from prometheus_client.parser import text_string_to_metric_families

from crowseam.cli import control_client
from crowseam.cli.dispatch import run
from crowseam.cli.metrics_table import MergedMetrics
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.request_reader import RequestReader
from crowseam.metrics import exposition, families, latency
from crowseam.simulator.world.patches import simulated_environment
from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer
from tests.crowseam import test_controller

SKETCH_TYPE = latency.load_sketch_type()
START = r"""
import asyncio, json, socket, sys
from random import Random
from crowseam import settings
from crowseam.gateway.daemon import Process, load_metrics
import crowseam.controller.daemon

def loaded():
    return [name for name in ("prometheus_client", "ddsketch") if name in sys.modules]

async def start():
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    http, readyz = (f"127.0.0.1:{each.getsockname()[1]}" for each in free)
    [each.close() for each in free]
    told = settings.Settings("h", "127.0.0.1", "z", (7660, 7675), [], settings.Bind(http=http, readyz=readyz))
    process = Process(asyncio.get_running_loop(), told, Random(1))
    await process.start()
    found = [loaded()]
    reader, writer = await asyncio.open_connection(*settings.parse_address(readyz))
    writer.write(b"GET /-/metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    answer = (await reader.read()).decode()
    found.append(loaded())
    process.ready = lambda: True
    await load_metrics(process)
    print(json.dumps([*found, loaded(), answer]))
    process.close()

asyncio.run(start())
"""


def route(name="loans", *services, target=0.1):
    split = tuple((each, 1.0) for each in services or ("a",))
    return types.SimpleNamespace(
        name=name,
        target=target,
        split=split,
        safe=True,
        keyed=False,
        prio=0,
        tries=1,
        pick=lambda draw: split[0][0],
    )


def recorder(*routes, make=SKETCH_TYPE):
    made = latency.RequestRecorder()
    made.set_routes({each.name: each for each in routes})
    if make:
        made.use_sketch_type(make)
    return made


def samples(text):
    return {
        (sample.name, *(value for _, value in sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


class Recorded(unittest.TestCase):
    def test_outcomes_reasons_and_classes(self):
        made = recorder(loans := route())
        for status, reason, span, outcome in (
            (200, "", 0.1, "served"),
            (201, "", 0.11, "late"),
            (404, "", 0.01, "served"),
            (500, "", 0.01, "failed"),
            (429, "quota", 0.0, "refused"),
            (503, "no_room", 0.0, "refused"),
            (401, "key", 0.0, "refused"),
            (504, "deadline", 9.0, "failed"),
            (200, "broken", 900.0, "failed"),
        ):
            before = made.series[key].count if (key := ("loans", "a", outcome)) in made.series else 0
            made.record(loans, "" if outcome == "refused" else "a", status, reason, span)
            self.assertEqual(made.series[key].count, before + 1, (status, reason))
        self.assertEqual(made.answers, {2: 3, 4: 3, 5: 3})
        self.assertEqual((made.reasons["failed", "server"], made.reasons["refused", "quota"]), (1, 1))

    def test_series_are_bounded_and_those_of_removed_routes_are_dropped(self):
        routes = [route(f"r{n}", "a", "b") for n in range(latency.MAX_SERIES + 50)]
        made = recorder(*routes)
        for each in routes:
            made.record(each, "a", 200, "", 0.01)
        self.assertEqual(len(made.series), latency.MAX_SERIES + 1)
        self.assertEqual(made.series[latency.OTHER, "", "served"].count, 50)
        made.set_routes({"r0": routes[0], "r1": route("r1", "b")})
        self.assertEqual(set(made.series), {("r0", "a", "served"), (latency.OTHER, "", "served")})
        made.record(routes[5], "a", 200, "", 0.01)
        self.assertEqual(made.series[latency.OTHER, "", "served"].count, 51)

    def test_requests_before_the_library_is_loaded_are_buffered_within_a_bound(self):
        made = recorder(loans := route(), make=None)
        for _ in range(latency.MAX_BUFFERED + 7):
            made.record(loans, "a", 200, "", 0.01)
        made.use_sketch_type(SKETCH_TYPE)
        self.assertEqual((made.series["loans", "a", "served"].count, made.skipped), (latency.MAX_BUFFERED, 7))

    def test_accuracy_of_quantiles_and_buckets(self):
        rng = Random(1)
        spans = sorted(rng.lognormvariate(-3.0, 1.2) for _ in range(5000))
        made = recorder(loans := route())
        for span in spans:
            made.record(loans, "a", 200, "", span)
        exported = samples(exposition.render(families.of_recorder(made)))
        for name, place in (("0.5", 2499), ("0.99", 4949), ("1", 4999)):
            found = exported["crowseam_answer_quantile_seconds", name, "loans", "a"]
            self.assertAlmostEqual(found / spans[place], 1.0, delta=0.011)
        for bound in latency.BUCKET_BOUNDS_S:
            count = sum(
                exported["crowseam_request_seconds_bucket", str(bound), outcome, "loans", "a"]
                for outcome in ("served", "late")
            )
            self.assertLessEqual(sum(span <= bound for span in spans), count)
            self.assertGreaterEqual(sum(span <= 1.0203 * bound for span in spans), count)


class OfDaemons(unittest.TestCase):
    def test_a_gateway_counts_outcomes_and_its_exposition_can_be_parsed(self):
        system = test_controller.SimulatedCluster(1)
        process = system.network.process("x", "10.1.0.30")
        with simulated_environment(system.world, lambda event, **fields: None):
            system.world.enter(process)
            gateway = Gateway(process.loop, system.settings("gateway", False), Random(1), 100)
            gateway.metrics.use_sketch_type(SKETCH_TYPE)
            gateway.configure(mock.Mock(routes={"loans": (loans := route())}, tenants={}, svcs={}))

            def ask():
                return gateway.admit(
                    mock.Mock(), mock.Mock(txn=b"1", route=loans, tenant="", time_left=2.0, upload=None)
                )

            ask()  # refused, as there is no server
            gateway.update_servers([ServerRecord("i-1", "a", "10.9.0.1:80", "z", "v", 9)], True)
            gateway.backends.begin = lambda exchange, ident: sent.append(exchange)
            sent = []
            numbers = [ask() for _ in range(3)]
            sent[0].end(Status.OK, Answer(200, [], b""))
            sent[1].end(Status.RESET)
            gateway.client_gone(numbers[2])
            exported = samples(
                exposition.render(
                    families.of_gateway(
                        types.SimpleNamespace(
                            gateway=gateway,
                            ready=lambda: True,
                            server=mock.Mock(connections=[1]),
                            reader=RequestReader(),
                            controller_session=mock.Mock(slot=3, link=None),
                        )
                    )
                )
            )
        for name, labels, value in (
            ("request_seconds_count", ("served", "loans", "a"), 1),
            ("refused_total", ("no_room",), 1),
            ("request_seconds_count", ("refused", "loans", "a"), 1),
            ("failed_total", ("reset",), 1),
            ("request_seconds_count", ("failed", "loans", "a"), 1),
            ("gone_total", (), 1),
            ("under_way", (), 0),
            ("slot", (), 3),
            ("answers_total", ("5xx",), 2),
        ):
            self.assertEqual(exported[f"crowseam_{name}", *labels], value, (name, labels))

    def test_metrics_of_a_controller(self):
        system = test_controller.SimulatedCluster(1)
        with simulated_environment(system.world, lambda event, **fields: None):
            system.world.run(3.0)
            controller = system.controllers["r1"]
            system.world.enter(system.processes["r1"])
            controller.api.call_counts["status"] = 2
            exported = samples(exposition.render(families.of_controller(controller.api, controller.now())))
        self.assertEqual(exported["crowseam_calls_total", "status"], 2)
        for name, value in (("in_touch", 1), ("voters", 3), ("voter", 1), ("gateways", 1)):
            self.assertEqual(exported[f"crowseam_{name}",], value, name)

    def test_libraries_are_loaded_only_when_needed(self):
        done = subprocess.run([sys.executable, "-c", START], capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, 0, done.stderr)
        *found, answer = json.loads(done.stdout)
        self.assertEqual(found, [[], ["prometheus_client"], ["prometheus_client", "ddsketch"]])
        head, _, body = answer.encode().partition(b"\r\n\r\n")
        self.assertIn(b"Content-Type: text/plain; version=0.0.4", head)
        self.assertEqual(samples(body)["crowseam_ready",], 0)


class OverGateways(unittest.TestCase):
    def text(self, spans, refused=0):
        made = recorder(loans := route(target=0.2))
        for span in spans:
            made.record(loans, "a", 200, "", span)
        for _ in range(refused):
            made.record(loans, "", 429, "quota", 0.0)
        return exposition.render(families.of_recorder(made))

    def test_merged_metrics_of_two_gateways_equal_those_of_one_with_all_requests(self):
        rng = Random(2)
        fast, slow = [rng.uniform(0.01, 0.1) for _ in range(900)], [rng.uniform(0.3, 0.8) for _ in range(100)]
        merged, alone = MergedMetrics(SKETCH_TYPE), MergedMetrics(SKETCH_TYPE)
        for text in (self.text(fast, refused=4), self.text(slow, refused=6)):
            merged.add(text.decode())
        alone.add(self.text(fast + slow, refused=10).decode())
        self.assertEqual(merged.rows(), alone.rows())
        (row,) = merged.rows()
        self.assertEqual((row["requests"], row["refused"], row["in_aim"]), (1010, 10, 0.8911))
        for name, place, near in (("p50", 500, 0.3), ("p99", 990, 0.3), ("worst", 999, 0.011)):
            self.assertAlmostEqual(row[name] / sorted(fast + slow)[place], 1.0, delta=near)

    def test_the_metrics_command(self):
        answers = {"a:1": self.text([0.05]), "b:1": self.text([0.3]), "d:1": b"<html> {"}

        def send(address, method, path, body, timeout):
            if address not in answers:
                raise control_client.NoAnswerError("silence")
            return control_client.Answer(200, "", answers[address])

        def run_command(*argv):
            out, err = io.StringIO(), io.StringIO()
            with (
                mock.patch.object(control_client, "send", send),
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                return run(["metrics", *argv]), out.getvalue(), err.getvalue()

        code, out, _ = run_command("--at=a:1,b:1,a:1,c:1,d:1", "--json")
        report = json.loads(out)
        self.assertEqual((code, sorted(report["missed"])), (0, ["c:1", "d:1"]))
        self.assertEqual(report["routes"][0]["requests"], 2)  # a:1, given twice, is counted once
        self.assertEqual(run_command("--at=a:1")[1].splitlines()[1].split()[:3], ["loans", "a", "1"])
        self.assertEqual(run_command("--at=c:1"), (1, "", "c:1: silence\n"))
        code, out, err = run_command("--at=nowhere")
        self.assertEqual((code, out, err.count("\n")), (2, "", 1))
