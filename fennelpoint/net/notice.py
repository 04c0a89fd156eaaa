"""The log of the ingress: complaints come seldom enough to read, and writing them never holds up the loop."""

from __future__ import annotations

import atexit
import logging
import time
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue

EVERY = 1.0  # s between complaints of one part; what comes sooner is only counted
WAITING = 1000  # lines that may wait for a slow reader; what comes on top is dropped

log = logging.getLogger("fennelpoint")
_next: dict[str, float] = {}
_untold: dict[str, int] = {}


def complain(part: str, text: str, *args: object) -> None:
    """Warn of something amiss with a part of the ingress, at most once in a while."""
    now = time.monotonic()
    if now < _next.get(part, now):
        _untold[part] = _untold.get(part, 0) + 1
        return
    _next[part] = now + EVERY
    untold = _untold.pop(part, 0)
    more = f" ({untold} more before this)" if untold else ""
    log.warning("%s: %s%s", part, text % args if args else text, more)


class _Waiting(QueueHandler):
    """Puts lines in a queue, and drops them where it is full: nothing here may wait."""

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except Full:
            pass


def in_background(handler: logging.Handler) -> logging.Handler:
    """The same handler, called from a thread of its own: a pipe that nobody reads blocks that one alone."""
    records: Queue = Queue(WAITING)
    listener = QueueListener(records, handler)
    listener.start()
    atexit.register(listener.stop)
    waiting = _Waiting(records)
    waiting.setFormatter(logging.Formatter("%(message)s"))  # the rest is the handler's own
    return waiting
