"""The state that the agreed log builds: the configuration, and which changes led to it."""

from __future__ import annotations

import msgspec

from folio.catalogue.structs import EMPTY, CatalogueError, Change, Configuration, judge, version_text
from folio.consensus.messages import Change as Entry

REMEMBERED = 256    # digests of taken changes; a call is sent again within seconds


class Taken(msgspec.Struct, array_like=True, frozen=True):
    """A change that was taken."""

    ver: int
    parent: int
    digest: str
    slot: int


class _State(msgspec.Struct, array_like=True):
    whole: bytes
    taken: list[Taken]


class Again:
    """The verdict on a change that has been taken before."""


class Machine:
    """The configuration in force, as `consensus.node.Machine` asks for it."""

    def __init__(self) -> None:
        self.config: Configuration = EMPTY
        self.taken: dict[str, Taken] = {}

    def apply(self, slot: int, entry: object) -> None:
        """Take in what was agreed on at `slot`."""
        if not isinstance(entry, Entry):
            return
        try:
            self.config = Configuration.from_change(self.config, entry.whole, entry.body)
        except CatalogueError:
            return  # every machine judges alike, so it is left out everywhere
        self.taken[entry.digest] = Taken(entry.ver, entry.parent, entry.digest, slot)
        while len(self.taken) > REMEMBERED:
            del self.taken[next(iter(self.taken))]

    def take(self) -> bytes:
        """The whole state, for another machine or for the disk."""
        if self.config.ver == 0 and not self.taken:
            return b""
        return msgspec.msgpack.encode(_State(self.config.dump(), list(self.taken.values())))

    def give(self, state: bytes) -> None:
        """Begin from what `take` made. Raises msgspec.DecodeError, CatalogueError."""
        self.config, self.taken = EMPTY, {}
        if state:
            held = msgspec.msgpack.decode(state, type=_State)
            self.config = Configuration.from_put(held.whole)
            self.taken = {one.digest: one for one in held.taken}

    def verdict(self, change: Change, tag: str) -> Entry | Again | CatalogueError:
        """What becomes of a change on top of this state: an entry to propose, or the answer to its call."""
        if change.digest in self.taken:
            return Again()
        try:
            judge(self.config, change)
        except CatalogueError as error:
            return error
        return Entry(tag, change.ver, change.parent, change.whole, change.body, change.digest)

    def history(self) -> list[dict]:
        """The changes remembered, the newest first, for operators."""
        return [{"ver": version_text(one.ver), "parent": version_text(one.parent), "slot": one.slot,
                 "digest": one.digest} for one in reversed(self.taken.values())]
