"""Schedules of the model check of callers with the real gateway between scripted clients, servers and a controller."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from crowseam import settings as settings_file
from crowseam.gateway import daemon
from crowseam.model_checks.callers.scripted_client import ClientConnection, build_request
from crowseam.model_checks.callers.scripted_controller import ScriptedController
from crowseam.model_checks.callers.scripted_server import Plan, ServerConnection, random_plan
from crowseam.model_checks.callers.scripted_world import (
    CLIENT_TIME_LEFT_S,
    CONTROLLER,
    FAULTS,
    GARBAGE,
    GATEWAY,
    LARGE_BODY_BYTES,
    SERVERS,
    ScriptedWorld,
)
from crowseam.model_checks.schedules import Violation
from crowseam.simulator.world.patches import simulated_environment
from fennelpoint.net.flow import STREAM_STALL_TIMEOUT_S

SWEEP_INTERVAL = 4  # of this many schedules, one is a sweep and one is of controllers
STRIDE = 8  # a sweep covers every eighth byte, starting from one selected by the seed


class GatewaySchedule:
    """The real gateway between scripted clients, servers and a scripted controller."""

    server_type: type[ServerConnection] = ServerConnection
    controller_type: type[ScriptedController] = ScriptedController

    def __init__(self, seed: int, steps: int) -> None:
        self.seed, self.steps = seed, steps
        world = self.world = ScriptedWorld(seed)
        self.rng = world.random("schedule")
        self.plan_by_attempt: dict[str, Plan] = {}
        self.random_plans: dict[tuple[str, str], Plan] = {}  # by (server, attempt)
        self.controller: ScriptedController | None = None
        self.daemon: daemon.Process | None = None
        self.start_count = 0
        self.granted_requests: Counter = Counter()
        self.connections: list[ClientConnection] = []
        self.clients = world.network.process("clients", "10.9.0.1")
        self.route_kinds = ("safe", "safe", "once", "once", "kept")
        self.has_large_answers = self.rng.random() < 0.15

    def plan(self, server: str, attempt: str) -> Plan:
        """The plan set for an attempt, else a random one that stays the same for a server and an attempt."""
        if (planned := self.plan_by_attempt.get(attempt)) is not None:
            return planned
        if (server, attempt) not in self.random_plans:
            plan = random_plan(self.rng)
            if self.has_large_answers and self.rng.random() < 0.7:
                # Large, slow answers, so that the answers to two attempts arrive concurrently.
                plan = Plan(after=self.rng.choice((0.0, 0.1)), size=2 * LARGE_BODY_BYTES, pieces=5, pause=0.1)
            self.random_plans[server, attempt] = plan
        return self.random_plans[server, attempt]

    def play(self) -> None:
        """Run it to its end; raises Violation."""
        with simulated_environment(self.world, self.world.on_log_event):
            self._start_machines()
            self.world.run(0.6)
            if self.daemon.reader.table is None:
                raise Violation("the gateway has no configuration")
            self._run_actions()
            self.world.check_rules()
            self._check_gateway_idle()
        self._check_draws()

    def _check_gateway_idle(self) -> None:
        """Check that the gateway holds no request, id or buffer once all clients have left and timeouts have passed."""
        for connection in self.connections:
            if connection.usable:
                connection.disconnect()
        gateway = self.daemon.gateway
        for span in (2.0, STREAM_STALL_TIMEOUT_S + 1.0):
            # The timeout of a stalled large body is longer than the deadline of a client.
            self.world.run(self.world.now + span)
            held = gateway.in_flight or gateway.open_ids or gateway.backends.budget.used
            if not held:
                break
        if held:
            raise Violation(
                f"the gateway still holds {len(gateway.in_flight)} requests, {len(gateway.open_ids)} ids and "
                f"{gateway.backends.budget.used} bytes"
            )

    def _start_machines(self) -> None:
        world = self.world
        for at, name in enumerate(SERVERS):
            process = world.network.process(name, f"10.1.0.{at + 1}")
            world.network.listen(process, lambda name=name: self.server_type(world, name, self.plan), process.ip, 8080)
        self.controller = self.controller_type(world)
        self.start()

    def start(self) -> None:
        """Start a new gateway process."""
        self.start_count += 1
        # The clock of the machine continues across restarts.
        process = self.world.network.process(f"gateway/{self.start_count}", GATEWAY, 0.00002, offset=1000.0)
        self.process = process
        settings = settings_file.Settings(
            hostname="d",
            ip=GATEWAY,
            az="z",
            port_range=(7660, 7675),
            seeds=[f"{CONTROLLER}:8407"],
            bind=settings_file.Bind(http=f"{GATEWAY}:8405", readyz=f"{GATEWAY}:8406"),
            role="gateway",
            limits=settings_file.Limits(mem_mb=300, nofile=4000),
        )
        self.world.schedule(self.world.now, process, self._start, (process, settings))

    def _start(self, process: Any, settings: settings_file.Settings) -> None:
        self.daemon = gateway_daemon = daemon.Process(
            process.loop, settings, self.world.random(f"gateway/{self.start_count}")
        )
        incarnation, add_grant = (
            gateway_daemon.controller_session.incarnation,
            gateway_daemon.gateway.admission.add_reserve_grant,
        )

        def count_grant(tenant: str, count: int) -> None:
            self.granted_requests[incarnation, tenant] += count
            add_grant(tenant, count)

        gateway_daemon.gateway.admission.add_reserve_grant = count_grant
        process.loop.create_task(gateway_daemon.start())

    def kill(self) -> None:
        """Kill the gateway, and restart it after a while."""
        self.world.network.process_ended(self.process)
        self.world.later(self.rng.choice((0.01, 0.2)), self.start)

    def stop(self) -> None:
        """Stop the gateway, which drains until its grace period ends, and restart it."""
        process, gateway_daemon = self.process, self.daemon

        def ended(_: object) -> None:
            gateway_daemon.close()
            self.world.network.process_ended(process)
            self.world.later(0.01, self.start)

        process.loop.call_soon(gateway_daemon.stop)
        gateway_daemon.stopped.add_done_callback(ended)

    def _check_draws(self) -> None:
        for who, count in self.granted_requests.items():
            if count > (granted := self.controller.granted_units(*who)):
                raise Violation(f"{who[1]} was granted {granted} requests from the reserve, and {count} were counted")

    # Requests

    def connect(self, on_connected: Callable[[ClientConnection], None]) -> None:
        """Open a client's connection."""
        connection = ClientConnection(self.world)
        self.connections.append(connection)
        future = self.clients.loop.create_future()
        future.add_done_callback(
            lambda f: on_connected(connection) if not f.cancelled() and f.exception() is None else None
        )
        self.world.network.dial(self.clients, lambda: connection, GATEWAY, 8405, future)

    def send(self, connection: ClientConnection, data: bytes, pieces: int = 1) -> None:
        """Write data in pieces, two milliseconds apart."""
        size = max(1, -(-len(data) // pieces))
        for number in range(-(-len(data) // size)):
            part = data[number * size : (number + 1) * size]
            self.world.later(0.002 * number, connection.write, part)

    def _run_actions(self) -> None:
        world, rng = self.world, self.rng
        client_count = rng.choice((1, 2, 4, 8))
        if uses_reserve := rng.random() < 0.25:
            self.route_kinds = ("kept",) * 6 + ("safe",)
        each = max(1, self.steps // client_count)
        for _ in range(client_count):
            world.later(rng.uniform(0.0, 0.1), self._run_caller, each)
        if rng.random() < (0.7 if uses_reserve else 0.4):
            world.later(rng.uniform(0.1, 1.0), rng.choice((self.kill, self.kill, self.stop)))
        if rng.random() < 0.5:
            world.later(rng.uniform(0.0, 1.0), self.controller.drop_session)
        world.run(world.now + 3.0 + 0.1 * each)

    def _run_caller(self, remaining: int) -> None:
        """A client sends requests on one connection until it is closed, then on another."""
        if remaining > 0:
            self.connect(lambda connection: self._send_requests(connection, remaining))

    def _send_requests(self, connection: ClientConnection, remaining: int) -> None:
        rng, world = self.rng, self.world
        if remaining <= 0:
            return
        if not connection.usable:
            return self._run_caller(remaining)
        count = min(remaining, rng.choice((1, 1, 1, 2, 4)))
        data = b""
        for number in range(count):
            attempt = world.new_attempt_id(rng.choice(self.route_kinds))
            expect = count == 1 and rng.random() < 0.15
            head, body = build_request(
                attempt,
                rng.choice((CLIENT_TIME_LEFT_S, CLIENT_TIME_LEFT_S, 0.3)),
                rng.choice(("length", "chunked")),
                rng.choice((0, 0, 0, 300, LARGE_BODY_BYTES)) if number == count - 1 else 0,
                expect,
            )
            connection.outstanding.append(attempt)
            if expect and body:
                connection.pending_bodies.append(body)
                body = b""
            data += head + body
        unanswered = count

        def on_answer(keep: bool) -> None:
            nonlocal unanswered
            unanswered -= 1
            if not unanswered or not keep:
                connection.on_answer = lambda keep: None  # continue only once
            if not connection.usable or not keep:
                connection.has_left = True
                world.later(rng.choice((0.0, 0.01)), self._run_caller, remaining - count)
            elif not unanswered:
                world.later(
                    rng.choice((0.0, 0.001, 0.004, 0.035, 0.07)), self._send_requests, connection, remaining - count
                )

        connection.on_answer = on_answer
        action = rng.choice(("stay",) * 9 + ("leave", "half", "part"))
        if action == "part":
            data = data[: rng.randrange(len(data))]
            if rng.random() < 0.3:
                connection.sends_garbage = True
                world.corrupted.update(connection.outstanding)
                data += GARBAGE
        self.send(connection, data, rng.choice((1, 1, 2, 6)))
        if action in ("leave", "part"):
            world.later(rng.choice((0.003, 0.02, 0.3)), self._disconnect, connection, remaining - count, on_answer)
        elif action == "half":
            world.later(0.02, lambda: connection.transport.write_eof() if connection.usable else None)

    def _disconnect(self, connection: ClientConnection, remaining: int, callback: Callable[[bool], None]) -> None:
        if connection.usable and connection.on_answer is callback:
            connection.on_answer = lambda keep: None
            connection.disconnect(self.rng.random() < 0.5)
            self._run_caller(remaining)


class Sweep(GatewaySchedule):
    """One fault at each byte of an answer or a request; a second request follows on the connection."""

    def __init__(self, seed: int, stride: int = STRIDE) -> None:
        super().__init__(seed, 0)
        index = seed // SWEEP_INTERVAL
        self.fault = FAULTS[index % len(FAULTS)]
        index //= len(FAULTS)
        self.kind, index = ("once", "safe")[index % 2], index // 2
        self.side, index = ("answer", "answer chunked", "request")[index % 3], index // 3
        self.stride, self.first = stride, index % stride

    def plan(self, server: str, attempt: str) -> Plan:
        """The plan set for an attempt, else a normal answer."""
        return self.plan_by_attempt.get(attempt) or Plan()

    def _run_actions(self) -> None:
        world = self.world
        size = len(
            ServerConnection(world, "", self.plan).answer(
                "once-0001-000000", "once-0001-000000", chunked=self.side != "answer"
            )
        )
        if self.side == "request":
            size = sum(map(len, build_request("once-0001-000000")))
        at = 0.0
        for byte in range(self.first, size + 1, self.stride):
            # Overlapping, so that failing and normal requests alternate on the connections to servers.
            world.later(at, self.connect, lambda connection, byte=byte: self._send_one(connection, byte))
            at += 0.04
        world.run(world.now + at + 2.5)

    def _send_one(self, connection: ClientConnection, byte: int) -> None:
        world = self.world
        attempt, follows = world.new_attempt_id(self.kind), world.new_attempt_id("safe")
        data = b"".join(build_request(attempt))
        connection.outstanding.append(attempt)
        if self.side == "request":
            connection.transport.write(data[:byte])
            if self.fault == "garbage":
                connection.sends_garbage = True
                world.corrupted.add(attempt)
                connection.transport.write(GARBAGE)
            elif self.fault == "rest late":
                world.later(0.3, lambda: connection.transport.write(data[byte:]) if connection.usable else None)
            elif self.fault in ("reset", "close"):
                world.later(0.0 if byte % 2 else 0.003, connection.disconnect, self.fault == "reset")
            return
        self.plan_by_attempt[attempt] = Plan(
            "cut", cut=byte, fault=self.fault, chunked=self.side != "answer", again=0.0 if byte % 2 else 0.004
        )

        def send_next(keep: bool) -> None:
            connection.on_answer = lambda keep: None
            if keep and connection.usable:
                connection.outstanding.append(follows)
                connection.transport.write(b"".join(build_request(follows)))

        connection.on_answer = send_next
        connection.transport.write(data)
