"""State shared by the components of one node."""

from __future__ import annotations

from random import Random

from crowseam.consensus.messages import Voter
from crowseam.consensus.timing import Timing


class NodeContext:
    """Identity, timing parameters, random source and current time of a node.

    `proposer_name` identifies this machine and its incarnation, which makes its ballots unique. `now` is set by
    the node at the start of each call (seconds, monotonic clock).
    """

    def __init__(self, me: Voter, timing: Timing, rng: Random) -> None:
        self.me = me
        self.timing = timing
        self.rng = rng
        self.proposer_name = f"{me.id}~{rng.getrandbits(64):016x}"
        self.now = 0.0

    def jitter(self) -> float:
        """Return a random factor near 1 that keeps nodes from acting at the same time."""
        return self.rng.uniform(0.8, 1.2)

    def new_proposal_id(self, kind: str) -> str:
        """Return a unique id for an entry that this node proposes for itself."""
        return f"{kind}/{self.proposer_name}/{self.rng.getrandbits(32):08x}"
