"""Keyed operations at a controller: carries out what the replica, the coordinator and the catch-up decide."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, assert_never

from crowseam import logs
from crowseam.consensus.messages import Voter
from crowseam.controller.durable_state import COUNTED_FOR_OPERATIONS_KEY, ControllerStore
from crowseam.controller.gateway_sessions import GatewaySession, GatewaySessions
from crowseam.controller.peers import Peers
from crowseam.operations.catch_up import OperationCatchUp
from crowseam.operations.claims import MAX_SEND_WITHIN_S
from crowseam.operations.coordinator import OperationCoordinator
from crowseam.operations.effects import CoordinatorEffect, Persist, ReplicaEffect, Reply, Row, Send
from crowseam.operations.messages import (
    ClaimVote,
    LearnOperations,
    OperationClaim,
    OperationEnd,
    OperationsLearned,
    OperationWithdrawal,
    RecordAck,
    RecordClaim,
    RecordEnd,
    RecordWithdrawal,
)
from crowseam.operations.records import Retention
from crowseam.operations.replica import OperationReplica
from crowseam.settings import Settings, seconds
from crowseam.storage.records import Note, OperationRow

MAX_DISK_PART = 0.35  # of the disk that records may take; SQLite needs room beside them
MAX_MEMORY_PART = 0.12
EXPIRY_INTERVAL_S = 1.0
_MIB = 1024 * 1024


def max_bytes(settings: Settings) -> int:
    """Return how many bytes of records a voter with these limits keeps."""
    limits = settings.limits
    disk_mb = limits.disk_mb or limits.mem_mb
    return int(min(disk_mb * MAX_DISK_PART, limits.mem_mb * MAX_MEMORY_PART) * _MIB)


class _VoterView(NamedTuple):
    """Up to where the parts know the voters."""

    last_slot: int
    voters_slot: int
    voters: list[Voter]


class OperationService:
    """Puts the calls of gateways to the voters, and answers as a voter. Times are seconds of the steady clock."""

    replica_type = OperationReplica
    coordinator_type = OperationCoordinator
    catch_up_type = OperationCatchUp

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        gateways: GatewaySessions,
        store: ControllerStore,
        first_number: int,
        now: float,
    ) -> None:
        self.peers = peers
        self.gateways = gateways
        self.store = store
        self.node = peers.node
        retention = Retention(seconds(settings.bounds.key_window, "bounds.key_window"))
        voter_id = self.node.me.id
        self.replica = self.replica_type(voter_id, retention, max_bytes(settings), now)
        self.coordinator = self.coordinator_type(first_number)
        self.catch_up = self.catch_up_type(
            voter_id, store.has_counted_for_operations, retention.max_retention_s(MAX_SEND_WITHIN_S)
        )
        self._view: _VoterView | None = None
        self._expired_at = now
        self._is_counted_noted = False
        self.replica.restore(store.operations(), now)

    def update(self, now: float) -> None:
        """Tell the parts who votes, before they decide by it."""
        node = self.node
        view = _VoterView(node.last_slot, node.voters_slot, node.voters)
        if view != self._view:
            self._view = view
            voters = self.peers.voter_ids()
            self.catch_up.set_voters(voters, now)
            self.coordinator.set_voters(voters, node.last_slot)
            self.replica.voters_slot = node.voters_slot
        self.replica.is_ready = self.catch_up.counts

    # Calls of gateways

    def on_claim(self, session: GatewaySession, claim: OperationClaim, now: float) -> None:
        """Put a gateway's claim to the voters."""
        self.update(now)
        reachable = {*self.peers.reachable(now), self.peers.me}
        self._coordinate(self.coordinator.on_claim(session.gateway, claim, reachable, now))

    def on_end(self, session: GatewaySession, end: OperationEnd, now: float) -> None:
        """Have the voters keep the end of a gateway's operation."""
        self.update(now)
        self._coordinate(self.coordinator.on_end(session.gateway, end, now))

    def on_withdrawal(self, session: GatewaySession, withdrawal: OperationWithdrawal, now: float) -> None:
        """Have the voters free the key of a gateway's operation."""
        self.update(now)
        self._coordinate(self.coordinator.on_withdrawal(session.gateway, withdrawal, now))

    # Answers of voters

    def on_vote(self, addr: str, vote: ClaimVote, now: float) -> None:
        """Count a voter's answer to a claim."""
        self.update(now)
        self._coordinate(self.coordinator.on_vote(addr, vote, now))

    def on_ack(self, addr: str, ack: RecordAck, now: float) -> None:
        """Count a voter's acknowledgement."""
        self.update(now)
        self._coordinate(self.coordinator.on_ack(addr, ack))

    # A voter's part

    def on_record_claim(self, addr: str, request: RecordClaim, now: float) -> None:
        """Answer a claim as a voter."""
        self.update(now)
        self._carry_out(self.replica.on_claim(addr, request, now))

    def on_record_end(self, addr: str, request: RecordEnd, now: float) -> None:
        """Keep an end as a voter."""
        self.update(now)
        self._carry_out(self.replica.on_end(addr, request, now))

    def on_record_withdrawal(self, addr: str, request: RecordWithdrawal, now: float) -> None:
        """Free a key as a voter."""
        self.update(now)
        self._carry_out(self.replica.on_withdrawal(addr, request, now))

    # Learning

    def on_learn(self, addr: str, request: LearnOperations, now: float) -> None:
        """Send a new voter what is kept here."""
        self.update(now)
        node = self.node
        part = self.catch_up.answer(addr, request, self.replica, node.last_slot, node.voters_slot, now)
        if part is not None:
            self.peers.post(addr, part)

    def on_learned(self, addr: str, part: OperationsLearned, now: float) -> None:
        """Take a part of what another voter keeps; with those of a majority on our disk, this voter votes."""
        self.update(now)
        if not self.catch_up.is_expected(part):
            return
        rows = self.replica.learn(part.records, now)
        node = self.node
        following = self.catch_up.on_part(addr, part, node.last_slot, node.voters_slot)
        if following is not None:
            self.peers.post(*following)
        is_complete = self.catch_up.is_complete_with(part)

        def done(ok: bool) -> None:
            if not ok:
                self.catch_up.reply_not_saved(part.number)
            elif is_complete:
                self.catch_up.reply_saved(part.number)
                logs.say("operations_learned", records=len(self.replica))

        self.store.write([OperationRow(key, value) for key, value in rows], done)

    def tick(self, now: float) -> None:
        """Do what is due; to be called some times a second."""
        self.update(now)
        self._coordinate(self.coordinator.tick(now))
        if not self.node.voting:
            return
        for addr, request in self.catch_up.tick(now, self.node.last_slot, self.node.voters_slot):
            self.peers.post(addr, request)
        if self.catch_up.counts and not self._is_counted_noted:
            self._note_counted()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._remove(self.replica.expire(now))

    def _note_counted(self) -> None:
        def done(ok: bool) -> None:
            self._is_counted_noted = ok

        self._is_counted_noted = True
        self.store.write([Note(COUNTED_FOR_OPERATIONS_KEY, self.node.me.id.encode())], done)

    def _remove(self, rows: list[Row]) -> None:
        if rows:
            # A row that stays after a failure is read back at the next start, and expires again.
            self.store.write([OperationRow(key, value) for key, value in rows], lambda _: None)

    # Effects

    def _coordinate(self, effects: Iterable[CoordinatorEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self.peers.post(addr, message)
                case Reply(gateway=gateway, message=message):
                    self.gateways.forward(gateway, message)
                case _:
                    assert_never(effect)

    def _carry_out(self, effects: Iterable[ReplicaEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self.peers.post(addr, message)
                case Persist():
                    self._persist(effect)
                case _:
                    assert_never(effect)

    def _persist(self, persist: Persist) -> None:
        def done(ok: bool) -> None:
            if ok:
                self.peers.post_all(persist.then)

        self.store.write([OperationRow(key, value) for key, value in persist.rows], done)
