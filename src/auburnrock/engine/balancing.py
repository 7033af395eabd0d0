"""Choice of a node for services not divided by key.

* Power of two choices on in-flight requests times latency (Mitzenmacher 2001;
  the latency is a peak-sensitive moving average as in Finagle's Peak EWMA).
* The own zone is preferred until it is overloaded: until its better choice
  costs ZONE_PREFERENCE times what the better one of the other zones costs.
* A node whose requests are lost is ejected for a bounded time, by outcomes
  seen here and not by health endpoints; at least half of the nodes stay.

Every entry decides by what it has seen itself. Random numbers are passed in.
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
MOST_EJECTED_SHARE = 0.5


class Outcome(enum.Enum):
    """How an attempt at a node ended, as the entry saw it."""

    ANSWERED = enum.auto()
    SHED = enum.auto()
    LOST = enum.auto()
    ABANDONED = enum.auto()


class NodeLoad(msgspec.Struct):
    """What one entry knows of one node.

    Attributes:
      incarnation: the node.
      zone: its availability zone.
      in_flight: attempts of this entry that it has not ended.
      latency_ms: moving average that rises at once and falls slowly.
      shed: moving share of attempts that it refused for lack of capacity.
      losses: attempts lost in a row.
      ejections: ejections without an answer between them.
      ejected_until_ms: end of the ejection; 0 for none.
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
        """Expected cost of one more request here."""
        penalty = 1.0 + SHED_PENALTY * self.shed
        return (self.in_flight + 1) * self.latency_ms * penalty


class Balancer:
    """Chooses among the nodes of one service.

    Attributes:
      zone: availability zone of the entry.
      nodes: the known nodes by incarnation.
      near: those in the own zone.
      far: the others.
    """

    __slots__ = ("far", "near", "nodes", "zone")

    def __init__(self, zone: str):
        self.zone = zone
        self.nodes: dict[int, NodeLoad] = {}
        self.near: list[NodeLoad] = []
        self.far: list[NodeLoad] = []

    def set_nodes(self, zones: dict[int, str]) -> None:
        """Takes the service's present nodes with the zone of each."""
        self.nodes = {
            incarnation: self.nodes.get(incarnation)
            or NodeLoad(incarnation, zone)
            for incarnation, zone in zones.items()
        }
        loads = self.nodes.values()
        self.near = [load for load in loads if load.zone == self.zone]
        self.far = [load for load in loads if load.zone != self.zone]

    def choose(
        self, now_ms: int, randoms: tuple[float, float], avoid: list[int]
    ) -> int:
        """The incarnation to send to; 0 if there is none.

        Args:
          now_ms: the time.
          randoms: two numbers in [0, 1).
          avoid: incarnations to choose only if there is no other.
        """
        near = self._usable(self.near, now_ms, avoid)
        far = self._usable(self.far, now_ms, avoid)
        if not near and not far:
            # All are ejected or to be avoided: trying one beats trying none.
            near, far = self.near, self.far
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
        """Notes an attempt sent to a node."""
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
        """Notes how an attempt ended; each `sent` is ended once."""
        load = self.nodes.get(incarnation)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        if outcome is Outcome.ANSWERED:
            self._note_answer(load, latency_ms)
        elif outcome is Outcome.SHED:
            load.shed += (1.0 - load.shed) * SHED_DECAY
        elif outcome is Outcome.LOST:
            self._note_loss(now_ms, load)

    def ejected(self, now_ms: int) -> int:
        """How many nodes are ejected now."""
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

    def _note_answer(self, load: NodeLoad, latency_ms: float) -> None:
        if latency_ms > load.latency_ms:
            load.latency_ms = latency_ms
        else:
            error_ms = latency_ms - load.latency_ms
            load.latency_ms += error_ms * LATENCY_DECAY
        load.latency_ms = max(load.latency_ms, UNKNOWN_LATENCY_MS)
        load.shed -= load.shed * SHED_DECAY
        load.losses = 0
        load.ejections = 0

    def _note_loss(self, now_ms: int, load: NodeLoad) -> None:
        load.losses += 1
        if load.losses < EJECT_AFTER_LOSSES:
            return
        if load.ejected_until_ms > now_ms or not self._may_eject(now_ms):
            return
        load.ejected_until_ms = now_ms + min(
            LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(load.ejections, 16)
        )
        load.ejections += 1
        # One more loss after the ejection ejects again; an answer resets.
        load.losses = EJECT_AFTER_LOSSES - 1

    def _may_eject(self, now_ms: int) -> bool:
        allowed = int(MOST_EJECTED_SHARE * len(self.nodes))
        return self.ejected(now_ms) < allowed


def _without(loads: list[NodeLoad], avoid: list[int]) -> list[NodeLoad]:
    return [load for load in loads if load.incarnation not in avoid]


def _better_of_two(
    loads: list[NodeLoad], randoms: tuple[float, float]
) -> NodeLoad | None:
    """The cheaper of two different nodes drawn at random."""
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
