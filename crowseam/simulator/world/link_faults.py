"""Faults of links: cuts, delay and loss between groups of addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Trouble:
    """One harm to links: between `one` and `other` (addresses; None: all others).

    `way` of a cut: "both"; "out", only what `one` sends is lost; "in", only what it is sent.
    """

    one: frozenset[str]
    other: frozenset[str] | None = None
    cut: bool = False
    way: str = "both"
    delay: float = 0.0  # s on top, one way
    loss: float = 0.0  # chance that a packet has to be sent again

    def touches(self, a: str, b: str) -> bool:
        """Whether this harms the link between `a` and `b`."""
        if a in self.one and b in self.one and self.other is None:
            return False  # those that are cut off together still see each other
        if self.other is None:
            return a in self.one or b in self.one
        return (a in self.one and b in self.other) or (b in self.one and a in self.other)

    def blocks(self, a: str, b: str) -> bool:
        """Whether what `a` sends to `b` is lost."""
        if not (self.cut and self.touches(a, b)):
            return False
        return self.way == "both" or (a in self.one) == (self.way == "out")
