"""A planned stop: gives everything away, finishes, and only then ends.

The target is not told to drain: it stays, and the next daemon beside it would
find it refusing all work. Without shards and requests it has nothing to do.
"""

import asyncio

from auburnrock import records
from auburnrock.shells import node as node_lib

POLL_S = 0.02
NOTICE_S = 1.0
"""How long callers are told to go elsewhere before the port closes."""

RECORD_LIMIT_S = 2.0


class PlannedStop:
    """Stops one node without cutting a request.

    Attributes:
      node: the node.
      limit_s: how long each step may take.
    """

    def __init__(self, node: node_lib.Node):
        self.node = node
        self.limit_s = node.settings.drain_limit_ms / 1_000

    async def run(self) -> None:
        """Returns when the node owns nothing and nothing is in progress."""
        node = self.node
        node.event_log.write("stop_begun")
        node.begin_drain()
        await self._until(self._gave_all_away, self.limit_s)
        node.front.accepting = False
        await asyncio.sleep(NOTICE_S)
        await node.front.close_port()
        await self._until(self._idle, self.limit_s)
        await self._end_record()
        node.event_log.write("stop_done")

    async def finish_requests(self) -> None:
        """Returns when the requests in progress have their answers.

        For an incarnation that has ended: it owns nothing to give away.
        """
        self.node.front.accepting = False
        await self.node.front.close_port()
        await self._until(self._idle, self.limit_s)

    def _gave_all_away(self) -> bool:
        node = self.node
        if node.lease.participant is None:
            return True
        if node.assignment.releases.is_empty():
            return True
        # Nobody else can take the shards: there is nothing to wait for.
        service = node.lease.participant.holder.record.service
        return not node.sync.view.members.serving(service)

    def _idle(self) -> bool:
        node = self.node
        return (
            node.front.in_progress == 0
            and not node.executor.running
            and not node.peer_server.handler.running
        )

    async def _end_record(self) -> None:
        """Ends the own incarnation, so that nobody waits for its lease."""
        participant = self.node.lease.participant
        if participant is None:
            return
        participant.holder.leave()
        await self._until(
            lambda: self._record_ended(participant.holder), RECORD_LIMIT_S
        )

    def _record_ended(self, holder) -> bool:
        return (
            holder.write is None
            and holder.record.state is records.NodeState.ENDED
        ) or holder.state == "ended"

    async def _until(self, condition, limit_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while not condition() and loop.time() < end_s:
            await asyncio.sleep(POLL_S)
