"""Measures for how long two upstreams hold the same keys."""

import asyncio
import time

from review.fleet3 import fleet as fleet_module

SAMPLE_S = 0.02


def shared_keys(fleet: fleet_module.Fleet) -> int:
    """Returns how many keys two upstreams hold now."""
    now_s = time.monotonic()
    edges = []
    for upstream in fleet.keyed():
        for hold in upstream.held(now_s):
            edges += [(hold.first, 1), (hold.last + 1, -1)]
    shared = depth = last = 0
    for key, step in sorted(edges):
        if depth > 1:
            shared += key - last
        depth += step
        last = key
    return shared


class HoldWatcher:
    """Samples the holds of all upstreams.

    Attributes:
      fleet: the machines.
      longest_s: longest time for which two upstreams held the same keys.
    """

    def __init__(self, fleet: fleet_module.Fleet):
        self.fleet = fleet
        self.longest_s = 0.0
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Samples until it is cancelled."""
        since_s = None
        while True:
            now_s = time.monotonic()
            shared = shared_keys(self.fleet)
            if shared and since_s is None:
                since_s = now_s
                self.fleet.note(f"two upstreams hold {shared} keys")
            elif not shared and since_s is not None:
                self.fleet.note(f"no longer, after {now_s - since_s:.2f} s")
                since_s = None
            if since_s is not None:
                self.longest_s = max(self.longest_s, now_s - since_s)
            await asyncio.sleep(SAMPLE_S)

    def stop(self) -> float:
        """Stops, and returns the longest time, which it notes."""
        self.task.cancel()
        self.fleet.note(
            f"longest time with two holders: {self.longest_s:.2f} s"
        )
        return self.longest_s
