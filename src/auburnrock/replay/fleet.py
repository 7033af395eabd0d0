"""Models the servers of a replayed trace: true state and reported load."""

import msgspec

from auburnrock.engine.placement import base
from auburnrock.engine.placement import capacity
from auburnrock.engine.placement import load
from auburnrock.replay import trace as traces

MAX_QUEUED = 100
"""Number of requests that queue at a saturated server, which refuses further
ones."""


class Server(msgspec.Struct, kw_only=True):
    """A server of a replayed trace.

    Attributes:
      up: event that started the server, with its true capacity.
      estimator: estimator of the server's capacity at its node.
      accepts: whether shards may be assigned to it; False once it drains.
      distortion: how its reports differ from the truth; None if they don't.
      reports_sent: number of reports so far.
    """

    up: traces.ServerUp
    estimator: capacity.CapacityEstimator
    accepts: bool = True
    distortion: traces.Distortion | None = None
    reports_sent: int = 0

    def observe(self, rate: float, tick_s: int) -> None:
        """Updates the capacity estimate after one tick.

        Args:
          rate: requests a second that arrived at the server.
          tick_s: length of the tick in seconds.
        """
        served = min(rate, self.up.capacity)
        waiting = MAX_QUEUED if rate > self.up.capacity else 0
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
        """Returns the next report, with the server's distortion applied."""
        self.reports_sent += 1
        reported_capacity = self.estimator.capacity
        if self.distortion is not None:
            reported_capacity *= self.distortion.capacity_factor
            factor = self.distortion.rate_factor
            shards = [
                msgspec.structs.replace(figures, rate=figures.rate * factor)
                for figures in shards
            ]
        return load.LoadReport(
            self.up.incarnation, self.reports_sent, reported_capacity, shards
        )

    def lag_s(self) -> int:
        """Returns the delay of the server's reports in seconds."""
        return self.distortion.lag_s if self.distortion else 0

    def view(self, capacity_per_s: float) -> base.ServerView:
        """Returns the server's state as input of a placement policy.

        Args:
          capacity_per_s: capacity to state, in requests a second.
        """
        return base.ServerView(
            incarnation=self.up.incarnation,
            name=self.up.name,
            zone=self.up.zone,
            capacity=capacity_per_s,
            accepts=self.accepts,
        )


def new_server(up: traces.ServerUp, slots: int) -> Server:
    """Creates a server whose capacity its node has not estimated yet."""
    return Server(up=up, estimator=capacity.CapacityEstimator(slots))
