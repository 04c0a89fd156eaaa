"""Metrics in the text format of Prometheus, rendered by `prometheus_client` outside of the event loop.

The library is slow to import and takes some megabytes, so it is imported by the first scrape, in a thread. The
event loop goes on meanwhile, as the thread yields the interpreter lock within SWITCH_INTERVAL_S.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator
from typing import TYPE_CHECKING

from crowseam import logs
from crowseam.metrics.latency import BUCKET_BOUNDS_S

if TYPE_CHECKING:
    from concurrent.futures import ThreadPoolExecutor

    from crowseam.metrics.families import Family
    from crowseam.transport.http import Call

CONTENT_TYPE = "text/plain; version=0.0.4"
SWITCH_INTERVAL_S = 0.0005  # instead of Python's default of 5 ms, by which the event loop would be delayed
MAX_PENDING_SCRAPES = 8  # further scrapes get 503
_pool: ThreadPoolExecutor | None = None  # one thread, as rendering is bound by the interpreter lock
_pending_scrapes = 0


def render(families: list[Family]) -> bytes:
    """Return the text of the families, in their order."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
    from prometheus_client.exposition import generate_latest

    family_types = {"counter": CounterMetricFamily, "gauge": GaugeMetricFamily, "histogram": HistogramMetricFamily}
    bound_labels = [*map(str, BUCKET_BOUNDS_S), "+Inf"]

    class Collector:
        def collect(self) -> Iterator[object]:
            for kind, name, help_text, labels, rows in families:
                family = family_types[kind](name, help_text, labels=labels)
                for values, value in rows:
                    if kind == "histogram":
                        counts = [*value.cumulative_counts(BUCKET_BOUNDS_S), value.count]
                        family.add_metric(values, list(zip(bound_labels, counts, strict=True)), value.sum)
                    else:
                        family.add_metric(values, value)
                yield family

    return generate_latest(Collector())


def _render_yielding(families: list[Family]) -> bytes:
    before = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        return render(families)
    finally:
        sys.setswitchinterval(before)


def answer_scrape(call: Call, loop: asyncio.AbstractEventLoop, families: list[Family]) -> None:
    """Answer a scrape with these metrics once a thread has rendered them; 503 if too many scrapes are pending."""
    global _pool, _pending_scrapes
    if _pending_scrapes >= MAX_PENDING_SCRAPES:
        return call.reply(503)
    if _pool is None:
        from concurrent.futures import ThreadPoolExecutor

        _pool = ThreadPoolExecutor(1, "metrics")
    _pending_scrapes += 1

    def done(future: asyncio.Future) -> None:
        global _pending_scrapes
        _pending_scrapes -= 1
        try:
            call.reply(200, future.result(), CONTENT_TYPE)
        except Exception:
            logs.exception("metrics_failed")
            call.reply(500)

    loop.run_in_executor(_pool, _render_yielding, families).add_done_callback(done)
