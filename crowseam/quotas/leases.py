"""Slices of the tenants' quotas, lent by one grantor to every gateway.

A slice is a share of a tenant's rate and burst. Shares are whole numbers of PARTS, so that sums are exact.
The grantor (Lender) sits where the duty for the shard is; a gateway keeps what it was lent in Holdings.

At any moment the shares that gateways may still be using, those cut off included, sum to at most 1:

- A lease ends by the gateway's own steady clock, counted from when the gateway SENT the report that was answered;
  the grantor counts from when it answered, and adds a margin for clocks that run unevenly.
- A raise is given only from what is free. After a lowering the old share counts as in use until the gateway
  names the new lease in a report, or until the old lease has ended.
- A new grantor knows nothing. First it has each gateway obey its fence, and so refuse the grantor before it; the
  gateway keeps what it holds. What it then reports is taken over as it is. What nobody has named may still be
  in use; it is free once all known gateways have been taken over, or when the longest lease of the grantor
  before must have ended.

All times are seconds of a steady clock.
"""

from collections.abc import Callable, Iterable
from heapq import nlargest

import msgspec

PARTS = 1_000_000
EXTRA_PART, EXTRA_MOST = 0.6, 4.0  # of what the rule leaves above the quota, cut evenly: requests that each
# bucket may hold beyond its slice of the burst; and no more than this
FLOOR_PART = 0.25  # of the same, cut evenly: what fills the buckets without a lease in a window
WIDE_MOST = 64  # tenants of which every gateway is lent something, those with the highest rates: what a
# gateway is asked of the others, it is lent after its first word of them
MANY = 64  # tenants of a lease from which on some share goes down with nearly each lease
PROMPT_GAP, PROMPT_PAUSE = 0.3, 0.4  # s after a report within which another one was a prompt one; between
# two of these because of shares that went down, where there are many
STRAYS = 3.0  # standard deviations left for chance, where a bucket is too small for a request


class Held(msgspec.Struct, array_like=True, tag="lending.held"):
    """What a gateway tells the grantor that it holds. Shares are in PARTS; `left` and `sent` in seconds."""

    life: int  # grows with each start of the gateway's process
    sent: float  # the gateway's clock as it sent this
    fence: int  # 0 = has never held a lease
    epoch: int
    left: float
    shares: dict[str, int]


class Lease(msgspec.Struct, array_like=True, tag="lending.lease"):
    """The grantor's answer. It holds `term` seconds from `sent`, a time the gateway had put into its report.

    Epoch 0 is a new grantor's first word: the gateway keeps what it holds, and obeys no lower fence any more.
    """

    life: int
    sent: float
    fence: int
    epoch: int
    term: float
    shares: dict[str, int]


class LeaseTerms(msgspec.Struct, frozen=True):
    """Figures of lending; every grantor of a day must use the same `term` and `margin`."""

    term: float = 8.0  # seconds a lease holds
    margin: float = 0.4  # seconds the grantor waits on top, for clocks that differ in speed by up to 2%
    reserve: float = 0.0  # the fraction of a quota that is not lent but drawn from, a request at a time
    reserve_most: float = 0.9  # the same where an even slice is thin
    thin: float = 1.0  # requests a second of an even slice below which less is lent
    least: float = 0.0  # requests a second below which nothing is lent to a gateway that is not asked
    even: float = 0.2  # the fraction of a quota that is dealt out evenly, whatever is asked
    keep: float = 1.5  # seconds after a take-over in which no share is lowered, as not all asks are known yet


class Lent(msgspec.Struct):
    """A lease given out that may be in use until `until` by the grantor's clock."""

    epoch: int
    until: float
    shares: dict[str, int]


class Borrower:
    """What the grantor knows of one gateway."""

    __slots__ = ("asks", "bound", "claimed", "heard", "lent", "life", "sent", "settled")

    def __init__(self, life: int, settled: bool) -> None:
        self.life = life
        self.sent = float("-inf")
        self.heard = 0.0
        self.settled = settled
        self.claimed = False  # it held a lease of the grantor before, fit to what that one knew of the asks
        self.asks: dict[str, float] = {}
        self.lent: list[Lent] = []
        self.bound: dict[str, int] = {}  # the most the gateway may be using now


class Lender:
    """Gives the slices of one shard of tenants, as long as the duty holds under `fence`.

    `known` names the gateways that may hold leases of an earlier grantor (empty: none was ever given; None: not
    known, so that the time alone counts). `expect` is the number of gateways there are as far as sessions
    tell. `tenants` is to give the very same object until the tenants or their rates change. A Lender is made
    anew for each fence, and must not be asked once the duty is lost.
    """

    def __init__(
        self,
        fence: int,
        known: set[str] | None,
        expect: int,
        now: float,
        terms: LeaseTerms | None = None,
        rates: Callable[[str], float] = lambda tenant: 0.0,
        tenants: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.fence = fence
        self.terms = terms or LeaseTerms()
        self.expect = expect
        self.tenants = tenants  # those with a quota, whether asked for or not
        self.rates = rates  # requests a second of each tenant's quota; 0: not known
        self._awaited = None if known is None else set(known)
        self._sealed = known is None or bool(known)
        self._sealed_until = now + self.terms.term + self.terms.margin
        self._keep_until = now + self.terms.keep if self._sealed else now
        self._gateways: dict[str, Borrower] = {}
        self._ended: dict[str, tuple[int, float]] = {}  # the life that left, and when that may be forgotten
        self._used: dict[str, int] = {}  # sum of the bounds by tenant
        self._claimed: dict[str, int] = {}  # sum of what was taken over by tenant, while sealed
        self._asked: dict[str, float] = {}
        # Tenants of which a gateway gets something that is not asked for them: of thousands, few.
        self._wide: set[str] = set()
        self._listed: tuple[Iterable[str], frozenset[str]] = ((), frozenset())
        self._wide_for = 0  # the number of gateways that this is so for
        self._parts: dict[str, tuple[float, float]] = {}  # the rate, and the part not lent, by tenant
        self._next_sweep = now
        self._epoch = 0  # one count for all gateways: one forgotten that returns must not get old ones

    def report(self, gateway: str, asks: dict[str, float], held: Held, now: float) -> Lease | None:
        """Takes a gateway's report (`asks`: requests a second by tenant, refused ones included, 0 for the
        silent).

        Tenants that no gateway lists are lent as `tenants` names them.
        Returns the lease to answer with, or None if the report is late, of an ended process, or if the gateway
        has obeyed a higher fence: this grantor's time is over then.
        """
        if held.fence > self.fence:
            return None
        self._sweep(now)
        ended = self._ended.get(gateway)
        if ended is not None and held.life <= ended[0] and now < ended[1]:
            return None
        known = self._gateways.get(gateway)
        if known is not None and held.life < known.life:
            return None
        if known is None or held.life > known.life:
            if known is not None:
                self._drop(gateway)  # the earlier process is dead, and its shares with it
            known = self._gateways[gateway] = Borrower(held.life, not self._sealed)
        elif held.sent <= known.sent:
            return None
        known.sent, known.heard = held.sent, now
        self._hear(known, asks)
        if not known.settled:
            if held.fence != self.fence:
                # Only the fence changes hands: what is named here may have run out or gone down under way.
                if held.shares and self._awaited is not None:
                    self._awaited.add(gateway)
                return Lease(held.life, held.sent, self.fence, 0, 0.0, {})
            self._settle(gateway, known, held, now)
        elif held.fence == self.fence:
            known.lent = [lent for lent in known.lent if lent.epoch >= held.epoch]
        self._rebound(known, now)
        return self._give(known, now)

    def leave(self, gateway: str, life: int, now: float) -> None:
        """The gateway's process has said that it uses nothing any more."""
        known = self._gateways.get(gateway)
        if known is not None and known.life == life:
            self._drop(gateway)
        self._ended[gateway] = (life, now + self.terms.term + self.terms.margin)
        self._came(gateway)

    def sealed(self, now: float) -> bool:
        """Whether shares that nobody has named may still be in use."""
        if self._sealed and (now >= self._sealed_until or self._awaited is not None and not self._awaited):
            self._sealed = False
            for known in self._gateways.values():
                known.settled = True
        return self._sealed

    def borrowers(self) -> set[str]:
        """The gateways that may hold a lease; the next grantor is to know them."""
        return set(self._gateways) | (self._awaited or set() if self._sealed else set())

    def used(self, tenant: str) -> float:
        """The share of a tenant's quota that may be in use, as far as gateways are known."""
        return self._used.get(tenant, 0) / PARTS

    def reserve(self, tenant: str) -> float:
        """The part of the tenant's quota that no slice may be using: it may be handed out by the request."""
        if self._sealed:
            return self.terms.reserve
        return max(self.terms.reserve, 1.0 - self.used(tenant))

    def _kept(self, tenant: str, gateways: int) -> float:
        """The part that is not to be lent: the thinner an even slice, the more."""
        terms = self.terms
        if not terms.reserve or (rate := self.rates(tenant)) <= 0.0:
            return terms.reserve
        return max(terms.reserve, min(terms.reserve_most, 1.0 - rate / (gateways * terms.thin)))

    def _came(self, gateway: str) -> None:
        if self._awaited is not None:
            self._awaited.discard(gateway)

    def _settle(self, gateway: str, known: Borrower, held: Held, now: float) -> None:
        """Takes over what a gateway still held after it had begun to refuse the grantor before."""
        known.settled = True
        claim = {tenant: share for tenant, share in held.shares.items() if share > 0}
        for tenant, share in claim.items():
            self._claimed[tenant] = self._claimed.get(tenant, 0) + share
        known.claimed = bool(claim)
        if claim:
            until = now + self.terms.term + self.terms.margin
            known.lent.append(Lent(0, until, claim))
        self._rebound(known, now)
        self._came(gateway)

    def _hear(self, known: Borrower, asks: dict[str, float]) -> None:
        asked = self._asked
        for tenant, rate in known.asks.items():
            asked[tenant] -= rate
        for tenant, rate in asks.items():
            if (
                tenant not in asked
                and self._wide_for
                and len(self._wide) < WIDE_MOST
                and self._is_wide(tenant, self._wide_for)
            ):
                self._wide.add(tenant)
            asked[tenant] = asked.get(tenant, 0.0) + rate
        known.asks = dict(asks)

    def _is_wide(self, tenant: str, gateways: int) -> bool:
        """Whether the even slice of a tenant is worth lending to a gateway that is not asked for it."""
        rate, kept = self._part(tenant, gateways)
        return not 0.0 < (1.0 - kept) * rate / gateways < self.terms.least

    def _part(self, tenant: str, gateways: int) -> tuple[float, float]:
        """The tenant's rate, and the part of it that is not to be lent once nothing is sealed."""
        part = self._parts.get(tenant)
        if part is None:
            part = self._parts[tenant] = (self.rates(tenant), self._kept(tenant, gateways))
        return part

    def _to_all(self, gateways: int) -> set[str]:
        """The tenants, asked for or listed, of which every gateway is lent something.

        To go through all tenants with each report cost 5 ms of the processor for 4,250 of them.
        """
        listed = self.tenants()
        if listed is not self._listed[0] or self._wide_for != gateways:
            self._listed = (listed, frozenset(listed))
            self._wide_for = gateways
            self._parts = {}
            wide = [tenant for tenant in self._asked.keys() | self._listed[1] if self._is_wide(tenant, gateways)]
            if len(wide) > WIDE_MOST:
                wide = nlargest(WIDE_MOST, wide, key=lambda tenant: (self._parts[tenant][0], tenant))
            self._wide = set(wide)
        return self._wide

    def _rebound(self, known: Borrower, now: float) -> None:
        known.lent = [lent for lent in known.lent if lent.until > now]
        bound: dict[str, int] = {}
        for lent in known.lent:
            for tenant, share in lent.shares.items():
                if share > bound.get(tenant, 0):
                    bound[tenant] = share
        used = self._used
        for tenant, share in known.bound.items():
            used[tenant] -= share
        for tenant, share in bound.items():
            used[tenant] = used.get(tenant, 0) + share
        known.bound = bound

    def _drop(self, gateway: str) -> None:
        known = self._gateways.pop(gateway)
        self._hear(known, {})
        known.lent = []
        self._rebound(known, known.heard)

    def _sweep(self, now: float) -> None:
        """Takes back what has ended, and settles the sums; every quarter of a second is soon enough."""
        self.sealed(now)
        if now < self._next_sweep:
            return
        self._next_sweep = now + 0.25
        silence = self.terms.term + self.terms.margin
        for gateway, known in list(self._gateways.items()):
            if now - known.heard > silence:
                self._drop(gateway)
            elif known.lent and known.lent[0].until <= now:
                self._rebound(known, now)
        # Rates are fractions: summed afresh, what was added and taken away leaves nothing behind.
        asked: dict[str, float] = {}
        for known in self._gateways.values():
            for tenant, rate in known.asks.items():
                asked[tenant] = asked.get(tenant, 0.0) + rate
        self._wide -= {tenant for tenant in self._wide if tenant not in asked and tenant not in self._listed[1]}
        self._asked = asked
        self._used = {tenant: used for tenant, used in self._used.items() if used or tenant in asked}

    def _give(self, known: Borrower, now: float) -> Lease:
        terms, used, asked = self.terms, self._used, self._asked
        heard = len(self._gateways)
        gateways = max(self.expect, heard)
        # Gateways not heard yet are taken to ask like the others, or the first one would be given everything.
        scale = (1.0 - terms.even) * heard / gateways
        keep = known.claimed and now < self._keep_until
        current = known.lent[-1].shares if known.lent else {}
        shares: dict[str, int] = {}
        named = known.asks.keys() | self._to_all(gateways)
        for tenant in named | current.keys() if keep else named:
            total = asked.get(tenant, 0.0)
            want = 1.0 / gateways
            if total > 1e-6:
                want = scale * known.asks.get(tenant, 0.0) / total + terms.even / gateways
            rate, kept = self._part(tenant, gateways)
            lent = 1.0 - (terms.reserve if self._sealed else kept)
            whole = int(PARTS * lent)
            share = int(want * lent * PARTS)
            if not known.asks.get(tenant) and 0.0 < want * (1.0 - kept) * rate < terms.least:
                share = 0  # no request would pass by it in seconds; it does more in the reserve
            if keep:
                share = max(share, current.get(tenant, 0))
            bound = known.bound.get(tenant, 0)
            free = whole - used.get(tenant, 0) + bound
            if self._sealed:
                free -= max(0, whole - self._claimed.get(tenant, 0))
            if share > bound:  # no more than there is; what is not raised needs nothing
                share = max(bound, min(share, free))
            if share:
                shares[tenant] = share
            if share > bound:
                known.bound[tenant] = share
                used[tenant] = used.get(tenant, 0) + share - bound
        self._epoch += 1
        known.lent.append(Lent(self._epoch, now + terms.term + terms.margin, shares))
        return Lease(known.life, known.sent, self.fence, self._epoch, terms.term, shares)


class Known:
    """Which gateways may hold leases of the grantor before, as one controller sees it: what a new Lender is to know.

    `gateways` are those that its disk names; `whole` says that these are all there were when it ended. Without
    a disk, after standing still, and after a time out of touch with most controllers, gateways may have been
    lent to unseen: then None is known, until `lasts` seconds have gone by.
    """

    GAP = 2.0  # seconds without a look, or out of touch, after which something may have been missed

    def __init__(self, gateways: Iterable[str], whole: bool, now: float, lasts: float) -> None:
        self.lasts = lasts
        self._seen = dict.fromkeys(gateways, now)
        self._blind_until = now if whole else now + lasts
        self._looked = now
        self._touched: float | None = None  # when it was last in touch, once it has been

    def saw(self, gateways: Iterable[str], now: float) -> None:
        """These are members, or have just been answered with a lease."""
        for gateway in gateways:
            self._seen[gateway] = now

    def look(self, now: float, in_touch: bool) -> None:
        """To be called at each tick."""
        if in_touch:
            if self._missed(now):
                self._blind_until = now + self.lasts
            self._touched = now
        elif now - self._looked > self.GAP:
            self._blind_until = now + self.lasts
        self._looked = now

    def _missed(self, now: float) -> bool:
        """Whether nothing was heard for so long that gateways may have come and been lent to."""
        since = self._looked if self._touched is None else min(self._looked, self._touched)
        return now - since > self.GAP

    def lately(self, now: float) -> set[str]:
        """The gateways that were seen in the last `lasts` seconds: those to keep on disk."""
        self._seen = {gateway: at for gateway, at in self._seen.items() if now - at < self.lasts}
        return set(self._seen)

    def known(self, now: float) -> set[str] | None:
        """What a Lender made now is to know."""
        return None if now < self._blind_until or self._missed(now) else self.lately(now)


class Reserve:
    """The part of each quota that the grantor keeps and hands out by the request, where a slice is used up.

    It begins empty with each grantor, so that what an earlier one has handed out is reckoned with.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._levels: dict[str, tuple[float, float]] = {}  # tenant -> requests there are, when

    def draw(self, tenant: str, rate: float, burst: float, count: int, now: float) -> tuple[int, float]:
        """How many of `count` requests may pass, and the seconds until there is one more.

        `rate` and `burst` are the part of the tenant's quota that is kept, in requests a second and requests.
        """
        depth = max(1.0, burst)
        level, at = self._levels.get(tenant, (0.0, self._since))
        level = min(depth, level + rate * max(0.0, now - at))
        given = min(count, int(level + 1e-9))
        level -= given
        self._levels[tenant] = (level, now)
        return given, max(0.0, 1.0 - level) / max(rate, 1e-6)


class Holdings:
    """What one gateway holds of one shard. `life` must grow with each start of the process."""

    def __init__(self, life: int) -> None:
        self.life = life
        self.fence = 0
        self._epoch = 0
        self._until = float("-inf")
        self._shares: dict[str, int] = {}
        self._news: set[str] = set()  # tenants whose share, or its end, nobody has asked for since
        self._reported = self._prompted = float("-inf")
        self._over = True  # whether they were told that the lease is over

    def take(self, lease: Lease, now: float) -> bool:
        """Takes a lease unless it is late or of an earlier grantor.

        Returns True if a share went down by a fiftieth of the quota or more, or the grantor is new: others
        wait for that to be confirmed, so the next report is best sent at once.  Not again, for shares, within
        PROMPT_PAUSE where a lease names many tenants: each then lowers one of them, and four leases answer
        each report.
        """
        if lease.life != self.life or lease.fence < self.fence:
            return False
        if lease.fence == self.fence and lease.epoch <= self._epoch:
            return False
        news = lease.fence > self.fence
        lowered = bool(lease.epoch) and any(
            share - lease.shares.get(tenant, 0) >= PARTS // 50 for tenant, share in self._shares.items()
        )
        self.fence, self._epoch = lease.fence, lease.epoch
        if lease.epoch:
            self._until = lease.sent + lease.term
            self._news |= self._shares.keys() | lease.shares.keys()
            self._shares, self._over = lease.shares, False
        return news or lowered and (len(lease.shares) < MANY or now - self._prompted >= PROMPT_PAUSE)

    def share(self, tenant: str, now: float) -> float | None:
        """The share of the tenant's quota this gateway may use (0 to 1), or None without a lease."""
        if now >= self._until:
            return None
        share = self._shares.get(tenant)
        return None if share is None else share / PARTS

    def news(self, now: float) -> set[str]:
        """The tenants whose share or whose lease's end is another than when this was last called."""
        if not self._over and now >= self._until:
            self._over = True
            self._news |= self._shares.keys()
        news, self._news = self._news, set()
        return news

    def left(self, now: float) -> float:
        """Seconds until the lease ends."""
        return max(0.0, self._until - now)

    def to_report(self, now: float) -> Held:
        """What to tell the grantor; to be sent at once, and each report later than the one before."""
        left = self.left(now)
        if now - self._reported < PROMPT_GAP:
            self._prompted = now
        self._reported = now
        return Held(self.life, now, self.fence, self._epoch, left, self._shares if left else {})


def floor_rate(rate: float, burst: float, window: float, excess: float, slack: float, gateways: int) -> float:
    """Requests in any span of `window` seconds by which a gateway without a lease fills its bucket of a tenant.

    A quarter of what the rule allows above the quota, cut evenly over `gateways`: the buckets of all of them
    may hold most of the rest when the span begins. `rate` is in requests a second; 0 means no limit
    (infinity is returned).
    """
    if rate <= 0:
        return float("inf")
    return FLOOR_PART * (slack + excess * (rate * window + burst)) / max(1, gateways)


def beside_slices(
    rate: float,
    burst: float,
    window: float,
    excess: float,
    slack: float,
    gateways: int,
) -> tuple[float, float]:
    """What one of `gateways` gateways may pass of a tenant by itself: without a lease, requests a second; and what
    its bucket may hold beyond its slice of the burst, in requests."""
    spare = excess * (rate * window + burst) + slack
    floor = floor_rate(rate, burst, window, excess, slack, gateways) / window
    extra = min(EXTRA_PART * spare, max(0.0, spare - STRAYS * 0.5 * max(1, gateways) ** 0.5))
    return floor, min(EXTRA_MOST, extra / max(1, gateways))
