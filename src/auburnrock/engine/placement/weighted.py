"""Placement by what a move saves against what it costs.

A shard that must move goes where utilisation stays lowest, heaviest shard
first (longest processing time first; R. L. Graham, "Bounds on multiprocessing
timing anomalies", SIAM Journal on Applied Mathematics 17(2), 1969).

A planned move is made only if what it saves within `HORIZON_S` is more than it
costs. Both are in seconds of the horizon, weighed by the service's settings:

    saved = HORIZON_S * (imbalance * fall of the variance of utilisation
                         + unavailable_time * fall of the share refused)
    cost  = churn * CHURN_COST_S * share of keys moved
            + unavailable_time * PLANNED_MOVE_S * share of load moved
            + MOVE_COST_S / number of shards

Among the moves away from the busiest server the one with the most saved for
its cost comes first, so a hot key, which is one key, moves alone before any
other. All terms are shares of the whole service, so the size of the fleet
does not change how even it becomes. Each move lowers the weighed sum by more
than its last cost term, and that sum is not negative: under constant load the
moves must end.
"""

import numpy

from auburnrock import records
from auburnrock.engine.placement import base
from auburnrock.engine.placement import tally as tallies

HORIZON_S = 300.0
"""How long a load is expected to stay as it is."""
CHURN_COST_S = 90.0
"""Cost of moving every key once."""
PLANNED_MOVE_S = 0.05
"""Unavailable time of a shard during a planned move."""
MOVE_COST_S = 2.0
"""Cost of moving every shard once, whatever is in it, so that no move is made
for next to nothing."""
MIN_GAP = 0.1
"""Least relative utilisation by which the destination must stay below what
the source had; load figures are not truer than that."""
FULL_UTILISATION = 0.9
"""Utilisation above which a server is expected to refuse requests."""
CANDIDATES = 16
"""Destinations that are weighed: so many of the least used, and so many of
those with the most capacity to spare."""
ZONE_WEIGHT = 0.1
"""Share of the zone's utilisation in the choice of a server."""

LEAST_RATE_SHARE = 0.05
"""Share of the mean rate of a shard that an idle one is placed with."""


class Weighted(base.Policy):
    """Bounded imbalance for little churn, as the service weighs them."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        moves, left = base.successors(situation, shards)
        tally = tallies.Tally(situation)
        if not tally.servers or not shards:
            return []
        for shard in shards:
            tally.take(shard, tallies.location(situation, shard))
        for move in moves:
            tally.give(move.shard, tally.index_of[move.destination])
        left.sort(key=lambda shard: (-tally.rate[shard], shard))
        zones = _Zones(tally)
        # Idle shards are spread too: they may be busy tomorrow.
        least_rate = LEAST_RATE_SHARE * float(tally.rate.mean())
        for shard in left:
            rate = max(least_rate, float(tally.rate[shard]))
            chosen = zones.lowest(rate)
            zones.give(rate, chosen)
            destination = tally.servers[chosen].incarnation
            moves.append(base.Move(shard, situation.owners[shard], destination))
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves shards away from the busiest servers while that pays."""
        if situation.budget <= 0:
            return []
        tally = tallies.Tally(situation)
        if len(tally.servers) < 2 or tally.is_idle():
            return []
        held = _movable_by_server(situation, tally)
        chooser = _Chooser(tally, situation.weights)
        moves: list[base.Move] = []
        exhausted = numpy.zeros(len(tally.servers), dtype=bool)
        while len(moves) < situation.budget and not exhausted.all():
            utilisation = tally.load / tally.capacity
            source = int(numpy.argmax(numpy.where(exhausted, -1, utilisation)))
            best = chooser.best(source, held[source])
            if best is None:
                exhausted[source] = True
                continue
            shard, destination = best
            held[source].remove(shard)
            tally.load[source] -= tally.rate[shard]
            tally.give(shard, destination)
            moves.append(
                base.Move(
                    shard,
                    tally.servers[source].incarnation,
                    tally.servers[destination].incarnation,
                )
            )
        return moves


class _Zones:
    """Utilisation of the zones beside that of the servers."""

    def __init__(self, tally: tallies.Tally):
        self.tally = tally
        count = int(tally.zone.max()) + 1
        self.capacity = numpy.bincount(
            tally.zone, weights=tally.capacity, minlength=count
        )
        self.load = numpy.bincount(
            tally.zone, weights=tally.load, minlength=count
        )

    def lowest(self, rate: float) -> int:
        """The server that stays the least used with `rate` more."""
        tally = self.tally
        own = (tally.load + rate) / tally.capacity
        zone = (self.load / self.capacity)[tally.zone]
        return int(numpy.argmin(own + ZONE_WEIGHT * zone))

    def give(self, rate: float, index: int) -> None:
        """Counts `rate` at a server and in its zone."""
        self.tally.load[index] += rate
        self.load[self.tally.zone[index]] += rate


class _Chooser:
    """Weighs the moves away from one server."""

    def __init__(self, tally: tallies.Tally, weights: records.PlacementWeights):
        self.tally = tally
        self.weights = weights
        self.total_capacity = float(tally.capacity.sum())
        self.total_load = float(tally.load.sum())
        self.mean = tally.mean_utilisation()

    def best(self, source: int, shards: list[int]) -> tuple[int, int] | None:
        """The shard and destination that save most for their cost."""
        tally = self.tally
        relative = tally.load / tally.capacity / self.mean
        if not shards or relative[source] - relative.min() <= MIN_GAP:
            return None
        targets = self._candidates()
        chosen = numpy.array(shards)
        rate = tally.rate[chosen][:, None]
        saved = self._saved(source, targets, rate)
        cost = self._cost(tally.keys[chosen][:, None], rate)
        load_after = tally.load[targets] + rate
        after = load_after / tally.capacity[targets] / self.mean
        allowed = (relative[source] - after >= MIN_GAP) & (saved > cost)
        if not allowed.any():
            return None
        score = numpy.where(allowed, saved / cost, -1.0)
        row, column = numpy.unravel_index(int(numpy.argmax(score)), score.shape)
        return shards[int(row)], int(targets[column])

    def _candidates(self) -> numpy.ndarray:
        """The servers worth weighing as destinations.

        What a move adds at its destination falls with the destination's
        utilisation, and for a heavy shard with its spare capacity, so the
        best of both suffice.
        """
        tally = self.tally
        if len(tally.servers) <= 2 * CANDIDATES:
            return numpy.arange(len(tally.servers))
        used = tally.load / tally.capacity
        spare = FULL_UTILISATION * tally.capacity - tally.load
        # Stable, so that equal servers are chosen alike on every processor.
        least_used = numpy.argsort(used, kind="stable")[:CANDIDATES]
        most_spare = numpy.argsort(-spare, kind="stable")[:CANDIDATES]
        return numpy.union1d(least_used, most_spare)

    def _saved(
        self, source: int, targets: numpy.ndarray, rate: numpy.ndarray
    ) -> numpy.ndarray:
        """Seconds saved by each shard (row) going to each target (column)."""
        tally = self.tally
        full = tally.capacity[source]
        load = tally.load[source]
        capacity = tally.capacity[targets]
        loads = tally.load[targets]
        variance = (
            _square(load, full)
            - _square(load - rate, full)
            + _square(loads, capacity)
            - _square(loads + rate, capacity)
        ) / (self.total_capacity * self.mean**2)
        refused = (
            _excess(load, full)
            - _excess(load - rate, full)
            + _excess(loads, capacity)
            - _excess(loads + rate, capacity)
        ) / self.total_load
        return HORIZON_S * (
            self.weights.imbalance * variance
            + self.weights.unavailable_time * refused
        )

    def _cost(self, keys: numpy.ndarray, rate: numpy.ndarray) -> numpy.ndarray:
        """Seconds that moving each shard costs."""
        return (
            self.weights.churn * CHURN_COST_S * keys
            + self.weights.unavailable_time
            * PLANNED_MOVE_S
            * (rate / self.total_load)
            + MOVE_COST_S / len(self.tally.rate)
        )


def _square(load, capacity):
    """A server's part of the variance, up to terms that no move changes."""
    return load**2 / capacity


def _excess(load, capacity):
    """Requests a second beyond what a server is expected to manage."""
    return numpy.maximum(0.0, load - FULL_UTILISATION * capacity)


def _movable_by_server(
    situation: base.Situation, tally: tallies.Tally
) -> list[list[int]]:
    """The shards that may move, by index of their server."""
    held: list[list[int]] = [[] for _ in tally.servers]
    for shard in base.movable(situation):
        held[tally.index_of[situation.owners[shard]]].append(shard)
    return held
