"""Parses and validates the body of a server's report (PUT /-/backends/ID)."""

from __future__ import annotations

import ipaddress
import re

import msgspec

from crowseam.discovery.errors import DiscoveryError
from crowseam.discovery.server_record import MS_PER_S, Phase

MAX_SLOTS = 1_000_000
MAX_SEQ = 2**62
MAX_TEXT_CHARS = 200
_MAX_PORT = 65535
_PORT_DIGITS = 5
_TIME = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s)")
_NAME = re.compile(r"[!-.0-~]{1,200}")  # printable ASCII without slash and space
_FIELD_PATH = re.compile(r"`(\$[^`]*)`$")


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A validated report; `warm` is the remaining time of the server's slow start in ms.

    The other fields are those of `ServerRecord`.
    """

    svc: str
    addr: str
    az: str
    ver: str
    slots: int
    phase: Phase
    seq: int
    warm: int


class _Summary(msgspec.Struct):
    svc: str
    slots: int
    ver: str = ""
    az: str = ""


class _Stat(msgspec.Struct):
    phase: str
    seq: int
    warmup_time: str = "0ms"


class _Body(msgspec.Struct):
    addr: str
    summary: _Summary
    stat: _Stat


_body_decoder = msgspec.json.Decoder(_Body)


def parse_time(text: str, field: str = "time") -> int:
    """Return a duration such as `1500ms` or `2.5s` in whole ms. Raises DiscoveryError."""
    match = _TIME.fullmatch(text)
    if match is None:
        raise DiscoveryError(field, "must be a number followed by ms or s")
    return round(float(match[1]) * (MS_PER_S if match[2] == "s" else 1))


def check_id(ident: str) -> str:
    """Return a server's id if it is valid. Raises DiscoveryError."""
    if _NAME.fullmatch(ident) is None:
        raise DiscoveryError("id", "must be 1 to 200 printable characters without a slash")
    return ident


def parse_heartbeat(ident: str, body: bytes) -> Heartbeat:
    """Parse a report. Raises DiscoveryError, which names the offending part."""
    check_id(ident)
    report = _decode(body)
    addr = _checked_address(report.addr)
    phase = _checked_fields(report.summary, report.stat)
    warm = parse_time(report.stat.warmup_time, "stat.warmup_time")
    summary = report.summary
    return Heartbeat(summary.svc, addr, summary.az, summary.ver, summary.slots, phase, report.stat.seq, warm)


def _decode(body: bytes) -> _Body:
    try:
        return _body_decoder.decode(body)
    except msgspec.ValidationError as error:
        where = _FIELD_PATH.search(str(error))
        field = where[1].removeprefix("$").removeprefix(".") if where else ""
        raise DiscoveryError(field or "body", str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DiscoveryError("body", "is not JSON") from error


def _checked_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise DiscoveryError("addr", "must be an IPv4 address and a port") from error
    is_number = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise DiscoveryError("addr", "must end in a port from 1 to 65535")
    return f"{host}:{int(port)}"


def _checked_fields(summary: _Summary, stat: _Stat) -> Phase:
    """Validate the remaining fields, and return the phase."""
    if _NAME.fullmatch(summary.svc) is None:
        raise DiscoveryError("summary.svc", "must be a name")
    if not 0 < summary.slots <= MAX_SLOTS:
        raise DiscoveryError("summary.slots", "must be from 1 to 1000000")
    if len(summary.ver) > MAX_TEXT_CHARS or len(summary.az) > MAX_TEXT_CHARS:
        raise DiscoveryError("summary", "ver and az must be at most 200 characters")
    if stat.phase not in ("up", "draining"):
        raise DiscoveryError("stat.phase", "must be up or draining")
    if not 0 <= stat.seq < MAX_SEQ:
        raise DiscoveryError("stat.seq", "must be a whole number from 0")
    return "up" if stat.phase == "up" else "draining"
