"""The protocol between the scale run and its hollow processes: one JSON object a line.

The first line is a job. Each further line is a command, which is answered with one report. Times are in seconds.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct

from crowseam.capacity.loads import Load


class Job(Struct):
    """The work of one process: `count` hollow gateways from number `first`, or all hollow servers if `count` is 0."""

    load: Load
    seeds: list[str]
    peer_port: int
    first: int = 0
    count: int = 0


class Command(Struct, frozen=True):
    """A command to a hollow process: report only, reset the counts, restart gateways, or let servers leave."""

    do: Literal["tell", "reset", "restart", "leave"]
    count: int = 0


class MessageCount(Struct, array_like=True):
    """Number of messages of one type, and their bytes including frames."""

    messages: int = 0
    bytes: int = 0


class GatewaysReport(Struct):
    """Counts of the hollow gateways of one process since the last reset."""

    gateways: int
    open: int  # gateways with a session
    whole: int  # gateways that have the configuration and all servers
    slot: int  # lowest slot of all gateways
    traffic: dict[str, MessageCount]  # by direction and type
    events: dict[str, int]
    slots: dict[int, list[float]]  # receive time at each gateway (monotonic clock), by slot
    caught_up: list[float]  # s from the start of each gateway to configuration and servers
    leased: list[float]  # s from the start of each gateway to all its leases
    named: int  # tenants summed over all reports
    reports: int
    passed: int  # requests admitted by lease
    wanted: int  # requests that needed a draw from the reserve
    refused: int  # requests refused while the reserve was exhausted
    given: int  # requests granted by the reserve
    draw_waits: list[float]  # sorted sample of draw response times
    late_most: float  # delay of checks, which shows an overloaded process
    late_mean: float


class ServersReport(Struct):
    """Counts of the hollow servers since the last reset."""

    servers: int
    traffic: dict[str, MessageCount]
    statuses: dict[str, int]  # responses by method and status
    leave_acks: list[float]  # time until each server's leave was acknowledged
    lost_calls: int
    late_most: float  # maximum delay of a heartbeat
    connections: dict[str, int]  # to each controller
