"""An upstream leaves while the node beside it restarts.

The upstream's DELETE is acknowledged by the restarted node; requests must not
reach the upstream later than `drain` after it.
"""

import asyncio
import time

from harness import configuration
from harness import fleet as fleet_module
from harness import script
from harness import upstream

DRAIN_S = 2.0
SETTLE_S = 3.0
RESTART_S = 0.5
"""Delay after which the platform starts a killed process again."""

STAYS_S = 12.0
"""Time for which the upstream serves after the acknowledgement."""

WORK_S = 0.16
"""Execution time of a request, as booking-confirm has it."""

STEADY_S = 5.0
SENDS_PER_S = 25.0


async def send_steadily(
    fleet: fleet_module.Fleet, machine: fleet_module.Machine
) -> None:
    """Sends requests as the clients of one machine, while it is ready."""
    running: set[asyncio.Task] = set()
    while True:
        if not await machine.is_ready():
            await asyncio.sleep(1.0)
            continue
        task = asyncio.create_task(
            fleet.send(
                machine, configuration.HOST, "/book/1", method="POST", body=b"x"
            )
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1.0 / SENDS_PER_S)


async def play(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    await fleet.start(
        ["booker", "booker", "booker", "portal"],
        configuration.configuration(
            [
                configuration.route(
                    "r-book",
                    "/book/",
                    "booker",
                    idempotent=False,
                    timeout_ms=1_200,
                    target_ms=500,
                )
            ],
            {"booker": False, "portal": False},
        ),
        upstream.Upstream,
    )
    leaver, *others = fleet.machines
    for machine in fleet.machines:
        machine.upstream.work_s = WORK_S
    for machine in others:
        await fleet.wait_until_served(
            machine, configuration.HOST, "/book/0", method="POST", body=b"x"
        )
    clients = [
        asyncio.create_task(send_steadily(fleet, m)) for m in fleet.machines
    ]
    await asyncio.sleep(STEADY_S)
    started_s = time.monotonic() - SETTLE_S
    leaving = None
    if script.trouble():
        leaver.kill_node()
        leaving = asyncio.create_task(leaver.upstream.leave(STAYS_S))
        await asyncio.sleep(RESTART_S)
        leaver.start_node()
        started_s = time.monotonic()
    else:
        leaving = asyncio.create_task(leaver.upstream.leave(STAYS_S))
    acknowledged_s = await leaving
    if acknowledged_s is None:
        raise fleet_module.CannotRunError("the DELETE was not acknowledged")
    await asyncio.sleep(STAYS_S)
    await leaver.upstream.exit()
    await asyncio.sleep(2.0)
    for client in clients:
        client.cancel()
    bound_s = max(acknowledged_s + DRAIN_S, started_s + SETTLE_S)
    bound_s -= fleet.record.began_s
    late = [
        at_s
        for at_s, fields in fleet.record.of("runs")
        if fields["upstream"] == leaver.upstream.name and at_s > bound_s
    ]
    if not late:
        return ""
    return (
        f"DRAIN: {len(late)} requests reached {leaver.upstream.name} after"
        f" {bound_s:.3f} s, from {late[0]:.3f} s to {late[-1]:.3f} s"
    )


if __name__ == "__main__":
    script.run(__file__, play)
