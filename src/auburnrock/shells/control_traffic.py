"""Counts the messages and bytes that a node exchanges for control."""

from auburnrock import messages

UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram (RFC 791, RFC 768)."""

TCP_HEADER_BYTES = 40
"""IPv4 and TCP headers of a segment; a frame is counted as one segment."""

REQUEST_FRAMES = (
    messages.Request,
    messages.Response,
    messages.Refusal,
    messages.Cancel,
)
"""Frames that carry callers' requests and do not count as control."""


class ControlTraffic:
    """Counters of one process's control traffic.

    Attributes:
      sent_bytes: bytes sent, headers included.
      received_bytes: bytes received, headers included.
      messages: messages sent and received.
    """

    __slots__ = ("messages", "received_bytes", "sent_bytes")

    def __init__(self):
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0

    def datagram_sent(self, size_bytes: int) -> None:
        """Counts a datagram sent."""
        self.messages += 1
        self.sent_bytes += size_bytes + UDP_HEADER_BYTES

    def datagram_received(self, size_bytes: int) -> None:
        """Counts a datagram received."""
        self.messages += 1
        self.received_bytes += size_bytes + UDP_HEADER_BYTES

    def frame_sent(self, frame: messages.Frame, size_bytes: int) -> None:
        """Counts a frame sent, unless it carries a caller's request."""
        if not isinstance(frame, REQUEST_FRAMES):
            self.messages += 1
            self.sent_bytes += size_bytes + TCP_HEADER_BYTES

    def frame_received(self, frame: messages.Frame, size_bytes: int) -> None:
        """Counts a frame received, unless it carries a caller's request."""
        if not isinstance(frame, REQUEST_FRAMES):
            self.messages += 1
            self.received_bytes += size_bytes + TCP_HEADER_BYTES
