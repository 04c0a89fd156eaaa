"""A large configuration over thin links: the daemons' own code on the virtual clock.

Three registries agree on a configuration and go on changing it; then an empty registry and an empty desk come
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
from crowseam import settings as boots
from crowseam.configuration.model import EMPTY
from crowseam.gateway.controller_session import Follower
from crowseam.simulator.actors import http_client
from crowseam.simulator.simulation import MemoryRegistry
from crowseam.simulator.world.disk import Platter
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.simulator.world.patches import worn
from crowseam.transport import messages as m

RATE = 250_000      # bytes/s of a thin link: 2 Mbit/s
SEEDS = ("10.1.0.5", "10.2.0.5", "10.3.0.5")
MEMBER, DESK = "10.4.0.5", "10.1.0.9"
CTL = 8407
MOST = 240.0        # s that are waited


def configuration(routes: int, tenants: int, services: int, ver: int = 1, parent: int = 0) -> bytes:
    """A whole configuration of so many items as an operator sends it; names and keys hardly repeat.

    The tenants have no quota: what is lent would hide what the configuration costs.
    """
    rng = Random(1)
    objs: list[dict] = [{"type": "svcs", "meta": {"name": f"svc-{at}"}, "spec": {"hc_path": "/healthz"}}
                        for at in range(services)]
    objs += [{"type": "routes", "meta": {"name": f"route-{at}"}, "spec": {
        "vhost": f"v{at % 97}.example", "prefix": f"/r/{rng.getrandbits(32):08x}/{at}/", "kind": "safe",
        "timeout": "1500ms", "svc": f"svc-{rng.randrange(services)}"}} for at in range(routes)]
    objs += [{"type": "tenants", "meta": {"name": f"tenant-{at:05d}"}, "spec": {
        "apikeys": [f"{rng.getrandbits(256):064x}"], "prio": 1}}
        for at in range(tenants)]
    return json.dumps({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": objs}).encode()


def patch(ver: int, parent: int) -> bytes:
    """A change of one service."""
    return json.dumps({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": [
        {"type": "svcs", "meta": {"name": "svc-0"}, "spec": {"hc_path": f"/healthz/{ver}"}}]}).encode()


class Took(msgspec.Struct):
    """What one of the two took: s until it was up to date (None: not in time), bytes to it in all, the
    longest gap between signs of life (s), and how often it changed its registry."""

    seconds: float | None = None
    bytes: int = 0
    gap: float = 0.0
    left: int = 0


class Thin:
    """Three registries, what is large, and the two that are to get it; `pause` s between changes."""

    def __init__(self, seed: int, body: bytes, pause: float) -> None:
        self.world = World(seed)
        self.body, self.pause = body, pause
        self.network = Network(self.world, lambda a, b: 0.002, lambda ip: ip.rsplit(".", 2)[0])
        self.network.rate = lambda a, b: RATE if {a, b} & {MEMBER, DESK} else None
        self.caller = self.network.process("caller", "10.250.0.1")
        self.registries: dict[str, MemoryRegistry] = {}
        self.follower: Follower | None = None
        self.ver, self.taken, self.left = 0, 0, 0
        self.gaps: dict[str, dict[str, list[float]]] = {MEMBER: {}, DESK: {}}
        self.heard: Counter = Counter()     # messages of each kind that came to the desk
        for ip in SEEDS:
            self.start(ip, True)

    def _boot(self, name: str, ip: str) -> boots.Boot:
        ctl = "" if ip == DESK else f"{ip}:{CTL}"
        return boots.Boot(hostname=name, ip=ip, az="z", port_range=(7660, 7675),
                          seeds=[f"{seed}:{CTL}" for seed in SEEDS], bind=boots.Bind(ctl=ctl),
                          bootstrap=ip in SEEDS, voting=bool(ctl), datadir="memory" if ctl else "")

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Start a registry with an empty disk."""
        process = self.network.process(f"registry/{ip}", ip, offset=100.0)

        def begin() -> None:
            boot = msgspec.structs.replace(self._boot(ip, ip), bootstrap=bootstrap)
            registry = self.registries[ip] = MemoryRegistry(process, boot, Platter(self.world.random(ip)),
                                                            Random(ip))
            pinged = registry._of_registries[m.Ping]

            def heard(addr: str, ping: m.Ping, now: float) -> None:
                self._sign(MEMBER, addr, now)
                pinged(addr, ping, now)

            if ip == MEMBER:
                registry._of_registries[m.Ping] = heard
            process.loop.create_task(registry.start())
        process.loop.call_soon(begin)

    def start_desk(self) -> None:
        """Start the part of a desk that follows a registry."""
        process = self.network.process("desk", DESK, offset=900.0)
        self.follower = Follower(process.loop, self._boot("desk", DESK), Random(1), lambda table: None,
                                 lambda records, whole: None, lambda ids: None, dict)
        heard, leave = self.follower._heard, self.follower._leave

        def watched(link: object, message: m.Message) -> None:
            self.heard[type(message).__name__] += 1
            if isinstance(message, m.Pulse | m.Welcome):
                self._sign(DESK, "", clock.monotonic())
            heard(link, message)

        def left(*args: object) -> None:
            self.left += 1
            leave(*args)
        self.follower._heard, self.follower._leave = watched, left
        process.loop.call_soon(self.follower.start)

    def _sign(self, whose: str, sender: str, now: float) -> None:
        self.gaps[whose].setdefault(sender, []).append(now)

    def change(self) -> None:
        """The next change, at the first registry: the whole configuration, then patches."""
        body = self.body if not self.ver else patch(self.ver + 1, self.ver)
        method = "PATCH" if self.ver else "PUT"

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.taken += 1
                self.ver += 1
        address = f"{SEEDS[0]}:{CTL}"
        http_client.fetch(self.caller, address, http_client.request(method, address, "/-/config", [], body), 2.0, answered)

    def run(self, span: float) -> None:
        """Let `span` s go by, with changes."""
        end = self.world.now + span
        while self.world.now < end:
            self.change()
            self.world.run(min(end, self.world.now + self.pause))

    def measure(self) -> dict[str, Took]:
        """What the registry and the desk take, by `registry` and `desk`; registries that agree come first."""
        took = {"registry": Took(), "desk": Took()}
        with worn(self.world, lambda event, **fields: None):
            self.world.run(2.0)
            self.run(3.0)
            self.start(MEMBER)
            self.start_desk()
            began = self.world.now
            while self.world.now < began + MOST and None in [one.seconds for one in took.values()]:
                self.run(self.pause)
                newest = self.registries[SEEDS[0]].machine.config.ver
                member = self.registries.get(MEMBER)
                have = {"registry": member and member.machine, "desk": self.follower}
                for name, one in have.items():
                    config = one.config if one is not None else EMPTY
                    if took[name].seconds is None and config.ver and config.ver >= newest - 1:
                        took[name].seconds = round(self.world.now - began, 2)
            self.world.run(self.world.now + 1.0)
        for name, ip in (("registry", MEMBER), ("desk", DESK)):
            took[name].bytes = sum(size for (_, to), size in self.network.carried.items() if to == ip)
            took[name].gap = round(max((b - a for times in self.gaps[ip].values()
                                        for a, b in zip(times, times[1:], strict=False)), default=0.0), 2)
        took["desk"].left = self.left
        return took


def main() -> int:
    """Measure a configuration of the size asked for, with two changes a second."""
    body = configuration(*map(int, sys.argv[1:4]))
    began = time.monotonic()
    thin = Thin(1, body, 0.5)
    took = thin.measure()
    print(f"{len(body)} bytes as sent, {thin.taken} changes taken, {len(thin.world.failures)} failures, "
          f"{thin.world.now:.0f} s of virtual time in {time.monotonic() - began:.0f} s")
    for name, one in took.items():
        print(f"{name}: {one}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
