"""Admission control at one gateway: tenant quota shares as token buckets, and load shedding.

`Admission` decides for each request whether its tenant may pass now. It reads no clock: every `now` is in seconds of
one monotonic clock and must not decrease. The shares are decided elsewhere (`set_share`). Load shedding, which caps
the rate of individual tenants ("cuts" them) while a tenant misses its latency target, is implemented by
`fennelpoint.regions`.

A bucket holds at most `burst * share + extra` requests and fills at `rate * share` per second. The shares of all
gateways sum to at most one, so in any time span they admit `rate * span + burst + N * extra` requests together; the
caller keeps N * extra within the allowed excess. A share that is withdrawn takes its accumulated tokens with it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp, inf, log
from random import Random
from typing import NamedTuple, Protocol

from fennelpoint.regions import PERIOD_S, Flow, Regulator

PUBLIC = ""  # requests without a tenant
DEMAND_HALF_LIFE_S = 2.0  # half-life of a request's weight in the demand
DEMAND_DECAY = log(2.0) / DEMAND_HALF_LIFE_S  # per second
MIN_DEMAND_RATE = 0.01  # requests per second; less counts as no demand
MAX_LATENCY_RATIO = 3.0  # latency / target is capped so that one stalled response does not dominate the average
GUARANTEED_FRACTION = 0.4  # of a tenant's demand within its quota, admitted even while it is cut
FORGET_AFTER_S = 15.0  # after which the cut of an idle tenant ends
FLOOR_BUCKET_S = 1.0  # seconds of the floor rate that a bucket without a lease accumulates
FLOOR_EXTRA_FRACTION = 0.5  # of `extra`, at most one request, that such a bucket holds in addition
MAX_WAIT_S = 5.0  # longest advertised wait: shares and cuts change within that time
MIN_WAIT_S = 1e-3
_MIN_RATE = 1e-3  # requests per second, or seconds; avoids division by zero


class AdmissionError(Exception):
    """The named tenant is not part of the configuration."""


class QuotaTerms(Protocol):
    """A tenant's quota: requests per second (0: unlimited), burst, and priority (0 is the highest, None: unset)."""

    @property
    def rate(self) -> float:
        """Requests per second."""
        ...

    @property
    def burst(self) -> float:
        """Additional requests that may be admitted at once."""
        ...

    @property
    def prio(self) -> int | None:
        """Priority; 0 is the highest."""
        ...


@dataclass(slots=True, frozen=True)
class TenantTerms:
    """The terms of a tenant; see `QuotaTerms`."""

    rate: float = 0.0
    burst: float = 0.0
    prio: int | None = None


class AdmissionDecision(NamedTuple):
    """Whether a request is admitted.

    If not, `wait_s` estimates the seconds until it would be, and `reason` is "quota" or "cut".
    """

    is_admitted: bool
    wait_s: float = 0.0
    reason: str = ""


class TenantState(NamedTuple):
    """The state of a tenant's bucket at this gateway.

    `share` is the share of the quota (None without a lease), `level` the requests in the bucket, and `cap` the limit
    in requests per second while the tenant is cut.
    """

    share: float | None
    level: float
    cap: float | None


@dataclass(slots=True, eq=False)
class TenantBucket(Flow):
    """The token bucket and load-shedding state of a tenant at this gateway.

    `expires_at` is when the lease of the share ends. `floor_rate` is the rate without a lease, in requests per
    second. `extra` is how many requests the bucket may hold beyond its share of the burst. `has_headroom`: all demand
    for the tenant fits in its quota, according to the grantor's last answer. `reserve_grants` counts requests that
    may pass in addition to the share, drawn from the reserve. `credit` accumulates the tokens of buckets too small to
    hold a whole request.
    """

    terms: QuotaTerms = field(default_factory=TenantTerms, kw_only=True)
    share: float | None = None
    expires_at: float = inf
    floor_rate: float = 0.0
    has_headroom: bool = False
    extra: float = 0.0
    level: float = 0.0
    reserve_grants: float = 0.0
    filled_at: float = 0.0
    demand: float = 0.0  # exponentially decayed count of requests
    demand_at: float = 0.0
    credit: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.terms.rate > 0.0

    def fill_rate(self) -> float:
        """Return the rate at which the bucket fills, in requests per second; inf without a limit."""
        if self.terms.rate <= 0.0:
            return inf
        return self.floor_rate if self.share is None else self.terms.rate * self.share

    def depth(self) -> float:
        """Return the most requests that the bucket holds."""
        if self.share is None:
            return FLOOR_EXTRA_FRACTION * min(1.0, self.extra) + self.floor_rate * FLOOR_BUCKET_S
        depth = self.terms.burst * self.share + self.extra
        return max(1.0, depth) if self.has_headroom else depth

    def fill(self, now: float) -> None:
        """Bring the bucket and the cut up to date."""
        # On a hot path, called for each tenant at each update of the leases: comparisons instead of min() and max().
        elapsed_s = now - self.filled_at
        if elapsed_s > 0.0:
            self.filled_at = now
        else:
            elapsed_s = 0.0
        if now >= self.expires_at:
            # Requests can arrive before the next update of the leases, for example after the process was suspended.
            self.share = None
            self.expires_at = inf
        if self.terms.rate > 0.0:
            level, depth = self.level + self.fill_rate() * elapsed_s, self.depth()
            self.level = level if level < depth else depth
        if self.cap is not None:
            self.fill_cap(max(1.0, self.cap), elapsed_s)

    def record_request(self, now: float) -> None:
        """Add a request to the demand."""
        self.demand = self.decayed_demand(now) + 1.0
        self.demand_at = now
        self.last_request_at = now

    def decayed_demand(self, now: float) -> float:
        """Return the count of requests, decayed exponentially to this moment."""
        return self.demand * exp(-DEMAND_DECAY * max(0.0, now - self.demand_at))


def priority_weight(prio: int) -> float:
    """Return the weight of a priority: lower numbers weigh more."""
    return 1.0 / (1.0 + max(0, prio))


def cut_candidates(failed: list[TenantBucket], conforming: list[TenantBucket]) -> list[TenantBucket]:
    """Return which conforming tenants (within quota and latency target) may be cut.

    These are the ones of lower weight than the failing tenants; all of them if there are none.
    """
    highest = max((flow.worth for flow in failed), default=0.0)
    return [flow for flow in conforming if flow.worth < highest] or conforming


class Admission:
    """Decides which requests pass at one gateway.

    The caller reports requests, attempts sent and answers, and calls `regulate` about every 0.5 s. `extra` is how
    many requests one gateway may admit beyond its share of a burst; it depends on the number of gateways. Methods
    raise AdmissionError for tenants that are not configured.
    """

    def __init__(self, now: float, rng: Random, extra: float = 0.0) -> None:
        self.rng = rng
        self.extra = extra
        self.tenants: dict[str, TenantBucket] = {PUBLIC: TenantBucket(PUBLIC, filled_at=now)}
        self._tenants_with_demand: dict[str, TenantBucket] = {}
        self.regulator: Regulator[TenantBucket] = Regulator(
            TenantBucket.fill_rate, cut_candidates, self._guaranteed_rate
        )
        self.regulated_at = now

    def configure(self, tenants: Mapping[str, QuotaTerms], now: float, changed: Iterable[str] | None = None) -> None:
        """Apply the tenants of a new configuration version; existing buckets keep their tokens up to the new limits.

        `changed`: the names that were added, modified or removed; None if unknown.
        """
        names = list(self.tenants.keys() | tenants.keys() if changed is None else changed)
        for name in names:
            if name not in tenants and name != PUBLIC:
                self.tenants.pop(name, None)
                self._tenants_with_demand.pop(name, None)
                self.regulator.active.pop(name, None)
        for name in tenants if changed is None else names:
            if name in tenants:
                self._configure_tenant(name, tenants[name], now)

    def _configure_tenant(self, name: str, terms: QuotaTerms, now: float) -> None:
        tenant = self.tenants.get(name)
        if tenant is None:
            # A bucket starts empty because the requests admitted by an earlier incarnation of this gateway are unknown.
            tenant = TenantBucket(name, filled_at=now, extra=self.extra, credit=self.rng.random())
            self.tenants[name] = tenant
        tenant.fill(now)
        tenant.terms = terms
        tenant.worth = priority_weight(terms.prio) if terms.prio is not None else tenant.worth
        tenant.fill(now)

    def set_share(
        self,
        name: str,
        share: float | None,
        now: float,
        floor_rate: float = 0.0,
        has_headroom: bool = False,
        extra: float | None = None,
        expires_at: float = inf,
    ) -> None:
        """Set this gateway's share of the quota (0 to 1) until `expires_at`; None: no lease, admit at `floor_rate`.

        `has_headroom` says that all demand fits in the quota; even the smallest share may then accumulate one
        request.
        """
        tenant = self._tenant(name)
        tenant.fill(now)
        tenant.share = share
        tenant.floor_rate = floor_rate
        tenant.has_headroom = has_headroom
        tenant.expires_at = expires_at
        if extra is not None:
            tenant.extra = extra
        tenant.fill(now)

    # Requests

    def admit(self, name: str, weight: float, now: float, is_recheck: bool = False) -> AdmissionDecision:
        """Decide whether a request passes now; one that does is counted against the quota and the cut.

        `weight` ranks the tenant if its terms have no priority. `is_recheck`: the request was held here and is
        checked again.
        """
        tenant = self._tenant(name)
        if not is_recheck:
            tenant.record_request(now)
            self._tenants_with_demand[name] = tenant
        if tenant.terms.prio is None:
            tenant.worth = max(tenant.worth, weight)
        tenant.fill(now)
        lacks_quota = tenant.is_limited and tenant.level < 1.0 and tenant.reserve_grants < 1.0
        is_cut = tenant.cap is not None and tenant.cap_level < 1.0
        if is_cut or (lacks_quota and not self._passes_by_credit(tenant)):
            wait_s = self._seconds_until_admitted(tenant) if lacks_quota else 0.0
            if is_cut and tenant.cap is not None:
                wait_s = max(wait_s, (1.0 - tenant.cap_level) / max(tenant.cap, _MIN_RATE))
            return AdmissionDecision(False, min(MAX_WAIT_S, wait_s), "quota" if lacks_quota else "cut")
        if tenant.is_limited and tenant.level < 1.0 <= tenant.reserve_grants:
            tenant.reserve_grants -= 1.0
        elif tenant.is_limited:
            tenant.level = max(0.0, tenant.level - 1.0)
        if tenant.cap is not None:
            tenant.cap_level -= 1.0
        return AdmissionDecision(True)

    def _passes_by_credit(self, tenant: TenantBucket) -> bool:
        """Admit an occasional request from a bucket too small to hold a whole one.

        Its tokens are moved to `credit`, and a request passes each time that the credit reaches one. The initial
        credit is random, so that all gateways together admit about as many requests as their buckets hold. With N
        gateways the standard deviation of that sum is at most sqrt(N) / 2.
        """
        if tenant.depth() >= 1.0:
            return False
        tenant.credit += tenant.level
        tenant.level = 0.0
        if tenant.credit < 1.0:
            return False
        tenant.credit -= 1.0
        return True

    def _seconds_until_admitted(self, tenant: TenantBucket) -> float:
        """Return the seconds until the bucket holds one request, or is full."""
        return max(MIN_WAIT_S, min(1.0, tenant.depth()) - tenant.level) / max(tenant.fill_rate(), _MIN_RATE)

    def refund(self, name: str, now: float) -> None:
        """Return the token of an admitted request that was not sent to a server."""
        tenant = self._tenant(name)
        tenant.fill(now)
        if tenant.is_limited:
            tenant.level = min(tenant.depth(), tenant.level + 1.0)

    def add_reserve_grant(self, name: str, count: int) -> None:
        """Admit `count` more requests beyond the share, granted from the reserve."""
        # Kept outside of the bucket, which loses tokens when the share is lowered; these requests belong to no share.
        self._tenant(name).reserve_grants += count

    def record_sent(self, name: str, work_s: float, is_first: bool = True) -> None:
        """Record that an attempt was sent, with its estimated server time; only the first one counts as a request."""
        self.regulator.record_sent(self._tenant(name), float(is_first), work_s)

    def record_answer(self, name: str, latency_s: float, target_s: float) -> None:
        """Record an answer with its latency and the latency target of the request."""
        ratio = min(MAX_LATENCY_RATIO, latency_s / max(target_s, _MIN_RATE))
        self.regulator.record_answer(self._tenant(name), ratio)

    # Time

    def regulate(self, now: float) -> None:
        """Classify the tenants, then tighten or relax the cuts; to be called about once per `PERIOD_S` seconds."""
        elapsed_s = now - self.regulated_at
        if elapsed_s < PERIOD_S / 4:
            return
        self.regulated_at = now
        for tenant in list(self.regulator.active.values()):
            tenant.fill(now)  # accounts the time until now at the old rate
        self.regulator.regulate(elapsed_s)
        self.regulator.drop_idle(now - FORGET_AFTER_S)

    def _guaranteed_rate(self, tenant: TenantBucket) -> float:
        """Return the rate that a tenant keeps while cut, so that no tenant is starved (requests per second)."""
        return GUARANTEED_FRACTION * min(tenant.fill_rate(), DEMAND_DECAY * tenant.decayed_demand(self.regulated_at))

    # State

    def demand(self, now: float) -> dict[str, float]:
        """Return requests per second by tenant, rejected ones included; idle tenants are omitted."""
        rates = {
            name: DEMAND_DECAY * tenant.decayed_demand(now)
            for name, tenant in self._tenants_with_demand.items()
            if name != PUBLIC
        }
        # Demand only decays until the next request, which adds the tenant again.
        rates = {name: rate for name, rate in rates.items() if rate >= MIN_DEMAND_RATE}
        if len(rates) < len(self._tenants_with_demand):
            self._tenants_with_demand = {name: self._tenants_with_demand[name] for name in rates}
        return rates

    def states(self, now: float) -> dict[str, TenantState]:
        """Return the state of each tenant at this gateway."""
        for tenant in self.tenants.values():
            tenant.fill(now)
        return {
            name: TenantState(tenant.share, tenant.level, tenant.cap)
            for name, tenant in self.tenants.items()
            if name != PUBLIC
        }

    def _tenant(self, name: str) -> TenantBucket:
        tenant = self.tenants.get(name)
        if tenant is None:
            raise AdmissionError(f"unknown tenant {name!r}")
        return tenant
