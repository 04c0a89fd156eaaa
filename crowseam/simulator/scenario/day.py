"""File format of a day, which is one simulated scenario: deployment, load and faults. Times are in seconds."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

ROLES = ("controller", "gateway", "both")
# Kinds implemented by `crowseam.simulator.scenario.faults`; a test compares the two.
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
    """A day is invalid; the text names the field."""


class Struct(msgspec.Struct, forbid_unknown_fields=True):
    """Base class of the parts of a day."""


class Zone(Struct):
    """A zone of machines with a gateway each; `controllers` of them run a controller, `disks` of these have a disk."""

    name: str
    machines: int = 2
    controllers: int = 2
    disks: int = 1


class Service(Struct):
    """The servers of one service.

    `queue`: requests that a server holds beyond its slots. `full`: its response to further requests: `503`,
    `reset` or `silent`. `spread`: sigma of the logarithm of the servers' speeds. `cold`: s after a start for which
    service times are `cold_by` times longer. `idle`: idle timeout of connections in s. `steep`: relative increase
    of the service time when all slots are in use. `tells_load`: whether answers carry X-Server-Load.
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
    """A route and its load: `rate` requests per second, service time `work`, and client timeout `deadline`.

    An answer within `target` s is worth `worth`, a later one `late`.  A client retries up to `repeats` times.
    Retries of the kind `idem` use the key of the first attempt; some are sent after a success, too.
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
        """Services that receive its requests, with their weights."""
        return self.split or {self.svc: 1.0}


class Tenant(Struct):
    """A tenant: its weight in the load and its quota, `rate` requests per second with a `burst` (0: no quota)."""

    name: str
    weight: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    prio: int = 1


class Links(Struct):
    """One-way delays in s: within a zone, between zones, and to or from clients."""

    zone: float = 0.0002
    between: float = 0.0014
    clients: float = 0.006


class Clients(Struct):
    """Client behaviour: the share that reuses connections, and the share that ignores Retry-After."""

    keep: float = 0.5
    impatient: float = 0.1


class Processor(Struct):
    """Processes and clocks of machines.

    `callback`: processor time of a callback in s. `drift`: largest relative drift of monotonic clocks.
    `skew`: largest error of wall clocks in s. `start`: mean time in s that a process takes to load.
    """

    callback: float = 0.00008
    drift: float = 0.00002
    skew: float = 0.5
    start: float = 0.4


class Bounds(Struct):
    """Bounds that the judge checks and the daemons are configured with: s, fractions, or counts."""

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
    """A fault or an operator's change, `at` s after the load begins and for `span` s.

    `target` is a pattern of names (machines, services, tenants or routes, depending on the kind); `count` of the
    matches are picked at random (0: all). `role` selects the processes of a machine. The meaning of `amount` and
    `to` depends on the kind.
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
    """A scenario: `length` s of load, which begins `settle` s after the machines start."""

    name: str
    deployment: Deployment
    length: float = 30.0
    settle: float = 8.0
    after: float = 4.0  # s after the load, during which the configuration is read back
    load: float = 1.0  # factor on all rates
    faults: list[Fault] = []
    trace: list[tuple[float, str, str]] = []  # (s, route, tenant); replaces the rates, for a replay


def validate(day: Day) -> Day:
    """Return the day if it is valid. Raises DayError."""
    deployment = day.deployment
    services = {service.name for service in deployment.services}
    for field, names in (
        ("zones", [z.name for z in deployment.zones]),
        ("services", [s.name for s in deployment.services]),
        ("routes", [r.name for r in deployment.routes]),
        ("tenants", [t.name for t in deployment.tenants]),
    ):
        if len(set(names)) != len(names):
            raise DayError(f"deployment.{field}: a name is given twice")
    if (
        not deployment.zones
        or not deployment.routes
        or not any(zone.disks and zone.controllers for zone in deployment.zones)
    ):
        raise DayError("deployment: zones, routes and a controller with a disk are needed")
    for zone in deployment.zones:
        if not 0 <= zone.controllers <= zone.machines or not 0 < zone.machines <= 4000:
            raise DayError(f"deployment.zones {zone.name}: machines and controllers don't fit")
    for service in deployment.services:
        if service.full not in ("503", "reset", "silent") or service.slots < 1:
            raise DayError(f"deployment.services {service.name}: full or slots can't be used")
    for route in deployment.routes:
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
    """Parse a day from TOML or JSON. Raises DayError."""
    decode = msgspec.json.decode if data.lstrip().startswith(b"{") else msgspec.toml.decode
    try:
        return validate(decode(data, type=Day))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise DayError(str(error)) from None


def build(values: dict[str, Any]) -> Day:
    """Build a day from plain lists and dicts. Raises DayError."""
    try:
        return validate(msgspec.convert(values, Day))
    except msgspec.MsgspecError as error:
        raise DayError(str(error)) from None


def read(path: str | Path) -> Day:
    """Read a day from a file. Raises DayError."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise DayError(f"{path}: {error.strerror}") from None
    try:
        return parse(data)
    except DayError as error:
        raise DayError(f"{path}: {error}") from None


def with_changes(day: Day, changes: dict[str, Any]) -> Day:
    """Return a copy with values replaced by dotted path, such as `deployment.routes.lookup.rate` or `load`.

    List entries are selected by their `name`. Raises DayError.
    """
    values = msgspec.to_builtins(day)
    for path, value in changes.items():
        *steps, key = path.split(".")
        node = values
        try:
            for step in steps:
                node = next(entry for entry in node if entry["name"] == step) if isinstance(node, list) else node[step]
            if isinstance(node, list) or key not in node:
                raise KeyError(key)
        except (KeyError, StopIteration, TypeError):
            raise DayError(f"{path}: there is no such place in the day") from None
        node[key] = value
    return build(values)
