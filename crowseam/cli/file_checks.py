"""Validation of settings files, deploy files and configuration files.

Each check returns all faults as (field, reason), not just the first.
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
REQUIRED_LISTENERS = {"edge": ("http", "readyz"), "ctl": ("ctl",)}
WRAPPER_PROGRAMS = ("env", "npx", "sh", "bash", "nohup", "sudo", "exec")
# Debian package names, Debian policy section 5.6.1.
_PACKAGE = re.compile(r"[a-z0-9][a-z0-9+.-]+", re.ASCII)
MAX_PORT = 65535
MAX_ROLES_PER_MACHINE = 2
NONZERO_LIMITS = ("cpu", "ncpu", "mem_mb", "nofile", "net_mbps")


def _fault_at(error: Exception, field: str) -> Fault:
    text, _, path = str(error).partition(" - at `$")
    return field + path.rstrip("`"), text


def _convert_fields(
    data: Any, struct_type: type[Struct], field: str, found: list[Fault], nested: dict | None = None
) -> dict:
    """Convert each field separately, so that all faults are found. Returns the valid fields."""
    valid: dict[str, Any] = {}
    if not isinstance(data, dict):
        found.append((field.rstrip("."), f"has to be an object, not {type(data).__name__}"))
        return valid
    for member in msgspec.structs.fields(struct_type):
        if member.name not in data:
            if member.required:
                found.append((field + member.name, "is missing"))
            continue
        if nested and member.name in nested:
            valid[member.name] = _convert_fields(
                data[member.name], nested[member.name], f"{field}{member.name}.", found
            )
            continue
        try:
            valid[member.name] = msgspec.convert(data[member.name], member.type)
        except msgspec.ValidationError as error:
            found.append(_fault_at(error, field + member.name))
    return valid


def address_fault(text: str) -> str:
    """Return why a text is not an address (ip:port), or an empty string if it is one."""
    match = _ADDRESS.fullmatch(text)
    if match is None or any(int(part) > 255 for part in match.groups()[:4]):
        return f"{text!r} is not an address such as 10.1.0.5:8407"
    if not 0 < int(match[5]) <= MAX_PORT:
        return f"{match[5]} is not a port"
    return ""


def _check_durations(found: list[Fault], field: str, values: dict[str, Any]) -> None:
    for name, value in values.items():
        if isinstance(value, str):
            try:
                seconds(value, f"{field}{name}")
            except ConfigurationError as error:
                found.append((error.field, error.text))


def check_settings(body: bytes) -> list[Fault]:
    """Return all faults of a settings file (JSON)."""
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return [("", str(error))]
    found: list[Fault] = []
    valid = _convert_fields(data, SettingsFile, "", found, {"limits": Machine, "bounds": Bounds, "survive": Survive})
    found += _faults_of_serves(valid) + _faults_of_addresses(valid) + _faults_of_zones(valid)
    if valid.get("voting") and not valid.get("datadir"):
        found.append(("datadir", "is missing, though the machine votes"))
    _check_durations(found, "", {"hb": valid["hb"]} if "hb" in valid else {})
    _check_durations(found, "bounds.", valid.get("bounds", {}))
    return found + _faults_of_numbers(valid)


def _faults_of_serves(valid: dict[str, Any]) -> list[Fault]:
    found: list[Fault] = []
    for index, service in enumerate(valid.get("serves", [])):
        if service not in SERVES:
            found.append((f"serves[{index}]", f"{service!r} is none of {', '.join(SERVES)}"))
        elif "bind" in valid:
            missing = [name for name in REQUIRED_LISTENERS[service] if name not in valid["bind"]]
            found += [(f"bind.{name}", f"is missing, though the process serves {service}") for name in missing]
    return found


def _faults_of_addresses(valid: dict[str, Any]) -> list[Fault]:
    addresses = [(f"bind.{name}", text) for name, text in valid.get("bind", {}).items()]
    addresses += [(f"seeds[{index}]", text) for index, text in enumerate(valid.get("seeds", []))]
    found = [(field, fault) for field, text in addresses if (fault := address_fault(text))]
    if "ip" in valid and (fault := address_fault(f"{valid['ip']}:1")):
        found.append(("ip", fault.replace(":1'", "'").replace(":8407", "")))
    if "seeds" in valid and not valid["seeds"]:
        found.append(("seeds", "is empty, so no other process can be found"))
    first, last = valid.get("port_range", (1, 1))
    if not 0 < first <= last <= MAX_PORT:
        found.append(("port_range", f"{first} to {last} is no range of ports"))
    return found


def _faults_of_zones(valid: dict[str, Any]) -> list[Fault]:
    zones = valid.get("zones")
    if zones is None or "az" not in valid:
        return []
    if valid["az"] not in zones:
        return [("az", f"{valid['az']!r} is not among the zones")]
    if "region" in valid and zones[valid["az"]] != valid["region"]:
        return [("region", f"{valid['region']!r} is not the region of zone {valid['az']!r}")]
    return []


def _faults_of_numbers(valid: dict[str, Any]) -> list[Fault]:
    found = [
        (f"{group}.{name}", f"{value} is below 0")
        for group in ("limits", "survive", "bounds")
        for name, value in valid.get(group, {}).items()
        if isinstance(value, int | float) and value < 0
    ]
    limits = valid.get("limits", {})
    return found + [(f"limits.{name}", "is 0") for name in NONZERO_LIMITS if limits.get(name) == 0]


def check_deploy(body: bytes) -> list[Fault]:
    """Return all faults of a deploy file (TOML)."""
    try:
        data = tomllib.loads(body.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return [("", str(error))]
    fields = {member.name for member in msgspec.structs.fields(DeployFile)}
    found: list[Fault] = [(name, "is no field of a deploy file") for name in data.keys() - fields]
    valid = _convert_fields({"roles": {}} | data, DeployFile, "", found, {"roles": _NoFields})
    if not valid.get("build", "x").strip():
        found.append(("build", "is empty"))
    found += _faults_of_packages(valid.get("packages"))
    tables = data.get("roles")
    if not isinstance(tables, dict) or not tables:
        return [*found, ("roles", "names no role")]
    roles = {name: _convert_fields(table, Role, f"roles.{name}.", found) for name, table in tables.items()}
    for name, table in tables.items():
        found += _faults_of_role(f"roles.{name}.", table, roles[name])
    return found + _faults_of_service_coverage(roles) + _faults_of_role_placement(roles)


def _faults_of_role(field: str, table: Any, role: dict[str, Any]) -> list[Fault]:
    """Return the faults of a single role; `table` is the role as written, `role` its valid fields."""
    found: list[Fault] = []
    if isinstance(table, dict):
        known_fields = {item.name for item in msgspec.structs.fields(Role)}
        found += [(field + item, "is no field of a role") for item in table if item not in known_fields]
    words = role.get("run", "x").split(" ")
    if not words[0] or words[0].rpartition("/")[2] in WRAPPER_PROGRAMS:
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


def _faults_of_service_coverage(roles: dict[str, dict[str, Any]]) -> list[Fault]:
    """Return faults for services that are unknown, have no role, or have two roles on one machine class."""
    found: list[Fault] = []
    served: dict[tuple[str, str], str] = {}
    for name, role in roles.items():
        for index, service in enumerate(role.get("serves", [])):
            field = f"roles.{name}.serves[{index}]"
            if service not in SERVES:
                found.append((field, f"{service!r} is none of {', '.join(SERVES)}"))
                continue
            other_role = served.setdefault((role.get("on", ""), service), name)
            if other_role != name:
                found.append((field, f"{service!r} is served by {other_role} on that class"))
    missing = [service for service in SERVES if service not in {service_name for _, service_name in served}]
    return found + [("roles", f"no role serves {service!r}") for service in missing]


def _faults_of_role_placement(roles: dict[str, dict[str, Any]]) -> list[Fault]:
    """Return faults for machine classes whose every machine would run more than MAX_ROLES_PER_MACHINE roles."""
    everywhere: dict[str, list[str]] = {}
    for name, role in roles.items():
        if role.get("share") == 1 or "edge" in role.get("serves", []):
            everywhere.setdefault(role.get("on", ""), []).append(name)
    return [
        ("roles", f"{', '.join(names)} would all run on each {machine_class!r} machine, which takes two")
        for machine_class, names in everywhere.items()
        if len(names) > MAX_ROLES_PER_MACHINE
    ]


def _faults_of_packages(packages: list[str] | None) -> list[Fault]:
    """Return the faults of the list of Debian packages; None means that the list was already rejected."""
    if packages is None:
        return []
    if not packages:
        return [("packages", "is empty, so a machine would have no interpreter")]
    found: list[Fault] = []
    for index, name in enumerate(packages):
        field = f"packages[{index}]"
        if _PACKAGE.fullmatch(name) is None:
            found.append((field, f"{name!r} is not the name of a Debian package"))
        elif name in packages[:index]:
            found.append((field, f"{name!r} is named twice"))
    return found


class _NoFields(Struct):
    pass


def check_config(body: bytes) -> list[Fault]:
    """Return all faults of a full configuration, or the first fault of a PATCH."""
    if is_patch(body):
        try:
            parse_change("PATCH", body)
        except ConfigurationError as error:
            return [(error.field, error.text)]
        return []
    return [(fault.field, fault.text) for fault in faults(body)]


def is_patch(body: bytes) -> bool:
    """Return whether a body is a PATCH (changes to named items) and not a full configuration (PUT)."""
    try:
        top = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False
    return "objs" not in top and ("upsert" in top or "remove" in top)
