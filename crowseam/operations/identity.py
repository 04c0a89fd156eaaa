"""Identity of a keyed operation: its key, and a fingerprint of the request to detect reuse of the key."""

from __future__ import annotations

import re
from hashlib import blake2b

KEY_HEADER = b"x-op-key"
MAX_KEY_BYTES = 255
_KEY_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 16
_VISIBLE_ASCII = re.compile(rb"[!-~]+")


class OperationKeyError(ValueError):
    """The operation key of a request is missing or invalid; the message names the header field."""


def key_from_headers(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the operation key of a request.

    Raises
    ------
    OperationKeyError
        If there is no key or more than one, or it is empty, too long or not visible ASCII.
    """
    values = [value for name, value in headers if name == KEY_HEADER]
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


def operation_digest(tenant: str, key: bytes) -> bytes:
    """Return the fleet-wide id of an operation. The length prefix keeps distinct (tenant, key) pairs distinct."""
    name = tenant.encode()
    return blake2b(b"%d:%b%b" % (len(name), name, key), digest_size=_KEY_DIGEST_BYTES).digest()


def request_fingerprint(method: bytes, host: bytes, target: bytes, body: bytes) -> bytes:
    """Return a digest that is equal for retries of the same request."""
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method, host.lower(), target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()
