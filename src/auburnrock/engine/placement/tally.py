"""Holds load and capacity of the accepting servers in arrays.

Arrays make a decision fast enough for 1,200 servers, where each shard of a
server is compared with every destination.
"""

import numpy

from auburnrock.engine.placement import base

IDLE_RATE = 1e-6
"""Requests a second up to which servers count as idle."""
IDLE_UTILISATION = 1e-3
"""Utilisation assumed of an idle service, whose shards then weigh by their
keys."""


class Tally:
    """Load of the accepting servers, updated while moves are chosen.

    Attributes:
      servers: the accepting servers, by name.
      index_of: index of a server in `servers` by incarnation.
      capacity: capacity of each server in requests a second.
      load: requests a second of each server, as if all planned moves were
        complete.
      zone: index of each server's availability zone.
      rate: requests a second of each shard.
      keys: share of all keys in each shard.
    """

    __slots__ = (
        "capacity",
        "index_of",
        "keys",
        "load",
        "rate",
        "servers",
        "zone",
    )

    def __init__(self, situation: base.Situation):
        self.servers = base.accepting(situation)
        self.index_of = {
            server.incarnation: index
            for index, server in enumerate(self.servers)
        }
        self.capacity = numpy.array(
            [server.capacity for server in self.servers], dtype=float
        )
        assert (self.capacity > 0).all(), "a server's capacity must be > 0"
        zones = sorted({server.zone for server in self.servers})
        self.zone = numpy.array(
            [zones.index(server.zone) for server in self.servers], dtype=int
        )
        self.rate, self.keys = _shard_figures(situation)
        if self.rate.sum() <= IDLE_RATE:
            total = IDLE_UTILISATION * self.capacity.sum()
            self.rate = self.keys * total
        self.load = numpy.zeros(len(self.servers))
        for shard, owner in enumerate(situation.owners):
            owner = situation.moving.get(shard, owner)
            index = self.index_of.get(owner)
            if index is not None:
                self.load[index] += self.rate[shard]

    def is_idle(self) -> bool:
        """Returns whether the accepting servers have too little load."""
        return float(self.load.sum()) <= IDLE_RATE

    def mean_utilisation(self) -> float:
        """Returns the load of all accepting servers over their capacity."""
        return float(self.load.sum() / self.capacity.sum())

    def subtract(self, shard: int, owner: int) -> None:
        """Subtracts a shard's rate from its owner, if the owner accepts."""
        index = self.index_of.get(owner)
        if index is not None:
            self.load[index] -= self.rate[shard]

    def add(self, shard: int, index: int) -> None:
        """Adds a shard's rate to the server with this index."""
        self.load[index] += self.rate[shard]


def _shard_figures(
    situation: base.Situation,
) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Returns the rate of each shard and its share of all keys."""
    count = len(situation.owners)
    rate = numpy.zeros(count)
    keys = numpy.ones(count)
    for load in situation.loads:
        if load.shard < count:
            rate[load.shard] = load.rate
            keys[load.shard] = load.keys
    return rate, keys / max(1.0, keys.sum())


def next_owner(situation: base.Situation, shard: int) -> int:
    """Returns the owner of a shard after its planned move, if it has one."""
    return situation.moving.get(shard, situation.owners[shard])
