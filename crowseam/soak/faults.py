"""What befalls the processes of a soak, in series that overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from crowseam.soak.fleet import Fleet, Process
from crowseam.soak.operator import Operator
from crowseam.soak.servers import StandInServer

SYNC_TIME_S = 4.0  # for which a machine counts as lost after it is back
LEAVE_S = 3.0  # that a server serves on after it has said that it leaves


class Faults:
    """Draws what happens next; several things go on at once."""

    def __init__(self, rng: Random, fleet: Fleet, servers: list[StandInServer], operator: Operator) -> None:
        self.rng = rng
        self.fleet = fleet
        self.servers = servers
        self.operator = operator
        self._busy: set[str] = set()  # processes that something is done to
        self._lost = 0  # controllers that count as lost

    async def run(self, seconds: float) -> None:
        """Do one thing after the other for so long, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks: list[asyncio.Task[None]] = []
        while loop.time() < end:
            tasks.append(loop.create_task(self.rng.choice(self._acts())()))
            await asyncio.sleep(self.rng.expovariate(1.0 / 0.5))
        await asyncio.gather(*tasks)

    def _acts(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._terminate_gateway,
            self._terminate_gateway,
            self._terminate_gateways_in_turn,
            self._kill_gateway,
            self._freeze_gateway,
            self._kill_controller,
            self._terminate_controller,
            self._freeze_controller,
            self._wipe_controller,
            self._kill_all_controllers,
            self._reload,
            self._change,
            self._change,
            self._race,
            self._replace_server,
        ]

    def _take(self, processes: list[Process]) -> Process | None:
        """A process that nothing is done to."""
        free = [each for each in processes if each.name not in self._busy and each.is_up]
        if not free:
            return None
        process = self.rng.choice(free)
        self._busy.add(process.name)
        return process

    def _release(self, process: Process) -> None:
        self._busy.discard(process.name)

    # Gateways

    async def _terminate_gateway(self) -> None:
        process = self._take(self.fleet.gateways)
        if process is not None:
            await self._restart(process)

    async def _restart(self, process: Process) -> None:
        await process.terminate()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await process.start()
        await asyncio.sleep(1.0)
        self._release(process)

    async def _terminate_gateways_in_turn(self) -> None:
        for _ in range(3):
            process = self._take(self.fleet.gateways)
            if process is not None:
                await self._restart(process)

    async def _kill_gateway(self) -> None:
        process = self._take(self.fleet.gateways)
        if process is not None:
            await self._kill(process)

    async def _kill(self, process: Process) -> None:
        await process.kill()
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await process.start()
        await asyncio.sleep(1.0)
        self._release(process)

    async def _freeze_gateway(self) -> None:
        await self._freeze(self.fleet.gateways)

    async def _freeze(self, processes: list[Process]) -> None:
        process = self._take(processes)
        if process is None:
            return
        process.freeze()
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        process.thaw()
        self._release(process)

    # Controllers, one lost at a time

    async def _kill_controller(self) -> None:
        process = self._take(self.fleet.controllers) if not self._lost else None
        if process is not None:
            self._lost += 1
            await self._kill(process)
            self._lost -= 1

    async def _terminate_controller(self) -> None:
        process = self._take(self.fleet.controllers) if not self._lost else None
        if process is not None:
            self._lost += 1
            await self._restart(process)
            await asyncio.sleep(SYNC_TIME_S)
            self._lost -= 1

    async def _freeze_controller(self) -> None:
        if not self._lost:
            self._lost += 1
            await self._freeze(self.fleet.controllers)
            self._lost -= 1

    async def _wipe_controller(self) -> None:
        process = self._take(self.fleet.controllers) if not self._lost else None
        if process is None:
            return
        self._lost += 1
        await process.kill()
        process.wipe()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        await process.start()
        await asyncio.sleep(SYNC_TIME_S)
        self._release(process)
        self._lost -= 1

    async def _kill_all_controllers(self) -> None:
        """All at the same moment; their disks stay."""
        if self._lost or any(each.name in self._busy for each in self.fleet.controllers):
            return
        self._lost += 1
        self._busy.update(each.name for each in self.fleet.controllers)
        await asyncio.gather(*(each.kill() for each in self.fleet.controllers))
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await asyncio.gather(*(each.start() for each in self.fleet.controllers))
        await asyncio.sleep(SYNC_TIME_S)
        self._busy.difference_update(each.name for each in self.fleet.controllers)
        self._lost -= 1

    # Planned work

    async def _reload(self) -> None:
        for process in self.fleet.processes:
            if process.is_up and process.name not in self._busy and self.rng.random() < 0.5:
                process.reload()

    async def _change(self) -> None:
        await self.operator.learn()
        await self.operator.change()

    async def _race(self) -> None:
        await self.operator.learn()
        await self.operator.change(racers=2)

    async def _replace_server(self) -> None:
        server = self.rng.choice(self.servers)
        if server.is_leaving:
            return
        server.is_leaving = True
        for _ in range(10):
            if await server.report():
                break
        await asyncio.sleep(LEAVE_S)
        await server.stop()
        await server.start()
