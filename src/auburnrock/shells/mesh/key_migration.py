"""Migration of keys: initial assignment, hand-over, and reused addresses."""

from collections.abc import Collection
import math
import random

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import hot_stripe_rebalancer
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import store_cache

INITIAL_TABLE_TIMEOUT_MS = 6_500.0
"""Time after a process's start, in milliseconds, after which the first table
of a service is written without targets that are still missing."""

REGISTRATION_SETTLE_MS = 700.0
"""Time without a new record, in milliseconds, after which all nodes of a first
start are taken to have registered. Keys that are assigned before that must
move later."""

PLAN_INTERVAL_MS = 150.0
"""Minimum interval between two plans in milliseconds. When a fleet starts or a
zone is lost, targets change one by one, and a plan of 8,192 stripes takes
milliseconds."""

WEIGHTS_PLAN_INTERVAL_MS = 25.0
"""Minimum interval, in milliseconds for each target of the service, between two
plans while the targets that may own keys stay the same. Measured speeds and
moves of other owners change all the time, and each plan that follows them at
once is another change of the table. With many owners most of these conflict;
a few owners need not wait."""

RELEASE_BATCH_DELAY_MS = 120.0
"""Time, in milliseconds, that released keys wait for others to be released, so
that one change of the table moves them together."""

CONFLICT_RETRY_SPREAD_MS = 10.0
"""Longest delay, in milliseconds for each target of the service, before a
retry after a conflicting change. A change takes about as long, and nodes that
conflicted must not conflict again."""

CONFLICT_BACKOFF_MAX = 4
"""Largest factor by which the spread grows, doubling with each further conflict
in a row. A table changes while the news of the last change is on its way, so
many owners that retry sooner complete fewer changes, at more calls each: 1,243
of 1,502 changes conflicted on a day with two evacuations."""

MISSING_RECORD_MS = 3_000.0
"""Time, in milliseconds, after which an owner whose record is missing is taken
to have none. Gossip delivers a record within a second."""

STORE_ANSWER_MAX_AGE_MS = 400.0
"""Age, in milliseconds, up to which an answer of the store shows that it will
accept a change. A target releases keys before the change, so no target owns
them while the store is unreachable."""

OWNERLESS_CHECK_INTERVAL_MS = 300.0
"""Interval, in milliseconds, between two checks for owners that no longer
exist. They were lost seconds earlier."""

LOST_OWNERS_MAX = 6
"""Limit of the lost owners whose keys one change moves. Like RECIPIENTS_MAX, it
counts towards the entries of a change."""

RECIPIENTS_MAX = 20
"""Limit of the nodes that receive keys by one change of the table. A change has
at most 32 entries, and each of these nodes is one."""


class KeyMigration(ownership_context.OwnershipTask):
    """Plans and executes the migration of this node's keys.

    All times are in milliseconds of this process's clock.

    Attributes:
      plan_state: state of the plan's inputs at the last check.
      plan_checked_ms: time of that check.
      listed_ms: time of the last listing of the store before the first table.
      ownerless_checked_ms: time of the last check for owners that no longer
        exist.
      missing_since_ms: time since which an owner has no record, by name.
      table_lost_since_ms: time since which the store lacks the newest table;
        None if it has it.
      old_era_since_ms: time since which the table is of an older era; None
        if it is of the current one.
      unreadable_since_ms: time since which the store has an unreadable table;
        None if it has none.
      basis: inputs of the last plan.
      planned_targets: targets that could own keys in the last plan, and the own
        incarnation.
      planned_ms: time of the last plan.
      planned_moves: moves of the last plan, as new owners by stripe.
      hot_stripe_rebalancer: chooses the moves of hot keys.
      awaits_store_probe: whether moves wait until the store has answered.
      store_answered_ms: time at which the store last showed that it accepts a
        change.
      batch_since_ms: time at which the first of the released keys was
        released; None if none is.
      retry_at_ms: end of the delay after a conflicting change.
      conflicts: conflicting changes in a row.
      rng: random number generator that spreads these delays.
    """

    def __init__(self, context: ownership_context.OwnershipContext):
        super().__init__(context)
        self.plan_state: tuple = ()
        self.plan_checked_ms = 0.0
        self.listed_ms = 0.0
        self.ownerless_checked_ms = 0.0
        self.missing_since_ms: dict[str, float] = {}
        self.old_era_since_ms: float | None = None
        self.unreadable_since_ms: float | None = None
        self.table_lost_since_ms: float | None = None
        self.basis: tuple = ()
        self.planned_targets: tuple = ()
        self.planned_ms = -math.inf
        self.planned_moves: dict[int, model.Incarnation] = {}
        self.hot_stripe_rebalancer = hot_stripe_rebalancer.HotStripeRebalancer(
            context
        )
        self.awaits_store_probe = False
        self.store_answered_ms = -math.inf
        self.batch_since_ms: float | None = None
        self.retry_at_ms = 0.0
        self.conflicts = 0
        self.rng = random.Random()

    def _weights(self) -> dict[model.Incarnation, float]:
        """Returns the weights of the service's targets that may own keys."""
        weights: dict[model.Incarnation, float] = {}
        cold: dict[model.Incarnation, float] = {}
        now_ms = self.now_ms()
        own = self.holder.incarnation
        is_available = own is not None and not self.context.gives_up_keys()
        if is_available and not self.holder.heartbeat_overdue(now_ms):
            weights[own] = self.context.weight_of_self()
        for name, entry in self.peers.directory.entries.items():
            if entry.service != self.settings.service or not entry.may_own():
                continue
            if self.context.is_evacuated(name):
                continue
            if name in self.cache.members:
                group = cold if entry.cold else weights
                group[entry.incarnation] = entry.capacity_weight()
        known = self.cache.tables.get(self.settings.service)
        if known is None or not weights:
            return weights | cold
        # A cold target keeps its keys and receives no others.
        for life in cold:
            if life in known[0].owners:
                weights[life] = cold[life]
        return weights

    def plan(self, now_ms: float) -> None:
        """Plans the moves of this node's keys if the inputs have changed."""
        known = self.cache.tables.get(self.settings.service)
        if (
            known is None
            or now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS
        ):
            return
        state = (
            known[0].version,
            self.peers.directory.changes,
            self.context.weight_of_self(),
            self.holder.incarnation,
            self.holder.draining,
            self.holder.heartbeat_overdue(now_ms),
            self.context.evacuations.changes,
        )
        if (
            state == self.plan_state
            or now_ms - self.plan_checked_ms < PLAN_INTERVAL_MS
        ):
            return
        self.plan_state = state
        self.plan_checked_ms = now_ms
        weights = self._weights()
        basis = (known[0].version, weights, self.holder.incarnation)
        if basis == self.basis:
            return
        targets = (frozenset(weights), self.holder.incarnation)
        if (
            targets == self.planned_targets
            and now_ms - self.planned_ms
            < WEIGHTS_PLAN_INTERVAL_MS * len(weights)
        ):
            # Checked again at the next interval.
            self.plan_state = ()
            return
        self.basis = basis
        self.planned_targets = targets
        self.planned_ms = now_ms
        self.planned_moves = rebalancing.rebalancing_moves(known[0], weights)
        self._begin_moves(known[0])

    def move_hot_stripes(self, now_ms: float) -> None:
        """Begins to move hot keys off this node's overloaded target."""
        known = self.cache.tables.get(self.settings.service)
        if known is None or not self.hot_stripe_rebalancer.is_due(now_ms):
            return
        if self.hot_stripe_rebalancer.plan_moves(
            now_ms, known[0], self._weights()
        ):
            self._begin_moves(known[0])

    def _begin_moves(self, table: table_module.KeyTable) -> None:
        """Begins to release the keys that the plan and hot stripes move.

        New moves wait while the store has not answered recently.
        """
        now_ms = self.now_ms()
        self.store_answered_ms = max(
            self.store_answered_ms, self.store.answered_ms
        )
        releasing_before = dict(self.holder.releasing)
        own = self.holder.incarnation
        selected_moves = {
            index: life
            for index, life in self.hot_stripe_rebalancer.apply_to_plan(
                now_ms, self.planned_moves
            ).items()
            if life != own
        }
        new_moves = selected_moves.keys() - releasing_before.keys()
        is_fresh = now_ms - self.store_answered_ms <= STORE_ANSWER_MAX_AGE_MS
        self.awaits_store_probe = bool(new_moves) and not is_fresh
        if self.awaits_store_probe:
            selected_moves = {
                index: selected_moves[index]
                for index in selected_moves.keys() - new_moves
            }
        self.holder.begin_release(selected_moves)
        if releasing_before != self.holder.releasing:
            self.log.write(
                "moves_planned",
                table=table.version,
                count=len(self.holder.releasing),
                to=",".join(
                    sorted(
                        {life.node for life in self.holder.releasing.values()}
                    )
                ),
            )
            self.context.grants_changed.set()

    def cancel_moves(self) -> None:
        """Cancels the planned moves while a store restore is in progress.

        No move is made before the table is written in the current era. A
        target that is draining keeps releasing its keys.
        """
        if not self.holder.releasing or self.holder.draining:
            return
        self.holder.begin_release({})
        self.planned_moves = {}
        self.basis = ()
        self.planned_targets = ()
        self.plan_state = ()
        self.awaits_store_probe = False
        self.context.grants_changed.set()

    async def probe_store(self) -> None:
        """Begins the waiting moves if the store answers a read.

        Raises:
          StoreError: the store did not answer, and this node's target is not
            draining or no other node can relay its changes.
        """
        if not self.awaits_store_probe:
            return
        era = self.store.era
        try:
            # Any answer suffices, and a stale read costs a tenth.
            await self.store.list_all(
                self.cache.member_key(self.name), stale=True
            )
        except coordination_store.StoreError:
            # A draining target, or one in an evacuated zone, has no later
            # opportunity.
            gives_up_keys = self.context.gives_up_keys()
            if not (gives_up_keys and self.store.can_relay_writes()):
                raise
        self.store_answered_ms = self.now_ms()
        if self.store.era != era:
            # No move begins right after a restore.
            return
        known = self.cache.tables.get(self.settings.service)
        if known is not None:
            self._begin_moves(known[0])

    async def rewrite_lost_table(self, now_ms: float) -> bool:
        """Writes the newest known table again if a restored store lacks it.

        Every node of the service may do so; they begin one after another.

        Returns:
          Whether the store lacked the newest known table.
        """
        service = self.settings.service
        lost = self.cache.lost_tables.get(service)
        if lost is None:
            self.table_lost_since_ms = None
            return False
        if self.table_lost_since_ms is None:
            self.table_lost_since_ms = now_ms
        if now_ms - self.table_lost_since_ms >= self._rewrite_delay_ms():
            known = self.cache.tables.get(service)
            await self._write_table(
                lost, known[1] if known else 0, set(), "put_back"
            )
        return True

    async def rewrite_unreadable_table(self, now_ms: float) -> None:
        """Writes the known table over one that another writer has written.

        Every node of the service may do so; they begin one after another. A
        node that knows a later version then writes that one as a lost table.
        """
        service = self.settings.service
        known = self.cache.tables.get(service)
        if self.cache.table_key(service) not in self.cache.unreadable:
            self.unreadable_since_ms = None
            return
        if self.unreadable_since_ms is None:
            self.unreadable_since_ms = now_ms
        waited_ms = now_ms - self.unreadable_since_ms
        if known is not None and waited_ms >= self._rewrite_delay_ms():
            await self._write_table(known[0], known[1], set(), "put_back")

    def _rewrite_delay_ms(self) -> float:
        """Returns this node's delay, by its rank among the service's nodes."""
        before = sum(
            1
            for entry in self.peers.directory.entries.values()
            if entry.service == self.settings.service
            and entry.name < self.name
            and not entry.suspected
        )
        return store_restore.rewrite_delay_ms(before)

    async def advance_table_to_era(self, now_ms: float) -> None:
        """Writes the table in the store's era.

        It waits until no node can know a newer table.
        """
        service = self.settings.service
        era = self.store.era
        if not self.cache.table_predates_era(service, era):
            self.old_era_since_ms = None
            return
        if self.old_era_since_ms is None:
            self.old_era_since_ms = now_ms
        if store_restore.may_advance_to_era(
            now_ms,
            self.old_era_since_ms,
            self.context.store_restored_ms,
            self.lease.term_ms,
            self._rewrite_delay_ms(),
        ):
            table, revision = self.cache.tables[service]
            advanced = table_module.advanced_to_era(table, era)
            await self._write_table(advanced, revision, set(), "settle")

    async def write_initial_table(self, now_ms: float) -> None:
        """Writes the first table of this node's service if there is none."""
        service = self.settings.service
        if (
            service in self.cache.tables
            or now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS
        ):
            return
        is_first_start = store_restore.is_bootstrap(
            self.settings.is_bootstrap,
            self.context.store_restored_ms,
            self.store.era,
        )
        if not is_first_start and not store_restore.may_rewrite_initial_table(
            now_ms,
            self.started_ms,
            self.context.store_restored_ms,
            self.lease.term_ms,
        ):
            return
        weights = self._weights()
        expected = {
            name
            for name, (member, _) in self.cache.members.items()
            if member.service == service and not self.context.is_evacuated(name)
        }
        present = {life.node for life in weights}
        quiet_ms = now_ms - self.peers.members_changed_ms
        complete = expected <= present and quiet_ms >= REGISTRATION_SETTLE_MS
        if not complete and now_ms - self.started_ms < INITIAL_TABLE_TIMEOUT_MS:
            return
        if not present or min(present) != self.name:
            return
        if self.peers.members_changed_ms > self.listed_ms:
            # Gossip may not have delivered the records of nodes that have
            # registered since.
            await self.context.relist_store()
            self.listed_ms = self.now_ms()
            return
        era = self.store.era
        version = table_module.initial_version(is_first_start, era)
        table = msgspec.structs.replace(
            rebalancing.initial_table(weights, version), era=era
        )
        # The records of all owners exceed the limit of one change. So each
        # owner reads its own record before it grants keys, and
        # reassign_ownerless_keys moves the keys of an owner that has lost its
        # record.
        conditions = set(sorted(present)[:RECIPIENTS_MAX])
        await self._write_table(table, 0, conditions, "deal")

    async def bump_table_version(self) -> None:
        """Writes the table once more before a new process grants its keys.

        A hand-over sent by an earlier process of this node is conditional on
        the earlier version of the table, so it can no longer succeed.
        """
        known = self.cache.tables.get(self.settings.service)
        if known is None or not self.holder.withholds_unreported():
            return
        table = msgspec.structs.replace(known[0], version=known[0].version + 1)
        await self._write_table(table, known[1], set(), "renew")

    async def hand_over(self, now_ms: float) -> None:
        """Moves the keys that the target no longer holds to their new owners.

        Raises:
          StoreError: the change failed, or its outcome is unknown.
        """
        known = self.cache.tables.get(self.settings.service)
        if known is None or now_ms < self.retry_at_ms:
            return
        moves = self.holder.released(now_ms)
        moves |= self._former_incarnation_moves(now_ms, known[0])
        if not moves:
            self.batch_since_ms = None
            return
        if self.batch_since_ms is None:
            self.batch_since_ms = now_ms
        waits = len(moves) < len(self.holder.releasing)
        if waits and now_ms - self.batch_since_ms < RELEASE_BATCH_DELAY_MS:
            return
        self.batch_since_ms = None
        recipients: set[str] = set()
        for index, (life, _) in list(moves.items()):
            if life.node not in recipients:
                if len(recipients) >= RECIPIENTS_MAX:
                    del moves[index]
                    continue
                recipients.add(life.node)
        table = table_module.with_moves(known[0], moves)
        self.holder.begin_change(moves)
        try:
            done = await self._write_table(table, known[1], recipients, "move")
        except coordination_store.StoreUnavailableError:
            self.holder.change_not_sent()
            raise
        except coordination_store.StoreOutcomeUnknownError:
            self.holder.change_unanswered()
            raise
        if done:
            self.conflicts = 0
            self.context.metrics.keys_moved.inc(len(moves))
        else:
            self.holder.change_failed()
            factor = min(CONFLICT_BACKOFF_MAX, 1 << min(self.conflicts, 8))
            self.conflicts += 1
            spread_ms = factor * CONFLICT_RETRY_SPREAD_MS * len(table.owners)
            self.retry_at_ms = now_ms + spread_ms * self.rng.random()

    def _former_incarnation_moves(
        self, now_ms: float, table: table_module.KeyTable
    ) -> dict[int, tuple[model.Incarnation, str]]:
        """Returns new owners for the keys of this node's earlier targets."""
        former = self.holder.former_incarnation_stripes()
        if not former:
            return {}
        holder = self.holder
        never_heard = holder.incarnation is None and holder.last_ended is None
        if (
            never_heard
            and now_ms
            < holder.unknown_until_ms + ownership_context.STARTUP_SETTLE_MS
        ):
            # The target may still run and hold keys that an earlier process
            # granted.
            return {}
        if holder.incarnation is not None and now_ms < holder.former_until_ms:
            return {}
        if holder.incarnation is not None and not self.context.gives_up_keys():
            return {index: (holder.incarnation, "") for index in former}
        weights = self._weights()
        new_owners = rebalancing.rebalancing_moves(table, weights)
        return {
            index: (new_owners[index], "")
            for index in former
            if index in new_owners
        }

    async def reassign_ownerless_keys(self, now_ms: float) -> None:
        """Moves keys whose owner is gone and has no witnesses to take it over.

        Either the owner's address now belongs to another service: no two hosts
        have one address at a time, so the earlier host and its target have
        ended. Or the owner has no record, because it was lost before the first
        table gave it keys. Without a record it has no lease, and it registers
        again only on the condition that the table is the one it knows.
        """
        if now_ms - self.ownerless_checked_ms < OWNERLESS_CHECK_INTERVAL_MS:
            return
        self.ownerless_checked_ms = now_ms
        service = self.settings.service
        known = self.cache.tables.get(service)
        if (
            known is None
            or now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS
        ):
            return
        gone = {
            name
            for name in known[0].members()
            if name in self.cache.members
            and self.cache.members[name][0].service != service
        }
        absent = self._owners_without_record(now_ms, known[0])
        if not gone and not absent:
            return
        weights = self._weights()
        present = {life.node for life in weights}
        if not present or min(present) != self.name:
            return
        new_owners = rebalancing.rebalancing_moves(known[0], weights)
        moves = {
            index: (life, "")
            for index, life in new_owners.items()
            if known[0].owners[known[0].stripes[index].owner].node
            in gone | absent
        }
        recipients = {life.node for life, _ in moves.values()}
        chosen = set(sorted(recipients)[:RECIPIENTS_MAX])
        moves = {
            index: (life, handover)
            for index, (life, handover) in moves.items()
            if life.node in chosen
        }
        if not moves:
            return
        table = table_module.with_moves(known[0], moves)
        await self._write_table(
            table, known[1], chosen | gone, "owner_gone", absent
        )

    def _owners_without_record(
        self, now_ms: float, table: table_module.KeyTable
    ) -> set[str]:
        """Returns a few owners without a record for MISSING_RECORD_MS."""
        missing = table.members() - self.cache.members.keys()
        for name in self.missing_since_ms.keys() - missing:
            del self.missing_since_ms[name]
        for name in missing:
            self.missing_since_ms.setdefault(name, now_ms)
        lost = [
            name
            for name in sorted(missing)
            if now_ms - self.missing_since_ms[name] >= MISSING_RECORD_MS
        ]
        return set(lost[:LOST_OWNERS_MAX])

    async def _write_table(
        self,
        table: table_module.KeyTable,
        revision: int,
        members: set[str],
        cause: str,
        absent: Collection[str] = (),
    ) -> bool:
        """Writes a table, on the condition that its inputs are unchanged.

        Args:
          table: the new version.
          revision: revision of the version that it replaces; 0 for none.
          members: nodes whose records must be as they are cached here.
          cause: reason for the change, for the log.
          absent: nodes that must have no record.

        Returns:
          Whether the table was written.

        Raises:
          StoreError: the change failed, or its outcome is unknown.
        """
        service = self.settings.service
        key = self.cache.table_key(service)
        # An unreadable table is replaced.
        expected = {key: max(revision, self.cache.unreadable.get(key, 0))}
        for name in members:
            known = self.cache.members.get(name)
            if known is None:
                return False
            expected[self.cache.member_key(name)] = known[1]
        for name in absent:
            member_key = self.cache.member_key(name)
            expected[member_key] = self.cache.unreadable.get(member_key, 0)
        data = store_cache.encode(table)
        result = await self.store.compare_and_swap(expected, {key: data}, [])
        self.log.write(
            "table_written",
            cause=cause,
            version=table.version,
            members=",".join(sorted(members)),
            done=isinstance(result, int),
        )
        if isinstance(result, coordination_store.Conflict):
            newer = [
                item
                for item in result.items
                if item.revision > self.cache.known_revision(item.key)
            ]
            self.context.on_store_items(newer, self.witness.read_revision)
            return False
        self.context.metrics.tables_written.labels(cause).inc()
        self.context.broadcast_changes(
            [coordination_store.Item(key, data, result)]
        )
        self.context.apply_table(service, table, result)
        return True
