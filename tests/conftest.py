"""Known failures: KNOWN-RED.txt at the root lists the tests that are expected to fail.

A line is `test | cause | issue`, with the pytest id of the test (`tests/crowseam/test_x.py::Case::test_y`); at most
three lines are allowed. Listed tests are still run: the run fails if one passes, or if a listed name is not a test.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_FAILURES = 3


def known_failures(path: Path) -> dict[str, str]:
    """Return the line of each listed test, by its id. Raises pytest.UsageError if the list is malformed."""
    lines = [line.strip() for line in path.read_text().splitlines()] if path.exists() else []
    listed: dict[str, str] = {}
    for line in filter(None, lines):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: {line!r} is not `test | cause | issue`")
        if parts[0] in listed:
            raise pytest.UsageError(f"{path.name}: {parts[0]} is listed twice")
        listed[parts[0]] = line
    if len(listed) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{path.name}: {len(listed)} tests are listed, {MAX_KNOWN_FAILURES} at most may be")
    return listed


def pytest_report_header(config: pytest.Config) -> list[str]:
    """Print the known failures."""
    return [f"known red: {line}" for line in known_failures(config.rootpath / "KNOWN-RED.txt").values()]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    listed = known_failures(config.rootpath / "KNOWN-RED.txt")
    by_name = {item.nodeid: item for item in items}
    # A run of selected files does not collect all listed tests.
    missing = [name for name in listed if name not in by_name and _is_collected(name, config)]
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists names that are not tests: {', '.join(missing)}")
    for name, line in listed.items():
        if name in by_name:
            by_name[name].add_marker(pytest.mark.xfail(reason=line, strict=True))


def _is_collected(name: str, config: pytest.Config) -> bool:
    """Return whether this run should have collected the whole file of this test."""
    file = config.rootpath / name.partition("::")[0]
    paths = [(config.invocation_params.dir / arg.partition("::")[0]).resolve() for arg in config.args]
    whole_paths = [path for path, arg in zip(paths, config.args, strict=True) if "::" not in arg]
    return any(file == path or path in file.parents for path in whole_paths)
