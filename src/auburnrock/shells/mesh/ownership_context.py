"""State that the tasks of a node's ownership share."""

import asyncio
from collections.abc import Awaitable, Callable
import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import hot_stripes as heat_module
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import target_grants as holder_module
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import metrics as metrics_module
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import store_cache

TICK_S = 0.05
"""Interval of the ticks, and so the delay of each step of a move; a tick does
little work."""

UNKEYED_TICK_S = 0.2
"""Interval of the ticks of a node whose service is not divided by key; its
duties as a witness have time limits of seconds."""

STARTUP_SETTLE_MS = 1_200.0
"""Time after a node's start by which nodes that started at the same time have
registered."""

WRITE_PAUSE_MS = 150.0
"""Delay between a failed write and the next one."""


class OwnershipContext:
    """State that the tasks of a node's ownership share.

    Attributes:
      settings: settings that the node read at its start.
      store: the platform's store.
      cache: items of the store as known here.
      holder: grants of keys to the target.
      peers: connections to other nodes.
      lease: this node's lease.
      witness: renews other nodes' leases.
      started_ms: start time of this process.
      evacuations: zones whose targets must own no keys.
      grants_changed: event that is set whenever the target's keys may have
        changed.
      store_restored_ms: when this process last learnt that the store was
        restored.
      on_store_items: applies items of the store and the revision at which they
        were read.
      relist_store: lists the store, after a write of unknown outcome.
      apply_table: applies a version of a table that was read or written.
      broadcast_changes: gossips changes that this node has written, before it
        applies them.
      on_members: applies the nodes' records.
      reads_store: whether the store answers this node.
      weight_of_self: returns this target's share of the keys.
      stripe_load: offered work per stripe of the target's keys.
      hot_stripe_reservation: capacity that is reserved for stripes too hot to
        be moved.
      slots: returns the number of requests that the target runs at once.
      peer_utilisation: returns the offered work of the other targets of the
        service, relative to the capacity of their slots, by node; only of nodes
        whose load is known.
    """

    def __init__(
        self,
        settings: model.Settings,
        store: coordination_store.CoordinationStore,
        prefix: str,
        holder: holder_module.TargetGrants,
        peers: peer_connections.PeerConnections,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        term_ms: float,
    ):
        self.settings = settings
        self.store = store
        self.cache = store_cache.StoreCache(prefix)
        self.holder = holder
        self.peers = peers
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.name = settings.ip
        self.started_ms = now_ms()
        self.evacuations = evacuation.Evacuations()
        self.lease = lease_module.Lease(self.name, term_ms)
        self.witness = lease_module.Witness(term_ms, self.started_ms)
        self.store_restored_ms = -math.inf
        self.grants_changed = asyncio.Event()
        self.on_store_items: Callable[
            [list[coordination_store.Item], int], None
        ]
        self.relist_store: Callable[[], Awaitable[None]]
        self.apply_table: Callable[[str, table_module.KeyTable, int], None]
        self.broadcast_changes: Callable[[list[coordination_store.Item]], None]
        self.on_members: Callable[[dict[str, model.Member]], None]
        self.reads_store: Callable[[], bool] = lambda: True
        self.weight_of_self: Callable[[], float]
        self.stripe_load: heat_module.StripeLoad
        self.hot_stripe_reservation = heat_module.HotStripeReservation()
        self.slots: Callable[[], int]
        self.peer_utilisation: Callable[[], dict[str, float]]

    def is_evacuated(self, name: str) -> bool:
        """Whether a node is in an evacuated zone."""
        if name == self.name:
            return self.evacuations.is_evacuated(self.settings.zone)
        known = self.cache.members.get(name)
        return known is not None and self.evacuations.is_evacuated(
            known[0].zone
        )

    def gives_up_keys(self) -> bool:
        """Whether this node's target must own no keys any more."""
        return self.holder.draining or self.is_evacuated(self.name)


class OwnershipTask:
    """Base class of a task of the ownership.

    Attributes:
      context: state that it shares with the other tasks.
    """

    def __init__(self, context: OwnershipContext):
        self.context = context
        self.settings = context.settings
        self.store = context.store
        self.cache = context.cache
        self.holder = context.holder
        self.peers = context.peers
        self.log = context.log
        self.now_ms = context.now_ms
        self.name = context.name
        self.started_ms = context.started_ms
        self.lease = context.lease
        self.witness = context.witness
