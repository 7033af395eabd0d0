"""Ownership of keys: this node's record, lease, migrations and takeovers.

The decisions are in engine/mesh. The tasks here pass it the time, the items of
the store and the replies of peers, and execute its decisions.
"""

import asyncio
from collections.abc import Awaitable, Callable

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import key_migration
from auburnrock.shells.mesh import own_record
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import store_cache
from auburnrock.shells.mesh import takeover as takeover_module

STALL_THRESHOLD_MS = 1_000.0
"""Delay of a tick, in milliseconds, above which this process is taken to have
been suspended or starved of CPU time."""

RECORD_CHECK_INTERVAL_MS = 1_500.0
"""Interval, in milliseconds, between readings of the store while this node's
lease is not live."""


class Ownership(ownership_context.OwnershipTask):
    """Coordinates the tasks that decide which keys this node's target owns.

    Attributes:
      own_record: this node's record in the store.
      migration: migration of this node's keys to other nodes.
      takeover: takeovers of lost nodes that this node leads.
      grants_changed: event that is set when the target's grants may have
        changed.
      keyed: whether this node's service is divided by key.
      on_table_changed: callback for a new version of a service's key table.
      on_lease_not_live: callback that requests a listing of the store.
      sleep: waits for the next tick.
    """

    def __init__(self, context: ownership_context.OwnershipContext):
        super().__init__(context)
        context.on_store_items = self.on_store_items
        context.relist_store = self._relist_store
        context.apply_table = self.apply_table
        self.own_record = own_record.OwnRecord(context)
        self.migration = key_migration.KeyMigration(context)
        self.takeover = takeover_module.Takeover(context)
        self.grants_changed = context.grants_changed
        self.keyed = False
        self.ticked_ms = self.started_ms
        self.stalled_ms = -STALL_THRESHOLD_MS
        self.next_write_ms = 0.0
        self.lease_was_live = False
        self.record_checked_ms = (
            self.started_ms + ownership_context.STARTUP_SETTLE_MS
        )
        self.on_table_changed: Callable[[str, table_module.KeyTable], None]
        self.on_lease_not_live: Callable[[], None]
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts the tick loop and the loop that writes to the store."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.run_tick_loop()),
            loop.create_task(self.run_write_loop()),
        ]

    def stop(self) -> None:
        """Cancels all tasks, including takeovers."""
        for task in self.tasks:
            task.cancel()
        self.takeover.stop()

    def on_store_items(
        self, items: list[coordination_store.Item], revision: int
    ) -> None:
        """Applies items of the store that are newer than the cached ones.

        Args:
          items: the items.
          revision: revision of the last listing or watch; 0 before the first
            listing, when items can only come from peers.
        """
        self.apply_items(items)
        if revision > 0:
            self.witness.on_records_read(revision)

    def apply_items(self, items: list[coordination_store.Item]) -> None:
        """Applies items to the cache, except those older than cached ones.

        Items that come from a peer may be out of date.
        """
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
            self.cache.mark_readable(item.key, item.revision)
            self.cache.members.pop(name, None)
            if name == self.name and item.revision > self.own_record.revision:
                self.own_record.on_record_lost("record_removed", item.revision)
            return
        try:
            member = store_cache.decode_member(name, item.value)
        except store_cache.UnreadableItemError as error:
            self.log.write("record_unreadable", key=item.key, error=str(error))
            self.cache.mark_unreadable(item.key, item.revision)
            if name == self.name and item.revision > self.own_record.revision:
                self.own_record.on_record_lost("record_replaced", item.revision)
            return
        self.cache.mark_readable(item.key, item.revision)
        known = self.cache.members.get(name)
        if known is not None and known[1] > item.revision:
            return
        self.cache.members[name] = (member, item.revision)
        self.witness.on_record(now_ms, member, item.revision)
        if name != self.name or item.revision <= self.own_record.revision:
            return
        own = self.own_record
        if not own.revision:
            return
        if own.is_rewritten(member, item.revision):
            own.on_rewritten(member, item.revision)
            return
        if own.retain_in_new_era(member, item.revision):
            return
        if store_restore.is_record_replaced(
            own.record, own.revision, member, item.revision
        ):
            own.on_record_lost("record_replaced", item.revision)

    def _on_table(self, service: str, item: coordination_store.Item) -> None:
        if self.cache.known_revision(item.key) >= item.revision:
            return
        if item.value is None:
            self.cache.mark_readable(item.key, item.revision)
            # No node removes a table, so a restored store lacks it.
            self.cache.mark_table_lost(service)
            return
        try:
            table = store_cache.decode_table(item.value)
        except store_cache.UnreadableItemError as error:
            self.log.write("table_unreadable", key=item.key, error=str(error))
            self.cache.mark_unreadable(item.key, item.revision)
            return
        self.apply_table(service, table, item.revision)

    def apply_table(
        self, service: str, table: table_module.KeyTable, revision: int
    ) -> None:
        """Applies a version of a key table that was read or written.

        Args:
          service: the table's service.
          table: the version.
          revision: the store's revision of this version.
        """
        known = self.cache.tables.get(service)
        if not self.cache.update_table(service, table, revision):
            return
        self.cache.mark_readable(self.cache.table_key(service), revision)
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
                        self.store.era,
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
        """Calls `tick` at every interval, for as long as the process runs."""
        while True:
            try:
                self.tick()
            except Exception as error:
                # Without ticks this node would renew no lease.
                self.log.write("fault", where="tick", error=repr(error))
            await self.sleep(self.tick_interval_s())

    def tick_interval_s(self) -> float:
        """Returns the interval between two ticks in seconds.

        It is short until the record is registered: no key is served before the
        lease is live.
        """
        if self.keyed or not self.own_record.revision:
            return ownership_context.TICK_S
        return ownership_context.UNKEYED_TICK_S

    def tick(self) -> None:
        """Makes the decisions that need no reply from the store."""
        now_ms = self.now_ms()
        if now_ms - self.ticked_ms > STALL_THRESHOLD_MS:
            self.log.write("stood_still", ms=int(now_ms - self.ticked_ms))
            self.witness.reset_silence(now_ms)
            self.stalled_ms = now_ms
        self.ticked_ms = now_ms
        if self.keyed and self.own_record.revision:
            self._extend_confirmation(now_ms)
        self.ask_witnesses(now_ms)
        live = self.own_record.granting_ends_ms() > now_ms
        if live != self.lease_was_live and self.keyed:
            self.lease_was_live = live
            self.log.write(
                "lease_regained" if live else "lease_lost",
                term=self.lease.term,
                witnesses=self.lease.witnesses,
                confirmed_left_ms=int(
                    self.own_record.confirmation.ends_ms() - now_ms
                ),
            )
            self.grants_changed.set()
        if self.keyed and self.own_record.revision and not live:
            self._request_record_check(now_ms)
        if self.keyed and self.is_restoring(now_ms):
            self.migration.cancel_moves()
        elif self.keyed:
            self.migration.plan(now_ms)
            self.migration.move_hot_stripes(now_ms)
        if self.own_record.revision:
            self.takeover.start_due_takeovers(now_ms)

    def _extend_confirmation(self, now_ms: float) -> None:
        """Extends the confirmation in an outage of the store for all nodes.

        After a stall, what this node knows of the others is out of date.
        """
        if (
            not self.context.reads_store()
            and now_ms - self.stalled_ms > STALL_THRESHOLD_MS
            and store_confirmation.is_shared_outage(
                self.name,
                self.cache.members,
                self.peers.directory.entries,
            )
        ):
            self.own_record.confirmation.on_shared_outage(now_ms)

    def is_restoring(self, now_ms: float) -> bool:
        """Whether tables lost by a store restore may yet be rewritten.

        Until then this node moves no keys.
        """
        return store_restore.is_restoring(
            now_ms,
            self.context.store_restored_ms,
            self.table_predates_era(self.settings.service),
        )

    def table_predates_era(self, service: str) -> bool:
        """Whether a table was not yet written in the store's current era."""
        return self.cache.table_predates_era(service, self.store.era)

    def ask_witnesses(self, now_ms: float) -> None:
        """Pings the witnesses whose renewals of the lease are due."""
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
        """Returns the time until which keys may be granted; 0 for none."""
        return self.own_record.grants_until_ms()

    def _request_record_check(self, now_ms: float) -> None:
        """Requests a listing, as another node may have sealed the record."""
        if now_ms - self.record_checked_ms >= RECORD_CHECK_INTERVAL_MS:
            self.record_checked_ms = now_ms
            self.on_lease_not_live()

    def renewal_term_for(self, name: str) -> int:
        """Returns the lease term to renew at a peer; 0 if it is no witness."""
        if name in self.lease.all_witnesses():
            return self.lease.term
        return 0

    def on_pong(self, name: str, pong: peer_messages.Pong) -> None:
        """Handles a pong, which may carry a witness's renewal of the lease."""
        if not pong.term:
            return
        self.lease.on_renewed(name, pong.term, pong.sent_ms)
        if not self.lease_was_live and self.lease.ends_ms() > self.now_ms():
            # The reply to a heartbeat may be waiting for a live lease.
            self.grants_changed.set()

    def on_era(self, era: int, is_restored: bool) -> None:
        """Handles a later era reported by the store.

        Args:
          era: the era.
          is_restored: whether the store was restored since this process read
            it.
        """
        self.witness.on_era(self.now_ms(), era)
        if is_restored:
            self.context.store_restored_ms = self.now_ms()

    def on_ping(self, name: str, ping: peer_messages.Ping) -> int:
        """Renews a peer's lease; returns the renewed term, or 0 for none."""
        if not ping.term:
            return 0
        now_ms = self.now_ms()
        renewed = self.witness.on_renew(now_ms, name, ping.term)
        return ping.term if renewed else 0

    def on_silence_query(self, name: str) -> float:
        """Returns for how many milliseconds a node has sent nothing here."""
        return self.witness.silent_ms(self.now_ms(), name)

    async def run_write_loop(self) -> None:
        """Makes the pending changes of the store one after another."""
        while True:
            try:
                await self._write()
            except coordination_store.StoreOutcomeUnknownError as error:
                self.log.write("write_unknown", reason=str(error))
                self.next_write_ms = (
                    self.now_ms() + ownership_context.WRITE_PAUSE_MS
                )
                await self._relist_store()
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
            await self.sleep(self.tick_interval_s())

    async def _write(self) -> None:
        now_ms = self.now_ms()
        if now_ms < self.next_write_ms or not self.witness.has_read_records:
            return
        if not self.own_record.revision:
            await self.own_record.register()
            if self.table_predates_era(self.settings.service):
                # The restored store may lack a takeover made since the last
                # term.
                self.holder.grants_reported_only = True
            # Connects to the witnesses that are no neighbours.
            self.peers.tick(at_once=True)
            self.ask_witnesses(self.now_ms())
        elif self.keyed:
            if not self.own_record.is_confirmed:
                await self.own_record.confirm()
                self.grants_changed.set()
                return
            await self.own_record.confirm_if_due(now_ms)
            if not self.own_record.revision:
                return
            await self.own_record.change_witnesses(now_ms)
            if await self.migration.rewrite_lost_table(now_ms):
                return
            await self.migration.rewrite_unreadable_table(now_ms)
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

    async def _relist_store(self) -> None:
        """Lists the store to learn the outcome of an unanswered change."""
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
