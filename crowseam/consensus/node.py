"""A consensus node: acceptor, proposer and learner in one, without a leader.

Slots are chosen in order. The voters for a slot are those in effect after the previous slot, and a voter votes at a
slot only if it knows all earlier ones, so an entry accepted by a majority follows on every entry chosen before it.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from random import Random
from typing import assert_never

from crowseam.consensus.acceptor import Acceptor
from crowseam.consensus.ballots import BallotSequence
from crowseam.consensus.catch_up import CatchUp, carries_log
from crowseam.consensus.client_requests import ProposalBuilder, RequestQueue
from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, NotifyApplied, Persist, Send
from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import (
    Accept,
    Accepted,
    Ballot,
    CatchUpRequest,
    ChosenBallot,
    ChosenEntries,
    Entry,
    JoinRequest,
    LeaveRequest,
    Message,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Reject,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkRequest,
    SnapshotOffer,
    Voter,
    VotersEntry,
)
from crowseam.consensus.outcomes import Committed
from crowseam.consensus.peer_contacts import PeerContacts
from crowseam.consensus.proposer import Proposer
from crowseam.consensus.quorum_round import QuorumRound
from crowseam.consensus.reconfiguration import Reconfiguration
from crowseam.consensus.record_writer import RecordWriter
from crowseam.consensus.records import ChosenRecord, DurableState, Record
from crowseam.consensus.replicated_log import ReplicatedLog, entry_size
from crowseam.consensus.snapshot_exchange import ReceivedSnapshot, SnapshotExchange
from crowseam.consensus.snapshot_transfer import SnapshotCache
from crowseam.consensus.state_machine import StateMachine
from crowseam.consensus.timing import Timing

_PAUSE_THRESHOLD_S = 1.0  # gap between two calls after which this process is assumed to have been paused


class Node:
    """Dispatches messages and timers to the components of the node, and learns chosen entries.

    Every call returns effects for the owner to carry out and sets `next_tick`, the latest time at which `tick` must
    be called. All times are seconds of a monotonic clock.

    Parameters
    ----------
    me
        Id (from disk, see `voter_selection.assign_identity`) and address of this machine.
    durable
        State read from disk.
    state_machine
        The state machine that applies the log.
    voting
        Whether this machine wants to vote.
    tolerated_failures
        How many simultaneous machine failures the voters have to tolerate.
    bootstrap_addrs
        Addresses to ask while no voters are known.
    """

    acceptor_type = Acceptor
    cache_type = SnapshotCache
    catch_up_type = CatchUp
    exchange_type = SnapshotExchange
    log_type = ReplicatedLog
    proposer_type = Proposer
    queue_type = RequestQueue
    reconfiguration_type = Reconfiguration
    writer_type = RecordWriter

    def __init__(
        self,
        me: Voter,
        durable: DurableState,
        state_machine: StateMachine,
        rng: Random,
        timing: Timing | None = None,
        *,
        voting: bool = True,
        tolerated_failures: int = 1,
        bootstrap_addrs: Iterable[str] = (),
    ) -> None:
        self.learners: list[str] = []  # addresses of non-voters that are sent chosen entries
        self.next_tick = 0.0
        self._context = context = NodeContext(me, timing or Timing(), rng)
        self._last_call_at: float | None = None
        cache = self.cache_type(context.timing.snapshot_retention_s)
        self._log = log = self.log_type(context, state_machine, cache)
        log.recover(durable)
        self._contacts = PeerContacts(context)
        self._writer = self.writer_type(context)
        self._exchange = self.exchange_type(context, log, cache)
        self._catch_up = self.catch_up_type(context, log, self._exchange, list(bootstrap_addrs))
        ballots = BallotSequence(context)
        self._acceptor = self.acceptor_type(context, log, self._catch_up, ballots, self._writer, durable)
        self._requests = self.queue_type(context, log)
        self._proposer = self.proposer_type(context, log, self._acceptor, ballots, self._requests)
        self._reconfiguration = self.reconfiguration_type(
            context, log, self._contacts, self._requests, self._submit_internal, voting, tolerated_failures
        )

    # State

    @property
    def me(self) -> Voter:
        """Id and address of this machine."""
        return self._context.me

    @property
    def state_machine(self) -> StateMachine:
        """The state machine."""
        return self._log.state_machine

    @property
    def last_slot(self) -> int:
        """The newest slot known to be chosen."""
        return self._log.last_slot

    @property
    def first_slot(self) -> int:
        """The oldest slot whose entry is kept."""
        return self._log.first_slot

    @property
    def voters(self) -> list[Voter]:
        """The current voters; empty while none are known."""
        return self._log.voters

    @property
    def voters_slot(self) -> int:
        """A slot since which the voters have not changed, as far as known here."""
        return self._log.voters_slot

    @property
    def state_size_bound(self) -> int:
        """Upper bound of the size of the state in bytes."""
        return self._log.state_size_bound

    @property
    def snapshot_caches(self) -> list[SnapshotCache]:
        """Caches of snapshots after which log entries are retained; the owner may add its own."""
        return self._log.snapshot_caches

    @property
    def failures(self) -> int:
        """Number of failed writes and corrupt downloads."""
        return self._writer.failures + self._exchange.corrupt_downloads

    @property
    def bootstrap_addrs(self) -> list[str]:
        """Addresses to ask while no voters are known."""
        return self._catch_up.bootstrap_addrs

    @bootstrap_addrs.setter
    def bootstrap_addrs(self, addrs: list[str]) -> None:
        self._catch_up.bootstrap_addrs = addrs

    @property
    def voting(self) -> bool:
        """Whether this machine wants to vote."""
        return self._reconfiguration.voting

    @voting.setter
    def voting(self, voting: bool) -> None:
        self._reconfiguration.voting = voting

    @property
    def ready_to_vote(self) -> bool:
        """Whether this machine has all the data that a voter needs; it does not ask to join before."""
        return self._reconfiguration.ready_to_vote

    @ready_to_vote.setter
    def ready_to_vote(self, ready: bool) -> None:
        self._reconfiguration.ready_to_vote = ready

    @property
    def is_changing_voters(self) -> bool:
        """Whether this voter has voted for a change of voters whose outcome it does not know yet."""
        vote = self._acceptor.vote_in_doubt()
        return vote is not None and isinstance(vote.entry, VotersEntry)

    @property
    def has_left(self) -> bool:
        """Whether this machine may exit: it was removed, and a majority of the remaining voters knows it."""
        return self._reconfiguration.has_left

    @property
    def should_wait_to_leave(self) -> bool:
        """Whether this machine should keep running until it `has_left`."""
        return self._reconfiguration.should_wait_to_leave

    def entries_from(self, slot: int) -> list[Entry] | None:
        """Return the known entries from `slot` on, or None if some of them are no longer kept."""
        return self._log.entries_from(slot)

    # Entry points for the owner

    def handle(self, sender: str, message: Message, now: float) -> list[Effect]:
        """Process a message from the address `sender`."""
        self._set_clock(now)
        self._contacts.heard_at[sender] = now
        effects = self._dispatch(sender, message)
        return self._finish([*effects, *self._proposer.advance()])

    def submit(
        self, request_id: Hashable, build: ProposalBuilder, now: float, timeout_s: float | None = None
    ) -> list[Effect]:
        """Propose an entry until it is chosen.

        `build(state_machine)` returns the entry to propose, always with the same proposal id, or the outcome of the
        request, which is reported once the state is confirmed to be current. It is called again after each slot
        for which another entry is chosen. Otherwise the outcome is `Committed`, or `OutcomeUnknown` after
        `timeout_s`.
        """
        return self._enqueue(request_id, build, now, timeout_s)

    def read(self, request_id: Hashable, now: float, timeout_s: float | None = None) -> list[Effect]:
        """Complete with `ReadReady` once the state includes every change acknowledged before this call."""
        return self._enqueue(request_id, None, now, timeout_s)

    def cancel(self, request_id: Hashable) -> None:
        """Remove a request; an entry already proposed for it may still be chosen."""
        self._requests.cancel(request_id)

    def record_contact(self, addr: str, now: float) -> None:
        """Record that another layer received a message from `addr`."""
        self._contacts.record_contact(addr, now)

    def observe_slot(self, addr: str, last_slot: int, now: float) -> list[Effect]:
        """Record that another layer learned that the node at `addr` knows the slots up to `last_slot`."""
        self._set_clock(now)
        self._contacts.heard_at[addr] = now
        self._log.observe_slot(last_slot)
        if last_slot > self._log.last_slot or not self._log.voters:
            return self._finish(self._catch_up.request_from(addr))
        return self._finish([])

    def persist_failed(self, persist: Persist, now: float) -> None:
        """Record that a `Persist` could not be written; chosen entries in it are written with the next one."""
        self._set_clock(now)
        self._writer.persist_failed(persist)

    def leave(self, now: float) -> list[Effect]:
        """Ask the other voters to remove this one permanently.

        They do so if a newcomer replaces it or enough voters remain. The owner keeps the node running while
        `should_wait_to_leave`.
        """
        self._context.now = now
        self._reconfiguration.begin_to_leave()
        return self.tick(now)

    def tick(self, now: float) -> list[Effect]:
        """Perform all timed work that is due."""
        self._set_clock(now)
        effects = [*self._proposer.expire_requests(), *self._proposer.retransmit(), *self._writer.retry()]
        if self._log.voters:
            effects += self._recover_vote_in_doubt()
            effects += self._catch_up.poll()
            effects += self._reconfiguration.request_membership()
            effects += self._reconfiguration.check_voters()
        else:
            effects += self._catch_up.find_voters()
        effects += self._exchange.check_progress()
        for cache in self._log.snapshot_caches:
            cache.expire(now)
        effects += self._proposer.advance()
        return self._finish(effects)

    # Time

    def _set_clock(self, now: float) -> None:
        if self._last_call_at is None or now - self._last_call_at > _PAUSE_THRESHOLD_S:
            # After a pause of this process every peer seems silent, although it was this node that did not receive.
            self._contacts.reset(now)
            self._reconfiguration.cancel_planned_change()
            # A pending change of voters is proposed again only after a new proof.
            self._requests.cancel_internal()
        self._context.now = now
        if self._last_call_at is None:
            self._acceptor.start()
        self._last_call_at = now

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        """Finish a call: set the time of the next tick."""
        due = [self._catch_up.next_due(), self._writer.retry_at, *self._requests.deadlines()]
        due += self._proposer.next_due()
        due += self._reconfiguration.next_due()
        next_check = self._exchange.next_check()
        if next_check is not None:
            due.append(next_check)
        due += [cache.next_expiry() for cache in self._log.snapshot_caches]
        self.next_tick = min(due)
        return effects

    # Requests

    def _enqueue(
        self, request_id: Hashable, build: ProposalBuilder | None, now: float, timeout_s: float | None
    ) -> list[Effect]:
        self._set_clock(now)
        self._requests.add(request_id, build, timeout_s)
        return self._finish(self._proposer.advance())

    def _submit_internal(self, build: ProposalBuilder, timeout_s: float) -> list[Effect]:
        return self._enqueue(None, build, self._context.now, timeout_s)

    def _recover_vote_in_doubt(self) -> list[Effect]:
        """Start a ballot to resolve a vote whose proposer may have failed after acknowledging its entry."""
        if self._acceptor.vote_in_doubt() is None or self._proposer.round is not None:
            return []
        now = self._context.now
        if now < self._proposer.backoff_until or now < self._acceptor.recovery_due():
            return []
        self._acceptor.postpone_recovery()
        return self._proposer.start_ballot()

    # Messages

    def _dispatch(self, sender: str, message: Message) -> list[Effect]:  # noqa: C901, PLR0911, PLR0912 - one case per message type
        match message:
            case Prepare():
                return self._acceptor.on_prepare(sender, message)
            case Promise():
                return self._proposer.on_promise(message)
            case Reject():
                self._proposer.on_reject(message)
                return []
            case Accept():
                return self._acceptor.on_accept(sender, message)
            case Accepted():
                return self._on_accepted(message)
            case ChosenBallot():
                return self._on_chosen_ballot(sender, message)
            case ChosenEntries():
                return self._on_chosen_entries(sender, message)
            case CatchUpRequest():
                return self._on_catch_up_request(sender, message)
            case Snapshot():
                return self._on_snapshot(message)
            case QuorumRead():
                return self._acceptor.on_quorum_read(sender, message)
            case QuorumReadReply():
                return self._on_quorum_read_reply(message)
            case JoinRequest():
                return self._on_join_request(sender, message)
            case LeaveRequest():
                return self._reconfiguration.on_leave_request(message)
            case SnapshotOffer():
                return self._exchange.on_offer(sender, message)
            case SnapshotChunkRequest():
                return self._exchange.on_chunk_request(sender, message)
            case SnapshotChunk():
                return self._on_snapshot_chunk(sender, message)
        assert_never(message)

    def _on_quorum_read_reply(self, reply: QuorumReadReply) -> list[Effect]:
        effects = self._reconfiguration.on_quorum_read_reply(reply)
        if effects is not None:
            return effects
        self._proposer.on_quorum_read_reply(reply)
        return []

    def _on_join_request(self, sender: str, message: JoinRequest) -> list[Effect]:
        log = self._log
        log.observe_slot(message.slot)
        effects: list[Effect] = []
        if log.voters and message.slot < log.last_slot:
            effects += self._catch_up.send_from(sender, max(message.slot, 0) + 1)
        return [*effects, *self._reconfiguration.on_join_request(message)]

    def _on_catch_up_request(self, sender: str, message: CatchUpRequest) -> list[Effect]:
        log = self._log
        if not log.voters:
            return []
        if message.slot > log.last_slot:
            if message.slot == log.last_slot + 1:
                return []
            log.observe_slot(message.slot - 1)
            return self._catch_up.request_from(sender)
        reply = self._catch_up.reply_from(message.slot, message)
        effects: list[Effect] = [Send(sender, reply)]
        if carries_log(reply):
            effects += self._proposer.resend_to(sender)
        return effects

    # Learning

    def _on_accepted(self, accepted: Accepted) -> list[Effect]:
        finished = self._proposer.on_accepted(accepted)
        if finished is None or finished.entry is None or finished.ballot is None:
            return []
        learned = self._learn([finished.entry])
        return [*learned, *self._announce(finished, finished.ballot, finished.entry)]

    def _announce(self, finished: QuorumRound, ballot: Ballot, entry: Entry) -> list[Effect]:
        """Notify voters and learners that `entry` is chosen.

        The voters of the round were already sent the entry; one that missed it will request it.
        """
        have_entry = set(finished.voters.values())
        others = have_entry | {voter.addr for voter in self._log.voters} | set(self.learners)
        # Others request a large entry themselves.
        entries = [entry] if entry_size(entry) <= self._context.timing.max_run_bytes else []
        to_round_voters = ChosenBallot(finished.slot, ballot)
        to_others = ChosenEntries(finished.slot, entries, finished.slot)
        return [
            Send(addr, to_round_voters if addr in have_entry else to_others) for addr in sorted(others - {self.me.addr})
        ]

    def _on_chosen_ballot(self, sender: str, message: ChosenBallot) -> list[Effect]:
        log = self._log
        if message.slot <= log.last_slot:
            return []
        entry = self._acceptor.accepted_entry(message.slot, message.ballot)
        # A node that knows no voters has no state, so the entry it voted for must not be applied.
        if log.voters and message.slot == log.last_slot + 1 and entry is not None:
            return self._learn([entry])
        return self._catch_up.request_from(sender)

    def _on_chosen_entries(self, sender: str, message: ChosenEntries) -> list[Effect]:
        log = self._log
        log.observe_slot(message.last_slot)
        if not log.voters or message.slot > log.last_slot + 1:
            return self._catch_up.request_from(sender)
        known = log.last_slot + 1 - message.slot
        for slot, entry in enumerate(message.entries[:known], message.slot):
            kept = log.entry_at(slot)
            if kept is not None and kept.proposal_id != entry.proposal_id:
                raise ConsensusError(
                    f"slot {slot}: {sender} has chosen {entry.proposal_id}, this node {kept.proposal_id}"
                )
        effects: list[Effect] = []
        if new := message.entries[known:]:
            self._catch_up.reply_received_from(sender)
            effects += self._learn(new)
            self._exchange.abandon_if_overtaken(message.last_slot)
        if message.last_slot > log.last_slot:
            effects += self._catch_up.request_from(sender)
        return effects

    def _learn(self, entries: list[Entry]) -> list[Effect]:
        """Apply newly chosen entries and complete the requests that they belong to."""
        effects: list[Effect] = []
        records: list[Record] = []
        for entry in entries:
            slot = self._log.append(entry)
            self._acceptor.forget_through(slot)
            records.append(ChosenRecord(slot, entry))
            effects.append(NotifyApplied(slot, entry))
            effects += self._requests.complete_proposal(entry.proposal_id, Committed(slot))
        self._slot_advanced()
        records += self._log.compact()
        return [*effects, self._writer.persist(records)]

    def _slot_advanced(self) -> None:
        self._proposer.slot_advanced()

    def _on_snapshot_chunk(self, sender: str, chunk: SnapshotChunk) -> list[Effect]:
        received = self._exchange.on_chunk(sender, chunk)
        if not isinstance(received, ReceivedSnapshot):
            return received
        installed = self._on_snapshot(received.snapshot)
        return [*installed, *self._catch_up.request_from(received.source)]

    def _on_snapshot(self, snapshot: Snapshot) -> list[Effect]:
        if self._log.voters and snapshot.slot <= self._log.last_slot:
            return []
        record = self._log.install(snapshot)
        self._exchange.abandon_if_installed()
        self._acceptor.forget_through(snapshot.slot)
        self._slot_advanced()
        self._catch_up.snapshot_installed()
        return [
            self._writer.persist([record]),
            NotifyApplied(self._log.last_slot, None),
            *self._requests.complete_skipped(self._log.last_slot),
        ]
