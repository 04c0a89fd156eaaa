"""The regulator: the fit, regions, the order of cuts, reasons to decide anew, and giving capacity back."""

import pytest

from fennelpoint import regions
from fennelpoint.regions import Cut, Fit
from tests.fennelpoint.worlds import HARD, SOFT, World, make_settings


def fit_of(*points: tuple[float, float], memory: float = regions.FIT_MEMORY) -> Fit:
    fit = Fit()
    for x, y in points:
        fit.add(x, y, memory)
    return fit


POINTS = ((1.0, 2.0), (2.0, 3.0), (3.0, 5.0), (4.0, 6.0))


def test_fit_against_hand_computed_values():
    fit = fit_of(*POINTS, memory=1.0)
    # Means 2.5 and 4, sum of squares about the mean 5, of products 7: slope 1.4, intercept 0.5.
    assert fit.predict(0.0)[0] == pytest.approx(0.5)
    # Residuals 0.1, -0.3, 0.3, -0.1: their squares add to 0.2, S = sqrt(0.2 / 2).
    # S_p at 5 = sqrt(0.1 * (1 + 1/4 + 2.5**2 / 5)) = sqrt(0.25).
    assert fit.predict(5.0) == (pytest.approx(7.5), pytest.approx(2.0))


def test_confidence_is_less_far_from_the_samples():
    fit = fit_of(*POINTS)
    assert fit.predict(2.5)[1] > fit.predict(6.0)[1] > fit.predict(20.0)[1] > 0.0


def test_no_confidence_without_two_rates():
    assert fit_of(*[(3.0, 0.4)] * 5).predict(9.0) == (pytest.approx(0.4), 0.0)
    assert Fit().predict(1.0) == (0.0, 0.0)


def customer(world: World, key: int, plan: int, rate: float, ratio: float, worth: float):
    """Return a customer in the given state at the end of a period."""
    world.ask(plan=plan, customer=key)
    flow = world.control.quotas.customers[key]
    world.control.regulator.active[key] = flow
    flow.rate, flow.sent_units, flow.ratio, flow.ratios, flow.worth = (
        rate,
        rate * regions.PERIOD_S,
        ratio,
        [ratio],
        worth,
    )
    return flow


@pytest.fixture
def idle_world() -> World:
    return World(make_settings())  # without backends only the regulator changes state


def regulate(world: World) -> None:
    world.control.regulator.regulate(regions.PERIOD_S)


def cut_keys(world: World) -> list[int]:
    return [flow.key for flow, _ in world.control.regulator.cut.reductions]


def test_nobody_is_cut_while_nobody_fails(idle_world):
    customer(idle_world, 1, SOFT, rate=50.0, ratio=0.5, worth=1.0)
    customer(idle_world, 2, HARD, rate=50.0, ratio=2.0, worth=1.0)  # exceeded: over quota and over its latency target
    regulate(idle_world)
    assert idle_world.control.regulator.cut is None


def test_candidates_go_lucky_exceeded_by_least_worth_and_meet_stays(idle_world):
    customer(idle_world, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)  # failed
    customer(idle_world, 2, SOFT, rate=5.0, ratio=0.5, worth=4.0)  # lucky, high worth
    customer(idle_world, 3, SOFT, rate=4.0, ratio=0.5, worth=2.0)  # lucky, low worth
    customer(idle_world, 4, HARD, rate=3.0, ratio=2.0, worth=1.0)  # exceeded
    customer(idle_world, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)  # meet
    customer(idle_world, 6, HARD, rate=200.0, ratio=2.0, worth=9.0)  # exceeded: makes the step large
    regulate(idle_world)
    assert cut_keys(idle_world) == [3, 2, 4, 6]


def test_meet_is_cut_only_while_customers_of_several_plans_fail(idle_world):
    customer(idle_world, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)
    meet = customer(idle_world, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)
    regulate(idle_world)
    assert cut_keys(idle_world) == [] and meet.cap is None
    idle_world.control.regulator.cut = None
    customer(idle_world, 2, SOFT, rate=1.0, ratio=2.0, worth=2.0)
    customer(idle_world, 1, HARD, rate=1.0, ratio=2.0, worth=1.0)
    customer(idle_world, 5, HARD, rate=1.9, ratio=0.5, worth=0.1)
    regulate(idle_world)
    assert cut_keys(idle_world) == [5] and meet.cap < 1.9


def test_a_step_takes_its_share_of_the_rate(idle_world):
    customer(idle_world, 1, HARD, rate=10.0 / 6, ratio=2.0, worth=1.0)
    lucky = customer(idle_world, 2, SOFT, rate=50.0 / 6, ratio=0.5, worth=2.0)
    total = 10.0  # units a second
    regulate(idle_world)
    assert idle_world.control.regulator.cut.reductions[0][1] == pytest.approx(regions.STEP_FRACTION * total)
    assert lucky.cap == pytest.approx(lucky.rate - regions.STEP_FRACTION * total)


def test_steps_scale_with_confidence(idle_world):
    for i in range(40):
        # A fit of high confidence.
        idle_world.control.regulator.fit.add(10.0 + i % 5, 0.2 + 0.01 * (i % 5), regions.FIT_MEMORY)
    idle_world.control.regulator.sent_work = 12.0 * regions.PERIOD_S
    customer(idle_world, 1, HARD, rate=10.0 / 6, ratio=2.0, worth=1.0)
    customer(idle_world, 2, SOFT, rate=50.0 / 6, ratio=0.5, worth=2.0)
    regulate(idle_world)
    assert idle_world.control.regulator.cut.reductions[0][1] == pytest.approx(
        regions.MAX_STEP_SCALE * regions.STEP_FRACTION * 10.0
    )


def groups_of(world: World, **groups):
    return {"lucky": [], "exceeded": [], "meet": [], "failed": [], **groups}


def test_reasons_to_decide_anew(idle_world):
    flow = customer(idle_world, 1, SOFT, rate=2.0, ratio=0.5, worth=1.0)
    cut = Cut([], worst_ratio=1.5, rates={1: 2.0}, lucky={1}, predicted_ratio=0.5)
    idle_world.control.regulator.cut = cut
    must_decide_anew = idle_world.control.regulator._must_decide_anew
    steady = groups_of(idle_world, lucky=[flow])
    assert not must_decide_anew(steady, worst=1.4, mean=0.5)
    assert must_decide_anew(steady, worst=1.6, mean=0.5)  # the failing latency rose
    cut.lucky.clear()
    assert must_decide_anew(steady, worst=1.4, mean=0.5)  # a flow became lucky
    cut.lucky.add(1)
    flow.rate = 4.2
    assert must_decide_anew(steady, worst=1.4, mean=0.5)  # a rate doubled
    flow.rate = 2.0
    assert must_decide_anew(steady, worst=1.4, mean=1.2)  # the latency is twice the predicted one


def test_decision_stands_for_m_steps(idle_world):
    first_cut = None
    for step in range(regions.STEPS_PER_CUT):
        customer(idle_world, 1, HARD, rate=1.0, ratio=2.0 + step, worth=1.0)
        customer(idle_world, 2, SOFT, rate=5.0, ratio=0.5, worth=2.0)
        regulate(idle_world)
        first_cut = first_cut or idle_world.control.regulator.cut
        if step < regions.STEPS_PER_CUT - 1:
            assert idle_world.control.regulator.cut is first_cut
    customer(idle_world, 1, HARD, rate=1.0, ratio=9.0, worth=1.0)
    regulate(idle_world)
    assert idle_world.control.regulator.cut is not first_cut


def test_capacity_goes_back_by_worth_and_not_below_the_average(idle_world):
    high_worth = customer(idle_world, 1, SOFT, rate=0.5, ratio=0.5, worth=4.0)
    low_worth = customer(idle_world, 2, HARD, rate=1.5, ratio=0.5, worth=1.0)
    high_worth.cap, low_worth.cap = 0.1, 0.1
    regulate(idle_world)
    assert high_worth.cap > high_worth.rate and low_worth.cap >= low_worth.rate
    for _ in range(40):
        regulate(idle_world)
    assert high_worth.cap is None and low_worth.cap is None  # both back at their shares


def test_cut_customer_recovers_within_seconds_once_nobody_fails(idle_world):
    """The recovery must not depend on the rate that the cut left."""
    flow = customer(idle_world, 1, HARD, rate=0.0, ratio=0.5, worth=1.0)
    flow.cap = 0.0
    for _ in range(int(10.0 / regions.PERIOD_S)):
        regulate(idle_world)
    assert flow.cap is None
