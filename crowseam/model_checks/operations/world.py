"""Links, servers, clients and the observer of the check of keyed operations."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from crowseam.gateway.keyed_requests import Operation
from crowseam.gateway.request_reader import ParsedRequest
from crowseam.model_checks.operations.machines import KEY_WINDOW_S, Controller, GatewayMachine
from crowseam.model_checks.schedules import Course, Violation
from crowseam.operations import messages
from crowseam.operations.identity import operation_digest
from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer

TIME_LEFT_S = 2.0
GIVE_UP_S = 2.3  # after which a client leaves that has no answer
SPARES = 2
PROMISES = (429, 503, 408, 421)  # it has not run and never will


class Run:
    """One run of an operation at a server."""

    def __init__(self, txn: bytes, sent_at: float, began_at: float) -> None:
        self.txn = txn
        self.sent_at = sent_at
        self.began_at = began_at


class Operations:
    """What was seen of one key."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.bodies: set[bytes] = set()  # of all successes
        self.ran_as_other = False  # the other request with this key was the first
        self.kept_at: float | None = None  # when a majority was known to have its answer
        self.promised: set[bytes] = set()  # tries that were told that they have not run
        self.statuses: list[int] = []


class Client:
    """One try of a client; it comes again after a failure, as clients of keyed operations do."""

    def __init__(self, world: World, key: bytes, machine: GatewayMachine, tries: int, is_other: bool) -> None:
        self.world = world
        self.key = key
        self.is_other = is_other  # it uses the key for another request
        self.machine = machine
        self.life = machine.life
        self.tries = tries  # left after this one
        self.txn = b"t%d" % world.next_number()
        self.number = 0
        self.is_open = True

    def send_answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """An answer has come, as a server or the gateway gave it."""
        if self.is_open:  # else it has left, and the gateway does not know yet
            self.is_open = False
            self.world.client_answered(self, status, dict(headers), body)

    def begin(self, answer: Answer, length: int | None, source: object) -> None:
        """A large answer begins."""
        self.large = answer.body

    def write_body(self, data: bytes) -> None:
        """More of it has come."""
        self.large += data

    def finish(self) -> None:
        """A large answer is whole."""
        self.send_answer(200, [(b"x-attempt-id", self.txn)], self.large)

    def abort(self) -> None:
        """A large answer has ended too soon."""
        self.is_open = False
        self.world.come_again(self)


class World(Course):
    """All processes, and what is between them."""

    def __init__(self, seed: int, voters: int, gateways: int, survive: int, disk_mb: float, types: Any) -> None:
        super().__init__(seed)
        self.survive = survive
        self.disk_mb = disk_mb
        self.frozen: dict[str, float] = {}  # until when, by address
        self.postponed: dict[str, list[tuple[Any, ...]]] = {}  # calls that came due meanwhile, in their order
        self.cut: set[tuple[str, str]] = set()  # one way: from, to
        self.slot_known: dict[str, int] = {}
        self.voters_at: dict[int, dict[str, str]] = {}
        self.keys: dict[bytes, Operations] = {}
        self.client_by_txn: dict[bytes, Client] = {}
        self.clients: dict[GatewayMachine, list[Client]] = {}
        self._last_number = 0
        addrs = [f"c{number}" for number in range(voters)]
        self.voters_at[1] = {addr: f"{addr}#1" for addr in addrs}
        spares = [f"spare{number}" for number in range(SPARES)]  # they vote once they take another one's place
        self.controllers = {addr: types.controller(self, addr, addr in addrs) for addr in (*addrs, *spares)}
        for controller in self.controllers.values():
            self.slot_known[controller.addr] = 1
            controller.start()
        self.gateways = [types.gateway(self, f"g{number}") for number in range(gateways)]
        for machine in self.gateways:
            machine.start()

    def next_number(self) -> int:
        """A number that was not given out before."""
        self._last_number += 1
        return self._last_number

    @staticmethod
    def routes(service: Any) -> Iterable[tuple[type, Callable[..., None]]]:
        """Which part of the service gets which message of a controller, as in the daemon."""
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
        """Whether the processes at an address stand still."""
        return self.frozen.get(addr, 0.0) > self.now

    def freeze(self, addr: str, span: float) -> None:
        """The processes at an address stand still for so long."""
        self.frozen[addr] = self.now + span
        self.after(span, self.thaw, addr)

    def thaw(self, addr: str) -> None:
        """They go on with what has come due meanwhile."""
        if not self.is_frozen(addr):
            for call, *args in self.postponed.pop(addr, []):
                self.after(0.0, call, *args)

    # Links

    def is_open(self, sender: str, receiver: str) -> bool:
        """Whether messages go this way."""
        return (sender, receiver) not in self.cut

    def send(self, sender: str, addr: str, message: object) -> None:
        """A message between controllers."""
        controller = self.controllers[addr]
        if self.is_open(sender, addr):
            self.carry(self._deliver, sender, controller, controller.process, message)

    def _deliver(self, sender: str, controller: Controller, process: Any, message: object) -> None:
        if process is not None and process is controller.process:
            process.call_soon(controller.receive, sender, message)

    def call_controller(self, machine: GatewayMachine, message: object) -> None:
        """A message of a gateway to its controller: in order, and never twice."""
        controller = self.controllers[machine.controller]
        process, session = controller.process, machine.session
        if process is None or not self.is_open(machine.name, controller.addr):
            return

        def deliver() -> None:
            if process is controller.process and self.rng.random() >= self.loss:
                process.call_soon(controller.receive_call, machine.name, message)

        self.after(0.001 if session else 0.0, deliver)

    def answer_gateway(self, addr: str, name: str, message: object) -> None:
        """A message of a controller to a gateway that has a session with it."""
        machine = next(each for each in self.gateways if each.name == name)
        process, session = machine.process, machine.session
        if process is None or machine.controller != addr or not self.is_open(addr, name):
            return

        def deliver() -> None:
            if process is machine.process and session == machine.session and self.rng.random() >= self.loss:
                process.call_soon(machine.receive, message)

        self.after(0.001, deliver)

    # Servers

    def connect_to_server(self, machine: GatewayMachine, exchange: Any, ident: str) -> None:
        """An exchange begins: a connection comes up, or does not."""
        process = machine.process
        delay = self.rng.choice((0.0, 0.0, 0.002, 0.05))
        process.call_later(delay, self._connected, machine, exchange, ident)

    def _connected(self, machine: GatewayMachine, exchange: Any, ident: str) -> None:
        if exchange.ended:
            return
        if self.rng.random() < 0.03 or self.now >= exchange.send_until:
            exchange.end(Status.CONNECT_FAILED)
            return
        exchange.connection = SimpleNamespace(written=True, give_up=lambda: None)
        exchange.render()
        self.after(0.001, self._arrived, machine, machine.process, exchange, exchange.expected_id, self.now)

    def _arrived(self, machine: GatewayMachine, process: Any, exchange: Any, txn: bytes, sent_at: float) -> None:
        if self.rng.random() < 0.08:
            self.after(0.001, self._tell, process, exchange, Status.FULL, None)
            return
        client = self.client_by_txn[txn]
        key = client.key
        self.keys[key].ran_as_other |= client.is_other
        self._observe_run(key, Run(txn, sent_at, self.now))
        body = b"%b/%d" % (key, len(self.keys[key].runs))
        work = self.rng.choice((0.01, 0.05, 0.2, 0.6, 3.0 if self.rng.random() < 0.1 else 0.1))
        fate = self.rng.random()
        headers = [(b"x-attempt-id", txn), (b"x-server-seal", b"s-" + body), (b"content-length", b"1")]
        if fate < 0.04:
            self.after(work, self._tell, process, exchange, Status.RESET, None)
        elif fate < 0.08:
            self.after(work, self._tell_large, process, exchange, body)
        elif fate < 0.10:
            self.after(work, self._tell, process, exchange, Status.ERROR, Answer(500, headers, b"failed"))
        elif fate < 0.98:
            self.after(work, self._tell, process, exchange, Status.OK, Answer(200, headers, body))

    def _tell(self, process: Any, exchange: Any, status: Status, answer: Answer | None) -> None:
        if process is not None:
            process.call_soon(exchange.end, status, answer)

    def _tell_large(self, process: Any, exchange: Any, body: bytes) -> None:
        def tell() -> None:
            if not exchange.ended:
                exchange.receiver.begin(Answer(200, [], body), None, SimpleNamespace(set_reading=lambda on: None))
                exchange.end(Status.OK)

        if process is not None:
            process.call_soon(tell)

    # Clients

    @property
    def voters(self) -> dict[str, str]:
        """The newest voters that were agreed on, ids by address."""
        return self.voters_at[max(self.voters_at)]

    def submit(self, key: bytes, tries: int = 3, is_other: bool = False, machine: GatewayMachine | None = None) -> None:
        """A client sends an operation to some gateway; `is_other`: another request, with a key that was used."""
        up = [each for each in self.gateways if each.process is not None]
        if not up:
            return
        machine = machine or self.rng.choice(up)
        client = Client(self, key, machine, tries, is_other)
        self.keys.setdefault(key, Operations())
        self.client_by_txn[client.txn] = client
        self.clients.setdefault(machine, []).append(client)
        machine.process.call_soon(self._admit, client, machine)

    def _admit(self, client: Client, machine: GatewayMachine) -> None:
        route = machine.gateway.table.routes["orders"]
        operation = Operation(operation_digest("", client.key), b"other" if client.is_other else client.key)
        asked = ParsedRequest(client.txn, route, "", TIME_LEFT_S, b"POST / HTTP/1.1\r\n", b"", None, operation)
        client.number = machine.gateway.admit(client, asked)
        patience_s = self.rng.uniform(0.0, 0.3) if self.rng.random() < 0.06 else GIVE_UP_S
        self.after(patience_s, self._leave, client, machine, machine.process)

    def _leave(self, client: Client, machine: GatewayMachine, process: Any) -> None:
        if client.is_open:
            client.is_open = False
            process.call_soon(machine.gateway.client_gone, client.number)
            self.come_again(client)

    def come_again(self, client: Client) -> None:
        """The client tries again, with the same key, wherever."""
        if client.tries > 0 and not client.is_other:
            self.after(self.rng.uniform(0.02, 0.5), self.submit, client.key, client.tries - 1)

    def gateway_ended(self, machine: GatewayMachine) -> None:
        """A gateway's clients see their connections closed."""
        for client in self.clients.pop(machine, []):
            if client.is_open:
                client.is_open = False
                self.come_again(client)

    def client_answered(self, client: Client, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        """An answer has come to a client."""
        seen = self.keys[client.key]
        seen.statuses.append(status)
        self.outcomes[str(status)] += 1
        if status == 200:
            if client.is_other and client.txn not in {run.txn for run in seen.runs}:
                raise Violation(f"{client.key!r}: another request gets its answer")
            if headers.get(b"x-attempt-id") != client.txn:
                raise Violation(f"{client.key!r}: an answer names another try")
            seen.bodies.add(body)
            if len(seen.bodies) > 1 and not self._is_long_after(seen):
                raise Violation(f"{client.key!r}: two successes differ, {sorted(seen.bodies)}")
            if self.rng.random() < 0.15:
                self.after(self.rng.uniform(0.0, 3.0), self.submit, client.key, 0)
            return
        if status in PROMISES:
            if any(run.txn == client.txn for run in seen.runs):
                raise Violation(f"{client.key!r}: {status} for a try that has run")
            seen.promised.add(client.txn)
        self.come_again(client)

    @staticmethod
    def _is_long_after(seen: Operations) -> bool:
        return len(seen.runs) > 1 and seen.runs[-1].began_at - seen.runs[0].sent_at >= KEY_WINDOW_S

    def observe_settled(self, machine: GatewayMachine, number: int) -> None:
        """A gateway hears that a majority has what it sent of a claim."""
        unsettled = machine.keyed_requests.claims._unsettled.get(number)
        message = unsettled.message if unsettled is not None else None
        if isinstance(message, messages.OperationEnd) and message.answer is not None:
            key = message.answer.body.rpartition(b"/")[0]
            if key in self.keys:
                self.keys[key].kept_at = self.now

    def _observe_run(self, key: bytes, run: Run) -> None:
        seen = self.keys[key]
        if run.txn in seen.promised:
            raise Violation(f"{key!r}: a try runs that was told that it never will")
        for other in seen.runs:
            if run.began_at < other.sent_at + KEY_WINDOW_S:
                raise Violation(f"{key!r} runs twice, {run.began_at - other.sent_at:.3f} s after the first was sent")
        seen.runs.append(run)
        self.outcomes["runs"] += 1
