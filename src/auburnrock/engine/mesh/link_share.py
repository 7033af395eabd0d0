"""Share of a host's link that long responses may use.

Responses of a download are a hundred times as long as others. On a link of 6
Mbit/s, a few of them at once hold up the responses to calls, and the pings and
leases of nodes, for longer than these may take. So a download starts at the
target only if its response fits into the share of the link that downloads may
use (token bucket, in bytes); others wait their turn, or are rejected if that
takes too long.
"""

LINK_SHARE = 0.7
"""Share of the link that long responses may use. The rest is for short
responses, requests and the nodes' own messages."""

BURST_MS = 250.0
"""Size of the bucket, as a time of the share. Short responses wait behind a
burst for less time than a call may take."""

FIRST_BYTES = 64 << 10
"""Length of a response that is assumed before the first one."""

SAMPLE_WEIGHT = 0.1
"""Weight of one response in the average length."""


class LinkShare:
    """Long responses that are sent over the link of a target's host.

    Attributes:
      bytes_per_ms: rate at which long responses may be sent.
      mean_bytes: average length of a long response.
      tokens: bytes that may be sent at `refilled_ms`; negative while responses
        that were started exceed the share.
      refilled_ms: time at which `tokens` was computed.
    """

    __slots__ = ("bytes_per_ms", "mean_bytes", "refilled_ms", "tokens")

    def __init__(self, link_mbps: float, now_ms: float):
        self.bytes_per_ms = LINK_SHARE * link_mbps * 125.0
        self.mean_bytes = float(FIRST_BYTES)
        self.tokens = BURST_MS * self.bytes_per_ms
        self.refilled_ms = now_ms

    def wait_ms(self, now_ms: float, ahead: int = 0) -> float:
        """Returns the time until a download may start, in milliseconds.

        Args:
          now_ms: the time.
          ahead: number of downloads that start before it.
        """
        self._refill(now_ms)
        missing = ahead * self.mean_bytes - self.tokens
        return max(0.0, missing / self.bytes_per_ms)

    def take(self, now_ms: float) -> None:
        """Counts the expected response of a download that starts."""
        self._refill(now_ms)
        self.tokens -= self.mean_bytes

    def on_response(self, size: int) -> None:
        """Corrects the count by the length that a response has."""
        self.tokens += self.mean_bytes - size
        self.mean_bytes += SAMPLE_WEIGHT * (size - self.mean_bytes)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.refilled_ms)
        self.tokens = min(
            BURST_MS * self.bytes_per_ms,
            self.tokens + elapsed_ms * self.bytes_per_ms,
        )
        self.refilled_ms = now_ms


def of_link(link_mbps: float, now_ms: float) -> LinkShare | None:
    """Returns the share of a link; None if its speed is not known."""
    return LinkShare(link_mbps, now_ms) if link_mbps > 0.0 else None
