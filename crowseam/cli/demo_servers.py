"""Stand-in servers of the demonstration, which run in threads; what they count is behind one short lock."""

import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

from crowseam.cli import demo_files
from crowseam.cli.demo_calls import call
from crowseam.cli.demo_verdict import Observations

WORK_S = 0.02  # s of a server's work on a request
LEAVE_PAUSE_S = 0.1  # s between two attempts to say that it leaves


class ServerHandler(BaseHTTPRequestHandler):
    """Answers requests as a server of the service `menu` does."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: "StandInServer"

    def do_GET(self) -> None:  # noqa: N802 - the name that http.server calls
        """Answer a request, or turn it away where it was meant for another server."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        expected = self.headers.get("X-Target-Instance", self.server.identity)
        attempt = self.headers.get("X-Attempt-Id")
        if self.path == "/healthz":
            self._answer(200, {}, b"")
        elif expected != self.server.identity:
            self._answer(421, {"X-Not-Run": "1"}, b"")
        elif attempt is None:
            self._answer(400, {"X-Not-Run": "1"}, b"")
        else:
            self.server.run(self.command, attempt)
            body = f"menu from {self.server.identity}\n".encode()
            self._answer(200, {"X-Attempt-Id": attempt, "X-Server-Seal": f"demo.{attempt}"}, body)

    do_POST = do_GET  # noqa: N815 - the name that http.server calls

    def _answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.send_response(status)
        for name, value in (headers | {"X-Instance": self.server.identity}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing: what counts is in `Observations`."""


class StandInServer(ThreadingHTTPServer):
    """A stand-in for a server; the demonstration says when it sends a heartbeat and when it leaves."""

    daemon_threads = True
    block_on_close = False

    def __init__(self, zone: str, seen: Observations, lock: threading.Lock):
        super().__init__((demo_files.MACHINES[0], 0), ServerHandler)
        self.identity = f"i-{uuid.uuid4().hex[:8]}"
        self._zone, self._seen, self._lock = zone, seen, lock
        self._seq = 0
        self.phase = "up"
        self.left_at = float("inf")  # from then on nothing may come

    def run(self, method: str, attempt: str) -> None:
        """Work on one request."""
        with self._lock:
            self._seen.late_at_left += time.monotonic() > self.left_at
            if method == "POST":
                self._seen.runs[attempt] += 1
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
        path = f"/-/backends/{self.identity}"
        return any(call(machine, "ctl", "PUT", path, body).ok for machine in demo_files.MACHINES)

    def leave(self) -> None:
        """Say that it is leaving, until that is acknowledged."""
        self.phase = "draining"
        while not self.heartbeat():
            time.sleep(LEAVE_PAUSE_S)
        self.left_at = time.monotonic() + demo_files.DRAIN_S

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing of connections that broke: machines are killed here."""
