"""The operator: sends each configuration until it gets a final answer, and reads back the one in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.configurations import Items, SentConfiguration, meaning
from crowseam.simulator.context import SimulationContext
from crowseam.simulator.scenario.day import Route, Tenant

SILENCE = 1.0  # s without an answer after which another controller is called
PER_BYTE = 1 / 500_000  # s more for each byte of a body
PAUSE, PAUSE_MOST = 0.1, 1.0  # s
FINAL = frozenset((400, 409, 412, 413, 422))


LIMITS = {"hdr_bytes": 16384, "body_max_bytes": 1048576, "hdr": "3000ms", "idle": "15000ms"}
Spec = dict[str, Any]


class Batch:
    """Concurrent changes by rival operators, and the items that result from any of them."""

    def __init__(self, items: Items, rivals: int) -> None:
        self.items, self.rivals, self.left = items, rivals, rivals


class Operator:
    """Keeps the items of the configuration and changes them one version after the other."""

    def __init__(self, simulation: SimulationContext) -> None:
        self.simulation, self.world = simulation, simulation.world
        self.rng = self.world.random("operator")
        self.process = simulation.network.process("operator", "10.251.0.1")
        self.items: Items = {}
        self.ver = 0  # the newest that was acknowledged
        self.last = 0  # the newest number that was used
        self.queue: list[Callable[[], None]] = []
        self.busy = False
        self.read: bytes | None = None
        self.lost = 0.0  # part of the answers that get lost on their way

    # What there is

    def first(self) -> None:
        """Send the first configuration, from the deployment."""
        deployment = self.simulation.deployment
        for route in deployment.routes:
            self._set("routes", route.name, self._route_spec(route))
        for service in deployment.services:
            spec = {"hc_path": "/healthz", "maxconn": service.maxconn, "proto": "h1", "tls": False}
            self._set("svcs", service.name, spec)
        for tenant in deployment.tenants:
            self._set("tenants", tenant.name, self._tenant_spec(tenant))
        self.items["limits", ""] = {"type": "limits", "meta": {}, "spec": dict(LIMITS)}
        items = dict(self.items)
        self._do(lambda: self._send("PUT", items))

    def _route_spec(self, route: Route) -> Spec:
        spec = {
            "vhost": self.simulation.host,
            "prefix": f"/{route.name}/",
            "kind": route.kind,
            "timeout": f"{int(route.timeout * 1000)}ms",
            "target_time": f"{int(route.target * 1000)}ms",
            "prio": route.prio,
            "tries": route.tries,
            "public": route.public,
        }
        if route.split:
            return spec | {"split": [{"svc": name, "wt": wt} for name, wt in route.split.items()]}
        return spec | {"svc": route.svc}

    def _tenant_spec(self, tenant: Tenant) -> Spec:
        return {
            "apikeys": [self.simulation.keys[tenant.name]],
            "prio": tenant.prio,
            "rate_per_s": tenant.rate,
            "burst": tenant.burst,
        }

    def _set(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        self.items[kind, name] = {"type": kind, "meta": {"name": name}, "spec": spec}

    # Changes

    def change(self, upsert: Items, remove: tuple[tuple[str, str], ...] = (), rivals: int = 1) -> None:
        """Change some items; `rivals` operators send as many changes on the same version at once.

        A rival beyond the second uses the number of the first, for something else.
        """
        items = {
            (kind, name): {"type": kind, "meta": {"name": name}, "spec": spec} for (kind, name), spec in upsert.items()
        }
        self._do(lambda: self._send("PATCH", items, remove, rivals))

    def spec(self, kind: str, name: str) -> dict[str, Any]:
        """A copy of an item as it is in force, for changing."""
        return msgspec.json.decode(msgspec.json.encode(self.items[kind, name]["spec"]))

    def _do(self, act: Callable[[], None]) -> None:
        self.queue.append(act)
        self._next()

    def _next(self) -> None:
        if self.queue and not self.busy:
            self.busy = True
            self.queue.pop(0)()

    def _send(self, method: str, upsert: Items, remove: tuple[tuple[str, str], ...] = (), rivals: int = 1) -> None:
        """Send a change, or as many as there are rivals, on the version in force."""
        after = {key: item for key, item in self.items.items() if key not in remove}
        after.update(upsert)
        batch = Batch(after, rivals)
        first = 0
        for rival in range(rivals):
            if rival < 2:
                self.last += 1 + self.rng.randrange(3)
            ver = first if rival > 1 else self.last
            first = first or ver
            if method == "PUT":
                content: dict[str, Any] = {"objs": list(after.values())}
            else:
                content = _patch(upsert, remove, rival)
            body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{self.ver:08x}"} | content)
            version = SentConfiguration(ver, self.ver, *meaning(after), body, self.world.now)
            self.simulation.judge.versions.append(version)
            self._call(method, body, lambda status, version=version: self._ended(batch, version, status), 0, "")

    def _ended(self, batch: Batch, version: SentConfiguration, status: int) -> None:
        """A clear answer has come to one of the changes of a batch."""
        batch.left -= 1
        if status == 200:
            version.acked_at = self.world.now
            if version.ver > self.ver:
                self.ver, self.items = version.ver, batch.items
                self.simulation.acknowledged(version)
        else:
            version.refused = status
        # Of those under one number the judge is to find the one that was taken.
        versions = self.simulation.judge.versions
        versions[-batch.rivals :] = sorted(versions[-batch.rivals :], key=lambda one: one.acked_at is None)
        if not batch.left:
            self.busy = False
            self._next()

    def _call(self, method: str, body: bytes, done: Callable[[int], None], tries: int, avoid: str) -> None:
        """Send the body unchanged until a clear answer comes."""
        at = self.simulation.a_controller(self.rng, avoid)

        def answered(answer: http_client.Answer | None) -> None:
            if self.lost and self.rng.random() < self.lost:
                answer = None
            if answer is not None and (answer.status == 200 or answer.status in FINAL):
                return done(answer.status)
            pause = min(PAUSE_MOST, PAUSE * 1.5**tries)
            self.process.loop.call_later(pause, self._call, method, body, done, tries + 1, at)

        data = http_client.request(method, at, "/-/config", [("Content-Type", "application/json")], body)
        http_client.fetch(self.process, at, data, SILENCE + len(body) * PER_BYTE, answered)

    # Reading back

    def read_back(self) -> None:
        """Ask for the configuration until it comes; the last answer counts."""
        at = self.simulation.a_controller(self.rng)

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.read = answer.body
            self.process.loop.call_later(0.3, self.read_back)

        http_client.fetch(self.process, at, http_client.request("GET", at, "/-/config", []), SILENCE, answered)


def _patch(upsert: Items, remove: tuple[tuple[str, str], ...], rival: int) -> dict[str, Any]:
    """The content of a PATCH; a rival beyond the second adds a service of its own."""
    objs = list(upsert.values())
    if rival > 1:
        objs.append({"type": "svcs", "meta": {"name": f"rival-{rival}"}, "spec": {}})
    gone: dict[str, list[str]] = {}
    for kind, name in remove:
        gone.setdefault(kind, []).append(name)
    return {"upsert": {"objs": objs}, "remove": gone}
