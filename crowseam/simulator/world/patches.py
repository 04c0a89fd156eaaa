"""Replaces clocks, `select` and log functions in the daemons' modules while a simulation runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import perf_counter

from crowseam import clock, logs
from crowseam.simulator.world.loop import EPOCH, World
from crowseam.simulator.world.transport import Select
from fennelpoint.net import backends, notice, server


class VirtualTime:
    """Replacement for the module `time`, with the clocks of the running process."""

    perf_counter = staticmethod(perf_counter)

    def __init__(self, world: World) -> None:
        self.world = world

    def monotonic(self) -> float:
        """Monotonic clock of the running process, in s."""
        return self.world.current.clock(self.world.now)

    def time(self) -> float:
        """Wall clock of the running process, in s since the epoch."""
        return EPOCH + self.world.now + self.world.current.skew

    def time_ns(self) -> int:
        """Wall clock of the running process, in ns since the epoch."""
        return int(self.time() * 1e9)


def _discard(part: str, text: str, *args: object) -> None:
    """Drop warnings of the network code."""


@contextmanager
def simulated_environment(world: World, say: Callable[..., None]) -> Iterator[None]:
    """Within this context the daemons read the clocks of `world`, and their log events go to `say(event, **fields)`.

    The clocks, `select` and log functions of the affected modules are replaced, and restored on exit.
    """
    virtual_time = VirtualTime(world)
    replacements = [
        (clock, "monotonic", virtual_time.monotonic),
        (clock, "time", virtual_time.time),
        (clock, "time_ns", virtual_time.time_ns),
        (logs, "emit", say),
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
