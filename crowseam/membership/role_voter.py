"""The voter side of role leases: which role is granted to whom, and what is stored on disk."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from crowseam.membership.role_context import RoleContext
from crowseam.membership.role_holders import KnownHolders
from crowseam.membership.role_messages import (
    LIST_NOT_STARTED,
    NO_LIST,
    Outgoing,
    RoleLeaseGrant,
    RoleLeaseRejection,
    RoleLeaseRelease,
    RoleLeaseRequest,
    is_of_same_incarnation,
)

_NEVER = float("-inf")


class BorrowerListKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a list of borrowers: the fencing token, and the number of the list under it."""

    fencing_token: int = 0
    number: int = 0


class GrantedRole(msgspec.Struct):
    """What a voter knows about one role. Times are monotonic seconds.

    `list_length` is how many changes of the list `list_key` have been applied to `borrowers`, an ordered set.
    Borrowers may be missing from it until `incomplete_until`.
    """

    incomplete_until: float
    holder: str = ""
    token: int = 0
    until: float = _NEVER
    highest_fencing_token: int = 0
    list_key: BorrowerListKey = BorrowerListKey()
    list_length: int = 0
    borrowers: dict[str, None] = msgspec.field(default_factory=dict)


class RoleNote(msgspec.Struct, frozen=True):
    """What is stored on disk for one role: the last holder it was granted to, and the highest fencing token seen."""

    holder: str
    fencing_token: int

    @classmethod
    def parse(cls, text: str) -> RoleNote:
        """Parse a note; earlier versions stored the holder only."""
        holder, _, token = text.partition(" ")
        return cls(holder, int(token) if token.isdecimal() else 0)

    def __str__(self) -> str:
        return f"{self.holder} {self.fencing_token}" if self.fencing_token else self.holder


class RoleLeaseVoter:
    """Grants each role to one holder at a time, by its own monotonic clock.

    `saved_notes` are the stored notes by role (see `RoleNote`); None: they are lost. `unsaved` must be on disk before
    the returned grants are sent. The owner sets `awaits_fencing_tokens` while a new voter has not learned the fencing
    tokens that a majority has seen; until then it grants nothing.
    """

    def __init__(
        self,
        context: RoleContext,
        holders: KnownHolders,
        keys: Iterable[str],
        now: float,
        saved_notes: Mapping[str, str] | None,
    ) -> None:
        self._context = context
        self._holders = holders
        timing = context.timing
        self.awaits_fencing_tokens = False
        self.unsaved: dict[str, str] = {}
        self._restricted_until = now + timing.term_s + timing.margin_s
        # Without stored notes nothing was ever granted, so the list is complete.
        incomplete_until = _NEVER if saved_notes == {} else now + timing.max_borrowing_s
        self.roles = {key: GrantedRole(incomplete_until) for key in keys}
        self._notes = dict(saved_notes or {})
        self._granted_before: dict[str, str] | None = None  # by an earlier incarnation; None: unknown
        if saved_notes is not None:
            notes = {key: RoleNote.parse(text) for key, text in saved_notes.items()}
            self._granted_before = {key: note.holder for key, note in notes.items()}
            for key in self.roles.keys() & notes.keys():
                self.roles[key].highest_fencing_token = notes[key].fencing_token

    # Requests

    def on_request(self, sender: str, request: RoleLeaseRequest, now: float) -> list[Outgoing]:
        """Grant the role, or reject the request with the reason."""
        role, timing = self.roles[request.key], self._context.timing
        expires_at = now + request.term_s
        if request.fencing_token and request.fencing_token >= role.highest_fencing_token:
            # A majority has granted the sender's first request. Gateways connected here should reach it even while this
            # voter may not grant yet.
            self._holders.observe(request.key, sender, expires_at, request.fencing_token)
        if self._may_not_grant(request):
            return [self._rejection(sender, request, "", timing.retry_interval_s)]
        if now < self._restricted_until and not self._may_have_granted_to(request.key, sender):
            return [self._rejection(sender, request, "", self._restricted_until - now)]
        if role.holder not in ("", sender) and now < role.until:
            return [self._rejection(sender, request, role.holder, role.until - now)]
        length, earlier = self._update_borrowers(role, request, now)
        role.holder = sender
        role.token = request.token
        role.until = expires_at + timing.margin_s
        role.highest_fencing_token = max(role.highest_fencing_token, request.fencing_token)
        self._save_note(request.key, RoleNote(sender, role.highest_fencing_token))
        if request.fencing_token:
            self._holders.observe(request.key, sender, expires_at, request.fencing_token)
        grant = RoleLeaseGrant(request.key, request.token, role.highest_fencing_token, length, earlier)
        return [Outgoing(sender, grant)]

    def _rejection(self, sender: str, request: RoleLeaseRequest, holder: str, remaining_s: float) -> Outgoing:
        highest = self.roles[request.key].highest_fencing_token
        return Outgoing(sender, RoleLeaseRejection(request.key, request.token, highest, holder, remaining_s))

    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        """Return whether a grant might be counted by a sender with outdated voters.

        While the voters change, two majorities need not intersect.
        """
        context = self._context
        if context.voters is not None and context.me not in context.voters:
            return True
        is_sender_behind = 0 <= request.log_slot < context.voters_slot
        return self.awaits_fencing_tokens or context.is_changing_voters or is_sender_behind

    def _may_have_granted_to(self, key: str, sender: str) -> bool:
        """Return whether an earlier incarnation of this voter can have granted the role to the sender only.

        The sender's own earlier process has ended, or is the one that sent this request.
        """
        return self._granted_before is not None and self._granted_before.get(key, sender) == sender

    def _update_borrowers(
        self, role: GrantedRole, request: RoleLeaseRequest, now: float
    ) -> tuple[int, list[str] | None]:
        """Apply the borrowers that a holder announces.

        Returns how many changes of its list this voter has, and before it starts a list, the borrowers of earlier
        holders.
        """
        if request.is_list_partial or (request.list_number <= NO_LIST and request.fencing_token):
            role.incomplete_until = max(role.incomplete_until, now + self._context.timing.max_borrowing_s)
        if request.list_number <= LIST_NOT_STARTED:
            is_unknown = now < role.incomplete_until or not request.fencing_token
            return 0, None if is_unknown else list(role.borrowers)
        list_key = BorrowerListKey(request.fencing_token, request.list_number)
        if list_key > role.list_key and request.list_offset == 0:
            role.list_key = list_key
            role.list_length = 0
            role.borrowers = {}
        if list_key != role.list_key:
            return 0, None
        has_gap = role.list_length < request.list_offset
        for change in () if has_gap else request.list_changes[role.list_length - request.list_offset :]:
            if change.startswith("+"):
                role.borrowers[change[1:]] = None
            else:
                role.borrowers.pop(change[1:], None)
            role.list_length += 1
        return role.list_length, None

    def on_release(self, sender: str, release: RoleLeaseRelease) -> bool:
        """Release the role if the sender holds it, and return whether it is now free.

        A release by an earlier process of the sender has no effect.
        """
        role = self.roles[release.key]
        is_of_holder = role.holder == sender and is_of_same_incarnation(role.token, release.token)
        is_freed = is_of_holder and role.token <= release.token
        if is_freed:
            role.holder = ""
            role.until = _NEVER
        self._holders.record_release(release.key, sender)
        return is_freed

    # Voters

    def became_voter(self, now: float) -> None:
        """Grant nothing for a term.

        A holder may still count on grants of the previous voters, which are unknown here.
        """
        timing = self._context.timing
        self._restricted_until = max(self._restricted_until, now + timing.term_s + timing.margin_s)
        self._granted_before = None
        for role in self.roles.values():
            role.incomplete_until = now + timing.max_borrowing_s

    def is_reserved_for(self, key: str, name: str, now: float) -> bool:
        """Return whether the role was granted to `name` before a restart, so that others must wait for a term."""
        return now < self._restricted_until and (self._granted_before or {}).get(key) == name

    def fencing_tokens(self) -> dict[str, int]:
        """Return the highest fencing token seen of each role; 0: none."""
        return {key: role.highest_fencing_token for key, role in self.roles.items()}

    def adopt_fencing_tokens(self, tokens: Mapping[str, int]) -> None:
        """Merge the tokens that another voter has seen; changes are added to the unsaved notes."""
        for key, token in tokens.items():
            role = self.roles.get(key)
            if role is not None and token > role.highest_fencing_token:
                role.highest_fencing_token = token
                self._save_note(key, RoleNote(RoleNote.parse(self._notes.get(key, "")).holder, token))

    # Disk

    def _save_note(self, key: str, note: RoleNote) -> None:
        text = str(note)
        if text != self._notes.get(key):
            self._notes[key] = self.unsaved[key] = text

    def take_unsaved(self) -> dict[str, str]:
        """Return the notes that must be written before their grants are sent."""
        unsaved, self.unsaved = self.unsaved, {}
        return unsaved

    def note(self, key: str) -> str:
        """Return the newest note of a role, stored or about to be written; "" if there is none."""
        return self._notes.get(key, "")

    def write_failed(self, notes: Mapping[str, str]) -> None:
        """Forget these notes, so that they are written again with the next grant."""
        for key, note in notes.items():
            if self._notes.get(key) == note:
                del self._notes[key]
