"""The interface of the state machine that the replicated log drives."""

from __future__ import annotations

from typing import Protocol

from crowseam.consensus.messages import Entry


class StateMachine(Protocol):
    """Application state built from the log; called in slot order from `Node.handle`, `tick` and `submit`."""

    def apply(self, slot: int, entry: Entry) -> None:
        """Apply a chosen entry. Must be deterministic, so that all replicas reach the same state."""

    def snapshot(self) -> bytes:
        """Serialize the state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state with one that `snapshot` returned; b"" is the initial state."""
