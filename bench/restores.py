"""What callers see when the store is restored from an older copy.

Usage: ./task bench restores [RUNS]

Nodes are processes, the store and the targets are stand-ins, and callers call,
as in the soak. Before each restore a target is drained and started again, so
that older copies lack moves. A window begins when the store goes away and ends
WINDOW_S after it is back. The first row has no restore.
"""

import asyncio
import itertools
import pathlib
import statistics
import sys
import tempfile
import time

import msgspec

from auburnrock.engine.mesh import model
from auburnrock_standins import processes
from tests.common import mesh_restorable_store
from tests.common import mesh_soak
from tests.common import mesh_soak_faults

RUNS = 3
WINDOW_S = 6.0
"""A table is settled within 5 s of a restore."""

QUIET_S = 1.5
"""Between the last move and a restore; copies of 5 s and more lack the move."""

MOVED_S = 20.0
SAMPLE_S = 0.01
KEYS_APART = 8
LATE_S = {"lookup": 0.4, "book": 0.5, "check": 0.12, "since": 0.12}
"""Objectives of the routes, by the begin of their paths."""

CELLS = [*itertools.product(mesh_soak_faults.AGES_S, mesh_soak_faults.AWAY_S)]
REFUSED = (408, 421, 429, 503)


class Window(msgspec.Struct):
    """What was seen in one window: times, and requests begun in it.

    Attributes:
      bare_s: longest time in which some key had no holder.
    """

    bare_s: float = 0.0
    refused: int = 0
    failed: int = 0
    late: int = 0
    requests: int = 0

    def take(self, attempt: mesh_soak.Attempt) -> None:
        """Counts a request."""
        self.requests += 1
        self.refused += attempt.status in REFUSED
        self.failed += attempt.status not in (*REFUSED, 200)
        is_late = attempt.took_s > LATE_S[attempt.kind()]
        self.late += attempt.status == 200 and is_late


class Restores(mesh_soak.Soak):
    """One run of all cells."""

    async def inject_faults(self) -> None:
        """Plays a window of each cell, one after another."""
        self.windows: dict[tuple[float, float] | None, Window] = {}
        for cell in (None, *CELLS):
            await self.start_again(self.hosts[0])
            self.windows[cell] = await self.window(cell)

    async def start_again(self, host: mesh_soak_faults.Host) -> None:
        """Drains a target and starts it again; returns after the moves."""
        host.target.state = "draining"
        await mesh_restorable_store.becomes_true(
            lambda: not host.target.holds, MOVED_S
        )
        await host.target.crash()
        await host.start_target()
        await mesh_restorable_store.becomes_true(
            lambda: host.target.holds and not self.bare(), MOVED_S
        )
        await asyncio.sleep(QUIET_S)

    def bare(self) -> set[int]:
        """Keys that no target holds."""
        held = bytearray(model.KEYS)
        for host in self.hosts:
            host.target.expire(time.monotonic())
            for hold in host.target.holds.values():
                width = hold.last + 1 - hold.first
                held[hold.first : hold.last + 1] = b"\1" * width
        return {
            key for key in range(0, model.KEYS, KEYS_APART) if not held[key]
        }

    async def watch(self, window: Window) -> None:
        """Notes how long keys have no holder, until it is cancelled."""
        since_s: dict[int, float] = {}
        while True:
            now_s = time.monotonic()
            bare = self.bare()
            since_s = {key: since_s.get(key, now_s) for key in bare}
            longest_s = now_s - min(since_s.values(), default=now_s)
            window.bare_s = max(window.bare_s, longest_s)
            await asyncio.sleep(SAMPLE_S)

    async def window(self, cell: tuple[float, float] | None) -> Window:
        """Restores the store, and looks at what comes of it."""
        window = Window()
        first = len(self.attempts)
        watching = asyncio.create_task(self.watch(window))
        if cell is not None:
            await self.store.run_restore_outage(*cell)
        await asyncio.sleep(WINDOW_S)
        watching.cancel()
        seen = self.attempts[first:]
        await asyncio.sleep(2 * mesh_soak.DEADLINE_MS / 1_000)
        for attempt in seen:
            window.take(attempt)
        return window


async def play(number: int) -> dict:
    """The windows of one run; prints promises that broke in it."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="restores-"))
    with processes.Deployment(folder) as deployment:
        made = Restores(number, deployment)
        print("broken:", await made.run())
        return made.windows


def main(runs: int) -> None:
    """Prints the table."""
    found = [asyncio.run(play(number)) for number in range(runs)]
    print("copy s | away s | bare ms | refused | failed | late | of")
    for cell in found[0]:
        windows = [windows[cell] for windows in found]
        bare_ms = [window.bare_s * 1_000 for window in windows]
        bare = f"{statistics.median(bare_ms):.0f} ({max(bare_ms):.0f})"
        counts = [msgspec.structs.astuple(window)[1:] for window in windows]
        sums = [sum(column) for column in zip(*counts, strict=True)]
        print(*(cell or ("none", "-")), bare, *sums, sep=" | ")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else RUNS)
