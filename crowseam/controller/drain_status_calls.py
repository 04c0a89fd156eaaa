"""The status of leaving servers for operators: the gateways with requests in flight, as reported by all gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import NamedTuple, Protocol

import msgspec

from crowseam import clock
from crowseam.controller.gateway_sessions import GatewaySession
from crowseam.controller.leaving_records import RegistryFeed
from crowseam.controller.peers import Peers
from crowseam.controller.pending_calls import PendingCalls, error_body
from crowseam.discovery.drain_status import DrainedServer, DrainStatusQuery
from crowseam.discovery.heartbeat import check_id
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.membership.sessions import SessionTable
from crowseam.transport.http import Call
from crowseam.transport.messages import InFlightCountRequest, InFlightCounts, InFlightQuery, InFlightReply, Message

QUERY_TIMEOUT_S = 0.6  # for the gateways of all controllers to answer
LOCAL_QUERY_TIMEOUT_S = 0.35  # for the gateways of this controller, asked by another one


class DrainedServerState(msgspec.Struct, frozen=True):
    """The reported state of a server that is gone or in use."""

    id: str
    state: str
    safe: bool


class _OpenQuery(NamedTuple):
    """A query, the registry position that gateways must have reached, and the callback for the answers."""

    query: DrainStatusQuery
    position: int
    on_complete: Callable[[DrainStatusQuery], None]


class Gateways(Protocol):
    """The sessions of gateways, as used here."""

    sessions: dict[str, GatewaySession]
    last_seen: dict[str, float]

    def broadcast(self, message: Message) -> None:
        """Send a message to each gateway."""


class DrainStatusCalls:
    """Asks all gateways, directly or through their controllers. Times are seconds of the monotonic clock."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        registry: ServiceRegistry,
        session_table: SessionTable,
        peers: Peers,
        gateways: Gateways,
        server_feed: RegistryFeed,
        pending_calls: PendingCalls,
    ) -> None:
        self.loop = loop
        self.registry = registry
        self.session_table = session_table
        self.peers = peers
        self.gateways = gateways
        self.server_feed = server_feed
        self.pending_calls = pending_calls
        self._queries: dict[int, _OpenQuery] = {}

    def on_call(self, call: Call, ident: str, now: float) -> None:
        """Answer with the leaving servers, or with the state of one. Raises DiscoveryError for an invalid id."""
        self.server_feed.push_changes(now)  # gateways answer with their registry position
        leaving = self.registry.leaving(now)
        if ident:
            record = self.registry.get(check_id(ident), now)
            if record is None:
                call.reply(HTTPStatus.NOT_FOUND, error_body("this server is not known"))
                return
            if record.phase == "gone" or record.usable:
                state = "gone" if record.phase == "gone" else "in_use"
                self._reply(call, DrainStatusQuery(()), [DrainedServerState(ident, state, state == "gone")])
                return
            leaving = [server for server in leaving if server.record.id == ident]
        if not leaving:
            self._reply(call, DrainStatusQuery(()), [])
            return
        reachable = self.peers.reachable(now)
        members = self.session_table.members(now)
        number = self.pending_calls.add(call)

        def done(query: DrainStatusQuery) -> None:
            self.pending_calls.take(number)
            query.add_controller(self.peers.me, {}, self._lost_gateways(), {})
            # Based on the answers to this call: the failure detector may be outdated.
            has_majority = self.peers.is_majority(reachable - query.waiting_controllers)
            self._reply(call, query, query.report(leaving, has_majority, clock.time()))

        query = DrainStatusQuery(self.gateways.sessions, reachable, members)
        self._ask_gateways(number, query, QUERY_TIMEOUT_S, done)
        request = InFlightQuery(number, [server.record for server in leaving])
        for addr in reachable:
            self.peers.post(addr, request)

    def _reply(
        self, call: Call, query: DrainStatusQuery, servers: Iterable[DrainedServer | DrainedServerState]
    ) -> None:
        now = clock.monotonic()
        silent = self.peers.dialers.keys() - self.peers.reachable(now)
        body = {
            "in_touch": self.peers.is_majority_reachable(now),
            "silent": sorted(silent | query.waiting_controllers),
            "away": {gateway: round(lost_s, 1) for gateway, lost_s in query.missing_gateways().items()},
            "servers": list(servers),
        }
        call.reply(HTTPStatus.OK, msgspec.json.encode(body), fields=self.peers.age_header(now))

    def on_in_flight_query(self, addr: str, request: InFlightQuery, now: float) -> None:
        """Ask our gateways on behalf of another controller, after sending them the servers that it knows."""
        for record in request.records:
            self.registry.merge(record, now)
        self.server_feed.push_changes(now)
        idents = {record.id for record in request.records}
        ages_s = {server.record.id: server.age_s for server in self.registry.leaving(now) if server.record.id in idents}

        def done(query: DrainStatusQuery) -> None:
            reply = InFlightReply(request.number, query.in_flight, self._lost_gateways(), ages_s)
            self.peers.post(addr, reply)

        number = self.pending_calls.next_number()
        self._ask_gateways(number, DrainStatusQuery(self.gateways.sessions), LOCAL_QUERY_TIMEOUT_S, done)

    def on_in_flight_reply(self, addr: str, reply: InFlightReply, _: float) -> None:
        """Handle the answer of another controller."""
        open_query = self._queries.get(reply.number)
        if open_query is not None:
            open_query.query.add_controller(addr, reply.gateways, reply.lost_gateways, reply.ages_s)
            self._finish_if_complete(reply.number)

    def on_in_flight_counts(self, session: GatewaySession, counts: InFlightCounts, _: float) -> None:
        """Record a gateway's counts of requests in flight, if it has followed the registry far enough."""
        open_query = self._queries.get(counts.number)
        if open_query is None:
            return
        if counts.registry == self.registry.incarnation and counts.position >= open_query.position:
            open_query.query.add_gateway(session.gateway, counts.in_flight)
            self._finish_if_complete(counts.number)

    def _ask_gateways(
        self, number: int, query: DrainStatusQuery, timeout_s: float, on_complete: Callable[[DrainStatusQuery], None]
    ) -> None:
        self._queries[number] = _OpenQuery(query, self.registry.position.number, on_complete)
        self.gateways.broadcast(InFlightCountRequest(number))
        self.loop.call_later(timeout_s, self._finish_query, number)
        self._finish_if_complete(number)

    def _finish_if_complete(self, number: int) -> None:
        if self._queries[number].query.is_complete:
            self._finish_query(number)

    def _finish_query(self, number: int) -> None:
        open_query = self._queries.pop(number, None)
        if open_query is not None:
            open_query.on_complete(open_query.query)

    def _lost_gateways(self) -> dict[str, float]:
        """Return recent members that are members no longer, with the seconds since they last were."""
        now = clock.monotonic()
        members = self.session_table.members(now)
        return {
            gateway: now - seen_at for gateway, seen_at in self.gateways.last_seen.items() if gateway not in members
        }
