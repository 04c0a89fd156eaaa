"""State that a new voter must learn before it counts as a voter.

Whatever was acknowledged is known to a majority of the voters, one of which may be the voter that the new one
replaces. The new voter therefore requests from the voters everything that they have confirmed: leaving servers,
operators' retirements and the fencing tokens of roles. Once a majority of them has answered, it has all of that, and
only then does it ask to join.

It may have missed what was acknowledged between those answers and the change of voters. So after it has joined, it
requests the state again, and grants no role until a majority of the previous voters has answered. A voter answers
only once it knows of that change itself, and from then on confirms nothing to senders that do not know of it.
Everything that was acknowledged by the previous voters is therefore in its answer, and everything else is
acknowledged by the new voters.

A voter that restarts with its disk has nothing to learn, because everything that it confirmed is on disk; nor has a
founding member. A note on the disk tells whether a voter ended before it had caught up.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.majority_catch_up import MajorityCatchUp

RETRANSMIT_INTERVAL_S = 0.2
# A new voter that no majority has answered counts as a voter after this time, because voters may be lost for good. By
# then it no longer counts as lost (`sync_time`), and has compared registries with all reachable controllers.
MAX_WAIT_S = 4.0


class StateTransferRequest(msgspec.Struct, frozen=True, array_like=True, tag="handover.learn"):
    """Asks a voter for what it has confirmed.

    `log_slot` is the newest log slot that the sender knows, `voters_slot` a slot after which the voters have not
    changed.
    """

    number: int
    log_slot: int
    voters_slot: int


class StateTransferReply(msgspec.Struct, frozen=True, array_like=True, tag="handover.learned"):
    """The answer: the voter's id, leaving servers, and the highest fencing token seen of each role."""

    number: int
    voter_id: str
    records: list[ServerRecord]
    fencing_tokens: dict[str, int]


class OutgoingTransferRequest(NamedTuple):
    """A request, and its destination address."""

    addr: str
    request: StateTransferRequest


class VoterCatchUp(MajorityCatchUp):
    """Learns leaving servers and fencing tokens before this controller asks to join, and again after it has joined."""

    def __init__(self, me: str, was_caught_up: bool) -> None:
        super().__init__(me, was_caught_up, RETRANSMIT_INTERVAL_S, MAX_WAIT_S)

    def tick(self, now: float, log_slot: int, voters_slot: int) -> list[OutgoingTransferRequest]:
        """Return the requests that are due; to be called several times a second."""
        request = StateTransferRequest(self._number, log_slot, voters_slot)
        return [OutgoingTransferRequest(addr, request) for addr in self._due_sources(now)]

    def answer(
        self,
        request: StateTransferRequest,
        registry: ServiceRegistry,
        fencing_tokens: dict[str, int],
        log_slot: int,
        voters_slot: int,
        now: float,
    ) -> StateTransferReply | None:
        """Answer a request as a voter, or as one that has just left.

        `log_slot` and `voters_slot` are our own. Returns None if this voter has to catch up itself, or if one of the
        two does not know of the change of voters that the other one knows.
        """
        if not self.is_caught_up or request.log_slot < voters_slot or log_slot < request.voters_slot:
            return None
        records = [record for record in registry.records(now) if record.must_be_remembered]
        return StateTransferReply(request.number, self.me, records, fencing_tokens)

    def apply_reply(self, reply: StateTransferReply) -> bool:
        """Count an answer; returns whether a majority has answered, so that its content must be saved.

        The caller reports with `reply_saved` that this is done.
        """
        return self._is_expected(reply.number, reply.voter_id) and self._record_answer(reply.voter_id)
