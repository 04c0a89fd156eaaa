"""The list of borrowers that a role holder replicates to the voters.

A borrower is a gateway that may hold a quota lease granted under the role. The next holder reads the list back, so
that it knows every lease that may still be in use.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from crowseam.membership.role_context import RoleContext
from crowseam.membership.role_messages import LIST_NOT_STARTED

_LEGACY_VOTER_LENGTH = 1 << 62  # an earlier version keeps no list and counts as having all changes
_MAX_STALE_CHANGES = 64


class BorrowerList:
    """A list of changes under one fencing token, and how much of it each voter has confirmed.

    `number` tells lists under the same fencing token apart. Gateways that are not listed may hold a lease until
    `complete_at` (s). `announced` is the number of changes that have been sent to all voters.
    """

    def __init__(self, context: RoleContext) -> None:
        self._context = context
        self.number = LIST_NOT_STARTED
        self.changes: list[str] = []
        self.announced = 0
        self.complete_at = float("-inf")
        self._positions: dict[str, int] = {}  # borrower -> list length that includes it; 0: confirmed before
        self._lengths: dict[str, int] = {}  # voter -> number of confirmed changes
        self.earlier_by_voter: dict[str, list[str] | None] = {}  # borrowers of earlier holders; None: unknown

    def earlier_borrowers(self) -> set[str] | None:
        """Return the borrowers of earlier holders; None unless a majority of the voters knows them."""
        voters = self._context.known_voters
        known_lists = [names for voter, names in self.earlier_by_voter.items() if names is not None and voter in voters]
        if len(known_lists) < self._context.majority:
            return None
        return {name for names in known_lists for name in names}

    def start(self, names: Iterable[str], now: float, is_partial: bool) -> None:
        """Start a new list with borrowers that a majority has already confirmed."""
        if is_partial:
            self.complete_at = now + self._context.timing.max_borrowing_s
        self.number += 1
        self.announced = 0
        self._lengths = {}
        self._positions = dict.fromkeys(names, 0)
        self.changes = [f"+{name}" for name in self._positions]

    def add(self, names: Iterable[str]) -> None:
        """Append borrowers that are not listed yet."""
        for name in names:
            if name not in self._positions:
                self.changes.append(f"+{name}")
                self._positions[name] = len(self.changes)

    def keep_only(self, names: Collection[str], now: float) -> None:
        """Remove all other borrowers.

        A list with many removals is replaced by a compact one as soon as a majority has confirmed all of it.
        """
        for name in [name for name in self._positions if name not in names]:
            del self._positions[name]
            self.changes.append(f"-{name}")
        is_long = len(self.changes) > 2 * len(self._positions) + _MAX_STALE_CHANGES
        if is_long and self.confirmed_length() == len(self.changes):
            self.start(list(self._positions), now, is_partial=False)

    def is_confirmed(self, name: str) -> bool:
        """Return whether a majority of the voters has this borrower."""
        unlisted = len(self.changes) + 1
        return self.number > LIST_NOT_STARTED and self._positions.get(name, unlisted) <= self.confirmed_length()

    def confirmed_length(self) -> int:
        """Return how many changes a majority of the voters has."""
        voters = self._context.known_voters
        lengths = sorted((self._lengths.get(voter, 0) for voter in voters), reverse=True)
        return lengths[self._context.majority - 1] if lengths else 0

    def has_unannounced(self) -> bool:
        """Return whether there are new changes, and a majority has confirmed those sent before."""
        return self.announced != len(self.changes) and self.confirmed_length() >= self.announced

    def offset_for(self, voter: str) -> int:
        """Return the index of the first change that this voter lacks."""
        return min(self._lengths.get(voter, 0), len(self.changes))

    def confirmed_by(self, voter: str, length: int) -> None:
        """Record how many changes a voter has; below 0: an earlier version, which keeps no list."""
        self._lengths[voter] = length if length >= 0 else _LEGACY_VOTER_LENGTH
