"""Collects all errors of a configuration, for checkers; the model stops at the first one."""

import msgspec
from msgspec import Raw

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.model import BODY_DECODER, OBJECTS_DECODER, STRING_DECODER
from crowseam.configuration.specs import HEAD_DECODER, Items, read_item
from crowseam.configuration.text import decode, version


def faults(body: bytes) -> list[ConfigurationError]:
    """Return all errors of a whole configuration."""
    try:
        top = decode(BODY_DECODER, body, "")
    except ConfigurationError as error:
        return [error]
    found = _version_faults(top)
    if "objs" not in top:
        return [*found, ConfigurationError(400, "objs", "is missing")]
    try:
        raws = decode(OBJECTS_DECODER, top["objs"], "objs")
    except ConfigurationError as error:
        return [*found, error]
    return found + _item_faults(raws)


def _version_faults(top: dict[str, Raw]) -> list[ConfigurationError]:
    found: list[ConfigurationError] = []
    for field in ("ver", "parent"):
        if field not in top:
            found.append(ConfigurationError(400, field, "is missing"))
        elif field == "ver" or bytes(top[field]) != b"0":
            try:
                version(decode(STRING_DECODER, top[field], field), field)
            except ConfigurationError as error:
                found.append(error)
    return found


def _item_faults(raws: list[Raw]) -> list[ConfigurationError]:
    found: list[ConfigurationError] = []
    items: Items = {}
    invalid: set[tuple[str, str]] = set()  # keys of items that are present, but invalid
    for index, raw in enumerate(raws):
        field = f"objs[{index}]"
        try:
            item = read_item(raw, field)
        except ConfigurationError as error:
            found.append(error)
            invalid |= _key(raw)
            continue
        key = (item.kind, item.name)
        if key in items:
            text = f"there are two {item.kind} named {item.name!r}"
            found.append(ConfigurationError(400, f"{field}.meta.name", text))
        items[key] = item
    return found + _unknown_services(items, invalid)


def _key(raw: Raw) -> set[tuple[str, str]]:
    """The kind and name of an invalid item, if it has them."""
    try:
        head = HEAD_DECODER.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return set()
    return {(head.type, head.meta.name)}


def _unknown_services(items: Items, invalid: set[tuple[str, str]]) -> list[ConfigurationError]:
    """Errors for services that routes name and that do not exist; an invalid service counts as existing."""
    return [
        ConfigurationError(400, f"routes.{name}.svc", f"names an unknown service {svc!r}")
        for (kind, name), item in items.items()
        if kind == "routes"
        for svc in item.spec.services()
        if ("svcs", svc) not in items and ("svcs", svc) not in invalid
    ]
