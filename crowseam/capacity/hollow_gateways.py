"""Hollow gateways: gateways with real controller sessions that carry no traffic, to load controllers cheaply.

A hollow gateway opens a session, reports the demand of simulated requests, draws from the reserve, applies leases and
follows the configuration log by slot. It does not parse the configuration. Times are in seconds, monotonic clock.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from crowseam import clock
from crowseam.capacity.hollow_link import HollowLink, Traffic
from crowseam.capacity.hollow_protocol import Command, GatewaysReport, Job
from crowseam.capacity.loads import TenantSampler
from crowseam.capacity.tenant_requests import TenantRequests
from crowseam.consensus.messages import SnapshotChunk, SnapshotOffer
from crowseam.consensus.snapshot_transfer import SnapshotDownload
from crowseam.gateway import controller_session
from crowseam.quotas.gateway_leases import GatewayLeases
from crowseam.quotas.shards import ROLE_KEYS, shard_of
from crowseam.settings import SettingsError, parse_address
from crowseam.transport import links
from crowseam.transport.messages import (
    PROTOCOL_VERSION,
    ConfigurationState,
    ConfigurationStep,
    FollowingLog,
    GatewayReport,
    InFlightCountRequest,
    InFlightCounts,
    LeaseUpdate,
    Message,
    OpenSession,
    ReserveDraw,
    ReserveDrawReply,
    ServerUpdate,
    SessionHeartbeat,
    SessionOpened,
)

CHECK_INTERVAL_S = 0.1  # between two checks of a session
MAX_CHECK_DELAY_S = 0.3  # a check that runs later does not judge whether the controller is silent
MAX_PENDING_DRAWS = 100_000  # draws without a reply that are tracked
MAX_DRAW_WAITS = 200_000  # draw response times that are stored
DRAW_WAIT_SAMPLES = 200  # minimum sample of them in a report, if that many exist


class HollowGateway:
    """One gateway's session, which behaves like `crowseam.gateway.controller_session`."""

    def __init__(self, group: HollowGatewayGroup, number: int) -> None:
        self.group, self.number = group, number
        self.rng = Random(group.load.seed * 7919 + number)
        self.name = f"hollow-{number:04d}"
        self.tenant_requests = TenantRequests(group.tenant_sampler.rates)
        self.starts_at = group.started_at + group.load.ramp * self.rng.random()
        self.reset_state()
        self.started_at = self.starts_at

    def reset_state(self) -> None:
        """Reset to the state of a newly started process."""
        self.incarnation = clock.time_ns() // 1000
        self.session_number = 0
        self.slot, self.registry, self.registry_position = -1, "", 0
        self.announced_slot = -1
        self.next_dial_at = dict.fromkeys(self.group.seeds, 0.0)
        self.leases = {key: GatewayLeases(self.incarnation) for key in ROLE_KEYS}
        self.link: HollowLink | None = None
        self.controller_addr = ""
        self.no_majority_since: float | None = None
        self.member_count = 0
        self.unleased_at = self.reported_at = self.generated_at = clock.monotonic()
        self.next_report_at = 0.0
        self.started_at = self.unleased_at
        self.caught_up_after_s: float | None = None  # s from its start to a complete server list and configuration
        self.leased_after_s: float | None = None  # s from its start to all leases
        self.has_servers = False
        self.download: SnapshotDownload | None = None  # of a large configuration; survives a reconnect
        self.is_dialing = False

    def restart(self) -> None:
        """Simulate a crash and restart without any kept state."""
        link, self.link = self.link, None
        if link is not None:
            link.close()
        self.reset_state()
        self.check(clock.monotonic(), 0.0)

    def check(self, now: float, delay_s: float) -> None:
        """Keep the session open and report when due. `delay_s`: how late this check runs."""
        link = self.link
        # If this process is overloaded, unread messages don't mean that the controller is silent.
        if link is not None and delay_s < MAX_CHECK_DELAY_S:
            if now - link.received_at > controller_session.CONTROLLER_SILENCE_TIMEOUT_S:
                self._close_session(now, 1.0, "left silent")
            elif (
                self.no_majority_since is not None
                and now - self.no_majority_since > controller_session.NO_MAJORITY_TIMEOUT_S
            ):
                self._close_session(now, controller_session.NO_MAJORITY_RETRY_S, "left alone")
        if self.link is None and not self.is_dialing:
            self.is_dialing = True
            self.group.loop.create_task(self._dial(now))
        download = self.download
        if (
            download is not None
            and self.link is not None
            and now - download.progress_checked_at > controller_session.CHUNK_TIMEOUT_S
        ):
            self._resume_download(now)
        if now >= self.next_report_at:
            self._report(now)

    def _close_session(self, now: float, retry_delay_s: float, event: str) -> None:
        self.group.events[event] += 1
        self.next_dial_at[self.controller_addr] = now + retry_delay_s
        link, self.link = self.link, None
        link.close()

    async def _dial(self, now: float) -> None:
        candidates = [addr for addr, dial_at in self.next_dial_at.items() if dial_at <= now]
        try:
            if not candidates:
                return
            addr = self.rng.choice(candidates)
            self.next_dial_at[addr] = now + self.rng.uniform(0.3, 0.6)
            link = HollowLink(self._on_message, self._on_closed, self.group.traffic)
            async with asyncio.timeout(controller_session.CONNECT_TIMEOUT_S):
                await self.group.loop.create_connection(lambda: link, addr.rpartition(":")[0], self.group.peer_port)
            self.link, self.controller_addr, self.no_majority_since = link, addr, None
            link.peer = addr
            link.received_at = clock.monotonic()
            self.session_number += 1
            zone = f"zone-{self.number % self.group.load.zones}"
            start_position = self.slot, self.registry, self.registry_position
            link.send(
                OpenSession(
                    self.name, self.incarnation, self.session_number, zone, *start_position, True, PROTOCOL_VERSION
                )
            )
            self._send_report(clock.monotonic())
        except (OSError, TimeoutError):
            self.group.events["dial failed"] += 1
            self.next_dial_at[addr] = clock.monotonic() + 0.4
        finally:
            self.is_dialing = False

    def _on_closed(self, link: links.Link) -> None:
        if self.link is link:
            self.link = None
            self.next_dial_at[self.controller_addr] = clock.monotonic() + 0.3
            self.group.events["session lost"] += 1

    def _on_message(self, link: links.Link, message: Message) -> None:
        """Handle a message of the current session; messages of a previous link are ignored."""
        if link is not self.link:
            return
        now = clock.monotonic()
        match message:
            case LeaseUpdate():
                self._apply_lease(message, now)
            case ReserveDrawReply():
                self.group.handle_draw_reply(self, message, now)
            case SessionHeartbeat():
                self._apply_heartbeat(message, now)
            case ServerUpdate():
                self.registry, self.registry_position, self.has_servers = message.registry, message.position, True
                self._record_catch_up(now)
            case ConfigurationStep() if message.slot > self.slot + 1:
                self.group.events["gap"] += 1
                self._close_session(now, 0.0, "left for a gap")
            case ConfigurationState() | ConfigurationStep():
                self._advance_slot(message.slot, now)
            case SnapshotOffer():
                self._handle_offer(link, message, now)
            case SnapshotChunk():
                self._handle_chunk(link, message, now)
            case InFlightCountRequest():
                link.send(InFlightCounts(message.number, self.registry, self.registry_position, {}))
            case SessionOpened():
                self._add_controllers(message.controllers)

    def _apply_lease(self, message: LeaseUpdate, now: float) -> None:
        if self.leases[message.key].apply(message.lease, now):
            self._send_report(now)
        if self.leased_after_s is None and all(leases.remaining_s(now) > 0.0 for leases in self.leases.values()):
            self.leased_after_s = now - self.started_at
            self.group.leased_after_s.append(self.leased_after_s)

    def _apply_heartbeat(self, message: SessionHeartbeat, now: float) -> None:
        self.member_count, self.announced_slot = message.members, message.slot
        if message.is_in_touch:
            self.no_majority_since = None
        elif self.no_majority_since is None:
            self.no_majority_since = now

    def _advance_slot(self, slot: int, now: float) -> None:
        if slot <= self.slot:
            return
        self.slot = slot
        if self.download is not None and self.download.slot <= slot:
            self.download = None
        self.group.record_slot(slot, now)
        self._record_catch_up(now)

    def _handle_offer(self, link: links.Link, message: SnapshotOffer, now: float) -> None:
        if message.last_slot <= self.slot:
            link.send(FollowingLog(self.slot))
        elif self.download is None:
            self._start_download(now)
        else:
            self._resume_download(now)

    def _add_controllers(self, addresses: list[str]) -> None:
        for addr in addresses:
            try:
                parse_address(addr)
            except SettingsError:
                continue
            self.next_dial_at.setdefault(addr, 0.0)

    def _start_download(self, now: float) -> None:
        self.download = SnapshotDownload(
            self.controller_addr,
            max(self.slot, 0),
            controller_session.CHUNK_BYTES,
            controller_session.CHUNK_WINDOW,
            now,
        )
        self.link.send(*self.download.next_requests())

    def _resume_download(self, now: float) -> None:
        self.download.requested.clear()
        self.download.progress_checked_at = now
        self.link.send(*self.download.next_requests())

    def _handle_chunk(self, link: links.Link, message: SnapshotChunk, now: float) -> None:
        """Handle a chunk of a configuration, which is downloaded as a real gateway does but not parsed."""
        download = self.download
        if download is None:
            return
        if not message.size:
            if message.digest != download.digest:
                return
            if download.digest:
                return self._start_download(now)
            self.download = None
            return link.send(FollowingLog(self.slot))
        if not download.add_chunk(message, now):
            return
        if (body := download.assemble()) is None:
            return link.send(*download.next_requests())
        self.download = None
        if download.is_intact(body) and download.slot > self.slot:
            self.slot = download.slot
            self.group.record_slot(self.slot, now)
            self._record_catch_up(now)
        link.send(FollowingLog(self.slot))

    def _record_catch_up(self, now: float) -> None:
        """Record when the configuration and the server list are first complete."""
        if self.caught_up_after_s is None and self.has_servers and self.slot > 0:
            self.caught_up_after_s = now - self.started_at
            self.group.caught_up_after_s.append(self.caught_up_after_s)

    def _report(self, now: float) -> None:
        self._generate_requests(now)
        self._send_report(now)
        if not all(leases.remaining_s(now) > 0.0 for leases in self.leases.values()):
            self.unleased_at = now
        self.next_report_at = now + self._report_interval_s(now) * self.rng.uniform(0.9, 1.1)

    def _report_interval_s(self, now: float) -> float:
        """Return the time to the next report, which is shorter until all leases have been held for a while."""
        if now - self.unleased_at >= controller_session.LEASE_SETTLING_S:
            return controller_session.REPORT_INTERVAL_S
        if not self.member_count:
            return controller_session.MAX_SETTLING_REPORT_INTERVAL_S
        scaled_interval_s = (
            controller_session.MIN_SETTLING_REPORT_INTERVAL_S
            + controller_session.REPORT_INTERVAL_PER_GATEWAY_S * self.member_count
        )
        return min(controller_session.MAX_SETTLING_REPORT_INTERVAL_S, scaled_interval_s)

    def _send_report(self, now: float) -> None:
        if self.link is None:
            return
        demand = self.tenant_requests.demand_rates(now)
        self.group.named_tenants += len(demand)
        self.group.reports += 1
        self.link.send(GatewayReport(demand, {key: leases.report(now) for key, leases in self.leases.items()}))

    def _generate_requests(self, now: float) -> None:
        """Generate the requests since the last call: admit them by lease or draw from the reserve."""
        group, rng = self.group, self.rng
        elapsed_s, self.generated_at = min(1.0, now - self.generated_at), now
        expected = group.load.requests_per_gateway() * elapsed_s
        request_count = int(expected) + (rng.random() < expected % 1.0)
        draw_allowance = group.load.draws_most * elapsed_s
        draws_left = int(draw_allowance) + (rng.random() < draw_allowance % 1.0)
        for tenant in group.tenant_sampler.sample(rng, request_count):
            share = self.leases[group.tenant_shards[tenant]].share(tenant, now) or 0.0
            if self.tenant_requests.admit(tenant, share, now):
                group.admitted += 1
            elif not self.tenant_requests.is_reserve_exhausted(tenant, now):
                group.draws_wanted += 1
                if draws_left > 0 and self.link is not None:
                    draws_left -= 1
                    group.send_draw(self, tenant, now)
            else:
                group.refused += 1


class HollowGatewayGroup:
    """The hollow gateways of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, job: Job) -> None:
        self.loop, self.load, self.seeds, self.peer_port = loop, job.load, job.seeds, job.peer_port
        self.tenant_sampler = TenantSampler(job.load)
        self.tenant_shards = {tenant: shard_of(tenant) for tenant in self.tenant_sampler.rates}
        self.traffic = Traffic()
        self.events: Counter[str] = Counter()
        self.slots: dict[int, list[float]] = {}  # receive time at each gateway, by slot
        self.caught_up_after_s: list[float] = []
        self.leased_after_s: list[float] = []
        self.named_tenants = self.reports = self.admitted = self.draws_wanted = self.refused = self.draws_granted = 0
        self.draw_waits: list[float] = []
        self.pending_draws: dict[int, tuple[str, float]] = {}
        self.last_draw_number = 0
        self.max_delay_s = self.total_delay_s = 0.0  # of checks: shows that this process is overloaded
        self.check_count = 0
        self.started_at = clock.monotonic()
        self.gateways = [HollowGateway(self, job.first + index) for index in range(job.count)]
        self.next_check_at = clock.monotonic()
        self._check()

    def _check(self) -> None:
        now = clock.monotonic()
        delay_s = max(0.0, now - self.next_check_at)
        self.max_delay_s, self.total_delay_s = max(self.max_delay_s, delay_s), self.total_delay_s + delay_s
        self.check_count += 1
        for gateway in self.gateways:
            if now >= gateway.starts_at:
                gateway.check(now, delay_s)
        self.next_check_at = now + CHECK_INTERVAL_S
        self.loop.call_later(CHECK_INTERVAL_S, self._check)

    def record_slot(self, slot: int, now: float) -> None:
        """Record that a gateway has received the log up to `slot`."""
        self.slots.setdefault(slot, []).append(now)

    def send_draw(self, gateway: HollowGateway, tenant: str, now: float) -> None:
        """Send one draw and track it until the reply."""
        self.last_draw_number += 1
        self.pending_draws[self.last_draw_number] = (tenant, now)
        gateway.link.send(ReserveDraw(gateway.name, tenant, 1, self.last_draw_number))
        if len(self.pending_draws) > MAX_PENDING_DRAWS:
            self.pending_draws.clear()  # bounds the memory: lost replies are never cleared otherwise

    def handle_draw_reply(self, gateway: HollowGateway, message: ReserveDrawReply, now: float) -> None:
        """Handle the reply to a draw."""
        tenant, sent_at = self.pending_draws.pop(message.number, ("", now))
        if len(self.draw_waits) < MAX_DRAW_WAITS:
            self.draw_waits.append(now - sent_at)
        self.draws_granted += message.granted
        if tenant and not message.granted:
            gateway.tenant_requests.mark_reserve_exhausted(tenant, now + message.wait_s)

    def execute(self, command: Command) -> GatewaysReport:
        """Execute a command and return a report of the counts."""
        if command.do == "restart":
            for gateway in self.gateways[: command.count]:
                gateway.restart()
        if command.do == "reset":
            self._reset_counts()
        if command.do in ("reset", "restart"):
            self.caught_up_after_s, self.leased_after_s, self.slots = [], [], {}
        return self._build_report()

    def _reset_counts(self) -> None:
        """Restart all counts at 0."""
        self.traffic, self.draw_waits = Traffic(), []
        for gateway in self.gateways:
            if gateway.link is not None:
                gateway.link.traffic = self.traffic
        self.named_tenants = self.reports = self.admitted = self.draws_wanted = self.refused = self.draws_granted = 0
        self.max_delay_s = self.total_delay_s = 0.0
        self.check_count = 0
        self.events.clear()

    def _build_report(self) -> GatewaysReport:
        return GatewaysReport(
            gateways=len(self.gateways),
            open=sum(gateway.link is not None for gateway in self.gateways),
            whole=sum(gateway.caught_up_after_s is not None for gateway in self.gateways),
            slot=min((gateway.slot for gateway in self.gateways), default=-1),
            traffic=self.traffic.counts(),
            events=dict(self.events),
            slots=self.slots,
            caught_up=self.caught_up_after_s,
            leased=self.leased_after_s,
            named=self.named_tenants,
            reports=self.reports,
            passed=self.admitted,
            wanted=self.draws_wanted,
            refused=self.refused,
            given=self.draws_granted,
            draw_waits=sorted(self.draw_waits)[:: max(1, len(self.draw_waits) // DRAW_WAIT_SAMPLES)],
            late_most=self.max_delay_s,
            late_mean=self.total_delay_s / max(1, self.check_count),
        )
