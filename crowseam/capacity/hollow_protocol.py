"""The protocol between the scale run and its hollow processes: one JSON object a line.

The first line is a job, each further one an order, which is answered with one report.  Times are in seconds.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from crowseam.capacity.loads import Load


class Job(Struct):
    """What one process is to do: `count` hollow gateways from number `first`, or all servers (no gateways)."""

    load: Load
    seeds: list[str]
    peer_port: int
    first: int = 0
    count: int = 0


class Order(Struct, frozen=True):
    """An order to a hollow process: report only, reset the counts, restart gateways, or take servers out."""

    do: Literal["tell", "reset", "restart", "leave"]
    count: int = 0


class MessageCount(Struct, array_like=True):
    """How many messages of one type, and their bytes with frames."""

    messages: int = 0
    bytes: int = 0


class GatewaysReport(Struct):
    """What the hollow gateways of one process have counted since the last reset."""

    gateways: int
    open: int  # gateways with a session
    whole: int  # gateways that have the configuration and all servers
    slot: int  # the lowest of all gateways
    traffic: dict[str, MessageCount]  # by direction and type
    events: dict[str, int]
    slots: dict[int, list[float]]  # when each gateway received a slot, steady clock
    caught_up: list[float]  # s from the start of each gateway to configuration and servers
    leased: list[float]  # s from the start of each gateway to all its leases
    named: int  # tenants in all reports
    reports: int
    passed: int  # requests within the slice
    wanted: int  # requests that were to be drawn from the reserve
    refused: int  # requests that found the reserve used up
    given: int  # requests that the reserve has let in
    draw_waits: list[float]  # a sample, sorted
    late_most: float  # s by which looks came late: this process had no more to give
    late_mean: float


class ServersReport(Struct):
    """What the hollow servers have counted since the last reset."""

    servers: int
    traffic: dict[str, MessageCount]
    statuses: dict[str, int]  # answers by method and status
    leave_acks: list[float]  # s until each leave was acknowledged
    lost_calls: int
    late_most: float  # s by which a heartbeat came late
    connections: dict[str, int]  # to each controller
