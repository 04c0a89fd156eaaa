"""Measures latency and false positives of the controllers' failure detection, by kind of fault.

A fault is injected into the machine of one controller of a simulated fleet.  Every POLL_INTERVAL_S the failure
detectors of the other controllers are read; they receive the daemons' own pings over simulated links.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, BadInputError
from crowseam.simulator.metrics import quantile
from crowseam.simulator.scenario.day import build
from crowseam.simulator.simulation import Simulation

POLL_INTERVAL_S = 0.02
FAULT_DURATION_S = 3.0
OBSERVE_AFTER_S = 2.0  # polling continues this long after the fault
RECOVERY_GRACE_S = 1.0  # after the fault, in which the machine may still be considered dead
FIRST_FAULT_AT_S, FAULT_OFFSET_STEP_S, FAULT_OFFSETS = 2.0, 0.1, 10  # offset from the start of the load, by seed
MAX_RUNS = 1000
FAULTY_MACHINE = "annex-1"
# The injected fault, and whether the others should consider the machine dead.
FAULT_KINDS: dict[str, tuple[dict[str, Any] | None, bool]] = {
    "none": (None, False),
    "killed": ({"kind": "kill", "role": "controller"}, True),
    "without power": ({"kind": "power"}, True),
    "cut off": ({"kind": "cut"}, True),
    "frozen": ({"kind": "freeze", "role": "controller"}, True),
    "8 times slower": ({"kind": "slow", "amount": 8.0}, False),
    "a link 0.2 s slower that loses 5%": ({"kind": "link", "amount": 0.2}, False),
}
DRAIN_FAULT_KINDS = ("none", "killed", "without power", "cut off")  # faults during which draining is measured


def _scenario(fault: dict[str, Any] | None, fault_at: float) -> Any:
    zone = {"machines": 2, "controllers": 2}
    values = {
        "name": "detection",
        "length": fault_at + FAULT_DURATION_S + 3.0,
        "after": 0.5,
        "deployment": {
            "zones": [{"name": name, **zone} for name in ("ground", "gallery", "annex")],
            "services": [{"name": "lookups", "servers": 3}],
            "routes": [{"name": "look-up", "svc": "lookups", "rate": 5.0}],
        },
    }
    if fault is not None:
        values["faults"] = [{"at": fault_at, "target": FAULTY_MACHINE, "span": FAULT_DURATION_S, **fault}]
    return build(values)


class DetectionResult(Struct):
    """Counts of what the detectors reported during one run."""

    found: dict[str, float] = {}  # controller -> detection latency in s
    missed: int = 0  # controllers that did not detect a fault they should have
    looks: int = 0  # detector readings about machines that are not dead
    wrong: int = 0  # of these, readings that said dead


class DetectionRun:
    """One simulated run with one kind of fault, polling all detectors every POLL_INTERVAL_S."""

    def __init__(self, kind: str, seed: int) -> None:
        fault, self.expect_dead = FAULT_KINDS[kind]
        fault_at = FIRST_FAULT_AT_S + FAULT_OFFSET_STEP_S * (seed % FAULT_OFFSETS)
        self.simulation = Simulation(_scenario(fault, fault_at), seed)
        self.fault_begins = self.simulation.load_begins + fault_at
        self.fault_ends = self.fault_begins + FAULT_DURATION_S
        self.result = DetectionResult()

    def run(self) -> DetectionResult:
        """Run the simulation and return the counts."""
        self.simulation.later(self.simulation.load_begins, self._poll_detectors)
        self.simulation.run()
        if self.expect_dead:
            self.result.missed = len(self.simulation.control_machines) - 1 - len(self.result.found)
        return self.result

    def _poll_detectors(self) -> None:
        world = self.simulation.world
        if world.now >= self.fault_ends + OBSERVE_AFTER_S:
            return
        for machine in self.simulation.control_machines:
            daemon, process = machine.daemons.get("controller"), machine.processes.get("controller")
            if machine.name == FAULTY_MACHINE or daemon is None or process.frozen:
                continue
            world.enter(process)
            now = daemon.now()
            for other in self.simulation.control_machines:
                if other is not machine:
                    self._record(machine.name, other.name, daemon.peers.detector.state(other.ctl, now))
        world.enter(world.environment)
        self.simulation.later(POLL_INTERVAL_S, self._poll_detectors)

    def _record(self, observer: str, observed: str, state: str) -> None:
        """Record the state that one controller's detector reports for another."""
        now = self.simulation.world.now
        concerns_fault = observed == FAULTY_MACHINE and self.fault_begins <= now <= self.fault_ends + RECOVERY_GRACE_S
        if concerns_fault and self.expect_dead:
            if state == "dead" and now <= self.fault_ends:
                self.result.found.setdefault(observer, now - self.fault_begins)
        elif self.simulation.load_begins <= now:
            self.result.looks += 1
            self.result.wrong += state == "dead"


def summarize_detection(kind: str, runs: int) -> dict[str, Any]:
    """Summarize several runs: median and longest detection time, missed detections and false-positive rate."""
    results = [DetectionRun(kind, seed).run() for seed in range(1, runs + 1)]
    times = sorted(time for result in results for time in result.found.values())
    total_looks = sum(result.looks for result in results)
    return {
        "trouble": kind,
        "p50_s": quantile(times, 0.5),
        "longest_s": times[-1] if times else 0.0,
        "missed": sum(result.missed for result in results),
        "wrong_part": sum(result.wrong for result in results) / total_looks if total_looks else 0.0,
    }


def drain_delays(fault: dict[str, Any] | None, seed: int) -> list[float]:
    """Return the drain delays of one run, in which 3 of 12 servers leave while `fault` lasts.

    The delay, in seconds, is from the acknowledgement of the drain until the last reachable gateway has stopped
    using the server.  It is negative if all gateways had stopped before the acknowledgement.
    """
    scenario = _scenario(fault, 2.0)
    scenario.deployment.services[0].servers = 12
    simulation = Simulation(scenario, seed)
    left_at: dict[str, float] = {}  # server id -> when the last gateway stopped using it; -1.0 until then

    def start_drains() -> None:
        for server in list(simulation.servers.values())[seed % 4 :: 4]:
            server.drain()
            left_at[server.id] = -1.0
        poll_gateways()

    def poll_gateways() -> None:
        now = simulation.world.now
        gateways = [
            machine.daemons["gateway"].gateway
            for machine in simulation.machines
            if "gateway" in machine.daemons and not (fault and machine.name == FAULTY_MACHINE)
        ]
        for server_id, removed_at in left_at.items():
            if removed_at < 0.0 and not any(
                server_id in gateway.balancer.servers and gateway.balancer.servers[server_id].usable
                for gateway in gateways
            ):
                left_at[server_id] = now
        if now < simulation.load_begins + 4.0:
            simulation.later(0.001, poll_gateways)

    simulation.later(simulation.load_begins + 2.05, start_drains)
    simulation.run()
    return [
        left_at[server_id] - acked_at
        for server_id, (acked_at, _) in simulation.judge.drains.items()
        if server_id in left_at
    ]


def detection(args: Args) -> int:
    """Run `crowseam detection`: print detection times by kind of fault, and drain delays."""
    runs = int(args["--runs"]) if args["--runs"].isdigit() else 0
    if not 0 < runs <= MAX_RUNS:
        raise BadInputError("--runs", f"{args['--runs']!r} is not a number from 1 to {MAX_RUNS}")
    rows = [summarize_detection(kind, runs) for kind in FAULT_KINDS]
    drain_rows = [summarize_drains(kind, runs) for kind in DRAIN_FAULT_KINDS]
    if args["--json"]:
        print_json({"detection": rows, "letting_go": drain_rows})
        return DONE
    print_text(f"{'trouble':<36} {'p50 s':>7} {'longest s':>10} {'missed':>7} {'well, taken for dead':>21}\n")
    for row in rows:
        print_text(
            f"{row['trouble']:<36} {row['p50_s']:>7.2f} {row['longest_s']:>10.2f} {row['missed']:>7} "
            f"{row['wrong_part']:>20.4%}\n"
        )
    print_text(f"\n{'a server leaves; a controller is':<36} {'p50 s':>7} {'p99 s':>7} {'most':>10} {'servers':>8}\n")
    for row in drain_rows:
        print_text(
            f"{row['trouble']:<36} {row['p50_s']:>7.3f} {row['p99_s']:>7.3f} {row['longest_s']:>10.3f} "
            f"{row['servers']:>8}\n"
        )
    return DONE


def summarize_drains(kind: str, runs: int) -> dict[str, Any]:
    """Summarize the drain delays of several runs during one kind of fault."""
    times = sorted(time for seed in range(1, runs + 1) for time in drain_delays(FAULT_KINDS[kind][0], seed))
    return {
        "trouble": kind,
        "p50_s": quantile(times, 0.5),
        "p99_s": quantile(times, 0.99),
        "longest_s": times[-1] if times else 0.0,
        "servers": len(times),
    }
