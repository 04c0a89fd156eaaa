"""A configuration as the operator sends it, and what may be wrong with one.

A configuration never changes once it is built; a change builds the next one and shares every item that it
does not touch. Each item keeps the JSON it came in, since what is read back must not differ from what was
sent, fields unknown to this program included.

Everything here is pure: no clock, no input or output.
"""

import hashlib
import re
from typing import Literal

import msgspec
from msgspec import Raw, Struct

KINDS = ("routes", "svcs", "tenants", "limits")
MAX_TIMEOUT_S = 600.0

_TIME = re.compile(r"(\d+(?:\.\d+)?)(ms|s)", re.ASCII)
_VERSION = re.compile(r"[0-9a-fA-F]{8}", re.ASCII)
_WHERE = re.compile(r"^(.*) - at `\$(.*)`$", re.DOTALL)


class ConfigurationError(Exception):
    """A configuration or a change that is not taken.

    status: the HTTP status that says so: 400 for an invalid one, 412 where another version is current.
    field: the place of the fault, as `objs[3].spec.timeout` or `routes.NAME.svc`; empty for the whole body.
    text: the reason, in one line.
    """

    def __init__(self, status: int, field: str, text: str):
        super().__init__(f"{field}: {text}" if field else text)
        self.status = status
        self.field = field
        self.text = text


class Meta(Struct, frozen=True, gc=False):
    """The name of an item. The limits, of which there is one set, carry none."""

    name: str = ""


class Share(Struct, frozen=True, gc=False):
    """One service of a split, with its weight (any unit, 0 or more)."""

    svc: str
    wt: float


class RouteSpec(Struct, frozen=True):
    """A route as sent. Times are text; `split` stands in place of `svc`."""

    vhost: str
    prefix: str
    kind: Literal["safe", "unsafe"]
    timeout: str
    target_time: str | None = None
    prio: int = 0
    svc: str | None = None
    split: tuple[Share, ...] | None = None
    tries: int = 1
    public: bool = False

    def services(self) -> tuple[str, ...]:
        """Return the names of all services this route names, those of weight 0 included."""
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


class Item(Struct, frozen=True, eq=False):
    """One entry of `objs`: its kind, its name, its JSON as sent, and its decoded spec."""

    kind: str
    name: str
    raw: bytes
    spec: RouteSpec | ServiceSpec | TenantSpec | LimitsSpec


class _Head(Struct):
    type: str
    spec: Raw
    meta: Meta = Meta()


class _Upsert(Struct):
    objs: list[Raw] = []


_HEAD = msgspec.json.Decoder(_Head)
_TOP = msgspec.json.Decoder(dict[str, Raw])
_OBJS = msgspec.json.Decoder(list[Raw])
_TEXT = msgspec.json.Decoder(str)
_UPSERT = msgspec.json.Decoder(_Upsert)
_REMOVE = msgspec.json.Decoder(dict[str, list[str]])
_SPECS = {
    "routes": msgspec.json.Decoder(RouteSpec),
    "svcs": msgspec.json.Decoder(ServiceSpec),
    "tenants": msgspec.json.Decoder(TenantSpec),
    "limits": msgspec.json.Decoder(LimitsSpec),
}
_ANY = msgspec.json.Decoder()


def seconds(text: str, field: str = "") -> float:
    """Return the seconds a time such as `1500ms` or `2.5s` stands for.

    Raises ConfigurationError (400), naming `field`, for any other text.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        raise ConfigurationError(400, field, f"{text!r} is not a time, such as 1500ms or 2.5s")
    value = float(match[1])
    return value / 1000.0 if match[2] == "ms" else value


def version(text: str, field: str = "ver") -> int:
    """Return the number of a version written as eight hexadecimal digits. Raises ConfigurationError (400)."""
    if _VERSION.fullmatch(text) is None:
        raise ConfigurationError(400, field, f"{text!r} is not a version of eight hexadecimal digits")
    return int(text, 16)


def version_text(number: int) -> str:
    """Return a version's eight hexadecimal digits."""
    return f"{number:08x}"


def _decode(decoder, data, field: str):
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = str(error) or type(error).__name__
        match = _WHERE.match(text)
        if match is not None:
            text, field = match[1], (field + match[2]).lstrip(".")
        raise ConfigurationError(400, field, text) from None


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
        for place, share in enumerate(spec.split):
            if share.wt < 0:
                raise ConfigurationError(400, f"{field}.split[{place}].wt", f"{share.wt:g} is below 0")
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


_CHECKS = {
    "routes": _check_route,
    "svcs": _check_service,
    "tenants": _check_tenant,
    "limits": _check_limits,
}


def _read_item(raw: Raw, field: str) -> Item:
    head = _decode(_HEAD, raw, field)
    kind = head.type
    if kind not in _SPECS:
        raise ConfigurationError(400, f"{field}.type", f"{kind!r} is none of {', '.join(KINDS)}")
    # There is one set of limits, whatever it may be called.
    name = head.meta.name if kind != "limits" else ""
    if not name and kind != "limits":
        raise ConfigurationError(400, f"{field}.meta.name", "is missing or empty")
    field += ".spec"
    spec = _decode(_SPECS[kind], head.spec, field)
    _CHECKS[kind](spec, field)
    return Item(kind, name, bytes(raw), spec)


def _read_items(raws: list[Raw], field: str) -> dict[tuple[str, str], Item]:
    items: dict[tuple[str, str], Item] = {}
    for place, raw in enumerate(raws):
        item = _read_item(raw, f"{field}[{place}]")
        key = (item.kind, item.name)
        if key in items:
            raise ConfigurationError(
                400, f"{field}[{place}].meta.name", f"there are two {item.kind} named {item.name!r}"
            )
        items[key] = item
    return items


def _check_names(checked: dict[tuple[str, str], Item], items: dict[tuple[str, str], Item]) -> None:
    """Raise ConfigurationError (400) if a route of `checked` names a service that is not among `items`."""
    for (kind, name), item in checked.items():
        if kind == "routes":
            for svc in item.spec.services():
                if ("svcs", svc) not in items:
                    raise ConfigurationError(400, f"routes.{name}.svc", f"names an unknown service {svc!r}")


class Change(Struct, frozen=True, eq=False):
    """A PUT or PATCH that can be read, not yet held against any current configuration.

    digest: SHA-256, in hexadecimal, over the method and the content in canonical form; the same for a body
    that is sent again, however its keys are ordered and spaced.
    body: the bytes as sent. items: what is added or replaced. removed: keys taken away (PATCH only).
    """

    ver: int
    parent: int
    whole: bool
    digest: str
    body: bytes
    items: dict[tuple[str, str], Item]
    removed: frozenset[tuple[str, str]]
    ver_raw: bytes
    parent_raw: bytes
    extras: dict[str, bytes]


class Configuration:
    """One version of the configuration, whole. Not to be changed once built.

    ver: its number; 0 is the empty one. items: by (kind, name), in the order they were sent.
    """

    __slots__ = ("ver", "items", "_ver_raw", "_parent_raw", "_extras", "_dump")

    def __init__(
        self,
        ver: int = 0,
        items: dict[tuple[str, str], Item] | None = None,
        ver_raw: bytes = b'"00000000"',
        parent_raw: bytes = b'"00000000"',
        extras: dict[str, bytes] | None = None,
    ):
        self.ver = ver
        self.items = items if items is not None else {}
        self._ver_raw = ver_raw
        self._parent_raw = parent_raw
        self._extras = extras or {}
        self._dump: bytes | None = None

    @classmethod
    def from_put(cls, body: bytes) -> "Configuration":
        """Read a whole configuration, as put or as dumped. Raises ConfigurationError (400)."""
        return _put(_read(True, body, False))

    @classmethod
    def from_change(cls, current: "Configuration", whole: bool, body: bytes) -> "Configuration":
        """Read the configuration that a change already agreed on makes of `current`.

        Raises ConfigurationError (400) if it cannot be read.
        """
        change = _read(whole, body, False)
        return _put(change) if whole else current._patched(change)

    def patched(self, body: bytes) -> "Configuration":
        """Return the whole configuration that a PATCH body makes of this one.

        The parent is not compared; `judge` does that. Raises ConfigurationError (400).
        """
        return self._patched(_read(False, body, False))

    def _patched(self, change: Change) -> "Configuration":
        items = self.items.copy()
        for key in change.removed:
            items.pop(key, None)
        items.update(change.items)
        # Routes that stay can lose their service only where one is removed.
        touched = items if any(kind == "svcs" for kind, _ in change.removed) else change.items
        _check_names(touched, items)
        return Configuration(change.ver, items, change.ver_raw, change.parent_raw, self._extras)

    def of(self, kind: str) -> dict[str, Item]:
        """Return the items of one kind by name."""
        return {name: item for (each, name), item in self.items.items() if each == kind}

    def dump(self) -> bytes:
        """Return the whole configuration as JSON, laid out as it is put, its parent included."""
        if self._dump is None:
            parts = [
                b'{"ver":',
                self._ver_raw,
                b',"parent":',
                self._parent_raw,
                b',"objs":[',
                b",".join([item.raw for item in self.items.values()]),
                b"]",
            ]
            for name, raw in self._extras.items():
                parts += (b",", msgspec.json.encode(name), b":", raw)
            parts.append(b"}")
            self._dump = b"".join(parts)
        return self._dump


EMPTY = Configuration()


def _read(whole: bool, body: bytes, digested: bool) -> Change:
    top = _decode(_TOP, body, "")
    raws = {}
    for field in ("ver", "parent"):
        if field not in top:
            raise ConfigurationError(400, field, "is missing")
        raws[field] = bytes(top.pop(field))
    ver = version(_decode(_TEXT, raws["ver"], "ver"))
    # The first configuration builds on 0, which some callers may write as a plain number.
    parent = 0 if raws["parent"] == b"0" else version(_decode(_TEXT, raws["parent"], "parent"), "parent")
    removed = set()
    if whole:
        if "objs" not in top:
            raise ConfigurationError(400, "objs", "is missing")
        items = _read_items(_decode(_OBJS, top.pop("objs"), "objs"), "objs")
    else:
        items = {}
        if "upsert" in top:
            items = _read_items(_decode(_UPSERT, top.pop("upsert"), "upsert").objs, "upsert.objs")
        if "remove" in top:
            for kind, names in _decode(_REMOVE, top.pop("remove"), "remove").items():
                if kind not in _SPECS:
                    raise ConfigurationError(400, f"remove.{kind}", f"is none of {', '.join(KINDS)}")
                removed.update([(kind, name if kind != "limits" else "") for name in names])
        for kind, name in removed:
            if (kind, name) in items:
                raise ConfigurationError(400, f"remove.{kind}", f"{name!r} is to be both set and removed")
    digest = ""
    if digested:
        # Decoding the whole body also finds text that is not UTF-8 in fields nobody reads.
        canonical = msgspec.json.encode(_decode(_ANY, body, ""), order="sorted")
        digest = hashlib.sha256((b"put " if whole else b"patch ") + canonical).hexdigest()
    extras = {name: bytes(raw) for name, raw in top.items()}
    return Change(ver, parent, whole, digest, body, items, frozenset(removed), raws["ver"], raws["parent"], extras)


def _put(change: Change) -> Configuration:
    _check_names(change.items, change.items)
    return Configuration(change.ver, change.items, change.ver_raw, change.parent_raw, change.extras)


def parse_change(method: str, body: bytes) -> Change:
    """Read the body of a PUT or PATCH.

    Everything that is invalid whatever the current version is raises ConfigurationError (400) here; a method
    that is neither raises it with 405.
    """
    if method not in ("PUT", "PATCH"):
        raise ConfigurationError(405, "", f"{method} changes no configuration")
    change = _read(method == "PUT", body, True)
    if change.whole:
        _check_names(change.items, change.items)
    return change


def judge(current: Configuration, change: Change) -> Configuration:
    """Return the configuration that `change` makes of `current`.

    Raises ConfigurationError: 412 where it was built on another version than the current one, 400 where its
    version is not above the current one or what comes out of it is invalid. Whether the very same change has
    been taken before (then it is acknowledged again) is known by its digest and asked by the caller first.
    """
    if change.parent != current.ver:
        raise ConfigurationError(
            412, "parent", f"version {version_text(current.ver)} is current, " f"not {version_text(change.parent)}"
        )
    if change.ver <= current.ver:
        raise ConfigurationError(
            400, "ver", f"{version_text(change.ver)} is not above the current " f"{version_text(current.ver)}"
        )
    return _put(change) if change.whole else current._patched(change)


def faults(body: bytes) -> list[ConfigurationError]:
    """Return every fault of a whole configuration, for checkers; `from_put` stops at the first one."""
    try:
        top = _decode(_TOP, body, "")
    except ConfigurationError as error:
        return [error]
    found: list[ConfigurationError] = []
    for field in ("ver", "parent"):
        if field not in top:
            found.append(ConfigurationError(400, field, "is missing"))
        elif field == "ver" or bytes(top[field]) != b"0":
            try:
                version(_decode(_TEXT, top[field], field), field)
            except ConfigurationError as error:
                found.append(error)
    if "objs" not in top:
        return [*found, ConfigurationError(400, "objs", "is missing")]
    try:
        raws = _decode(_OBJS, top["objs"], "objs")
    except ConfigurationError as error:
        return [*found, error]
    items: dict[tuple[str, str], Item] = {}
    broken: set[tuple[str, str]] = set()
    for place, raw in enumerate(raws):
        field = f"objs[{place}]"
        try:
            item = _read_item(raw, field)
        except ConfigurationError as error:
            found.append(error)
            # A service that is there but faulty is no unknown service.
            try:
                head = _HEAD.decode(raw)
                broken.add((head.type, head.meta.name))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                pass
            continue
        key = (item.kind, item.name)
        if key in items:
            found.append(
                ConfigurationError(400, f"{field}.meta.name", f"there are two {item.kind} named {item.name!r}")
            )
        items[key] = item
    for (kind, name), item in items.items():
        if kind == "routes":
            found += [
                ConfigurationError(400, f"routes.{name}.svc", f"names an unknown service {svc!r}")
                for svc in item.spec.services()
                if ("svcs", svc) not in items and ("svcs", svc) not in broken
            ]
    return found
