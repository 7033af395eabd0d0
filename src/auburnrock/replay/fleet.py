"""The servers of a replayed trace: what is true, and what they report."""

import msgspec

from auburnrock.engine.placement import base
from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import load
from auburnrock.replay import trace as traces

LONGEST_QUEUE = 100
"""Requests that wait at a saturated server; it refuses the rest."""


class Server(msgspec.Struct, kw_only=True):
    """One server.

    Attributes:
      up: its announcement, with its true capacity.
      estimator: what its node has learnt of its capacity.
      accepts: False once it drains.
      distortion: how its reports are wrong.
      reports_sent: number of its last report.
    """

    up: traces.ServerUp
    estimator: capacity.CapacityEstimator
    accepts: bool = True
    distortion: traces.Distortion | None = None
    reports_sent: int = 0

    def observe(self, rate: float, tick_s: int) -> None:
        """Lets its node see one tick at `rate` requests a second."""
        served = min(rate, self.up.capacity)
        waiting = LONGEST_QUEUE if rate > self.up.capacity else 0
        in_flight = served / self.up.capacity * self.estimator.slots + waiting
        self.estimator.observe(
            capacity.OutcomeWindow(
                duration_ms=tick_s * 1000,
                completed=int(served * tick_s),
                failed=int((rate - served) * tick_s),
                in_flight_ms=int(in_flight * tick_s * 1000),
            )
        )

    def report(self, shards: list[load.ShardFigures]) -> load.LoadReport:
        """The next report, lies included."""
        self.reports_sent += 1
        learnt = self.estimator.capacity
        if self.distortion is not None:
            learnt *= self.distortion.capacity_factor
            factor = self.distortion.rate_factor
            shards = [
                msgspec.structs.replace(figures, rate=figures.rate * factor)
                for figures in shards
            ]
        return load.LoadReport(
            self.up.incarnation, self.reports_sent, learnt, shards
        )

    def lag_s(self) -> int:
        """By how much its reports come late."""
        return self.distortion.lag_s if self.distortion else 0

    def view(self, believed: float) -> base.ServerView:
        """What a policy is told of it."""
        return base.ServerView(
            incarnation=self.up.incarnation,
            name=self.up.name,
            zone=self.up.zone,
            capacity=believed,
            accepts=self.accepts,
        )


def server(up: traces.ServerUp, slots: int) -> Server:
    """Makes a server of whose capacity nothing is known yet."""
    return Server(up=up, estimator=capacity.CapacityEstimator(slots))
