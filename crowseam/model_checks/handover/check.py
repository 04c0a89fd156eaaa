"""Model check of the state that a majority keeps outside the log, while voters fail and are replaced.

`run` executes seeded random schedules on a virtual clock: servers send heartbeats, drain and leave at any controller;
operators retire them and undo it; a role lease is acquired and renewed. Voters crash, lose their disks, freeze, are
partitioned (also in one direction, or from a single peer), leave and are replaced; all of them may lose power at once.
Faults tend to follow immediately on an acknowledgement, a state transfer or a change of voters. No more machines are
lost at once than `survive` allows: a machine counts as lost while it is down, frozen or partitioned, and for
SYNC_TIME_S after that or after its start. In a third of the schedules links also fail without this limit; the
invariants on registries then apply from SYNC_TIME_S after the links are restored. The check requires that

- whatever is acknowledged (a server drains or is gone; an operator's request) is at that moment on the disks of a
  majority of the voters, each under the id that it votes with, except for disks lost just before;
- from then on no permitted loss removes the last copy: the voters not lost that hold it outnumber the machines that
  may still be lost, and so do the disks that hold it;
- a new voter that counts knows everything that was acknowledged, and the highest fencing token held, before it was
  admitted;
- no controller that has been in touch with a majority for MAX_PROPAGATION_S considers a server usable whose leaving
  was acknowledged that long ago;
- the role has one holder at a time, and each new hold has a higher fencing token than all before it;
- once the faults have ended, the role has a holder, except while it changes hands, and no removed machine votes.

The consensus node, the voter selection, the registries, their anti-entropy, the acknowledgements, the role leases and
the voter catch-up are the real ones, driven by the real parts of the controller; links, disks and clocks are simulated.
All times are in seconds; each class under check gets the time of its own machine's monotonic clock.
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
from crowseam.controller.leaving_records import NOTE_KEY_PREFIX, LeavingRecords
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
from crowseam.model_checks.schedules import EventSimulation, Mutant, Report, Violation, play
from crowseam.storage.records import Note
from crowseam.transport.messages import ChangedServers, HeardReports, PeerHeartbeat

STEPS = 30  # actions per schedule
KEY = "quota/0"
FLEET_SIZES = ((3, 1), (6, 1), (6, 2), (8, 1), (8, 2))  # (voters, machines that may be lost at once), by the seed
TICK_S, HEARTBEAT_INTERVAL_S, REPORT_INTERVAL_S, REPAIR_INTERVAL_S, SAVE_INTERVAL_S = (
    0.05,
    0.25,
    0.5,
    1.0,
    1.0,
)  # as in the daemon
SYNC_TIME_S = 4.0  # time for which a machine counts as lost after its start or recovery
LINK_STALL_S = 1.5  # time after which a link cut in one direction carries nothing in the other one either
SERVER_HEARTBEAT_INTERVAL_S = 1.0
MAX_PROPAGATION_S = 2.3  # time in touch, and since an acknowledgement, after which a controller must know of it
RETENTION_S = 25.0  # time after which a server without heartbeats may be forgotten
CHECK_INTERVAL_S = 0.1  # interval between checks of the invariants
RECOVERY_S, HOLDER_CHECK_S = 12.0, 2.0  # time without faults at the end; its last part, in which the role must be held
MAX_UNHELD_S = 0.5  # time in the latter without a holder that is tolerated, as the role may change hands
MAX_CLOCK_ERROR = 0.01  # largest relative error of a clock


class CheckedParts(msgspec.Struct, frozen=True):
    """The classes under check; mutants replace them by versions without a guard."""

    node: Callable[..., Node] = Node
    pending: Callable[..., replication.PendingAcknowledgements] = replication.PendingAcknowledgements
    answer: Callable[..., Any] = replication.acknowledge
    handover: Callable[..., VoterCatchUp] = VoterCatchUp
    role_leases: Callable[..., RoleLeases] = RoleLeases
    lease_service: Callable[..., LeaseService] = LeaseService
    leaving_records: Callable[..., LeavingRecords] = LeavingRecords


class Acknowledgement(msgspec.Struct):
    """The acknowledged state of a server: at least this phase, and this epoch of an operator's request."""

    rank: int = 0
    epoch: int = 0
    at: float = 0.0  # time of the first acknowledgement
    till: float = 0.0  # time until which controllers have to know it


class SimulatedMachine:
    """The state that survives a process: disk and clock, and until when the machine counts as lost."""

    def __init__(self, world: SimulatedFleet, addr: str) -> None:
        self.world, self.addr = world, addr
        self.clock_rate = 1.0 + world.rng.uniform(-MAX_CLOCK_ERROR, MAX_CLOCK_ERROR)
        self.clock_offset_s = world.rng.uniform(100.0, 1e5)
        self.log = LogDisk()
        self.notes: dict[str, bytes] = {}
        self.noted_records: dict[str, ServerRecord] = {}  # records of servers in the notes on disk
        self.saved_records: dict[str, ServerRecord] = {}  # records in the registry saved on disk
        self.voting = True
        self.lost_until = 0.0
        self.wiped = False

    def clock(self) -> float:
        return self.clock_offset_s + self.world.now * self.clock_rate

    def wipe(self) -> None:
        self.log, self.notes, self.noted_records, self.saved_records = LogDisk(), {}, {}, {}

    def has_on_disk(self, ident: str, acknowledgement: Acknowledgement) -> bool:
        """Return whether the acknowledged state would survive a power failure."""
        return _covers(self.saved_records.get(ident), acknowledgement) or _covers(
            self.noted_records.get(NOTE_KEY_PREFIX + ident), acknowledgement
        )

    def store_note(self, note: Note) -> None:
        """Store a note on disk."""
        if note.value is None:
            self.notes.pop(note.key, None)
            self.noted_records.pop(note.key, None)
            return
        self.notes[note.key] = note.value
        if note.key.startswith(NOTE_KEY_PREFIX):
            self.noted_records[note.key] = msgspec.msgpack.decode(note.value, type=ServerRecord)
        elif note.key == REGISTRY_KEY:
            records = msgspec.msgpack.decode(note.value, type=list[ServerRecord])
            self.saved_records = {record.id: record for record in records}


class SimulatedStore:
    """The store used by the controller's parts: writes are synced in order, then their callbacks run."""

    def __init__(self, host: SimulatedController) -> None:
        self.host, self.queue, self.free_at = host, [], 0.0

    def write(self, records: list, done: Callable[[bool], None]) -> None:
        world = self.host.world
        self.free_at = max(self.free_at, world.now) + world.rng.uniform(0.001, 0.01)
        self.queue.append((records, done))
        world.after(self.free_at - world.now, self._on_synced, records, done)

    def _on_synced(self, records: list, done: Callable[[bool], None]) -> None:
        if self.host.alive and self.queue and self.queue[0][1] is done:
            self.queue.pop(0)
            self._put(records)
            done(True)

    def crash(self) -> None:
        """Lose the pending writes, except for a random prefix that has reached the disk."""
        for records, _ in self.queue[: self.host.world.rng.randint(0, len(self.queue))]:
            self._put(records)
        self.queue = []

    def _put(self, records: list) -> None:
        machine = self.host.machine
        machine.log.write([record for record in records if not isinstance(record, Note)])
        for record in records:
            if isinstance(record, Note):
                machine.store_note(record)


class SimulatedPeers:
    """The peer connections used by the controller's parts."""

    def __init__(self, host: SimulatedController, node: Node) -> None:
        self.host, self.node, self.me = host, node, host.addr
        self.detector = FailureDetector(HEARTBEAT_INTERVAL_S)
        self.started_at = host.machine.clock()
        self.echoes: dict[str, float] = {}

    @property
    def dialers(self) -> dict[str, None]:
        return dict.fromkeys(addr for addr in self.host.world.fleet if addr != self.me)

    def on_heartbeat(self, addr: str, heartbeat: PeerHeartbeat, now: float) -> None:
        self.echoes[addr] = heartbeat.sent_at
        self.detector.record_heartbeat(
            addr, now, now - heartbeat.echo if self.started_at <= heartbeat.echo <= now else None
        )

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
    """No gateways are connected: the check reads the registry instead."""

    silent: list[str] = []

    def __init__(self) -> None:
        self.sessions: dict[str, Any] = {}

    def push_changes(self, now: float) -> None:
        """Do nothing."""


class ScriptedCall:
    """A call by a server or an operator."""

    def __init__(self, body: bytes, on_reply: Callable[[int], None]) -> None:
        self.body, self.on_reply = body, on_reply

    def reply(self, status: int, body: bytes = b"", **_: Any) -> None:
        on_reply, self.on_reply = self.on_reply, lambda _: None
        on_reply(status)


class _ObservedSynchronization(VoterSynchronization):
    """Notifies the world of the moments at which a fault is most critical."""

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
            self._world.on_critical_moment()
        super()._voters_changed(now)

    def _reply_saved(self, number: int) -> None:
        super()._reply_saved(number)
        self._world.on_critical_moment()


class SimulatedController:
    """A controller process, assembled as in `crowseam.controller.daemon`."""

    def __init__(self, world: SimulatedFleet, machine: SimulatedMachine, bootstrap: bool = False) -> None:
        self.world, self.machine, self.addr = world, machine, machine.addr
        self.alive, self.inbox = True, None
        self.incarnation = f"{self.addr}.{world.rng.getrandbits(32):x}"
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
        self.registry = ServiceRegistry(self.incarnation, now)
        self.repair, self.pending, self.pending_calls = (
            AntiEntropy(self.registry),
            parts.pending(self.addr),
            PendingCalls(),
        )
        self.peers, self.gateways = SimulatedPeers(self, self.node), NoGateways()
        saved_notes = {
            key.removeprefix(ROLE_KEY_PREFIX): value.decode()
            for key, value in machine.notes.items()
            if key.startswith(ROLE_KEY_PREFIX)
        }
        self.role_leases = parts.role_leases(
            self.addr, world.rng, now, [KEY], saved_notes=saved_notes if (saved_notes or bootstrap) else None
        )
        self.lease_service = parts.lease_service(
            self.role_leases,
            configured,
            SessionTable(self.addr, self.incarnation),
            self.gateways,
            self.peers,
            self.store,
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
        self.voter_sync = _ObservedSynchronization(self)
        self._due_at = dict.fromkeys(("ping", "tell", "repair"), 0.0) | {"save": now + SAVE_INTERVAL_S}
        self.in_touch_since: float | None = None
        self.fencing_token: int | None = None
        self.is_counted = self.handover.is_caught_up and self.node.me in world.voters
        self._handlers: dict[type, Callable[[str, Any, float], None]] = {
            PeerHeartbeat: self._on_heartbeat,
            **dict.fromkeys(consensus.Message.__args__, self._on_consensus_message),
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

    # Incoming messages and calls

    def receive(self, sender: str, message: Any) -> None:
        """Handle a message, or a call if `sender` is empty."""
        if self.inbox is not None:
            self.inbox.append((sender, message))
            return
        now = self.machine.clock()
        self._update_voters(now)
        if not sender:
            message(now)
        else:
            self._handlers[type(message)](sender, message, now)
        self.world.check_role_holder(self)

    def thaw(self) -> None:
        inbox, self.inbox = self.inbox or [], None
        if self.world.rng.random() < 0.5:
            self.run_due_tasks()
        for sender, message in inbox:
            if self.alive:
                self.receive(sender, message)

    def call(self, what: Callable[[ScriptedCall, float], None], call: ScriptedCall) -> None:
        """Handle a call by a server or an operator."""
        self.receive("", lambda now: what(call, now))

    def _on_heartbeat(self, addr: str, heartbeat: PeerHeartbeat, now: float) -> None:
        self.peers.on_heartbeat(addr, heartbeat, now)
        self.node.record_contact(addr, now)
        self._apply_effects(self.node.observe_slot(addr, heartbeat.last_slot, now))

    def _on_consensus_message(self, addr: str, message: Any, now: float) -> None:
        self._apply_effects(self.node.handle(addr, message, now))

    def _apply_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.peers.post(effect.addr, effect.message)
            elif isinstance(effect, Persist):
                self.store.write(effect.records, partial(self._on_persisted, effect))
        self.world.on_log_advanced(self)
        delay = self.node.next_tick - self.machine.clock()
        if delay < TICK_S:
            self.world.after(max(0.001, delay), self._tick_consensus)

    def _on_persisted(self, persist: Persist, ok: bool) -> None:
        self._apply_effects(list(persist.then))

    def _tick_consensus(self) -> None:
        now = self.machine.clock()
        if self.alive and self.inbox is None and now >= self.node.next_tick:
            self._apply_effects(self.node.tick(now))

    # As in the daemon

    def _update_voters(self, now: float) -> None:
        self.voter_sync.update(now)
        if self.handover.is_caught_up and not self.is_counted and self.node.me in self.node.voters:
            self.is_counted = True
            self.world.on_voter_counted(self)

    def run_due_tasks(self) -> None:
        """Run the daemon's periodic tasks that are due."""
        if self.inbox is not None:
            return
        now, due = self.machine.clock(), self._due_at
        self._tick_consensus()
        voters = set(self.peers.voters())
        self.node.learners = [addr for addr in self.peers.dialers if addr not in voters]
        self._update_voters(now)
        if self.node.voting:
            self.voter_sync.tick(now)
        self.lease_service.tick(now, self.peers.reachable(now), voters)
        self.reports.tick(now)
        if now >= due["ping"]:
            due["ping"] = now + HEARTBEAT_INTERVAL_S
            self.peers.send_heartbeats(now)
        if now >= due["tell"]:
            due["tell"] = now + REPORT_INTERVAL_S
            self.reports.send_heard(now)
            self.registry.expire(now)
        if now >= due["repair"]:
            due["repair"] = now + REPAIR_INTERVAL_S * self.world.rng.uniform(0.8, 1.2)
            if reachable := sorted(self.peers.reachable(now)):
                self.reports.start_repair(self.world.rng.choice(reachable), now)
        if now >= due["save"]:
            due["save"] = now + SAVE_INTERVAL_S
            if records := self.reports.unsaved(now):
                self.store.write(records, self.reports.on_saved)
        if not self.peers.is_majority_reachable(now):
            self.in_touch_since = None
        elif self.in_touch_since is None:
            self.in_touch_since = self.world.now
        self.world.check_role_holder(self)


class SimulatedFleet(EventSimulation):
    """Machines, the links between them, servers and their acknowledged states."""

    def __init__(self, seed: int, voters: int, survive: int, parts: CheckedParts) -> None:
        super().__init__(seed)
        self.parts, self.survive = parts, survive
        self.founders = [f"10.{1 + n // 2}.0.{4 + n % 2}:8407" for n in range(voters)]
        self.fleet = {addr: SimulatedMachine(self, addr) for addr in self.founders}
        self.hosts: dict[str, SimulatedController] = {}
        self.removed: set[str] = set()  # removed machines that have not been replaced among the voters
        self.newest_slot, self.voters = 0, [Voter(f"genesis/{addr}", addr) for addr in self.founders]
        self.admitted: dict[str, tuple[float, int]] = {}  # voter id -> admission time, highest earlier token
        self.blocked_links: dict[tuple[str, str], tuple[float, float]] = {}  # (sender, receiver) -> start, end
        self.broken_links: set[tuple[str, str]] = set()  # connections that have to be re-established
        self.last_arrival_at: dict[tuple[str, str], float] = {}  # link -> arrival of its last message
        self.acknowledgements: dict[str, Acknowledgement] = {}
        self.servers: dict[str, ScriptedServer] = {}
        self.held_fencing_tokens: list[int] = []
        self.unheld_s = 0.0  # time without a holder of the role
        self.all_lost_until = 0.0  # until when all machines count as lost
        self.faults_enabled = True
        self.has_unlimited_link_faults = (
            seed % 3 == 2
        )  # whether links fail without limit, which suspends some invariants
        for addr in self.founders:
            self.start(addr, True)
        self.after(CHECK_INTERVAL_S, self._check)

    # Machines

    def start(self, addr: str, bootstrap: bool = False) -> None:
        if addr in self.hosts or addr not in self.fleet:
            return
        machine = self.fleet[addr]
        if not bootstrap:
            machine.lost_until = self.now + SYNC_TIME_S
        host = self.hosts[addr] = SimulatedController(self, machine, bootstrap)
        for other in self.fleet:
            if other != addr:
                self.broken_links |= {(addr, other), (other, addr)}
        self.after(self.rng.uniform(0.0, TICK_S), self._due, host)

    def _due(self, host: SimulatedController) -> None:
        if host.alive:
            host.run_due_tasks()
            self._reconnect_links(host)
            self.after(TICK_S, self._due, host)

    def crash(self, addr: str, wiped: bool = False) -> None:
        host = self.hosts.pop(addr, None)
        if host is not None:
            host.alive = False
            host.store.crash()
        if wiped:
            self.fleet[addr].wipe()

    def freeze(self, addr: str, span_s: float) -> None:
        host = self.hosts.get(addr)
        if host is not None and host.inbox is None:
            host.inbox, host.in_touch_since = [], None
            self.after(span_s, self._thaw, host)

    def _thaw(self, host: SimulatedController) -> None:
        if host.alive:
            host.machine.lost_until = self.now + SYNC_TIME_S
            host.thaw()

    def cut(self, addr: str, others: Iterable[str], span_s: float, ways: tuple[bool, bool]) -> None:
        """Partition a machine from others for a while; `ways`: whether sending and receiving fail."""
        for other in others:
            for link, cut in zip(((addr, other), (other, addr)), ways, strict=True):
                if cut:
                    since, until = self.blocked_links.get(link, (self.now, 0.0))
                    self.blocked_links[link] = (since if until > self.now else self.now, max(until, self.now + span_s))
        machine = self.fleet[addr]
        machine.lost_until = max(machine.lost_until, self.now + span_s + SYNC_TIME_S)

    def lost(self) -> set[str]:
        """Return the machines that count as lost."""
        return {
            addr
            for addr, machine in self.fleet.items()
            if addr not in self.hosts
            or self.hosts[addr].inbox is not None
            or self.now < max(machine.lost_until, self.all_lost_until)
        } | self.removed

    def may_lose(self) -> list[str]:
        """Return the machines of which any one may be lost now."""
        lost = self.lost()
        return sorted(self.fleet.keys() - lost) if len(lost) < self.survive else []

    # Links

    def _is_open(self, link: tuple[str, str]) -> bool:
        since, until = self.blocked_links.get(link, (0.0, 0.0))
        if since <= self.now < until:
            return False
        since, until = self.blocked_links.get(link[::-1], (0.0, 0.0))
        return not since + LINK_STALL_S <= self.now < until

    def send(self, host: SimulatedController, addr: str, message: Any) -> None:
        if not host.alive:
            return
        if addr == host.addr:
            self.after(0.0, self._deliver_to_self, host, message)
            return
        link = (host.addr, addr)
        if link in self.broken_links or not self._is_open(link) or addr not in self.hosts:
            self.broken_links.add(link)
            return
        delay = self.rng.uniform(0.0005, 0.004) + (
            self.rng.uniform(0.0, 0.3) if self.rng.random() < self.delay_rate else 0.0
        )
        at = self.last_arrival_at[link] = max(self.last_arrival_at.get(link, 0.0), self.now + delay)
        self.after(at - self.now, self._arrive, host, self.hosts[addr], message)

    def _deliver_to_self(self, host: SimulatedController, message: Any) -> None:
        if host.alive:
            host.receive(host.addr, message)

    def _arrive(self, sender: SimulatedController, host: SimulatedController, message: Any) -> None:
        link = (sender.addr, host.addr)
        if not host.alive or not self._is_open(link):
            self.broken_links.add(link)
        elif link not in self.broken_links or sender.alive:
            host.receive(sender.addr, message)

    def _reconnect_links(self, host: SimulatedController) -> None:
        """Reconnect closed links; messages sent in the meantime are lost."""
        for other in self.fleet:
            link = (host.addr, other)
            if link in self.broken_links and other in self.hosts and self._is_open(link) and self._is_open(link[::-1]):
                if self.rng.random() < 0.3:
                    self.broken_links.discard(link)
                    now = host.machine.clock()
                    host.peers.send_heartbeats(now, other)
                    self.send(host, other, host.repair.offer(now))

    # Acknowledgements

    def acknowledged(self, host: SimulatedController, ident: str, rank: int = 0, epoch: int = 0) -> None:
        """Record that a controller acknowledged a server's phase (`rank`) or an operator's request (`epoch`)."""
        voters, state = host.node.voters, Acknowledgement(rank, epoch)
        # A voter that has lost its disk since may have confirmed it with that disk.
        present = [
            machine
            for voter in voters
            if (machine := self.fleet.get(voter.addr)) is not None and machine.log.content.id == voter.id
        ]
        disks = [machine.addr for machine in present if machine.has_on_disk(ident, state)]
        if 2 * (len(disks) + len(voters) - len(present)) <= len(voters):
            raise Violation(
                f"{host.addr} acknowledges a state of {ident} that only {disks} of {len(voters)} voters "
                f"have on disk"
            )
        acknowledgement = self.acknowledgements.setdefault(ident, Acknowledgement())
        if rank > acknowledgement.rank or epoch > acknowledgement.epoch:
            acknowledgement.rank, acknowledgement.epoch = (
                max(rank, acknowledgement.rank),
                max(epoch, acknowledgement.epoch),
            )
            acknowledgement.at = self.now
            self.outcomes["acknowledged"] += 1
            self.on_critical_moment()
        acknowledgement.till = self.now + RETENTION_S

    # Faults

    def on_critical_moment(self) -> None:
        """Note an event after which a fault is most critical; a fault may follow."""
        if self.faults_enabled and self.rng.random() < 0.35:
            self.after(
                self.rng.choice((0.0, 0.001, 0.003, 0.01, 0.05, 0.3, SYNC_TIME_S, SYNC_TIME_S + 0.5)), self.lose_machine
            )

    def lose_machine(self) -> None:
        """Lose one more machine, if that is permitted."""
        candidates, rng = self.may_lose(), self.rng
        if (
            self.faults_enabled
            and self.has_unlimited_link_faults
            and self.now >= self.all_lost_until
            and rng.random() < 0.5
        ):
            return self.partition_fleet()
        if not self.faults_enabled or not candidates:
            return
        addr = rng.choice(candidates)
        span_s = rng.choice((0.1, 0.5, 1.5, 4.0, 8.0))
        kind = rng.choice(("crash", "wipe", "replace", "cut", "one way", "one other", "freeze"))
        self.outcomes[kind] += 1
        if kind == "freeze":
            return self.freeze(addr, span_s)
        if kind in ("cut", "one way", "one other"):
            others = [other for other in self.fleet if other != addr]
            if kind == "one other":
                others = rng.sample(others, rng.choice((1, 1, 2)))
            ways = rng.choice(((True, False), (False, True))) if kind == "one way" else (True, True)
            return self.cut(addr, others, span_s, ways)
        self.crash(addr, kind != "crash")
        if kind == "replace":
            self._replace(addr, span_s)
        else:
            self.after(span_s, self.start, addr)

    def _replace(self, addr: str, span_s: float) -> None:
        """Remove a machine permanently, and start a new one in its place."""
        self.removed.add(addr)
        del self.fleet[addr]
        self.after(span_s, self._start_new_machine)

    def _start_new_machine(self) -> str:
        addr = f"10.9.0.{self.rng.randrange(10, 250)}:8407"
        while addr in self.fleet or addr in self.removed:
            addr = f"10.9.0.{self.rng.randrange(10, 250)}:8407"
        self.fleet[addr] = SimulatedMachine(self, addr)
        self.start(addr)
        return addr

    def retire_voter(self) -> None:
        """Replace a voter as planned: the successor starts first, then the voter leaves and stops."""
        candidates = self.may_lose()
        if not candidates:
            return
        self.outcomes["planned"] += 1
        addr = self.rng.choice(candidates)
        self._start_new_machine()
        self.after(self.rng.choice((0.0, 0.5, SYNC_TIME_S)), self._leave, addr, self.now + 20.0)

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
        else:  # no other machine has become a voter in its place
            host.machine.voting = host.node.voting = True

    def partition_fleet(self) -> None:
        """Partition the machines into two groups, and sometimes some links within a group."""
        self.outcomes["torn"] += 1
        addrs, rng, span_s = sorted(self.fleet), self.rng, self.rng.choice((1.0, 3.0, 6.0))
        group = set(rng.sample(addrs, rng.randint(1, len(addrs) - 1)))
        for addr in group:
            self.cut(addr, [other for other in addrs if other not in group], span_s, (True, True))
        for _ in range(rng.choice((0, 0, 2))):
            self.cut(*(lambda pair: (pair[0], pair[1:]))(rng.sample(addrs, 2)), span_s, (True, True))
        self.all_lost_until = self.now + span_s + SYNC_TIME_S

    def power_loss(self) -> None:
        """Crash all machines at once."""
        self.outcomes["power"] += 1
        for addr in list(self.fleet):
            self.crash(addr)
            self.after(self.rng.uniform(0.1, 1.0), self.start, addr)
        self.all_lost_until = self.now + 1.0 + SYNC_TIME_S

    # Invariants

    def on_log_advanced(self, host: SimulatedController) -> None:
        """Track the newest known slot and its voters."""
        if host.node.last_slot > self.newest_slot:
            voters = list(host.node.voters)
            self.newest_slot = host.node.last_slot
            if voters != self.voters:
                for voter in voters:
                    if voter not in self.voters:
                        self.admitted[voter.id] = self.now, max(self.held_fencing_tokens, default=0)
                self.voters = voters
                self.outcomes["changes of voters"] += 1
                self.removed &= {voter.addr for voter in voters}
                self.on_critical_moment()

    def on_voter_counted(self, host: SimulatedController) -> None:
        """Check what a new voter knows once it counts."""
        self.outcomes["newcomers"] += 1
        at, fencing_token = self.admitted.get(host.node.me.id, (0.0, 0))
        if host.handover.timed_out:
            self.outcomes["newcomers untaught"] += 1
            return
        if host.role_leases.fencing_tokens()[KEY] < fencing_token:
            raise Violation(f"{host.addr} counts without knowing fencing token {fencing_token}")
        for ident, acknowledgement in self.acknowledgements.items():
            if (
                acknowledgement.at < at
                and self.now < acknowledgement.till
                and not _covers(host.registry.get(ident, host.machine.clock()), acknowledgement)
            ):
                raise Violation(f"{host.addr} counts without knowing the acknowledged state of {ident}")

    def check_role_holder(self, host: SimulatedController) -> None:
        """Check after each message whether the controller has acquired the role."""
        fencing_token = host.role_leases.held_fencing_token(KEY, host.machine.clock())
        if fencing_token == host.fencing_token:
            return
        host.fencing_token = fencing_token
        if fencing_token is None:
            return
        others = [
            other.addr
            for other in self.hosts.values()
            if other is not host and other.role_leases.held_fencing_token(KEY, other.machine.clock()) is not None
        ]
        if others:
            raise Violation(f"{host.addr} acquires the role while {others[0]} holds it")
        if fencing_token in self.held_fencing_tokens:
            return
        if self.held_fencing_tokens and fencing_token < self.held_fencing_tokens[-1]:
            raise Violation(
                f"{host.addr} acquires the role with fencing token {fencing_token} after {self.held_fencing_tokens[-1]}"
            )
        self.held_fencing_tokens.append(fencing_token)
        self.outcomes["hands"] += 1
        self.on_critical_moment()

    def _check(self) -> None:
        self.after(CHECK_INTERVAL_S, self._check)
        role_holders = [
            host.addr
            for host in self.hosts.values()
            if host.role_leases.held_fencing_token(KEY, host.machine.clock()) is not None
        ]
        if len(role_holders) > 1:
            raise Violation(f"{' and '.join(role_holders)} hold the role")
        if not role_holders:
            self.unheld_s += CHECK_INTERVAL_S
        lost = self.lost()
        spare = self.survive - len(lost)
        for ident, acknowledgement in self.acknowledgements.items():
            if self.now < acknowledgement.till:
                if spare >= 0:
                    self._check_copies(ident, acknowledgement, lost, spare)
                self._check_usable(ident, acknowledgement)

    def _check_copies(self, ident: str, acknowledgement: Acknowledgement, lost: set[str], spare: int) -> None:
        present = [
            self.hosts[voter.addr]
            for voter in self.voters
            if voter.addr not in lost and voter.addr in self.hosts and self.hosts[voter.addr].node.me == voter
        ]
        holders = [
            host.addr for host in present if _covers(host.registry.get(ident, host.machine.clock()), acknowledgement)
        ]
        if len(holders) <= spare:
            raise Violation(
                f"{spare} more machines may be lost, but of {len(present)} voters not lost only {holders} "
                f"know the acknowledged state of {ident}"
            )
        disks = [host.addr for host in present if host.machine.has_on_disk(ident, acknowledgement)]
        if len(disks) <= spare:
            raise Violation(
                f"{spare} more machines may be lost, but of {len(present)} voters not lost only {disks} "
                f"have the acknowledged state of {ident} on disk"
            )

    def _check_usable(self, ident: str, acknowledgement: Acknowledgement) -> None:
        if self.now < self.all_lost_until:
            return
        for host in self.hosts.values():
            if (
                host.inbox is None
                and host.in_touch_since is not None
                and (self.now - max(host.in_touch_since, acknowledgement.at) >= MAX_PROPAGATION_S)
            ):
                record = host.registry.get(ident, host.machine.clock())
                if record is not None and record.usable and not _covers(record, acknowledgement):
                    raise Violation(
                        f"{host.addr} considers {ident} usable {self.now - acknowledgement.at:.1f} s after "
                        f"its leaving was acknowledged"
                    )


def _covers(record: ServerRecord | None, acknowledgement: Acknowledgement) -> bool:
    return (
        record is not None
        and PHASE_ORDER[record.phase] >= acknowledgement.rank
        and (record.retired >= acknowledgement.epoch or record.phase == "gone")
    )


class ScriptedServer:
    """A server that sends heartbeats, drains and leaves."""

    def __init__(self, world: SimulatedFleet, ident: str) -> None:
        self.world, self.ident, self.seq, self.phase = world, ident, 0, "up"
        self.said = False
        world.after(0.0, self.heartbeat)

    def heartbeat(self) -> None:
        world, rng = self.world, self.world.rng
        if self.phase == "over":
            return
        self.seq += 1
        candidates = [host for host in world.hosts.values() if host.inbox is None]
        if candidates:
            host, phase = rng.choice(candidates), self.phase
            call = ScriptedCall(b"", partial(self.on_reply, host, phase))
            if phase == "gone":
                host.call(lambda call, now: host.reports.leave(call, self.ident, now), call)
            else:
                report = Heartbeat("s", f"10.99.0.1:{9000 + int(self.ident)}", "z", "v", 2, phase, self.seq, 0)
                host.call(lambda call, now: host.reports.heartbeat(call, self.ident, report, now), call)
        world.after(SERVER_HEARTBEAT_INTERVAL_S if self.phase != "gone" else 0.3, self.heartbeat)

    def on_reply(self, host: SimulatedController, phase: str, status: int) -> None:
        if status == 200 and phase != "up":
            self.world.acknowledged(host, self.ident, PHASE_ORDER[phase])
            if phase == "gone":
                self.phase = "over"


class _Schedule:
    """One random schedule: `steps` actions of servers and operators, and faults, each followed by a wait."""

    def __init__(self, seed: int, steps: int, parts: CheckedParts, size: tuple[int, int] | None = None) -> None:
        voters, survive = size or FLEET_SIZES[seed % len(FLEET_SIZES)]
        self.steps = steps
        self.world = SimulatedFleet(seed, voters, survive, parts)
        self.count = 0

    def play(self) -> None:
        """Run the schedule to its end; raises Violation."""
        world, rng = self.world, self.world.rng
        world.delay_rate = rng.choice((0.0, 0.01, 0.05))
        for _ in range(4):
            self._start_server()
        world.run_until(3.0)
        for _ in range(self.steps):
            rng.choice(self._ACTS)(self)
            world.run_until(world.now + rng.choice((0.002, 0.02, 0.1, 0.4, 1.0, 2.0)))
        world.faults_enabled = False
        world.run_until(world.now + RECOVERY_S - HOLDER_CHECK_S)
        world.unheld_s = 0.0
        world.run_until(world.now + HOLDER_CHECK_S)
        if world.unheld_s > MAX_UNHELD_S:
            raise Violation(
                f"no controller holds the role for {world.unheld_s:.1f} s of {HOLDER_CHECK_S:g} s without faults"
            )
        if missing := [voter.addr for voter in world.voters if voter.addr not in world.hosts]:
            raise Violation(f"{', '.join(missing)} still vote but are not running")

    def _server(self) -> ScriptedServer | None:
        servers = [server for _, server in sorted(self.world.servers.items()) if server.phase in ("up", "draining")]
        return self.world.rng.choice(servers) if servers else None

    def _start_server(self) -> None:
        self.count += 1
        self.world.servers[str(self.count)] = ScriptedServer(self.world, str(self.count))

    def _drain_server(self) -> None:
        if (server := self._server()) is not None:
            server.phase = "draining"
            self._start_server()

    def _stop_server(self) -> None:
        """Stop a server, with or without announcing it."""
        if (server := self._server()) is not None:
            server.phase = self.world.rng.choice(("gone", "gone", "over"))
            self._start_server()

    def _retire_server(self) -> None:
        world, server = self.world, self._server()
        candidates = [host for host in world.hosts.values() if host.inbox is None]
        if server is None or not candidates:
            return
        host = world.rng.choice(candidates)
        if server.ident not in host.registry:
            return
        undo = world.rng.random() < 0.3
        body, epoch = msgspec.json.encode({"id": server.ident, "undo": undo, "force": True}), []
        host.call(
            host.retirements.on_call, ScriptedCall(body, partial(self._on_retire_reply, host, server.ident, epoch))
        )
        # The epoch written for this call. Once the call is answered, a majority has it or a later one.
        if (record := host.registry.get(server.ident, host.machine.clock())) is not None:
            epoch.append(record.retired)

    def _on_retire_reply(self, host: SimulatedController, ident: str, epoch: list[int], status: int) -> None:
        if status == 200 and epoch and epoch[0]:
            self.world.acknowledged(host, ident, epoch=epoch[0])

    def _lose_machine(self) -> None:
        self.world.lose_machine()

    def _replace_planned(self) -> None:
        self.world.retire_voter()

    def _lose_power(self) -> None:
        if not self.world.lost():
            self.world.power_loss()

    _ACTS = (
        _start_server,
        _drain_server,
        _drain_server,
        _stop_server,
        _retire_server,
        _retire_server,
        _lose_machine,
        _lose_machine,
        _lose_machine,
        _lose_machine,
        _replace_planned,
        _lose_power,
    )


def run(
    seeds: Iterable[int], steps: int = STEPS, parts: CheckedParts | None = None, size: tuple[int, int] | None = None
) -> Report:
    """Run one schedule of `steps` actions for each seed; `size`: (voters, permitted losses), None: by the seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, parts or CheckedParts(), size), report)
    return report


# Mutants: the code without one of its guards


class _JoinsWithoutLearning(VoterCatchUp):
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


class _AnswersAcrossVoterChange(VoterCatchUp):
    def answer(
        self,
        request: StateTransferRequest,
        registry: ServiceRegistry,
        fences: dict[str, int],
        slot: int,
        since: int,
        now: float,
    ) -> StateTransferReply | None:
        return super().answer(request, registry, fences, request.voters_slot, request.log_slot, now)


class _AnswersBeforeLearning(VoterCatchUp):
    def answer(self, request: StateTransferRequest, *args: Any) -> StateTransferReply | None:
        counts, self.is_caught_up = self.is_caught_up, True
        reply = super().answer(request, *args)
        self.is_caught_up = counts
        return reply


class _ConfirmsByAddress(replication.PendingAcknowledgements):
    def confirm(self, addr: str, ack: replication.ReplicationAck) -> list:
        return super().confirm(addr, msgspec.structs.replace(ack, voter_id=""))


class _KeepsOldVoters(replication.PendingAcknowledgements):
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


class _PersistsStaleRecords(LeavingRecords):
    """Persists learned records as they were when the answers arrived."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._learned_notes: list[Note] = []

    def learn(self, records: list[ServerRecord], now: float) -> set[str]:
        idents = super().learn(records, now)
        self._learned_notes += super().notes(idents, now)
        return idents

    def notes(self, idents: set[str], now: float) -> list[Note]:
        notes, self._learned_notes = self._learned_notes, []
        return notes


class _ForgetsEpochs(LeavingRecords):
    def _is_on_disk(self, record: ServerRecord) -> bool:
        return self.saved_progress.get(record.id, (-1, 0))[0] >= PHASE_ORDER[record.phase]


class _GrantsBeforeDisk(LeaseService):
    def _send_after_write(self, outgoing: list[Outgoing]) -> None:
        self.peers.post_all(outgoing)
        super()._send_after_write([])


class _OmitsTokenFromNote(RoleLeaseVoter):
    def take_unsaved(self) -> dict[str, str]:
        return {key: note.partition(" ")[0] for key, note in super().take_unsaved().items()}


class _IgnoresLearnedTokens(RoleLeaseVoter):
    def adopt_fencing_tokens(self, tokens: Mapping[str, int]) -> None:
        pass


class _OmitsTokenFromGrant(RoleLeaseVoter):
    def on_request(self, sender: str, request: RoleLeaseRequest, now: float) -> list[Outgoing]:
        return [
            Outgoing(addr, msgspec.structs.replace(message, highest_fencing_token=0))
            if isinstance(message, RoleLeaseGrant)
            else Outgoing(addr, message)
            for addr, message in super().on_request(sender, request, now)
        ]


class _GrantsAtOnceAsNewVoter(RoleLeaseVoter):
    def became_voter(self, now: float) -> None:
        until = self._restricted_until
        super().became_voter(now)
        self._restricted_until = until


class _GrantsWhileChanging(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        self._context.is_changing_voters = False
        return super()._may_not_grant(request)


class _GrantsToOutdatedRequesters(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        return super()._may_not_grant(msgspec.structs.replace(request, log_slot=-1))


class _GrantsWithoutVote(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        context = self._context
        is_behind = 0 <= request.log_slot < context.voters_slot
        return self.awaits_fencing_tokens or context.is_changing_voters or is_behind


class _GrantsBeforeLearning(RoleLeaseVoter):
    def _may_not_grant(self, request: RoleLeaseRequest) -> bool:
        self.awaits_fencing_tokens = False
        return super()._may_not_grant(request)


class _GrantsAtStart(RoleLeaseVoter):
    def __init__(
        self, context: RoleContext, holders: KnownHolders, keys: Any, now: float, saved_notes: dict[str, str] | None
    ) -> None:
        super().__init__(context, holders, keys, now, saved_notes or {})


class _GrantsToSeveral(RoleLeaseVoter):
    def on_request(self, sender: str, request: RoleLeaseRequest, now: float) -> list[Outgoing]:
        self.roles[request.key].until = float("-inf")
        return super().on_request(sender, request, now)


def roles_with(voter: type[RoleLeaseVoter]) -> type[RoleLeases]:
    """Return a RoleLeases class whose voter is of the given class."""
    return type(voter.__name__, (RoleLeases,), {"voter_type": voter})


def _mutant(guard: str, seed: int | None = None, why: str = "", steps: int = STEPS, **parts: Any) -> Mutant:
    return Mutant(guard, lambda seeds: run(seeds, steps, CheckedParts(**parts)), seed, why)


_CONFIRMED_FAST = "while no more are lost than allowed, a majority that is well confirms within ms"
_DISJOINT_MAJORITIES = "two majorities with nobody in common take three or five voters parted in the moment of a change"

MUTANTS = (
    _mutant("a majority that confirms", 0, pending=_CountsFewer),
    _mutant("the disk before a confirmation", 0, leaving_records=_ConfirmsFromMemory),
    _mutant("the disk before our own copy counts", 0, pending=_CountsItself),
    _mutant("the operator's epoch in what is known to be on disk", 3, leaving_records=_ForgetsEpochs),
    _mutant(
        "the id in a confirmation: by address only",
        why=f"by hand: test_discovery.Acknowledging; {_CONFIRMED_FAST}",
        pending=_ConfirmsByAddress,
    ),
    _mutant(
        "the new voters for what waits at a change",
        why=f"by hand: test_discovery.Acknowledging; {_CONFIRMED_FAST}",
        pending=_KeepsOldVoters,
    ),
    _mutant(
        "the refusal to confirm to those who may not know the voters",
        why=f"by hand: test_check_handover.ConfirmingTest; {_CONFIRMED_FAST}",
        leaving_records=_ConfirmsToAll,
    ),
    _mutant("learning before it asks to be let in", 3, handover=_JoinsWithoutLearning),
    _mutant("learning once more when it is in", 14, handover=_LearnsOnce),
    _mutant(
        "what was learned written as it is known by then",
        why="by hand: test_check_handover.NotesTest; at seed 11346 of an earlier form of the schedules",
        leaving_records=_PersistsStaleRecords,
    ),
    _mutant(
        "the wait of a voter's answer for the change of voters",
        why="by hand: test_check_handover.LearningTest; "
        "takes an acknowledgement by the voters before within the ms of a change that one of them missed",
        handover=_AnswersAcrossVoterChange,
    ),
    _mutant(
        "silence of a newcomer that has not learned to other newcomers",
        why="by hand: test_check_handover.LearningTest; takes two newcomers that learn at once",
        handover=_AnswersBeforeLearning,
    ),
    _mutant("one holder at a voter at a time", 1, role_leases=roles_with(_GrantsToSeveral)),
    _mutant(
        "the disk before a grant",
        why="by hand: test_role_leases.GrantOnDiskTest; "
        "takes a voter that ends between a grant and its write and is back within the grant's term",
        lease_service=_GrantsBeforeDisk,
    ),
    _mutant("the fence in the note on disk", 6, role_leases=roles_with(_OmitsTokenFromNote)),
    _mutant("the fences of a majority told to a newcomer", 1, role_leases=roles_with(_IgnoresLearnedTokens)),
    _mutant("the fence in a grant", 2, role_leases=roles_with(_OmitsTokenFromGrant)),
    _mutant(
        "silence of a newcomer for a term",
        why=f"by hand: test_role_leases.SeatTest; {_DISJOINT_MAJORITIES}",
        role_leases=roles_with(_GrantsAtOnceAsNewVoter),
    ),
    _mutant(
        "silence while a change of voters is open",
        why=f"by hand: test_role_leases.SeatTest; {_DISJOINT_MAJORITIES}",
        role_leases=roles_with(_GrantsWhileChanging),
    ),
    _mutant(
        "refusal to askers who may not know the voters",
        why=f"by hand: test_role_leases.SeatTest; {_DISJOINT_MAJORITIES}",
        role_leases=roles_with(_GrantsToOutdatedRequesters),
    ),
    _mutant(
        "refusal to grant without a vote",
        why=f"by hand: test_role_leases.SeatTest; {_DISJOINT_MAJORITIES}",
        role_leases=roles_with(_GrantsWithoutVote),
    ),
    _mutant(
        "refusal to grant before it has learned",
        why="by hand: test_role_leases.SeatTest; its silence for a term is longer, unless voters are lost meanwhile",
        role_leases=roles_with(_GrantsBeforeLearning),
    ),
    _mutant(
        "silence after the loss of a disk",
        why="by hand: test_role_leases.VoterTest; "
        "who loses the disk draws a new id, and is silent as a newcomer before it votes",
        role_leases=roles_with(_GrantsAtStart),
    ),
)
