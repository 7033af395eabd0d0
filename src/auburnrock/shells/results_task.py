"""Brings the results of non-idempotent work along when a shard is moved."""

import asyncio

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import idempotency
from auburnrock.engine import pages as pages_lib
from auburnrock.shells import clock
from auburnrock.shells import execution
from auburnrock.shells import frames
from auburnrock.shells import logs
from auburnrock.shells import store_sync

PULL_TIMEOUT_S = 0.25
KEPT_AFTER_RELEASE_MS = 10_000


class ResultsTask(store_sync.ChangeListener, execution.ResultsSource):
    """Asks the former owner of each shard that this node is given.

    Attributes:
      incarnation: this node's incarnation.
      window: the results that this node keeps.
      sync: owner of the replica.
      peers: connections to the other nodes.
      event_log: where events go.
      owners: the entry of each shard as last seen.
      left_ms: when each shard that has left was seen to leave.
      pulls: pulls under way by shard.
    """

    def __init__(
        self,
        incarnation: int,
        window: idempotency.ResultWindow,
        sync: store_sync.StoreSync,
        peers: frames.PeerConnections,
        event_log: logs.EventLog,
    ):
        self.incarnation = incarnation
        self.window = window
        self.sync = sync
        self.peers = peers
        self.event_log = event_log
        self.owners: dict[pages_lib.ServiceShard, records.ShardEntry] = {}
        self.left_ms: dict[pages_lib.ServiceShard, int] = {}
        self.pulls: dict[pages_lib.ServiceShard, asyncio.Task] = {}

    def on_replica_changed(self, changed: list[str]) -> None:
        """Notes shards that this node was given."""
        for key in changed:
            page = self.sync.view.pages.by_key.get(key)
            if page is not None:
                self._note_page(page)

    async def wait_for(self, service: str, shard: int) -> None:
        """Returns when the results of a shard are there or given up."""
        pull = self.pulls.get(pages_lib.ServiceShard(service, shard))
        if pull is not None:
            await asyncio.wait([pull])

    def answer(self, pull: messages.PullResults) -> messages.Results:
        """What this node keeps of a shard that it has released."""
        kept = self.window.shards.get((pull.service, pull.shard))
        if kept is None or kept.epoch != pull.epoch:
            return messages.Results(pull.stream, b"")
        for name in list(kept.results):
            # Whatever still runs here was given up by its release.
            self.window.lost(pull.shard, name)
        exported = self.window.export(pull.service, pull.shard)
        data = msgspec.msgpack.encode(exported)
        return messages.Results(pull.stream, data)

    def tick(self, now_ms: int) -> None:
        """Forgets the results of shards that left some time ago."""
        for place, left_ms in list(self.left_ms.items()):
            if now_ms < left_ms + KEPT_AFTER_RELEASE_MS:
                continue
            del self.left_ms[place]
            if self.owners[place].owner != self.incarnation:
                self.window.disown(place.service, place.shard)

    def _note_page(self, page: pages_lib.Page) -> None:
        for shard, entry in enumerate(page.record.entries, page.first_shard):
            place = pages_lib.ServiceShard(page.record.service, shard)
            before = self.owners.get(place)
            self.owners[place] = entry
            if entry == before:
                continue
            if entry.owner == self.incarnation:
                self._begin_epoch(place, entry, before)
            elif before is not None and before.owner == self.incarnation:
                self.left_ms[place] = clock.now_ms()

    def _begin_epoch(
        self,
        place: pages_lib.ServiceShard,
        entry: records.ShardEntry,
        before: records.ShardEntry | None,
    ) -> None:
        former = None
        if before is not None and before.epoch == entry.epoch - 1:
            former = before.owner
        if former == self.incarnation:
            self._keep_own(place, entry)
            return
        wall_ms = clock.wall_ms()
        self.window.own(place.service, place.shard, entry.epoch, wall_ms)
        record = self.sync.view.members.get(former) if former else None
        if record is None or record.state is records.NodeState.ENDED:
            return
        pull = messages.PullResults(
            0, place.service, place.shard, entry.epoch - 1
        )
        task = asyncio.create_task(self._pull(place, record, pull))
        self.pulls[place] = task
        task.add_done_callback(lambda _task: self.pulls.pop(place, None))

    def _keep_own(
        self, place: pages_lib.ServiceShard, entry: records.ShardEntry
    ) -> None:
        """Goes on at the next epoch of an own shard with what is kept."""
        kept = self.window.shards.get((place.service, place.shard))
        if kept is not None and kept.epoch == entry.epoch - 1:
            kept.epoch = entry.epoch

    async def _pull(
        self,
        place: pages_lib.ServiceShard,
        record: records.NodeRecord,
        pull: messages.PullResults,
    ) -> None:
        try:
            answer = await self.peers.exchange(
                record.address, record.peer_port, pull, PULL_TIMEOUT_S
            )
        except frames.PeerError as error:
            self._note_missing(place, str(error))
            return
        if not isinstance(answer, messages.Results) or not answer.data:
            self._note_missing(place, "the former owner kept none")
            return
        try:
            exported = msgspec.msgpack.decode(
                answer.data, type=idempotency.ShardResults
            )
        except msgspec.DecodeError as error:
            self._note_missing(place, str(error))
            return
        self.window.adopt(exported)

    def _note_missing(self, place: pages_lib.ServiceShard, reason: str) -> None:
        """Work named before this epoch is answered with "unknown" now."""
        self.event_log.write(
            "results_missing",
            service=place.service,
            shard=place.shard,
            reason=reason,
        )
