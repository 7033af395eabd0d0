"""The limit of requests that a target in need names in its answers.

All requests to a target pass the node beside it, which therefore enforces the
limit alone, with a token bucket (Turner, 1986). What the limit takes from the
target's usual share also lowers the target's weight in sharing the keys of its
service.
"""

BURST_S = 0.5
"""Size of the bucket, in seconds of the limit: requests come in bursts."""

TRIAL_PER_S = 0.25
"""Least rate of requests, so that answers show when the limit ends."""

ARRIVAL_WINDOW_MS = 2_000.0
"""Time constant of the measured rate of arrivals, in milliseconds."""

SHARE_MIN = 0.05
"""Least part of its usual weight that a target with a limit has."""


SHARE_CHANGE_MIN = 0.25
"""Relative change of the limit from which on the share changes. Smaller ones
would move keys, and send entries to all nodes, for little."""


class ArrivalRate:
    """Exponentially weighted rate of arrivals.

    Attributes:
      per_s: rate at the time of the latest arrival.
      counted_ms: time of the latest arrival.
    """

    __slots__ = ("counted_ms", "per_s")

    def __init__(self, now_ms: float):
        self.per_s = 0.0
        self.counted_ms = now_ms

    def add(self, now_ms: float) -> None:
        """Counts an arrival."""
        self.per_s = self.at(now_ms) + 1_000.0 / ARRIVAL_WINDOW_MS
        self.counted_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Rate of arrivals per second at a time."""
        age_ms = max(0.0, now_ms - self.counted_ms)
        return self.per_s * ARRIVAL_WINDOW_MS / (ARRIVAL_WINDOW_MS + age_ms)


class RateLimit:
    """The limit of one target.

    Attributes:
      per_s: requests per second that the target takes; None without a limit.
      share: part of the target's usual weight that the limit leaves, from
        `SHARE_MIN` to 1.
      shared_per_s: the limit from which `share` follows; 0 without a limit.
      tokens: requests that may be sent at `refilled_ms`.
      refilled_ms: time at which `tokens` was computed.
      arrivals: rate at which requests arrive, sent or not.
    """

    __slots__ = (
        "arrivals",
        "per_s",
        "refilled_ms",
        "share",
        "shared_per_s",
        "tokens",
    )

    def __init__(self, now_ms: float):
        self.per_s: float | None = None
        self.share = 1.0
        self.shared_per_s = 0.0
        self.tokens = 0.0
        self.refilled_ms = now_ms
        self.arrivals = ArrivalRate(now_ms)

    def set(self, now_ms: float, per_s: float | None) -> bool:
        """Sets or ends the limit.

        Args:
          now_ms: the time.
          per_s: requests per second; None for no limit.

        Returns:
          Whether the limit has changed.
        """
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.tokens = 0.0
            self.refilled_ms = now_ms
        else:
            self._refill(now_ms)
        self._update_share(now_ms, per_s)
        self.per_s = per_s
        return True

    def restore(self, now_ms: float, per_s: float, share: float) -> None:
        """Restores the limit that a former process of the node knew."""
        if self.per_s is None and per_s > 0.0:
            self.set(now_ms, per_s)
            self.share = share
            self.shared_per_s = per_s

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Time until a request may be sent, in milliseconds.

        Args:
          now_ms: the time.
          ahead: number of requests that are sent before it.
        """
        if self.per_s is None:
            return 0.0
        self._refill(now_ms)
        missing = 1.0 + ahead - self.tokens
        return max(0.0, 1_000.0 * missing / self._rate_per_s())

    def take(self, now_ms: float) -> None:
        """Counts a request that is sent."""
        if self.per_s is not None:
            self._refill(now_ms)
            self.tokens -= 1.0

    def _update_share(self, now_ms: float, per_s: float | None) -> None:
        if per_s is None:
            self.share = 1.0
            self.shared_per_s = 0.0
            return
        change = abs(per_s - self.shared_per_s)
        if self.shared_per_s > 0.0 and (
            change < SHARE_CHANGE_MIN * self.shared_per_s
        ):
            return
        usual_per_s = self.arrivals.at(now_ms) / self.share
        self.share = 1.0
        self.shared_per_s = per_s
        if usual_per_s > per_s:
            self.share = max(SHARE_MIN, per_s / usual_per_s)

    def _rate_per_s(self) -> float:
        return max(TRIAL_PER_S, self.per_s)

    def _refill(self, now_ms: float) -> None:
        rate_per_s = self._rate_per_s()
        elapsed_s = max(0.0, now_ms - self.refilled_ms) / 1_000.0
        size = max(1.0, BURST_S * rate_per_s)
        self.tokens = min(size, self.tokens + elapsed_s * rate_per_s)
        self.refilled_ms = now_ms
