"""Keyed operations: the decisions of a voter, a coordinator, a newcomer and a gateway."""

import socket
import unittest
from random import Random
from unittest import mock

import msgspec

from crowseam import clock
from crowseam.gateway.gateway import Gateway as RealGateway
from crowseam.gateway.keyed_requests import SETTLE_WAIT_S, KeyedRequests, Operation
from crowseam.operations.catch_up import OperationCatchUp
from crowseam.operations.claims import CLAIM_TIMEOUT_S, GIVE_UP_AFTER_S, OperationClaims
from crowseam.operations.coordinator import CLAIM_TIMEOUT_S as VOTES_TIMEOUT_S
from crowseam.operations.coordinator import OperationCoordinator
from crowseam.operations.effects import Persist, Reply, Send
from crowseam.operations.messages import (
    ClaimDecision,
    ClaimName,
    ClaimOutcome,
    ClaimVote,
    LearnOperations,
    OperationClaim,
    OperationEnd,
    OperationSettled,
    OperationWithdrawal,
    RecordAck,
    RecordClaim,
    RecordEnd,
    RecordWithdrawal,
    StoredAnswer,
    Verdict,
)
from crowseam.operations.records import Retention
from crowseam.operations.replica import MAX_ANSWER_BYTES, OperationReplica
from fennelpoint.interface import BackendState, Status
from fennelpoint.net import backends
from tests.crowseam import test_controller, test_gateway

WINDOW_S = 60.0
KEY = b"k" * 16
ANSWER = StoredAnswer(200, [(b"x-server-seal", b"s-1")], b"done")
VOTERS = {f"c{number}": f"id-{number}" for number in range(5)}


def claim(number=1, gateway="g", key=KEY, fingerprint=b"f"):
    return OperationClaim(ClaimName(gateway, 7, number), key, fingerprint, 2.0, 2.0)


class Voter(unittest.TestCase):
    def setUp(self):
        self.replica = self.voter()
        self.rows = {}

    def voter(self, max_bytes=1 << 20):
        replica = OperationReplica("id-1", Retention(WINDOW_S), max_bytes, 0.0)
        replica.is_ready = True
        return replica

    def carry_out(self, effects):
        """Carry out effects with successful writes; return the messages sent."""
        sent = []
        for effect in effects:
            if isinstance(effect, Persist):
                for row in effect.rows:
                    if row.value is None:
                        self.rows.pop(row.key, None)
                    else:
                        self.rows[row.key] = row.value
                sent += effect.then
            else:
                sent.append(effect)
        return [each.message for each in sent]

    def vote(self, what, now=0.0, log_slot=1):
        (vote,) = self.carry_out(self.replica.on_claim("c0", RecordClaim(9, log_slot, what), now))
        return vote

    def end(self, what, answer=ANSWER, now=0.0):
        return self.carry_out(self.replica.on_end("c0", RecordEnd(9, OperationEnd(what, answer)), now))

    def withdraw(self, what, now=0.0):
        withdrawal = OperationWithdrawal(what.name, what.key)
        return self.carry_out(self.replica.on_withdrawal("c0", RecordWithdrawal(9, withdrawal), now))

    def test_one_claim_of_a_key_is_accepted_and_only_once_it_is_on_disk(self):
        (effect,) = self.replica.on_claim("c0", RecordClaim(9, 1, claim()), 0.0)
        self.assertIsInstance(effect, Persist)
        self.assertEqual([each.message.verdict for each in effect.then], [Verdict.ACCEPTED])
        self.assertEqual(self.vote(claim()).verdict, Verdict.ACCEPTED)  # a retransmission
        rival = self.vote(claim(1, "other"))
        self.assertEqual((rival.verdict, rival.rival), (Verdict.RIVAL_AT_WORK, claim().name))

    def test_a_retry_gets_the_answer_and_another_request_does_not(self):
        self.vote(claim())
        self.assertEqual(self.end(claim()), [RecordAck(9, "id-1")])
        vote = self.vote(claim(2))
        self.assertEqual((vote.verdict, vote.answer), (Verdict.ANSWERED, ANSWER))
        self.assertEqual(self.vote(claim(3, fingerprint=b"g")).verdict, Verdict.OTHER_REQUEST)
        # An unknown fingerprint is not compared.
        self.assertEqual(self.vote(claim(4, fingerprint=b"")).verdict, Verdict.ANSWERED)

    def test_a_run_without_an_answer_counts_as_in_progress_until_it_must_have_ended(self):
        self.vote(claim())
        self.assertEqual(self.vote(claim(2), 2.9).verdict, Verdict.RIVAL_AT_WORK)
        self.assertEqual(self.vote(claim(2), 3.1).verdict, Verdict.RIVAL_UNKNOWN)
        self.end(claim(), None, 3.2)
        self.assertEqual(self.vote(claim(2), 3.3).verdict, Verdict.RIVAL_UNKNOWN)
        self.end(claim(), ANSWER, 3.4)  # a late answer still counts
        self.assertEqual(self.vote(claim(2), 3.5).answer, ANSWER)

    def test_a_withdrawal_frees_its_own_claim_and_nothing_that_has_ended(self):
        self.vote(claim())
        self.withdraw(claim(2))
        self.assertEqual(self.vote(claim(2, "other")).verdict, Verdict.RIVAL_AT_WORK)
        self.assertEqual(self.withdraw(claim()), [RecordAck(9, "id-1")])
        self.assertEqual(self.rows, {})
        self.assertEqual(self.vote(claim()).verdict, Verdict.WITHDRAWN)  # a delayed duplicate of the claim
        self.vote(claim(3))
        self.end(claim(3))
        self.assertEqual(self.withdraw(claim(3)), [])
        self.assertEqual(self.vote(claim(4)).verdict, Verdict.ANSWERED)

    def test_a_key_is_taken_for_its_window_and_a_start_frees_none_early(self):
        self.vote(claim())
        self.replica.expire(WINDOW_S + 2.0)
        self.assertNotEqual(self.vote(claim(2), WINDOW_S + 2.0).verdict, Verdict.ACCEPTED)
        restarted = self.voter()
        restarted.restore(self.rows.values(), 1000.0)
        self.replica = restarted
        self.assertNotEqual(self.vote(claim(2), 1000.0 + WINDOW_S).verdict, Verdict.ACCEPTED)
        (row,) = restarted.expire(1000.0 + 2.0 * WINDOW_S)
        self.assertEqual((row.key in self.rows, row.value), (True, None))
        self.assertEqual(self.vote(claim(2), 1000.0 + 2.0 * WINDOW_S).verdict, Verdict.ACCEPTED)

    def test_a_voter_that_has_to_catch_up_or_knows_newer_voters_accepts_nothing(self):
        self.replica.voters_slot = 5
        self.assertEqual(self.vote(claim(), log_slot=4).verdict, Verdict.OUTDATED)
        self.replica.is_ready = False
        self.assertEqual(self.vote(claim(), log_slot=5).verdict, Verdict.NOT_READY)

    def test_without_space_new_keys_are_refused_and_known_ones_answered(self):
        self.replica = self.voter(max_bytes=3000)
        self.vote(claim())
        self.end(claim())
        self.assertEqual(self.vote(claim(2, key=b"2" * 16)).verdict, Verdict.ACCEPTED)
        self.vote(claim(3, key=b"3" * 16))
        self.assertEqual(self.vote(claim(4, key=b"4" * 16)).verdict, Verdict.FULL)
        self.assertEqual(self.vote(claim(5)).answer, ANSWER)
        self.withdraw(claim(2, key=b"2" * 16))
        self.withdraw(claim(3, key=b"3" * 16))
        self.assertEqual(self.vote(claim(6, key=b"4" * 16)).verdict, Verdict.ACCEPTED)

    def test_an_answer_too_large_to_store_counts_as_unknown(self):
        self.vote(claim())
        self.end(claim(), StoredAnswer(200, [], bytes(MAX_ANSWER_BYTES + 1)))
        self.assertEqual(self.vote(claim(2)).verdict, Verdict.RIVAL_UNKNOWN)

    def test_conflicting_claims_of_a_key_are_all_kept_in_a_catch_up(self):
        # A voter that got both of two concurrent claims must keep the key reserved when one of them is withdrawn.
        other = self.voter()
        other.on_claim("c0", RecordClaim(1, 1, claim(1, "other")), 0.0)
        self.vote(claim())
        self.replica.learn(other.aged_records(0.0), 0.0)
        self.withdraw(claim(1, "other"))
        self.assertEqual(self.vote(claim(2)).rival, claim().name)


class Coordinator(unittest.TestCase):
    def setUp(self):
        self.coordinator = OperationCoordinator(100)
        self.coordinator.set_voters(VOTERS, 3)

    def begin(self, what=None, reachable=VOTERS):
        effects = self.coordinator.on_claim("g", what or claim(), reachable, 0.0)
        requests = [each.message for each in effects if isinstance(each, Send)]
        self.number = requests[0].round_number if requests else 0
        return effects

    def vote(self, addr, verdict, rival=None, answer=None, voter_id=None):
        vote = ClaimVote(self.number, voter_id or VOTERS[addr], verdict, rival, 1.0, answer)
        return self.coordinator.on_vote(addr, vote, 0.01)

    def decisions(self, effects):
        return [each.message for each in effects if isinstance(each, Reply)]

    def outcome(self, *votes):
        """Return the outcome for the gateway after these votes, one per voter."""
        self.setUp()
        self.begin()
        told = []
        for addr, vote in zip(VOTERS, votes, strict=False):
            told += self.decisions(self.vote(addr, *vote))
        self.assertLessEqual(len(told), 1)
        return told[0].outcome if told else None

    def test_a_majority_grants_and_a_minority_does_not(self):
        accepted = (Verdict.ACCEPTED,)
        self.assertIsNone(self.outcome(accepted, accepted))
        self.assertEqual(self.outcome(accepted, accepted, accepted), ClaimOutcome.GRANTED)

    def test_votes_under_an_id_that_is_no_voter_do_not_count(self):
        self.begin()
        for addr in ("c0", "c1"):
            self.vote(addr, Verdict.ACCEPTED)
        self.assertEqual(self.vote("c2", Verdict.ACCEPTED, voter_id="id of a lost disk"), [])
        self.assertEqual(len(self.decisions(self.vote("c3", Verdict.ACCEPTED))), 1)

    def test_outcomes_of_refused_claims(self):
        accepted, rival = (Verdict.ACCEPTED,), claim(1, "other").name
        at_work, unknown = (Verdict.RIVAL_AT_WORK, rival), (Verdict.RIVAL_UNKNOWN, rival)
        self.assertEqual(self.outcome(at_work, at_work, at_work), ClaimOutcome.AT_WORK)
        self.assertEqual(self.outcome(unknown, unknown, unknown), ClaimOutcome.UNKNOWN)
        self.assertEqual(self.outcome((Verdict.ANSWERED, rival, ANSWER)), ClaimOutcome.ANSWERED)
        self.assertEqual(self.outcome((Verdict.OTHER_REQUEST, rival)), ClaimOutcome.OTHER_REQUEST)
        # A rival claim that only a minority has stored cannot have been granted.
        self.assertEqual(self.outcome(at_work, at_work, accepted, accepted, accepted), ClaimOutcome.GRANTED)
        third = (Verdict.RIVAL_AT_WORK, claim(1, "third").name)
        self.assertEqual(self.outcome(at_work, third, accepted, accepted, at_work), ClaimOutcome.CONTENDED)
        full, blank = (Verdict.FULL,), (Verdict.NOT_READY,)
        self.assertEqual(self.outcome(full, full, full), ClaimOutcome.FULL)
        self.assertEqual(self.outcome(blank, blank, blank), ClaimOutcome.NO_QUORUM)

    def test_a_claim_that_is_not_granted_is_withdrawn_at_all_voters(self):
        self.begin()
        for addr in ("c0", "c1"):
            self.vote(addr, Verdict.ACCEPTED)
        effects = self.coordinator.tick(VOTES_TIMEOUT_S)
        self.assertEqual([each.outcome for each in self.decisions(effects)], [ClaimOutcome.NO_QUORUM])
        withdrawn = {each.addr for each in effects if isinstance(each, Send)}
        self.assertEqual(withdrawn, set(VOTERS))
        self.assertEqual(self.vote("c2", Verdict.ACCEPTED), [])  # too late

    def test_without_a_reachable_majority_no_request_is_sent(self):
        (reply,) = self.begin(reachable={"c0", "c1"})
        self.assertEqual(reply.message.outcome, ClaimOutcome.NO_QUORUM)

    def test_an_end_is_settled_once_a_majority_has_it_and_asked_for_in_one_round(self):
        end = OperationEnd(claim(), ANSWER)
        effects = self.coordinator.on_end("g", end, 0.0)
        number = effects[0].message.round_number
        for addr in ("c0", "c1"):
            self.assertEqual(self.coordinator.on_ack(addr, RecordAck(number, VOTERS[addr])), [])
        self.assertEqual(self.coordinator.on_end("g", end, 0.1), [])  # a retransmission by the gateway
        self.assertEqual(len(self.coordinator), 1)
        self.assertEqual({each.addr for each in self.coordinator.tick(0.3)}, {"c2", "c3", "c4"})
        (reply,) = self.coordinator.on_ack("c2", RecordAck(number, VOTERS["c2"]))
        self.assertEqual(reply, Reply("g", OperationSettled(1)))
        self.coordinator.tick(10.0)
        self.assertEqual(len(self.coordinator), 0)


class Newcomer(unittest.TestCase):
    def replica(self, keys):
        replica = OperationReplica("id-0", Retention(WINDOW_S), 1 << 24, 0.0)
        replica.is_ready = True
        for number in range(keys):
            what = claim(number, key=b"%016d" % number)
            replica.on_end("c0", RecordEnd(1, OperationEnd(what, StoredAnswer(200, [], bytes(2000)))), 0.0)
        return replica

    def newcomer(self):
        newcomer = OperationCatchUp("new", False, 100.0)
        newcomer.set_voters(VOTERS, 0.0)
        newcomer.set_voters({**VOTERS, "c4": "new"}, 0.1)
        return newcomer

    def teach(self, newcomer, own, teacher, replica):
        """Transfer all parts from one voter."""
        source = OperationCatchUp(VOTERS[teacher], True, 100.0)
        (request,) = [each.request for each in newcomer.tick(0.2, 5, 5) if each.addr == teacher]
        while request is not None:
            part = source.answer("c4", request, replica, 5, 5, 0.2)
            own.learn(part.records, 0.2)
            following = newcomer.on_part(teacher, part, 5, 5)
            request = following.request if following else None
        return part, newcomer.is_complete_with(part)

    def test_it_votes_once_a_majority_has_taught_it_and_that_is_on_disk(self):
        newcomer, own, replica = self.newcomer(), self.replica(0), self.replica(100)
        for teacher, is_enough in (("c0", False), ("c1", False), ("c2", True)):
            newcomer._requested_at = -1e9  # makes its requests due again
            part, is_complete = self.teach(newcomer, own, teacher, replica)
            self.assertEqual(is_complete, is_enough)
        self.assertFalse(newcomer.is_caught_up)
        newcomer.reply_saved(part.number)
        self.assertTrue(newcomer.is_caught_up)
        self.assertEqual(len(own), 100)

    def test_records_that_could_not_be_written_are_requested_again(self):
        # Regression: after a failed write, a newcomer had nobody left to ask.
        newcomer, own, replica = self.newcomer(), self.replica(0), self.replica(3)
        for teacher in ("c0", "c1", "c2"):
            newcomer._requested_at = -1e9
            part, _ = self.teach(newcomer, own, teacher, replica)
        newcomer.reply_not_saved(part.number)
        self.assertLessEqual({"c0", "c1", "c2", "c3"}, {each.addr for each in newcomer.tick(0.5, 5, 5)})

    def test_a_majority_of_the_current_voters_suffices_if_previous_ones_lost_their_disks(self):
        newcomer, own, replica = self.newcomer(), self.replica(0), self.replica(3)
        newcomer.set_voters({**VOTERS, "c4": "new", "c0": "id-0b", "c1": "id-1b"}, 0.3)
        self.assertTrue(newcomer.is_catching_up)
        addrs = [each.addr for each in newcomer.tick(0.4, 5, 5)]
        self.assertEqual(addrs, sorted(set(addrs)))
        with mock.patch.dict(VOTERS, {"c0": "id-0b"}):
            for teacher, is_enough in (("c0", False), ("c2", False), ("c3", True)):
                newcomer._requested_at = -1e9
                self.assertEqual(self.teach(newcomer, own, teacher, replica)[1], is_enough)

    def test_a_newcomer_that_knew_only_outdated_voters_catches_up_from_the_current_ones(self):
        # The newcomer missed changes of voters, and most of the voters that it knew have lost their disks since.
        newcomer, own, replica = OperationCatchUp("new", False, 100.0), self.replica(0), self.replica(3)
        newcomer.set_voters({addr: f"lost {addr}" for addr in VOTERS} | {"c0": "id-0"}, 0.0)
        newcomer.set_voters({**VOTERS, "c4": "new"}, 0.1)
        for teacher, is_enough in (("c0", False), ("c1", False), ("c2", True)):
            newcomer._requested_at = -1e9
            self.assertEqual(self.teach(newcomer, own, teacher, replica)[1], is_enough)

    def test_a_voter_teaches_nobody_who_knows_of_other_voters(self):
        source = OperationCatchUp("id-0", True, 100.0)
        for theirs, ours in (((4, 4), (5, 5)), ((6, 6), (5, 5))):
            request = LearnOperations(1, *theirs, 0)
            self.assertIsNone(source.answer("c4", request, self.replica(1), *ours, 0.0))
        self.assertIsNone(
            OperationCatchUp("id-0", False, 100.0).answer("c4", LearnOperations(1, 5, 5, 0), self.replica(1), 5, 5, 0.0)
        )


class Gateway(unittest.TestCase):
    """The claims of a gateway; the test plays the controller."""

    def setUp(self):
        system = test_controller.SimulatedCluster(1)
        self.world, process = system.world, system.network.process("x", "10.1.0.30")
        stack = self.enterContext
        stack(test_controller.simulated_environment(self.world, lambda event, **fields: None))
        self.process = process
        self.world.enter(process)
        self.sent, self.told = [], []
        self.claims = OperationClaims("g", 7)
        self.keyed = KeyedRequests(process.loop, Random(1), self.claims, self.sent.append)

    def claim(self):
        def done(outcome, decision, granted):
            self.told.append((outcome, granted))

        self.keyed.claim(Operation(KEY, b"f"), 2.0, 0.8, done)
        return self.sent[-1]

    def wait(self, seconds):
        self.world.run(self.world.now + seconds)
        self.world.enter(self.process)

    def outcomes(self):
        return [outcome for outcome, _ in self.told]

    def test_a_grant_that_arrives_after_the_timeout_is_ignored(self):
        claimed = self.claim()
        self.wait(CLAIM_TIMEOUT_S)
        self.assertEqual(self.outcomes(), [ClaimOutcome.NO_QUORUM])
        self.assertEqual(self.sent[-1], OperationWithdrawal(claimed.name, KEY))
        self.keyed.on_decision(ClaimDecision(claimed.name.number, ClaimOutcome.GRANTED))
        self.assertEqual(len(self.told), 1)

    def test_a_claim_is_put_to_one_controller_only(self):
        # One controller could withdraw the claim while another one grants it.
        first = self.claim()
        self.keyed.on_connected()
        withdrawal, second = self.sent[-2:]
        self.assertEqual(withdrawal.name, first.name)
        self.assertNotEqual(second.name, first.name)
        self.keyed.on_decision(ClaimDecision(first.name.number, ClaimOutcome.GRANTED))
        self.assertEqual(self.told, [])
        self.keyed.on_decision(ClaimDecision(second.name.number, ClaimOutcome.GRANTED))
        self.assertEqual(
            [(outcome, granted.claim.name) for outcome, granted in self.told], [(ClaimOutcome.GRANTED, second.name)]
        )

    def test_a_contended_claim_is_repeated_under_another_name(self):
        first = self.claim()
        self.keyed.on_decision(ClaimDecision(first.name.number, ClaimOutcome.CONTENDED))
        self.wait(0.05)
        self.assertNotEqual(self.sent[-1].name, first.name)
        self.keyed.on_decision(ClaimDecision(self.sent[-1].name.number, ClaimOutcome.AT_WORK))
        self.assertEqual(self.outcomes(), [ClaimOutcome.AT_WORK])

    def test_an_end_is_resent_until_settled_and_delays_the_answer_only_briefly(self):
        end = self.claims.end(OperationEnd(claim(5), ANSWER), self.world.now)
        answered = []
        self.keyed.settle(end, 5, lambda: answered.append(self.world.now))
        self.wait(SETTLE_WAIT_S)
        self.assertEqual(len(answered), 1)
        before = len(self.sent)
        for _ in range(5):
            self.wait(0.1)
            self.keyed.tick(self.process.clock(self.world.now))
        self.assertGreater(len(self.sent), before)
        self.keyed.on_settled(OperationSettled(5))
        self.assertEqual((self.claims.unsettled, len(answered)), (0, 1))

    def test_an_end_that_is_never_settled_is_dropped_after_a_timeout(self):
        self.claims.end(OperationEnd(claim(5), ANSWER), 0.0)
        self.assertEqual(self.claims.tick(GIVE_UP_AFTER_S), [])
        self.assertEqual(self.claims.unsettled, 0)

    def test_with_too_many_unsettled_bytes_no_claim_is_made(self):
        large = StoredAnswer(200, [], bytes(64 * 1024))
        for number in range(16):
            self.claims.end(OperationEnd(claim(number), large), 0.0)
        self.keyed.claim(Operation(KEY, b"f"), 2.0, 0.8, lambda outcome, *_: self.told.append((outcome, None)))
        self.assertEqual(self.outcomes(), [ClaimOutcome.FULL])
        self.assertEqual(self.sent, [])


class LateSends(test_gateway.Case):
    """A granted request is not sent after its time limit."""

    def setUp(self):
        super().setUp()
        self.gateway.__class__ = RealGateway  # test_check_by_hand replaces this class
        self.sent = []
        claims = OperationClaims("g", 7)
        self.keyed = KeyedRequests(self.process.loop, Random(1), claims, self.sent.append)
        self.gateway.keyed_requests = self.keyed

    def ask_keyed(self):
        route = msgspec.structs.replace(test_gateway.ROUTES["once"], keyed=True)
        client = mock.Mock()
        client.send_answer.side_effect = lambda status, *_: self.answers.append(
            (self.world.now, "send_answer", (status,))
        )
        asked = mock.Mock(txn=b"t", route=route, tenant="", upload=None, operation=Operation(KEY, b"f"))
        asked.time_left = 2.0
        self.begun = self.world.now
        self.gateway.admit(client, asked)
        return self.sent[-1]

    def grant(self, claimed):
        self.keyed.on_decision(ClaimDecision(claimed.name.number, ClaimOutcome.GRANTED))

    def test_a_request_is_sent_only_after_the_grant_and_with_its_time_limit(self):
        claimed = self.ask_keyed()
        self.assertEqual(self.exchanges, [])
        self.grant(claimed)
        (exchange,) = self.exchanges
        self.assertAlmostEqual(exchange.send_until, self.process.clock(self.begun) + 2.0)

    def test_a_grant_that_is_read_after_a_stand_still_is_not_used(self):
        claimed = self.ask_keyed()
        with mock.patch.object(clock, "monotonic", lambda: self.process.clock(self.world.now) + 3.0):
            self.grant(claimed)
        self.assertEqual(self.exchanges, [])
        self.assertEqual(self.sent[-1], OperationWithdrawal(claimed.name, KEY))

    def test_a_connection_established_after_the_time_limit_sends_nothing(self):
        ends = []
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        transport = mock.Mock(get_extra_info=lambda name: ours, is_closing=lambda: False)
        for late, status in ((-1.0, Status.CONNECT_FAILED), (1.0, None)):
            now = self.process.clock(self.world.now)
            exchange = backends.Exchange(lambda: b"x", lambda *end: ends.append(end[0]), send_until=now + late)
            upstream = backends.Upstream("10.9.0.1", 80, 0.0, BackendState.READY)
            connection = backends.UpstreamConnection(self.gateway.backends, upstream, exchange)
            transport.write.reset_mock()
            connection.connection_made(transport)
            self.assertEqual(transport.write.called, status is None)
        self.assertEqual(ends, [Status.CONNECT_FAILED])
