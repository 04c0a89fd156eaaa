"""Gateway side of keyed operations: its claims, and ends and withdrawals not yet stored by a majority of voters."""

from __future__ import annotations

from typing import NamedTuple

from crowseam.operations.messages import (
    ClaimDecision,
    ClaimName,
    OperationClaim,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
)
from crowseam.operations.records import answer_size

CLAIM_TIMEOUT_S = 0.25  # timeout of a decision on a claim
MAX_SEND_WITHIN_S = 10.0  # time after a claim in which its request may be sent to a server
RETRANSMIT_INTERVAL_S = 0.3  # of unsettled ends and withdrawals
GIVE_UP_AFTER_S = 30.0  # retries of an end or withdrawal stop; the key then stays reserved until its window ends
MAX_UNSETTLED_BYTES = 1024 * 1024  # of unsettled answers, above which no new claims are made

Settlement = OperationEnd | OperationWithdrawal


class GrantedClaim(NamedTuple):
    """A claim, and the time until which its request may be sent to a server (seconds, monotonic clock)."""

    claim: OperationClaim
    send_until: float


class _Unsettled:
    """An end or withdrawal that is retransmitted until a majority of voters has stored it."""

    __slots__ = ("began_at", "message", "sent_at")

    def __init__(self, message: Settlement, now: float) -> None:
        self.message = message
        self.began_at = self.sent_at = now

    @property
    def size(self) -> int:
        message = self.message
        if isinstance(message, OperationEnd) and message.answer is not None:
            return answer_size(message.answer)
        return 0


class OperationClaims:
    """The claims of one incarnation of a gateway. Times are seconds of the monotonic clock."""

    def __init__(self, gateway: str, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self._last_number = 0
        self._undecided: dict[int, GrantedClaim] = {}  # claims without a decision, by number
        self._unsettled: dict[int, _Unsettled] = {}
        self._unsettled_bytes = 0

    @property
    def unsettled(self) -> int:
        """Number of ends and withdrawals without a confirmation that a majority has stored them."""
        return len(self._unsettled)

    @property
    def is_full(self) -> bool:
        """Whether too much is unsettled to make new claims."""
        return self._unsettled_bytes >= MAX_UNSETTLED_BYTES

    def claim(self, key: bytes, fingerprint: bytes, time_left_s: float, now: float) -> OperationClaim:
        """Create a claim to be sent to the controller."""
        self._last_number += 1
        name = ClaimName(self.gateway, self.incarnation, self._last_number)
        # Counted from before the claim is sent, so that the limit ends here before it ends at any voter.
        send_within_s = min(time_left_s, MAX_SEND_WITHIN_S)
        claim = OperationClaim(name, key, fingerprint, send_within_s, time_left_s)
        self._undecided[name.number] = GrantedClaim(claim, now + send_within_s)
        return claim

    def on_decision(self, decision: ClaimDecision) -> GrantedClaim | None:
        """Process a decision; return its claim, or None if the claim is no longer waiting for one."""
        return self._undecided.pop(decision.number, None)

    def abandon(self, number: int, now: float) -> OperationWithdrawal | None:
        """Abandon an undecided claim, so that a late grant is ignored. Return the withdrawal to send, if any."""
        undecided = self._undecided.pop(number, None)
        return self.withdraw(undecided.claim, now) if undecided is not None else None

    def withdraw(self, claim: OperationClaim, now: float) -> OperationWithdrawal:
        """Release the key of a claim whose request was not and will not be sent. Return the message to send."""
        withdrawal = OperationWithdrawal(claim.name, claim.key)
        self._keep_until_settled(claim.name.number, withdrawal, now)
        return withdrawal

    def end(self, end: OperationEnd, now: float) -> OperationEnd:
        """Track the end of a claim until it is settled. Return the message to send."""
        self._keep_until_settled(end.claim.name.number, end, now)
        return end

    def _keep_until_settled(self, number: int, message: Settlement, now: float) -> None:
        unsettled = self._unsettled[number] = _Unsettled(message, now)
        self._unsettled_bytes += unsettled.size

    def on_settled(self, message: OperationSettled) -> bool:
        """Record that a majority has stored an end or withdrawal; return whether that is new."""
        return self._forget(message.number)

    def _forget(self, number: int) -> bool:
        unsettled = self._unsettled.pop(number, None)
        if unsettled is None:
            return False
        self._unsettled_bytes -= unsettled.size
        return True

    def unsettled_messages(self, now: float) -> list[Settlement]:
        """Return all unsettled messages, to be sent to a newly connected controller."""
        for unsettled in self._unsettled.values():
            unsettled.sent_at = now
        return [unsettled.message for unsettled in self._unsettled.values()]

    def tick(self, now: float) -> list[Settlement]:
        """Return the messages to retransmit; call this a few times per second."""
        due: list[Settlement] = []
        for number, unsettled in list(self._unsettled.items()):
            if now - unsettled.began_at >= GIVE_UP_AFTER_S:
                self._forget(number)
            elif now - unsettled.sent_at >= RETRANSMIT_INTERVAL_S:
                unsettled.sent_at = now
                due.append(unsettled.message)
        return due
