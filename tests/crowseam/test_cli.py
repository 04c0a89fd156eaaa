"""The command line: what a command says and with which code it ends. Calls are played, nothing opens a socket."""

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
from crowseam.cli.demo_verdict import Count, Observations, most_within, verdict
from crowseam.cli.dispatch import run
from crowseam.cli.errors import RefusedError, UnclearError
from crowseam.cli.tables import rows, table
from crowseam.configuration.model import Configuration
from crowseam.consensus.messages import ConfigurationEntry, Voter
from crowseam.consensus.records import ChosenRecord, IdentityRecord, PromiseRecord, SnapshotRecord
from crowseam.storage.store import Store


class Played:
    """Answers tries as a timeline tells: each line is a moment, each column an address.

    A cell is an HTTP status, `307:ADDR` (sent on to another column), `-` (silence), or `.` (not called).
    """

    def __init__(self, timeline):
        lines = [re.split(r"\s{2,}", line.strip()) for line in timeline.strip().splitlines()]
        self.addresses = [f"{name}:1" for name in lines[0]]
        self.moments = [dict(zip(self.addresses, line, strict=True)) for line in lines[1:]]
        self.at = 0
        self.now = 0.0
        self.bodies = []
        self.pauses = []

    def send(self, address, method, path, body, timeout):
        self.bodies.append(body)
        cell = self.moments[self.at][address]
        assert cell != ".", f"{address} was not to be called at moment {self.at}"
        if cell == "-":
            self.now += timeout
            self.at += 1
            raise control_client.NoAnswerError("silence")
        self.now += 0.01
        status, _, onward = cell.partition(":")
        self.moments[self.at][address] = "."
        if not onward or self.moments[self.at][f"{onward}:1"] == ".":
            self.at += 1
        location = f"http://{onward}:1{path}" if onward else ""
        return control_client.Answer(int(status), location, b'{"said": 1}')

    def sleep(self, span):
        self.pauses.append(span)
        self.now += span

    def call(self, name, body=b"", within=30.0):
        rng = random.Random(5)
        caller = control_client.Caller(self.addresses, within, self.send, lambda: self.now, self.sleep, rng)
        return caller.call(name, body)


class Calls(unittest.TestCase):
    def test_a_put_goes_unchanged_from_one_to_the_next_until_a_clear_answer(self):
        played = Played("""
            a    b    c
            -    .    .
            .    503  .
            .    .    408
            429  .    .
            .    200  .
        """)
        self.assertEqual(played.call("put", b"body").ok.status, 200)
        self.assertEqual(played.bodies, [b"body"] * 5)
        self.assertGreater(played.pauses[3], played.pauses[0], "the pause has to grow")

    def test_a_clear_refusal_ends_it(self):
        for status in sorted(control_client.FINAL):
            played = Played(f"""
                a    b
                {status}  .
            """)
            error = played.call("put", b"body").error
            self.assertIsInstance(error, RefusedError)
            self.assertEqual(error.status, status)

    def test_other_refusals_end_it_at_the_third(self):
        played = Played("""
            a    b
            404  .
            .    503
            404  .
            .    403
        """)
        self.assertEqual(played.call("servers").error.status, 403)

    def test_sent_on_twice_and_no_further(self):
        good = Played("""
            a      b      c
            307:b  307:c  200
        """)
        self.assertTrue(good.call("config").is_ok())
        ring = Played("""
            a      b      c
            307:b  307:c  307:a
            .      200    .
        """)
        self.assertTrue(ring.call("config").is_ok())
        self.assertEqual(len(ring.bodies), 4)

    def test_time_runs_out_and_nothing_is_claimed(self):
        played = Played("a  b\n" + "-  -\n" * 20)
        error = played.call("put", b"x", within=6.0).error
        self.assertIsInstance(error, UnclearError)
        self.assertIn("may have been done or not", str(error))
        self.assertLess(played.now, 7.5)
        self.assertNotIn("may have been", str(Played("a\n" + "-\n" * 9).call("config", within=2.0).error))


class Commands(unittest.TestCase):
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
        """Return (exit code, output, error output); calls are answered by (status, data), or not at all."""

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
        told = self.file("node.json", demo_files.settings(0, "controller", self.folder))
        with (
            mock.patch.object(control_client, "send", lambda *_: control_client.Answer(200, "", b"[]")) as _,
            mock.patch.dict(os.environ, {"CROWSEAM_BOOT": told}),
            contextlib.redirect_stdout(io.StringIO()) as out,
        ):
            self.assertEqual(run(["servers"]), 0)
        self.assertEqual(out.getvalue(), "none\n")

    def test_operations_are_shown_for_each_controller_and_one_is_looked_up_by_its_key(self):
        summary = {"claimed": 2, "ended": 7, "bytes": 900, "votes": True}
        code, out, _ = self.crowseam("operations", "--at", "a:1,b:1", answer=(200, summary))
        self.assertEqual((code, out.count("\n")), (0, 3), out)
        found = [{"state": "ended", "gateway": "edge-1", "status": 200}]
        one = ("operations", "--at", "a:1", "--key", "k-1")
        code, out, _ = self.crowseam(*one, "--tenant", "town", answer=(200, found))
        self.assertIn("edge-1", out)
        code, out, _ = self.crowseam(*one, answer=(200, []))
        self.assertEqual((code, "no controller" in out), (0, True))
        code, _, said = self.crowseam("operations", "--at", "a:1")
        self.assertEqual((code, "a:1" in said), (1, True))

    def test_status_tells_what_is_wrong_on_one_screen(self):
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

    def test_the_demonstration_says_what_did_not_hold(self):
        seen = Observations(
            tenants={"kitchen": Count(100, 96, 4), "pantry": Count(60, 20, 40)},
            served_at={"pantry": [0.3 * number for number in range(20)]},
            runs=Counter(["a", "b"]),
            served_while_down=9,
            versions=["00000002"] * 3,
            new_route=[200] * 3,
        )
        self.assertEqual([check.ok for check in verdict(seen)], [True] * 7)
        worse = Observations(
            tenants={"kitchen": Count(100, 94, 6), "pantry": Count(60, 40, 20)},
            served_at={"pantry": [0.12 * number for number in range(40)]},
            runs=Counter(["a", "b", "a"]),
            versions=["00000002", "00000001", "none"],
            new_route=[200, 404, 200],
            late_at_left=1,
        )
        self.assertEqual([check.ok for check in verdict(worse)], [False] * 7)
        self.assertEqual([most_within(times, 5.0) for times in ([], [0, 5], [9, 0, 4, 4.9])], [0, 1, 3])

    def test_the_files_of_the_demonstration_pass_the_checks(self):
        for _, file in demo_files.write(self.folder / "cell"):
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

    def test_a_difference_can_be_sent_as_a_change(self):
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
        made = Configuration.from_put(json.dumps(old).encode()).patched(out.encode())
        aim = Configuration.from_put(json.dumps(new).encode())
        self.assertEqual((made.ver, configuration_diff.differences(made, aim)), (10, []))

    def test_one_request_through_many_logs(self):
        one = self.file(
            "one.log",
            b"t=10.5 event=arrived id=9c41 path=/a\nt=11.5 event=arrived id=9c412\n"
            b"t=12.5 event=answered id=9c41 status=200\n",
        )
        two = self.file("two.log", b'noise 9c41\nt=11.0 event=sent try="9c41" why="slow \\"peer\\""\n')
        code, out, _ = self.crowseam("trace", "9c41", two, one)
        self.assertEqual(
            (code, [line.split("event=")[1].split()[0] for line in out.splitlines()]),
            (0, ["arrived", "sent", "answered"]),
        )
        events = json.loads(self.crowseam("trace", "9c41", "--json", two, one)[1])
        self.assertEqual((events[1]["why"], events[1]["line"], events[1]["log"]), ('slow "peer"', 2, two))
        self.assertEqual(self.crowseam("trace", "ffff", one)[0], 1)

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
        copy = str(self.folder / "copy")
        code, _, err = self.crowseam("snapshot", str(store.path), copy)
        self.assertEqual(code, 1)
        self.assertIn("in use", err)
        store.close()
        code, out, err = self.crowseam("snapshot", str(store.path), copy)
        self.assertEqual((code, out.split(", digest")[0]), (0, "slot 1, version 00000001"), err)
        kept = []
        for place, me in enumerate(("2.2.2.2:1", "3.3.3.3:1")):
            path = self.folder / f"new{place}.db"
            code, *_ = self.crowseam("restore", copy, str(path), "--voters=3.3.3.3:1,2.2.2.2:1", f"--me={me}")
            self.assertEqual(code, 0)
            new = Store(path)
            new.open()
            kept.append(new.load())
            new.close()
        self.assertEqual(kept[0].chosen, kept[1].chosen)
        self.assertEqual([voter.id for voter in kept[0].chosen[2].voters], [each.id for each in kept])
        self.assertEqual(kept[0].votes, {})
        damaged = Path(copy).read_bytes()[:-1] + b"?"
        code, _, err = self.crowseam("restore", self.file("bad", damaged), str(self.folder / "no.db"))
        self.assertEqual((code, (self.folder / "no.db").exists()), (1, False), err)


class Checks(unittest.TestCase):
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

    def test_a_role_that_is_no_table_is_a_fault(self):
        found = file_checks.check_deploy(b'packages = ["python3"]\nbuild = "x"\n[roles]\nx = 3\n')
        self.assertEqual(found[0], ("roles.x", "has to be an object, not int"))

    def test_the_deploy_file_of_the_system_is_without_fault(self):
        self.assertEqual(file_checks.check_deploy(Path("deploy/system.toml").read_bytes()), [])


if __name__ == "__main__":
    unittest.main()
