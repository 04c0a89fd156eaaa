"""Connection pool: reuse of connections, and what the end of each exchange proves."""

import asyncio

import pytest

from fennelpoint.interface import BackendState, Probe, Status
from fennelpoint.net import backends
from fennelpoint.net.backends import Exchange, parse_load_report
from tests.fennelpoint.sockets import (
    FakeBackend,
    member,
    request,
    response,
    run,
    running_ingress,
    send_request,
    wait_until,
)

# Status codes of the client's answers.
SERVED, REFUSED, FAILED = "200", "503", "502"
ACCOUNT = b"%d" % 0xB4D65521  # the default customer, as named to the counter


def status(answer: tuple) -> str:
    return answer[0].split()[1]


def test_a_connection_is_kept_and_used_again():
    """Whether to keep a connection must be asked while the parser runs; it forgets it on return."""

    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            for _ in range(5):
                line, _, body = await send_request(harness, request())
                assert line == "HTTP/1.1 200 OK" and body == b"yes"
            assert len(backend.requests) == 5 and backend.opened == 1
            await wait_until(lambda: len(harness.discovery.requests) > 4)
            assert harness.discovery.opened == 1

    run(scenario())


def test_request_goes_on_with_its_method_path_body_and_id():
    async def scenario() -> None:
        backend = FakeBackend(lambda line, fields, body: response(body[::-1]))
        async with running_ingress(backend) as harness:
            answer = await send_request(
                harness, request("book", b"0123", remaining_ms=5000, path="/api/x?y=1", X_Txn="abc")
            )
            assert answer[2] == b"3210"
            line, fields, body = backend.requests[0]
            assert (line, body, fields["x-txn"]) == ("POST /api/x?y=1 HTTP/1.1", b"0123", "abc")
            assert 0 < int(fields["x-remaining-ms"]) <= 5000

    run(scenario())


@pytest.mark.parametrize(
    "answer, expected",
    [
        (response(b"no", "500 Internal Server Error"), FAILED),
        (response(b"no", "503 Service Unavailable"), FAILED),  # without the field that proves that it has not run
        (b"", FAILED),  # closed after the whole request
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", None),  # truncated, then silence until the deadline
        (b"noise without sense\r\n\r\n", FAILED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nyes", FAILED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + bytes(90000), FAILED),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000, FAILED),
    ],
    ids=lambda value: value if isinstance(value, str) else "answer",
)
def test_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(answer, expected):
    async def scenario() -> None:
        backends = [FakeBackend(lambda *_: answer), FakeBackend(lambda *_: answer)]
        async with running_ingress(*backends) as harness:
            got = await send_request(harness, request("book", b"x", remaining_ms=600))
            assert status(got) == (expected or FAILED)
            assert sum(len(backend.requests) for backend in backends) == 1

    run(scenario())


def test_unsafe_request_that_was_turned_away_is_sent_again():
    async def scenario() -> None:
        answers = iter([response(b"", "503 Busy", "X-Turned-Away: 1\r\n"), response(b"yes")])
        backend = FakeBackend(lambda *_: next(answers))
        async with running_ingress(backend) as harness:
            assert status(await send_request(harness, request("book", b"x", remaining_ms=5000))) == SERVED
            assert len(backend.requests) == 2 and backend.opened == 1

    run(scenario())


def test_refused_connect_goes_to_the_other_backend():
    async def scenario() -> None:
        down, up = FakeBackend(), FakeBackend()
        async with running_ingress(down, up) as harness:
            down.stop()
            for _ in range(4):
                assert status(await send_request(harness, request("book", b"x", remaining_ms=5000))) == SERVED
            assert len(up.requests) == 4

    run(scenario())


def test_late_answer_is_dropped_with_its_connection():
    """If the connection were kept, the next request would get this answer."""

    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            assert status(await send_request(harness, request("book", b"1", remaining_ms=200))) == FAILED
            backend.writers[0].write(response(b"late"))
            backend.answer = lambda *_: response(b"its own")
            assert (await send_request(harness, request("book", b"2", remaining_ms=5000)))[2] == b"its own"
            assert backend.opened == 2

    run(scenario())


@pytest.mark.parametrize("excess", [response(b"another"), b"noise"])
def test_answer_with_more_behind_it_is_served_and_its_connection_dropped(excess):
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: response(b"yes") + excess)
        async with running_ingress(backend) as harness:
            for _ in range(2):
                assert (await send_request(harness, request()))[2] == b"yes"
            assert backend.opened == 2

    run(scenario())


def test_interim_answer_is_passed_over():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + response(b"yes"))
        async with running_ingress(backend) as harness:
            assert (await send_request(harness, request()))[2] == b"yes"

    run(scenario())


def test_idle_connection_that_the_backend_closed_is_not_used():
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            await send_request(harness, request())
            backend.writers[0].close()
            assert status(await send_request(harness, request("book", b"x", remaining_ms=5000))) == SERVED
            assert backend.opened == 2

    run(scenario())


def test_drained_backend_gets_nothing_more_and_a_restarted_one_new_connections():
    async def scenario() -> None:
        one, two = FakeBackend(), FakeBackend()
        async with running_ingress(one, two) as harness:
            upstreams = harness.ingress.backends.upstreams
            harness.discovery.announce(member("s-0", one.address, "draining"))
            await wait_until(lambda: not upstreams["s-0"].accepts_requests)
            for _ in range(6):
                await send_request(harness, request())
            assert len(one.requests) == 0 and len(two.requests) == 6
            before = two.opened
            harness.discovery.announce(
                member("s-0", one.address, "removed"), member("s-1", two.address, up_since_ms=1000)
            )
            await wait_until(lambda: upstreams["s-1"].started_at == 1.0)
            await send_request(harness, request())
            assert two.opened == before + 1 and "s-0" not in upstreams

    run(scenario())


def test_backend_that_begins_to_drain_while_its_connection_comes_up_gets_no_byte():
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            pool, ended = harness.ingress.backends, []
            pool.begin(Exchange(lambda: b"GET / HTTP/1.1\r\n\r\n", lambda *end: ended.append(end)), "s-0")
            pool.upstreams["s-0"].state = BackendState.DRAINING  # discovery reports this in the meantime
            await wait_until(lambda: ended)
            assert ended == [(Status.CONNECT_FAILED, None)]
            await wait_until(lambda: backend.opened)
            assert not backend.requests and not pool.connections

    run(scenario())


def test_backend_that_says_nothing_ends_at_the_deadline():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await send_request(harness, request("book", b"x", remaining_ms=300))) == FAILED
            assert loop.time() - began >= 0.29
            assert not harness.ingress.host.in_flight

    run(scenario())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nyes",
        b"HTTP/1.1 200 OK\r\n\r\nyes",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes",
        b"HTTP/1.1 200 OK\r\nX: ",
    ],
    ids=["gigabytes", "no end told", "length over what comes", "half a head"],
)
def test_answer_that_will_not_come_whole_does_not_hold_its_request(answer):
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: answer)
        async with running_ingress(backend) as harness:
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert status(await send_request(harness, request("book", b"x", remaining_ms=20_000))) == FAILED
            assert loop.time() - began < 10.0
            await wait_until(lambda: not harness.ingress.backends.connections)

    run(scenario())


def test_answer_cut_short_leaves_time_for_another_attempt(monkeypatch):
    # So that only the latency target limits the stall time.
    monkeypatch.setattr(backends, "ANSWER_STALL_TIMEOUT_S", 60.0)

    async def scenario() -> None:
        answers = [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", response(b"whole")]
        backend = FakeBackend(lambda *_: answers.pop(0))
        async with running_ingress(backend) as harness:
            line, _, body = await send_request(harness, request(remaining_ms=20_000))
            assert status((line,)) == SERVED and body == b"whole" and len(backend.requests) == 2

    run(scenario())


def test_our_own_lack_of_connections_is_not_the_backends_fault():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            pool, ended = harness.ingress.backends, []
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", remaining_ms=20_000))
            await wait_until(lambda: backend.requests)
            pool.max_connections = 1
            pool.begin(Exchange(lambda: b"", lambda *end: ended.append(end)), "s-0")
            assert ended == [(Status.NOT_SENT, None)]
            assert status(await send_request(harness, request(remaining_ms=2000))) == REFUSED
            known = harness.ingress.host.controller.fleet.backends["s-0"]
            assert known.failures == 0 and known.slowness == 1.0
            writer.close()

    run(scenario())


def test_lowered_limit_closes_only_excess_connections():
    async def scenario() -> None:
        async with running_ingress(FakeBackend(delay=0.05)) as harness:
            await asyncio.gather(*(send_request(harness, request()) for _ in range(6)))
            pool = harness.ingress.backends
            assert len(pool.connections) == len(pool.upstreams["s-0"].idle) == 6
            pool.max_connections = 4
            pool.sweep()
            await wait_until(lambda: len(pool.connections) == 4)
            assert len(pool.upstreams["s-0"].idle) == 4

    run(scenario())


@pytest.mark.parametrize("data", [b"[" * 60_000, b'{"util": NaN}', b'{"util": 1e999}', b"\xff", b"", b"3"])
def test_invalid_load_report_is_empty(data):
    assert parse_load_report(data, ["util"]) == []


def test_probe_with_a_too_deeply_nested_report_is_reported():
    async def scenario() -> None:
        backend = FakeBackend(lambda line, *_: response(b"[" * 60_000))
        async with running_ingress(backend, report={"via": "probe", "fields": "util"}) as harness:
            host, events = harness.ingress.host, []
            host.controller.handle = lambda event, now: events.append(event) or []
            host._probe(Probe("s-0"))
            await wait_until(lambda: events)
            assert events[0].report == [] and events[0].status is Status.OK

    run(scenario())


def test_counter_is_told_of_accepted_requests_and_not_of_refused_ones():
    """Reporting refused requests as taken emptied the customer's quota at all ingresses."""

    async def scenario() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 10.0, "store_size": 20.0}
        async with running_ingress(FakeBackend(), contracts=[plan]) as harness:
            statuses: list[str] = []

            async def keep_asking() -> None:
                while harness.counter.calls.count(ACCOUNT) < 5 or statuses.count(REFUSED) < 50:
                    answer = await send_request(harness, request(Api_Terms="units=1,spread=1,first=0"))
                    statuses.append(status(answer))

            await asyncio.gather(*(keep_asking() for _ in range(30)))
            served, total = statuses.count(SERVED), harness.counter.totals[ACCOUNT]
            assert 0 < total <= served
            # Refused requests are counted under a name of their own.
            assert sum(harness.counter.totals.values()) > served

    run(scenario())


def test_a_few_rejected_attempts_do_not_stop_other_requests():
    """Each rejection shrank the window of concurrent attempts: thirty in a row brought it below one."""

    async def scenario() -> None:
        turned_away = iter(range(30))

        def answer(line, fields, body) -> bytes:
            if next(turned_away, None) is not None:
                return response(b"", "503 Service Unavailable", "X-Turned-Away: 1\r\n")
            return response(b"yes")

        async with running_ingress(*(FakeBackend(answer, 0.02) for _ in range(8))) as harness:
            control = harness.ingress.host.controller
            before = control.window.size
            statuses = [status(a) for a in await asyncio.gather(*(send_request(harness, request()) for _ in range(24)))]
            assert next(turned_away, None) is None
            assert statuses.count(SERVED) > 12 and control.window.size > before / 4

    run(scenario())
