"""Which keys deserve a shard of their own.

A key with a shard of its own moves alone. The two limits lie apart, so that a
key near one of them does not come and go.
"""

import msgspec

from auburnrock.engine.placement import hot_keys

PIN_SHARE = 0.1
"""A key is worth a shard from this share of a server's mean load."""
UNPIN_SHARE = 0.02
"""Below this share it is not worth one any more."""


class PinAdvice(msgspec.Struct, frozen=True):
    """Keys to add to a service's hot keys and to take out.

    Attributes:
      pin: hottest first.
      unpin: in the order in which they are listed.
    """

    pin: list[str]
    unpin: list[str]


def advise(
    hot: list[hot_keys.HotKey],
    pinned: list[str],
    mean_rate: float,
    limit: int = hot_keys.HOTTEST,
) -> PinAdvice:
    """Compares the hottest keys with those that have a shard.

    Args:
      hot: the hottest keys of the service, hottest first.
      pinned: keys that have a shard of their own.
      mean_rate: requests a second of a server on average.
      limit: most keys that may have a shard of their own.
    """
    highest = {entry.key: entry.rate for entry in hot}
    unpin = [
        key for key in pinned if highest.get(key, 0.0) < UNPIN_SHARE * mean_rate
    ]
    room = max(0, limit - len(pinned) + len(unpin))
    pin = [
        entry.key
        for entry in hot
        if entry.key not in pinned
        and entry.rate - entry.error >= PIN_SHARE * mean_rate
    ]
    return PinAdvice(pin[:room], unpin)
