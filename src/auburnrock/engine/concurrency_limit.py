"""Concurrency limit of one target, learnt from the outcomes of its requests.

The limit changes as in TCP: slow start from a cold target's limit, then
additive increase by one for each round at the limit, and multiplicative
decrease on congestion (Chiu and Jain 1989; Jacobson 1988). Congestion is a
refusal by the target, a request that was silent or timed out, or a recent
latency well above the long-run latency, as in TCP Vegas (Brakmo and Peterson
1995) and Netflix's Gradient2 limit. Both latencies are averages, so that a mix
of quick and slow requests does not count as congestion. An answer lost with
its connection does not count either: random losses would reduce the limit to
one, which costs more than the losses themselves.
"""

import enum

COLD_LIMIT = 2.0
LOWEST_LIMIT = 1.0
DECREASE_FACTOR = 0.9
LATENCY_TOLERANCE = 2.0
LATENCY_SLACK_MS = 1.0
"""Latency differences in ms below this are scheduling noise, not congestion."""

RECENT_WEIGHT = 1 / 32
LONG_RUN_WEIGHT = 1 / 256


class Outcome(enum.Enum):
    """How a request at the target ended.

    DONE: the target sent a complete answer, of whatever status.
    REFUSED: the target did not run the request for lack of capacity.
    LOST: the request was sent, and its connection ended or carried garbage.
    TIMED_OUT: the request was sent, and no answer arrived in time.
    ABANDONED: the caller ended the request, which is no evidence about the
      target.
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
      slots: the most requests that the target runs at a time.
      value: the limit before rounding down.
      slow_start: whether each success still adds one to the limit.
      recent_ms: average recent latency; 0 until there is a sample.
      long_run_ms: average long-run latency; 0 until there is a sample.
      samples: number of latencies observed.
      completions_to_hold: number of completions before the limit may decrease
        again, so that one congestion event counts once.
    """

    __slots__ = (
        "completions_to_hold",
        "long_run_ms",
        "recent_ms",
        "samples",
        "slots",
        "slow_start",
        "value",
    )

    def __init__(self, slots: int):
        self.slots = slots
        self.value = min(COLD_LIMIT, float(slots))
        self.slow_start = True
        self.recent_ms = 0.0
        self.long_run_ms = 0.0
        self.samples = 0
        self.completions_to_hold = 0

    def allowed(self) -> int:
        """Returns the limit as a whole number, in [1, slots]."""
        return int(self.value)

    def latency_ms(self) -> float:
        """Returns the recent latency, or 0 until there is a sample."""
        return self.recent_ms

    def observe(
        self, outcome: Outcome, latency_ms: float, was_full: bool
    ) -> None:
        """Updates the limit from the end of one request.

        Args:
          outcome: how the request ended.
          latency_ms: how long the request ran.
          was_full: whether as many requests ran as the limit allows; the
            limit does not grow otherwise, as an unused limit is not tested.
        """
        if self.completions_to_hold > 0:
            self.completions_to_hold -= 1
        if outcome is Outcome.DONE:
            self._observe_latency(latency_ms)
        usual_ms = LATENCY_TOLERANCE * self.long_run_ms + LATENCY_SLACK_MS
        slow = self.recent_ms > usual_ms
        if slow or outcome in CONGESTION:
            self._decrease()
        elif was_full and outcome is Outcome.DONE:
            self._increase()

    def _observe_latency(self, latency_ms: float) -> None:
        # The first samples are averaged with equal weights: a moving average
        # would stay near the very first latency, and an unusual one would
        # count as congestion for hundreds of requests.
        self.samples += 1
        recent_weight = max(RECENT_WEIGHT, 1 / self.samples)
        long_run_weight = max(LONG_RUN_WEIGHT, 1 / self.samples)
        self.recent_ms += (latency_ms - self.recent_ms) * recent_weight
        self.long_run_ms += (latency_ms - self.long_run_ms) * long_run_weight
        # After a slow period the long-run latency drops at once; otherwise the
        # next congestion would not be detected.
        if self.long_run_ms > LATENCY_TOLERANCE * self.recent_ms:
            self.long_run_ms = self.recent_ms

    def _increase(self) -> None:
        step = 1.0 if self.slow_start else 1.0 / self.value
        self.value = min(float(self.slots), self.value + step)
        if self.value >= self.slots:
            self.slow_start = False

    def _decrease(self) -> None:
        if self.completions_to_hold > 0:
            return
        self.completions_to_hold = self.allowed()
        self.value = max(LOWEST_LIMIT, self.value * DECREASE_FACTOR)
        self.slow_start = False
