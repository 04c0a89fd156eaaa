"""Failure detection that adapts to the recent heartbeat intervals of each peer.

This is a phi accrual detector (N. Hayashibara et al., 2004): it keeps the intervals between the heartbeats of every
peer. The suspicion level `phi` is the negative decimal logarithm of the probability that a healthy peer stays silent
this long: 1 means one false positive in ten, 3 one in a thousand. Fixed lower and upper bounds on the silence apply
on top, and a single lost heartbeat is tolerated.

Receiving heartbeats proves only one direction of the link. A peer therefore counts as reachable, and towards a
majority, only while it has answered a message that was sent to it within the last `REACHABILITY_WINDOW_S`. The time
of sending is taken from the local clock and is not adjusted after a pause of this process, so a process that was
suspended is out of contact until a new message is answered.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from enum import StrEnum
from statistics import NormalDist, fmean

from msgspec import Struct

from crowseam.quorum import majority

MAX_SAMPLES = 48  # per peer
PHI_SUSPECT = 2.0
PHI_DEAD = 8.0
MAX_PHI = 300.0  # used where the probability underflows to 0
REACHABILITY_WINDOW_S = 1.5  # how long an answered message proves both directions, from when it was sent
_ROUND_TRIP_GAIN = 0.25  # weight of a new sample in the moving average
_MIN_DEVIATION = 1 / 3  # fraction of the heartbeat interval


class PeerState(StrEnum):
    """The state of a peer."""

    ALIVE = "alive"
    SLOW = "slow"  # answers late
    SUSPECT = "suspect"  # possibly dead
    DEAD = "dead"  # dead or not monitored


class _Intervals(Struct, frozen=True):
    """Mean and standard deviation of the intervals between heartbeats (s)."""

    mean: float
    deviation: float


class _PeerHistory:
    """Heartbeats of one peer. Times are monotonic seconds."""

    __slots__ = ("answered_at", "gaps", "intervals", "last_heard_at", "round_trip_s", "was_heard")

    def __init__(self, now: float) -> None:
        self.last_heard_at = now
        self.gaps: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.round_trip_s: float | None = None
        self.answered_at = -math.inf  # send time of the newest message that it has answered
        self.was_heard = False
        self.intervals: _Intervals | None = None  # cached statistics of `gaps`


class FailureDetector:
    """Classifies peers as alive, slow, suspect or dead.

    Parameters
    ----------
    heartbeat_interval_s
        The expected time between two heartbeats of a peer.
    min_silence_s, max_silence_s
        Bounds of the silence after which a peer is considered dead.
    slow_round_trip_s, slow_interval_factor
        A peer that answers is considered slow above this round-trip time, or above this multiple of the heartbeat
        interval in its mean interval.
    """

    def __init__(
        self,
        heartbeat_interval_s: float = 0.25,
        min_silence_s: float = 0.8,
        max_silence_s: float = 3.0,
        slow_round_trip_s: float = 0.3,
        slow_interval_factor: float = 2.0,
    ) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.min_silence_s = min_silence_s
        self.max_silence_s = max_silence_s
        self.slow_round_trip_s = slow_round_trip_s
        self.slow_interval_factor = slow_interval_factor
        self._peers: dict[str, _PeerHistory] = {}
        self._last_tick_at: float | None = None

    def watch(self, peer: str, now: float) -> None:
        """Start monitoring a peer; its first heartbeat is due within `max_silence_s`."""
        if peer not in self._peers:
            self._peers[peer] = _PeerHistory(now)

    def forget(self, peer: str) -> None:
        """Stop monitoring a peer."""
        self._peers.pop(peer, None)

    def record_heartbeat(self, peer: str, now: float, round_trip_s: float | None = None) -> None:
        """Record a message from a peer, with the round trip if it answers a message that was sent to the peer."""
        history = self._peers.get(peer)
        if history is None:
            history = self._peers[peer] = _PeerHistory(now)
        else:
            gap = now - history.last_heard_at
            # A gap during which the peer counted as dead is not a sample of its healthy behaviour.
            if history.was_heard and gap < self.max_silence_s:
                history.gaps.append(gap)
                history.intervals = None
        history.was_heard = True
        history.last_heard_at = max(history.last_heard_at, now)
        if round_trip_s is not None:
            average = history.round_trip_s
            gain = _ROUND_TRIP_GAIN
            history.round_trip_s = round_trip_s if average is None else average + (round_trip_s - average) * gain
            history.answered_at = max(history.answered_at, now - round_trip_s)

    def tick(self, now: float) -> float:
        """Return for how many seconds this process was paused. Call it at least once per heartbeat interval.

        A local pause (suspended process, no processor time) does not count as silence of the peers: messages that
        arrived meanwhile are still to be read.
        """
        pause_s = 0.0
        if self._last_tick_at is not None:
            pause_s = now - self._last_tick_at - self.heartbeat_interval_s
            if pause_s > self.heartbeat_interval_s:
                for history in self._peers.values():
                    history.last_heard_at = min(now, history.last_heard_at + pause_s)
            else:
                pause_s = 0.0
        self._last_tick_at = now
        return pause_s

    # Peers

    def phi(self, peer: str, now: float) -> float:
        """Return the suspicion level of a peer, 0 to `MAX_PHI`."""
        history = self._peers.get(peer)
        if history is None:
            return MAX_PHI
        intervals = self._intervals(history)
        # Tolerates one lost heartbeat: the next one is due one interval later.
        waited = now - history.last_heard_at - self.heartbeat_interval_s
        probability = NormalDist().cdf((intervals.mean - waited) / intervals.deviation)
        return min(MAX_PHI, -math.log10(probability)) if probability > 0 else MAX_PHI

    def _intervals(self, history: _PeerHistory) -> _Intervals:
        if history.intervals is None:
            # The nominal interval counts as one sample, so that the first few real ones do not dominate.
            samples = [*history.gaps, self.heartbeat_interval_s]
            mean = fmean(samples)
            # Computed with floats: the exact fractions that `statistics` uses are about a hundred times slower.
            deviation = math.sqrt(fmean([(gap - mean) ** 2 for gap in samples]))
            history.intervals = _Intervals(mean, max(deviation, self.heartbeat_interval_s * _MIN_DEVIATION))
        return history.intervals

    def state(self, peer: str, now: float) -> PeerState:
        """Return the state of a peer."""
        history = self._peers.get(peer)
        if history is None or self._is_dead(peer, history, now):
            return PeerState.DEAD
        if not history.was_heard or self.phi(peer, now) >= PHI_SUSPECT:
            return PeerState.SUSPECT
        return PeerState.SLOW if self._is_slow(history) else PeerState.ALIVE

    def _is_slow(self, history: _PeerHistory) -> bool:
        slow_interval_s = self.heartbeat_interval_s * self.slow_interval_factor
        if history.gaps and self._intervals(history).mean > slow_interval_s:
            return True
        return history.round_trip_s is not None and history.round_trip_s > self.slow_round_trip_s

    def _is_dead(self, peer: str, history: _PeerHistory, now: float) -> bool:
        # On a hot path: the statistics are evaluated only where the silence alone does not decide.
        silence_s = now - history.last_heard_at
        if silence_s < self.min_silence_s:
            return False
        return silence_s >= self.max_silence_s or (history.was_heard and self.phi(peer, now) >= PHI_DEAD)

    # Majorities

    def reachable(self, now: float, peers: Iterable[str]) -> set[str]:
        """Return those of `peers` that are not dead and have recently answered a message."""
        return {
            peer
            for peer in peers
            if (history := self._peers.get(peer)) is not None
            and now - history.answered_at <= REACHABILITY_WINDOW_S
            and not self._is_dead(peer, history, now)
        }

    def is_majority_reachable(self, now: float, voters: Iterable[str], me: str = "") -> bool:
        """Return whether a majority of `voters` is reachable; `me` counts if it is one of them."""
        voter_set = set(voters)
        reachable_count = len(self.reachable(now, voter_set - {me})) + (me in voter_set)
        return reachable_count >= majority(len(voter_set))

    def majority_answered_at(self, now: float, voters: Iterable[str], me: str = "") -> float:
        """Return the latest send time by which a majority of `voters` has answered; -inf if there is none."""
        voter_set = set(voters)
        answered_at = [self._peers[peer].answered_at for peer in voter_set - {me} if peer in self._peers]
        answered_at = sorted(answered_at + [now] * (me in voter_set))
        needed = majority(len(voter_set))
        return answered_at[-needed] if len(answered_at) >= needed else -math.inf
