"""Requests of tenants at one hollow gateway, and which of them the slices let in."""

from __future__ import annotations

from math import exp

from msgspec import Struct

from crowseam.quotas.admission import DEMAND_DECAY, MIN_DEMAND_RATE

FORGET = 60.0  # s after which a tenant that asks no more is forgotten


class Bucket(Struct):
    """The requests that a tenant may make now."""

    filled_at: float  # s, steady clock
    level: float = 0.0  # requests
    dry_until: float = 0.0  # until when the reserve is used up


class Demand(Struct, frozen=True):
    """Requests of a tenant, fading with time."""

    requests: float
    at: float  # s, steady clock

    def faded(self, now: float) -> float:
        """What is left of them now."""
        return self.requests * exp(-DEMAND_DECAY * (now - self.at))


class TenantRequests:
    """Demand and buckets of the tenants that ask at one gateway; a tenant costs nothing until it asks."""

    def __init__(self, rates: dict[str, float]) -> None:
        self._rates = rates
        self._demand: dict[str, Demand] = {}  # only of those that are reported
        self._buckets: dict[str, Bucket] = {}
        self._swept = 0.0

    def ask(self, tenant: str, share: float, now: float) -> bool:
        """One request; whether it passes by the slice, 0 to 1 of the quota. If not, it is to be drawn."""
        before = self._demand.get(tenant)
        self._demand[tenant] = Demand((before.faded(now) if before is not None else 0.0) + 1.0, now)
        rate = self._rates[tenant] * share
        bucket = self._buckets.setdefault(tenant, Bucket(now))
        # The burst is one second's: loads.configuration says so.
        bucket.level = min(rate, bucket.level + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return True
        return False

    def dry(self, tenant: str, until: float) -> None:
        """The reserve is used up until then."""
        if (bucket := self._buckets.get(tenant)) is not None:
            bucket.dry_until = until

    def is_dry(self, tenant: str, now: float) -> bool:
        """Whether the reserve has said that it is used up for now."""
        return now < self._buckets[tenant].dry_until

    def report(self, now: float) -> dict[str, float]:
        """Requests a second by tenant, as a gateway reports them."""
        rates = {tenant: DEMAND_DECAY * demand.faded(now) for tenant, demand in self._demand.items()}
        reported = {tenant: round(rate, 3) for tenant, rate in rates.items() if rate >= MIN_DEMAND_RATE}
        if len(reported) < len(self._demand):
            self._demand = {tenant: self._demand[tenant] for tenant in reported}
        if now - self._swept > FORGET:
            self._swept = now
            self._buckets = {
                tenant: bucket for tenant, bucket in self._buckets.items() if now - bucket.filled_at < FORGET
            }
        return reported
