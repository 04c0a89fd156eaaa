"""Model check of log catch-up and snapshot transfer: the real `Node` over links with a rate limit and FIFO order.

`run` executes seeded random schedules. The replicated state is empty to several megabytes large. Members behind
2 Mbit/s links restart, return after minutes, start with an empty disk, are partitioned during a snapshot transfer,
or lose the source of a transfer, while configuration changes continue. In addition to the invariants of
`crowseam.model_checks.agreement.check`, it checks that

- once the faults have ended, every member catches up within a bounded time and a bounded number of bytes, although
  changes continue;
- the state of a member never goes back, and no member votes on a slot before it knows all earlier ones;
- a heartbeat never waits longer than `MAX_HEARTBEAT_WAIT_S` behind a transfer;
- the data kept in memory, kept in log records and written to disk stays within bounds.

Times are in seconds and sizes in bytes.
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
from crowseam.model_checks.agreement.check import ChangeRequest, Host, ModelStateMachine, World
from crowseam.model_checks.agreement.parts import node_with
from crowseam.model_checks.schedules import Mutant, Report, Violation, play

STEPS = 8  # actions per schedule
SLOW_LINK_RATE, FAST_LINK_RATE = 250_000, 12_500_000  # bytes/s: 2 and 100 Mbit/s
HEARTBEAT_INTERVAL_S = 0.25  # as in the daemons
HEARTBEAT_BYTES = 60
MAX_HEARTBEAT_WAIT_S = 0.6  # a controller counts as silent after 1.1 s
STATE_PADDING_BYTES = (0, 0, 20_000, 300_000, 300_000, 3_700_000)  # size of the state beyond the model's own records
CHANGE_BODY_BYTES = (0, 300, 300, 1_000)
MAX_COMPRESSIONS = 24  # snapshots that a member may compress between two starts
CATCH_UP_GRACE_S = 12.0  # time allowed for catching up, in addition to the transfer time
MAX_TRANSFER_OVERHEAD = 2.5  # received bytes allowed per byte of the snapshot and of the log after it


def max_kept_entries(timing: Timing) -> int:
    """Return how many log entries a member may keep.

    A download delays compaction, which happens every half of `max_kept_slots` slots.
    """
    return 2 * timing.max_kept_slots + timing.max_kept_slots // 2 + 8


class PaddedLedger:
    """A ledger whose state is padded to a realistic size; the padding encodes the configuration version."""

    def __init__(self, ledger: ModelStateMachine, size: int) -> None:
        self.ledger, self.size = ledger, size

    def __getattr__(self, name: str) -> Any:
        return getattr(self.ledger, name)

    def _padding(self) -> bytes:
        return f"{self.ledger.ver:016x}".encode() * (self.size // 16)

    def snapshot(self) -> bytes:
        """Return the padding followed by the state."""
        return self._padding() + self.ledger.snapshot()

    def restore(self, state: bytes) -> None:
        """Restore a state, whose padding and content must be of the same version."""
        size = self.size // 16 * 16 if state else 0
        self.ledger.restore(bytes(state[size:]))
        if state and bytes(state[:size]) != self._padding():
            raise Violation("a restored state mixes two versions")


class Patch(ChangeRequest, frozen=True):
    """A configuration change with a body."""

    size: int = 0

    def builder(self, tag: str) -> Callable[[ModelStateMachine], Any]:
        """Evaluate as any other order; the resulting entry has a body of `size` bytes."""
        evaluate_order = super().builder(tag)

        def sized(ledger: ModelStateMachine) -> Any:
            verdict = evaluate_order(ledger)
            if isinstance(verdict, ConfigurationEntry):
                return ConfigurationEntry(tag, self.ver, self.parent, False, bytes(self.size), verdict.digest)
            return verdict

        return sized


class CheckedLog(ReplicatedLog):
    """The log of a checked node; limits how often the state may be compressed."""

    _compression_count = 0

    def compressed_snapshot(self) -> CompressedSnapshot:
        """Compress as the real log does; raise Violation if that happens too often."""
        self._compression_count += 1
        if self._compression_count > MAX_COMPRESSIONS:
            raise Violation(f"{self._context.me.addr} has compressed its state {MAX_COMPRESSIONS} times")
        return super().compressed_snapshot()


class CheckedNode(Node):
    """The node, whose invariants are checked after each operation."""

    size = 0  # bytes of padding in its state; set by the world that creates it
    _previous_last_slot = 0
    log_type = CheckedLog

    def __init__(self, me: Any, durable: Any, machine: ModelStateMachine, *args: Any, **kwargs: Any) -> None:
        super().__init__(me, durable, PaddedLedger(machine, self.size), *args, **kwargs)
        self._previous_last_slot = self.last_slot

    def handle(self, sender: str, message: Message, now: float) -> list[Effect]:
        """Handle as the real node does; a consensus error is a violation."""
        try:
            return super().handle(sender, message, now)
        except ConsensusError as error:
            raise Violation(f"{self.me.addr}: {error}") from None

    @property
    def download(self) -> SnapshotDownload | None:
        """The snapshot download in progress."""
        return self._exchange.download

    @property
    def cache(self) -> SnapshotCache:
        """The compressed snapshots served to other members."""
        return self._exchange.cache

    def _finish(self, effects: list[Effect]) -> list[Effect]:
        if self.last_slot < self._previous_last_slot:
            raise Violation(f"{self.me.addr} went back from slot {self._previous_last_slot} to {self.last_slot}")
        self._previous_last_slot = self.last_slot
        for effect in effects:
            for send in effect.then if isinstance(effect, Persist) else ():
                if isinstance(send.message, Promise | Accepted) and send.message.slot > self.last_slot + 1:
                    raise Violation(f"{self.me.addr} votes on slot {send.message.slot}, knowing only {self.last_slot}")
        download = self.download
        if download is not None and download.slot > self.last_slot and download.size:
            if sum(map(len, download.chunks.values())) > download.size:
                raise Violation("a download keeps more bytes than the snapshot has")
        timing = self._context.timing
        slots, size = self.last_slot + 1 - self.first_slot, self._log.size_bytes
        if size > timing.max_log_bytes + 2 * timing.max_run_bytes or slots > max_kept_entries(timing):
            raise Violation(f"{self.me.addr} keeps a log of {slots} slots, {size} bytes")
        if len(self.cache.snapshots) > MAX_CACHED_SNAPSHOTS:
            raise Violation(f"{self.me.addr} keeps {len(self.cache.snapshots)} compressed snapshots")
        return super()._finish(effects)


class RateLimitedWorld(World):
    """Members behind rate-limited FIFO links, which lose messages in flight when they are cut."""

    def __init__(self, seed: int, node_class: type[CheckedNode], size: int, timing: Timing) -> None:
        self.size = size
        self.slow_addrs: set[str] = set()
        self.corruption_rate = 0.0  # probability that a snapshot chunk arrives corrupted
        self.link_free_at: dict[tuple[str, str], float] = {}
        self.received_bytes: dict[str, int] = {}  # bytes of snapshots and log entries, by receiver
        self.snapshot_slots_written: dict[str, list[int]] = {}  # slots of the snapshots written, by member
        self.longest_heartbeat_wait_s = 0.0
        sized = type(node_class.__name__, (node_class,), {"size": size})
        super().__init__(seed, ["m0", "m1", "m2"], sized, timing)
        self.after(0.0, self._send_heartbeats)

    # Links

    def link_rate(self, sender: str, receiver: str) -> int:
        """Bytes per second between two members."""
        return SLOW_LINK_RATE if sender in self.slow_addrs or receiver in self.slow_addrs else FAST_LINK_RATE

    def _enqueue(self, sender: str, receiver: str, size: int) -> tuple[float, float]:
        """Queue a message; return its delivery delay and the part of it spent waiting for earlier ones."""
        wait = max(0.0, self.link_free_at.get((sender, receiver), 0.0) - self.now)
        self.link_free_at[sender, receiver] = self.now + wait + size / self.link_rate(sender, receiver)
        return self.link_free_at[sender, receiver] - self.now + 0.002, wait

    def transmit(self, what: Callable, *args: Any) -> None:
        """Send a message after those already queued on the link."""
        sender, addr, life, data, stamp = args
        if frozenset((sender, addr)) in self.cut or self.rng.random() < self.loss_rate:
            return
        delay, _ = self._enqueue(sender, addr, len(data))
        if self.corruption_rate and b"c.part" in data[:10] and self.rng.random() < self.corruption_rate:
            chunk = decode(data)
            if chunk.data:
                corrupted = bytes([chunk.data[0] ^ 1]) + chunk.data[1:]
                data = encode(SnapshotChunk(chunk.slot, chunk.digest, chunk.size, chunk.offset, corrupted))
        self.after(delay, self._arrive, what, sender, addr, life, data, stamp)

    def _arrive(self, what: Callable, sender: str, addr: str, life: Any, data: bytes, stamp: Any) -> None:
        if any(tag in data[:14] for tag in (b"c.part", b"c.snapshot", b"c.chosen")):
            self.received_bytes[addr] = self.received_bytes.get(addr, 0) + len(data)
        what(sender, addr, life, data, stamp)

    def _send_heartbeats(self) -> None:
        live = [host for host in self.hosts.values() if host.node is not None]
        for host in live:
            voters = {voter.addr for voter in host.node.voters}
            host.node.learners = [addr for addr in self.hosts if addr not in voters and addr != host.addr]
            for other in live:
                if other is not host and frozenset((host.addr, other.addr)) not in self.cut:
                    delay, wait = self._enqueue(host.addr, other.addr, HEARTBEAT_BYTES)
                    self.longest_heartbeat_wait_s = max(self.longest_heartbeat_wait_s, wait)
                    if wait > MAX_HEARTBEAT_WAIT_S:
                        raise Violation(f"a heartbeat to {other.addr} waits for {wait:.2f} s")
                    self.after(delay, self._on_heartbeat, host.addr, other.addr, host.node.last_slot)
        self.after(HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def _on_heartbeat(self, sender: str, addr: str, last: int) -> None:
        host = self.hosts[addr]
        if host.node is not None and frozenset((sender, addr)) not in self.cut:
            self._run_node(host, host.node.observe_slot, sender, last)

    def start(self, addr: str, bootstrap: bool = False) -> None:
        """Start a member; its links start with empty queues."""
        for key in [key for key in self.link_free_at if addr in key]:
            del self.link_free_at[key]
        super().start(addr, bootstrap)
        self._check_disk_writes(self.hosts[addr])

    def _check_disk_writes(self, host: Host) -> None:
        write = type(host.disk).write

        def checked_write(records: Iterable[Record]) -> None:
            records = list(records)
            write(host.disk, records)
            for record in records:
                if isinstance(record, SnapshotRecord):
                    self.snapshot_slots_written.setdefault(host.addr, []).append(record.slot)
            limit = max_kept_entries(self.timing)
            if (
                any(isinstance(r, ChosenRecord | SnapshotRecord) for r in records)
                and len(host.disk.content.chosen) > limit
            ):
                raise Violation(f"{host.addr} keeps {len(host.disk.content.chosen)} entries on its disk")

        host.disk.write = checked_write

    def live(self) -> list[Host]:
        """Return the members that are running."""
        return [host for host in self.hosts.values() if host.node is not None]

    def max_snapshot_bytes(self) -> int:
        """Return an upper bound of the bytes of a transferred snapshot."""
        return self.size + 40 * len(self.versions) + 2000


class _Schedule:
    """One random schedule: changes continue during `steps` faults, one at a time; then the faults end."""

    def __init__(self, seed: int, steps: int, node_class: type[CheckedNode]) -> None:
        rng = Random(f"catchup/{seed}")
        is_long = seed % 16 == 7
        self.body_bytes = rng.choice(CHANGE_BODY_BYTES[:3] if is_long else CHANGE_BODY_BYTES)
        self.pause_s = 0.03 if is_long else rng.choice((0.03, 0.1, 0.1, 0.3))
        self.changes = 1000 if is_long else rng.choice((60, 120, 250))
        size = rng.choice(STATE_PADDING_BYTES)
        timing = Timing(
            poll_all_voters=False,
            kept_slots=rng.choice((8, 64)),
            compression_level=0,
            max_kept_slots=rng.choice((128, 1024)),
            join_interval_s=0.3,
        )
        self.steps = steps
        self.node_class = node_class
        self.world = RateLimitedWorld(seed, node_class, size, timing)
        self.world.corruption_rate = rng.choice((0.0, 0.0, 0.02))
        self.world.loss_rate = rng.choice((0.0, 0.0, 0.01))
        self.world.slow_addrs = set(rng.sample(["m0", "m1", "m2", "m3", "m4"], rng.choice((1, 2))))
        self.ver = 0
        self.is_submitting = True
        self.started_count = 3

    # Operators

    def _submit_changes(self) -> None:
        world = self.world
        live = world.live()
        if self.is_submitting and live and max(world.chosen, default=0) < self.changes:
            self.ver += 1
            parent = world.versions[max(world.versions)]
            order = Patch(self.ver, parent, size=self.body_bytes)
            world.submit(world.rng.choice(live).addr, f"c{self.ver}", order, 2.0)
            if self.ver % 4 == 0:  # resubmit to another member, as a client does after a timeout
                other_addr = world.rng.choice(live).addr
                world.after(world.rng.uniform(0.0, 0.05), world.submit, other_addr, f"c{self.ver}.1", order, 2.0)
            if self.ver % 5 == 0:
                world.read(world.rng.choice(live).addr, f"r{self.ver}")
        world.after(self.pause_s * world.rng.uniform(0.5, 1.5), self._submit_changes)

    # Faults, one member at a time

    def _restart_after(self, lose_disk: bool, span_s: float) -> None:
        world = self.world
        addr = world.rng.choice([host.addr for host in world.live()])
        if len(world.live()) < 3 or (lose_disk and not world.may_lose(addr)):
            return
        world.crash(addr, lose_disk)
        world.run_until(world.now + span_s)
        world.start(addr)

    def _restart(self) -> None:
        self._restart_after(False, self.world.rng.choice((0.5, 2.0, 20.0)))

    def _long_outage(self) -> None:
        self._restart_after(False, self.world.rng.choice((60.0, 150.0)))

    def _wipe(self) -> None:
        self._restart_after(True, self.world.rng.choice((0.5, 5.0)))

    def _add(self) -> None:
        world = self.world
        if self.started_count < 5:
            world.start(f"m{self.started_count}")
            self.started_count += 1

    def _partition(self) -> None:
        world = self.world
        addr = world.rng.choice([host.addr for host in world.live()])
        pairs = [frozenset((addr, other)) for other in world.hosts if other != addr]
        world.cut.update(pairs)
        world.run_until(world.now + world.rng.choice((0.5, 3.0, 15.0)))
        world.cut.difference_update(pairs)

    def _wait_for_transfer(self) -> Host | None:
        """Wait until a member is receiving a snapshot, and return it; None if none does."""
        world = self.world
        for _ in range(40):
            for host in world.live():
                if host.node.download is not None and host.node.download.chunks:
                    return host
            world.run_until(world.now + 0.05)
        return None

    def _partition_transfer(self) -> None:
        world, host = self.world, self._wait_for_transfer()
        if host is None:
            return
        pairs = [frozenset((host.addr, other)) for other in world.hosts if other != host.addr]
        if world.rng.random() < 0.5:
            pairs = [frozenset((host.addr, host.node.download.source))]
        world.cut.update(pairs)
        world.run_until(world.now + world.rng.choice((0.5, 2.0, 8.0)))
        world.cut.difference_update(pairs)

    def _kill_source(self) -> None:
        world, host = self.world, self._wait_for_transfer()
        if host is None or len(world.live()) < 3:
            return
        addr, corruption_rate = host.node.download.source, world.corruption_rate
        target = host.node.download.slot
        other_sources = [
            other for other in world.live() if other.addr not in (addr, host.addr) and other.node.last_slot >= target
        ]
        world.crash(addr)
        if not other_sources or world.rng.random() < 0.5:
            world.run_until(world.now + world.rng.choice((0.3, 3.0)))
            world.start(addr)
            return
        # The remaining members can still serve the snapshot.
        world.corruption_rate, span_s = 0.0, CATCH_UP_GRACE_S + 2 * world.max_snapshot_bytes() / SLOW_LINK_RATE
        world.run_until(world.now + span_s)
        if host.node.last_slot < target:
            raise Violation(
                f"{host.addr} is at slot {host.node.last_slot}, not at {target}, {span_s:.0f} s after "
                "the source of its download failed"
            )
        world.corruption_rate = corruption_rate
        world.start(addr)

    _ACTS = (_restart, _restart, _long_outage, _wipe, _wipe, _add, _add, _partition, _partition_transfer, _kill_source)

    def play(self) -> None:
        world = self.world
        world.run_until(1.0)
        self._submit_changes()
        for _ in range(self.steps):
            world.run_until(world.now + world.rng.choice((0.5, 2.0, 6.0)))
            world.rng.choice(self._ACTS)(self)
        self._check_recovery()
        if world.size >= 300_000:
            self._check_new_member()
        self._check_resource_bounds()

    # Invariants at the end

    def _check_recovery(self) -> None:
        """End the faults; while changes continue, all members must catch up within the time and byte limits."""
        world = self.world
        world.loss_rate = world.corruption_rate = 0.0
        world.cut.clear()
        for host in world.hosts.values():
            world.start(host.addr)
        self.changes = max(world.chosen, default=0) + 200
        target, began = max(world.chosen, default=0), world.now
        world.received_bytes = {}
        log = 40 * (self.body_bytes + 300) * 8
        limit = MAX_TRANSFER_OVERHEAD * world.max_snapshot_bytes() + 2 * (self.body_bytes + 300) * (target + 200) + log
        span_s = CATCH_UP_GRACE_S + limit / SLOW_LINK_RATE
        behind = world.live()
        while behind and world.now < began + span_s:
            world.run_until(world.now + 0.5)
            behind = [host for host in world.live() if host.node.last_slot < target]
        if behind:
            host = behind[0]
            raise Violation(
                f"{host.addr} is at slot {host.node.last_slot}, not at {target}, {span_s:.0f} s after " "the last fault"
            )
        for addr, received in world.received_bytes.items():
            if received > limit:
                raise Violation(f"{addr} received {received} bytes; the limit is {limit:.0f}")
        self._check_final_state()

    def _check_new_member(self) -> None:
        """A new member behind a slow link needs one snapshot and the log after it, although changes continue."""
        world = self.world
        world.slow_addrs.add("new")
        transfer_s = world.max_snapshot_bytes() / SLOW_LINK_RATE
        count = min(200, 3 * world.timing.max_kept_slots // 2)
        self.changes = max(world.chosen) + count
        self.pause_s = max(0.03, transfer_s / count)
        self.is_submitting, world.received_bytes = True, {}
        target, limit = max(world.chosen), 1.2 * world.max_snapshot_bytes() + 3 * count * (self.body_bytes + 300)
        world.start("new")
        world.run_until(world.now + CATCH_UP_GRACE_S / 2 + 1.2 * limit / SLOW_LINK_RATE)
        host = world.hosts["new"]
        if host.node.last_slot < target:
            raise Violation(f"a new member is at slot {host.node.last_slot}, not at {target}")
        if world.received_bytes["new"] > limit:
            raise Violation(f"{world.received_bytes['new']} bytes were sent to a new member; the limit is {limit:.0f}")
        self._check_final_state()

    def _check_final_state(self) -> None:
        """Stop the changes; every member must serve reads."""
        world = self.world
        self.is_submitting = False
        world.run_until(world.now + 10.0)
        tag = f"end{len(world.hosts)}"
        for host in world.live():
            world.read(host.addr, f"{tag}/{host.addr}")
        world.run_until(world.now + 1.5)
        for host in world.live():
            if not isinstance(world.answers.get(f"{tag}/{host.addr}"), ReadReady):
                raise Violation(f"{host.addr} cannot serve a read after the faults have ended")
        world.outcomes["slots"] += max(world.chosen, default=0)

    def _check_resource_bounds(self) -> None:
        world = self.world
        slots = max(world.chosen, default=0)
        bodies = [len(entry.body) for entry in world.chosen.values() if isinstance(entry, ConfigurationEntry)]
        world.outcomes["bytes of changes"] += sum(bodies)
        world.run_until(world.now + world.timing.snapshot_retention_s + 1.0)
        for host in world.live():
            if host.node.cache.snapshots:
                raise Violation(f"{host.addr} keeps a compressed snapshot that no member requests")
            if host.node.download is not None:
                raise Violation(f"{host.addr} is still downloading a snapshot")
        if world.size < 100_000:
            return
        expected_snapshots = slots * (self.body_bytes + 200) // (world.size // 4) + slots // (
            world.timing.max_kept_slots // 2
        )
        for addr, snapshot_slots in world.snapshot_slots_written.items():
            # A restart may write one snapshot that the member did not have.
            limit = 2 + world.hosts[addr].incarnation * 2 + 2 * self.steps + 2 * expected_snapshots
            if len(snapshot_slots) > limit:
                raise Violation(f"{addr} wrote {len(snapshot_slots)} snapshots for {slots} slots")


def run(seeds: Iterable[int], steps: int = STEPS, node_class: type[CheckedNode] = CheckedNode) -> Report:
    """Run one random schedule of `steps` actions for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, node_class), report)
    return report


# Mutants: the code without one of its guards


class _AcceptsAnyChunk(SnapshotDownload):
    def belongs_to_snapshot(self, chunk: SnapshotChunk) -> bool:
        return True


class _UnlimitedWindow(SnapshotDownload):
    def next_requests(self) -> list[SnapshotChunkRequest]:
        self.window = 1 << 30
        return super().next_requests()


class _NeverSwitchesSource(SnapshotDownload):
    def switch_source(self, now: float) -> None:
        self.progress_checked_at = now


class _ServesAnySnapshot(SnapshotCache):
    def find(self, slot: int, digest: bytes, now: float) -> CompressedSnapshot | None:
        return self.snapshots[-1] if self.snapshots else None


class _NeverExpires(SnapshotCache):
    def expire(self, now: float) -> None:
        pass

    def next_expiry(self) -> float:
        return float("inf")


class _UnboundedCache(SnapshotCache):
    def add(self, snapshot: CompressedSnapshot) -> CompressedSnapshot:
        self.snapshots.append(snapshot)
        return snapshot


class _ExchangeAcceptingAnyChunk(SnapshotExchange):
    download_type = _AcceptsAnyChunk


class _ExchangeWithoutWindow(SnapshotExchange):
    download_type = _UnlimitedWindow


class _ExchangeNeverSwitchingSource(SnapshotExchange):
    download_type = _NeverSwitchesSource


class _ExchangeCompressingPerRequest(SnapshotExchange):
    def _requested_snapshot(self, request: SnapshotChunkRequest) -> CompressedSnapshot | None:
        if not request.digest:
            return self.cache.add(self._log.compressed_snapshot())
        return super()._requested_snapshot(request)


class _CompressesPerRequest(CheckedNode):
    cache_type = _UnboundedCache
    exchange_type = _ExchangeCompressingPerRequest


class _SkipsDigestCheck(SnapshotDownload):
    def is_intact(self, data: bytes) -> bool:
        return True


class _ExchangeWithoutDigestCheck(SnapshotExchange):
    download_type = _SkipsDigestCheck


class _RestartsTransfer(SnapshotExchange):
    def on_offer(self, sender: str, offer: SnapshotOffer) -> list[Effect]:
        if self.download is not None and offer.last_slot > max(self._log.last_slot, self.download.slot):
            return self._begin(sender)
        return super().on_offer(sender, offer)


class _CompressesPerChunk(SnapshotExchange):
    """Caches nothing: each chunk is of the state at the time of the request."""

    def _requested_snapshot(self, request: SnapshotChunkRequest) -> CompressedSnapshot | None:
        self.cache.snapshots.clear()
        is_current = not request.digest or request.slot == self._log.last_slot
        return self._log.compressed_snapshot() if is_current else None


class _SendsWholeSnapshot(CatchUp):
    def reply_from(self, slot: int, request: CatchUpRequest | None = None) -> ChosenEntries | Snapshot | SnapshotOffer:
        return self._log.snapshot() if slot < self._log.first_slot else super().reply_from(slot, request)


class _SendsUnrequested(CatchUp):
    def reply_from(self, slot: int, request: CatchUpRequest | None = None) -> ChosenEntries | Snapshot | SnapshotOffer:
        return super().reply_from(slot, request or CatchUpRequest(slot, True))


class _LongRuns(CheckedNode):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._context.timing = replace(self._context.timing, max_run_bytes=1 << 20)


class _RequestsRepeatedly(CatchUp):
    def request_from(self, addr: str) -> list[Effect]:
        self._log.highest_known_slot = self._log.last_slot
        return super().request_from(addr)


class _VotesWhileBehind(Acceptor):
    def _redirect(self, sender: str, slot: int) -> list[Effect] | None:
        log = self._log
        return super()._redirect(sender, min(slot, log.last_slot + 1) if log.voters else slot)


class _ReadsWithoutQuorum(Proposer):
    def advance(self) -> list[Effect]:
        self._requests.confirm_through(self._requests.last_sequence)
        return super().advance()


class _EvaluatesWithoutQuorum(RequestQueue):
    """Answers by its own state, without confirming with a majority that this is current."""

    def evaluate(self, request: ClientRequest) -> Any:
        request.is_confirmed = True
        return super().evaluate(request)


class _DropsLogDuringTransfer(CheckedLog):
    def _may_drop_oldest(self) -> bool:
        (cache,) = self.snapshot_caches
        cached, cache.snapshots = cache.snapshots, []
        may_drop = super()._may_drop_oldest()
        cache.snapshots = cached
        return may_drop


class _AcceptsOlderSnapshot(CheckedNode):
    def _on_snapshot(self, snapshot: Snapshot) -> list[Effect]:
        log = self._log
        if not log.voters or snapshot.slot >= log.last_slot:
            return super()._on_snapshot(snapshot)
        last, log.last_slot = log.last_slot, snapshot.slot - 1
        effects = super()._on_snapshot(snapshot)
        log.last_slot = min(log.last_slot, last)
        return effects


class _SnapshotsTooOften(CheckedLog):
    def compact(self) -> list[SnapshotRecord]:
        bound, self.state_size_bound = self.state_size_bound, 0
        records = super().compact()
        self.state_size_bound = self.state_size_bound or bound
        return records


class _NeverDropsLog(CheckedLog):
    def _may_drop_oldest(self) -> bool:
        return False


def _mutant(guard: str, mutant: type, seed: int | None = None, why: str = "") -> Mutant:
    node_class = mutant if issubclass(mutant, CheckedNode) else node_with(mutant, CheckedNode)
    return Mutant(guard, lambda seeds: run(seeds, node_class=node_class), seed, why)


MUTANTS = (
    _mutant(
        "the same slot and digest for all parts, at the receiver",
        _ExchangeAcceptingAnyChunk,
        None,
        "by hand: test_large_states.Gateway; "
        "a sender gives only what it is asked for, and the digest of the whole catches a part of a former transfer",
    ),
    _mutant("the same slot and digest for all parts, at the sender", _ServesAnySnapshot, 6),
    _mutant("the digest compared once all parts are here", _ExchangeWithoutDigestCheck, 12),
    _mutant("a running transfer kept when a newer state is offered", _RestartsTransfer, 3),
    _mutant("the window of parts", _ExchangeWithoutWindow, 3),
    _mutant("turning to another source", _ExchangeNeverSwitchingSource, 6),
    _mutant("the sealed snapshot kept unchanged while it is sent", _CompressesPerChunk, 3),
    _mutant("one sealed snapshot for all who ask, two at most", _CompressesPerRequest, 3),
    _mutant("sealed snapshots let go when nobody asks", _NeverExpires, 3),
    _mutant("parts for large states", _SendsWholeSnapshot, 3),
    _mutant("nothing large sent unasked", _SendsUnrequested, 661),
    _mutant("short runs of the log", _LongRuns, 6),
    _mutant("one question at a time while far behind", _RequestsRepeatedly, 6),
    _mutant("no vote beyond the slot after the last known one", _VotesWhileBehind, 2),
    _mutant("reads confirmed by a majority", _ReadsWithoutQuorum, 0),
    _mutant("verdicts confirmed by a majority", _EvaluatesWithoutQuorum, 0),
    _mutant("the log kept from a snapshot that is being sent on", _DropsLogDuringTransfer, 54),
    _mutant("no snapshot older than the own state", _AcceptsOlderSnapshot, 5),
    _mutant("large states saved in proportion to the log", _SnapshotsTooOften, 7),
    _mutant("the log cut", _NeverDropsLog, 6),
)
