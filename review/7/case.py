"""Requests that wait for an upstream are dropped when their node stops."""

import asyncio
import pathlib
import signal
import time

from review.fleet2 import fleet as fleet_module

WORK_S = 1.0
OBJECTIVE_MS = 6_000
TIMEOUT_MS = 8_000
LOAD = 1.25
SLOTS = 18
MACHINES = 4
WARM_S = 14.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
CHECK_INTERVAL_S = 1.0
MISSES = 2
STOPPED = 0
PATH = "/report/x"


class Clients:
    """Clients of all machines, each of which sends to its own machine.

    Attributes:
      out: machines that the platform has taken out, by number.
    """

    def __init__(self, fleet: fleet_module.Fleet):
        self.fleet = fleet
        self.out: set[int] = set()
        self.open: set[asyncio.Task] = set()
        self.ends = False

    async def send_all(self) -> None:
        """Sends requests at a constant rate until the case ends."""
        machines = self.fleet.machines
        interval_s = WORK_S / (SLOTS * len(machines) * LOAD)
        next_s = time.monotonic()
        number = 0
        while not self.ends:
            number += 1
            machine = machines[number % len(machines)]
            if machine.number not in self.out:
                send = self.fleet.send(machine, PATH, deadline_ms=TIMEOUT_MS)
                task = asyncio.create_task(send)
                self.open.add(task)
                task.add_done_callback(self.open.discard)
            next_s += interval_s
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))

    async def check_readiness(self, machine: fleet_module.Machine) -> None:
        """Takes a machine out after two misses, as the platform does."""
        misses = 0
        while True:
            is_ready = await self.fleet.is_ready(machine)
            misses = 0 if is_ready else misses + 1
            if misses >= MISSES and machine.number not in self.out:
                self.out.add(machine.number)
                self.fleet.record(f"machine {machine.number} is taken out")
            await asyncio.sleep(CHECK_INTERVAL_S)


def is_lost(
    fleet: fleet_module.Fleet, sent: fleet_module.Sent, stop_s: float
) -> bool:
    """Whether the stopped machine dropped a request that it had read.

    Each request is the only one on its connection. One that reached an upstream
    is left out, as that may still be at work at the end of the grace period.
    """
    lasted_s = sent.ended_s - sent.at_s
    was_passed_on = any(
        sent.attempt in each.arrived for each in fleet.upstreams
    )
    return (
        sent.machine == STOPPED
        and not sent.status
        and not was_passed_on
        and LOSS_SLACK_S < lasted_s < TIMEOUT_MS / 1_000
        and stop_s < sent.ended_s < stop_s + GRACE_S + 1.0
    )


async def case(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    configuration = fleet_module.configuration_of(
        7,
        [
            fleet_module.rule(
                "r-report",
                "/report/",
                "reports",
                target_latency=f"{OBJECTIVE_MS}ms",
                timeout=f"{TIMEOUT_MS}ms",
            )
        ],
        {"reports": False},
    )
    fleet.work_s = WORK_S
    await fleet.start(["reports"] * MACHINES, configuration)
    await asyncio.sleep(2.0)
    clients = Clients(fleet)
    fleet.tasks.append(asyncio.create_task(clients.send_all()))
    for machine in fleet.machines:
        fleet.tasks.append(
            asyncio.create_task(clients.check_readiness(machine))
        )
    await asyncio.sleep(WARM_S)
    stopped = fleet.machines[STOPPED]
    stop_s = time.monotonic()
    if fleet_module.trouble():
        fleet.record(f"SIGTERM to node {STOPPED}")
        stopped.signal_node(signal.SIGTERM)
    await asyncio.sleep(GRACE_S + 1.0)
    if fleet_module.trouble():
        fleet.record(f"node {STOPPED} ended: {stopped.process.poll()}")
    clients.ends = True
    while clients.open:
        await asyncio.wait(clients.open)
    lost = [sent for sent in fleet.sent if is_lost(fleet, sent, stop_s)]
    for sent in lost:
        fleet.record(
            f"{sent.attempt}, sent {sent.at_s - stop_s:.2f} s after the"
            f" SIGTERM to node {sent.machine}, was not passed on, and its"
            f" connection ended {sent.ended_s - stop_s:.2f} s after it"
        )
    statuses = [sent.status for sent in fleet.sent]
    fleet.record(
        f"{len(statuses)} sent; "
        + ", ".join(f"{s}: {statuses.count(s)}" for s in sorted(set(statuses)))
    )
    if not lost:
        return ""
    return f"LOST: {len(lost)} requests were read and never answered"


if __name__ == "__main__":
    fleet_module.run_case(pathlib.Path(__file__).resolve().parent, case)
