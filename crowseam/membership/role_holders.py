"""Which controller is preferred for a role, and which one holds it as far as this controller knows."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

import msgspec


def preferred_holder(key: str, controllers: Iterable[str]) -> str | None:
    """Return the controller that should hold the role; None if there is none.

    Uses rendezvous hashing (D. Thaler, C. Ravishankar, 1998): a controller that joins or leaves moves only the roles
    that it gains or held.
    """
    return max(controllers, key=lambda name: (_weight(key, name), name), default=None)


@lru_cache(maxsize=4096)
def _weight(key: str, name: str) -> bytes:
    # Called at each tick; the result depends on the arguments only.
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()


class KnownHolder(msgspec.Struct, frozen=True):
    """A holder, the expiry of its lease (s), and its fencing token."""

    name: str
    until: float
    fencing_token: int


class KnownHolders:
    """Role holders as learned from other controllers."""

    def __init__(self) -> None:
        self._by_key: dict[str, KnownHolder] = {}

    def observe(self, key: str, name: str, until: float, fencing_token: int) -> None:
        """Record a holder, unless the known one has a higher fencing token and lasts at least as long."""
        known = self._by_key.get(key)
        if known is None or fencing_token >= known.fencing_token or until > known.until:
            self._by_key[key] = KnownHolder(name, until, fencing_token)

    def record_release(self, key: str, name: str) -> None:
        """Record that `name` no longer holds the role."""
        known = self._by_key.get(key)
        if known is not None and known.name == name:
            del self._by_key[key]

    def holder(self, key: str, now: float) -> str | None:
        """Return the current holder; None if it is unknown."""
        known = self._by_key.get(key)
        return None if known is None or now >= known.until else known.name
