"""Shared by the model checks: discrete-event simulation on virtual time, and links that lose, repeat and delay."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import msgspec

# A schedule with more events than this within one virtual second is reported as an endless loop.
MAX_EVENTS_PER_SECOND = 50_000


class Violation(Exception):
    """An invariant is broken."""


class Report(msgspec.Struct):
    """Totals over the schedules that were run, and one line for each schedule with a violation."""

    schedules: int = 0
    events: int = 0
    outcomes: Counter = msgspec.field(default_factory=Counter)
    violations: list[str] = msgspec.field(default_factory=list)

    def merge(self, other: Report) -> None:
        """Add the report of another process."""
        self.schedules += other.schedules
        self.events += other.events
        self.outcomes += other.outcomes
        self.violations += other.violations


class Mutant(msgspec.Struct, frozen=True):
    """The code under check with one of its guards removed, to show that the check can detect its absence.

    `guard` names the removed guard, and `run` runs schedules without it. `seed` is the seed of a schedule that
    reports a violation, or None if none is known; `why` then says whether the guard is redundant for what is
    checked, or out of reach of the check.
    """

    guard: str
    run: Callable[[Iterable[int]], Report]
    seed: int | None = None
    why: str = ""


class EventSimulation:
    """An event queue on virtual time, in seconds, with one random generator for all decisions.

    `loss_rate`, `duplicate_rate` and `delay_rate` are the fractions of messages that are lost, delivered twice, and
    delayed by up to two seconds.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.loss_rate = self.duplicate_rate = self.delay_rate = 0.0
        self.events = 0
        self._current_second, self._events_in_second = -1, 0
        self.outcomes: Counter = Counter()
        self._event_queue: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0

    def after(self, delay: float, callback: Callable, *args: Any) -> None:
        """Call `callback` in `delay` seconds."""
        self._sequence += 1
        heapq.heappush(self._event_queue, (self.now + delay, self._sequence, callback, args))

    def run_until(self, end: float) -> None:
        """Run all events that are due by `end`."""
        queue = self._event_queue
        while queue and queue[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(queue)
            self._count_event()
            callback(*args)
        self.now = end

    def _count_event(self) -> None:
        self.events += 1
        if int(self.now) != self._current_second:
            self._current_second, self._events_in_second = int(self.now), 0
        self._events_in_second += 1
        if self._events_in_second > MAX_EVENTS_PER_SECOND:
            raise Violation(f"more than {MAX_EVENTS_PER_SECOND} events in one second: endless loop")

    def transmit(self, callback: Callable, *args: Any) -> None:
        """Call `callback` when a message sent over a link arrives: once, twice or never."""
        rng = self.rng
        if rng.random() < self.loss_rate:
            return
        for _ in range(2 if rng.random() < self.duplicate_rate else 1):
            delay = rng.uniform(0.001, 0.004)
            if rng.random() < self.delay_rate:
                delay = rng.uniform(0.05, 2.0)
            self.after(delay, callback, *args)

    def clear_link_faults(self) -> None:
        """From now on deliver every message once and without extra delay."""
        self.loss_rate = self.duplicate_rate = self.delay_rate = 0.0


class Schedule(Protocol):
    """One random schedule."""

    world: EventSimulation

    def play(self) -> None:
        """Run it to its end; raises Violation."""


def play(seeds: Iterable[int], make_schedule: Callable[[int], Schedule], report: Report) -> None:
    """Run the schedule that `make_schedule` returns for each seed, and add its results to the report."""
    for seed in seeds:
        schedule = make_schedule(seed)
        try:
            schedule.play()
        except Violation as violation:
            report.violations.append(f"seed {seed} at {schedule.world.now:.3f}s: {violation}")
        report.schedules += 1
        report.events += schedule.world.events
        report.outcomes += schedule.world.outcomes
