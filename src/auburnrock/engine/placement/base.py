"""What every placement policy is given and what it answers.

A policy is a pure function of a `Situation`: the same situation gives the same
moves on every node, so two assigners that act at once contend for the same
writes instead of undoing each other's.
"""

import abc
from collections.abc import Iterable

import msgspec

from auburnrock import records


class ServerView(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one server.

    Attributes:
      incarnation: incarnation of the node beside it; it is what owns shards.
      name: stable name of that node, the same over restarts.
      zone: its availability zone.
      capacity: requests a second that it was seen to manage; above zero.
      accepts: whether it may be given shards; False while it drains, is being
        sealed or is too new to judge.
    """

    incarnation: int
    name: str
    zone: str
    capacity: float
    accepts: bool = True


class ShardLoad(msgspec.Struct, frozen=True):
    """Observed load of one shard.

    Attributes:
      shard: number of the shard.
      rate: requests a second.
      keys: keys in use that a move of it would move; 1 for a hot key's shard.
    """

    shard: int
    rate: float
    keys: int = 1


class Move(msgspec.Struct, frozen=True, order=True):
    """One shard's change of owner.

    Attributes:
      shard: number of the shard.
      source: incarnation of its owner until now; records.NO_OWNER if none.
      destination: incarnation of its next owner.
    """

    shard: int
    source: int
    destination: int


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """All that a policy decides from.

    Attributes:
      servers: every node with a record that has not ended, in any order.
      owners: incarnation of the owner of each shard, records.NO_OWNER for
        none; the index is the shard's number.
      loads: observed load; a shard that is not named counts as idle.
      moving: planned moves under way, shard to incarnation of the next owner.
      former_names: names of nodes that have ended, by incarnation, for those
        that `owners` still lists; a successor of the same name is preferred.
      weights: how much each measure counts.
      budget: most moves that `rebalance` may return.
      resting: shards that `rebalance` must leave, as they moved lately.
    """

    servers: list[ServerView]
    owners: list[int]
    loads: list[ShardLoad] = []
    moving: dict[int, int] = {}
    former_names: dict[int, str] = {}
    weights: records.PlacementWeights = msgspec.field(
        default_factory=records.PlacementWeights
    )
    budget: int = 0
    resting: frozenset[int] = frozenset()


class Policy(abc.ABC):
    """Decides which server owns which shards; keeps no state of its own."""

    @abc.abstractmethod
    def place(self, situation: Situation, shards: list[int]) -> list[Move]:
        """Chooses an owner for each of `shards`, and moves no other shard.

        For shards whose owner has ended (see `orphans`), and for those that a
        draining node gives away (see `owned_by`). No budget applies, since
        these shards must move. Without an accepting server the answer is
        empty.
        """

    @abc.abstractmethod
    def rebalance(self, situation: Situation) -> list[Move]:
        """Chooses planned moves between accepting servers.

        At most `budget` moves, at most one of a shard, none of a shard that
        rests, is already moving, or whose owner does not accept: such an
        owner is draining and moves its shards itself, or is silent.
        """


def orphans(situation: Situation) -> list[int]:
    """The shards whose owner has no record that has not ended."""
    known = {server.incarnation for server in situation.servers}
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner not in known
    ]


def owned_by(situation: Situation, incarnation: int) -> list[int]:
    """The shards that a node owns and is not yet giving away."""
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner == incarnation and shard not in situation.moving
    ]


def accepting(situation: Situation) -> list[ServerView]:
    """The servers that may be given shards, by name and incarnation."""
    chosen = [server for server in situation.servers if server.accepts]
    return sorted(chosen, key=lambda server: (server.name, server.incarnation))


def successors(
    situation: Situation, shards: Iterable[int]
) -> tuple[list[Move], list[int]]:
    """Gives shards back to the successor of their owner where there is one.

    Returns:
      The moves to successors of the same name, and the shards that are left.
    """
    by_name = {server.name: server for server in accepting(situation)}
    moves = []
    left = []
    for shard in sorted(shards):
        owner = situation.owners[shard]
        successor = by_name.get(situation.former_names.get(owner, ""))
        if successor is None:
            left.append(shard)
        else:
            moves.append(Move(shard, owner, successor.incarnation))
    return moves, left


def movable(situation: Situation) -> list[int]:
    """The shards that `rebalance` may move."""
    sources = {server.incarnation for server in accepting(situation)}
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner in sources
        and shard not in situation.moving
        and shard not in situation.resting
    ]


def moves_towards(situation: Situation, targets: dict[int, int]) -> list[Move]:
    """The first moves, within the budget, from the owners to `targets`."""
    moves = [
        Move(shard, situation.owners[shard], destination)
        for shard, destination in sorted(targets.items())
        if situation.owners[shard] != destination
    ]
    return moves[: situation.budget]
