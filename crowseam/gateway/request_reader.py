"""Reads a client's request: its route, its tenant, and the bytes that go on to a server."""

from __future__ import annotations

import re
from dataclasses import dataclass

from crowseam.configuration.routing import Route, Table
from crowseam.gateway.keyed_requests import Operation
from crowseam.operations import identity
from fennelpoint.net.backends import HOP_BY_HOP
from fennelpoint.net.flow import Upload
from fennelpoint.net.request_fields import BadRequest, sort_fields

ID = re.compile(rb"[!-~]{1,200}")
MOST_LEFT_MS = 600_000  # ms; a longer wait is not meant
DEFAULT_LEFT = 30.0  # s for clients that don't say how long they wait
AGAIN = ((b"retry-after", b"0.3"),)  # for who comes before the first configuration is here
SINGLE = frozenset(
    (b"x-attempt-id", b"x-time-left", b"authorization", b"host", b"content-length", b"transfer-encoding")
)
# What only we may tell a server, what concerns one connection only, and the key, which is the client's alone.
NOT_PASSED_ON = HOP_BY_HOP | {b"expect", b"x-time-left", b"authorization", b"x-tenant", b"x-target-instance"}
KEPT = frozenset((b"x-attempt-id", b"host"))  # whatever a client's `Connection` names


@dataclass(slots=True, eq=False)
class Asked:
    """A request as read. It holds on to the route it was given, whatever the configuration becomes."""

    txn: bytes
    route: Route
    tenant: str  # "" on routes that need no key
    time_left: float
    head: bytes  # request line and fields, without what is told each server anew
    body: bytes
    upload: Upload | None
    operation: Operation | None = None  # on routes of keyed operations

    def render(self, left: float, server: str) -> bytes:
        """The bytes for a server that is waited for this many seconds."""
        tenant = b"X-Tenant: %b\r\n" % self.tenant.encode() if self.tenant else b""
        return b"%bX-Time-Left: %d\r\nX-Target-Instance: %b\r\n%b\r\n%b" % (
            self.head,
            max(1, int(left * 1000)),
            server.encode(),
            tenant,
            self.body,
        )


class Reader:
    """Reads requests by the configuration in force."""

    ready_path = None

    def __init__(self) -> None:
        """Start without a configuration: all requests are refused until one comes."""
        self.table: Table | None = None  # none before the first configuration
        self.turned: dict[int, int] = {}  # requests that could not be taken, by the status that says so

    def read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload) -> Asked:
        """Raises BadRequest with the status that refuses it."""
        try:
            return self._read(method, url, headers, body)
        except BadRequest as fault:
            self.turned[fault.status] = self.turned.get(fault.status, 0) + 1
            raise

    def _read(self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload) -> Asked:
        table = self.table
        found, lines = sort_fields(method + b" " + url + b" HTTP/1.1", headers, SINGLE, NOT_PASSED_ON, KEPT)
        if table is None or table.ver == 0:
            raise BadRequest("no configuration has come yet", 503, AGAIN)
        if not (host := found.get(b"host")):
            raise BadRequest("host is missing")
        route = table.route(host, url)
        if route is None:
            raise BadRequest("no route begins this path", 404)
        tenant = "" if route.public or not table.keyed else self._tenant(table, found)
        txn = found.get(b"x-attempt-id", b"")
        if ID.fullmatch(txn) is None:
            raise BadRequest("x-attempt-id is missing or no id")
        left = DEFAULT_LEFT
        if (told := found.get(b"x-time-left")) is not None:
            if not told.isdigit() or len(told) > 9 or not 0 < int(told) <= MOST_LEFT_MS:
                raise BadRequest("x-time-left is not a number of milliseconds")
            left = int(told) / 1000.0
        upload = body if isinstance(body, Upload) else None
        length = len(body) if upload is None else upload.length
        if length or b"content-length" in found or b"transfer-encoding" in found:
            lines.append(b"content-length: %d" % length if length is not None else b"transfer-encoding: chunked")
        return Asked(
            txn,
            route,
            tenant,
            min(left, route.timeout),
            b"\r\n".join(lines) + b"\r\n",
            body if upload is None else b"",
            upload,
            self._operation(method, host, url, headers, tenant, body) if route.keyed else None,
        )

    @staticmethod
    def _operation(
        method: bytes,
        host: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        tenant: str,
        body: bytes | Upload,
    ) -> Operation:
        try:
            key = identity.read_key(headers)
        except identity.OperationKeyError as error:
            raise BadRequest(str(error)) from error
        # Of a body that is passed on while it comes nothing is known yet.
        is_known = not isinstance(body, Upload)
        fingerprint = identity.fingerprint_of(method, host, url, body) if is_known else b""
        return Operation(identity.digest_of(tenant, key), fingerprint)

    def _tenant(self, table: Table, found: dict[bytes, bytes]) -> str:
        kind, _, key = found.get(b"authorization", b"").partition(b" ")
        if kind.lower() != b"bearer" or (tenant := table.keys.get(key.strip().decode("latin-1"))) is None:
            raise BadRequest("the key is not known", 401)
        return tenant
