"""Network faults: cuts, delay and packet loss between groups of addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class LinkFault:
    """A fault on the links between the addresses in `group` and those in `peers` (None: all other addresses).

    `direction` of a cut: "both"; "out": only packets sent by `group` are lost; "in": only packets sent to it.
    """

    group: frozenset[str]
    peers: frozenset[str] | None = None
    cut: bool = False
    direction: str = "both"
    delay: float = 0.0  # additional one-way delay, in s
    loss: float = 0.0  # probability that a packet has to be retransmitted

    def affects(self, source: str, destination: str) -> bool:
        """Whether the link between `source` and `destination` is affected, in either direction."""
        if source in self.group and destination in self.group and self.peers is None:
            return False  # members of the group can still reach each other
        if self.peers is None:
            return source in self.group or destination in self.group
        return (source in self.group and destination in self.peers) or (
            destination in self.group and source in self.peers
        )

    def blocks(self, source: str, destination: str) -> bool:
        """Whether packets from `source` to `destination` are lost."""
        if not (self.cut and self.affects(source, destination)):
            return False
        return self.direction == "both" or (source in self.group) == (self.direction == "out")
