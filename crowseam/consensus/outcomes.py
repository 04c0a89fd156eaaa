"""Outcomes of client requests, in addition to those that a proposal builder returns."""

from __future__ import annotations

import msgspec


class Committed(msgspec.Struct, frozen=True):
    """The proposed entry was chosen at `slot`."""

    slot: int


class ReadReady(msgspec.Struct, frozen=True):
    """A linearizable read: the state applied up to `slot` includes every change acknowledged before the read began."""

    slot: int


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """No majority replied in time; the entry may or may not be chosen later."""
