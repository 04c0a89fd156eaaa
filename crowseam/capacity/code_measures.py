"""Processor time and memory against size, measured on the daemons' own code, filled for the size.

All runs in one process that does nothing else; nothing is sent.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random

from msgspec import Struct

from crowseam.capacity.curves import QUOTA, SERVICES, SIZES
from crowseam.capacity.message_costs import ASKING_TENANTS, Deployment
from crowseam.capacity.sample_configuration import configuration
from crowseam.configuration.model import Configuration
from crowseam.configuration.routing import Route, Table
from crowseam.controller.lease_service import GRANTOR_TERMS
from crowseam.discovery.anti_entropy import AntiEntropy
from crowseam.discovery.server_record import ServerRecord
from crowseam.discovery.service_registry import ServiceRegistry
from crowseam.gateway.gateway import Gateway
from crowseam.gateway.load_balancer import LoadBalancer, RequestState
from crowseam.membership.sessions import Session, SessionTable, SessionUpdate
from crowseam.quotas.admission import Admission
from crowseam.quotas.lease_grantor import QuotaLeaseGrantor
from crowseam.quotas.lease_messages import LeaseReport
from crowseam.quotas.retry_budget import RetryBudget
from crowseam.settings import Bind, Settings
from crowseam.transport.links import frame
from crowseam.transport.messages import ServerUpdate

SERVERS_OF_A_SERVICE = (17, 68, 250, 1000, 5000)
SPAN = 0.02  # s of the processor that a measure takes at least
ROUNDS = 12  # of which the least counts
REPORT_INTERVAL = 0.5  # s between two reports of a gateway
LENDERS = 4  # of a quarter of the tenants each

Call = Callable[[], object]


class Measure(Struct, frozen=True):
    """A call that is measured, and the size that it grows with."""

    what: str
    by: str
    size: int
    call: Call


class ProcessorTime(Struct, frozen=True):
    """Processor time of one call, in µs."""

    what: str
    by: str
    size: int
    microseconds: float

    def row(self) -> dict[str, str | int | float]:
        """As tables and kept files have it."""
        return {"what": self.what, "by": self.by, "size": self.size, "us": self.microseconds}


# Filling the code for a size


def records(count: int, services: int = 1) -> list[ServerRecord]:
    """So many servers, spread over services and three zones."""
    return [
        ServerRecord(
            f"i-{n:010x}",
            f"service-{n // 3 % services}",
            f"10.{n % 3 + 1}.{n // 250}.{n % 250 + 1}:8080",
            f"zone-{n % 3}",
            "v1",
            4,
            "up",
            99_999,
        )
        for n in range(count)
    ]


def balancer(servers: list[ServerRecord]) -> LoadBalancer:
    """A load balancer that knows these servers."""
    rng = Random(1)
    budget = RetryBudget(0.2, 10.0, 60.0, 0.0, had_predecessor=False)
    made = LoadBalancer("zone-0", Admission(0.0, rng), budget, rng, "edge-1")
    made.update_servers(servers, True, 0.0)
    return made


def _registry(count: int) -> ServiceRegistry:
    registry = ServiceRegistry("1")
    for record in records(count, SERVICES):
        registry.merge(record, 1.0)
    return registry


class LenderReports:
    """A lender of a quarter of the tenants, which all gateways report to by turns."""

    def __init__(self, gateways: int, tenants: int) -> None:
        names = [f"t-{n:05d}" for n in range(max(1, tenants // LENDERS))]
        self.gateways, self.turn = gateways, 0
        self.lender = QuotaLeaseGrantor(1, set(), gateways, 0.0, GRANTOR_TERMS, lambda tenant: QUOTA, lambda: names)
        few = max(1, ASKING_TENANTS // LENDERS)
        self.asks = [{names[(n + k) % len(names)]: 1.25 for k in range(few)} for n in range(gateways)]
        nothing = LeaseReport(1, 0.0, 0, 0, 0.0, {})
        self.leases = [self.lender.report(f"d-{n}", self.asks[n], nothing, 0.0) for n in range(gateways)]

    def report(self) -> None:
        """The next gateway reports, and is lent anew."""
        self.turn += 1
        gateway, now = self.turn % self.gateways, self.turn * REPORT_INTERVAL / self.gateways
        lease = self.leases[gateway]
        held = LeaseReport(1, now, 1, lease.epoch, 7.5, lease.shares)
        self.leases[gateway] = self.lender.report(f"d-{gateway}", self.asks[gateway], held, now)


def _session_table(gateways: int, controllers: int) -> SessionTable:
    session_table = SessionTable("r-0", "1")
    for n in range(0, gateways, controllers):
        session_table.open(f"d-{n}", "1", 0.0)
    for r in range(1, controllers):
        named = [Session(f"d-{n}", "1") for n in range(r, gateways, controllers)]
        session_table.apply_update(SessionUpdate(f"r-{r}", "1", 0, len(named), named, []), 0.0)
    session_table.tick(0.0)
    return session_table


def _gateway(gateways: int, tenants: int) -> Gateway:
    gateway = Gateway(None, Settings("edge-1", "10.1.0.1", "zone-0", (7660, 7675), [], Bind()), Random(1), 100)
    gateway.gateway_count, gateway.lease_share = gateways, lambda tenant, now: 0.01
    gateway.configure(Table(Configuration.from_put(configuration(tenants)), None))
    return gateway


# What is measured


def measures_of_a_service(count: int) -> Iterator[Measure]:
    """Choices among so many servers of one service, and their news."""
    by, name = "servers of a service", "service-0"
    route = Route("r", b"api.example", b"/", True, 5.0, 0.4, 0, ((name, 1.0),), 2, False, (1.0,))
    attempt = RequestState(1, route, "", 0.0, 5.0, name)
    servers = records(count)
    one = balancer(servers)
    everyone = one.services[name]
    yield Measure("choose", by, count, lambda: one._choose_server(attempt, 1.0))
    yield Measure("choose of all", by, count, lambda: one._cheapest_server(everyone, attempt, 0.1, 0.1, False, 1.0))
    back = servers[count // 2]
    left = ServerRecord(*back.__reduce__()[1][:6], "gone")

    def news() -> None:
        for record in (left, back):
            one.update_servers([record], False, 1.0)
            one.subsets.candidates(name, one.services[name])

    yield Measure("leave and come", by, count, news)


def measures_of_servers(count: int) -> Iterator[Measure]:
    """What a controller does about so many servers."""
    registry, known = _registry(count), records(count, SERVICES)
    repair = AntiEntropy(registry)

    def snapshot() -> bytes:
        return frame(ServerUpdate("x" * 24, 9, True, registry.snapshot(2.0)))

    def digest() -> None:
        repair._cache.clear()
        repair.offer(2.0)

    def look_over() -> None:
        registry.heard_since(1.5)
        registry.expire(2.0)
        registry.silent(2.0, 2.6)

    yield Measure("snapshot", "servers", count, snapshot)
    yield Measure("take a snapshot", "servers", count, lambda: balancer(known))
    yield Measure("digest after a change", "servers", count, digest)
    offer = repair.offer(2.0)
    yield Measure("digest, no change", "servers", count, lambda: repair.handle(offer, 2.0))
    yield Measure("look over servers", "servers", count, look_over)


def measures_of_gateways(size: Deployment) -> Iterator[Measure]:
    """What controllers do about gateways, and a gateway about tenants."""
    yield Measure("lender's report", "gateways", size.gateways, LenderReports(size.gateways, size.tenants).report)
    sessions = _session_table(size.gateways, size.controllers)
    yield Measure("members", "gateways", size.gateways, lambda: sessions.members(0.1))
    yield Measure("count of members", "gateways", size.gateways, lambda: sessions.count(0.1))
    gateway = _gateway(size.gateways, size.tenants)
    now = time.monotonic()
    yield Measure("slices of a gateway", "tenants", size.tenants, lambda: gateway.update_shares(now))


def measures(
    of_one: tuple[int, ...] = SERVERS_OF_A_SERVICE, sizes: tuple[Deployment, ...] = SIZES
) -> Iterator[Measure]:
    """All measures: of one service's servers, then by size."""
    for count in of_one:
        yield from measures_of_a_service(count)
    for size in sizes:
        yield from measures_of_servers(size.servers)
        yield from measures_of_gateways(size)


# Measuring


def seconds_of(call: Call, span: float = SPAN) -> float:
    """Seconds of the processor that one call takes, the mean over `span` s or more."""
    count = 1
    while True:
        begun = time.process_time()
        for _ in range(count):
            call()
        spent = time.process_time() - begun
        if spent >= span:
            return spent / count
        count *= 4


def processor(
    span: float = SPAN,
    of_one: tuple[int, ...] = SERVERS_OF_A_SERVICE,
    sizes: tuple[Deployment, ...] = SIZES,
    rounds: int = ROUNDS,
) -> list[ProcessorTime]:
    """The time of each measure, the least of `rounds`, each of which takes `span` s or more."""
    made = list(measures(of_one, sizes))
    least = [float("inf")] * len(made)
    for _ in range(rounds):  # by turns: what else the machine does comes and goes in seconds
        least = [min(before, seconds_of(each.call, span)) for before, each in zip(least, made, strict=True)]
    return [ProcessorTime(each.what, each.by, each.size, 1e6 * spent) for each, spent in zip(made, least, strict=True)]


def _megabytes(make: Call) -> float:
    """The memory that what `make` returns takes."""
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del kept
    return size


def memory(sizes: tuple[Deployment, ...] = SIZES) -> list[dict[str, float]]:
    """MB that the tables take, by size."""
    return [_memory(size) for size in sizes]


def _memory(size: Deployment) -> dict[str, float]:
    body = configuration(size.tenants)
    return {
        "gateways": size.gateways,
        "registry_MB": _megabytes(lambda: _registry(size.servers)),
        "balancer_MB": _megabytes(lambda: balancer(records(size.servers, SERVICES))),
        "lenders_MB": _megabytes(lambda: [LenderReports(size.gateways, size.tenants) for _ in range(LENDERS)]),
        "session_table_MB": _megabytes(lambda: _session_table(size.gateways, size.controllers)),
        "configuration_MB": _megabytes(lambda: Table(Configuration.from_put(body), None)),
    }
