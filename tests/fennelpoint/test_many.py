"""Many ingresses: sparse customers checked with the counter, sums over ingresses, probes and reports."""

import pytest

from fennelpoint import choice, quota, window
from fennelpoint import interface as api
from fennelpoint.state import Task
from tests.fennelpoint.worlds import CAPPED, HARD, READY, SOFT, World, kinds, make_settings

INGRESSES = 200
FAST, SLOW = 0.002, 0.045  # s for a reply of a counter whose timeout is 0.05 s


def sparse(**changes) -> World:
    """Return one of many ingresses, with so many backends that only the quota limits."""
    world = World(make_settings(ingresses=INGRESSES, **changes))
    world.backends(*(f"s{i:02}" for i in range(40)))
    return world


class Counter:
    """A counter that all ingresses share; a total is reset when its TTL has passed."""

    def __init__(self) -> None:
        self.totals: dict[int, tuple[float, float]] = {}

    def add(self, call: api.CounterAdd, now: float) -> float:
        total, ends_at = self.totals.get(call.key, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + call.ttl
        self.totals[call.key] = (total + call.amount, ends_at)
        return total + call.amount


def reply(world: World, status: api.Status = api.Status.OK, total: float = 1.0, latency: float = FAST) -> list:
    """Reply to the pending counter call."""
    (call,), world.counts = world.counts, []
    return world.give(api.CounterReply(call.key, status, total, latency))


def ask(world: World, **values) -> list:
    return world.ask(spread=float(INGRESSES), **values)


def test_sparse_request_waits_for_its_own_check():
    world = sparse()
    assert ask(world) == []
    assert [(c.amount, c.ttl) for c in world.counts] == [(1.0, 2.0)]  # a burst of 8 at 4 a second
    assert kinds(reply(world, total=8.0)) == [api.Send]


def test_sparse_request_is_refused_once_the_window_is_used_up():
    world = sparse()
    ask(world)
    (refusal,) = reply(world, total=9.5)
    assert isinstance(refusal, api.Refuse) and refusal.retry_after > 0.0


def test_soft_sparse_plan_goes_beyond_its_quota():
    world = sparse()
    ask(world, plan=SOFT)
    assert kinds(reply(world, total=100.0)) == [api.Send]


@pytest.mark.parametrize("asked_x", [0.5, 5.0])
def test_quota_holds_as_a_sum_over_many_ingresses(asked_x):
    """Each ingress gets a request once in minutes: with a bucket of one each, nearly all would pass."""
    counter, worlds, sent, asked, now = Counter(), [sparse(ingress_index=i) for i in range(INGRESSES)], 0, 0, 100.0
    for step in range(int(20.0 * 4.0 * asked_x)):
        world, now = worlds[step * 7 % INGRESSES], 100.0 + step / (4.0 * asked_x)
        world.now = now
        actions, asked = ask(world), asked + 1
        for call in world.counts:
            actions += world.give(api.CounterReply(call.key, api.Status.OK, counter.add(call, now), FAST))
        world.counts.clear()
        sent += kinds(actions).count(api.Send)
    quota = 8.0 + 4.0 * 20.0
    assert sent <= 1.05 * quota
    assert sent >= 0.9 * min(asked, 4.0 * 20.0)


def test_request_goes_by_its_bucket_if_the_counter_never_replies():
    world = sparse()
    ask(world)
    assert kinds(world.wait(0.2)) == [api.Send]


@pytest.mark.parametrize("status", [api.Status.TIMEOUT, api.Status.FULL, api.Status.CONNECT_FAILED])
def test_failing_counter_gets_fewer_checks_and_every_request_is_answered(status):
    world, checks = sparse(), 0
    for customer in range(200):
        actions = ask(world, customer=customer)
        checks += len(world.counts)
        if world.counts:
            actions = reply(world, status)
        assert kinds(actions) == [api.Send]
        world.answer(actions[0].request_id, actions[0].backend)
    assert checks <= 60 and world.control.quotas.check_share == quota.MIN_CHECK_SHARE


def test_slow_counter_gets_fewer_checks_and_a_quick_one_more():
    world = sparse()
    for latency, comparison in ((SLOW, float.__lt__), (FAST, float.__gt__)):
        before = world.control.quotas.check_share
        for customer in range(40):
            ask(world, customer=customer)
            if world.counts:
                reply(world, latency=latency)
        assert comparison(world.control.quotas.check_share, before)


def test_reply_within_half_of_the_timeout_does_not_count_as_slow():
    """An idle counter in another zone takes a third of the timeout, and must keep its checks."""
    world = sparse()
    world.control.quotas.check_share = 0.8
    while not world.counts:
        ask(world, customer=world.ids)
    reply(world, latency=0.025)
    assert world.control.quotas.check_share > 0.8


def test_amount_includes_the_requests_that_are_not_checked():
    world = sparse()
    world.control.quotas.check_share = 0.5
    while not world.counts:
        ask(world, customer=world.ids)
    assert world.counts[0].amount == 2.0


def test_retries_are_not_admitted_unchecked():
    """While checks are few, a client's retry was most likely refused before for its quota."""
    world = sparse()
    world.control.quotas.check_share = quota.MIN_CHECK_SHARE
    world.ids += 1
    actions = world.give(api.Request(world.ids, 0, HARD, 1, 4.0, 1.0, float(INGRESSES), 0.0, is_retry=True))
    assert kinds(actions) == [api.Refuse] and world.counts == []


def test_total_that_is_not_a_number_counts_as_no_reply():
    world = sparse()
    ask(world)
    assert kinds(reply(world, total=float("nan"))) == [api.Send]
    assert world.control.quotas.check_share < 1.0


def test_customer_beyond_its_quota_is_refused_while_the_counter_is_silent():
    world = sparse()
    ask(world)
    reply(world, total=50.0)
    ask(world)
    assert kinds(reply(world, api.Status.TIMEOUT)) == [api.Refuse]


def test_ceiling_holds_as_a_sum_over_the_ingresses_of_a_customer():
    """All of its ingresses are busy at once without counter replies, and one restarts half way."""
    worlds, sent = [World(make_settings(ingresses=INGRESSES, ingress_index=i)) for i in range(5)], 0
    for world in worlds:
        world.backends(*(f"s{i:02}" for i in range(40)))
    for step in range(100):
        if step == 50:
            worlds[2] = World(make_settings(ingresses=INGRESSES, ingress_index=2), now=worlds[0].now)
            worlds[2].backends(*(f"s{i:02}" for i in range(40)))
        for world in worlds:
            actions = world.ask(plan=CAPPED, spread=5.0) + world.wait(0.1)
            sent += kinds(actions).count(api.Send)
            for a in actions:
                if isinstance(a, api.Send):
                    world.answer(a.request_id, a.backend)
    assert 60 <= sent <= 20.0 + 10.0 * 10.0


def test_cost_of_a_choice_does_not_grow_with_the_fleet():
    world, computed = World(make_settings(ingresses=INGRESSES)), 0
    world.backends(*(f"s{i:03}" for i in range(500)))
    cost = world.control.choice.cost

    def counting_cost(*args) -> float:
        nonlocal computed
        computed += 1
        return cost(*args)

    world.control.choice.cost = counting_cost
    world.ask()
    assert 0 < computed <= choice.CANDIDATES


def test_many_ingresses_spread_over_equal_backends():
    """Work sent from one ingress says little there: each chooses at random, in proportion to the weights."""
    sent: dict[str, int] = {}
    for seed in range(600):
        world = World(make_settings(ingresses=600, has_counter=False))
        world.control.random.seed(seed)
        world.roster(*(api.BackendEntry(f"b{i}", READY, weight=2.0 if i == 0 else 1.0) for i in range(5)))
        (send,) = world.ask()
        sent[send.backend] = sent.get(send.backend, 0) + 1
    assert 160 <= sent.pop("b0") <= 240 and all(70 <= count <= 130 for count in sent.values())


# Probes and load reports


def probing_world(**changes) -> World:
    world = World(
        make_settings(
            ingresses=INGRESSES,
            has_counter=False,
            may_probe=True,
            report_via="probe",
            report_fields=["queue", "inflight"],
            **changes,
        )
    )
    world.backends("a", "b")
    return world


def test_two_backends_are_probed_and_the_less_loaded_gets_the_request():
    for more_loaded, less_loaded in (("a", "b"), ("b", "a")):
        world = probing_world()
        assert kinds(world.ask()) == [api.Probe, api.Probe]
        assert world.give(api.ProbeResult(more_loaded, api.Status.OK, 0.002, [5.0, 9.0])) == []
        (send,) = world.give(api.ProbeResult(less_loaded, api.Status.OK, 0.002, [0.0, 1.0]))
        assert send.backend == less_loaded


def test_probe_without_an_answer_does_not_block_a_request():
    world = probing_world()
    world.ask()
    world.give(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 1.0]))
    assert kinds(world.wait(2 * choice.PROBE_WAIT_S)) == [api.Send]


def test_missing_report_counts_as_busy():
    """Reports may fail just at busy backends: an empty one must not look like an idle backend."""
    world = probing_world()
    world.control.choice.mean_load = 1.5
    world.ask()
    world.give(api.ProbeResult("a", api.Status.OK, 0.002, [0.0, 2.0]))
    (send,) = world.give(api.ProbeResult("b", api.Status.OK, 0.002, []))
    assert send.backend == "a"


def test_old_idle_report_is_not_trusted():
    world = probing_world()
    backend, other = (world.control.fleet.backends[name] for name in "ab")
    world.control.choice.mean_load = 4.0
    world.control.choice.on_report(backend, [0.0, 0.0], world.now)
    task = Task(api.Request(1, 0, 0, 1, 4.0, 1.0, 2.0, 0.0), None, 0.0, 0.0, 1.0, probed=[backend])
    cost, later = world.control.choice.cost, world.now + 8 * choice.REPORT_HALF_LIFE_S
    assert cost(backend, 1.0, task, world.now) < 0.5 * cost(other, 1.0, task, world.now)
    assert cost(backend, 1.0, task, later) > 0.9 * cost(other, 1.0, task, later)


@pytest.mark.parametrize("values", [[float("nan"), 1.0], [-5.0], [float("inf"), float("inf")]])
def test_invalid_report_values_are_ignored(values):
    world = probing_world()
    world.control.choice.on_report(world.control.fleet.backends["a"], values, world.now)
    assert 0.0 <= world.control.fleet.backends["a"].load < 100.0


def test_few_ingresses_do_not_probe():
    world = World(make_settings(ingresses=3, may_probe=True, report_via="probe", report_fields=["util"]))
    world.backends("a", "b")
    assert kinds(world.ask()) == [api.Send]


def test_unchecked_requests_go_by_the_replies_of_their_plan():
    """Most replies said that the window was used up: an unchecked request costs more than it is worth."""
    world = sparse()
    for customer in range(60):
        ask(world, customer=customer)
        if world.counts:
            reply(world, total=50.0)
    world.control.quotas.check_share = 0.0
    assert kinds(ask(world, customer=1000)) == [api.Refuse]
    assert kinds(ask(world, customer=1001, plan=SOFT)) == [api.Send]  # without an excess cost


def world_with_room() -> World:
    """Return a world whose first checks found room, with a large concurrency window."""
    world = sparse()
    world.control.window.size = 100.0
    for customer in range(10):
        ask(world, customer=customer)
        reply(world)
    return world


def second_unchecked_request(pressure: float = 0.0, silent: bool = False) -> type:
    """Send a customer's second request unchecked: its even share is used up, the odds of its plan are good."""
    world = world_with_room()
    world.control.quotas.check_share, world.control.window.pressure = 0.0, pressure
    ask(world, customer=1000)
    if silent:
        world.now += 2 * quota.SILENT_AFTER_S
    return kinds(ask(world, customer=1000))[0]


def test_unchecked_request_goes_by_the_odds_and_not_by_a_tiny_even_share():
    assert second_unchecked_request() is api.Send


def test_unchecked_request_goes_by_the_even_share_under_pressure_or_with_a_silent_counter():
    assert second_unchecked_request(pressure=window.MAX_PRESSURE) is api.Refuse
    assert second_unchecked_request(silent=True) is api.Refuse


def test_customer_beyond_its_quota_is_not_admitted_unchecked_soon_after():
    world = world_with_room()
    ask(world, customer=1000)
    reply(world, total=50.0)
    world.control.quotas.check_share = 0.0
    assert kinds(ask(world, customer=1000)) == [api.Refuse]
    assert kinds(ask(world, customer=1001)) == [api.Send]


def test_second_request_of_a_customer_goes_by_odds_of_its_own():
    """A first request here mostly has room; a customer seen again within the window sends far more."""
    world = sparse()
    world.control.window.size = 200.0
    for customer in range(30):
        ask(world, customer=customer)
        reply(world)
        ask(world, customer=customer)
        reply(world, total=50.0)
    world.control.quotas.check_share = 0.0
    assert kinds(ask(world, customer=1000)) == [api.Send]
    assert kinds(ask(world, customer=1000)) == [api.Refuse]


def test_retries_leave_a_slow_counter_to_first_requests():
    world = sparse()
    world.control.quotas.check_share = 0.7
    for _ in range(40):
        world.ids += 1
        world.give(api.Request(world.ids, 0, HARD, world.ids, 4.0, 1.0, float(INGRESSES), 0.0, is_retry=True))
    assert world.counts == []
    for _ in range(40):
        ask(world, customer=world.ids)
    assert 15 < len(world.counts) < 40
