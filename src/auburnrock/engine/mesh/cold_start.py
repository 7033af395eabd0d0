"""Limit of the requests that a cold target receives.

A target is cold for some seconds after its start. It then tolerates few
requests per second, and crashes at a rate well above that, which makes it cold
again: without a limit, a service that has lost targets under load never
recovers. All requests to a target pass the node beside it, which enforces the
limit alone, with a token bucket (Turner, 1986).

A target may also restart while its node does not hear of it. Then it counts as
cold until its next heartbeat.
"""

BURST_SHARE = 0.5
"""Size of the bucket, as a share of the requests that a cold target may receive
in addition in any one second. The other half covers requests whose way to the
target takes unlike times."""


class ColdStart:
    """Whether one target is cold, and which requests it may receive then.

    Attributes:
      per_s: requests per second that the target receives while it is cold; 0
        for no limit.
      burst: requests that it may receive at once.
      cold_until_ms: end of the cold start, as the target reports it.
      unconfirmed: whether the target may have become cold since its latest
        heartbeat.
      tokens: requests that may be sent at `refilled_ms`.
      refilled_ms: time at which `tokens` was computed.
    """

    __slots__ = (
        "burst",
        "cold_until_ms",
        "per_s",
        "refilled_ms",
        "tokens",
        "unconfirmed",
    )

    def __init__(self, now_ms: float):
        self.per_s = 0.0
        self.burst = 1.0
        self.cold_until_ms = 0.0
        self.unconfirmed = False
        self.tokens = 0.0
        self.refilled_ms = now_ms

    def configure(
        self, tolerated_per_s: float, over: float, extra: float
    ) -> None:
        """Sets the limit.

        Args:
          tolerated_per_s: requests per second that a cold target tolerates; 0
            for no limit.
          over: factor by which the rate may exceed that.
          extra: requests that are allowed in addition in any one second.
        """
        self.per_s = tolerated_per_s * over
        self.burst = max(1.0, BURST_SHARE * extra)

    def on_heartbeat(self, now_ms: float, cold_ms: float) -> None:
        """Applies the remaining cold start that a heartbeat reports."""
        self.cold_until_ms = now_ms + cold_ms
        self.unconfirmed = False

    def on_possible_restart(self) -> None:
        """Counts the target as cold until its next heartbeat."""
        self.unconfirmed = True

    def left_ms(self, now_ms: float) -> float:
        """Returns the remaining cold start as the target reported it."""
        return max(0.0, self.cold_until_ms - now_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Whether the target is cold, or limited as it may be."""
        return self.cold_until_ms > now_ms or self.is_limited(now_ms)

    def is_limited(self, now_ms: float) -> bool:
        """Whether the limit applies now."""
        if self.per_s <= 0.0:
            return False
        return self.unconfirmed or self.cold_until_ms > now_ms

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Returns the time until a request may be sent, in milliseconds.

        Args:
          now_ms: the time.
          ahead: number of requests that are sent before it.
        """
        if not self.is_limited(now_ms):
            return 0.0
        self._refill(now_ms)
        return max(0.0, 1_000.0 * (1.0 + ahead - self.tokens) / self.per_s)

    def take(self, now_ms: float) -> None:
        """Counts a request that is sent.

        Requests to a warm target count too: it may be cold already.
        """
        if self.per_s > 0.0:
            self._refill(now_ms)
            self.tokens = max(0.0, self.tokens - 1.0)

    def _refill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self.refilled_ms) / 1_000.0
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.per_s)
        self.refilled_ms = now_ms
