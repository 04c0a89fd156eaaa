"""A voter's record of one claim, in memory and on disk, and its retention."""

from __future__ import annotations

from enum import Enum

import msgspec

from crowseam.operations.messages import ClaimName, OperationClaim, StoredAnswer

RETENTION_MARGIN_S = 5.0  # added to the window of a key
CLOCK_DRIFT = 0.02  # largest relative rate difference between two monotonic clocks
RUN_MARGIN_S = 1.0  # added to the time limit of a run, after which it has certainly ended
RECORD_OVERHEAD_BYTES = 400  # of a record in memory and on disk, without its answer
RESERVED_ANSWER_BYTES = 2048  # reserved for the answer of an operation in progress


class State(Enum):
    """State of an operation."""

    CLAIMED = "claimed"  # may run, or may have run
    ENDED = "ended"  # has run, and its answer is stored
    UNKNOWN = "unknown"  # may have run; its answer is not known


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as stored on disk. Its age restarts at zero on a restart, which never releases a key early."""

    claim: OperationClaim
    state: State
    answer: StoredAnswer | None


class Retention:
    """Retention times of records, derived from the time window in which a key is unique (s)."""

    def __init__(self, key_window_s: float) -> None:
        self._window_s = (key_window_s + RETENTION_MARGIN_S) * (1.0 + CLOCK_DRIFT)

    def claim_retention_s(self, claim: OperationClaim) -> float:
        """Return how long a claim's key stays reserved after it was recorded, regardless of the outcome (s)."""
        return max(claim.send_within_s + self._window_s, claim.run_within_s + RUN_MARGIN_S)

    def answer_retention_s(self) -> float:
        """Return how long an answer is kept after it was recorded (s)."""
        return self._window_s

    def max_retention_s(self, max_send_within_s: float) -> float:
        """Return the time after which every claim recorded before has expired (s)."""
        return max_send_within_s + self._window_s


class OperationRecord:
    """A record in memory. Times are seconds of the monotonic clock."""

    __slots__ = ("answer", "claim", "expires_at", "run_ends_at", "state")

    def __init__(self, claim: OperationClaim, now: float, expires_at: float) -> None:
        self.claim = claim
        self.state = State.CLAIMED
        self.answer: StoredAnswer | None = None
        self.expires_at = expires_at
        self.run_ends_at = now + claim.run_within_s + RUN_MARGIN_S

    @property
    def name(self) -> ClaimName:
        """The name of the claim."""
        return self.claim.name

    @property
    def size(self) -> int:
        """Size in bytes, including space reserved for the answer."""
        if self.state is State.CLAIMED:
            return RECORD_OVERHEAD_BYTES + RESERVED_ANSWER_BYTES
        return RECORD_OVERHEAD_BYTES + (answer_size(self.answer) if self.answer is not None else 0)

    def is_at_work(self, now: float) -> bool:
        """Whether the run may still be in progress."""
        return self.state is State.CLAIMED and now < self.run_ends_at

    def encode(self) -> bytes:
        """Encode the record for disk."""
        return _encode(StoredRecord(self.claim, self.state, self.answer))


def decode_record(data: bytes) -> StoredRecord:
    """Decode a record read from disk. Raises msgspec.MsgspecError."""
    return _decode(data)


def row_key(claim: OperationClaim) -> str:
    """Return the key of a record's row on disk; includes the claim's name, as one key may have several claims."""
    name = claim.name
    return f"{claim.key.hex()}/{name.gateway}/{name.incarnation}/{name.number}"


def answer_size(answer: StoredAnswer) -> int:
    """Return the size of an answer in bytes."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredRecord).decode
