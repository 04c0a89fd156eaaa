"""Computed cost by size: bytes, descriptors and quota leases for 14 to 1,000 ingresses.

Bytes come from `crowseam.capacity.message_costs`; nothing is sent.
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

HEARTBEAT_INTERVAL_S = 1.3  # default of a server
SIZES = (
    Deployment(14, 70, 7, 6, HEARTBEAT_INTERVAL_S),
    Deployment(40, 200, 20, 6, HEARTBEAT_INTERVAL_S),
    Deployment(96, 480, 48, 6, HEARTBEAT_INTERVAL_S),
    Deployment(200, 1000, 100, 7, HEARTBEAT_INTERVAL_S),
    Deployment(400, 2000, 200, 8, HEARTBEAT_INTERVAL_S),
    Deployment(1000, 5000, 500, 9, HEARTBEAT_INTERVAL_S),
)
SERVICE_COUNT = 4  # with an even share of the servers each
GATEWAY_REQUESTS_PER_S = 20.0
LATENCY_S = 0.15  # of a request at a server
QUOTA_PER_S = 50.0  # of a tenant
SERVER_MAX_CONNECTIONS = 640
LINK_SPEEDS_MBIT_S = (100.0, 2.0)  # of a controller
MS_PER_KB_AT_1_MBIT_S = 8.0
OTHER_DESCRIPTORS = 32  # of a gateway, other than connections to clients and servers

Row = dict[str, float]


def row(deployment: Deployment) -> Row:
    """Return the computed figures of one size: bytes in kB or kB/s, times in s, rates per second."""
    message_costs = costs(deployment)
    start_kb = sum(message_costs.start.values()) / 1000
    mass_start_kb = start_kb * deployment.gateways / deployment.controllers
    values: Row = {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "tenants": deployment.tenants,
        "controllers": deployment.controllers,
        "gateway_kB_s": sum(message_costs.gateway.values()) / 1000,
        "controller_kB_s": sum(message_costs.controller.values()) / 1000,
        "between_kB_s": sum(message_costs.between.values()) / 1000,
        "start_kB": start_kb,
        "mass_start_kB": mass_start_kb,
    }
    for speed in LINK_SPEEDS_MBIT_S:
        values[f"mass_start_s_{speed:g}"] = mass_start_kb * MS_PER_KB_AT_1_MBIT_S / 1000 / speed
    return (
        values | connections(deployment.gateways, deployment.servers) | {"slice": even_lease_rate(deployment.gateways)}
    )


def connections(gateways: int, servers: int) -> Row:
    """Return the connections between gateways and servers, where idle connections are closed after MAX_IDLE_S.

    `gateway_most`: limit of a gateway by its descriptors. `gateway_open`: open connections of a gateway at
    GATEWAY_REQUESTS_PER_S. `server_gateways`: mean number of gateways that may connect to one server, and
    `server_gateways_all` without subsetting. `server_each`: share of SERVER_MAX_CONNECTIONS of each such gateway.
    """
    servers_per_service = servers / SERVICE_COUNT
    candidates = SUBSET_SIZE if servers_per_service > SUBSETTING_THRESHOLD else servers_per_service
    max_connections = int((Limits().nofile - RESERVED_DESCRIPTORS - OTHER_DESCRIPTORS) * UPSTREAM_SHARE)
    used_share = 1.0 - exp(-GATEWAY_REQUESTS_PER_S / SERVICE_COUNT * MAX_IDLE_S / candidates)
    open_connections = min(
        max_connections, SERVICE_COUNT * candidates * used_share + GATEWAY_REQUESTS_PER_S * LATENCY_S
    )
    gateways_per_server = gateways * candidates / servers_per_service
    return {
        "gateway_most": max_connections,
        "gateway_open": open_connections,
        "server_open": open_connections * gateways / servers,
        "server_gateways": gateways_per_server,
        "server_gateways_all": gateways,
        "server_each": SERVER_MAX_CONNECTIONS / gateways_per_server,
    }


def even_lease_rate(gateways: int) -> float:
    """Return the requests per second of QUOTA_PER_S that a gateway is leased while all gateways have equal demand."""
    grantor = QuotaLeaseGrantor(1, set(), gateways, 0.0, GRANTOR_TERMS, lambda tenant: QUOTA_PER_S, lambda: ("t",))
    lease = grantor.report("d", {}, LeaseReport(1, 0.0, 0, 0, 0.0, {}), 0.0)
    return lease.shares.get("t", 0) / SHARE_UNITS * QUOTA_PER_S
