"""Parsing and validation of a process's settings file."""

from __future__ import annotations

import os
import re

import msgspec

PATH_VARIABLE = "CROWSEAM_BOOT"  # environment variable with the path of the settings file
MAX_PORT = 65535
_DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s)")


class SettingsError(Exception):
    """The settings are invalid; the message names the field."""


def parse_duration_s(text: str, field: str) -> float:
    """Parse a duration such as `1500ms` or `2.5s`; return seconds. Raises SettingsError."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise SettingsError(f"{field}: {text!r} is not a number followed by ms or s")
    return float(match[1]) * (0.001 if match[2] == "ms" else 1.0)


class Bind(msgspec.Struct, frozen=True):
    """Addresses (ip:port) on which the role listens: for requests, readiness checks and control calls."""

    http: str = ""
    readyz: str = ""
    ctl: str = ""


class Limits(msgspec.Struct, frozen=True):
    """Resource limits of the process: cores, MB, file descriptors, Mbit/s."""

    cpu: float = 1.0
    ncpu: int = 1
    mem_mb: float = 128
    nofile: int = 1024
    net_mbps: float = 1000.0
    disk_mb: float = 0


class Survive(msgspec.Struct, frozen=True):
    """The number of simultaneous failures that the system tolerates."""

    nodes: int = 1
    zones: int = 0
    regions: int = 0


DURATION_FIELDS = (
    "contact",
    "ack",
    "sync_time",
    "drain",
    "grace",
    "apply",
    "retry_window",
    "quota_window",
    "key_window",
)  # fields of `Bounds` that are durations


class Bounds(msgspec.Struct, frozen=True):
    """Limits of the guarantees. Durations are text; parse them with `parse_duration_s`."""

    contact: str = "3s"
    ack: str = "5s"
    sync_time: str = "4s"
    drain: str = "2500ms"
    grace: str = "6s"
    apply: str = "2500ms"
    retry_ratio: float = 0.2
    retry_window: str = "10s"
    retry_slack: float = 60
    quota_window: str = "5s"
    key_window: str = "60s"
    quota_excess: float = 0.1
    quota_slack: float = 20


class Settings(msgspec.Struct, frozen=True):
    """The settings of a process. Unknown fields are ignored.

    `az` is the availability zone, `hb` the interval between heartbeats of a server (a duration as text), `datadir` the
    directory of the store.
    """

    hostname: str
    ip: str
    az: str
    port_range: tuple[int, int]
    seeds: list[str]
    bind: Bind = Bind()
    role: str = ""
    region: str = ""
    zones: dict[str, str] = {}
    bootstrap: bool = False
    voting: bool = False
    limits: Limits = Limits()
    datadir: str = ""
    hb: str = "1s"
    survive: Survive = Survive()
    bounds: Bounds = Bounds()

    @property
    def peer(self) -> str:
        """Return the address on which a controller on this host listens for other gateways and controllers."""
        return f"{self.ip}:{self.port_range[0]}"


def _without_nulls(value: object) -> object:
    """Return the value without null fields, which are treated as absent."""
    if isinstance(value, dict):
        return {name: _without_nulls(item) for name, item in value.items() if item is not None}
    return value


def parse(data: bytes) -> Settings:
    """Parse and validate settings. Raises SettingsError naming the field."""
    try:
        settings = msgspec.convert(_without_nulls(msgspec.json.decode(data)), Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"not JSON: {error}") from None
    for seed in settings.seeds:
        parse_address(seed, "seeds")
    for name in ("http", "readyz", "ctl"):
        if text := getattr(settings.bind, name):
            parse_address(text, f"bind.{name}")
    low, high = settings.port_range
    if not 0 < low <= high <= MAX_PORT:
        raise SettingsError(f"port_range: {low} to {high} are not ports")
    parse_duration_s(settings.hb, "hb")
    for name in DURATION_FIELDS:
        parse_duration_s(getattr(settings.bounds, name), f"bounds.{name}")
    return settings


def read(path: str | None = None) -> Settings:
    """Read the settings from the file at `path`, or the one that `PATH_VARIABLE` names. Raises SettingsError."""
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} names no settings file")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise SettingsError(f"settings {path}: {error.strerror}") from None
    try:
        return parse(data)
    except SettingsError as error:
        raise SettingsError(f"settings {path}: {error}") from None


def parse_address(text: str, field: str = "address") -> tuple[str, int]:
    """Parse an address such as `1.2.3.4:80`; return host and port. Raises SettingsError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(f"{field}: {text!r} is not an address and a port")
    return host, int(port)
