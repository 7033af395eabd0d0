"""Serialises the compare-and-swaps of each record and schedules retries.

This module is for writers that derive each write from the value that it
replaces, so that the write is correct whenever it takes effect, as long as
that value is still current. Such a writer need not know which of its writes
took effect: after a lost answer it derives a new write from the latest value
that it knows, and at most one of the two writes passes the compare.

Retries wait with exponential backoff and jitter ("Exponential Backoff And
Jitter", AWS Architecture Blog, 2015). The jitter is a hash, so that the engine
stays deterministic.
"""

import msgspec

from auburnrock.engine import actions
from auburnrock.engine import keys

FIRST_WAIT_MS = 50
MAX_WAIT_MS = 2_000
MAX_DOUBLINGS = 10
IMMEDIATE_RETRIES = 4
"""Number of consecutive failed calls up to which a conflict causes no delay.

A conflict shows that another writer made progress, and its result contains the
latest value, so the retry need not wait.
"""


class Attempt(msgspec.Struct):
    """The state of the writes to one record.

    Attributes:
      token: token of the call in flight; empty if there is none.
      failures: number of consecutive calls without effect.
      retry_at_ms: when the next call may be made.
    """

    token: str = ""
    failures: int = 0
    retry_at_ms: int = 0


class RecordWriter:
    """Issues the compare-and-swaps of one part of the engine.

    Attributes:
      part: name of this part of the engine; prefix of its tokens.
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
        """Whether no call on this record is in flight or delayed."""
        attempt = self._attempts.get(key)
        if attempt is None:
            return True
        return not attempt.token and now_ms >= attempt.retry_at_ms

    def is_idle(self) -> bool:
        """Whether no call is in flight."""
        return not self._keys

    def next_writer(self) -> str:
        """The writer for the next write; no other write of any node has it."""
        return f"{self.part}-{self.incarnation:x}-{self._sequence + 1}"

    def swap(
        self, key: str, data: bytes | None, expected_revision: int
    ) -> actions.Swap:
        """Registers and returns the call that writes a record.

        `may_write` must be true. A second call on a record while one is in
        flight raises AssertionError.
        """
        attempt = self._attempts.setdefault(key, Attempt())
        assert not attempt.token, f"a call on {key} is already in flight"
        self._sequence += 1
        attempt.token = f"{self.part}:{self._sequence}"
        self._keys[attempt.token] = key
        return actions.Swap(attempt.token, key, data, expected_revision)

    def on_result(self, result: actions.StoreResult, now_ms: int) -> str | None:
        """Handles a store result of one of this writer's calls.

        The shell applies `result.current` to the replica first.

        Returns:
          The key of the record; None if the result belongs to another writer.
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
        retries_at_once = (
            result.outcome == actions.StoreOutcome.CONFLICT
            and attempt.failures <= IMMEDIATE_RETRIES
        )
        if not retries_at_once:
            attempt.retry_at_ms = now_ms + self._wait_ms(key, attempt)
        return key

    def _wait_ms(self, key: str, attempt: Attempt) -> int:
        doublings = min(attempt.failures - 1, MAX_DOUBLINGS)
        longest_ms = min(FIRST_WAIT_MS << doublings, MAX_WAIT_MS)
        seed = f"{self.incarnation}/{key}/{self._sequence}"
        jitter = keys.hash_of(seed) % (longest_ms // 2 + 1)
        return longest_ms - jitter
