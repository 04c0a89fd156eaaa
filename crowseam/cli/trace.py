"""Finds the events of one request in the logs of several processes.

A log has one line of key=value pairs for each event.
"""

import re
from collections.abc import Iterable
from typing import Any

_PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|\S*)')
TIME_FIELDS = ("t", "at", "time", "ts")


def parse_pairs(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line. Values that contain spaces are in double quotes."""
    fields = {}
    for name, value in _PAIR.findall(line):
        if len(value) > 1 and value[0] == value[-1] == '"':
            value = re.sub(r"\\(.)", r"\1", value[1:-1])
        fields[name] = value
    return fields


def find_events(wanted: str, logs: Iterable[tuple[str, Iterable[str]]]) -> list[dict[str, Any]]:
    """Return the events that have `wanted` as a value, ordered by time.

    logs: (name, lines). Each event consists of its pairs plus `log` and `line` (from 1). An event without a time
    takes the time of the preceding event in its log.
    """
    matches = []
    for log_index, (log, log_lines) in enumerate(logs):
        last_time = 0.0
        for line_number, line in enumerate(log_lines, 1):
            if wanted not in line:
                continue
            event = parse_pairs(line)
            if wanted not in event.values():
                continue
            for name in TIME_FIELDS:
                try:
                    last_time = float(event[name])
                    break
                except (KeyError, ValueError):
                    continue
            matches.append((last_time, log_index, line_number, {"log": log, "line": line_number} | event))
    matches.sort(key=lambda match: match[:3])
    return [event for *_, event in matches]
