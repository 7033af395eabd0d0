"""When a peer's silence means that the connection is lost.

The usual answer time is estimated as TCP estimates its round trip: smoothed
mean plus four mean deviations (Jacobson, "Congestion Avoidance and Control",
1988; RFC 6298).
"""

SHORTEST_SILENCE_MS = 20
LONGEST_SILENCE_MS = 1_000
UNKNOWN_SILENCE_MS = 500
RETIRE_FACTOR = 3


class AnswerTime:
    """Estimate of how long one peer or target takes to answer.

    Attributes:
      mean_ms: smoothed answer time; negative until there is a sample.
      deviation_ms: smoothed mean deviation.
    """

    __slots__ = ("deviation_ms", "mean_ms")

    def __init__(self):
        self.mean_ms = -1.0
        self.deviation_ms = 0.0

    def observe(self, answer_ms: float) -> None:
        """Takes the answer time of one request into the estimate."""
        if self.mean_ms < 0:
            self.mean_ms = float(answer_ms)
            self.deviation_ms = answer_ms / 2
            return
        error = answer_ms - self.mean_ms
        self.mean_ms += error / 8
        self.deviation_ms += (abs(error) - self.deviation_ms) / 4

    def silent_after_ms(self) -> int:
        """How long an answer may take before a second attempt is worth it."""
        if self.mean_ms < 0:
            return UNKNOWN_SILENCE_MS
        usual = self.mean_ms + 4 * self.deviation_ms
        return int(min(LONGEST_SILENCE_MS, max(SHORTEST_SILENCE_MS, usual)))


class ConnectionWatch:
    """Decides when one open connection is retired.

    A connection is retired when it owes an answer and has said nothing at all
    for RETIRE_FACTOR times the peer's usual answer time. Idle connections owe
    nothing and are never judged by their silence.

    Attributes:
      answer_time: the peer's estimate, shared by its connections.
      owed: exchanges that wait for an answer on this connection.
      heard_at_ms: last time that the connection said anything, or began to
        owe an answer.
    """

    __slots__ = ("answer_time", "heard_at_ms", "owed")

    def __init__(self, now_ms: int, answer_time: AnswerTime):
        self.answer_time = answer_time
        self.owed = 0
        self.heard_at_ms = now_ms

    def sent(self, now_ms: int) -> None:
        """Notes a request written to the connection."""
        if self.owed == 0:
            self.heard_at_ms = now_ms
        self.owed += 1

    def heard(self, now_ms: int) -> None:
        """Notes that bytes arrived, whatever they carried."""
        self.heard_at_ms = now_ms

    def settled(self) -> None:
        """Notes that one exchange was answered or abandoned."""
        assert self.owed > 0
        self.owed -= 1

    def retire_at_ms(self) -> int | None:
        """When the connection is to be retired unless it speaks; or None."""
        if self.owed == 0:
            return None
        allowed_ms = RETIRE_FACTOR * self.answer_time.silent_after_ms()
        return self.heard_at_ms + allowed_ms

    def is_lost(self, now_ms: int) -> bool:
        """Whether the connection is to be retired now."""
        retire_at_ms = self.retire_at_ms()
        return retire_at_ms is not None and now_ms >= retire_at_ms
