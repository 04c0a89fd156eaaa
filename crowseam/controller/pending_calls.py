"""Calls put aside until something is known: agreement, or that a majority has a record."""

from __future__ import annotations

import msgspec

from crowseam.transport.http import Call

# Whole seconds, as RFC 9110 has it (10.2.3). Another controller may serve the call at once.
RETRY = (("Retry-After", "1"),)


class PendingCalls:
    """The calls that wait, by ticket.

    Tickets are numbers above `first` that are given out once.  Some travel to other controllers and back, and
    what answers an earlier life may come to a later one: so `first` is above all given out before.
    """

    def __init__(self, first: int = 0) -> None:
        self._waiting: dict[int, Call] = {}
        self._last = first

    def __len__(self) -> int:
        """How many calls wait."""
        return len(self._waiting)

    def number(self) -> int:
        """A ticket for which no call waits here."""
        self._last += 1
        return self._last

    def keep(self, call: Call) -> int:
        """Put a call aside; its ticket."""
        ticket = self.number()
        self._waiting[ticket] = call
        return ticket

    def take(self, ticket: object) -> Call | None:
        """The call of this ticket, which no longer waits; None if it has been answered already."""
        return self._waiting.pop(ticket, None)

    def reply(self, ticket: object, status: int, body: bytes) -> None:
        """Answer the call of this ticket, unless that has been done; with 503 comes when to return."""
        if (call := self._waiting.pop(ticket, None)) is not None:
            call.reply(status, body, fields=RETRY if status == 503 else ())


def unavailable(call: Call, text: str) -> None:
    """Answer 503: this controller can't serve the call now, though another one may at once."""
    call.reply(503, refusal(text), fields=RETRY)


def refusal(text: str) -> bytes:
    """The body of an answer that says why a call was not served."""
    return msgspec.json.encode({"error": text})
