"""A large configuration over thin links: the daemons' own code on the virtual clock.

Three controllers agree on a configuration and go on changing it; then an empty controller and an empty gateway come
up behind 2 Mbit/s.  `measure` tells how long each takes, how many bytes go over its links, and the longest
time between two signs of life there.  `python -m crowseam.simulator.thin_links ROUTES TENANTS SERVICES` does it once.
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
from crowseam.transport import messages as m

RATE = 250_000  # bytes/s of a thin link: 2 Mbit/s
SEEDS = ("10.1.0.5", "10.2.0.5", "10.3.0.5")
MEMBER, DESK = "10.4.0.5", "10.1.0.9"
CTL = 8407
MOST = 240.0  # s that are waited


def configuration(routes: int, tenants: int, services: int, ver: int = 1, parent: int = 0) -> bytes:
    """A whole configuration of so many items as an operator sends it; names and keys hardly repeat.

    The tenants have no quota: what is lent would hide what the configuration costs.
    """
    rng = Random(1)
    objs: list[dict] = [
        {"type": "svcs", "meta": {"name": f"svc-{at}"}, "spec": {"hc_path": "/healthz"}} for at in range(services)
    ]
    objs += [
        {
            "type": "routes",
            "meta": {"name": f"route-{at}"},
            "spec": {
                "vhost": f"v{at % 97}.example",
                "prefix": f"/r/{rng.getrandbits(32):08x}/{at}/",
                "kind": "safe",
                "timeout": "1500ms",
                "svc": f"svc-{rng.randrange(services)}",
            },
        }
        for at in range(routes)
    ]
    objs += [
        {
            "type": "tenants",
            "meta": {"name": f"tenant-{at:05d}"},
            "spec": {"apikeys": [f"{rng.getrandbits(256):064x}"], "prio": 1},
        }
        for at in range(tenants)
    ]
    return json.dumps({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": objs}).encode()


def patch(ver: int, parent: int) -> bytes:
    """A change of one service."""
    return json.dumps(
        {
            "ver": f"{ver:08x}",
            "parent": f"{parent:08x}",
            "objs": [{"type": "svcs", "meta": {"name": "svc-0"}, "spec": {"hc_path": f"/healthz/{ver}"}}],
        }
    ).encode()


class Took(msgspec.Struct):
    """What one of the two took: s until it was up to date (None: not in time), bytes to it in all, the
    longest gap between signs of life (s), and how often it changed its controller."""

    seconds: float | None = None
    bytes: int = 0
    gap: float = 0.0
    left: int = 0


class Thin:
    """Three controllers, what is large, and the two that are to get it; `pause` s between changes."""

    def __init__(self, seed: int, body: bytes, pause: float) -> None:
        self.world = World(seed)
        self.body, self.pause = body, pause
        self.network = Network(self.world, lambda a, b: 0.002, lambda ip: ip.rsplit(".", 2)[0])
        self.network.rate = lambda a, b: RATE if {a, b} & {MEMBER, DESK} else None
        self.caller = self.network.process("caller", "10.250.0.1")
        self.controllers: dict[str, MemoryController] = {}
        self.controller_session: ControllerSession | None = None
        self.ver, self.taken, self.left = 0, 0, 0
        self.gaps: dict[str, dict[str, list[float]]] = {MEMBER: {}, DESK: {}}
        self.heard: Counter = Counter()  # messages of each kind that came to the gateway
        for ip in SEEDS:
            self.start(ip, True)

    def _settings(self, name: str, ip: str) -> settings_file.Settings:
        ctl = "" if ip == DESK else f"{ip}:{CTL}"
        return settings_file.Settings(
            hostname=name,
            ip=ip,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{seed}:{CTL}" for seed in SEEDS],
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
            pinged = controller._of_controllers[m.Ping]

            def heard(addr: str, ping: m.Ping, now: float) -> None:
                self._sign(MEMBER, addr, now)
                pinged(addr, ping, now)

            if ip == MEMBER:
                controller._of_controllers[m.Ping] = heard
            process.loop.create_task(controller.start())

        process.loop.call_soon(begin)

    def start_gateway(self) -> None:
        """Start the part of a gateway that follows a controller."""
        process = self.network.process("gateway", DESK, offset=900.0)
        self.controller_session = ControllerSession(
            process.loop,
            self._settings("gateway", DESK),
            Random(1),
            lambda table: None,
            lambda records, whole: None,
            lambda ids: None,
            dict,
        )
        heard, leave = self.controller_session._heard, self.controller_session._leave

        def watched(link: object, message: m.Message) -> None:
            self.heard[type(message).__name__] += 1
            if isinstance(message, m.Pulse | m.Welcome):
                self._sign(DESK, "", clock.monotonic())
            heard(link, message)

        def left(*args: object) -> None:
            self.left += 1
            leave(*args)

        self.controller_session._heard, self.controller_session._leave = watched, left
        process.loop.call_soon(self.controller_session.start)

    def _sign(self, whose: str, sender: str, now: float) -> None:
        self.gaps[whose].setdefault(sender, []).append(now)

    def change(self) -> None:
        """The next change, at the first controller: the whole configuration, then patches."""
        body = self.body if not self.ver else patch(self.ver + 1, self.ver)
        method = "PATCH" if self.ver else "PUT"

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.taken += 1
                self.ver += 1

        address = f"{SEEDS[0]}:{CTL}"
        http_client.fetch(
            self.caller, address, http_client.request(method, address, "/-/config", [], body), 2.0, answered
        )

    def run(self, span: float) -> None:
        """Let `span` s go by, with changes."""
        end = self.world.now + span
        while self.world.now < end:
            self.change()
            self.world.run(min(end, self.world.now + self.pause))

    def measure(self) -> dict[str, Took]:
        """What the controller and the gateway take, by role; controllers that agree come first."""
        took = {"controller": Took(), "gateway": Took()}
        with simulated_environment(self.world, lambda event, **fields: None):
            self.world.run(2.0)
            self.run(3.0)
            self.start(MEMBER)
            self.start_gateway()
            began = self.world.now
            while self.world.now < began + MOST and None in [one.seconds for one in took.values()]:
                self.run(self.pause)
                newest = self.controllers[SEEDS[0]].machine.config.ver
                member = self.controllers.get(MEMBER)
                have = {"controller": member and member.machine, "gateway": self.controller_session}
                for name, one in have.items():
                    config = one.config if one is not None else EMPTY
                    if took[name].seconds is None and config.ver and config.ver >= newest - 1:
                        took[name].seconds = round(self.world.now - began, 2)
            self.world.run(self.world.now + 1.0)
        for name, ip in (("controller", MEMBER), ("gateway", DESK)):
            took[name].bytes = sum(size for (_, to), size in self.network.carried.items() if to == ip)
            took[name].gap = round(
                max(
                    (b - a for times in self.gaps[ip].values() for a, b in zip(times, times[1:], strict=False)),
                    default=0.0,
                ),
                2,
            )
        took["gateway"].left = self.left
        return took


def main() -> int:
    """Measure a configuration of the size asked for, with two changes a second."""
    body = configuration(*map(int, sys.argv[1:4]))
    began = time.monotonic()
    thin = Thin(1, body, 0.5)
    took = thin.measure()
    print(
        f"{len(body)} bytes as sent, {thin.taken} changes taken, {len(thin.world.failures)} failures, "
        f"{thin.world.now:.0f} s of virtual time in {time.monotonic() - began:.0f} s"
    )
    for name, one in took.items():
        print(f"{name}: {one}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
