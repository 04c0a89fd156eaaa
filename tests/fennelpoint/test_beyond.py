"""Requests beyond a quota leave capacity to those within one; refusals say when to retry."""

from fennelpoint import interface as api
from tests.fennelpoint.worlds import HARD, SAFE, SOFT, World, make_settings


def sends(actions: list) -> list:
    return [a for a in actions if isinstance(a, api.Send)]


def test_soft_customer_beyond_its_quota_leaves_most_of_the_window_to_others(world):
    """Twelve attempts may be in flight here; four of the soft customer's are within its share."""
    sent = sum(len(sends(world.ask(SAFE, SOFT, customer=1))) for _ in range(10))
    assert sent == 4
    others = sum(len(sends(world.ask(SAFE, HARD, customer=i))) for i in range(2, 10))
    assert others == 8


def test_part_of_a_ceiling_is_reserved_for_requests_within_the_quota():
    plan = api.Plan(
        "both",
        price=3.0,
        rate=20.0,
        burst=20.0,
        concurrency_limit=2,
        excess_worth=0.2,
        ceiling_rate=20.0,
        ceiling_burst=20.0,
        ceiling_slack=2.0,
    )
    world = World(make_settings(plans=[plan]))
    world.backends(*(f"s{i:02}" for i in range(40)))
    world.ask(SAFE, 0)
    (first,) = sends(world.wait(0.2))  # a ceiling starts empty with the process
    world.answer(first.request_id, first.backend)
    world.now += 2.0  # ten units, its part of the ceiling
    in_flight = [send for _ in range(20) for send in sends(world.ask(SAFE, 0))]
    assert 2 <= len(in_flight) <= 6  # one may be in flight within the quota, the others go beyond it
    freed = [sends(world.answer(send.request_id, send.backend)) for send in in_flight]
    assert freed[-1]  # once its attempts are below their limit the next is sent at once


def test_refusal_for_lack_of_capacity_sets_retry_after():
    world = World(make_settings())
    world.backends("a")
    refused = [a for i in range(30) for a in world.ask(SAFE, HARD, customer=i) if isinstance(a, api.Refuse)]
    refused += [a for a in world.wait(4.0) if isinstance(a, api.Refuse)]
    assert refused and all(0.0 < a.retry_after <= world.settings.max_retry_after for a in refused)


def test_refusal_sets_no_retry_after_where_the_settings_forbid_it():
    world = World(make_settings(may_set_retry_after=False))
    world.backends("a")
    for i in range(30):
        world.ask(SAFE, HARD, customer=i)
    refused = [a for a in world.wait(4.0) if isinstance(a, api.Refuse)]
    assert refused and all(a.retry_after == 0.0 for a in refused)


def sent_of_a_burst(spread: float) -> int:
    """Return how many of 20 requests at once are sent, for a customer whose quota is far below its ceiling."""
    plan = api.Plan("capped", price=3.0, rate=2.0, burst=2.0, excess_worth=0.3, ceiling_rate=10.0, ceiling_burst=20.0)
    world = World(make_settings(plans=[plan], max_units=1.0))
    world.backends("a", "b")
    world.control.window.size = 1000.0
    world.wait(3.0)  # a ceiling starts empty with the process
    return sum(isinstance(a, api.Send) for _ in range(20) for a in world.ask(plan=0, spread=spread))


def test_small_part_of_a_ceiling_has_no_reserve():
    """A reserve would refuse the second request, of which is not known whether it is within the quota."""
    assert sent_of_a_burst(spread=10.0) == 2
    assert sent_of_a_burst(spread=2.0) == 5  # of ten, half is reserved
