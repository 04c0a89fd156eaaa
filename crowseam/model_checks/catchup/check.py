"""Model check of catching up: the real Node over links that have a rate and keep order.

`run` plays seeded random schedules: states from nothing to megabytes, members behind 2 Mbit/s that restart,
come back after minutes, start empty, are cut off in the middle of a transfer or lose its source, while
changes go on. It watches, besides what `crowseam.model_checks.agreement.check` does,

- that each member is up to date within a stated time and number of bytes once the faults end, though changes
  go on;
- that no member's state goes back, and none votes on a slot before it knows all earlier ones;
- that signs of life never wait longer than `SIGNS` s behind a transfer;
- that what is kept in memory, in records and written to disk stays within bounds.

Times are seconds, sizes bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from msgspec.structs import replace

from crowseam.consensus.acceptor import Acceptor
from crowseam.consensus.catch_up import CatchUp
from crowseam.consensus.client_requests import ClientRequest, RequestQueue
from crowseam.consensus.effects import Effect, Persist
from crowseam.consensus.errors import ConsensusError
from crowseam.consensus.messages import (
    Accepted,
    CatchUpRequest,
    ChosenEntries,
    ConfigurationEntry,
    Message,
    Promise,
    Snapshot,
    SnapshotChunk,
    SnapshotChunkRequest,
    SnapshotOffer,
    decode,
    encode,
)
from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import ReadReady
from crowseam.consensus.proposer import Proposer
from crowseam.consensus.records import ChosenRecord, Record, SnapshotRecord
from crowseam.consensus.replicated_log import ReplicatedLog
from crowseam.consensus.snapshot_exchange import SnapshotExchange
from crowseam.consensus.snapshot_transfer import (
    MAX_CACHED_SNAPSHOTS,
    CompressedSnapshot,
    SnapshotCache,
    SnapshotDownload,
)
from crowseam.consensus.timing import Timing
from crowseam.model_checks.agreement.check import Host, Ledger, Order, World
from crowseam.model_checks.agreement.parts import node_with
from crowseam.model_checks.schedules import Mutant, Report, Violation, play

STEPS = 8  # acts of fate in a schedule
SLOW, FAST = 250_000, 12_500_000  # bytes/s of a link: 2 and 100 Mbit/s
PING = 0.25  # s between signs of life, as in the daemons
SIGN = 60  # bytes of one
SIGNS = 0.6  # s that one may wait in line; a controller counts as silent after 1.1
SIZES = (0, 0, 20_000, 300_000, 300_000, 3_700_000)  # bytes that a state has besides what the model needs
BODIES = (0, 300, 300, 1_000)  # bytes of a change
SEALS = 24  # sealings of its state by one member between two starts
SPARE = 12.0  # s to be up to date in, besides what the bytes take
WASTE = 2.5  # how often the bytes of a state and of the log behind it may come to one member


def kept_most(timing: Timing) -> int:
    """Entries of the log that a member may keep: a fetch holds up the cut, which is made each half of
    `keep_most` slots."""
    return 2 * timing.max_kept_slots + timing.max_kept_slots // 2 + 8


class Padded:
    """The ledger with a state as large as a real one; the bytes tell of which version they are."""

    def __init__(self, ledger: Ledger, size: int) -> None:
        self.ledger, self.size = ledger, size

    def __getattr__(self, name: str) -> Any:
        return getattr(self.ledger, name)

    def _padding(self) -> bytes:
        return f"{self.ledger.ver:016x}".encode() * (self.size // 16)

    def snapshot(self) -> bytes:
        """The state and its padding."""
        return self._padding() + self.ledger.snapshot()

    def restore(self, state: bytes) -> None:
        """Take the state, which must be all of one version."""
        size = self.size // 16 * 16 if state else 0
        self.ledger.restore(bytes(state[size:]))
        if state and bytes(state[:size]) != self._padding():
            raise Violation("a state is joined from two")


class Patch(Order, frozen=True):
    """An operator's change with a body."""

    size: int = 0

    def judge(self, tag: str) -> Callable[[Ledger], Any]:
        """As any other order, as a patch of `size` bytes."""
        look = super().judge(tag)

        def sized(ledger: Ledger) -> Any:
            verdict = look(ledger)
            if isinstance(verdict, ConfigurationEntry):
                return ConfigurationEntry(tag, self.ver, self.parent, False, bytes(self.size), verdict.digest)
            return verdict

        return sized


class WatchedLog(ReplicatedLog):
    """The log of a watched node, which may compress its state only so often."""

    _compressed = 0

    def compressed_snapshot(self) -> CompressedSnapshot:
        """As the log, but that too many of them are a fault."""
        self._compressed += 1
        if self._compressed > SEALS:
            raise Violation(f"{self._context.me.addr} has compressed its state {SEALS} times")
        return super().compressed_snapshot()


class Watched(Node):
    """The node, watched after each thing it does."""

    size = 0  # bytes that its state is padded by; set by the world that makes it
    _was = 0
    log_type = WatchedLog

    def __init__(self, me: Any, durable: Any, machine: Ledger, *args: Any, **kwargs: Any) -> None:
        super().__init__(me, durable, Padded(machine, self.size), *args, **kwargs)
        self._was = self.last_slot

    def handle(self, sender: str, message: Message, now: float) -> list[Effect]:
        """As the node, but that what it can't bear is a fault."""
        try:
            return super().handle(sender, message, now)
        except ConsensusError as error:
            raise Violation(f"{self.me.addr}: {error}") from None

    @property
    def download(self) -> SnapshotDownload | None:
        """The snapshot that is being downloaded."""
        return self._exchange.download

    @property
    def cache(self) -> SnapshotCache:
        """The snapshots that others download from here."""
        return self._exchange.cache

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        if self.last_slot < self._was:
            raise Violation(f"{self.me.addr} went back from slot {self._was} to {self.last_slot}")
        self._was = self.last_slot
        for effect in effects:
            for send in effect.then if isinstance(effect, Persist) else ():
                if isinstance(send.message, Promise | Accepted) and send.message.slot > self.last_slot + 1:
                    raise Violation(f"{self.me.addr} votes on {send.message.slot}, knowing {self.last_slot}")
        download = self.download
        if download is not None and download.slot > self.last_slot and download.size:
            if sum(map(len, download.chunks.values())) > download.size:
                raise Violation("more is kept of a transfer than it has bytes")
        timing = self._context.timing
        slots, size = self.last_slot + 1 - self.first_slot, self._log.size_bytes
        if size > timing.max_log_bytes + 2 * timing.max_run_bytes or slots > kept_most(timing):
            raise Violation(f"{self.me.addr} keeps a log of {slots} slots, {size} bytes")
        if len(self.cache.snapshots) > MAX_CACHED_SNAPSHOTS:
            raise Violation(f"{self.me.addr} keeps {len(self.cache.snapshots)} compressed snapshots")
        return super()._finish(effects)


class Site(World):
    """Members behind links that have a rate, keep the order and lose what is under way when they are cut."""

    def __init__(self, seed: int, node_class: type[Watched], size: int, timing: Timing) -> None:
        self.size = size
        self.slow: set[str] = set()
        self.flaw = 0.0  # chance that a part comes with a wrong byte
        self.free: dict[tuple[str, str], float] = {}
        self.came: dict[str, int] = {}  # bytes of state and log that came to each
        self.written: dict[str, list[int]] = {}  # bytes of each whole state written by each
        self.signs = 0.0  # s, the longest that a sign of life has waited
        sized = type(node_class.__name__, (node_class,), {"size": size})
        super().__init__(seed, ["m0", "m1", "m2"], sized, timing)
        self.after(0.0, self._ping_all)

    # Links

    def rate(self, a: str, b: str) -> int:
        """Bytes/s between two members."""
        return SLOW if a in self.slow or b in self.slow else FAST

    def _line(self, a: str, b: str, size: int) -> tuple[float, float]:
        """When so many bytes are there, and how long they wait before their turn."""
        wait = max(0.0, self.free.get((a, b), 0.0) - self.now)
        self.free[a, b] = self.now + wait + size / self.rate(a, b)
        return self.free[a, b] - self.now + 0.002, wait

    def carry(self, what: Callable, *args: Any) -> None:
        """A message goes out, in line behind what went before."""
        sender, addr, life, data, stamp = args
        if frozenset((sender, addr)) in self.cut or self.rng.random() < self.loss:
            return
        delay, _ = self._line(sender, addr, len(data))
        if self.flaw and b"c.part" in data[:10] and self.rng.random() < self.flaw:
            part = decode(data)
            if part.data:
                wrong = bytes([part.data[0] ^ 1]) + part.data[1:]
                data = encode(SnapshotChunk(part.slot, part.digest, part.size, part.offset, wrong))
        self.after(delay, self._arrive, what, sender, addr, life, data, stamp)

    def _arrive(self, what: Callable, sender: str, addr: str, life: Any, data: bytes, stamp: Any) -> None:
        if any(tag in data[:14] for tag in (b"c.part", b"c.snapshot", b"c.chosen")):
            self.came[addr] = self.came.get(addr, 0) + len(data)
        what(sender, addr, life, data, stamp)

    def _ping_all(self) -> None:
        live = [host for host in self.hosts.values() if host.node is not None]
        for host in live:
            voters = {voter.addr for voter in host.node.voters}
            host.node.learners = [addr for addr in self.hosts if addr not in voters and addr != host.addr]
            for other in live:
                if other is not host and frozenset((host.addr, other.addr)) not in self.cut:
                    delay, wait = self._line(host.addr, other.addr, SIGN)
                    self.signs = max(self.signs, wait)
                    if wait > SIGNS:
                        raise Violation(f"a sign of life to {other.addr} waits for {wait:.2f} s")
                    self.after(delay, self._pinged, host.addr, other.addr, host.node.last_slot)
        self.after(PING, self._ping_all)

    def _pinged(self, sender: str, addr: str, last: int) -> None:
        host = self.hosts[addr]
        if host.node is not None and frozenset((sender, addr)) not in self.cut:
            self._call(host, host.node.observe_slot, sender, last)

    def start(self, addr: str, bootstrap: bool = False) -> None:
        """Start a machine, whose links are new."""
        for key in [key for key in self.free if addr in key]:
            del self.free[key]
        super().start(addr, bootstrap)
        self._watch_disk(self.hosts[addr])

    def _watch_disk(self, host: Host) -> None:
        write = type(host.disk).write

        def watched(records: Iterable[Record]) -> None:
            records = list(records)
            write(host.disk, records)
            for record in records:
                if isinstance(record, SnapshotRecord):
                    self.written.setdefault(host.addr, []).append(record.slot)
            most = kept_most(self.timing)
            if (
                any(isinstance(r, ChosenRecord | SnapshotRecord) for r in records)
                and len(host.disk.content.chosen) > most
            ):
                raise Violation(f"{host.addr} keeps {len(host.disk.content.chosen)} entries on its disk")

        host.disk.write = watched

    def live(self) -> list[Host]:
        """The machines that are up."""
        return [host for host in self.hosts.values() if host.node is not None]

    def sealed(self) -> int:
        """Bytes of a state, at the most, as it travels."""
        return self.size + 40 * len(self.vers) + 2000


class _Schedule:
    """Changes go on while `steps` acts of fate befall members one at a time; then no more faults."""

    def __init__(self, seed: int, steps: int, node_class: type[Watched]) -> None:
        chance = Random(f"catchup/{seed}")
        long = seed % 16 == 7
        self.body = chance.choice(BODIES[:3] if long else BODIES)
        self.pause = 0.03 if long else chance.choice((0.03, 0.1, 0.1, 0.3))
        self.changes = 1000 if long else chance.choice((60, 120, 250))
        size = chance.choice(SIZES)
        timing = Timing(
            poll_all_voters=False,
            kept_slots=chance.choice((8, 64)),
            compression_level=0,
            max_kept_slots=chance.choice((128, 1024)),
            join_interval_s=0.3,
        )
        self.steps = steps
        self.node_class = node_class
        self.world = Site(seed, node_class, size, timing)
        self.world.flaw = chance.choice((0.0, 0.0, 0.02))
        self.world.loss = chance.choice((0.0, 0.0, 0.01))
        self.world.slow = set(chance.sample(["m0", "m1", "m2", "m3", "m4"], chance.choice((1, 2))))
        self.ver = 0
        self.flowing = True
        self.joined = 3

    # Operators

    def _flow(self) -> None:
        world = self.world
        live = world.live()
        if self.flowing and live and max(world.chosen, default=0) < self.changes:
            self.ver += 1
            parent = world.vers[max(world.vers)]
            order = Patch(self.ver, parent, size=self.body)
            world.submit(world.rng.choice(live).addr, f"c{self.ver}", order, 2.0)
            if self.ver % 4 == 0:  # and once more elsewhere, as if no answer had come
                again = world.rng.choice(live).addr
                world.after(world.rng.uniform(0.0, 0.05), world.submit, again, f"c{self.ver}.1", order, 2.0)
            if self.ver % 5 == 0:
                world.read(world.rng.choice(live).addr, f"r{self.ver}")
        world.after(self.pause * world.rng.uniform(0.5, 1.5), self._flow)

    # Fate, one member at a time

    def _down(self, lose: bool, span: float) -> None:
        world = self.world
        addr = world.rng.choice([host.addr for host in world.live()])
        if len(world.live()) < 3 or (lose and not world.may_lose(addr)):
            return
        world.crash(addr, lose)
        world.run_until(world.now + span)
        world.start(addr)

    def _restart(self) -> None:
        self._down(False, self.world.rng.choice((0.5, 2.0, 20.0)))

    def _long_away(self) -> None:
        self._down(False, self.world.rng.choice((60.0, 150.0)))

    def _wipe(self) -> None:
        self._down(True, self.world.rng.choice((0.5, 5.0)))

    def _add(self) -> None:
        world = self.world
        if self.joined < 5:
            world.start(f"m{self.joined}")
            self.joined += 1

    def _cut(self) -> None:
        world = self.world
        addr = world.rng.choice([host.addr for host in world.live()])
        pairs = [frozenset((addr, other)) for other in world.hosts if other != addr]
        world.cut.update(pairs)
        world.run_until(world.now + world.rng.choice((0.5, 3.0, 15.0)))
        world.cut.difference_update(pairs)

    def _during(self) -> Host | None:
        """Wait for a transfer that has begun; who receives it."""
        world = self.world
        for _ in range(40):
            for host in world.live():
                if host.node.download is not None and host.node.download.chunks:
                    return host
            world.run_until(world.now + 0.05)
        return None

    def _cut_transfer(self) -> None:
        world, host = self.world, self._during()
        if host is None:
            return
        pairs = [frozenset((host.addr, other)) for other in world.hosts if other != host.addr]
        if world.rng.random() < 0.5:
            pairs = [frozenset((host.addr, host.node.download.source))]
        world.cut.update(pairs)
        world.run_until(world.now + world.rng.choice((0.5, 2.0, 8.0)))
        world.cut.difference_update(pairs)

    def _kill_source(self) -> None:
        world, host = self.world, self._during()
        if host is None or len(world.live()) < 3:
            return
        addr, flaw = host.node.download.source, world.flaw
        target = host.node.download.slot
        able = [
            other for other in world.live() if other.addr not in (addr, host.addr) and other.node.last_slot >= target
        ]
        world.crash(addr)
        if not able or world.rng.random() < 0.5:
            world.run_until(world.now + world.rng.choice((0.3, 3.0)))
            world.start(addr)
            return
        # The others still have a state.
        world.flaw, span = 0.0, SPARE + 2 * world.sealed() / SLOW
        world.run_until(world.now + span)
        if host.node.last_slot < target:
            raise Violation(
                f"{host.addr} is at slot {host.node.last_slot}, not at {target}, {span:.0f} s after "
                "its source has died"
            )
        world.flaw = flaw
        world.start(addr)

    _ACTS = (_restart, _restart, _long_away, _wipe, _wipe, _add, _add, _cut, _cut_transfer, _kill_source)

    def play(self) -> None:
        world = self.world
        world.run_until(1.0)
        self._flow()
        for _ in range(self.steps):
            world.run_until(world.now + world.rng.choice((0.5, 2.0, 6.0)))
            world.rng.choice(self._ACTS)(self)
        self._calm()
        if world.size >= 300_000:
            self._newcomer()
        self._bounds()

    # What must hold in the end

    def _calm(self) -> None:
        """No more faults, but more changes: all are up to date within the time and bytes stated."""
        world = self.world
        world.loss = world.flaw = 0.0
        world.cut.clear()
        for host in world.hosts.values():
            world.start(host.addr)
        self.changes = max(world.chosen, default=0) + 200
        target, began = max(world.chosen, default=0), world.now
        world.came = {}
        log = 40 * (self.body + 300) * 8
        most = WASTE * world.sealed() + 2 * (self.body + 300) * (target + 200) + log
        span = SPARE + most / SLOW
        behind = world.live()
        while behind and world.now < began + span:
            world.run_until(world.now + 0.5)
            behind = [host for host in world.live() if host.node.last_slot < target]
        if behind:
            host = behind[0]
            raise Violation(
                f"{host.addr} is at slot {host.node.last_slot}, not at {target}, {span:.0f} s after " "the last fault"
            )
        for addr, came in world.came.items():
            if came > most:
                raise Violation(f"{came} bytes came to {addr}, {most:.0f} are enough")
        self._rest()

    def _newcomer(self) -> None:
        """An empty member behind a thin link takes one state and then the log, though changes go on."""
        world = self.world
        world.slow.add("new")
        took = world.sealed() / SLOW
        count = min(200, 3 * world.timing.max_kept_slots // 2)
        self.changes = max(world.chosen) + count
        self.pause = max(0.03, took / count)
        self.flowing, world.came = True, {}
        target, most = max(world.chosen), 1.2 * world.sealed() + 3 * count * (self.body + 300)
        world.start("new")
        world.run_until(world.now + SPARE / 2 + 1.2 * most / SLOW)
        host = world.hosts["new"]
        if host.node.last_slot < target:
            raise Violation(f"a new member is at slot {host.node.last_slot}, not at {target}")
        if world.came["new"] > most:
            raise Violation(f"{world.came['new']} bytes came to a new member, {most:.0f} are enough")
        self._rest()

    def _rest(self) -> None:
        """No more changes: all can read, and know the same."""
        world = self.world
        self.flowing = False
        world.run_until(world.now + 10.0)
        tag = f"end{len(world.hosts)}"
        for host in world.live():
            world.read(host.addr, f"{tag}/{host.addr}")
        world.run_until(world.now + 1.5)
        for host in world.live():
            if not isinstance(world.answers.get(f"{tag}/{host.addr}"), ReadReady):
                raise Violation(f"{host.addr} cannot read in calm times")
        world.outcomes["slots"] += max(world.chosen, default=0)

    def _bounds(self) -> None:
        world = self.world
        slots = max(world.chosen, default=0)
        bodies = [len(entry.body) for entry in world.chosen.values() if isinstance(entry, ConfigurationEntry)]
        world.outcomes["bytes of changes"] += sum(bodies)
        world.run_until(world.now + world.timing.snapshot_retention_s + 1.0)
        for host in world.live():
            if host.node.cache.snapshots:
                raise Violation(f"{host.addr} keeps a compressed snapshot that nobody asks for")
            if host.node.download is not None:
                raise Violation(f"{host.addr} still fetches")
        if world.size < 100_000:
            return
        grown = slots * (self.body + 200) // (world.size // 4) + slots // (world.timing.max_kept_slots // 2)
        for addr, written in world.written.items():
            # Each life begins with at most one state that it did not have.
            most = 2 + world.hosts[addr].life * 2 + 2 * self.steps + 2 * grown
            if len(written) > most:
                raise Violation(f"{addr} wrote the whole state {len(written)} times for {slots} slots")


def run(seeds: Iterable[int], steps: int = STEPS, node_class: type[Watched] = Watched) -> Report:
    """Play one random schedule of `steps` acts for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, node_class), report)
    return report


# The code without one of its guards


class _AnyParts(SnapshotDownload):
    def belongs_to_snapshot(self, chunk: SnapshotChunk) -> bool:
        return True


class _NoWindow(SnapshotDownload):
    def next_requests(self) -> list[SnapshotChunkRequest]:
        self.window = 1 << 30
        return super().next_requests()


class _NoMove(SnapshotDownload):
    def switch_source(self, now: float) -> None:
        self.progress_checked_at = now


class _AnySealed(SnapshotCache):
    def find(self, slot: int, digest: bytes, now: float) -> CompressedSnapshot | None:
        return self.snapshots[-1] if self.snapshots else None


class _NeverExpires(SnapshotCache):
    def expire(self, now: float) -> None:
        pass

    def next_expiry(self) -> float:
        return float("inf")


class _Unbounded(SnapshotCache):
    def add(self, snapshot: CompressedSnapshot) -> CompressedSnapshot:
        self.snapshots.append(snapshot)
        return snapshot


class _TakesAnyPart(SnapshotExchange):
    download_type = _AnyParts


class _Unwindowed(SnapshotExchange):
    download_type = _NoWindow


class _Loyal(SnapshotExchange):
    download_type = _NoMove


class _CompressesForEach(SnapshotExchange):
    def _requested_snapshot(self, request: SnapshotChunkRequest) -> CompressedSnapshot | None:
        if not request.digest:
            return self.cache.add(self._log.compressed_snapshot())
        return super()._requested_snapshot(request)


class _CompressesAll(Watched):
    cache_type = _Unbounded
    exchange_type = _CompressesForEach


class _Gullible(SnapshotDownload):
    def is_intact(self, data: bytes) -> bool:
        return True


class _NoDigest(SnapshotExchange):
    download_type = _Gullible


class _BeginsAnew(SnapshotExchange):
    def on_offer(self, sender: str, offer: SnapshotOffer) -> list[Effect]:
        if self.download is not None and offer.last_slot > max(self._log.last_slot, self.download.slot):
            return self._begin(sender)
        return super().on_offer(sender, offer)


class _CompressesAnew(SnapshotExchange):
    """Keeps nothing: each chunk is of the state as it is when the chunk is requested."""

    def _requested_snapshot(self, request: SnapshotChunkRequest) -> CompressedSnapshot | None:
        self.cache.snapshots.clear()
        is_current = not request.digest or request.slot == self._log.last_slot
        return self._log.compressed_snapshot() if is_current else None


class _AllAtOnce(CatchUp):
    def reply_from(self, slot: int, request: CatchUpRequest | None = None) -> ChosenEntries | Snapshot | SnapshotOffer:
        return self._log.snapshot() if slot < self._log.first_slot else super().reply_from(slot, request)


class _TellsUnasked(CatchUp):
    def reply_from(self, slot: int, request: CatchUpRequest | None = None) -> ChosenEntries | Snapshot | SnapshotOffer:
        return super().reply_from(slot, request or CatchUpRequest(slot, True))


class _LongRuns(Watched):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._context.timing = replace(self._context.timing, max_run_bytes=1 << 20)


class _AsksAgain(CatchUp):
    def request_from(self, addr: str) -> list[Effect]:
        self._log.highest_known_slot = self._log.last_slot
        return super().request_from(addr)


class _VotesBehind(Acceptor):
    def _redirect(self, sender: str, slot: int) -> list[Effect] | None:
        log = self._log
        return super()._redirect(sender, min(slot, log.last_slot + 1) if log.voters else slot)


class _ServesBehind(Proposer):
    def advance(self) -> list[Effect]:
        self._requests.confirm_through(self._requests.last_sequence)
        return super().advance()


class _JudgesBehind(RequestQueue):
    """Answers what it evaluates on its own state, without knowing that this is current."""

    def evaluate(self, request: ClientRequest) -> Any:
        request.is_confirmed = True
        return super().evaluate(request)


class _CutsLog(WatchedLog):
    def _may_drop_oldest(self) -> bool:
        (cache,) = self.snapshot_caches
        kept, cache.snapshots = cache.snapshots, []
        may = super()._may_drop_oldest()
        cache.snapshots = kept
        return may


class _GoesBack(Watched):
    def _on_snapshot(self, snapshot: Snapshot) -> list[Effect]:
        log = self._log
        if not log.voters or snapshot.slot >= log.last_slot:
            return super()._on_snapshot(snapshot)
        last, log.last_slot = log.last_slot, snapshot.slot - 1
        effects = super()._on_snapshot(snapshot)
        log.last_slot = min(log.last_slot, last)
        return effects


class _SavesOften(WatchedLog):
    def compact(self) -> list[SnapshotRecord]:
        bound, self.state_size_bound = self.state_size_bound, 0
        records = super().compact()
        self.state_size_bound = self.state_size_bound or bound
        return records


class _KeepsLog(WatchedLog):
    def _may_drop_oldest(self) -> bool:
        return False


def _mutant(guard: str, mutant: type, seed: int | None = None, why: str = "") -> Mutant:
    node_class = mutant if issubclass(mutant, Watched) else node_with(mutant, Watched)
    return Mutant(guard, lambda seeds: run(seeds, node_class=node_class), seed, why)


MUTANTS = (
    _mutant(
        "the same slot and digest for all parts, at the receiver",
        _TakesAnyPart,
        None,
        "by hand: test_large_states.Gateway; "
        "a sender gives only what it is asked for, and the digest of the whole catches a part of a former transfer",
    ),
    _mutant("the same slot and digest for all parts, at the sender", _AnySealed, 6),
    _mutant("the digest compared once all parts are here", _NoDigest, 12),
    _mutant("a running transfer kept when a newer state is offered", _BeginsAnew, 3),
    _mutant("the window of parts", _Unwindowed, 3),
    _mutant("turning to another source", _Loyal, 6),
    _mutant("the sealed snapshot kept unchanged while it is sent", _CompressesAnew, 3),
    _mutant("one sealed snapshot for all who ask, two at most", _CompressesAll, 3),
    _mutant("sealed snapshots let go when nobody asks", _NeverExpires, 3),
    _mutant("parts for large states", _AllAtOnce, 3),
    _mutant("nothing large sent unasked", _TellsUnasked, 661),
    _mutant("short runs of the log", _LongRuns, 6),
    _mutant("one question at a time while far behind", _AsksAgain, 6),
    _mutant("no vote beyond the slot after the last known one", _VotesBehind, 2),
    _mutant("reads confirmed by a majority", _ServesBehind, 0),
    _mutant("verdicts confirmed by a majority", _JudgesBehind, 0),
    _mutant("the log kept from a snapshot that is being sent on", _CutsLog, 54),
    _mutant("no snapshot older than the own state", _GoesBack, 5),
    _mutant("large states saved in proportion to the log", _SavesOften, 7),
    _mutant("the log cut", _KeepsLog, 6),
)
