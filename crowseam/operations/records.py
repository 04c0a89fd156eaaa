"""What a voter remembers of one claim, in memory and on disk, and for how long."""

from __future__ import annotations

from enum import Enum

import msgspec

from crowseam.operations.messages import ClaimName, KeptAnswer, OperationClaim

MARGIN_S = 5.0  # for which a key is kept beyond its window
CLOCK_DRIFT = 0.02  # by which the rates of two steady clocks may differ
RUN_MARGIN_S = 1.0  # after the time that a server was given, by which its run has ended for certain
RECORD_OVERHEAD_BYTES = 400  # of a record in memory and on disk, beside its answer
RESERVED_ANSWER_BYTES = 2048  # set aside for the answer of an operation at work


class State(Enum):
    """How far an operation is."""

    CLAIMED = "claimed"  # may run, or may have run
    ENDED = "ended"  # has run, with the answer at hand
    UNKNOWN = "unknown"  # may have run, and no answer will be known


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as it is on disk. How old it is, is counted anew after a start: that frees no key early."""

    claim: OperationClaim
    state: State
    answer: KeptAnswer | None


class Retention:
    """For how long records are kept, by the window of a key (s)."""

    def __init__(self, key_window_s: float) -> None:
        self._window_s = (key_window_s + MARGIN_S) * (1.0 + CLOCK_DRIFT)

    def of_claim(self, claim: OperationClaim) -> float:
        """Return for how many seconds after a claim was recorded its key is taken, whatever becomes of it."""
        return max(claim.send_within_s + self._window_s, claim.run_within_s + RUN_MARGIN_S)

    def of_end(self) -> float:
        """Return for how many seconds an answer is kept after it was recorded."""
        return self._window_s

    def longest(self, max_send_within_s: float) -> float:
        """Return after how many seconds nothing is left of what was claimed before."""
        return max_send_within_s + self._window_s


class OperationRecord:
    """A record in memory. Times are seconds of the steady clock."""

    __slots__ = ("answer", "claim", "expires_at", "run_ends_at", "state")

    def __init__(self, claim: OperationClaim, now: float, expires_at: float) -> None:
        self.claim = claim
        self.state = State.CLAIMED
        self.answer: KeptAnswer | None = None
        self.expires_at = expires_at
        self.run_ends_at = now + claim.run_within_s + RUN_MARGIN_S

    @property
    def name(self) -> ClaimName:
        """The claim's name."""
        return self.claim.name

    @property
    def size(self) -> int:
        """Bytes that it takes, those set aside for its answer included."""
        if self.state is State.CLAIMED:
            return RECORD_OVERHEAD_BYTES + RESERVED_ANSWER_BYTES
        return RECORD_OVERHEAD_BYTES + (answer_size(self.answer) if self.answer is not None else 0)

    def is_at_work(self, now: float) -> bool:
        """Whether its run may go on."""
        return self.state is State.CLAIMED and now < self.run_ends_at

    def encode(self) -> bytes:
        """Return the form on disk."""
        return _encode(StoredRecord(self.claim, self.state, self.answer))


def decode_record(data: bytes) -> StoredRecord:
    """Return a record in its form on disk. Raises msgspec.MsgspecError."""
    return _decode(data)


def row_key(claim: OperationClaim) -> str:
    """Return the key of a record's row on disk: several claims of one operation may be known side by side."""
    name = claim.name
    return f"{claim.key.hex()}/{name.gateway}/{name.incarnation}/{name.number}"


def answer_size(answer: KeptAnswer) -> int:
    """Return how many bytes an answer takes."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredRecord).decode
