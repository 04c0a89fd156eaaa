"""Processes of a scale run: hollow ones, and real controllers and gateways with an IP address each."""

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
from crowseam.capacity.hollow_protocol import Command, GatewaysReport, Job, ServersReport
from crowseam.capacity.loads import Load
from crowseam.cli import demo_files
from crowseam.cli.errors import CommandError

CONTROLLER_NET = 80  # controller n is 127.(CONTROLLER_NET + n).0.10, as each is in a zone of its own
GATEWAY_NET = 100  # real gateway n is 127.(GATEWAY_NET + n).0.10
PEER_PORT = 7660
PEER_PORTS = 16
REGIONS = 3
PROCESS_LIMITS = {"nofile": 20_000, "mem_mb": 2000, "disk_mb": 2000}  # of each real process
HOLLOW_GATEWAYS, HOLLOW_SERVERS = "hollow gateways", "hollow servers"  # roles
MAX_REPORT_BYTES = 64 * 1024 * 1024  # of a hollow process's answer
ANSWER_TIMEOUT_S = 20.0  # of a hollow process to a command
STOP_TIMEOUT_S = 8.0  # before a process is killed
PR_SET_PDEATHSIG = 1  # option of prctl(2)

Report = TypeVar("Report", GatewaysReport, ServersReport)


class RunError(CommandError):
    """The run was aborted: a limit was exceeded, or a process failed or exited."""


def controller_ip(index: int) -> str:
    """Return the IP address of a controller."""
    return f"127.{CONTROLLER_NET + index}.0.10"


def gateway_ip(index: int) -> str:
    """Return the IP address of a real gateway."""
    return f"127.{GATEWAY_NET + index}.0.10"


def control_addresses(load: Load) -> list[str]:
    """Return the control addresses (ip:port) of the controllers."""
    return [f"{controller_ip(index)}:{demo_files.PORTS['ctl']}" for index in range(load.controllers)]


def settings(load: Load, role: str, index: int, folder: Path) -> dict[str, Any]:
    """Return the settings of one real process: those of `crowseam demo` with an IP address of its own."""
    values = demo_files.settings(0, role, folder)
    zones = {f"zone-{n}": f"region-{n % REGIONS}" for n in range(load.zones)}
    ip = controller_ip(index) if role == "controller" else gateway_ip(index)
    names = ("http", "readyz") if role == "gateway" else ("ctl",)
    values |= {
        "hostname": f"{role}-{index}",
        "ip": ip,
        "zones": zones,
        "az": f"zone-{index % load.zones}",
        "region": zones[f"zone-{index % load.zones}"],
        "bind": {name: f"{ip}:{demo_files.PORTS[name]}" for name in names},
        "seeds": control_addresses(load),
        "datadir": str(folder / f"data-{role}-{index}"),
        "hb": f"{load.heartbeat:g}s",
        "port_range": [PEER_PORT, PEER_PORT + PEER_PORTS - 1],
    }
    values["limits"] |= PROCESS_LIMITS
    return values


def http_call(
    ip: str, port: int, method: str, path: str, body: bytes = b"", timeout_s: float = 15.0
) -> tuple[int, bytes]:
    """Make an HTTP call and return status and body; status 0 without a response within `timeout_s`."""
    connection = HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body or None)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, HTTPException):
        return 0, b""
    finally:
        connection.close()


def _die_with_parent() -> None:
    # The kernel ends the child when the run is killed.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


class ChildProcess:
    """A process started by the run."""

    def __init__(self, name: str, role: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.role, self.process = name, role, process
        self.is_exit_expected = False  # the run is stopping it

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process.returncode is None

    async def send_command(self, command: Command, report_type: type[Report]) -> Report:
        """Send a command to a hollow process and return its report. Raises RunError."""
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_TIMEOUT_S)
            return msgspec.json.decode(line, type=report_type)
        except (TimeoutError, msgspec.MsgspecError):
            raise RunError(f"{self.name} did not answer within {ANSWER_TIMEOUT_S:g} s") from None

    async def terminate(self, kill: bool = False) -> None:
        """Stop the process and wait for its exit."""
        self.is_exit_expected = True
        if not self.running:
            return
        self.process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class RunProcesses:
    """All processes of a run, with their settings, data and logs in `folder`."""

    def __init__(self, load: Load, folder: Path) -> None:
        self.load, self.folder = load, folder
        self.children: list[ChildProcess] = []

    async def start(self, role: str, index: int) -> ChildProcess:
        """Start a real process."""
        values = settings(self.load, role, index, self.folder)
        Path(values["datadir"]).mkdir(exist_ok=True)
        file = self.folder / f"{role}-{index}.json"
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
        return self._add_child(f"{role}-{index}", role, process)

    async def start_hollow(self, name: str, first: int = 0, count: int = 0) -> ChildProcess:
        """Start a process of `count` hollow gateways from number `first`, or of all hollow servers if `count` is 0."""
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
                limit=MAX_REPORT_BYTES,
            )
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        return self._add_child(name, HOLLOW_GATEWAYS if count else HOLLOW_SERVERS, process)

    def _add_child(self, name: str, role: str, process: asyncio.subprocess.Process) -> ChildProcess:
        child = ChildProcess(name, role, process)
        self.children.append(child)
        return child

    def child_named(self, name: str) -> ChildProcess:
        """Return the process of this name."""
        return next(child for child in self.children if child.name == name)

    def running_with_role(self, role: str) -> list[ChildProcess]:
        """Return the running processes of a role."""
        return [child for child in self.children if child.role == role and child.running]

    async def kill(self, name: str) -> None:
        """Kill a process and remove it from the list."""
        child = self.child_named(name)
        await child.terminate(kill=True)
        self.children.remove(child)

    def usage(self) -> dict[str, procfs.Usage]:
        """Return the usage of each running process by name."""
        usage_by_name = {}
        for child in self.children:
            if child.running and (used := procfs.usage(child.process.pid)) is not None:
                usage_by_name[child.name] = used
        return usage_by_name

    def unexpected_exit(self) -> str | None:
        """Return the name of a process that exited without being stopped, if any."""
        return next((child.name for child in self.children if not child.running and not child.is_exit_expected), None)

    async def command_gateways(self, command: Command) -> list[GatewaysReport]:
        """Send a command to all processes of hollow gateways and return their reports. Raises RunError."""
        children = [child for child in self.children if child.role == HOLLOW_GATEWAYS]
        return list(await asyncio.gather(*(child.send_command(command, GatewaysReport) for child in children)))

    async def command_servers(self, command: Command) -> ServersReport:
        """Send a command to the process of hollow servers and return its report. Raises RunError."""
        child = next(child for child in self.children if child.role == HOLLOW_SERVERS)
        return await child.send_command(command, ServersReport)

    async def stop(self) -> None:
        """Stop all processes of the run."""
        hollow = (HOLLOW_GATEWAYS, HOLLOW_SERVERS)
        terminations = (child.terminate(kill=child.role in hollow) for child in self.children)
        await asyncio.gather(*terminations, return_exceptions=True)
