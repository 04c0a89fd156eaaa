"""Proof that the machines a change of voters counts on are there now.

A machine that stood still finds what came for it meanwhile, and takes it for news: who sent it may be gone. An
answer to a question put since then can't be old.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from crowseam.consensus.messages import Voter


class MembershipProof:
    """Who has answered the question that goes before the change from `old` to `new` voters.

    `asked_at` is when the question was put first and `due` when it is to be put again (s), `nonce` tells its
    answers from others.
    """

    def __init__(self, me: Voter, old: Sequence[Voter], new: Sequence[Voter], nonce: int, now: float) -> None:
        self.old, self.new, self.nonce = list(old), list(new), nonce
        self.asked_at = self.due = now
        self.answered = {me.id}

    @property
    def newcomers(self) -> list[Voter]:
        """Those let in by the change."""
        return [voter for voter in self.new if voter not in self.old]

    @property
    def missing(self) -> list[Voter]:
        """Those that have not answered yet."""
        return [voter for voter in sorted({*self.old, *self.new}) if voter.id not in self.answered]

    def complete(self) -> bool:
        """Whether all that the change counts on have answered."""
        return supported(self.old, self.new, self.answered)


def supported(old: Sequence[Voter], new: Sequence[Voter], answered: Collection[str]) -> bool:
    """Whether a change from `old` to `new` voters is safe if only those with ids in `answered` are there.

    That takes the newcomer and majorities of both, and all old voters where one is added in nobody's place: a
    voter more beside one that is gone leaves no loss to be borne.
    """
    if any(voter.id not in answered for voter in new if voter not in old):
        return False
    if len(new) > len(old) and any(voter.id not in answered for voter in old):
        return False
    return all(2 * sum(voter.id in answered for voter in voters) > len(voters) for voters in (old, new))
