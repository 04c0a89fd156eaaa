"""Servers reserved for short requests: which, how many, and which requests use them."""

import unittest
from dataclasses import dataclass
from random import Random

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.load_balancer import LoadBalancer, Send
from crowseam.gateway.reserved_servers import MAX_RESERVED_SHARE, MIN_REQUESTS, MIN_RESERVED_SHARE, ReservedServers
from crowseam.quotas.admission import Admission
from crowseam.quotas.retry_budget import RetryBudget
from fennelpoint.interface import Status


@dataclass
class Server:
    id: str
    az: str
    usable: bool = True
    rank: float = 1.0


def classify_many(reserved_servers, count, short_share, rng):
    """Classify requests of 0.05 s and 0.3 s; `short_part`: the share of the short ones."""
    mean = short_share * 0.05 + (1.0 - short_share) * 0.3
    for _ in range(count):
        reserved_servers.classify("a", 0.05 if rng.random() < short_share else 0.3, mean)


class ReservedServersTest(unittest.TestCase):
    def test_each_zone_reserves_its_own_and_a_removed_server_moves_the_boundary_by_one(self):
        servers = [Server(f"i-{zone}{n}", zone) for zone in "xyz" for n in range(8)]
        reserved_servers = ReservedServers()
        reserved_servers.rank_servers(servers)
        kept = {server.id for server in servers if server.rank < 0.25}
        self.assertEqual([sum(one[2] == zone for one in kept) for zone in "xyz"], [2, 2, 2])
        gone = next(server for server in servers if server.id in kept)
        gone.usable = False
        reserved_servers.rank_servers(servers)
        after = {server.id for server in servers if server.usable and server.rank < 0.25}
        self.assertLessEqual(len(after - kept), 1)
        self.assertLessEqual({one for one in kept - after if one[2] != gone.az}, set())

    def test_the_reserved_share_follows_the_work_of_short_requests(self):
        for short_share, least, most in (
            (0.0, 0.0, 0.0),
            (0.45, 0.2, 0.42),
            (0.7, MAX_RESERVED_SHARE, MAX_RESERVED_SHARE),
        ):
            reserved_servers, rng = ReservedServers(), Random(3)
            classify_many(reserved_servers, 2000, short_share, rng)
            self.assertTrue(
                least <= reserved_servers.reserved_share("a") <= most,
                (short_share, reserved_servers.reserved_share("a")),
            )

    def test_the_reserved_share_is_set_after_a_dozen_requests_and_steady_afterwards(self):
        reserved_servers, rng = ReservedServers(), Random(4)
        classify_many(reserved_servers, MIN_REQUESTS - 1, 0.45, rng)
        self.assertEqual(reserved_servers.reserved_share("a"), 0.0)
        classify_many(reserved_servers, 40, 0.45, rng)
        self.assertGreater(reserved_servers.reserved_share("a"), MIN_RESERVED_SHARE)
        classify_many(reserved_servers, 2000, 0.45, rng)
        seen = set()
        for _ in range(500):
            classify_many(reserved_servers, 1, 0.45, rng)
            seen.add(reserved_servers.reserved_share("a"))
        self.assertLessEqual(len(seen), 3)


class LoadBalancerTest(unittest.TestCase):
    def test_long_requests_avoid_reserved_servers_while_others_have_free_slots(self):
        rng = Random(5)
        balancer = LoadBalancer("x", Admission(0.0, rng), RetryBudget(0.2, 10.0, 60.0, 0.0, 1, False), rng)
        balancer.update_servers(
            [ServerRecord(f"i-{n}", "a", f"10.0.0.{n}:80", "x", "v1", 2) for n in range(8)], True, 0.0
        )
        routes = {
            name: Route(name, b"h", b"/", True, 9.0, target_s, 1, (("a", 1.0),), 1, True, (1.0,))
            for name, target_s in (("table", 0.2), ("summary", 1.0))
        }
        service_time_s = {"table": 0.05, "summary": 0.3}
        used_reserved = {"table": set(), "summary": set()}
        for number in range(600):
            kind, now = ("table", "summary")[number % 2], 0.5 * number
            actions = balancer.on_request(number, routes[kind], "", 2.0, now)
            server = next(action.server for action in actions if isinstance(action, Send))
            if number >= 100:
                used_reserved[kind].add(server.rank < balancer.reserved_servers.reserved_share("a"))
            balancer.on_outcome(number, 0, Status.OK, None, now + service_time_s[kind], (1, 0, 2))
        self.assertEqual(used_reserved, {"table": {True}, "summary": {False}})
