"""Model check of keyed operations: the real voters, coordinators and gateways on a virtual clock.

`run` runs seeded random schedules. Clients send operations and repeat them with the same key: after failures, after
successes and concurrently, at any gateway. Meanwhile processes are killed, frozen and cut off in one or both
directions; disks hang, fill up and are lost, at most as many at once as are tolerated; voters are replaced; all
machines lose power. Checked is that

- no operation runs twice within its window, counted from when its first run was sent;
- all successes of one operation have the same body;
- an attempt that was answered as not run has not run and never does;
- without faults at the end, operations succeed, and a new key is not mistaken for a used one.

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

STEPS = 14  # faults in a schedule
CALM_S = 4.0  # without faults at the end, for sessions, disks and voters to recover
WINDOW_S = (KEY_WINDOW_S + RETENTION_MARGIN_S) * (1.0 + CLOCK_DRIFT) + 4.0  # after which a key is forgotten


class Types(NamedTuple):
    """The classes under check: the real ones, or mutants."""

    controller: type[Controller] = Controller
    gateway: type[GatewayMachine] = GatewayMachine


class _Schedule:
    """Clients send operations during `steps` faults; then all faults end, and the results are checked."""

    def __init__(self, seed: int, steps: int, types: Types) -> None:
        rng = Random(f"operations/{seed}")
        voters, survive = rng.choice(((3, 1), (5, 2), (6, 2), (8, 2)))
        self.steps = steps
        self.is_short_of_space = rng.random() < 0.1
        disk_mb = 0.15 if self.is_short_of_space else 64.0
        self.world = World(seed, voters, rng.choice((2, 3)), survive, disk_mb, types)
        self.world.loss_rate = rng.choice((0.0, 0.0, 0.01, 0.05))
        self.world.duplicate_rate = rng.choice((0.0, 0.02))
        self.world.delay_rate = rng.choice((0.0, 0.0, 0.02))
        self.pause_s = rng.choice((0.02, 0.05))
        self.has_long_freeze = rng.random() < 0.1
        self.is_submitting = True
        self.count = 0
        self.unready: dict[str, float] = {}  # machines that count as lost, and until when

    def play(self) -> None:
        """Run it to its end; raises Violation."""
        world = self.world
        with (
            mock.patch.object(clock, "monotonic", lambda: world.now),
            mock.patch.object(logs, "emit", _check_log_event),
        ):
            self._restart_all()
            self._submit_next()
            world.run_until(0.3)
            if self.has_long_freeze:
                self._freeze_past_the_window()
            for _ in range(self.steps):
                world.rng.choice(self._actions())()
                world.run_until(world.now + world.rng.uniform(0.02, 0.8))
            self._heal()
            world.run_until(world.now + CALM_S)
            self.is_submitting = False
            self._check_calm()

    def _restart_all(self) -> None:
        """Restart all processes, since they read the clock at their start, which is now virtual."""
        world = self.world
        for controller in world.controllers.values():
            controller.end()
            controller.start()
        for machine in world.gateways:
            machine.end()
            machine.start()

    def _submit_next(self) -> None:
        world = self.world
        if not self.is_submitting:
            return
        self.count += 1
        key = b"k%d" % self.count
        world.submit(key)
        choice = world.rng.random()
        if choice < 0.15:  # the same operation at the same instant, or soon after
            world.after(world.rng.choice((0.0, 0.001, 0.003, 0.02, 0.2)), world.submit, key)
        elif choice < 0.17:  # another request with the same key
            world.after(world.rng.choice((0.0, 0.1, 1.0)), world.submit, key, 0, True)
        elif choice < 0.25:
            world.after(world.rng.uniform(0.3, KEY_WINDOW_S), world.submit, key, 0)
        world.after(self.pause_s * world.rng.uniform(0.5, 1.5), self._submit_next)

    # Faults

    def _actions(self) -> list:
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
            self._lose_disks,
            self._lose_disks,
            self._replace_voter,
            self._lose_all_power,
            self._kill_all,
        ]

    def _kill_controller(self) -> None:
        world = self.world
        running = [each for each in world.controllers.values() if each.process is not None]
        if running:
            controller = world.rng.choice(running)
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
        """Freeze a gateway with pending claims until the claims expire and their keys run elsewhere."""
        world = self.world
        machine = world.gateways[0]
        keys = [b"frozen%d" % number for number in range(20)]
        for key in keys:
            world.submit(key, 0, machine=machine)
            world.run_until(world.now + 0.0005)
        world.freeze(machine.name, WINDOW_S)
        self.is_submitting = False  # requests to the frozen gateway would all arrive at its end
        world.run_until(world.now + WINDOW_S - 1.5)
        for key in keys:
            world.submit(key, 0)
        world.run_until(world.now + 3.0)
        self.is_submitting = True
        self._submit_next()

    def _cut(self) -> None:
        isolated = self.world.rng.choice([*self.world.controllers, *(each.name for each in self.world.gateways)])
        others = [
            addr for addr in (*self.world.controllers, *(g.name for g in self.world.gateways)) if addr != isolated
        ]
        self._cut_for({(isolated, other) for other in others} | {(other, isolated) for other in others})

    def _cut_one_way(self) -> None:
        addrs = [*self.world.controllers, *(each.name for each in self.world.gateways)]
        isolated = self.world.rng.choice(addrs)
        others = [addr for addr in addrs if addr != isolated and self.world.rng.random() < 0.6]
        is_outbound = self.world.rng.random() < 0.5
        self._cut_for({(isolated, other) if is_outbound else (other, isolated) for other in others})

    def _cut_for(self, links: set[tuple[str, str]]) -> None:
        self.world.cut |= links
        self.world.after(self.world.rng.uniform(0.1, 1.5), self._reconnect, links)

    def _reconnect(self, links: set[tuple[str, str]]) -> None:
        self.world.cut -= links

    def _hang_disk(self) -> None:
        disk = self.world.rng.choice(sorted(self.world.controllers.values(), key=lambda each: each.addr)).disk
        disk.hangs_until = self.world.now + self.world.rng.uniform(0.1, 1.0)

    def _fill_disk(self) -> None:
        disk = self.world.controllers[self.world.rng.choice(sorted(self.world.controllers))].disk
        disk.is_full = True

        def empty() -> None:
            disk.is_full = False

        self.world.after(self.world.rng.uniform(0.2, 1.5), empty)

    def _lose_disks(self, count: int | None = None) -> None:
        """Lose disks, at most as many as are tolerated; the machines return with new ids that replace the old ones."""
        world = self.world
        lost = self._lost()
        allowance = world.survive - len(lost)
        if allowance <= 0:
            return
        candidates = sorted(set(world.voters) - set(lost))
        for addr in world.rng.sample(
            candidates, world.rng.randint(1, allowance) if count is None else min(count, allowance)
        ):
            controller = world.controllers[addr]
            controller.end(power=True)
            controller.disk.wipe()
            world.after(world.rng.uniform(0.05, 0.5), self._return_empty, controller)

    def _lost(self) -> list[str]:
        """The voters that count as lost."""
        return [addr for addr in self.world.voters if not self._is_whole(self.world.controllers[addr])]

    def _is_whole(self, controller: Controller) -> bool:
        """Whether a machine votes with the id on its disk and has persisted that its catch-up is complete.

        Until then it counts as lost.
        """
        is_voter = self.world.voters.get(controller.addr) == controller.disk.voter_id
        noted = controller.disk.notes.get(CAUGHT_UP_ON_OPERATIONS_KEY, b"").decode()
        has_learned = noted == controller.disk.voter_id and controller.process is not None
        return is_voter and has_learned and controller.service.catch_up.is_caught_up

    def _return_empty(self, controller: Controller) -> None:
        if controller.process is None:
            controller.start()
        self.world.after(self.world.rng.uniform(0.05, 0.5), self._replace_voter_id, controller)

    def _replace_voter_id(self, controller: Controller) -> None:
        """Replace the machine's old voter id by its new one; each controller learns of it after a delay."""
        world = self.world
        if controller.process is None:
            world.after(0.2, self._replace_voter_id, controller)
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
            world.after(world.rng.choice((0.002, 0.01, 0.1, 0.6, 2.0)), self._learn_slot, controller, slot)

    def _learn_slot(self, controller: Controller, slot: int) -> None:
        if self.world.slot_known.get(controller.addr, 0) < slot:
            controller.learn_slot(slot)

    def _replace_voter(self) -> None:
        """Replace a live voter by an empty machine; the old voter may learn of it late."""
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
        """All controllers and gateways lose power at once, sometimes with the loss of disks."""
        world = self.world
        if world.rng.random() < 0.5:
            self._lose_disks()
        for machine in world.gateways:
            machine.end()
            world.after(world.rng.uniform(0.1, 0.5), self._start_gateway, machine)
        for controller in world.controllers.values():
            controller.end(power=True)
            world.after(world.rng.uniform(0.05, 0.4), self._start, controller)
        if world.rng.random() < 0.3 and not self.is_short_of_space:
            self._heal()
            world.run_until(world.now + 1.5)
            self._check_answers_kept()

    def _kill_all(self) -> None:
        for controller in self.world.controllers.values():
            controller.end()
            self.world.after(self.world.rng.uniform(0.05, 0.3), self._start, controller)

    # Checks without faults

    def _heal(self) -> None:
        world = self.world
        world.clear_link_faults()
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
        """Check that all voters vote, that recorded answers are kept, and that new operations run once."""
        world = self.world
        if lost := self._lost():
            raise Violation(f"{len(lost)} of {len(world.voters)} voters do not vote on claims without faults")
        world.run_until(world.now + 0.5)
        self._check_answers_kept()
        if self.is_short_of_space:
            return
        world.run_until(world.now + 2.0)
        fresh = [b"fresh%d" % number for number in range(20)]
        for key in fresh:
            world.submit(key, tries=6)
        world.run_until(world.now + 6.0)
        missing = [key for key in fresh if len(world.keys[key].runs) != 1]
        if missing:
            raise Violation(f"{missing} have not run exactly once without faults")

    def _check_answers_kept(self) -> None:
        """Check that an answer stored by a majority is given again within its window."""
        world = self.world
        keys = [
            key
            for key, observed in world.keys.items()
            if observed.replicated_at is not None
            and not observed.ran_other_request
            and world.now < observed.runs[0].sent_at + KEY_WINDOW_S - 2.0
        ]
        for key in keys:
            world.keys[key].statuses.clear()
            world.submit(key)
            world.run_until(world.now + 0.005)  # staggered, as each occupies a server while the voters are asked
        world.run_until(world.now + 1.0)
        lost = [key for key in keys if 200 not in world.keys[key].statuses]
        if lost:
            raise Violation(f"stored answers are not given again: {lost}, {[world.keys[key].statuses for key in lost]}")
        world.outcomes["kept answers given again"] += len(keys)


def _check_log_event(event: str, **fields: object) -> None:
    if event.endswith("_failed"):
        raise Violation(f"{event}: {fields}")


def run(seeds: Iterable[int], steps: int = STEPS, types: Types = Types()) -> Report:  # noqa: B008 - a constant
    """Run a schedule for each seed."""
    report = Report()
    play(seeds, lambda seed: _Schedule(seed, steps, types), report)
    return report
