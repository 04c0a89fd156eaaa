"""The calls of the control API: method, path and handler."""

from __future__ import annotations

from typing import NamedTuple


class ControlCall(NamedTuple):
    """A call, with the name of its handler.

    A path that ends with a slash is a prefix: one name follows it, which is passed to the handler.
    """

    method: str
    path: str
    handler: str


class Match(NamedTuple):
    """The name of a call's handler, and the name at the end of its path (empty if there is none)."""

    handler: str
    name: str


TABLE: tuple[ControlCall, ...] = (
    ControlCall("PUT", "/-/backends/", "heartbeat"),
    ControlCall("DELETE", "/-/backends/", "leave"),
    ControlCall("GET", "/-/config", "config_get"),
    ControlCall("PUT", "/-/config", "config_change"),
    ControlCall("PATCH", "/-/config", "config_change"),
    ControlCall("GET", "/-/history", "history"),
    ControlCall("GET", "/-/servers", "servers"),
    ControlCall("GET", "/-/members", "members"),
    ControlCall("GET", "/-/duties", "duties"),
    ControlCall("GET", "/-/status", "status"),
    ControlCall("GET", "/-/metrics", "metrics"),
    ControlCall("GET", "/-/readyz", "readyz"),
    ControlCall("POST", "/-/retire", "retire"),
    ControlCall("GET", "/-/retiring", "retiring"),
    ControlCall("GET", "/-/retiring/", "retiring"),
    ControlCall("GET", "/-/operations", "operations"),
    ControlCall("GET", "/-/operations/", "operations"),
)
_EXACT_CALLS = {(call.method, call.path): call for call in TABLE if not call.path.endswith("/")}
_EXACT_PATHS = {path for _, path in _EXACT_CALLS}
_PREFIX_CALLS = [call for call in TABLE if call.path.endswith("/")]

NOT_FOUND, METHOD_NOT_ALLOWED = 404, 405


def find(method: str, path: str) -> Match | int:
    """Return the handler of a call, or the HTTP status if there is none."""
    if (call := _EXACT_CALLS.get((method, path))) is not None:
        return Match(call.handler, "")
    is_known_path = path in _EXACT_PATHS
    for call in _PREFIX_CALLS:
        name = path.removeprefix(call.path)
        if path.startswith(call.path) and name and "/" not in name:
            is_known_path = True
            if method == call.method:
                return Match(call.handler, name)
    return METHOD_NOT_ALLOWED if is_known_path else NOT_FOUND
