"""Checks of the files that people write: settings, deploy file, configuration.

Each check returns every fault it finds as (field, reason), not just the first.
"""

import re
import tomllib
from typing import Any

import msgspec
from msgspec import Struct

from crowseam.configuration.model import ConfigurationError, faults, parse_change, seconds

Fault = tuple[str, str]

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
SERVES = ("edge", "ctl")
BINDS = {"edge": ("http", "readyz"), "ctl": ("ctl",)}
HELPERS = ("env", "npx", "sh", "bash", "nohup", "sudo", "exec")
# Names of Debian packages, by its policy (5.6.1).
_PACKAGE = re.compile(r"[a-z0-9][a-z0-9+.-]+", re.ASCII)


class Machine(Struct):
    """What one process may use: parts of a core, megabytes, descriptors, megabits a second."""

    cpu: float
    ncpu: float
    mem_mb: float
    nofile: int
    net_mbps: float
    disk_mb: float = 0.0


class Survive(Struct):
    """What may be lost at once: counts of voting machines, zones and regions."""

    nodes: int = 0
    zones: int = 0
    regions: int = 0


class Bounds(Struct):
    """The figures of the rules in force; times are text, the others plain numbers."""

    seed_lag: str
    addr_reuse: str
    contact: str
    ack: str
    sync_time: str
    drain: str
    grace: str
    loss: str
    apply: str
    revert: str
    skew: str
    strict_revoke: bool
    revoke: str
    retry_ratio: float
    retry_window: str
    retry_slack: float
    quota_window: str
    quota_excess: float
    quota_slack: float
    recover: str


class SettingsFile(Struct):
    """The settings file of a process, as the platform writes it. Unknown fields are passed over."""

    hostname: str
    role: str
    mclass: str
    serves: list[str]
    ip: str
    az: str
    region: str
    zones: dict[str, str]
    bind: dict[str, str]
    port_range: tuple[int, int]
    seeds: list[str]
    bootstrap: bool
    voting: bool
    limits: Machine
    hb: str
    bounds: Bounds
    survive: Survive
    invariants: list[str] = []
    datadir: str | None = None
    disco: str = "self_reg"
    entry: str = "vip"


class Role(Struct, forbid_unknown_fields=True):
    """One role of the deploy file."""

    run: str
    on: str
    share: float | None = None
    count: int | None = None
    apart: bool = False
    serves: list[str] = []


class DeployFile(Struct, forbid_unknown_fields=True):
    """The deploy file; `packages` are the Debian packages that building and running need."""

    packages: list[str]
    build: str
    roles: dict[str, Role]


def _where(error: Exception, field: str) -> Fault:
    text, _, place = str(error).partition(" - at `$")
    return field + place.rstrip("`"), text


def _fields(data: Any, kind: type[Struct], field: str, found: list[Fault], deep: dict | None = None) -> dict:
    """Convert each field of an object on its own, so that one fault does not hide the next."""
    good: dict[str, Any] = {}
    if not isinstance(data, dict):
        found.append((field.rstrip("."), f"has to be an object, not {type(data).__name__}"))
        return good
    for each in msgspec.structs.fields(kind):
        if each.name not in data:
            if each.required:
                found.append((field + each.name, "is missing"))
            continue
        if deep and each.name in deep:
            good[each.name] = _fields(data[each.name], deep[each.name], f"{field}{each.name}.", found)
            continue
        try:
            good[each.name] = msgspec.convert(data[each.name], each.type)
        except msgspec.ValidationError as error:
            found.append(_where(error, field + each.name))
    return good


def address_fault(text: str) -> str:
    """Return why a text is no address (ip:port), or nothing if it is one."""
    match = _ADDRESS.fullmatch(text)
    if match is None or any(int(part) > 255 for part in match.groups()[:4]):
        return f"{text!r} is not an address such as 10.1.0.5:8407"
    if not 0 < int(match[5]) < 65536:
        return f"{match[5]} is not a port"
    return ""


def _times(found: list[Fault], field: str, values: dict[str, Any]) -> None:
    for name, value in values.items():
        if isinstance(value, str):
            try:
                seconds(value, f"{field}{name}")
            except ConfigurationError as error:
                found.append((error.field, error.text))


def check_settings(body: bytes) -> list[Fault]:
    """Return every fault of a settings file (JSON)."""
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return [("", str(error))]
    found: list[Fault] = []
    good = _fields(data, SettingsFile, "", found, {"limits": Machine, "bounds": Bounds, "survive": Survive})
    serves = good.get("serves", [])
    for place, what in enumerate(serves):
        if what not in SERVES:
            found.append((f"serves[{place}]", f"{what!r} is none of {', '.join(SERVES)}"))
        elif "bind" in good:
            found += [
                (f"bind.{name}", f"is missing, though the process serves {what}")
                for name in BINDS[what]
                if name not in good["bind"]
            ]
    addresses = [(f"bind.{name}", text) for name, text in good.get("bind", {}).items()]
    addresses += [(f"seeds[{place}]", text) for place, text in enumerate(good.get("seeds", []))]
    found += [(field, fault) for field, text in addresses if (fault := address_fault(text))]
    if "ip" in good and (fault := address_fault(f"{good['ip']}:1")):
        found.append(("ip", fault.replace(":1'", "'").replace(":8407", "")))
    if "seeds" in good and not good["seeds"]:
        found.append(("seeds", "is empty, so no other process can be found"))
    first, last = good.get("port_range", (1, 1))
    if not 0 < first <= last < 65536:
        found.append(("port_range", f"{first} to {last} is no range of ports"))
    zones = good.get("zones")
    if zones is not None and "az" in good:
        if good["az"] not in zones:
            found.append(("az", f"{good['az']!r} is not among the zones"))
        elif "region" in good and zones[good["az"]] != good["region"]:
            found.append(("region", f"{good['region']!r} is not the region of zone {good['az']!r}"))
    if good.get("voting") and not good.get("datadir"):
        found.append(("datadir", "is missing, though the machine votes"))
    _times(found, "", {"hb": good["hb"]} if "hb" in good else {})
    _times(found, "bounds.", good.get("bounds", {}))
    for group in ("limits", "survive", "bounds"):
        found += [
            (f"{group}.{name}", f"{value} is below 0")
            for name, value in good.get(group, {}).items()
            if isinstance(value, int | float) and value < 0
        ]
    found += [
        (f"limits.{name}", "is 0")
        for name in ("cpu", "ncpu", "mem_mb", "nofile", "net_mbps")
        if good.get("limits", {}).get(name) == 0
    ]
    return found


def check_deploy(body: bytes) -> list[Fault]:
    """Return every fault of a deploy file (TOML)."""
    try:
        data = tomllib.loads(body.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [("", str(error))]
    fields = {each.name for each in msgspec.structs.fields(DeployFile)}
    found: list[Fault] = [(name, "is no field of a deploy file") for name in data.keys() - fields]
    good = _fields({"roles": {}} | data, DeployFile, "", found, {"roles": _NoFields})
    if not good.get("build", "x").strip():
        found.append(("build", "is empty"))
    found += _package_faults(good.get("packages"))
    tables = data.get("roles")
    if not isinstance(tables, dict) or not tables:
        return [*found, ("roles", "names no role")]
    served: dict[tuple[str, str], str] = {}
    everywhere: dict[str, list[str]] = {}
    for name, body_of_role in tables.items():
        field = f"roles.{name}."
        if isinstance(body_of_role, dict):
            known = {each.name for each in msgspec.structs.fields(Role)}
            found += [(field + each, "is no field of a role") for each in body_of_role if each not in known]
        role = _fields(body_of_role, Role, field, found)
        words = role.get("run", "x").split(" ")
        if not words[0] or words[0].rpartition("/")[2] in HELPERS:
            found.append((field + "run", "has to begin with the program itself"))
        if re.search(r"[|&;<>$`\"'\\*]", role.get("run", "")):
            found.append((field + "run", "is not handed to a shell"))
        share, count = role.get("share"), role.get("count")
        if share is not None and count is not None:
            found.append((field + "count", "stands beside share"))
        if share is None and count is None and not body_of_role.keys() & {"share", "count"}:
            found.append((field + "share", "neither share nor count is given"))
        if share is not None and not 0 < share <= 1:
            found.append((field + "share", f"{share:g} is not above 0 and up to 1"))
        if count is not None and count < 1:
            found.append((field + "count", f"{count} is below 1"))
        for place, what in enumerate(role.get("serves", [])):
            if what not in SERVES:
                found.append((f"{field}serves[{place}]", f"{what!r} is none of {', '.join(SERVES)}"))
                continue
            other = served.setdefault((role.get("on", ""), what), name)
            if other != name:
                found.append((f"{field}serves[{place}]", f"{what!r} is served by {other} on that class"))
        if share == 1 or "edge" in role.get("serves", []):
            everywhere.setdefault(role.get("on", ""), []).append(name)
    for what in SERVES:
        if what not in {each for _, each in served}:
            found.append(("roles", f"no role serves {what!r}"))
    found += [
        ("roles", f"{', '.join(names)} would all run on each {on!r} machine, which takes two")
        for on, names in everywhere.items()
        if len(names) > 2
    ]
    return found


def _package_faults(packages: list[str] | None) -> list[Fault]:
    """Return the faults of the list of Debian packages; None is a list whose fault was found before."""
    if packages is None:
        return []
    if not packages:
        return [("packages", "is empty, so a machine would have no interpreter")]
    found: list[Fault] = []
    for place, name in enumerate(packages):
        field = f"packages[{place}]"
        if _PACKAGE.fullmatch(name) is None:
            found.append((field, f"{name!r} is not the name of a Debian package"))
        elif name in packages[:place]:
            found.append((field, f"{name!r} is named twice"))
    return found


class _NoFields(Struct):
    pass


def check_config(body: bytes) -> list[Fault]:
    """Return every fault of a configuration file: a whole one, or the first fault of a PATCH."""
    if is_patch(body):
        try:
            parse_change("PATCH", body)
        except ConfigurationError as error:
            return [(error.field, error.text)]
        return []
    return [(fault.field, fault.text) for fault in faults(body)]


def is_patch(body: bytes) -> bool:
    """Tell whether a body changes named items (PATCH) and is no whole configuration (PUT)."""
    try:
        top = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False
    return "objs" not in top and ("upsert" in top or "remove" in top)
