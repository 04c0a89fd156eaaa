"""Stand-in servers of a soak. What they run is in the history, and some of it goes wrong."""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec

from crowseam.soak import http
from crowseam.soak.fleet import HEARTBEAT_S, Fleet
from crowseam.soak.history import History, Run

SLOTS = 8
SERVICE = "orders"
BREAK_OFF, TURN_AWAY = 0.01, 0.03  # parts of the requests


class StandInServer:
    """One server: runs requests, reports to the controllers, and at times leaves and is replaced."""

    def __init__(self, number: int, ip: str, rng: Random, fleet: Fleet, history: History) -> None:
        self.number = number
        self.ip = ip
        self.rng = rng
        self.fleet = fleet
        self.history = history
        self.running = 0
        self.life = 0
        self.is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def identity(self) -> str:
        """Its id in this life."""
        return f"i-{self.number}-{self.life}"

    async def start(self) -> None:
        """Listen, and report."""
        self.life += 1
        self.is_leaving = False
        self._seq = 0
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.get_running_loop().create_task(self._report())

    async def stop(self) -> None:
        """End at once."""
        self._beat.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _report(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self) -> bool:
        """Report to some controller; whether one has acknowledged."""
        self._seq += 1
        body = msgspec.json.encode(
            {
                "addr": f"{self.ip}:{self.port}",
                "summary": {"svc": SERVICE, "ver": "v1", "az": f"zone-{self.number % 3}", "slots": SLOTS},
                "stat": {"phase": "draining" if self.is_leaving else "up", "seq": self._seq, "warmup_time": "0ms"},
            }
        )
        for process in self.rng.sample(self.fleet.controllers, len(self.fleet.controllers)):
            answer = await http.call(process.address("ctl"), "PUT", f"/-/backends/{self.identity}", body)
            if answer is not None and answer.status == 200:
                return True
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._answer(await http.read(reader), writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: http.Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; whether the connection stays."""
        fields = request.fields
        if request.first.split()[1] == "/healthz":
            writer.write(http.render("HTTP/1.1 200 OK", {"x-instance": self.identity}))
            return True
        attempt = fields.get("x-attempt-id", "")
        echo = {"x-attempt-id": attempt, "x-instance": self.identity, "x-server-load": self._load()}
        if fields.get("x-target-instance", self.identity) != self.identity:
            writer.write(http.render("HTTP/1.1 421 Misdirected Request", echo))
            return True
        if self.running >= 3 * SLOTS or self.rng.random() < TURN_AWAY:
            writer.write(http.render("HTTP/1.1 503 Service Unavailable", echo | {"x-not-run": "1"}))
            return True
        return await self._run(attempt, fields.get("x-op-key", ""), echo, writer)

    async def _run(self, attempt: str, key: str, echo: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        seal = f"s-{self.identity}-{self.rng.getrandbits(48):x}"
        body = f"{seal} " * self.rng.choice((1, 3, 40))
        broke_off = self.rng.random() < BREAK_OFF
        self.history.runs.append(Run(attempt, key, seal, body, time.monotonic(), broke_off))
        self.running += 1
        try:
            await asyncio.sleep(self.rng.choice((0.005, 0.02, 0.02, 0.1, 0.3)))
        finally:
            self.running -= 1
        if broke_off:
            writer.transport.abort()
            return False
        answer = echo | {"x-server-seal": seal, "x-server-load": self._load()}
        writer.write(http.render("HTTP/1.1 200 OK", answer, body.encode()))
        return True

    def _load(self) -> str:
        return f"{min(self.running, SLOTS)},{max(0, self.running - SLOTS)},{SLOTS}"
