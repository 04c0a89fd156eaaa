"""Model check of callers: a fixed set of schedules, known mutants at their seeds, and tests of single guards."""

import unittest
from unittest import mock

from crowseam.cli.model_check import run_known_mutants
from crowseam.controller.pending_calls import PendingCalls
from crowseam.gateway.http_dialect import ServerDialect
from crowseam.model_checks.callers import check
from crowseam.model_checks.callers.gateway_schedules import STRIDE, SWEEP_INTERVAL, GatewaySchedule, Sweep
from crowseam.model_checks.callers.scripted_client import build_request
from crowseam.model_checks.callers.scripted_server import Plan
from crowseam.model_checks.callers.scripted_world import FAULTS
from fennelpoint.net.backends import UpstreamConnection


class UnansweredAttempt(GatewaySchedule):
    """One request, which the first server never answers."""

    first_server: str | None = None

    def plan(self, server, attempt):
        self.first_server = self.first_server or server
        if server == self.first_server:
            return Plan("cut", fault="silence")
        return Plan(size=self.size, pieces=5, pause=0.2) if self.size else Plan()

    def _run_actions(self):
        attempt = self.world.new_attempt_id("safe")

        def send_request(end):
            end.outstanding.append(attempt)
            end.write(b"".join(build_request(attempt)))

        self.daemon.gateway.budget.may_retry = lambda svc, now: True  # normally earned by requests
        self.connect(send_request)
        self.world.run(self.world.now + 4.0)


class SlowerAttempts(unittest.TestCase):
    def test_one_that_never_ends_is_given_up_though_another_has_answered(self):
        # A small answer, and a large one that is incomplete at the client's deadline.
        for size in (0, 200_000):
            schedule = UnansweredAttempt(1, 0)
            schedule.size = size
            schedule.play()
            self.assertEqual((schedule.world.outcomes["200"], schedule.world.outcomes.total()), (1, 1))
            self.assertEqual(len(next(iter(schedule.world.server_receipts.values()))), 2)


class DisconnectingClient(UnansweredAttempt):
    """A client that disconnects while the server does not answer."""

    held: int | None = None

    def _run_actions(self):
        self.size = 0
        self.world.later(0.2, lambda: self.connections[0].disconnect())
        self.world.later(0.4, lambda: setattr(self, "held", len(self.daemon.gateway.in_flight)))
        super()._run_actions()


class Leaving(unittest.TestCase):
    def test_what_a_client_asked_ends_when_it_leaves(self):
        schedule = DisconnectingClient(1, 0)
        schedule.play()
        self.assertEqual(schedule.held, 0)


class Tickets(unittest.TestCase):
    def test_a_call_that_was_answered_waits_no_more(self):
        # A stopping controller waits for pending calls.
        for method, more in (("reply", (200, b"")), ("take", ())):
            calls = PendingCalls()
            ticket = calls.add(mock.Mock())
            getattr(calls, method)(ticket, *more)
            self.assertEqual((len(calls), calls.take(ticket)), (0, None))


class Schedules(unittest.TestCase):
    def test_a_fixed_set_breaks_nothing_and_answers_many(self):
        report = check.run(range(64))
        self.assertEqual(report.violations, [])
        for outcome in (
            "200",
            "429",
            "500",
            "502",
            "503",
            "504",
            "no answer",
            "drain 200",
            "leave 200",
            "retire 200",
            "look 200",
            "read 200",
            "change 200",
            "change 412",
            "unknown 404",
        ):
            self.assertGreater(report.outcomes[outcome], 0, outcome)

    def test_a_seed_plays_the_same_each_time(self):
        for seed in range(4):
            first, second = check.run([seed]), check.run([seed])
            self.assertEqual((first.events, first.outcomes), (second.events, second.outcomes))

    def test_the_sweeps_of_a_thousand_seeds_meet_each_byte_with_each_fault(self):
        sweeps = [Sweep(seed) for seed in range(0, 960, SWEEP_INTERVAL)]
        places = {(sweep.fault, sweep.kind, sweep.side, sweep.first) for sweep in sweeps}
        self.assertEqual(len(places), len(FAULTS) * 2 * 3 * STRIDE)


class Mutants(unittest.TestCase):
    def test_each_is_found_at_its_seed_and_taken_back(self):
        before = ServerDialect.is_for_other_request, UpstreamConnection._finish_answer
        for mutant, violations in run_known_mutants("callers"):
            with self.subTest(mutant.guard):
                self.assertTrue(violations)
        self.assertEqual((ServerDialect.is_for_other_request, UpstreamConnection._finish_answer), before)

    def test_what_is_never_found_says_why(self):
        for mutant in check.MUTANTS:
            self.assertTrue((mutant.seed is None) == bool(mutant.why), mutant.guard)


if __name__ == "__main__":
    unittest.main()
