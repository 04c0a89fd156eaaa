"""Kinds of faults and changes in a day; each is applied, and reverted after its span.

The names of the functions in `KINDS` are the values of `kind` in day files.
"""

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
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network

RELEASE_STEP_S = 0.6  # between the servers of a release


class FaultContext(Protocol):
    """What faults need from the simulation."""

    deployment: Deployment
    world: World
    network: Network
    judge: Judge
    operator: Operator
    machines: list[Machine]
    servers: dict[str, Server]
    keys: dict[str, str]
    load_factors: list[tuple[str, float]]
    fault_rng: Random

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside of all simulated processes."""

    def replace_server(self, server: Server, version: str = "") -> None:
        """Start a new server in place of this one."""


def select_targets(simulation: FaultContext, candidates: list, fault: Fault) -> list:
    """Pick the targets of a fault among objects with a `name`, `id` or `zone`."""

    def matches_pattern(candidate: object) -> bool:
        return any(fnmatchcase(str(getattr(candidate, field, "")), fault.target) for field in ("name", "id", "zone"))

    matches = [candidate for candidate in candidates if matches_pattern(candidate)]
    if fault.count and len(matches) > fault.count:
        matches = simulation.fault_rng.sample(matches, fault.count)
    return matches


def _target_machines(simulation: FaultContext, fault: Fault) -> list[Machine]:
    candidates = [m for m in simulation.machines if fault.role != "controller" or m.serves_control]
    return select_targets(simulation, candidates, fault)


def _record_outage(simulation: FaultContext, machines: list[Machine], span: float) -> None:
    """Tell the judge that these machines may be out of touch; if one of them has a disk, all machines may be."""
    is_core = any(machine.disk_image is not None for machine in machines)
    now = simulation.world.now
    simulation.judge.record_outage([] if is_core else [m.name for m in machines], now, now + span)


def _running_servers(simulation: FaultContext, fault: Fault) -> list[Server]:
    def is_target(server: Server) -> bool:
        names = (server.id, server.service.name, server.zone)
        return server.up and server.phase == "up" and any(fnmatchcase(name, fault.target) for name in names)

    matches = [server for server in simulation.servers.values() if is_target(server)]
    if fault.count and len(matches) > fault.count:
        matches = simulation.fault_rng.sample(matches, fault.count)
    return matches


# Processes and machines


def kill(simulation: FaultContext, fault: Fault) -> None:
    """Kill processes and restart them after `span`."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    for machine in targets:
        for role in machine.roles(fault.role):
            machine.kill(role)
            simulation.later(fault.span, machine.start, role)


def stop(simulation: FaultContext, fault: Fault) -> None:
    """Send SIGTERM to processes and restart them `span` after their exit."""
    targets = _target_machines(simulation, fault)
    if fault.role != "gateway":
        _record_outage(
            simulation, [m for m in targets if m.serves_control], simulation.deployment.bounds.grace + fault.span
        )
    for machine in targets:
        for role in machine.roles(fault.role):
            machine.terminate(role, fault.span)


def power(simulation: FaultContext, fault: Fault) -> None:
    """Cut the power of machines for `span`; their disks remain."""
    _power(simulation, fault, False)


def wipe(simulation: FaultContext, fault: Fault) -> None:
    """Cut the power of machines for `span`, and wipe their disks."""
    _power(simulation, fault, True)


def _power(simulation: FaultContext, fault: Fault, wiped: bool) -> None:
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    for machine in targets:
        machine.power_off()
        if wiped and machine.disk_image is not None:
            machine.disk_image.wipe()
    simulation.later(fault.span, _power_on, simulation, targets)


def _power_on(simulation: FaultContext, machines: list[Machine]) -> None:
    for machine in machines:
        machine.power_on()


def freeze(simulation: FaultContext, fault: Fault) -> None:
    """Freeze processes for `span`."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    for process in [m.processes[role] for m in targets for role in m.roles(fault.role) if role in m.processes]:
        process.frozen = True
        simulation.later(fault.span, process.thaw)


def slow(simulation: FaultContext, fault: Fault) -> None:
    """Make processes `amount` times slower for `span`."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    for process in [m.processes[role] for m in targets for role in m.roles(fault.role) if role in m.processes]:
        process.callback_cost_s *= fault.amount
        simulation.later(fault.span, _end_slowdown, process, fault.amount)


def _end_slowdown(process: object, amount: float) -> None:
    process.callback_cost_s /= amount


def clock(simulation: FaultContext, fault: Fault) -> None:
    """Step the wall clock of machines by `amount` s."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, 0.0)
    for machine in targets:
        machine.skew += fault.amount
        for process in machine.processes.values():
            process.skew += fault.amount


# Links


def cut(simulation: FaultContext, fault: Fault) -> None:
    """Cut machines off from all others for `span`, or from those matching `to`; they still reach each other."""
    _cut(simulation, fault, "both")


def cut_out(simulation: FaultContext, fault: Fault) -> None:
    """Like `cut`, but only packets sent by the machines are lost."""
    _cut(simulation, fault, "out")


def cut_in(simulation: FaultContext, fault: Fault) -> None:
    """Like `cut`, but only packets sent to the machines are lost."""
    _cut(simulation, fault, "in")


def _cut(simulation: FaultContext, fault: Fault, direction: str) -> None:
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    _apply_link_fault(simulation, fault.span, _link_cut(simulation, targets, fault, direction))


def _link_cut(simulation: FaultContext, targets: list[Machine], fault: Fault, direction: str = "both") -> LinkFault:
    peers = None
    if fault.to:
        peers = frozenset(
            m.ip for m in simulation.machines if any(fnmatchcase(text, fault.to) for text in (m.name, m.zone))
        )
    return LinkFault(frozenset(m.ip for m in targets), peers, cut=True, direction=direction)


def flap(simulation: FaultContext, fault: Fault) -> None:
    """Like `cut`, alternating between cut and restored every `amount` s for `span`."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    link_fault = _link_cut(simulation, targets, fault)
    for cycle in range(max(1, int(fault.span / (2.0 * fault.amount)))):
        simulation.later(2.0 * cycle * fault.amount, _apply_link_fault, simulation, fault.amount, link_fault)


def link(simulation: FaultContext, fault: Fault) -> None:
    """Add `amount` s of delay and 5% packet loss to the links of machines for `span`."""
    targets = _target_machines(simulation, fault)
    _record_outage(simulation, targets, fault.span)
    _apply_link_fault(
        simulation, fault.span, LinkFault(frozenset(m.ip for m in targets), delay=fault.amount, loss=0.05)
    )


def _apply_link_fault(simulation: FaultContext, span: float, link_fault: LinkFault) -> None:
    simulation.network.link_faults.append(link_fault)
    simulation.later(span, _remove_link_fault, simulation, link_fault)


def _remove_link_fault(simulation: FaultContext, link_fault: LinkFault) -> None:
    simulation.network.link_faults.remove(link_fault)
    simulation.network.resume_links()


# Disks


def _machines_with_disk(simulation: FaultContext, fault: Fault) -> list[Machine]:
    targets = [m for m in _target_machines(simulation, fault) if m.disk_image is not None]
    _record_outage(simulation, targets, fault.span)
    return targets


def disk_hang(simulation: FaultContext, fault: Fault) -> None:
    """Make disks hang for `span`."""
    for machine in _machines_with_disk(simulation, fault):
        machine.disk_image.hangs_until = simulation.world.now + fault.span


def disk_slow(simulation: FaultContext, fault: Fault) -> None:
    """Make disks `amount` times slower for `span`."""
    for machine in _machines_with_disk(simulation, fault):
        machine.disk_image.slow = fault.amount
        simulation.later(fault.span, setattr, machine.disk_image, "slow", 1.0)


def disk_full(simulation: FaultContext, fault: Fault) -> None:
    """Make writes fail for `span`, as on a full disk."""
    for machine in _machines_with_disk(simulation, fault):
        machine.disk_image.full = True
        simulation.later(fault.span, setattr, machine.disk_image, "full", False)


# Servers


def server_crash(simulation: FaultContext, fault: Fault) -> None:
    """End servers without notice; replacements start after `span` (0: none)."""
    for server in _running_servers(simulation, fault):
        server.end()
        if fault.span:
            simulation.later(fault.span, simulation.replace_server, server)


def server_dark(simulation: FaultContext, fault: Fault) -> None:
    """Cut servers off for `span`; connections to them hang."""
    for server in _running_servers(simulation, fault):
        _apply_link_fault(simulation, fault.span, LinkFault(frozenset((server.ip,)), cut=True))


def server_flap(simulation: FaultContext, fault: Fault) -> None:
    """Cut servers off and restore them every `amount` s for `span`."""
    for server in _running_servers(simulation, fault):
        link_fault = LinkFault(frozenset((server.ip,)), cut=True)
        for cycle in range(int(fault.span / (2.0 * fault.amount))):
            simulation.later(2.0 * cycle * fault.amount, _apply_link_fault, simulation, fault.amount, link_fault)


def server_grey(simulation: FaultContext, fault: Fault) -> None:
    """Gray failure: servers fail a share `amount` of their requests at once for `span`, but report healthy."""
    for server in _running_servers(simulation, fault):
        server.failure_chance = fault.amount
        simulation.later(fault.span, setattr, server, "failure_chance", 0.0)


def server_slow(simulation: FaultContext, fault: Fault) -> None:
    """Make servers `amount` times slower for `span`."""
    for server in _running_servers(simulation, fault):
        server.slowdown = fault.amount
        simulation.later(fault.span, setattr, server, "slowdown", 1.0)


def lost_answers(simulation: FaultContext, fault: Fault) -> None:
    """Drop a share `amount` of the servers' answers for `span`, after the requests have run."""
    for server in _running_servers(simulation, fault):
        server.lost_answer_chance = fault.amount
        simulation.later(fault.span, setattr, server, "lost_answer_chance", 0.0)


def garble(simulation: FaultContext, fault: Fault) -> None:
    """Make a share `amount` of the servers' answers malformed for `span`."""
    for server in _running_servers(simulation, fault):
        server.garbled_answer_chance = fault.amount
        simulation.later(fault.span, setattr, server, "garbled_answer_chance", 0.0)


def retire(simulation: FaultContext, fault: Fault) -> None:
    """Drain servers without replacement."""
    for server in _running_servers(simulation, fault):
        server.drain()


def release(simulation: FaultContext, fault: Fault) -> None:
    """Replace the servers one after another by servers of version `to`."""
    for index, server in enumerate(_running_servers(simulation, fault)):
        simulation.later(index * RELEASE_STEP_S, _replace_server, simulation, server, fault.to or "v2")


def _replace_server(simulation: FaultContext, server: Server, version: str) -> None:
    simulation.replace_server(server, version)
    simulation.later(1.0, server.drain)


# Load


def load(simulation: FaultContext, fault: Fault) -> None:
    """Multiply the load of the matching tenants or routes (`*`: all) by `amount` for `span`."""
    simulation.load_factors.append((fault.target, fault.amount))
    simulation.later(fault.span, simulation.load_factors.remove, (fault.target, fault.amount))


def lose_zone(simulation: FaultContext, fault: Fault) -> None:
    """Cut the power of all machines and servers of a zone for `span`."""
    power(simulation, fault)
    for server in _running_servers(simulation, fault):
        server.end()
        simulation.later(fault.span, simulation.replace_server, server)


# Configuration


def config_shift(simulation: FaultContext, fault: Fault) -> None:
    """Send the requests of routes to the service `to`."""
    _change_routes(simulation, fault, 1)


def config_race(simulation: FaultContext, fault: Fault) -> None:
    """Like `config_shift`, sent by two operators, or `amount` of them, on the same version at once."""
    _change_routes(simulation, fault, max(2, int(fault.amount)))


def orders_lost(simulation: FaultContext, fault: Fault) -> None:
    """Drop a share `amount` of the answers to the operator for `span`; it sends its changes again."""
    simulation.operator.lost_answer_chance = fault.amount
    simulation.later(fault.span, setattr, simulation.operator, "lost_answer_chance", 0.0)


def _change_routes(simulation: FaultContext, fault: Fault, rival_count: int) -> None:
    operator, upsert = simulation.operator, {}
    for route in select_targets(simulation, simulation.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        spec.pop("split", None)
        spec["svc"] = fault.to
        upsert["routes", route.name] = spec
    operator.change(upsert, rival_count=rival_count)


def config_split(simulation: FaultContext, fault: Fault) -> None:
    """Send a share `amount` of the requests of routes to the service `to`."""
    operator, upsert = simulation.operator, {}
    for route in select_targets(simulation, simulation.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        current = spec.pop("svc", None) or spec.pop("split")[0]["svc"]
        spec["split"] = [{"svc": current, "wt": 1.0 - fault.amount}, {"svc": fault.to, "wt": fault.amount}]
        upsert["routes", route.name] = spec
    operator.change(upsert)


def config_grow(simulation: FaultContext, fault: Fault) -> None:
    """Add `amount` routes that get no requests."""
    template = next(iter(select_targets(simulation, simulation.deployment.routes, fault)))
    upsert = {}
    for number in range(int(fault.amount)):
        name = f"grown-{int(fault.at * 1000)}-{number}"
        upsert["routes", name] = simulation.operator.spec("routes", template.name) | {"prefix": f"/{name}/"}
    simulation.operator.change(upsert)


def revoke(simulation: FaultContext, fault: Fault) -> None:
    """Give tenants a new API key; the old one is revoked once clients use the new one."""
    for tenant in select_targets(simulation, simulation.deployment.tenants, fault):
        old = simulation.keys[tenant.name]
        new = f"{tenant.name}-{simulation.fault_rng.getrandbits(48):012x}"
        _set_keys(simulation, tenant.name, [old, new])
        simulation.later(simulation.deployment.bounds.apply + 0.5, _set_keys, simulation, tenant.name, [new])


def _set_keys(simulation: FaultContext, tenant: str, keys: list[str]) -> None:
    simulation.operator.change({("tenants", tenant): simulation.operator.spec("tenants", tenant) | {"apikeys": keys}})


def quota(simulation: FaultContext, fault: Fault) -> None:
    """Multiply the rate and burst of tenants by `amount`."""
    for tenant in select_targets(simulation, simulation.deployment.tenants, fault):
        spec = simulation.operator.spec("tenants", tenant.name)
        for name in ("rate_per_s", "burst"):
            spec[name] = round((spec.get(name) or 0.0) * fault.amount, 3)
        simulation.operator.change({("tenants", tenant.name): spec})


KINDS: dict[str, Callable[[FaultContext, Fault], None]] = {
    function.__name__: function
    for function in (
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
