"""Keeps the replica up to date, from the store or from other nodes.

Only a few nodes read the store on the others' behalf; the others pull deltas
from a peer that is ahead. Readers are the first ones by rendezvous hash among
the active nodes, so that every node knows them without an agreement, and their
number grows with the logarithm of the fleet.
"""

import abc
import asyncio
import contextlib
import math
import random

import aiomisc

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import keys
from auburnrock.engine import replica as replica_module
from auburnrock.platform import base as platform_base
from auburnrock.shells import frames
from auburnrock.shells import logs

EVERYTHING = ""
FEWEST_READERS = 3
WATCH_S = 20.0
READER_CHECK_S = 1.0
SAFETY_READ_S = 30.0
RETRY_S = 0.2
LONGEST_RETRY_S = 2.0
PULL_TIMEOUT_S = 1.0


class ChangeListener(abc.ABC):
    """Is told when the replica has changed."""

    @abc.abstractmethod
    def on_replica_changed(self, changed: list[str]) -> None:
        """Handles the change of these keys."""


def reader_count(nodes: int) -> int:
    """How many nodes read the store, for a fleet of `nodes`."""
    return max(FEWEST_READERS, math.ceil(math.log2(max(nodes, 1))))


def is_reader(incarnation: int, active: list[int]) -> bool:
    """Whether a node reads the store, given the active incarnations.

    Rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    ranked = sorted(active, key=lambda other: keys.hash_of(f"reader/{other}"))
    return incarnation in ranked[: reader_count(len(active))]


class StoreSync(aiomisc.Service):
    """The task that owns the replica.

    Attributes:
      replica: this node's copy of the store.
      platform: client of the store.
      peers: connections to the other nodes, for pulls.
      incarnation: this node's incarnation.
      event_log: where events go.
      store_reachable: whether the last read of the store succeeded.
    """

    def __init__(
        self,
        platform: platform_base.Platform,
        peers: frames.PeerConnections,
        incarnation: int,
        event_log: logs.EventLog,
    ):
        super().__init__()
        self.replica = replica_module.Replica()
        self.platform = platform
        self.peers = peers
        self.incarnation = incarnation
        self.event_log = event_log
        self.store_reachable = False
        self.listeners: list[ChangeListener] = []
        self._advanced = asyncio.Event()
        self._pull: asyncio.Task | None = None
        self._pull_goal = 0
        self._catch_up: asyncio.Task | None = None

    async def start(self) -> None:
        """Reads the whole store, then follows it until cancelled."""
        while not await self.read_store(EVERYTHING, 0.0):
            await asyncio.sleep(RETRY_S * (1 + random.random()))
        self.start_event.set()
        await self._follow()

    async def stop(self, exception: Exception | None = None) -> None:
        """Ends pulls in progress."""
        for task in (self._pull, self._catch_up):
            if task is not None:
                task.cancel()

    async def read_store(self, prefix: str, wait_s: float) -> bool:
        """Reads changes, waiting at most `wait_s`; says if the store answered.

        The watch is only a hint: its timeout makes it a periodic read too, so
        one that stops silently costs a timeout and no more.
        """
        try:
            if self.replica.revision == 0:
                snapshot = await self.platform.list(prefix)
            else:
                snapshot = await self.platform.watch(
                    prefix, self.replica.revision, wait_s
                )
        except platform_base.StoreError as error:
            self._note_store(False, str(error))
            return False
        self._note_store(True, "")
        self._publish(self.replica.apply_snapshot(snapshot))
        return True

    def on_written(self, value: platform_base.Value) -> None:
        """Notes a value that this node itself wrote or was shown."""
        self._publish(self.replica.apply_value(value))
        if self._catch_up is None or self._catch_up.done():
            self._catch_up = asyncio.create_task(
                self.read_store(EVERYTHING, 0.0)
            )

    def on_hint(self, host: str, port: int, watermark: int) -> None:
        """Pulls from a peer that is ahead of the replica."""
        if watermark <= self.replica.revision:
            return
        self._pull_goal = max(self._pull_goal, watermark)
        if self._pull is None or self._pull.done():
            self._pull = asyncio.create_task(self._pull_from(host, port))

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns when the replica has changed, at the latest on timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._advanced.wait()

    async def _follow(self) -> None:
        retry_s = RETRY_S
        last_read_s = asyncio.get_running_loop().time()
        safety_read_s = SAFETY_READ_S * (1 + random.random())
        while True:
            now_s = asyncio.get_running_loop().time()
            reads = self._is_reader()
            if not reads and now_s - last_read_s < safety_read_s:
                await asyncio.sleep(READER_CHECK_S)
                continue
            last_read_s = now_s
            if await self.read_store(EVERYTHING, WATCH_S if reads else 0.0):
                retry_s = RETRY_S
                continue
            await asyncio.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(2 * retry_s, LONGEST_RETRY_S)

    def _is_reader(self) -> bool:
        active = [
            record.incarnation
            for record in self.node_records()
            if record.state is records.NodeState.ACTIVE
        ]
        return self.incarnation not in active or is_reader(
            self.incarnation, active
        )

    def node_records(self) -> list[records.NodeRecord]:
        """All readable node records of the replica."""
        found = []
        for value in self.replica.with_prefix(records.NODES_PREFIX):
            record = records.try_decode_node(value.data)
            if record is not None:
                found.append(record)
        return found

    async def _pull_from(self, host: str, port: int) -> None:
        pull = messages.Pull(0, self.replica.revision)
        try:
            delta = await self.peers.exchange(host, port, pull, PULL_TIMEOUT_S)
        except frames.PeerError:
            return
        if isinstance(delta, messages.Delta):
            self._publish(self.replica.apply_delta(delta))

    def _publish(self, changed: list[str]) -> None:
        if not changed:
            return
        self._advanced.set()
        self._advanced = asyncio.Event()
        for listener in self.listeners:
            listener.on_replica_changed(changed)

    def _note_store(self, reachable: bool, reason: str) -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        event = "store_reachable" if reachable else "store_unreachable"
        self.event_log.write(event, reason=reason)
