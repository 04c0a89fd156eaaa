"""One soak: a fleet is started, used, troubled, left in calm, read back and judged."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import msgspec

from crowseam.soak.clients import Client, watch_readiness
from crowseam.soak.faults import Faults
from crowseam.soak.fleet import Fleet
from crowseam.soak.history import History
from crowseam.soak.judge import CALM_AFTER_S, violations
from crowseam.soak.operator import Operator
from crowseam.soak.servers import StandInServer

SERVERS = 6
CALM_S = CALM_AFTER_S + 3.0
READY_AFTER_S = 30.0  # from the start, at the most


class Plan(msgspec.Struct, frozen=True):
    """How large and how long a soak is. `network`: the second number of its loopback addresses."""

    machines: int = 4
    controllers: int = 3
    clients: int = 24
    seconds: float = 10.0
    network: int = 64


class Result(msgspec.Struct):
    """What came of a soak."""

    seed: int
    violations: list[str]
    statuses: dict[int, int]
    runs: int
    acts: dict[str, int]
    repeats: int  # tries of operations that had been answered before
    folder: str = ""  # where its logs and history are, if they were kept


async def soak(seed: int, plan: Plan, folder: Path) -> History:
    """Play a soak; its files and logs go into `folder`."""
    history = History(seed)
    rng = Random(f"soak/{seed}")
    fleet = Fleet(plan.machines, plan.controllers, plan.network, folder, history)
    host = f"127.{plan.network}.9"
    servers = [
        StandInServer(number, f"{host}.{number + 1}", Random(f"server/{seed}/{number}"), fleet, history)
        for number in range(SERVERS)
    ]
    operator = Operator(Random(f"operator/{seed}"), fleet, history)
    ready: set[str] = set()
    clients = [
        Client(number, Random(f"client/{seed}/{number}"), fleet, ready, history) for number in range(plan.clients)
    ]
    loop = asyncio.get_running_loop()
    watching = loop.create_task(watch_readiness(fleet, ready))
    try:
        await fleet.start()
        await asyncio.gather(*(server.start() for server in servers))
        await operator.begin()
        await _until_ready(fleet, ready)
        running = [loop.create_task(client.run()) for client in clients]
        await Faults(rng, fleet, servers, operator).run(plan.seconds)
        history.calm_since = time.monotonic()
        await asyncio.sleep(CALM_S)
        for client in clients:
            client.is_stopping = True
        await asyncio.gather(*running)
        history.final_version = await operator.read()
    finally:
        watching.cancel()
        for server in servers:
            await server.stop()
        await fleet.stop()
    return history


async def _until_ready(fleet: Fleet, ready: set[str]) -> None:
    end = time.monotonic() + READY_AFTER_S
    while len(ready) < len(fleet.gateways) and time.monotonic() < end:
        await asyncio.sleep(0.1)


def run(seed: int, plan: Plan, keep: Path | None = None) -> Result:
    """Play a soak and judge it. Its logs and history stay in `keep` if a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    history = asyncio.run(soak(seed, plan, folder))
    found = violations(history)
    answered: set[str] = set()
    repeats = 0
    for call in history.calls:
        repeats += call.key in answered
        if call.status == 200:
            answered.add(call.key)
    result = Result(
        seed,
        found,
        dict(Counter(call.status for call in history.calls)),
        len(history.runs),
        dict(Counter(event.act.value for event in history.events)),
        repeats,
    )
    if found and keep is not None:
        (folder / "history.json").write_bytes(msgspec.json.encode(history))
        target = keep / f"seed-{seed}"
        shutil.rmtree(target, ignore_errors=True)
        shutil.move(folder, target)
        result.folder = str(target)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return result
