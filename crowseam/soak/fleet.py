"""The processes of a soak: started, signalled, killed, frozen; each of its incarnations is in the history."""

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
from crowseam.soak.history import Act, History, ProcessEvent

PORTS = {"http": 8405, "readyz": 8406, "ctl": 8407}
ZONES = 3
HEARTBEAT_S = 1.0
GRACE_S = 6.0
KEY_WINDOW_S = 60.0
KILL_AFTER_S = GRACE_S + 2.0
_BOUNDS = {
    "contact": "3000ms",
    "ack": "5000ms",
    "sync_time": "4s",
    "drain": "2500ms",
    "grace": f"{GRACE_S:g}s",
    "apply": "2500ms",
    "key_window": f"{KEY_WINDOW_S:g}s",
}


class AddressInUseError(Exception):
    """An address of the fleet is in use, as by another soak."""


class Process:
    """One process of the fleet, in one incarnation after the other."""

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
        self._expects_end = False

    @property
    def is_up(self) -> bool:
        """Whether it runs."""
        return self._child is not None and self._child.returncode is None

    def address(self, port: str) -> tuple[str, int]:
        """Return one of its addresses."""
        return self.ip, PORTS[port]

    async def start(self) -> None:
        """Begin an incarnation."""
        self.incarnation += 1
        self._expects_end = self.is_frozen = False
        file = self.folder / f"{self.role}-{self.ip}.json"
        file.write_bytes(msgspec.json.encode(self.settings))
        with file.with_suffix(".log").open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "crowseam",
                self.role,
                stdin=asyncio.subprocess.DEVNULL,
                stderr=log,
                env=os.environ | {"CROWSEAM_BOOT": str(file)},
                cwd=Path(crowseam.__file__).parents[1],
            )
        self._note(Act.START)
        asyncio.get_running_loop().create_task(self._watch(self._child, self.incarnation))

    async def _watch(self, child: asyncio.subprocess.Process, incarnation: int) -> None:
        code = await child.wait()
        if incarnation == self.incarnation:
            is_wanted = self._expects_end
            self._note(Act.END if is_wanted and code in (0, -signal.SIGKILL) else Act.OWN_END, f"exit code {code}")

    def _note(self, act: Act, detail: str = "") -> None:
        self.history.events.append(ProcessEvent(self.name, self.incarnation, act, time.monotonic(), detail))

    def _signal(self, number: signal.Signals, act: Act) -> None:
        if self._child is not None and self.is_up:
            self._note(act)
            self._child.send_signal(number)

    def reload(self) -> None:
        """Send SIGHUP."""
        self._signal(signal.SIGHUP, Act.RELOAD)

    def freeze(self) -> None:
        """Stop it where it stands."""
        self.is_frozen = True
        self._signal(signal.SIGSTOP, Act.FREEZE)

    def thaw(self) -> None:
        """Let it go on."""
        self.is_frozen = False
        self._signal(signal.SIGCONT, Act.THAW)

    async def kill(self) -> None:
        """Send SIGKILL, and wait for the end."""
        self._expects_end = True
        self._signal(signal.SIGKILL, Act.KILL)
        if self._child is not None:
            await self._child.wait()

    async def terminate(self) -> None:
        """Send SIGTERM, and wait for the end; SIGKILL follows where it does not come."""
        if self.is_frozen:
            self.thaw()
        self._expects_end = True
        self._signal(signal.SIGTERM, Act.TERMINATE)
        if self._child is None:
            return
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                await self._child.wait()
        except TimeoutError:
            await self.kill()

    def wipe(self) -> None:
        """Lose its disk; it must not run. The next incarnation does not belong to the first start."""
        shutil.rmtree(str(self.settings["datadir"]), ignore_errors=True)
        self.settings["bootstrap"] = False


class Fleet:
    """All processes: a gateway on each machine, a controller on the first `controllers` of them."""

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
        """All of them."""
        return [*self.controllers, *self.gateways]

    def check_free(self) -> None:
        """Raise AddressInUseError where an address of the fleet is in use: two soaks would mix."""
        for process in self.processes:
            for port, number in PORTS.items():
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind(process.address(port))
                    except OSError as error:
                        raise AddressInUseError(f"{process.ip}:{number}: {error.strerror}") from error

    async def start(self) -> None:
        """Start all. Raises AddressInUseError."""
        self.check_free()
        await asyncio.gather(*(process.start() for process in self.processes))

    async def stop(self) -> None:
        """End all, in order where that works."""
        for process in self.processes:
            if process.is_frozen:
                process.thaw()
        await _all(process.terminate() for process in self.gateways)
        await _all(process.kill() for process in self.controllers)


async def _all(ends: Iterable[object]) -> None:
    await asyncio.gather(*ends)  # type: ignore[call-overload]


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
