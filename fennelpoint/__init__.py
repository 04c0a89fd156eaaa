"""fennelpoint: quota decisions for a gateway in front of a shared back end."""

from __future__ import annotations

__all__ = ["Controller"]


def __getattr__(name: str) -> object:
    """`Controller` is loaded when it is asked for: programs that use a part of the package start sooner."""
    if name != "Controller":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from fennelpoint.control import Controller

    return Controller
