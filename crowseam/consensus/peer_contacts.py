"""Times of the last contact with each peer."""

from __future__ import annotations

from crowseam.consensus.context import NodeContext

_SUSPECT_MARGIN = 1.01  # a peer not heard from since the start counts as silent slightly longer than `suspect_after_s`


class PeerContacts:
    """Failure detector for voters: measures the time since a message last arrived from each address."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.heard_at: dict[str, float] = {}
        self.listening_since = 0.0

    def record_contact(self, addr: str, now: float) -> None:
        """Record that a message arrived from `addr`."""
        self.heard_at[addr] = max(now, self.heard_at.get(addr, now))

    def reset(self, now: float) -> None:
        """Discard all contact times, because this machine may not have been receiving messages."""
        self.heard_at = {}
        self.listening_since = now

    def silence_s(self, addr: str) -> float:
        """Return the seconds since a message last arrived from `addr`."""
        context = self._context
        if addr == context.me.addr:
            return 0.0
        if addr in self.heard_at:
            return context.now - self.heard_at[addr]
        # Not heard from since the start: suspected, but not yet considered failed.
        return max(context.now - self.listening_since, context.timing.suspect_after_s * _SUSPECT_MARGIN)
