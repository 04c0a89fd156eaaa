"""The requests of a day, read from the logs of its gateways, as the load of another day."""

from __future__ import annotations

import re
from collections.abc import Iterable
from random import Random

from crowseam.gateway.counters import ASKED_EVENT

# A gateway counts its requests by route and tenant and tells them in one line a span:
#     event=asked span=5 counts=look-up/north-branch:12,borrow/south-branch:3
_PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')
_COUNT = re.compile(r"([^/,]+)/([^/:,]*):(\d{1,7})")


class ReplayError(Exception):
    """Logs without any record of requests."""


def trace(logs: Iterable[Iterable[str]], seed: int = 1) -> list[tuple[float, str, str]]:
    """(s since the first, route, tenant) of every request in the logs, in order.

    Within its span a request is put anywhere.  Raises ReplayError.
    """
    rng, found = Random(seed), []
    for lines in logs:
        for line in lines:
            if f"event={ASKED_EVENT} " not in line:
                continue
            fields = dict(_PAIR.findall(line))
            try:
                until, span = float(fields["t"]), float(fields["span"])
            except (KeyError, ValueError):
                continue
            for route, tenant, count in _COUNT.findall(fields.get("counts", "").strip('"')):
                found += [(until - span * rng.random(), route, tenant) for _ in range(int(count))]
    if not found:
        raise ReplayError(f"no line tells event={ASKED_EVENT} with t, span and counts")
    found.sort()
    begun = found[0][0]
    return [(at - begun, route, tenant) for at, route, tenant in found]
