"""Runs the script of a case."""

import asyncio
from collections.abc import Awaitable, Callable
import os
import pathlib
import sys
import tempfile

from review.fleet3 import fleet as fleet_module

HELD = 0
BROKEN = 1
NOT_RUN = 2

Play = Callable[[fleet_module.Fleet, bool], Awaitable[int]]


def run(folder: pathlib.Path, heartbeat_ms: int, play: Play) -> None:
    """Plays a case in a temporary folder, and exits with its status.

    Args:
      folder: folder of the case, to which the record is written.
      heartbeat_ms: heartbeat setting at the start.
      play: plays the case, with or without the disruption.
    """

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = fleet_module.Fleet(
                pathlib.Path(temporary), folder / "record.txt", heartbeat_ms
            )
            try:
                return await play(fleet, os.environ.get("TROUBLE") != "0")
            finally:
                fleet.keep_logs(os.environ.get("KEEP_LOGS", ""))
                await fleet.stop()

    try:
        status = asyncio.run(main())
    except OSError as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)
