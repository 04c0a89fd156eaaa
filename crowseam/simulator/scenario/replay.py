"""Reads the requests recorded in gateway logs, to replay them as the load of a day."""

from __future__ import annotations

import re
from collections.abc import Iterable
from random import Random

from crowseam.gateway.counters import ASKED_EVENT

# A gateway logs its request counts by route and tenant, one line per time span:
#     event=asked span=5 counts=look-up/north-branch:12,borrow/south-branch:3
_PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')
_COUNT = re.compile(r"([^/,]+)/([^/:,]*):(\d{1,7})")


class ReplayError(Exception):
    """The logs contain no record of requests."""


def read_trace(log_files: Iterable[Iterable[str]], seed: int = 1) -> list[tuple[float, str, str]]:
    """Return (s since the first, route, tenant) of every request in the logs, in order of time.

    Each request gets a random time within the span of its log line.  Raises ReplayError.
    """
    rng, requests = Random(seed), []
    for lines in log_files:
        for line in lines:
            if f"event={ASKED_EVENT} " not in line:
                continue
            fields = dict(_PAIR.findall(line))
            try:
                span_end, span = float(fields["t"]), float(fields["span"])
            except (KeyError, ValueError):
                continue
            for route, tenant, count in _COUNT.findall(fields.get("counts", "").strip('"')):
                requests += [(span_end - span * rng.random(), route, tenant) for _ in range(int(count))]
    if not requests:
        raise ReplayError(f"no line has event={ASKED_EVENT} with t, span and counts")
    requests.sort()
    first_at = requests[0][0]
    return [(at - first_at, route, tenant) for at, route, tenant in requests]
