"""Starts, signals and stops the processes of a soak test; every start, signal and exit is recorded in its history."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec

import crowseam
from crowseam.soak.history import History, ProcessAction, ProcessEvent

PORTS = {"http": 8405, "readyz": 8406, "ctl": 8407}
ZONES = 3
HEARTBEAT_S = 1.0
GRACE_PERIOD_S = 6.0
KEY_WINDOW_S = 60.0
KILL_AFTER_S = GRACE_PERIOD_S + 2.0
_BOUNDS = {
    "contact": "3000ms",
    "ack": "5000ms",
    "sync_time": "4s",
    "drain": "2500ms",
    "grace": f"{GRACE_PERIOD_S:g}s",
    "apply": "2500ms",
    "key_window": f"{KEY_WINDOW_S:g}s",
}


class AddressInUseError(Exception):
    """An address of the fleet is already in use, for example by another soak test."""


class Process:
    """One process of the fleet; each restart begins a new incarnation."""

    def __init__(self, role: str, ip: str, folder: Path, settings: dict[str, object], history: History) -> None:
        self.role = role
        self.ip = ip
        self.name = f"{role}@{ip}"
        self.folder = folder
        self.settings = settings
        self.history = history
        self.incarnation = 0
        self.is_frozen = False
        self._child: asyncio.subprocess.Process | None = None
        self._expects_exit = False

    @property
    def is_up(self) -> bool:
        """Whether the process is running."""
        return self._child is not None and self._child.returncode is None

    def address(self, port: str) -> tuple[str, int]:
        """Return its address for a named port."""
        return self.ip, PORTS[port]

    async def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        self._expects_exit = self.is_frozen = False
        settings_path = self.folder / f"{self.role}-{self.ip}.json"
        settings_path.write_bytes(msgspec.json.encode(self.settings))
        with settings_path.with_suffix(".log").open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crowseam",
                self.role,
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
                env=os.environ | {"CROWSEAM_BOOT": str(settings_path)},
                cwd=Path(crowseam.__file__).parents[1],
            )
        self._record_event(ProcessAction.START)
        asyncio.get_running_loop().create_task(self._watch(self._child, self.incarnation))

    async def _watch(self, child: asyncio.subprocess.Process, incarnation: int) -> None:
        exit_code = await child.wait()
        if incarnation == self.incarnation:
            is_expected = self._expects_exit
            self._record_event(
                ProcessAction.EXPECTED_EXIT
                if is_expected and exit_code in (0, -signal.SIGKILL)
                else ProcessAction.UNEXPECTED_EXIT,
                f"exit code {exit_code}",
                exit_code,
            )

    def _record_event(self, act: ProcessAction, detail: str = "", exit_code: int | None = None) -> None:
        event = ProcessEvent(self.name, self.incarnation, act, time.monotonic(), detail, exit_code)
        self.history.events.append(event)

    def _signal(self, number: signal.Signals, act: ProcessAction) -> None:
        if self._child is not None and self.is_up:
            self._record_event(act)
            self._child.send_signal(number)

    def reload(self) -> None:
        """Send SIGHUP."""
        self._signal(signal.SIGHUP, ProcessAction.RELOAD)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.is_frozen = True
        self._signal(signal.SIGSTOP, ProcessAction.FREEZE)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self.is_frozen = False
        self._signal(signal.SIGCONT, ProcessAction.THAW)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self._expects_exit = True
        self._signal(signal.SIGKILL, ProcessAction.KILL)
        if self._child is not None:
            await self._child.wait()

    async def terminate(self) -> None:
        """Send SIGTERM and wait for the exit; send SIGKILL if the process has not exited after KILL_AFTER_S."""
        if self.is_frozen:
            self.thaw()
        self._expects_exit = True
        self._signal(signal.SIGTERM, ProcessAction.TERMINATE)
        if self._child is None:
            return
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                await self._child.wait()
        except TimeoutError:
            await self.kill()

    def wipe(self) -> None:
        """Delete its data; it must not be running. The next incarnation starts without `bootstrap`."""
        shutil.rmtree(str(self.settings["datadir"]), ignore_errors=True)
        self.settings["bootstrap"] = False


class Fleet:
    """All processes: a gateway on each machine, and a controller on the first `controllers` machines."""

    def __init__(self, machines: int, controllers: int, network: int, folder: Path, history: History) -> None:
        ips = [f"127.{network}.{number % ZONES}.{number // ZONES + 5}" for number in range(machines)]
        seeds = [f"{ip}:{PORTS['ctl']}" for ip in ips[:3]]
        self.gateways = [Process("gateway", ip, folder, _settings("gateway", ip, seeds, folder), history) for ip in ips]
        self.controllers = [
            Process("controller", ip, folder, _settings("controller", ip, seeds, folder), history)
            for ip in ips[:controllers]
        ]

    @property
    def processes(self) -> list[Process]:
        """All controllers and gateways."""
        return [*self.controllers, *self.gateways]

    def check_addresses_free(self) -> None:
        """Raise AddressInUseError if an address is in use: two soak tests on the same addresses would interfere."""
        for process in self.processes:
            for port, number in PORTS.items():
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind(process.address(port))
                    except OSError as error:
                        raise AddressInUseError(f"{process.ip}:{number}: {error.strerror}") from error

    async def start(self) -> None:
        """Start all processes. Raises AddressInUseError."""
        self.check_addresses_free()
        await asyncio.gather(*(process.start() for process in self.processes))

    async def stop(self) -> None:
        """Stop all processes: gateways by SIGTERM, controllers by SIGKILL."""
        for process in self.processes:
            if process.is_frozen:
                process.thaw()
        await _gather_all(process.terminate() for process in self.gateways)
        await _gather_all(process.kill() for process in self.controllers)


async def _gather_all(awaitables: Iterable[object]) -> None:
    await asyncio.gather(*awaitables)  # type: ignore[call-overload]


def _settings(role: str, ip: str, seeds: list[str], folder: Path) -> dict[str, object]:
    names = ("http", "readyz") if role == "gateway" else ("ctl",)
    zones = {f"zone-{number}": "home" for number in range(ZONES)}
    return {
        "hostname": f"{role}-{ip}",
        "role": role,
        "ip": ip,
        "az": f"zone-{ip.split('.')[2]}",
        "region": "home",
        "zones": zones,
        "bind": {name: f"{ip}:{PORTS[name]}" for name in names},
        "port_range": [7660, 7675],
        "seeds": seeds,
        "bootstrap": True,
        "voting": role == "controller",
        "limits": {"cpu": 1.0, "ncpu": 1, "mem_mb": 200, "nofile": 475, "net_mbps": 100.0, "disk_mb": 64},
        "datadir": str(folder / f"data-{ip}") if role == "controller" else "",
        "hb": f"{HEARTBEAT_S:g}s",
        "survive": {"nodes": 1, "zones": 0, "regions": 0},
        "bounds": _BOUNDS,
    }
