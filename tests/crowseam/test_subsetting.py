"""Subsets of a large service, as servers are added, removed and fail.

Timelines: a verb of VERBS or a method of `Fleet`, the servers as ``ZONE:FROM-TO``, the minimum and maximum share of
gateways whose subset changes, and the maximum number of servers that are new in one subset.
"""

import random
import unittest
from collections import Counter

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.load_balancer import LoadBalancer, RequestState
from crowseam.gateway.subsetting import SUBSET_SIZE, SUBSETTING_THRESHOLD, Subsets

VERBS = {"join": {}, "gone": {"phase": "gone"}, "drain": {"phase": "draining"}, "move": {"az": "d"}}
ROUTE = Route("r", b"gateway.example", b"/", True, 5.0, 0.5, 0, (("s", 1.0),), 2, False, (1.0,))


def record(name, **fields):
    return ServerRecord(name, "s", f"10.0.0.1:{name[2:]}", fields.pop("az", name[0]), "v", 4, **fields)


class Fleet:
    """Load balancers of many gateways, one third of them in each zone, and their servers."""

    def __init__(self, gateways, servers):
        self.balancers = [
            LoadBalancer("abc"[n % 3], None, None, random.Random(n), f"gateway-{n}") for n in range(gateways)
        ]
        self.update([f"{'abc'[n % 3]}:{n // 3}" for n in range(servers)])

    def update(self, names, **fields):
        for balancer in self.balancers:
            balancer.update_servers([record(name, **fields) for name in names], False, 0.0)

    def silent(self, names):
        for balancer in self.balancers:
            balancer.set_silent(names)

    def fail(self, names):
        for balancer in self.balancers:
            for name in names:
                balancer._record_failure(balancer.servers[name], 0.0, 0.0)

    def sets(self):
        return [balancer.subsets.candidates("s", balancer.services["s"])[0] for balancer in self.balancers]


class StabilityTest(unittest.TestCase):
    def play(self, fleet, timeline):
        before = [{server.id for server in one} for one in fleet.sets()]
        for line in filter(None, map(str.strip, timeline.splitlines())):
            verb, servers_text, least, greatest, most_new = line.split()
            first, _, last = servers_text[2:].partition("-")
            names = [f"{servers_text[0]}:{n}" for n in range(int(first), int(last or first) + 1)]
            fleet.update(names, **VERBS[verb]) if verb in VERBS else getattr(fleet, verb)(names)
            after = [{server.id for server in one} for one in fleet.sets()]
            new_counts = [len(new - old) for old, new in zip(before, after, strict=True)]
            changed_share = sum(map(set.__ne__, before, after)) / len(after)
            self.assertTrue(
                float(least) <= changed_share <= float(greatest) and max(new_counts) <= int(most_new),
                (line, changed_share),
            )
            for balancer, one in zip(fleet.balancers, fleet.sets(), strict=True):
                healthy = [
                    sum(s.usable and not (s.is_silent or s.consecutive_failures) for s in servers)
                    for servers in (one, balancer.services["s"])
                ]
                self.assertEqual(healthy[0], min(SUBSET_SIZE, healthy[1]), line)
                self.assertTrue(all(s.usable for s in one) and len(one) <= 2 * SUBSET_SIZE, line)
            before = after

    def test_a_server_changes_only_the_subsets_that_contain_it(self):
        # Each of 480 servers is in about a tenth of the subsets.
        self.play(
            Fleet(120, 480),
            """
            gone   a:7       0.03  0.20   1
            join   a:7       0.03  0.20   1
            drain  b:9       0.03  0.20   1
            fail   c:1       0.03  0.20   1
            move   c:4       0.0   0.20   1
            gone   c:4       0.0   0.20   1
        """,
        )

    def test_lost_servers_are_replaced_in_the_subsets_as_far_as_possible(self):
        self.play(
            Fleet(30, 480),
            """
            silent a:0-159   1.0   1.0   96
            drain  b:0-149   1.0   1.0   96
            gone   c:0-139   1.0   1.0   96
            fail   c:140-150 0.0   1.0   96
            silent c:150     1.0   1.0   96
        """,
        )

    def test_a_small_service_has_no_subsets(self):
        fleet = Fleet(3, SUBSETTING_THRESHOLD)
        self.assertIs(fleet.sets()[0], fleet.balancers[0].services["s"])
        fleet.update(["a:900"])
        self.assertEqual([len(one) for one in fleet.sets()], 3 * [SUBSET_SIZE])
        fleet.update(["a:900"], phase="gone")
        self.assertEqual([len(one) for one in fleet.sets()], 3 * [SUBSETTING_THRESHOLD])

    def test_when_the_subset_is_full_the_second_list_is_used_and_no_more(self):
        balancer = Fleet(1, 480).balancers[0]
        first, second = balancer.subsets.candidates("s", balancer.services["s"])
        for servers, found in ((first, second), (second, [None])):
            for server in servers:
                server.in_flight, server.reported_at = 99, 0.0
            self.assertIn(balancer._choose_server(RequestState(1, ROUTE, "", 0.0, 5.0, "s"), 0.1), found)

    def test_load_of_a_thousand_gateways_is_even(self):
        load, near = Counter(), 0.0
        servers = Fleet(1, 500).balancers[0].services["s"]
        for n in range(1000):
            subsets = Subsets(f"gateway-{n}", "abc"[n % 3])
            subsets.add(servers[-1], servers)
            first = subsets.candidates("s", servers)[0]
            load.update({server.id: 1.0 / len(first) for server in first})
            near += sum(server.az == subsets.az for server in first) / len(first) / 1000
        self.assertEqual(len(load), 500)
        self.assertTrue(0.6 * 2.0 < min(load.values()) and max(load.values()) < 1.45 * 2.0)
        self.assertTrue(0.55 < near < 0.75, near)
