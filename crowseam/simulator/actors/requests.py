"""Requests as clients make them and as servers have them, and the seal on an answer."""

from __future__ import annotations

import asyncio
from hashlib import blake2s
from typing import Protocol

from crowseam.simulator.scenario.day import Route, Tenant


class ServerConnection(Protocol):
    """What a request of a server needs of the connection that brought it."""

    transport: asyncio.Transport | None
    job: ServerRequest | None
    mute: bool

    def answer(self, status: int, fields: list[tuple[str, str]], body: bytes, last: bool = False) -> None:
        """Write an answer; `last`: and close the connection."""


def seal(server: str, attempt: str, body: bytes) -> str:
    """What a server stamps its answer with."""
    return f"{server}.{attempt}.{blake2s(body, digest_size=8).hexdigest()}"


class SimulatedRequest:
    """What a client wants, over all its attempts."""

    __slots__ = (
        "route",
        "tenant",
        "zone",
        "client",
        "born",
        "ends",
        "tries",
        "owed",
        "earned",
        "attempts",
        "answered_at",
        "refused",
        "key",
        "operation",
        "success",
    )

    def __init__(self, route: Route, tenant: Tenant | None, zone: str, client: int, born: float, key: str) -> None:
        self.route, self.tenant, self.zone, self.client = route, tenant, zone, client
        self.born, self.ends, self.tries = born, born + route.deadline, 0
        self.owed, self.earned = True, 0.0
        self.attempts: list[str] = []
        self.answered_at: float | None = None
        self.refused = False
        self.key = key
        self.operation = f"op-{zone}-{client:x}-{born:.9f}" if route.kind == "idem" else ""  # its X-Op-Key
        self.success = ""  # the seal of its first good answer


class ServerRequest:
    """One attempt of a request as a server has it."""

    __slots__ = ("connection", "attempt", "path", "method", "fields", "body", "ends", "running", "dropped", "fails")

    def __init__(
        self,
        connection: ServerConnection,
        attempt: str,
        path: str,
        method: str,
        fields: dict[bytes, bytes],
        body: bytes,
        ends: float,
    ) -> None:
        self.connection, self.attempt, self.path, self.method = connection, attempt, path, method
        self.fields, self.body, self.ends = fields, body, ends
        self.running = self.dropped = self.fails = False
