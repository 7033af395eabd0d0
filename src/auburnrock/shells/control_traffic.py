"""Counts what a node spends on control: bytes on the wire and store calls."""

from auburnrock import messages

UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers of a datagram (RFC 791, RFC 768)."""

TCP_HEADER_BYTES = 40
"""IPv4 and TCP headers of a segment; each frame is taken for one segment."""

REQUEST_FRAMES = (
    messages.Request,
    messages.Response,
    messages.Refusal,
    messages.Cancel,
)
"""Frames that carry callers' work and do not count as control."""


class ControlTraffic:
    """Counters of one process.

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
        """Counts a frame sent, unless it carries callers' work."""
        if not isinstance(frame, REQUEST_FRAMES):
            self.messages += 1
            self.sent_bytes += size_bytes + TCP_HEADER_BYTES

    def frame_received(self, frame: messages.Frame, size_bytes: int) -> None:
        """Counts a frame received, unless it carries callers' work."""
        if not isinstance(frame, REQUEST_FRAMES):
            self.messages += 1
            self.received_bytes += size_bytes + TCP_HEADER_BYTES
