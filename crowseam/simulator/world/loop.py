"""Virtual time: one queue of events, and for each process an event loop as asyncio knows it.

A process that is simulated runs on a `ProcessLoop`.  Its callbacks cost processor time, so that one that is
overloaded or frozen falls behind; its steady clock began at a moment of its own and is a little off.
"""

from __future__ import annotations

import asyncio
import traceback
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from heapq import heappop, heappush
from random import Random
from typing import Any, Protocol

TIMER_DELAY_MOST = 0.001  # s, most that a timer fires late
EPOCH = 1_700_000_000.0  # s, time of day at which the simulation begins


class Connector(Protocol):
    """What an event loop needs of the network: to dial and to listen."""

    def dial(self, process: Process, factory: Callable, host: str, port: int, made: asyncio.Future) -> None:
        """Open a connection; `made` gets (transport, protocol) or the error."""

    def listen(self, process: Process, factory: Callable, host: str, port: int) -> object:
        """Listen at an address. Raises OSError where another does."""


class Handle:
    """A callback that is due, as asyncio's handles are."""

    __slots__ = ("callback", "args", "context", "process", "due")

    def __init__(self, callback: Callable, args: tuple, context: Any, process: Process, due: float) -> None:
        self.callback, self.args, self.context, self.process, self.due = callback, args, context, process, due

    def cancel(self) -> None:
        """The callback is not called any more."""
        self.callback, self.args = None, ()

    def cancelled(self) -> bool:
        """Whether it was cancelled, or has been called."""
        return self.callback is None

    def when(self) -> float:
        """When it is due, by the steady clock of its process, in s."""
        return self.process.clock(self.due)


class World:
    """The time (s since the beginning), the queue of what is due, and the source of all randomness."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.seed = seed
        self.queue: list[tuple[float, int, Handle]] = []
        self.count = 0
        self.fired = 0
        self.failures: list[str] = []  # exceptions that nobody caught
        self.outside = Process(self, "outside", "", 0.0)
        self.current = self.outside

    def random(self, name: str) -> Random:
        """A generator of its own for a part, so that one part's draws don't shift another's."""
        return Random(f"{self.seed}/{name}")

    def at(self, when: float, process: Process, callback: Callable, args: tuple = (), context: Any = None) -> Handle:
        """Put a callback of a process into the queue, due at `when` (s)."""
        handle = Handle(callback, args, context, process, when)
        self.count += 1
        heappush(self.queue, (when, self.count, handle))
        return handle

    def run(self, until: float) -> None:
        """Let everything happen that is due until then."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            when, _, handle = heappop(queue)
            if handle.callback is not None:
                if when > self.now:
                    self.now = when
                handle.process.fire(handle)
        self.now = max(self.now, until)
        self.enter(self.outside)

    def enter(self, process: Process) -> None:
        """This process runs from now on; asyncio finds its loop."""
        if self.current is not process:
            self.current = process
            events._set_running_loop(process.loop)

    def leave(self) -> None:
        """No loop of ours is running any more."""
        events._set_running_loop(None)

    def failed(self, text: str) -> None:
        """An exception was caught nowhere: keep its text."""
        self.failures.append(f"t={self.now:.3f} process={self.current.name} {text}")


class Process:
    """A process of the operating system: it runs, waits for the processor, is frozen, or is dead."""

    def __init__(
        self, world: World, name: str, ip: str, cost: float, offset: float = 0.0, drift: float = 0.0, skew: float = 0.0
    ) -> None:
        self.world, self.name, self.ip = world, name, ip
        self.cost = cost  # s of the processor for a callback
        self.offset, self.rate, self.skew = offset, 1.0 + drift, skew
        self.alive = True
        self.frozen = False
        self.busy_until = 0.0
        self.used = 0.0  # s of the processor so far
        self.backlog: deque[Handle] = deque()
        self.transports: dict[object, None] = {}
        self.listeners: dict[int, object] = {}
        self.rng = world.random(f"process/{name}") if cost else world.rng
        self.loop = ProcessLoop(self)

    def clock(self, now: float) -> float:
        """What its steady clock shows, in s."""
        return self.offset + now * self.rate

    def fire(self, handle: Handle) -> None:
        """A callback is due: run it, or queue it behind what the process is busy with."""
        if not self.alive:
            return
        if not self.cost:
            return self._run(handle)
        if self.frozen or self.backlog or self.busy_until > self.world.now:
            if not self.backlog and not self.frozen:
                self.world.at(self.busy_until, self, self._next).process = _Turn(self)
            self.backlog.append(handle)
            return
        self._run(handle)
        self.charge(self.cost)

    def charge(self, cost: float) -> None:
        """It has used the processor for so many s."""
        self.used += cost
        self.busy_until = max(self.busy_until, self.world.now) + cost

    def _next(self) -> None:
        if not self.alive or self.frozen:
            return
        while self.backlog:
            handle = self.backlog.popleft()
            if handle.callback is not None:
                self._run(handle)
                self.charge(self.cost)
                break
        if self.backlog:
            self.world.at(max(self.busy_until, self.world.now), self, self._next).process = _Turn(self)

    def thaw(self) -> None:
        """A frozen process goes on."""
        if self.frozen:
            self.frozen = False
            self._rank_backlog()
            if self.backlog:
                self.world.at(self.world.now, self, self._next).process = _Turn(self)

    def _rank_backlog(self) -> None:
        """What waited for one that stood still comes as a poll has it: timers, then socket by socket."""
        sockets: dict[object, list[Handle]] = {}
        timers: list[Handle] = []
        for handle in self.backlog:
            owner = getattr(handle.callback, "__self__", None)
            (sockets.setdefault(owner, []) if owner in self.transports else timers).append(handle)
        order = list(sockets.values())
        self.world.random(f"thaw/{self.name}/{self.world.now}").shuffle(order)
        self.backlog = deque([*timers, *(handle for each in order for handle in each)])

    def _run(self, handle: Handle) -> None:
        self.world.enter(self)
        self.world.fired += 1
        callback, args, context = handle.callback, handle.args, handle.context
        handle.callback = None
        try:
            if context is None:
                callback(*args)
            else:
                context.run(callback, *args)
        except Exception:
            self.world.failed(traceback.format_exc())

    def die(self) -> None:
        """The process ends: nothing of it runs any more."""
        self.alive = False
        self.backlog.clear()
        self.listeners.clear()


class _Turn:
    """Takes the place of the process in the queue for the turn of a busy process, which is no callback of its own."""

    __slots__ = ("process",)

    def __init__(self, process: Process) -> None:
        self.process = process

    def fire(self, handle: Handle) -> None:
        """Let the process take its next turn."""
        handle.callback()


class ProcessLoop(asyncio.AbstractEventLoop):
    """What one process sees as its event loop."""

    network: Connector

    def __init__(self, process: Process) -> None:
        self.process, self.world = process, process.world

    def time(self) -> float:
        """The steady clock of the process, in s."""
        return self.process.clock(self.world.now)

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back at this moment, after what is due already."""
        return self.world.at(self.world.now, self.process, callback, args, context)

    call_soon_threadsafe = call_soon

    def call_later(self, delay: float, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back after `delay` s of the steady clock of the process, or a little later."""
        process = self.process
        when = self.world.now + max(0.0, delay) / process.rate
        if process.cost:
            when += TIMER_DELAY_MOST * process.rng.random()
        return self.world.at(when, process, callback, args, context)

    def call_at(self, when: float, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back when the steady clock of the process shows `when`."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def create_future(self) -> asyncio.Future:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        """A task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Debugging is off."""
        return False

    def is_running(self) -> bool:
        """The loop always runs."""
        return True

    def is_closed(self) -> bool:
        """The loop is never closed."""
        return False

    def call_exception_handler(self, context: dict) -> None:
        """Keep an exception that was caught nowhere."""
        # What a process leaves behind when it is killed is nobody's fault.
        if self.process.alive:
            self.world.failed(f"{context.get('message')}: {context.get('exception')!r}")

    default_exception_handler = call_exception_handler

    async def create_connection(self, protocol_factory: Callable, host: str, port: int, **_: Any) -> tuple:
        """Dial over the simulated network. Raises OSError."""
        made = self.create_future()
        self.network.dial(self.process, protocol_factory, host, port, made)
        try:
            return await made
        except asyncio.CancelledError:
            made.cancel()
            raise

    async def create_server(self, protocol_factory: Callable, host: str, port: int, **_: Any) -> object:
        """Listen on the simulated network. Raises OSError."""
        return self.network.listen(self.process, protocol_factory, host, port)
