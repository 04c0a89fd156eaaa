"""The command line: output and exit codes of commands. Calls are scripted; no socket is opened."""

import contextlib
import io
import json
import os
import random
import re
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from unittest import mock

from crowseam.cli import configuration_diff, control_client, demo_files, file_checks
from crowseam.cli.demo_verdict import Observations, RequestCounts, max_in_window, verdict
from crowseam.cli.dispatch import run
from crowseam.cli.errors import RefusedError, UnclearError
from crowseam.cli.tables import rows, table
from crowseam.configuration.model import Configuration
from crowseam.consensus.messages import ConfigurationEntry, Voter
from crowseam.consensus.records import ChosenRecord, IdentityRecord, PromiseRecord, SnapshotRecord
from crowseam.storage.store import Store


class ScriptedServers:
    """Answers attempts by a script: each line is a step, each column an address.

    A cell is an HTTP status, `307:ADDR` (redirect to another column), `-` (no answer), or `.` (must not be called).
    """

    def __init__(self, timeline):
        lines = [re.split(r"\s{2,}", line.strip()) for line in timeline.strip().splitlines()]
        self.addresses = [f"{name}:1" for name in lines[0]]
        self.steps = [dict(zip(self.addresses, line, strict=True)) for line in lines[1:]]
        self.step = 0
        self.now = 0.0
        self.bodies = []
        self.pauses = []

    def send(self, address, method, path, body, timeout):
        self.bodies.append(body)
        cell = self.steps[self.step][address]
        assert cell != ".", f"{address} must not be called at step {self.step}"
        if cell == "-":
            self.now += timeout
            self.step += 1
            raise control_client.NoAnswerError("silence")
        self.now += 0.01
        status, _, target = cell.partition(":")
        self.steps[self.step][address] = "."
        if not target or self.steps[self.step][f"{target}:1"] == ".":
            self.step += 1
        location = f"http://{target}:1{path}" if target else ""
        return control_client.Answer(int(status), location, b'{"said": 1}')

    def sleep(self, duration_s):
        self.pauses.append(duration_s)
        self.now += duration_s

    def call(self, name, body=b"", timeout_s=30.0):
        rng = random.Random(5)
        client = control_client.ControlClient(self.addresses, timeout_s, self.send, lambda: self.now, self.sleep, rng)
        return client.call(name, body)


class ControlClientTest(unittest.TestCase):
    def test_a_put_is_retried_unchanged_at_the_next_address_until_a_definite_answer(self):
        servers = ScriptedServers("""
            a    b    c
            -    .    .
            .    503  .
            .    .    408
            429  .    .
            .    200  .
        """)
        self.assertEqual(servers.call("put", b"body").ok.status, 200)
        self.assertEqual(servers.bodies, [b"body"] * 5)
        self.assertGreater(servers.pauses[3], servers.pauses[0], "the backoff must grow")

    def test_a_definite_refusal_ends_the_call_at_once(self):
        for status in sorted(control_client.FINAL_STATUSES):
            servers = ScriptedServers(f"""
                a    b
                {status}  .
            """)
            error = servers.call("put", b"body").error
            self.assertIsInstance(error, RefusedError)
            self.assertEqual(error.status, status)

    def test_other_refusals_end_the_call_at_the_third(self):
        servers = ScriptedServers("""
            a    b
            404  .
            .    503
            404  .
            .    403
        """)
        self.assertEqual(servers.call("servers").error.status, 403)

    def test_at_most_two_redirects_are_followed(self):
        two_redirects = ScriptedServers("""
            a      b      c
            307:b  307:c  200
        """)
        self.assertTrue(two_redirects.call("config").is_ok())
        redirect_loop = ScriptedServers("""
            a      b      c
            307:b  307:c  307:a
            .      200    .
        """)
        self.assertTrue(redirect_loop.call("config").is_ok())
        self.assertEqual(len(redirect_loop.bodies), 4)

    def test_a_timeout_claims_no_outcome(self):
        servers = ScriptedServers("a  b\n" + "-  -\n" * 20)
        error = servers.call("put", b"x", timeout_s=6.0).error
        self.assertIsInstance(error, UnclearError)
        self.assertIn("may have been done or not", str(error))
        self.assertLess(servers.now, 7.5)
        self.assertNotIn("may have been", str(ScriptedServers("a\n" + "-\n" * 9).call("config", timeout_s=2.0).error))


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.calls = []

    def file(self, name, data):
        path = self.folder / name
        path.write_bytes(data if isinstance(data, bytes) else json.dumps(data).encode())
        return str(path)

    def crowseam(self, *words, answer=None):
        """Run a command and return (exit code, output, error output). `answer` is (status, data) or a function."""

        def send(address, method, path, body, timeout):
            self.calls.append((address, method, path, body))
            if answer is None:
                raise control_client.NoAnswerError("silence")
            status, data = answer(address) if callable(answer) else answer
            return control_client.Answer(status, "", data if isinstance(data, bytes) else json.dumps(data).encode())

        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            mock.patch.object(control_client, "send", send),
            mock.patch("time.sleep", lambda _: None),
            mock.patch.dict(os.environ),
        ):
            os.environ.pop("CROWSEAM_BOOT", None)
            code = run(list(words))
        return code, out.getvalue(), err.getvalue()

    def test_bad_input_is_one_line_that_names_the_field(self):
        config = self.file("c.json", demo_files.configuration())
        broken = self.file("b.json", demo_files.configuration() | {"ver": "1"})
        cases = [
            (["frobnicate"], "arguments"),
            ([], "arguments"),
            (["config", "put"], "arguments"),
            (["servers"], "--at"),
            (["servers", "--at", "nowhere"], "--at"),
            (["servers", "--at", ","], "--at"),
            (["servers", "--at", "h:1", "--within", "soon"], "--within"),
            (["servers", "--at", "h:1", "--within", "-1"], "--within"),
            (["config", "put", "/none", "--at", "h:1"], "FILE"),
            (["config", "put", broken, "--at", "h:1"], "ver"),
            (["config", "diff", broken, config], "OLD: ver"),
            (["config", "diff", config, config, "--as-patch", "2"], "--as-patch"),
            (["config", "diff", config, config, "--as-patch", "00000001"], "--as-patch"),
            (["retire", "--server", "", "--at", "h:1"], "--server"),
            (["retire", "--server", "i-1", "--svc", "s", "--at", "h:1"], "--svc"),
            (["trace", "id", "/none"], "FILE"),
            (["snapshot", "/none", str(self.folder / "copy")], "STORE"),
            (["restore", "/none", str(self.folder / "new.db")], "FILE"),
            (["restore", config, str(self.folder / "new.db"), "--voters=1.1.1.1:1"], "--me"),
            (["restore", config, str(self.folder / "new.db"), "--voters=1.1.1.1:1", "--me=1.1:1"], "--me"),
            (["restore", config, str(self.folder / "new.db"), "--me=1.1.1.1:1"], "--voters"),
        ]
        for words, field in cases:
            with self.subTest(words=words):
                code, out, err = self.crowseam(*words)
                self.assertEqual((code, out, err.count("\n")), (2, "", 1), err)
                self.assertTrue(err.startswith(f"{field}: "), err)
        self.assertEqual(self.calls, [])

    def test_put_sends_the_file_as_it_is_and_patches_as_patches(self):
        whole = json.dumps(demo_files.configuration(), indent=3).encode()
        patch = b'{"ver":"00000002","parent":"00000001","remove":{"routes":["menu-lookup"]}}'
        for body, method in ((whole, "PUT"), (patch, "PATCH")):
            code, out, _ = self.crowseam("config", "put", self.file("c", body), "--at", "h:1", answer=(200, {}))
            self.assertEqual((code, self.calls.pop()), (0, ("h:1", method, "/-/config", body)))
            self.assertIn("taken", out)
        code, out, err = self.crowseam(
            "config", "put", self.file("c", whole), "--at", "h:1", answer=(412, b"version 00000009 is current")
        )
        self.assertEqual((code, out, err), (3, "", "refused with 412: version 00000009 is current\n"))
        self.assertEqual(
            self.crowseam("config", "put", self.file("c", whole), "--at", "h:1", "--within", "0.001")[0], 1
        )

    def test_the_addresses_come_from_the_settings_file(self):
        settings_file = self.file("node.json", demo_files.settings(0, "controller", self.folder))
        with (
            mock.patch.object(control_client, "send", lambda *_: control_client.Answer(200, "", b"[]")) as _,
            mock.patch.dict(os.environ, {"CROWSEAM_BOOT": settings_file}),
            contextlib.redirect_stdout(io.StringIO()) as out,
        ):
            self.assertEqual(run(["servers"]), 0)
        self.assertEqual(out.getvalue(), "none\n")

    def test_operations_are_shown_for_each_controller_and_one_is_looked_up_by_its_key(self):
        summary = {"claimed": 2, "ended": 7, "bytes": 900, "votes": True}
        code, out, _ = self.crowseam("operations", "--at", "a:1,b:1", answer=(200, summary))
        self.assertEqual((code, out.count("\n")), (0, 3), out)
        found = [{"state": "ended", "gateway": "edge-1", "status": 200}]
        by_key = ("operations", "--at", "a:1", "--key", "k-1")
        code, out, _ = self.crowseam(*by_key, "--tenant", "town", answer=(200, found))
        self.assertIn("edge-1", out)
        code, out, _ = self.crowseam(*by_key, answer=(200, []))
        self.assertEqual((code, "no controller" in out), (0, True))
        code, _, error_output = self.crowseam("operations", "--at", "a:1")
        self.assertEqual((code, "a:1" in error_output), (1, True))

    def test_status_lists_the_problems_and_the_status_by_address(self):
        def two_of_three(address):
            if address == "c:1":
                raise control_client.NoAnswerError("timed out")
            return 200, {"ver": "0000000c", "in_touch": True, "voter": True} if address == "a:1" else {
                "ver": "0000000b",
                "in_touch": False,
                "disk_late_s": 2.0,
                "silent": ["i-1"],
                "gateways": 0,
            }

        code, out, _ = self.crowseam("status", "--at", "a:1,b:1,c:1", answer=two_of_three)
        self.assertEqual(code, 1)
        self.assertEqual(
            [line for line in out.splitlines() if line.startswith("WRONG")],
            [
                "WRONG b:1: reaches no majority of the voters",
                "WRONG b:1: its disk has not written for 2.0 s",
                "WRONG b:1: servers that give no sign of life: i-1",
                "WRONG b:1: knows of no gateways",
                "WRONG c:1 does not answer: timed out",
                "WRONG versions differ: 0000000b at b:1; 0000000c at a:1",
            ],
        )
        code, out, _ = self.crowseam("status", "--at", "a:1", answer=(200, {"ver": "0000000c", "servers": 3}))
        self.assertEqual((code, out.splitlines()[0]), (0, "nothing is wrong"))

    def test_the_demonstration_reports_failed_checks(self):
        all_good = Observations(
            tenants={"kitchen": RequestCounts(100, 96, 4), "pantry": RequestCounts(60, 20, 40)},
            served_at={"pantry": [0.3 * number for number in range(20)]},
            runs=Counter(["a", "b"]),
            served_while_down=9,
            versions=["00000002"] * 3,
            new_route=[200] * 3,
        )
        self.assertEqual([check.ok for check in verdict(all_good)], [True] * 7)
        all_failed = Observations(
            tenants={"kitchen": RequestCounts(100, 94, 6), "pantry": RequestCounts(60, 40, 20)},
            served_at={"pantry": [0.12 * number for number in range(40)]},
            runs=Counter(["a", "b", "a"]),
            versions=["00000002", "00000001", "none"],
            new_route=[200, 404, 200],
            late_at_left=1,
        )
        self.assertEqual([check.ok for check in verdict(all_failed)], [False] * 7)
        self.assertEqual([max_in_window(times, 5.0) for times in ([], [0, 5], [9, 0, 4, 4.9])], [0, 1, 3])

    def test_the_files_of_the_demonstration_pass_the_checks(self):
        for _, file in demo_files.write_files(self.folder / "cell"):
            self.assertEqual(self.crowseam("check", "settings", str(file))[0], 0, file)
        for name in ("configuration", "change"):
            self.assertEqual(self.crowseam("check", "config", str(self.folder / "cell" / f"{name}.json"))[0], 0)
        code, _, err = self.crowseam("demo", "--seconds", "3")
        self.assertEqual((code, err), (2, "--seconds: 3 is under 10\n"))

    def test_tables_and_json(self):
        data = {"servers": {"i-2": {"svc": "menu", "slots": 4, "draining": True}, "i-10": {"svc": "x\x1b[2J"}}}
        code, out, _ = self.crowseam("servers", "--at", "h:1", answer=(200, data))
        self.assertEqual(
            (code, out), (0, "ID    SVC    SLOTS  DRAINING\n" "i-2   menu   4      yes\n" "i-10  x?[2J  -      -\n")
        )
        out = self.crowseam("servers", "--at", "h:1", "--json", answer=(200, data))[1]
        self.assertEqual(json.loads(out), data)
        self.assertEqual(self.crowseam("servers", "--at", "h:1", answer=(200, b"<html>"))[0], 1)
        self.assertEqual(table(rows([{"a": 0.25, "b": [1, 2]}, {"a": None}], "x")), "A     B\n0.25  1,2\n-     -\n")

    def test_retire_says_what_and_whether_to_undo(self):
        self.crowseam("retire", "--version", "v2", "--svc", "menu", "--at", "h:1", answer=(200, {"servers": 3}))
        self.crowseam("retire", "--zone", "a", "--undo", "--at", "h:1", answer=(200, b""))
        self.assertEqual(
            [json.loads(call[3]) for call in self.calls],
            [{"undo": False, "ver": "v2", "svc": "menu"}, {"undo": True, "az": "a"}],
        )

    def test_a_difference_can_be_sent_as_a_patch(self):
        old = demo_files.configuration()
        new = json.loads(json.dumps(old)) | {"ver": "00000009"}
        new["objs"][0]["spec"]["timeout"] = "3s"
        new["objs"][0]["spec"]["note"] = None
        del new["objs"][2]
        new["objs"].append({"type": "svcs", "meta": {"name": "orders"}, "spec": {"hc_path": "/h"}})
        files = self.file("old", old), self.file("new", new)
        out = self.crowseam("config", "diff", *files)[1]
        self.assertEqual(
            out.splitlines(),
            [
                "00000001 -> 00000009",
                "~ routes menu-lookup",
                '    spec.timeout: "2500ms" -> "3s"',
                "    spec.note: (none) -> null",
                "- tenants kitchen",
                "+ svcs orders",
            ],
        )
        out = self.crowseam("config", "diff", files[1], "--at", "h:1", "--as-patch", "0000000a", answer=(200, old))[1]
        patched = Configuration.from_put(json.dumps(old).encode()).patched(out.encode())
        expected = Configuration.from_put(json.dumps(new).encode())
        self.assertEqual((patched.ver, configuration_diff.differences(patched, expected)), (10, []))

    def test_trace_finds_one_request_in_several_logs(self):
        first_log = self.file(
            "one.log",
            b"t=10.5 event=arrived id=9c41 path=/a\nt=11.5 event=arrived id=9c412\n"
            b"t=12.5 event=answered id=9c41 status=200\n",
        )
        second_log = self.file("two.log", b'noise 9c41\nt=11.0 event=sent try="9c41" why="slow \\"peer\\""\n')
        code, out, _ = self.crowseam("trace", "9c41", second_log, first_log)
        self.assertEqual(
            (code, [line.split("event=")[1].split()[0] for line in out.splitlines()]),
            (0, ["arrived", "sent", "answered"]),
        )
        events = json.loads(self.crowseam("trace", "9c41", "--json", second_log, first_log)[1])
        self.assertEqual((events[1]["why"], events[1]["line"], events[1]["log"]), ('slow "peer"', 2, second_log))
        self.assertEqual(self.crowseam("trace", "ffff", first_log)[0], 1)

    def test_schemas_name_every_field_that_is_read(self):
        for name in ("config", "patch", "settings", "deploy"):
            code, out, _ = self.crowseam("schema", name)
            self.assertEqual((code, json.loads(out)["$schema"][:5]), (0, "https"))
        self.assertIn("rate_per_s", self.crowseam("schema")[1])

    def test_a_snapshot_restores_a_system_whose_voters_are_gone(self):
        body = json.dumps(demo_files.configuration()).encode()
        store = Store(self.folder / "old.db")
        store.open()
        store.write(
            [
                IdentityRecord("genesis/a"),
                SnapshotRecord(0, b"", [Voter("genesis/a", "1.1.1.1:1")], 1),
                ChosenRecord(1, ConfigurationEntry("t", 1, 0, True, body, "d")),
                PromiseRecord(2, (3, "b")),
            ]
        )
        snapshot = str(self.folder / "copy")
        code, _, err = self.crowseam("snapshot", str(store.path), snapshot)
        self.assertEqual(code, 1)
        self.assertIn("in use", err)
        store.close()
        code, out, err = self.crowseam("snapshot", str(store.path), snapshot)
        self.assertEqual((code, out.split(", digest")[0]), (0, "slot 1, version 00000001"), err)
        restored = []
        for index, me in enumerate(("2.2.2.2:1", "3.3.3.3:1")):
            path = self.folder / f"new{index}.db"
            code, *_ = self.crowseam("restore", snapshot, str(path), "--voters=3.3.3.3:1,2.2.2.2:1", f"--me={me}")
            self.assertEqual(code, 0)
            new_store = Store(path)
            new_store.open()
            restored.append(new_store.load())
            new_store.close()
        self.assertEqual(restored[0].chosen, restored[1].chosen)
        self.assertEqual([voter.id for voter in restored[0].chosen[2].voters], [state.id for state in restored])
        self.assertEqual(restored[0].votes, {})
        damaged = Path(snapshot).read_bytes()[:-1] + b"?"
        code, _, err = self.crowseam("restore", self.file("bad", damaged), str(self.folder / "no.db"))
        self.assertEqual((code, (self.folder / "no.db").exists()), (1, False), err)


class FileCheckTest(unittest.TestCase):
    def test_settings(self):
        good = demo_files.settings(1, "gateway", Path("/x"))
        self.assertEqual(file_checks.check_settings(json.dumps(good | {"new": 1}).encode()), [])
        bad = json.loads(json.dumps(good))
        del bad["hb"], bad["bind"]["readyz"], bad["bounds"]["ack"], bad["datadir"]
        bad |= {"az": "moon", "seeds": ["10.0.0.1"], "port_range": [9, 3], "ip": "1.2.3", "voting": True}
        bad["bounds"] |= {"drain": "soon", "retry_ratio": -0.1}
        bad["limits"]["nofile"] = "many"
        self.assertEqual(
            sorted(field for field, _ in file_checks.check_settings(json.dumps(bad).encode())),
            [
                "az",
                "bind.readyz",
                "bounds.ack",
                "bounds.drain",
                "bounds.retry_ratio",
                "datadir",
                "hb",
                "ip",
                "limits.nofile",
                "port_range",
                "seeds[0]",
            ],
        )
        for body in (b"", b"[]", b"\xff"):
            self.assertTrue(file_checks.check_settings(body))

    def test_deploy(self):
        good = """
            packages = ["python3", "libstdc++6"]
            build = "make"
            [roles.gateway]
            run = "python3 -m crowseam gateway"
            on = "edge"
            share = 1.0
            serves = ["edge"]
            [roles.controller]
            run = "python3 -m crowseam controller"
            on = "edge"
            count = 2
            serves = ["ctl"]
        """
        self.assertEqual(file_checks.check_deploy(good.encode()), [])
        cases = [
            ("share = 1.0", "share = 1.5", "roles.gateway.share"),
            ("share = 1.0", "", "roles.gateway.share"),
            ("count = 2", "count = 0", "roles.controller.count"),
            ("count = 2", "count = 2\nshare = 0.5", "roles.controller.count"),
            ('run = "python3 -m crowseam gateway"', 'run = "env A=1 x"', "roles.gateway.run"),
            ('run = "python3 -m crowseam gateway"', 'run = "x | y"', "roles.gateway.run"),
            ('run = "python3 -m crowseam gateway"', "", "roles.gateway.run"),
            ('["ctl"]', '["edge"]', "roles.controller.serves[0]"),
            ('["ctl"]', "[]", "roles"),
            ('["ctl"]', '["ctl", "dns"]', "roles.controller.serves[1]"),
            ("count = 2", 'count = "2"', "roles.controller.count"),
            ('build = "make"', "", "build"),
            ("count = 2", "count = 2\nports = 1", "roles.controller.ports"),
            ("[roles.gateway]", "[roles", ""),
            ('packages = ["python3", "libstdc++6"]', "", "packages"),
            ('["python3", "libstdc++6"]', "[]", "packages"),
            ('["python3", "libstdc++6"]', '"python3"', "packages"),
            ('"libstdc++6"', "6", "packages[1]"),
            ('"libstdc++6"', '""', "packages[1]"),
            ('"libstdc++6"', '"Python3 "', "packages[1]"),
            ('"libstdc++6"', '"python3=3.11"', "packages[1]"),
            ('"libstdc++6"', '"python3"', "packages[1]"),
        ]
        for old, new, field in cases:
            with self.subTest(new=new):
                found = file_checks.check_deploy(good.replace(old, new, 1).encode())
                self.assertIn(field, [each for each, _ in found])

    def test_a_role_that_is_not_a_table_is_a_fault(self):
        found = file_checks.check_deploy(b'packages = ["python3"]\nbuild = "x"\n[roles]\nx = 3\n')
        self.assertEqual(found[0], ("roles.x", "has to be an object, not int"))

    def test_the_deploy_file_of_the_system_has_no_faults(self):
        self.assertEqual(file_checks.check_deploy(Path("deploy/system.toml").read_bytes()), [])


if __name__ == "__main__":
    unittest.main()
