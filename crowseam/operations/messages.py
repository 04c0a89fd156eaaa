"""The messages of keyed operations. All times in them are spans in seconds: no two clocks are compared."""

from __future__ import annotations

from enum import Enum

import msgspec


class ClaimName(msgspec.Struct, frozen=True, array_like=True):
    """Names one claim of one gateway. It is never used for another claim, so that late messages can't be mistaken."""

    gateway: str
    incarnation: int
    number: int


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A server's answer, as each repeat gets it: status, end-to-end header fields, body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


# Between a gateway and its controller


class OperationClaim(msgspec.Struct, frozen=True, array_like=True, tag="op.claim"):
    """Asks for the right to run an operation.

    `key` is the digest of tenant and `X-Op-Key`, `fingerprint` that of the request (empty: not known, as its body
    is passed on while it comes). The gateway sends it to a server within `send_within_s` or never; a run has ended
    after `run_within_s`.
    """

    name: ClaimName
    key: bytes
    fingerprint: bytes
    send_within_s: float
    run_within_s: float


class OperationEnd(msgspec.Struct, frozen=True, array_like=True, tag="op.end"):
    """What became of the run of a claim; no answer: the outcome is not known, or its answer is too large to keep."""

    claim: OperationClaim
    answer: KeptAnswer | None


class OperationWithdrawal(msgspec.Struct, frozen=True, array_like=True, tag="op.withdraw"):
    """The operation of this claim has not run and never will: its key is free again."""

    name: ClaimName
    key: bytes


class ClaimOutcome(Enum):
    """What a gateway is to do about a request whose operation it claimed."""

    GRANTED = "granted"  # send it to a server
    ANSWERED = "answered"  # the operation has run: give the answer that was kept
    AT_WORK = "at_work"  # another try of it is at work
    UNKNOWN = "unknown"  # another try of it may have run, and its answer is not known
    OTHER_REQUEST = "other_request"  # the key was used for another request
    CONTENDED = "contended"  # several tries met, and none has the right: claim anew under another name
    NO_QUORUM = "no_quorum"  # no majority of the voters answers
    FULL = "full"  # the voters have no space for another key


class ClaimDecision(msgspec.Struct, frozen=True, array_like=True, tag="op.decision"):
    """The answer to `OperationClaim`, by its number; `remaining_s`: how long a run at work may still last."""

    number: int
    outcome: ClaimOutcome
    remaining_s: float = 0.0
    answer: KeptAnswer | None = None


class OperationSettled(msgspec.Struct, frozen=True, array_like=True, tag="op.settled"):
    """A majority has the end or the withdrawal of the claim with this number on disk."""

    number: int


# Between a controller and the voters


class RecordClaim(msgspec.Struct, frozen=True, array_like=True, tag="op.record_claim"):
    """Asks a voter to record a claim. `log_slot` is the newest slot of the log that the sender knows."""

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
    """What a voter says to a claim."""

    ACCEPTED = "accepted"  # it is on this voter's disk, and no other claim of the key is
    RIVAL_AT_WORK = "rival_at_work"  # another claim of the key is, whose run may go on
    RIVAL_UNKNOWN = "rival_unknown"  # another one is, whose run is over without a known answer
    ANSWERED = "answered"
    OTHER_REQUEST = "other_request"
    WITHDRAWN = "withdrawn"  # the claim itself was withdrawn before
    NOT_READY = "not_ready"  # this voter has yet to learn what others granted
    OUTDATED = "outdated"  # the sender does not know the voters
    FULL = "full"


class ClaimVote(msgspec.Struct, frozen=True, array_like=True, tag="op.vote"):
    """A voter's answer to `RecordClaim`."""

    round_number: int
    voter_id: str
    verdict: Verdict
    rival: ClaimName | None = None
    remaining_s: float = 0.0
    answer: KeptAnswer | None = None


class RecordAck(msgspec.Struct, frozen=True, array_like=True, tag="op.ack"):
    """A voter has the end or the withdrawal on its disk."""

    round_number: int
    voter_id: str


# Between a voter that has just joined and the others


class LearnOperations(msgspec.Struct, frozen=True, array_like=True, tag="op.learn"):
    """Asks a voter for the records from `position` on; `number` is that of this attempt to learn."""

    number: int
    log_slot: int
    voters_slot: int
    position: int


class AgedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record as a voter has it, in its stored form, and the seconds for which it is still kept there."""

    stored: bytes
    remaining_s: float


class OperationsLearned(msgspec.Struct, frozen=True, array_like=True, tag="op.learned"):
    """A part of a voter's records; `next_position` is 0 after the last one."""

    number: int
    voter_id: str
    records: list[AgedRecord]
    next_position: int


GatewayMessage = OperationClaim | OperationEnd | OperationWithdrawal | ClaimDecision | OperationSettled
VoterMessage = RecordClaim | RecordEnd | RecordWithdrawal | ClaimVote | RecordAck | LearnOperations | OperationsLearned
Message = GatewayMessage | VoterMessage
