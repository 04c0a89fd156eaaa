"""Clients of the demonstration. They run in threads; a lock guards the shared observations."""

import queue
import threading
import time
import uuid

from crowseam.cli import demo_files
from crowseam.cli.demo_calls import NOT_SENT, call, is_ready, request_headers
from crowseam.cli.demo_verdict import Observations, RequestCounts

WORKLOADS = (
    ("kitchen", "GET", "/menu/today", 30),
    ("kitchen", "POST", "/orders/lunch", 10),
    ("pantry", "GET", "/menu/week", 15),
)  # tenant, method, path, requests per second
REQUEST_DEADLINE_S = 2.0
WORKERS = 48  # maximum number of client requests in flight
MAX_ATTEMPTS = 3
READINESS_POLL_S = 0.2
CONNECT_RETRY_PAUSE_S = 0.01  # after a failed connection
DEFAULT_RETRY_PAUSE_S = 0.05  # if the response has no Retry-After
REFUSED_STATUSES = (429, 503)
NOT_EXECUTED_STATUSES = (429, 503, 408, 421)  # no server has executed the request


class Clients:
    """Clients of all tenants. Each attempt goes to the next of the gateways that report ready."""

    def __init__(self, observations: Observations, lock: threading.Lock):
        self._observations, self._lock = observations, lock
        self._request_count = 0
        self._requests: queue.SimpleQueue = queue.SimpleQueue()
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run_worker, daemon=True) for _ in range(WORKERS)]
        self._threads += [
            threading.Thread(target=self._generate_requests, args=workload, daemon=True) for workload in WORKLOADS
        ]
        self._threads.append(threading.Thread(target=self._poll_readiness, daemon=True))
        self._ready_gateways = demo_files.MACHINES

    def start(self) -> None:
        """Start sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for those in flight."""
        self._stop.set()
        for thread in self._threads[WORKERS:]:
            thread.join()
        for _ in range(WORKERS):
            self._requests.put(None)
        for thread in self._threads:
            thread.join()

    def _poll_readiness(self) -> None:
        # The platform polls readiness in the same way, but only once per second.
        while not self._stop.wait(READINESS_POLL_S):
            self._ready_gateways = (
                tuple(machine for machine in demo_files.MACHINES if is_ready(machine)) or demo_files.MACHINES
            )

    def _generate_requests(self, tenant: str, method: str, path: str, rate: float) -> None:
        next_at = time.monotonic()
        while not self._stop.wait(max(0.0, next_at - time.monotonic())):
            next_at += 1.0 / rate
            self._requests.put((tenant, method, path))

    def _run_worker(self) -> None:
        while (request := self._requests.get()) is not None:
            self._perform(*request)

    def _perform(self, tenant: str, method: str, path: str) -> None:
        """Perform one request, including retries, and count its outcome."""
        status = self._send_with_retries(tenant, method, path)
        with self._lock:
            counts = self._observations.tenants.setdefault(tenant, RequestCounts())
            counts.asked += 1
            counts.served += status == 200
            counts.refused += status in REFUSED_STATUSES
            counts.failed += status != 200 and status not in REFUSED_STATUSES
            if status == 200:
                self._observations.served_at.setdefault(tenant, []).append(time.monotonic())

    def _send_with_retries(self, tenant: str, method: str, path: str) -> int:
        """Return the status of the last attempt of a request."""
        with self._lock:
            self._request_count += 1
            gateway_index = self._request_count
        body = b"one portion" if method == "POST" else b""
        deadline, status, attempts = time.monotonic() + REQUEST_DEADLINE_S, NOT_SENT, 0
        while attempts < MAX_ATTEMPTS and (remaining_s := deadline - time.monotonic()) > 0.0:
            gateway_index, gateways = gateway_index + 1, self._ready_gateways
            headers = request_headers(tenant, uuid.uuid4().hex[:16], remaining_s)
            response = call(gateways[gateway_index % len(gateways)], "http", method, path, body, headers, remaining_s)
            status = response.status
            if status == NOT_SENT:
                time.sleep(CONNECT_RETRY_PAUSE_S)
                continue
            if status == 200 or (method == "POST" and status not in NOT_EXECUTED_STATUSES):
                break  # an unsafe request that a server may have run is not retried
            attempts += 1
            if status in REFUSED_STATUSES:
                time.sleep(min(float(response.headers.get("retry-after", DEFAULT_RETRY_PAUSE_S)), remaining_s / 3.0))
        return status
