"""Rendezvous hashing, a baseline that looks at no load.

Source: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

from auburnrock.engine.placement import base


class Rendezvous(base.Policy):
    """Each shard belongs to the server with the highest hash of the pair."""

    def place(
        self, situation: base.Situation, shards: list[int]
    ) -> list[base.Move]:
        """See base.Policy."""
        servers = base.accepting(situation)
        if not servers:
            return []
        moves, left = base.successors(situation, shards)
        for shard in left:
            chosen = highest(servers, shard)
            moves.append(
                base.Move(shard, situation.owners[shard], chosen.incarnation)
            )
        return moves

    def rebalance(self, situation: base.Situation) -> list[base.Move]:
        """Moves each shard to where the hash puts it."""
        servers = base.accepting(situation)
        if not servers:
            return []
        targets = {
            shard: highest(servers, shard).incarnation
            for shard in base.movable(situation)
        }
        return base.moves_towards(situation, targets)


def highest(servers: list[base.ServerView], shard: int) -> base.ServerView:
    """The server whose hash with the shard is highest; names break ties."""
    return max(servers, key=lambda server: (weight(server, shard), server.name))


def weight(server: base.ServerView, shard: int) -> int:
    """The 64-bit hash of a pair of server and shard.

    The name is hashed and not the incarnation, so that a restarted server
    gets its shards back.
    """
    return xxhash.xxh64_intdigest(server.name.encode(), seed=shard)
