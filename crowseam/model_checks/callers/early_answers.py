"""Schedules of the model check of callers in which servers answer before they have read the whole request.

A server may run a request of which it has read only a part. It answers, breaks off, or falls silent, and may read the
rest of the body later. Clients send large bodies slowly; some stop within the body, or leave.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from crowseam.model_checks.callers.gateway_schedules import GatewaySchedule
from crowseam.model_checks.callers.scripted_client import ClientConnection, build_request
from crowseam.model_checks.callers.scripted_controller import ScriptedController
from crowseam.model_checks.callers.scripted_server import ServerConnection
from crowseam.model_checks.callers.scripted_world import (
    GARBAGE,
    LARGE_BODY_BYTES,
    LONG_TIMEOUT_MS,
    UNSAFE_KINDS,
    ScriptedWorld,
)
from crowseam.operations.messages import (
    ClaimDecision,
    ClaimOutcome,
    OperationClaim,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
)
from crowseam.transport.links import Link
from crowseam.transport.messages import Message

REQUESTS = 12  # of one schedule
CLIENTS = 3
KINDS = ("safe", *UNSAFE_KINDS, "idem")
MAX_ATTEMPTS = 3  # of a keyed operation
PAUSE_S = 0.02  # between two pieces of a body
RETRY_PAUSE_S = 0.1
SCHEDULE_S = 40.0


class Ending(Enum):
    """How a server's early answer ends."""

    SUCCESS = "success"
    ERROR = "error"
    NOT_RUN = "not_run"  # the server states that it did not run the request
    RESET = "reset"  # the connection is reset within the answer
    CLOSE = "close"
    GARBAGE = "garbage"
    SILENCE = "silence"


class EarlyAnswer(msgspec.Struct):
    """How a server handles a request."""

    ending: Ending = Ending.SUCCESS
    read_bytes: int = LARGE_BODY_BYTES  # of the body, after which it runs
    work_s: float = 0.0
    size: int = 0  # minimum size of the answer's body in bytes
    pieces: int = 1  # writes of the answer
    cut: int = 0  # byte of the answer at which it breaks off
    reads_on: bool = True  # whether it reads on meanwhile; else only after its answer
    chunked: bool = False


class EarlyServerConnection(ServerConnection):
    """A server that runs a request once it has read a part of the body."""

    early_answers: Callable[[str, str], EarlyAnswer]  # by server and attempt

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self.body_bytes, self.has_run = 0, False

    def on_headers_complete(self) -> None:
        """Read the name of the attempt."""
        self.attempt = self.fields.get(b"x-attempt-id", b"").decode()

    def on_body(self, body: bytes) -> None:
        """Read a part of the body."""
        offset = self.body_bytes % len(self.attempt)
        repeats = len(body) // len(self.attempt) + 2
        if (self.attempt.encode() * repeats)[offset : offset + len(body)] != body:
            self.world.report_fault(f"{self.attempt} was received with the body of another request")
        self.body_bytes += len(body)
        if self.body_bytes >= self.early_answers(self.name, self.attempt).read_bytes:
            self._run()

    def on_message_complete(self) -> None:
        """The whole request has been read."""
        self._run()
        self.transport.resume_reading()

    def _run(self) -> None:
        if self.has_run or self.ignores_input:
            return
        self.has_run = True
        early = self.early_answers(self.name, self.attempt)
        has_run = early.ending is not Ending.NOT_RUN
        self.world.server_receipts.setdefault(self.attempt, []).append((self.name, has_run))
        if has_run and (key := self.fields.get(b"x-op-key")) is not None:
            self.world.operation_runs.setdefault(key.decode(), []).append(self.attempt)
        if not early.reads_on:
            self.transport.pause_reading()
        self.world.later(early.work_s, self._write_answer, self.attempt, early)

    def _write_answer(self, attempt: str, early: EarlyAnswer) -> None:
        status = {Ending.ERROR: 500, Ending.NOT_RUN: 503}.get(early.ending, 200)
        is_run = early.ending is not Ending.NOT_RUN
        data = self.answer(attempt, attempt, status, is_run, early.chunked, early.size)
        if early.ending in (Ending.SUCCESS, Ending.ERROR, Ending.NOT_RUN):
            size = -(-len(data) // early.pieces)
            for number in range(early.pieces):
                self.world.later(0.003 * number, self.write, data[number * size : (number + 1) * size])
            self.world.later(0.003 * early.pieces, self.transport.resume_reading)
            return
        self.write(data[: early.cut])
        if early.ending is Ending.GARBAGE:
            self.world.corrupted.add(attempt)
            self.write(GARBAGE)
        elif early.ending is not Ending.SILENCE:
            self.world.later(0.003, self.close, early.ending is Ending.RESET)


class GrantingController(ScriptedController):
    """A controller that also decides on claims of keyed operations, as if it were the only voter."""

    def __init__(self, world: ScriptedWorld) -> None:
        super().__init__(world)
        self.operations: dict[bytes, OperationClaim | OperationEnd] = {}  # by digest of the key

    def _on_message(self, link: Link, message: Message) -> None:
        match message:
            case OperationClaim():
                link.send(self._decide(message))
            case OperationEnd():
                self.operations[message.claim.key] = message
                link.send(OperationSettled(message.claim.name.number))
            case OperationWithdrawal():
                recorded = self.operations.get(message.key)
                if isinstance(recorded, OperationClaim) and recorded.name == message.name:
                    del self.operations[message.key]
                link.send(OperationSettled(message.name.number))
            case _:
                super()._on_message(link, message)

    def _decide(self, claim: OperationClaim) -> ClaimDecision:
        number, recorded = claim.name.number, self.operations.setdefault(claim.key, claim)
        if recorded is claim:
            return ClaimDecision(number, ClaimOutcome.GRANTED)
        if isinstance(recorded, OperationClaim):
            return ClaimDecision(number, ClaimOutcome.AT_WORK, 1.0)
        if recorded.answer is None:
            return ClaimDecision(number, ClaimOutcome.UNKNOWN)
        return ClaimDecision(number, ClaimOutcome.ANSWERED, answer=recorded.answer)


class Upload(msgspec.Struct):
    """A request with a large body, and how its client sends it."""

    kind: str
    key: str = ""  # of a keyed operation
    size: int = 3 * LARGE_BODY_BYTES
    framing: str = "length"
    pieces: int = 12
    stops_after: int = 0  # pieces after which the client sends no more; 0: it sends all
    leaves: bool = False  # whether it leaves then
    attempts_left: int = 0


class EarlySchedule(GatewaySchedule):
    """Clients with slow uploads, one request a connection, and servers that answer early."""

    controller_type = GrantingController

    def __init__(self, seed: int) -> None:
        super().__init__(seed, 0)
        self.early_rng = self.world.random("early answers")
        self.early_answers: dict[tuple[str, str], EarlyAnswer] = {}
        self.operation_count = 0
        self.server_type = type(
            "ServerConnectionOfSchedule",
            (EarlyServerConnection,),
            {"early_answers": staticmethod(self.early_answer)},
        )

    def early_answer(self, server: str, attempt: str) -> EarlyAnswer:
        """How a server handles an attempt: drawn once, as it may be asked again."""
        if (server, attempt) not in self.early_answers:
            self.early_answers[server, attempt] = self._draw_early_answer()
        return self.early_answers[server, attempt]

    def _draw_early_answer(self) -> EarlyAnswer:
        rng = self.early_rng
        return EarlyAnswer(
            rng.choice((Ending.SUCCESS, Ending.SUCCESS, *Ending)),
            rng.choice((1, LARGE_BODY_BYTES, 2 * LARGE_BODY_BYTES, 100 * LARGE_BODY_BYTES)),
            rng.choice((0.0, 0.0, 0.05, 0.3, 3.0)),
            rng.choice((0, 300, LARGE_BODY_BYTES, 3 * LARGE_BODY_BYTES)),
            rng.choice((1, 4, 10)),
            rng.choice((0, 20, 90, 200, LARGE_BODY_BYTES)),
            rng.random() < 0.6,
            rng.random() < 0.3,
        )

    def _run_actions(self) -> None:
        for _ in range(CLIENTS):
            self.world.later(self.early_rng.uniform(0.0, 0.1), self._send_next, REQUESTS // CLIENTS)
        self.world.run(self.world.now + SCHEDULE_S)

    def _draw_upload(self) -> Upload:
        rng = self.early_rng
        kind = rng.choice(KINDS)
        upload = Upload(
            kind,
            size=rng.choice((300, LARGE_BODY_BYTES, 3 * LARGE_BODY_BYTES)),
            framing=rng.choice(("length", "chunked")),
            pieces=rng.choice((4, 12, 30)),
        )
        if kind == "idem":
            self.operation_count += 1
            upload.key, upload.attempts_left = f"k-{self.operation_count}", MAX_ATTEMPTS - 1
        if rng.random() < 0.3:
            upload.stops_after, upload.leaves = rng.randrange(1, upload.pieces), rng.random() < 0.5
        return upload

    def _send_next(self, remaining: int) -> None:
        if remaining > 0:
            self.send_upload(self._draw_upload(), lambda: self._send_next(remaining - 1))

    def send_upload(self, upload: Upload, done: Callable[[], None] = lambda: None) -> str:
        """Send a request on a new connection, and a keyed one again after a failure; return the attempt's id."""
        attempt = self.world.new_attempt_id(upload.kind)
        self.connect(lambda connection: self._send_attempt(connection, attempt, upload, done))
        return attempt

    def _send_attempt(
        self, connection: ClientConnection, attempt: str, upload: Upload, done: Callable[[], None]
    ) -> None:
        head, body = build_request(
            attempt, LONG_TIMEOUT_MS / 1000, upload.framing, upload.size, key=upload.key, has_body=True
        )
        connection.outstanding.append(attempt)
        data = head + body
        size = -(-len(data) // upload.pieces)
        sent = upload.stops_after or upload.pieces
        for number in range(sent):
            part = data[number * size : (number + 1) * size]
            self.world.later(PAUSE_S * number, connection.write, part)
        if upload.leaves:
            self.world.later(PAUSE_S * sent, connection.disconnect)
            self.world.later(PAUSE_S * sent, self._on_end, attempt, upload, done)
            return

        def on_answer(keep: bool) -> None:
            connection.on_answer = lambda keep: None
            self.world.later(0.0, connection.disconnect)
            self.world.later(RETRY_PAUSE_S, self._on_end, attempt, upload, done)

        connection.on_answer = on_answer

    def _on_end(self, attempt: str, upload: Upload, done: Callable[[], None]) -> None:
        statuses = self.world.client_statuses.get(attempt, [])
        if upload.attempts_left and not any(status == 200 for status in statuses):
            again = msgspec.structs.replace(upload, stops_after=0, leaves=False, attempts_left=upload.attempts_left - 1)
            self.send_upload(again, done)
            return
        done()
