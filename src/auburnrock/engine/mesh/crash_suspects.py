"""Detection of requests that crash the targets that run them.

A request is identified by its fingerprint, so that a retry by the caller counts
as the same request. All requests that a target was running when it crashed are
suspects; a complete answer clears a request. A request that reaches the limit
of crashes is refused for a while. Nodes send each other their crash counts.
"""

import xxhash

CRASHES_MAX = 3
"""Number of crashes at which a request is refused. At three, a request that
twice ran at the same time as the one that causes the crashes is still
accepted."""

RETRY_CRASHES_MAX = 1
"""Crashes that a request may have caused and still be retried by a node. Below
`CRASHES_MAX`."""

FORGOTTEN_AFTER_MS = 60_000.0
"""Time after a request's latest crash at which its count expires, in
milliseconds."""

SUSPECTS_MAX = 1_024
"""Maximum number of suspects, which bounds the memory. Those with the oldest
crashes are evicted first."""


def fingerprint(
    method: bytes, host: bytes, path: bytes, caller: str, body: bytes
) -> str:
    """Returns the fingerprint by which two requests count as the same.

    It is the 64-bit XXH3 hash of the arguments, in hexadecimal.
    """
    digest = xxhash.xxh3_64()
    for part in (method, host, path, caller.encode(), body):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashSuspects:
    """Crash counts of requests, as far as this node knows them.

    Attributes:
      crashes: count of crashes and time of the latest one, by fingerprint;
        oldest first.
    """

    __slots__ = ("crashes",)

    def __init__(self):
        self.crashes: dict[str, tuple[int, float]] = {}

    def crash_count(self, now_ms: float, suspect: str) -> int:
        """Number of crashes that a request may have caused.

        Args:
          now_ms: the time.
          suspect: fingerprint of the request.
        """
        entry = self.crashes.get(suspect)
        if entry is None:
            return 0
        if now_ms - entry[1] > FORGOTTEN_AFTER_MS:
            del self.crashes[suspect]
            return 0
        return entry[0]

    def on_crash(
        self, now_ms: float, suspects: set[str]
    ) -> list[tuple[str, int]]:
        """Counts a crash of a target.

        Args:
          now_ms: the time.
          suspects: fingerprints of the requests that the target was running.

        Returns:
          The new count of each of these requests, with its fingerprint.
        """
        counts = []
        for suspect in suspects:
            count = self.crash_count(now_ms, suspect) + 1
            self._set_count(now_ms, suspect, count)
            counts.append((suspect, count))
        return counts

    def merge_count(self, now_ms: float, suspect: str, count: int) -> bool:
        """Merges a count that another node sent; the higher count wins.

        Returns:
          Whether the count known here has changed.
        """
        if count <= self.crash_count(now_ms, suspect):
            return False
        self._set_count(now_ms, suspect, count)
        return True

    def on_answer(self, suspect: str) -> int:
        """Clears a request that was completed, since it crashes no target.

        Returns:
          The count that the request had.
        """
        entry = self.crashes.pop(suspect, None) if self.crashes else None
        return entry[0] if entry else 0

    def _set_count(self, now_ms: float, suspect: str, count: int) -> None:
        self.crashes.pop(suspect, None)
        if len(self.crashes) >= SUSPECTS_MAX:
            del self.crashes[next(iter(self.crashes))]
        self.crashes[suspect] = (count, now_ms)
