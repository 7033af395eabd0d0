"""This node's record in the store, and the witnesses listed in it."""

import asyncio

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import store_cache

WITNESS_REPLACEMENT_DELAY_MS = 3_000.0
"""Time, in milliseconds, after which a silent witness is replaced."""

UNCONFIRMED_RETRY_MS = 500.0
"""Delay, in milliseconds, before another attempt to confirm the record."""


class OwnRecord(ownership_context.OwnershipTask):
    """Writes this node's record and replaces its witnesses.

    All times are in milliseconds of this process's clock.

    Attributes:
      revision: revision of the record; 0 while this node is not registered.
      record: the record as it was written; None while this node is not
        registered.
      pending: the record in a change of witnesses whose outcome is open; None
        without one.
      written: the record as this process wrote or found it last; None before.
      confirmation: confirmations of the record by the store.
      is_confirmed: whether the record was read or written after the initial
        assignment of keys.
      earlier_lease_ends_ms: end of the lease by the renewals of earlier eras; 0
        for a record that was written or found in the current era.
      unfit_since_ms: time since which the witnesses are to be replaced or too
        few; None if they are not.
      change_attempted_ms: time of the last attempt to change the witnesses.
    """

    def __init__(self, context: ownership_context.OwnershipContext):
        super().__init__(context)
        self.revision = 0
        self.record: model.Member | None = None
        self.pending: model.Member | None = None
        self.written: model.Member | None = None
        self.confirmation = store_confirmation.StoreConfirmation()
        self.is_confirmed = True
        self.earlier_lease_ends_ms = 0.0
        self.unfit_since_ms: float | None = None
        self.change_attempted_ms = 0.0

    def on_record_lost(self, cause: str, revision: int) -> None:
        """Handles the loss of the record: another node is taking the keys.

        Args:
          cause: kind of the log event.
          revision: revision of the removal or of the other record; 0 if it is
            unknown.
        """
        if self.revision:
            self.log.write(
                cause,
                revision=revision,
                own_revision=self.revision,
                lease_left_ms=int(self.lease.ends_ms() - self.now_ms()),
            )
        self.revision = 0
        self.record = None
        self.pending = None
        self.confirmation.on_record_lost()

    def retain_in_new_era(self, record: model.Member, revision: int) -> bool:
        """Keeps the lease if a restored store has this record unchanged.

        Args:
          record: this node's record as found in the store.
          revision: revision of the record that was found.

        Returns:
          Whether the record is still valid.
        """
        is_live = self.lease.ends_ms() > self.now_ms()
        if not store_restore.is_record_still_valid(
            self.record, self.revision, record, revision, is_live
        ):
            return False
        self.earlier_lease_ends_ms = self._ends_ms()
        self.revision = revision
        self.cache.members[self.name] = (record, revision)
        self.lease.complete_change(revision, record.witnesses)
        self.log.write("record_kept", revision=revision)
        return True

    def grants_until_ms(self) -> float:
        """Returns the time until which keys may be granted; 0 for none."""
        return self._ends_ms() if self.is_confirmed else 0.0

    def _ends_ms(self) -> float:
        """Returns the end of the lease for keys of the cached table.

        Nodes that write a table in a new era wait for the end of the leases of
        the era before. So keys of a table that these nodes may not know are
        granted no longer than by those leases.
        """
        ends_ms = self.granting_ends_ms()
        service = self.settings.service
        known = self.cache.known_revision(self.cache.table_key(service))
        is_of_era = coordination_store.era_of(
            known
        ) >= coordination_store.era_of(self.revision)
        if is_of_era and service not in self.cache.lost_tables:
            return ends_ms
        return min(ends_ms, self.earlier_lease_ends_ms)

    async def register(self) -> None:
        """Writes this node's record unless the store already has it.

        Raises:
          StoreError: the change failed, or its outcome is unknown.
        """
        known = self.cache.members.get(self.name)
        witnesses: tuple[str, ...] = ()
        if known and self.written is not None:
            # The record in the store may be another writer's.
            witnesses = self.written.witnesses
        elif known and known[0].service == self.settings.service:
            witnesses = known[0].witnesses
        record = model.Member(
            self.name,
            self.settings.host,
            self.settings.peer_address,
            self.settings.zone,
            self.settings.service,
            model.MemberState.ACTIVE,
            witnesses,
            self.settings.link_mbps,
            True,
            self._has_joined(),
        )
        key = self.cache.member_key(self.name)
        stored = self.cache.stored_revision(key)
        if known is not None and known == (record, stored):
            self._begin_term(record, known[1])
            await self.confirm_with_store()
            return
        expected = {key: stored}
        # The pages of a listing are not one snapshot: they may show the record
        # as removed by a takeover, and the table as it was before the takeover
        # or not at all.
        table_key = self.cache.table_key(self.settings.service)
        expected[table_key] = self.cache.stored_revision(table_key)
        sent_ms = self.now_ms()
        result = await self.store.compare_and_swap(
            expected, {key: store_cache.encode(record)}, []
        )
        if isinstance(result, coordination_store.Conflict):
            self.context.on_store_items(
                result.items, self.witness.read_revision
            )
            await self.context.relist_store()
            return
        if self.cache.known_revision(key) > result:
            # Another node has sealed the record before its answer came.
            await self.context.relist_store()
            return
        self.cache.members[self.name] = (record, result)
        self._begin_term(record, result)
        self.confirmation.on_confirmed(sent_ms)
        self.peers.set_members(self.cache.member_records())
        self.context.on_members(self.cache.member_records())

    def _begin_term(self, record: model.Member, revision: int) -> None:
        self.record = record
        self.written = record
        self.revision = revision
        self.earlier_lease_ends_ms = 0.0
        self.lease.begin_term(revision, record.witnesses)
        self.log.write(
            "registered", revision=revision, witnesses=record.witnesses
        )

    def _has_joined(self) -> bool:
        """Whether all nodes know this node, or one that is alive here."""
        if self.written is not None and self.written.has_joined:
            return True
        known = self.cache.members.get(self.name)
        if known is not None and known[0].has_joined:
            return True
        joined = {
            name
            for name, (record, _) in self.cache.members.items()
            if record.has_joined and name != self.name
        }
        return not joined or not joined.isdisjoint(self.peers.alive())

    async def confirm_if_due(self, now_ms: float) -> None:
        """Confirms the record every CHECK_INTERVAL_MS."""
        if now_ms >= self.confirmation.due_ms:
            await self.confirm_with_store()

    async def confirm_with_store(self) -> None:
        """Confirms that the store has this node's record as it was written.

        If the store does not answer this node, a peer that it answers rewrites
        the record.
        """
        sent_ms = self.now_ms()
        key = self.cache.member_key(self.name)
        try:
            item = await self.store.read(key)
        except coordination_store.StoreError as error:
            if not self.store.can_relay_writes():
                self._log_unconfirmed(error)
                return
            if self.revision:
                await self._rewrite(self.record)
            return
        if not self.revision:
            # The record was lost meanwhile.
            return
        if item is not None and self._is_own(item):
            self.confirmation.on_confirmed(sent_ms)
            return
        self.on_record_lost("record_replaced", item.revision if item else 0)
        await self.context.relist_store()

    async def _rewrite(self, record: model.Member) -> None:
        """Writes the record with the same witnesses, which confirms it."""
        sent_ms = self.now_ms()
        key = self.cache.member_key(self.name)
        before = self.record
        self.pending = record
        try:
            result = await self.store.compare_and_swap(
                {key: self.revision}, {key: store_cache.encode(record)}, []
            )
        except coordination_store.StoreError as error:
            self._log_unconfirmed(error)
            return
        if self.record not in (before, record):
            # The record was lost meanwhile.
            return
        if isinstance(result, int):
            self._complete_change(record, result)
            self.confirmation.on_confirmed(sent_ms)
            return
        for item in result.items:
            if item.value is not None and self._is_own(item):
                return
        self.on_record_lost("record_replaced", 0)
        await self.context.relist_store()

    def _log_unconfirmed(self, error: coordination_store.StoreError) -> None:
        now_ms = self.now_ms()
        self.confirmation.on_unanswered(now_ms, UNCONFIRMED_RETRY_MS)
        self.log.write(
            "record_unconfirmed",
            revision=self.revision,
            left_ms=int(self.confirmation.ends_ms() - now_ms),
            reason=str(error),
        )

    async def confirm(self) -> None:
        """Reads the record to check that the store has it as it was written.

        The initial assignment of keys is not conditional on the records of all
        owners. After it, the record of an owner is removed by a takeover only.

        Raises:
          StoreError: the store did not answer.
        """
        sent_ms = self.now_ms()
        item = await self.store.read(self.cache.member_key(self.name))
        if not self.revision:
            return
        if item is not None and self._is_own(item):
            self.confirmation.on_confirmed(sent_ms)
        else:
            self.on_record_lost("record_replaced", item.revision if item else 0)
            await self.context.relist_store()
        self.is_confirmed = True

    def _is_own(self, item: coordination_store.Item) -> bool:
        """Whether an item of the store is this node's record as written."""
        if item.revision == self.revision:
            return True
        try:
            record = store_cache.decode_member(self.name, item.value)
        except store_cache.UnreadableItemError:
            return False
        if self.is_rewritten(record, item.revision):
            self._complete_change(record, item.revision)
            return True
        return self.retain_in_new_era(record, item.revision)

    def granting_ends_ms(self) -> float:
        """Returns the earlier end of the lease and of the confirmation."""
        return min(self.lease.ends_ms(), self.confirmation.ends_ms())

    def is_rewritten(self, record: model.Member, revision: int) -> bool:
        """Whether an own write, whose outcome is open, made a record."""
        era = coordination_store.era_of
        return (
            record in (self.record, self.pending)
            and revision > self.revision
            and era(revision) == era(self.revision)
        )

    def on_rewritten(self, record: model.Member, revision: int) -> None:
        """Continues the term at the revision of an own write."""
        self._complete_change(record, revision)

    async def change_witnesses(self, now_ms: float) -> None:
        """Replaces silent witnesses, or adds missing ones.

        Raises:
          StoreError: the change of the record failed.
        """
        if now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS:
            return
        present = self.record.witnesses
        are_fit = all(map(self.peers.is_alive, present))
        if are_fit and len(present) >= lease_module.WITNESSES_MAX:
            self.unfit_since_ms = None
            await self._join()
            return
        records = self.cache.member_records()
        alive = self.peers.alive()
        witnesses = lease_module.choose_witnesses(self.record, records, alive)
        if are_fit and len(present) >= len(witnesses):
            self.unfit_since_ms = None
            await self._join()
            return
        if self.unfit_since_ms is None:
            self.unfit_since_ms = now_ms
        delay_ms = WITNESS_REPLACEMENT_DELAY_MS if present else 0.0
        if now_ms - self.unfit_since_ms < delay_ms or witnesses == present:
            return
        if (
            now_ms - self.change_attempted_ms
            < lease_module.WITNESS_CHANGE_INTERVAL_MS
        ):
            return
        self.change_attempted_ms = now_ms
        await self._propose(witnesses)

    async def _join(self) -> None:
        """Records that all nodes know this node, once they do."""
        if not self.record.has_joined and self._has_joined():
            await self._rewrite(
                msgspec.structs.replace(self.record, has_joined=True)
            )

    async def _propose(self, witnesses: tuple[str, ...]) -> None:
        """Requests renewals from the new witnesses, then writes the record.

        Raises:
          StoreUnavailableError: the record was not changed.
        """
        self.lease.propose(witnesses)
        # No one renews the lease of a node that is alone.
        if witnesses and not await self._is_renewed_by(witnesses):
            return
        self.lease.begin_joint_change()
        record = msgspec.structs.replace(
            self.record, witnesses=witnesses, has_joined=self._has_joined()
        )
        key = self.cache.member_key(self.name)
        revision = self.revision
        before = self.record
        self.pending = record
        try:
            result = await self.store.compare_and_swap(
                {key: revision}, {key: store_cache.encode(record)}, []
            )
        except coordination_store.StoreUnavailableError:
            self.pending = None
            self.lease.complete_change(self.lease.term, before.witnesses)
            raise
        except coordination_store.StoreOutcomeUnknownError:
            # Both sets of witnesses must renew until a read of the store shows
            # which one was written.
            await self._resolve_witnesses(record, revision)
            return
        if isinstance(result, coordination_store.Conflict):
            self.on_record_lost("record_replaced", 0)
            await self.context.relist_store()
            return
        self._complete_change(record, result)

    async def _is_renewed_by(self, witnesses: tuple[str, ...]) -> bool:
        """Waits until proposed witnesses have renewed the lease."""
        for _ in range(20):
            await asyncio.sleep(ownership_context.TICK_S)
            if self.lease.proposed is None or not self.revision:
                return False
            if self.lease.proposal_ready():
                return True
        self.log.write("witnesses_unwilling", witnesses=witnesses)
        self.lease.complete_change(self.lease.term, self.record.witnesses)
        return False

    async def _resolve_witnesses(
        self, record: model.Member, revision: int
    ) -> None:
        """Reads the record until it is known which witnesses it names.

        Args:
          record: the record whose write had an unknown outcome.
          revision: revision of the record before that write.
        """
        key = self.cache.member_key(self.name)
        while True:
            try:
                item = await self.store.read(key)
                if item is None:
                    self.on_record_lost("record_removed", 0)
                    return
                if item.revision == revision:
                    # The first change may still arrive; if this one succeeds,
                    # that one fails.
                    result = await self.store.compare_and_swap(
                        {key: revision}, {key: store_cache.encode(record)}, []
                    )
                    if isinstance(result, int):
                        self._complete_change(record, result)
                        return
                    continue
                found = store_cache.decode_member(self.name, item.value)
                is_live = self.lease.ends_ms() > self.now_ms()
                if store_restore.resolves_witnesses(
                    record, revision, found, item.revision, is_live
                ):
                    self._complete_change(record, item.revision)
                else:
                    self.on_record_lost("record_replaced", item.revision)
                return
            except store_cache.UnreadableItemError as error:
                self.log.write("record_unreadable", key=key, error=str(error))
                self.on_record_lost("record_replaced", item.revision)
                return
            except coordination_store.StoreError as error:
                self.log.write("witnesses_unresolved", reason=str(error))
                await asyncio.sleep(ownership_context.WRITE_PAUSE_MS / 1_000)

    def _complete_change(self, record: model.Member, revision: int) -> None:
        if self.record is None or self.record.witnesses != record.witnesses:
            self.log.write(
                "witnesses_changed",
                revision=revision,
                witnesses=record.witnesses,
            )
        self.record = record
        self.written = record
        self.pending = None
        self.revision = revision
        self.cache.members[self.name] = (record, revision)
        self.lease.complete_change(revision, record.witnesses)
