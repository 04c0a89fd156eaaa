"""The size of a majority of the voters."""

from __future__ import annotations


def majority(count: int) -> int:
    """Return the smallest number of voters that is more than half of `count`."""
    return count // 2 + 1
