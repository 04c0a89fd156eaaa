"""Waits until retiring servers are safe to switch off, and reports progress."""

from collections.abc import Callable, Iterable
from typing import Any

from crowseam.cli.errors import CommandError, RefusedError, UnclearError

POLL_INTERVAL_S = 0.5
CONFIRMATIONS = 3  # consecutive answers before a server counts as in use or unknown, as a controller may lag

Row = dict[str, Any]


def progress(view: dict[str, Any], rows: Iterable[Row]) -> str:
    """Return one line on why servers are not safe to switch off yet; empty if all are."""
    unsafe = [row for row in rows if not row.get("safe")]
    if not unsafe:
        return ""
    in_flight: dict[str, int] = {}
    for row in unsafe:
        for gateway, count in row.get("under_way", {}).items():
            in_flight[gateway] = in_flight.get(gateway, 0) + count
    parts = [
        f"{len(unsafe)} not yet safe ({', '.join(row['id'] for row in unsafe[:3])}"
        + (", ..." if len(unsafe) > 3 else "")
        + ")"
    ]
    if in_flight:
        parts.append(
            f"{sum(in_flight.values())} requests under way at {', '.join(sorted(in_flight)[:5])}"
            + (f" and {len(in_flight) - 5} more" if len(in_flight) > 5 else "")
        )
    if unconfirmed := sorted({gateway for row in unsafe for gateway in row.get("unconfirmed", [])}):
        parts.append(f"not confirmed by {', '.join(unconfirmed[:5])}" + (", ..." if len(unconfirmed) > 5 else ""))
    if away := view.get("away"):
        parts.append("away: " + ", ".join(f"{gateway} for {away_s:.0f} s" for gateway, away_s in sorted(away.items())))
    if not view.get("in_touch"):
        parts.append("the controller asked has no majority")
    return "; ".join(parts)


class RetirementWait:
    """Polls until all of the given servers are safe to switch off in one answer.

    query_status(id) returns the answer to the call `retiring` for one server, or for all retiring servers if the
    id is empty. clock and sleep are in seconds; print_progress receives each progress line that differs from the
    previous one.
    """

    def __init__(
        self,
        query_status: Callable[[str], dict[str, Any]],
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        print_progress: Callable[[str], None],
    ):
        self._query_status, self._clock, self._sleep, self._print_progress = query_status, clock, sleep, print_progress
        self._mismatches: dict[str, int] = {}
        self._last_progress = ""

    def until_safe(self, server_ids: list[str], max_wait_s: float) -> list[Row]:
        """Return a row for each server (without ids: all now retiring) once all are safe or gone.

        Raises CommandError if one is back in use, RefusedError if one is unknown, and UnclearError after
        `max_wait_s`.
        """
        deadline = self._clock() + max_wait_s
        while True:
            line = "no clear answer"
            try:
                view = self._query_status("")
                server_ids = server_ids or [row["id"] for row in view["servers"]]
                rows = self._status_rows(server_ids, view)
                line = progress(view, rows)
                if not line:
                    return rows
            except UnclearError as error:
                line = str(error)
            if line != self._last_progress:
                self._last_progress = line
                self._print_progress(line)
            if self._clock() >= deadline:
                raise UnclearError(f"after {max_wait_s:g} s: {line}")
            self._sleep(POLL_INTERVAL_S)

    def _status_rows(self, server_ids: list[str], view: dict[str, Any]) -> list[Row]:
        rows_by_id = {row["id"]: row for row in view["servers"]}
        rows = []
        for server_id in server_ids:
            row = rows_by_id.get(server_id)
            if row is None:
                row = self._query_one(server_id)
            if row["state"] in ("in_use", "unknown"):
                self._mismatches[server_id] = self._mismatches.get(server_id, 0) + 1
                if self._mismatches[server_id] >= CONFIRMATIONS and row["state"] == "in_use":
                    raise CommandError(f"{server_id} is in use: its retirement was taken back, or never was")
                if self._mismatches[server_id] >= CONFIRMATIONS:
                    raise RefusedError(404, f"{server_id} is not known")
            else:
                self._mismatches.pop(server_id, None)
            rows.append(row)
        return rows

    def _query_one(self, server_id: str) -> Row:
        try:
            return self._query_status(server_id)["servers"][0]
        except RefusedError as error:
            if error.status != 404:
                raise
        except IndexError:
            pass  # the server left during the query
        return {"id": server_id, "state": "unknown", "safe": False}
