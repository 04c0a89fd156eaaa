"""Model check of keyed operations: voters, coordinators and gateways as they run, on a virtual clock.

`run` plays seeded random schedules.  Clients send operations, come again after failures with the same key, at any
gateway, at the same instant and after good answers.  Meanwhile processes are killed, frozen and cut off one way or
both, disks hang, fill up and are lost (as many at once as may be), voters are replaced, all lose power.  It watches
that

- no operation runs twice within its window, counted from when its first run was sent;
- all successes of one operation have the same body;
- a try that was promised not to run has not run and never does;
- in the calm at the end, operations come through, and one that was never sent is not taken for one that was.

Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple
from unittest import mock

from crowseam import clock, logs
from crowseam.controller.durable_state import CAUGHT_UP_ON_OPERATIONS_KEY
from crowseam.model_checks.operations.machines import KEY_WINDOW_S, Controller, GatewayMachine
from crowseam.model_checks.operations.world import World
from crowseam.model_checks.schedules import Report, Violation, play
from crowseam.operations.records import CLOCK_DRIFT, RETENTION_MARGIN_S

STEPS = 14  # acts of fate in a schedule
CALM_S = 4.0  # at the end, for sessions, disks and voters to be well again
WINDOW_S = (KEY_WINDOW_S + RETENTION_MARGIN_S) * (1.0 + CLOCK_DRIFT) + 4.0  # after which nothing is left of a key


class Types(NamedTuple):
    """What runs: the code, or a mutant of it."""

    controller: type[Controller] = Controller
    gateway: type[GatewayMachine] = GatewayMachine


class _Schedule:
    """Operations go on while `steps` acts of fate befall the machines; then there are no more faults."""

    def __init__(self, seed: int, steps: int, types: Types) -> None:
        chance = Random(f"operations/{seed}")
        voters, survive = chance.choice(((3, 1), (5, 2), (6, 2), (8, 2)))
        self.steps = steps
        self.is_short_of_space = chance.random() < 0.1
        disk_mb = 0.15 if self.is_short_of_space else 64.0
        self.world = World(seed, voters, chance.choice((2, 3)), survive, disk_mb, types)
        self.world.loss = chance.choice((0.0, 0.0, 0.01, 0.05))
        self.world.doubled = chance.choice((0.0, 0.02))
        self.world.late = chance.choice((0.0, 0.0, 0.02))
        self.pause_s = chance.choice((0.02, 0.05))
        self.has_long_freeze = chance.random() < 0.1
        self.flowing = True
        self.count = 0
        self.unready: dict[str, float] = {}  # machines that lost a disk or are away, by until when they count as lost

    def play(self) -> None:
        """Play it to its end; raises Violation."""
        world = self.world
        with mock.patch.object(clock, "monotonic", lambda: world.now), mock.patch.object(logs, "emit", _say_nothing):
            self._restart_all()
            self._flow()
            world.run_until(0.3)
            if self.has_long_freeze:
                self._freeze_past_the_window()
            for _ in range(self.steps):
                world.rng.choice(self._acts())()
                world.run_until(world.now + world.rng.uniform(0.02, 0.8))
            self._heal()
            world.run_until(world.now + CALM_S)
            self.flowing = False
            self._check_calm()

    def _restart_all(self) -> None:
        """Processes read the clock as they start: start them once more, now that it is virtual."""
        world = self.world
        for controller in world.controllers.values():
            controller.end()
            controller.start()
        for machine in world.gateways:
            machine.end()
            machine.start()

    def _flow(self) -> None:
        world = self.world
        if not self.flowing:
            return
        self.count += 1
        key = b"k%d" % self.count
        world.submit(key)
        draw = world.rng.random()
        if draw < 0.15:  # the same operation at the same instant, or soon after
            world.after(world.rng.choice((0.0, 0.001, 0.003, 0.02, 0.2)), world.submit, key)
        elif draw < 0.17:  # another request with the same key
            world.after(world.rng.choice((0.0, 0.1, 1.0)), world.submit, key, 0, True)
        elif draw < 0.25:
            world.after(world.rng.uniform(0.3, KEY_WINDOW_S), world.submit, key, 0)
        world.after(self.pause_s * world.rng.uniform(0.5, 1.5), self._flow)

    # Acts of fate

    def _acts(self) -> list:
        return [
            self._kill_controller,
            self._kill_controller,
            self._kill_gateway,
            self._freeze_controller,
            self._freeze_gateway,
            self._cut,
            self._cut_one_way,
            self._hang_disk,
            self._fill_disk,
            self._wipe,
            self._wipe,
            self._replace_voter,
            self._lose_all_power,
            self._kill_all,
        ]

    def _kill_controller(self) -> None:
        world = self.world
        up = [each for each in world.controllers.values() if each.process is not None]
        if up:
            controller = world.rng.choice(up)
            controller.end(power=world.rng.random() < 0.5)
            world.after(world.rng.uniform(0.05, 1.0), self._start, controller)

    def _start(self, controller: Controller) -> None:
        if controller.process is None:
            controller.start()

    def _kill_gateway(self) -> None:
        machine = self.world.rng.choice(self.world.gateways)
        machine.end()
        self.world.after(self.world.rng.uniform(0.05, 0.5), self._start_gateway, machine)

    def _start_gateway(self, machine: GatewayMachine) -> None:
        if machine.process is None:
            machine.start()

    def _freeze_controller(self) -> None:
        world = self.world
        world.freeze(world.rng.choice(sorted(world.controllers)), world.rng.uniform(0.1, 2.0))

    def _freeze_gateway(self) -> None:
        world = self.world
        world.freeze(world.rng.choice(world.gateways).name, world.rng.choice((0.2, 1.0, 3.0)))

    def _freeze_past_the_window(self) -> None:
        """A gateway stands still, with claims under way, until they are forgotten and their keys run elsewhere."""
        world = self.world
        machine = world.gateways[0]
        keys = [b"frozen%d" % number for number in range(20)]
        for key in keys:
            world.submit(key, 0, machine=machine)
            world.run_until(world.now + 0.0005)
        world.freeze(machine.name, WINDOW_S)
        self.flowing = False  # what clients send to it meanwhile would come all at once
        world.run_until(world.now + WINDOW_S - 1.5)
        for key in keys:
            world.submit(key, 0)
        world.run_until(world.now + 3.0)
        self.flowing = True
        self._flow()

    def _cut(self) -> None:
        one = self.world.rng.choice([*self.world.controllers, *(each.name for each in self.world.gateways)])
        others = [addr for addr in (*self.world.controllers, *(g.name for g in self.world.gateways)) if addr != one]
        self._cut_for({(one, other) for other in others} | {(other, one) for other in others})

    def _cut_one_way(self) -> None:
        addrs = [*self.world.controllers, *(each.name for each in self.world.gateways)]
        one = self.world.rng.choice(addrs)
        others = [addr for addr in addrs if addr != one and self.world.rng.random() < 0.6]
        is_out = self.world.rng.random() < 0.5
        self._cut_for({(one, other) if is_out else (other, one) for other in others})

    def _cut_for(self, ways: set[tuple[str, str]]) -> None:
        self.world.cut |= ways
        self.world.after(self.world.rng.uniform(0.1, 1.5), self._mend, ways)

    def _mend(self, ways: set[tuple[str, str]]) -> None:
        self.world.cut -= ways

    def _hang_disk(self) -> None:
        disk = self.world.rng.choice(sorted(self.world.controllers.values(), key=lambda each: each.addr)).disk
        disk.hangs_until = self.world.now + self.world.rng.uniform(0.1, 1.0)

    def _fill_disk(self) -> None:
        disk = self.world.controllers[self.world.rng.choice(sorted(self.world.controllers))].disk
        disk.is_full = True

        def empty() -> None:
            disk.is_full = False

        self.world.after(self.world.rng.uniform(0.2, 1.5), empty)

    def _wipe(self, count: int | None = None) -> None:
        """Disks are lost, as many at once as may be; their machines return under new ids, and replace the old ones."""
        world = self.world
        lost = self._lost()
        room = world.survive - len(lost)
        if room <= 0:
            return
        able = sorted(set(world.voters) - set(lost))
        for addr in world.rng.sample(able, world.rng.randint(1, room) if count is None else min(count, room)):
            controller = world.controllers[addr]
            controller.end(power=True)
            controller.disk.wipe()
            world.after(world.rng.uniform(0.05, 0.5), self._return_empty, controller)

    def _lost(self) -> list[str]:
        """The voters that count as lost."""
        return [addr for addr in self.world.voters if not self._is_whole(self.world.controllers[addr])]

    def _is_whole(self, controller: Controller) -> bool:
        """Whether a machine has its disk, votes, and has on disk that it has learned what it must.

        Until then it counts as lost: the pages give it longer than this takes.
        """
        is_voter = self.world.voters.get(controller.addr) == controller.disk.voter_id
        noted = controller.disk.notes.get(CAUGHT_UP_ON_OPERATIONS_KEY, b"").decode()
        has_learned = noted == controller.disk.voter_id and controller.process is not None
        return is_voter and has_learned and controller.service.catch_up.is_caught_up

    def _return_empty(self, controller: Controller) -> None:
        if controller.process is None:
            controller.start()
        self.world.after(self.world.rng.uniform(0.05, 0.5), self._let_in, controller)

    def _let_in(self, controller: Controller) -> None:
        """The agreement replaces the machine's old id by its new one; each learns of it in its own time."""
        world = self.world
        if controller.process is None:
            world.after(0.2, self._let_in, controller)
            return
        voters = dict(world.voters)
        if controller.addr not in voters or voters[controller.addr] == controller.disk.voter_id:
            return
        voters[controller.addr] = controller.disk.voter_id
        self._change_voters(voters)

    def _change_voters(self, voters: dict[str, str]) -> None:
        world = self.world
        slot = max(world.voters_at) + 1
        world.voters_at[slot] = voters
        for controller in world.controllers.values():
            world.after(world.rng.choice((0.002, 0.01, 0.1, 0.6, 2.0)), self._know, controller, slot)

    def _know(self, controller: Controller, slot: int) -> None:
        if self.world.slot_known.get(controller.addr, 0) < slot:
            controller.know(slot)

    def _replace_voter(self) -> None:
        """An empty machine takes the place of a voter that lives, and that may not hear of it for long."""
        world = self.world
        spares = [addr for addr, each in world.controllers.items() if addr not in world.voters and each.process]
        spares = [addr for addr in spares if not world.controllers[addr].disk.notes]
        if not spares or len(self._lost()) >= world.survive:
            return
        newcomer = world.controllers[world.rng.choice(spares)]
        voters = dict(world.voters)
        voters.pop(world.rng.choice(sorted(voters)))
        voters[newcomer.addr] = newcomer.disk.voter_id
        self._change_voters(voters)

    def _lose_all_power(self) -> None:
        """All lose power at the same moment, at times with disks; gateways too."""
        world = self.world
        if world.rng.random() < 0.5:
            self._wipe()
        for machine in world.gateways:
            machine.end()
            world.after(world.rng.uniform(0.1, 0.5), self._start_gateway, machine)
        for controller in world.controllers.values():
            controller.end(power=True)
            world.after(world.rng.uniform(0.05, 0.4), self._start, controller)
        if world.rng.random() < 0.3 and not self.is_short_of_space:
            self._heal()
            world.run_until(world.now + 1.5)
            self._check_kept()

    def _kill_all(self) -> None:
        for controller in self.world.controllers.values():
            controller.end()
            self.world.after(self.world.rng.uniform(0.05, 0.3), self._start, controller)

    # The end

    def _heal(self) -> None:
        world = self.world
        world.steady()
        world.cut.clear()
        for addr in list(world.frozen):
            del world.frozen[addr]
            world.thaw(addr)
        for controller in world.controllers.values():
            controller.disk.is_full = False
            controller.disk.hangs_until = 0.0
            self._start(controller)
        for machine in world.gateways:
            self._start_gateway(machine)

    def _check_calm(self) -> None:
        """What is new comes through; a key of which no try was ever sent to a server is free; answers stay."""
        world = self.world
        if lost := self._lost():
            raise Violation(f"{len(lost)} of {len(world.voters)} voters do not vote on claims")
        world.run_until(world.now + 0.5)
        self._check_kept()
        if self.is_short_of_space:
            return
        world.run_until(world.now + 2.0)
        fresh = [b"fresh%d" % number for number in range(20)]
        for key in fresh:
            world.submit(key, tries=6)
        world.run_until(world.now + 6.0)
        missing = [key for key in fresh if len(world.keys[key].runs) != 1]
        if missing:
            raise Violation(f"in calm times {missing} have not run once")

    def _check_kept(self) -> None:
        """What a majority was known to keep is answered still, inside its window."""
        world = self.world
        kept = [
            key
            for key, seen in world.keys.items()
            if seen.kept_at is not None
            and not seen.ran_as_other
            and world.now < seen.runs[0].sent_at + KEY_WINDOW_S - 2.0
        ]
        for key in kept:
            world.keys[key].statuses.clear()
            world.submit(key)
            world.run_until(world.now + 0.005)  # a server is chosen before the voters are asked, so not all at once
        world.run_until(world.now + 1.0)
        lost = [key for key in kept if 200 not in world.keys[key].statuses]
        if lost:
            raise Violation(f"kept answers are not given again: {lost}, {[world.keys[key].statuses for key in lost]}")
        world.outcomes["kept answers given again"] += len(kept)


def _say_nothing(event: str, **fields: object) -> None:
    if event.endswith("_failed"):
        raise Violation(f"{event}: {fields}")


def run(seeds: Iterable[int], steps: int = STEPS, types: Types = Types()) -> Report:  # noqa: B008 - a constant
    """Play a schedule for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, types), report)
    return report
