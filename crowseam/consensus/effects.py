"""Actions that a node returns for its owner to carry out; the node itself does no I/O."""

from __future__ import annotations

from collections.abc import Hashable

import msgspec

from crowseam.consensus.messages import Entry, Message
from crowseam.consensus.records import Record


class Send(msgspec.Struct, frozen=True):
    """Send `message` to `addr`; if that is the node's own address, pass it to `Node.handle` instead."""

    addr: str
    message: Message


class Persist(msgspec.Struct, frozen=True):
    """Write `records` in one transaction, then send the messages in `then` once the write is durable.

    These effects are carried out in order. If a write fails, it and all queued behind it are passed to
    `Node.persist_failed`, and their `then` messages are dropped.
    """

    records: list[Record]
    then: list[Send]


class NotifyApplied(msgspec.Struct, frozen=True):
    """`entry` was applied at `slot`, in slot order; it is None when a snapshot was installed."""

    slot: int
    entry: Entry | None


class CompleteRequest(msgspec.Struct, frozen=True):
    """Complete a client request with `Committed`, `ReadReady`, `OutcomeUnknown` or what its builder returned."""

    request_id: Hashable
    outcome: object


Effect = Send | Persist | NotifyApplied | CompleteRequest
