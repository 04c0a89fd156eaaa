"""The pages for newcomers name what there is: files, modules and metrics (events: test_logs.py)."""

import ast
import importlib
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILT = "target/"  # left by the build, not in the repository
PLAIN_PATH = re.compile(r"(?![/.-])[\w./-]+(?:/|/[\w.-]+|\.(?:md|toml|txt|py))")


def code_spans(page: str) -> list[str]:
    """Return what a page sets in single backticks, outside of code blocks."""
    text = re.sub(r"```.*?```", "", (ROOT / page).read_text(), flags=re.DOTALL)
    return re.findall(r"`([^`\n]+)`", text)


def texts(node: ast.AST) -> set[str]:
    """Return all string constants in a part of the code."""
    return {each.value for each in ast.walk(node) if isinstance(each, ast.Constant) and isinstance(each.value, str)}


def exported_metrics() -> set[str]:
    """Return the names of all metrics that the processes export, without the ending of counters."""
    code = ast.parse((ROOT / "crowseam/metrics/families.py").read_text())
    return {text for text in texts(code) if re.fullmatch(r"crowseam_\w+", text)}


class Pages(unittest.TestCase):
    def test_each_path_that_the_readme_names_exists(self):
        paths = [span for span in code_spans("README.md") if PLAIN_PATH.fullmatch(span)]
        self.assertGreater(len(paths), 40)
        for path in paths:
            with self.subTest(path=path):
                self.assertTrue(path.startswith(BUILT) or (ROOT / path).exists())

    def test_each_module_that_the_design_page_names_exists(self):
        names = [span for span in code_spans("docs/system.md") if re.fullmatch(r"crowseam(\.\w+)+", span)]
        self.assertGreater(len(names), 10)
        for name in names:
            with self.subTest(name=name):
                importlib.import_module(name)

    def test_the_page_for_on_call_staff_has_each_metric_that_is_exported(self):
        spans = " ".join(code_spans("docs/on-call.md"))
        names = {name.removesuffix("_total") for name in re.findall(r"\bcrowseam_\w+", spans)}
        self.assertEqual(exported_metrics() - names, set())


if __name__ == "__main__":
    unittest.main()
