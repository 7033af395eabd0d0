"""Default policy: compares what a move saves with what it costs.

A shard that must move is assigned to the server whose utilisation is then the
lowest, heaviest shard first (longest processing time first; R. L. Graham,
"Bounds on multiprocessing timing anomalies", SIAM Journal on Applied
Mathematics 17(2), 1969).

A planned move is made only if it saves more within `HORIZON_S` than it costs.
Both are in seconds of the horizon, weighted by the service's settings:

    saved = HORIZON_S * (imbalance * fall of the variance of utilisation
                         + unavailable_time * fall of the share refused)
    cost  = churn * CHURN_COST_S * share of keys moved
            + unavailable_time * PLANNED_MOVE_S * share of load moved
            + MOVE_COST_S / number of shards

Among the moves away from the busiest server, the one with the highest ratio of
saving to cost is made first, so the shard of a hot key, which holds one key,
moves before others. All terms are shares of the whole service, so the number
of servers does not affect the imbalance that is reached. Each move lowers the
weighted sum by more than its last cost term, and that sum is not negative, so
under constant load the moves must end.
"""

import numpy

from auburnrock import records
from auburnrock.engine.placement import base
from auburnrock.engine.placement import tally as tallies

HORIZON_S = 300.0
"""Time in seconds for which the load is expected not to change."""
CHURN_COST_S = 90.0
"""Cost of moving every key once, in seconds of the horizon."""
PLANNED_MOVE_S = 0.05
"""Unavailable time in seconds of a shard during a planned move."""
MOVE_COST_S = 2.0
"""Cost of moving every shard once, in seconds of the horizon, regardless of
content; it prevents moves with a negligible saving."""
MIN_UTILISATION_GAP = 0.1
"""Minimum difference between the relative utilisation of the source before a
move and that of the destination after it; load figures are no more accurate."""
FULL_UTILISATION = 0.9
"""Utilisation above which a server is expected to refuse requests."""
CANDIDATES_PER_RANKING = 16
"""Number of destinations that are considered from each of two rankings: by
lowest utilisation and by most spare capacity."""
ZONE_WEIGHT = 0.1
"""Weight of the zone's utilisation, relative to the server's own, in the
choice of a server."""

MIN_RATE_SHARE = 0.05
"""Share of the mean rate of a shard that is assumed for an idle shard when it
is placed."""


class Weighted(base.Policy):
    """Reduces imbalance with few moves, by the weights of the service."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        moves, unplaced = base.moves_to_successors(situation, shards)
        tally = tallies.Tally(situation)
        if not tally.servers or not shards:
            return []
        for shard in shards:
            tally.subtract(shard, tallies.next_owner(situation, shard))
        for move in moves:
            tally.add(move.shard, tally.index_of[move.destination])
        unplaced.sort(key=lambda shard: (-tally.rate[shard], shard))
        zones = _Zones(tally)
        # Idle shards are spread too, since they may become busy later.
        min_rate = MIN_RATE_SHARE * float(tally.rate.mean())
        for shard in unplaced:
            rate = max(min_rate, float(tally.rate[shard]))
            chosen = zones.least_utilised(rate)
            zones.add(rate, chosen)
            destination = tally.servers[chosen].incarnation
            moves.append(base.Move(shard, situation.owners[shard], destination))
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves shards off the busiest servers.

        It ends at the budget or when no move would save more than it costs.
        """
        if situation.budget <= 0:
            return []
        tally = tallies.Tally(situation)
        if len(tally.servers) < 2 or tally.is_idle():
            return []
        movable = _movable_by_server(situation, tally)
        chooser = _Chooser(tally, situation.weights)
        moves: list[base.Move] = []
        exhausted = numpy.zeros(len(tally.servers), dtype=bool)
        while len(moves) < situation.budget and not exhausted.all():
            utilisation = tally.load / tally.capacity
            source = int(numpy.argmax(numpy.where(exhausted, -1, utilisation)))
            best = chooser.best(source, movable[source])
            if best is None:
                exhausted[source] = True
                continue
            shard, destination = best
            movable[source].remove(shard)
            tally.load[source] -= tally.rate[shard]
            tally.add(shard, destination)
            moves.append(
                base.Move(
                    shard,
                    tally.servers[source].incarnation,
                    tally.servers[destination].incarnation,
                )
            )
        return moves


class _Zones:
    """Load and capacity of the zones, updated with those of the servers.

    Attributes:
      tally: load and capacity of the servers.
      capacity: requests a second of each zone.
      load: requests a second of each zone.
    """

    def __init__(self, tally: tallies.Tally):
        self.tally = tally
        count = int(tally.zone.max()) + 1
        self.capacity = numpy.bincount(
            tally.zone, weights=tally.capacity, minlength=count
        )
        self.load = numpy.bincount(
            tally.zone, weights=tally.load, minlength=count
        )

    def least_utilised(self, rate: float) -> int:
        """Returns the index of the server to assign a shard of `rate` to.

        It is the server with the lowest sum of its own utilisation, with the
        shard, and `ZONE_WEIGHT` times the utilisation of its zone.
        """
        tally = self.tally
        own = (tally.load + rate) / tally.capacity
        zone = (self.load / self.capacity)[tally.zone]
        return int(numpy.argmin(own + ZONE_WEIGHT * zone))

    def add(self, rate: float, index: int) -> None:
        """Adds `rate` to the load of a server and of its zone."""
        self.tally.load[index] += rate
        self.load[self.tally.zone[index]] += rate


class _Chooser:
    """Compares the possible moves away from one server.

    Attributes:
      tally: load and capacity of the servers.
      weights: the service's weight of each measure.
      total_capacity: requests a second of all accepting servers.
      total_load: requests a second on all accepting servers.
      mean: mean utilisation of the accepting servers.
    """

    def __init__(self, tally: tallies.Tally, weights: records.PlacementWeights):
        self.tally = tally
        self.weights = weights
        self.total_capacity = float(tally.capacity.sum())
        self.total_load = float(tally.load.sum())
        self.mean = tally.mean_utilisation()

    def best(self, source: int, shards: list[int]) -> tuple[int, int] | None:
        """Returns the move with the highest ratio of saving to cost.

        Args:
          source: index of the server to move a shard from.
          shards: shards of that server that may move.

        Returns:
          The shard and the index of the destination; None if no move saves
          more than it costs.
        """
        tally = self.tally
        relative = tally.load / tally.capacity / self.mean
        if (
            not shards
            or relative[source] - relative.min() <= MIN_UTILISATION_GAP
        ):
            return None
        targets = self._candidates()
        candidates = numpy.array(shards)
        rate = tally.rate[candidates][:, None]
        saved = self._saved(source, targets, rate)
        cost = self._cost(tally.keys[candidates][:, None], rate)
        load_after = tally.load[targets] + rate
        relative_after = load_after / tally.capacity[targets] / self.mean
        allowed = (relative[source] - relative_after >= MIN_UTILISATION_GAP) & (
            saved > cost
        )
        if not allowed.any():
            return None
        score = numpy.where(allowed, saved / cost, -1.0)
        row, column = numpy.unravel_index(int(numpy.argmax(score)), score.shape)
        return shards[int(row)], int(targets[column])

    def _candidates(self) -> numpy.ndarray:
        """Returns the indexes of the servers to consider as destinations.

        The variance and the refused requests that a move adds at its
        destination are lowest where utilisation is lowest and, for a heavy
        shard, where spare capacity is highest. Therefore the first servers of
        both rankings suffice.
        """
        tally = self.tally
        if len(tally.servers) <= 2 * CANDIDATES_PER_RANKING:
            return numpy.arange(len(tally.servers))
        utilisation = tally.load / tally.capacity
        spare = FULL_UTILISATION * tally.capacity - tally.load
        # A stable sort ranks equal servers in the same order on any processor.
        least_used = numpy.argsort(utilisation, kind="stable")[
            :CANDIDATES_PER_RANKING
        ]
        most_spare = numpy.argsort(-spare, kind="stable")[
            :CANDIDATES_PER_RANKING
        ]
        return numpy.union1d(least_used, most_spare)

    def _saved(
        self, source: int, targets: numpy.ndarray, rate: numpy.ndarray
    ) -> numpy.ndarray:
        """Returns the seconds saved by moving each shard to each target.

        Rows are shards and columns are destinations.
        """
        tally = self.tally
        source_capacity = tally.capacity[source]
        source_load = tally.load[source]
        capacity = tally.capacity[targets]
        loads = tally.load[targets]
        variance = (
            _variance_term(source_load, source_capacity)
            - _variance_term(source_load - rate, source_capacity)
            + _variance_term(loads, capacity)
            - _variance_term(loads + rate, capacity)
        ) / (self.total_capacity * self.mean**2)
        refused = (
            _expected_refused(source_load, source_capacity)
            - _expected_refused(source_load - rate, source_capacity)
            + _expected_refused(loads, capacity)
            - _expected_refused(loads + rate, capacity)
        ) / self.total_load
        return HORIZON_S * (
            self.weights.imbalance * variance
            + self.weights.unavailable_time * refused
        )

    def _cost(self, keys: numpy.ndarray, rate: numpy.ndarray) -> numpy.ndarray:
        """Returns the cost in seconds of moving each shard."""
        return (
            self.weights.churn * CHURN_COST_S * keys
            + self.weights.unavailable_time
            * PLANNED_MOVE_S
            * (rate / self.total_load)
            + MOVE_COST_S / len(self.tally.rate)
        )


def _variance_term(load, capacity):
    """Returns a server's variance term, up to terms that no move changes."""
    return load**2 / capacity


def _expected_refused(load, capacity):
    """Returns the requests a second that a server is expected to refuse."""
    return numpy.maximum(0.0, load - FULL_UTILISATION * capacity)


def _movable_by_server(
    situation: base.Situation, tally: tallies.Tally
) -> list[list[int]]:
    """Returns the shards that may move, by index of their server."""
    movable: list[list[int]] = [[] for _ in tally.servers]
    for shard in base.movable(situation):
        movable[tally.index_of[situation.owners[shard]]].append(shard)
    return movable
