"""Detection of lost connections by the silence of the peer.

The usual answer time is estimated as TCP estimates its round trip: smoothed
mean plus four mean deviations (Jacobson, "Congestion Avoidance and Control",
1988; RFC 6298).
"""

SHORTEST_SILENCE_MS = 20
LONGEST_SILENCE_MS = 1_000
UNKNOWN_SILENCE_MS = 500
RETIRE_FACTOR = 3


class AnswerTime:
    """Estimate of the answer time of one peer or target.

    Attributes:
      mean_ms: smoothed answer time; negative until there is a sample.
      deviation_ms: smoothed mean deviation of the answer time.
    """

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self):
        self.mean_ms = -1.0
        self.deviation_ms = 0.0

    def observe(self, answer_ms: float) -> None:
        """Updates the estimate with the answer time of one request."""
        if self.mean_ms < 0:
            self.mean_ms = float(answer_ms)
            self.deviation_ms = answer_ms / 2
            return
        error = answer_ms - self.mean_ms
        self.mean_ms += error / 8
        self.deviation_ms += (abs(error) - self.deviation_ms) / 4

    def silent_after_ms(self) -> int:
        """Returns the time after which to hedge an unanswered attempt."""
        if self.mean_ms < 0:
            return UNKNOWN_SILENCE_MS
        usual = self.mean_ms + 4 * self.deviation_ms
        return int(min(LONGEST_SILENCE_MS, max(SHORTEST_SILENCE_MS, usual)))


class ConnectionWatch:
    """Decides when one open connection is retired.

    A connection is retired when it has an unanswered exchange and received
    nothing at all for RETIRE_FACTOR times the peer's usual answer time. Idle
    connections have no unanswered exchange and are never retired for silence.

    Attributes:
      answer_time: estimate of the peer's answer time, shared by the peer's
        connections.
      unanswered: number of exchanges that wait for an answer on this
        connection.
      received_at_ms: when the connection last received bytes, or when its
        oldest unanswered exchange began after an idle period, if later.
    """

    __slots__ = ("answer_time", "received_at_ms", "unanswered")

    def __init__(self, now_ms: int, answer_time: AnswerTime):
        self.answer_time = answer_time
        self.unanswered = 0
        self.received_at_ms = now_ms

    def sent(self, now_ms: int) -> None:
        """Records a request written to the connection."""
        if self.unanswered == 0:
            self.received_at_ms = now_ms
        self.unanswered += 1

    def received(self, now_ms: int) -> None:
        """Records that bytes arrived, whatever they carried."""
        self.received_at_ms = now_ms

    def exchange_ended(self) -> None:
        """Records that one exchange was answered or abandoned."""
        assert self.unanswered > 0
        self.unanswered -= 1

    def retire_at_ms(self) -> int | None:
        """Returns when to retire the connection if it stays silent, or None."""
        if self.unanswered == 0:
            return None
        allowed_ms = RETIRE_FACTOR * self.answer_time.silent_after_ms()
        return self.received_at_ms + allowed_ms

    def is_lost(self, now_ms: int) -> bool:
        """Whether the connection is to be retired now."""
        retire_at_ms = self.retire_at_ms()
        return retire_at_ms is not None and now_ms >= retire_at_ms
