"""Retries, hedges and choice of servers by the load balancer.

Timelines have a column for the gateway and one for each server. The gateway's cells have events: ``ask N ROUTE
[TIME_LEFT]`` (a new request), ``late N`` (its hedge timer), ``over N`` (its deadline), ``gone N`` (its client
disconnects), and the expected answer ``?give N STATUS``. A server's cells have the outcome of the attempt there:
``full N``, ``ok N [LOAD]``, ``error N [STATUS]``, ``reset N``, ``refused N``, ``timeout N``; its state: ``up``,
``draining``, ``retired``, ``gone``, ``silent``; and the expected ``<N``: the next attempt of N is sent to it.
Unexpected attempts and answers fail the test.
"""

import random
import unittest

from crowseam.configuration.routing import Route
from crowseam.discovery.server_record import ServerRecord
from crowseam.gateway.load_balancer import DrawFromReserve, LoadBalancer, Respond, Send, StartHedgeTimer
from crowseam.quotas.admission import Admission, TenantTerms
from crowseam.quotas.retry_budget import RetryBudget
from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer

PROMISES = (429, 503, 408, 421)
MAY_HAVE_RUN = (Status.ERROR, Status.RESET, Status.TIMEOUT)
OUTCOMES = {
    "ok": Status.OK,
    "error": Status.ERROR,
    "full": Status.FULL,
    "reset": Status.RESET,
    "timeout": Status.TIMEOUT,
    "refused": Status.CONNECT_FAILED,
    "moot": Status.NOT_SENT,
}
STATES = {"up": {}, "draining": {"phase": "draining"}, "gone": {"phase": "gone"}, "retired": {"retired": 1}}


def route(name, safe, tries):
    return Route(name, b"gateway.example", b"/", safe, 5.0, 0.5, 0, (("s", 1.0),), tries, False, (1.0,))


ROUTES = {
    name: route(name, name.startswith("safe"), tries)
    for name, tries in (("safe", 2), ("safe3", 3), ("unsafe", 2), ("unsafe3", 3), ("once", 1))
}


class ConstantRandom(random.Random):
    """Makes the load balancer choose the first of several servers with the same cost."""

    def random(self):
        return 0.0


class World:
    """A load balancer and its requests; checks every attempt and every answer against the rules."""

    def __init__(self, case, servers, ratio=0.0, slack=60.0, rng=None, slots=4):
        self.case, self.rng, self.slots = case, rng or ConstantRandom(1), slots
        self.admission = Admission(0.0, self.rng)
        self.budget = RetryBudget(ratio, 10.0, slack, 0.0, had_predecessor=False)
        self.budget.set_gateway_count(1, 0.0)
        self.balancer = LoadBalancer("z", self.admission, self.budget, self.rng)
        self.state = {name: "up" for name in servers}
        self.balancer.update_servers([self.record(name) for name in servers], True, 0.0)
        self.routes, self.sent, self.in_flight, self.may_have_run, self.answers = {}, {}, {}, set(), {}
        self.hedge_timers, self.draws, self.reached_server = {}, [], set()

    def record(self, name):
        return ServerRecord(name, "s", f"10.0.0.{ord(name)}:80", "z", "v", self.slots, **STATES[self.state[name]])

    def set_state(self, name, state, now):
        self.state[name] = state
        self.balancer.update_servers([self.record(name)], False, now)

    def ask(self, number, kind, now, time_left_s=5.0, tenant="", reserve_wait_s=None):
        self.routes[number] = ROUTES[kind]
        self.sent.setdefault(number, [])
        self.in_flight.setdefault(number, {})
        self.execute(self.balancer.on_request(number, ROUTES[kind], tenant, time_left_s, now, reserve_wait_s))

    def outcome(self, number, attempt, status, now, code=500, load=None):
        del self.in_flight[number][attempt]
        if status in MAY_HAVE_RUN:
            self.may_have_run.add(number)
        if status not in (Status.CONNECT_FAILED, Status.NOT_SENT):
            self.reached_server.add(number)
        answer = Answer(200 if status is Status.OK else code, [], b"")
        self.execute(
            self.balancer.on_outcome(
                number, attempt, status, answer if status in (Status.OK, Status.ERROR) else None, now, load
            )
        )

    def execute(self, actions):
        for action in actions:
            if isinstance(action, Send):
                number, name = action.id, action.server.id
                self.case.assertNotIn(number, self.answers, "sent after it was answered")
                self.case.assertNotIn(name, self.sent[number], "sent twice to one server")
                self.case.assertEqual(self.state[name], "up", "sent to a server that is not up")
                if not self.routes[number].safe:
                    self.case.assertFalse(
                        number in self.may_have_run or self.in_flight[number], "an unsafe request may run twice"
                    )
                self.sent[number].append(name)
                # Being moved away from a server that left, before any server had the request, is no try.
                tries = [
                    each for each in self.sent[number] if number in self.reached_server or self.state[each] == "up"
                ]
                self.case.assertLessEqual(len(tries), self.routes[number].tries)
                self.in_flight[number][action.attempt] = name
            elif isinstance(action, Respond):
                self.case.assertNotIn(action.id, self.answers, "answered twice")
                status = action.answer.status if action.answer is not None else action.status
                if status in PROMISES and not self.routes[action.id].safe:
                    self.case.assertFalse(
                        action.id in self.may_have_run or self.in_flight[action.id],
                        "may have run, but the status promises that it has not",
                    )
                self.case.assertEqual(action.retry_after_s > 0.0, status in PROMISES)
                self.answers[action.id] = status
            elif isinstance(action, StartHedgeTimer):
                self.hedge_timers[action.id] = action.at
            elif isinstance(action, DrawFromReserve):
                self.draws.append(action)

    def check_in_flight(self):
        """Check the count of requests in flight of each server."""
        for server in self.balancer.servers.values():
            count = sum(
                server.id in attempts.values()
                for number, attempts in self.in_flight.items()
                if number not in self.answers
            )
            self.case.assertEqual(server.in_flight, count, f"in flight at {server.id}")


def play(case, text, **settings):
    lines = [[cell.strip() for cell in line.split("|")] for line in text.splitlines() if line.strip()]
    names = lines[0][2:]
    world = World(case, names, **settings)
    checked, sends = set(), {}
    for time, *cells in lines[1:]:
        now, line = float(time), " | ".join([time, *cells])
        steps = [(place, step.strip()) for place, cell in enumerate(cells) for step in cell.split(";") if step.strip()]
        # Events of a line come before its expectations, whatever the column.
        for place, step in sorted(steps, key=lambda each: each[1][0] in "?<"):
            verb, *args = step.split()
            name = names[place - 1] if place else ""
            if verb == "ask":
                world.ask(args[0], args[1], now, *map(float, args[2:]))
            elif verb == "late":
                world.execute(world.balancer.on_hedge_timer(args[0], now))
            elif verb == "over":
                world.execute(world.balancer.on_deadline(args[0], now))
            elif verb == "gone" and args:
                world.balancer.on_client_gone(args[0], now)
                world.answers[args[0]] = None
                checked.add(args[0])
            elif verb == "?give":
                case.assertEqual(str(world.answers.get(args[0])), args[1], line)
                checked.add(args[0])
            elif verb in STATES:
                world.set_state(name, verb, now)
            elif verb == "silent":
                world.balancer.set_silent([name])
            elif verb in OUTCOMES:
                attempt = next(a for a, where in world.in_flight[args[0]].items() if where == name)
                load = tuple(map(int, args[1].split(","))) if verb == "ok" and args[1:] else None
                code = int(args[1]) if verb == "error" and args[1:] else 500
                world.outcome(args[0], attempt, OUTCOMES[verb], now, code, load)
            elif verb.startswith("<"):
                sent_number = verb[1:]
                place = sends[sent_number] = sends.get(sent_number, 0) + 1
                case.assertEqual(world.sent[sent_number][place - 1 : place], [name], line)
            else:
                raise ValueError(line)
        case.assertEqual({number: len(sent) for number, sent in world.sent.items() if sent}, sends, line)
        case.assertEqual(set(world.answers), checked, line)
        world.check_in_flight()
    return world


class Retries(unittest.TestCase):
    def test_a_request_that_was_not_run_is_retried_elsewhere(self):
        play(
            self,
            """
            time | gateway        | a       | b          | c
            0    | ask 1 unsafe3 | <1    |            |
            0.01 |             | full 1  | <1         |
            0.02 |             |         | refused 1  | <1
            0.10 | ?give 1 200 |         |            | ok 1
            """,
        )

    def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused(self):
        for ended, status in (
            ("reset 1", 502),
            ("timeout 1", 502),
            ("error 1", 500),
            ("error 1 503", 502),
            ("error 1 429", 502),
            ("error 1 408", 502),
        ):
            with self.subTest(ended):
                play(
                    self,
                    f"""
                    time | gateway           | a       | b
                    0    | ask 1 unsafe   | <1      |
                    0.1  | ?give 1 {status} | {ended} |
                    """,
                )

    def test_a_reset_after_a_refusal_is_not_answered_as_a_refusal(self):
        play(
            self,
            """
            time | gateway          | a       | b
            0    | ask 1 unsafe3 | <1      |
            0.01 |               | full 1  | <1
            0.02 | ?give 1 502   |         | reset 1
            """,
        )

    def test_tries_are_bounded_and_a_request_that_never_ran_gets_503(self):
        play(
            self,
            """
            time | gateway         | a         | b       | c
            0    | ask 1 unsafe | <1        |         |
            0.01 |              | refused 1 | <1      |
            0.02 | ?give 1 503  |           | full 1  |
            0.03 | ask 2 once   |           |         | <2
            0.04 | ?give 2 503  |           |         | full 2
            """,
        )

    def test_without_budget_only_what_reached_no_server_is_retried(self):
        play(
            self,
            """
            time | gateway         | a         | b
            0    | ask 1 safe   | <1        |
            0.01 |              | refused 1 | <1
            0.02 | ?give 1 200  |           | ok 1
            0.3  | ask 2 safe   |           | <2
            0.31 | ?give 2 503  |           | full 2
            0.6  | ask 3 safe   | <3        |
            0.61 | ?give 3 502  | reset 3   |
            """,
            slack=0.0,
        )

    def test_each_retry_spends_the_budget(self):
        # A slack of 2, of which 0.7 are usable, allows one retry in ten seconds.
        play(
            self,
            """
            time | gateway         | a        | b
            0    | ask 1 safe   | <1       |
            0.01 |              | full 1   | <1
            0.02 | ?give 1 200  |          | ok 1
            1    | ask 2 safe   |          | <2
            1.01 | ?give 2 503  |          | full 2
            12   | ask 3 safe   |          | <3
            12.01 |             | <3       | full 3
            12.1 | ?give 3 200  | ok 3     |
            """,
            slack=2.0,
        )

    def test_the_last_error_answer_of_a_server_is_forwarded(self):
        play(
            self,
            """
            time | gateway         | a           | b
            0    | ask 1 safe   | <1          |
            0.1  |              | error 1 500 | <1
            0.2  | ?give 1 500  |             | reset 1
            """,
        )

    def test_no_retry_shortly_before_the_deadline(self):
        play(
            self,
            """
            time | gateway             | a         | b
            0    | ask 1 safe 0.5   | <1        |
            0.49 | ?give 1 504      | reset 1   |
            1    | ask 2 unsafe 0.5 | <2        |
            1.49 | ?give 2 503      | full 2    |
            """,
        )


class Hedges(unittest.TestCase):
    def test_a_late_safe_request_is_hedged_and_the_first_answer_counts(self):
        world = play(
            self,
            """
            time | gateway         | a       | b     | c
            0    | ask 1 safe3  | <1      |       |
            0.3  | late 1       |         |       |
            0.6  | late 1       |         | <1    |
            0.7  | ?give 1 200  |         | ok 1  |
            0.8  |              | ok 1    |       |
            """,
        )
        self.assertAlmostEqual(world.hedge_timers["1"], 0.5625 + 0.6, 3)

    def test_a_failed_attempt_does_not_end_a_request_with_another_in_flight(self):
        play(
            self,
            """
            time | gateway         | a       | b     | c
            0    | ask 1 safe3  | <1      |       |
            0.6  | late 1       |         | <1    |
            0.7  |              | reset 1 |       |
            0.8  |              |         | full 1 | <1
            0.9  | ?give 1 200  |         |       | ok 1
            """,
        )

    def test_an_unsafe_request_is_never_hedged(self):
        world = play(
            self,
            """
            time | gateway          | a       | b
            0    | ask 1 unsafe3 | <1      |
            4    | late 1        |         |
            4.9  | ?give 1 200   | ok 1    |
            """,
        )
        self.assertEqual(world.hedge_timers, {})

    def test_a_hedge_needs_budget(self):
        play(
            self,
            """
            time | gateway          | a       | b
            0    | ask 1 safe    | <1      |
            0.6  | late 1        |         |
            0.7  | ?give 1 200   | ok 1    |
            """,
            slack=0.0,
        )


class Servers(unittest.TestCase):
    def test_leaving_servers_get_no_new_requests_and_finish_theirs(self):
        play(
            self,
            """
            time | gateway         | a          | b        | c        | d
            0    | ask 1 unsafe | <1         |          |          |
            0.1  |              | draining   | retired  | gone     |
            0.11 | ask 2 unsafe |            |          |          | <2
            0.2  | ?give 1 200; ?give 2 200 | ok 1 |    |          | ok 2
            0.3  |              |            | up       |          | draining
            0.31 | ask 3 safe   |            | <3       |          |
            0.4  | ?give 3 503  |            | full 3   |          |
            0.5  |              |            | gone     |          |
            0.51 | ask 4 safe; ?give 4 503 | |          |          |
            """,
        )

    def test_a_server_that_left_meanwhile_is_not_chosen_for_a_retry(self):
        play(
            self,
            """
            time | gateway         | a          | b        | c
            0    | ask 1 safe   | <1         |          |
            0.1  |              |            | draining |
            0.2  |              | reset 1    |          | <1
            0.3  | ?give 1 200  |            |          | ok 1
            """,
        )

    def test_the_answer_of_a_removed_server_still_counts(self):
        play(
            self,
            """
            time | gateway         | a          | b
            0    | ask 1 unsafe | <1         |
            0.1  |              | gone       |
            0.2  | ?give 1 200  | ok 1       |
            """,
        )

    def test_a_server_that_failed_is_in_backoff(self):
        play(
            self,
            """
            time | gateway         | a          | b        | c
            0    | ask 1 safe   | <1         |          |
            0.01 |              | reset 1    | <1       |
            0.02 | ?give 1 200  |            | ok 1     |
            0.1  |              |            | draining |
            0.11 | ask 2 safe   |            |          | <2
            0.3  | ask 3 safe   | <3         |          |
            0.4  | ?give 2 200; ?give 3 200 | ok 3 |    | ok 2
            """,
        )

    def test_a_silent_server_is_the_last_choice(self):
        play(
            self,
            """
            time | gateway         | a          | b
            0    |              | silent     |
            0.01 | ask 1 safe   |            | <1
            0.02 |              | <1         | reset 1
            0.03 | ask 2 safe   |            | <2
            0.1  | ?give 1 200; ?give 2 200 | ok 1 | ok 2
            0.2  |              |            | draining
            0.21 | ask 3 safe   | <3         |
            0.3  | ?give 3 200  | ok 3       |
            """,
        )

    def test_if_all_servers_are_in_backoff_requests_probe_them(self):
        play(
            self,
            """
            time | gateway           | a          | b
            0    | ask 1 safe     | <1         |
            0.01 |                | refused 1  | <1
            0.02 | ?give 1 503    |            | refused 1
            0.03 | ask 2 safe     | <2         |
            0.04 | ask 3 unsafe   |            | <3
            0.1  | ?give 2 200; ?give 3 200 | ok 2 | ok 3
            """,
        )

    def test_a_full_server_is_avoided_for_a_short_time(self):
        play(
            self,
            """
            time | gateway                     | a          | b
            0    | ask 1 safe               | <1         |
            0.01 |                          | full 1     | <1
            0.03 | ask 2 safe; ask 3 safe   |            | <2; <3
            0.1  | ?give 1 200; ?give 2 200; ?give 3 200 | | ok 1; ok 2; ok 3
            0.4  |                          |            | draining
            0.41 | ask 4 safe               | <4         |
            0.5  | ?give 4 200              | ok 4       |
            """,
        )

    def test_a_server_that_reports_a_full_queue_gets_no_request(self):
        play(
            self,
            """
            time | gateway                     | a
            0    | ask 1 once               | <1
            0.01 | ?give 1 200              | ok 1 4,6,4
            0.02 | ask 2 once               | <2
            0.03 | ?give 2 200              | ok 2 4,9,4
            0.04 | ask 3 once; ?give 3 503  |
            1    | ask 4 once               | <4
            1.1  | ?give 4 200              | ok 4
            """,
        )

    def test_without_servers_a_request_is_refused(self):
        play(
            self,
            """
            time | gateway                     | a
            0    |                          | gone
            0.1  | ask 1 unsafe; ?give 1 503 |
            """,
        )


class Ends(unittest.TestCase):
    def test_at_the_deadline_the_request_fails_and_its_attempt_is_released(self):
        world = play(
            self,
            """
            time | gateway                    | a       | b
            0    | ask 1 unsafe 2          | <1      |
            2    | over 1; ?give 1 504     |         |
            2.1  | over 1                  | ok 1    |
            2.2  | ask 2 safe              |         | <2
            2.3  | gone 2                  |         |
            2.4  |                         |         | ok 2
            """,
        )
        self.assertEqual(world.balancer.requests, {})

    def test_the_quota_is_refunded_only_for_what_never_ran(self):
        for ended, status, level in (
            ("full 1", 503, 5),
            ("refused 1", 503, 5),
            ("reset 1", 502, 4),
            ("ok 1", 200, 4),
            ("error 1", 500, 4),
        ):
            with self.subTest(ended):
                world = World(self, ["a"])
                world.admission.configure({"t": TenantTerms(0.001, 5.0)}, 0.0)
                world.admission.set_share("t", 1.0, 0.0)
                world.admission.tenants["t"].level = 5.0
                world.ask("1", "once", 0.0, tenant="t")
                world.outcome("1", 0, OUTCOMES[ended.split()[0]], 0.1)
                self.assertEqual(world.answers, {"1": status})
                self.assertAlmostEqual(world.admission.states(0.1)["t"].level, level, 2)

    def test_a_request_in_flight_outlives_its_tenant(self):
        for ended, status in (("ok", 200), ("error", 500), ("full", 503), ("reset", 502), ("over", 504)):
            with self.subTest(ended):
                world = World(self, ["a", "b"])
                world.admission.configure({"t": TenantTerms()}, 0.0)
                world.ask("1", "once", 0.0, tenant="t")
                world.ask("2", "safe", 0.0, tenant="t")
                world.admission.configure({}, 0.1)
                (second,) = world.in_flight["2"]
                world.outcome("2", second, Status.RESET, 0.2)  # is retried
                if ended == "over":
                    world.execute(world.balancer.on_deadline("1", 0.3))
                else:
                    world.outcome("1", 0, OUTCOMES[ended], 0.3)
                world.outcome("2", 1, Status.OK, 0.3)
                self.assertEqual(world.answers, {"1": status, "2": 200})

    def test_beyond_the_lease_the_reserve_is_asked_once_and_its_wait_is_respected(self):
        world = World(self, ["a"])
        world.admission.configure({"t": TenantTerms(1.0, 5.0)}, 0.0)
        world.admission.set_share("t", 0.5, 0.0)
        world.ask("1", "unsafe", 0.0, tenant="t")
        self.assertEqual([(d.id, d.tenant) for d in world.draws], [("1", "t")])
        world.admission.add_reserve_grant("t", 1)
        world.ask("1", "unsafe", 0.01, tenant="t", reserve_wait_s=0.0)
        self.assertEqual((world.sent["1"], world.answers), (["a"], {}))
        world.ask("2", "unsafe", 0.02, tenant="t")
        world.ask("2", "unsafe", 0.03, tenant="t", reserve_wait_s=0.5)
        world.ask("3", "unsafe", 0.1, tenant="t")  # before the end of the wait
        self.assertEqual((world.answers, len(world.draws)), ({"2": 429, "3": 429}, 2))
        world.ask("4", "unsafe", 0.6, tenant="t")
        self.assertEqual(len(world.draws), 3)


class AnyOrder(unittest.TestCase):
    def test_random_events_keep_the_rules_and_every_request_is_answered(self):
        for seed in range(30):
            rng = random.Random(seed)
            world = World(self, "abcdef", ratio=0.2, slack=10.0, rng=random.Random(seed + 1000), slots=2)
            now, last = 0.0, 0
            kinds = list(ROUTES)
            for _ in range(400):
                now += rng.expovariate(100.0)
                open_ones = [n for n in world.routes if n not in world.answers]
                waiting = [
                    (n, a) for n, attempts in world.in_flight.items() for a in attempts if n not in world.answers
                ]
                draw = rng.random()
                if draw < 0.35 or not open_ones:
                    last += 1
                    world.ask(last, rng.choice(kinds), now, rng.uniform(0.01, 3.0))
                elif draw < 0.8 and waiting:
                    world.outcome(*rng.choice(waiting), rng.choice(list(OUTCOMES.values())), now)
                elif draw < 0.88:
                    world.execute(world.balancer.on_hedge_timer(rng.choice(open_ones), now))
                elif draw < 0.92:
                    world.execute(world.balancer.on_deadline(rng.choice(open_ones), now))
                elif draw < 0.94:
                    number = rng.choice(open_ones)
                    world.balancer.on_client_gone(number, now)
                    world.answers[number] = None
                else:
                    world.set_state(rng.choice("abcdef"), rng.choice(["up", "draining", "retired", "up"]), now)
                world.check_in_flight()
                world.in_flight = {n: attempts for n, attempts in world.in_flight.items() if n not in world.answers}
            for number in [n for n in world.routes if n not in world.answers]:
                world.execute(world.balancer.on_deadline(number, now + 3.0))
            self.assertEqual(set(world.answers), set(world.routes))
            self.assertEqual(world.balancer.requests, {})


if __name__ == "__main__":
    unittest.main()
