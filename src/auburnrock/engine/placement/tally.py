"""Load and capacity of the accepting servers as arrays.

Arrays, since at 1,200 servers a decision weighs each shard of a server against
every destination.
"""

import numpy

from auburnrock.engine.placement import base

IDLE_RATE = 1e-6
"""Requests a second up to which servers count as without load."""
IDLE_UTILISATION = 1e-3
"""Utilisation of a service without load, whose keys are spread instead."""


class Tally:
    """Who carries what, kept up to date while moves are chosen.

    Attributes:
      servers: the accepting servers, by name.
      index_of: index of a server in `servers` by incarnation.
      capacity: requests a second of each server.
      load: requests a second of each server, with planned moves done.
      zone: index of each server's zone.
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
        """Whether the accepting servers carry too little to compare them."""
        return float(self.load.sum()) <= IDLE_RATE

    def mean_utilisation(self) -> float:
        """Load of all accepting servers over their capacity."""
        return float(self.load.sum() / self.capacity.sum())

    def take(self, shard: int, owner: int) -> None:
        """Counts a shard at an owner no more, if that is accepting."""
        index = self.index_of.get(owner)
        if index is not None:
            self.load[index] -= self.rate[shard]

    def give(self, shard: int, index: int) -> None:
        """Counts a shard at the server with this index."""
        self.load[index] += self.rate[shard]


def _shard_figures(
    situation: base.Situation,
) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Rate of each shard, and its share of all keys."""
    count = len(situation.owners)
    rate = numpy.zeros(count)
    keys = numpy.ones(count)
    for load in situation.loads:
        if load.shard < count:
            rate[load.shard] = load.rate
            keys[load.shard] = load.keys
    return rate, keys / max(1.0, keys.sum())


def location(situation: base.Situation, shard: int) -> int:
    """Owner of a shard once its planned move, if any, is done."""
    return situation.moving.get(shard, situation.owners[shard])
