"""Decides which keys get a shard of their own.

A key with a shard of its own can be moved alone. `PIN_SHARE` is higher than
`UNPIN_SHARE` so that a key near one of the limits is not pinned and unpinned
repeatedly.
"""

import msgspec

from auburnrock.engine.placement import hot_keys

PIN_SHARE = 0.1
"""Share of a server's mean load from which a key gets a shard of its own."""
UNPIN_SHARE = 0.02
"""Share of a server's mean load below which a key loses its own shard; lower
than `PIN_SHARE`."""


class PinAdvice(msgspec.Struct, frozen=True):
    """Recommended changes to the keys that have a shard of their own.

    Attributes:
      pin: keys to give a shard of their own, hottest first.
      unpin: keys to return to the hashed shards, in the order of the service's
        list.
    """

    pin: list[str]
    unpin: list[str]


def advise(
    hot: list[hot_keys.HotKey],
    pinned: list[str],
    mean_rate: float,
    limit: int = hot_keys.MAX_HOT_KEYS,
) -> PinAdvice:
    """Recommends which keys to pin and to unpin.

    Args:
      hot: the hottest keys of the service, hottest first.
      pinned: keys that have a shard of their own.
      mean_rate: mean requests a second of a server.
      limit: maximum number of keys that may have a shard of their own.
    """
    rates = {entry.key: entry.rate for entry in hot}
    unpin = [
        key for key in pinned if rates.get(key, 0.0) < UNPIN_SHARE * mean_rate
    ]
    free_slots = max(0, limit - len(pinned) + len(unpin))
    pin = [
        entry.key
        for entry in hot
        if entry.key not in pinned
        and entry.rate - entry.error >= PIN_SHARE * mean_rate
    ]
    return PinAdvice(pin[:free_slots], unpin)
