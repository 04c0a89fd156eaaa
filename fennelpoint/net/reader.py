"""Request reader of the menu ingress: parses and validates the header fields used for routing."""

from __future__ import annotations

import math
import re
from functools import lru_cache

from fennelpoint import interface as api
from fennelpoint.net.backends import HOP_BY_HOP
from fennelpoint.net.flow import Upload
from fennelpoint.net.host import ParsedRequest
from fennelpoint.net.request_fields import BadRequest, extract_fields

MAX_REMAINING_MS = 600_000  # upper limit for the time a client may wait
CUSTOMER_ID_LIMIT = 1 << 33
MAX_TERMS_BYTES = 128
ID_PATTERN = re.compile(rb"[!-~]{1,128}")
ACCOUNT_PATTERN = re.compile(rb"account=[0-9a-f]{16}")
ROUTING_FIELDS = frozenset(
    (
        b"x-txn",
        b"x-lane",
        b"api-plan",
        b"x-remaining-ms",
        b"api-terms",
        b"cookie",
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"x-resent",
    )
)
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-remaining-ms"}


class Reader:
    """Parses requests by the class and plan names of the settings."""

    ready_path = b"/ready"

    def __init__(self, settings: api.Settings) -> None:
        """`settings`: class and plan names, and limits."""
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.cached_terms = lru_cache(1024)(self._parse_terms)  # only a few distinct values occur

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload
    ) -> ParsedRequest:
        """Parse a request for the host. Raises BadRequest with the status code to answer."""
        found, lines = extract_fields(
            method + b" " + url + b" HTTP/1.1",
            headers,
            ROUTING_FIELDS,
            NOT_FORWARDED,
            frozenset((b"x-txn", b"host")),
        )
        self._required(found, b"host")
        txn = self._required(found, b"x-txn")
        if ID_PATTERN.fullmatch(txn) is None:
            raise BadRequest("x-txn is not an id")
        cls = self._index_of(found, b"x-lane", self.classes)
        safe = self.settings.classes[cls].effect is api.Effect.SAFE
        if method != (b"GET" if safe else b"POST"):
            raise BadRequest("the method is not the class's")
        if safe and (isinstance(body, Upload) or body):
            raise BadRequest("a GET has no body here")
        plan = self._index_of(found, b"api-plan", self.plans)
        remaining_ms = self._required(found, b"x-remaining-ms")
        if (
            not remaining_ms.isdigit()
            or len(remaining_ms) > 9
            or not 0 < int(remaining_ms) <= MAX_REMAINING_MS
        ):
            raise BadRequest("x-remaining-ms is not a number of milliseconds")
        terms = self._required(found, b"api-terms")
        if len(terms) > MAX_TERMS_BYTES:
            raise BadRequest("api-terms is too long")
        units, width, first = self.cached_terms(terms)
        upload = body if isinstance(body, Upload) else None
        length = len(body) if upload is None else upload.length
        if not safe:
            lines.append(
                b"content-length: %d" % length if length is not None else b"transfer-encoding: chunked"
            )
        customer = self._parse_customer(self._required(found, b"cookie"))
        return ParsedRequest(
            txn,
            cls,
            plan,
            customer,
            int(remaining_ms) / 1000.0,
            units,
            width,
            first,
            found.get(b"x-resent") == b"1",
            not safe,
            b"\r\n".join(lines) + b"\r\n",
            body if upload is None else b"",
            upload,
        )

    def _required(self, found: dict[bytes, bytes], name: bytes) -> bytes:
        if not (value := found.get(name)):
            raise BadRequest(f"{name.decode()} is missing")
        return value

    def _index_of(self, found: dict[bytes, bytes], name: bytes, table: dict[bytes, int]) -> int:
        if (index := table.get(self._required(found, name))) is None:
            raise BadRequest(f"{name.decode()} is none of this site's")
        return index

    def _parse_customer(self, cookie: bytes) -> int:
        if (
            ACCOUNT_PATTERN.fullmatch(cookie) is not None
            and (customer := int(cookie[8:], 16)) < CUSTOMER_ID_LIMIT
        ):
            return customer  # fast path for the usual form
        pairs = (part.strip().partition(b"=") for part in cookie.split(b";"))
        values = [value for name, _, value in pairs if name == b"account"]
        try:
            if len(values) == 1 and len(values[0]) == 16 and values[0].isalnum():
                if (customer := int(values[0], 16)) < CUSTOMER_ID_LIMIT:
                    return customer
        except ValueError:
            pass
        raise BadRequest("the cookie names no account")

    def _parse_terms(self, text: bytes) -> tuple[float, float, float]:
        terms: dict[bytes, float] = {}
        try:
            for part in text.split(b","):
                name, _, value = part.strip().partition(b"=")
                if name in terms or b"_" in value:
                    raise BadRequest("api-terms can't be read")
                terms[name] = float(value)
            units, width, first = terms[b"units"], terms[b"spread"], terms[b"first"]
        except (ValueError, KeyError):
            raise BadRequest("api-terms can't be read") from None
        max_units = self.settings.max_units or math.inf
        are_integers = width == width // 1 and first == first // 1
        if not (
            0.0 < units <= max_units
            and 1 <= width <= self.settings.ingresses
            and 0 <= first < self.settings.ingresses
            and are_integers
        ):
            raise BadRequest("api-terms is out of range")
        return units, width, first
