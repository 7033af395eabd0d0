"""Retry budget and jitter.

The budget is a token bucket filled by successful requests, so that retries
stay a fixed share of the traffic that works and cannot multiply a brown-out
(as in Finagle's RetryBudget and Google SRE, "Handling Overload"). Jitter:
Marc Brooker, "Exponential Backoff And Jitter" (2015), the "equal" variant.
"""

DEPOSIT_PER_SUCCESS_MILLITOKENS = 100
FLOOR_MILLITOKENS_PER_S = 1_000
CAPACITY_MILLITOKENS = 10_000
RETRY_MILLITOKENS = 1_000
RATE_SPAN_MS = 1_000
"""Successes are counted in spans of this length to tell their rate."""


class RetryBudget:
    """Allows retries up to a share of the successes, and a small floor.

    Over any time t, the retries allowed are at most 0.1 x successes
    + 1 per second + 10.

    Attributes:
      millitokens: what is in the bucket; a retry takes 1,000.
      floored_at_ms: time up to which the floor has been paid in.
      span_began_ms: start of the span in which successes are now counted.
      span_successes: successes in that span.
      successes_per_span: successes in the whole span before it.
    """

    __slots__ = (
        "floored_at_ms",
        "millitokens",
        "span_began_ms",
        "span_successes",
        "successes_per_span",
    )

    def __init__(self, now_ms: int):
        self.millitokens = CAPACITY_MILLITOKENS
        self.floored_at_ms = now_ms
        self.span_began_ms = now_ms
        self.span_successes = 0
        self.successes_per_span = 0

    def succeeded(self, now_ms: int) -> None:
        """Notes a request that was answered."""
        self._begin_span(now_ms)
        self.span_successes += 1
        self.millitokens = min(
            CAPACITY_MILLITOKENS,
            self.millitokens + DEPOSIT_PER_SUCCESS_MILLITOKENS,
        )

    def allows(self, now_ms: int) -> bool:
        """Whether a retry may be made now."""
        elapsed_ms = now_ms - self.floored_at_ms
        if elapsed_ms > 0:
            self.floored_at_ms = now_ms
            paid = elapsed_ms * FLOOR_MILLITOKENS_PER_S // 1_000
            self.millitokens = min(
                CAPACITY_MILLITOKENS, self.millitokens + paid
            )
        return self.millitokens >= RETRY_MILLITOKENS

    def retries(self) -> int:
        """How many retries the bucket holds, as `allows` has last filled it."""
        return self.millitokens // RETRY_MILLITOKENS

    def expected(self, now_ms: int, within_ms: int) -> int:
        """Retries that will be allowed within a time, as successes go now."""
        self._begin_span(now_ms)
        successes = max(self.successes_per_span, self.span_successes)
        deposits = successes * DEPOSIT_PER_SUCCESS_MILLITOKENS // RATE_SPAN_MS
        paid = within_ms * FLOOR_MILLITOKENS_PER_S // 1_000
        total = self.millitokens + paid + within_ms * deposits
        return total // RETRY_MILLITOKENS

    def _begin_span(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.span_began_ms
        if elapsed_ms < RATE_SPAN_MS:
            return
        is_recent = elapsed_ms < 2 * RATE_SPAN_MS
        self.successes_per_span = self.span_successes if is_recent else 0
        self.span_began_ms = now_ms
        self.span_successes = 0

    def spend(self) -> None:
        """Takes the tokens of one retry; call only if it is allowed."""
        assert self.millitokens >= RETRY_MILLITOKENS
        self.millitokens -= RETRY_MILLITOKENS


def jittered_ms(base_ms: int, random: float) -> int:
    """Spreads a time over [base / 2, base * 3 / 2).

    Args:
      base_ms: the mean.
      random: a number in [0, 1), drawn by the caller.
    """
    return int(base_ms * (0.5 + random))


def jittered_later_ms(base_ms: int, random: float) -> int:
    """Spreads a time over [base, base * 3 / 2): never before it.

    Args:
      base_ms: the earliest.
      random: a number in [0, 1), drawn by the caller.
    """
    return int(base_ms * (1 + random / 2))


def backoff_ms(attempt: int, first_ms: int, longest_ms: int) -> int:
    """Time before attempt number `attempt` + 1, doubling from `first_ms`."""
    return min(longest_ms, first_ms << min(attempt, 16))
