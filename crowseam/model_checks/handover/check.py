"""Model check of what a majority holds beside the log, while voters are lost and replaced.

`run` plays seeded random schedules on a virtual time: servers that heartbeat, drain and leave at any controller;
operators who retire them and take it back; a duty that is sought and renewed. Voters crash, lose their disks,
stand still, are cut off (also one way, also from one other), leave and are replaced, all lose power at once,
and the next loss likes to come just after something was acknowledged, learned or agreed on. No more are lost
at once than `survive` says: a machine is lost while it is down, stands still or is cut off, and for SYNC
seconds after that or after its start. In a third of the schedules links also break as they like; what is said
of registries then holds from SYNC seconds after they are mended. It watches that

- what is acknowledged (a server drains or is gone; an operator's word) is in that moment on the disks of a
  majority of the voters, each under the id that it votes with, but for disks just lost;
- from then on no allowed loss takes the last copy: the voters not lost that hold it are more than may still
  be lost, and so are the disks that hold it;
- a newcomer that counts knows all that was acknowledged, and the highest fence held, before it was let in;
- no controller that has been in touch with a majority for TOLD seconds calls a server usable that was
  acknowledged as leaving so long ago;
- one controller at a time holds the duty, and each hand has a higher fence than all before it;
- in calm times somebody holds the duty, but for a change of hands, and no machine votes that is gone.

The node of the log, its policy of voters, the registries, their repair, the acknowledgements, the duties and
the handover are the real ones, driven by the real parts of the controller; links, disks and clocks are played.
All times are seconds; what a class under check is told is its own machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import msgspec

from crowseam.consensus import messages as consensus
from crowseam.consensus.effects import Persist, Send
from crowseam.consensus.messages import Voter
from crowseam.consensus.node import Node
from crowseam.consensus.timing import Timing
from crowseam.consensus.voter_selection import assign_identity
from crowseam.controller.durable_state import CAUGHT_UP_VOTER_KEY, ROLE_KEY_PREFIX
from crowseam.controller.lease_service import LeaseService
from crowseam.controller.leaving_records import NOTE_KEY_PREFIX as RETIRED
from crowseam.controller.leaving_records import LeavingRecords
from crowseam.controller.pending_calls import PendingCalls
from crowseam.controller.retirements import Retirements
from crowseam.controller.server_reports import REGISTRY_KEY, ServerReports
from crowseam.controller.state_machine import ConfigurationStateMachine
from crowseam.controller.voter_synchronization import VoterSynchronization
from crowseam.discovery import replication
from crowseam.discovery.anti_entropy import AntiEntropy, DigestOffer, RangeRecords
from crowseam.discovery.heartbeat import Heartbeat
from crowseam.discovery.server_record import PHASE_ORDER, ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.discovery.voter_catch_up import StateTransferReply, StateTransferRequest, VoterCatchUp
from crowseam.membership import role_messages
from crowseam.membership.failure_detector import FailureDetector
from crowseam.membership.role_context import RoleContext
from crowseam.membership.role_holders import KnownHolders
from crowseam.membership.role_leases import RoleLeases
from crowseam.membership.role_messages import Outgoing, RoleLeaseGrant, RoleLeaseRequest
from crowseam.membership.role_voter import RoleLeaseVoter
from crowseam.membership.sessions import SessionTable
from crowseam.model_checks.agreement.check import Disk as LogDisk
from crowseam.model_checks.schedules import Course, Mutant, Report, Violation, play
from crowseam.storage.records import Note
from crowseam.transport.messages import ChangedServers, HeardReports, PeerHeartbeat

STEPS = 30  # acts of a schedule
KEY = "quota/0"
SIZES = ((3, 1), (6, 1), (6, 2), (8, 1), (8, 2))  # voters, and how many may be lost at once; by the seed
TICK, PING, TELL, REPAIR, SAVE = 0.05, 0.25, 0.5, 1.0, 1.0  # s, as in the daemon
SYNC = 4.0  # s for which a machine counts as lost after its start, or after it is back
STALLED = 1.5  # s after which a link that is cut one way carries nothing the other way either
BEAT = 1.0  # s between reports of a server
TOLD = 2.3  # s in touch, and after an acknowledgement, by which a controller has to know of it
TRACKED = 25.0  # s after which a server that says no more may be forgotten
LOOK = 0.1  # s between two looks at what must hold
CALM, WATCHED = 12.0, 2.0  # s without strikes at the end, and of these the last, in which the duty is held
HANDS = 0.5  # s of the latter for which nobody may hold it, as it may be changing hands
DRIFT = 0.01  # most that a clock gains or loses


class CheckedParts(msgspec.Struct, frozen=True):
    """The classes under check; mutants put others in their place that lack a guard."""

    node: Callable[..., Node] = Node
    pending: Callable[..., replication.PendingAcknowledgements] = replication.PendingAcknowledgements
    answer: Callable[..., Any] = replication.acknowledge
    handover: Callable[..., VoterCatchUp] = VoterCatchUp
    role_leases: Callable[..., RoleLeases] = RoleLeases
    lease_service: Callable[..., LeaseService] = LeaseService
    leaving_records: Callable[..., LeavingRecords] = LeavingRecords


class Acknowledgement(msgspec.Struct):
    """What was acknowledged of a server: at least this phase, and this epoch of the operator's."""

    rank: int = 0
    epoch: int = 0
    at: float = 0.0  # when it was acknowledged first
    till: float = 0.0  # until when it has to be known


class SimulatedMachine:
    """What outlives a process: the disk, the clock, and since when it counts as lost."""

    def __init__(self, world: SimulatedFleet, addr: str) -> None:
        self.world, self.addr = world, addr
        self.speed = 1.0 + world.rng.uniform(-DRIFT, DRIFT)
        self.zero = world.rng.uniform(100.0, 1e5)
        self.log = LogDisk()
        self.notes: dict[str, bytes] = {}
        self.noted: dict[str, ServerRecord] = {}  # what the notes say of servers
        self.saved: dict[str, ServerRecord] = {}  # what the whole registry on disk says
        self.voting = True
        self.back_at = 0.0  # until when it counts as lost after it came back
        self.wiped = False

    def clock(self) -> float:
        return self.zero + self.world.now * self.speed

    def wipe(self) -> None:
        self.log, self.notes, self.noted, self.saved = LogDisk(), {}, {}, {}

    def has(self, ident: str, promise: Acknowledgement) -> bool:
        """Whether it would still be known after a loss of power."""
        return _has(self.saved.get(ident), promise) or _has(self.noted.get(RETIRED + ident), promise)

    def put(self, note: Note) -> None:
        """Write a note."""
        if note.value is None:
            self.notes.pop(note.key, None)
            self.noted.pop(note.key, None)
            return
        self.notes[note.key] = note.value
        if note.key.startswith(RETIRED):
            self.noted[note.key] = msgspec.msgpack.decode(note.value, type=ServerRecord)
        elif note.key == REGISTRY_KEY:
            records = msgspec.msgpack.decode(note.value, type=list[ServerRecord])
            self.saved = {record.id: record for record in records}


class SimulatedStore:
    """The disk as the controller's parts see it: writes are synced in order, some at once, and then told of."""

    def __init__(self, host: SimulatedController) -> None:
        self.host, self.queue, self.free = host, [], 0.0

    def write(self, records: list, done: Callable[[bool], None]) -> None:
        world = self.host.world
        self.free = max(self.free, world.now) + world.rng.uniform(0.001, 0.01)
        self.queue.append((records, done))
        world.after(self.free - world.now, self._synced, records, done)

    def _synced(self, records: list, done: Callable[[bool], None]) -> None:
        if self.host.alive and self.queue and self.queue[0][1] is done:
            self.queue.pop(0)
            self._put(records)
            done(True)

    def crash(self) -> None:
        """Of what is not synced some first part may have reached the disk."""
        for records, _ in self.queue[: self.host.world.rng.randint(0, len(self.queue))]:
            self._put(records)
        self.queue = []

    def _put(self, records: list) -> None:
        machine = self.host.machine
        machine.log.write([record for record in records if not isinstance(record, Note)])
        for record in records:
            if isinstance(record, Note):
                machine.put(record)


class SimulatedPeers:
    """The links as the controller's parts see them."""

    def __init__(self, host: SimulatedController, node: Node) -> None:
        self.host, self.node, self.me = host, node, host.addr
        self.detector = FailureDetector(PING)
        self.began = host.machine.clock()
        self.echoes: dict[str, float] = {}

    @property
    def dialers(self) -> dict[str, None]:
        return dict.fromkeys(addr for addr in self.host.world.fleet if addr != self.me)

    def on_heartbeat(self, addr: str, ping: PeerHeartbeat, now: float) -> None:
        self.echoes[addr] = ping.sent_at
        self.detector.record_heartbeat(addr, now, now - ping.echo if self.began <= ping.echo <= now else None)

    def send_heartbeats(self, now: float, addr: str = "") -> None:
        self.detector.tick(now)
        for to in [addr] if addr else self.dialers:
            self.post(to, PeerHeartbeat(now, self.echoes.pop(to, 0.0), self.node.last_slot))

    def voters(self) -> list[str]:
        return [voter.addr for voter in self.node.voters]

    def voter_ids(self) -> dict[str, str]:
        return {voter.addr: voter.id for voter in self.node.voters}

    def reachable(self, now: float, among: Iterable[str] | None = None) -> set[str]:
        return self.detector.reachable(now, self.dialers if among is None else among)

    def is_majority_reachable(self, now: float) -> bool:
        return self.detector.is_majority_reachable(now, self.voters(), self.me)

    def post(self, addr: str, message: Any) -> None:
        self.host.world.send(self.host, addr, message)

    def post_all(self, out: list[tuple[str, Any]]) -> None:
        for addr, message in out:
            self.post(addr, message)

    def broadcast(self, message: Any) -> None:
        for addr in self.dialers:
            self.post(addr, message)


class NoGateways:
    """No gateways: what they would be told is read off the registry."""

    silent: list[str] = []

    def __init__(self) -> None:
        self.sessions: dict[str, Any] = {}

    def push_changes(self, now: float) -> None:
        """Nobody listens."""


class ScriptedCall:
    """A call of a server or an operator."""

    def __init__(self, body: bytes, answered: Callable[[int], None]) -> None:
        self.body, self.answered = body, answered

    def reply(self, status: int, body: bytes = b"", **_: Any) -> None:
        answered, self.answered = self.answered, lambda _: None
        answered(status)


class _WatchedSynchronization(VoterSynchronization):
    """Tells the world of the moments at which a loss would do most harm."""

    def __init__(self, host: SimulatedController) -> None:
        super().__init__(
            host.node,
            host.registry,
            host.handover,
            host.pending,
            host.role_leases,
            host.lease_service,
            host.leaving_records,
            host.peers,
            host.store,
        )
        self._world = host.world

    def _voters_changed(self, now: float) -> None:
        if self.node.is_changing_voters:
            self._world.moment()
        super()._voters_changed(now)

    def _reply_saved(self, number: int) -> None:
        super()._reply_saved(number)
        self._world.moment()


class SimulatedController:
    """A controller's process, as `crowseam.controller.daemon` puts it together."""

    def __init__(self, world: SimulatedFleet, machine: SimulatedMachine, bootstrap: bool = False) -> None:
        self.world, self.machine, self.addr = world, machine, machine.addr
        self.alive, self.inbox = True, None
        self.life = f"{self.addr}.{world.rng.getrandbits(32):x}"
        parts, now = world.parts, machine.clock()
        durable = machine.log.load()
        machine.log.write(assign_identity(durable, self.addr, world.founders, bootstrap, world.rng))
        self.store = SimulatedStore(self)
        configured = ConfigurationStateMachine()
        self.node = parts.node(
            Voter(durable.id, self.addr),
            durable,
            configured,
            world.rng,
            Timing(poll_all_voters=False),
            voting=machine.voting,
            tolerated_failures=world.survive,
            bootstrap_addrs=[addr for addr in world.fleet if addr != self.addr],
        )
        counted = machine.notes.get(CAUGHT_UP_VOTER_KEY, b"").decode()
        self.handover = parts.handover(durable.id, durable.id in (counted, f"genesis/{self.addr}"))
        self.registry = ServiceRegistry(self.life, now)
        self.repair, self.pending, self.pending_calls = (
            AntiEntropy(self.registry),
            parts.pending(self.addr),
            PendingCalls(),
        )
        self.peers, self.gateways = SimulatedPeers(self, self.node), NoGateways()
        remembered = {
            key.removeprefix(ROLE_KEY_PREFIX): value.decode()
            for key, value in machine.notes.items()
            if key.startswith(ROLE_KEY_PREFIX)
        }
        self.role_leases = parts.role_leases(
            self.addr, world.rng, now, [KEY], saved_notes=remembered if (remembered or bootstrap) else None
        )
        self.lease_service = parts.lease_service(
            self.role_leases, configured, SessionTable(self.addr, self.life), self.gateways, self.peers, self.store
        )
        self.leaving_records = parts.leaving_records(self.registry, self.peers, self.gateways, self.store)
        self.retirements = Retirements(None, self.registry, self.pending, self.peers, self.gateways, self.pending_calls)
        self.reports = ServerReports(
            self.registry,
            self.repair,
            self.pending,
            self.peers,
            self.gateways,
            self.retirements,
            self.leaving_records,
            self.pending_calls,
            now,
        )
        self.reports.restore(machine.notes, now)
        self.voter_sync = _WatchedSynchronization(self)
        self._due_at = dict.fromkeys(("ping", "tell", "repair"), 0.0) | {"save": now + SAVE}
        self.touch_since: float | None = None
        self.fence: int | None = None
        self.counted = self.handover.is_caught_up and self.node.me in world.voters
        self._handlers: dict[type, Callable[[str, Any, float], None]] = {
            PeerHeartbeat: self._on_heartbeat,
            **dict.fromkeys(consensus.Message.__args__, self._agree),
            **dict.fromkeys(role_messages.Message.__args__, self.lease_service.on_role_message),
            ChangedServers: self.reports.on_changed,
            HeardReports: self.reports.on_heard,
            DigestOffer: self.reports.on_repair,
            RangeRecords: self.reports.on_repair,
            replication.ReplicationRequest: self.leaving_records.on_replication_request,
            replication.ReplicationAck: self.reports.on_ack,
            StateTransferRequest: self.voter_sync.on_request,
            StateTransferReply: self.voter_sync.on_reply,
        }

    # What comes

    def take(self, sender: str, message: Any) -> None:
        """A message, or a call of `sender` ""."""
        if self.inbox is not None:
            self.inbox.append((sender, message))
            return
        now = self.machine.clock()
        self._update_voters(now)
        if not sender:
            message(now)
        else:
            self._handlers[type(message)](sender, message, now)
        self.world.look_at(self)

    def thaw(self) -> None:
        inbox, self.inbox = self.inbox or [], None
        if self.world.rng.random() < 0.5:
            self.due()
        for sender, message in inbox:
            if self.alive:
                self.take(sender, message)

    def call(self, what: Callable[[ScriptedCall, float], None], call: ScriptedCall) -> None:
        """A server's or an operator's call."""
        self.take("", lambda now: what(call, now))

    def _on_heartbeat(self, addr: str, ping: PeerHeartbeat, now: float) -> None:
        self.peers.on_heartbeat(addr, ping, now)
        self.node.record_contact(addr, now)
        self._carry(self.node.observe_slot(addr, ping.last_slot, now))

    def _agree(self, addr: str, message: Any, now: float) -> None:
        self._carry(self.node.handle(addr, message, now))

    def _carry(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.peers.post(effect.addr, effect.message)
            elif isinstance(effect, Persist):
                self.store.write(effect.records, partial(self._kept, effect))
        self.world.learned(self)
        delay = self.node.next_tick - self.machine.clock()
        if delay < TICK:
            self.world.after(max(0.001, delay), self._agree_due)

    def _kept(self, persist: Persist, ok: bool) -> None:
        self._carry(list(persist.then))

    def _agree_due(self) -> None:
        now = self.machine.clock()
        if self.alive and self.inbox is None and now >= self.node.next_tick:
            self._carry(self.node.tick(now))

    # As in the daemon

    def _update_voters(self, now: float) -> None:
        self.voter_sync.update(now)
        if self.handover.is_caught_up and not self.counted and self.node.me in self.node.voters:
            self.counted = True
            self.world.counts(self)

    def due(self) -> None:
        """What the daemon does at each tick."""
        if self.inbox is not None:
            return
        now, due = self.machine.clock(), self._due_at
        self._agree_due()
        voters = set(self.peers.voters())
        self.node.learners = [addr for addr in self.peers.dialers if addr not in voters]
        self._update_voters(now)
        if self.node.voting:
            self.voter_sync.tick(now)
        self.lease_service.tick(now, self.peers.reachable(now), voters)
        self.reports.tick(now)
        if now >= due["ping"]:
            due["ping"] = now + PING
            self.peers.send_heartbeats(now)
        if now >= due["tell"]:
            due["tell"] = now + TELL
            self.reports.send_heard(now)
            self.registry.expire(now)
        if now >= due["repair"]:
            due["repair"] = now + REPAIR * self.world.rng.uniform(0.8, 1.2)
            if reachable := sorted(self.peers.reachable(now)):
                self.reports.start_repair(self.world.rng.choice(reachable), now)
        if now >= due["save"]:
            due["save"] = now + SAVE
            if records := self.reports.unsaved(now):
                self.store.write(records, self.reports.on_saved)
        if not self.peers.is_majority_reachable(now):
            self.touch_since = None
        elif self.touch_since is None:
            self.touch_since = self.world.now
        self.world.look_at(self)


class SimulatedFleet(Course):
    """Machines, the links between them, servers and what was acknowledged of them."""

    def __init__(self, seed: int, voters: int, survive: int, parts: CheckedParts) -> None:
        super().__init__(seed)
        self.parts, self.survive = parts, survive
        self.founders = [f"10.{1 + n // 2}.0.{4 + n % 2}:8407" for n in range(voters)]
        self.fleet = {addr: SimulatedMachine(self, addr) for addr in self.founders}
        self.hosts: dict[str, SimulatedController] = {}
        self.gone: set[str] = set()  # lost for good, and not yet replaced among the voters
        self.last, self.voters = 0, [Voter(f"genesis/{addr}", addr) for addr in self.founders]
        self.let_in: dict[str, tuple[float, int]] = {}  # id -> when, and the highest fence held before
        self.shut: dict[tuple[str, str], tuple[float, float]] = {}  # way -> from when until when
        self.broken: set[tuple[str, str]] = set()  # links that have to be made anew
        self.arrives: dict[tuple[str, str], float] = {}  # of each link, when its last message comes
        self.promises: dict[str, Acknowledgement] = {}
        self.servers: dict[str, ScriptedServer] = {}
        self.fences: list[int] = []
        self.unheld = 0.0  # s for which nobody held the duty, lately
        self.dark_until = 0.0  # until when all count as lost
        self.strikes = True
        self.torn = seed % 3 == 2  # whether links break as they like; then less has to hold meanwhile
        for addr in self.founders:
            self.start(addr, True)
        self.after(LOOK, self._check)

    # Machines

    def start(self, addr: str, bootstrap: bool = False) -> None:
        if addr in self.hosts or addr not in self.fleet:
            return
        machine = self.fleet[addr]
        if not bootstrap:
            machine.back_at = self.now + SYNC
        host = self.hosts[addr] = SimulatedController(self, machine, bootstrap)
        for other in self.fleet:
            if other != addr:
                self.broken |= {(addr, other), (other, addr)}
        self.after(self.rng.uniform(0.0, TICK), self._due, host)

    def _due(self, host: SimulatedController) -> None:
        if host.alive:
            host.due()
            self._mend_links(host)
            self.after(TICK, self._due, host)

    def crash(self, addr: str, wiped: bool = False) -> None:
        host = self.hosts.pop(addr, None)
        if host is not None:
            host.alive = False
            host.store.crash()
        if wiped:
            self.fleet[addr].wipe()

    def freeze(self, addr: str, span: float) -> None:
        host = self.hosts.get(addr)
        if host is not None and host.inbox is None:
            host.inbox, host.touch_since = [], None
            self.after(span, self._thaw, host)

    def _thaw(self, host: SimulatedController) -> None:
        if host.alive:
            host.machine.back_at = self.now + SYNC
            host.thaw()

    def cut(self, addr: str, others: Iterable[str], span: float, ways: tuple[bool, bool]) -> None:
        """Cut a machine off from others for a while: what it says, what it hears."""
        for other in others:
            for way, cut in zip(((addr, other), (other, addr)), ways, strict=True):
                if cut:
                    since, until = self.shut.get(way, (self.now, 0.0))
                    self.shut[way] = (since if until > self.now else self.now, max(until, self.now + span))
        machine = self.fleet[addr]
        machine.back_at = max(machine.back_at, self.now + span + SYNC)

    def lost(self) -> set[str]:
        """The machines of the fleet that count as lost."""
        return {
            addr
            for addr, machine in self.fleet.items()
            if addr not in self.hosts
            or self.hosts[addr].inbox is not None
            or self.now < max(machine.back_at, self.dark_until)
        } | self.gone

    def may_lose(self) -> list[str]:
        """Machines of which one may be lost now."""
        lost = self.lost()
        return sorted(self.fleet.keys() - lost) if len(lost) < self.survive else []

    # Links

    def _open(self, way: tuple[str, str]) -> bool:
        since, until = self.shut.get(way, (0.0, 0.0))
        if since <= self.now < until:
            return False
        since, until = self.shut.get(way[::-1], (0.0, 0.0))
        return not since + STALLED <= self.now < until

    def send(self, host: SimulatedController, addr: str, message: Any) -> None:
        if not host.alive:
            return
        if addr == host.addr:
            self.after(0.0, self._own, host, message)
            return
        way = (host.addr, addr)
        if way in self.broken or not self._open(way) or addr not in self.hosts:
            self.broken.add(way)
            return
        delay = self.rng.uniform(0.0005, 0.004) + (self.rng.uniform(0.0, 0.3) if self.rng.random() < self.late else 0.0)
        at = self.arrives[way] = max(self.arrives.get(way, 0.0), self.now + delay)
        self.after(at - self.now, self._arrive, host, self.hosts[addr], message)

    def _own(self, host: SimulatedController, message: Any) -> None:
        if host.alive:
            host.take(host.addr, message)

    def _arrive(self, sender: SimulatedController, host: SimulatedController, message: Any) -> None:
        way = (sender.addr, host.addr)
        if not host.alive or not self._open(way):
            self.broken.add(way)
        elif way not in self.broken or sender.alive:
            host.take(sender.addr, message)

    def _mend_links(self, host: SimulatedController) -> None:
        """Dial again where a link has ended; what was sent meanwhile is lost."""
        for other in self.fleet:
            way = (host.addr, other)
            if way in self.broken and other in self.hosts and self._open(way) and self._open(way[::-1]):
                if self.rng.random() < 0.3:
                    self.broken.discard(way)
                    now = host.machine.clock()
                    host.peers.send_heartbeats(now, other)
                    self.send(host, other, host.repair.offer(now))

    # What is acknowledged

    def acknowledged(self, host: SimulatedController, ident: str, rank: int = 0, epoch: int = 0) -> None:
        """A controller has acknowledged a server's word (`rank`), or an operator's (`epoch`)."""
        voters, word = host.node.voters, Acknowledgement(rank, epoch)
        # A voter whose disk is lost may have confirmed it with that disk.
        there = [
            machine
            for voter in voters
            if (machine := self.fleet.get(voter.addr)) is not None and machine.log.content.id == voter.id
        ]
        disks = [machine.addr for machine in there if machine.has(ident, word)]
        if 2 * (len(disks) + len(voters) - len(there)) <= len(voters):
            raise Violation(
                f"{host.addr} acknowledges of {ident} what only {disks} of {len(voters)} voters " f"have on disk"
            )
        promise = self.promises.setdefault(ident, Acknowledgement())
        if rank > promise.rank or epoch > promise.epoch:
            promise.rank, promise.epoch = max(rank, promise.rank), max(epoch, promise.epoch)
            promise.at = self.now
            self.outcomes["acknowledged"] += 1
            self.moment()
        promise.till = self.now + TRACKED

    # The next loss

    def moment(self) -> None:
        """Something has just happened after which a loss is at its worst."""
        if self.strikes and self.rng.random() < 0.35:
            self.after(self.rng.choice((0.0, 0.001, 0.003, 0.01, 0.05, 0.3, SYNC, SYNC + 0.5)), self.strike)

    def strike(self) -> None:
        """Lose one machine more, if that is allowed."""
        able, rng = self.may_lose(), self.rng
        if self.strikes and self.torn and self.now >= self.dark_until and rng.random() < 0.5:
            return self.tear()
        if not self.strikes or not able:
            return
        addr = rng.choice(able)
        span = rng.choice((0.1, 0.5, 1.5, 4.0, 8.0))
        kind = rng.choice(("crash", "wipe", "replace", "cut", "one way", "one other", "freeze"))
        self.outcomes[kind] += 1
        if kind == "freeze":
            return self.freeze(addr, span)
        if kind in ("cut", "one way", "one other"):
            others = [other for other in self.fleet if other != addr]
            if kind == "one other":
                others = rng.sample(others, rng.choice((1, 1, 2)))
            ways = rng.choice(((True, False), (False, True))) if kind == "one way" else (True, True)
            return self.cut(addr, others, span, ways)
        self.crash(addr, kind != "crash")
        if kind == "replace":
            self._replace(addr, span)
        else:
            self.after(span, self.start, addr)

    def _replace(self, addr: str, span: float) -> None:
        """A machine is lost for good, and another one comes in its place."""
        self.gone.add(addr)
        del self.fleet[addr]
        self.after(span, self._newcomer)

    def _newcomer(self) -> str:
        addr = f"10.9.0.{self.rng.randrange(10, 250)}:8407"
        while addr in self.fleet or addr in self.gone:
            addr = f"10.9.0.{self.rng.randrange(10, 250)}:8407"
        self.fleet[addr] = SimulatedMachine(self, addr)
        self.start(addr)
        return addr

    def retire_voter(self) -> None:
        """A planned replacement: the successor comes first, then the other one leaves and ends."""
        able = self.may_lose()
        if not able:
            return
        self.outcomes["planned"] += 1
        addr = self.rng.choice(able)
        self._newcomer()
        self.after(self.rng.choice((0.0, 0.5, SYNC)), self._leave, addr, self.now + 20.0)

    def _leave(self, addr: str, until: float) -> None:
        host = self.hosts.get(addr)
        if host is None:
            return
        host.machine.voting = host.node.voting = False
        if all(voter.addr != addr for voter in self.voters):
            self.crash(addr)
            del self.fleet[addr]
        elif self.now < until:
            self.after(0.1, self._leave, addr, until)
        else:  # nobody has taken its place
            host.machine.voting = host.node.voting = True

    def tear(self) -> None:
        """Links break so that the machines fall into two parts, some also within these."""
        self.outcomes["torn"] += 1
        addrs, rng, span = sorted(self.fleet), self.rng, self.rng.choice((1.0, 3.0, 6.0))
        one = set(rng.sample(addrs, rng.randint(1, len(addrs) - 1)))
        for addr in one:
            self.cut(addr, [other for other in addrs if other not in one], span, (True, True))
        for _ in range(rng.choice((0, 0, 2))):
            self.cut(*(lambda pair: (pair[0], pair[1:]))(rng.sample(addrs, 2)), span, (True, True))
        self.dark_until = self.now + span + SYNC

    def power_loss(self) -> None:
        """All lose power at once."""
        self.outcomes["power"] += 1
        for addr in list(self.fleet):
            self.crash(addr)
            self.after(self.rng.uniform(0.1, 1.0), self.start, addr)
        self.dark_until = self.now + 1.0 + SYNC

    # What must hold

    def learned(self, host: SimulatedController) -> None:
        """A node may know more of the log now."""
        if host.node.last_slot > self.last:
            voters = list(host.node.voters)
            self.last = host.node.last_slot
            if voters != self.voters:
                for voter in voters:
                    if voter not in self.voters:
                        self.let_in[voter.id] = self.now, max(self.fences, default=0)
                self.voters = voters
                self.outcomes["changes of voters"] += 1
                self.gone &= {voter.addr for voter in voters}
                self.moment()

    def counts(self, host: SimulatedController) -> None:
        """A newcomer counts from now on."""
        self.outcomes["newcomers"] += 1
        at, fence = self.let_in.get(host.node.me.id, (0.0, 0))
        if host.handover.timed_out:
            self.outcomes["newcomers untaught"] += 1
            return
        if host.role_leases.fencing_tokens()[KEY] < fence:
            raise Violation(f"{host.addr} counts, and does not know fence {fence}")
        for ident, promise in self.promises.items():
            if (
                promise.at < at
                and self.now < promise.till
                and not _has(host.registry.get(ident, host.machine.clock()), promise)
            ):
                raise Violation(f"{host.addr} counts, and does not know what was acknowledged of {ident}")

    def look_at(self, host: SimulatedController) -> None:
        """After each message: whether it took the duty."""
        fence = host.role_leases.held_fencing_token(KEY, host.machine.clock())
        if fence == host.fence:
            return
        host.fence = fence
        if fence is None:
            return
        others = [
            other.addr
            for other in self.hosts.values()
            if other is not host and other.role_leases.held_fencing_token(KEY, other.machine.clock()) is not None
        ]
        if others:
            raise Violation(f"{host.addr} takes the duty that {others[0]} holds")
        if fence in self.fences:
            return
        if self.fences and fence < self.fences[-1]:
            raise Violation(f"{host.addr} takes the duty under fence {fence} after {self.fences[-1]}")
        self.fences.append(fence)
        self.outcomes["hands"] += 1
        self.moment()

    def _check(self) -> None:
        self.after(LOOK, self._check)
        holding = [
            host.addr
            for host in self.hosts.values()
            if host.role_leases.held_fencing_token(KEY, host.machine.clock()) is not None
        ]
        if len(holding) > 1:
            raise Violation(f"{' and '.join(holding)} hold the duty")
        if not holding:
            self.unheld += LOOK
        lost = self.lost()
        spare = self.survive - len(lost)
        for ident, promise in self.promises.items():
            if self.now < promise.till:
                if spare >= 0:
                    self._copies(ident, promise, lost, spare)
                self._usable(ident, promise)

    def _copies(self, ident: str, promise: Acknowledgement, lost: set[str], spare: int) -> None:
        there = [
            self.hosts[voter.addr]
            for voter in self.voters
            if voter.addr not in lost and voter.addr in self.hosts and self.hosts[voter.addr].node.me == voter
        ]
        holders = [host.addr for host in there if _has(host.registry.get(ident, host.machine.clock()), promise)]
        if len(holders) <= spare:
            raise Violation(
                f"{spare} more may be lost, and of {len(there)} voters not lost only {holders} "
                f"know what was acknowledged of {ident}"
            )
        disks = [host.addr for host in there if host.machine.has(ident, promise)]
        if len(disks) <= spare:
            raise Violation(
                f"{spare} more may be lost, and of {len(there)} voters not lost only {disks} "
                f"have on disk what was acknowledged of {ident}"
            )

    def _usable(self, ident: str, promise: Acknowledgement) -> None:
        if self.now < self.dark_until:
            return
        for host in self.hosts.values():
            if (
                host.inbox is None
                and host.touch_since is not None
                and (self.now - max(host.touch_since, promise.at) >= TOLD)
            ):
                record = host.registry.get(ident, host.machine.clock())
                if record is not None and record.usable and not _has(record, promise):
                    raise Violation(
                        f"{host.addr} calls {ident} usable, {self.now - promise.at:.1f} s after "
                        f"it was acknowledged that it leaves"
                    )


def _has(record: ServerRecord | None, promise: Acknowledgement) -> bool:
    return (
        record is not None
        and PHASE_ORDER[record.phase] >= promise.rank
        and (record.retired >= promise.epoch or record.phase == "gone")
    )


class ScriptedServer:
    """A server that reports, drains and leaves."""

    def __init__(self, world: SimulatedFleet, ident: str) -> None:
        self.world, self.ident, self.seq, self.phase = world, ident, 0, "up"
        self.said = False
        world.after(0.0, self.heartbeat)

    def heartbeat(self) -> None:
        world, rng = self.world, self.world.rng
        if self.phase == "over":
            return
        self.seq += 1
        able = [host for host in world.hosts.values() if host.inbox is None]
        if able:
            host, phase = rng.choice(able), self.phase
            call = ScriptedCall(b"", partial(self.answered, host, phase))
            if phase == "gone":
                host.call(lambda call, now: host.reports.leave(call, self.ident, now), call)
            else:
                report = Heartbeat("s", f"10.99.0.1:{9000 + int(self.ident)}", "z", "v", 2, phase, self.seq, 0)
                host.call(lambda call, now: host.reports.heartbeat(call, self.ident, report, now), call)
        world.after(BEAT if self.phase != "gone" else 0.3, self.heartbeat)

    def answered(self, host: SimulatedController, phase: str, status: int) -> None:
        if status == 200 and phase != "up":
            self.world.acknowledged(host, self.ident, PHASE_ORDER[phase])
            if phase == "gone":
                self.phase = "over"


class _Schedule:
    """One random schedule: `steps` acts of servers, operators and fate, each with a wait behind it."""

    def __init__(self, seed: int, steps: int, parts: CheckedParts, size: tuple[int, int] | None = None) -> None:
        voters, survive = size or SIZES[seed % len(SIZES)]
        self.steps = steps
        self.world = SimulatedFleet(seed, voters, survive, parts)
        self.count = 0

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        world, rng = self.world, self.world.rng
        world.late = rng.choice((0.0, 0.01, 0.05))
        for _ in range(4):
            self._join()
        world.run_until(3.0)
        for _ in range(self.steps):
            rng.choice(self._ACTS)(self)
            world.run_until(world.now + rng.choice((0.002, 0.02, 0.1, 0.4, 1.0, 2.0)))
        world.strikes = False
        world.run_until(world.now + CALM - WATCHED)
        world.unheld = 0.0
        world.run_until(world.now + WATCHED)
        if world.unheld > HANDS:
            raise Violation(f"nobody holds the duty for {world.unheld:.1f} s of {WATCHED:g} s in calm times")
        if missing := [voter.addr for voter in world.voters if voter.addr not in world.hosts]:
            raise Violation(f"{', '.join(missing)} still vote and are gone")

    def _server(self) -> ScriptedServer | None:
        servers = [one for _, one in sorted(self.world.servers.items()) if one.phase in ("up", "draining")]
        return self.world.rng.choice(servers) if servers else None

    def _join(self) -> None:
        self.count += 1
        self.world.servers[str(self.count)] = ScriptedServer(self.world, str(self.count))

    def _drain(self) -> None:
        if (server := self._server()) is not None:
            server.phase = "draining"
            self._join()

    def _end(self) -> None:
        """A server ends without a word, or with one."""
        if (server := self._server()) is not None:
            server.phase = self.world.rng.choice(("gone", "gone", "over"))
            self._join()

    def _retire(self) -> None:
        world, server = self.world, self._server()
        able = [host for host in world.hosts.values() if host.inbox is None]
        if server is None or not able:
            return
        host = world.rng.choice(able)
        if server.ident not in host.registry:
            return
        undo = world.rng.random() < 0.3
        body, epoch = msgspec.json.encode({"id": server.ident, "undo": undo, "force": True}), []
        host.call(host.retirements.on_call, ScriptedCall(body, partial(self._retired, host, server.ident, epoch)))
        # What was written for this call. A majority has it, or what came on top, once it is answered.
        if (record := host.registry.get(server.ident, host.machine.clock())) is not None:
            epoch.append(record.retired)

    def _retired(self, host: SimulatedController, ident: str, epoch: list[int], status: int) -> None:
        if status == 200 and epoch and epoch[0]:
            self.world.acknowledged(host, ident, epoch=epoch[0])

    def _strike(self) -> None:
        self.world.strike()

    def _planned(self) -> None:
        self.world.retire_voter()

    def _power(self) -> None:
        if not self.world.lost():
            self.world.power_loss()

    _ACTS = (_join, _drain, _drain, _end, _retire, _retire, _strike, _strike, _strike, _strike, _planned, _power)


def run(
    seeds: Iterable[int], steps: int = STEPS, parts: CheckedParts | None = None, size: tuple[int, int] | None = None
) -> Report:
    """Play one schedule of `steps` acts for each seed; `size`: voters, and losses at once (None: by it)."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, parts or CheckedParts(), size), report)
    return report


# The code without one of its guards.


class _JoinsEmpty(VoterCatchUp):
    def __init__(self, me: str, was_caught_up: bool) -> None:
        super().__init__(me, True)

    def set_voters(self, voters: Any, now: float) -> None:
        self._voters = dict(voters)


class _LearnsOnce(VoterCatchUp):
    def set_voters(self, voters: Any, now: float) -> None:
        ready = self.ready
        super().set_voters(voters, now)
        if ready and self.is_catching_up:
            self.ready = self.is_caught_up = True


class _AnswersBehind(VoterCatchUp):
    def answer(
        self,
        learn: StateTransferRequest,
        registry: ServiceRegistry,
        fences: dict[str, int],
        slot: int,
        since: int,
        now: float,
    ) -> StateTransferReply | None:
        return super().answer(learn, registry, fences, learn.voters_slot, learn.log_slot, now)


class _AnswersUntaught(VoterCatchUp):
    def answer(self, learn: StateTransferRequest, *args: Any) -> StateTransferReply | None:
        counts, self.is_caught_up = self.is_caught_up, True
        told = super().answer(learn, *args)
        self.is_caught_up = counts
        return told


class _GoesByAddress(replication.PendingAcknowledgements):
    def confirm(self, addr: str, ack: replication.ReplicationAck) -> list:
        return super().confirm(addr, msgspec.structs.replace(ack, voter_id=""))


class _KeepsVoters(replication.PendingAcknowledgements):
    def set_voters(self, voters: Any, log_slot: int) -> None:
        kept = [(entry, entry.voters) for entry in self._waiting.values()]
        super().set_voters(voters, log_slot)
        for entry, before in kept:
            entry.voters = before


class _CountsItself(replication.PendingAcknowledgements):
    def start(self, call: Any, *args: Any) -> list[replication.OutgoingRequest]:
        out = super().start(call, *args)
        self._waiting[call].confirmed_by[self.me] = ""
        return out


class _CountsFewer(replication.PendingAcknowledgements):
    def start(self, call: Any, *args: Any) -> list[replication.OutgoingRequest]:
        out = super().start(call, *args)
        entry = self._waiting[call]
        entry.confirmed_by[max(entry.voters)] = ""
        return out


class _ConfirmsToAll(LeavingRecords):
    def on_replication_request(self, addr: str, request: replication.ReplicationRequest, now: float) -> None:
        super().on_replication_request(addr, replication.ReplicationRequest(request.record), now)


class _ConfirmsFromMemory(LeavingRecords):
    def _save(self, record: ServerRecord, then: Callable[[], None]) -> None:
        super()._save(record, lambda: None)
        then()


class _WritesAsTold(LeavingRecords):
    """Writes what it has learned as it was when the answers came."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._told: list[Note] = []

    def learn(self, records: list[ServerRecord], now: float) -> set[str]:
        idents = super().learn(records, now)
        self._told += super().notes(idents, now)
        return idents

    def notes(self, idents: set[str], now: float) -> list[Note]:
        told, self._told = self._told, []
        return told


class _ForgetsEpochs(LeavingRecords):
    def _is_on_disk(self, record: ServerRecord) -> bool:
        return self.saved_progress.get(record.id, (-1, 0))[0] >= PHASE_ORDER[record.phase]


class _GrantsBeforeDisk(LeaseService):
    def _send_after_write(self, outgoing: list[Outgoing]) -> None:
        self.peers.post_all(outgoing)
        super()._send_after_write([])


class _NotesNoFence(RoleLeaseVoter):
    def take_unsaved(self) -> dict[str, str]:
        return {key: note.partition(" ")[0] for key, note in super().take_unsaved().items()}


class _LearnsNoFence(RoleLeaseVoter):
    def adopt_fencing_tokens(self, tokens: Mapping[str, int]) -> None:
        pass


class _TellsNoFence(RoleLeaseVoter):
    def on_request(self, sender: str, request: RoleLeaseRequest, now: float) -> list[Outgoing]:
        return [
            Outgoing(addr, msgspec.structs.replace(message, highest_fencing_token=0))
            if isinstance(message, RoleLeaseGrant)
            else Outgoing(addr, message)
            for addr, message in super().on_request(sender, request, now)
        ]


class _NotSilent(RoleLeaseVoter):
    def became_voter(self, now: float) -> None:
        until = self._restricted_until
        super().became_voter(now)
        self._restricted_until = until


class _GrantsWhileChanging(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        self._context.is_changing_voters = False
        return super()._may_not_grant(request)


class _GrantsToThoseBehind(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        return super()._may_not_grant(msgspec.structs.replace(request, log_slot=-1))


class _GrantsWithoutVote(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        context = self._context
        is_behind = 0 <= request.log_slot < context.voters_slot
        return self.awaits_fencing_tokens or context.is_changing_voters or is_behind


class _GrantsUntaught(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        self.awaits_fencing_tokens = False
        return super()._may_not_grant(request)


class _GrantsAtStart(RoleLeaseVoter):
    def __init__(
        self, context: RoleContext, holders: KnownHolders, keys: Any, now: float, saved_notes: dict[str, str] | None
    ) -> None:
        super().__init__(context, holders, keys, now, saved_notes or {})


class _GrantsToAll(RoleLeaseVoter):
    def on_request(self, sender: str, request: RoleLeaseRequest, now: float) -> list[Outgoing]:
        self.roles[request.key].until = float("-inf")
        return super().on_request(sender, request, now)


def roles_with(voter: type[RoleLeaseVoter]) -> type[RoleLeases]:
    """Role leases whose voter is of this class."""
    return type(voter.__name__, (RoleLeases,), {"voter_type": voter})


def _mutant(guard: str, seed: int | None = None, why: str = "", steps: int = STEPS, **parts: Any) -> Mutant:
    return Mutant(guard, lambda seeds: run(seeds, steps, CheckedParts(**parts)), seed, why)


_LIVE = "while no more are lost than allowed, a majority that is well confirms within ms"
_APART = "two majorities with nobody in common take three or five voters parted in the moment of a change"

MUTANTS = (
    _mutant("a majority that confirms", 0, pending=_CountsFewer),
    _mutant("the disk before a confirmation", 0, leaving_records=_ConfirmsFromMemory),
    _mutant("the disk before our own copy counts", 0, pending=_CountsItself),
    _mutant("the operator's epoch in what is known to be on disk", 3, leaving_records=_ForgetsEpochs),
    _mutant(
        "the id in a confirmation: by address only",
        why=f"by hand: test_discovery.Acknowledging; {_LIVE}",
        pending=_GoesByAddress,
    ),
    _mutant(
        "the new voters for what waits at a change",
        why=f"by hand: test_discovery.Acknowledging; {_LIVE}",
        pending=_KeepsVoters,
    ),
    _mutant(
        "the refusal to confirm to those who may not know the voters",
        why=f"by hand: test_check_handover.ConfirmingTest; {_LIVE}",
        leaving_records=_ConfirmsToAll,
    ),
    _mutant("learning before it asks to be let in", 3, handover=_JoinsEmpty),
    _mutant("learning once more when it is in", 14, handover=_LearnsOnce),
    _mutant(
        "what was learned written as it is known by then",
        why="by hand: test_check_handover.NotesTest; at seed 11346 of an earlier form of the schedules",
        leaving_records=_WritesAsTold,
    ),
    _mutant(
        "the wait of a voter's answer for the change of voters",
        why="by hand: test_check_handover.LearningTest; "
        "takes an acknowledgement by the voters before within the ms of a change that one of them missed",
        handover=_AnswersBehind,
    ),
    _mutant(
        "silence of a newcomer that has not learned to other newcomers",
        why="by hand: test_check_handover.LearningTest; takes two newcomers that learn at once",
        handover=_AnswersUntaught,
    ),
    _mutant("one holder at a voter at a time", 1, role_leases=roles_with(_GrantsToAll)),
    _mutant(
        "the disk before a grant",
        why="by hand: test_role_leases.GrantOnDiskTest; "
        "takes a voter that ends between a grant and its write and is back within the grant's term",
        lease_service=_GrantsBeforeDisk,
    ),
    _mutant("the fence in the note on disk", 6, role_leases=roles_with(_NotesNoFence)),
    _mutant("the fences of a majority told to a newcomer", 1, role_leases=roles_with(_LearnsNoFence)),
    _mutant("the fence in a grant", 2, role_leases=roles_with(_TellsNoFence)),
    _mutant(
        "silence of a newcomer for a term",
        why=f"by hand: test_role_leases.SeatTest; {_APART}",
        role_leases=roles_with(_NotSilent),
    ),
    _mutant(
        "silence while a change of voters is open",
        why=f"by hand: test_role_leases.SeatTest; {_APART}",
        role_leases=roles_with(_GrantsWhileChanging),
    ),
    _mutant(
        "refusal to askers who may not know the voters",
        why=f"by hand: test_role_leases.SeatTest; {_APART}",
        role_leases=roles_with(_GrantsToThoseBehind),
    ),
    _mutant(
        "refusal to grant without a vote",
        why=f"by hand: test_role_leases.SeatTest; {_APART}",
        role_leases=roles_with(_GrantsWithoutVote),
    ),
    _mutant(
        "refusal to grant before it has learned",
        why="by hand: test_role_leases.SeatTest; its silence for a term is longer, unless voters are lost meanwhile",
        role_leases=roles_with(_GrantsUntaught),
    ),
    _mutant(
        "silence after the loss of a disk",
        why="by hand: test_role_leases.VoterTest; "
        "who loses the disk draws a new id, and is silent as a newcomer before it votes",
        role_leases=roles_with(_GrantsAtStart),
    ),
)
