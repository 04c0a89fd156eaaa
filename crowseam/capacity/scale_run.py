"""Scale runs: real controllers and gateways together with hollow gateways and servers, measured from outside.

A run has these phases: mass start of all gateways, steady state ("calm"), configuration changes, servers that leave,
gateway restarts, and a controller that is killed and restarted. It stops its processes at the end, and when it
exceeds its time or memory limit.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import msgspec
from msgspec import Struct

from crowseam.capacity import loads, procfs
from crowseam.capacity.hollow_protocol import Command, GatewaysReport, ServersReport
from crowseam.capacity.loads import Load
from crowseam.capacity.scale_processes import RunError, RunProcesses, controller_ip, gateway_ip, http_call
from crowseam.capacity.scale_record import (
    Calm,
    Changes,
    ConfigurationRecord,
    ControllerRestart,
    GatewayRestarts,
    Lateness,
    Leaves,
    MachineRecord,
    MassStart,
    ProcessUsage,
    RunRecord,
    message_rates,
    spread,
    summed_counts,
    summed_events,
    usage_rate,
)
from crowseam.cli import demo_files
from crowseam.cli.errors import CommandError

WATCH_INTERVAL_S = 0.5  # between checks of the processes
READY_TIMEOUT_S = 30.0  # for controllers to answer and real gateways to be ready
MASS_START_TIMEOUT_S = 60.0  # for all gateways to catch up
LEAVES_TIMEOUT_S = 10.0  # for controllers to acknowledge all leaves
RESTARTS_TIMEOUT_S = 20.0  # for restarted gateways to catch up
FAILOVER_TIMEOUT_S = 15.0  # for gateways to connect to another controller
CATCH_UP_TIMEOUT_S = 30.0  # for a restarted controller to catch up
LEAVE_INTERVAL_S = 0.2
CHANGE_ATTEMPTS = 10
POLL_INTERVAL_S = 0.05  # between checks of a condition
MAX_MEMORY_SHARE = 0.45  # of the machine's memory, whatever the load file allows
BYTES_PER_MB = 1e6

REPORT_COMMAND, RESET_COMMAND = Command("tell"), Command("reset")


class ControllerStatus(Struct):
    """The fields used of a controller's status."""

    servers: int = 0
    slot: int = 0
    in_touch: bool = False


class ScaleRun:
    """A run at one size."""

    def __init__(self, load: Load, gateways: int, folder: Path, write_line: Callable[[str], None]) -> None:
        self.load, self.gateways = load, gateways
        self.processes = RunProcesses(load, folder)
        self.started_at = time.monotonic()
        self._write_line = write_line
        self.peak = 0.0  # memory of all processes in bytes
        self.record = RunRecord(gateways=gateways)
        self.version = 0

    def log_progress(self, text: str) -> None:
        """Write a progress line with the elapsed time."""
        self._write_line(f"{time.monotonic() - self.started_at:6.1f} s  {text}")

    async def watch(self) -> None:
        """Check all processes periodically. Raises RunError if a limit is exceeded or a process exits."""
        max_bytes = min(self.load.memory_most * BYTES_PER_MB, MAX_MEMORY_SHARE * procfs.memory_total())
        while True:
            memory_bytes = sum(used.rss for used in self.processes.usage().values())
            self.peak = max(self.peak, memory_bytes)
            if memory_bytes > max_bytes:
                raise RunError(
                    f"memory: {memory_bytes / BYTES_PER_MB:.0f} MB exceed the limit of {max_bytes / BYTES_PER_MB:.0f}"
                )
            if time.monotonic() - self.started_at > self.load.seconds_most:
                raise RunError(f"time: exceeds the limit of {self.load.seconds_most:g} s")
            if (name := self.processes.unexpected_exit()) is not None:
                raise RunError(f"{name} exited unexpectedly; see its log")
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def wait_until(self, what: str, done: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
        """Wait until `done()` is true and return True, or record a failure after `timeout_s` and return False."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await done():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        self.record.failed.append(f"{what}: not within {timeout_s:g} s")
        self.log_progress(self.record.failed[-1])
        return False

    # HTTP calls

    async def status(self, index: int) -> ControllerStatus | None:
        """Return the status of a controller; None if it doesn't answer."""
        status, body = await asyncio.to_thread(
            http_call, controller_ip(index), demo_files.PORTS["ctl"], "GET", "/-/status", b"", 2.0
        )
        return msgspec.json.decode(body, type=ControllerStatus) if status == 200 else None

    async def is_answering(self, index: int) -> bool:
        """Return whether a controller answers."""
        return await self.status(index) is not None

    async def put_configuration(self, body: bytes, method: str = "PATCH", index: int = 0) -> float | None:
        """Send a configuration or a change, with retries. Return the time to its acknowledgement; None on failure."""
        started_at = time.monotonic()
        for attempt in range(CHANGE_ATTEMPTS):
            ip = controller_ip((index + attempt) % self.load.controllers)
            status, response = await asyncio.to_thread(
                http_call, ip, demo_files.PORTS["ctl"], method, "/-/config", body
            )
            if status == 200:
                self.version += 1
                return time.monotonic() - started_at
            await asyncio.sleep(0.1)
        self.record.failed.append(f"{method} of version {self.version + 1}: {status} {response[:100]!r}")
        return None

    async def send_change(self, index: int) -> float | None:
        """Send the next change of the load, first to controller `index`."""
        return await self.put_configuration(
            msgspec.json.encode(loads.change_patch(self.load, self.version)), index=index
        )

    # Phases

    async def run_phases(self) -> None:
        """Run all phases. Raises RunError."""
        load = self.load
        for index in range(load.controllers):
            await self.processes.start("controller", index)
        for index in range(load.controllers):
            await self.wait_until(f"controller {index}", lambda index=index: self.is_answering(index), READY_TIMEOUT_S)
        body = await asyncio.to_thread(loads.configuration, load)
        self.log_progress(
            f"{load.controllers} controllers answer; sending a configuration of {len(body) / BYTES_PER_MB:.2f} MB"
        )
        ack_s = await self.put_configuration(body, "PUT")
        if ack_s is None:
            raise RunError("the configuration was not accepted")
        self.record.configuration = ConfigurationRecord(len(body), round(ack_s * 1000, 1))
        await self._run_mass_start()
        await asyncio.sleep(load.settle)
        await self._run_calm()
        await self._run_changes()
        if load.leaves:
            await self._run_leaves()
        if load.restarts:
            await self._restart_gateways()
        if load.controllers > 1:
            await self._restart_controller()
        self.record.peak = round(self.peak / BYTES_PER_MB, 1)

    async def _run_mass_start(self) -> None:
        load, processes = self.load, self.processes
        await processes.start_hollow("servers")
        await self.wait_until("servers known", self._servers_known, MASS_START_TIMEOUT_S)
        self.log_progress(
            f"{load.servers} servers registered; starting {self.gateways} gateways within {load.ramp:g} s"
        )
        before, started_at = processes.usage(), time.monotonic()
        await self._start_gateways()
        done = await self.wait_until(
            "all hollow gateways up to date", self._all_caught_up, load.ramp + MASS_START_TIMEOUT_S
        )
        span_s, reports = time.monotonic() - started_at, await processes.command_gateways(REPORT_COMMAND)
        after = processes.usage()
        names = [child.name for child in processes.running_with_role("controller")]
        ready = [await self._wait_ready(index) for index in range(min(load.real_gateways, self.gateways))]
        self.record.mass_start = MassStart(
            done=done,
            span_s=round(span_s, 2),
            catch_up_s=spread(_flatten(report.caught_up for report in reports), 1.0, 3),
            leased_s=spread(_flatten(report.leased for report in reports), 1.0, 3),
            real_ready_s=ready,
            events=_total_events(reports),
            controller={name: usage_rate(before[name], after[name], span_s) for name in names},
        )
        self.log_progress(
            f"mass start: worst catch-up {self.record.mass_start.catch_up_s.worst} s; real gateways {ready} s"
        )
        await processes.command_servers(RESET_COMMAND)

    async def _start_gateways(self) -> None:
        first = 0
        for number, count in enumerate(loads.split_gateways(self.load, self.gateways)):
            await self.processes.start_hollow(f"hollow-{number}", first, count)
            first += count
        for index in range(min(self.load.real_gateways, self.gateways)):
            await self.processes.start("gateway", index)

    async def _servers_known(self) -> bool:
        statuses = [await self.status(index) for index in range(self.load.controllers)]
        return all(status is not None and status.servers >= self.load.servers for status in statuses)

    async def _all_caught_up(self) -> bool:
        return all(report.whole == report.gateways for report in await self.processes.command_gateways(REPORT_COMMAND))

    async def _all_connected(self) -> bool:
        return all(report.open == report.gateways for report in await self.processes.command_gateways(REPORT_COMMAND))

    async def _wait_ready(self, index: int) -> float | None:
        """Return the time until a real gateway is ready in s; record a failure after READY_TIMEOUT_S."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < READY_TIMEOUT_S:
            status, _ = await asyncio.to_thread(
                http_call, gateway_ip(index), demo_files.PORTS["readyz"], "GET", "/-/readyz", b"", 1.0
            )
            if status == 200:
                return round(time.monotonic() - started_at, 2)
            await asyncio.sleep(0.1)
        self.record.failed.append(f"gateway-{index} was not ready within {READY_TIMEOUT_S:g} s")
        return None

    async def _run_calm(self) -> None:
        """Measure the usage of all processes in the steady state."""
        processes = self.processes
        await processes.command_gateways(RESET_COMMAND)
        await processes.command_servers(RESET_COMMAND)
        before, started_at = processes.usage(), time.monotonic()
        await asyncio.sleep(self.load.calm)
        after, span_s = processes.usage(), time.monotonic() - started_at
        gateways, servers = (
            await processes.command_gateways(REPORT_COMMAND),
            await processes.command_servers(REPORT_COMMAND),
        )
        calm = self.record.calm = calm_record(gateways, servers, span_s)
        calm.processes = _usage_rates(before, after, span_s)
        cores = [each.cores for name, each in calm.processes.items() if name.startswith("controller")]
        self.log_progress(
            f"calm: controllers {cores} cores, {calm.tenants_named} tenants per gateway report, "
            f"{calm.gateway_kilobytes} kB/s per gateway, {calm.draws_wanted_s} draws/s wanted, "
            f"mean delay of hollow gateways {calm.hollow_late_s.mean} s, {calm.events}"
        )

    async def _run_changes(self) -> None:
        """Send changes in turn, and measure the time to acknowledgement and from there to each gateway."""
        processes = self.processes
        acks: list[float] = []
        acknowledged: list[tuple[int, float]] = []  # slot, time
        await processes.command_gateways(RESET_COMMAND)
        before, started_at = processes.usage(), time.monotonic()
        for _ in range(self.load.changes):
            ack_s = await self.send_change(self.version)
            if ack_s is None:
                break
            acknowledged_at = time.monotonic()
            acks.append(ack_s)
            statuses = [await self.status(index) for index in range(self.load.controllers)]
            acknowledged.append(
                (max((status.slot for status in statuses if status is not None), default=0), acknowledged_at)
            )
            await asyncio.sleep(self.load.change_pause)
        after, span_s = processes.usage(), time.monotonic() - started_at
        reports = await processes.command_gateways(REPORT_COMMAND)
        delays = [
            [received_at - acknowledged_at for report in reports for received_at in report.slots.get(slot, [])]
            for slot, acknowledged_at in acknowledged
        ]
        gateways = sum(report.gateways for report in reports)
        changes = self.record.changes = Changes(
            count=len(acks),
            ack_ms=spread(acks),
            to_gateways_ms=spread(_flatten(delays)),
            to_last_gateway_ms=spread([max(each, default=0.0) for each in delays]),
            not_told=sum(gateways - len(each) for each in delays),
            events=_total_events(reports),
            processes=_usage_rates(before, after, span_s),
            span_s=round(span_s, 2),
        )
        self.log_progress(
            f"changes: acknowledged within {changes.ack_ms} ms, "
            f"at the last gateway {changes.to_last_gateway_ms} ms later, {changes.not_told} not received"
        )

    async def _run_leaves(self) -> None:
        processes = self.processes
        await processes.command_servers(RESET_COMMAND)
        for _ in range(self.load.leaves):
            await processes.command_servers(Command("leave", 1))
            await asyncio.sleep(LEAVE_INTERVAL_S)

        async def all_left() -> bool:
            return len((await processes.command_servers(REPORT_COMMAND)).leave_acks) >= self.load.leaves

        await self.wait_until("leaves acknowledged", all_left, LEAVES_TIMEOUT_S)
        report = await processes.command_servers(REPORT_COMMAND)
        self.record.leaves = Leaves(spread(report.leave_acks), report.lost_calls)
        self.log_progress(f"leaves: acknowledged within {self.record.leaves.ack_ms} ms")

    async def _restart_gateways(self) -> None:
        """Restart some hollow gateways together."""
        await self.processes.command_gateways(RESET_COMMAND)
        process = self.processes.child_named("hollow-0")
        report = await process.send_command(Command("restart", self.load.restarts), GatewaysReport)
        count = min(self.load.restarts, report.gateways)

        async def all_recovered() -> bool:
            now = await process.send_command(REPORT_COMMAND, GatewaysReport)
            return min(len(now.leased), len(now.caught_up)) >= count

        await self.wait_until("restarted gateways back, with leases", all_recovered, RESTARTS_TIMEOUT_S)
        report = await process.send_command(REPORT_COMMAND, GatewaysReport)
        restarts = self.record.gateway_restarts = GatewayRestarts(
            count=count, catch_up_s=spread(report.caught_up, 1.0, 3), leased_s=spread(report.leased, 1.0, 3)
        )
        self.log_progress(f"{count} gateways restarted: caught up within {restarts.catch_up_s} s")

    async def _restart_controller(self) -> None:
        """Kill the last controller, send changes, restart it and wait until it has caught up."""
        last = self.load.controllers - 1
        await self.processes.command_gateways(RESET_COMMAND)
        await self.processes.kill(f"controller-{last}")
        killed_at = time.monotonic()
        acks = await self._send_changes_for(self.load.away)
        await self.wait_until("all gateways with another controller", self._all_connected, FAILOVER_TIMEOUT_S)
        failover_s = time.monotonic() - killed_at
        started_at = time.monotonic()
        await self.processes.start("controller", last)

        async def caught_up() -> bool:
            restarted, reference = await self.status(last), await self.status(0)
            return (
                restarted is not None
                and reference is not None
                and restarted.in_touch
                and restarted.slot == reference.slot
            )

        done = await self.wait_until("the killed controller up to date", caught_up, CATCH_UP_TIMEOUT_S)
        span_s = time.monotonic() - started_at
        self.record.controller_restart = ControllerRestart(
            acks_while_away_ms=spread(acks),
            gateways_elsewhere_s=round(failover_s, 2),
            catch_up_s=round(span_s, 2) if done else None,
            events=_total_events(await self.processes.command_gateways(REPORT_COMMAND)),
        )
        restart = self.record.controller_restart
        self.log_progress(
            f"controller killed: gateways reconnected after {restart.gateways_elsewhere_s} s, "
            f"caught up again after {restart.catch_up_s} s"
        )

    async def _send_changes_for(self, span_s: float) -> list[float]:
        """Send changes for `span_s` and return their times to acknowledgement in s."""
        deadline, acks = time.monotonic() + span_s, []
        while time.monotonic() < deadline and (ack_s := await self.send_change(0)) is not None:
            acks.append(ack_s)
            await asyncio.sleep(self.load.change_pause)
        return acks


def calm_record(gateways: list[GatewaysReport], servers: ServersReport, span_s: float) -> Calm:
    """Build the record of a steady state of `span_s` from the reports of hollow gateways and servers."""
    count = sum(report.gateways for report in gateways)
    traffic = summed_counts(report.traffic for report in gateways)
    requests = sum(report.passed + report.wanted + report.refused for report in gateways)
    kilobytes = sum(each.bytes for each in traffic.values()) / 1000
    reports = sum(report.reports for report in gateways)
    return Calm(
        span_s=round(span_s, 2),
        gateway_kilobytes=round(kilobytes / span_s / max(1, count), 3),
        traffic=message_rates(traffic, span_s),
        servers=message_rates(servers.traffic, span_s),
        statuses=servers.statuses,
        lost_calls=servers.lost_calls,
        tenants_named=round(sum(report.named for report in gateways) / max(1, reports), 1),
        reports_s=round(reports / span_s, 1),
        requests_s=round(requests / span_s, 1),
        draws_wanted_s=round(sum(report.wanted for report in gateways) / span_s, 1),
        passed_s=round(sum(report.passed for report in gateways) / span_s, 1),
        draw_wait_ms=spread(_flatten(report.draw_waits for report in gateways)),
        events=_total_events(gateways),
        open=sum(report.open for report in gateways),
        hollow_late_s=Lateness(
            worst=round(max(report.late_most for report in gateways), 3),
            mean=round(max(report.late_mean for report in gateways), 4),
            servers=round(servers.late_most, 3),
        ),
    )


def _flatten(lists: Iterable[list[float]]) -> list[float]:
    return [value for each in lists for value in each]


def _total_events(reports: list[GatewaysReport]) -> dict[str, int]:
    return summed_events(report.events for report in reports)


def _usage_rates(
    before: dict[str, procfs.Usage], after: dict[str, procfs.Usage], span_s: float
) -> dict[str, ProcessUsage]:
    return {name: usage_rate(before[name], after[name], span_s) for name in after if name in before}


def _load_average() -> list[float]:
    return [round(each, 1) for each in os.getloadavg()]


def _disk_megabytes(load: Load, folder: Path) -> dict[str, float]:
    megabytes = {}
    for name in (f"controller-{index}" for index in range(load.controllers)):
        files = (file for file in folder.glob(f"data-{name}/**/*") if file.is_file())
        megabytes[name] = round(sum(file.stat().st_size for file in files) / BYTES_PER_MB, 1)
    return megabytes


async def run_size(load: Load, gateways: int, folder: Path, write_line: Callable[[str], None]) -> RunRecord:
    """Run one size and return its record, with errors in `failed`."""
    run = ScaleRun(load, gateways, folder, write_line)
    before = _load_average()
    tasks = {asyncio.create_task(run.watch()), asyncio.create_task(run.run_phases())}
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for error in filter(None, (task.exception() for task in done)):
            if not isinstance(error, CommandError):
                raise error
            run.record.failed.append(str(error))
            write_line(f"aborted: {error}")
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await run.processes.stop()
    record = run.record
    record.at = round(time.time())
    record.load = msgspec.to_builtins(load)
    record.machine = MachineRecord(
        cores=os.cpu_count(),
        memory=round(procfs.memory_total() / BYTES_PER_MB),
        load_average_before=before,
        load_average_after=_load_average(),
    )
    record.seconds = round(time.monotonic() - run.started_at, 1)
    record.disk = _disk_megabytes(load, folder)
    return record
