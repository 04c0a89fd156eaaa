"""What a server's answer says, by PROTOCOL; how an attempt ended."""

from __future__ import annotations

from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer, Dialect

NOT_RUN = b"x-not-run"
SEAL = b"x-server-seal"
ATTEMPT = b"x-attempt-id"
TOLD_ONCE = (ATTEMPT, SEAL)


def field(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The value of a field, or None."""
    return next((value for each, value in headers if each == name), None)


class ServerDialect(Dialect):
    """Answers are told apart by the id they echo; a success needs its seal and its whole body."""

    def verdict(self, answer: Answer, whole: bool) -> Status:
        """How the attempt ended, by the server's whole answer; `whole`: it has the whole request."""
        if field(answer.headers, NOT_RUN) is not None or answer.status == 421:
            return Status.FULL
        if not whole:
            return Status.ERROR if answer.status >= 300 else Status.RESET
        return Status.OK if 200 <= answer.status < 300 else Status.ERROR

    def doubt(self, status: int, headers: list[tuple[bytes, bytes]], until_close: bool) -> str:
        """What is wrong with an answer that begins so; nothing where it may be taken."""
        if until_close:
            # Guards who is answered: one cut off in order would pass for whole, as a failure no less.
            return "does not say where it ends"
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in TOLD_ONCE):
            # Heads that ran into one another; which of them the body is of would be anybody's guess.
            return "says twice whose it is"
        if 200 <= status < 300:
            if field(headers, SEAL) is None:
                return "has no seal"
            if field(headers, ATTEMPT) is None:
                return "names no request"
            if field(headers, b"content-encoding") is not None:
                return "is encoded, which nobody asked for"
        elif status < 400:
            return f"has status {status}"
        return ""

    def alien(self, headers: list[tuple[bytes, bytes]], echo: bytes | None) -> bool:
        """Whether the answer names another request than the one of this id."""
        told = field(headers, ATTEMPT)
        return echo is not None and told is not None and told != echo

    def nameless(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the answer names no request."""
        return field(headers, ATTEMPT) is None


def load_of(answer: Answer) -> tuple[int, int, int] | None:
    """What the server tells of its load: requests running, waiting, and slots; None where it doesn't."""
    told = field(answer.headers, b"x-server-load")
    if told is None:
        return None
    parts = told.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() and len(part) < 8 for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return running, waiting, slots
