"""One controller process: its listeners, its timers, and which part gets which message.

Nothing is decided here; see `parts` for what the process consists of.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Callable
from random import Random
from typing import get_args

import msgspec
import uvloop

from crowseam import clock, logs
from crowseam import settings as settings_file
from crowseam.configuration.text import version_text
from crowseam.consensus import messages as consensus
from crowseam.controller.agreement import TICK_INTERVAL_S
from crowseam.controller.durable_state import DiskWriter
from crowseam.controller.gateway_sessions import GatewaySession
from crowseam.controller.parts import build_parts
from crowseam.controller.peers import HEARTBEAT_INTERVAL_S, SESSIONS_KEY
from crowseam.controller.router import MessageRouter
from crowseam.discovery.anti_entropy import DigestOffer, RangeRecords
from crowseam.discovery.replication import ReplicationAck, ReplicationRequest
from crowseam.discovery.voter_catch_up import StateTransferReply, StateTransferRequest
from crowseam.membership import role_messages
from crowseam.membership.sessions import SessionUpdate
from crowseam.operations import messages as operations
from crowseam.storage.errors import StoreError
from crowseam.storage.store import Store
from crowseam.transport.http import HttpConnection
from crowseam.transport.links import Link
from crowseam.transport.messages import (
    ChangedServers,
    CloseSession,
    FollowingLog,
    ForwardedLease,
    ForwardedLeaseReport,
    GatewayReport,
    HeardReports,
    InFlightCounts,
    InFlightQuery,
    InFlightReply,
    Message,
    OpenSession,
    OutlierReport,
    PeerGreeting,
    PeerHeartbeat,
    ReserveDraw,
    ReserveDrawReply,
)

UPDATE_INTERVAL_S = 0.5  # between updates of sessions and reports to other controllers
REPAIR_INTERVAL_S = 1.0  # between comparisons of registries
SAVE_INTERVAL_S = 1.0
SILENCE_HEARTBEATS = 2.6  # of a server that are missing, after which gateways are told that it is silent
STOP_CHECK_INTERVAL_S = 0.1
FIRST_STOP_CHECK_S = 0.3
MAX_STOP_CHECKS = 12
_BACKLOG = 512
_EXIT_FAILED, _EXIT_BAD_SETTINGS = 1, 2


class DueTimes:
    """When periodic work is due next (steady clock, s)."""

    def __init__(self, now: float) -> None:
        self.heartbeat_at = 0.0
        self.update_at = 0.0
        self.repair_at = 0.0
        self.save_at = now + SAVE_INTERVAL_S


class Controller:
    """The process: owner of the parts, of the listeners and of the timers.

    `settings` are the settings, read from the file at `path` (None: where the environment says).

    Raises
    ------
    crowseam.storage.errors.StoreError
        If the disk can't be read.
    """

    # The simulator has its own.
    store_type: Callable[[str], Store] = Store
    writer_type: Callable[[asyncio.AbstractEventLoop, Store], DiskWriter] = DiskWriter

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: settings_file.Settings,
        path: str | None = None,
        rng: Random | None = None,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.path = path
        self.rng = rng or Random()
        now = self.now()
        parts = build_parts(
            loop, settings, self.rng, now, self._on_link_message, self._on_message, self.store_type, self.writer_type
        )
        self.store = parts.store
        self.disk = parts.store.writer
        self.machine = parts.machine
        self.node = parts.node
        self.registry = parts.registry
        self.session_table = parts.session_table
        self.role_leases = parts.role_leases
        self.pending_calls = parts.pending_calls
        self.peers = parts.peers
        self.gateways = parts.gateways
        self.agreement = parts.agreement
        self.lease_service = parts.lease_service
        self.leaving_records = parts.leaving_records
        self.retirements = parts.retirements
        self.drain_status = parts.drain_status
        self.reports = parts.reports
        self.voter_sync = parts.voter_sync
        self.operations = parts.operations
        self.api = parts.api
        self._controller_messages = self._route_controllers()
        self._gateway_messages = self._route_gateways()
        self._timers = DueTimes(now)
        self._silence_s = SILENCE_HEARTBEATS * settings_file.seconds(settings.hb, "hb")
        self._servers: list[asyncio.Server] = []
        self.is_stopping = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        try:
            self.reports.restore(self.store.notes(), now)
        except msgspec.DecodeError as error:
            logs.say("registry_unreadable", error=error)

    def now(self) -> float:
        """Return the seconds of the steady clock."""
        return clock.monotonic()

    def _route_controllers(self) -> MessageRouter[str]:
        """Return what handles the messages of controllers; senders are addresses."""
        router: MessageRouter[str] = MessageRouter()
        router.add(PeerGreeting, self.peers.on_returned_greeting)
        router.add(PeerHeartbeat, self._on_peer_heartbeat)
        router.add_all(get_args(consensus.Message), self.agreement.on_message)
        router.add_all(get_args(role_messages.Message), self.lease_service.on_role_message)
        router.add(SessionUpdate, self.peers.on_session_update)
        router.add(ChangedServers, self.reports.on_changed)
        router.add(HeardReports, self.reports.on_heard)
        router.add_all((DigestOffer, RangeRecords), self.reports.on_repair)
        router.add(ReplicationRequest, self.leaving_records.on_replication_request)
        router.add(ReplicationAck, self.reports.on_ack)
        router.add(InFlightQuery, self.drain_status.on_in_flight_query)
        router.add(InFlightReply, self.drain_status.on_in_flight_reply)
        router.add(ForwardedLeaseReport, self._on_forwarded_report)
        router.add(ForwardedLease, self.lease_service.on_forwarded_lease)
        router.add(ReserveDraw, self.lease_service.on_forwarded_draw)
        router.add(ReserveDrawReply, self.lease_service.on_draw_reply)
        router.add(OutlierReport, self.gateways.server_feed.on_forwarded_report)
        router.add(StateTransferRequest, self.voter_sync.on_request)
        router.add(StateTransferReply, self.voter_sync.on_reply)
        router.add(operations.RecordClaim, self.operations.on_record_claim)
        router.add(operations.RecordEnd, self.operations.on_record_end)
        router.add(operations.RecordWithdrawal, self.operations.on_record_withdrawal)
        router.add(operations.ClaimVote, self.operations.on_vote)
        router.add(operations.RecordAck, self.operations.on_ack)
        router.add(operations.LearnOperations, self.operations.on_learn)
        router.add(operations.OperationsLearned, self.operations.on_learned)
        return router

    def _route_gateways(self) -> MessageRouter[GatewaySession]:
        """Return what handles the messages of gateways; senders are their sessions."""
        router: MessageRouter[GatewaySession] = MessageRouter()
        router.add(GatewayReport, self._on_gateway_report)
        router.add(ReserveDraw, self.lease_service.on_gateway_draw)
        router.add(OutlierReport, self.gateways.on_outlier_report)
        router.add(InFlightCounts, self.drain_status.on_in_flight_counts)
        router.add(CloseSession, self.gateways.on_close)
        router.add(consensus.SnapshotChunkRequest, self.gateways.on_chunk_request)
        router.add(FollowingLog, self.gateways.on_following)
        router.add(operations.OperationClaim, self.operations.on_claim)
        router.add(operations.OperationEnd, self.operations.on_end)
        router.add(operations.OperationWithdrawal, self.operations.on_withdrawal)
        return router

    # Start and stop

    async def start(self) -> None:
        """Listen, dial the seeds and begin. Raises OSError where an address can't be had."""
        await self._listen(self.settings.peer, lambda: Link(self._on_link_message, self._on_link_ended))
        await self._listen(self.settings.bind.ctl, lambda: HttpConnection(self.api.serve), _BACKLOG)
        for seed in self.settings.seeds:
            self.peers.add(seed)
        self._tick()
        logs.say(
            "started",
            addr=self.peers.me,
            voting=self.node.voting,
            voter=self.node.me in self.node.voters,
            slot=self.node.last_slot,
            ver=version_text(self.machine.config.ver),
        )

    async def _listen(self, addr: str, protocol: Callable[[], asyncio.Protocol], backlog: int = 100) -> None:
        host, port = settings_file.address(addr)
        server = await self.loop.create_server(protocol, host, port, reuse_address=True, backlog=backlog)
        self._servers.append(server)

    def reload(self) -> None:
        """Read the settings anew, which may name other seeds."""
        try:
            settings = settings_file.read(self.path)
        except settings_file.SettingsError as error:
            logs.say("settings_invalid", error=error)
            return
        for seed in settings.seeds:
            self.peers.add(seed)
        self.node.bootstrap_addrs = [seed for seed in settings.seeds if seed != self.peers.me]

    def stop(self) -> None:
        """Release roles, leave the voters, answer what waits, end: `stopped` is then done."""
        if self.is_stopping:
            return
        self.is_stopping = self.api.is_closing = True
        logs.say("stopping", waiting=len(self.pending_calls))
        self.peers.post_all(self.role_leases.release_all(self.now()))
        self.agreement.leave(self.now())
        self.loop.call_later(FIRST_STOP_CHECK_S, self._check_stopped, 0)

    def _check_stopped(self, checks: int) -> None:
        is_busy = len(self.pending_calls) > 0 or self.node.should_wait_to_leave
        if is_busy and checks < MAX_STOP_CHECKS:
            self.loop.call_later(STOP_CHECK_INTERVAL_S, self._check_stopped, checks + 1)
        elif not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Let go of sockets and disk."""
        for server in self._servers:
            server.close()
        self.peers.close()
        self.store.close()

    # Messages

    def _on_link_message(self, link: Link, message: Message) -> None:
        try:
            if not link.peer:
                self._on_greeting(link, message)
            elif (session := self.gateways.session_of(link)) is not None:
                self._gateway_messages.dispatch(session, message, self.now())
            else:
                self._on_message(link.peer, message)
        except Exception:  # noqa: BLE001 - a fault over one message must not end the process
            logs.failure("message_failed")
            link.close()

    def _on_greeting(self, link: Link, message: Message) -> None:
        if isinstance(message, PeerGreeting):
            self.peers.on_greeting(link, message)
        elif isinstance(message, OpenSession):
            self.gateways.open(link, message, self.now())
        else:
            link.close()

    def _on_message(self, addr: str, message: Message) -> None:
        """Take a message of another controller, or our own to ourselves."""
        now = self.now()
        self.voter_sync.update(now)
        self._controller_messages.dispatch(addr, message, now)

    def _on_link_ended(self, link: Link) -> None:
        """Note that a link that was dialled from elsewhere has ended."""
        now = self.now()
        if self.gateways.on_link_ended(link, now):
            return
        if link.peer in self.peers.dialers and not self.is_stopping:
            self.reports.on_peer_lost(link.peer, now)

    # Messages that concern more than one part

    def _on_peer_heartbeat(self, addr: str, heartbeat: PeerHeartbeat, now: float) -> None:
        self.peers.on_heartbeat(addr, heartbeat, now)
        self.agreement.observe_slot(addr, heartbeat.last_slot, now)

    def _on_forwarded_report(self, addr: str, report: ForwardedLeaseReport, now: float) -> None:
        if report.key == SESSIONS_KEY:
            self.peers.send_all_sessions(addr, now)
        else:
            self.lease_service.on_forwarded_report(addr, report, now)

    def _on_gateway_report(self, session: GatewaySession, report: GatewayReport, now: float) -> None:
        self.session_table.renew(session.gateway, now)
        self.lease_service.on_gateway_report(session, report, now)

    # DueTimes

    def _tick(self) -> None:
        now = self.now()
        try:
            self._do_due(now)
        except Exception:  # noqa: BLE001 - a fault in one tick must not end all that follow
            logs.failure("tick_failed")
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _do_due(self, now: float) -> None:
        self.agreement.tick(now)
        voters = set(self.peers.voters())
        self.node.learners = [addr for addr in self.peers.dialers if addr not in voters]
        reachable = self.peers.reachable(now)
        self.voter_sync.update(now)
        if self.node.voting:
            self.voter_sync.tick(now)
        self.gateways.borrowers.update(now, self.peers.is_in_touch(now))
        self.lease_service.tick(now, reachable, voters)
        self.reports.tick(now)
        self.operations.tick(now)
        timers = self._timers
        if now >= timers.heartbeat_at:
            timers.heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self.peers.send_heartbeats(now)
            self.gateways.send_heartbeats(now)
        if now >= timers.update_at:
            timers.update_at = now + UPDATE_INTERVAL_S
            self._send_updates(now, voters)
        if now >= timers.repair_at:
            timers.repair_at = now + REPAIR_INTERVAL_S * self.rng.uniform(0.8, 1.2)
            if reachable:
                self.reports.start_repair(self.rng.choice(sorted(reachable)), now)
        if now >= timers.save_at:
            timers.save_at = now + SAVE_INTERVAL_S
            self._save(now)

    def _send_updates(self, now: float, voters: set[str]) -> None:
        server_feed = self.gateways.server_feed
        self.reports.send_heard(now)
        self.peers.send_session_updates(now)
        self.gateways.expire(now)
        server_feed.check_silence(now, self._silence_s)
        if server_feed.ejected:
            server_feed.check_outliers(now)
        self.peers.forget_silent(now, voters.union(self.settings.seeds))

    def _save(self, now: float) -> None:
        records = [*self.gateways.unsaved(now), *self.reports.unsaved(now)]
        if records:
            self.store.write(records, self.reports.on_saved)


async def serve(settings: settings_file.Settings) -> None:
    """Run one controller until it is told to stop."""
    loop = asyncio.get_running_loop()
    controller = Controller(loop, settings)
    loop.add_signal_handler(signal.SIGHUP, controller.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, controller.stop)
    await controller.start()
    gc.collect()
    gc.freeze()
    await controller.stopped
    controller.close()


def main() -> int:
    """Run the role; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file is about to be read anyway
    try:
        settings = settings_file.read()
        if not settings.bind.ctl:
            raise settings_file.SettingsError("bind.ctl is missing")  # noqa: TRY301 - reported as all faults of the file
    except settings_file.SettingsError as error:
        print(f"crowseam: {error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    logs.begin("controller", settings.hostname)
    try:
        uvloop.run(serve(settings))
    except (OSError, StoreError) as error:
        logs.say("ended", error=error)
        return _EXIT_FAILED
    return 0
