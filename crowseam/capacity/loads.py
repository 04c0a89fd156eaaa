"""The load of a scale run, read from its settings file and drawn from its seed.

Pure: no clock, no input or output.  The size to come is the operators': 510 ingresses before 4,600 servers
in 230 services, 4,300 routes, 17,000 tenants, 45,000 requests a second.
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
Span = Annotated[float, Meta(gt=0.0, le=3600.0)]  # seconds
Rate = Annotated[float, Meta(ge=0.0, le=1e6)]  # a second

KINDS = ("safe", "safe", "unsafe")


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is played.  Times in seconds, rates a second, memory in MB.

    `requests` are those of the whole fleet at `full_gateways`; a run of fewer gateways has its part of them, while
    servers, routes and tenants stay, so that what changes with size is the number of gateways alone.
    `draws_most`: draws from the reserve that one hollow gateway sends a second; those beyond are only counted.
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
    skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.8  # of the tenants: weight 1 / rank ** skew
    headroom: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0  # quota against what a tenant asks
    draws_most: Rate = 2.0
    heartbeat: Span = 3.0
    ramp: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0  # over which the gateways start; 0: all at once
    settle: Span = 10.0
    calm: Span = 15.0
    changes: Annotated[int, Meta(ge=1, le=1000)] = 8
    change_pause: Span = 1.5
    leaves: Annotated[int, Meta(ge=0, le=1000)] = 10
    restarts: Annotated[int, Meta(ge=0, le=1000)] = 10
    away: Span = 4.0  # that the killed controller is away
    seconds_most: Span = 240.0
    memory_most: Annotated[float, Meta(gt=0.0)] = 12_000.0

    def requests_a_gateway(self) -> float:
        """Requests a second at one gateway."""
        return self.requests / self.full_gateways


def parse(data: bytes) -> Load:
    """The load of a TOML file. Raises BadInputError naming the field."""
    try:
        load = msgspec.toml.decode(data, type=Load)
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at `$.")
        unknown = text.partition("unknown field `")[2].rstrip("`")
        raise BadInputError(
            unknown or where.rstrip("`") or "FILE", "is no field of a load" if unknown else text
        ) from None
    except (msgspec.DecodeError, ValueError) as error:
        raise BadInputError("FILE", f"not TOML: {error}") from None
    if load.services > load.routes:
        raise BadInputError("services", f"{load.services} are more than the {load.routes} routes")
    return load


def tenant(number: int) -> str:
    """The name of a tenant."""
    return f"t-{number:05d}"


def weights(load: Load) -> list[float]:
    """Each tenant's part of all requests; they sum to 1."""
    raw = [1.0 / (rank + 1) ** load.skew for rank in range(load.tenants)]
    total = sum(raw)
    order = list(range(load.tenants))
    Random(load.seed).shuffle(order)  # names say nothing of who asks most
    parts = [0.0] * load.tenants
    for rank, number in enumerate(order):
        parts[number] = raw[rank] / total
    return parts


def quota(load: Load, weight: float) -> float:
    """Requests a second that a tenant of this weight may ask."""
    return float(max(5, round(load.headroom * weight * load.requests)))


def _key(load: Load, number: int, which: int) -> str:
    # Random: no packing makes keys smaller.
    return hashlib.blake2b(b"%d/%d/%d" % (load.seed, number, which), digest_size=20).hexdigest()


def _route(load: Load, number: int, timeout_ms: int) -> dict[str, Any]:
    service = number % load.services
    return {
        "type": "routes",
        "meta": {"name": f"route-{number:05d}"},
        "spec": {
            "vhost": f"{service:03d}.api.example",
            "prefix": f"/part-{number:05d}/",
            "kind": KINDS[number % len(KINDS)],
            "timeout": f"{timeout_ms}ms",
            "target_time": "400ms",
            "prio": number % 3,
            "svc": f"service-{service:03d}",
            "tries": 2,
            "public": False,
        },
    }


def configuration(load: Load) -> bytes:
    """The body of the first configuration, version 1: about 3.7 MB at the size to come."""
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
            "meta": {"name": tenant(number)},
            "spec": {
                "apikeys": [_key(load, number, which) for which in range(1 + number % 2)],
                "prio": number % 4,
                "rate_per_s": (rate := quota(load, weight)),
                "burst": rate,
            },
        }
        for number, weight in enumerate(weights(load))
    ]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


def change(load: Load, number: int) -> dict[str, Any]:
    """The PATCH from version `number` to the next: it changes one route or one tenant."""
    rng = Random(load.seed * 1_000_003 + number)
    if number % 3:
        altered = _route(load, rng.randrange(load.routes), 2000 + number)
    else:
        at = rng.randrange(load.tenants)
        altered = {
            "type": "tenants",
            "meta": {"name": tenant(at)},
            "spec": {"apikeys": [_key(load, at, 0)], "prio": 1, "rate_per_s": 5.0 + number, "burst": 5.0 + number},
        }
    return {"ver": f"{number + 1:08x}", "parent": f"{number:08x}", "upsert": {"objs": [altered]}, "remove": {}}


class Clients:
    """The tenants of the requests at a gateway: each gateway gets an even part of every tenant's requests."""

    def __init__(self, load: Load) -> None:
        self._names = [tenant(number) for number in range(load.tenants)]
        each = weights(load)
        self._sums = list(accumulate(each))
        self.rates = {name: quota(load, weight) for name, weight in zip(self._names, each, strict=True)}

    def draw(self, rng: Random, count: int) -> list[str]:
        """The tenants of the next requests."""
        return rng.choices(self._names, cum_weights=self._sums, k=count)


def processes(load: Load, gateways: int) -> list[int]:
    """How many hollow gateways each process of them has, as even as can be; real gateways are among `gateways`."""
    hollow = max(0, gateways - load.real_gateways)
    count = -(-hollow // load.gateways_a_process)
    return [hollow // count + (place < hollow % count) for place in range(count)] if count else []
