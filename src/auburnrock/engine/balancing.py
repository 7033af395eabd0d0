"""Choice of a node for services not divided by key.

* Power of two choices on in-flight requests times latency (Mitzenmacher 2001;
  the latency is a peak-sensitive moving average as in Finagle's Peak EWMA).
* The entry's own zone is preferred until it is overloaded, that is, until its
  better choice costs more than ZONE_PREFERENCE times the better choice of the
  other zones.
* A node whose requests are lost is ejected for a bounded time, based on the
  outcomes that this entry observes and not on health endpoints. At least half
  of the nodes stay.

Every entry decides by its own observations. Random numbers are passed in.
"""

import enum

import msgspec

ZONE_PREFERENCE = 2.0
UNKNOWN_LATENCY_MS = 1.0
LATENCY_DECAY = 1 / 8
SHED_DECAY = 1 / 8
SHED_PENALTY = 16.0
EJECT_AFTER_LOSSES = 5
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 0.5


class Outcome(enum.Enum):
    """How an attempt at a node ended, as the entry observed it."""

    ANSWERED = enum.auto()
    SHED = enum.auto()
    LOST = enum.auto()
    ABANDONED = enum.auto()


class NodeLoad(msgspec.Struct):
    """The state of one node as one entry has observed it.

    Attributes:
      incarnation: the node's incarnation.
      zone: availability zone of the node.
      in_flight: number of this entry's attempts at the node that have not
        ended.
      latency_ms: moving average of the latency; rises at once, falls slowly.
      shed: moving average of the share of attempts that the node refused for
        lack of capacity.
      losses: number of consecutive attempts lost.
      ejections: number of consecutive ejections without an answer.
      ejected_until_ms: end of the latest ejection; 0 for none.
    """

    incarnation: int
    zone: str
    in_flight: int = 0
    latency_ms: float = UNKNOWN_LATENCY_MS
    shed: float = 0.0
    losses: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0

    def cost(self) -> float:
        """Returns the expected cost of one more request at the node."""
        penalty = 1.0 + SHED_PENALTY * self.shed
        return (self.in_flight + 1) * self.latency_ms * penalty


class Balancer:
    """Chooses among the nodes of one service.

    Attributes:
      zone: availability zone of the entry.
      nodes: the known nodes by incarnation.
      same_zone: nodes in the entry's zone.
      other_zones: nodes in the other zones.
    """

    __slots__ = ("nodes", "other_zones", "same_zone", "zone")

    def __init__(self, zone: str):
        self.zone = zone
        self.nodes: dict[int, NodeLoad] = {}
        self.same_zone: list[NodeLoad] = []
        self.other_zones: list[NodeLoad] = []

    def set_nodes(self, zones: dict[int, str]) -> None:
        """Replaces the service's nodes; known ones retain their state.

        Args:
          zones: availability zone of each node by incarnation.
        """
        self.nodes = {
            incarnation: self.nodes.get(incarnation)
            or NodeLoad(incarnation, zone)
            for incarnation, zone in zones.items()
        }
        loads = self.nodes.values()
        self.same_zone = [load for load in loads if load.zone == self.zone]
        self.other_zones = [load for load in loads if load.zone != self.zone]

    def choose(
        self, now_ms: int, randoms: tuple[float, float], avoid: list[int]
    ) -> int:
        """Returns the incarnation to send to, or 0 if there is none.

        Args:
          now_ms: the current time.
          randoms: two numbers in [0, 1).
          avoid: incarnations to choose only if there is no other.
        """
        near = self._usable(self.same_zone, now_ms, avoid)
        far = self._usable(self.other_zones, now_ms, avoid)
        if not near and not far:
            # All are ejected or to be avoided; an attempt at one may succeed.
            near, far = self.same_zone, self.other_zones
            if avoid:
                near = _without(near, avoid) or near
                far = _without(far, avoid) or far
        best_near = _better_of_two(near, randoms)
        best_far = _better_of_two(far, randoms)
        if best_near is None or best_far is None:
            best = best_near or best_far
        elif best_near.cost() <= ZONE_PREFERENCE * best_far.cost():
            best = best_near
        else:
            best = best_far
        return best.incarnation if best is not None else 0

    def sent(self, incarnation: int) -> None:
        """Records an attempt sent to a node."""
        load = self.nodes.get(incarnation)
        if load is not None:
            load.in_flight += 1

    def ended(
        self,
        now_ms: int,
        incarnation: int,
        outcome: Outcome,
        latency_ms: float,
    ) -> None:
        """Records how an attempt ended; to be called once per `sent`."""
        load = self.nodes.get(incarnation)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            self._record_answer(load, latency_ms)
        elif outcome is Outcome.SHED:
            load.shed += (1.0 - load.shed) * SHED_DECAY
        elif outcome is Outcome.LOST:
            self._record_loss(now_ms, load)

    def ejected(self, now_ms: int) -> int:
        """Returns how many nodes are ejected now."""
        return sum(
            load.ejected_until_ms > now_ms for load in self.nodes.values()
        )

    def _usable(
        self, loads: list[NodeLoad], now_ms: int, avoid: list[int]
    ) -> list[NodeLoad]:
        return [
            load
            for load in loads
            if load.ejected_until_ms <= now_ms and load.incarnation not in avoid
        ]

    def _record_answer(self, load: NodeLoad, latency_ms: float) -> None:
        if latency_ms > load.latency_ms:
            load.latency_ms = latency_ms
        else:
            error_ms = latency_ms - load.latency_ms
            load.latency_ms += error_ms * LATENCY_DECAY
        load.latency_ms = max(load.latency_ms, UNKNOWN_LATENCY_MS)
        load.shed -= load.shed * SHED_DECAY
        load.losses = 0
        load.ejections = 0

    def _record_loss(self, now_ms: int, load: NodeLoad) -> None:
        load.losses += 1
        if load.losses < EJECT_AFTER_LOSSES:
            return
        if load.ejected_until_ms > now_ms or not self._may_eject(now_ms):
            return
        load.ejected_until_ms = now_ms + min(
            LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(load.ejections, 16)
        )
        load.ejections += 1
        # One more loss after the ejection ejects the node again; an answer
        # resets the count.
        load.losses = EJECT_AFTER_LOSSES - 1

    def _may_eject(self, now_ms: int) -> bool:
        allowed = int(MAX_EJECTED_SHARE * len(self.nodes))
        return self.ejected(now_ms) < allowed


def _without(loads: list[NodeLoad], avoid: list[int]) -> list[NodeLoad]:
    return [load for load in loads if load.incarnation not in avoid]


def _better_of_two(
    loads: list[NodeLoad], randoms: tuple[float, float]
) -> NodeLoad | None:
    """Returns the cheaper of two different nodes drawn at random."""
    count = len(loads)
    if count == 0:
        return None
    if count == 1:
        return loads[0]
    first = int(randoms[0] * count)
    second = int(randoms[1] * (count - 1))
    if second >= first:
        second += 1
    if loads[second].cost() < loads[first].cost():
        return loads[second]
    return loads[first]
