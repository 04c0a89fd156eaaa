"""The settings file of a process, parsed and checked."""

from __future__ import annotations

import os
import re

import msgspec

VARIABLE = "CROWSEAM_BOOT"  # of the environment: the path of the settings file
PORT_MOST = 65535
_TIME = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s)")


class SettingsError(Exception):
    """The settings can't be used; the text names the field."""


def seconds(text: str, field: str) -> float:
    """A time as written in settings, `1500ms` or `2.5s`, in seconds. Raises SettingsError."""
    match = _TIME.fullmatch(text)
    if match is None:
        raise SettingsError(f"{field}: {text!r} is not a number followed by ms or s")
    return float(match[1]) * (0.001 if match[2] == "ms" else 1.0)


class Bind(msgspec.Struct, frozen=True):
    """Addresses (ip:port) of what the role serves: requests, readiness, control calls."""

    http: str = ""
    readyz: str = ""
    ctl: str = ""


class Limits(msgspec.Struct, frozen=True):
    """What the process may use: cores, MB, descriptors, Mbit/s."""

    cpu: float = 1.0
    ncpu: int = 1
    mem_mb: float = 128
    nofile: int = 1024
    net_mbps: float = 1000.0
    disk_mb: float = 0


class Survive(msgspec.Struct, frozen=True):
    """What may be lost at once while all rules still hold."""

    nodes: int = 1
    zones: int = 0
    regions: int = 0


TIMES = (
    "contact",
    "ack",
    "sync_time",
    "drain",
    "grace",
    "apply",
    "retry_window",
    "quota_window",
    "key_window",
)  # of `Bounds`


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the rules, as written; times through `seconds`."""

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
    """One process's settings. Fields that are not known are ignored.

    az: the zone. hb: s between two heartbeats of a server, as text. datadir: the folder of the store.
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
        """The address at which a controller on this machine listens for other processes of the system."""
        return f"{self.ip}:{self.port_range[0]}"


def _without_nulls(value: object) -> object:
    """The value without fields that are null: those count as left out."""
    if isinstance(value, dict):
        return {name: _without_nulls(each) for name, each in value.items() if each is not None}
    return value


def parse(data: bytes) -> Settings:
    """The settings in `data`. Raises SettingsError naming the field."""
    try:
        settings = msgspec.convert(_without_nulls(msgspec.json.decode(data)), Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(error)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(f"not JSON: {error}") from None
    for seed in settings.seeds:
        address(seed, "seeds")
    for name in ("http", "readyz", "ctl"):
        if text := getattr(settings.bind, name):
            address(text, f"bind.{name}")
    low, high = settings.port_range
    if not 0 < low <= high <= PORT_MOST:
        raise SettingsError(f"port_range: {low} to {high} are not ports")
    seconds(settings.hb, "hb")
    for name in TIMES:
        seconds(getattr(settings.bounds, name), f"bounds.{name}")
    return settings


def read(path: str | None = None) -> Settings:
    """The settings from the file at `path`, or that the variable names. Raises SettingsError."""
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise SettingsError(f"{VARIABLE} names no settings file")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise SettingsError(f"settings {path}: {error.strerror}") from None
    try:
        return parse(data)
    except SettingsError as error:
        raise SettingsError(f"settings {path}: {error}") from None


def address(text: str, field: str = "address") -> tuple[str, int]:
    """Host and port of `1.2.3.4:80`. Raises SettingsError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= PORT_MOST:
        raise SettingsError(f"{field}: {text!r} is not an address and a port")
    return host, int(port)
