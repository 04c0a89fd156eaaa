"""Virtual time, links, configuration and observations of the scripted peers of the model check of callers.

Their random decisions come from the schedule's seed. Times are seconds of virtual time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from hashlib import blake2s
from typing import Any

import msgspec

from crowseam.model_checks.schedules import Violation
from crowseam.simulator.world.loop import World
from crowseam.simulator.world.network import Network

MAX_TRIES = 3  # of each route
CLIENT_TIME_LEFT_S = 1.0  # sent as X-Time-Left
LINK_DELAY_S = 0.001  # one way
HOST = "callers.example"
GATEWAY, CONTROLLER = "10.0.0.1", "10.0.0.2"
SERVERS = ("i-1", "i-2", "i-3")
TENANTS = ("north", "south")
BODY_PREFIXES = (b"safe-", b"once-", b"long-", b"kept-", b"none")  # of answers by servers
UNSAFE_KINDS = ("once", "long")  # of routes whose requests run at most once for each attempt
LONG_TIMEOUT_MS = 4000  # of the routes for slow uploads
NOT_RUN_STATUSES = frozenset((429, 503, 408, 421))
FAULTS = ("reset", "close", "rest late", "garbage", "silence")
GARBAGE = b"\x00\x16 no answer\r\n\r\nHTTP/9"
LARGE_BODY_BYTES = 70_000  # too large to be buffered


def content_seal(attempt: str, body: bytes) -> str:
    """The seal of a scripted server's answer: the attempt id and a digest of the body."""
    return f"{attempt}.{blake2s(body, digest_size=6).hexdigest()}"


def configuration() -> bytes:
    """The configuration: routes, a service and tenants."""

    def item(group: str, name: str, **spec: Any) -> dict:
        return {"type": group, "meta": {"name": name}, "spec": spec}

    common = {"vhost": HOST, "timeout": "1000ms", "target_time": "200ms", "tries": MAX_TRIES, "svc": "s"}
    slow = common | {"timeout": f"{LONG_TIMEOUT_MS}ms"}
    objs = [
        item("svcs", "s", hc_path="/", maxconn=0),
        item("routes", "safe", prefix="/safe/", kind="safe", public=True, **common),
        item("routes", "once", prefix="/once/", kind="unsafe", public=True, **common),
        item("routes", "kept", prefix="/kept/", kind="safe", **common),
        item("routes", "long", prefix="/long/", kind="unsafe", public=True, **slow),
        item("routes", "idem", prefix="/idem/", kind="idem", public=True, **slow),
    ]
    objs += [item("tenants", name, apikeys=[f"key-{name}"], rate_per_s=1.0, burst=1.0) for name in TENANTS]
    return msgspec.json.encode({"ver": "00000001", "parent": "00000000", "objs": objs})


class ScriptedWorld(World):
    """Virtual time, links, and the observations of the scripted peers."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.outcomes: Counter = Counter()
        self.network = Network(self, lambda a, b: LINK_DELAY_S, lambda ip: "")
        self.environment.loop.network = self.network
        self.faults: list[str] = []
        self.server_receipts: dict[str, list[tuple[str, bool]]] = {}  # by attempt: server, whether it ran the request
        self.client_statuses: dict[str, list[int]] = {}  # by attempt: statuses of complete answers
        self.operation_runs: dict[str, list[str]] = {}  # by key of a keyed operation: attempts that ran
        self.corrupted: set[str] = set()  # attempts with a body corrupted within valid framing
        self.attempt_count = 0

    @property
    def events(self) -> int:
        """The number of callbacks run so far."""
        return self.callbacks_run

    def report_fault(self, text: str) -> None:
        """Record a violation; only the first is raised."""
        self.faults.append(f"at {self.now:.4f}s {text}")

    def on_log_event(self, event: str, **fields: object) -> None:
        """Handle a log event of the code under check: internal failures are violations."""
        if event.endswith("_failed"):
            self.report_fault(f"{event}: {fields.get('trace')}")

    def new_attempt_id(self, kind: str) -> str:
        """Return a new attempt id, which begins with the kind of its route."""
        self.attempt_count += 1
        return f"{kind}-{self.attempt_count:04d}-{self.rng.getrandbits(24):06x}"

    def later(self, delay: float, callback: Callable, *args: object) -> None:
        """Call `callback` in `delay` seconds, outside of all simulated processes."""
        self.schedule(self.now + delay, self.environment, callback, args)

    def check_rules(self) -> None:
        """Check the observations against the rules; raises Violation."""
        for attempt, receipts in self.server_receipts.items():
            ran = [name for name, run in receipts if run]
            if attempt.startswith(UNSAFE_KINDS) and len(ran) > 1:
                self.report_fault(f"{attempt} ran at {', '.join(ran)}")
            if len(receipts) > MAX_TRIES:
                self.report_fault(f"{attempt} was received by servers {len(receipts)} times")
            if ran and NOT_RUN_STATUSES.intersection(self.client_statuses.get(attempt, ())):
                self.report_fault(f"{attempt} ran, and its client was answered {self.client_statuses[attempt]}")
        for key, attempts in self.operation_runs.items():
            if len(attempts) > 1:
                self.report_fault(f"the operation {key} ran {len(attempts)} times, as {', '.join(attempts)}")
        for attempt, statuses in self.client_statuses.items():
            if len(statuses) > 1:
                self.report_fault(f"{attempt} was answered {statuses}")
        if self.faults or self.failures:
            raise Violation([*self.faults, *self.failures][0])
