"""The clock that decides leases."""

import time

# Linux's boot-time clock goes on while the machine is suspended; the monotonic
# clock does not, and a lease must not outlive a suspension.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms() -> int:
    """Milliseconds since boot; never steps."""
    return time.clock_gettime_ns(_CLOCK) // _NANOSECONDS_PER_MILLISECOND


def exact_ms() -> float:
    """The same clock without rounding, for latencies.

    Rounded to whole milliseconds, a quick target's latency would jump between
    0 and 1 and look like congestion.
    """
    return time.clock_gettime_ns(_CLOCK) / _NANOSECONDS_PER_MILLISECOND


def wall_ms() -> int:
    """Unix time in milliseconds; may step, decides no lease."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND
