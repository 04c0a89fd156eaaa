"""Simulates a whole fleet on virtual time: the real daemons with their clients, servers, operator and network."""

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

FIRST_CONFIG_DELAY_S = 1.0  # after the start of the machines
START_STAGGER_S = 0.3  # period within which the processes start
MAX_LOG_LINES = 200_000  # kept if log lines are requested
SEED_COUNT = 3  # controllers listed in the settings
MAX_FAILURES = 20  # uncaught exceptions whose text is kept


class Simulation:
    """One run of a day with a seed."""

    host = "public.example"

    def __init__(self, day: Day, seed: int, lines: bool = False) -> None:
        self.day, self.deployment = day, day.deployment
        self.world = World(seed)
        self.fault_rng = self.world.random("faults")
        self.zone_by_ip: dict[str, str] = {}  # of machines and servers, by ip
        self.network = Network(self.world, self._delay, lambda ip: self.zone_by_ip.get(ip, ""))
        self.world.environment.loop.network = self.network
        self.load_begins = day.settle
        self.load_ends = day.settle + day.length
        self.log_lines: list[str] | None = [] if lines else None
        self.events: dict[str, int] = {}
        self.load_factors: list[tuple[str, float]] = []
        self.max_load_factor = _max_load_factor(day)
        self.keys = {tenant.name: f"{tenant.name}-key" for tenant in self.deployment.tenants}
        self.cumulative_weights = list(accumulate(tenant.weight for tenant in self.deployment.tenants))
        self.previous_keys: dict[str, str] = {}  # revoked, or revoked soon
        self.machines: list[Machine] = []
        self.machines_by_ip: dict[str, Machine] = {}
        self.machines_by_name: dict[str, Machine] = {}
        self.servers: dict[str, Server] = {}
        self.server_numbers: dict[str, int] = {}
        self.routes = {route.name: route for route in self.deployment.routes}
        self.judge = Judge(self)
        self._build()

    # Setup

    def _build(self) -> None:
        self._build_machines()
        names = [zone.name for zone in self.deployment.zones]
        for service in self.deployment.services:
            for number in range(service.servers):
                self.add_server(service, names[number % len(names)], is_warm=True)
        self.platform = Platform(self)
        self.clients = [
            ZoneClients(self, self.platform, name, number, 1.0 / len(names)) for number, name in enumerate(names)
        ]
        self.operator = Operator(self)
        self._schedule()

    def _build_machines(self) -> None:
        for index, zone in enumerate(self.deployment.zones):
            for number in range(zone.machines):
                ip = f"10.{index + 1}.{number // 200}.{number % 200 + 5}"
                has_controller = number < zone.controllers
                has_disk = number < min(zone.disks, zone.controllers)
                machine = Machine(self, f"{zone.name}-{number + 1}", zone.name, ip, has_controller, has_disk)
                self.machines.append(machine)
                self.machines_by_ip[ip] = self.machines_by_name[machine.name] = machine
                self.zone_by_ip[ip] = zone.name
        self.control_machines = [m for m in self.machines if m.serves_control]
        self.seeds = [machine.ctl for machine in self._seed_machines()]

    def _seed_machines(self) -> list[Machine]:
        """Pick the machines listed as seeds in the settings: with a disk, and from as many zones as possible."""
        with_disk = [m for m in self.control_machines if m.disk_image is not None]
        first_of_zones = [next((m for m in with_disk if m.zone == zone.name), None) for zone in self.deployment.zones]
        seed_machines = [m for m in first_of_zones if m is not None]
        seed_machines += [m for m in with_disk if m not in seed_machines]
        return seed_machines[:SEED_COUNT]

    def _schedule(self) -> None:
        """Schedule the starts, the first configuration, the load and the faults."""
        rng = self.world.random("start")
        for machine in self.machines:
            for role in machine.roles("both"):
                self.later(rng.uniform(0.0, START_STAGGER_S), machine.start, role, True)
        self.later(FIRST_CONFIG_DELAY_S, self.operator.send_first)
        for zone in self.clients:
            self.world.schedule(self.load_begins, zone.process, zone.start_load)
        clients = self.world.random("trace")
        for at, route, tenant in self.day.trace:
            self.world.schedule(
                self.load_begins + at,
                self.world.environment,
                self._replay,
                (clients.choice(self.clients), route, tenant),
            )
        for fault in self.day.faults:
            self.world.schedule(self.load_begins + fault.at, self.world.environment, KINDS[fault.kind], (self, fault))

    def _replay(self, zone: ZoneClients, route: str, tenant: str) -> None:
        if (known_route := self.routes.get(route)) is not None:
            zone.send_new_request(known_route, next((t for t in self.deployment.tenants if t.name == tenant), None))

    def add_server(self, service: Service, zone: str, version: str = "v1", is_warm: bool = False) -> Server:
        """Start another server of a service; if `is_warm`, it runs at full speed at once."""
        number = self.server_numbers[service.name] = self.server_numbers.get(service.name, 0) + 1
        index = len(self.zone_by_ip)
        ip = f"10.{100 + index // 60000}.{index // 250 % 240}.{index % 250 + 1}"
        self.zone_by_ip[ip] = zone
        server = Server(self, service, number, zone, ip, version, is_warm)
        self.servers[server.id] = server
        return server

    def replace_server(self, server: Server, version: str = "") -> None:
        """Start a new server in place of one that has ended or will end."""
        self.add_server(server.service, server.zone, version or server.version)

    def server_ended(self, server: Server) -> None:
        """Remove a server that has ended."""
        self.servers.pop(server.id, None)

    # Interface for actors and faults

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside of all simulated processes."""
        self.world.schedule(self.world.now + delay, self.world.environment, callback, args)

    def _delay(self, source: str, destination: str) -> float:
        links = self.deployment.links
        source_zone, destination_zone = self.zone_by_ip.get(source), self.zone_by_ip.get(destination)
        if source_zone is None or destination_zone is None:
            return links.clients
        return links.zone if source_zone == destination_zone else links.between

    def machine_at(self, address: str) -> str | None:
        """Return the name of the machine with this address (with or without a port)."""
        machine = self.machines_by_ip.get(address.partition(":")[0])
        return machine.name if machine is not None else None

    def incarnation_of(self, name: str, at: float) -> int:
        """Return the incarnation number of a machine's gateway at a time."""
        return sum(began_at <= at for began_at in self.machines_by_name[name].gateway_starts)

    def pick_controller(self, rng: Random, avoid: str = "") -> str:
        """Return the address of a random controller, which may be down."""
        names = [machine.ctl for machine in self.control_machines if machine.ctl != avoid]
        return rng.choice(names or [self.control_machines[0].ctl])

    def configuration_acknowledged(self, version: SentConfiguration) -> None:
        """Let clients switch to the tenants' new keys once the configuration is in force everywhere."""
        self.later(self.deployment.bounds.apply, self._adopt_keys, version.keys)

    def _adopt_keys(self, keys: dict[str, str]) -> None:
        for key, tenant in keys.items():
            if key != self.keys[tenant] and key not in self.previous_keys.values():
                self.previous_keys[tenant], self.keys[tenant] = self.keys[tenant], key

    def service_time(self, path: str) -> float:
        """Return the mean service time of a request for this path, in s."""
        return self.routes[path.split("/")[1]].work

    def answer_body(self, path: str, server: str, attempt: str) -> bytes:
        """Return the body of an answer, which is unique to the server and attempt."""
        route = self.routes[path.split("/")[1]]
        text = f"{server} {attempt} ".encode()
        return (text * (route.bytes_out // len(text) + 1))[: route.bytes_out]

    def draw_tenant(self, rng: Random) -> Tenant | None:
        """Draw the tenant of the next request by the tenants' weights."""
        if not self.deployment.tenants:
            return None
        return rng.choices(self.deployment.tenants, cum_weights=self.cumulative_weights)[0]

    def load_factor(self, route: Route, tenant: Tenant | None) -> float:
        """Return the current factor on the load of this route and tenant."""
        load_factor = 1.0
        for pattern, amount in self.load_factors:
            if fnmatchcase(route.name, pattern) or (tenant is not None and fnmatchcase(tenant.name, pattern)):
                load_factor *= amount
        return load_factor

    def say(self, event: str, **fields: object) -> None:
        """Count and, if requested, format a log event of a daemon."""
        self.events[event] = self.events.get(event, 0) + 1
        if self.log_lines is not None and len(self.log_lines) < MAX_LOG_LINES:
            world = self.world
            role, _, host = world.current.name.partition(":")
            fields_text = " ".join(f"{name}={_text(value)}" for name, value in fields.items())
            self.log_lines.append(
                f"level=INFO role={role} host={host.partition('/')[0]} "
                f"t={EPOCH + world.now:.3f} event={event} {fields_text}".rstrip()
            )

    # Running

    def run(self) -> Metrics:
        """Run the day and return its metrics."""
        began_at = time.perf_counter()
        with simulated_environment(self.world, self.say):
            self.world.run(self.load_ends + max(route.deadline for route in self.deployment.routes))
            self.operator.read_back()
            self.world.run(self.world.now + self.day.after)
            self.judge.finish(self.operator.read_body)
        return self._metrics(time.perf_counter() - began_at)

    def _metrics(self, wall_time_s: float) -> Metrics:
        """Return the judge's metrics, completed by those of the simulation itself."""
        metrics = self.judge.metrics()
        metrics.between_kb = self.network.bytes_between_zones / 1024
        metrics.processor = sum(
            m.processor_time_s + sum(p.processor_time_s for p in m.processes.values()) for m in self.machines
        )
        metrics.syncs = sum(m.disk_image.syncs for m in self.machines if m.disk_image is not None)
        metrics.events = dict(sorted(self.events.items()))
        metrics.failures = self.world.failures[:MAX_FAILURES]
        metrics.fired = self.world.callbacks_run
        metrics.took = wall_time_s
        return metrics


def _text(value: object) -> str:
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    return f'"{text}"' if " " in text or "=" in text else text


def run_day(day: Day, seed: int = 1, lines: bool = False) -> tuple[Metrics, list[str]]:
    """Run a day once; return its metrics, and the daemons' log lines if `lines` is set."""
    simulation = Simulation(day, seed, lines)
    return simulation.run(), simulation.log_lines or []


def _max_load_factor(day: Day) -> float:
    """Return an upper bound of the factor by which the faults of a day raise the load."""
    # Load faults may overlap: the product of all factors above 1 is the bound.
    bound = 1.0
    for fault in day.faults:
        if fault.kind == "load":
            bound *= max(1.0, fault.amount)
    return bound
