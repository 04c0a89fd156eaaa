"""Model check of request and response matching: scripted peers of the real gateway and the real controllers.

`run` runs seeded schedules on virtual time and links; every fourth is a sweep, every fourth is of controllers, and in
every sixteenth servers answer before they have read the whole request (`callers.early_answers`). Servers, clients,
callers and the controller of the gateway are scripts (`callers.scripted_*`): they answer late, twice, partially, with
the id of another request or without one, or with garbage; they fall silent, close or reset the connection at any byte,
or close it as the next request arrives. Checked is that

- a client gets the complete answer to its own request or none: no success belongs to another request, is truncated
  or duplicated, and no unsolicited bytes arrive;
- an `unsafe` request is run at most once by all servers together for each attempt of its client, a keyed operation at
  most once for all of them, and a `safe` or refused request reaches servers at most as often as its route allows;
- a status that promises that a request has not run is only sent if no server runs the request, then or later;
- a grant from the reserve counts once, for the tenant that it was requested for, in the gateway process that
  requested it;
- an answer of a controller belongs to the call that is next in order, and its content is true.

A sweep applies one fault at each byte of a message; the seed selects the fault and the message.
All times are seconds of virtual time.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from crowseam import settings as settings_file
from crowseam.model_checks.callers.early_answers import EarlySchedule
from crowseam.model_checks.callers.gateway_schedules import SWEEP_INTERVAL, GatewaySchedule, Sweep
from crowseam.model_checks.callers.mutants import mutants
from crowseam.model_checks.callers.scripted_callers import Call, CallerConnection, ScriptedGateway
from crowseam.model_checks.callers.scripted_world import GARBAGE, ScriptedWorld
from crowseam.model_checks.schedules import Report, play
from crowseam.simulator.memory_controller import MemoryController
from crowseam.simulator.world.disk import DiskImage
from crowseam.simulator.world.link_faults import LinkFault
from crowseam.simulator.world.patches import simulated_environment

STEPS = 40  # requests or calls of a random schedule
EARLY_INTERVAL = 16  # of this many schedules, one has servers that answer early
CALLS = ("unknown", "heartbeat", "drain", "drain", "leave", "retire", "look", "look", "read", "change")


# Schedules of the controllers


class ControllerSchedule:
    """The real controllers between scripted callers and a scripted gateway; they are killed, cut off and frozen."""

    IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")

    def __init__(self, seed: int, steps: int) -> None:
        self.seed, self.steps = seed, steps
        world = self.world = ScriptedWorld(seed)
        self.rng = world.random("schedule")
        self.callers = world.network.process("callers", "10.9.0.1")
        self.disk_images = [DiskImage(world.random(f"disk_image/{ip}")) for ip in self.IPS]
        self.controllers: dict[str, Any] = {}
        self.processes: dict[str, Any] = {}
        self.start_count = Counter()
        self.states_when_killed: dict[str, set[tuple[str, str]]] = {}  # by server: (controller, phase)
        self.acknowledged_version = self.last_version = 0
        self.sequence = 0
        self.busy: dict[str, int] = {}

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        world, rng = self.world, self.rng
        with simulated_environment(world, world.on_log_event):
            for ip in self.IPS:
                self.start(ip, True)
            ScriptedGateway(world, "teller", "10.8.0.1", 7, self.busy)
            world.run(1.5)
            each = max(1, self.steps // 4)
            for _ in range(4):
                world.later(rng.uniform(0.0, 0.2), self._run_caller, each)
            for _ in range(rng.choice((0, 1, 3))):
                world.later(rng.uniform(0.1, 2.0), self._trouble)
            world.run(world.now + 6.0)
            world.check_rules()

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Start a controller with its existing disk."""
        self.start_count[ip] += 1
        process = self.processes[ip] = self.world.network.process(
            f"{ip}/{self.start_count[ip]}", ip, 0.00005, offset=100.0
        )
        settings = settings_file.Settings(
            hostname=ip,
            ip=ip,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{each}:8407" for each in self.IPS],
            bind=settings_file.Bind(ctl=f"{ip}:8407"),
            role="controller",
            bootstrap=bootstrap,
            voting=True,
            datadir="memory",
        )

        def begin() -> None:
            controller = self.controllers[ip] = MemoryController(
                process,
                settings,
                self.disk_images[self.IPS.index(ip)],
                self.world.random(f"{ip}/{self.start_count[ip]}"),
            )
            process.loop.create_task(controller.start())

        process.loop.call_soon(begin)

    def _trouble(self) -> None:
        world, rng = self.world, self.rng
        ip = rng.choice(self.IPS)
        action, span = rng.choice(("kill", "cut", "freeze", "hang")), rng.choice((0.05, 0.3, 0.8))
        if action == "kill" and len(self.controllers) == len(self.IPS):
            controller = self.controllers.pop(ip)
            for record in controller.registry.records(controller.now()):
                self.states_when_killed.setdefault(record.id, set()).add((ip, record.phase))
            world.network.process_ended(self.processes[ip])
            controller.disk.crash()
            world.later(span, self.start, ip)
        elif action == "cut":
            trouble = LinkFault(frozenset([ip]), frozenset(set(self.IPS) - {ip}), cut=True)
            world.network.link_faults.append(trouble)
            world.later(span, self._heal, trouble)
        elif action == "freeze":
            process = self.processes[ip]
            process.frozen = True
            world.later(span, process.thaw)
        elif action == "hang":
            self.disk_images[self.IPS.index(ip)].hangs_until = world.now + span

    def _heal(self, trouble: LinkFault) -> None:
        self.world.network.link_faults.remove(trouble)
        self.world.network.resume_links()

    # Calls

    def _run_caller(self, remaining: int) -> None:
        if remaining <= 0:
            return
        world, rng = self.world, self.rng
        ip, connection = rng.choice(self.IPS), CallerConnection(world)
        connected = self.callers.loop.create_future()

        def on_connected(future: asyncio.Future) -> None:
            if future.exception() is None:
                self._send_requests(connection, ip, remaining)
            else:
                world.later(0.05, self._run_caller, remaining - 1)

        connected.add_done_callback(on_connected)
        world.network.dial(self.callers, lambda: connection, ip, 8407, connected)

    def _send_requests(self, connection: CallerConnection, ip: str, remaining: int) -> None:
        world, rng = self.world, self.rng
        if remaining <= 0 or not connection.usable:
            return self._run_caller(remaining)
        count = min(remaining, rng.choice((1, 1, 2, 4, 6)))
        asked = [self._random_call(ip) for _ in range(count)]
        connection.outstanding.extend(asked)
        data = b"".join(each.data for each in asked)

        def on_all_answered() -> None:
            connection.on_all_answered = lambda: None
            world.later(rng.choice((0.0, 0.01, 0.1)), self._send_requests, connection, ip, remaining - count)

        connection.on_all_answered = on_all_answered
        action = rng.choice(("stay",) * 7 + ("leave", "leave", "part", "half"))
        if action == "part":
            data = data[: rng.randrange(len(data))]
            if rng.random() < 0.5:
                connection.sends_garbage = True
                data += GARBAGE
        size = max(1, -(-len(data) // rng.choice((1, 1, 3, 7))))
        for number in range(-(-len(data) // size)):
            part = data[number * size : (number + 1) * size]
            world.later(0.001 * number, connection.write, part)
        if action in ("leave", "part"):
            world.later(rng.choice((0.002, 0.006, 0.02, 0.2)), self._disconnect, connection, on_all_answered)
        elif action == "half":
            world.later(0.02, lambda: connection.transport.write_eof() if connection.usable else None)

    def _disconnect(self, connection: CallerConnection, callback: Callable[[], None]) -> None:
        if connection.on_all_answered is callback and connection.usable:
            connection.transport.reset_on_close = self.rng.random() < 0.5
            connection.transport.abort()

    def _random_call(self, ip: str) -> Call:
        rng = self.rng
        kind = rng.choice(CALLS)
        self.sequence += 1
        server_id = f"i-{self.sequence if kind == 'heartbeat' else rng.randrange(1, max(2, self.sequence))}"
        if kind == "unknown":
            token = f"{rng.getrandbits(40):010x}"
            return self._expect(kind, ip, "GET", f"/x/{token}", b"", {404: token.encode()})
        if kind in ("heartbeat", "drain"):
            phase = "up" if kind == "heartbeat" else "draining"
            body = msgspec.json.encode(
                {
                    "addr": "10.1.0.1:8080",
                    "summary": {"svc": "s", "ver": "v", "az": "z", "slots": 4},
                    "stat": {"phase": phase, "seq": self.sequence, "warmup_time": "0ms"},
                }
            )
            held = self._check_leaving(server_id, ("draining", "gone")) if kind == "drain" else None
            return self._expect(kind, ip, "PUT", f"/-/backends/{server_id}", body, {200: b"{}"}, held)
        if kind == "leave":
            return self._expect(
                kind,
                ip,
                "DELETE",
                f"/-/backends/{server_id}",
                b"",
                {200: b"{}"},
                self._check_leaving(server_id, ("gone",)),
            )
        if kind == "retire":
            body = msgspec.json.encode({"id": server_id, "force": True})
            found = b'"found":["%b"]' % server_id.encode()
            return self._expect(kind, ip, "POST", "/-/retire", body, {200: found})
        if kind == "look":
            if rng.random() < 0.5:
                self.busy[server_id] = 1
            return self._expect(
                kind, ip, "GET", f"/-/retiring/{server_id}", b"", {200: b'"servers":'}, self._check_retiring(server_id)
            )
        if kind == "read":
            acknowledged = self.acknowledged_version
            return self._expect(
                kind,
                ip,
                "GET",
                "/-/config",
                b"",
                {200: b'"ver"'},
                lambda body: int(msgspec.json.decode(body)["ver"], 16) >= acknowledged,
            )
        self.last_version += 1
        ver, parent = self.last_version, self.acknowledged_version
        body = msgspec.json.encode({"ver": f"{ver:08x}", "parent": f"{parent:08x}", "objs": []})

        def check_applied(_: bytes) -> bool:
            self.acknowledged_version = max(self.acknowledged_version, ver)
            controller = self.controllers.get(ip)
            return controller is None or any(f"{ver:08x}" in str(each) for each in controller.machine.history())

        return self._expect(kind, ip, "PUT", "/-/config", body, {200: b"{}"}, check_applied)

    def _expect(
        self,
        kind: str,
        ip: str,
        method: str,
        path: str,
        body: bytes,
        expected_bytes: dict[int, bytes],
        holds: Callable[[bytes], bool] | None = None,
    ) -> Call:
        """Return a call with the bytes expected in its answer by status, and a check of a successful answer."""
        expects = bool(body) and self.rng.random() < 0.2
        lines = [f"{method} {path} HTTP/1.1", f"Host: {ip}", f"Content-Length: {len(body)}"]
        lines += ["Expect: 100-continue"] if expects else []

        def check(status: int, answer: bytes) -> None:
            word = expected_bytes.get(status)
            if word is not None and (word not in answer or (word == b"{}" and answer != word)):
                self.world.report_fault(f"{method} {path} was answered {status} with {answer[:80]!r}")
            elif status == 200 and word is None or status not in (200, 400, 404, 409, 412, 503):
                self.world.report_fault(f"{method} {path} was answered {status}")
            elif status == 200 and holds is not None and not holds(answer):
                self.world.report_fault(f"{method} {path} was answered 200, which is not true: {answer[:80]!r}")

        return Call(kind, "\r\n".join(lines).encode() + b"\r\n\r\n" + body, check, expects)

    def _check_leaving(self, server_id: str, phases: tuple[str, ...]) -> Callable[[bytes], bool]:
        """Return a check that a majority has, or had when killed, this server in one of the phases."""

        def held(_: bytes) -> bool:
            holders = {ip for ip, phase in self.states_when_killed.get(server_id, ()) if phase in phases}
            for ip, controller in self.controllers.items():
                record = controller.registry.get(server_id, controller.now())
                if record is not None and record.phase in phases:
                    holders.add(ip)
            return len(holders) > len(self.IPS) // 2

        return held

    def _check_retiring(self, server_id: str) -> Callable[[bytes], bool]:
        busy = server_id in self.busy

        def looked(body: bytes) -> bool:
            # The scripted gateway's requests never end, so a server that has any must not be reported as safe.
            return all(
                row["id"] == server_id and not (busy and row["safe"] and row["state"] != "gone")
                for row in msgspec.json.decode(body)["servers"]
            )

        return looked


def make(seed: int, steps: int = STEPS) -> Any:
    """Return the schedule of a seed."""
    if seed % SWEEP_INTERVAL == 0:
        return Sweep(seed)
    if seed % SWEEP_INTERVAL == 1:
        return ControllerSchedule(seed, steps)
    if seed % EARLY_INTERVAL == EARLY_INTERVAL - 1:
        return EarlySchedule(seed)
    return GatewaySchedule(seed, steps)


def run(seeds: Iterable[int], steps: int = STEPS) -> Report:
    """Run the schedule of each seed."""
    report = Report()
    play(seeds, lambda seed: make(seed, steps), report)
    return report


MUTANTS = mutants(run)
