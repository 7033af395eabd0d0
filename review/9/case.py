"""Machines are lost for good at once; their keys never get another owner."""

import asyncio
import pathlib

from review.fleet2 import clients
from review.fleet2 import fleet as fleet_module

MACHINES = 6
LOST = 5
REPLACED_AFTER_S = 2.0
RECOVER_S = 15.0
SEND_INTERVAL_S = 0.02
SHARE_MIN = 0.25


async def case(fleet: fleet_module.Fleet) -> str:
    """Plays the case; returns how the rule was broken, or nothing."""
    configuration = fleet_module.configuration_of(
        7,
        [fleet_module.rule("r-lookup", "/lookup/", "portal")],
        {"portal": True},
    )
    await fleet.start(["portal"] * MACHINES, configuration)
    await asyncio.sleep(8.0)
    before = await clients.served_share(fleet, 5.0, SEND_INTERVAL_S)
    if fleet_module.trouble():
        fleet.record("all machines lose power")
        for machine in fleet.machines:
            machine.lose_power()
        await asyncio.sleep(REPLACED_AFTER_S)
        for machine in fleet.machines[LOST:]:
            machine.start_node()
            await machine.start_upstream()
        fleet.record(f"{LOST} machines are lost for good, the others are back")
        for _ in range(LOST):
            await fleet.add_machine("portal", False)
        fleet.record("as many machines have come at other addresses")
    await asyncio.sleep(RECOVER_S + 5.0)
    after = await clients.served_share(fleet, 10.0, SEND_INTERVAL_S)
    if before < SHARE_MIN:
        raise fleet_module.CannotRunError("it served too little before")
    if after >= SHARE_MIN:
        return ""
    return (
        f"RECOVER: later than {RECOVER_S:.0f} s after the machines are back"
        f" {after:.1%} is served, {before:.1%} before"
    )


if __name__ == "__main__":
    fleet_module.run_case(pathlib.Path(__file__).resolve().parent, case)
