"""Carries out what the engine's parts ask for."""

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
    """A part whose actions have results."""

    @abc.abstractmethod
    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a Swap or Read."""


class ActionRunner:
    """Carries out actions in the order given.

    Attributes:
      platform: client of the store.
      sync: owner of the replica; is shown what the store answered.
      event_log: where events go.
      socket: the datagram socket; None until it is open.
      incarnation: this node's incarnation.
      store_calls: writes and reads asked of the store so far.
      traffic: counts what this node spends on control.
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

    def run(self, part: Part, asked: list[actions.Action]) -> None:
        """Carries out the actions of a part; results go back to it."""
        for action in asked:
            match action:
                case actions.SendDatagram():
                    self.send(action.incarnation, action.message)
                case actions.Swap() | actions.Read():
                    self._keep(self._call_store(part, action))
                case actions.NotifyNodes():
                    self._keep(self._spread(action.incarnations))
                case actions.LogEvent():
                    self.event_log.write_pairs(action.event, action.fields)

    def send(self, incarnation: int, message: messages.Datagram) -> None:
        """Sends a datagram to the address in a node's record.

        A seal that means a lost witness goes to the address where that
        witness was, where only a successor that took over the address hears
        it: a successor elsewhere proves no end of the former process.
        """
        record = self.sync.view.members.get(incarnation)
        if record is None or self.socket is None:
            return
        self.socket.send(message, (record.address, record.peer_port))

    def hint(self, incarnations: list[int]) -> None:
        """Tells nodes how far this node's replica has come."""
        hint = messages.NewRevision(
            self.incarnation, self.sync.view.replica.revision
        )
        for incarnation in incarnations:
            if incarnation != self.incarnation:
                self.send(incarnation, hint)

    def close(self) -> None:
        """Cancels the calls under way."""
        for task in self._tasks:
            task.cancel()

    def _keep(self, coroutine) -> None:
        # The loop holds tasks weakly; without this they could vanish.
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
            # A deletion: its tombstone comes with the next read.
            self.sync.catch_up()
        self._containment.run(part.on_store_result, result)

    async def _spread(self, incarnations: list[int]) -> None:
        # A hint carries the watermark, and only a read moves that past a
        # revision that this node itself has just written.
        await self.sync.caught_up()
        self.hint(incarnations)
