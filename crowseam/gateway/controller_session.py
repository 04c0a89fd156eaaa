"""A gateway's session with a controller: what it follows, what it reports, where it goes when that one fails."""

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
from crowseam.quotas.shards import KEYS, shard_of
from crowseam.settings import Settings, SettingsError, address
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

REPORT, REPORT_SOON = 0.5, 0.15  # s between reports; at the most, while a lease is missing or new
SOON_LEAST, SOON_EACH = 0.04, 0.001  # s between them then: at the least, and for each gateway there is
YOUNG = 2.0  # s after a first lease in which it hardly fits: all asks are new to the grantor
SILENT = 1.1  # s without a pulse after which another controller is tried
ALONE = 0.8  # s that a controller may say it has no majority before another one is tried
ALONE_AGAIN = 4.0  # s before one that had no majority is tried again
DRAW_TIMEOUT = 0.06  # s for an answer from the reserve: a request waits for it
DRAW_BITS = 10  # of a draw's number below the life's microseconds: more draws than that take longer
CONNECT = 0.5  # s for a connection to come up
UNLIKE_LEAST, UNLIKE_MOST = 0.3, 4.0  # s before one that speaks another version is tried again, growing
PART, WINDOW = 32 << 10, 2  # bytes of a part of a large configuration; parts asked for at a time
PART_WAIT = 3.0  # s without a part after which it is asked for again


class ControllerSession:
    """Keeps one session standing. `table` and the registry never go back within one process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        rng: Random,
        on_table: Callable[[Table], None],
        on_servers: Callable[[list, bool], None],
        on_quiet: Callable[[list[str]], None],
        asks: Callable[[], dict[str, float]],
        leaving: Callable[[], dict[str, int]] = dict,
    ) -> None:
        """`on_table`, `on_servers`, `on_quiet` take what is heard; `asks`, `leaving` give what is reported."""
        self.loop, self.settings, self.rng = loop, settings, rng
        self.on_table, self.on_servers, self.on_quiet, self.asks = on_table, on_servers, on_quiet, asks
        self.leaving = leaving  # requests under way at servers that leave, by id
        self.life = clock.time_ns() // 1000
        self.hop = 0
        self.config: Configuration = EMPTY
        self.table: Table | None = None
        self.slot = -1
        self.fetch: SnapshotDownload | None = None  # a large configuration on its way, which outlives a session
        self.registry, self.place = "", 0
        self.memory = LeavingServers()
        self.known: dict[str, float] = {}  # controllers, by when they may be tried again
        self.protocol_check = ProtocolCheck()
        self.failed: dict[str, int] = {}  # how often each was tried in vain since one was last in touch
        self.holdings: dict[str, GatewayLeases] = {}
        self.on_lease: Callable[[], None] = lambda: None  # what was missing is lent
        self.on_shun: Callable[[list[str]], None] = lambda ids: None
        self.on_claim_decision: Callable[[ClaimDecision], None] = lambda decision: None
        self.on_operation_settled: Callable[[OperationSettled], None] = lambda settled: None
        self.on_connected: Callable[[], None] = lambda: None  # a controller has just been reached
        self.leased_at = -1e9  # when a lease was last missing
        self.draws: dict[int, Callable[[int, float], None]] = {}
        # Begun with the life: controllers pass answers on by the gateway's name, whichever life it is in.
        self.last_draw = self.life << DRAW_BITS
        self.members = 0
        self.link: Link | None = None
        self.at = ""  # the controller that the session is with
        self.heard_at = -1e9
        self.unread = 0  # bytes that have come of a message that is not whole yet
        self.alone_since: float | None = None
        self.told_slot = -1
        self.fresh = False  # configuration and servers are as new as a controller in touch has them
        self.have_servers = False
        self.stopping = False
        self.dialling = False
        self.learn(settings.seeds)

    def learn(self, controllers: list[str]) -> None:
        """Add controllers that may be tried, by their addresses; what is no address is left out."""
        for addr in controllers:
            try:
                address(addr)
            except SettingsError:
                continue
            self.known.setdefault(addr, 0.0)

    def start(self) -> None:
        """Begin to look for a controller, and to report."""
        self._tick()
        self._report()

    def _tick(self) -> None:
        now = clock.monotonic()
        if self.link is not None:
            if (unread := len(self.link.buffer)) != self.unread:
                # All servers of a large site, asked for by all gateways at once, may take longer than SILENT to
                # come; who left over that would ask the next controller for as much.
                self.unread, self.heard_at = unread, now
            if now - self.heard_at > SILENT:
                self._leave("silent")
            elif (
                self.alone_since is not None
                and now - self.alone_since > ALONE
                and any(at <= now for addr, at in self.known.items() if addr != self.at)
            ):
                # Where all say so, we stay a while longer with each.
                self._leave("alone", ALONE_AGAIN)
        if self.fetch is not None and self.link is not None and now - self.fetch.progress_checked_at > PART_WAIT:
            self.fetch.requested.clear()
            self.fetch.progress_checked_at = now
            self._ask_parts()
        if self.link is None and not self.dialling and not self.stopping:
            self.dialling = True
            self.loop.create_task(self._dial(now))
        self.loop.call_later(0.1, self._tick)

    def _leave(self, why: str, again: float = 1.0) -> None:
        logs.say("session_left", controller=self.at, why=why)
        self._in_vain(self.at, again)
        link, self.link = self.link, None
        link.close()

    def _in_vain(self, addr: str, again: float) -> None:
        self.known[addr] = clock.monotonic() + again
        self.failed[addr] = self.failed.get(addr, 0) + 1

    def _pick(self, now: float) -> str | None:
        """A controller to try: those tried in vain least; of them one of our zone, as bytes between zones cost.

        Two of our zone that don't answer would else be tried in turns for ever.
        """
        able = [addr for addr, at in self.known.items() if at <= now]
        if not able:
            return None
        least = min(self.failed.get(addr, 0) for addr in able)
        able = [addr for addr in able if self.failed.get(addr, 0) == least]
        zone = self.settings.ip.rsplit(".", 2)[0]
        near = [addr for addr in able if addr.startswith(zone + ".")]
        return self.rng.choice(near or able)

    async def _dial(self, now: float) -> None:
        addr = self._pick(now)
        try:
            if addr is None:
                return
            self.known[addr] = now + self.rng.uniform(0.3, 0.6)
            host, _ = address(addr)
            link = Link(self._heard, self._ended)
            link.peer = addr
            async with asyncio.timeout(CONNECT):
                await self.loop.create_connection(lambda: link, host, self.settings.port_range[0])
            self.link, self.at, self.alone_since = link, addr, None
            self.heard_at = clock.monotonic()
            self.hop += 1
            self.told_slot = -1
            link.send(
                OpenSession(
                    self.settings.hostname,
                    self.life,
                    self.hop,
                    self.settings.az,
                    self.slot,
                    self.registry,
                    self.place,
                    True,
                    self.protocol_check.ours,
                )
            )
            self._send_report(clock.monotonic())  # others may wait for it, to be lent what is not ours
            self.on_connected()
        except (OSError, TimeoutError):
            self._in_vain(addr, 0.4)
        finally:
            self.dialling = False

    def _ended(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            self._in_vain(self.at, 0.3)
            if not self.stopping:
                logs.say("session_lost", controller=self.at)

    def _heard(self, link: Link, message: Message) -> None:
        if link is not self.link:
            return
        now = clock.monotonic()
        self.heard_at = now
        kind = type(message)
        if kind is SessionHeartbeat:
            self.members, self.told_slot = message.members, message.slot
            if message.is_in_touch:
                self.alone_since = None
                self.failed.clear()
                self.fresh = self.fresh or (self.slot >= message.slot and self.have_servers)
            elif self.alone_since is None:
                self.alone_since = now
        elif kind is ServerUpdate:
            self.registry, self.place = message.registry, message.position
            self.have_servers = True
            self.on_servers(self.memory.apply(message.records, message.is_complete, now), message.is_complete)
        elif kind is SilentServers:
            self.on_quiet(message.ids)
        elif kind is ConfigurationState:
            self._state(message)
        elif kind is ConfigurationStep:
            self._step(message)
        elif kind is SnapshotOffer:
            self._offered(message, now)
        elif kind is SnapshotChunk:
            self._part(message, now)
        elif kind is LeaseUpdate:
            holdings = self._holdings(message.key)
            had = holdings.remaining_s(now) > 0.0
            if holdings.apply(message.lease, now):
                self._send_report(now)
            if not had and holdings.remaining_s(now) > 0.0:
                self.on_lease()
        elif kind is ClaimDecision:
            self.on_claim_decision(message)
        elif kind is OperationSettled:
            self.on_operation_settled(message)
        elif kind is EjectedServers:
            self.on_shun(message.ids)
        elif kind is ReserveDrawReply:
            if (done := self.draws.pop(message.number, None)) is not None:
                done(message.granted, message.wait_s)
        elif kind is InFlightCountRequest:
            link.send(InFlightCounts(message.number, self.registry, self.place, self.leaving()))
        elif kind is SessionOpened:
            self._welcomed(message)

    def _welcomed(self, message: SessionOpened) -> None:
        self.learn(message.controllers)
        if self.protocol_check.matches(self.at, message.protocol):
            return
        link, self.link = self.link, None
        self._in_vain(self.at, min(UNLIKE_MOST, UNLIKE_LEAST * 2 ** self.failed.get(self.at, 0)))
        link.close()

    def _state(self, message: ConfigurationState) -> None:
        if message.slot <= self.slot:
            return  # guards against going back: that controller is behind
        try:
            config = Configuration.from_put(unpack(message.body))
        except (ConfigurationError, ValueError) as error:
            if message.slot:  # before the first configuration there is none to read
                logs.say("state_unread", error=error)
            config = EMPTY
        self._take(message.slot, config)

    def _offered(self, message: SnapshotOffer, now: float) -> None:
        """The controller's configuration is large: fetch it, or go on with one that another began to send."""
        if message.last <= self.slot:
            return self.link.send(FollowingLog(self.slot))
        if self.fetch is None:
            self._fetch_anew(now)
        else:
            self.fetch.requested.clear()
            self.fetch.progress_checked_at = now
            self._ask_parts()

    def _fetch_anew(self, now: float) -> None:
        self.fetch = SnapshotDownload(self.at, max(self.slot, 0), PART, WINDOW, now)
        self._ask_parts()

    def _ask_parts(self) -> None:
        if requests := self.fetch.next_requests():
            self.link.send(*requests)

    def _part(self, message: SnapshotChunk, now: float) -> None:
        fetch = self.fetch
        if fetch is None:
            return
        if not message.size:
            if message.digest != fetch.digest:
                return
            if fetch.digest:
                return self._fetch_anew(now)
            self.fetch = None  # it has nothing newer than we have
            return self.link.send(FollowingLog(self.slot))
        if not fetch.add_chunk(message, now):
            return
        if (body := fetch.joined()) is None:
            return self._ask_parts()
        self.fetch = None
        if fetch.is_intact(body):
            logs.say("state_fetched", slot=fetch.slot, bytes=fetch.size, seconds=round(now - fetch.began_at, 1))
            self._state(ConfigurationState(fetch.slot, body))
        else:
            logs.say("state_unsound", slot=fetch.slot, bytes=fetch.size)
        self.link.send(FollowingLog(self.slot))

    def _step(self, message: ConfigurationStep) -> None:
        if message.slot <= self.slot:
            return  # said twice
        if message.slot != self.slot + 1:
            logs.say("step_missing", have=self.slot, got=message.slot)
            return self._leave("gap")  # the next session starts from our place
        config = self.config
        if message.body:
            try:
                config = Configuration.from_change(config, message.whole, unpack(message.body))
            except (ConfigurationError, ValueError) as error:
                logs.say("step_unread", error=error)
        self._take(message.slot, config)

    def _take(self, slot: int, config: Configuration) -> None:
        self.slot = slot
        if self.fetch is not None and self.fetch.slot <= slot:
            self.fetch = None
        # A whole state often comes for slots that changed nothing: a version is acted on once.
        if config.ver != self.config.ver and config.ver:
            self.config = config
            self.table = Table(config, self.table)
            logs.say("config", slot=slot, ver=f"{config.ver:08x}")
            self.on_table(self.table)
            if not self.holdings:
                self._send_report(clock.monotonic())

    def _holdings(self, key: str) -> GatewayLeases:
        return self.holdings.setdefault(key, GatewayLeases(self.life))

    def share(self, tenant: str, now: float) -> float | None:
        """The part of the tenant's quota that is lent to us."""
        holdings = self.holdings.get(shard_of(tenant))
        return None if holdings is None else holdings.share(tenant, now)

    def left(self, tenant: str, now: float) -> float:
        """Seconds until the lease that this is part of ends."""
        holdings = self.holdings.get(shard_of(tenant))
        return 0.0 if holdings is None else holdings.remaining_s(now)

    def complain(self, news: dict[str, int]) -> None:
        """Tell the fleet of servers that fail, or do no more."""
        if self.link is not None:
            self.link.send(OutlierReport(self.settings.hostname, news))

    def send(self, message: GatewayMessage) -> None:
        """Pass a message on to the controller; it is lost where there is none."""
        if self.link is not None:
            self.link.send(message)

    def draw(self, tenant: str, count: int, done: Callable[[int, float], None]) -> None:
        """Ask for requests of a tenant beyond our slice; `done` gets how many, and the wait for one more."""
        if self.link is None:
            return done(0, DRAW_TIMEOUT)
        self.last_draw += 1
        number = self.last_draw
        self.draws[number] = done
        self.link.send(ReserveDraw(self.settings.hostname, tenant, count, number))
        self.loop.call_later(DRAW_TIMEOUT, self._undrawn, number)

    def _undrawn(self, number: int) -> None:
        if (done := self.draws.pop(number, None)) is not None:
            done(0, DRAW_TIMEOUT)

    def _report(self) -> None:
        now = clock.monotonic()
        self._send_report(now)
        held = all(self._holdings(key).remaining_s(now) > 0.0 for key in KEYS)
        if not held:
            self.leased_at = now
        soon = now - self.leased_at < YOUNG
        pause = REPORT
        if soon:
            pause = min(REPORT_SOON, SOON_LEAST + SOON_EACH * self.members) if self.members else REPORT_SOON
        self.loop.call_later(pause * self.rng.uniform(0.9, 1.1), self._report)

    def _send_report(self, now: float) -> None:
        if self.link is None:
            return
        held = {key: self._holdings(key).report(now) for key in KEYS}
        self.link.send(GatewayReport(self.asks(), held))

    def stop(self) -> None:
        """The process is about to end."""
        self.stopping = True
        if self.link is not None:
            self.link.send(CloseSession())
