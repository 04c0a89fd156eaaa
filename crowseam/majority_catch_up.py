"""From whom a new voter learns what was acknowledged before it: a majority of the voters before.

What is learned, and by which messages, is up to the subclasses.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from crowseam.quorum import majority

_NEVER = float("-inf")


class _Sources(NamedTuple):
    """Voters, by id, of which so many are a majority."""

    ids: frozenset[str]
    needed: int


class MajorityCatchUp:
    """What the controller with the voter's id `me` still has to learn.

    `has_counted`: it has counted under this id before its start, or is a founder. `learns_before_joining`: it asks
    to join only once it has learned. `ready`: it has nothing to learn, and may ask to join; `counts`: it votes, and
    has learned what those before it knew. `gave_up`: it counts though no majority has answered in `max_wait_s`.
    Times are seconds of the steady clock.
    """

    def __init__(
        self,
        me: str,
        has_counted: bool,
        retransmit_interval_s: float,
        max_wait_s: float,
        learns_before_joining: bool = True,
    ) -> None:
        self.me = me
        self.ready = self.counts = has_counted
        self.gave_up = False
        self.retransmit_interval_s = retransmit_interval_s
        self.max_wait_s = max_wait_s
        self._learns_before_joining = learns_before_joining
        self._voters: dict[str, str] | None = None  # ids by address
        self._sources: dict[str, str] = {}  # addresses by id of those to learn from
        self._majorities: list[_Sources] = []  # any of which is enough to learn from
        self._number = 0
        self._answered: set[str] = set()
        self._started_at = 0.0
        self._requested_at = _NEVER

    def set_voters(self, voters: Mapping[str, str], now: float) -> None:
        """Take the voters as they are known here, ids by address; to be called before each message is handed in."""
        if not voters or voters == self._voters:
            return
        before = self._voters or {}
        self._voters = dict(voters)
        was_voter, is_voter = self.me in before.values(), self.me in voters.values()
        if not is_voter:
            # The majority to learn from is one of these, whatever was learned of those before.
            if self._learns_before_joining:
                self._start(voters, now)
        elif before and not was_voter:
            self.counts = False
            self._start(before, now)
        elif not before and not self.counts:  # joined before it had heard of any voters
            self._start(voters, now)

    @property
    def is_catching_up(self) -> bool:
        """Whether this controller votes, and has yet to learn what those before it knew."""
        return not self.counts and self._is_voter()

    def _due_sources(self, now: float) -> list[str]:
        """Return the addresses to ask now: those that have not answered, each `retransmit_interval_s`."""
        if self.ready or not self._sources:
            return []
        if now - self._started_at >= self.max_wait_s:
            self.gave_up = True
            self._finish()
            return []
        if now - self._requested_at < self.retransmit_interval_s:
            return []
        self._requested_at = now
        return sorted(addr for voter_id, addr in self._sources.items() if voter_id not in self._answered)

    def _is_expected(self, number: int, voter_id: str) -> bool:
        """Whether an answer to this number, of this voter, is waited for."""
        return not self.ready and number == self._number and voter_id in self._sources

    def _count(self, voter_id: str) -> bool:
        """Count a complete answer; whether a majority has answered."""
        self._answered.add(voter_id)
        return any(len(self._answered & each.ids) >= each.needed for each in self._majorities)

    def reply_saved(self, number: int) -> None:
        """Note that what came with the answers to this number is on disk."""
        if number == self._number and not self.ready:
            self._finish()

    def reply_not_saved(self, number: int) -> None:
        """Note that what came with the answers to this number is not on disk: all of them are asked again."""
        if number == self._number and not self.ready:
            self._begin()

    def _is_voter(self) -> bool:
        return self._voters is not None and self.me in self._voters.values()

    def _start(self, voters: Mapping[str, str], now: float) -> None:
        self._sources = {}
        self._majorities = []
        self._add_sources(voters)
        self.ready = False
        self.gave_up = False
        self._started_at = now
        self._begin()
        if not self._sources:
            self._finish()

    def _add_sources(self, voters: Mapping[str, str]) -> None:
        """Let a majority of these voters be enough to learn from."""
        others = {voter_id: addr for addr, voter_id in voters.items() if voter_id != self.me}
        # A machine has one id at a time: who has lost its disk does not answer under the old one.
        kept = {voter_id: addr for voter_id, addr in self._sources.items() if addr not in voters}
        self._sources = kept | others
        self._majorities.append(_Sources(frozenset(others), min(majority(len(voters)), len(others))))

    def _begin(self) -> None:
        self._number += 1
        self._answered = set()
        self._requested_at = _NEVER

    def _finish(self) -> None:
        self.ready = True
        self.counts = self.counts or self._is_voter()
