"""The table of guards in the docs matches the code, and each guard has a seed or a reason for having none."""

import unittest
from contextlib import redirect_stdout
from importlib import import_module
from io import StringIO
from pathlib import Path

from crowseam.cli import dispatch
from crowseam.cli.model_check import PARTS, guard_rows

PAGE = Path(__file__).resolve().parents[2] / "docs/control.md"


class Guards(unittest.TestCase):
    def test_the_page_has_the_rows_of_the_code(self):
        documented = [
            line
            for line in PAGE.read_text().splitlines()
            if line.split("|")[1:2] and line.split("|")[1].strip() in PARTS
        ]
        self.assertEqual(documented, [row for part in PARTS for row in guard_rows(part)])

    def test_each_has_a_seed_or_a_reason(self):
        for part, module in PARTS.items():
            for mutant in import_module(module).MUTANTS:
                with self.subTest(part=part, guard=mutant.guard):
                    self.assertTrue(mutant.seed is not None or mutant.why)

    def test_the_command_prints_them(self):
        output = StringIO()
        with redirect_stdout(output):
            self.assertEqual(dispatch.run(["model-check", "--part=callers", "--guards"]), 0)
        self.assertEqual(output.getvalue().splitlines(), guard_rows("callers"))
