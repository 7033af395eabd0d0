"""Log lines are complete and limited, and writing them never blocks."""

import fcntl
import os

from auburnrock.shells.mesh import event_log


def small_pipe():
    """Returns a pipe of one page, which a slow reader soon leaves full."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4_096)
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    return reader, writer


def read_all(reader) -> bytes:
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b""


def test_lines_of_two_writers_of_one_pipe_are_never_torn():
    """Guards against interleaved lines.

    15 of the 15,800 lines of a recorded day contained a line of another process
    that writes to the same pipe.
    """
    reader, writer = small_pipe()
    logs = [event_log.EventLog(name, writer) for name in ("one", "two")]
    for log in logs:
        for number in range(300):
            log.write(f"kind{number}", text="x" * 90)
    seen = b""
    while any(log.buffer for log in logs):
        for log in logs:
            log.flush()
        # The reader is slow: the pipe accepts part of the buffered lines,
        # from each log in turn.
        seen += read_all(reader)
        logs.reverse()
    seen += read_all(reader)
    lines = seen.splitlines()
    assert len(lines) == 600
    for line in lines:
        assert line.startswith(b"time_ms=")
        assert line.count(b"event=") == 1
        assert line.endswith(b"x" * 90)


def test_a_line_longer_than_an_atomic_write_is_truncated():
    reader, writer = small_pipe()
    log = event_log.EventLog("one", writer)
    log.write("long", text="x" * 9_000)
    log.write("next", text="y")
    log.flush()
    seen = read_all(reader)
    log.flush()
    seen += read_all(reader)
    first, second = seen.splitlines()
    assert len(first) == event_log.LINE_BYTES - 1
    assert b"event=next" in second


def test_lines_beyond_the_buffer_of_a_stalled_reader_are_counted():
    _, writer = small_pipe()
    log = event_log.EventLog("one", writer)
    for number in range(9_000):
        log.write(f"kind{number % 400}", number=number, text="x" * 80)
    assert len(log.buffer) <= event_log.BUFFER_BYTES
    assert log.dropped > 0
