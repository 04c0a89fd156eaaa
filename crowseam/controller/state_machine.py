"""The state that the agreed log builds: the configuration, and which changes led to it."""

from __future__ import annotations

import struct

import msgspec

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import EMPTY, Change, Configuration, apply_change
from crowseam.configuration.text import version_text
from crowseam.consensus.messages import ConfigurationEntry, Entry

RECENT_CHANGES = 256  # of which all is known, for operators
EARLIER_CHANGES = 4096  # before these, of which it is known that they were taken: a week of 590 changes a day
_DIGEST_PREFIX_BYTES = 16  # of a digest, that tell an earlier change from all others
_EARLIER_FORMAT = struct.Struct(f">{_DIGEST_PREFIX_BYTES}sI")
_UNKNOWN = -1


class AppliedChange(msgspec.Struct, array_like=True, frozen=True):
    """A change that was applied."""

    ver: int
    parent: int
    digest: str
    slot: int


class _StoredState(msgspec.Struct, array_like=True):
    """What is on disks and in snapshots. A process that knows fewer fields passes over the last ones.

    `earlier` holds packed prefixes of digests and versions, the oldest first. `forgotten` is the version of the
    newest change that is remembered no more, -1 where the process that made this state did not know.
    """

    configuration: bytes
    recent: list[AppliedChange]
    earlier: bytes = b""
    forgotten: int = _UNKNOWN


class AlreadyApplied:
    """The outcome of a change that has been applied before."""


class Forgotten:
    """The outcome of a change of which nobody knows any more whether it was applied: no clear answer."""


class UnknownParent(msgspec.Struct, frozen=True):
    """The outcome of a change of a version that is above the `current` one: no clear answer.

    A rejection could turn out wrong: `parent` may be applied later, and a copy of the change that was delayed on
    its way would then be applied too.
    """

    current: int
    parent: int


ChangeOutcome = AlreadyApplied | Forgotten | UnknownParent | ConfigurationError


class ConfigurationStateMachine:
    """The configuration in force; a `crowseam.consensus.state_machine.StateMachine`.

    Of applied changes the last `max_recent` are remembered completely, the `max_earlier` before them by a prefix of
    their digests. Versions only grow, so what was forgotten has a version up to `forgotten`.
    """

    def __init__(self, max_recent: int = RECENT_CHANGES, max_earlier: int = EARLIER_CHANGES) -> None:
        self.max_recent = max_recent
        self.max_earlier = max_earlier
        self.config: Configuration = EMPTY
        self.recent: dict[str, AppliedChange] = {}  # by digest
        self.earlier: dict[bytes, int] = {}  # versions by prefix of the digest, the oldest first
        self.forgotten = 0

    def apply(self, slot: int, entry: Entry) -> None:
        """Apply what was chosen at `slot`."""
        if not isinstance(entry, ConfigurationEntry):
            return
        try:
            self.config = Configuration.from_change(self.config, entry.whole, entry.body)
        except ConfigurationError:
            return  # every machine decides alike, so it is left out everywhere
        self.recent[entry.digest] = AppliedChange(entry.ver, entry.parent, entry.digest, slot)
        self._trim()

    def _trim(self) -> None:
        while len(self.recent) > self.max_recent:
            oldest = self.recent.pop(next(iter(self.recent)))
            self.earlier[_prefix(oldest.digest)] = oldest.ver
        while len(self.earlier) > self.max_earlier:
            self.forgotten = self.earlier.pop(next(iter(self.earlier)))

    def snapshot(self) -> bytes:
        """Return the state, for another machine or for the disk."""
        if self.config.ver == 0 and not self.recent:
            return b""
        earlier = b"".join([_EARLIER_FORMAT.pack(prefix, ver) for prefix, ver in self.earlier.items()])
        state = _StoredState(self.config.dump(), list(self.recent.values()), earlier, self.forgotten)
        return msgspec.msgpack.encode(state)

    def restore(self, state: bytes) -> None:
        """Begin from what `snapshot` returned, also in a process of the version before.

        Raises
        ------
        msgspec.DecodeError, ConfigurationError
            If the bytes are no such state.
        """
        self.config = EMPTY
        self.recent = {}
        self.earlier = {}
        self.forgotten = 0
        if not state:
            return
        stored = msgspec.msgpack.decode(state, type=_StoredState)
        if len(stored.earlier) % _EARLIER_FORMAT.size:
            raise msgspec.DecodeError("the earlier changes are cut short")
        self.config = Configuration.from_put(stored.configuration)
        self.recent = {change.digest: change for change in stored.recent}
        self.earlier = dict(_EARLIER_FORMAT.iter_unpack(stored.earlier))
        # Each change builds on the one applied before it.
        before = stored.recent[0].parent if stored.recent else self.config.ver
        self.forgotten = before if stored.forgotten == _UNKNOWN else stored.forgotten

    def propose(self, change: Change, proposal_id: str) -> ConfigurationEntry | ChangeOutcome:
        """Return what becomes of a change on top of this state: an entry to propose, or the outcome of its call."""
        if change.digest in self.recent or _prefix(change.digest) in self.earlier:
            return AlreadyApplied()
        # One whose parent is not below its own version was never applied, whatever is forgotten.
        if change.parent < change.ver <= self.forgotten:
            return Forgotten()
        if self.config.ver < change.parent < change.ver:
            return UnknownParent(self.config.ver, change.parent)
        try:
            apply_change(self.config, change)
        except ConfigurationError as error:
            return error
        return ConfigurationEntry(proposal_id, change.ver, change.parent, change.whole, change.body, change.digest)

    def history(self) -> list[dict[str, str | int]]:
        """Return the last changes applied, the newest first, for operators."""
        return [
            {
                "ver": version_text(change.ver),
                "parent": version_text(change.parent),
                "slot": change.slot,
                "digest": change.digest,
            }
            for change in reversed(self.recent.values())
        ]


def _prefix(digest: str) -> bytes:
    return bytes.fromhex(digest)[:_DIGEST_PREFIX_BYTES]
