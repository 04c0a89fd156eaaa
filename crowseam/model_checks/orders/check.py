"""Model check of orders: operators that send concurrent and repeated configuration changes to the real daemons.

A few controllers and gateways run on the simulator's virtual clock, without clients. Operators send each change to
any controller, and again after a failure or a timeout, until a definite answer arrives. Meanwhile machines are cut
off in one or both directions, killed, frozen, or lose their power or disks, and answers are lost. Checked are the
answers to operators, the chosen entries, and the configurations that gateways apply.

As in `docs/control.md`, an operator builds on a version that was acknowledged or read back, and disks are lost one
at a time.
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
from crowseam.simulator.world.patches import simulated_environment

STEPS = 24  # actions of a schedule
ANSWER_TIMEOUT_S = 1.0  # after which an operator calls another controller
APPLY_TIMEOUT_S = 2.5  # for connected gateways to apply an acknowledged change
RECOVERY_TIME_S = 9.0  # for the fleet to recover after the last fault
OPERATOR_COUNT = 8


class ChangeRequest(msgspec.Struct, eq=False):
    """A configuration change sent by operators, with the answers received.

    `valid` says whether it may be applied while its parent is current; `items` is the complete configuration then.
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
    under_way: int = 0  # operators waiting for a definite answer

    def __str__(self) -> str:
        return f"{self.method} {self.ver:08x} on {self.parent:08x}"


class OneWay(LinkFault):
    """A cut of the direction from `one` to `other`."""

    def affects(self, a: str, b: str) -> bool:
        return a in self.group and (b not in self.group if self.peers is None else b in self.peers)


class FleetMachine(Machine):
    """A machine that runs one process, which the fleet observes."""

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
    """Controllers, gateways and operators, with the checks of what they observe."""

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
        self.controllers = [
            FleetMachine(self, f"r{n}", f"10.1.0.{n + 5}", "controller", n < disks) for n in range(controllers)
        ]
        self.gateways = [FleetMachine(self, f"d{n}", f"10.2.0.{n + 5}", "gateway", False) for n in range(gateways)]
        self.seeds = [machine.ctl for machine in self.controllers[:3]]
        self.operators = [self.network.process(f"operator{n}", f"10.251.0.{n + 1}") for n in range(OPERATOR_COUNT)]
        self.chosen_proposals: dict[int, str] = {}  # proposal ids, by slot
        self.chosen_changes: dict[int, ChangeRequest] = {}  # by version, in the order chosen
        self.changes: dict[bytes, ChangeRequest] = {}  # by method and body
        self.acknowledged = 0  # the newest acknowledged version
        self.applied_versions: dict[str, list[int]] = {}  # by gateway process
        self.disturbed_until = 0.0  # the end of the last fault
        self.on_answer: Callable[[FleetMachine], None] | None = None  # injects a fault while an answer is written
        self.on_ack: Callable[[], None] | None = None
        self.violation: str | None = None
        for machine in self.controllers + self.gateways:
            self.later(self.rng.uniform(0.0, 0.3), machine.start, machine.role, True)

    # Interface used by `play`

    @property
    def now(self) -> float:
        return self.world.now

    @property
    def events(self) -> int:
        return self.world.callbacks_run

    # Interface used by `Machine`
    def later(self, delay: float, callback: Callable, *args: object) -> None:
        self.world.schedule(self.world.now + delay, self.world.environment, callback, args)

    def say(self, event: str, **fields: object) -> None:
        """Discard log events."""

    # Checks

    def run(self, span: float) -> None:
        """Run for `span` seconds; raises Violation."""
        self.world.run(self.world.now + span)
        if self.violation is None and self.world.failures:
            self.violation = self.world.failures[0]
        if self.violation is not None:
            raise Violation(self.violation)

    def report_violation(self, text: str) -> None:
        """Record the first violation, which `run` raises: an exception in a callback would be caught by a daemon."""
        self.violation = self.violation or text

    def watch(self, machine: FleetMachine, daemon: Any) -> None:
        """Observe a new process."""
        if machine.role == "gateway":
            return self._watch_gateway(f"{machine.name}/{machine.incarnations['gateway']}", daemon)
        daemon.node._context.timing = self.timing
        daemon.lease_service.tick = lambda *_: None  # leases are not checked here, and cost much time
        if self.memory is not None:
            daemon.machine.max_recent, daemon.machine.max_earlier = self.memory
        handle_applied = daemon.agreement.on_applied

        def applied(effect: NotifyApplied) -> None:
            self._check_applied(effect)
            handle_applied(effect)

        daemon.agreement.on_applied = applied
        take = daemon.pending_calls.take

        def answered(ticket: object) -> Any:
            call = take(ticket)
            if call is not None and self.on_answer is not None and self.rng.random() < 0.5:
                fault, self.on_answer = self.on_answer, None
                fault(machine)
            return call

        daemon.pending_calls.take = answered

    def _watch_gateway(self, process_name: str, daemon: Any) -> None:
        applied, apply = self.applied_versions.setdefault(process_name, []), daemon.controller_session.on_table

        def on_table(table: Any) -> None:
            config = daemon.controller_session.config
            if applied and config.ver <= applied[-1]:
                self.report_violation(f"gateway {process_name} applies {config.ver:08x} after {applied[-1]:08x}")
            applied.append(config.ver)
            change = self.chosen_changes.get(config.ver)
            if change is None:
                self.report_violation(f"gateway {process_name} applies {config.ver:08x}, which was not chosen")
            elif _items(config.dump()) != change.items:
                self.report_violation(f"gateway {process_name} applies {config.ver:08x} with different content")
            apply(table)

        daemon.controller_session.on_table = on_table

    def _check_applied(self, effect: NotifyApplied) -> None:
        entry, slot = effect.entry, effect.slot
        if entry is None:
            return
        if slot in self.chosen_proposals:
            if self.chosen_proposals[slot] != entry.proposal_id:
                self.report_violation(f"slot {slot} has two entries")
            return
        self.chosen_proposals[slot] = entry.proposal_id
        if not isinstance(entry, ConfigurationEntry):
            return
        change = self.changes[(b"PUT" if entry.whole else b"PATCH") + entry.body]
        current = next(reversed(self.chosen_changes), 0)
        if entry.ver in self.chosen_changes:
            self.report_violation(
                f"{change} was chosen twice"
                if self.chosen_changes[entry.ver] is change
                else f"two changes were chosen with version {entry.ver:08x}"
            )
        elif change.parent != current:
            self.report_violation(f"{change} was chosen on {current:08x}")
        elif not change.valid:
            self.report_violation(f"{change} is invalid and was chosen")
        elif change.refused_at is not None:
            self.report_violation(f"{change} was refused and then chosen")
        self.chosen_changes[entry.ver] = change

    # Operators

    def submit(
        self,
        method: str,
        ver: int,
        parent: int,
        fields: dict[str, Any],
        valid: bool,
        copies: int = 1,
        answer_loss_rate: float = 0.0,
    ) -> ChangeRequest:
        """Send a change from `copies` operators concurrently, and lose `answer_loss_rate` of the answers."""
        body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{parent:08x}"} | fields)
        base = dict(self.chosen_changes[parent].items) if parent in self.chosen_changes else {}
        if method == "PUT":
            base = {}
        items = base | {
            (one["type"], one["meta"].get("name", "")): one["spec"]
            for one in fields.get("objs", fields.get("upsert", {}).get("objs", []))
        }
        change = ChangeRequest(method, ver, parent, body, items, valid, self.now)
        change = self.changes.setdefault(method.encode() + body, change)
        for _ in range(copies):
            self.send(change, answer_loss_rate)
        return change

    def send(self, change: ChangeRequest, answer_loss_rate: float = 0.0) -> None:
        """An operator sends a new or earlier change until a definite answer arrives."""
        change.under_way += 1
        self._call(change, self.rng.choice(self.operators), answer_loss_rate, 0, "")

    def _call(self, change: ChangeRequest, operator: Any, answer_loss_rate: float, tries: int, avoid: str) -> None:
        controller = self.rng.choice([machine for machine in self.controllers if machine.name != avoid])

        def answered(answer: http_client.Answer | None) -> None:
            if answer is not None and tries < 6 and self.rng.random() < answer_loss_rate:
                answer = None
            if answer is not None and answer.status == 200:
                change.under_way -= 1
                return self._on_acknowledged(change)
            if answer is not None and answer.status in FINAL_STATUSES:
                change.under_way -= 1
                return self._on_refused(change, answer.status)
            self.outcomes["unclear"] += 1
            self.later(
                min(1.0, 0.1 * 1.5**tries), self._call, change, operator, answer_loss_rate, tries + 1, controller.name
            )

        body = change.body
        if tries and self.rng.random() < 0.1:
            # A different encoding of the same content is the same change.
            body = msgspec.json.format(body, indent=1)
            self.changes[change.method.encode() + body] = change
        data = http_client.request(change.method, controller.ctl, "/-/config", [], body)
        http_client.fetch(operator, controller.ctl, data, ANSWER_TIMEOUT_S, answered)

    def _on_acknowledged(self, change: ChangeRequest) -> None:
        self.outcomes["taken" if change.acked_at is None else "again"] += 1
        if not change.valid:
            self.report_violation(f"{change} is invalid and was acknowledged")
        elif change.refused_at is not None:
            self.report_violation(f"{change} was refused and then acknowledged")
        elif self.chosen_changes.get(change.ver) is not change:
            self.report_violation(f"{change} was acknowledged and is not chosen")
        conflicting = next(
            (
                one
                for one in self.changes.values()
                if one is not change and one.parent == change.parent and one.acked_at is not None
            ),
            None,
        )
        if conflicting is not None:
            self.report_violation(f"{change} and {conflicting} were both acknowledged")
        if change.acked_at is None:
            change.acked_at = self.now
            self.later(APPLY_TIMEOUT_S, self._check_in_force, change.ver, self.now)
        self.acknowledged = max(self.acknowledged, change.ver)
        if self.rng.random() < 0.3:
            for machine in self.controllers:
                self.read(machine)
        if self.on_ack is not None:
            self.on_ack()

    def _on_refused(self, change: ChangeRequest, status: int) -> None:
        self.outcomes[f"refused {status}"] += 1
        if self.chosen_changes.get(change.ver) is change:
            self.report_violation(f"{change} was chosen and then refused with {status}")
        elif change.valid and not any(ver > change.parent for ver in self.chosen_changes):
            self.report_violation(f"{change} was refused with {status} while {change.parent:08x} was current")
        change.refused_at = self.now if change.refused_at is None else change.refused_at

    def _check_in_force(self, ver: int, acked_at: float) -> None:
        """Check that gateways have applied an acknowledged change, unless a fault occurred meanwhile."""
        if self.disturbed_until + RECOVERY_TIME_S > acked_at:
            return
        for machine in self.gateways:
            if machine.daemon is not None and machine.daemon.controller_session.config.ver < ver:
                self.report_violation(
                    f"{ver:08x} is not in force at {machine.name} {APPLY_TIMEOUT_S:g} s after it was acknowledged"
                )

    def read(self, controller: FleetMachine | None = None) -> None:
        """Read the configuration, which must contain all changes acknowledged before."""
        controller = controller or self.rng.choice(self.controllers)
        acknowledged = self.acknowledged

        def answered(answer: http_client.Answer | None) -> None:
            if answer is None or answer.status != 200:
                self.outcomes["unread"] += 1
                return
            self.outcomes["read"] += 1
            ver = int(msgspec.json.decode(answer.body)["ver"], 16)
            if ver < acknowledged:
                self.report_violation(
                    f"{ver:08x} was read at {controller.name} after {acknowledged:08x} was acknowledged"
                )
            elif ver and ver not in self.chosen_changes:
                self.report_violation(f"{ver:08x} was read at {controller.name} and is not chosen")
            elif ver and _items(answer.body) != self.chosen_changes[ver].items:
                self.report_violation(f"different content was read at {controller.name} under version {ver:08x}")

        operator = self.rng.choice(self.operators)
        http_client.fetch(
            operator,
            controller.ctl,
            http_client.request("GET", controller.ctl, "/-/config", []),
            ANSWER_TIMEOUT_S,
            answered,
        )

    # Faults
    def trouble(self, span: float) -> None:
        """Suspend the checks of timely application for `span` seconds."""
        self.disturbed_until = max(self.disturbed_until, self.now + span)

    def cut(self, trouble: LinkFault, span: float) -> None:
        self.trouble(span)
        self.network.link_faults.append(trouble)
        self.later(span, self._heal_cut, trouble)

    def _heal_cut(self, trouble: LinkFault) -> None:
        if trouble in self.network.link_faults:
            self.network.link_faults.remove(trouble)
            self.network.resume_links()

    def kill(self, machine: FleetMachine, span: float) -> None:
        self.trouble(span)
        machine.kill(machine.role)
        self.later(span, machine.start, machine.role)

    def freeze(self, machine: FleetMachine, span: float) -> None:
        self.trouble(span)
        if (process := machine.processes.get(machine.role)) is not None:
            process.frozen = True
            self.later(span, process.thaw)

    def lose_power(self, machine: FleetMachine, span: float, lose_disk: bool = False) -> None:
        self.trouble(span)
        machine.power_off()
        if lose_disk and machine.disk_image is not None:
            machine.disk_image.wipe()
        self.later(span, machine.power_on)

    def lose_all_power(self, _: FleetMachine | None = None) -> None:
        for machine in self.controllers:
            self.lose_power(machine, self.rng.uniform(0.2, 1.0))


def _items(body: bytes) -> dict[tuple[str, str], Any]:
    """The items of a complete configuration, by type and name."""
    fields = msgspec.json.decode(body)
    return {(one["type"], one["meta"].get("name", "")): one["spec"] for one in fields["objs"]}


class _Schedule:
    """One random schedule: `steps` actions of operators and faults, then a time without faults and a final check."""

    def __init__(self, seed: int, steps: int) -> None:
        rng = self.rng = Random(f"{seed}/orders")
        self.steps = steps
        controllers = rng.choice((3, 3, 4, 5, 6))
        disks = rng.choice((3, controllers))
        timing = Timing(poll_all_voters=False, kept_slots=rng.choice((4, 16, 64)))
        # A few schedules are long; in some, controllers remember only a few changes.
        self.is_long = rng.random() < 0.04
        memory = (rng.choice((2, 4)), rng.choice((0, 3))) if rng.random() < 0.25 and not self.is_long else None
        self.world = Fleet(seed, controllers, disks, rng.choice((1, 1, 2)), timing, memory)
        self.has_short_memory = memory is not None
        self.last_version = 0  # the newest version used by an operator
        self.wiped_at = -1e9

    def play(self) -> None:
        """Run it to its end; raises Violation."""
        with simulated_environment(self.world.world, self.world.say):
            self._play()

    def _play(self) -> None:
        fleet, rng = self.world, self.rng
        fleet.run(2.0)
        fleet.on_ack = self._submit_on_ack
        self._submit_first()
        fleet.run(1.5)
        for step in range(self.steps):
            rng.choice(self._ACTIONS)(self)
            fleet.run(rng.choice((0.01, 0.05, 0.3, 1.0, 2.0)))
            if self.is_long and step == self.steps // 2:
                self._submit_many()
        fleet.on_answer = fleet.on_ack = None
        for trouble in list(fleet.network.link_faults):
            fleet._heal_cut(trouble)
        fleet.run(max(0.0, fleet.disturbed_until - fleet.now) + RECOVERY_TIME_S)
        self._check_end()

    def _check_end(self) -> None:
        """Check that all changes get a definite answer, and that controllers and gateways agree."""
        fleet = self.world
        for change in list(fleet.changes.values()):
            # A change whose parent was never chosen may be retried forever.
            if change.under_way and not self.has_short_memory and change.parent <= max(fleet.chosen_changes, default=0):
                raise Violation(f"{change} has no definite answer while there are no faults")
        for machine in fleet.controllers:
            fleet.read(machine)
        unread = fleet.outcomes["unread"]
        for change in list(fleet.chosen_changes.values())[-12:]:
            fleet.send(change)
        fleet.run(1.0)
        if fleet.outcomes["unread"] > unread:
            raise Violation("the configuration cannot be read while there are no faults")
        change = self._submit_random(valid=True)
        fleet.run(APPLY_TIMEOUT_S)
        if change.acked_at is None:
            raise Violation("a change is not acknowledged while there are no faults")
        for machine in fleet.gateways:
            if machine.daemon.controller_session.config.ver != change.ver:
                raise Violation(f"{machine.name} does not apply a change while there are no faults")

    # Operators

    def _submit_first(self) -> None:
        self.last_version = 1
        objs = [_item("svcs", name, {"hc_path": "/healthz"}) for name in ("a", "b")]
        objs += [_item("routes", f"r{n}", _route(f"r{n}", "a")) for n in range(3)]
        self.world.submit("PUT", 1, 0, {"objs": objs}, True)

    def _newest_acknowledged(self) -> int:
        """The newest acknowledged version, on which operators build."""
        return self.world.acknowledged

    def _submit_random(
        self,
        valid: bool,
        ver: int | None = None,
        parent: int | None = None,
        copies: int = 1,
        answer_loss_rate: float = 0.0,
    ) -> ChangeRequest:
        """Send a change with random content."""
        fleet, rng = self.world, self.rng
        parent = self._newest_acknowledged() if parent is None else parent
        if ver is None:
            self.last_version = ver = max(self.last_version, parent) + rng.choice((1, 1, 2))
        name = f"r{rng.randrange(4)}"
        spec = _route(name, rng.choice("ab"), f"{rng.randrange(1, 500_000)}ms")
        if not valid:
            defect = rng.randrange(5)
            if defect == 0:
                spec["svc"] = "nobody"
            elif defect == 1:
                spec["timeout"] = "600001ms"
            elif defect == 2:
                spec["split"] = [{"svc": "a", "wt": -1}, {"svc": "b", "wt": 2}]
            elif defect == 3:
                spec["split"] = [{"svc": "a", "wt": 0}]
            else:
                ver = rng.randrange(parent + 1)
        item = _item("routes", name, spec)
        if parent in fleet.chosen_changes and rng.random() < 0.7:
            return fleet.submit("PATCH", ver, parent, {"upsert": {"objs": [item]}}, valid, copies, answer_loss_rate)
        objs = [_item("svcs", svc, {"hc_path": "/healthz"}) for svc in ("a", "b")]
        return fleet.submit("PUT", ver, parent, {"objs": [*objs, item]}, valid, copies, answer_loss_rate)

    def _submit_on_ack(self) -> None:
        """Sometimes send the next change right after an acknowledgement."""
        if self.rng.random() < 0.15:
            self._submit_random(True)

    def _submit_concurrent(self) -> None:
        """Up to `OPERATOR_COUNT` concurrent changes with one parent, many with the same version."""
        self.last_version = max(self.last_version, self._newest_acknowledged()) + 1
        ver = self.last_version
        for _ in range(self.rng.choice((2, 3, OPERATOR_COUNT))):
            if self.rng.random() < 0.7:
                self._submit_random(self.rng.random() < 0.9, ver, answer_loss_rate=self.rng.choice((0.0, 0.3)))
            else:
                self._submit_random(self.rng.random() < 0.9)

    def _submit_with_lost_answers(self) -> None:
        """Send a change whose answers are mostly lost, so that it is sent again; possibly from several operators."""
        self._submit_random(True, copies=self.rng.choice((1, 1, 2, 3)), answer_loss_rate=0.7)

    def _submit_invalid(self) -> None:
        self._submit_random(False)

    def _resend(self) -> None:
        """Send an acknowledged or refused change again."""
        changes = [one for one in self.world.changes.values() if one.acked_at or one.refused_at]
        taken = [one for one in changes if one.acked_at]
        if taken and self.rng.random() < 0.8:
            changes = taken[-1:] if self.rng.random() < 0.4 else taken
        for _ in range(self.rng.choice((1, 2)) if changes else 0):
            self.world.send(self.rng.choice(changes))

    def _submit_stale(self) -> None:
        """Send a change whose parent is no longer current."""
        known = list(self.world.chosen_changes)
        if len(known) > 1:
            self._submit_random(True, parent=self.rng.choice(known[:-1]))

    def _read_often(self) -> None:
        for _ in range(6):
            self.world.later(self.rng.uniform(0.0, 0.3), self.world.read)

    def _submit_many(self) -> None:
        """Send hundreds of changes in succession, and then the first ones again."""
        fleet = self.world
        old = [one for one in fleet.changes.values() if one.acked_at]
        for _ in range(300):
            self._submit_random(True)
            fleet.run(0.05)
        for change in old[:20]:
            fleet.send(change)
        fleet.run(1.0)

    # Faults of a schedule

    def _controller(self) -> FleetMachine:
        return self.rng.choice(self.world.controllers)

    def _cut(self) -> None:
        fleet, rng, isolated = self.world, self.rng, self._controller()
        ips = [machine.ip for machine in fleet.controllers + fleet.gateways if machine is not isolated]
        # Mostly, operators can still reach the machine.
        fraction = rng.choice((1.0, 0.6))
        others = None if rng.random() < 0.2 else frozenset(ip for ip in ips if rng.random() < fraction)
        kind = rng.choice((LinkFault, OneWay, OneWay))
        ends = (frozenset((isolated.ip,)), others)
        if kind is OneWay and others and rng.random() < 0.5:
            ends = (others, frozenset((isolated.ip,)))
        fleet.cut(kind(*ends, cut=True), rng.choice((0.5, 2.0, 5.0, 20.0)))

    def _slow_links(self) -> None:
        """Slow down a controller's links to the others while operators keep reading from it."""
        fleet, rng, machine = self.world, self.rng, self._controller()
        peers = frozenset(other.ip for other in fleet.controllers)
        trouble = LinkFault(frozenset((machine.ip,)), peers, delay=rng.choice((0.02, 0.1, 0.3)), loss=0.02)
        fleet.cut(trouble, rng.choice((1.0, 5.0)))
        for step in range(10):
            fleet.later(0.06 * step, fleet.read, machine)
        self._submit_random(True)

    def _cut_operators(self) -> None:
        """Cut a controller off from operators in one or both directions, but not from other controllers."""
        fleet, rng = self.world, self.rng
        operators = frozenset(process.ip for process in fleet.operators if rng.random() < 0.7)
        ends = (frozenset((self._controller().ip,)), operators)
        fleet.cut(rng.choice((LinkFault, OneWay))(*ends, cut=True), rng.choice((0.3, 1.5, 4.0)))

    def _kill(self) -> None:
        self.world.kill(self._controller(), self.rng.choice((0.05, 0.5, 3.0)))

    def _freeze(self) -> None:
        self.world.freeze(self._controller(), self.rng.choice((0.3, 1.2, 4.0, 20.0)))

    def _stop(self) -> None:
        fleet, machine = self.world, self._controller()
        fleet.trouble(fleet.deployment.bounds.grace + 1.0)
        machine.terminate(machine.role, self.rng.choice((0.1, 1.0)))

    def _disturb_disk(self) -> None:
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

    def _lose_power(self) -> None:
        self.world.lose_power(self._controller(), self.rng.choice((0.3, 3.0)))

    def _lose_all_power(self) -> None:
        self.world.lose_all_power()

    def _fault_at_answer(self) -> None:
        """Inject a fault right after an answer is written, often before other controllers learn the outcome."""
        fleet, rng = self.world, self.rng
        away, peers_informed = rng.choice((0.3, 2.0)), rng.random() < 0.4
        fault = rng.choice(
            (
                fleet.lose_all_power,
                lambda machine: fleet.lose_power(machine, away),
                self._wipe_disk,
                lambda machine: fleet.kill(machine, away),
                lambda machine: None,
            )
        )

        def on_answer(machine: FleetMachine) -> None:
            if not peers_informed:
                others = frozenset(other.ip for other in fleet.controllers if other is not machine)
                fleet.cut(OneWay(frozenset((machine.ip,)), others, cut=True), away)
            fleet.later(0.0, fault, machine)

        fleet.on_answer = on_answer

    def _wipe_random_disk(self) -> None:
        self._wipe_disk(self._controller())

    def _wipe_disk(self, machine: FleetMachine) -> None:
        """Lose a disk, unless another fault or loss is too recent: the disks of a majority must not be lost."""
        fleet = self.world
        if fleet.now >= max(fleet.disturbed_until, self.wiped_at) + RECOVERY_TIME_S:
            self.wiped_at = fleet.now
            fleet.lose_power(machine, self.rng.choice((0.3, 2.0)), lose_disk=True)

    def _disturb_gateway(self) -> None:
        fleet, rng = self.world, self.rng
        gateway = rng.choice(fleet.gateways)
        if rng.random() < 0.3:
            fleet.kill(gateway, 0.5)
        else:
            fleet.cut(LinkFault(frozenset((gateway.ip,)), cut=True), rng.choice((1.0, 4.0)))

    def _wait_for_recovery(self) -> None:
        self.world.run(max(0.0, self.world.disturbed_until - self.world.now) + RECOVERY_TIME_S)

    _ACTIONS = (
        _submit_concurrent,
        _submit_concurrent,
        _submit_concurrent,
        _submit_with_lost_answers,
        _submit_with_lost_answers,
        _submit_with_lost_answers,
        _submit_invalid,
        _resend,
        _resend,
        _resend,
        _submit_stale,
        _read_often,
        _read_often,
        _read_often,
        _cut,
        _cut,
        _cut_operators,
        _slow_links,
        _slow_links,
        _kill,
        _freeze,
        _stop,
        _disturb_disk,
        _lose_power,
        _lose_all_power,
        _fault_at_answer,
        _fault_at_answer,
        _wipe_random_disk,
        _disturb_gateway,
        _wait_for_recovery,
    )


class _AheadSchedule(_Schedule):
    """A schedule in which operators also send changes whose parent does not exist yet."""

    def _submit_ahead(self) -> None:
        """Send a change before its parent; a copy may be delayed at a frozen controller."""
        fleet = self.world
        self.last_version = next_version = max(self.last_version, self._newest_acknowledged()) + 1
        if self.rng.random() < 0.7:
            self._freeze()
        self._submit_random(True, parent=next_version, copies=3)
        fleet.run(self.rng.choice((0.05, 0.3, 1.0)))
        self._submit_random(True, next_version if next_version > self._newest_acknowledged() else None)

    _ACTIONS = (*_Schedule._ACTIONS, *(_submit_ahead,) * 6)


def _item(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"type": kind, "meta": {"name": name}, "spec": spec}


def _route(name: str, svc: str, timeout: str = "1000ms") -> dict[str, Any]:
    return {"vhost": "stacks.example", "prefix": f"/{name}/", "kind": "safe", "timeout": timeout, "svc": svc}


def run(seeds: Iterable[int], steps: int = STEPS) -> Report:
    """Run one random schedule of `steps` actions for each seed; in every tenth, some changes precede their parent."""
    report = Report()
    play(seeds, lambda seed: (_AheadSchedule if seed % 10 == 9 else _Schedule)(seed, steps), report)
    return report


# Mutants: the daemons' code with one guard removed.

_original_evaluate, _original_learn, _original_on_snapshot, _original_complete = (
    RequestQueue.evaluate,
    Node._learn,
    Node._on_snapshot,
    Agreement._complete,
)
_original_dispatch, _original_on_promise = Node._dispatch, Proposer.on_promise
_original_on_read_reply = Proposer.on_quorum_read_reply
_original_apply, _original_propose, _original_request_init, _original_round_init = (
    State.apply,
    State.propose,
    ClientRequest.__init__,
    QuorumRound.__init__,
)
_original_on_state, _original_on_step, _original_apply_table = (
    ControllerSession._on_state,
    ControllerSession._on_step,
    ControllerSession._apply,
)


def _apply_and_forget(self: State, slot: int, entry: object) -> None:
    _original_apply(self, slot, entry)
    self.recent, self.earlier, self.highest_forgotten_ver = {}, {}, 0


def _trim_without_summary(self: State) -> None:
    while len(self.recent) > self.max_recent:
        del self.recent[next(iter(self.recent))]


def _snapshot_without(self: State) -> bytes:
    return msgspec.msgpack.encode((self.config.dump(), [], b"", 0))


def _propose_as_if_remembered(self: State, change: Any, tag: str) -> Any:
    forgotten, self.highest_forgotten_ver = self.highest_forgotten_ver, 0
    try:
        return _original_propose(self, change, tag)
    finally:
        self.highest_forgotten_ver = forgotten


def _refuse_unknown_parent(self: State, change: Any, tag: str) -> Any:
    result = _original_propose(self, change, tag)
    return ConfigurationError(412, "parent", "not current") if isinstance(result, UnknownParent) else result


def _accept_refused(status: int) -> Callable:
    def propose(self: State, change: Any, tag: str) -> Any:
        result = _original_propose(self, change, tag)
        if getattr(result, "status", 0) != status:
            return result
        return ConfigurationEntry(tag, change.ver, change.parent, change.whole, change.body, change.digest)

    return propose


def _apply_unguarded(self: State, slot: int, entry: object) -> None:
    if isinstance(entry, ConfigurationEntry):
        Configuration.from_change(self.config, entry.whole, entry.body)
    _original_apply(self, slot, entry)


def _confirm_at_start(for_reads: bool) -> Callable:
    def begin(self: ClientRequest, request_id: Any, build: Any, sequence: int, deadline: float) -> None:
        _original_request_init(self, request_id, build, sequence, deadline)
        self.is_confirmed = (build is None) == for_reads

    return begin


def _confirm_all(self: RequestQueue, sequence: int) -> None:
    for request in self.requests:
        request.is_confirmed = True


def _confirm_held(self: Proposer, promise: Any) -> list:
    current = self._round_answered_by(promise, Prepare)
    if current is not None and len({*current.replies, promise.voter}) >= current.majority:
        self._requests.confirm_through(current.sequence)
    return _original_on_promise(self, promise)


def _ignore_open_votes(self: Proposer, reply: Any) -> None:
    _original_on_read_reply(self, msgspec.structs.replace(reply, has_voted=False))


def _evaluate_once(self: RequestQueue, request: ClientRequest) -> Any:
    if request.evaluated_slot >= 0:
        request.evaluated_slot = self._log.last_slot
    return _original_evaluate(self, request)


def _accept_any_proposal(self: Node, entries: list) -> list:
    for request in self._requests:
        if request.proposed_slot == self.last_slot + 1:
            request.proposal_ids.add(entries[0].proposal_id)
    return _original_learn(self, entries)


def _learn_on_vote(self: Node, sender: str, message: Any) -> list:
    effects = _original_dispatch(self, sender, message)
    if isinstance(message, Accept) and message.slot == self.last_slot + 1:
        return [*effects, *self._learn([message.entry])]
    return effects


def _reevaluate_after_snapshot(self: Node, snapshot: Any) -> list:
    for request in self._requests:
        request.proposed_slot = 0
    return _original_on_snapshot(self, snapshot)


def _majority_of_one(self: QuorumRound, slot: int, message: Any, sequence: int, voters: list) -> None:
    _original_round_init(self, slot, message, sequence, voters)
    self.majority = 1


def _complete_with(outcome: Any) -> Callable:
    def complete(self: Agreement, effect: Any) -> None:
        unclear = isinstance(effect.outcome, OutcomeUnknown)
        _original_complete(self, msgspec.structs.replace(effect, outcome=outcome) if unclear else effect)

    return complete


def _reuse_numbers(self: PendingCalls) -> int:
    self._last_number = (self._last_number + 1) % 3
    return self._last_number


def _take_without_removing(self: PendingCalls, ticket: object) -> Any:
    return self._waiting.get(ticket)


def _accept_any_state(self: ControllerSession, message: Any) -> None:
    self.slot = min(self.slot, message.slot - 1)
    _original_on_state(self, message)


def _accept_any_step(self: ControllerSession, message: Any) -> None:
    if message.slot > self.slot:
        self.slot = message.slot - 1
    _original_on_step(self, message)


def _apply_always(self: ControllerSession, slot: int, config: Configuration) -> None:
    if config is not self.config and config.ver == self.config.ver:
        self.config = EMPTY
    _original_apply_table(self, slot, config)


@contextmanager
def _patched(owner: type, name: str, mutated: Callable) -> Iterator[None]:
    """Replace a method of a class for the duration of the context."""
    before = getattr(owner, name)
    setattr(owner, name, mutated)
    try:
        yield
    finally:
        setattr(owner, name, before)


def _mutant(guard: str, owner: type, name: str, mutated: Callable, seed: int | None = None, why: str = "") -> Mutant:
    def run_mutant(seeds: Iterable[int]) -> Report:
        with _patched(owner, name, mutated):
            return run(seeds)

    return Mutant(guard, run_mutant, seed, why)


MUTANTS = (
    _mutant("memory of what was taken", State, "apply", _apply_and_forget, 0),
    _mutant("memory of what was taken before the last few", State, "_trim", _trim_without_summary, 4),
    _mutant("memory in snapshots", State, "snapshot", _snapshot_without, 1),
    _mutant("no clear answer on what is forgotten", State, "propose", _propose_as_if_remembered, 4),
    _mutant("the parent is compared", State, "propose", _accept_refused(412), 0),
    _mutant("no refusal of an order on a version to come", State, "propose", _refuse_unknown_parent, 9),
    _mutant("the content is judged", State, "propose", _accept_refused(400), 0),
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
        _confirm_at_start(False),
        why="by hand: test_check_orders.NodeTest; not found in 160 schedules, as an order on a version to come is no "
        "longer refused, and what is refused is true of every later state; part cutoff finds one told alone",
    ),
    _mutant("a majority's word before a read", ClientRequest, "__init__", _confirm_at_start(True), 1),
    _mutant("a majority's word for later tickets", RequestQueue, "confirm_through", _confirm_all, 115),
    _mutant("no refusal while a vote is held", Proposer, "on_promise", _confirm_held, 58),
    _mutant("no answer to a read while a vote is held", Proposer, "on_quorum_read_reply", _ignore_open_votes, 27),
    _mutant("majorities", QuorumRound, "__init__", _majority_of_one, 0),
    _mutant("judged anew at each slot", RequestQueue, "evaluate", _evaluate_once, 0),
    _mutant("the tag tells whose entry won", Node, "_learn", _accept_any_proposal, 4),
    _mutant("a vote is no choice", Node, "_dispatch", _learn_on_vote, 7),
    _mutant(
        "unclear after a snapshot",
        Node,
        "_on_snapshot",
        _reevaluate_after_snapshot,
        why="by hand: test_check_orders.NodeTest; "
        "the digests in a snapshot tell of orders, and entries without one are not played",
    ),
    _mutant("unclear is no refusal", Agreement, "_complete", _complete_with(ConfigurationError(412, "", "late")), 5),
    _mutant("unclear is no acknowledgement", Agreement, "_complete", _complete_with(Committed(0)), 0),
    _mutant("each ticket has a number of its own", PendingCalls, "next_number", _reuse_numbers, 3),
    _mutant(
        "a ticket is answered once",
        PendingCalls,
        "take",
        _take_without_removing,
        why="by hand: test_check_callers.Tickets; "
        "the node settles a ticket once, but who stops would wait for the call",
    ),
    _mutant(
        "a gateway takes no older state",
        ControllerSession,
        "_on_state",
        _accept_any_state,
        why="by hand: test_controller_session.ActTest; "
        "a controller sends no state to a gateway that is ahead; both ends in part cutoff",
    ),
    _mutant(
        "a gateway takes steps in turn",
        ControllerSession,
        "_on_step",
        _accept_any_step,
        why="by hand: test_check_orders.StepTest; "
        "a controller sends a gateway only the step next to its place, else the whole state",
    ),
    _mutant(
        "a gateway acts once on a version",
        ControllerSession,
        "_apply",
        _apply_always,
        why="by hand: test_controller_session.ActTest; "
        "a gateway is sent the steps it lacks, and the whole only where the log is gone",
    ),
)
