"""Plain-text tables of the records in JSON answers."""

from typing import Any

LEADING_COLUMNS = ("id", "name", "addr", "svc", "az", "ver", "phase", "state", "slots")


def rows(data: Any, kind: str) -> list[dict[str, Any]]:
    """Return the records in an answer as a list of objects.

    data: a list of objects, an object with such a list under `kind`, or an object of objects, whose keys become
    `id`.
    """
    if isinstance(data, dict) and isinstance(data.get(kind), list | dict):
        data = data[kind]
    if isinstance(data, dict):
        data = [
            {"id": key} | value if isinstance(value, dict) else {"id": key, "value": value}
            for key, value in data.items()
        ]
    return [row if isinstance(row, dict) else {"id": row} for row in data or []]


def cell(value: Any) -> str:
    """Format a value as a table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ",".join(map(cell, value)) or "-"
    if isinstance(value, dict):
        return ",".join(f"{key}={cell(item)}" for key, item in value.items()) or "-"
    # Values may be untrusted: strip terminal control characters.
    return "".join(letter if letter.isprintable() else "?" for letter in str(value)) or "-"


def table(records: list[dict[str, Any]]) -> str:
    """Format the records as a table with one line each, LEADING_COLUMNS first."""
    names = dict.fromkeys(name for record in records for name in record)
    columns = [name for name in LEADING_COLUMNS if name in names] + [
        name for name in names if name not in LEADING_COLUMNS
    ]
    if not columns:
        return "none\n"
    lines = [[name.upper() for name in columns]]
    lines += [[cell(record.get(name)) for name in columns] for record in records]
    widths = [max(len(line[index]) for line in lines) for index in range(len(columns))]
    return "".join("  ".join(map(str.ljust, line, widths)).rstrip() + "\n" for line in lines)
