"""The gateways that may hold leases of an earlier grantor, as observed by one controller."""

from __future__ import annotations

from collections.abc import Iterable

MAX_UPDATE_GAP_S = 2.0  # after a longer gap without contact, gateways may have joined and left unnoticed


class KnownBorrowers:
    """The gateways that were members, or were sent a lease, in the last `lease_lifetime_s`.

    `gateways` are those stored on disk; `is_complete` says that the disk listed all of them when the process ended.
    If the disk was lost, or after the process was suspended or could not reach a majority of the controllers, other
    controllers may have granted leases unnoticed: the result is then None until `lease_lifetime_s` have passed. Times
    are monotonic seconds.
    """

    def __init__(self, gateways: Iterable[str], is_complete: bool, now: float, lease_lifetime_s: float) -> None:
        self.lease_lifetime_s = lease_lifetime_s
        self._seen_at = dict.fromkeys(gateways, now)
        self._incomplete_until = now if is_complete else now + lease_lifetime_s
        self._updated_at = now
        self._majority_reachable_at: float | None = None  # None: not reachable yet

    def record(self, gateways: Iterable[str], now: float) -> None:
        """Record gateways that are members, or have just been sent a lease."""
        for gateway in gateways:
            self._seen_at[gateway] = now

    def update(self, now: float, is_majority_reachable: bool) -> None:
        """Record whether a majority of the controllers is reachable; to be called at each tick."""
        if is_majority_reachable:
            if self._may_have_missed(now):
                self._incomplete_until = now + self.lease_lifetime_s
            self._majority_reachable_at = now
        elif now - self._updated_at > MAX_UPDATE_GAP_S:
            self._incomplete_until = now + self.lease_lifetime_s
        self._updated_at = now

    def _may_have_missed(self, now: float) -> bool:
        """Return whether there was a gap in which gateways may have joined and obtained leases unnoticed."""
        since = (
            self._updated_at
            if self._majority_reachable_at is None
            else min(self._updated_at, self._majority_reachable_at)
        )
        return now - since > MAX_UPDATE_GAP_S

    def recent(self, now: float) -> set[str]:
        """Return the observed gateways that may hold a lease, which are to be stored on disk."""
        lifetime = self.lease_lifetime_s
        self._seen_at = {gateway: seen_at for gateway, seen_at in self._seen_at.items() if now - seen_at < lifetime}
        return set(self._seen_at)

    def known(self, now: float) -> set[str] | None:
        """Return all gateways that may hold a lease; None if some may be missing."""
        if now < self._incomplete_until or self._may_have_missed(now):
            return None
        return self.recent(now)
