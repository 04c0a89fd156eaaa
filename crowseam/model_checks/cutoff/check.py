"""Model check of controllers that are cut off: the real daemons in the simulator, and all who call them.

`run` plays seeded schedules. Controllers are cut off for up to twenty seconds, from all machines or from the
other controllers only, both ways or one; they flap, and stand still; two, or a whole zone, may be hit at once.
Meanwhile operators order, race each other, read back, retire and look, servers come, heartbeat and drain, gateways
start anew and lose their sessions, and a part of all calls goes to the controllers that are hit. Which packets
get through is known by the world, not by the daemons. It watches that

- a controller that had no round trip to a majority of the voters during a call neither confirms nor refuses:
  no 200 for an order, a drain or a retirement, no refusal of a valid one, no configuration handed out; what
  it shows for an operator's eyes says how old it is, and no server is called safe to switch off;
- a heartbeat is not acknowledged by a controller that has been out of touch for longer than its proof lasts;
- what was acknowledged anywhere is known to each gateway that has been in touch for long enough;
- a gateway never goes back: neither in the configuration, nor to a server that it knew to leave, nor to a lower
  fence; the shares of all gateways sum to no more than the reserve leaves;
- a gateway whose controller is out of touch has a session with one that is within REJOIN seconds, where it reaches
  one; one that starts is not ready on the word of a controller out of touch;
- a server whose heartbeats come to controllers in touch is not called silent by others in touch;
- the rules of the simulator's judge hold.

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
from crowseam.gateway import controller_session as following
from crowseam.gateway.controller_session import ControllerSession
from crowseam.membership import failure_detector
from crowseam.membership.failure_detector import FailureDetector
from crowseam.membership.role_claim import RoleClaim
from crowseam.model_checks.schedules import Course, Mutant, Report, Violation, play
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.lease_messages import SHARE_UNITS
from crowseam.simulator.actors import http_client
from crowseam.simulator.scenario import day as days
from crowseam.simulator.simulation import Simulation
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment as worn
from crowseam.transport.codec import pack, unpack
from crowseam.transport.messages import ConfigurationState, SilentServers

STEPS = 20  # seconds that the controllers are hit for, at most
SETTLE = 5.0  # s until the first fault
CALM = 9.0  # s without faults at the end
SAMPLE = 0.05  # s between two looks at the gateways
REJOIN = 5.0  # s within which a gateway is with a controller in touch, once links have stopped changing
KNOWN = 2.5  # s from then on, or from an acknowledgement, until a gateway knows of it
PROOF = 1.6  # s that a heartbeat may be acknowledged on the strength of an earlier round trip
HEARD = 2.0  # s after a heartbeat that controllers in touch have taken in which a server is no silent one
UNHEARD = 1.2  # s for which it may be called so all the same
SHARES = 0.65 + 1e-9  # of a quota that gateways may have in use: the rest is the reserve's
CALLS = 0.35  # s between calls of the prober, in the mean
FRESH = frozenset(("config_get", "config_change", "retire", "drain", "leave"))
CLEAR = frozenset((200, 400, 404, 409, 412, 413, 422))


class CutoffReport(Report):
    """What was played; `moves` are the s that gateways took to a controller in touch, once links stood still."""

    moves: list[float] = []
    calls: int = 0
    cut_calls: int = 0  # of them those that came to a controller without a round trip to a majority

    def merge(self, other: Report) -> None:
        """Add what another process has played."""
        super().merge(other)
        self.moves = self.moves + other.moves
        self.calls += other.calls
        self.cut_calls += other.cut_calls


class State(msgspec.Struct):
    """Who reaches whom since `at`."""

    at: float
    blocked: frozenset[tuple[str, str]]
    stopped: frozenset[str]  # processes, by name up to the life


class _Simulation(Simulation):
    """A small gateway in which some of the calls go to the controllers that are hit."""

    hit: list[str] = []

    def pick_controller(self, rng: Random, avoid: str = "") -> str:
        if self.hit and rng.random() < 0.4:
            return rng.choice(self.hit)
        return super().pick_controller(rng, avoid)

    @property
    def now(self) -> float:
        return self.world.now


def _day(seed: int) -> days.Day:
    """Three or four controllers, three of them with a vote, and a gateway on each of four or five machines."""
    zones = [
        {"name": "a", "machines": 2, "controllers": 1, "disks": 1},
        {"name": "b", "machines": 1, "controllers": 1, "disks": 1},
        {"name": "c", "machines": 1, "controllers": 1, "disks": 1},
    ]
    if seed % 3 == 1:  # all in one zone
        zones = [{"name": "a", "machines": 4, "controllers": 3, "disks": 3}]
    elif seed % 3 == 2:  # a zone with two controllers, of which one has a vote, and a gateway beside them
        zones[0] = {"name": "a", "machines": 3, "controllers": 2, "disks": 1}
    return days.build(
        {
            "name": "cutoff",
            "length": 1.0,
            "settle": SETTLE,
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

    def __init__(self, seed: int, span: int, report: CutoffReport) -> None:
        self.report, self.rng = report, Random(f"cutoff/{seed}")
        day = _day(seed)
        day.length = span + CALM
        self.span = float(span)
        self.simulation = _Simulation(day, seed)
        self.world = Course(seed)  # what the report reads off; time is kept by the simulation
        self.network = self.simulation.network
        self.controllers = {machine.ctl: machine for machine in self.simulation.control_machines}
        self.ips = [machine.ip for machine in self.simulation.machines]
        self.found: list[str] = []
        self.states = [State(0.0, frozenset(), frozenset())]
        self.seen: dict[tuple[str, int], dict[str, Any]] = {}
        self.moving: dict[str, float] = {}
        self.disturbed: dict[str, float] = {}  # gateways, by when their session was last reset
        self.quiet: dict[tuple[str, str], float] = {}
        self.beaten: dict[str, float] = {}  # servers, by their newest heartbeat where a majority was in touch
        self.retired: dict[str, float] = {}
        self.ends = SETTLE + self.span

    # Playing

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        simulation = self.simulation
        try:
            with (
                worn(simulation.world, simulation.say),
                mock.patch.object(http_client, "fetch", self._fetching(http_client.fetch)),
                mock.patch.object(ControllerSession, "_on_message", self._hearing(ControllerSession._on_message)),
            ):
                self._plan()
                self._run(simulation.load_ends + 2.5)
                simulation.operator.read_back()
                self._run(simulation.now + 1.0)
                simulation.judge.finish(simulation.operator.read_body)
        finally:
            self.world.now, self.world.events = simulation.now, simulation.world.callbacks_run
        if simulation.world.failures:
            raise Violation(simulation.world.failures[0])
        if simulation.judge.violation_texts:
            raise Violation(f"the judge: {simulation.judge.violation_texts[0]}")

    def _run(self, until: float) -> None:
        """Let time go by, and end early where something has been found."""
        while self.simulation.now < until:
            self.simulation.world.run(min(until, self.simulation.now + 0.5))
            if self.found:
                raise Violation(self.found[0])

    def _broken(self, text: str) -> None:
        # Not raised at once: parsers and loops between here and the schedule would swallow it.
        self.found.append(f"t={self.simulation.now:.3f} {text}")

    def _plan(self) -> None:
        simulation, rng = self.simulation, self.rng
        later = simulation.later
        later(SETTLE - 1.0, self._look)
        main = rng.choice(
            (
                self._cut,
                self._cut,
                self._cut_controllers,
                self._cut_controllers,
                self._one_way,
                self._one_way,
                self._flap,
                self._freeze,
                self._freeze,
                self._two,
                self._zone,
                self._zone,
            )
        )
        later(SETTLE, main, self._controllers(1), self.span)
        if rng.random() < 0.5:
            begins = rng.uniform(0.0, self.span - 2.0)
            other = rng.choice(
                (self._cut, self._cut_controllers, self._one_way, self._flap, self._freeze, self._gateway_links)
            )
            span = min(rng.choice((0.5, 2.0, 6.0, 12.0)), self.span - begins)
            later(SETTLE + begins, other, self._controllers(1), span)
        at = SETTLE - 0.5
        while at < self.ends + 1.0:
            later(
                at,
                rng.choice(
                    (
                        self._get,
                        self._get,
                        self._order,
                        self._race,
                        self._drain,
                        self._retire,
                        self._retire_most,
                        self._join,
                        self._show,
                        self._show,
                        self._restart_gateway,
                    )
                ),
            )
            at += rng.expovariate(1.0 / CALLS)

    def _controllers(self, count: int) -> list:
        return self.rng.sample(self.simulation.control_machines, count)

    # Faults

    def _harm(self, machines: list, span: float, *troubles: LinkFault) -> None:
        simulation = self.simulation
        simulation.hit = [*simulation.hit, *(m.ctl for m in machines if m.serves_control)]
        simulation.judge.record_outage([], simulation.now, simulation.now + span)
        self.network.link_faults += troubles
        self._changed()
        simulation.later(span, self._mend, machines, troubles)

    def _mend(self, machines: list, troubles: tuple) -> None:
        for trouble in troubles:
            self.network.link_faults.remove(trouble)
        for machine in machines:
            if machine.ctl in self.simulation.hit:
                self.simulation.hit.remove(machine.ctl)
        self.network.resume_links()
        self._changed()

    def _cut(self, hit: list, span: float) -> None:
        """From all machines, servers and callers aside."""
        self._harm(hit, span, LinkFault(frozenset(m.ip for m in hit), frozenset(self.ips), cut=True))

    def _cut_controllers(self, hit: list, span: float) -> None:
        """From the other controllers; gateways still reach it, unless they share a machine with one of those."""
        others = frozenset(m.ip for m in self.simulation.control_machines if m not in hit)
        self._harm(hit, span, LinkFault(frozenset(m.ip for m in hit), others, cut=True))

    def _one_way(self, hit: list, span: float) -> None:
        """What it sends, or what it is sent, is lost: between it and all machines, or controllers alone."""
        others = frozenset(self.ips)
        if self.rng.random() < 0.5:
            others = frozenset(m.ip for m in self.simulation.control_machines if m not in hit)
        way = self.rng.choice(("in", "out"))
        self._harm(hit, span, LinkFault(frozenset(m.ip for m in hit), others, cut=True, direction=way))

    def _zone(self, hit: list, span: float) -> None:
        """All controllers of a zone stand still, or gateways elsewhere don't reach them."""
        zone = [m for m in self.simulation.control_machines if m.zone == "a"]
        if len(zone) == len(self.simulation.control_machines):
            zone = hit
        self.rng.choice((self._freeze, self._freeze, self._gateway_links))(zone, span)

    def _two(self, hit: list, span: float) -> None:
        self._cut_controllers(
            [*hit, self.rng.choice([m for m in self.simulation.control_machines if m not in hit])], span
        )

    def _flap(self, hit: list, span: float) -> None:
        turn, at = self.rng.choice((0.2, 0.6, 1.3, 2.5)), 0.0
        trouble = LinkFault(frozenset(m.ip for m in hit), frozenset(self.ips), cut=True)
        while at + turn <= span:
            self.simulation.later(at, self._harm, hit, turn, trouble)
            at += 2.0 * turn

    def _gateway_links(self, hit: list, span: float) -> None:
        """Between gateways and a controller, one way or both."""
        way = self.rng.choice(("in", "out", "both"))
        gateways = frozenset(m.ip for m in self.simulation.machines if not m.serves_control)
        self._harm(hit, span, LinkFault(frozenset(m.ip for m in hit), gateways, cut=True, direction=way))

    def _freeze(self, hit: list, span: float) -> None:
        """Controllers stand still; gateways on their machines don't."""
        processes = [m.processes["controller"] for m in hit if "controller" in m.processes]
        for process in processes:
            process.frozen = True
        self._harm(hit, span)
        self.simulation.later(span, self._thaw, processes)
        for machine in self.simulation.machines:  # they come to it just before it goes on
            begins, what = span - self.rng.uniform(0.0, 0.9), self.rng.choice((self._reset, self._restart))
            if what == self._restart:
                begins = span - self.rng.uniform(0.6, 0.9)  # its code takes 0.3 to 0.5 s to load
            if begins > 1.0 and self.rng.random() < 0.8:
                self.simulation.later(begins, what, machine)

    def _reset(self, machine: Any) -> None:
        """The session of a gateway is reset."""
        daemon, process = machine.daemons.get("gateway"), machine.processes.get("gateway")
        if daemon is not None and daemon.controller_session.link is not None:
            self.disturbed[machine.name] = self.simulation.now
            process.loop.call_soon(daemon.controller_session.link.close)

    def _stay(self, machine: Any) -> None:
        """Nothing happens to a gateway."""

    def _thaw(self, processes: list) -> None:
        for process in processes:
            process.thaw()
        self._changed()

    def _changed(self) -> None:
        network = self.network
        pairs = [(a, b) for a in self.ips for b in self.ips if a != b and network.blocked(a, b)]
        stopped = [
            process.name.partition("/")[0]
            for machine in self.simulation.machines
            for process in machine.processes.values()
            if process.frozen
        ]
        self.states.append(State(self.simulation.now, frozenset(pairs), frozenset(stopped)))
        self.moving.clear()

    # Calls

    def _get(self) -> None:
        self._call("GET", "/-/config")

    def _order(self) -> None:
        """A change of a route, as by an operator who goes on until it is clear what became of it."""
        operator = self.simulation.operator
        if len(operator.queue) < 3:
            self._change(False)

    def _race(self) -> None:
        if len(self.simulation.operator.queue) < 3:
            self._change(True)

    def _change(self, race: bool) -> None:
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
            if s.up and s.phase == "up" and s.version == "v1" and s.id not in self.retired
        ]
        if len(up) > 4:
            ident = self.rng.choice(up)

            def done(answer: http_client.Answer | None) -> None:
                if answer is not None and answer.status == 200:
                    self.retired.setdefault(ident, self.simulation.now)

            self._call("POST", "/-/retire", msgspec.json.encode({"id": ident, "force": True}), done)

    def _retire_most(self) -> None:
        """More than may go: in touch it is refused, and there are always more."""
        self._call("POST", "/-/retire", msgspec.json.encode({"ver": "v1", "svc": "maps"}))

    def _join(self) -> None:
        """A server is new, and at once an operator wants it retired; who has not heard of it can't refuse."""
        if len(self.simulation.servers) < 14:
            server = self.simulation.add_server(self.simulation.deployment.services[0], self.rng.choice("abc"), "v2")
            order = msgspec.json.encode({"id": server.id, "force": True, "undo": True})
            for delay in (0.6, 1.2, 1.8):
                self.simulation.later(delay, self._call, "POST", "/-/retire", order)

    def _show(self) -> None:
        self._call("GET", "/-/" + self.rng.choice(("retiring", "servers", "history", "members", "duties", "status")))

    def _restart_gateway(self) -> None:
        """A gateway begins anew, now and then while its controllers are out of touch."""
        machine = self.rng.choice(self.simulation.machines)
        self.rng.choice((self._reset, self._restart, self._stay))(machine)

    def _restart(self, machine: Any) -> None:
        machine.kill("gateway")
        self.simulation.later(0.1, machine.start, "gateway")
        self.simulation.judge.record_outage([machine.name], self.simulation.now, self.simulation.now + 1.0)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        done: Callable[[http_client.Answer | None], None] = lambda answer: None,
    ) -> None:
        at = self.simulation.pick_controller(self.rng)
        data = http_client.request(method, at, path, [], body)
        http_client.fetch(self.simulation.operator.process, at, data, 1.2, done)

    def _fetching(self, fetch: Callable) -> Callable:
        """All calls of a controller pass here, of servers and operators alike."""

        def watched(process: Any, address: str, data: bytes, timeout: float, done: Callable) -> None:
            began, machine = self.simulation.now, self.controllers.get(address)

            def ended(answer: http_client.Answer | None) -> None:
                if machine is not None and answer is not None:
                    self._answered(machine, data, answer, began)
                done(answer)

            fetch(process, address, data, timeout, ended)

        return watched

    # What the world knows

    def _voters(self) -> list[str]:
        """Who votes, by the controller that knows most."""
        daemons = [m.daemons["controller"] for m in self.simulation.control_machines if "controller" in m.daemons]
        newest = max(daemons, key=lambda daemon: daemon.node.last_slot)
        return [voter.addr for voter in newest.node.voters]

    def _alone(self, machine: Any, since: float, until: float, voters: list[str]) -> bool:
        """Whether it can't have had a round trip to a majority of `voters` at any time between."""
        first = max(n for n, state in enumerate(self.states) if state.at <= since or n == 0)
        states = [state for state in self.states[first:] if state.at <= until]
        lost = 0
        for addr in voters:
            other = self.controllers[addr]
            if other is machine:
                continue
            lost += (
                all((machine.ip, other.ip) in s.blocked for s in states)
                or all((other.ip, machine.ip) in s.blocked for s in states)
                or all(f"controller:{other.name}" in s.stopped for s in states)
                or all(f"controller:{machine.name}" in s.stopped for s in states)
            )
        return 2 * (len(voters) - lost) <= len(voters)

    def _good(self, machine: Any, voters: list[str]) -> bool:
        """Whether the controller has both ways to a majority now."""
        state = self.states[-1]
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
        blocked = self.states[-1].blocked
        return (gateway.ip, machine.ip) not in blocked and (machine.ip, gateway.ip) not in blocked

    # Invariants of calls

    def _answered(self, machine: Any, data: bytes, answer: http_client.Answer, began: float) -> None:
        now = self.simulation.now
        head, _, body = data.partition(b"\r\n\r\n")
        method, path = head.split(b" ")[:2]
        kind = _kind(method.decode(), path.decode(), body)
        daemon = machine.daemons.get("controller")
        self.report.calls += 1
        if daemon is None:
            return
        views = {tuple(v.addr for v in daemon.node.voters), tuple(self._voters())} - {()}
        views = [list(view) for view in views if set(view) <= self.controllers.keys()]
        alone = all(self._alone(machine, began, now, view) for view in views)
        self.report.cut_calls += alone
        self.world.outcomes[f"{kind} {answer.status}{' alone' if alone else ''}"] += 1
        if answer.status == 503 and b"retry-after" not in answer.headers:
            self._broken(f"{kind} at {machine.name}: 503 without Retry-After")
        if not alone:
            if kind == "heartbeat" and answer.status == 200 and self._good(machine, self._voters()):
                self.beaten[path.rpartition(b"/")[2].decode()] = now
            return
        if kind in FRESH and answer.status in CLEAR:
            self._broken(f"{kind} at {machine.name} answered {answer.status} without a majority")
        since = self._alone_since(machine, began, views)
        if kind == "heartbeat" and answer.status == 200 and now - since > PROOF:
            self._broken(f"heartbeat at {machine.name} acknowledged {now - since:.2f} s after its last contact")
        if kind == "show" and answer.status == 200:
            age = answer.headers.get(b"age")
            if age is None or int(age) + 1.1 < began - since:
                self._broken(f"{path.decode()} at {machine.name}: age {age}, " f"{began - since:.2f} s after contact")
            if path.startswith(b"/-/retiring"):
                told = msgspec.json.decode(answer.body)
                if any(row["safe"] and row["state"] != "gone" for row in told["servers"]):
                    self._broken(f"{machine.name} calls a server safe without a majority")

    def _alone_since(self, machine: Any, at: float, views: list[list[str]]) -> float:
        since = at
        for state in reversed(self.states):
            if state.at <= at:
                if not all(self._alone(machine, state.at, at, view) for view in views):
                    break
                since = state.at
        return since

    # Invariants of gateways

    def _look(self) -> None:
        simulation = self.simulation
        voters = self._voters()
        good = [m for m in simulation.control_machines if self._good(m, voters)]
        steady = simulation.now - self.states[-1].at
        shares: dict[str, float] = {}
        for machine in simulation.machines:
            daemon, process = machine.daemons.get("gateway"), machine.processes.get("gateway")
            if daemon is None:
                self.moving.pop(machine.name, None)
                continue
            self._never_back(machine, daemon)
            reached = [one for one in good if self._reaches(machine, one)]
            self._quiet(machine, daemon, reached)
            self._move(machine, daemon, reached, steady)
            local = process.clock(simulation.now)
            share = daemon.controller_session.lease_share("north", local)
            shares["north"] = shares.get("north", 0.0) + (share or 0.0)
        if any(share > SHARES for share in shares.values()):
            self._broken(f"shares in use sum to {shares}")
        simulation.later(SAMPLE, self._look)

    def _hearing(self, heard: Callable) -> Callable:
        """All that gateways are told passes here: the moment in which one becomes ready is too short to look."""

        def watched(controller_session: ControllerSession, link: Any, message: Any) -> None:
            before = controller_session.is_caught_up
            heard(controller_session, link, message)
            if controller_session.is_caught_up and not before:
                acked = [
                    v.ver
                    for v in self.simulation.judge.versions
                    if v.acked_at is not None and v.acked_at + KNOWN < self.simulation.now
                ]
                if acked and controller_session.config.ver < max(acked):
                    self._broken(
                        f"{controller_session.settings.hostname} starts as ready with "
                        f"{controller_session.config.ver:08x}, "
                        f"long after {max(acked):08x}"
                    )

        return watched

    def _never_back(self, machine: Any, daemon: Any) -> None:
        controller_session, balancer = daemon.controller_session, daemon.gateway.balancer
        life = machine.name, machine.incarnations["gateway"]
        before = self.seen.get(life)
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
                self._broken(f"{machine.name} takes {ident} as up, which it knew to leave")
        if before is not None:
            if now["slot"] < before["slot"] or now["ver"] < before["ver"]:
                self._broken(f"{machine.name} goes back from {before['ver']:08x} to {now['ver']:08x}")
            for key, fence in before["fences"].items():
                if now["fences"].get(key, 0) < fence:
                    self._broken(f"{machine.name} obeys a lower fence of {key}")
        self.seen[life] = now

    def _quiet(self, machine: Any, daemon: Any, good: list) -> None:
        """A server that is well is not called silent for long by a controller in touch."""
        controller_session, now = daemon.controller_session, self.simulation.now
        there = controller_session.link is not None and any(
            one.ctl == controller_session.controller_addr for one in good
        )
        named = {
            ident
            for ident, server in daemon.gateway.balancer.servers.items()
            if there and server.is_silent and now - self.beaten.get(ident, -HEARD) < HEARD
        }
        for ident in named:
            since = self.quiet.setdefault((machine.name, ident), now)
            if now - since > UNHEARD:
                self._broken(f"{machine.name} takes {ident} for silent, which is well, " f"for {now - since:.2f} s")
        for key in [key for key in self.quiet if key[0] == machine.name and key[1] not in named]:
            del self.quiet[key]

    def _move(self, machine: Any, daemon: Any, good: list, steady: float) -> None:
        controller_session, now = daemon.controller_session, self.simulation.now
        there = controller_session.link is not None and any(m.ctl == controller_session.controller_addr for m in good)
        if there or not good:
            began = self.moving.pop(machine.name, None)
            if began is not None and there and began > 0.0:
                self.report.moves.append(now - began)
        elif machine.name not in self.moving:
            counts = steady < 2 * SAMPLE and machine.gateway_starts[-1] < now - 2.0
            self.moving[machine.name] = now if counts else 0.0
        calm = min(steady, now - machine.gateway_starts[-1], now - self.disturbed.get(machine.name, 0.0))
        if not good or calm < REJOIN:
            return
        if not there:
            self._broken(f"{machine.name} has no controller in touch {calm:.2f} s after links came to rest")
        if calm < REJOIN + KNOWN:
            return
        simulation = self.simulation
        acked = [v.ver for v in simulation.judge.versions if v.acked_at is not None and v.acked_at + KNOWN < now]
        if acked and controller_session.config.ver < max(acked):
            self._broken(f"{machine.name} has {controller_session.config.ver:08x} {KNOWN} s after {max(acked):08x}")
        left = {ident: at for ident, (at, _) in simulation.judge.drains.items()} | self.retired
        for ident, at in left.items():
            server = daemon.gateway.balancer.servers.get(ident)
            if at + KNOWN < now and server is not None and server.usable:
                self._broken(f"{machine.name} uses {ident} {now - at:.2f} s after it was confirmed to leave")


def _kind(method: str, path: str, body: bytes) -> str:
    if path.startswith("/-/backends/"):
        if method == "DELETE":
            return "leave"
        return "drain" if b'"phase":"draining"' in body else "heartbeat"
    if path == "/-/config":
        return "config_get" if method == "GET" else "config_change"
    return "retire" if path == "/-/retire" else "show"


def run(seeds: Iterable[int], steps: int = STEPS) -> CutoffReport:
    """Play one random schedule for each seed, in which controllers are hit for `steps` s."""
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
    """A run with these (owner, name, what stands there instead)."""

    def mutated(seeds: Iterable[int]) -> Report:
        with ExitStack() as stack:
            for owner, name, instead in patches:
                stack.enter_context(mock.patch.object(owner, name, instead))
            return run(seeds)

    return mutated


def _confirmed(reads: bool) -> Callable:
    init = ClientRequest.__init__

    def made(self: Any, request_id: Any, build: Any, sequence: int, deadline: float) -> None:
        init(self, request_id, build, sequence, deadline)
        self.is_confirmed = (build is None) == reads

    return made


def _held_at_once(of_operators: bool) -> property:
    is_replicated = replication._WaitingCall.is_replicated.fget
    return property(lambda self: isinstance(self.call, tuple) == of_operators or is_replicated(self))


def _remembering() -> tuple[tuple[Any, str, Any], ...]:
    """Confirmations that speak for later calls too, as they did for five seconds."""
    start, confirm, known = (
        replication.PendingAcknowledgements.start,
        replication.PendingAcknowledgements.confirm,
        {},
    )

    def begun(self: Any, ticket: Any, record: Any, *args: Any) -> list:
        out = start(self, ticket, record, *args)
        for voter, (phase, retired, by) in known.get((id(self), record.id), {}).items():
            if replication.PHASE_ORDER[phase] >= replication.PHASE_ORDER[record.phase] and retired >= record.retired:
                self._waiting[ticket].confirmed_by[voter] = by
        return out

    def told(
        self: Any, voter: str, ident: str, phase: str, retired: int = 0, voter_id: str = "", call_number: int = 0
    ) -> list:
        by, asked = voter_id, call_number
        known.setdefault((id(self), ident), {})[voter] = phase, retired, by
        return confirm(self, voter, ident, phase, retired, by, asked)

    return (replication.PendingAcknowledgements, "start", begun), (
        replication.PendingAcknowledgements,
        "confirm",
        told,
    )


def _heard_is_answered() -> Callable:
    heard = FailureDetector.record_heartbeat

    def hears(self: Any, peer: str, now: float, round_trip_s: float | None = None) -> None:
        heard(self, peer, now, 0.0 if round_trip_s is None else round_trip_s)

    return hears


def _pause_forgiven() -> Callable:
    tick = FailureDetector.tick

    def ticked(self: Any, now: float) -> float:
        held_up = tick(self, now)
        for known in self._peers.values():
            known.answered_at = min(now, known.answered_at + held_up)
        return held_up

    return ticked


def _takes_any_state(self: Any, message: Any) -> None:
    self._apply(message.slot, Configuration.from_put(unpack(message.body)) if message.slot else EMPTY)


def _tells_any_state(self: Any, session: Any) -> None:
    session.slot = self.node.last_slot
    session.link.send(ConfigurationState(self.node.last_slot, pack(self.machine.config.dump())))


def _any_fence(self: Any, lease: Any, now: float) -> bool:
    if lease.incarnation == self.incarnation and lease.epoch:
        self.fencing_token, self._epoch = lease.fencing_token, lease.epoch
        self._expires_at, self._shares = lease.sent_at + lease.term_s, lease.shares
    return False


def _outlives(self: Any, tenant: str, now: float) -> float | None:
    share = self._shares.get(tenant)
    return None if share is None else share / SHARE_UNITS


def _long_lease(self: Any, fencing_token: int) -> float:
    return _LEASE_END(self, fencing_token) + 20.0


def _tried_alike(self: Any, addr: str, again: float) -> None:
    self.retry_at[addr] = clock.monotonic() + again


def _all_silent(self: Any, now: float, after: float) -> None:
    if self.registry.expire(now):
        self.push_changes(now)
    if (quiet := self.registry.silent(now, after)) != self.silent:
        self.silent = quiet
        self.followers.broadcast(SilentServers(quiet))


_LEASE_END = RoleClaim.lease_end
MUTANTS = (
    Mutant("a majority asked before a GET", _patched((ClientRequest, "__init__", _confirmed(True))), 0),
    Mutant("a majority asked before a refusal", _patched((ClientRequest, "__init__", _confirmed(False))), 35),
    Mutant(
        "a majority that holds a leave", _patched((replication._WaitingCall, "is_replicated", _held_at_once(False))), 5
    ),
    Mutant(
        "a majority that holds a retirement",
        _patched((replication._WaitingCall, "is_replicated", _held_at_once(True))),
        5,
    ),
    Mutant("confirmations that speak for one call only", _patched(*_remembering()), 5),
    Mutant(
        "the number of the question in a confirmation",
        _patched((replication._WaitingCall, "is_answered_by", lambda self, call_number: True)),
        why="by hand: test_check_cutoff.Apart; "
        "a voter has to stand still, or its disk, until what its asker sends is cut off",
    ),
    Mutant(
        "an answer in what is near, as hearing is enough",
        _patched((FailureDetector, "record_heartbeat", _heard_is_answered())),
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
        "a stand-still of its own in the age of the proof", _patched((FailureDetector, "tick", _pause_forgiven())), 4
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
        _patched((ServerFeed, "check_silence", _all_silent)),
        8,
    ),
    Mutant(
        "a gateway's leaving of a controller without a majority",
        _patched((following, "NO_MAJORITY_TIMEOUT_S", 1e9)),
        22,
    ),
    Mutant(
        "a gateway's leaving of a controller that says nothing",
        _patched((following, "CONTROLLER_SILENCE_TIMEOUT_S", 1e9)),
        1,
    ),
    Mutant("the count of what was tried in vain", _patched((ControllerSession, "_record_failure", _tried_alike)), 2),
    Mutant(
        "a gateway's refusal of an older configuration",
        _patched((ControllerSession, "_on_state", _takes_any_state)),
        why="by hand: test_controller_session.ActTest; a controller sends nothing older (see the next)",
    ),
    Mutant(
        "both ends' refusal of an older configuration",
        _patched((ControllerSession, "_on_state", _takes_any_state), (ConfigurationFeed, "catch_up", _tells_any_state)),
        1,
    ),
    Mutant(
        "a gateway's memory of servers that leave",
        _patched((LeavingServers, "apply", lambda self, records, is_complete, now: list(records))),
        1,
    ),
    Mutant(
        "a gateway's refusal of a lower fence",
        _patched((GatewayLeases, "apply", _any_fence)),
        why="by hand: test_quotas.DrawnTest; a holder's lease ends before another takes the key",
    ),
    Mutant("the end of a slice at its gateway", _patched((GatewayLeases, "share", _outlives)), 0),
    Mutant("the end of a holder's lease", _patched((RoleClaim, "lease_end", _long_lease)), 5),
)
