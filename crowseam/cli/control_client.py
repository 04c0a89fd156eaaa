"""Client for the control interface, with retries.

Every call is idempotent: reads change nothing, an identical configuration is acknowledged again, and repeating
a retirement has no further effect. A call without a definite answer is therefore retried unchanged at the next
address.
"""

import http.client
import random
from collections.abc import Callable
from urllib.parse import quote, urlsplit

from expression import Error, Ok, Result
from msgspec import Struct

from crowseam.cli.errors import CommandError, RefusedError, UnclearError

# Call name -> (method, path).
CALLS = {
    "config": ("GET", "/-/config"),
    "put": ("PUT", "/-/config"),
    "patch": ("PATCH", "/-/config"),
    "history": ("GET", "/-/history"),
    "servers": ("GET", "/-/servers"),
    "members": ("GET", "/-/members"),
    "duties": ("GET", "/-/duties"),
    "status": ("GET", "/-/status"),
    "metrics": ("GET", "/-/metrics"),
    "retire": ("POST", "/-/retire"),
    "retiring": ("GET", "/-/retiring"),
    "operations": ("GET", "/-/operations"),
}

FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
MAX_REDIRECTS = 2
MAX_REFUSALS = 3
ATTEMPT_TIMEOUT_S = 1.0
MIN_BYTES_PER_S = 500_000.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class Answer(Struct, frozen=True):
    """HTTP status, Location header (empty if absent) and body of a response."""

    status: int
    location: str
    body: bytes


class NoAnswerError(Exception):
    """An attempt failed without an HTTP response."""


Send = Callable[[str, str, str, bytes, float], Answer]


def send(address: str, method: str, path: str, body: bytes, timeout_s: float) -> Answer:
    """Make one attempt at `address` (host:port) with a timeout. Raises NoAnswerError."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return Answer(response.status, response.headers.get("Location", ""), response.read())
    except (OSError, http.client.HTTPException) as error:
        raise NoAnswerError(str(error) or type(error).__name__) from None
    finally:
        connection.close()


def _first_line(body: bytes) -> str:
    text = body.decode("utf-8", "replace").strip()
    return text.splitlines()[0][:300] if text else ""


class ControlClient:
    """Calls the control interface at any of several addresses.

    addresses: host:port each, tried in turn. timeout_s: limit for a whole call, including all attempts.
    send, clock (monotonic seconds), sleep (seconds) and rng are injected so that tests can replace them.
    """

    def __init__(
        self,
        addresses: list[str],
        timeout_s: float,
        send: Send,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        rng: random.Random,
    ):
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._send = send
        self._clock = clock
        self._sleep = sleep
        self._rng = rng

    def call(self, name: str, body: bytes = b"", item_id: str = "") -> Result[Answer, CommandError]:
        """Make the named call, for the item with `item_id` if given. Returns Ok for a 2xx answer, else Error.

        The error is RefusedError after a definite refusal (400, 409, 412, 413 and 422 at once, any other 4xx
        except 408 and 429 after MAX_REFUSALS attempts), or UnclearError when the timeout has expired.
        """
        method, path = CALLS[name]
        if item_id:
            path += "/" + quote(item_id, safe="")
        deadline = self._clock() + self._timeout_s
        refusals, attempts, last_error = 0, 0, "not tried"
        while True:
            address = self._addresses[attempts % len(self._addresses)]
            remaining_s = deadline - self._clock()
            if remaining_s <= 0:
                break
            try:
                answer = self._send_following_redirects(address, method, path, body, remaining_s)
            except NoAnswerError as error:
                last_error = f"{address}: {error}"
            else:
                if 200 <= answer.status < 300:
                    return Ok(answer)
                last_error = f"{address}: {answer.status} {_first_line(answer.body)}".rstrip()
                if 400 <= answer.status < 500 and answer.status not in (408, 429):
                    refusals += 1
                    if answer.status in FINAL_STATUSES or refusals >= MAX_REFUSALS:
                        return Error(RefusedError(answer.status, _first_line(answer.body)))
            attempts += 1
            backoff_s = min(INITIAL_BACKOFF_S * 2 ** ((attempts - 1) // len(self._addresses)), MAX_BACKOFF_S)
            self._sleep(min(backoff_s * self._rng.uniform(0.5, 1.0), max(deadline - self._clock(), 0.0)))
        note = "" if method == "GET" else "; it may have been done or not"
        return Error(UnclearError(f"no clear answer within {self._timeout_s:g} s{note} (last {last_error})"))

    def call_all(self, name: str, item_id: str = "") -> list[tuple[str, Result[Answer, CommandError]]]:
        """Call every address once, without retries, and return the result of each."""
        method, path = CALLS[name]
        if item_id:
            path += "/" + quote(item_id, safe="")
        answers = []
        for address in self._addresses:
            try:
                answer = self._send(address, method, path, b"", ATTEMPT_TIMEOUT_S)
            except NoAnswerError as error:
                answers.append((address, Error(UnclearError(str(error)))))
                continue
            if 200 <= answer.status < 300:
                answers.append((address, Ok(answer)))
            else:
                answers.append((address, Error(RefusedError(answer.status, _first_line(answer.body)))))
        return answers

    def _send_following_redirects(
        self, address: str, method: str, path: str, body: bytes, remaining_s: float
    ) -> Answer:
        timeout_s = ATTEMPT_TIMEOUT_S + len(body) / MIN_BYTES_PER_S
        answer = self._send(address, method, path, body, min(timeout_s, remaining_s))
        for _ in range(MAX_REDIRECTS):
            if answer.status != 307:
                break
            target = urlsplit(answer.location)
            if target.scheme != "http" or not target.netloc or not target.path:
                raise NoAnswerError(f"sent on to no usable place {answer.location!r}")
            answer = self._send(target.netloc, method, target.path, body, min(timeout_s, remaining_s))
        if answer.status == 307:
            raise NoAnswerError("sent on too often")
        return answer
