"""Measurement of a target's speed, from which it gets its share of the keys.

The speeds of a service's targets may differ by a factor of three. With equal
shares, the slowest target would be overloaded while others are idle. So the
share follows the time for which requests occupy a slot, including the calls
that they make. It changes in steps, so that ordinary variation moves no keys.
"""

import math

DEFAULT_SERVICE_TIME_RATIO = 0.35
"""Service time over the objective that is assumed before any sample. Shares of
the keys depend only on how targets compare, so it stands for a target that is
as fast as the others."""

SAMPLE_WEIGHT = 0.015
"""Weight of a sample in the moving average, which covers about the last 130
requests."""

CHANGE_THRESHOLD = 0.18
"""Relative change of the moving average from which on the share of the keys
changes. If the standard deviation of the work is half its mean, the average of
130 samples varies by 4%."""

SAMPLES_MIN = 100
"""Samples since the last change of the share from which on
`CHANGE_THRESHOLD` applies."""

EARLY_SAMPLES_MIN = 12
"""Samples since the last change from which on the share may change at all, by
`EARLY_CHANGE_THRESHOLD`. Below `SAMPLES_MIN`, since a target of half the
expected speed has twice the load that it can handle, and takes ten seconds for
100 samples."""

EARLY_CHANGE_THRESHOLD = 2.4
"""Relative change from which on the share changes with fewer than `SAMPLES_MIN`
samples, multiplied by the square root of their number. It equals three standard
errors of work whose standard deviation is 0.8 of its mean."""

CHANGE_INTERVAL_MS = 3_000.0
"""Minimum time between two changes of the share, in milliseconds. A move of
keys takes about a second."""


SHARE_RANGE = 3.0
"""Factor by which a share may differ from the average one and still show a
target's speed. Targets that have just joined or are emptied differ more."""


class ServiceTimeRatio:
    """Moving average of service time over objective of a target's requests.

    Attributes:
      mean: average of recent requests.
      applied_mean: average from which the present share of the keys follows.
      samples: number of samples since the share last changed; starts at half
        of `SAMPLES_MIN` after a change.
      changed_ms: time at which the share last changed.
    """

    __slots__ = ("applied_mean", "changed_ms", "mean", "samples")

    def __init__(self, now_ms: float):
        self.mean = DEFAULT_SERVICE_TIME_RATIO
        self.applied_mean = DEFAULT_SERVICE_TIME_RATIO
        self.samples = 0
        self.changed_ms = now_ms

    def restore(self, ratio: float) -> None:
        """Restores the average that a former process of the node measured.

        Otherwise each planned restart of a node would move keys away and back.
        The call has no effect once there are enough samples.
        """
        if self.samples < EARLY_SAMPLES_MIN:
            self.mean = self.applied_mean = ratio
            self.samples = SAMPLES_MIN // 2

    def add(self, now_ms: float, work_ms: float, objective_ms: float) -> None:
        """Adds the service time of a request that succeeded.

        Args:
          now_ms: the time.
          work_ms: time for which the request occupied a slot.
          objective_ms: length of the request's objective.
        """
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / (self.samples + 3))
        self.mean += weight * (work_ms / objective_ms - self.mean)
        if self.samples < EARLY_SAMPLES_MIN:
            return
        if now_ms - self.changed_ms < CHANGE_INTERVAL_MS:
            return
        threshold = CHANGE_THRESHOLD
        if self.samples < SAMPLES_MIN:
            threshold = max(
                threshold, EARLY_CHANGE_THRESHOLD / math.sqrt(self.samples)
            )
        if abs(self.mean - self.applied_mean) > threshold * self.applied_mean:
            self.applied_mean = self.mean
            self.changed_ms = now_ms
            self.samples = SAMPLES_MIN // 2

    def capacity_weight(self, slots: int) -> float:
        """Returns the weight by which a target with `slots` slots gets keys."""
        return capacity_weight(slots, self.applied_mean)


def ratio_of_share(share: float) -> float:
    """Returns the average from which a target's share of the keys follows.

    After a loss of all nodes, the key table is all that is left of what they
    measured. With equal weights instead, keys would move to equal shares and
    back again while the service recovers.

    Args:
      share: keys that the target owns over those of an average target.
    """
    share = min(SHARE_RANGE, max(1.0 / SHARE_RANGE, share))
    return DEFAULT_SERVICE_TIME_RATIO / share


def capacity_weight(slots: int, ratio: float) -> float:
    """Weight by which a target gets its share of the keys.

    Args:
      slots: requests that the target runs at once.
      ratio: average service time over objective of the target's requests.
    """
    return slots * DEFAULT_SERVICE_TIME_RATIO / ratio
