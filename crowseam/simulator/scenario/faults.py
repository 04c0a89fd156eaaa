"""What can go wrong, or be changed, in a day: each kind does its part and takes it back after its span."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING

from crowseam.simulator.scenario.day import Fault
from crowseam.simulator.world.network import Trouble

if TYPE_CHECKING:
    from crowseam.simulator.actors.servers import Server
    from crowseam.simulator.simulation import Cell, Machine

RESTART = 1.0       # s until a process that ended is started again
RELEASE_STEP = 0.6  # s between the servers of a release


def drawn(cell: Cell, names: list, fault: Fault) -> list:
    """Those that the fault hits, of things with a `name`, `zone` or `id`."""
    def named(one: object) -> bool:
        return any(fnmatchcase(str(getattr(one, field, "")), fault.target)
                   for field in ("name", "id", "zone"))

    found = [one for one in names if named(one)]
    if fault.count and len(found) > fault.count:
        found = cell.fault_rng.sample(found, fault.count)
    return found


def _machines(cell: Cell, fault: Fault) -> list[Machine]:
    able = [m for m in cell.machines if fault.role != "registry" or m.serves_control]
    return drawn(cell, able, fault)


def _trouble(cell: Cell, machines: list[Machine], span: float) -> None:
    """These are not in touch; if the core is concerned, nobody is."""
    core = any(machine.platter is not None for machine in machines)
    now = cell.world.now
    cell.judge.trouble([] if core else [m.name for m in machines], now, now + span)


def _servers(cell: Cell, fault: Fault) -> list[Server]:
    def hit(server: Server) -> bool:
        names = (server.id, server.service.name, server.zone)
        return server.up and server.phase == "up" and any(fnmatchcase(name, fault.target) for name in names)

    found = [server for server in cell.servers.values() if hit(server)]
    if fault.count and len(found) > fault.count:
        found = cell.fault_rng.sample(found, fault.count)
    return found


# Processes and machines


def kill(cell: Cell, fault: Fault) -> None:
    """Processes are killed and started again after `span`."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    for machine in hit:
        for role in machine.roles(fault.role):
            machine.kill(role)
            cell.later(fault.span, machine.start, role)


def stop(cell: Cell, fault: Fault) -> None:
    """Processes get SIGTERM, and are started again `span` after they have ended."""
    hit = _machines(cell, fault)
    if fault.role != "desk":
        _trouble(cell, [m for m in hit if m.serves_control], cell.deployment.bounds.grace + fault.span)
    for machine in hit:
        for role in machine.roles(fault.role):
            machine.terminate(role, fault.span)


def power(cell: Cell, fault: Fault) -> None:
    """Machines lose power for `span`; their disks remain."""
    _power(cell, fault, False)


def wipe(cell: Cell, fault: Fault) -> None:
    """Machines lose power for `span`, and their disks for good."""
    _power(cell, fault, True)


def _power(cell: Cell, fault: Fault, wiped: bool) -> None:
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    for machine in hit:
        machine.power_off()
        if wiped and machine.platter is not None:
            machine.platter.wipe()
    cell.later(fault.span, _power_on, cell, hit)


def _power_on(cell: Cell, machines: list[Machine]) -> None:
    for machine in machines:
        machine.power_on()


def freeze(cell: Cell, fault: Fault) -> None:
    """Processes stand still for `span`."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    for process in [m.processes[role] for m in hit for role in m.roles(fault.role) if role in m.processes]:
        process.frozen = True
        cell.later(fault.span, process.thaw)


def slow(cell: Cell, fault: Fault) -> None:
    """Processes are `amount` times slower for `span`."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    for process in [m.processes[role] for m in hit for role in m.roles(fault.role) if role in m.processes]:
        process.cost *= fault.amount
        cell.later(fault.span, _quicken, process, fault.amount)


def _quicken(process: object, amount: float) -> None:
    process.cost /= amount


def clock(cell: Cell, fault: Fault) -> None:
    """The time of day of machines jumps by `amount` s."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, 0.0)
    for machine in hit:
        machine.skew += fault.amount
        for process in machine.processes.values():
            process.skew += fault.amount


# Links


def cut(cell: Cell, fault: Fault) -> None:
    """Machines see no other for `span`, or with `to` (a pattern) none of those; with each other they do."""
    _cut(cell, fault, "both")


def cut_out(cell: Cell, fault: Fault) -> None:
    """As `cut`, one way: what the machines send is lost, and they hear all others."""
    _cut(cell, fault, "out")


def cut_in(cell: Cell, fault: Fault) -> None:
    """As `cut`, one way: the machines hear nothing, and all others hear them."""
    _cut(cell, fault, "in")


def _cut(cell: Cell, fault: Fault, way: str) -> None:
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    _harm(cell, fault.span, _between(cell, hit, fault, way))


def _between(cell: Cell, hit: list[Machine], fault: Fault, way: str = "both") -> Trouble:
    other = None
    if fault.to:
        other = frozenset(m.ip for m in cell.machines
                          if any(fnmatchcase(text, fault.to) for text in (m.name, m.zone)))
    return Trouble(frozenset(m.ip for m in hit), other, cut=True, way=way)


def flap(cell: Cell, fault: Fault) -> None:
    """As `cut`, by turns of `amount` s each, cut and whole, for `span`."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    trouble = _between(cell, hit, fault)
    for turn in range(max(1, int(fault.span / (2.0 * fault.amount)))):
        cell.later(2.0 * turn * fault.amount, _harm, cell, fault.amount, trouble)


def link(cell: Cell, fault: Fault) -> None:
    """Links of machines are `amount` s slower for `span`, and lose one packet in twenty."""
    hit = _machines(cell, fault)
    _trouble(cell, hit, fault.span)
    _harm(cell, fault.span, Trouble(frozenset(m.ip for m in hit), delay=fault.amount, loss=0.05))


def _harm(cell: Cell, span: float, trouble: Trouble) -> None:
    cell.network.troubles.append(trouble)
    cell.later(span, _mend, cell, trouble)


def _mend(cell: Cell, trouble: Trouble) -> None:
    cell.network.troubles.remove(trouble)
    cell.network.look()


# Disks


def _disks(cell: Cell, fault: Fault) -> list[Machine]:
    hit = [m for m in _machines(cell, fault) if m.platter is not None]
    _trouble(cell, hit, fault.span)
    return hit


def disk_hang(cell: Cell, fault: Fault) -> None:
    """Disks answer nothing for `span`."""
    for machine in _disks(cell, fault):
        machine.platter.hangs_until = cell.world.now + fault.span


def disk_slow(cell: Cell, fault: Fault) -> None:
    """Disks are `amount` times slower for `span`."""
    for machine in _disks(cell, fault):
        machine.platter.slow = fault.amount
        cell.later(fault.span, setattr, machine.platter, "slow", 1.0)


def disk_full(cell: Cell, fault: Fault) -> None:
    """Disks refuse writes for `span`."""
    for machine in _disks(cell, fault):
        machine.platter.full = True
        cell.later(fault.span, setattr, machine.platter, "full", False)


# Servers


def server_crash(cell: Cell, fault: Fault) -> None:
    """Servers end without a word; others take their places after `span` (0: none do)."""
    for server in _servers(cell, fault):
        server.end()
        if fault.span:
            cell.later(fault.span, cell.another, server)


def server_dark(cell: Cell, fault: Fault) -> None:
    """Servers neither hear nor say anything for `span`; connections to them hang."""
    for server in _servers(cell, fault):
        _harm(cell, fault.span, Trouble(frozenset((server.ip,)), cut=True))


def server_flap(cell: Cell, fault: Fault) -> None:
    """Servers are silent and back by turns of `amount` s each, for `span`."""
    for server in _servers(cell, fault):
        trouble = Trouble(frozenset((server.ip,)), cut=True)
        for turn in range(int(fault.span / (2.0 * fault.amount))):
            cell.later(2.0 * turn * fault.amount, _harm, cell, fault.amount, trouble)


def server_grey(cell: Cell, fault: Fault) -> None:
    """Servers fail a part `amount` of their requests at once for `span`, and say that they are well."""
    for server in _servers(cell, fault):
        server.grey = fault.amount
        cell.later(fault.span, setattr, server, "grey", 0.0)


def server_slow(cell: Cell, fault: Fault) -> None:
    """Servers are `amount` times slower for `span`."""
    for server in _servers(cell, fault):
        server.factor = fault.amount
        cell.later(fault.span, setattr, server, "factor", 1.0)


def lost_answers(cell: Cell, fault: Fault) -> None:
    """Servers run requests, of which a part `amount` gets no answer, for `span`."""
    for server in _servers(cell, fault):
        server.lose = fault.amount
        cell.later(fault.span, setattr, server, "lose", 0.0)


def garble(cell: Cell, fault: Fault) -> None:
    """A part `amount` of the servers' answers is none, for `span`."""
    for server in _servers(cell, fault):
        server.garble = fault.amount
        cell.later(fault.span, setattr, server, "garble", 0.0)


def retire(cell: Cell, fault: Fault) -> None:
    """Servers leave in order, and none takes their places."""
    for server in _servers(cell, fault):
        server.drain()


def release(cell: Cell, fault: Fault) -> None:
    """The servers are replaced one after the other by others of version `to`."""
    for place, server in enumerate(_servers(cell, fault)):
        cell.later(place * RELEASE_STEP, _replace, cell, server, fault.to or "v2")


def _replace(cell: Cell, server: Server, version: str) -> None:
    cell.another(server, version)
    cell.later(1.0, server.drain)


# Load


def load(cell: Cell, fault: Fault) -> None:
    """Tenants or routes of these names (all at `*`) ask `amount` times as much for `span`."""
    cell.factors.append((fault.target, fault.amount))
    cell.later(fault.span, cell.factors.remove, (fault.target, fault.amount))


def lose_zone(cell: Cell, fault: Fault) -> None:
    """All machines and servers of a zone lose power for `span`."""
    power(cell, fault)
    for server in _servers(cell, fault):
        server.end()
        cell.later(fault.span, cell.another, server)


# Configuration


def config_shift(cell: Cell, fault: Fault) -> None:
    """Routes go to the service `to`."""
    _change_routes(cell, fault, 1)


def config_race(cell: Cell, fault: Fault) -> None:
    """As config_shift, while another operator sends the same on the same version, or `amount` do."""
    _change_routes(cell, fault, max(2, int(fault.amount)))


def orders_lost(cell: Cell, fault: Fault) -> None:
    """A part `amount` of the answers to operators is lost for `span`; the orders come again."""
    cell.operator.lost = fault.amount
    cell.later(fault.span, setattr, cell.operator, "lost", 0.0)


def _change_routes(cell: Cell, fault: Fault, rivals: int) -> None:
    operator, upsert = cell.operator, {}
    for route in drawn(cell, cell.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        spec.pop("split", None)
        spec["svc"] = fault.to
        upsert["routes", route.name] = spec
    operator.change(upsert, rivals=rivals)


def config_split(cell: Cell, fault: Fault) -> None:
    """A part `amount` of the routes' requests goes to the service `to`."""
    operator, upsert = cell.operator, {}
    for route in drawn(cell, cell.deployment.routes, fault):
        spec = operator.spec("routes", route.name)
        now = spec.pop("svc", None) or spec.pop("split")[0]["svc"]
        spec["split"] = [{"svc": now, "wt": 1.0 - fault.amount}, {"svc": fault.to, "wt": fault.amount}]
        upsert["routes", route.name] = spec
    operator.change(upsert)


def config_grow(cell: Cell, fault: Fault) -> None:
    """So many routes (`amount`) that nobody asks for are added."""
    like = next(iter(drawn(cell, cell.deployment.routes, fault)))
    upsert = {}
    for number in range(int(fault.amount)):
        name = f"grown-{int(fault.at * 1000)}-{number}"
        upsert["routes", name] = cell.operator.spec("routes", like.name) | {"prefix": f"/{name}/"}
    cell.operator.change(upsert)


def revoke(cell: Cell, fault: Fault) -> None:
    """Tenants get a new key; the old one is taken away once clients have the new one."""
    for tenant in drawn(cell, cell.deployment.tenants, fault):
        old = cell.keys[tenant.name]
        new = f"{tenant.name}-{cell.fault_rng.getrandbits(48):012x}"
        _keys(cell, tenant.name, [old, new])
        cell.later(cell.deployment.bounds.apply + 0.5, _keys, cell, tenant.name, [new])


def _keys(cell: Cell, tenant: str, keys: list[str]) -> None:
    cell.operator.change({("tenants", tenant): cell.operator.spec("tenants", tenant) | {"apikeys": keys}})


def quota(cell: Cell, fault: Fault) -> None:
    """Tenants get `amount` times their rate and burst."""
    for tenant in drawn(cell, cell.deployment.tenants, fault):
        spec = cell.operator.spec("tenants", tenant.name)
        for name in ("rate_per_s", "burst"):
            spec[name] = round((spec.get(name) or 0.0) * fault.amount, 3)
        cell.operator.change({("tenants", tenant.name): spec})


KINDS: dict[str, Callable[[Cell, Fault], None]] = {
    one.__name__: one for one in (
        kill, stop, power, wipe, freeze, slow, clock, cut, cut_out, cut_in, flap, link, disk_hang, disk_slow,
        disk_full, server_crash, server_dark, server_flap, server_grey, server_slow, lost_answers, garble,
        retire, release, load, lose_zone, config_shift, config_race, config_split, config_grow, orders_lost,
        revoke, quota)}
