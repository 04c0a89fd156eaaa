"""The routing table of the data plane, built from one configuration.

A table is immutable; a request keeps the route that it was given. A table that is built from the previous one keeps
the objects of everything unchanged, so that changes are recognized by identity.
"""

from bisect import bisect_right

from msgspec import Struct

from crowseam.configuration.model import Configuration
from crowseam.configuration.specs import Item
from crowseam.configuration.text import seconds


class Route(Struct, frozen=True, eq=False):
    """A route. Times in seconds; `prio` 0 is highest; `split` has pairs of service and weight, which is above 0."""

    name: str
    host: bytes
    prefix: bytes
    safe: bool
    timeout: float
    target: float
    prio: int
    split: tuple[tuple[str, float], ...]
    tries: int
    public: bool
    bounds: tuple[float, ...]
    keyed: bool = False  # its requests have idempotency keys (`idem`)

    @property
    def kind(self) -> str:
        """Return `safe`, `unsafe` or `idem`, as in the configuration."""
        if self.keyed:
            return "idem"
        return "safe" if self.safe else "unsafe"

    def pick(self, draw: float) -> str:
        """Return the service for a random number from [0, 1), by weight."""
        split = self.split
        if len(split) == 1:
            return split[0][0]
        index = bisect_right(self.bounds, draw * self.bounds[-1])
        return split[min(index, len(split) - 1)][0]


class Service(Struct, frozen=True, eq=False):
    """A service: the path of its health probe, and the connections that a server takes (0: unknown)."""

    name: str
    hc_path: str
    maxconn: int


class Tenant(Struct, frozen=True, eq=False):
    """A tenant: requests a second and on top (rate 0: no limit), and its rank, None to keep the route's."""

    name: str
    rate: float
    burst: float
    prio: int | None


class Limits(Struct, frozen=True, gc=False):
    """Limits for clients: sizes in bytes; time to send a head, and idle time, in seconds."""

    hdr_bytes: int = 16384
    body_max_bytes: int = 67108864
    hdr: float = 3.0
    idle: float = 15.0


def host_name(host: bytes) -> bytes:
    """Return a host in lower case and without its port."""
    host = host.strip().lower()
    name, colon, port = host.rpartition(b":")
    if colon and (not port or port.isdigit()) and (b":" not in name or name.endswith(b"]")):
        host = name
    return host


def _route(item: Item) -> Route:
    spec = item.spec
    if spec.split is not None:
        split = tuple((share.svc, share.wt) for share in spec.split if share.wt > 0)
    else:
        split = ((spec.svc, 1.0),)
    bounds, total = [], 0.0
    for _, weight in split:
        total += weight
        bounds.append(total)
    timeout = seconds(spec.timeout)
    target = seconds(spec.target_time) if spec.target_time is not None else timeout
    return Route(
        item.name,
        host_name(spec.vhost.encode()),
        spec.prefix.encode(),
        spec.kind == "safe",
        timeout,
        target,
        spec.prio,
        split,
        spec.tries,
        spec.public,
        tuple(bounds),
        spec.kind == "idem",
    )


def _service(item: Item) -> Service:
    return Service(item.name, item.spec.hc_path, item.spec.maxconn)


def _tenant(item: Item) -> Tenant:
    spec = item.spec
    return Tenant(item.name, spec.rate_per_s or 0.0, spec.burst or 0.0, spec.prio)


def _limits(item: Item) -> Limits:
    spec = item.spec
    return Limits(spec.hdr_bytes, spec.body_max_bytes, seconds(spec.hdr), seconds(spec.idle))


_BUILDERS = {"routes": _route, "svcs": _service, "tenants": _tenant, "limits": _limits}


class Table:
    """A configuration, prepared for lookups by each request.

    ver: the number of the configuration. routes, svcs, tenants: by name. keys: the tenant's name by key.
    limits: the limits for clients. requires_keys: whether requests on routes that are not public need a key.
    changed: items that were added, altered or removed since the previous table, as a set of (kind, name).
    """

    __slots__ = ("ver", "routes", "svcs", "tenants", "keys", "limits", "requires_keys", "changed", "_hosts", "_built")

    def __init__(self, config: Configuration, previous: "Table | None" = None):
        before = previous._built if previous is not None else {}
        built: dict[tuple[str, str], tuple[Item, object]] = {}
        changed = set()
        self.ver = config.ver
        self.routes: dict[str, Route] = {}
        self.svcs: dict[str, Service] = {}
        self.tenants: dict[str, Tenant] = {}
        self.limits = Limits()
        groups = {"routes": self.routes, "svcs": self.svcs, "tenants": self.tenants}
        for key, item in config.items.items():
            known = before.get(key)
            if known is None or (known[0] is not item and known[0].raw != item.raw):
                known = (item, _BUILDERS[item.kind](item))
                changed.add(key)
            built[key] = known
            group = groups.get(item.kind)
            if group is None:
                self.limits = known[1]
            else:
                group[item.name] = known[1]
        changed.update(before.keys() - built.keys())
        self.changed = frozenset(changed)
        self._built = built
        self.requires_keys = bool(self.tenants)
        kinds = {kind for kind, _ in changed}
        if previous is not None and "tenants" not in kinds:
            self.keys = previous.keys
        else:
            self.keys = self._keys(built)
        if previous is not None and "routes" not in kinds:
            self._hosts = previous._hosts
        else:
            self._hosts = self._routes_by_host(self.routes)

    @staticmethod
    def _keys(built: dict) -> dict[str, str]:
        keys: dict[str, str] = {}
        for (kind, name), (item, _) in built.items():
            if kind == "tenants":
                for key in item.spec.apikeys:
                    # A key of two tenants must belong to the same one on every machine, whatever the order of items.
                    if name <= keys.get(key, name):
                        keys[key] = name
        return keys

    @staticmethod
    def _routes_by_host(routes: dict[str, Route]) -> dict[bytes, tuple[int, dict[bytes, Route]]]:
        hosts: dict[bytes, dict[bytes, Route]] = {}
        for name, route in routes.items():
            prefixes = hosts.setdefault(route.host, {})
            other = prefixes.get(route.prefix)
            # Of two routes for the same requests, every machine must choose the same one.
            if other is None or name < other.name:
                prefixes[route.prefix] = route
        return {host: (max(map(len, prefixes)), prefixes) for host, prefixes in hosts.items()}

    def route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route of a request by its Host header and its target, or None if there is none.

        Of the routes of the host it is the one with the longest prefix of the path. The query string is ignored.
        """
        entry = self._hosts.get(host)
        if entry is None:
            entry = self._hosts.get(host_name(host))
            if entry is None:
                return None
        longest, prefixes = entry
        query = path.find(b"?")
        end = len(path) if query < 0 else query
        if end > longest:
            end = longest
        # Prefixes end with a slash, so only those parts of the path are looked up.
        slash = path.rfind(b"/", 0, end)
        while slash >= 0:
            found = prefixes.get(path[: slash + 1])
            if found is not None:
                return found
            slash = path.rfind(b"/", 0, slash)
        return None

    def tenant(self, key: str) -> Tenant | None:
        """Return the tenant of a key, or None."""
        name = self.keys.get(key)
        return self.tenants[name] if name is not None else None
