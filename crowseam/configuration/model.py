"""A configuration as the operator sends it, and what a change makes of one.

A configuration never changes once it is built; a change builds the next one and shares every item that it
does not touch. Each item keeps the JSON it came in, since what is read back must not differ from what was
sent, fields unknown to this program included.

Everything here is pure: no clock, no input or output.
"""

import hashlib

import msgspec
from msgspec import Raw, Struct

from crowseam.configuration.errors import ConfigurationError
from crowseam.configuration.specs import KINDS, Item, Items, check_names, read_items
from crowseam.configuration.text import decode, version, version_text


class Upsert(Struct):
    """What a PATCH adds or replaces."""

    objs: list[Raw] = []


TOP = msgspec.json.Decoder(dict[str, Raw])
OBJS = msgspec.json.Decoder(list[Raw])
TEXT = msgspec.json.Decoder(str)
_UPSERT = msgspec.json.Decoder(Upsert)
_REMOVE = msgspec.json.Decoder(dict[str, list[str]])
_ANY = msgspec.json.Decoder()


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
    items: Items
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
        items: Items | None = None,
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
        check_names(touched, items)
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
    """Read the body of a PUT (`whole`) or PATCH. Raises ConfigurationError (400)."""
    top = decode(TOP, body, "")
    raws = {}
    for field in ("ver", "parent"):
        if field not in top:
            raise ConfigurationError(400, field, "is missing")
        raws[field] = bytes(top.pop(field))
    ver = version(decode(TEXT, raws["ver"], "ver"))
    # The first configuration builds on 0, which some callers may write as a plain number.
    parent = 0 if raws["parent"] == b"0" else version(decode(TEXT, raws["parent"], "parent"), "parent")
    items, removed = (_read_whole(top), frozenset()) if whole else _read_patch(top)
    digest = _digest(whole, body) if digested else ""
    extras = {name: bytes(raw) for name, raw in top.items()}
    return Change(ver, parent, whole, digest, body, items, removed, raws["ver"], raws["parent"], extras)


def _read_whole(top: dict[str, Raw]) -> Items:
    """Take the items of a PUT out of its fields."""
    if "objs" not in top:
        raise ConfigurationError(400, "objs", "is missing")
    return read_items(decode(OBJS, top.pop("objs"), "objs"), "objs")


def _read_patch(top: dict[str, Raw]) -> tuple[Items, frozenset[tuple[str, str]]]:
    """Take what a PATCH sets, and the keys of what it removes, out of its fields."""
    items: Items = {}
    removed = set()
    if "upsert" in top:
        items = read_items(decode(_UPSERT, top.pop("upsert"), "upsert").objs, "upsert.objs")
    if "remove" in top:
        for kind, names in decode(_REMOVE, top.pop("remove"), "remove").items():
            if kind not in KINDS:
                raise ConfigurationError(400, f"remove.{kind}", f"is none of {', '.join(KINDS)}")
            removed.update([(kind, name if kind != "limits" else "") for name in names])
    for kind, name in removed:
        if (kind, name) in items:
            raise ConfigurationError(400, f"remove.{kind}", f"{name!r} is to be both set and removed")
    return items, frozenset(removed)


def _digest(whole: bool, body: bytes) -> str:
    # Decoding the whole body also finds text that is not UTF-8 in fields nobody reads.
    canonical = msgspec.json.encode(decode(_ANY, body, ""), order="sorted")
    return hashlib.sha256((b"put " if whole else b"patch ") + canonical).hexdigest()


def _put(change: Change) -> Configuration:
    check_names(change.items, change.items)
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
        check_names(change.items, change.items)
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
