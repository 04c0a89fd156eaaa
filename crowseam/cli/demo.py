"""The demonstration: the small fleet played in real time, by real processes on loopback addresses, and judged.

Stand-in servers and clients run in threads of this process; what they count is behind one short lock.
"""

import contextlib
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Iterable
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

import crowseam
from crowseam.cli import demo_files
from crowseam.cli.errors import CommandError

SHORTEST_S = 10.0  # a shorter day has no room for what happens on it
READY_S = 20.0  # the cell is ready after so long, or isn't at all
WORK_S = 0.02  # a stand-in server's work on a request
RATES = (
    ("kitchen", "GET", "/menu/today", 30),
    ("kitchen", "POST", "/orders/lunch", 10),
    ("pantry", "GET", "/menu/week", 15),
)  # tenant, method, path, requests a second
DEADLINE_S = 2.0  # what a client waits
CLIENTS = 48  # requests of clients that may be open at once
TRIES = 3
WATCH_S = 0.2  # between two looks at which gateways are ready
LEAST_SERVED = 0.95  # of what `kitchen` asks, which is within its quota


class Count(Struct):
    """What became of a tenant's requests, each with all of its tries."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0


class Seen(Struct):
    """All that the judge goes by. Times are seconds of the steady clock."""

    tenants: dict[str, Count] = {}
    served_at: dict[str, list[float]] = {}
    runs: Counter[str] = msgspec.field(default_factory=Counter)  # of each order, by its id
    late_at_left: int = 0  # requests at the server that left, beyond the time allowed
    served_while_down: int = 0
    versions: list[str] = []  # of the configuration, at each controller
    new_route: list[int] = []  # status of the route that was added, at each gateway


def most_within(times: Iterable[float], span: float) -> int:
    """Return how many of `times` lie in the fullest window of `span` seconds."""
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= span:
            first += 1
        most = max(most, last - first + 1)
    return most


def verdict(seen: Seen) -> list[tuple[bool, str]]:
    """Return whether each thing that the day was to show held, and in words what was seen of it."""
    kitchen, pantry = seen.tenants["kitchen"], seen.tenants["pantry"]
    most = most_within(seen.served_at.get("pantry", ()), demo_files.QUOTA_WINDOW_S)
    bound = (demo_files.RATE * demo_files.QUOTA_WINDOW_S + demo_files.BURST) * (
        1.0 + demo_files.QUOTA_EXCESS
    ) + demo_files.QUOTA_SLACK
    twice = sum(count > 1 for count in seen.runs.values())
    return [
        (
            kitchen.served >= LEAST_SERVED * kitchen.asked > 0.0,
            f"within its quota: {kitchen.served} of {kitchen.asked} requests of kitchen were served",
        ),
        (
            pantry.served > 0 and pantry.refused > 0 and most <= bound,
            f"beyond its quota: at most {most} of pantry in {demo_files.QUOTA_WINDOW_S:g} s, where the rule allows "
            f"{bound:g}; {pantry.refused} refused",
        ),
        (bool(seen.runs) and not twice, f"orders: {len(seen.runs)} run, {twice} of them more than once"),
        (
            seen.served_while_down > 0,
            f"machine killed: {seen.served_while_down} requests served by the others until it was back",
        ),
        (
            len(seen.versions) == len(demo_files.MACHINES) and set(seen.versions) == {demo_files.change()["ver"]},
            f"configuration: {', '.join(seen.versions)} at the controllers",
        ),
        (
            seen.new_route == [200] * len(demo_files.MACHINES),
            f"added route: answered with {', '.join(map(str, seen.new_route))} by the gateways",
        ),
        (
            seen.late_at_left == 0,
            f"server taken out: {seen.late_at_left} requests reached it more than {demo_files.DRAIN_S:g} s after",
        ),
    ]


class StandIn(BaseHTTPRequestHandler):
    """A stand-in for a server of the service `menu`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: "StandInServer"

    def do_GET(self) -> None:
        """Answer a request, or turn it away where it was meant for another server."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Target-Instance", self.server.identity)
        told = self.headers.get("X-Attempt-Id")
        if self.path == "/healthz":
            self._answer(200, {}, b"")
        elif expected != self.server.identity:
            self._answer(421, {"X-Not-Run": "1"}, b"")
        elif told is None:
            self._answer(400, {"X-Not-Run": "1"}, b"")
        else:
            self.server.run(self.command, told)
            body = f"menu from {self.server.identity}\n".encode()
            self._answer(200, {"X-Attempt-Id": told, "X-Server-Seal": f"demo.{told}"}, body)

    do_POST = do_GET

    def _answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in (headers | {"X-Instance": self.server.identity}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing: what counts is in Seen."""


class StandInServer(ThreadingHTTPServer):
    """Serves StandIn; the day says when it reports itself and when it leaves."""

    daemon_threads = True
    block_on_close = False

    def __init__(self, zone: str, seen: Seen, lock: threading.Lock):
        super().__init__((demo_files.MACHINES[0], 0), StandIn)
        self.identity = f"i-{uuid.uuid4().hex[:8]}"
        self._zone, self._seen, self._lock = zone, seen, lock
        self._seq = 0
        self.phase = "up"
        self.left_at = float("inf")  # from then on nothing may come

    def run(self, method: str, told: str) -> None:
        """Work on one request."""
        with self._lock:
            self._seen.late_at_left += time.monotonic() > self.left_at
            if method == "POST":
                self._seen.runs[told] += 1
        time.sleep(WORK_S)

    def heartbeat(self) -> bool:
        """Report to the first control address that acknowledges; return whether one did."""
        self._seq += 1
        host, port = self.server_address[:2]
        body = msgspec.json.encode(
            {
                "addr": f"{host}:{port}",
                "summary": {"svc": "menu", "ver": "v1", "az": self._zone, "slots": 4},
                "stat": {"phase": self.phase, "seq": self._seq, "warmup_time": "0ms"},
            }
        )
        return any(
            200 <= call(machine, "ctl", "PUT", f"/-/backends/{self.identity}", body)[0] < 300
            for machine in demo_files.MACHINES
        )

    def leave(self) -> None:
        """Say that it is leaving, until that is acknowledged."""
        self.phase = "draining"
        while not self.heartbeat():
            time.sleep(0.1)
        self.left_at = time.monotonic() + demo_files.DRAIN_S

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing of connections that broke: machines are killed here."""


def call(
    machine: str,
    name: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Make one call to a port of a machine: status, headers, body. Status 0: nothing was sent; 1: cut off."""
    connection = HTTPConnection(machine, demo_files.PORTS[name], timeout=timeout)
    try:
        connection.connect()
    except OSError:
        return 0, {}, b""
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return answer.status, {key.lower(): value for key, value in answer.getheaders()}, answer.read()
    except (OSError, HTTPException):
        return 1, {}, b""
    finally:
        connection.close()


class Clients:
    """Clients of all tenants. Each try goes to another of the gateways that say they are ready."""

    def __init__(self, seen: Seen, lock: threading.Lock):
        self._seen, self._lock = seen, lock
        self._number = 0
        self._todo: queue.SimpleQueue = queue.SimpleQueue()
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._work, daemon=True) for _ in range(CLIENTS)]
        self._threads += [threading.Thread(target=self._ask, args=each, daemon=True) for each in RATES]
        self._threads.append(threading.Thread(target=self._watch, daemon=True))
        self._ready = demo_files.MACHINES

    def start(self) -> None:
        """Begin to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ask no more, and wait for what is under way."""
        self._stop.set()
        for thread in self._threads[CLIENTS:]:
            thread.join()
        for _ in range(CLIENTS):
            self._todo.put(None)
        for thread in self._threads:
            thread.join()

    def _watch(self) -> None:
        # As the platform does, though more often than once a second.
        while not self._stop.wait(WATCH_S):
            self._ready = (
                tuple(each for each in demo_files.MACHINES if call(each, "readyz", "GET", "/-/readyz")[0] == 200)
                or demo_files.MACHINES
            )

    def _ask(self, tenant: str, method: str, path: str, rate: float) -> None:
        at = time.monotonic()
        while not self._stop.wait(max(0.0, at - time.monotonic())):
            at += 1.0 / rate
            self._todo.put((tenant, method, path))

    def _work(self) -> None:
        while (asked := self._todo.get()) is not None:
            self._one(*asked)

    def _one(self, tenant: str, method: str, path: str) -> None:
        with self._lock:
            self._number += 1
            place = self._number
        end, status, tries = time.monotonic() + DEADLINE_S, 0, 0
        while tries < TRIES and (left := end - time.monotonic()) > 0.0:
            place, ready = place + 1, self._ready
            status, told, _ = call(
                ready[place % len(ready)],
                "http",
                method,
                path,
                b"one portion" if method == "POST" else b"",
                {
                    "Host": demo_files.HOST,
                    "Authorization": f"Bearer {demo_files.KEYS[tenant]}",
                    "X-Attempt-Id": uuid.uuid4().hex[:16],
                    "X-Time-Left": str(int(left * 1000)),
                },
                left,
            )
            if status == 0:
                time.sleep(0.01)
                continue  # it has just gone
            if status == 200 or (method == "POST" and status not in (429, 503, 408, 421)):
                break  # what may have run is not ours to send again
            tries += 1
            if status in (429, 503):
                time.sleep(min(float(told.get("retry-after", 0.05)), left / 3.0))
        with self._lock:
            count = self._seen.tenants.setdefault(tenant, Count())
            count.asked += 1
            count.served += status == 200
            count.refused += status in (429, 503)
            count.failed += status not in (200, 429, 503)
            if status == 200:
                self._seen.served_at.setdefault(tenant, []).append(time.monotonic())


class Fleet:
    """The processes of the cell. What they log goes into files beside their settings."""

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
                child.wait(10.0)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    def _of(self, place: int | None) -> list[tuple[str, Path]]:
        return self._processes if place is None else self._processes[2 * place : 2 * place + 2]


def _until(what: str, done: Callable[[], bool], fleet: Fleet) -> None:
    end = time.monotonic() + READY_S
    while not done():
        if ended := fleet.ended():
            raise CommandError(f"{ended[0]}: its process has ended; its log says why")
        if time.monotonic() > end:
            raise CommandError(f"{what} took more than {READY_S:g} s")
        time.sleep(0.1)


def _free() -> None:
    """Raise CommandError where an address of the cell is in use, as by another demonstration."""
    for machine in demo_files.MACHINES:
        for port in demo_files.PORTS.values():
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((machine, port))
                except OSError as error:
                    raise CommandError(f"{machine}:{port} can't be used: {error.strerror}") from None


def _changed(method: str, data: dict[str, Any]) -> bool:
    body = msgspec.json.encode(data)
    return any(call(each, "ctl", method, "/-/config", body)[0] == 200 for each in demo_files.MACHINES)


def play(processes: list[tuple[str, Path]], seconds: float, say: Callable[[str], None]) -> Seen:
    """Play the day, `seconds` of it with clients, and return what was seen. Raises CommandError.

    Ended processes are an error only until the clients begin; after that they show in what was seen.
    """
    _free()
    seen, lock = Seen(), threading.Lock()
    servers = [StandInServer(zone, seen, lock) for zone in ("zone-a", "zone-b", "zone-c")]
    fleet, clients, over = Fleet(processes), Clients(seen, lock), threading.Event()

    def heartbeats() -> None:
        while not over.wait(demo_files.BEAT_S):
            for server in servers:
                if server.phase == "up":
                    server.heartbeat()

    threads = [threading.Thread(target=server.serve_forever, daemon=True) for server in servers]
    threads.append(threading.Thread(target=heartbeats, daemon=True))
    begun = time.monotonic()

    def at(part: float, what: str) -> None:
        time.sleep(max(0.0, begun + part * seconds - time.monotonic()))
        say(f"{time.monotonic() - begun:5.1f} s  {what}")

    try:
        for thread in threads:
            thread.start()
        fleet.start()
        _until("taking the configuration", lambda: _changed("PUT", demo_files.configuration()), fleet)
        _until(
            "getting ready",
            lambda: all(call(each, "readyz", "GET", "/-/readyz")[0] == 200 for each in demo_files.MACHINES),
            fleet,
        )
        say(
            f"{len(processes)} processes on {len(demo_files.MACHINES)} machines are ready after "
            f"{time.monotonic() - begun:.1f} s"
        )
        begun = time.monotonic()
        at(0.0, "clients begin; pantry asks for three times its quota")
        clients.start()
        at(0.25, "both processes of machine 3 are killed")
        fleet.kill(2)
        with lock:
            before = sum(count.served for count in seen.tenants.values())
        at(0.4, "a configuration with one more route is sent while a voter is away")
        _until("taking the change", lambda: _changed("PATCH", demo_files.change()), Fleet([]))
        at(0.55, "machine 3 is started again")
        with lock:
            seen.served_while_down = sum(count.served for count in seen.tenants.values()) - before
        fleet.start(2)
        at(0.7, f"server {servers[0].identity} says that it leaves, and is left")
        servers[0].leave()
        at(1.0, "clients end")
        clients.stop()
        for each in demo_files.MACHINES:
            status, _, body = call(each, "ctl", "GET", "/-/status")
            seen.versions.append(msgspec.json.decode(body)["ver"] if status == 200 else "none")
            seen.new_route.append(
                call(
                    each,
                    "http",
                    "GET",
                    "/notices/",
                    b"",
                    {
                        "Host": demo_files.HOST,
                        "Authorization": f"Bearer {demo_files.KEYS['kitchen']}",
                        "X-Attempt-Id": uuid.uuid4().hex[:16],
                        "X-Time-Left": "2000",
                    },
                    2.0,
                )[0]
            )
        return seen
    finally:
        over.set()
        with contextlib.suppress(KeyboardInterrupt):
            fleet.stop()
        for server in servers:
            server.shutdown()
            server.server_close()
