"""Synchronises a prefix of the store: by a listing, then watches or gossip.

A few nodes, the store watchers, watch the store and send its changes to all
others by gossip; a watch by every node would cost a call for each node and
change. The others poll a listing that may be seconds old, and request a
current one when a peer reports a later version.

A store that is restored from an older copy begins an era. Items of an earlier
era are no longer valid: all items are listed again, and those that are not in
the listing count as removed.
"""

import asyncio
from collections.abc import Awaitable, Callable

from auburnrock.engine import backoff
from auburnrock.engine.mesh import coordination_store
from auburnrock.shells.mesh import event_log

RETRY_MS = 120
"""Delay before the first retry of a failed call, in milliseconds. Outages of
the store last seconds."""

RECOVERY_WATCH_TIMEOUT_MS = 1
"""Time-out of the first watch after a failure, in milliseconds. Its answer
shows that the store is reachable again, and its era; a store without changes
would answer a longer watch seconds later."""

STORE_WATCHERS = 3
"""Number of nodes that watch the store. One may be partitioned from the store
while another is stopped."""

STARTUP_DELAY_S = 1.0
"""Delay in seconds after the first listing, until it is known which nodes are
the store watchers."""

STALE_LIST_INTERVAL_S = 20.0
"""Interval, in seconds, between listings of a node that is no store watcher.
Peers report the versions that they know, and a node that lacks another's
record receives it from that node, so a listing finds only removed records."""

FAULT_DELAY_S = 1.0
"""Delay in seconds after an unexpected exception of this program."""

TOMBSTONES_MAX = 2_048
"""Limit of the removed keys whose revisions are kept. About 170 hosts are
replaced a day."""

DOUBT_CHECK_MS = 2_000.0
"""Age of the last answer, in milliseconds, above which a node that is no store
watcher calls the store as it does not answer another node. Leases last through
an outage of the store as long as all nodes know of it."""

ROLE_CHECK_INTERVAL_S = 0.2
"""Interval, in seconds, at which a node checks whether it has become a store
watcher."""

RETRY_MAX_S = 0.6
"""Longest delay between retries in seconds. Leases and grants that lapsed in an
outage must be restored within 2 s of its end."""


class PrefixSync:
    """Synchronises the items under one prefix of the store.

    Attributes:
      prefix: prefix of the keys.
      wait_ms: time-out of a watch in milliseconds.
      batch_delay_s: delay after each successful call, in seconds.
      on_items: callback for items that are new here, and the revision up to
        which this node knows all changes.
      is_store_watcher: returns whether this node watches the store.
      broadcast_changes: sends changes found by a watch to other nodes.
      is_store_in_doubt: whether another node says that the store does not
        answer it.
      startup_delay_begun: whether the delay after the first listing has begun.
      was_store_watcher: whether this node was a store watcher at the last call.
      revision: revision up to which every change is known here; 0 before the
        first listing.
      era: latest known era of the store; items of earlier eras are ignored.
      known_revisions: revision of each present key.
      tombstones: revisions at which keys were removed, by key.
      last_answer_ms: time of the store's last answer, in milliseconds of this
        process's clock.
      store_unreachable: whether the last call failed, or none was made yet.
      unread_ms: time before the items that are being applied for which this
        node may have missed changes; 0 for an uninterrupted watch and gossip.
      needs_listing: whether the next call is a full listing.
      listing: whether a full listing is in progress.
      waiting: task of the call in progress.
      sleep: waits between two checks whether this node watches the store.
    """

    def __init__(
        self,
        store: coordination_store.CoordinationStore,
        prefix: str,
        wait_ms: int,
        batch_delay_s: float,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
        on_items: Callable[[list[coordination_store.Item], int], None],
        is_store_watcher: Callable[[], bool],
        broadcast_changes: Callable[[list[coordination_store.Item]], None],
    ):
        self.store = store
        self.prefix = prefix
        self.wait_ms = wait_ms
        self.batch_delay_s = batch_delay_s
        self.log = log
        self.now_ms = now_ms
        self.on_items = on_items
        self.is_store_watcher = is_store_watcher
        self.broadcast_changes = broadcast_changes
        self.startup_delay_begun = False
        self.was_store_watcher = True
        self.revision = 0
        self.era = 0
        self.known_revisions: dict[str, int] = {}
        self.tombstones: dict[str, int] = {}
        self.last_answer_ms = 0.0
        self.store_unreachable = True
        self.unread_ms = 0.0
        self.needs_listing = True
        self.listing = False
        self.is_store_in_doubt: Callable[[], bool] = lambda: False
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.backoff = backoff.Backoff(RETRY_MS, prefix)
        self.task: asyncio.Task | None = None
        self.waiting: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the synchronisation."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self) -> None:
        """Cancels the synchronisation."""
        if self.task is not None:
            self.task.cancel()

    def request_relist(self) -> None:
        """Requests a full listing now, for example for a later version."""
        self.needs_listing = True
        if self.waiting is not None and not self.listing:
            self.waiting.cancel()

    def begin_era(self, era: int) -> None:
        """Requests a full listing if the store was restored in a later era."""
        if era <= self.era:
            return
        self.era = era
        # A listing in progress is of this era, or fails.
        if not self.listing:
            self.request_relist()

    async def run(self) -> None:
        """Synchronises repeatedly, with a delay after failures."""
        while True:
            self.waiting = asyncio.ensure_future(self.sync_once())
            try:
                await self.waiting
            except coordination_store.HistoryLostError:
                self.needs_listing = True
            except coordination_store.StoreError as error:
                self.on_store_unreachable(error)
                pause_s = self.backoff.delay_ms() / 1_000
                await asyncio.sleep(min(RETRY_MAX_S, pause_s))
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if task is not None and task.cancelling():
                    raise
                # request_relist() has cancelled the watch.
                continue
            except Exception as error:
                # Without this task the node would miss all later changes.
                self.log.write("fault", where="sync", error=repr(error))
                self.needs_listing = True
                await asyncio.sleep(FAULT_DELAY_S)
            else:
                self.on_store_reached()
                await asyncio.sleep(self.batch_delay_s)

    async def sync_once(self) -> None:
        """Lists, watches or polls once.

        Raises:
          StoreError: the store did not answer.
        """
        if self.needs_listing:
            await self.list_all()
            return
        if not self.startup_delay_begun:
            self.startup_delay_begun = True
            await asyncio.sleep(STARTUP_DELAY_S)
        is_watcher = self.is_store_watcher()
        if is_watcher and not self.was_store_watcher:
            # The store's history may no longer have the changes since the last
            # call.
            self.needs_listing = True
        self.was_store_watcher = is_watcher
        if is_watcher and not self.needs_listing:
            await self.watch()
        elif not is_watcher:
            await self.poll_stale_listing()

    async def poll_stale_listing(self) -> None:
        """Applies a possibly stale listing after STALE_LIST_INTERVAL_S.

        It returns early if this node becomes a store watcher.

        Raises:
          StoreError: the store did not answer.
        """
        for _ in range(int(STALE_LIST_INTERVAL_S / ROLE_CHECK_INTERVAL_S)):
            await self.sleep(ROLE_CHECK_INTERVAL_S)
            if self.is_store_watcher():
                return
            is_old = self.now_ms() - self.last_answer_ms > DOUBT_CHECK_MS
            if is_old and self.is_store_in_doubt():
                # Any answer suffices.
                await self.store.read(self.prefix)
                self.on_store_reached()
        listing = await self.store.list_all(self.prefix, stale=True)
        if coordination_store.era_of(listing.revision) != self.era:
            self.needs_listing = True
        if not self.needs_listing:
            # A stale copy of a new era may lack items that were written again
            # after the restore.
            self.apply_listing(listing)

    async def list_all(self) -> None:
        """Reads all items of the prefix and applies them.

        Raises:
          StoreError: the store did not answer.
        """
        self.needs_listing = False
        self.listing = True
        try:
            listing = await self.store.list_all(self.prefix)
        except BaseException:
            self.needs_listing = True
            raise
        finally:
            self.listing = False
        self.era = max(self.era, coordination_store.era_of(listing.revision))
        self.revision = max(self.revision, listing.revision)
        self.apply_listing(listing)

    def apply_listing(self, listing: coordination_store.Listing) -> None:
        """Applies a listing; known keys that it lacks count as removed."""
        self.unread_ms = self.now_ms() - self.last_answer_ms
        present = {item.key for item in listing.items}
        removed = [
            coordination_store.Item(key, None, listing.revision)
            for key, revision in self.known_revisions.items()
            if key not in present and revision <= listing.revision
        ]
        self.apply_items([*listing.items, *removed])

    async def watch(self) -> None:
        """Waits for changes once and applies them.

        The first watch after a failure returns almost at once.

        Raises:
          StoreError: the store did not answer.
        """
        wait_ms = (
            RECOVERY_WATCH_TIMEOUT_MS
            if self.store_unreachable
            else self.wait_ms
        )
        changes = await self.store.watch(self.prefix, self.revision, wait_ms)
        self.revision = max(self.revision, changes.revision)
        self.unread_ms = 0.0
        if self.store_unreachable:
            self.unread_ms = self.now_ms() - self.last_answer_ms
        if changes.items:
            self.broadcast_changes(changes.items)
        self.apply_items(changes.items)

    def apply_items(self, items: list[coordination_store.Item]) -> None:
        """Applies items, except those that are older than the known ones."""
        newer = []
        for item in items:
            if coordination_store.era_of(item.revision) < self.era:
                continue
            if item.revision < self.known_revisions.get(item.key, 0):
                continue
            if item.revision < self.tombstones.get(item.key, 0):
                continue
            if item.value is None:
                self.known_revisions.pop(item.key, None)
                self.record_removal(item)
            elif item.revision == self.known_revisions.get(item.key):
                continue
            else:
                self.known_revisions[item.key] = item.revision
            newer.append(item)
        self.on_items(newer, self.revision)

    def record_removal(self, item: coordination_store.Item) -> None:
        """Records a removal: gossip may deliver an earlier change after it."""
        self.tombstones.pop(item.key, None)
        if len(self.tombstones) >= TOMBSTONES_MAX:
            del self.tombstones[next(iter(self.tombstones))]
        self.tombstones[item.key] = item.revision

    def advance_revision(self, key: str, revision: int) -> None:
        """Records the revision of a change that was applied elsewhere."""
        self.known_revisions[key] = max(
            revision, self.known_revisions.get(key, 0)
        )

    def apply_store_update(self, items: list[coordination_store.Item]) -> None:
        """Applies the items of this prefix that were received by gossip."""
        self.unread_ms = 0.0
        self.apply_items(
            [item for item in items if item.key.startswith(self.prefix)]
        )

    def on_store_unreachable(self, error: Exception) -> None:
        """Records that a call of the store has failed."""
        if not self.store_unreachable:
            self.store_unreachable = True
            self.log.write(
                "store_lost",
                prefix=self.prefix,
                revision=self.revision,
                reason=str(error),
            )

    def on_store_reached(self) -> None:
        """Records that the store has answered."""
        self.last_answer_ms = self.now_ms()
        self.backoff.reset()
        if self.store_unreachable:
            self.store_unreachable = False
            self.log.write(
                "store_reached", prefix=self.prefix, revision=self.revision
            )
