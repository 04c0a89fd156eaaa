"""Retirements: calls of operators to take servers out of use, answered once a majority of the voters stored them."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import NamedTuple, Protocol

import msgspec

from crowseam import clock, logs
from crowseam.controller.leaving_records import RegistryFeed
from crowseam.controller.peers import Peers
from crowseam.controller.pending_calls import PendingCalls, error_body, reply_unavailable
from crowseam.discovery import replication
from crowseam.discovery.errors import NoMajorityError, RetirementRaceError
from crowseam.discovery.replication import PendingAcknowledgements, ReplicationAck
from crowseam.discovery.retirement_call import RetirementCall, remaining_fractions, services_below_minimum
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.transport.http import Call
from crowseam.transport.messages import ChangedServers

REJECTION_CHECK_INTERVAL_S = 0.02  # between checks whether a call may be rejected
_SELECTORS = ("id", "ver", "az", "svc")


class RetirementRequest(msgspec.Struct):
    """The body of a retirement call; it selects the servers that match all given fields."""

    id: str = ""
    ver: str = ""
    az: str = ""
    svc: str = ""
    undo: bool = False
    force: bool = False


class PendingServer(NamedTuple):
    """A server of a retirement that waits for a majority, by the number of the call."""

    call_number: int
    ident: str


class _PendingRetirement(NamedTuple):
    """A call, the fraction of slots that each service keeps, and the start time."""

    retirement: RetirementCall
    remaining: dict[str, float]
    started_at: float


class SilenceFeed(RegistryFeed, Protocol):
    """The server feed, as used here."""

    silent: list[str]


class Retirements:
    """Takes servers out of use for operators. Times are seconds of the monotonic clock."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        registry: ServiceRegistry,
        acknowledgements: PendingAcknowledgements,
        peers: Peers,
        server_feed: SilenceFeed,
        pending_calls: PendingCalls,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.acknowledgements = acknowledgements
        self.peers = peers
        self.server_feed = server_feed
        self.pending_calls = pending_calls
        self._in_progress: dict[int, _PendingRetirement] = {}

    def on_call(self, call: Call, now: float) -> None:
        """Retire servers or put them back; the call is answered once a majority of the voters has that on disk."""
        try:
            request = msgspec.json.decode(call.body, type=RetirementRequest)
        except msgspec.DecodeError as error:
            call.reply(HTTPStatus.BAD_REQUEST, error_body(str(error)))
            return
        fields = {name: value for name in _SELECTORS if (value := getattr(request, name))}
        if not fields.keys() & {"id", "ver", "az"}:
            call.reply(HTTPStatus.BAD_REQUEST, error_body("id, ver or az: one of them is needed"))
        elif not self.peers.is_majority_reachable(now):
            reply_unavailable(call, "in touch with no majority of the voters")
        else:
            self._decide(call, request, fields, now, now)

    def _decide(
        self, call: Call, request: RetirementRequest, fields: dict[str, str], started_at: float, now: float
    ) -> None:
        """Carry out or reject a request. It is rejected only if a majority has answered since the call arrived."""
        server_ids = self.registry.matching(**fields)
        capacity = self.registry.capacity(server_ids, not request.undo, self.server_feed.silent)
        short_services = [] if request.undo or request.force else services_below_minimum(capacity)
        if (not server_ids or short_services) and not self.peers.has_majority_answered_since(started_at, now):
            self._decide_later(call, request, fields, started_at, now)
        elif not server_ids:
            call.reply(HTTPStatus.NOT_FOUND, error_body("no server that is known fits"))
        elif short_services:
            logs.emit("retirement_rejected", found=len(server_ids), short=",".join(short_services))
            self._reject_short(call, short_services, remaining_fractions(capacity))
        else:
            self._start(call, request, server_ids, remaining_fractions(capacity), now)

    def _decide_later(
        self, call: Call, request: RetirementRequest, fields: dict[str, str], started_at: float, now: float
    ) -> None:
        if now == started_at:
            self.peers.probe_voters(now)
        if now - started_at >= replication.TIMEOUT_S:
            reply_unavailable(call, "no majority has answered in time")
            return

        def decide_again() -> None:
            self._decide(call, request, fields, started_at, clock.monotonic())

        self.loop.call_later(REJECTION_CHECK_INTERVAL_S, decide_again)

    def _reject_short(self, call: Call, short_services: list[str], remaining: dict[str, float]) -> None:
        text = ", ".join(f"{service} would keep {remaining[service]:.0%} of its slots" for service in short_services)
        body = {"error": f"{text}; with force it is done all the same", "room": remaining}
        call.reply(HTTPStatus.CONFLICT, msgspec.json.encode(body))

    def _start(
        self, call: Call, request: RetirementRequest, server_ids: list[str], remaining: dict[str, float], now: float
    ) -> None:
        retirement = RetirementCall(server_ids, not request.undo)
        number = self.pending_calls.add(call)
        self._in_progress[number] = _PendingRetirement(retirement, remaining, now)
        self._write(retirement, server_ids, now)
        logs.emit("retirement_started", undo=request.undo, found=len(server_ids), changed=len(retirement.changed))
        for ident in server_ids:
            self._replicate(PendingServer(number, ident), now)

    def _write(self, retirement: RetirementCall, idents: list[str], now: float) -> None:
        changed = self.registry.retire(idents, retirement.is_retired, now)
        if changed:
            retirement.changed.update(record.id for record in changed)
            self.peers.broadcast(ChangedServers(changed))
            self.server_feed.push_changes(now)

    def _replicate(self, server: PendingServer, now: float) -> None:
        if server.call_number not in self._in_progress:
            return
        voters = self.peers.voter_ids()
        reachable = self.peers.reachable(now, voters.keys() - {self.peers.me})
        record = self.registry.get(server.ident, now) or ServerRecord(server.ident, phase="gone")
        try:
            self.peers.post_all(self.acknowledgements.start(server, record, voters, now, reachable))
        except NoMajorityError as error:
            self._finish(server.call_number, HTTPStatus.SERVICE_UNAVAILABLE, error_body(str(error)))

    def on_ack(self, ack: ReplicationAck, now: float) -> None:
        """Adopt a later decision about a server that a voter reports."""
        record = self.registry.get(ack.id, now)
        if record is not None and ack.retired > record.retired:
            self.registry.merge(msgspec.structs.replace(record, retired=ack.retired), now)
            self.server_feed.push_changes(now)

    def on_replicated(self, server: PendingServer, now: float) -> None:
        """Handle the confirmation that a majority of the voters has the record of this server on disk."""
        number, ident = server
        if number not in self._in_progress:
            return
        retirement, remaining, started_at = self._in_progress[number]
        try:
            needs_rewrite = retirement.needs_rewrite(ident, self.registry.get(ident, now))
        except RetirementRaceError as error:
            self._finish(number, HTTPStatus.CONFLICT, error_body(str(error)))
            return
        if needs_rewrite:
            self._write(retirement, [ident], now)
            self._replicate(server, now)
        elif not retirement.pending:
            took_s = now - started_at
            logs.emit(
                "retirement_replicated", undo=not retirement.is_retired, found=len(retirement.idents), seconds=took_s
            )
            body = {"found": retirement.idents, "changed": sorted(retirement.changed), "room": remaining}
            self._finish(number, HTTPStatus.OK, msgspec.json.encode(body))

    def on_timeout(self, server: PendingServer) -> None:
        """Answer the call with 503, because no majority has confirmed this server in time."""
        body = error_body("no majority has confirmed it in time")
        self._finish(server.call_number, HTTPStatus.SERVICE_UNAVAILABLE, body)

    def _finish(self, number: int, status: int, body: bytes) -> None:
        pending_retirement = self._in_progress.pop(number, None)
        if pending_retirement is None:
            return
        for ident in pending_retirement.retirement.pending:
            self.acknowledgements.cancel(PendingServer(number, ident))
        self.pending_calls.reply(number, status, body)
