"""A large configuration over slow links: the daemons' own code on the virtual clock.

Three controllers agree on a configuration and go on changing it; then an empty controller and an empty gateway come
up behind 2 Mbit/s.  `measure` tells how long each takes, how many bytes go over its links, and the longest
time between two signs of life there.  `python -m crowseam.simulator.slow_links ROUTES TENANTS SERVICES` does it once.
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

RATE = 250_000  # bytes/s of a slow link: 2 Mbit/s
SEEDS = ("10.1.0.5", "10.2.0.5", "10.3.0.5")
MEMBER, GATEWAY = "10.4.0.5", "10.1.0.9"
CONTROL_PORT = 8407
WAIT_MOST = 240.0  # s that are waited
Item = dict[str, object]


def configuration(routes: int, tenants: int, services: int, ver: int = 1, parent: int = 0) -> bytes:
    """A whole configuration of so many items as an operator sends it; names and keys hardly repeat.

    The tenants have no quota: what is lent would hide what the configuration costs.
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
    """A change of one service."""
    return json.dumps(
        {
            "ver": f"{ver:08x}",
            "parent": f"{parent:08x}",
            "objs": [{"type": "svcs", "meta": {"name": "svc-0"}, "spec": {"hc_path": f"/healthz/{ver}"}}],
        }
    ).encode()


class MeasuredCatchUp(msgspec.Struct):
    """What one of the two took to be up to date."""

    seconds: float | None = None  # None: not in time
    bytes: int = 0  # that were sent to it in all
    gap: float = 0.0  # s, the longest time between two signs of life
    left: int = 0  # how often it changed its controller


class SlowLinks:
    """Three controllers, what is large, and the two that are to get it; `pause` s between changes."""

    def __init__(self, seed: int, body: bytes, pause: float) -> None:
        self.world = World(seed)
        self.body, self.pause = body, pause
        self.network = Network(self.world, lambda a, b: 0.002, lambda ip: ip.rsplit(".", 2)[0])
        self.network.rate = lambda a, b: RATE if {a, b} & {MEMBER, GATEWAY} else None
        self.caller = self.network.process("caller", "10.250.0.1")
        self.controllers: dict[str, MemoryController] = {}
        self.controller_session: ControllerSession | None = None
        self.ver, self.taken, self.left = 0, 0, 0
        self.signs: dict[str, dict[str, list[float]]] = {MEMBER: {}, GATEWAY: {}}  # times, by receiver and sender
        self.heard: Counter = Counter()  # messages of each kind that came to the gateway
        for ip in SEEDS:
            self.start(ip, True)

    def _settings(self, name: str, ip: str) -> settings_file.Settings:
        ctl = "" if ip == GATEWAY else f"{ip}:{CONTROL_PORT}"
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
        """Start a controller with an empty disk."""
        process = self.network.process(f"controller/{ip}", ip, offset=100.0)

        def begin() -> None:
            settings = msgspec.structs.replace(self._settings(ip, ip), bootstrap=bootstrap)
            controller = self.controllers[ip] = MemoryController(
                process, settings, DiskImage(self.world.random(ip)), Random(ip)
            )

            def heard(addr: str, ping: PeerHeartbeat, now: float) -> None:
                self._sign(MEMBER, addr, now)
                controller._on_peer_heartbeat(addr, ping, now)

            if ip == MEMBER:
                controller._controller_messages.add(PeerHeartbeat, heard)
            process.loop.create_task(controller.start())

        process.loop.call_soon(begin)

    def start_gateway(self) -> None:
        """Start the part of a gateway that follows a controller."""
        process = self.network.process("gateway", GATEWAY, offset=900.0)
        self.controller_session = ControllerSession(
            process.loop,
            self._settings("gateway", GATEWAY),
            Random(1),
            lambda table: None,
            lambda records, whole: None,
            lambda ids: None,
            dict,
        )
        heard, leave = self.controller_session._on_message, self.controller_session._leave_controller

        def watched(link: object, message: Message) -> None:
            self.heard[type(message).__name__] += 1
            if isinstance(message, SessionHeartbeat | SessionOpened):
                self._sign(GATEWAY, "", clock.monotonic())
            heard(link, message)

        def left(*args: object) -> None:
            self.left += 1
            leave(*args)

        self.controller_session._on_message, self.controller_session._leave_controller = watched, left
        process.loop.call_soon(self.controller_session.start)

    def _sign(self, whose: str, sender: str, now: float) -> None:
        self.signs[whose].setdefault(sender, []).append(now)

    def change(self) -> None:
        """The next change, at the first controller: the whole configuration, then patches."""
        body = self.body if not self.ver else patch(self.ver + 1, self.ver)
        method = "PATCH" if self.ver else "PUT"

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.taken += 1
                self.ver += 1

        address = f"{SEEDS[0]}:{CONTROL_PORT}"
        http_client.fetch(
            self.caller, address, http_client.request(method, address, "/-/config", [], body), 2.0, answered
        )

    def run(self, span: float) -> None:
        """Let `span` s go by, with changes."""
        end = self.world.now + span
        while self.world.now < end:
            self.change()
            self.world.run(min(end, self.world.now + self.pause))

    def measure(self) -> dict[str, MeasuredCatchUp]:
        """What the controller and the gateway take, by role; controllers that agree come first."""
        catch_ups = {"controller": MeasuredCatchUp(), "gateway": MeasuredCatchUp()}
        with simulated_environment(self.world, lambda event, **fields: None):
            self.world.run(2.0)
            self.run(3.0)
            self.start(MEMBER)
            self.start_gateway()
            began = self.world.now
            while self.world.now < began + WAIT_MOST and None in [each.seconds for each in catch_ups.values()]:
                self.run(self.pause)
                self._note_up_to_date(catch_ups, self.world.now - began)
            self.world.run(self.world.now + 1.0)
        for role, ip in (("controller", MEMBER), ("gateway", GATEWAY)):
            catch_ups[role].bytes = sum(size for (_, to), size in self.network.carried.items() if to == ip)
            catch_ups[role].gap = self._longest_gap(ip)
        catch_ups["gateway"].left = self.left
        return catch_ups

    def _note_up_to_date(self, catch_ups: dict[str, MeasuredCatchUp], after: float) -> None:
        """Note which of the two has a configuration that is at most one version old."""
        newest = self.controllers[SEEDS[0]].machine.config.ver
        member = self.controllers.get(MEMBER)
        for role, holder in (("controller", member and member.machine), ("gateway", self.controller_session)):
            config = holder.config if holder is not None else EMPTY
            if catch_ups[role].seconds is None and config.ver and config.ver >= newest - 1:
                catch_ups[role].seconds = round(after, 2)

    def _longest_gap(self, ip: str) -> float:
        """Seconds between two signs of life of one sender, at the most."""
        gaps = [b - a for times in self.signs[ip].values() for a, b in zip(times, times[1:], strict=False)]
        return round(max(gaps, default=0.0), 2)


def main() -> int:
    """Measure a configuration of the size asked for, with two changes a second."""
    body = configuration(*map(int, sys.argv[1:4]))
    began = time.monotonic()
    slow_links = SlowLinks(1, body, 0.5)
    catch_ups = slow_links.measure()
    print(
        f"{len(body)} bytes as sent, {slow_links.taken} changes taken, {len(slow_links.world.failures)} failures, "
        f"{slow_links.world.now:.0f} s of virtual time in {time.monotonic() - began:.0f} s"
    )
    for name, one in catch_ups.items():
        print(f"{name}: {one}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
