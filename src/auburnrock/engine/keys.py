"""Mapping of keys to shards.

Hash: xxHash64 (Yann Collet, https://xxhash.com), seed 0.
"""

import xxhash

from auburnrock import records

NO_SHARD = -1
"""Shard number of a request that any node beside a target may run."""


def has_shards(settings: records.ServiceSettings) -> bool:
    """Whether a service's work has owners.

    A service that is not divided by key still has owners if some of its work
    must run at most once: that work is owned by its idempotency key, so that
    a repeat reaches the node that stored the first result.
    """
    return settings.divided_by_key or bool(settings.non_idempotent)


def routing_key(
    settings: records.ServiceSettings, key: str, idempotency_key: str
) -> str:
    """Returns the key that decides a request's owner.

    The result is empty if any node may run the request.

    Args:
      settings: settings of the service.
      key: the caller's key; empty for a service not divided by key.
      idempotency_key: the caller's identifier of work that must run at most
        once; empty for idempotent requests.
    """
    if settings.divided_by_key:
        return key
    return idempotency_key


def shard_count(settings: records.ServiceSettings) -> int:
    """Returns a service's number of shards: hashed ones and one per hot key."""
    return settings.shards + len(settings.hot_keys)


def shard_of(settings: records.ServiceSettings, key: str) -> int:
    """Returns the shard of a key.

    A hot key has a shard of its own after the hashed ones, so that moving it
    moves no other key.
    """
    if key in settings.hot_keys:
        return settings.shards + settings.hot_keys.index(key)
    return hash_of(key) % settings.shards


def hash_of(key: str) -> int:
    """Returns the 64-bit hash of a key."""
    return xxhash.xxh64_intdigest(key.encode())


def page_of(shard: int) -> int:
    """Returns the number of the assignment page that contains a shard."""
    return shard // records.SHARDS_PER_PAGE
