"""Rules that each ingress must keep: answers in time, effects, drains, cold backends, ceilings."""

import random

import pytest

from fennelpoint import interface as api
from tests.fennelpoint.worlds import CAPPED, DRAINING, GONE, KEYED, READY, SAFE, UNSAFE, World, kinds, make_settings

NEVER_RAN = [api.Status.FULL, api.Status.CONNECT_FAILED]
MAY_HAVE_RUN = [api.Status.ERROR, api.Status.RESET, api.Status.CANCELLED]
CHANGES = api.RosterKind.CHANGES


def test_held_request_is_answered_in_time_without_any_backend():
    world = World(make_settings())
    assert world.ask(time_left=0.5) == []
    assert kinds(world.wait(0.5)) == [api.Refuse]
    assert not world.control.requests.open


def test_unsafe_request_fails_if_its_attempt_times_out_at_the_deadline():
    world = World(make_settings())
    world.backends("a")
    world.ask(cls=UNSAFE, time_left=2.0)
    world.wait(2.0)
    assert kinds(world.answer(1, "a", api.Status.TIMEOUT, latency=2.0)) == [api.Fail]


@pytest.mark.parametrize("status", NEVER_RAN)
def test_unsafe_request_is_sent_again_if_it_never_ran(world, status):
    (send,) = world.ask(cls=UNSAFE, time_left=6.0)
    actions = world.answer(send.request_id, send.backend, status) + world.wait(0.2)
    assert kinds(actions) == [api.Send] and actions[0].backend != send.backend


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_fails(world, status):
    (send,) = world.ask(cls=UNSAFE, time_left=6.0)
    assert kinds(world.answer(send.request_id, send.backend, status)) == [api.Fail]


def test_safe_request_is_sent_elsewhere_after_an_error(world):
    (send,) = world.ask(cls=SAFE)
    (retry,) = world.answer(send.request_id, send.backend, api.Status.ERROR)
    assert isinstance(retry, api.Send) and retry.backend != send.backend


def test_keyed_request_stays_in_its_cell_and_window():
    world = World(make_settings())
    world.roster(
        api.BackendEntry("a", READY, cell=1), api.BackendEntry("b", READY, cell=2), api.BackendEntry("c", READY, cell=1)
    )
    cells = {"a": 1, "b": 2, "c": 1}
    (send,) = world.ask(cls=KEYED, time_left=6.0)
    actions = world.answer(send.request_id, send.backend, api.Status.RESET) + world.wait(0.1)
    assert [cells[a.backend] for a in actions if isinstance(a, api.Send)] == [cells[send.backend]]


def test_keyed_request_past_its_window_fails_and_is_not_refused(world):
    (send,) = world.ask(cls=KEYED, time_left=6.0)
    world.wait(3.5)
    assert kinds(world.answer(send.request_id, send.backend, api.Status.RESET, latency=3.5)) == [api.Fail]


def test_keyed_request_held_past_its_window_is_not_sent():
    world = World(make_settings())
    world.backends("a", cell=1)
    (send,) = world.ask(cls=KEYED, time_left=6.0)
    world.now += 2.9
    world.control.fleet.backends["a"].entry.state = DRAINING
    world.control.fleet.ready.clear()
    world.answer(send.request_id, "a", api.Status.RESET, latency=2.9)
    world.now += 0.2
    world.roster(api.BackendEntry("a", READY, cell=1))
    assert api.Send not in kinds(world.wait(3.0))
    assert not world.control.requests.open


def test_retry_budget_stops_a_retry_storm():
    world = World(make_settings())
    world.backends(*(f"s{i:02}" for i in range(40)))
    retries = 0
    for customer in range(100):
        for action in world.ask(cls=SAFE, customer=customer):
            if isinstance(action, api.Send):
                answer = world.answer(action.request_id, action.backend, api.Status.ERROR)
                retries += kinds(answer).count(api.Send)
        world.wait(0.02)
    assert 5 <= retries <= 25


def test_draining_backend_gets_nothing_not_even_held_requests():
    world = World(make_settings())
    world.backends("a")
    (send,) = world.ask(cls=SAFE)
    world.roster(api.BackendEntry("a", DRAINING), kind=CHANGES)
    assert world.answer(send.request_id, "a", api.Status.ERROR) == []
    assert world.ask(customer=2) == []
    assert api.Send not in kinds(world.wait(5.0))


def test_backend_missing_from_a_full_list_is_gone(world):
    world.backends("b")
    for customer in range(6):
        assert all(a.backend == "b" for a in world.ask(customer=customer) if isinstance(a, api.Send))


def test_requests_are_held_and_refused_while_the_roster_is_empty(world):
    world.roster()
    world.ask()
    assert kinds(world.wait(4.0)) == [api.Refuse]
    world.backends("a")
    assert kinds(world.ask()) == [api.Send]


def sends_to_cold(world: World, seconds: float, per_second: int) -> int:
    cold = 0
    for step in range(int(seconds * per_second)):
        for action in world.ask(customer=step % 50) + world.wait(1 / per_second):
            if isinstance(action, api.Send):
                cold += action.backend == "cold"
                world.answer(action.request_id, action.backend)
    return cold


def test_cold_backend_gets_its_share_of_a_warm_one():
    world = World(make_settings())
    world.backends("w1", "w2", "w3")
    sends_to_cold(world, 4.0, 30)  # learns the load of a warm backend
    world.roster(api.BackendEntry("cold", READY, started_at=world.now), kind=CHANGES)
    # A warm backend gets ten a second; the cold one can take a fifth, which grows to 0.36 in two seconds.
    assert sends_to_cold(world, 2.0, 30) <= 2.0 * 10 * 0.36 + 1


def fleet_of_ingresses(count: int, *entries: api.BackendEntry, **changes) -> list[World]:
    worlds = []
    for ingress_index in range(count):
        world = World(make_settings(ingresses=count, ingress_index=ingress_index, **changes))
        world.control.random.seed(ingress_index)
        world.roster(*entries)
        worlds.append(world)
    return worlds


@pytest.mark.parametrize("cold", [10, 37, 99])
def test_cold_backends_are_not_overloaded_by_all_ingresses_together(cold):
    """Part of the fleet, or nearly all of it, starts at once; each ingress sends one request."""
    entries = [api.BackendEntry(f"b{i:02}", READY, started_at=100.0 if i < cold else 0.0) for i in range(100)]
    worlds, sent = fleet_of_ingresses(400, *entries), 0
    for world in worlds:
        sent += sum(isinstance(a, api.Send) and int(a.backend[1:]) < cold for a in world.ask())
    # Their cold share of their fair share, and a margin for chance; twice the cold share is the limit.
    fair_share = len(worlds) * cold / len(entries)
    assert 0 < sent <= world.settings.cold_share * fair_share + 3 * fair_share**0.5


def test_held_requests_do_not_draw_cold_backends_again_and_again():
    """Without warm backends, held requests that are rechecked every 20 ms must not win every draw at last."""
    entries = [api.BackendEntry(f"b{i}", READY, started_at=100.0) for i in range(30)]
    worlds, sent = fleet_of_ingresses(300, *entries), 0
    for world in worlds:
        sent += sum(isinstance(a, api.Send) for a in world.ask() + world.wait(0.45))
    assert 0 < sent <= 0.2 * len(worlds)


def test_cold_backend_is_warm_after_the_ramp_time(world):
    world.roster(api.BackendEntry("a", READY, started_at=world.now), kind=CHANGES)
    world.wait(world.settings.ramp_time)
    actions = [a for customer in range(12) for a in world.ask(customer=customer)]
    assert {a.backend for a in actions if isinstance(a, api.Send)} == {"a", "b"}


def test_held_request_ends_before_its_deadline_though_its_check_is_pending():
    """With less time left than the counter's timeout, its fallback timer would come too late."""
    world = World(make_settings(ingresses=200))
    world.backends("a")
    assert world.ask(spread=200.0, time_left=0.07) == []
    assert kinds(world.wait(0.07)) in ([api.Refuse], [api.Send])


def test_listed_restart_keeps_attempts_in_flight_and_their_answers_count(world):
    (send,) = world.ask()
    world.roster(api.BackendEntry(send.backend, READY, started_at=world.now), kind=CHANGES)
    assert world.control.fleet.in_flight == 1
    world.answer(send.request_id, send.backend)
    assert world.control.fleet.in_flight == 0 and not world.control.fleet.busy and not world.control.requests.open


def test_answers_of_a_backend_that_is_gone_are_accepted(world):
    (send,) = world.ask(cls=UNSAFE)
    world.roster(api.BackendEntry(send.backend, GONE), kind=CHANGES)
    assert kinds(world.answer(send.request_id, send.backend, api.Status.RESET)) == [api.Fail]
    world.roster(kind=CHANGES)
    assert send.backend not in world.control.fleet.backends


def test_idle_ingress_sets_no_timers(world):
    (send,) = world.ask()
    world.answer(send.request_id, send.backend)
    world.wait(20.0)
    assert world.timers == []


@pytest.mark.parametrize("seed", range(8))
def test_invariants_under_random_events(seed):
    """Random traffic and failures: each request gets one answer in time; effects, drains, ceilings hold."""
    rng = random.Random(seed)
    world = World(make_settings())
    names = [f"b{i}" for i in range(5)]
    state, cells = dict.fromkeys(names, READY), {n: i % 2 for i, n in enumerate(names)}
    world.roster(*(api.BackendEntry(n, READY, cell=cells[n]) for n in names))
    asked, answered, in_flight, may_have_run, ceiling = {}, set(), {}, {}, {}
    attempts, totals, started = {}, {}, world.now

    def check(actions: list) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                cls, plan, customer, units, _ = asked[a.request_id]
                assert a.request_id not in answered and a.request_id not in in_flight and state[a.backend] is READY
                if a.request_id in may_have_run:
                    assert cls != UNSAFE
                    if cls == KEYED:
                        since, ran_on = may_have_run[a.request_id]
                        assert cells[ran_on] == cells[a.backend] and world.now < since + 3.0
                attempts[a.request_id] = attempts.get(a.request_id, -1) + 1
                if attempts[a.request_id] == 0 and plan == CAPPED:
                    ceiling[customer] = ceiling.get(customer, 0.0) + units
                    assert ceiling[customer] <= 10.0 + 5.0 * (world.now - started) + 1e-6
                in_flight[a.request_id] = (a.backend, world.now)
            elif isinstance(a, api.Refuse | api.Fail):
                cls, *_, ends_at = asked[a.request_id]
                assert a.request_id not in answered and a.request_id not in in_flight
                assert world.now <= ends_at + world.settings.answer_slack
                if isinstance(a, api.Refuse):
                    assert a.request_id not in may_have_run or cls == SAFE
                answered.add(a.request_id)

    for _ in range(1500):
        choice = rng.random()
        if choice < 0.45:
            cls, plan, customer = rng.randrange(3), rng.randrange(4), rng.randrange(12)
            time_left, units = rng.uniform(0.2, 5.0), float(rng.randint(1, 2))
            asked[world.ids + 1] = (cls, plan, customer * 4 + plan, units, world.now + time_left)
            check(world.ask(cls, plan, customer * 4 + plan, units, time_left))
        elif choice < 0.85 and (answerable := sorted(r for r in in_flight if asked[r][-1] > world.now)):
            request = rng.choice(answerable)
            backend, sent = in_flight.pop(request)
            status = rng.choice([api.Status.OK] * 3 + NEVER_RAN + MAY_HAVE_RUN)
            if status is api.Status.OK:
                answered.add(request)
            elif not status.never_ran:
                may_have_run.setdefault(request, (sent, backend))
            check(world.answer(request, backend, status, world.now - sent, attempts[request]))
        elif choice < 0.9:
            name = rng.choice(names)
            state[name] = rng.choice([READY, READY, DRAINING, GONE])
            check(world.roster(api.BackendEntry(name, state[name], cell=cells[name]), kind=CHANGES))
        elif choice < 0.95:
            world.count_replies(
                rng.choice([api.Status.OK, api.Status.TIMEOUT, api.Status.FULL]),
                others=rng.choice([0.0, 3.0]),
                totals=totals,
            )
        else:
            overdue = [r for r, (_, sent) in in_flight.items() if asked[r][-1] <= world.now]
            for request in sorted(overdue):
                backend, sent = in_flight.pop(request)
                may_have_run.setdefault(request, (sent, backend))
                asked[request] = (*asked[request][:-1], world.now)  # the timeout comes with the deadline
                check(world.answer(request, backend, api.Status.TIMEOUT, world.now - sent, attempts[request]))
            end = world.now + rng.uniform(0.0, 0.2)
            while due := sorted(t for t in world.timers if t[0] <= end):
                world.timers.remove(due[0])
                world.now = max(world.now, due[0][0])
                check(world.give(api.TimerDue(due[0][1])))
            world.now = end
    for request in sorted(in_flight):
        backend, sent = in_flight.pop(request)
        answered.add(request)
        check(world.answer(request, backend, api.Status.OK, world.now - sent, attempts[request]))
    while in_flight or world.control.requests.held:
        due = min(world.timers)
        world.timers.remove(due)
        world.now = max(world.now, due[0])
        check(world.give(api.TimerDue(due[1])))
        for request in sorted(in_flight):
            backend, sent = in_flight.pop(request)
            answered.add(request)
            check(world.answer(request, backend, api.Status.OK, world.now - sent, attempts[request]))
    assert answered == set(asked) and not world.control.requests.open
