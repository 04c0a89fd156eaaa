"""Bookkeeping without decisions: timers, requests without an answer, and the fleet as the roster lists it."""

from __future__ import annotations

from itertools import islice
from math import inf
from random import Random

from fennelpoint import interface as api
from fennelpoint.state import Backend, Customer, Task

MAX_KNOWN_IDS = 10_000  # of backends, also of those that are gone


class Timers:
    """One timer for each token, the earliest that was asked for; the timers that it replaced are stale."""

    def __init__(self, tick: float) -> None:
        self.tick = tick
        self.due_at: dict[int, float] = {}

    def set(self, token: int, at: float, now: float) -> list[api.Action]:
        """Return the timer to set so that the token is due by then; none if one is due earlier."""
        if at >= self.due_at.get(token, inf):
            return []
        self.due_at[token] = at
        return [api.SetTimer(max(at - now, self.tick), token)]

    def fire(self, token: int, now: float) -> bool:
        """Clear a token's timer; False if the timer that fired is stale."""
        if now < self.due_at.get(token, inf) - self.tick:
            return False
        del self.due_at[token]
        return True


class RequestTable:
    """The open requests, those among them that are held, and the units that each customer has held."""

    def __init__(self) -> None:
        self.open: dict[int, Task] = {}
        self.held: dict[int, Task] = {}

    def hold(self, task: Task) -> None:
        if task.request.request_id not in self.held:
            self.held[task.request.request_id] = task
            task.customer.held += task.request.units

    def release(self, task: Task) -> bool:
        """Hold the request no longer; False if it was not held."""
        if self.held.pop(task.request.request_id, None) is None:
            return False
        task.customer.held = max(0.0, task.customer.held - task.request.units)
        return True

    def end(self, request_id: int) -> None:
        if (task := self.open.pop(request_id, None)) is not None:
            self.release(task)

    def held_by_worth(self) -> list[Task]:
        return sorted(self.held.values(), key=lambda task: (-task.worth, task.request.request_id))


class Fleet:
    """The backends that the roster lists, with the attempts in flight at them."""

    def __init__(self, ingress_index: int, ingresses: int) -> None:
        self.ingress_index, self.ingresses = ingress_index, ingresses
        self.backends: dict[object, Backend] = {}
        self.ready: list[Backend] = []  # usable ones, in this ingress's order of preference
        self.busy: dict[object, Backend] = {}  # those with attempts in flight
        self.in_flight = 0  # attempts at all of them
        self.probing: dict[object, list[Task]] = {}  # requests that wait for a backend's probe
        self.known_ids: dict[object, None] = {}  # of all lists so far, the last listed last
        self.withdrawn_at: dict[object, float] = {}  # by id of those that operators took out, listed or not
        self.restored_at: dict[object, float] = {}  # by id of backends that operators put back

    def apply_roster(self, roster: api.Roster, now: float) -> None:
        """Apply a list or its changes; a backend with another start time is a new one."""
        if roster.kind is not api.RosterKind.CHANGES:
            listed = {entry.backend for entry in roster.entries}
            for key, backend in self.backends.items():
                backend.entry.state = backend.entry.state if key in listed else api.BackendState.GONE
        for entry in roster.entries:
            self.known_ids.pop(entry.backend, None)
            self.known_ids[entry.backend] = None
            old = self.backends.get(entry.backend)
            if old is None or (
                entry.state is api.BackendState.READY and entry.started_at != old.entry.started_at
            ):
                new = self.backends[entry.backend] = Backend(
                    entry,
                    rank_for(entry.backend, self.ingress_index, self.ingresses),
                    now,
                    withdrawn=entry.backend in self.withdrawn_at,
                    restored_at=self.restored_at.get(entry.backend, 0.0),
                )
                if old is not None:  # attempts from before the restart may still be answered
                    new.rank, new.attempts, new.work_in_flight = old.rank, old.attempts, old.work_in_flight
                    self.busy.update({entry.backend: new} if new.attempts else {})
            else:
                old.entry = entry
        for backend in [
            backend
            for backend in self.backends.values()
            if backend.entry.state is api.BackendState.GONE and not backend.attempts
        ]:
            del self.backends[backend.entry.backend]
        for name in list(islice(self.known_ids, max(0, len(self.known_ids) - MAX_KNOWN_IDS))):
            if name not in self.backends and name not in self.withdrawn_at:
                del self.known_ids[name]
                self.restored_at.pop(name, None)
        self._sort_ready()

    def _sort_ready(self) -> None:
        self.ready = sorted(
            (backend for backend in self.backends.values() if backend.usable),
            key=lambda backend: backend.rank,
        )

    def withdraw(self, name: object, now: float) -> None:
        self.withdrawn_at.setdefault(name, now)
        if (backend := self.backends.get(name)) is not None:
            backend.withdrawn = True
            self._sort_ready()

    def restore(self, name: object, now: float) -> None:
        """Put a withdrawn backend back in use, as one started now, or at the start listed since it left."""
        if (since := self.withdrawn_at.pop(name, None)) is None:
            return
        backend = self.backends.get(name)
        self.restored_at[name] = (
            now if backend is None or backend.entry.started_at <= since else backend.entry.started_at
        )
        if backend is not None:
            backend.withdrawn, backend.restored_at = False, self.restored_at[name]
            backend.paused_until, backend.failures, backend.slowness = 0.0, 0, 1.0
            self._sort_ready()

    def listed(self) -> list[Backend]:
        return [known for known in self.backends.values() if known.entry.state is not api.BackendState.GONE]

    def add_attempt(self, backend: Backend, task: Task, work: float, target: float, now: float) -> None:
        backend.attempts[task.request.request_id] = (work, now, target, task.customer)
        backend.work_in_flight, self.busy[backend.entry.backend] = backend.work_in_flight + work, backend
        task.customer.attempts += 1
        self.in_flight += 1

    def start_streaming(self, backend: Backend, request_id: int) -> None:
        """Count an attempt whose answer is being streamed as open for the customer only."""
        work, sent_at, target, customer = backend.attempts[request_id]
        if sent_at < inf:
            backend.attempts[request_id] = (0.0, inf, target, customer)
            backend.work_in_flight = max(0.0, backend.work_in_flight - work)
            self.in_flight -= 1

    def restart_attempt(self, backend: Backend, request_id: int, now: float) -> None:
        """Count an attempt as sent now, as its request's body has only now come whole."""
        work, _, target, customer = backend.attempts[request_id]
        backend.attempts[request_id] = (work, now, target, customer)

    def remove_attempt(self, backend: Backend, request_id: int) -> None:
        """Remove an attempt that ended, also where the client has left meanwhile."""
        work, sent_at, _, customer = backend.attempts.pop(request_id)
        customer.attempts -= 1
        self.in_flight -= sent_at < inf
        backend.work_in_flight = max(0.0, backend.work_in_flight - work) if backend.attempts else 0.0
        if not backend.attempts:
            self.busy.pop(backend.entry.backend, None)

    def take_probed(self, backend_id: object) -> list[Task]:
        """Return the requests for which this was the last outstanding probe."""
        waiting = self.probing.pop(backend_id, ())
        return [
            task
            for task in waiting
            if task.probed and all(backend.entry.backend not in self.probing for backend in task.probed)
        ]

    def age_ratios(self, now: float) -> list[float]:
        return [
            (now - sent_at) / target
            for backend in self.busy.values()
            for _, sent_at, target, _ in backend.attempts.values()
            if sent_at < inf
        ]


def fill_buckets(customer: Customer, plan: api.Plan, depth: float, cap_depth: float, now: float) -> None:
    """Bring a customer's buckets up to date: its share of the quota, its part of the ceiling, its cut."""
    span, customer.filled_at = now - customer.filled_at, now
    customer.level = min(max(depth, customer.level), customer.level + plan.rate * customer.share * span)
    customer.ceiling = min(
        plan.ceiling_burst / customer.spread, customer.ceiling + plan.ceiling_rate / customer.spread * span
    )
    customer.fill_cap(cap_depth, span)


def rank_for(backend: object, index: int, ingresses: int) -> float:
    """Return an ingress's rank in a backend's order of the ingresses, which all ingresses compute alike."""
    # So each backend has about as many ingresses, and keeps them. The fraction decides between equal ranks.
    draw = Random(f"{backend}")
    return draw.sample(range(ingresses), ingresses)[index % ingresses] + Random(f"{backend} {index}").random()


def same_scope(backends: list[Backend], entry: api.BackendEntry | None, name: str) -> list[Backend]:
    """Return the backends of the same zone or cell; none where that is not known."""
    return [
        backend
        for backend in backends
        if entry is not None and getattr(backend.entry, name) == getattr(entry, name)
    ]


def record_total(
    customer: Customer, total: float, added: float, now: float
) -> tuple[float, float | None, float]:
    """Return units taken here and everywhere (None: first total or reset) and seconds since the last one."""
    span, before = now - customer.total_at, customer.last_total
    own, customer.own, customer.last_total, customer.total_at = (
        customer.own - customer.taken,
        customer.taken,
        total,
        now,
    )
    comparable = span > 0.0 and before is not None and total - before >= added - 0.01
    return own, max(total - before, own) if comparable else None, span


def forget_idle(customers: dict[int, Customer], max_checked: int, before: float) -> None:
    """Drop customers whose last request came before `before`; checks the first ones of `customers` only."""
    for customer in list(islice(customers.values(), max_checked)):
        if customer.last_request_at >= before:
            return
        del customers[customer.key]
        if customer.attempts or customer.held or customer.cap is not None:
            customers[customer.key] = customer  # to the end, so that those behind it are checked next
