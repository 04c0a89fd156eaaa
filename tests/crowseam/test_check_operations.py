"""The model check of keyed operations in short: a fixed set of schedules, and each mutant at its seed."""

import unittest

from crowseam.model_checks.operations.mutants import MUTANTS, run

SEEDS = (2, 10, 40, 107, 206, 511)  # five of them have found a fault, of the code or of the check, since mended


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
                    self.assertTrue(mutant.why, "a guard without a mutant that is found needs a reason")
                else:
                    self.assertTrue(mutant.run([mutant.seed]).violations)
