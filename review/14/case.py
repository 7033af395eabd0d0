"""A request that crashes upstreams is sent to them again and again.

Its client leaves before each crash.
"""

import asyncio
import pathlib
import random
import time

from review.fleet3 import fleet as fleet_module
from review.fleet3 import script

HEARTBEAT_MS = 870

CRASH_PATH = "/check/crash"

LEAVES_AFTER_S = 0.1
"""Time after which the client leaves: within half of the route's objective."""

CRASH_AFTER_S = 0.15
"""Time from the begin of the request to the crash."""

INTERVAL_S = 1.0
"""Interval at which the request comes again."""

TRIES = 40

OTHERS_INTERVAL_S = 0.03
"""Interval between two requests of other clients."""

WORK_S = 0.1
"""Time that the other requests take."""

SETTLE_S = 3.0

RETRIES_MAX = 3
"""Retries that may reach upstreams later than SETTLE_S after three crashes."""


async def send_others(fleet: fleet_module.Fleet) -> None:
    """Sends other requests, whose clients wait, to random machines.

    Half of them may run once only.
    """
    sent: set[asyncio.Task] = set()
    number = 0
    while True:
        number += 1
        machine = random.choice(fleet.machines)
        if number % 2:
            request = fleet.send(machine, f"/check/{number}")
        else:
            request = fleet.send(machine, f"/book/{number}", method="POST")
        task = asyncio.create_task(request)
        sent.add(task)
        task.add_done_callback(sent.discard)
        await asyncio.sleep(OTHERS_INTERVAL_S)


async def play(fleet: fleet_module.Fleet, with_trouble: bool) -> int:
    """Plays the case; returns the exit status."""
    await fleet.start(*["portal"] * 2, *["booker"] * 4)
    if not await fleet.wait_settled():
        fleet.note("the fleet did not settle")
        return script.NOT_RUN
    await asyncio.sleep(SETTLE_S + 1.0)
    bookers = [m.upstream for m in fleet.machines if m.service == "booker"]
    for upstream in bookers:
        upstream.work_s = WORK_S
        upstream.crash_path = CRASH_PATH
        upstream.crash_after_s = CRASH_AFTER_S
    others = asyncio.create_task(send_others(fleet))
    # All machines of one service are the request's callers.
    callers = [m for m in fleet.machines if m.service == "portal"]
    patience_s = {"leaves_after_s": LEAVES_AFTER_S} if with_trouble else {}
    for _ in range(TRIES):
        began_s = time.monotonic()
        await fleet.send(random.choice(callers), CRASH_PATH, **patience_s)
        await asyncio.sleep(max(0.0, began_s + INTERVAL_S - time.monotonic()))
    others.cancel()
    crashes = sorted(at_s for each in bookers for at_s in each.crashes)
    fleet.note(f"{len(crashes)} crashes")
    if len(crashes) < 3:
        return script.HELD
    from_s = crashes[2] + SETTLE_S
    late = sum(
        path == CRASH_PATH and at_s > from_s
        for each in bookers
        for _, path, at_s in each.runs
    )
    fleet.note(f"{late} retries reached upstreams after three crashes")
    return script.BROKEN if late > RETRIES_MAX else script.HELD


if __name__ == "__main__":
    script.run(pathlib.Path(__file__).resolve().parent, HEARTBEAT_MS, play)
