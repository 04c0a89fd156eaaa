"""The one table of the calls that servers and operators make: method, path and who serves it."""

from __future__ import annotations

# A path that ends with a slash is followed by one name, which is handed to the handler.
TABLE: tuple[tuple[str, str, str], ...] = (
    ("PUT", "/-/backends/", "heartbeat"),
    ("DELETE", "/-/backends/", "leave"),
    ("GET", "/-/config", "config_get"),
    ("PUT", "/-/config", "config_change"),
    ("PATCH", "/-/config", "config_change"),
    ("GET", "/-/history", "history"),
    ("GET", "/-/servers", "servers"),
    ("GET", "/-/members", "members"),
    ("GET", "/-/duties", "duties"),
    ("GET", "/-/status", "status"),
    ("GET", "/-/metrics", "metrics"),
    ("GET", "/-/readyz", "readyz"),
    ("POST", "/-/retire", "retire"),
    ("GET", "/-/retiring", "retiring"),
    ("GET", "/-/retiring/", "retiring"),
)
_EXACT = {(method, path): name for method, path, name in TABLE if not path.endswith("/")}
_NAMED = [(method, path, name) for method, path, name in TABLE if path.endswith("/")]
_EXACT_PATHS = {path for _, path in _EXACT}


def find(method: str, path: str) -> tuple[str, str] | int:
    """(handler, name in the path) of a call, or the status that says why there is none."""
    if (name := _EXACT.get((method, path))) is not None:
        return name, ""
    known = path in _EXACT_PATHS
    for each, prefix, name in _NAMED:
        if path.startswith(prefix) and len(path) > len(prefix) and "/" not in path[len(prefix) :]:
            known = True
            if method == each:
                return name, path[len(prefix) :]
    return 405 if known else 404
