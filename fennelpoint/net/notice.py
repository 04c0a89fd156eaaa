"""Logging of the ingress: rate-limited warnings, and a handler that never blocks the event loop."""

from __future__ import annotations

import atexit
import logging
import time
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue

WARNING_INTERVAL_S = 1.0  # between two warnings of one component; warnings in between are only counted
MAX_QUEUED_RECORDS = 1000  # records waiting for a slow log reader; further ones are dropped

log = logging.getLogger("fennelpoint")
_next_warning_at: dict[str, float] = {}
_suppressed: dict[str, int] = {}


def warn_rate_limited(component: str, text: str, *args: object) -> None:
    """Log a warning, at most one per component and interval; the next one tells how many were suppressed."""
    now = time.monotonic()
    if now < _next_warning_at.get(component, now):
        _suppressed[component] = _suppressed.get(component, 0) + 1
        return
    _next_warning_at[component] = now + WARNING_INTERVAL_S
    suppressed = _suppressed.pop(component, 0)
    suffix = f" ({suppressed} more before this)" if suppressed else ""
    log.warning("%s: %s%s", component, text % args if args else text, suffix)


class _DroppingQueueHandler(QueueHandler):
    """Puts records in a queue and drops them when it is full, so that logging never blocks."""

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except Full:
            pass


def in_background(handler: logging.Handler) -> logging.Handler:
    """Run `handler` in a thread of its own, so that a blocked log pipe does not block the event loop."""
    records: Queue = Queue(MAX_QUEUED_RECORDS)
    listener = QueueListener(records, handler)
    listener.start()
    atexit.register(listener.stop)
    queue_handler = _DroppingQueueHandler(records)
    # The listener's handler applies its own format.
    queue_handler.setFormatter(logging.Formatter("%(message)s"))
    return queue_handler
