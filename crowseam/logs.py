"""Structured logs: one line of key=value pairs for each event, to standard error; floods of an event are sampled."""

from __future__ import annotations

import json
import re
import traceback

import picologging

from crowseam import clock

_log = picologging.getLogger("crowseam")
_SAMPLE = 5  # lines of one event that are written within _SPAN; the rest is counted
_SPAN = 1.0  # s
_PLAIN = re.compile(r"[!#-<>-\[\]-~]+")  # printable, without blanks and what separates pairs


class _Sample:
    """How often an event has come since a moment of the steady clock (s)."""

    __slots__ = ("since", "count")

    def __init__(self, since: float) -> None:
        self.since, self.count = since, 0


_samples: dict[str, _Sample] = {}  # by event


def begin(role: str, host: str) -> None:
    """Write from now on, each line with the role and the machine."""
    handler = picologging.StreamHandler()
    handler.setFormatter(picologging.Formatter(f"level=%(levelname)s role={role} host={host} %(message)s"))
    _log.addHandler(handler)
    _log.setLevel(picologging.INFO)


def _text(value: object) -> str:
    text = f"{value:.4g}" if isinstance(value, float) else str(value)
    # Guards the lines: ids and errors have words of clients in them, which must not pass for ours.
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def say(event: str, **fields: object) -> None:
    """Log an event; a value that is not plain is written as JSON writes it.

    Within a second only the first few lines of one event are written.
    """
    now = clock.monotonic()
    sample = _samples.get(event)
    if sample is None or now - sample.since > _SPAN:
        if sample is not None and sample.count > _SAMPLE:
            fields["left_out"] = sample.count - _SAMPLE
        sample = _samples[event] = _Sample(now)
    sample.count += 1
    if sample.count <= _SAMPLE:
        pairs = [f"t={clock.time():.3f} event={event}", *(f"{k}={_text(v)}" for k, v in fields.items())]
        _log.info(" ".join(pairs))


def failure(event: str) -> None:
    """Log the exception that is being handled, with its traceback in one line."""
    say(event, trace=traceback.format_exc().replace("\n", " | "))
