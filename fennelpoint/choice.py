"""Which backend a request is sent to, and what is known of backends: how slow they are, and how cold."""

from __future__ import annotations

from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Backend, Task
from fennelpoint.upkeep import Fleet, same_scope
from fennelpoint.window import LEARNING_RATE, MAX_PAUSE_S, MAX_PRESSURE

RECHECK_S, MARGIN = 0.02, 3.0  # for requests that wait; recent latencies kept until the target
INITIAL_LATENCY, LEARN_FASTER, LEARN_SLOWER = 0.12, 0.1, 0.03  # of the target; of quicker and slower answers
TAIL_SHARE, TAIL_STEP, TIMEOUT_TAILS = 0.1, 0.1, 3.0  # answers beyond the tail; its steps; tails to wait for
FAILURE_SLOWNESS, MAX_SLOWNESS, SLOWNESS_HALF_LIFE_S = 4.0, 6.0, 1.0  # factor of a failure; largest slowness
FULL_PAUSE_S = 0.03  # for a backend that rejected an attempt as full
OTHER_ZONE_FACTOR, CANDIDATES = 1.15, 16  # on the cost of another zone; backends that an ingress prefers
MIN_RANDOM, FEW_PEERS = 0.2, 4.0  # least random part of a cost; ingresses whose own work shows most load
PROBES, PROBE_WAIT_S = 2, 0.05  # backends probed for a request, and how long it waits for them
REPORT_HALF_LIFE_S, ALL_COLD_POWER = 1.0, 1.5  # power of the cold share by which to draw if all are cold


class Choice:
    """Chooses a backend by the work in flight there, its own reports and the answers so far."""

    def __init__(self, settings: api.Settings, fleet: Fleet, random: Random) -> None:
        self.settings, self.fleet, self.random = settings, fleet, random
        # By class: latency without queueing, recent latency, and latency of the slowest answers.
        self.typical = [INITIAL_LATENCY * cls.latency_target for cls in settings.classes]
        self.recent = list(self.typical)
        self.tail = [cls.latency_target / TIMEOUT_TAILS for cls in settings.classes]
        self.mean_load = 0.0  # requests that a backend reports, on average
        # Where reports come with answers, the more ingresses there are, the older each one's reports get.
        report_age = max(1.0, settings.ingresses / FEW_PEERS) if settings.report_via == "answers" else 1.0
        self.report_half_life = REPORT_HALF_LIFE_S * report_age**0.5
        # Grows with the share of a backend's work that other ingresses send.
        self.random_part = MIN_RANDOM + (1.0 - MIN_RANDOM) * max(0.0, 1.0 - FEW_PEERS / settings.ingresses)
        self.uses_probes = settings.may_probe and settings.report_via != "none" and self.random_part > 0.5

    def cold_share(self, backend: Backend, now: float) -> float:
        """Return the share of its capacity that a backend surely has by now; 1 when it is warm."""
        started = max(backend.entry.started_at, backend.restored_at)
        age = max(0.0, now - started) if started > 0.0 else inf
        grown = min(1.0, age / max(self.settings.ramp_time, self.settings.tick))
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * grown

    def choose(self, task: Task, allowed: bool, now: float) -> Backend | None:
        """Return the cheapest backend; None if the request waits, for probes of `task.probed` if any."""
        cls, usable = self.settings.classes[task.request.cls], []
        ready = self.fleet.ready if allowed else []
        if task.ran_at is not None and cls.effect is api.Effect.KEYED and cls.scope is not api.DedupScope.ALL:
            ready = same_scope(ready, task.ran_on, "zone" if cls.scope is api.DedupScope.ZONE else "cell")
        # The preferred part of the fleet first: keeps the number of connections low.
        for pool in (task.probed or (), ready[:CANDIDATES], ready):
            usable = usable or [backend for backend in pool if backend.usable and now >= backend.paused_until]
        draws = sorted(
            (self.random.expovariate(max(backend.entry.weight, 1e-3)), i) for i, backend in enumerate(usable)
        )
        # Guards cold backends against the sum of all ingresses: one has to win a draw by weight, then one by
        # its cold share, once in half a target. Where all are cold it wins more rarely, as losers draw again.
        costs = sorted(
            (self.cost(usable[i], draw, task, now), i)
            for draw, i in draws
            if self.cold_share(usable[i], now) >= 1.0
        )
        if draws and now >= task.draw_at and (share := self.cold_share(usable[draws[0][1]], now)) < 1.0:
            task.draw_at = now + cls.latency_target / 2
            if self.random.random() < (share if costs else share**ALL_COLD_POWER):
                return usable[draws[0][1]]
        if not self.uses_probes or task.probed is not None or not costs:
            return usable[costs[0][1]] if costs else None
        task.probed, task.earliest = [usable[i] for _, i in costs[:PROBES]], now + PROBE_WAIT_S
        for backend in task.probed:
            self.fleet.probing.setdefault(backend.entry.backend, []).append(task)
        return None

    def cost(self, backend: Backend, draw: float, task: Task, now: float) -> float:
        """Return the known work before a new request at this backend, over the backend's weight."""
        # Own work counts once for each ingress, as all read the same reports; else all crowd one backend.
        weight, work, held = max(backend.entry.weight, 1e-3), self.typical[task.request.cls], self.mean_load
        held += (backend.load - held) * 0.5 ** ((now - backend.reported_at) / self.report_half_life)
        factor = 1.0 if task.probed else 1.0 + self.random_part * (draw * weight - 1.0)
        factor *= OTHER_ZONE_FACTOR if backend.entry.zone != self.settings.zone else 1.0
        in_flight = backend.work_in_flight * self.settings.ingresses
        return factor * self.current_slowness(backend, now) * (in_flight + work * (1.0 + held)) / weight

    def current_slowness(self, backend: Backend, now: float) -> float:
        return 1.0 + (backend.slowness - 1.0) * 0.5 ** ((now - backend.slowness_at) / SLOWNESS_HALF_LIFE_S)

    def on_failure(self, backend: Backend, now: float) -> None:
        backend.slowness, backend.slowness_at = (
            min(MAX_SLOWNESS, max(1.0, self.current_slowness(backend, now)) * FAILURE_SLOWNESS),
            now,
        )

    def timeout(self, task: Task, backend: Backend, now: float) -> float:
        """Return how long to wait for an answer; 0 means until the client's deadline."""
        # An answer far later than nearly all others will not come; wait on where no other attempt can help.
        wait = TIMEOUT_TAILS * self.tail[task.request.cls] / self.cold_share(backend, now)
        retry = (
            task.attempts < self.settings.max_attempts
            and self.settings.may_cancel
            and not task.request.is_uploading
            and self.settings.classes[task.request.cls].effect is not api.Effect.UNSAFE
        )
        return (
            wait if retry and now + wait + MARGIN * self.recent[task.request.cls] <= task.target_at else 0.0
        )

    def on_report(self, backend: Backend, values: list[float], now: float) -> None:
        loads = {
            name: value
            for name, value in zip(self.settings.report_fields, values, strict=False)
            if 0.0 <= value < inf
        }
        busy = 1.0 / (1.1 - min(1.0, loads.get("util", 0.0))) - 1.0 / 1.1
        held = max(loads.get("inflight", 0.0), loads.get("queue", 0.0), busy)
        self.mean_load += LEARNING_RATE / 4 * (held - self.mean_load) if loads else 0.0
        # An empty report counts as a high load: reports may fail just at the busy backends.
        backend.load, backend.reported_at = held if loads else max(backend.load, 2.0 * self.mean_load), now

    def on_outcome(
        self, backend: Backend, outcome: api.Outcome, task: Task | None, now: float
    ) -> tuple[float, float] | None:
        """Learn from how an attempt ended; return the pressure that it shows and the latency, if any."""
        self.fleet.remove_attempt(backend, outcome.request_id)
        self.on_report(backend, outcome.report, now) if outcome.report else None
        if task is not None and outcome.status in (api.Status.OK, api.Status.TIMEOUT):
            # A timeout counts as late; else ever shorter timeouts would follow while a back end slows down.
            late = outcome.status is api.Status.TIMEOUT or outcome.latency > self.tail[task.request.cls]
            self.tail[task.request.cls] *= 1.0 + TAIL_STEP * (late - TAIL_SHARE)
        if outcome.status is api.Status.FULL:
            backend.paused_until = now + 2 * FULL_PAUSE_S
            # Only a majority of rejections shrinks the window, once an answer can show the last decrease.
            return 2.0 * MAX_PRESSURE, max(self.recent)
        elif outcome.status is api.Status.OK and task is not None and 0.0 <= outcome.latency < inf:
            cls, target, slowness, backend.failures = (
                task.request.cls,
                self.settings.classes[task.request.cls].latency_target,
                self.current_slowness(backend, now),
                0,
            )
            excess = outcome.latency - self.typical[cls]
            if self.cold_share(backend, now) >= 1.0:
                self.typical[cls] += excess * (LEARN_SLOWER if excess > 0 else LEARN_FASTER)
            self.recent[cls] += LEARNING_RATE * (min(outcome.latency, target / 2 / MARGIN) - self.recent[cls])
            backend.slowness, backend.slowness_at = (
                slowness + LEARNING_RATE * (outcome.latency / self.typical[cls] - slowness),
                now,
            )
            return outcome.latency / target - min(MAX_PRESSURE, self.typical[cls] / target), outcome.latency
        elif outcome.status not in (api.Status.OK, api.Status.CANCELLED, api.Status.NOT_SENT):
            # Not if sent before the last failure: all connections of a healthy backend may break at once.
            if now - outcome.latency >= backend.failed_at:
                self.on_failure(backend, now)
                backend.failures, backend.paused_until = (
                    backend.failures + 1,
                    now + min(MAX_PAUSE_S, 2 * RECHECK_S * 2.0**backend.failures),
                )
                backend.failed_at = now
        return None
