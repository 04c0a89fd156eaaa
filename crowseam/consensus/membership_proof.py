"""Proof that the machines that a change of voters relies on are alive.

After a pause of this process (SIGSTOP, a suspended virtual machine), queued messages look recent although their
senders may have failed since. Replies to a request sent after the pause cannot be stale.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from crowseam.consensus.messages import Voter
from crowseam.quorum import majority


class MembershipProof:
    """Replies to the liveness request that precedes a change from `old` to `new` voters.

    `started_at` is the time of the first request, `retransmit_at` that of the next one (seconds, monotonic clock).
    `nonce` identifies the replies, and `answered` holds the ids of the voters that replied.
    """

    def __init__(self, me: Voter, old: Sequence[Voter], new: Sequence[Voter], nonce: int, now: float) -> None:
        self.old = list(old)
        self.new = list(new)
        self.nonce = nonce
        self.started_at = now
        self.retransmit_at = now
        self.answered = {me.id}

    @property
    def newcomers(self) -> list[Voter]:
        """The voters that the change adds."""
        return [voter for voter in self.new if voter not in self.old]

    @property
    def missing(self) -> list[Voter]:
        """The old and new voters that have not replied yet."""
        return [voter for voter in sorted({*self.old, *self.new}) if voter.id not in self.answered]

    def is_complete(self) -> bool:
        """Whether all voters that the change relies on have replied."""
        return is_change_supported(self.old, self.new, self.answered)


def is_change_supported(old: Sequence[Voter], new: Sequence[Voter], answered: Collection[str]) -> bool:
    """Whether a change from `old` to `new` voters is safe if only those with ids in `answered` are alive.

    This requires the newcomer and majorities of both sets. If the change only adds a voter, it requires all old
    voters, because a larger set with a failed voter would tolerate no further failure.
    """
    if any(voter.id not in answered for voter in new if voter not in old):
        return False
    if len(new) > len(old) and any(voter.id not in answered for voter in old):
        return False
    return all(sum(voter.id in answered for voter in voters) >= majority(len(voters)) for voters in (old, new))
