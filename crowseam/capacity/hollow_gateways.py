"""Hollow gateways: real sessions with controllers, and nothing behind them.

A hollow gateway opens its session, reports what it was asked for, draws, takes in what it receives and follows the
log by slot, but reads no configuration and carries no request.  Times: seconds, steady.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from crowseam import clock
from crowseam.capacity.hollow_link import HollowLink, Traffic
from crowseam.capacity.hollow_protocol import GatewaysReport, Job, Order
from crowseam.capacity.loads import Clients
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

LOOK = 0.1  # s between looks at a session
LATE_MOST = 0.3  # s by which a look may come late and still judge a controller
DRAWS_KEPT = 100_000  # draws without an answer that are remembered
WAITS_KEPT = 200_000  # waits for an answer to a draw that are kept
WAITS_REPORTED = 200  # of these, how many a report has at the least, if there are so many


class HollowGateway:
    """One gateway's session, as `crowseam.gateway.controller_session` keeps it."""

    def __init__(self, crowd: Gateways, number: int) -> None:
        self.crowd, self.number = crowd, number
        self.rng = Random(crowd.load.seed * 7919 + number)
        self.name = f"hollow-{number:04d}"
        self.asked = TenantRequests(crowd.clients.rates)
        self.starts = crowd.begun + crowd.load.ramp * self.rng.random()
        self.begin()
        self.begun = self.starts

    def begin(self) -> None:
        """A fresh life: nothing is known."""
        self.life = clock.time_ns() // 1000
        self.hop = 0
        self.slot, self.registry, self.place = -1, "", 0
        self.announced_slot = -1
        self.known = dict.fromkeys(self.crowd.seeds, 0.0)
        self.holdings = {key: GatewayLeases(self.life) for key in ROLE_KEYS}
        self.link: HollowLink | None = None
        self.at = ""
        self.alone_since: float | None = None
        self.members = 0
        self.leased_at = self.reported = self.asked_at = clock.monotonic()
        self.next_report = 0.0
        self.begun = self.leased_at
        self.caught_up: float | None = None  # s from its begin to servers and configuration, both whole
        self.leased: float | None = None  # and to all its leases
        self.have_servers = False
        self.fetch: SnapshotDownload | None = None  # a large configuration on its way, which outlives a session
        self.dialling = False

    def restart(self) -> None:
        """Killed, and started again with nothing kept."""
        link, self.link = self.link, None
        if link is not None:
            link.close()
        self.begin()
        self.look(clock.monotonic(), 0.0)

    def look(self, now: float, late: float) -> None:
        """Keep the session standing, and report what is due; `late`: s by which this look comes late."""
        link = self.link
        # What this process was too slow to read is no silence of the controller.
        if link is not None and late < LATE_MOST:
            if now - link.received_at > controller_session.CONTROLLER_SILENCE_TIMEOUT_S:
                self._leave(now, 1.0, "left silent")
            elif self.alone_since is not None and now - self.alone_since > controller_session.NO_MAJORITY_TIMEOUT_S:
                self._leave(now, controller_session.NO_MAJORITY_RETRY_S, "left alone")
        if self.link is None and not self.dialling:
            self.dialling = True
            self.crowd.loop.create_task(self._dial(now))
        fetch = self.fetch
        if (
            fetch is not None
            and self.link is not None
            and now - fetch.progress_checked_at > controller_session.CHUNK_TIMEOUT_S
        ):
            self._fetch_on(now)
        if now >= self.next_report:
            self._report(now)

    def _leave(self, now: float, again: float, why: str) -> None:
        self.crowd.events[why] += 1
        self.known[self.at] = now + again
        link, self.link = self.link, None
        link.close()

    async def _dial(self, now: float) -> None:
        able = [addr for addr, at in self.known.items() if at <= now]
        try:
            if not able:
                return
            addr = self.rng.choice(able)
            self.known[addr] = now + self.rng.uniform(0.3, 0.6)
            link = HollowLink(self._heard, self._ended, self.crowd.traffic)
            async with asyncio.timeout(controller_session.CONNECT_TIMEOUT_S):
                await self.crowd.loop.create_connection(lambda: link, addr.rpartition(":")[0], self.crowd.peer_port)
            self.link, self.at, self.alone_since = link, addr, None
            link.peer = addr
            link.received_at = clock.monotonic()
            self.hop += 1
            zone = f"zone-{self.number % self.crowd.load.zones}"
            place = self.slot, self.registry, self.place
            link.send(OpenSession(self.name, self.life, self.hop, zone, *place, True, PROTOCOL_VERSION))
            self._send_report(clock.monotonic())
        except (OSError, TimeoutError):
            self.crowd.events["dial failed"] += 1
            self.known[addr] = clock.monotonic() + 0.4
        finally:
            self.dialling = False

    def _ended(self, link: links.Link) -> None:
        if self.link is link:
            self.link = None
            self.known[self.at] = clock.monotonic() + 0.3
            self.crowd.events["session lost"] += 1

    def _heard(self, link: links.Link, message: Message) -> None:
        """Take a message of the session; those of a former link are passed over."""
        if link is not self.link:
            return
        now = clock.monotonic()
        match message:
            case LeaseUpdate():
                self._take_slice(message, now)
            case ReserveDrawReply():
                self.crowd.drawn(self, message, now)
            case SessionHeartbeat():
                self._take_pulse(message, now)
            case ServerUpdate():
                self.registry, self.place, self.have_servers = message.registry, message.position, True
                self._note_whole(now)
            case ConfigurationStep() if message.slot > self.slot + 1:
                self.crowd.events["gap"] += 1
                self._leave(now, 0.0, "left for a gap")
            case ConfigurationState() | ConfigurationStep():
                self._take_slot(message.slot, now)
            case SnapshotOffer():
                self._take_offer(link, message, now)
            case SnapshotChunk():
                self._take_part(link, message, now)
            case InFlightCountRequest():
                link.send(InFlightCounts(message.number, self.registry, self.place, {}))
            case SessionOpened():
                self._take_controllers(message.controllers)

    def _take_slice(self, message: LeaseUpdate, now: float) -> None:
        if self.holdings[message.key].apply(message.lease, now):
            self._send_report(now)
        if self.leased is None and all(each.remaining_s(now) > 0.0 for each in self.holdings.values()):
            self.leased = now - self.begun
            self.crowd.leased.append(self.leased)

    def _take_pulse(self, message: SessionHeartbeat, now: float) -> None:
        self.members, self.announced_slot = message.members, message.slot
        if message.is_in_touch:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now

    def _take_slot(self, slot: int, now: float) -> None:
        if slot <= self.slot:
            return
        self.slot = slot
        if self.fetch is not None and self.fetch.slot <= slot:
            self.fetch = None
        self.crowd.arrived(slot, now)
        self._note_whole(now)

    def _take_offer(self, link: links.Link, message: SnapshotOffer, now: float) -> None:
        if message.last_slot <= self.slot:
            link.send(FollowingLog(self.slot))
        elif self.fetch is None:
            self._fetch_anew(now)
        else:
            self._fetch_on(now)

    def _take_controllers(self, addresses: list[str]) -> None:
        for addr in addresses:
            try:
                parse_address(addr)
            except SettingsError:
                continue
            self.known.setdefault(addr, 0.0)

    def _fetch_anew(self, now: float) -> None:
        self.fetch = SnapshotDownload(
            self.at, max(self.slot, 0), controller_session.CHUNK_BYTES, controller_session.CHUNK_WINDOW, now
        )
        self.link.send(*self.fetch.next_requests())

    def _fetch_on(self, now: float) -> None:
        self.fetch.requested.clear()
        self.fetch.progress_checked_at = now
        self.link.send(*self.fetch.next_requests())

    def _take_part(self, link: links.Link, message: SnapshotChunk, now: float) -> None:
        """A part of a configuration; it is fetched as a real gateway does, and then not read."""
        fetch = self.fetch
        if fetch is None:
            return
        if not message.size:
            if message.digest != fetch.digest:
                return
            if fetch.digest:
                return self._fetch_anew(now)
            self.fetch = None
            return link.send(FollowingLog(self.slot))
        if not fetch.add_chunk(message, now):
            return
        if (body := fetch.assemble()) is None:
            return link.send(*fetch.next_requests())
        self.fetch = None
        if fetch.is_intact(body) and fetch.slot > self.slot:
            self.slot = fetch.slot
            self.crowd.arrived(self.slot, now)
            self._note_whole(now)
        link.send(FollowingLog(self.slot))

    def _note_whole(self, now: float) -> None:
        """Note when configuration and servers are first known, both whole."""
        if self.caught_up is None and self.have_servers and self.slot > 0:
            self.caught_up = now - self.begun
            self.crowd.caught_up.append(self.caught_up)

    def _report(self, now: float) -> None:
        self._ask(now)
        self._send_report(now)
        if not all(each.remaining_s(now) > 0.0 for each in self.holdings.values()):
            self.leased_at = now
        self.next_report = now + self._report_pause(now) * self.rng.uniform(0.9, 1.1)

    def _report_pause(self, now: float) -> float:
        """Seconds to the next report: fewer until the leases have been held for a while."""
        if now - self.leased_at >= controller_session.LEASE_SETTLING_S:
            return controller_session.REPORT_INTERVAL_S
        if not self.members:
            return controller_session.MAX_SETTLING_REPORT_INTERVAL_S
        by_members = (
            controller_session.MIN_SETTLING_REPORT_INTERVAL_S
            + controller_session.REPORT_INTERVAL_PER_GATEWAY_S * self.members
        )
        return min(controller_session.MAX_SETTLING_REPORT_INTERVAL_S, by_members)

    def _send_report(self, now: float) -> None:
        if self.link is None:
            return
        asks = self.asked.report(now)
        self.crowd.named += len(asks)
        self.crowd.reports += 1
        self.link.send(GatewayReport(asks, {key: each.report(now) for key, each in self.holdings.items()}))

    def _ask(self, now: float) -> None:
        """The requests since the last look."""
        crowd, rng = self.crowd, self.rng
        span, self.asked_at = min(1.0, now - self.asked_at), now
        expected = crowd.load.requests_a_gateway() * span
        count = int(expected) + (rng.random() < expected % 1.0)
        allowed = crowd.load.draws_most * span
        draws_left = int(allowed) + (rng.random() < allowed % 1.0)
        for tenant in crowd.clients.draw(rng, count):
            share = self.holdings[crowd.role_leases[tenant]].share(tenant, now) or 0.0
            if self.asked.ask(tenant, share, now):
                crowd.passed += 1
            elif not self.asked.is_dry(tenant, now):
                crowd.wanted += 1
                if draws_left > 0 and self.link is not None:
                    draws_left -= 1
                    crowd.draw(self, tenant, now)
            else:
                crowd.refused += 1


class Gateways:
    """All hollow gateways of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, job: Job) -> None:
        self.loop, self.load, self.seeds, self.peer_port = loop, job.load, job.seeds, job.peer_port
        self.clients = Clients(job.load)
        self.role_leases = {tenant: shard_of(tenant) for tenant in self.clients.rates}
        self.traffic = Traffic()
        self.events: Counter[str] = Counter()
        self.slots: dict[int, list[float]] = {}  # when each gateway received a slot
        self.caught_up: list[float] = []
        self.leased: list[float] = []
        self.named = self.reports = self.passed = self.wanted = self.refused = self.given = 0
        self.waits: list[float] = []
        self.draws: dict[int, tuple[str, float]] = {}
        self.last_draw = 0
        self.late_most = self.late_sum = 0.0  # s by which looks came late: this process has no more to give
        self.looks = 0
        self.begun = clock.monotonic()
        self.gateways = [HollowGateway(self, job.first + place) for place in range(job.count)]
        self.at = clock.monotonic()
        self._look()

    def _look(self) -> None:
        now = clock.monotonic()
        late = max(0.0, now - self.at)
        self.late_most, self.late_sum = max(self.late_most, late), self.late_sum + late
        self.looks += 1
        for gateway in self.gateways:
            if now >= gateway.starts:
                gateway.look(now, late)
        self.at = now + LOOK
        self.loop.call_later(LOOK, self._look)

    def arrived(self, slot: int, now: float) -> None:
        """A gateway has received the log up to a slot."""
        self.slots.setdefault(slot, []).append(now)

    def draw(self, gateway: HollowGateway, tenant: str, now: float) -> None:
        """Send one draw, and remember what for."""
        self.last_draw += 1
        self.draws[self.last_draw] = (tenant, now)
        gateway.link.send(ReserveDraw(gateway.name, tenant, 1, self.last_draw))
        if len(self.draws) > DRAWS_KEPT:
            self.draws.clear()  # a bound: answers that were lost are never asked for again

    def drawn(self, gateway: HollowGateway, message: ReserveDrawReply, now: float) -> None:
        """The answer to a draw."""
        tenant, at = self.draws.pop(message.number, ("", now))
        if len(self.waits) < WAITS_KEPT:
            self.waits.append(now - at)
        self.given += message.granted
        if tenant and not message.granted:
            gateway.asked.dry(tenant, now + message.wait_s)

    def order(self, order: Order) -> GatewaysReport:
        """Do what is ordered, and report what has been counted."""
        if order.do == "restart":
            for gateway in self.gateways[: order.count]:
                gateway.restart()
        if order.do == "reset":
            self._reset()
        if order.do in ("reset", "restart"):
            self.caught_up, self.leased, self.slots = [], [], {}
        return self._counted()

    def _reset(self) -> None:
        """Count anew."""
        self.traffic, self.waits = Traffic(), []
        for gateway in self.gateways:
            if gateway.link is not None:
                gateway.link.traffic = self.traffic
        self.named = self.reports = self.passed = self.wanted = self.refused = self.given = 0
        self.late_most = self.late_sum = 0.0
        self.looks = 0
        self.events.clear()

    def _counted(self) -> GatewaysReport:
        return GatewaysReport(
            gateways=len(self.gateways),
            open=sum(gateway.link is not None for gateway in self.gateways),
            whole=sum(gateway.caught_up is not None for gateway in self.gateways),
            slot=min((gateway.slot for gateway in self.gateways), default=-1),
            traffic=self.traffic.counts(),
            events=dict(self.events),
            slots=self.slots,
            caught_up=self.caught_up,
            leased=self.leased,
            named=self.named,
            reports=self.reports,
            passed=self.passed,
            wanted=self.wanted,
            refused=self.refused,
            given=self.given,
            draw_waits=sorted(self.waits)[:: max(1, len(self.waits) // WAITS_REPORTED)],
            late_most=self.late_most,
            late_mean=self.late_sum / max(1, self.looks),
        )
