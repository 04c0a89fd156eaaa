"""The documented log events against those that the code emits, and the format of log lines."""

import ast
import re
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from crowseam import clock, logs

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "events.md"
BOTH = ("gateway", "controller")
PACKAGES = {"gateway": ("gateway",), "controller": ("controller",), "transport": BOTH, "metrics": BOTH}
ROLES = {"gateway": ("gateway",), "controller": ("controller",), "both": BOTH}


def logged_events():
    """Return the events emitted in the code: (role, event) -> (fields, whether there may be more)."""
    found = {}
    for package, roles in PACKAGES.items():
        for path in sorted((ROOT / "crowseam" / package).glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if not (
                    isinstance(node, ast.Call)
                    and isinstance(node.func, ast.Attribute)
                    and isinstance(node.func.value, ast.Name)
                    and node.func.value.id == "logs"
                    and node.func.attr in ("emit", "exception")
                ):
                    continue
                event = node.args[0]
                events = [event.body, event.orelse] if isinstance(event, ast.IfExp) else [event]
                names = {keyword.arg for keyword in node.keywords}
                if node.func.attr == "exception":
                    names = {"trace"}
                for each in events:
                    for role in roles:
                        before = found.get((role, each.value), (set(), False))
                        found[role, each.value] = (before[0] | names - {None}, before[1] or None in names)
    return found


def documented_events():
    """Return the events on the page: (role, event) -> (fields, optional fields)."""
    found = {}
    for line in PAGE.read_text().splitlines():
        if line.startswith("| `"):
            event, _, role, fields, meaning, _ = (cell.strip() for cell in line.strip("|").split("|"))
            assert meaning, line
            always, _, optional = fields.partition("(")
            for each in ROLES[role]:
                found[each, event.strip("`")] = tuple(set(re.findall(r"`(\w+)`", part)) for part in (always, optional))
    return found


class Events(unittest.TestCase):
    def test_emitted_and_documented_events_are_the_same(self):
        code, documented = logged_events(), documented_events()
        self.assertEqual(sorted(code), sorted(documented))
        for key, (fields, more) in code.items():
            self.assertEqual(fields, documented[key][0], key)
            self.assertEqual(more, bool(documented[key][1]), key)

    def test_former_event_names_are_unique_and_no_longer_in_use(self):
        rows = [line.strip("|").split("|") for line in PAGE.read_text().splitlines() if line.startswith("| `")]
        former_names = [name for row in rows if (name := row[1].strip().strip("`"))]
        self.assertGreater(len(former_names), 15)
        self.assertEqual(len(former_names), len(set(former_names)))
        self.assertEqual(set(former_names) & {row[0].strip().strip("`") for row in rows}, set())


class Lines(unittest.TestCase):
    def setUp(self):
        self.now, self.lines = 50.0, []
        for patch in (
            mock.patch.object(clock, "monotonic", lambda: self.now),
            mock.patch.object(clock, "time", lambda: 1000.0 + self.now),
            mock.patch.object(logs, "_samples", {}),
            mock.patch.object(logs, "_log", SimpleNamespace(info=self.lines.append)),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def test_event_is_one_line_of_pairs(self):
        logs.emit("refused", id="a", wait=0.123456, reason="two words", rest="x=1")
        self.assertEqual(self.lines, ['t=1050.000 event=refused id=a wait=0.1235 reason="two words" rest="x=1"'])

    def test_any_value_stays_on_one_line_that_can_be_parsed(self):
        for text in ('he said "no"', "a\nb", "a\r\n level=INFO", "", "tab\there", "\\", 'x"y', "\x00", "\u2028z"):
            self.lines.clear()
            self.now += 2.0
            logs.emit("e", text=text, last=1)
            self.assertEqual(len(self.lines[0].splitlines()), 1, repr(self.lines[0]))
            pairs = re.findall(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?: |$)', self.lines[0])
            self.assertEqual([name for name, _ in pairs], ["t", "event", "text", "last"], self.lines[0])

    def test_frequent_events_are_sampled_and_the_omitted_ones_counted(self):
        for _ in range(12):
            logs.emit("e")
        logs.emit("other")
        self.assertEqual(len(self.lines), 6)
        self.now += 1.1
        logs.emit("e")
        self.assertIn("left_out=7", self.lines[-1])

    def test_exception_is_one_line(self):
        try:
            raise ValueError('a "quoted"\ntext')
        except ValueError:
            logs.exception("e")
        self.assertEqual(len(self.lines[0].splitlines()), 1)
        self.assertIn("ValueError", self.lines[0])


if __name__ == "__main__":
    unittest.main()
