"""The node without one of its guards, each as a class of its own: what the model check has to find.

A guard stands between a fault of the world and a broken promise.  `seed` is that of a schedule of
`agreement.check` in which its absence shows; where there is none, `why` says whether it is needless
for what is checked here, or beyond its reach.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from crowseam.consensus.membership_proof import MembershipProof
from crowseam.consensus.messages import Accept, Prepare, QuorumRead, QuorumReadReply
from crowseam.consensus.node import _NEVER, Node
from crowseam.consensus.records import Promised, Send, Voted

_with = msgspec.structs.replace


class Mutation(msgspec.Struct, frozen=True):
    """A guard, the node without it, and the seed that shows it."""

    guard: str
    node_class: type[Node]
    seed: int | None = None
    why: str = ""


MUTATIONS: list[Mutation] = []


def _without(guard: str, seed: int | None = None, why: str = "") -> Callable[[type[Node]], type[Node]]:
    def enter(node_class: type[Node]) -> type[Node]:
        MUTATIONS.append(Mutation(guard, node_class, seed, why))
        return node_class

    return enter


# Acceptor


@_without("the ballot compare at a prepare", 75)
class PreparesBelow(Node):
    def _on_prepare(self, sender, message, out):
        if message.slot in self._votes:
            self._votes[message.slot].promised = None
        super()._on_prepare(sender, message, out)


@_without("the ballot compare at an accept", 5)
class AcceptsBelow(Node):
    def _on_accept(self, sender, message, out):
        if message.slot in self._votes:
            self._votes[message.slot].promised = None
        super()._on_accept(sender, message, out)


@_without(
    "a promise on disk before it is told",
    None,
    "not found in 3140 duels. Unchecked, not needless: it takes a promise lost in a crash, and "
    "then a ballot below it that is accepted by the same machine before the higher one comes "
    "back.",
)
class PromisesEarly(Node):
    def _persist(self, records, then, out):
        if any(isinstance(record, Promised) for record in records):
            out += then
            then = []
        super()._persist(records, then, out)


@_without("a vote on disk before it is told", 77)
class VotesEarly(Node):
    def _persist(self, records, then, out):
        if any(isinstance(record, Voted) for record in records):
            out += then
            then = []
        super()._persist(records, then, out)


@_without("votes read back at a restart", 23)
class ForgetsVotes(Node):
    def _recover(self, durable):
        super()._recover(durable)
        self._votes = {}


@_without("no vote at a slot known as chosen", 8)
class VotesBehind(Node):
    def _may_vote(self, sender, slot, out):
        return (bool(self.voters) and slot <= self.last) or super()._may_vote(sender, slot, out)


@_without("no vote before all earlier slots are known", 195)
class VotesAhead(Node):
    def _may_vote(self, sender, slot, out):
        return (bool(self.voters) and slot > self.last + 1) or super()._may_vote(sender, slot, out)


@_without("the floor: no vote at a slot whose entry and vote went with damaged rows", 61)
class NoFloor(Node):
    def _may_vote(self, sender, slot, out):
        self._floor = 0
        return super()._may_vote(sender, slot, out)


@_without("chosen entries that could not be written go with the next write", 77)
class ForgetsFailures(Node):
    def failed(self, persist, now):
        super().failed(persist, now)
        self._unsaved, self._unsaved_due = [], _NEVER


# Proposer


@_without("the adoption of an entry that was accepted before", 24)
class AdoptsNothing(Node):
    def _on_promise(self, sender, message, out):
        super()._on_promise(sender, _with(message, accepted=None, entry=None), out)


@_without("the highest ballot among entries accepted before", 5278)
class AdoptsLowest(Node):
    def _on_promise(self, sender, message, out):
        current = self._answers(message, Prepare)
        told = [message, *(current.got.values() if current else ())]
        held = [promise for promise in told if promise.accepted]
        if current and held:
            low = min(held, key=lambda promise: promise.accepted)
            current.got = {
                voter: _with(promise, accepted=low.accepted, entry=low.entry) for voter, promise in current.got.items()
            }
            message = _with(message, accepted=low.accepted, entry=low.entry)
        super()._on_promise(sender, message, out)


@_without("a ballot name of its own in each life", 2777)
class SameName(Node):
    def __init__(self, me, *args, **options):
        super().__init__(me, *args, **options)
        self._name = me.id


@_without("the ballot of a promise", 579)
class CountsOldPromises(Node):
    def _on_promise(self, sender, message, out):
        current = self._answers(message, Prepare)
        super()._on_promise(sender, _with(message, ballot=current.ballot) if current else message, out)


@_without(
    "the ballot of a vote",
    None,
    "not found in 2573 duels. Unchecked, not needless: a late vote would count for an entry its "
    "voter may never have seen, but only if the proposer alone holds what another proposed "
    "between its two ballots, and is gone before it tells anyone.",
)
class CountsOldVotes(Node):
    def _on_accepted(self, sender, message, out):
        current = self._answers(message, Accept)
        super()._on_accepted(sender, _with(message, ballot=current.ballot) if current else message, out)


@_without("the id of a voter: a machine under a new one is no voter yet", 9)
class CountsStrangers(Node):
    def _answers(self, message, kind):
        current = self._round
        if current is None or not isinstance(current.message, kind) or current.slot != message.slot:
            return None
        return current


@_without("more than half of an even number", 7)
class HalfWillDo(Node):
    def _start(self, message, out):
        super()._start(message, out)
        self._round.need = (len(self._round.voters) + 1) // 2


@_without("the end of a round once its slot is known", 0)
class RoundStays(Node):
    def _moved(self):
        current = self._round
        super()._moved()
        self._round = current


@_without("the judge, asked again after another entry took the slot", 1)
class JudgesOnce(Node):
    def _judge(self, pending):
        return pending.verdict if pending.at >= 0 else super()._judge(pending)


@_without("the tag: an entry at our slot may be another's", 6)
class TakesAnothers(Node):
    def _learn(self, entries, out):
        for pending in self._pending:
            if pending.proposed == self.last + 1:
                pending.tags.add(entries[0].tag)
        super()._learn(entries, out)


# Answers


@_without("a majority's word before a verdict, as a refusal is one", 0)
class JudgesAlone(Node):
    def _advance(self, out):
        for pending in self._pending:
            pending.confirmed = pending.confirmed or pending.judge is not None
        super()._advance(out)


@_without("a majority's word before a read", 0)
class ReadsAlone(Node):
    def _advance(self, out):
        for pending in self._pending:
            pending.confirmed = pending.confirmed or pending.judge is None
        super()._advance(out)


@_without("an open vote makes a quorum read busy", 38)
class ReadsPastVotes(Node):
    def _on_quorum_read(self, sender, message, out):
        said = []
        super()._on_quorum_read(sender, message, said)
        for send in said:
            if isinstance(send.message, QuorumReadReply):
                send = Send(send.addr, _with(send.message, busy=False))
            out.append(send)


@_without("held promises confirm nothing", 58)
class HeldConfirm(Node):
    def _on_promise(self, sender, message, out):
        current = self._answers(message, Prepare)
        super()._on_promise(sender, message, out)
        if current is not None and isinstance(current.message, Accept):
            self._confirm(current.seq)


@_without("a question confirms only calls that came before it", 5)
class ConfirmsLater(Node):
    def _confirm(self, seq):
        super()._confirm(self._seq)


@_without("the nonce of a quorum read", 13)
class CountsOldReplies(Node):
    def _on_quorum_read_reply(self, sender, message, out):
        current = self._answers(message, QuorumRead)
        if current is not None:
            message = _with(message, nonce=current.message.nonce)
        super()._on_quorum_read_reply(sender, message, out)


# Learner


@_without("an older state is not taken over", 2)
class GoesBack(Node):
    def _on_snapshot(self, sender, message, out):
        if self.voters and message.slot <= self.last:
            self.last = message.slot - 1
        super()._on_snapshot(sender, message, out)


@_without("entries follow on what is known", 17)
class LeavesGaps(Node):
    def _on_chosen(self, sender, message, out):
        if self.voters and message.slot > self.last + 1:
            message = _with(message, slot=self.last + 1)
        super()._on_chosen(sender, message, out)


@_without("the ballot under which an entry was chosen", 45)
class LearnsOwnVote(Node):
    def _on_decided(self, sender, message, out):
        vote = self._votes.get(message.slot)
        if vote is not None and vote.accepted is not None:
            message = _with(message, ballot=vote.accepted)
        super()._on_decided(sender, message, out)


@_without("the state told is that of the newest slot", 2)
class TellsOldState(Node):
    def _state(self):
        return self._blob[1] if self._blob is not None else super()._state()


@_without("the voters change with the entry", 2)
class VotersStay(Node):
    def _take_entry(self, slot, entry):
        voters = self.voters
        super()._take_entry(slot, entry)
        self.voters = voters or self.voters


@_without(
    "a state taken over leaves our own proposals unclear",
    None,
    "needless here, where the ledger remembers all it took: judged anew, a change is known by its"
    " digest. Kept for state machines that forget.",
)
class JudgesAfterState(Node):
    def _on_snapshot(self, sender, message, out):
        for pending in self._pending:
            pending.proposed = 0
        super()._on_snapshot(sender, message, out)


@_without(
    "the end of a ballot whose proposer is gone",
    None,
    "needless for what is checked: whoever asks next finishes an open vote. It spares that call " "the wait.",
)
class LeavesOrphans(Node):
    def _finish_orphan(self, out):
        if self._clock >= self._vote_since + self.timing.orphan:
            self._vote_since = self._clock


# Membership


@_without("a change of voters rests on answers since the last stand-still", 210546)
class ChangesUnproven(Node):
    def _is_proven(self, wanted, out):
        proof = MembershipProof(self.me, self.voters, wanted, 0, self._clock)
        proof.answered |= {voter.id for voter in proof.missing}
        self._proof = proof
        return True


@_without(
    "a change of voters under way is judged anew after a stand-still",
    None,
    "by hand: test_consensus.StandStills; no seed was sought.",
)
class KeepsChangesOverStandStill(Node):
    def _set_clock(self, now):
        pending = self._pending
        super()._set_clock(now)
        self._pending = pending


@_without("who knows no voters has no vote to finish", 904571)
class MindsVotesWithoutVoters(Node):
    def _done(self, out):
        out = super()._done(out)
        if self._round is None and self._orphan() is not None:
            self.next_tick = min(self.next_tick, max(self._hold, self._vote_since + self.timing.orphan))
        return out


@_without("who lost its state learns nothing from its own vote", 1002647)
class LearnsWithoutState(Node):
    def _on_decided(self, sender, message, out):
        vote = self._votes.get(message.slot)
        if message.slot == self.last + 1 and vote is not None and vote.accepted == message.ballot:
            self._learn([vote.entry], out)
        else:
            super()._on_decided(sender, message, out)
