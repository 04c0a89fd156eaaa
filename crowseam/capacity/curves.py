"""Cost against size: bytes, descriptors, slices of quotas and processor time, from 14 to 1,000 ingresses.

Bytes are those of `crowseam.capacity.message_costs`.  Processor time and memory are measured here, on the daemons' own
code filled for the size, in one process that does nothing else; nothing is sent.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator
from math import exp
from pathlib import Path
from random import Random
from typing import Any

from crowseam.capacity.message_costs import FEW, configuration, costs
from crowseam.cli import report
from crowseam.cli.commands import Args, _json, _out, _write, number
from crowseam.cli.errors import DONE, BadInputError
from crowseam.cli.tables import table
from crowseam.configuration.model import Configuration
from crowseam.configuration.routing import Route, Table
from crowseam.controller.lease_service import TERMS
from crowseam.discovery.digest import Repair
from crowseam.discovery.service_registry import Record, ServiceRegistry
from crowseam.gateway.daemon import FILES, UPSTREAM_PART
from crowseam.gateway.gateway import IDLE_MOST, Gateway
from crowseam.gateway.load_balancer import LoadBalancer, Try
from crowseam.gateway.subsetting import ENOUGH, MANY
from crowseam.membership.sessions import Session, SessionsTold, SessionTable
from crowseam.quotas.admission import Admission
from crowseam.quotas.leases import PARTS, Held, Lender
from crowseam.quotas.retry_budget import RetryBudget
from crowseam.settings import Bind, Limits, Settings
from crowseam.transport import messages as m
from crowseam.transport.links import frame

SIZES = (
    (14, 70, 7, 6),
    (40, 200, 20, 6),
    (96, 480, 48, 6),
    (200, 1000, 100, 7),
    (400, 2000, 200, 8),
    (1000, 5000, 500, 9),
)  # gateways, servers, tenants, controllers
SERVICES = 4  # over which the servers are spread evenly
ASKED, LATENCY = 20.0, 0.15  # requests a second of one gateway; s that a server has one
QUOTA = 50.0  # requests a second of a tenant
MAXCONN = 640  # connections that a server takes
SPEEDS = (100.0, 2.0)  # Mbit/s of a controller's link
OF_ONE = (17, 68, 250, 1000, 5000)  # servers of one service
SPAN, ROUNDS = 0.02, 12  # s of the processor that a measure takes at least; of so many the least counts

Row = dict[str, float]


def row(gateways: int, servers: int, tenants: int, controllers: int, heartbeat: float) -> Row:
    """What is reckoned for one size. Bytes in kB and kB/s, times in s, rates by the second."""
    found = {
        part: sum(told.values()) / 1000
        for part, told in costs(gateways, servers, tenants, controllers, heartbeat).items()
    }
    at_start = found["start"] * gateways / controllers
    told: Row = {
        "gateways": gateways,
        "servers": servers,
        "tenants": tenants,
        "controllers": controllers,
        "gateway_kB_s": found["gateway"],
        "controller_kB_s": found["controller"],
        "between_kB_s": found["between"],
        "start_kB": found["start"],
        "mass_start_kB": at_start,
    }
    for speed in SPEEDS:
        told[f"mass_start_s_{speed:g}"] = at_start * 0.008 / speed
    return told | connections(gateways, servers) | {"slice": even_slice(gateways)}


def connections(gateways: int, servers: int) -> Row:
    """Connections between gateways and servers; those of a gateway stand unused for IDLE_MOST s at most.

    `gateway_most`: the bound of a gateway by its descriptors.  `gateway_open`: what stands open at ASKED requests a
    second.  `server_gateways`: gateways that may hold connections to one server, on average, and
    `server_gateways_all` if each considered all servers.  `server_each`: what MAXCONN leaves to each of them.
    """
    service = servers / SERVICES
    considered = ENOUGH if service > MANY else service
    most = int((Limits().nofile - FILES - 32) * UPSTREAM_PART)
    touched = 1.0 - exp(-ASKED / SERVICES * IDLE_MOST / considered)
    held = min(most, SERVICES * considered * touched + ASKED * LATENCY)
    seen = gateways * considered / service
    return {
        "gateway_most": most,
        "gateway_open": held,
        "server_open": held * gateways / servers,
        "server_gateways": seen,
        "server_gateways_all": gateways,
        "server_each": MAXCONN / seen,
    }


def even_slice(gateways: int) -> float:
    """Requests a second that a gateway is lent of a tenant's QUOTA while all ask alike, or nobody does."""
    lender = Lender(1, set(), gateways, 0.0, TERMS, lambda tenant: QUOTA, lambda: ("t",))
    lease = lender.report("d", {}, Held(1, 0.0, 0, 0, 0.0, {}), 0.0)
    return lease.shares.get("t", 0) / PARTS * QUOTA


# Measures


def records(count: int, services: int = 1) -> list[Record]:
    """So many servers, spread over services and three zones."""
    return [
        Record(
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


def balancer(servers: list[Record]) -> LoadBalancer:
    """A load balancer that knows these servers."""
    rng = Random(1)
    budget = RetryBudget(0.2, 10.0, 60.0, 0.0, earlier=False)
    made = LoadBalancer("zone-0", Admission(0.0, rng), budget, rng, "edge-1")
    made.follow(servers, True, 0.0)
    return made


def _registry(count: int) -> ServiceRegistry:
    registry = ServiceRegistry("1")
    for record in records(count, SERVICES):
        registry.join(record, 1.0)
    return registry


def _lender(gateways: int, tenants: int) -> tuple[Lender, Callable[[], object]]:
    """A lender of a quarter of the tenants, all gateways known; and one gateway's report to it."""
    names = [f"t-{n:05d}" for n in range(max(1, tenants // 4))]
    lender = Lender(1, set(), gateways, 0.0, TERMS, lambda tenant: QUOTA, lambda: names)
    few = max(1, FEW // 4)
    asks = [{names[(n + k) % len(names)]: 1.25 for k in range(few)} for n in range(gateways)]
    leases = [lender.report(f"d-{n}", asks[n], Held(1, 0.0, 0, 0, 0.0, {}), 0.0) for n in range(gateways)]
    state = {"turn": 0}

    def report() -> object:
        turn = state["turn"] = state["turn"] + 1
        n, at = turn % gateways, turn * 0.5 / gateways
        lease = leases[n]
        leases[n] = lender.report(f"d-{n}", asks[n], Held(1, at, 1, lease.epoch, 7.5, lease.shares), at)
        return leases[n]

    return lender, report


def _session_table(gateways: int, controllers: int) -> SessionTable:
    session_table = SessionTable("r-0", "1")
    for n in range(0, gateways, controllers):
        session_table.opened(f"d-{n}", "1", 0.0)
    for r in range(1, controllers):
        named = [Session(f"d-{n}", "1") for n in range(r, gateways, controllers)]
        session_table.take(SessionsTold(f"r-{r}", "1", 0, len(named), named, []), 0.0)
    session_table.tick(0.0)
    return session_table


def _gateway(gateways: int, tenants: int) -> Gateway:
    gateway = Gateway(None, Settings("edge-1", "10.1.0.1", "zone-0", (7660, 7675), [], Bind()), Random(1), 100)
    gateway.members, gateway.share = gateways, lambda tenant, now: 0.01
    gateway.configure(Table(Configuration.from_put(configuration(tenants)), None))
    return gateway


def taken(act: Callable[[], object], span: float = SPAN) -> float:
    """Seconds of the processor that one call takes, the mean over `span` s or more."""
    count = 1
    while True:
        begun = time.process_time()
        for _ in range(count):
            act()
        spent = time.process_time() - begun
        if spent >= span:
            return spent / count
        count *= 4


def measures(of_one: tuple = OF_ONE, sizes: tuple = SIZES) -> Iterator[tuple[str, str, int, Callable]]:
    """(what, by what it grows, how much of that, the call): of one service's servers, then by size."""
    route = Route("r", b"api.example", b"/", True, 5.0, 0.4, 0, (("service-0", 1.0),), 2, False, (1.0,))
    t = Try(1, route, "", 0.0, 5.0, "service-0")
    for count in of_one:
        servers = records(count)
        one = balancer(servers)
        yield "choose", "servers of a service", count, lambda one=one: one._choose(t, 1.0)
        everyone = one.services["service-0"]
        yield (
            "choose of all",
            "servers of a service",
            count,
            (lambda one=one, everyone=everyone: one._best(everyone, t, 0.1, 0.1, False, 1.0)),
        )
        left = Record(*servers[count // 2].__reduce__()[1][:6], "gone")
        back = servers[count // 2]

        def news(one=one, left=left, back=back) -> None:
            one.follow([left], False, 1.0)
            one.subsets.of("service-0", one.services["service-0"])
            one.follow([back], False, 1.0)
            one.subsets.of("service-0", one.services["service-0"])

        yield "leave and come", "servers of a service", count, news
    for gateways, servers, tenants, controllers in sizes:
        registry, told = _registry(servers), records(servers, SERVICES)
        repair = Repair(registry)
        yield (
            "snapshot",
            "servers",
            servers,
            lambda registry=registry: frame(m.Servers("x" * 24, 9, True, registry.snapshot(2.0))),
        )
        yield "take a snapshot", "servers", servers, lambda told=told: balancer(told)

        def digest(repair=repair) -> None:
            repair._cache.clear()
            repair.offer(2.0)

        yield "digest after a change", "servers", servers, digest
        offer = repair.offer(2.0)
        yield "digest, no change", "servers", servers, lambda repair=repair, offer=offer: (repair.take(offer, 2.0))
        yield (
            "look over servers",
            "servers",
            servers,
            lambda registry=registry: (registry.heard_since(1.5), registry.expire(2.0), registry.silent(2.0, 2.6)),
        )
        yield "lender's report", "gateways", gateways, _lender(gateways, tenants)[1]
        session_table = _session_table(gateways, controllers)
        yield "members", "gateways", gateways, lambda session_table=session_table: session_table.members(0.1)
        yield "count of members", "gateways", gateways, lambda session_table=session_table: session_table.count(0.1)
        gateway = _gateway(gateways, tenants)
        now = time.monotonic()
        yield "slices of a gateway", "tenants", tenants, lambda gateway=gateway, now=now: gateway.slices(now)


def memory(sizes: tuple = SIZES) -> list[Row]:
    """MB that the tables take, by size."""

    def taking(make: Callable[[], object]) -> float:
        tracemalloc.start()
        kept = make()
        size = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        del kept
        return size

    found = []
    for gateways, servers, tenants, controllers in sizes:
        body = configuration(tenants)
        found.append(
            {
                "gateways": gateways,
                "registry_MB": taking(lambda servers=servers: _registry(servers)),
                "balancer_MB": taking(lambda servers=servers: balancer(records(servers, SERVICES))),
                "lenders_MB": taking(lambda size=(gateways, tenants): [_lender(*size) for _ in range(4)]),
                "roll_MB": taking(lambda size=(gateways, controllers): _session_table(*size)),
                "configuration_MB": taking(lambda body=body: Table(Configuration.from_put(body), None)),
            }
        )
    return found


def processor(
    span: float = SPAN, of_one: tuple = OF_ONE, sizes: tuple = SIZES, rounds: int = ROUNDS
) -> list[dict[str, Any]]:
    """Microseconds of each measure, the least of `rounds`, each of which takes `span` s or more."""
    made = list(measures(of_one, sizes))
    least = [float("inf")] * len(made)
    for _ in range(rounds):  # by turns: what else the machine does comes and goes in seconds
        least = [min(before, taken(act, span)) for before, (*_, act) in zip(least, made, strict=True)]
    return [
        {"what": what, "by": by, "size": size, "us": 1e6 * spent}
        for (what, by, size, _), spent in zip(made, least, strict=True)
    ]


# Drawing


def drawings(rows: list[Row], spent: list[dict[str, Any]]) -> dict[str, str]:
    """SVG by the name of its file. Raises BadInputError."""

    def against(*columns: str) -> dict[str, list[tuple[float, float]]]:
        return {name: [(row["gateways"], row[name]) for row in rows if row[name] > 0] for name in columns}

    def line(column: str, name: str) -> dict[str, list[tuple[float, float]]]:
        return {name: against(column)[column]}

    found = {
        "gateway-bytes": ("kB/s of one gateway", line("gateway_kB_s", "gateway")),
        "controller-bytes": ("kB/s of one controller", line("controller_kB_s", "controller")),
        "between-zones": ("kB/s between zones, all together", line("between_kB_s", "between")),
        "mass-start-bytes": ("kB that a controller sends", line("mass_start_kB", "sent")),
        "mass-start-seconds": (
            "s until all gateways have all",
            {f"{speed:g} Mbit/s a controller": line(f"mass_start_s_{speed:g}", "x")["x"] for speed in SPEEDS},
        ),
        "connections-gateway": (
            "connections to servers of a gateway",
            line("gateway_most", "at most") | line("gateway_open", "open at 20 requests/s"),
        ),
        "connections-server": (
            "gateways that may connect to one server",
            line("server_gateways", "mean, with the subset") | line("server_gateways_all", "all servers considered"),
        ),
        "slice": ("requests/s lent of a quota of 50", line("slice", "slice")),
    }
    told = {name: report.curve("gateways", up, lines) for name, (up, lines) in found.items()}
    by = {
        "choose": ("choose", "choose of all"),
        "news": ("leave and come",),
        "snapshot": ("snapshot", "take a snapshot"),
        "digest": ("digest after a change", "digest, no change", "look over servers"),
        "lender": ("lender's report",),
        "members": ("members", "count of members"),
        "slices-time": ("slices of a gateway",),
    }
    for name, whats in by.items():
        lines = {what: [(each["size"], each["us"]) for each in spent if each["what"] == what] for what in whats}
        across = next(each["by"] for each in spent if each["what"] == whats[0])
        told[name] = report.curve(across, "µs" if len(whats) > 1 else f"µs, {whats[0]}", lines)
    return told


def told(args: Args) -> int:
    """`crowseam scale --curve`: print the tables, and draw them into --plot. Raises BadInputError."""
    heartbeat = number(args, "--heartbeat", float)
    if args["--plot"]:
        report.curve("", "", {"": [(1.0, 1.0)]})  # says now whether it can, as measuring takes a while
    rows, spent, kept = [row(*size, heartbeat) for size in SIZES], processor(), memory()
    if args["--plot"]:
        folder = Path(args["--plot"])
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise BadInputError("--plot", f"{folder}: {error.strerror}") from None
        for name, drawing in drawings(rows, spent).items():
            _write(str(folder / f"{name}.svg"), drawing.encode(), "--plot")
    if args["--json"]:
        _json({"sizes": rows, "processor": spent, "memory": kept})
        return DONE
    for what in (
        rows,
        [{"what": each["what"], "by": each["by"], "size": each["size"], "us": round(each["us"], 1)} for each in spent],
        kept,
    ):
        _out(table(what) + "\n")
    return DONE
