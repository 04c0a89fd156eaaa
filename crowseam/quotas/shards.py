"""How tenants are cut into the duties of lending: each tenant belongs to one, by its name."""

import zlib
from functools import lru_cache

KEYS = tuple(f"quota/{number}" for number in range(4))


# Each report names hundreds of tenants, the same ones again and again.
@lru_cache(maxsize=1 << 16)
def duty_of(tenant: str) -> str:
    """The duty that a tenant's quota belongs to."""
    return KEYS[zlib.crc32(tenant.encode()) % len(KEYS)]
