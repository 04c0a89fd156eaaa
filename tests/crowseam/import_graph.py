"""The import graph of the sources, including imports in functions and under TYPE_CHECKING."""

from __future__ import annotations

import ast
from collections.abc import Iterator, Mapping
from pathlib import Path

Graph = dict[str, set[str]]  # by module: the modules that it imports; external ones by their full name


def read_sources(root: Path, packages: tuple[str, ...]) -> dict[str, str]:
    """Return the source of each module of the packages, by module name."""
    found = {}
    for package in packages:
        for path in sorted((root / package).rglob("*.py")):
            parts = path.relative_to(root).with_suffix("").parts
            found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path.read_text()
    return found


def build_graph(modules: Mapping[str, str]) -> Graph:
    """Return the imports of each module, given the sources by module name."""
    return {name: imports_of(name, source, modules) for name, source in modules.items()}


def imports_of(module: str, source: str, modules: Mapping[str, str]) -> set[str]:
    """Return the imports of one module; `modules` are all modules of the packages."""
    return set(_imports(source, modules)) - {module}


def _imports(source: str, modules: Mapping[str, str]) -> Iterator[str]:
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            if node.level:
                raise ValueError(f"relative import of {node.module}: the sources must import by full names")
            for alias in node.names:
                full_name = f"{node.module}.{alias.name}"
                yield full_name if full_name in modules else node.module


def import_cycles(imports: Graph) -> list[list[str]]:
    """Return groups of modules that import each other, directly or indirectly (Tarjan's algorithm)."""
    order: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: list[list[str]] = []

    def visit(module: str) -> None:
        order[module] = low[module] = len(order)
        stack.append(module)
        for other in sorted(imports[module] & imports.keys()):
            if other not in order:
                visit(other)
                low[module] = min(low[module], low[other])
            elif other in stack:
                low[module] = min(low[module], order[other])
        if low[module] == order[module]:
            group = stack[stack.index(module) :]
            del stack[stack.index(module) :]
            if len(group) > 1:
                found.append(sorted(group))

    for module in sorted(imports):
        if module not in order:
            visit(module)
    return found
