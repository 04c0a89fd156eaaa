"""Test helpers: settings, and a driver that passes events to one controller and keeps its clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelpoint import Controller
from fennelpoint import interface as api

READY, DRAINING, GONE = api.BackendState.READY, api.BackendState.DRAINING, api.BackendState.GONE
SAFE, UNSAFE, KEYED = 0, 1, 2
HARD, SOFT, CAPPED, SLOTS = 0, 1, 2, 3


def make_settings(**changes) -> api.Settings:
    values = dict(
        ingress_index=0,
        ingresses=2,
        zone=0,
        max_attempts=4,
        drain_grace=1.0,
        cold_share=0.2,
        ramp_time=10.0,
        tip_multiple=2.0,
        fall_span=2.0,
        answer_slack=0.016,
        tick=0.004,
        max_units=2.0,
        has_counter=True,
        counter_timeout=0.05,
        may_set_retry_after=True,
        max_retry_after=0.5,
        classes=[
            api.RequestClass("read", latency_target=1.0, deadline=4.0, worth=1.0, effect=api.Effect.SAFE),
            api.RequestClass("book", latency_target=2.0, deadline=6.0, worth=3.0, effect=api.Effect.UNSAFE),
            api.RequestClass(
                "open",
                latency_target=2.0,
                deadline=6.0,
                worth=2.0,
                effect=api.Effect.KEYED,
                scope=api.DedupScope.CELL,
                dedup_span=3.0,
            ),
        ],
        plans=[
            api.Plan("hard", price=1.0, rate=4.0, burst=8.0, excess_cost=1.0),
            api.Plan("soft", price=2.0, rate=4.0, burst=8.0, excess_worth=0.2),
            api.Plan(
                "capped",
                price=3.0,
                rate=10.0,
                burst=20.0,
                excess_worth=0.3,
                ceiling_rate=10.0,
                ceiling_burst=20.0,
                ceiling_slack=2.0,
            ),
            api.Plan("slots", price=1.5, concurrency_limit=2, excess_cost=1.0),
        ],
    )
    values.update(changes)
    return api.Settings(**values)


@dataclass
class World:
    """One controller and its clock; `actions` holds its actions after the latest event."""

    settings: api.Settings
    now: float = 100.0
    actions: list = field(default_factory=list)
    timers: list = field(default_factory=list)
    counts: list = field(default_factory=list)
    ids: int = 0

    def __post_init__(self) -> None:
        self.control = Controller(self.settings, seed=7, now=self.now)
        self.take(self.control.start(self.now))

    def take(self, actions: list) -> list:
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, api.SetTimer)]
        self.counts += [a for a in actions if isinstance(a, api.CounterAdd)]
        self.actions = [a for a in actions if not isinstance(a, api.SetTimer | api.CounterAdd)]
        return self.actions

    def give(self, event: api.Event) -> list:
        return self.take(self.control.handle(event, self.now))

    def roster(self, *entries: api.BackendEntry, kind: api.RosterKind = api.RosterKind.FULL) -> list:
        return self.give(api.Roster(kind, 1, list(entries)))

    def backends(self, *names: str, **values) -> list:
        return self.roster(*(api.BackendEntry(name, READY, **values) for name in names))

    def ask(
        self,
        cls: int = SAFE,
        plan: int = HARD,
        customer: int = 1,
        units: float = 1.0,
        time_left: float = 4.0,
        spread: float = 2.0,
    ) -> list:
        self.ids += 1
        return self.give(api.Request(self.ids, cls, plan, customer, time_left, units, spread, 0.0))

    def answer(
        self, request: int, backend: str, status: api.Status = api.Status.OK, latency: float = 0.1, attempt: int = 0
    ) -> list:
        ended = status is api.Status.OK
        return self.give(api.Outcome(request, attempt, backend, status, latency, ended))

    def wait(self, seconds: float) -> list:
        """Advance the clock, fire the timers that become due, and return their actions."""
        end, actions = self.now + seconds, []
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            actions += self.give(api.TimerDue(due[0][1]))
        self.now = end
        return actions

    def count_replies(
        self, status: api.Status = api.Status.OK, others: float = 0.0, totals: dict | None = None
    ) -> None:
        """Reply to the pending counter calls; `others` is what other ingresses add to every counter."""
        calls, self.counts = self.counts, []
        for call in calls:
            if totals is not None and status is api.Status.OK:
                totals[call.key] = totals.get(call.key, 0.0) + call.amount + others
            self.give(api.CounterReply(call.key, status, (totals or {}).get(call.key, 0.0), 0.001))


def kinds(actions: list) -> list[type]:
    return [type(a) for a in actions]
