"""Stand-in backend servers of a soak test; they record what they run, and abort or reject some requests."""

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
ABORT_PROBABILITY, REJECT_PROBABILITY = 0.01, 0.03  # per request


class StandInServer:
    """A server that runs requests and sends heartbeats; each restart gets a new instance id."""

    def __init__(self, number: int, ip: str, rng: Random, fleet: Fleet, history: History) -> None:
        self.number = number
        self.ip = ip
        self.rng = rng
        self.fleet = fleet
        self.history = history
        self.in_flight = 0
        self.incarnation = 0
        self.is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def instance_id(self) -> str:
        """Id of the current incarnation."""
        return f"i-{self.number}-{self.incarnation}"

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        self.incarnation += 1
        self.is_leaving = False
        self._heartbeat_seq = 0
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._heartbeat_loop())

    async def stop(self) -> None:
        """Stop at once, cancelling the requests in flight."""
        self._heartbeat_task.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _heartbeat_loop(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self) -> bool:
        """Send a heartbeat to the controllers in random order; return whether one acknowledged it."""
        self._heartbeat_seq += 1
        body = msgspec.json.encode(
            {
                "addr": f"{self.ip}:{self.port}",
                "summary": {"svc": SERVICE, "ver": "v1", "az": f"zone-{self.number % 3}", "slots": SLOTS},
                "stat": {
                    "phase": "draining" if self.is_leaving else "up",
                    "seq": self._heartbeat_seq,
                    "warmup_time": "0ms",
                },
            }
        )
        for process in self.rng.sample(self.fleet.controllers, len(self.fleet.controllers)):
            answer = await http.call(process.address("ctl"), "PUT", f"/-/backends/{self.instance_id}", body)
            if answer is not None and answer.status == 200:
                return True
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._handle_request(await http.read(reader), writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle_request(self, request: http.Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        fields = request.fields
        if request.first.split()[1] == "/healthz":
            writer.write(http.render("HTTP/1.1 200 OK", {"x-instance": self.instance_id}))
            return True
        attempt = fields.get("x-attempt-id", "")
        response_headers = {
            "x-attempt-id": attempt,
            "x-instance": self.instance_id,
            "x-server-load": self._load_header(),
        }
        if fields.get("x-target-instance", self.instance_id) != self.instance_id:
            writer.write(http.render("HTTP/1.1 421 Misdirected Request", response_headers))
            return True
        if self.in_flight >= 3 * SLOTS or self.rng.random() < REJECT_PROBABILITY:
            writer.write(http.render("HTTP/1.1 503 Service Unavailable", response_headers | {"x-not-run": "1"}))
            return True
        return await self._run(attempt, fields.get("x-op-key", ""), response_headers, writer)

    async def _run(
        self, attempt: str, key: str, response_headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        seal = f"s-{self.instance_id}-{self.rng.getrandbits(48):x}"
        body = f"{seal} " * self.rng.choice((1, 3, 40))
        aborts = self.rng.random() < ABORT_PROBABILITY
        self.history.runs.append(Run(attempt, key, seal, body, time.monotonic(), aborts))
        self.in_flight += 1
        try:
            await asyncio.sleep(self.rng.choice((0.005, 0.02, 0.02, 0.1, 0.3)))
        finally:
            self.in_flight -= 1
        if aborts:
            writer.transport.abort()
            return False
        answer = response_headers | {"x-server-seal": seal, "x-server-load": self._load_header()}
        writer.write(http.render("HTTP/1.1 200 OK", answer, body.encode()))
        return True

    def _load_header(self) -> str:
        return f"{min(self.in_flight, SLOTS)},{max(0, self.in_flight - SLOTS)},{SLOTS}"
