"""HTTP clients of a soak test: each reuses its connection until the gateway closes it, and retries failures."""

from __future__ import annotations

import asyncio
import time
from random import Random

from crowseam.soak import http
from crowseam.soak.fleet import Fleet, Process
from crowseam.soak.history import DISCONNECTED, TIMED_OUT, Call, History, Kind
from crowseam.soak.requests import REQUEST_KEY_FIELD, request_body

HOST = "soak.example"
PATHS = {Kind.SAFE: "/menu/1", Kind.UNSAFE: "/pay/1", Kind.KEYED: "/orders/1"}
REQUEST_MIX = (Kind.SAFE, Kind.UNSAFE, Kind.KEYED, Kind.KEYED)
REQUEST_TIMEOUT_S = 2.5
MAX_ATTEMPTS = 4
NOT_RUN_STATUSES = (429, 503, 408, 421)  # these guarantee that no server ran the request
MEAN_PAUSE_S = 0.08  # between two requests of a client
LARGE_BODY_PROBABILITY = 0.1  # of requests that have a body
LARGE_BODY_BYTES = 200 * 1024  # too large for a gateway to buffer
LARGE_BODY_PIECES = 10
PIECE_PAUSE_S = 0.01
CONNECT_TIMEOUT_S = 0.5


class Client:
    """A client that sends its requests in sequence, over one connection at a time."""

    def __init__(self, number: int, rng: Random, fleet: Fleet, ready: set[str], history: History) -> None:
        self.number = number
        self.rng = rng
        self.fleet = fleet
        self.ready = ready  # names of the gateways that accept new connections
        self.history = history
        self.is_stopping = False
        self._request_count = 0
        self._gateway: Process | None = None
        self._incarnation = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests in sequence until `is_stopping` is set."""
        while not self.is_stopping:
            kind = self.rng.choice(REQUEST_MIX)
            self._request_count += 1
            key = f"k-{self.number}-{self._request_count}"
            body = self._choose_body(kind, key)
            await self._send_request(kind, key, body)
            if kind is Kind.KEYED and self.rng.random() < 0.15:
                self._close()  # repeats the operation, most likely through another gateway
                await self._send_request(kind, key, body, max_attempts=1)
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))
        self._close()

    def _choose_body(self, kind: Kind, key: str) -> bytes:
        if kind is Kind.SAFE:
            return b""
        is_large = self.rng.random() < LARGE_BODY_PROBABILITY
        return request_body(key, LARGE_BODY_BYTES if is_large else 1)

    async def _send_request(self, kind: Kind, key: str, body: bytes, max_attempts: int = MAX_ATTEMPTS) -> None:
        for number in range(max_attempts):
            call = await self._send_attempt(kind, key, body)
            if call is None:
                continue
            self.history.calls.append(call)
            if call.status == 200 or (kind is Kind.UNSAFE and call.status not in NOT_RUN_STATUSES):
                return
            await asyncio.sleep(self.rng.uniform(0.02, 0.1) * 2**number)

    async def _send_attempt(self, kind: Kind, key: str, body: bytes) -> Call | None:
        """Send one attempt and return its outcome, or None if no gateway could be connected to."""
        if not await self._ensure_connected():
            return None
        assert self._gateway is not None
        assert self._reader is not None
        assert self._writer is not None
        attempt = f"a-{self.number}-{self._request_count}-{self.rng.getrandbits(40):x}"
        fields = {"host": HOST, "x-attempt-id": attempt, "x-time-left": str(int(REQUEST_TIMEOUT_S * 1000))}
        fields[REQUEST_KEY_FIELD] = key
        if kind is Kind.KEYED:
            fields["x-op-key"] = key
        method = "GET" if kind is Kind.SAFE else "POST"
        call = Call(attempt, kind, key, self._gateway.name, self._incarnation, time.monotonic(), 0.0, DISCONNECTED)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S + 1.0):
                answer = await self._exchange(f"{method} {PATHS[kind]} HTTP/1.1", fields, body)
            call.status = answer.status
            call.answer_attempt = answer.fields.get("x-attempt-id", "")
            call.seal = answer.fields.get("x-server-seal", "")
            call.body = answer.body.decode()
            if answer.fields.get("connection", "").lower() == "close":
                self._close()
        except TimeoutError:
            call.status = TIMED_OUT
            self._close()
        except (OSError, EOFError):
            self._close()
        call.ended_at = time.monotonic()
        return call

    async def _exchange(self, first: str, fields: dict[str, str], body: bytes) -> http.Message:
        """Send a request and read its response, which may come before the whole body was sent."""
        assert self._reader is not None
        assert self._writer is not None
        if len(body) < LARGE_BODY_BYTES:
            self._writer.write(http.render(first, fields, body))
            return await http.read(self._reader)
        sending = asyncio.create_task(self._send_in_pieces(self._writer, first, fields, body))
        try:
            return await http.read(self._reader)
        finally:
            if not sending.done():
                sending.cancel()
                self._close()  # the rest of the body will not be sent
            await asyncio.gather(sending, return_exceptions=True)

    async def _send_in_pieces(
        self, writer: asyncio.StreamWriter, first: str, fields: dict[str, str], body: bytes
    ) -> None:
        is_chunked = self.rng.random() < 0.5
        framing = {"transfer-encoding": "chunked"} if is_chunked else {"content-length": str(len(body))}
        writer.write(http.render_head(first, fields | framing))
        size = -(-len(body) // LARGE_BODY_PIECES)
        for start in range(0, len(body), size):
            piece = body[start : start + size]
            writer.write(http.render_chunk(piece) if is_chunked else piece)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        if is_chunked:
            writer.write(http.render_chunk(b""))

    async def _ensure_connected(self) -> bool:
        """Reuse the open connection, or connect to a gateway, preferring those that are ready."""
        if self._writer is not None and not self._writer.is_closing() and not self._is_disconnected():
            return True
        self._close()
        gateways = [each for each in self.fleet.gateways if each.name in self.ready] or self.fleet.gateways
        gateway = self.rng.choice(gateways)
        self._gateway, self._incarnation = gateway, gateway.incarnation
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(*gateway.address("http"))
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return False
        return True

    def _is_disconnected(self) -> bool:
        return self._reader is None or self._reader.at_eof()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def watch_readiness(fleet: Fleet, ready: set[str], interval_s: float = 1.0) -> None:
    """Poll the readiness endpoint of each gateway; two failed probes in a row remove it from `ready`."""
    misses = dict.fromkeys((gateway.name for gateway in fleet.gateways), 2)

    async def probe(gateway: Process) -> None:
        answer = await http.call(gateway.address("readyz"), "GET", "/-/readyz", timeout_s=interval_s)
        misses[gateway.name] = 0 if answer is not None and answer.status == 200 else misses[gateway.name] + 1

    while True:
        await asyncio.gather(*(probe(gateway) for gateway in fleet.gateways))
        ready.clear()
        ready.update(name for name, count in misses.items() if count < 2)
        await asyncio.sleep(interval_s if ready else 0.1)
