"""The processes of the demonstration."""

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

READY_S = 20.0  # the fleet is ready after so long, or isn't at all
STOP_S = 10.0  # s that a process has to end before it is killed


class Fleet:
    """The processes of the fleet. What they log goes into files beside their settings."""

    def __init__(self, processes: list[tuple[str, Path]]):
        self._processes = processes
        self._children: dict[Path, subprocess.Popen] = {}

    def start(self, place: int | None = None) -> None:
        """Start the processes of one machine, or all."""
        for role, file in self._of(place):
            with file.with_suffix(".log").open("ab") as log:
                self._children[file] = subprocess.Popen(
                    [sys.executable, "-m", "crowseam", role],
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    env=os.environ | {"CROWSEAM_BOOT": str(file)},
                    cwd=Path(crowseam.__file__).parents[1],
                )

    def kill(self, place: int) -> None:
        """Kill the processes of one machine."""
        for _, file in self._of(place):
            self._children[file].kill()
            self._children[file].wait()

    def ended(self) -> list[str]:
        """Return the settings files of processes that have ended."""
        return [file.name for file, child in self._children.items() if child.poll() is not None]

    def stop(self) -> None:
        """End all processes in order."""
        for child in self._children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
        for child in self._children.values():
            try:
                child.wait(STOP_S)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    def _of(self, place: int | None) -> list[tuple[str, Path]]:
        return self._processes if place is None else self._processes[2 * place : 2 * place + 2]


def wait_until(what: str, done: Callable[[], bool], fleet: Fleet) -> None:
    """Wait until `done()` comes true. Raises CommandError after READY_S, or where a process has ended."""
    end = time.monotonic() + READY_S
    while not done():
        if ended := fleet.ended():
            raise CommandError(f"{ended[0]}: its process has ended; its log says why")
        if time.monotonic() > end:
            raise CommandError(f"{what} took more than {READY_S:g} s")
        time.sleep(0.1)


def check_free() -> None:
    """Raise CommandError where an address of the fleet is in use, as by another demonstration."""
    for machine in demo_files.MACHINES:
        for port in demo_files.PORTS.values():
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((machine, port))
                except OSError as error:
                    raise CommandError(f"{machine}:{port} can't be used: {error.strerror}") from None
