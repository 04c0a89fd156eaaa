"""The file format of a day: the deployment, the load on it, and the faults. Times are in seconds."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

ROLES = ("controller", "gateway", "both")
# What `crowseam.simulator.scenario.faults` can do; a test compares the two.
FAULT_KINDS = (
    "kill",
    "stop",
    "power",
    "wipe",
    "freeze",
    "slow",
    "clock",
    "cut",
    "cut_out",
    "cut_in",
    "flap",
    "link",
    "disk_hang",
    "disk_slow",
    "disk_full",
    "server_crash",
    "server_dark",
    "server_flap",
    "server_grey",
    "server_slow",
    "lost_answers",
    "garble",
    "retire",
    "release",
    "load",
    "lose_zone",
    "config_shift",
    "config_race",
    "config_split",
    "config_grow",
    "orders_lost",
    "revoke",
    "quota",
)


class DayError(Exception):
    """A day that can't be played; the text names the place."""


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """A part of a day."""


class Zone(Struct):
    """So many machines carry traffic here; the first `controllers` serve control, `disks` have a disk."""

    name: str
    machines: int = 2
    controllers: int = 2
    disks: int = 1


class Service(Struct):
    """The servers of one service.

    `queue`: requests that one holds beyond its slots. `full`: what it does with more: `503`, `reset` or
    `silent`. `spread`: how far speeds differ (sigma of their logarithm). `cold`: s for which one is slow
    after its start, by `cold_by`. `idle`: s that it keeps an unused connection. `steep`: how much slower it
    gets when all its slots are in use.
    """

    name: str
    servers: int
    slots: int = 2
    queue: int = 4
    maxconn: int = 100
    full: str = "503"
    spread: float = 0.2
    cold: float = 4.0
    cold_by: float = 2.5
    idle: float = 6.0
    steep: float = 0.2
    tells_load: bool = True


KINDS = ("safe", "unsafe", "idem")  # of routes


class Route(Struct):
    """A route and what is asked on it: `rate` a second, `work` s of a server, `deadline` s of a client.

    An answer within `target` s is worth `worth`, a later one `late`.  A client asks again up to `repeats`
    times; of the kind `idem` it does so with the key of the first, at times after a good answer too.
    """

    name: str
    rate: float
    svc: str = ""
    split: dict[str, float] = {}
    kind: str = "safe"
    work: float = 0.1
    target: float = 0.4
    deadline: float = 2.5
    timeout: float = 10.0
    prio: int = 1
    tries: int = 2
    public: bool = False
    worth: float = 1.0
    late: float = 0.5
    repeats: int = 2
    bytes_in: int = 200
    bytes_out: int = 800

    def services(self) -> dict[str, float]:
        """The services it goes to, with their weights."""
        return self.split or {self.svc: 1.0}


class Tenant(Struct):
    """A tenant: its part of the load, and its quota (requests a second, and on top; 0: none)."""

    name: str
    weight: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    prio: int = 1


class Links(Struct):
    """One way, in s: within a zone, between zones, and from clients and servers' callers."""

    zone: float = 0.0002
    between: float = 0.0014
    clients: float = 0.006


class Clients(Struct):
    """How clients behave: the part that keeps connections, and the part that ignores Retry-After."""

    keep: float = 0.5
    impatient: float = 0.1


class Processor(Struct):
    """What a callback costs a process, in s, and how often the machines' steady clocks err (parts of one)."""

    callback: float = 0.00008
    drift: float = 0.00002
    skew: float = 0.5
    start: float = 0.4


class Bounds(Struct):
    """The figures of the rules, in s, parts of one, or counts."""

    contact: float = 3.0
    ack: float = 5.0
    sync_time: float = 4.0
    drain: float = 2.5
    grace: float = 6.0
    apply: float = 2.5
    revert: float = 0.25
    recover: float = 15.0
    seed_lag: float = 3.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 66
    quota_window: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20


class Deployment(Struct):
    """The deployment: zones, services, routes, tenants, and the parameters of links, clients and processors."""

    zones: list[Zone]
    services: list[Service]
    routes: list[Route]
    tenants: list[Tenant] = []
    links: Links = msgspec.field(default_factory=Links)
    clients: Clients = msgspec.field(default_factory=Clients)
    processor: Processor = msgspec.field(default_factory=Processor)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    hb: float = 1.3
    survive: int = 1


class Fault(Struct):
    """Something that goes wrong, or a change that is made, `at` s after the load begins, for `span` s.

    `target` is a pattern of names (of machines, services, tenants or routes, as the kind asks), of which
    `count` are drawn (0: all); `role` says which processes of a machine; `amount` and `to` go
    with the kind.
    """

    kind: str
    at: float
    target: str = "*"
    role: str = "both"
    count: int = 0
    span: float = 1.0
    amount: float = 1.0
    to: str = ""


class Day(Struct):
    """One day to be played: `length` s of load, begun `settle` s after the machines."""

    name: str
    deployment: Deployment
    length: float = 30.0
    settle: float = 8.0
    after: float = 4.0  # s after the load in which the configuration is read back
    load: float = 1.0  # factor of all rates
    faults: list[Fault] = []
    trace: list[tuple[float, str, str]] = []  # (s, route, tenant) in place of the rates, for a replay


def check(day: Day) -> Day:
    """Raises DayError for what can't be played."""
    d = day.deployment
    services = {service.name for service in d.services}
    for field, names in (
        ("zones", [z.name for z in d.zones]),
        ("services", [s.name for s in d.services]),
        ("routes", [r.name for r in d.routes]),
        ("tenants", [t.name for t in d.tenants]),
    ):
        if len(set(names)) != len(names):
            raise DayError(f"deployment.{field}: a name is given twice")
    if not d.zones or not d.routes or not any(zone.disks and zone.controllers for zone in d.zones):
        raise DayError("deployment: zones, routes and a controller with a disk are needed")
    for zone in d.zones:
        if not 0 <= zone.controllers <= zone.machines or not 0 < zone.machines <= 4000:
            raise DayError(f"deployment.zones {zone.name}: machines and controllers don't fit")
    for service in d.services:
        if service.full not in ("503", "reset", "silent") or service.slots < 1:
            raise DayError(f"deployment.services {service.name}: full or slots can't be used")
    for route in d.routes:
        if not route.services() or not set(route.services()) <= services:
            raise DayError(f"deployment.routes {route.name}: it names no service, or one that is not there")
        if route.kind not in KINDS:
            raise DayError(f"deployment.routes {route.name}: kind is none of {', '.join(KINDS)}")
    for number, fault in enumerate(day.faults):
        if fault.kind not in FAULT_KINDS:
            raise DayError(f"faults[{number}].kind: {fault.kind!r} is none of {', '.join(sorted(FAULT_KINDS))}")
        if fault.role not in ROLES:
            raise DayError(f"faults[{number}].role: {fault.role!r} is none of {', '.join(ROLES)}")
    if day.length <= 0 or day.settle < 0 or day.load < 0:
        raise DayError("length, settle and load can't be below 0")
    return day


def parse(data: bytes) -> Day:
    """The day in `data`, TOML or JSON. Raises DayError."""
    decode = msgspec.json.decode if data.lstrip().startswith(b"{") else msgspec.toml.decode
    try:
        return check(decode(data, type=Day))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DayError(str(error)) from None


def build(values: dict[str, Any]) -> Day:
    """The day that plain lists and dicts describe. Raises DayError."""
    try:
        return check(msgspec.convert(values, Day))
    except msgspec.MsgspecError as error:
        raise DayError(str(error)) from None


def read(path: str | Path) -> Day:
    """The day in a file. Raises DayError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise DayError(f"{path}: {error.strerror}") from None
    try:
        return parse(data)
    except DayError as error:
        raise DayError(f"{path}: {error}") from None


def changed(day: Day, changes: dict[str, Any]) -> Day:
    """The day with values set by dotted path: `deployment.routes.lookup.rate`, or `load`.

    Entries of lists are named by their `name`. Raises DayError.
    """
    values = msgspec.to_builtins(day)
    for path, value in changes.items():
        *steps, last = path.split(".")
        at = values
        try:
            for step in steps:
                at = next(one for one in at if one["name"] == step) if isinstance(at, list) else at[step]
            if isinstance(at, list) or last not in at:
                raise KeyError(last)
        except (KeyError, StopIteration, TypeError):
            raise DayError(f"{path}: there is no such place in the day") from None
        at[last] = value
    return build(values)
