"""Which requests are tries of one operation: the key, and the fingerprint of what it stands for."""

from __future__ import annotations

import re
from hashlib import blake2b

HEADER = b"x-op-key"
MAX_KEY_BYTES = 255
_KEY_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 16
_VISIBLE_ASCII = re.compile(rb"[!-~]+")


class OperationKeyError(ValueError):
    """The key of an operation can't be used; the text names the field."""


def read_key(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the key that a request names.

    Raises
    ------
    OperationKeyError
        If there is none, or more than one, or it is too long or not visible ASCII.
    """
    values = [value for name, value in headers if name == HEADER]
    if not values:
        raise OperationKeyError("x-op-key is missing")
    if len(values) > 1:
        raise OperationKeyError("x-op-key is given twice")
    key = values[0]
    if not key:
        raise OperationKeyError("x-op-key is empty")
    if len(key) > MAX_KEY_BYTES:
        raise OperationKeyError(f"x-op-key has {len(key)} bytes, {MAX_KEY_BYTES} at most may be")
    if _VISIBLE_ASCII.fullmatch(key) is None:
        raise OperationKeyError("x-op-key is not visible ASCII")
    return key


def digest_of(tenant: str, key: bytes) -> bytes:
    """Return what names an operation over the fleet. The length of the tenant's name keeps two pairs apart."""
    name = tenant.encode()
    return blake2b(b"%d:%b%b" % (len(name), name, key), digest_size=_KEY_DIGEST_BYTES).digest()


def fingerprint_of(method: bytes, host: bytes, target: bytes, body: bytes) -> bytes:
    """Return a digest by which a repeat is known as the same request."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method, host.lower(), target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()
