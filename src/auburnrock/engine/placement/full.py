"""Baseline policy: full reassignment, which ignores the current owners.

When the imbalance exceeds `TRIGGER_IMBALANCE`, all shards are reassigned in
order of falling load, each to the server whose utilisation is then the lowest
(Graham 1969, see weighted.py).
"""

import numpy

from auburnrock.engine.placement import base
from auburnrock.engine.placement import tally as tallies

TRIGGER_IMBALANCE = 0.1
"""Highest relative utilisation, less one, at which nothing is reassigned."""


class Full(base.Policy):
    """Reassigns all shards when utilisation differs between servers."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        tally = tallies.Tally(situation)
        if not tally.servers:
            return []
        moves, unplaced = base.moves_to_successors(situation, shards)
        for shard in shards:
            tally.subtract(shard, tallies.next_owner(situation, shard))
        for move in moves:
            tally.add(move.shard, tally.index_of[move.destination])
        for shard, index in _assign_heaviest_first(tally, unplaced):
            destination = tally.servers[index].incarnation
            moves.append(base.Move(shard, situation.owners[shard], destination))
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Reassigns all shards if a server is too far above the mean."""
        tally = tallies.Tally(situation)
        if len(tally.servers) < 2 or tally.is_idle():
            return []
        mean = tally.mean_utilisation()
        highest = float((tally.load / tally.capacity).max())
        if highest <= mean * (1 + TRIGGER_IMBALANCE):
            return []
        shards = base.movable(situation)
        for shard in shards:
            tally.subtract(shard, situation.owners[shard])
        targets = {
            shard: tally.servers[index].incarnation
            for shard, index in _assign_heaviest_first(tally, shards)
        }
        return base.moves_towards(situation, targets)


def _assign_heaviest_first(
    tally: tallies.Tally, shards: list[int]
) -> list[tuple[int, int]]:
    """Assigns the shards and returns pairs of shard and server index."""
    assigned = []
    for shard in sorted(shards, key=lambda shard: (-tally.rate[shard], shard)):
        utilisation_after = (tally.load + tally.rate[shard]) / tally.capacity
        index = int(numpy.argmin(utilisation_after))
        tally.add(shard, index)
        assigned.append((shard, index))
    return assigned
