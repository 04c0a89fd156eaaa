"""Client of service discovery: fetches the full list of backends, then watches for changes by long polling.

While discovery is unreachable or its answers are invalid, the last known list stays in force.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httptools

from fennelpoint import interface as api
from fennelpoint.net.notice import warn_rate_limited

WATCH_HOLD_S = 2.0  # long-poll hold time; short, so that a dead connection is noticed soon
ANSWER_SLACK_S = 1.0  # added to the hold time before a call times out; the timeout of calls without a hold
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0  # exponential backoff after failures
JITTER_RANGE = (0.5, 1.0)  # random factor of waits, so that ingresses do not call in step
# Average time between two calls of the whole fleet, if all ingresses call one discovery service.
FLEET_CALL_INTERVAL_S = 0.25
MAX_BACKOFF_FACTOR = 4  # upper limit of the backoff, in poll intervals
MAX_LIST_BYTES = 8 * 1024 * 1024
STATE_OF_PHASE = {
    "up": api.BackendState.READY,
    "draining": api.BackendState.DRAINING,
    "removed": api.BackendState.GONE,
}

Address = tuple[str, int]


class ListError(ValueError):
    """An invalid list or address; the message names the field."""


@dataclass(slots=True)
class DiscoveryUpdate:
    """One answer of discovery: a roster and the addresses of its backends."""

    roster: api.Roster
    addresses: dict[str, Address]


def parse_address(text: object, where: str) -> Address:
    """Parse IPV4:PORT; host names are not supported."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isascii() and part.isdigit() and int(part) < 256 for part in parts):
        raise ListError(f"{where}: {text!r} is not an IPv4 address with a port")
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ListError(f"{where}: {text!r} has no valid port")
    return host, int(port)


def _parse_number(value: object, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < math.inf:
        raise ListError(f"{where}: {value!r} is not a finite number of 0 or more")
    return float(value)


def _index_of(names: list[str], value: object) -> int:
    """Index of a zone or kind in the settings; an unknown one is past the end."""
    return names.index(value) if value in names else len(names)


def parse_member(
    value: object, settings: api.Settings, where: str
) -> tuple[api.BackendEntry, Address | None]:
    """Parse one backend of a list."""
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    name, phase = value.get("id"), value.get("phase")
    if not isinstance(name, str) or not name:
        raise ListError(f"{where}.id: {name!r} is not a non-empty string")
    if not isinstance(phase, str) or phase not in STATE_OF_PHASE:
        raise ListError(f"{where}.phase: {phase!r} is not one of {', '.join(STATE_OF_PHASE)}")
    state = STATE_OF_PHASE[phase]
    gone = state is api.BackendState.GONE  # its other fields are not needed
    address = None if gone else parse_address(value.get("host_port"), f"{where}.host_port")
    started = 0.0 if gone else _parse_number(value.get("up_since_ms", 0), f"{where}.up_since_ms") / 1000.0
    weight = 1.0 if gone else _parse_number(value.get("size", 1.0), f"{where}.size")
    cell = 0 if gone else int(_parse_number(value.get("cell", 0), f"{where}.cell"))
    return api.BackendEntry(
        name,
        state,
        started,
        _index_of(settings.zones, value.get("locality")),
        cell,
        _index_of(settings.kinds, value.get("flavor")),
        weight,
    ), address


def parse_list(
    value: object, settings: api.Settings, known: dict[str, Address] | None = None, where: str = "list"
) -> DiscoveryUpdate:
    """Parse a full list or a list of changes.

    An invalid member is skipped, so that its backend stays as it is known. In a full list, an invalid entry
    of a known backend raises ListError, as skipping it would remove the backend.
    """
    if not isinstance(value, dict):
        raise ListError(f"{where} is not an object")
    revision, complete, members = value.get("revision"), value.get("complete"), value.get("members")
    if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
        raise ListError(f"{where}.revision: {revision!r} is not a whole number of 0 or more")
    if not isinstance(complete, bool):
        raise ListError(f"{where}.complete: {complete!r} is neither true nor false")
    if not isinstance(members, list):
        raise ListError(f"{where}.members is not a list")
    entries, addresses = {}, {}
    for index, member in enumerate(members):
        try:
            entry, address = parse_member(member, settings, f"{where}.members[{index}]")
        except ListError as error:
            name = member.get("id") if isinstance(member, dict) else None
            if complete and isinstance(name, str) and name in (known or {}):
                raise  # skipping it would remove the backend
            warn_rate_limited("discovery", "entry skipped: %s", error)
            continue
        entries[entry.backend] = entry
        if address is not None:
            addresses[entry.backend] = address
    kind = api.RosterKind.FULL if complete else api.RosterKind.CHANGES
    return DiscoveryUpdate(api.Roster(kind, revision, list(entries.values())), addresses)


class DiscoveryWatch(asyncio.Protocol):
    """Watches discovery over one connection at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        settings: api.Settings,
        on_update: Callable[[api.Roster, dict[str, Address]], None],
        seed: int,
    ) -> None:
        self.loop, self.address, self.settings, self.on_update = loop, address, settings, on_update
        self.random, self.hold_s, self.answer_slack_s, self.max_initial_delay_s = (
            Random(seed),
            WATCH_HOLD_S,
            ANSWER_SLACK_S,
            0.0,
        )
        self.min_backoff_s, self.max_backoff_s = MIN_BACKOFF_S, MAX_BACKOFF_S
        if settings.discovery == "ask":
            # The discovery service of the whole fleet keeps working on calls that have timed out. If calls
            # arrive faster than it can serve them, it recovers only if clients back off far enough.
            self.max_initial_delay_s = self.min_backoff_s = settings.ingresses * FLEET_CALL_INTERVAL_S
            self.hold_s, self.answer_slack_s = (
                max(WATCH_HOLD_S, settings.poll_interval),
                WATCH_HOLD_S + ANSWER_SLACK_S,
            )
            self.max_backoff_s = max(
                MAX_BACKOFF_S, self.max_initial_delay_s, MAX_BACKOFF_FACTOR * settings.poll_interval
            )
        self.known_addresses: dict[str, Address] = {}
        self.revision: int | None = None  # of the last list received from discovery
        self.backoff_s = self.min_backoff_s
        self.stopped = False
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.body: list[bytes] = []
        self.received_bytes = 0
        self.complete = self.keep_alive = False

    def start(self) -> None:
        """Start watching: after a random delay if a usable list is known, else at once."""
        wait = self.max_initial_delay_s * self.random.random() if self.revision is not None else 0.0
        self.timer = self.loop.call_later(wait, self._send_request)

    def stop(self) -> None:
        self.stopped = True
        self._disconnect()

    def apply(self, update: DiscoveryUpdate) -> None:
        """Apply a list and pass it on."""
        if update.roster.kind is api.RosterKind.CACHED and self.settings.discovery == "ask":
            # Avoids fetching the full list, which is expensive unless a local agent serves it.
            self.revision = update.roster.version
        if update.roster.kind is not api.RosterKind.CHANGES:
            self.known_addresses = {}
        for entry in update.roster.entries:
            self.known_addresses.pop(entry.backend, None)
        self.known_addresses.update(update.addresses)
        self.on_update(update.roster, update.addresses)

    def _disconnect(self) -> None:
        """Close or abandon the connection, in any state."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()

    def _send_request(self) -> None:
        """Send the next call on the open connection, or open one first."""
        if self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        wait = self.hold_s * self.random.uniform(*JITTER_RANGE) if self.revision is not None else 0.0
        self.timer = self.loop.call_later(wait + self.answer_slack_s, self._retry_later, "call timed out")
        if self.transport is None:
            task = self.connecting = self.loop.create_task(
                self.loop.create_connection(lambda: self, *self.address)
            )
            task.add_done_callback(self._connected)
            return
        self.body, self.received_bytes, self.complete = [], 0, False
        self.parser = httptools.HttpResponseParser(self)
        query = f"?from={self.revision}&hold_ms={wait * 1000:.0f}" if self.revision is not None else ""
        self.transport.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _connected(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.connecting is not task:
            return
        self.connecting = None
        if (error := task.exception()) is not None:
            self._retry_later(f"cannot connect ({error})")

    def _retry_later(self, reason: str) -> None:
        """Keep the known list and retry after a backoff."""
        if self.stopped:
            return
        warn_rate_limited("discovery", "%s", reason)
        self._disconnect()
        self.timer = self.loop.call_later(
            self.backoff_s * self.random.uniform(*JITTER_RANGE), self._send_request
        )
        self.backoff_s = min(self.max_backoff_s, 2 * self.backoff_s)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.connecting, self.transport = None, transport
        self._send_request()

    def data_received(self, data: bytes) -> None:
        if self.transport is None:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            return self._retry_later(f"invalid answer ({error})")
        if self.received_bytes > MAX_LIST_BYTES:
            return self._retry_later("answer too large")
        if self.complete:
            self._handle_answer()

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.complete, self.keep_alive = True, self.parser.should_keep_alive()

    def _handle_answer(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            return self._retry_later(f"unexpected status {status}")
        try:
            update = parse_list(json.loads(b"".join(self.body)), self.settings, self.known_addresses)
        except (ValueError, RecursionError) as error:
            return self._retry_later(f"invalid answer ({error})")
        if update.roster.kind is api.RosterKind.CHANGES and self.revision is None:
            return self._retry_later("sent changes although the full list was requested")
        has_changes = update.roster.kind is api.RosterKind.FULL or update.roster.entries
        self.revision, self.backoff_s = update.roster.version, self.min_backoff_s
        if not self.keep_alive:
            transport, self.transport = self.transport, None
            transport.abort()
        self._send_request()  # first, since a watch expires if the next call is late
        if has_changes:
            self.apply(update)

    def connection_lost(self, error: Exception | None) -> None:
        if self.transport is not None:  # else it was closed on purpose
            self.transport = None
            self._retry_later("connection closed")
