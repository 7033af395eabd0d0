"""Finds out that targets of lost nodes have ended.

Only for targets that check no grants: the end of the node's lease says nothing
about what they still run. A refused connection says that nothing listens any
more where the target was. That is its end, since a target serves until it ends
(see docs/design/ownership.md). A host that is gone answers nothing at all; then
only a successor's record or the operator's word confirms the end.
"""

import asyncio
import contextlib

from auburnrock import records
from auburnrock.shells import lease_task

INTERVAL_MS = 200
TIMEOUT_S = 0.2
PAUSE_S = 0.005
ACCEPTED_FOR_S = 0.03
"""How long a connection must last to prove that its target lives."""


async def refuses_connections(address: str) -> bool:
    """Whether nothing listens at host:port, as the host itself says.

    A process that ends closes its sockets one by one, so a connection may
    still be accepted just after another was lost. Such a one ends at once, and
    the question is asked again.
    """
    host, _, digits = address.rpartition(":")
    try:
        port = int(digits)
    except ValueError:
        return False
    with contextlib.suppress(OSError, OverflowError):
        async with asyncio.timeout(TIMEOUT_S):
            while await _accepts_and_ends(host, port):
                await asyncio.sleep(PAUSE_S)
    return await _refuses(host, port)


async def _accepts_and_ends(host: str, port: int) -> bool:
    """Whether a connection is accepted, and ended with nothing sent.

    Raises OSError if there is no connection.
    """
    reader, writer = await asyncio.open_connection(host, port)
    try:
        async with asyncio.timeout(ACCEPTED_FOR_S):
            await reader.read(1)
    except ConnectionError:
        return True
    except TimeoutError:
        return False
    finally:
        writer.close()
    return True


async def _refuses(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, OverflowError):
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
        waiting = self.lease.participant.unconfirmed()
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
