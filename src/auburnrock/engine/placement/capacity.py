"""Estimates a target's capacity from the outcomes of its requests.

The estimate uses Little's law (J. D. C. Little, Operations Research 9(3),
1961): requests in flight = throughput * time in the target. While no more
requests are in flight than the target has slots, it does not queue, and its
capacity is slots * throughput / in flight. With more in flight it is saturated
and its capacity is the throughput. Only outcomes that the node observed are
used, because the target's own load endpoint may lag or be wrong.
"""

import msgspec

MIN_COMPLETED = 20
"""Minimum number of completed requests for a window to give a sample."""
SMOOTHING = 0.2
"""Weight of a new sample in the exponential moving average."""
MAX_STEP_FACTOR = 2.0
"""Maximum factor between a sample and the current estimate; a sample outside
of it is clamped."""


class OutcomeWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of a target's requests in one window.

    Attributes:
      duration_ms: length of the window.
      completed: number of requests that the target executed and answered.
      failed: number of requests that the target refused, shed or did not
        answer.
      in_flight_ms: sum over all requests of the time that each spent in the
        target within the window.
    """

    duration_ms: int
    completed: int
    failed: int
    in_flight_ms: int


class CapacityEstimator:
    """Estimates the capacity of one target.

    Attributes:
      slots: number of requests that the target executes concurrently.
      capacity: estimate in requests a second; 0 before the first sample.
    """

    __slots__ = ("capacity", "slots")

    def __init__(self, slots: int):
        assert slots > 0, f"slots must be above 0, got {slots}"
        self.slots = slots
        self.capacity = 0.0

    def observe(self, window: OutcomeWindow) -> None:
        """Updates the estimate from a window.

        A window with fewer than `MIN_COMPLETED` completed requests is ignored.
        """
        has_enough = window.completed >= MIN_COMPLETED
        if (
            not has_enough
            or window.in_flight_ms <= 0
            or window.duration_ms <= 0
        ):
            return
        sample = self._sample(window)
        if self.capacity == 0:
            self.capacity = sample
            return
        lowest = self.capacity / MAX_STEP_FACTOR
        highest = self.capacity * MAX_STEP_FACTOR
        sample = min(highest, max(lowest, sample))
        self.capacity += SMOOTHING * (sample - self.capacity)

    def _sample(self, window: OutcomeWindow) -> float:
        """Returns the capacity that this window alone implies."""
        throughput = window.completed * 1000 / window.duration_ms
        in_flight = window.in_flight_ms / window.duration_ms
        headroom = max(1.0, self.slots / in_flight)
        # A target that fails requests fast has few of them in flight and would
        # appear idle, so failures reduce the estimated headroom.
        success_share = window.completed / (window.completed + window.failed)
        return throughput * (1 + (headroom - 1) * success_share)
