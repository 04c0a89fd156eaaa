"""Messages for keyed operations. They contain durations in seconds only, so clocks need not be synchronized."""

from __future__ import annotations

from enum import Enum

import msgspec


class ClaimName(msgspec.Struct, frozen=True, array_like=True):
    """Unique name of one claim of a gateway. Names are never reused, so delayed messages cannot be misattributed."""

    gateway: str
    incarnation: int
    number: int


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A server's answer as retries get it: status, end-to-end header fields and body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


# Between a gateway and its controller


class OperationClaim(msgspec.Struct, frozen=True, array_like=True, tag="op.claim"):
    """Asks for permission to run an operation.

    `key` is the digest of tenant and `X-Op-Key`, `fingerprint` that of the request (empty if the body is streamed
    and thus not known yet). The gateway sends the request to a server within `send_within_s` or not at all; a run
    ends within `run_within_s`.
    """

    name: ClaimName
    key: bytes
    fingerprint: bytes
    send_within_s: float
    run_within_s: float


class OperationEnd(msgspec.Struct, frozen=True, array_like=True, tag="op.end"):
    """The end of a claimed run. No answer means that the outcome is unknown or the answer too large to store."""

    claim: OperationClaim
    answer: StoredAnswer | None


class OperationWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag="op.withdraw"):
    """Releases the key of a claim whose operation has not run and never will."""

    name: ClaimName
    key: bytes


class ClaimOutcome(Enum):
    """The decision on a claim, which tells the gateway how to handle the request."""

    GRANTED = "granted"  # send it to a server
    ANSWERED = "answered"  # the operation has run: reply with the stored answer
    AT_WORK = "at_work"  # another attempt is in progress
    UNKNOWN = "unknown"  # another attempt may have run, and its answer is not known
    OTHER_REQUEST = "other_request"  # the key was used for another request
    CONTENDED = "contended"  # concurrent claims blocked each other: claim again with a new name
    NO_QUORUM = "no_quorum"  # no majority of the voters replied
    FULL = "full"  # the voters have no space for another key


class ClaimDecision(msgspec.Struct, frozen=True, array_like=True, tag="op.decision"):
    """The reply to the claim with this number; `remaining_s` is how long a run in progress may still take."""

    number: int
    outcome: ClaimOutcome
    remaining_s: float = 0.0
    answer: StoredAnswer | None = None


class OperationSettled(msgspec.Struct, frozen=True, array_like=True, tag="op.settled"):
    """A majority of voters has stored the end or the withdrawal of the claim with this number."""

    number: int


# Between a controller and the voters


class RecordClaim(msgspec.Struct, frozen=True, array_like=True, tag="op.record_claim"):
    """Asks a voter to record a claim. `log_slot` is the newest log slot that the sender knows."""

    round_number: int
    log_slot: int
    claim: OperationClaim


class RecordEnd(msgspec.Struct, frozen=True, array_like=True, tag="op.record_end"):
    """Asks a voter to record the end of an operation."""

    round_number: int
    end: OperationEnd


class RecordWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag="op.record_withdrawal"):
    """Asks a voter to remove a claim."""

    round_number: int
    withdrawal: OperationWithdrawal


class Verdict(Enum):
    """A voter's verdict on a claim."""

    ACCEPTED = "accepted"  # stored by this voter, which has no other claim of the key
    RIVAL_AT_WORK = "rival_at_work"  # another claim of the key is stored, and its run may be in progress
    RIVAL_UNKNOWN = "rival_unknown"  # another claim is stored, and its run is over without a known answer
    ANSWERED = "answered"
    OTHER_REQUEST = "other_request"
    WITHDRAWN = "withdrawn"  # the claim itself was withdrawn before
    NOT_READY = "not_ready"  # this voter has not caught up on claims granted before it joined
    OUTDATED = "outdated"  # the sender does not know the current voters
    FULL = "full"


class ClaimVote(msgspec.Struct, frozen=True, array_like=True, tag="op.vote"):
    """A voter's reply to `RecordClaim`."""

    round_number: int
    voter_id: str
    verdict: Verdict
    rival: ClaimName | None = None
    remaining_s: float = 0.0
    answer: StoredAnswer | None = None


class RecordAck(msgspec.Struct, frozen=True, array_like=True, tag="op.ack"):
    """A voter has stored the end or the withdrawal of this round."""

    round_number: int
    voter_id: str


# Between a voter that has just joined and the others


class LearnOperations(msgspec.Struct, frozen=True, array_like=True, tag="op.learn"):
    """Asks a voter for its records from `position` on; `number` identifies this catch-up attempt."""

    number: int
    log_slot: int
    voters_slot: int
    position: int


class AgedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A voter's record in its stored form, and for how many seconds the voter still keeps it."""

    stored: bytes
    remaining_s: float


class OperationsLearned(msgspec.Struct, frozen=True, array_like=True, tag="op.learned"):
    """A part of a voter's records; `next_position` is 0 in the last part."""

    number: int
    voter_id: str
    records: list[AgedRecord]
    next_position: int


GatewayMessage = OperationClaim | OperationEnd | OperationWithdrawal | ClaimDecision | OperationSettled
VoterMessage = RecordClaim | RecordEnd | RecordWithdrawal | ClaimVote | RecordAck | LearnOperations | OperationsLearned
Message = GatewayMessage | VoterMessage
