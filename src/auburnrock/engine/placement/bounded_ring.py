"""A hash ring with bounded loads, a baseline.

Source: V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
bounded loads", SODA 2018. Each server takes at most (1 + EPSILON) times its
fair number of shards, here in proportion to its capacity; a shard goes to the
first server clockwise that has room. It counts shards and not their load, as
published.
"""

import bisect
import math

import xxhash

from auburnrock.engine.placement import base

EPSILON = 0.25
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
        moves, left = base.successors(situation, shards)
        ring = _Ring(servers, len(situation.owners))
        taken = set(shards)
        for shard, owner in enumerate(situation.owners):
            if shard not in taken:
                ring.fill(situation.moving.get(shard, owner))
        for move in moves:
            ring.fill(move.destination)
        for shard in left:
            moves.append(
                base.Move(shard, situation.owners[shard], ring.take(shard))
            )
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves each shard to where the ring, filled anew, puts it."""
        servers = base.accepting(situation)
        if not servers:
            return []
        ring = _Ring(servers, len(situation.owners))
        targets = {
            shard: ring.take(shard) for shard in range(len(situation.owners))
        }
        return base.moves_towards(
            situation,
            {shard: targets[shard] for shard in base.movable(situation)},
        )


class _Ring:
    """Points of the servers in order of hash, and the room each has left."""

    def __init__(self, servers: list[base.ServerView], shards: int):
        total = sum(server.capacity for server in servers)
        self.room = {
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

    def fill(self, incarnation: int) -> None:
        """Counts a shard that a server already has."""
        if incarnation in self.room:
            self.room[incarnation] -= 1

    def take(self, shard: int) -> int:
        """The first server clockwise from the shard that has room."""
        start = bisect.bisect(
            self.hashes, xxhash.xxh64_intdigest(shard.to_bytes(8, "big"))
        )
        count = len(self.incarnations)
        for step in range(count):
            incarnation = self.incarnations[(start + step) % count]
            if self.room[incarnation] > 0:
                self.room[incarnation] -= 1
                return incarnation
        # Shards that stay where they are may leave no room by the bound.
        return self.incarnations[start % count]
