"""At most one compare-and-swap at a time for each record, and its retries.

For writers whose every write is a decision about the value that it replaces
and stays right whenever it lands, as long as that value is still there. Such a
writer needs not know which of its writes took effect: after a lost answer it
decides anew about the latest value it knows, and the compare lets at most one
of the two writes through.

Retries wait with exponential backoff and jitter ("Exponential Backoff And
Jitter", AWS Architecture Blog, 2015). The jitter is a hash, so that the engine
stays deterministic.
"""

import msgspec

from auburnrock.engine import actions
from auburnrock.engine import keys

FIRST_WAIT_MS = 50
LONGEST_WAIT_MS = 2_000
MOST_DOUBLINGS = 10
FREE_CONFLICTS = 4
"""Conflicts in a row that are answered at once: each means that another
writer got on, and brought the latest value."""


class Attempt(msgspec.Struct):
    """The state of the writes to one record.

    Attributes:
      token: token of the call in flight; empty if there is none.
      failures: calls in a row without effect.
      wait_until_ms: no new call before this time.
    """

    token: str = ""
    failures: int = 0
    wait_until_ms: int = 0


class RecordWriter:
    """Issues the compare-and-swaps of one part of the engine.

    Attributes:
      part: name of the part; its tokens begin with it.
      incarnation: incarnation of the writing node.
    """

    __slots__ = ("_attempts", "_keys", "_sequence", "incarnation", "part")

    def __init__(self, part: str, incarnation: int):
        self.part = part
        self.incarnation = incarnation
        self._sequence = 0
        self._attempts: dict[str, Attempt] = {}
        self._keys: dict[str, str] = {}

    def may_write(self, key: str, now_ms: int) -> bool:
        """Whether no call on this record is in flight or held back."""
        attempt = self._attempts.get(key)
        if attempt is None:
            return True
        return not attempt.token and now_ms >= attempt.wait_until_ms

    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self._keys

    def next_writer(self) -> str:
        """A name for the next write, unique over all writes of all nodes."""
        return f"{self.part}-{self.incarnation:x}-{self._sequence + 1}"

    def swap(
        self, key: str, data: bytes | None, expected_revision: int
    ) -> actions.Swap:
        """The call that writes a record; `may_write` must hold."""
        attempt = self._attempts.setdefault(key, Attempt())
        assert not attempt.token, f"two calls at once on {key}"
        self._sequence += 1
        attempt.token = f"{self.part}:{self._sequence}"
        self._keys[attempt.token] = key
        return actions.Swap(attempt.token, key, data, expected_revision)

    def on_result(self, result: actions.StoreResult, now_ms: int) -> str | None:
        """Takes in a result; returns the key, or None if it is not its own.

        The shell has applied `result.current` to the replica before.
        """
        key = self._keys.pop(result.token, None)
        if key is None:
            return None
        attempt = self._attempts[key]
        attempt.token = ""
        if result.outcome == actions.StoreOutcome.DONE:
            del self._attempts[key]
            return key
        attempt.failures += 1
        is_free = (
            result.outcome == actions.StoreOutcome.CONFLICT
            and attempt.failures <= FREE_CONFLICTS
        )
        if not is_free:
            attempt.wait_until_ms = now_ms + self._wait_ms(key, attempt)
        return key

    def _wait_ms(self, key: str, attempt: Attempt) -> int:
        doublings = min(attempt.failures - 1, MOST_DOUBLINGS)
        longest = min(FIRST_WAIT_MS << doublings, LONGEST_WAIT_MS)
        seed = f"{self.incarnation}/{key}/{self._sequence}"
        jitter = keys.hash_of(seed) % (longest // 2 + 1)
        return longest - jitter
