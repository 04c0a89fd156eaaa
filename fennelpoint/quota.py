"""Customers' quotas: the buckets of their slices, and the counter by which ingresses share each quota."""

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Customer, Try
from fennelpoint.upkeep import fill, forget, new_total
from fennelpoint.window import LEARN, TARGET

COUNT_PERIOD = 1.0  # s; a counter call has a price
SILENT_AFTER, FORGET_COUNT = 1.0, 60.0  # s: the counter is silent; a count's longest life
BACK_OFF, BACK_OFF_MOST = 0.25, 8.0  # s of pause after a lost call, half of the first; at most
SHORT_FOR, READ_LEAST = 6.0, 0.15  # s after units were missing; s between two reads
READ_PART, LOW_PART = 0.25, 0.1  # of the s in which a store fills, between reads: while short; when low
OTHERS, DEBT, REPAY = 1.5, 0.1, 0.5  # what others may take over the expected; of the burst; paid at a read
LOW, KEPT = 0.5, 0.35  # of what a read granted: read anew below; of the even part of a burst, kept at a read
SPARED = 1 << 40  # over all keys; a key and this is the counter's name for what was asked and not taken
ASKED_HALF, SPARSE = 2.0, 10.0  # s: asks count half in a share; to fill one request: past it each try asks
WINDOW, CROWDED = 1.0, 0.6  # burst spans that its asks are counted over; of the time-out: stood in line
SPARE_ASKS = 4.0  # times as soon as first tries, repeats and what costs nothing are asked less
ASK_GAIN, ASK_EASE, ASK_LOSS, LEAST_ASKING = 0.05, 0.9, 0.6, 0.1  # asking share: quick, crowded, none; least
KEPT_BACK = 0.5  # of the ceiling: beyond quotas nothing is sent past this
FORGET, SWEEP = 15.0, 2  # s after which an idle customer is forgotten, and how many are looked at a try


class Quotas:
    """The customers and their buckets at one ingress.

    Counter calls to be made are returned, and their replies are given to `counted`, `spared` and `answered`.
    """

    def __init__(self, settings: api.Settings, random: Random, now: float) -> None:
        self.settings, self.random = settings, random
        self.customers: dict[int, Customer] = {}  # the longest unseen first
        self.heard_at = -inf  # when the counter last answered a sparse try
        self.asking = 1.0  # share of sparse tries that ask
        # That a sparse try has room: a customer's first one here for a while, another one, a repeat.
        self.odds = [[1.0, 1.0, 0.3] for _ in settings.plans]
        self.began = now  # its parts of ceilings are its own from then on
        self.part = 1.0  # of this ingress's allowances; the rest is with another process of it

    def take_part(self, part: float, now: float) -> None:
        """Share the allowances with another process as if each customer's set were so much wider.

        What was saved up shrinks with the part, and does not grow with it: the other one may have used it.
        """
        wider, self.part, self.began = self.part / part, part, now
        for c in self.customers.values():
            self.fill(c, now)
            c.width, c.share = c.width * wider, min(1.0, c.share / wider)
            if wider > 1.0:
                c.level, c.ceiling, c.granted = c.level / wider, c.ceiling / wider, c.granted / wider

    def customer(self, ask: api.Request, now: float) -> Customer:
        plan, whole = self.settings.plans[ask.plan], max(1.0, ask.width)
        width = whole / self.part
        if (c := self.customers.pop(ask.customer, None)) is None:
            c = Customer(
                ask.customer,
                ask.plan,
                width,
                1.0 / width,
                max(plan.burst / width, ask.units),
                store=plan.burst,
                filled=now,
                total_at=now,
                count_at=now + self.random.uniform(0.3, 1.0) * COUNT_PERIOD,
            )
            # What its part gave while no more than this process can have used it: guards the ceiling after a
            # restart, which does not fill it, and where a customer was forgotten for a while.
            c.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * min(now - self.began, FORGET)) / width
            if self.settings.has_counter and 0.0 < plan.rate * SPARSE < self.settings.most_units * whole:
                c.window = min(FORGET_COUNT, WINDOW * plan.burst / plan.rate)
        c.met = now - c.seen < c.window
        self.customers[ask.customer], c.seen = c, now
        forget(self.customers, SWEEP, now - FORGET)
        return c

    def fill(self, c: Customer, now: float) -> None:
        plan, most = self.settings.plans[c.plan], self.settings.most_units
        fill(c, plan, max(plan.burst * c.share, min(plan.burst, most)), max(c.cap or 0.0, most), now)

    def rate_here(self, c: Customer) -> float:
        """Units a second of its quota here."""
        return self.settings.plans[c.plan].rate * c.share

    def room(self, t: Try, pressed: bool, now: float) -> bool | None:
        """Whether an uncharged try would be inside its quota now; None where it may not be sent at all."""
        c, units, plan = t.customer, t.ask.units, self.settings.plans[t.ask.plan]
        self.fill(c, now)
        if (plan.ceiling_rate and c.ceiling < units) or (
            c.cap is not None and c.cap_level < min(units, max(c.cap, self.settings.most_units))
        ):
            return None
        room = not plan.rate or (c.level >= units if t.inside is None else t.inside)
        inside = room and not (plan.open_limit and c.open >= max(1, round(plan.open_limit * c.share)))
        if not inside and (plan.over_worth <= 0.0 or pressed):
            c.short_at = now
            return None
        # Guards the room inside the quota: what is worth little used the ceiling up where attempts out
        # were at their limit, and the next ones inside had none left.
        # Of a part that holds hardly two requests nothing is kept: whether a try is inside can't be told
        # there, and what is refused is mostly that.
        part = plan.ceiling_burst / c.width
        kept = min(KEPT_BACK * part, max(0.0, part - 2.0 * units))
        if not inside and plan.ceiling_rate and c.ceiling < units + kept:
            return None
        return inside

    def charge(self, t: Try, inside: bool) -> None:
        """A try is sent for the first time."""
        c, units = t.customer, t.ask.units
        c.ceiling, c.cap_level = c.ceiling - units, c.cap_level - units
        c.level -= min(c.level, units) if inside and self.settings.plans[c.plan].rate else 0.0
        c.fresh, c.own = c.fresh + units * inside, c.own + units * inside
        c.spared += units * (not inside)

    def wait(self, t: Try) -> float:
        """Seconds until the bucket holds its units and those that wait before it; may be below 0."""
        c, plan = t.customer, self.settings.plans[t.ask.plan]
        need = t.ask.units + c.held
        rate = plan.rate * max(c.share, 0.01) if t.inside is None and plan.rate else inf
        wait = (need - c.level) / rate
        return max(wait, (need - c.ceiling) * c.width / plan.ceiling_rate) if plan.ceiling_rate else wait

    def due(self, t: Try) -> float:
        """When its bucket, filled by time alone, can hold its units; -inf where nothing hangs on that."""
        c, plan = t.customer, self.settings.plans[t.ask.plan]
        if t.charged or t.inside is not None or not plan.rate or plan.over_worth > 0.0:
            return -inf
        return c.filled + (t.ask.units - c.level) / (plan.rate * max(c.share, 0.01))

    def count(self, c: Customer, now: float) -> list[api.Action]:
        """Tell the counter what was taken from the quota, once a period, and learn what all ingresses took.

        What is refused takes nothing: told as taken, it emptied a store that no one had used, at every
        ingress, for all who ask for about their quota.  It is told to a name of its own, as the shares go by
        all that is asked, and only while the customer is short here.  Then, and once half of what a read
        granted is gone, the next read does not wait for the period.  This covers retries, floods and sudden
        crowds of one customer alike.  It would hurt where many customers are short at once and the counter
        can't bear three calls for one.
        """
        if not self.settings.has_counter or c.calling is not None:
            return []
        plan, period = self.settings.plans[c.plan], COUNT_PERIOD
        fills = plan.burst / plan.rate if plan.rate else inf
        low = c.level < LOW * c.granted and not c.fails
        if now < (min(c.count_at, c.total_at + max(READ_LEAST, LOW_PART * fills)) if low else c.count_at):
            return []
        if short := plan.rate > 0.0 and now - c.short_at < SHORT_FOR:
            period = min(period, max(READ_LEAST, READ_PART * fills))
        c.calling, c.fresh, c.count_at = c.fresh, 0.0, now + period
        calls = [api.Count(c.key, c.calling, FORGET_COUNT)]
        if short and c.sparing is None and now >= c.spare_at:
            c.sparing, c.spared, c.spare_at = c.spared, 0.0, now + 2.0 * COUNT_PERIOD
            calls.append(api.Count(c.key + SPARED, c.sparing, FORGET_COUNT))
        elif not short:
            c.spared, c.spared_total = 0.0, None
        return calls

    def counted(self, c: Customer, reply: api.CounterReply, ok: bool, now: float) -> None:
        """Go on by what all ingresses took, or by the even share while the counter is silent."""
        added, c.calling, c.fails = c.calling or 0.0, None, 0 if ok else c.fails + 1
        if not ok:
            c.count_at = now + self.random.uniform(0.5, 1.0) * min(BACK_OFF_MOST, BACK_OFF * 2**c.fails)
            c.fresh += added if reply.status is not api.Status.TIMEOUT else 0.0  # it may have been added
            if now - c.total_at > SILENT_AFTER:  # the even share while the counter is silent
                c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
            return
        counted = c.total is not None
        plan, (own, everyone, span) = self.settings.plans[c.plan], new_total(c, reply.total, added, now)
        self.fill(c, now)
        if everyone is None:  # the first total, or the counter lost its count
            # Guards against a store that looks full after an outage: what the others took can't be seen then.
            everyone = own / max(c.share, 1.0 / c.width) if counted else min(reply.total, own * c.width)
            c.share, c.ours, c.alls, c.spans = 1.0 / c.width, 0.0, 0.0, 0.0
        else:
            keep, spared = 0.5 ** (span / ASKED_HALF), c.sparing or 0.0
            c.ours, c.alls = c.ours * keep + own + spared, c.alls * keep + everyone + spared
            c.spans = c.spans * keep + span
            self._share(c)
        # Filled first, then used: guards against counting what a full store let run over while it was idle.
        c.store = max(-DEBT * plan.burst, min(plan.burst, c.store + plan.rate * span) - everyone)
        # Guards against stores that are small beside a request: each ingress kept one, which made up a burst.
        kept = min(c.level, self.settings.most_units, KEPT * plan.burst / c.width)
        kept += min(0.0, c.store) * c.share * REPAY
        c.granted = c.level = max(0.0, kept, self._slice(c))

    def spared(self, reply: api.CounterReply, ok: bool) -> None:
        """What was asked everywhere and not taken counts for the shares."""
        if (c := self.customers.get(reply.name - SPARED)) is None or c.sparing is None:
            return
        added, c.sparing = c.sparing, None
        if not ok:
            c.spared += added if reply.status is not api.Status.TIMEOUT else 0.0
            return
        before, c.spared_total = c.spared_total, reply.total
        if c.spans and before is not None and reply.total >= before:
            c.alls += max(0.0, reply.total - before - added)
            self._share(c)

    def _share(self, c: Customer) -> None:
        """The larger of the even share of what is not asked for, and of the own part of what is."""
        rate = self.settings.plans[c.plan].rate
        unused = max(0.0, 1.0 - c.alls / c.spans / rate) / c.width if rate else 0.0
        c.share = max(unused, c.ours / c.alls if c.alls else 1.0 / c.width)

    def _slice(self, c: Customer) -> float:
        """What may be taken of the store until the next read: the share, or what others hardly need."""
        if not c.spans:
            return c.store * c.share
        span = max(READ_LEAST, c.count_at - c.total_at)  # the total may have come late
        return max(c.store * c.share, c.store - OTHERS * (c.alls - c.ours) / c.spans * span)

    def ask(self, t: Try, now: float) -> list[api.Action]:
        """The call that a sparse customer's try waits for; none where it goes by the odds.

        A counter in trouble is asked less.
        """
        plan = self.settings.plans[t.ask.plan]
        spare = t.ask.is_repeat or plan.over_cost <= 0.0  # needs the answer less: few of these have room
        asked = max(0.0, 1.0 - SPARE_ASKS * (1.0 - self.asking)) if spare else self.asking
        if self.random.random() >= asked:
            return []
        t.customer.asking.append((t, amount := t.ask.units / self.asking))  # for those unasked too
        t.not_before = now + 2 * self.settings.counter_timeout  # should the answer never come
        return [api.Count(t.customer.key, amount, t.customer.window)]

    def guess(self, t: Try, pressure: float, now: float) -> None:
        """Whether an unasked try is inside; left open where the even share has to tell."""
        odds, cost = self._odds(t, now), self.settings.plans[t.ask.plan].over_cost
        if odds < (1.0 - odds) * cost:
            t.inside = False
        elif now - self.heard_at < SILENT_AFTER and odds - (1.0 - odds) * cost > pressure / TARGET:
            t.inside = True  # else by the even share: what is crowded has no room for what may be beyond

    def _odds(self, t: Try, now: float) -> float:
        """That an unasked try is inside: by what its customer was last told, and as that fades, its plan."""
        c, odds = t.customer, self.odds[t.ask.plan][t.kind]
        if c.told is not None:
            odds += (c.told - odds) * 0.5 ** ((now - c.told_at) / c.window)
        return odds

    def answered(self, c: Customer, reply: api.CounterReply, ok: bool, now: float) -> Try:
        """The sparse customer's try that this answers: inside if the window had room when it was asked."""
        t, amount = c.asking.pop(0)
        quick = ok and reply.latency <= CROWDED * self.settings.counter_timeout
        asking = self.asking + ASK_GAIN if quick else self.asking * (ASK_EASE if ok else ASK_LOSS)
        self.asking = min(1.0, max(LEAST_ASKING, asking))
        t.inside = reply.total - amount < self.settings.plans[c.plan].rate * c.window if ok else None
        if ok:
            c.told, c.told_at, self.heard_at = t.inside, now, now
            self.odds[c.plan][t.kind] += LEARN / 2 * (t.inside - self.odds[c.plan][t.kind])
        c.level = 0.0 if t.inside is False else c.level  # to go by while the counter is silent
        return t
