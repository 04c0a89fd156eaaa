"""The JSON record of a scale run. Field names tell the units: s or ms, MB or kB."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct, field

from crowseam.capacity import procfs
from crowseam.capacity.hollow_protocol import MessageCount

MS_PER_S = 1000.0


class Spread(Struct):
    """The number of values and their quantiles; None without values."""

    count: int = 0
    p50: float | None = None
    p99: float | None = None
    worst: float | None = None

    def __str__(self) -> str:
        return f"p50 {self.p50}, p99 {self.p99}, worst {self.worst} of {self.count}"


class ProcessUsage(Struct):
    """Usage of a process over a period: mean cores and bytes per second, and memory and descriptors at the end."""

    cores: float
    memory: float = field(name="rss_MB")
    files: int
    read: float = field(name="in_kB_s")
    written: float = field(name="out_kB_s")
    disk: float = field(name="disk_kB_s")


class MessageRate(Struct):
    """Rate of one type of message, in messages and kB per second."""

    a_second: float
    kilobytes: float = field(name="kB_s")


class Lateness(Struct):
    """Delay in s of hollow processes: worst and mean of the gateways' checks, and worst of the servers' heartbeats."""

    worst: float = 0.0
    mean: float = 0.0
    servers: float = 0.0


class ConfigurationRecord(Struct):
    """Size and acknowledgement time of the first configuration."""

    bytes: int
    ack_ms: float


class MassStart(Struct):
    """All gateways start together. `catch_up_s` and `leased_s` are those of hollow gateways."""

    done: bool = False
    span_s: float = 0.0
    catch_up_s: Spread = field(default_factory=Spread)
    leased_s: Spread = field(default_factory=Spread)
    real_ready_s: list[float | None] = []
    events: dict[str, int] = {}
    controller: dict[str, ProcessUsage] = {}


class Calm(Struct):
    """Usage in the steady state, with requests but no changes or failures."""

    span_s: float = 0.0
    processes: dict[str, ProcessUsage] = {}
    gateway_kilobytes: float | None = field(name="gateway_kB_s", default=None)
    traffic: dict[str, MessageRate] = {}
    servers: dict[str, MessageRate] = {}
    statuses: dict[str, int] = {}
    lost_calls: int = 0
    tenants_named: float = 0.0
    reports_s: float = 0.0
    requests_s: float = 0.0
    draws_wanted_s: float = 0.0
    passed_s: float = 0.0
    draw_wait_ms: Spread = field(default_factory=Spread)
    events: dict[str, int] = {}
    open: int = 0
    hollow_late_s: Lateness = field(default_factory=Lateness)


class Changes(Struct):
    """Successive changes of the configuration."""

    count: int
    ack_ms: Spread
    to_gateways_ms: Spread
    to_last_gateway_ms: Spread
    not_told: int
    events: dict[str, int]
    processes: dict[str, ProcessUsage]
    span_s: float


class Leaves(Struct):
    """Servers that leave gracefully."""

    ack_ms: Spread
    lost_calls: int


class GatewayRestarts(Struct):
    """Gateways that are killed and restarted together."""

    count: int
    catch_up_s: Spread
    leased_s: Spread


class ControllerRestart(Struct):
    """A controller that is killed and restarted."""

    acks_while_away_ms: Spread
    gateways_elsewhere_s: float
    catch_up_s: float | None
    events: dict[str, int]


class MachineRecord(Struct):
    """The machine of the run."""

    cores: int | None = None
    memory: int = field(name="memory_MB", default=0)
    load_average_before: list[float] = []
    load_average_after: list[float] = []


class RunRecord(Struct):
    """One run at one size; phases that were not reached are None."""

    gateways: int = 0
    at: int = 0  # Unix time in s
    load: dict[str, object] = {}  # the load file's fields, including defaults
    machine: MachineRecord = field(default_factory=MachineRecord)
    seconds: float = 0.0
    failed: list[str] = field(default_factory=list)
    disk: dict[str, float] = field(name="disk_MB", default_factory=dict)
    configuration: ConfigurationRecord | None = None
    mass_start: MassStart | None = None
    calm: Calm | None = None
    changes: Changes | None = None
    leaves: Leaves | None = None
    gateway_restarts: GatewayRestarts | None = None
    controller_restart: ControllerRestart | None = None
    peak: float | None = field(name="peak_MB", default=None)


def quantile(values: list[float], fraction: float) -> float | None:
    """Return the `fraction` quantile of the values; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(fraction * 1000) * len(ordered) // 1000) - 1))]


def spread(values: list[float], scale: float = MS_PER_S, digits: int = 2) -> Spread:
    """Return the count and quantiles of values in s, converted to ms by default."""
    quantiles = [quantile(values, fraction) for fraction in (0.5, 0.99, 1.0)]
    return Spread(len(values), *(None if each is None else round(each * scale, digits) for each in quantiles))


def usage_rate(before: procfs.Usage, after: procfs.Usage, span_s: float) -> ProcessUsage:
    """Return the usage of a process over `span_s`."""
    return ProcessUsage(
        cores=round((after.cpu - before.cpu) / span_s, 4),
        memory=round(after.rss / 1e6, 1),
        files=after.files,
        read=round((after.read - before.read) / span_s / 1000, 2),
        written=round((after.written - before.written) / span_s / 1000, 2),
        disk=round((after.disk - before.disk) / span_s / 1000, 2),
    )


def summed_counts(counts: Iterable[dict[str, MessageCount]]) -> dict[str, MessageCount]:
    """Sum messages and bytes by type over processes."""
    totals: dict[str, MessageCount] = {}
    for each in counts:
        for key, count in each.items():
            total = totals.setdefault(key, MessageCount())
            total.messages += count.messages
            total.bytes += count.bytes
    return dict(sorted(totals.items()))


def message_rates(counts: dict[str, MessageCount], span_s: float) -> dict[str, MessageRate]:
    """Return the counts as rates."""
    return {
        key: MessageRate(round(count.messages / span_s, 2), round(count.bytes / span_s / 1000, 3))
        for key, count in counts.items()
    }


def summed_events(events: Iterable[dict[str, int]]) -> dict[str, int]:
    """Sum events over processes."""
    totals: dict[str, int] = {}
    for each in events:
        for key, count in each.items():
            totals[key] = totals.get(key, 0) + count
    return totals


def summary(record: RunRecord) -> dict[str, Any]:
    """Return a table row with a run's main results; None for phases that were not reached."""
    processes = record.calm.processes if record.calm is not None else {}

    def max_usage(role: str, key: str) -> float | None:
        return max((getattr(each, key) for name, each in processes.items() if name.startswith(role)), default=None)

    return {
        "gateways": record.gateways,
        "controller cores": max_usage("controller", "cores"),
        "controller MB": max_usage("controller", "memory"),
        "gateway cores": max_usage("gateway", "cores"),
        "gateway MB": max_usage("gateway", "memory"),
        "kB/s a gateway": record.calm and record.calm.gateway_kilobytes,
        "mass start s": record.mass_start and record.mass_start.catch_up_s.worst,
        "ack ms p50": record.changes and record.changes.ack_ms.p50,
        "last gateway ms worst": record.changes and record.changes.to_last_gateway_ms.worst,
        "failed": len(record.failed),
    }
