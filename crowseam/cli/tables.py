"""Plain-text tables of the records in JSON answers."""

from typing import Any

FIRST = ("id", "name", "addr", "svc", "az", "ver", "phase", "state", "slots")


def rows(data: Any, kind: str) -> list[dict[str, Any]]:
    """Return the records in an answer, as a list of objects.

    data: a list of objects, an object that holds such a list under `kind`, or an object of objects, whose
    keys then become `id`.
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
    """Return a value as a cell of a table."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ",".join(map(cell, value)) or "-"
    if isinstance(value, dict):
        return ",".join(f"{key}={cell(each)}" for key, each in value.items()) or "-"
    # A name in the table may come from anyone; it must not steer the terminal.
    return "".join(letter if letter.isprintable() else "?" for letter in str(value)) or "-"


def table(records: list[dict[str, Any]]) -> str:
    """Return the records as a table, one line each, columns in the order in which they are best read."""
    names = dict.fromkeys(name for record in records for name in record)
    columns = [name for name in FIRST if name in names] + [name for name in names if name not in FIRST]
    if not columns:
        return "none\n"
    lines = [[name.upper() for name in columns]]
    lines += [[cell(record.get(name)) for name in columns] for record in records]
    widths = [max(len(line[place]) for line in lines) for place in range(len(columns))]
    return "".join("  ".join(map(str.ljust, line, widths)).rstrip() + "\n" for line in lines)
