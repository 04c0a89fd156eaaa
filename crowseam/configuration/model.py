"""A configuration as the operator sends it, and the application of changes.

A configuration is immutable; a change builds the next one, which shares all unchanged items. Each item keeps its
original JSON, since a configuration must be read back exactly as it was sent, including unknown fields.

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


BODY_DECODER = msgspec.json.Decoder(dict[str, Raw])
OBJECTS_DECODER = msgspec.json.Decoder(list[Raw])
STRING_DECODER = msgspec.json.Decoder(str)
_UPSERT_DECODER = msgspec.json.Decoder(Upsert)
_REMOVE_DECODER = msgspec.json.Decoder(dict[str, list[str]])
_ANY_DECODER = msgspec.json.Decoder()


class Change(Struct, frozen=True, eq=False):
    """A parsed PUT or PATCH, not yet validated against the current configuration.

    digest: SHA-256, in hexadecimal, of the method and the content in canonical form, which does not depend on the
    order of keys and on whitespace.
    body: the bytes as sent. items: added or replaced ones. removed: keys of removed items (PATCH only).
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
    """One version of the whole configuration. Immutable.

    ver: its number; 0 is the empty configuration. items: by (kind, name), in the order they were sent.
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
        """Parse a whole configuration, as sent by a PUT or as dumped. Raises ConfigurationError (400)."""
        return _from_change(_read(True, body, False))

    @classmethod
    def from_change(cls, current: "Configuration", whole: bool, body: bytes) -> "Configuration":
        """Apply a change that the controllers have already agreed on to `current`.

        Raises ConfigurationError (400) if it cannot be parsed.
        """
        change = _read(whole, body, False)
        return _from_change(change) if whole else current._patched(change)

    def patched(self, body: bytes) -> "Configuration":
        """Apply the body of a PATCH to this configuration.

        The parent is not compared; `apply_change` does that. Raises ConfigurationError (400).
        """
        return self._patched(_read(False, body, False))

    def _patched(self, change: Change) -> "Configuration":
        items = self.items.copy()
        for key in change.removed:
            items.pop(key, None)
        items.update(change.items)
        # Unchanged routes have to be checked only if a service is removed.
        touched = items if any(kind == "svcs" for kind, _ in change.removed) else change.items
        check_names(touched, items)
        return Configuration(change.ver, items, change.ver_raw, change.parent_raw, self._extras)

    def items_of_kind(self, kind: str) -> dict[str, Item]:
        """Return the items of one kind by name."""
        return {name: item for (item_kind, name), item in self.items.items() if item_kind == kind}

    def dump(self) -> bytes:
        """Return the whole configuration as JSON, in the form of a PUT."""
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


def _read(whole: bool, body: bytes, with_digest: bool) -> Change:
    """Parse the body of a PUT (`whole`) or PATCH. Raises ConfigurationError (400)."""
    top = decode(BODY_DECODER, body, "")
    raws = {}
    for field in ("ver", "parent"):
        if field not in top:
            raise ConfigurationError(400, field, "is missing")
        raws[field] = bytes(top.pop(field))
    ver = version(decode(STRING_DECODER, raws["ver"], "ver"))
    # The parent of the first configuration is 0, which may be a plain number.
    parent = 0 if raws["parent"] == b"0" else version(decode(STRING_DECODER, raws["parent"], "parent"), "parent")
    items, removed = (_read_whole(top), frozenset()) if whole else _read_patch(top)
    digest = _digest(whole, body) if with_digest else ""
    extras = {name: bytes(raw) for name, raw in top.items()}
    return Change(ver, parent, whole, digest, body, items, removed, raws["ver"], raws["parent"], extras)


def _read_whole(top: dict[str, Raw]) -> Items:
    """Remove the items of a PUT from its fields, and parse them."""
    if "objs" not in top:
        raise ConfigurationError(400, "objs", "is missing")
    return read_items(decode(OBJECTS_DECODER, top.pop("objs"), "objs"), "objs")


def _read_patch(top: dict[str, Raw]) -> tuple[Items, frozenset[tuple[str, str]]]:
    """Remove the upserted items and the removed keys of a PATCH from its fields, and parse them."""
    items: Items = {}
    removed = set()
    if "upsert" in top:
        items = read_items(decode(_UPSERT_DECODER, top.pop("upsert"), "upsert").objs, "upsert.objs")
    if "remove" in top:
        for kind, names in decode(_REMOVE_DECODER, top.pop("remove"), "remove").items():
            if kind not in KINDS:
                raise ConfigurationError(400, f"remove.{kind}", f"is none of {', '.join(KINDS)}")
            removed.update([(kind, name if kind != "limits" else "") for name in names])
    for kind, name in removed:
        if (kind, name) in items:
            raise ConfigurationError(400, f"remove.{kind}", f"{name!r} is to be both set and removed")
    return items, frozenset(removed)


def _digest(whole: bool, body: bytes) -> str:
    # Decoding the whole body also validates the UTF-8 of unused fields.
    canonical = msgspec.json.encode(decode(_ANY_DECODER, body, ""), order="sorted")
    return hashlib.sha256((b"put " if whole else b"patch ") + canonical).hexdigest()


def _from_change(change: Change) -> Configuration:
    check_names(change.items, change.items)
    return Configuration(change.ver, change.items, change.ver_raw, change.parent_raw, change.extras)


def parse_change(method: str, body: bytes) -> Change:
    """Parse the body of a PUT or PATCH.

    Raises ConfigurationError (400) for all errors that do not depend on the current version, and with 405 for other
    methods.
    """
    if method not in ("PUT", "PATCH"):
        raise ConfigurationError(405, "", f"{method} changes no configuration")
    change = _read(method == "PUT", body, True)
    if change.whole:
        check_names(change.items, change.items)
    return change


def apply_change(current: Configuration, change: Change) -> Configuration:
    """Return the configuration that results from applying `change` to `current`.

    Raises ConfigurationError: 412 if its parent is not the current version, 400 if its version is not above the
    current one or the result is invalid. The caller first recognizes a repeated change, which is acknowledged again,
    by its digest.
    """
    if change.parent != current.ver:
        raise ConfigurationError(
            412, "parent", f"version {version_text(current.ver)} is current, " f"not {version_text(change.parent)}"
        )
    if change.ver <= current.ver:
        raise ConfigurationError(
            400, "ver", f"{version_text(change.ver)} is not above the current " f"{version_text(current.ver)}"
        )
    return _from_change(change) if change.whole else current._patched(change)
