"""Shares of quotas: what gateways may use together never exceeds the quota, and follows the demand."""

import heapq
import unittest
from random import Random

from crowseam.quotas.gateway_leases import MANY_TENANTS, GatewayLeases
from crowseam.quotas.known_borrowers import KnownBorrowers
from crowseam.quotas.lease_grantor import MAX_TENANTS_LEASED_TO_ALL, GrantorTerms, QuotaLeaseGrantor
from crowseam.quotas.lease_messages import SHARE_UNITS, LeaseReport, QuotaLease
from crowseam.quotas.unleased_allowance import floor_requests

TENANTS = ("large", "small")


class Cluster:
    """Gateways and a grantor on links that hold messages back during a partition.

    Each column of a timeline is one gateway. Words in it: `up`, `die`, `restart`, `cut`, `join` (its link goes down
    and up again), a number (its demand for `large` in requests per second), `=0.25` (expected share, within 0.02),
    `none` (expected: no lease), `.` (nothing). In the grantor's column: `take` (a new grantor that knows the
    gateways), `blind` (a new one that does not), `gone` (no grantor).
    """

    def __init__(self, gateways, seed=1, drift=0.0, delay_rate=0.0):
        self.rng = Random(seed)
        self.names = [f"d{i}" for i in range(1, gateways + 1)]
        self.delay_rate, self.now, self.message_count, self.fencing_token, self.incarnation = delay_rate, 0.0, 0, 0, 0
        self.clock_rates = {name: 1 + self.rng.uniform(-drift, drift) for name in [*self.names, "grantor"]}
        self.drift = drift
        self.gateway_leases, self.partitioned, self.demand, self.next_report_at = {}, set(), {}, {}
        self.known, self.grantor, self.in_flight, self.last_arrivals = set(), None, [], {}
        self.max_used = 0.0

    def clock(self, name):
        return 500.0 + self.now * self.clock_rates[name]

    def up(self, name):
        self.incarnation += 1
        self.gateway_leases[name] = GatewayLeases(self.incarnation)
        self.next_report_at[name] = self.now + self.rng.uniform(0, 0.5)
        self.demand.setdefault(name, 0.0)

    def die(self, name):
        self.gateway_leases.pop(name, None)

    restart = up

    def take(self, known):
        self.fencing_token += 1
        self.clock_rates["grantor"] = 1 + self.rng.uniform(-self.drift, self.drift)
        self.grantor = QuotaLeaseGrantor(
            self.fencing_token, known, max(1, len(self.gateway_leases)), self.clock("grantor")
        )

    def send(self, direction, name, message, fencing_token):
        """Links preserve the order of messages; a delayed one also delays those behind it."""
        delay = self.rng.uniform(0.001, 0.02)
        if self.rng.random() < self.delay_rate:
            delay = self.rng.uniform(0.5, 9.0)
        time = max(self.last_arrivals.get((direction, name, fencing_token), 0.0), self.now + delay)
        self.last_arrivals[direction, name, fencing_token] = time
        self.message_count += 1
        heapq.heappush(self.in_flight, (time, self.message_count, direction, name, message, fencing_token))

    def step(self, until):
        while self.now < until - 1e-9:
            tick = min(until, self.now + 0.05)
            while self.in_flight and self.in_flight[0][0] <= tick:
                self.now, _, direction, name, message, fencing_token = heapq.heappop(self.in_flight)
                self.deliver(direction, name, message, fencing_token)
                self.check()
            self.now = tick
            self.check()
            for name, gateway_leases in self.gateway_leases.items():
                if self.now >= self.next_report_at[name]:
                    self.report(name, gateway_leases)

    def report(self, name, gateway_leases):
        self.next_report_at[name] = self.now + 0.5
        demand = {"large": self.demand[name], "small": 0.0}
        self.send("up", name, (demand, gateway_leases.report(self.clock(name))), self.fencing_token)

    def deliver(self, direction, name, message, fencing_token):
        if name in self.partitioned and self.rng.random() < 0.5:
            return
        if name in self.partitioned:  # held back by the partition, and delivered when it ends
            self.send(direction, name, message, fencing_token)
        elif direction == "up" and self.grantor is not None:
            demand, held = message
            self.grantor.expected_gateways = max(1, len(self.gateway_leases.keys() - self.partitioned))
            lease = self.grantor.report(name, demand, held, self.clock("grantor"))
            if lease is not None:
                self.known.add(name)
                self.send("down", name, lease, self.fencing_token)
        elif direction == "down" and name in self.gateway_leases:
            gateway_leases = self.gateway_leases[name]
            if gateway_leases.apply(message, self.clock(name)):
                self.report(name, gateway_leases)

    def used(self, tenant):
        return sum(
            gateway_leases.share(tenant, self.clock(name)) or 0 for name, gateway_leases in self.gateway_leases.items()
        )

    def check(self):
        for tenant in TENANTS:
            used = self.used(tenant)
            self.max_used = max(self.max_used, used)
            assert used <= 1 + 1e-9, f"{tenant} at {self.now}: {used}"

    def play(self, case, timeline):
        lines = [line.split() for line in timeline.strip().splitlines()]
        for time, grantor_word, *words in lines[1:]:
            self.step(float(time))
            for name, word in zip(self.names, words, strict=True):
                if word == "none":
                    case.assertIsNone(self.gateway_leases[name].share("large", self.clock(name)), f"{name} at {time}")
                elif word.startswith("="):
                    share = self.gateway_leases[name].share("large", self.clock(name))
                    case.assertAlmostEqual(share or 0.0, float(word[1:]), delta=0.02, msg=f"{name} at {time}")
                elif word == "cut":
                    self.partitioned.add(name)
                elif word == "join":
                    self.partitioned.discard(name)
                elif word[0].isdigit():
                    self.demand[name] = float(word)
                elif word != ".":
                    getattr(self, word)(name)
            if grantor_word == "take":
                self.take(set(self.known))
            elif grantor_word == "blind":
                self.take(None)
            elif grantor_word == "gone":
                self.grantor = None


class TimelineTest(unittest.TestCase):
    def run_timeline(self, timeline):
        cluster = Cluster(len(timeline.strip().splitlines()[0].split()) - 2)
        cluster.play(self, timeline)

    def test_a_start_gives_even_shares_in_the_first_answer(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3     d4
            0     .      up     up     up     up
            0     take   .      .      .      .
            0.7   .      =0.25  =0.25  =0.25  =0.25
        """)

    def test_shares_follow_the_demand_within_two_rounds_of_reports(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3     d4
            0     .      up     up     up     up
            0     take   .      .      .      .
            2     .      30     10     0      0
            3.2   .      =0.65  =0.25  =0.05  =0.05
            5     .      0      0      0      0
            6.2   .      =0.25  =0.25  =0.25  =0.25
        """)

    def test_a_partitioned_gateway_keeps_its_share_for_a_term_and_only_then_others_get_it(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3
            0     .      up     up     up
            0     take   10     10     10
            2     .      cut    .      .
            3     .      .      20     .
            7     .      =0.33  =0.4   .
            10.2  .      none   .      .
            12    .      none   =0.63  =0.37
            13    .      join   .      .
            14.7  .      =0.27  =0.47  =0.27
        """)

    def test_a_restarted_gateway_gets_a_share_at_once(self):
        self.run_timeline("""
            time  grantor  d1       d2
            0     .      up       up
            0     take   10       10
            2     .      restart  .
            2     .      none     =0.5
            2.7   .      =0.5     =0.5
        """)

    def test_a_new_grantor_that_knows_the_gateways_takes_over_in_two_rounds(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3
            0     .      up     up     up
            0     take   30     10     0
            3     gone   =0.67  =0.27  =0.07
            5     take   =0.67  =0.27  =0.07
            6     .      =0.67  =0.27  =0.07
            7     .      0      10     30
            8.2   .      =0.07  =0.27  =0.67
        """)

    def test_after_a_restart_of_all_first_shares_follow_the_demand_at_once(self):
        # The share of the gateway that reported first is not one of an earlier grantor, which would be kept for a
        # while.
        grantor, now = QuotaLeaseGrantor(2, {"a", "b"}, 2, 0.0, GrantorTerms()), 0.0
        gateways = {name: GatewayLeases(1) for name in "ab"}

        def report(name, demand):
            nonlocal now
            now += 0.05
            held = gateways[name].report(now)
            gateways[name].apply(grantor.report(name, {"t": demand}, held, now), now)
            return gateways[name].share("t", now)

        for name in "abab":
            report(name, 20.0 * (name == "a"))
        self.assertAlmostEqual(report("a", 20.0), 0.9, delta=0.01)
        report("b", 20.0)
        self.assertAlmostEqual(report("a", 20.0), 0.5, delta=0.01)
        report("a", 20.0)  # confirms the decrease
        self.assertAlmostEqual(report("b", 20.0), 0.5, delta=0.01)

    def test_a_new_grantor_without_reports_of_a_gateway_grants_its_share_only_after_a_term(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3
            0     .      up     up     up
            0     take   30     10     0
            3     gone   =0.67  .      .
            3     .      die    .      .
            3     take   .      .      .
            6     .      .      =0.27  =0.07
            9     .      .      =0.27  =0.07
            12.8  .      .      =0.9   =0.1
        """)

    def test_a_grantor_that_knows_nothing_grants_only_what_gateways_still_hold_for_a_term(self):
        self.run_timeline("""
            time  grantor  d1     d2     d3
            0     .      up     up     .
            0     take   10     10     .
            3     blind  .      die    up
            5.2   .      =0.5   .      none
            11    .      =0.5   .      none
            13    .      =0.9   .      =0.1
        """)


class RandomTest(unittest.TestCase):
    def test_the_sum_of_shares_never_exceeds_the_quota(self):
        """Partitions, late and lost messages, restarts, new grantors, 1% clock drift; checked at each step."""
        max_used = 0.0
        for seed in range(24):
            cluster = Cluster(10, seed=seed, drift=0.01, delay_rate=(0.01, 0.1)[seed % 2])
            for name in cluster.names:
                cluster.up(name)
            cluster.take(set())
            while cluster.now < 60:
                cluster.step(cluster.now + cluster.rng.uniform(0.1, 1.5))
                name = cluster.rng.choice(cluster.names)
                match cluster.rng.randrange(12):
                    case 0:
                        cluster.restart(name)
                    case 1:
                        cluster.die(name)
                    case 2 | 3:
                        cluster.partitioned.add(name)
                    case 4 | 5:
                        cluster.partitioned.clear()
                    case 6:
                        cluster.take(set(cluster.known))
                        if seed % 3 == 0:  # replaced before all gateways have reported to this one
                            cluster.step(cluster.now + cluster.rng.uniform(0.0, 0.3))
                            cluster.take(set(cluster.known))
                    case 7 if cluster.rng.random() < 0.3:
                        cluster.take(None)
                    case 8:
                        for other in set(cluster.names) - set(cluster.gateway_leases):
                            cluster.up(other)
                    case _:
                        cluster.demand[name] = cluster.rng.choice([0.0, 1.0, 20.0, 300.0])
            max_used = max(max_used, cluster.max_used)
            # Without further faults, the whole quota is leased again.
            cluster.partitioned.clear()
            cluster.delay_rate = 0.0
            for other in set(cluster.names) - set(cluster.gateway_leases):
                cluster.up(other)
            cluster.step(cluster.now + 30)
            self.assertGreater(cluster.used("large"), 0.99)
            self.assertGreater(cluster.used("small"), 0.99)
        self.assertGreater(max_used, 0.99)


class GrantorTest(unittest.TestCase):
    def test_an_even_share_too_small_for_a_request_stays_in_the_reserve(self):
        terms = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
        grantor = QuotaLeaseGrantor(1, set(), 96, 0.0, terms, lambda tenant: 2.0, lambda: ["quiet", "asked"])
        lease = grantor.report("d1", {"asked": 1.0}, LeaseReport(1, 0.0, 0, 0, 0.0, {}), 0.1)
        self.assertNotIn("quiet", lease.shares)
        self.assertGreater(lease.shares["asked"], 0)
        self.assertEqual(grantor.reserve("quiet"), 1.0)
        self.assertLess(grantor.reserve("asked"), 1.0)

    def test_tenants_without_demand_cost_nothing_and_change_nothing(self):
        class UncachedGrantor(QuotaLeaseGrantor):
            """Iterates over all tenants for each report."""

            def _tenants_leased_to_all(self, gateways):
                super()._tenants_leased_to_all(gateways)
                return self._demand.keys() | set(self.tenants())

        rng = Random(4)
        rates = {f"t{n}": rng.choice([0.0, 2.0, 40.0, 900.0]) for n in range(60)}
        looked_up = []

        def rate(tenant):
            looked_up.append(tenant)
            return rates[tenant]

        for known in (set(), {"d1", "d9"}):
            names = [name for name in rates if rates[name]]
            terms = GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05)
            listed = [names]
            grantors = [
                grantor_type(2, known, 40, 0.0, terms, rate, lambda listed=listed: listed[0])
                for grantor_type in (QuotaLeaseGrantor, UncachedGrantor)
            ]
            gateway_leases = [{f"d{n}": GatewayLeases(1) for n in range(40)} for _ in grantors]
            for step in range(1500):
                now, gateway = step * 0.02, f"d{rng.randrange(40)}"
                if step % 500 == 499:  # a new configuration: different rates, one tenant removed
                    rates.update({name: rng.choice([2.0, 40.0, 900.0]) for name in rng.sample(names, 9)})
                    listed[0] = names = names[1:]
                if step % 700 == 699:
                    for grantor in grantors:
                        grantor.expected_gateways = step // 15
                demand = {name: rng.random() * 9 for name in rng.sample(sorted(rates), rng.randrange(6))}
                leases = [
                    grantor.report(gateway, demand, held[gateway].report(now), now)
                    for grantor, held in zip(grantors, gateway_leases, strict=True)
                ]
                self.assertEqual(*(lease and lease.shares for lease in leases))
                for lease, held in zip(leases, gateway_leases, strict=True):
                    if lease is not None:
                        held[gateway].apply(lease, now)
        looked_up.clear()
        grantors[0].report("d3", {"t5": 1.0}, gateway_leases[0]["d3"].report(60.0), 60.0)
        self.assertLess(len(looked_up), 5)

    def test_of_thousands_of_tenants_only_the_largest_are_leased_to_all_also_during_a_takeover(self):
        names = [f"t{n}" for n in range(2000)]
        for known in (set(), {"d2"}):
            grantor = QuotaLeaseGrantor(
                2,
                known,
                3,
                0.0,
                GrantorTerms(reserve_fraction=0.35, min_idle_rate=0.05),
                lambda tenant: float(tenant[1:]) + 10.0,
                lambda: names,
            )
            lease = grantor.report("d1", {"t7": 1.0}, LeaseReport(1, 0.0, 2, 0, 0.0, {}), 0.1)
            self.assertLessEqual(len(lease.shares), MAX_TENANTS_LEASED_TO_ALL + 1)
            if not known:
                self.assertEqual(set(lease.shares), {"t7", *names[-MAX_TENANTS_LEASED_TO_ALL:]})

    def test_repeated_decreases_of_shares_do_not_cause_ever_more_reports(self):
        shard_leases, other_shares = [GatewayLeases(1) for _ in range(4)], {f"t{n}": 1 for n in range(MANY_TENANTS)}
        for each in shard_leases:
            each.apply(QuotaLease(1, 0.0, 1, 1, 8.0, {"t": SHARE_UNITS} | other_shares), 0.0)
        all_reports = regular_reports = 0
        due = [0.5]  # each report is answered by a lease of each shard, and each lowers a share
        epoch = 1
        while due and due[0] < 10.0 and all_reports < 1000:
            now = due.pop(0)
            all_reports += 1
            regular_reports += now % 0.5 == 0.0
            for each in shard_leases:
                each.report(now)
            if now % 0.5 == 0.0:
                due.append(now + 0.5)
            epoch += 1
            for shard_number, each in enumerate(shard_leases):
                time = now + 0.01 * (shard_number + 1)
                shares = {"t": SHARE_UNITS - epoch % 2 * SHARE_UNITS // 2} | other_shares
                if each.apply(QuotaLease(1, now, 1, epoch, 8.0, shares), time):
                    due.append(time)
            due.sort()
        self.assertEqual(regular_reports, 19)
        self.assertLessEqual(all_reports, 3 * regular_reports)
        self.assertGreater(all_reports, regular_reports)  # the first one is sent at once

    def test_an_increase_waits_until_the_decrease_is_confirmed(self):
        grantor, one, two = QuotaLeaseGrantor(1, set(), 2, 0.0), GatewayLeases(1), GatewayLeases(1)
        for gateway_leases, gateway in ((one, "one"), (two, "two")):
            gateway_leases.apply(grantor.report(gateway, {"t": 5.0}, gateway_leases.report(0.1), 0.1), 0.1)
        decreased = grantor.report("one", {"t": 0.0}, one.report(0.5), 0.5)  # in flight
        blocked = grantor.report("two", {"t": 5.0}, two.report(0.6), 0.6)
        self.assertLessEqual(blocked.shares["t"], SHARE_UNITS // 2)
        self.assertTrue(one.apply(decreased, 0.7))
        grantor.report("one", {"t": 0.0}, one.report(0.7), 0.7)
        raised = grantor.report("two", {"t": 5.0}, two.report(0.8), 0.8)
        self.assertAlmostEqual(raised.shares["t"] / SHARE_UNITS, 0.9, places=3)

    def test_a_replaced_grantor_grants_nothing(self):
        grantor = QuotaLeaseGrantor(4, set(), 1, 0.0)
        self.assertIsNone(grantor.report("one", {"t": 1.0}, LeaseReport(1, 0.0, 5, 1, 2.0, {"t": 9}), 0.0))
        gateway_leases = GatewayLeases(1)
        new, old = (
            QuotaLeaseGrantor(5, set(), 1, 0.0),
            grantor.report("one", {"t": 1.0}, gateway_leases.report(0.0), 0.0),
        )
        self.assertTrue(gateway_leases.apply(new.report("one", {"t": 1.0}, gateway_leases.report(0.1), 0.1), 0.1))
        self.assertFalse(gateway_leases.apply(old, 0.2))
        self.assertEqual(gateway_leases.fencing_token, 5)

    def test_an_answer_of_the_previous_grantor_still_in_flight_is_accounted_for(self):
        old, one, two = QuotaLeaseGrantor(1, set(), 2, 0.0), GatewayLeases(1), GatewayLeases(1)
        one.apply(old.report("one", {"t": 5.0}, one.report(0.1), 0.1), 0.1)
        raised = old.report("one", {"t": 5.0}, one.report(0.2), 0.2)
        raised.shares["t"] = SHARE_UNITS  # all that was free
        new = QuotaLeaseGrantor(2, {"one"}, 2, 0.3)
        first = new.report("one", {"t": 5.0}, one.report(0.4), 0.4)
        two.apply(new.report("two", {"t": 5.0}, two.report(0.4), 0.4), 0.4)
        two.apply(new.report("two", {"t": 5.0}, two.report(0.5), 0.5), 0.5)
        one.apply(raised, 0.5)
        self.assertEqual((one.share("t", 0.5), two.share("t", 0.5)), (1.0, None))
        one.apply(first, 0.6)  # only the fencing token: its lease has changed since it reported
        one.apply(new.report("one", {"t": 5.0}, one.report(0.7), 0.7), 0.7)
        two.apply(new.report("two", {"t": 5.0}, two.report(0.8), 0.8), 0.8)
        self.assertEqual((one.share("t", 0.8), two.share("t", 0.8)), (1.0, None))

    def test_late_reports_and_ended_processes_get_no_answer(self):
        grantor, old, new = QuotaLeaseGrantor(1, set(), 1, 0.0), GatewayLeases(1), GatewayLeases(2)
        late = old.report(0.0)
        self.assertIsNotNone(grantor.report("one", {"t": 1.0}, old.report(0.1), 0.1))
        self.assertIsNone(grantor.report("one", {"t": 1.0}, late, 0.2))
        self.assertIsNotNone(grantor.report("one", {"t": 1.0}, new.report(0.3), 0.3))
        self.assertIsNone(grantor.report("one", {"t": 1.0}, old.report(0.4), 0.4))
        grantor.leave("one", 2, 0.5)
        self.assertEqual(grantor.in_use("t"), 0.0)
        self.assertIsNone(grantor.report("one", {"t": 1.0}, new.report(0.6), 0.6))

    def test_a_process_with_a_lower_incarnation_is_served_after_a_term_of_silence(self):
        terms = GrantorTerms()
        grantor, high, low = QuotaLeaseGrantor(1, set(), 1, 0.0), GatewayLeases(9), GatewayLeases(3)
        grantor.report("one", {"t": 1.0}, high.report(0.0), 0.0)
        self.assertIsNone(grantor.report("one", {"t": 1.0}, low.report(1.0), 1.0))
        later = terms.term_s + terms.margin_s + 0.5
        self.assertIsNotNone(grantor.report("one", {"t": 1.0}, low.report(later), later))

    def test_a_share_is_reassigned_only_after_it_has_expired_on_the_slowest_clock(self):
        grantor, slow, fast = QuotaLeaseGrantor(1, set(), 1, 0.0), 0.99, 1.01
        gateway_leases = GatewayLeases(1)
        gateway_leases.apply(grantor.report("one", {"t": 1.0}, gateway_leases.report(0.0), 0.0), 0.0)
        end = GrantorTerms().term_s / slow
        self.assertIsNotNone(gateway_leases.share("t", (end - 0.01) * slow))
        second_lease = grantor.report("two", {"t": 1.0}, GatewayLeases(1).report(0.0), end * fast)
        self.assertEqual(second_lease.shares, {})

    def test_all_gateways_on_the_floor_use_less_than_the_slack(self):
        for gateways in (1, 14, 96):
            each = floor_requests(81, 81, 5, 0.1, 20, gateways)
            self.assertLess(each * gateways, 0.6 * (20 + 0.1 * (81 * 5 + 81)))
        self.assertEqual(floor_requests(0, 0, 5, 0.1, 20, 3), float("inf"))


class KnownBorrowersTest(unittest.TestCase):
    """The gateways that the next grantor must know; if one is missing, a share in use would be granted again."""

    LEASE_LIFETIME_S = 9.0

    def update_until(self, known, until, start=0.0, is_majority_reachable=True):
        for step in range(int((until - start) * 20) + 1):
            known.update(start + step / 20, is_majority_reachable)

    def test_a_controller_that_has_lost_its_disk_knows_nobody_until_every_lease_has_ended(self):
        known = KnownBorrowers((), False, 0.0, self.LEASE_LIFETIME_S)
        self.update_until(known, 8.9)
        known.record(["d1"], 8.0)
        self.assertIsNone(known.known(8.9))
        self.update_until(known, 9.1, 8.9)
        self.assertEqual(known.known(9.1), {"d1"})

    def test_a_controller_that_kept_its_disk_knows_the_stored_gateways(self):
        known = KnownBorrowers(["d1", "d2"], True, 0.0, self.LEASE_LIFETIME_S)
        self.assertEqual(known.known(0.2), {"d1", "d2"})

    def test_a_gateway_with_a_lease_counts_until_the_lease_has_ended(self):
        known = KnownBorrowers((), True, 0.0, self.LEASE_LIFETIME_S)
        known.record(["d1"], 1.0)
        self.update_until(known, 9.9)
        self.assertEqual(known.known(9.9), {"d1"})
        self.update_until(known, 10.1, 9.9)
        self.assertEqual(known.known(10.1), set())

    def test_leases_may_have_been_granted_unnoticed_during_a_freeze_or_a_partition(self):
        for cause in ("still", "cut"):
            with self.subTest(cause=cause):
                known = KnownBorrowers((), True, 0.0, self.LEASE_LIFETIME_S)
                self.update_until(known, 5.0)
                if cause == "cut":
                    self.update_until(known, 8.0, 5.0, is_majority_reachable=False)
                self.assertIsNone(known.known(8.0))
                self.update_until(known, 16.9, 8.0)
                self.assertIsNone(known.known(16.9))
                self.update_until(known, 17.1, 16.9)
                self.assertEqual(known.known(17.1), set())

    def test_controllers_that_wait_for_each_other_at_a_start_have_missed_nothing(self):
        known = KnownBorrowers(["d1"], True, 0.0, self.LEASE_LIFETIME_S)
        self.update_until(known, 4.0, is_majority_reachable=False)
        self.update_until(known, 4.1, 4.0)
        self.assertEqual(known.known(4.1), {"d1"})

    def test_a_grantor_without_its_disk_does_not_reassign_the_lease_of_an_unreachable_gateway(self):
        """Reduced from a random schedule.

        d1 holds the whole quota and is partitioned; the controller restarts without its disk, acquires the role, and
        hears only d2.
        """
        one, two = GatewayLeases(1), GatewayLeases(2)
        before = QuotaLeaseGrantor(1, set(), 1, 0.0)
        one.apply(before.report("d1", {"t": 5.0}, one.report(0.0), 0.0), 0.0)
        self.assertEqual(one.share("t", 0.1), 1.0)
        known = KnownBorrowers((), False, 0.5, self.LEASE_LIFETIME_S)
        known.record(["d2"], 1.0)
        after = QuotaLeaseGrantor(2, known.known(1.0), 1, 1.0)
        for now in (1.0, 1.5, 2.0, 7.9):
            lease = after.report("d2", {"t": 5.0}, two.report(now), now)
            two.apply(lease, now)
            self.assertLessEqual((one.share("t", now) or 0) + (two.share("t", now) or 0), 1.0)
        two.apply(after.report("d2", {"t": 5.0}, two.report(9.5), 9.5), 9.5)
        self.assertEqual(two.share("t", 9.5), 1.0)


if __name__ == "__main__":
    unittest.main()
