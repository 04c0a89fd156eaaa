"""Sample configurations with any number of tenants, for measurements by size."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

ROUTE_COUNT = 24  # two per service
QUOTA_PER_S = 50  # of each tenant
Item = dict[str, Any]


def _service(number: int) -> Item:
    return {
        "type": "svcs",
        "meta": {"name": f"service-{number:02d}"},
        "spec": {"hc_path": "/healthz", "maxconn": 640, "proto": "h1", "tls": False},
    }


def _route(number: int) -> Item:
    return {
        "type": "routes",
        "meta": {"name": f"route-{number:02d}"},
        "spec": {
            "vhost": "api.example",
            "prefix": f"/part-{number:02d}/",
            "kind": "safe",
            "timeout": "2500ms",
            "target_time": "400ms",
            "prio": 1,
            "svc": f"service-{number // 2:02d}",
            "tries": 2,
            "public": False,
        },
    }


def _tenant(number: int) -> Item:
    # Random, since real keys don't compress either.
    key = hashlib.blake2b(b"%d" % number, digest_size=16).hexdigest()
    return {
        "type": "tenants",
        "meta": {"name": f"t-{number:05d}"},
        "spec": {"apikeys": [key], "prio": 1, "rate_per_s": QUOTA_PER_S, "burst": QUOTA_PER_S},
    }


def configuration(tenants: int) -> bytes:
    """Return the body of a configuration with `tenants` tenants."""
    objs = [_service(number) for number in range(ROUTE_COUNT // 2)]
    objs += [_route(number) for number in range(ROUTE_COUNT)]
    objs += [_tenant(number) for number in range(tenants)]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})
