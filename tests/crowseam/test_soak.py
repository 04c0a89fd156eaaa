"""The soak in short, and its judge on histories by hand."""

import tempfile
import unittest
from pathlib import Path

from crowseam.soak.history import CUT, Act, Call, Change, History, Kind, ProcessEvent, Run
from crowseam.soak.judge import violations
from crowseam.soak.soak import Plan, run

SEEDS = (1, 2)
SECONDS = 6.0  # of faults, in each
NETWORK = 90  # of the loopback addresses: none that the command uses


class Short(unittest.TestCase):
    def test_processes_in_trouble_break_no_promise(self):
        with tempfile.TemporaryDirectory() as folder:
            for seed in SEEDS:
                result = run(seed, Plan(machines=4, seconds=SECONDS, network=NETWORK), Path(folder))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.statuses[200], 500)
                self.assertGreater(result.repeats, 20)
                self.assertEqual(len(result.acts.keys() & {"kill", "terminate", "start", "end"}), 4)


class Judge(unittest.TestCase):
    def setUp(self):
        self.history = History(0, final_version=1, changes=[Change(1, 0, 200, 0.0)])

    def call(self, attempt="a", kind=Kind.KEYED, status=200, **more):
        told = {"answer_attempt": attempt, "seal": "s", "body": "b"} if status == 200 else {}
        call = Call(attempt, kind, "k", "gateway@1", 1, 1.0, 2.0, status, **{**told, **more})
        self.history.calls.append(call)

    def run_(self, attempt="a", seal="s", body="b", at=1.5, broke_off=False):
        self.history.runs.append(Run(attempt, "k", seal, body, at, broke_off))

    def judged(self, *rules):
        self.assertEqual([line.partition(":")[0] for line in violations(self.history)], list(rules))

    def test_a_repeat_gets_the_answer_of_the_first(self):
        self.run_()
        self.call()
        self.call("a2")
        self.judged()
        self.call("a3", body="other")
        self.judged("MIXED")

    def test_one_key_runs_once_in_its_window(self):
        self.run_()
        self.run_("a2", at=61.6)
        self.call("a", status=504)
        self.call("a2", status=504)
        self.judged()
        self.history.runs[1].began_at = 61.0
        self.judged("TWICE")

    def test_what_runs_once_is_not_promised_not_to_have_run(self):
        self.run_()
        self.call(status=503)
        self.judged("REFUSED")

    def test_an_answer_names_its_request_and_comes_from_its_run(self):
        self.run_()
        self.call(kind=Kind.SAFE, answer_attempt="b")
        self.call(kind=Kind.SAFE, seal="t")
        self.judged("MIXED", "MIXED")

    def test_proper_requests_are_not_denied(self):
        self.call(status=422)
        self.judged("DENIED")

    def test_a_planned_end_loses_nothing_and_a_kill_may(self):
        self.run_()
        self.call(kind=Kind.SAFE, status=CUT)
        self.judged("LOST")
        self.history.events.append(ProcessEvent("gateway@1", 1, Act.KILL, 1.9))
        self.judged()
        self.history.events[0].incarnation = 2
        self.judged("LOST")
        self.history.runs[0].broke_off = True
        self.judged()

    def test_processes_end_only_when_told(self):
        self.history.events.append(ProcessEvent("gateway@1", 1, Act.OWN_END, 1.0, "exit code 1"))
        self.judged("FAULT")

    def test_one_of_two_changes_on_a_version_is_taken_and_the_newest_is_read_back(self):
        self.history.changes += [Change(2, 1, 200, 1.0), Change(3, 1, 412, 1.0), Change(5, 2, 0, 2.0)]
        for version, rules in ((2, ()), (5, ()), (1, ("CONFIG",)), (None, ("CONFIG",))):
            self.history.final_version = version
            self.judged(*rules)
        self.history.final_version = 2
        self.history.changes[2].outcome = 200
        self.history.final_version = 3
        self.judged("CONFIG")

    def test_nearly_all_is_served_in_the_calm(self):
        self.history.calm_since = -10.0
        self.run_()
        for _ in range(8):
            self.call(kind=Kind.SAFE)
        self.call("b", status=503)
        self.call("c", status=503)
        self.judged("RECOVER")
