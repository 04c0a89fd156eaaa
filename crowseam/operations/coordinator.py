"""Coordinator side of keyed operations: sends claims, ends and withdrawals to the voters and waits for a majority.

A coordinator keeps no durable state: a claim is granted by a majority of the voters' disks, and another coordinator
can complete an end or withdrawal that this one started.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from crowseam.operations.effects import CoordinatorEffect, Reply, Send
from crowseam.operations.messages import (
    ClaimDecision,
    ClaimName,
    ClaimOutcome,
    ClaimVote,
    OperationClaim,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
    RecordAck,
    RecordClaim,
    RecordEnd,
    RecordWithdrawal,
    StoredAnswer,
    Verdict,
)
from crowseam.quorum import majority

CLAIM_TIMEOUT_S = 0.2  # for the votes on a claim; must be shorter than the timeout of the gateway
RETRANSMIT_INTERVAL_S = 0.25  # of ends and withdrawals
SETTLE_TIMEOUT_S = 3.0  # after which an end or withdrawal is dropped and the gateway has to send it again
# Verdicts of voters that have stored another claim of the key.
_RIVAL_VERDICTS = (Verdict.RIVAL_AT_WORK, Verdict.RIVAL_UNKNOWN)


class _ClaimRound:
    """A round of votes on a claim."""

    __slots__ = ("claim", "gateway", "started_at", "votes")

    def __init__(self, gateway: str, claim: OperationClaim, now: float) -> None:
        self.gateway = gateway
        self.claim = claim
        self.started_at = now
        self.votes: dict[str, ClaimVote] = {}  # by address

    def decide(self, voters: Mapping[str, str], is_final: bool) -> ClaimDecision | None:
        """Return the decision on the votes so far, or None if further votes matter and `is_final` is not set."""
        votes = [vote for addr, vote in self.votes.items() if addr in voters and voters[addr] == vote.voter_id]
        for vote in votes:
            if vote.verdict is Verdict.ANSWERED:
                return self._decision(ClaimOutcome.ANSWERED, answer=vote.answer)
            if vote.verdict is Verdict.OTHER_REQUEST:
                return self._decision(ClaimOutcome.OTHER_REQUEST)
        needed = majority(len(voters))
        accepted = sum(vote.verdict is Verdict.ACCEPTED for vote in votes)
        if voters and accepted >= needed:
            return self._decision(ClaimOutcome.GRANTED)
        missing = len(voters) - len(votes)
        if accepted + missing >= needed and not is_final:
            return None
        return self._refusal(votes, needed, missing)

    def _refusal(self, votes: list[ClaimVote], needed: int, missing: int) -> ClaimDecision:
        rivals = [vote for vote in votes if vote.verdict in _RIVAL_VERDICTS]
        if rivals:
            votes_by_rival: Counter[ClaimName | None] = Counter(vote.rival for vote in rivals)
            if max(votes_by_rival.values()) + missing < needed:
                return self._decision(ClaimOutcome.CONTENDED)
            remaining_s = max(vote.remaining_s for vote in rivals)
            is_at_work = any(vote.verdict is Verdict.RIVAL_AT_WORK for vote in rivals)
            return self._decision(ClaimOutcome.AT_WORK if is_at_work else ClaimOutcome.UNKNOWN, remaining_s)
        if any(vote.verdict is Verdict.FULL for vote in votes):
            return self._decision(ClaimOutcome.FULL)
        return self._decision(ClaimOutcome.NO_QUORUM)

    def _decision(
        self, outcome: ClaimOutcome, remaining_s: float = 0.0, answer: StoredAnswer | None = None
    ) -> ClaimDecision:
        return ClaimDecision(self.claim.name.number, outcome, remaining_s, answer)


class _SettleRound:
    """An end or withdrawal to be stored by a majority. `gateway` waits for the confirmation; "" if none does."""

    __slots__ = ("acked_by", "claim", "gateway", "message", "sent_at", "started_at")

    def __init__(self, gateway: str, claim: ClaimName, message: RecordEnd | RecordWithdrawal, now: float) -> None:
        self.gateway = gateway
        self.claim = claim
        self.message = message
        self.started_at = now
        self.sent_at = now
        self.acked_by: dict[str, str] = {}  # address -> id of the voter

    def missing(self, voters: Mapping[str, str]) -> list[str]:
        """Return the addresses of the voters that have not acknowledged."""
        return sorted(addr for addr, voter_id in voters.items() if self.acked_by.get(addr) != voter_id)


class OperationCoordinator:
    """The rounds of one controller.

    Round numbers start above `first_number`, which must exceed all numbers of earlier incarnations, because late
    replies to their requests may still arrive. Times are seconds of the monotonic clock.
    """

    def __init__(self, first_number: int) -> None:
        self._last_number = first_number
        self._claims: dict[int, _ClaimRound] = {}
        self._settling: dict[int, _SettleRound] = {}
        self._settling_numbers: dict[tuple[type, ClaimName], int] = {}  # round number by message type and claim
        self._voters: dict[str, str] = {}  # address -> id
        self._log_slot = 0

    def __len__(self) -> int:
        return len(self._claims) + len(self._settling)

    def set_voters(self, voters: Mapping[str, str], log_slot: int) -> None:
        """Update the voters and the newest known log slot; call this before each message."""
        self._voters = dict(voters)
        self._log_slot = log_slot

    # Requests of gateways

    def on_claim(
        self, gateway: str, claim: OperationClaim, reachable: Collection[str], now: float
    ) -> list[CoordinatorEffect]:
        """Send a claim to the voters; `reachable` has the addresses of connected controllers, including this one."""
        reachable_voters = sum(addr in reachable for addr in self._voters)
        if not self._voters or reachable_voters < majority(len(self._voters)):
            return [Reply(gateway, ClaimDecision(claim.name.number, ClaimOutcome.NO_QUORUM))]
        number = self._next_number()
        self._claims[number] = _ClaimRound(gateway, claim, now)
        request = RecordClaim(number, self._log_slot, claim)
        return [Send(addr, request) for addr in sorted(self._voters)]

    def on_end(self, gateway: str, end: OperationEnd, now: float) -> list[CoordinatorEffect]:
        """Have the voters store an end; the gateway gets a confirmation once a majority has."""
        return self._settle(gateway, end.claim.name, RecordEnd(self._next_number(), end), now)

    def on_withdrawal(self, gateway: str, withdrawal: OperationWithdrawal, now: float) -> list[CoordinatorEffect]:
        """Have the voters release a key; the gateway gets a confirmation once a majority has."""
        return self._settle(gateway, withdrawal.name, RecordWithdrawal(self._next_number(), withdrawal), now)

    def _settle(
        self, gateway: str, claim: ClaimName, message: RecordEnd | RecordWithdrawal, now: float
    ) -> list[CoordinatorEffect]:
        key = (type(message), claim)
        ongoing = self._settling.get(self._settling_numbers.get(key, 0))
        if ongoing is not None:
            # The gateway retransmits until it gets a reply; join the ongoing round instead of starting another.
            ongoing.gateway = gateway or ongoing.gateway
            return self._reply_if_settled(ongoing)
        self._settling[message.round_number] = _SettleRound(gateway, claim, message, now)
        self._settling_numbers[key] = message.round_number
        return [Send(addr, message) for addr in sorted(self._voters)]

    def _reply_if_settled(self, settling: _SettleRound) -> list[CoordinatorEffect]:
        acked = len(self._voters) - len(settling.missing(self._voters))
        if not settling.gateway or acked < majority(len(self._voters)):
            return []
        gateway, settling.gateway = settling.gateway, ""
        return [Reply(gateway, OperationSettled(settling.claim.number))]

    def _forget_settling(self, number: int) -> None:
        settling = self._settling.pop(number)
        del self._settling_numbers[type(settling.message), settling.claim]

    # Replies of voters

    def on_vote(self, addr: str, vote: ClaimVote, now: float) -> list[CoordinatorEffect]:
        """Count a vote."""
        claim_round = self._claims.get(vote.round_number)
        if claim_round is None:
            return []
        claim_round.votes[addr] = vote
        return self._close_if_decided(vote.round_number, claim_round, False, now)

    def _close_if_decided(
        self, number: int, claim_round: _ClaimRound, is_final: bool, now: float
    ) -> list[CoordinatorEffect]:
        decision = claim_round.decide(self._voters, is_final)
        if decision is None:
            return []
        del self._claims[number]
        effects: list[CoordinatorEffect] = [Reply(claim_round.gateway, decision)]
        if decision.outcome is not ClaimOutcome.GRANTED:
            # Remove the claim from voters that have accepted it or are about to.
            claim = claim_round.claim
            withdrawal = RecordWithdrawal(self._next_number(), OperationWithdrawal(claim.name, claim.key))
            effects += self._settle("", claim.name, withdrawal, now)
        return effects

    def on_ack(self, addr: str, ack: RecordAck) -> list[CoordinatorEffect]:
        """Count an acknowledgement of an end or withdrawal."""
        settling = self._settling.get(ack.round_number)
        if settling is None:
            return []
        settling.acked_by[addr] = ack.voter_id
        if not settling.missing(self._voters):
            self._forget_settling(ack.round_number)
        return self._reply_if_settled(settling)

    def tick(self, now: float) -> list[CoordinatorEffect]:
        """Expire rounds that have timed out, and retransmit messages that may have been lost."""
        effects: list[CoordinatorEffect] = []
        for number, claim_round in list(self._claims.items()):
            if now - claim_round.started_at >= CLAIM_TIMEOUT_S:
                effects += self._close_if_decided(number, claim_round, True, now)
        for number, settling in list(self._settling.items()):
            if now - settling.started_at >= SETTLE_TIMEOUT_S:
                self._forget_settling(number)
            elif now - settling.sent_at >= RETRANSMIT_INTERVAL_S:
                settling.sent_at = now
                effects += [Send(addr, settling.message) for addr in settling.missing(self._voters)]
        return effects

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
