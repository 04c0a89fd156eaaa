"""The library: the README's example, invalid settings, independent instances, import cycles."""

import ast
import re
from pathlib import Path

import pytest

import fennelpoint
from fennelpoint import Controller
from fennelpoint import interface as api
from tests.fennelpoint.worlds import make_settings

README = Path(__file__).parents[2] / "README.md"


def test_example_of_the_readme_runs_as_printed(capsys):
    text = README.read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(ast.parse(example), "README.md", "exec"), {})
    printed = capsys.readouterr().out.splitlines()
    (expected,) = re.findall(r"second line printed is `(.*)`", text)
    assert printed[1] == expected


READ = api.RequestClass("read", latency_target=1.0, deadline=4.0, worth=1.0, effect=api.Effect.SAFE)


@pytest.mark.parametrize(
    "changes, message",
    [
        (dict(classes=[]), "classes"),
        (dict(plans=[]), "plans"),
        (dict(ingresses=0), "ingresses"),
        (dict(max_attempts=0), "max_attempts"),
        (dict(tick=float("nan")), "tick"),
        (dict(cold_share=-0.1), "cold_share"),
        (
            dict(classes=[READ, api.RequestClass("slow", 5.0, 4.0, 1.0, api.Effect.SAFE)]),
            r"classes\[1\].latency_target",
        ),
        (dict(plans=[api.Plan("basic", price=1.0, rate=-1.0)]), r"plans\[0\].rate"),
        (dict(plans=[api.Plan("basic", price=float("inf"))]), r"plans\[0\].price"),
    ],
)
def test_invalid_settings_are_rejected_with_the_name_of_the_field(changes, message):
    with pytest.raises(ValueError, match=message):
        make_settings(**changes)


def test_instances_share_nothing_and_same_events_give_same_actions():
    def run(control: Controller) -> list:
        entries = [api.BackendEntry(f"b{i}", api.BackendState.READY) for i in range(30)]
        out = control.start(0.0) + control.handle(api.Roster(api.RosterKind.FULL, 1, entries), 0.0)
        for i in range(50):
            ask = api.Request(i, 0, 0, i % 5, 4.0, 1.0, 2.0, 0.0)
            out += control.handle(ask, 0.1 * i)
        return out

    first, second = (Controller(make_settings(), seed=3, now=0.0) for _ in range(2))
    assert run(first) == run(second)
    assert run(Controller(make_settings(), seed=4, now=0.0)) != run(first)


def test_modules_have_no_import_cycles():
    """Imports for type checks count too: modules of a cycle can only be understood together."""
    root = Path(fennelpoint.__file__).parent
    files = {".".join(p.relative_to(root.parent).with_suffix("").parts): p for p in root.rglob("*.py")}
    imports: dict[str, set[str]] = {}
    for name, path in files.items():
        imports[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                imported = {node.module, *(f"{node.module}.{each.name}" for each in node.names)}
                imports[name] |= imported & files.keys()
    while leaves := [name for name, needed in imports.items() if not needed & imports.keys()]:
        for name in leaves:
            del imports[name]
    assert not imports
