"""Detection of hot stripes, and their moves from overloaded targets.

Within a second, a few neighbouring keys may get a large part of the requests,
so that their owner has more work than slots while other targets of the service
have free capacity. Each owner measures the work that arrives for its own
stripes. While it is overloaded, its hottest stripes move, one after the other,
to the target with the most free capacity, until the owner is no longer
overloaded or no other target has capacity for one.

One key may also get more requests than any single target can handle. It would
overload each owner in turn, and would be without an owner during each move. So
its stripe is pinned to its owner, and capacity is reserved for it: the owner's
share of the keys becomes smaller while the stripe is that hot, so that its
other keys move away.
"""

import collections

import msgspec

from auburnrock.engine.mesh import model

WINDOW_MS = 1_000.0
"""Length, in milliseconds, of the sliding window over which work is counted."""

BUCKET_MS = 125.0
"""Granularity, in milliseconds, at which work leaves the window. Far below
`WINDOW_MS`."""

OVERLOAD_THRESHOLD = 0.85
"""Utilisation above which a target is overloaded: the work that arrives over
the work that the slots finish in the same time. Waits grow quickly above it."""

OVERLOAD_RELIEF_TARGET = 0.7
"""Utilisation down to which an overloaded target gives stripes away. Below
`OVERLOAD_THRESHOLD`."""

HOT_STRIPE_THRESHOLD = 0.02
"""Share of a target's slots that one stripe must occupy to be hot. A target
with a thousand evenly loaded stripes spends a thousandth on each."""

HOT_REQUESTS_MIN = 4
"""Requests within the window that a stripe must get to be hot as well, since a
single request with long work can occupy as much of the slots."""

PINNED_STRIPE_THRESHOLD = 0.3
"""Share of a target's slots that a hot stripe must occupy for capacity to be
reserved for it, if no other target has capacity for it."""

PINNED_LOAD_SHARE_MIN = 0.5
"""Share of all work for the target that such stripes must have together before
capacity is reserved for them. At a target that is slow as a whole, any busy
stripe occupies many slots."""

RECIPIENT_OWNED_SHARE_MIN = 0.5
"""Share of an even part of the keys that a target must own to receive hot
stripes. The load of a target that has just joined has not arrived yet."""

RESERVED_SHARE_MAX = 0.9
"""Maximum share of a target's part of the keys that is reserved for pinned
stripes."""

RESERVED_SHARE_STEP = 0.2
"""Change of the reserved share below which the reservation stays as it is, so
that small changes of the load move no keys."""

RESERVATION_HOLD_MS = 3_000.0
"""How long, in milliseconds, a reservation stays after its stripes have cooled
down. They may become hot again, and keys that move back are without an owner
for a moment."""

UTILISATION_GAIN_MIN = 0.08
"""How much lower the new owner's utilisation must be after a move than the
former owner's was before it. Loads are known with a delay of a second, and no
target serves a stripe during its move."""

MOVED_LOAD_MIN = 0.15
"""Share of the former owner's slots that the stripes of one change must occupy
together. Each change is a new version of the whole table, for which other
owners have to wait."""

CHECK_INTERVAL_MS = 700.0
"""Time between two checks for hot stripes, in milliseconds. A move takes about
half of it, and then shows in the loads."""


StripeWork = tuple[int, float]
"""Number of requests, and their work in milliseconds of a slot."""

_NO_WORK: StripeWork = (0, 0.0)


class TargetLoad(msgspec.Struct, frozen=True):
    """The load of another target of the service.

    Attributes:
      utilisation: work that arrives for the target over the work that its slots
        can finish.
      capacity_weight: the target's capacity in proportion to that of others,
        from its speed and its slots.
    """

    utilisation: float
    capacity_weight: float


class StripeLoad:
    """Work that has arrived within a sliding window, by stripe.

    Attributes:
      buckets: start time of each bucket and the work in it by stripe, oldest
        first.
      sums: work in all buckets together, by stripe.
      total_ms: work of all stripes together, in milliseconds of a slot.
      started_ms: time at which the counting started.
    """

    __slots__ = ("buckets", "started_ms", "sums", "total_ms")

    def __init__(self, now_ms: float):
        self.buckets: collections.deque[tuple[float, dict[int, StripeWork]]] = (
            collections.deque()
        )
        self.sums: dict[int, StripeWork] = {}
        self.total_ms = 0.0
        self.started_ms = now_ms

    def record_arrival(
        self, now_ms: float, stripe: int, work_ms: float
    ) -> None:
        """Counts work that has arrived, whether or not it is admitted.

        Args:
          now_ms: the time.
          stripe: index of the stripe of the request's key.
          work_ms: expected work of the request, in milliseconds of a slot.
        """
        if not self.buckets or now_ms - self.buckets[-1][0] >= BUCKET_MS:
            self._expire_buckets(now_ms)
            self.buckets.append((now_ms, {}))
        for sums in (self.buckets[-1][1], self.sums):
            count, before_ms = sums.get(stripe, _NO_WORK)
            sums[stripe] = (count + 1, before_ms + work_ms)
        self.total_ms += work_ms

    def hot_stripes(self, now_ms: float, slots: int) -> dict[int, float]:
        """Returns the share of the slots that each hot stripe occupies."""
        slot_time_ms = self._slot_time_ms(now_ms, slots)
        return {
            stripe: work_ms / slot_time_ms
            for stripe, (count, work_ms) in self.sums.items()
            if count >= HOT_REQUESTS_MIN
            and work_ms >= HOT_STRIPE_THRESHOLD * slot_time_ms
        }

    def utilisation(self, now_ms: float, slots: int) -> float:
        """Returns arriving work relative to what `slots` slots can finish."""
        slot_time_ms = self._slot_time_ms(now_ms, slots)
        return self.total_ms / slot_time_ms

    def _slot_time_ms(self, now_ms: float, slots: int) -> float:
        """Work that the slots can finish in the part of the window counted."""
        self._expire_buckets(now_ms)
        span_ms = min(WINDOW_MS, max(BUCKET_MS, now_ms - self.started_ms))
        return max(1, slots) * span_ms

    def _expire_buckets(self, now_ms: float) -> None:
        while self.buckets and now_ms - self.buckets[0][0] > WINDOW_MS:
            for stripe, (count, work_ms) in self.buckets.popleft()[1].items():
                self.total_ms -= work_ms
                before, before_ms = self.sums[stripe]
                if before > count:
                    self.sums[stripe] = (before - count, before_ms - work_ms)
                else:
                    del self.sums[stripe]


class HotStripeReservation:
    """Capacity of a target that is reserved for its pinned stripes.

    A stripe is pinned to its owner if it is so hot that it would overload any
    other target as well.

    Attributes:
      reserved_share: share of the target's part of the keys by which that part
        is reduced; 0 without a reservation.
      pinned_stripes: indexes of the pinned stripes, which don't move.
      reserved_until_ms: time until which the reservation stays when no stripe
        is that hot any more.
    """

    __slots__ = ("pinned_stripes", "reserved_share", "reserved_until_ms")

    def __init__(self):
        self.reserved_share = 0.0
        self.pinned_stripes: set[int] = set()
        self.reserved_until_ms = 0.0

    def update(
        self, now_ms: float, utilisation: float, hot: dict[int, float]
    ) -> None:
        """Updates the reservation from the load of the target.

        Args:
          now_ms: the time.
          utilisation: work that arrives for the target over the work that its
            slots can finish.
          hot: share of the target's slots that each of its hot stripes
            occupies.
        """
        if not self.reserved_share and utilisation <= OVERLOAD_THRESHOLD:
            return
        pinned = {
            stripe
            for stripe, share in hot.items()
            if share >= PINNED_STRIPE_THRESHOLD
        }
        pinned_share = sum(map(hot.get, pinned))
        if (
            not self.reserved_share
            and pinned_share < PINNED_LOAD_SHARE_MIN * utilisation
        ):
            return
        if pinned:
            self.reserved_until_ms = now_ms + RESERVATION_HOLD_MS
        elif now_ms < self.reserved_until_ms:
            return
        self.pinned_stripes = pinned
        new_share = 0.0
        if pinned:
            # Utilisation by the other keys if nothing were reserved.
            other_load = max(
                1e-9, (utilisation - pinned_share) / (1.0 - self.reserved_share)
            )
            new_share = (
                1.0 - max(0.0, OVERLOAD_THRESHOLD - pinned_share) / other_load
            )
            new_share = min(RESERVED_SHARE_MAX, max(0.0, new_share))
        if (
            abs(new_share - self.reserved_share) >= RESERVED_SHARE_STEP
            or not new_share
        ):
            self.reserved_share = new_share


def hot_stripe_moves(
    utilisation: float,
    hot: dict[int, float],
    weight: float,
    others: dict[model.Incarnation, TargetLoad],
) -> dict[int, model.Incarnation]:
    """Returns new owners of hot stripes that an overloaded target gives away.

    Args:
      utilisation: work that arrives for this target over the work that its
        slots can finish.
      hot: share of this target's slots that each of its hot stripes occupies.
      weight: capacity weight of this target, from its speed and its slots.
      others: loads of the other targets that may own keys of the service.

    Returns:
      The new owner of each stripe that should move, by the stripe's index;
      empty if the target isn't overloaded or no move is worth its cost.
    """
    if utilisation <= OVERLOAD_THRESHOLD or not others:
        return {}
    loads = {
        incarnation: load.utilisation for incarnation, load in others.items()
    }
    scale = {
        incarnation: weight / load.capacity_weight
        for incarnation, load in others.items()
        if load.capacity_weight > 0
    }
    found: dict[int, model.Incarnation] = {}
    for stripe in sorted(hot, key=lambda each: (-hot[each], each)):
        if utilisation <= OVERLOAD_RELIEF_TARGET or not scale:
            break
        share = hot[stripe]
        best = min(
            scale,
            key=lambda incarnation: (
                loads[incarnation] + share * scale[incarnation],
                incarnation.node,
            ),
        )
        after = loads[best] + share * scale[best]
        if after > min(OVERLOAD_THRESHOLD, utilisation - UTILISATION_GAIN_MIN):
            continue
        loads[best] = after
        utilisation -= share
        found[stripe] = best
    if sum(map(hot.get, found)) < MOVED_LOAD_MIN:
        return {}
    return found
