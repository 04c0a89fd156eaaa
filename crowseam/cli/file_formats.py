"""Structs of the settings file and the deploy file."""

from msgspec import Struct


class Machine(Struct):
    """What one process may use: parts of a core, megabytes, descriptors, megabits a second."""

    cpu: float
    ncpu: float
    mem_mb: float
    nofile: int
    net_mbps: float
    disk_mb: float = 0.0


class Survive(Struct):
    """What may be lost at once: counts of voting machines, zones and regions."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(Struct):
    """The figures of the rules in force; times are text, the others plain numbers."""

    seed_lag: str
    addr_reuse: str
    contact: str
    ack: str
    sync_time: str
    drain: str
    grace: str
    loss: str
    apply: str
    revert: str
    skew: str
    strict_revoke: bool
    revoke: str
    retry_ratio: float
    retry_window: str
    retry_slack: float
    quota_window: str
    quota_excess: float
    quota_slack: float
    recover: str


class SettingsFile(Struct):
    """The settings file of a process, as the platform writes it. Unknown fields are passed over."""

    hostname: str
    role: str
    mclass: str
    serves: list[str]
    ip: str
    az: str
    region: str
    zones: dict[str, str]
    bind: dict[str, str]
    port_range: tuple[int, int]
    seeds: list[str]
    bootstrap: bool
    voting: bool
    limits: Machine
    hb: str
    bounds: Bounds
    survive: Survive
    invariants: list[str] = []
    datadir: str | None = None
    disco: str = "self_reg"
    entry: str = "vip"


class Role(Struct, forbid_unknown_fields=True):
    """One role of the deploy file."""

    run: str
    on: str
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: list[str] = []


class DeployFile(Struct, forbid_unknown_fields=True):
    """The deploy file; `packages` are the Debian packages that building and running need."""

    packages: list[str]
    build: str
    roles: dict[str, Role]
