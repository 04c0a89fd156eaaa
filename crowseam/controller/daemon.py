"""A controller process: its listeners, its timers, and the routing of messages to components.

The module contains no decision logic; `parts` lists the components.
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

UPDATE_INTERVAL_S = 0.5  # between updates to other controllers about sessions and server reports
REPAIR_INTERVAL_S = 1.0  # between comparisons of the registry with another controller
SAVE_INTERVAL_S = 1.0
SILENT_AFTER_HEARTBEATS = 2.6  # heartbeat intervals without a report, after which a server is reported as silent
STOP_CHECK_INTERVAL_S = 0.1
FIRST_STOP_CHECK_S = 0.3
MAX_STOP_CHECKS = 12
_BACKLOG = 512
_EXIT_FAILED, _EXIT_BAD_SETTINGS = 1, 2


class TimerDeadlines:
    """When each periodic task is due next, in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        self.heartbeat_at = 0.0
        self.update_at = 0.0
        self.repair_at = 0.0
        self.save_at = now + SAVE_INTERVAL_S


class Controller:
    """The controller process: owns the components, the listeners and the timers.

    `settings` were read from the file at `settings_path`; None stands for the file that the environment names.

    Raises
    ------
    crowseam.storage.errors.StoreError
        If the store cannot be read.
    """

    # The simulator overrides these.
    store_type: Callable[[str], Store] = Store
    writer_type: Callable[[asyncio.AbstractEventLoop, Store], DiskWriter] = DiskWriter

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: settings_file.Settings,
        settings_path: str | None = None,
        rng: Random | None = None,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.settings_path = settings_path
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
        self._deadlines = TimerDeadlines(now)
        self._silent_after_s = SILENT_AFTER_HEARTBEATS * settings_file.parse_duration_s(settings.hb, "hb")
        self._servers: list[asyncio.Server] = []
        self.is_stopping = False
        self.stopped: asyncio.Future[None] = loop.create_future()
        try:
            self.reports.restore(self.store.notes(), now)
        except msgspec.DecodeError as error:
            logs.emit("registry_unreadable", error=error)

    def now(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return clock.monotonic()

    def _route_controllers(self) -> MessageRouter[str]:
        """Return the router for messages from controllers; a sender is an address."""
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
        """Return the router for messages from gateways; a sender is a session."""
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
        """Listen, connect to the seeds and start the timers. Raises OSError if an address cannot be bound."""
        await self._listen(self.settings.peer, lambda: Link(self._on_link_message, self._on_link_ended))
        await self._listen(self.settings.bind.ctl, lambda: HttpConnection(self.api.serve), _BACKLOG)
        for seed in self.settings.seeds:
            self.peers.add(seed)
        self._tick()
        logs.emit(
            "started",
            addr=self.peers.me,
            voting=self.node.voting,
            voter=self.node.me in self.node.voters,
            slot=self.node.last_slot,
            ver=version_text(self.machine.config.ver),
        )

    async def _listen(self, addr: str, protocol: Callable[[], asyncio.Protocol], backlog: int = 100) -> None:
        host, port = settings_file.parse_address(addr)
        server = await self.loop.create_server(protocol, host, port, reuse_address=True, backlog=backlog)
        self._servers.append(server)

    def reload(self) -> None:
        """Read the settings file again; only a change of the seeds takes effect."""
        try:
            settings = settings_file.read(self.settings_path)
        except settings_file.SettingsError as error:
            logs.emit("settings_invalid", error=error)
            return
        for seed in settings.seeds:
            self.peers.add(seed)
        self.node.bootstrap_addrs = [seed for seed in settings.seeds if seed != self.peers.me]

    def stop(self) -> None:
        """Release roles, leave the voters and drain pending calls; `stopped` completes afterwards."""
        if self.is_stopping:
            return
        self.is_stopping = self.api.is_closing = True
        logs.emit("stopping", waiting=len(self.pending_calls))
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
        """Close the sockets and the store."""
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
        except Exception:  # noqa: BLE001 - a failure to handle one message must not end the process
            logs.exception("message_failed")
            link.close()

    def _on_greeting(self, link: Link, message: Message) -> None:
        if isinstance(message, PeerGreeting):
            self.peers.on_greeting(link, message)
        elif isinstance(message, OpenSession):
            self.gateways.open(link, message, self.now())
        else:
            link.close()

    def _on_message(self, addr: str, message: Message) -> None:
        """Handle a message from another controller, or from this controller to itself."""
        now = self.now()
        self.voter_sync.update(now)
        self._controller_messages.dispatch(addr, message, now)

    def _on_link_ended(self, link: Link) -> None:
        """Handle the end of a link that another process opened."""
        now = self.now()
        if self.gateways.on_link_ended(link, now):
            return
        if link.peer in self.peers.dialers and not self.is_stopping:
            self.reports.on_peer_lost(link.peer, now)

    # Messages for more than one component

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

    # Periodic tasks

    def _tick(self) -> None:
        now = self.now()
        try:
            self._run_due_work(now)
        except Exception:  # noqa: BLE001 - a failure in one tick must not prevent the next
            logs.exception("tick_failed")
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _run_due_work(self, now: float) -> None:
        self.agreement.tick(now)
        voters = set(self.peers.voters())
        self.node.learners = [addr for addr in self.peers.dialers if addr not in voters]
        reachable = self.peers.reachable(now)
        self.voter_sync.update(now)
        if self.node.voting:
            self.voter_sync.tick(now)
        self.gateways.borrowers.update(now, self.peers.is_majority_reachable(now))
        self.lease_service.tick(now, reachable, voters)
        self.reports.tick(now)
        self.operations.tick(now)
        deadlines = self._deadlines
        if now >= deadlines.heartbeat_at:
            deadlines.heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self.peers.send_heartbeats(now)
            self.gateways.send_heartbeats(now)
        if now >= deadlines.update_at:
            deadlines.update_at = now + UPDATE_INTERVAL_S
            self._send_updates(now, voters)
        if now >= deadlines.repair_at:
            deadlines.repair_at = now + REPAIR_INTERVAL_S * self.rng.uniform(0.8, 1.2)
            if reachable:
                self.reports.start_repair(self.rng.choice(sorted(reachable)), now)
        if now >= deadlines.save_at:
            deadlines.save_at = now + SAVE_INTERVAL_S
            self._save(now)

    def _send_updates(self, now: float, voters: set[str]) -> None:
        server_feed = self.gateways.server_feed
        self.reports.send_heard(now)
        self.peers.send_session_updates(now)
        self.gateways.expire(now)
        server_feed.check_silence(now, self._silent_after_s)
        if server_feed.ejected:
            server_feed.check_outliers(now)
        self.peers.forget_silent(now, voters.union(self.settings.seeds))

    def _save(self, now: float) -> None:
        records = [*self.gateways.unsaved(now), *self.reports.unsaved(now)]
        if records:
            self.store.write(records, self.reports.on_saved)


async def serve(settings: settings_file.Settings) -> None:
    """Run a controller until a signal stops it."""
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
    """Run the role; return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the settings are read below; the reload handler is installed later
    try:
        settings = settings_file.read()
        if not settings.bind.ctl:
            raise settings_file.SettingsError("bind.ctl is missing")  # noqa: TRY301 - reported like all errors of the file
    except settings_file.SettingsError as error:
        print(f"crowseam: {error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    logs.configure("controller", settings.hostname)
    try:
        uvloop.run(serve(settings))
    except (OSError, StoreError) as error:
        logs.emit("ended", error=error)
        return _EXIT_FAILED
    return 0
