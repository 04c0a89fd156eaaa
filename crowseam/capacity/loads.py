"""The load of a scale run: parsed from its TOML file, with random values derived from its seed.

All functions are pure. The defaults are the operators' target size: 510 ingresses, 4,600 servers in 230 services,
4,300 routes, 17,000 tenants, 45,000 requests per second.
"""

from __future__ import annotations

import hashlib
from itertools import accumulate
from random import Random
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from crowseam.cli.errors import BadInputError

Count = Annotated[int, Meta(ge=1, le=100_000)]
Duration = Annotated[float, Meta(gt=0.0, le=3600.0)]  # seconds
Rate = Annotated[float, Meta(ge=0.0, le=1e6)]  # per second

ROUTE_KINDS = ("safe", "safe", "unsafe")


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of a scale run. Times are in seconds, rates per second, memory in MB.

    `requests` is the rate of the whole fleet at `full_gateways`. A run with fewer gateways has a proportional part of
    it but the same servers, routes and tenants, so that only the number of gateways varies with the size.
    `draws_most`: maximum rate of draws from the reserve sent by one hollow gateway; those beyond it are only counted.
    """

    seed: int = 1
    gateways: tuple[Count, ...] = (50, 100, 200, 510)
    full_gateways: Count = 510
    real_gateways: Annotated[int, Meta(ge=0, le=8)] = 2
    controllers: Annotated[int, Meta(ge=1, le=9)] = 3
    gateways_a_process: Count = 170
    servers: Count = 4600
    services: Count = 230
    zones: Annotated[int, Meta(ge=1, le=100)] = 11
    routes: Count = 4300
    tenants: Count = 17_000
    requests: Rate = 45_000.0
    skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.8  # Zipf exponent: a tenant's weight is 1 / rank ** skew
    headroom: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0  # ratio of a tenant's quota to its request rate
    draws_most: Rate = 2.0
    heartbeat: Duration = 3.0
    ramp: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0  # time over which the gateways start; 0: all at once
    settle: Duration = 10.0
    calm: Duration = 15.0
    changes: Annotated[int, Meta(ge=1, le=1000)] = 8
    change_pause: Duration = 1.5
    leaves: Annotated[int, Meta(ge=0, le=1000)] = 10
    restarts: Annotated[int, Meta(ge=0, le=1000)] = 10
    away: Duration = 4.0  # downtime of the killed controller
    seconds_most: Duration = 240.0
    memory_most: Annotated[float, Meta(gt=0.0)] = 12_000.0

    def requests_per_gateway(self) -> float:
        """Return the request rate of one gateway."""
        return self.requests / self.full_gateways


def parse(data: bytes) -> Load:
    """Parse a load from TOML. Raises BadInputError naming the field."""
    try:
        load = msgspec.toml.decode(data, type=Load)
    except msgspec.ValidationError as error:
        text, _, field_path = str(error).partition(" - at `$.")
        unknown = text.partition("unknown field `")[2].rstrip("`")
        raise BadInputError(
            unknown or field_path.rstrip("`") or "FILE", "unknown field of a load" if unknown else text
        ) from None
    except (msgspec.DecodeError, ValueError) as error:
        raise BadInputError("FILE", f"not TOML: {error}") from None
    if load.services > load.routes:
        raise BadInputError("services", f"{load.services} services exceed the {load.routes} routes")
    return load


def tenant_name(number: int) -> str:
    """Return the name of tenant `number`."""
    return f"t-{number:05d}"


def tenant_weights(load: Load) -> list[float]:
    """Return each tenant's share of all requests; the shares sum to 1."""
    raw_weights = [1.0 / (rank + 1) ** load.skew for rank in range(load.tenants)]
    total = sum(raw_weights)
    ranking = list(range(load.tenants))
    Random(load.seed).shuffle(ranking)  # so that names don't follow the rank
    shares = [0.0] * load.tenants
    for rank, number in enumerate(ranking):
        shares[number] = raw_weights[rank] / total
    return shares


def tenant_quota(load: Load, weight: float) -> float:
    """Return the quota in requests per second of a tenant with this weight."""
    return float(max(5, round(load.headroom * weight * load.requests)))


def _api_key(load: Load, number: int, key_index: int) -> str:
    # Random, since real keys don't compress either.
    return hashlib.blake2b(b"%d/%d/%d" % (load.seed, number, key_index), digest_size=20).hexdigest()


def _route(load: Load, number: int, timeout_ms: int) -> dict[str, Any]:
    service = number % load.services
    return {
        "type": "routes",
        "meta": {"name": f"route-{number:05d}"},
        "spec": {
            "vhost": f"{service:03d}.api.example",
            "prefix": f"/part-{number:05d}/",
            "kind": ROUTE_KINDS[number % len(ROUTE_KINDS)],
            "timeout": f"{timeout_ms}ms",
            "target_time": "400ms",
            "prio": number % 3,
            "svc": f"service-{service:03d}",
            "tries": 2,
            "public": False,
        },
    }


def configuration(load: Load) -> bytes:
    """Return the body of the first configuration, version 1: about 3.7 MB at the default size."""
    objs: list[dict[str, Any]] = [
        {
            "type": "svcs",
            "meta": {"name": f"service-{number:03d}"},
            "spec": {"hc_path": "/healthz", "maxconn": 640, "proto": "h1", "tls": False},
        }
        for number in range(load.services)
    ]
    objs += [_route(load, number, 2500) for number in range(load.routes)]
    objs += [
        {
            "type": "tenants",
            "meta": {"name": tenant_name(number)},
            "spec": {
                "apikeys": [_api_key(load, number, key_index) for key_index in range(1 + number % 2)],
                "prio": number % 4,
                "rate_per_s": (rate := tenant_quota(load, weight)),
                "burst": rate,
            },
        }
        for number, weight in enumerate(tenant_weights(load))
    ]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


def change_patch(load: Load, number: int) -> dict[str, Any]:
    """Return the PATCH from version `number` to the next, which changes one route or one tenant."""
    rng = Random(load.seed * 1_000_003 + number)
    if number % 3:
        changed_item = _route(load, rng.randrange(load.routes), 2000 + number)
    else:
        tenant_number = rng.randrange(load.tenants)
        changed_item = {
            "type": "tenants",
            "meta": {"name": tenant_name(tenant_number)},
            "spec": {
                "apikeys": [_api_key(load, tenant_number, 0)],
                "prio": 1,
                "rate_per_s": 5.0 + number,
                "burst": 5.0 + number,
            },
        }
    return {"ver": f"{number + 1:08x}", "parent": f"{number:08x}", "upsert": {"objs": [changed_item]}, "remove": {}}


class TenantSampler:
    """Samples the tenants of a gateway's requests, with the same distribution at each gateway."""

    def __init__(self, load: Load) -> None:
        self._names = [tenant_name(number) for number in range(load.tenants)]
        weights = tenant_weights(load)
        self._cumulative_weights = list(accumulate(weights))
        self.rates = {name: tenant_quota(load, weight) for name, weight in zip(self._names, weights, strict=True)}

    def sample(self, rng: Random, count: int) -> list[str]:
        """Return the tenants of the next `count` requests."""
        return rng.choices(self._names, cum_weights=self._cumulative_weights, k=count)


def split_gateways(load: Load, gateways: int) -> list[int]:
    """Return the number of hollow gateways of each process, split evenly. `gateways` includes the real ones."""
    hollow_gateways = max(0, gateways - load.real_gateways)
    process_count = -(-hollow_gateways // load.gateways_a_process)
    return (
        [hollow_gateways // process_count + (index < hollow_gateways % process_count) for index in range(process_count)]
        if process_count
        else []
    )
