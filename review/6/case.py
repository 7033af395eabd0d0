"""A heartbeat of another writer makes a node give away keys that are held."""

import asyncio
import pathlib
import time

from review.fleet2 import clients
from review.fleet2 import fleet as fleet_module
from review.fleet2 import upstream as upstream_module

OVERLAP_S = 0.5
SEND_INTERVAL_S = 0.02


async def case(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    configuration = fleet_module.configuration_of(
        7,
        [fleet_module.rule("r-lookup", "/lookup/", "portal")],
        {"portal": True},
    )
    await fleet.start(["portal"] * 3, configuration)
    sender = asyncio.create_task(clients.send_forever(fleet, SEND_INTERVAL_S))
    fleet.tasks.append(sender)
    await asyncio.sleep(6.0)
    before = max(fleet.overlaps.values(), default=0.0)
    fleet.record(f"longest common hold so far: {before:.3f} s")
    machine = fleet.machines[0]
    message = {
        "address": machine.addresses["target"],
        "born": time.time_ns() // 1_000_000,
        "info": {
            "service": "not-a-service",
            "version": "v1",
            "zone": machine.zone,
            "slots": 18,
        },
        "status": {
            "state": "draining",
            "seq_num": 1,
            "cold_remaining": "0ms",
        },
        "holds": [],
        "freed": [],
    }
    if fleet_module.trouble():
        response, reason = await upstream_module.put_heartbeat(
            machine.addresses["control"], "i-of-another-writer", message
        )
        status = response.status() if response else reason
        fleet.record(f"a heartbeat of a service that is not named: {status}")
    await asyncio.sleep(10.0)
    sender.cancel()
    longest_s = max(fleet.overlaps.values(), default=0.0)
    served = [sent.status == 200 for sent in fleet.sent if sent.ended_s]
    fleet.record(f"served {sum(served)} of {len(served)}")
    if longest_s <= OVERLAP_S:
        return ""
    return (
        f"OWNER: two upstreams that are up held common keys for"
        f" {longest_s:.2f} s"
    )


if __name__ == "__main__":
    fleet_module.run_case(pathlib.Path(__file__).resolve().parent, case)
