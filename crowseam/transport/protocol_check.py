"""Checks the protocol versions of peers and logs each mismatch once."""

from __future__ import annotations

from crowseam import logs
from crowseam.transport.messages import PROTOCOL_VERSION


class ProtocolCheck:
    """Compares the protocol versions in greetings with ours and remembers peers with another one."""

    def __init__(self, ours: int = PROTOCOL_VERSION) -> None:
        self.ours = ours
        self._mismatched: dict[str, int] = {}  # peer -> its version

    def matches(self, peer: str, theirs: int) -> bool:
        """Return whether the peer speaks our version; log a mismatch when it is first seen."""
        if theirs == self.ours:
            self._mismatched.pop(peer, None)
            return True
        if self._mismatched.get(peer) != theirs:
            self._mismatched[peer] = theirs
            logs.emit("protocol_mismatch", peer=peer, ours=self.ours, theirs=theirs)
        return False
