"""Slots of one target that are kept free for more urgent kinds of request.

Under overload, requests of a less urgent kind fill all slots as soon as they
become free, and an urgent request that arrives a moment later waits for the end
of one of them. That costs most where the urgent request is a call that a
request at another target needs: its caller fails after it has held a slot
there. So as many slots as the more urgent kinds use on average are not given to
others (trunk reservation).

The urgency of a kind is its priority, and within one priority the length of its
objective: of two requests that cannot both be served, the shorter one displaces
less.
"""

import math

import msgspec

WINDOW_MS = 1_000.0
"""Time constant, in milliseconds, over which the work of a kind is averaged. A
burst lasts for seconds, and a request for a part of one."""

KINDS_MAX = 64
"""Limit of the kinds that are counted. A service has a few routes; those that
are no longer used fade out and are dropped first."""

Rank = tuple[int, float]
"""Priority, and length of the objective in milliseconds; lower is more
urgent."""


class KindLoad(msgspec.Struct):
    """Work of one kind of request that arrives at the target.

    Attributes:
      rank: urgency of the kind.
      slots: slots that the work occupies on average, at `counted_ms`.
      counted_ms: time of the latest arrival.
    """

    rank: Rank
    slots: float
    counted_ms: float

    def slots_at(self, now_ms: float) -> float:
        """Slots that the work occupies on average at a time."""
        age_ms = max(0.0, now_ms - self.counted_ms)
        return self.slots * math.exp(-age_ms / WINDOW_MS)


class RankReservation:
    """Work that arrives at one target, by kind of request.

    Attributes:
      loads: work by kind.
    """

    __slots__ = ("loads",)

    def __init__(self):
        self.loads: dict[str, KindLoad] = {}

    def on_arrival(
        self, now_ms: float, kind: str, rank: Rank, work_ms: float
    ) -> None:
        """Counts the work of a request that has arrived, admitted or not."""
        load = self.loads.get(kind)
        if load is None:
            if len(self.loads) >= KINDS_MAX:
                del self.loads[min(self.loads, key=self._slots_of(now_ms))]
            load = self.loads[kind] = KindLoad(rank, 0.0, now_ms)
        load.rank = rank
        load.slots = load.slots_at(now_ms) + work_ms / WINDOW_MS
        load.counted_ms = now_ms

    def slots_before(self, now_ms: float, rank: Rank, slots: int) -> int:
        """Returns how many slots more urgent kinds than `rank` need.

        At least one slot is left to every kind while it is not in use.

        Args:
          now_ms: the time.
          rank: urgency of a request.
          slots: slots of the target.
        """
        needed = sum(
            load.slots_at(now_ms)
            for load in self.loads.values()
            if load.rank < rank
        )
        return max(0, min(slots - 1, int(needed + 0.5)))

    def _slots_of(self, now_ms: float):
        return lambda kind: self.loads[kind].slots_at(now_ms)
