"""Exponential backoff with jitter, for calls to the store.

When the store comes back from an outage, all nodes have calls waiting. Delays
that grow, and differ among nodes, keep those calls from ending it again. The
jitter is a hash, since the engine has no randomness of its own.
"""

from auburnrock.engine import keys

LONGEST_MS = 3_000

_HASHES = 2**64


class Backoff:
    """Delays that double with each failure in a row.

    Attributes:
      first_ms: the delay after the first failure, before jitter.
      name: makes the jitter differ from that of others.
      failures: failures in a row.
    """

    __slots__ = ("failures", "first_ms", "name")

    def __init__(self, first_ms: int, name: str):
        self.first_ms = first_ms
        self.name = name
        self.failures = 0

    def delay_ms(self) -> int:
        """Counts a failure; returns how long to wait, half of it jitter."""
        full_ms = min(LONGEST_MS, self.first_ms * 2 ** min(self.failures, 16))
        self.failures += 1
        share = keys.hash_of(f"{self.name}\0{self.failures}") / _HASHES
        return max(1, int(full_ms * (0.5 + 0.5 * share)))

    def reset(self) -> None:
        """Counts a success."""
        self.failures = 0
