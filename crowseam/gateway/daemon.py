"""The gateway process, which carries traffic on a machine."""

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
from crowseam.gateway.counters import REPORT_INTERVAL_S
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.keyed_requests import KeyedRequests
from crowseam.gateway.request_reader import RequestReader
from crowseam.metrics import latency
from crowseam.operations.claims import OperationClaims
from crowseam.quotas.admission import PERIOD_S
from crowseam.transport.http import Call, HttpConnection
from fennelpoint.net.server import ClientLimits, Server

TICK_INTERVAL_S, SWEEP_INTERVAL_S = 0.1, 0.5  # sweeps close idle connections
RESERVED_DESCRIPTORS = 200  # not available to sockets
UPSTREAM_SHARE = 0.55  # of the sockets, for connections to servers
ACCEPT_AFTER_SIGTERM_S = 2.6  # until the platform has noticed: it probes each second, and acts on two failures
EXIT_MARGIN_S = 0.4  # before the grace period ends
READY_POLL_INTERVAL_S = 0.5  # until it is time to load the library of the histograms
GC_THRESHOLDS = (20_000, 20, 50)


class Process:
    """Connects the gateway to its sockets, clock and signals."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: settings_file.Settings, rng: Random | None = None
    ) -> None:
        """Connect the components; nothing listens before `start`."""
        self.loop, self.settings = loop, settings
        sockets = max(64, settings.limits.nofile - RESERVED_DESCRIPTORS - 32)
        upstream = int(sockets * UPSTREAM_SHARE)
        rng = rng or Random()
        self.gateway = Gateway(loop, settings, rng, upstream)
        self.reader = RequestReader()
        self.server = Server(loop, self.gateway, sockets - upstream, self.reader, ClientLimits())
        self.controller_session = ControllerSession(
            loop,
            settings,
            rng,
            self._on_table,
            self.gateway.update_servers,
            self.gateway.balancer.set_silent,
            self.gateway.demand,
            self.gateway.balancer.in_flight_on_draining,
        )
        self.gateway.draw_reserve, self.gateway.lease_share = (
            self.controller_session.draw_reserve,
            self.controller_session.lease_share,
        )
        self.controller_session.on_lease_granted = self.gateway.on_lease_granted
        self.gateway.lease_remaining_s = self.controller_session.lease_remaining_s
        keyed_requests = KeyedRequests(
            loop,
            rng,
            OperationClaims(settings.hostname, self.controller_session.incarnation),
            self.controller_session.send,
        )
        self.gateway.keyed_requests = keyed_requests
        self.controller_session.on_claim_decision = keyed_requests.on_decision
        self.controller_session.on_operation_settled = keyed_requests.on_settled
        self.controller_session.on_connected = keyed_requests.on_connected
        self.gateway.take_lease_changes = lambda now: [
            name for leases in self.controller_session.leases.values() for name in leases.take_changed(now)
        ]
        self.controller_session.on_ejected = lambda ids: self.gateway.balancer.set_ejected(ids, clock.monotonic())
        self.listeners: list[asyncio.Server] = []
        self.stopping_since: float | None = None
        self.next_regulate_at = self.next_sweep_at = 0.0
        self.next_report_at = clock.monotonic() + REPORT_INTERVAL_S
        self.stopped: asyncio.Future = loop.create_future()

    async def start(self) -> None:
        """Listen for clients and for the platform's probes. Raises OSError if an address is in use."""
        self.controller_session.start()
        await self.server.listen(settings_file.parse_address(self.settings.bind.http))
        host, port = settings_file.parse_address(self.settings.bind.readyz)
        self.listeners.append(
            await self.loop.create_server(
                lambda: HttpConnection(self._readyz, 64 * 1024), host, port, reuse_address=True
            )
        )
        self._tick()
        logs.emit("started", http=self.settings.bind.http, seeds=",".join(self.settings.seeds))

    def _on_table(self, table: Table) -> None:
        self.reader.table = table
        limits = table.limits
        # Some slack, as clients may count the size of a head differently.
        self.server.limits = ClientLimits(limits.hdr_bytes + 1024, limits.body_max_bytes, limits.hdr, limits.idle)
        self.gateway.configure(table)

    def ready(self) -> bool:
        """Whether the platform may send clients to this gateway."""
        return self.stopping_since is None and self.controller_session.is_caught_up and self.reader.table is not None

    def _readyz(self, call: Call) -> None:
        if call.path == "/-/metrics":
            from crowseam.metrics import exposition, families

            return exposition.answer_scrape(call, self.loop, families.of_gateway(self))
        if call.path != "/-/readyz":
            return call.reply(404)
        call.reply(200 if self.ready() else 503)

    def _tick(self) -> None:
        now = clock.monotonic()
        try:
            self.gateway.gateway_count = self.controller_session.gateway_count
            self.gateway.update_shares(now)
            self.gateway.balancer.gateway_count = max(1, self.controller_session.gateway_count)
            if outlier_counts := self.gateway.balancer.take_outlier_counts(now):
                self.controller_session.report_outliers(outlier_counts)
            self.gateway.keyed_requests.tick(now)
            if now >= self.next_regulate_at:
                self.next_regulate_at = now + PERIOD_S
                self.gateway.admission.regulate(now)
            if now >= self.next_report_at:
                self.next_report_at = now + REPORT_INTERVAL_S
                if counts := self.gateway.counters.take():
                    logs.emit("asked", span=REPORT_INTERVAL_S, counts=counts)
                self._report_claims()
            if now >= self.next_sweep_at:
                self.next_sweep_at = now + SWEEP_INTERVAL_S
                self.server.sweep()
                self.gateway.backends.sweep()
        except Exception:
            logs.exception("tick_failed")
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _report_claims(self) -> None:
        keyed = self.gateway.keyed_requests
        if keyed.counts:
            outcomes = ",".join(f"{outcome}:{count}" for outcome, count in sorted(keyed.counts.items()))
            p50_ms, p99_ms = (1000.0 * keyed.latency_quantile_s(quantile) for quantile in (0.5, 0.99))
            unsettled = keyed.claims.unsettled
            logs.emit("operation_claims", outcomes=outcomes, p50_ms=p50_ms, p99_ms=p99_ms, unsettled=unsettled)

    def reload(self) -> None:
        """Read the seeds from the settings again."""
        try:
            self.controller_session.add_controllers(settings_file.read().seeds)
        except settings_file.SettingsError as error:
            logs.emit("settings_invalid", error=error)

    def stop(self) -> None:
        """Stop being ready, and drain: new requests are still served, then those in flight are finished."""
        if self.stopping_since is None:
            self.stopping_since = clock.monotonic()
            self.server.stopping = True  # closes each connection after its next answer
            logs.emit("stopping", under_way=self.gateway.in_flight_count)
            self.loop.call_later(ACCEPT_AFTER_SIGTERM_S, self._finish)

    def _finish(self) -> None:
        self.server.stop_listening()
        self.server.close_unused(clock.monotonic())
        grace = settings_file.parse_duration_s(self.settings.bounds.grace, "grace")
        is_grace_over = clock.monotonic() - self.stopping_since > grace - EXIT_MARGIN_S
        if is_grace_over or not (self.server.connections or self.gateway.in_flight_count):
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
    """Import the library of the histograms once the gateway is ready, so that it does not delay the start.

    This runs in a thread, as requests are in flight by then.
    """
    while not process.ready():
        await asyncio.sleep(READY_POLL_INTERVAL_S)
    sketch_type = await process.loop.run_in_executor(None, latency.load_sketch_type)
    process.gateway.metrics.use_sketch_type(sketch_type)


async def serve(settings: settings_file.Settings) -> None:
    """Run a gateway until it is told to stop."""
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
    """Run the gateway role, and return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the settings are about to be read anyway
    try:
        settings = settings_file.read()
        for name in ("http", "readyz"):
            if not getattr(settings.bind, name):
                raise settings_file.SettingsError(f"bind.{name} is missing")
    except settings_file.SettingsError as error:
        print(f"crowseam: {error}", file=sys.stderr)
        return 2
    logs.configure("gateway", settings.hostname)
    try:
        uvloop.run(serve(settings))
    except OSError as error:
        logs.emit("ended", error=error)
        return 1
    return 0
