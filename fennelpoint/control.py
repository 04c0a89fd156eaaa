"""What one ingress does about each event; its types, events and actions stand in `interface.py`.

A request is counted and placed (`_admit`), held while it is short of units, of an answer or of a backend
(`_pump`), sent (`_place`), and ended by its outcome (`_outcome`).  What it goes by is decided elsewhere:
quotas in `quota.py`, cuts and room given back in `regions.py`, the backend in `choice.py`, how much may be
out in `window.py`.  What comes from the paper and what was changed is told where it is done.
"""

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.choice import LATE_MARGIN, PAUSE_FULL, PUMP, Choice
from fennelpoint.quota import FORGET, SPARED, Quotas
from fennelpoint.regions import PERIOD, Flow, Regulator
from fennelpoint.state import Customer, Try
from fennelpoint.upkeep import Fleet, Line, Timers
from fennelpoint.window import Window

SPARE = 0.25  # of the window: beyond quotas nothing is sent past it
RETRY_SHARE, RETRY_BURST = 0.1, 10.0  # further attempts a first one, saved up
TOKEN_PERIOD, TOKEN_PUMP = 1, 2


def meet_of_several(failed: list[Flow], meet: list[Flow]) -> list[Flow]:
    """Customers that meet quota and aim are cut only while customers of several plans fail."""
    return meet if len({c.plan for c in failed}) > 1 else []


class Controller:
    """The decisions of one ingress: give it events, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.out = settings, Random(seed), []
        self.fleet, self.line = Fleet(settings.me, settings.ingresses), Line()
        self.timers = Timers(settings.tick)
        self.quotas = Quotas(settings, self.random, now)
        self.regulator, self.period_at = Regulator(self.quotas.rate_here, meet_of_several), now
        self.choice = Choice(settings, self.fleet, self.random)
        self.window = Window(self.fleet, now)
        self.retries = RETRY_BURST
        self.on = {
            api.Request: self._admit,
            api.Outcome: self._outcome,
            api.Roster: self._roster,
            api.ProbeResult: self._probed,
            api.TimerDue: self._timer,
            api.CounterReply: self._counted,
            api.ClientGone: lambda event, now: self.line.end(event.request),
            api.Withdraw: lambda event, now: self.fleet.withdraw(event.backend, now),
            api.Restore: lambda event, now: self._restore(event.backend, now),
            api.BodyWhole: lambda event, now: self._body_whole(event.request, now),
            api.StreamStarted: self._begun,
            api.Part: lambda event, now: self._take_part(event.part, now),
        }

    def start(self, now: float) -> list[api.Action]:
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.out = []
        self.on.get(type(event), lambda event, now: None)(event, now)
        return self.out

    def names(self, backend: object) -> bool:
        """Whether any list so far has named it, here or where it was taken out."""
        return backend in self.fleet.named or backend in self.fleet.withdrawn

    def cluster(self, now: float) -> tuple[int, int]:
        """How many backends the list names, and how many of them get nothing new at present."""
        listed = self.fleet.listed()
        return len(listed), sum(not b.usable or now < b.rest_until for b in listed)

    def _take_part(self, part: float, now: float) -> None:
        self.quotas.take_part(part, now)
        self.window.part = part
        self._pump(now)

    def _timer(self, due: api.TimerDue, now: float) -> None:
        if self.timers.due(due.token, now):
            self._period(now) if due.token == TOKEN_PERIOD else self._pump(now)

    def _counted(self, reply: api.CounterReply, now: float) -> None:
        ok = reply.status is api.Status.OK and 0.0 <= reply.total < inf
        if reply.name >= SPARED:
            return self.quotas.spared(reply, ok)
        if (c := self.quotas.customers.get(reply.name)) is None:
            return
        if c.asking:  # let the try in, or not; soft plans may go on
            t = self.quotas.answered(c, reply, ok, now)
            if self.line.release(t):
                t.not_before = now
                self._enter(t, now)
            return
        if c.held:  # what it may do is told anew: look again at what waits
            self.out += self.timers.wake(TOKEN_PUMP, now + PUMP, now)
        self.quotas.counted(c, reply, ok, now)

    def _admit(self, ask: api.Request, now: float) -> None:
        cls, plan = self.settings.classes[ask.cls], self.settings.plans[ask.plan]
        c = self.quotas.customer(ask, now)
        t = Try(ask, c, inf, inf, cls.worth * plan.price, kind=2 if ask.is_repeat else c.met)
        self._time(t, now)
        self.line.open[ask.request], c.worth = t, max(c.worth, t.worth)
        self.quotas.fill(c, now)
        if c.window:
            if calls := self.quotas.ask(t, now):
                self.out += calls
                return self._hold(t, now)
            self.quotas.guess(t, self.window.pressure, now)
            return self._enter(t, now)
        self._enter(t, now)
        self.out += self.quotas.count(c, now)

    def _time(self, t: Try, now: float) -> None:
        """Its time counts from now."""
        left, margin = t.ask.time_left, 2 * PUMP + self.settings.tick
        t.aim_at = now + min(self.settings.classes[t.ask.cls].aim, left)
        t.ends = now + left - margin  # the last answer that is surely in time
        t.half = now + left / 2 - margin

    def _body_whole(self, request: int, now: float) -> None:
        """A large request has come whole: neither it nor its backend was late until now."""
        if (t := self.line.open.get(request)) is None:
            return
        self._time(t, now)
        for b in self.fleet.busy.values():
            if request in b.out:
                self.fleet.restart(b, request, now)

    def _begun(self, begun: api.StreamStarted, now: float) -> None:
        """A large answer goes out: its first bytes were in time or not, the rest is up to its client."""
        t, b = self.line.open.get(begun.request), self.fleet.known.get(begun.backend)
        if t is not None:
            t.begun_at = now
        if b is not None and begun.request in b.out:
            self.fleet.begin(b, begun.request)
        self._pump(now)

    def _enter(self, t: Try, now: float) -> None:
        """Send a new try, hold it while its aim can be met, or refuse it at once."""
        c, ask = t.customer, t.ask
        queued = t.inside is None and c.held > 0.0 and c.level < c.held + ask.units  # others came first
        if not queued and (self._place(t, now) or ask.request in self.line.held):
            return
        wait = self.quotas.wait(t)
        late = t.inside is False or now + max(0.0, wait) + LATE_MARGIN * self.choice.usual[ask.cls] > t.aim_at
        self._refuse(t, now, max(wait, c.window / 2)) if late else self._hold(t, now)

    def _place(self, t: Try, now: float) -> bool:
        """Send the try now if its quota, its cut and a backend allow it."""
        first = not t.charged
        inside = self.quotas.room(t, self.regulator.pressed, now) if first else True
        if inside is None or self.window.full(1.0 if inside else SPARE, now):
            return False
        unpicked = t.picked is None
        if (b := self.choice.choose(t, self._allowed(t, now), now)) is None:
            if unpicked and t.picked is not None:
                self.out += [api.Probe(b.entry.backend) for b in t.picked]
                self._hold(t, now)
            return False
        if first:
            self.quotas.charge(t, inside)
            self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self.line.release(t)
        t.charged, t.picked, t.attempts, work = True, None, t.attempts + 1, self.choice.typical[t.ask.cls]
        self.fleet.send(b, t, work, self.settings.classes[t.ask.cls].aim, now)
        self.regulator.sent(t.customer, t.ask.units * first, work)
        self._activate(now)
        self.out.append(api.Send(t.ask.request, b.entry.backend, self.choice.patience(t, b, now)))
        return True

    def _hold(self, t: Try, now: float) -> None:
        """Keep it until it may be sent, or until its aim or its client can't be met any more.

        What no backend has had is ended before half of its time is up: its client may try elsewhere.
        """
        late = t.aim_at - LATE_MARGIN * self.choice.usual[t.ask.cls]
        t.last = min(late, t.ends, inf if t.reached else t.half)
        self.line.hold(t)
        self.out += self.timers.wake(TOKEN_PUMP, min(self._due(t, now), t.last), now)

    def _due(self, t: Try, now: float) -> float:
        """When to look at a held try again: not before its bucket can hold its units.

        Guards the CPU: looking every PUMP at what only waits for its quota was half of all events.
        """
        return max(now + PUMP, t.not_before, self.quotas.due(t))

    def _pump(self, now: float) -> None:
        """Release held tries, the highest worth first; end those that can't make it any more."""
        soonest = inf
        for t in self.line.by_worth():
            # Once as much is out as may be, the rest needn't ask: guards the CPU with a long line.
            if now >= t.not_before and self.fleet.out < self.window.most() and self._place(t, now):
                continue
            if now >= t.last:
                self._answered(t.customer, 1.0, now)
                self._refuse(t, now, 0.0)
            else:
                soonest = min(soonest, max(now + PUMP, min(self._due(t, now), t.last)))
        self.out += self.timers.wake(TOKEN_PUMP, soonest, now)

    def _refuse(self, t: Try, now: float, wait: float) -> None:
        """End a try that has nothing out: refused where that promise is true, else failed.

        The client is told to come back once its units are there, or a place is: by when an answer comes.
        """
        cls = self.settings.classes[t.ask.cls]
        harmless = self._allowed(t, now) and (
            t.ran_at is None or cls.effect is api.Effect.SAFE or cls.group is api.Group.ALL
        )
        t.customer.spared += t.ask.units * (not t.charged)
        wait = max(wait, self.choice.usual[t.ask.cls])
        advice = min(self.settings.max_advice, wait) if self.settings.may_advise else 0.0
        self.out.append(api.Refuse(t.ask.request, advice) if harmless else api.Fail(t.ask.request))
        self.line.end(t.ask.request)

    def _allowed(self, t: Try, now: float) -> bool:
        """Whether the effect lets this try be sent now; time undoes that while a keyed one waits."""
        cls = self.settings.classes[t.ask.cls]
        keyed = cls.effect is api.Effect.KEYED and t.ran_at is not None and now < t.ran_at + cls.window
        return t.ran_at is None or cls.effect is api.Effect.SAFE or keyed

    def _outcome(self, o: api.Outcome, now: float) -> None:
        backend, t = self.fleet.known.get(o.backend), self.line.open.get(o.request)
        if backend is not None and o.request in backend.out:
            pressure = self.choice.learn(backend, o, t, now)
            self.window.press(*pressure, now) if pressure else None
        if t is not None and (o.status is api.Status.OK or o.ended):
            aim = self.settings.classes[t.ask.cls].aim
            self._answered(t.customer, ((t.begun_at or now) - (t.aim_at - aim)) / aim, now)
            t.customer.level -= o.true_units - t.ask.units if o.true_units else 0.0  # where units are settled
            self.line.end(o.request)
        elif t is not None:
            if not o.status.never_ran and t.ran_at is None:
                t.ran_at, t.ran_on = now - o.latency, backend.entry if backend else None
            t.reached = t.reached or o.status not in (api.Status.CONNECT_FAILED, api.Status.MOOT)
            t.not_before = now + PAUSE_FULL * t.attempts * (o.status in (api.Status.FULL, api.Status.MOOT))
            again = t.ran_at is not None  # as time, effect and a budget against retry storms allow
            barred = self.retries < 1.0 or not self._allowed(t, now)
            if t.attempts >= self.settings.max_attempts or now >= t.ends or again and barred or not o.is_held:
                self._refuse(t, now, 0.0)
            else:
                self.retries -= again
                if now < t.not_before or not self._place(t, now):
                    self._hold(t, now)
        self._pump(now)

    def _roster(self, roster: api.Roster, now: float) -> None:
        if roster.kind is api.RosterKind.FAILED:
            return self.out.append(api.Subscribe())
        self.fleet.follow(roster, now)
        self.window.open(self.settings.ingresses)

    def _restore(self, backend: object, now: float) -> None:
        """What waits may go there now, as seldom as its cold share allows."""
        self.fleet.restore(backend, now)
        self._pump(now)

    def _probed(self, probe: api.ProbeResult, now: float) -> None:
        if (b := self.fleet.known.get(probe.backend)) is not None:
            ok = probe.status is api.Status.OK
            self.choice.report(b, probe.report, now) if ok else self.choice.fail(b, now)
        for t in self.fleet.probed(probe.backend):
            t.not_before = now
            if t.ask.request in self.line.held and not self._place(t, now):
                self._hold(t, now)

    def _answered(self, c: Customer, ratio: float, now: float) -> None:
        self.regulator.answered(c, ratio)
        self._activate(now)

    def _activate(self, now: float) -> None:
        """Let periods run while there is something to look at."""
        if TOKEN_PERIOD not in self.timers.at:
            self.period_at = now
            self.out += self.timers.wake(TOKEN_PERIOD, now + PERIOD, now)

    def _period(self, now: float) -> None:
        span, self.period_at = max(1e-6, now - self.period_at), now
        self.window.age(PERIOD, now)
        self.regulator.regulate(span)
        self.regulator.rest(now - FORGET)
        if self.regulator.active or self.fleet.busy:
            self.out += self.timers.wake(TOKEN_PERIOD, now + PERIOD, now)
