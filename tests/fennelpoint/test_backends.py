"""Choice of a backend: slow, stalled, failing, unresponsive and full ones; the concurrency window."""

import pytest

from fennelpoint import choice, window
from fennelpoint import interface as api
from fennelpoint.state import Task
from tests.fennelpoint.worlds import READY, SAFE, UNSAFE, World, kinds, make_settings


def drive(world: World, seconds: float, per_second: int, reply) -> dict[str, int]:
    """Send open-loop traffic and count it by backend; `reply(backend)` gives status and latency, or None."""
    sent: dict[str, int] = {}
    replies_due: list[tuple[float, int, str, float, api.Status, int]] = []
    attempts: dict[int, int] = {}

    def record_sends(actions: list) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                sent[a.backend] = sent.get(a.backend, 0) + 1
                attempts[a.request_id] = attempts.get(a.request_id, -1) + 1
                if (given := reply(a.backend)) is not None:
                    status, latency = given
                    replies_due.append(
                        (world.now + latency, a.request_id, a.backend, latency, status, attempts[a.request_id])
                    )

    for step in range(int(seconds * per_second) + per_second):
        if step < seconds * per_second:
            record_sends(world.ask(customer=1000 + step))
        record_sends(world.wait(1.0 / per_second))
        for reply_due in sorted(d for d in replies_due if d[0] <= world.now):
            replies_due.remove(reply_due)
            _, request, backend, latency, status, attempt = reply_due
            record_sends(world.answer(request, backend, status, latency, attempt))
    return sent


def three_backends() -> World:
    world = World(make_settings())
    world.backends("a", "b", "c")
    return world


def test_load_is_spread_over_equal_backends():
    sent = drive(three_backends(), 4.0, 20, lambda b: (api.Status.OK, 0.1))
    assert min(sent.values()) > 15


def test_slow_backend_gets_less():
    sent = drive(three_backends(), 6.0, 20, lambda b: (api.Status.OK, 0.4 if b == "a" else 0.1))
    assert sent["a"] < 0.6 * sent["b"]


def test_fast_errors_do_not_look_fast():
    sent = drive(three_backends(), 6.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"]


def test_backend_that_never_answers_gets_little():
    sent = drive(three_backends(), 6.0, 20, lambda b: None if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] <= 6


def test_backend_that_refuses_connections_gets_little():
    sent = drive(
        three_backends(), 6.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.25) if b == "a" else (api.Status.OK, 0.1)
    )
    assert sent["a"] < 0.25 * sent["b"]


def test_backend_that_recovers_gets_its_share_again():
    world = three_backends()
    drive(world, 4.0, 20, lambda b: (api.Status.ERROR, 0.005) if b == "a" else (api.Status.OK, 0.1))
    world.wait(4 * choice.SLOWNESS_HALF_LIFE_S)
    sent = drive(world, 5.0, 20, lambda b: (api.Status.OK, 0.1))
    assert sent["a"] > 0.5 * sent["b"]


def test_all_backends_are_used_if_all_look_bad():
    world = three_backends()
    for b in world.control.fleet.ready:
        world.control.choice.on_failure(b, world.now)
    pool = {a.backend for i in range(12) for a in world.ask(customer=i) if isinstance(a, api.Send)}
    assert pool == {"a", "b", "c"}


def test_back_end_that_slows_is_held_to_fewer_attempts_before_it_answers():
    """Attempts in flight count as pressure: the answers of a stalled back end come too late to learn from."""
    world = World(make_settings())
    world.backends("a")
    drive(world, 2.0, 10, lambda b: (api.Status.OK, 0.1))
    before = world.control.window.size
    drive(world, 3.0, 10, lambda b: None)
    assert world.control.window.size < 0.7 * before


def test_window_grows_while_answers_are_quick_and_shrinks_while_they_are_late():
    world = World(make_settings())
    world.backends("a")
    world.control.window.size = 4.0
    drive(world, 4.0, 60, lambda b: (api.Status.OK, 0.1))
    grown = world.control.window.size
    assert grown > 5.0
    drive(world, 6.0, 60, lambda b: (api.Status.OK, 0.6))
    assert world.control.window.size < 0.7 * grown


def test_ingress_pauses_while_its_window_is_under_one_attempt():
    """One attempt from each of many ingresses can still be too many."""
    world = World(make_settings())
    world.backends("a", "b")
    world.control.window.size, world.control.window.pressure = 0.5, 1.0
    (send,) = world.ask()
    world.now += 1.0
    world.answer(send.request_id, send.backend, latency=1.0)
    assert world.ask(customer=2) == []
    assert world.now < world.control.window.paused_until <= world.now + window.MAX_PAUSE_S


def test_few_stalled_backends_do_not_close_the_window():
    """An attempt that ends at its deadline counts as one latency target, however many it took."""
    world = World(make_settings())
    world.backends("a")
    for latency in (40.0, 0.1, 0.1, 0.1, 0.1, 0.1):
        world.control.window.observe(latency, latency, world.now)
    assert world.control.window.pressure <= window.MAX_PRESSURE


def test_large_fleet_is_used_in_part_and_in_whole_when_that_part_is_unavailable():
    """Guards the backends against connections from all of hundreds of ingresses."""
    world = World(make_settings())
    names = [f"b{i:03}" for i in range(100)]
    world.backends(*names)
    used = set()
    for customer in range(200):
        for a in world.ask(customer=customer):
            used.add(a.backend)
            world.answer(a.request_id, a.backend)
    assert len(used) == choice.CANDIDATES
    for name in used:
        world.control.fleet.backends[name].paused_until = world.now + 9.0
    (send,) = world.ask(customer=999)
    assert send.backend not in used


def test_same_zone_wins_near_ties():
    world = World(make_settings())
    world.roster(api.BackendEntry("far", READY, zone=1), api.BackendEntry("near", READY, zone=0))
    near, far = (world.control.fleet.backends[name] for name in ("near", "far"))
    task = Task(api.Request(1, SAFE, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0)
    cost = [world.control.choice.cost(b, 1.0, task, world.now) for b in (near, far)]
    assert cost[1] == pytest.approx(choice.OTHER_ZONE_FACTOR * cost[0])
    near.work_in_flight += 1.0
    assert world.control.choice.cost(near, 1.0, task, world.now) > cost[1]


@pytest.mark.parametrize("via", ["none", "answers", "probe"])
def test_works_with_any_reports_or_none(via):
    world = World(make_settings(report_via=via, report_fields=["queue", "util"]))
    world.backends("a")
    (send,) = world.ask(cls=SAFE)
    world.give(api.Outcome(send.request_id, 0, "a", api.Status.OK, 0.1, True, report=[1.0, 0.5]))
    assert kinds(world.ask(customer=2)) == [api.Send]


def test_random_part_makes_ingresses_choose_differently():
    """Many ingresses with the same state must not all send to the first backend."""
    first = set()
    for seed in range(12):
        world = World(make_settings())
        world.control.random.seed(seed)
        world.backends("a", "b", "c")
        first.add(world.ask()[0].backend)
    assert len(first) > 1


def test_many_ingresses_share_the_initial_window_of_a_backend():
    for ingresses in (2, 12):
        world = World(make_settings(ingresses=ingresses))
        world.backends("a")
        sent = sum(api.Send in kinds(world.ask(customer=i)) for i in range(30))
        assert sent == max(1, int(window.INITIAL_IN_FLIGHT / ingresses))


def test_failures_in_a_row_pause_a_backend_even_where_most_look_bad():
    """A failed zone refuses connections within milliseconds, and must not be flooded with attempts."""
    sent = drive(three_backends(), 4.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.005) if b != "a" else None)
    assert sent["b"] + sent["c"] < 40


def test_full_backend_is_paused_for_a_moment():
    world = World(make_settings())
    world.backends("a")
    (send,) = world.ask()
    assert api.Send not in kinds(world.answer(send.request_id, "a", api.Status.FULL, 0.001))
    assert api.Send in kinds(world.wait(0.2))


def test_backend_slowed_by_half_while_another_starts_cold():
    """Two faults at once: the warm backend carries most, the cold one gets its share, all is answered."""
    world = three_backends()
    drive(world, 4.0, 20, lambda b: (api.Status.OK, 0.1))
    world.roster(api.BackendEntry("c", READY, started_at=world.now), kind=api.RosterKind.CHANGES)
    sent = drive(world, 3.0, 20, lambda b: (api.Status.OK, 0.2 if b == "a" else 0.1))
    assert sent["b"] > sent["a"] > 0 and sent["c"] < 0.5 * sent["b"]
    world.wait(5.0)
    assert not world.control.requests.open


def test_backend_of_a_stale_roster_that_refuses_connections_gets_little():
    """The cached list used at start may hold backends that are gone."""
    world = World(make_settings())
    world.roster(*(api.BackendEntry(n, READY) for n in "abc"), kind=api.RosterKind.CACHED)
    sent = drive(world, 5.0, 20, lambda b: (api.Status.CONNECT_FAILED, 0.002) if b == "a" else (api.Status.OK, 0.1))
    assert sent["a"] < 0.2 * sent["b"] and not world.control.requests.open


def test_connections_that_break_together_count_as_one_failure():
    world = World(make_settings())
    world.backends("a")
    sends = [world.ask(cls=UNSAFE)[0] for _ in range(3)]
    world.now += 0.1
    for send in sends:
        world.answer(send.request_id, send.backend, api.Status.RESET, latency=0.1)
    backend = world.control.fleet.backends["a"]
    assert backend.failures == 1 and backend.slowness <= choice.FAILURE_SLOWNESS
