"""The processes of a scale run: real controllers and gateways, and hollow ones.  Each real one has its own address."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, TypeVar

import msgspec

import crowseam
from crowseam.capacity import procfs
from crowseam.capacity.hollow_protocol import GatewaysReport, Job, Order, ServersReport
from crowseam.capacity.loads import Load
from crowseam.cli import demo_files
from crowseam.cli.errors import CommandError

CONTROLLER_NET = 80  # controller n is 127.(CONTROLLER_NET + n).0.10, as each is in a zone of its own
GATEWAY_NET = 100  # real gateway n is 127.(GATEWAY_NET + n).0.10
PEER_PORT = 7660
PEER_PORTS = 16
REGIONS = 3
LIMITS = {"nofile": 20_000, "mem_mb": 2000, "disk_mb": 2000}  # of a real process
HOLLOW_GATEWAYS, HOLLOW_SERVERS = "hollow gateways", "hollow servers"  # roles
REPORT_SIZE_MOST = 64 * 1024 * 1024  # bytes of the line that a hollow process answers with
ANSWER_TIMEOUT = 20.0  # s that a hollow process has to answer an order
END_TIMEOUT = 8.0  # s that a process has to end before it is killed
PR_SET_PDEATHSIG = 1  # of prctl(2)

Report = TypeVar("Report", GatewaysReport, ServersReport)


class RunError(CommandError):
    """The run was ended: a limit, or a process that has ended by itself."""


def controller_ip(place: int) -> str:
    """The address of a controller."""
    return f"127.{CONTROLLER_NET + place}.0.10"


def gateway_ip(place: int) -> str:
    """The address of a real gateway."""
    return f"127.{GATEWAY_NET + place}.0.10"


def control_addresses(load: Load) -> list[str]:
    """The addresses (ip:port) at which the controllers are called."""
    return [f"{controller_ip(place)}:{demo_files.PORTS['ctl']}" for place in range(load.controllers)]


def settings(load: Load, role: str, place: int, folder: Path) -> dict[str, Any]:
    """The settings of one real process, as `crowseam demo` writes them, with an address of its own."""
    values = demo_files.settings(0, role, folder)
    zones = {f"zone-{n}": f"region-{n % REGIONS}" for n in range(load.zones)}
    ip = controller_ip(place) if role == "controller" else gateway_ip(place)
    names = ("http", "readyz") if role == "gateway" else ("ctl",)
    values |= {
        "hostname": f"{role}-{place}",
        "ip": ip,
        "zones": zones,
        "az": f"zone-{place % load.zones}",
        "region": zones[f"zone-{place % load.zones}"],
        "bind": {name: f"{ip}:{demo_files.PORTS[name]}" for name in names},
        "seeds": control_addresses(load),
        "datadir": str(folder / f"data-{role}-{place}"),
        "hb": f"{load.heartbeat:g}s",
        "port_range": [PEER_PORT, PEER_PORT + PEER_PORTS - 1],
    }
    values["limits"] |= LIMITS
    return values


def call(ip: str, port: int, method: str, path: str, body: bytes = b"", timeout: float = 15.0) -> tuple[int, bytes]:
    """One call: status and body; status 0 where no answer came within `timeout` s."""
    connection = HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body or None)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        connection.close()


def _die_with_parent() -> None:
    # A run that is killed leaves nothing behind.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


class Child:
    """A process that this run has started."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.role, self.process = name, role, process
        self.expected = False  # it is meant to end

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    async def order(self, order: Order, report: type[Report]) -> Report:
        """Have a hollow process do something; what it reports. Raises RunError."""
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_TIMEOUT)
            return msgspec.json.decode(line, type=report)
        except (TimeoutError, msgspec.MsgspecError):
            raise RunError(f"{self.name} has not answered within {ANSWER_TIMEOUT:g} s") from None

    async def end(self, kill: bool = False) -> None:
        """End it, and wait until it is gone."""
        self.expected = True
        if not self.running:
            return
        self.process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), END_TIMEOUT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Processes:
    """All processes of a run; settings, stores and logs are in `folder`."""

    def __init__(self, load: Load, folder: Path) -> None:
        self.load, self.folder = load, folder
        self.children: list[Child] = []

    async def start(self, role: str, place: int) -> Child:
        """Start a real process."""
        values = settings(self.load, role, place, self.folder)
        Path(values["datadir"]).mkdir(exist_ok=True)
        file = self.folder / f"{role}-{place}.json"
        file.write_bytes(msgspec.json.encode(values))
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
                preexec_fn=_die_with_parent,
            )
        return self._started(f"{role}-{place}", role, process)

    async def start_hollow(self, name: str, first: int = 0, count: int = 0) -> Child:
        """Start a process of `count` hollow gateways from number `first`, or (0) of all hollow servers."""
        job = Job(self.load, control_addresses(self.load), PEER_PORT, first, count)
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crowseam.capacity.hollow_process",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=Path(crowseam.__file__).parents[1],
                preexec_fn=_die_with_parent,
                limit=REPORT_SIZE_MOST,
            )
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        return self._started(name, HOLLOW_GATEWAYS if count else HOLLOW_SERVERS, process)

    def _started(self, name: str, role: str, process: asyncio.subprocess.Process) -> Child:
        child = Child(name, role, process)
        self.children.append(child)
        return child

    def named(self, name: str) -> Child:
        """The process of this name."""
        return next(child for child in self.children if child.name == name)

    def of_role(self, role: str) -> list[Child]:
        """The processes of a role that have not ended."""
        return [child for child in self.children if child.role == role and child.running]

    async def kill(self, name: str) -> None:
        """Kill a process, and know it no more."""
        child = self.named(name)
        await child.end(kill=True)
        self.children.remove(child)

    def usage(self) -> dict[str, procfs.Usage]:
        """What each process has used so far."""
        found = {}
        for child in self.children:
            if child.running and (used := procfs.usage(child.process.pid)) is not None:
                found[child.name] = used
        return found

    def ended(self) -> str | None:
        """The name of a process that has ended by itself."""
        return next((child.name for child in self.children if not child.running and not child.expected), None)

    async def gateways(self, order: Order) -> list[GatewaysReport]:
        """What all processes of hollow gateways answer to an order. Raises RunError."""
        children = [child for child in self.children if child.role == HOLLOW_GATEWAYS]
        return list(await asyncio.gather(*(child.order(order, GatewaysReport) for child in children)))

    async def servers(self, order: Order) -> ServersReport:
        """What the process of hollow servers answers to an order. Raises RunError."""
        child = next(child for child in self.children if child.role == HOLLOW_SERVERS)
        return await child.order(order, ServersReport)

    async def stop(self) -> None:
        """End all processes, and nothing else."""
        hollow = (HOLLOW_GATEWAYS, HOLLOW_SERVERS)
        ends = (child.end(kill=child.role in hollow) for child in self.children)
        await asyncio.gather(*ends, return_exceptions=True)
