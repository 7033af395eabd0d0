"""Keeps the replica up to date, from the store or from other nodes.

Only a few nodes read the store on the others' behalf; the others pull deltas
from a peer that is ahead. Readers are the first ones by rendezvous hash among
the active nodes, so that every node knows them without an agreement, and their
number grows with the logarithm of the fleet.
"""

import abc
import asyncio
import math
import random

import aiomisc

from auburnrock import messages
from auburnrock.engine import keys
from auburnrock.engine import replica as replica_lib
from auburnrock.engine import view as view_lib
from auburnrock.shells import containment
from auburnrock.shells import frames
from auburnrock.shells import logs
from auburnrock.shells import router
from auburnrock.store import base as platform_base

EVERYTHING = ""
FEWEST_READERS = 3
WATCH_S = 4.0
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


class StoreSync(aiomisc.Service, router.TableSource):
    """The task that owns the replica.

    Attributes:
      view: this node's copy of the store, with its typed views.
      platform: client of the store.
      peers: connections to the other nodes, for pulls.
      incarnation: this node's incarnation.
      event_log: where events go.
      store_reachable: whether the last read of the store succeeded.
      ready: set once the replica is complete.
    """

    def __init__(
        self,
        platform: platform_base.Platform,
        peers: frames.PeerConnections,
        incarnation: int,
        event_log: logs.EventLog,
    ):
        super().__init__()
        self.view = view_lib.View(replica_lib.Replica())
        self.platform = platform
        self.peers = peers
        self.incarnation = incarnation
        self.event_log = event_log
        self.store_reachable = False
        self.listeners: list[ChangeListener] = []
        self.ready = asyncio.Event()
        self._containment = containment.Containment(event_log)
        self._pull: asyncio.Task | None = None
        self._pull_goal = 0
        self._pull_peer = ("", 0)
        self._newest_written = 0
        self._catch_up: asyncio.Task | None = None
        self._reads = True
        self._ranked_version = -1

    async def start(self) -> None:
        """Reads the whole store, then follows it until cancelled."""
        while not await self.read_store(EVERYTHING, 0.0):
            await asyncio.sleep(RETRY_S * (1 + random.random()))
        self.ready.set()
        self.start_event.set()
        await self._follow()

    async def stop(self, exception: Exception | None = None) -> None:
        """Ends pulls in progress."""
        for task in (self._pull, self._catch_up):
            if task is not None:
                task.cancel()

    async def read_store(self, prefix: str, wait_s: float) -> bool:
        """Reads changes, waiting at most `wait_s`; says if the store answered.

        A watch is only a hint, see `_follow`.
        """
        try:
            if self.view.replica.revision == 0:
                snapshot = await self.platform.list(prefix)
            else:
                snapshot = await self.platform.watch(
                    prefix, self.view.replica.revision, wait_s
                )
        except platform_base.StoreError as error:
            self._note_store(False, str(error))
            return False
        self._note_store(True, "")
        self._publish(self.view.apply_snapshot(snapshot))
        return True

    def on_written(self, value: platform_base.Value) -> None:
        """Notes a value that this node itself wrote or was shown."""
        self._publish(self.view.apply_value(value))
        self._newest_written = max(self._newest_written, value.revision)
        if value.revision > self.view.replica.revision:
            self.catch_up()

    def catch_up(self) -> None:
        """Begins a read of the store, unless one is under way."""
        if self._catch_up is None or self._catch_up.done():
            self._catch_up = asyncio.create_task(self._read_until_caught_up())

    async def caught_up(self) -> None:
        """Returns when the read under way, if any, has ended."""
        if self._catch_up is not None:
            await asyncio.wait([self._catch_up])

    async def _read_until_caught_up(self) -> None:
        while await self.read_store(EVERYTHING, 0.0):
            if self.view.replica.revision >= self._newest_written:
                return
            await asyncio.sleep(RETRY_S)

    def on_hint(self, host: str, port: int, watermark: int) -> None:
        """Pulls from a peer that is ahead of the replica."""
        if watermark <= self.view.replica.revision:
            return
        if self.pull_ended():
            self._pull_goal = 0
        if watermark > self._pull_goal:
            self._pull_goal = watermark
            self._pull_peer = (host, port)
        if self.pull_ended():
            self._pull = asyncio.create_task(self._pull_until_goal())

    def pull_ended(self) -> bool:
        """Whether no pull is under way."""
        return self._pull is None or self._pull.done()

    async def _follow(self) -> None:
        """Watches the store, and reads it after each watch without news.

        A watch that has stopped without a sign so costs its own time and no
        more.
        """
        retry_s = RETRY_S
        watches = True
        last_read_s = asyncio.get_running_loop().time()
        safety_read_s = SAFETY_READ_S * (1 + random.random())
        while True:
            now_s = asyncio.get_running_loop().time()
            reads = self._is_reader()
            if not reads and now_s - last_read_s < safety_read_s:
                await asyncio.sleep(READER_CHECK_S)
                continue
            last_read_s = now_s
            before = self.view.replica.revision
            wait_s = WATCH_S if reads and watches else 0.0
            answered = await self.read_store(EVERYTHING, wait_s)
            watches = wait_s == 0.0 or self.view.replica.revision > before
            if answered:
                retry_s = RETRY_S
                continue
            await asyncio.sleep(retry_s * (0.5 + random.random()))
            retry_s = min(2 * retry_s, LONGEST_RETRY_S)

    def _is_reader(self) -> bool:
        version = self.view.members.version
        if version != self._ranked_version:
            self._ranked_version = version
            active = [node.incarnation for node in self.view.members.active()]
            self._reads = self.incarnation not in active or is_reader(
                self.incarnation, active
            )
        return self._reads

    async def _pull_until_goal(self) -> None:
        """Pulls as long as that brings news and the goal is not reached."""
        before = -1
        while before < self.view.replica.revision < self._pull_goal:
            before = self.view.replica.revision
            await self._pull_from(*self._pull_peer)

    async def _pull_from(self, host: str, port: int) -> None:
        pull = messages.Pull(0, self.view.replica.revision)
        try:
            delta = await self.peers.exchange(host, port, pull, PULL_TIMEOUT_S)
        except frames.PeerError:
            return
        if isinstance(delta, messages.Delta):
            self._publish(self.view.apply_delta(delta))

    def _publish(self, change: view_lib.Change) -> None:
        for event in change.log:
            self.event_log.write_pairs(event.event, event.fields)
        if not change.keys:
            return
        for listener in self.listeners:
            self._containment.run(listener.on_replica_changed, change.keys)

    def _note_store(self, reachable: bool, reason: str) -> None:
        if reachable == self.store_reachable:
            return
        self.store_reachable = reachable
        event = "store_reachable" if reachable else "store_unreachable"
        self.event_log.write(event, reason=reason)
