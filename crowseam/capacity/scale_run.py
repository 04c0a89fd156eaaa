"""The scale run: real controllers and real gateways beside hollow gateways and servers, measured from outside.

A run goes through its parts in order: a mass start, a calm time, changes, servers that leave, gateways that start
anew, a controller that is killed and comes back.  It ends all that it has started, by id, at its end, at its time
limit and at its memory limit.
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
from crowseam.capacity.hollow_protocol import GatewaysReport, Order, ServersReport
from crowseam.capacity.loads import Load
from crowseam.capacity.scale_processes import Processes, RunError, call, controller_ip, gateway_ip
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

WATCH = 0.5  # s between two looks at the processes
READY = 30.0  # s that controllers have to answer, and real gateways to be ready
MASS = 60.0  # s that all gateways have to be up to date
LEAVES_TIMEOUT = 10.0  # s that controllers have to acknowledge all leaves
RESTARTS_TIMEOUT = 20.0  # s that restarted gateways have to be back
ELSEWHERE_TIMEOUT = 15.0  # s that gateways have to find another controller
CATCH_UP_TIMEOUT = 30.0  # s that a restarted controller has to be up to date
LEAVE_PAUSE = 0.2  # s between two leaves
CHANGE_ATTEMPTS = 10
POLL = 0.05  # s between two looks at what is waited for
MEMORY_PART = 0.45  # of the machine's memory: what a run may take at the most, whatever its file says
MEGABYTE = 1e6

TELL, RESET = Order("tell"), Order("reset")


class ControllerStatus(Struct):
    """What a run reads of a controller's status."""

    servers: int = 0
    slot: int = 0
    in_touch: bool = False


class Run:
    """One run at one size."""

    def __init__(self, load: Load, gateways: int, folder: Path, say: Callable[[str], None]) -> None:
        self.load, self.gateways = load, gateways
        self.processes = Processes(load, folder)
        self.begun = time.monotonic()
        self._say = say
        self.peak = 0.0  # bytes of all processes together
        self.record = RunRecord(gateways=gateways)
        self.version = 0

    def say(self, text: str) -> None:
        """A line of progress."""
        self._say(f"{time.monotonic() - self.begun:6.1f} s  {text}")

    async def watch(self) -> None:
        """Look at all processes from time to time. Raises RunError at a limit."""
        most = min(self.load.memory_most * MEGABYTE, MEMORY_PART * procfs.memory_total())
        while True:
            taken = sum(used.rss for used in self.processes.usage().values())
            self.peak = max(self.peak, taken)
            if taken > most:
                raise RunError(f"memory: {taken / MEGABYTE:.0f} MB are more than {most / MEGABYTE:.0f}")
            if time.monotonic() - self.begun > self.load.seconds_most:
                raise RunError(f"time: more than {self.load.seconds_most:g} s")
            if (name := self.processes.ended()) is not None:
                raise RunError(f"{name} has ended by itself; its log says why")
            await asyncio.sleep(WATCH)

    async def until(self, what: str, done: Callable[[], Awaitable[bool]], within: float) -> bool:
        """Wait until `done()` comes true, `within` s at the most; whether it did."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if await done():
                return True
            await asyncio.sleep(POLL)
        self.record.failed.append(f"{what}: not within {within:g} s")
        self.say(self.record.failed[-1])
        return False

    # Calls

    async def status(self, place: int) -> ControllerStatus | None:
        """The status of a controller; None if it doesn't answer."""
        status, body = await asyncio.to_thread(
            call, controller_ip(place), demo_files.PORTS["ctl"], "GET", "/-/status", b"", 2.0
        )
        return msgspec.json.decode(body, type=ControllerStatus) if status == 200 else None

    async def answers(self, place: int) -> bool:
        """Whether a controller answers."""
        return await self.status(place) is not None

    async def put(self, body: bytes, method: str = "PATCH", place: int = 0) -> float | None:
        """Send a configuration or a change until it is taken: s until the acknowledgement."""
        begun = time.monotonic()
        for attempt in range(CHANGE_ATTEMPTS):
            ip = controller_ip((place + attempt) % self.load.controllers)
            status, answer = await asyncio.to_thread(call, ip, demo_files.PORTS["ctl"], method, "/-/config", body)
            if status == 200:
                self.version += 1
                return time.monotonic() - begun
            await asyncio.sleep(0.1)
        self.record.failed.append(f"{method} of version {self.version + 1}: {status} {answer[:100]!r}")
        return None

    async def change(self, place: int) -> float | None:
        """Send the next change of the load."""
        return await self.put(msgspec.json.encode(loads.change(self.load, self.version)), place=place)

    # Parts

    async def play(self) -> None:
        """Go through all parts. Raises RunError."""
        load = self.load
        for place in range(load.controllers):
            await self.processes.start("controller", place)
        for place in range(load.controllers):
            await self.until(f"controller {place}", lambda place=place: self.answers(place), READY)
        body = await asyncio.to_thread(loads.configuration, load)
        self.say(f"{load.controllers} controllers answer; a configuration of {len(body) / MEGABYTE:.2f} MB is put")
        taken = await self.put(body, "PUT")
        if taken is None:
            raise RunError("the configuration was not taken")
        self.record.configuration = ConfigurationRecord(len(body), round(taken * 1000, 1))
        await self._mass_start()
        await asyncio.sleep(load.settle)
        await self._calm()
        await self._changes()
        if load.leaves:
            await self._leaves()
        if load.restarts:
            await self._restart_gateways()
        if load.controllers > 1:
            await self._restart_controller()
        self.record.peak = round(self.peak / MEGABYTE, 1)

    async def _mass_start(self) -> None:
        load, processes = self.load, self.processes
        await processes.start_hollow("servers")
        await self.until("servers known", self._servers_known, MASS)
        self.say(f"{load.servers} servers are known; {self.gateways} gateways start within {load.ramp:g} s")
        before, begun = processes.usage(), time.monotonic()
        await self._start_gateways()
        done = await self.until("all hollow gateways up to date", self._all_whole, load.ramp + MASS)
        span, reports = time.monotonic() - begun, await processes.gateways(TELL)
        after = processes.usage()
        names = [child.name for child in processes.of_role("controller")]
        ready = [await self._ready(place) for place in range(min(load.real_gateways, self.gateways))]
        self.record.mass_start = MassStart(
            done=done,
            span_s=round(span, 2),
            catch_up_s=spread(_all(report.caught_up for report in reports), 1.0, 3),
            leased_s=spread(_all(report.leased for report in reports), 1.0, 3),
            real_ready_s=ready,
            events=_events(reports),
            controller={name: usage_rate(before[name], after[name], span) for name in names},
        )
        self.say(f"mass start: worst {self.record.mass_start.catch_up_s.worst} s; real {ready}")
        await processes.servers(RESET)

    async def _start_gateways(self) -> None:
        first = 0
        for number, count in enumerate(loads.processes(self.load, self.gateways)):
            await self.processes.start_hollow(f"hollow-{number}", first, count)
            first += count
        for place in range(min(self.load.real_gateways, self.gateways)):
            await self.processes.start("gateway", place)

    async def _servers_known(self) -> bool:
        statuses = [await self.status(place) for place in range(self.load.controllers)]
        return all(status is not None and status.servers >= self.load.servers for status in statuses)

    async def _all_whole(self) -> bool:
        return all(report.whole == report.gateways for report in await self.processes.gateways(TELL))

    async def _all_open(self) -> bool:
        return all(report.open == report.gateways for report in await self.processes.gateways(TELL))

    async def _ready(self, place: int) -> float | None:
        """Seconds until a real gateway is ready, from now at the most READY."""
        begun = time.monotonic()
        while time.monotonic() - begun < READY:
            status, _ = await asyncio.to_thread(
                call, gateway_ip(place), demo_files.PORTS["readyz"], "GET", "/-/readyz", b"", 1.0
            )
            if status == 200:
                return round(time.monotonic() - begun, 2)
            await asyncio.sleep(0.1)
        self.record.failed.append(f"gateway-{place} was not ready within {READY:g} s")
        return None

    async def _calm(self) -> None:
        """What all processes use over a time in which nothing but the load happens."""
        processes = self.processes
        await processes.gateways(RESET)
        await processes.servers(RESET)
        before, begun = processes.usage(), time.monotonic()
        await asyncio.sleep(self.load.calm)
        after, span = processes.usage(), time.monotonic() - begun
        gateways, servers = await processes.gateways(TELL), await processes.servers(TELL)
        calm = self.record.calm = calm_record(gateways, servers, span)
        calm.processes = _usage_rates(before, after, span)
        cores = [each.cores for name, each in calm.processes.items() if name.startswith("controller")]
        self.say(
            f"calm: controllers {cores} cores, {calm.tenants_named} tenants named by a gateway, "
            f"{calm.gateway_kilobytes} kB/s a gateway, {calm.draws_wanted_s} draws/s wanted, "
            f"late {calm.hollow_late_s.mean} s, {calm.events}"
        )

    async def _changes(self) -> None:
        """Changes one after another: how long each takes to be acknowledged, and then to be everywhere."""
        processes = self.processes
        acks: list[float] = []
        acknowledged: list[tuple[int, float]] = []  # slot, when
        await processes.gateways(RESET)
        before, begun = processes.usage(), time.monotonic()
        for _ in range(self.load.changes):
            taken = await self.change(self.version)
            if taken is None:
                break
            at = time.monotonic()
            acks.append(taken)
            statuses = [await self.status(place) for place in range(self.load.controllers)]
            acknowledged.append((max((status.slot for status in statuses if status is not None), default=0), at))
            await asyncio.sleep(self.load.change_pause)
        after, span = processes.usage(), time.monotonic() - begun
        reports = await processes.gateways(TELL)
        delays = [
            [told_at - at for report in reports for told_at in report.slots.get(slot, [])] for slot, at in acknowledged
        ]
        gateways = sum(report.gateways for report in reports)
        changes = self.record.changes = Changes(
            count=len(acks),
            ack_ms=spread(acks),
            to_gateways_ms=spread(_all(delays)),
            to_last_gateway_ms=spread([max(each, default=0.0) for each in delays]),
            not_told=sum(gateways - len(each) for each in delays),
            events=_events(reports),
            processes=_usage_rates(before, after, span),
            span_s=round(span, 2),
        )
        self.say(
            f"changes: acknowledged after {changes.ack_ms} ms, "
            f"at the last gateway {changes.to_last_gateway_ms} ms after, {changes.not_told} not told"
        )

    async def _leaves(self) -> None:
        processes = self.processes
        await processes.servers(RESET)
        for _ in range(self.load.leaves):
            await processes.servers(Order("leave", 1))
            await asyncio.sleep(LEAVE_PAUSE)

        async def all_left() -> bool:
            return len((await processes.servers(TELL)).leave_acks) >= self.load.leaves

        await self.until("leaves acknowledged", all_left, LEAVES_TIMEOUT)
        report = await processes.servers(TELL)
        self.record.leaves = Leaves(spread(report.leave_acks), report.lost_calls)
        self.say(f"leaves: acknowledged {self.record.leaves.ack_ms} ms")

    async def _restart_gateways(self) -> None:
        """Some hollow gateways are killed and started again, all at once."""
        await self.processes.gateways(RESET)
        crowd = self.processes.named("hollow-0")
        report = await crowd.order(Order("restart", self.load.restarts), GatewaysReport)
        count = min(self.load.restarts, report.gateways)

        async def back() -> bool:
            now = await crowd.order(TELL, GatewaysReport)
            return min(len(now.leased), len(now.caught_up)) >= count

        await self.until("restarted gateways back, with leases", back, RESTARTS_TIMEOUT)
        report = await crowd.order(TELL, GatewaysReport)
        restarts = self.record.gateway_restarts = GatewayRestarts(
            count=count, catch_up_s=spread(report.caught_up, 1.0, 3), leased_s=spread(report.leased, 1.0, 3)
        )
        self.say(f"{count} gateways started anew: configuration and servers after {restarts.catch_up_s} s")

    async def _restart_controller(self) -> None:
        """The last controller is killed, changes go on, it comes back and catches up."""
        last = self.load.controllers - 1
        await self.processes.gateways(RESET)
        await self.processes.kill(f"controller-{last}")
        killed_at = time.monotonic()
        acks = await self._changes_for(self.load.away)
        await self.until("all gateways with another controller", self._all_open, ELSEWHERE_TIMEOUT)
        moved = time.monotonic() - killed_at
        begun = time.monotonic()
        await self.processes.start("controller", last)

        async def caught_up() -> bool:
            mine, other = await self.status(last), await self.status(0)
            return mine is not None and other is not None and mine.in_touch and mine.slot == other.slot

        done = await self.until("the killed controller up to date", caught_up, CATCH_UP_TIMEOUT)
        span = time.monotonic() - begun
        self.record.controller_restart = ControllerRestart(
            acks_while_away_ms=spread(acks),
            gateways_elsewhere_s=round(moved, 2),
            catch_up_s=round(span, 2) if done else None,
            events=_events(await self.processes.gateways(TELL)),
        )
        restart = self.record.controller_restart
        self.say(
            f"controller killed: gateways elsewhere after {restart.gateways_elsewhere_s} s, "
            f"up to date again after {restart.catch_up_s} s"
        )

    async def _changes_for(self, span: float) -> list[float]:
        """Send changes for `span` s: s until each was acknowledged."""
        end, acks = time.monotonic() + span, []
        while time.monotonic() < end and (taken := await self.change(0)) is not None:
            acks.append(taken)
            await asyncio.sleep(self.load.change_pause)
        return acks


def calm_record(gateways: list[GatewaysReport], servers: ServersReport, span: float) -> Calm:
    """What hollow gateways and servers have counted in a calm time of `span` s."""
    count = sum(report.gateways for report in gateways)
    traffic = summed_counts(report.traffic for report in gateways)
    requests = sum(report.passed + report.wanted + report.refused for report in gateways)
    kilobytes = sum(each.bytes for each in traffic.values()) / 1000
    reports = sum(report.reports for report in gateways)
    return Calm(
        span_s=round(span, 2),
        gateway_kilobytes=round(kilobytes / span / max(1, count), 3),
        traffic=message_rates(traffic, span),
        servers=message_rates(servers.traffic, span),
        statuses=servers.statuses,
        lost_calls=servers.lost_calls,
        tenants_named=round(sum(report.named for report in gateways) / max(1, reports), 1),
        reports_s=round(reports / span, 1),
        requests_s=round(requests / span, 1),
        draws_wanted_s=round(sum(report.wanted for report in gateways) / span, 1),
        passed_s=round(sum(report.passed for report in gateways) / span, 1),
        draw_wait_ms=spread(_all(report.draw_waits for report in gateways)),
        events=_events(gateways),
        open=sum(report.open for report in gateways),
        hollow_late_s=Lateness(
            worst=round(max(report.late_most for report in gateways), 3),
            mean=round(max(report.late_mean for report in gateways), 4),
            servers=round(servers.late_most, 3),
        ),
    )


def _all(lists: Iterable[list[float]]) -> list[float]:
    return [value for each in lists for value in each]


def _events(reports: list[GatewaysReport]) -> dict[str, int]:
    return summed_events(report.events for report in reports)


def _usage_rates(
    before: dict[str, procfs.Usage], after: dict[str, procfs.Usage], span: float
) -> dict[str, ProcessUsage]:
    return {name: usage_rate(before[name], after[name], span) for name in after if name in before}


def _load_average() -> list[float]:
    return [round(each, 1) for each in os.getloadavg()]


def _disk_megabytes(load: Load, folder: Path) -> dict[str, float]:
    found = {}
    for name in (f"controller-{place}" for place in range(load.controllers)):
        files = (file for file in folder.glob(f"data-{name}/**/*") if file.is_file())
        found[name] = round(sum(file.stat().st_size for file in files) / MEGABYTE, 1)
    return found


async def play(load: Load, gateways: int, folder: Path, say: Callable[[str], None]) -> RunRecord:
    """One run at one size: its record, with what failed in `failed`."""
    run = Run(load, gateways, folder, say)
    before = _load_average()
    tasks = {asyncio.create_task(run.watch()), asyncio.create_task(run.play())}
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for error in filter(None, (task.exception() for task in done)):
            if not isinstance(error, CommandError):
                raise error
            run.record.failed.append(str(error))
            say(f"ended: {error}")
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
        memory=round(procfs.memory_total() / MEGABYTE),
        load_average_before=before,
        load_average_after=_load_average(),
    )
    record.seconds = round(time.monotonic() - run.begun, 1)
    record.disk = _disk_megabytes(load, folder)
    return record
