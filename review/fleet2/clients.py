"""Streams of clients' requests for keys all over the range."""

import asyncio

from review.fleet2 import fleet as fleet_module
from review.fleet2 import upstream as upstream_module

KEY_STEP = 7_919
"""Distance between the keys of two requests; a prime number."""

PATH = "/lookup/x"


def key_of(number: int) -> int:
    """Returns the key of the request with this number."""
    return number * KEY_STEP % upstream_module.KEYS


async def send_forever(
    fleet: fleet_module.Fleet, interval_s: float, deadline_ms: int = 1_000
) -> None:
    """Sends requests to the machines whose upstream is ready, in turn."""
    number = 0
    tasks = set()
    while True:
        number += 1
        taking = [
            each
            for each in fleet.machines
            if each.upstream.is_up and each.upstream.state == "ready"
        ]
        machine = taking[number % len(taking)]
        send = fleet.send(machine, PATH, key_of(number), deadline_ms)
        task = asyncio.create_task(send)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(interval_s)


async def served_share(
    fleet: fleet_module.Fleet, for_s: float, interval_s: float
) -> float:
    """Sends requests for a while to the machines whose node runs.

    Returns:
      The share of the requests that was served.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    up = [each for each in fleet.machines if each.process.poll() is None]
    number = len(fleet.sent)
    tasks = []
    while loop.time() < end_s:
        number += 1
        send = fleet.send(up[number % len(up)], PATH, key_of(number))
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(interval_s)
    sent = await asyncio.gather(*tasks)
    served = sum(each.status == 200 for each in sent)
    fleet.record(f"served {served} of {len(sent)}")
    return served / len(sent)
