"""How many attempts an ingress may have in flight: more while queueing takes little of the latency target."""

from __future__ import annotations

from fennelpoint.upkeep import Fleet

LEARNING_RATE = 0.2  # weight of a new sample in an average
MAX_PRESSURE, MAX_PAUSE_S = 0.25, 3.0
INITIAL_IN_FLIGHT, WINDOW_DECREASE, MIN_WINDOW = 12.0, 0.85, 0.1  # at first, a backend; on a decrease; least


class Window:
    """The concurrency window; its pressure is the part of latency targets lost to queueing, on average."""

    def __init__(self, fleet: Fleet, now: float) -> None:
        self.fleet = fleet
        self.size, self.pressure, self.decreased_at, self.paused_until = 0.0, 0.0, now, now
        self.process_share = 1.0  # the rest belongs to another process of this ingress

    def open(self, ingresses: int) -> None:
        """Start with this ingress's part of what the backends can run at once."""
        self.size = self.size or max(1.0, INITIAL_IN_FLIGHT * len(self.fleet.ready) / ingresses)

    def limit(self, share: float = 1.0) -> float:
        """Return how many attempts may be in flight from this process, within a share of the window."""
        return max(1.0, self.size * self.process_share * share)

    def is_full(self, share: float, now: float) -> bool:
        return now < self.paused_until or self.fleet.in_flight >= self.limit(share)

    def observe_in_flight(self, latency: float, now: float) -> None:
        """Learn from the age of what is in flight: the answers of a stalled back end would come too late."""
        ages = sorted(self.fleet.age_ratios(now))
        if ages and (age := ages[len(ages) // 2]) > max(MAX_PRESSURE, self.pressure):
            self.observe(age, latency, now)

    def observe(self, ratio: float, latency: float, now: float) -> None:
        """Learn from the part of a latency target lost to queueing; a window under one means pauses."""
        # Capped at one target, so that a few stalled backends do not stop all traffic.
        self.pressure += LEARNING_RATE * (min(1.0, ratio) - self.pressure)
        if self.pressure <= MAX_PRESSURE and self.fleet.in_flight + 1 >= self.size * self.process_share:
            self.size += min(self.size, 1.0 / self.size)
        elif self.pressure > MAX_PRESSURE and now - self.decreased_at > latency:
            self.size, self.decreased_at = max(MIN_WINDOW, self.size * WINDOW_DECREASE), now
        self.paused_until = now + min(MAX_PAUSE_S, latency * max(0.0, 1.0 / self.size - 1.0))
