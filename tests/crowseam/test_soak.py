"""A short soak test, and the checks of its judge on hand-written histories."""

import signal
import tempfile
import unittest
from pathlib import Path

from crowseam.soak.history import DISCONNECTED, Call, Change, History, Kind, ProcessAction, ProcessEvent, Run
from crowseam.soak.judge import violations
from crowseam.soak.soak import Plan, run

SEEDS = (1, 2)
SECONDS = 6.0  # of faults in each run
NETWORK = 90  # second octet of the loopback addresses; the command uses others


class ShortSoak(unittest.TestCase):
    def test_faults_violate_no_guarantee(self):
        with tempfile.TemporaryDirectory() as folder:
            for seed in SEEDS:
                result = run(seed, Plan(machines=4, seconds=SECONDS, network=NETWORK), Path(folder))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.statuses[200], 500)
                self.assertGreater(result.repeats, 20)
                self.assertGreater(result.early_runs, 10)
                self.assertEqual(len(result.acts.keys() & {"kill", "terminate", "start", "end"}), 4)


class JudgeChecks(unittest.TestCase):
    def setUp(self):
        self.history = History(0, final_version=1, changes=[Change(1, 0, 200, 0.0)])

    def add_call(self, attempt="a", kind=Kind.KEYED, status=200, **more):
        answered = {"answer_attempt": attempt, "seal": "s", "body": "b"} if status == 200 else {}
        more = {"incarnation": 1, **answered, **more}
        call = Call(attempt, kind, "k", "gateway@1", sent_at=1.0, ended_at=2.0, status=status, **more)
        self.history.calls.append(call)

    def add_run(self, attempt="a", seal="s", body="b", at=1.5, broke_off=False):
        self.history.runs.append(Run(attempt, "k", seal, body, at, broke_off))

    def assert_violations(self, *rules):
        self.assertEqual([line.partition(":")[0] for line in violations(self.history)], list(rules))

    def test_a_repeat_gets_the_answer_of_the_first(self):
        self.add_run()
        self.add_call()
        self.add_call("a2")
        self.assert_violations()
        self.add_call("a3", body="other")
        self.assert_violations("MIXED")

    def test_one_key_runs_once_in_its_window(self):
        self.add_run()
        self.add_run("a2", at=61.6)
        self.add_call("a", status=504)
        self.add_call("a2", status=504)
        self.assert_violations()
        self.history.runs[1].began_at = 61.0
        self.assert_violations("TWICE")

    def test_a_refused_request_must_not_have_run(self):
        self.add_run()
        self.add_call(status=503)
        self.assert_violations("REFUSED")

    def test_a_server_gets_the_body_that_was_sent(self):
        self.add_run()
        self.add_call()
        self.assert_violations()
        self.history.runs[0].is_body_intact = False
        self.assert_violations("UNASKED")

    def test_a_response_belongs_to_its_request_and_to_one_of_its_runs(self):
        self.add_run()
        self.add_call(kind=Kind.SAFE, answer_attempt="b")
        self.add_call(kind=Kind.SAFE, seal="t")
        self.assert_violations("MIXED", "MIXED")

    def test_valid_requests_are_not_denied(self):
        self.add_call(status=422)
        self.assert_violations("DENIED")

    def test_a_planned_exit_loses_no_answer_and_a_kill_may(self):
        self.add_run()
        self.add_call(kind=Kind.SAFE, status=DISCONNECTED)
        self.assert_violations("LOST")
        self.history.events.append(ProcessEvent("gateway@1", 1, ProcessAction.KILL, 1.9))
        self.assert_violations()
        self.history.events[0].incarnation = 2
        self.assert_violations("LOST")
        self.history.runs[0].broke_off = True
        self.assert_violations()

    def test_processes_exit_only_when_told(self):
        self.history.events.append(ProcessEvent("gateway@1", 1, ProcessAction.UNEXPECTED_EXIT, 1.0, "exit code 1"))
        self.assert_violations("FAULT")

    def test_a_gateway_that_is_stopped_before_it_accepts_connections_may_end_by_the_signal(self):
        def record(act, exit_code=None):
            self.history.events.append(ProcessEvent("gateway@1", 2, act, 1.0, f"exit code {exit_code}", exit_code))

        record(ProcessAction.UNEXPECTED_EXIT, -signal.SIGTERM)
        self.assert_violations("FAULT")  # nobody had told it to
        record(ProcessAction.TERMINATE)
        self.assert_violations()
        self.add_run()
        self.add_call(incarnation=2)
        self.assert_violations("FAULT")  # it had accepted a connection
        self.history.calls.clear()
        self.history.events[0].exit_code = 1
        self.assert_violations("FAULT")

    def test_one_of_two_changes_of_a_version_is_accepted_and_the_newest_is_read_back(self):
        self.history.changes += [Change(2, 1, 200, 1.0), Change(3, 1, 412, 1.0), Change(5, 2, 0, 2.0)]
        for version, rules in ((2, ()), (5, ()), (1, ("CONFIG",)), (None, ("CONFIG",))):
            self.history.final_version = version
            self.assert_violations(*rules)
        self.history.final_version = 2
        self.history.changes[2].outcome = 200
        self.history.final_version = 3
        self.assert_violations("CONFIG")

    def test_nearly_all_calls_are_served_after_the_last_fault(self):
        self.history.calm_since = -10.0
        self.add_run()
        for _ in range(8):
            self.add_call(kind=Kind.SAFE)
        self.add_call("b", status=503)
        self.add_call("c", status=503)
        self.assert_violations("RECOVER")

    def test_what_a_server_broke_off_need_not_be_served(self):
        self.history.calm_since = -10.0
        self.add_run("a", broke_off=True)
        for attempt in ("a", "a2", "a3"):
            self.add_call(attempt, status=504)
        self.assert_violations()
        self.history.runs[0].broke_off = False
        self.assert_violations("RECOVER")
