"""The Paxos proposer: runs rounds with the voters until each client request has an outcome."""

from __future__ import annotations

from crowseam.consensus.acceptor import Acceptor
from crowseam.consensus.ballots import BallotSequence
from crowseam.consensus.client_requests import RequestQueue
from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.messages import (
    Accept,
    Accepted,
    Entry,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Reject,
)
from crowseam.consensus.outcomes import ReadReady
from crowseam.consensus.quorum_round import QuorumRequest, QuorumRound
from crowseam.consensus.replicated_log import ReplicatedLog

NONCE_BITS = 60
_RETRANSMIT_GROWTH = 1.5
_MAX_INCONCLUSIVE_READS = 2  # quorum reads that found a vote before a ballot is started to resolve it
_MIN_DELAY_S = 0.001


class Proposer:
    """Runs one quorum read or ballot at a time, at the slot after the newest known one."""

    def __init__(
        self,
        context: NodeContext,
        log: ReplicatedLog,
        acceptor: Acceptor,
        ballots: BallotSequence,
        requests: RequestQueue,
    ) -> None:
        self._context = context
        self._log = log
        self._acceptor = acceptor
        self._ballots = ballots
        self._requests = requests
        self.round: QuorumRound | None = None
        self.backoff_until = 0.0
        self._failed_ballots = 0
        self._inconclusive_reads = 0

    # Requests

    def advance(self) -> list[Effect]:
        """Complete all requests that can be completed, and start the next round if one is needed."""
        log = self._log
        if not log.voters or not len(self._requests):
            return []
        effects: list[Effect] = []
        has_unconfirmed = False
        for request in self._requests:
            outcome = ReadReady(log.last_slot) if request.build is None else self._requests.evaluate(request)
            if isinstance(outcome, Entry):
                continue
            if request.is_confirmed:
                effects += self._requests.complete(request, outcome)
            else:
                has_unconfirmed = True
        return [*effects, *self._next_round(has_unconfirmed)]

    def _next_round(self, has_unconfirmed: bool) -> list[Effect]:
        proposal = self._requests.next_proposal()
        if self._context.now < self.backoff_until:
            return []
        if self.round is not None and not (self.round.is_read and proposal is not None):
            return []
        if self._log.is_far_behind():
            return []  # every voter would reply with log entries, which have already been requested from one of them
        if proposal is not None or (has_unconfirmed and self._inconclusive_reads >= _MAX_INCONCLUSIVE_READS):
            return self.start_ballot()
        if has_unconfirmed:
            return self._start(QuorumRead(self._log.last_slot + 1, self._context.rng.getrandbits(NONCE_BITS)))
        return []

    def expire_requests(self) -> list[Effect]:
        """Complete timed-out requests, and abandon a round that no request is waiting for."""
        waiting = len(self._requests)
        effects = self._requests.expire()
        has_become_idle = waiting > 0 and not len(self._requests)
        if has_become_idle and self.round is not None and self.round.entry is None:
            self.round = None
        return list(effects)

    # Rounds

    def start_ballot(self) -> list[Effect]:
        """Start a ballot at the next slot (phase 1a)."""
        return self._start(Prepare(self._log.last_slot + 1, self._ballots.next()))

    def _start(self, message: QuorumRead | Prepare) -> list[Effect]:
        log = self._log
        self.round = QuorumRound(log.last_slot + 1, message, self._requests.last_sequence, log.voters)
        return self._send_to_voters(self.round)

    def _send_to_voters(self, current: QuorumRound) -> list[Effect]:
        current.retransmit_interval_s = self._context.timing.retransmit_interval_s
        current.retransmit_at = self._context.now + current.retransmit_interval_s * self._context.jitter()
        return [Send(addr, current.message) for addr in current.voters.values()]

    def retransmit(self) -> list[Effect]:
        """Resend the request to voters that have not replied, if it is due."""
        current = self.round
        if current is None or self._context.now < current.retransmit_at:
            return []
        if current.rejected_by:
            # Voters that have not replied may never do so; retry with a higher ballot instead of waiting for them.
            self._back_off()
            return []
        interval = current.retransmit_interval_s * _RETRANSMIT_GROWTH
        current.retransmit_interval_s = min(interval, self._context.timing.max_retransmit_interval_s)
        current.retransmit_at = self._context.now + current.retransmit_interval_s * self._context.jitter()
        return [Send(addr, current.message) for addr in current.unanswered()]

    def resend_to(self, addr: str) -> list[Effect]:
        """Resend the request to a voter that could not reply until it had caught up."""
        current = self.round
        if current is None:
            return []
        return [Send(addr, current.message) for each in current.unanswered() if each == addr]

    def _back_off(self) -> None:
        timing = self._context.timing
        self.round = None
        self._failed_ballots += 1
        max_delay_s = min(timing.max_backoff_s, timing.base_backoff_s * 2**self._failed_ballots)
        self.backoff_until = self._context.now + self._context.rng.uniform(0.2, 1.0) * max_delay_s

    def slot_advanced(self) -> None:
        """Reset the state of the current slot, because it has been chosen."""
        self.round = None
        self._ballots.reset()
        self._failed_ballots = 0
        self._inconclusive_reads = 0
        self.backoff_until = 0.0

    def next_due(self) -> list[float]:
        """Return the times at which this component may have work to do (s)."""
        if self.round is not None:
            return [self.round.retransmit_at]
        due = []
        # A node that knows no voters cannot complete requests, and one that is far behind catches up first.
        if len(self._requests) and self._log.voters and not self._log.is_far_behind():
            due.append(max(self.backoff_until, self._context.now + _MIN_DELAY_S))
        if self._log.voters and self._acceptor.vote_in_doubt() is not None:
            due.append(max(self.backoff_until, self._acceptor.recovery_due()))
        return due

    # Replies

    def _round_answered_by(
        self, reply: Promise | Reject | Accepted | QuorumReadReply, *kinds: type[QuorumRequest]
    ) -> QuorumRound | None:
        """Return the current round if `reply` belongs to it and comes from one of its voters, else None."""
        current = self.round
        if current is None or not isinstance(current.message, kinds) or current.slot != reply.slot:
            return None
        return current if reply.voter in current.voters else None

    def on_promise(self, promise: Promise) -> list[Effect]:
        """Count a promise; once a majority has promised, propose an entry (phase 2a)."""
        current = self._round_answered_by(promise, Prepare)
        if current is None or promise.ballot != current.ballot or not current.add_reply(promise):
            return []
        entry = self._entry_to_propose(current)
        if entry is None:
            self.round = None
            self._inconclusive_reads = 0
            return []
        self._requests.mark_proposed(entry.proposal_id, current.slot)
        current.begin_phase_two(entry)
        return self._send_to_voters(current)

    def _entry_to_propose(self, current: QuorumRound) -> Entry | None:
        """Return the entry of the highest ballot among the reported votes; without votes, an entry of this node."""
        promises = [reply for reply in current.replies.values() if isinstance(reply, Promise)]
        voted = [promise for promise in promises if promise.accepted is not None and promise.entry is not None]
        if not voted:
            # A reported vote may be for an entry that is already chosen, and later slots may be chosen too, so only a
            # round without votes shows that the applied state is current.
            self._requests.confirm_through(current.sequence)
        proposal = self._requests.next_proposal()
        if voted:
            return max(voted, key=lambda promise: promise.accepted or promise.ballot).entry
        if proposal is not None:
            return proposal
        # This node voted after it sent its promise; propose that entry again, so that its vote does not stay in doubt.
        in_doubt = self._acceptor.vote_in_doubt()
        return in_doubt.entry if in_doubt is not None else None

    def on_reject(self, reject: Reject) -> None:
        """Count a rejection; back off once a majority can no longer accept."""
        if reject.slot == self._log.last_slot + 1:
            self._ballots.observe(reject.higher)
        current = self._round_answered_by(reject, Prepare, Accept)
        if current is None or reject.ballot != current.ballot or reject.voter in current.replies:
            return
        if current.add_rejection(reject.voter):
            self._back_off()

    def on_accepted(self, accepted: Accepted) -> QuorumRound | None:
        """Count a vote; return the round once its entry is chosen."""
        current = self._round_answered_by(accepted, Accept)
        if current is None or accepted.ballot != current.ballot:
            return None
        return current if current.add_reply(accepted) else None

    def on_quorum_read_reply(self, reply: QuorumReadReply) -> None:
        """Count a quorum read reply; a majority without a vote confirms all requests older than the read."""
        current = self._round_answered_by(reply, QuorumRead)
        if current is None or not isinstance(current.message, QuorumRead) or reply.nonce != current.message.nonce:
            return
        current.saw_vote = current.saw_vote or reply.has_voted
        if not current.add_reply(reply):
            return
        self.round = None
        if current.saw_vote:
            # Another proposer is probably finishing this slot; a ballot is started only if it stays unfinished.
            self._inconclusive_reads += 1
            self.backoff_until = self._context.now + self._context.timing.base_backoff_s * self._context.jitter()
        else:
            self._inconclusive_reads = 0
            self._requests.confirm_through(current.sequence)
