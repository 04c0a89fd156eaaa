"""Model check of partitioned controllers: the real daemons in the simulator, and all clients that call them.

`run` executes seeded schedules. Controllers are partitioned for up to twenty seconds, from all machines or only from
the other controllers, in both directions or in one; their links flap, and their processes freeze; two controllers, or
a whole zone, may be hit at once. Meanwhile operators submit changes, also concurrent ones, read them back, retire
servers and query the status; servers start, send heartbeats and drain; gateways restart and lose their sessions; and a
part of all calls goes to the affected controllers. The check knows which packets are delivered, the daemons don't. It
checks that

- a controller without a round trip to a majority of the voters during a call neither confirms nor refuses: no 200 for
  a change, a drain or a retirement, no refusal of a valid one, and no configuration returned; its status pages tell
  their age and call no server safe to switch off;
- a heartbeat is not acknowledged by a controller that has been out of touch for longer than its last contact with a
  majority is valid;
- each gateway that has been in touch for long enough knows whatever was acknowledged by any controller;
- a gateway never goes back: neither to an older configuration, nor to a server that it knew to be leaving, nor to a
  lower fencing token; the shares of all gateways sum to no more than the reserve leaves;
- a gateway whose controller is out of touch has a session with a controller in touch within MAX_REJOIN_S, if it
  reaches one; a gateway that starts does not become ready on the word of a controller out of touch;
- a server whose heartbeats arrive at controllers in touch is not reported as silent by others in touch;
- the invariants of the simulator's judge hold.

Times are seconds of the virtual clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import ExitStack
from random import Random
from typing import Any
from unittest import mock

import msgspec

from crowseam import clock
from crowseam.configuration.model import EMPTY, Configuration
from crowseam.consensus.client_requests import ClientRequest
from crowseam.controller import server_reports
from crowseam.controller.configuration_feed import ConfigurationFeed
from crowseam.controller.peers import Peers
from crowseam.controller.server_feed import ServerFeed
from crowseam.discovery import replication
from crowseam.discovery.leaving_servers import LeavingServers
from crowseam.gateway import controller_session as session_module
from crowseam.gateway.controller_session import ControllerSession
from crowseam.membership import failure_detector
from crowseam.membership.failure_detector import FailureDetector
from crowseam.membership.role_claim import RoleClaim
from crowseam.model_checks.schedules import EventSimulation, Mutant, Report, Violation, play
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.lease_messages import SHARE_UNITS
from crowseam.simulator.actors import http_client
from crowseam.simulator.scenario import day as scenario_day
from crowseam.simulator.simulation import Simulation
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment
from crowseam.transport.codec import pack, unpack
from crowseam.transport.messages import ConfigurationState, SilentServers

STEPS = 20  # seconds of faults, at most
SETTLE_S = 5.0  # time before the first fault
RECOVERY_S = 9.0  # time without faults at the end
SAMPLE_INTERVAL_S = 0.05
MAX_REJOIN_S = 5.0  # time until a gateway has a controller in touch, once the links are stable
MAX_PROPAGATION_S = 2.5  # time until a gateway knows what was acknowledged
MAX_CONTACT_AGE_S = 1.6  # time after the last contact with a majority during which heartbeats may be acknowledged
RECENT_HEARTBEAT_S = 2.0  # time after a heartbeat in which a server must not be reported as silent
MAX_FALSE_SILENCE_S = 1.2  # time for which a wrong report of silence is tolerated
MAX_SHARE_SUM = 0.65 + 1e-9  # part of a quota that leases may hold; the rest is the reserve's
MEAN_CALL_INTERVAL_S = 0.35
MAJORITY_CALLS = frozenset(("config_get", "config_change", "retire", "drain", "leave"))
DEFINITIVE_STATUSES = frozenset((200, 400, 404, 409, 412, 413, 422))


class CutoffReport(Report):
    """Results; `moves` are the seconds that gateways took to reach a controller in touch once links were stable."""

    moves: list[float] = []
    calls: int = 0
    cut_calls: int = 0  # calls to a controller that had no round trip to a majority

    def merge(self, other: Report) -> None:
        """Add the results of another process."""
        super().merge(other)
        self.moves = self.moves + other.moves
        self.calls += other.calls
        self.cut_calls += other.cut_calls


class LinkState(msgspec.Struct):
    """The links that are blocked and the processes that are frozen since `at`."""

    at: float
    blocked: frozenset[tuple[str, str]]
    stopped: frozenset[str]  # processes, by name without the incarnation


class _Simulation(Simulation):
    """A small deployment in which some of the calls go to the controllers affected by a fault."""

    hit: list[str] = []

    def pick_controller(self, rng: Random, avoid: str = "") -> str:
        if self.hit and rng.random() < 0.4:
            return rng.choice(self.hit)
        return super().pick_controller(rng, avoid)

    @property
    def now(self) -> float:
        return self.world.now


def _day(seed: int) -> scenario_day.Day:
    """Three or four controllers, three of them with a vote, and a gateway on each of four or five machines."""
    zones = [
        {"name": "a", "machines": 2, "controllers": 1, "disks": 1},
        {"name": "b", "machines": 1, "controllers": 1, "disks": 1},
        {"name": "c", "machines": 1, "controllers": 1, "disks": 1},
    ]
    if seed % 3 == 1:  # all machines in one zone
        zones = [{"name": "a", "machines": 4, "controllers": 3, "disks": 3}]
    elif seed % 3 == 2:  # a zone with two controllers, one of them with a vote, and a gateway on a separate machine
        zones[0] = {"name": "a", "machines": 3, "controllers": 2, "disks": 1}
    return scenario_day.build(
        {
            "name": "cutoff",
            "length": 1.0,
            "settle": SETTLE_S,
            "deployment": {
                "zones": zones,
                "hb": 1.0,
                "services": [{"name": "loans", "servers": 5, "slots": 4}, {"name": "maps", "servers": 3}],
                "routes": [
                    {"name": "look", "svc": "loans", "rate": 4.0, "work": 0.02},
                    {"name": "seek", "svc": "maps", "rate": 0.0},
                ],
                "tenants": [{"name": "north", "rate": 40.0, "burst": 40.0}],
            },
        }
    )


class _Schedule:
    """One random schedule."""

    def __init__(self, seed: int, span_s: int, report: CutoffReport) -> None:
        self.report, self.rng = report, Random(f"cutoff/{seed}")
        day = _day(seed)
        day.length = span_s + RECOVERY_S
        self.span_s = float(span_s)
        self.simulation = _Simulation(day, seed)
        self.world = EventSimulation(seed)  # time and events for the report; the simulation keeps the time
        self.network = self.simulation.network
        self.controllers = {machine.ctl: machine for machine in self.simulation.control_machines}
        self.ips = [machine.ip for machine in self.simulation.machines]
        self.violations: list[str] = []
        self.link_states = [LinkState(0.0, frozenset(), frozenset())]
        self.gateway_states: dict[tuple[str, int], dict[str, Any]] = {}
        self.rejoining_since: dict[str, float] = {}
        self.session_reset_at: dict[str, float] = {}  # gateway -> when its session was last reset
        self.reported_silent_since: dict[tuple[str, str], float] = {}
        self.heartbeat_at: dict[str, float] = {}  # server -> its newest heartbeat at a controller in touch
        self.retired_at: dict[str, float] = {}
        self.faults_end_at = SETTLE_S + self.span_s

    # Execution

    def play(self) -> None:
        """Run the schedule to its end; raises Violation."""
        simulation = self.simulation
        try:
            with (
                simulated_environment(simulation.world, simulation.say),
                mock.patch.object(http_client, "fetch", self._watched_fetch(http_client.fetch)),
                mock.patch.object(
                    ControllerSession, "_on_message", self._watched_handler(ControllerSession._on_message)
                ),
            ):
                self._schedule_events()
                self._run(simulation.load_ends + 2.5)
                simulation.operator.read_back()
                self._run(simulation.now + 1.0)
                simulation.judge.finish(simulation.operator.read_body)
        finally:
            self.world.now, self.world.events = simulation.now, simulation.world.callbacks_run
        if simulation.world.failures:
            raise Violation(simulation.world.failures[0])
        if simulation.judge.violation_texts:
            raise Violation(f"invariant of the simulator: {simulation.judge.violation_texts[0]}")

    def _run(self, until: float) -> None:
        """Advance the time, and stop early once a violation was recorded."""
        while self.simulation.now < until:
            self.simulation.world.run(min(until, self.simulation.now + 0.5))
            if self.violations:
                raise Violation(self.violations[0])

    def _record_violation(self, text: str) -> None:
        # Not raised here: parsers and event loops between here and the schedule would swallow it.
        self.violations.append(f"t={self.simulation.now:.3f} {text}")

    def _schedule_events(self) -> None:
        simulation, rng = self.simulation, self.rng
        later = simulation.later
        later(SETTLE_S - 1.0, self._check_gateways)
        main = rng.choice(
            (
                self._partition,
                self._partition,
                self._partition_from_controllers,
                self._partition_from_controllers,
                self._partition_one_way,
                self._partition_one_way,
                self._flap,
                self._freeze,
                self._freeze,
                self._hit_two,
                self._hit_zone,
                self._hit_zone,
            )
        )
        later(SETTLE_S, main, self._pick_controllers(1), self.span_s)
        if rng.random() < 0.5:
            begins = rng.uniform(0.0, self.span_s - 2.0)
            other = rng.choice(
                (
                    self._partition,
                    self._partition_from_controllers,
                    self._partition_one_way,
                    self._flap,
                    self._freeze,
                    self._partition_from_gateways,
                )
            )
            span_s = min(rng.choice((0.5, 2.0, 6.0, 12.0)), self.span_s - begins)
            later(SETTLE_S + begins, other, self._pick_controllers(1), span_s)
        at = SETTLE_S - 0.5
        while at < self.faults_end_at + 1.0:
            later(
                at,
                rng.choice(
                    (
                        self._read_configuration,
                        self._read_configuration,
                        self._change_route,
                        self._change_route_twice,
                        self._drain,
                        self._retire,
                        self._retire_most,
                        self._add_server,
                        self._read_status,
                        self._read_status,
                        self._restart_gateway,
                    )
                ),
            )
            at += rng.expovariate(1.0 / MEAN_CALL_INTERVAL_S)

    def _pick_controllers(self, count: int) -> list:
        return self.rng.sample(self.simulation.control_machines, count)

    # Faults

    def _inject_fault(self, machines: list, span_s: float, *troubles: LinkFault) -> None:
        simulation = self.simulation
        simulation.hit = [*simulation.hit, *(m.ctl for m in machines if m.serves_control)]
        simulation.judge.record_outage([], simulation.now, simulation.now + span_s)
        self.network.link_faults += troubles
        self._record_links()
        simulation.later(span_s, self._end_fault, machines, troubles)

    def _end_fault(self, machines: list, troubles: tuple) -> None:
        for trouble in troubles:
            self.network.link_faults.remove(trouble)
        for machine in machines:
            if machine.ctl in self.simulation.hit:
                self.simulation.hit.remove(machine.ctl)
        self.network.resume_links()
        self._record_links()

    def _partition(self, machines_hit: list, span_s: float) -> None:
        """Partition controllers from all machines; servers and clients still reach them."""
        self._inject_fault(
            machines_hit, span_s, LinkFault(frozenset(m.ip for m in machines_hit), frozenset(self.ips), cut=True)
        )

    def _partition_from_controllers(self, machines_hit: list, span_s: float) -> None:
        """Partition controllers from the others; gateways reach them, except those on the others' machines."""
        others = frozenset(m.ip for m in self.simulation.control_machines if m not in machines_hit)
        self._inject_fault(machines_hit, span_s, LinkFault(frozenset(m.ip for m in machines_hit), others, cut=True))

    def _partition_one_way(self, machines_hit: list, span_s: float) -> None:
        """Lose what controllers send, or what they are sent, to and from all machines or other controllers only."""
        others = frozenset(self.ips)
        if self.rng.random() < 0.5:
            others = frozenset(m.ip for m in self.simulation.control_machines if m not in machines_hit)
        way = self.rng.choice(("in", "out"))
        self._inject_fault(
            machines_hit, span_s, LinkFault(frozenset(m.ip for m in machines_hit), others, cut=True, direction=way)
        )

    def _hit_zone(self, machines_hit: list, span_s: float) -> None:
        """Freeze all controllers of a zone, or partition them from the gateways elsewhere."""
        zone = [m for m in self.simulation.control_machines if m.zone == "a"]
        if len(zone) == len(self.simulation.control_machines):
            zone = machines_hit
        self.rng.choice((self._freeze, self._freeze, self._partition_from_gateways))(zone, span_s)

    def _hit_two(self, machines_hit: list, span_s: float) -> None:
        self._partition_from_controllers(
            [*machines_hit, self.rng.choice([m for m in self.simulation.control_machines if m not in machines_hit])],
            span_s,
        )

    def _flap(self, machines_hit: list, span_s: float) -> None:
        period_s, at = self.rng.choice((0.2, 0.6, 1.3, 2.5)), 0.0
        trouble = LinkFault(frozenset(m.ip for m in machines_hit), frozenset(self.ips), cut=True)
        while at + period_s <= span_s:
            self.simulation.later(at, self._inject_fault, machines_hit, period_s, trouble)
            at += 2.0 * period_s

    def _partition_from_gateways(self, machines_hit: list, span_s: float) -> None:
        """Partition controllers from the gateways, in one direction or both."""
        way = self.rng.choice(("in", "out", "both"))
        gateways = frozenset(m.ip for m in self.simulation.machines if not m.serves_control)
        self._inject_fault(
            machines_hit, span_s, LinkFault(frozenset(m.ip for m in machines_hit), gateways, cut=True, direction=way)
        )

    def _freeze(self, machines_hit: list, span_s: float) -> None:
        """Freeze controllers, but not the gateways on their machines."""
        processes = [m.processes["controller"] for m in machines_hit if "controller" in m.processes]
        for process in processes:
            process.frozen = True
        self._inject_fault(machines_hit, span_s)
        self.simulation.later(span_s, self._thaw, processes)
        for machine in self.simulation.machines:  # gateways connect to it just before it resumes
            begins, what = (
                span_s - self.rng.uniform(0.0, 0.9),
                self.rng.choice((self._reset_session, self._restart_gateway_process)),
            )
            if what == self._restart_gateway_process:
                begins = span_s - self.rng.uniform(0.6, 0.9)  # a gateway takes 0.3 to 0.5 s to load its code
            if begins > 1.0 and self.rng.random() < 0.8:
                self.simulation.later(begins, what, machine)

    def _reset_session(self, machine: Any) -> None:
        """Reset the session of a gateway."""
        daemon, process = machine.daemons.get("gateway"), machine.processes.get("gateway")
        if daemon is not None and daemon.controller_session.link is not None:
            self.session_reset_at[machine.name] = self.simulation.now
            process.loop.call_soon(daemon.controller_session.link.close)

    def _leave_unchanged(self, machine: Any) -> None:
        """Leave a gateway as it is."""

    def _thaw(self, processes: list) -> None:
        for process in processes:
            process.thaw()
        self._record_links()

    def _record_links(self) -> None:
        network = self.network
        pairs = [(a, b) for a in self.ips for b in self.ips if a != b and network.blocked(a, b)]
        stopped = [
            process.name.partition("/")[0]
            for machine in self.simulation.machines
            for process in machine.processes.values()
            if process.frozen
        ]
        self.link_states.append(LinkState(self.simulation.now, frozenset(pairs), frozenset(stopped)))
        self.rejoining_since.clear()

    # Calls

    def _read_configuration(self) -> None:
        self._send_call("GET", "/-/config")

    def _change_route(self) -> None:
        """Change a route, as an operator who retries until the outcome is known."""
        operator = self.simulation.operator
        if len(operator.queue) < 3:
            self._submit_change(False)

    def _change_route_twice(self) -> None:
        if len(self.simulation.operator.queue) < 3:
            self._submit_change(True)

    def _submit_change(self, race: bool) -> None:
        operator = self.simulation.operator

        def send() -> None:
            spec = operator.spec("routes", "seek") | {"prio": 1 + operator.last_ver % 2}
            operator._send_changes(
                "PATCH",
                {("routes", "seek"): {"type": "routes", "meta": {"name": "seek"}, "spec": spec}},
                (),
                2 if race else 1,
            )

        operator._enqueue(send)

    def _drain(self) -> None:
        up = [s for s in self.simulation.servers.values() if s.up and s.phase == "up"]
        if len(up) > 4:
            server = self.rng.choice(up)
            server.drain()

    def _retire(self) -> None:
        up = [
            s.id
            for s in self.simulation.servers.values()
            if s.up and s.phase == "up" and s.version == "v1" and s.id not in self.retired_at
        ]
        if len(up) > 4:
            ident = self.rng.choice(up)

            def done(answer: http_client.Answer | None) -> None:
                if answer is not None and answer.status == 200:
                    self.retired_at.setdefault(ident, self.simulation.now)

            self._send_call("POST", "/-/retire", msgspec.json.encode({"id": ident, "force": True}), done)

    def _retire_most(self) -> None:
        """Retire more servers than allowed; a controller in touch always refuses this."""
        self._send_call("POST", "/-/retire", msgspec.json.encode({"ver": "v1", "svc": "maps"}))

    def _add_server(self) -> None:
        """Add a server and retire it at once; a controller that does not know the server must not refuse."""
        if len(self.simulation.servers) < 14:
            server = self.simulation.add_server(self.simulation.deployment.services[0], self.rng.choice("abc"), "v2")
            order = msgspec.json.encode({"id": server.id, "force": True, "undo": True})
            for delay in (0.6, 1.2, 1.8):
                self.simulation.later(delay, self._send_call, "POST", "/-/retire", order)

    def _read_status(self) -> None:
        self._send_call(
            "GET", "/-/" + self.rng.choice(("retiring", "servers", "history", "members", "duties", "status"))
        )

    def _restart_gateway(self) -> None:
        """Restart a gateway, reset its session, or leave it as it is."""
        machine = self.rng.choice(self.simulation.machines)
        self.rng.choice((self._reset_session, self._restart_gateway_process, self._leave_unchanged))(machine)

    def _restart_gateway_process(self, machine: Any) -> None:
        machine.kill("gateway")
        self.simulation.later(0.1, machine.start, "gateway")
        self.simulation.judge.record_outage([machine.name], self.simulation.now, self.simulation.now + 1.0)

    def _send_call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        done: Callable[[http_client.Answer | None], None] = lambda answer: None,
    ) -> None:
        at = self.simulation.pick_controller(self.rng)
        data = http_client.request(method, at, path, [], body)
        http_client.fetch(self.simulation.operator.process, at, data, 1.2, done)

    def _watched_fetch(self, fetch: Callable) -> Callable:
        """Wrap `fetch`, through which all calls of servers and operators to controllers pass."""

        def watched(process: Any, address: str, data: bytes, timeout: float, done: Callable) -> None:
            began_at, machine = self.simulation.now, self.controllers.get(address)

            def ended(answer: http_client.Answer | None) -> None:
                if machine is not None and answer is not None:
                    self._check_answer(machine, data, answer, began_at)
                done(answer)

            fetch(process, address, data, timeout, ended)

        return watched

    # Actual connectivity

    def _voters(self) -> list[str]:
        """Return the voters, as the controller with the newest log knows them."""
        daemons = [m.daemons["controller"] for m in self.simulation.control_machines if "controller" in m.daemons]
        newest = max(daemons, key=lambda daemon: daemon.node.last_slot)
        return [voter.addr for voter in newest.node.voters]

    def _is_minority(self, machine: Any, since: float, until: float, voters: list[str]) -> bool:
        """Return whether no round trip to a majority of `voters` was possible at any time between."""
        first = max(n for n, state in enumerate(self.link_states) if state.at <= since or n == 0)
        states = [state for state in self.link_states[first:] if state.at <= until]
        unreachable = 0
        for addr in voters:
            other = self.controllers[addr]
            if other is machine:
                continue
            unreachable += (
                all((machine.ip, other.ip) in s.blocked for s in states)
                or all((other.ip, machine.ip) in s.blocked for s in states)
                or all(f"controller:{other.name}" in s.stopped for s in states)
                or all(f"controller:{machine.name}" in s.stopped for s in states)
            )
        return 2 * (len(voters) - unreachable) <= len(voters)

    def _has_majority(self, machine: Any, voters: list[str]) -> bool:
        """Return whether the controller now reaches a majority in both directions."""
        state = self.link_states[-1]
        if "controller" not in machine.daemons or f"controller:{machine.name}" in state.stopped:
            return False
        reached = 0
        for addr in voters:
            other = self.controllers[addr]
            reached += other is machine or not (
                (machine.ip, other.ip) in state.blocked
                or (other.ip, machine.ip) in state.blocked
                or f"controller:{other.name}" in state.stopped
            )
        return 2 * reached > len(voters)

    def _reaches(self, gateway: Any, machine: Any) -> bool:
        blocked = self.link_states[-1].blocked
        return (gateway.ip, machine.ip) not in blocked and (machine.ip, gateway.ip) not in blocked

    # Invariants of calls

    def _check_answer(self, machine: Any, data: bytes, answer: http_client.Answer, began_at: float) -> None:
        now = self.simulation.now
        head, _, body = data.partition(b"\r\n\r\n")
        method, path = head.split(b" ")[:2]
        kind = _kind(method.decode(), path.decode(), body)
        daemon = machine.daemons.get("controller")
        self.report.calls += 1
        if daemon is None:
            return
        voter_views = {tuple(v.addr for v in daemon.node.voters), tuple(self._voters())} - {()}
        voter_views = [list(voter_view) for voter_view in voter_views if set(voter_view) <= self.controllers.keys()]
        is_minority = all(self._is_minority(machine, began_at, now, voter_view) for voter_view in voter_views)
        self.report.cut_calls += is_minority
        self.world.outcomes[f"{kind} {answer.status}{' alone' if is_minority else ''}"] += 1
        if answer.status == 503 and b"retry-after" not in answer.headers:
            self._record_violation(f"{kind} at {machine.name}: 503 without Retry-After")
        if not is_minority:
            if kind == "heartbeat" and answer.status == 200 and self._has_majority(machine, self._voters()):
                self.heartbeat_at[path.rpartition(b"/")[2].decode()] = now
            return
        if kind in MAJORITY_CALLS and answer.status in DEFINITIVE_STATUSES:
            self._record_violation(f"{kind} at {machine.name} answered {answer.status} without a majority")
        since = self._minority_since(machine, began_at, voter_views)
        if kind == "heartbeat" and answer.status == 200 and now - since > MAX_CONTACT_AGE_S:
            self._record_violation(
                f"heartbeat at {machine.name} acknowledged {now - since:.2f} s after its last contact"
            )
        if kind == "show" and answer.status == 200:
            age = answer.headers.get(b"age")
            if age is None or int(age) + 1.1 < began_at - since:
                self._record_violation(
                    f"{path.decode()} at {machine.name}: age {age}, " f"{began_at - since:.2f} s after contact"
                )
            if path.startswith(b"/-/retiring"):
                page = msgspec.json.decode(answer.body)
                if any(row["safe"] and row["state"] != "gone" for row in page["servers"]):
                    self._record_violation(f"{machine.name} calls a server safe without a majority")

    def _minority_since(self, machine: Any, at: float, voter_views: list[list[str]]) -> float:
        since = at
        for state in reversed(self.link_states):
            if state.at <= at:
                if not all(self._is_minority(machine, state.at, at, voter_view) for voter_view in voter_views):
                    break
                since = state.at
        return since

    # Invariants of gateways

    def _check_gateways(self) -> None:
        simulation = self.simulation
        voters = self._voters()
        in_touch = [m for m in simulation.control_machines if self._has_majority(m, voters)]
        stable_s = simulation.now - self.link_states[-1].at
        shares: dict[str, float] = {}
        for machine in simulation.machines:
            daemon, process = machine.daemons.get("gateway"), machine.processes.get("gateway")
            if daemon is None:
                self.rejoining_since.pop(machine.name, None)
                continue
            self._check_no_regression(machine, daemon)
            reached = [one for one in in_touch if self._reaches(machine, one)]
            self._check_silent_servers(machine, daemon, reached)
            self._check_session(machine, daemon, reached, stable_s)
            local = process.clock(simulation.now)
            share = daemon.controller_session.lease_share("north", local)
            shares["north"] = shares.get("north", 0.0) + (share or 0.0)
        if any(share > MAX_SHARE_SUM for share in shares.values()):
            self._record_violation(f"shares in use sum to {shares}")
        simulation.later(SAMPLE_INTERVAL_S, self._check_gateways)

    def _watched_handler(self, handler: Callable) -> Callable:
        """Wrap the message handler of gateways, as the moment of becoming ready is too short for sampling."""

        def watched(controller_session: ControllerSession, link: Any, message: Any) -> None:
            before = controller_session.is_caught_up
            handler(controller_session, link, message)
            if controller_session.is_caught_up and not before:
                acked = [
                    v.ver
                    for v in self.simulation.judge.versions
                    if v.acked_at is not None and v.acked_at + MAX_PROPAGATION_S < self.simulation.now
                ]
                if acked and controller_session.config.ver < max(acked):
                    self._record_violation(
                        f"{controller_session.settings.hostname} starts as ready with "
                        f"{controller_session.config.ver:08x}, "
                        f"long after {max(acked):08x}"
                    )

        return watched

    def _check_no_regression(self, machine: Any, daemon: Any) -> None:
        controller_session, balancer = daemon.controller_session, daemon.gateway.balancer
        incarnation = machine.name, machine.incarnations["gateway"]
        before = self.gateway_states.get(incarnation)
        now = {
            "slot": controller_session.slot,
            "ver": controller_session.config.ver,
            "left": set(before["left"] if before else ()),
            "fences": {key: holdings.fencing_token for key, holdings in controller_session.leases.items()},
        }
        for ident, server in balancer.servers.items():
            if not server.usable:
                now["left"].add(ident)
            elif ident in now["left"]:
                self._record_violation(f"{machine.name} uses {ident} again, which it knew to be leaving")
        if before is not None:
            if now["slot"] < before["slot"] or now["ver"] < before["ver"]:
                self._record_violation(f"{machine.name} goes back from {before['ver']:08x} to {now['ver']:08x}")
            for key, fencing_token in before["fences"].items():
                if now["fences"].get(key, 0) < fencing_token:
                    self._record_violation(f"{machine.name} accepts a lower fencing token for {key}")
        self.gateway_states[incarnation] = now

    def _check_silent_servers(self, machine: Any, daemon: Any, in_touch: list) -> None:
        """Check that no controller in touch reports a live server as silent for long."""
        controller_session, now = daemon.controller_session, self.simulation.now
        has_session = controller_session.link is not None and any(
            one.ctl == controller_session.controller_addr for one in in_touch
        )
        reported = {
            ident
            for ident, server in daemon.gateway.balancer.servers.items()
            if has_session
            and server.is_silent
            and now - self.heartbeat_at.get(ident, -RECENT_HEARTBEAT_S) < RECENT_HEARTBEAT_S
        }
        for ident in reported:
            since = self.reported_silent_since.setdefault((machine.name, ident), now)
            if now - since > MAX_FALSE_SILENCE_S:
                self._record_violation(
                    f"{machine.name} considers {ident} silent although it sends heartbeats, " f"for {now - since:.2f} s"
                )
        for key in [key for key in self.reported_silent_since if key[0] == machine.name and key[1] not in reported]:
            del self.reported_silent_since[key]

    def _check_session(self, machine: Any, daemon: Any, in_touch: list, stable_s: float) -> None:
        controller_session, now = daemon.controller_session, self.simulation.now
        has_session = controller_session.link is not None and any(
            m.ctl == controller_session.controller_addr for m in in_touch
        )
        if has_session or not in_touch:
            began_at = self.rejoining_since.pop(machine.name, None)
            if began_at is not None and has_session and began_at > 0.0:
                self.report.moves.append(now - began_at)
        elif machine.name not in self.rejoining_since:
            counts = stable_s < 2 * SAMPLE_INTERVAL_S and machine.gateway_starts[-1] < now - 2.0
            self.rejoining_since[machine.name] = now if counts else 0.0
        calm_s = min(stable_s, now - machine.gateway_starts[-1], now - self.session_reset_at.get(machine.name, 0.0))
        if not in_touch or calm_s < MAX_REJOIN_S:
            return
        if not has_session:
            self._record_violation(
                f"{machine.name} has no controller in touch {calm_s:.2f} s after the links became stable"
            )
        if calm_s < MAX_REJOIN_S + MAX_PROPAGATION_S:
            return
        simulation = self.simulation
        acked = [
            v.ver for v in simulation.judge.versions if v.acked_at is not None and v.acked_at + MAX_PROPAGATION_S < now
        ]
        if acked and controller_session.config.ver < max(acked):
            self._record_violation(
                f"{machine.name} has {controller_session.config.ver:08x} {MAX_PROPAGATION_S} s after {max(acked):08x}"
            )
        left = {ident: at for ident, (at, _) in simulation.judge.drains.items()} | self.retired_at
        for ident, at in left.items():
            server = daemon.gateway.balancer.servers.get(ident)
            if at + MAX_PROPAGATION_S < now and server is not None and server.usable:
                self._record_violation(
                    f"{machine.name} uses {ident} {now - at:.2f} s after its leaving was acknowledged"
                )


def _kind(method: str, path: str, body: bytes) -> str:
    if path.startswith("/-/backends/"):
        if method == "DELETE":
            return "leave"
        return "drain" if b'"phase":"draining"' in body else "heartbeat"
    if path == "/-/config":
        return "config_get" if method == "GET" else "config_change"
    return "retire" if path == "/-/retire" else "show"


def run(seeds: Iterable[int], steps: int = STEPS) -> CutoffReport:
    """Run one random schedule for each seed, with faults for `steps` seconds."""
    report = CutoffReport()
    play(seeds, lambda seed: _Schedule(seed, steps, report), report)
    return report


def metrics(report: CutoffReport) -> list[str]:
    """The report's figures as lines of text."""
    moves = sorted(report.moves)
    lines = [f"{report.calls} calls, {report.cut_calls} of them to a controller without a majority"]
    if moves:
        p50, p99 = (moves[min(len(moves) - 1, int(part * len(moves)))] for part in (0.5, 0.99))
        lines.append(
            f"{len(moves)} moves of gateways to a controller in touch: p50 {p50:.2f} s, p99 {p99:.2f} s, "
            f"worst {moves[-1]:.2f} s"
        )
    return lines


# Mutants


def _patched(*patches: tuple[Any, str, Any]) -> Callable[[Iterable[int]], Report]:
    """Return a run with these attributes patched: (owner, name, replacement)."""

    def mutated(seeds: Iterable[int]) -> Report:
        with ExitStack() as stack:
            for owner, name, replacement in patches:
                stack.enter_context(mock.patch.object(owner, name, replacement))
            return run(seeds)

    return mutated


def _confirmed_without_majority(reads: bool) -> Callable:
    init = ClientRequest.__init__

    def patched_init(self: Any, request_id: Any, build: Any, sequence: int, deadline: float) -> None:
        init(self, request_id, build, sequence, deadline)
        self.is_confirmed = (build is None) == reads

    return patched_init


def _replicated_at_once(of_operators: bool) -> property:
    is_replicated = replication._WaitingCall.is_replicated.fget
    return property(lambda self: isinstance(self.call, tuple) == of_operators or is_replicated(self))


def _remembered_confirmations() -> tuple[tuple[Any, str, Any], ...]:
    """Make confirmations count for later calls too."""
    start, confirm, known = (
        replication.PendingAcknowledgements.start,
        replication.PendingAcknowledgements.confirm,
        {},
    )

    def patched_start(self: Any, ticket: Any, record: Any, *args: Any) -> list:
        out = start(self, ticket, record, *args)
        for voter, (phase, retired, by) in known.get((id(self), record.id), {}).items():
            if replication.PHASE_ORDER[phase] >= replication.PHASE_ORDER[record.phase] and retired >= record.retired:
                self._waiting[ticket].confirmed_by[voter] = by
        return out

    def patched_confirm(
        self: Any, voter: str, ident: str, phase: str, retired: int = 0, voter_id: str = "", call_number: int = 0
    ) -> list:
        by, asked = voter_id, call_number
        known.setdefault((id(self), ident), {})[voter] = phase, retired, by
        return confirm(self, voter, ident, phase, retired, by, asked)

    return (replication.PendingAcknowledgements, "start", patched_start), (
        replication.PendingAcknowledgements,
        "confirm",
        patched_confirm,
    )


def _heartbeat_counts_as_reply() -> Callable:
    original = FailureDetector.record_heartbeat

    def record_heartbeat(self: Any, peer: str, now: float, round_trip_s: float | None = None) -> None:
        original(self, peer, now, 0.0 if round_trip_s is None else round_trip_s)

    return record_heartbeat


def _ignores_own_pause() -> Callable:
    tick = FailureDetector.tick

    def patched_tick(self: Any, now: float) -> float:
        held_up = tick(self, now)
        for known in self._peers.values():
            known.answered_at = min(now, known.answered_at + held_up)
        return held_up

    return patched_tick


def _applies_any_state(self: Any, message: Any) -> None:
    self._apply(message.slot, Configuration.from_put(unpack(message.body)) if message.slot else EMPTY)


def _sends_any_state(self: Any, session: Any) -> None:
    session.slot = self.node.last_slot
    session.link.send(ConfigurationState(self.node.last_slot, pack(self.machine.config.dump())))


def _accepts_any_fencing_token(self: Any, lease: Any, now: float) -> bool:
    if lease.incarnation == self.incarnation and lease.epoch:
        self.fencing_token, self._epoch = lease.fencing_token, lease.epoch
        self._expires_at, self._shares = lease.sent_at + lease.term_s, lease.shares
    return False


def _share_without_expiry(self: Any, tenant: str, now: float) -> float | None:
    share = self._shares.get(tenant)
    return None if share is None else share / SHARE_UNITS


def _extended_lease_end(self: Any, fencing_token: int) -> float:
    return _LEASE_END(self, fencing_token) + 20.0


def _failure_without_count(self: Any, addr: str, again: float) -> None:
    self.retry_at[addr] = clock.monotonic() + again


def _checks_silence_at_once(self: Any, now: float, after: float) -> None:
    if self.registry.expire(now):
        self.push_changes(now)
    if (silent_servers := self.registry.silent(now, after)) != self.silent:
        self.silent = silent_servers
        self.followers.broadcast(SilentServers(silent_servers))


_LEASE_END = RoleClaim.lease_end
MUTANTS = (
    Mutant(
        "a majority asked before a GET", _patched((ClientRequest, "__init__", _confirmed_without_majority(True))), 0
    ),
    Mutant(
        "a majority asked before a refusal",
        _patched((ClientRequest, "__init__", _confirmed_without_majority(False))),
        35,
    ),
    Mutant(
        "a majority that holds a leave",
        _patched((replication._WaitingCall, "is_replicated", _replicated_at_once(False))),
        5,
    ),
    Mutant(
        "a majority that holds a retirement",
        _patched((replication._WaitingCall, "is_replicated", _replicated_at_once(True))),
        5,
    ),
    Mutant("confirmations that speak for one call only", _patched(*_remembered_confirmations()), 5),
    Mutant(
        "the number of the question in a confirmation",
        _patched((replication._WaitingCall, "is_answered_by", lambda self, call_number: True)),
        why="by hand: test_check_cutoff.Apart; "
        "a voter has to stand still, or its disk, until what its asker sends is cut off",
    ),
    Mutant(
        "an answer in what is near, as hearing is enough",
        _patched((FailureDetector, "record_heartbeat", _heartbeat_counts_as_reply())),
        20,
    ),
    Mutant(
        "an end of the proof of a majority before 20 s",
        _patched(
            (failure_detector, "REACHABILITY_WINDOW_S", 20.0),
            (FailureDetector, "_is_dead", lambda self, peer, known, now: False),
        ),
        0,
    ),
    Mutant(
        "a stand-still of its own in the age of the proof", _patched((FailureDetector, "tick", _ignores_own_pause())), 4
    ),
    Mutant(
        "a majority in touch since the call before a retirement is refused",
        _patched((Peers, "has_majority_answered_since", lambda self, since, now: True)),
        6,
    ),
    Mutant(
        "a majority's answers before a server is called safe",
        _patched((Peers, "is_majority", lambda self, addrs: True)),
        why="by hand: test_check_cutoff.Apart; "
        "gateways that don't confirm hold the word back too, unless all are with that one",
    ),
    Mutant(
        "503 to heartbeats out of touch",
        _patched((server_reports, "reply_unavailable", lambda call, text: call.reply(200, b"{}"))),
        0,
    ),
    Mutant("the age of what is shown", _patched((Peers, "age_s", lambda self, now: 0.0)), 0),
    Mutant(
        "slots of those near in signs of life",
        _patched((Peers, "is_current", Peers.is_majority_reachable)),
        why="by hand: test_check_cutoff.Apart; "
        "the slots come with the next message, before the proof, but for large states",
    ),
    Mutant(
        "as long in touch before servers are called silent",
        _patched((ServerFeed, "check_silence", _checks_silence_at_once)),
        8,
    ),
    Mutant(
        "a gateway's leaving of a controller without a majority",
        _patched((session_module, "NO_MAJORITY_TIMEOUT_S", 1e9)),
        22,
    ),
    Mutant(
        "a gateway's leaving of a controller that says nothing",
        _patched((session_module, "CONTROLLER_SILENCE_TIMEOUT_S", 1e9)),
        1,
    ),
    Mutant(
        "the count of what was tried in vain",
        _patched((ControllerSession, "_record_failure", _failure_without_count)),
        2,
    ),
    Mutant(
        "a gateway's refusal of an older configuration",
        _patched((ControllerSession, "_on_state", _applies_any_state)),
        why="by hand: test_controller_session.ActTest; a controller sends nothing older (see the next)",
    ),
    Mutant(
        "both ends' refusal of an older configuration",
        _patched(
            (ControllerSession, "_on_state", _applies_any_state), (ConfigurationFeed, "catch_up", _sends_any_state)
        ),
        1,
    ),
    Mutant(
        "a gateway's memory of servers that leave",
        _patched((LeavingServers, "apply", lambda self, records, is_complete, now: list(records))),
        1,
    ),
    Mutant(
        "a gateway's refusal of a lower fence",
        _patched((GatewayLeases, "apply", _accepts_any_fencing_token)),
        why="by hand: test_quotas.DrawnTest; a holder's lease ends before another takes the key",
    ),
    Mutant("the end of a slice at its gateway", _patched((GatewayLeases, "share", _share_without_expiry)), 0),
    Mutant("the end of a holder's lease", _patched((RoleClaim, "lease_end", _extended_lease_end)), 5),
)
