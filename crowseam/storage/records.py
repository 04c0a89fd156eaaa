"""What is stored besides the records of the agreement."""

from __future__ import annotations

import msgspec


class Note(msgspec.Struct, frozen=True):
    """A value of another part of the controller under `key`; None removes it."""

    key: str
    value: bytes | None


class OperationRow(msgspec.Struct, frozen=True):
    """A record of a keyed operation under `key`; None removes it."""

    key: str
    value: bytes | None


class Member(msgspec.Struct, frozen=True):
    """A gateway that may hold a lease, under its `name`; None removes it."""

    name: str
    value: bytes | None
