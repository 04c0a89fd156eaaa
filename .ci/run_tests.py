"""Runs all tests, and passes over just those that KNOWN-RED.txt at the root lists.

A line of that file is `test | cause | issue`; the test is named as unittest names it
(`tests.crowseam.test_x.C.test_y`) or as pytest does (`tests/test_x.py::test_y`).  Three lines at most.  They are
printed, and played too: one that passes has to leave the list.  Exits with 1 where a test fails, a listed one
passes, or the list is not in order.
"""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LISTED_MOST = 3


class ListError(Exception):
    """KNOWN-RED.txt is not as it should be."""


def known_red(path: Path) -> dict[str, str]:
    """The listed tests, each with its line. Raises ListError."""
    lines = [line.strip() for line in path.read_text().splitlines()] if path.exists() else []
    listed = {}
    for line in filter(None, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ListError(f"{path.name}: {line!r} is not `test | cause | issue`")
        if parts[0] in listed:
            raise ListError(f"{path.name}: {parts[0]} is listed twice")
        listed[parts[0]] = line
    if len(listed) > LISTED_MOST:
        raise ListError(f"{path.name}: {len(listed)} tests are listed, {LISTED_MOST} at most may be")
    return listed


def split(suite: unittest.TestSuite, listed: set[str]) -> tuple[unittest.TestSuite, unittest.TestSuite]:
    """The tests that are not listed, and those that are."""
    rest, red = unittest.TestSuite(), unittest.TestSuite()
    stack = [suite]
    while stack:
        for test in stack.pop():
            if isinstance(test, unittest.TestSuite):
                stack.append(test)
            else:
                (red if test.id() in listed else rest).addTest(test)
    return rest, red


def main() -> int:
    """Run them all; the exit code."""
    try:
        listed = known_red(ROOT / "KNOWN-RED.txt")
    except ListError as error:
        print(error)
        return 1
    for line in listed.values():
        print(f"known red: {line}")
    nodes = {name for name in listed if "::" in name}
    ours = set(listed) - nodes
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests/crowseam"), top_level_dir=str(ROOT))
    rest, red = split(suite, ours)
    wrong = [f"{name} is listed in KNOWN-RED.txt and is no test" for name in ours - {one.id() for one in red}]
    failed = not unittest.TextTestRunner(stream=sys.stdout).run(rest).wasSuccessful()
    for test in red:
        outcome = unittest.TestResult()
        test.run(outcome)
        if outcome.wasSuccessful():
            wrong.append(f"{test.id()} is listed in KNOWN-RED.txt and passes: take it out")
    pytest = [sys.executable, "-m", "pytest", "-q"]
    for node in sorted(nodes):
        code = subprocess.run([*pytest, node], cwd=ROOT, capture_output=True).returncode
        if code != 1:
            why = "is no test" if code else "passes: take it out"
            wrong.append(f"{node} is listed in KNOWN-RED.txt and {why}")
    failed |= bool(
        subprocess.run(
            [*pytest, "--ignore", "tests/crowseam", *(f"--deselect={node}" for node in sorted(nodes))], cwd=ROOT
        ).returncode
    )
    for line in wrong:
        print(line)
    return int(failed or bool(wrong))


if __name__ == "__main__":
    sys.exit(main())
