"""Client of the counter: replies are matched to calls by their order alone."""

import asyncio

import pytest

from fennelpoint.interface import Status
from fennelpoint.net import counter
from fennelpoint.net.counter import CounterClient, format_amount
from tests.fennelpoint.sockets import FakeServer, run, wait_until


class Clock:
    """Replaces the time module."""

    now = 1000.0

    def monotonic(self) -> float:
        return self.now


class ScriptedCounter:
    """A counter client against a scripted service; `replies` collects the reported outcomes."""

    def __init__(self, handle, timeout: float = 0.05) -> None:
        self.server, self.replies, self.timeout = FakeServer(handle), [], timeout

    async def __aenter__(self):
        host, port = (await self.server.start()).split(":")
        self.counter = CounterClient(asyncio.get_running_loop(), host, int(port), self.timeout)
        return self

    async def __aexit__(self, *_):
        self.counter.close()
        self.server.stop()

    def call(self, name: int, amount: float = 1.0) -> None:
        self.counter.call(name, amount, 4.0, self.replies.append)

    async def wait_for_replies(self, count: int) -> list[tuple[int, Status, float]]:
        await wait_until(lambda: len(self.replies) >= count)
        return [(r.key, r.status, r.total) for r in self.replies]


def test_calls_are_pipelined_and_plain():
    async def scenario() -> None:
        lines = []

        async def handle(reader, writer):
            for _ in range(3):  # replies only after all calls have arrived
                lines.append(await reader.readline())
            writer.write(b"ok 2.5\r\nbusy\r\nok -1e-3\r\n")
            await reader.read()

        async with ScriptedCounter(handle) as harness:
            harness.call(7, 2.5)
            harness.call(8, 1e-5)
            harness.call(9, -3)
            assert await harness.wait_for_replies(3) == [
                (7, Status.OK, 2.5),
                (8, Status.FULL, 0.0),
                (9, Status.OK, -0.001),
            ]
            assert lines == [b"tally 7 2.5 4000\r\n", b"tally 8 0.00001 4000\r\n", b"tally 9 -3 4000\r\n"]

    run(scenario())


def test_late_reply_is_not_taken_for_the_next_call():
    async def scenario() -> None:
        go = asyncio.Event()

        async def handle(reader, writer):
            await reader.readline()
            await go.wait()
            await reader.readline()
            writer.write(b"ok 11\r\nok 22\r\n")
            await reader.read()

        async with ScriptedCounter(handle, timeout=0.5) as harness:
            harness.call(1)
            assert await harness.wait_for_replies(1) == [(1, Status.TIMEOUT, 0.0)]
            harness.call(2)
            go.set()
            assert (await harness.wait_for_replies(2))[1] == (2, Status.OK, 22.0)

    run(scenario())


@pytest.mark.parametrize("answer", [b"ok\r\n", b"ok nan\r\n", b"what?\r\n", b"x" * 300, b""])
def test_invalid_reply_or_close_fails_the_calls_and_the_next_reconnects(answer):
    async def scenario() -> None:
        async def handle(reader, writer):
            await reader.readline()
            if harness.server.opened > 1:
                writer.write(b"ok 5\r\n")
                return await reader.read()
            writer.write(answer)

        async with ScriptedCounter(handle) as harness:
            harness.call(1)
            assert await harness.wait_for_replies(1) == [(1, Status.TIMEOUT, 0.0)]
            await wait_until(lambda: harness.counter.connection is None)
            harness.call(2)
            assert (await harness.wait_for_replies(2))[1] == (2, Status.OK, 5.0) and harness.server.opened == 2

    run(scenario())


def test_silent_connection_is_closed_by_the_call_timeouts(monkeypatch):
    async def scenario() -> None:
        async def handle(reader, writer):
            while await reader.readline():
                if harness.server.opened > 1:
                    writer.write(b"ok 5\r\n")

        clock = Clock()
        monkeypatch.setattr(counter, "time", clock)
        async with ScriptedCounter(handle, timeout=0.01) as harness:
            harness.call(1)
            clock.now += 0.011
            assert (
                await harness.wait_for_replies(1) == [(1, Status.TIMEOUT, 0.0)]
                and harness.counter.connection is not None
            )
            clock.now += 0.04
            harness.call(2)  # queued behind the lost one
            clock.now += 0.011
            assert (await harness.wait_for_replies(2))[1] == (
                2,
                Status.TIMEOUT,
                0.0,
            ) and harness.counter.connection is None
            harness.call(3)
            assert (await harness.wait_for_replies(3))[2] == (3, Status.OK, 5.0)

    run(scenario())


def test_slow_connection_that_still_replies_is_kept(monkeypatch):
    async def scenario() -> None:
        async def handle(reader, writer):
            await reader.readline()
            while await reader.readline():  # always one call behind
                writer.write(b"ok 5\r\n")

        clock = Clock()
        monkeypatch.setattr(counter, "time", clock)
        async with ScriptedCounter(handle, timeout=0.01) as harness:
            harness.call(0)
            await wait_until(lambda: harness.counter.connection)
            for name in range(1, 9):
                clock.now += 0.011
                assert (await harness.wait_for_replies(name))[-1] == (name - 1, Status.TIMEOUT, 0.0)
                connection = harness.counter.connection
                harness.call(name)
                await wait_until(lambda: connection.last_reply_at == clock.now)  # noqa: B023
            assert harness.server.opened == 1 and harness.counter.connection is connection

    run(scenario())


def test_refused_connection_adds_nothing():
    async def scenario() -> None:
        async def handle(reader, writer):
            await reader.read()

        async with ScriptedCounter(handle) as harness:
            harness.server.server.close()
            await harness.server.server.wait_closed()
            harness.call(1)
            harness.call(2)
            assert await harness.wait_for_replies(2) == [
                (1, Status.CONNECT_FAILED, 0.0),
                (2, Status.CONNECT_FAILED, 0.0),
            ]

    run(scenario())


@pytest.mark.parametrize(
    "amount, text", [(1.0, b"1"), (0.0, b"0"), (100.0, b"100"), (-2.5, b"-2.5"), (1 / 3, b"0.333333")]
)
def test_amounts_are_plain_decimals(amount, text):
    assert format_amount(amount) == text
