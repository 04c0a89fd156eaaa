"""Following one request through the logs of many processes.

A log has one line of key=value pairs for each event.
"""

import re
from collections.abc import Iterable
from typing import Any

_PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')
TIMES = ("t", "at", "time", "ts")


def pairs(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line. A value with blanks is in double quotes."""
    found = {}
    for name, value in _PAIR.findall(line):
        if len(value) > 1 and value[0] == value[-1] == '"':
            value = re.sub(r"\\(.)", r"\1", value[1:-1])
        found[name] = value
    return found


def follow(wanted: str, logs: Iterable[tuple[str, Iterable[str]]]) -> list[dict[str, Any]]:
    """Return the events whose pairs hold `wanted` as a value, in the order of their times.

    logs: (name, lines). Each event is its pairs with `log` and `line` (from 1) added. Events that tell no
    time stay behind the event before them in their own log.
    """
    found = []
    for place, (log, text) in enumerate(logs):
        last = 0.0
        for number, line in enumerate(text, 1):
            if wanted not in line:
                continue
            event = pairs(line)
            if wanted not in event.values():
                continue
            for name in TIMES:
                try:
                    last = float(event[name])
                    break
                except (KeyError, ValueError):
                    continue
            found.append((last, place, number, {"log": log, "line": number} | event))
    found.sort(key=lambda each: each[:3])
    return [event for *_, event in found]
