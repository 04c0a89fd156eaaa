"""A client's request while it is in flight: what is under way for it, and who gets its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from crowseam.gateway.load_balancer import Give
from crowseam.gateway.request_reader import Asked
from crowseam.operations.claims import GrantedClaim
from crowseam.operations.messages import ClaimOutcome
from fennelpoint.net.backends import Answer, Exchange, UpstreamConnection


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A client's request until its answer is out and nothing of it is under way."""

    id: int
    asked: Asked
    client: object | None
    deadline: float
    timer: asyncio.TimerHandle | None = None
    out: dict[int, Exchange] = field(default_factory=dict)
    passing: StreamedAnswer | None = None
    drawing: bool = False  # the reserve has been asked for it
    svc: str = ""  # the service of its servers, once one was chosen
    claim_outcome: ClaimOutcome | None = None  # where its operation was not granted
    claim: GrantedClaim | None = None  # of its operation, on routes of keyed ones
    answering: Give | None = None  # its answer, which waits until the end of its operation is kept


@dataclass(slots=True, eq=False)
class StreamedAnswer:
    """Takes a large answer as it comes; from its first bytes on this attempt is the one that counts."""

    ticket: InFlightRequest
    number: int

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """The answer's head has come, and as much of its body as is held."""
        ticket = self.ticket
        if ticket.client is None or ticket.passing is not None:
            return  # another attempt was quicker; what comes is dropped
        ticket.passing = self
        ticket.client.begin(answer, length, source)

    def piece(self, data: bytes) -> None:
        """More of its body has come."""
        if self.ticket.client is not None and self.ticket.passing is self:
            self.ticket.client.piece(data)


class DepartedClient:
    """In place of a client that has left, where its request goes on all the same."""

    def answered(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Nobody takes the answer."""

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """Nobody takes the answer."""

    def piece(self, data: bytes) -> None:
        """Nobody takes the answer."""

    def finish(self) -> None:
        """Nobody takes the answer."""

    def broken(self) -> None:
        """Nobody takes the answer."""
