"""What the model checks share: seeded random schedules on a virtual time, and links that lose and delay."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import msgspec

# Events of one virtual second above which a schedule is taken for one that never ends: 8 times the most that was seen
# in 60 schedules of each check that counts them here (5,934, quotas).
MOST_EVENTS = 50_000


class Violation(Exception):
    """What must never happen has happened."""


class Report(msgspec.Struct):
    """What was played, and what went wrong: one line for each schedule with a fault."""

    schedules: int = 0
    events: int = 0
    outcomes: Counter = msgspec.field(default_factory=Counter)
    violations: list[str] = msgspec.field(default_factory=list)

    def merge(self, other: Report) -> None:
        """Add what another process has played."""
        self.schedules += other.schedules
        self.events += other.events
        self.outcomes += other.outcomes
        self.violations += other.violations


class Mutant(msgspec.Struct, frozen=True):
    """The code under check without one of its guards: a check that can't fail proves nothing.

    `guard` says in a few words what is left out, `run` plays schedules with it left out, `seed` is one with
    which the check finds it, None where none is known; `why` then says whether the guard is needless or
    beyond what the check reaches.
    """

    guard: str
    run: Callable[[Iterable[int]], Report]
    seed: int | None = None
    why: str = ""


class Course:
    """Virtual time, in seconds, with what is due on it, and chances that all come from one seed.

    `loss`, `doubled` and `late` are the parts of the messages that are lost, come twice, and come up to two
    seconds later than others.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.loss = self.doubled = self.late = 0.0
        self.events = 0
        self._second, self._in_second = -1, 0  # the virtual second that is on, and its events so far
        self.outcomes: Counter = Counter()
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0

    def after(self, delay: float, what: Callable, *args: Any) -> None:
        """Have `what` done `delay` seconds from now."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, what, args))

    def run_until(self, end: float) -> None:
        """Let everything happen that is due by `end`."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, what, args = heapq.heappop(heap)
            self._count_event()
            what(*args)
        self.now = end

    def _count_event(self) -> None:
        self.events += 1
        if int(self.now) != self._second:
            self._second, self._in_second = int(self.now), 0
        self._in_second += 1
        if self._in_second > MOST_EVENTS:
            raise Violation(f"more than {MOST_EVENTS} events in one second: something goes round for ever")

    def carry(self, what: Callable, *args: Any) -> None:
        """Have `what` done as one message comes over a link: once, twice or never."""
        rng = self.rng
        if rng.random() < self.loss:
            return
        for _ in range(2 if rng.random() < self.doubled else 1):
            delay = rng.uniform(0.001, 0.004)
            if rng.random() < self.late:
                delay = rng.uniform(0.05, 2.0)
            self.after(delay, what, *args)

    def steady(self) -> None:
        """From now on every message comes once and in time."""
        self.loss = self.doubled = self.late = 0.0


class Schedule(Protocol):
    """One random schedule."""

    world: Course

    def play(self) -> None:
        """Play it to its end; raises Violation."""


def play(seeds: Iterable[int], make: Callable[[int], Schedule], report: Report) -> None:
    """Play the schedule that `make` gives for each seed, and add what comes of it to the report."""
    for seed in seeds:
        schedule = make(seed)
        try:
            schedule.play()
        except Violation as violation:
            report.violations.append(f"seed {seed} at {schedule.world.now:.3f}s: {violation}")
        report.schedules += 1
        report.events += schedule.world.events
        report.outcomes += schedule.world.outcomes
