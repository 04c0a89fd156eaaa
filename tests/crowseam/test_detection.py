"""The measure of failure detection: what is dead is told, what is slow is not taken for dead."""

import unittest
from contextlib import redirect_stderr
from io import StringIO

from crowseam.cli import detection
from crowseam.cli.dispatch import run


class DetectionTest(unittest.TestCase):
    def test_a_dead_controller_is_told_by_all_others_within_a_second_and_a_slow_one_is_not_dead(self):
        told = detection.summary("without power", 1)
        self.assertEqual(told["missed"], 0)
        self.assertTrue(0.5 < told["longest_s"] < 1.2, told)
        told = detection.summary("8 times slower", 1)
        self.assertLess(told["wrong_part"], 0.001)

    def test_all_gateways_have_left_a_server_within_milliseconds_of_its_acknowledgement(self):
        times = detection.letting_go(None, 1)
        self.assertEqual(len(times), 3)
        self.assertLess(max(times), 0.05)

    def test_a_number_of_runs_that_is_none_is_told(self):
        told = StringIO()
        with redirect_stderr(told):
            self.assertEqual(run(["detection", "--runs=many"]), 2)
        self.assertIn("--runs", told.getvalue())
