"""How soon the controllers' failure detection tells, and how often it errs, by kind of trouble.

One controller's machine is hit.  Each 20 ms every other controller is asked what it takes the one for; the
daemons' own detectors answer, fed by the daemons' own pings over the simulated links.
"""

from __future__ import annotations

import sys
from typing import Any

from crowseam.cli.errors import BAD_INPUT, DONE
from crowseam.simulator.metrics import quantile
from crowseam.simulator.scenario.day import build
from crowseam.simulator.simulation import Simulation

STEP = 0.02  # s between two looks
SPAN = 3.0  # s that a trouble lasts
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
    told = {
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
        told["faults"] = [{"at": at, "target": HIT, "span": SPAN, **fault}]
    return build(told)


def watch(kind: str, seed: int) -> dict[str, Any]:
    """One run: when each other controller first took the one hit for dead, and looks at it that were wrong.

    Times in s from the trouble's begin; `wrong` are looks at a controller that was well and was taken for dead,
    of `looks` in all; `missed` counts controllers that never took one for dead that should have been.
    """
    fault, dead = KINDS[kind]
    at = 2.0 + 0.1 * (seed % 10)
    simulation = Simulation(_day(fault, at), seed)
    begins, ends = simulation.begins + at, simulation.begins + at + SPAN
    by_addr = {machine.ctl: machine for machine in simulation.control}
    found: dict[str, float] = {}
    told = {"wrong": 0, "looks": 0}

    def look() -> None:
        now = simulation.world.now
        if now >= ends + 2.0:
            return
        for machine in simulation.control:
            daemon, process = machine.daemons.get("controller"), machine.processes.get("controller")
            if machine.name == HIT or daemon is None or process.frozen:
                continue
            simulation.world.enter(process)
            own = daemon.now()
            for addr, other in by_addr.items():
                if addr == machine.ctl:
                    continue
                state = daemon.peers.detector.state(addr, own)
                hit = other.name == HIT and begins <= now <= ends + 1.0
                if hit and dead:
                    if state == "dead" and now <= ends:
                        found.setdefault(machine.name, now - begins)
                elif simulation.begins <= now:
                    told["looks"] += 1
                    told["wrong"] += state == "dead"
        simulation.world.enter(simulation.world.outside)
        simulation.later(STEP, look)

    simulation.later(simulation.begins, look)
    simulation.run()
    missed = len(simulation.control) - 1 - len(found) if dead else 0
    return {"found": list(found.values()), "missed": missed, **told}


def summary(kind: str, runs: int) -> dict[str, Any]:
    """Of so many runs: median and longest time to tell (s), how many never did, the part of wrong looks."""
    done = [watch(kind, seed) for seed in range(1, runs + 1)]
    times = sorted(time for one in done for time in one["found"])
    looks = sum(one["looks"] for one in done)
    return {
        "trouble": kind,
        "p50_s": quantile(times, 0.5),
        "longest_s": times[-1] if times else 0.0,
        "missed": sum(one["missed"] for one in done),
        "wrong_part": sum(one["wrong"] for one in done) / looks if looks else 0.0,
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


def detection(args: dict[str, Any]) -> int:
    """`crowseam detection`: print the summary of every kind, and how soon gateways leave servers that go."""
    try:
        runs = int(args["--runs"])
    except ValueError:
        runs = 0
    if not 0 < runs <= 1000:
        print(f"crowseam: --runs: {args['--runs']!r} is not a number from 1 to 1000", file=sys.stderr)
        return BAD_INPUT
    rows = [summary(kind, runs) for kind in KINDS]
    left = []
    for kind in LETTING:
        times = sorted(time for seed in range(1, runs + 1) for time in letting_go(KINDS[kind][0], seed))
        left.append(
            {
                "trouble": kind,
                "p50_s": quantile(times, 0.5),
                "p99_s": quantile(times, 0.99),
                "longest_s": times[-1] if times else 0.0,
                "servers": len(times),
            }
        )
    if args["--json"]:
        import json

        print(json.dumps({"detection": rows, "letting_go": left}))
        return DONE
    print(f"{'trouble':<36} {'p50 s':>7} {'longest s':>10} {'missed':>7} {'well, taken for dead':>21}")
    for row in rows:
        print(
            f"{row['trouble']:<36} {row['p50_s']:>7.2f} {row['longest_s']:>10.2f} {row['missed']:>7} "
            f"{row['wrong_part']:>20.4%}"
        )
    print(f"\n{'a server leaves; a controller is':<36} {'p50 s':>7} {'p99 s':>7} {'most':>10} {'servers':>8}")
    for row in left:
        print(
            f"{row['trouble']:<36} {row['p50_s']:>7.3f} {row['p99_s']:>7.3f} {row['longest_s']:>10.3f} "
            f"{row['servers']:>8}"
        )
    return DONE
