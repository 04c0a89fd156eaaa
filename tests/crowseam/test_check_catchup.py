"""The model check of catching up in short: a fixed set of schedules, and each mutant at its seed."""

import unittest

from crowseam.model_checks.catchup.check import MUTANTS, run

SEEDS = (0, 2, 4, 7)


class Check(unittest.TestCase):
    def test_a_fixed_set_of_schedules_breaks_nothing(self):
        report = run(SEEDS)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.outcomes["slots"], 1000)
        self.assertGreater(report.outcomes["bytes of changes"], 100_000)

    def test_each_mutant_is_found_at_its_seed(self):
        for mutant in MUTANTS:
            with self.subTest(mutant.guard):
                if mutant.seed is None:
                    self.assertTrue(mutant.why, "a guard without a mutant that is found needs a reason")
                else:
                    self.assertTrue(mutant.run([mutant.seed]).violations)
