"""One party to the agreement: acceptor, proposer and learner, with no leader among them.

Slots are chosen one after the other. The voters for a slot are those in force after the slot before it,
and a voter votes at a slot only when it knows all earlier ones, so that whatever a majority has accepted
stands on everything chosen before.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import msgspec

from crowseam.consensus import voters as policy
from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.membership_proof import MembershipProof
from crowseam.consensus.messages import (
    Accept,
    Accepted,
    Ballot,
    CatchUp,
    Change,
    Chosen,
    Decided,
    Entry,
    JoinRequest,
    LeaveRequest,
    Message,
    Nothing,
    PartRequest,
    Prepare,
    Promise,
    QuorumRead,
    QuorumReadReply,
    Refuse,
    Snapshot,
    SnapshotOffer,
    SnapshotPart,
    Voter,
    Voters,
)
from crowseam.consensus.records import (
    Answer,
    Apply,
    Durable,
    Effect,
    Fresh,
    Learned,
    Persist,
    Promised,
    Record,
    Saved,
    Send,
    Taken,
    Unclear,
    Vote,
    Voted,
)
from crowseam.consensus.snapshot_transfer import Fetch, Sealed, Source, seal, unseal

_HANDLERS = {
    Prepare: "_on_prepare",
    Promise: "_on_promise",
    Refuse: "_on_refuse",
    Accept: "_on_accept",
    Accepted: "_on_accepted",
    Decided: "_on_decided",
    Chosen: "_on_chosen",
    CatchUp: "_on_catch_up",
    Snapshot: "_on_snapshot",
    QuorumRead: "_on_quorum_read",
    QuorumReadReply: "_on_quorum_read_reply",
    JoinRequest: "_on_join_request",
    LeaveRequest: "_on_leave_request",
    SnapshotOffer: "_on_snapshot_offer",
    PartRequest: "_on_part_request",
    SnapshotPart: "_on_snapshot_part",
}
_UNJUDGED = object()
_NEVER = float("inf")


class Machine(Protocol):
    """The state that the log builds; called in order, within `handle`, `tick` and `submit`."""

    def apply(self, slot: int, entry: Entry) -> None:
        """Take over a chosen entry; must do the same on every machine."""

    def take(self) -> bytes:
        """The state as bytes."""

    def give(self, state: bytes) -> None:
        """Replace the state by one that `take` gave; b"" is the state before the first slot."""


Judge = Callable[[Any], Any]


class Timing(msgspec.Struct, frozen=True):
    """Waits in seconds, and how much of the log is kept.

    With `poll_all` the voters hear each other every `poll` seconds; without it the owner has to tell
    `Node.heard` of every voter more often than `replace_after`.

    A state of more than `part` bytes travels sealed (zlib `level`) in parts of that size, `window` asked for
    at a time; after `part_wait` without one another source is tried, after `give_up` another snapshot. What
    is sent stays `hold` after it was last asked for. The log is kept for `keep` slots, and while it is
    shorter than half of the state, up to `keep_most` slots and `keep_bytes`; it comes in runs of `run_bytes`.
    """

    resend: float = 0.12
    resend_cap: float = 0.5
    backoff: float = 0.02
    backoff_cap: float = 0.4
    patience: float = 4.0
    poll: float = 0.5
    poll_all: bool = True
    orphan: float = 0.25
    join: float = 0.3
    sure: float = 0.75
    replace_after: float = 1.2
    evict_after: float = 2.0
    turn: float = 0.2
    keep: int = 64
    keep_bytes: int = 4 << 20
    keep_most: int = 1024
    run_bytes: int = 32 << 10
    part: int = 32 << 10
    window: int = 2
    part_wait: float = 1.0
    give_up: float = 4.0
    hold: float = 10.0
    level: int = 1


class _Pending:
    """A ticket that waits: a read if it has no judge."""

    __slots__ = ("ticket", "judge", "seq", "deadline", "confirmed", "at", "verdict", "tags", "proposed")

    def __init__(self, ticket: Any, judge: Judge | None, seq: int, deadline: float) -> None:
        self.ticket, self.judge, self.seq, self.deadline = ticket, judge, seq, deadline
        self.confirmed = False
        self.at = -1
        self.verdict: Any = _UNJUDGED
        self.tags: set[str] = set()
        self.proposed = 0


class _Round:
    """A question put to all voters of a slot: a quorum read, a prepare or an accept."""

    __slots__ = ("slot", "message", "ballot", "seq", "voters", "need", "got", "refused", "busy", "entry", "due", "gap")

    def __init__(self, slot: int, message: QuorumRead | Prepare, seq: int, voters: list[Voter]) -> None:
        self.slot, self.message, self.seq = slot, message, seq
        self.ballot = message.ballot if isinstance(message, Prepare) else None
        self.voters = {voter.id: voter.addr for voter in voters}
        self.need = len(self.voters) // 2 + 1
        self.got: dict[str, Any] = {}
        self.refused: set[str] = set()
        self.busy = False
        self.entry: Entry | None = None
        self.due = self.gap = 0.0


class Node:
    """All that one machine decides about the log.

    `machine` holds the applied state, `durable` what the disk gave back (with an id, see
    `voters.settle`), `contacts` the addresses to ask while no voters are known. `voting` says whether
    this machine wants to vote, `survive` how many machines may be lost at once. While `ready` is False no
    JoinRequest goes out: its owner sets it once all else is there that a voter has to bring along.
    """

    _fetch_type, _source_type = Fetch, Source

    def __init__(
        self,
        me: Voter,
        durable: Durable,
        machine: Machine,
        rng: Random,
        timing: Timing | None = None,
        *,
        voting: bool = True,
        survive: int = 1,
        contacts: Iterable[str] = (),
    ) -> None:
        self.me = me
        self.machine = machine
        self.timing = timing or Timing()
        self.voting = voting
        self.ready = True
        self.survive = survive
        self.contacts = list(contacts)
        self.learners: list[str] = []
        self.last = 0
        self.voters: list[Voter] = []
        self.voters_since = 0  # no later change of the voters than at this slot is known here
        self.next_tick = 0.0
        self.failures = 0
        self._rng = rng
        self._name = f"{me.id}~{rng.getrandbits(64):016x}"
        self._log: dict[int, Entry] = {}
        self._log_bytes = 0
        self._first = 1
        self._saved_at = 0
        self._blob: tuple[int, bytes] | None = None
        self._floor = durable.floor
        self._votes: dict[int, Vote] = {}
        self._vote_since = 0.0
        self._unsaved: list[Record] = []
        self._unsaved_due = _NEVER
        self._pending: list[_Pending] = []
        self._seq = 0
        self._round: _Round | None = None
        self._high = 0
        self._tries = 0
        self._busy_reads = 0
        self._hold = 0.0
        self._clock: float | None = None
        self._since = 0.0
        self._heard: dict[str, float] = {}
        self._parting = False
        self._joining: dict[str, tuple[JoinRequest, float]] = {}
        self._leaving: dict[str, float] = {}
        self._asked = ("", -1.0)
        self._seen = 0  # the newest slot that anyone is known to know
        self._bulk = 0  # bytes of the state, at the most
        self._fresh_bytes = 0  # of the log since the saved state
        self._source = self._source_type(self.timing.hold)
        self.sources = [self._source]  # sealed states that the log has to lead on from, the owner's as well
        self._fetch: Fetch | None = None
        self._poll_due = self._join_due = self._contact_due = 0.0
        self._turn: tuple[list[Voter], float] | None = None
        self._proof: MembershipProof | None = None
        self._unproven: dict[str, float] = {}  # newcomers whose proof failed, by id, and when
        self._recover(durable)

    def _recover(self, durable: Durable) -> None:
        saved = durable.saved
        if saved is not None:
            self.machine.give(saved.state)
            self.last = self._saved_at = self.voters_since = saved.slot
            self._bulk = len(saved.state)
            self._first = saved.slot + 1
            self.voters = list(saved.voters)
            # Entries before the saved state only serve those who are a little behind.
            while self._first - 1 in durable.chosen:
                self._first -= 1
                self._keep_entry(self._first, durable.chosen[self._first])
            while self.last + 1 in durable.chosen:
                self._take_entry(self.last + 1, durable.chosen[self.last + 1])
        self._votes = {slot: vote for slot, vote in durable.votes.items() if slot > self.last}

    # What the owner calls

    def handle(self, sender: str, message: Message, now: float) -> list[Effect]:
        """Take a message that came from `sender`."""
        out: list[Effect] = []
        self._set_clock(now)
        self._heard[sender] = now
        getattr(self, _HANDLERS[type(message)])(sender, message, out)
        self._advance(out)
        return self._done(out)

    def submit(self, ticket: Any, judge: Judge, now: float, patience: float | None = None) -> list[Effect]:
        """Have an entry chosen.

        `judge(machine)` looks at the applied state and returns the Entry to propose, always with the
        same tag, or else a verdict, which is the ticket's outcome once the state it rests on is known to
        be current. It is asked again after each slot that another entry takes. The outcome is Unclear
        after `patience` seconds.
        """
        return self._enqueue(ticket, judge, now, patience)

    def read(self, ticket: Any, now: float, patience: float | None = None) -> list[Effect]:
        """Answer Fresh once the applied state holds all that was acknowledged before this call."""
        return self._enqueue(ticket, None, now, patience)

    def drop(self, ticket: Any) -> None:
        """Forget a ticket; what was proposed for it may still be chosen."""
        self._pending = [pending for pending in self._pending if pending.ticket != ticket]

    def heard(self, addr: str, now: float) -> None:
        """Another layer heard from the machine that has this address."""
        self._heard[addr] = max(now, self._heard.get(addr, now))

    def hint(self, addr: str, last: int, now: float) -> list[Effect]:
        """Another layer heard that the machine at `addr` knows the slots up to `last`."""
        self._set_clock(now)
        self._heard[addr] = now
        out: list[Effect] = []
        self._seen = max(self._seen, last)
        if last > self.last or not self.voters:
            self._ask(addr, out)
        return self._done(out)

    def failed(self, persist: Persist, now: float) -> None:
        """A Persist could not be written: what it held of chosen entries is written with the next one."""
        self._set_clock(now)
        self.failures += 1
        self._unsaved += [r for r in persist.records if isinstance(r, Learned | Saved)]
        states = [at for at, record in enumerate(self._unsaved) if isinstance(record, Saved)]
        if states:
            self._unsaved = self._unsaved[states[-1] :]
        if self._unsaved:
            self._unsaved_due = now + self.timing.resend_cap

    def tick(self, now: float) -> list[Effect]:
        """Do what is due; `next_tick` then tells when the next call is needed at the latest."""
        out: list[Effect] = []
        self._set_clock(now)
        self._expire(out)
        self._resend(out)
        if self._unsaved and now >= self._unsaved_due:
            self._persist([], [], out)
        if self.voters:
            self._finish_orphan(out)
            self._poll(out)
            self._ask_for_seat(out)
            self._mind_voters(out)
        elif now >= self._contact_due:
            # Who answers that it has a large state is then asked for it alone.
            wait = self.timing.join if self._fetch is None else self.timing.part_wait
            self._contact_due = now + wait * self._jitter()
            out += [Send(addr, CatchUp(0, True)) for addr in self.contacts if addr != self.me.addr]
        self._mind_fetch(out)
        for source in self.sources:
            source.expire(now)
        self._advance(out)
        return self._done(out)

    @property
    def changing(self) -> bool:
        """Whether this voter has accepted other voters for the next slot, and knows not what came of it."""
        vote = self._orphan()
        return vote is not None and isinstance(vote.entry, Voters)

    def leave(self, now: float) -> list[Effect]:
        """Ask the others to strike this voter off, for good; its owner drives it on while `leaving`.

        They do so if a newcomer takes its place or enough voters remain.
        """
        self._parting = self.me in self.voters
        self.voting = False
        self._join_due = now
        return self.tick(now)

    @property
    def left(self) -> bool:
        """Whether this machine may end: it is struck off, and a majority of the voters after it knows so.

        An entry after the one that struck it off was taken by a majority of those, each of which had
        written down the latter.  Before, this machine may be the only one to know it as chosen.
        """
        return self.me not in self.voters and self.last > self.voters_since

    @property
    def leaving(self) -> bool:
        """Whether this machine does well to wait until it has `left`: there are voters enough without it, or
        it is struck off and the others may not know."""
        if self.me in self.voters:
            return self._parting and len(self.voters) > policy.least(self.survive)
        return self._parting and not self.left

    # Time

    def _set_clock(self, now: float) -> None:
        # After a freeze everyone seems silent, though it was this machine that did not listen.
        if self._clock is None or now - self._clock > 1.0:
            self._heard = {}
            self._since = now
            self._turn = None
            # What the last proof was for is proposed anew, after another.
            self._pending = [pending for pending in self._pending if pending.ticket is not None]
            if self._clock is None:
                self._vote_since = now - self.timing.orphan * 0.8
        self._clock = now

    def _jitter(self) -> float:
        return self._rng.uniform(0.8, 1.2)

    def _silence(self, addr: str) -> float:
        if addr == self.me.addr:
            return 0.0
        if addr in self._heard:
            return self._clock - self._heard[addr]
        # Not heard since the start: it is neither surely there nor surely gone.
        return max(self._clock - self._since, self.timing.sure * 1.01)

    def _done(self, out: list[Effect]) -> list[Effect]:
        due = [self._poll_due if self.voters else self._contact_due, self._unsaved_due]
        due += [pending.deadline for pending in self._pending]
        if self._round is not None:
            due.append(self._round.due)
        else:
            if self._pending and self.voters:
                due.append(max(self._hold, self._clock + 0.001))
            # Who knows no voters can finish nothing: its vote waits until it has learned.
            if self.voters and self._orphan() is not None:
                due.append(max(self._hold, self._vote_since + self.timing.orphan))
        if self._turn is not None:
            due.append(self._turn[1] if self._proof is None else self._proof.due)
        if self.voters and (self._seat_message() is not None or self._parting):
            due.append(self._join_due)
        if self._fetch is not None:
            due.append(self._fetch.heard_at + self.timing.part_wait)
        due += [source.due() for source in self.sources]
        self.next_tick = min(due)
        return out

    # Tickets

    def _enqueue(self, ticket: Any, judge: Judge | None, now: float, patience: float | None) -> list[Effect]:
        self._set_clock(now)
        out: list[Effect] = []
        self._seq += 1
        deadline = now + (self.timing.patience if patience is None else patience)
        self._pending.append(_Pending(ticket, judge, self._seq, deadline))
        self._advance(out)
        return self._done(out)

    def _expire(self, out: list[Effect]) -> None:
        late = [pending for pending in self._pending if pending.deadline <= self._clock]
        for pending in late:
            self._settle(pending, Unclear(), out)
        if late and not self._pending and self._round is not None and self._round.entry is None:
            self._round = None

    def _settle(self, pending: _Pending, outcome: Any, out: list[Effect]) -> None:
        self._pending.remove(pending)
        if pending.ticket is not None:
            out.append(Answer(pending.ticket, outcome))

    def _judge(self, pending: _Pending) -> Any:
        if pending.at != self.last:
            pending.at = self.last
            pending.verdict = pending.judge(self.machine)
            if isinstance(pending.verdict, Change | Voters | Nothing):
                pending.tags.add(pending.verdict.tag)
        return pending.verdict

    def _candidate(self) -> _Pending | None:
        for pending in self._pending:
            if pending.judge and isinstance(self._judge(pending), Change | Voters | Nothing):
                return pending
        return None

    def _advance(self, out: list[Effect]) -> None:
        """Answer the tickets that can be answered, and put the next question if one is needed."""
        if not self.voters or not self._pending:
            return
        unconfirmed = False
        for pending in list(self._pending):
            outcome = Fresh(self.last) if pending.judge is None else self._judge(pending)
            if not isinstance(outcome, Change | Voters | Nothing):
                if pending.confirmed:
                    self._settle(pending, outcome, out)
                else:
                    unconfirmed = True
        candidate = self._candidate()
        reading = self._round is not None and self._round.ballot is None
        if self._clock < self._hold or (self._round is not None and not (reading and candidate)):
            return
        if candidate is not None or (unconfirmed and self._busy_reads >= 2):
            self._start_ballot(out)
        elif unconfirmed:
            self._start(QuorumRead(self.last + 1, self._rng.getrandbits(60)), out)

    def _confirm(self, seq: int) -> None:
        for pending in self._pending:
            if pending.seq <= seq:
                pending.confirmed = True

    # Proposing

    def _start_ballot(self, out: list[Effect]) -> None:
        self._high += 1
        self._start(Prepare(self.last + 1, Ballot(self._high, self._name)), out)

    def _start(self, message: QuorumRead | Prepare, out: list[Effect]) -> None:
        self._round = _Round(self.last + 1, message, self._seq, self.voters)
        self._ask_all(out)

    def _ask_all(self, out: list[Effect]) -> None:
        current = self._round
        current.gap = self.timing.resend
        current.due = self._clock + current.gap * self._jitter()
        out += [Send(addr, current.message) for addr in current.voters.values()]

    def _resend(self, out: list[Effect]) -> None:
        current = self._round
        if current is None or self._clock < current.due:
            return
        if current.refused:
            # Those who have not answered may never do so: a higher ballot can do without them.
            self._back_off()
            return
        current.gap = min(current.gap * 1.5, self.timing.resend_cap)
        current.due = self._clock + current.gap * self._jitter()
        out += [Send(a, current.message) for v, a in current.voters.items() if v not in current.got]

    def _back_off(self) -> None:
        self._round = None
        self._tries += 1
        most = min(self.timing.backoff_cap, self.timing.backoff * 2**self._tries)
        self._hold = self._clock + self._rng.uniform(0.2, 1.0) * most

    def _answers(self, message: Any, kind: type) -> _Round | None:
        """The round that `message` answers, if it is still open."""
        current = self._round
        if current is None or not isinstance(current.message, kind) or current.slot != message.slot:
            return None
        return current if message.voter in current.voters else None

    def _on_promise(self, sender: str, message: Promise, out: list[Effect]) -> None:
        current = self._answers(message, Prepare)
        if current is None or message.ballot != current.ballot:
            return
        current.got[message.voter] = message
        if len(current.got) < current.need:
            return
        held = [promise for promise in current.got.values() if promise.accepted and promise.entry]
        if not held:
            # What is held may be chosen already, and more after it: then nothing is known to be newest.
            self._confirm(current.seq)
        candidate = self._candidate()
        orphan = self._orphan()
        if held:
            current.entry = max(held, key=lambda promise: promise.accepted).entry
        elif candidate is not None:
            current.entry = candidate.verdict
        elif orphan is not None:
            # Our own vote came too late to be among the promises. Any entry is free here, and this one
            # would otherwise stay in doubt.
            current.entry = orphan.entry
        else:
            self._round = None
            self._busy_reads = 0
            return
        for pending in self._pending:
            if current.entry.tag in pending.tags:
                pending.proposed = current.slot
        current.message = Accept(current.slot, current.ballot, current.entry)
        current.got, current.refused = {}, set()
        self._ask_all(out)

    def _on_refuse(self, sender: str, message: Refuse, out: list[Effect]) -> None:
        if message.slot == self.last + 1:
            self._high = max(self._high, message.higher.round)
        current = self._answers(message, Prepare | Accept)
        if current is None or message.ballot != current.ballot or message.voter in current.got:
            return
        current.refused.add(message.voter)
        if len(current.voters) - len(current.refused) < current.need:
            self._back_off()

    def _on_accepted(self, sender: str, message: Accepted, out: list[Effect]) -> None:
        current = self._answers(message, Accept)
        if current is None or message.ballot != current.ballot:
            return
        current.got[message.voter] = message
        if len(current.got) < current.need:
            return
        self._learn([current.entry], out)
        # The voters were all sent the entry; one that missed it asks.
        have = set(current.voters.values())
        short = Decided(current.slot, current.ballot)
        full = Chosen(current.slot, [current.entry], current.slot)
        if _size(current.entry) > self.timing.run_bytes:
            full = Chosen(current.slot, [], current.slot)  # they ask for it at their pace
        others = have | {voter.addr for voter in self.voters} | set(self.learners)
        for addr in sorted(others - {self.me.addr}):
            out.append(Send(addr, short if addr in have else full))

    def _on_quorum_read_reply(self, sender: str, message: QuorumReadReply, out: list[Effect]) -> None:
        if self._proof is not None and message.nonce == self._proof.nonce:
            self._proof.answered.add(message.voter)
            self._mind_voters(out)
            return
        current = self._answers(message, QuorumRead)
        if current is None or message.nonce != current.message.nonce:
            return
        current.got[message.voter] = message
        current.busy = current.busy or message.busy
        if len(current.got) < current.need:
            return
        self._round = None
        if current.busy:
            # Someone is about to finish this slot; only if it stays so is it for us to do.
            self._busy_reads += 1
            self._hold = self._clock + self.timing.backoff * self._jitter()
        else:
            self._busy_reads = 0
            self._confirm(current.seq)

    # Accepting

    def _may_vote(self, sender: str, slot: int, out: list[Effect]) -> bool:
        if not self.voters or slot > self.last + 1:
            self._seen = max(self._seen, slot - 1)
            self._ask(sender, out)
            return False
        if slot <= self.last:
            self._tell(sender, slot, out)
            return False
        if slot <= self._floor and slot not in self._votes:
            self._ask(sender, out)
            return False
        return True

    def _on_prepare(self, sender: str, message: Prepare, out: list[Effect]) -> None:
        if not self._may_vote(sender, message.slot, out):
            return
        vote = self._votes.setdefault(message.slot, Vote())
        if vote.promised is not None and message.ballot < vote.promised:
            out.append(Send(sender, Refuse(message.slot, message.ballot, self.me.id, vote.promised)))
            return
        vote.promised = message.ballot
        self._high = max(self._high, message.ballot.round)
        self._vote_since = self._clock
        promise = Promise(message.slot, message.ballot, self.me.id, vote.accepted, vote.entry)
        self._persist([Promised(message.slot, message.ballot)], [Send(sender, promise)], out)

    def _on_accept(self, sender: str, message: Accept, out: list[Effect]) -> None:
        if not self._may_vote(sender, message.slot, out):
            return
        vote = self._votes.setdefault(message.slot, Vote())
        if vote.promised is not None and message.ballot < vote.promised:
            out.append(Send(sender, Refuse(message.slot, message.ballot, self.me.id, vote.promised)))
            return
        vote.promised = vote.accepted = message.ballot
        vote.entry = message.entry
        self._vote_since = self._clock
        accepted = Accepted(message.slot, message.ballot, self.me.id)
        self._persist([Voted(message.slot, message.ballot, message.entry)], [Send(sender, accepted)], out)

    def _on_quorum_read(self, sender: str, message: QuorumRead, out: list[Effect]) -> None:
        if self._may_vote(sender, message.slot, out):
            vote = self._votes.get(message.slot)
            busy = vote is not None and vote.accepted is not None
            out.append(Send(sender, QuorumReadReply(message.slot, message.nonce, self.me.id, busy)))
        elif self.voters and message.slot != self.last + 1:
            # No answer to a read, as the slot is another, but proof for a change of voters.
            out.append(Send(sender, QuorumReadReply(self.last + 1, message.nonce, self.me.id, True)))

    def _persist(self, records: list[Record], then: list[Send], out: list[Effect]) -> None:
        out.append(Persist(self._unsaved + records, then))
        self._unsaved = []
        self._unsaved_due = _NEVER

    # Learning

    def _keep_entry(self, slot: int, entry: Entry) -> None:
        self._log[slot] = entry
        self._log_bytes += _size(entry)

    def _take_entry(self, slot: int, entry: Entry) -> None:
        self._keep_entry(slot, entry)
        self.last = slot
        self._floor = max(self._floor, slot)
        self._votes = {s: vote for s, vote in self._votes.items() if s > slot}
        self._fresh_bytes += _size(entry)
        self.machine.apply(slot, entry)
        if isinstance(entry, Voters):
            self.voters = list(entry.voters)
            self.voters_since = slot
        elif isinstance(entry, Change):
            self._bulk = len(entry.body) + (0 if entry.whole else self._bulk)

    def _learn(self, entries: list[Entry], out: list[Effect]) -> None:
        """Apply the entries that follow on what is known, and answer those who asked for them."""
        records: list[Record] = []
        for entry in entries:
            self._take_entry(self.last + 1, entry)
            records.append(Learned(self.last, entry))
            out.append(Apply(self.last, entry))
            for pending in [p for p in self._pending if entry.tag in p.tags]:
                self._settle(pending, Taken(self.last), out)
        self._moved()
        saved = self._compact()
        self._persist(records + saved, [], out)

    def _moved(self) -> None:
        self._round = None
        self._high = self._tries = self._busy_reads = 0
        self._hold = 0.0

    def _compact(self) -> list[Record]:
        """A saved state, once the log has grown enough since the last one.

        A large state is saved only when the log has grown by a quarter of it, so that what is written stays
        in proportion to what has changed.
        """
        timing, since = self.timing, self.last - self._saved_at
        short = since < timing.keep // 2 or (self._fresh_bytes < self._bulk // 4 and since < timing.keep_most // 2)
        if short and self._log_bytes <= timing.keep_bytes:
            return []
        while self._first <= self.last and self._may_cut():
            self._log_bytes -= _size(self._log.pop(self._first))
            self._first += 1
        self._saved_at, self._fresh_bytes = self.last, 0
        return [Saved(self.last, self._state(), self.voters, self._first)]

    def _may_cut(self) -> bool:
        """Whether the oldest entry of the log may go.

        While a snapshot is being fetched from here, the log after it is what brings its receiver up to date.
        """
        timing, count = self.timing, self.last - self._first
        if self._first > min(source.pinned() for source in self.sources):
            return self._log_bytes > timing.keep_bytes or count >= 2 * timing.keep_most
        return (
            self._log_bytes > timing.keep_bytes // 2
            or count >= timing.keep_most
            or (count >= timing.keep and self._log_bytes > self._bulk // 2)
        )

    def _state(self) -> bytes:
        if self._blob is not None and self._blob[0] == self.last:
            return self._blob[1]
        state = self.machine.take()
        self._bulk = len(state)
        # Only a small one is kept: it is asked for by several at a time.
        self._blob = (self.last, state) if len(state) <= self.timing.part else None
        return state

    def _large(self) -> bool:
        """Whether the state is to go in parts; where little is reckoned, that may be wrong."""
        if self._bulk <= 4 * self.timing.part:
            self._state()
        return self._bulk > self.timing.part

    def _seal(self) -> Sealed:
        snapshot = Snapshot(self.last, self._state(), self.voters)
        return seal(snapshot, self.timing.level, self._clock)

    @property
    def first(self) -> int:
        """The oldest slot of the log that is kept."""
        return self._first

    @property
    def bulk(self) -> int:
        """Bytes of the state, at the most."""
        return self._bulk

    def entries(self, slot: int) -> list[Entry] | None:
        """What was chosen from `slot` on, as far as it is known here; None where that is no longer kept."""
        if slot < self._first:
            return None
        return [self._log[at] for at in range(slot, self.last + 1)]

    def _ask(self, addr: str, out: list[Effect]) -> None:
        """Ask for what we lack, one at a time where it is much: each answer takes a while on a thin link."""
        if addr == self.me.addr or self._fetch is not None:
            return
        asked, at = self._asked
        wait = 0.03 if addr != asked else 0.1
        if self._seen - self.last > 8:
            wait = self.timing.part_wait
        if self._clock - at < wait:
            return
        self._asked = (addr, self._clock)
        out.append(Send(addr, CatchUp(self.last + 1 if self.voters else 0, True)))

    def _tell(self, addr: str, slot: int, out: list[Effect], asked: CatchUp | None = None) -> bool:
        """Send what was chosen from `slot` on, or the state; whether it is now on its way.

        Unasked, only what is small is sent: several may do so at once.
        """
        limit = self.timing.run_bytes if asked is not None else self.timing.run_bytes // 4
        parts = asked is not None and asked.parts
        if slot >= self._first and not self._log_outweighs(slot):
            run: list[Entry] = []
            size = 0
            for at in range(slot, self.last + 1):
                size += _size(self._log[at])
                if size > limit and (run or parts or asked is None):
                    break
                run.append(self._log[at])
            if run:
                out.append(Send(addr, Chosen(slot, run, self.last)))
                return True
        if not self._large() or (asked is not None and not parts):
            out.append(Send(addr, Snapshot(self.last, self._state(), self.voters)))
            return True
        out.append(Send(addr, SnapshotOffer(self.last) if parts else Chosen(slot, [], self.last)))
        return False

    def _log_outweighs(self, slot: int) -> bool:
        """Whether the state is shorter than the log that leads to it."""
        bound = max(self._bulk, 4 * self.timing.run_bytes)
        if self._log_bytes <= bound:
            return False
        return sum(_size(self._log[at]) for at in range(slot, self.last + 1)) > bound

    def _on_decided(self, sender: str, message: Decided, out: list[Effect]) -> None:
        if message.slot <= self.last:
            return
        vote = self._votes.get(message.slot)
        # Who knows no voters has lost its state, and learns nothing before it has one.
        has_vote = vote is not None and vote.accepted == message.ballot
        if self.voters and message.slot == self.last + 1 and has_vote:
            self._learn([vote.entry], out)
        else:
            self._ask(sender, out)

    def _on_chosen(self, sender: str, message: Chosen, out: list[Effect]) -> None:
        self._seen = max(self._seen, message.last)
        if not self.voters or message.slot > self.last + 1:
            self._ask(sender, out)
            return
        for slot, entry in enumerate(message.entries[: self.last + 1 - message.slot], message.slot):
            if slot in self._log and self._log[slot].tag != entry.tag:
                raise ConsensusError(f"two entries chosen at slot {slot}")
        fresh = message.entries[self.last + 1 - message.slot :]
        if fresh:
            if sender == self._asked[0]:
                self._asked = ("", -1.0)  # this stream goes on; none is begun beside it
            self._learn(fresh, out)
            if self._fetch is not None and (self._fetch.slot <= self.last or message.last > self.last):
                self._fetch = None  # the log leads on from here, and faster
        if message.last > self.last:
            self._ask(sender, out)

    def _on_catch_up(self, sender: str, message: CatchUp, out: list[Effect]) -> None:
        if not self.voters:
            return
        told = True
        if message.slot <= self.last:
            told = self._tell(sender, message.slot, out, message)
        elif message.slot > self.last + 1:
            self._seen = max(self._seen, message.slot - 1)
            self._ask(sender, out)
        current = self._round
        if current is not None and told and message.slot <= self.last:
            # A voter that could not vote yet is asked anew, behind what it lacked.
            out += [
                Send(addr, current.message)
                for voter, addr in current.voters.items()
                if addr == sender and voter not in current.got
            ]

    def _on_snapshot_offer(self, sender: str, message: SnapshotOffer, out: list[Effect]) -> None:
        self._seen = max(self._seen, message.last)
        if self.voters and message.last <= self.last:
            return
        if self._fetch is None:
            self._begin_fetch(sender, out)
        else:
            self._fetch.offers[sender] = self._clock

    def _begin_fetch(self, source: str, out: list[Effect]) -> None:
        timing = self.timing
        newer = self.last if self.voters else 0
        offers = self._fetch.offers if self._fetch is not None else {}
        self._fetch = self._fetch_type(source, newer, timing.part, timing.window, self._clock)
        self._fetch.offers = {**offers, **self._fetch.offers}
        self._request(out)

    def _request(self, out: list[Effect]) -> None:
        out += [Send(self._fetch.source, request) for request in self._fetch.requests()]

    def _on_part_request(self, sender: str, message: PartRequest, out: list[Effect]) -> None:
        sealed = self._sealed_for(message) if self.voters else None
        if sealed is None:
            out.append(Send(sender, SnapshotPart(message.slot, message.digest, 0, message.offset, b"")))
            return
        end = message.offset + min(message.length, 2 * self.timing.part)
        part = SnapshotPart(
            sealed.slot, sealed.digest, len(sealed.data), message.offset, sealed.data[message.offset : end]
        )
        out.append(Send(sender, part))

    def _sealed_for(self, message: PartRequest) -> Sealed | None:
        """The sealed snapshot that is asked for, if it is or can be made here."""
        return self._source.sealed_for(message, self._first, self.last, self._seal, self._clock)

    def _on_snapshot_part(self, sender: str, message: SnapshotPart, out: list[Effect]) -> None:
        fetch = self._fetch
        if fetch is None:
            return
        if not message.size:
            if sender == fetch.source and message.digest == fetch.digest:
                self._source_lacks(sender, out)
            return
        if not fetch.take(message, self._clock):
            return
        data = fetch.whole()
        if data is None:
            self._request(out)
            return
        self._fetch = None
        if not fetch.sound(data):
            self.failures += 1
            return  # to be begun anew with the next offer
        self._on_snapshot(sender, unseal(data), out)
        self._ask(fetch.source, out)

    def _source_lacks(self, sender: str, out: list[Effect]) -> None:
        """A source no longer has what we fetch: another may, else we begin anew."""
        fetch = self._fetch
        fetch.lacking.add(sender)
        if set(fetch.offers) <= fetch.lacking:
            if not fetch.digest:
                self._fetch = None
            else:
                self._begin_fetch(max(fetch.offers, key=fetch.offers.__getitem__), out)
            return
        fetch.move(self._clock)
        self._request(out)

    def _mind_fetch(self, out: list[Effect]) -> None:
        """Turn to another source when none of the parts has come for a while."""
        fetch, timing = self._fetch, self.timing
        if fetch is None or self._clock < fetch.heard_at + timing.part_wait:
            return
        stalled = self._clock - fetch.moved_at
        other = fetch.other(self._clock, 2 * timing.part_wait)
        if stalled >= timing.give_up and other is not None and other != fetch.source:
            self._begin_fetch(other, out)
        elif stalled >= 8 * timing.give_up:
            self._fetch = None
        else:
            fetch.move(self._clock)
            self._request(out)

    def _on_snapshot(self, sender: str, message: Snapshot, out: list[Effect]) -> None:
        if self.voters and message.slot <= self.last:
            return
        self.machine.give(message.state)
        self.last = self._saved_at = self.voters_since = message.slot
        self._first = message.slot + 1
        self._log, self._log_bytes = {}, 0
        self._blob = None
        self._bulk, self._fresh_bytes = len(message.state), 0
        if self._fetch is not None and self._fetch.slot <= self.last:
            self._fetch = None
        self._floor = max(self._floor, message.slot)
        self.voters = list(message.voters)
        self._votes = {slot: vote for slot, vote in self._votes.items() if slot > message.slot}
        self._moved()
        self._asked = ("", -1.0)
        self._persist([Saved(self.last, message.state, self.voters, self._first)], [], out)
        out.append(Apply(self.last, None))
        # Whether an entry of ours was among those skipped cannot be seen from here.
        for pending in [p for p in self._pending if 0 < p.proposed <= self.last]:
            self._settle(pending, Unclear(), out)

    # Upkeep

    def _orphan(self) -> Vote | None:
        """Our own vote at the next slot, if there is one."""
        vote = self._votes.get(self.last + 1)
        return vote if vote is not None and vote.accepted is not None else None

    def _finish_orphan(self, out: list[Effect]) -> None:
        """Carry to its end a ballot whose proposer seems to be gone: it may have acknowledged it."""
        if self._orphan() is None or self._round is not None or self._clock < self._hold:
            return
        if self._clock >= self._vote_since + self.timing.orphan:
            self._vote_since = self._clock + self._rng.uniform(0.0, 0.2)
            self._start_ballot(out)

    def _poll(self, out: list[Effect]) -> None:
        if self._clock < self._poll_due:
            return
        others = [voter.addr for voter in self.voters if voter.addr != self.me.addr]
        at_start = self._poll_due == 0.0
        self._poll_due = self._clock + self.timing.poll * self._jitter()
        if others:
            everyone = at_start or (self.timing.poll_all and self.me in self.voters)
            asked = others if everyone else [self._rng.choice(others)]
            out += [Send(addr, CatchUp(self.last + 1, True)) for addr in asked]

    def _seat_message(self) -> JoinRequest | LeaveRequest | None:
        """What to say to the voters while we vote though we should not, or the other way round.

        One that shall not vote also asks to leave for a former self at its address, which others may
        still hear in its place.
        """
        if self.voting:
            return JoinRequest(self.me, self.last) if self.ready and self.me not in self.voters else None
        return next((LeaveRequest(voter) for voter in self.voters if voter.addr == self.me.addr), None)

    def _ask_for_seat(self, out: list[Effect]) -> None:
        if self._clock < self._join_due:
            return
        message = self._seat_message()
        if message is None and not self._parting:
            return
        self._join_due = self._clock + self.timing.join * self._jitter()
        if message is None:
            self._finish_leaving(out)
            return
        if isinstance(message, LeaveRequest):
            self._leaving[message.voter.id] = self._clock
        out += [Send(voter.addr, message) for voter in self.voters if voter.addr != self.me.addr]

    def _finish_leaving(self, out: list[Effect]) -> None:
        """Have one more entry chosen, by the voters that are left: see `left`."""
        self._parting = not self.left
        if self._parting and not any(pending.ticket is None for pending in self._pending):
            tag = f"left/{self._name}/{self._rng.getrandbits(32):08x}"
            out += self._enqueue(None, lambda _: Nothing(tag), self._clock, 2.0)

    def _on_join_request(self, sender: str, message: JoinRequest, out: list[Effect]) -> None:
        self._seen = max(self._seen, message.slot)
        if self.voters and message.slot < self.last:
            self._tell(sender, max(message.slot, 0) + 1, out)
        if self.voters and message.slot >= self.last - 4:
            self._joining[message.voter.addr] = (message, self._clock)
            self._leaving.pop(message.voter.id, None)
            self._mind_voters(out)

    def _on_leave_request(self, sender: str, message: LeaveRequest, out: list[Effect]) -> None:
        self._leaving[message.voter.id] = self._clock
        self._mind_voters(out)

    def _wanted(self) -> list[Voter] | None:
        self._mind_deafness()
        # One that asked to join and fell silent would be a voter who does not vote.
        recent = self._clock - 2.5 * self.timing.join
        self._joining = {a: pair for a, pair in self._joining.items() if pair[1] >= recent}
        # One that asked to leave may have ended before it was struck off: until its silence says so, its
        # request has to, or a newcomer would be added beside it instead of in its place.
        late = self._clock - self.timing.evict_after
        self._leaving = {i: when for i, when in self._leaving.items() if when >= late}
        self._unproven = {i: when for i, when in self._unproven.items() if when >= late}
        # One that did not know the voters in force may have asked before they were: what waited for this
        # machine while it stood still may be the word of a disk that is lost by now.
        since = self.voters_since if self._joining else 0
        return policy.propose(
            self.voters,
            [
                request.voter
                for request, _ in self._joining.values()
                if request.slot >= since and request.voter not in self.voters and request.voter.id not in self._unproven
            ],
            self._leaving,
            self._silence,
            self.survive,
            self.timing.sure,
            self.timing.replace_after,
            self.timing.evict_after,
        )

    def _mind_deafness(self) -> None:
        # Where no majority is heard it may be this machine that does not hear: when it does again, all have
        # their time anew.
        if not policy.alive(self.voters, lambda voter: self._silence(voter.addr), self.timing.replace_after):
            self._heard, self._since = {}, self._clock

    def _mind_voters(self, out: list[Effect]) -> None:
        """Propose the next change of voters when it is this node's turn."""
        wanted = self._wanted() if self.me in self.voters else None
        if wanted is None or any(pending.ticket is None for pending in self._pending):
            self._turn = None
            return
        if self._turn is None or self._turn[0] != wanted:
            before = policy.rank(self.voters, self.me, self._silence, self.timing.replace_after)
            wait = (before + self._rng.uniform(0.0, 0.5)) * self.timing.turn * (before > 0)
            self._turn = (wanted, self._clock + wait)
            self._proof = None
        if self._clock >= self._turn[1] and self._is_proven(wanted, out):
            self._turn = None
            tag = f"voters/{self._name}/{self._rng.getrandbits(32):08x}"
            out += self._enqueue(None, lambda _: self._voters_entry(tag), self._clock, 2.0)

    def _is_proven(self, wanted: list[Voter], out: list[Effect]) -> bool:
        """Whether those that the change counts on have answered of late; asks them otherwise."""
        proof = self._proof
        if proof is None or not self._supports(proof, wanted):
            # Another newcomer has its turn: one that takes the place of who doesn't answer needs no answer of it.
            failed = proof.newcomers if proof is not None else []
            self._unproven |= {voter.id: self._clock for voter in failed}
            nonce = self._rng.getrandbits(60)
            proof = self._proof = MembershipProof(self.me, self.voters, wanted, nonce, self._clock)
        if proof.complete():
            return True
        if self._clock >= proof.due:
            proof.due = self._clock + self.timing.resend * self._jitter()
            out += [Send(voter.addr, QuorumRead(self.last + 1, proof.nonce)) for voter in proof.missing]
        return False

    def _supports(self, proof: MembershipProof, wanted: list[Voter]) -> bool:
        """Whether the proof is for this change, and young enough."""
        return (proof.old, proof.new) == (self.voters, wanted) and self._clock <= proof.asked_at + self.timing.sure

    def _voters_entry(self, tag: str) -> Entry | None:
        wanted, proof = self._wanted(), self._proof
        if wanted is None or proof is None or not (self._supports(proof, wanted) and proof.complete()):
            return None
        return Voters(tag, wanted)


def _size(entry: Entry) -> int:
    return 200 + (len(entry.body) if isinstance(entry, Change) else 0)
