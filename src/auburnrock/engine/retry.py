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


class RetryBudget:
    """Allows retries up to a share of the successes, and a small floor.

    Over any time t, the retries allowed are at most 0.1 x successes
    + 1 per second + 10.

    Attributes:
      millitokens: what is in the bucket; a retry takes 1,000.
      floored_at_ms: time up to which the floor has been paid in.
    """

    __slots__ = ("floored_at_ms", "millitokens")

    def __init__(self, now_ms: int):
        self.millitokens = CAPACITY_MILLITOKENS
        self.floored_at_ms = now_ms

    def succeeded(self) -> None:
        """Notes a request that was answered."""
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
