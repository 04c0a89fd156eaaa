"""What the daemons' modules see in place of clocks, polls and logs while an simulation runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import perf_counter

from crowseam import clock, logs
from crowseam.simulator.world.loop import EPOCH, World
from crowseam.simulator.world.network import Select
from fennelpoint.net import backends, notice, server


class VirtualTime:
    """Stands in for the module `time`, in whichever process is running."""

    perf_counter = staticmethod(perf_counter)

    def __init__(self, world: World) -> None:
        self.world = world

    def monotonic(self) -> float:
        return self.world.current.clock(self.world.now)

    def time(self) -> float:
        return EPOCH + self.world.now + self.world.current.skew

    def time_ns(self) -> int:
        return int(self.time() * 1e9)


def _unheard(part: str, text: str, *args: object) -> None:
    """Complaints of the network code are not kept."""


@contextmanager
def worn(world: World, say: Callable[..., None]) -> Iterator[None]:
    """Within this, the daemons' code lives in `world`, and what it logs goes to `say(event, **fields)`."""
    told = VirtualTime(world)
    places = [
        (clock, "monotonic", told.monotonic),
        (clock, "time", told.time),
        (clock, "time_ns", told.time_ns),
        (logs, "say", say),
        (notice, "complain", _unheard),
        (backends, "complain", _unheard),
    ]
    places += [(module, "time", told) for module in (backends, notice, server)]
    places += [(module, "select", Select) for module in (backends, server)]
    before = [(module, name, getattr(module, name)) for module, name, _ in places]
    for module, name, value in places:
        setattr(module, name, value)
    try:
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)
        world.leave()
