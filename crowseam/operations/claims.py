"""A gateway's part: its claims, and the ends and withdrawals that a majority of the voters does not have yet."""

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

CLAIM_TIMEOUT_S = 0.25  # for a decision
MAX_SEND_WITHIN_S = 10.0  # after a claim, for which its request may be sent to a server
RETRANSMIT_INTERVAL_S = 0.3  # of what is not settled
GIVE_UP_AFTER_S = 30.0  # of what is not settled: until its window ends the key stays taken
MAX_UNSETTLED_BYTES = 1024 * 1024  # of answers that no majority has; beyond that nothing is claimed

Settlement = OperationEnd | OperationWithdrawal


class GrantedClaim(NamedTuple):
    """A claim that was granted, and until when its request may be sent to a server (steady clock, s)."""

    claim: OperationClaim
    send_until: float


class _Unsettled:
    """An end or a withdrawal that is sent until a majority has it."""

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
    """What one incarnation of a gateway has claimed. Times are seconds of the steady clock."""

    def __init__(self, gateway: str, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self._last_number = 0
        self._waiting: dict[int, GrantedClaim] = {}  # claims without a decision, by number
        self._unsettled: dict[int, _Unsettled] = {}
        self._unsettled_bytes = 0

    @property
    def unsettled(self) -> int:
        """How many ends and withdrawals no majority has, as far as is known here."""
        return len(self._unsettled)

    @property
    def is_full(self) -> bool:
        """Whether so much waits to be settled that nothing may be claimed."""
        return self._unsettled_bytes >= MAX_UNSETTLED_BYTES

    def claim(self, key: bytes, fingerprint: bytes, time_left_s: float, now: float) -> OperationClaim:
        """Return a new claim, to be sent to the controller."""
        self._last_number += 1
        name = ClaimName(self.gateway, self.incarnation, self._last_number)
        # Counted from before the claim is sent, so that we are done before any voter is.
        send_within_s = min(time_left_s, MAX_SEND_WITHIN_S)
        claim = OperationClaim(name, key, fingerprint, send_within_s, time_left_s)
        self._waiting[name.number] = GrantedClaim(claim, now + send_within_s)
        return claim

    def on_decision(self, decision: ClaimDecision) -> GrantedClaim | None:
        """Take a decision; returns its claim, or None where nothing waits for it any more."""
        return self._waiting.pop(decision.number, None)

    def abandon(self, number: int, now: float) -> OperationWithdrawal | None:
        """Give up a claim without a decision: from now on a grant of it is not used. Returns what is to be sent."""
        waiting = self._waiting.pop(number, None)
        return self.withdraw(waiting.claim, now) if waiting is not None else None

    def withdraw(self, claim: OperationClaim, now: float) -> OperationWithdrawal:
        """Free the key of a claim whose request has surely not run and will not be sent. Returns what is to be sent."""
        withdrawal = OperationWithdrawal(claim.name, claim.key)
        self._keep_until_settled(claim.name.number, withdrawal, now)
        return withdrawal

    def end(self, end: OperationEnd, now: float) -> OperationEnd:
        """Have the end of a claim kept. Returns what is to be sent."""
        self._keep_until_settled(end.claim.name.number, end, now)
        return end

    def _keep_until_settled(self, number: int, message: Settlement, now: float) -> None:
        unsettled = self._unsettled[number] = _Unsettled(message, now)
        self._unsettled_bytes += unsettled.size

    def on_settled(self, message: OperationSettled) -> bool:
        """Note that a majority has an end or a withdrawal; whether that was not known yet."""
        return self._forget(message.number)

    def _forget(self, number: int) -> bool:
        unsettled = self._unsettled.pop(number, None)
        if unsettled is None:
            return False
        self._unsettled_bytes -= unsettled.size
        return True

    def unsettled_messages(self, now: float) -> list[Settlement]:
        """Return all that is not settled, for a controller that has just been reached."""
        for unsettled in self._unsettled.values():
            unsettled.sent_at = now
        return [unsettled.message for unsettled in self._unsettled.values()]

    def tick(self, now: float) -> list[Settlement]:
        """Return what is to be sent again; to be called some times a second."""
        due: list[Settlement] = []
        for number, unsettled in list(self._unsettled.items()):
            if now - unsettled.began_at >= GIVE_UP_AFTER_S:
                self._forget(number)
            elif now - unsettled.sent_at >= RETRANSMIT_INTERVAL_S:
                unsettled.sent_at = now
                due.append(unsettled.message)
        return due
