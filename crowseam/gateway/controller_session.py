"""A gateway's session with a controller: received state, reports, and failover to another controller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from crowseam import clock, logs
from crowseam.configuration.model import EMPTY, Configuration, ConfigurationError
from crowseam.configuration.routing import Table
from crowseam.consensus.messages import SnapshotChunk, SnapshotOffer
from crowseam.consensus.snapshot_transfer import SnapshotDownload
from crowseam.discovery.leaving_servers import LeavingServers
from crowseam.operations.messages import ClaimDecision, GatewayMessage, OperationSettled
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.shards import ROLE_KEYS, shard_of
from crowseam.settings import Settings, SettingsError, parse_address
from crowseam.transport.codec import unpack
from crowseam.transport.links import Link
from crowseam.transport.messages import (
    CloseSession,
    ConfigurationState,
    ConfigurationStep,
    EjectedServers,
    FollowingLog,
    GatewayReport,
    InFlightCountRequest,
    InFlightCounts,
    LeaseUpdate,
    Message,
    OpenSession,
    OutlierReport,
    ReserveDraw,
    ReserveDrawReply,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
    SilentServers,
)
from crowseam.transport.protocol_check import ProtocolCheck

# While leases are missing or new, reports come sooner: by the number of gateways, between MIN and MAX.
REPORT_INTERVAL_S, MAX_SETTLING_REPORT_INTERVAL_S = 0.5, 0.15
MIN_SETTLING_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_GATEWAY_S = 0.04, 0.001
LEASE_SETTLING_S = 2.0  # after a first lease, which is granted before the grantor knows the demand
CONTROLLER_SILENCE_TIMEOUT_S = 1.1  # without a message, after which another controller is tried
NO_MAJORITY_TIMEOUT_S = 0.8  # after which a controller that reports no majority is left
NO_MAJORITY_RETRY_S = 4.0  # before such a controller is tried again
DRAW_TIMEOUT_S = 0.06  # for an answer from the reserve, which delays a request
DRAW_NUMBER_BITS = 10  # low bits of a draw's number; the bits above are the incarnation
CONNECT_TIMEOUT_S = 0.5
MIN_MISMATCH_RETRY_S, MAX_MISMATCH_RETRY_S = 0.3, 4.0  # backoff of a controller with another protocol version
CHUNK_BYTES, CHUNK_WINDOW = 32 << 10, 2  # of a large configuration; chunks requested at a time
CHUNK_TIMEOUT_S = 3.0  # without a chunk, after which it is requested again


class ControllerSession:
    """Keeps one session open. The configuration and the servers never go back to an older state."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        rng: Random,
        on_table: Callable[[Table], None],
        on_servers: Callable[[list, bool], None],
        on_silent: Callable[[list[str]], None],
        demand: Callable[[], dict[str, float]],
        in_flight_on_draining: Callable[[], dict[str, int]] = dict,
    ) -> None:
        """`on_table`, `on_servers`, `on_silent` get news; `demand`, `in_flight_on_draining` return what is reported."""
        self.loop, self.settings, self.rng = loop, settings, rng
        self.on_table, self.on_servers, self.on_silent, self.demand = on_table, on_servers, on_silent, demand
        self.in_flight_on_draining = (
            in_flight_on_draining  # requests in flight at draining servers, by id of the server
        )
        self.incarnation = clock.time_ns() // 1000
        self.session_number = 0
        self.config: Configuration = EMPTY
        self.table: Table | None = None
        self.slot = -1
        self.download: SnapshotDownload | None = None  # of a large configuration; goes on in the next session
        self.registry, self.registry_position = "", 0
        self.leaving_servers = LeavingServers()
        self.retry_at: dict[str, float] = {}  # by controller
        self.protocol_check = ProtocolCheck()
        self.failure_counts: dict[str, int] = {}  # by controller, since one was last in touch with a majority
        self.leases: dict[str, GatewayLeases] = {}
        self.on_lease_granted: Callable[[], None] = lambda: None  # a missing lease has been granted
        self.on_ejected: Callable[[list[str]], None] = lambda ids: None
        self.on_claim_decision: Callable[[ClaimDecision], None] = lambda decision: None
        self.on_operation_settled: Callable[[OperationSettled], None] = lambda settled: None
        self.on_connected: Callable[[], None] = lambda: None  # a session was opened
        self.leased_at = -1e9  # when a lease was last missing
        self.pending_draws: dict[int, Callable[[int, float], None]] = {}
        # Starts with the incarnation: controllers address replies by the gateway's name, so that a reply to an earlier
        # incarnation may arrive.
        self.last_draw_number = self.incarnation << DRAW_NUMBER_BITS
        self.gateway_count = 0
        self.link: Link | None = None
        self.controller_addr = ""
        self.last_heard_at = -1e9
        self.buffered_bytes = 0  # of an incomplete message
        self.no_majority_since: float | None = None
        self.announced_slot = -1
        self.is_caught_up = False  # with a controller that is in touch with a majority
        self.has_servers = False
        self.stopping = False
        self.is_connecting = False
        self.add_controllers(settings.seeds)

    def add_controllers(self, controllers: list[str]) -> None:
        """Add addresses of controllers; invalid ones are ignored."""
        for addr in controllers:
            try:
                parse_address(addr)
            except SettingsError:
                continue
            self.retry_at.setdefault(addr, 0.0)

    def start(self) -> None:
        """Start to connect to a controller, and to report."""
        self._tick()
        self._report()

    def _tick(self) -> None:
        now = clock.monotonic()
        if self.link is not None:
            if (buffered_bytes := len(self.link.buffer)) != self.buffered_bytes:
                # A large message to many gateways may take longer than CONTROLLER_SILENCE_TIMEOUT_S; a gateway that
                # left because of that would request the same from the next controller.
                self.buffered_bytes, self.last_heard_at = buffered_bytes, now
            if now - self.last_heard_at > CONTROLLER_SILENCE_TIMEOUT_S:
                self._leave_controller("silent")
            elif (
                self.no_majority_since is not None
                and now - self.no_majority_since > NO_MAJORITY_TIMEOUT_S
                and any(retry_at <= now for addr, retry_at in self.retry_at.items() if addr != self.controller_addr)
            ):
                # Without an alternative the gateway stays.
                self._leave_controller("alone", NO_MAJORITY_RETRY_S)
        if (
            self.download is not None
            and self.link is not None
            and now - self.download.progress_checked_at > CHUNK_TIMEOUT_S
        ):
            self.download.requested.clear()
            self.download.progress_checked_at = now
            self._request_chunks()
        if self.link is None and not self.is_connecting and not self.stopping:
            self.is_connecting = True
            self.loop.create_task(self._connect(now))
        self.loop.call_later(0.1, self._tick)

    def _leave_controller(self, reason: str, retry_after_s: float = 1.0) -> None:
        logs.emit("session_left", controller=self.controller_addr, why=reason)
        self._record_failure(self.controller_addr, retry_after_s)
        link, self.link = self.link, None
        link.close()

    def _record_failure(self, addr: str, retry_after_s: float) -> None:
        self.retry_at[addr] = clock.monotonic() + retry_after_s
        self.failure_counts[addr] = self.failure_counts.get(addr, 0) + 1

    def _pick_controller(self, now: float) -> str | None:
        """Choose a controller with the fewest failures, preferably of the gateway's zone.

        If the zone came first, two dead controllers of the zone would be tried alternately forever.
        """
        eligible = [addr for addr, retry_at in self.retry_at.items() if retry_at <= now]
        if not eligible:
            return None
        fewest_failures = min(self.failure_counts.get(addr, 0) for addr in eligible)
        eligible = [addr for addr in eligible if self.failure_counts.get(addr, 0) == fewest_failures]
        zone = self.settings.ip.rsplit(".", 2)[0]
        local = [addr for addr in eligible if addr.startswith(zone + ".")]
        return self.rng.choice(local or eligible)

    async def _connect(self, now: float) -> None:
        addr = self._pick_controller(now)
        try:
            if addr is None:
                return
            self.retry_at[addr] = now + self.rng.uniform(0.3, 0.6)
            host, _ = parse_address(addr)
            link = Link(self._on_message, self._on_link_closed)
            link.peer = addr
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, host, self.settings.port_range[0])
            self.link, self.controller_addr, self.no_majority_since = link, addr, None
            self.last_heard_at = clock.monotonic()
            self.session_number += 1
            self.announced_slot = -1
            link.send(
                OpenSession(
                    self.settings.hostname,
                    self.incarnation,
                    self.session_number,
                    self.settings.az,
                    self.slot,
                    self.registry,
                    self.registry_position,
                    True,
                    self.protocol_check.ours,
                )
            )
            self._send_report(clock.monotonic())  # the grantor may wait for it to lease the rest to others
            self.on_connected()
        except (OSError, TimeoutError):
            self._record_failure(addr, 0.4)
        finally:
            self.is_connecting = False

    def _on_link_closed(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            self._record_failure(self.controller_addr, 0.3)
            if not self.stopping:
                logs.emit("session_lost", controller=self.controller_addr)

    def _on_message(self, link: Link, message: Message) -> None:
        if link is not self.link:
            return
        now = clock.monotonic()
        self.last_heard_at = now
        kind = type(message)
        if kind is SessionHeartbeat:
            self.gateway_count, self.announced_slot = message.members, message.slot
            if message.is_in_touch:
                self.no_majority_since = None
                self.failure_counts.clear()
                self.is_caught_up = self.is_caught_up or (self.slot >= message.slot and self.has_servers)
            elif self.no_majority_since is None:
                self.no_majority_since = now
        elif kind is ServerUpdate:
            self.registry, self.registry_position = message.registry, message.position
            self.has_servers = True
            self.on_servers(self.leaving_servers.apply(message.records, message.is_complete, now), message.is_complete)
        elif kind is SilentServers:
            self.on_silent(message.ids)
        elif kind is ConfigurationState:
            self._on_state(message)
        elif kind is ConfigurationStep:
            self._on_step(message)
        elif kind is SnapshotOffer:
            self._on_snapshot_offer(message, now)
        elif kind is SnapshotChunk:
            self._on_chunk(message, now)
        elif kind is LeaseUpdate:
            leases = self._leases_of(message.key)
            had_lease = leases.remaining_s(now) > 0.0
            if leases.apply(message.lease, now):
                self._send_report(now)
            if not had_lease and leases.remaining_s(now) > 0.0:
                self.on_lease_granted()
        elif kind is ClaimDecision:
            self.on_claim_decision(message)
        elif kind is OperationSettled:
            self.on_operation_settled(message)
        elif kind is EjectedServers:
            self.on_ejected(message.ids)
        elif kind is ReserveDrawReply:
            if (done := self.pending_draws.pop(message.number, None)) is not None:
                done(message.granted, message.wait_s)
        elif kind is InFlightCountRequest:
            link.send(
                InFlightCounts(message.number, self.registry, self.registry_position, self.in_flight_on_draining())
            )
        elif kind is SessionOpened:
            self._on_session_opened(message)

    def _on_session_opened(self, message: SessionOpened) -> None:
        self.add_controllers(message.controllers)
        if self.protocol_check.matches(self.controller_addr, message.protocol):
            return
        link, self.link = self.link, None
        self._record_failure(
            self.controller_addr,
            min(MAX_MISMATCH_RETRY_S, MIN_MISMATCH_RETRY_S * 2 ** self.failure_counts.get(self.controller_addr, 0)),
        )
        link.close()

    def _on_state(self, message: ConfigurationState) -> None:
        if message.slot <= self.slot:
            return  # the controller is behind this gateway
        try:
            config = Configuration.from_put(unpack(message.body))
        except (ConfigurationError, ValueError) as error:
            if message.slot:  # slot 0 has no configuration
                logs.emit("state_unread", error=error)
            config = EMPTY
        self._apply(message.slot, config)

    def _on_snapshot_offer(self, message: SnapshotOffer, now: float) -> None:
        """The controller offers a large configuration: start its download, or continue one from another controller."""
        if message.last_slot <= self.slot:
            return self.link.send(FollowingLog(self.slot))
        if self.download is None:
            self._start_download(now)
        else:
            self.download.requested.clear()
            self.download.progress_checked_at = now
            self._request_chunks()

    def _start_download(self, now: float) -> None:
        self.download = SnapshotDownload(self.controller_addr, max(self.slot, 0), CHUNK_BYTES, CHUNK_WINDOW, now)
        self._request_chunks()

    def _request_chunks(self) -> None:
        if requests := self.download.next_requests():
            self.link.send(*requests)

    def _on_chunk(self, message: SnapshotChunk, now: float) -> None:
        download = self.download
        if download is None:
            return
        if not message.size:
            if message.digest != download.digest:
                return
            if download.digest:
                return self._start_download(now)
            self.download = None  # the controller has nothing newer
            return self.link.send(FollowingLog(self.slot))
        if not download.add_chunk(message, now):
            return
        if (body := download.assemble()) is None:
            return self._request_chunks()
        self.download = None
        if download.is_intact(body):
            logs.emit(
                "state_fetched", slot=download.slot, bytes=download.size, seconds=round(now - download.began_at, 1)
            )
            self._on_state(ConfigurationState(download.slot, body))
        else:
            logs.emit("state_unsound", slot=download.slot, bytes=download.size)
        self.link.send(FollowingLog(self.slot))

    def _on_step(self, message: ConfigurationStep) -> None:
        if message.slot <= self.slot:
            return  # duplicate
        if message.slot != self.slot + 1:
            logs.emit("step_missing", have=self.slot, got=message.slot)
            return self._leave_controller("gap")  # the next session starts from this slot
        config = self.config
        if message.body:
            try:
                config = Configuration.from_change(config, message.whole, unpack(message.body))
            except (ConfigurationError, ValueError) as error:
                logs.emit("step_unread", error=error)
        self._apply(message.slot, config)

    def _apply(self, slot: int, config: Configuration) -> None:
        self.slot = slot
        if self.download is not None and self.download.slot <= slot:
            self.download = None
        # Slots may leave the configuration unchanged; each version is applied once.
        if config.ver != self.config.ver and config.ver:
            self.config = config
            self.table = Table(config, self.table)
            logs.emit("config", slot=slot, ver=f"{config.ver:08x}")
            self.on_table(self.table)
            if not self.leases:
                self._send_report(clock.monotonic())

    def _leases_of(self, key: str) -> GatewayLeases:
        return self.leases.setdefault(key, GatewayLeases(self.incarnation))

    def lease_share(self, tenant: str, now: float) -> float | None:
        """Return the share of the tenant's quota that is leased to this gateway; None without a lease."""
        leases = self.leases.get(shard_of(tenant))
        return None if leases is None else leases.share(tenant, now)

    def lease_remaining_s(self, tenant: str, now: float) -> float:
        """Return the seconds until the tenant's lease ends."""
        leases = self.leases.get(shard_of(tenant))
        return 0.0 if leases is None else leases.remaining_s(now)

    def report_outliers(self, outcomes: dict[str, int]) -> None:
        """Report servers that fail, and ejected ones that succeed."""
        if self.link is not None:
            self.link.send(OutlierReport(self.settings.hostname, outcomes))

    def send(self, message: GatewayMessage) -> None:
        """Send a message to the controller; it is lost if there is no session."""
        if self.link is not None:
            self.link.send(message)

    def draw_reserve(self, tenant: str, count: int, done: Callable[[int, float], None]) -> None:
        """Draw requests beyond the tenant's lease; `done` gets the number granted, and the wait for one more."""
        if self.link is None:
            return done(0, DRAW_TIMEOUT_S)
        self.last_draw_number += 1
        number = self.last_draw_number
        self.pending_draws[number] = done
        self.link.send(ReserveDraw(self.settings.hostname, tenant, count, number))
        self.loop.call_later(DRAW_TIMEOUT_S, self._on_draw_timeout, number)

    def _on_draw_timeout(self, number: int) -> None:
        if (done := self.pending_draws.pop(number, None)) is not None:
            done(0, DRAW_TIMEOUT_S)

    def _report(self) -> None:
        now = clock.monotonic()
        self._send_report(now)
        is_leased = all(self._leases_of(key).remaining_s(now) > 0.0 for key in ROLE_KEYS)
        if not is_leased:
            self.leased_at = now
        is_settling = now - self.leased_at < LEASE_SETTLING_S
        interval_s = REPORT_INTERVAL_S
        if is_settling:
            interval_s = (
                min(
                    MAX_SETTLING_REPORT_INTERVAL_S,
                    MIN_SETTLING_REPORT_INTERVAL_S + REPORT_INTERVAL_PER_GATEWAY_S * self.gateway_count,
                )
                if self.gateway_count
                else MAX_SETTLING_REPORT_INTERVAL_S
            )
        self.loop.call_later(interval_s * self.rng.uniform(0.9, 1.1), self._report)

    def _send_report(self, now: float) -> None:
        if self.link is None:
            return
        held = {key: self._leases_of(key).report(now) for key in ROLE_KEYS}
        self.link.send(GatewayReport(self.demand(), held))

    def stop(self) -> None:
        """The process is about to end."""
        self.stopping = True
        if self.link is not None:
            self.link.send(CloseSession())
