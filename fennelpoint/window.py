"""How many attempts of its own an ingress has out: more while little of the aim is lost to crowding."""

from __future__ import annotations

from fennelpoint.upkeep import Fleet

LEARN = 0.2  # weight of an answer in an average
TARGET, REST_MOST = 0.25, 3.0  # of the aim, used behind: the rest to wait in; s, longest rest
FIRST_OUT, WINDOW_CUT, LEAST_OUT = 12.0, 0.85, 0.1  # own attempts out: a backend at first, of all; cut; least


class Window:
    """The attempts that may be out at the backends of one fleet."""

    def __init__(self, fleet: Fleet, now: float) -> None:
        self.fleet = fleet
        self.size, self.pressure, self.cut_at, self.rest_until = 0.0, 0.0, now, now
        self.part = 1.0  # of it; the rest is with another process of this ingress

    def open(self, ingresses: int) -> None:
        """Start with this ingress's part of what the backends can take at once."""
        self.size = self.size or max(1.0, FIRST_OUT * len(self.fleet.ready) / ingresses)

    def most(self, share: float = 1.0) -> float:
        """How many attempts may be out here, of the window that all processes of this ingress have."""
        return max(1.0, self.size * self.part * share)

    def full(self, share: float, now: float) -> bool:
        """Whether nothing more may be sent now, by what this share of the window holds."""
        return now < self.rest_until or self.fleet.out >= self.most(share)

    def age(self, latency: float, now: float) -> None:
        """Look at what is out: guards against a back end that slows or stalls, whose answers tell only once
        they come."""
        ages = sorted(self.fleet.ages(now))
        if ages and (age := ages[len(ages) // 2]) > max(TARGET, self.pressure):
            self.press(age, latency, now)

    def press(self, ratio: float, latency: float, now: float) -> None:
        """More attempts may be out while little of the aim is lost to crowding; under one, we rest."""
        # Counts what comes very late as one aim: guards against a few stalled backends that stop us all.
        self.pressure += LEARN * (min(1.0, ratio) - self.pressure)
        if self.pressure <= TARGET and self.fleet.out + 1 >= self.size * self.part:
            self.size += min(self.size, 1.0 / self.size)
        elif self.pressure > TARGET and now - self.cut_at > latency:
            self.size, self.cut_at = max(LEAST_OUT, self.size * WINDOW_CUT), now
        self.rest_until = now + min(REST_MOST, latency * max(0.0, 1.0 / self.size - 1.0))
