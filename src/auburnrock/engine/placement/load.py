"""Merges load reports of nodes that arrive late or out of order.

Each node reports on the shards that it owns, with an increasing sequence
number. A `ReportRegister` holds the latest report of each origin. Merging is
associative, commutative and idempotent, so any order of delivery gives the same
register: it is a map of last-writer-wins registers (M. Shapiro et al.,
"Conflict-free replicated data types", SSS 2011).
"""

from collections.abc import Container
import math
import statistics

import msgspec

from auburnrock.engine.placement import base

CAPACITY_SPREAD_LIMIT = 8.0
"""Maximum factor between a capacity and the median of all capacities; a
capacity outside of it is clamped."""


class ShardFigures(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Load of one shard as observed by its owner.

    Attributes:
      shard: number of the shard.
      epoch: epoch at which the origin of the report owns the shard.
      rate: requests a second.
      keys: number of keys in use in the shard.
    """

    shard: int
    epoch: int
    rate: float
    keys: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Load and capacity of a node's target.

    Attributes:
      origin: incarnation of the reporting node.
      sequence: number of the report, which increases with each report.
      capacity: estimated capacity of the target in requests a second; 0 while
        it is unknown.
      shards: load of each shard that the node owns.
    """

    origin: int
    sequence: int
    capacity: float
    shards: list[ShardFigures]


class ReportRegister:
    """Register of the latest report of each origin.

    Attributes:
      reports: latest reports by the incarnation of their origin.
    """

    __slots__ = ("reports",)

    def __init__(self):
        self.reports: dict[int, LoadReport] = {}

    def merge(self, report: LoadReport) -> bool:
        """Merges a report; returns False if it is invalid or not newer."""
        if not _is_valid(report):
            return False
        current = self.reports.get(report.origin)
        # An origin must not send two reports with the same sequence number. If
        # it does, the greater report wins, so that all registers still agree.
        if current is not None and report <= current:
            return False
        self.reports[report.origin] = report
        return True

    def remove(self, origin: int) -> None:
        """Removes the report of an origin, if there is one."""
        self.reports.pop(origin, None)

    def loads(self) -> list[base.ShardLoad]:
        """Returns the load of each shard as its latest owner reported it.

        The load that the former owner reported for a moved shard is used until
        the new owner reports the shard.
        """
        latest: dict[int, tuple[int, int, ShardFigures]] = {}
        for report in self.reports.values():
            for figures in report.shards:
                entry = (figures.epoch, report.origin, figures)
                if entry > latest.get(figures.shard, (-1,)):
                    latest[figures.shard] = entry
        return [
            base.ShardLoad(shard, figures.rate, figures.keys)
            for shard, (_, _, figures) in sorted(latest.items())
        ]

    def capacities(self, live: Container[int]) -> dict[int, float]:
        """Returns the clamped capacities of the live origins.

        Origins whose capacity is unknown are left out.
        """
        return clamp_capacities(
            {
                origin: report.capacity
                for origin, report in self.reports.items()
                if origin in live and report.capacity > 0
            }
        )


def clamp_capacities(capacities: dict[int, float]) -> dict[int, float]:
    """Clamps capacities to `CAPACITY_SPREAD_LIMIT` times the median or less.

    Servers differ in speed, but a capacity beyond the limit is more likely
    wrong, and a wrong capacity would attract or repel every key. The limit
    applies in both directions.
    """
    if not capacities:
        return {}
    median = statistics.median(capacities.values())
    lowest = median / CAPACITY_SPREAD_LIMIT
    highest = median * CAPACITY_SPREAD_LIMIT
    return {
        origin: min(highest, max(lowest, capacity))
        for origin, capacity in sorted(capacities.items())
    }


def assumed_capacity(capacities: dict[int, float]) -> float:
    """Returns the capacity to assume for a server whose capacity is unknown.

    It is the median of the known capacities, or 1 if there are none.
    """
    return statistics.median(capacities.values()) if capacities else 1.0


def _is_valid(report: LoadReport) -> bool:
    """Returns whether all capacities and rates are finite and >= 0."""
    figures = [report.capacity, *(shard.rate for shard in report.shards)]
    return all(math.isfinite(figure) and figure >= 0 for figure in figures)
