"""Full rebalancing, a baseline that ignores where shards are.

Whenever imbalance passes `TRIGGER` all shards are assigned anew, heaviest
first, each to the server that stays the least used (Graham 1969, as in
weighted.py).
"""

import numpy

from auburnrock.engine.placement import base
from auburnrock.engine.placement import tally as tallies

TRIGGER = 0.1
"""Highest relative utilisation, less one, that is left alone."""


class Full(base.Policy):
    """Assigns everything anew when the servers differ."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        tally = tallies.Tally(situation)
        if not tally.servers:
            return []
        moves, left = base.successors(situation, shards)
        for shard in shards:
            tally.take(shard, tallies.location(situation, shard))
        for move in moves:
            tally.give(move.shard, tally.index_of[move.destination])
        for shard, index in _heaviest_first(tally, left):
            destination = tally.servers[index].incarnation
            moves.append(base.Move(shard, situation.owners[shard], destination))
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Assigns all shards anew if any server is too far from the mean."""
        tally = tallies.Tally(situation)
        if len(tally.servers) < 2 or tally.is_idle():
            return []
        mean = tally.mean_utilisation()
        highest = float((tally.load / tally.capacity).max())
        if highest <= mean * (1 + TRIGGER):
            return []
        shards = base.movable(situation)
        for shard in shards:
            tally.take(shard, situation.owners[shard])
        targets = {
            shard: tally.servers[index].incarnation
            for shard, index in _heaviest_first(tally, shards)
        }
        return base.moves_towards(situation, targets)


def _heaviest_first(
    tally: tallies.Tally, shards: list[int]
) -> list[tuple[int, int]]:
    """Pairs of shard and index of the server that takes it."""
    chosen = []
    for shard in sorted(shards, key=lambda shard: (-tally.rate[shard], shard)):
        after = (tally.load + tally.rate[shard]) / tally.capacity
        index = int(numpy.argmin(after))
        tally.give(shard, index)
        chosen.append((shard, index))
    return chosen
