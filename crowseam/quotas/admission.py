"""Admission by the design: quota slices of tenants at one ingress, and cuts while one tenant fails.

`Admission` decides for each request whether its tenant may pass now.  It is clock-free: every `now` is in
seconds of one steady clock, and may not go back.  What the slices are is decided elsewhere (`slice_of`);
regions, steps and the return of room are `fennelpoint.regions`, which the menu ingress runs too.

A bucket holds `burst * share + extra` requests and fills at `rate * share` a second.  As the shares of all
ingresses sum to one at most, they pass `rate * span + burst + N * extra` together in any span: the caller
keeps N * extra within what the rules leave.  A slice that is lost takes what it held with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, inf, log
from random import Random
from typing import NamedTuple, Protocol

from fennelpoint.regions import PERIOD, Flow, Regulator

PUBLIC = ""  # the flow of requests that belong to no tenant
ASKED_HALF = 2.0  # s for an ask to count half
FADE = log(2.0) / ASKED_HALF
FEWEST_ASKS = 0.01  # asks a second that count as none
RATIO_MOST = 3.0  # guards against one stalled answer that fails a tenant for seconds
KEPT = 0.4  # of a tenant's asks within its quota that pass however long it is cut: nobody is starved
FORGET = 15.0  # s after which a cut of a tenant that asks no more ends
FLOOR_SPAN = 1.0  # s of the floor that a bucket without a lease saves up
FLOOR_EXTRA = 0.5  # of the extra, up to one request, that it may hold besides
WAIT_MOST = 5.0  # s, longest wait told: slices and cuts have changed by then


class AdmissionError(Exception):
    """A tenant was named that the configuration does not have."""


class Terms(Protocol):
    """A tenant's terms: requests a second (0: no limit), burst on top, rank (0 the highest, None: none)."""

    rate: float
    burst: float
    prio: int | None


@dataclass(slots=True, frozen=True)
class TenantTerms:
    rate: float = 0.0
    burst: float = 0.0
    prio: int | None = None


class Verdict(NamedTuple):
    ok: bool
    wait: float = 0.0  # s until it may pass, as things stand
    reason: str = ""  # "quota" or "cut" where it may not


class Held(NamedTuple):
    share: float | None  # of the quota, None without a lease
    level: float  # requests in the bucket
    cap: float | None  # requests a second while it is cut


@dataclass(slots=True, eq=False)
class Tenant(Flow):
    terms: Terms = field(default_factory=TenantTerms, kw_only=True)
    share: float | None = None
    until: float = inf  # when the lease of the share ends
    floor: float = 0.0  # requests a second without a lease
    roomy: bool = False  # all asks of the tenant fit in its quota, by the grantor's last word
    extra: float = 0.0  # requests that the bucket may hold beyond its slice
    level: float = 0.0
    lent: float = 0.0  # requests that may pass beyond the slice, handed out one by one
    filled: float = 0.0
    asked: float = 0.0  # asks, fading
    asked_at: float = 0.0
    luck: float = 0.0  # what buckets too small for a request have held when asked, less those passed

    @property
    def limited(self) -> bool:
        return self.terms.rate > 0.0

    def pace(self) -> float:
        """Requests a second that its quota gives here; inf without a limit."""
        if not self.limited:
            return inf
        return self.floor if self.share is None else self.terms.rate * self.share

    def depth(self) -> float:
        """Requests that the bucket holds at most."""
        if self.share is None:
            return FLOOR_EXTRA * min(1.0, self.extra) + self.floor * FLOOR_SPAN
        deep = self.terms.burst * self.share + self.extra
        return max(1.0, deep) if self.roomy else deep

    def fill(self, now: float) -> None:
        # Called for each tenant at each look at the leases: no calls where a comparison does.
        span = now - self.filled
        if span > 0.0:
            self.filled = now
        else:
            span = 0.0
        if now >= self.until:
            # Asks can come before the next look at the leases, above all after standing still.
            self.share, self.until = None, inf
        if self.terms.rate > 0.0:
            level, depth = self.level + self.pace() * span, self.depth()
            self.level = level if level < depth else depth
        if self.cap is not None:
            self.fill_cap(max(1.0, self.cap), span)

    def ask(self, now: float) -> None:
        self.asked, self.asked_at, self.seen = self.asked_now(now) + 1.0, now, now

    def asked_now(self, now: float) -> float:
        return self.asked * exp(-FADE * max(0.0, now - self.asked_at))


def worth_of(prio: int) -> float:
    """The worth that a rank stands for: the lower the number, the more."""
    return 1.0 / (1.0 + max(0, prio))


def meet_below(failed: list[Flow], meet: list[Flow]) -> list[Flow]:
    """Those that meet quota and aim and may be cut: worth less than what fails; all where none is."""
    most = max((c.worth for c in failed), default=0.0)
    return [c for c in meet if c.worth < most] or meet


class Admission:
    """Which requests pass at one ingress: give it asks, sends and answers, and a `period` each 0.5 s.

    `extra` is what one ingress may pass beyond its slice of a burst, in requests; set it anew as the number
    of ingresses changes.  Methods raise AdmissionError for tenants that `configure` did not name.
    """

    def __init__(self, now: float, rng: Random, extra: float = 0.0) -> None:
        self.random, self.extra = rng, extra
        self.tenants: dict[str, Tenant] = {PUBLIC: Tenant(PUBLIC, filled=now)}
        self._asking: dict[str, Tenant] = {}  # those with asks that still count
        self.regulator = Regulator(Tenant.pace, meet_below, self._kept)
        self.period_at = now

    def configure(self, tenants: dict[str, Terms], now: float, changed: Iterable[str] | None = None) -> None:
        """Take a new version's tenants; known ones keep what they hold, as far as it fits their new terms.

        `changed`: the names that are new, altered or gone; None where that isn't known.
        """
        names = self.tenants.keys() | tenants.keys() if changed is None else changed
        for name in [name for name in names if name not in tenants and name != PUBLIC]:
            self.tenants.pop(name, None)
            self._asking.pop(name, None)
            self.regulator.active.pop(name, None)
        for name, terms in (
            tenants.items() if changed is None else ((name, tenants[name]) for name in changed if name in tenants)
        ):
            if (t := self.tenants.get(name)) is None:
                # A bucket starts empty: what an earlier life of this ingress has sent is not known.
                t = self.tenants[name] = Tenant(name, filled=now, extra=self.extra, luck=self.random.random())
            t.fill(now)
            t.terms, t.worth = terms, worth_of(terms.prio) if terms.prio is not None else t.worth
            t.fill(now)

    def slice_of(
        self,
        tenant: str,
        share: float | None,
        now: float,
        floor: float = 0.0,
        roomy: bool = False,
        extra: float | None = None,
        until: float = inf,
    ) -> None:
        """This ingress's part of the quota until then, 0 to 1; None: no lease, `floor` requests a second.

        `roomy` says that all asks fit in the quota: even the smallest slice then saves up one request.
        """
        t = self._tenant(tenant)
        t.fill(now)
        t.share, t.floor, t.roomy, t.until = share, floor, roomy, until
        t.extra = t.extra if extra is None else extra
        t.fill(now)

    def admit(self, tenant: str, worth: float, now: float, again: bool = False) -> Verdict:
        """Whether a request passes now; one that does has taken its place in the quota and under the cut.

        `worth` ranks the tenant where its terms do not.  `again`: it has asked here before and was held.
        """
        t = self._tenant(tenant)
        if not again:
            t.ask(now)
            self._asking[tenant] = t
        if t.terms.prio is None:
            t.worth = max(t.worth, worth)
        t.fill(now)
        lacks = t.limited and t.level < 1.0 and t.lent < 1.0
        cut = t.cap is not None and t.cap_level < 1.0
        if cut or (lacks and not self._drawn(t)):
            wait = self._until_one(t) if lacks else 0.0
            wait = max(wait, (1.0 - t.cap_level) / max(t.cap, 1e-3)) if cut else wait
            return Verdict(False, min(WAIT_MOST, wait), "quota" if lacks else "cut")
        if t.limited and t.level < 1.0 <= t.lent:
            t.lent -= 1.0
        elif t.limited:
            t.level = max(0.0, t.level - 1.0)
        if t.cap is not None:
            t.cap_level -= 1.0
        return Verdict(True)

    def _drawn(self, t: Tenant) -> bool:
        """Whether one passes from a bucket that can't hold one: the smaller it is, the seldomer.

        Else none ever would.  What it held is gone either way, and one passes each time that so much has been
        held as makes one; the first comes by chance, so that over all ingresses as many pass as their slices
        hold together.  With N ingresses that sum strays by sqrt(N) / 2 at most (a standard deviation).
        """
        if t.depth() >= 1.0:
            return False
        t.luck, t.level = t.luck + t.level, 0.0
        if t.luck < 1.0:
            return False
        t.luck -= 1.0
        return True

    def _until_one(self, t: Tenant) -> float:
        """Seconds until the bucket holds one request, or all that it can hold."""
        return max(1e-3, min(1.0, t.depth()) - t.level) / max(t.pace(), 1e-3)

    def give_back(self, tenant: str, now: float) -> None:
        """A request that passed came to no server and never will: its place in the quota is free again."""
        t = self._tenant(tenant)
        t.fill(now)
        if t.limited:
            t.level = min(t.depth(), t.level + 1.0)

    def lend(self, tenant: str, count: int, now: float) -> None:
        """So many requests may pass beyond the slice: the grantor has handed them out."""
        # Not in the bucket: a slice that is lowered takes what it held with it, as others hold that now.
        self._tenant(tenant).lent += count

    def sent(self, tenant: str, work: float, now: float, first: bool = True) -> None:
        """An attempt was sent, with about `work` s for its server; only the `first` counts as a request."""
        self.regulator.sent(self._tenant(tenant), float(first), work)

    def answered(self, tenant: str, latency: float, target: float, now: float) -> None:
        """An answer came `latency` s after its request, whose aim is `target` s."""
        self.regulator.answered(self._tenant(tenant), min(RATIO_MOST, latency / max(target, 1e-3)))

    def period(self, now: float) -> None:
        """Place every tenant, cut or give room back; to be called about each PERIOD seconds."""
        if (span := now - self.period_at) < PERIOD / 4:
            return
        self.period_at = now
        for t in list(self.regulator.active.values()):
            t.fill(now)  # what the cut let through until now goes by the old cut
        self.regulator.regulate(span)
        self.regulator.rest(now - FORGET)

    def _kept(self, t: Tenant) -> float:
        """Requests a second that a tenant keeps under a cut."""
        return KEPT * min(t.pace(), FADE * t.asked_now(self.period_at))

    def asks(self, now: float) -> dict[str, float]:
        """Asks a second here by tenant, refused ones included; those that hardly ask are left out."""
        rates = {name: FADE * t.asked_now(now) for name, t in self._asking.items() if name != PUBLIC}
        # Asks only fade until the next one, which brings the tenant back.
        rates = {name: rate for name, rate in rates.items() if rate >= FEWEST_ASKS}
        if len(rates) < len(self._asking):
            self._asking = {name: self._asking[name] for name in rates}
        return rates

    def held(self, now: float) -> dict[str, Held]:
        """What each tenant holds here."""
        for t in self.tenants.values():
            t.fill(now)
        return {name: Held(t.share, t.level, t.cap) for name, t in self.tenants.items() if name != PUBLIC}

    def _tenant(self, name: str) -> Tenant:
        if (t := self.tenants.get(name)) is None:
            raise AdmissionError(f"no tenant {name!r}")
        return t
