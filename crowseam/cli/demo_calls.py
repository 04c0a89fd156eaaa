"""HTTP calls from the demonstration to its machines."""

from http.client import HTTPConnection, HTTPException

from msgspec import Struct

from crowseam.cli import demo_files

NOT_SENT, CONNECTION_LOST = 0, 1  # used in place of an HTTP status


class Answer(Struct, frozen=True):
    """Status (or NOT_SENT or CONNECTION_LOST), headers by lower-case name, and body of a response."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""

    @property
    def ok(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def call(
    machine: str,
    port_name: str,
    method: str,
    path: str,
    body: bytes = b"",
    extra_headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Make one call to the named port of a machine."""
    connection = HTTPConnection(machine, demo_files.PORTS[port_name], timeout=timeout_s)
    try:
        connection.connect()
    except OSError:
        return Answer(NOT_SENT)
    try:
        connection.request(method, path, body or None, extra_headers or {})
        response = connection.getresponse()
        headers = {key.lower(): value for key, value in response.getheaders()}
        return Answer(response.status, headers, response.read())
    except (OSError, HTTPException):
        return Answer(CONNECTION_LOST)
    finally:
        connection.close()


def is_ready(machine: str) -> bool:
    """Return whether the gateway of a machine reports ready."""
    return call(machine, "readyz", "GET", "/-/readyz").status == 200


def request_headers(tenant: str, attempt_id: str, remaining_s: float) -> dict[str, str]:
    """Return the headers of a client's request that has `remaining_s` until its deadline."""
    return {
        "Host": demo_files.HOST,
        "Authorization": f"Bearer {demo_files.API_KEYS[tenant]}",
        "X-Attempt-Id": attempt_id,
        "X-Time-Left": str(int(remaining_s * 1000)),
    }
