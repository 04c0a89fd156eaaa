"""Answers that never come: attempt timeouts and what follows them."""

import pytest

from fennelpoint import interface as api
from tests.fennelpoint.worlds import KEYED, READY, SAFE, UNSAFE, World, make_settings

TIMEOUT = api.Status.TIMEOUT


@pytest.fixture
def fast_world() -> World:
    """Return a world whose answers all came within a tenth of the latency target."""
    world = World(make_settings(max_attempts=3, may_cancel=True))
    world.backends("a", "b", "c")
    for customer in range(250):
        for cls in (SAFE, UNSAFE, KEYED):
            (send,) = world.ask(cls, customer=customer)
            world.now += 0.05
            world.answer(send.request_id, send.backend, latency=0.05)
    return world


@pytest.mark.parametrize("cls", [SAFE, KEYED])
def test_attempt_without_an_answer_times_out_in_time_for_another(fast_world, cls):
    (send,) = fast_world.ask(cls, customer=1000)
    assert 0.05 < send.timeout < 0.5
    fast_world.now += send.timeout
    (again,) = fast_world.answer(send.request_id, send.backend, TIMEOUT, send.timeout)
    assert isinstance(again, api.Send) and again.backend != send.backend


def test_unsafe_request_has_no_attempt_timeout(fast_world):
    (send,) = fast_world.ask(UNSAFE, customer=1000)
    assert send.timeout == 0.0


def test_last_attempt_has_no_timeout(fast_world):
    (send,) = fast_world.ask(SAFE, customer=1000)
    for _ in range(2):
        fast_world.now += 0.1
        (send,) = fast_world.answer(send.request_id, send.backend, TIMEOUT, 0.1)
    assert send.timeout == 0.0


def test_timeout_grows_while_a_back_end_slows_down(fast_world):
    (send,) = fast_world.ask(SAFE, customer=1000)
    for customer in range(1001, 1010):
        (late,) = fast_world.ask(SAFE, customer=customer)
        fast_world.now += 0.2
        fast_world.answer(late.request_id, late.backend, latency=0.2)
    (later,) = fast_world.ask(SAFE, customer=1100)
    assert later.timeout > 1.5 * send.timeout


def test_cold_backend_has_a_longer_timeout(fast_world):
    (warm,) = fast_world.ask(SAFE, customer=1000)
    fast_world.roster(api.BackendEntry("cold", READY, started_at=fast_world.now - 4.0))  # its cold share is 0.52
    sends = fast_world.ask(SAFE, customer=1001)
    for customer in range(1002, 1020):  # a cold backend is drawn rarely
        sends = sends or fast_world.ask(SAFE, customer=customer)
    assert sends[0].backend == "cold" and sends[0].timeout > 1.5 * warm.timeout
