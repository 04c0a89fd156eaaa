"""Outlier detection over the fleet, and how a gateway treats an ejected server."""

import unittest
from random import Random

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.load_balancer import LoadBalancer, Send
from crowseam.membership.outliers import MAX_SILENT_EJECTION_S, OutlierDetector
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget
from fennelpoint.interface import Status

SERVERS = ("s1", "s2", "s3", "s4", "s5", "s6")


class OutlierDetectorTest(unittest.TestCase):
    def play(self, timeline):
        """Rows: time, a column for each gateway (`-s1` a failure, `--s1` two, `+s1` a success), the ejected servers."""
        outliers = OutlierDetector()
        head, *rows = [line.split() for line in timeline.strip().splitlines()]
        for row in rows:
            now = float(row[0])
            for gateway, cell in zip(head[1:-1], row[1:-1], strict=True):
                if cell != ".":
                    sign = cell[0]
                    count = len(cell) - len(cell.lstrip(sign))
                    outliers.report(gateway, {cell[count:]: count if sign == "-" else -count}, now)
            expected = [] if row[-1] == "none" else row[-1].split(",")
            ejected = outliers.ejected(dict.fromkeys(SERVERS, "loans").get, lambda _: len(SERVERS), now)
            self.assertEqual(ejected, expected, row)

    def test_three_failures_seen_by_two_gateways_eject_and_three_successes_in_a_row_end_it(self):
        self.play("""
            t    d1   d2   d3   ejected
            0    -s1  .    .    none
            0.2  .    -s1  .    none
            0.4  .    .    -s1  s1
            2    +s1  .    .    s1
            3    .    .    +s1  s1
            3.5  .    -s1  .    s1
            4    +s1  .    +s1  s1
            5    .    +s1  .    none
            6    -s1  .    .    none
        """)

    def test_occasional_failures_do_not_eject(self):
        self.play("""
            t    d1   d2   d3   ejected
            0    -s1  .    .    none
            1    .    -s1  .    none
            2    .    .    -s1  none
            3    -s1  .    .    none
        """)

    def test_failures_seen_by_one_gateway_do_not_eject(self):
        self.play("""
            t    d1    d2   ejected
            0    --s1  .    none
            0.3  --s1  .    none
            0.6  --s1  -s1  s1
        """)

    def test_servers_without_reports_and_unknown_servers_are_not_ejected(self):
        self.play(f"""
            t          d1    d2    ejected
            0          --s1  -s1   s1
            0.1        --s9  -s9   s1
            {MAX_SILENT_EJECTION_S}    .     .     s1
            {MAX_SILENT_EJECTION_S + 0.1} .  .     none
        """)

    def test_at_most_a_third_of_a_service_is_ejected(self):
        self.play("""
            t    d1    d2    ejected
            0    --s1  -s1   s1
            0.1  --s2  -s2   s1,s2
            0.2  --s3  -s3   s1,s2
            0.3  +s1   .     s2,s3
        """)


class GatewayTest(unittest.TestCase):
    def setUp(self):
        rng = Random(5)
        admission = Admission(0.0, rng)
        self.balancer = LoadBalancer("a", admission, RetryBudget(0.2, 10.0, 60.0, 0.0, 1, False), rng)
        records = [ServerRecord(f"s{n}", "loans", f"10.0.0.{n}:80", "a", "v1", 2) for n in range(1, 5)]
        self.balancer.update_servers(records, True, 0.0)
        self.number = 0

    def ask(self, now, safe=True):
        self.number += 1
        route = Route("r", b"h", b"/", safe, 2.0, 0.4, 1, (("loans", 1.0),), 3, True, (1.0,))
        actions = self.balancer.on_request(self.number, route, "", 2.0, now)
        return next(action.server.id for action in actions if isinstance(action, Send))

    def test_an_ejected_server_gets_no_unsafe_requests_and_few_safe_ones(self):
        self.balancer.set_ejected(["s1"], 0.0)
        at = 0.0
        probes = 0
        for _ in range(400):
            at += 0.02
            server = self.ask(at)
            probes += server == "s1"
            self.balancer.on_outcome(self.number, 0, Status.OK, None, at + 0.01)
            self.assertNotEqual(self.ask(at, safe=False), "s1")
            self.balancer.on_outcome(self.number, 0, Status.OK, None, at + 0.01)
            if server == "s1":
                break
        self.assertEqual(probes, 1)
        self.assertEqual(self.balancer.take_outlier_counts(at), {"s1": -1})

    def test_failures_are_reported_only_while_other_servers_succeed(self):
        self.ask(0.0, safe=False)
        self.balancer.on_outcome(self.number, 0, Status.RESET, None, 0.1)
        self.assertEqual(
            self.balancer.take_outlier_counts(0.1), {}
        )  # without any success the fault may be the gateway's
        self.ask(4.0)
        self.balancer.on_outcome(self.number, 0, Status.OK, None, 4.1)
        failing = self.ask(4.2, safe=False)
        self.balancer.on_outcome(self.number, 0, Status.ERROR, None, 4.3)
        self.assertEqual(self.balancer.take_outlier_counts(4.3), {failing: 1})
        self.assertEqual(self.balancer.take_outlier_counts(4.3), {})

    def test_an_overdue_answer_is_reported_once_and_at_once(self):
        silent = self.ask(0.0, safe=False)
        for n in range(1, 6):
            at = 0.3 * n
            if self.ask(at) != silent:
                self.balancer.on_outcome(self.number, 0, Status.OK, None, at + 0.1)
        reports = [self.balancer.take_outlier_counts(1.5 + 0.1 * n) for n in range(3)]
        self.assertEqual(reports, [{silent: 1}, {}, {}])
        self.assertNotEqual(self.ask(1.6, safe=False), silent)
