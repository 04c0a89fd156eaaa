"""Controllers and gateways of the model check: the real code on simulated time, disks and links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from crowseam.configuration.model import Configuration
from crowseam.configuration.routing import Table
from crowseam.consensus.messages import Voter
from crowseam.controller.durable_state import CAUGHT_UP_ON_OPERATIONS_KEY, StoredRecord
from crowseam.controller.operation_service import OperationService
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.keyed_requests import KeyedRequests
from crowseam.operations.claims import OperationClaims
from crowseam.operations.messages import (
    ClaimDecision,
    OperationClaim,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
)
from crowseam.settings import Bind, Bounds, Limits, Settings
from crowseam.storage.records import Note, OperationRow

World = Any  # `world.World`, which imports this module

KEY_WINDOW_S = 5.0
SYNC_S = 0.002
SESSION_SILENCE_S = 0.6  # longest time until a gateway leaves an unreachable controller
RECONNECT_S = 0.2
TICK_S = 0.05
CONFIGURATION = b"""{"ver":"00000001","parent":"00000000","objs":[
{"type":"routes","meta":{"name":"orders"},"spec":{"vhost":"h","prefix":"/","kind":"idem","timeout":"2000ms",
"target_time":"800ms","prio":0,"svc":"s","tries":2,"public":true}},
{"type":"svcs","meta":{"name":"s"},"spec":{"hc_path":"/"}}]}"""
SERVERS = [ServerRecord(f"i-{number}", "s", f"10.9.0.{number}:80", "z", "v", 16) for number in (1, 2, 3)]


class Process:
    """One run of a process: the part of the event loop interface that the code under check uses."""

    def __init__(self, world: World, addr: str) -> None:
        self.world = world
        self.addr = addr
        self.is_alive = True

    def time(self) -> float:
        """The loop's time in seconds."""
        return self.world.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        """Call `call` after `delay` seconds, unless the process has ended by then."""
        timer = Timer()
        self.world.after(max(0.0, delay), self._run, timer, call, args)
        return timer

    def call_at(self, due_at: float, call: Callable[..., object], *args: Any) -> Timer:
        """Call `call` at a time of the loop."""
        return self.call_later(due_at - self.world.now, call, *args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> Timer:
        """Call `call` in the next iteration."""
        return self.call_later(0.0, call, *args)

    def _run(self, timer: Timer, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        if not self.is_alive or timer.is_cancelled:
            return
        if self.world.is_frozen(self.addr):
            self.world.postponed.setdefault(self.addr, []).append((self._run, timer, call, args))
        else:
            call(*args)


class Timer:
    """A scheduled call."""

    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_cancelled = True


class Disk:
    """A controller's disk: synced rows are durable, others may be lost with the power."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rows: dict[str, bytes] = {}
        self.notes: dict[str, bytes] = {}
        self.is_full = False
        self.hangs_until = 0.0
        self.voter_id = ""

    def wipe(self) -> None:
        """Lose everything, including the voter id."""
        self.rows, self.notes, self.voter_id = {}, {}, ""

    def apply(self, records: list[StoredRecord]) -> None:
        """Apply records."""
        for record in records:
            rows = self.rows if isinstance(record, OperationRow) else self.notes
            assert isinstance(record, OperationRow | Note)
            if record.value is None:
                rows.pop(record.key, None)
            else:
                rows[record.key] = record.value


class Store:
    """The part of `ControllerStore` that the operation service uses."""

    def __init__(self, process: Process, disk: Disk, is_founder: bool) -> None:
        self.process = process
        self.disk = disk
        self.was_caught_up_on_operations = is_founder or (
            disk.notes.get(CAUGHT_UP_ON_OPERATIONS_KEY, b"").decode() == disk.voter_id
        )
        self.unsynced: list[list[StoredRecord]] = []

    def operations(self) -> list[bytes]:
        """The operation records on the disk."""
        return list(self.disk.rows.values())

    def write(self, records: list[StoredRecord], done: Callable[[bool], None]) -> None:
        """Write records, and call `done` once they are synced or have failed."""
        self.unsynced.append(records)
        world = self.process.world
        delay = SYNC_S * world.rng.uniform(0.8, 1.5) + max(0.0, self.disk.hangs_until - world.now)
        due_at = max(world.now + delay, getattr(self, "_last_at", 0.0))  # writes complete in order
        self._last_at = due_at
        world.after(due_at - world.now, self._synced, records, done)

    def _synced(self, records: list[StoredRecord], done: Callable[[bool], None]) -> None:
        if not self.process.is_alive:
            return
        self.unsynced.remove(records)
        if not self.disk.is_full:
            self.disk.apply(records)
        self.process.call_soon(done, not self.disk.is_full)

    def lose_power(self) -> None:
        """Keep a random prefix of the unsynced writes."""
        count = self.process.world.rng.randint(0, len(self.unsynced))
        for records in self.unsynced[:count]:
            self.disk.apply(records)


class Node:
    """The part of the consensus node that the operation service uses: the voters known to this controller."""

    def __init__(self, me: Voter) -> None:
        self.me = me
        self.voting = True
        self.voters: list[Voter] = []
        self.last_slot = 0
        self.voters_slot = 0


class Peers:
    """The links to other controllers, as the operation service uses them."""

    def __init__(self, world: World, process: Process, node: Node) -> None:
        self.world = world
        self.process = process
        self.node = node
        self.me = node.me.addr

    def voter_ids(self) -> dict[str, str]:
        """Ids of the voters, by address."""
        return {voter.addr: voter.id for voter in self.node.voters}

    def reachable(self, _: float) -> set[str]:
        """Addresses of the running controllers to which links are open in both directions."""
        return {
            addr
            for addr, controller in self.world.controllers.items()
            if controller.is_up and self.world.is_open(self.me, addr) and self.world.is_open(addr, self.me)
        }

    def post(self, addr: str, message: object) -> None:
        """Send a message to a controller, possibly this one."""
        if addr == self.me:
            self.process.call_soon(self.world.controllers[addr].receive, self.me, message)
        else:
            self.world.send(self.me, addr, message)

    def post_all(self, outgoing: list[tuple[str, object]]) -> None:
        """Send messages, given with their addresses."""
        for addr, message in outgoing:
            self.post(addr, message)


class Session:
    """A gateway's session, as the operation service uses it."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway


class Controller:
    """A machine with a controller: its disk, and its current process if any."""

    service_type = OperationService

    def __init__(self, world: World, addr: str, is_founder: bool) -> None:
        self.world = world
        self.addr = addr
        self.disk = Disk(world)
        self.is_founder = is_founder
        self.process: Process | None = None
        self.incarnation = 0

    @property
    def is_up(self) -> bool:
        """Whether the process runs and is not frozen."""
        return self.process is not None and not self.world.is_frozen(self.addr)

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        if not self.disk.voter_id:
            self.disk.voter_id = f"{self.addr}#{self.incarnation}"
        self.process = Process(self.world, self.addr)
        self.node = Node(Voter(self.disk.voter_id, self.addr))
        self.peers = Peers(self.world, self.process, self.node)
        self.store = Store(self.process, self.disk, self.is_founder and self.disk.voter_id.endswith("#1"))
        settings = Settings(
            "h",
            "10.0.0.1",
            "z",
            (1, 2),
            [],
            bounds=Bounds(key_window=f"{KEY_WINDOW_S}s"),
            limits=Limits(disk_mb=self.world.disk_mb),
        )
        first_number = self.incarnation << 32
        self.service = self.service_type(settings, self.peers, self, self.store, first_number, self.world.now)
        self.handlers: dict[type, Callable[[str, Any, float], None]] = dict(self.world.routes(self.service))
        self.learn_slot(self.world.slot_known.get(self.addr, 0))
        self._tick()

    def end(self, power: bool = False) -> None:
        """End the process; a loss of power may lose unsynced writes."""
        if self.process is None:
            return
        if power:
            self.store.lose_power()
        else:
            for records in self.store.unsynced:
                self.disk.apply(records)
        self.process.is_alive = False
        self.process = None

    def learn_slot(self, slot: int) -> None:
        """Learn the log up to this slot, and the voters at it."""
        self.world.slot_known[self.addr] = max(slot, self.world.slot_known.get(self.addr, 0))
        if self.process is not None and slot >= self.node.last_slot:
            self.node.last_slot = self.node.voters_slot = slot
            self.node.voters = [Voter(name, addr) for addr, name in sorted(self.world.voters_at[slot].items())]

    def forward(self, gateway: str, message: ClaimDecision | OperationSettled) -> None:
        """Send to a gateway that has a session with this controller."""
        self.world.answer_gateway(self.addr, gateway, message)

    def receive(self, sender: str, message: object) -> None:
        """Handle a message of another controller."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(sender, message, self.world.now)

    def receive_call(self, gateway: str, message: object) -> None:
        """Handle a gateway's message."""
        session = Session(gateway)
        match message:
            case OperationClaim():
                self.service.on_claim(session, message, self.world.now)
            case OperationEnd():
                self.service.on_end(session, message, self.world.now)
            case OperationWithdrawal():
                self.service.on_withdrawal(session, message, self.world.now)

    def _tick(self) -> None:
        assert self.process is not None
        self.service.tick(self.world.now)
        self.process.call_later(TICK_S, self._tick)


class GatewayMachine:
    """A machine with the real gateway; servers, clients and its session are simulated."""

    gateway_type = Gateway
    claims_type = OperationClaims
    keyed_requests_type = KeyedRequests

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.incarnation = 0
        self.process: Process | None = None
        self.controller = ""
        self.session = 0

    def start(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        process = self.process = Process(self.world, self.name)
        settings = Settings(self.name, "10.0.0.2", "z", (1, 2), [], bind=Bind(), bootstrap=True)
        self.gateway = self.gateway_type(process, settings, self.world.rng, 64)
        self.gateway.budget.set_gateway_count(1, self.world.now)
        self.gateway.configure(Table(Configuration.from_put(CONFIGURATION)))
        self.gateway.update_servers(SERVERS, True)
        self.gateway.backends.begin = self._begin_exchange
        claims = self.claims_type(self.name, self.incarnation)
        self.keyed_requests = self.keyed_requests_type(process, self.world.rng, claims, self._send)
        self.gateway.keyed_requests = self.keyed_requests
        self.controller = ""
        self._tick()
        self._connect()

    def end(self) -> None:
        """End the process, which closes its clients' connections."""
        if self.process is None:
            return
        self.process.is_alive = False
        self.process = None
        self.world.gateway_ended(self)

    def _tick(self) -> None:
        assert self.process is not None
        self.keyed_requests.tick(self.world.now)
        self.process.call_later(0.1, self._tick)

    # The session with a controller

    def _connect(self) -> None:
        process = self.process
        assert process is not None
        candidates = [
            addr
            for addr, controller in self.world.controllers.items()
            if controller.is_up and self.world.is_open(self.name, addr) and self.world.is_open(addr, self.name)
        ]
        if not candidates:
            process.call_later(RECONNECT_S, self._connect)
            return
        self.controller = self.world.rng.choice(sorted(candidates))
        self.session += 1
        process.call_later(0.002, self.keyed_requests.on_connected)
        self._check_session(self.session)

    def _check_session(self, session: int) -> None:
        """Reconnect when the controller is down or unreachable."""
        if session != self.session or self.process is None:
            return
        controller = self.world.controllers[self.controller]
        both_open = self.world.is_open(self.name, self.controller) and self.world.is_open(self.controller, self.name)
        if controller.is_up and both_open and self.world.rng.random() > 0.002:
            self.process.call_later(0.1, self._check_session, session)
            return
        self.controller = ""
        self.session += 1
        pause_s = self.world.rng.choice((0.1, SESSION_SILENCE_S)) * self.world.rng.random()
        self.process.call_later(pause_s, self._connect)

    def _send(self, message: object) -> None:
        if self.controller:
            self.world.call_controller(self, message)

    def receive(self, message: object) -> None:
        """Handle a controller's message."""
        if isinstance(message, ClaimDecision):
            self.keyed_requests.on_decision(message)
        elif isinstance(message, OperationSettled):
            self.world.observe_settled(self, message.number)
            self.keyed_requests.on_settled(message)

    def _begin_exchange(self, exchange: Any, ident: str) -> None:
        self.world.connect_to_server(self, exchange, ident)
