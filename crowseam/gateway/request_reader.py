"""Parses a client's request: its route, its tenant, and the bytes that are forwarded to a server."""

from __future__ import annotations

import re
from dataclasses import dataclass

from crowseam.configuration.routing import Route, Table
from crowseam.gateway.keyed_requests import Operation
from crowseam.operations import identity
from fennelpoint.net.backends import HOP_BY_HOP
from fennelpoint.net.flow import Upload
from fennelpoint.net.request_fields import BadRequest, extract_fields

ATTEMPT_ID_PATTERN = re.compile(rb"[!-~]{1,200}")
MAX_TIME_LEFT_MS = 600_000  # larger values are rejected
DEFAULT_TIME_LEFT_S = 30.0  # for clients that send no X-Time-Left
RETRY_AFTER_FIELDS = ((b"retry-after", b"0.3"),)  # of requests before the first configuration
SINGLE_VALUED_FIELDS = frozenset(
    (b"x-attempt-id", b"x-time-left", b"authorization", b"host", b"content-length", b"transfer-encoding")
)
# Fields that only the gateway may set, hop-by-hop fields, and the client's secret key.
NOT_FORWARDED_FIELDS = HOP_BY_HOP | {b"expect", b"x-time-left", b"authorization", b"x-tenant", b"x-target-instance"}
ALWAYS_FORWARDED_FIELDS = frozenset((b"x-attempt-id", b"host"))  # even if a client's `Connection` names them


@dataclass(slots=True, eq=False)
class ParsedRequest:
    """A parsed request. It keeps its route when the configuration changes."""

    txn: bytes
    route: Route
    tenant: str  # empty on routes that need no key
    time_left: float
    head: bytes  # request line and fields, without those that differ by server
    body: bytes
    upload: Upload | None
    operation: Operation | None = None  # on routes with keyed operations

    def render(self, time_left_s: float, server_id: str) -> bytes:
        """Return the bytes for a server that has this much time to answer."""
        tenant = b"X-Tenant: %b\r\n" % self.tenant.encode() if self.tenant else b""
        return b"%bX-Time-Left: %d\r\nX-Target-Instance: %b\r\n%b\r\n%b" % (
            self.head,
            max(1, int(time_left_s * 1000)),
            server_id.encode(),
            tenant,
            self.body,
        )


class RequestReader:
    """Parses requests by the current configuration."""

    ready_path = None

    def __init__(self) -> None:
        """Start without a configuration: all requests are rejected until one comes."""
        self.table: Table | None = None
        self.rejected_counts: dict[int, int] = {}  # by status

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload
    ) -> ParsedRequest:
        """Parse a request. Raises BadRequest with the status to answer."""
        try:
            return self._read(method, url, headers, body)
        except BadRequest as fault:
            self.rejected_counts[fault.status] = self.rejected_counts.get(fault.status, 0) + 1
            raise

    def _read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes | Upload
    ) -> ParsedRequest:
        table = self.table
        found, head_lines = extract_fields(
            method + b" " + url + b" HTTP/1.1",
            headers,
            SINGLE_VALUED_FIELDS,
            NOT_FORWARDED_FIELDS,
            ALWAYS_FORWARDED_FIELDS,
        )
        if table is None or table.ver == 0:
            raise BadRequest("no configuration has come yet", 503, RETRY_AFTER_FIELDS)
        if not (host := found.get(b"host")):
            raise BadRequest("host is missing")
        route = table.route(host, url)
        if route is None:
            raise BadRequest("no route begins this path", 404)
        tenant = "" if route.public or not table.requires_keys else self._tenant(table, found)
        txn = found.get(b"x-attempt-id", b"")
        if ATTEMPT_ID_PATTERN.fullmatch(txn) is None:
            raise BadRequest("x-attempt-id is missing or no id")
        time_left_s = DEFAULT_TIME_LEFT_S
        if (time_left_field := found.get(b"x-time-left")) is not None:
            if (
                not time_left_field.isdigit()
                or len(time_left_field) > 9
                or not 0 < int(time_left_field) <= MAX_TIME_LEFT_MS
            ):
                raise BadRequest("x-time-left is not a number of milliseconds")
            time_left_s = int(time_left_field) / 1000.0
        upload = body if isinstance(body, Upload) else None
        length = len(body) if upload is None else upload.length
        if length or b"content-length" in found or b"transfer-encoding" in found:
            head_lines.append(b"content-length: %d" % length if length is not None else b"transfer-encoding: chunked")
        return ParsedRequest(
            txn,
            route,
            tenant,
            min(time_left_s, route.timeout),
            b"\r\n".join(head_lines) + b"\r\n",
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
            key = identity.key_from_headers(headers)
        except identity.OperationKeyError as error:
            raise BadRequest(str(error)) from error
        # A streamed body is not known yet.
        is_known = not isinstance(body, Upload)
        fingerprint = identity.request_fingerprint(method, host, url, body) if is_known else b""
        return Operation(identity.operation_digest(tenant, key), fingerprint)

    def _tenant(self, table: Table, found: dict[bytes, bytes]) -> str:
        scheme, _, key = found.get(b"authorization", b"").partition(b" ")
        if scheme.lower() != b"bearer" or (tenant := table.keys.get(key.strip().decode("latin-1"))) is None:
            raise BadRequest("the key is not known", 401)
        return tenant
