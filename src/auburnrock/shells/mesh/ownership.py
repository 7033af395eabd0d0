"""Who owns the keys: this node's record, lease, moves and takeovers.

The decisions are in engine/mesh; this task gives them the time, the store's
items and peers' answers, and carries out what they ask for.
"""

import asyncio
from collections.abc import Callable

import msgspec

from auburnrock.engine.mesh import coordination
from auburnrock.engine.mesh import holder as holder_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peering
from auburnrock.engine.mesh import plan
from auburnrock.engine.mesh import table as table_module
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import metrics as metrics_module
from auburnrock.shells.mesh import peers

TICK_S = 0.05
"""A move goes on within this; the work of a tick is small."""

SETTLE_MS = 1_200.0
"""After a start, other nodes of the same start have registered by then."""

FIRST_DEAL_MS = 3_000.0
"""Keys are dealt without the missing targets of a first start after this."""

UNFIT_MS = 3_000.0
"""A witness silent for this long is replaced."""

FORGET_MS = 12_000.0
"""A node that owns nothing and was lost for this long is forgotten; one that
lives registers anew."""

GATHER_MS = 120.0
"""Released keys wait so long for others, to be moved by one change."""

RANK_DELAY_MS = 400.0
"""The next witness leads a takeover so much later."""

QUESTION_S = 0.4
"""Peers answer in milliseconds."""

SEAL_REPEAT_S = 0.15
"""Between two rounds of seals."""

SEAL_LIMIT_MS = 15_000.0
"""A takeover without a majority for this long is left to another."""

WRITE_PAUSE_MS = 150.0
"""After a failed write, before the next."""

RECIPIENTS_MAX = 20
"""Nodes that one change of the table gives keys to: a change has room for 32
entries, and each of them is one."""

DOUBT_EVERY_MS = 1_500.0
"""Between two readings of the store while this node's lease is not live."""

BASES_KEPT = 4
"""Earlier versions of a table kept, to tell peers of the change only; a reader
may have written the last few itself before its watch shows them."""

_ENCODER = msgspec.msgpack.Encoder()
_MEMBER = msgspec.msgpack.Decoder(model.Member)
_TABLE = msgspec.msgpack.Decoder(table_module.KeyTable)


class View:
    """The nodes' records and key tables as last seen in the store.

    Attributes:
      members: record and revision by name.
      tables: table and revision by service.
      bases: the last few earlier tables and revisions by service.
      raw: every item as read, by key.
    """

    def __init__(self):
        self.members: dict[str, tuple[model.Member, int]] = {}
        self.tables: dict[str, tuple[table_module.KeyTable, int]] = {}
        self.bases: dict[str, list[tuple[table_module.KeyTable, int]]] = {}
        self.raw: dict[str, coordination.Item] = {}

    def records(self) -> dict[str, model.Member]:
        """Records by name."""
        return {name: entry[0] for name, entry in self.members.items()}


class Ownership:
    """This node's part in who owns the keys of its service.

    Attributes:
      view: the store's items.
      lease: this node's lease.
      witness: renews other nodes' leases.
      holder: the target's keys.
      revision: of this node's record; 0 before it is written.
      news: set whenever the target's keys may have changed.
      keyed: whether this node's service is divided by key.
    """

    def __init__(
        self,
        settings: model.Settings,
        store: coordination.Store,
        prefix: str,
        holder: holder_module.Holder,
        hub: peers.Hub,
        log: event_log.EventLog,
        metrics: metrics_module.Metrics,
        now_ms: Callable[[], float],
        term_ms: float,
    ):
        self.settings = settings
        self.store = store
        self.prefix = prefix
        self.holder = holder
        self.hub = hub
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.name = settings.ip
        self.started_ms = now_ms()
        self.view = View()
        self.lease = lease_module.Lease(self.name, term_ms)
        self.witness = lease_module.Witness(term_ms, self.started_ms)
        self.revision = 0
        self.record: model.Member | None = None
        self.keyed = False
        self.stopping = False
        self.news = asyncio.Event()
        self.ticked_ms = self.started_ms
        self.unfit_since_ms: float | None = None
        self.changed_ms = 0.0
        self.gather_since_ms: float | None = None
        self.next_write_ms = 0.0
        self.was_live = False
        self.planned: tuple = ()
        self.sealings: dict[str, asyncio.Task] = {}
        self.on_members: Callable[[dict[str, model.Member]], None]
        self.on_table: Callable[[str, table_module.KeyTable], None]
        self.weight_of_self: Callable[[], float]
        self.on_lease_in_doubt: Callable[[], None]
        self.doubted_ms = self.started_ms + SETTLE_MS
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begins to tick."""
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.tick_always()),
            loop.create_task(self.write_always()),
        ]

    def stop(self) -> None:
        """Ends all tasks."""
        for task in (*self.tasks, *self.sealings.values()):
            task.cancel()

    def member_key(self, name: str) -> str:
        """Key of a node's record."""
        return f"{self.prefix}m/{name}"

    def table_key(self, service: str) -> str:
        """Key of a service's table."""
        return f"{self.prefix}k/{service}"

    def on_items(self, items: list[coordination.Item], revision: int) -> None:
        """Takes items of the store, each newer than what was known.

        Args:
          items: the items.
          revision: of the last listing or watch; 0 before the first listing,
            when items can only come from peers.
        """
        self.take_items(items)
        if revision > 0:
            self.witness.on_records_read(revision)

    def take_items(self, items: list[coordination.Item]) -> None:
        """Takes items that may come from a peer and be out of date."""
        members_changed = False
        for item in items:
            known = self.view.raw.get(item.key)
            if known is not None and known.revision > item.revision:
                continue
            self.view.raw[item.key] = item
            kind, _, name = item.key.removeprefix(self.prefix).partition("/")
            if kind == "m":
                members_changed = True
                self._on_member(name, item)
            elif kind == "k":
                self._on_table(name, item)
        if members_changed:
            records = self.view.records()
            self.hub.set_members(records)
            self.on_members(records)

    def _on_member(self, name: str, item: coordination.Item) -> None:
        now_ms = self.now_ms()
        if item.value is None:
            self.view.members.pop(name, None)
            if name == self.name and item.revision > self.revision:
                self._lose_record("record_removed", item.revision)
            return
        try:
            member = _MEMBER.decode(item.value)
        except msgspec.DecodeError as error:
            self.log.write("record_unreadable", key=item.key, error=str(error))
            return
        known = self.view.members.get(name)
        if known is not None and known[1] > item.revision:
            return
        self.view.members[name] = (member, item.revision)
        self.witness.on_record(now_ms, member, item.revision)
        if name != self.name or item.revision <= self.revision:
            return
        if self.revision and member != self.record:
            self._lose_record("record_replaced", item.revision)

    def _lose_record(self, cause: str, revision: int) -> None:
        """Another node has begun to take this one's keys."""
        if self.revision:
            self.log.write(
                cause,
                revision=revision,
                own_revision=self.revision,
                lease_left_ms=int(self.lease.ends_ms() - self.now_ms()),
            )
        self.revision = 0
        self.record = None

    def _on_table(self, service: str, item: coordination.Item) -> None:
        if item.value is None:
            return
        try:
            table = _TABLE.decode(item.value)
        except msgspec.DecodeError as error:
            self.log.write("table_unreadable", key=item.key, error=str(error))
            return
        self.adopt_table(service, table, item.revision)

    def adopt_table(
        self, service: str, table: table_module.KeyTable, revision: int
    ) -> None:
        """Takes a version of a table, read or written."""
        known = self.view.tables.get(service)
        if known is not None and known[1] >= revision:
            return
        if known is not None:
            bases = self.view.bases.setdefault(service, [])
            bases.append(known)
            del bases[:-BASES_KEPT]
        self.view.tables[service] = (table, revision)
        self.on_table(service, table)
        if service == self.settings.service:
            self.holder.take_table(table)
            self.log.write(
                "table_taken",
                service=service,
                version=table.version,
                own=len(self.holder.own_stripes()),
                former=len(self.holder.former_stripes()),
            )
            self.news.set()

    def table_told(self, item: coordination.Item) -> peering.TableTold | None:
        """A table's change for peers; None if they need the whole item."""
        kind, _, service = item.key.removeprefix(self.prefix).partition("/")
        if kind != "k" or item.value is None:
            return None
        known = [*self.view.bases.get(service, ())]
        if service in self.view.tables:
            known.append(self.view.tables[service])
        earlier = [base for base in known if base[1] < item.revision]
        if not earlier:
            return None
        before, base = earlier[-1]
        try:
            after = _TABLE.decode(item.value)
        except msgspec.DecodeError as error:
            self.log.write("table_unreadable", key=item.key, error=str(error))
            return None
        change = table_module.difference(before, after)
        if change is None:
            return None
        return peering.TableTold(service, base, item.revision, change)

    def told_table(self, told: peering.TableTold) -> coordination.Item | None:
        """The item that a change tells of; None if its base isn't known."""
        known = self.view.tables.get(told.service)
        if known is None or known[1] != told.base:
            return None
        table = table_module.applied(known[0], told.change)
        return coordination.Item(
            self.table_key(told.service), _ENCODER.encode(table), told.revision
        )

    async def tick_always(self) -> None:
        """Renews, watches over others and plans moves."""
        while True:
            try:
                self.tick()
            except Exception as error:
                # Without its ticks this node would renew nobody.
                self.log.write("fault", where="tick", error=repr(error))
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """One round of decisions that need no answer of the store."""
        now_ms = self.now_ms()
        if now_ms - self.ticked_ms > 1_000.0:
            self.log.write("stood_still", ms=int(now_ms - self.ticked_ms))
            self.witness.listen_again(now_ms)
        self.ticked_ms = now_ms
        for name in self.lease.ask(now_ms):
            link = self.hub.links.get(name)
            if link is not None:
                link.ping()
        live = self.lease.ends_ms() > now_ms
        if live != self.was_live and self.keyed:
            self.was_live = live
            self.log.write(
                "lease_regained" if live else "lease_lost",
                term=self.lease.term,
                witnesses=self.lease.witnesses,
            )
            self.news.set()
        if self.keyed and self.revision and not live:
            self._doubt(now_ms)
        if self.keyed:
            self._plan(now_ms)
        self._watch_over_others(now_ms)

    def _doubt(self, now_ms: float) -> None:
        """Reads the store: another node may have sealed this one's record."""
        if now_ms - self.doubted_ms >= DOUBT_EVERY_MS:
            self.doubted_ms = now_ms
            self.on_lease_in_doubt()

    def term_for(self, name: str) -> int:
        """Term to renew at a peer; 0 if it is no witness."""
        if any(name in group for group in self.lease.witnesses):
            return self.lease.term
        return 0

    def on_pong(self, name: str, pong: peering.Pong) -> None:
        """Takes a renewal."""
        if pong.term:
            self.lease.on_renewed(name, pong.term, pong.sent_ms)

    def on_ping(self, name: str, ping: peering.Ping) -> int:
        """Renews the lease of a peer that asks for it."""
        if not ping.term:
            return 0
        now_ms = self.now_ms()
        renewed = self.witness.on_renew(now_ms, name, ping.term)
        return ping.term if renewed else 0

    def on_silence(self, name: str) -> float:
        """How long a node has been silent here."""
        return self.witness.silent_ms(self.now_ms(), name)

    def on_seal(self, name: str, revision: int) -> float | None:
        """Seals a node's terms."""
        left_ms = self.witness.on_seal(self.now_ms(), name, revision)
        self.log.write("sealed", node=name, revision=revision, left_ms=left_ms)
        return left_ms

    def _weights(self) -> dict[model.Life, float]:
        """Targets of this service that may own keys."""
        weights: dict[model.Life, float] = {}
        cold: dict[model.Life, float] = {}
        now_ms = self.now_ms()
        own = self.holder.life
        stays = own is not None and not self.holder.draining
        if stays and not self.holder.lapsed(now_ms):
            weights[own] = self.weight_of_self()
        for name, link in self.hub.links.items():
            if name not in self.view.members or not link.alive():
                continue
            status = link.status
            if status is None or status.service != self.settings.service:
                continue
            if status.life is None or link.report.draining:
                continue
            group = cold if link.report.cold_ms > 0 else weights
            group[status.life] = link.report.weight
        known = self.view.tables.get(self.settings.service)
        if known is None or not weights:
            return weights | cold
        # A cold target keeps what it has and gets nothing new.
        for life in cold:
            if life in known[0].lives:
                weights[life] = cold[life]
        return weights

    def _plan(self, now_ms: float) -> None:
        """Says which of this node's keys should go elsewhere."""
        known = self.view.tables.get(self.settings.service)
        if known is None or now_ms - self.started_ms < SETTLE_MS:
            return
        weights = self._weights()
        mark = (known[0].version, tuple(weights.items()), self.holder.life)
        if mark == self.planned:
            return
        self.planned = mark
        wanted = plan.moves(known[0], weights)
        giving = dict(self.holder.giving)
        own = self.holder.life
        self.holder.give(
            {index: life for index, life in wanted.items() if life != own}
        )
        if giving != self.holder.giving:
            self.log.write(
                "moves_planned",
                table=known[0].version,
                count=len(self.holder.giving),
                to=",".join(
                    sorted(
                        {life.member for life in self.holder.giving.values()}
                    )
                ),
            )
            self.news.set()

    async def write_always(self) -> None:
        """Carries out what needs the store, one change at a time."""
        while True:
            try:
                await self._write()
            except coordination.StoreUnknownError as error:
                self.log.write("write_unknown", reason=str(error))
                self.next_write_ms = self.now_ms() + WRITE_PAUSE_MS
                await self._read_back()
            except coordination.StoreError as error:
                self.log.write("write_failed", reason=str(error))
                self.next_write_ms = self.now_ms() + WRITE_PAUSE_MS
            except Exception as error:
                self.log.write("fault", where="write", error=repr(error))
                self.next_write_ms = self.now_ms() + WRITE_PAUSE_MS
            await asyncio.sleep(TICK_S)

    async def _write(self) -> None:
        now_ms = self.now_ms()
        if now_ms < self.next_write_ms or not self.witness.ready:
            return
        if not self.revision:
            await self._register()
        elif self.keyed:
            await self._change_witnesses(now_ms)
            await self._deal(now_ms)
            await self._hand_over(now_ms)
            await self._adopt_orphans(now_ms)
        await self._forget_lost(now_ms)

    async def _read_back(self) -> None:
        """Learns what became of a change whose answer was lost."""
        try:
            listing = await self.store.list_all(self.prefix)
        except coordination.StoreError as error:
            self.log.write("read_back_failed", reason=str(error))
            return
        newer = [
            item
            for item in listing.items
            if item.revision > self._known_revision(item.key)
        ]
        self.on_items(newer, listing.revision)

    def _known_revision(self, key: str) -> int:
        kind, _, name = key.removeprefix(self.prefix).partition("/")
        known = (self.view.members if kind == "m" else self.view.tables).get(
            name
        )
        return known[1] if known else 0

    async def _register(self) -> None:
        """Writes this node's record, or finds it as it should be."""
        known = self.view.members.get(self.name)
        witnesses: tuple[str, ...] = ()
        if known and known[0].service == self.settings.service:
            witnesses = known[0].witnesses
        wanted = model.Member(
            self.name,
            self.settings.host,
            self.settings.peer_address,
            self.settings.zone,
            self.settings.service,
            model.MemberState.ACTIVE,
            witnesses,
        )
        if known is not None and known[0] == wanted:
            self._adopt_record(wanted, known[1])
            return
        key = self.member_key(self.name)
        expected = {key: known[1] if known else 0}
        table = self.view.tables.get(self.settings.service)
        if table is not None:
            # Pages of a listing are no snapshot: the record may be seen
            # removed by a takeover, and the table as it was before.
            expected[self.table_key(self.settings.service)] = table[1]
        result = await self.store.change(
            expected, {key: _ENCODER.encode(wanted)}, []
        )
        if isinstance(result, coordination.Conflict):
            self.on_items(result.items, self.witness.read_at)
            await self._read_back()
            return
        self.view.members[self.name] = (wanted, result)
        self._adopt_record(wanted, result)
        self.hub.set_members(self.view.records())
        self.on_members(self.view.records())

    def _adopt_record(self, record: model.Member, revision: int) -> None:
        self.record = record
        self.revision = revision
        self.lease.begin_term(revision, record.witnesses)
        self.log.write(
            "registered", revision=revision, witnesses=record.witnesses
        )

    async def _change_witnesses(self, now_ms: float) -> None:
        """Replaces witnesses that are silent, or adds missing ones."""
        if now_ms - self.started_ms < SETTLE_MS:
            return
        alive = self.hub.alive()
        records = self.view.records()
        wanted = lease_module.choose_witnesses(self.record, records, alive)
        present = self.record.witnesses
        if set(present) <= alive and len(present) >= len(wanted):
            self.unfit_since_ms = None
            return
        if self.unfit_since_ms is None:
            self.unfit_since_ms = now_ms
        patience_ms = UNFIT_MS if present else 0.0
        if now_ms - self.unfit_since_ms < patience_ms or not wanted:
            return
        if now_ms - self.changed_ms < lease_module.CHANGE_EVERY_MS:
            return
        self.changed_ms = now_ms
        await self._propose(wanted)

    async def _propose(self, wanted: tuple[str, ...]) -> None:
        """Asks the new witnesses first, then writes them."""
        self.lease.propose(wanted)
        for _ in range(20):
            await asyncio.sleep(TICK_S)
            if len(self.lease.witnesses) < 2 or not self.revision:
                return
            if self.lease.proposal_ready():
                break
        else:
            self.log.write("witnesses_unwilling", witnesses=wanted)
            self.lease.settle(self.lease.term, self.record.witnesses)
            return
        record = msgspec.structs.replace(self.record, witnesses=wanted)
        key = self.member_key(self.name)
        revision = self.revision
        before = self.record
        try:
            result = await self.store.change(
                {key: revision}, {key: _ENCODER.encode(record)}, []
            )
        except coordination.StoreUnavailableError:
            self.lease.settle(self.lease.term, before.witnesses)
            raise
        except coordination.StoreUnknownError:
            # Both sets must renew until the store says which one is written.
            await self._resolve_witnesses(record, revision)
            return
        if isinstance(result, coordination.Conflict):
            self._lose_record("record_replaced", 0)
            await self._read_back()
            return
        self._settle_record(record, result)

    async def _resolve_witnesses(
        self, record: model.Member, revision: int
    ) -> None:
        """Reads until it is known which witnesses are in the record."""
        key = self.member_key(self.name)
        while True:
            try:
                item = await self.store.read(key)
                if item is None:
                    self._lose_record("record_removed", 0)
                    return
                if item.revision == revision:
                    # The change may still come; this one makes it fail.
                    result = await self.store.change(
                        {key: revision}, {key: _ENCODER.encode(record)}, []
                    )
                    if isinstance(result, int):
                        self._settle_record(record, result)
                        return
                    continue
                found = _MEMBER.decode(item.value)
                if found == record:
                    self._settle_record(record, item.revision)
                else:
                    self._lose_record("record_replaced", item.revision)
                return
            except coordination.StoreError as error:
                self.log.write("witnesses_unresolved", reason=str(error))
                await asyncio.sleep(WRITE_PAUSE_MS / 1_000)

    def _settle_record(self, record: model.Member, revision: int) -> None:
        self.record = record
        self.revision = revision
        self.view.members[self.name] = (record, revision)
        self.lease.settle(revision, record.witnesses)
        self.log.write(
            "witnesses_changed", revision=revision, witnesses=record.witnesses
        )

    async def _deal(self, now_ms: float) -> None:
        """Deals the keys of this node's service for the first time."""
        service = self.settings.service
        if service in self.view.tables or now_ms - self.started_ms < SETTLE_MS:
            return
        weights = self._weights()
        expected = {
            name
            for name, (member, _) in self.view.members.items()
            if member.service == service
        }
        present = {life.member for life in weights}
        complete = expected <= present
        if not complete and now_ms - self.started_ms < FIRST_DEAL_MS:
            return
        if not present or min(present) != self.name:
            return
        chosen = sorted(weights, key=lambda life: life.member)[:RECIPIENTS_MAX]
        table = table_module.first_table(
            plan.deal({life: weights[life] for life in chosen})
        )
        await self._write_table(
            table, 0, {life.member for life in chosen}, "deal"
        )

    async def _hand_over(self, now_ms: float) -> None:
        """Gives away the keys that the target no longer holds."""
        known = self.view.tables.get(self.settings.service)
        if known is None:
            return
        moves = self.holder.released(now_ms)
        moves |= self._former_moves(now_ms, known[0])
        if not moves:
            self.gather_since_ms = None
            return
        if self.gather_since_ms is None:
            self.gather_since_ms = now_ms
        waits = len(moves) < len(self.holder.giving)
        if waits and now_ms - self.gather_since_ms < GATHER_MS:
            return
        self.gather_since_ms = None
        recipients: set[str] = set()
        for index, (life, _) in list(moves.items()):
            if life.member not in recipients:
                if len(recipients) >= RECIPIENTS_MAX:
                    del moves[index]
                    continue
                recipients.add(life.member)
        table = table_module.changed(known[0], moves)
        self.holder.begin_change(moves)
        try:
            done = await self._write_table(table, known[1], recipients, "move")
        except coordination.StoreUnavailableError:
            self.holder.change_not_sent()
            raise
        except coordination.StoreUnknownError:
            self.holder.change_unanswered()
            raise
        if done:
            self.metrics.keys_moved.inc(len(moves))
        else:
            self.holder.change_failed()

    def _former_moves(
        self, now_ms: float, table: table_module.KeyTable
    ) -> dict[int, tuple[model.Life, str]]:
        """New owners for the keys of earlier targets beside this node."""
        former = self.holder.former_stripes()
        if not former:
            return {}
        holder = self.holder
        never_heard = holder.life is None and holder.ended is None
        if never_heard and now_ms < holder.unknown_until_ms + SETTLE_MS:
            # The target may live on and hold what an earlier process granted.
            return {}
        if holder.life is not None and not holder.draining:
            return {index: (holder.life, "") for index in former}
        weights = self._weights()
        wanted = plan.moves(table, weights)
        return {
            index: (wanted[index], "") for index in former if index in wanted
        }

    async def _adopt_orphans(self, now_ms: float) -> None:
        """Moves keys whose owner's address went to another service.

        No two hosts have one address at a time, so the earlier host, and the
        target on it, have ended.
        """
        service = self.settings.service
        known = self.view.tables.get(service)
        if known is None or now_ms - self.started_ms < SETTLE_MS:
            return
        gone = {
            name: self.view.members[name][1]
            for name in known[0].members()
            if name in self.view.members
            and self.view.members[name][0].service != service
        }
        weights = self._weights()
        present = {life.member for life in weights}
        if not gone or not present or min(present) != self.name:
            return
        wanted = plan.moves(known[0], weights)
        moves = {
            index: (life, "")
            for index, life in wanted.items()
            if known[0].lives[known[0].stripes[index].owner].member in gone
        }
        table = table_module.changed(known[0], moves)
        recipients = {life.member for life, _ in moves.values()}
        await self._write_table(
            table, known[1], recipients | set(gone), "address_reused"
        )

    async def _forget_lost(self, now_ms: float) -> None:
        """Removes the record of a node that owns no keys and is long lost."""
        owners = set().union(
            *(table.members() for table, _ in self.view.tables.values())
        )
        alive = sorted(self.hub.alive() | {self.name})
        if alive[0] != self.name:
            return
        for name, link in list(self.hub.links.items()):
            known = self.view.members.get(name)
            if known is None or name in owners or known[0].witnesses:
                continue
            if now_ms - max(link.heard_ms, self.started_ms) < FORGET_MS:
                continue
            result = await self.store.change(
                {self.member_key(name): known[1]}, {}, [self.member_key(name)]
            )
            self.log.write(
                "record_forgotten", node=name, done=isinstance(result, int)
            )

    async def _write_table(
        self,
        table: table_module.KeyTable,
        revision: int,
        recipients: set[str],
        cause: str,
    ) -> bool:
        """Writes a table if nothing that it builds on has changed."""
        service = self.settings.service
        key = self.table_key(service)
        expected = {key: revision}
        for name in recipients:
            known = self.view.members.get(name)
            if known is None:
                return False
            expected[self.member_key(name)] = known[1]
        result = await self.store.change(
            expected, {key: _ENCODER.encode(table)}, []
        )
        self.log.write(
            "table_written",
            cause=cause,
            version=table.version,
            to=",".join(sorted(recipients)),
            done=isinstance(result, int),
        )
        if isinstance(result, coordination.Conflict):
            newer = [
                item
                for item in result.items
                if item.revision > self._known_revision(item.key)
            ]
            self.on_items(newer, self.witness.read_at)
            return False
        self.adopt_table(service, table, result)
        return True

    def _watch_over_others(self, now_ms: float) -> None:
        """Begins to take over from nodes that their witnesses find silent."""
        if not self.witness.ready or not self.revision:
            return
        for name, (member, _) in self.view.members.items():
            if name == self.name or name in self.sealings:
                continue
            if self.name not in member.witnesses:
                continue
            rank = member.witnesses.index(self.name)
            limit_ms = lease_module.SILENCE_MS + rank * RANK_DELAY_MS
            if self.witness.silent_ms(now_ms, name) < limit_ms:
                continue
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._take_over(name))
            self.sealings[name] = task

    async def _take_over(self, name: str) -> None:
        """Takes the keys of a silent node, if a majority finds it silent."""
        try:
            member, revision = self.view.members[name]
            if await self._found_silent(member):
                await self._seal(member, revision)
        except coordination.StoreError as error:
            self.log.write("takeover_failed", node=name, reason=str(error))
        finally:
            await asyncio.sleep(WRITE_PAUSE_MS / 1_000)
            self.sealings.pop(name, None)

    async def _found_silent(self, member: model.Member) -> bool:
        others = [
            name
            for name in member.witnesses
            if name != self.name and name in self.hub.links
        ]
        answers = await asyncio.gather(
            *(
                self.hub.links[name].ask(
                    peering.Silence(member.name),
                    ("silence", member.name),
                    QUESTION_S,
                )
                for name in others
            )
        )
        limit_ms = lease_module.SILENCE_MS - lease_module.RENEW_EVERY_MS
        silent = 1 + sum(
            1
            for silent_ms in answers
            if silent_ms is not None and silent_ms >= limit_ms
        )
        return silent >= lease_module.majority(len(member.witnesses))

    async def _seal(self, member: model.Member, revision: int) -> None:
        """Seals a node's record, then its witnesses, then moves its keys."""
        key = self.member_key(member.name)
        if member.state != model.MemberState.SEALING:
            sealed = msgspec.structs.replace(
                member, state=model.MemberState.SEALING
            )
            result = await self.store.change(
                {key: revision}, {key: _ENCODER.encode(sealed)}, []
            )
            if isinstance(result, coordination.Conflict):
                return
            revision = result
        self.log.write("sealing", node=member.name, revision=revision)
        sealing = lease_module.Sealing(
            member.name, revision, member.witnesses, self.now_ms()
        )
        while not sealing.is_over(self.now_ms()):
            if self.now_ms() - sealing.began_ms > SEAL_LIMIT_MS:
                return
            known = self.view.members.get(member.name)
            if known is None or known[1] > revision:
                # It is back, or another witness was faster.
                return
            await self._send_seals(sealing)
            await asyncio.sleep(SEAL_REPEAT_S)
        await self._take_keys(member, revision)

    async def _send_seals(self, sealing: lease_module.Sealing) -> None:
        """Asks the witnesses that have not answered."""
        mark = ("seal", sealing.name, sealing.revision)
        missing = sealing.missing()
        if self.name in missing:
            left_ms = self.on_seal(sealing.name, sealing.revision)
            if left_ms is not None:
                sealing.on_sealed(self.now_ms(), self.name, left_ms)
        asked = [
            name
            for name in missing
            if name != self.name and name in self.hub.links
        ]
        answers = await asyncio.gather(
            *(
                self.hub.links[name].ask(
                    peering.Seal(sealing.name, sealing.revision),
                    mark,
                    QUESTION_S,
                )
                for name in asked
            )
        )
        for name, left_ms in zip(asked, answers, strict=True):
            if left_ms is not None:
                sealing.on_sealed(self.now_ms(), name, left_ms)

    async def _take_keys(self, member: model.Member, revision: int) -> None:
        """Gives a sealed node's keys to others and removes its record."""
        expected = {self.member_key(member.name): revision}
        puts: dict[str, bytes] = {}
        known = self.view.tables.get(member.service)
        table = None
        if known is not None:
            expected[self.table_key(member.service)] = known[1]
            moves = self._takeover_moves(member, known[0])
            if moves:
                table = table_module.changed(known[0], moves)
                puts[self.table_key(member.service)] = _ENCODER.encode(table)
                for life, _ in moves.values():
                    record = self.view.members.get(life.member)
                    if record is None:
                        return
                    expected[self.member_key(life.member)] = record[1]
            elif member.name in known[0].members():
                self.log.write("takeover_waits", node=member.name)
                return
        result = await self.store.change(
            expected, puts, [self.member_key(member.name)]
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
            await self._read_back()
        elif table is not None:
            self.adopt_table(member.service, table, result)

    def _takeover_moves(
        self, member: model.Member, table: table_module.KeyTable
    ) -> dict[int, tuple[model.Life, str]]:
        """New owners of a lost node's keys."""
        weights = {}
        for name, link in self.hub.links.items():
            status = link.status
            if status is None or not link.alive():
                continue
            if name == member.name or name not in self.view.members:
                continue
            if status.service != member.service or status.life is None:
                continue
            if not link.report.draining:
                weights[status.life] = link.report.weight
        own = self.holder.life
        is_own_service = member.service == self.settings.service
        if is_own_service and own is not None and not self.holder.draining:
            weights[own] = self.weight_of_self()
        recipients = sorted(weights, key=lambda life: life.member)
        weights = {life: weights[life] for life in recipients[:RECIPIENTS_MAX]}
        wanted = plan.moves(table, weights)
        return {
            index: (life, "")
            for index, life in wanted.items()
            if table.lives[table.stripes[index].owner].member == member.name
        }
