"""Messages between the replicas of the log, and the entries that they choose.

Each slot runs single-decree Paxos (L. Lamport, Paxos Made Simple, 2001): `Prepare` and `Promise` are phase 1,
`Accept` and `Accepted` phase 2. All messages are encoded as arrays, so the order of their fields is fixed and new
fields are appended with a default.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from crowseam.consensus.errors import ConsensusError

Slot = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class Voter(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A voter: the id that the machine keeps on disk, and its address."""

    id: str
    addr: str


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A ballot at a slot, made unique by `proposer`, which identifies the proposer and its incarnation."""

    round: Slot
    proposer: str


class ConfigurationEntry(msgspec.Struct, tag="change", array_like=True, frozen=True):
    """A full configuration (`whole`) or a patch; `body` is opaque to consensus, `digest` identifies its content."""

    proposal_id: str
    ver: Slot
    parent: Slot
    whole: bool
    body: bytes
    digest: str


class VotersEntry(msgspec.Struct, tag="voters", array_like=True, frozen=True):
    """A new set of voters, which takes effect at the next slot."""

    proposal_id: str
    voters: Annotated[list[Voter], msgspec.Meta(min_length=1)]


class NoOpEntry(msgspec.Struct, tag="nothing", array_like=True, frozen=True):
    """An entry that changes nothing."""

    proposal_id: str


Entry = ConfigurationEntry | VotersEntry | NoOpEntry


class Prepare(msgspec.Struct, tag="c.prepare", array_like=True, frozen=True):
    """Asks a voter to promise to reject lower ballots at `slot` (phase 1a)."""

    slot: Slot
    ballot: Ballot


class Promise(msgspec.Struct, tag="c.promise", array_like=True, frozen=True):
    """The reply to `Prepare`, with the voter's earlier vote, if any (phase 1b).

    `voter` is the id of the voter; the address alone is not enough, as its machine may have lost its disk.
    """

    slot: Slot
    ballot: Ballot
    voter: str
    accepted: Ballot | None = None
    entry: Entry | None = None


class Reject(msgspec.Struct, tag="c.refuse", array_like=True, frozen=True):
    """The reply to `Prepare` or `Accept` if the voter has promised a `higher` ballot."""

    slot: Slot
    ballot: Ballot
    voter: str
    higher: Ballot


class Accept(msgspec.Struct, tag="c.accept", array_like=True, frozen=True):
    """Asks a voter to vote for `entry` (phase 2a)."""

    slot: Slot
    ballot: Ballot
    entry: Entry


class Accepted(msgspec.Struct, tag="c.accepted", array_like=True, frozen=True):
    """The reply to `Accept`: a vote (phase 2b). A majority of votes chooses the entry."""

    slot: Slot
    ballot: Ballot
    voter: str


class ChosenBallot(msgspec.Struct, tag="c.decided", array_like=True, frozen=True):
    """Announces that the entry accepted at `slot` under `ballot` is chosen, to voters that already have the entry."""

    slot: Slot
    ballot: Ballot


class ChosenEntries(msgspec.Struct, tag="c.chosen", array_like=True, frozen=True):
    """Chosen entries for `slot`, `slot` + 1, ...; `last_slot` is the newest slot that the sender knows."""

    slot: Slot
    entries: list[Entry]
    last_slot: Slot


class CatchUpRequest(msgspec.Struct, tag="c.behind", array_like=True, frozen=True):
    """Asks for the entries chosen from `slot` on. A sender that knows no voters uses slot 0 to ask for a snapshot.

    `accepts_chunks`: the sender can receive a large snapshot in chunks, which earlier versions cannot.
    """

    slot: Slot
    accepts_chunks: bool = False


class Snapshot(msgspec.Struct, tag="c.snapshot", array_like=True, frozen=True):
    """The state after `slot`, and the voters for the next slot."""

    slot: Slot
    state: bytes
    voters: Annotated[list[Voter], msgspec.Meta(min_length=1)]


class QuorumRead(msgspec.Struct, tag="c.peek", array_like=True, frozen=True):
    """Asks whether the voter has voted at `slot`; the voter promises and writes nothing."""

    slot: Slot
    nonce: Slot


class QuorumReadReply(msgspec.Struct, tag="c.peeked", array_like=True, frozen=True):
    """The reply to `QuorumRead`. If the voter `has_voted` at `slot`, an entry may already be chosen there."""

    slot: Slot
    nonce: Slot
    voter: str
    has_voted: bool


class JoinRequest(msgspec.Struct, tag="c.knock", array_like=True, frozen=True):
    """Asks to become a voter; `slot` is the newest slot that the sender knows."""

    voter: Voter
    slot: Slot


class LeaveRequest(msgspec.Struct, tag="c.resign", array_like=True, frozen=True):
    """Asks to remove `voter`, whose machine is shutting down or has no disk for its votes."""

    voter: Voter


class SnapshotOffer(msgspec.Struct, tag="c.offer", array_like=True, frozen=True):
    """The reply to `CatchUpRequest` if the state is large: a snapshot of about `last_slot` can be downloaded."""

    last_slot: Slot


class SnapshotChunkRequest(msgspec.Struct, tag="c.fetch", array_like=True, frozen=True):
    """Asks for `length` bytes from `offset` on of the compressed snapshot with this slot and digest.

    An empty digest asks for any snapshot newer than `slot`.
    """

    slot: Slot
    digest: bytes
    offset: Slot
    length: Slot


class SnapshotChunk(msgspec.Struct, tag="c.part", array_like=True, frozen=True):
    """Part of a compressed snapshot of `size` bytes; `size` is 0 if the sender does not have that snapshot."""

    slot: Slot
    digest: bytes
    size: Slot
    offset: Slot
    data: bytes


Message = (
    Prepare
    | Promise
    | Reject
    | Accept
    | Accepted
    | ChosenBallot
    | ChosenEntries
    | CatchUpRequest
    | Snapshot
    | QuorumRead
    | QuorumReadReply
    | JoinRequest
    | LeaveRequest
    | SnapshotOffer
    | SnapshotChunkRequest
    | SnapshotChunk
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    ConsensusError
        If `data` is not a valid message.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConsensusError(f"not a message: {error}") from error
