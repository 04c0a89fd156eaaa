"""Catch-up of a new voter: it learns what was acknowledged before it joined from a majority of the previous voters.

Subclasses define what is learned, and the messages.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from crowseam.quorum import majority

_NEVER = float("-inf")


class _SourceMajority(NamedTuple):
    """Ids of voters, and the number of them that must answer."""

    ids: frozenset[str]
    needed: int


class MajorityCatchUp:
    """Progress of the voter with the id `me`.

    `was_caught_up` says that it was already caught up under this id before it started, or is a founding voter.
    With `learns_before_joining` it asks to join only after a first catch-up. `ready`: it has nothing left to learn, so
    it may ask to join. `is_caught_up`: it has learned, as a voter, what the previous voters knew. `timed_out`: the
    catch-up ended after `max_wait_s` without answers of a majority. Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        me: str,
        was_caught_up: bool,
        retransmit_interval_s: float,
        max_wait_s: float,
        learns_before_joining: bool = True,
    ) -> None:
        self.me = me
        self.ready = self.is_caught_up = was_caught_up
        self.timed_out = False
        self.retransmit_interval_s = retransmit_interval_s
        self.max_wait_s = max_wait_s
        self._learns_before_joining = learns_before_joining
        self._voters: dict[str, str] | None = None  # id by address
        self._sources: dict[str, str] = {}  # address by id of the voters to learn from
        self._majorities: list[_SourceMajority] = []  # any one of them suffices
        self._number = 0
        self._answered: set[str] = set()
        self._started_at = 0.0
        self._requested_at = _NEVER

    def set_voters(self, voters: Mapping[str, str], now: float) -> None:
        """Update the voters (id by address); to be called before each message is handled."""
        if not voters or voters == self._voters:
            return
        previous = self._voters or {}
        self._voters = dict(voters)
        was_voter, is_voter = self.me in previous.values(), self.me in voters.values()
        if not is_voter:
            # A majority of the current voters must answer, whatever was learned from the previous ones.
            if self._learns_before_joining:
                self._start(voters, now)
        elif previous and not was_voter:
            self.is_caught_up = False
            self._start(previous, now)
        elif not previous and not self.is_caught_up:  # it joined before it knew of any voters
            self._start(voters, now)

    @property
    def is_catching_up(self) -> bool:
        """Whether this controller is a voter that has not caught up yet."""
        return not self.is_caught_up and self._is_voter()

    def _due_sources(self, now: float) -> list[str]:
        """Return the addresses to ask now: every `retransmit_interval_s`, those that have not answered."""
        if self.ready or not self._sources:
            return []
        if now - self._started_at >= self.max_wait_s:
            self.timed_out = True
            self._finish()
            return []
        if now - self._requested_at < self.retransmit_interval_s:
            return []
        self._requested_at = now
        return sorted(addr for voter_id, addr in self._sources.items() if voter_id not in self._answered)

    def _is_expected(self, number: int, voter_id: str) -> bool:
        """Whether an answer of this voter to the request with this number is expected."""
        return not self.ready and number == self._number and voter_id in self._sources

    def _record_answer(self, voter_id: str) -> bool:
        """Count a complete answer; return whether a majority has answered."""
        self._answered.add(voter_id)
        return any(len(self._answered & sources.ids) >= sources.needed for sources in self._majorities)

    def reply_saved(self, number: int) -> None:
        """End the catch-up: the content of the answers to this number is on disk."""
        if number == self._number and not self.ready:
            self._finish()

    def reply_not_saved(self, number: int) -> None:
        """Ask all sources again: the content of the answers to this number could not be saved."""
        if number == self._number and not self.ready:
            self._begin()

    def _is_voter(self) -> bool:
        return self._voters is not None and self.me in self._voters.values()

    def _start(self, voters: Mapping[str, str], now: float) -> None:
        self._sources = {}
        self._majorities = []
        self._add_sources(voters)
        self.ready = False
        self.timed_out = False
        self._started_at = now
        self._begin()
        if not self._sources:
            self._finish()

    def _add_sources(self, voters: Mapping[str, str]) -> None:
        """Add voters to learn from; a majority of them suffices."""
        others = {voter_id: addr for addr, voter_id in voters.items() if voter_id != self.me}
        # A controller that lost its disk has a new id, and no longer answers under the old one.
        kept = {voter_id: addr for voter_id, addr in self._sources.items() if addr not in voters}
        self._sources = kept | others
        self._majorities.append(_SourceMajority(frozenset(others), min(majority(len(voters)), len(others))))

    def _begin(self) -> None:
        self._number += 1
        self._answered = set()
        self._requested_at = _NEVER

    def _finish(self) -> None:
        self.ready = True
        self.is_caught_up = self.is_caught_up or self._is_voter()
