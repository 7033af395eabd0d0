"""Chooses which node gets a shard that has no living owner."""

import abc
import heapq

import msgspec

from auburnrock.engine import keys


class Candidate(msgspec.Struct):
    """A node that may be assigned shards of a service.

    Attributes:
      incarnation: incarnation of the node.
      zone: availability zone of the node.
      owned: number of shards of the service that the node owns; the chooser
        adds those that it assigns to the node.
      capacity: load that the node can carry relative to others; positive.
    """

    incarnation: int
    zone: str
    owned: int
    capacity: float = 1.0


class OwnerChooser(abc.ABC):
    """Chooses owners for shards, deterministically."""

    @abc.abstractmethod
    def choose(
        self, service: str, shards: list[int], candidates: list[Candidate]
    ) -> list[int]:
        """Chooses an owner for each shard.

        Args:
          service: the service.
          shards: the shards to assign.
          candidates: at least one; `owned` of each is updated.

        Returns:
          The owner's incarnation for each shard, in the order of `shards`.
        """


class LeastLoaded(OwnerChooser):
    """Assigns each shard to the node with the fewest shards per capacity.

    Greedy list scheduling (R. L. Graham, "Bounds on Multiprocessing Timing
    Anomalies", 1969). Ties are broken by rendezvous hash, so that no node is
    preferred in all services.
    """

    def choose(
        self, service: str, shards: list[int], candidates: list[Candidate]
    ) -> list[int]:
        """See OwnerChooser."""
        heap = [_HeapItem.of(service, candidate) for candidate in candidates]
        heapq.heapify(heap)
        owners = []
        for _ in shards:
            candidate = heap[0].candidate
            owners.append(candidate.incarnation)
            candidate.owned += 1
            heapq.heapreplace(heap, _HeapItem.of(service, candidate))
        return owners


class _HeapItem(msgspec.Struct, order=True):
    load: float
    tie: int
    candidate: Candidate

    @staticmethod
    def of(service: str, candidate: Candidate) -> "_HeapItem":
        load = (candidate.owned + 1) / candidate.capacity
        tie = keys.hash_of(f"{service}/{candidate.incarnation}")
        return _HeapItem(load, tie, candidate)


def rendezvous_rank(
    subject: str, incarnation: int, incarnations: list[int]
) -> int | None:
    """Counts the nodes that rank before a node for a subject.

    Rendezvous hashing (D. G. Thaler and C. V. Ravishankar, 1998): all nodes
    with the same list agree on the order without communicating.

    Returns:
      0 for the first; None if the node is not in the list.
    """
    if incarnation not in incarnations:
        return None
    own = _weight(subject, incarnation)
    return sum(_weight(subject, other) > own for other in incarnations)


def first_candidates(
    subject: str, incarnations: list[int], count: int
) -> list[int]:
    """The first `count` nodes by rendezvous rank."""
    return heapq.nlargest(
        count, incarnations, key=lambda other: _weight(subject, other)
    )


def _weight(subject: str, incarnation: int) -> int:
    return keys.hash_of(f"{subject}/{incarnation:x}")
