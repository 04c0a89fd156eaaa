"""Warnings are rate-limited by component, and a blocked log reader blocks nothing else."""

import logging
import threading

import pytest

from fennelpoint.net import notice


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1000.0

        def monotonic(self) -> float:
            return self.now

    clock = Clock()
    monkeypatch.setattr(notice, "time", clock)
    monkeypatch.setattr(notice, "_next_warning_at", {})
    monkeypatch.setattr(notice, "_suppressed", {})
    return clock


def test_warnings_of_a_component_are_rate_limited(clock, caplog):
    for _ in range(3):
        notice.warn_rate_limited("counter", "is silent for %d ms", 30)
    notice.warn_rate_limited("upstream", "100% of it is in use")
    assert [r.getMessage() for r in caplog.records] == [
        "counter: is silent for 30 ms",
        "upstream: 100% of it is in use",
    ]
    clock.now += notice.WARNING_INTERVAL_S
    notice.warn_rate_limited("counter", "is back")
    assert caplog.records[-1].getMessage() == "counter: is back (2 more before this)"


def test_blocked_log_reader_blocks_nobody_else(monkeypatch):
    monkeypatch.setattr(notice, "MAX_QUEUED_RECORDS", 5)
    go_on, written = threading.Event(), []

    class Stuck(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            go_on.wait(30)
            written.append(record)

    handler = notice.in_background(Stuck())
    try:
        for _ in range(100):  # would not finish in time if one of them blocked
            handler.handle(logging.LogRecord("x", logging.INFO, "", 0, "said", (), None))
        assert not written
    finally:
        go_on.set()


def test_record_is_formatted_once():
    done, written = threading.Event(), []

    class Last(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            written.append(self.format(record))
            done.set()

    last = Last()
    last.setFormatter(logging.Formatter("%(levelname)s %(message)s"))
    logger = logging.Logger("x")
    handler = notice.in_background(last)
    handler.formatter = handler.formatter or logging.Formatter(logging.BASIC_FORMAT)  # as basicConfig does
    logger.addHandler(handler)
    logger.info("%s is ready", "n0")
    assert done.wait(30) and written == ["INFO n0 is ready"]
