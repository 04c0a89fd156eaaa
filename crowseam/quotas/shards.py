"""Assigns each tenant's quota to one of a fixed number of shards, each managed by one singleton role."""

import zlib
from functools import lru_cache

ROLE_KEYS = tuple(f"quota/{number}" for number in range(4))  # one role per shard


# Cached, because each report names hundreds of tenants, mostly the same ones.
@lru_cache(maxsize=1 << 16)
def shard_of(tenant: str) -> str:
    """Return the key of the role that grants leases of a tenant's quota."""
    return ROLE_KEYS[zlib.crc32(tenant.encode()) % len(ROLE_KEYS)]
