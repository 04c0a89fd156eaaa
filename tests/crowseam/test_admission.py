"""Admission at one gateway: cuts by region, steps of a cut, return of capacity, and shares summed over gateways."""

import unittest
from random import Random
from statistics import fmean, pstdev

from crowseam.quotas.admission import GUARANTEED_FRACTION, Admission, AdmissionError, TenantTerms
from crowseam.quotas.unleased_allowance import unleased_allowance
from fennelpoint.regions import MAX_STEP_SCALE, MAX_STEPS_PER_FLOW, PERIOD_S, STEP_FRACTION, STEPS_PER_CUT

TARGET_S, START_S = 1.0, 1000.0


def full_admission(tenants: dict[str, TenantTerms], extra: float = 0.0, seed: int = 1) -> Admission:
    """An admission with the whole quotas of the tenants, and full buckets at START_S."""
    admission = Admission(0.0, Random(seed), extra)
    admission.configure(tenants, 0.0)
    for name in tenants:
        admission.set_share(name, 1.0, 0.0)
    admission.regulate(START_S)
    return admission


def count_in_period(count: int, period_number: int, periods: int) -> int:
    """The number of `count` events per second that fall into one of the `periods` periods of a second."""
    return count * (period_number + 1) // periods - count * period_number // periods


class Timeline:
    """Plays a timeline with one column per tenant and one line per period of 0.5 s.

    In a line, `8 slow` sends eight requests per second, answered after twice their latency target (`late` is three
    times, `quick` half of it); `.` sends nothing. Only requests that pass `admit` are sent.
    """

    LATENCY = {"quick": 0.5, "slow": 2.0, "late": 3.0}

    def __init__(self, admission: Admission, start: float = START_S) -> None:
        self.admission, self.now, self.passed = admission, start, {}

    def play(self, text: str) -> "Timeline":
        columns, *lines = [[cell.strip() for cell in line.split("|")] for line in text.strip().splitlines()]
        for number, line in enumerate(lines):
            for name, cell in zip(columns, line, strict=True):
                rate, _, speed = cell.partition(" ")
                count = 0 if rate == "." else count_in_period(int(rate), number % 2, 2)
                self.passed[name] = 0
                for i in range(count):
                    at = self.now + i * PERIOD_S / count
                    if self.admission.admit(name, 1.0, at).is_admitted:
                        self.passed[name] += 1
                        self.admission.record_sent(name, 0.1)
                        self.admission.record_answer(name, self.LATENCY[speed] * TARGET_S, TARGET_S)
            self.now += PERIOD_S
            self.admission.regulate(self.now)
        return self

    def caps(self) -> dict[str, float]:
        return {name: held.cap for name, held in self.admission.states(self.now).items() if held.cap is not None}

    def cut_keys(self) -> list[str]:
        return [flow.key for flow, _ in self.admission.regulator.cut.reductions]


class TestRegions(unittest.TestCase):
    # The burst lets `lucky` and `exceeded` send above their rates of 2 for some seconds.
    TERMS = {
        "failed": TenantTerms(20.0, 20.0, 1),
        "lucky": TenantTerms(2.0, 100.0, 0),
        "exceeded": TenantTerms(2.0, 100.0, 3),
        "meet": TenantTerms(20.0, 20.0, 4),
    }

    def test_no_tenant_is_cut_while_none_fails_within_its_quota(self):
        timeline = Timeline(full_admission(self.TERMS)).play("""
            failed  | lucky    | exceeded | meet
            8 quick | 12 quick | 12 slow  | 8 quick
            8 quick | 12 quick | 12 slow  | 8 quick
            8 quick | 12 quick | 12 slow  | 8 quick
        """)
        self.assertEqual((timeline.caps(), timeline.admission.regulator.has_failed), ({}, False))

    def test_cuts_go_lucky_then_exceeded_then_meet(self):
        """One cut takes at most MAX_STEPS_PER_FLOW steps off a tenant; the rest is taken off the next one."""
        for failing, exceeded, order in (
            ("20", "4", ["lucky"]),
            ("2", "200", ["lucky", "exceeded"]),
            ("300", "4", ["lucky", "exceeded", "meet"]),
        ):
            with self.subTest(order):
                terms = dict(self.TERMS, failed=TenantTerms(400.0, 400.0, 1), exceeded=TenantTerms(1.0, 600.0, 3))
                line = f"{failing} slow | 40 quick | {exceeded} slow | 4 quick\n"
                played = Timeline(full_admission(terms)).play("failed | lucky | exceeded | meet\n" + line * 2)
                self.assertEqual(played.cut_keys(), order)

    def test_meet_is_cut_last_and_below_the_weight_of_what_fails(self):
        terms = {
            "failed": TenantTerms(400.0, 400.0, 1),
            "dear": TenantTerms(40.0, 40.0, 0),
            "cheap": TenantTerms(40.0, 40.0, 5),
            "cheaper": TenantTerms(40.0, 40.0, 6),
        }
        timeline = Timeline(full_admission(terms)).play("""
            failed   | dear     | cheap    | cheaper
            100 slow | 20 quick | 20 quick | 20 quick
            100 slow | 20 quick | 20 quick | 20 quick
        """)
        self.assertEqual(timeline.cut_keys(), ["cheaper", "cheap"])
        # No tenant has a lower weight: the others are cut instead.
        del terms["cheap"], terms["cheaper"]
        timeline = Timeline(full_admission(terms)).play("""
            failed  | dear
            20 slow | 20 quick
            20 slow | 20 quick
        """)
        self.assertEqual(timeline.cut_keys(), ["dear"])

    def test_within_a_region_the_lowest_weight_is_cut_first(self):
        ranks = {"a": 2, "b": 5, "c": 0, "d": 3}
        terms = {name: TenantTerms(1.0, 100.0, prio) for name, prio in ranks.items()}
        timeline = Timeline(full_admission({**terms, "failed": TenantTerms(400.0, 400.0, 1)})).play("""
            failed  | a        | b        | c        | d
            90 slow | 10 quick | 10 quick | 10 quick | 10 quick
            90 slow | 10 quick | 10 quick | 10 quick | 10 quick
        """)
        self.assertEqual(timeline.cut_keys(), ["b", "d", "a", "c"])

    def test_a_tenant_without_a_limit_is_never_over_its_quota(self):
        timeline = Timeline(full_admission({"free": TenantTerms(), "other": TenantTerms(1.0, 50.0, 0)})).play("""
            free    | other
            50 slow | 10 quick
            50 slow | 10 quick
        """)
        self.assertTrue(timeline.admission.regulator.has_failed)
        self.assertEqual(set(timeline.caps()), {"other"})


class TestSteps(unittest.TestCase):
    TERMS = {"failed": TenantTerms(20.0, 20.0, 0), "lucky": TenantTerms(2.0, 200.0, 1)}

    def test_a_constant_step_takes_its_share_of_what_is_sent(self):
        timeline = Timeline(full_admission(self.TERMS)).play("""
            failed  | lucky
            10 slow | 20 quick
            10 slow | 20 quick
        """)
        flows = timeline.admission.regulator.active
        total = sum(flow.rate for flow in flows.values())
        amount = min(STEP_FRACTION * total, MAX_STEPS_PER_FLOW * STEP_FRACTION * flows["lucky"].rate)
        self.assertAlmostEqual(timeline.caps()["lucky"], flows["lucky"].rate - amount)

    def test_steps_scale_with_the_confidence_in_the_fit(self):
        timeline = Timeline(full_admission(self.TERMS))
        for i in range(40):  # latency is an exact linear function of the rate
            timeline.admission.regulator.fit.add(1.0 + i % 5, 0.2 + 0.01 * (i % 5), 0.98)
        timeline.play("""
            failed  | lucky
            10 slow | 20 quick
            10 slow | 20 quick
        """)
        flows = timeline.admission.regulator.active
        total = sum(flow.rate for flow in flows.values())
        self.assertAlmostEqual(
            flows["lucky"].rate - timeline.caps()["lucky"],
            MAX_STEP_SCALE * min(STEP_FRACTION * total, MAX_STEPS_PER_FLOW * STEP_FRACTION * flows["lucky"].rate),
        )

    def test_a_decision_lasts_m_steps_and_ends_when_the_failing_latency_rises(self):
        timeline = Timeline(full_admission(self.TERMS)).play("""
            failed  | lucky
            10 slow | 20 quick
            10 slow | 20 quick
        """)
        cut = timeline.admission.regulator.cut
        timeline.play("failed | lucky\n" + "10 late | 20 quick\n" * (STEPS_PER_CUT - 1))
        self.assertIs(timeline.admission.regulator.cut, cut)
        timeline.play("failed | lucky\n10 late | 20 quick")
        self.assertIsNot(timeline.admission.regulator.cut, cut)

    def test_a_decision_holds_while_observations_match_the_prediction(self):
        timeline = Timeline(full_admission(self.TERMS))
        timeline.play("failed | lucky\n" + "10 slow | 20 quick\n" * 12)  # the averages have converged
        cut = timeline.admission.regulator.cut
        cut.worst_ratio, cut.predicted_ratio = 2.5, 1.0
        cut.rates.update({key: flow.rate for key, flow in timeline.admission.regulator.active.items()})
        cut.steps_taken = STEPS_PER_CUT
        timeline.play("failed | lucky\n10 slow | 20 quick")
        self.assertIs(timeline.admission.regulator.cut, cut)
        cut.predicted_ratio = 0.2  # the observed value is more than twice that
        timeline.play("failed | lucky\n10 slow | 20 quick")
        self.assertIsNot(timeline.admission.regulator.cut, cut)

    def test_cut_requests_are_rejected_with_a_wait_and_count_as_demand(self):
        timeline = Timeline(full_admission(self.TERMS)).play("failed | lucky\n" + "10 slow | 40 quick\n" * 8)
        cap = timeline.caps()["lucky"]
        rejected = [
            v for i in range(40) if not (v := timeline.admission.admit("lucky", 1.0, timeline.now + i / 80)).is_admitted
        ]
        self.assertGreaterEqual(len(rejected), 40 - cap / 2 - 2)
        self.assertTrue(all(v.reason == "cut" and 0.0 < v.wait_s <= 5.0 for v in rejected))
        self.assertGreater(timeline.admission.demand(timeline.now + 0.5)["lucky"], 2 * cap)


class TestCapacityReturn(unittest.TestCase):
    def test_capacity_returns_by_weight_and_no_cap_is_below_the_average_rate(self):
        terms = {"dear": TenantTerms(20.0, 20.0, 0), "cheap": TenantTerms(20.0, 20.0, 5)}
        timeline = Timeline(full_admission(terms)).play("dear | cheap\n" + "4 quick | 4 quick\n" * 3)
        for flow in timeline.admission.regulator.active.values():
            flow.cap = 0.5
        timeline.play("dear | cheap\n4 quick | 4 quick")
        caps, flows = timeline.caps(), timeline.admission.regulator.active
        self.assertGreater(caps["dear"], caps["cheap"])
        self.assertTrue(all(caps[name] >= flows[name].rate for name in caps))
        timeline.play("dear | cheap\n" + "4 quick | 4 quick\n" * 12)
        self.assertEqual(timeline.caps(), {})

    def test_a_tenant_without_a_limit_gets_all_back(self):
        timeline = Timeline(full_admission({"free": TenantTerms(), "other": TenantTerms()}))
        timeline.play("free | other\n" + "20 quick | 20 quick\n" * 2)
        for flow in timeline.admission.regulator.active.values():
            flow.cap = 0.0
        timeline.play("free | other\n" + "20 quick | 20 quick\n" * 24)
        self.assertEqual(timeline.caps(), {})

    def test_nobody_is_starved_however_long_another_fails(self):
        starved = 0.25  # of what all tenants are served: the required minimum
        self.assertGreater(GUARANTEED_FRACTION, starved)
        for terms in (TenantTerms(prio=3), TenantTerms(rate=40.0, burst=40.0, prio=3)):
            timeline = Timeline(full_admission({"dear": TenantTerms(prio=0), "cheap": terms}))
            for _ in range(120):
                timeline.play("dear | cheap\n20 slow | 20 quick")
            passed = 0
            for _ in range(20):
                passed += timeline.play("dear | cheap\n20 slow | 20 quick").passed["cheap"]
            self.assertTrue(timeline.admission.regulator.has_failed)
            self.assertLess(passed, 0.6 * 200)  # it is cut
            self.assertGreater(passed, starved * 200)

    def test_an_idle_tenant_does_not_stay_cut(self):
        timeline = Timeline(full_admission({"gone": TenantTerms(20.0, 20.0, 0), "here": TenantTerms(20.0, 20.0, 0)}))
        timeline.play("gone | here\n4 quick | 4 slow")
        timeline.admission.regulator.active["gone"].cap = 0.0
        timeline.play("gone | here\n" + ". | 4 slow\n" * 40)
        self.assertNotIn("gone", timeline.caps())


class TestShares(unittest.TestCase):
    def flood(self, gateways: int, rate: float, burst: float, extra: float, seed: int, moves_shares: bool = False):
        """Requests of one tenant that pass in the worst 5 s of a flood at eight times its rate, and in total.

        All gateways are idle for a minute before it; with `moves_shares`, the shares move between gateways during the
        flood.
        """
        rng = Random(seed)
        admissions = [Admission(0.0, Random(seed * 1000 + i), extra) for i in range(gateways)]
        shares = [1.0 / gateways] * gateways
        for gateway_admission, share in zip(admissions, shares, strict=True):
            gateway_admission.configure({"t": TenantTerms(rate, burst, 0)}, 0.0)
            gateway_admission.set_share("t", share, 0.0)
        now, passed, moved_at = 60.0, [], 60.0
        while now < 75.0:
            now += rng.expovariate(8.0 * rate)
            if moves_shares and now - moved_at > 0.5:
                moved_at, weights = now, [rng.random() ** 4 for _ in range(gateways)]
                for gateway_admission, weight in zip(admissions, weights, strict=True):
                    gateway_admission.set_share("t", weight / sum(weights), now)
            passed += [now] * admissions[rng.randrange(gateways)].admit("t", 1.0, now).is_admitted
        return max(sum(at - 5.0 < other <= at for other in passed) for at in passed), len(passed)

    def test_summed_over_gateways_a_flood_passes_no_more_than_the_quota(self):
        for gateways, rate, burst, extra in (
            (1, 20.0, 20.0, 1.0),
            (14, 81.0, 81.0, 1.0),
            (14, 20.0, 10.0, 1.0),
            (14, 8.0, 0.0, 1.0),
            (96, 40.0, 40.0, 0.1),
            (96, 10.0, 10.0, 0.1),
        ):
            for moves_shares in (False, True):
                with self.subTest(gateways=gateways, rate=rate, burst=burst, moves_shares=moves_shares):
                    worst_window, total = self.flood(
                        gateways, rate, burst, extra, seed=gateways, moves_shares=moves_shares
                    )
                    self.assertLessEqual(worst_window, (rate * 5.0 + burst) * 1.1 + 20.0)
                    # The quota is also used: little of a constant share is left, even if it is below one request.
                    self.assertGreaterEqual(total, (0.4 if moves_shares else 0.65) * 15.0 * rate)

    def test_a_sparse_tenant_passes_while_all_demand_fits(self):
        admission = Admission(0.0, Random(1))
        admission.configure({"t": TenantTerms(4.0, 4.0, 0)}, 0.0)
        admission.set_share("t", 0.05, 0.0, has_headroom=True)
        self.assertTrue(all(admission.admit("t", 1.0, 10.0 * i).is_admitted for i in range(1, 20)))
        admission.set_share("t", 0.05, 200.0)  # without headroom the accumulated tokens are lost
        self.assertLess(admission.states(200.0)["t"].level, 0.21)

    def test_a_request_passes_after_the_advertised_wait(self):
        admission = full_admission({"t": TenantTerms(4.0, 2.0, 0)})
        decisions = [admission.admit("t", 1.0, START_S) for _ in range(3)]
        self.assertEqual([v.is_admitted for v in decisions], [True, True, False])
        self.assertEqual((decisions[2].reason, decisions[2].wait_s), ("quota", 0.25))
        self.assertFalse(admission.admit("t", 1.0, START_S + 0.24, is_recheck=True).is_admitted)
        self.assertTrue(admission.admit("t", 1.0, START_S + 0.25, is_recheck=True).is_admitted)
        self.assertAlmostEqual(admission.demand(START_S + 0.25)["t"], 3 * 0.3466, delta=0.1)  # a recheck adds no demand

    def test_without_a_lease_only_the_floor_passes(self):
        admission = full_admission({"t": TenantTerms(100.0, 100.0, 0)})
        admission.set_share("t", None, START_S, floor_rate=1.0)
        passed = sum(admission.admit("t", 1.0, START_S + i / 50).is_admitted for i in range(500))
        self.assertIn(passed, (10, 11))
        admission.set_share("t", None, START_S + 10.0)
        self.assertFalse(any(admission.admit("t", 1.0, START_S + 10.0 + i / 50).is_admitted for i in range(500)))

    def test_reserve_grants_pass_once_and_a_lowered_share_loses_its_tokens(self):
        admission = full_admission({"t": TenantTerms(10.0, 20.0, 0)})
        admission.add_reserve_grant("t", 2)
        admission.set_share("t", 0.0, START_S)
        self.assertEqual(sum(admission.admit("t", 1.0, START_S + i / 100).is_admitted for i in range(50)), 2)

    def test_a_refund_returns_a_token_and_a_lower_limit_applies_at_once(self):
        admission = full_admission({"t": TenantTerms(1.0, 1.0, 0)})
        self.assertTrue(admission.admit("t", 1.0, START_S).is_admitted)
        admission.refund("t", START_S)
        self.assertTrue(admission.admit("t", 1.0, START_S).is_admitted)
        self.assertFalse(admission.admit("t", 1.0, START_S).is_admitted)
        admission = full_admission({"t": TenantTerms(50.0, 50.0, 0)})
        admission.configure({"t": TenantTerms(5.0, 5.0, 0)}, START_S)
        self.assertEqual(sum(admission.admit("t", 1.0, START_S).is_admitted for _ in range(50)), 5)

    def test_demand_has_a_half_life_of_two_seconds_and_unknown_tenants_are_an_error(self):
        admission = full_admission({"t": TenantTerms(1.0, 1.0, 0)})
        for i in range(400):
            admission.admit("t", 1.0, START_S + i / 20)
        before = admission.demand(START_S + 20.0)["t"]
        self.assertAlmostEqual(before, 20.0, delta=1.0)
        self.assertAlmostEqual(admission.demand(START_S + 22.0)["t"], before / 2, delta=0.1)
        self.assertEqual(admission.demand(START_S + 90.0), {})
        with self.assertRaises(AdmissionError):
            admission.admit("u", 1.0, START_S + 20.0)


class TestWithoutLease(unittest.TestCase):
    """What passes in addition to shares: the floor, the extra, and buckets too small for a request."""

    @staticmethod
    def admitted_under_load(admissions: list[Admission], now: float = START_S, span: float = 5.0, rate: int = 5) -> int:
        """The number of admitted requests of a tenant that starts to send at `rate` per second to every gateway."""
        return sum(
            each.admit("a", 1.0, now + i / rate).is_admitted for i in range(int(span * rate) + 1) for each in admissions
        )

    def test_a_bucket_falls_to_the_floor_when_its_lease_ends_without_an_update(self):
        """Otherwise a suspended gateway would use a share that has been granted to others since."""
        admission = Admission(0.0, Random(1))
        admission.configure({"a": TenantTerms(20.0, 200.0)}, 0.0)
        admission.set_share("a", 0.65, 0.0, floor_rate=0.4, extra=4.0, expires_at=8.0)
        self.assertTrue(admission.admit("a", 1.0, 7.9).is_admitted)
        admission.set_share("a", 0.65, START_S, floor_rate=0.4, extra=4.0, expires_at=START_S + 8.0)
        self.assertLessEqual(self.admitted_under_load([admission], START_S + 23.0, 0.9, 100), 2)

    @staticmethod
    def fleet(gateways: int, terms: TenantTerms, share: float | None, seed: int) -> list[Admission]:
        """Gateways whose buckets are full at START_S, with `share` of the quota divided evenly."""
        rng, admissions = Random(seed), []
        floor, extra = unleased_allowance(terms.rate, terms.burst, 5.0, 0.1, 20.0, gateways)
        for _ in range(gateways):
            admissions.append(Admission(0.0, Random(rng.random())))
            admissions[-1].configure({"a": terms}, 0.0)
            admissions[-1].set_share("a", None if share is None else share / gateways, 0.0, floor, extra=extra)
        return admissions

    def test_the_floors_of_all_gateways_stay_within_the_limit_when_a_small_tenant_turns_hot(self):
        """96 gateways without leases, 0.5 requests/s: the limit is 23.85 requests in 5 s."""
        passed = [self.admitted_under_load(self.fleet(96, TenantTerms(0.5, 1.0), None, seed)) for seed in range(20)]
        self.assertLess(fmean(passed), 0.7 * 23.85)

    def test_many_buckets_too_small_for_a_request_pass_about_what_they_hold(self):
        """96 gateways, 20 requests/s and a burst of 20, of which 65% are leased: 78 requests plus the extra."""
        terms, passed = TenantTerms(20.0, 20.0), []
        extra = 96 * unleased_allowance(20.0, 20.0, 5.0, 0.1, 20.0, 96)[1]
        for seed in range(12):
            passed.append(self.admitted_under_load(self.fleet(96, terms, 0.65, seed)))
            self.assertLessEqual(abs(passed[-1] - (78.0 + extra)), 3.0 * 96**0.5 / 2)
        self.assertLess(pstdev(passed), 5.0)  # independent random decisions for each request would give about 10
