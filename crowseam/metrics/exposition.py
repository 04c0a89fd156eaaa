"""Metrics as the text that Prometheus scrapes, rendered by `prometheus_client` off the loop.

The library takes 60 to 100 ms and some megabytes to import, so only a daemon that is scraped pays for it,
and in a thread. The loop goes on meanwhile, as the thread lets go of the interpreter within TURN.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator
from typing import TYPE_CHECKING

from crowseam import logs
from crowseam.metrics.latency import BOUNDS

if TYPE_CHECKING:
    from concurrent.futures import ThreadPoolExecutor

    from crowseam.metrics.families import Family
    from crowseam.transport.http import Call

CONTENT_TYPE = "text/plain; version=0.0.4"
TURN = 0.0005  # s; with the usual 5 ms the loop was late by so much at each turn
MOST_WAITING = 8  # scrapes that are rendered or wait for it; more get 503
_pool: ThreadPoolExecutor | None = None  # one thread: two renderings would only take each other's time
_waiting = 0


def render(families: list[Family]) -> bytes:
    """The text of the families, in their order."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
    from prometheus_client.exposition import generate_latest

    kinds = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily, "histogram": HistogramMetricFamily}
    names = [*map(str, BOUNDS), "+Inf"]

    class Collector:
        def collect(self) -> Iterator[object]:
            for kind, name, text, labels, rows in families:
                family = kinds[kind](name, text, labels=labels)
                for values, value in rows:
                    if kind == "histogram":
                        counts = [*value.below(BOUNDS), value.count]
                        family.add_metric(values, list(zip(names, counts, strict=True)), value.sum)
                    else:
                        family.add_metric(values, value)
                yield family

    return generate_latest(Collector())


def _gently(families: list[Family]) -> bytes:
    before = sys.getswitchinterval()
    sys.setswitchinterval(TURN)
    try:
        return render(families)
    finally:
        sys.setswitchinterval(before)


def answer(call: Call, loop: asyncio.AbstractEventLoop, families: list[Family]) -> None:
    """Answer a scrape with these metrics, once a thread has rendered them; 503 if too many wait already."""
    global _pool, _waiting
    if _waiting >= MOST_WAITING:
        return call.reply(503)
    if _pool is None:
        from concurrent.futures import ThreadPoolExecutor

        _pool = ThreadPoolExecutor(1, "metrics")
    _waiting += 1

    def done(future: asyncio.Future) -> None:
        global _waiting
        _waiting -= 1
        try:
            call.reply(200, future.result(), CONTENT_TYPE)
        except Exception:
            logs.failure("metrics_failed")
            call.reply(500)

    loop.run_in_executor(_pool, _gently, families).add_done_callback(done)
