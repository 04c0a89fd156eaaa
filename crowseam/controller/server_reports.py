"""Reports of servers, heartbeats and leaves: recorded, replicated, acknowledged, and repaired by anti-entropy."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from crowseam.controller.leaving_records import LeavingRecords
from crowseam.controller.peers import Peers
from crowseam.controller.pending_calls import PendingCalls, error_body, reply_unavailable
from crowseam.controller.retirements import PendingServer, Retirements
from crowseam.controller.server_feed import ServerFeed
from crowseam.discovery.anti_entropy import AntiEntropy, DigestOffer, RangeRecords
from crowseam.discovery.errors import NoMajorityError
from crowseam.discovery.heartbeat import Heartbeat
from crowseam.discovery.replication import PendingAcknowledgements, ReplicationAck
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.storage.records import Note
from crowseam.transport.http import Call
from crowseam.transport.messages import ChangedServers, HeardReports

REGISTRY_KEY = "registry"  # of the note with the whole registry
_NEVER_SAVED = -1
_EMPTY_BODY = b"{}"


class ServerReports:
    """This controller's replica of the registry, and the calls that wait for a majority of the voters.

    Times are seconds of the monotonic clock.
    """

    def __init__(
        self,
        registry: ServiceRegistry,
        anti_entropy: AntiEntropy,
        acknowledgements: PendingAcknowledgements,
        peers: Peers,
        server_feed: ServerFeed,
        retirements: Retirements,
        leaving_records: LeavingRecords,
        pending_calls: PendingCalls,
        now: float,
    ) -> None:
        self.registry = registry
        self.anti_entropy = anti_entropy
        self.acknowledgements = acknowledgements
        self.peers = peers
        self.server_feed = server_feed
        self.retirements = retirements
        self.leaving_records = leaving_records
        self.pending_calls = pending_calls
        self._reported_until = now  # time up to which received reports were announced to other controllers
        self._saved_version = _NEVER_SAVED

    # The calls of servers

    def heartbeat(self, call: Call, ident: str, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat. That of a leaving server is acknowledged once a majority has it on disk.

        If no majority is reachable, a heartbeat is recorded but not acknowledged, so that the server reports to
        another controller before the rest consider it silent.
        """
        record, is_changed = self.registry.record_heartbeat(ident, heartbeat, now)
        if is_changed:
            self._publish(record, now)
        if record.phase != "up":
            self._acknowledge_by_majority(call, record, now)
        elif self.peers.is_majority_reachable(now):
            call.reply(HTTPStatus.OK, _EMPTY_BODY)
        else:
            reply_unavailable(call, "in touch with no majority of the voters")

    def leave(self, call: Call, ident: str, now: float) -> None:
        """Record the notice of a server that it has ended."""
        record = self.registry.leave(ident, now)
        self._publish(record, now)
        self._acknowledge_by_majority(call, record, now)

    def _publish(self, record: ServerRecord, now: float) -> None:
        self.peers.broadcast(ChangedServers([record]))
        self.server_feed.push_changes(now)

    def _acknowledge_by_majority(self, call: Call, record: ServerRecord, now: float) -> None:
        """Answer the call once a majority of the voters has the record on disk, so that no minority loss erases it."""
        voters = self.peers.voter_ids()
        reachable = self.peers.reachable(now, voters.keys() - {self.peers.me})
        number = self.pending_calls.add(call)
        try:
            self.peers.post_all(self.acknowledgements.start(number, record, voters, now, reachable))
        except NoMajorityError as error:
            self.pending_calls.reply(number, HTTPStatus.SERVICE_UNAVAILABLE, error_body(str(error)))

    # Waiting for a majority: calls by their number, and servers of a retirement

    def on_ack(self, addr: str, ack: ReplicationAck, now: float) -> None:
        """Handle a voter's confirmation that it has a record."""
        self.retirements.on_ack(ack, now)
        for waiting in self.acknowledgements.confirm(addr, ack):
            if isinstance(waiting, PendingServer):
                self.retirements.on_replicated(waiting, now)
            else:
                self.pending_calls.reply(waiting, HTTPStatus.OK, _EMPTY_BODY)

    def tick(self, now: float) -> None:
        """Retransmit requests, and time out waiting calls; to be called several times a second."""
        self.peers.post_all(self.acknowledgements.retransmit(now))
        for waiting in self.acknowledgements.expire(now):
            if isinstance(waiting, PendingServer):
                self.retirements.on_timeout(waiting)
            else:
                body = error_body("no majority has answered in time")
                self.pending_calls.reply(waiting, HTTPStatus.SERVICE_UNAVAILABLE, body)

    # Replicas at other controllers

    def on_changed(self, _: str, changed: ChangedServers, now: float) -> None:
        """Merge records that another controller changed."""
        for record in changed.records:
            self.registry.merge(record, now)
        self.server_feed.push_changes(now)

    def send_heard(self, now: float) -> None:
        """Announce to the other controllers which servers reported here since the last announcement."""
        heard = self.registry.heard_since(self._reported_until)
        self._reported_until = now
        if heard:
            self.peers.broadcast(HeardReports(heard))

    def on_heard(self, addr: str, heard: HeardReports, now: float) -> None:
        """Record reports received by another controller; if one is of an unknown server, start a repair."""
        if self.registry.apply_heard(heard.reports, now):
            self.start_repair(addr, now)

    def start_repair(self, addr: str, now: float) -> None:
        """Start anti-entropy repair with another controller."""
        self.peers.post(addr, self.anti_entropy.offer(now))

    def on_peer_lost(self, lost: str, now: float) -> None:
        """Start repair with the others, because only some may have received the last messages of the lost one."""
        offer = self.anti_entropy.offer(now)
        for addr in self.peers.reachable(now) - {lost}:
            self.peers.post(addr, offer)

    def on_repair(self, addr: str, message: DigestOffer | RangeRecords, now: float) -> None:
        """Handle digests of another controller, or its records of ranges that differ."""
        replies, changed = self.anti_entropy.handle(message, now)
        for reply in replies:
            self.peers.post(addr, reply)
        if changed:
            self.server_feed.push_changes(now)

    # On disk

    def restore(self, notes: dict[str, bytes], now: float) -> None:
        """Restore the servers saved before the start. Raises msgspec.DecodeError."""
        saved = notes.get(REGISTRY_KEY)
        if saved is not None:
            for record in msgspec.msgpack.decode(saved, type=list[ServerRecord]):
                self.registry.merge(record, now)
        for record in self.leaving_records.restore(notes):
            self.registry.merge(record, now)

    def unsaved(self, now: float) -> list[Note]:
        """Return the notes to save if the registry has changed since it was last saved."""
        if self.registry.version == self._saved_version:
            return []
        self._saved_version = self.registry.version
        note = Note(REGISTRY_KEY, msgspec.msgpack.encode(self.registry.records(now)))
        return [note, *self.leaving_records.superseded_notes()]

    def on_saved(self, ok: bool) -> None:
        """Handle the end of a write; if it failed, `unsaved` returns the registry again."""
        if not ok:
            self._saved_version = _NEVER_SAVED
