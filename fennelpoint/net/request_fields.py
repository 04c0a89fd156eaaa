"""A client's request as its fields: what is refused, what decides its route, and what goes on to a server.

Used by the server of clients and by the readers that it asks, which know nothing of each other.
"""

from __future__ import annotations

from typing import Any, Protocol

from fennelpoint.net.flow import Upload


class BadRequest(ValueError):
    """What is wrong with a request, with the status that says so."""

    def __init__(self, text: str, status: int = 400, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        """`headers`: fields of the answer that refuses the request."""
        super().__init__(text)
        self.status, self.headers = status, headers


def sort_fields(
    first: bytes,
    headers: list[tuple[bytes, bytes]],
    once: frozenset[bytes],
    dropped: frozenset[bytes],
    kept: frozenset[bytes],
) -> tuple[dict[bytes, bytes], list[bytes]]:
    """The fields that the routing goes by, and the lines that go on, the `first` one included.

    A field of `once` may be given once.  What is `dropped`, or named by `Connection`, does not go on, but for
    what is `kept`.  Raises BadRequest.
    """
    found: dict[bytes, bytes] = {}
    options: set[bytes] = set()  # fields that are for this connection only, by the client's word
    lines = [first]
    for name, value in headers:
        if name in once:
            if name in found:  # which of them counts would be anybody's guess
                raise BadRequest(f"{name.decode()} is given twice")
            found[name] = value
        elif name == b"connection":
            options.update(word.strip().lower() for word in value.split(b","))
        if name not in dropped:
            lines.append(name + b": " + value)
    if options:
        options -= kept
        lines[1:] = [line for line in lines[1:] if line.partition(b":")[0] not in options]
    return found, lines


class RequestReader(Protocol):
    """Turns a request into what its host is asked."""

    ready_path: bytes | None  # answered by the server itself, None where there is no such path

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload
    ) -> Any:
        """The request for the host. Raises BadRequest with the status that refuses it."""
