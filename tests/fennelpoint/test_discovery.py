"""Lists of backends: validation, and keeping the known list on failures."""

import asyncio
import json

import pytest

from fennelpoint.interface import BackendState, RosterKind
from fennelpoint.net.discovery import DiscoveryWatch, ListError, parse_address, parse_list
from fennelpoint.settings import from_json
from tests.fennelpoint.sockets import (
    SETTINGS,
    FakeBackend,
    FakeServer,
    member,
    read_message,
    request,
    response,
    run,
    running_ingress,
    send_request,
    wait_until,
)

ADDRESS = "127.0.0.1:80"


def listing(*members: object, revision: object = 3, complete: object = True) -> dict:
    return {"revision": revision, "complete": complete, "members": list(members)}


@pytest.mark.parametrize(
    "value, message",
    [
        (5, "is not an object"),
        (listing(revision="x"), "revision"),
        (listing(complete=1), "complete"),
        ({"revision": 1, "complete": True}, "members"),
    ],
)
def test_error_of_an_invalid_list_names_the_field(value, message):
    with pytest.raises(ListError, match=message):
        parse_list(value, from_json(SETTINGS))


@pytest.mark.parametrize(
    "bad",
    [
        7,
        {**member("b", ADDRESS), "phase": "asleep"},
        {**member("b", ADDRESS), "phase": ["up"]},
        member("b", "somewhere"),
        member("b", "127.0.0.1:0"),
        member("b", "127.0.0.900:80"),
        {**member("b", ADDRESS), "size": float("nan")},
        {**member("b", ADDRESS), "up_since_ms": "now"},
    ],
)
def test_invalid_member_does_not_affect_the_others(bad):
    update = parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS))
    assert [e.backend for e in update.roster.entries] == ["a"]
    if isinstance(bad, dict):  # else the full list would remove a known backend
        with pytest.raises(ListError, match=r"members\[1\]"):
            parse_list(listing(member("a", ADDRESS), bad), from_json(SETTINGS), {"b": ("127.0.0.1", 80)})


def test_fields_of_a_roster_entry():
    (entry,) = parse_list(listing(member("a", ADDRESS, "draining", 2500)), from_json(SETTINGS)).roster.entries
    assert (entry.state, entry.started_at, entry.zone, entry.kind) == (BackendState.DRAINING, 2.5, 0, 0)
    (entry,) = parse_list(listing(member("a", ADDRESS)), from_json(SETTINGS)).roster.entries
    assert entry.started_at == 0.0


@pytest.mark.parametrize("text", [None, "", "1.2.3.4", "1.2.3.4:x", "a.b.c.d:80", "1.2.3:80"])
def test_invalid_address(text):
    with pytest.raises(ListError, match="listen"):
        parse_address(text, "listen")


class ScriptedDiscovery:
    """A watch against a scripted service."""

    def __init__(self, handle, known=None, discovery="push") -> None:
        self.server, self.rosters, self.known = FakeServer(handle), [], known
        self.settings = from_json({**SETTINGS, "discovery": discovery})

    async def __aenter__(self):
        address = parse_address(await self.server.start(), "here")
        self.watch = DiscoveryWatch(
            asyncio.get_running_loop(),
            address,
            self.settings,
            lambda roster, addresses: self.rosters.append(roster),
            seed=1,
        )
        if self.known is not None:
            self.known.roster.kind = RosterKind.CACHED
            self.watch.apply(self.known)
        self.watch.start()
        return self

    async def __aexit__(self, *_):
        self.watch.stop()
        self.server.stop()


def test_whole_list_first_then_watches_from_its_version():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            for answer in (
                listing(member("a", ADDRESS)),
                listing(member("b", ADDRESS), revision=5, complete=False),
                listing(revision=5, complete=False),
            ):
                lines.append((await read_message(reader))[0])
                writer.write(response(json.dumps(answer).encode()))
            lines.append((await read_message(reader))[0])
            await reader.read()

        async with ScriptedDiscovery(handle) as harness:
            await wait_until(lambda: len(lines) == 4)
            assert [line.split()[1].partition("&")[0] for line in lines] == [
                "/v1/endpoints",
                "/v1/endpoints?from=3",
                "/v1/endpoints?from=5",
                "/v1/endpoints?from=5",
            ]
            assert [r.kind for r in harness.rosters] == [
                RosterKind.FULL,
                RosterKind.CHANGES,
            ] and harness.server.opened == 1

    run(scenario())


def test_list_known_at_the_start_is_watched_from_its_version_and_not_asked_for_anew():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            lines.append((await read_message(reader))[0])
            writer.write(response(json.dumps(listing(member("b", ADDRESS), revision=8, complete=False)).encode()))
            lines.append((await read_message(reader))[0])
            await reader.read()

        known = parse_list(listing(member("a", ADDRESS), revision=7), from_json(SETTINGS))
        async with ScriptedDiscovery(handle, known, discovery="ask") as harness:
            await wait_until(lambda: len(lines) == 2)
            assert [line.split()[1].partition("&")[0] for line in lines] == [
                "/v1/endpoints?from=7",
                "/v1/endpoints?from=8",
            ]
            assert [r.kind for r in harness.rosters] == [RosterKind.CACHED, RosterKind.CHANGES]

    run(scenario())


def test_agent_is_asked_for_the_whole_list_at_once_though_one_is_known():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            lines.append((await read_message(reader))[0])
            writer.write(response(json.dumps(listing(member("b", ADDRESS), revision=8)).encode()))
            await reader.read()

        known = parse_list(listing(member("a", ADDRESS), revision=7), from_json(SETTINGS))
        async with ScriptedDiscovery(handle, known) as harness:
            await wait_until(lambda: len(harness.rosters) == 2)
            assert lines[0].split()[1] == "/v1/endpoints" and harness.rosters[1].kind is RosterKind.FULL

    run(scenario())


class RecordingLoop:
    """Replaces the event loop and records the delays of timers."""

    def __init__(self) -> None:
        self.delays = []

    def call_later(self, delay, *_):
        self.delays.append(delay)
        return self

    def cancel(self) -> None:
        pass


def fleet_delays(ingresses: int, ask_every: float) -> tuple[list[float], list[list[float]]]:
    """Initial delays and delays after failures, for a fleet that starts all at once."""
    initial, retries = [], []
    settings = from_json(
        {
            **SETTINGS,
            "balancers": ingresses,
            "discovery": "ask" if ask_every else "push",
            "rules": {**SETTINGS["rules"], "ask_every_s": ask_every},
        }
    )
    for seed in range(ingresses):
        loop = RecordingLoop()
        watch = DiscoveryWatch(loop, parse_address(ADDRESS, "here"), settings, lambda *_: None, seed)
        watch.revision = 7
        watch.start()
        for _ in range(8):
            watch._retry_later("is overbooked")
        initial.append(loop.delays[0])
        retries.append(loop.delays[1:])
    return sorted(initial), retries


def test_large_fleet_does_not_overload_its_one_discovery_service():
    initial, retries = fleet_delays(40, ask_every=10.0)
    busiest = max(sum(at <= other < at + 1.0 for other in initial) for at in initial)
    assert busiest <= 10 and initial[-1] <= 10.0  # four per second on average
    assert all(delays[0] >= 5.0 and delays[-1] >= 20.0 for delays in retries)
    assert len({delays[0] for delays in retries}) == 40  # no two in step


def test_small_fleet_or_one_with_agents_asks_soon():
    initial, retries = fleet_delays(3, ask_every=10.0)
    assert initial[-1] <= 1.0 and all(delays[0] <= 1.0 for delays in retries)
    initial, retries = fleet_delays(40, ask_every=0.0)
    assert initial[-1] == 0.0 and all(delays[0] <= 0.1 and max(delays) <= 1.0 for delays in retries)


@pytest.mark.parametrize(
    "bad", [b"noise\r\n\r\n", response(b"{}"), response(b"[" * 100_000), response(b"{}", "500 No"), b""]
)
def test_list_is_kept_and_requested_again_after_an_invalid_answer(bad):
    async def scenario() -> None:
        async def handle(reader, writer):
            await read_message(reader)
            first = harness.server.opened == 1
            writer.write(response(json.dumps(listing(member("a" if first else "b", ADDRESS))).encode()))
            if first:
                await read_message(reader)
                writer.write(bad)
            else:
                await reader.read()

        async with ScriptedDiscovery(handle) as harness:
            await wait_until(lambda: len(harness.rosters) == 2)
            assert [[e.backend for e in r.entries] for r in harness.rosters] == [["a"], ["b"]]

    run(scenario())


def test_ingress_serves_by_the_list_it_had_while_discovery_is_down():
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            harness.discovery.stop()
            await wait_until(lambda: harness.ingress.discovery.transport is None)
            assert (await send_request(harness, request()))[2] == b"yes"

    run(scenario())
