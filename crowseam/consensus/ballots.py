"""Ballot numbers of this node for the current slot."""

from __future__ import annotations

from crowseam.consensus.context import NodeContext
from crowseam.consensus.messages import Ballot


class BallotSequence:
    """Generates ballots higher than any seen for the current slot."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.highest_round = 0

    def next(self) -> Ballot:
        """Return a ballot higher than any seen for this slot."""
        self.highest_round += 1
        return Ballot(self.highest_round, self._context.proposer_name)

    def observe(self, ballot: Ballot) -> None:
        """Record a ballot of another proposer."""
        self.highest_round = max(self.highest_round, ballot.round)

    def reset(self) -> None:
        """Start over for a new slot."""
        self.highest_round = 0
