"""Replacements of clocks, polls and logs in the daemons' modules while a simulation runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import perf_counter

from crowseam import clock, logs
from crowseam.simulator.world.loop import EPOCH, World
from crowseam.simulator.world.transport import Select
from fennelpoint.net import backends, notice, server


class VirtualTime:
    """Replaces the module `time`: the clocks of the process that is running."""

    perf_counter = staticmethod(perf_counter)

    def __init__(self, world: World) -> None:
        self.world = world

    def monotonic(self) -> float:
        """The steady clock of the running process, in s."""
        return self.world.current.clock(self.world.now)

    def time(self) -> float:
        """The time of day as the running process has it, in s since the epoch."""
        return EPOCH + self.world.now + self.world.current.skew

    def time_ns(self) -> int:
        """The time of day as the running process has it, in ns since the epoch."""
        return int(self.time() * 1e9)


def _discard(part: str, text: str, *args: object) -> None:
    """Complaints of the network code are not kept."""


@contextmanager
def simulated_environment(world: World, say: Callable[..., None]) -> Iterator[None]:
    """Within this, the daemons' code takes time from `world`, and what it logs goes to `say(event, **fields)`.

    Clocks, polls and log functions of the modules concerned are replaced, and put back at the end.
    """
    virtual_time = VirtualTime(world)
    replacements = [
        (clock, "monotonic", virtual_time.monotonic),
        (clock, "time", virtual_time.time),
        (clock, "time_ns", virtual_time.time_ns),
        (logs, "say", say),
        (notice, "warn_rate_limited", _discard),
        (backends, "warn_rate_limited", _discard),
    ]
    replacements += [(module, "time", virtual_time) for module in (backends, notice, server)]
    replacements += [(module, "select", Select) for module in (backends, server)]
    originals = [(module, name, getattr(module, name)) for module, name, _ in replacements]
    for module, name, value in replacements:
        setattr(module, name, value)
    try:
        yield
    finally:
        for module, name, value in originals:
            setattr(module, name, value)
        world.leave()
