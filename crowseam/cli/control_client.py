"""Calls from the command line to the control interface, tried again where that is safe.

Every call may be repeated: reads change nothing, a configuration that was already taken is acknowledged
again when the very same body comes, and a retirement said twice is said once. So a call that got no clear
answer goes, unchanged, to the next address.
"""

import http.client
import random
from collections.abc import Callable
from urllib.parse import quote, urlsplit

from expression import Error, Ok, Result
from msgspec import Struct

from crowseam.cli.errors import CommandError, RefusedError, UnclearError

# name: (method, path); the whole of what the command line asks of the system.
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

FINAL = frozenset((400, 409, 412, 413, 422))
REDIRECTS = 2
REFUSALS = 3
SILENCE_S = 1.0
BYTES_PER_S = 500_000.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


class Answer(Struct, frozen=True):
    """An answer: its HTTP status, its Location (empty if none), its body."""

    status: int
    location: str
    body: bytes


class NoAnswerError(Exception):
    """One try that brought no answer."""


Send = Callable[[str, str, str, bytes, float], Answer]


def send(address: str, method: str, path: str, body: bytes, timeout: float) -> Answer:
    """Make one try at `address` (host:port), waiting `timeout` seconds. Raises NoAnswerError."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return Answer(response.status, response.headers.get("Location", ""), response.read())
    except (OSError, http.client.HTTPException) as error:
        raise NoAnswerError(str(error) or type(error).__name__) from None
    finally:
        connection.close()


def _line(body: bytes) -> str:
    text = body.decode("utf-8", "replace").strip()
    return text.splitlines()[0][:300] if text else ""


class Caller:
    """Makes calls to any of some control addresses.

    addresses: host:port each, tried in turn. within: seconds for a whole call, all tries included.
    send, clock (seconds, steady), sleep (seconds) and rng are passed in, so that tests need none of them.
    """

    def __init__(
        self,
        addresses: list[str],
        within: float,
        send: Send,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        rng: random.Random,
    ):
        self._addresses = addresses
        self._within = within
        self._send = send
        self._clock = clock
        self._sleep = sleep
        self._rng = rng

    def call(self, name: str, body: bytes = b"", ident: str = "") -> Result[Answer, CommandError]:
        """Make the call of this name, about what `ident` names if given; Ok with a 2xx answer, else Error.

        The error is RefusedError after a clear refusal (400, 409, 412, 413 and 422 at once, any other 4xx
        except 408 and 429 at the third), UnclearError when time ran out.
        """
        method, path = CALLS[name]
        if ident:
            path += "/" + quote(ident, safe="")
        end = self._clock() + self._within
        refusals, tries, last = 0, 0, "not tried"
        while True:
            address = self._addresses[tries % len(self._addresses)]
            left = end - self._clock()
            if left <= 0:
                break
            try:
                answer = self._follow(address, method, path, body, left)
            except NoAnswerError as error:
                last = f"{address}: {error}"
            else:
                if 200 <= answer.status < 300:
                    return Ok(answer)
                last = f"{address}: {answer.status} {_line(answer.body)}".rstrip()
                if 400 <= answer.status < 500 and answer.status not in (408, 429):
                    refusals += 1
                    if answer.status in FINAL or refusals >= REFUSALS:
                        return Error(RefusedError(answer.status, _line(answer.body)))
            tries += 1
            pause = min(FIRST_PAUSE_S * 2 ** ((tries - 1) // len(self._addresses)), LONGEST_PAUSE_S)
            self._sleep(min(pause * self._rng.uniform(0.5, 1.0), max(end - self._clock(), 0.0)))
        caution = "" if method == "GET" else "; it may have been done or not"
        return Error(UnclearError(f"no clear answer within {self._within:g} s{caution} (last {last})"))

    def each(self, name: str, ident: str = "") -> list[tuple[str, Result[Answer, CommandError]]]:
        """Ask every address once, and return what each of them said."""
        method, path = CALLS[name]
        if ident:
            path += "/" + quote(ident, safe="")
        answers = []
        for address in self._addresses:
            try:
                answer = self._send(address, method, path, b"", SILENCE_S)
            except NoAnswerError as error:
                answers.append((address, Error(UnclearError(str(error)))))
                continue
            if 200 <= answer.status < 300:
                answers.append((address, Ok(answer)))
            else:
                answers.append((address, Error(RefusedError(answer.status, _line(answer.body)))))
        return answers

    def _follow(self, address: str, method: str, path: str, body: bytes, left: float) -> Answer:
        timeout = SILENCE_S + len(body) / BYTES_PER_S
        answer = self._send(address, method, path, body, min(timeout, left))
        for _ in range(REDIRECTS):
            if answer.status != 307:
                break
            target = urlsplit(answer.location)
            if target.scheme != "http" or not target.netloc or not target.path:
                raise NoAnswerError(f"sent on to no usable place {answer.location!r}")
            answer = self._send(target.netloc, method, target.path, body, min(timeout, left))
        if answer.status == 307:
            raise NoAnswerError("sent on too often")
        return answer
