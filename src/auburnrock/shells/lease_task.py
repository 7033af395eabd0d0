"""The task that holds this node's lease and witnesses other nodes' leases."""

import abc
import asyncio

import aiomisc

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import lease
from auburnrock.engine import timing as timing_lib
from auburnrock.engine import witness
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import datagrams
from auburnrock.shells import logs
from auburnrock.shells import store_sync

TICK_S = 0.05


class LeaseListener(abc.ABC):
    """Is told when the lease has begun, ended or been renewed."""

    @abc.abstractmethod
    def on_lease_tick(self, now_ms: int) -> None:
        """Called after each tick of the lease."""


class LeaseTask(
    aiomisc.Service,
    datagrams.DatagramHandler,
    store_sync.ChangeListener,
    action_runner.Part,
):
    """Owns the datagram socket, the holder, the witness and the sealings.

    Attributes:
      address: IP number of this node.
      port: UDP port of this node.
      sync: owner of the replica.
      runner: carries out actions.
      event_log: where events go.
      timing: the fleet's times.
      holder: this node's lease; None before the replica is complete.
      witness: this node as a witness.
    """

    def __init__(
        self,
        record: records.NodeRecord,
        timing: timing_lib.Timing,
        sync: store_sync.StoreSync,
        runner: action_runner.ActionRunner,
        event_log: logs.EventLog,
    ):
        super().__init__()
        self.record = record
        self.timing = timing
        self.sync = sync
        self.runner = runner
        self.event_log = event_log
        self.witness = witness.Witness(
            record.name, record.incarnation, timing, clock.now_ms()
        )
        self.holder: lease.Holder | None = None
        self.listeners: list[LeaseListener] = []
        self.was_live = False
