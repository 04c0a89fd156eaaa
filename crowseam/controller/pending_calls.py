"""Control calls that wait for consensus, or for a majority of the voters to have a record."""

from __future__ import annotations

from collections.abc import Hashable
from http import HTTPStatus

import msgspec

from crowseam.transport.http import Call

# In whole seconds (RFC 9110, 10.2.3). The caller may try another controller at once.
RETRY_AFTER = (("Retry-After", "1"),)


class PendingCalls:
    """The waiting calls, by number.

    Each number is used once and is higher than `first_number`. Replies of other controllers contain these numbers and
    may arrive after a restart, so `first_number` must be higher than all numbers of earlier incarnations.
    """

    def __init__(self, first_number: int = 0) -> None:
        self._waiting: dict[Hashable, Call] = {}
        self._last_number = first_number

    def __len__(self) -> int:
        return len(self._waiting)

    def next_number(self) -> int:
        """Return an unused number."""
        self._last_number += 1
        return self._last_number

    def add(self, call: Call) -> int:
        """Add a waiting call; return its number."""
        number = self.next_number()
        self._waiting[number] = call
        return number

    def take(self, number: Hashable) -> Call | None:
        """Remove and return the call with this number; None if it was already answered."""
        return self._waiting.pop(number, None)

    def reply(self, number: Hashable, status: int, body: bytes) -> None:
        """Answer the call with this number, if it still waits; a 503 answer has a Retry-After field."""
        call = self._waiting.pop(number, None)
        if call is not None:
            call.reply(status, body, fields=RETRY_AFTER if status == HTTPStatus.SERVICE_UNAVAILABLE else ())


def reply_unavailable(call: Call, reason: str) -> None:
    """Answer 503: this controller cannot serve the call now, but another one may."""
    call.reply(HTTPStatus.SERVICE_UNAVAILABLE, error_body(reason), fields=RETRY_AFTER)


def error_body(reason: str) -> bytes:
    """Return a JSON error body."""
    return msgspec.json.encode({"error": reason})
