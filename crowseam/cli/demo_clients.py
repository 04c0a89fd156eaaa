"""Clients of the demonstration, which run in threads; what they count is behind one short lock."""

import queue
import threading
import time
import uuid

from crowseam.cli import demo_files
from crowseam.cli.demo_calls import NOT_SENT, call, ready, request_fields
from crowseam.cli.demo_verdict import Count, Observations

RATES = (
    ("kitchen", "GET", "/menu/today", 30),
    ("kitchen", "POST", "/orders/lunch", 10),
    ("pantry", "GET", "/menu/week", 15),
)  # tenant, method, path, requests a second
DEADLINE_S = 2.0  # what a client waits
CLIENTS = 48  # requests of clients that may be open at once
TRIES = 3
WATCH_S = 0.2  # s between two looks at which gateways are ready
GONE_PAUSE_S = 0.01  # s until another gateway is tried where one has gone
RETRY_PAUSE_S = 0.05  # s until the next try where the answer says nothing
REFUSED = (429, 503)
NOT_RUN = (429, 503, 408, 421)  # statuses of requests that no server has run


class Clients:
    """Clients of all tenants. Each try goes to another of the gateways that say they are ready."""

    def __init__(self, seen: Observations, lock: threading.Lock):
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
            self._ready = tuple(machine for machine in demo_files.MACHINES if ready(machine)) or demo_files.MACHINES

    def _ask(self, tenant: str, method: str, path: str, rate: float) -> None:
        at = time.monotonic()
        while not self._stop.wait(max(0.0, at - time.monotonic())):
            at += 1.0 / rate
            self._todo.put((tenant, method, path))

    def _work(self) -> None:
        while (asked := self._todo.get()) is not None:
            self._one(*asked)

    def _one(self, tenant: str, method: str, path: str) -> None:
        """One request with all its tries; count what became of it."""
        status = self._status(tenant, method, path)
        with self._lock:
            count = self._seen.tenants.setdefault(tenant, Count())
            count.asked += 1
            count.served += status == 200
            count.refused += status in REFUSED
            count.failed += status != 200 and status not in REFUSED
            if status == 200:
                self._seen.served_at.setdefault(tenant, []).append(time.monotonic())

    def _status(self, tenant: str, method: str, path: str) -> int:
        """The status of the last try of a request."""
        with self._lock:
            self._number += 1
            place = self._number
        body = b"one portion" if method == "POST" else b""
        end, status, tries = time.monotonic() + DEADLINE_S, NOT_SENT, 0
        while tries < TRIES and (left := end - time.monotonic()) > 0.0:
            place, machines = place + 1, self._ready
            fields = request_fields(tenant, uuid.uuid4().hex[:16], left)
            answer = call(machines[place % len(machines)], "http", method, path, body, fields, left)
            status = answer.status
            if status == NOT_SENT:
                time.sleep(GONE_PAUSE_S)
                continue
            if status == 200 or (method == "POST" and status not in NOT_RUN):
                break  # what may have run is not ours to send again
            tries += 1
            if status in REFUSED:
                time.sleep(min(float(answer.headers.get("retry-after", RETRY_PAUSE_S)), left / 3.0))
        return status
