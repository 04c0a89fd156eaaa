"""The candidate and holder side of role leases, for one role."""

from __future__ import annotations

import msgspec

from crowseam.membership.borrower_list import BorrowerList
from crowseam.membership.role_context import RoleContext
from crowseam.membership.role_messages import (
    LIST_NOT_STARTED,
    Outgoing,
    RoleLeaseAnnouncement,
    RoleLeaseGrant,
    RoleLeaseRejection,
    RoleLeaseRelease,
    RoleLeaseRequest,
)

RANDOM_BITS = 20  # random low bits of a fencing token: two holders never have the same one
_MAX_REQUESTS_REMEMBERED = 16
_NEVER = float("-inf")


class SentRequest(msgspec.Struct, frozen=True):
    """When a request was sent (s), and the fencing token and list number that it carried."""

    sent_at: float
    fencing_token: int
    list_number: int


class RoleClaim:
    """Acquires, renews and releases one role.

    A candidate first collects grants from a majority, which report the highest fencing token they have seen. It then
    chooses a higher one and holds the role once a majority has granted and recorded that token. `incarnation` is the
    high bits of its request tokens.
    """

    def __init__(self, context: RoleContext, key: str, incarnation: int) -> None:
        self._context = context
        self._key = key
        self._incarnation = incarnation
        self._request_number = 0
        self._highest_fencing_token = 0  # fencing token
        self._next_request_at = _NEVER
        self._not_preferred_since: float | None = None
        self._reset()

    def _reset(self) -> None:
        self.fencing_token = 0
        self.borrowers = BorrowerList(self._context)
        self._round_began_at: float | None = None  # None: not a candidate
        self._is_held = False
        self._sent: dict[int, SentRequest] = {}  # by request token
        self._grants: dict[str, SentRequest] = {}  # voter -> the granted request
        self._newest_tokens: dict[str, int] = {}  # voter -> token of the newest granted request

    # State

    def held_fencing_token(self, now: float) -> int | None:
        """Return the fencing token under which the role is currently held, or None."""
        if not self.fencing_token or now >= self.lease_end(self.fencing_token):
            return None
        return self.fencing_token

    def lease_end(self, fencing_token: int) -> float:
        """Return when the majority of grants for this fencing token expires; -inf without a majority (s)."""
        context = self._context
        sent_at = sorted(
            sent.sent_at
            for voter, sent in self._grants.items()
            if voter in context.known_voters and sent.fencing_token == fencing_token
        )
        if not context.known_voters or len(sent_at) < context.majority:
            return _NEVER
        return sent_at[-context.majority] + context.timing.term_s

    # Time

    def tick(self, is_preferred: bool, live: set[str], now: float) -> list[Outgoing]:
        """Send the requests that are due; `live` are the controllers heard from recently."""
        if is_preferred:
            self._not_preferred_since = None
        elif self._not_preferred_since is None:
            self._not_preferred_since = now
        if self._round_began_at is None:
            return self._begin_round(is_preferred, live, now)
        timing = self._context.timing
        ends_at = self.lease_end(self.fencing_token) if self.fencing_token else _NEVER
        if now >= ends_at:
            # The lease has expired or is not acquired yet.
            if not self._is_held and now < self._round_began_at + timing.round_timeout_s:
                return self._request(now) if now >= self._next_request_at else []
            return self.give_up(now)
        self._is_held = True
        not_preferred_since = self._not_preferred_since
        if not_preferred_since is not None and now - not_preferred_since >= timing.hand_back_delay_s:
            return self.give_up(now)
        if now < self._next_request_at:
            return []
        others = live - self._context.known_voters - {self._context.me}
        announcement = RoleLeaseAnnouncement(self._key, self.fencing_token, ends_at - now)
        return [*self._request(now), *(Outgoing(name, announcement) for name in others)]

    def _begin_round(self, is_preferred: bool, live: set[str], now: float) -> list[Outgoing]:
        context = self._context
        reachable = (live | {context.me}) & context.known_voters
        if not is_preferred or now < self._next_request_at or len(reachable) < context.majority:
            return []  # grants of a minority would only block other candidates
        self._round_began_at = now
        return self._request(now)

    def retry_now(self, now: float) -> None:
        """End the backoff because the role has become free."""
        if self._round_began_at is None:
            self._next_request_at = now

    def give_up(self, now: float) -> list[Outgoing]:
        """Release all grants and back off."""
        if self._round_began_at is None:
            return []
        context = self._context
        self._reset()
        self._next_request_at = now + context.rng.uniform(0.1, 1.0) * context.timing.max_backoff_s
        release = RoleLeaseRelease(self._key, self._incarnation | self._request_number)
        return [Outgoing(voter, release) for voter in sorted(context.known_voters)]

    # Requests

    def _request(self, now: float) -> list[Outgoing]:
        context, borrowers = self._context, self.borrowers
        self._request_number += 1
        token = self._incarnation | self._request_number
        self._sent[token] = SentRequest(now, self.fencing_token, borrowers.number)
        while len(self._sent) > _MAX_REQUESTS_REMEMBERED:
            del self._sent[next(iter(self._sent))]
        timing = context.timing
        self._next_request_at = now + (timing.renew_interval_s if self._is_held else timing.retry_interval_s)
        borrowers.announced = len(borrowers.changes)
        return [Outgoing(voter, self._request_to(voter, token, now)) for voter in sorted(context.known_voters)]

    def _request_to(self, voter: str, token: int, now: float) -> RoleLeaseRequest:
        borrowers = self.borrowers
        offset = borrowers.offset_for(voter)
        return RoleLeaseRequest(
            self._key,
            token,
            self.fencing_token,
            self._context.timing.term_s,
            self._context.log_slot,
            borrowers.number,
            offset,
            borrowers.changes[offset:],
            now < borrowers.complete_at,
        )

    def on_grant(self, sender: str, grant: RoleLeaseGrant, now: float) -> list[Outgoing]:
        """Record a grant; with a majority, choose a fencing token or hold the role."""
        sent = self._sent.get(grant.token)
        if sent is None or self._round_began_at is None:
            return []
        self._highest_fencing_token = max(self._highest_fencing_token, grant.highest_fencing_token)
        is_newest = grant.token > self._newest_tokens.get(sender, 0)
        self._newest_tokens[sender] = max(grant.token, self._newest_tokens.get(sender, 0))
        is_current = sent.fencing_token == self.fencing_token
        if is_current and is_newest:
            self._grants[sender] = sent
        if self.fencing_token and self._highest_fencing_token > self.fencing_token:
            return self._take_fencing_token(now)
        if not self.fencing_token:
            return self._take_fencing_token(now) if now < self.lease_end(0) else []
        if not is_current or not is_newest:
            return []
        if sent.list_number == LIST_NOT_STARTED:
            self.borrowers.earlier_by_voter[sender] = grant.earlier_borrowers
        elif sent.list_number == self.borrowers.number:
            self.borrowers.confirmed_by(sender, grant.list_length)
        return self.announce_borrowers(now)

    def on_rejection(self, rejection: RoleLeaseRejection) -> None:
        """Record the fencing token that the next one must exceed."""
        self._highest_fencing_token = max(self._highest_fencing_token, rejection.highest_fencing_token)

    def observe_fencing_token(self, fencing_token: int, now: float) -> list[Outgoing]:
        """Choose a higher fencing token if a receiver has already accepted this one.

        The role is not held until the voters have recorded the new token.
        """
        self._highest_fencing_token = max(self._highest_fencing_token, fencing_token)
        if not self.fencing_token or self.fencing_token >= fencing_token:
            return []
        return self._take_fencing_token(now)

    def _take_fencing_token(self, now: float) -> list[Outgoing]:
        counter = max(self._highest_fencing_token, self.fencing_token) >> RANDOM_BITS
        self.fencing_token = (counter + 1) << RANDOM_BITS | self._context.rng.getrandbits(RANDOM_BITS)
        self._grants = {}
        self._is_held = False
        self._round_began_at = now
        self.borrowers = BorrowerList(self._context)
        return self._request(now)

    def announce_borrowers(self, now: float) -> list[Outgoing]:
        """Send new borrowers to the voters once a majority has confirmed those sent before, to batch them."""
        if not self.borrowers.has_unannounced() or self.held_fencing_token(now) is None:
            return []
        return self._request(now)
