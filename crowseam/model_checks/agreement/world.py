"""Environment of the model check: machines that run the real Node over a simulated network, clocks and disks.

Every answer, applied entry and restored snapshot is checked as it occurs; a broken invariant raises Violation:

- each slot has one entry;
- an acknowledged change is contained in every later read, and is not refused when it is sent again;
- of several changes with the same parent or the same version number, at most one is applied;
- a refused change is never applied;
- the state of a process never goes back;
- a machine answers a request only after a round trip, begun since the request, to a majority of the voters of a slot.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any

import msgspec

from crowseam.consensus.effects import CompleteRequest, Effect, NotifyApplied, Persist, Send
from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import ConfigurationEntry, Entry, Message, Voter, VotersEntry, decode, encode
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed, OutcomeUnknown, ReadReady
from crowseam.consensus.records import (
    ChosenRecord,
    DurableState,
    IdentityRecord,
    PromiseRecord,
    Record,
    SlotVote,
    SnapshotRecord,
    VoteRecord,
)
from crowseam.consensus.timing import Timing
from crowseam.consensus.voter_selection import assign_identity
from crowseam.model_checks.schedules import EventSimulation, Violation

SAME, STALE = "same", "stale"

# Names of request outcomes in reports.
_OUTCOME_LABELS = {Committed: "taken", ReadReady: "fresh", OutcomeUnknown: "unclear"}


class ModelStateMachine:
    """Replicated state of the model: the current version, and the digest of each applied version."""

    def __init__(self) -> None:
        self.ver = 0
        self.applied_digests: dict[int, str] = {}

    def apply(self, slot: int, entry: Entry) -> None:
        if isinstance(entry, ConfigurationEntry):
            if entry.parent != self.ver:
                raise Violation(f"{entry.ver} was applied on {self.ver}, not on its parent {entry.parent}")
            self.ver = entry.ver
            self.applied_digests[entry.ver] = entry.digest

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.ver, self.applied_digests))

    def restore(self, state: bytes) -> None:
        self.ver, self.applied_digests = 0, {}
        if state:
            self.ver, self.applied_digests = msgspec.msgpack.decode(state, type=tuple[int, dict[int, str]])


class ChangeRequest(msgspec.Struct, frozen=True):
    """An operator's change, which may be sent repeatedly; two with the same version may differ in content."""

    ver: int
    parent: int
    content: str = ""

    @property
    def digest(self) -> str:
        """Identifies this change by version and content."""
        return f"d{self.ver}{self.content}"

    def builder(self, tag: str) -> Callable[[ModelStateMachine], Any]:
        """Return the function by which a node builds the entry, or decides that none is needed."""

        def build(state_machine: ModelStateMachine) -> Any:
            if state_machine.applied_digests.get(self.ver) == self.digest:
                return SAME
            if state_machine.ver != self.parent or self.ver <= state_machine.ver:
                return STALE
            return ConfigurationEntry(tag, self.ver, self.parent, True, b"", self.digest)

        return build


class Disk:
    """A disk in memory that applies records as the store does."""

    def __init__(self) -> None:
        self.content = DurableState()
        self.fails_writes = False
        self.hangs_until = 0.0  # simulation time
        self.has_missing_rows = False

    def write(self, records: Iterable[Record]) -> None:
        """Write and sync records."""
        content = self.content
        for record in records:
            match record:
                case IdentityRecord(id=name):
                    content.id = name
                case PromiseRecord(slot=slot, ballot=ballot):
                    content.votes.setdefault(slot, SlotVote()).promised = ballot
                case VoteRecord(slot=slot, ballot=ballot, entry=entry):
                    content.votes[slot] = SlotVote(ballot, ballot, entry)
                case ChosenRecord(slot=slot, entry=entry):
                    content.chosen[slot] = entry
                    content.votes.pop(slot, None)
                    content.highest_chosen_slot = max(content.highest_chosen_slot, slot)
                case SnapshotRecord(slot=slot, first_kept_slot=keep):
                    content.snapshot = record
                    content.chosen = {s: entry for s, entry in content.chosen.items() if s >= keep}
                    content.votes = {s: vote for s, vote in content.votes.items() if s > slot}
                    content.highest_chosen_slot = max(content.highest_chosen_slot, slot)

    def load(self) -> DurableState:
        """Return a copy that the caller may modify."""
        content = self.content
        votes = {slot: SlotVote(v.promised, v.accepted, v.entry) for slot, v in content.votes.items()}
        return DurableState(content.id, content.highest_chosen_slot, votes, dict(content.chosen), content.snapshot)

    def damage(self, newest: int, state: bool) -> None:
        """Remove the `newest` latest chosen entries, and the snapshot if `state`.

        The store leaves out rows that are corrupt when read back. A corrupt vote makes it discard the whole disk.
        """
        self.has_missing_rows = True
        for slot in sorted(self.content.chosen)[-newest:] if newest else ():
            del self.content.chosen[slot]
        if state:
            self.content.snapshot = None

    def holds(self, slot: int, entry: Entry) -> bool:
        """Whether the entry chosen at `slot` can be recovered after a restart from this disk."""
        content = self.content
        vote = content.votes.get(slot)
        return (
            content.chosen.get(slot) == entry
            or (content.snapshot is not None and content.snapshot.slot >= slot)
            or (vote is not None and vote.entry == entry)
        )


class Host:
    """A machine: a crash loses its node and its unsynced writes, but not its disk."""

    def __init__(self, addr: str) -> None:
        self.addr = addr
        self.disk = Disk()
        self.incarnation = 0
        self.node: Node | None = None
        self.state_machine = ModelStateMachine()
        self.pending_writes: list[Persist] = []
        self.disk_free_at = 0.0
        self.is_disk_hung = False
        self.scheduled_tick_at = self.last_tick_at = -1.0
        self.ticks_at_same_time = 0
        self.gone = False  # lost for good
        self.clock_offset_s, self.clock_rate = 0.0, 1.0  # its monotonic clock relative to simulation time
        self.frozen = False  # its process is suspended
        self.deferred: list[tuple[Callable, tuple]] = []  # events to handle once the process resumes
        self.last_applied_slot = -1  # by this process; -1 while it has no state
        self.highest_slot_ever = -1  # by any process of this machine
        self.restored_slot = 0  # of the last snapshot that it installed
        # Simulation times. By address: when the latest message received from it was sent. By voter id: when the
        # latest of our messages was sent that the voter has confirmed as received.
        self.received_sent_at: dict[str, float] = {}
        self.confirmed_sent_at: dict[str, float] = {}

    def time(self, now: float) -> float:
        """Its monotonic clock at simulation time `now`, in seconds."""
        return self.clock_offset_s + self.clock_rate * now


class _Call(msgspec.Struct):
    """A request without an answer yet.

    `since` is when it was received, `last` the last slot of its node then, and `acknowledged` the newest slot of an
    acknowledged change then. A read has no `order`.
    """

    order: ChangeRequest | None
    since: float
    last: int
    acknowledged: int


class World(EventSimulation):
    """Machines and the links between them, with checks of every answer and every applied entry.

    `cut` holds links that are cut both ways, `one_way` pairs of sender and receiver whose messages are lost. With
    `drift`, each monotonic clock has its own offset and rate.
    """

    def __init__(
        self,
        seed: int,
        founders: list[str],
        node_class: type[Node] = Node,
        timing: Timing | None = None,
        *,
        survive: int = 1,
        drift: bool = False,
    ) -> None:
        super().__init__(seed)
        self.node_class = node_class
        self.timing = timing or Timing()
        self.survive, self.drift = survive, drift
        self.sync_s = 0.002
        self.all_crash_at_ack = False
        self.cut: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.founders = founders
        self.hosts: dict[str, Host] = {}
        self.answers: dict[Any, Any] = {}
        self.answered_by: dict[str, str] = {}
        self.chosen: dict[int, Entry] = {}
        self.versions = {0: 0}
        self.voters = {0: [Voter(f"genesis/{addr}", addr) for addr in sorted(founders)]}
        self.acknowledged_slots: dict[int, int] = {}
        self.acknowledged_digests: dict[int, str] = {}  # by version
        self.refused_digests: set[str] = set()
        self.slot_by_digest: dict[str, int] = {}  # chosen changes
        self.digest_by_parent: dict[int, str] = {}  # chosen changes
        self._open_calls: dict[Any, _Call] = {}
        self._current_sender: tuple[str, float] = ("", -1.0)  # of the message being handled, and when it was sent
        for addr in founders:
            self.start(addr, bootstrap=True)

    # Machines

    def start(self, addr: str, bootstrap: bool = False) -> None:
        """Start or restart a machine from its disk."""
        host = self.hosts.setdefault(addr, Host(addr))
        if host.node is not None or host.gone:
            return
        if self.drift and (host.incarnation == 0 or self.rng.random() < 0.5):
            host.clock_offset_s, host.clock_rate = self.rng.uniform(0.0, 1e5), self.rng.uniform(0.995, 1.005)
        durable = host.disk.load()
        host.disk.write(assign_identity(durable, addr, self.founders, bootstrap, self.rng))
        host.state_machine = ModelStateMachine()
        host.received_sent_at, host.confirmed_sent_at = {}, {}
        contacts = [other for other in self.hosts if other != addr]
        host.node = self.node_class(
            Voter(durable.id, addr),
            durable,
            host.state_machine,
            self.rng,
            self.timing,
            tolerated_failures=self.survive,
            bootstrap_addrs=contacts,
        )
        host.last_applied_slot, host.restored_slot = host.node.last_slot if host.node.voters else -1, 0
        if host.node.last_slot and host.state_machine.ver != self.versions.get(host.node.last_slot):
            raise Violation(
                f"{addr} restarts with a state that differs from the state chosen at slot {host.node.last_slot}"
            )
        if durable.highest_chosen_slot <= host.node.last_slot:
            host.disk.has_missing_rows = False
        elif not host.disk.has_missing_rows:
            raise Violation(
                f"{addr} restarts at slot {host.node.last_slot} and had {durable.highest_chosen_slot} on its disk"
            )
        host.scheduled_tick_at = -1.0
        host.disk_free_at = self.now
        self._run_node(host, host.node.tick)

    def crash(self, addr: str, lose_disk: bool = False) -> None:
        """Kill a machine; a random prefix of its unsynced writes reaches the disk."""
        host = self.hosts[addr]
        host.incarnation += 1
        for persist in host.pending_writes[: self.rng.randint(0, len(host.pending_writes))]:
            if not host.disk.fails_writes:
                host.disk.write(persist.records)
        host.pending_writes, host.deferred = [], []
        host.frozen = host.is_disk_hung = False
        host.node = None
        if lose_disk:
            host.disk = Disk()

    def crash_all(self) -> None:
        """All machines lose power at once, and restart within a second."""
        for host in self.hosts.values():
            if host.node is not None:
                self.crash(host.addr)
            self.after(self.rng.uniform(0.1, 1.0), self.start, host.addr)

    def freeze(self, addr: str) -> None:
        """Suspend a process: its events are deferred while its monotonic clock continues."""
        self.hosts[addr].frozen = self.hosts[addr].node is not None

    def resume_disk(self, addr: str) -> None:
        """Let a disk that hangs or has a backlog continue at once."""
        host = self.hosts[addr]
        host.disk.hangs_until, host.is_disk_hung = self.now, True
        self._resume_hung_disk(host, host.incarnation)

    def thaw(self, addr: str, drop: bool = False) -> None:
        """Resume a process. Deferred timers run before or after the other events; `drop` discards messages."""
        host = self.hosts[addr]
        if not host.frozen:
            return
        host.frozen = False
        deferred, host.deferred = host.deferred, []
        timers = [each for each in deferred if each[0] == self._tick]
        others = [each for each in deferred if each[0] != self._tick]
        if drop:
            others = [each for each in others if each[0] != self._deliver]
        at = self.rng.choice((0, len(others)))
        for callback, args in others[:at] + timers + others[at:]:
            callback(*args)

    def may_lose(self, *addrs: str) -> bool:
        """Whether enough copies of every chosen entry remain if these disks are lost."""
        last = max(self.chosen, default=0)
        for slot in (last, last + 1):
            voters = self.voters[max(slot, 1) - 1]
            majority = len(voters) // 2 + 1
            remaining = [v for v in voters if v.addr not in addrs and self.hosts[v.addr].disk.content.id == v.id]
            lacking = [
                v
                for v in remaining
                if slot in self.chosen and not self.hosts[v.addr].disk.holds(slot, self.chosen[slot])
            ]
            if len(remaining) < majority or len(lacking) >= majority:
                return False
        return True

    def _run_node(self, host: Host, callback: Callable[..., list[Effect]], *args: Any) -> None:
        try:
            effects = callback(*args, host.time(self.now))
        except ConsensusError as error:
            raise Violation(str(error)) from error
        self._run_effects(host, effects)

    def _run_effects(self, host: Host, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self._send(host, addr, message)
                case Persist():
                    host.pending_writes.append(effect)
                    self._write(host, effect)
                case NotifyApplied(slot=slot, entry=entry):
                    self._check_applied(host, slot, entry)
                case CompleteRequest(request_id=request_id, outcome=outcome):
                    self._check_answer(host, request_id, outcome)
        if host.node is not None and host.node.next_tick != host.scheduled_tick_at:
            host.scheduled_tick_at = host.node.next_tick
            delay = max(0.0, host.scheduled_tick_at - host.time(self.now)) / host.clock_rate
            # Floating-point rounding of a clock with a large offset must not make the tick early.
            delay += 1e-9 * (host.clock_rate != 1.0)
            self.after(delay, self._tick, host, host.incarnation, host.scheduled_tick_at)

    def _tick(self, host: Host, incarnation: int, at: float) -> None:
        if host.incarnation == incarnation and host.scheduled_tick_at == at:
            if host.frozen:
                host.deferred.append((self._tick, (host, incarnation, at)))
                return
            host.scheduled_tick_at = -1.0
            host.ticks_at_same_time = host.ticks_at_same_time + 1 if host.last_tick_at == self.now else 0
            host.last_tick_at = self.now
            if host.ticks_at_same_time > 100:
                raise Violation(f"{host.addr} requests ticks in an endless loop")
            self._run_node(host, host.node.tick)
            # Because of rounding, the clock may be slightly before or after the due time.
            if host.incarnation == incarnation and host.node.next_tick == at <= host.time(self.now):
                raise Violation(f"{host.addr} does nothing about a timer that is due at {at}")

    def _write(self, host: Host, persist: Persist) -> None:
        host.disk_free_at = max(self.now, host.disk_free_at) + self.sync_s * self.rng.uniform(0.5, 1.5)
        self.after(host.disk_free_at - self.now, self._synced, host, host.incarnation, persist)

    def _resume_hung_disk(self, host: Host, incarnation: int) -> None:
        """Restart the pending writes of a disk that hung, in order."""
        if host.incarnation == incarnation and host.is_disk_hung:
            host.is_disk_hung, host.disk_free_at = False, self.now
            for persist in host.pending_writes:
                self._write(host, persist)

    def _synced(self, host: Host, incarnation: int, persist: Persist) -> None:
        if host.incarnation == incarnation and host.frozen:
            host.deferred.append((self._synced, (host, incarnation, persist)))
            return
        if host.incarnation != incarnation or not host.pending_writes or host.pending_writes[0] is not persist:
            return
        if host.disk.hangs_until > self.now and not host.is_disk_hung:
            host.is_disk_hung = True
            self.after(host.disk.hangs_until - self.now, self._resume_hung_disk, host, incarnation)
        if host.is_disk_hung:
            return
        if host.disk.fails_writes:
            failed, host.pending_writes = host.pending_writes, []
            for each in failed:
                host.node.persist_failed(each, host.time(self.now))
            return
        host.pending_writes.pop(0)
        host.disk.write(persist.records)
        self._run_effects(host, persist.then)

    def _send(self, host: Host, addr: str, message: Message) -> None:
        if addr == host.addr:
            self.after(0.0, self._deliver, host.addr, addr, host.incarnation, message)
            return
        if addr in self.hosts:
            metadata = (host.node.me.id, self.now, host.received_sent_at.get(addr, -1.0))
            self.transmit(self._deliver, host.addr, addr, None, encode(message), metadata)

    def _deliver(
        self,
        sender: str,
        addr: str,
        incarnation: int | None,
        data: Any,
        metadata: tuple[str, float, float] | None = None,
    ) -> None:
        host = self.hosts[addr]
        if host.node is None or (incarnation is not None and host.incarnation != incarnation):
            return
        if frozenset((sender, addr)) in self.cut or (sender, addr) in self.one_way:
            return
        if host.frozen:
            host.deferred.append((self._deliver, (sender, addr, incarnation, data, metadata)))
            return
        if metadata is not None:
            name, sent, confirmed = metadata
            host.received_sent_at[sender] = max(sent, host.received_sent_at.get(sender, sent))
            host.confirmed_sent_at[name] = max(confirmed, host.confirmed_sent_at.get(name, confirmed))
            self._current_sender = (sender, sent)
        self._run_node(host, host.node.handle, sender, data if incarnation is not None else decode(data))
        self._current_sender = ("", -1.0)

    # Operators

    def submit(self, addr: str, request_id: Any, change: ChangeRequest, timeout_s: float | None = None) -> None:
        """An operator sends a change to a machine."""
        host = self.hosts[addr]
        if host.frozen:
            host.deferred.append((self.submit, (addr, request_id, change, timeout_s)))
        elif host.node is not None:
            self._open_calls[request_id] = _Call(change, self.now, host.node.last_slot, 0)
            builder = change.builder(f"{change.ver}{change.content}/{request_id}")
            self._run_node(host, lambda now: host.node.submit(request_id, builder, now, timeout_s))

    def read(self, addr: str, request_id: Any) -> None:
        """An operator reads the newest configuration from a machine."""
        host = self.hosts[addr]
        if host.frozen:
            host.deferred.append((self.read, (addr, request_id)))
        elif host.node is not None:
            newest = max(self.acknowledged_slots.values(), default=0)
            self._open_calls[request_id] = _Call(None, self.now, host.node.last_slot, newest)
            self._run_node(host, host.node.read, request_id)

    # Invariants

    def _check_applied(self, host: Host, slot: int, entry: Entry | None) -> None:
        if slot <= host.last_applied_slot or (entry is not None and slot != host.last_applied_slot + 1):
            raise Violation(f"{host.addr} went from slot {host.last_applied_slot} to {slot}")
        host.last_applied_slot = slot
        host.highest_slot_ever = max(host.highest_slot_ever, slot)
        if entry is None:
            host.restored_slot = slot
        elif slot not in self.chosen:
            self._choose(slot, entry)
        elif self.chosen[slot] != entry:
            raise Violation(f"slot {slot} has two entries")
        if slot == host.node.last_slot:
            if host.state_machine.ver != self.versions[slot] or host.node.voters != self.voters[slot]:
                raise Violation(f"{host.addr} has a state that differs from the state chosen at slot {slot}")

    def _choose(self, slot: int, entry: Entry) -> None:
        """Record the entry chosen at a slot when the first machine applies it."""
        self.chosen[slot] = entry
        is_change, is_voters = isinstance(entry, ConfigurationEntry), isinstance(entry, VotersEntry)
        self.versions[slot] = entry.ver if is_change else self.versions[slot - 1]
        self.voters[slot] = entry.voters if is_voters else self.voters[slot - 1]
        if not is_change:
            return
        if entry.digest in self.refused_digests:
            raise Violation(f"{entry.digest} was refused and is chosen")
        if self.digest_by_parent.setdefault(entry.parent, entry.digest) != entry.digest:
            raise Violation(f"two changes with parent {entry.parent} were chosen")
        if self.slot_by_digest.setdefault(entry.digest, slot) != slot:
            raise Violation(f"{entry.digest} was chosen twice")

    def _check_answer(self, host: Host, request_id: Any, outcome: Any) -> None:
        self.answers[request_id] = outcome
        self.outcomes[outcome if isinstance(outcome, str) else _OUTCOME_LABELS[type(outcome)]] += 1
        call = self._open_calls.pop(request_id)
        change = call.order
        if isinstance(outcome, Committed | ReadReady) or outcome in (SAME, STALE):
            self._check_quorum_contact(host, call, outcome)
        if isinstance(outcome, ReadReady):
            if outcome.slot < call.acknowledged:
                raise Violation(f"a read returned slot {outcome.slot} after slot {call.acknowledged} was acknowledged")
            missing = [v for v, slot in self.acknowledged_slots.items() if slot <= call.acknowledged]
            if any(host.state_machine.applied_digests.get(ver) != self.acknowledged_digests[ver] for ver in missing):
                raise Violation("a read lacks an acknowledged change")
        elif isinstance(outcome, Committed) or outcome == SAME:
            slot = outcome.slot if isinstance(outcome, Committed) else host.node.last_slot
            if self.slot_by_digest.get(change.digest, slot + 1) > slot:
                raise Violation(f"{change.digest} was acknowledged and is not chosen")
            if self.digest_by_parent[change.parent] != change.digest:
                raise Violation(f"two changes with parent {change.parent} were chosen")
            if self.acknowledged_digests.setdefault(change.ver, change.digest) != change.digest:
                raise Violation(f"two different changes with version {change.ver} were acknowledged")
            self.acknowledged_slots.setdefault(change.ver, slot)
            self.answered_by.setdefault(change.digest, host.addr)
            if self.all_crash_at_ack:
                self.all_crash_at_ack = False
                self.after(0.0, self.crash_all)
        elif outcome == STALE:
            self.refused_digests.add(change.digest)
            if self.acknowledged_digests.get(change.ver) == change.digest:
                raise Violation(f"{change.digest} was acknowledged, and refused when it was sent again")
            if change.digest in self.slot_by_digest:
                raise Violation(f"{change.digest} was refused and is chosen")

    def _check_quorum_contact(self, host: Host, call: _Call, outcome: Any) -> None:
        """An answer needs a round trip, begun since the request, to a majority of the voters of one slot.

        A machine may also learn from another one that its entry was chosen: the entry was proposed after the
        request, so the other machine learned it from a majority that was asked since then.
        """
        sender, sent = self._current_sender
        if (
            isinstance(outcome, Committed)
            and sent >= call.since
            and self.hosts[sender].highest_slot_ever >= outcome.slot
        ):
            return
        seen: Collection[Voter] = ()
        for slot in range(call.last, host.node.last_slot + 1):
            if self.voters[slot] is seen:
                continue
            seen = self.voters[slot]
            reached = sum(
                voter.id == host.node.me.id or host.confirmed_sent_at.get(voter.id, -1.0) >= call.since
                for voter in seen
            )
            if 2 * reached > len(seen):
                return
        raise Violation(f"{host.addr} answered {outcome} without a round trip to a majority since the request")
