"""Baseline policy: a consistent hash ring with bounded loads.

Source: V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
bounded loads", SODA 2018. Each server owns at most (1 + EPSILON) times its
share of the shards, which is proportional to its capacity. A shard is assigned
to the first server clockwise that is below its bound. As in the paper, the
bound counts shards and not their load.
"""

import bisect
import math

import xxhash

from auburnrock.engine.placement import base

EPSILON = 0.25
"""Fraction by which a server may own more shards than its share."""
POINTS_PER_SERVER = 64


class BoundedRing(base.Policy):
    """Consistent hashing with bounded loads."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        servers = base.accepting(situation)
        if not servers:
            return []
        moves, unplaced = base.moves_to_successors(situation, shards)
        ring = _Ring(servers, len(situation.owners))
        to_place = set(shards)
        for shard, owner in enumerate(situation.owners):
            if shard not in to_place:
                ring.reserve(situation.moving.get(shard, owner))
        for move in moves:
            ring.reserve(move.destination)
        for shard in unplaced:
            moves.append(
                base.Move(shard, situation.owners[shard], ring.assign(shard))
            )
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves each shard to the owner that a newly filled ring assigns."""
        servers = base.accepting(situation)
        if not servers:
            return []
        ring = _Ring(servers, len(situation.owners))
        targets = {
            shard: ring.assign(shard) for shard in range(len(situation.owners))
        }
        return base.moves_towards(
            situation,
            {shard: targets[shard] for shard in base.movable(situation)},
        )


class _Ring:
    """Hash ring of the servers.

    Attributes:
      remaining: number of shards that each server may still own, by
        incarnation.
      hashes: hashes of all points of the servers, ascending.
      incarnations: incarnation of the server of each point, in the order of
        `hashes`.
    """

    def __init__(self, servers: list[base.ServerView], shards: int):
        total = sum(server.capacity for server in servers)
        self.remaining = {
            server.incarnation: math.ceil(
                (1 + EPSILON) * shards * server.capacity / total
            )
            for server in servers
        }
        points = sorted(
            (
                xxhash.xxh64_intdigest(server.name.encode(), seed=number),
                server.name,
                server.incarnation,
            )
            for server in servers
            for number in range(POINTS_PER_SERVER)
        )
        self.hashes = [point[0] for point in points]
        self.incarnations = [point[2] for point in points]

    def reserve(self, incarnation: int) -> None:
        """Counts a shard that a server already owns against its bound."""
        if incarnation in self.remaining:
            self.remaining[incarnation] -= 1

    def assign(self, shard: int) -> int:
        """Returns the first server clockwise that is below its bound.

        The shard is counted against the bound of that server.
        """
        start = bisect.bisect(
            self.hashes, xxhash.xxh64_intdigest(shard.to_bytes(8, "big"))
        )
        count = len(self.incarnations)
        for step in range(count):
            incarnation = self.incarnations[(start + step) % count]
            if self.remaining[incarnation] > 0:
                self.remaining[incarnation] -= 1
                return incarnation
        # Shards that do not move may already use up every server's bound.
        return self.incarnations[start % count]
