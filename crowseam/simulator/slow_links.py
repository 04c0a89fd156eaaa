"""Measures how a new controller and a new gateway catch up with a large configuration over slow links.

Three controllers agree on a configuration that keeps changing; then an empty controller and an empty gateway start
behind 2 Mbit/s links.  `measure` returns for each the time to catch up, the bytes sent to it, and the longest interval
between two heartbeats it received.  `python -m crowseam.simulator.slow_links ROUTES TENANTS SERVICES` runs it once.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from random import Random

import msgspec

from crowseam import clock
from crowseam import settings as settings_file
from crowseam.configuration.model import EMPTY
from crowseam.gateway.controller_session import ControllerSession
from crowseam.simulator.actors import http_client
from crowseam.simulator.memory_controller import MemoryController
from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.simulator.world.patches import simulated_environment
from crowseam.transport.messages import Message, PeerHeartbeat, SessionHeartbeat, SessionOpened

LINK_BANDWIDTH = 250_000  # bytes/s (2 Mbit/s)
SEEDS = ("10.1.0.5", "10.2.0.5", "10.3.0.5")
NEW_CONTROLLER, NEW_GATEWAY = "10.4.0.5", "10.1.0.9"
CONTROL_PORT = 8407
MAX_WAIT_S = 240.0  # for both to catch up
Item = dict[str, object]


def configuration(routes: int, tenants: int, services: int, ver: int = 1, parent: int = 0) -> bytes:
    """Return a full configuration with the given numbers of items; its names and keys compress poorly.

    The tenants have no quota, as quota messages would add to the measured traffic.
    """
    rng = Random(1)
    objs = [_service(number) for number in range(services)]
    objs += [_route(number, rng, services) for number in range(routes)]
    objs += [_tenant(number, rng) for number in range(tenants)]
    return json.dumps({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": objs}).encode()


def _service(number: int) -> Item:
    return {"type": "svcs", "meta": {"name": f"svc-{number}"}, "spec": {"hc_path": "/healthz"}}


def _route(number: int, rng: Random, services: int) -> Item:
    spec = {
        "vhost": f"v{number % 97}.example",
        "prefix": f"/r/{rng.getrandbits(32):08x}/{number}/",
        "kind": "safe",
        "timeout": "1500ms",
        "svc": f"svc-{rng.randrange(services)}",
    }
    return {"type": "routes", "meta": {"name": f"route-{number}"}, "spec": spec}


def _tenant(number: int, rng: Random) -> Item:
    spec = {"apikeys": [f"{rng.getrandbits(256):064x}"], "prio": 1}
    return {"type": "tenants", "meta": {"name": f"tenant-{number:05d}"}, "spec": spec}


def patch(ver: int, parent: int) -> bytes:
    """Return a change of one service."""
    return json.dumps(
        {
            "ver": f"{ver:08x}",
            "parent": f"{parent:08x}",
            "objs": [{"type": "svcs", "meta": {"name": "svc-0"}, "spec": {"hc_path": f"/healthz/{ver}"}}],
        }
    ).encode()


class MeasuredCatchUp(msgspec.Struct):
    """Measurements of the catch-up of one process."""

    seconds: float | None = None  # until it was up to date; None: not within MAX_WAIT_S
    bytes: int = 0  # sent to it in total
    gap: float = 0.0  # longest interval between two heartbeats of one sender, in s
    left: int = 0  # number of times that it left its controller


class SlowLinks:
    """Three controllers with a configuration `body`, which is changed every `change_interval_s`, and two that join."""

    def __init__(self, seed: int, body: bytes, change_interval_s: float) -> None:
        self.world = World(seed)
        self.body, self.change_interval_s = body, change_interval_s
        self.network = Network(self.world, lambda source, destination: 0.002, lambda ip: ip.rsplit(".", 2)[0])
        self.network.bandwidth = (
            lambda source, destination: LINK_BANDWIDTH
            if {source, destination} & {NEW_CONTROLLER, NEW_GATEWAY}
            else None
        )
        self.caller = self.network.process("caller", "10.250.0.1")
        self.controllers: dict[str, MemoryController] = {}
        self.controller_session: ControllerSession | None = None
        self.ver, self.accepted, self.left = 0, 0, 0
        # By receiver and sender.
        self.heartbeat_times: dict[str, dict[str, list[float]]] = {NEW_CONTROLLER: {}, NEW_GATEWAY: {}}
        self.messages_received: Counter = Counter()  # by the gateway, by type
        for ip in SEEDS:
            self.start(ip, True)

    def _settings(self, name: str, ip: str) -> settings_file.Settings:
        ctl = "" if ip == NEW_GATEWAY else f"{ip}:{CONTROL_PORT}"
        return settings_file.Settings(
            hostname=name,
            ip=ip,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{seed}:{CONTROL_PORT}" for seed in SEEDS],
            bind=settings_file.Bind(ctl=ctl),
            bootstrap=ip in SEEDS,
            voting=bool(ctl),
            datadir="memory" if ctl else "",
        )

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Start a controller with an empty disk at an address."""
        process = self.network.process(f"controller/{ip}", ip, offset=100.0)

        def launch() -> None:
            settings = msgspec.structs.replace(self._settings(ip, ip), bootstrap=bootstrap)
            controller = self.controllers[ip] = MemoryController(
                process, settings, DiskImage(self.world.random(ip)), Random(ip)
            )

            def handle_message(addr: str, ping: PeerHeartbeat, now: float) -> None:
                self._record_heartbeat(NEW_CONTROLLER, addr, now)
                controller._on_peer_heartbeat(addr, ping, now)

            if ip == NEW_CONTROLLER:
                controller._controller_messages.add(PeerHeartbeat, handle_message)
            process.loop.create_task(controller.start())

        process.loop.call_soon(launch)

    def start_gateway(self) -> None:
        """Start the controller session of a gateway."""
        process = self.network.process("gateway", NEW_GATEWAY, offset=900.0)
        self.controller_session = ControllerSession(
            process.loop,
            self._settings("gateway", NEW_GATEWAY),
            Random(1),
            lambda table: None,
            lambda records, whole: None,
            lambda ids: None,
            dict,
        )
        handle_message, leave_controller = (
            self.controller_session._on_message,
            self.controller_session._leave_controller,
        )

        def on_message(link: object, message: Message) -> None:
            self.messages_received[type(message).__name__] += 1
            if isinstance(message, SessionHeartbeat | SessionOpened):
                self._record_heartbeat(NEW_GATEWAY, "", clock.monotonic())
            handle_message(link, message)

        def on_leave(*args: object) -> None:
            self.left += 1
            leave_controller(*args)

        self.controller_session._on_message, self.controller_session._leave_controller = on_message, on_leave
        process.loop.call_soon(self.controller_session.start)

    def _record_heartbeat(self, receiver: str, sender: str, now: float) -> None:
        self.heartbeat_times[receiver].setdefault(sender, []).append(now)

    def send_change(self) -> None:
        """Send the next change to the first controller: first the full configuration, then patches."""
        body = self.body if not self.ver else patch(self.ver + 1, self.ver)
        method = "PATCH" if self.ver else "PUT"

        def on_answer(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.accepted += 1
                self.ver += 1

        address = f"{SEEDS[0]}:{CONTROL_PORT}"
        http_client.fetch(
            self.caller, address, http_client.request(method, address, "/-/config", [], body), 2.0, on_answer
        )

    def run(self, span: float) -> None:
        """Run for `span` s, with changes."""
        end = self.world.now + span
        while self.world.now < end:
            self.send_change()
            self.world.run(min(end, self.world.now + self.change_interval_s))

    def measure(self) -> dict[str, MeasuredCatchUp]:
        """Run the scenario and return the measurements by role ("controller" and "gateway")."""
        catch_ups = {"controller": MeasuredCatchUp(), "gateway": MeasuredCatchUp()}
        with simulated_environment(self.world, lambda event, **fields: None):
            self.world.run(2.0)
            self.run(3.0)
            self.start(NEW_CONTROLLER)
            self.start_gateway()
            began = self.world.now
            while self.world.now < began + MAX_WAIT_S and None in [each.seconds for each in catch_ups.values()]:
                self.run(self.change_interval_s)
                self._record_catch_ups(catch_ups, self.world.now - began)
            self.world.run(self.world.now + 1.0)
        for role, ip in (("controller", NEW_CONTROLLER), ("gateway", NEW_GATEWAY)):
            catch_ups[role].bytes = sum(size for (_, to), size in self.network.bytes_carried.items() if to == ip)
            catch_ups[role].gap = self._longest_gap(ip)
        catch_ups["gateway"].left = self.left
        return catch_ups

    def _record_catch_ups(self, catch_ups: dict[str, MeasuredCatchUp], after: float) -> None:
        """Record the time at which a process first has a configuration at most one version behind."""
        newest = self.controllers[SEEDS[0]].machine.config.ver
        member = self.controllers.get(NEW_CONTROLLER)
        for role, holder in (("controller", member and member.machine), ("gateway", self.controller_session)):
            config = holder.config if holder is not None else EMPTY
            if catch_ups[role].seconds is None and config.ver and config.ver >= newest - 1:
                catch_ups[role].seconds = round(after, 2)

    def _longest_gap(self, ip: str) -> float:
        """Return the longest interval between two heartbeats of one sender, in s."""
        gaps = [
            later - earlier
            for times in self.heartbeat_times[ip].values()
            for earlier, later in zip(times, times[1:], strict=False)
        ]
        return round(max(gaps, default=0.0), 2)


def main() -> int:
    """Measure a configuration of the size given on the command line, with two changes per second."""
    body = configuration(*map(int, sys.argv[1:4]))
    began = time.monotonic()
    slow_links = SlowLinks(1, body, 0.5)
    catch_ups = slow_links.measure()
    print(
        f"{len(body)} bytes sent, {slow_links.accepted} changes accepted, {len(slow_links.world.failures)} failures, "
        f"{slow_links.world.now:.0f} s of virtual time in {time.monotonic() - began:.0f} s"
    )
    for name, catch_up in catch_ups.items():
        print(f"{name}: {catch_up}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
