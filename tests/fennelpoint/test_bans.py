"""Backends that operators withdraw: they get no requests, whatever the roster says."""

import pytest

from fennelpoint import interface as api
from tests.fennelpoint.worlds import DRAINING, GONE, READY, SAFE, World, make_settings


def sent(world: World, times: int = 20) -> dict[str, int]:
    """Count by backend where requests go, each answered at once."""
    counts: dict[str, int] = {}
    for _ in range(times):
        for a in world.ask(SAFE, customer=1000 + world.ids):
            if isinstance(a, api.Send):
                counts[a.backend] = counts.get(a.backend, 0) + 1
                world.answer(a.request_id, a.backend)
        world.wait(0.05)
    return counts


@pytest.mark.parametrize(
    "then",
    [
        [],
        [api.BackendEntry("a", READY, started_at=99.0), api.BackendEntry("b", READY)],
        [api.BackendEntry("b", READY)],
    ],
    ids=["nothing", "a new start", "gone from the list"],
)
def test_withdrawal_outlives_every_roster(world, then):
    assert "a" in sent(world)
    world.give(api.Withdraw("a"))
    if then:
        world.roster(*then)
    assert set(sent(world)) == {"b"}
    world.roster(api.BackendEntry("a", READY, started_at=99.5), kind=api.RosterKind.CHANGES)
    assert set(sent(world)) == {"b"}
    world.give(api.Restore("a"))
    world.wait(world.settings.ramp_time)
    assert "a" in sent(world)


def test_restored_backend_is_cold_and_warms_up_in_the_ramp_time(world):
    backend = world.control.fleet.backends["a"]
    world.give(api.Withdraw("a"))
    world.give(api.Withdraw("a"))
    world.wait(1.0)
    world.give(api.Restore("a"))  # one call ends both withdrawals
    assert world.control.choice.cold_share(backend, world.now) == world.settings.cold_share
    assert 0 < sent(world, 40).get("a", 0) < 20
    world.wait(world.settings.ramp_time)
    assert world.control.choice.cold_share(backend, world.now) == 1.0
    # The roster lists a start from before the restart late: the backend stays cold.
    world.give(api.Withdraw("a"))
    world.give(api.Restore("a"))
    world.roster(api.BackendEntry("a", READY, started_at=world.now - 50.0), kind=api.RosterKind.CHANGES)
    share = world.control.choice.cold_share(world.control.fleet.backends["a"], world.now)
    assert share == world.settings.cold_share


def test_ramp_begins_at_a_start_that_was_listed_while_withdrawn(world):
    world.give(api.Withdraw("a"))
    world.wait(2.0)
    world.roster(api.BackendEntry("a", READY, started_at=world.now), kind=api.RosterKind.CHANGES)
    world.wait(5.0)
    world.give(api.Restore("a"))
    share = world.control.choice.cold_share(world.control.fleet.backends["a"], world.now)
    assert share == pytest.approx(0.2 + 0.8 * 0.5)


def test_restore_without_a_withdrawal_keeps_a_backend_warm(world):
    world.give(api.Restore("a"))
    assert world.control.choice.cold_share(world.control.fleet.backends["a"], world.now) == 1.0


def test_held_request_is_sent_once_the_only_backend_is_restored():
    world = World(make_settings(cold_share=1.0))
    world.backends("a")
    world.give(api.Withdraw("a"))
    assert not [a for a in world.ask(SAFE) if isinstance(a, api.Send)]
    assert [a for a in world.give(api.Restore("a")) if isinstance(a, api.Send)]


def test_controller_reports_known_backends_and_unused_ones(world):
    assert world.control.knows("a") and not world.control.knows("c")
    assert world.control.backend_counts(world.now) == (2, 0)
    world.give(api.Withdraw("a"))
    world.roster(api.BackendEntry("c", DRAINING), kind=api.RosterKind.CHANGES)
    assert world.control.backend_counts(world.now) == (3, 2)
    world.roster(api.BackendEntry("a", GONE), kind=api.RosterKind.CHANGES)
    assert world.control.backend_counts(world.now) == (2, 1) and world.control.knows("a")
    actions = world.ask(SAFE)
    assert [a.backend for a in actions] == ["b"]
    world.answer(actions[0].request_id, "b", api.Status.RESET)
    assert world.control.backend_counts(world.now) == (2, 2)  # paused after a failure
