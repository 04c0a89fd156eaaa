"""Structured logging: a line of key=value pairs per event, on standard error. Frequent events are sampled."""

from __future__ import annotations

import json
import re
import traceback

import picologging

from crowseam import clock

_log = picologging.getLogger("crowseam")
_MAX_SAMPLED_LINES = 5  # of one event per sample period; further lines are only counted
_SAMPLE_PERIOD_S = 1.0
_UNQUOTED = re.compile(r"[!#-<>-\[\]-~]+")  # printable ASCII without spaces, quotes, `=` and backslashes


class _EventCount:
    """How often an event was emitted since a time of the monotonic clock (s)."""

    __slots__ = ("since", "count")

    def __init__(self, since: float) -> None:
        self.since, self.count = since, 0


_samples: dict[str, _EventCount] = {}  # by event


def configure(role: str, host: str) -> None:
    """Start logging to standard error; each line has the role and the host."""
    handler = picologging.StreamHandler()
    handler.setFormatter(picologging.Formatter(f"level=%(levelname)s role={role} host={host} %(message)s"))
    _log.addHandler(handler)
    _log.setLevel(picologging.INFO)


def _format_value(value: object) -> str:
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    # Ids and errors contain text from clients, which must not be able to forge lines or pairs.
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


def emit(event: str, **fields: object) -> None:
    """Log an event; values that need quotes are written as JSON strings.

    Only the first lines of an event in each sample period are written. The next line says how many were omitted.
    """
    now = clock.monotonic()
    sample = _samples.get(event)
    if sample is None or now - sample.since > _SAMPLE_PERIOD_S:
        if sample is not None and sample.count > _MAX_SAMPLED_LINES:
            fields["left_out"] = sample.count - _MAX_SAMPLED_LINES
        sample = _samples[event] = _EventCount(now)
    sample.count += 1
    if sample.count <= _MAX_SAMPLED_LINES:
        pairs = [f"t={clock.time():.3f} event={event}", *(f"{k}={_format_value(v)}" for k, v in fields.items())]
        _log.info(" ".join(pairs))


def exception(event: str) -> None:
    """Log the exception being handled, with its traceback on one line."""
    emit(event, trace=traceback.format_exc().replace("\n", " | "))
