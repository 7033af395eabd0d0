"""Whether a request may be sent to a target once more.

Loads answered: targets that fail, crash or lose answers. Repeats add load
when targets can bear it least, so they draw on a budget. The deployment
states one for all nodes together; each node keeps to its part of it, which it
works out from the requests that it took itself and from the number of nodes.
"""

import collections

USED_SHARE = 0.75
"""Part of the budget that is used: windows of the nodes don't coincide."""


class Window:
    """Counts events in a sliding span of time, in buckets.

    Attributes:
      span_ms: length of the span.
      buckets: start and count of each bucket, oldest first.
      total: sum of the counts.
    """

    __slots__ = ("buckets", "span_ms", "total")

    BUCKETS = 20

    def __init__(self, span_ms: float):
        self.span_ms = span_ms
        self.buckets: collections.deque[list[float]] = collections.deque()
        self.total = 0.0

    def add(self, now_ms: float, count: float = 1.0) -> None:
        """Counts an event."""
        width_ms = self.span_ms / self.BUCKETS
        if not self.buckets or now_ms - self.buckets[-1][0] >= width_ms:
            self.buckets.append([now_ms, 0.0])
        self.buckets[-1][1] += count
        self.total += count

    def count(self, now_ms: float) -> float:
        """Events in the span that ends now."""
        while self.buckets and now_ms - self.buckets[0][0] > self.span_ms:
            self.total -= self.buckets.popleft()[1]
        return self.total


class RetryBudget:
    """This node's part of the repeats to one service.

    Attributes:
      ratio: repeats for each request.
      extra: repeats besides, over all nodes.
      requests: requests of this node in half a window; the shorter span
        grants no repeats for requests that may have left the window.
      retries: repeats of this node in a window.
    """

    __slots__ = ("extra", "ratio", "requests", "retries")

    def __init__(self, ratio: float, extra: float, window_ms: float):
        self.ratio = ratio
        self.extra = extra
        self.requests = Window(window_ms / 2)
        self.retries = Window(window_ms)

    def on_request(self, now_ms: float) -> None:
        """Counts a request of a caller."""
        self.requests.add(now_ms)

    def allows_retry(self, now_ms: float, nodes: int) -> bool:
        """Whether one more repeat keeps to this node's part."""
        part = self.ratio * self.requests.count(now_ms)
        part += self.extra / max(1, nodes)
        return self.retries.count(now_ms) + 1 <= USED_SHARE * part

    def record_retry(self, now_ms: float) -> None:
        """Counts a repeat."""
        self.retries.add(now_ms)
