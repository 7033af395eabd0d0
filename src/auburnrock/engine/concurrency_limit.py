"""How many requests one target may run at a time, learnt from outcomes.

Growth as in TCP: slow start from a cold target's limit, then additive
increase, one for each round at the limit; multiplicative decrease on
congestion (Chiu and Jain 1989; Jacobson 1988). Congestion is a refusal by the
target, a request that was silent or timed out, or a recent latency well above
the long-run one, as in TCP Vegas (Brakmo and Peterson 1995) and Netflix's
Gradient2 limit. Both latencies are averages, so that a mix of quick and slow
requests is no congestion. Nor is an answer lost with its connection: a share
of losses at random would take the limit down to one and cost more than they
do.
"""

import enum

COLD_LIMIT = 2.0
LOWEST_LIMIT = 1.0
DECREASE_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
LATENCY_SLACK_MS = 1.0
"""Differences below this are the noise of scheduling, not congestion."""

SHORT_WEIGHT = 1 / 32
LONG_WEIGHT = 1 / 256


class Outcome(enum.Enum):
    """How a request at the target ended.

    DONE: a whole answer, whatever its status.
    REFUSED: the target did not run it for lack of capacity.
    LOST: sent, and its connection ended or carried garbage.
    TIMED_OUT: sent, and no answer came in its time.
    ABANDONED: ended by its caller; says nothing about the target.
    """

    DONE = enum.auto()
    REFUSED = enum.auto()
    LOST = enum.auto()
    TIMED_OUT = enum.auto()
    ABANDONED = enum.auto()


CONGESTION = frozenset({Outcome.REFUSED, Outcome.TIMED_OUT})


class ConcurrencyLimit:
    """The learnt limit of one target.

    Attributes:
      slots: the most that the target runs at a time.
      value: the limit, not rounded.
      slow_start: whether each success still adds one.
      short_ms: recent latency; 0 until there is a sample.
      long_ms: long-run latency.
      samples: latencies seen.
      samples_to_hold: completions to wait before the next decrease, so that
        one congestion counts once.
    """

    __slots__ = (
        "long_ms",
        "samples",
        "samples_to_hold",
        "short_ms",
        "slots",
        "slow_start",
        "value",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.value = min(COLD_LIMIT, float(slots))
        self.slow_start = True
        self.short_ms = 0.0
        self.long_ms = 0.0
        self.samples = 0
        self.samples_to_hold = 0

    def allowed(self) -> int:
        """The limit as a whole number, in [1, slots]."""
        return int(self.value)

    def latency_ms(self) -> float:
        """Recent latency of a request; 0 until there is a sample."""
        return self.short_ms

    def observe(
        self, outcome: Outcome, latency_ms: float, was_full: bool
    ) -> None:
        """Learns from the end of one request.

        Args:
          outcome: how it ended.
          latency_ms: how long it ran.
          was_full: whether as many ran as the limit allows; growing a limit
            that is not used would learn nothing.
        """
        if self.samples_to_hold > 0:
            self.samples_to_hold -= 1
        if outcome is Outcome.DONE:
            self._observe_latency(latency_ms)
        usual_ms = LATENCY_TOLERANCE * self.long_ms + LATENCY_SLACK_MS
        slow = self.short_ms > usual_ms
        if slow or outcome in CONGESTION:
            self._decrease()
        elif was_full and outcome is Outcome.DONE:
            self._increase()

    def _observe_latency(self, latency_ms: float) -> None:
        # Plain means at first: a moving average would hold to the very first
        # latency, and an odd one would read as congestion for hundreds more.
        self.samples += 1
        short_weight = max(SHORT_WEIGHT, 1 / self.samples)
        long_weight = max(LONG_WEIGHT, 1 / self.samples)
        self.short_ms += (latency_ms - self.short_ms) * short_weight
        self.long_ms += (latency_ms - self.long_ms) * long_weight
        # After a slow spell the long-run latency follows down at once;
        # otherwise the next congestion would go unseen.
        if self.long_ms > LATENCY_TOLERANCE * self.short_ms:
            self.long_ms = self.short_ms

    def _increase(self) -> None:
        step = 1.0 if self.slow_start else 1.0 / self.value
        self.value = min(float(self.slots), self.value + step)
        if self.value >= self.slots:
            self.slow_start = False

    def _decrease(self) -> None:
        if self.samples_to_hold > 0:
            return
        self.samples_to_hold = self.allowed()
        self.value = max(LOWEST_LIMIT, self.value * DECREASE_FACTOR)
        self.slow_start = False
