"""The world of the model check: machines with the real Node over a simulated network, clocks and disks.

Every answer, every applied entry and every state taken over is checked as it happens, and breaks off the
schedule with a Violation: each slot has one entry, nothing acknowledged is missing from a later read or
refused when it is sent again, no two changes made on one version or under one number are both taken, nothing
refused comes into force, no state goes back within a life, and nobody answers who had no round trip to a
majority of some slot's voters since the call came.
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
from crowseam.model_checks.schedules import Course, Violation

SAME, STALE = "same", "stale"

# What reports call the outcomes of requests.
_OUTCOME_LABELS = {Committed: "taken", ReadReady: "fresh", OutcomeUnknown: "unclear"}


class Ledger:
    """The applied state of the model: the current version and the digest of each one taken."""

    def __init__(self) -> None:
        self.ver = 0
        self.taken: dict[int, str] = {}

    def apply(self, slot: int, entry: Entry) -> None:
        if isinstance(entry, ConfigurationEntry):
            if entry.parent != self.ver:
                raise Violation(f"{entry.ver} was taken on {self.ver}, not on its parent {entry.parent}")
            self.ver = entry.ver
            self.taken[entry.ver] = entry.digest

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.ver, self.taken))

    def restore(self, state: bytes) -> None:
        self.ver, self.taken = 0, {}
        if state:
            self.ver, self.taken = msgspec.msgpack.decode(state, type=tuple[int, dict[int, str]])


class Order(msgspec.Struct, frozen=True):
    """An operator's change, sent as often as it takes; two may go by one number and differ in content."""

    ver: int
    parent: int
    content: str = ""

    @property
    def digest(self) -> str:
        """What tells this change from others, whatever their number."""
        return f"d{self.ver}{self.content}"

    def judge(self, tag: str) -> Callable[[Ledger], Any]:
        """What a node asks about this change."""

        def look(ledger: Ledger) -> Any:
            if ledger.taken.get(self.ver) == self.digest:
                return SAME
            if ledger.ver != self.parent or self.ver <= ledger.ver:
                return STALE
            return ConfigurationEntry(tag, self.ver, self.parent, True, b"", self.digest)

        return look


class Disk:
    """A disk in memory with the meaning that the store gives to each record."""

    def __init__(self) -> None:
        self.content = DurableState()
        self.refuses = False
        self.hangs_until = 0.0  # world time
        self.damaged = False  # whether rows may be missing

    def write(self, records: Iterable[Record]) -> None:
        """Write and sync."""
        held = self.content
        for record in records:
            match record:
                case IdentityRecord(id=name):
                    held.id = name
                case PromiseRecord(slot=slot, ballot=ballot):
                    held.votes.setdefault(slot, SlotVote()).promised = ballot
                case VoteRecord(slot=slot, ballot=ballot, entry=entry):
                    held.votes[slot] = SlotVote(ballot, ballot, entry)
                case ChosenRecord(slot=slot, entry=entry):
                    held.chosen[slot] = entry
                    held.votes.pop(slot, None)
                    held.highest_chosen_slot = max(held.highest_chosen_slot, slot)
                case SnapshotRecord(slot=slot, first_kept_slot=keep):
                    held.snapshot = record
                    held.chosen = {s: entry for s, entry in held.chosen.items() if s >= keep}
                    held.votes = {s: vote for s, vote in held.votes.items() if s > slot}
                    held.highest_chosen_slot = max(held.highest_chosen_slot, slot)

    def load(self) -> DurableState:
        """A copy that the reader may change."""
        held = self.content
        votes = {slot: SlotVote(v.promised, v.accepted, v.entry) for slot, v in held.votes.items()}
        return DurableState(held.id, held.highest_chosen_slot, votes, dict(held.chosen), held.snapshot)

    def damage(self, newest: int, state: bool) -> None:
        """Lose the `newest` latest chosen entries, and the saved state if `state`: rows that read back
        damaged are left out by the store, while a damaged vote makes it give up the whole disk."""
        self.damaged = True
        for slot in sorted(self.content.chosen)[-newest:] if newest else ():
            del self.content.chosen[slot]
        if state:
            self.content.snapshot = None

    def holds(self, slot: int, entry: Entry) -> bool:
        """Whether a restart from this disk could still tell what was chosen at `slot`."""
        held = self.content
        vote = held.votes.get(slot)
        return (
            held.chosen.get(slot) == entry
            or (held.snapshot is not None and held.snapshot.slot >= slot)
            or (vote is not None and vote.entry == entry)
        )


class Host:
    """A machine: its disk stays, its node and what is not synced go with each crash."""

    def __init__(self, addr: str) -> None:
        self.addr = addr
        self.disk = Disk()
        self.life = 0
        self.node: Node | None = None
        self.ledger = Ledger()
        self.queue: list[Persist] = []
        self.disk_free = 0.0
        self.disk_hangs = False
        self.tick_at = self.ticked = -1.0
        self.restless = 0  # ticks in a row at one moment
        self.gone = False
        self.offset, self.rate = 0.0, 1.0  # its steady clock against the world's
        self.frozen = False  # its process stands still
        self.waiting: list[tuple[Callable, tuple]] = []  # what it finds when it is thawed
        self.newest = -1  # the slot of its state in this life; -1 while it has none
        self.ever = -1  # the newest slot in any of its lives
        self.jumped = 0  # the slot of the last state that it took over whole
        # World times: when what was last heard from an address was sent, and what was last heard from us by
        # a voter, by its id, as far as its own words since then tell.
        self.heard: dict[str, float] = {}
        self.round_trip: dict[str, float] = {}

    def time(self, now: float) -> float:
        """Its steady clock at the world's time `now`, in seconds."""
        return self.offset + self.rate * now


class _Call(msgspec.Struct):
    """A call that has no answer yet: what for, when it came, and what was known then."""

    order: Order | None
    since: float
    last: int
    acknowledged: int


class World(Course):
    """Machines, the links between them and time; everything that happens is checked as it happens.

    `cut` holds links that are cut both ways, `one_way` pairs of sender and receiver. With `drift`, steady
    clocks start anywhere and run at speeds of their own.
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
        self.sync = 0.002
        self.all_crash_at_ack = False
        self.cut: set[frozenset[str]] = set()
        self.one_way: set[tuple[str, str]] = set()
        self.founders = founders
        self.hosts: dict[str, Host] = {}
        self.answers: dict[Any, Any] = {}
        self.answered_by: dict[str, str] = {}
        self.chosen: dict[int, Entry] = {}
        self.vers = {0: 0}
        self.voters = {0: [Voter(f"genesis/{addr}", addr) for addr in sorted(founders)]}
        self.acknowledged: dict[int, int] = {}
        self.confirmed: dict[int, str] = {}  # the digest that was acknowledged under each number
        self.refused: set[str] = set()
        self.taken_at: dict[str, int] = {}  # the slot of each digest
        self.taken_on: dict[int, str] = {}  # the digest that was taken on each parent
        self._calls: dict[Any, _Call] = {}
        self._teller: tuple[str, float] = ("", -1.0)  # whose message is being handled, and when it was sent
        for addr in founders:
            self.start(addr, bootstrap=True)

    # Machines

    def start(self, addr: str, bootstrap: bool = False) -> None:
        """Start a machine, or start it again from its disk."""
        host = self.hosts.setdefault(addr, Host(addr))
        if host.node is not None or host.gone:
            return
        if self.drift and (host.life == 0 or self.rng.random() < 0.5):
            host.offset, host.rate = self.rng.uniform(0.0, 1e5), self.rng.uniform(0.995, 1.005)
        durable = host.disk.load()
        host.disk.write(assign_identity(durable, addr, self.founders, bootstrap, self.rng))
        host.ledger = Ledger()
        host.heard, host.round_trip = {}, {}
        contacts = [other for other in self.hosts if other != addr]
        host.node = self.node_class(
            Voter(durable.id, addr),
            durable,
            host.ledger,
            self.rng,
            self.timing,
            tolerated_failures=self.survive,
            bootstrap_addrs=contacts,
        )
        host.newest, host.jumped = host.node.last_slot if host.node.voters else -1, 0
        if host.node.last_slot and host.ledger.ver != self.vers.get(host.node.last_slot):
            raise Violation(f"{addr} restarts in a state of its own after slot {host.node.last_slot}")
        if durable.highest_chosen_slot <= host.node.last_slot:
            host.disk.damaged = False
        elif not host.disk.damaged:
            raise Violation(
                f"{addr} restarts at slot {host.node.last_slot} and had {durable.highest_chosen_slot} on its disk"
            )
        host.tick_at = -1.0
        host.disk_free = self.now
        self._call(host, host.node.tick)

    def crash(self, addr: str, lose_disk: bool = False) -> None:
        """End a machine at once; of what is not synced, some first part may have reached the disk."""
        host = self.hosts[addr]
        host.life += 1
        for persist in host.queue[: self.rng.randint(0, len(host.queue))]:
            if not host.disk.refuses:
                host.disk.write(persist.records)
        host.queue, host.waiting = [], []
        host.frozen = host.disk_hangs = False
        host.node = None
        if lose_disk:
            host.disk = Disk()

    def crash_all(self) -> None:
        """All lose power at once, and come back within a second."""
        for host in self.hosts.values():
            if host.node is not None:
                self.crash(host.addr)
            self.after(self.rng.uniform(0.1, 1.0), self.start, host.addr)

    def freeze(self, addr: str) -> None:
        """Have a process stand still; what comes for it waits, and its steady clock goes on."""
        self.hosts[addr].frozen = self.hosts[addr].node is not None

    def disk_on(self, addr: str) -> None:
        """A disk that hangs, or is behind, goes on at once."""
        host = self.hosts[addr]
        host.disk.hangs_until, host.disk_hangs = self.now, True
        self._disk_again(host, host.life)

    def thaw(self, addr: str, drop: bool = False) -> None:
        """Let a process go on, with the messages that came meanwhile or without; timers come in between."""
        host = self.hosts[addr]
        if not host.frozen:
            return
        host.frozen = False
        waiting, host.waiting = host.waiting, []
        timers = [each for each in waiting if each[0] == self._tick]
        others = [each for each in waiting if each[0] != self._tick]
        if drop:
            others = [each for each in others if each[0] != self._deliver]
        at = self.rng.choice((0, len(others)))
        for what, args in others[:at] + timers + others[at:]:
            what(*args)

    def may_lose(self, *addrs: str) -> bool:
        """Whether what is chosen outlives the loss of these disks, by no more than the number of copies."""
        last = max(self.chosen, default=0)
        for slot in (last, last + 1):
            voters = self.voters[max(slot, 1) - 1]
            need = len(voters) // 2 + 1
            left = [v for v in voters if v.addr not in addrs and self.hosts[v.addr].disk.content.id == v.id]
            without = [
                v for v in left if slot in self.chosen and not self.hosts[v.addr].disk.holds(slot, self.chosen[slot])
            ]
            if len(left) < need or len(without) >= need:
                return False
        return True

    def _call(self, host: Host, what: Callable[..., list[Effect]], *args: Any) -> None:
        try:
            effects = what(*args, host.time(self.now))
        except ConsensusError as error:
            raise Violation(str(error)) from error
        self._carry(host, effects)

    def _carry(self, host: Host, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self._send(host, addr, message)
                case Persist():
                    host.queue.append(effect)
                    self._write(host, effect)
                case NotifyApplied(slot=slot, entry=entry):
                    self._check_applied(host, slot, entry)
                case CompleteRequest(request_id=ticket, outcome=outcome):
                    self._check_answer(host, ticket, outcome)
        if host.node is not None and host.node.next_tick != host.tick_at:
            host.tick_at = host.node.next_tick
            delay = max(0.0, host.tick_at - host.time(self.now)) / host.rate
            # A clock far from zero is coarse: without a little more, the tick could come before its time.
            delay += 1e-9 * (host.rate != 1.0)
            self.after(delay, self._tick, host, host.life, host.tick_at)

    def _tick(self, host: Host, life: int, at: float) -> None:
        if host.life == life and host.tick_at == at:
            if host.frozen:
                host.waiting.append((self._tick, (host, life, at)))
                return
            host.tick_at = -1.0
            host.restless = host.restless + 1 if host.ticked == self.now else 0
            host.ticked = self.now
            if host.restless > 100:
                raise Violation(f"{host.addr} asks for ticks without end")
            self._call(host, host.node.tick)
            # Rounded, the clock may be a little short of the moment, or past it.
            if host.life == life and host.node.next_tick == at <= host.time(self.now):
                raise Violation(f"{host.addr} does nothing about a timer that is due at {at}")

    def _write(self, host: Host, persist: Persist) -> None:
        host.disk_free = max(self.now, host.disk_free) + self.sync * self.rng.uniform(0.5, 1.5)
        self.after(host.disk_free - self.now, self._synced, host, host.life, persist)

    def _disk_again(self, host: Host, life: int) -> None:
        """A disk that hung does what has waited for it, in order."""
        if host.life == life and host.disk_hangs:
            host.disk_hangs, host.disk_free = False, self.now
            for persist in host.queue:
                self._write(host, persist)

    def _synced(self, host: Host, life: int, persist: Persist) -> None:
        if host.life == life and host.frozen:
            host.waiting.append((self._synced, (host, life, persist)))
            return
        if host.life != life or not host.queue or host.queue[0] is not persist:
            return
        if host.disk.hangs_until > self.now and not host.disk_hangs:
            host.disk_hangs = True
            self.after(host.disk.hangs_until - self.now, self._disk_again, host, life)
        if host.disk_hangs:
            return
        if host.disk.refuses:
            failed, host.queue = host.queue, []
            for each in failed:
                host.node.persist_failed(each, host.time(self.now))
            return
        host.queue.pop(0)
        host.disk.write(persist.records)
        self._carry(host, persist.then)

    def _send(self, host: Host, addr: str, message: Message) -> None:
        if addr == host.addr:
            self.after(0.0, self._deliver, host.addr, addr, host.life, message)
            return
        if addr in self.hosts:
            stamp = (host.node.me.id, self.now, host.heard.get(addr, -1.0))
            self.carry(self._deliver, host.addr, addr, None, encode(message), stamp)

    def _deliver(
        self,
        sender: str,
        addr: str,
        life: int | None,
        data: Any,
        stamp: tuple[str, float, float] | None = None,
    ) -> None:
        host = self.hosts[addr]
        if host.node is None or (life is not None and host.life != life):
            return
        if frozenset((sender, addr)) in self.cut or (sender, addr) in self.one_way:
            return
        if host.frozen:
            host.waiting.append((self._deliver, (sender, addr, life, data, stamp)))
            return
        if stamp is not None:
            name, sent, echo = stamp
            host.heard[sender] = max(sent, host.heard.get(sender, sent))
            host.round_trip[name] = max(echo, host.round_trip.get(name, echo))
            self._teller = (sender, sent)
        self._call(host, host.node.handle, sender, data if life is not None else decode(data))
        self._teller = ("", -1.0)

    # What operators do

    def submit(self, addr: str, ticket: Any, order: Order, patience: float | None = None) -> None:
        """An operator sends a change to a machine."""
        host = self.hosts[addr]
        if host.frozen:
            host.waiting.append((self.submit, (addr, ticket, order, patience)))
        elif host.node is not None:
            self._calls[ticket] = _Call(order, self.now, host.node.last_slot, 0)
            judge = order.judge(f"{order.ver}{order.content}/{ticket}")
            self._call(host, lambda now: host.node.submit(ticket, judge, now, patience))

    def read(self, addr: str, ticket: Any) -> None:
        """An operator asks a machine for the newest configuration."""
        host = self.hosts[addr]
        if host.frozen:
            host.waiting.append((self.read, (addr, ticket)))
        elif host.node is not None:
            newest = max(self.acknowledged.values(), default=0)
            self._calls[ticket] = _Call(None, self.now, host.node.last_slot, newest)
            self._call(host, host.node.read, ticket)

    # What must hold

    def _check_applied(self, host: Host, slot: int, entry: Entry | None) -> None:
        if slot <= host.newest or (entry is not None and slot != host.newest + 1):
            raise Violation(f"{host.addr} went from slot {host.newest} to {slot}")
        host.newest = slot
        host.ever = max(host.ever, slot)
        if entry is None:
            host.jumped = slot
        elif slot not in self.chosen:
            self._choose(slot, entry)
        elif self.chosen[slot] != entry:
            raise Violation(f"slot {slot} has two entries")
        if slot == host.node.last_slot:
            if host.ledger.ver != self.vers[slot] or host.node.voters != self.voters[slot]:
                raise Violation(f"{host.addr} is in a state of its own after slot {slot}")

    def _choose(self, slot: int, entry: Entry) -> None:
        """Note what is chosen at a slot, from the first who applies it."""
        self.chosen[slot] = entry
        is_change, is_voters = isinstance(entry, ConfigurationEntry), isinstance(entry, VotersEntry)
        self.vers[slot] = entry.ver if is_change else self.vers[slot - 1]
        self.voters[slot] = entry.voters if is_voters else self.voters[slot - 1]
        if not is_change:
            return
        if entry.digest in self.refused:
            raise Violation(f"{entry.digest} was refused and is in force")
        if self.taken_on.setdefault(entry.parent, entry.digest) != entry.digest:
            raise Violation(f"two changes on {entry.parent} were taken")
        if self.taken_at.setdefault(entry.digest, slot) != slot:
            raise Violation(f"{entry.digest} was taken twice")

    def _check_answer(self, host: Host, ticket: Any, outcome: Any) -> None:
        self.answers[ticket] = outcome
        self.outcomes[outcome if isinstance(outcome, str) else _OUTCOME_LABELS[type(outcome)]] += 1
        call = self._calls.pop(ticket)
        order = call.order
        if isinstance(outcome, Committed | ReadReady) or outcome in (SAME, STALE):
            self._check_contact(host, call, outcome)
        if isinstance(outcome, ReadReady):
            if outcome.slot < call.acknowledged:
                raise Violation(f"a read saw slot {outcome.slot}, {call.acknowledged} was acknowledged")
            missing = [v for v, slot in self.acknowledged.items() if slot <= call.acknowledged]
            if any(host.ledger.taken.get(ver) != self.confirmed[ver] for ver in missing):
                raise Violation("a read lacks what was acknowledged")
        elif isinstance(outcome, Committed) or outcome == SAME:
            slot = outcome.slot if isinstance(outcome, Committed) else host.node.last_slot
            if self.taken_at.get(order.digest, slot + 1) > slot:
                raise Violation(f"{order.digest} was acknowledged and is not chosen")
            if self.taken_on[order.parent] != order.digest:
                raise Violation(f"two changes on {order.parent} were taken")
            if self.confirmed.setdefault(order.ver, order.digest) != order.digest:
                raise Violation(f"two contents under number {order.ver} were acknowledged")
            self.acknowledged.setdefault(order.ver, slot)
            self.answered_by.setdefault(order.digest, host.addr)
            if self.all_crash_at_ack:
                self.all_crash_at_ack = False
                self.after(0.0, self.crash_all)
        elif outcome == STALE:
            self.refused.add(order.digest)
            if self.confirmed.get(order.ver) == order.digest:
                raise Violation(f"{order.digest} was acknowledged, and refused when it was sent again")
            if order.digest in self.taken_at:
                raise Violation(f"{order.digest} was refused and is in force")

    def _check_contact(self, host: Host, call: _Call, outcome: Any) -> None:
        """An answer needs a round trip, begun since the call, to a majority of the voters of one slot.

        That an entry was taken may also be told by a machine that knows its slot: the entry came up after
        the call, so whoever knows it as chosen has it from a majority that was asked since.
        """
        teller, sent = self._teller
        if isinstance(outcome, Committed) and sent >= call.since and self.hosts[teller].ever >= outcome.slot:
            return
        seen: Collection[Voter] = ()
        for slot in range(call.last, host.node.last_slot + 1):
            if self.voters[slot] is seen:
                continue
            seen = self.voters[slot]
            met = sum(
                voter.id == host.node.me.id or host.round_trip.get(voter.id, -1.0) >= call.since for voter in seen
            )
            if 2 * met > len(seen):
                return
        raise Violation(f"{host.addr} answered {outcome} and had met no majority since the call")
