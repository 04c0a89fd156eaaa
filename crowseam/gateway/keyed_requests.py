"""Keyed operations at a gateway: claimed before a request is sent, settled before the client is answered.

`crowseam.operations.claims` decides; this module has the timers, and sends to the controller.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from crowseam import clock
from crowseam.operations.claims import CLAIM_TIMEOUT_S, GrantedClaim, OperationClaims
from crowseam.operations.messages import (
    ClaimDecision,
    ClaimOutcome,
    GatewayMessage,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
)

SETTLE_WAIT_S = 0.15  # maximum delay of an answer until a majority has the end on disk
MAX_CONTENTION_PAUSE_S = 0.02  # before a contended operation is claimed again
CLAIM_PART_OF_TARGET = 0.25  # of a route's target time: maximum wait for a decision
MAX_LATENCIES = 1000  # kept for quantiles
MIN_TIME_LEFT_S = 0.02  # after a claim; with less, the request is not worth sending

ClaimCallback = Callable[[ClaimOutcome, ClaimDecision | None, GrantedClaim | None], None]


class Operation(NamedTuple):
    """The operation of a keyed request: digests of its key, and of the request (empty: unknown)."""

    key: bytes
    fingerprint: bytes


class _PendingClaim:
    """An operation that waits for a decision; it is claimed again under a new name if claims collide."""

    __slots__ = ("began_at", "deadline", "done", "ends_at", "number", "operation", "timer")

    def __init__(self, operation: Operation, deadline: float, ends_at: float, done: ClaimCallback) -> None:
        self.operation = operation
        self.began_at = clock.monotonic()
        self.deadline = deadline  # of the decision (monotonic clock, s)
        self.ends_at = ends_at  # the client's deadline
        self.done = done
        self.number = 0
        self.timer: asyncio.TimerHandle | None = None


class _PendingSettlement(NamedTuple):
    """An answer that waits for the settlement of its operation."""

    timer: asyncio.TimerHandle
    done: Callable[[], None]


class KeyedRequests:
    """The operations of this gateway that are in flight. `send` sends to the controller, if there is a session."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: Random,
        claims: OperationClaims,
        send: Callable[[GatewayMessage], None],
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.claims = claims
        self.send = send
        self.counts: dict[str, int] = {}  # decisions by outcome
        self.latencies_s: deque[float] = deque(maxlen=MAX_LATENCIES)  # of the newest decisions
        self._pending_claims: dict[int, _PendingClaim] = {}  # by number of the claim
        self._pending_settlements: dict[int, _PendingSettlement] = {}

    def claim(self, operation: Operation, time_left_s: float, target_s: float, done: ClaimCallback) -> None:
        """Claim an operation; `done` is called once with the outcome, and with the claim if it is granted."""
        now = clock.monotonic()
        timeout_s = min(CLAIM_TIMEOUT_S, CLAIM_PART_OF_TARGET * target_s, time_left_s - MIN_TIME_LEFT_S)
        if self.claims.is_full:
            self._finish(done, ClaimOutcome.FULL)
        elif timeout_s <= 0.0:
            self._finish(done, ClaimOutcome.NO_QUORUM)
        else:
            self._begin(_PendingClaim(operation, now + timeout_s, now + time_left_s, done))

    def _begin(self, pending: _PendingClaim) -> None:
        now = clock.monotonic()
        key, fingerprint = pending.operation
        claim = self.claims.claim(key, fingerprint, pending.ends_at - now, now)
        pending.number = claim.name.number
        self._pending_claims[pending.number] = pending
        if pending.timer is None:
            pending.timer = self.loop.call_later(max(0.0, pending.deadline - now), self._time_out, pending)
        self.send(claim)

    def _time_out(self, pending: _PendingClaim) -> None:
        self._pending_claims.pop(pending.number, None)
        self._abandon(pending.number)
        self._finish(pending.done, ClaimOutcome.NO_QUORUM)

    def _abandon(self, number: int) -> None:
        withdrawal = self.claims.abandon(number, clock.monotonic())
        if withdrawal is not None:
            self.send(withdrawal)

    def on_decision(self, decision: ClaimDecision) -> None:
        """Handle the decision on a claim."""
        granted = self.claims.on_decision(decision)
        pending = self._pending_claims.pop(decision.number, None)
        if granted is None or pending is None:
            return
        now = clock.monotonic()
        pause_s = self.rng.uniform(0.2, 1.0) * MAX_CONTENTION_PAUSE_S
        if decision.outcome is ClaimOutcome.CONTENDED and now + pause_s < pending.deadline:
            self.loop.call_later(pause_s, self._begin_if_in_time, pending)
            return
        if pending.timer is not None:
            pending.timer.cancel()
        self.latencies_s.append(now - pending.began_at)
        is_granted = decision.outcome is ClaimOutcome.GRANTED
        self._finish(pending.done, decision.outcome, decision, granted if is_granted else None)

    def _begin_if_in_time(self, pending: _PendingClaim) -> None:
        if clock.monotonic() < pending.deadline:
            self._begin(pending)

    def _finish(
        self,
        done: ClaimCallback,
        outcome: ClaimOutcome,
        decision: ClaimDecision | None = None,
        granted: GrantedClaim | None = None,
    ) -> None:
        self.counts[outcome.value] = self.counts.get(outcome.value, 0) + 1
        done(outcome, decision, granted)

    def latency_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the latencies of the newest decisions; 0 if there is none."""
        latencies = sorted(self.latencies_s)
        return latencies[min(len(latencies) - 1, int(quantile * len(latencies)))] if latencies else 0.0

    def withdraw(self, granted: GrantedClaim) -> None:
        """Withdraw a claim whose request will not be sent, without waiting for the result."""
        self.send(self.claims.withdraw(granted.claim, clock.monotonic()))

    def settle(self, message: OperationEnd | OperationWithdrawal, number: int, done: Callable[[], None]) -> None:
        """Send an end or a withdrawal; `done` is called once a majority has stored it, or after `SETTLE_WAIT_S`."""
        timer = self.loop.call_later(SETTLE_WAIT_S, self._complete_settlement, number)
        self._pending_settlements[number] = _PendingSettlement(timer, done)
        self.send(message)

    def _complete_settlement(self, number: int) -> None:
        pending = self._pending_settlements.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            pending.done()

    def on_settled(self, message: OperationSettled) -> None:
        """A majority has stored an end or a withdrawal: release the answer that waits for it."""
        self.claims.on_settled(message)
        self._complete_settlement(message.number)

    def on_connected(self) -> None:
        """Send pending messages to the controller of a new session.

        A claim is sent to one controller only, since that one may withdraw it while another one grants it. So
        operations without a decision are claimed again under a new name.
        """
        for message in self.claims.unsettled_messages(clock.monotonic()):
            self.send(message)
        unanswered, self._pending_claims = list(self._pending_claims.values()), {}
        for pending in unanswered:
            self._abandon(pending.number)
            self._begin(pending)

    def tick(self, now: float) -> None:
        """Resend unsettled messages; to be called several times per second."""
        for message in self.claims.tick(now):
            self.send(message)
