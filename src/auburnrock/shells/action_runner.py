"""Executes the actions that the engine's parts request."""

import abc
import asyncio

from auburnrock import messages
from auburnrock.engine import actions
from auburnrock.shells import containment
from auburnrock.shells import control_traffic
from auburnrock.shells import datagrams
from auburnrock.shells import logs
from auburnrock.shells import store_calls
from auburnrock.shells import store_sync
from auburnrock.store import base as platform_base


class Part(abc.ABC):
    """A part of the node that receives the results of its actions."""

    @abc.abstractmethod
    def on_store_result(self, result: actions.StoreResult) -> None:
        """Handles the result of a Swap or Read."""


class ActionRunner:
    """Executes actions in the order given.

    Attributes:
      platform: client of the store.
      sync: owner of the replica; receives the values that the store returned.
      event_log: log of the events that parts report.
      socket: the datagram socket; None until it is open.
      incarnation: this node's incarnation.
      store_calls: number of writes and reads sent to the store so far.
      traffic: counters of this node's control traffic.
    """

    def __init__(
        self,
        platform: platform_base.Platform,
        sync: store_sync.StoreSync,
        event_log: logs.EventLog,
        incarnation: int,
    ):
        self.platform = platform
        self.sync = sync
        self.event_log = event_log
        self.socket: datagrams.DatagramSocket | None = None
        self.incarnation = incarnation
        self.store_calls = 0
        self.traffic = control_traffic.ControlTraffic()
        self._containment = containment.Containment(event_log)
        self._tasks: set[asyncio.Task] = set()

    def run(self, part: Part, requested: list[actions.Action]) -> None:
        """Executes the actions of a part, which receives their results."""
        for action in requested:
            match action:
                case actions.SendDatagram():
                    self.send(action.incarnation, action.message)
                case actions.Swap() | actions.Read():
                    self._start_task(self._call_store(part, action))
                case actions.NotifyNodes():
                    self._start_task(self._hint_nodes(action.incarnations))
                case actions.LogEvent():
                    self.event_log.write_pairs(action.event, action.fields)

    def send(self, incarnation: int, message: messages.Datagram) -> None:
        """Sends a datagram to the address in a node's record.

        A seal intended for a lost witness is sent to the address of that
        witness. Only a successor that took over the address receives it: a
        successor elsewhere does not prove that the former process ended.
        """
        record = self.sync.view.members.get(incarnation)
        if record is None or self.socket is None:
            return
        self.socket.send(message, (record.address, record.peer_port))

    def send_hints(self, incarnations: list[int]) -> None:
        """Sends the revision of this node's replica to other nodes."""
        hint = messages.NewRevision(
            self.incarnation, self.sync.view.replica.revision
        )
        for incarnation in incarnations:
            if incarnation != self.incarnation:
                self.send(incarnation, hint)

    def close(self) -> None:
        """Cancels the calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _start_task(self, coroutine) -> None:
        # The event loop holds only weak references to tasks; without another
        # reference a task could be collected before it is done.
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_store(
        self, part: Part, action: actions.Swap | actions.Read
    ) -> None:
        self.store_calls += 1
        result = await store_calls.call(self.platform, action)
        if result.current is not None:
            self.sync.on_written(result.current)
        elif result.outcome is actions.StoreOutcome.DONE:
            # The key was deleted; the next read returns its tombstone.
            self.sync.catch_up()
        self._containment.run(part.on_store_result, result)

    async def _hint_nodes(self, incarnations: list[int]) -> None:
        # A hint carries the replica's revision, and only a read advances that
        # past a revision that this node itself has just written.
        await self.sync.caught_up()
        self.send_hints(incarnations)
