"""What control costs in bytes as a deployment grows: the real messages, filled for its size, by the second.

Nothing is sent.  The figures hold for calm times: changes of configuration, servers and sessions come
on top, and heartbeats and pulses come as often as the daemons send them.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from crowseam.controller.daemon import REPAIR, TELL
from crowseam.controller.gateway_sessions import LEASED
from crowseam.controller.peers import PING
from crowseam.discovery.digest import DigestOffer
from crowseam.discovery.service_registry import Record
from crowseam.membership.duties import DutyTerms, Granted, Seek
from crowseam.membership.sessions import SessionsTold
from crowseam.quotas.leases import Held, Lease
from crowseam.quotas.shards import KEYS, duty_of
from crowseam.transport import messages as m
from crowseam.transport.links import frame

REPORTS = 1.0 / 0.5  # a second, of each gateway
CALL = 420  # bytes of a heartbeat and its answer with their heads, as servers send them
FEW = 8  # tenants that a gateway is asked by at a time: those of its clients
SHARE = 123_456  # a share as large as most
ZONES = 3  # over which controllers are spread; gateways have their session within their own
DEFAULT_DESKS = "96"
ROUTES = 24  # of the configuration, over as many services as there are for 2 routes each


def _size(message: m.Message) -> int:
    return len(frame(message))


def configuration(tenants: int) -> bytes:
    """The body of a configuration of so many tenants, 50 requests a second each."""
    objs: list[dict[str, Any]] = [
        {
            "type": "svcs",
            "meta": {"name": f"service-{n:02d}"},
            "spec": {"hc_path": "/healthz", "maxconn": 640, "proto": "h1", "tls": False},
        }
        for n in range(ROUTES // 2)
    ]
    objs += [
        {
            "type": "routes",
            "meta": {"name": f"route-{n:02d}"},
            "spec": {
                "vhost": "api.example",
                "prefix": f"/part-{n:02d}/",
                "kind": "safe",
                "timeout": "2500ms",
                "target_time": "400ms",
                "prio": 1,
                "svc": f"service-{n // 2:02d}",
                "tries": 2,
                "public": False,
            },
        }
        for n in range(ROUTES)
    ]
    # Keys are random: no packing makes them smaller.
    objs += [
        {
            "type": "tenants",
            "meta": {"name": f"t-{n:05d}"},
            "spec": {
                "apikeys": [hashlib.blake2b(b"%d" % n, digest_size=16).hexdigest()],
                "prio": 1,
                "rate_per_s": 50,
                "burst": 50,
            },
        }
        for n in range(tenants)
    ]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


def costs(
    gateways: int, servers: int, tenants: int, controllers: int, heartbeat: float, asked: int | None = None
) -> dict[str, dict[str, float]]:
    """Bytes a second by process and message, in and out together; `heartbeat` is the servers' interval in seconds.

    "gateway": of one gateway.  "controller": of one controller.  "fleet": of all, each message counted once.
    "between": what of that goes from zone to zone, but for the servers' calls, whose way is theirs to choose.
    "start": bytes of one gateway's opening of a session (not by the second).  A gateway names `asked` tenants.
    Draws from the reserve come on top, by the request.
    """
    names = [f"t-{n:05d}" for n in range(tenants)]
    addrs = [f"10.{n % 4 + 1}.0.{n + 10}:8407" for n in range(controllers)]
    # Of a tenant that does not ask at a gateway, that gateway says nothing, and it is lent nothing worth the bytes.
    names = names[: min(tenants, FEW if asked is None else asked)]
    asks = {name: 1.25 for name in names}
    held, lease = {}, {}
    for key in KEYS:
        shares = {name: SHARE for name in names if duty_of(name) == key}
        held[key] = Held(1, 1.0, 1 << 20, 99_999, 7.5, shares)
        lease[key] = Lease(1, 1.0, 1 << 20, 99_999, 8.0, shares)
    others = controllers - 1
    away = others / controllers  # duties that another controller holds
    ask = sum(_size(m.Ask("edge-somewhere-a-12", key, {n: 1.25 for n in one.shares}, one)) for key, one in held.items())
    lent = sum(_size(m.Lent("edge-somewhere-a-12", key, one)) for key, one in lease.items())
    slices = sum(_size(m.Slice(key, one)) for key, one in lease.items())
    heard = [("i-0123456789", 1000)] * max(1, round(servers / heartbeat * TELL / controllers))
    terms = DutyTerms()
    duty = (
        len(KEYS)
        / terms.renew
        * others
        * (_size(Seek(KEYS[0], 1 << 40, 1 << 20, 1.4)) + _size(Granted(KEYS[0], 1 << 40, 1 << 20)))
    )
    gateway = {
        "reports": REPORTS * _size(m.Report(asks, held)),
        "slices": REPORTS * slices,
        "pulses": _size(m.Pulse(gateways, 10, True)) / PING,
    }
    mine = gateways / controllers
    # What one controller sends and hears of the others.
    pair = {
        "pings": 2 * others * _size(m.Ping(1.0, 1.0, 10, addrs)) / PING,
        "sessions": 2 * others * _size(SessionsTold(addrs[0], "x" * 24, 9, 9, [], [])) / TELL,
        "heard": 2 * others * _size(m.Heard(heard)) / TELL,
        "digests": 2 * _size(DigestOffer([b"12345678"])) / REPAIR,
        "duties": 2 * duty / controllers,
        "relayed leases": 2 * mine * REPORTS * away * (ask + lent),
    }
    controller = {name: mine * each for name, each in gateway.items()} | pair
    controller["heartbeats"] = servers / heartbeat / controllers * CALL
    fleet = {name: gateways * each for name, each in gateway.items()}
    fleet |= {name: controllers * each / 2 for name, each in pair.items()} | {"heartbeats": servers / heartbeat * CALL}
    in_zone = [len(range(zone, controllers, ZONES)) for zone in range(ZONES)]
    apart = (controllers**2 - sum(n * n for n in in_zone)) / max(1, controllers * others)
    between = {name: apart * fleet[name] for name in pair}
    record = Record("i-0123456789", "service-a", "10.1.64.200:8080", "zone-a", "v1", 4, "up", 99_999)
    start = {
        "servers": _size(m.Servers("x" * 24, 9, True, [record] * servers)),
        "configuration": _size(m.State(9, m.pack(configuration(tenants)))),
        "greetings": sum(
            map(
                _size,
                (
                    m.Open("edge-somewhere-a-12", 1 << 50, 9, "zone-a", -1, "", 0),
                    m.Welcome(addrs[0], addrs),
                    m.Quiet([]),
                    m.Shun([]),
                    m.Pulse(gateways, 10, True),
                ),
            )
        ),
    }
    start = {name: float(size) for name, size in start.items()}
    return {"gateway": gateway, "controller": controller, "fleet": fleet, "between": between, "start": start}


def scale(args: dict[str, Any]) -> int:
    """`crowseam scale`: print what `costs` finds, in kB a second, or with --curve what `curves` does."""
    if args["--curve"]:
        from crowseam.capacity import curves

        return curves.told(args)
    from crowseam.cli.errors import BAD_INPUT

    metrics: dict[str, float] = {}
    for option in ("gateways", "servers", "tenants", "controllers", "heartbeat"):
        text = args[f"--{option}"] or DEFAULT_DESKS
        try:
            metrics[option] = float(text) if option == "heartbeat" else int(text)
        except ValueError:
            metrics[option] = 0
        if not 0 < metrics[option] <= 100_000:
            import sys

            print(f"crowseam: --{option}: {text!r} is not a number from 1 to 100000", file=sys.stderr)
            return BAD_INPUT
    found = costs(**metrics)
    if args["--json"]:
        import json

        print(json.dumps(found))
        return 0
    for part, title in (
        ("gateway", "one gateway, kB/s"),
        ("controller", "one controller, kB/s"),
        ("fleet", "all together, kB/s"),
        ("between", "between zones, kB/s"),
        ("start", "a gateway at its start, kB"),
    ):
        print(f"{title:<24} {sum(found[part].values()) / 1000:>10.2f}")
        for name, each in sorted(found[part].items(), key=lambda pair: -pair[1]):
            print(f"    {name:<20} {each / 1000:>10.2f}")
    print(f"a gateway that is gone holds its slices for {LEASED:g} s at most")
    return 0
