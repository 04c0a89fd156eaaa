"""What clients and stand-in servers of a soak test agree on about requests."""

from __future__ import annotations

REQUEST_KEY_FIELD = "x-request-key"  # names the content of the body


def request_body(key: str, min_bytes: int) -> bytes:
    """Return a body of at least this length, which repeats the key."""
    pattern = f"{key} ".encode()
    return pattern * -(-min_bytes // len(pattern))
