"""Structured log lines on standard output, rate-limited and non-blocking.

Each kind of event has a limit of lines per second; events beyond it are counted
and reported in one line. If the reader is slow, lines are dropped and counted
too, as a blocking write to a full pipe would stop the node.
"""

import os
import select
import sys
import time

from auburnrock import event_lines

LINES_PER_KIND = 40
"""Limit of lines of one kind per second; enough for every refusal of an
ordinary second."""

BUFFER_BYTES = 1 << 18
"""Limit of the buffered lines that a slow reader has not read, in bytes."""

LINE_BYTES = select.PIPE_BUF
"""Longest line, and longest single write, in bytes."""

FLUSH_BYTES = 1 << 14
"""Size at which buffered lines are written, in bytes; a system call for each
line would cost more."""


class EventLog:
    """Writes events as lines.

    Attributes:
      process: name of this process.
      counts: number of events since the start, written or not, by kind.
      suppressed: number of events of this second above the limit, by kind.
      dropped: number of lines dropped because the reader is slow.
    """

    def __init__(self, process: str, output: int):
        self.process = process
        self.output = output
        self.counts: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}
        self.written_this_second: dict[str, int] = {}
        self.second = 0
        self.buffer = bytearray()
        self.dropped = 0

    def write(self, event: str, **fields: object) -> None:
        """Writes one event, unless its kind is over the limit."""
        now = time.time()
        if int(now) != self.second:
            self._begin_second(int(now))
        self.counts[event] = self.counts.get(event, 0) + 1
        used = self.written_this_second.get(event, 0)
        if used >= LINES_PER_KIND:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return
        self.written_this_second[event] = used + 1
        self._append(now, event, fields)

    def flush(self) -> None:
        """Writes as many complete lines as the pipe accepts.

        Other processes may write to the same pipe; writes of at most PIPE_BUF
        bytes are atomic (POSIX, write).
        """
        while self.buffer:
            end = self.buffer.rfind(b"\n", 0, LINE_BYTES) + 1
            try:
                os.write(self.output, self.buffer[:end])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is no place to report this.
                self.buffer.clear()
                return
            del self.buffer[:end]

    def _begin_second(self, second: int) -> None:
        self.second = second
        self.written_this_second.clear()
        if not self.suppressed and not self.dropped:
            return
        left_out = {f"n_{kind}": n for kind, n in self.suppressed.items()}
        self.suppressed.clear()
        dropped, self.dropped = self.dropped, 0
        self._append(
            time.time(),
            "lines_left_out",
            {"slow_reader": dropped, **left_out},
        )

    def _append(self, now: float, event: str, fields: dict) -> None:
        line = event_lines.line(
            int(now * 1_000), self.process, event, fields.items()
        )
        data = line.encode()[: LINE_BYTES - 1] + b"\n"
        if len(self.buffer) + len(data) > BUFFER_BYTES:
            self.dropped += 1
        else:
            self.buffer += data
        if len(self.buffer) >= FLUSH_BYTES:
            self.flush()


def event_log(process: str) -> EventLog:
    """Creates the log of a process on its standard output."""
    output = sys.stdout.fileno()
    os.set_blocking(output, False)
    return EventLog(process, output)
