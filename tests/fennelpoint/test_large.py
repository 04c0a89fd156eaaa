"""Bodies too large to buffer: streamed within bounds, and a broken stream never looks complete."""

import asyncio

import pytest

from fennelpoint import interface as api
from fennelpoint.net import flow, server
from fennelpoint.net.flow import BufferBudget, Upload
from tests.fennelpoint.sockets import (
    FakeBackend,
    FakeServer,
    read_message,
    request,
    response,
    run,
    running_ingress,
    send_request,
    wait_until,
)
from tests.fennelpoint.worlds import READY, SAFE, UNSAFE, World, make_settings

LARGE = bytes(range(256)) * 1200  # 300 KiB


class ScriptedBackend(FakeBackend):
    """A backend whose connections are scripted by the test, after each request's head."""

    def __init__(self, script) -> None:
        FakeServer.__init__(self, self._heads)
        self.script, self.heads = script, []

    async def _heads(self, reader, writer) -> None:
        while True:
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            await self.script(reader, writer)


async def read_head(reader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return head[0], {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:] if line)}


async def read_chunks(reader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        assert await reader.readuntil(b"\r\n") == b"\r\n"
    assert await reader.readuntil(b"\r\n") == b"\r\n"
    return body


async def read_body(reader, fields: dict[str, str]) -> bytes:
    if fields.get("transfer-encoding") == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(fields["content-length"]))


def chunked(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE,
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunked(LARGE, 5000, b";a=b", b"X-Turned-Away: 1\r\n"),
    "until the close": b"HTTP/1.1 200 OK\r\n\r\n" + LARGE,
}


@pytest.mark.parametrize("form", ANSWERS)
def test_large_answer_goes_out_as_it_comes_and_whole(form):
    async def scenario() -> None:
        go_on, data = asyncio.Event(), ANSWERS[form]

        async def answer(reader, writer) -> None:
            for at in range(0, 150_000, 7001):  # split at arbitrary points
                writer.write(data[at : min(at + 7001, 150_000)])
                await asyncio.sleep(0)
            await go_on.wait()
            writer.write(data[150_000:])
            if form == "until the close":
                writer.close()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            for _ in range(2):
                go_on.clear()
                writer.write(request(remaining_ms=20_000))
                line, fields = await read_head(reader)
                assert line == "HTTP/1.1 200 OK" and "x-turned-away" not in fields
                first = await reader.readexactly(60_000)  # while the rest is not written yet
                assert harness.ingress.host.unanswered == 1
                go_on.set()
                reader._buffer[:0] = first
                assert await read_body(reader, fields) == LARGE
            writer.close()
            await wait_until(lambda: harness.ingress.host.unanswered == 0 and harness.ingress.backends.budget.used == 0)
            assert harness.ingress.host.metrics.answered == [2, 0]
            assert harness.backends[0].opened == (2 if form == "until the close" else 1)
            assert not harness.ingress.server.streaming and not harness.ingress.backends.streaming

    run(scenario())


@pytest.mark.parametrize("form", ANSWERS)
def test_http_1_0_client_gets_a_large_answer_without_chunks(form):
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(ANSWERS[form])
            if form == "until the close":
                writer.close()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000).replace(b"HTTP/1.1", b"HTTP/1.0"))
            _, fields = await read_head(reader)
            assert "transfer-encoding" not in fields and await reader.read() == LARGE
            writer.close()

    run(scenario())


def test_small_answer_that_lasts_until_the_close_is_served():
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nyes")
            writer.close()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            assert (await send_request(harness, request()))[2] == b"yes"

    run(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_large_answer_that_breaks_is_final_and_its_client_can_tell(form, version):
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(ANSWERS[form][:200_000])
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.transport.abort()

        async with running_ingress(ScriptedBackend(answer), ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000).replace(b"HTTP/1.1", version))
            line, fields = await read_head(reader)
            assert line.endswith("200 OK")
            if version == b"HTTP/1.0" and form == "chunks":
                with pytest.raises(ConnectionResetError):  # a normal close would look like the end of the answer
                    await reader.read()
            else:
                with pytest.raises(asyncio.IncompleteReadError):
                    await read_body(reader, fields)
            writer.close()
            assert sum(len(backend.heads) for backend in harness.backends) == 1
            assert harness.ingress.host.metrics.errored == [1, 0] and harness.ingress.host.unanswered == 0

    run(scenario())


def test_answer_of_64_kib_is_checked_whole_and_tried_again():
    async def scenario() -> None:
        answers = iter([b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + bytes(60_000), response(bytes(65536))])

        async def answer(reader, writer) -> None:
            data = next(answers)
            writer.write(data)
            if len(data) < 65536:
                writer.close()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            line, fields, body = await send_request(harness, request(remaining_ms=20_000))
            assert line.endswith("200 OK") and len(body) == 65536 and len(harness.backends[0].heads) == 2

    run(scenario())


def test_large_answer_outlasts_its_deadline_once_it_has_begun():
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(ANSWERS["length"][:100_000])
            await asyncio.sleep(0.6)
            writer.write(ANSWERS["length"][100_000:])

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=400))
            _, fields = await read_head(reader)
            assert await read_body(reader, fields) == LARGE
            writer.close()

    run(scenario())


def test_client_that_reads_slowly_holds_up_the_backend_and_no_one_else(monkeypatch):
    monkeypatch.setattr(flow, "MAX_BODY_BYTES", 1 << 30)
    size = 60_000_000

    async def scenario() -> None:
        sent = 0

        async def answer(reader, writer) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // 100_000):
                writer.write(bytes(100_000))
                await writer.drain()
                sent += 100_000

        async with running_ingress(ScriptedBackend(answer)) as harness:
            pool = harness.ingress.backends
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000))
            await read_head(reader)
            await wait_until(lambda: any(not c.is_reading for c in pool.connections))
            await asyncio.sleep(0.3)
            assert sent < size and pool.budget.used < 1_000_000
            other = await harness.connect()  # other clients are still served
            other[1].write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            assert (await read_message(other[0]))[0].endswith("200 OK")
            other[1].close()
            left = size
            while left:
                left -= len(await reader.read(1 << 20))
            writer.close()
            await wait_until(lambda: pool.budget.used == 0 and harness.ingress.host.metrics.answered == [1, 0])

    run(scenario())


def test_client_that_reads_nothing_more_is_given_up(monkeypatch):
    monkeypatch.setattr(flow, "STREAM_STALL_TIMEOUT_S", 0.6)

    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + bytes(30_000_000))

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000))
            await read_head(reader)
            await wait_until(lambda: harness.ingress.host.unanswered == 0)
            await wait_until(
                lambda: not harness.ingress.server.connections and not harness.ingress.backends.connections
            )
            assert harness.ingress.backends.budget.used == 0
            writer.close()

    run(scenario())


def test_backend_that_falls_silent_amid_a_large_answer_is_given_up(monkeypatch):
    monkeypatch.setattr(flow, "STREAM_STALL_TIMEOUT_S", 0.6)

    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(ANSWERS["length"][:100_000])
            await asyncio.sleep(60.0)

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000))
            _, fields = await read_head(reader)
            with pytest.raises(asyncio.IncompleteReadError):
                await read_body(reader, fields)
            writer.close()
            assert harness.ingress.host.metrics.errored == [1, 0]

    run(scenario())


def upload(body: bytes, form: str, **fields) -> bytes:
    if form == "length":
        return request("book", body, remaining_ms=7000, **fields)
    head = request("book", b"", remaining_ms=7000, Transfer_Encoding="chunked", **fields)
    return head + chunked(body, 3001, b";x=y")


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_large_request_goes_on_as_it_comes_and_whole(form):
    async def scenario() -> None:
        got, started = [], asyncio.Event()

        async def answer(reader, writer) -> None:
            lines = harness.backends[0].heads[-1].decode().lower().split("\r\n")
            fields = dict(line.split(": ") for line in lines if ": " in line)
            first = await reader.readexactly(50_000)
            started.set()
            reader._buffer[:0] = first
            got.append(await read_body(reader, fields))
            writer.write(response(b"yes"))

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            for _ in range(2):
                data = upload(LARGE, form)
                started.clear()
                writer.write(data[:150_000])
                await started.wait()  # while the client has not sent the whole body
                host = harness.ingress.host
                assert (host.unanswered, host.incomplete) == (1, 1)  # does not count as taken yet
                assert b"\napp_current 0\n" in host.render_metrics()
                writer.write(data[150_000:])
                assert (await read_message(reader))[2] == b"yes"
            writer.close()
            assert got == [LARGE] * 2 and harness.backends[0].opened == 1
            assert harness.ingress.backends.budget.used == 0 and not harness.ingress.server.streaming
            assert harness.ingress.host.metrics.sends == [0, 2] and not harness.ingress.host.in_flight
            assert harness.ingress.host.incomplete == harness.ingress.host.unanswered == 0

    run(scenario())


def test_time_of_a_large_request_counts_from_its_last_byte():
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            await reader.readexactly(len(LARGE))
            await asyncio.sleep(0.2)
            writer.write(response(b"yes"))

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            data = request("book", LARGE, remaining_ms=600)
            for at in range(0, len(data), len(data) // 4):
                writer.write(data[at : at + len(data) // 4])
                await asyncio.sleep(0.3)
            assert (await read_message(reader))[0].endswith("200 OK")
            writer.close()

    run(scenario())


def test_large_request_is_not_sent_again_once_a_part_of_it_is_gone():
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            await reader.readexactly(100_000)
            writer.close()  # the request was incomplete and cannot have run, but its start is no longer buffered

        async with running_ingress(ScriptedBackend(answer), ScriptedBackend(answer)) as harness:
            outcomes, handle = [], harness.ingress.host.controller.handle
            harness.ingress.host.controller.handle = lambda event, now: (
                outcomes.append(event) if isinstance(event, api.Outcome) else None
            ) or handle(event, now)
            reader, writer = await harness.connect()
            writer.write(request("book", LARGE, remaining_ms=7000)[:200_000])
            line, fields = await read_head(reader)
            assert line.split()[1] == "503" and fields["connection"] == "close"
            assert sum(len(backend.heads) for backend in harness.backends) == 1
            assert [(o.status, o.can_resend) for o in outcomes] == [(api.Status.CONNECT_FAILED, False)]
            writer.close()

    run(scenario())


def test_large_request_goes_elsewhere_while_it_is_still_held():
    async def scenario() -> None:
        got = []

        async def answer(reader, writer) -> None:
            got.append(await reader.readexactly(len(LARGE)))
            writer.write(response(b"yes"))

        down, up = FakeBackend(), ScriptedBackend(answer)
        async with running_ingress(down, up) as harness:
            down.stop()
            for _ in range(6):
                assert (await send_request(harness, request("book", LARGE, remaining_ms=7000)))[2] == b"yes"
            assert got == [LARGE] * 6

    run(scenario())


def test_refusal_of_a_large_request_is_sent_at_once():
    async def scenario() -> None:
        plan = {"name": "basic", "pays": 1.0, "quota_rate": 0.01, "store_size": 1.0, "overrun_cost": 1.0}
        async with running_ingress(
            FakeBackend(), contracts=[plan], extra={"has_counter": False, "units_top": 1}
        ) as harness:
            assert (await send_request(harness, request(Api_Terms="units=1,spread=1,first=0")))[0].endswith("200 OK")
            reader, writer = await harness.connect()
            data = request("book", LARGE, remaining_ms=7000, Api_Terms="units=1,spread=1,first=0")
            writer.write(data[:100_000])
            line, fields = await read_head(reader)  # while the client is still sending
            assert line.split()[1] == "503" and float(fields["retry-after"]) > 0.0
            writer.write(data[100_000:])
            await writer.drain()
            writer.close()
            await wait_until(lambda: not harness.ingress.server.connections)
            assert harness.ingress.backends.budget.used == 0 and harness.ingress.host.metrics.deferred == [0, 1]

    run(scenario())


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_large_request_that_stops_halfway_gets_408_and_never_runs(monkeypatch, form):
    monkeypatch.setattr(server, "BODY_PROGRESS_INTERVAL_S", 0.5)

    async def scenario() -> None:
        closed = asyncio.Event()

        async def answer(reader, writer) -> None:
            try:
                await reader.readexactly(len(LARGE))
            finally:
                closed.set()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(upload(LARGE, form)[:150_000])
            assert (await read_message(reader))[0].split()[1] == "408" and await reader.read() == b""
            await closed.wait()
            writer.close()
            await wait_until(lambda: not harness.ingress.host.in_flight and harness.ingress.backends.budget.used == 0)
            assert harness.ingress.host.metrics.sends == [0, 0] and harness.ingress.host.incomplete == 0

    run(scenario())


def test_backend_that_takes_no_more_of_a_request_is_given_up_and_holds_up_no_one(monkeypatch):
    monkeypatch.setattr(flow, "STREAM_STALL_TIMEOUT_S", 0.6)

    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.transport.pause_reading()
            await asyncio.sleep(60.0)

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request("book", bytes(30_000_000), remaining_ms=7000))
            await wait_until(lambda: any(not c.is_reading for c in harness.ingress.server.connections))
            assert harness.ingress.backends.budget.used < 1_000_000
            assert (await read_head(reader))[0].split()[1] == "503"
            writer.transport.abort()
            await wait_until(lambda: not harness.ingress.host.in_flight and harness.ingress.backends.budget.used == 0)

    run(scenario())


def test_client_that_leaves_during_its_large_request_ends_the_attempt():
    async def scenario() -> None:
        started, closed = asyncio.Event(), asyncio.Event()

        async def answer(reader, writer) -> None:
            try:
                await reader.readexactly(100_000)
                started.set()
                await reader.readexactly(len(LARGE))
            finally:
                closed.set()

        async with running_ingress(ScriptedBackend(answer)) as harness:
            _, writer = await harness.connect()
            writer.write(request("book", LARGE, remaining_ms=7000)[:200_000])
            await started.wait()
            writer.transport.abort()
            await closed.wait()
            await wait_until(lambda: not harness.ingress.host.in_flight and harness.ingress.backends.budget.used == 0)

    run(scenario())


def test_chunked_body_beyond_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(flow, "MAX_BODY_BYTES", 200_000)

    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            await read_chunks(reader)
            raise AssertionError("it came whole")

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(upload(LARGE, "chunks"))
            assert (await read_message(reader))[0].split()[1] == "413"
            writer.close()
            await wait_until(lambda: not harness.ingress.host.in_flight and harness.ingress.backends.budget.used == 0)

    run(scenario())


def test_large_request_behind_another_waits_unread_for_its_turn():
    async def scenario() -> None:
        go_on = asyncio.Event()

        async def answer(reader, writer) -> None:
            if harness.backends[0].heads[-1].startswith(b"POST"):
                await reader.readexactly(len(LARGE))
            else:
                await go_on.wait()
            writer.write(response(b"yes"))

        async with running_ingress(ScriptedBackend(answer)) as harness:
            reader, writer = await harness.connect()
            writer.write(request(remaining_ms=20_000) + request("book", LARGE, remaining_ms=7000) + request())
            await wait_until(lambda: any(not c.is_reading for c in harness.ingress.server.connections))
            assert harness.ingress.backends.budget.used <= flow.MAX_BUFFERED_BODY_BYTES + 1
            go_on.set()
            assert [(await read_message(reader))[2] for _ in range(3)] == [b"yes"] * 3
            writer.close()

    run(scenario())


def test_100_continue_is_sent_in_the_turn_of_the_request():
    async def scenario() -> None:
        backend = FakeBackend(delay=0.1)
        async with running_ingress(backend) as harness:
            reader, writer = await harness.connect()
            body = b"abc"
            data = request("book", body, remaining_ms=7000, Expect="100-continue")
            writer.write(request() + data[: -len(body)])
            assert (await read_message(reader))[0] == "HTTP/1.1 200 OK"
            assert (await read_head(reader))[0] == "HTTP/1.1 100 Continue"
            writer.write(body)
            assert (await read_message(reader))[0] == "HTTP/1.1 200 OK" and backend.requests[-1][2] == body
            writer.close()

    run(scenario())


def test_backend_may_take_its_time_after_an_interim_answer():
    async def scenario() -> None:
        async def answer(reader, writer) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
            await asyncio.sleep(0.8)
            writer.write(response(b"yes"))

        async with running_ingress(ScriptedBackend(answer)) as harness:
            line, fields, body = await send_request(harness, request(remaining_ms=20_000))
            assert body == b"yes" and "link" not in fields and len(harness.backends[0].heads) == 1

    run(scenario())


@pytest.mark.parametrize("memory", [16, 64, 192])
def test_budgets_of_two_processes_fit_into_the_memory_and_pieces_shrink_as_they_fill(memory):
    budget = BufferBudget(memory)
    assert budget.total >= flow.MIN_BUDGET_BYTES
    assert memory < 48 or 2 * (budget.total + flow.PROCESS_BASE_BYTES) < memory * flow.MEGABYTE
    assert budget.read_size() == budget.high_water_mark() == flow.READ_BYTES
    budget.used = budget.total - 1
    assert budget.read_size() == budget.high_water_mark() == flow.SMALL_READ_BYTES
    budget.used = budget.total
    assert budget.is_full and budget.high_water_mark() == 0 and budget.read_size() > 0


def test_no_large_request_is_taken_where_there_is_no_room():
    async def scenario() -> None:
        async with running_ingress(FakeBackend()) as harness:
            harness.ingress.backends.budget.total = 0
            line, fields, _ = await send_request(harness, request("book", LARGE, remaining_ms=7000))
            assert line.split()[1] == "503" and fields["connection"] == "close"
            assert (await send_request(harness, request()))[0].endswith("200 OK")

    run(scenario())


def test_upload_buffers_data_until_it_is_attached():
    reads, passed = [], []

    class Sink:
        def write_body(self, data: bytes) -> None:
            passed.append(data)

        def finish(self) -> None:
            passed.append(b"end")

    budget, sink = BufferBudget(64), Sink()
    body = Upload(budget, None, reads.append, [b"a" * 10])
    body.feed(b"b" * 5)
    assert reads == [False] and budget.used == 15 and body.buffered is not None
    body.attach(sink)
    assert passed == [b"a" * 10, b"b" * 5] and budget.used == 0 and body.buffered is None
    body.feed(b"c")
    body.feed_eof()
    assert passed[2:] == [b"c", b"end"] and reads[-1] is True
    body.detach(sink)
    body.feed(b"dropped")
    assert len(passed) == 4 and budget.used == 0


# Decision module


def incomplete_request(world: World, cls: int = SAFE, left: float = 4.0) -> list:
    world.ids += 1
    return world.give(api.Request(world.ids, cls, 0, 1, left, 1.0, 2.0, 0.0, is_uploading=True))


def test_module_does_not_retry_a_request_that_is_not_buffered(world):
    (send,) = incomplete_request(world)
    assert send.timeout == 0.0  # no timeout before the client's, as no other attempt can be made
    actions = world.give(api.Outcome(1, 0, send.backend, api.Status.CONNECT_FAILED, 0.1, False, can_resend=False))
    assert [type(a) for a in actions] == [api.Refuse]
    (send,) = incomplete_request(world, UNSAFE)
    actions = world.give(api.Outcome(2, 0, send.backend, api.Status.RESET, 0.1, False, can_resend=False))
    assert [type(a) for a in actions] == [api.Fail]


def test_module_counts_a_large_requests_time_from_its_last_byte(world):
    (send,) = incomplete_request(world)
    world.wait(6.0)
    world.give(api.BodyReceived(1))
    assert world.control.fleet.age_ratios(world.now) == [0.0]
    world.wait(0.5)
    customer = world.control.quotas.customers[1]
    world.answer(1, send.backend, latency=0.5)
    assert customer.ratios == [pytest.approx(0.5)]


def test_module_counts_a_large_answer_as_arrived_at_its_first_bytes():
    world = World(make_settings())
    world.roster(api.BackendEntry("a", READY))
    (send,) = world.ask(SAFE, plan=3)  # a plan with a limit of open requests
    world.wait(0.2)
    world.give(api.StreamStarted(1, 0, "a", 0.2))
    control = world.control
    assert control.fleet.in_flight == 0 and control.fleet.backends["a"].work_in_flight == 0.0
    assert control.fleet.age_ratios(world.now) == []
    assert control.quotas.customers[1].attempts == 1  # still open
    world.wait(9.0)
    world.answer(1, "a", latency=0.2)
    assert control.quotas.customers[1].attempts == 0 and control.fleet.in_flight == 0
    assert control.quotas.customers[1].ratio < 0.3
