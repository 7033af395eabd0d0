"""What the tasks of a node's ownership share."""

import asyncio
from collections.abc import Awaitable, Callable
import math

from auburnrock.engine.mesh import coordination_store
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
"""A move goes on within this; the work of a tick is small."""

UNKEYED_TICK_S = 0.2
"""The same for a node whose service isn't divided by key; what it does for
others as a witness has bounds of seconds."""

STARTUP_SETTLE_MS = 1_200.0
"""After a start, other nodes of the same start have registered by then."""

WRITE_PAUSE_MS = 150.0
"""After a failed write, before the next."""


class OwnershipContext:
    """State and neighbours of the tasks.

    Attributes:
      settings: what the node learnt at its start.
      store: the platform's store.
      cache: the store's items as known.
      holder: the target's keys.
      peers: connections to other nodes.
      lease: this node's lease.
      witness: renews other nodes' leases.
      started_ms: start of this process.
      grants_changed: set whenever the target's keys may have changed.
      store_restored_ms: when this process last heard that the store was
        restored.
      on_store_items: takes items of the store and the revision of their
        reading.
      relist_store: lists the store, after a change of unknown outcome.
      apply_table: takes a version of a table, read or written.
      broadcast_changes: passes on changes that this node has made, before it
        takes them.
      on_members: takes the nodes' records.
      weight_of_self: this target's share of the keys.
      stripe_load: work that comes for the target's keys.
      hot_stripe_reservation: room that giants among them take.
      slots: requests that the target runs at once.
      peer_utilisation: work that comes for the other targets of the service
        over what their slots finish, by node; only of those that are known.
    """

    def __init__(
        self,
        settings: model.Settings,
        store: coordination_store.CoordinationStore,
        prefix: str,
        holder: holder_module.TargetGrants,
        hub: peer_connections.PeerConnections,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        term_ms: float,
    ):
        self.settings = settings
        self.store = store
        self.cache = store_cache.StoreCache(prefix)
        self.holder = holder
        self.peers = hub
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.name = settings.ip
        self.started_ms = now_ms()
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
        self.weight_of_self: Callable[[], float]
        self.stripe_load: heat_module.StripeLoad
        self.hot_stripe_reservation = heat_module.HotStripeReservation()
        self.slots: Callable[[], int]
        self.peer_utilisation: Callable[[], dict[str, float]]


class OwnershipTask:
    """Base of what carries out one part of the ownership.

    Attributes:
      context: what it shares with the others.
    """

    def __init__(self, parts: OwnershipContext):
        self.context = parts
        self.settings = parts.settings
        self.store = parts.store
        self.cache = parts.cache
        self.holder = parts.holder
        self.peers = parts.peers
        self.log = parts.log
        self.now_ms = parts.now_ms
        self.name = parts.name
        self.started_ms = parts.started_ms
        self.lease = parts.lease
        self.witness = parts.witness
