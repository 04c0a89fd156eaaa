"""Builds node classes in which one part is replaced by a subclass."""

from __future__ import annotations

from crowseam.consensus.node import Node

_PART_TYPES = (
    "acceptor_type",
    "cache_type",
    "catch_up_type",
    "exchange_type",
    "log_type",
    "proposer_type",
    "queue_type",
    "reconfiguration_type",
    "writer_type",
)


def node_with(part: type, base: type[Node] = Node) -> type[Node]:
    """Return a node class that uses `part` instead of the class it is derived from."""
    name = next(name for name in _PART_TYPES if issubclass(part, getattr(base, name)))
    return type(part.__name__, (base,), {name: part})
