"""The Paxos acceptor: promises and votes for the slot after the newest known one."""

from __future__ import annotations

from crowseam.consensus.ballots import BallotSequence
from crowseam.consensus.catch_up import CatchUp
from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.messages import (
    Accept,
    Accepted,
    Ballot,
    Entry,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Reject,
)
from crowseam.consensus.record_writer import RecordWriter
from crowseam.consensus.records import DurableState, PromiseRecord, SlotVote, VoteRecord
from crowseam.consensus.replicated_log import ReplicatedLog

_STARTUP_TIMEOUT_FACTOR = (
    0.8  # after a restart, the fraction of its timeout that an in-doubt vote counts as already waited
)
_MAX_RETRY_DELAY_S = 0.2


class Acceptor:
    """Replies to proposers. A voter votes at a slot only if it knows all earlier ones.

    An entry accepted by a majority therefore follows on every entry chosen before it.
    """

    def __init__(
        self,
        context: NodeContext,
        log: ReplicatedLog,
        catch_up: CatchUp,
        ballots: BallotSequence,
        writer: RecordWriter,
        durable: DurableState,
    ) -> None:
        self._context = context
        self._log = log
        self._catch_up = catch_up
        self._ballots = ballots
        self._writer = writer
        self._highest_chosen_slot = max(durable.highest_chosen_slot, log.last_slot)
        self.votes = {slot: vote for slot, vote in durable.votes.items() if slot > log.last_slot}
        self.last_vote_at = 0.0

    # Replies to proposers

    def on_prepare(self, sender: str, message: Prepare) -> list[Effect]:
        """Promise to reject lower ballots at this slot (phase 1b), or reject with the higher promised ballot."""
        redirect = self._redirect(sender, message.slot)
        if redirect is not None:
            return redirect
        vote = self.votes.setdefault(message.slot, SlotVote())
        rejection = self._rejection(vote, message)
        if rejection is not None:
            return [Send(sender, rejection)]
        vote.promised = message.ballot
        self._ballots.observe(message.ballot)
        self.last_vote_at = self._context.now
        promise = Promise(message.slot, message.ballot, self._context.me.id, vote.accepted, vote.entry)
        return [self._writer.persist([PromiseRecord(message.slot, message.ballot)], [Send(sender, promise)])]

    def on_accept(self, sender: str, message: Accept) -> list[Effect]:
        """Vote for the entry (phase 2b), or reject with the higher promised ballot."""
        redirect = self._redirect(sender, message.slot)
        if redirect is not None:
            return redirect
        vote = self.votes.setdefault(message.slot, SlotVote())
        rejection = self._rejection(vote, message)
        if rejection is not None:
            return [Send(sender, rejection)]
        vote.promised = vote.accepted = message.ballot
        vote.entry = message.entry
        self.last_vote_at = self._context.now
        accepted = Accepted(message.slot, message.ballot, self._context.me.id)
        record = VoteRecord(message.slot, message.ballot, message.entry)
        return [self._writer.persist([record], [Send(sender, accepted)])]

    def on_quorum_read(self, sender: str, message: QuorumRead) -> list[Effect]:
        """Reply whether this voter has voted at the slot."""
        me, log = self._context.me, self._log
        redirect = self._redirect(sender, message.slot)
        if redirect is None:
            vote = self.votes.get(message.slot)
            has_voted = vote is not None and vote.accepted is not None
            return [Send(sender, QuorumReadReply(message.slot, message.nonce, me.id, has_voted))]
        if log.voters and message.slot != log.last_slot + 1:
            # The slot differs, so this does not answer a quorum read, but it tells a `MembershipProof` that this voter
            # is alive.
            return [*redirect, Send(sender, QuorumReadReply(log.last_slot + 1, message.nonce, me.id, True))]
        return redirect

    def _rejection(self, vote: SlotVote, message: Prepare | Accept) -> Reject | None:
        """Return a rejection if the ballot is lower than the promised one, else None."""
        if vote.promised is None or message.ballot >= vote.promised:
            return None
        return Reject(message.slot, message.ballot, self._context.me.id, vote.promised)

    def _redirect(self, sender: str, slot: int) -> list[Effect] | None:
        """Return the catch-up messages to send instead of voting if this voter must not vote at `slot`, else None."""
        log = self._log
        if not log.voters or slot > log.last_slot + 1:
            log.observe_slot(slot - 1)
            return self._catch_up.request_from(sender)
        if slot <= log.last_slot:
            return self._catch_up.send_from(sender, slot)
        if slot <= self._highest_chosen_slot and slot not in self.votes:
            # The entry chosen at this slot was lost on this disk, and so was the vote for it.
            return self._catch_up.request_from(sender)
        return None

    # Votes

    def vote_at(self, slot: int) -> SlotVote | None:
        """Return the promise and vote at a slot, if any."""
        return self.votes.get(slot)

    def accepted_entry(self, slot: int, ballot: Ballot) -> Entry | None:
        """Return the entry of the latest vote at `slot` if that vote was for `ballot`, else None."""
        vote = self.votes.get(slot)
        return vote.entry if vote is not None and vote.accepted == ballot else None

    def vote_in_doubt(self) -> SlotVote | None:
        """Return the vote at the next slot, if any. Whether its entry is chosen is not known yet."""
        vote = self.votes.get(self._log.last_slot + 1)
        return vote if vote is not None and vote.accepted is not None else None

    def forget_through(self, slot: int) -> None:
        """Drop votes up to `slot`, which are obsolete now that it is chosen."""
        self._highest_chosen_slot = max(self._highest_chosen_slot, slot)
        self.votes = {at: vote for at, vote in self.votes.items() if at > slot}

    def start(self) -> None:
        """Start the recovery timer for votes restored from disk."""
        self.last_vote_at = self._context.now - self._context.timing.in_doubt_vote_timeout_s * _STARTUP_TIMEOUT_FACTOR

    def recovery_due(self) -> float:
        """Return the time at which a vote in doubt, if any, is to be resolved (s)."""
        return self.last_vote_at + self._context.timing.in_doubt_vote_timeout_s

    def postpone_recovery(self) -> None:
        """Restart the recovery timer, because this node is now running a ballot for the vote in doubt."""
        self.last_vote_at = self._context.now + self._context.rng.uniform(0.0, _MAX_RETRY_DELAY_S)
