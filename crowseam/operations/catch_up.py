"""Catch-up of a new voter: it copies all records of a majority of the previous voters before it votes on claims.

A voter replies only once it knows of the change of voters that added the newcomer, and from then on refuses claims of
coordinators that do not know of it. Claims granted by the previous voters are therefore in its reply, and later claims
need a majority of the new voters.

If no majority of the previous voters is available, the newcomer votes once every record it may have missed has expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from crowseam.majority_catch_up import MajorityCatchUp
from crowseam.operations.messages import AgedRecord, LearnOperations, OperationsLearned
from crowseam.operations.replica import OperationReplica

RETRANSMIT_INTERVAL_S = 0.25
MAX_PART_BYTES = 64 * 1024


class OutgoingLearnRequest(NamedTuple):
    """A request and its destination address."""

    addr: str
    request: LearnOperations


class _RecordTransfer(NamedTuple):
    """Records being sent to a newcomer, as of its first request."""

    number: int
    records: list[AgedRecord]


class OperationCatchUp(MajorityCatchUp):
    """Both sides of the record transfer at one controller. Times are seconds of the monotonic clock."""

    def __init__(self, me: str, was_caught_up: bool, max_wait_s: float) -> None:
        super().__init__(me, was_caught_up, RETRANSMIT_INTERVAL_S, max_wait_s, learns_before_joining=False)
        self._positions: dict[str, int] = {}  # next position to request, by voter id
        self._transfers: dict[str, _RecordTransfer] = {}  # by address

    def set_voters(self, voters: Mapping[str, str], now: float) -> None:
        """Update the voters. While catching up, a majority of the current voters suffices, as well as of the previous.

        So many of the previous voters may lose their disks during the catch-up that no majority of them is left.
        """
        is_change = bool(voters) and voters != self._voters
        was_learning = self.is_catching_up
        super().set_voters(voters, now)
        if not is_change or not self.is_catching_up:
            return
        # This also applies when the newcomer is added: the voters that it knew before may be long outdated.
        del self._majorities[1:]
        self._add_sources(voters)
        if was_learning:
            self._begin()

    def tick(self, now: float, log_slot: int, voters_slot: int) -> list[OutgoingLearnRequest]:
        """Return the requests that are due; call this a few times per second."""
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
        """Answer a newcomer's request.

        `log_slot` and `voters_slot` are those of this controller. Returns None if this voter has to catch up itself,
        or if either side does not know the latest change of voters that the other one knows.
        """
        if not self.is_caught_up or request.log_slot < voters_slot or log_slot < request.voters_slot:
            return None
        transfer = self._transfers.get(addr)
        position = request.position
        if transfer is None or transfer.number != request.number or position == 0:
            # A position is valid only within the same transfer.
            transfer = self._transfers[addr] = _RecordTransfer(request.number, replica.aged_records(now))
            position = 0
        records: list[AgedRecord] = []
        size = 0
        for record in transfer.records[position:]:
            records.append(record)
            size += len(record.stored)
            if size >= MAX_PART_BYTES:
                break
        end = position + len(records)
        is_last = end >= len(transfer.records)
        if is_last:
            del self._transfers[addr]
        return OperationsLearned(request.number, self.me, records, 0 if is_last else end)

    def on_part(
        self, addr: str, part: OperationsLearned, log_slot: int, voters_slot: int
    ) -> OutgoingLearnRequest | None:
        """Record a part that was added to the replica; return the request for the next part, if any."""
        is_repeated = self._positions.get(part.voter_id, 0) == part.next_position
        if is_repeated or not part.next_position or not self.is_expected(part):
            return None
        self._positions[part.voter_id] = part.next_position
        return OutgoingLearnRequest(addr, self._request(part.voter_id, log_slot, voters_slot))

    def is_expected(self, part: OperationsLearned) -> bool:
        """Whether this part belongs to the current attempt."""
        return self._is_expected(part.number, part.voter_id)

    def is_complete_with(self, part: OperationsLearned) -> bool:
        """Count a voter's last part; return whether a majority is complete, provided that all parts are durable."""
        return not part.next_position and self.is_expected(part) and self._record_answer(part.voter_id)

    def _begin(self) -> None:
        self._positions = {}
        super()._begin()
