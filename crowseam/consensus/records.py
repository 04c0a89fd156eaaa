"""What a voter keeps on its disk, and what the core asks of the one who drives it."""

from __future__ import annotations

from typing import Any

import msgspec

from crowseam.consensus.messages import Ballot, Entry, Message, Voter


class Identity(msgspec.Struct, frozen=True):
    """The id under which this machine votes."""

    id: str


class Promised(msgspec.Struct, frozen=True):
    slot: int
    ballot: Ballot


class Voted(msgspec.Struct, frozen=True):
    """An accepted entry; promises its ballot as well."""

    slot: int
    ballot: Ballot
    entry: Entry


class Learned(msgspec.Struct, frozen=True):
    """A chosen entry; takes the place of the promise and vote at its slot."""

    slot: int
    entry: Entry


class Saved(msgspec.Struct, frozen=True):
    """The state after `slot`; chosen entries below `keep` may go, as may votes up to `slot`."""

    slot: int
    state: bytes
    voters: list[Voter]
    keep: int


Record = Identity | Promised | Voted | Learned | Saved


class Vote(msgspec.Struct):
    """Promise and vote at a slot that is not known to be chosen."""

    promised: Ballot | None = None
    accepted: Ballot | None = None
    entry: Entry | None = None


class Durable(msgspec.Struct):
    """What was read back from the disk.

    `floor` is the highest slot ever known here as chosen. Should its entry be gone, this machine must
    not vote on it again, for its vote went with it.
    """

    id: str | None = None
    floor: int = 0
    votes: dict[int, Vote] = msgspec.field(default_factory=dict)
    chosen: dict[int, Entry] = msgspec.field(default_factory=dict)
    saved: Saved | None = None


class Send(msgspec.Struct, frozen=True):
    """Send `message`; if `addr` is the node's own, hand it to `handle` instead."""

    addr: str
    message: Message


class Persist(msgspec.Struct, frozen=True):
    """Write `records` in one transaction; carry out `then` once they are synced.

    Persists are carried out in the order given. If one fails, it and all that wait behind it are handed
    to `Node.failed`, and their `then` is dropped.
    """

    records: list[Record]
    then: list[Send]


class Apply(msgspec.Struct, frozen=True):
    """`entry` was applied at `slot` (in order); None when a whole state was taken over."""

    slot: int
    entry: Entry | None


class Answer(msgspec.Struct, frozen=True):
    """What became of a ticket: Taken, Fresh, Unclear, or the verdict its judge gave."""

    ticket: Any
    outcome: Any


Effect = Send | Persist | Apply | Answer


class Taken(msgspec.Struct, frozen=True):
    """The entry was chosen at `slot`."""

    slot: int


class Fresh(msgspec.Struct, frozen=True):
    """The applied state, as of `slot`, holds all that was acknowledged before the read was asked."""

    slot: int


class Unclear(msgspec.Struct, frozen=True):
    """No majority answered in time: the entry may still be chosen, or never."""
