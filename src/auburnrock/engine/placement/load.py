"""Load figures of the nodes, merged from reports that lag and cross.

Each node reports about the shards it owns under a growing sequence number. A
book keeps the latest report of each origin, so merging is associative,
commutative and idempotent and any order of delivery gives the same book: a
map of last-writer-wins registers (M. Shapiro et al., "Conflict-free replicated
data types", SSS 2011).
"""

from collections.abc import Container
import math
import statistics

import msgspec

from auburnrock.engine.placement import base

CAPACITY_SPREAD_LIMIT = 8.0
"""A capacity further from the median than this factor is not believed."""


class ShardFigures(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What an owner saw of one shard.

    Attributes:
      shard: number of the shard.
      epoch: epoch at which the origin owns it.
      rate: requests a second.
      keys: keys in use in it.
    """

    shard: int
    epoch: int
    rate: float
    keys: int


class LoadReport(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What a node saw of its own target.

    Attributes:
      origin: incarnation of the reporting node.
      sequence: number of the report, growing.
      capacity: requests a second that its target was seen to manage; 0 while
        nothing is known.
      shards: figures of the shards it owns.
    """

    origin: int
    sequence: int
    capacity: float
    shards: list[ShardFigures]


class LoadBook:
    """The latest report of each origin.

    Attributes:
      reports: by incarnation of the origin.
    """

    __slots__ = ("reports",)

    def __init__(self):
        self.reports: dict[int, LoadReport] = {}

    def merge(self, report: LoadReport) -> bool:
        """Takes a report in; False if it is no news or makes no sense."""
        if not _makes_sense(report):
            return False
        known = self.reports.get(report.origin)
        # Two reports of one sequence are a fault of their origin. The greater
        # one wins, so that even then all books agree.
        if known is not None and report <= known:
            return False
        self.reports[report.origin] = report
        return True

    def forget(self, origin: int) -> None:
        """Drops the report of a node that has ended."""
        self.reports.pop(origin, None)

    def loads(self) -> list[base.ShardLoad]:
        """Load of each shard, as the owner of the highest epoch saw it.

        A shard that has just moved keeps its former owner's figure until the
        next owner reports about it.
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
        """Believable capacity of the live origins that know theirs."""
        return believable(
            {
                origin: report.capacity
                for origin, report in self.reports.items()
                if origin in live and report.capacity > 0
            }
        )


def believable(capacities: dict[int, float]) -> dict[int, float]:
    """Capacities with those far from the median brought back to the limit.

    Racks differ, but a figure further off is more likely wrong, and a wrong
    one would draw or repel every key.
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
    """Capacity to assume of a server that has shown none yet."""
    return statistics.median(capacities.values()) if capacities else 1.0


def _makes_sense(report: LoadReport) -> bool:
    """Whether all figures are finite and not negative."""
    figures = [report.capacity, *(shard.rate for shard in report.shards)]
    return all(math.isfinite(figure) and figure >= 0 for figure in figures)
