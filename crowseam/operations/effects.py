"""What the decisions on operations ask their owner to do."""

from __future__ import annotations

from typing import NamedTuple

from crowseam.operations.messages import ClaimDecision, OperationSettled, VoterMessage


class Send(NamedTuple):
    """Send a message to a controller; to ourselves too."""

    addr: str
    message: VoterMessage


class Row(NamedTuple):
    """A row on disk under `key`; no value: it is to be removed."""

    key: str
    value: bytes | None


class Persist(NamedTuple):
    """Write rows, in the order in which such effects are given; send `then` once they are synced."""

    rows: list[Row]
    then: list[Send]


class Reply(NamedTuple):
    """Send a message to a gateway."""

    gateway: str
    message: ClaimDecision | OperationSettled


ReplicaEffect = Send | Persist
CoordinatorEffect = Send | Reply
