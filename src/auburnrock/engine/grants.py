"""Grants that let the target beside a node serve shards.

A grant ends on the target's own clock. The node knows that clock from readings
that the target sends, so the end does not depend on when a grant arrives: a
grant that arrives after a freeze has already ended. The clock must count the
time that a machine is suspended.
"""

import math

import msgspec

from auburnrock.engine import timing as timing_lib
from auburnrock.targets import base as targets_base

POLL_INTERVAL_MS = 20
"""Time between two grants while a released shard still has work or the
target has not confirmed the latest shards."""
UNANSWERED_GRANTS = 2
"""Minimum number of unanswered grants in a row that make a target silent."""
RETRY_INTERVAL_MS = 100
"""Time until the next grant after a grant that was not accepted."""


class TargetState(msgspec.Struct):
    """The known state of the target beside the node.

    Attributes:
      service: service that the target serves.
      incarnation: incarnation of the target.
      checks_grants: whether the target refuses work without a valid grant.
      clock_ms: latest clock reading of the target.
      received_ms: when that reading was received, on the node's clock.
      draining: whether the target refuses new work.
    """

    service: str
    incarnation: str
    checks_grants: bool
    clock_ms: int
    received_ms: int
    draining: bool = False


class Grants:
    """Builds the grants for a target and evaluates its answers.

    The shell calls `next` at each tick. It sends the grant that it gets and
    calls exactly one of `on_answer` and `on_no_answer` before it sends
    another.

    Attributes:
      incarnation: incarnation of the node.
      timing: the time limits of the fleet.
      target: the target; None while there is none.
      refusals: number of grants in a row that the target did not accept.
    """

    __slots__ = (
        "_confirmed",
        "_grantable",
        "_in_flight",
        "_last_end_ms",
        "_may_hold",
        "_running",
        "_sent_ms",
        "_sent_shards",
        "_sequence",
        "_unanswered",
        "incarnation",
        "refusals",
        "target",
        "timing",
    )

    def __init__(self, incarnation: int, timing: timing_lib.Timing):
        self.incarnation = incarnation
        self.timing = timing
        self.target: TargetState | None = None
        self._sequence = 0
        self._reset()

    def on_announced(
        self, announcement: targets_base.Announcement, now_ms: int
    ) -> bool:
        """Handles an announcement; returns whether a former target ended."""
        former = self.target
        is_new = (
            former is None or former.incarnation != announcement.incarnation
        )
        if is_new:
            self._reset()
        self._unanswered = 0
        self.target = TargetState(
            announcement.service,
            announcement.incarnation,
            announcement.checks_grants,
            announcement.clock_ms,
            now_ms,
            announcement.draining,
        )
        return is_new and former is not None

    def on_ended(self) -> None:
        """Records that the target has certainly ended."""
        self.target = None
        self._reset()

    def next(
        self,
        shards: list[targets_base.GrantedShard],
        lease_end_ms: int,
        now_ms: int,
    ) -> targets_base.Grant | None:
        """The grant to send now; None if none is due.

        Args:
          shards: every shard that the target may serve, in order.
          lease_end_ms: end of the node's lease.
          now_ms: the node's clock.
        """
        target = self.target
        self._grantable = shards
        if target is None or not target.checks_grants:
            return None
        if self._in_flight is not None or not self._is_due(now_ms):
            return None
        end_ms = self._end_ms(target, lease_end_ms, now_ms)
        if end_ms is None:
            # The target refuses this grant as ended, but still answers it.
            end_ms = target.clock_ms
        else:
            self._last_end_ms = max(self._last_end_ms, end_ms)
        self._sequence += 1
        grant = targets_base.Grant(
            node=self.incarnation,
            sequence=self._sequence,
            target_incarnation=target.incarnation,
            valid_until_ms=end_ms,
            shards=list(shards),
        )
        self._in_flight = grant
        self._sent_shards = list(shards)
        self._may_hold.update(each.shard for each in shards)
        self._sent_ms = now_ms
        return grant

    def on_answer(self, answer: targets_base.GrantAnswer, now_ms: int) -> bool:
        """Handles an answer; returns whether a former target ended.

        An answer of another incarnation proves that the previous incarnation
        has ended; the new one is known once it announces itself.
        """
        grant, self._in_flight = self._in_flight, None
        if grant is None or self.target is None:
            return False
        if grant.target_incarnation != self.target.incarnation:
            return False
        if answer.incarnation != self.target.incarnation:
            self.on_ended()
            return True
        self.target.clock_ms = answer.clock_ms
        self.target.received_ms = now_ms
        self._unanswered = 0
        self.refusals = 0 if answer.accepted else self.refusals + 1
        if answer.accepted:
            self._confirmed = {each.shard: each.epoch for each in grant.shards}
            # The target refuses every earlier grant from now on.
            self._may_hold = set(self._confirmed)
            self._running = answer.running
        return False

    def on_no_answer(self) -> None:
        """Records that the grant in flight got no usable answer."""
        if self._in_flight is not None:
            self.refusals += 1
            self._unanswered += 1
        self._in_flight = None

    def is_granted(self, shard: int, epoch: int) -> bool:
        """Whether the target acknowledged a grant of a shard.

        The grant may have ended since; the target checks this by itself.
        """
        return self._confirmed.get(shard) == epoch

    def is_released(self, shard: int) -> bool:
        """Whether the target acknowledged a release and runs nothing on it."""
        if self.target is None:
            return True
        if shard in self._may_hold:
            return False
        if self._last_end_ms == 0:
            # This target never had a grant.
            return True
        return not self._running.get(shard, 0)

    def is_silent(self, now_ms: int) -> bool:
        """Whether a target that checks grants has exceeded the silence limit.

        Time alone is no proof, as this node may itself have been paused: one
        grant may then have timed out together with its answer, but not a
        second grant that was sent afterwards.
        """
        target = self.target
        if target is None or self._unanswered < UNANSWERED_GRANTS:
            return False
        silent_ms = now_ms - target.received_ms
        return silent_ms >= self.timing.silence_limit_ms

    def has_surely_ended(self, now_ms: int) -> bool:
        """Whether every grant ever sent has ended on the target's clock.

        All grants that may have arrived count, not only those that were
        acknowledged. The result is never true of a target that checks no
        grants: it may continue to work after its node's lease has ended.
        """
        target = self.target
        if target is None:
            return True
        if not target.checks_grants:
            return False
        passed_ms = now_ms - target.received_ms - timing_lib.CLOCK_ROUNDING_MS
        slowest_ms = math.floor(passed_ms * self._slowest_rate())
        return target.clock_ms + slowest_ms >= self._last_end_ms

    def _reset(self) -> None:
        self._in_flight: targets_base.Grant | None = None
        self._sent_shards: list[targets_base.GrantedShard] | None = None
        self._sent_ms = 0
        self.refusals = 0
        self._unanswered = 0
        self._grantable: list[targets_base.GrantedShard] = []
        self._last_end_ms = 0
        self._confirmed: dict[int, int] = {}
        self._may_hold: set[int] = set()
        self._running: dict[int, int] = {}

    def _is_due(self, now_ms: int) -> bool:
        if self._sent_shards != self._grantable:
            return True
        waited_ms = now_ms - self._sent_ms
        if self.refusals:
            return waited_ms >= RETRY_INTERVAL_MS
        if self._running or self._has_unconfirmed():
            return waited_ms >= POLL_INTERVAL_MS
        return waited_ms >= self.timing.renewal_interval_ms

    def _has_unconfirmed(self) -> bool:
        grantable = {each.shard: each.epoch for each in self._grantable}
        return self._confirmed != grantable

    def _end_ms(
        self, target: TargetState, lease_end_ms: int, now_ms: int
    ) -> int | None:
        """End of a grant on the target's clock; None for no valid grant.

        A silent target gets no valid grant: otherwise its last grant would
        never end.
        """
        if now_ms >= lease_end_ms or self.is_silent(now_ms):
            return None
        left_ms = lease_end_ms - target.received_ms
        left_ms -= timing_lib.CLOCK_ROUNDING_MS
        return target.clock_ms + math.floor(left_ms * self._slowest_rate())

    def _slowest_rate(self) -> float:
        """Slowest possible rate of another clock relative to this node's."""
        return 1 - 2 * self.timing.drift_share
