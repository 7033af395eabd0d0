"""The budget that limits how many requests a node retries.

Targets may fail, crash or lose answers. Retries add load just when targets can
handle it least, so they are limited by a budget. The deployment configures one
budget for all nodes together. Each node uses its own part of it, which it
computes from the requests that it received itself and the number of nodes. A
process does not know what the former process of its node has used.
"""

import collections

USED_SHARE = 0.75
"""Share of its part of the budget that a node uses. Less than one, since the
windows of different nodes don't coincide."""


class Window:
    """Count of events in a sliding window, kept in buckets.

    Attributes:
      span_ms: length of the window, in milliseconds.
      buckets: start time and count of each bucket, oldest first.
      total: sum of the counts of all buckets.
    """

    __slots__ = ("buckets", "span_ms", "total")

    BUCKETS = 20

    def __init__(self, span_ms: float):
        self.span_ms = span_ms
        self.buckets: collections.deque[list[float]] = collections.deque()
        self.total = 0.0

    def add(self, now_ms: float, count: float = 1.0) -> None:
        """Adds `count` events that happen now."""
        width_ms = self.span_ms / self.BUCKETS
        if not self.buckets or now_ms - self.buckets[-1][0] >= width_ms:
            self.buckets.append([now_ms, 0.0])
        self.buckets[-1][1] += count
        self.total += count

    def count(self, now_ms: float) -> float:
        """Number of events in the window that ends now."""
        while self.buckets and now_ms - self.buckets[0][0] > self.span_ms:
            self.total -= self.buckets.popleft()[1]
        return self.total


class RetryBudget:
    """This node's part of the budget for retries to one service.

    Attributes:
      ratio: retries that are allowed for each request.
      extra: further retries that are allowed in each window, of all nodes
        together.
      extra_from_ms: when this process may begin to use its part of `extra`.
      requests: requests to this node in half a window. With the shorter window,
        no retries are allowed for requests that may have left the budget's
        window.
      retries: retries by this node in a window.
    """

    __slots__ = ("extra", "extra_from_ms", "ratio", "requests", "retries")

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: float,
        extra_from_ms: float = 0.0,
    ):
        self.ratio = ratio
        self.extra = extra
        self.extra_from_ms = extra_from_ms
        self.requests = Window(window_ms / 2)
        self.retries = Window(window_ms)

    def on_request(self, now_ms: float) -> None:
        """Counts a request of a caller."""
        self.requests.add(now_ms)

    def allows_retry(
        self, now_ms: float, nodes: int, part: float = 1.0
    ) -> bool:
        """Whether one more retry stays within this node's part of the budget.

        Args:
          now_ms: the time.
          nodes: number of nodes that share the budget.
          part: share of the node's part that the retry may use; the rest is
            left for others.
        """
        allowed = self.ratio * self.requests.count(now_ms)
        if now_ms >= self.extra_from_ms:
            allowed += self.extra / max(1, nodes)
        return self.retries.count(now_ms) + 1 <= part * USED_SHARE * allowed

    def record_retry(self, now_ms: float) -> None:
        """Counts a retry."""
        self.retries.add(now_ms)
