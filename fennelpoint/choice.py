"""Which backend a try goes to, and what is known of backends: how slow they are, and how cold."""

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Backend, Try
from fennelpoint.upkeep import Fleet, same_group
from fennelpoint.window import LEARN, REST_MOST, TARGET

PUMP, LATE_MARGIN = 0.02, 3.0  # s between looks at what waits; usual latencies between release and aim
FIRST_GUESS, FASTER, SLOWER = 0.12, 0.1, 0.03  # of the aim: a first latency; an answer's weights
TAIL, TAIL_STEP, PATIENCE = 0.1, 0.1, 3.0  # of the answers come later; step to that; times it to wait for one
FAILED, SLOWEST, SLOW_HALF = 4.0, 6.0, 1.0  # a failure looks so much slower, at most; s to fade by half
PAUSE_FULL = 0.03  # s of pause where a backend is full
NEAR_TIE, CANDIDATES = 1.15, 16  # how much better another zone must be; an own part of a large fleet
HERD, SEES = 0.2, 4.0  # least random part of a wait; ingresses up to which own work out tells most of it
PROBES, PROBE_WAIT = 2, 0.05  # backends probed for a try by those who see little, and s that it waits
REPORT_HALF, COLD_CAUTION = 1.0, 1.5  # s for a report to count half; power of a cold share that wins a draw


class Choice:
    """The choice of a backend by what it has out, by its own reports and by the answers so far."""

    def __init__(self, settings: api.Settings, fleet: Fleet, random: Random) -> None:
        self.settings, self.fleet, self.random = settings, fleet, random
        self.typical = [FIRST_GUESS * c.aim for c in settings.classes]  # latency of a class, uncrowded
        self.usual = list(self.typical)  # and as it is now
        self.tail = [c.aim / PATIENCE for c in settings.classes]  # and of the slowest of them
        self.usual_held = 0.0  # requests a backend reports
        # Where reports come with answers, the more ingresses the seldomer each hears of a backend.
        seldom = max(1.0, settings.ingresses / SEES) if settings.report_via == "answers" else 1.0
        self.report_half = REPORT_HALF * seldom**0.5
        self.blind = HERD + (1.0 - HERD) * max(0.0, 1.0 - SEES / settings.ingresses)  # to others' work
        self.probes = settings.may_probe and settings.report_via != "none" and self.blind > 0.5

    def cold_share(self, b: Backend, now: float) -> float:
        """The least part of its capacity that a backend can do by now; 1 when it is warm."""
        started = max(b.entry.started_at, b.restored_at)
        age = max(0.0, now - started) if started > 0.0 else inf
        grown = min(1.0, age / max(self.settings.ramp_time, self.settings.tick))
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * grown

    def choose(self, t: Try, allowed: bool, now: float) -> Backend | None:
        """The backend with the least expected wait, among some at random, that may take this try.

        None where it has to wait; `t.picked` names the backends that are to be probed for it meanwhile.
        """
        cls, able = self.settings.classes[t.ask.cls], []
        ready = self.fleet.ready if allowed else []
        if t.ran_at is not None and cls.effect is api.Effect.KEYED and cls.group is not api.Group.ALL:
            ready = same_group(ready, t.ran_on, "zone" if cls.group is api.Group.ZONE else "cell")
        for pool in (t.picked or (), ready[:CANDIDATES], ready):  # our part of the fleet: few connections
            able = able or [b for b in pool if b.usable and now >= b.rest_until]
        lots = sorted((self.random.expovariate(max(b.entry.weight, 1e-3)), i) for i, b in enumerate(able))
        # Guards against pushing over cold backends, as a sum over all ingresses: a cold one is sent a try
        # only by a draw by weight, won as seldom as it is cold, and once in half an aim for each try.  Where
        # no other is warm, more seldom, as what loses draws again.
        costs = sorted(
            (self.cost(able[i], lot, t, now), i) for lot, i in lots if self.cold_share(able[i], now) >= 1.0
        )
        if lots and now >= t.draw_at and (share := self.cold_share(able[lots[0][1]], now)) < 1.0:
            t.draw_at = now + cls.aim / 2
            if self.random.random() < (share if costs else share**COLD_CAUTION):
                return able[lots[0][1]]
        if not self.probes or t.picked is not None or not costs:
            return able[costs[0][1]] if costs else None
        t.picked, t.not_before = [able[i] for _, i in costs[:PROBES]], now + PROBE_WAIT
        for b in t.picked:
            self.fleet.probing.setdefault(b.entry.backend, []).append(t)
        return None

    def cost(self, b: Backend, lot: float, t: Try, now: float) -> float:
        """The work before a new try at this backend, by what is known, over what it can do.

        Own work counts once for each ingress: all read the same reports, which are old by up to a second, and
        do alike.  Guards against a herd: whoever told the least got everything until its next report.
        """
        weight, work, held = max(b.entry.weight, 1e-3), self.typical[t.ask.cls], self.usual_held
        held += (b.reported - held) * 0.5 ** ((now - b.reported_at) / self.report_half)
        luck = 1.0 if t.picked else 1.0 + self.blind * (lot * weight - 1.0)
        luck *= NEAR_TIE if b.entry.zone != self.settings.zone else 1.0
        out = b.load * self.settings.ingresses
        return luck * self.slow(b, now) * (out + work * (1.0 + held)) / weight

    def slow(self, b: Backend, now: float) -> float:
        return 1.0 + (b.slow - 1.0) * 0.5 ** ((now - b.slow_at) / SLOW_HALF)

    def fail(self, b: Backend, now: float) -> None:
        b.slow, b.slow_at = min(SLOWEST, max(1.0, self.slow(b, now)) * FAILED), now

    def patience(self, t: Try, b: Backend, now: float) -> float:
        """How long to wait for an answer: one far later than nearly all others won't come.

        Guards the aim against answers that get lost.  Where no other attempt could meet it, or none is
        allowed, it lasts until the client stops waiting.
        """
        wait = PATIENCE * self.tail[t.ask.cls] / self.cold_share(b, now)
        again = (
            t.attempts < self.settings.max_attempts
            and self.settings.may_cancel
            and not t.ask.is_coming
            and self.settings.classes[t.ask.cls].effect is not api.Effect.UNSAFE
        )
        return wait if again and now + wait + LATE_MARGIN * self.usual[t.ask.cls] <= t.aim_at else 0.0

    def report(self, b: Backend, values: list[float], now: float) -> None:
        """Take in a backend's own word on the requests it holds."""
        told = {k: v for k, v in zip(self.settings.report_fields, values, strict=False) if 0.0 <= v < inf}
        busy = 1.0 / (1.1 - min(1.0, told.get("util", 0.0))) - 1.0 / 1.1
        held = max(told.get("inflight", 0.0), told.get("queue", 0.0), busy)
        self.usual_held += LEARN / 4 * (held - self.usual_held) if told else 0.0
        # Where nothing is told: guards against reports that stop just from the busy ones.
        b.reported, b.reported_at = held if told else max(b.reported, 2.0 * self.usual_held), now

    def learn(self, b: Backend, o: api.Outcome, t: Try | None, now: float) -> tuple[float, float] | None:
        """Take in how an attempt ended; the pressure that it tells of, and the s that this took."""
        self.fleet.answer(b, o.request)
        self.report(b, o.report, now) if o.report else None
        if t is not None and o.status in (api.Status.OK, api.Status.TIMEOUT):
            # A time-out counts as late: guards against giving up ever sooner on a back end that slows.
            late = o.status is api.Status.TIMEOUT or o.latency > self.tail[t.ask.cls]
            self.tail[t.ask.cls] *= 1.0 + TAIL_STEP * (late - TAIL)
        if o.status is api.Status.FULL:
            b.rest_until = now + 2 * PAUSE_FULL
            # Guards against a stop of all for a few that were turned away: no latency tells of a crowd here,
            # so it takes most of them to cut, and no sooner than an answer would show the last cut.  It
            # covers backends at their end and short queues; a fleet that is full to the brim is cut later.
            return 2.0 * TARGET, max(self.usual)
        elif o.status is api.Status.OK and t is not None and 0.0 <= o.latency < inf:
            cls, aim, slow, b.fails = t.ask.cls, self.settings.classes[t.ask.cls].aim, self.slow(b, now), 0
            gap = o.latency - self.typical[cls]
            if self.cold_share(b, now) >= 1.0:
                self.typical[cls] += gap * (SLOWER if gap > 0 else FASTER)
            self.usual[cls] += LEARN * (min(o.latency, aim / 2 / LATE_MARGIN) - self.usual[cls])
            b.slow, b.slow_at = slow + LEARN * (o.latency / self.typical[cls] - slow), now
            return o.latency / aim - min(TARGET, self.typical[cls] / aim), o.latency
        elif o.status not in (api.Status.OK, api.Status.CANCELLED, api.Status.MOOT):
            # Guards against blaming one event for each attempt that it ended: when all connections break at
            # once, a backend that is well again would be shunned for many seconds.
            if now - o.latency >= b.failed_at:
                self.fail(b, now)
                b.fails, b.rest_until = b.fails + 1, now + min(REST_MOST, 2 * PUMP * 2.0**b.fails)
                b.failed_at = now
        return None
