"""Retry budget and jitter.

The budget is a token bucket filled by successful requests, so that retries
stay a fixed share of the successful traffic and cannot amplify a brown-out (as
in Finagle's RetryBudget and Google SRE, "Handling Overload"). The jitter is
the "equal" variant of Marc Brooker, "Exponential Backoff And Jitter" (2015).
"""

DEPOSIT_PER_SUCCESS_MILLITOKENS = 100
FLOOR_MILLITOKENS_PER_S = 1_000
CAPACITY_MILLITOKENS = 10_000
RETRY_MILLITOKENS = 1_000
RATE_WINDOW_MS = 1_000
"""Length of the windows in which successes are counted for their rate."""


class RetryBudget:
    """Limits retries to a share of the successes plus a small floor.

    Over any period, at most 0.1 x successes + 1 per second + 10 retries are
    allowed.

    Attributes:
      millitokens: content of the bucket; a retry takes 1,000.
      floor_added_until_ms: time up to which the floor has been added.
      window_began_ms: start of the current counting window.
      window_successes: number of successes in the current window.
      previous_successes: number of successes in the window before the
        current one.
    """

    __slots__ = (
        "floor_added_until_ms",
        "millitokens",
        "previous_successes",
        "window_began_ms",
        "window_successes",
    )

    def __init__(self, now_ms: int):
        self.millitokens = CAPACITY_MILLITOKENS
        self.floor_added_until_ms = now_ms
        self.window_began_ms = now_ms
        self.window_successes = 0
        self.previous_successes = 0

    def record_success(self, now_ms: int) -> None:
        """Records a request that was answered."""
        self._begin_window(now_ms)
        self.window_successes += 1
        self.millitokens = min(
            CAPACITY_MILLITOKENS,
            self.millitokens + DEPOSIT_PER_SUCCESS_MILLITOKENS,
        )

    def allows(self, now_ms: int) -> bool:
        """Whether a retry may be made now."""
        elapsed_ms = now_ms - self.floor_added_until_ms
        if elapsed_ms > 0:
            self.floor_added_until_ms = now_ms
            paid = elapsed_ms * FLOOR_MILLITOKENS_PER_S // 1_000
            self.millitokens = min(
                CAPACITY_MILLITOKENS, self.millitokens + paid
            )
        return self.millitokens >= RETRY_MILLITOKENS

    def available_retries(self) -> int:
        """Returns how many retries the bucket held at the last `allows`."""
        return self.millitokens // RETRY_MILLITOKENS

    def expected_retries(self, now_ms: int, within_ms: int) -> int:
        """Estimates the retries allowed within a time at the success rate."""
        self._begin_window(now_ms)
        successes = max(self.previous_successes, self.window_successes)
        deposits = successes * DEPOSIT_PER_SUCCESS_MILLITOKENS // RATE_WINDOW_MS
        paid = within_ms * FLOOR_MILLITOKENS_PER_S // 1_000
        total = self.millitokens + paid + within_ms * deposits
        return total // RETRY_MILLITOKENS

    def _begin_window(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self.window_began_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        is_recent = elapsed_ms < 2 * RATE_WINDOW_MS
        self.previous_successes = self.window_successes if is_recent else 0
        self.window_began_ms = now_ms
        self.window_successes = 0

    def spend(self) -> None:
        """Takes the tokens of one retry; requires that `allows` is true."""
        assert self.millitokens >= RETRY_MILLITOKENS
        self.millitokens -= RETRY_MILLITOKENS


def jittered_ms(base_ms: int, random: float) -> int:
    """Spreads a time over [base / 2, base * 3 / 2).

    Args:
      base_ms: the mean of the result.
      random: a number in [0, 1), drawn by the caller.
    """
    return int(base_ms * (0.5 + random))


def jittered_later_ms(base_ms: int, random: float) -> int:
    """Spreads a time over [base, base * 3 / 2), so never before the base.

    Args:
      base_ms: the lowest result.
      random: a number in [0, 1), drawn by the caller.
    """
    return int(base_ms * (1 + random / 2))


def backoff_ms(attempt: int, first_ms: int, longest_ms: int) -> int:
    """Returns the pause before attempt `attempt` + 1; pauses double."""
    return min(longest_ms, first_ms << min(attempt, 16))
