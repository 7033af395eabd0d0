"""Baseline policy: rendezvous hashing, which ignores load.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

from auburnrock.engine.placement import base


class Rendezvous(base.Policy):
    """Assigns each shard to the server with the highest hash of the pair."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        servers = base.accepting(situation)
        if not servers:
            return []
        moves, unplaced = base.moves_to_successors(situation, shards)
        for shard in unplaced:
            chosen = highest(servers, shard)
            moves.append(
                base.Move(shard, situation.owners[shard], chosen.incarnation)
            )
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves each shard to the server with the highest hash of the pair."""
        servers = base.accepting(situation)
        if not servers:
            return []
        targets = {
            shard: highest(servers, shard).incarnation
            for shard in base.movable(situation)
        }
        return base.moves_towards(situation, targets)


def highest(servers: list[base.ServerView], shard: int) -> base.ServerView:
    """Returns the server with the highest weight; names break ties."""
    return max(servers, key=lambda server: (weight(server, shard), server.name))


def weight(server: base.ServerView, shard: int) -> int:
    """Returns the 64-bit hash of a pair of server and shard.

    The server's name is hashed and not its incarnation, so that a restarted
    server is assigned the same shards again.
    """
    return xxhash.xxh64_intdigest(server.name.encode(), seed=shard)
