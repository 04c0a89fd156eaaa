"""The record of a scale run, as it is kept in JSON.  Times in s or ms, sizes in MB or kB, as the names say."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct, field

from crowseam.capacity import procfs
from crowseam.capacity.hollow_protocol import MessageCount

MILLISECONDS = 1000.0  # in a second


class Spread(Struct):
    """How many values there were, and their quantiles; None of none."""

    count: int = 0
    p50: float | None = None
    p99: float | None = None
    worst: float | None = None

    def __str__(self) -> str:
        return f"p50 {self.p50}, p99 {self.p99}, worst {self.worst} of {self.count}"


class ProcessUsage(Struct):
    """What a process used over a time: cores, memory at its end, descriptors at its end, bytes a second."""

    cores: float
    memory: float = field(name="rss_MB")
    files: int
    read: float = field(name="in_kB_s")
    written: float = field(name="out_kB_s")
    disk: float = field(name="disk_kB_s")


class MessageRate(Struct):
    """Messages of one type a second, and their bytes."""

    a_second: float
    kilobytes: float = field(name="kB_s")


class Lateness(Struct):
    """By how many s hollow processes were late: worst and mean of the gateways, and worst of the servers."""

    worst: float = 0.0
    mean: float = 0.0
    servers: float = 0.0


class ConfigurationRecord(Struct):
    """The first configuration."""

    bytes: int
    ack_ms: float


class MassStart(Struct):
    """All gateways start at once; `catch_up_s` and `leased_s` are of the hollow ones."""

    done: bool = False
    span_s: float = 0.0
    catch_up_s: Spread = field(default_factory=Spread)
    leased_s: Spread = field(default_factory=Spread)
    real_ready_s: list[float | None] = []
    events: dict[str, int] = {}
    controller: dict[str, ProcessUsage] = {}


class Calm(Struct):
    """What all processes use while nothing but the load happens."""

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
    """Changes of the configuration, one after another."""

    count: int
    ack_ms: Spread
    to_gateways_ms: Spread
    to_last_gateway_ms: Spread
    not_told: int
    events: dict[str, int]
    processes: dict[str, ProcessUsage]
    span_s: float


class Leaves(Struct):
    """Servers that leave in order."""

    ack_ms: Spread
    lost_calls: int


class GatewayRestarts(Struct):
    """Gateways that are killed and start anew at once."""

    count: int
    catch_up_s: Spread
    leased_s: Spread


class ControllerRestart(Struct):
    """A controller that is killed and comes back."""

    acks_while_away_ms: Spread
    gateways_elsewhere_s: float
    catch_up_s: float | None
    events: dict[str, int]


class MachineRecord(Struct):
    """The machine that the run was played on."""

    cores: int | None = None
    memory: int = field(name="memory_MB", default=0)
    load_average_before: list[float] = []
    load_average_after: list[float] = []


class RunRecord(Struct):
    """One run at one size; parts that were not reached are None."""

    gateways: int = 0
    at: int = 0  # s since the epoch
    load: dict[str, object] = {}  # as the file of the load says it, with what it leaves out
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


def quantile(values: list[float], part: float) -> float | None:
    """The value that `part` of them do not exceed; None of none."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(part * 1000) * len(ordered) // 1000) - 1))]


def spread(values: list[float], scale: float = MILLISECONDS, digits: int = 2) -> Spread:
    """How many values (in s), and p50, p99 and the worst, in ms unless `scale` says otherwise."""
    found = [quantile(values, part) for part in (0.5, 0.99, 1.0)]
    return Spread(len(values), *(None if each is None else round(each * scale, digits) for each in found))


def usage_rate(before: procfs.Usage, after: procfs.Usage, span: float) -> ProcessUsage:
    """What a process used over `span` s."""
    return ProcessUsage(
        cores=round((after.cpu - before.cpu) / span, 4),
        memory=round(after.rss / 1e6, 1),
        files=after.files,
        read=round((after.read - before.read) / span / 1000, 2),
        written=round((after.written - before.written) / span / 1000, 2),
        disk=round((after.disk - before.disk) / span / 1000, 2),
    )


def summed_counts(counts: Iterable[dict[str, MessageCount]]) -> dict[str, MessageCount]:
    """Messages and bytes by type over several processes."""
    found: dict[str, MessageCount] = {}
    for each in counts:
        for what, count in each.items():
            kept = found.setdefault(what, MessageCount())
            kept.messages += count.messages
            kept.bytes += count.bytes
    return dict(sorted(found.items()))


def message_rates(counts: dict[str, MessageCount], span: float) -> dict[str, MessageRate]:
    """The same by the second."""
    return {
        what: MessageRate(round(count.messages / span, 2), round(count.bytes / span / 1000, 3))
        for what, count in counts.items()
    }


def summed_events(events: Iterable[dict[str, int]]) -> dict[str, int]:
    """Events over several processes."""
    found: dict[str, int] = {}
    for each in events:
        for what, count in each.items():
            found[what] = found.get(what, 0) + count
    return found


def summary(record: RunRecord) -> dict[str, Any]:
    """One row of a table with the main results of a run; None where a part was not reached."""
    processes = record.calm.processes if record.calm is not None else {}

    def most(role: str, what: str) -> float | None:
        return max((getattr(each, what) for name, each in processes.items() if name.startswith(role)), default=None)

    return {
        "gateways": record.gateways,
        "controller cores": most("controller", "cores"),
        "controller MB": most("controller", "memory"),
        "gateway cores": most("gateway", "cores"),
        "gateway MB": most("gateway", "memory"),
        "kB/s a gateway": record.calm and record.calm.gateway_kilobytes,
        "mass start s": record.mass_start and record.mass_start.catch_up_s.worst,
        "ack ms p50": record.changes and record.changes.ack_ms.p50,
        "last gateway ms worst": record.changes and record.changes.to_last_gateway_ms.worst,
        "failed": len(record.failed),
    }
