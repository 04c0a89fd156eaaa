"""Injects faults, planned restarts and configuration changes into a running fleet; they may overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from crowseam.soak.fleet import Fleet, Process
from crowseam.soak.operator import Operator
from crowseam.soak.servers import StandInServer

SYNC_TIME_S = 4.0  # for which a restarted machine still counts as lost, while it catches up
DRAIN_S = 3.0  # for which a server keeps serving after it has announced that it leaves


class FaultInjector:
    """Starts randomly chosen faults; at most one controller counts as lost at a time."""

    def __init__(self, rng: Random, fleet: Fleet, servers: list[StandInServer], operator: Operator) -> None:
        self.rng = rng
        self.fleet = fleet
        self.servers = servers
        self.operator = operator
        self._reserved: set[str] = set()  # names of processes that a fault is using
        self._lost_controllers = 0  # number of controllers that count as lost

    async def run(self, seconds: float) -> None:
        """Start faults at random intervals for `seconds`, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < end:
            tasks.append(loop.create_task(self.rng.choice(self._fault_actions())()))
            await asyncio.sleep(self.rng.expovariate(1.0 / 0.5))
        await asyncio.gather(*tasks)

    def _fault_actions(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._restart_gateway,
            self._restart_gateway,
            self._rolling_restart_of_gateways,
            self._kill_gateway,
            self._freeze_gateway,
            self._kill_controller,
            self._restart_controller,
            self._freeze_controller,
            self._wipe_controller,
            self._kill_all_controllers,
            self._reload_processes,
            self._change_configuration,
            self._change_configuration,
            self._send_concurrent_changes,
            self._replace_server,
        ]

    def _reserve(self, processes: list[Process]) -> Process | None:
        """Pick a running process that no other fault uses, and reserve it."""
        available = [each for each in processes if each.name not in self._reserved and each.is_up]
        if not available:
            return None
        process = self.rng.choice(available)
        self._reserved.add(process.name)
        return process

    def _release(self, process: Process) -> None:
        self._reserved.discard(process.name)

    # Gateways

    async def _restart_gateway(self) -> None:
        process = self._reserve(self.fleet.gateways)
        if process is not None:
            await self._terminate_and_restart(process)

    async def _terminate_and_restart(self, process: Process) -> None:
        await process.terminate()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await process.start()
        await asyncio.sleep(1.0)
        self._release(process)

    async def _rolling_restart_of_gateways(self) -> None:
        for _ in range(3):
            process = self._reserve(self.fleet.gateways)
            if process is not None:
                await self._terminate_and_restart(process)

    async def _kill_gateway(self) -> None:
        process = self._reserve(self.fleet.gateways)
        if process is not None:
            await self._kill_and_restart(process)

    async def _kill_and_restart(self, process: Process) -> None:
        await process.kill()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await process.start()
        await asyncio.sleep(1.0)
        self._release(process)

    async def _freeze_gateway(self) -> None:
        await self._freeze_and_thaw(self.fleet.gateways)

    async def _freeze_and_thaw(self, processes: list[Process]) -> None:
        process = self._reserve(processes)
        if process is None:
            return
        process.freeze()
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        process.thaw()
        self._release(process)

    # Controllers, one lost at a time

    async def _kill_controller(self) -> None:
        process = self._reserve(self.fleet.controllers) if not self._lost_controllers else None
        if process is not None:
            self._lost_controllers += 1
            await self._kill_and_restart(process)
            self._lost_controllers -= 1

    async def _restart_controller(self) -> None:
        process = self._reserve(self.fleet.controllers) if not self._lost_controllers else None
        if process is not None:
            self._lost_controllers += 1
            await self._terminate_and_restart(process)
            await asyncio.sleep(SYNC_TIME_S)
            self._lost_controllers -= 1

    async def _freeze_controller(self) -> None:
        if not self._lost_controllers:
            self._lost_controllers += 1
            await self._freeze_and_thaw(self.fleet.controllers)
            self._lost_controllers -= 1

    async def _wipe_controller(self) -> None:
        process = self._reserve(self.fleet.controllers) if not self._lost_controllers else None
        if process is None:
            return
        self._lost_controllers += 1
        await process.kill()
        process.wipe()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await process.start()
        await asyncio.sleep(SYNC_TIME_S)
        self._release(process)
        self._lost_controllers -= 1

    async def _kill_all_controllers(self) -> None:
        """Kill all controllers at the same moment; their disks remain."""
        if self._lost_controllers or any(each.name in self._reserved for each in self.fleet.controllers):
            return
        self._lost_controllers += 1
        self._reserved.update(each.name for each in self.fleet.controllers)
        await asyncio.gather(*(each.kill() for each in self.fleet.controllers))
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await asyncio.gather(*(each.start() for each in self.fleet.controllers))
        await asyncio.sleep(SYNC_TIME_S)
        self._reserved.difference_update(each.name for each in self.fleet.controllers)
        self._lost_controllers -= 1

    # Planned operations

    async def _reload_processes(self) -> None:
        for process in self.fleet.processes:
            if process.is_up and process.name not in self._reserved and self.rng.random() < 0.5:
                process.reload()

    async def _change_configuration(self) -> None:
        await self.operator.refresh_version()
        await self.operator.change()

    async def _send_concurrent_changes(self) -> None:
        await self.operator.refresh_version()
        await self.operator.change(concurrent=2)

    async def _replace_server(self) -> None:
        server = self.rng.choice(self.servers)
        if server.is_leaving:
            return
        server.is_leaving = True
        for _ in range(10):
            if await server.send_heartbeat():
                break
        await asyncio.sleep(DRAIN_S)
        await server.stop()
        await server.start()
