"""What nodes tell each other of the store: readers, changes, versions.

A few nodes, the readers, watch the store. What they see changed goes from
neighbour to neighbour. Peers name the versions that they know; who misses one
reads the store.
"""

import asyncio
from collections.abc import Callable

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import gossip_filter
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import frames
from auburnrock.shells.mesh import ownership as ownership_module
from auburnrock.shells.mesh import peer_connections
from auburnrock.shells.mesh import prefix_sync
from auburnrock.shells.mesh import store_cache

TOLD_WITHIN_S = 0.4
"""What neighbours pass on comes within this of what other peers say."""

TABLE_UPDATE_STRIPES_MAX = 24
"""A change of a table with more stripes is announced, and sent to those who ask
for it: each node would get it from all of its neighbours."""

CHANGES_MAX = 32
"""Long changes kept for neighbours; they ask within milliseconds."""

EARLY_MAX = 16
"""Changes kept until their base comes."""

READERS_KNOWN_MS = 3_000.0
"""A process that has heard of less than half of the nodes does not take itself
for a reader until it is this old: when all start, all would watch the store."""

MISSING_MEMBER_INTERVAL_MS = 1_000.0
"""Between two readings of the store for nodes that connect without a known
record; many start together."""

STRANGERS_MAX = 8
"""Unknown records that are asked for at a time."""

STRANGER_FORGOTTEN_MS = 15_000.0
"""The entry of a node without a record is dropped after this; what it says
next makes it known again."""

LOST_ERA_EVERY_MS = 200.0
"""Between two questions of a node that hears of an era and cannot read the
store; its lease lasts for a few of them."""

SNAPSHOTS_PER_INTERVAL = 3
"""Peers asked at a time for all that they know; one may be behind."""

SNAPSHOT_INTERVAL_MS = 600.0
"""Others are asked after this; on a slow link a snapshot takes as long."""


class StoreGossip:
    """This node's part in spreading what the store holds.

    Attributes:
      system_sync: follows the nodes' own items.
      configuration_sync: follows the operator's items.
      configuration_version: says which configuration is in force here.
      store: the store; names its era.
      is_bootstrapping: says whether this process knows less than its peers.
      started_ms: start of this process.
      spread: what has been passed on, and what was asked for.
      early: changes of tables whose base is not known yet, by the base.
      changes: long changes of tables that neighbours may ask for.
      store_item: one item of the store as known here.
      readers_known: the readers, and the state of the directory and of the
        records that they were worked out from.
      strangers: since when nodes with an entry have no record, by name.
      asked_for: highest version by service, or "" for the configuration, for
        which the store was read.
      asked_for_members_ms: when it was last read for an unknown record.
      asked_for_era_ms: when neighbours were last asked what the store says in
        its era.
      snapshots_since_ms: since when snapshots are counted.
      snapshots_asked: peers asked for one since then.
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
        self.started_ms = now_ms()
        self.spread = gossip_filter.GossipFilter()
        self.early: dict[int, peer_messages.TableUpdate] = {}
        self.changes: dict[tuple[str, int], peer_messages.TableUpdate] = {}
        self.store_item: Callable[[str], tuple[str, bytes, int] | None]
        self.readers_known: tuple[tuple, list[str]] | None = None
        self.strangers: dict[str, float] = {}
        self.asked_for: dict[str, int] = {}
        self.asked_for_members_ms = 0.0
        self.asked_for_era_ms = 0.0
        self.snapshots_since_ms = 0.0
        self.snapshots_asked = 0

    def store_watchers(self) -> list[str]:
        """Nodes that watch the store, as far as this one knows.

        Those with slow links come last, since a reader asks most of the store.
        """
        directory = self.peers.directory
        state = (directory.changes, len(self.peers.members))
        if self.readers_known is None or self.readers_known[0] != state:
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
            self.readers_known = (state, names)
        return self.readers_known[1]

    def is_store_watcher(self) -> bool:
        """Whether this node is one of those that watch the store."""
        hub = self.peers
        is_young = self.now_ms() - self.started_ms < READERS_KNOWN_MS
        if is_young and 2 * len(hub.directory.entries) < len(hub.members):
            return False
        return self.settings.ip in self.store_watchers()

    def store_reachable(self) -> bool:
        """Whether the store answers this node."""
        return not (
            self.system_sync.store_unreachable
            or self.configuration_sync.store_unreachable
        )

    def broadcast_changes(
        self, items: list[coordination_store.Item], source: str = ""
    ) -> None:
        """Passes on what has changed in the store, each change once.

        Args:
          items: as they are now.
          source: the neighbour that has told of them; empty for the store.
        """
        short = []
        for item in items:
            if not self.spread.should_forward(item.key, item.revision):
                continue
            try:
                told = self.ownership.cache.table_update_for(item)
            except store_cache.UnreadableItemError as error:
                self.log.write(
                    "table_unreadable", key=item.key, error=str(error)
                )
                continue
            if told is not None:
                self.tell_table(told, source)
            elif len(item.value or b"") > gossip_filter.ANNOUNCE_ONLY_BYTES:
                self.peers.broadcast(
                    peer_messages.ItemAvailable(item.key, item.revision), source
                )
            else:
                short.append((item.key, item.value, item.revision))
        if short:
            self.peers.broadcast(peer_messages.StoreUpdate(short), source)

    def on_store_update(
        self, giver: str, told: peer_messages.StoreUpdate
    ) -> None:
        """Takes changes of the store from a neighbour."""
        items = [coordination_store.Item(*row) for row in told.items]
        for item in items:
            self.store.observe_era(coordination_store.era_of(item.revision))
        self.broadcast_changes(items, giver)
        self.system_sync.apply_store_update(items)
        self.configuration_sync.apply_store_update(items)

    def on_item_available(self, has: peer_messages.ItemAvailable) -> bool:
        """Whether an item that a neighbour has is needed here."""
        known = max(
            self.system_sync.known_revisions.get(has.key, 0),
            self.configuration_sync.known_revisions.get(has.key, 0),
        )
        if known >= has.revision:
            return False
        return self.spread.should_request(self.now_ms(), has.key, has.revision)

    def on_table_update(
        self, giver: str, told: peer_messages.TableUpdate
    ) -> None:
        """Takes a change of a key table from a neighbour."""
        key = self.ownership.cache.table_key(told.service)
        if self.spread.should_forward(key, told.revision):
            self.tell_table(told, giver)
        table = self.ownership.cache.apply_table_update(told)
        if table is not None:
            self.ownership.apply_table(told.service, table, told.revision)
            self.system_sync.advance_revision(key, told.revision)
            follower = self.early.pop(told.revision, None)
            if follower is not None:
                self.on_table_update(giver, follower)
        elif told.change.version > self.table_version(told.service):
            # Its base may be on the way from another neighbour.
            self.early[told.base_revision] = told
            while len(self.early) > EARLY_MAX:
                del self.early[next(iter(self.early))]
            self.later(self.ask_for_table, told.service, told.change.version)

    def tell_table(self, told: peer_messages.TableUpdate, giver: str) -> None:
        """Passes on a change of a key table, or that it is to be had here."""
        if len(told.change.stripes) <= TABLE_UPDATE_STRIPES_MAX:
            self.peers.broadcast(told, giver)
            return
        key = self.ownership.cache.table_key(told.service)
        self.changes[key, told.revision] = told
        while len(self.changes) > CHANGES_MAX:
            del self.changes[next(iter(self.changes))]
        self.peers.broadcast(
            peer_messages.ItemAvailable(key, told.revision), giver
        )

    def on_item_request(
        self, want: peer_messages.ItemRequest
    ) -> peer_messages.Message | None:
        """What a neighbour lacks: the announced change, or the item."""
        told = self.changes.get((want.key, want.revision))
        if told is not None:
            return told
        item = self.store_item(want.key)
        return peer_messages.StoreUpdate([item]) if item is not None else None

    def should_request_snapshot(self) -> bool:
        """Whether a peer that has just connected should tell what it knows.

        A few are asked at a time: all of a large fleet would fill the link.
        """
        if not self.is_bootstrapping():
            return False
        now_ms = self.now_ms()
        if now_ms - self.snapshots_since_ms >= SNAPSHOT_INTERVAL_MS:
            self.snapshots_since_ms = now_ms
            self.snapshots_asked = 0
        self.snapshots_asked += 1
        return self.snapshots_asked <= SNAPSHOTS_PER_INTERVAL

    def apply_snapshot(self, items: list[coordination_store.Item]) -> None:
        """Takes items as a peer knows them, before the store was read.

        The peer may not know of a restore; what the first listing lacks is
        removed by it.
        """
        for item in items:
            self.system_sync.advance_revision(item.key, item.revision)
        self.ownership.apply_items(items)

    def on_peer_without_record(
        self, name: str, connection: frames.FrameConnection
    ) -> None:
        """Asks a node for its record if nobody soon tells of it."""
        self.later(self.ask_stranger, name, connection)

    def ask_stranger(
        self, name: str, connection: frames.FrameConnection
    ) -> None:
        """Asks a connected node for its record, if that is not known."""
        if name not in self.peers.members:
            key = self.ownership.cache.member_key(name)
            connection.send(peer_messages.ItemRequest(key, 0))
            self.later(self.ask_for_member, name)

    def ask_for_member(self, name: str) -> None:
        """Reads the store if a connected node's record is still not known."""
        now_ms = self.now_ms()
        if name in self.peers.members or self.is_bootstrapping():
            return
        if now_ms - self.asked_for_members_ms >= MISSING_MEMBER_INTERVAL_MS:
            self.asked_for_members_ms = now_ms
            self.log.write("peer_without_record", peer=name)
            self.system_sync.request_relist()

    def request_missing_records(self) -> None:
        """Asks neighbours for records that nobody has told of here.

        A node whose entry has no record for long has lost it for good.
        """
        now_ms = self.now_ms()
        strangers = self.peers.directory.without_record()
        for name in self.strangers.keys() - set(strangers):
            del self.strangers[name]
        for name in strangers[:STRANGERS_MAX]:
            since_ms = self.strangers.setdefault(name, now_ms)
            if now_ms - since_ms > STRANGER_FORGOTTEN_MS:
                del self.peers.directory.entries[name]
            elif now_ms - since_ms >= MISSING_MEMBER_INTERVAL_MS:
                key = self.ownership.cache.member_key(name)
                self.peers.send_to_random_neighbour(
                    peer_messages.ItemRequest(key, 0)
                )

    def request_new_era_items(self) -> None:
        """Asks neighbours what a restored store says that is lost from here.

        Only its own record, for its lease, and the tables, for their changes:
        the records of the others stay as they are.
        """
        now_ms = self.now_ms()
        if not self.system_sync.store_unreachable:
            return
        if now_ms - self.asked_for_era_ms < LOST_ERA_EVERY_MS:
            return
        self.asked_for_era_ms = now_ms
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

    def later(self, check: Callable[..., None], *values: object) -> None:
        """Checks something once what a reader told has had time to come."""
        loop = asyncio.get_running_loop()
        loop.call_later(TOLD_WITHIN_S, check, *values)

    def table_version(self, service: str) -> int:
        """Known version of a service's key table."""
        known = self.ownership.cache.tables.get(service)
        return known[0].version if known else 0

    def ask_for_table(self, service: str, version: int) -> None:
        """Reads the store if a peer still has a newer table."""
        asked = self.asked_for.get(service, 0)
        if version > max(self.table_version(service), asked):
            self.asked_for[service] = version
            self.system_sync.request_relist()

    def ask_for_configuration(self, version: int) -> None:
        """Reads the store if a peer still has a newer configuration."""
        asked = self.asked_for.get("", 0)
        if version > max(self.configuration_version(), asked):
            self.asked_for[""] = version
            self.configuration_sync.request_relist()

    def on_versions(self, versions: peer_messages.Versions) -> None:
        """Takes which versions a peer knows."""
        self.store.observe_era(versions.era)
        if versions.configuration > self.configuration_version():
            self.later(self.ask_for_configuration, versions.configuration)
        for service, version in versions.tables.items():
            if version > self.table_version(service):
                self.later(self.ask_for_table, service, version)

    def versions(self) -> peer_messages.Versions:
        """Versions of the store's items known here."""
        return peer_messages.Versions(
            self.configuration_version(),
            {
                service: table.version
                for service, (table, _) in self.ownership.cache.tables.items()
            },
            self.store.era,
        )
