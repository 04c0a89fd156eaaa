"""Simulated operator: sends each configuration until it gets a final status, and reads back the one in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.configurations import Items, SentConfiguration, permissions
from crowseam.simulator.context import SimulationContext
from crowseam.simulator.scenario.day import Route, Tenant

CALL_TIMEOUT_S = 1.0  # after which another controller is called
TIMEOUT_PER_BYTE_S = 1 / 500_000  # added for each byte of the body
RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.1, 1.0
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))  # rejections after which a change is not sent again


LIMITS = {"hdr_bytes": 16384, "body_max_bytes": 1048576, "hdr": "3000ms", "idle": "15000ms"}
Spec = dict[str, Any]


class Batch:
    """Concurrent changes by rival operators, and the items that result if one of them is accepted."""

    def __init__(self, items: Items, rival_count: int) -> None:
        self.items, self.rival_count, self.unfinished = items, rival_count, rival_count


class Operator:
    """Keeps the items of the configuration and sends changes to it one at a time."""

    def __init__(self, simulation: SimulationContext) -> None:
        self.simulation, self.world = simulation, simulation.world
        self.rng = self.world.random("operator")
        self.process = simulation.network.process("operator", "10.251.0.1")
        self.items: Items = {}
        self.ver = 0  # newest acknowledged version
        self.last_ver = 0  # newest version sent
        self.queue: list[Callable[[], None]] = []
        self.is_busy = False
        self.read_body: bytes | None = None
        self.lost_answer_chance = 0.0  # share of answers that are lost

    # First configuration

    def send_first(self) -> None:
        """Send the first configuration, built from the deployment."""
        deployment = self.simulation.deployment
        for route in deployment.routes:
            self._set_item("routes", route.name, self._route_spec(route))
        for service in deployment.services:
            spec = {"hc_path": "/healthz", "maxconn": service.maxconn, "proto": "h1", "tls": False}
            self._set_item("svcs", service.name, spec)
        for tenant in deployment.tenants:
            self._set_item("tenants", tenant.name, self._tenant_spec(tenant))
        self.items["limits", ""] = {"type": "limits", "meta": {}, "spec": dict(LIMITS)}
        items = dict(self.items)
        self._enqueue(lambda: self._send_changes("PUT", items))

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

    def _set_item(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        self.items[kind, name] = {"type": kind, "meta": {"name": name}, "spec": spec}

    # Changes

    def change(self, upsert: Items, remove: tuple[tuple[str, str], ...] = (), rival_count: int = 1) -> None:
        """Change some items; `rival_count` operators send one change each with the same parent version at once.

        Rivals after the second reuse the version of the first one for a different content.
        """
        items = {
            (kind, name): {"type": kind, "meta": {"name": name}, "spec": spec} for (kind, name), spec in upsert.items()
        }
        self._enqueue(lambda: self._send_changes("PATCH", items, remove, rival_count))

    def spec(self, kind: str, name: str) -> dict[str, Any]:
        """Return a copy of the spec of an item that is in force."""
        return msgspec.json.decode(msgspec.json.encode(self.items[kind, name]["spec"]))

    def _enqueue(self, action: Callable[[], None]) -> None:
        self.queue.append(action)
        self._run_next()

    def _run_next(self) -> None:
        if self.queue and not self.is_busy:
            self.is_busy = True
            self.queue.pop(0)()

    def _send_changes(
        self, method: str, upsert: Items, remove: tuple[tuple[str, str], ...] = (), rival_count: int = 1
    ) -> None:
        """Send `rival_count` concurrent changes on the version in force."""
        items = {key: item for key, item in self.items.items() if key not in remove}
        items.update(upsert)
        batch = Batch(items, rival_count)
        first_ver = 0
        for rival_index in range(rival_count):
            if rival_index < 2:
                self.last_ver += 1 + self.rng.randrange(3)
            ver = first_ver if rival_index > 1 else self.last_ver
            first_ver = first_ver or ver
            if method == "PUT":
                content: dict[str, Any] = {"objs": list(items.values())}
            else:
                content = _patch(upsert, remove, rival_index)
            body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{self.ver:08x}"} | content)
            version = SentConfiguration(ver, self.ver, *permissions(items), body, self.world.now)
            self.simulation.judge.versions.append(version)
            self._call(
                method, body, lambda status, version=version: self._change_finished(batch, version, status), 0, ""
            )

    def _change_finished(self, batch: Batch, version: SentConfiguration, status: int) -> None:
        """Handle the final status of one of the changes of a batch."""
        batch.unfinished -= 1
        if status == 200:
            version.acked_at = self.world.now
            if version.ver > self.ver:
                self.ver, self.items = version.ver, batch.items
                self.simulation.configuration_acknowledged(version)
        else:
            version.refused = status
        # The judge looks up a version by its number: the accepted change has to come first.
        versions = self.simulation.judge.versions
        versions[-batch.rival_count :] = sorted(versions[-batch.rival_count :], key=lambda sent: sent.acked_at is None)
        if not batch.unfinished:
            self.is_busy = False
            self._run_next()

    def _call(self, method: str, body: bytes, on_final_status: Callable[[int], None], tries: int, avoid: str) -> None:
        """Send the body to one controller after another until a final status is received."""
        controller = self.simulation.pick_controller(self.rng, avoid)

        def on_answer(answer: http_client.Answer | None) -> None:
            if self.lost_answer_chance and self.rng.random() < self.lost_answer_chance:
                answer = None
            if answer is not None and (answer.status == 200 or answer.status in FINAL_STATUSES):
                return on_final_status(answer.status)
            pause = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 1.5**tries)
            self.process.loop.call_later(pause, self._call, method, body, on_final_status, tries + 1, controller)

        data = http_client.request(method, controller, "/-/config", [("Content-Type", "application/json")], body)
        http_client.fetch(self.process, controller, data, CALL_TIMEOUT_S + len(body) * TIMEOUT_PER_BYTE_S, on_answer)

    # Reading back

    def read_back(self) -> None:
        """Read the configuration repeatedly; the last answer is kept in `read_body`."""
        controller = self.simulation.pick_controller(self.rng)

        def on_answer(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.read_body = answer.body
            self.process.loop.call_later(0.3, self.read_back)

        http_client.fetch(
            self.process, controller, http_client.request("GET", controller, "/-/config", []), CALL_TIMEOUT_S, on_answer
        )


def _patch(upsert: Items, remove: tuple[tuple[str, str], ...], rival_index: int) -> dict[str, Any]:
    """Content of a PATCH; rivals after the second add a service of their own."""
    objs = list(upsert.values())
    if rival_index > 1:
        objs.append({"type": "svcs", "meta": {"name": f"rival-{rival_index}"}, "spec": {}})
    removed: dict[str, list[str]] = {}
    for kind, name in remove:
        removed.setdefault(kind, []).append(name)
    return {"upsert": {"objs": objs}, "remove": removed}
