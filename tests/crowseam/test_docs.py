"""The files, modules, classes, methods and metrics that the pages mention exist (for log events see test_logs.py)."""

import ast
import importlib
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BUILD_DIRECTORY = "target/"  # created by the build, not in the repository
PLAIN_PATH = re.compile(r"(?![/.-])[\w./-]+(?:/|/[\w.-]+|\.(?:md|toml|txt|py))")
NAMES_CHECKED = ("architecture.md", "glossary.md")
PACKAGES = sorted(path.parent.name for path in (ROOT / "crowseam").glob("*/__init__.py"))
MODULES = sorted(path.stem for path in (ROOT / "crowseam").glob("*.py") if path.stem != "__init__")
CODE = re.compile(r"`([^`]+)`")
DOTTED = re.compile(r"[A-Za-z_]+(\.[A-Za-z_]+)*")


def code_spans(page: str) -> list[str]:
    """Return the texts in single backticks on a page, outside of code blocks."""
    text = re.sub(r"```.*?```", "", (ROOT / page).read_text(), flags=re.DOTALL)
    return re.findall(r"`([^`\n]+)`", text)


def string_constants(node: ast.AST) -> set[str]:
    """Return all string constants in a syntax tree."""
    return {child.value for child in ast.walk(node) if isinstance(child, ast.Constant) and isinstance(child.value, str)}


def exported_metrics() -> set[str]:
    """Return the names of all exported metrics, without the suffix of counters."""
    code = ast.parse((ROOT / "crowseam/metrics/families.py").read_text())
    return {text for text in string_constants(code) if re.fullmatch(r"crowseam_\w+", text)}


def names_in(text: str) -> set[str]:
    """Return the full names of code objects in a page: those that start with one of our packages or modules."""
    names = set()
    for name in CODE.findall(text):
        if not DOTTED.fullmatch(name):
            continue
        first, _, rest = name.partition(".")
        if first in ("crowseam", "fennelpoint") and rest:
            names.add(name)
        elif rest != "md" and (first in PACKAGES or (first in MODULES and rest)):  # `operations.md` is a page
            names.add(f"crowseam.{name}")
    return names


def exists(name: str) -> bool:
    """Return whether a module, function, class, method or declared field with this name exists."""
    parts = name.split(".")
    for count in range(len(parts), 0, -1):
        try:
            found = importlib.import_module(".".join(parts[:count]))
        except ModuleNotFoundError:
            continue
        return _has(found, parts[count:])
    return False


def _has(found: object, path: list[str]) -> bool:
    for part in path:
        if not hasattr(found, part):
            return part in getattr(found, "__annotations__", {}) and part == path[-1]
        found = getattr(found, part)
    return True


class Pages(unittest.TestCase):
    def test_each_path_that_the_readme_names_exists(self):
        paths = [span for span in code_spans("README.md") if PLAIN_PATH.fullmatch(span)]
        self.assertGreater(len(paths), 40)
        for path in paths:
            with self.subTest(path=path):
                self.assertTrue(path.startswith(BUILD_DIRECTORY) or (ROOT / path).exists())

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


class Names(unittest.TestCase):
    def test_names_on_the_checked_pages_exist(self):
        for page in NAMES_CHECKED:
            text = (ROOT / "docs" / page).read_text()
            names = names_in(text)
            self.assertGreater(len(names), 40, page)
            self.assertEqual(sorted(name for name in names if not exists(name)), [], page)

    def test_each_location_in_the_glossary_is_a_code_name(self):
        rows = [line.split("|") for line in (ROOT / "docs" / "glossary.md").read_text().splitlines() if "|" in line]
        locations = [cells[4] for cells in rows if len(cells) == 6 and "`" in cells[4]]
        self.assertGreater(len(locations), 50)
        for location in locations:
            for name in CODE.findall(location):
                self.assertTrue(names_in(f"`{name}`"), name)

    def test_missing_name_is_found(self):
        text = (
            "`consensus.node.Node.read`, `consensus.node.Node.reads`, `crowseam.gone.away`, `peers.Peers`, `system.md`"
        )
        names = names_in(text)
        self.assertEqual(
            names, {"crowseam.consensus.node.Node.read", "crowseam.consensus.node.Node.reads", "crowseam.gone.away"}
        )
        self.assertEqual([name for name in sorted(names) if exists(name)], ["crowseam.consensus.node.Node.read"])

    def test_files_that_the_pages_mention_exist(self):
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
        for page in pages:
            for path in re.findall(r"`((?:crowseam|fennelpoint|tests|deploy|examples)/[\w./]*)`", page.read_text()):
                self.assertTrue((ROOT / path).exists(), f"{page.name}: {path}")

    def test_full_names_on_any_page_exist(self):
        for page in [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]:
            full_names = {name for name in names_in(page.read_text()) if f"`{name}`" in page.read_text()}
            self.assertEqual(sorted(name for name in full_names if not exists(name)), [], page.name)


if __name__ == "__main__":
    unittest.main()
