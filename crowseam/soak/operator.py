"""The operator of a soak test: sends the first configuration, later changes, and concurrent changes."""

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

FINAL_STATUSES = (200, 400, 409, 412, 413, 422)  # after which a change is not sent again
CHANGE_TIMEOUT_S = 6.0


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
    """Return the configuration that is applied first."""
    routes = [_route(kind.value, path.rpartition("/")[0] + "/", kind) for kind, path in PATHS.items()]
    service = {"type": "svcs", "meta": {"name": SERVICE}, "spec": {"hc_path": "/healthz", "maxconn": 400}}
    return {"ver": "00000001", "parent": "00000000", "objs": [*routes, service]}


class Operator:
    """Sends configuration changes, retrying each until it gets a final status."""

    def __init__(self, rng: Random, fleet: Fleet, history: History) -> None:
        self.rng = rng
        self.fleet = fleet
        self.history = history
        self.version = 0  # the newest version known to be in force
        self._last_version = 0

    async def apply_first_configuration(self) -> bool:
        """Apply the first configuration; return whether it was accepted."""
        for _ in range(100):
            status = await self._send("PUT", first_configuration())
            if status == 200:
                self._record_change(1, 0, 200)
                return True
            await asyncio.sleep(0.1)
        return False

    async def change(self, concurrent: int = 1) -> None:
        """Send `concurrent` changes with the same parent version at once."""
        parent = self.version
        versions = []
        for _ in range(concurrent):
            self._last_version += self.rng.randint(1, 3)
            versions.append(self._last_version)
        await asyncio.gather(*(self._send_change(version, parent) for version in versions))

    async def _send_change(self, version: int, parent: int) -> None:
        route = _route(f"extra-{version % 5}", f"/extra/{version}/", Kind.SAFE)
        body = {"ver": f"{version:08x}", "parent": f"{parent:08x}", "upsert": {"objs": [route]}, "remove": {}}
        deadline = time.monotonic() + CHANGE_TIMEOUT_S
        status = 0
        while time.monotonic() < deadline:
            status = await self._send("PATCH", body)
            if status in FINAL_STATUSES:
                break
            await asyncio.sleep(0.1)
        self._record_change(version, parent, status if status in FINAL_STATUSES else 0)

    def _record_change(self, version: int, parent: int, outcome: int) -> None:
        self.history.changes.append(Change(version, parent, outcome, time.monotonic()))
        self._last_version = max(self._last_version, version)
        if outcome == 200:
            self.version = max(self.version, version)

    async def _send(self, method: str, body: Mapping[str, object]) -> int:
        controller = self.rng.choice(self.fleet.controllers)
        answer = await http.call(controller.address("ctl"), method, "/-/config", msgspec.json.encode(body))
        return 0 if answer is None else answer.status

    async def read_version(self) -> int | None:
        """Return the version that the controllers have now, or None if none of them answers in time."""
        for _ in range(50):
            controller = self.rng.choice(self.fleet.controllers)
            answer = await http.call(controller.address("ctl"), "GET", "/-/config")
            if answer is not None and answer.status == 200:
                return int(msgspec.json.decode(answer.body)["ver"], 16)
            await asyncio.sleep(0.1)
        return None

    async def refresh_version(self) -> None:
        """Update `version` from the controllers, as the outcome of earlier changes may be unknown."""
        version_read = await self.read_version()
        if version_read is not None:
            self.version = max(self.version, version_read)
