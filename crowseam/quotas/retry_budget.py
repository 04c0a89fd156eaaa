"""The retry budget: how many retries a gateway may send.

The limit applies to all gateways together: in any window a service may receive at most `ratio` x its requests +
`slack` retries. Each gateway enforces its part locally, without coordination: `ratio` applies to the requests that it
sent itself, and the slack is divided evenly. Only `USED_FRACTION` of either is used; the rest covers gateways that
restart, gateway counts that differ between gateways, and windows that are aligned differently.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

USED_FRACTION = 0.7  # of the limit
BUCKETS = 40  # per window
_GATEWAY_COUNT_WINDOWS = 6  # windows over which the maximum number of gateways is taken
_ROUNDING = 1e-9


class SlidingCount:
    """A count over the last `length` buckets, including the current one."""

    __slots__ = ("_buckets", "_length", "total")

    def __init__(self, length: int) -> None:
        self._length = length
        self._buckets: deque[list[int]] = deque()  # [bucket number, count]
        self.total = 0

    def add(self, bucket: int) -> None:
        """Count one event in the bucket; bucket numbers must not decrease."""
        buckets = self._buckets
        if buckets and buckets[-1][0] >= bucket:
            buckets[-1][1] += 1
        else:
            buckets.append([bucket, 1])
        self.total += 1

    def sum(self, bucket: int) -> int:
        """Return the count over the window that ends with `bucket`."""
        buckets, oldest = self._buckets, bucket - self._length
        while buckets and buckets[0][0] <= oldest:
            self.total -= buckets.popleft()[1]
        return self.total


class _Observation(NamedTuple):
    """A number, and when it expires (s)."""

    until: float
    number: int


class SlidingMaximum:
    """The highest number observed in the last `span_s`; the latest one if there is none."""

    __slots__ = ("_observed", "_span_s")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._observed: deque[_Observation] = deque()  # numbers decrease

    def observe(self, number: int, now: float) -> None:
        """Record a number."""
        observed = self._observed
        while observed and observed[-1].number <= number:
            observed.pop()
        observed.append(_Observation(now + self._span_s, number))

    def get(self, now: float, default: int) -> int:
        """Return the maximum; `default` if nothing was observed yet."""
        observed = self._observed
        while len(observed) > 1 and observed[0].until <= now:
            observed.popleft()  # keeps the latest number, even if it has expired
        return observed[0].number if observed else default


class RetryBudget:
    """What one gateway may send in addition to the first attempt of each request, by service.

    `ratio`, `window_s` and `slack` define the limit. `default_gateways` is assumed until the number of gateways is
    known. With `had_predecessor`, an earlier process on this machine may have just spent its part of the slack, which
    is then available only after one window.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        now: float,
        default_gateways: int = 96,
        had_predecessor: bool = True,
    ) -> None:
        self._ratio = ratio * USED_FRACTION
        self._slack = slack * USED_FRACTION
        self._bucket_s = window_s / BUCKETS
        self._default_gateways = max(1, default_gateways)
        self._slack_available_at = now + window_s + self._bucket_s if had_predecessor else now
        self._gateways = SlidingMaximum(_GATEWAY_COUNT_WINDOWS * window_s)
        self._first_attempts: dict[str, SlidingCount] = {}
        self._spent_retries: dict[str, SlidingCount] = {}
        self.retried: dict[str, int] = {}  # retries by service since the start, for metrics

    def set_gateway_count(self, count: int, now: float) -> None:
        """Record the number of gateways; the maximum over the last windows is used."""
        self._gateways.observe(max(1, count), now)

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record that a request was sent for the first time."""
        window = self._first_attempts.get(service)
        if window is None:
            window = self._first_attempts[service] = SlidingCount(BUCKETS - 1)  # complete buckets: never too many
        window.add(int(now / self._bucket_s))

    def may_retry(self, service: str, now: float) -> bool:
        """Return whether a retry may be sent now."""
        bucket = int(now / self._bucket_s)
        first_attempts, spent_retries = self._first_attempts.get(service), self._spent_retries.get(service)
        allowed = self._ratio * first_attempts.sum(bucket) if first_attempts is not None else 0.0
        if now >= self._slack_available_at:
            allowed += self._slack / self._gateway_count(now)
        return (spent_retries.sum(bucket) if spent_retries is not None else 0) + 1 <= allowed + _ROUNDING

    def try_spend(self, service: str, now: float) -> bool:
        """Take one retry from the budget; False if none is left, so that it must not be sent."""
        if not self.may_retry(service, now):
            return False
        window = self._spent_retries.get(service)
        if window is None:
            window = self._spent_retries[service] = SlidingCount(BUCKETS + 1)  # with the partial one: never too few
        window.add(int(now / self._bucket_s))
        self.retried[service] = self.retried.get(service, 0) + 1
        return True

    def _gateway_count(self, now: float) -> int:
        return self._gateways.get(now, self._default_gateways)
