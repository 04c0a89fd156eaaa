"""Mutants of the node, each with one guard removed, which the model check must detect.

A guard prevents a fault of the environment from breaking an invariant. `seed` selects a schedule of
`agreement.check` that detects the mutant; without one, `why` says whether the guard is redundant for the
invariants checked here, or out of reach of the check.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from crowseam.consensus.acceptor import Acceptor
from crowseam.consensus.client_requests import RequestQueue
from crowseam.consensus.effects import Persist, Send
from crowseam.consensus.membership_proof import MembershipProof
from crowseam.consensus.messages import Accept, Prepare, QuorumRead, QuorumReadReply
from crowseam.consensus.node import Node
from crowseam.consensus.proposer import Proposer
from crowseam.consensus.reconfiguration import Reconfiguration
from crowseam.consensus.record_writer import NEVER, RecordWriter
from crowseam.consensus.records import PromiseRecord, VoteRecord
from crowseam.consensus.replicated_log import ReplicatedLog
from crowseam.model_checks.agreement.parts import node_with

_with = msgspec.structs.replace


class Mutation(msgspec.Struct, frozen=True):
    """A guard, a node class without it, and the seed of a schedule that detects its absence."""

    guard: str
    node_class: type[Node]
    seed: int | None = None
    why: str = ""


MUTATIONS: list[Mutation] = []


def _without(guard: str, seed: int | None = None, why: str = "") -> Callable[[type], type]:
    """Register a class of a node, or of a part of one, that lacks `guard`."""

    def register(mutated_class: type) -> type:
        node_class = mutated_class if issubclass(mutated_class, Node) else node_with(mutated_class)
        MUTATIONS.append(Mutation(guard, node_class, seed, why))
        return mutated_class

    return register


def _send_before_persisting(effects: list[Any]) -> list[Any]:
    """Send messages at once that should wait until the promise or vote is on disk."""
    immediate: list[Any] = []
    for effect in effects:
        if isinstance(effect, Persist) and any(isinstance(each, PromiseRecord | VoteRecord) for each in effect.records):
            immediate += [*effect.then, Persist(effect.records, [])]
        else:
            immediate.append(effect)
    return immediate


# Acceptor


@_without("the ballot compare at a prepare", 75)
class PromisesLowerBallots(Acceptor):
    def on_prepare(self, sender, message):
        if message.slot in self.votes:
            self.votes[message.slot].promised = None
        return super().on_prepare(sender, message)


@_without("the ballot compare at an accept", 5)
class AcceptsLowerBallots(Acceptor):
    def on_accept(self, sender, message):
        if message.slot in self.votes:
            self.votes[message.slot].promised = None
        return super().on_accept(sender, message)


@_without(
    "a promise on disk before it is told",
    None,
    "not found in 3140 duels. Unchecked, not needless: it takes a promise lost in a crash, and "
    "then a ballot below it that is accepted by the same machine before the higher one comes "
    "back.",
)
class PromisesBeforePersisting(Acceptor):
    def on_prepare(self, sender, message):
        return _send_before_persisting(super().on_prepare(sender, message))


@_without("a vote on disk before it is told", 77)
class VotesBeforePersisting(Acceptor):
    def on_accept(self, sender, message):
        return _send_before_persisting(super().on_accept(sender, message))


@_without("votes read back at a restart", 23)
class ForgetsVotes(Acceptor):
    def __init__(self, *parts):
        super().__init__(*parts)
        self.votes = {}


@_without("no vote at a slot known as chosen", 8)
class VotesOnChosenSlots(Acceptor):
    def _redirect(self, sender, slot):
        is_behind = bool(self._log.voters) and slot <= self._log.last_slot
        return None if is_behind else super()._redirect(sender, slot)


@_without("no vote before all earlier slots are known", 195)
class VotesAheadOfLog(Acceptor):
    def _redirect(self, sender, slot):
        is_ahead = bool(self._log.voters) and slot > self._log.last_slot + 1
        return None if is_ahead else super()._redirect(sender, slot)


@_without("the floor: no vote at a slot whose entry and vote went with damaged rows", 61)
class VotesOnLostSlots(Acceptor):
    def _redirect(self, sender, slot):
        self._highest_chosen_slot = 0
        return super()._redirect(sender, slot)


@_without("chosen entries that could not be written go with the next write", 77)
class DropsFailedWrites(RecordWriter):
    def persist_failed(self, persist):
        super().persist_failed(persist)
        self.unsaved, self.retry_at = [], NEVER


# Proposer


@_without("the adoption of an entry that was accepted before", 24)
class AdoptsNothing(Proposer):
    def on_promise(self, promise):
        return super().on_promise(_with(promise, accepted=None, entry=None))


@_without("the highest ballot among entries accepted before", 5278)
class AdoptsLowest(Proposer):
    def on_promise(self, promise):
        current = self._round_answered_by(promise, Prepare)
        promises = [promise, *(current.replies.values() if current else ())]
        voted = [each for each in promises if each.accepted]
        if current and voted:
            lowest = min(voted, key=lambda each: each.accepted)
            current.replies = {
                voter: _with(each, accepted=lowest.accepted, entry=lowest.entry)
                for voter, each in current.replies.items()
            }
            promise = _with(promise, accepted=lowest.accepted, entry=lowest.entry)
        return super().on_promise(promise)


@_without("a ballot name of its own in each life", 2777)
class ReusesProposerName(Node):
    def __init__(self, me, *args, **options):
        super().__init__(me, *args, **options)
        self._context.proposer_name = me.id


@_without("the ballot of a promise", 579)
class CountsOldPromises(Proposer):
    def on_promise(self, promise):
        current = self._round_answered_by(promise, Prepare)
        return super().on_promise(_with(promise, ballot=current.ballot) if current else promise)


@_without(
    "the ballot of a vote",
    None,
    "not found in 2573 duels. Unchecked, not needless: a late vote would count for an entry its "
    "voter may never have seen, but only if the proposer alone holds what another proposed "
    "between its two ballots, and is gone before it tells anyone.",
)
class CountsOldVotes(Proposer):
    def on_accepted(self, accepted):
        current = self._round_answered_by(accepted, Accept)
        return super().on_accepted(_with(accepted, ballot=current.ballot) if current else accepted)


@_without("the id of a voter: a machine under a new one is no voter yet", 9)
class CountsNonVoters(Proposer):
    def _round_answered_by(self, reply, *kinds):
        current = self.round
        if current is None or not isinstance(current.message, kinds) or current.slot != reply.slot:
            return None
        return current


@_without("more than half of an even number", 7)
class CountsHalfAsMajority(Proposer):
    def _start(self, message):
        effects = super()._start(message)
        self.round.majority = (len(self.round.voters) + 1) // 2
        return effects


@_without("the end of a round once its slot is known", 0)
class KeepsFinishedRound(Proposer):
    def slot_advanced(self):
        current = self.round
        super().slot_advanced()
        self.round = current


@_without("the judge, asked again after another entry took the slot", 1)
class EvaluatesOnce(RequestQueue):
    def evaluate(self, request):
        return request.result if request.evaluated_slot >= 0 else super().evaluate(request)


@_without("the tag: an entry at our slot may be another's", 6)
class AcceptsOthersProposals(Node):
    def _learn(self, entries):
        for request in self._requests:
            if request.proposed_slot == self.last_slot + 1:
                request.proposal_ids.add(entries[0].proposal_id)
        return super()._learn(entries)


# Answers


@_without("a majority's word before a verdict, as a refusal is one", 0)
class OutcomesUnconfirmed(Proposer):
    def advance(self):
        for request in self._requests:
            request.is_confirmed = request.is_confirmed or request.build is not None
        return super().advance()


@_without("a majority's word before a read", 0)
class ReadsUnconfirmed(Proposer):
    def advance(self):
        for request in self._requests:
            request.is_confirmed = request.is_confirmed or request.build is None
        return super().advance()


@_without("an open vote makes a quorum read busy", 38)
class ReadsIgnoringOpenVotes(Acceptor):
    def on_quorum_read(self, sender, message):
        return [
            Send(send.addr, _with(send.message, has_voted=False)) if isinstance(send.message, QuorumReadReply) else send
            for send in super().on_quorum_read(sender, message)
        ]


@_without("held promises confirm nothing", 58)
class ConfirmsOnHeldPromises(Proposer):
    def on_promise(self, promise):
        current = self._round_answered_by(promise, Prepare)
        effects = super().on_promise(promise)
        if current is not None and isinstance(current.message, Accept):
            self._requests.confirm_through(current.sequence)
        return effects


@_without("a question confirms only calls that came before it", 5)
class ConfirmsLaterRequests(RequestQueue):
    def confirm_through(self, sequence):
        super().confirm_through(self.last_sequence)


@_without("the nonce of a quorum read", 13)
class CountsOldReplies(Node):
    def _on_quorum_read_reply(self, reply):
        current = self._proposer._round_answered_by(reply, QuorumRead)
        if current is not None:
            reply = _with(reply, nonce=current.message.nonce)
        return super()._on_quorum_read_reply(reply)


# Learner


@_without("an older state is not taken over", 2)
class RestoresOlderSnapshot(Node):
    def _on_snapshot(self, snapshot):
        if self.voters and snapshot.slot <= self.last_slot:
            self._log.last_slot = snapshot.slot - 1
        return super()._on_snapshot(snapshot)


@_without("entries follow on what is known", 17)
class AppliesAcrossGaps(Node):
    def _on_chosen_entries(self, sender, message):
        if self.voters and message.slot > self.last_slot + 1:
            message = _with(message, slot=self.last_slot + 1)
        return super()._on_chosen_entries(sender, message)


@_without("the ballot under which an entry was chosen", 45)
class LearnsOwnVote(Node):
    def _on_chosen_ballot(self, sender, message):
        vote = self._acceptor.vote_at(message.slot)
        if vote is not None and vote.accepted is not None:
            message = _with(message, ballot=vote.accepted)
        return super()._on_chosen_ballot(sender, message)


@_without("the state told is that of the newest slot", 2)
class SendsCachedState(ReplicatedLog):
    def state(self):
        return self._cached_state[1] if self._cached_state is not None else super().state()


@_without("the voters change with the entry", 2)
class KeepsOldVoters(ReplicatedLog):
    def append(self, entry):
        voters = self.voters
        slot = super().append(entry)
        self.voters = voters or self.voters
        return slot


@_without(
    "a state taken over leaves our own proposals unclear",
    None,
    "needless here, where the ledger remembers all it took: judged anew, a change is known by its"
    " digest. Kept for state machines that forget.",
)
class ReevaluatesAfterSnapshot(Node):
    def _on_snapshot(self, snapshot):
        for request in self._requests:
            request.proposed_slot = 0
        return super()._on_snapshot(snapshot)


@_without(
    "the end of a ballot whose proposer is gone",
    None,
    "needless for what is checked: whoever asks next finishes an open vote. It spares that call " "the wait.",
)
class LeavesOrphanedBallots(Node):
    def _recover_vote_in_doubt(self):
        if self._context.now >= self._acceptor.recovery_due():
            self._acceptor.last_vote_at = self._context.now
        return []


# Membership


@_without("a change of voters rests on answers since the last stand-still", 210546)
class ChangesVotersUnproven(Reconfiguration):
    def _current_proof(self, wanted):
        proof = MembershipProof(self._context.me, self._log.voters, wanted, 0, self._context.now)
        proof.answered |= {voter.id for voter in proof.missing}
        self._proof = proof
        return proof


@_without(
    "a change of voters under way is judged anew after a stand-still",
    None,
    "by hand: test_consensus.StandStills; no seed was sought.",
)
class KeepsChangesAfterPause(Node):
    def _set_clock(self, now):
        requests = self._requests.requests
        super()._set_clock(now)
        self._requests.requests = requests


@_without("who knows no voters has no vote to finish", 904571)
class RecoversVotesWithoutVoters(Node):
    def _finish(self, effects):
        effects = super()._finish(effects)
        if self._proposer.round is None and self._acceptor.vote_in_doubt() is not None:
            due = max(self._proposer.backoff_until, self._acceptor.recovery_due())
            self.next_tick = min(self.next_tick, due)
        return effects


@_without("who lost its state learns nothing from its own vote", 1002647)
class LearnsWithoutState(Node):
    def _on_chosen_ballot(self, sender, message):
        vote = self._acceptor.vote_at(message.slot)
        if message.slot == self.last_slot + 1 and vote is not None and vote.accepted == message.ballot:
            return self._learn([vote.entry])
        return super()._on_chosen_ballot(sender, message)
