"""Checks of the files that people write: settings, deploy file, configuration.

Each check returns every fault it finds as (field, reason), not just the first.
"""

import re
import tomllib
from typing import Any

import msgspec
from msgspec import Struct

from crowseam.cli.file_formats import Bounds, DeployFile, Machine, Role, SettingsFile, Survive
from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.faults import faults
from crowseam.configuration.model import parse_change
from crowseam.configuration.text import seconds

Fault = tuple[str, str]  # field, reason

_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})", re.ASCII)
SERVES = ("edge", "ctl")
BINDS = {"edge": ("http", "readyz"), "ctl": ("ctl",)}
HELPERS = ("env", "npx", "sh", "bash", "nohup", "sudo", "exec")
# Names of Debian packages, by its policy (5.6.1).
_PACKAGE = re.compile(r"[a-z0-9][a-z0-9+.-]+", re.ASCII)
PORT_MOST = 65535
ROLES_A_MACHINE = 2
NEVER_ZERO = ("cpu", "ncpu", "mem_mb", "nofile", "net_mbps")  # of the limits


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
    if not 0 < int(match[5]) <= PORT_MOST:
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
    found += _faults_of_serves(good) + _faults_of_addresses(good) + _faults_of_zones(good)
    if good.get("voting") and not good.get("datadir"):
        found.append(("datadir", "is missing, though the machine votes"))
    _times(found, "", {"hb": good["hb"]} if "hb" in good else {})
    _times(found, "bounds.", good.get("bounds", {}))
    return found + _faults_of_numbers(good)


def _faults_of_serves(good: dict[str, Any]) -> list[Fault]:
    found: list[Fault] = []
    for place, what in enumerate(good.get("serves", [])):
        if what not in SERVES:
            found.append((f"serves[{place}]", f"{what!r} is none of {', '.join(SERVES)}"))
        elif "bind" in good:
            missing = [name for name in BINDS[what] if name not in good["bind"]]
            found += [(f"bind.{name}", f"is missing, though the process serves {what}") for name in missing]
    return found


def _faults_of_addresses(good: dict[str, Any]) -> list[Fault]:
    addresses = [(f"bind.{name}", text) for name, text in good.get("bind", {}).items()]
    addresses += [(f"seeds[{place}]", text) for place, text in enumerate(good.get("seeds", []))]
    found = [(field, fault) for field, text in addresses if (fault := address_fault(text))]
    if "ip" in good and (fault := address_fault(f"{good['ip']}:1")):
        found.append(("ip", fault.replace(":1'", "'").replace(":8407", "")))
    if "seeds" in good and not good["seeds"]:
        found.append(("seeds", "is empty, so no other process can be found"))
    first, last = good.get("port_range", (1, 1))
    if not 0 < first <= last <= PORT_MOST:
        found.append(("port_range", f"{first} to {last} is no range of ports"))
    return found


def _faults_of_zones(good: dict[str, Any]) -> list[Fault]:
    zones = good.get("zones")
    if zones is None or "az" not in good:
        return []
    if good["az"] not in zones:
        return [("az", f"{good['az']!r} is not among the zones")]
    if "region" in good and zones[good["az"]] != good["region"]:
        return [("region", f"{good['region']!r} is not the region of zone {good['az']!r}")]
    return []


def _faults_of_numbers(good: dict[str, Any]) -> list[Fault]:
    found = [
        (f"{group}.{name}", f"{value} is below 0")
        for group in ("limits", "survive", "bounds")
        for name, value in good.get(group, {}).items()
        if isinstance(value, int | float) and value < 0
    ]
    limits = good.get("limits", {})
    return found + [(f"limits.{name}", "is 0") for name in NEVER_ZERO if limits.get(name) == 0]


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
    found += _faults_of_packages(good.get("packages"))
    tables = data.get("roles")
    if not isinstance(tables, dict) or not tables:
        return [*found, ("roles", "names no role")]
    roles = {name: _fields(table, Role, f"roles.{name}.", found) for name, table in tables.items()}
    for name, table in tables.items():
        found += _faults_of_role(f"roles.{name}.", table, roles[name])
    return found + _faults_of_served(roles) + _faults_of_crowding(roles)


def _faults_of_role(field: str, table: Any, role: dict[str, Any]) -> list[Fault]:
    """What is wrong with one role by itself: `table` as written, `role` its good fields."""
    found: list[Fault] = []
    if isinstance(table, dict):
        known = {each.name for each in msgspec.structs.fields(Role)}
        found += [(field + each, "is no field of a role") for each in table if each not in known]
    words = role.get("run", "x").split(" ")
    if not words[0] or words[0].rpartition("/")[2] in HELPERS:
        found.append((field + "run", "has to begin with the program itself"))
    if re.search(r"[|&;<>$`\"'\\*]", role.get("run", "")):
        found.append((field + "run", "is not handed to a shell"))
    share, count = role.get("share"), role.get("count")
    if share is not None and count is not None:
        found.append((field + "count", "stands beside share"))
    if isinstance(table, dict) and not table.keys() & {"share", "count"}:
        found.append((field + "share", "neither share nor count is given"))
    if share is not None and not 0 < share <= 1:
        found.append((field + "share", f"{share:g} is not above 0 and up to 1"))
    if count is not None and count < 1:
        found.append((field + "count", f"{count} is below 1"))
    return found


def _faults_of_served(roles: dict[str, dict[str, Any]]) -> list[Fault]:
    """What is served by no role, by two on one class, or is unknown."""
    found: list[Fault] = []
    served: dict[tuple[str, str], str] = {}
    for name, role in roles.items():
        for place, what in enumerate(role.get("serves", [])):
            field = f"roles.{name}.serves[{place}]"
            if what not in SERVES:
                found.append((field, f"{what!r} is none of {', '.join(SERVES)}"))
                continue
            other = served.setdefault((role.get("on", ""), what), name)
            if other != name:
                found.append((field, f"{what!r} is served by {other} on that class"))
    missing = [what for what in SERVES if what not in {each for _, each in served}]
    return found + [("roles", f"no role serves {what!r}") for what in missing]


def _faults_of_crowding(roles: dict[str, dict[str, Any]]) -> list[Fault]:
    """More roles than a machine takes, that would run on each machine of a class."""
    everywhere: dict[str, list[str]] = {}
    for name, role in roles.items():
        if role.get("share") == 1 or "edge" in role.get("serves", []):
            everywhere.setdefault(role.get("on", ""), []).append(name)
    return [
        ("roles", f"{', '.join(names)} would all run on each {on!r} machine, which takes two")
        for on, names in everywhere.items()
        if len(names) > ROLES_A_MACHINE
    ]


def _faults_of_packages(packages: list[str] | None) -> list[Fault]:
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
