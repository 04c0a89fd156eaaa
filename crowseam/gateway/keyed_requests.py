"""Requests of keyed operations at a gateway: claimed before they are sent, their ends kept before they are answered.

`crowseam.operations.claims` decides; here are the timers, and the way to the controller.
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

SETTLE_WAIT_S = 0.15  # for which an answer waits until a majority has the end on disk
MAX_CONTENTION_PAUSE_S = 0.02  # before an operation is claimed anew that several tries claimed at once
CLAIM_PART_OF_TARGET = 0.25  # of a route's target time, for a decision
MAX_LATENCIES = 1000  # of claims, from which quantiles are told
MIN_TIME_LEFT_S = 0.02  # that must be left after a claim for the request to be worth sending

ClaimCallback = Callable[[ClaimOutcome, ClaimDecision | None, GrantedClaim | None], None]


class Operation(NamedTuple):
    """What a keyed request is a try of: digests of its key, and of itself (empty: not known)."""

    key: bytes
    fingerprint: bytes


class _Claiming:
    """An operation that is being claimed, under one name after the other where tries meet."""

    __slots__ = ("began_at", "deadline", "done", "ends_at", "number", "operation", "timer")

    def __init__(self, operation: Operation, deadline: float, ends_at: float, done: ClaimCallback) -> None:
        self.operation = operation
        self.began_at = clock.monotonic()
        self.deadline = deadline  # of the decision (steady clock, s)
        self.ends_at = ends_at  # when the client's time is over
        self.done = done
        self.number = 0
        self.timer: asyncio.TimerHandle | None = None


class _Settling(NamedTuple):
    """An answer that waits until its operation is settled."""

    timer: asyncio.TimerHandle
    done: Callable[[], None]


class KeyedRequests:
    """The operations that this gateway has under way. `send` passes messages to the controller, if there is one."""

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
        self.counts: dict[str, int] = {}  # decisions, by outcome
        self.latencies_s: deque[float] = deque(maxlen=MAX_LATENCIES)  # of the newest decisions
        self._claiming: dict[int, _Claiming] = {}  # by number of the claim
        self._settling: dict[int, _Settling] = {}

    def claim(self, operation: Operation, time_left_s: float, target_s: float, done: ClaimCallback) -> None:
        """Claim an operation; `done` is called once with the outcome, and with the claim where it is granted."""
        now = clock.monotonic()
        timeout_s = min(CLAIM_TIMEOUT_S, CLAIM_PART_OF_TARGET * target_s, time_left_s - MIN_TIME_LEFT_S)
        if self.claims.is_full:
            self._finish(done, ClaimOutcome.FULL)
        elif timeout_s <= 0.0:
            self._finish(done, ClaimOutcome.NO_QUORUM)
        else:
            self._begin(_Claiming(operation, now + timeout_s, now + time_left_s, done))

    def _begin(self, claiming: _Claiming) -> None:
        now = clock.monotonic()
        key, fingerprint = claiming.operation
        claim = self.claims.claim(key, fingerprint, claiming.ends_at - now, now)
        claiming.number = claim.name.number
        self._claiming[claiming.number] = claiming
        if claiming.timer is None:
            claiming.timer = self.loop.call_later(max(0.0, claiming.deadline - now), self._time_out, claiming)
        self.send(claim)

    def _time_out(self, claiming: _Claiming) -> None:
        self._claiming.pop(claiming.number, None)
        self._abandon(claiming.number)
        self._finish(claiming.done, ClaimOutcome.NO_QUORUM)

    def _abandon(self, number: int) -> None:
        withdrawal = self.claims.abandon(number, clock.monotonic())
        if withdrawal is not None:
            self.send(withdrawal)

    def on_decision(self, decision: ClaimDecision) -> None:
        """Take the decision on a claim."""
        granted = self.claims.on_decision(decision)
        claiming = self._claiming.pop(decision.number, None)
        if granted is None or claiming is None:
            return
        now = clock.monotonic()
        pause_s = self.rng.uniform(0.2, 1.0) * MAX_CONTENTION_PAUSE_S
        if decision.outcome is ClaimOutcome.CONTENDED and now + pause_s < claiming.deadline:
            self.loop.call_later(pause_s, self._begin_if_in_time, claiming)
            return
        if claiming.timer is not None:
            claiming.timer.cancel()
        self.latencies_s.append(now - claiming.began_at)
        is_granted = decision.outcome is ClaimOutcome.GRANTED
        self._finish(claiming.done, decision.outcome, decision, granted if is_granted else None)

    def _begin_if_in_time(self, claiming: _Claiming) -> None:
        if clock.monotonic() < claiming.deadline:
            self._begin(claiming)

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
        """Free the key of a claim whose request will not be sent; nobody waits for that."""
        self.send(self.claims.withdraw(granted.claim, clock.monotonic()))

    def settle(self, message: OperationEnd | OperationWithdrawal, number: int, done: Callable[[], None]) -> None:
        """Have an end or a withdrawal kept; `done` is called once a majority has it, or after `SETTLE_WAIT_S`."""
        timer = self.loop.call_later(SETTLE_WAIT_S, self._answer, number)
        self._settling[number] = _Settling(timer, done)
        self.send(message)

    def _answer(self, number: int) -> None:
        settling = self._settling.pop(number, None)
        if settling is not None:
            settling.timer.cancel()
            settling.done()

    def on_settled(self, message: OperationSettled) -> None:
        """Note that a majority has an end or a withdrawal: what waits for that is answered."""
        self.claims.on_settled(message)
        self._answer(message.number)

    def on_connected(self) -> None:
        """Send what waits to a controller that has just been reached.

        A claim is put to one controller only: that one may withdraw it while another one would grant it. So what
        has no decision is claimed anew under another name.
        """
        for message in self.claims.unsettled_messages(clock.monotonic()):
            self.send(message)
        waiting, self._claiming = list(self._claiming.values()), {}
        for claiming in waiting:
            self._abandon(claiming.number)
            self._begin(claiming)

    def tick(self, now: float) -> None:
        """Send again what is not settled; to be called some times a second."""
        for message in self.claims.tick(now):
            self.send(message)
