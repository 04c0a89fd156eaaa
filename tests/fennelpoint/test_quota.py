"""Buckets and shares: demand, a silent or reset counter, soft plans, ceilings, concurrency limits."""

import pytest

from fennelpoint import interface as api
from fennelpoint.control import TOKEN_RECHECK
from tests.fennelpoint.worlds import CAPPED, HARD, READY, SLOTS, SOFT, UNSAFE, World, kinds, make_settings


def sent_count(world: World, count: int, **ask) -> int:
    return sum(api.Send in kinds(world.ask(**ask)) for _ in range(count))


def wide() -> World:
    """Return a world with so many backends that only the quota limits."""
    world = World(make_settings())
    world.backends(*(f"s{i:02}" for i in range(40)))
    return world


def test_start_with_the_even_share():
    assert sent_count(wide(), 12, plan=HARD) == 4  # half of the burst of 8 for one of two ingresses


def test_request_waits_for_its_units_unless_they_come_too_late():
    world = wide()
    sent_count(world, 4)
    assert world.ask() == []  # two units a second here: half a second is within the latency target
    assert kinds(world.ask()) == [api.Refuse]
    assert api.Send in kinds(world.wait(0.6))


def test_retry_after_is_at_most_the_configured_maximum():
    world = wide()
    sent_count(world, 5)
    (refusal,) = world.ask()
    assert 0.0 < refusal.retry_after <= world.settings.max_retry_after


def test_share_follows_demand():
    world, totals = wide(), {}
    for _ in range(6):
        world.ask()
        world.wait(1.0)
        world.count_replies(totals=totals)  # no demand elsewhere
    assert world.control.quotas.customers[1].share == pytest.approx(1.0)
    for _ in range(4):
        world.ask()
        world.wait(1.0)
        world.count_replies(totals=totals, others=9.0)
    customer = world.control.quotas.customers[1]
    assert customer.share == pytest.approx(0.1, abs=0.03)
    assert customer.level <= world.settings.max_units  # the level shrinks with the share


def test_unused_quota_is_shared_evenly_at_least():
    world, totals = wide(), {}
    for _ in range(4):
        world.ask()
        world.wait(2.0)
        world.count_replies(totals=totals, others=1.0)
    # One unit a second of four is requested, half of it here: the even share of the unused quota is less.
    assert world.control.quotas.customers[1].share == pytest.approx(0.5, abs=0.05)


def test_silent_counter_means_the_even_share_and_a_backoff():
    world, totals = wide(), {}
    for _ in range(4):
        world.ask()
        world.wait(1.0)
        world.count_replies(totals=totals)
    calls = 0
    for _ in range(20):
        world.ask()
        world.wait(1.0)
        calls += len(world.counts)
        world.count_replies(status=api.Status.TIMEOUT)
    customer = world.control.quotas.customers[1]
    assert customer.share == 0.5
    assert calls <= 8  # 20 without a backoff
    world.wait(10.0)
    for _ in range(3):
        world.ask()
        world.wait(1.0)
        world.count_replies(totals=totals)
    assert customer.share == pytest.approx(1.0)


def test_reset_counter_gives_a_new_baseline():
    world, totals = wide(), {}
    for _ in range(4):
        world.ask()
        world.wait(1.0)
        world.count_replies(totals=totals)
    totals.clear()
    world.ask()
    world.wait(1.0)
    world.count_replies(totals=totals)
    assert world.control.quotas.customers[1].share == 0.5
    world.ask()
    world.wait(1.5)
    world.count_replies(totals=totals)
    assert world.control.quotas.customers[1].share == pytest.approx(1.0)


def test_failed_call_is_counted_again_only_when_it_surely_was_not_added():
    for status, amount in ((api.Status.FULL, 3.0), (api.Status.TIMEOUT, 1.0)):
        world = wide()
        world.ask()
        world.wait(1.0)
        world.ask()
        world.count_replies(status=status)
        world.wait(3.0)
        world.ask()
        assert [call.amount for call in world.counts] == [amount]


def test_calls_only_for_customers_with_new_requests():
    world = wide()
    world.ask()
    world.wait(1.0)
    world.ask()
    assert [call.amount for call in world.counts] == [2.0]
    world.count_replies(totals={})
    world.wait(5.0)
    assert world.counts == []


def test_calls_are_spread_over_the_period():
    world = wide()
    moments = set()
    for _ in range(30):
        for customer in range(40):
            world.ask(customer=customer)
        world.wait(0.05)
        if len(world.counts):
            moments.add(round(world.now, 2))
            world.counts.clear()
    assert len(moments) > 5


def test_idle_customers_are_forgotten():
    world = wide()
    for customer in range(400):
        world.ask(customer=customer)
        world.answer(world.ids, world.actions[0].backend)
        world.wait(0.5)
    assert len(world.control.quotas.customers) <= 2 * 15.0 + 2 and not world.control.requests.open


def test_soft_plan_goes_beyond_its_quota_and_hard_plan_does_not():
    assert sent_count(wide(), 10, plan=SOFT) == 10
    assert sent_count(wide(), 10, plan=HARD) == 4


def test_ceiling_is_empty_at_start_and_never_exceeds_its_part():
    world = wide()
    assert api.Send not in kinds(world.ask(plan=CAPPED))
    sent = 0
    for _ in range(100):
        sent += kinds(world.ask(plan=CAPPED)).count(api.Send)
        sent += kinds(world.wait(0.05)).count(api.Send)
    assert 20 <= sent <= 25 + 1  # five units a second of the ten, over five seconds


def test_ceiling_of_a_new_customer_has_filled_since_the_process_began():
    """Filled from the first request on, it would refuse the first one at each ingress."""
    world = wide()
    world.wait(1.0)
    sent = sum(kinds(world.ask(plan=CAPPED, units=1.0)).count(api.Send) for _ in range(20))
    assert 4 <= sent <= 5  # five units a second of the ten
    world.give(api.ProcessShare(0.5))  # the other process may use what had filled until now
    sent = sum(kinds(world.ask(plan=CAPPED, customer=2)).count(api.Send) for _ in range(20))
    assert sent == 0


def test_concurrency_limit_is_shared_and_freed_when_the_client_leaves():
    world = wide()
    (send,) = world.ask(plan=SLOTS)
    assert api.Send not in kinds(world.ask(plan=SLOTS))  # one of two attempts may be in flight here
    world.give(api.ClientGone(send.request_id))
    world.answer(send.request_id, send.backend, api.Status.TIMEOUT)
    assert world.control.quotas.customers[1].attempts in (0, 1)
    world.wait(2.0)
    assert all(customer.attempts <= 1 for customer in world.control.quotas.customers.values())
    world.ask(plan=SLOTS, customer=2)
    other = world.actions[0]
    world.give(api.ClientGone(other.request_id))
    world.answer(other.request_id, other.backend)
    assert world.control.quotas.customers[2].attempts == 0


def test_restart_holds_only_the_even_share_while_the_counter_is_silent():
    world = wide()
    assert sent_count(world, 20) == 4
    world.wait(1.0)
    world.count_replies(status=api.Status.TIMEOUT)
    assert world.control.quotas.customers[1].share == 0.5


def test_site_without_a_counter_keeps_the_even_share():
    world = World(make_settings(has_counter=False))
    world.roster(*(api.BackendEntry(f"s{i}", READY) for i in range(20)))
    assert sent_count(world, 10) == 4
    world.wait(5.0)
    assert world.counts == []


def test_held_request_of_higher_worth_is_sent_first():
    world = World(make_settings())
    world.backends("a")
    sent = [world.ask(customer=i)[0] for i in range(int(world.control.window.size))]
    assert world.ask(customer=11) == []
    low_worth = world.ids
    world.ask(cls=UNSAFE, plan=SOFT, customer=12, time_left=6.0)
    high_worth = world.ids
    released = world.answer(sent[0].request_id, "a") + world.answer(sent[1].request_id, "a")
    assert [a.request_id for a in released] == [high_worth, low_worth]


def test_actual_units_correct_the_level():
    world = wide()
    (send,) = world.ask(units=2.0)
    before = world.control.quotas.customers[1].level
    world.give(api.Outcome(send.request_id, 0, send.backend, api.Status.OK, 0.1, True, actual_units=3.0))
    assert world.control.quotas.customers[1].level == pytest.approx(before - 1.0)


def test_share_follows_a_customer_that_moves_to_another_ingress():
    """Two ingresses with one counter: the share follows the traffic within some periods."""
    old_world, new_world, totals = wide(), World(make_settings(ingress_index=1)), {}
    new_world.backends("a", "b")
    shares = []
    for second in range(16):
        active = old_world if second < 8 else new_world
        for _ in range(3):
            active.ask()
        for world in (old_world, new_world):
            world.wait(1.0)
            world.count_replies(totals=totals)
        shares.append(active.control.quotas.customers[1].share)
    assert shares[7] > 0.9 and shares[15] > 0.9


def test_client_that_retries_at_once_counts_each_retry_and_gains_nothing():
    world, sent = wide(), 0
    for _ in range(100):
        sent += kinds(world.ask()).count(api.Send)
        sent += kinds(world.wait(0.02)).count(api.Send)
    customer = world.control.quotas.customers[1]
    amount = sum(c.amount for c in world.counts)
    assert amount + customer.taken + customer.untaken + customer.held == 100.0
    assert sent <= 4 + 2 * 2 + 2  # half of the burst, two units a second here, and one held


def test_request_that_waits_for_its_quota_is_rechecked_when_its_bucket_fills():
    """Rechecks every 20 ms of requests that only wait for units would cost a fifth of the CPU."""
    world = World(make_settings(has_counter=False))
    world.backends("a")
    while sends := world.ask(time_left=4.0):  # until the share of this ingress is used up
        if kinds(sends) != [api.Send]:
            break
        world.answer(sends[0].request_id, "a")
    before = world.control.timers.due_at[TOKEN_RECHECK]
    assert before - world.now > 0.1  # the bucket fills at 4 units a second, half of them here
    assert kinds(world.wait(before - world.now + 0.01)) == [api.Send]


def test_held_request_is_rechecked_when_the_counter_replies():
    world = World(make_settings())
    world.backends("a")
    while sends := world.ask(time_left=4.0):
        if kinds(sends) != [api.Send]:
            break
        world.answer(sends[0].request_id, "a")
    assert world.control.timers.due_at[TOKEN_RECHECK] - world.now > 0.1
    (customer,) = world.control.quotas.customers.values()
    customer.count = 1.0
    world.give(api.CounterReply(customer.key, api.Status.OK, 5.0, 0.001))
    assert world.control.timers.due_at[TOKEN_RECHECK] - world.now < 0.03


def test_customer_that_cannot_be_forgotten_yet_does_not_keep_those_behind_it():
    world = wide()
    for customer in (1, 2, 3):
        (send,) = world.ask(customer=customer)
        world.answer(send.request_id, send.backend)
    world.wait(20.0)
    for customer in (1, 2):
        world.control.quotas.customers[customer].cap = 1.0  # as if it was cut meanwhile
    for customer in range(10, 14):
        world.ask(customer=customer)
    assert 3 not in world.control.quotas.customers


def test_request_that_reached_no_backend_is_refused_before_half_of_its_time():
    world = wide()
    sent_count(world, 4)
    began_at = world.now
    assert world.ask(time_left=0.95) == []  # its units come after 0.5 s, within the latency target
    ended = []
    while world.control.requests.held:
        ended += world.wait(0.01)
    assert kinds(ended) == [api.Refuse] and world.now - began_at < 0.475


def test_full_shared_bucket_saves_nothing_while_its_customer_is_idle():
    world, totals = wide(), {}
    for _ in range(2):  # known to the counter, with a full bucket
        world.ask()
        world.wait(2.0)
        world.count_replies(totals=totals)
    world.wait(8.0)
    world.ask()
    world.count_replies(totals=totals, others=5.0)  # a burst elsewhere, now
    customer, plan = world.control.quotas.customers[1], world.settings.plans[HARD]
    assert customer.shared_level == pytest.approx(plan.burst - 6.0)
