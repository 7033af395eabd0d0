"""Frame of a script: its folder, its record, its exit status."""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import sys
import tempfile
import traceback

from harness import fleet as fleet_module
from harness import record as record_module

LIMIT_S = 115.0
"""Longest duration of a script; the review allows 120 s."""

SHUTDOWN_S = 0.2
"""Time in which the connections of the stand-ins end."""

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


def trouble() -> bool:
    """Whether the script makes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    file: str,
    play: Callable[[fleet_module.Fleet], Awaitable[str]],
    memory_mb: int = 300,
) -> None:
    """Plays a case and exits with its status.

    Args:
      file: path of the script, beside which the record is written.
      play: plays the case; returns how the rule was broken, or nothing.
      memory_mb: memory limit of a node in the settings.
    """
    record = record_module.Record(pathlib.Path(file).parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        status = COULD_NOT_RUN
        fleet = None
        try:
            fleet = fleet_module.Fleet(pathlib.Path(folder), record, memory_mb)
            status = asyncio.run(_play(fleet, play))
        except (fleet_module.CannotRunError, TimeoutError):
            traceback.print_exc()
        finally:
            if fleet is not None:
                fleet.stop()
            keep = os.environ.get("KEEP_LOGS")
            for log in pathlib.Path(folder).glob("*.log"):
                if keep:
                    target = pathlib.Path(keep) / log.name
                    target.write_bytes(log.read_bytes())
            record.close()
    sys.exit(status)


async def _play(
    fleet: fleet_module.Fleet,
    play: Callable[[fleet_module.Fleet], Awaitable[str]],
) -> int:
    async with asyncio.timeout(LIMIT_S):
        broken = await play(fleet)
    for machine in fleet.machines:
        await machine.upstream.exit()
    await asyncio.sleep(SHUTDOWN_S)
    fleet.record.write("result", broken=broken or "no")
    print(broken or "the rule held")
    return BROKEN if broken else HELD
