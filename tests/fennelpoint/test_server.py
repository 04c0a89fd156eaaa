"""HTTP server: one answer to each request, no malformed request reaches a backend, and connections end."""

import asyncio
import gc
import re
import weakref

import pytest

from tests.fennelpoint.sockets import (
    FakeBackend,
    read_message,
    request,
    response,
    run,
    running_ingress,
    send_request,
    wait_until,
)

OVERSIZED = 32 * 1024 * 1024 + 1


@pytest.mark.parametrize(
    "data, status",
    [
        (request(drop="X-Txn"), 400),
        (request(X_Txn="a b"), 400),
        (request(X_Lane="dig"), 400),
        (request(drop="X-Lane"), 400),
        (request(Api_Plan="gold"), 400),
        (request(X_Remaining_Ms="soon"), 400),
        (request(X_Remaining_Ms="-5"), 400),
        (request(X_Remaining_Ms="1e3"), 400),
        (request(Cookie="account=zz"), 400),
        (request(Cookie="account=ffffffffffffffff"), 400),
        (request(Cookie="account=00000000b4d65521; account=00000000b4d65522"), 400),
        (request(Api_Terms="units=nan,spread=2,first=0"), 400),
        (request(Api_Terms="units=4,spread=2,first=0"), 400),
        (request(Api_Terms="units=1,spread=3,first=0"), 400),
        (request(Api_Terms="units=1,spread=2,first=inf"), 400),
        (request(Api_Terms="units=1"), 400),
        (request(extra_lines="X-Lane: book\r\n"), 400),
        (request(Content_Length="3", body=b"abc"), 400),
        (request("book", X_Lane="look"), 400),
        (request("book", b"abc", Content_Length="-3"), 400),
        (request("book", b"abc", Content_Length="3, 3"), 400),
        (request("book", b"abc", extra_lines="Content-Length: 4\r\n"), 400),
        (request("book", b"0\r\n\r\n", extra_lines="Transfer-Encoding: chunked\r\n"), 400),
        (request("book", b"3\r\nabc\r\n0\r\n\r\n", Transfer_Encoding="xchunked"), 400),
        (request("book", b"zz\r\n", Transfer_Encoding="chunked"), 400),
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost : x\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nX: " + b"y" * 40_000, 431),
        (request("book", b"abc", Content_Length=str(OVERSIZED)), 413),
        (request(body=bytes(70_000), Content_Length="70000"), 400),
        (request("book", bytes(70_000), drop="X-Txn"), 400),
        (request("book", b"0\r\nX: " + b"y" * 900_000, Transfer_Encoding="chunked"), 413),
        (request("book", b"3;" + b"y" * 900_000, Transfer_Encoding="chunked"), 413),
        (request("book", b"0\r\n\r\n", Transfer_Encoding="chunked").replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (request(drop="Host"), 400),
    ],
    ids=lambda value: str(value) if isinstance(value, int) else "request",
)
def test_bad_request_is_answered_and_reaches_no_backend(data, status):
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            # In pieces as well: an endless head must not be buffered forever.
            for at in range(0, len(data), 9000):
                writer.write(data[at : at + 9000])
                await asyncio.sleep(0)
            line, fields, _ = await read_message(reader)
            assert int(line.split()[1]) == status and fields["connection"] == "close"
            assert await reader.read() == b""
            writer.close()
            assert not backend.requests and not harness.ingress.host.in_flight

    run(scenario())


def test_chunked_body_goes_on_with_its_length():
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            data = request(
                "book",
                b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Lane: look\r\n\r\n",
                remaining_ms=5000,
                Transfer_Encoding="chunked",
            )
            assert (await send_request(harness, data))[0].endswith("200 OK")
            line, fields, body = backend.requests[0]
            assert body == b"abcde" and "transfer-encoding" not in fields

    run(scenario())


def test_requests_behind_one_another_are_answered_in_their_order():
    async def scenario() -> None:
        backend = FakeBackend(lambda line, fields, body: response(fields["x-txn"].encode()))
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(request(X_Txn=f"t{i}") for i in range(5)))
            assert [(await read_message(reader))[2] for _ in range(5)] == [b"t%d" % i for i in range(5)]
            writer.close()

    run(scenario())


def test_bytes_of_one_request_do_not_count_for_the_next():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            first, second = request("book", bytes(60_000), remaining_ms=5000), request()
            reader, writer = await harness.connect()
            writer.write(first[:1000])
            await wait_until(lambda: any(connection.in_body for connection in harness.ingress.server.connections))
            writer.write(first[1000:] + second[:50])
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.write(second[50:])
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_bad_request_behind_a_good_one_waits_for_its_turn():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            reader, writer = await harness.connect()
            writer.write(request() + b"nonsense\r\n\r\n")
            lines = [(await read_message(reader))[0] for _ in range(2)]
            assert [line.split()[1] for line in lines] == ["200", "400"] and await reader.read() == b""
            writer.close()

    run(scenario())


def test_refusal_has_retry_after():
    async def scenario() -> None:
        backend = FakeBackend()
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 0.5, "store_size": 1.0, "overrun_cost": 1.0}
        async with running_ingress(backend, contracts=[plan], extra={"has_counter": False, "units_top": 1}) as harness:
            answers = [await send_request(harness, request()) for _ in range(4)]
            refused = [fields for line, fields, _ in answers if line.split()[1] == "503"]
            assert refused and all(0.0 < float(f["retry-after"]) <= 0.5 for f in refused)
            assert len(backend.requests) == 4 - len(refused)

    run(scenario())


def test_request_of_a_client_that_leaves_is_dropped():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            _, writer = await harness.connect()
            writer.write(request(remaining_ms=400))
            await wait_until(lambda: backend.requests)
            writer.close()
            await wait_until(lambda: harness.ingress.host.unanswered == 0)
            await wait_until(lambda: not harness.ingress.host.in_flight and not harness.ingress.server.connections)

    run(scenario())


def test_request_is_answered_and_the_fault_logged_where_the_module_fails(caplog):
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:

            def broken(event, now):
                raise KeyError("lost")

            harness.ingress.host.controller.handle = broken
            assert (await send_request(harness, request()))[0].split()[1] == "502"
            assert "KeyError: 'lost'" in caplog.text

    run(scenario())


def test_request_that_the_module_forgets_is_answered_at_its_deadline():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            harness.ingress.host.controller.handle = lambda event, now: []
            assert (await send_request(harness, request(remaining_ms=200)))[0].split()[1] == "502"
            assert not harness.ingress.host.in_flight

    run(scenario())


def test_no_request_is_taken_as_ready_before_there_is_a_list():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            data = b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
            assert (await send_request(harness, data))[0].split()[1] == "200"
            harness.ingress.host.ready = False
            assert (await send_request(harness, data))[0].split()[1] == "503"

    run(scenario())


def test_stop_takes_what_still_comes_finishes_it_and_ends():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            idle = await harness.connect()
            writer.write(request("book", b"x", remaining_ms=5000))
            await wait_until(lambda: backend.requests)
            harness.ingress.stop()
            assert not harness.ingress.server.ready
            backend.answer = lambda *_: response(b"yes")
            line, fields, _ = await send_request(harness, request())  # the load balancer has not noticed yet
            assert line.split()[1] == "200" and fields["connection"] == "close"
            backend.writers[0].write(response(b"at last"))
            line, fields, body = await read_message(reader)
            assert body == b"at last" and fields["connection"] == "close"
            assert await idle[0].read() == b""
            for each in (writer, idle[1]):
                each.close()
            await asyncio.wait_for(harness.ingress.stopped, 10.0)

    run(scenario())


def test_stop_serves_what_was_read_behind_another_request():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(b"".join(request("book", b"x", remaining_ms=5000, X_Txn=f"t{i}") for i in range(3)))
            await wait_until(
                lambda: any(len(connection.queue) == 2 for connection in harness.ingress.server.connections)
            )
            harness.ingress.stop()
            backend.answer = lambda line, fields, body: response(fields["x-txn"].encode())
            backend.writers[0].write(response(b"t0"))
            answers = [await read_message(reader) for _ in range(3)]
            assert [body for _, _, body in answers] == [b"t0", b"t1", b"t2"]
            assert ["connection" in fields for _, fields, _ in answers] == [False, False, True]
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_time_of_a_request_runs_while_it_waits_behind_another():
    async def scenario() -> None:
        backend = FakeBackend(lambda line, fields, body: response(b"yes") if fields["x-txn"] != "first" else None)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(
                request("book", b"x", remaining_ms=300, X_Txn="first")
                + request("book", b"x", remaining_ms=100, X_Txn="short")
                + request("book", b"x", remaining_ms=5000, X_Txn="long")
            )
            assert [(await read_message(reader))[0].split()[1] for _ in range(3)] == ["502", "503", "200"]
            assert [fields["x-txn"] for _, fields, _ in backend.requests] == ["first", "long"]
            assert int(backend.requests[1][1]["x-remaining-ms"]) <= 4700
            writer.close()

    run(scenario())


def test_flood_on_one_connection_is_cut_off_and_the_rest_goes_on():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=120))
            await wait_until(lambda: backend.requests)
            for _ in range(40):
                writer.write(request(remaining_ms=120))
                await asyncio.sleep(0)
            answers = re.findall(rb"HTTP/1.1 (\d+)", await reader.read())
            writer.close()
            assert answers[-1] == b"400" and len(answers) < 40
            backend.answer = lambda *_: response(b"yes")
            assert (await send_request(harness, request()))[0].endswith("200 OK")

    run(scenario())


def test_client_that_reads_nothing_is_served_no_more_until_it_does():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: response(bytes(60_000)))
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            served = 0
            while not any(connection.is_write_paused for connection in harness.ingress.server.connections):
                writer.write(request(remaining_ms=20_000))
                served += 1
                assert served < 2000
                await wait_until(lambda: harness.ingress.host.unanswered == 0 and len(backend.requests) == served)  # noqa: B023
            writer.write(request(remaining_ms=20_000))
            await wait_until(lambda: any(connection.queue for connection in harness.ingress.server.connections))
            assert len(backend.requests) == served
            for _ in range(served + 1):
                assert len((await read_message(reader))[2]) == 60_000
            writer.close()

    run(scenario())


def test_id_that_is_open_on_another_connection_is_refused_and_not_sent_on():
    async def scenario() -> None:
        backend = FakeBackend(lambda *_: None)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", b"x", remaining_ms=20_000, X_Txn="one"))
            await wait_until(lambda: backend.requests)
            line, fields, _ = await send_request(harness, request(X_Txn="one"))
            assert line.split()[1] == "409" and fields["connection"] == "close" and len(backend.requests) == 1
            backend.writers[0].write(response(b"yes"))
            assert (await read_message(reader))[2] == b"yes"
            writer.close()
            await wait_until(lambda: not harness.ingress.host.in_flight)
            backend.answer = lambda *_: response(b"yes")
            assert (await send_request(harness, request(X_Txn="one")))[0].endswith("200 OK")

    run(scenario())


@pytest.mark.parametrize(
    "sent, expected_start",
    [
        (b"", b""),
        (b"GET /api HTTP/1.1\r\nX-Txn: 1\r\n", b"HTTP/1.1 408"),
        (request("book", b"abc", Content_Length="2000"), b"HTTP/1.1 408"),
        (request("book", b"5\r\nab", Transfer_Encoding="chunked"), b"HTTP/1.1 408"),
    ],
    ids=["silence", "half a head", "half a body", "half a chunk"],
)
def test_request_that_does_not_come_whole_is_ended_within_three_seconds(sent, expected_start):
    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            began = asyncio.get_running_loop().time()
            writer.write(sent)
            assert (await reader.read()).startswith(expected_start)
            assert asyncio.get_running_loop().time() - began < 3.0
            writer.close()
            await wait_until(lambda: not harness.ingress.server.connections)
            assert not backend.requests

    run(scenario())


def test_slow_client_is_served():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            data = request("book", b"abc" * 100, remaining_ms=20_000)
            reader, writer = await harness.connect()
            for at in range(0, len(data), len(data) // 8):
                writer.write(data[at : at + len(data) // 8])
                await asyncio.sleep(0.1)
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_silent_connections_are_evicted_and_requests_are_served():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            server = harness.ingress.server
            server.max_connections = 20
            kept = await harness.connect()
            kept[1].write(request())
            await read_message(kept[0])
            silent = [await harness.connect() for _ in range(15)]
            await wait_until(lambda: len(server.receiving) == 15)
            for connection in server.receiving:
                connection.state_since -= 1.0  # the grace time for new connections is over
            silent += [await harness.connect() for _ in range(15)]
            await wait_until(lambda: len(server.connections) <= 20)
            for _ in range(3):
                assert (await send_request(harness, request()))[0].endswith("200 OK")
            kept[1].write(request())
            assert (await read_message(kept[0]))[0].endswith("200 OK")
            for _, writer in (*silent, kept):
                writer.close()

    run(scenario())


def test_client_that_goes_on_sending_after_its_error_is_cut_off():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", bytes(1000), Content_Length="60000000"))
            assert (await read_message(reader))[0].split()[1] == "413"
            sent = 0
            while harness.ingress.server.connections:
                try:
                    writer.write(bytes(100_000))
                    await writer.drain()
                except (ConnectionError, RuntimeError):
                    break
                sent += 100_000
                await asyncio.sleep(0)
            assert sent < 20_000_000
            await wait_until(lambda: not harness.ingress.server.connections)

    run(scenario())


def test_closed_connections_are_freed_without_a_collection():
    """Parser and protocol refer to each other, and garbage collections are rare: the cycle must be broken on close."""

    async def scenario() -> None:
        backend = FakeBackend()
        async with running_ingress(backend) as harness:
            gc.collect()
            gc.disable()
            try:
                gone = []
                for _ in range(5):
                    reader, writer = await harness.connect()
                    writer.write(request())
                    await read_message(reader)
                    gone += map(
                        weakref.ref, (*harness.ingress.server.connections, *harness.ingress.backends.connections)
                    )
                    writer.close()
                    harness.ingress.backends.close_idle("s-0")
                    await wait_until(
                        lambda: not harness.ingress.server.connections and not harness.ingress.backends.connections
                    )
                await wait_until(lambda: not any(ref() for ref in gone), 5.0)
            finally:
                gc.enable()

    run(scenario())
