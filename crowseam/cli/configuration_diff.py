"""What differs between two configurations, for people, for programs, and as a change to be sent."""

from typing import Any

import msgspec

from crowseam.configuration.model import Configuration


def _flat(value: Any, path: str = "") -> dict[str, Any]:
    if isinstance(value, dict) and value:
        return {
            key: each
            for name, part in value.items()
            for key, each in _flat(part, f"{path}.{name}" if path else name).items()
        }
    return {path: value}


def differences(old: Configuration, new: Configuration) -> list[dict[str, Any]]:
    """Return one record for each item added, removed or altered.

    A record has `type`, `name`, `how` (added, removed, altered) and, where altered, `fields`: for each field
    its value `before` and `after`, either left out where the field is not there.
    """
    found = []
    for key in dict.fromkeys([*old.items, *new.items]):
        before, after = old.items.get(key), new.items.get(key)
        record: dict[str, Any] = {"type": key[0], "name": key[1]}
        if before is None or after is None:
            found.append(record | {"how": "added" if before is None else "removed"})
        elif before.raw != after.raw:
            one, two = _flat(msgspec.json.decode(before.raw)), _flat(msgspec.json.decode(after.raw))
            fields = {}
            for name in dict.fromkeys([*one, *two]):
                sides = {side: values[name] for side, values in (("before", one), ("after", two)) if name in values}
                if len(sides) < 2 or sides["before"] != sides["after"]:
                    fields[name] = sides
            if fields:
                found.append(record | {"how": "altered", "fields": fields})
    return found


def lines(records: list[dict[str, Any]]) -> list[str]:
    """Return the records as lines for people, one for each item and one for each of its altered fields."""
    signs = {"added": "+", "removed": "-", "altered": "~"}
    out = []
    for record in records:
        out.append(f"{signs[record['how']]} {record['type']} {record['name']}".rstrip())
        for name, sides in record.get("fields", {}).items():
            before, after = (
                msgspec.json.encode(sides[side]).decode() if side in sides else "(none)" for side in ("before", "after")
            )
            out.append(f"    {name}: {before} -> {after}")
    return out


def as_patch(old: Configuration, new: Configuration, ver: str) -> bytes:
    """Return the body of the PATCH that, on top of `old`, makes the items of `new`, as version `ver`."""
    records = differences(old, new)
    upsert = [
        msgspec.Raw(new.items[record["type"], record["name"]].raw) for record in records if record["how"] != "removed"
    ]
    remove: dict[str, list[str]] = {}
    for record in records:
        if record["how"] == "removed":
            remove.setdefault(record["type"], []).append(record["name"])
    return msgspec.json.encode({"ver": ver, "upsert": {"objs": upsert}, "remove": remove, "parent": f"{old.ver:08x}"})
