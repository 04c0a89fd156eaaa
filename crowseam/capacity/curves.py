"""Cost against size: bytes, descriptors and slices of quotas, from 14 to 1,000 ingresses.

Bytes are those of `crowseam.capacity.message_costs`; nothing is sent.
"""

from __future__ import annotations

from math import exp

from crowseam.capacity.message_costs import Deployment, costs
from crowseam.controller.lease_service import GRANTOR_TERMS
from crowseam.gateway.daemon import RESERVED_DESCRIPTORS, UPSTREAM_SHARE
from crowseam.gateway.gateway import MAX_IDLE_S
from crowseam.gateway.subsetting import SUBSET_SIZE, SUBSETTING_THRESHOLD
from crowseam.quotas.lease_grantor import QuotaLeaseGrantor
from crowseam.quotas.lease_messages import SHARE_UNITS, LeaseReport
from crowseam.settings import Limits

HEARTBEAT = 1.3  # s between two heartbeats of a server, unless said otherwise
SIZES = (
    Deployment(14, 70, 7, 6, HEARTBEAT),
    Deployment(40, 200, 20, 6, HEARTBEAT),
    Deployment(96, 480, 48, 6, HEARTBEAT),
    Deployment(200, 1000, 100, 7, HEARTBEAT),
    Deployment(400, 2000, 200, 8, HEARTBEAT),
    Deployment(1000, 5000, 500, 9, HEARTBEAT),
)
SERVICES = 4  # over which the servers are spread evenly
ASKED = 20.0  # requests a second of one gateway
LATENCY = 0.15  # s that a server has a request
QUOTA = 50.0  # requests a second of a tenant
MAXCONN = 640  # connections that a server takes
SPEEDS = (100.0, 2.0)  # Mbit/s of a controller's link
MILLISECONDS_A_KILOBYTE = 8.0  # at 1 Mbit/s
OTHER_FILES = 32  # descriptors of a gateway that are no connections to clients or servers

Row = dict[str, float]


def row(size: Deployment) -> Row:
    """The computed figures for one size. Bytes in kB and kB/s, times in s, rates by the second."""
    found = costs(size)
    start = sum(found.start.values()) / 1000
    at_start = start * size.gateways / size.controllers
    values: Row = {
        "gateways": size.gateways,
        "servers": size.servers,
        "tenants": size.tenants,
        "controllers": size.controllers,
        "gateway_kB_s": sum(found.gateway.values()) / 1000,
        "controller_kB_s": sum(found.controller.values()) / 1000,
        "between_kB_s": sum(found.between.values()) / 1000,
        "start_kB": start,
        "mass_start_kB": at_start,
    }
    for speed in SPEEDS:
        values[f"mass_start_s_{speed:g}"] = at_start * MILLISECONDS_A_KILOBYTE / 1000 / speed
    return values | connections(size.gateways, size.servers) | {"slice": even_slice(size.gateways)}


def connections(gateways: int, servers: int) -> Row:
    """Connections between gateways and servers; those of a gateway stand unused for MAX_IDLE_S s at most.

    `gateway_most`: the bound of a gateway by its descriptors.  `gateway_open`: what stands open at ASKED requests a
    second.  `server_gateways`: gateways that may hold connections to one server, on average, and
    `server_gateways_all` if each considered all servers.  `server_each`: what MAXCONN leaves to each of them.
    """
    service = servers / SERVICES
    considered = SUBSET_SIZE if service > SUBSETTING_THRESHOLD else service
    most = int((Limits().nofile - RESERVED_DESCRIPTORS - OTHER_FILES) * UPSTREAM_SHARE)
    touched = 1.0 - exp(-ASKED / SERVICES * MAX_IDLE_S / considered)
    held = min(most, SERVICES * considered * touched + ASKED * LATENCY)
    gateways_a_server = gateways * considered / service
    return {
        "gateway_most": most,
        "gateway_open": held,
        "server_open": held * gateways / servers,
        "server_gateways": gateways_a_server,
        "server_gateways_all": gateways,
        "server_each": MAXCONN / gateways_a_server,
    }


def even_slice(gateways: int) -> float:
    """Requests a second of a tenant's QUOTA that a gateway holds while all gateways ask for the same."""
    lender = QuotaLeaseGrantor(1, set(), gateways, 0.0, GRANTOR_TERMS, lambda tenant: QUOTA, lambda: ("t",))
    lease = lender.report("d", {}, LeaseReport(1, 0.0, 0, 0, 0.0, {}), 0.0)
    return lease.shares.get("t", 0) / SHARE_UNITS * QUOTA
