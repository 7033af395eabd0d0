"""How fast a target works, and what share of the keys it should own.

Load answered: targets of one service whose speeds differ by up to three
times. With equal shares the slowest is overloaded while others are idle. The
share follows the time that requests hold a slot, calls of theirs included.
It changes in steps, so that ordinary scatter moves no keys.
"""

import math

DEFAULT_SERVICE_TIME_RATIO = 0.35
"""Work as a share of the objective before any sample. Shares depend on ratios
of paces only, so it stands for a target as fast as the others."""

PACE_WEIGHT = 0.015
"""Weight of a sample in the running mean: about the last 130 requests."""

STEP = 0.18
"""Change of the mean that changes the share. The mean of 130 samples of work
whose spread equals half its mean scatters by 4%."""

SAMPLES_MIN = 100
"""Samples between two changes of the share by one step."""

FIRST_SAMPLES_MIN = 12
"""Samples before a change by more than a step: a target of half the speed has
twice the load that it can bear, and takes ten seconds for 100 samples."""

FIRST_STEP = 2.4
"""Change of the mean that changes the share, times the root of the samples:
three standard errors of work whose spread is 0.8 of its mean."""

STEP_EVERY_MS = 3_000.0
"""Time between two changes of the share: a move takes about a second."""


class ServiceTimeRatio:
    """Running mean of work as a share of the objective.

    Attributes:
      mean: of recent requests.
      applied_mean: the mean that the present share follows.
      samples: since the last change of the share.
      changed_ms: time of that change.
    """

    __slots__ = ("applied_mean", "changed_ms", "mean", "samples")

    def __init__(self, now_ms: float):
        self.mean = DEFAULT_SERVICE_TIME_RATIO
        self.applied_mean = DEFAULT_SERVICE_TIME_RATIO
        self.samples = 0
        self.changed_ms = now_ms

    def restore(self, pace: float) -> None:
        """Goes on from what an earlier process knew, unless samples say more.

        Without it, each planned restart of a node would move keys there and
        back.
        """
        if self.samples < FIRST_SAMPLES_MIN:
            self.mean = self.applied_mean = pace
            self.samples = SAMPLES_MIN // 2

    def add(self, now_ms: float, work_ms: float, objective_ms: float) -> None:
        """Takes the work time of a request that succeeded."""
        self.samples += 1
        weight = max(PACE_WEIGHT, 1.0 / (self.samples + 3))
        self.mean += weight * (work_ms / objective_ms - self.mean)
        if self.samples < FIRST_SAMPLES_MIN:
            return
        if now_ms - self.changed_ms < STEP_EVERY_MS:
            return
        step = STEP
        if self.samples < SAMPLES_MIN:
            step = max(step, FIRST_STEP / math.sqrt(self.samples))
        if abs(self.mean - self.applied_mean) > step * self.applied_mean:
            self.applied_mean = self.mean
            self.changed_ms = now_ms
            self.samples = SAMPLES_MIN // 2

    def capacity_weight(self, slots: int) -> float:
        """Share of the keys for a target with so many slots."""
        return capacity_weight(slots, self.applied_mean)


def capacity_weight(slots: int, pace: float) -> float:
    """Share of the keys for a target with so many slots and this pace."""
    return slots * DEFAULT_SERVICE_TIME_RATIO / pace
