"""Voter side of keyed operations: the records of accepted claims and their ends.

A voter accepts one claim per key at a time and replies once the claim is durable. A claim accepted by a majority is
granted. Two claims of one key cannot both be granted, because any two majorities share a voter, which refuses the
second one. A claim is withdrawn only if its operation cannot have run; all other records are kept until they expire.
"""

from __future__ import annotations

from collections.abc import Iterable

from crowseam.operations.effects import Persist, ReplicaEffect, Row, Send
from crowseam.operations.messages import (
    AgedRecord,
    ClaimName,
    ClaimVote,
    OperationClaim,
    OperationEnd,
    RecordAck,
    RecordClaim,
    RecordEnd,
    RecordWithdrawal,
    StoredAnswer,
    Verdict,
)
from crowseam.operations.records import (
    OperationRecord,
    Retention,
    State,
    StoredRecord,
    answer_size,
    decode_record,
    row_key,
)

MAX_ANSWER_BYTES = 64 * 1024  # size limit of stored answers
REMEMBER_WITHDRAWN_S = 10.0  # time for which delayed copies of a withdrawn claim are refused
_EXPIRY_STEP_S = 1.0


class OperationReplica:
    """The records of one voter.

    The owner keeps these attributes up to date: `voter_id` is the id of this voter, `voters_slot` a log slot since
    which the voters have not changed, and `is_ready` whether this voter has caught up on claims granted before it
    joined. `max_bytes` limits the total size: claims beyond it are refused, and no record is evicted for them.
    Times are seconds of the monotonic clock.
    """

    def __init__(self, voter_id: str, retention: Retention, max_bytes: int, now: float) -> None:
        self.voter_id = voter_id
        self.voters_slot = 0
        self.is_ready = False
        self.retention = retention
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.expired = 0  # number of expired records
        self._by_key: dict[bytes, dict[ClaimName, OperationRecord]] = {}
        self._expiring: dict[int, list[tuple[bytes, ClaimName]]] = {}  # second -> records that may expire then
        self._expired_until = int(now)
        self._withdrawn: dict[ClaimName, float] = {}  # time until which each name is remembered

    def __len__(self) -> int:
        return sum(map(len, self._by_key.values()))

    def count_states(self) -> dict[str, int]:
        """Return the number of records by state."""
        counts = {state.value: 0 for state in State}
        for records in self._by_key.values():
            for record in records.values():
                counts[record.state.value] += 1
        return counts

    def records_of(self, key: bytes) -> list[OperationRecord]:
        """Return the records of a key."""
        return list(self._by_key.get(key, {}).values())

    def restore(self, rows: Iterable[bytes], now: float) -> None:
        """Load records from disk. Their ages restart at zero. Raises msgspec.MsgspecError."""
        for row in rows:
            stored = decode_record(row)
            self._merge(stored, now, now + self.retention.claim_retention_s(stored.claim))

    # Claims

    def on_claim(self, addr: str, request: RecordClaim, now: float) -> list[ReplicaEffect]:
        """Vote on a claim: accept it, or reply with the reason for refusing it."""
        claim = request.claim
        vote = self._vote(request, now)
        reply = [Send(addr, vote)]
        if vote.verdict is not Verdict.ACCEPTED:
            return list(reply)
        record = self._find(claim.key, claim.name)
        if record is None:
            record = self._add(claim, now, now + self.retention.claim_retention_s(claim))
        return [Persist([Row(row_key(claim), record.encode())], reply)]

    def _vote(self, request: RecordClaim, now: float) -> ClaimVote:
        number, claim = request.round_number, request.claim
        records = list(self._by_key.get(claim.key, {}).values())
        conflict = self._conflict(claim, records, now)
        is_answered = conflict is not None and conflict[0] is Verdict.ANSWERED
        # A stored answer is valid even if this voter may not vote.
        if not is_answered and (refusal := self._reason_not_to_vote(request)) is not None:
            return ClaimVote(number, self.voter_id, refusal)
        if conflict is None:
            return ClaimVote(number, self.voter_id, self._verdict_on_free_key(claim, bool(records)))
        verdict, record = conflict
        answer = record.answer if verdict is Verdict.ANSWERED else None
        remaining_s = max(0.0, record.run_ends_at - now)
        return ClaimVote(number, self.voter_id, verdict, record.name, remaining_s, answer)

    def _reason_not_to_vote(self, request: RecordClaim) -> Verdict | None:
        """Return why this voter cannot vote on claims of this sender, or None if it can."""
        if not self.is_ready:
            return Verdict.NOT_READY
        return Verdict.OUTDATED if request.log_slot < self.voters_slot else None

    def _conflict(
        self, claim: OperationClaim, records: list[OperationRecord], now: float
    ) -> tuple[Verdict, OperationRecord] | None:
        """Return the record of the same key that conflicts with a claim, and the verdict; None without a conflict."""
        for record in records:
            if self._is_other_request(record.claim, claim):
                return Verdict.OTHER_REQUEST, record
            if record.answer is not None:
                return Verdict.ANSWERED, record
        for record in records:
            if record.name != claim.name or record.state is not State.CLAIMED:
                return Verdict.RIVAL_AT_WORK if record.is_at_work(now) else Verdict.RIVAL_UNKNOWN, record
        return None

    def _verdict_on_free_key(self, claim: OperationClaim, is_recorded: bool) -> Verdict:
        if claim.name in self._withdrawn:
            return Verdict.WITHDRAWN
        if not is_recorded and not self._has_space():
            return Verdict.FULL
        return Verdict.ACCEPTED

    @staticmethod
    def _is_other_request(recorded: OperationClaim, claim: OperationClaim) -> bool:
        both_known = bool(recorded.fingerprint and claim.fingerprint)
        return both_known and recorded.fingerprint != claim.fingerprint

    def _has_space(self) -> bool:
        return self.used_bytes < self.max_bytes

    # Ends and withdrawals

    def on_end(self, addr: str, request: RecordEnd, now: float) -> list[ReplicaEffect]:
        """Store the end of an operation, even if its claim is unknown here."""
        end = request.end
        record = self._record_end(end, now)
        ack = Send(addr, RecordAck(request.round_number, self.voter_id))
        return [Persist([Row(row_key(end.claim), record.encode())], [ack])]

    def _record_end(self, end: OperationEnd, now: float) -> OperationRecord:
        claim = end.claim
        record = self._find(claim.key, claim.name)
        if record is None:
            record = self._add(claim, now, now + self.retention.claim_retention_s(claim))
        if record.state is not State.ENDED:
            answer = self._answer_if_it_fits(end.answer)
            self._set(record, State.UNKNOWN if answer is None else State.ENDED, answer)
            self._keep_until(record, now + self.retention.answer_retention_s())
        return record

    def _answer_if_it_fits(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        """Return the answer if it can be stored, else None. Operations in progress have space reserved."""
        if answer is None or answer_size(answer) > MAX_ANSWER_BYTES:
            return None
        return answer if self.used_bytes + answer_size(answer) <= self.max_bytes + MAX_ANSWER_BYTES else None

    def on_withdrawal(self, addr: str, request: RecordWithdrawal, now: float) -> list[ReplicaEffect]:
        """Release a key whose operation has not run. An ended operation is never withdrawn."""
        withdrawal = request.withdrawal
        record = self._find(withdrawal.key, withdrawal.name)
        self._withdrawn[withdrawal.name] = now + REMEMBER_WITHDRAWN_S
        ack = Send(addr, RecordAck(request.round_number, self.voter_id))
        if record is None:
            return [Persist([], [ack])]  # an empty write orders the ack after pending writes
        if record.state is not State.CLAIMED:
            return []
        self._remove(record)
        return [Persist([Row(row_key(record.claim), None)], [ack])]

    def expire(self, now: float) -> list[Row]:
        """Drop expired records; return the rows to remove. Call this about once per second."""
        rows: list[Row] = []
        for second in range(self._expired_until, int(now)):
            for key, name in self._expiring.pop(second, ()):
                record = self._find(key, name)
                if record is not None and record.expires_at <= now:
                    self._remove(record)
                    self.expired += 1
                    rows.append(Row(row_key(record.claim), None))
        self._expired_until = max(self._expired_until, int(now))
        self._withdrawn = {name: until for name, until in self._withdrawn.items() if until > now}
        return rows

    # Catch-up

    def aged_records(self, now: float) -> list[AgedRecord]:
        """Return all records, for a voter that has just joined."""
        return [
            AgedRecord(record.encode(), max(0.0, record.expires_at - now))
            for records in self._by_key.values()
            for record in records.values()
        ]

    def learn(self, learned: Iterable[AgedRecord], now: float) -> list[Row]:
        """Add records of another voter; return the rows to write. Conflicting claims of a key are all kept."""
        rows = []
        for each in learned:
            stored = decode_record(each.stored)
            record = self._merge(stored, now, now + each.remaining_s + _EXPIRY_STEP_S)
            rows.append(Row(row_key(record.claim), record.encode()))
        return rows

    def _merge(self, stored: StoredRecord, now: float, expires_at: float) -> OperationRecord:
        claim = stored.claim
        record = self._find(claim.key, claim.name)
        if record is None:
            record = self._add(claim, now, expires_at)
        if stored.state is not State.CLAIMED and record.state is not State.ENDED:
            self._set(record, stored.state, stored.answer)
        self._keep_until(record, expires_at)
        return record

    # Records

    def _find(self, key: bytes, name: ClaimName) -> OperationRecord | None:
        return self._by_key.get(key, {}).get(name)

    def _add(self, claim: OperationClaim, now: float, expires_at: float) -> OperationRecord:
        record = OperationRecord(claim, now, expires_at)
        self._by_key.setdefault(claim.key, {})[claim.name] = record
        self.used_bytes += record.size
        self._schedule_expiry(record)
        return record

    def _set(self, record: OperationRecord, state: State, answer: StoredAnswer | None) -> None:
        self.used_bytes -= record.size
        record.state = state
        record.answer = answer
        self.used_bytes += record.size

    def _keep_until(self, record: OperationRecord, expires_at: float) -> None:
        if expires_at > record.expires_at:
            record.expires_at = expires_at
            self._schedule_expiry(record)

    def _schedule_expiry(self, record: OperationRecord) -> None:
        second = int(record.expires_at) + 1
        self._expiring.setdefault(second, []).append((record.claim.key, record.name))

    def _remove(self, record: OperationRecord) -> None:
        records = self._by_key[record.claim.key]
        del records[record.name]
        if not records:
            del self._by_key[record.claim.key]
        self.used_bytes -= record.size
