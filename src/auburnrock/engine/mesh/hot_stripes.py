"""Which stripes of a crowded target should go to targets with room.

Load answered: within a second, a few neighbouring keys get a large part of the
requests, so their owner has more work than slots while others of its service
have room. Each owner counts the work that comes for its own stripes. While it
is crowded, its hottest stripes go, one after the other, to the target that has
most room, until it is no longer crowded or no other has room for one.

Load answered besides: one key gets more requests than any one target can bear.
Wherever it went, it would crowd its owner, and each move would leave it without
one for a moment. So it stays, and the owner's other keys make room for it: the
owner's share of the keys becomes smaller while the key is that hot.
"""

import collections

import msgspec

from auburnrock.engine.mesh import model

WINDOW_MS = 1_000.0
"""Work is counted over this time."""

BUCKET_MS = 125.0
"""Steps in which earlier work leaves the count."""

OVERLOAD_THRESHOLD = 0.85
"""Work that comes in a second over what the slots finish in one, from which on
waits grow quickly."""

OVERLOAD_RELIEF_TARGET = 0.7
"""A crowded target gives stripes away until it is down to this."""

HOT_STRIPE_THRESHOLD = 0.02
"""Part of the slots that one stripe keeps busy, from which on it is hot; a
thousand stripes of a target keep a thousandth each."""

HOT_REQUESTS = 4
"""And requests of a window: long work of one request keeps as much busy."""

GIANT = 0.3
"""Part of the slots from which on other keys make room for a stripe that no
other target has room for."""

GIANTS_PART = 0.5
"""Part of all work for the target that giants are, before others make room: in
a target that is slow as a whole, any busy stripe keeps many slots busy."""

RECIPIENT_OWNED_SHARE_MIN = 0.5
"""Part of an even share of the keys that a target must own to get hot ones; the
load of one that has just joined is still to come."""

RESERVED_MAX = 0.9
"""Part of a target's share of the keys that giants may take at most."""

RESERVED_STEP = 0.2
"""Smaller changes of that part move no keys."""

RESERVED_FOR_MS = 3_000.0
"""A giant that has cooled keeps its room for so long: it may come again, and
the keys that come back are without an owner for a moment."""

GAIN = 0.08
"""The other target must be better off by this much after the move: loads are
known from a second ago, and a stripe on its way is served by nobody."""

MOVED_LEAST = 0.15
"""Part of the slots that hot stripes must keep busy together to be moved: each
move is a change of the whole table, for which other owners wait."""

CHECK_INTERVAL_MS = 700.0
"""Between two looks: a move takes about half of this, and then shows in the
loads."""


Sum = tuple[int, float]
"""Requests, and their work in milliseconds of a slot."""

_NOTHING: Sum = (0, 0.0)


class TargetLoad(msgspec.Struct, frozen=True):
    """What is known of another target.

    Attributes:
      utilisation: work that comes for it over what its slots finish.
      capacity_weight: its speed beside others, slots included.
    """

    utilisation: float
    capacity_weight: float


class StripeLoad:
    """Work that came lately, by stripe.

    Attributes:
      buckets: start of each step and the work in it, oldest first.
      sums: requests in all steps and their work, in milliseconds of a slot.
      whole_ms: of all stripes together.
      since_ms: start of the count.
    """

    __slots__ = ("buckets", "since_ms", "sums", "whole_ms")

    def __init__(self, now_ms: float):
        self.buckets: collections.deque[tuple[float, dict[int, Sum]]] = (
            collections.deque()
        )
        self.sums: dict[int, Sum] = {}
        self.whole_ms = 0.0
        self.since_ms = now_ms

    def record_arrival(
        self, now_ms: float, stripe: int, work_ms: float
    ) -> None:
        """Counts work that has come, whether or not it is let in."""
        if not self.buckets or now_ms - self.buckets[-1][0] >= BUCKET_MS:
            self._age(now_ms)
            self.buckets.append((now_ms, {}))
        for sums in (self.buckets[-1][1], self.sums):
            count, before_ms = sums.get(stripe, _NOTHING)
            sums[stripe] = (count + 1, before_ms + work_ms)
        self.whole_ms += work_ms

    def hot_stripes(self, now_ms: float, slots: int) -> dict[int, float]:
        """Part of the slots that each hot stripe keeps busy."""
        slots_ms = self._slots_ms(now_ms, slots)
        return {
            stripe: work_ms / slots_ms
            for stripe, (count, work_ms) in self.sums.items()
            if count >= HOT_REQUESTS
            and work_ms >= HOT_STRIPE_THRESHOLD * slots_ms
        }

    def utilisation(self, now_ms: float, slots: int) -> float:
        """Work that comes over what the slots finish."""
        slots_ms = self._slots_ms(now_ms, slots)
        return self.whole_ms / slots_ms

    def _slots_ms(self, now_ms: float, slots: int) -> float:
        self._age(now_ms)
        span_ms = min(WINDOW_MS, max(BUCKET_MS, now_ms - self.since_ms))
        return max(1, slots) * span_ms

    def _age(self, now_ms: float) -> None:
        while self.buckets and now_ms - self.buckets[0][0] > WINDOW_MS:
            for stripe, (count, work_ms) in self.buckets.popleft()[1].items():
                self.whole_ms -= work_ms
                before, before_ms = self.sums[stripe]
                if before > count:
                    self.sums[stripe] = (before - count, before_ms - work_ms)
                else:
                    del self.sums[stripe]


class HotStripeReservation:
    """How much of a target's share of the keys its giants take.

    Attributes:
      reserved_share: of the share.
      pinned_stripes: their stripes, which stay.
      until_ms: until when it is kept without a giant.
    """

    __slots__ = ("pinned_stripes", "reserved_share", "until_ms")

    def __init__(self):
        self.reserved_share = 0.0
        self.pinned_stripes: set[int] = set()
        self.until_ms = 0.0

    def update(
        self, now_ms: float, utilisation: float, hot: dict[int, float]
    ) -> None:
        """Takes what comes for the target, and for each hot stripe of it.

        Args:
          now_ms: the time.
          utilisation: work that comes for the target over what its slots
            finish.
          hot: part of its slots that each of its hot stripes keeps busy.
        """
        if not self.reserved_share and utilisation <= OVERLOAD_THRESHOLD:
            return
        giants = {stripe for stripe, part in hot.items() if part >= GIANT}
        giants_part = sum(map(hot.get, giants))
        if not self.reserved_share and giants_part < GIANTS_PART * utilisation:
            return
        if giants:
            self.until_ms = now_ms + RESERVED_FOR_MS
        elif now_ms < self.until_ms:
            return
        self.pinned_stripes = giants
        wanted = 0.0
        if giants:
            # What the other keys of a whole share would ask for.
            others = max(
                1e-9, (utilisation - giants_part) / (1.0 - self.reserved_share)
            )
            wanted = 1.0 - max(0.0, OVERLOAD_THRESHOLD - giants_part) / others
            wanted = min(RESERVED_MAX, max(0.0, wanted))
        if abs(wanted - self.reserved_share) >= RESERVED_STEP or not wanted:
            self.reserved_share = wanted


def hot_stripe_moves(
    utilisation: float,
    hot: dict[int, float],
    weight: float,
    others: dict[model.Incarnation, TargetLoad],
) -> dict[int, model.Incarnation]:
    """New owners of the hot stripes that a crowded target should give away.

    Args:
      utilisation: work that comes for this target over what its slots finish.
      hot: part of its slots that each of its hot stripes keeps busy.
      weight: its speed beside others, slots included.
      others: the targets that may own keys besides.
    """
    if utilisation <= OVERLOAD_THRESHOLD or not others:
        return {}
    loads = {life: load.utilisation for life, load in others.items()}
    scale = {
        life: weight / load.capacity_weight
        for life, load in others.items()
        if load.capacity_weight > 0
    }
    found: dict[int, model.Incarnation] = {}
    for stripe in sorted(hot, key=lambda each: (-hot[each], each)):
        if utilisation <= OVERLOAD_RELIEF_TARGET or not scale:
            break
        part = hot[stripe]
        best = min(
            scale,
            key=lambda life: (loads[life] + part * scale[life], life.node),
        )
        after = loads[best] + part * scale[best]
        if after > min(OVERLOAD_THRESHOLD, utilisation - GAIN):
            continue
        loads[best] = after
        utilisation -= part
        found[stripe] = best
    if sum(map(hot.get, found)) < MOVED_LEAST:
        return {}
    return found
