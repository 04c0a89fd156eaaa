"""Simulated tenant requests at one hollow gateway, and which of them its leases admit."""

from __future__ import annotations

from math import exp

from msgspec import Struct

from crowseam.quotas.admission import DEMAND_DECAY, MIN_DEMAND_RATE

FORGET_AFTER_S = 60.0  # idle time after which a tenant's bucket is removed


class Bucket(Struct):
    """A tenant's token bucket."""

    filled_at: float  # s, monotonic clock
    level: float = 0.0  # tokens
    dry_until: float = 0.0  # the reserve is exhausted until then


class Demand(Struct, frozen=True):
    """Exponentially decaying count of a tenant's requests."""

    requests: float
    at: float  # s, monotonic clock

    def decayed(self, now: float) -> float:
        """Return the count decayed to `now`."""
        return self.requests * exp(-DEMAND_DECAY * (now - self.at))


class TenantRequests:
    """Demand and token buckets of the tenants with requests at one gateway, created on a tenant's first request."""

    def __init__(self, rates: dict[str, float]) -> None:
        self._rates = rates
        self._demand: dict[str, Demand] = {}  # only of tenants that are reported
        self._buckets: dict[str, Bucket] = {}
        self._swept_at = 0.0

    def admit(self, tenant: str, share: float, now: float) -> bool:
        """Count one request. True if the leased `share` (0 to 1) of the quota admits it; otherwise it needs a draw."""
        before = self._demand.get(tenant)
        self._demand[tenant] = Demand((before.decayed(now) if before is not None else 0.0) + 1.0, now)
        rate = self._rates[tenant] * share
        bucket = self._buckets.setdefault(tenant, Bucket(now))
        # The burst is one second's rate, as in loads.configuration.
        bucket.level = min(rate, bucket.level + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return True
        return False

    def mark_reserve_exhausted(self, tenant: str, until: float) -> None:
        """Record that the reserve is exhausted until `until`."""
        if (bucket := self._buckets.get(tenant)) is not None:
            bucket.dry_until = until

    def is_reserve_exhausted(self, tenant: str, now: float) -> bool:
        """Return whether the reserve is known to be exhausted."""
        return now < self._buckets[tenant].dry_until

    def demand_rates(self, now: float) -> dict[str, float]:
        """Return the requests per second by tenant for a gateway's report."""
        rates = {tenant: DEMAND_DECAY * demand.decayed(now) for tenant, demand in self._demand.items()}
        reported = {tenant: round(rate, 3) for tenant, rate in rates.items() if rate >= MIN_DEMAND_RATE}
        if len(reported) < len(self._demand):
            self._demand = {tenant: self._demand[tenant] for tenant in reported}
        if now - self._swept_at > FORGET_AFTER_S:
            self._swept_at = now
            self._buckets = {
                tenant: bucket for tenant, bucket in self._buckets.items() if now - bucket.filled_at < FORGET_AFTER_S
            }
        return reported
