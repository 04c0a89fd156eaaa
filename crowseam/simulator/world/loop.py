"""Virtual time: one global event queue, and an asyncio event loop for each simulated process.

A simulated process runs on a `ProcessLoop`.  Its callbacks consume processor time, so that an overloaded or frozen
process falls behind.  Its monotonic clock has an offset and a drift of its own.
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

MAX_TIMER_DELAY_S = 0.001  # latest that a timer fires after it is due
EPOCH = 1_700_000_000.0  # wall clock at the start of the simulation, in s since the epoch


class Connector(Protocol):
    """What an event loop needs from the network."""

    def dial(self, process: Process, factory: Callable, host: str, port: int, connected: asyncio.Future) -> None:
        """Open a connection; `connected` resolves to (transport, protocol) or fails with OSError."""

    def listen(self, process: Process, factory: Callable, host: str, port: int) -> object:
        """Listen at an address. Raises OSError if it is in use."""


class Handle:
    """A scheduled callback, compatible with asyncio.TimerHandle."""

    __slots__ = ("callback", "args", "context", "process", "due")

    def __init__(self, callback: Callable, args: tuple, context: Any, process: Process, due: float) -> None:
        self.callback, self.args, self.context, self.process, self.due = callback, args, context, process, due

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback, self.args = None, ()

    def cancelled(self) -> bool:
        """Whether the callback was cancelled or has already run."""
        return self.callback is None

    def when(self) -> float:
        """Time at which it is due, in s of the monotonic clock of its process."""
        return self.process.clock(self.due)


class World:
    """Virtual time (`now`, in s since the start), the event queue, and the seeded random streams."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.seed = seed
        self.queue: list[tuple[float, int, Handle]] = []
        self.scheduled_count = 0
        self.callbacks_run = 0
        self.failures: list[str] = []  # uncaught exceptions
        self.environment = Process(self, "outside", "", 0.0)
        self.current = self.environment

    def random(self, name: str) -> Random:
        """Return an independent random stream, so that the draws of one component do not shift those of another."""
        return Random(f"{self.seed}/{name}")

    def schedule(
        self, when: float, process: Process, callback: Callable, args: tuple = (), context: Any = None
    ) -> Handle:
        """Schedule a callback of a process at virtual time `when` (s)."""
        handle = Handle(callback, args, context, process, when)
        self.scheduled_count += 1
        heappush(self.queue, (when, self.scheduled_count, handle))
        return handle

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to `until`, and advance the clock to it."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            when, _, handle = heappop(queue)
            if handle.callback is not None:
                if when > self.now:
                    self.now = when
                handle.process.dispatch(handle)
        self.now = max(self.now, until)
        self.enter(self.environment)

    def enter(self, process: Process) -> None:
        """Make `process` the running process, so that asyncio finds its loop."""
        if self.current is not process:
            self.current = process
            events._set_running_loop(process.loop)

    def leave(self) -> None:
        """Unset the running loop."""
        events._set_running_loop(None)

    def record_failure(self, text: str) -> None:
        """Record the text of an uncaught exception."""
        self.failures.append(f"t={self.now:.3f} process={self.current.name} {text}")


class Process:
    """A simulated operating system process: it runs, waits for the processor, is frozen, or has ended.

    A `callback_cost_s` of 0 means that callbacks take no processor time and are never delayed.
    """

    def __init__(
        self,
        world: World,
        name: str,
        ip: str,
        callback_cost_s: float,
        offset: float = 0.0,
        drift: float = 0.0,
        skew: float = 0.0,
    ) -> None:
        self.world, self.name, self.ip = world, name, ip
        self.callback_cost_s = callback_cost_s  # processor time of one callback
        self.offset, self.rate, self.skew = offset, 1.0 + drift, skew
        self.alive = True
        self.frozen = False
        self.busy_until = 0.0
        self.processor_time_s = 0.0  # used so far
        self.backlog: deque[Handle] = deque()
        self.transports: dict[object, None] = {}
        self.listeners: dict[int, object] = {}
        self.rng = world.random(f"process/{name}") if callback_cost_s else world.rng
        self.loop = ProcessLoop(self)

    def clock(self, now: float) -> float:
        """Reading of its monotonic clock at virtual time `now`, in s."""
        return self.offset + now * self.rate

    def dispatch(self, handle: Handle) -> None:
        """Run a callback that is due, or append it to the backlog if the process is busy or frozen."""
        if not self.alive:
            return
        if not self.callback_cost_s:
            return self._run(handle)
        if self.frozen or self.backlog or self.busy_until > self.world.now:
            if not self.backlog and not self.frozen:
                self.world.schedule(self.busy_until, self, self._run_next).process = _BacklogTurn(self)
            self.backlog.append(handle)
            return
        self._run(handle)
        self.use_processor(self.callback_cost_s)

    def use_processor(self, seconds: float) -> None:
        """Account for processor time; the process is busy for that long."""
        self.processor_time_s += seconds
        self.busy_until = max(self.busy_until, self.world.now) + seconds

    def _run_next(self) -> None:
        if not self.alive or self.frozen:
            return
        while self.backlog:
            handle = self.backlog.popleft()
            if handle.callback is not None:
                self._run(handle)
                self.use_processor(self.callback_cost_s)
                break
        if self.backlog:
            self.world.schedule(max(self.busy_until, self.world.now), self, self._run_next).process = _BacklogTurn(self)

    def thaw(self) -> None:
        """Resume a frozen process."""
        if self.frozen:
            self.frozen = False
            self._order_backlog()
            if self.backlog:
                self.world.schedule(self.world.now, self, self._run_next).process = _BacklogTurn(self)

    def _order_backlog(self) -> None:
        """Order the backlog of a resumed process as a poll would: timers first, then one socket after another."""
        sockets: dict[object, list[Handle]] = {}
        timers: list[Handle] = []
        for handle in self.backlog:
            receiver = getattr(handle.callback, "__self__", None)
            (sockets.setdefault(receiver, []) if receiver in self.transports else timers).append(handle)
        by_socket = list(sockets.values())
        self.world.random(f"thaw/{self.name}/{self.world.now}").shuffle(by_socket)
        self.backlog = deque([*timers, *(handle for handles in by_socket for handle in handles)])

    def _run(self, handle: Handle) -> None:
        self.world.enter(self)
        self.world.callbacks_run += 1
        callback, args, context = handle.callback, handle.args, handle.context
        handle.callback = None
        try:
            if context is None:
                callback(*args)
            else:
                context.run(callback, *args)
        except Exception:
            self.world.record_failure(traceback.format_exc())

    def end(self) -> None:
        """End the process: none of its callbacks run any more."""
        self.alive = False
        self.backlog.clear()
        self.listeners.clear()


class _BacklogTurn:
    """Stands in for a busy process in the event queue, so that its next backlog entry runs without counting as one."""

    __slots__ = ("process",)

    def __init__(self, process: Process) -> None:
        self.process = process

    def dispatch(self, handle: Handle) -> None:
        """Run the next callback in the backlog of the process."""
        handle.callback()


class ProcessLoop(asyncio.AbstractEventLoop):
    """The asyncio event loop of one process, on virtual time."""

    network: Connector

    def __init__(self, process: Process) -> None:
        self.process, self.world = process, process.world

    def time(self) -> float:
        """The monotonic clock of the process, in s."""
        return self.process.clock(self.world.now)

    def call_soon(self, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back at the current time, after callbacks that are already due."""
        return self.world.schedule(self.world.now, self.process, callback, args, context)

    call_soon_threadsafe = call_soon

    def call_later(self, delay: float, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back after `delay` s of the monotonic clock of the process, or slightly later."""
        process = self.process
        when = self.world.now + max(0.0, delay) / process.rate
        if process.callback_cost_s:
            when += MAX_TIMER_DELAY_S * process.rng.random()
        return self.world.schedule(when, process, callback, args, context)

    def call_at(self, when: float, callback: Callable, *args: Any, context: Any = None) -> Handle:
        """Call back when the monotonic clock of the process reaches `when`."""
        return self.call_later(when - self.time(), callback, *args, context=context)

    def create_future(self) -> asyncio.Future:
        """Create a future on this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        """Create a task on this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def get_debug(self) -> bool:
        """Debug mode is always off."""
        return False

    def is_running(self) -> bool:
        """The loop always runs."""
        return True

    def is_closed(self) -> bool:
        """The loop is never closed."""
        return False

    def call_exception_handler(self, context: dict) -> None:
        """Record an uncaught exception."""
        # Tasks of a killed process are destroyed while pending; that is no failure.
        if self.process.alive:
            self.world.record_failure(f"{context.get('message')}: {context.get('exception')!r}")

    default_exception_handler = call_exception_handler

    async def create_connection(self, protocol_factory: Callable, host: str, port: int, **_: Any) -> tuple:
        """Connect over the simulated network. Raises OSError."""
        connected = self.create_future()
        self.network.dial(self.process, protocol_factory, host, port, connected)
        try:
            return await connected
        except asyncio.CancelledError:
            connected.cancel()
            raise

    async def create_server(self, protocol_factory: Callable, host: str, port: int, **_: Any) -> object:
        """Listen on the simulated network. Raises OSError."""
        return self.network.listen(self.process, protocol_factory, host, port)
