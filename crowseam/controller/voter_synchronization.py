"""Keeps the components of a controller on one view of the voters, and runs the catch-up of a new voter."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from crowseam.consensus.messages import Voter
from crowseam.consensus.node import Node
from crowseam.controller.durable_state import CAUGHT_UP_VOTER_KEY, StoredRecord, WriteCallback
from crowseam.controller.lease_service import LeaseService
from crowseam.controller.leaving_records import LeavingRecords
from crowseam.discovery.replication import PendingAcknowledgements
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.discovery.voter_catch_up import StateTransferReply, StateTransferRequest, VoterCatchUp
from crowseam.membership.role_leases import RoleLeases
from crowseam.storage.records import Note
from crowseam.transport.messages import Message


class PeerLinks(Protocol):
    """The links to other controllers, as used here."""

    def voter_ids(self) -> dict[str, str]:
        """Return the ids of the voters, by address."""
        ...

    def post(self, addr: str, message: Message) -> None:
        """Send a message."""


class RecordStore(Protocol):
    """The disk, as used here."""

    def write(self, records: list[StoredRecord], done: WriteCallback) -> None:
        """Write records, then call `done(ok)`."""


class _VoterView(NamedTuple):
    """The state of the consensus node that the components were last told."""

    last_slot: int
    is_changing_voters: bool
    voters: list[Voter]


class VoterSynchronization:
    """Call `update` before each message is handled, and at each tick."""

    def __init__(
        self,
        node: Node,
        registry: ServiceRegistry,
        catch_up: VoterCatchUp,
        acknowledgements: PendingAcknowledgements,
        role_leases: RoleLeases,
        lease_service: LeaseService,
        leaving_records: LeavingRecords,
        peers: PeerLinks,
        store: RecordStore,
    ) -> None:
        self.node = node
        self.registry = registry
        self.catch_up = catch_up
        self.acknowledgements = acknowledgements
        self.role_leases = role_leases
        self.lease_service = lease_service
        self.leaving_records = leaving_records
        self.peers = peers
        self.store = store
        # Learned from answers, but not on disk yet.
        self._unsaved_servers: set[str] = set()
        self._unsaved_roles: set[str] = set()
        self._is_caught_up_saved = False  # whether the note that this voter is caught up is on disk, or being written
        self._view: _VoterView | None = None

    def update(self, now: float) -> None:
        """Pass a change of the voters on to the components."""
        node = self.node
        view = _VoterView(node.last_slot, node.is_changing_voters, node.voters)
        if view != self._view:
            self._view = view
            self._voters_changed(now)
        node.ready_to_vote = self.catch_up.ready
        self.role_leases.awaits_fencing_tokens = self.catch_up.is_catching_up

    def _voters_changed(self, now: float) -> None:
        node, ids = self.node, self.peers.voter_ids()
        self.catch_up.set_voters(ids, now)
        self.role_leases.set_voters(frozenset(ids), now, node.last_slot, node.voters_slot, node.is_changing_voters)
        self.acknowledgements.set_voters(ids, node.last_slot)

    def tick(self, now: float) -> None:
        """Send catch-up requests; to be called several times a second while this controller wants to vote."""
        for addr, request in self.catch_up.tick(now, self.node.last_slot, self.node.voters_slot):
            self.peers.post(addr, request)
        if self.catch_up.is_caught_up and not self._is_caught_up_saved:
            self._save_caught_up()

    def _save_caught_up(self) -> None:
        def done(ok: bool) -> None:
            self._is_caught_up_saved = ok

        self._is_caught_up_saved = True
        self.store.write([Note(CAUGHT_UP_VOTER_KEY, self.node.me.id.encode())], done)

    def on_request(self, addr: str, request: StateTransferRequest, now: float) -> None:
        """Answer the catch-up request of a new voter."""
        reply = self.catch_up.answer(
            request,
            self.registry,
            self.role_leases.fencing_tokens(),
            self.node.last_slot,
            self.node.voters_slot,
            now,
        )
        if reply is not None:
            self.peers.post(addr, reply)

    def on_reply(self, _: str, reply: StateTransferReply, now: float) -> None:
        """Handle a voter's answer. The catch-up ends once the answers of a majority are on disk."""
        if self.catch_up.ready:
            return
        self._unsaved_servers |= self.leaving_records.learn(reply.records, now)
        self._unsaved_roles |= self.lease_service.learn(reply.fencing_tokens)
        if not self.catch_up.apply_reply(reply):
            return
        servers, self._unsaved_servers = self._unsaved_servers, set()
        roles, self._unsaved_roles = self._unsaved_roles, set()

        def done(ok: bool) -> None:
            if ok:
                self._reply_saved(reply.number)
            else:
                self._unsaved_servers |= servers
                self._unsaved_roles |= roles

        self.store.write([*self.leaving_records.notes(servers, now), *self.lease_service.notes(roles)], done)

    def _reply_saved(self, number: int) -> None:
        self.catch_up.reply_saved(number)
