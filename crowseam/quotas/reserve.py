"""The part of each quota that is not leased, but granted request by request where a share is used up."""

from __future__ import annotations

from typing import NamedTuple

_MIN_RATE = 1e-6  # requests per second; keeps the wait finite
_ROUNDING = 1e-9


class ReserveGrant(NamedTuple):
    """The number of granted requests, and the seconds until another one is available."""

    requests: int
    wait_s: float


class _Level(NamedTuple):
    requests: float
    updated_at: float


class QuotaReserve:
    """Token buckets by tenant.

    They start empty with each grantor, which accounts for what its predecessor has granted.
    """

    def __init__(self, now: float) -> None:
        self._created_at = now
        self._levels: dict[str, _Level] = {}

    def draw(self, tenant: str, rate: float, burst: float, count: int, now: float) -> ReserveGrant:
        """Grant up to `count` requests.

        `rate` and `burst` are the reserved part of the tenant's quota, in requests per second and requests.
        """
        depth = max(1.0, burst)
        level = self._levels.get(tenant, _Level(0.0, self._created_at))
        requests = min(depth, level.requests + rate * max(0.0, now - level.updated_at))
        granted = min(count, int(requests + _ROUNDING))
        requests -= granted
        self._levels[tenant] = _Level(requests, now)
        return ReserveGrant(granted, max(0.0, 1.0 - requests) / max(rate, _MIN_RATE))
