"""Structured log lines on standard output, bounded and never blocking.

Each kind of event has a budget of lines a second; what goes beyond it is
counted and told in one line. If the reader does not read, lines are dropped
and counted too: a write to a full pipe would stop the node.
"""

import os
import select
import sys
import time

from auburnrock import event_lines

LINES_EACH_KIND = 40
"""Lines a second of one kind: enough for each refusal of an ordinary second."""

BUFFER_BYTES = 1 << 18
"""Lines that wait for a slow reader."""

LINE_BYTES = select.PIPE_BUF
"""Longest line, and longest piece that is written at once."""

FLUSH_BYTES = 1 << 14
"""Lines are written together; one system call for each costs more."""


class EventLog:
    """Writes events.

    Attributes:
      process: name of this process.
      counts: events by kind since the start, written or not.
      left_out: events by kind that were not written in this second.
      dropped: lines that a slow reader cost.
    """

    def __init__(self, process: str, output: int):
        self.process = process
        self.output = output
        self.counts: dict[str, int] = {}
        self.left_out: dict[str, int] = {}
        self.this_second: dict[str, int] = {}
        self.second = 0
        self.buffer = bytearray()
        self.dropped = 0

    def write(self, event: str, **fields: object) -> None:
        """Writes one event with its details, if its kind has lines left."""
        now = time.time()
        if int(now) != self.second:
            self._begin_second(int(now))
        self.counts[event] = self.counts.get(event, 0) + 1
        used = self.this_second.get(event, 0)
        if used >= LINES_EACH_KIND:
            self.left_out[event] = self.left_out.get(event, 0) + 1
            return
        self.this_second[event] = used + 1
        self._append(now, event, fields)

    def flush(self) -> None:
        """Writes the whole lines that the reader takes at once.

        Other processes may write to the same pipe: what is written in pieces
        of at most PIPE_BUF bytes is not torn (POSIX, write).
        """
        while self.buffer:
            end = self.buffer.rfind(b"\n", 0, LINE_BYTES) + 1
            try:
                os.write(self.output, self.buffer[:end])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self.buffer.clear()
                return
            del self.buffer[:end]

    def _begin_second(self, second: int) -> None:
        self.second = second
        self.this_second.clear()
        if not self.left_out and not self.dropped:
            return
        left_out = {f"n_{kind}": n for kind, n in self.left_out.items()}
        self.left_out.clear()
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
    """Makes the log of a process on its standard output."""
    output = sys.stdout.fileno()
    os.set_blocking(output, False)
    return EventLog(process, output)
