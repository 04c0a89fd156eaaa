"""The simulation of a whole fleet on a virtual clock: the daemons' own code, and all that surrounds it."""

from __future__ import annotations

import time
from collections.abc import Callable
from fnmatch import fnmatchcase
from itertools import accumulate
from random import Random

from crowseam.simulator.actors.clients import Platform, ZoneClients
from crowseam.simulator.actors.configurations import SentConfiguration
from crowseam.simulator.actors.operator import Operator
from crowseam.simulator.actors.servers import Server
from crowseam.simulator.judge import Judge
from crowseam.simulator.machine import Machine
from crowseam.simulator.metrics import Metrics
from crowseam.simulator.scenario.day import Day, Route, Service, Tenant
from crowseam.simulator.scenario.faults import KINDS
from crowseam.simulator.world.loop import EPOCH, World
from crowseam.simulator.world.network import Network
from crowseam.simulator.world.patches import simulated_environment

FIRST_CONFIG = 1.0  # s after the machines' start that the operator begins
STAGGER = 0.3  # s within which the first processes start
KEPT_LINES = 200_000  # log lines that are kept where they are asked for
SEEDS = 3  # controllers that the settings files name
FAILURES_KEPT = 20  # uncaught exceptions that are kept with their text


class Simulation:
    """One run of one day."""

    host = "public.example"

    def __init__(self, day: Day, seed: int, lines: bool = False) -> None:
        self.day, self.deployment = day, day.deployment
        self.world = World(seed)
        self.fault_rng = self.world.random("faults")
        self.zones: dict[str, str] = {}  # of machines and servers, by ip
        self.network = Network(self.world, self._delay, lambda ip: self.zones.get(ip, ""))
        self.world.outside.loop.network = self.network
        self.begins = day.settle
        self.load_ends = day.settle + day.length
        self.lines: list[str] | None = [] if lines else None
        self.events: dict[str, int] = {}
        self.factors: list[tuple[str, float]] = []
        self.most_factor = _most_factor(day)
        self.keys = {tenant.name: f"{tenant.name}-key" for tenant in self.deployment.tenants}
        self.weights = list(accumulate(tenant.weight for tenant in self.deployment.tenants))
        self.old_keys: dict[str, str] = {}  # taken away, or about to be
        self.machines: list[Machine] = []
        self.by_ip: dict[str, Machine] = {}
        self.by_name: dict[str, Machine] = {}
        self.servers: dict[str, Server] = {}
        self.server_numbers: dict[str, int] = {}
        self.routes = {route.name: route for route in self.deployment.routes}
        self.judge = Judge(self)
        self._build()

    # Building

    def _build(self) -> None:
        self._build_machines()
        names = [zone.name for zone in self.deployment.zones]
        for service in self.deployment.services:
            for number in range(service.servers):
                self.add_server(service, names[number % len(names)], warm=True)
        self.platform = Platform(self)
        self.clients = [
            ZoneClients(self, self.platform, name, number, 1.0 / len(names)) for number, name in enumerate(names)
        ]
        self.operator = Operator(self)
        self._schedule()

    def _build_machines(self) -> None:
        for place, zone in enumerate(self.deployment.zones):
            for number in range(zone.machines):
                ip = f"10.{place + 1}.{number // 200}.{number % 200 + 5}"
                control = number < zone.controllers
                disk = number < min(zone.disks, zone.controllers)
                machine = Machine(self, f"{zone.name}-{number + 1}", zone.name, ip, control, disk)
                self.machines.append(machine)
                self.by_ip[ip] = self.by_name[machine.name] = machine
                self.zones[ip] = zone.name
        self.control = [m for m in self.machines if m.serves_control]
        self.seeds = [machine.ctl for machine in self._seed_machines()]

    def _seed_machines(self) -> list[Machine]:
        """The machines whose controllers the settings files name: with a disk, of as many zones as can be."""
        with_disk = [m for m in self.control if m.disk_image is not None]
        first = [next((m for m in with_disk if m.zone == zone.name), None) for zone in self.deployment.zones]
        chosen = [m for m in first if m is not None]
        chosen += [m for m in with_disk if m not in chosen]
        return chosen[:SEEDS]

    def _schedule(self) -> None:
        """Put what the day brings into the queue: starts, the first configuration, the load and the faults."""
        rng = self.world.random("start")
        for machine in self.machines:
            for role in machine.roles("both"):
                self.later(rng.uniform(0.0, STAGGER), machine.start, role, True)
        self.later(FIRST_CONFIG, self.operator.first)
        for zone in self.clients:
            self.world.at(self.begins, zone.process, zone.begin)
        clients = self.world.random("trace")
        for at, route, tenant in self.day.trace:
            self.world.at(
                self.begins + at, self.world.outside, self._replay, (clients.choice(self.clients), route, tenant)
            )
        for fault in self.day.faults:
            self.world.at(self.begins + fault.at, self.world.outside, KINDS[fault.kind], (self, fault))

    def _replay(self, zone: ZoneClients, route: str, tenant: str) -> None:
        if (known := self.routes.get(route)) is not None:
            zone.ask(known, next((t for t in self.deployment.tenants if t.name == tenant), None))

    def add_server(self, service: Service, zone: str, version: str = "v1", warm: bool = False) -> Server:
        """Start one more server of a service; one that is `warm` has its full speed at once."""
        number = self.server_numbers[service.name] = self.server_numbers.get(service.name, 0) + 1
        place = len(self.zones)
        ip = f"10.{100 + place // 60000}.{place // 250 % 240}.{place % 250 + 1}"
        self.zones[ip] = zone
        server = Server(self, service, number, zone, ip, version, warm)
        self.servers[server.id] = server
        return server

    def another(self, server: Server, version: str = "") -> None:
        """A new server in the place of one that has gone or will go."""
        self.add_server(server.service, server.zone, version or server.version)

    def left(self, server: Server) -> None:
        """This server has ended."""
        self.servers.pop(server.id, None)

    # The interface for actors and faults

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside all processes."""
        self.world.at(self.world.now + delay, self.world.outside, callback, args)

    def _delay(self, a: str, b: str) -> float:
        links = self.deployment.links
        one, other = self.zones.get(a), self.zones.get(b)
        if one is None or other is None:
            return links.clients
        return links.zone if one == other else links.between

    def machine_at(self, address: str) -> str | None:
        """The name of the machine with this address (with or without a port)."""
        machine = self.by_ip.get(address.partition(":")[0])
        return machine.name if machine is not None else None

    def life_of(self, name: str, at: float) -> int:
        """Which life of the gateway of a machine it was at a time."""
        return sum(begun <= at for begun in self.by_name[name].started)

    def a_controller(self, rng: Random, avoid: str = "") -> str:
        """One of the controllers on the operator's list, which lags: some may be down."""
        names = [machine.ctl for machine in self.control if machine.ctl != avoid]
        return rng.choice(names or [self.control[0].ctl])

    def acknowledged(self, version: SentConfiguration) -> None:
        """Clients take the newest key of their tenants, once it is in force everywhere."""
        self.later(self.deployment.bounds.apply, self._take_keys, version.keys)

    def _take_keys(self, keys: dict[str, str]) -> None:
        for key, tenant in keys.items():
            if key != self.keys[tenant] and key not in self.old_keys.values():
                self.old_keys[tenant], self.keys[tenant] = self.keys[tenant], key

    def work_of(self, path: str) -> float:
        """Seconds of a server that a request of this path takes."""
        return self.routes[path.split("/")[1]].work

    def body_of(self, path: str, server: str, attempt: str) -> bytes:
        """The body of an answer, which differs by server and attempt."""
        route = self.routes[path.split("/")[1]]
        text = f"{server} {attempt} ".encode()
        return (text * (route.bytes_out // len(text) + 1))[: route.bytes_out]

    def draw_tenant(self, rng: Random) -> Tenant | None:
        """The tenant of the next request, by the tenants' weights."""
        if not self.deployment.tenants:
            return None
        return rng.choices(self.deployment.tenants, cum_weights=self.weights)[0]

    def factor(self, route: Route, tenant: Tenant | None) -> float:
        """The factor by which faults raise the load of this route and tenant now."""
        factor = 1.0
        for pattern, amount in self.factors:
            if fnmatchcase(route.name, pattern) or (tenant is not None and fnmatchcase(tenant.name, pattern)):
                factor *= amount
        return factor

    def say(self, event: str, **fields: object) -> None:
        """What a daemon logs."""
        self.events[event] = self.events.get(event, 0) + 1
        if self.lines is not None and len(self.lines) < KEPT_LINES:
            world = self.world
            role, _, host = world.current.name.partition(":")
            pairs = " ".join(f"{name}={_text(value)}" for name, value in fields.items())
            self.lines.append(
                f"level=INFO role={role} host={host.partition('/')[0]} "
                f"t={EPOCH + world.now:.3f} event={event} {pairs}".rstrip()
            )

    # Running

    def run(self) -> Metrics:
        """Play the day."""
        begun = time.perf_counter()
        with simulated_environment(self.world, self.say):
            self.world.run(self.load_ends + max(route.deadline for route in self.deployment.routes))
            self.operator.read_back()
            self.world.run(self.world.now + self.day.after)
            self.judge.finish(self.operator.read)
        return self._metrics(time.perf_counter() - begun)

    def _metrics(self, took: float) -> Metrics:
        """The judge's figures, and what the simulation itself has counted; `took` s of the real clock."""
        metrics = self.judge.metrics()
        metrics.between_kb = self.network.bytes_between / 1024
        metrics.processor = sum(m.used + sum(p.used for p in m.processes.values()) for m in self.machines)
        metrics.syncs = sum(m.disk_image.syncs for m in self.machines if m.disk_image is not None)
        metrics.events = dict(sorted(self.events.items()))
        metrics.failures = self.world.failures[:FAILURES_KEPT]
        metrics.fired = self.world.fired
        metrics.took = took
        return metrics


def _text(value: object) -> str:
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    return f'"{text}"' if " " in text or "=" in text else text


def play(day: Day, seed: int = 1, lines: bool = False) -> tuple[Metrics, list[str]]:
    """Play a day once: its metrics, and the daemons' log lines if `lines` is set."""
    simulation = Simulation(day, seed, lines)
    return simulation.run(), simulation.lines or []


def _most_factor(day: Day) -> float:
    """The most that the faults of a day ever raise the load by."""
    # Bursts may overlap: the product of all that raise is never passed.
    most = 1.0
    for fault in day.faults:
        if fault.kind == "load":
            most *= max(1.0, fault.amount)
    return most
