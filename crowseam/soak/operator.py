"""The operator of a soak: the first configuration, changes of it, and races of two."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from random import Random

import msgspec

from crowseam.soak import http
from crowseam.soak.clients import HOST, PATHS
from crowseam.soak.fleet import Fleet
from crowseam.soak.history import Change, History, Kind
from crowseam.soak.servers import SERVICE

CLEAR = (200, 400, 409, 412, 413, 422)  # answers after which a change is not sent again
GIVE_UP_AFTER_S = 6.0


def _route(name: str, prefix: str, kind: Kind) -> dict[str, object]:
    spec = {
        "vhost": HOST,
        "prefix": prefix,
        "kind": kind.value,
        "timeout": "2500ms",
        "target_time": "600ms",
        "prio": 1,
        "svc": SERVICE,
        "tries": 2,
        "public": True,
    }
    return {"type": "routes", "meta": {"name": name}, "spec": spec}


def first_configuration() -> dict[str, object]:
    """Return the configuration that the fleet begins with."""
    routes = [_route(kind.value, path.rpartition("/")[0] + "/", kind) for kind, path in PATHS.items()]
    service = {"type": "svcs", "meta": {"name": SERVICE}, "spec": {"hc_path": "/healthz", "maxconn": 400}}
    return {"ver": "00000001", "parent": "00000000", "objs": [*routes, service]}


class Operator:
    """Sends changes, each until a clear answer comes."""

    def __init__(self, rng: Random, fleet: Fleet, history: History) -> None:
        self.rng = rng
        self.fleet = fleet
        self.history = history
        self.version = 0  # the newest that is known to be in force
        self._last = 0

    async def begin(self) -> bool:
        """Bring the first configuration; whether it was taken."""
        for _ in range(100):
            status = await self._send("PUT", first_configuration())
            if status == 200:
                self._note(1, 0, 200)
                return True
            await asyncio.sleep(0.1)
        return False

    async def change(self, racers: int = 1) -> None:
        """Send `racers` changes on top of the same version at once."""
        parent = self.version
        versions = []
        for _ in range(racers):
            self._last += self.rng.randint(1, 3)
            versions.append(self._last)
        await asyncio.gather(*(self._change(version, parent) for version in versions))

    async def _change(self, version: int, parent: int) -> None:
        route = _route(f"extra-{version % 5}", f"/extra/{version}/", Kind.SAFE)
        body = {"ver": f"{version:08x}", "parent": f"{parent:08x}", "upsert": {"objs": [route]}, "remove": {}}
        end = time.monotonic() + GIVE_UP_AFTER_S
        status = 0
        while time.monotonic() < end:
            status = await self._send("PATCH", body)
            if status in CLEAR:
                break
            await asyncio.sleep(0.1)
        self._note(version, parent, status if status in CLEAR else 0)

    def _note(self, version: int, parent: int, outcome: int) -> None:
        self.history.changes.append(Change(version, parent, outcome, time.monotonic()))
        self._last = max(self._last, version)
        if outcome == 200:
            self.version = max(self.version, version)

    async def _send(self, method: str, body: Mapping[str, object]) -> int:
        controller = self.rng.choice(self.fleet.controllers)
        answer = await http.call(controller.address("ctl"), method, "/-/config", msgspec.json.encode(body))
        return 0 if answer is None else answer.status

    async def read(self) -> int | None:
        """Return the version that the fleet has now; None where none can be had in time."""
        for _ in range(50):
            controller = self.rng.choice(self.fleet.controllers)
            answer = await http.call(controller.address("ctl"), "GET", "/-/config")
            if answer is not None and answer.status == 200:
                return int(msgspec.json.decode(answer.body)["ver"], 16)
            await asyncio.sleep(0.1)
        return None

    async def learn(self) -> None:
        """Find out what is in force, after answers that were not clear."""
        found = await self.read()
        if found is not None:
            self.version = max(self.version, found)
