"""The kinds of faults and changes in a day: each is applied, and reverted after its span."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from random import Random
from typing import Protocol

from crowseam.simulator.actors.operator import Operator
from crowseam.simulator.actors.servers import Server
from crowseam.simulator.judge import Judge
from crowseam.simulator.machine import Machine
from crowseam.simulator.scenario.day import Deployment, Fault
from crowseam.simulator.world.link_faults import Trouble
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network

RELEASE_STEP = 0.6  # s between the servers of a release


class FaultContext(Protocol):
    """What faults change in a simulation."""

    deployment: Deployment
    world: World
    network: Network
    judge: Judge
    operator: Operator
    machines: list[Machine]
    servers: dict[str, Server]
    keys: dict[str, str]
    factors: list[tuple[str, float]]
    fault_rng: Random

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside all processes."""

    def another(self, server: Server, version: str = "") -> None:
        """Start a new server in the place of this one."""


def drawn(simulation: FaultContext, names: list, fault: Fault) -> list:
    """Those that the fault hits, of things with a `name`, `zone` or `id`."""

    def named(one: object) -> bool:
        return any(fnmatchcase(str(getattr(one, field, "")), fault.target) for field in ("name", "id", "zone"))

    found = [one for one in names if named(one)]
    if fault.count and len(found) > fault.count:
        found = simulation.fault_rng.sample(found, fault.count)
    return found


def _machines(simulation: FaultContext, fault: Fault) -> list[Machine]:
    able = [m for m in simulation.machines if fault.role != "controller" or m.serves_control]
    return drawn(simulation, able, fault)


def _trouble(simulation: FaultContext, machines: list[Machine], span: float) -> None:
    """These are not in touch; if the core is concerned, nobody is."""
    core = any(machine.disk_image is not None for machine in machines)
    now = simulation.world.now
    simulation.judge.trouble([] if core else [m.name for m in machines], now, now + span)


def _servers(simulation: FaultContext, fault: Fault) -> list[Server]:
    def hit(server: Server) -> bool:
        names = (server.id, server.service.name, server.zone)
        return server.up and server.phase == "up" and any(fnmatchcase(name, fault.target) for name in names)

    found = [server for server in simulation.servers.values() if hit(server)]
    if fault.count and len(found) > fault.count:
        found = simulation.fault_rng.sample(found, fault.count)
    return found


# Processes and machines


def kill(simulation: FaultContext, fault: Fault) -> None:
    """Processes are killed and started again after `span`."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    for machine in hit:
        for role in machine.roles(fault.role):
            machine.kill(role)
            simulation.later(fault.span, machine.start, role)


def stop(simulation: FaultContext, fault: Fault) -> None:
    """Processes get SIGTERM, and are started again `span` after they have ended."""
    hit = _machines(simulation, fault)
    if fault.role != "gateway":
        _trouble(simulation, [m for m in hit if m.serves_control], simulation.deployment.bounds.grace + fault.span)
    for machine in hit:
        for role in machine.roles(fault.role):
            machine.terminate(role, fault.span)


def power(simulation: FaultContext, fault: Fault) -> None:
    """Machines lose power for `span`; their disks remain."""
    _power(simulation, fault, False)


def wipe(simulation: FaultContext, fault: Fault) -> None:
    """Machines lose power for `span`, and their disks for good."""
    _power(simulation, fault, True)


def _power(simulation: FaultContext, fault: Fault, wiped: bool) -> None:
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    for machine in hit:
        machine.power_off()
        if wiped and machine.disk_image is not None:
            machine.disk_image.wipe()
    simulation.later(fault.span, _power_on, simulation, hit)


def _power_on(simulation: FaultContext, machines: list[Machine]) -> None:
    for machine in machines:
        machine.power_on()


def freeze(simulation: FaultContext, fault: Fault) -> None:
    """Processes stand still for `span`."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    for process in [m.processes[role] for m in hit for role in m.roles(fault.role) if role in m.processes]:
        process.frozen = True
        simulation.later(fault.span, process.thaw)


def slow(simulation: FaultContext, fault: Fault) -> None:
    """Processes are `amount` times slower for `span`."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    for process in [m.processes[role] for m in hit for role in m.roles(fault.role) if role in m.processes]:
        process.cost *= fault.amount
        simulation.later(fault.span, _quicken, process, fault.amount)


def _quicken(process: object, amount: float) -> None:
    process.cost /= amount


def clock(simulation: FaultContext, fault: Fault) -> None:
    """The time of day of machines jumps by `amount` s."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, 0.0)
    for machine in hit:
        machine.skew += fault.amount
        for process in machine.processes.values():
            process.skew += fault.amount


# Links


def cut(simulation: FaultContext, fault: Fault) -> None:
    """Machines see no other for `span`, or with `to` (a pattern) none of those; with each other they do."""
    _cut(simulation, fault, "both")


def cut_out(simulation: FaultContext, fault: Fault) -> None:
    """As `cut`, one way: what the machines send is lost, and they hear all others."""
    _cut(simulation, fault, "out")


def cut_in(simulation: FaultContext, fault: Fault) -> None:
    """As `cut`, one way: the machines hear nothing, and all others hear them."""
    _cut(simulation, fault, "in")


def _cut(simulation: FaultContext, fault: Fault, way: str) -> None:
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    _harm(simulation, fault.span, _between(simulation, hit, fault, way))


def _between(simulation: FaultContext, hit: list[Machine], fault: Fault, way: str = "both") -> Trouble:
    other = None
    if fault.to:
        other = frozenset(
            m.ip for m in simulation.machines if any(fnmatchcase(text, fault.to) for text in (m.name, m.zone))
        )
    return Trouble(frozenset(m.ip for m in hit), other, cut=True, way=way)


def flap(simulation: FaultContext, fault: Fault) -> None:
    """As `cut`, by turns of `amount` s each, cut and whole, for `span`."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    trouble = _between(simulation, hit, fault)
    for turn in range(max(1, int(fault.span / (2.0 * fault.amount)))):
        simulation.later(2.0 * turn * fault.amount, _harm, simulation, fault.amount, trouble)


def link(simulation: FaultContext, fault: Fault) -> None:
    """Links of machines are `amount` s slower for `span`, and lose one packet in twenty."""
    hit = _machines(simulation, fault)
    _trouble(simulation, hit, fault.span)
    _harm(simulation, fault.span, Trouble(frozenset(m.ip for m in hit), delay=fault.amount, loss=0.05))


def _harm(simulation: FaultContext, span: float, trouble: Trouble) -> None:
    simulation.network.troubles.append(trouble)
    simulation.later(span, _mend, simulation, trouble)


def _mend(simulation: FaultContext, trouble: Trouble) -> None:
    simulation.network.troubles.remove(trouble)
    simulation.network.look()


# Disks


def _disks(simulation: FaultContext, fault: Fault) -> list[Machine]:
    hit = [m for m in _machines(simulation, fault) if m.disk_image is not None]
    _trouble(simulation, hit, fault.span)
    return hit


def disk_hang(simulation: FaultContext, fault: Fault) -> None:
    """Disks answer nothing for `span`."""
    for machine in _disks(simulation, fault):
        machine.disk_image.hangs_until = simulation.world.now + fault.span


def disk_slow(simulation: FaultContext, fault: Fault) -> None:
    """Disks are `amount` times slower for `span`."""
    for machine in _disks(simulation, fault):
        machine.disk_image.slow = fault.amount
        simulation.later(fault.span, setattr, machine.disk_image, "slow", 1.0)


def disk_full(simulation: FaultContext, fault: Fault) -> None:
    """Disks refuse writes for `span`."""
    for machine in _disks(simulation, fault):
        machine.disk_image.full = True
        simulation.later(fault.span, setattr, machine.disk_image, "full", False)


# Servers


def server_crash(simulation: FaultContext, fault: Fault) -> None:
    """Servers end without a word; others take their places after `span` (0: none do)."""
    for server in _servers(simulation, fault):
        server.end()
        if fault.span:
            simulation.later(fault.span, simulation.another, server)


def server_dark(simulation: FaultContext, fault: Fault) -> None:
    """Servers neither hear nor say anything for `span`; connections to them hang."""
    for server in _servers(simulation, fault):
        _harm(simulation, fault.span, Trouble(frozenset((server.ip,)), cut=True))


def server_flap(simulation: FaultContext, fault: Fault) -> None:
    """Servers are silent and back by turns of `amount` s each, for `span`."""
    for server in _servers(simulation, fault):
        trouble = Trouble(frozenset((server.ip,)), cut=True)
        for turn in range(int(fault.span / (2.0 * fault.amount))):
            simulation.later(2.0 * turn * fault.amount, _harm, simulation, fault.amount, trouble)


def server_grey(simulation: FaultContext, fault: Fault) -> None:
    """Servers fail a part `amount` of their requests at once for `span`, and say that they are well."""
    for server in _servers(simulation, fault):
        server.grey = fault.amount
        simulation.later(fault.span, setattr, server, "grey", 0.0)


def server_slow(simulation: FaultContext, fault: Fault) -> None:
    """Servers are `amount` times slower for `span`."""
    for server in _servers(simulation, fault):
        server.factor = fault.amount
        simulation.later(fault.span, setattr, server, "factor", 1.0)


def lost_answers(simulation: FaultContext, fault: Fault) -> None:
    """Servers run requests, of which a part `amount` gets no answer, for `span`."""
    for server in _servers(simulation, fault):
        server.lose = fault.amount
        simulation.later(fault.span, setattr, server, "lose", 0.0)


def garble(simulation: FaultContext, fault: Fault) -> None:
    """A part `amount` of the servers' answers is none, for `span`."""
    for server in _servers(simulation, fault):
        server.garble = fault.amount
        simulation.later(fault.span, setattr, server, "garble", 0.0)


def retire(simulation: FaultContext, fault: Fault) -> None:
    """Servers leave in order, and none takes their places."""
    for server in _servers(simulation, fault):
        server.drain()


def release(simulation: FaultContext, fault: Fault) -> None:
    """The servers are replaced one after the other by others of version `to`."""
    for place, server in enumerate(_servers(simulation, fault)):
        simulation.later(place * RELEASE_STEP, _replace, simulation, server, fault.to or "v2")


def _replace(simulation: FaultContext, server: Server, version: str) -> None:
    simulation.another(server, version)
    simulation.later(1.0, server.drain)


# Load


def load(simulation: FaultContext, fault: Fault) -> None:
    """Tenants or routes of these names (all at `*`) ask `amount` times as much for `span`."""
    simulation.factors.append((fault.target, fault.amount))
    simulation.later(fault.span, simulation.factors.remove, (fault.target, fault.amount))


def lose_zone(simulation: FaultContext, fault: Fault) -> None:
    """All machines and servers of a zone lose power for `span`."""
    power(simulation, fault)
    for server in _servers(simulation, fault):
        server.end()
        simulation.later(fault.span, simulation.another, server)


# Configuration


def config_shift(simulation: FaultContext, fault: Fault) -> None:
    """Routes go to the service `to`."""
    _change_routes(simulation, fault, 1)


def config_race(simulation: FaultContext, fault: Fault) -> None:
    """As config_shift, while another operator sends the same on the same version, or `amount` do."""
    _change_routes(simulation, fault, max(2, int(fault.amount)))


def orders_lost(simulation: FaultContext, fault: Fault) -> None:
    """A part `amount` of the answers to operators is lost for `span`; the orders come again."""
    simulation.operator.lost = fault.amount
    simulation.later(fault.span, setattr, simulation.operator, "lost", 0.0)


def _change_routes(simulation: FaultContext, fault: Fault, rivals: int) -> None:
    operator, upsert = simulation.operator, {}
    for route in drawn(simulation, simulation.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        spec.pop("split", None)
        spec["svc"] = fault.to
        upsert["routes", route.name] = spec
    operator.change(upsert, rivals=rivals)


def config_split(simulation: FaultContext, fault: Fault) -> None:
    """A part `amount` of the routes' requests goes to the service `to`."""
    operator, upsert = simulation.operator, {}
    for route in drawn(simulation, simulation.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        now = spec.pop("svc", None) or spec.pop("split")[0]["svc"]
        spec["split"] = [{"svc": now, "wt": 1.0 - fault.amount}, {"svc": fault.to, "wt": fault.amount}]
        upsert["routes", route.name] = spec
    operator.change(upsert)


def config_grow(simulation: FaultContext, fault: Fault) -> None:
    """So many routes (`amount`) that nobody asks for are added."""
    like = next(iter(drawn(simulation, simulation.deployment.routes, fault)))
    upsert = {}
    for number in range(int(fault.amount)):
        name = f"grown-{int(fault.at * 1000)}-{number}"
        upsert["routes", name] = simulation.operator.spec("routes", like.name) | {"prefix": f"/{name}/"}
    simulation.operator.change(upsert)


def revoke(simulation: FaultContext, fault: Fault) -> None:
    """Tenants get a new key; the old one is taken away once clients have the new one."""
    for tenant in drawn(simulation, simulation.deployment.tenants, fault):
        old = simulation.keys[tenant.name]
        new = f"{tenant.name}-{simulation.fault_rng.getrandbits(48):012x}"
        _keys(simulation, tenant.name, [old, new])
        simulation.later(simulation.deployment.bounds.apply + 0.5, _keys, simulation, tenant.name, [new])


def _keys(simulation: FaultContext, tenant: str, keys: list[str]) -> None:
    simulation.operator.change({("tenants", tenant): simulation.operator.spec("tenants", tenant) | {"apikeys": keys}})


def quota(simulation: FaultContext, fault: Fault) -> None:
    """Tenants get `amount` times their rate and burst."""
    for tenant in drawn(simulation, simulation.deployment.tenants, fault):
        spec = simulation.operator.spec("tenants", tenant.name)
        for name in ("rate_per_s", "burst"):
            spec[name] = round((spec.get(name) or 0.0) * fault.amount, 3)
        simulation.operator.change({("tenants", tenant.name): spec})


KINDS: dict[str, Callable[[FaultContext, Fault], None]] = {
    one.__name__: one
    for one in (
        kill,
        stop,
        power,
        wipe,
        freeze,
        slow,
        clock,
        cut,
        cut_out,
        cut_in,
        flap,
        link,
        disk_hang,
        disk_slow,
        disk_full,
        server_crash,
        server_dark,
        server_flap,
        server_grey,
        server_slow,
        lost_answers,
        garble,
        retire,
        release,
        load,
        lose_zone,
        config_shift,
        config_race,
        config_split,
        config_grow,
        orders_lost,
        revoke,
        quota,
    )
}
