"""Every fault of a configuration, for checkers; the model stops at the first one."""

import msgspec
from msgspec import Raw

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import OBJS, TEXT, TOP
from crowseam.configuration.specs import HEAD, Items, read_item
from crowseam.configuration.text import decode, version


def faults(body: bytes) -> list[ConfigurationError]:
    """Return every fault of a whole configuration."""
    try:
        top = decode(TOP, body, "")
    except ConfigurationError as error:
        return [error]
    found = _faults_of_versions(top)
    if "objs" not in top:
        return [*found, ConfigurationError(400, "objs", "is missing")]
    try:
        raws = decode(OBJS, top["objs"], "objs")
    except ConfigurationError as error:
        return [*found, error]
    return found + _faults_of_items(raws)


def _faults_of_versions(top: dict[str, Raw]) -> list[ConfigurationError]:
    found: list[ConfigurationError] = []
    for field in ("ver", "parent"):
        if field not in top:
            found.append(ConfigurationError(400, field, "is missing"))
        elif field == "ver" or bytes(top[field]) != b"0":
            try:
                version(decode(TEXT, top[field], field), field)
            except ConfigurationError as error:
                found.append(error)
    return found


def _faults_of_items(raws: list[Raw]) -> list[ConfigurationError]:
    found: list[ConfigurationError] = []
    items: Items = {}
    broken: set[tuple[str, str]] = set()  # keys of items that are there, but faulty
    for place, raw in enumerate(raws):
        field = f"objs[{place}]"
        try:
            item = read_item(raw, field)
        except ConfigurationError as error:
            found.append(error)
            broken |= _key(raw)
            continue
        key = (item.kind, item.name)
        if key in items:
            text = f"there are two {item.kind} named {item.name!r}"
            found.append(ConfigurationError(400, f"{field}.meta.name", text))
        items[key] = item
    return found + _unknown_services(items, broken)


def _key(raw: Raw) -> set[tuple[str, str]]:
    """The kind and name of a faulty item, if it has them."""
    try:
        head = HEAD.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return set()
    return {(head.type, head.meta.name)}


def _unknown_services(items: Items, broken: set[tuple[str, str]]) -> list[ConfigurationError]:
    """Services that routes name and that are not there; a faulty one is."""
    return [
        ConfigurationError(400, f"routes.{name}.svc", f"names an unknown service {svc!r}")
        for (kind, name), item in items.items()
        if kind == "routes"
        for svc in item.spec.services()
        if ("svcs", svc) not in items and ("svcs", svc) not in broken
    ]
