"""The state of a client's request in flight, and the receivers of its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from crowseam.gateway.load_balancer import Respond
from crowseam.gateway.request_reader import ParsedRequest
from crowseam.operations.claims import GrantedClaim
from crowseam.operations.messages import ClaimOutcome
from fennelpoint.net.backends import Answer, Exchange, UpstreamConnection


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A client's request, until it is answered and none of its exchanges is in flight."""

    id: int
    parsed: ParsedRequest
    client: object | None
    deadline: float
    timer: asyncio.TimerHandle | None = None
    exchanges: dict[int, Exchange] = field(default_factory=dict)
    streamed_answer: StreamedAnswer | None = None
    is_awaiting_reserve: bool = False  # a draw from the quota reserve is pending
    svc: str = ""  # service of the chosen server, if any
    claim_outcome: ClaimOutcome | None = None  # if its operation was not granted
    claim: GrantedClaim | None = None  # of its operation, on routes with keyed operations
    pending_response: Respond | None = None  # held back until the end of its operation is stored


@dataclass(slots=True, eq=False)
class StreamedAnswer:
    """Streams a large answer to the client; its first bytes make this attempt the one that is answered."""

    request: InFlightRequest
    attempt: int

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """The answer's head has come, with the buffered part of its body."""
        request = self.request
        if request.client is None or request.streamed_answer is not None:
            return  # another attempt was faster; this answer is dropped
        request.streamed_answer = self
        request.client.begin(answer, length, source)

    def write_body(self, data: bytes) -> None:
        """Another part of its body has come."""
        if self.request.client is not None and self.request.streamed_answer is self:
            self.request.client.write_body(data)


class DisconnectedClient:
    """Stands in for a client that has disconnected while its request goes on; ignores the answer."""

    def send_answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Ignore the answer."""

    def begin(self, answer: Answer, length: int | None, source: UpstreamConnection) -> None:
        """Ignore the answer's beginning."""

    def write_body(self, data: bytes) -> None:
        """Ignore a part of the body."""

    def finish(self) -> None:
        """Ignore the answer's end."""

    def abort(self) -> None:
        """Ignore that the answer broke off."""
