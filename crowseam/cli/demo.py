"""The demonstration: runs a small fleet of real processes on loopback addresses and records what clients observe."""

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
from crowseam.cli.demo_calls import call, is_ready, request_headers
from crowseam.cli.demo_clients import Clients
from crowseam.cli.demo_processes import Fleet, check_ports_free, wait_until
from crowseam.cli.demo_servers import StubServer
from crowseam.cli.demo_verdict import Observations

MIN_DURATION_S = 10.0  # the scripted events need this long
ZONES = ("zone-a", "zone-b", "zone-c")
NEW_ROUTE_TIMEOUT_S = 2.0


def _send_configuration(method: str, data: dict[str, Any]) -> bool:
    """Send a configuration (PUT or PATCH) and return whether a controller has accepted it."""
    body = msgspec.json.encode(data)
    return any(call(machine, "ctl", method, "/-/config", body).status == 200 for machine in demo_files.MACHINES)


class Demonstration:
    """One run of the small fleet, with client traffic for `seconds`."""

    def __init__(
        self, processes: list[tuple[str, Path]], seconds: float, print_progress: Callable[[str], None]
    ) -> None:
        self.processes, self.seconds, self.print_progress = processes, seconds, print_progress
        self.observations, self.lock = Observations(), threading.Lock()
        self.servers = [StubServer(zone, self.observations, self.lock) for zone in ZONES]
        self.fleet, self.clients = Fleet(processes), Clients(self.observations, self.lock)
        self.started_at = time.monotonic()

    def run(self) -> Observations:
        """Run the demonstration. Raises CommandError.

        A process that exits is an error only until the clients start; later exits show in the observations.
        """
        with self._servers_running(), self._fleet_running():
            self._wait_until_ready()
            self.started_at = time.monotonic()
            self._wait_for_phase(0.0, "clients begin; pantry asks for three times its quota")
            self.clients.start()
            self._kill_and_restart_machine()
            self._wait_for_phase(0.7, f"server {self.servers[0].identity} says that it leaves, and is left")
            self.servers[0].leave()
            self._wait_for_phase(1.0, "clients end")
            self.clients.stop()
            self._collect_final_state()
        return self.observations

    @contextmanager
    def _servers_running(self) -> Iterator[None]:
        stopped = threading.Event()

        def heartbeats() -> None:
            while not stopped.wait(demo_files.HEARTBEAT_S):
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
            stopped.set()
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

    def _wait_until_ready(self) -> None:
        wait_until(
            "taking the configuration", lambda: _send_configuration("PUT", demo_files.configuration()), self.fleet
        )
        wait_until("getting ready", lambda: all(map(is_ready, demo_files.MACHINES)), self.fleet)
        self.print_progress(
            f"{len(self.processes)} processes on {len(demo_files.MACHINES)} machines are ready after "
            f"{time.monotonic() - self.started_at:.1f} s"
        )

    def _kill_and_restart_machine(self) -> None:
        """Kill a machine, change the configuration, and start the machine again."""
        self._wait_for_phase(0.25, "both processes of machine 3 are killed")
        self.fleet.kill(2)
        served_before = self._served_count()
        self._wait_for_phase(0.4, "a configuration with one more route is sent while a voter is away")
        wait_until(
            "taking the change", lambda: _send_configuration("PATCH", demo_files.configuration_patch()), Fleet([])
        )
        self._wait_for_phase(0.55, "machine 3 is started again")
        self.observations.served_while_down = self._served_count() - served_before
        self.fleet.start(2)

    def _served_count(self) -> int:
        with self.lock:
            return sum(counts.served for counts in self.observations.tenants.values())

    def _collect_final_state(self) -> None:
        """Record the configuration version and the status of the added route on each machine."""
        for machine in demo_files.MACHINES:
            status = call(machine, "ctl", "GET", "/-/status")
            self.observations.versions.append(
                msgspec.json.decode(status.body)["ver"] if status.status == 200 else "none"
            )
            headers = request_headers("kitchen", uuid.uuid4().hex[:16], NEW_ROUTE_TIMEOUT_S)
            response = call(machine, "http", "GET", "/notices/", b"", headers, NEW_ROUTE_TIMEOUT_S)
            self.observations.new_route.append(response.status)

    def _wait_for_phase(self, fraction: float, event: str) -> None:
        """Wait until this fraction of the run is over, then print the next event."""
        time.sleep(max(0.0, self.started_at + fraction * self.seconds - time.monotonic()))
        self.print_progress(f"{time.monotonic() - self.started_at:5.1f} s  {event}")


def run_demonstration(
    processes: list[tuple[str, Path]], seconds: float, print_progress: Callable[[str], None]
) -> Observations:
    """Run the demonstration with client traffic for `seconds` and return the observations. Raises CommandError."""
    check_ports_free()
    return Demonstration(processes, seconds, print_progress).run()
