"""Model check of consensus: seeded random schedules of operators and faults over the real Node.

The invariants are checked by `agreement.world`. Each schedule has a climate, a profile of frequent faults, because
a uniform mix rarely produces several faults of one kind in a row. `Report.outcomes` counts the faults by kind.
`agreement.exhaustive` explores all event orders of a small case; `agreement.mutants` has the mutants.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from random import Random

from crowseam.consensus.node import Node
from crowseam.consensus.outcomes import Committed, ReadReady
from crowseam.consensus.timing import Timing
from crowseam.model_checks.agreement.mutants import MUTATIONS
from crowseam.model_checks.agreement.world import SAME, STALE, ChangeRequest, Disk, Host, ModelStateMachine, World
from crowseam.model_checks.schedules import Mutant, Report, Violation, play

__all__ = ["MUTANTS", "SAME", "STALE", "STEPS", "Disk", "Host", "ModelStateMachine", "ChangeRequest", "World", "run"]

STEPS = 30  # actions of a schedule
LOSS_INTERVAL_S = 4.0  # a machine counts as lost for this long after it is back
SETTLE_TIME_S = 6.0  # without faults, after which every machine must answer again
ANSWER_TIMEOUT_S = 1.0  # for a read, or a change without a concurrent one, while there are no faults
RETRY_AFTER_S = 0.85  # after which an operator without an answer tries another machine
ISOLATION_TIME_S = 20.0  # shortest time for which the climate "siege" isolates machines
# Founders, machines that may be lost at once, and weight. Schedules of eight founders take five times as long.
_CLUSTER_SIZES = ((3, 1, 16), (6, 1, 1), (6, 2, 2), (8, 1, 1), (8, 2, 1))


class _Schedule:
    """One random schedule: `steps` actions of operators and faults, then a time without faults and a final check."""

    def __init__(self, seed: int, steps: int, node_class: type[Node]) -> None:
        rng = Random(seed)
        timing = Timing(kept_slots=rng.choice((4, 64)))
        founders, self.survive, _ = rng.choices(_CLUSTER_SIZES, [weight for *_, weight in _CLUSTER_SIZES])[0]
        self.climate = rng.choice(("mixed", "power", "links", "disks", "crowd", "age", "siege", "duel"))
        if self.climate == "duel":
            founders, self.survive = 3, 1
        self.world = World(
            seed,
            [f"m{number}" for number in range(founders)],
            node_class,
            timing,
            survive=self.survive,
            drift=rng.random() < 0.7,
        )
        self.steps = steps
        self.is_calm = False
        self._ver = 0
        self._founders = self._machines = founders
        self._lost_at = -LOSS_INTERVAL_S
        self._changes: list[ChangeRequest] = []

    def play(self) -> None:
        world, rng = self.world, self.world.rng
        world.outcomes[f"climate {self.climate}"] += 1
        world.outcomes[f"founders {self._founders}/{self.survive}"] += 1
        if self.climate == "siege":
            self._isolate_minority()
        else:
            world.loss_rate, world.duplicate_rate, world.delay_rate = (rng.choice((0.0, 0.02, 0.1)) for _ in range(3))
            world.sync_s = rng.choice((0.002, 0.002, 0.02))
            if self.climate == "age":
                self._submit_continuously()
            actions, pauses = self._CLIMATES[self.climate], (0.002, 0.01, 0.05, 0.3, 1.0)
            if self.climate == "duel":
                world.loss_rate, world.delay_rate = rng.choice((0.0, 0.1, 0.3)), rng.choice((0.3, 0.6, 0.9))
                world.sync_s = rng.choice((0.002, 0.05, 0.3))
                pauses = (0.003, 0.03, 0.1, 0.3)
            for _ in range(self.steps):
                rng.choice(actions)(self)
                world.run_until(world.now + rng.choice(pauses))
        self._end_faults()
        world.run_until(world.now + SETTLE_TIME_S)
        self._check_all_answer("end", ANSWER_TIMEOUT_S)

    def _end_faults(self) -> None:
        """End all faults."""
        world = self.world
        self.is_calm = True
        world.clear_link_faults()
        world.sync_s, world.all_crash_at_ack = 0.002, False
        world.cut.clear()
        world.one_way.clear()
        for host in world.hosts.values():
            host.disk.fails_writes = False
            world.resume_disk(host.addr)
            world.thaw(host.addr)
            world.start(host.addr)

    def _check_all_answer(self, prefix: str, timeout_s: float) -> None:
        """Check that every machine reads, a change is applied, and all acknowledge earlier changes again."""
        world = self.world
        running = [host.addr for host in world.hosts.values() if host.node is not None]
        for addr in running:
            world.read(addr, f"{prefix}/{addr}")
        world.run_until(world.now + timeout_s)
        for addr in running:
            if not isinstance(world.answers.get(f"{prefix}/{addr}"), ReadReady):
                raise Violation(f"{addr} cannot read while there are no faults")
        self._ver += 1
        world.submit(running[0], prefix, ChangeRequest(self._ver, world.versions[max(world.versions)]))
        world.run_until(world.now + timeout_s)
        if not isinstance(world.answers.get(prefix), Committed):
            raise Violation("a change is not applied while there are no faults")
        acknowledged = [
            change for change in self._changes if world.acknowledged_digests.get(change.ver) == change.digest
        ]
        sent = [
            (change, addr) for change in world.rng.sample(acknowledged, min(3, len(acknowledged))) for addr in running
        ]
        for change, addr in sent:
            world.submit(addr, f"{prefix}/{addr}/{change.digest}", change)
        world.run_until(world.now + timeout_s)
        for change, addr in sent:
            if world.answers.get(f"{prefix}/{addr}/{change.digest}") != SAME:
                raise Violation(f"{addr} does not acknowledge {change.digest} again while there are no faults")

    # Operators

    def _random_host(self) -> Host:
        return self.world.rng.choice([host for host in self.world.hosts.values() if not host.gone])

    def _count(self, fault: str) -> None:
        self.world.outcomes[f"fault {fault}"] += 1

    def _send(self, change: ChangeRequest, addr: str) -> str:
        """Send a change once, and return the request id."""
        request_id = f"{change.digest}.{self.world.events}.{self.world.rng.getrandbits(32):08x}"
        self.world.submit(addr, request_id, change, self.world.rng.choice((0.85, 2.0, 4.0)))
        return request_id

    def _submit_until_answered(self, change: ChangeRequest, tries: int = 4) -> None:
        """Send a change to one machine after another until a definite answer arrives."""
        world = self.world
        request_id = self._send(change, self._random_host().addr)

        def check_answer() -> None:
            if world.answers.get(request_id) in (SAME, STALE) or isinstance(world.answers.get(request_id), Committed):
                if world.rng.random() >= 0.3:
                    return
                self._count("answer lost")
            if tries > 1 and not self.is_calm:
                self._submit_until_answered(change, tries - 1)

        world.after(RETRY_AFTER_S, check_answer)

    def _parent(self) -> int:
        world = self.world
        known = max(world.acknowledged_slots, default=0)
        return world.rng.choice((known, world.versions[max(world.versions)]))

    def _submit_concurrent(self) -> None:
        """One or two operators send changes with the same recent parent, each to two machines."""
        world = self.world
        parent = self._parent()
        for _ in range(world.rng.choice((1, 1, 2))):
            self._ver += 1
            change = ChangeRequest(self._ver, parent)
            self._changes.append(change)
            for attempt in range(2):
                pause = attempt * world.rng.choice((0.0, 0.02, 1.0)) + world.rng.uniform(0.0, 0.01)
                world.after(pause, self._send, change, self._random_host().addr)

    def _submit_eight_rivals(self) -> None:
        """Eight concurrent changes with one parent and one or two version numbers, at random machines."""
        world = self.world
        self._count("eight at once")
        parent, spread = self._parent(), world.rng.choice((0.0, 0.01, 0.1))
        self._ver += 2
        for number in range(8):
            ver = self._ver - (world.rng.random() < 0.2)
            change = ChangeRequest(ver, parent, f"-{number}")
            self._changes.append(change)
            world.after(world.rng.uniform(0.0, spread), self._submit_until_answered, change, 3)

    def _read(self) -> None:
        self.world.read(self._random_host().addr, f"read/{self.world.events}/{self.world.rng.random()}")

    def _submit_continuously(self, request_id: str = "", until: float = 0.0) -> None:
        """One operator sends changes in succession, to random machines, until the faults end."""
        world = self.world
        if self.is_calm:
            return
        if request_id in world.answers or world.now >= until:
            self._ver += 1
            change = ChangeRequest(self._ver, world.versions[max(world.versions)])
            self._changes.append(change)
            request_id, until = self._send(change, self._random_host().addr), world.now + 0.3
        world.after(0.01, self._submit_continuously, request_id, until)

    def _resubmit(self) -> None:
        """Send an earlier change again: at once, later, or after the machine that answered it crashed."""
        world, rng = self.world, self.world.rng
        if not self._changes:
            return
        change = rng.choice(self._changes[-4:] if rng.random() < 0.5 else self._changes)
        answerer = world.answered_by.get(change.digest)
        kind = rng.choice(("at once", "later", "restart", "wipe", "snapshot"))
        target = self._random_host().addr
        if kind == "snapshot":
            # A machine that learned of the change, if at all, from a snapshot.
            since = world.slot_by_digest.get(change.digest, 0)
            restored = [host.addr for host in world.hosts.values() if host.node and 0 < since <= host.restored_slot]
            if not restored:
                return
            target = rng.choice(restored)
        elif kind in ("restart", "wipe"):
            if answerer is None or world.hosts[answerer].node is None:
                return
            if kind == "wipe" and not self._may_lose(answerer):
                return
            world.crash(answerer, lose_disk=kind == "wipe")
            world.after(0.1, world.start, answerer)
            target = rng.choice((target, answerer))
        if change.digest in world.slot_by_digest and max(world.chosen) - world.slot_by_digest[change.digest] > 100:
            self._count("sent again after a hundred others")
        self._count(f"sent again {kind}")
        pause = {"at once": 0.0, "later": rng.uniform(2.0, 6.0)}.get(kind, 0.3)
        world.after(pause, self._send, change, target)

    def _submit_duel(self) -> None:
        """Two nearly simultaneous changes with one parent, at random machines."""
        world, parent = self.world, self._parent()
        self._count("duel")
        for _ in range(2):
            self._ver += 1
            self._changes.append(ChangeRequest(self._ver, parent))
            world.after(world.rng.uniform(0.0, 0.01), self._send, self._changes[-1], self._random_host().addr)

    # Machines

    def _restart_briefly(self) -> None:
        """Crash a machine during a ballot and restart it at once."""
        host = self._random_host()
        if host.node is not None:
            self._count("crash amid a ballot")
            self.world.crash(host.addr)
            self.world.after(self.world.rng.choice((0.001, 0.01, 0.05)), self.world.start, host.addr)

    def _crash(self) -> None:
        host = self._random_host()
        if host.node is not None:
            self._count("crash")
            self.world.crash(host.addr)
            self.world.after(self.world.rng.choice((0.01, 0.5, 2.0)), self.world.start, host.addr)

    def _crash_all(self) -> None:
        self._count("power lost")
        if self.world.rng.random() < 0.5:
            self.world.all_crash_at_ack = True
        else:
            self.world.crash_all()

    def _may_lose(self, *addrs: str) -> bool:
        world = self.world
        if world.now - self._lost_at < LOSS_INTERVAL_S or not world.may_lose(*addrs):
            return False
        self._lost_at = world.now
        return True

    def _random_hosts(self) -> list[Host]:
        """Between one and as many machines as may be lost at once."""
        hosts = [host for host in self.world.hosts.values() if not host.gone]
        return self.world.rng.sample(hosts, self.world.rng.randint(1, self.survive))

    def _lose_disks(self) -> None:
        hosts = self._random_hosts()
        if self._may_lose(*(host.addr for host in hosts)):
            self._count(f"disk lost, {len(hosts)} at once")
            for host in hosts:
                self.world.crash(host.addr, lose_disk=True)
                self.world.after(self.world.rng.choice((0.01, 0.5)), self.world.start, host.addr)

    def _replace_machines(self) -> None:
        hosts = self._random_hosts()
        if self._machines < self._founders + 4 and self._may_lose(*(host.addr for host in hosts)):
            self._count(f"machine lost, {len(hosts)} at once")
            for host in hosts:
                self.world.crash(host.addr, lose_disk=True)
                host.gone = True
                self._add_machine()

    def _add_machine(self) -> None:
        if self._machines < self._founders + 4:
            self.world.after(self.world.rng.uniform(0.0, 1.0), self.world.start, f"m{self._machines}")
            self._machines += 1

    def _freeze(self) -> None:
        """Suspend a process for a while; messages are deferred or lost, and its monotonic clock continues."""
        host, drop = self._random_host(), self.world.rng.random() < 0.5
        if host.node is not None and not host.frozen:
            self._count("frozen, messages lost" if drop else "frozen, messages wait")
            self.world.freeze(host.addr)
            self.world.after(self.world.rng.choice((0.03, 0.5, 2.0, 6.0)), self.world.thaw, host.addr, drop)

    # Links

    def _cut_links(self) -> None:
        world = self.world
        isolated = self._random_host().addr
        # A list: the order of a set varies between processes, and a seed must give the same schedule in each.
        links = [frozenset((isolated, other)) for other in world.hosts if other != isolated]
        if world.rng.random() < 0.3:
            links = [pair for pair in links if world.rng.random() < 0.5]
        self._count("cut")
        world.cut.update(links)
        world.after(world.rng.choice((0.1, 1.0, 3.0)), world.cut.difference_update, links)

    def _one_way_pairs(self, isolated: str, inward: bool) -> list[tuple[str, str]]:
        others = [other for other in self.world.hosts if other != isolated]
        return [(other, isolated) if inward else (isolated, other) for other in others]

    def _cut_one_way(self) -> None:
        """A machine can only send, or only receive, to and from all others or some of them."""
        world = self.world
        inward = world.rng.random() < 0.5
        links = self._one_way_pairs(self._random_host().addr, inward)
        if world.rng.random() < 0.3:
            links = [pair for pair in links if world.rng.random() < 0.5]
        self._count("one_way_cut inward" if inward else "one_way_cut outward")
        world.one_way.update(links)
        world.after(world.rng.choice((0.1, 1.0, 3.0)), world.one_way.difference_update, links)

    def _flap_links(self) -> None:
        """Cut and restore a machine's links several times."""
        world = self.world
        isolated = self._random_host().addr
        links = [frozenset((isolated, other)) for other in world.hosts if other != isolated]
        self._count("flapping links")
        for _ in range(world.rng.randint(3, 12)):
            at = world.rng.uniform(0.0, 2.0)
            world.after(at, lambda: self.is_calm or world.cut.update(links))
            world.after(at + world.rng.choice((0.005, 0.05, 0.2)), world.cut.difference_update, links)

    # Disks

    def _fail_disk_writes(self) -> None:
        self._count("disk refuses")
        disk = self._random_host().disk
        disk.fails_writes = True
        self.world.after(self.world.rng.choice((0.05, 1.0)), setattr, disk, "fails_writes", False)

    def _hang_disk(self) -> None:
        self._count("disk hangs")
        disk = self._random_host().disk
        disk.hangs_until = self.world.now + self.world.rng.choice((0.3, 2.0, 5.0))

    def _damage_disk_rows(self) -> None:
        """A machine restarts with missing rows, which counts as the loss of its copy."""
        world, host = self.world, self._random_host()
        if host.node is None or not self._may_lose(host.addr):
            return
        self._count("rows damaged")
        world.crash(host.addr)
        host.disk.damage(world.rng.choice((1, 1, 3)), state=world.rng.random() < 0.2)
        world.start(host.addr)

    def _damage_one_of_two_copies(self) -> None:
        """One of three machines misses a change; of the two that have it, one loses rows and one is cut off."""
        world, rng = self.world, self.world.rng
        running = [host.addr for host in world.hosts.values() if host.node is not None]
        if len(running) != 3:
            return
        self._count("change that two know, one of them damaged")
        first, second, missing = rng.sample(running, 3)
        first_cut = [frozenset((missing, other)) for other in running if other != missing]
        world.cut.update(first_cut)
        self._submit_concurrent()
        world.run_until(world.now + 1.3)
        self._submit_concurrent()
        world.run_until(world.now + 0.3)
        second_cut = [frozenset((second, other)) for other in running if other != second]
        world.cut.update(second_cut)
        if self._may_lose(first):
            world.crash(first)
            world.hosts[first].disk.damage(rng.choice((1, 2, 8)), state=rng.random() < 0.3)
            world.start(first)
        world.cut.difference_update(first_cut)
        world.cut.difference_update([frozenset((second, missing))])
        world.cut.update(second_cut)
        for _ in range(2):
            self._submit_concurrent()
            world.run_until(world.now + 0.7)
        world.cut.difference_update(second_cut)

    # Isolation

    def _isolate_minority(self) -> None:
        """Isolate at most as many machines as may be lost, for `ISOLATION_TIME_S` or more, with no other fault.

        The connected machines must keep answering. `World` checks the answers of the isolated ones.
        """
        world, rng = self.world, self.world.rng
        world.run_until(2.0)
        isolated = [host.addr for host in self._random_hosts()]
        connected = [addr for addr in world.hosts if addr not in isolated]
        mode = rng.choice(("both ways", "inward", "outward", "flapping"))
        self._count(f"cut of {ISOLATION_TIME_S:g} s {mode}")
        pairs = [(one, other) for one in isolated for other in connected]
        if mode in ("both ways", "flapping"):
            pairs += [(other, one) for one, other in pairs]
        elif mode == "inward":
            pairs = [(other, one) for one, other in pairs]
        world.one_way.update(pairs)
        end = world.now + ISOLATION_TIME_S + rng.uniform(0.0, 5.0)
        world.run_until(world.now + 3.0)
        number = 0
        while world.now < end:
            number += 1
            self._check_isolation(f"siege{number}", isolated, connected)
            if mode == "flapping":
                world.one_way.difference_update(pairs)
                world.run_until(world.now + rng.uniform(0.0, 0.1))
                world.one_way.update(pairs)
            world.run_until(world.now + rng.uniform(0.5, 4.0))
        world.one_way.clear()

    def _check_isolation(self, name: str, isolated: list[str], connected: list[str]) -> None:
        """Send a change and a read to the connected machines, which must answer, and to the isolated ones."""
        world, rng = self.world, self.world.rng
        for addr in isolated:
            world.read(addr, f"{name}/{addr}")
            self._ver += 1
            self._changes.append(ChangeRequest(self._ver, world.versions[max(world.versions)]))
            if rng.random() < 0.5:
                self._send(self._changes[-1], addr)
            if rng.random() < 0.5:
                self._send(rng.choice(self._changes), addr)
        self._ver += 1
        change = ChangeRequest(self._ver, world.versions[max(world.versions)])
        self._changes.append(change)
        target, reader = rng.choice(connected), rng.choice(connected)
        world.submit(target, name, change)
        world.read(reader, f"{name}/read")
        world.run_until(world.now + ANSWER_TIMEOUT_S)
        # A change sent to an isolated machine may have got through and have been applied on the same parent.
        outcome = world.answers.get(name)
        has_rival = world.digest_by_parent.get(change.parent, change.digest) != change.digest
        if not isinstance(outcome, Committed) and not (outcome == STALE and has_rival):
            raise Violation(f"{target} applies no change while {', '.join(isolated)} is isolated")
        if not isinstance(world.answers.get(f"{name}/read"), ReadReady):
            raise Violation(f"{reader} cannot read while {', '.join(isolated)} is isolated")

    _OPERATORS = (
        _submit_concurrent,
        _submit_concurrent,
        _submit_concurrent,
        _submit_eight_rivals,
        _read,
        _read,
        _resubmit,
    )
    _CLIMATES = {
        "mixed": (
            _submit_concurrent,
            _submit_concurrent,
            _submit_concurrent,
            _submit_concurrent,
            _submit_concurrent,
            _submit_eight_rivals,
            _resubmit,
            _resubmit,
            _read,
            _read,
            _crash,
            _crash_all,
            _lose_disks,
            _replace_machines,
            _add_machine,
            _cut_links,
            _cut_links,
            _cut_one_way,
            _flap_links,
            _freeze,
            _fail_disk_writes,
            _hang_disk,
            _damage_disk_rows,
        ),
        # All lose power repeatedly, half of the times right after an acknowledgement.
        "power": (
            _submit_concurrent,
            _submit_concurrent,
            _submit_concurrent,
            _submit_concurrent,
            _resubmit,
            _read,
            _crash_all,
            _crash_all,
            _crash,
            _cut_links,
        ),
        "links": (*_OPERATORS, _cut_links, _cut_one_way, _cut_one_way, _flap_links, _freeze, _crash),
        "disks": (
            *_OPERATORS,
            _fail_disk_writes,
            _hang_disk,
            _damage_disk_rows,
            _damage_one_of_two_copies,
            _crash,
            _crash,
            _crash_all,
            _lose_disks,
            _cut_links,
        ),
        "crowd": (
            _submit_eight_rivals,
            _submit_eight_rivals,
            _resubmit,
            _resubmit,
            _resubmit,
            _read,
            _freeze,
            _crash,
            _lose_disks,
            _cut_links,
            _cut_one_way,
        ),
        "duel": (_submit_duel, _submit_duel, _submit_duel, _read, _restart_briefly, _restart_briefly, _restart_briefly),
        "age": (
            _resubmit,
            _resubmit,
            _resubmit,
            _read,
            _crash,
            _lose_disks,
            _cut_links,
            _cut_links,
            _freeze,
            _replace_machines,
            _fail_disk_writes,
        ),
    }


def run(seeds: Iterable[int], steps: int = STEPS, node_class: type[Node] = Node) -> Report:
    """Run one random schedule of `steps` actions for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, node_class), report)
    return report


MUTANTS = [Mutant(each.guard, partial(run, node_class=each.node_class), each.seed, each.why) for each in MUTATIONS]
