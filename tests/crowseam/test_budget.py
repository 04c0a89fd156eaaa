"""The retry budget, compared with the limit summed over all gateways."""

import unittest
from bisect import bisect_left, bisect_right
from random import Random

from crowseam.quotas.retry_budget import RetryBudget, SlidingMaximum


class BudgetTest(unittest.TestCase):
    def test_without_requests_a_gateway_has_its_part_of_the_slack_once_a_window(self):
        budget = RetryBudget(0.2, 10.0, 100, now=0.0, had_predecessor=False)
        budget.set_gateway_count(7, 0.0)
        spent = [t for t in range(40) if budget.try_spend("svc", t * 0.1)]
        self.assertEqual(len(spent), 10)  # 0.7 x 100 / 7
        self.assertFalse(budget.may_retry("svc", 9.9))
        self.assertTrue(budget.may_retry("svc", 10.3))
        self.assertTrue(budget.may_retry("other", 4.0))

    def test_a_restarted_gateway_waits_a_window_for_its_part_of_the_slack(self):
        budget = RetryBudget(0.2, 10.0, 100, now=50.0)
        budget.set_gateway_count(7, 50.0)
        self.assertFalse(budget.try_spend("svc", 59.9))
        for _ in range(100):
            budget.record_first_attempt("svc", 51.0)
        self.assertEqual(sum(budget.try_spend("svc", 52.0) for _ in range(50)), 14)  # 0.7 x 0.2 x 100
        self.assertTrue(budget.try_spend("other", 60.5))

    def test_the_highest_recent_number_of_gateways_counts(self):
        budget = RetryBudget(0.2, 10.0, 100, now=0.0, default_gateways=70, had_predecessor=False)
        self.assertEqual(sum(budget.try_spend("a", 0.0) for _ in range(50)), 1)
        budget.set_gateway_count(35, 1.0)
        budget.set_gateway_count(2, 2.0)
        self.assertEqual(sum(budget.try_spend("b", 3.0) for _ in range(50)), 2)
        self.assertEqual(sum(budget.try_spend("c", 62.0) for _ in range(50)), 35)

    def test_the_limit_holds_in_every_window_summed_over_gateways(self):
        """Uneven load, bursts and restarting gateways; every window of all that was sent is checked."""
        ratio, window, slack, gateways = 0.2, 10.0, 64, 12
        for seed in range(4):
            rng = Random(seed)
            budgets = [RetryBudget(ratio, window, slack, 0.0, had_predecessor=False) for _ in range(gateways)]
            first_attempts, retries = [], []
            for step in range(1, 6000):
                now = step * 0.01
                index = min(int(rng.expovariate(0.3)), gateways - 1)
                budgets[index].set_gateway_count(gateways, now)
                for _ in range(3 if step % 2000 < 500 else 1):
                    budgets[index].record_first_attempt("svc", now)
                    first_attempts.append(now)
                for _ in range(3):  # every attempt fails
                    if budgets[index].try_spend("svc", now):
                        retries.append(now)
                if rng.random() < 0.001:
                    budgets[rng.randrange(gateways)] = RetryBudget(ratio, window, slack, now)

            def count(times, start):
                return bisect_right(times, start + window) - bisect_left(times, start)

            for start in retries:
                requests = max(count(first_attempts, start - shift) for shift in (0, window / 2, window))
                self.assertLessEqual(count(retries, start), ratio * requests + slack)
            self.assertGreater(len(retries), 0.5 * ratio * len(first_attempts))


class SlidingMaximumTest(unittest.TestCase):
    def test_the_highest_recent_number_counts_and_the_last_one_stays(self):
        maximum = SlidingMaximum(60.0)
        self.assertEqual(maximum.get(0.0, 96), 96)
        for now, number, expected in ((0.0, 14, 14), (10.0, 7, 14), (20.0, 9, 14), (61.0, 5, 9), (90.0, 5, 5)):
            maximum.observe(number, now)
            self.assertEqual(maximum.get(now, 96), expected)
        self.assertEqual(maximum.get(1000.0, 96), 5)


if __name__ == "__main__":
    unittest.main()
