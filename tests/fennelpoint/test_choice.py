"""Choice of a backend: load reports, cold backends, preferred parts of a large fleet."""

from fennelpoint import interface as api
from fennelpoint.choice import CANDIDATES
from tests.fennelpoint.worlds import READY, SAFE, World, make_settings


def reporting_world(**changes) -> World:
    made = World(make_settings(report_fields=["inflight"], report_via="answers", **changes))
    made.backends("a", "b")
    return made


def sent_to(actions: list) -> list:
    return [a.backend for a in actions if isinstance(a, api.Send)]


def report(world: World, **loads: float) -> None:
    """Let each backend answer one request with its load report."""
    customer = 100
    while loads:
        customer += 1
        (backend,) = sent_to(world.ask(SAFE, customer=customer))
        values = [loads.pop(backend)] if backend in loads else []
        world.give(api.Outcome(world.ids, 0, backend, api.Status.OK, 0.1, True, report=values))


def test_backend_that_reported_least_is_not_sent_everything_until_its_next_report():
    world = reporting_world(ingresses=4)
    report(world, a=0.0, b=8.0)
    chosen = [sent_to(world.ask(SAFE, customer=i))[0] for i in range(6)]
    # The other three ingresses see the same report: with three requests of each it holds more than eight.
    assert chosen[0] == "a" and "b" in chosen


def test_cold_backend_gets_its_share_while_others_are_warm_and_less_where_none_is():
    """Cold backends must not idle while warm ones are overloaded."""

    def drawn(*started: float) -> dict[str, int]:
        world = World(make_settings(has_counter=False))
        world.roster(*(api.BackendEntry(name, READY, started_at=at) for name, at in zip("ab", started, strict=True)))
        counts = {"a": 0, "b": 0, "none": 0}
        for customer in range(1000):
            sends = [a for a in world.ask(customer=customer) if isinstance(a, api.Send)]
            counts[sends[0].backend if sends else "none"] += 1
            if sends:
                world.answer(sends[0].request_id, sends[0].backend, latency=0.05)
        return counts

    half = 100.0 - 10.0 * (0.5 - 0.2) / 0.8  # half warm, on a ramp of 10 s from a fifth
    beside = drawn(half, 0.0)
    assert beside["none"] == 0 and 215 < beside["a"] < 285
    alone = drawn(half, half)
    assert 290 < alone["a"] + alone["b"] < 420


def preferred_backends(fleet: int, backends: list[str]) -> list[list[str]]:
    """Return the backends that each ingress of a fleet prefers."""
    made = [World(make_settings(ingress_index=i, ingresses=fleet)) for i in range(fleet)]
    for world in made:
        world.backends(*backends)
    return [[b.entry.backend for b in world.control.fleet.ready[:CANDIDATES]] for world in made]


def test_ingresses_of_a_large_fleet_use_all_backends_evenly():
    """Independent random choices would give some backends twice the ingresses of others."""
    names = [f"m{i}" for i in range(60)]
    used = [sum(name in preferred for preferred in preferred_backends(40, names)) for name in names]
    assert sum(used) / 60 * 0.6 < min(used) and max(used) < sum(used) / 60 * 1.4


def test_preferred_backends_survive_a_restart_and_change_little_as_backends_are_added():
    names = [f"m{i}" for i in range(60)]
    before = preferred_backends(40, names)
    assert preferred_backends(40, names[::-1]) == before
    grown = preferred_backends(40, names + ["new1", "new2", "new3"])
    kept = sum(len(set(old) & set(new)) for old, new in zip(before, grown, strict=True))
    assert kept >= 0.9 * 40 * CANDIDATES


def test_report_counts_longer_where_ingresses_get_reports_rarely():
    """With 40 ingresses a report still counts after three seconds, as newer ones are rare."""

    def share_of_the_idle_backend(ingresses: int) -> float:
        world = reporting_world(ingresses=ingresses, has_counter=False)
        report(world, a=0.0, b=8.0)
        world.now += 3.0
        chosen = []
        for customer in range(1000):
            (backend,) = sent_to(world.ask(SAFE, customer=200 + customer, spread=1.0))
            world.give(api.Outcome(world.ids, 0, backend, api.Status.OK, 0.1, True))
            chosen.append(backend)
        return chosen.count("a") / len(chosen)

    assert share_of_the_idle_backend(40) > 0.72
    assert share_of_the_idle_backend(4) > 0.5
