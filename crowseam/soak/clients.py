"""Clients of a soak: each keeps its connection until the process at its other end is gone, and retries failures."""

from __future__ import annotations

import asyncio
import time
from random import Random

from crowseam.soak import http
from crowseam.soak.fleet import Fleet, Process
from crowseam.soak.history import CUT, TIMED_OUT, Call, History, Kind

HOST = "soak.example"
PATHS = {Kind.SAFE: "/menu/1", Kind.UNSAFE: "/pay/1", Kind.KEYED: "/orders/1"}
MIXTURE = (Kind.SAFE, Kind.UNSAFE, Kind.KEYED, Kind.KEYED)
TIME_LEFT_S = 2.5
TRIES = 4
PROMISES = (429, 503, 408, 421)
PAUSE_S = 0.08  # between two requests of a client, on average
CONNECT_S = 0.5


class Client:
    """One client, on one connection after the other."""

    def __init__(self, number: int, rng: Random, fleet: Fleet, ready: set[str], history: History) -> None:
        self.number = number
        self.rng = rng
        self.fleet = fleet
        self.ready = ready  # names of the gateways that the platform sends new connections to
        self.history = history
        self.is_stopping = False
        self._count = 0
        self._gateway: Process | None = None
        self._incarnation = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send one request after the other until told to stop."""
        while not self.is_stopping:
            kind = self.rng.choice(MIXTURE)
            self._count += 1
            key = f"k-{self.number}-{self._count}"
            await self._request(kind, key)
            if kind is Kind.KEYED and self.rng.random() < 0.15:
                self._close()  # once more, most likely through another gateway
                await self._request(kind, key, tries=1)
            await asyncio.sleep(self.rng.expovariate(1.0 / PAUSE_S))
        self._close()

    async def _request(self, kind: Kind, key: str, tries: int = TRIES) -> None:
        for number in range(tries):
            call = await self._try(kind, key)
            if call is None:
                continue
            self.history.calls.append(call)
            if call.status == 200 or (kind is Kind.UNSAFE and call.status not in PROMISES):
                return
            await asyncio.sleep(self.rng.uniform(0.02, 0.1) * 2**number)

    async def _try(self, kind: Kind, key: str) -> Call | None:
        """One try; None where no connection could be had."""
        if not await self._connected():
            return None
        assert self._gateway is not None
        assert self._reader is not None
        assert self._writer is not None
        attempt = f"a-{self.number}-{self._count}-{self.rng.getrandbits(40):x}"
        fields = {"host": HOST, "x-attempt-id": attempt, "x-time-left": str(int(TIME_LEFT_S * 1000))}
        if kind is Kind.KEYED:
            fields["x-op-key"] = key
        method = "GET" if kind is Kind.SAFE else "POST"
        body = b"" if kind is Kind.SAFE else key.encode()
        call = Call(attempt, kind, key, self._gateway.name, self._incarnation, time.monotonic(), 0.0, CUT)
        try:
            async with asyncio.timeout(TIME_LEFT_S + 1.0):
                self._writer.write(http.render(f"{method} {PATHS[kind]} HTTP/1.1", fields, body))
                answer = await http.read(self._reader)
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

    async def _connected(self) -> bool:
        """Have a connection, to a gateway that is ready where there is a new one to be had."""
        if self._writer is not None and not self._writer.is_closing() and not self._is_ended():
            return True
        self._close()
        gateways = [each for each in self.fleet.gateways if each.name in self.ready] or self.fleet.gateways
        gateway = self.rng.choice(gateways)
        self._gateway, self._incarnation = gateway, gateway.incarnation
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(*gateway.address("http"))
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            return False
        return True

    def _is_ended(self) -> bool:
        return self._reader is None or self._reader.at_eof()

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def watch_readiness(fleet: Fleet, ready: set[str], interval_s: float = 1.0) -> None:
    """Ask each gateway each second whether it is ready, as the platform does; two misses take it out."""
    misses = dict.fromkeys((gateway.name for gateway in fleet.gateways), 2)

    async def look(gateway: Process) -> None:
        answer = await http.call(gateway.address("readyz"), "GET", "/-/readyz", timeout_s=interval_s)
        misses[gateway.name] = 0 if answer is not None and answer.status == 200 else misses[gateway.name] + 1

    while True:
        await asyncio.gather(*(look(gateway) for gateway in fleet.gateways))
        ready.clear()
        ready.update(name for name, count in misses.items() if count < 2)
        await asyncio.sleep(interval_s if ready else 0.1)
