"""Records that a voter keeps on disk.

`SnapshotRecord` is stored as a map, so fields whose stored name differs give it explicitly.
"""

from __future__ import annotations

import msgspec

from crowseam.consensus.messages import Ballot, Entry, Voter


class IdentityRecord(msgspec.Struct, frozen=True):
    """The voter id of this machine."""

    id: str


class PromiseRecord(msgspec.Struct, frozen=True):
    """A promise to reject lower ballots at `slot`."""

    slot: int
    ballot: Ballot


class VoteRecord(msgspec.Struct, frozen=True):
    """An entry accepted at `slot` under `ballot`; this implies a promise for the same ballot."""

    slot: int
    ballot: Ballot
    entry: Entry


class ChosenRecord(msgspec.Struct, frozen=True):
    """A chosen entry, which supersedes the promise and vote at its slot."""

    slot: int
    entry: Entry


class SnapshotRecord(msgspec.Struct, frozen=True):
    """The state after `slot`. Chosen entries below `first_kept_slot` and votes up to `slot` can be deleted."""

    slot: int
    state: bytes
    voters: list[Voter]
    first_kept_slot: int = msgspec.field(name="keep")


Record = IdentityRecord | PromiseRecord | VoteRecord | ChosenRecord | SnapshotRecord


class SlotVote(msgspec.Struct):
    """Promise and vote at a slot for which no chosen entry is known."""

    promised: Ballot | None = None
    accepted: Ballot | None = None
    entry: Entry | None = None


class DurableState(msgspec.Struct):
    """State read from disk at startup.

    `highest_chosen_slot` is the highest slot ever known to be chosen on this machine. If its entry was lost, this
    machine must not vote at that slot again, because its earlier vote was lost too.
    """

    id: str | None = None
    highest_chosen_slot: int = 0
    votes: dict[int, SlotVote] = msgspec.field(default_factory=dict)
    chosen: dict[int, Entry] = msgspec.field(default_factory=dict)
    snapshot: SnapshotRecord | None = None
