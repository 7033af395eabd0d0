"""Heartbeats that contradict what is known of the target beside a node.

A heartbeat may come from another writer, or be a late one of a target that has
ended. So one heartbeat alone replaces neither the known incarnation of a target
nor its sequence number. It is a claim, which holds once the claimant has sent
further heartbeats while the known incarnation has sent none.
"""

from auburnrock.engine.mesh import model

HEARTBEATS_MIN = 2
"""Number of heartbeats of a claim that holds."""

EARLIER_START_HEARTBEATS_MIN = 3
"""Number of heartbeats of a claim that holds, for a target that was started
before the known one: late heartbeats of an ended target may come in a row."""

SPAN_FACTOR = 0.75
"""Least time between two heartbeats of a claim, as a factor of the heartbeat
interval, on average."""

SILENCE_FACTOR = 1.25
"""Least time without a heartbeat of the known incarnation, as a factor of the
heartbeat interval, for a claim of two heartbeats. Each further one adds 1."""


class Claim:
    """Heartbeats in a row of one claimant.

    Attributes:
      incarnation: incarnation of the target that they name.
      sequence: sequence number of the latest one.
      first_ms: when the first one was received.
      count: number of heartbeats.
    """

    __slots__ = ("count", "first_ms", "incarnation", "sequence")

    def __init__(
        self, incarnation: model.Incarnation, sequence: int, now_ms: float
    ):
        self.incarnation = incarnation
        self.sequence = sequence
        self.first_ms = now_ms
        self.count = 1


class IncarnationClaims:
    """The latest claim, which ends with a heartbeat of the known incarnation.

    Attributes:
      interval_ms: longest usual interval between heartbeats: a target may send
        the next one an interval after the reply to the last.
      claim: the latest claim; None without one.
    """

    __slots__ = ("claim", "interval_ms")

    def __init__(self, interval_ms: float):
        self.interval_ms = interval_ms
        self.claim: Claim | None = None

    def clear(self) -> None:
        """Ends the claim: the known incarnation has sent a heartbeat."""
        self.claim = None

    def add(
        self, now_ms: float, incarnation: model.Incarnation, sequence: int
    ) -> None:
        """Adds a contradicting heartbeat to the claim, or begins a claim."""
        claim = self.claim
        if claim is None or claim.incarnation != incarnation:
            self.claim = Claim(incarnation, sequence, now_ms)
            return
        if sequence <= claim.sequence:
            return
        claim.sequence = sequence
        claim.count += 1

    def holds(
        self,
        now_ms: float,
        known: model.Incarnation | None,
        last_heartbeat_ms: float,
        owners: tuple[model.Incarnation, ...] = (),
    ) -> bool:
        """Whether the claim replaces what is known.

        Args:
          now_ms: the current time.
          known: the known incarnation, or the last one that has ended.
          last_heartbeat_ms: when its latest heartbeat was received.
          owners: owners of keys by the table.
        """
        claim = self.claim
        if claim is None:
            return False
        needed = HEARTBEATS_MIN
        is_earlier = known and claim.incarnation.started_ms < known.started_ms
        # Another writer's heartbeat may be the first that a process receives.
        if is_earlier and (claim.incarnation not in owners or known in owners):
            needed = EARLIER_START_HEARTBEATS_MIN
        span_ms = SPAN_FACTOR * (needed - 1) * self.interval_ms
        silence_ms = (SILENCE_FACTOR + needed - 2) * self.interval_ms
        return (
            claim.count >= needed
            and now_ms - claim.first_ms >= span_ms
            and now_ms - last_heartbeat_ms >= silence_ms
        )
