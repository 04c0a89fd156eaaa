"""Guards whose absence no known random schedule detects: each has a hand-written schedule that fails without it.

The reason in the table of guards names the class of that test. A mutant that is a patch is applied as it is; one
that is a class replaces the real class in the test's module, or a part of the real node or of the real role leases.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from importlib import import_module
from types import ModuleType
from typing import NamedTuple
from unittest import mock

from crowseam.cli.model_check import PARTS
from crowseam.consensus.node import Node
from crowseam.membership.role_leases import RoleLeases
from crowseam.model_checks.agreement.parts import node_with
from crowseam.model_checks.catchup import check as catchup
from crowseam.model_checks.handover import check as handover
from crowseam.model_checks.membership import check as membership
from crowseam.model_checks.operations import mutants as operations
from crowseam.model_checks.quotas import check as quotas
from crowseam.model_checks.schedules import Mutant
from tests.crowseam import (
    test_check_callers,
    test_check_cutoff,
    test_check_handover,
    test_check_membership,
    test_check_orders,
    test_consensus,
    test_controller,
    test_controller_session,
    test_dialect,
    test_discovery,
    test_large_states,
    test_operations,
    test_quotas,
    test_role_leases,
    test_transport,
)


class Schedule(NamedTuple):
    """A test with a hand-written schedule; `mutated` replaces the class `real` in its module, unless it is a patch."""

    module: ModuleType
    case: str
    test: str
    real: str = ""
    mutated: type | None = None

    def fails(self) -> bool:
        """Whether an assertion of the test fails."""
        result = unittest.TestResult()
        getattr(self.module, self.case)(self.test).run(result)
        if result.errors:
            raise AssertionError(result.errors[0][1])
        return bool(result.failures)

    def fails_without_guard(self, mutant: Mutant) -> bool:
        """Whether an assertion of the test fails without the guard."""
        if self.mutated is not None:
            replacement = self.mutated
            if self.real == "Node" and not issubclass(replacement, Node):
                replacement = node_with(replacement)
            elif self.real == "RoleLeases" and not issubclass(replacement, RoleLeases):
                replacement = handover.roles_with(replacement)
            with mock.patch(f"{self.module.__name__}.{self.real}", replacement):
                return self.fails()
        results: list[bool] = []

        def seeds() -> Iterator[int]:
            results.append(self.fails())  # the patch is active while the mutant iterates over its seeds
            yield from ()

        mutant.run(seeds())
        return results[0]


_SEAT = "SeatTest"
_APPLIED_ONCE = Schedule(test_controller_session, "ActTest", "test_a_version_is_applied_once_whatever_its_slot")
_ANSWERED_CALL_REMOVED = Schedule(test_check_callers, "Tickets", "test_a_call_that_was_answered_waits_no_more")
_WHO_ANSWERS = "test_only_who_counts_answers_and_both_know_of_the_same_change"

SCHEDULES: dict[tuple[str, str], Schedule] = {
    ("handover", "what was learned written as it is known by then"): Schedule(
        test_check_handover,
        "NotesTest",
        "test_what_was_learned_does_not_undo_what_was_confirmed_since",
        "LeavingRecords",
        handover._PersistsStaleRecords,
    ),
    ("quotas", "blindness of voters that take a list with gaps"): Schedule(
        test_role_leases,
        "BorrowersTest",
        "test_voters_that_take_a_list_with_gaps_do_not_know_all_borrowers",
        "RoleLeases",
        quotas._IgnoresPartialLists,
    ),
    ("callers", "a connection closed where bytes come unasked"): Schedule(
        test_dialect, "OtherBytes", "test_unsolicited_bytes_on_an_idle_connection_close_it"
    ),
    ("callers", "a connection looked at before it is used again"): Schedule(
        test_dialect, "OtherBytes", "test_unread_bytes_are_noticed_before_a_connection_is_reused"
    ),
    ("callers", "a call taken off with its answer"): _ANSWERED_CALL_REMOVED,
    ("callers", "a second answer to a call dropped"): Schedule(
        test_transport, "Calls", "test_calls_behind_one_another_are_answered_in_turn"
    ),
    ("callers", "tickets begun with the life of the controller"): Schedule(
        test_controller, "Sessions", "test_call_numbers_are_not_reused_after_a_restart"
    ),
    ("callers", "an answer kept from who has left"): Schedule(
        test_check_callers, "Leaving", "test_what_a_client_asked_ends_when_it_leaves"
    ),
    ("handover", "the id in a confirmation: by address only"): Schedule(
        test_discovery,
        "Acknowledging",
        "test_a_confirmation_is_that_of_an_id_not_of_an_address",
        "replication.PendingAcknowledgements",
        handover._ConfirmsByAddress,
    ),
    ("handover", "the new voters for what waits at a change"): Schedule(
        test_discovery,
        "Acknowledging",
        "test_a_change_of_voters_concerns_what_waits",
        "replication.PendingAcknowledgements",
        handover._KeepsOldVoters,
    ),
    ("handover", "the refusal to confirm to those who may not know the voters"): Schedule(
        test_check_handover,
        "ConfirmingTest",
        "test_a_voter_does_not_confirm_to_who_may_not_know_the_voters",
        "LeavingRecords",
        handover._ConfirmsToAll,
    ),
    ("handover", "the wait of a voter's answer for the change of voters"): Schedule(
        test_check_handover, "LearningTest", _WHO_ANSWERS, "VoterCatchUp", handover._AnswersAcrossVoterChange
    ),
    ("handover", "silence of a newcomer that has not learned to other newcomers"): Schedule(
        test_check_handover, "LearningTest", _WHO_ANSWERS, "VoterCatchUp", handover._AnswersBeforeLearning
    ),
    ("handover", "the disk before a grant"): Schedule(
        test_role_leases,
        "GrantOnDiskTest",
        "test_a_grant_waits_for_writes_before_it_and_is_written_again_after_a_refusal",
        "LeaseService",
        handover._GrantsBeforeDisk,
    ),
    ("handover", "silence of a newcomer for a term"): Schedule(
        test_role_leases,
        _SEAT,
        "test_a_newcomer_is_silent_from_the_message_on_that_lets_it_in",
        "RoleLeases",
        handover._GrantsAtOnceAsNewVoter,
    ),
    ("handover", "silence while a change of voters is open"): Schedule(
        test_role_leases,
        _SEAT,
        "test_nothing_is_granted_while_a_change_of_voters_is_open",
        "RoleLeases",
        handover._GrantsWhileChanging,
    ),
    ("handover", "refusal to askers who may not know the voters"): Schedule(
        test_role_leases,
        _SEAT,
        "test_who_may_not_know_the_voters_is_refused",
        "RoleLeases",
        handover._GrantsToOutdatedRequesters,
    ),
    ("handover", "refusal to grant without a vote"): Schedule(
        test_role_leases,
        _SEAT,
        "test_a_newcomer_is_silent_from_the_message_on_that_lets_it_in",
        "RoleLeases",
        handover._GrantsWithoutVote,
    ),
    ("handover", "refusal to grant before it has learned"): Schedule(
        test_role_leases,
        _SEAT,
        "test_a_newcomer_grants_nothing_before_it_has_been_told_the_fences",
        "RoleLeases",
        handover._GrantsBeforeLearning,
    ),
    ("handover", "silence after the loss of a disk"): Schedule(
        test_role_leases,
        "VoterTest",
        "test_a_voter_grants_nothing_in_its_first_term",
        "RoleLeases",
        handover._GrantsAtStart,
    ),
    ("catchup", "the same slot and digest for all parts, at the receiver"): Schedule(
        test_large_states,
        "Gateway",
        "test_a_part_of_another_state_is_passed_over",
        "SnapshotDownload",
        catchup._AcceptsAnyChunk,
    ),
    ("membership", "the floor below which a lost vote is not given again"): Schedule(
        test_consensus, "Failures", "test_a_lost_entry_is_not_voted_on_again", "Node", membership._VotesAgain
    ),
    ("membership", "the deafness of one's own freeze"): Schedule(
        test_check_membership,
        "Requests",
        "test_one_that_stood_still_strikes_off_nobody_whose_word_still_waits",
        "Node",
        membership._IgnoresOwnPause,
    ),
    ("membership", "requests to join that lapse"): Schedule(
        test_check_membership,
        "Requests",
        "test_a_newcomer_that_fell_silent_is_not_let_in",
        "Node",
        membership._KeepsOldJoinRequests,
    ),
    ("membership", "requests to leave that outlive the leaver"): Schedule(
        test_check_membership,
        "Leaving",
        "test_a_newcomer_takes_the_place_of_one_that_left_in_haste",
        "Node",
        membership._ForgetsLeaveRequests,
    ),
    ("membership", "a leaver kept while another is silent"): Schedule(
        test_check_membership, "Leaving", "test_a_leaver_is_kept_while_another_may_be_gone"
    ),
    ("membership", "requests to join that know the voters in force"): Schedule(
        test_check_membership,
        "Requests",
        "test_the_word_of_a_lost_disk_that_waited_lets_nobody_in",
        "Node",
        membership._AcceptsOutdatedJoinRequests,
    ),
    ("membership", "the silence of others that is one's own deafness"): Schedule(
        test_check_membership,
        "Requests",
        "test_one_that_was_deaf_strikes_off_nobody_it_has_yet_to_hear",
        "Node",
        membership._IgnoresOwnIsolation,
    ),
    ("membership", "a turn that outlasts other entries"): Schedule(
        test_check_membership, "Requests", "test_a_turn_outlasts_other_entries", "Node", membership._RestartsTurn
    ),
    ("membership", "one proposal at a time of each voter"): Schedule(
        test_check_membership,
        "Requests",
        "test_while_a_change_of_its_own_is_under_way_it_proposes_no_other",
        "Node",
        membership._ProposesSeveral,
    ),
    ("orders", "an entry that can't be read is left out"): Schedule(
        test_check_orders, "NodeTest", "test_an_entry_that_cannot_be_read_is_left_out"
    ),
    ("orders", "a majority's word before a refusal"): Schedule(
        test_check_orders, "NodeTest", "test_a_refusal_waits_for_the_word_of_a_majority"
    ),
    ("orders", "unclear after a snapshot"): Schedule(
        test_check_orders, "NodeTest", "test_a_proposal_that_may_lie_behind_a_snapshot_is_unclear"
    ),
    ("orders", "a ticket is answered once"): _ANSWERED_CALL_REMOVED,
    ("orders", "a gateway takes no older state"): _APPLIED_ONCE,
    ("orders", "a gateway takes steps in turn"): Schedule(
        test_check_orders, "StepTest", "test_a_step_that_leaves_one_out_is_not_taken"
    ),
    ("orders", "a gateway acts once on a version"): _APPLIED_ONCE,
    ("operations", "what has ended is not withdrawn"): Schedule(
        test_operations,
        "Voter",
        "test_a_withdrawal_frees_its_own_claim_and_nothing_that_has_ended",
        "OperationReplica",
        operations._WithdrawsEndedClaims,
    ),
    ("operations", "a claim is on disk before it is accepted"): Schedule(
        test_operations,
        "Voter",
        "test_one_claim_of_a_key_is_accepted_and_only_once_it_is_on_disk",
        "OperationReplica",
        operations.AcceptsBeforePersisting,
    ),
    ("operations", "an end is kept by a majority"): Schedule(
        test_operations,
        "Coordinator",
        "test_an_end_is_settled_once_a_majority_has_it_and_asked_for_in_one_round",
        "OperationCoordinator",
        operations._SettlesAtFirstAck,
    ),
    ("operations", "who has not learned does not teach"): Schedule(
        test_operations,
        "Newcomer",
        "test_a_voter_teaches_nobody_who_knows_of_other_voters",
        "OperationCatchUp",
        operations._TeachesBeforeCatchUp,
    ),
    ("operations", "what is learned is on disk before it counts"): Schedule(
        test_operations,
        "Newcomer",
        "test_it_votes_once_a_majority_has_taught_it_and_that_is_on_disk",
        "OperationCatchUp",
        operations.VotesBeforePersisting,
    ),
    ("operations", "nothing is sent after its time"): Schedule(
        test_operations,
        "LateSends",
        "test_a_grant_that_is_read_after_a_stand_still_is_not_used",
        "RealGateway",
        operations._SendsAfterDeadline,
    ),
    ("operations", "a claim is put to one coordinator"): Schedule(
        test_operations,
        "Gateway",
        "test_a_claim_is_put_to_one_controller_only",
        "KeyedRequests",
        operations._ResendsClaimUnchanged,
    ),
    ("cutoff", "a majority's answers before a server is called safe"): Schedule(
        test_check_cutoff, "Apart", "test_no_server_is_called_safe_on_the_word_of_its_own_gateways_alone"
    ),
    ("cutoff", "the number of the question in a confirmation"): Schedule(
        test_check_cutoff, "Apart", "test_an_answer_to_an_earlier_call_acknowledges_no_leave"
    ),
    ("cutoff", "slots of those near in signs of life"): Schedule(
        test_check_cutoff, "Apart", "test_who_hears_of_a_newer_slot_does_not_tell_gateways_that_it_is_current"
    ),
    ("cutoff", "a gateway's refusal of an older configuration"): _APPLIED_ONCE,
    ("cutoff", "a gateway's refusal of a lower fence"): Schedule(
        test_quotas, "DrawnTest", "test_a_late_lease_is_refused"
    ),
}


def _mutants_without_seed() -> dict[tuple[str, str], Mutant]:
    """The mutants without a known seed, except those of consensus."""
    return {
        (part, mutant.guard): mutant
        for part, module in PARTS.items()
        if part != "agreement"
        for mutant in import_module(module).MUTANTS
        if mutant.seed is None
    }


class ByHand(unittest.TestCase):
    def test_each_guard_without_a_seed_has_a_schedule_that_its_reason_names(self):
        mutants = _mutants_without_seed()
        self.assertEqual(set(mutants), set(SCHEDULES))
        for key, schedule in SCHEDULES.items():
            name = f"{schedule.module.__name__.rpartition('.')[2]}.{schedule.case}"
            self.assertTrue(mutants[key].why.startswith(f"by hand: {name}"), key)

    def test_each_schedule_fails_without_its_guard_and_only_then(self):
        mutants = _mutants_without_seed()
        for key, schedule in SCHEDULES.items():
            with self.subTest(part=key[0], guard=key[1]):
                self.assertTrue(schedule.fails_without_guard(mutants[key]))
                self.assertFalse(schedule.fails())


if __name__ == "__main__":
    unittest.main()
