"""The demonstration: the small fleet played in real time, by real processes on loopback addresses, and judged."""

import contextlib
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from crowseam.cli import demo_files
from crowseam.cli.demo_calls import call, ready, request_fields
from crowseam.cli.demo_clients import Clients
from crowseam.cli.demo_processes import Fleet, check_free, wait_until
from crowseam.cli.demo_servers import StandInServer
from crowseam.cli.demo_verdict import Observations

SHORTEST_S = 10.0  # a shorter day has no room for what happens on it
ZONES = ("zone-a", "zone-b", "zone-c")
NEW_ROUTE_S = 2.0  # s that the route which was added has to answer


def _send(method: str, data: dict[str, Any]) -> bool:
    """Send a configuration or a change; whether a controller has taken it."""
    body = msgspec.json.encode(data)
    return any(call(machine, "ctl", method, "/-/config", body).status == 200 for machine in demo_files.MACHINES)


class Demonstration:
    """One day of the small fleet; `seconds` of it with clients."""

    def __init__(self, processes: list[tuple[str, Path]], seconds: float, say: Callable[[str], None]) -> None:
        self.processes, self.seconds, self.say = processes, seconds, say
        self.seen, self.lock = Observations(), threading.Lock()
        self.servers = [StandInServer(zone, self.seen, self.lock) for zone in ZONES]
        self.fleet, self.clients = Fleet(processes), Clients(self.seen, self.lock)
        self.begun = time.monotonic()

    def play(self) -> Observations:
        """Play the day. Raises CommandError.

        Ended processes are an error only until the clients begin; after that they show in what was seen.
        """
        with self._servers_running(), self._fleet_running():
            self._get_ready()
            self.begun = time.monotonic()
            self._at(0.0, "clients begin; pantry asks for three times its quota")
            self.clients.start()
            self._lose_a_machine()
            self._at(0.7, f"server {self.servers[0].identity} says that it leaves, and is left")
            self.servers[0].leave()
            self._at(1.0, "clients end")
            self.clients.stop()
            self._look()
        return self.seen

    @contextmanager
    def _servers_running(self) -> Iterator[None]:
        over = threading.Event()

        def heartbeats() -> None:
            while not over.wait(demo_files.HEARTBEAT_S):
                for server in self.servers:
                    if server.phase == "up":
                        server.heartbeat()

        threads = [threading.Thread(target=server.serve_forever, daemon=True) for server in self.servers]
        threads.append(threading.Thread(target=heartbeats, daemon=True))
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            over.set()
            for server in self.servers:
                server.shutdown()
                server.server_close()

    @contextmanager
    def _fleet_running(self) -> Iterator[None]:
        try:
            self.fleet.start()
            yield
        finally:
            with contextlib.suppress(KeyboardInterrupt):
                self.fleet.stop()

    def _get_ready(self) -> None:
        wait_until("taking the configuration", lambda: _send("PUT", demo_files.configuration()), self.fleet)
        wait_until("getting ready", lambda: all(map(ready, demo_files.MACHINES)), self.fleet)
        self.say(
            f"{len(self.processes)} processes on {len(demo_files.MACHINES)} machines are ready after "
            f"{time.monotonic() - self.begun:.1f} s"
        )

    def _lose_a_machine(self) -> None:
        """A machine is killed, and started again after a change of the configuration."""
        self._at(0.25, "both processes of machine 3 are killed")
        self.fleet.kill(2)
        before = self._served()
        self._at(0.4, "a configuration with one more route is sent while a voter is away")
        wait_until("taking the change", lambda: _send("PATCH", demo_files.change()), Fleet([]))
        self._at(0.55, "machine 3 is started again")
        self.seen.served_while_down = self._served() - before
        self.fleet.start(2)

    def _served(self) -> int:
        with self.lock:
            return sum(count.served for count in self.seen.tenants.values())

    def _look(self) -> None:
        """Ask each machine for its configuration, and for the route that was added."""
        for machine in demo_files.MACHINES:
            status = call(machine, "ctl", "GET", "/-/status")
            self.seen.versions.append(msgspec.json.decode(status.body)["ver"] if status.status == 200 else "none")
            fields = request_fields("kitchen", uuid.uuid4().hex[:16], NEW_ROUTE_S)
            answer = call(machine, "http", "GET", "/notices/", b"", fields, NEW_ROUTE_S)
            self.seen.new_route.append(answer.status)

    def _at(self, part: float, what: str) -> None:
        """Wait until this part of the day is over, and say what comes."""
        time.sleep(max(0.0, self.begun + part * self.seconds - time.monotonic()))
        self.say(f"{time.monotonic() - self.begun:5.1f} s  {what}")


def play(processes: list[tuple[str, Path]], seconds: float, say: Callable[[str], None]) -> Observations:
    """Play a day of `seconds` with clients, and return what was seen. Raises CommandError."""
    check_free()
    return Demonstration(processes, seconds, say).play()
