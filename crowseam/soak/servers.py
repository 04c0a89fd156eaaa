"""Stand-in backend servers of a soak test; they record what they run, and abort or reject some requests.

Some requests with a long body are run, answered, aborted or rejected when only a part of the body has been read.
"""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec

from crowseam.soak import http
from crowseam.soak.fleet import HEARTBEAT_S, Fleet
from crowseam.soak.history import History, Run
from crowseam.soak.requests import REQUEST_KEY_FIELD, request_body

SLOTS = 8
SERVICE = "orders"
ABORT_PROBABILITY, REJECT_PROBABILITY = 0.01, 0.03  # per request
LONG_BODY_BYTES = 64 * 1024  # from this length on a body may be read later than its request is run
EARLY_PROBABILITY, EARLY_ABORT_PROBABILITY = 0.5, 0.1  # per request with a long body; of the early ones
ANSWER_REPEATS = (1, 3, 40)  # of the seal, in the body of an answer
LARGE_ANSWER_REPEATS = 4000  # too large for a gateway to buffer


class _RequestBody:
    """The body of a request, of which a part has been read; it must repeat the request's key (`request_body`)."""

    def __init__(self, reader: http.BodyReader, key: str) -> None:
        self._reader = reader
        self._size = 0
        self._pattern = request_body(key, 1)
        self.is_complete = False
        self.is_intact = True

    @property
    def is_long(self) -> bool:
        """Whether it is, or may be, long."""
        return self._size >= LONG_BODY_BYTES

    async def read_until(self, size: int | None) -> None:
        """Read until so many bytes have been read, or all of it if `size` is None."""
        while not self.is_complete and (size is None or self._size < size):
            part = await self._reader.read_part()
            self.is_complete = not part
            self._check(part)

    def _check(self, part: bytes) -> None:
        offset = self._size % len(self._pattern)
        expected = self._pattern * (len(part) // len(self._pattern) + 2)
        self.is_intact = self.is_intact and expected[offset : offset + len(part)] == part
        self._size += len(part)


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
            while await self._handle_request(reader, writer):
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        first, fields = await http.read_head(reader)
        body = _RequestBody(http.BodyReader(reader, fields), fields.get(REQUEST_KEY_FIELD, ""))
        if first.split()[1] == "/healthz":
            writer.write(http.render("HTTP/1.1 200 OK", {"x-instance": self.instance_id}))
            return True
        is_early = self.rng.random() < EARLY_PROBABILITY
        await body.read_until(LONG_BODY_BYTES if is_early else None)
        attempt = fields.get("x-attempt-id", "")
        response_headers = {
            "x-attempt-id": attempt,
            "x-instance": self.instance_id,
            "x-server-load": self._load_header(),
        }
        run = None
        if fields.get("x-target-instance", self.instance_id) != self.instance_id:
            writer.write(http.render("HTTP/1.1 421 Misdirected Request", response_headers))
        elif self.in_flight >= 3 * SLOTS or self.rng.random() < REJECT_PROBABILITY:
            writer.write(http.render("HTTP/1.1 503 Service Unavailable", response_headers | {"x-not-run": "1"}))
        else:
            run = await self._run(attempt, fields.get("x-op-key", ""), body, response_headers, writer)
            if run.broke_off:
                return False
        try:
            await body.read_until(None)
        finally:
            if run is not None:
                run.is_body_intact = body.is_intact
        return True

    async def _run(
        self,
        attempt: str,
        key: str,
        body: _RequestBody,
        response_headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> Run:
        seal = f"s-{self.instance_id}-{self.rng.getrandbits(48):x}"
        repeats = self.rng.choice((*ANSWER_REPEATS, LARGE_ANSWER_REPEATS) if body.is_long else ANSWER_REPEATS)
        aborts = self.rng.random() < (ABORT_PROBABILITY if body.is_complete else EARLY_ABORT_PROBABILITY)
        answer_body, is_early = f"{seal} " * repeats, not body.is_complete
        run = Run(attempt, key, seal, answer_body, time.monotonic(), aborts, body.is_intact, is_early)
        self.history.runs.append(run)
        self.in_flight += 1
        try:
            await asyncio.sleep(self.rng.choice((0.005, 0.02, 0.02, 0.1, 0.3)))
        finally:
            self.in_flight -= 1
        answer = response_headers | {"x-server-seal": seal, "x-server-load": self._load_header()}
        data = http.render("HTTP/1.1 200 OK", answer, answer_body.encode())
        if aborts:
            writer.write(data[: self.rng.choice((0, 50, len(data) // 2))])
            writer.transport.abort()
        else:
            writer.write(data)
        return run

    def _load_header(self) -> str:
        return f"{min(self.in_flight, SLOTS)},{max(0, self.in_flight - SLOTS)},{SLOTS}"
