"""Requests that crash the targets that run them.

A request is known by its fingerprint, so a caller's repeats are the same
request. Whatever a target ran when it crashed is suspect; a whole answer
clears it. At the limit the request is refused for a while. Nodes tell each
other what they saw.
"""

import xxhash

CRASHES_MAX = 3
"""A request that shared the targets of the guilty one twice is not barred."""

RETRY_CRASHES_MAX = 1
"""This system repeats no request that may have crashed more targets."""

FORGOTTEN_AFTER_MS = 60_000.0
"""How long a suspicion lasts without a further crash."""

SUSPECTS_MAX = 1_024
"""Bounds the memory; the oldest suspicions are dropped first."""


def fingerprint(
    method: bytes, host: bytes, path: bytes, caller: str, body: bytes
) -> str:
    """What makes two requests the same; 64 bits of XXH3."""
    digest = xxhash.xxh3_64()
    for part in (method, host, path, caller.encode(), body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashSuspects:
    """Crash counts by fingerprint as this node knows them.

    Attributes:
      crashes: count and time of the latest crash.
    """

    __slots__ = ("crashes",)

    def __init__(self):
        self.crashes: dict[str, tuple[int, float]] = {}

    def crash_count(self, now_ms: float, mark: str) -> int:
        """Crashes that the request may have caused."""
        known = self.crashes.get(mark)
        if known is None:
            return 0
        if now_ms - known[1] > FORGOTTEN_AFTER_MS:
            del self.crashes[mark]
            return 0
        return known[0]

    def on_crash(self, now_ms: float, marks: set[str]) -> list[tuple[str, int]]:
        """Takes what a target ran when it crashed; returns the new counts."""
        counts = []
        for mark in marks:
            count = self.crash_count(now_ms, mark) + 1
            self._put(now_ms, mark, count)
            counts.append((mark, count))
        return counts

    def merge_count(self, now_ms: float, mark: str, count: int) -> None:
        """Takes a count from another node."""
        if count > self.crash_count(now_ms, mark):
            self._put(now_ms, mark, count)

    def on_answer(self, mark: str) -> None:
        """The request ran to its end; it crashes nothing."""
        if self.crashes:
            self.crashes.pop(mark, None)

    def _put(self, now_ms: float, mark: str, count: int) -> None:
        self.crashes.pop(mark, None)
        if len(self.crashes) >= SUSPECTS_MAX:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[mark] = (count, now_ms)
