"""From keys to shards.

Hash: xxHash64 (Yann Collet, https://xxhash.com), seed 0.
"""

import xxhash

from auburnrock import records

NO_SHARD = -1
"""Stands for "no shard": any node beside a target may run the request."""


def has_shards(settings: records.ServiceSettings) -> bool:
    """Whether a service's work has owners.

    A service that is not divided by key still has them if some of its work
    must run at most once: that work is owned by its idempotency key, so that
    a repeat meets the node that remembers the first.
    """
    return settings.divided_by_key or bool(settings.non_idempotent)


def routing_key(
    settings: records.ServiceSettings, key: str, idempotency_key: str
) -> str:
    """What decides the owner of a request; empty if any node may run it.

    Args:
      settings: settings of the service.
      key: the caller's key; empty for a service not divided by key.
      idempotency_key: the caller's name for work that must run at most once;
        empty for idempotent requests.
    """
    if settings.divided_by_key:
        return key
    return idempotency_key


def shard_count(settings: records.ServiceSettings) -> int:
    """How many shards a service has: hashed ones, then one per hot key."""
    return settings.shards + len(settings.hot_keys)


def shard_of(settings: records.ServiceSettings, key: str) -> int:
    """The shard of a key.

    A hot key has a shard of its own after the hashed ones, so that moving it
    moves no other key.
    """
    if key in settings.hot_keys:
        return settings.shards + settings.hot_keys.index(key)
    return hash_of(key) % settings.shards


def hash_of(key: str) -> int:
    """The 64-bit hash of a key."""
    return xxhash.xxh64_intdigest(key.encode())


def page_of(shard: int) -> int:
    """Number of the assignment page that holds a shard."""
    return shard // records.SHARDS_PER_PAGE
