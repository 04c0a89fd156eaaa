"""What control costs in bytes as a deployment grows: the real messages, filled for its size, by the second.

Nothing is sent.  The figures hold for calm times: changes of configuration, servers and sessions come
on top, and beats and pulses come as often as the daemons send them.
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

REPORTS = 1.0 / 0.5     # a second, of each desk
CALL = 420              # bytes of a beat and its answer with their heads, as servers send them
FEW = 8         # tenants that a desk is asked by at a time: those of its clients
SHARE = 123_456         # a share as large as most
ZONES = 3       # over which registries are spread; desks have their session within their own
DEFAULT_DESKS = "96"
ROUTES = 24     # of the configuration, over as many services as there are for 2 routes each


def _size(message: m.Message) -> int:
    return len(frame(message))


def configuration(tenants: int) -> bytes:
    """The body of a configuration of so many tenants, 50 requests a second each."""
    objs: list[dict[str, Any]] = [
        {"type": "svcs", "meta": {"name": f"service-{n:02d}"},
         "spec": {"hc_path": "/healthz", "maxconn": 640, "proto": "h1", "tls": False}}
        for n in range(ROUTES // 2)]
    objs += [{"type": "routes", "meta": {"name": f"route-{n:02d}"}, "spec": {
        "vhost": "api.example", "prefix": f"/part-{n:02d}/", "kind": "safe", "timeout": "2500ms",
        "target_time": "400ms", "prio": 1, "svc": f"service-{n // 2:02d}", "tries": 2, "public": False}}
        for n in range(ROUTES)]
    # Keys are random: no packing makes them smaller.
    objs += [{"type": "tenants", "meta": {"name": f"t-{n:05d}"}, "spec": {
        "apikeys": [hashlib.blake2b(b"%d" % n, digest_size=16).hexdigest()], "prio": 1, "rate_per_s": 50,
        "burst": 50}} for n in range(tenants)]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


def costs(desks: int, servers: int, tenants: int, registries: int, beat: float,
          asked: int | None = None) -> dict[str, dict[str, float]]:
    """Bytes a second by process and message, in and out together; `beat` is the servers' interval in seconds.

    "desk": of one desk.  "registry": of one registry.  "fleet": of all, each message counted once.
    "between": what of that goes from zone to zone, but for the servers' calls, whose way is theirs to choose.
    "start": bytes of one desk's opening of a session (not by the second).  A desk names `asked` tenants.
    Draws from the reserve come on top, by the request.
    """
    names = [f"t-{n:05d}" for n in range(tenants)]
    addrs = [f"10.{n % 4 + 1}.0.{n + 10}:8407" for n in range(registries)]
    # Of a tenant that does not ask at a desk, that desk says nothing, and it is lent nothing worth the bytes.
    names = names[:min(tenants, FEW if asked is None else asked)]
    asks = {name: 1.25 for name in names}
    held, lease = {}, {}
    for key in KEYS:
        shares = {name: SHARE for name in names if duty_of(name) == key}
        held[key] = Held(1, 1.0, 1 << 20, 99_999, 7.5, shares)
        lease[key] = Lease(1, 1.0, 1 << 20, 99_999, 8.0, shares)
    others = registries - 1
    away = others / registries      # duties that another registry holds
    ask = sum(_size(m.Ask("edge-somewhere-a-12", key, {n: 1.25 for n in one.shares}, one))
              for key, one in held.items())
    lent = sum(_size(m.Lent("edge-somewhere-a-12", key, one)) for key, one in lease.items())
    slices = sum(_size(m.Slice(key, one)) for key, one in lease.items())
    heard = [("i-0123456789", 1000)] * max(1, round(servers / beat * TELL / registries))
    terms = DutyTerms()
    duty = len(KEYS) / terms.renew * others * (_size(Seek(KEYS[0], 1 << 40, 1 << 20, 1.4))
                                               + _size(Granted(KEYS[0], 1 << 40, 1 << 20)))
    desk = {"reports": REPORTS * _size(m.Report(asks, held)), "slices": REPORTS * slices,
            "pulses": _size(m.Pulse(desks, 10, True)) / PING}
    mine = desks / registries
    # What one registry sends and hears of the others.
    pair = {"pings": 2 * others * _size(m.Ping(1.0, 1.0, 10, addrs)) / PING,
            "sessions": 2 * others * _size(SessionsTold(addrs[0], "x" * 24, 9, 9, [], [])) / TELL,
            "heard": 2 * others * _size(m.Heard(heard)) / TELL,
            "digests": 2 * _size(DigestOffer([b"12345678"])) / REPAIR, "duties": 2 * duty / registries,
            "relayed leases": 2 * mine * REPORTS * away * (ask + lent)}
    registry = {name: mine * each for name, each in desk.items()} | pair
    registry["beats"] = servers / beat / registries * CALL
    fleet = {name: desks * each for name, each in desk.items()}
    fleet |= {name: registries * each / 2 for name, each in pair.items()} | {"beats": servers / beat * CALL}
    in_zone = [len(range(zone, registries, ZONES)) for zone in range(ZONES)]
    apart = (registries ** 2 - sum(n * n for n in in_zone)) / max(1, registries * others)
    between = {name: apart * fleet[name] for name in pair}
    record = Record("i-0123456789", "service-a", "10.1.64.200:8080", "zone-a", "v1", 4, "up", 99_999)
    start = {"servers": _size(m.Servers("x" * 24, 9, True, [record] * servers)),
             "configuration": _size(m.State(9, m.pack(configuration(tenants)))),
             "greetings": sum(map(_size, (m.Open("edge-somewhere-a-12", 1 << 50, 9, "zone-a", -1, "", 0),
                                          m.Welcome(addrs[0], addrs), m.Quiet([]), m.Shun([]),
                                          m.Pulse(desks, 10, True))))}
    start = {name: float(size) for name, size in start.items()}
    return {"desk": desk, "registry": registry, "fleet": fleet, "between": between, "start": start}


def scale(args: dict[str, Any]) -> int:
    """`crowseam scale`: print what `costs` finds, in kB a second, or with --curve what `curves` does."""
    if args["--curve"]:
        from crowseam.capacity import curves
        return curves.told(args)
    from crowseam.cli.errors import BAD_INPUT
    figures: dict[str, float] = {}
    for option in ("desks", "servers", "tenants", "registries", "beat"):
        text = args[f"--{option}"] or DEFAULT_DESKS
        try:
            figures[option] = float(text) if option == "beat" else int(text)
        except ValueError:
            figures[option] = 0
        if not 0 < figures[option] <= 100_000:
            import sys
            print(f"crowseam: --{option}: {text!r} is not a number from 1 to 100000", file=sys.stderr)
            return BAD_INPUT
    found = costs(**figures)
    if args["--json"]:
        import json
        print(json.dumps(found))
        return 0
    for part, title in (("desk", "one desk, kB/s"), ("registry", "one registry, kB/s"),
                        ("fleet", "all together, kB/s"), ("between", "between zones, kB/s"),
                        ("start", "a desk at its start, kB")):
        print(f"{title:<24} {sum(found[part].values()) / 1000:>10.2f}")
        for name, each in sorted(found[part].items(), key=lambda pair: -pair[1]):
            print(f"    {name:<20} {each / 1000:>10.2f}")
    print(f"a desk that is gone holds its slices for {LEASED:g} s at most")
    return 0
