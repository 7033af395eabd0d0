"""Who owns the keys: this node's record, lease, moves and takeovers.

The decisions are in engine/mesh; these tasks give them the time, the store's
items and peers' answers, and carry out what they ask for.
"""

import asyncio
from collections.abc import Callable

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import key_migration
from auburnrock.shells.mesh import own_record
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import store_cache
from auburnrock.shells.mesh import takeover as takeover_module

STALL_THRESHOLD_MS = 1_000.0
"""A tick this late means that the process was frozen or starved."""

DOUBT_EVERY_MS = 1_500.0
"""Between two readings of the store while this node's lease is not live."""


class Ownership(ownership_context.OwnershipTask):
    """This node's part in who owns the keys of its service.

    Attributes:
      own_record: this node's record in the store.
      migration: moves of its keys.
      takeover: takeovers that it leads.
      grants_changed: set whenever the target's keys may have changed.
      keyed: whether this node's service is divided by key.
      on_table_changed: takes a new version of a service's table.
      on_lease_not_live: asks for a reading of the store.
    """

    def __init__(self, parts: ownership_context.OwnershipContext):
        super().__init__(parts)
        parts.on_store_items = self.on_store_items
        parts.relist_store = self._read_back
        parts.apply_table = self.apply_table
        self.own_record = own_record.OwnRecord(parts)
        self.migration = key_migration.KeyMigration(parts)
        self.takeover = takeover_module.Takeover(parts)
        self.grants_changed = parts.grants_changed
        self.keyed = False
        self.ticked_ms = self.started_ms
        self.next_write_ms = 0.0
        self.lease_was_live = False
        self.doubted_ms = self.started_ms + ownership_context.STARTUP_SETTLE_MS
        self.on_table_changed: Callable[[str, table_module.KeyTable], None]
        self.on_lease_not_live: Callable[[], None]
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begins to tick."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.run_tick_loop()),
            loop.create_task(self.write_always()),
        ]

    def stop(self) -> None:
        """Ends all tasks."""
        for task in self.tasks:
            task.cancel()
        self.takeover.stop()

    def on_store_items(
        self, items: list[coordination_store.Item], revision: int
    ) -> None:
        """Takes items of the store, each newer than what was known.

        Args:
          items: the items.
          revision: of the last listing or watch; 0 before the first listing,
            when items can only come from peers.
        """
        self.apply_items(items)
        if revision > 0:
            self.witness.on_records_read(revision)

    def apply_items(self, items: list[coordination_store.Item]) -> None:
        """Takes items that may come from a peer and be out of date."""
        members_changed = False
        for item in items:
            kind, name = self.cache.parse_key(item.key)
            if kind == "k":
                self._on_table(name, item)
                continue
            known = self.cache.raw_items.get(item.key)
            if known is not None and known.revision > item.revision:
                continue
            self.cache.raw_items[item.key] = item
            if kind == "m":
                members_changed = True
                self._on_member(name, item)
        if members_changed:
            records = self.cache.member_records()
            self.takeover.update_members(records)
            self.peers.set_members(records)
            self.context.on_members(records)

    def _on_member(self, name: str, item: coordination_store.Item) -> None:
        now_ms = self.now_ms()
        if item.value is None:
            self.cache.members.pop(name, None)
            if name == self.name and item.revision > self.own_record.revision:
                self.own_record.on_record_lost("record_removed", item.revision)
            return
        try:
            member = store_cache.decode_member(item.value)
        except store_cache.UnreadableItemError as error:
            self.log.write("record_unreadable", key=item.key, error=str(error))
            return
        known = self.cache.members.get(name)
        if known is not None and known[1] > item.revision:
            return
        self.cache.members[name] = (member, item.revision)
        self.witness.on_record(now_ms, member, item.revision)
        if name != self.name or item.revision <= self.own_record.revision:
            return
        own = self.own_record
        if not own.revision or own.retain_in_new_era(member, item.revision):
            return
        if store_restore.is_record_replaced(
            own.record, own.revision, member, item.revision
        ):
            own.on_record_lost("record_replaced", item.revision)

    def _on_table(self, service: str, item: coordination_store.Item) -> None:
        if self.cache.known_revision(item.key) >= item.revision:
            return
        if item.value is None:
            # Nobody removes a table.
            self.cache.mark_table_lost(service)
            return
        try:
            table = store_cache.decode_table(item.value)
        except store_cache.UnreadableItemError as error:
            self.log.write("table_unreadable", key=item.key, error=str(error))
            return
        self.apply_table(service, table, item.revision)

    def apply_table(
        self, service: str, table: table_module.KeyTable, revision: int
    ) -> None:
        """Takes a version of a table, read or written."""
        known = self.cache.tables.get(service)
        if not self.cache.update_table(service, table, revision):
            return
        is_same = known is not None and known[0] == table
        newest = self.cache.lost_tables.pop(service, known and known[0])
        lost = store_restore.lost_table(newest, table)
        if lost is not None:
            self.cache.lost_tables[service] = lost
            self.log.write(
                "table_lost",
                service=service,
                version=lost.version,
                found=table.version,
            )
            return
        self.on_table_changed(service, table)
        if service == self.settings.service:
            read_at = self.witness.read_revision
            self.holder.grants_reported_only = (
                store_restore.grants_reported_only(
                    known is None,
                    self.table_predates_era(service),
                    self.holder.grants_reported_only,
                    store_restore.is_bootstrap(
                        self.settings.is_bootstrap,
                        self.context.store_restored_ms,
                    ),
                    self.witness.has_read_records and revision > read_at,
                )
            )
            if table.is_initial_assignment() and not is_same:
                self.own_record.is_confirmed = False
            self.holder.update_table(table)
            self.log.write(
                "table_taken",
                service=service,
                version=table.version,
                own=len(self.holder.own_stripes()),
                former=len(self.holder.former_incarnation_stripes()),
            )
            self.grants_changed.set()

    async def run_tick_loop(self) -> None:
        """Renews, watches over others and plans moves."""
        while True:
            try:
                self.tick()
            except Exception as error:
                # Without its ticks this node would renew nobody.
                self.log.write("fault", where="tick", error=repr(error))
            await asyncio.sleep(self.tick_interval_s())

    def tick_interval_s(self) -> float:
        """Time between two ticks.

        A start is waited for: no key is served before the lease is live.
        """
        if self.keyed or not self.own_record.revision:
            return ownership_context.TICK_S
        return ownership_context.UNKEYED_TICK_S

    def tick(self) -> None:
        """One round of decisions that need no answer of the store."""
        now_ms = self.now_ms()
        if now_ms - self.ticked_ms > STALL_THRESHOLD_MS:
            self.log.write("stood_still", ms=int(now_ms - self.ticked_ms))
            self.witness.reset_silence(now_ms)
        self.ticked_ms = now_ms
        self.ask_witnesses(now_ms)
        live = self.lease.ends_ms() > now_ms
        if live != self.lease_was_live and self.keyed:
            self.lease_was_live = live
            self.log.write(
                "lease_regained" if live else "lease_lost",
                term=self.lease.term,
                witnesses=self.lease.witnesses,
            )
            self.grants_changed.set()
        if self.keyed and self.own_record.revision and not live:
            self._doubt(now_ms)
        if self.keyed and self.is_restoring(now_ms):
            self.migration.cancel_moves()
        elif self.keyed:
            self.migration.plan(now_ms)
            self.migration.move_hot_stripes(now_ms)
        if self.own_record.revision:
            self.takeover.start_due_takeovers(now_ms)

    def is_restoring(self, now_ms: float) -> bool:
        """Whether tables that a restored store lost may have to come first."""
        return store_restore.is_restoring(
            now_ms,
            self.context.store_restored_ms,
            self.table_predates_era(self.settings.service),
        )

    def table_predates_era(self, service: str) -> bool:
        """Whether a table was not yet written in the store's era."""
        return self.cache.table_predates_era(service, self.store.era)

    def ask_witnesses(self, now_ms: float) -> None:
        """Asks for the renewals that are due."""
        solo_from_ms = store_restore.unwitnessed_lease_from_ms(
            now_ms,
            self.store.answered_call_sent_ms,
            self.lease.term,
            self.store.era,
            is_alone=not self.cache.members.keys() - {self.name},
        )
        for name in self.lease.witnesses_due(now_ms, solo_from_ms):
            link = self.peers.links.get(name)
            if link is not None:
                link.ping()

    def grants_until_ms(self) -> float:
        """Until when keys may be granted; 0 if none may."""
        return self.own_record.grants_until_ms()

    def _doubt(self, now_ms: float) -> None:
        """Reads the store: another node may have sealed this one's record."""
        if now_ms - self.doubted_ms >= DOUBT_EVERY_MS:
            self.doubted_ms = now_ms
            self.on_lease_not_live()

    def renewal_term_for(self, name: str) -> int:
        """Term to renew at a peer; 0 if it is no witness."""
        if name in self.lease.all_witnesses():
            return self.lease.term
        return 0

    def on_pong(self, name: str, pong: peer_messages.Pong) -> None:
        """Takes a renewal."""
        if not pong.term:
            return
        self.lease.on_renewed(name, pong.term, pong.sent_ms)
        if not self.lease_was_live and self.lease.ends_ms() > self.now_ms():
            # A heartbeat may be waiting for it.
            self.grants_changed.set()

    def on_era(self, era: int, is_restored: bool) -> None:
        """The store has named a later era.

        Args:
          era: the era.
          is_restored: whether it was restored since this process read it.
        """
        self.witness.on_era(self.now_ms(), era)
        if is_restored:
            self.context.store_restored_ms = self.now_ms()

    def on_ping(self, name: str, ping: peer_messages.Ping) -> int:
        """Renews the lease of a peer that asks for it."""
        if not ping.term:
            return 0
        now_ms = self.now_ms()
        renewed = self.witness.on_renew(now_ms, name, ping.term)
        return ping.term if renewed else 0

    def on_silence_query(self, name: str) -> float:
        """How long a node has been silent here."""
        return self.witness.silent_ms(self.now_ms(), name)

    async def write_always(self) -> None:
        """Carries out what needs the store, one change at a time."""
        while True:
            try:
                await self._write()
            except coordination_store.StoreOutcomeUnknownError as error:
                self.log.write("write_unknown", reason=str(error))
                self.next_write_ms = (
                    self.now_ms() + ownership_context.WRITE_PAUSE_MS
                )
                await self._read_back()
            except coordination_store.StoreError as error:
                self.log.write("write_failed", reason=str(error))
                self.next_write_ms = (
                    self.now_ms() + ownership_context.WRITE_PAUSE_MS
                )
            except Exception as error:
                self.log.write("fault", where="write", error=repr(error))
                self.next_write_ms = (
                    self.now_ms() + ownership_context.WRITE_PAUSE_MS
                )
            await asyncio.sleep(self.tick_interval_s())

    async def _write(self) -> None:
        now_ms = self.now_ms()
        if now_ms < self.next_write_ms or not self.witness.has_read_records:
            return
        if not self.own_record.revision:
            await self.own_record.register()
            if self.table_predates_era(self.settings.service):
                # A takeover since the last term may be lost.
                self.holder.grants_reported_only = True
            # Witnesses that are no neighbours are connected to from here on.
            self.peers.tick(at_once=True)
            self.ask_witnesses(self.now_ms())
        elif self.keyed:
            if not self.own_record.is_confirmed:
                await self.own_record.confirm()
                self.grants_changed.set()
                return
            await self.own_record.change_witnesses(now_ms)
            if await self.migration.rewrite_lost_table(now_ms):
                return
            await self.migration.advance_table_to_era(now_ms)
            if self.is_restoring(now_ms):
                return
            await self.migration.write_initial_table(now_ms)
            await self.migration.bump_table_version()
            await self.migration.probe_store()
            await self.migration.hand_over(now_ms)
            await self.migration.reassign_ownerless_keys(now_ms)
        if not self.is_restoring(now_ms):
            await self.takeover.remove_expired_records(now_ms)

    async def _read_back(self) -> None:
        """Learns what became of a change whose answer was lost."""
        try:
            listing = await self.store.list_all(self.cache.prefix)
        except coordination_store.StoreError as error:
            self.log.write("read_back_failed", reason=str(error))
            return
        newer = [
            item
            for item in listing.items
            if item.revision > self.cache.known_revision(item.key)
        ]
        self.on_store_items(newer, listing.revision)
