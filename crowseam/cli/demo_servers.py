"""Stub servers of the demonstration. They run in threads; a lock guards the shared observations."""

import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

from crowseam.cli import demo_files
from crowseam.cli.demo_calls import call
from crowseam.cli.demo_verdict import Observations

SERVICE_TIME_S = 0.02  # simulated processing time of a request
LEAVE_RETRY_PAUSE_S = 0.1  # between two attempts to announce that the server leaves


class StubHandler(BaseHTTPRequestHandler):
    """Answers requests as a server of the service `menu`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: "StubServer"

    def do_GET(self) -> None:  # noqa: N802 - the name that http.server calls
        """Answer a request, or reject it with 421 if it is meant for another server instance."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Target-Instance", self.server.identity)
        attempt_id = self.headers.get("X-Attempt-Id")
        if self.path == "/healthz":
            self._answer(200, {}, b"")
        elif expected != self.server.identity:
            self._answer(421, {"X-Not-Run": "1"}, b"")
        elif attempt_id is None:
            self._answer(400, {"X-Not-Run": "1"}, b"")
        else:
            self.server.execute(self.command, attempt_id)
            body = f"menu from {self.server.identity}\n".encode()
            self._answer(200, {"X-Attempt-Id": attempt_id, "X-Server-Seal": f"demo.{attempt_id}"}, body)

    do_POST = do_GET  # noqa: N815 - the name that http.server calls

    def _answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in (headers | {"X-Instance": self.server.identity}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""


class StubServer(ThreadingHTTPServer):
    """A server instance whose heartbeats and departure are controlled by the demonstration."""

    daemon_threads = True
    block_on_close = False

    def __init__(self, zone: str, observations: Observations, lock: threading.Lock):
        super().__init__((demo_files.MACHINES[0], 0), StubHandler)
        self.identity = f"i-{uuid.uuid4().hex[:8]}"
        self._zone, self._observations, self._lock = zone, observations, lock
        self._seq = 0
        self.phase = "up"
        self.late_after = float("inf")  # requests after this time are late

    def execute(self, method: str, attempt_id: str) -> None:
        """Simulate the processing of one request and record it."""
        with self._lock:
            self._observations.late_at_left += time.monotonic() > self.late_after
            if method == "POST":
                self._observations.runs[attempt_id] += 1
        time.sleep(SERVICE_TIME_S)

    def heartbeat(self) -> bool:
        """Send a heartbeat to the first control address that acknowledges; return whether one did."""
        self._seq += 1
        host, port = self.server_address[:2]
        body = msgspec.json.encode(
            {
                "addr": f"{host}:{port}",
                "summary": {"svc": "menu", "ver": "v1", "az": self._zone, "slots": 4},
                "stat": {"phase": self.phase, "seq": self._seq, "warmup_time": "0ms"},
            }
        )
        path = f"/-/backends/{self.identity}"
        return any(call(machine, "ctl", "PUT", path, body).ok for machine in demo_files.MACHINES)

    def leave(self) -> None:
        """Announce that the server leaves, and repeat until a controller acknowledges."""
        self.phase = "draining"
        while not self.heartbeat():
            time.sleep(LEAVE_RETRY_PAUSE_S)
        self.late_after = time.monotonic() + demo_files.DRAIN_S

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections, which are expected when a machine is killed."""
