"""Capacity of a target, learnt from the outcomes its node saw.

Little's law (J. D. C. Little, Operations Research 9(3), 1961): requests in
flight = throughput * time in the target. A target with as many slots as
requests in flight at most is not queueing, so its capacity is
slots * throughput / in flight; with more in flight it is saturated and its
capacity is the throughput itself. Only what the node saw counts: a target's
own load endpoint lags or lies.
"""

import msgspec

LEAST_COMPLETED = 20
"""Fewest answers in a window that say anything."""
SMOOTHING = 0.2
"""Weight of a new sample against what was learnt before."""
LARGEST_STEP = 2.0
"""A sample counts as at most this factor away from what was learnt."""


class OutcomeWindow(msgspec.Struct, frozen=True, kw_only=True):
    """What a node saw of its target in one window.

    Attributes:
      duration_ms: length of the window.
      completed: requests that the target answered as work done.
      failed: requests that it refused, shed, or gave no answer to.
      in_flight_ms: sum over all requests of the time each was in the target
        within the window.
    """

    duration_ms: int
    completed: int
    failed: int
    in_flight_ms: int


class CapacityEstimator:
    """Learns one target's capacity.

    Attributes:
      slots: requests that the target runs at a time.
      capacity: requests a second; 0 while nothing is known.
    """

    __slots__ = ("capacity", "slots")

    def __init__(self, slots: int):
        assert slots > 0, f"slots must be above 0, got {slots}"
        self.slots = slots
        self.capacity = 0.0

    def observe(self, window: OutcomeWindow) -> None:
        """Learns from a window; one with too few answers changes nothing."""
        enough = window.completed >= LEAST_COMPLETED
        if not enough or window.in_flight_ms <= 0 or window.duration_ms <= 0:
            return
        sample = self._sample(window)
        if self.capacity == 0:
            self.capacity = sample
            return
        lowest = self.capacity / LARGEST_STEP
        highest = self.capacity * LARGEST_STEP
        sample = min(highest, max(lowest, sample))
        self.capacity += SMOOTHING * (sample - self.capacity)

    def _sample(self, window: OutcomeWindow) -> float:
        """Capacity by this window alone."""
        throughput = window.completed * 1000 / window.duration_ms
        in_flight = window.in_flight_ms / window.duration_ms
        unused = max(1.0, self.slots / in_flight)
        # A target that fails fast looks idle. Its failures count against it.
        answered = window.completed / (window.completed + window.failed)
        return throughput * (1 + (unused - 1) * answered)
