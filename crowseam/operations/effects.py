"""Actions that the components of this package return for their owner to carry out."""

from __future__ import annotations

from typing import NamedTuple

from crowseam.operations.messages import ClaimDecision, OperationSettled, VoterMessage


class Send(NamedTuple):
    """Send a message to a controller, which may be this one."""

    addr: str
    message: VoterMessage


class Row(NamedTuple):
    """A row to write to disk under `key`; without a value, the row is removed."""

    key: str
    value: bytes | None


class Persist(NamedTuple):
    """Write rows, then send the messages in `then` once the write is durable. Writes are carried out in order."""

    rows: list[Row]
    then: list[Send]


class Reply(NamedTuple):
    """Send a message to a gateway."""

    gateway: str
    message: ClaimDecision | OperationSettled


ReplicaEffect = Send | Persist
CoordinatorEffect = Send | Reply
