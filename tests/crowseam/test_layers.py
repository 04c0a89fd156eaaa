"""The layers: which package may import which, what the cores may not use, and no circle of files."""

import functools
import unittest
from pathlib import Path

from tests.crowseam.import_graph import Graph, circles, graph, imports_of, sources

ROOT = Path(__file__).parents[2]
CORES = ("configuration", "consensus", "discovery", "membership", "operations", "quotas")
DAEMON_LIBRARIES = {"configuration", "consensus", "discovery", "membership", "operations", "quotas", "transport"}
DAEMON_LIBRARIES |= {"clock", "control_calls", "logs", "metrics", "quorum", "settings"}
DAEMONS = DAEMON_LIBRARIES | {"controller", "gateway", "storage"}
# By part of crowseam: the other parts that it may import; what is not listed, it may not.  Parts of fennelpoint are
# named in full.
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
# Clocks, loops, sockets, processes and files: the cores are given time, randomness and messages as arguments.
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
    """The part that a module belongs to, as ALLOWED names it."""
    package, *rest = module.split(".")
    if package == "crowseam":
        return rest[0] if rest else "__init__"
    if package == "fennelpoint":
        return ".".join([package, *rest[:1]])
    return ""


def violations(imports: Graph) -> list[str]:
    """Imports across parts that ALLOWED does not list, and what the cores may not use."""
    found = []
    for module, others in imports.items():
        mine = part(module)
        for other in sorted(others):
            theirs = part(other)
            if not module.startswith("crowseam"):
                wrong = theirs and not theirs.startswith("fennelpoint")
            elif theirs:
                wrong = theirs != mine and theirs not in ALLOWED.get(mine, ())
            else:
                wrong = mine in CORES and other.partition(".")[0] in FORBIDDEN_IN_CORES
            if wrong:
                found.append(f"{module} imports {other}")
    return found


@functools.cache
def known_modules() -> dict[str, str]:
    return sources(ROOT, ("crowseam", "fennelpoint"))


@functools.cache
def known_imports() -> Graph:
    return graph(known_modules())


class LayersTest(unittest.TestCase):
    def test_each_part_imports_only_what_it_may(self):
        self.assertEqual(violations(known_imports()), [])

    def test_every_part_is_listed_and_the_list_names_no_other(self):
        parts = {part(module) for module in known_modules() if module.startswith("crowseam")}
        self.assertEqual(parts, set(ALLOWED))
        self.assertEqual({each for each in set().union(*ALLOWED.values()) if "." not in each} - parts, set())

    def test_production_knows_nothing_of_its_tools_and_the_daemons_not_of_each_other(self):
        tools = {"capacity", "cli", "model_checks", "simulator", "soak"}
        for name in DAEMONS:
            self.assertFalse(ALLOWED[name] & tools, name)
        self.assertNotIn("gateway", ALLOWED["controller"])
        self.assertNotIn("controller", ALLOWED["gateway"])

    def test_no_files_import_each_other(self):
        self.assertEqual(circles(known_imports()), [])


class PlantedTest(unittest.TestCase):
    """What the checks are for is found where it is planted, also in functions and for type checkers."""

    def planted(self, module: str, line: str) -> Graph:
        source = f"{known_modules()[module]}\n{line}\n"
        return known_imports() | {module: imports_of(module, source, known_modules())}

    def test_an_import_against_the_layers_is_found(self):
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

    def test_a_circle_of_files_is_found_whole(self):
        for line in (
            "from crowseam.simulator.simulation import Simulation",
            "if TYPE_CHECKING:\n    from crowseam.simulator.simulation import Simulation",
            "def f():\n    import crowseam.simulator.simulation",
        ):
            (circle,) = circles(self.planted("crowseam.simulator.machine", line))
            self.assertIn("crowseam.simulator.machine", circle)
            self.assertIn("crowseam.simulator.simulation", circle)

    def test_a_circle_of_three_is_one_circle(self):
        modules = {"a": "import b", "b": "import c", "c": "import a", "d": "import a"}
        self.assertEqual(circles(graph(modules)), [["a", "b", "c"]])


if __name__ == "__main__":
    unittest.main()
