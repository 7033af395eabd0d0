"""The task that holds this node's lease and witnesses other nodes' leases."""

import abc
import asyncio

import aiomisc

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import participant
from auburnrock.engine import timing as timing_lib
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import containment
from auburnrock.shells import datagrams
from auburnrock.shells import logs
from auburnrock.shells import store_sync

TICK_S = 0.05


class TickListener(abc.ABC):
    """Is told the time after each tick of the lease."""

    @abc.abstractmethod
    def on_tick(self, now_ms: int) -> None:
        """Handles the tick; must not block."""


class TotalsListener(abc.ABC):
    """Is given the load totals that nodes send to an assigner."""

    @abc.abstractmethod
    def on_total(self, total: messages.LoadTotal) -> None:
        """Takes one in; must not block."""


class LeaseTask(
    aiomisc.Service,
    datagrams.DatagramHandler,
    store_sync.ChangeListener,
    action_runner.Part,
):
    """Owns the datagram socket and this node's part among its peers.

    Attributes:
      record: this node's record as it is at the start.
      timing: the fleet's times.
      sync: owner of the replica.
      runner: carries out actions.
      event_log: where events go.
      port: UDP port to listen on; the record may advertise another.
      listeners: are told the time after each tick.
      totals: is given the load totals received; set when the node is wired.
      participant: the engine's part; None before the replica is complete.
    """

    def __init__(
        self,
        record: records.NodeRecord,
        timing: timing_lib.Timing,
        sync: store_sync.StoreSync,
        runner: action_runner.ActionRunner,
        event_log: logs.EventLog,
        port: int,
    ):
        super().__init__()
        self.record = record
        self.timing = timing
        self.sync = sync
        self.runner = runner
        self.event_log = event_log
        self.port = port
        self._containment = containment.Containment(event_log)
        self.listeners: list[TickListener] = []
        self.totals: TotalsListener | None = None
        self.participant: participant.Participant | None = None

    async def start(self) -> None:
        """Opens the socket, then ticks until cancelled."""
        await self.sync.ready.wait()
        self.participant = participant.Participant(
            self.record,
            self.timing,
            clock.now_ms(),
            self.sync.view.replica.with_prefix(records.NODES_PREFIX),
        )
        self.sync.listeners.append(self)
        self.runner.socket = await datagrams.open_socket(
            self,
            self.runner.traffic,
            self.record.address,
            self.port,
        )
        self.start_event.set()
        while True:
            self._containment.run(self._tick)
            await asyncio.sleep(TICK_S)

    async def stop(self, exception: Exception | None = None) -> None:
        """Closes the socket and drops the calls under way."""
        if self.runner.socket is not None:
            self.runner.socket.close()
        self.runner.close()

    def live(self) -> bool:
        """Whether this node's lease is valid at this moment."""
        return self.participant is not None and self.participant.holder.live(
            clock.now_ms()
        )

    def expires_at_ms(self) -> int:
        """When the lease ends without another renewal; 0 without a lease."""
        if self.participant is None:
            return 0
        return self.participant.holder.expires_at_ms()

    def on_node_ended(self, incarnation: int) -> None:
        """Takes the operator's word that a node and its target have ended."""
        asked = self.participant.on_node_ended(clock.now_ms(), incarnation)
        self.runner.run(self, asked)

    def on_target_ended(self, incarnation: int, target: str) -> None:
        """Takes the confirmed end of the target beside another node."""
        asked = self.participant.on_target_ended(
            clock.now_ms(), incarnation, target
        )
        self.runner.run(self, asked)

    def on_datagram(
        self, message: messages.Datagram, sender: tuple[str, int]
    ) -> None:
        """Handles a datagram; replies go to its sender."""
        if self.participant is None:
            return
        if isinstance(message, messages.LoadTotal):
            if self.totals is not None:
                self.totals.on_total(message)
            return
        watermark = getattr(message, "watermark", 0)
        if watermark > self.sync.view.replica.revision:
            self._hint(message, sender, watermark)
        asked = self.participant.on_datagram(clock.now_ms(), message)
        for action in asked:
            if isinstance(action, actions.Reply):
                self.runner.socket.send(action.message, sender)
        self.runner.run(self, asked)

    def _hint(
        self,
        message: messages.Renew | messages.RenewAnswer | messages.NewRevision,
        sender: tuple[str, int],
        watermark: int,
    ) -> None:
        """Lets the replica catch up from the node that is ahead.

        Its record says where it listens; a datagram may have been forwarded.
        """
        match message:
            case messages.Renew():
                incarnation = message.node
            case messages.RenewAnswer():
                incarnation = message.witness
            case messages.NewRevision():
                incarnation = message.sender
        record = self.sync.view.members.get(incarnation)
        if record is not None:
            sender = (record.address, record.peer_port)
        self.sync.on_hint(*sender, watermark)

    def on_garbage(self, reason: str) -> None:
        """Notes a datagram that was no message."""
        self.event_log.write("datagram_garbage", reason=reason)

    def on_replica_changed(self, changed: list[str]) -> None:
        """Takes in changed node records and tells the neighbours."""
        now_ms = clock.now_ms()
        replica = self.sync.view.replica
        self.participant.set_watermark(replica.revision)
        for key in changed:
            value = replica.values.get(key)
            if key.startswith(records.NODES_PREFIX) and value is not None:
                self.runner.run(self, self.participant.on_record(now_ms, value))
        self.runner.send_hints(self.neighbours())

    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a call to the store."""
        asked = self.participant.on_result(clock.now_ms(), result)
        self.runner.run(self, asked)

    def neighbours(self) -> list[int]:
        """The nodes that witness this one and those that it witnesses.

        These links make a random graph over the fleet, so news that each node
        passes on to its neighbours reaches all in a few steps.
        """
        own = [w.incarnation for w in self.participant.holder.record.witnesses]
        return sorted({*own, *self.participant.witness.watched})

    def _tick(self) -> None:
        now_ms = clock.now_ms()
        self.participant.set_watermark(self.sync.view.replica.revision)
        self.runner.run(self, self.participant.tick(now_ms))
        for listener in self.listeners:
            self._containment.run(listener.on_tick, now_ms)
