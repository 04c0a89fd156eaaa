"""Interfaces of the simulation for its actors, so that they do not depend on the whole of it."""

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
    """A machine with a gateway as clients and the platform see it; addresses are ip:port."""

    name: str
    zone: str
    http: str
    readyz: str


class SimulationContext(Protocol):
    """What clients, servers and the operator need from the simulation."""

    day: Day
    deployment: Deployment
    world: World
    network: Network
    judge: Judge
    host: str
    machines: list[GatewayMachine]
    load_ends: float  # virtual time, in s
    max_load_factor: float  # upper bound of `load_factor` over the day
    keys: dict[str, str]  # current API key of each tenant
    previous_keys: dict[str, str]  # by tenant: a key that is revoked or will be soon

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call back after `delay` s, outside of all simulated processes."""

    def pick_controller(self, rng: Random, avoid: str = "") -> str:
        """Return the address of a random controller, other than `avoid` if there is one."""

    def configuration_acknowledged(self, version: SentConfiguration) -> None:
        """Handle the acknowledgement of a configuration by a controller."""

    def draw_tenant(self, rng: Random) -> Tenant | None:
        """Draw the tenant of the next request by the tenants' weights."""

    def load_factor(self, route: Route, tenant: Tenant | None) -> float:
        """Return the current factor on the load of this route and tenant."""

    def service_time(self, path: str) -> float:
        """Return the mean service time of a request for this path, in s."""

    def answer_body(self, path: str, server: str, attempt: str) -> bytes:
        """Return the body of an answer, which is unique to the server and attempt."""

    def server_ended(self, server: object) -> None:
        """Remove a server that has ended."""
