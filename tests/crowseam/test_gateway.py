"""A gateway's timers and attempts, with simulated servers: what a client gets, and when."""

import contextlib
import unittest
from collections import Counter
from heapq import heappop, heappush
from random import Random
from unittest import mock

from crowseam.configuration.model import Configuration
from crowseam.configuration.routing import Table
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.gateway import STREAM_GRACE_S, Gateway
from crowseam.gateway.load_balancer import LoadBalancer, Send
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget
from crowseam.simulator.world.patches import simulated_environment
from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer
from tests.crowseam import test_controller
from tests.crowseam.test_configuration import patch, put, route, svc
from tests.crowseam.test_load_balancer import ROUTES

TIMEOUT_S = 2.0  # time left of each request here
MAX_OVERRUN_S = 0.25  # past the timeout, within which a request must be answered
SERVERS = [ServerRecord(f"i-{number}", "s", f"10.9.0.{number}:80", "z", "v", 4) for number in (1, 2, 3)]


class Case(unittest.TestCase):
    def setUp(self):
        system = test_controller.SimulatedCluster(1)
        self.world, process = system.world, system.network.process("x", "10.1.0.30")
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        stack.enter_context(simulated_environment(self.world, lambda event, **fields: None))
        self.process = process
        self.world.enter(process)
        self.gateway = Gateway(process.loop, system.settings("gateway", False), Random(1), 100)
        self.gateway.budget.set_gateway_count(1, 0.0)
        self.gateway.budget._slack_available_at = 0.0  # as if the gateway had run for a whole window
        self.gateway.update_servers(SERVERS, True)
        self.exchanges, self.answers = [], []
        self.gateway.backends.begin = lambda exchange, ident: self.exchanges.append(exchange)

    def ask(self, kind):
        """Send a request on this kind of route; its answers go to `answers` as (time, call, arguments)."""
        client = mock.Mock()
        for name in ("send_answer", "begin", "write_body", "finish", "abort"):
            getattr(client, name).side_effect = lambda *args, name=name: self.answers.append(
                (self.world.now, name, args)
            )
        parsed = mock.Mock(txn=b"%d" % len(self.exchanges), route=ROUTES[kind], tenant="", upload=None)
        parsed.time_left = TIMEOUT_S
        self.asked_at = self.world.now
        return self.gateway.admit(client, parsed)

    def wait(self, until):
        """Run the simulation until so many seconds after the request."""
        self.world.run(self.asked_at + until)
        self.world.enter(self.process)

    def connect(self, exchange):
        """Connect the exchange, and write its request to the server."""
        exchange.connection = mock.Mock(may_have_run=True)

    def calls(self):
        return [(name, *args[:1]) for _, name, args in self.answers]


class Timeouts(Case):
    def test_a_request_at_a_silent_server_is_answered_at_the_timeout(self):
        self.ask("once")
        self.connect(self.exchanges[0])
        self.wait(TIMEOUT_S + MAX_OVERRUN_S)
        self.assertEqual(self.calls(), [("send_answer", 504)])
        self.assertLess(self.answers[0][0] - self.asked_at, TIMEOUT_S + MAX_OVERRUN_S)

    def test_a_streamed_answer_is_aborted_soon_after_the_timeout(self):
        self.ask("once")
        exchange = self.exchanges[0]
        self.connect(exchange)
        exchange.receiver.begin(Answer(200, [], b"a part"), None, mock.Mock())
        self.wait(TIMEOUT_S + 0.5 * STREAM_GRACE_S)
        self.assertEqual(self.calls()[1:], [])
        self.wait(TIMEOUT_S + MAX_OVERRUN_S)
        self.assertEqual(self.calls()[1:], [("abort",)])
        self.assertLess(self.answers[1][0] - self.asked_at, TIMEOUT_S + MAX_OVERRUN_S)
        for server in self.gateway.balancer.servers.values():
            self.assertEqual(
                (server.consecutive_failures, server.in_flight), (0, 0)
            )  # it may be the client who reads slowly
        self.assertEqual(self.gateway.in_flight_count, 0)

    def test_a_streamed_answer_that_ends_soon_after_the_timeout_is_complete(self):
        self.ask("once")
        exchange = self.exchanges[0]
        self.connect(exchange)
        exchange.receiver.begin(Answer(200, [], b"a part"), None, mock.Mock())
        self.wait(TIMEOUT_S + 0.5 * STREAM_GRACE_S)
        exchange.receiver.write_body(b"the rest")
        exchange.end(Status.OK)
        self.wait(TIMEOUT_S + 1.0)
        self.assertEqual([name for _, name, _ in self.answers], ["begin", "write_body", "finish"])

    def test_a_request_that_reached_no_server_is_refused_at_its_timeout(self):
        for kind in ("once", "safe3"):
            self.exchanges.clear()
            self.answers.clear()
            self.ask(kind)  # its connection is never established
            self.wait(TIMEOUT_S + MAX_OVERRUN_S)
            self.assertEqual(self.calls(), [("send_answer", 503)], kind)
            self.assertEqual(self.gateway.in_flight_count, 0)

    def test_a_request_that_reached_a_server_fails_at_its_timeout(self):
        self.ask("safe3")
        self.connect(self.exchanges[0])
        self.wait(1.9)  # it is late, and the hedge waits for its connection
        self.assertEqual(len(self.exchanges), 2)
        self.wait(TIMEOUT_S + MAX_OVERRUN_S)
        self.assertEqual(self.calls(), [("send_answer", 504)])


class AddedRoutes(unittest.TestCase):
    """Routes that a change adds are served like the first ones under overload."""

    def test_routes_added_later_are_served_like_the_first_ones(self):
        config = Configuration.from_put(put(1, 0, svc("s"), route("a", "/a/"), route("b", "/b/")))
        first = Table(config)
        later = Table(config.patched(patch(2, 1, route("c", "/c/"))), first)
        rng = Random(5)
        admission, budget = Admission(0.0, rng), RetryBudget(0.2, 10.0, 60.0, 0.0, had_predecessor=False)
        budget.set_gateway_count(1, 0.0)
        balancer = LoadBalancer("z", admission, budget, rng)
        balancer.update_servers(SERVERS, True, 0.0)
        asked, served, ends, now = Counter(), Counter(), [], 0.0
        for number in range(6000):
            now += 0.002  # 500 requests per second; three servers with four slots each serve 240
            table = later if now > 3.0 else first
            while ends and ends[0][0] <= now:
                _, ended, attempt, name = heappop(ends)
                if balancer.on_outcome(ended, attempt, Status.OK, Answer(200, [], b""), now, (4, 0, 4)):
                    served[name] += now > 4.0
            name = rng.choice(list(table.routes))
            asked[name] += now > 4.0
            for action in balancer.on_request(number, table.routes[name], "", 2.0, now):
                if isinstance(action, Send):
                    heappush(ends, (now + 0.05 * max(1.0, action.server.in_flight / 4), number, action.attempt, name))
            if number % 250 == 0:
                admission.regulate(now)
        shares = {name: served[name] / asked[name] for name in asked}
        self.assertLess(sum(served.values()), 0.8 * sum(asked.values()))  # overload
        self.assertGreater(shares["c"], 0.8 * max(shares.values()), shares)


class StalledAnswers(Case):
    def test_a_stalled_answer_is_awaited_besides_a_hedge(self):
        self.ask("safe3")
        first = self.exchanges[0]
        self.connect(first)
        first.on_stall()
        first.on_stall()
        self.assertEqual(len(self.exchanges), 2)
        self.assertEqual(self.answers, [])
        first.end(Status.OK, Answer(200, [], b"whole"))
        self.assertEqual(self.calls(), [("send_answer", 200)])

    def test_an_unsafe_request_waits_for_its_stalled_answer(self):
        self.ask("unsafe3")
        first = self.exchanges[0]
        self.connect(first)
        self.wait(0.6)
        first.on_stall()
        self.assertEqual((len(self.exchanges), self.answers), (1, []))
        first.end(Status.OK, Answer(200, [], b"whole"))
        self.assertEqual(self.calls(), [("send_answer", 200)])

    def test_a_stalled_answer_is_reported_as_an_outlier_once(self):
        self.ask("once")
        self.exchanges[0].end(Status.OK, Answer(200, [], b""))
        self.ask("unsafe3")
        self.wait(0.1)
        self.exchanges[1].on_stall()
        self.exchanges[1].on_stall()
        self.assertEqual(list(self.gateway.balancer.take_outlier_counts(self.world.now).values()), [1])


if __name__ == "__main__":
    unittest.main()
