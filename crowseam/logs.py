"""One line of key=value pairs for each event, to standard error; a flood of one event is sampled."""

from __future__ import annotations

import json
import re

import picologging

from crowseam import clock

_log = picologging.getLogger("crowseam")
_SAMPLE, _SPAN = 5, 1.0  # lines of one event within so many seconds; the rest is counted
_seen: dict[str, list] = {}
_PLAIN = re.compile(r"[!#-<>-\[\]-~]+")  # printable, without a blank and what pairs are told apart by


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
    seen = _seen.get(event)
    if seen is None or now - seen[0] > _SPAN:
        if seen is not None and seen[1] > _SAMPLE:
            fields["left_out"] = seen[1] - _SAMPLE
        seen = _seen[event] = [now, 0]
    seen[1] += 1
    if seen[1] <= _SAMPLE:
        pairs = [f"t={clock.time():.3f} event={event}", *(f"{k}={_text(v)}" for k, v in fields.items())]
        _log.info(" ".join(pairs))


def failure(event: str) -> None:
    """Log the exception at hand, with its trace in one line."""
    import traceback

    say(event, trace=traceback.format_exc().replace("\n", " | "))
