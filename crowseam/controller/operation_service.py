"""Keyed operations at a controller: executes the effects of the replica, the coordinator and the catch-up."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, assert_never

from crowseam import logs
from crowseam.consensus.messages import Voter
from crowseam.controller.durable_state import CAUGHT_UP_ON_OPERATIONS_KEY, ControllerStore
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
from crowseam.settings import Settings, parse_duration_s
from crowseam.storage.records import Note, OperationRow

MAX_DISK_FRACTION = 0.35  # of the disk that records may fill; SQLite needs space besides
MAX_MEMORY_FRACTION = 0.12
EXPIRY_INTERVAL_S = 1.0
_MIB = 1024 * 1024


def max_record_bytes(settings: Settings) -> int:
    """Return how many bytes of records a voter with these resource limits stores."""
    limits = settings.limits
    disk_mb = limits.disk_mb or limits.mem_mb
    return int(min(disk_mb * MAX_DISK_FRACTION, limits.mem_mb * MAX_MEMORY_FRACTION) * _MIB)


class _VoterView(NamedTuple):
    """The state of the consensus node that the components were last told."""

    last_slot: int
    voters_slot: int
    voters: list[Voter]


class OperationService:
    """Coordinates the requests of gateways with the voters, and answers as a voter itself.

    Times are seconds of the monotonic clock.
    """

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
        retention = Retention(parse_duration_s(settings.bounds.key_window, "bounds.key_window"))
        voter_id = self.node.me.id
        self.replica = self.replica_type(voter_id, retention, max_record_bytes(settings), now)
        self.coordinator = self.coordinator_type(first_number)
        self.catch_up = self.catch_up_type(
            voter_id, store.was_caught_up_on_operations, retention.max_retention_s(MAX_SEND_WITHIN_S)
        )
        self._view: _VoterView | None = None
        self._expired_at = now
        self._is_caught_up_saved = False
        self.replica.restore(store.operations(), now)

    def update(self, now: float) -> None:
        """Pass a change of the voters on to the components."""
        node = self.node
        view = _VoterView(node.last_slot, node.voters_slot, node.voters)
        if view != self._view:
            self._view = view
            voters = self.peers.voter_ids()
            self.catch_up.set_voters(voters, now)
            self.coordinator.set_voters(voters, node.last_slot)
            self.replica.voters_slot = node.voters_slot
        self.replica.is_ready = self.catch_up.is_caught_up

    # Requests of gateways

    def on_claim(self, session: GatewaySession, claim: OperationClaim, now: float) -> None:
        """Ask the voters to accept a gateway's claim."""
        self.update(now)
        reachable = {*self.peers.reachable(now), self.peers.me}
        self._execute_coordinator_effects(self.coordinator.on_claim(session.gateway, claim, reachable, now))

    def on_end(self, session: GatewaySession, end: OperationEnd, now: float) -> None:
        """Ask the voters to store the end of a gateway's operation."""
        self.update(now)
        self._execute_coordinator_effects(self.coordinator.on_end(session.gateway, end, now))

    def on_withdrawal(self, session: GatewaySession, withdrawal: OperationWithdrawal, now: float) -> None:
        """Ask the voters to release the key of a gateway's operation."""
        self.update(now)
        self._execute_coordinator_effects(self.coordinator.on_withdrawal(session.gateway, withdrawal, now))

    # Answers of voters

    def on_vote(self, addr: str, vote: ClaimVote, now: float) -> None:
        """Count a voter's answer to a claim."""
        self.update(now)
        self._execute_coordinator_effects(self.coordinator.on_vote(addr, vote, now))

    def on_ack(self, addr: str, ack: RecordAck, now: float) -> None:
        """Count a voter's acknowledgement."""
        self.update(now)
        self._execute_coordinator_effects(self.coordinator.on_ack(addr, ack))

    # Requests to this controller as a voter

    def on_record_claim(self, addr: str, request: RecordClaim, now: float) -> None:
        """Answer a claim as a voter."""
        self.update(now)
        self._execute_replica_effects(self.replica.on_claim(addr, request, now))

    def on_record_end(self, addr: str, request: RecordEnd, now: float) -> None:
        """Store the end of an operation as a voter."""
        self.update(now)
        self._execute_replica_effects(self.replica.on_end(addr, request, now))

    def on_record_withdrawal(self, addr: str, request: RecordWithdrawal, now: float) -> None:
        """Release a key as a voter."""
        self.update(now)
        self._execute_replica_effects(self.replica.on_withdrawal(addr, request, now))

    # Catch-up

    def on_learn(self, addr: str, request: LearnOperations, now: float) -> None:
        """Send a new voter a part of the records stored here."""
        self.update(now)
        node = self.node
        part = self.catch_up.answer(addr, request, self.replica, node.last_slot, node.voters_slot, now)
        if part is not None:
            self.peers.post(addr, part)

    def on_learned(self, addr: str, part: OperationsLearned, now: float) -> None:
        """Store a part of another voter's records. The catch-up ends once those of a majority are on disk."""
        self.update(now)
        if not self.catch_up.is_expected(part):
            return
        rows = self.replica.learn(part.records, now)
        node = self.node
        next_request = self.catch_up.on_part(addr, part, node.last_slot, node.voters_slot)
        if next_request is not None:
            self.peers.post(*next_request)
        is_complete = self.catch_up.is_complete_with(part)

        def done(ok: bool) -> None:
            if not ok:
                self.catch_up.reply_not_saved(part.number)
            elif is_complete:
                self.catch_up.reply_saved(part.number)
                logs.emit("operations_learned", records=len(self.replica))

        self.store.write([OperationRow(key, value) for key, value in rows], done)

    def tick(self, now: float) -> None:
        """Run periodic tasks; to be called several times a second."""
        self.update(now)
        self._execute_coordinator_effects(self.coordinator.tick(now))
        if not self.node.voting:
            return
        for addr, request in self.catch_up.tick(now, self.node.last_slot, self.node.voters_slot):
            self.peers.post(addr, request)
        if self.catch_up.is_caught_up and not self._is_caught_up_saved:
            self._save_caught_up()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._delete_rows(self.replica.expire(now))

    def _save_caught_up(self) -> None:
        def done(ok: bool) -> None:
            self._is_caught_up_saved = ok

        self._is_caught_up_saved = True
        self.store.write([Note(CAUGHT_UP_ON_OPERATIONS_KEY, self.node.me.id.encode())], done)

    def _delete_rows(self, rows: list[Row]) -> None:
        if rows:
            # A row whose deletion fails is restored at the next start, and expires again.
            self.store.write([OperationRow(key, value) for key, value in rows], lambda _: None)

    # Effects

    def _execute_coordinator_effects(self, effects: Iterable[CoordinatorEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(addr=addr, message=message):
                    self.peers.post(addr, message)
                case Reply(gateway=gateway, message=message):
                    self.gateways.forward(gateway, message)
                case _:
                    assert_never(effect)

    def _execute_replica_effects(self, effects: Iterable[ReplicaEffect]) -> None:
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
