"""Changes of voters: requests to join and to leave, and proposals of the next set of voters."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from crowseam.consensus import voter_selection
from crowseam.consensus.client_requests import ProposalBuilder, RequestQueue
from crowseam.consensus.context import NodeContext
from crowseam.consensus.effects import Effect, Send
from crowseam.consensus.membership_proof import MembershipProof
from crowseam.consensus.messages import (
    Entry,
    JoinRequest,
    LeaveRequest,
    NoOpEntry,
    QuorumRead,
    QuorumReadReply,
    Voter,
    VotersEntry,
)
from crowseam.consensus.peer_contacts import PeerContacts
from crowseam.consensus.proposer import NONCE_BITS
from crowseam.consensus.replicated_log import ReplicatedLog

_PROPOSAL_TIMEOUT_S = 2.0
_JOIN_REQUEST_LIFETIME = 2.5  # a multiple of `join_interval_s`
_MAX_JOIN_LAG_SLOTS = 4  # a machine that is further behind has to catch up first


class ReceivedJoinRequest(msgspec.Struct, frozen=True):
    """A request to join and its time of arrival (s)."""

    request: JoinRequest
    received_at: float


class PlannedChange(msgspec.Struct, frozen=True):
    """A change of voters that this node proposes at `propose_at` (s), unless another node does so earlier."""

    voters: list[Voter]
    propose_at: float


class Reconfiguration:
    """Asks the voters to add or remove this machine, and proposes the changes that other machines ask for.

    `voting` is whether this machine wants to vote. It asks to join only once `ready_to_vote`, when it has all the
    data that a voter needs. `tolerated_failures` is the number of simultaneous machine failures to tolerate.
    `propose` submits an internal request, given its builder and its timeout in seconds.
    """

    def __init__(
        self,
        context: NodeContext,
        log: ReplicatedLog,
        contacts: PeerContacts,
        requests: RequestQueue,
        propose: Callable[[ProposalBuilder, float], list[Effect]],
        voting: bool,
        tolerated_failures: int,
    ) -> None:
        self._context = context
        self._log = log
        self._contacts = contacts
        self._requests = requests
        self._propose = propose
        self.voting = voting
        self.ready_to_vote = True
        self.tolerated_failures = tolerated_failures
        self.is_leaving = False
        self._next_request_at = 0.0
        self._joining: dict[str, ReceivedJoinRequest] = {}  # by address
        self._leaving: dict[str, float] = {}  # id of a voter -> time of its request
        self._unproven: dict[str, float] = {}  # id of a newcomer -> time at which its proof failed
        self._planned: PlannedChange | None = None
        self._proof: MembershipProof | None = None

    # Membership of this machine

    def begin_to_leave(self) -> None:
        """Start asking the other voters to remove this one permanently."""
        self.is_leaving = self._context.me in self._log.voters
        self.voting = False
        self._next_request_at = self._context.now

    @property
    def has_left(self) -> bool:
        """Whether this machine has been removed and a majority of the remaining voters knows it.

        That is so once an entry after the one that removed it is chosen, because only voters that had written the
        removal could vote for it. Until then, this machine may be the only one to know that the removal is chosen.
        """
        return self._context.me not in self._log.voters and self._log.last_slot > self._log.voters_slot

    @property
    def should_wait_to_leave(self) -> bool:
        """Whether this machine should keep running until it `has_left`.

        That is so if enough voters remain for its removal, or if it is removed and the others may not know yet.
        """
        if self._context.me in self._log.voters:
            return self.is_leaving and len(self._log.voters) > voter_selection.minimum_voters(self.tolerated_failures)
        return self.is_leaving and not self.has_left

    def request_membership(self) -> list[Effect]:
        """Ask the voters to add or remove this machine if a request is due."""
        context = self._context
        if context.now < self._next_request_at:
            return []
        message = self._membership_request()
        if message is None and not self.is_leaving:
            return []
        self._next_request_at = context.now + context.timing.join_interval_s * context.jitter()
        if message is None:
            return self._finish_leaving()
        if isinstance(message, LeaveRequest):
            self._leaving[message.voter.id] = context.now
        return [Send(voter.addr, message) for voter in self._log.voters if voter.addr != context.me.addr]

    def _membership_request(self) -> JoinRequest | LeaveRequest | None:
        """Return the request to send if this machine is a voter and should not be, or vice versa; else None.

        A machine that must not vote also asks to remove an earlier incarnation at its address, because the others
        may mistake its messages for signs of life from that incarnation.
        """
        me, voters = self._context.me, self._log.voters
        if not self.voting:
            return next((LeaveRequest(voter) for voter in voters if voter.addr == me.addr), None)
        if self.ready_to_vote and me not in voters:
            return JoinRequest(me, self._log.last_slot)
        return None

    def _finish_leaving(self) -> list[Effect]:
        """Have the remaining voters choose one more entry; see `has_left`."""
        self.is_leaving = not self.has_left
        if not self.is_leaving or self._requests.has_internal():
            return []
        entry = NoOpEntry(self._context.new_proposal_id("left"))
        return self._propose(lambda _: entry, _PROPOSAL_TIMEOUT_S)

    # Requests of other machines

    def on_join_request(self, message: JoinRequest) -> list[Effect]:
        """Record a request to join if the sender is nearly up to date."""
        if not self._log.voters or message.slot < self._log.last_slot - _MAX_JOIN_LAG_SLOTS:
            return []
        self._joining[message.voter.addr] = ReceivedJoinRequest(message, self._context.now)
        self._leaving.pop(message.voter.id, None)
        return self.check_voters()

    def on_leave_request(self, message: LeaveRequest) -> list[Effect]:
        """Record a request to leave."""
        self._leaving[message.voter.id] = self._context.now
        return self.check_voters()

    def on_quorum_read_reply(self, reply: QuorumReadReply) -> list[Effect] | None:
        """Count a reply to the current proof; return None if the reply is not for it."""
        if self._proof is None or reply.nonce != self._proof.nonce:
            return None
        self._proof.answered.add(reply.voter)
        return self.check_voters()

    # Changes of voters

    def check_voters(self) -> list[Effect]:
        """Propose the next change of voters, if one is needed and this node is due to propose it."""
        context, log = self._context, self._log
        wanted = self._wanted_voters() if context.me in log.voters else None
        if wanted is None or self._requests.has_internal():
            self._planned = None
            return []
        if self._planned is None or self._planned.voters != wanted:
            self._planned = PlannedChange(wanted, context.now + self._proposal_delay_s())
            self._proof = None
        if context.now < self._planned.propose_at:
            return []
        proof = self._current_proof(wanted)
        if not proof.is_complete():
            return self._request_proof(proof)
        self._planned = None
        proposal_id = context.new_proposal_id("voters")
        return self._propose(lambda _: self._voters_entry(proposal_id), _PROPOSAL_TIMEOUT_S)

    def _proposal_delay_s(self) -> float:
        """Return for how long voters with lower addresses are given precedence."""
        context = self._context
        rank = voter_selection.proposer_rank(
            self._log.voters, context.me, self._contacts.silence_s, context.timing.replace_after_s
        )
        return (rank + context.rng.uniform(0.0, 0.5)) * context.timing.turn_interval_s * (rank > 0)

    def _wanted_voters(self) -> list[Voter] | None:
        """Return a better set of voters one change away from the current one, or None."""
        self._restart_silence_if_isolated()
        self._expire_requests()
        # Ignore requests of machines that did not know the current voters: such a request may have been queued while
        # this process was paused, and the sender may have lost its disk since.
        known_since = self._log.voters_slot if self._joining else 0
        newcomers = [
            received.request.voter
            for received in self._joining.values()
            if received.request.slot >= known_since
            and received.request.voter not in self._log.voters
            and received.request.voter.id not in self._unproven
        ]
        return voter_selection.next_voters(
            self._log.voters,
            newcomers,
            self._leaving,
            self._contacts.silence_s,
            self.tolerated_failures,
            self._context.timing,
        )

    def _expire_requests(self) -> None:
        timing, now = self._context.timing, self._context.now
        # A newcomer that stopped asking would become a voter that does not vote.
        oldest = now - _JOIN_REQUEST_LIFETIME * timing.join_interval_s
        self._joining = {addr: received for addr, received in self._joining.items() if received.received_at >= oldest}
        # A voter that asked to leave may have exited before it was removed. Keep its request until the failure
        # detector reports it, so that a newcomer replaces it instead of being added.
        oldest = now - timing.evict_after_s
        self._leaving = {voter: asked_at for voter, asked_at in self._leaving.items() if asked_at >= oldest}
        self._unproven = {voter: failed_at for voter, failed_at in self._unproven.items() if failed_at >= oldest}

    def _restart_silence_if_isolated(self) -> None:
        """Reset all contact times if no majority is reachable, as it may be this machine that is isolated."""

        def silence_s(voter: Voter) -> float:
            return self._contacts.silence_s(voter.addr)

        if not voter_selection.is_majority_heard(self._log.voters, silence_s, self._context.timing.replace_after_s):
            self._contacts.reset(self._context.now)

    def cancel_planned_change(self) -> None:
        """Drop the planned change, because it may be based on stale information."""
        self._planned = None

    # Proof

    def _current_proof(self, wanted: list[Voter]) -> MembershipProof:
        """Return the current proof if it is for this change, else start a new one."""
        context, proof = self._context, self._proof
        if proof is not None and self._is_valid(proof, wanted):
            return proof
        # Skip the newcomer of a failed proof for a while, so that another one gets a chance.
        failed = proof.newcomers if proof is not None else []
        self._unproven |= {voter.id: context.now for voter in failed}
        nonce = context.rng.getrandbits(NONCE_BITS)
        self._proof = MembershipProof(context.me, self._log.voters, wanted, nonce, context.now)
        return self._proof

    def _request_proof(self, proof: MembershipProof) -> list[Effect]:
        context = self._context
        if context.now < proof.retransmit_at:
            return []
        proof.retransmit_at = context.now + context.timing.retransmit_interval_s * context.jitter()
        question = QuorumRead(self._log.last_slot + 1, proof.nonce)
        return [Send(voter.addr, question) for voter in proof.missing]

    def _is_valid(self, proof: MembershipProof, wanted: list[Voter]) -> bool:
        """Whether the proof is for this change and recent enough."""
        is_same = (proof.old, proof.new) == (self._log.voters, wanted)
        return is_same and self._context.now <= proof.started_at + self._context.timing.suspect_after_s

    def _voters_entry(self, proposal_id: str) -> Entry | None:
        """Return the entry for the wanted change if its proof is complete and still valid, else None."""
        wanted, proof = self._wanted_voters(), self._proof
        if wanted is None or proof is None or not (self._is_valid(proof, wanted) and proof.is_complete()):
            return None
        return VotersEntry(proposal_id, wanted)

    # Time

    def next_due(self) -> list[float]:
        """Return the times at which this component may have work to do (s)."""
        due = []
        if self._planned is not None:
            due.append(self._planned.propose_at if self._proof is None else self._proof.retransmit_at)
        if self._log.voters and (self._membership_request() is not None or self.is_leaving):
            due.append(self._next_request_at)
        return due
