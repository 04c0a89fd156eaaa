"""Differences between two configurations: as records, as text, and as a PATCH body."""

from typing import Any

import msgspec

from crowseam.configuration.model import Configuration


def _flatten(value: Any, path: str = "") -> dict[str, Any]:
    if isinstance(value, dict) and value:
        return {
            key: leaf
            for name, child in value.items()
            for key, leaf in _flatten(child, f"{path}.{name}" if path else name).items()
        }
    return {path: value}


def differences(old: Configuration, new: Configuration) -> list[dict[str, Any]]:
    """Return one record for each item that was added, removed or altered.

    A record has `type`, `name`, `how` (added, removed, altered) and, if altered, `fields`: for each changed field
    its values `before` and `after`. A side on which the field is absent is omitted.
    """
    records = []
    for key in dict.fromkeys([*old.items, *new.items]):
        before, after = old.items.get(key), new.items.get(key)
        record: dict[str, Any] = {"type": key[0], "name": key[1]}
        if before is None or after is None:
            records.append(record | {"how": "added" if before is None else "removed"})
        elif before.raw != after.raw:
            old_fields, new_fields = _flatten(msgspec.json.decode(before.raw)), _flatten(msgspec.json.decode(after.raw))
            fields = {}
            for name in dict.fromkeys([*old_fields, *new_fields]):
                sides = {
                    side: values[name]
                    for side, values in (("before", old_fields), ("after", new_fields))
                    if name in values
                }
                if len(sides) < 2 or sides["before"] != sides["after"]:
                    fields[name] = sides
            if fields:
                records.append(record | {"how": "altered", "fields": fields})
    return records


def format_lines(records: list[dict[str, Any]]) -> list[str]:
    """Format the records as text: one line per item and one per altered field."""
    signs = {"added": "+", "removed": "-", "altered": "~"}
    output = []
    for record in records:
        output.append(f"{signs[record['how']]} {record['type']} {record['name']}".rstrip())
        for name, sides in record.get("fields", {}).items():
            before, after = (
                msgspec.json.encode(sides[side]).decode() if side in sides else "(none)" for side in ("before", "after")
            )
            output.append(f"    {name}: {before} -> {after}")
    return output


def make_patch(old: Configuration, new: Configuration, ver: str) -> bytes:
    """Return the body of a PATCH that turns `old` into `new` and gives the result version `ver`."""
    records = differences(old, new)
    upsert = [
        msgspec.Raw(new.items[record["type"], record["name"]].raw) for record in records if record["how"] != "removed"
    ]
    remove: dict[str, list[str]] = {}
    for record in records:
        if record["how"] == "removed":
            remove.setdefault(record["type"], []).append(record["name"])
    return msgspec.json.encode({"ver": ver, "upsert": {"objs": upsert}, "remove": remove, "parent": f"{old.ver:08x}"})
