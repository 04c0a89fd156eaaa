"""Management API: effect of each call, and callers do not block each other."""

import asyncio
import re

import pytest

from fennelpoint.net import operators
from tests.fennelpoint import sockets
from tests.fennelpoint.sockets import FakeBackend, member, read_message, request, run, running_ingress, wait_until


async def call(harness, method: str, path: str) -> tuple[int, dict[str, str], str]:
    reader, writer = await asyncio.open_connection(*harness.mgmt)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: operators\r\nContent-Length: 0\r\n\r\n".encode())
    line, fields, body = await read_message(reader)
    assert await reader.read() == b"" and fields["connection"] == "close"
    writer.close()
    return int(line.split()[1]), fields, body.decode()


async def read_metrics(harness) -> dict[str, float]:
    _, fields, text = await call(harness, "GET", "/v1/metrics")
    assert fields["content-type"].startswith("text/plain; version=0.0.4")
    return {name: float(value) for name, value in re.findall(r"^(app_\S+) (\S+)$", text, re.MULTILINE)}


async def ready(harness) -> int:
    reader, writer = await harness.connect()
    writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
    status = int((await read_message(reader))[0].split()[1])
    writer.close()
    return status


@pytest.mark.parametrize(
    "method, path, status",
    [
        ("GET", "/v1/readyz", 200),
        ("GET", "/v1/readyz?verbose=1", 200),
        ("POST", "/v1/readyz", 405),
        ("GET", "/v1/ingress/drain", 405),
        ("GET", "/v1/menu-servers/s-0/suspend", 405),
        ("POST", "/v1/menu-servers/s-0/suspend", 200),
        ("POST", "/v1/menu-servers/s%2D0/suspend", 200),
        ("POST", "/v1/menu-servers/s-0/resume", 200),
        ("POST", "/v1/menu-servers/s-9/suspend", 404),
        ("POST", "/v1/menu-servers/s-9/resume", 404),
        ("POST", "/v1/menu-servers//suspend", 404),
        ("POST", "/v1/menu-servers/s-0/restart", 404),
        ("GET", "/v1/nothing", 404),
        ("GET", "/", 404),
    ],
)
def test_status_of_each_call(method, path, status):
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            got, fields, _ = await call(harness, method, path)
            assert got == status
            assert status != 405 or fields["allow"] in ("GET", "POST")

    run(scenario())


def test_not_ready_is_503():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            harness.ingress.host.ready = False
            assert (await call(harness, "GET", "/v1/readyz"))[0] == 503

    run(scenario())


@pytest.mark.parametrize(
    "data, status",
    [
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET /v1/readyz HTTP/1.1\r\nX: " + b"y" * 20_000, 413),
        (b"GET /v1/readyz HTTP/1.1\r\nHo", 408),
    ],
)
def test_invalid_and_incomplete_calls_are_answered_and_closed(monkeypatch, data, status):
    monkeypatch.setattr(operators, "CALL_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            reader, writer = await asyncio.open_connection(*harness.mgmt)
            writer.write(data)
            assert int((await read_message(reader))[0].split()[1]) == status
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not harness.ingress.operators.callers)

    run(scenario())


def test_call_in_pieces_from_a_caller_that_closes_its_side_is_answered():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            reader, writer = await asyncio.open_connection(*harness.mgmt)
            for piece in (b"POST /v1/ingress/dr", b"ain HTTP/1.1\r\nHost: x\r\nContent-Len", b"gth: 2\r\n\r\n{", b"}"):
                writer.write(piece)
                await asyncio.sleep(0.02)
            writer.write_eof()
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_silent_callers_do_not_lock_out_others(monkeypatch):
    monkeypatch.setattr(operators, "CALL_TIMEOUT_S", 60.0)  # so that only the limit can close them

    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            silent = [await asyncio.open_connection(*harness.mgmt) for _ in range(3 * operators.MAX_CALLERS)]
            for _ in range(3):
                assert (await call(harness, "GET", "/v1/readyz"))[0] == 200
            assert len(harness.ingress.operators.callers) <= operators.MAX_CALLERS
            for _, writer in silent:
                writer.close()

    run(scenario())


def test_metrics_start_at_zero_for_every_class_and_count_each_end_once():
    async def scenario() -> None:
        backend = FakeBackend()
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 0.5, "store_size": 4.0, "overrun_cost": 1.0}
        settings = dict(contracts=[plan], extra={"has_counter": False, "units_top": 1})
        async with running_ingress(backend, **settings) as harness:
            names = ("answered", "deferred", "errored", "sends")
            zero = {f'app_{name}{{group="{group}"}}': 0.0 for name in names for group in ("look", "book")}
            assert await read_metrics(harness) == {
                **zero,
                "app_current": 0.0,
                "app_cluster_size": 1.0,
                "app_cluster_unhealthy": 0.0,
            }
            statuses = []
            for _ in range(4):  # this ingress holds a quota of two requests
                reader, writer = await harness.connect()
                writer.write(request())
                statuses.append((await read_message(reader))[0].split()[1])
                writer.close()
            backend.answer = lambda *_: b""
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", remaining_ms=5000, Cookie="account=0000000000000002"))
            assert (await read_message(reader))[0].split()[1] == "502"
            writer.close()
            metrics = await read_metrics(harness)
            served = statuses.count("200")
            assert 0 < served < 4 and statuses.count("503") == 4 - served
            assert metrics['app_answered{group="look"}'] == served == metrics['app_sends{group="look"}']
            assert metrics['app_deferred{group="look"}'] == 4 - served
            assert metrics['app_errored{group="book"}'] == metrics['app_sends{group="book"}'] == 1
            assert metrics['app_answered{group="book"}'] == metrics['app_errored{group="look"}'] == 0

    run(scenario())


def test_metrics_show_open_requests_and_unused_servers():
    async def scenario() -> None:
        silent, other = FakeBackend(lambda *_: None), FakeBackend(lambda *_: None)
        async with running_ingress(silent, other) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000))
            await wait_until(lambda: silent.requests or other.requests)
            await call(harness, "POST", "/v1/menu-servers/s-1/suspend")
            metrics = await read_metrics(harness)
            assert (metrics["app_current"], metrics["app_cluster_size"], metrics["app_cluster_unhealthy"]) == (1, 2, 1)
            writer.close()
            await wait_until(lambda: harness.ingress.host.unanswered == 0)
            assert (await read_metrics(harness))["app_current"] == 0

    run(scenario())


def test_suspended_server_gets_nothing_through_lists_and_new_starts_until_it_is_resumed():
    async def scenario() -> None:
        one, two = FakeBackend(delay=0.02), FakeBackend(delay=0.02)
        rules = {**sockets.SETTINGS["rules"], "cold_share": 1.0}  # otherwise a restored server gets few requests
        async with running_ingress(one, two, rules=rules) as harness:
            upstreams = harness.ingress.backends.upstreams

            async def send_requests(times: int) -> None:
                """Concurrently, so that every server in use gets some requests."""
                answers = await asyncio.gather(*(sockets.send_request(harness, request()) for _ in range(times)))
                assert all(line.endswith("200 OK") for line, _, _ in answers)

            await send_requests(12)
            seen = len(one.requests)
            assert seen
            assert (await call(harness, "POST", "/v1/menu-servers/s-0/suspend"))[0] == 200
            assert not upstreams["s-0"].idle and not upstreams["s-0"].accepts_requests
            await send_requests(6)
            harness.discovery.announce(member("s-0", one.address, up_since_ms=1000))
            await wait_until(lambda: upstreams["s-0"].started_at == 1.0)
            await send_requests(6)
            harness.discovery.announce(member("s-0", one.address, "removed"))
            await wait_until(lambda: "s-0" not in upstreams)
            harness.discovery.announce(member("s-0", one.address, up_since_ms=2000))
            await wait_until(lambda: "s-0" in upstreams)
            assert (await call(harness, "POST", "/v1/menu-servers/s-0/suspend"))[0] == 200  # repeated call
            await send_requests(6)
            assert len(one.requests) == seen
            assert (await call(harness, "POST", "/v1/menu-servers/s-0/resume"))[0] == 200
            harness.discovery.announce(member("s-1", two.address, "removed"))
            await wait_until(lambda: "s-1" not in upstreams)
            await send_requests(1)
            assert len(one.requests) == seen + 1

    run(scenario())


def test_drain_sends_clients_away_without_loss_and_activate_undoes_it(monkeypatch):
    monkeypatch.setattr("fennelpoint.net.server.DRAIN_CLOSE_DELAY_S", 0.3)
    monkeypatch.setattr("fennelpoint.net.server.DRAIN_MIN_IDLE_S", 0.1)

    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            idle, used = await harness.connect(), await harness.connect()
            busy_reader, busy = await harness.connect()
            busy.write(request("book", b"x", remaining_ms=20_000))
            await wait_until(lambda: backend.requests)
            assert (await call(harness, "POST", "/v1/ingress/drain"))[0] == 200
            assert await ready(harness) == 503 and (await call(harness, "GET", "/v1/readyz"))[0] == 503
            backend.answer = lambda line, fields, body: b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
            used[1].write(request())
            line, fields, _ = await read_message(used[0])
            assert line.endswith("200 OK") and fields["connection"] == "close"
            assert await idle[0].read() == b""  # closed after the delay for the load balancer
            backend.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes")
            line, fields, body = await read_message(busy_reader)
            assert body == b"yes" and fields["connection"] == "close"
            for writer in (idle[1], used[1], busy):
                writer.close()
            assert (await call(harness, "POST", "/v1/ingress/activate"))[0] == 200
            assert await ready(harness) == 200
            reader, writer = await harness.connect()
            writer.write(request())
            line, fields, _ = await read_message(reader)
            assert line.endswith("200 OK") and "connection" not in fields
            writer.close()

    run(scenario())


def test_stopping_ingress_cannot_be_activated():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            harness.ingress.stop()
            assert (await call(harness, "POST", "/v1/ingress/activate"))[0] == 409
            assert await ready(harness) == 503

    run(scenario())
