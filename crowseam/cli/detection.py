"""Latency and errors of the controllers' failure detection, by kind of fault.

One controller's machine is hit.  Each 20 ms every other controller is asked what it takes the one for; the
daemons' own detectors answer, fed by the daemons' own pings over the simulated links.
"""

from __future__ import annotations

from typing import Any

from msgspec import Struct

from crowseam.cli.console import Args, print_json, print_text
from crowseam.cli.errors import DONE, BadInputError
from crowseam.simulator.metrics import quantile
from crowseam.simulator.scenario.day import build
from crowseam.simulator.simulation import Simulation

STEP = 0.02  # s between two looks
SPAN = 3.0  # s that a trouble lasts
AFTER = 2.0  # s that the detectors are looked at after it
RECOVERY = 1.0  # s after it in which the one hit may still be taken for dead
FIRST_TROUBLE, TROUBLE_STEP, TROUBLE_STEPS = 2.0, 0.1, 10  # s after the load's begin, by seed
RUNS_MOST = 1000
HIT = "annex-1"  # the machine that is hit
# What is done to it, and whether the others are right to take it for dead.
KINDS: dict[str, tuple[dict[str, Any] | None, bool]] = {
    "none": (None, False),
    "killed": ({"kind": "kill", "role": "controller"}, True),
    "without power": ({"kind": "power"}, True),
    "cut off": ({"kind": "cut"}, True),
    "frozen": ({"kind": "freeze", "role": "controller"}, True),
    "8 times slower": ({"kind": "slow", "amount": 8.0}, False),
    "a link 0.2 s slower that loses 5%": ({"kind": "link", "amount": 0.2}, False),
}
LETTING = ("none", "killed", "without power", "cut off")  # of these, while servers leave


def _day(fault: dict[str, Any] | None, at: float) -> Any:
    zone = {"machines": 2, "controllers": 2}
    values = {
        "name": "detection",
        "length": at + SPAN + 3.0,
        "after": 0.5,
        "deployment": {
            "zones": [{"name": name, **zone} for name in ("ground", "gallery", "annex")],
            "services": [{"name": "lookups", "servers": 3}],
            "routes": [{"name": "look-up", "svc": "lookups", "rate": 5.0}],
        },
    }
    if fault is not None:
        values["faults"] = [{"at": at, "target": HIT, "span": SPAN, **fault}]
    return build(values)


class Watched(Struct):
    """What one run has shown of the controllers' detectors."""

    found: dict[str, float] = {}  # controllers, by when (s from the trouble's begin) they took the one hit for dead
    missed: int = 0  # controllers that never took one for dead that should have been
    looks: int = 0  # at controllers that were well
    wrong: int = 0  # of these, looks at one that was taken for dead


class Watch:
    """One run of a kind of trouble, with a look at all detectors each STEP s."""

    def __init__(self, kind: str, seed: int) -> None:
        fault, self.dead = KINDS[kind]
        at = FIRST_TROUBLE + TROUBLE_STEP * (seed % TROUBLE_STEPS)
        self.simulation = Simulation(_day(fault, at), seed)
        self.begins = self.simulation.begins + at
        self.ends = self.begins + SPAN
        self.watched = Watched()

    def run(self) -> Watched:
        """Play it."""
        self.simulation.later(self.simulation.begins, self._look)
        self.simulation.run()
        if self.dead:
            self.watched.missed = len(self.simulation.control) - 1 - len(self.watched.found)
        return self.watched

    def _look(self) -> None:
        world = self.simulation.world
        if world.now >= self.ends + AFTER:
            return
        for machine in self.simulation.control:
            daemon, process = machine.daemons.get("controller"), machine.processes.get("controller")
            if machine.name == HIT or daemon is None or process.frozen:
                continue
            world.enter(process)
            now = daemon.now()
            for other in self.simulation.control:
                if other is not machine:
                    self._note(machine.name, other.name, daemon.peers.detector.state(other.ctl, now))
        world.enter(world.outside)
        self.simulation.later(STEP, self._look)

    def _note(self, observer: str, observed: str, state: str) -> None:
        """Note what one controller takes another for."""
        now = self.simulation.world.now
        hit = observed == HIT and self.begins <= now <= self.ends + RECOVERY
        if hit and self.dead:
            if state == "dead" and now <= self.ends:
                self.watched.found.setdefault(observer, now - self.begins)
        elif self.simulation.begins <= now:
            self.watched.looks += 1
            self.watched.wrong += state == "dead"


def summary(kind: str, runs: int) -> dict[str, Any]:
    """Of so many runs: median and longest detection time (s), how many never detected it, the part of wrong looks."""
    done = [Watch(kind, seed).run() for seed in range(1, runs + 1)]
    times = sorted(time for one in done for time in one.found.values())
    looks = sum(one.looks for one in done)
    return {
        "trouble": kind,
        "p50_s": quantile(times, 0.5),
        "longest_s": times[-1] if times else 0.0,
        "missed": sum(one.missed for one in done),
        "wrong_part": sum(one.wrong for one in done) / looks if looks else 0.0,
    }


def letting_go(fault: dict[str, Any] | None, seed: int) -> list[float]:
    """One run: s from the acknowledgement of each server that leaves until the last gateway in touch left it.

    Negative where all gateways knew before it went out.  Three servers of a dozen leave while `fault` lasts.
    """
    day = _day(fault, 2.0)
    day.deployment.services[0].servers = 12
    simulation = Simulation(day, seed)
    leaving: dict[str, float] = {}  # server -> when the last gateway had left it

    def drain() -> None:
        for server in list(simulation.servers.values())[seed % 4 :: 4]:
            server.drain()
            leaving[server.id] = -1.0
        look()

    def look() -> None:
        now = simulation.world.now
        gateways = [
            machine.daemons["gateway"].gateway
            for machine in simulation.machines
            if "gateway" in machine.daemons and not (fault and machine.name == HIT)
        ]
        for ident, known_at in leaving.items():
            if known_at < 0.0 and not any(
                ident in gateway.balancer.servers and gateway.balancer.servers[ident].usable for gateway in gateways
            ):
                leaving[ident] = now
        if now < simulation.begins + 4.0:
            simulation.later(0.001, look)

    simulation.later(simulation.begins + 2.05, drain)
    simulation.run()
    return [leaving[ident] - acked for ident, (acked, _) in simulation.judge.drains.items() if ident in leaving]


def detection(args: Args) -> int:
    """`crowseam detection`: print the summary of every kind, and how soon gateways leave servers that go."""
    runs = int(args["--runs"]) if args["--runs"].isdigit() else 0
    if not 0 < runs <= RUNS_MOST:
        raise BadInputError("--runs", f"{args['--runs']!r} is not a number from 1 to {RUNS_MOST}")
    rows = [summary(kind, runs) for kind in KINDS]
    left = [summary_of_leaving(kind, runs) for kind in LETTING]
    if args["--json"]:
        print_json({"detection": rows, "letting_go": left})
        return DONE
    print_text(f"{'trouble':<36} {'p50 s':>7} {'longest s':>10} {'missed':>7} {'well, taken for dead':>21}\n")
    for row in rows:
        print_text(
            f"{row['trouble']:<36} {row['p50_s']:>7.2f} {row['longest_s']:>10.2f} {row['missed']:>7} "
            f"{row['wrong_part']:>20.4%}\n"
        )
    print_text(f"\n{'a server leaves; a controller is':<36} {'p50 s':>7} {'p99 s':>7} {'most':>10} {'servers':>8}\n")
    for row in left:
        print_text(
            f"{row['trouble']:<36} {row['p50_s']:>7.3f} {row['p99_s']:>7.3f} {row['longest_s']:>10.3f} "
            f"{row['servers']:>8}\n"
        )
    return DONE


def summary_of_leaving(kind: str, runs: int) -> dict[str, Any]:
    """Of so many runs: how soon (s) gateways leave servers that go, while the trouble lasts."""
    times = sorted(time for seed in range(1, runs + 1) for time in letting_go(KINDS[kind][0], seed))
    return {
        "trouble": kind,
        "p50_s": quantile(times, 0.5),
        "p99_s": quantile(times, 0.99),
        "longest_s": times[-1] if times else 0.0,
        "servers": len(times),
    }
