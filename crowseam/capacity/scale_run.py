"""The scale run: real controllers and real gateways beside hollow gateways and servers, measured from outside.

Every process has a loopback address of its own.  A run goes through its parts in order: a mass start, a calm
time, changes, servers that leave, gateways that start anew, a controller that is killed and comes back.  It ends
all that it has started, by id, at its end, at its time limit and at its memory limit.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

import msgspec

import crowseam
from crowseam.capacity import hollow_peers, loads, procfs
from crowseam.capacity.loads import Load
from crowseam.cli import demo_files
from crowseam.cli.commands import Args, _json, _out, _read
from crowseam.cli.errors import DONE, FAILED, BadInputError, CommandError
from crowseam.cli.tables import table

NET = 80  # controller n is 127.(NET + n).0.10, as each is in a zone of its own; gateways are above
DESK_NET = 100
PEER_PORT = 7660
WATCH = 0.5  # s between two looks at the processes
READY = 30.0  # s that controllers have to answer, and to agree on the first configuration
MASS = 60.0  # s that all gateways have to be up to date
MEMORY_PART = 0.45  # of the machine's memory: what a run may take at the most, whatever its file says
PR_SET_PDEATHSIG = 1


class RunError(CommandError):
    """The run was ended: a limit, or a process that has ended by itself."""


def quantile(values: list[float], part: float) -> float | None:
    """The value that `part` of them do not exceed; None of none."""
    if not values:
        return None
    told = sorted(values)
    return told[min(len(told) - 1, max(0, -(-int(part * 1000) * len(told) // 1000) - 1))]


def spread(values: list[float], scale: float = 1000.0, digits: int = 2) -> dict[str, float | int | None]:
    """How many, and p50, p99 and the worst, in thousandths unless `scale` says otherwise."""
    told = {name: quantile(values, part) for name, part in (("p50", 0.5), ("p99", 0.99), ("worst", 1.0))}
    return {"count": len(values)} | {
        name: None if each is None else round(each * scale, digits) for name, each in told.items()
    }


def rate(before: procfs.Usage, after: procfs.Usage, span: float) -> dict[str, float]:
    """What a process used over `span` seconds: cores, MB, descriptors, kB/s."""
    return {
        "cores": round((after.cpu - before.cpu) / span, 4),
        "rss_MB": round(after.rss / 1e6, 1),
        "files": after.files,
        "in_kB_s": round((after.read - before.read) / span / 1000, 2),
        "out_kB_s": round((after.written - before.written) / span / 1000, 2),
        "disk_kB_s": round((after.disk - before.disk) / span / 1000, 2),
    }


def summed(told: list[dict[str, list[int]]]) -> dict[str, list[int]]:
    """Messages and bytes by type over several processes."""
    found: dict[str, list[int]] = {}
    for each in told:
        for what, (count, size) in each.items():
            kept = found.setdefault(what, [0, 0])
            kept[0], kept[1] = kept[0] + count, kept[1] + size
    return dict(sorted(found.items()))


def settings(load: Load, role: str, place: int, folder: Path) -> dict[str, Any]:
    """The settings of one real process, as `crowseam demo` writes them, with an address of its own."""
    told = demo_files.settings(0, role, folder)
    zones = {f"zone-{n}": f"region-{n % 3}" for n in range(load.zones)}
    ip = controller_ip(place) if role == "controller" else f"127.{DESK_NET + place}.0.10"
    names = ("http", "readyz") if role == "gateway" else ("ctl",)
    told |= {
        "hostname": f"{role}-{place}",
        "ip": ip,
        "zones": zones,
        "az": f"zone-{place % load.zones}",
        "region": zones[f"zone-{place % load.zones}"],
        "bind": {name: f"{ip}:{demo_files.PORTS[name]}" for name in names},
        "seeds": [f"{controller_ip(each)}:{demo_files.PORTS['ctl']}" for each in range(load.controllers)],
        "datadir": str(folder / f"data-{role}-{place}"),
        "hb": f"{load.heartbeat:g}s",
        "port_range": [PEER_PORT, PEER_PORT + 15],
    }
    told["limits"] |= {"nofile": 20_000, "mem_mb": 2000, "disk_mb": 2000}
    return told


def controller_ip(place: int) -> str:
    """The address of a controller."""
    return f"127.{NET + place}.0.10"


def call(ip: str, port: int, method: str, path: str, body: bytes = b"", timeout: float = 15.0) -> tuple[int, bytes]:
    """One call: status and body; status 0 where no answer came."""
    connection = HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body or None)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        connection.close()


def _dies_with_parent() -> None:
    # A run that is killed leaves nothing behind.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


class Child:
    """A process that this run has started."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.role, self.process = name, role, process
        self.expected = False  # it is meant to end

    async def order(self, told: dict[str, Any], within: float = 20.0) -> dict[str, Any]:
        """Have a hollow process do something; what it answers. Raises RunError."""
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), within)
            return msgspec.json.decode(line)
        except (TimeoutError, msgspec.DecodeError):
            raise RunError(f"{self.name} has not answered within {within:g} s") from None

    async def end(self, kill: bool = False) -> None:
        """End it, and wait until it is gone."""
        self.expected = True
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 8.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class Run:
    """One run at one size."""

    def __init__(self, load: Load, gateways: int, folder: Path, say: Callable[[str], None]) -> None:
        self.load, self.gateways, self.folder = load, gateways, folder
        self.begun = time.monotonic()
        self._say = say
        self.children: list[Child] = []
        self.samples: list[tuple[float, dict[str, procfs.Usage]]] = []
        self.peak = 0.0  # MB of all processes together
        self.failed: list[str] = []
        self.record: dict[str, Any] = {}
        self.version = 0

    def say(self, what: str) -> None:
        """A line of progress."""
        self._say(f"{time.monotonic() - self.begun:6.1f} s  {what}")

    # Processes

    async def start(self, role: str, place: int) -> Child:
        """Start a real process."""
        told = settings(self.load, role, place, self.folder)
        Path(told["datadir"]).mkdir(exist_ok=True)
        file = self.folder / f"{role}-{place}.json"
        file.write_bytes(msgspec.json.encode(told))
        with file.with_suffix(".log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crowseam",
                role,
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
                env=os.environ | {"CROWSEAM_BOOT": str(file)},
                cwd=Path(crowseam.__file__).parents[1],
                preexec_fn=_dies_with_parent,
            )
        child = Child(f"{role}-{place}", role, process)
        self.children.append(child)
        return child

    async def start_hollow(self, name: str, first: int, count: int) -> Child:
        """Start a process of hollow ends."""
        job = hollow_peers.Job(self.load, self.seeds, PEER_PORT, first, count)
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crowseam.capacity.hollow_peers",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=Path(crowseam.__file__).parents[1],
                preexec_fn=_dies_with_parent,
                limit=64 * 1024 * 1024,
            )
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        child = Child(name, "hollow gateways" if count else "hollow servers", process)
        self.children.append(child)
        return child

    @property
    def seeds(self) -> list[str]:
        """The control addresses."""
        return [f"{controller_ip(place)}:{demo_files.PORTS['ctl']}" for place in range(self.load.controllers)]

    def look(self) -> dict[str, procfs.Usage]:
        """What each process has used so far."""
        told = {}
        for child in self.children:
            if child.process.returncode is None and (used := procfs.usage(child.process.pid)) is not None:
                told[child.name] = used
        return told

    async def watch(self) -> None:
        """Look at all processes from time to time. Raises RunError at a limit."""
        most = min(self.load.memory_most * 1e6, MEMORY_PART * procfs.memory_total())
        while True:
            told = self.look()
            self.samples.append((time.monotonic(), told))
            taken = sum(used.rss for used in told.values())
            self.peak = max(self.peak, taken / 1e6)
            if taken > most:
                raise RunError(f"memory: {taken / 1e6:.0f} MB are more than {most / 1e6:.0f}")
            if time.monotonic() - self.begun > self.load.seconds_most:
                raise RunError(f"time: more than {self.load.seconds_most:g} s")
            for child in self.children:
                if child.process.returncode is not None and not child.expected:
                    raise RunError(f"{child.name} has ended by itself; its log says why")
            await asyncio.sleep(WATCH)

    async def until(self, what: str, done: Callable[[], Any], within: float) -> bool:
        """Wait until `done()` comes true; whether it did."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            told = done()
            if asyncio.iscoroutine(told):
                told = await told
            if told:
                return True
            await asyncio.sleep(0.05)
        self.failed.append(f"{what}: not within {within:g} s")
        self.say(self.failed[-1])
        return False

    # Calls

    async def status(self, place: int) -> dict[str, Any]:
        """What a controller says of itself; empty if it doesn't."""
        status, body = await asyncio.to_thread(
            call, controller_ip(place), demo_files.PORTS["ctl"], "GET", "/-/status", b"", 2.0
        )
        return msgspec.json.decode(body) if status == 200 else {}

    async def change(self, body: bytes, method: str = "PATCH", place: int = 0) -> tuple[float, float] | None:
        """Send a change until it is taken: s until the acknowledgement, and when that came."""
        begun = time.monotonic()
        for attempt in range(10):
            at = (place + attempt) % self.load.controllers
            status, told = await asyncio.to_thread(
                call, controller_ip(at), demo_files.PORTS["ctl"], method, "/-/config", body, 15.0
            )
            if status == 200:
                self.version += 1
                return time.monotonic() - begun, time.monotonic()
            await asyncio.sleep(0.1)
        self.failed.append(f"{method} of version {self.version + 1}: {status} {told[:100]!r}")
        return None

    async def gather(self, order: dict[str, Any], role: str = "hollow gateways") -> list[dict[str, Any]]:
        """What all hollow processes of a role answer."""
        return list(await asyncio.gather(*(child.order(order) for child in self.children if child.role == role)))

    # Parts

    async def play(self) -> None:
        """Go through all parts. Raises RunError."""
        load = self.load
        for place in range(load.controllers):
            await self.start("controller", place)
        for place in range(load.controllers):
            await self.until(f"controller {place}", lambda place=place: self.status(place), READY)
        body = await asyncio.to_thread(loads.configuration, load)
        self.say(f"{load.controllers} controllers answer; a configuration of {len(body) / 1e6:.2f} MB is put")
        taken = await self.change(body, "PUT")
        if taken is None:
            raise RunError("the configuration was not taken")
        self.record["configuration"] = {"bytes": len(body), "ack_ms": round(taken[0] * 1000, 1)}
        await self._mass_start()
        await asyncio.sleep(load.settle)
        await self._calm()
        await self._changes()
        await self._leaves()
        await self._restarts()
        await self._controller()
        self.record["peak_MB"] = round(self.peak, 1)

    async def _mass_start(self) -> None:
        load = self.load
        servers = await self.start_hollow("servers", 0, 0)
        await self.until("servers known", self._servers_known, MASS)
        self.say(f"{load.servers} servers are known; {self.gateways} gateways start within {load.ramp:g} s")
        before, at = self.look(), time.monotonic()
        first = 0
        for number, count in enumerate(loads.processes(load, self.gateways)):
            await self.start_hollow(f"hollow-{number}", first, count)
            first += count
        for place in range(min(load.real_gateways, self.gateways)):
            await self.start("gateway", place)

        async def whole() -> bool:
            told = await self.gather({"do": "tell"})
            return all(each["whole"] == each["gateways"] for each in told)

        done = await self.until("all hollow gateways up to date", whole, load.ramp + MASS)
        span, told = time.monotonic() - at, await self.gather({"do": "tell"})
        after = self.look()
        ready = [await self._ready(place) for place in range(min(load.real_gateways, self.gateways))]
        times = [one for each in told for one in each["caught_up"]]
        self.record["mass_start"] = {
            "done": done,
            "span_s": round(span, 2),
            "catch_up_s": spread(times, 1.0, 3),
            "leased_s": spread([one for each in told for one in each["leased"]], 1.0, 3),
            "real_ready_s": ready,
            "events": self._events(told),
            "controller": {name: rate(before[name], after[name], span) for name in self._named("controller")},
        }
        self.say(f"mass start: worst {self.record['mass_start']['catch_up_s']['worst']} s; real {ready}")
        await servers.order({"do": "reset"})

    async def _servers_known(self) -> bool:
        told = [await self.status(place) for place in range(self.load.controllers)]
        return all(each.get("servers", 0) >= self.load.servers for each in told)

    async def _ready(self, place: int) -> float | None:
        """Seconds until a real gateway is ready, from now at the most READY."""
        begun = time.monotonic()
        ip = f"127.{DESK_NET + place}.0.10"
        while time.monotonic() - begun < READY:
            status, _ = await asyncio.to_thread(call, ip, demo_files.PORTS["readyz"], "GET", "/-/readyz", b"", 1.0)
            if status == 200:
                return round(time.monotonic() - begun, 2)
            await asyncio.sleep(0.1)
        self.failed.append(f"gateway-{place} was not ready within {READY:g} s")
        return None

    def _named(self, role: str) -> list[str]:
        return [child.name for child in self.children if child.role == role and child.process.returncode is None]

    @staticmethod
    def _events(told: list[dict[str, Any]]) -> dict[str, int]:
        found: dict[str, int] = {}
        for each in told:
            for what, count in each["events"].items():
                found[what] = found.get(what, 0) + count
        return found

    async def _window(self, span: float) -> dict[str, Any]:
        """What all processes use over a time in which nothing but the load happens."""
        await self.gather({"do": "reset"})
        await self.gather({"do": "reset"}, "hollow servers")
        before, at = self.look(), time.monotonic()
        await asyncio.sleep(span)
        after, span = self.look(), time.monotonic() - at
        gateways = await self.gather({"do": "tell"})
        servers = await self.gather({"do": "tell"}, "hollow servers")
        count = sum(each["gateways"] for each in gateways)
        used = {name: rate(before[name], after[name], span) for name in after if name in before}
        asked = sum(each["passed"] + each["wanted"] + each["refused"] for each in gateways)
        return {
            "span_s": round(span, 2),
            "processes": used,
            "gateway_kB_s": round(
                sum(size for each in gateways for _, size in each["traffic"].values()) / 1000 / span / max(1, count), 3
            ),
            "traffic": {
                what: {"a_second": round(times / span, 2), "kB_s": round(size / 1000 / span, 3)}
                for what, (times, size) in summed([each["traffic"] for each in gateways]).items()
            },
            "servers": {
                what: {"a_second": round(times / span, 2), "kB_s": round(size / 1000 / span, 3)}
                for what, (times, size) in summed([each["traffic"] for each in servers]).items()
            },
            "statuses": servers[0]["statuses"],
            "lost_calls": servers[0]["lost_calls"],
            "tenants_named": round(
                sum(each["named"] for each in gateways) / max(1, sum(each["reports"] for each in gateways)), 1
            ),
            "reports_s": round(sum(each["reports"] for each in gateways) / span, 1),
            "requests_s": round(asked / span, 1),
            "draws_wanted_s": round(sum(each["wanted"] for each in gateways) / span, 1),
            "passed_s": round(sum(each["passed"] for each in gateways) / span, 1),
            "draw_wait_ms": spread([one for each in gateways for one in each["draw_waits"]]),
            "events": self._events(gateways),
            "open": sum(each["open"] for each in gateways),
            "hollow_late_s": {
                "worst": round(max(each["late_most"] for each in gateways), 3),
                "mean": round(max(each["late_mean"] for each in gateways), 4),
                "servers": round(servers[0]["late_most"], 3),
            },
        }

    async def _calm(self) -> None:
        self.record["calm"] = told = await self._window(self.load.calm)
        cores = [each["cores"] for name, each in told["processes"].items() if name.startswith("controller")]
        self.say(
            f"calm: controllers {cores} cores, {told['tenants_named']} tenants named by a gateway, "
            f"{told['gateway_kB_s']} kB/s a gateway, {told['draws_wanted_s']} draws/s wanted, "
            f"late {told['hollow_late_s']['mean']} s, {told['events']}"
        )

    async def _changes(self) -> None:
        """Changes one after another: how long each takes to be acknowledged, and then to be everywhere."""
        acks, spans, missing = [], [], 0
        await self.gather({"do": "reset"})
        before, begun = self.look(), time.monotonic()
        sent: list[tuple[int, float]] = []
        for _ in range(self.load.changes):
            body = msgspec.json.encode(loads.change(self.load, self.version))
            taken = await self.change(body, place=self.version)
            if taken is None:
                break
            acks.append(taken[0])
            slot = max([(await self.status(place)).get("slot", 0) for place in range(self.load.controllers)])
            sent.append((slot, taken[1]))
            await asyncio.sleep(self.load.change_pause)
        after, span = self.look(), time.monotonic() - begun
        told = await self.gather({"do": "tell"})
        worst = []
        for slot, at in sent:
            times = [one - at for each in told for one in each["slots"].get(str(slot), [])]
            missing += sum(each["gateways"] for each in told) - len(times)
            spans += times
            worst.append(max(times, default=0.0))
        self.record["changes"] = {
            "count": len(acks),
            "ack_ms": spread(acks),
            "to_gateways_ms": spread(spans),
            "to_last_gateway_ms": spread(worst),
            "not_told": missing,
            "events": self._events(told),
            "processes": {name: rate(before[name], after[name], span) for name in after if name in before},
            "span_s": round(span, 2),
        }
        self.say(
            f"changes: acknowledged {self.record['changes']['ack_ms']}, at the last gateway "
            f"{self.record['changes']['to_last_gateway_ms']} ms after, {missing} not told"
        )

    async def _leaves(self) -> None:
        if not self.load.leaves:
            return
        (servers,) = (child for child in self.children if child.role == "hollow servers")
        await servers.order({"do": "reset"})
        for _ in range(self.load.leaves):
            await servers.order({"do": "leave", "count": 1})
            await asyncio.sleep(0.2)

        async def all_left() -> bool:
            return len((await servers.order({"do": "tell"}))["leave_acks"]) >= self.load.leaves

        await self.until("leaves acknowledged", all_left, 10.0)
        told = await servers.order({"do": "tell"})
        self.record["leaves"] = {"ack_ms": spread(told["leave_acks"]), "lost_calls": told["lost_calls"]}
        self.say(f"leaves: acknowledged {self.record['leaves']['ack_ms']} ms")

    async def _restarts(self) -> None:
        """Some hollow gateways are killed and started again, all at once."""
        if not self.load.restarts:
            return
        await self.gather({"do": "reset"})
        (crowd,) = [child for child in self.children if child.name == "hollow-0"]
        told = await crowd.order({"do": "restart", "count": self.load.restarts})
        count = min(self.load.restarts, told["gateways"])

        async def back() -> bool:
            now = await crowd.order({"do": "tell"})
            return min(len(now["leased"]), len(now["caught_up"])) >= count

        await self.until("restarted gateways back, with leases", back, 20.0)
        told = await crowd.order({"do": "tell"})
        self.record["gateway_restarts"] = {
            "count": count,
            "catch_up_s": spread(told["caught_up"], 1.0, 3),
            "leased_s": spread(told["leased"], 1.0, 3),
        }
        self.say(
            f"{count} gateways started anew: configuration and servers after "
            f"{self.record['gateway_restarts']['catch_up_s']} s"
        )

    async def _controller(self) -> None:
        """The last controller is killed, changes go on, it comes back and catches up."""
        if self.load.controllers < 2:
            return
        last = self.load.controllers - 1
        await self.gather({"do": "reset"})
        (child,) = [each for each in self.children if each.name == f"controller-{last}"]
        await child.end(kill=True)
        self.children.remove(child)
        at = time.monotonic()
        acks = []
        while time.monotonic() - at < self.load.away:
            body = msgspec.json.encode(loads.change(self.load, self.version))
            if (taken := await self.change(body, place=0)) is None:
                break
            acks.append(taken[0])
            await asyncio.sleep(self.load.change_pause)

        async def all_open() -> bool:
            told = await self.gather({"do": "tell"})
            return all(each["open"] == each["gateways"] for each in told)

        await self.until("all gateways with another controller", all_open, 15.0)
        moved = time.monotonic() - at
        begun = time.monotonic()
        await self.start("controller", last)

        async def caught_up() -> bool:
            mine, other = await self.status(last), await self.status(0)
            return bool(mine) and mine.get("in_touch") and mine.get("slot") == other.get("slot")

        done = await self.until("the killed controller up to date", caught_up, 30.0)
        span = time.monotonic() - begun
        told = await self.gather({"do": "tell"})
        self.record["controller_restart"] = {
            "acks_while_away_ms": spread(acks),
            "gateways_elsewhere_s": round(moved, 2),
            "catch_up_s": round(span, 2) if done else None,
            "events": self._events(told),
        }
        self.say(f"controller killed: {self.record['controller_restart']}")

    # End

    async def stop(self) -> None:
        """End all that this run has started, and nothing else."""
        await asyncio.gather(
            *(child.end(kill=child.role.startswith("hollow")) for child in self.children), return_exceptions=True
        )


def _load_average() -> list[float]:
    return [round(each, 1) for each in os.getloadavg()]


async def play(load: Load, gateways: int, folder: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """One run at one size: its record, with what failed in `failed`."""
    run = Run(load, gateways, folder, say)
    before = _load_average()
    watching = asyncio.create_task(run.watch())
    playing = asyncio.create_task(run.play())
    try:
        await asyncio.wait({watching, playing}, return_when=asyncio.FIRST_COMPLETED)
        for task in (watching, playing):
            if task.done() and (error := task.exception()) is not None:
                if not isinstance(error, CommandError):
                    raise error
                run.failed.append(str(error))
                say(f"ended: {error}")
    finally:
        for task in (watching, playing):
            task.cancel()
        await asyncio.gather(watching, playing, return_exceptions=True)
        await run.stop()
    sizes = {
        name: sum(file.stat().st_size for file in folder.glob(f"data-{name}/**/*") if file.is_file())
        for name in (f"controller-{place}" for place in range(load.controllers))
    }
    return {
        "gateways": gateways,
        "at": round(time.time()),
        "load": msgspec.to_builtins(load),
        "machine": {
            "cores": os.cpu_count(),
            "memory_MB": round(procfs.memory_total() / 1e6),
            "load_average_before": before,
            "load_average_after": _load_average(),
        },
        "seconds": round(time.monotonic() - run.begun, 1),
        "failed": run.failed,
        "disk_MB": {name: round(size / 1e6, 1) for name, size in sizes.items()},
    } | run.record


def sizes_of(args: Args, load: Load) -> list[int]:
    """The sizes to play. Raises BadInputError."""
    if args["--gateways"] is None:
        return list(load.gateways)
    try:
        told = [int(each) for each in args["--gateways"].split(",")]
    except ValueError:
        told = []
    if not told or not all(0 < each <= 100_000 for each in told):
        raise BadInputError("--gateways", f"{args['--gateways']!r} is no list of numbers as 50,100")
    return told


def scale_run(args: Args) -> int:
    """`crowseam scale-run`: play each size, and keep a record of each. Raises BadInputError."""
    load = loads.parse(_read(args["FILE"][0], "FILE"))
    records = []
    for gateways in sizes_of(args, load):
        sys.stderr.write(f"{gateways} gateways\n")
        with tempfile.TemporaryDirectory(prefix="scale-run-") as folder:
            record = asyncio.run(play(load, gateways, Path(folder), lambda line: print(line, file=sys.stderr)))
        records.append(record)
        if args["--out"]:
            try:
                Path(args["--out"]).mkdir(parents=True, exist_ok=True)
                file = Path(args["--out"]) / f"scale-run-{gateways}.json"
                file.write_bytes(msgspec.json.format(msgspec.json.encode(record), indent=1) + b"\n")
            except OSError as error:
                raise BadInputError("--out", str(error)) from None
    if args["--json"]:
        _json(records)
    else:
        _out(table([row(record) for record in records]))
    return FAILED if any(record["failed"] for record in records) else DONE


def row(record: dict[str, Any]) -> dict[str, Any]:
    """One line for people of what a run has found; what a run that failed has not found is left out."""
    calm = record.get("calm", {"processes": {}})
    of = {
        role: [each for name, each in calm["processes"].items() if name.startswith(role)]
        for role in ("controller", "gateway")
    }

    def most(role: str, what: str) -> Any:
        return max((each[what] for each in of[role]), default=None)

    def deep(*names: str) -> Any:
        told: Any = record
        for name in names:
            told = told.get(name) if isinstance(told, dict) else None
        return told

    return {
        "gateways": record["gateways"],
        "controller cores": most("controller", "cores"),
        "controller MB": most("controller", "rss_MB"),
        "gateway cores": most("gateway", "cores"),
        "gateway MB": most("gateway", "rss_MB"),
        "kB/s a gateway": calm.get("gateway_kB_s"),
        "mass start s": deep("mass_start", "catch_up_s", "worst"),
        "ack ms p50": deep("changes", "ack_ms", "p50"),
        "last gateway ms worst": deep("changes", "to_last_gateway_ms", "worst"),
        "failed": len(record["failed"]),
    }
