"""Model check of the agreement: the real Node over a simulated network, clock and disks.

`run` plays seeded random schedules of racing operators, lost, late and doubled messages, cuts, crashes,
failing and lost disks and new machines. `explore` walks through all orders of events of a small case.
Both watch that each slot has one entry, that nothing acknowledged is missing from a later read, that no
two changes made on one version are both taken, and that nothing refused comes into force.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgspec

from folio.consensus.messages import (
    Accept,
    Accepted,
    Change,
    Chosen,
    Decided,
    Entry,
    Message,
    Prepare,
    Promise,
    QuorumRead,
    Refuse,
    Voter,
    Voters,
    decode,
    encode,
)
from folio.consensus.node import Node, Timing, _Pending, _Round
from folio.consensus.records import (
    Answer,
    Apply,
    Durable,
    Effect,
    Fresh,
    Identity,
    Learned,
    Persist,
    Promised,
    Record,
    Saved,
    Send,
    Taken,
    Vote,
    Voted,
)
from folio.consensus.voters import settle
from folio.schedules import Course, Report, Violation, play

STEPS = 30      # acts of a schedule
# Seconds for which a machine counts as lost after it is back.
_BETWEEN_LOSSES = 4.0
SAME, STALE = "same", "stale"


class Ledger:
    """The applied state of the model: the current version and the digest of each one taken."""

    def __init__(self) -> None:
        self.ver = 0
        self.taken: dict[int, str] = {}

    def apply(self, slot: int, entry: Entry) -> None:
        if isinstance(entry, Change):
            if entry.parent != self.ver:
                raise Violation(f"{entry.ver} was taken on {self.ver}, not on its parent {entry.parent}")
            self.ver = entry.ver
            self.taken[entry.ver] = entry.digest

    def take(self) -> bytes:
        return msgspec.msgpack.encode((self.ver, self.taken))

    def give(self, state: bytes) -> None:
        self.ver, self.taken = 0, {}
        if state:
            self.ver, self.taken = msgspec.msgpack.decode(state, type=tuple[int, dict[int, str]])


class Order(msgspec.Struct, frozen=True):
    """An operator's change, sent as often as it takes."""

    ver: int
    parent: int

    def judge(self, tag: str) -> Callable[[Ledger], Any]:
        """What a node asks about this change."""

        def look(ledger: Ledger) -> Any:
            if ledger.taken.get(self.ver) == f"d{self.ver}":
                return SAME
            if ledger.ver != self.parent:
                return STALE
            return Change(tag, self.ver, self.parent, True, b"", f"d{self.ver}")

        return look


class Disk:
    """A disk in memory with the meaning that the store gives to each record."""

    def __init__(self) -> None:
        self.content = Durable()
        self.refuses = False

    def write(self, records: Iterable[Record]) -> None:
        """Write and sync."""
        held = self.content
        for record in records:
            match record:
                case Identity(id=name):
                    held.id = name
                case Promised(slot=slot, ballot=ballot):
                    held.votes.setdefault(slot, Vote()).promised = ballot
                case Voted(slot=slot, ballot=ballot, entry=entry):
                    held.votes[slot] = Vote(ballot, ballot, entry)
                case Learned(slot=slot, entry=entry):
                    held.chosen[slot] = entry
                    held.votes.pop(slot, None)
                    held.floor = max(held.floor, slot)
                case Saved(slot=slot, keep=keep):
                    held.saved = record
                    held.chosen = {s: entry for s, entry in held.chosen.items() if s >= keep}
                    held.votes = {s: vote for s, vote in held.votes.items() if s > slot}
                    held.floor = max(held.floor, slot)

    def load(self) -> Durable:
        """A copy that the reader may change."""
        return _fork(self.content)

    def holds(self, slot: int, entry: Entry) -> bool:
        """Whether a restart from this disk could still tell what was chosen at `slot`."""
        held = self.content
        vote = held.votes.get(slot)
        return (
            held.chosen.get(slot) == entry
            or (held.saved is not None and held.saved.slot >= slot)
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
        self.tick_at = -1.0
        self.gone = False


class World(Course):
    """Machines, the links between them and time; everything that happens is checked as it happens."""

    def __init__(
        self, seed: int, founders: list[str], node_class: type[Node] = Node, timing: Timing | None = None
    ) -> None:
        super().__init__(seed)
        self.node_class = node_class
        self.timing = timing or Timing()
        self.sync = 0.002
        self.all_crash_at_ack = False
        self.cut: set[frozenset[str]] = set()
        self.founders = founders
        self.hosts: dict[str, Host] = {}
        self.answers: dict[Any, Any] = {}
        self.chosen: dict[int, Entry] = {}
        self.vers = {0: 0}
        self.voters = {0: [Voter(f"genesis/{addr}", addr) for addr in sorted(founders)]}
        self.acknowledged: dict[int, int] = {}
        self.refused: set[int] = set()
        self._orders: dict[Any, Order] = {}
        self._reads: dict[Any, int] = {}
        for addr in founders:
            self.start(addr, bootstrap=True)

    # Machines

    def start(self, addr: str, bootstrap: bool = False) -> None:
        """Start a machine, or start it again from its disk."""
        host = self.hosts.setdefault(addr, Host(addr))
        if host.node is not None or host.gone:
            return
        durable = host.disk.load()
        host.disk.write(settle(durable, addr, self.founders, bootstrap, self.rng))
        host.ledger = Ledger()
        contacts = [other for other in self.hosts if other != addr]
        host.node = self.node_class(
            Voter(durable.id, addr), durable, host.ledger, self.rng, self.timing, contacts=contacts
        )
        host.tick_at = -1.0
        host.disk_free = self.now
        self._carry(host, host.node.tick(self.now))

    def crash(self, addr: str, lose_disk: bool = False) -> None:
        """End a machine at once; of what is not synced, some first part may have reached the disk."""
        host = self.hosts[addr]
        host.life += 1
        for persist in host.queue[: self.rng.randint(0, len(host.queue))]:
            if not host.disk.refuses:
                host.disk.write(persist.records)
        host.queue = []
        host.node = None
        if lose_disk:
            host.disk = Disk()

    def crash_all(self) -> None:
        """All lose power at once, and come back within a second."""
        for host in self.hosts.values():
            if host.node is not None:
                self.crash(host.addr)
            self.after(self.rng.uniform(0.1, 1.0), self.start, host.addr)

    def may_lose(self, addr: str) -> bool:
        """Whether what is chosen outlives the loss of this disk, by no more than the number of copies."""
        last = max(self.chosen, default=0)
        for slot in (last, last + 1):
            voters = self.voters[max(slot, 1) - 1]
            need = len(voters) // 2 + 1
            left = [v for v in voters if v.addr != addr and self.hosts[v.addr].disk.content.id == v.id]
            without = [
                v for v in left if slot in self.chosen
                and not self.hosts[v.addr].disk.holds(slot, self.chosen[slot])
            ]
            if len(left) < need or len(without) >= need:
                return False
        return True

    def _call(self, host: Host, what: Callable[..., list[Effect]], *args: Any) -> None:
        self._carry(host, what(*args, self.now))

    def _carry(self, host: Host, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self._send(host, addr, message)
                case Persist():
                    host.queue.append(effect)
                    host.disk_free = max(self.now, host.disk_free) + self.sync * self.rng.uniform(0.5, 1.5)
                    self.after(host.disk_free - self.now, self._synced, host, host.life, effect)
                case Apply(slot=slot, entry=entry):
                    self._check_applied(host, slot, entry)
                case Answer(ticket=ticket, outcome=outcome):
                    self._check_answer(host, ticket, outcome)
        if host.node is not None and host.node.next_tick != host.tick_at:
            host.tick_at = host.node.next_tick
            self.after(max(0.0, host.tick_at - self.now), self._tick, host, host.life, host.tick_at)

    def _tick(self, host: Host, life: int, at: float) -> None:
        if host.life == life and host.tick_at == at:
            host.tick_at = -1.0
            self._call(host, host.node.tick)

    def _synced(self, host: Host, life: int, persist: Persist) -> None:
        if host.life != life or not host.queue or host.queue[0] is not persist:
            return
        if host.disk.refuses:
            failed, host.queue = host.queue, []
            for each in failed:
                host.node.failed(each, self.now)
            return
        host.queue.pop(0)
        host.disk.write(persist.records)
        self._carry(host, persist.then)

    def _send(self, host: Host, addr: str, message: Message) -> None:
        if addr == host.addr:
            self.after(0.0, self._deliver, host.addr, addr, host.life, message)
            return
        if addr in self.hosts:
            self.carry(self._deliver, host.addr, addr, None, encode(message))

    def _deliver(self, sender: str, addr: str, life: int | None, data: Any) -> None:
        host = self.hosts[addr]
        if host.node is None or (life is not None and host.life != life):
            return
        if frozenset((sender, addr)) not in self.cut:
            self._call(host, host.node.handle, sender, data if life is not None else decode(data))

    # What operators do

    def submit(self, addr: str, ticket: Any, order: Order, patience: float | None = None) -> None:
        """An operator sends a change to a machine."""
        host = self.hosts[addr]
        if host.node is not None:
            self._orders[ticket] = order
            judge = order.judge(f"{order.ver}/{ticket}")
            self._carry(host, host.node.submit(ticket, judge, self.now, patience))

    def read(self, addr: str, ticket: Any) -> None:
        """An operator asks a machine for the newest configuration."""
        host = self.hosts[addr]
        if host.node is not None:
            self._reads[ticket] = max(self.acknowledged.values(), default=0)
            self._carry(host, host.node.read(ticket, self.now))

    # What must hold

    def _check_applied(self, host: Host, slot: int, entry: Entry | None) -> None:
        if entry is not None and slot not in self.chosen:
            self.chosen[slot] = entry
            is_change, is_voters = isinstance(entry, Change), isinstance(entry, Voters)
            self.vers[slot] = entry.ver if is_change else self.vers[slot - 1]
            self.voters[slot] = entry.voters if is_voters else self.voters[slot - 1]
            if is_change and entry.ver in self.refused:
                raise Violation(f"{entry.ver} was refused and is in force")
        if slot and entry is not None and self.chosen[slot] != entry:
            raise Violation(f"slot {slot} has two entries")
        if slot == host.node.last:
            if host.ledger.ver != self.vers[slot] or host.node.voters != self.voters[slot]:
                raise Violation(f"{host.addr} is in a state of its own after slot {slot}")

    def _check_answer(self, host: Host, ticket: Any, outcome: Any) -> None:
        self.answers[ticket] = outcome
        self.outcomes[outcome if isinstance(outcome, str) else type(outcome).__name__.lower()] += 1
        order = self._orders.get(ticket)
        if isinstance(outcome, Fresh):
            if outcome.slot < self._reads[ticket]:
                raise Violation(f"a read saw slot {outcome.slot}, {self._reads[ticket]} was acknowledged")
            missing = [v for v, slot in self.acknowledged.items() if slot <= self._reads[ticket]]
            if not set(missing) <= set(host.ledger.taken):
                raise Violation("a read lacks what was acknowledged")
        elif isinstance(outcome, Taken) or outcome == SAME:
            slot = outcome.slot if isinstance(outcome, Taken) else host.node.last
            taken = [e for s, e in self.chosen.items() if s <= slot and isinstance(e, Change)]
            if order.ver not in [entry.ver for entry in taken]:
                raise Violation(f"{order.ver} was acknowledged and is not chosen")
            if len({entry.ver for entry in taken if entry.parent == order.parent}) != 1:
                raise Violation(f"two changes on {order.parent} were taken")
            self.acknowledged.setdefault(order.ver, slot)
            if self.all_crash_at_ack:
                self.all_crash_at_ack = False
                self.after(0.0, self.crash_all)
        elif outcome == STALE:
            self.refused.add(order.ver)
            if any(isinstance(e, Change) and e.ver == order.ver for e in self.chosen.values()):
                raise Violation(f"{order.ver} was refused and is in force")


class _Schedule:
    """One random schedule: `steps` acts of operators and of fate, then calm and a last look."""

    def __init__(self, seed: int, steps: int, node_class: type[Node]) -> None:
        timing = Timing(keep=Random(seed).choice((4, 64)))
        self.world = World(seed, ["m0", "m1", "m2"], node_class, timing)
        self.steps = steps
        self._ver = 0
        self._machines = 3
        self._lost_at = -_BETWEEN_LOSSES

    def play(self) -> None:
        world, rng = self.world, self.world.rng
        world.loss, world.doubled, world.late = (rng.choice((0.0, 0.02, 0.1)) for _ in range(3))
        world.sync = rng.choice((0.002, 0.002, 0.02))
        for _ in range(self.steps):
            rng.choice(self._ACTS)(self)
            world.run_until(world.now + rng.choice((0.002, 0.01, 0.05, 0.3, 1.0)))
        world.steady()
        world.sync, world.all_crash_at_ack = 0.002, False
        world.cut.clear()
        for host in world.hosts.values():
            host.disk.refuses = False
            world.start(host.addr)
        world.run_until(world.now + 6.0)
        last = [host.addr for host in world.hosts.values() if host.node is not None]
        for addr in last:
            world.read(addr, f"end/{addr}")
        world.run_until(world.now + 1.0)
        for addr in last:
            if not isinstance(world.answers.get(f"end/{addr}"), Fresh):
                raise Violation(f"{addr} cannot read in calm times")
        world.submit(last[0], "end", Order(self._ver + 1, world.vers[max(world.vers)]))
        world.run_until(world.now + 1.0)
        if not isinstance(world.answers.get("end"), Taken):
            raise Violation("a change is not taken in calm times")

    def _any(self) -> Host:
        return self.world.rng.choice([host for host in self.world.hosts.values() if not host.gone])

    def _race(self) -> None:
        """One or two operators build on what was current of late, trying each at two machines."""
        world = self.world
        known = max(world.acknowledged, default=0)
        parent = world.rng.choice((known, world.vers[max(world.vers)]))
        for _ in range(world.rng.choice((1, 1, 2))):
            self._ver += 1
            order = Order(self._ver, parent)
            for again in range(2):
                pause = again * world.rng.choice((0.0, 0.02, 1.0)) + world.rng.uniform(0.0, 0.01)
                world.after(pause, world.submit, self._any().addr, f"{order.ver}.{again}", order, 2.0)

    def _read(self) -> None:
        self.world.read(self._any().addr, f"read/{self.world.events}/{self.world.rng.random()}")

    def _crash(self) -> None:
        host = self._any()
        if host.node is not None:
            self.world.crash(host.addr)
            self.world.after(self.world.rng.choice((0.01, 0.5, 2.0)), self.world.start, host.addr)

    def _crash_all(self) -> None:
        if self.world.rng.random() < 0.5:
            self.world.all_crash_at_ack = True
        else:
            self.world.crash_all()

    def _may_lose(self, host: Host) -> bool:
        world = self.world
        if world.now - self._lost_at < _BETWEEN_LOSSES or not world.may_lose(host.addr):
            return False
        self._lost_at = world.now
        return True

    def _wipe(self) -> None:
        host = self._any()
        if host.node is not None and self._may_lose(host):
            self.world.crash(host.addr, lose_disk=True)
            self.world.after(self.world.rng.choice((0.01, 0.5)), self.world.start, host.addr)

    def _replace(self) -> None:
        host = self._any()
        if self._machines < 7 and self._may_lose(host):
            self.world.crash(host.addr, lose_disk=True)
            host.gone = True
            self._add()

    def _add(self) -> None:
        if self._machines < 7:
            self.world.after(self.world.rng.uniform(0.0, 1.0), self.world.start, f"m{self._machines}")
            self._machines += 1

    def _cut(self) -> None:
        world = self.world
        one = self._any().addr
        # A list, as sets differ in order from process to process, and a seed is to play the same in each.
        some = [frozenset((one, other)) for other in world.hosts if other != one]
        if world.rng.random() < 0.3:
            some = [pair for pair in some if world.rng.random() < 0.5]
        world.cut.update(some)
        world.after(world.rng.choice((0.1, 1.0, 3.0)), world.cut.difference_update, some)

    def _disk_trouble(self) -> None:
        disk = self._any().disk
        disk.refuses = True
        self.world.after(self.world.rng.choice((0.05, 1.0)), setattr, disk, "refuses", False)

    _ACTS = (_race, _race, _race, _race, _race, _read, _read, _crash, _crash_all, _wipe, _replace, _add,
             _cut, _cut, _disk_trouble)


def run(seeds: Iterable[int], steps: int = 30, node_class: type[Node] = Node) -> Report:
    """Play one random schedule of `steps` acts for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, node_class), report)
    return report


class Walk(msgspec.Struct):
    """How far `explore` came: the states seen, and whether they are all there are within its bounds."""

    depth: int = 0
    states: int = 0
    complete: bool = False
    decided: int = 0
    violations: list[str] = msgspec.field(default_factory=list)


class _Moment:
    """A state of the small case: the nodes, their disks, the messages under way, and what is left of
    the bounds."""

    __slots__ = ("nodes", "disks", "clocks", "flying", "left", "taken")

    def __init__(self, nodes, disks, clocks, flying, left, taken) -> None:
        self.nodes: tuple[Node, ...] = nodes
        self.disks: tuple[Disk, ...] = disks
        self.clocks: tuple[float, ...] = clocks
        self.flying: tuple[tuple[int, int, bytes], ...] = flying
        self.left: tuple[int, int, int] = left
        self.taken: frozenset = taken

    def key(self) -> bytes:
        """What tells this state from others; times are left out, for they only follow the events."""
        parts = [
            (
                node.last,
                sorted(node._votes.items()),
                node._high,
                node._round and (
                    node._round.message, sorted(node._round.got), sorted(node._round.refused),
                    sorted(p.accepted for p in node._round.got.values() if getattr(p, "accepted", 0)),
                ),
                [(p.ticket, p.confirmed, sorted(p.tags), p.proposed) for p in node._pending],
            )
            for node in self.nodes
        ]
        return msgspec.msgpack.encode((parts, self.flying, self.left, sorted(self.taken)))


class _Even:
    """Stands in for a random source: a walk tries all orders anyway."""

    def __init__(self, life: int) -> None:
        self.life = life

    def getrandbits(self, bits: int) -> int:
        return self.life

    def uniform(self, low: float, high: float) -> float:
        return (low + high) / 2

    def choice(self, items: list) -> Any:
        return items[0]


class _Walker:
    _ADDRS = ("a", "b", "c")
    _TIMING = Timing(poll=1e9, join=1e9, patience=1e9, evict_after=1e9, replace_after=1e9)

    def __init__(self, node_class: type[Node], limit: int) -> None:
        self.node_class = node_class
        self.limit = limit
        self.walk = Walk()
        self.voters = [Voter(f"genesis/{addr}", addr) for addr in self._ADDRS]

    def _boot(self, at: int, disk: Disk, life: int) -> Node:
        node = self.node_class(self.voters[at], disk.load(), Ledger(), _Even(life), self._TIMING)
        node._poll_due = 1e9
        return node

    def start(self, left: tuple[int, int, int]) -> _Moment:
        disks = tuple(Disk() for _ in self._ADDRS)
        for voter, disk in zip(self.voters, disks, strict=True):
            disk.write([Identity(voter.id), Saved(0, b"", self.voters, 1)])
        nodes = tuple(self._boot(at, disk, 0) for at, disk in enumerate(disks))
        moment = _Moment(nodes, disks, (0.0,) * 3, (), left, frozenset())
        for at, ver in ((0, 1), (1, 2)):
            judge = Order(ver, 0).judge(f"t{ver}")
            moment = self._act(moment, at, lambda node, judge=judge, ver=ver: node.submit(ver, judge, 0.0))
        return moment

    def _act(self, was: _Moment, at: int, what: Callable[[Node], list[Effect]], **new: Any) -> _Moment:
        """The state after node `at` did `what`, its writes synced and its words to itself heard."""
        node, disk = _fork(was.nodes[at]), Disk()
        disk.content = was.disks[at].load()
        flying, taken = list(new.get("flying", was.flying)), set(was.taken)
        effects = what(node)
        while effects:
            effect = effects.pop(0)
            match effect:
                case Send(addr=addr, message=message) if addr == self._ADDRS[at]:
                    effects += node.handle(addr, message, node._clock)
                case Send(addr=addr, message=message):
                    if not isinstance(message, QuorumRead):
                        flying.append((at, self._ADDRS.index(addr), encode(message)))
                case Persist():
                    disk.write(effect.records)
                    effects += effect.then
                case Answer(ticket=ticket, outcome=Taken()):
                    taken.add(ticket)
        return _Moment(
            _put(was.nodes, at, node),
            _put(was.disks, at, disk),
            new.get("clocks", was.clocks),
            tuple(sorted(each for each in flying if each[1] != at or not _moot(node, each[2]))),
            new.get("left", was.left),
            frozenset(taken),
        )

    def _next(self, was: _Moment) -> Iterable[_Moment]:
        losses, timers, crashes = was.left
        for place, (source, at, data) in enumerate(was.flying):
            if place and was.flying[place - 1] == was.flying[place]:
                continue
            rest = was.flying[:place] + was.flying[place + 1 :]
            message, sender, now = decode(data), self._ADDRS[source], was.clocks[at]
            yield self._act(was, at, lambda n, m=message, s=sender, t=now: n.handle(s, m, t), flying=rest)
            if losses:
                left = (losses - 1, timers, crashes)
                yield _Moment(was.nodes, was.disks, was.clocks, rest, left, was.taken)
        for at in range(3) if timers else ():
            clocks = _put(was.clocks, at, was.clocks[at] + 0.9)
            left = (losses, timers - 1, crashes)
            yield self._act(was, at, lambda n, t=clocks[at]: n.tick(t), clocks=clocks, left=left)
        for at in range(3) if crashes else ():
            node = self._boot(at, was.disks[at], crashes)
            left = (losses, timers, crashes - 1)
            yield self._act(
                _Moment(_put(was.nodes, at, node), was.disks, was.clocks, was.flying, left, was.taken),
                at, lambda n, t=was.clocks[at]: n.tick(t),
            )

    def go(self, depth: int, left: tuple[int, int, int]) -> Walk:
        walk, start = self.walk, self.start(left)
        layer, seen = [start], {hash(start.key())}
        while layer:
            after_layer = []
            for moment in layer:
                walk.states += 1
                walk.decided += bool(moment.taken)
                fault = self._fault(moment)
                if fault:
                    walk.violations.append(f"after {walk.depth} events: {fault}")
                    return walk
                if walk.states >= self.limit:
                    return walk
                # Once all know the entry of the slot, nothing more can happen to it.
                if walk.depth == depth or all(node.last for node in moment.nodes):
                    continue
                for after in self._next(moment):
                    key = hash(after.key())
                    if key not in seen:
                        seen.add(key)
                        after_layer.append(after)
            layer = after_layer
            walk.depth += bool(layer)
        walk.complete = True
        return walk

    def _fault(self, moment: _Moment) -> str | None:
        if len(moment.taken) > 1:
            return "two changes on one version were taken"
        chosen: dict[int, Entry] = {}
        for node in moment.nodes:
            for slot, entry in node._log.items():
                if chosen.setdefault(slot, entry) != entry:
                    return f"slot {slot} has two entries"
        return None


def explore(
    depth: int = 40,
    losses: int = 0,
    timers: int = 1,
    crashes: int = 0,
    limit: int = 1000000,
    node_class: type[Node] = Node,
) -> Walk:
    """Walk through all orders of the first `depth` events of two changes that race on one version among
    three voters.

    On any one way, at most so many messages are lost, waits run out and machines crash; a message may be
    arbitrarily late. A write that is lost with its machine is the same as the loss of the message that
    asked for it. Gives up after `limit` states.
    """
    return _Walker(node_class, limit).go(depth, (losses, timers, crashes))


def _moot(node: Node, data: bytes) -> bool:
    """Whether `node` would pass over this message now and ever after, so that its place is no matter."""
    message, current = decode(data), node._round
    if isinstance(message, Decided | Chosen):
        return node.last >= message.slot
    if isinstance(message, Refuse):
        return node.last >= message.slot
    if isinstance(message, Promise | Accepted):
        kind = Prepare if isinstance(message, Promise) else Accept
        return current is None or current.ballot != message.ballot or not isinstance(current.message, kind)
    return False


def _put(items: tuple, at: int, item: Any) -> tuple:
    return (*items[:at], item, *items[at + 1 :])


def _fork(value: Any) -> Any:
    """A copy of all that a node may change."""
    if isinstance(value, dict):
        return {key: _fork(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_fork(item) for item in value]
    if isinstance(value, set):
        return set(value)
    if isinstance(value, Vote | Durable):
        return type(value)(*(_fork(getattr(value, name)) for name in value.__struct_fields__))
    if isinstance(value, Node | Ledger):
        copy = object.__new__(type(value))
        vars(copy).update((name, _fork(item)) for name, item in vars(value).items())
        return copy
    if isinstance(value, _Pending | _Round):
        copy = object.__new__(type(value))
        for name in value.__slots__:
            setattr(copy, name, _fork(getattr(value, name)))
        return copy
    return value
