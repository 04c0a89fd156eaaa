"""State shared by the role lease components of one controller."""

from __future__ import annotations

from random import Random

import msgspec

from crowseam.quorum import majority


class RoleLeaseTiming(msgspec.Struct, frozen=True):
    """Timing in seconds; must be the same on all controllers.

    Parameters
    ----------
    term_s
        How long a grant is valid, counted from when it was requested.
    margin_s
        Added by voters, for clocks that differ in speed by up to 2%.
    renew_interval_s, retry_interval_s
        Time between two requests of a holder, and of a candidate.
    round_timeout_s
        A candidate without a majority gives up after this: two candidates with a minority each block each other.
    max_backoff_s
        The longest random pause before a candidate tries again.
    hand_back_delay_s
        How long another controller must be preferred before a holder gives up a role. Each change of holders starts
        with an empty reserve, so a returning preferred holder does not get the role back at once.
    max_borrowing_s
        Upper bound of how long a borrower can use a lease.
    """

    term_s: float = 1.4
    margin_s: float = 0.1
    renew_interval_s: float = 0.35
    retry_interval_s: float = 0.04
    round_timeout_s: float = 0.5
    max_backoff_s: float = 0.3
    hand_back_delay_s: float = 20.0
    max_borrowing_s: float = 9.0


class RoleContext:
    """This controller's address, the voters as it knows them, and the timing.

    `voters` is None until they are known. `log_slot` is the newest log slot known here, and `voters_slot` a slot
    after which the voters have not changed (-1: unknown). `is_changing_voters`: this voter has accepted a change of
    the voters and does not know yet whether it was chosen.
    """

    def __init__(self, me: str, timing: RoleLeaseTiming, rng: Random) -> None:
        self.me = me
        self.timing = timing
        self.rng = rng
        self.voters: frozenset[str] | None = None
        self.log_slot = -1
        self.voters_slot = -1
        self.is_changing_voters = False

    @property
    def known_voters(self) -> frozenset[str]:
        """The voters; empty while they are unknown."""
        return self.voters or frozenset()

    @property
    def majority(self) -> int:
        """The number of voters that form a majority."""
        return majority(len(self.known_voters))
