"""Singleton roles, distributed by key over the live voting controllers, as leases with fencing tokens.

The preferred holder of a role is found by rendezvous hashing over the live controllers, so a controller that joins or
leaves moves only the roles that it gains or held. Being preferred gives no right to the role: a holder needs a lease
from a majority of the voters, which it renews continually. A voter grants a role to one holder at a time, by its own
monotonic clock; the holder counts the term from when it sent the request, so its lease has ended before a voter
grants the role to the next one.

Each holder has a higher fencing token than its predecessor. A candidate first collects grants from a majority, which
report the highest token they have seen; it chooses a higher one and holds the role when a majority has granted and
recorded it. Receivers of a holder's messages reject a lower fencing token than they have seen, so a delayed holder
has no effect.

Voters store on disk to whom they last granted each role and the highest fencing token they have seen. A voter that
has just started grants a role only to that holder for one term. One that has just become a voter, or has lost its
disk, grants nothing for a term, nor before it has learned the fencing tokens that a majority has seen
(`awaits_fencing_tokens`). In case a token is lost all the same, its low bits are random, so that no two holders share
a token, and a receiver that has seen a higher one than the holder's reports it with `observe_fencing_token`; the
holder then chooses a higher one still.

While the voters change, two majorities need not intersect. Therefore a voter grants nothing while it has accepted a
change of unknown outcome, while it is not a voter as far as it knows, or to a sender that may not know the current
voters. As a result, a holder elected by the previous voters has been without grants for a term before a new voter
makes its first grant.

A holder grants quota leases to gateways, its borrowers, and the next holder must know all of them. Each request
therefore lists the borrowers that are new to the addressed voter and those that have ended; the voter keeps the list
with the grant, in memory. `is_borrower_confirmed` tells the holder whether a majority has a borrower. A candidate
learns from the voters which borrowers the previous holders had; the lists of a majority together are complete
(`earlier_borrowers`). A voter that has just started, has just become a voter, or has granted the role to a version
without borrower lists, cannot contribute until every lease from before has expired.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import assert_never

from crowseam.membership.role_claim import RoleClaim
from crowseam.membership.role_context import RoleContext, RoleLeaseTiming
from crowseam.membership.role_holders import KnownHolders, preferred_holder
from crowseam.membership.role_messages import (
    Message,
    Outgoing,
    RoleLeaseAnnouncement,
    RoleLeaseGrant,
    RoleLeaseRejection,
    RoleLeaseRelease,
    RoleLeaseRequest,
    new_incarnation,
)
from crowseam.membership.role_voter import RoleLeaseVoter


class RoleLeases:
    """The roles of one controller: passes messages and ticks to its voter and to its claims.

    `me` is the address by which others know this controller. The caller sends the returned messages to the addresses
    given with them. `saved_notes` are the stored notes by role; see `RoleLeaseVoter`.
    """

    voter_type = RoleLeaseVoter
    claim_type = RoleClaim

    def __init__(
        self,
        me: str,
        rng: Random,
        now: float,
        keys: Iterable[str],
        timing: RoleLeaseTiming | None = None,
        saved_notes: Mapping[str, str] | None = None,
    ) -> None:
        self.keys = tuple(keys)
        self._context = RoleContext(me, timing or RoleLeaseTiming(), rng)
        incarnation = new_incarnation(rng)
        self._holders = KnownHolders()
        self.voter = self.voter_type(self._context, self._holders, self.keys, now, saved_notes)
        self._claims = {key: self.claim_type(self._context, key, incarnation) for key in self.keys}
        self._is_closing = False

    @property
    def me(self) -> str:
        """The address of this controller."""
        return self._context.me

    # Messages and time

    def handle(self, sender: str, message: Message, now: float) -> list[Outgoing]:
        """Handle a message. Messages for unknown roles are dropped."""
        claim = self._claims.get(message.key)
        if claim is None:
            return []
        match message:
            case RoleLeaseRequest():
                return self._route(self.voter.on_request(sender, message, now), now)
            case RoleLeaseGrant():
                return self._route(claim.on_grant(sender, message, now), now)
            case RoleLeaseRejection():
                claim.on_rejection(message)
                self._observe_rejection(message, now)
            case RoleLeaseRelease():
                if self.voter.on_release(sender, message):
                    claim.retry_now(now)
            case RoleLeaseAnnouncement():
                self._holders.observe(message.key, sender, now + message.remaining_s, message.fencing_token)
            case _:
                assert_never(message)
        return []

    def _observe_rejection(self, message: RoleLeaseRejection, now: float) -> None:
        if message.holder and message.holder != self.me:
            until = now + message.remaining_s
            self._holders.observe(message.key, message.holder, until, message.highest_fencing_token)

    def tick(self, now: float, live: set[str], voters: set[str]) -> list[Outgoing]:
        """Acquire, renew and release roles; to be called about ten times a second.

        `live` are the controllers heard from recently, `voters` those that vote.
        """
        context = self._context
        current = frozenset(voters)
        if current != context.voters:
            self.set_voters(current, now, context.log_slot, context.voters_slot, context.is_changing_voters)
        if self._is_closing:
            return []
        messages: list[Outgoing] = []
        for key, claim in self._claims.items():
            is_preferred = preferred_holder(key, (live | {self.me}) & voters) == self.me
            is_reserved = self.voter.is_reserved_for(key, self.me, now)
            messages += claim.tick(is_preferred or is_reserved, live, now)
        return self._route(messages, now)

    def release_all(self, now: float) -> list[Outgoing]:
        """Release every role permanently, before the process ends."""
        self._is_closing = True
        messages = [message for claim in self._claims.values() for message in claim.give_up(now)]
        return self._route(messages, now)

    def _route(self, messages: list[Outgoing], now: float) -> list[Outgoing]:
        """Deliver the messages that this controller sends to itself, and return the others."""
        away: list[Outgoing] = []
        for outgoing in messages:
            if outgoing.addr == self.me:
                away += self.handle(self.me, outgoing.message, now)
            else:
                away.append(outgoing)
        return away

    # Voters

    @property
    def awaits_fencing_tokens(self) -> bool:
        """Whether this new voter has not learned the fencing tokens yet, and therefore grants nothing."""
        return self.voter.awaits_fencing_tokens

    @awaits_fencing_tokens.setter
    def awaits_fencing_tokens(self, awaits: bool) -> None:
        self.voter.awaits_fencing_tokens = awaits

    def set_voters(
        self,
        voters: frozenset[str],
        now: float,
        log_slot: int = -1,
        voters_slot: int = -1,
        is_changing_voters: bool = False,
    ) -> None:
        """Set the voters as known here; to be called before each message is handled.

        See `RoleContext` for the parameters.
        """
        context = self._context
        if context.voters is not None and self.me in voters and self.me not in context.voters:
            self.voter.became_voter(now)
        context.voters = voters
        context.log_slot = log_slot
        context.voters_slot = voters_slot
        context.is_changing_voters = is_changing_voters

    def fencing_tokens(self) -> dict[str, int]:
        """Return the highest fencing token that this voter has seen of each role; 0: none."""
        return self.voter.fencing_tokens()

    def adopt_fencing_tokens(self, tokens: Mapping[str, int]) -> None:
        """Merge the tokens that another voter has seen; changes are added to the unsaved notes."""
        self.voter.adopt_fencing_tokens(tokens)

    # Notes on disk

    @property
    def unsaved(self) -> dict[str, str]:
        """The notes that must be on disk before the returned grants are sent."""
        return self.voter.unsaved

    def take_unsaved(self) -> dict[str, str]:
        """Return the unsaved notes, which the caller now writes."""
        return self.voter.take_unsaved()

    def note(self, key: str) -> str:
        """Return the newest note of a role, stored or about to be written; "" if there is none."""
        return self.voter.note(key)

    def write_failed(self, notes: Mapping[str, str]) -> None:
        """Record that these notes could not be written."""
        self.voter.write_failed(notes)

    # Holders

    def held_fencing_token(self, key: str, now: float) -> int | None:
        """Return the fencing token under which this controller currently holds the role, or None."""
        return self._claims[key].held_fencing_token(now)

    def holder(self, key: str, now: float) -> str | None:
        """Return the holder of the role as far as this controller knows, or None."""
        if self.held_fencing_token(key, now) is not None:
            return self.me
        name = self._holders.holder(key, now)
        return None if name == self.me else name

    def observe_fencing_token(self, key: str, fencing_token: int, now: float) -> list[Outgoing]:
        """Record that a receiver has accepted this fencing token: a claim with a lower one chooses a higher one."""
        return self._route(self._claims[key].observe_fencing_token(fencing_token, now), now)

    # Borrowers

    def earlier_borrowers(self, key: str) -> set[str] | None:
        """Return who may hold leases of earlier holders; None unless a majority of the voters knows them."""
        return self._claims[key].borrowers.earlier_borrowers()

    def start_borrower_list(self, key: str, names: Iterable[str], now: float, is_partial: bool = False) -> None:
        """Start a list of borrowers under the current fencing token, with those that a majority already has.

        `is_partial`: other gateways may hold leases of earlier holders.
        """
        self._claims[key].borrowers.start(names, now, is_partial)

    def announce_borrowers(self, key: str, names: Iterable[str], now: float) -> list[Outgoing]:
        """Add borrowers; nothing is sent until a majority has answered the previous announcement."""
        claim = self._claims[key]
        claim.borrowers.add(names)
        return self._route(claim.announce_borrowers(now), now)

    def keep_borrowers(self, key: str, names: Collection[str], now: float) -> None:
        """Remove all other borrowers, whose leases have ended; sent with the next request."""
        self._claims[key].borrowers.keep_only(names, now)

    def is_borrower_confirmed(self, key: str, name: str) -> bool:
        """Return whether a majority of the voters has this borrower, so that a lease may be granted to it."""
        return self._claims[key].borrowers.is_confirmed(name)
