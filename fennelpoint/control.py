"""What one ingress does about each event; the types of events and actions are in `interface.py`."""
# A request is counted (`_on_request`), sent (`_send`) or held (`_recheck_held`), and ended (`_on_outcome`).
# Quotas are in `quota.py`, cuts in `regions.py`, backends in `choice.py`, attempts in flight in `window.py`.

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.choice import FULL_PAUSE_S, MARGIN, RECHECK_S, Choice
from fennelpoint.quota import FORGET_AFTER_S, UNTAKEN, Quotas
from fennelpoint.regions import PERIOD_S, Flow, Regulator
from fennelpoint.state import Customer, Task
from fennelpoint.upkeep import Fleet, RequestTable, Timers
from fennelpoint.window import Window

EXCESS_WINDOW_SHARE = 0.25  # share of the window that requests beyond quotas may fill
RETRY_RATIO, MAX_RETRY_BUDGET = 0.1, 10.0  # retries allowed a first attempt; most that are saved up
TOKEN_PERIOD, TOKEN_RECHECK = 1, 2


def cuttable_flows(failed: list[Flow], meet: list[Flow]) -> list[Flow]:
    """Allow cuts of customers that meet quota and target only while customers of several plans fail."""
    return meet if len({flow.plan for flow in failed}) > 1 else []


class Controller:
    """The decisions of one ingress: give it events, carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.actions = settings, Random(seed), []
        self.fleet, self.requests = Fleet(settings.ingress_index, settings.ingresses), RequestTable()
        self.timers = Timers(settings.tick)
        self.quotas = Quotas(settings, self.random, now)
        self.regulator, self.period_began_at = Regulator(self.quotas.own_rate, cuttable_flows), now
        self.choice = Choice(settings, self.fleet, self.random)
        self.window = Window(self.fleet, now)
        self.retry_budget = MAX_RETRY_BUDGET
        self.handlers = {
            api.Request: self._on_request,
            api.Outcome: self._on_outcome,
            api.Roster: self._on_roster,
            api.ProbeResult: self._on_probe_result,
            api.TimerDue: self._on_timer,
            api.CounterReply: self._on_counter_reply,
            api.ClientGone: lambda event, now: self.requests.end(event.request_id),
            api.Withdraw: lambda event, now: self.fleet.withdraw(event.backend, now),
            api.Restore: lambda event, now: self._restore(event.backend, now),
            api.BodyReceived: lambda event, now: self._on_body_received(event.request_id, now),
            api.StreamStarted: self._on_stream_started,
            api.ProcessShare: lambda event, now: self._set_process_share(event.share, now),
        }

    def start(self, now: float) -> list[api.Action]:
        return [api.Subscribe()] if self.settings.discovery == "ask" else []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        self.handlers.get(type(event), lambda event, now: None)(event, now)
        return self.actions

    def knows(self, backend: object) -> bool:
        """Whether any roster so far has listed it or an operator has withdrawn it."""
        return backend in self.fleet.known_ids or backend in self.fleet.withdrawn_at

    def backend_counts(self, now: float) -> tuple[int, int]:
        """Return how many backends the roster lists, and how many of them get no new requests at present."""
        listed = self.fleet.listed()
        return len(listed), sum(not backend.usable or now < backend.paused_until for backend in listed)

    def _set_process_share(self, share: float, now: float) -> None:
        self.quotas.set_process_share(share, now)
        self.window.process_share = share
        self._recheck_held(now)

    def _on_timer(self, due: api.TimerDue, now: float) -> None:
        if self.timers.fire(due.token, now):
            self._end_period(now) if due.token == TOKEN_PERIOD else self._recheck_held(now)

    def _on_counter_reply(self, reply: api.CounterReply, now: float) -> None:
        ok = reply.status is api.Status.OK and 0.0 <= reply.total < inf
        if reply.key >= UNTAKEN:
            return self.quotas.on_untaken_total(reply, ok)
        if (customer := self.quotas.customers.get(reply.key)) is None:
            return
        if customer.checks:
            task = self.quotas.on_check_reply(customer, reply, ok, now)
            if self.requests.release(task):
                task.earliest = now
                self._send_or_hold(task, now)
            return
        if customer.held:  # the new level may let held requests go
            self.actions += self.timers.set(TOKEN_RECHECK, now + RECHECK_S, now)
        self.quotas.on_total(customer, reply, ok, now)

    def _on_request(self, request: api.Request, now: float) -> None:
        cls, plan = self.settings.classes[request.cls], self.settings.plans[request.plan]
        customer = self.quotas.customer_of(request, now)
        task = Task(
            request, customer, inf, inf, cls.worth * plan.price, kind=2 if request.is_retry else customer.seen
        )
        self._start_clock(task, now)
        self.requests.open[request.request_id], customer.worth = task, max(customer.worth, task.worth)
        self.quotas.fill(customer, now)
        if customer.window:
            if calls := self.quotas.check(task, now):
                self.actions += calls
                return self._hold(task, now)
            self.quotas.guess_quota(task, self.window.pressure, now)
            return self._send_or_hold(task, now)
        self._send_or_hold(task, now)
        self.actions += self.quotas.count(customer, now)

    def _start_clock(self, task: Task, now: float) -> None:
        left, margin = task.request.time_left, 2 * RECHECK_S + self.settings.tick
        task.target_at = now + min(self.settings.classes[task.request.cls].latency_target, left)
        task.latest_at = now + left - margin
        task.half_at = now + left / 2 - margin

    def _on_body_received(self, request_id: int, now: float) -> None:
        # Restart the time limits of a request whose body is complete: only its client took time so far.
        if (task := self.requests.open.get(request_id)) is None:
            return
        self._start_clock(task, now)
        for backend in self.fleet.busy.values():
            if request_id in backend.attempts:
                self.fleet.restart_attempt(backend, request_id, now)

    def _on_stream_started(self, event: api.StreamStarted, now: float) -> None:
        # Take the latency from the first bytes of a streamed answer, as the rest is up to the client.
        task, backend = self.requests.open.get(event.request_id), self.fleet.backends.get(event.backend)
        if task is not None:
            task.stream_at = now
        if backend is not None and event.request_id in backend.attempts:
            self.fleet.start_streaming(backend, event.request_id)
        self._recheck_held(now)

    def _send_or_hold(self, task: Task, now: float) -> None:
        # Send a new request, hold it while its latency target can be met, or refuse it at once.
        customer, request = task.customer, task.request
        is_behind = (  # held requests of the customer come first
            task.in_quota is None and customer.held > 0.0 and customer.level < customer.held + request.units
        )
        if not is_behind and (self._send(task, now) or request.request_id in self.requests.held):
            return
        wait = self.quotas.wait_for_units(task)
        is_late = (
            task.in_quota is False
            or now + max(0.0, wait) + MARGIN * self.choice.recent[request.cls] > task.target_at
        )
        self._refuse(task, now, max(wait, customer.window / 2)) if is_late else self._hold(task, now)

    def _send(self, task: Task, now: float) -> bool:
        is_first = not task.is_charged
        in_quota = self.quotas.check_quota(task, self.regulator.has_failed, now) if is_first else True
        if in_quota is None or self.window.is_full(1.0 if in_quota else EXCESS_WINDOW_SHARE, now):
            return False
        was_unprobed = task.probed is None
        if (backend := self.choice.choose(task, self._may_send(task, now), now)) is None:
            if was_unprobed and task.probed is not None:
                self.actions += [api.Probe(backend.entry.backend) for backend in task.probed]
                self._hold(task, now)
            return False
        if is_first:
            self.quotas.charge(task, in_quota)
            self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_RATIO)
        self.requests.release(task)
        task.is_charged, task.probed, task.attempts, work = (
            True,
            None,
            task.attempts + 1,
            self.choice.typical[task.request.cls],
        )
        self.fleet.add_attempt(
            backend, task, work, self.settings.classes[task.request.cls].latency_target, now
        )
        self.regulator.record_sent(task.customer, task.request.units * is_first, work)
        self._schedule_period(now)
        self.actions.append(
            api.Send(task.request.request_id, backend.entry.backend, self.choice.timeout(task, backend, now))
        )
        return True

    def _hold(self, task: Task, now: float) -> None:
        # One that reached no backend ends before half of its time, so that its client may try elsewhere.
        late_at = task.target_at - MARGIN * self.choice.recent[task.request.cls]
        task.ends_at = min(late_at, task.latest_at, inf if task.tried else task.half_at)
        self.requests.hold(task)
        self.actions += self.timers.set(TOKEN_RECHECK, min(self._due_at(task, now), task.ends_at), now)

    def _due_at(self, task: Task, now: float) -> float:
        # Not before its bucket can hold its units: frequent rechecks of requests short of quota are costly.
        return max(now + RECHECK_S, task.earliest, self.quotas.units_due_at(task))

    def _recheck_held(self, now: float) -> None:
        soonest = inf
        for task in self.requests.held_by_worth():
            # A full window is checked first: guards the CPU while many requests are held.
            if now >= task.earliest and self.fleet.in_flight < self.window.limit() and self._send(task, now):
                continue
            if now >= task.ends_at:
                self._answered(task.customer, 1.0, now)
                self._refuse(task, now, 0.0)
            else:
                soonest = min(soonest, max(now + RECHECK_S, min(self._due_at(task, now), task.ends_at)))
        self.actions += self.timers.set(TOKEN_RECHECK, soonest, now)

    def _refuse(self, task: Task, now: float, wait: float) -> None:
        # Refused if it may safely be repeated: best once it has units and an answer may have freed a place.
        cls = self.settings.classes[task.request.cls]
        is_safe = self._may_send(task, now) and (
            task.ran_at is None or cls.effect is api.Effect.SAFE or cls.scope is api.DedupScope.ALL
        )
        task.customer.untaken += task.request.units * (not task.is_charged)
        wait = max(wait, self.choice.recent[task.request.cls])
        retry_after = min(self.settings.max_retry_after, wait) if self.settings.may_set_retry_after else 0.0
        self.actions.append(
            api.Refuse(task.request.request_id, retry_after) if is_safe else api.Fail(task.request.request_id)
        )
        self.requests.end(task.request.request_id)

    def _may_send(self, task: Task, now: float) -> bool:
        cls = self.settings.classes[task.request.cls]
        is_deduplicated = (
            cls.effect is api.Effect.KEYED and task.ran_at is not None and now < task.ran_at + cls.dedup_span
        )
        return task.ran_at is None or cls.effect is api.Effect.SAFE or is_deduplicated

    def _on_outcome(self, outcome: api.Outcome, now: float) -> None:
        backend, task = self.fleet.backends.get(outcome.backend), self.requests.open.get(outcome.request_id)
        if backend is not None and outcome.request_id in backend.attempts:
            sample = self.choice.on_outcome(backend, outcome, task, now)
            self.window.observe(*sample, now) if sample else None
        if task is not None and (outcome.status is api.Status.OK or outcome.request_ended):
            target = self.settings.classes[task.request.cls].latency_target
            self._answered(task.customer, ((task.stream_at or now) - (task.target_at - target)) / target, now)
            task.customer.level -= outcome.actual_units - task.request.units if outcome.actual_units else 0.0
            self.requests.end(outcome.request_id)
        elif task is not None:
            if not outcome.status.never_ran and task.ran_at is None:
                task.ran_at, task.ran_on = now - outcome.latency, backend.entry if backend else None
            task.tried = task.tried or outcome.status not in (api.Status.CONNECT_FAILED, api.Status.NOT_SENT)
            task.earliest = now + FULL_PAUSE_S * task.attempts * (
                outcome.status in (api.Status.FULL, api.Status.NOT_SENT)
            )
            # An attempt after one that may have run is a retry; the budget guards against retry storms.
            is_retry = task.ran_at is not None
            is_barred = self.retry_budget < 1.0 or not self._may_send(task, now)
            if (
                task.attempts >= self.settings.max_attempts
                or now >= task.latest_at
                or (is_retry and is_barred)
                or not outcome.can_resend
            ):
                self._refuse(task, now, 0.0)
            else:
                self.retry_budget -= is_retry
                if now < task.earliest or not self._send(task, now):
                    self._hold(task, now)
        self._recheck_held(now)

    def _on_roster(self, roster: api.Roster, now: float) -> None:
        if roster.kind is api.RosterKind.FAILED:
            return self.actions.append(api.Subscribe())
        self.fleet.apply_roster(roster, now)
        self.window.open(self.settings.ingresses)

    def _restore(self, backend: object, now: float) -> None:
        self.fleet.restore(backend, now)
        self._recheck_held(now)

    def _on_probe_result(self, probe: api.ProbeResult, now: float) -> None:
        if (backend := self.fleet.backends.get(probe.backend)) is not None:
            ok = probe.status is api.Status.OK
            self.choice.on_report(backend, probe.report, now) if ok else self.choice.on_failure(backend, now)
        for task in self.fleet.take_probed(probe.backend):
            task.earliest = now
            if task.request.request_id in self.requests.held and not self._send(task, now):
                self._hold(task, now)

    def _answered(self, customer: Customer, ratio: float, now: float) -> None:
        self.regulator.record_answer(customer, ratio)
        self._schedule_period(now)

    def _schedule_period(self, now: float) -> None:
        # Start a period unless one is running; none run while there is nothing to look at.
        if TOKEN_PERIOD not in self.timers.due_at:
            self.period_began_at = now
            self.actions += self.timers.set(TOKEN_PERIOD, now + PERIOD_S, now)

    def _end_period(self, now: float) -> None:
        span, self.period_began_at = max(1e-6, now - self.period_began_at), now
        self.window.observe_in_flight(PERIOD_S, now)
        self.regulator.regulate(span)
        self.regulator.drop_idle(now - FORGET_AFTER_S)
        if self.regulator.active or self.fleet.busy:
            self.actions += self.timers.set(TOKEN_PERIOD, now + PERIOD_S, now)
