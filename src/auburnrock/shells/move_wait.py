"""Holds requests for a shard until its move has gone on.

A request that is refused in the middle of a move is tried again after a pause,
which is longer than most moves. So the old owner holds it until it has given
the shard away, and the next owner until its target has the grant.
"""

import asyncio
from collections.abc import Callable
import contextlib

from auburnrock.engine import grants as grants_lib
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import release

LONGEST_HOLD_MS = 200
"""Then the old owner refuses, and the next one's target may."""


class MoveWait:
    """Waits for the steps of moves.

    Attributes:
      releases: the releases of this node.
      grants: what the target may serve.
      pages: the owners of shards.
    """

    def __init__(
        self,
        releases: release.Releases,
        grants: grants_lib.Grants,
        pages: pages_lib.Pages,
    ):
        self.releases = releases
        self.grants = grants
        self.pages = pages
        self._step = asyncio.Event()

    def on_step(self) -> None:
        """Lets those that wait look again."""
        self._step.set()
        self._step = asyncio.Event()

    async def until_moved(
        self, service: str, shard: int, deadline_ms: int
    ) -> None:
        """Returns when a shard is not being released, or after a while."""

        def is_over() -> bool:
            return shard not in self.releases.releases.get(service, ())

        await self._until(is_over, deadline_ms)

    async def until_granted(
        self, service: str, shard: int, deadline_ms: int
    ) -> None:
        """Returns when the target has a shard's grant, or after a while."""

        def is_over() -> bool:
            target = self.grants.target
            entry = self.pages.owner(service, shard)
            if target is None or entry is None or not target.checks_grants:
                return True
            return self.grants.is_granted(shard, entry.epoch)

        await self._until(is_over, deadline_ms)

    async def _until(
        self, is_over: Callable[[], bool], deadline_ms: int
    ) -> None:
        if is_over():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(LONGEST_HOLD_MS, deadline_ms) / 1_000
            ):
                while not is_over():
                    await self._step.wait()
