"""Queue of client reads and changes that wait for a quorum."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from typing import Any

from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import CompleteRequest
from crowseam.consensus.messages import Entry
from crowseam.consensus.outcomes import OutcomeUnknown
from crowseam.consensus.replicated_log import ReplicatedLog

# Given the state machine, returns the entry to propose (always with the same proposal id) or the outcome of the
# request. The type of the state machine is known to the owner only.
ProposalBuilder = Callable[[Any], object]

_NEVER_EVALUATED = -1


class ClientRequest:
    """A pending request; without a builder it is a read.

    A request without an id is internal to the node. `is_confirmed` means that a quorum round started after the
    request arrived has succeeded, so the outcome that its builder returns is based on current state.
    `proposed_slot` is the last slot at which an entry of the request was proposed.
    """

    def __init__(self, request_id: Hashable, build: ProposalBuilder | None, sequence: int, deadline: float) -> None:
        self.request_id = request_id
        self.build = build
        self.sequence = sequence
        self.deadline = deadline
        self.is_confirmed = False
        self.evaluated_slot = _NEVER_EVALUATED
        self.result: object = None
        self.proposal_ids: set[str] = set()
        self.proposed_slot = 0

    @property
    def is_internal(self) -> bool:
        """Whether the node itself created the request, for a change of voters."""
        return self.request_id is None


class RequestQueue:
    """Pending requests of one node, in order of arrival."""

    def __init__(self, context: NodeContext, log: ReplicatedLog) -> None:
        self._context = context
        self._log = log
        self.requests: list[ClientRequest] = []
        self.last_sequence = 0

    def __iter__(self) -> Iterator[ClientRequest]:
        return iter(list(self.requests))

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request_id: Hashable, build: ProposalBuilder | None, timeout_s: float | None) -> None:
        """Add a request that expires after `timeout_s`, or by default after `Timing.request_timeout_s`."""
        self.last_sequence += 1
        timeout = self._context.timing.request_timeout_s if timeout_s is None else timeout_s
        self.requests.append(ClientRequest(request_id, build, self.last_sequence, self._context.now + timeout))

    def cancel(self, request_id: Hashable) -> None:
        """Remove a request; an entry already proposed for it may still be chosen."""
        self.requests = [request for request in self.requests if request.request_id != request_id]

    def cancel_internal(self) -> None:
        """Remove all internal requests."""
        self.requests = [request for request in self.requests if not request.is_internal]

    def has_internal(self) -> bool:
        """Whether an internal request is pending."""
        return any(request.is_internal for request in self.requests)

    def evaluate(self, request: ClientRequest) -> object:
        """Return the builder's result for the applied state; the builder is called once per slot."""
        assert request.build is not None
        if request.evaluated_slot != self._log.last_slot:
            request.evaluated_slot = self._log.last_slot
            request.result = request.build(self._log.state_machine)
            if isinstance(request.result, Entry):
                request.proposal_ids.add(request.result.proposal_id)
        return request.result

    def next_proposal(self) -> Entry | None:
        """Return the entry of the first request that proposes one."""
        for request in self.requests:
            if request.build is not None:
                result = self.evaluate(request)
                if isinstance(result, Entry):
                    return result
        return None

    def mark_proposed(self, proposal_id: str, slot: int) -> None:
        """Record the slot at which an entry was proposed, in the requests that it belongs to."""
        for request in self.requests:
            if proposal_id in request.proposal_ids:
                request.proposed_slot = slot

    def confirm_through(self, sequence: int) -> None:
        """Confirm all requests up to `sequence`, which arrived before a successful quorum round started."""
        for request in self.requests:
            if request.sequence <= sequence:
                request.is_confirmed = True

    def complete(self, request: ClientRequest, outcome: object) -> list[CompleteRequest]:
        """Remove a request and return the effect that completes it; internal requests need none."""
        self.requests.remove(request)
        return [] if request.is_internal else [CompleteRequest(request.request_id, outcome)]

    def complete_proposal(self, proposal_id: str, outcome: object) -> list[CompleteRequest]:
        """Complete the requests that the chosen entry belongs to."""
        chosen = [request for request in self.requests if proposal_id in request.proposal_ids]
        return [effect for request in chosen for effect in self.complete(request, outcome)]

    def complete_skipped(self, last_slot: int) -> list[CompleteRequest]:
        """Complete as unknown the requests whose entry may have been chosen in slots that a snapshot skipped."""
        skipped = [request for request in self.requests if 0 < request.proposed_slot <= last_slot]
        return [effect for request in skipped for effect in self.complete(request, OutcomeUnknown())]

    def expire(self) -> list[CompleteRequest]:
        """Complete the requests whose deadline has passed."""
        expired = [request for request in self.requests if request.deadline <= self._context.now]
        return [effect for request in expired for effect in self.complete(request, OutcomeUnknown())]

    def deadlines(self) -> list[float]:
        """Return the deadline of each request."""
        return [request.deadline for request in self.requests]
