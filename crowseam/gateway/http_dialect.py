"""The protocol of servers: how an answer is validated, and what outcome it proves for an attempt."""

from __future__ import annotations

from fennelpoint.interface import Status
from fennelpoint.net.backends import Answer, Dialect

NOT_RUN_HEADER = b"x-not-run"
SEAL_HEADER = b"x-server-seal"
ATTEMPT_ID_HEADER = b"x-attempt-id"
SINGLE_VALUED_HEADERS = (ATTEMPT_ID_HEADER, SEAL_HEADER)


def header_value(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header field, or None."""
    return next((value for each, value in headers if each == name), None)


class ServerDialect(Dialect):
    """Matches answers to requests by the attempt id they echo; a success needs its seal and its whole body."""

    may_run_incomplete_requests = True

    def classify(self, answer: Answer, request_complete: bool) -> Status:
        """Return the outcome that a complete answer proves, whether or not the server has the whole request."""
        if header_value(answer.headers, NOT_RUN_HEADER) is not None or answer.status == 421:
            return Status.FULL
        return Status.OK if 200 <= answer.status < 300 else Status.ERROR

    def find_defect(self, status: int, headers: list[tuple[bytes, bytes]], until_close: bool) -> str:
        """Return what is wrong with the head of an answer; empty if it is acceptable."""
        if until_close:
            # A truncated answer would pass for a complete one, also for an error.
            return "has neither a length nor chunked framing"
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in SINGLE_VALUED_HEADERS):
            # Two heads that ran into one another: it is unknown whose the body is.
            return "repeats x-attempt-id or x-server-seal"
        if 200 <= status < 300:
            if header_value(headers, SEAL_HEADER) is None:
                return "has no x-server-seal"
            if header_value(headers, ATTEMPT_ID_HEADER) is None:
                return "has no x-attempt-id"
            if header_value(headers, b"content-encoding") is not None:
                return "has a content-encoding, which was not requested"
        elif status < 400:
            return f"has unexpected status {status}"
        return ""

    def is_for_other_request(self, headers: list[tuple[bytes, bytes]], echo: bytes | None) -> bool:
        """Whether the answer echoes another id than this one."""
        echoed_id = header_value(headers, ATTEMPT_ID_HEADER)
        return echo is not None and echoed_id is not None and echoed_id != echo

    def lacks_request_id(self, headers: list[tuple[bytes, bytes]]) -> bool:
        """Whether the answer echoes no id."""
        return header_value(headers, ATTEMPT_ID_HEADER) is None


def parse_server_load(answer: Answer) -> tuple[int, int, int] | None:
    """Return the load that the server reports: running and waiting requests, and slots; None if it reports none."""
    value = header_value(answer.headers, b"x-server-load")
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() and len(part) < 8 for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return running, waiting, slots
