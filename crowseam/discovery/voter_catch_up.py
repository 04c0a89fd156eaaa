"""What a new voter has to learn before it counts.

What was acknowledged is known to a majority of the voters, of whom one may be the voter that the new one replaces. So
it asks the voters for all that they have confirmed to others: servers that leave, operators' retirements and the
fencing tokens of roles. Once a majority of them has answered it has it all, and only then does it ask to join.

What is acknowledged between that and the change of voters it may have missed again. So it asks once more when it has
joined, and grants no role until a majority of the voters before has answered. A voter answers no sooner than it knows
of that change itself, and confirms nothing to those who do not know of it from then on: whatever counted by the
voters before is in its answer, and the rest counts by the new ones.

A voter that starts again with its disk has nothing to learn, as it had all that it confirmed on disk; nor has a
founder. One that ended before it had learned is told apart by a note on its disk.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.majority_catch_up import MajorityCatchUp

RETRANSMIT_INTERVAL_S = 0.2
# After which a new voter that no majority has answered counts all the same, as voters may be lost for good: from then
# on it is no longer counted as lost (`sync_time`), and has compared registries with all in touch.
MAX_WAIT_S = 4.0


class StateTransferRequest(msgspec.Struct, frozen=True, array_like=True, tag="handover.learn"):
    """Asks a voter for what it has confirmed.

    `log_slot` is the newest slot of the log that the sender knows, `voters_slot` one after which the voters have
    not changed.
    """

    number: int
    log_slot: int
    voters_slot: int


class StateTransferReply(msgspec.Struct, frozen=True, array_like=True, tag="handover.learned"):
    """The answer: the voter's id, servers that leave, and the highest fencing token seen of each role."""

    number: int
    voter_id: str
    records: list[ServerRecord]
    fencing_tokens: dict[str, int]


class OutgoingTransferRequest(NamedTuple):
    """A request, and the address that it goes to."""

    addr: str
    request: StateTransferRequest


class VoterCatchUp(MajorityCatchUp):
    """Learns servers that leave and fencing tokens, before it asks to join and once more when it has joined."""

    def __init__(self, me: str, has_counted: bool) -> None:
        super().__init__(me, has_counted, RETRANSMIT_INTERVAL_S, MAX_WAIT_S)

    def tick(self, now: float, log_slot: int, voters_slot: int) -> list[OutgoingTransferRequest]:
        """Return the requests that are due; to be called some times a second."""
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
        """Carry out a voter's part, also of one that has just left.

        `log_slot` and `voters_slot` are ours. None where it has to learn itself, or where one of both does not
        know of the change of voters that the other one knows.
        """
        if not self.counts or request.log_slot < voters_slot or log_slot < request.voters_slot:
            return None
        records = [record for record in registry.records(now) if record.must_be_remembered]
        return StateTransferReply(request.number, self.me, records, fencing_tokens)

    def apply_reply(self, reply: StateTransferReply) -> bool:
        """Count an answer; whether a majority has answered: then its content is to be saved, see `reply_saved`."""
        return self._is_expected(reply.number, reply.voter_id) and self._count(reply.voter_id)
