"""Defines the input, the output and the interface of placement policies.

A policy is a pure function of a `Situation`. The same situation gives the same
moves on every node, so two assigners that act at once contend for the same
writes and do not revert each other's.
"""

import abc
from collections.abc import Iterable

import msgspec

from auburnrock import records


class ServerView(msgspec.Struct, frozen=True, kw_only=True):
    """State of one server as a placement policy uses it.

    Attributes:
      incarnation: incarnation of the node beside the server; shards are owned
        by incarnations.
      name: name of that node, which restarts do not change.
      zone: availability zone of the server.
      capacity: estimated capacity in requests a second; above zero.
      accepts: whether shards may be assigned to the server; False while it
        drains, is being sealed, or has no current load report.
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
      keys: number of keys in use in the shard; 1 for the shard of a hot key.
    """

    shard: int
    rate: float
    keys: int = 1


class Move(msgspec.Struct, frozen=True, order=True):
    """A change of owner of one shard.

    Attributes:
      shard: number of the shard.
      source: incarnation of the current owner; records.NO_OWNER if none.
      destination: incarnation of the next owner.
    """

    shard: int
    source: int
    destination: int


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """Complete input of a placement decision about one service.

    Attributes:
      servers: every node with a record that has not ended, in any order.
      owners: incarnation of the owner of each shard, records.NO_OWNER for
        none; the index is the shard's number.
      loads: observed load of the shards; a shard that is missing counts as
        idle.
      moving: planned moves in progress, from the shard's number to the
        incarnation of its next owner.
      former_names: names of ended nodes by incarnation, for the ended nodes
        that `owners` still lists; a successor of the same name is preferred.
      weights: the service's weight of each measure.
      budget: maximum number of moves that `rebalance` may return.
      resting: shards that `rebalance` must not move, because they moved
        recently or because their load is only estimated.
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
    """Decides which server owns which shards; implementations are stateless."""

    @abc.abstractmethod
    def place(self, situation: Situation, shards: list[int]) -> list[Move]:
        """Chooses an owner for each of `shards`, and moves no other shard.

        It is called for shards whose owner has ended (see `orphans`) and for
        shards that a draining node must hand over (see `owned_by`). No budget
        applies, since these shards have to move. The result is empty if no
        server accepts shards.
        """

    @abc.abstractmethod
    def rebalance(self, situation: Situation) -> list[Move]:
        """Chooses planned moves between accepting servers.

        The result has at most `budget` moves and at most one for each shard.
        A shard stays if it is in `resting` or `moving`, or if its owner does
        not accept shards: such an owner either drains, and then hands over its
        shards itself, or has stopped reporting.
        """


def orphans(situation: Situation) -> list[int]:
    """Returns the shards that have no owner or whose owner has ended."""
    live = {server.incarnation for server in situation.servers}
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner not in live
    ]


def owned_by(situation: Situation, incarnation: int) -> list[int]:
    """Returns the shards that a node owns and that are not yet moving."""
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner == incarnation and shard not in situation.moving
    ]


def accepting(situation: Situation) -> list[ServerView]:
    """Returns the servers that accept shards, by name and incarnation."""
    accepting_servers = [
        server for server in situation.servers if server.accepts
    ]
    return sorted(
        accepting_servers, key=lambda server: (server.name, server.incarnation)
    )


def moves_to_successors(
    situation: Situation, shards: Iterable[int]
) -> tuple[list[Move], list[int]]:
    """Assigns shards to the restarted node of the same name as their owner.

    Returns:
      The moves to successors of the same name, and the shards whose owner has
      no such successor.
    """
    by_name = {server.name: server for server in accepting(situation)}
    moves = []
    unplaced = []
    for shard in sorted(shards):
        owner = situation.owners[shard]
        successor = by_name.get(situation.former_names.get(owner, ""))
        if successor is None:
            unplaced.append(shard)
        else:
            moves.append(Move(shard, owner, successor.incarnation))
    return moves, unplaced


def movable(situation: Situation) -> list[int]:
    """Returns the shards that `rebalance` may move."""
    accepting_owners = {server.incarnation for server in accepting(situation)}
    return [
        shard
        for shard, owner in enumerate(situation.owners)
        if owner in accepting_owners
        and shard not in situation.moving
        and shard not in situation.resting
    ]


def moves_towards(situation: Situation, targets: dict[int, int]) -> list[Move]:
    """Returns the moves from the current owners to `targets`.

    Args:
      situation: input of the decision; its budget limits the moves.
      targets: incarnation of the chosen owner of each shard.

    Returns:
      The moves in order of shard number, cut off at the budget.
    """
    moves = [
        Move(shard, situation.owners[shard], destination)
        for shard, destination in sorted(targets.items())
        if situation.owners[shard] != destination
    ]
    return moves[: situation.budget]
