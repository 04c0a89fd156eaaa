"""Model check of keyed operations: a fixed set of schedules, and each mutant at its seed."""

import unittest

from crowseam.model_checks.operations.mutants import MUTANTS, run

SEEDS = (2, 10, 40, 107, 206, 511)


class Check(unittest.TestCase):
    def test_a_fixed_set_of_schedules_breaks_nothing(self):
        report = run(SEEDS)
        self.assertEqual(report.violations, [])
        for outcome in ("200", "409", "503", "504"):
            self.assertGreater(report.outcomes[outcome], 50)
        self.assertGreater(report.outcomes["kept answers given again"], 100)

    def test_each_mutant_is_found_at_its_seed(self):
        for mutant in MUTANTS:
            with self.subTest(mutant.guard):
                if mutant.seed is None:
                    self.assertTrue(mutant.why, "a mutant without a seed needs a reason")
                else:
                    self.assertTrue(mutant.run([mutant.seed]).violations)
