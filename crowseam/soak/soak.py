"""Runs one soak test: starts a fleet, injects faults under load, lets it recover, and checks the history."""

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
from crowseam.soak.faults import FaultInjector
from crowseam.soak.fleet import Fleet
from crowseam.soak.history import History
from crowseam.soak.judge import RECOVERY_TIME_S, violations
from crowseam.soak.operator import Operator
from crowseam.soak.servers import StandInServer

SERVER_COUNT = 6
QUIET_PERIOD_S = RECOVERY_TIME_S + 3.0
READY_TIMEOUT_S = 30.0  # after the start


class Plan(msgspec.Struct, frozen=True):
    """Size and duration of a soak test. `network`: second octet of its loopback addresses."""

    machines: int = 4
    controllers: int = 3
    clients: int = 24
    seconds: float = 10.0
    network: int = 64


class Result(msgspec.Struct):
    """Summary of a soak test."""

    seed: int
    violations: list[str]
    statuses: dict[int, int]
    runs: int
    early_runs: int  # which began before the whole request was read
    acts: dict[str, int]
    repeats: int  # calls for operations that had already succeeded
    folder: str = ""  # with its logs and history, if they were kept


async def soak(seed: int, plan: Plan, folder: Path) -> History:
    """Run a soak test and return its history; data and logs go into `folder`."""
    history = History(seed)
    rng = Random(f"soak/{seed}")
    fleet = Fleet(plan.machines, plan.controllers, plan.network, folder, history)
    host = f"127.{plan.network}.9"
    servers = [
        StandInServer(number, f"{host}.{number + 1}", Random(f"server/{seed}/{number}"), fleet, history)
        for number in range(SERVER_COUNT)
    ]
    operator = Operator(Random(f"operator/{seed}"), fleet, history)
    ready: set[str] = set()
    clients = [
        Client(number, Random(f"client/{seed}/{number}"), fleet, ready, history) for number in range(plan.clients)
    ]
    loop = asyncio.get_running_loop()
    readiness_task = loop.create_task(watch_readiness(fleet, ready))
    try:
        await fleet.start()
        await asyncio.gather(*(server.start() for server in servers))
        await operator.apply_first_configuration()
        await _wait_until_ready(fleet, ready)
        client_tasks = [loop.create_task(client.run()) for client in clients]
        await FaultInjector(rng, fleet, servers, operator).run(plan.seconds)
        history.calm_since = time.monotonic()
        await asyncio.sleep(QUIET_PERIOD_S)
        for client in clients:
            client.is_stopping = True
        await asyncio.gather(*client_tasks)
        history.final_version = await operator.read_version()
    finally:
        readiness_task.cancel()
        for server in servers:
            await server.stop()
        await fleet.stop()
    return history


async def _wait_until_ready(fleet: Fleet, ready: set[str]) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while len(ready) < len(fleet.gateways) and time.monotonic() < deadline:
        await asyncio.sleep(0.1)


def run(seed: int, plan: Plan, keep: Path | None = None) -> Result:
    """Run a soak test and check it. Logs and history are moved to `keep` if a guarantee was violated."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    history = asyncio.run(soak(seed, plan, folder))
    found_violations = violations(history)
    answered: set[str] = set()
    repeats = 0
    for call in history.calls:
        repeats += call.key in answered
        if call.status == 200:
            answered.add(call.key)
    result = Result(
        seed,
        found_violations,
        dict(Counter(call.status for call in history.calls)),
        len(history.runs),
        sum(run.is_early for run in history.runs),
        dict(Counter(event.act.value for event in history.events)),
        repeats,
    )
    if found_violations and keep is not None:
        (folder / "history.json").write_bytes(msgspec.json.encode(history))
        kept_folder = keep / f"seed-{seed}"
        shutil.rmtree(kept_folder, ignore_errors=True)
        shutil.move(folder, kept_folder)
        result.folder = str(kept_folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return result
