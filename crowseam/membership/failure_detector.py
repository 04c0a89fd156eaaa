"""Failure detection that adapts to how regularly each peer has been heard of late.

For every peer the intervals between its signs of life are kept.  The suspicion ``phi`` is minus the decimal
logarithm of the chance that a peer which is well lets us wait this long: 1 stands for one false alarm in
ten, 3 for one in a thousand.  On top come bounds that hold whatever the statistics say, and a tolerance for
single signs that are lost on the way.

To hear a peer is half of a contact: it may not hear us, and the other way round.  So a peer is near, and
counts for a majority, only while it has answered something that we sent within the last ``PROOF`` seconds.
That moment is when we sent it, by our own clock, and no pause of our own moves it: one that stood still is
out of touch until it has been answered anew.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from statistics import NormalDist, fmean

SAMPLES = 48
PHI_SUSPECT = 2.0
PHI_DEAD = 8.0
PHI_MOST = 300.0  # where the chance is no longer a number above 0
PROOF = 1.5  # seconds for which an answered message shows that both ways are open, from when it was sent


class Detector:
    """Tells peers that are alive, slow, suspect or dead apart.

    ``every`` is the interval in seconds at which peers are meant to be heard.  ``least`` and ``most`` bound
    the silence, in seconds, at which a peer is taken for dead.  ``slow`` is the round trip, in seconds, and
    ``late`` the multiple of ``every`` in the mean interval, from which a peer that answers is called slow.
    """

    def __init__(
        self,
        every: float = 0.25,
        least: float = 0.8,
        most: float = 3.0,
        slow: float = 0.3,
        late: float = 2.0,
    ):
        self.every = every
        self.least = least
        self.most = most
        self.slow = slow
        self.late = late
        self._peers: dict[str, _Peer] = {}
        self._ticked: float | None = None

    def watch(self, peer: str, now: float) -> None:
        """Begin to expect a peer; it has until ``most`` to be heard for the first time."""
        if peer not in self._peers:
            self._peers[peer] = _Peer(now)

    def forget(self, peer: str) -> None:
        """No longer expect a peer."""
        self._peers.pop(peer, None)

    def heard(self, peer: str, now: float, trip: float | None = None) -> None:
        """A sign of life, with the round trip in seconds if it answers something we sent."""
        known = self._peers.get(peer)
        if known is None:
            known = self._peers[peer] = _Peer(now)
        else:
            gap = now - known.last
            # A gap in which it was as good as dead is no sample of how it behaves when well.
            if known.ever and gap < self.most:
                known.gaps.append(gap)
                known.spread = None
        known.ever = True
        known.last = max(known.last, now)
        if trip is not None:
            known.trip = trip if known.trip is None else known.trip + (trip - known.trip) * 0.25
            known.proof = max(known.proof, now - trip)

    def tick(self, now: float) -> float:
        """To be called at least each ``every``. Returns how long we ourselves were held up, in seconds.

        A pause of our own (frozen, no processor) is not held against the peers: what they sent meanwhile
        has yet to be read.
        """
        held_up = 0.0
        if self._ticked is not None:
            held_up = now - self._ticked - self.every
            if held_up > self.every:
                for known in self._peers.values():
                    known.last = min(now, known.last + held_up)
            else:
                held_up = 0.0
        self._ticked = now
        return held_up

    def phi(self, peer: str, now: float) -> float:
        """The suspicion against a peer, 0 to 300."""
        known = self._peers.get(peer)
        if known is None:
            return PHI_MOST
        if known.spread is None:
            # The interval that is meant counts as one sample, so that a few early ones do not mislead.
            samples = [*known.gaps, self.every]
            mean = fmean(samples)
            # Plain floats: exact fractions, as statistics would use, cost a hundred times as much.
            deviation = max(math.sqrt(fmean([(gap - mean) ** 2 for gap in samples])), self.every / 3)
            known.spread = (mean, deviation)
        mean, deviation = known.spread
        # One lost sign of life is nothing: the next is due one interval later.
        waited = now - known.last - self.every
        chance = NormalDist().cdf((mean - waited) / deviation)
        return min(PHI_MOST, -math.log10(chance)) if chance > 0 else PHI_MOST

    def state(self, peer: str, now: float) -> str:
        """ "alive", "slow" (answers, but late), "suspect" (perhaps dead), or "dead" (also: not watched)."""
        known = self._peers.get(peer)
        if known is None or self._dead(peer, known, now):
            return "dead"
        if known.ever:
            if self.phi(peer, now) >= PHI_SUSPECT:
                return "suspect"
            if known.gaps and known.spread[0] > self.every * self.late:
                return "slow"
            if known.trip is not None and known.trip > self.slow:
                return "slow"
        return "alive" if known.ever else "suspect"

    def _dead(self, peer: str, known: _Peer, now: float) -> bool:
        # Asked for every peer many times a second: the statistics are looked at only where they decide.
        silence = now - known.last
        if silence < self.least:
            return False
        return silence >= self.most or (known.ever and self.phi(peer, now) >= PHI_DEAD)

    def near(self, now: float, peers: Iterable[str]) -> set[str]:
        """Those of ``peers`` that are not dead, and with which both ways have been open lately."""
        return {
            p
            for p in peers
            if (known := self._peers.get(p)) is not None
            and now - known.proof <= PROOF
            and not self._dead(p, known, now)
        }

    def in_touch(self, now: float, voters: Iterable[str], me: str = "") -> bool:
        """Whether more than half of ``voters`` (``me`` among them, if it is one) are near."""
        everyone = set(voters)
        reached = len(self.near(now, everyone - {me})) + (me in everyone)
        return bool(everyone) and reached > len(everyone) // 2

    def proven(self, now: float, voters: Iterable[str], me: str = "") -> float:
        """When the newest messages were sent that a majority of ``voters`` has answered; -inf if never."""
        everyone = set(voters)
        times = sorted([self._peers[p].proof for p in everyone - {me} if p in self._peers] + [now] * (me in everyone))
        need = len(everyone) // 2 + 1
        return times[-need] if everyone and len(times) >= need else -math.inf


class _Peer:
    __slots__ = ("last", "gaps", "trip", "proof", "ever", "spread")

    def __init__(self, now: float):
        self.last = now
        self.gaps: deque[float] = deque(maxlen=SAMPLES)
        self.trip: float | None = None
        self.proof = -math.inf  # when the newest message was sent that it has answered
        self.ever = False
        self.spread: tuple[float, float] | None = None
