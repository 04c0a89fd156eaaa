"""The interface of the simulation that its actors use, so that they don't depend on the whole of it."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from crowseam.simulator.actors.configurations import SentConfiguration
from crowseam.simulator.judge import Judge
from crowseam.simulator.scenario.day import Day, Deployment, Route, Tenant
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network


class GatewayMachine(Protocol):
    """What clients and the platform know of a machine with a gateway: its addresses (ip:port) and its zone."""

    name: str
    zone: str
    http: str
    readyz: str


class SimulationContext(Protocol):
    """What clients, servers and the operator need of the simulation."""

    day: Day
    deployment: Deployment
    world: World
    network: Network
    judge: Judge
    host: str
    machines: list[GatewayMachine]
    load_ends: float  # s, world time
    most_factor: float  # the most that faults ever raise the load by
    keys: dict[str, str]  # newest key of each tenant
    old_keys: dict[str, str]  # of each tenant, a key that was taken away or is about to be

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside all processes."""

    def a_controller(self, rng: Random, avoid: str = "") -> str:
        """The address of one of the controllers, another than `avoid` where there is one."""

    def acknowledged(self, version: SentConfiguration) -> None:
        """A controller has acknowledged this configuration."""

    def draw_tenant(self, rng: Random) -> Tenant | None:
        """The tenant of the next request, by the tenants' weights."""

    def factor(self, route: Route, tenant: Tenant | None) -> float:
        """The factor by which faults raise the load of this route and tenant now."""

    def work_of(self, path: str) -> float:
        """Seconds of a server that a request of this path takes."""

    def body_of(self, path: str, server: str, attempt: str) -> bytes:
        """The body of an answer, which differs by server and attempt."""

    def left(self, server: object) -> None:
        """This server has ended."""
