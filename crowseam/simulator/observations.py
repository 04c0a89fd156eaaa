"""Observations of clients, servers and gateways that the judge keeps.  Times are virtual time, in s."""

from __future__ import annotations

from typing import NamedTuple

from crowseam.simulator.actors.requests import SimulatedRequest


class Outage(NamedTuple):
    """A machine ("" for all) may be out of touch from `since` to `until`."""

    since: float
    until: float
    machine: str


class Run(NamedTuple):
    """A server has begun to run an attempt that it received from the gateway of a machine."""

    at: float
    attempt: Attempt
    service: str
    gateway: str


class Arrival(NamedTuple):
    """An attempt has arrived at a server; `is_retry`: it had arrived at a server before."""

    at: float
    service: str
    is_retry: bool


class Drain(NamedTuple):
    """The controller on `machine` has acknowledged the drain of a server."""

    at: float
    machine: str


class Delivery(NamedTuple):
    """When a client sent an attempt and when a server began to run it."""

    sent_at: float
    run_at: float


class Bucket(NamedTuple):
    """Level of a tenant's token bucket at a time."""

    level: float
    at: float


class ProvenVersion(NamedTuple):
    """Newest version that a gateway has provably applied, and when that was observed."""

    version: int
    at: float


class Attempt:
    """One attempt of a client's request, as observed by the client and by servers."""

    __slots__ = (
        "request",
        "machine",
        "path",
        "method",
        "body",
        "sent_at",
        "run_count",
        "arrival_count",
        "status",
        "answer_dropped",
    )

    def __init__(
        self, request: SimulatedRequest, machine: str, path: str, method: str, body: bytes, sent_at: float
    ) -> None:
        self.request, self.machine, self.sent_at = request, machine, sent_at
        self.path, self.method, self.body = path, method, body
        self.run_count = 0
        self.arrival_count = 0
        self.status: int | None = None
        self.answer_dropped = False  # by its server
