"""Leases shares of the tenants' quotas to all gateways.

The grantor runs on the controller that holds the role of the shard; a gateway keeps its lease in `GatewayLeases`.

At any moment the shares that gateways may still be using, including unreachable ones, sum to at most 1:

- A lease expires by the gateway's own monotonic clock, counted from when the gateway SENT the report that was
  answered; the grantor counts from its answer and adds a margin for clock drift.
- A share is raised only by what is free. After a decrease, the old share counts as in use until the gateway reports
  the new lease, or until the old lease has expired.
- A new grantor knows no leases. It first makes each gateway accept its fencing token and thereby reject the previous
  grantor; the gateway keeps its lease. The shares that the gateway then reports are taken over unchanged. Shares that
  nobody has reported may still be in use; they become free once all known gateways have been taken over, or when the
  last lease of the previous grantor must have expired.

All times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nlargest
from typing import NamedTuple

import msgspec

from crowseam.quotas.lease_messages import SHARE_UNITS, LeaseReport, QuotaLease

# Every gateway is granted a share of these tenants, the ones with the highest rates, regardless of its demand. It is
# granted shares of other tenants only after it has reported demand for them.
MAX_TENANTS_LEASED_TO_ALL = 64
_SWEEP_INTERVAL_S = 0.25
_NO_DEMAND = 1e-6  # requests per second; less counts as no demand
_TAKEN_OVER_EPOCH = 0


class GrantorTerms(msgspec.Struct, frozen=True):
    """Parameters of leases; all grantors of a deployment must use the same `term_s` and `margin_s`.

    Parameters
    ----------
    term_s
        How long a lease is valid.
    margin_s
        Added by the grantor, for clocks that differ in speed by up to 2%.
    reserve_fraction, max_reserve_fraction
        The fraction of a quota that is not leased but granted request by request; the second one is the limit for
        tenants whose even share is small.
    thin_rate
        Even shares of fewer requests per second than this are leased in part only.
    min_idle_rate
        A gateway without demand is leased nothing if its share would be below this many requests per second.
    even_fraction
        The fraction of a quota that is divided evenly, regardless of demand.
    takeover_hold_s
        Shares are not lowered for this long after a takeover, as the demand is not fully known yet.
    """

    term_s: float = 8.0
    margin_s: float = 0.4
    reserve_fraction: float = 0.0
    max_reserve_fraction: float = 0.9
    thin_rate: float = 1.0
    min_idle_rate: float = 0.0
    even_fraction: float = 0.2
    takeover_hold_s: float = 1.5


class OutstandingLease(msgspec.Struct, frozen=True):
    """A granted lease that may be in use until `until` by the grantor's clock."""

    epoch: int
    until: float
    shares: dict[str, int]


class _TenantRate(NamedTuple):
    """A tenant's rate (requests per second), and the fraction of its quota that is not leased."""

    rate: float
    reserve_fraction: float


class _Departure(NamedTuple):
    """The incarnation of a gateway that left, and when the record of that expires (s)."""

    incarnation: int
    until: float


class _GatewayState:
    """What the grantor knows of one gateway.

    `is_taken_over`: its lease from an earlier grantor is known. `had_claim`: that lease was not empty, and its shares
    follow the demand known to the earlier grantor. `in_use` is the largest share that it may be using now, by tenant.
    """

    __slots__ = ("demand", "had_claim", "heard_at", "in_use", "incarnation", "is_taken_over", "leases", "sent_at")

    def __init__(self, incarnation: int, is_taken_over: bool) -> None:
        self.incarnation = incarnation
        self.sent_at = float("-inf")
        self.heard_at = 0.0
        self.is_taken_over = is_taken_over
        self.had_claim = False
        self.demand: dict[str, float] = {}
        self.leases: list[OutstandingLease] = []
        self.in_use: dict[str, int] = {}


class QuotaLeaseGrantor:
    """Grants shares of one shard of tenants while the role is held under `fencing_token`.

    A new grantor is created for each fencing token; it must not be used once the role is lost.

    Parameters
    ----------
    known_borrowers
        The gateways that may hold leases of an earlier grantor (empty: none was ever granted; None: unknown, so that
        the grantor waits until all of them have expired).
    expected_gateways
        The number of gateways according to the sessions.
    rates
        Returns the requests per second of a tenant's quota; 0: unknown.
    tenants
        Returns all tenants with a quota; the same object until the tenants or their rates change.
    """

    def __init__(
        self,
        fencing_token: int,
        known_borrowers: set[str] | None,
        expected_gateways: int,
        now: float,
        terms: GrantorTerms | None = None,
        rates: Callable[[str], float] = lambda _: 0.0,
        tenants: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.fencing_token = fencing_token
        self.terms = terms or GrantorTerms()
        self.expected_gateways = expected_gateways
        self.tenants = tenants
        self.rates = rates
        self._awaited_gateways = None if known_borrowers is None else set(known_borrowers)
        self._is_taking_over = known_borrowers is None or bool(known_borrowers)
        self._takeover_ends_at = now + self.terms.term_s + self.terms.margin_s
        self._keep_shares_until = now + self.terms.takeover_hold_s if self._is_taking_over else now
        self._gateways: dict[str, _GatewayState] = {}
        self._departed: dict[str, _Departure] = {}
        self._in_use: dict[str, int] = {}  # by tenant, summed over the gateways
        self._claimed: dict[str, int] = {}  # by tenant, taken over so far
        self._demand: dict[str, float] = {}  # by tenant, summed over the gateways
        # Tenants of which every gateway is granted a share regardless of its demand.
        self._leased_to_all: set[str] = set()
        self._listed_tenants: tuple[Iterable[str], frozenset[str]] = ((), frozenset())
        self._leased_to_all_gateways = 0  # number of gateways that `_leased_to_all` was computed for
        self._tenant_rates: dict[str, _TenantRate] = {}
        self._next_sweep_at = now
        self._epoch = 0  # shared by all gateways, so that one that was dropped and returns gets no old epochs

    # Gateways

    def report(self, gateway: str, demand: dict[str, float], held: LeaseReport, now: float) -> QuotaLease | None:
        """Handle a gateway's report, and return the lease to answer with.

        `demand` is in requests per second by tenant, rejected ones included. Tenants that no gateway reports are
        leased if `tenants` lists them. Returns None if the report is late or of an ended process, or if the gateway
        has accepted a higher fencing token, so that this grantor has been replaced.
        """
        if held.fencing_token > self.fencing_token:
            return None
        self._sweep(now)
        state = self._sender(gateway, held, now)
        if state is None:
            return None
        state.sent_at = held.sent_at
        state.heard_at = now
        self._set_demand(state, demand)
        if not state.is_taken_over:
            if held.fencing_token != self.fencing_token:
                # Only the fencing token changes: the reported lease may expire or be lowered by an answer in flight.
                if held.shares and self._awaited_gateways is not None:
                    self._awaited_gateways.add(gateway)
                return QuotaLease(held.incarnation, held.sent_at, self.fencing_token, _TAKEN_OVER_EPOCH, 0.0, {})
            self._take_over(gateway, state, held, now)
        elif held.fencing_token == self.fencing_token:
            state.leases = [lease for lease in state.leases if lease.epoch >= held.epoch]
        self._update_in_use(state, now)
        return self._grant(state, now)

    def _sender(self, gateway: str, held: LeaseReport, now: float) -> _GatewayState | None:
        """Return the state of the reporting gateway; None if the report is late or of an ended process."""
        departure = self._departed.get(gateway)
        if departure is not None and held.incarnation <= departure.incarnation and now < departure.until:
            return None
        state = self._gateways.get(gateway)
        if state is not None and held.incarnation < state.incarnation:
            return None
        if state is not None and held.incarnation == state.incarnation:
            return state if held.sent_at > state.sent_at else None
        if state is not None:
            self._drop(gateway)  # the earlier process has ended, and its lease with it
        state = self._gateways[gateway] = _GatewayState(held.incarnation, not self._is_taking_over)
        return state

    def leave(self, gateway: str, incarnation: int, now: float) -> None:
        """Record that the gateway's process has stopped using its lease."""
        state = self._gateways.get(gateway)
        if state is not None and state.incarnation == incarnation:
            self._drop(gateway)
        self._departed[gateway] = _Departure(incarnation, now + self.terms.term_s + self.terms.margin_s)
        self._stop_awaiting(gateway)

    def is_taking_over(self, now: float) -> bool:
        """Return whether shares that nobody has reported may still be in use."""
        is_over = now >= self._takeover_ends_at or (self._awaited_gateways is not None and not self._awaited_gateways)
        if self._is_taking_over and is_over:
            self._is_taking_over = False
            for state in self._gateways.values():
                state.is_taken_over = True
        return self._is_taking_over

    def borrowers(self) -> set[str]:
        """Return the gateways that may hold a lease; the next grantor must know them."""
        return set(self._gateways) | (self._awaited_gateways or set() if self._is_taking_over else set())

    # Shares

    def in_use(self, tenant: str) -> float:
        """Return the share of a tenant's quota that may be in use by known gateways."""
        return self._in_use.get(tenant, 0) / SHARE_UNITS

    def reserve(self, tenant: str) -> float:
        """Return the part of the tenant's quota that is certainly not leased, and may be granted request by request."""
        if self._is_taking_over:
            return self.terms.reserve_fraction
        return max(self.terms.reserve_fraction, 1.0 - self.in_use(tenant))

    def _reserve_fraction(self, rate: float, gateways: int) -> float:
        """Return the fraction that is not to be leased: the smaller an even share, the larger."""
        terms = self.terms
        if not terms.reserve_fraction or rate <= 0.0:
            return terms.reserve_fraction
        shortfall = 1.0 - rate / (gateways * terms.thin_rate)
        return max(terms.reserve_fraction, min(terms.max_reserve_fraction, shortfall))

    def _stop_awaiting(self, gateway: str) -> None:
        if self._awaited_gateways is not None:
            self._awaited_gateways.discard(gateway)

    def _take_over(self, gateway: str, state: _GatewayState, held: LeaseReport, now: float) -> None:
        """Take over the shares that a gateway still holds after it has rejected the previous grantor."""
        state.is_taken_over = True
        claim = {tenant: share for tenant, share in held.shares.items() if share > 0}
        for tenant, share in claim.items():
            self._claimed[tenant] = self._claimed.get(tenant, 0) + share
        state.had_claim = bool(claim)
        if claim:
            until = now + self.terms.term_s + self.terms.margin_s
            state.leases.append(OutstandingLease(_TAKEN_OVER_EPOCH, until, claim))
        self._update_in_use(state, now)
        self._stop_awaiting(gateway)

    # Demand

    def _set_demand(self, state: _GatewayState, demand: dict[str, float]) -> None:
        total = self._demand
        for tenant, rate in state.demand.items():
            total[tenant] -= rate
        for tenant, rate in demand.items():
            is_new = tenant not in total and self._leased_to_all_gateways > 0
            if (
                is_new
                and len(self._leased_to_all) < MAX_TENANTS_LEASED_TO_ALL
                and self._is_leased_to_all(tenant, self._leased_to_all_gateways)
            ):
                self._leased_to_all.add(tenant)
            total[tenant] = total.get(tenant, 0.0) + rate
        state.demand = dict(demand)

    def _is_leased_to_all(self, tenant: str, gateways: int) -> bool:
        """Return whether the even share of a tenant is large enough to lease to a gateway without demand."""
        rate, reserve_fraction = self._tenant_rate(tenant, gateways)
        return not 0.0 < (1.0 - reserve_fraction) * rate / gateways < self.terms.min_idle_rate

    def _tenant_rate(self, tenant: str, gateways: int) -> _TenantRate:
        tenant_rate = self._tenant_rates.get(tenant)
        if tenant_rate is None:
            rate = self.rates(tenant)
            tenant_rate = self._tenant_rates[tenant] = _TenantRate(rate, self._reserve_fraction(rate, gateways))
        return tenant_rate

    def _tenants_leased_to_all(self, gateways: int) -> set[str]:
        """Return the tenants of which every gateway is granted a share.

        The result is cached, because iterating over thousands of tenants for each report would be too slow.
        """
        listed_tenants = self.tenants()
        if listed_tenants is not self._listed_tenants[0] or self._leased_to_all_gateways != gateways:
            self._listed_tenants = (listed_tenants, frozenset(listed_tenants))
            self._leased_to_all_gateways = gateways
            self._tenant_rates = {}
            candidates = self._demand.keys() | self._listed_tenants[1]
            to_all = [tenant for tenant in candidates if self._is_leased_to_all(tenant, gateways)]
            if len(to_all) > MAX_TENANTS_LEASED_TO_ALL:
                to_all = nlargest(
                    MAX_TENANTS_LEASED_TO_ALL, to_all, key=lambda tenant: (self._tenant_rates[tenant].rate, tenant)
                )
            self._leased_to_all = set(to_all)
        return self._leased_to_all

    # Sums

    def _update_in_use(self, state: _GatewayState, now: float) -> None:
        state.leases = [lease for lease in state.leases if lease.until > now]
        in_use: dict[str, int] = {}
        for lease in state.leases:
            for tenant, share in lease.shares.items():
                if share > in_use.get(tenant, 0):
                    in_use[tenant] = share
        total = self._in_use
        for tenant, share in state.in_use.items():
            total[tenant] -= share
        for tenant, share in in_use.items():
            total[tenant] = total.get(tenant, 0) + share
        state.in_use = in_use

    def _drop(self, gateway: str) -> None:
        state = self._gateways.pop(gateway)
        self._set_demand(state, {})
        state.leases = []
        self._update_in_use(state, state.heard_at)

    def _sweep(self, now: float) -> None:
        """Drop what has expired, and recompute the sums."""
        self.is_taking_over(now)
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + _SWEEP_INTERVAL_S
        max_silence_s = self.terms.term_s + self.terms.margin_s
        for gateway, state in list(self._gateways.items()):
            if now - state.heard_at > max_silence_s:
                self._drop(gateway)
            elif state.leases and state.leases[0].until <= now:
                self._update_in_use(state, now)
        # Recomputed, because adding and subtracting floating-point rates accumulates rounding errors.
        demand: dict[str, float] = {}
        for state in self._gateways.values():
            for tenant, rate in state.demand.items():
                demand[tenant] = demand.get(tenant, 0.0) + rate
        listed_tenants = self._listed_tenants[1]
        self._leased_to_all -= {
            tenant for tenant in self._leased_to_all if tenant not in demand and tenant not in listed_tenants
        }
        self._demand = demand
        self._in_use = {tenant: used for tenant, used in self._in_use.items() if used or tenant in demand}

    # Grants

    def _grant(self, state: _GatewayState, now: float) -> QuotaLease:
        terms, total = self.terms, self._in_use
        reporting = len(self._gateways)
        gateways = max(self.expected_gateways, reporting)
        # Gateways that have not reported yet are assumed to have the same demand, so that the first one to report is
        # not granted the whole quota.
        demand_fraction = (1.0 - terms.even_fraction) * reporting / gateways
        keeps_shares = state.had_claim and now < self._keep_shares_until
        current = state.leases[-1].shares if state.leases else {}
        shares: dict[str, int] = {}
        named = state.demand.keys() | self._tenants_leased_to_all(gateways)
        for tenant in named | current.keys() if keeps_shares else named:
            in_use = state.in_use.get(tenant, 0)
            share = self._wanted_share(tenant, state, gateways, demand_fraction)
            if keeps_shares:
                share = max(share, current.get(tenant, 0))
            if share > in_use:  # a raise is limited to what is free
                share = max(in_use, min(share, self._free_share(tenant, gateways) + in_use))
            if share:
                shares[tenant] = share
            if share > in_use:
                state.in_use[tenant] = share
                total[tenant] = total.get(tenant, 0) + share - in_use
        self._epoch += 1
        state.leases.append(OutstandingLease(self._epoch, now + terms.term_s + terms.margin_s, shares))
        return QuotaLease(state.incarnation, state.sent_at, self.fencing_token, self._epoch, terms.term_s, shares)

    def _wanted_share(self, tenant: str, state: _GatewayState, gateways: int, demand_fraction: float) -> int:
        """Return the share by demand, regardless of what is free.

        `demand_fraction` of the quota is divided by demand, `even_fraction` evenly.
        """
        terms = self.terms
        total = self._demand.get(tenant, 0.0)
        wanted = 1.0 / gateways
        if total > _NO_DEMAND:
            wanted = demand_fraction * state.demand.get(tenant, 0.0) / total + terms.even_fraction / gateways
        rate, reserve_fraction = self._tenant_rate(tenant, gateways)
        if not state.demand.get(tenant) and 0.0 < wanted * (1.0 - reserve_fraction) * rate < terms.min_idle_rate:
            return 0  # too small to admit a request within seconds; more useful in the reserve
        return int(wanted * self._leased_fraction(reserve_fraction) * SHARE_UNITS)

    def _leased_fraction(self, reserve_fraction: float) -> float:
        return 1.0 - (self.terms.reserve_fraction if self._is_taking_over else reserve_fraction)

    def _free_share(self, tenant: str, gateways: int) -> int:
        """Return the share of a tenant's quota that certainly nobody is using."""
        leased = int(SHARE_UNITS * self._leased_fraction(self._tenant_rate(tenant, gateways).reserve_fraction))
        free = leased - self._in_use.get(tenant, 0)
        if self._is_taking_over:
            free -= max(0, leased - self._claimed.get(tenant, 0))
        return free
