"""Records a run on real processes for the oracle of sole ownership."""

import asyncio

from auburnrock import records
from auburnrock.replay import ownership
from auburnrock.shells import clock
from auburnrock.store import base as platform_base
from auburnrock.store import http as http_platform
from auburnrock_standins import fleet as fleet_lib
from auburnrock_standins import journal as journal_lib
from auburnrock_standins import processes

WATCH_S = 1.0
RETRY_S = 0.1


class StoreRecorder:
    """Keeps what a watch of the store shows, in the store's order.

    A watch shows the latest value of each key, so values that were replaced
    at once may be missing.

    Attributes:
      platform: client of the store.
      run: what was recorded.
      revision: revision up to which the store was read.
    """

    def __init__(self, platform: http_platform.HttpPlatform):
        self.platform = platform
        self.run = ownership.Run()
        self.revision = 0

    async def follow(self) -> None:
        """Records until cancelled; an outage only delays it."""
        while True:
            try:
                await self.read(WATCH_S)
            except platform_base.StoreError:
                await asyncio.sleep(RETRY_S)

    async def read(self, wait_s: float) -> None:
        """Reads what has changed, or waits for a change."""
        snapshot = await self.platform.watch("", self.revision, wait_s)
        now_ms = clock.now_ms()
        for value in sorted(snapshot.values, key=lambda each: each.revision):
            if value.revision > self.revision and value.data is not None:
                self._note(now_ms, value)
        self.revision = max(self.revision, snapshot.revision)

    def _note(self, now_ms: int, value: platform_base.Value) -> None:
        if value.key.startswith(records.PAGES_PREFIX):
            page = records.decode_page(value.data)
            self.run.pages.append(ownership.ObservedPage(now_ms, page))
        if value.key.startswith(records.NODES_PREFIX):
            node = records.try_decode_node(value.data)
            if node is not None:
                self.run.nodes.append(ownership.ObservedNode(now_ms, node))


def starts_of(
    host: fleet_lib.Host, target: processes.Process
) -> list[ownership.Start]:
    """The executions that a target printed, also one that was killed."""
    return [
        ownership.Start(
            service=host.spec.service,
            shard=execution.shard,
            epoch=execution.epoch,
            host=host.spec.name,
            target=execution.incarnation,
            at_ms=execution.started_ms,
        )
        for execution in journal_lib.read_lines(target.output())
        if execution.shard >= 0
    ]
