"""What the voters say to each other, and the entries they agree on."""

from __future__ import annotations

from typing import Annotated

import msgspec

from crowseam.consensus.errors import ConsensusError

Slot = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class Voter(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A machine's name on its disk, and the address at which it hears this layer."""

    id: str
    addr: str


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One attempt at a slot. `node` names the proposer and its life, so no two attempts are equal."""

    round: Slot
    node: str


class Change(msgspec.Struct, tag="change", array_like=True, frozen=True):
    """A configuration, whole or as a patch; `body` is opaque here, `digest` names its content."""

    tag: str
    ver: Slot
    parent: Slot
    whole: bool
    body: bytes
    digest: str


class Voters(msgspec.Struct, tag="voters", array_like=True, frozen=True):
    """The voters from the next slot on."""

    tag: str
    voters: Annotated[list[Voter], msgspec.Meta(min_length=1)]


class Nothing(msgspec.Struct, tag="nothing", array_like=True, frozen=True):
    """An entry that changes nothing."""

    tag: str


Entry = Change | Voters | Nothing


class Prepare(msgspec.Struct, tag="c.prepare", array_like=True, frozen=True):
    slot: Slot
    ballot: Ballot


class Promise(msgspec.Struct, tag="c.promise", array_like=True, frozen=True):
    """`voter` is the id that promises: an address alone may belong to a machine that lost its disk."""

    slot: Slot
    ballot: Ballot
    voter: str
    accepted: Ballot | None = None
    entry: Entry | None = None


class Refuse(msgspec.Struct, tag="c.refuse", array_like=True, frozen=True):
    slot: Slot
    ballot: Ballot
    voter: str
    higher: Ballot


class Accept(msgspec.Struct, tag="c.accept", array_like=True, frozen=True):
    slot: Slot
    ballot: Ballot
    entry: Entry


class Accepted(msgspec.Struct, tag="c.accepted", array_like=True, frozen=True):
    slot: Slot
    ballot: Ballot
    voter: str


class Decided(msgspec.Struct, tag="c.decided", array_like=True, frozen=True):
    """What was accepted at `slot` under `ballot` is chosen; spares those who have it the bytes."""

    slot: Slot
    ballot: Ballot


class Chosen(msgspec.Struct, tag="c.chosen", array_like=True, frozen=True):
    """Chosen entries for `slot`, `slot` + 1, ...; `last` is the newest slot the sender knows."""

    slot: Slot
    entries: list[Entry]
    last: Slot


class CatchUp(msgspec.Struct, tag="c.behind", array_like=True, frozen=True):
    """Asks for what is chosen from `slot` on; 0 asks for a snapshot, as one who knows no voters.

    `parts`: a large snapshot may come in parts, which former versions don't know.
    """

    slot: Slot
    parts: bool = False


class Snapshot(msgspec.Struct, tag="c.snapshot", array_like=True, frozen=True):
    """The state after `slot`, and the voters for the slot after it."""

    slot: Slot
    state: bytes
    voters: Annotated[list[Voter], msgspec.Meta(min_length=1)]


class QuorumRead(msgspec.Struct, tag="c.peek", array_like=True, frozen=True):
    """Asks whether anything was accepted at `slot`; nothing is promised or written."""

    slot: Slot
    nonce: Slot


class QuorumReadReply(msgspec.Struct, tag="c.peeked", array_like=True, frozen=True):
    slot: Slot
    nonce: Slot
    voter: str
    busy: bool


class JoinRequest(msgspec.Struct, tag="c.knock", array_like=True, frozen=True):
    """`voter` would like to vote, and knows what was chosen up to `slot`."""

    voter: Voter
    slot: Slot


class LeaveRequest(msgspec.Struct, tag="c.resign", array_like=True, frozen=True):
    """A voter without a disk of its own would rather not vote."""

    voter: Voter


class SnapshotOffer(msgspec.Struct, tag="c.offer", array_like=True, frozen=True):
    """The answer to CatchUp where the state is large: there is one, after slot `last` or a little before."""

    last: Slot


class PartRequest(msgspec.Struct, tag="c.fetch", array_like=True, frozen=True):
    """Asks for `length` bytes from `offset` on of the sealed snapshot of this slot and digest.

    With an empty digest, of any snapshot that is newer than `slot`.
    """

    slot: Slot
    digest: bytes
    offset: Slot
    length: Slot


class SnapshotPart(msgspec.Struct, tag="c.part", array_like=True, frozen=True):
    """Bytes of a sealed snapshot of `size` bytes; `size` 0: it is not kept here (any more)."""

    slot: Slot
    digest: bytes
    size: Slot
    offset: Slot
    data: bytes


Message = (
    Prepare
    | Promise
    | Refuse
    | Accept
    | Accepted
    | Decided
    | Chosen
    | CatchUp
    | Snapshot
    | QuorumRead
    | QuorumReadReply
    | JoinRequest
    | LeaveRequest
    | SnapshotOffer
    | PartRequest
    | SnapshotPart
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """The message in `data`; ConsensusError when there is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConsensusError(f"no message: {error}") from None
