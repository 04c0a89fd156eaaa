"""Whether a peer speaks the same version of the protocol, told in the log once for each unlike peer."""

from __future__ import annotations

from crowseam import logs
from crowseam.transport.messages import PROTOCOL_VERSION


class ProtocolCheck:
    """Compares the versions that greetings name, and remembers which peers were unlike."""

    def __init__(self, ours: int = PROTOCOL_VERSION) -> None:
        self.ours = ours
        self._unlike: dict[str, int] = {}  # versions by peer

    def matches(self, peer: str, theirs: int) -> bool:
        """Whether this peer may be spoken to; an unlike version is logged when it is first met."""
        if theirs == self.ours:
            self._unlike.pop(peer, None)
            return True
        if self._unlike.get(peer) != theirs:
            self._unlike[peer] = theirs
            logs.say("protocol_mismatch", peer=peer, ours=self.ours, theirs=theirs)
        return False
