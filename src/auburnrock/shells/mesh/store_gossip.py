"""Gossip of the store's changes and versions among nodes.

A few nodes, the store watchers, watch the store. The changes that they read are
forwarded from neighbour to neighbour. Peers report the versions that they know;
a node that lacks one reads the store.
"""

import asyncio
from collections.abc import Callable
import math

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import evacuation
from auburnrock.engine.mesh import gossip_filter
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames
from auburnrock.shells.mesh import ownership as ownership_module
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import prefix_sync
from auburnrock.shells.mesh import store_cache

GOSSIP_DELAY_S = 0.4
"""Delay, in seconds, before a node reads the store for a version that a peer
has reported. Gossip delivers the change within this time."""

TABLE_UPDATE_STRIPES_MAX = 24
"""Number of stripes above which a change of a table is announced, and sent on
request only: otherwise each node would receive it from all neighbours."""

TABLE_REQUEST_INTERVAL_MS = 800.0
"""Least time, in milliseconds, between two requests to peers for a whole key
table, and time after which the store is read for it. A table takes a tenth of a
second on a link of 5 Mbit/s, and changes may come faster than that."""

LONG_UPDATES_MAX = 32
"""Limit of the long changes that are kept for neighbours, which request them
within milliseconds."""

EARLY_UPDATES_MAX = 16
"""Limit of the changes that are kept until the version before them arrives."""

WATCHER_ROLE_DELAY_MS = 3_000.0
"""Age of a process, in milliseconds, from which it may be a store watcher even
though it knows entries of less than half of the nodes. Otherwise all nodes
would watch the store when all of them start together."""

MISSING_MEMBER_INTERVAL_MS = 1_000.0
"""Interval, in milliseconds, between two readings of the store for missing
records of connected nodes. Many nodes may start together."""

MISSING_RECORDS_MAX = 8
"""Limit of the missing records that are requested at a time."""

MISSING_RECORD_EXPIRY_MS = 15_000.0
"""Time, in milliseconds, after which the entry of a node without a record is
removed. The next message of the node adds it again."""

EVACUATION_REQUESTS_MAX = 25
"""Limit of the requests for one missed evacuation, GOSSIP_DELAY_S apart. A
node without the store is given 10 s to reach a neighbour that knows it."""

NEW_ERA_REQUEST_INTERVAL_MS = 200.0
"""Interval, in milliseconds, between requests to neighbours for items of a new
era while the store is unreachable. It is much shorter than a lease, which
lasts for several requests."""

SNAPSHOTS_PER_INTERVAL = 3
"""Limit of the peers that are requested for a snapshot per interval. More than
one is, as a peer's items may be out of date."""

SNAPSHOT_INTERVAL_MS = 600.0
"""Interval, in milliseconds, after which further peers are requested for a
snapshot. On a slow link a snapshot takes as long."""


class StoreGossip:
    """Exchanges the store's items and versions with other nodes.

    All times are in milliseconds of this process's clock.

    Attributes:
      system_sync: synchronises the items that the nodes write.
      configuration_sync: synchronises the operator's items.
      configuration_version: returns the version of the configuration in force
        on this node.
      store: the store, whose era is compared with that of peers.
      is_bootstrapping: returns whether this process knows less than its peers.
      started_ms: time at which this process started.
      spread: filter of the items that were forwarded or requested already.
      early_updates: changes of tables whose base is not known yet, by the
        base's revision.
      long_updates: long changes of tables that neighbours may request, by key
        and revision.
      store_item: returns one item of the store as known on this node.
      watchers_known: the store watchers, and the state of the directory and of
        the records from which they were computed.
      missing_since_ms: time since which a node with an entry has no record, by
        name.
      requested_versions: highest version for which the store was read, by
        service; "" stands for the configuration.
      table_requested_ms: time of the last request to a peer for a whole table,
        by service.
      members_requested_ms: time of the last reading for a missing record.
      era_requested_ms: time of the last request to neighbours for items of the
        store's new era.
      snapshots_since_ms: start of the interval in which snapshots are counted.
      snapshots_requested: number of snapshots requested in this interval.
    """

    def __init__(
        self,
        settings: model.Settings,
        hub: peer_connections.PeerConnections,
        ownership: ownership_module.Ownership,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.settings = settings
        self.peers = hub
        self.ownership = ownership
        self.log = log
        self.now_ms = now_ms
        self.system_sync: prefix_sync.PrefixSync
        self.configuration_sync: prefix_sync.PrefixSync
        self.configuration_version: Callable[[], int]
        self.store: coordination_store.CoordinationStore
        self.is_bootstrapping: Callable[[], bool]
        self.evacuations = evacuation.Evacuations()
        self.started_ms = now_ms()
        self.spread = gossip_filter.GossipFilter()
        self.early_updates: dict[int, peer_messages.TableUpdate] = {}
        self.long_updates: dict[tuple[str, int], peer_messages.TableUpdate] = {}
        self.store_item: Callable[[str], tuple[str, bytes, int] | None]
        self.watchers_known: tuple[tuple, list[str]] | None = None
        self.missing_since_ms: dict[str, float] = {}
        self.requested_versions: dict[str, int] = {}
        self.table_requested_ms: dict[str, float] = {}
        self.members_requested_ms = 0.0
        self.era_requested_ms = 0.0
        self.snapshots_since_ms = 0.0
        self.snapshots_requested = 0

    def store_watchers(self) -> list[str]:
        """Returns the nodes that watch the store, as far as this one knows.

        Nodes with slow links come last, since a store watcher receives most of
        the store's traffic.
        """
        directory = self.peers.directory
        state = (directory.changes, len(self.peers.members))
        if self.watchers_known is None or self.watchers_known[0] != state:
            own_mbps = self.settings.link_mbps
            ranked = [(0.0 < own_mbps < model.SLOW_LINK_MBPS, self.settings.ip)]
            for name in self.peers.alive():
                entry = directory.entries[name]
                if entry.reads_store and not entry.leaving:
                    member = self.peers.members[name]
                    ranked.append((member.has_slow_link(), name))
            names = [
                name for _, name in sorted(ranked)[: prefix_sync.STORE_WATCHERS]
            ]
            self.watchers_known = (state, names)
        return self.watchers_known[1]

    def is_store_watcher(self) -> bool:
        """Whether this node is a store watcher."""
        hub = self.peers
        is_young = self.now_ms() - self.started_ms < WATCHER_ROLE_DELAY_MS
        if is_young and 2 * len(hub.directory.entries) < len(hub.members):
            return False
        return self.settings.ip in self.store_watchers()

    def store_reachable(self) -> bool:
        """Whether this node reaches the store."""
        return not (
            self.system_sync.store_unreachable
            or self.configuration_sync.store_unreachable
        )

    def broadcast_changes(
        self, items: list[coordination_store.Item], source: str = ""
    ) -> None:
        """Forwards changes of the store to the neighbours, each change once.

        Args:
          items: the changed items.
          source: neighbour from which they were received, which is left out;
            empty for the store.
        """
        short = []
        for item in items:
            if not self.spread.should_forward(item.key, item.revision):
                continue
            try:
                update = self.ownership.cache.table_update_for(item)
            except store_cache.UnreadableItemError as error:
                self.log.write(
                    "table_unreadable", key=item.key, error=str(error)
                )
                continue
            if update is not None:
                self.forward_table_update(update, source)
            elif len(item.value or b"") > gossip_filter.ANNOUNCE_ONLY_BYTES:
                self.peers.broadcast(
                    peer_messages.ItemAvailable(item.key, item.revision), source
                )
            else:
                short.append((item.key, item.value, item.revision))
        if short:
            self.peers.broadcast(peer_messages.StoreUpdate(short), source)

    def on_store_update(
        self, source: str, update: peer_messages.StoreUpdate
    ) -> None:
        """Handles changes of the store received from a neighbour."""
        items = [coordination_store.Item(*row) for row in update.items]
        for item in items:
            self.store.observe_era(coordination_store.era_of(item.revision))
        self.broadcast_changes(items, source)
        self.system_sync.apply_store_update(items)
        self.configuration_sync.apply_store_update(items)

    def on_item_available(self, announced: peer_messages.ItemAvailable) -> bool:
        """Handles an announced item; returns whether to request it."""
        known = max(
            self.system_sync.known_revisions.get(announced.key, 0),
            self.configuration_sync.known_revisions.get(announced.key, 0),
        )
        if known >= announced.revision:
            return False
        return self.spread.should_request(
            self.now_ms(), announced.key, announced.revision
        )

    def on_table_update(
        self, source: str, update: peer_messages.TableUpdate
    ) -> None:
        """Handles a change of a key table received from a neighbour."""
        key = self.ownership.cache.table_key(update.service)
        if self.spread.should_forward(key, update.revision):
            self.forward_table_update(update, source)
        table = self.ownership.cache.apply_table_update(update)
        if table is not None:
            self.ownership.apply_table(update.service, table, update.revision)
            self.system_sync.advance_revision(key, update.revision)
            follower = self.early_updates.pop(update.revision, None)
            if follower is not None:
                self.on_table_update(source, follower)
        elif update.change.version > self.table_version(update.service):
            # The base may still arrive from another neighbour.
            self.early_updates[update.base_revision] = update
            while len(self.early_updates) > EARLY_UPDATES_MAX:
                del self.early_updates[next(iter(self.early_updates))]
            self.schedule_check(
                self.request_table,
                source,
                update.service,
                update.change.version,
            )

    def forward_table_update(
        self, update: peer_messages.TableUpdate, source: str
    ) -> None:
        """Forwards a change of a key table, or announces it if it is long."""
        if len(update.change.stripes) <= TABLE_UPDATE_STRIPES_MAX:
            self.peers.broadcast(update, source)
            return
        key = self.ownership.cache.table_key(update.service)
        self.long_updates[key, update.revision] = update
        while len(self.long_updates) > LONG_UPDATES_MAX:
            del self.long_updates[next(iter(self.long_updates))]
        self.peers.broadcast(
            peer_messages.ItemAvailable(key, update.revision), source
        )

    def on_item_request(
        self, request: peer_messages.ItemRequest
    ) -> peer_messages.Message | None:
        """Returns what a neighbour requests: an announced change or the item.

        It returns None if this node does not have the item.
        """
        update = self.long_updates.get((request.key, request.revision))
        if update is not None:
            return update
        evacuations = self.evacuations
        if request.key == evacuations.prefix:
            rows = [
                (item.key, item.value, item.revision)
                for item in evacuations.items.values()
            ]
            return peer_messages.StoreUpdate(rows)
        item = self.store_item(request.key)
        return peer_messages.StoreUpdate([item]) if item is not None else None

    def should_request_snapshot(self) -> bool:
        """Whether to request a snapshot from a peer that has just connected.

        Few snapshots are requested at a time: those of all nodes of a large
        fleet would saturate the link.
        """
        if not self.is_bootstrapping():
            return False
        now_ms = self.now_ms()
        if now_ms - self.snapshots_since_ms >= SNAPSHOT_INTERVAL_MS:
            self.snapshots_since_ms = now_ms
            self.snapshots_requested = 0
        self.snapshots_requested += 1
        return self.snapshots_requested <= SNAPSHOTS_PER_INTERVAL

    def apply_snapshot(self, items: list[coordination_store.Item]) -> None:
        """Applies a peer's items before this node has read the store.

        The peer may not know of a store restore. Items that are missing in the
        first listing are removed by it.
        """
        for item in items:
            self.system_sync.advance_revision(item.key, item.revision)
        self.ownership.apply_items(items)

    def on_peer_without_record(
        self, name: str, connection: frames.FrameConnection
    ) -> None:
        """Requests a node's record from it unless gossip soon delivers it."""
        self.schedule_check(self.request_record, name, connection)

    def request_record(
        self, name: str, connection: frames.FrameConnection
    ) -> None:
        """Requests a connected node's record from it if it is not known."""
        if name not in self.peers.members:
            key = self.ownership.cache.member_key(name)
            connection.send(peer_messages.ItemRequest(key, 0))
            self.schedule_check(self.relist_for_record, name)

    def relist_for_record(self, name: str) -> None:
        """Reads the store if a connected node's record is still missing."""
        now_ms = self.now_ms()
        if name in self.peers.members or self.is_bootstrapping():
            return
        if now_ms - self.members_requested_ms >= MISSING_MEMBER_INTERVAL_MS:
            self.members_requested_ms = now_ms
            self.log.write("peer_without_record", peer=name)
            self.system_sync.request_relist()

    def request_missing_records(self) -> None:
        """Requests missing records of nodes with an entry from neighbours.

        The entry of a node whose record has been missing for
        MISSING_RECORD_EXPIRY_MS is removed: the record is lost for good.
        """
        now_ms = self.now_ms()
        missing = self.peers.directory.without_record()
        for name in self.missing_since_ms.keys() - set(missing):
            del self.missing_since_ms[name]
        for name in missing[:MISSING_RECORDS_MAX]:
            since_ms = self.missing_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms > MISSING_RECORD_EXPIRY_MS:
                del self.peers.directory.entries[name]
            elif now_ms - since_ms >= MISSING_MEMBER_INTERVAL_MS:
                key = self.ownership.cache.member_key(name)
                self.peers.send_to_random_neighbour(
                    peer_messages.ItemRequest(key, 0)
                )

    def request_new_era_items(self) -> None:
        """Requests items of a restored, unreachable store from neighbours.

        Only this node's record is requested, for its lease, and the tables, for
        their changes. The cached records of other nodes remain as they are.
        """
        now_ms = self.now_ms()
        if not self.system_sync.store_unreachable:
            return
        if now_ms - self.era_requested_ms < NEW_ERA_REQUEST_INTERVAL_MS:
            return
        self.era_requested_ms = now_ms
        store_cache = self.ownership.cache
        keys = [store_cache.member_key(self.settings.ip)]
        keys += [
            store_cache.table_key(service) for service in store_cache.tables
        ]
        for key in keys:
            if (
                coordination_store.era_of(store_cache.known_revision(key))
                < self.store.era
            ):
                self.peers.send_to_random_neighbour(
                    peer_messages.ItemRequest(key, 0)
                )

    def schedule_check(
        self, check: Callable[..., None], *values: object
    ) -> None:
        """Schedules a check for when gossip has had time to arrive."""
        loop = asyncio.get_running_loop()
        loop.call_later(GOSSIP_DELAY_S, check, *values)

    def table_version(self, service: str) -> int:
        """Returns the known version of a service's key table; 0 for none."""
        known = self.ownership.cache.tables.get(service)
        return known[0].version if known else 0

    def request_table(self, peer: str, service: str, version: int) -> None:
        """Requests a table from a peer that knows a version missing here.

        The store is read only if the peer does not deliver it: on a busy day
        key tables change in bursts, and all nodes that fall behind would list
        the store for each version.
        """
        if version <= self.table_version(service):
            return
        key = self.ownership.cache.table_key(service)
        now_ms = self.now_ms()
        requested_ms = self.table_requested_ms.get(service, -math.inf)
        if now_ms - requested_ms >= TABLE_REQUEST_INTERVAL_MS:
            self.table_requested_ms[service] = now_ms
            self.peers.send_to(peer, peer_messages.ItemRequest(key, 0))
        asyncio.get_running_loop().call_later(
            TABLE_REQUEST_INTERVAL_MS / 1_000,
            self.relist_for_table,
            service,
            version,
        )

    def relist_for_table(self, service: str, version: int) -> None:
        """Reads the store if a table of a peer's version is still missing."""
        requested = self.requested_versions.get(service, 0)
        if version > max(self.table_version(service), requested):
            self.requested_versions[service] = version
            self.system_sync.request_relist()

    def relist_for_configuration(self, version: int) -> None:
        """Reads the store if a peer's configuration is still missing."""
        requested = self.requested_versions.get("", 0)
        if version > max(self.configuration_version(), requested):
            self.requested_versions[""] = version
            self.configuration_sync.request_relist()

    def request_evacuations(
        self, version: int, left: int = EVACUATION_REQUESTS_MAX
    ) -> None:
        """Requests evacuations that peers know and this node has missed.

        A neighbour is asked, as the store may be unreachable, and a listing
        does not show the revision of a removal.
        """
        if version <= self.evacuations.version() or not left:
            return
        self.evacuations.on_missed(version)
        key = self.evacuations.prefix
        self.peers.send_to_random_neighbour(peer_messages.ItemRequest(key, 0))
        self.schedule_check(self.request_evacuations, version, left - 1)

    def on_versions(self, peer: str, versions: peer_messages.Versions) -> None:
        """Handles the versions that a peer reports.

        The store is read for later ones unless gossip delivers them in time.
        """
        self.store.observe_era(versions.era)
        if versions.configuration > self.configuration_version():
            self.schedule_check(
                self.relist_for_configuration, versions.configuration
            )
        if versions.evacuation > self.evacuations.version():
            self.schedule_check(self.request_evacuations, versions.evacuation)
        for service, version in versions.tables.items():
            if version > self.table_version(service):
                self.schedule_check(self.request_table, peer, service, version)

    def versions(self) -> peer_messages.Versions:
        """Returns the versions of the store's items known on this node."""
        return peer_messages.Versions(
            self.configuration_version(),
            {
                service: table.version
                for service, (table, _) in self.ownership.cache.tables.items()
            },
            self.store.era,
            self.evacuations.version(),
        )
