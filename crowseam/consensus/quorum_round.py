"""One round of requests to all voters of a slot."""

from __future__ import annotations

from collections.abc import Iterable

from crowseam.consensus.messages import (
    Accept,
    Accepted,
    Ballot,
    Entry,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Voter,
)
from crowseam.quorum import majority

QuorumRequest = QuorumRead | Prepare | Accept
Reply = QuorumReadReply | Promise | Accepted


class QuorumRound:
    """A quorum read, or both phases of a ballot, at one slot.

    `sequence` is the sequence number of the newest client request when the round started; the round confirms no
    later request. `entry` is the proposal of phase 2, `voters` maps ids to addresses, and times are seconds of the
    monotonic clock.
    """

    def __init__(self, slot: int, message: QuorumRead | Prepare, sequence: int, voters: Iterable[Voter]) -> None:
        self.slot = slot
        self.message: QuorumRequest = message
        self.ballot: Ballot | None = message.ballot if isinstance(message, Prepare) else None
        self.sequence = sequence
        self.voters = {voter.id: voter.addr for voter in voters}
        self.majority = majority(len(self.voters))
        self.replies: dict[str, Reply] = {}
        self.rejected_by: set[str] = set()
        self.saw_vote = False
        self.entry: Entry | None = None
        self.retransmit_at = 0.0
        self.retransmit_interval_s = 0.0

    @property
    def is_read(self) -> bool:
        """Whether this is a quorum read."""
        return self.ballot is None

    def add_reply(self, reply: Reply) -> bool:
        """Count a voter's reply; return whether a majority has replied."""
        self.replies[reply.voter] = reply
        return len(self.replies) >= self.majority

    def add_rejection(self, voter: str) -> bool:
        """Count a voter's rejection; return whether a majority can no longer accept."""
        self.rejected_by.add(voter)
        return len(self.voters) - len(self.rejected_by) < self.majority

    def begin_phase_two(self, entry: Entry) -> None:
        """Switch to phase 2 with the proposal `entry`."""
        assert self.ballot is not None
        self.entry = entry
        self.message = Accept(self.slot, self.ballot, entry)
        self.replies = {}
        self.rejected_by = set()

    def unanswered(self) -> list[str]:
        """Return the addresses of the voters that have not replied."""
        return [addr for voter, addr in self.voters.items() if voter not in self.replies]
