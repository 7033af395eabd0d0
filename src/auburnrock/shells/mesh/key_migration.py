"""Moves of keys: the first deal, hand-over, and reused addresses."""

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

FIRST_DEAL_MS = 5_000.0
"""Keys are dealt without the missing targets of a first start after this."""

QUIET_MS = 700.0
"""All nodes of a first start have registered when no record has come for this
long; what is dealt too soon must move."""

PLAN_EVERY_MS = 150.0
"""Least time between two plans: when a fleet starts or a zone is lost, targets
come and go one by one, and a plan of 8,192 stripes takes milliseconds."""

GATHER_MS = 120.0
"""Released keys wait so long for others, to be moved by one change."""

CONFLICT_SPREAD_MS = 10.0
"""For each target of the service, the longest pause after a change that lost
to another: a change takes about as long, and the losers must not meet again."""

NO_RECORD_MS = 3_000.0
"""An owner without a record for this long has none; news of a record comes
within a second."""

STORE_FRESH_MS = 400.0
"""The store has answered so lately that a change will be taken: a target lets
go of keys before the change, and nobody has them while the store is away."""

ADOPT_EVERY_MS = 300.0
"""Between two looks for owners that are gone; they were lost seconds ago."""

GONE_MAX = 6
"""Lost owners whose keys one change moves, beside those it gives keys to."""

RECIPIENTS_MAX = 20
"""Nodes that one change of the table gives keys to: a change has room for 32
entries, and each of them is one."""


class KeyMigration(ownership_context.OwnershipTask):
    """Plans and carries out the moves of this node's keys.

    Attributes:
      planned: state of all that a plan looks at, when it was last looked at.
      planned_ms: when that was.
      listed_ms: when the store was last listed for the first deal.
      adopted_ms: when it last looked for owners that are gone.
      missing_since_ms: since when owners have no record, by name.
      lost_since_ms: since when the store lacks the newest table; None if not.
      unsettled_since_ms: since when the table is of an older era; None if not.
      basis: what the last plan was made from.
      wanted: moves of the last plan.
      cooling: watches hot keys.
      awaits_store_probe: whether moves wait until the store has answered.
      asked_ms: when it was last found that a change would be taken.
      gather_since_ms: when the first of the released keys was; None if none.
      wait_until_ms: end of the pause after a change that lost to another.
      rng: spreads the pauses.
    """

    def __init__(self, parts: ownership_context.OwnershipContext):
        super().__init__(parts)
        self.planned: tuple = ()
        self.planned_ms = 0.0
        self.listed_ms = 0.0
        self.adopted_ms = 0.0
        self.missing_since_ms: dict[str, float] = {}
        self.unsettled_since_ms: float | None = None
        self.lost_since_ms: float | None = None
        self.basis: tuple = ()
        self.wanted: dict[int, model.Incarnation] = {}
        self.cooling = hot_stripe_rebalancer.HotStripeRebalancer(parts)
        self.awaits_store_probe = False
        self.asked_ms = -math.inf
        self.gather_since_ms: float | None = None
        self.wait_until_ms = 0.0
        self.rng = random.Random()

    def _weights(self) -> dict[model.Incarnation, float]:
        """Targets of this service that may own keys."""
        weights: dict[model.Incarnation, float] = {}
        cold: dict[model.Incarnation, float] = {}
        now_ms = self.now_ms()
        own = self.holder.incarnation
        stays = own is not None and not self.holder.draining
        if stays and not self.holder.heartbeat_overdue(now_ms):
            weights[own] = self.context.weight_of_self()
        for name, entry in self.peers.directory.entries.items():
            if entry.service != self.settings.service or not entry.may_own():
                continue
            if name in self.cache.members:
                group = cold if entry.cold else weights
                group[entry.incarnation] = entry.capacity_weight()
        known = self.cache.tables.get(self.settings.service)
        if known is None or not weights:
            return weights | cold
        # A cold target keeps what it has and gets nothing new.
        for life in cold:
            if life in known[0].owners:
                weights[life] = cold[life]
        return weights

    def plan(self, now_ms: float) -> None:
        """Says which of this node's keys should go elsewhere."""
        known = self.cache.tables.get(self.settings.service)
        if (
            known is None
            or now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS
        ):
            return
        mark = (
            known[0].version,
            self.peers.directory.changes,
            self.context.weight_of_self(),
            self.holder.incarnation,
            self.holder.draining,
            self.holder.heartbeat_overdue(now_ms),
        )
        if mark == self.planned or now_ms - self.planned_ms < PLAN_EVERY_MS:
            return
        self.planned = mark
        self.planned_ms = now_ms
        weights = self._weights()
        basis = (known[0].version, weights, self.holder.incarnation)
        if basis == self.basis:
            return
        self.basis = basis
        self.wanted = rebalancing.rebalancing_moves(known[0], weights)
        self._give(known[0])

    def move_hot_stripes(self, now_ms: float) -> None:
        """Moves hot keys of a crowded target elsewhere."""
        known = self.cache.tables.get(self.settings.service)
        if known is None or not self.cooling.is_due(now_ms):
            return
        if self.cooling.plan_moves(now_ms, known[0], self._weights()):
            self._give(known[0])

    def _give(self, table: table_module.KeyTable) -> None:
        """Gives away what the plan and the hot stripes ask for."""
        now_ms = self.now_ms()
        self.asked_ms = max(self.asked_ms, self.store.answered_ms)
        giving = dict(self.holder.releasing)
        own = self.holder.incarnation
        wanted = {
            index: life
            for index, life in self.cooling.apply_to_plan(
                now_ms, self.wanted
            ).items()
            if life != own
        }
        begins = wanted.keys() - giving.keys()
        is_fresh = now_ms - self.asked_ms <= STORE_FRESH_MS
        self.awaits_store_probe = bool(begins) and not is_fresh
        if self.awaits_store_probe:
            wanted = {index: wanted[index] for index in wanted.keys() - begins}
        self.holder.begin_release(wanted)
        if giving != self.holder.releasing:
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
        """Takes back what was to move: no change is made before it is settled.

        A target that leaves gets nothing back.
        """
        if not self.holder.releasing or self.holder.draining:
            return
        self.holder.begin_release({})
        self.wanted = {}
        self.basis = ()
        self.planned = ()
        self.awaits_store_probe = False
        self.context.grants_changed.set()

    async def probe_store(self) -> None:
        """Begins the moves that wait for the store, if it answers now."""
        if not self.awaits_store_probe:
            return
        era = self.store.era
        try:
            # Any answer will do, and a stale one costs a tenth.
            await self.store.list_all(
                self.cache.member_key(self.name), stale=True
            )
        except coordination_store.StoreError:
            # A target that leaves has no other time for it.
            if not (self.holder.draining and self.store.can_relay_writes()):
                raise
        self.asked_ms = self.now_ms()
        if self.store.era != era:
            # No change is made now.
            return
        known = self.cache.tables.get(self.settings.service)
        if known is not None:
            self._give(known[0])

    async def rewrite_lost_table(self, now_ms: float) -> bool:
        """Writes the newest known table where a restored store lost it.

        Every node of the service may; they begin one after another.
        """
        service = self.settings.service
        lost = self.cache.lost_tables.get(service)
        if lost is None:
            self.lost_since_ms = None
            return False
        if self.lost_since_ms is None:
            self.lost_since_ms = now_ms
        if now_ms - self.lost_since_ms >= self._turn_ms():
            known = self.cache.tables.get(service)
            await self._write_table(
                lost, known[1] if known else 0, set(), "put_back"
            )
        return True

    def _turn_ms(self) -> float:
        """When it is this node's turn, of the nodes of its service."""
        before = sum(
            1
            for entry in self.peers.directory.entries.values()
            if entry.service == self.settings.service
            and entry.name < self.name
            and not entry.suspected
        )
        return store_restore.rewrite_delay_ms(before)

    async def advance_table_to_era(self, now_ms: float) -> None:
        """Writes the table in the store's era, once nobody can know more."""
        service = self.settings.service
        era = self.store.era
        if not self.cache.table_predates_era(service, era):
            self.unsettled_since_ms = None
            return
        if self.unsettled_since_ms is None:
            self.unsettled_since_ms = now_ms
        if store_restore.may_advance_to_era(
            now_ms,
            self.unsettled_since_ms,
            self.context.store_restored_ms,
            self.lease.term_ms,
            self._turn_ms(),
        ):
            table, revision = self.cache.tables[service]
            settled = table_module.advanced_to_era(table, era)
            await self._write_table(settled, revision, set(), "settle")

    async def write_initial_table(self, now_ms: float) -> None:
        """Deals the keys of this node's service for the first time."""
        service = self.settings.service
        if (
            service in self.cache.tables
            or now_ms - self.started_ms < ownership_context.STARTUP_SETTLE_MS
        ):
            return
        is_first_start = store_restore.is_bootstrap(
            self.settings.is_bootstrap, self.context.store_restored_ms
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
            if member.service == service
        }
        present = {life.node for life in weights}
        quiet_ms = now_ms - self.peers.members_changed_ms
        complete = expected <= present and quiet_ms >= QUIET_MS
        if not complete and now_ms - self.started_ms < FIRST_DEAL_MS:
            return
        if not present or min(present) != self.name:
            return
        if self.peers.members_changed_ms > self.listed_ms:
            # Nobody may have told of the nodes that have registered since.
            await self.context.relist_store()
            self.listed_ms = self.now_ms()
            return
        era = self.store.era
        version = table_module.initial_version(is_first_start, era)
        table = msgspec.structs.replace(
            rebalancing.initial_table(weights, version), era=era
        )
        # The records of all would not fit one change. So each owner reads its
        # own before it grants anything, and reassign_ownerless_keys sees to the
        # keys of one that has lost it.
        conditions = set(sorted(present)[:RECIPIENTS_MAX])
        await self._write_table(table, 0, conditions, "deal")

    async def bump_table_version(self) -> None:
        """Writes the table once more before it is granted by.

        A hand-over that an earlier process of this node has sent is conditional
        on the table as it was, so it can no longer be made.
        """
        known = self.cache.tables.get(self.settings.service)
        if known is None or not self.holder.withholds_unreported():
            return
        table = msgspec.structs.replace(known[0], version=known[0].version + 1)
        await self._write_table(table, known[1], set(), "renew")

    async def hand_over(self, now_ms: float) -> None:
        """Gives away the keys that the target no longer holds."""
        known = self.cache.tables.get(self.settings.service)
        if known is None or now_ms < self.wait_until_ms:
            return
        moves = self.holder.released(now_ms)
        moves |= self._former_moves(now_ms, known[0])
        if not moves:
            self.gather_since_ms = None
            return
        if self.gather_since_ms is None:
            self.gather_since_ms = now_ms
        waits = len(moves) < len(self.holder.releasing)
        if waits and now_ms - self.gather_since_ms < GATHER_MS:
            return
        self.gather_since_ms = None
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
            self.context.metrics.keys_moved.inc(len(moves))
        else:
            self.holder.change_failed()
            spread_ms = CONFLICT_SPREAD_MS * len(table.owners)
            self.wait_until_ms = now_ms + spread_ms * self.rng.random()

    def _former_moves(
        self, now_ms: float, table: table_module.KeyTable
    ) -> dict[int, tuple[model.Incarnation, str]]:
        """New owners for the keys of earlier targets beside this node."""
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
            # The target may live on and hold what an earlier process granted.
            return {}
        if holder.incarnation is not None and not holder.draining:
            return {index: (holder.incarnation, "") for index in former}
        weights = self._weights()
        wanted = rebalancing.rebalancing_moves(table, weights)
        return {
            index: (wanted[index], "") for index in former if index in wanted
        }

    async def reassign_ownerless_keys(self, now_ms: float) -> None:
        """Moves keys of owners that nobody else can take them over from.

        The owner's address went to another service: no two hosts have one
        address at a time, so the earlier host, and the target on it, have
        ended. Or the owner has no record: it was lost before the first deal
        gave it keys. Without a record it has no lease, and it registers anew
        only beside the table that it knows.
        """
        if now_ms - self.adopted_ms < ADOPT_EVERY_MS:
            return
        self.adopted_ms = now_ms
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
        absent = self._without_record(now_ms, known[0])
        if not gone and not absent:
            return
        weights = self._weights()
        present = {life.node for life in weights}
        if not present or min(present) != self.name:
            return
        wanted = rebalancing.rebalancing_moves(known[0], weights)
        moves = {
            index: (life, "")
            for index, life in wanted.items()
            if known[0].owners[known[0].stripes[index].owner].node
            in gone | absent
        }
        recipients = {life.node for life, _ in moves.values()}
        kept = set(sorted(recipients)[:RECIPIENTS_MAX])
        moves = {
            index: (life, handover)
            for index, (life, handover) in moves.items()
            if life.node in kept
        }
        if not moves:
            return
        table = table_module.with_moves(known[0], moves)
        await self._write_table(
            table, known[1], kept | gone, "owner_gone", absent
        )

    def _without_record(
        self, now_ms: float, table: table_module.KeyTable
    ) -> set[str]:
        """A few owners that have had no record for a while."""
        missing = table.members() - self.cache.members.keys()
        for name in self.missing_since_ms.keys() - missing:
            del self.missing_since_ms[name]
        for name in missing:
            self.missing_since_ms.setdefault(name, now_ms)
        lost = [
            name
            for name in sorted(missing)
            if now_ms - self.missing_since_ms[name] >= NO_RECORD_MS
        ]
        return set(lost[:GONE_MAX])

    async def _write_table(
        self,
        table: table_module.KeyTable,
        revision: int,
        members: set[str],
        cause: str,
        absent: Collection[str] = (),
    ) -> bool:
        """Writes a table if nothing that it builds on has changed.

        Args:
          table: the later version.
          revision: of the version that it builds on; 0 for none.
          members: nodes whose records must be as they are known here.
          cause: why, for the log.
          absent: nodes that must have no record.
        """
        service = self.settings.service
        key = self.cache.table_key(service)
        expected = {key: revision}
        for name in members:
            known = self.cache.members.get(name)
            if known is None:
                return False
            expected[self.cache.member_key(name)] = known[1]
        for name in absent:
            expected[self.cache.member_key(name)] = 0
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
