"""Calls of the demonstration to its machines."""

from http.client import HTTPConnection, HTTPException

from msgspec import Struct

from crowseam.cli import demo_files

NOT_SENT, CUT_OFF = 0, 1  # in place of a status


class Answer(Struct, frozen=True):
    """An answer: its status, or NOT_SENT or CUT_OFF; its headers by lower-case name; its body."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""

    @property
    def ok(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300


def call(
    machine: str,
    name: str,
    method: str,
    path: str,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Answer:
    """Make one call to a port of a machine, within `timeout` s."""
    connection = HTTPConnection(machine, demo_files.PORTS[name], timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return Answer(NOT_SENT)
    try:
        connection.request(method, path, body or None, fields or {})
        answer = connection.getresponse()
        headers = {key.lower(): value for key, value in answer.getheaders()}
        return Answer(answer.status, headers, answer.read())
    except (OSError, HTTPException):
        return Answer(CUT_OFF)
    finally:
        connection.close()


def ready(machine: str) -> bool:
    """Whether the gateway of a machine says that it is ready."""
    return call(machine, "readyz", "GET", "/-/readyz").status == 200


def request_fields(tenant: str, attempt: str, left: float) -> dict[str, str]:
    """The headers of a client's request, which has `left` s."""
    return {
        "Host": demo_files.HOST,
        "Authorization": f"Bearer {demo_files.KEYS[tenant]}",
        "X-Attempt-Id": attempt,
        "X-Time-Left": str(int(left * 1000)),
    }
