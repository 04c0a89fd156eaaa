"""One gateway: the process that carries traffic on a machine."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from random import Random

import uvloop

from crowseam import clock, logs
from crowseam import settings as settings_file
from crowseam.configuration.routing import Table
from crowseam.gateway.controller_session import ControllerSession
from crowseam.gateway.counters import SPAN
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.keyed_requests import KeyedRequests
from crowseam.gateway.request_reader import Reader
from crowseam.metrics import latency
from crowseam.operations.claims import OperationClaims
from crowseam.quotas.admission import PERIOD
from crowseam.transport.http import Call, HttpConnection
from fennelpoint.net.server import Bounds, Server

SLICES, SWEEP = 0.1, 0.5  # s between looks at the leases; at idle connections
FILES = 200  # descriptors that are kept for files, and no socket gets
UPSTREAM_PART = 0.55  # of the descriptors, for connections to servers
ACCEPT_ON = 2.6  # s after SIGTERM that connections are taken: the platform asks each second, twice
END_BEFORE = 0.4  # s before the grace is over by which the process has ended
LOAD_LOOK = 0.5  # s between looks whether it is time to load the library of the histograms
GC_THRESHOLDS = (20_000, 20, 50)


class Process:
    """Wires the gateway to its sockets, clock and signals."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: settings_file.Settings, rng: Random | None = None
    ) -> None:
        """Wire the parts together; nothing listens before `start`."""
        self.loop, self.settings = loop, settings
        sockets = max(64, settings.limits.nofile - FILES - 32)
        upstream = int(sockets * UPSTREAM_PART)
        rng = rng or Random()
        self.gateway = Gateway(loop, settings, rng, upstream)
        self.reader = Reader()
        self.server = Server(loop, self.gateway, sockets - upstream, self.reader, Bounds())
        self.controller_session = ControllerSession(
            loop,
            settings,
            rng,
            self._on_table,
            self.gateway.follow,
            self.gateway.balancer.silent,
            self.gateway.asks,
            self.gateway.balancer.leaving,
        )
        self.gateway.reserve, self.gateway.share = self.controller_session.draw, self.controller_session.share
        self.controller_session.on_lease = self.gateway.lent
        self.gateway.left = self.controller_session.left
        keyed_requests = KeyedRequests(
            loop,
            rng,
            OperationClaims(settings.hostname, self.controller_session.life),
            self.controller_session.send,
        )
        self.gateway.keyed_requests = keyed_requests
        self.controller_session.on_claim_decision = keyed_requests.on_decision
        self.controller_session.on_operation_settled = keyed_requests.on_settled
        self.controller_session.on_connected = keyed_requests.on_connected
        self.gateway.relent = lambda now: [
            name for each in self.controller_session.holdings.values() for name in each.take_changed(now)
        ]
        self.controller_session.on_shun = lambda ids: self.gateway.balancer.shun(ids, clock.monotonic())
        self.listeners: list[asyncio.Server] = []
        self.stopping_since: float | None = None
        self.period_at = self.sweep_at = 0.0
        self.asked_at = clock.monotonic() + SPAN
        self.stopped: asyncio.Future = loop.create_future()

    async def start(self) -> None:
        """Listen for clients and for the platform's probes. Raises OSError where an address is taken."""
        self.controller_session.start()
        await self.server.listen(settings_file.address(self.settings.bind.http))
        host, port = settings_file.address(self.settings.bind.readyz)
        self.listeners.append(
            await self.loop.create_server(
                lambda: HttpConnection(self._readyz, 64 * 1024), host, port, reuse_address=True
            )
        )
        self._tick()
        logs.say("started", http=self.settings.bind.http, seeds=",".join(self.settings.seeds))

    def _on_table(self, table: Table) -> None:
        self.reader.table = table
        limits = table.limits
        # Clients keep within these; a little more is let through, as limits are counted in ways that differ.
        self.server.bounds = Bounds(limits.hdr_bytes + 1024, limits.body_max_bytes, limits.hdr, limits.idle)
        self.gateway.configure(table)

    def ready(self) -> bool:
        """Whether the platform may send clients here."""
        return self.stopping_since is None and self.controller_session.fresh and self.reader.table is not None

    def _readyz(self, call: Call) -> None:
        if call.path == "/-/metrics":
            from crowseam.metrics import exposition, families

            return exposition.answer(call, self.loop, families.of_gateway(self))
        if call.path != "/-/readyz":
            return call.reply(404)
        call.reply(200 if self.ready() else 503)

    def _tick(self) -> None:
        now = clock.monotonic()
        try:
            self.gateway.members = self.controller_session.members
            self.gateway.slices(now)
            self.gateway.balancer.ingresses = max(1, self.controller_session.members)
            if news := self.gateway.balancer.ill_news(now):
                self.controller_session.complain(news)
            self.gateway.keyed_requests.tick(now)
            if now >= self.period_at:
                self.period_at = now + PERIOD
                self.gateway.admission.regulate(now)
            if now >= self.asked_at:
                self.asked_at = now + SPAN
                if counts := self.gateway.counters.take():
                    logs.say("asked", span=SPAN, counts=counts)
                self._report_claims()
            if now >= self.sweep_at:
                self.sweep_at = now + SWEEP
                self.server.sweep()
                self.gateway.backends.sweep()
        except Exception:
            logs.failure("tick_failed")
        self.loop.call_later(SLICES, self._tick)

    def _report_claims(self) -> None:
        keyed = self.gateway.keyed_requests
        if keyed.counts:
            outcomes = ",".join(f"{outcome}:{count}" for outcome, count in sorted(keyed.counts.items()))
            p50_ms, p99_ms = (1000.0 * keyed.latency_quantile_s(quantile) for quantile in (0.5, 0.99))
            unsettled = keyed.claims.unsettled
            logs.say("operation_claims", outcomes=outcomes, p50_ms=p50_ms, p99_ms=p99_ms, unsettled=unsettled)

    def reload(self) -> None:
        """The settings may name other seeds."""
        try:
            self.controller_session.learn(settings_file.read().seeds)
        except settings_file.SettingsError as error:
            logs.say("settings_invalid", error=error)

    def stop(self) -> None:
        """No longer ready; what still comes is served, what is under way is finished."""
        if self.stopping_since is None:
            self.stopping_since = clock.monotonic()
            self.server.stopping = True  # each answer is the last of its connection
            logs.say("stopping", under_way=self.gateway.under_way)
            self.loop.call_later(ACCEPT_ON, self._finish)

    def _finish(self) -> None:
        self.server.stop_listening()
        self.server.close_unused(clock.monotonic())
        grace = settings_file.seconds(self.settings.bounds.grace, "grace")
        late = clock.monotonic() - self.stopping_since > grace - END_BEFORE
        if late or not (self.server.connections or self.gateway.under_way):
            self.controller_session.stop()
            self.loop.call_later(0.05, self._end)
        else:
            self.loop.call_later(0.02, self._finish)

    def _end(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Close all sockets at once."""
        for listener in self.listeners:
            listener.close()
        self.server.close()
        self.gateway.backends.close()


async def load_metrics(process: Process) -> None:
    """Import the library of the histograms once the gateway is ready, so that it delays no start.

    In a thread, as requests are under way by then.
    """
    while not process.ready():
        await asyncio.sleep(LOAD_LOOK)
    make = await process.loop.run_in_executor(None, latency.library)
    process.gateway.metrics.use(make)


async def serve(settings: settings_file.Settings) -> None:
    """Run one gateway until it is told to stop."""
    loop = asyncio.get_running_loop()
    process = Process(loop, settings)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    await process.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    loading = loop.create_task(load_metrics(process))
    await process.stopped
    loading.cancel()
    process.close()


def main() -> int:
    """Run the role; the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file is about to be read anyway
    try:
        settings = settings_file.read()
        for name in ("http", "readyz"):
            if not getattr(settings.bind, name):
                raise settings_file.SettingsError(f"bind.{name} is missing")
    except settings_file.SettingsError as error:
        print(f"crowseam: {error}", file=sys.stderr)
        return 2
    logs.begin("gateway", settings.hostname)
    try:
        uvloop.run(serve(settings))
    except OSError as error:
        logs.say("ended", error=error)
        return 1
    return 0
