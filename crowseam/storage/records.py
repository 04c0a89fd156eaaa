"""Records that are stored in addition to those of the consensus package."""

from __future__ import annotations

import msgspec


class Note(msgspec.Struct, frozen=True):
    """A key-value pair that another component of the controller stores; the value None removes it."""

    key: str
    value: bytes | None


class OperationRow(msgspec.Struct, frozen=True):
    """The stored record of a keyed operation; the value None removes it."""

    key: str
    value: bytes | None


class Member(msgspec.Struct, frozen=True):
    """A gateway that may hold a lease; the value None removes it."""

    name: str
    value: bytes | None
