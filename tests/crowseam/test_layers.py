"""The layering rules: allowed imports between packages, forbidden modules in the cores, no import cycles."""

import functools
import unittest
from pathlib import Path

from tests.crowseam.import_graph import Graph, build_graph, import_cycles, imports_of, read_sources

ROOT = Path(__file__).parents[2]
CORES = ("configuration", "consensus", "discovery", "membership", "operations", "quotas")
DAEMON_LIBRARIES = {"configuration", "consensus", "discovery", "membership", "operations", "quotas", "transport"}
DAEMON_LIBRARIES |= {"clock", "control_calls", "logs", "metrics", "quorum", "settings"}
DAEMONS = DAEMON_LIBRARIES | {"controller", "gateway", "storage"}
# For each part of crowseam, the other parts that it may import. Parts of fennelpoint are listed by their full names.
ALLOWED: dict[str, set[str]] = {
    "__init__": set(),
    "__main__": {"cli", "controller", "gateway"},
    "clock": set(),
    "quorum": set(),
    "majority_catch_up": {"quorum"},
    "control_calls": set(),
    "logs": {"clock"},
    "settings": set(),
    "configuration": set(),
    "consensus": {"quorum"},
    "discovery": {"majority_catch_up", "quorum"},
    "membership": {"quorum"},
    "operations": {"majority_catch_up", "quorum"},
    "quotas": {"fennelpoint.regions"},
    "storage": {"consensus"},
    "transport": {"consensus", "discovery", "logs", "membership", "operations", "quotas"},
    "metrics": {"configuration", "logs", "quotas", "transport"},
    "controller": DAEMON_LIBRARIES | {"storage"},
    "gateway": DAEMON_LIBRARIES | {"fennelpoint.interface", "fennelpoint.net"},
    "simulator": DAEMONS | {"fennelpoint.net"},
    "model_checks": DAEMONS | {"simulator", "fennelpoint.interface", "fennelpoint.net"},
    "capacity": DAEMONS | {"cli", "__init__"},
    "soak": {"__init__"},
    "cli": {
        "__init__",
        "capacity",
        "configuration",
        "consensus",
        "metrics",
        "model_checks",
        "operations",
        "simulator",
        "soak",
        "storage",
    },
}
# Clocks, event loops, sockets, processes and files: the cores get time, randomness and messages as arguments.
FORBIDDEN_IN_CORES = {
    "asyncio",
    "http",
    "io",
    "multiprocessing",
    "os",
    "pathlib",
    "select",
    "selectors",
    "signal",
    "socket",
    "ssl",
    "subprocess",
    "threading",
    "time",
    "uvloop",
}


def part(module: str) -> str:
    """Return the part that a module belongs to, as named in ALLOWED."""
    package, *rest = module.split(".")
    if package == "crowseam":
        return rest[0] if rest else "__init__"
    if package == "fennelpoint":
        return ".".join([package, *rest[:1]])
    return ""


def violations(imports: Graph) -> list[str]:
    """Return the imports between parts that ALLOWED does not list, and forbidden imports in the cores."""
    found = []
    for module, others in imports.items():
        importing_part = part(module)
        for other in sorted(others):
            imported_part = part(other)
            if not module.startswith("crowseam"):
                is_forbidden = imported_part and not imported_part.startswith("fennelpoint")
            elif imported_part:
                is_forbidden = imported_part != importing_part and imported_part not in ALLOWED.get(importing_part, ())
            else:
                is_forbidden = importing_part in CORES and other.partition(".")[0] in FORBIDDEN_IN_CORES
            if is_forbidden:
                found.append(f"{module} imports {other}")
    return found


@functools.cache
def known_modules() -> dict[str, str]:
    return read_sources(ROOT, ("crowseam", "fennelpoint"))


@functools.cache
def known_imports() -> Graph:
    return build_graph(known_modules())


class LayersTest(unittest.TestCase):
    def test_parts_import_only_allowed_parts(self):
        self.assertEqual(violations(known_imports()), [])

    def test_the_rules_list_exactly_the_existing_parts(self):
        parts = {part(module) for module in known_modules() if module.startswith("crowseam")}
        self.assertEqual(parts, set(ALLOWED))
        self.assertEqual({name for name in set().union(*ALLOWED.values()) if "." not in name} - parts, set())

    def test_daemons_may_import_neither_tools_nor_each_other(self):
        tools = {"capacity", "cli", "model_checks", "simulator", "soak"}
        for name in DAEMONS:
            self.assertFalse(ALLOWED[name] & tools, name)
        self.assertNotIn("gateway", ALLOWED["controller"])
        self.assertNotIn("controller", ALLOWED["gateway"])

    def test_there_are_no_import_cycles(self):
        self.assertEqual(import_cycles(known_imports()), [])


class PlantedTest(unittest.TestCase):
    """The checks find violations that are added to the sources, also in functions and under TYPE_CHECKING."""

    def planted(self, module: str, line: str) -> Graph:
        source = f"{known_modules()[module]}\n{line}\n"
        return known_imports() | {module: imports_of(module, source, known_modules())}

    def test_forbidden_import_is_found(self):
        for module, line, found in (
            ("crowseam.consensus.node", "import time", "time"),
            ("crowseam.quotas.lease_grantor", "from crowseam import clock", "crowseam.clock"),
            ("crowseam.gateway.gateway", "from crowseam.controller import api", "crowseam.controller.api"),
            ("crowseam.controller.api", "def f():\n    from crowseam.gateway import daemon", "crowseam.gateway.daemon"),
            ("crowseam.storage.store", "if TYPE_CHECKING:\n    import crowseam.simulator.judge", "simulator.judge"),
            ("fennelpoint.quota", "from crowseam import logs", "crowseam.logs"),
        ):
            with self.subTest(module=module):
                (violation,) = violations(self.planted(module, line))
                self.assertTrue(violation.startswith(f"{module} imports ") and violation.endswith(found), violation)

    def test_import_cycle_is_found_completely(self):
        for line in (
            "from crowseam.simulator.simulation import Simulation",
            "if TYPE_CHECKING:\n    from crowseam.simulator.simulation import Simulation",
            "def f():\n    import crowseam.simulator.simulation",
        ):
            (cycle,) = import_cycles(self.planted("crowseam.simulator.machine", line))
            self.assertIn("crowseam.simulator.machine", cycle)
            self.assertIn("crowseam.simulator.simulation", cycle)

    def test_cycle_of_three_modules_is_one_cycle(self):
        modules = {"a": "import b", "b": "import c", "c": "import a", "d": "import a"}
        self.assertEqual(import_cycles(build_graph(modules)), [["a", "b", "c"]])


if __name__ == "__main__":
    unittest.main()
