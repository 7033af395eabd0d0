"""Finds out that targets of lost nodes have ended.

Only for targets that check no grants: the end of the node's lease says nothing
about what they still run. A refused connection says that nothing listens any
more where the target was. That is its end, since a target serves until it ends
(see docs/design/ownership.md). A host that is gone answers nothing at all; then
only a successor's record or the operator's word confirms the end.
"""

import asyncio

from auburnrock import records
from auburnrock.shells import lease_task

INTERVAL_MS = 200
TIMEOUT_S = 0.2


async def refuses_connections(address: str) -> bool:
    """Whether nothing listens at host:port, as the host itself says."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError, OverflowError):
        return False
    writer.close()
    return False


class EndProber(lease_task.TickListener):
    """Probes the targets whose confirmed end a sealing waits for.

    Attributes:
      lease: knows these sealings.
    """

    def __init__(self, lease: lease_task.LeaseTask):
        self.lease = lease
        self._next_ms: dict[int, int] = {}
        self._tasks: set[asyncio.Task] = set()

    def on_tick(self, now_ms: int) -> None:
        """Begins the probes that are due."""
        waiting = self.lease.member.unconfirmed()
        self._next_ms = {
            record.incarnation: self._next_ms.get(record.incarnation, now_ms)
            for record in waiting
        }
        for record in waiting:
            if now_ms >= self._next_ms[record.incarnation]:
                self._next_ms[record.incarnation] = now_ms + INTERVAL_MS
                task = asyncio.create_task(self._probe(record))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _probe(self, record: records.NodeRecord) -> None:
        if await refuses_connections(record.target_address):
            self.lease.on_target_ended(
                record.incarnation, record.target_incarnation
            )
