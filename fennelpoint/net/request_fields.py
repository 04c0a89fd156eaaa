"""Header fields of requests: validation, fields used for routing, and fields forwarded to a backend.

Used by the HTTP server and by the request readers, which do not depend on each other.
"""

from __future__ import annotations

from typing import Any, Protocol

from fennelpoint.net.flow import Upload


class BadRequest(ValueError):
    """The request is invalid; carries the status code of the answer."""

    def __init__(self, text: str, status: int = 400, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """`headers`: header fields of the answer."""
        super().__init__(text)
        self.status, self.headers = status, headers


def extract_fields(
    request_line: bytes,
    headers: list[tuple[bytes, bytes]],
    unique: frozenset[bytes],
    dropped: frozenset[bytes],
    kept: frozenset[bytes],
) -> tuple[dict[bytes, bytes], list[bytes]]:
    """Split header fields into those used for routing and the header lines to forward, after `request_line`.

    A field of `unique` may occur once. Fields of `dropped`, and fields listed in `Connection` other than
    those of `kept`, are not forwarded. Raises BadRequest.
    """
    found: dict[bytes, bytes] = {}
    connection_options: set[bytes] = set()  # fields that `Connection` lists as hop-by-hop
    lines = [request_line]
    for name, value in headers:
        if name in unique:
            if name in found:  # ambiguous: recipients differ in which one they use
                raise BadRequest(f"{name.decode()} is given twice")
            found[name] = value
        elif name == b"connection":
            connection_options.update(option.strip().lower() for option in value.split(b","))
        if name not in dropped:
            lines.append(name + b": " + value)
    if connection_options:
        connection_options -= kept
        lines[1:] = [line for line in lines[1:] if line.partition(b":")[0] not in connection_options]
    return found, lines


class RequestReader(Protocol):
    """Parses and validates requests for the host."""

    ready_path: bytes | None  # readiness path that the server answers itself; None if there is none

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload
    ) -> Any:
        """Parse a request for the host. Raises BadRequest with the status code to answer."""
