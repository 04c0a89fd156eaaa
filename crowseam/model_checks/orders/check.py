"""Model check of orders: operators that race, resend and lose answers, against the daemons themselves.

A few controllers and gateways run on the simulator's virtual clock, without clients.  Operators send changes of
the configuration as callers do: to any controller, the same again after a failure or a second of silence, until
a clear answer comes.  Meanwhile machines are cut off (one way too), killed, frozen, lose power or disks, and
answers are lost.  Watched is what operators were told, what was chosen, and what each gateway acts on.

Assumed, as by `docs/control.md`: an operator builds on a version that was acknowledged or read back, and
disks are lost one at a time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import msgspec

from crowseam.configuration.model import EMPTY, Configuration, ConfigurationError
from crowseam.consensus.client_requests import ClientRequest, RequestQueue
from crowseam.consensus.effects import NotifyApplied
from crowseam.consensus.messages import Accept, ConfigurationEntry, Prepare
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed, OutcomeUnknown
from crowseam.consensus.proposer import Proposer
from crowseam.consensus.quorum_round import QuorumRound
from crowseam.consensus.timing import Timing
from crowseam.controller.agreement import Agreement
from crowseam.controller.pending_calls import PendingCalls
from crowseam.controller.state_machine import ConfigurationStateMachine as State
from crowseam.controller.state_machine import UnknownParent
from crowseam.gateway.controller_session import ControllerSession
from crowseam.model_checks.schedules import Mutant, Report, Violation, play
from crowseam.simulator.actors import http_client
from crowseam.simulator.actors.operator import FINAL_STATUSES
from crowseam.simulator.machine import Machine
from crowseam.simulator.scenario.day import Deployment, Route, Service, Zone
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network
from crowseam.simulator.world.patches import simulated_environment as worn

STEPS = 24  # acts of a schedule
SILENCE = 1.0  # s without an answer after which an operator calls another controller
APPLY = 2.5  # s within which an acknowledged change is in force at gateways in touch
CALM = 9.0  # s after the last trouble in which the fleet gets over it
OPERATORS = 8  # orders under way at once


class Order(msgspec.Struct, eq=False):
    """One order of an operator: what it sends, what it makes of its parent, and what it was told.

    `valid` says whether it may be taken where its parent is current; `items` is then the whole configuration.
    """

    method: str
    ver: int
    parent: int
    body: bytes
    items: dict[tuple[str, str], Any]
    valid: bool
    sent_at: float
    acked_at: float | None = None
    refused_at: float | None = None
    under_way: int = 0  # operators that wait for a clear answer

    def __str__(self) -> str:
        return f"{self.method} {self.ver:08x} on {self.parent:08x}"


class OneWay(LinkFault):
    """A cut of what goes from `one` to `other`; the way back is free."""

    def affects(self, a: str, b: str) -> bool:
        return a in self.group and (b not in self.group if self.peers is None else b in self.peers)


class Box(Machine):
    """A machine that runs one process, watched by the fleet."""

    def __init__(self, fleet: Fleet, name: str, ip: str, role: str, disk: bool) -> None:
        super().__init__(fleet, name, "home", ip, role == "controller", disk)
        self.role = role

    def roles(self, asked: str) -> list[str]:
        return [self.role]

    def _launch(self, role: str, process: Any, bootstrap: bool) -> None:
        super()._launch(role, process, bootstrap)
        if (daemon := self.daemons.get(role)) is not None:
            self.simulation.watch(self, daemon)

    @property
    def daemon(self) -> Any:
        return self.daemons.get(self.role)


class Fleet:
    """Controllers, gateways and operators, and all that they saw."""

    def __init__(
        self, seed: int, controllers: int, disks: int, gateways: int, timing: Timing, memory: tuple[int, int] | None
    ) -> None:
        self.world = World(seed)
        self.rng = Random(f"{seed}/acts")
        self.timing, self.memory = timing, memory
        self.deployment = Deployment([Zone("home")], [Service("menu", 0)], [Route("r", 0.0, "menu")])
        self.network = Network(self.world, lambda a, b: 0.001, lambda ip: "home")
        self.world.environment.loop.network = self.network
        self.outcomes: Counter = Counter()
        self.controllers = [Box(self, f"r{n}", f"10.1.0.{n + 5}", "controller", n < disks) for n in range(controllers)]
        self.gateways = [Box(self, f"d{n}", f"10.2.0.{n + 5}", "gateway", False) for n in range(gateways)]
        self.seeds = [box.ctl for box in self.controllers[:3]]
        self.operators = [self.network.process(f"operator{n}", f"10.251.0.{n + 1}") for n in range(OPERATORS)]
        self.chosen: dict[int, str] = {}  # tags of entries, by slot
        self.took: dict[int, Order] = {}  # orders that were chosen, by version, in that order
        self.orders: dict[bytes, Order] = {}  # by method and body
        self.acked = 0  # the newest version that was acknowledged
        self.acts: dict[str, list[int]] = {}  # versions that each life of a gateway acted on
        self.troubled_at = 0.0  # the end of the last trouble
        self.at_answer: Callable[[Box], None] | None = None  # what strikes while an answer is written
        self.on_ack: Callable[[], None] | None = None
        self.broken: str | None = None
        for box in self.controllers + self.gateways:
            self.later(self.rng.uniform(0.0, 0.3), box.start, box.role, True)

    # What `play` asks of a world

    @property
    def now(self) -> float:
        return self.world.now

    @property
    def events(self) -> int:
        return self.world.callbacks_run

    # What machines ask of a cell

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        self.world.schedule(self.world.now + delay, self.world.environment, callback, args)

    def say(self, event: str, **fields: object) -> None:
        """What a daemon logs is not kept."""

    # Watching

    def run(self, span: float) -> None:
        """Let `span` s pass. Raises Violation."""
        self.world.run(self.world.now + span)
        if self.broken is None and self.world.failures:
            self.broken = self.world.failures[0]
        if self.broken is not None:
            raise Violation(self.broken)

    def broke(self, text: str) -> None:
        """The first break of a rule ends the schedule: callbacks can't raise through the daemons."""
        self.broken = self.broken or text

    def watch(self, box: Box, daemon: Any) -> None:
        """See what a new process does."""
        if box.role == "gateway":
            return self._watch_gateway(f"{box.name}/{box.incarnations['gateway']}", daemon)
        daemon.node._context.timing = self.timing
        daemon.lease_service.tick = lambda *_: None  # nothing is lent, and duties are two fifths of the time
        if self.memory is not None:
            daemon.machine.max_recent, daemon.machine.max_earlier = self.memory
        carry_out = daemon.agreement.on_applied

        def applied(effect: NotifyApplied) -> None:
            self._applied(effect)
            carry_out(effect)

        daemon.agreement.on_applied = applied
        take = daemon.pending_calls.take

        def answered(ticket: object) -> Any:
            call = take(ticket)
            if call is not None and self.at_answer is not None and self.rng.random() < 0.5:
                strike, self.at_answer = self.at_answer, None
                strike(box)
            return call

        daemon.pending_calls.take = answered

    def _watch_gateway(self, life: str, daemon: Any) -> None:
        acts, act = self.acts.setdefault(life, []), daemon.controller_session.on_table

        def on_table(table: Any) -> None:
            config = daemon.controller_session.config
            if acts and config.ver <= acts[-1]:
                self.broke(f"gateway {life} acts on {config.ver:08x} after {acts[-1]:08x}")
            acts.append(config.ver)
            order = self.took.get(config.ver)
            if order is None:
                self.broke(f"gateway {life} acts on {config.ver:08x}, which was not chosen")
            elif _meaning(config.dump()) != order.items:
                self.broke(f"gateway {life} acts on something else under {config.ver:08x}")
            act(table)

        daemon.controller_session.on_table = on_table

    def _applied(self, effect: NotifyApplied) -> None:
        entry, slot = effect.entry, effect.slot
        if entry is None:
            return
        if slot in self.chosen:
            if self.chosen[slot] != entry.proposal_id:
                self.broke(f"slot {slot} has two entries")
            return
        self.chosen[slot] = entry.proposal_id
        if not isinstance(entry, ConfigurationEntry):
            return
        order = self.orders[(b"PUT" if entry.whole else b"PATCH") + entry.body]
        current = next(reversed(self.took), 0)
        if entry.ver in self.took:
            self.broke(
                f"{order} was chosen twice"
                if self.took[entry.ver] is order
                else f"two orders were chosen under {entry.ver:08x}"
            )
        elif order.parent != current:
            self.broke(f"{order} was chosen on {current:08x}")
        elif not order.valid:
            self.broke(f"{order} is invalid and was chosen")
        elif order.refused_at is not None:
            self.broke(f"{order} was refused and is in force")
        self.took[entry.ver] = order

    # Operators

    def order(
        self,
        method: str,
        ver: int,
        parent: int,
        told: dict[str, Any],
        valid: bool,
        copies: int = 1,
        losing: float = 0.0,
    ) -> Order:
        """Send an order; `copies` operators do it at once, and a part `losing` of the answers is lost."""
        body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{parent:08x}"} | told)
        base = dict(self.took[parent].items) if parent in self.took else {}
        if method == "PUT":
            base = {}
        items = base | {
            (one["type"], one["meta"].get("name", "")): one["spec"]
            for one in told.get("objs", told.get("upsert", {}).get("objs", []))
        }
        order = Order(method, ver, parent, body, items, valid, self.now)
        order = self.orders.setdefault(method.encode() + body, order)
        for _ in range(copies):
            self.send(order, losing)
        return order

    def send(self, order: Order, losing: float = 0.0) -> None:
        """An operator sends an order, anew or again, until a clear answer comes."""
        order.under_way += 1
        self._call(order, self.rng.choice(self.operators), losing, 0, "")

    def _call(self, order: Order, operator: Any, losing: float, tries: int, avoid: str) -> None:
        at = self.rng.choice([box for box in self.controllers if box.name != avoid])

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and tries < 6 and self.rng.random() < losing:
                answer = None
            if answer is not None and answer.status == 200:
                order.under_way -= 1
                return self._acked(order)
            if answer is not None and answer.status in FINAL_STATUSES:
                order.under_way -= 1
                return self._refused(order, answer.status)
            self.outcomes["unclear"] += 1
            self.later(min(1.0, 0.1 * 1.5**tries), self._call, order, operator, losing, tries + 1, at.name)

        body = order.body
        if tries and self.rng.random() < 0.1:
            # Other bytes of the same content are the same order.
            body = msgspec.json.format(body, indent=1)
            self.orders[order.method.encode() + body] = order
        data = http_client.request(order.method, at.ctl, "/-/config", [], body)
        http_client.fetch(operator, at.ctl, data, SILENCE, answered)

    def _acked(self, order: Order) -> None:
        self.outcomes["taken" if order.acked_at is None else "again"] += 1
        if not order.valid:
            self.broke(f"{order} is invalid and was acknowledged")
        elif order.refused_at is not None:
            self.broke(f"{order} was refused and then acknowledged")
        elif self.took.get(order.ver) is not order:
            self.broke(f"{order} was acknowledged and is not chosen")
        rival = next(
            (
                one
                for one in self.orders.values()
                if one is not order and one.parent == order.parent and one.acked_at is not None
            ),
            None,
        )
        if rival is not None:
            self.broke(f"{order} and {rival} were both acknowledged")
        if order.acked_at is None:
            order.acked_at = self.now
            self.later(APPLY, self._in_force, order.ver, self.now)
        self.acked = max(self.acked, order.ver)
        if self.rng.random() < 0.3:
            for box in self.controllers:
                self.read(box)
        if self.on_ack is not None:
            self.on_ack()

    def _refused(self, order: Order, status: int) -> None:
        self.outcomes[f"refused {status}"] += 1
        if self.took.get(order.ver) is order:
            self.broke(f"{order} was chosen and then refused with {status}")
        elif order.valid and not any(ver > order.parent for ver in self.took):
            self.broke(f"{order} was refused with {status} while {order.parent:08x} was current")
        order.refused_at = self.now if order.refused_at is None else order.refused_at

    def _in_force(self, ver: int, acked_at: float) -> None:
        """Gateways in touch act on what was acknowledged APPLY s ago, unless there was trouble meanwhile."""
        if self.troubled_at + CALM > acked_at:
            return
        for box in self.gateways:
            if box.daemon is not None and box.daemon.controller_session.config.ver < ver:
                self.broke(f"{ver:08x} is not in force at {box.name} {APPLY:g} s after it was acknowledged")

    def read(self, at: Box | None = None) -> None:
        """Read the configuration back; what comes must hold all that was acknowledged before."""
        at = at or self.rng.choice(self.controllers)
        floor = self.acked

        def answered(answer: http_client.Answer | None) -> None:
            if answer is None or answer.status != 200:
                self.outcomes["unread"] += 1
                return
            self.outcomes["read"] += 1
            ver = int(msgspec.json.decode(answer.body)["ver"], 16)
            if ver < floor:
                self.broke(f"{ver:08x} was read at {at.name} after {floor:08x} was acknowledged")
            elif ver and ver not in self.took:
                self.broke(f"{ver:08x} was read at {at.name} and is not chosen")
            elif ver and _meaning(answer.body) != self.took[ver].items:
                self.broke(f"something else was read at {at.name} under {ver:08x}")

        operator = self.rng.choice(self.operators)
        http_client.fetch(operator, at.ctl, http_client.request("GET", at.ctl, "/-/config", []), SILENCE, answered)

    # Trouble

    def trouble(self, span: float) -> None:
        """For the next `span` s nothing is promised in time."""
        self.troubled_at = max(self.troubled_at, self.now + span)

    def cut(self, trouble: LinkFault, span: float) -> None:
        self.trouble(span)
        self.network.link_faults.append(trouble)
        self.later(span, self._mend, trouble)

    def _mend(self, trouble: LinkFault) -> None:
        if trouble in self.network.link_faults:
            self.network.link_faults.remove(trouble)
            self.network.resume_links()

    def kill(self, box: Box, span: float) -> None:
        self.trouble(span)
        box.kill(box.role)
        self.later(span, box.start, box.role)

    def freeze(self, box: Box, span: float) -> None:
        self.trouble(span)
        if (process := box.processes.get(box.role)) is not None:
            process.frozen = True
            self.later(span, process.thaw)

    def power(self, box: Box, span: float, wiped: bool = False) -> None:
        self.trouble(span)
        box.power_off()
        if wiped and box.disk_image is not None:
            box.disk_image.wipe()
        self.later(span, box.power_on)

    def power_all(self, _: Box | None = None) -> None:
        for box in self.controllers:
            self.power(box, self.rng.uniform(0.2, 1.0))


def _meaning(body: bytes) -> dict[tuple[str, str], Any]:
    """The items that a whole configuration says, by kind and name."""
    told = msgspec.json.decode(body)
    return {(one["type"], one["meta"].get("name", "")): one["spec"] for one in told["objs"]}


class _Schedule:
    """One random schedule: `steps` acts of operators and of fate, then calm and a last look."""

    def __init__(self, seed: int, steps: int) -> None:
        rng = self.rng = Random(f"{seed}/orders")
        self.steps = steps
        controllers = rng.choice((3, 3, 4, 5, 6))
        disks = rng.choice((3, controllers))
        timing = Timing(poll_all_voters=False, kept_slots=rng.choice((4, 16, 64)))
        # Some schedules are long, some have controllers that soon forget.
        self.long = rng.random() < 0.04
        memory = (rng.choice((2, 4)), rng.choice((0, 3))) if rng.random() < 0.25 and not self.long else None
        self.world = Fleet(seed, controllers, disks, rng.choice((1, 1, 2)), timing, memory)
        self.forgets = memory is not None
        self.last = 0  # the newest number that an operator used
        self.wiped_at = -1e9

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        with worn(self.world.world, self.world.say):
            self._play()

    def _play(self) -> None:
        fleet, rng = self.world, self.rng
        fleet.run(2.0)
        fleet.on_ack = self._follow
        self._first()
        fleet.run(1.5)
        for step in range(self.steps):
            rng.choice(self._ACTS)(self)
            fleet.run(rng.choice((0.01, 0.05, 0.3, 1.0, 2.0)))
            if self.long and step == self.steps // 2:
                self._many()
        fleet.at_answer = fleet.on_ack = None
        for trouble in list(fleet.network.link_faults):
            fleet._mend(trouble)
        fleet.run(max(0.0, fleet.troubled_at - fleet.now) + CALM)
        self._end()

    def _end(self) -> None:
        """In calm times every order gets its answer, and all controllers and gateways say the same."""
        fleet = self.world
        for order in list(fleet.orders.values()):
            # One whose parent never came may wait for it without end.
            if order.under_way and not self.forgets and order.parent <= max(fleet.took, default=0):
                raise Violation(f"{order} has no clear answer in calm times")
        for box in fleet.controllers:
            fleet.read(box)
        unread = fleet.outcomes["unread"]
        for order in list(fleet.took.values())[-12:]:
            fleet.send(order)
        fleet.run(1.0)
        if fleet.outcomes["unread"] > unread:
            raise Violation("the configuration can't be read in calm times")
        order = self._change(valid=True)
        fleet.run(APPLY)
        if order.acked_at is None:
            raise Violation("a change is not taken in calm times")
        for box in fleet.gateways:
            if box.daemon.controller_session.config.ver != order.ver:
                raise Violation(f"{box.name} does not follow in calm times")

    # What operators do

    def _first(self) -> None:
        self.last = 1
        objs = [_item("svcs", name, {"hc_path": "/healthz"}) for name in ("a", "b")]
        objs += [_item("routes", f"r{n}", _route(f"r{n}", "a")) for n in range(3)]
        self.world.order("PUT", 1, 0, {"objs": objs}, True)

    def _known(self) -> int:
        """The version that operators build on: the newest acknowledged."""
        return self.world.acked

    def _change(
        self, valid: bool, ver: int | None = None, parent: int | None = None, copies: int = 1, losing: float = 0.0
    ) -> Order:
        """An order unlike all others."""
        fleet, rng = self.world, self.rng
        parent = self._known() if parent is None else parent
        if ver is None:
            self.last = ver = max(self.last, parent) + rng.choice((1, 1, 2))
        name = f"r{rng.randrange(4)}"
        spec = _route(name, rng.choice("ab"), f"{rng.randrange(1, 500_000)}ms")
        if not valid:
            spoiled = rng.randrange(5)
            if spoiled == 0:
                spec["svc"] = "nobody"
            elif spoiled == 1:
                spec["timeout"] = "600001ms"
            elif spoiled == 2:
                spec["split"] = [{"svc": "a", "wt": -1}, {"svc": "b", "wt": 2}]
            elif spoiled == 3:
                spec["split"] = [{"svc": "a", "wt": 0}]
            else:
                ver = rng.randrange(parent + 1)
        item = _item("routes", name, spec)
        if parent in fleet.took and rng.random() < 0.7:
            return fleet.order("PATCH", ver, parent, {"upsert": {"objs": [item]}}, valid, copies, losing)
        objs = [_item("svcs", svc, {"hc_path": "/healthz"}) for svc in ("a", "b")]
        return fleet.order("PUT", ver, parent, {"objs": [*objs, item]}, valid, copies, losing)

    def _follow(self) -> None:
        """An operator may go on at once."""
        if self.rng.random() < 0.15:
            self._change(True)

    def _race(self) -> None:
        """Up to eight operators build on one version, many under one number."""
        self.last = max(self.last, self._known()) + 1
        ver = self.last
        for _ in range(self.rng.choice((2, 3, OPERATORS))):
            if self.rng.random() < 0.7:
                self._change(self.rng.random() < 0.9, ver, losing=self.rng.choice((0.0, 0.3)))
            else:
                self._change(self.rng.random() < 0.9)

    def _lossy(self) -> None:
        """An order whose answers are lost, so that it comes again; some of them from two at once."""
        self._change(True, copies=self.rng.choice((1, 1, 2, 3)), losing=0.7)

    def _spoiled(self) -> None:
        self._change(False)

    def _resend(self) -> None:
        """An order that was taken, or one that was refused, is sent again as it was."""
        orders = [one for one in self.world.orders.values() if one.acked_at or one.refused_at]
        taken = [one for one in orders if one.acked_at]
        if taken and self.rng.random() < 0.8:
            orders = taken[-1:] if self.rng.random() < 0.4 else taken
        for _ in range(self.rng.choice((1, 2)) if orders else 0):
            self.world.send(self.rng.choice(orders))

    def _stale(self) -> None:
        """An order on a version that is current no more, or never was."""
        known = list(self.world.took)
        if len(known) > 1:
            self._change(True, parent=self.rng.choice(known[:-1]))

    def _read(self) -> None:
        for _ in range(6):
            self.world.later(self.rng.uniform(0.0, 0.3), self.world.read)

    def _many(self) -> None:
        """Hundreds of changes, one after the other, and then the first ones again."""
        fleet = self.world
        old = [one for one in fleet.orders.values() if one.acked_at]
        for _ in range(300):
            self._change(True)
            fleet.run(0.05)
        for order in old[:20]:
            fleet.send(order)
        fleet.run(1.0)

    # What befalls them

    def _controller(self) -> Box:
        return self.rng.choice(self.world.controllers)

    def _cut(self) -> None:
        fleet, rng, one = self.world, self.rng, self._controller()
        ips = [box.ip for box in fleet.controllers + fleet.gateways if box is not one]
        # Operators reach it all the same, mostly.
        part = rng.choice((1.0, 0.6))
        others = None if rng.random() < 0.2 else frozenset(ip for ip in ips if rng.random() < part)
        kind = rng.choice((LinkFault, OneWay, OneWay))
        ends = (frozenset((one.ip,)), others)
        if kind is OneWay and others and rng.random() < 0.5:
            ends = (others, frozenset((one.ip,)))
        fleet.cut(kind(*ends, cut=True), rng.choice((0.5, 2.0, 5.0, 20.0)))

    def _slow_links(self) -> None:
        """What a controller says and hears is slow; it is asked all the time meanwhile."""
        fleet, rng, box = self.world, self.rng, self._controller()
        peers = frozenset(other.ip for other in fleet.controllers)
        harm = LinkFault(frozenset((box.ip,)), peers, delay=rng.choice((0.02, 0.1, 0.3)), loss=0.02)
        fleet.cut(harm, rng.choice((1.0, 5.0)))
        for step in range(10):
            fleet.later(0.06 * step, fleet.read, box)
        self._change(True)

    def _cut_operators(self) -> None:
        """Answers of a controller don't come, or nothing passes; the controllers see each other."""
        fleet, rng = self.world, self.rng
        operators = frozenset(process.ip for process in fleet.operators if rng.random() < 0.7)
        ends = (frozenset((self._controller().ip,)), operators)
        fleet.cut(rng.choice((LinkFault, OneWay))(*ends, cut=True), rng.choice((0.3, 1.5, 4.0)))

    def _kill(self) -> None:
        self.world.kill(self._controller(), self.rng.choice((0.05, 0.5, 3.0)))

    def _freeze(self) -> None:
        self.world.freeze(self._controller(), self.rng.choice((0.3, 1.2, 4.0, 20.0)))

    def _stop(self) -> None:
        fleet, box = self.world, self._controller()
        fleet.trouble(fleet.deployment.bounds.grace + 1.0)
        box.terminate(box.role, self.rng.choice((0.1, 1.0)))

    def _disk(self) -> None:
        """A disk hangs, is slow or refuses writes."""
        fleet, rng, span = self.world, self.rng, self.rng.choice((0.1, 1.0, 5.0))
        disk_image, kind = self._controller().disk_image, rng.randrange(3)
        if disk_image is None:
            return
        fleet.trouble(span)
        if kind == 0:
            disk_image.hangs_until = fleet.now + span
        elif kind == 1:
            disk_image.slow = rng.choice((10.0, 200.0))
            fleet.later(span, setattr, disk_image, "slow", 1.0)
        else:
            disk_image.full = True
            fleet.later(span, setattr, disk_image, "full", False)

    def _power(self) -> None:
        self.world.power(self._controller(), self.rng.choice((0.3, 3.0)))

    def _power_all(self) -> None:
        self.world.power_all()

    def _strike(self) -> None:
        """Right after the next answer is written all lose power, or the one that wrote it is gone.

        With some of them nobody else has heard yet that the order was taken.
        """
        fleet, rng = self.world, self.rng
        away, told = rng.choice((0.3, 2.0)), rng.random() < 0.4
        strike = rng.choice(
            (
                fleet.power_all,
                lambda box: fleet.power(box, away),
                self._wiped,
                lambda box: fleet.kill(box, away),
                lambda box: None,
            )
        )

        def at_answer(box: Box) -> None:
            if not told:
                others = frozenset(other.ip for other in fleet.controllers if other is not box)
                fleet.cut(OneWay(frozenset((box.ip,)), others, cut=True), away)
            fleet.later(0.0, strike, box)

        fleet.at_answer = at_answer

    def _wipe(self) -> None:
        self._wiped(self._controller())

    def _wiped(self, box: Box) -> None:
        """One at a time, and not while another is away: what a majority lost is lost."""
        fleet = self.world
        if fleet.now >= max(fleet.troubled_at, self.wiped_at) + CALM:
            self.wiped_at = fleet.now
            fleet.power(box, self.rng.choice((0.3, 2.0)), wiped=True)

    def _gateway_away(self) -> None:
        fleet, rng = self.world, self.rng
        gateway = rng.choice(fleet.gateways)
        if rng.random() < 0.3:
            fleet.kill(gateway, 0.5)
        else:
            fleet.cut(LinkFault(frozenset((gateway.ip,)), cut=True), rng.choice((1.0, 4.0)))

    def _calm(self) -> None:
        self.world.run(max(0.0, self.world.troubled_at - self.world.now) + CALM)

    _ACTS = (
        _race,
        _race,
        _race,
        _lossy,
        _lossy,
        _lossy,
        _spoiled,
        _resend,
        _resend,
        _resend,
        _stale,
        _read,
        _read,
        _read,
        _cut,
        _cut,
        _cut_operators,
        _slow_links,
        _slow_links,
        _kill,
        _freeze,
        _stop,
        _disk,
        _power,
        _power_all,
        _strike,
        _strike,
        _wipe,
        _gateway_away,
        _calm,
    )


class _AheadSchedule(_Schedule):
    """A schedule in which operators also build on versions that are yet to come."""

    def _ahead(self) -> None:
        """An order on a version that is sent after it; a copy may wait at a controller that stands still."""
        fleet = self.world
        self.last = coming = max(self.last, self._known()) + 1
        if self.rng.random() < 0.7:
            self._freeze()
        self._change(True, parent=coming, copies=3)
        fleet.run(self.rng.choice((0.05, 0.3, 1.0)))
        self._change(True, coming if coming > self._known() else None)

    _ACTS = (*_Schedule._ACTS, *(_ahead,) * 6)


def _item(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"type": kind, "meta": {"name": name}, "spec": spec}


def _route(name: str, svc: str, timeout: str = "1000ms") -> dict[str, Any]:
    return {"vhost": "stacks.example", "prefix": f"/{name}/", "kind": "safe", "timeout": timeout, "svc": svc}


def run(seeds: Iterable[int], steps: int = STEPS) -> Report:
    """Play one random schedule of `steps` acts for each seed; each tenth has orders on versions to come."""
    report = Report()
    play(seeds, lambda seed: (_AheadSchedule if seed % 10 == 9 else _Schedule)(seed, steps), report)
    return report


# Mutants: the daemons' code without one of its guards.

_evaluate, _learn, _on_snapshot, _complete = RequestQueue.evaluate, Node._learn, Node._on_snapshot, Agreement._complete
_dispatch, _on_promise = Node._dispatch, Proposer.on_promise
_on_read_reply = Proposer.on_quorum_read_reply
_apply, _propose, _request, _round = State.apply, State.propose, ClientRequest.__init__, QuorumRound.__init__
_state, _step, _take = ControllerSession._on_state, ControllerSession._on_step, ControllerSession._apply


def _forgetting(self: State, slot: int, entry: object) -> None:
    _apply(self, slot, entry)
    self.recent, self.earlier, self.highest_forgotten_ver = {}, {}, 0


def _short(self: State) -> None:
    while len(self.recent) > self.max_recent:
        del self.recent[next(iter(self.recent))]


def _snapshot_without(self: State) -> bytes:
    return msgspec.msgpack.encode((self.config.dump(), [], b"", 0))


def _never_unsure(self: State, change: Any, tag: str) -> Any:
    was, self.highest_forgotten_ver = self.highest_forgotten_ver, 0
    try:
        return _propose(self, change, tag)
    finally:
        self.highest_forgotten_ver = was


def _refused_ahead(self: State, change: Any, tag: str) -> Any:
    told = _propose(self, change, tag)
    return ConfigurationError(412, "parent", "not current") if isinstance(told, UnknownParent) else told


def _unjudged(status: int) -> Callable:
    def propose(self: State, change: Any, tag: str) -> Any:
        told = _propose(self, change, tag)
        if getattr(told, "status", 0) != status:
            return told
        return ConfigurationEntry(tag, change.ver, change.parent, change.whole, change.body, change.digest)

    return propose


def _apply_unguarded(self: State, slot: int, entry: object) -> None:
    if isinstance(entry, ConfigurationEntry):
        Configuration.from_change(self.config, entry.whole, entry.body)
    _apply(self, slot, entry)


def _confirmed(reads: bool) -> Callable:
    def begin(self: ClientRequest, request_id: Any, build: Any, sequence: int, deadline: float) -> None:
        _request(self, request_id, build, sequence, deadline)
        self.is_confirmed = (build is None) == reads

    return begin


def _confirm_all(self: RequestQueue, sequence: int) -> None:
    for request in self.requests:
        request.is_confirmed = True


def _confirm_held(self: Proposer, promise: Any) -> list:
    current = self._round_answered_by(promise, Prepare)
    if current is not None and len({*current.replies, promise.voter}) >= current.majority:
        self._requests.confirm_through(current.sequence)
    return _on_promise(self, promise)


def _never_busy(self: Proposer, reply: Any) -> None:
    _on_read_reply(self, msgspec.structs.replace(reply, has_voted=False))


def _judged_once(self: RequestQueue, request: ClientRequest) -> Any:
    if request.evaluated_slot >= 0:
        request.evaluated_slot = self._log.last_slot
    return _evaluate(self, request)


def _whoever_won(self: Node, entries: list) -> list:
    for request in self._requests:
        if request.proposed_slot == self.last_slot + 1:
            request.proposal_ids.add(entries[0].proposal_id)
    return _learn(self, entries)


def _vote_is_choice(self: Node, sender: str, message: Any) -> list:
    effects = _dispatch(self, sender, message)
    if isinstance(message, Accept) and message.slot == self.last_slot + 1:
        return [*effects, *self._learn([message.entry])]
    return effects


def _jumped(self: Node, snapshot: Any) -> list:
    for request in self._requests:
        request.proposed_slot = 0
    return _on_snapshot(self, snapshot)


def _one_is_enough(self: QuorumRound, slot: int, message: Any, sequence: int, voters: list) -> None:
    _round(self, slot, message, sequence, voters)
    self.majority = 1


def _told(outcome: Any) -> Callable:
    def complete(self: Agreement, effect: Any) -> None:
        unclear = isinstance(effect.outcome, OutcomeUnknown)
        _complete(self, msgspec.structs.replace(effect, outcome=outcome) if unclear else effect)

    return complete


def _few_numbers(self: PendingCalls) -> int:
    self._last_number = (self._last_number + 1) % 3
    return self._last_number


def _looked_up(self: PendingCalls, ticket: object) -> Any:
    return self._waiting.get(ticket)


def _any_state(self: ControllerSession, message: Any) -> None:
    self.slot = min(self.slot, message.slot - 1)
    _state(self, message)


def _any_step(self: ControllerSession, message: Any) -> None:
    if message.slot > self.slot:
        self.slot = message.slot - 1
    _step(self, message)


def _act_always(self: ControllerSession, slot: int, config: Configuration) -> None:
    if config is not self.config and config.ver == self.config.ver:
        self.config = EMPTY
    _take(self, slot, config)


@contextmanager
def _without(owner: type, name: str, mutated: Callable) -> Iterator[None]:
    """The code with one function in place of another."""
    before = getattr(owner, name)
    setattr(owner, name, mutated)
    try:
        yield
    finally:
        setattr(owner, name, before)


def _mutant(guard: str, owner: type, name: str, mutated: Callable, seed: int | None = None, why: str = "") -> Mutant:
    def played(seeds: Iterable[int]) -> Report:
        with _without(owner, name, mutated):
            return run(seeds)

    return Mutant(guard, played, seed, why)


MUTANTS = (
    _mutant("memory of what was taken", State, "apply", _forgetting, 0),
    _mutant("memory of what was taken before the last few", State, "_trim", _short, 4),
    _mutant("memory in snapshots", State, "snapshot", _snapshot_without, 1),
    _mutant("no clear answer on what is forgotten", State, "propose", _never_unsure, 4),
    _mutant("the parent is compared", State, "propose", _unjudged(412), 0),
    _mutant("no refusal of an order on a version to come", State, "propose", _refused_ahead, 9),
    _mutant("the content is judged", State, "propose", _unjudged(400), 0),
    _mutant(
        "an entry that can't be read is left out",
        State,
        "apply",
        _apply_unguarded,
        why="by hand: test_check_orders.NodeTest; "
        "takes processes of two versions: who proposes has judged by the same code",
    ),
    _mutant(
        "a majority's word before a refusal",
        ClientRequest,
        "__init__",
        _confirmed(False),
        why="by hand: test_check_orders.NodeTest; not found in 160 schedules, as an order on a version to come is no "
        "longer refused, and what is refused is true of every later state; part cutoff finds one told alone",
    ),
    _mutant("a majority's word before a read", ClientRequest, "__init__", _confirmed(True), 1),
    _mutant("a majority's word for later tickets", RequestQueue, "confirm_through", _confirm_all, 115),
    _mutant("no refusal while a vote is held", Proposer, "on_promise", _confirm_held, 58),
    _mutant("no answer to a read while a vote is held", Proposer, "on_quorum_read_reply", _never_busy, 27),
    _mutant("majorities", QuorumRound, "__init__", _one_is_enough, 0),
    _mutant("judged anew at each slot", RequestQueue, "evaluate", _judged_once, 0),
    _mutant("the tag tells whose entry won", Node, "_learn", _whoever_won, 4),
    _mutant("a vote is no choice", Node, "_dispatch", _vote_is_choice, 7),
    _mutant(
        "unclear after a snapshot",
        Node,
        "_on_snapshot",
        _jumped,
        why="by hand: test_check_orders.NodeTest; "
        "the digests in a snapshot tell of orders, and entries without one are not played",
    ),
    _mutant("unclear is no refusal", Agreement, "_complete", _told(ConfigurationError(412, "", "late")), 5),
    _mutant("unclear is no acknowledgement", Agreement, "_complete", _told(Committed(0)), 0),
    _mutant("each ticket has a number of its own", PendingCalls, "next_number", _few_numbers, 3),
    _mutant(
        "a ticket is answered once",
        PendingCalls,
        "take",
        _looked_up,
        why="by hand: test_check_callers.Tickets; "
        "the node settles a ticket once, but who stops would wait for the call",
    ),
    _mutant(
        "a gateway takes no older state",
        ControllerSession,
        "_on_state",
        _any_state,
        why="by hand: test_controller_session.ActTest; "
        "a controller sends no state to a gateway that is ahead; both ends in part cutoff",
    ),
    _mutant(
        "a gateway takes steps in turn",
        ControllerSession,
        "_on_step",
        _any_step,
        why="by hand: test_check_orders.StepTest; "
        "a controller sends a gateway only the step next to its place, else the whole state",
    ),
    _mutant(
        "a gateway acts once on a version",
        ControllerSession,
        "_apply",
        _act_always,
        why="by hand: test_controller_session.ActTest; "
        "a gateway is sent the steps it lacks, and the whole only where the log is gone",
    ),
)
