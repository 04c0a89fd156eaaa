"""fennelpoint: quota decisions for a gateway in front of a shared back end."""

from __future__ import annotations

__all__ = ["Controller"]


def __getattr__(name: str) -> object:
    """Import `Controller` on first use, so that programs that use a part of the package start faster."""
    if name != "Controller":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from fennelpoint.control import Controller

    return Controller
