"""Estimate of the wait for a slot by list scheduling (Graham, 1969).

Dividing all work ahead by the slots gives the time until all of it is done. The
next slot becomes free much earlier, when the oldest running request ends, so a
short request that goes first would be rejected although it can be in time.
"""

from collections.abc import Iterable
import heapq

REMAINING_SHARE_MIN = 0.25
"""Least remaining work of a running request, as a share of its expected work.
One that has run for longer than expected does not end at once."""


def remaining_ms(age_ms: float, expected_ms: float) -> float:
    """Returns the expected remaining work of a running request.

    Args:
      age_ms: time for which it has run.
      expected_ms: expected work of the whole request.
    """
    return max(expected_ms - age_ms, REMAINING_SHARE_MIN * expected_ms)


def start_wait_ms(
    slots: int, running_ms: Iterable[float], ahead_ms: Iterable[float]
) -> float:
    """Returns the time until a request that has just arrived can start.

    Args:
      slots: slots that the request may use; at least one is assumed.
      running_ms: remaining work of each running request.
      ahead_ms: expected work of each queued request that starts before it.
    """
    slots = max(1, slots)
    # Of more running requests than slots, the last ones to end have the slots
    # that the request may use.
    free_ms = sorted(running_ms)[-slots:]
    free_ms = [0.0] * (slots - len(free_ms)) + free_ms
    for work_ms in ahead_ms:
        heapq.heapreplace(free_ms, free_ms[0] + work_ms)
    return free_ms[0]
