"""Takeover of lost nodes: seals a silent node's lease and moves its keys."""

import asyncio
from collections.abc import Iterable
import math

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import rebalancing
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import key_migration
from auburnrock.shells.mesh import ownership_context
from auburnrock.shells.mesh import store_cache

RECORD_EXPIRY_MS = 12_000.0
"""Time, in milliseconds, after which the record of a lost node that owns no
keys is removed. A node that still runs registers again."""

EXPIRY_CHECK_INTERVAL_MS = 2_000.0
"""Interval, in milliseconds, between two checks for records to remove."""

RANK_DELAY_MS = 400.0
"""Delay, in milliseconds for each rank, before a witness starts a takeover, so
that one witness leads it."""

SILENCE_CHECK_INTERVAL_MS = 250.0
"""Interval, in milliseconds, between two checks of all nodes for those that are
lost with their witnesses. It takes time for each node of the fleet."""

QUERY_TIMEOUT_S = 0.4
"""Time-out of a query to a peer in seconds. Peers answer in milliseconds."""

SEAL_RETRY_INTERVAL_S = 0.15
"""Interval, in seconds, between two rounds of seal requests."""

TAKEOVER_TIMEOUT_MS = 15_000.0
"""Time-out of a takeover in milliseconds. A takeover without a majority for
this long is left to another witness."""


class Takeover(ownership_context.OwnershipTask):
    """Takes over the keys of lost nodes whose witness this node is.

    Attributes:
      sealings: tasks of the takeovers that this node leads, by the name of the
        lost node.
      witness_ranks: this node's rank among the witnesses of a node, by the name
        of each node whose witness it is.
      sealed_ms: revision of a sealed record, and when this process first knew
        that it is in the store, by node.
      sealed_alone_ms: when this node last sealed a record without the node's
        witnesses, by node.
      known_since_ms: time since which a node's record is known, by node.
      silence_checked_ms: time of the last check of all nodes for lost ones.
      reassigning: held during a change of a key table, as concurrent ones of
        this process would conflict.
      expiry_checked_ms: time of the last check for records to remove, in
        milliseconds of this process's clock.
    """

    def __init__(self, context: ownership_context.OwnershipContext):
        super().__init__(context)
        self.sealings: dict[str, asyncio.Task] = {}
        self.witness_ranks: dict[str, int] = {}
        self.expiry_checked_ms = self.started_ms
        self.sealed_ms: dict[str, tuple[int, float]] = {}
        self.sealed_alone_ms: dict[str, float] = {}
        self.silence_checked_ms = self.started_ms
        self.known_since_ms: dict[str, float] = {}
        self.reassigning = asyncio.Lock()

    def stop(self) -> None:
        """Cancels the takeovers that this node leads."""
        for task in self.sealings.values():
            task.cancel()

    def update_members(self, members: dict[str, model.Member]) -> None:
        """Updates the nodes whose witness this node is from all records."""
        now_ms = self.now_ms()
        self.known_since_ms = {
            name: self.known_since_ms.get(name, now_ms) for name in members
        }
        self.witness_ranks = {
            name: member.witnesses.index(self.name)
            for name, member in members.items()
            if name != self.name and self.name in member.witnesses
        }

    def start_due_takeovers(self, now_ms: float) -> None:
        """Starts a takeover of each node that has been silent for too long."""
        if not self.witness.has_read_records:
            return
        for name, rank in self.witness_ranks.items():
            if name in self.sealings:
                continue
            limit_ms = lease_module.SUSPICION_TIMEOUT_MS + rank * RANK_DELAY_MS
            if self.witness.silent_ms(now_ms, name) < limit_ms:
                continue
            self._start(name)
        if now_ms - self.silence_checked_ms < SILENCE_CHECK_INTERVAL_MS:
            return
        self.silence_checked_ms = now_ms
        alive = self.peers.alive()
        for name, (member, _) in self.cache.members.items():
            if name in self.sealings or name == self.name:
                continue
            if self._may_seal_alone(now_ms, member, alive):
                self._start(name)

    def _start(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        self.sealings[name] = loop.create_task(self._take_over(name))

    def _may_seal_alone(
        self, now_ms: float, member: model.Member, alive: set[str]
    ) -> bool:
        """Whether this node seals a record without the node's witnesses now.

        The nodes that may do so begin one after another.
        """
        own = self.cache.members.get(self.name)
        if own is None or not store_confirmation.may_seal_alone(
            own[0], member, alive
        ):
            return False
        is_sealed = member.state == model.MemberState.SEALING
        last_ms = self.sealed_alone_ms.get(member.name)
        if (
            last_ms is not None
            and not is_sealed
            and now_ms - last_ms < store_confirmation.RETRY_INTERVAL_MS
        ):
            return False
        # The news of a node that has just registered may come later.
        silent_ms = now_ms - self.known_since_ms.get(member.name, now_ms)
        if member.name in self.peers.directory.entries:
            silent_ms = self.peers.directory.suspected_for_ms(
                now_ms, member.name
            )
        rank = sum(
            name < self.name and self.cache.members[name][0].has_joined
            for name in alive
            if name in self.cache.members
        )
        limit_ms = store_confirmation.SEAL_ALONE_AFTER_MS
        return silent_ms >= limit_ms + rank * RANK_DELAY_MS

    async def _take_over(self, name: str) -> None:
        """Takes over a silent node if most of its witnesses find it silent.

        It does so too if they are not alive.
        """
        try:
            known = self.cache.members.get(name)
            if known is None:
                return
            # The record and its revision belong together: the record may change
            # while the witnesses answer.
            member = known[0]
            stored = self.cache.stored_revision(self.cache.member_key(name))
            is_overwritten = stored > known[1]
            now_ms = self.now_ms()
            if self._may_seal_alone(now_ms, member, self.peers.alive()):
                self.sealed_alone_ms[name] = now_ms
                await self._seal(member, stored, is_overwritten)
            elif await self._majority_finds_silent(member):
                await self._seal(member, stored, is_overwritten)
        except coordination_store.StoreError as error:
            self.log.write("takeover_failed", node=name, reason=str(error))
        finally:
            await asyncio.sleep(ownership_context.WRITE_PAUSE_MS / 1_000)
            self.sealings.pop(name, None)

    async def _majority_finds_silent(self, member: model.Member) -> bool:
        answers = await self._query(
            member.witnesses,
            peer_messages.SilenceQuery(member.name),
            ("silence", member.name),
        )
        limit_ms = (
            lease_module.SUSPICION_TIMEOUT_MS - lease_module.RENEW_EVERY_MS
        )
        silent = 1 + sum(
            1
            for silent_ms in answers.values()
            if silent_ms is not None and silent_ms >= limit_ms
        )
        return silent >= lease_module.majority(len(member.witnesses))

    async def _seal(
        self, member: model.Member, revision: int, is_overwritten: bool
    ) -> None:
        """Seals a node's record, then its witnesses, and moves its keys.

        Args:
          member: the node's record.
          revision: the store's revision of it, or of what replaced it.
          is_overwritten: whether another writer has replaced it.

        Raises:
          StoreError: a change of the store failed, or its outcome is unknown.
        """
        key = self.cache.member_key(member.name)
        if member.state != model.MemberState.SEALING or is_overwritten:
            sealed = msgspec.structs.replace(
                member, state=model.MemberState.SEALING
            )
            result = await self.store.compare_and_swap(
                {key: revision}, {key: store_cache.encode(sealed)}, []
            )
            if isinstance(result, coordination_store.Conflict):
                return
            revision = result
        now_ms = self.now_ms()
        sealed_revision, sealed_ms = self.sealed_ms.get(member.name, (0, 0.0))
        if sealed_revision != revision:
            sealed_ms = now_ms
            self.sealed_ms[member.name] = (revision, sealed_ms)
        ends_ms = math.inf
        if member.confirms:
            ends_ms = sealed_ms + store_confirmation.seal_wait_ms()
        self.log.write("sealing", node=member.name, revision=revision)
        sealing = lease_module.Sealing(
            member.name, revision, member.witnesses, now_ms, ends_ms
        )
        while not sealing.is_complete(self.now_ms()):
            if self.now_ms() - sealing.began_ms > TAKEOVER_TIMEOUT_MS:
                return
            known = self.cache.members.get(member.name)
            if known is None or known[1] > revision:
                # The node has returned, or another witness was faster.
                return
            await self._send_seals(sealing)
            await asyncio.sleep(SEAL_RETRY_INTERVAL_S)
        async with self.reassigning:
            await self._reassign_keys(member, revision)

    async def _send_seals(self, sealing: lease_module.Sealing) -> None:
        """Sends seal requests to the witnesses that have not replied."""
        mark = ("seal", sealing.name, sealing.revision)
        missing = sealing.missing()
        if self.name in missing:
            left_ms = self.on_seal(sealing.name, sealing.revision)
            if left_ms is not None:
                sealing.on_sealed(self.now_ms(), self.name, left_ms)
        seal = peer_messages.SealRequest(sealing.name, sealing.revision)
        answers = await self._query(missing, seal, mark)
        for name, left_ms in answers.items():
            if left_ms is not None:
                sealing.on_sealed(self.now_ms(), name, left_ms)

    async def _query(
        self, names: Iterable[str], message: peer_messages.Message, mark: tuple
    ) -> dict[str, float | None]:
        """Queries other nodes.

        Args:
          names: nodes to query; those without a link are left out.
          message: the query.
          mark: identifies the reply.

        Returns:
          The replies by name; None for a node that did not reply in time.
        """
        links = {
            name: link
            for name in names
            if (link := self.peers.link_to(name)) is not None
        }
        answers = await asyncio.gather(
            *(
                link.query(message, mark, QUERY_TIMEOUT_S)
                for link in links.values()
            )
        )
        return dict(zip(links, answers, strict=True))

    def on_seal(self, name: str, revision: int) -> float | None:
        """Seals a node's lease at this witness.

        Args:
          name: the node.
          revision: revision of its sealed record; earlier terms are no longer
            renewed.

        Returns:
          Longest remaining time of the node's lease, in milliseconds, by this
          witness's renewals; None before the witness has read the records.
        """
        left_ms = self.witness.on_seal(self.now_ms(), name, revision)
        self.log.write("sealed", node=name, revision=revision, left_ms=left_ms)
        return left_ms

    async def _reassign_keys(self, member: model.Member, revision: int) -> None:
        """Moves a sealed node's keys to other nodes and removes its record.

        Raises:
          StoreError: the change failed, or its outcome is unknown.
        """
        if store_restore.is_restoring(
            self.now_ms(),
            self.context.store_restored_ms,
            self.cache.table_predates_era(member.service, self.store.era),
        ):
            self.log.write("takeover_waits", node=member.name)
            return
        expected = {self.cache.member_key(member.name): revision}
        puts: dict[str, bytes] = {}
        known = self.cache.tables.get(member.service)
        table = None
        if known is not None:
            table_key = self.cache.table_key(member.service)
            expected[table_key] = self.cache.stored_revision(table_key)
            moves = self._takeover_moves(member, known[0])
            if moves:
                table = table_module.with_moves(known[0], moves)
                puts[self.cache.table_key(member.service)] = store_cache.encode(
                    table
                )
                for life, _ in moves.values():
                    record = self.cache.members.get(life.node)
                    if record is None:
                        return
                    expected[self.cache.member_key(life.node)] = record[1]
            elif member.name in known[0].members():
                self.log.write("takeover_waits", node=member.name)
                return
        result = await self.store.compare_and_swap(
            expected, puts, [self.cache.member_key(member.name)]
        )
        done = isinstance(result, int)
        self.log.write(
            "taken_over",
            node=member.name,
            revision=revision,
            done=done,
            version=table.version if table else 0,
        )
        if not done:
            await self.context.relist_store()
        elif table is not None:
            self.context.apply_table(member.service, table, result)

    def _takeover_moves(
        self, member: model.Member, table: table_module.KeyTable
    ) -> dict[int, tuple[model.Incarnation, str]]:
        """Returns the new owners of a lost node's keys by stripe."""
        weights = {}
        for name, entry in self.peers.directory.entries.items():
            if name == member.name or name not in self.cache.members:
                continue
            if self.context.is_evacuated(name):
                continue
            if entry.service == member.service and entry.may_own():
                weights[entry.incarnation] = entry.capacity_weight()
        own = self.holder.incarnation
        is_own_service = member.service == self.settings.service
        is_available = own is not None and not self.context.gives_up_keys()
        if is_own_service and is_available:
            weights[own] = self.context.weight_of_self()
        recipients = sorted(weights, key=lambda life: life.node)
        weights = {
            life: weights[life]
            for life in recipients[: key_migration.RECIPIENTS_MAX]
        }
        new_owners = rebalancing.rebalancing_moves(table, weights)
        return {
            index: (life, "")
            for index, life in new_owners.items()
            if table.owners[table.stripes[index].owner].node == member.name
        }

    async def _is_responding(self, name: str) -> bool:
        """Whether a node that is reported silent answers a query."""
        mark = ("silence", name)
        answers = await self._query(
            [name], peer_messages.SilenceQuery(name), mark
        )
        return answers.get(name) is not None

    async def remove_expired_records(self, now_ms: float) -> None:
        """Removes records of nodes that own no keys and have long been lost.

        A node that receives from less than half of the others does nothing, as
        it may itself be partitioned from them.

        Raises:
          StoreError: a change failed, or its outcome is unknown.
        """
        if now_ms - self.expiry_checked_ms < EXPIRY_CHECK_INTERVAL_MS:
            return
        self.expiry_checked_ms = now_ms
        directory = self.peers.directory
        alive = self.peers.alive()
        if min(alive | {self.name}) != self.name:
            return
        if 2 * len(alive) < len(self.cache.members) - 1:
            return
        owners = set().union(
            *(table.members() for table, _ in self.cache.tables.values())
        )
        for name, known in list(self.cache.members.items()):
            if name == self.name or name in owners or known[0].witnesses:
                continue
            silent_ms = now_ms - self.started_ms
            if name in directory.entries:
                silent_ms = directory.suspected_for_ms(now_ms, name)
            if silent_ms < RECORD_EXPIRY_MS or await self._is_responding(name):
                continue
            key = self.cache.member_key(name)
            # A table that is not known here may give keys to this node.
            table_key = self.cache.table_key(known[0].service)
            expected = {
                each: self.cache.stored_revision(each)
                for each in (key, table_key)
            }
            result = await self.store.compare_and_swap(expected, {}, [key])
            self.log.write(
                "record_forgotten", node=name, done=isinstance(result, int)
            )
