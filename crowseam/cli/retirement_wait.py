"""Waiting until servers that leave are safe to switch off, and what is reported meanwhile."""

from collections.abc import Callable, Iterable
from typing import Any

from crowseam.cli.errors import CommandError, RefusedError, UnclearError

EVERY_S = 0.5
SURE = 3  # looks in a row that must find a server back in use, or unknown: a controller may be behind

Row = dict[str, Any]


def progress(view: dict[str, Any], rows: Iterable[Row]) -> str:
    """Return one line on what holds back the word that these servers are safe; empty if nothing does."""
    waiting = [row for row in rows if not row.get("safe")]
    if not waiting:
        return ""
    busy: dict[str, int] = {}
    for row in waiting:
        for gateway, count in row.get("under_way", {}).items():
            busy[gateway] = busy.get(gateway, 0) + count
    lines = [
        f"{len(waiting)} not yet safe ({', '.join(row['id'] for row in waiting[:3])}"
        + (", ..." if len(waiting) > 3 else "")
        + ")"
    ]
    if busy:
        lines.append(
            f"{sum(busy.values())} requests under way at {', '.join(sorted(busy)[:5])}"
            + (f" and {len(busy) - 5} more" if len(busy) > 5 else "")
        )
    if late := sorted({gateway for row in waiting for gateway in row.get("unconfirmed", [])}):
        lines.append(f"not confirmed by {', '.join(late[:5])}" + (", ..." if len(late) > 5 else ""))
    if away := view.get("away"):
        lines.append("away: " + ", ".join(f"{gateway} for {span:.0f} s" for gateway, span in sorted(away.items())))
    if not view.get("in_touch"):
        lines.append("the controller asked has no majority")
    return "; ".join(lines)


class Wait:
    """Asks again and again until all of some servers are safe in one look.

    look(id) gives the answer of the call `retiring` for one server, for all that leave with an empty id.
    clock and sleep are in seconds; say gets each line of progress that differs from the one before.
    """

    def __init__(
        self,
        look: Callable[[str], dict[str, Any]],
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        say: Callable[[str], None],
    ):
        self._look, self._clock, self._sleep, self._say = look, clock, sleep, say
        self._strikes: dict[str, int] = {}
        self._said = ""

    def until_safe(self, idents: list[str], most: float) -> list[Row]:
        """Return a row for each server (no ids: all that leave now) once all are safe or gone.

        Raises CommandError when one is back in use, RefusedError when one is not known (any more), and
        UnclearError after `most` seconds.
        """
        end = self._clock() + most
        while True:
            line = "no clear answer"
            try:
                view = self._look("")
                idents = idents or [row["id"] for row in view["servers"]]
                rows = self._rows(idents, view)
                line = progress(view, rows)
                if not line:
                    return rows
            except UnclearError as error:
                line = str(error)
            if line != self._said:
                self._said = line
                self._say(line)
            if self._clock() >= end:
                raise UnclearError(f"after {most:g} s: {line}")
            self._sleep(EVERY_S)

    def _rows(self, idents: list[str], view: dict[str, Any]) -> list[Row]:
        named = {row["id"]: row for row in view["servers"]}
        rows = []
        for ident in idents:
            row = named.get(ident)
            if row is None:
                row = self._single(ident)
            if row["state"] in ("in_use", "unknown"):
                self._strikes[ident] = self._strikes.get(ident, 0) + 1
                if self._strikes[ident] >= SURE and row["state"] == "in_use":
                    raise CommandError(f"{ident} is in use: its retirement was taken back, or never was")
                if self._strikes[ident] >= SURE:
                    raise RefusedError(404, f"{ident} is not known")
            else:
                self._strikes.pop(ident, None)
            rows.append(row)
        return rows

    def _single(self, ident: str) -> Row:
        try:
            return self._look(ident)["servers"][0]
        except RefusedError as error:
            if error.status != 404:
                raise
        except IndexError:
            pass  # it left while we asked
        return {"id": ident, "state": "unknown", "safe": False}
