"""What a new voter learns before it votes on claims: all records of a majority of the voters before it.

A voter answers only once it knows of the change that let the newcomer in, and from then on refuses the claims of
coordinators that don't. So what was granted by the voters before is in its answer, and the rest counts by the new ones.

One that no majority can teach votes when nothing is left of what it may have missed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from crowseam.majority_catch_up import MajorityCatchUp
from crowseam.operations.messages import AgedRecord, LearnOperations, OperationsLearned
from crowseam.operations.replica import OperationReplica

RETRANSMIT_INTERVAL_S = 0.25
PART_BYTES = 64 * 1024


class OutgoingLearnRequest(NamedTuple):
    """A request, and the address that it goes to."""

    addr: str
    request: LearnOperations


class _Offer(NamedTuple):
    """The records that a newcomer is being sent, as they were when it first asked."""

    number: int
    records: list[AgedRecord]


class OperationCatchUp(MajorityCatchUp):
    """Both sides of the transfer at one controller. Times are seconds of the steady clock."""

    def __init__(self, me: str, has_counted: bool, max_wait_s: float) -> None:
        super().__init__(me, has_counted, RETRANSMIT_INTERVAL_S, max_wait_s, learns_before_joining=False)
        self._positions: dict[str, int] = {}  # from where on each voter is to be asked, by id
        self._offers: dict[str, _Offer] = {}  # by address

    def set_voters(self, voters: Mapping[str, str], now: float) -> None:
        """Take the voters as they are known here; a majority of those in force may teach as well as of those before.

        Of the voters before so many may have lost their disks while this one learns that they are no majority.
        """
        is_change = bool(voters) and voters != self._voters
        was_learning = self.is_catching_up
        super().set_voters(voters, now)
        if not is_change or not self.is_catching_up:
            return
        # Also at the change that lets it in: it may have heard of none since voters of long before.
        del self._majorities[1:]
        self._add_sources(voters)
        if was_learning:
            self._begin()

    def tick(self, now: float, log_slot: int, voters_slot: int) -> list[OutgoingLearnRequest]:
        """Return the requests that are due; to be called some times a second."""
        by_addr = {addr: voter_id for voter_id, addr in self._sources.items()}
        return [
            OutgoingLearnRequest(addr, self._request(by_addr[addr], log_slot, voters_slot))
            for addr in self._due_sources(now)
        ]

    def _request(self, voter_id: str, log_slot: int, voters_slot: int) -> LearnOperations:
        return LearnOperations(self._number, log_slot, voters_slot, self._positions.get(voter_id, 0))

    def answer(
        self,
        addr: str,
        request: LearnOperations,
        replica: OperationReplica,
        log_slot: int,
        voters_slot: int,
        now: float,
    ) -> OperationsLearned | None:
        """Carry out a voter's part.

        `log_slot` and `voters_slot` are ours. None where it has to learn itself, or where one of both does not
        know of the change of voters that the other one knows.
        """
        if not self.counts or request.log_slot < voters_slot or log_slot < request.voters_slot:
            return None
        offer = self._offers.get(addr)
        position = request.position
        if offer is None or offer.number != request.number or position == 0:
            # Positions of another offer mean nothing in this one.
            offer = self._offers[addr] = _Offer(request.number, replica.aged_records(now))
            position = 0
        records: list[AgedRecord] = []
        size = 0
        for record in offer.records[position:]:
            records.append(record)
            size += len(record.stored)
            if size >= PART_BYTES:
                break
        end = position + len(records)
        is_last = end >= len(offer.records)
        if is_last:
            del self._offers[addr]
        return OperationsLearned(request.number, self.me, records, 0 if is_last else end)

    def on_part(
        self, addr: str, part: OperationsLearned, log_slot: int, voters_slot: int
    ) -> OutgoingLearnRequest | None:
        """Note a part that was added to the replica; returns the request for the next one, if there is one."""
        is_repeated = self._positions.get(part.voter_id, 0) == part.next_position
        if is_repeated or not part.next_position or not self.is_expected(part):
            return None
        self._positions[part.voter_id] = part.next_position
        return OutgoingLearnRequest(addr, self._request(part.voter_id, log_slot, voters_slot))

    def is_expected(self, part: OperationsLearned) -> bool:
        """Whether this part is waited for."""
        return self._is_expected(part.number, part.voter_id)

    def is_complete_with(self, part: OperationsLearned) -> bool:
        """Count the last part of a voter; whether a majority is then complete, once all of it is on disk."""
        return not part.next_position and self.is_expected(part) and self._count(part.voter_id)

    def _begin(self) -> None:
        self._positions = {}
        super()._begin()
