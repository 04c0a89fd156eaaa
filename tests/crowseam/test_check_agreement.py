"""Model check of consensus: a fixed set of schedules, known mutants at their seeds, and its own checks."""

from __future__ import annotations

import unittest

from crowseam.cli.model_check import run_known_mutants
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import ReadReady
from crowseam.model_checks.agreement.check import MUTANTS, STALE, ChangeRequest, World, run
from crowseam.model_checks.schedules import MAX_EVENTS_PER_SECOND, EventSimulation, Violation

CLIMATES = {"mixed", "power", "links", "disks", "crowd", "age", "siege", "duel"}


class Schedules(unittest.TestCase):
    def test_a_fixed_set_has_every_climate_and_no_violation(self):
        report = run(range(40))
        self.assertEqual(report.violations, [])
        self.assertEqual({name.removeprefix("climate ") for name in report.outcomes if "climate" in name}, CLIMATES)
        for fault in (
            "one_way_cut inward",
            "one_way_cut outward",
            "flapping links",
            "frozen, messages lost",
            "frozen, messages wait",
            "disk hangs",
            "rows damaged",
            "eight at once",
            "answer lost",
            "sent again restart",
            "crash amid a ballot",
        ):
            self.assertGreater(report.outcomes[f"fault {fault}"], 0, fault)

    def test_each_known_mutant_is_found_at_its_seed(self):
        for mutant, violations in run_known_mutants("agreement"):
            with self.subTest(mutant.guard):
                self.assertTrue(violations)

    def test_the_seeds_of_mutants_are_clean_with_every_guard(self):
        seeds = sorted({mutant.seed for mutant in MUTANTS if mutant.seed is not None})
        self.assertEqual(run(seeds).violations, [])

    def test_a_mutant_without_a_seed_says_why(self):
        self.assertEqual([mutant.guard for mutant in MUTANTS if mutant.seed is None and not mutant.why], [])


class AlwaysDue(Node):
    """Always requests a tick in the past."""

    def _finish(self, effects):
        effects = super()._finish(effects)
        self.next_tick = min(self.next_tick, 0.5)
        return effects


class EndlessSchedules(unittest.TestCase):
    """A schedule that never ends is reported as a violation by every check."""

    def test_a_timer_that_is_due_and_does_nothing(self):
        report = run([0], node_class=AlwaysDue)
        self.assertIn("does nothing about a timer", report.violations[0])

    def test_more_events_in_a_second_than_any_schedule_has(self):
        simulation = EventSimulation(1)

        def reschedule() -> None:
            simulation.after(1e-9, reschedule)

        simulation.after(0.0, reschedule)
        with self.assertRaises(Violation):
            simulation.run_until(1.0)
        self.assertEqual(simulation.events, MAX_EVENTS_PER_SECOND + 1)

    def test_many_events_spread_over_seconds_are_no_violation(self):
        simulation = EventSimulation(1)
        for number in range(2 * MAX_EVENTS_PER_SECOND):
            simulation.after(4.0 * number / MAX_EVENTS_PER_SECOND, int)
        simulation.run_until(9.0)
        self.assertEqual(simulation.events, 2 * MAX_EVENTS_PER_SECOND)


class WorldChecks(unittest.TestCase):
    def test_of_two_contents_under_one_number_one_is_taken(self):
        world = World(1, ["m0", "m1", "m2"])
        for number, addr in enumerate(world.hosts):
            world.submit(addr, addr, ChangeRequest(1, 0, f"-{number}"))
        world.run_until(2.0)
        self.assertEqual(sorted(map(str, world.answers.values()))[1:], [STALE, STALE])

    def test_an_answer_without_contact_is_a_violation(self):
        world = World(1, ["m0", "m1", "m2"])
        world.one_way.update({("m1", "m0"), ("m2", "m0")})
        world.read("m0", "alone")
        world.run_until(1.0)
        with self.assertRaises(Violation):
            world._check_answer(world.hosts["m0"], "alone", ReadReady(0))

    def test_a_machine_that_receives_nothing_times_out_by_its_own_clock(self):
        world = World(1, ["m0", "m1", "m2"], drift=True)
        world.one_way.update({("m1", "m0"), ("m2", "m0")})
        world.submit("m0", "put", ChangeRequest(1, 0), 0.85)
        world.run_until(1.0)
        self.assertEqual(type(world.answers["put"]).__name__, "OutcomeUnknown")

    def test_deferred_messages_are_handled_or_dropped_when_a_process_resumes(self):
        for drop, expected_slot in ((False, 1), (True, 0)):
            world = World(1, ["m0", "m1", "m2"])
            world.run_until(1.0)
            world.freeze("m2")
            world.submit("m0", "put", ChangeRequest(1, 0))
            world.run_until(1.5)
            world.thaw("m2", drop)
            self.assertEqual(world.hosts["m2"].node.last_slot, expected_slot)
            world.run_until(4.0)
            self.assertEqual(world.hosts["m2"].node.last_slot, 1)


if __name__ == "__main__":
    unittest.main()
