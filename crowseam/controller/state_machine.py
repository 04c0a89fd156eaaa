"""The replicated state machine: the configuration, and the changes that led to it."""

from __future__ import annotations

import struct

import msgspec

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import EMPTY, Change, Configuration, apply_change
from crowseam.configuration.text import version_text
from crowseam.consensus.messages import ConfigurationEntry, Entry

MAX_RECENT_CHANGES = 256  # kept completely, for the history shown to operators
# Before those, kept by digest prefix, to recognize retried changes: a week of 590 changes a day.
MAX_EARLIER_CHANGES = 4096
_DIGEST_PREFIX_BYTES = 16  # enough to identify an earlier change
_EARLIER_STRUCT = struct.Struct(f">{_DIGEST_PREFIX_BYTES}sI")
_UNKNOWN = -1


class AppliedChange(msgspec.Struct, array_like=True, frozen=True):
    """An applied change."""

    ver: int
    parent: int
    digest: str
    slot: int


class _StoredState(msgspec.Struct, array_like=True):
    """The encoded state, on disk and in snapshots. A process that knows fewer fields ignores the last ones.

    `earlier` holds packed digest prefixes and versions, oldest first. `highest_forgotten_ver` is the version of the
    newest change that is no longer remembered, -1 if the process that wrote this state did not record it.
    """

    configuration: bytes
    recent: list[AppliedChange]
    earlier: bytes = b""
    highest_forgotten_ver: int = _UNKNOWN


class AlreadyApplied:
    """The outcome of a change that was already applied."""


class OutcomeForgotten:
    """The outcome of a change that may have been applied, but is too old to be remembered."""


class UnknownParent(msgspec.Struct, frozen=True):
    """The outcome of a change whose parent version is higher than the `current` one.

    It is not a rejection: `parent` may be applied later, and then a delayed copy of the change might be applied too.
    """

    current: int
    parent: int


ChangeOutcome = AlreadyApplied | OutcomeForgotten | UnknownParent | ConfigurationError


class ConfigurationStateMachine:
    """The current configuration; a `crowseam.consensus.state_machine.StateMachine`.

    The last `max_recent` applied changes are remembered completely, the `max_earlier` ones before them by a prefix of
    their digests. Versions only grow, so forgotten changes have versions up to `highest_forgotten_ver`.
    """

    def __init__(self, max_recent: int = MAX_RECENT_CHANGES, max_earlier: int = MAX_EARLIER_CHANGES) -> None:
        self.max_recent = max_recent
        self.max_earlier = max_earlier
        self.config: Configuration = EMPTY
        self.recent: dict[str, AppliedChange] = {}  # by digest
        self.earlier: dict[bytes, int] = {}  # version by digest prefix, oldest first
        self.highest_forgotten_ver = 0

    def apply(self, slot: int, entry: Entry) -> None:
        """Apply the entry chosen at `slot`."""
        if not isinstance(entry, ConfigurationEntry):
            return
        try:
            self.config = Configuration.from_change(self.config, entry.whole, entry.body)
        except ConfigurationError:
            return  # all replicas decide alike, so all of them skip it
        self.recent[entry.digest] = AppliedChange(entry.ver, entry.parent, entry.digest, slot)
        self._trim()

    def _trim(self) -> None:
        while len(self.recent) > self.max_recent:
            oldest = self.recent.pop(next(iter(self.recent)))
            self.earlier[_digest_prefix(oldest.digest)] = oldest.ver
        while len(self.earlier) > self.max_earlier:
            self.highest_forgotten_ver = self.earlier.pop(next(iter(self.earlier)))

    def snapshot(self) -> bytes:
        """Return the encoded state, for another replica or for the disk."""
        if self.config.ver == 0 and not self.recent:
            return b""
        earlier = b"".join([_EARLIER_STRUCT.pack(prefix, ver) for prefix, ver in self.earlier.items()])
        state = _StoredState(self.config.dump(), list(self.recent.values()), earlier, self.highest_forgotten_ver)
        return msgspec.msgpack.encode(state)

    def restore(self, state: bytes) -> None:
        """Replace the state by one that `snapshot` returned, in this or in the previous version of the program.

        Raises
        ------
        msgspec.DecodeError, ConfigurationError
            If the bytes are not a valid state.
        """
        self.config = EMPTY
        self.recent = {}
        self.earlier = {}
        self.highest_forgotten_ver = 0
        if not state:
            return
        stored = msgspec.msgpack.decode(state, type=_StoredState)
        if len(stored.earlier) % _EARLIER_STRUCT.size:
            raise msgspec.DecodeError("the list of earlier changes is truncated")
        self.config = Configuration.from_put(stored.configuration)
        self.recent = {change.digest: change for change in stored.recent}
        self.earlier = dict(_EARLIER_STRUCT.iter_unpack(stored.earlier))
        # Each change builds on the one applied before it.
        oldest_known_parent = stored.recent[0].parent if stored.recent else self.config.ver
        self.highest_forgotten_ver = (
            oldest_known_parent if stored.highest_forgotten_ver == _UNKNOWN else stored.highest_forgotten_ver
        )

    def propose(self, change: Change, proposal_id: str) -> ConfigurationEntry | ChangeOutcome:
        """Return the entry to propose for a change on top of this state, or the outcome of the call."""
        if change.digest in self.recent or _digest_prefix(change.digest) in self.earlier:
            return AlreadyApplied()
        # A change whose parent is not lower than its own version is invalid and was never applied.
        if change.parent < change.ver <= self.highest_forgotten_ver:
            return OutcomeForgotten()
        if self.config.ver < change.parent < change.ver:
            return UnknownParent(self.config.ver, change.parent)
        try:
            apply_change(self.config, change)
        except ConfigurationError as error:
            return error
        return ConfigurationEntry(proposal_id, change.ver, change.parent, change.whole, change.body, change.digest)

    def history(self) -> list[dict[str, str | int]]:
        """Return the last applied changes, newest first, for operators."""
        return [
            {
                "ver": version_text(change.ver),
                "parent": version_text(change.parent),
                "slot": change.slot,
                "digest": change.digest,
            }
            for change in reversed(self.recent.values())
        ]


def _digest_prefix(digest: str) -> bytes:
    return bytes.fromhex(digest)[:_DIGEST_PREFIX_BYTES]
