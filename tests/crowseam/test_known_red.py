"""The list of known failures: its format, and that it excuses only the listed tests."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import pytest

from tests import conftest

TEST_SOURCE = """import unittest


class T(unittest.TestCase):
    def test_x(self):
        for number in (1, 2):
            with self.subTest(number=number):
                self.assertTrue({passes})
"""


class ListTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            if text is not None:
                path.write_text(text)
            return conftest.known_failures(path)

    def test_missing_list_is_empty(self):
        self.assertEqual(self.read(None), {})

    def test_each_line_names_test_cause_and_issue(self):
        line = "tests/crowseam/test_a.py::B::test_c | a lease is counted twice | 19"
        self.assertEqual(self.read(f"{line}\n\n"), {"tests/crowseam/test_a.py::B::test_c": line})
        too_many = "\n".join(f"t{number} | b | 1" for number in range(4))
        for malformed in ("tests/a.py", "a | b", "a | | c", "a | b | 1\na | b | 2", too_many):
            with self.subTest(text=malformed), self.assertRaises(pytest.UsageError):
                self.read(malformed)


class OutcomeTest(unittest.TestCase):
    def outcome(self, listed, passes, *args):
        """Run pytest on a tree with two tests; return the exit code and the output."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "tests/crowseam").mkdir(parents=True)
            for package in ("tests", "tests/crowseam"):
                (root / package / "__init__.py").write_text("")
            (root / "tests/crowseam/test_one.py").write_text(TEST_SOURCE.format(passes=passes))
            (root / "tests/test_two.py").write_text("def test_y(): pass\n")
            (root / "tests/conftest.py").write_text(Path(conftest.__file__).read_text())
            (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
            if listed:
                (root / "KNOWN-RED.txt").write_text(listed)
            command = [sys.executable, "-m", "pytest", *args]
            done = subprocess.run(command, cwd=root, capture_output=True, text=True)
            return done.returncode, done.stdout + done.stderr

    def test_listed_test_must_fail(self):
        line = "tests/crowseam/test_one.py::T::test_x | why | 19"
        self.assertEqual(self.outcome(None, True)[0], 0)
        self.assertEqual(self.outcome(None, False)[0], 1)
        code, printed = self.outcome(line, False)
        self.assertEqual(code, 0, printed)
        self.assertIn(f"known red: {line}", printed)
        code, printed = self.outcome(line, True)
        self.assertEqual(code, 1, printed)
        self.assertIn("XPASS(strict)", printed)

    def test_unlisted_failure_fails_the_run(self):
        code, printed = self.outcome("tests/test_two.py::test_y | why | 19", False)
        self.assertEqual(code, 1)
        self.assertIn("2 failed", printed)

    def test_listed_name_must_be_a_test(self):
        for name in ("tests/crowseam/test_one.py::T::test_z", "tests/test_three.py::test_y", "tests/test_two.py"):
            code, printed = self.outcome(f"{name} | why | 19", True)
            self.assertNotEqual(code, 0, name)
            self.assertIn("names that are not tests", printed)

    def test_malformed_list_fails_the_run(self):
        code, printed = self.outcome("a | b", True)
        self.assertNotEqual(code, 0)
        self.assertIn("test | cause | issue", printed)

    def test_run_of_other_files_ignores_the_list(self):
        line = "tests/crowseam/test_one.py::T::test_x | why | 19"
        code, printed = self.outcome(line, False, "tests/test_two.py")
        self.assertEqual(code, 0, printed)


if __name__ == "__main__":
    unittest.main()
