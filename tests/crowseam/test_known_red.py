"""The list of tests that may fail: what it says, and that it can't hide more than it says."""

import importlib.util
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

PATH = Path(__file__).resolve().parents[2] / ".ci/run_tests.py"
spec = importlib.util.spec_from_file_location("ci_tests", PATH)
ci = importlib.util.module_from_spec(spec)
spec.loader.exec_module(ci)


class ListTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            if text is not None:
                path.write_text(text)
            return ci.known_red(path)

    def test_no_list_is_an_empty_one(self):
        self.assertEqual(self.read(None), {})

    def test_each_line_names_test_cause_and_issue(self):
        line = "tests.crowseam.test_a.B.test_c | a lease is counted twice | 19"
        self.assertEqual(self.read(f"{line}\n\n"), {"tests.crowseam.test_a.B.test_c": line})
        four = "\n".join(f"t{number} | b | 1" for number in range(4))
        for wrong in ("tests.a", "a | b", "a | | c", "a | b | 1\na | b | 2", four):
            with self.subTest(text=wrong), self.assertRaises(ci.ListError):
                self.read(wrong)

    def test_only_what_is_listed_is_set_apart(self):
        suite = unittest.defaultTestLoader.loadTestsFromTestCase(ListTest)
        name = f"{__name__}.ListTest.test_no_list_is_an_empty_one"
        rest, red = ci.split(unittest.TestSuite([suite]), {name, "unknown"})
        self.assertEqual([test.id() for test in red], [name])
        self.assertEqual(rest.countTestCases(), suite.countTestCases() - 1)


class VerdictTest(unittest.TestCase):
    def verdict(self, listed, passes):
        """The exit code and what is printed for a tree with one test."""
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "tests/crowseam").mkdir(parents=True)
            (root / "tests/crowseam/__init__.py").write_text("")  # and none in tests, as here
            (root / "tests/crowseam/test_one.py").write_text(
                "import unittest\nclass T(unittest.TestCase):\n" f"    def test_x(self): self.assertTrue({passes})\n"
            )
            (root / "tests/test_two.py").write_text("def test_y(): pass\n")
            if listed:
                (root / "KNOWN-RED.txt").write_text(listed)
            (root / ".ci").mkdir()
            (root / ".ci/run_tests.py").write_text(PATH.read_text())
            done = subprocess.run([sys.executable, ".ci/run_tests.py"], cwd=root, capture_output=True, text=True)
            return done.returncode, done.stdout

    def test_a_listed_one_may_fail_and_has_to(self):
        line = "tests.crowseam.test_one.T.test_x | why | 19"
        self.assertEqual(self.verdict(None, True)[0], 0)
        self.assertEqual(self.verdict(None, False)[0], 1)
        code, told = self.verdict(line, False)
        self.assertEqual(code, 0, told)
        self.assertIn(f"known red: {line}", told)
        code, told = self.verdict(line, True)
        self.assertEqual(code, 1)
        self.assertIn("passes: take it out", told)
        self.assertEqual(self.verdict("tests.crowseam.test_one.T.test_z | why | 19", True)[0], 1)
