"""The items of a configuration as sent, and their validation."""

from collections.abc import Callable
from typing import Any, Literal

import msgspec
from msgspec import Raw, Struct

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.text import decode, seconds

KINDS = ("routes", "svcs", "tenants", "limits")
MAX_TIMEOUT_S = 600.0


class Meta(Struct, frozen=True, gc=False):
    """The name of an item. The limits, of which there is one set, carry none."""

    name: str = ""


class Share(Struct, frozen=True, gc=False):
    """One service of a split, with its weight (any unit, 0 or more)."""

    svc: str
    wt: float


class RouteSpec(Struct, frozen=True):
    """A route as sent. Times are text; `split` replaces `svc`."""

    vhost: str
    prefix: str
    kind: Literal["safe", "unsafe", "idem"]
    timeout: str
    target_time: str | None = None
    prio: int = 0
    svc: str | None = None
    split: tuple[Share, ...] | None = None
    tries: int = 1
    public: bool = False

    def services(self) -> tuple[str, ...]:
        """Return the names of all services of this route, including those with weight 0."""
        named = tuple(share.svc for share in self.split) if self.split is not None else ()
        return (*named, self.svc) if self.svc else named


class ServiceSpec(Struct, frozen=True, gc=False):
    """A service as sent. `maxconn` is the number of connections one of its servers takes, 0 for any."""

    hc_path: str = "/"
    maxconn: int = 0
    proto: str = "h1"
    tls: bool = False


class TenantSpec(Struct, frozen=True):
    """A tenant as sent. `rate_per_s` and `burst` are requests; 0 or left out is no limit."""

    apikeys: tuple[str, ...] = ()
    prio: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class LimitsSpec(Struct, frozen=True, gc=False):
    """What clients may send: sizes in bytes, times as text."""

    hdr_bytes: int = 16384
    body_max_bytes: int = 67108864
    hdr: str = "3000ms"
    idle: str = "15000ms"


Spec = RouteSpec | ServiceSpec | TenantSpec | LimitsSpec


class Item(Struct, frozen=True, eq=False):
    """One entry of `objs`: its kind, its name, its JSON as sent, and its decoded spec."""

    kind: str
    name: str
    raw: bytes
    spec: Spec


Items = dict[tuple[str, str], Item]  # by kind and name


class Head(Struct):
    """An entry of `objs` whose spec is not decoded yet."""

    type: str
    spec: Raw
    meta: Meta = Meta()


HEAD_DECODER = msgspec.json.Decoder(Head)
_SPEC_DECODERS = {
    "routes": msgspec.json.Decoder(RouteSpec),
    "svcs": msgspec.json.Decoder(ServiceSpec),
    "tenants": msgspec.json.Decoder(TenantSpec),
    "limits": msgspec.json.Decoder(LimitsSpec),
}


def _check_route(spec: RouteSpec, field: str) -> None:
    if not spec.vhost:
        raise ConfigurationError(400, f"{field}.vhost", "is empty")
    if not (spec.prefix.startswith("/") and spec.prefix.endswith("/")):
        raise ConfigurationError(400, f"{field}.prefix", f"{spec.prefix!r} does not begin and end with a slash")
    timeout = seconds(spec.timeout, f"{field}.timeout")
    if timeout > MAX_TIMEOUT_S:
        raise ConfigurationError(400, f"{field}.timeout", f"{spec.timeout} is above ten minutes")
    if timeout == 0.0:
        raise ConfigurationError(400, f"{field}.timeout", "is 0")
    if spec.target_time is not None:
        seconds(spec.target_time, f"{field}.target_time")
    if spec.tries < 1:
        raise ConfigurationError(400, f"{field}.tries", "is below 1")
    if spec.split is not None:
        total = 0.0
        for index, share in enumerate(spec.split):
            if share.wt < 0:
                raise ConfigurationError(400, f"{field}.split[{index}].wt", f"{share.wt:g} is below 0")
            total += share.wt
        if total <= 0:
            raise ConfigurationError(400, f"{field}.split", "the weights sum to 0")
    elif not spec.svc:
        raise ConfigurationError(400, f"{field}.svc", "the route names neither a service nor a split")


def _check_service(spec: ServiceSpec, field: str) -> None:
    if not spec.hc_path.startswith("/"):
        raise ConfigurationError(400, f"{field}.hc_path", f"{spec.hc_path!r} does not begin with a slash")
    if spec.maxconn < 0:
        raise ConfigurationError(400, f"{field}.maxconn", "is below 0")


def _check_tenant(spec: TenantSpec, field: str) -> None:
    if (spec.rate_per_s or 0) < 0:
        raise ConfigurationError(400, f"{field}.rate_per_s", "is below 0")
    if (spec.burst or 0) < 0:
        raise ConfigurationError(400, f"{field}.burst", "is below 0")
    if "" in spec.apikeys:
        raise ConfigurationError(400, f"{field}.apikeys[{spec.apikeys.index('')}]", "is empty")


def _check_limits(spec: LimitsSpec, field: str) -> None:
    seconds(spec.hdr, f"{field}.hdr")
    seconds(spec.idle, f"{field}.idle")
    if spec.hdr_bytes < 0:
        raise ConfigurationError(400, f"{field}.hdr_bytes", "is below 0")
    if spec.body_max_bytes < 0:
        raise ConfigurationError(400, f"{field}.body_max_bytes", "is below 0")


_CHECKS: dict[str, Callable[[Any, str], None]] = {
    "routes": _check_route,
    "svcs": _check_service,
    "tenants": _check_tenant,
    "limits": _check_limits,
}


def read_item(raw: Raw, field: str) -> Item:
    """Parse one entry of `objs`. Raises ConfigurationError (400)."""
    head = decode(HEAD_DECODER, raw, field)
    kind = head.type
    if kind not in _SPEC_DECODERS:
        raise ConfigurationError(400, f"{field}.type", f"{kind!r} is none of {', '.join(KINDS)}")
    # There is one set of limits; a name is ignored.
    name = head.meta.name if kind != "limits" else ""
    if not name and kind != "limits":
        raise ConfigurationError(400, f"{field}.meta.name", "is missing or empty")
    field += ".spec"
    spec = decode(_SPEC_DECODERS[kind], head.spec, field)
    _CHECKS[kind](spec, field)
    return Item(kind, name, bytes(raw), spec)


def read_items(raws: list[Raw], field: str) -> Items:
    """Parse a list of items. Raises ConfigurationError (400), also for duplicate names."""
    items: Items = {}
    for index, raw in enumerate(raws):
        item = read_item(raw, f"{field}[{index}]")
        key = (item.kind, item.name)
        if key in items:
            raise ConfigurationError(
                400, f"{field}[{index}].meta.name", f"there are two {item.kind} named {item.name!r}"
            )
        items[key] = item
    return items


def check_names(checked: Items, items: Items) -> None:
    """Raise ConfigurationError (400) if a route of `checked` names a service that is not among `items`."""
    for (kind, name), item in checked.items():
        if kind == "routes":
            for svc in item.spec.services():
                if ("svcs", svc) not in items:
                    raise ConfigurationError(400, f"routes.{name}.svc", f"names an unknown service {svc!r}")
