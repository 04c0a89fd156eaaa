"""The calls of the control API: method, path and handler."""

from __future__ import annotations

from typing import NamedTuple


class ControlCall(NamedTuple):
    """A call: its method, its path, and the name of the handler that serves it.

    A path that ends with a slash is followed by one name, which is handed to the handler.
    """

    method: str
    path: str
    handler: str


class Match(NamedTuple):
    """The handler of a call, and the name in its path (empty if it has none)."""

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
_EXACT = {(call.method, call.path): call for call in TABLE if not call.path.endswith("/")}
_EXACT_PATHS = {path for _, path in _EXACT}
_NAMED = [call for call in TABLE if call.path.endswith("/")]

NOT_FOUND, METHOD_NOT_ALLOWED = 404, 405


def find(method: str, path: str) -> Match | int:
    """The handler of a call, or the HTTP status that says why there is none."""
    if (call := _EXACT.get((method, path))) is not None:
        return Match(call.handler, "")
    known = path in _EXACT_PATHS
    for call in _NAMED:
        name = path.removeprefix(call.path)
        if path.startswith(call.path) and name and "/" not in name:
            known = True
            if method == call.method:
                return Match(call.handler, name)
    return METHOD_NOT_ALLOWED if known else NOT_FOUND
