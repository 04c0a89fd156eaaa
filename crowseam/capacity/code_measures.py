"""Processor time and memory by size, measured on the daemons' own code with data of that size.

Everything runs in this process; nothing is sent.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from random import Random

from msgspec import Struct

from crowseam.capacity.curves import QUOTA_PER_S, SERVICE_COUNT, SIZES
from crowseam.capacity.message_costs import ACTIVE_TENANTS, Deployment
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

SERVERS_PER_SERVICE = (17, 68, 250, 1000, 5000)
MIN_MEASURE_S = 0.02  # minimum processor time of one measurement
ROUNDS = 12  # the fastest one counts
REPORT_INTERVAL_S = 0.5  # of a gateway
GRANTORS = 4  # each with a quarter of the tenants

Call = Callable[[], object]


class Measure(Struct, frozen=True):
    """A call to measure, and the size that its cost depends on."""

    what: str
    by: str
    size: int
    call: Call


class ProcessorTime(Struct, frozen=True):
    """Processor time of one call in µs."""

    what: str
    by: str
    size: int
    microseconds: float

    def row(self) -> dict[str, str | int | float]:
        """Return the row for tables and files."""
        return {"what": self.what, "by": self.by, "size": self.size, "us": self.microseconds}


# Data of a given size


def server_records(count: int, services: int = 1) -> list[ServerRecord]:
    """Return `count` server records, spread over services and three zones."""
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


def load_balancer(servers: list[ServerRecord]) -> LoadBalancer:
    """Return a load balancer with these servers."""
    rng = Random(1)
    budget = RetryBudget(0.2, 10.0, 60.0, 0.0, had_predecessor=False)
    balancer = LoadBalancer("zone-0", Admission(0.0, rng), budget, rng, "edge-1")
    balancer.update_servers(servers, True, 0.0)
    return balancer


def _registry(count: int) -> ServiceRegistry:
    registry = ServiceRegistry("1")
    for record in server_records(count, SERVICE_COUNT):
        registry.merge(record, 1.0)
    return registry


class GrantorReports:
    """A quota lease grantor for a quarter of the tenants, with all gateways reporting in turn."""

    def __init__(self, gateways: int, tenants: int) -> None:
        names = [f"t-{n:05d}" for n in range(max(1, tenants // GRANTORS))]
        self.gateways, self.report_number = gateways, 0
        self.grantor = QuotaLeaseGrantor(
            1, set(), gateways, 0.0, GRANTOR_TERMS, lambda tenant: QUOTA_PER_S, lambda: names
        )
        active_count = max(1, ACTIVE_TENANTS // GRANTORS)
        self.demand = [{names[(n + k) % len(names)]: 1.25 for k in range(active_count)} for n in range(gateways)]
        empty_report = LeaseReport(1, 0.0, 0, 0, 0.0, {})
        self.leases = [self.grantor.report(f"d-{n}", self.demand[n], empty_report, 0.0) for n in range(gateways)]

    def report(self) -> None:
        """Handle the next gateway's report and renew its lease."""
        self.report_number += 1
        gateway, now = self.report_number % self.gateways, self.report_number * REPORT_INTERVAL_S / self.gateways
        lease = self.leases[gateway]
        lease_report = LeaseReport(1, now, 1, lease.epoch, 7.5, lease.shares)
        self.leases[gateway] = self.grantor.report(f"d-{gateway}", self.demand[gateway], lease_report, now)


def _session_table(gateways: int, controllers: int) -> SessionTable:
    session_table = SessionTable("r-0", "1")
    for number in range(0, gateways, controllers):
        session_table.open(f"d-{number}", "1", 0.0)
    for replica in range(1, controllers):
        sessions = [Session(f"d-{number}", "1") for number in range(replica, gateways, controllers)]
        session_table.apply_update(SessionUpdate(f"r-{replica}", "1", 0, len(sessions), sessions, []), 0.0)
    session_table.tick(0.0)
    return session_table


def _gateway(gateways: int, tenants: int) -> Gateway:
    gateway = Gateway(None, Settings("edge-1", "10.1.0.1", "zone-0", (7660, 7675), [], Bind()), Random(1), 100)
    gateway.gateway_count, gateway.lease_share = gateways, lambda tenant, now: 0.01
    gateway.configure(Table(Configuration.from_put(configuration(tenants)), None))
    return gateway


# Measures


def service_measures(count: int) -> Iterator[Measure]:
    """Yield measures of server choice and server updates with `count` servers in one service."""
    by, name = "servers of a service", "service-0"
    route = Route("r", b"api.example", b"/", True, 5.0, 0.4, 0, ((name, 1.0),), 2, False, (1.0,))
    request = RequestState(1, route, "", 0.0, 5.0, name)
    servers = server_records(count)
    balancer = load_balancer(servers)
    all_servers = balancer.services[name]
    yield Measure("choose", by, count, lambda: balancer._choose_server(request, 1.0))
    yield Measure(
        "choose of all", by, count, lambda: balancer._cheapest_server(all_servers, request, 0.1, 0.1, False, 1.0)
    )
    returning = servers[count // 2]
    departed = ServerRecord(*returning.__reduce__()[1][:6], "gone")

    def leave_and_return() -> None:
        for record in (departed, returning):
            balancer.update_servers([record], False, 1.0)
            balancer.subsets.candidates(name, balancer.services[name])

    yield Measure("leave and come", by, count, leave_and_return)


def server_measures(count: int) -> Iterator[Measure]:
    """Yield measures of a controller with `count` servers."""
    registry, known_servers = _registry(count), server_records(count, SERVICE_COUNT)
    anti_entropy = AntiEntropy(registry)

    def snapshot() -> bytes:
        return frame(ServerUpdate("x" * 24, 9, True, registry.snapshot(2.0)))

    def digest() -> None:
        anti_entropy._cache.clear()
        anti_entropy.offer(2.0)

    def scan_servers() -> None:
        registry.heard_since(1.5)
        registry.expire(2.0)
        registry.silent(2.0, 2.6)

    yield Measure("snapshot", "servers", count, snapshot)
    yield Measure("take a snapshot", "servers", count, lambda: load_balancer(known_servers))
    yield Measure("digest after a change", "servers", count, digest)
    offer = anti_entropy.offer(2.0)
    yield Measure("digest, no change", "servers", count, lambda: anti_entropy.handle(offer, 2.0))
    yield Measure("look over servers", "servers", count, scan_servers)


def gateway_measures(size: Deployment) -> Iterator[Measure]:
    """Yield measures of controllers by gateways, and of a gateway by tenants."""
    yield Measure("lender's report", "gateways", size.gateways, GrantorReports(size.gateways, size.tenants).report)
    sessions = _session_table(size.gateways, size.controllers)
    yield Measure("members", "gateways", size.gateways, lambda: sessions.members(0.1))
    yield Measure("count of members", "gateways", size.gateways, lambda: sessions.count(0.1))
    gateway = _gateway(size.gateways, size.tenants)
    now = time.monotonic()
    yield Measure("slices of a gateway", "tenants", size.tenants, lambda: gateway.update_shares(now))


def measures(
    service_sizes: tuple[int, ...] = SERVERS_PER_SERVICE, sizes: tuple[Deployment, ...] = SIZES
) -> Iterator[Measure]:
    """Yield all measures: first by servers of one service, then by deployment size."""
    for count in service_sizes:
        yield from service_measures(count)
    for size in sizes:
        yield from server_measures(size.servers)
        yield from gateway_measures(size)


# Measurement


def call_time_s(call: Call, min_span_s: float = MIN_MEASURE_S) -> float:
    """Return the mean processor time of one call in s, measured over at least `min_span_s`."""
    count = 1
    while True:
        started_at = time.process_time()
        for _ in range(count):
            call()
        elapsed_s = time.process_time() - started_at
        if elapsed_s >= min_span_s:
            return elapsed_s / count
        count *= 4


def measure_processor_times(
    min_span_s: float = MIN_MEASURE_S,
    service_sizes: tuple[int, ...] = SERVERS_PER_SERVICE,
    sizes: tuple[Deployment, ...] = SIZES,
    rounds: int = ROUNDS,
) -> list[ProcessorTime]:
    """Return the fastest time of each measure in `rounds`, each measured for at least `min_span_s`."""
    all_measures = list(measures(service_sizes, sizes))
    fastest = [float("inf")] * len(all_measures)
    for _ in range(rounds):  # in turn, so that a short load peak spoils only one round of a measure
        fastest = [
            min(before, call_time_s(each.call, min_span_s)) for before, each in zip(fastest, all_measures, strict=True)
        ]
    return [
        ProcessorTime(each.what, each.by, each.size, 1e6 * elapsed_s)
        for each, elapsed_s in zip(all_measures, fastest, strict=True)
    ]


def _allocated_megabytes(build: Call) -> float:
    """Return the memory in MB allocated for the result of `build`."""
    tracemalloc.start()
    retained = build()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del retained
    return size


def measure_memory(sizes: tuple[Deployment, ...] = SIZES) -> list[dict[str, float]]:
    """Return the memory of the tables in MB by size."""
    return [_memory(size) for size in sizes]


def _memory(size: Deployment) -> dict[str, float]:
    body = configuration(size.tenants)
    return {
        "gateways": size.gateways,
        "registry_MB": _allocated_megabytes(lambda: _registry(size.servers)),
        "balancer_MB": _allocated_megabytes(lambda: load_balancer(server_records(size.servers, SERVICE_COUNT))),
        "lenders_MB": _allocated_megabytes(
            lambda: [GrantorReports(size.gateways, size.tenants) for _ in range(GRANTORS)]
        ),
        "session_table_MB": _allocated_megabytes(lambda: _session_table(size.gateways, size.controllers)),
        "configuration_MB": _allocated_megabytes(lambda: Table(Configuration.from_put(body), None)),
    }
