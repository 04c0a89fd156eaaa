"""Links, servers and clients of the model check of keyed operations, and the checks of what clients observe."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from crowseam.gateway.keyed_requests import Operation
from crowseam.gateway.request_reader import ParsedRequest
from crowseam.model_checks.operations.machines import KEY_WINDOW_S, Controller, GatewayMachine
from crowseam.model_checks.schedules import EventSimulation, Violation
from crowseam.operations import messages
from crowseam.operations.identity import operation_digest
from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer

TIME_LEFT_S = 2.0
CLIENT_TIMEOUT_S = 2.3  # after which a client disconnects
SPARES = 2
NOT_RUN_STATUSES = (429, 503, 408, 421)  # these promise that the request has not run and never will


class Run:
    """One run of an operation at a server."""

    def __init__(self, attempt_id: bytes, sent_at: float, began_at: float) -> None:
        self.attempt_id = attempt_id
        self.sent_at = sent_at
        self.began_at = began_at


class KeyObservations:
    """Runs and answers observed for one key."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.bodies: set[bytes] = set()  # of all successes
        self.ran_other_request = False  # a different request used this key
        self.replicated_at: float | None = None  # when a gateway learned that a majority stores its answer
        self.promised_not_run: set[bytes] = set()  # attempts answered as not run
        self.statuses: list[int] = []


class Client:
    """One attempt of a client, which retries after a failure with the same key."""

    def __init__(self, world: World, key: bytes, machine: GatewayMachine, tries: int, uses_other_request: bool) -> None:
        self.world = world
        self.key = key
        self.uses_other_request = uses_other_request  # it uses the key for another request
        self.machine = machine
        self.incarnation = machine.incarnation
        self.tries = tries  # left after this one
        self.attempt_id = b"t%d" % world.next_number()
        self.number = 0
        self.is_open = True

    def send_answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Receive an answer."""
        if self.is_open:  # else it has disconnected, which the gateway has not noticed yet
            self.is_open = False
            self.world.client_answered(self, status, dict(headers), body)

    def begin(self, answer: Answer, length: int | None, source: object) -> None:
        """Receive the head and the first part of a streamed answer."""
        self.streamed_body = answer.body

    def write_body(self, data: bytes) -> None:
        """Receive more of a streamed answer."""
        self.streamed_body += data

    def finish(self) -> None:
        """Receive the end of a streamed answer."""
        self.send_answer(200, [(b"x-attempt-id", self.attempt_id)], self.streamed_body)

    def abort(self) -> None:
        """Receive the abort of a streamed answer."""
        self.is_open = False
        self.world.retry(self)


class World(EventSimulation):
    """All processes, and the links, servers and clients around them."""

    def __init__(self, seed: int, voters: int, gateways: int, survive: int, disk_mb: float, types: Any) -> None:
        super().__init__(seed)
        self.survive = survive
        self.disk_mb = disk_mb
        self.frozen: dict[str, float] = {}  # until when, by address
        self.postponed: dict[str, list[tuple[Any, ...]]] = {}  # calls due while frozen, in order
        self.cut: set[tuple[str, str]] = set()  # one way: from, to
        self.slot_known: dict[str, int] = {}
        self.voters_at: dict[int, dict[str, str]] = {}
        self.keys: dict[bytes, KeyObservations] = {}
        self.client_by_attempt: dict[bytes, Client] = {}
        self.clients: dict[GatewayMachine, list[Client]] = {}
        self._last_number = 0
        addrs = [f"c{number}" for number in range(voters)]
        self.voters_at[1] = {addr: f"{addr}#1" for addr in addrs}
        spares = [f"spare{number}" for number in range(SPARES)]  # these vote once they replace another one
        self.controllers = {addr: types.controller(self, addr, addr in addrs) for addr in (*addrs, *spares)}
        for controller in self.controllers.values():
            self.slot_known[controller.addr] = 1
            controller.start()
        self.gateways = [types.gateway(self, f"g{number}") for number in range(gateways)]
        for machine in self.gateways:
            machine.start()

    def next_number(self) -> int:
        """Return a unique number."""
        self._last_number += 1
        return self._last_number

    @staticmethod
    def routes(service: Any) -> Iterable[tuple[type, Callable[..., None]]]:
        """Message types of controllers and the handlers of the service, as in the daemon."""
        return (
            (messages.RecordClaim, service.on_record_claim),
            (messages.RecordEnd, service.on_record_end),
            (messages.RecordWithdrawal, service.on_record_withdrawal),
            (messages.ClaimVote, service.on_vote),
            (messages.RecordAck, service.on_ack),
            (messages.LearnOperations, service.on_learn),
            (messages.OperationsLearned, service.on_learned),
        )

    # Freezes

    def is_frozen(self, addr: str) -> bool:
        """Whether the processes at an address are frozen."""
        return self.frozen.get(addr, 0.0) > self.now

    def freeze(self, addr: str, span: float) -> None:
        """Freeze the processes at an address for `span` seconds."""
        self.frozen[addr] = self.now + span
        self.after(span, self.thaw, addr)

    def thaw(self, addr: str) -> None:
        """Run the calls that became due while the processes were frozen."""
        if not self.is_frozen(addr):
            for call, *args in self.postponed.pop(addr, []):
                self.after(0.0, call, *args)

    # Links

    def is_open(self, sender: str, receiver: str) -> bool:
        """Whether messages pass in this direction."""
        return (sender, receiver) not in self.cut

    def send(self, sender: str, addr: str, message: object) -> None:
        """Send a message between controllers."""
        controller = self.controllers[addr]
        if self.is_open(sender, addr):
            self.transmit(self._deliver, sender, controller, controller.process, message)

    def _deliver(self, sender: str, controller: Controller, process: Any, message: object) -> None:
        if process is not None and process is controller.process:
            process.call_soon(controller.receive, sender, message)

    def call_controller(self, machine: GatewayMachine, message: object) -> None:
        """Send a message of a gateway to its controller: in order, and at most once."""
        controller = self.controllers[machine.controller]
        process, session = controller.process, machine.session
        if process is None or not self.is_open(machine.name, controller.addr):
            return

        def deliver() -> None:
            if process is controller.process and self.rng.random() >= self.loss_rate:
                process.call_soon(controller.receive_call, machine.name, message)

        self.after(0.001 if session else 0.0, deliver)

    def answer_gateway(self, addr: str, name: str, message: object) -> None:
        """Send a message of a controller to a gateway that has a session with it."""
        machine = next(each for each in self.gateways if each.name == name)
        process, session = machine.process, machine.session
        if process is None or machine.controller != addr or not self.is_open(addr, name):
            return

        def deliver() -> None:
            if process is machine.process and session == machine.session and self.rng.random() >= self.loss_rate:
                process.call_soon(machine.receive, message)

        self.after(0.001, deliver)

    # Servers

    def connect_to_server(self, machine: GatewayMachine, exchange: Any, ident: str) -> None:
        """Open a connection for an exchange, which may fail."""
        process = machine.process
        delay = self.rng.choice((0.0, 0.0, 0.002, 0.05))
        process.call_later(delay, self._connected, machine, exchange, ident)

    def _connected(self, machine: GatewayMachine, exchange: Any, ident: str) -> None:
        if exchange.ended:
            return
        if self.rng.random() < 0.03 or self.now >= exchange.send_until:
            exchange.end(Status.CONNECT_FAILED)
            return
        exchange.connection = SimpleNamespace(may_have_run=True, give_up=lambda: None)
        exchange.render()
        self.after(0.001, self._arrived, machine, machine.process, exchange, exchange.expected_id, self.now)

    def _arrived(self, machine: GatewayMachine, process: Any, exchange: Any, attempt_id: bytes, sent_at: float) -> None:
        if self.rng.random() < 0.08:
            self.after(0.001, self._send_outcome, process, exchange, Status.FULL, None)
            return
        client = self.client_by_attempt[attempt_id]
        key = client.key
        self.keys[key].ran_other_request |= client.uses_other_request
        self._observe_run(key, Run(attempt_id, sent_at, self.now))
        body = b"%b/%d" % (key, len(self.keys[key].runs))
        work_s = self.rng.choice((0.01, 0.05, 0.2, 0.6, 3.0 if self.rng.random() < 0.1 else 0.1))
        outcome_draw = self.rng.random()
        headers = [(b"x-attempt-id", attempt_id), (b"x-server-seal", b"s-" + body), (b"content-length", b"1")]
        if outcome_draw < 0.04:
            self.after(work_s, self._send_outcome, process, exchange, Status.RESET, None)
        elif outcome_draw < 0.08:
            self.after(work_s, self._send_large_answer, process, exchange, body)
        elif outcome_draw < 0.10:
            self.after(work_s, self._send_outcome, process, exchange, Status.ERROR, Answer(500, headers, b"failed"))
        elif outcome_draw < 0.98:
            self.after(work_s, self._send_outcome, process, exchange, Status.OK, Answer(200, headers, body))

    def _send_outcome(self, process: Any, exchange: Any, status: Status, answer: Answer | None) -> None:
        if process is not None:
            process.call_soon(exchange.end, status, answer)

    def _send_large_answer(self, process: Any, exchange: Any, body: bytes) -> None:
        def respond() -> None:
            if not exchange.ended:
                exchange.receiver.begin(Answer(200, [], body), None, SimpleNamespace(set_reading=lambda on: None))
                exchange.end(Status.OK)

        if process is not None:
            process.call_soon(respond)

    # Clients

    @property
    def voters(self) -> dict[str, str]:
        """Ids of the current voters, by address."""
        return self.voters_at[max(self.voters_at)]

    def submit(
        self, key: bytes, tries: int = 3, uses_other_request: bool = False, machine: GatewayMachine | None = None
    ) -> None:
        """A client sends an operation to a gateway; `uses_other_request`: a different request with the same key."""
        up = [each for each in self.gateways if each.process is not None]
        if not up:
            return
        machine = machine or self.rng.choice(up)
        client = Client(self, key, machine, tries, uses_other_request)
        self.keys.setdefault(key, KeyObservations())
        self.client_by_attempt[client.attempt_id] = client
        self.clients.setdefault(machine, []).append(client)
        machine.process.call_soon(self._admit, client, machine)

    def _admit(self, client: Client, machine: GatewayMachine) -> None:
        route = machine.gateway.table.routes["orders"]
        operation = Operation(operation_digest("", client.key), b"other" if client.uses_other_request else client.key)
        asked = ParsedRequest(client.attempt_id, route, "", TIME_LEFT_S, b"POST / HTTP/1.1\r\n", b"", None, operation)
        client.number = machine.gateway.admit(client, asked)
        timeout_s = self.rng.uniform(0.0, 0.3) if self.rng.random() < 0.06 else CLIENT_TIMEOUT_S
        self.after(timeout_s, self._disconnect, client, machine, machine.process)

    def _disconnect(self, client: Client, machine: GatewayMachine, process: Any) -> None:
        if client.is_open:
            client.is_open = False
            process.call_soon(machine.gateway.client_gone, client.number)
            self.retry(client)

    def retry(self, client: Client) -> None:
        """Retry with the same key, at any gateway."""
        if client.tries > 0 and not client.uses_other_request:
            self.after(self.rng.uniform(0.02, 0.5), self.submit, client.key, client.tries - 1)

    def gateway_ended(self, machine: GatewayMachine) -> None:
        """Close the connections of a gateway's clients."""
        for client in self.clients.pop(machine, []):
            if client.is_open:
                client.is_open = False
                self.retry(client)

    def client_answered(self, client: Client, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        """Record and check an answer to a client."""
        observed = self.keys[client.key]
        observed.statuses.append(status)
        self.outcomes[str(status)] += 1
        if status == 200:
            if client.uses_other_request and client.attempt_id not in {run.attempt_id for run in observed.runs}:
                raise Violation(f"{client.key!r}: a different request with this key received its answer")
            if headers.get(b"x-attempt-id") != client.attempt_id:
                raise Violation(f"{client.key!r}: an answer has the id of another attempt")
            observed.bodies.add(body)
            if len(observed.bodies) > 1 and not self._is_long_after(observed):
                raise Violation(f"{client.key!r}: bodies of two successes differ, {sorted(observed.bodies)}")
            if self.rng.random() < 0.15:
                self.after(self.rng.uniform(0.0, 3.0), self.submit, client.key, 0)
            return
        if status in NOT_RUN_STATUSES:
            if any(run.attempt_id == client.attempt_id for run in observed.runs):
                raise Violation(f"{client.key!r}: {status} for an attempt that has run")
            observed.promised_not_run.add(client.attempt_id)
        self.retry(client)

    @staticmethod
    def _is_long_after(observed: KeyObservations) -> bool:
        return len(observed.runs) > 1 and observed.runs[-1].began_at - observed.runs[0].sent_at >= KEY_WINDOW_S

    def observe_settled(self, machine: GatewayMachine, number: int) -> None:
        """Record that a gateway learned that a majority stores the end of a claim."""
        unsettled = machine.keyed_requests.claims._unsettled.get(number)
        message = unsettled.message if unsettled is not None else None
        if isinstance(message, messages.OperationEnd) and message.answer is not None:
            key = message.answer.body.rpartition(b"/")[0]
            if key in self.keys:
                self.keys[key].replicated_at = self.now

    def _observe_run(self, key: bytes, run: Run) -> None:
        observed = self.keys[key]
        if run.attempt_id in observed.promised_not_run:
            raise Violation(f"{key!r}: an attempt runs that was answered as not run")
        for other in observed.runs:
            if run.began_at < other.sent_at + KEY_WINDOW_S:
                raise Violation(
                    f"{key!r} runs twice, {run.began_at - other.sent_at:.3f} s after an earlier run was sent"
                )
        observed.runs.append(run)
        self.outcomes["runs"] += 1
