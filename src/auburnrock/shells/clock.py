"""Clocks of a node: the one that leases are measured on, and wall time."""

import time

# Linux's boot-time clock advances while the machine is suspended; the monotonic
# clock does not. A lease must expire during a suspension too.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms() -> int:
    """Returns the time since boot in milliseconds; the clock never steps."""
    return time.clock_gettime_ns(_CLOCK) // _NANOSECONDS_PER_MILLISECOND


def exact_ms() -> float:
    """Returns the time since boot in fractional milliseconds, for latencies.

    Latencies of a fast target in whole milliseconds would alternate between 0
    and 1, which resembles congestion.
    """
    return time.clock_gettime_ns(_CLOCK) / _NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Returns Unix time in milliseconds; it may step, so no lease uses it."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND
