"""One desk: the process that carries traffic on a machine."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from random import Random

import uvloop

from crowseam import clock, logs
from crowseam import settings as boots
from crowseam.configuration.routing import Table
from crowseam.gateway.controller_session import Follower
from crowseam.gateway.counters import SPAN
from crowseam.gateway.gateway import Desk
from crowseam.gateway.request_reader import Reader
from crowseam.metrics import latency
from crowseam.quotas.admission import PERIOD
from crowseam.transport.http import Call, Caller
from fennelpoint.net.server import Bounds, Server

SLICES, SWEEP = 0.1, 0.5    # s between looks at the leases; at idle connections
FILES = 200     # descriptors that are kept for files, and no socket gets
UPSTREAM_PART = 0.55    # of the descriptors, for connections to servers
ACCEPT_ON = 2.6     # s after SIGTERM that connections are taken: the platform asks each second, twice
END_BEFORE = 0.4    # s before the grace is over by which the process has ended
LOAD_LOOK = 0.5     # s between looks whether it is time to load the library of the histograms
GC_THRESHOLDS = (20_000, 20, 50)


class Process:
    """Wires the desk to its sockets, clock and signals."""

    def __init__(self, loop: asyncio.AbstractEventLoop, boot: boots.Boot, rng: Random | None = None) -> None:
        self.loop, self.boot = loop, boot
        sockets = max(64, boot.limits.nofile - FILES - 32)
        upstream = int(sockets * UPSTREAM_PART)
        rng = rng or Random()
        self.desk = Desk(loop, boot, rng, upstream)
        self.reader = Reader()
        self.server = Server(loop, self.desk, sockets - upstream, self.reader, Bounds())
        self.follower = Follower(loop, boot, rng, self._on_table, self.desk.follow,
                                 self.desk.clerk.silent, self.desk.asks, self.desk.clerk.leaving)
        self.desk.reserve, self.desk.share = self.follower.draw, self.follower.share
        self.follower.on_lease = self.desk.lent
        self.desk.left = self.follower.left
        self.desk.relent = lambda now: [name for each in self.follower.holdings.values()
                                        for name in each.news(now)]
        self.follower.on_shun = lambda ids: self.desk.clerk.shun(ids, clock.monotonic())
        self.listeners: list[asyncio.Server] = []
        self.stopping_since: float | None = None
        self.period_at = self.sweep_at = 0.0
        self.asked_at = clock.monotonic() + SPAN
        self.stopped: asyncio.Future = loop.create_future()

    async def start(self) -> None:
        self.follower.start()
        await self.server.listen(boots.address(self.boot.bind.http))
        host, port = boots.address(self.boot.bind.readyz)
        self.listeners.append(await self.loop.create_server(
            lambda: Caller(self._readyz, 64 * 1024), host, port, reuse_address=True))
        self._tick()
        logs.say("started", http=self.boot.bind.http, seeds=",".join(self.boot.seeds))

    def _on_table(self, table: Table) -> None:
        self.reader.table = table
        limits = table.limits
        # Clients keep within these; a little more is let through, as limits are counted in ways that differ.
        self.server.bounds = Bounds(limits.hdr_bytes + 1024, limits.body_max_bytes, limits.hdr, limits.idle)
        self.desk.configure(table)

    def ready(self) -> bool:
        return self.stopping_since is None and self.follower.fresh and self.reader.table is not None

    def _readyz(self, call: Call) -> None:
        if call.path == "/-/metrics":
            from crowseam.metrics import exposition, families
            return exposition.answer(call, self.loop, families.of_desk(self))
        if call.path != "/-/readyz":
            return call.reply(404)
        call.reply(200 if self.ready() else 503)

    def _tick(self) -> None:
        now = clock.monotonic()
        try:
            self.desk.members = self.follower.members
            self.desk.slices(now)
            self.desk.clerk.ingresses = max(1, self.follower.members)
            if news := self.desk.clerk.ill_news(now):
                self.follower.complain(news)
            if now >= self.period_at:
                self.period_at = now + PERIOD
                self.desk.admission.period(now)
            if now >= self.asked_at:
                self.asked_at = now + SPAN
                if counts := self.desk.tally.take():
                    logs.say("asked", span=SPAN, counts=counts)
            if now >= self.sweep_at:
                self.sweep_at = now + SWEEP
                self.server.sweep()
                self.desk.backends.sweep()
        except Exception:
            logs.failure("tick_failed")
        self.loop.call_later(SLICES, self._tick)

    def reload(self) -> None:
        """The settings may name other seeds."""
        try:
            self.follower.learn(boots.read().seeds)
        except boots.BootError as error:
            logs.say("settings_unread", error=error)

    def stop(self) -> None:
        """No longer ready; what still comes is served, what is under way is finished."""
        if self.stopping_since is None:
            self.stopping_since = clock.monotonic()
            self.server.stopping = True     # each answer is the last of its connection
            logs.say("stopping", under_way=self.desk.under_way)
            self.loop.call_later(ACCEPT_ON, self._finish)

    def _finish(self) -> None:
        self.server.stop_listening()
        self.server.close_unused(clock.monotonic())
        grace = boots.seconds(self.boot.bounds.grace, "grace")
        late = clock.monotonic() - self.stopping_since > grace - END_BEFORE
        if late or not (self.server.connections or self.desk.under_way):
            self.follower.stop()
            self.loop.call_later(0.05, self._end)
        else:
            self.loop.call_later(0.02, self._finish)

    def _end(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        self.server.close()
        self.desk.backends.close()


async def load_figures(process: Process) -> None:
    """Import the library of the histograms once the desk is ready, so that it delays no start.

    In a thread, as requests are under way by then.
    """
    while not process.ready():
        await asyncio.sleep(LOAD_LOOK)
    make = await process.loop.run_in_executor(None, latency.library)
    process.desk.figures.use(make)


async def serve(boot: boots.Boot) -> None:
    """Run one desk until it is told to stop."""
    loop = asyncio.get_running_loop()
    process = Process(loop, boot)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    await process.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    loading = loop.create_task(load_figures(process))
    await process.stopped
    loading.cancel()
    process.close()


def main() -> int:
    """Run the role; the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)    # the file is about to be read anyway
    try:
        boot = boots.read()
        for name in ("http", "readyz"):
            if not getattr(boot.bind, name):
                raise boots.BootError(f"bind.{name} is missing")
    except boots.BootError as error:
        print(f"crowseam: {error}", file=sys.stderr)
        return 2
    logs.begin("desk", boot.hostname)
    try:
        uvloop.run(serve(boot))
    except OSError as error:
        logs.say("ended", error=error)
        return 1
    return 0
