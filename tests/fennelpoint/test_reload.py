"""SIGHUP: switching to another discovery and another counter loses nothing."""

import asyncio
import json

from tests.fennelpoint.sockets import (
    SETTINGS,
    FakeBackend,
    FakeCounter,
    FakeDiscovery,
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


def write_config(harness, path, **changes) -> None:
    value = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": harness.discovery.address,
        "counter": harness.counter.address,
        "seed": "7",
        "limits": {"sockets": 1024},
        "settings": SETTINGS,
    }
    path.write_text(json.dumps({**value, **changes}))
    harness.ingress.path = str(path)


def test_new_discovery_is_asked_for_its_whole_list_and_the_old_one_followed_until_it_tells(tmp_path):
    async def scenario() -> None:
        old, new, silent = FakeBackend(), FakeBackend(), FakeServer(lambda reader, writer: reader.read())
        async with running_ingress(old) as harness:
            upstreams = harness.ingress.backends.upstreams
            write_config(harness, tmp_path / "config", discovery=await silent.start())
            harness.ingress.reload()
            await wait_until(lambda: silent.opened)
            harness.discovery.announce(member("s-9", await new.start()))  # the old discovery is still followed
            await wait_until(lambda: "s-9" in upstreams)
            # Same revision as the old list, which a watch of the old one would ignore.
            second = FakeDiscovery([member("s-9", new.address)])
            write_config(harness, tmp_path / "config", discovery=await second.start())
            harness.ingress.reload()
            await wait_until(lambda: "s-0" not in upstreams)
            assert second.requests[0] == "GET /v1/endpoints HTTP/1.1"
            assert (await send_request(harness, request()))[0].endswith("200 OK") and new.requests and not old.requests
            await wait_until(lambda: len(second.requests) > 1)
            request_count = len(harness.discovery.requests)
            second.announce(member("s-0", old.address))
            await wait_until(lambda: "s-0" in upstreams)
            assert len(harness.discovery.requests) == request_count and harness.ingress.new_discovery is None
            for fake in (new, silent, second):
                fake.stop()

    run(scenario())


def test_file_that_cannot_be_used_changes_nothing(tmp_path, caplog):
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            discovery, connection = harness.ingress.discovery, harness.ingress.counter.connection
            for changes in ({"counter": "nowhere"}, {"settings": {}}, {"discovery": None}):
                write_config(harness, tmp_path / "config", **changes)
                harness.ingress.reload()
            (tmp_path / "config").write_text('{"name": "n0", "disc')
            harness.ingress.reload()
            assert harness.ingress.discovery is discovery and harness.ingress.new_discovery is None
            assert (
                harness.ingress.counter.connection is connection and caplog.text.count("keeps its configuration") == 4
            )
            assert (await send_request(harness, request()))[0].endswith("200 OK")

    run(scenario())


def test_calls_in_flight_are_answered_by_the_old_counter_and_new_ones_go_to_the_new(tmp_path):
    async def scenario() -> None:
        go, replies = asyncio.Event(), []

        async def handle(reader, writer):
            await reader.readline()
            await go.wait()
            writer.write(b"ok 5\r\n")
            await reader.read()

        slow, count = FakeServer(handle), FakeCounter()
        async with running_ingress(FakeBackend()) as harness:
            counter = harness.ingress.counter
            counter.timeout = 20.0
            counter.set_address(*_address(await slow.start()))
            counter.call(1, 1.0, 4.0, replies.append)
            await wait_until(lambda: slow.opened and counter.connection and counter.connection.calls)
            write_config(harness, tmp_path / "config", counter=await count.start())
            harness.ingress.reload()
            harness.ingress.reload()  # reloads may be repeated
            await wait_until(lambda: count.opened)
            counter.call(2, 1.0, 4.0, replies.append)
            await wait_until(lambda: replies)
            assert (replies[0].key, replies[0].total) == (2, 1.0) and count.opened == 1
            go.set()
            await wait_until(lambda: len(replies) == 2)
            assert (replies[1].key, replies[1].total) == (1, 5.0)
            await wait_until(lambda: not counter.draining)
            slow.stop()
            count.stop()

    run(scenario())


def test_old_counter_serves_until_the_new_one_is_reached(tmp_path):
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            counter, replies = harness.ingress.counter, []
            counter.call(1, 1.0, 4.0, replies.append)
            await wait_until(lambda: replies)
            write_config(harness, tmp_path / "config", counter="127.0.0.1:1")  # no listener there
            harness.ingress.reload()
            counter.call(1, 1.0, 4.0, replies.append)
            await wait_until(lambda: len(replies) == 2)
            assert [r.total for r in replies] == [1.0, 2.0]

    run(scenario())


def test_requests_under_way_are_answered_over_a_reload(tmp_path):
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            second = FakeDiscovery([member("s-0", backend.address)])
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", remaining_ms=20_000))
            await wait_until(lambda: backend.requests)
            write_config(harness, tmp_path / "config", discovery=await second.start())
            harness.ingress.reload()
            await wait_until(lambda: len(second.requests) > 1)
            harness.discovery.stop()
            backend.writers[0].write(response(b"yes"))
            assert (await read_message(reader))[2] == b"yes"
            writer.close()
            second.stop()

    run(scenario())


def _address(text: str) -> tuple[str, int]:
    host, port = text.split(":")
    return host, int(port)
