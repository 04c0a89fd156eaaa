"""Requests as seen by clients and by servers, and the seal of an answer."""

from __future__ import annotations

import asyncio
from hashlib import blake2s
from typing import Protocol

from crowseam.simulator.scenario.day import Route, Tenant


class ServerConnection(Protocol):
    """What a server's request needs from its connection."""

    transport: asyncio.Transport | None
    request: ServerRequest | None
    mute: bool

    def answer(self, status: int, fields: list[tuple[str, str]], body: bytes, closes: bool = False) -> None:
        """Write an answer; if `closes`, close the connection afterwards."""


def seal(server: str, attempt: str, body: bytes) -> str:
    """Return the seal that ties an answer to its server, attempt and body."""
    return f"{server}.{attempt}.{blake2s(body, digest_size=8).hexdigest()}"


class SimulatedRequest:
    """A client's request with all of its attempts.

    `owed`: it is within its tenant's quota and so counted in the metrics; `earned`: worth of its answer.
    """

    __slots__ = (
        "route",
        "tenant",
        "zone",
        "client",
        "created_at",
        "deadline_at",
        "attempt_count",
        "owed",
        "earned",
        "attempts",
        "answered_at",
        "refused",
        "key",
        "operation",
        "success_seal",
    )

    def __init__(
        self, route: Route, tenant: Tenant | None, zone: str, client: int, created_at: float, key: str
    ) -> None:
        self.route, self.tenant, self.zone, self.client = route, tenant, zone, client
        self.created_at, self.deadline_at, self.attempt_count = created_at, created_at + route.deadline, 0
        self.owed, self.earned = True, 0.0
        self.attempts: list[str] = []
        self.answered_at: float | None = None
        self.refused = False
        self.key = key
        self.operation = f"op-{zone}-{client:x}-{created_at:.9f}" if route.kind == "idem" else ""  # its X-Op-Key
        self.success_seal = ""  # seal of its first successful answer


class ServerRequest:
    """An attempt of a request, as received by a server."""

    __slots__ = (
        "connection",
        "attempt",
        "path",
        "method",
        "fields",
        "body",
        "deadline_at",
        "is_running",
        "is_dropped",
        "fails",
    )

    def __init__(
        self,
        connection: ServerConnection,
        attempt: str,
        path: str,
        method: str,
        fields: dict[bytes, bytes],
        body: bytes,
        deadline_at: float,
    ) -> None:
        self.connection, self.attempt, self.path, self.method = connection, attempt, path, method
        self.fields, self.body, self.deadline_at = fields, body, deadline_at
        self.is_running = self.is_dropped = self.fails = False
