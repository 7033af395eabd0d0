"""Exponential backoff with jitter, for calls to the store.

When the store recovers from an outage, all nodes have calls waiting. Delays
that grow and that differ among nodes prevent those calls from overloading the
store again. The jitter is a hash, since the engine is deterministic.
"""

from auburnrock.engine import keys

MAX_DELAY_MS = 3_000

_HASH_RANGE = 2**64


class Backoff:
    """Delays that double with each consecutive failure.

    Attributes:
      first_ms: delay after the first failure, before jitter.
      name: seed of the jitter, so that different callers wait differently.
      failures: number of consecutive failures.
    """

    __slots__ = ("failures", "first_ms", "name")

    def __init__(self, first_ms: int, name: str):
        self.first_ms = first_ms
        self.name = name
        self.failures = 0

    def delay_ms(self) -> int:
        """Records a failure; returns a delay in ms, up to half of it jitter."""
        full_ms = min(MAX_DELAY_MS, self.first_ms * 2 ** min(self.failures, 16))
        self.failures += 1
        fraction = keys.hash_of(f"{self.name}\0{self.failures}") / _HASH_RANGE
        return max(1, int(full_ms * (0.5 + 0.5 * fraction)))

    def reset(self) -> None:
        """Records a success: the next failure gets the first delay again."""
        self.failures = 0
