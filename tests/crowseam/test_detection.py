"""The failure detection measurement: dead controllers are detected, slow ones are not reported dead."""

import unittest
from contextlib import redirect_stderr
from io import StringIO

from crowseam.cli import detection
from crowseam.cli.dispatch import run


class DetectionTest(unittest.TestCase):
    def test_all_others_detect_a_dead_controller_within_about_a_second_and_a_slow_one_is_not_reported_dead(self):
        summary = detection.summarize_detection("without power", 1)
        self.assertEqual(summary["missed"], 0)
        self.assertTrue(0.5 < summary["longest_s"] < 1.2, summary)
        summary = detection.summarize_detection("8 times slower", 1)
        self.assertLess(summary["wrong_part"], 0.001)

    def test_all_gateways_stop_using_a_server_within_50_ms_of_its_drain_acknowledgement(self):
        times = detection.drain_delays(None, 1)
        self.assertEqual(len(times), 3)
        self.assertLess(max(times), 0.05)

    def test_an_invalid_number_of_runs_is_reported(self):
        error_output = StringIO()
        with redirect_stderr(error_output):
            self.assertEqual(run(["detection", "--runs=many"]), 2)
        self.assertIn("--runs", error_output.getvalue())
