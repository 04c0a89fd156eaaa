"""Wire codec and loop: `python -m fennelpoint.adapter` hosts instances of the decision module.

Reads batches of events from standard input and writes one reply per batch to standard output.
It only translates between the wire format and `fennelpoint.interface`.
"""

from __future__ import annotations

import math
import struct
import sys
from collections.abc import Callable
from typing import BinaryIO

from fennelpoint import interface as api
from fennelpoint.control import Controller
from fennelpoint.settings import from_lines

BATCH_HEADER = struct.Struct(">IdI")
REPLY_HEADER = struct.Struct(">II")
RECORD_HEADER = struct.Struct(">BI")
ENTRY = struct.Struct(">HdBH6sBf")
EVERY_PEER = 0xFFFFFFFF

STATUSES = {
    100: api.Status.OK,
    301: api.Status.ERROR,
    302: api.Status.FULL,
    303: api.Status.TIMEOUT,
    304: api.Status.CONNECT_FAILED,
    305: api.Status.RESET,
    306: api.Status.CANCELLED,
    307: api.Status.NOT_SENT,
}
STATES = {0: api.BackendState.GONE, 1: api.BackendState.READY, 3: api.BackendState.DRAINING}
ROSTER_KINDS = {
    0: api.RosterKind.CHANGES,
    1: api.RosterKind.FULL,
    2: api.RosterKind.CACHED,
    3: api.RosterKind.FAILED,
}
FLAG_RETRY, FLAG_WRITE = 2, 4


class WireError(Exception):
    """The input does not follow the wire format; the message says how, and in which batch and record."""


# Events: from the bytes of a record to events of the interface.


class Reader:
    """Reads the fields of one record and checks that they fill it exactly."""

    def __init__(self, data: bytes, where: str) -> None:
        self.data, self.where, self.offset = data, where, 0

    def take(self, layout: str) -> tuple:
        size = struct.calcsize(">" + layout)
        return struct.unpack(">" + layout, self.raw(size))

    def raw(self, size: int) -> bytes:
        end = self.offset + size
        if end > len(self.data):
            raise WireError(f"{self.where}: fields need {end} bytes, the record has {len(self.data)}")
        piece = self.data[self.offset : end]
        self.offset = end
        return piece

    def report(self) -> list[float]:
        (count,) = self.take("B")
        values = list(self.take(f"{count}f"))
        if not all(map(math.isfinite, values)):
            raise WireError(f"{self.where}: a load report of {values} is not finite")
        return values

    def lookup(self, table: dict, code: int, what: str):
        if code not in table:
            raise WireError(f"{self.where}: unknown {what} {code}")
        return table[code]

    def amount(self, value: float, what: str) -> float:
        """Return a value after checking that it is finite and not negative."""
        if not 0.0 <= value < math.inf:
            raise WireError(f"{self.where}: {what} {value} is not a finite figure of 0 or more")
        return value

    def finish(self) -> None:
        if self.offset != len(self.data):
            raise WireError(f"{self.where}: fields end at {self.offset} of {len(self.data)} bytes")


def _roster(reader: Reader) -> api.Roster:
    kind, version, count = reader.take("BQI")
    entries = []
    for _ in range(count):
        kind_index, started, zone, cell, backend, state, weight = ENTRY.unpack(reader.raw(ENTRY.size))
        entries.append(
            api.BackendEntry(
                backend,
                reader.lookup(STATES, state, "backend state"),
                started,
                zone,
                cell,
                kind_index,
                weight,
            )
        )
    return api.Roster(reader.lookup(ROSTER_KINDS, kind, "list form"), version, entries)


def _request(reader: Reader) -> api.Request:
    request, cls, plan, customer, time_left, units, spread, first_ingress, flags = reader.take("IBIQdfffB")
    for value, what in (
        (time_left, "time left"),
        (units, "units"),
        (spread, "spread"),
        (first_ingress, "first ingress"),
    ):
        reader.amount(value, what)
    return api.Request(
        request,
        cls,
        plan,
        customer,
        time_left,
        units,
        spread,
        first_ingress,
        bool(flags & FLAG_RETRY),
        bool(flags & FLAG_WRITE),
    )


def _outcome(reader: Reader) -> api.Outcome:
    request, request_ended, backend, latency, code, attempt, metered, units = reader.take("IB6sdHHHH")
    return api.Outcome(
        request,
        attempt,
        backend,
        reader.lookup(STATUSES, code, "status"),
        reader.amount(latency, "latency"),
        bool(request_ended),
        metered,
        units,
        reader.report(),
    )


def _stream_started(reader: Reader) -> api.StreamStarted:
    return api.StreamStarted(*reader.take("IH6sd"))


def _client_gone(reader: Reader) -> api.ClientGone:
    return api.ClientGone(*reader.take("I"))


def _timer_due(reader: Reader) -> api.TimerDue:
    return api.TimerDue(*reader.take("I"))


def _probe_result(reader: Reader) -> api.ProbeResult:
    backend, code, latency = reader.take("6sHd")
    status = reader.lookup(STATUSES, code, "status")
    return api.ProbeResult(backend, status, reader.amount(latency, "latency"), reader.report())


def _peer_message(reader: Reader) -> api.PeerMessage:
    sender, size = reader.take("HH")
    return api.PeerMessage(sender, reader.raw(size))


def _counter_reply(reader: Reader) -> api.CounterReply:
    key, code, total, latency = reader.take("QHfd")
    status = reader.lookup(STATUSES, code, "status")
    if not math.isfinite(total):
        raise WireError(f"{reader.where}: total {total} is not finite")
    return api.CounterReply(key, status, total, reader.amount(latency, "latency"))


SPAWN, DETACH = 30, 70
EVENTS = {
    10: _peer_message,
    20: _client_gone,
    40: _probe_result,
    50: _roster,
    60: _stream_started,
    80: _request,
    90: _counter_reply,
    100: _outcome,
    110: _timer_due,
}


# Actions: from actions of the interface to the bytes of a record.


def _string(text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return struct.pack(">H", len(data)) + data


def _peer_send(action: api.SendPeerMessage) -> tuple[int, bytes]:
    peer = EVERY_PEER if action.peer is None else action.peer
    return 80, struct.pack(">IH", peer, len(action.body)) + action.body


ACTIONS: dict[type, Callable[..., tuple[int, bytes]]] = {
    api.Send: lambda action: (10, struct.pack(">I6sd", action.request_id, action.backend, action.timeout)),
    api.Refuse: lambda action: (20, struct.pack(">Id", action.request_id, action.retry_after)),
    api.Fail: lambda action: (30, struct.pack(">I", action.request_id)),
    api.CancelAttempt: lambda action: (40, struct.pack(">IH", action.request_id, action.attempt)),
    api.SetTimer: lambda action: (50, struct.pack(">dI", action.delay, action.token)),
    api.Probe: lambda action: (60, action.backend),
    api.CloseIdle: lambda action: (70, action.backend),
    api.SendPeerMessage: _peer_send,
    api.Log: lambda action: (90, _string(action.text)),
    api.Subscribe: lambda action: (110, struct.pack(">B", action.enabled)),
    api.FetchRoster: lambda action: (120, b""),
    api.CounterAdd: lambda action: (130, struct.pack(">Qfd", action.key, action.amount, action.ttl)),
}
DIE = 100


def encode(instance: int, code: int, fields: bytes) -> bytes:
    return RECORD_HEADER.pack(code, 4 + len(fields)) + struct.pack(">I", instance) + fields


class Host:
    """The instances of this process, which share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Controller] = {}

    def record(self, code: int, data: bytes, now: float, where: str) -> list[bytes]:
        """Pass one event to its instance and return the encoded actions."""
        reader = Reader(data, where)
        (instance,) = reader.take("I")
        if code == SPAWN:
            seed, size = reader.take("QI")
            try:
                settings = from_lines(reader.raw(size).decode())
            except ValueError as error:
                raise WireError(f"{where}: {error}") from None
            run = lambda: self.start(instance, settings, seed, now)  # noqa: E731
        elif code == DETACH:
            run = lambda: self.instances.pop(instance, None) and []  # noqa: E731
        elif code in EVENTS:
            event = EVENTS[code](reader)
            if isinstance(event, api.Request):
                self.check(instance, event, where)
            run = lambda: self.handle(instance, event, now)  # noqa: E731
        else:
            raise WireError(f"{where}: unknown event code {code}")
        reader.finish()
        try:
            return [encode(instance, *ACTIONS[type(action)](action)) for action in run() or []]
        except Exception as error:  # a defect in the decision module: report it over the wire
            return [encode(instance, DIE, _string(f"{type(error).__name__}: {error}"))]

    def check(self, instance: int, request: api.Request, where: str) -> None:
        """Reject a request of a class or plan that the instance's settings don't have."""
        if (controller := self.instances.get(instance)) is None:
            return
        for index, defined, what in (
            (request.cls, controller.settings.classes, "class"),
            (request.plan, controller.settings.plans, "plan"),
        ):
            if index >= len(defined):
                raise WireError(f"{where}: {what} {index} is not among the {len(defined)} of the settings")

    def start(self, instance: int, settings: api.Settings, seed: int, now: float) -> list[api.Action]:
        self.instances[instance] = Controller(settings, seed, now)
        return self.instances[instance].start(now)

    def handle(self, instance: int, event: api.Event, now: float) -> list[api.Action]:
        controller = self.instances.get(instance)
        return controller.handle(event, now) if controller else []  # the instance was stopped

    def batch(self, body: bytes, count: int, now: float, number: int) -> bytes:
        """Return the reply to one batch."""
        records, offset = [], 0
        for index in range(count):
            where = f"batch {number}, record {index}"
            if offset + RECORD_HEADER.size > len(body):
                raise WireError(f"{where}: the batch ends at byte {len(body)}")
            code, size = RECORD_HEADER.unpack_from(body, offset)
            offset += RECORD_HEADER.size
            if offset + size > len(body):
                raise WireError(f"{where}: length {size} passes the end of the batch")
            records += self.record(code, body[offset : offset + size], now, where)
            offset += size
        if offset != len(body):
            raise WireError(f"batch {number}: {len(body) - offset} bytes after its last record")
        reply = b"".join(records)
        return REPLY_HEADER.pack(len(reply), len(records)) + reply


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Return `size` bytes, however the stream splits them; fewer only at its end."""
    parts, missing = [], size
    while missing and (piece := stream.read(missing)):
        parts.append(piece)
        missing -= len(piece)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host, number = Host(), 0
    while header := read_exactly(source, BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError(f"batch {number}: the input ends inside its header")
        size, now, count = BATCH_HEADER.unpack(header)
        body = read_exactly(source, size)
        if len(body) < size:
            raise WireError(f"batch {number}: the input ends after {len(body)} of {size} bytes")
        sink.write(host.batch(body, count, now, number))
        sink.flush()
        number += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fennelpoint: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
