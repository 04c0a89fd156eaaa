"""Child processes of the demonstration."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import crowseam
from crowseam.cli import demo_files
from crowseam.cli.errors import CommandError

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0  # after SIGTERM, before SIGKILL


class Fleet:
    """The processes of the fleet. Their logs are written beside their settings files."""

    def __init__(self, processes: list[tuple[str, Path]]):
        self._processes = processes
        self._children: dict[Path, subprocess.Popen] = {}

    def start(self, machine_index: int | None = None) -> None:
        """Start the processes of one machine, or of all machines."""
        for role, file in self._processes_of(machine_index):
            with file.with_suffix(".log").open("ab") as log:
                self._children[file] = subprocess.Popen(
                    [sys.executable, "-m", "crowseam", role],
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    env=os.environ | {"CROWSEAM_BOOT": str(file)},
                    cwd=Path(crowseam.__file__).parents[1],
                )

    def kill(self, machine_index: int) -> None:
        """Kill the processes of one machine."""
        for _, file in self._processes_of(machine_index):
            self._children[file].kill()
            self._children[file].wait()

    def exited(self) -> list[str]:
        """Return the settings file names of processes that have exited."""
        return [file.name for file, child in self._children.items() if child.poll() is not None]

    def stop(self) -> None:
        """Terminate all processes; kill those that exceed STOP_TIMEOUT_S."""
        for child in self._children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        for child in self._children.values():
            try:
                child.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    def _processes_of(self, machine_index: int | None) -> list[tuple[str, Path]]:
        return self._processes if machine_index is None else self._processes[2 * machine_index : 2 * machine_index + 2]


def wait_until(action: str, condition: Callable[[], bool], fleet: Fleet) -> None:
    """Wait until `condition()` is true. Raises CommandError after READY_TIMEOUT_S, or if a process has exited."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if exited := fleet.exited():
            raise CommandError(f"{exited[0]}: its process has ended; its log says why")
        if time.monotonic() > deadline:
            raise CommandError(f"{action} took more than {READY_TIMEOUT_S:g} s")
        time.sleep(0.1)


def check_ports_free() -> None:
    """Raise CommandError if an address of the fleet is in use, for example by another demonstration."""
    for machine in demo_files.MACHINES:
        for port in demo_files.PORTS.values():
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((machine, port))
                except OSError as error:
                    raise CommandError(f"{machine}:{port} can't be used: {error.strerror}") from None
