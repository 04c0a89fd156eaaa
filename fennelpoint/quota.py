"""Customers' quotas: the buckets of their shares, and the counter by which ingresses share each quota."""

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Customer, Task
from fennelpoint.upkeep import fill_buckets, forget_idle, record_total
from fennelpoint.window import LEARNING_RATE, MAX_PRESSURE

COUNT_PERIOD_S = 1.0  # between a customer's counter calls, each of which costs something
SILENT_AFTER_S, COUNT_TTL_S = 1.0, 60.0
BACKOFF_S, MAX_BACKOFF_S = 0.25, 8.0  # half of the first pause after a failed counter call; the longest
SHORTAGE_S, MIN_READ_S = 6.0, 0.15  # for which a lack of units counts; between two counter calls
SHORTAGE_READ_SHARE, LOW_READ_SHARE = 0.25, 0.1  # of a bucket's fill time, between two counter calls
OTHERS_MARGIN, MAX_DEBT, DEBT_REPAYMENT = 1.5, 0.1, 0.5  # on others' demand; of the burst; of a debt, a total
LOW_LEVEL, KEPT_LEVEL = 0.5, 0.35  # of the granted level: a call is due; of an even burst: kept at a total
UNTAKEN = 1 << 40  # above all keys; added to a customer's key for the counter of its untaken units
DEMAND_HALF_LIFE_S, SPARSE_S = 2.0, 10.0  # a customer is sparse if one request takes longer to fill
SPARSE_WINDOW, SLOW_REPLY = 1.0, 0.6  # of a bucket's fill time; of the timeout, beyond which a reply is slow
MINOR_FACTOR = 4.0  # how much faster checks of minor requests are reduced: retries, and without excess cost
CHECK_GAIN, CHECK_SLOW, CHECK_LOSS, MIN_CHECK_SHARE = 0.05, 0.9, 0.6, 0.1  # after a quick, slow, no reply
CEILING_RESERVE = 0.5  # share of the ceiling that requests beyond the quota leave free
FORGET_AFTER_S, FORGET_CHECKS = 15.0, 2  # for an idle customer; customers checked at each request


class Quotas:
    """The customers and their buckets at one ingress."""

    # Replies to the counter calls returned go to `on_total`, `on_untaken_total` and `on_check_reply`.

    def __init__(self, settings: api.Settings, random: Random, now: float) -> None:
        self.settings, self.random = settings, random
        self.customers: dict[int, Customer] = {}  # by time of their last request, the oldest first
        self.replied_at = -inf  # when the counter last answered a check
        self.check_share = 1.0  # share of sparse customers' requests that are checked
        self.room_odds = [[1.0, 1.0, 0.3] for _ in settings.plans]  # chance of room, by plan and `Task.kind`
        self.began_at = now  # ceilings fill from then on
        self.process_share = 1.0  # the rest of this ingress's limits belongs to another process of it

    def set_process_share(self, share: float, now: float) -> None:
        """Share the limits with another process as if each customer's spread grew by that factor."""
        # Levels shrink with the share but do not grow with it: the other process may have used the units.
        factor, self.process_share, self.began_at = self.process_share / share, share, now
        for customer in self.customers.values():
            self.fill(customer, now)
            customer.spread, customer.share = customer.spread * factor, min(1.0, customer.share / factor)
            if factor > 1.0:
                customer.level, customer.ceiling, customer.granted_level = (
                    customer.level / factor,
                    customer.ceiling / factor,
                    customer.granted_level / factor,
                )

    def customer_of(self, request: api.Request, now: float) -> Customer:
        plan, ingresses = self.settings.plans[request.plan], max(1.0, request.spread)
        spread = ingresses / self.process_share
        if (customer := self.customers.pop(request.customer, None)) is None:
            customer = Customer(
                request.customer,
                request.plan,
                spread,
                1.0 / spread,
                max(plan.burst / spread, request.units),
                shared_level=plan.burst,
                filled_at=now,
                total_at=now,
                count_at=now + self.random.uniform(0.3, 1.0) * COUNT_PERIOD_S,
            )
            # Neither a restart nor having been forgotten fills a ceiling that this process may have used.
            customer.ceiling = (
                min(plan.ceiling_burst, plan.ceiling_rate * min(now - self.began_at, FORGET_AFTER_S)) / spread
            )
            if self.settings.has_counter and 0.0 < plan.rate * SPARSE_S < self.settings.max_units * ingresses:
                customer.window = min(COUNT_TTL_S, SPARSE_WINDOW * plan.burst / plan.rate)
        customer.seen = now - customer.last_request_at < customer.window
        self.customers[request.customer], customer.last_request_at = customer, now
        forget_idle(self.customers, FORGET_CHECKS, now - FORGET_AFTER_S)
        return customer

    def fill(self, customer: Customer, now: float) -> None:
        plan, max_units = self.settings.plans[customer.plan], self.settings.max_units
        fill_buckets(
            customer,
            plan,
            max(plan.burst * customer.share, min(plan.burst, max_units)),
            max(customer.cap or 0.0, max_units),
            now,
        )

    def own_rate(self, customer: Customer) -> float:
        return self.settings.plans[customer.plan].rate * customer.share

    def check_quota(self, task: Task, is_congested: bool, now: float) -> bool | None:
        """Return whether an uncharged request is within its quota now; None if it may not be sent at all."""
        customer, units, plan = task.customer, task.request.units, self.settings.plans[task.request.plan]
        self.fill(customer, now)
        if (plan.ceiling_rate and customer.ceiling < units) or (
            customer.cap is not None
            and customer.cap_level < min(units, max(customer.cap, self.settings.max_units))
        ):
            return None
        has_units = not plan.rate or (customer.level >= units if task.in_quota is None else task.in_quota)
        in_quota = has_units and not (
            plan.concurrency_limit
            and customer.attempts >= max(1, round(plan.concurrency_limit * customer.share))
        )
        if not in_quota and (plan.excess_worth <= 0.0 or is_congested):
            customer.short_at = now
            return None
        # Requests beyond the quota leave a reserve to those within it that wait for the concurrency limit. A
        # part of hardly two requests has none: it can't tell them apart, and would refuse mostly the latter.
        own_ceiling = plan.ceiling_burst / customer.spread
        reserve = min(CEILING_RESERVE * own_ceiling, max(0.0, own_ceiling - 2.0 * units))
        if not in_quota and plan.ceiling_rate and customer.ceiling < units + reserve:
            return None
        return in_quota

    def charge(self, task: Task, in_quota: bool) -> None:
        """Take the units of a request that is sent for the first time."""
        customer, units = task.customer, task.request.units
        customer.ceiling, customer.cap_level = customer.ceiling - units, customer.cap_level - units
        customer.level -= (
            min(customer.level, units) if in_quota and self.settings.plans[customer.plan].rate else 0.0
        )
        customer.taken, customer.own = customer.taken + units * in_quota, customer.own + units * in_quota
        customer.untaken += units * (not in_quota)

    def wait_for_units(self, task: Task) -> float:
        """Return the seconds until the buckets hold its units and those held before it; may be negative."""
        customer, plan = task.customer, self.settings.plans[task.request.plan]
        needed = task.request.units + customer.held
        rate = plan.rate * max(customer.share, 0.01) if task.in_quota is None and plan.rate else inf
        wait = (needed - customer.level) / rate
        return (
            max(wait, (needed - customer.ceiling) * customer.spread / plan.ceiling_rate)
            if plan.ceiling_rate
            else wait
        )

    def units_due_at(self, task: Task) -> float:
        """Return when its bucket, filled by time alone, can hold its units; -inf if it needs none of them."""
        customer, plan = task.customer, self.settings.plans[task.request.plan]
        if task.is_charged or task.in_quota is not None or not plan.rate or plan.excess_worth > 0.0:
            return -inf
        return customer.filled_at + (task.request.units - customer.level) / (
            plan.rate * max(customer.share, 0.01)
        )

    def count(self, customer: Customer, now: float) -> list[api.Action]:
        """Add the units taken to the counter, once a period, to learn what all ingresses took."""
        # Earlier in a shortage and at a low level, for retries, floods and sudden bursts; this does not suit
        # sites where many customers are short at once and the counter can't bear three calls in place of one.
        # Untaken units, part of the demand, count apart: as taken they would empty a bucket that nobody used.
        if not self.settings.has_counter or customer.count is not None:
            return []
        plan, period = self.settings.plans[customer.plan], COUNT_PERIOD_S
        fill_time = plan.burst / plan.rate if plan.rate else inf
        is_low = customer.level < LOW_LEVEL * customer.granted_level and not customer.errors
        if now < (
            min(customer.count_at, customer.total_at + max(MIN_READ_S, LOW_READ_SHARE * fill_time))
            if is_low
            else customer.count_at
        ):
            return []
        if is_short := plan.rate > 0.0 and now - customer.short_at < SHORTAGE_S:
            period = min(period, max(MIN_READ_S, SHORTAGE_READ_SHARE * fill_time))
        customer.count, customer.taken, customer.count_at = customer.taken, 0.0, now + period
        calls = [api.CounterAdd(customer.key, customer.count, COUNT_TTL_S)]
        if is_short and customer.untaken_count is None and now >= customer.untaken_at:
            customer.untaken_count, customer.untaken, customer.untaken_at = (
                customer.untaken,
                0.0,
                now + 2.0 * COUNT_PERIOD_S,
            )
            calls.append(api.CounterAdd(customer.key + UNTAKEN, customer.untaken_count, COUNT_TTL_S))
        elif not is_short:
            customer.untaken, customer.untaken_total = 0.0, None
        return calls

    def on_total(self, customer: Customer, reply: api.CounterReply, ok: bool, now: float) -> None:
        """Update share and level by what all ingresses took; use the even share while the counter fails."""
        added, customer.count, customer.errors = customer.count or 0.0, None, 0 if ok else customer.errors + 1
        if not ok:
            customer.count_at = now + self.random.uniform(0.5, 1.0) * min(
                MAX_BACKOFF_S, BACKOFF_S * 2**customer.errors
            )
            customer.taken += added if reply.status is not api.Status.TIMEOUT else 0.0  # may be in the total
            if now - customer.total_at > SILENT_AFTER_S:
                customer.share, customer.own_demand, customer.demand, customer.demand_span = (
                    1.0 / customer.spread,
                    0.0,
                    0.0,
                    0.0,
                )
            return
        had_total = customer.last_total is not None
        plan, (own, everyone, span) = (
            self.settings.plans[customer.plan],
            record_total(customer, reply.total, added, now),
        )
        self.fill(customer, now)
        if everyone is None:  # the first total, or the counter was reset
            # An estimate: guards against a shared bucket that looks full after an outage of the counter.
            everyone = (
                own / max(customer.share, 1.0 / customer.spread)
                if had_total
                else min(reply.total, own * customer.spread)
            )
            customer.share, customer.own_demand, customer.demand, customer.demand_span = (
                1.0 / customer.spread,
                0.0,
                0.0,
                0.0,
            )
        else:
            decay, untaken = 0.5 ** (span / DEMAND_HALF_LIFE_S), customer.untaken_count or 0.0
            customer.own_demand, customer.demand = (
                customer.own_demand * decay + own + untaken,
                customer.demand * decay + everyone + untaken,
            )
            customer.demand_span = customer.demand_span * decay + span
            self._update_share(customer)
        # Filled first, then used: what overflowed a full bucket while the customer was idle does not count.
        customer.shared_level = max(
            -MAX_DEBT * plan.burst, min(plan.burst, customer.shared_level + plan.rate * span) - everyone
        )
        # Bounded: else small levels that all ingresses keep could add up to a burst.
        kept = min(customer.level, self.settings.max_units, KEPT_LEVEL * plan.burst / customer.spread)
        kept += min(0.0, customer.shared_level) * customer.share * DEBT_REPAYMENT
        customer.granted_level = customer.level = max(0.0, kept, self._grant(customer))

    def on_untaken_total(self, reply: api.CounterReply, ok: bool) -> None:
        """Count the untaken units of all ingresses as demand."""
        if (customer := self.customers.get(reply.key - UNTAKEN)) is None or customer.untaken_count is None:
            return
        added, customer.untaken_count = customer.untaken_count, None
        if not ok:
            customer.untaken += added if reply.status is not api.Status.TIMEOUT else 0.0
            return
        before, customer.untaken_total = customer.untaken_total, reply.total
        if customer.demand_span and before is not None and reply.total >= before:
            customer.demand += max(0.0, reply.total - before - added)
            self._update_share(customer)

    def _update_share(self, customer: Customer) -> None:
        # Set the share to the own part of the demand, or to the even share of the unused quota if larger.
        rate = self.settings.plans[customer.plan].rate
        unused = (
            max(0.0, 1.0 - customer.demand / customer.demand_span / rate) / customer.spread if rate else 0.0
        )
        customer.share = max(
            unused, customer.own_demand / customer.demand if customer.demand else 1.0 / customer.spread
        )

    def _grant(self, customer: Customer) -> float:
        # Return the units to use until the next total: the share, or what others will hardly need.
        if not customer.demand_span:
            return customer.shared_level * customer.share
        span = max(MIN_READ_S, customer.count_at - customer.total_at)  # the total may have come late
        return max(
            customer.shared_level * customer.share,
            customer.shared_level
            - OTHERS_MARGIN * (customer.demand - customer.own_demand) / customer.demand_span * span,
        )

    def check(self, task: Task, now: float) -> list[api.Action]:
        """Return the counter call that a sparse customer's request waits for, if any; fewer if it is slow."""
        plan = self.settings.plans[task.request.plan]
        is_minor = task.request.is_retry or plan.excess_cost <= 0.0  # few of these have room
        chance = max(0.0, 1.0 - MINOR_FACTOR * (1.0 - self.check_share)) if is_minor else self.check_share
        if self.random.random() >= chance:
            return []
        # Counts for those that are not checked, too.
        task.customer.checks.append((task, amount := task.request.units / self.check_share))
        task.earliest = now + 2 * self.settings.counter_timeout  # if no reply comes
        return [api.CounterAdd(task.customer.key, amount, task.customer.window)]

    def guess_quota(self, task: Task, pressure: float, now: float) -> None:
        """Guess whether a request without a check is within the quota; undecided, it goes by the bucket."""
        odds, cost = self._odds(task, now), self.settings.plans[task.request.plan].excess_cost
        if odds < (1.0 - odds) * cost:
            task.in_quota = False
        elif now - self.replied_at < SILENT_AFTER_S and odds - (1.0 - odds) * cost > pressure / MAX_PRESSURE:
            # Never under high pressure: no capacity is left then for requests that may be beyond quotas.
            task.in_quota = True

    def _odds(self, task: Task, now: float) -> float:
        # Return the chance of room: by its customer's last reply, which fades, and its plan's.
        customer, odds = task.customer, self.room_odds[task.request.plan][task.kind]
        if customer.had_room is not None:
            odds += (customer.had_room - odds) * 0.5 ** ((now - customer.had_room_at) / customer.window)
        return odds

    def on_check_reply(self, customer: Customer, reply: api.CounterReply, ok: bool, now: float) -> Task:
        """Return the request that was checked; it is within the quota if the window had room for it."""
        task, amount = customer.checks.pop(0)
        fast = ok and reply.latency <= SLOW_REPLY * self.settings.counter_timeout
        new = self.check_share + CHECK_GAIN if fast else self.check_share * (CHECK_SLOW if ok else CHECK_LOSS)
        self.check_share = min(1.0, max(MIN_CHECK_SHARE, new))
        task.in_quota = (
            reply.total - amount < self.settings.plans[customer.plan].rate * customer.window if ok else None
        )
        if ok:
            customer.had_room, customer.had_room_at, self.replied_at = task.in_quota, now, now
            self.room_odds[customer.plan][task.kind] += (
                LEARNING_RATE / 2 * (task.in_quota - self.room_odds[customer.plan][task.kind])
            )
        customer.level = 0.0 if task.in_quota is False else customer.level  # used while the counter is silent
        return task
